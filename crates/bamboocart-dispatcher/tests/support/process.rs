//! A dispatcher process.

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

/// The time in which a process starts, or ends after it was killed, on a busy machine.
const START: Duration = Duration::from_secs(30);

/// A running dispatcher, killed when it is dropped.
pub struct Instance {
    /// The name.
    pub name: String,
    /// The failure domain.
    pub domain: String,
    /// The run of the process.
    pub incarnation: u64,
    /// Where callers connect.
    pub address: SocketAddr,
    /// Where links of peers arrive behind the forwarder.
    pub link_listener: SocketAddr,
    child: KilledOnDrop,
}

/// A process that does not outlive the test, also when a test fails at its start.
///
/// One that did would keep the output of the test program open, and whoever reads that
/// would wait for its end for ever.
struct KilledOnDrop(Child);

impl KilledOnDrop {
    /// Kills the process and waits until it has ended.
    fn kill(&mut self) {
        // The process may have ended by itself.
        let _ = self.0.kill();
        let start = Instant::now();
        while let Ok(None) = self.0.try_wait() {
            if start.elapsed() > START {
                // Not a panic, since this also runs while a failed test unwinds.
                eprintln!(
                    "process {} has not ended {START:?} after it was killed",
                    self.0.id()
                );
                return;
            }
            std::thread::sleep(POLL);
        }
    }
}

impl Drop for KilledOnDrop {
    fn drop(&mut self) {
        self.kill();
    }
}

/// The line that a dispatcher writes when it is ready.
#[derive(Debug, Deserialize)]
struct Ready {
    incarnation: u64,
    address: SocketAddr,
}

impl Instance {
    /// Starts a dispatcher and reads its addresses.
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
        let child = KilledOnDrop(child);
        let line = first_line(name, output);
        let ready: Ready = serde_json::from_str(&line)
            .unwrap_or_else(|error| panic!("{name} is not ready: {error}: {line}"));
        let mut port = None;
        // The table of sockets may lack a line while others are added and removed.
        wait_until("the dispatcher's listener for links", START, || {
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

    /// Returns the id of the process.
    pub fn process_id(&self) -> u32 {
        self.child.0.id()
    }

    /// Returns the state that `GET /v1/status` reports.
    pub fn status(&self) -> Value {
        call("GET", self.address, "/v1/status", &Value::Null).1
    }

    /// Returns the state, or nothing when the instance does not answer in time.
    pub fn try_status(&self) -> Option<Value> {
        let answer =
            try_call("GET", self.address, "/v1/status", &Value::Null, RECOVERY_TIMEOUT);
        answer.map(|answer| answer.1)
    }

    /// Returns whether the process has not ended.
    pub fn is_running(&mut self) -> bool {
        matches!(self.child.0.try_wait(), Ok(None))
    }

    /// Begins a planned stop.
    pub fn drain(&self) {
        assert_eq!(call("POST", self.address, "/v1/drain", &json!({})).0, 202);
    }

    /// Asks the process to end, as the platform does before it replaces an instance.
    pub fn terminate(&self) {
        self.signal(Signal::TERM);
    }

    /// Stops the process until [`resume`](Self::resume), as a pause of its machine does.
    pub fn pause(&self) {
        self.signal(Signal::STOP);
    }

    /// Continues the process.
    pub fn resume(&self) {
        self.signal(Signal::CONT);
    }

    /// Kills the process.
    pub fn kill(&mut self) {
        self.child.kill();
    }

    /// Waits for the process to end by itself.
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

/// Returns the first line that a dispatcher writes.
fn first_line(name: &str, output: ChildStdout) -> String {
    let (send, lines) = mpsc::channel();
    std::thread::spawn(move || {
        let mut line = String::new();
        let read = BufReader::new(output).read_line(&mut line);
        // The test has failed if nobody receives.
        let _ = send.send(read.map(|_| line));
    });
    let line = lines.recv_timeout(START);
    let line = line.unwrap_or_else(|_| panic!("{name}: no line of output in {START:?}"));
    line.expect("the output can be read")
}
