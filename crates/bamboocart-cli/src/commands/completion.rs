//! The command `completion`.

use bpaf::{Args, Bpaf, ParseFailure};
use serde_json::json;

use crate::error::{NoCompletionSnafu, Result};
use crate::report::{EXIT_CODES, Report};
use crate::settings::{Common, SettingErrors};

/// The shells that completion scripts can be generated for.
const SHELLS: [&str; 4] = ["bash", "zsh", "fish", "elvish"];

/// Print a script that completes commands and flags in a shell
#[derive(Debug, Clone, Bpaf)]
#[bpaf(command("completion"), footer(EXIT_CODES))]
pub struct Completion {
    /// Settings of every command
    #[bpaf(external(crate::settings::common))]
    pub common: Common,
    /// Shell: bash, zsh, fish or elvish
    #[bpaf(positional("SHELL"))]
    shell: String,
}

impl Completion {
    /// Runs the command.
    pub fn run(&self) -> Result<Report> {
        let mut errors = SettingErrors::default();
        self.common.check(&mut errors);
        if !SHELLS.contains(&self.shell.as_str()) {
            errors.add("SHELL", &format!("give one of {}", SHELLS.join(", ")));
        }
        errors.finish()?;
        let flag = format!("--bpaf-complete-style-{}", self.shell);
        if self.common.json() {
            let command = ["bamboocart", &flag];
            return Ok(Report::done(json!({ "command": command }), String::new()));
        }
        let flags = [flag.as_str()];
        let args = Args::from(flags.as_slice()).set_name("bamboocart");
        // For a known shell, the parser itself prints the script and exits the process.
        let script = match super::options().run_inner(args) {
            Err(ParseFailure::Completion(script)) => script,
            _ => return NoCompletionSnafu.fail(),
        };
        Ok(Report::done(json!({ "script": script }), script))
    }
}
