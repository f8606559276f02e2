//! The dispatcher: one entry instance of bamboocart.

mod app;
mod clock;
mod driver;
mod follower;
mod lister;
mod routes;
mod sender;
mod server;
mod settings;
mod waiters;

use std::process::ExitCode;

use crate::settings::Settings;

/// Starts an instance and runs it until it is told to stop.
fn main() -> ExitCode {
    let settings = Settings::from_args();
    match app::run(settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("error: {error}");
            ExitCode::FAILURE
        }
    }
}
