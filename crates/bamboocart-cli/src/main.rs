//! The command line for operators of bamboocart.

use std::process::ExitCode;

use bpaf::Args;

fn main() -> ExitCode {
    bamboocart_cli::run_and_print(Args::current_args())
}
