//! The command `job`.

use std::path::{Path, PathBuf};

use bamboocart_wire::api::{JobBody, TaskBody};
use bpaf::Bpaf;

use super::submit::{Submission, report};
use crate::error::Result;
use crate::instance::InstanceClient;
use crate::report::{EXIT_CODES, Report};
use crate::settings::{Common, SettingErrors};
use crate::trace::Trace;

/// Submit a job of several tasks and print its answer
#[derive(Debug, Clone, Bpaf)]
#[bpaf(command("job"), footer(EXIT_CODES))]
pub struct Job {
    /// Settings of every command
    #[bpaf(external(crate::settings::common))]
    pub common: Common,
    /// Settings of a submission
    #[bpaf(external(crate::commands::submit::submission))]
    submission: Submission,
    /// JSON file with a list of {payload, cpus, memory_mb, declared_ms}
    #[bpaf(long, env("BAMBOOCART_TASKS"), argument("FILE"))]
    tasks: Option<PathBuf>,
}

impl Job {
    /// Runs the command.
    pub fn run(&self) -> Result<Report> {
        let mut errors = SettingErrors::default();
        let settings = self.common.check(&mut errors);
        let address = errors.require("--instance", settings.instance);
        let path = errors.require("--tasks", self.tasks.as_deref());
        let tasks = path.and_then(|path| read_tasks(path, &mut errors));
        let submission = self.submission.check(&mut errors);
        let (Some(address), Some(tasks), Some(submission)) = (address, tasks, submission)
        else {
            return Err(errors.into_error());
        };
        errors.finish()?;
        let body = JobBody {
            submission: Some(submission.id.clone()),
            customer: submission.customer.into(),
            kind: submission.kind.into(),
            deadline_ms: submission.deadline_ms,
            tasks,
            want_tickets: 0,
        };
        let trace = Trace::start();
        let answer = InstanceClient::new(address, settings.timeout_ms).job(&body, trace);
        report(answer, &submission.id, trace)
    }
}

/// Reads the tasks of a job from a JSON file.
fn read_tasks(path: &Path, errors: &mut SettingErrors) -> Option<Vec<TaskBody>> {
    let text = std::fs::read_to_string(path).map_err(|error| error.to_string());
    let tasks = text.and_then(|text| {
        serde_json::from_str::<Vec<TaskBody>>(&text).map_err(|error| error.to_string())
    });
    match tasks {
        Ok(tasks) if tasks.is_empty() => {
            errors.add("--tasks", "the list is empty; give at least one task");
            None
        }
        Ok(tasks) => Some(tasks),
        Err(error) => {
            let form = "give a JSON list of {payload, cpus, memory_mb, declared_ms}";
            errors.add("--tasks", &format!("{}: {error}; {form}", path.display()));
            None
        }
    }
}
