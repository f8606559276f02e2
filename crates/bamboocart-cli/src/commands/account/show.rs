//! The command `account show`.

use std::collections::VecDeque;
use std::ops::RangeInclusive;
use std::time::{Duration, UNIX_EPOCH};

use bamboocart_core::account::{DecodedBatch, Entry, Fact, Subject};
use bamboocart_core::id::{Incarnation, InstanceName, SubmissionId};
use bamboocart_platform::Platform;
use bamboocart_telemetry::utc::rfc3339;
use bpaf::Bpaf;
use serde::Serialize;
use serde_json::json;

use super::read_account;
use crate::error::Result;
use crate::report::{EXIT_CODES, Report};
use crate::settings::{Common, SettingErrors};

/// The default number of entries to show.
const DEFAULT_LAST: u64 = 100;

/// The accepted numbers of entries to show, which limits the memory.
const LAST_RANGE: RangeInclusive<u64> = 1..=1_000_000;

/// Show entries of the account, oldest first, without verifying them
#[derive(Debug, Clone, Bpaf)]
#[bpaf(command("show"), footer(EXIT_CODES))]
pub struct Show {
    /// Settings of every command
    #[bpaf(external(crate::settings::common))]
    pub common: Common,
    /// Only entries of this submission
    #[bpaf(long, env("BAMBOOCART_SUBMISSION"), argument("ID"))]
    submission: Option<String>,
    /// Only entries of this customer
    #[bpaf(long, env("BAMBOOCART_CUSTOMER"), argument("NAME"))]
    customer: Option<String>,
    /// Number of entries, the newest ones (default 100)
    #[bpaf(long, env("BAMBOOCART_LAST"), argument("COUNT"))]
    last: Option<String>,
}

/// An entry of the account with its origin.
#[derive(Debug, Serialize)]
struct Row {
    /// The offset of the record that contains the entry.
    offset: u64,
    /// The instance that wrote the entry.
    instance: InstanceName,
    /// The incarnation of the instance.
    incarnation: Incarnation,
    #[serde(flatten)]
    entry: Entry,
}

impl Show {
    /// Runs the command.
    pub fn run(&self) -> Result<Report> {
        let mut errors = SettingErrors::default();
        let settings = self.common.check(&mut errors);
        let form = "a ticket as it was issued, or a UUID of version 7";
        let submission: Option<SubmissionId> =
            errors.parse("--submission", form, self.submission.as_deref());
        let last = errors.number("--last", self.last.as_deref(), LAST_RANGE);
        let Some(address) = errors.require("--platform", settings.platform) else {
            return Err(errors.into_error());
        };
        errors.finish()?;
        let last = usize::try_from(last.unwrap_or(DEFAULT_LAST)).unwrap_or(usize::MAX);
        let mut rows: VecDeque<Row> = VecDeque::new();
        let mut matching = 0_u64;
        let mut unreadable = 0_u64;
        let mut reason: Option<String> = None;
        let platform = Platform::new(&address.to_string());
        let range = read_account(&platform, |record| {
            let (batch, _) = match DecodedBatch::decode(&record.body) {
                Ok(read) => read,
                Err(error) => {
                    unreadable += 1;
                    reason.get_or_insert_with(|| format!(": {error}"));
                    return;
                }
            };
            for entry in batch.entries {
                if !self.matches_filters(&entry.fact, submission.as_ref()) {
                    continue;
                }
                matching += 1;
                if rows.len() == last {
                    rows.pop_front();
                }
                rows.push_back(Row {
                    offset: record.offset,
                    instance: batch.instance.clone(),
                    incarnation: batch.incarnation,
                    entry,
                });
            }
        })?;
        let shown = rows.len();
        let mut lines: Vec<String> = rows.iter().map(describe).collect();
        lines.push(format!(
            "{shown} of {matching} entries in {} records; {unreadable} records could not \
             be read{}",
            range.records,
            reason.unwrap_or_default()
        ));
        let json = json!({
            "entries": rows, "matching": matching, "unreadable_records": unreadable,
        });
        Ok(Report::done(json, lines.join("\n")))
    }

    /// Returns whether a fact matches the filters.
    fn matches_filters(&self, fact: &Fact, submission: Option<&SubmissionId>) -> bool {
        let (id, customer) = match fact {
            Fact::Admitted { subject, .. }
            | Fact::Started { subject, .. }
            | Fact::Finished { subject, .. }
            | Fact::Answered { subject, .. }
            | Fact::Cancelled { subject, .. } => {
                (Some(&subject.submission), Some(subject.customer.as_str()))
            }
            Fact::Refused { submission, customer, .. } => {
                (submission.as_ref(), Some(customer.as_str()))
            }
            Fact::PolicyChange { .. } | Fact::Gap(_) => (None, None),
        };
        let of_submission = submission.is_none() || id == submission;
        let of_customer = self.customer.is_none() || customer == self.customer.as_deref();
        of_submission && of_customer
    }
}

/// Describes an entry in one line.
fn describe(row: &Row) -> String {
    let Entry { sequence, at, fact } = &row.entry;
    let time = rfc3339(UNIX_EPOCH + Duration::from_micros(at.as_us()));
    let what = describe_fact(fact);
    format!("{time} {}/{} {sequence} {what}", row.instance, row.incarnation.0)
}

/// Describes the fact of an entry.
fn describe_fact(fact: &Fact) -> String {
    match fact {
        Fact::Admitted { subject, tasks, params } => format!(
            "admitted {}: {} tasks from {} on, queue {}, rank {}, weight {}, cost {} us, \
             arrival {}",
            describe_subject(subject),
            tasks.count,
            tasks.first.0,
            params.queue,
            params.rank,
            params.weight,
            params.cost_us,
            params.arrival
        ),
        Fact::Refused { submission, customer, kind, config, code } => {
            let id = submission.as_ref().map_or("-".into(), ToString::to_string);
            format!(
                "refused {id} ({customer}, {kind}, version {config}): {}",
                code_text(code)
            )
        }
        Fact::Started { subject, task, attempt, target, reason } => format!(
            "started {}: task {}, send {}, at {target}, reason {}",
            describe_subject(subject),
            task.0,
            attempt.0,
            code_text(reason)
        ),
        Fact::Finished { subject, task, attempt, result } => format!(
            "finished {}: task {}, send {}, {}",
            describe_subject(subject),
            task.0,
            attempt.0,
            code_text(result)
        ),
        Fact::Answered { subject, answer } => {
            format!("answered {}: {}", describe_subject(subject), code_text(answer))
        }
        Fact::Cancelled { subject, started } => {
            let started = if *started { "may have run" } else { "not run" };
            format!("cancelled {}: {started}", describe_subject(subject))
        }
        Fact::PolicyChange { from, to } => format!("policy change: {from} to {to}"),
        Fact::Gap(gap) => {
            format!("gap: entries {} to {}", gap.first_sequence, gap.last_sequence)
        }
    }
}

/// Describes the submission that an entry belongs to.
fn describe_subject(subject: &Subject) -> String {
    let Subject { submission, customer, kind, config } = subject;
    format!("{submission} ({customer}, {kind}, version {config})")
}

/// Returns a code as in JSON; one with a value has both, such as `refused overloaded`.
fn code_text(code: &impl Serialize) -> String {
    json!(code).to_string().replace(['"', '{', '}'], "").replace(':', " ")
}
