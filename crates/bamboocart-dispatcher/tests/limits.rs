//! Limits and invalid input: each limit is answered as documented, and a faulty caller
//! affects only itself.

mod support;

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::process::Command;
use std::time::{Duration, Instant};

use bamboocart_core::id::SubmissionId;
use bamboocart_standin::history::CallRecord;
use serde_json::{Value, json};
use support::{
    Cluster, ClusterSettings, RECOVERY_TIMEOUT, RequestSpec, agent, base_config, call,
    submit, try_call, wait_until,
};
use yare::parameterized;

/// The time limit for headers and bodies to arrive, with a margin.
const READ_TIMEOUT: Duration = Duration::from_secs(18);

/// Starts a system of one instance with flags and one minion with two slots.
fn start(flags: &[&'static str]) -> Cluster {
    Cluster::start(ClusterSettings {
        instances: vec!["marka"],
        minions: vec!["--count", "1", "--slots", "2"],
        flags: flags.to_vec(),
        ..ClusterSettings::default()
    })
}

/// Returns the body of a request.
fn request(payload: &str) -> Value {
    json!({ "customer": "float-storage", "kind": "bay-check", "payload": payload })
}

/// Returns the body of a job.
fn job(tasks: usize) -> Value {
    let tasks = vec![json!({ "payload": "{\"run_ms\":1}" }); tasks];
    json!({
        "customer": "float-storage",
        "kind": "bay-check",
        "deadline_ms": 60_000,
        "tasks": tasks,
    })
}

/// Panics unless an instance still serves a request.
fn assert_serves(address: SocketAddr) {
    let (status, answer) =
        call("POST", address, "/v1/requests", &request("{\"run_ms\":1}"));
    assert_eq!(status, 200, "{answer}");
}

/// A call at a limit, and the expected status and code of the answer.
struct LimitCase {
    path: &'static str,
    body: Value,
    status: u16,
    code: &'static str,
}

/// Guards against a limit that is not enforced or is answered otherwise than documented.
/// The instance serves the next caller in each case.
#[parameterized(
    body_at_the_limit = { LimitCase {
        path: "/v1/requests",
        body: request(&"x".repeat(3_900)),
        status: 200,
        code: "complete",
    } },
    body_over_the_limit = { LimitCase {
        path: "/v1/requests",
        body: request(&"x".repeat(4_100)),
        status: 413,
        code: "too-large",
    } },
    no_tasks = { LimitCase {
        path: "/v1/jobs",
        body: job(0),
        status: 400,
        code: "malformed",
    } },
    one_task_too_many = { LimitCase {
        path: "/v1/jobs",
        body: job(241),
        status: 413,
        code: "too-large",
    } },
    more_tasks_than_the_queue = { LimitCase {
        path: "/v1/jobs",
        body: job(20),
        status: 503,
        code: "overloaded",
    } },
    unknown_field = { LimitCase {
        path: "/v1/requests",
        body: json!({ "customer": "float-storage", "sort": 1 }),
        status: 400,
        code: "malformed",
    } },
    unknown_kind = { LimitCase {
        path: "/v1/requests",
        body: json!({ "customer": "float-storage", "kind": "none", "payload": "" }),
        status: 422,
        code: "unknown-kind",
    } },
    unknown_customer = { LimitCase {
        path: "/v1/requests",
        body: json!({ "customer": "none", "kind": "bay-check", "payload": "" }),
        status: 422,
        code: "unknown-customer",
    } },
)]
fn limits_of_one_call(case: LimitCase) {
    let cluster = start(&["--max-body-bytes", "4096", "--queue-tasks", "16"]);
    let address = cluster.instances[0].address;
    let (status, answer) = call("POST", address, case.path, &case.body);
    assert_eq!((status, answer["code"].as_str()), (case.status, Some(case.code)));
    if status != 200 {
        assert!(answer["message"].as_str().unwrap().starts_with("not run"), "{answer}");
    }
    assert_serves(address);
}

/// Guards against jobs, cancellations and ticket requests of unlimited length when the
/// size of the body is not the limit.
#[test]
fn limits_of_lists() {
    let cluster = start(&[]);
    let address = cluster.instances[0].address;
    let ids = |count: usize| {
        let id = || SubmissionId::CallerKey(uuid::Uuid::now_v7()).to_string();
        json!({ "submissions": (0..count).map(|_| id()).collect::<Vec<_>>() })
    };
    let cases = [
        ("/v1/jobs", job(240), 200),
        ("/v1/jobs", job(241), 400),
        ("/v1/cancellations", ids(10_000), 200),
        ("/v1/cancellations", ids(10_001), 400),
    ];
    for (path, body, expected) in cases {
        let (status, answer) = call("POST", address, path, &body);
        assert_eq!(status, expected, "{path}: {}", answer["message"]);
    }
    let (_, issued) = call("POST", address, "/v1/tickets", &json!({ "count": 5_000 }));
    assert_eq!(issued["tickets"].as_array().map(Vec::len), Some(1_024));
    assert_serves(address);
}

/// Guards against a queue or a registry that accepts more than its limit, and against
/// refused requests that run: two slots are busy, two tasks wait, and the rest is
/// refused.
#[parameterized(
    queue = { &["--queue-tasks", "2"] },
    registry = { &["--open-submissions", "4", "--remembered-submissions", "1000"] },
)]
fn full_queue_and_registry(flags: &[&'static str]) {
    let cluster = start(flags);
    let address = cluster.instances[0].address;
    let calls: Vec<CallRecord> = std::thread::scope(|scope| {
        let call = |number: usize| {
            let spec = RequestSpec::new(format!("full-{number}"), 400, None);
            scope.spawn(move || submit(&agent(), address, &spec))
        };
        let calls: Vec<_> = (0..12).map(call).collect();
        calls.into_iter().map(|it| it.join().unwrap()).collect()
    });
    let codes = calls.iter().map(|it| it.answer.as_ref().map(|it| it.code.as_str()));
    let mut codes: Vec<_> = codes.collect();
    codes.sort_unstable();
    let expected = [vec![Some("complete"); 4], vec![Some("overloaded"); 8]].concat();
    assert_eq!(codes, expected);
    cluster.check_history(calls);
    assert_serves(address);
}

/// Guards against unlimited connections, and against closed connections that still count
/// towards the limit: further callers wait in the backlog until others close.
#[test]
fn limit_of_connections() {
    let cluster = start(&["--max-connections", "4"]);
    let address = cluster.instances[0].address;
    // Connections that the fixture has used may take a moment to be closed.
    wait_until("free connections", RECOVERY_TIMEOUT, || {
        try_call("GET", address, "/live", &Value::Null, Duration::from_secs(1)).is_some()
    });
    let held: Vec<TcpStream> =
        (0..4).map(|_| TcpStream::connect(address).unwrap()).collect();
    let live =
        || try_call("GET", address, "/live", &Value::Null, Duration::from_millis(500));
    assert!(live().is_none(), "a fifth connection was served");
    drop(held);
    wait_until("a free connection", RECOVERY_TIMEOUT, || live().is_some());
    assert_serves(address);
}

/// Guards against silent callers that hold connections forever: these are closed after
/// the header timeout, and the next caller is served.
#[test]
fn silent_callers_are_closed() {
    let cluster = start(&["--max-connections", "4"]);
    let address = cluster.instances[0].address;
    let _held: Vec<TcpStream> =
        (0..4).map(|_| TcpStream::connect(address).unwrap()).collect();
    wait_until("the end of silent connections", READ_TIMEOUT, || {
        try_call("GET", address, "/live", &Value::Null, Duration::from_secs(1)).is_some()
    });
    assert_serves(address);
}

/// Bytes that a caller sends on one connection.
struct RawInput {
    bytes: Vec<u8>,
    /// Whether the bytes are sent one at a time, slower than any timeout allows.
    slow: bool,
    /// The start of the expected answer; empty if the connection may close without one.
    answer: &'static str,
}

impl RawInput {
    /// Creates input that is sent in one piece.
    fn new(bytes: impl Into<Vec<u8>>, answer: &'static str) -> Self {
        Self { bytes: bytes.into(), slow: false, answer }
    }
}

/// Guards against input that stops the instance or holds a connection longer than the
/// documented timeouts.
#[parameterized(
    garbage = { RawInput::new([0, 159, 146, 150, 255, 10, 13, 10], "HTTP/1.1 400") },
    binary_preface = { RawInput::new("PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n", "") },
    bad_json = { RawInput::new(
        "POST /v1/requests HTTP/1.1\r\nhost: x\r\ncontent-length: 9\r\n\r\n{\"custom\"",
        "HTTP/1.1 400",
    ) },
    not_utf8 = { RawInput::new(
        b"POST /v1/requests HTTP/1.1\r\nhost: x\r\ncontent-length: 2\r\n\r\n\xff\xfe".to_vec(),
        "HTTP/1.1 400",
    ) },
    truncated_body = { RawInput::new(
        "POST /v1/requests HTTP/1.1\r\nhost: x\r\ncontent-length: 900\r\n\r\n{",
        "HTTP/1.1 400",
    ) },
    huge_headers = { RawInput::new(
        format!("GET /live HTTP/1.1\r\nx: {}\r\n\r\n", "y".repeat(64 << 10)),
        "HTTP/1.1 431",
    ) },
    bad_id = { RawInput::new(
        "GET /v1/submissions/t.x HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n",
        "HTTP/1.1 400",
    ) },
    slow_headers = { RawInput {
        slow: true,
        ..RawInput::new("GET /live HTTP/1.1\r\nhost: marka\r\nx: 0123456789\r\n\r\n", "")
    } },
    slow_body = { RawInput {
        slow: true,
        ..RawInput::new(
            "POST /v1/requests HTTP/1.1\r\ncontent-length: 9000\r\n\r\n{\"customer\":",
            "HTTP/1.1 400",
        )
    } },
)]
fn invalid_bytes(case: RawInput) {
    let cluster = start(&["--max-connections", "4"]);
    let address = cluster.instances[0].address;
    let mut stream = TcpStream::connect(address).unwrap();
    let start = Instant::now();
    send(&mut stream, &case);
    let answer = read_to_end(&mut stream);
    assert!(answer.starts_with(case.answer), "{answer}");
    assert!(start.elapsed() < READ_TIMEOUT, "{:?}", start.elapsed());
    assert_serves(address);
}

/// Sends the input; slow input stops when the instance has closed the connection.
fn send(stream: &mut TcpStream, case: &RawInput) {
    if !case.slow {
        // The instance may close before it has read everything.
        let _ = stream.write_all(&case.bytes);
        return;
    }
    let head = case.bytes.windows(4).position(|it| it == b"\r\n\r\n");
    let is_body = head.is_some_and(|at| at + 4 < case.bytes.len());
    let fast = head.filter(|_| is_body).map_or(0, |at| at + 4);
    stream.write_all(&case.bytes[..fast]).unwrap();
    stream.set_read_timeout(Some(Duration::from_secs(1))).unwrap();
    for byte in &case.bytes[fast..] {
        let mut buffer = [0];
        match stream.peek(&mut buffer) {
            Err(error) if error.kind() == ErrorKind::WouldBlock => {}
            _ => return,
        }
        if stream.write_all(&[*byte]).is_err() {
            return;
        }
    }
}

/// Reads until the instance closes the connection; panics if it is open after
/// [`READ_TIMEOUT`].
fn read_to_end(stream: &mut TcpStream) -> String {
    stream.set_read_timeout(Some(READ_TIMEOUT)).unwrap();
    let mut bytes = vec![];
    let result = stream.read_to_end(&mut bytes);
    let open = result.is_err_and(|error| error.kind() == ErrorKind::WouldBlock);
    assert!(!open, "the connection is still open");
    String::from_utf8_lossy(&bytes).into_owned()
}

/// Guards against garbage on the peer port that stops an instance, cuts its links or is
/// decoded as a message.
#[test]
fn garbage_on_links() {
    let cluster = Cluster::start(ClusterSettings::default());
    let port = cluster.instances[0].link_listener;
    let garbage: [&[u8]; 5] = [
        b"",
        b"GET / HTTP/1.1\r\n\r\n",
        b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n",
        b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n\xff\xff\xff\xff\xff\xff\xff\xff\xff",
        &[0xa5; 100_000],
    ];
    let streams = garbage.iter().cycle().take(50).map(|bytes| {
        let mut stream = TcpStream::connect(port).unwrap();
        let _ = stream.write_all(bytes);
        stream
    });
    let held: Vec<TcpStream> = streams.collect();
    support::sleep(support::PEER_DEAD_TIMEOUT);
    cluster.wait_for_service();
    for instance in &cluster.instances {
        assert_serves(instance.address);
        let peers = instance.status()["peers"].clone();
        assert_eq!(peers.as_array().map(Vec::len), Some(2), "{peers}");
    }
    drop(held);
}

/// Guards against invalid settings that are reported one at a time or with an exit code
/// other than 2.
#[test]
fn invalid_settings() {
    let output = Command::new(env!("CARGO_BIN_EXE_bamboocart-dispatcher"))
        .args(["--name", "a.b", "--failure-domain", ""])
        .args(["--listen", "127.0.0.1:0", "--peer-listen", "0.0.0.0:0"])
        .args(["--platform", "127.0.0.1:0", "--max-sends", "0"])
        .args(["--max-connections", "0", "--queue-tasks", "0"])
        .args(["--claim-horizon-ms", "14999"])
        .args(["--open-submissions", "9", "--remembered-submissions", "9"])
        .output()
        .unwrap();
    let text = String::from_utf8_lossy(&output.stderr);
    assert_eq!(output.status.code(), Some(2), "{text}");
    let flags = [
        "--name",
        "--failure-domain",
        "--peer-listen",
        "--platform",
        "--max-sends",
        "--max-connections",
        "--queue-tasks",
        "--claim-horizon-ms",
        "--remembered-submissions",
    ];
    for flag in flags {
        let reports = text.lines().filter(|it| it.starts_with(&format!("error: {flag}")));
        assert_eq!(reports.count(), 1, "{flag}: {text}");
    }
    for invalid in [["--listen", "nowhere"], ["--no-such-flag", "1"]] {
        let output = Command::new(env!("CARGO_BIN_EXE_bamboocart-dispatcher"))
            .args(["--name", "a"])
            .args(invalid)
            .output()
            .unwrap();
        assert_eq!(output.status.code(), Some(2), "{output:?}");
    }
}

/// Guards against settings of which only the first unparsable one is reported: each fault
/// has one line with flag, environment variable and remedy, whichever of the two gave the
/// value, and values that parse but are out of range are reported as well.
#[test]
fn unparsable_settings() {
    let output = Command::new(env!("CARGO_BIN_EXE_bamboocart-dispatcher"))
        .args(["--name", "a", "--listen", "nowhere", "--peer-listen", "127.0.0.1:x"])
        .args(["--peer-address", "0.0.0.0:0", "--seed", "b", "--seed", "127.0.0.1:1"])
        .args(["--platform", "localhost", "--max-sends", "0", "--remember-ms=-1"])
        .args(["--placement", "best", "--log-format", "xml"])
        .env("BAMBOOCART_MAX_BODY_BYTES", "4k")
        .env("BAMBOOCART_QUEUE_TASKS", "many")
        .env("BAMBOOCART_LOG_LEVEL", "loud")
        .env("BAMBOOCART_TRACE_PER_10K", "10001")
        .output()
        .unwrap();
    let text = String::from_utf8_lossy(&output.stderr);
    assert_eq!(output.status.code(), Some(2), "{text}");
    let (address, number) = ("use an IP address and port such", "use a whole number");
    let faults = [
        ("--failure-domain", "is needed and not given"),
        ("--listen", address),
        ("--peer-listen", address),
        ("--peer-address", "needs a port"),
        ("--peer-address", "names no address that peers can reach"),
        ("--seed", address),
        ("--platform", address),
        ("--max-sends", "must be at least 1"),
        ("--max-body-bytes", number),
        ("--queue-tasks", number),
        ("--remember-ms", number),
        ("--placement", "use earliest-finish, random, shortest-queue or two-choices"),
        ("--log-level", "use error, warn, info, debug or trace"),
        ("--log-format", "use `text` or `json`"),
        ("--trace-per-10k", "must be at most 10000"),
    ];
    for (flag, remedy) in faults {
        let start = format!("error: {flag} ");
        let variable = flag.trim_start_matches('-').replace('-', "_").to_uppercase();
        let end = match flag {
            "--seed" => String::new(),
            _ => format!(" [env:BAMBOOCART_{variable}]"),
        };
        let reports = text.lines().filter(|line| {
            line.starts_with(&start) && line.contains(remedy) && line.ends_with(&end)
        });
        assert_eq!(reports.count(), 1, "{flag} {remedy}: {text}");
    }
    assert_eq!(text.lines().count(), faults.len(), "{text}");
}

/// Guards against a quota that is not enforced or is answered otherwise than documented.
#[test]
fn exhausted_quota() {
    let mut set = base_config();
    let quota = set.quota.values_mut().next().unwrap();
    (quota.starts_per_s, quota.burst) = (1, 1);
    let cluster = Cluster::start(ClusterSettings {
        instances: vec!["marka"],
        config: Some(set),
        ..ClusterSettings::default()
    });
    let address = cluster.instances[0].address;
    assert_serves(address);
    let (status, answer) = call("POST", address, "/v1/requests", &request(""));
    assert_eq!((status, answer["code"].as_str()), (429, Some("quota-exhausted")));
    assert!(answer["retry_after_ms"].as_u64().is_some_and(|ms| ms <= 1_000), "{answer}");
}
