//! The dispatcher: one entry instance of bamboocart.

mod app;
mod appender;
mod clock;
mod driver;
mod flags;
mod follower;
mod gauges;
mod heard;
mod lister;
mod observe;
mod peers;
mod routes;
mod sender;
mod server;
mod settings;
mod site;
mod spans;
mod waiters;

use std::process::ExitCode;

use bpaf::ParseFailure;

use crate::flags::Flags;
use crate::settings::Settings;

/// The exit code for flags that cannot be parsed and settings that cannot be used.
const USAGE: u8 = 2;

/// The width of help texts.
const MESSAGE_COLUMNS: usize = 100;

/// The first argument of an instance on the users' platform.
const SITE_COMMAND: &str = "site";

/// Starts an instance and runs it until it is told to stop.
fn main() -> ExitCode {
    if std::env::args().nth(1).as_deref() == Some(SITE_COMMAND) {
        return exit_code(site::run());
    }
    let flags = match Flags::from_args() {
        Ok(flags) => flags,
        Err(failure) => {
            failure.print_message(MESSAGE_COLUMNS);
            let usage = matches!(failure, ParseFailure::Stderr(_));
            return if usage { ExitCode::from(USAGE) } else { ExitCode::SUCCESS };
        }
    };
    let settings = match Settings::read(flags) {
        Ok(settings) => settings,
        Err(faults) => {
            faults.iter().for_each(|fault| eprintln!("error: {fault}"));
            return ExitCode::from(USAGE);
        }
    };
    exit_code(app::run(settings))
}

/// Prints an error and returns the exit code of the process.
fn exit_code<E: std::fmt::Display>(result: Result<(), E>) -> ExitCode {
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("error: {error}");
            ExitCode::FAILURE
        }
    }
}
