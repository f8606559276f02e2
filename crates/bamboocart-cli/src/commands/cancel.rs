//! The command `cancel`.

use bamboocart_core::id::SubmissionId;
use bamboocart_wire::api::OutcomeName;
use bpaf::Bpaf;
use serde_json::json;

use crate::error::Result;
use crate::instance::Instance;
use crate::report::{EXIT_CODES, Exit, Report};
use crate::settings::{Common, Faults};

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
        let mut faults = Faults::default();
        let settings = self.common.check(&mut faults);
        let address = faults.need("--instance", settings.instance);
        let form = "a ticket as it was issued, or a UUID of version 7";
        for id in &self.submissions {
            faults.parse::<SubmissionId>("ID", form, Some(id));
        }
        let Some(address) = address else { return Err(faults.into_error()) };
        faults.finish()?;
        let instance = Instance::new(address, settings.timeout_ms);
        let mut exit = Exit::Done;
        let mut answers = Vec::new();
        let mut lines = Vec::new();
        for id in &self.submissions {
            // A failed call must not keep the other submissions from being cancelled.
            match instance.cancel(id) {
                Ok(answer) => {
                    exit = exit.max(exit_of(answer.outcome));
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

/// Returns the exit code; a submission that is cancelled is what was asked for.
fn exit_of(outcome: OutcomeName) -> Exit {
    match outcome {
        OutcomeName::Cancelled => Exit::Done,
        _ => Exit::from(outcome),
    }
}
