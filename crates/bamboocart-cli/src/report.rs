//! What a command prints and how it exits.

use std::io::{self, Write};
use std::process::ExitCode;

use bamboocart_wire::api::OutcomeName;
use serde::Serialize;
use serde_json::{Value, json};

/// The exit codes, for the help text.
pub const EXIT_CODES: &str = "Exit codes: \
    0 done; \
    1 wrong usage or settings; \
    2 the configuration has faults; \
    3 another publication was first; \
    4 published, but not in force everywhere in time; \
    5 the platform or an instance gave no usable answer; \
    6 refused, not run; \
    7 failed; \
    8 cancelled; \
    9 outcome unknown, may have run; \
    10 the account has faults, or the log has no account. \
    The environment variable beside a flag sets it too, and the flag takes precedence; \
    N/A means that the variable is not set.";

/// The result of a command.
#[derive(Debug)]
pub struct Report {
    /// The result for programs.
    pub json: Value,
    /// The result for people.
    pub text: String,
    /// The exit code.
    pub exit: Exit,
}

/// The exit code of a command.
#[derive(Debug, Copy, Clone, Eq, PartialEq, Ord, PartialOrd)]
pub enum Exit {
    /// Everything was done.
    Done = 0,
    /// The usage or a setting is wrong.
    Usage = 1,
    /// The configuration has faults.
    InvalidConfig = 2,
    /// Another publication replaced the base first.
    Conflict = 3,
    /// Some instances do not have the version in force yet.
    NotInForceEverywhere = 4,
    /// The platform or an instance gave no usable answer.
    NoAnswer = 5,
    /// The submission was not run.
    Refused = 6,
    /// The submission failed.
    Failed = 7,
    /// The submission was cancelled.
    Cancelled = 8,
    /// The submission may have run.
    Unknown = 9,
    /// The account has faults, or there is none.
    NotVerified = 10,
}

impl Report {
    /// Creates the report of a command that did everything.
    pub fn done(json: impl Serialize, text: impl Into<String>) -> Self {
        Self::new(Exit::Done, json, text)
    }

    /// Creates a report.
    pub fn new(exit: Exit, json: impl Serialize, text: impl Into<String>) -> Self {
        let json = serde_json::to_value(json)
            .unwrap_or_else(|error| json!({ "error": error.to_string() }));
        Self { json, text: text.into(), exit }
    }

    /// Prints the report; text of a command that did not succeed goes to standard error.
    pub fn print(self, as_json: bool) -> ExitCode {
        let text = self.text.trim_end();
        // A closed pipe, as with `| head`, does not change what the command did.
        let _ = match self.exit {
            _ if as_json => writeln!(io::stdout(), "{:#}", self.json),
            Exit::Done => writeln!(io::stdout(), "{text}"),
            _ => writeln!(io::stderr(), "{text}"),
        };
        ExitCode::from(self.exit as u8)
    }
}

impl From<OutcomeName> for Exit {
    fn from(outcome: OutcomeName) -> Self {
        match outcome {
            OutcomeName::Complete => Self::Done,
            OutcomeName::Failed => Self::Failed,
            OutcomeName::Refused => Self::Refused,
            OutcomeName::Cancelled => Self::Cancelled,
            OutcomeName::Unknown => Self::Unknown,
        }
    }
}
