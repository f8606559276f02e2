//! The command `account verify`.

use bamboocart_core::account::{
    Finding, GapReport, IncarnationSummary, StreamRecord, Verifier, VerifyReport,
    VerifySettings,
};
use bamboocart_platform::Platform;
use bpaf::Bpaf;
use serde_json::{Value, json};

use super::{ReadRange, read_account};
use crate::config_log::ConfigLogReader;
use crate::error::Result;
use crate::report::{EXIT_CODES, Exit, Report};
use crate::settings::{Common, SettingErrors};

/// The accepted tolerances, up to one day.
const TOLERANCE_RANGE_MS: std::ops::RangeInclusive<u64> = 0..=86_400_000;

/// Verify the hash chains, the sequence and the scheduling order of the account
///
/// Store the printed heads elsewhere: a later verification must show the same head for
/// an incarnation that was closed.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(command("verify"), footer(EXIT_CODES))]
pub struct Verify {
    /// Settings of every command
    #[bpaf(external(crate::settings::common))]
    pub common: Common,
    /// Difference allowed between the clocks of instances and log (default 2000)
    #[bpaf(long, env("BAMBOOCART_CLOCK_TOLERANCE_MS"), argument("MS"))]
    clock_tolerance_ms: Option<String>,
    /// Time from an entry to its append beyond which it is listed as late (default
    /// 10000)
    #[bpaf(long, env("BAMBOOCART_DELAY_MS"), argument("MS"))]
    delay_ms: Option<String>,
}

impl Verify {
    /// Runs the command.
    pub fn run(&self) -> Result<Report> {
        let mut errors = SettingErrors::default();
        let settings = self.common.check(&mut errors);
        let tolerance = self.clock_tolerance_ms.as_deref();
        let tolerance =
            errors.number("--clock-tolerance-ms", tolerance, TOLERANCE_RANGE_MS);
        let delay =
            errors.number("--delay-ms", self.delay_ms.as_deref(), TOLERANCE_RANGE_MS);
        let Some(address) = errors.require("--platform", settings.platform) else {
            return Err(errors.into_error());
        };
        errors.finish()?;
        let default = VerifySettings::default();
        let platform = Platform::new(&address.to_string());
        let mut config = ConfigLogReader::new(platform.clone(), None);
        config.read_to_end(0)?;
        let settings = VerifySettings {
            clock_tolerance_ms: tolerance.unwrap_or(default.clock_tolerance_ms),
            delay_ms: delay.unwrap_or(default.delay_ms),
            ..default
        };
        let mut verifier = Verifier::new(settings, config.floors().clone());
        let range = read_account(&platform, |record| {
            let (offset, at_ms, text) = (record.offset, record.at_ms, &*record.body);
            verifier.read(&StreamRecord { offset, at_ms, text });
        })?;
        Ok(report(range, &verifier.finish()))
    }
}

/// Reports the result of the verification.
fn report(range: ReadRange, verified: &VerifyReport) -> Report {
    let ReadRange { records, start, end } = range;
    let is_verified = verified.is_clean() && records > 0;
    let entries: u64 = verified.incarnations.iter().map(|it| it.entries).sum();
    let count = verified.findings.len() as u64 + verified.omitted;
    let result = match (records, count) {
        (0, _) => "not verified: the log has no account".to_owned(),
        (_, 0) => "verified, no faults".to_owned(),
        _ => format!("not verified, {count} faults"),
    };
    let mut lines = vec![format!(
        "{result}; read {records} records from offset {start} on with {entries} entries \
         of {} incarnations",
        verified.incarnations.len()
    )];
    lines.extend(verified.findings.iter().map(describe_finding));
    lines.extend(verified.incarnations.iter().flat_map(describe_incarnation));
    let json = json!({
        "is_verified": is_verified,
        "records": records,
        "start": start,
        "end": end,
        "findings": verified.findings.iter().map(finding_json).collect::<Vec<_>>(),
        "omitted_findings": verified.omitted,
        "incarnations": verified.incarnations,
    });
    let exit = if is_verified { Exit::Done } else { Exit::NotVerified };
    Report::new(exit, json, lines.join("\n"))
}

/// Describes a finding with its position.
fn describe_finding(finding: &Finding) -> String {
    let account = finding.account.as_ref();
    let account =
        account.map(|(instance, run)| format!(", {instance}/{run}", run = run.0));
    let entry = finding.sequence.map(|sequence| format!(", entry {sequence}"));
    format!(
        "fault at offset {}{}{}: {}",
        finding.offset,
        account.unwrap_or_default(),
        entry.unwrap_or_default(),
        finding.fault
    )
}

/// Returns a finding with its position as JSON.
fn finding_json(finding: &Finding) -> Value {
    json!({
        "offset": finding.offset,
        "instance": finding.account.as_ref().map(|(instance, _)| instance),
        "incarnation": finding.account.as_ref().map(|(_, incarnation)| incarnation),
        "sequence": finding.sequence,
        "message": finding.fault.to_string(),
    })
}

/// Describes the entries of an incarnation.
fn describe_incarnation(summary: &IncarnationSummary) -> Vec<String> {
    let end = if summary.closed { "closed" } else { "not closed" };
    let mut lines = vec![format!(
        "{}/{}: {} entries in {} batches, {end}, head {}",
        summary.instance,
        summary.incarnation.0,
        summary.entries,
        summary.batches,
        summary.head
    )];
    let starts = &summary.starts;
    let reasons = starts.by_reason.iter();
    let reasons = reasons
        .map(|(reason, n)| format!("{} {n}", json!(reason).as_str().unwrap_or_default()));
    let unchecked = (starts.unchecked > 0)
        .then(|| format!("{} not checked, admitted in a gap", starts.unchecked));
    let floors = (starts.floor_unchecked > 0)
        .then(|| format!("{} by a floor of an unknown version", starts.floor_unchecked));
    let reasons: Vec<String> = reasons.chain(unchecked).chain(floors).collect();
    if !reasons.is_empty() {
        lines.push(format!("  starts: {}", reasons.join(", ")));
    }
    lines.extend(summary.customers.iter().map(|(customer, totals)| {
        format!(
            "  {customer}: {} tasks admitted, {} starts, {} submissions complete, {} \
             otherwise, {} refused",
            totals.admitted_tasks,
            totals.starts,
            totals.complete,
            totals.other_outcomes,
            totals.refused
        )
    }));
    lines.extend(summary.gaps.iter().map(describe_gap));
    lines
}

/// Describes entries that are missing or were appended late.
fn describe_gap(gap: &GapReport) -> String {
    let cause = json!(gap.cause);
    let last = gap.last_sequence.map_or("the end".to_owned(), |last| last.to_string());
    format!(
        "  gap: {}, entries {} to {last}",
        cause.as_str().unwrap_or_default(),
        gap.first_sequence
    )
}
