//! Collects the recorded history of a run and checks it for violations.

use std::fs::File;
use std::io::{self, BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use bpaf::Bpaf;
use snafu::{ResultExt, Snafu};

use crate::history::{History, HistoryPage, Policy, Violation, check};

/// The result of collecting the history.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// The sources of the history and the rules of the check.
#[derive(Debug, Clone, Bpaf)]
pub struct Settings {
    /// Control address of minions or workers; give one flag per process
    #[bpaf(argument("IP:PORT"), many)]
    pub control: Vec<SocketAddr>,
    /// History file of a load run; give one flag per run
    #[bpaf(argument("FILE"), many)]
    pub history: Vec<PathBuf>,
    /// Request kind that may be resent or hedged; give one flag per kind
    #[bpaf(argument("KIND"), many)]
    pub repeatable: Vec<String>,
}

/// Collects the history from all sources and returns every violation.
///
/// Fails if a source cannot be read completely.
pub fn verify(settings: &Settings) -> Result<Vec<Violation>> {
    let mut history = History::default();
    for control in &settings.control {
        read_control(*control, &mut history)?;
    }
    for path in &settings.history {
        read_file(path, &mut history)?;
    }
    let repeatable =
        settings.repeatable.iter().map(|kind| kind.as_str().into()).collect();
    Ok(check(&history, &Policy { repeatable }))
}

/// Why the history could not be collected.
#[derive(Debug, Snafu)]
pub enum Error {
    /// A history file cannot be read or contains an invalid record.
    #[snafu(display("could not read {}: {source}; check the path", path.display()))]
    File {
        /// The path as it was given.
        path: PathBuf,
        /// The error of reading or parsing.
        source: io::Error,
    },
    /// A control interface does not answer or its answer cannot be parsed.
    #[snafu(display(
        "could not read the history of {control}: {source}; check that it is running"
    ))]
    Control {
        /// The address of the control interface.
        control: SocketAddr,
        /// The error of the call.
        source: attohttpc::Error,
    },
}

/// Reads the history of the targets of one process, page by page.
fn read_control(control: SocketAddr, history: &mut History) -> Result<()> {
    let mut from = 0;
    loop {
        let url = format!("http://{control}/history?from={from}");
        let response = attohttpc::get(url).send().context(ControlSnafu { control })?;
        let page: HistoryPage = response.json().context(ControlSnafu { control })?;
        if page.events.is_empty() {
            history.dropped += page.dropped;
            return Ok(());
        }
        from = page.next;
        history.events.extend(page.events);
    }
}

/// Reads the history file of a load run, one JSON record a line.
fn read_file(path: &Path, history: &mut History) -> Result<()> {
    let file = File::open(path).context(FileSnafu { path })?;
    for line in BufReader::new(file).lines() {
        let line = line.context(FileSnafu { path })?;
        let record = serde_json::from_str(&line).map_err(io::Error::from);
        history.calls.push(record.context(FileSnafu { path })?);
    }
    Ok(())
}
