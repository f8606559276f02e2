//! The output and the exit code of a command.

use std::io::{self, Write};
use std::process::ExitCode;

use bamboocart_wire::api::OutcomeName;
use serde::Serialize;
use serde_json::{Value, json};

/// The description of the exit codes in the help text.
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
    /// The machine-readable result.
    pub json: Value,
    /// The human-readable result.
    pub text: String,
    /// The exit code, which also selects standard output or standard error for the text.
    pub exit: Exit,
}

/// The exit code of a command.
#[derive(Debug, Copy, Clone, Eq, PartialEq, Ord, PartialOrd)]
pub enum Exit {
    /// The command succeeded.
    Done = 0,
    /// The arguments or a setting are invalid.
    Usage = 1,
    /// The configuration is invalid.
    InvalidConfig = 2,
    /// Another publication replaced the base version first.
    Conflict = 3,
    /// The version is not in force on every instance yet.
    NotInForceEverywhere = 4,
    /// A call to the platform or to an instance failed.
    NoAnswer = 5,
    /// The submission was not run.
    Refused = 6,
    /// The submission failed.
    Failed = 7,
    /// The submission was cancelled.
    Cancelled = 8,
    /// The submission may have run.
    Unknown = 9,
    /// The account failed verification, or the log contains none.
    NotVerified = 10,
}

impl Report {
    /// Creates the report of a command that succeeded.
    pub fn done(json: impl Serialize, text: impl Into<String>) -> Self {
        Self::new(Exit::Done, json, text)
    }

    /// Creates a report; a result that cannot be serialized is replaced by its error.
    pub fn new(exit: Exit, json: impl Serialize, text: impl Into<String>) -> Self {
        let json = serde_json::to_value(json)
            .unwrap_or_else(|error| json!({ "error": error.to_string() }));
        Self { json, text: text.into(), exit }
    }

    /// Prints the report; the text of a command that failed goes to standard error.
    pub fn print(self, as_json: bool) -> ExitCode {
        let text = self.text.trim_end();
        // A closed pipe, as with `| head`, does not change the result of the command.
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
