//! The command line for operators of bamboocart.

use std::process::ExitCode;

use bpaf::Args;

fn main() -> ExitCode {
    // Rust ignores SIGPIPE, so that printing to a reader that has ended would panic.
    sigpipe::reset();
    bamboocart_cli::run_and_print(Args::current_args())
}
