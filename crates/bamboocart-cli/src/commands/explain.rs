//! The command `explain`.

use std::collections::BTreeMap;
use std::fs::File;
use std::io::{self, BufRead, BufReader};
use std::path::{Path, PathBuf};

use bpaf::Bpaf;
use serde_json::{Map, Value, json};
use snafu::ResultExt;

use crate::error::{ReadLogSnafu, Result};
use crate::report::{EXIT_CODES, Exit, Report};
use crate::settings::{Common, SettingErrors};

/// The maximum number of lines shown; a job of 240 tasks that are all retried has fewer.
const MAX_LINES: usize = 10_000;

/// The maximum number of lines about evacuations that are considered.
const MAX_OPERATOR_LINES: usize = 1_000;

/// The `target` of lines about what operators have requested.
const OPERATOR_TARGET: &str = "operator";

/// The fields that are shown in a column of their own, or not at all.
const NON_DETAIL_FIELDS: [&str; 6] =
    ["time", "message", "level", "target", "request_id", "instance"];

/// Print the history of a request from log lines of several instances
#[derive(Debug, Clone, Bpaf)]
#[bpaf(command("explain"), footer(EXIT_CODES))]
pub struct Explain {
    /// Settings of every command
    #[bpaf(external(crate::settings::common))]
    pub common: Common,
    /// The id of the request
    #[bpaf(positional("ID"))]
    id: String,
    /// Logs of instances; without any, standard input is read
    #[bpaf(positional("FILE"))]
    files: Vec<PathBuf>,
}

/// A structured log line about the request.
#[derive(Debug)]
struct LogLine {
    /// The instance, from the field, the prefix of the line or the name of the file.
    instance: String,
    /// The time of the line as RFC 3339 text, which sorts chronologically.
    time: String,
    fields: Map<String, Value>,
}

impl Explain {
    /// Runs the command.
    pub fn run(&self) -> Result<Report> {
        let mut errors = SettingErrors::default();
        self.common.check(&mut errors);
        errors.finish()?;
        let mut lines = Lines::default();
        if self.files.is_empty() {
            let input = io::stdin().lock();
            self.collect(input, "-", &mut lines)
                .context(ReadLogSnafu { path: Path::new("-") })?;
        }
        for path in &self.files {
            let name = path.file_stem().map(|stem| stem.to_string_lossy().into_owned());
            let file = File::open(path).context(ReadLogSnafu { path })?;
            self.collect(BufReader::new(file), &name.unwrap_or_default(), &mut lines)
                .context(ReadLogSnafu { path })?;
        }
        Ok(self.report(&lines.in_order()))
    }

    /// Collects the lines about the request and about evacuations; other lines and invalid
    /// ones are skipped.
    fn collect(
        &self,
        input: impl BufRead,
        name: &str,
        lines: &mut Lines,
    ) -> io::Result<()> {
        for line in input.split(b'\n') {
            let line = line?;
            let text = String::from_utf8_lossy(&line);
            if lines.request.len() < MAX_LINES && text.contains(&*self.id) {
                lines.request.extend(LogLine::parse(&text, name));
            } else if lines.operator.len() < MAX_OPERATOR_LINES
                && text.contains(OPERATOR_TARGET)
            {
                let line = LogLine::parse(&text, name);
                let about = |line: &LogLine| {
                    line.text("target") == OPERATOR_TARGET
                        && line.fields.contains_key("failure_domain")
                };
                lines.operator.extend(line.filter(about));
            }
        }
        Ok(())
    }

    /// Returns the lines in order, followed by a summary.
    fn report(&self, lines: &[LogLine]) -> Report {
        if lines.is_empty() {
            let text = format!(
                "no line names `{}`; give the logs of all instances of that time",
                self.id
            );
            return Report::new(Exit::NoAnswer, json!({ "lines": [] }), text);
        }
        let mut text = String::new();
        let width = lines.iter().map(|line| line.instance.len()).max().unwrap_or(0);
        for line in lines {
            let clock = line.time.split('T').next_back().unwrap_or_default();
            let message = line.text("message");
            let details = line.details();
            text.push_str(&format!(
                "{clock:16} {:width$}  {message}{details}\n",
                line.instance
            ));
        }
        let summary = summary(lines);
        text.push_str(&summary);
        let lines: Vec<Value> = lines.iter().map(LogLine::to_json).collect();
        Report::done(json!({ "lines": lines, "summary": summary }), text)
    }
}

/// The lines that tell what became of a request.
#[derive(Debug, Default)]
struct Lines {
    /// Those that name the request.
    request: Vec<LogLine>,
    /// Those about evacuations of failure domains.
    operator: Vec<LogLine>,
}

impl Lines {
    /// Returns the lines about the request in their order, among them those about evacuations
    /// that took place meanwhile, and the last one of each instance and failure domain from
    /// before, which tells what was in force.
    fn in_order(mut self) -> Vec<LogLine> {
        self.request.sort_by(|a, b| a.time.cmp(&b.time));
        let span = self.request.first().zip(self.request.last());
        let Some((first, last)) = span.map(|(a, b)| (a.time.clone(), b.time.clone()))
        else {
            return self.request;
        };
        self.operator.sort_by(|a, b| a.time.cmp(&b.time));
        let mut before: BTreeMap<(String, String), LogLine> = BTreeMap::new();
        for line in self.operator {
            match () {
                () if line.time > last => {}
                () if line.time >= first => self.request.push(line),
                () => {
                    let key = (line.instance.clone(), line.text("failure_domain"));
                    before.insert(key, line);
                }
            }
        }
        self.request.extend(before.into_values());
        self.request.sort_by(|a, b| a.time.cmp(&b.time));
        self.request
    }
}

impl LogLine {
    /// Parses a line, which may have a prefix before its JSON object.
    fn parse(text: &str, name: &str) -> Option<Self> {
        let (prefix, object) = text.split_at(text.find('{')?);
        let fields: Map<String, Value> = serde_json::from_str(object.trim_end()).ok()?;
        let named = fields.get("instance").and_then(Value::as_str);
        let instance = named.or(prefix.split_whitespace().next_back()).unwrap_or(name);
        let time = fields.get("time").and_then(Value::as_str)?.to_owned();
        Some(Self { instance: instance.to_owned(), time, fields })
    }

    /// Returns a field as text.
    fn text(&self, field: &str) -> String {
        match self.fields.get(field) {
            Some(Value::String(text)) => text.clone(),
            Some(value) => value.to_string(),
            None => String::new(),
        }
    }

    /// Returns the remaining fields as ` key=value` pairs.
    fn details(&self) -> String {
        let fields =
            self.fields.keys().filter(|key| !NON_DETAIL_FIELDS.contains(&&***key));
        fields.map(|key| format!(" {key}={}", self.text(key))).collect()
    }

    /// Returns the fields of the line with its instance.
    fn to_json(&self) -> Value {
        let mut fields = self.fields.clone();
        fields.insert("instance".into(), json!(self.instance));
        Value::Object(fields)
    }
}

/// Summarizes the request as far as the lines show.
fn summary(lines: &[LogLine]) -> String {
    let count = |message: &str| {
        lines.iter().filter(|line| line.text("message") == message).count()
    };
    let last = |message: &str| lines.iter().rfind(|line| line.text("message") == message);
    let end = match (last("job ended"), last("job refused"), last("job accepted")) {
        (Some(line), ..) => {
            let (answer, why) = (line.text("answer"), line.text("why"));
            let (done, tasks) = (line.text("done"), line.text("tasks"));
            let answer = if answer == "None" { "no answer".to_owned() } else { answer };
            format!(
                "{} ended it after {} ms: {why}, {answer}, {done} of {tasks} tasks done",
                line.instance,
                line.text("age_ms")
            )
        }
        (None, Some(line), _) => {
            format!("{} refused it: {}", line.instance, line.text("reason"))
        }
        (None, None, Some(line)) => format!(
            "{} accepted it and logged no end; it may have ended with the process",
            line.instance
        ),
        (None, None, None) => "no instance logged that it took the request".to_owned(),
    };
    format!(
        "accepted {}, placed {}, failed {}, void {}; {end}\n",
        count("job accepted"),
        count("task placed"),
        count("run failed"),
        count("run is void and waits again")
    )
}
