//! A fake platform, fake instances, and functions that run the program.

#![allow(dead_code, reason = "each test file uses a part")]

use std::net::TcpListener;
use std::process::Command;
use std::sync::{Arc, Mutex};

use serde_json::{Value, json};
use tiny_http::{Response, Server};

/// The state and the injected failures of a fake platform.
#[derive(Debug, Default)]
pub struct Platform {
    /// The records of its only stream, by offset.
    pub log: Vec<String>,
    /// The offset of the oldest record that is retained.
    pub start: usize,
    /// The number of appends that take effect but are answered with an error.
    pub lose_answers: u32,
    /// The number of appends that have no effect and are answered with an error.
    pub fail_appends: u32,
    /// A record of another operator that is appended just before the next one.
    pub rival: Option<String>,
    /// The entries of the instance list.
    pub instances: Vec<Value>,
}

/// Starts a fake platform and returns its address and its state.
pub fn platform(state: Platform) -> (String, Arc<Mutex<Platform>>) {
    let state = Arc::new(Mutex::new(state));
    let shared = state.clone();
    let address = serve(move |method, path, body| {
        let mut state = shared.lock().unwrap();
        match (method, path) {
            ("POST", _) => state.append(body),
            ("GET", path) if path.starts_with("/instances?") => {
                let entries = &state.instances;
                (200, json!({ "version": 1, "as_of_ms": 0, "entries": entries }))
            }
            _ => state.read(path),
        }
    });
    (address, state)
}

impl Platform {
    /// Appends a record.
    fn append(&mut self, body: String) -> (u16, Value) {
        if self.fail_appends > 0 {
            self.fail_appends -= 1;
            return (500, Value::Null);
        }
        self.log.extend(self.rival.take());
        self.log.push(body);
        if self.lose_answers > 0 {
            self.lose_answers -= 1;
            return (500, Value::Null);
        }
        (200, json!({ "offset": self.log.len() - 1 }))
    }

    /// Returns at most two records, so that readers need several pages.
    fn read(&self, path: &str) -> (u16, Value) {
        let (_, from) = path.split_once("from=").unwrap();
        let from: usize = from.split('&').next().unwrap().parse().unwrap();
        let from = from.max(self.start);
        let record = |(offset, body): (usize, &String)| json!({ "offset": offset, "at_ms": offset, "body": body });
        let records = self.log.iter().enumerate().skip(from).take(2);
        let records: Vec<_> = records.map(record).collect();
        let end = self.log.len();
        let page = json!({
            "start": self.start, "end": end, "retention_ms": 1000, "records": records,
        });
        (200, page)
    }
}

/// Serves HTTP requests on a free port until the test ends, and returns the address.
pub fn serve<F>(mut answer: F) -> String
where
    F: FnMut(&str, &str, String) -> (u16, Value) + Send + 'static,
{
    let server = Server::http("127.0.0.1:0").unwrap();
    let address = server.server_addr().to_string();
    std::thread::spawn(move || {
        for mut request in server.incoming_requests() {
            let mut body = String::new();
            request.as_reader().read_to_string(&mut body).unwrap();
            let method = request.method().to_string();
            let (status, json) = answer(&method, request.url(), body);
            let response = Response::from_string(json.to_string());
            let _ = request.respond(response.with_status_code(status));
        }
    });
    address
}

/// Returns an address that refuses connections.
pub fn closed_address() -> String {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    listener.local_addr().unwrap().to_string()
}

/// Returns an entry of the instance list.
pub fn entry(name: &str, address: &str) -> Value {
    json!({
        "name": name, "role": "dispatcher", "service": "s", "failure_domain": "a",
        "address": address, "state": "live",
    })
}

/// Returns the status of an instance.
pub fn status(name: &str, version: u64) -> Value {
    json!({
        "instance": name, "failure_domain": "a", "incarnation": 1, "state": "serving",
        "config_version": version, "newest_peer_version": version, "peers": [],
        "groups": [], "targets": [], "queued": 2, "running": 1, "open_submissions": 3,
        "list_is_stale": false, "late_answers": 0,
    })
}

/// Runs the program with `--json` and returns its exit code and result.
pub fn run(args: &[&str], variables: &[(&str, &str)]) -> (i32, Value) {
    let (code, text) = run_text(&[args, &["--json"]].concat(), variables);
    (code, serde_json::from_str(&text).unwrap_or_else(|_| panic!("not JSON: {text}")))
}

/// Runs the program and returns its exit code and its output on both streams.
pub fn run_text(args: &[&str], variables: &[(&str, &str)]) -> (i32, String) {
    let mut command = Command::new(env!("CARGO_BIN_EXE_bamboocart"));
    command.args(args).env("BAMBOOCART_LOG_LEVEL", "off");
    let output = command.envs(variables.iter().copied()).output().unwrap();
    let text = [output.stdout, output.stderr].concat();
    (output.status.code().unwrap(), String::from_utf8(text).unwrap())
}
