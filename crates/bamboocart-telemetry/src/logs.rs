//! Logs as text or JSON lines.

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

/// The result of setting up logs.
pub type Result<T, E = LogsError> = std::result::Result<T, E>;

/// The key of the request id: `log::info!(request_id = id; "...")`.
pub const REQUEST_ID: &str = "request_id";

/// The longest message; the rest is cut off.
const MAX_MESSAGE_BYTES: usize = 16 * 1024;

/// The most key-value pairs of one record.
const MAX_FIELDS: usize = 32;

/// What is logged, and how.
#[derive(Debug, Copy, Clone, Eq, PartialEq)]
pub struct LogSettings {
    /// The least important level that is logged.
    pub level: LevelFilter,
    /// The form of a line.
    pub format: LogFormat,
}

impl Default for LogSettings {
    fn default() -> Self {
        Self { level: LevelFilter::Info, format: LogFormat::Text }
    }
}

/// The form of a line.
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

/// Logs to `sink` from now on, for the whole process.
pub fn install(settings: LogSettings, sink: LineSink) -> Result<()> {
    dispatch(settings, sink).apply().context(InstalledSnafu)
}

/// Logs to `buffer` from now on, for the whole process; the caller writes the buffer.
pub fn install_buffered(settings: LogSettings, buffer: LineBuffer) -> Result<()> {
    dispatch_to(settings, move |line| buffer.push(&line)).apply().context(InstalledSnafu)
}

/// Returns a logger that is not installed, for tests and for further outputs.
pub fn dispatch(settings: LogSettings, sink: LineSink) -> Dispatch {
    dispatch_to(settings, move |line| sink.push(line))
}

/// Returns a logger that passes each line on.
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

/// Why logs could not be set up.
#[derive(Debug, Snafu)]
pub enum LogsError {
    /// The name of the format is unknown.
    #[snafu(display("unknown log format `{text}`; use `text` or `json`"))]
    UnknownFormat {
        /// The name.
        text: String,
    },
    /// There is a logger already.
    #[snafu(display("a logger is already installed; install one per process"))]
    Installed {
        /// The cause.
        source: log::SetLoggerError,
    },
}

/// Formats a record as text on one line.
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

/// Formats a record as a JSON object.
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

/// Returns the key-value pairs of a record.
fn fields(record: &Record<'_>) -> Vec<(String, Json)> {
    let mut fields = Fields(Vec::new());
    // The visitor below never fails, and a source that does has given what it can.
    let _ = record.key_values().visit(&mut fields);
    fields.0
}

/// Collects key-value pairs.
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

/// Converts the value of a pair.
fn json_value(value: &Value<'_>) -> Json {
    match (value.to_bool(), value.to_u64(), value.to_i64(), value.to_f64()) {
        (Some(flag), ..) => flag.into(),
        (_, Some(number), ..) => number.into(),
        (_, _, Some(number), _) => number.into(),
        (.., Some(number)) => number.into(),
        _ => shorten(value.to_string()).into(),
    }
}

/// Cuts off what exceeds the limit.
fn shorten(mut text: String) -> String {
    if text.len() > MAX_MESSAGE_BYTES {
        text.truncate(text.floor_char_boundary(MAX_MESSAGE_BYTES));
        text.push_str(" [cut off]");
    }
    text
}

/// Escapes control characters, so that a caller's text cannot forge a line of its own.
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
