//! Tests of log lines, of the queue in front of their output, and of RFC 3339 times.

use std::io::{self, Write};
use std::sync::{Arc, Mutex};
use std::time::{Duration, SystemTime};

use bamboocart_telemetry::lines::{LineSink, MAX_LINE_BYTES};
use bamboocart_telemetry::logs::{LogFormat, LogSettings, REQUEST_ID, dispatch};
use bamboocart_telemetry::utc::rfc3339;
use crossbeam::channel::{Receiver, bounded};
use log::{Level, LevelFilter, Log, Record};
use serde_json::Value;
use yare::parameterized;

/// The time limit of a flush.
const FLUSH_TIMEOUT: Duration = Duration::from_secs(20);

/// An output in memory.
#[derive(Clone, Default)]
struct Memory(Arc<Mutex<Vec<u8>>>);

impl Write for Memory {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0.lock().unwrap().write(bytes)
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Logs two records, one below the log level, and returns the output.
fn logged(format: LogFormat, message: &str) -> String {
    let memory = Memory::default();
    let sink = LineSink::start(memory.clone()).unwrap();
    let settings = LogSettings { level: LevelFilter::Info, format };
    let (_, logger) = dispatch(settings, sink.clone()).into_log();
    log_with(&*logger, Level::Debug, "below the level");
    log_with(&*logger, Level::Warn, message);
    assert!(sink.flush(FLUSH_TIMEOUT));
    String::from_utf8(memory.0.lock().unwrap().clone()).unwrap()
}

fn log_with(logger: &dyn Log, level: Level, message: &str) {
    let pairs = [(REQUEST_ID, "t.marka.a1.5.7.beef"), ("line", "a\nb")];
    logger.log(
        &Record::builder()
            .level(level)
            .target("engine")
            .key_values(&pairs)
            .args(format_args!("{message}"))
            .build(),
    );
}

/// Guards against records without their request id, and against messages and values with
/// line feeds that forge a log line.
#[parameterized(
    plain = { "refused", "refused" },
    forged = { "refused\n2026 ERROR", "refused\\n2026 ERROR" },
)]
fn text_lines_carry_the_request_id(message: &str, expected: &str) {
    let text = logged(LogFormat::Text, message);
    let (time, rest) = text.split_once(' ').unwrap();
    assert!(time.starts_with("20") && time.ends_with('Z') && time.len() == 27, "{time}");
    let pairs = "request_id=t.marka.a1.5.7.beef line=a\\nb";
    assert_eq!(rest, format!("WARN  engine {expected} {pairs}\n"));
}

/// Guards against lines that are not JSON objects or lack a field.
#[test]
fn json_lines_carry_the_request_id() {
    let text = logged(LogFormat::Json, "refused\n\"x\"");
    assert_eq!(text.lines().count(), 1);
    let line: Value = serde_json::from_str(&text).unwrap();
    assert_eq!(line["request_id"], "t.marka.a1.5.7.beef");
    assert_eq!(line["message"], "refused\n\"x\"");
    assert_eq!(line["level"], "WARN");
    assert_eq!(line["target"], "engine");
}

/// Guards against wrong dates around leap days and at year ends.
#[parameterized(
    epoch = { 0, "1970-01-01T00:00:00" },
    end_of_year = { 1_767_225_599, "2025-12-31T23:59:59" },
    leap_day = { 1_709_164_800, "2024-02-29T00:00:00" },
    leap_day_of_a_century = { 951_782_400, "2000-02-29T00:00:00" },
    century_without_one = { 4_107_542_400, "2100-03-01T00:00:00" },
)]
fn formats_dates(unix_s: u64, expected: &str) {
    let time = SystemTime::UNIX_EPOCH + Duration::from_secs(unix_s);
    assert_eq!(rfc3339(time), format!("{expected}.000000Z"));
}

/// Guards against an unknown format that is silently read as another one.
#[test]
fn unknown_formats_are_refused() {
    assert_eq!("json".parse::<LogFormat>().unwrap(), LogFormat::Json);
    assert!("JSON ".parse::<LogFormat>().is_err());
}

/// An output that blocks until the channel is closed.
struct Blocked(Receiver<()>);

impl Write for Blocked {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let _ = self.0.recv();
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Guards against threads that block because nobody reads their log, and against an
/// unbounded queue.
#[test]
fn a_blocked_output_drops_lines_and_blocks_no_caller() {
    let (release, blocked) = bounded(0);
    let sink = LineSink::with_capacity(Blocked(blocked), 10).unwrap();
    for _ in 0..100 {
        sink.push("line".into());
    }
    // Ten lines are queued, and the writer thread may hold one more.
    assert!((89..=90).contains(&sink.dropped()), "{} dropped", sink.dropped());
    assert!(!sink.flush(Duration::from_millis(10)));
    drop(release);
    assert!(sink.flush(FLUSH_TIMEOUT));
    let before = sink.dropped();
    sink.push("x".repeat(MAX_LINE_BYTES + 1));
    assert_eq!(sink.dropped(), before + 1);
}
