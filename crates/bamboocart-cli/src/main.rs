//! The command line for operators of bamboocart.

use std::process::ExitCode;

use bpaf::Args;

fn main() -> ExitCode {
    // Rust ignores SIGPIPE, so printing to a closed pipe would panic without this call.
    sigpipe::reset();
    bamboocart_cli::run_and_print(Args::current_args())
}
