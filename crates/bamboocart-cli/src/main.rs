//! The command line for operators of bamboocart.

mod commands;
mod config_log;
mod error;
mod files;
mod instance;
mod report;
mod settings;

use std::process::ExitCode;

use bpaf::Args;

/// The widest line of usage errors.
const MESSAGE_CHARS: usize = 90;

fn main() -> ExitCode {
    let command = match commands::options().run_inner(Args::current_args()) {
        Ok(command) => command,
        Err(failure) => {
            failure.print_message(MESSAGE_CHARS);
            return ExitCode::from(u8::try_from(failure.exit_code()).unwrap_or(1));
        }
    };
    let json = command.common().json();
    let result = command.run();
    result.unwrap_or_else(|error| error.report()).print(json)
}
