//! Tests of the program: it prints its addresses and stops on a signal.

use std::io::{BufRead, BufReader};
use std::process::{Child, Command, Stdio};

use rustix::process::{Pid, Signal, kill_process};
use serde_json::Value;
use yare::parameterized;

/// Starts the program and returns it with the first line of its output.
fn start(flags: &[&str]) -> (Child, Value) {
    let mut child = Command::new(env!("CARGO_BIN_EXE_bamboocart-standin"))
        .args(flags)
        .stdout(Stdio::piped())
        .spawn()
        .unwrap();
    let mut line = String::new();
    BufReader::new(child.stdout.take().unwrap()).read_line(&mut line).unwrap();
    (child, serde_json::from_str(&line).unwrap())
}

/// Guards against a program that does not print its address or does not stop on
/// `SIGTERM`.
#[parameterized(
    platform = { &["platform"], "platform" },
    minions = { &["minions", "--count", "2"], "control" },
    workers = { &["workers", "--count", "2"], "control" },
)]
fn reports_and_stops(flags: &[&str], field: &str) {
    let (mut child, line) = start(flags);
    let address: std::net::SocketAddr = line[field].as_str().unwrap().parse().unwrap();
    assert!(address.ip().is_loopback());
    let pid = Pid::from_raw(child.id().try_into().unwrap()).unwrap();
    kill_process(pid, Signal::TERM).unwrap();
    assert!(child.wait().unwrap().success());
}
