//! An instance as a process of its own.

use std::io::{BufRead, BufReader};
use std::net::{Ipv4Addr, SocketAddr};
use std::process::{Child, ChildStdout, Command, Stdio};
use std::sync::mpsc;
use std::time::{Duration, Instant};

use rustix::process::{Pid, Signal, kill_process};
use serde::Deserialize;
use serde_json::{Value, json};

use super::http::{call, try_call};
use super::{POLL, RECOVERY_TIMEOUT, sockets, wait_until};

/// The time within which a process starts, or ends after a kill, on a busy machine.
const PROCESS_TIMEOUT: Duration = Duration::from_secs(30);

/// The process of an instance, killed when it is dropped.
pub struct Instance {
    /// The name of the instance.
    pub name: String,
    /// The failure domain that the instance is in.
    pub domain: String,
    /// The incarnation, which differs for each start of the process.
    pub incarnation: u64,
    /// The address for callers and operators.
    pub address: SocketAddr,
    /// The listen address for links of peers, behind the forwarder.
    pub link_listener: SocketAddr,
    child: KillOnDrop,
}

/// A process that is killed when it is dropped, also if the test fails at its start.
///
/// A process that outlives the test program keeps its output open, so that the reader of
/// the output waits forever.
struct KillOnDrop(Child);

impl KillOnDrop {
    /// Kills the process and waits for its end, but only for a limited time.
    fn kill(&mut self) {
        // The kill fails if the process has already ended.
        let _ = self.0.kill();
        let start = Instant::now();
        while let Ok(None) = self.0.try_wait() {
            if start.elapsed() > PROCESS_TIMEOUT {
                // This must not panic, since it also runs while a failed test unwinds.
                eprintln!(
                    "process {} has not ended {PROCESS_TIMEOUT:?} after it was killed",
                    self.0.id()
                );
                return;
            }
            std::thread::sleep(POLL);
        }
    }
}

impl Drop for KillOnDrop {
    fn drop(&mut self) {
        self.kill();
    }
}

/// The line that an instance prints when it listens.
#[derive(Debug, Deserialize)]
struct ReadyLine {
    incarnation: u64,
    address: SocketAddr,
}

impl Instance {
    /// Starts an instance and waits until it listens.
    ///
    /// Panics if it does not start in time.
    pub fn start(
        name: &str,
        domain: &str,
        peer_address: SocketAddr,
        platform: SocketAddr,
        flags: &[String],
    ) -> Self {
        let mut child = Command::new(env!("CARGO_BIN_EXE_bamboocart-dispatcher"))
            .args(["--name", name, "--failure-domain", domain])
            .args(["--listen", "127.0.0.1:0", "--peer-listen", "127.0.0.1:0"])
            .args(["--peer-address", &peer_address.to_string()])
            .args(["--platform", &platform.to_string()])
            .args(["--log-level", "warn"])
            .args(flags)
            .stdout(Stdio::piped())
            .spawn()
            .expect("the dispatcher starts");
        let output = child.stdout.take().expect("the output is a pipe");
        let child = KillOnDrop(child);
        let line = first_line(name, output);
        let ready: ReadyLine = serde_json::from_str(&line)
            .unwrap_or_else(|error| panic!("{name} is not ready: {error}: {line}"));
        let mut port = None;
        // The socket table may miss an entry while others are added and removed.
        wait_until("the dispatcher's listener for links", PROCESS_TIMEOUT, || {
            port = sockets::other_listening_port(child.0.id(), ready.address);
            port.is_some()
        });
        let port = port.expect("the wait ends with a port");
        Self {
            name: name.into(),
            domain: domain.into(),
            incarnation: ready.incarnation,
            address: ready.address,
            link_listener: SocketAddr::from((Ipv4Addr::LOCALHOST, port)),
            child,
        }
    }

    /// Returns the operating system's id of the process.
    pub fn process_id(&self) -> u32 {
        self.child.0.id()
    }

    /// Returns the body of `GET /v1/status`, and panics if there is no answer.
    pub fn status(&self) -> Value {
        call("GET", self.address, "/v1/status", &Value::Null).1
    }

    /// Returns the body of `GET /v1/status`, or `None` if there is no answer in time.
    pub fn try_status(&self) -> Option<Value> {
        let answer =
            try_call("GET", self.address, "/v1/status", &Value::Null, RECOVERY_TIMEOUT);
        answer.map(|answer| answer.1)
    }

    /// Returns whether the process is running.
    pub fn is_running(&mut self) -> bool {
        matches!(self.child.0.try_wait(), Ok(None))
    }

    /// Starts a planned stop through `POST /v1/drain`.
    pub fn drain(&self) {
        assert_eq!(call("POST", self.address, "/v1/drain", &json!({})).0, 202);
    }

    /// Sends SIGTERM, as the platform does before it replaces an instance.
    pub fn terminate(&self) {
        self.signal(Signal::TERM);
    }

    /// Sends SIGSTOP, which pauses the process until [`resume`](Self::resume) as a pause
    /// of its machine does.
    pub fn pause(&self) {
        self.signal(Signal::STOP);
    }

    /// Sends SIGCONT, which continues a paused process.
    pub fn resume(&self) {
        self.signal(Signal::CONT);
    }

    /// Sends SIGKILL and waits for the end of the process.
    pub fn kill(&mut self) {
        self.child.kill();
    }

    /// Waits until the process ends by itself, and panics at the limit.
    pub fn wait_for_end(&mut self, limit: Duration) {
        let ended = || self.child.0.try_wait().ok().flatten().is_some();
        wait_until("the end of the process", limit, ended);
    }

    /// Sends a signal to the process.
    fn signal(&self, signal: Signal) {
        let id = i32::try_from(self.child.0.id()).ok().and_then(Pid::from_raw);
        kill_process(id.expect("a process has an id"), signal).expect("a child is ours");
    }
}

/// Returns the first line of an instance's output, and panics if none comes in time.
fn first_line(name: &str, output: ChildStdout) -> String {
    let (send, lines) = mpsc::channel();
    std::thread::spawn(move || {
        let mut line = String::new();
        let read = BufReader::new(output).read_line(&mut line);
        // The send fails only if the test has already failed.
        let _ = send.send(read.map(|_| line));
    });
    let line = lines.recv_timeout(PROCESS_TIMEOUT);
    let line = line
        .unwrap_or_else(|_| panic!("{name}: no line of output in {PROCESS_TIMEOUT:?}"));
    line.expect("the output can be read")
}
