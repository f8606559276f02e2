//! Prints log lines of the engines with their virtual time, for example those of one job.

use std::cell::Cell;
use std::fmt::Write;

use log::kv::{Error, Key, Value, VisitSource};
use log::{LevelFilter, Log, Metadata, Record, SetLoggerError};

thread_local! {
    /// The virtual time in microseconds and the index of the instance that runs.
    static CONTEXT: Cell<(u64, usize)> = const { Cell::new((0, 0)) };
}

/// Installs a logger that prints the lines that contain `text`.
///
/// Fails if the process already has a logger.
pub fn install_trace(text: String) -> Result<(), SetLoggerError> {
    log::set_max_level(LevelFilter::Debug);
    log::set_boxed_logger(Box::new(Printer { text }))
}

/// Sets the time and the instance from which the next lines come.
pub(crate) fn set_context(now_us: u64, instance: usize) {
    CONTEXT.set((now_us, instance));
}

/// A logger that prints the lines that contain a text.
struct Printer {
    text: String,
}

impl Log for Printer {
    fn enabled(&self, _: &Metadata<'_>) -> bool {
        true
    }

    fn log(&self, record: &Record<'_>) {
        let mut fields = Fields(String::new());
        // Writing to a string cannot fail.
        let _ = record.key_values().visit(&mut fields);
        let (now_us, instance) = CONTEXT.get();
        let time = now_us / 1_000;
        let line = format!("{time} entry-{instance} {}{}", record.args(), fields.0);
        if line.contains(&self.text) {
            println!("{line}");
        }
    }

    fn flush(&self) {}
}

/// Collects the key-value pairs of a record as text.
struct Fields(String);

impl<'kvs> VisitSource<'kvs> for Fields {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        write!(self.0, " {key}={value}").map_err(Error::from)
    }
}
