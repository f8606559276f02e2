//! An instance that runs as a child process.

use std::fs;
use std::io::{self, BufRead, BufReader, Write};
use std::iter;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::ops::Range;
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::thread;

use bamboocart_site_standin::{StandIn, wait_until};
use rustix::process::{Pid, Signal, kill_process};
use serde_json::Value;

/// The range of ports for instances that restart.
const FIXED_PORTS: Range<u16> = 12_000..30_000;

/// The number of ports in the block of each test process; at most 24 are in use at a
/// time.
const BLOCK_PORTS: u32 = 64;

/// Counts the ports that were tried, for instances that restart.
static NEXT_PORT: AtomicU32 = AtomicU32::new(0);

/// Counts the settings files, to number them.
static NEXT_FILE: AtomicU32 = AtomicU32::new(0);

/// A running instance, which is killed when it is dropped.
pub struct Instance {
    child: Child,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    /// The address for links from peers.
    pub peer: SocketAddr,
    /// The path of the settings file.
    pub settings: PathBuf,
}

impl Instance {
    /// Starts an instance on free ports and waits until it listens.
    pub fn start(platform: &StandIn, name: &str) -> Self {
        Self::start_with(&platform.settings(name, [0; 4]), io::sink())
    }

    /// Starts an instance with the given settings and waits until it listens; copies its
    /// log to `log`.
    pub fn start_with(settings: &str, mut log: impl Write + Send + 'static) -> Self {
        let (mut command, path) = command(settings);
        let mut child = command.stdout(Stdio::piped()).spawn().unwrap();
        let mut lines = BufReader::new(child.stdout.take().unwrap()).lines();
        let mut keep = move |line: &str| {
            writeln!(log, "{line}").expect("the log should be writable");
        };
        let line = lines
            .by_ref()
            .map(|line| line.unwrap())
            .inspect(|line| keep(line))
            .map(|line| serde_json::from_str::<Value>(&line).unwrap())
            .find(|line| line["message"] == "listening")
            .expect("the instance should log its addresses");
        let address = |field: &str| -> SocketAddr {
            line[field].as_str().unwrap().parse().unwrap()
        };
        let (front, ready) = (address("front"), address("ready"));
        let member = line["member"].as_str().unwrap();
        let peer = member.split('/').nth(2).unwrap().parse().unwrap();
        // Reads the rest, so that the process never blocks on a full pipe.
        thread::spawn(move || lines.map_while(Result::ok).for_each(|line| keep(&line)));
        Self { child, front, ready, peer, settings: path }
    }

    /// Starts an instance and waits until it is ready.
    pub fn start_ready(platform: &StandIn, name: &str) -> Self {
        let instance = Self::start(platform, name);
        assert!(wait_until(|| instance.readiness() == 200), "{name} is not ready");
        instance
    }

    /// Returns the status of a readiness probe, or 0 without a response.
    pub fn readiness(&self) -> u16 {
        let agent: ureq::Agent =
            ureq::Agent::config_builder().http_status_as_error(false).build().into();
        let call = agent.get(format!("http://{}/-/readiness", self.ready)).call();
        call.map_or(0, |response| response.status().as_u16())
    }

    /// Sends a signal to the process.
    pub fn signal(&self, signal: Signal) {
        let pid = Pid::from_child(&self.child);
        kill_process(pid, signal).unwrap();
    }

    /// Waits until the process has exited.
    pub fn wait(&mut self) -> ExitStatus {
        self.child.wait().unwrap()
    }
}

impl Drop for Instance {
    fn drop(&mut self) {
        // The process may have exited already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Writes the settings to a file and returns the command that starts an instance with
/// them, and the path of the file.
pub fn command(settings: &str) -> (Command, PathBuf) {
    let number = NEXT_FILE.fetch_add(1, Ordering::Relaxed);
    let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR"));
    let path = folder.join(format!("site-{}-{number}.conf", std::process::id()));
    fs::write(&path, settings).unwrap();
    let mut command = Command::new(env!("CARGO_BIN_EXE_bamboocart-dispatcher"));
    command.arg("site").env("BAMBOOCART_CONFIG", &path);
    (command, path)
}

/// Returns free ports for clients, readiness, peers and metrics, for an instance that
/// restarts on the same ports.
///
/// They are outside the range of ephemeral ports, since an outgoing connection on one of
/// them would prevent the restart. Each process has its own block, since another run of
/// these tests may bind a port that is free now.
pub fn fixed_ports() -> [u16; 4] {
    let blocks = u32::from(FIXED_PORTS.end - FIXED_PORTS.start) / BLOCK_PORTS;
    let first = (std::process::id() % blocks) * BLOCK_PORTS;
    [(); 4].map(|()| {
        let ports = iter::repeat_with(|| {
            let next = NEXT_PORT.fetch_add(1, Ordering::Relaxed) % BLOCK_PORTS;
            FIXED_PORTS.start + (first + next) as u16
        });
        let free = |port: &u16| TcpListener::bind((Ipv4Addr::LOCALHOST, *port)).is_ok();
        ports
            .take(BLOCK_PORTS as usize)
            .find(free)
            .expect("the block should have a free port")
    })
}
