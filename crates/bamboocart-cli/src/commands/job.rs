//! The command `job`.

use std::path::{Path, PathBuf};

use bamboocart_wire::api::{JobBody, TaskBody};
use bpaf::Bpaf;

use super::submit::{Submission, report};
use crate::error::Result;
use crate::instance::Instance;
use crate::report::{EXIT_CODES, Report};
use crate::settings::{Common, Faults};
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
        let mut faults = Faults::default();
        let settings = self.common.check(&mut faults);
        let address = faults.need("--instance", settings.instance);
        let path = faults.need("--tasks", self.tasks.as_deref());
        let tasks = path.and_then(|path| read_tasks(path, &mut faults));
        let submission = self.submission.check(&mut faults);
        let (Some(address), Some(tasks), Some(submission)) = (address, tasks, submission)
        else {
            return Err(faults.into_error());
        };
        faults.finish()?;
        let body = JobBody {
            submission: Some(submission.id.clone()),
            customer: submission.customer.into(),
            kind: submission.kind.into(),
            deadline_ms: submission.deadline_ms,
            tasks,
            want_tickets: 0,
        };
        let trace = Trace::start();
        let answer = Instance::new(address, settings.timeout_ms).job(&body, trace);
        report(answer, &submission.id, trace)
    }
}

/// Reads the tasks of a job.
fn read_tasks(path: &Path, faults: &mut Faults) -> Option<Vec<TaskBody>> {
    let text = std::fs::read_to_string(path).map_err(|error| error.to_string());
    let tasks = text.and_then(|text| {
        serde_json::from_str::<Vec<TaskBody>>(&text).map_err(|error| error.to_string())
    });
    match tasks {
        Ok(tasks) if tasks.is_empty() => {
            faults.add("--tasks", "the list is empty; give at least one task");
            None
        }
        Ok(tasks) => Some(tasks),
        Err(error) => {
            let form = "give a JSON list of {payload, cpus, memory_mb, declared_ms}";
            faults.add("--tasks", &format!("{}: {error}; {form}", path.display()));
            None
        }
    }
}
