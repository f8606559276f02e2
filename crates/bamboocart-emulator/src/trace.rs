//! Prints log lines of the engines and the minions with their virtual time, for example
//! those of one job.

use std::cell::Cell;
use std::fmt::{self, Display, Formatter, Write};

use log::kv::{Error, Key, Value, VisitSource};
use log::{LevelFilter, Log, Metadata, Record, SetLoggerError};

thread_local! {
    /// The virtual time in microseconds and the part of the system that runs.
    static CONTEXT: Cell<(u64, Source)> = const { Cell::new((0, Source::Instance(0))) };
}

/// The part of the system from which log lines come.
#[derive(Debug, Copy, Clone)]
pub(crate) enum Source {
    /// The instance with an index.
    Instance(usize),
    /// The minion with an index.
    Minion(usize),
}

impl Display for Source {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match self {
            Self::Instance(index) => write!(f, "entry-{index}"),
            Self::Minion(index) => write!(f, "m-{index:03}"),
        }
    }
}

/// Installs a logger that prints the lines that contain any of `texts`.
///
/// Fails if the process already has a logger.
pub fn install_trace(texts: Vec<String>) -> Result<(), SetLoggerError> {
    log::set_max_level(LevelFilter::Debug);
    log::set_boxed_logger(Box::new(Printer { texts }))
}

/// Sets the time and the source of the next lines.
pub(crate) fn set_context(now_us: u64, source: Source) {
    CONTEXT.set((now_us, source));
}

/// A logger that prints the lines that contain any of some texts.
struct Printer {
    texts: Vec<String>,
}

impl Log for Printer {
    fn enabled(&self, _: &Metadata<'_>) -> bool {
        true
    }

    fn log(&self, record: &Record<'_>) {
        let mut fields = Fields(String::new());
        // Writing to a string cannot fail.
        let _ = record.key_values().visit(&mut fields);
        let (now_us, source) = CONTEXT.get();
        let time = now_us / 1_000;
        let line = format!("{time} {source} {}{}", record.args(), fields.0);
        if self.texts.iter().any(|text| line.contains(text)) {
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
