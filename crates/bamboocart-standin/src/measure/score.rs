//! Scores one cell of a measurement from the histories of its load runs and targets.
//!
//! A cell is one combination of deployment, load, policy and fault.

use std::collections::BTreeMap;
use std::fs::File;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::PathBuf;

use bpaf::Bpaf;
use serde::{Deserialize, Serialize};

use crate::history::CallRecord;
use crate::target::{CommaSeparated, KindRunTime, TargetRow};
use crate::verify;

use super::Result;
use super::ideal::{self, Arrival, SlotClass};
use super::recovery::{self, Response};
use super::submissions::{self, ObservedSubmission};

/// The deadline of request kinds for which none is given.
const DEFAULT_DEADLINE_MS: u64 = 30_000;

/// The settings of the `score` command.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(generate(score_settings))]
pub struct ScoreSettings {
    /// Name of the cell
    #[bpaf(argument("TEXT"))]
    cell: String,
    /// History file of a load run; give one flag per run
    #[bpaf(argument("FILE"), some("give the history of at least one run"))]
    history: Vec<PathBuf>,
    /// Control address of minions or workers; give one flag per process
    #[bpaf(argument("IP:PORT"), many)]
    control: Vec<SocketAddr>,
    /// Speed factors, which the targets were given in turn
    #[bpaf(argument("X,..."), fallback(CommaSeparated::single(1.0)))]
    speeds: CommaSeparated<f64>,
    /// Number of targets
    #[bpaf(argument("N"))]
    targets: u32,
    /// Slots of each target
    #[bpaf(argument("N"))]
    slots: u32,
    /// Request kind of the highest priority; give one flag per kind
    #[bpaf(long("first"), argument("KIND"), many)]
    highest_priority_kinds: Vec<String>,
    /// Deadline of a request kind; give one flag per kind
    #[bpaf(argument("KIND=MS"), many)]
    deadline: Vec<KindRunTime>,
    /// Request kind that may be resent or hedged; give one flag per kind
    #[bpaf(argument("KIND"), many)]
    repeatable: Vec<String>,
    /// Time at the start that is not measured
    #[bpaf(argument("MS"), fallback(3_000), display_fallback)]
    warm_up_ms: u64,
    /// Round trip that the ideal contains
    #[bpaf(argument("US"), fallback(1_000), display_fallback)]
    round_trip_us: u64,
    /// Time of a fault, since the Unix epoch
    #[bpaf(argument("US"))]
    fault_at_us: Option<u64>,
    /// Share of the machine's processor time that was used during the cell
    #[bpaf(argument("X"), fallback(0.0))]
    machine_busy: f64,
    /// Share of the machine's processor time that the cell's own processes used
    #[bpaf(argument("X"), fallback(0.0))]
    own_busy: f64,
}

/// The measurements of a cell, written as one line of JSON.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Score {
    /// The name of the cell.
    pub cell: String,
    /// The number of submissions after the warm-up.
    pub submissions: u64,
    /// The number of submissions with a complete answer within the deadline.
    pub complete: u64,
    /// The number that the ideal schedule completes within the deadline; 0 for jobs.
    pub ideal_complete: u64,
    /// The work of submissions complete in time, as a share of the capacity of all slots.
    #[serde(rename = "useful")]
    pub useful_share: f64,
    /// The same share in the ideal schedule; 0 for jobs.
    #[serde(rename = "ideal_useful")]
    pub ideal_useful_share: f64,
    /// The number of sends to targets, as the targets counted them.
    pub sends: u64,
    /// The number of sends that the targets rejected.
    #[serde(rename = "turned_away")]
    pub rejected: u64,
    /// The number of sends to targets and of offers to peers, as the answers report it.
    pub attempts: u64,
    /// The number of tasks of complete submissions, each of which needs one start.
    #[serde(rename = "needed")]
    pub needed_starts: u64,
    /// The number of submissions that are not complete, by outcome and code.
    pub outcomes: BTreeMap<String, u64>,
    /// The number of violations that the history check found.
    pub violations: usize,
    /// The time from the fault to full service; `None` without a fault or a recovery.
    pub recovery_ms: Option<u64>,
    /// Whether a fault was injected.
    pub fault: bool,
    /// Share of the machine's processor time that was used.
    pub machine_busy: f64,
    /// Share of the machine's processor time that the cell's own processes used.
    pub own_busy: f64,
    /// The measurements by request kind.
    pub kinds: BTreeMap<String, KindScore>,
}

/// The measurements of one request kind in a cell.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct KindScore {
    /// The number of submissions after the warm-up.
    pub submissions: u64,
    /// The number of submissions with a complete answer within the deadline.
    pub complete: u64,
    /// The number that the ideal schedule completes within the deadline; 0 for jobs.
    pub ideal_complete: u64,
    /// The response times in ms, from the scheduled time of the first call.
    pub response_ms: Quantiles,
    /// The response times of the ideal schedule in ms, with one round trip.
    pub ideal_ms: Quantiles,
    /// The ratio of response time to the longest task's run time on its actual target.
    pub over_own_run: Quantiles,
}

/// The reported quantiles of a distribution.
#[derive(Debug, Copy, Clone, Default, Serialize, Deserialize)]
pub struct Quantiles {
    /// The median.
    pub p50: f64,
    /// The 99th percentile.
    pub p99: f64,
    /// The 99.9th percentile.
    pub p999: f64,
}

/// A submission with its end time in the ideal schedule.
struct ScoredSubmission {
    observed: ObservedSubmission,
    deadline_us: u64,
    /// The end time in the ideal schedule; `None` if it misses the deadline there.
    ideal_end_us: Option<u64>,
}

/// Scores a cell.
///
/// Logs the first three violations of the history. Only submissions that were due after
/// the warm-up are measured.
pub fn score(settings: &ScoreSettings) -> Result<Score> {
    let records = read_records(&settings.history)?;
    let observed = submissions::group_by_submission(&records);
    let rows = read_rows(&settings.control)?;
    let violations = verify::verify(&verify::Settings {
        control: settings.control.clone(),
        history: settings.history.clone(),
        repeatable: settings.repeatable.clone(),
    })?;
    violations.iter().take(3).for_each(|violation| log::warn!("{violation}"));
    let pairs = pair(settings, observed);
    let all_needed = pairs.iter().filter(|pair| pair.complete());
    let needed_starts = all_needed.map(|pair| u64::from(pair.observed.tasks)).sum();
    let attempts = pairs.iter().map(|pair| u64::from(pair.observed.attempts)).sum();
    let responses: Vec<Response> = pairs.iter().map(ScoredSubmission::response).collect();
    let recovery = |at_us| recovery::recovery_ms(&responses, at_us);
    let first_us = pairs.first().map_or(0, |pair| pair.observed.due_us);
    let last_us = pairs.last().map_or(0, |pair| pair.observed.due_us);
    let warm_us = first_us + settings.warm_up_ms * 1_000;
    let window = warm_us..last_us;
    let measured: Vec<&ScoredSubmission> =
        pairs.iter().filter(|pair| pair.observed.due_us >= warm_us).collect();
    let useful = |end: fn(&ScoredSubmission) -> Option<u64>| {
        let ended =
            pairs.iter().filter(|p| end(p).is_some_and(|at| window.contains(&at)));
        let work_us: u64 = ended.map(|p| p.run_us(settings.round_trip_us)).sum();
        let span_us = last_us.saturating_sub(warm_us) as f64;
        work_us as f64 / (span_us * capacity(settings)).max(1.0)
    };
    Ok(Score {
        cell: settings.cell.clone(),
        submissions: measured.len() as u64,
        complete: measured.iter().filter(|pair| pair.complete()).count() as u64,
        ideal_complete: measured.iter().filter(|p| p.ideal_end_us.is_some()).count()
            as u64,
        useful_share: useful(|pair| {
            pair.observed.complete_us.filter(|_| pair.complete())
        }),
        ideal_useful_share: useful(|pair| pair.ideal_end_us),
        sends: rows.iter().map(|row| row.starts + row.rejected).sum(),
        rejected: rows.iter().map(|row| row.rejected).sum(),
        attempts,
        needed_starts,
        outcomes: outcomes(&measured),
        violations: violations.len(),
        recovery_ms: settings.fault_at_us.and_then(recovery),
        fault: settings.fault_at_us.is_some(),
        machine_busy: settings.machine_busy,
        own_busy: settings.own_busy,
        kinds: kind_scores(&measured, settings.round_trip_us),
    })
}

impl ScoredSubmission {
    /// Returns whether the submission has a complete answer within its deadline.
    fn complete(&self) -> bool {
        self.observed.complete_us.is_some_and(|at| at <= self.deadline_us)
    }

    /// Returns the run time of the longest task at speed 1.
    fn run_us(&self, round_trip_us: u64) -> u64 {
        self.observed.ideal_us.saturating_sub(round_trip_us)
    }

    /// Returns the response in the form that the recovery time is computed from.
    fn response(&self) -> Response {
        let due_us = self.observed.due_us;
        let end_us = self.observed.complete_us.filter(|_| self.complete());
        let ratio = end_us.map(|at| (at - due_us) as f64 / self.observed.ideal_us as f64);
        Response { due_us, ratio }
    }
}

/// Reads the call records of all history files.
fn read_records(paths: &[PathBuf]) -> Result<Vec<CallRecord>> {
    let mut records = Vec::new();
    for path in paths {
        for line in BufReader::new(File::open(path)?).lines() {
            records.push(serde_json::from_str(&line?)?);
        }
    }
    Ok(records)
}

/// Fetches the states of all targets from their control interfaces.
fn read_rows(controls: &[SocketAddr]) -> Result<Vec<TargetRow>> {
    let mut rows = Vec::new();
    for control in controls {
        let url = format!("http://{control}/targets");
        rows.extend(attohttpc::get(url).send()?.json::<Vec<TargetRow>>()?);
    }
    Ok(rows)
}

/// Adds the deadline and the end time in the ideal schedule to each submission.
///
/// There is no ideal schedule for runs with jobs.
fn pair(
    settings: &ScoreSettings,
    observed: Vec<ObservedSubmission>,
) -> Vec<ScoredSubmission> {
    let deadline_ms = |kind: &str| {
        let given = settings.deadline.iter().find(|entry| entry.kind == kind);
        given.map_or(DEFAULT_DEADLINE_MS, |entry| entry.run_ms as u64)
    };
    let arrival = |observed: &ObservedSubmission| Arrival {
        due_us: observed.due_us,
        deadline_us: observed.due_us + deadline_ms(observed.kind.as_str()) * 1_000,
        run_us: observed.ideal_us.saturating_sub(settings.round_trip_us),
        rank: u8::from(
            !settings.highest_priority_kinds.iter().any(|k| k == observed.kind.as_str()),
        ),
    };
    let arrivals: Vec<Arrival> = observed.iter().map(arrival).collect();
    let requests_only = observed.iter().all(|observed| observed.tasks == 1);
    let ends = match requests_only {
        true => ideal::schedule(&arrivals, &slots(settings)),
        false => vec![None; observed.len()],
    };
    let pairs = observed.into_iter().zip(arrivals).zip(ends);
    pairs
        .map(|((observed, arrival), ideal_end_us)| ScoredSubmission {
            observed,
            deadline_us: arrival.deadline_us,
            ideal_end_us,
        })
        .collect()
}

/// Returns the slots of all targets, one class for each target.
fn slots(settings: &ScoreSettings) -> Vec<SlotClass> {
    let speed = |index: u32| *settings.speeds.get_cyclic(index as usize);
    let targets = 0..settings.targets;
    targets.map(|i| SlotClass { speed: speed(i), count: settings.slots }).collect()
}

/// Returns the work that all slots do per unit of time, relative to a slot of speed 1.
fn capacity(settings: &ScoreSettings) -> f64 {
    slots(settings).iter().map(|slots| slots.speed * f64::from(slots.count)).sum()
}

/// Counts the submissions that are not complete in time, by the last outcome and code.
fn outcomes(pairs: &[&ScoredSubmission]) -> BTreeMap<String, u64> {
    let mut outcomes = BTreeMap::new();
    for pair in pairs.iter().filter(|pair| !pair.complete()) {
        *outcomes.entry(pair.observed.outcome.clone()).or_default() += 1;
    }
    outcomes
}

/// Returns the measurements by request kind.
fn kind_scores(
    pairs: &[&ScoredSubmission],
    round_trip_us: u64,
) -> BTreeMap<String, KindScore> {
    let mut by_kind: BTreeMap<String, Vec<&ScoredSubmission>> = BTreeMap::new();
    for pair in pairs {
        by_kind.entry(pair.observed.kind.to_string()).or_default().push(pair);
    }
    let score = |pairs: Vec<&ScoredSubmission>| kind_score(&pairs, round_trip_us);
    by_kind.into_iter().map(|(kind, pairs)| (kind, score(pairs))).collect()
}

/// Returns the measurements of the submissions of one request kind.
fn kind_score(pairs: &[&ScoredSubmission], round_trip_us: u64) -> KindScore {
    let complete: Vec<&&ScoredSubmission> =
        pairs.iter().filter(|pair| pair.complete()).collect();
    let response_us = |pair: &ScoredSubmission| {
        pair.observed.complete_us.unwrap_or_default() - pair.observed.due_us
    };
    let ideal_answer_us =
        |pair: &&ScoredSubmission| Some(pair.ideal_end_us? + round_trip_us);
    let over_own = |pair: &&&ScoredSubmission| {
        let own_us = pair.observed.own_run_us? + round_trip_us;
        Some(response_us(pair) as f64 / own_us as f64)
    };
    KindScore {
        submissions: pairs.len() as u64,
        complete: complete.len() as u64,
        ideal_complete: pairs.iter().filter(|p| p.ideal_end_us.is_some()).count() as u64,
        response_ms: quantiles(
            complete.iter().map(|p| response_us(p) as f64 / 1e3).collect(),
        ),
        ideal_ms: quantiles(
            pairs
                .iter()
                .filter_map(|p| {
                    Some((ideal_answer_us(p)? - p.observed.due_us) as f64 / 1e3)
                })
                .collect(),
        ),
        over_own_run: quantiles(complete.iter().filter_map(over_own).collect()),
    }
}

/// Returns the quantiles of values by the nearest rank; 0 if there are no values.
fn quantiles(mut values: Vec<f64>) -> Quantiles {
    values.sort_by(f64::total_cmp);
    let at = |quantile: f64| {
        let rank = (values.len() as f64 * quantile).ceil() as usize;
        values.get(rank.saturating_sub(1)).copied().unwrap_or_default()
    };
    Quantiles { p50: at(0.5), p99: at(0.99), p999: at(0.999) }
}
