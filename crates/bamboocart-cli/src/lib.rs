//! The command line for operators of bamboocart.
//!
//! The binary only calls [`run_and_print`]. Tests of other crates call [`run`] to run
//! commands against real instances.

mod commands;
mod config_log;
mod error;
mod files;
mod instance;
mod report;
mod settings;
mod trace;

use std::process::ExitCode;

use bpaf::{Args, ParseFailure};

pub use self::report::{Exit, Report};

/// The line width of usage errors, in characters.
const MESSAGE_WIDTH: usize = 90;

/// Runs the command that the arguments specify and prints its report.
pub fn run_and_print(args: Args<'_>) -> ExitCode {
    let command = match commands::options().run_inner(args) {
        Ok(command) => command,
        Err(failure) => {
            failure.print_message(MESSAGE_WIDTH);
            return ExitCode::from(u8::try_from(failure.exit_code()).unwrap_or(1));
        }
    };
    let json = command.common().json();
    command.run().unwrap_or_else(|error| error.report()).print(json)
}

/// Runs the command that the arguments specify and returns its report.
///
/// Fails if the arguments cannot be parsed; a command that fails returns a report.
pub fn run(args: &[&str]) -> Result<Report, ParseFailure> {
    let command = commands::options().run_inner(args)?;
    Ok(command.run().unwrap_or_else(|error| error.report()))
}
