//! An instance with bamboocart's own HTTP interface, which runs on the stand-in platform.

mod app;
mod appender;
mod clock;
mod driver;
mod flags;
mod gauges;
mod list_reader;
mod observe;
mod peer_snapshot;
mod peers;
mod routes;
mod sender;
mod server;
mod settings;
mod signals;
mod spans;
mod stream_reader;
mod waiters;

use std::process::ExitCode;

use bpaf::ParseFailure;

use self::flags::Flags;
use self::settings::Settings;

/// The exit code for invalid flags or settings.
const USAGE_EXIT_CODE: u8 = 2;

/// The width at which help texts are wrapped.
const HELP_COLUMNS: usize = 100;

/// Starts an instance and runs it until it has drained or is halted.
pub fn run() -> ExitCode {
    let flags = match Flags::from_args() {
        Ok(flags) => flags,
        Err(failure) => {
            failure.print_message(HELP_COLUMNS);
            let usage = matches!(failure, ParseFailure::Stderr(_));
            return if usage {
                ExitCode::from(USAGE_EXIT_CODE)
            } else {
                ExitCode::SUCCESS
            };
        }
    };
    let settings = match Settings::read(flags) {
        Ok(settings) => settings,
        Err(errors) => {
            errors.iter().for_each(|error| eprintln!("error: {error}"));
            return ExitCode::from(USAGE_EXIT_CODE);
        }
    };
    crate::exit_code(app::run(settings))
}
