//! The promises, checked on what clients and minions saw.

use std::collections::BTreeMap;

use bamboocart_site_standin::RunRecord;

use super::clients::{Job, Outcome};

/// The first bit of the ids of jobs that only ask whether an instance serves.
const PROBE_BIT: u64 = 1 << 63;

/// Returns the broken promises.
pub fn violations(jobs: &[Job], runs: &[RunRecord]) -> Vec<String> {
    let mut by_task: BTreeMap<&str, Vec<&RunRecord>> = BTreeMap::new();
    for run in runs {
        by_task.entry(&run.task).or_default().push(run);
    }
    let mut violations = Vec::new();
    for (task, runs) in &by_task {
        for (number, run) in runs.iter().enumerate() {
            let overlaps = |other: &&&RunRecord| {
                let begins_before_end = |a: &RunRecord, b: &RunRecord| {
                    b.ended_ms.is_none_or(|end| a.began_ms < end)
                };
                begins_before_end(run, other) && begins_before_end(other, run)
            };
            if let Some(other) = runs[number + 1..].iter().find(overlaps) {
                violations.push(format!("{task} runs twice: {run:?} and {other:?}"));
            }
        }
    }
    let known: BTreeMap<&str, &Job> = jobs.iter().map(|job| (&*job.id, job)).collect();
    for task in by_task.keys() {
        let (id, index) = parse_task(task);
        let probe = u64::from_str_radix(id, 16).is_ok_and(|id| id & PROBE_BIT != 0);
        let asked = known.get(id).is_some_and(|job| index < job.tasks);
        if !probe && !asked {
            violations.push(format!("{task} was started, and nobody asked for it"));
        }
    }
    for job in jobs {
        let of_task = |index: u16| by_task.get(&*format!("{}.0.0.{index}", job.id));
        let done = (0..job.tasks).all(|index| {
            of_task(index).is_some_and(|runs| runs.iter().any(|it| it.done))
        });
        if job.outcomes.contains(&Outcome::Completed) && !done {
            violations.push(format!("{job:?} is completed, and a task is not done"));
        }
        if job.outcomes.last() == Some(&Outcome::Accepted) {
            violations.push(format!("{job:?} was accepted and is lost"));
        }
        let refused = job.outcomes.iter().all(|&outcome| outcome == Outcome::Refused);
        if refused && (0..job.tasks).any(|index| of_task(index).is_some()) {
            violations.push(format!("{job:?} was refused, and a task has started"));
        }
        if job.outcomes.contains(&Outcome::Failed) {
            violations
                .push(format!("{job:?} is said to have failed, and no minion fails"));
        }
    }
    violations
}

/// Returns how many jobs ended how.
pub fn summary(jobs: &[Job]) -> String {
    let count =
        |wanted| jobs.iter().filter(|job| job.outcomes.last() == Some(&wanted)).count();
    format!(
        "{} completed, {} of them stored, {} refused, {} unknown, {} sent again",
        count(Outcome::Completed),
        jobs.iter().filter(|it| it.stored && it.outcomes.len() > 1).count(),
        count(Outcome::Refused),
        count(Outcome::Unknown),
        jobs.iter().filter(|job| !job.stored && job.outcomes.len() > 1).count()
    )
}

/// Returns the id of a task's job and its index.
fn parse_task(task: &str) -> (&str, u16) {
    let id = task.split('.').next().unwrap_or_default();
    let index = task.rsplit('.').next().and_then(|index| index.parse().ok());
    (id, index.unwrap_or(u16::MAX))
}
