//! Log lines of the engines with virtual time, for one job.

use std::cell::Cell;
use std::fmt::Write;

use log::kv::{Error, Key, Value, VisitSource};
use log::{LevelFilter, Log, Metadata, Record, SetLoggerError};

thread_local! {
    /// The virtual time and the instance that works.
    static PLACE: Cell<(u64, usize)> = const { Cell::new((0, 0)) };
}

/// Prints the lines in which `needle` appears from now on.
pub fn trace(needle: String) -> Result<(), SetLoggerError> {
    log::set_max_level(LevelFilter::Debug);
    log::set_boxed_logger(Box::new(Printer { needle }))
}

/// Notes where the next lines come from.
pub(crate) fn enter(now_us: u64, node: usize) {
    PLACE.set((now_us, node));
}

/// Prints lines that contain a text.
struct Printer {
    needle: String,
}

impl Log for Printer {
    fn enabled(&self, _: &Metadata<'_>) -> bool {
        true
    }

    fn log(&self, record: &Record<'_>) {
        let mut fields = Fields(String::new());
        // Writing into a string does not fail.
        let _ = record.key_values().visit(&mut fields);
        let (now_us, node) = PLACE.get();
        let time = now_us / 1_000;
        let line = format!("{time} entry-{node} {}{}", record.args(), fields.0);
        if line.contains(&self.needle) {
            println!("{line}");
        }
    }

    fn flush(&self) {}
}

/// Collects key-value pairs as text.
struct Fields(String);

impl<'kvs> VisitSource<'kvs> for Fields {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        write!(self.0, " {key}={value}").map_err(Error::from)
    }
}
