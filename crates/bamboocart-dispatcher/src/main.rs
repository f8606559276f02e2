//! The dispatcher process, which runs one instance of bamboocart.

mod site;
#[cfg(feature = "standalone")]
mod standalone;

use std::fmt::Display;
use std::process::ExitCode;

/// The subcommand that runs an instance on the users' platform.
const SITE_COMMAND: &str = "site";

/// Runs an instance until a signal stops it.
fn main() -> ExitCode {
    if std::env::args().nth(1).as_deref() == Some(SITE_COMMAND) {
        return exit_code(site::run());
    }
    #[cfg(feature = "standalone")]
    return standalone::run();
    #[cfg(not(feature = "standalone"))]
    exit_code::<&str>(Err("unknown command; use `site`"))
}

/// Prints the error, if there is one, and returns the exit code of the process.
fn exit_code<E: Display>(result: Result<(), E>) -> ExitCode {
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("error: {error}");
            ExitCode::FAILURE
        }
    }
}
