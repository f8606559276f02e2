//! Runs one case of the review: `case NAME FOLDER`. The exit code is 1 if the rule was broken,
//! 0 if it held and 2 if the case could not run.

mod cases;
mod http;
mod json;
mod minions;
mod record;
mod site;
mod store;

use std::path::PathBuf;
use std::time::{SystemTime, UNIX_EPOCH};

/// How long the store keeps records, in seconds.
pub const KEEP_S: u64 = 20;

/// The number of partitions of a topic.
pub const PARTS: u64 = 24;

/// The names of calls and fields on the wire, one to a line after the name used here.
const WIRE: &str = include_str!("wire.txt");

/// Returns the name on the wire.
pub fn wire(name: &str) -> &'static str {
    let found =
        WIRE.lines().find_map(|line| line.split_once(' ').filter(|it| it.0 == name));
    found.expect("a name of the list").1
}

/// The time of day in milliseconds since the Unix epoch.
pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, number, folder] = arguments.as_slice() else {
        println!("usage: case NAME FOLDER");
        std::process::exit(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = record::Record::new(PathBuf::from(folder).join("record.txt"));
    let outcome = std::panic::catch_unwind(|| cases::run(number, &record, trouble));
    match outcome {
        Ok(true) => record.say("the rule was broken"),
        Ok(false) => record.say("the rule held"),
        Err(_) => record.say("the case could not run"),
    }
    record.write();
    std::process::exit(outcome.map_or(2, i32::from));
}
