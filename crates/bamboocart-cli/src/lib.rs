//! The command line for operators of bamboocart.
//!
//! The program is a thin shell around [`run`], so that tests of other crates can run the
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

/// The widest line of usage errors.
const MESSAGE_CHARS: usize = 90;

/// Runs the command that the arguments name and prints what came of it.
pub fn run_and_print(args: Args<'_>) -> ExitCode {
    let command = match commands::options().run_inner(args) {
        Ok(command) => command,
        Err(failure) => {
            failure.print_message(MESSAGE_CHARS);
            return ExitCode::from(u8::try_from(failure.exit_code()).unwrap_or(1));
        }
    };
    let json = command.common().json();
    command.run().unwrap_or_else(|error| error.report()).print(json)
}

/// Runs the command that the arguments name and returns what came of it.
pub fn run(args: &[&str]) -> Result<Report, ParseFailure> {
    let command = commands::options().run_inner(args)?;
    Ok(command.run().unwrap_or_else(|error| error.report()))
}
