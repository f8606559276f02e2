//! An instance with bamboocart's own interface, on the embedded stand-ins.

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
mod spans;
mod waiters;

use std::process::ExitCode;

use bpaf::ParseFailure;

use self::flags::Flags;
use self::settings::Settings;

/// The exit code for flags that cannot be parsed and settings that cannot be used.
const USAGE: u8 = 2;

/// The width of help texts.
const MESSAGE_COLUMNS: usize = 100;

/// Starts an instance and runs it until it is told to stop.
pub fn run() -> ExitCode {
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
    crate::exit_code(app::run(settings))
}
