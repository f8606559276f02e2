//! Errors of commands.

use std::io;
use std::path::PathBuf;

use attohttpc::ErrorKind;
use bamboocart_adapter::ConfigError;
use bamboocart_core::config::{EncodeError, Finding};
use serde_json::json;
use snafu::Snafu;

use crate::report::{Exit, Report};

/// The result of a command or a part of one.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// Why a command failed.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum Error {
    /// Settings are missing or invalid.
    #[snafu(display("{}", faults.join("\n")))]
    Settings {
        /// All errors, one line for each.
        faults: Vec<String>,
    },
    /// The configuration is invalid.
    #[snafu(display(
        "{}",
        findings.iter().map(ToString::to_string).collect::<Vec<_>>().join("\n")
    ))]
    Findings {
        /// All errors, each with its file and line.
        findings: Vec<Finding>,
    },
    /// A call to the platform failed.
    #[snafu(display("{source}"), context(false))]
    Platform {
        /// The error of the platform client.
        source: bamboocart_platform::Error,
    },
    /// An instance could not be reached, or its response could not be read.
    #[snafu(display(
        "could not {what} at {address}: {source}; check the address and the instance"
    ))]
    Instance {
        /// The operation, as a verb phrase.
        what: &'static str,
        /// The address of the instance.
        address: String,
        /// The error of the HTTP client.
        source: attohttpc::Error,
    },
    /// An instance answered with an error status.
    #[snafu(display(
        "could not {what} at {address}: status {status}; check the instance's log"
    ))]
    Status {
        /// The operation, as a verb phrase.
        what: &'static str,
        /// The address of the instance.
        address: String,
        /// The HTTP status.
        status: u16,
    },
    /// Records have expired, and no snapshot covers them.
    #[snafu(display(
        "records on the log have expired and no usable snapshot covers them, so the \
         version in force is unknown; wait for a running instance to append a snapshot"
    ))]
    VersionUnknown,
    /// It is not known whether an append took effect.
    #[snafu(display(
        "publication {publication} may or may not be on the log: {reason}; run the \
         command again with --publication {publication}"
    ))]
    AppendUnknown {
        /// The id of the publication.
        publication: String,
        /// The most recent failure.
        reason: String,
    },
    /// A submission was sent, but no answer arrived.
    #[snafu(display(
        "no answer for {submission}, which may have run: {source}; ask again with \
         --submission {submission} (trace {trace_id})"
    ))]
    Unanswered {
        /// The id of the submission.
        submission: String,
        /// The id of the trace.
        trace_id: String,
        /// Why the call failed.
        #[snafu(source(from(Error, Box::new)))]
        source: Box<Error>,
    },
    /// A log cannot be read.
    #[snafu(display("cannot read the log {}: {source}; check the path", path.display()))]
    ReadLog {
        /// The path, or `-` for standard input.
        path: PathBuf,
        /// The error of the operating system.
        source: io::Error,
    },
    /// A configuration for the users' platform cannot be read.
    #[snafu(display("cannot read {}: {source}; check the path", path.display()))]
    ReadConfig {
        /// The path of the configuration.
        path: PathBuf,
        /// The error of the operating system.
        source: io::Error,
    },
    /// A configuration for the users' platform cannot be decoded.
    #[snafu(display("{}: {source}", path.display()))]
    SiteConfig {
        /// The path of the configuration.
        path: PathBuf,
        /// The position and the fault in its text.
        source: ConfigError,
    },
    /// The argument parser generated no completion script.
    #[snafu(display(
        "no completion script was generated; run with --json to get the flag"
    ))]
    NoCompletion,
    /// A configuration cannot be written as TOML.
    #[snafu(display("{source}"), context(false))]
    Encode {
        /// Which part cannot be written.
        source: EncodeError,
    },
}

impl Error {
    /// Returns whether a call definitely had no effect.
    ///
    /// A proxy may answer with a status of 500 or above after the instance has received
    /// the request.
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

    /// Returns the report to print, with its exit code.
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
            Self::SiteConfig { .. } => {
                Report::new(Exit::InvalidConfig, json!({ "error": text }), text)
            }
            Self::ReadLog { .. } | Self::ReadConfig { .. } => {
                Report::new(Exit::Usage, json!({ "error": text }), text)
            }
            _ => Report::new(Exit::NoAnswer, json!({ "error": text }), text),
        }
    }
}
