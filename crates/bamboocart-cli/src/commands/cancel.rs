//! The command `cancel`.

use bamboocart_core::id::SubmissionId;
use bamboocart_wire::api::OutcomeName;
use bpaf::Bpaf;
use serde_json::json;

use crate::error::Result;
use crate::instance::InstanceClient;
use crate::report::{EXIT_CODES, Exit, Report};
use crate::settings::{Common, SettingErrors};

/// Cancel submissions and print how each one ended
#[derive(Debug, Clone, Bpaf)]
#[bpaf(command("cancel"), footer(EXIT_CODES))]
pub struct Cancel {
    /// Settings of every command
    #[bpaf(external(crate::settings::common))]
    pub common: Common,
    /// Tickets or UUIDs of submissions
    #[bpaf(positional("ID"), some("give the ids of the submissions"))]
    submissions: Vec<String>,
}

impl Cancel {
    /// Runs the command.
    pub fn run(&self) -> Result<Report> {
        let mut errors = SettingErrors::default();
        let settings = self.common.check(&mut errors);
        let address = errors.require("--instance", settings.instance);
        let form = "a ticket as it was issued, or a UUID of version 7";
        for id in &self.submissions {
            errors.parse::<SubmissionId>("ID", form, Some(id));
        }
        let Some(address) = address else { return Err(errors.into_error()) };
        errors.finish()?;
        let instance = InstanceClient::new(address, settings.timeout_ms);
        let mut exit = Exit::Done;
        let mut answers = Vec::new();
        let mut lines = Vec::new();
        for id in &self.submissions {
            // The other submissions are cancelled even if a call fails.
            match instance.cancel(id) {
                Ok(answer) => {
                    exit = exit.max(exit_code(answer.outcome));
                    let parts = [&*answer.code, &*answer.message];
                    let parts = parts.into_iter().filter(|part| !part.is_empty());
                    let parts: Vec<&str> = parts.collect();
                    lines.push(format!("{id}: {}", parts.join("; ")));
                    answers.push(json!(answer));
                }
                Err(error) => {
                    exit = exit.max(Exit::NoAnswer);
                    lines.push(format!("{id}: {error}"));
                    let error = error.to_string();
                    answers.push(json!({ "submission": id, "error": error }));
                }
            }
        }
        Ok(Report::new(exit, json!({ "answers": answers }), lines.join("\n")))
    }
}

/// Returns the exit code; unlike elsewhere, a cancelled submission is a success.
fn exit_code(outcome: OutcomeName) -> Exit {
    match outcome {
        OutcomeName::Cancelled => Exit::Done,
        _ => Exit::from(outcome),
    }
}
