//! The record of a case: what was sent, answered and run.

use std::fs;
use std::path::PathBuf;
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// Collects lines; clones share them.
#[derive(Clone)]
pub struct Record {
    start: Instant,
    path: PathBuf,
    lines: Arc<Mutex<Vec<(Instant, String)>>>,
}

impl Record {
    pub fn new(path: PathBuf) -> Self {
        Self { start: Instant::now(), path, lines: Arc::default() }
    }

    pub fn start(&self) -> Instant {
        self.start
    }

    pub fn now(&self, line: &str) {
        self.at(Instant::now(), line);
    }

    /// Adds a line to the record and prints it.
    pub fn say(&self, line: &str) {
        println!("{:8.3} {line}", self.start.elapsed().as_secs_f64());
        self.now(line);
    }

    pub fn at(&self, at: Instant, line: &str) {
        self.lines.lock().expect("the lines").push((at, line.into()));
    }

    /// Writes all lines in the order of their times, in seconds from the start.
    pub fn write(&self) {
        let mut lines = self.lines.lock().expect("the lines").clone();
        lines.sort_by_key(|(at, _)| *at);
        let text: String = lines
            .iter()
            .map(|(at, line)| {
                let at = at.saturating_duration_since(self.start).as_secs_f64();
                format!("{at:8.3} {line}\n")
            })
            .collect();
        fs::write(&self.path, text).expect("the record can be written");
    }
}
