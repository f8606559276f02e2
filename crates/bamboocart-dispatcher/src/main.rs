//! The dispatcher: one entry instance of bamboocart.

mod app;
mod appender;
mod clock;
mod driver;
mod follower;
mod lister;
mod peers;
mod resolver;
mod routes;
mod sender;
mod server;
mod settings;
mod spans;
mod waiters;

use std::process::ExitCode;

use crate::settings::Settings;

/// The exit code for settings that cannot be used.
const USAGE: u8 = 2;

/// Starts an instance and runs it until it is told to stop.
fn main() -> ExitCode {
    let settings = Settings::from_args();
    let faults = settings.faults();
    if !faults.is_empty() {
        faults.iter().for_each(|fault| eprintln!("error: {fault}"));
        return ExitCode::from(USAGE);
    }
    match app::run(settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("error: {error}");
            ExitCode::FAILURE
        }
    }
}
