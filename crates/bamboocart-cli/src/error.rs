//! Why a command ended early.

use std::io;
use std::path::PathBuf;

use attohttpc::ErrorKind;
use bamboocart_core::config::{EncodeError, Finding};
use serde_json::json;
use snafu::Snafu;

use crate::report::{Exit, Report};

/// The result of a command or a part of one.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// Why a command ended early.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum Error {
    /// Settings are missing or wrong.
    #[snafu(display("{}", faults.join("\n")))]
    Settings {
        /// Every fault.
        faults: Vec<String>,
    },
    /// The configuration has faults.
    #[snafu(display(
        "{}",
        findings.iter().map(ToString::to_string).collect::<Vec<_>>().join("\n")
    ))]
    Findings {
        /// Every fault.
        findings: Vec<Finding>,
    },
    /// The platform gave no usable answer.
    #[snafu(display("{source}"), context(false))]
    Platform {
        /// The cause.
        source: bamboocart_platform::Error,
    },
    /// An instance gave no usable answer.
    #[snafu(display(
        "could not {what} at {address}: {source}; check the address and the instance"
    ))]
    Instance {
        /// What was tried.
        what: &'static str,
        /// The address.
        address: String,
        /// The cause.
        source: attohttpc::Error,
    },
    /// An instance refused.
    #[snafu(display(
        "could not {what} at {address}: status {status}; check the instance's log"
    ))]
    Status {
        /// What was tried.
        what: &'static str,
        /// The address.
        address: String,
        /// The HTTP status.
        status: u16,
    },
    /// Records have expired and no snapshot replaces them.
    #[snafu(display(
        "the log has lost records and has no usable snapshot, so the version in force \
         cannot be told; wait for a running instance to append a snapshot"
    ))]
    Undecidable,
    /// It is not known whether an append took effect.
    #[snafu(display(
        "publication {publication} may or may not be on the log: {reason}; run the \
         command again with --publication {publication}"
    ))]
    AppendUnknown {
        /// The publication.
        publication: String,
        /// The last failure.
        reason: String,
    },
    /// An answer to a submission did not arrive.
    #[snafu(display(
        "no answer for {submission}, which may have run: {source}; ask again with \
         --submission {submission} (trace {trace_id})"
    ))]
    Unanswered {
        /// The submission.
        submission: String,
        /// The trace.
        trace_id: String,
        /// The cause.
        #[snafu(source(from(Error, Box::new)))]
        source: Box<Error>,
    },
    /// A log cannot be read.
    #[snafu(display("cannot read the log {}: {source}; check the path", path.display()))]
    ReadLog {
        /// The path; `-` is standard input.
        path: PathBuf,
        /// The cause.
        source: io::Error,
    },
    /// The parser has no completion script.
    #[snafu(display("no completion script was made; run with --json for the flag"))]
    NoCompletion,
    /// A set cannot be shown as TOML.
    #[snafu(display("{source}"), context(false))]
    Encode {
        /// The cause.
        source: EncodeError,
    },
}

impl Error {
    /// Returns whether a call certainly had no effect.
    ///
    /// A status of 500 and above may come from a device on the way, after the instance
    /// has received the request.
    pub fn had_no_effect(&self) -> bool {
        match self {
            Self::Status { status, .. } => *status < 500,
            Self::Instance { source, .. } => match source.kind() {
                ErrorKind::Io(error) => error.kind() == io::ErrorKind::ConnectionRefused,
                _ => false,
            },
            _ => false,
        }
    }

    /// Returns what to print and how to exit.
    pub fn report(&self) -> Report {
        let text = self.to_string();
        match self {
            Self::Settings { faults } => {
                Report::new(Exit::Usage, json!({ "faults": faults }), text)
            }
            Self::Findings { findings } => {
                Report::new(Exit::InvalidConfig, json!({ "findings": findings }), text)
            }
            Self::Unanswered { submission, trace_id, .. } => {
                let json = json!({
                    "error": text, "submission": submission, "trace_id": trace_id,
                });
                Report::new(Exit::Unknown, json, text)
            }
            Self::AppendUnknown { publication, .. } => {
                let json = json!({ "error": text, "publication": publication });
                Report::new(Exit::NoAnswer, json, text)
            }
            Self::ReadLog { .. } => {
                Report::new(Exit::Usage, json!({ "error": text }), text)
            }
            _ => Report::new(Exit::NoAnswer, json!({ "error": text }), text),
        }
    }
}
