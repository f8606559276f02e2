//! Log output as lines of text or JSON.

use std::fmt::Arguments;
use std::str::FromStr;
use std::time::SystemTime;

use fern::{Dispatch, FormatCallback};
use log::kv::{Key, Value, VisitSource};
use log::{LevelFilter, Record};
use serde_json::{Map, Value as Json};
use snafu::{ResultExt, Snafu};

use crate::buffer::LineBuffer;
use crate::lines::LineSink;
use crate::utc;

/// The result of setting up the logger.
pub type Result<T, E = LogsError> = std::result::Result<T, E>;

/// The key that carries the id of a request: `log::info!(request_id = id; "...")`.
pub const REQUEST_ID: &str = "request_id";

/// The longest message or value; the rest is truncated.
const MAX_MESSAGE_BYTES: usize = 16 * 1024;

/// The most key-value pairs that are written of a record; the rest is dropped.
const MAX_FIELDS: usize = 32;

/// The level and the format of the log.
#[derive(Debug, Copy, Clone, Eq, PartialEq)]
pub struct LogSettings {
    /// The most verbose level that is logged.
    pub level: LevelFilter,
    /// The format of each line.
    pub format: LogFormat,
}

impl Default for LogSettings {
    fn default() -> Self {
        Self { level: LevelFilter::Info, format: LogFormat::Text }
    }
}

/// The format of a log line.
#[derive(Debug, Copy, Clone, Eq, PartialEq)]
pub enum LogFormat {
    /// Time, level, target, message, and `key=value` pairs.
    Text,
    /// One JSON object per line.
    Json,
}

impl FromStr for LogFormat {
    type Err = LogsError;

    fn from_str(text: &str) -> Result<Self> {
        match text {
            "text" => Ok(Self::Text),
            "json" => Ok(Self::Json),
            _ => UnknownFormatSnafu { text }.fail(),
        }
    }
}

/// Installs a logger to `sink` for the whole process.
///
/// Fails if a logger is already installed.
pub fn install(settings: LogSettings, sink: LineSink) -> Result<()> {
    dispatch(settings, sink).apply().context(InstalledSnafu)
}

/// Installs a logger to `buffer` for the whole process; the caller writes the buffer out.
///
/// Fails if a logger is already installed.
pub fn install_buffered(settings: LogSettings, buffer: LineBuffer) -> Result<()> {
    dispatch_to(settings, move |line| buffer.push(&line)).apply().context(InstalledSnafu)
}

/// Returns a logger that is not installed, for tests and additional outputs.
pub fn dispatch(settings: LogSettings, sink: LineSink) -> Dispatch {
    dispatch_to(settings, move |line| sink.push(line))
}

/// Returns a logger that passes each formatted line to `push`.
fn dispatch_to(
    settings: LogSettings,
    push: impl Fn(String) + Send + Sync + 'static,
) -> Dispatch {
    let format = match settings.format {
        LogFormat::Text => text_line,
        LogFormat::Json => json_line,
    };
    let write = fern::Output::call(move |record| push(record.args().to_string()));
    Dispatch::new().level(settings.level).format(format).chain(write)
}

/// An error while setting up the logger.
#[derive(Debug, Snafu)]
pub enum LogsError {
    /// The log format is neither `text` nor `json`.
    #[snafu(display("unknown log format `{text}`; use `text` or `json`"))]
    UnknownFormat {
        /// The rejected name of a format.
        text: String,
    },
    /// The process already has a logger.
    #[snafu(display("a logger is already installed; install one per process"))]
    Installed {
        /// The error of the `log` crate.
        source: log::SetLoggerError,
    },
}

/// Formats a record as one line of text.
fn text_line(out: FormatCallback<'_>, message: &Arguments<'_>, record: &Record<'_>) {
    let mut line = format!(
        "{} {:5} {} {}",
        utc::rfc3339(SystemTime::now()),
        record.level(),
        record.target(),
        one_line(&shorten(message.to_string())),
    );
    for (key, value) in fields(record) {
        let value = match value {
            Json::String(text) => one_line(&text),
            other => other.to_string(),
        };
        line.push_str(&format!(" {key}={value}"));
    }
    out.finish(format_args!("{line}"));
}

/// Formats a record as a JSON object; the four fixed keys take precedence over pairs.
fn json_line(out: FormatCallback<'_>, message: &Arguments<'_>, record: &Record<'_>) {
    let mut line = Map::new();
    line.insert("time".into(), utc::rfc3339(SystemTime::now()).into());
    line.insert("level".into(), record.level().as_str().into());
    line.insert("target".into(), record.target().into());
    line.insert("message".into(), shorten(message.to_string()).into());
    for (key, value) in fields(record) {
        line.entry(key).or_insert(value);
    }
    out.finish(format_args!("{}", Json::Object(line)));
}

/// Returns the key-value pairs of a record, at most [`MAX_FIELDS`].
fn fields(record: &Record<'_>) -> Vec<(String, Json)> {
    let mut fields = Fields(Vec::new());
    // The visitor never fails. If the source does, the pairs it gave so far are kept.
    let _ = record.key_values().visit(&mut fields);
    fields.0
}

/// Collects key-value pairs up to [`MAX_FIELDS`].
struct Fields(Vec<(String, Json)>);

impl<'kvs> VisitSource<'kvs> for Fields {
    fn visit_pair(
        &mut self,
        key: Key<'kvs>,
        value: Value<'kvs>,
    ) -> Result<(), log::kv::Error> {
        if self.0.len() < MAX_FIELDS {
            self.0.push((key.to_string(), json_value(&value)));
        }
        Ok(())
    }
}

/// Converts a value to JSON; what is neither a boolean nor a number becomes a string.
fn json_value(value: &Value<'_>) -> Json {
    match (value.to_bool(), value.to_u64(), value.to_i64(), value.to_f64()) {
        (Some(flag), ..) => flag.into(),
        (_, Some(number), ..) => number.into(),
        (_, _, Some(number), _) => number.into(),
        (.., Some(number)) => number.into(),
        _ => shorten(value.to_string()).into(),
    }
}

/// Truncates a text to [`MAX_MESSAGE_BYTES`] and marks the cut.
fn shorten(mut text: String) -> String {
    if text.len() > MAX_MESSAGE_BYTES {
        text.truncate(text.floor_char_boundary(MAX_MESSAGE_BYTES));
        text.push_str(" [cut off]");
    }
    text
}

/// Escapes control characters, so that text of a caller cannot forge a log line.
fn one_line(text: &str) -> String {
    let mut line = String::with_capacity(text.len());
    for character in text.chars() {
        match character.is_control() {
            true => line.extend(character.escape_default()),
            false => line.push(character),
        }
    }
    line
}
