//! The checks of a recorded run against the guarantees of the system.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

use bamboocart_core::account::{
    ACCOUNT_STREAM, DecodedBatch, Finding, Floors, StreamRecord, VerifySettings, verify,
};
use bamboocart_core::config::{ApplyResult, CONFIG_STREAM, ConfigReplay};
use bamboocart_core::id::SubmissionId;
use bamboocart_core::time::Timestamp;
use bamboocart_platform::{Platform, Record};
use bamboocart_standin::history::{
    CallRecord, EventKind, History, Policy, Purpose, check,
};
use bamboocart_wire::api::{AnswerBody, OutcomeName, ResultBody};

use super::callers::Callers;
use super::cluster::Cluster;
use super::wait_until;

/// The time after the last call within which every submission must have its final
/// outcome: the longest deadline of a request kind and the wait for a peer's answer.
const FINAL_OUTCOME_TIMEOUT: Duration = Duration::from_secs(12);

/// The idempotent request kinds, whose tasks may be sent again as another attempt.
const REPEATABLE: [&str; 2] = ["bay-check", "tag-lookup"];

/// The outcome, code and results of an answer that is final.
type FinalAnswer = (OutcomeName, String, Vec<ResultBody>);

/// Checks a run, and panics with all violations.
///
/// `live` are the instances that ran without a restart, possibly paused.
pub fn check_run(cluster: &Cluster, callers: &Callers, live: &[usize]) -> Summary {
    check_run_with(cluster, callers, live, live)
}

/// Checks a run, and panics with all violations.
///
/// The `asked` instances must know the outcome of every submission whose owner is one of
/// the `owners`.
pub fn check_run_with(
    cluster: &Cluster,
    callers: &Callers,
    asked: &[usize],
    owners: &[usize],
) -> Summary {
    let ids: BTreeSet<SubmissionId> = callers
        .records()
        .iter()
        .filter_map(|record| record.submission_id.clone())
        .collect();
    let states = final_states(cluster, callers, asked, &ids);
    let calls = callers.records();
    let history = collect_history(cluster, calls.clone());
    let repeatable = REPEATABLE.map(Into::into).into_iter().collect();
    let found = check(&history, &Policy { repeatable });
    let mut violations: Vec<String> = found.iter().map(ToString::to_string).collect();
    violations.extend(partial_answers(&calls));
    violations.extend(starts_after_not_run(&history));
    violations.extend(differing_outcomes(cluster, owners, &calls, &states));
    violations.extend(account_findings(cluster));
    assert!(violations.is_empty(), "violations:\n{}", violations.join("\n"));
    Summary::of(&history)
}

/// The counts of a run, for tests that must not pass on an idle system.
#[derive(Debug, Clone, Default)]
pub struct Summary {
    /// The number of tasks that targets started.
    pub starts: usize,
    /// The number of answers by outcome and code, and of calls without an answer.
    pub answers: BTreeMap<String, usize>,
}

impl Summary {
    /// Counts the starts and answers of a run.
    fn of(history: &History) -> Self {
        let starts =
            history.events.iter().filter(|event| event.kind == EventKind::Started);
        let mut answers = BTreeMap::new();
        for call in &history.calls {
            let name = match &call.answer {
                Some(answer) => format!("{:?} {}", answer.outcome, answer.code),
                None => "no answer".into(),
            };
            *answers.entry(name).or_default() += 1;
        }
        Self { starts: starts.count(), answers }
    }

    /// Returns the number of answers with a code.
    pub fn with_code(&self, code: &str) -> usize {
        let suffix = format!(" {code}");
        let matching = self.answers.iter().filter(|(name, _)| name.ends_with(&suffix));
        matching.map(|(_, count)| count).sum()
    }
}

/// Collects the events that both fleets have recorded, with the calls of callers.
pub fn collect_history(cluster: &Cluster, calls: Vec<CallRecord>) -> History {
    let mut history = History { calls, ..History::default() };
    for fleet in [&cluster.minions, &cluster.workers] {
        let page = fleet.members().history(0, usize::MAX);
        history.events.extend(page.events);
        history.dropped += page.dropped;
    }
    history
}

/// Reads all records of the account from the log.
fn account_records(cluster: &Cluster) -> Vec<Record> {
    let platform = Platform::new(&cluster.platform.address().to_string());
    let mut records = vec![];
    let mut next = 0;
    loop {
        let page = platform.read(ACCOUNT_STREAM, next, 0).expect("the log can be read");
        next = page.records.last().map_or(page.end, |record| record.offset + 1);
        records.extend(page.records);
        if next >= page.end {
            return records;
        }
    }
}

/// Reads the batches of the account without duplicates, which arise when the answer to an
/// append is lost and the batch is appended again.
pub fn account_batches(cluster: &Cluster) -> Vec<DecodedBatch> {
    let mut known = BTreeSet::new();
    let batches = account_records(cluster).into_iter().map(|record| {
        DecodedBatch::decode(&record.body).expect("the account is readable").0
    });
    batches
        .filter(|it| known.insert((it.instance.clone(), it.incarnation, it.batch)))
        .collect()
}

/// Verifies the account in the log and returns up to five findings.
///
/// Gaps are not findings, because a killed instance loses its last entries.
fn account_findings(cluster: &Cluster) -> Vec<String> {
    let platform = Platform::new(&cluster.platform.address().to_string());
    let records = account_records(cluster);
    let stream = records.iter().map(|record| StreamRecord {
        offset: record.offset,
        at_ms: record.at_ms,
        text: &record.body,
    });
    let report = verify(stream, VerifySettings::default(), floors(&platform));
    assert!(!report.incarnations.is_empty(), "the run left no account");
    let describe = |finding: &Finding| {
        let Finding { offset, account, sequence, fault } = finding;
        format!("account record {offset}, {account:?}, entry {sequence:?}: {fault}")
    };
    report.findings.iter().take(5).map(describe).collect()
}

/// Reads the floors of every version in the configuration stream.
fn floors(platform: &Platform) -> Floors {
    let (mut replay, mut floors) = (ConfigReplay::new(), Floors::default());
    loop {
        let page = platform.read(CONFIG_STREAM, replay.next_offset(), 0);
        let page = page.expect("the log can be read");
        replay.set_log_start(page.start);
        for record in &page.records {
            let at = Timestamp::from_ms(record.at_ms);
            let result = replay.apply(record.offset, at, &record.body);
            replay.in_force().into_iter().for_each(|known| floors.add(known));
            if matches!(result, ApplyResult::Rewind { .. }) {
                break;
            }
        }
        if page.records.is_empty() || replay.next_offset() >= page.end {
            return floors;
        }
    }
}

/// Queries every live instance for the state of every submission until none is running.
fn final_states(
    cluster: &Cluster,
    callers: &Callers,
    live: &[usize],
    ids: &BTreeSet<SubmissionId>,
) -> HashMap<SubmissionId, Vec<AnswerBody>> {
    let mut states = HashMap::new();
    let start = std::time::Instant::now();
    for id in ids {
        let ask = || -> Vec<AnswerBody> {
            let ask_one = |&index: &usize| {
                let instance = &cluster.instances[index];
                callers.query(instance.address, id).unwrap_or_else(|| {
                    panic!("{} did not answer the query for {id}", instance.name)
                })
            };
            live.iter().map(ask_one).collect()
        };
        let mut answers = ask();
        let left = FINAL_OUTCOME_TIMEOUT.saturating_sub(start.elapsed());
        wait_until(&format!("the end of {id}"), left + Duration::from_secs(1), || {
            answers = ask();
            answers.iter().all(|answer| answer.code != "still-running")
        });
        states.insert(id.clone(), answers);
    }
    states
}

/// Finds answers that have results although they are not complete.
fn partial_answers(calls: &[CallRecord]) -> Vec<String> {
    let answers = calls.iter().filter_map(|call| Some((call, call.answer.as_ref()?)));
    answers
        .filter(|(_, answer)| answer.outcome != OutcomeName::Complete)
        .filter(|(_, answer)| !answer.results.is_empty())
        .map(|(call, answer)| format!("{} is {} with results", call.mark, answer.code))
        .collect()
}

/// Finds starts, at any time, of submissions whose id was answered "not run".
///
/// The general check of histories allows a start that another open call may explain.
/// Under one id, which has one owner and one outcome, no start is allowed.
fn starts_after_not_run(history: &History) -> Vec<String> {
    let refused = history.calls.iter().filter_map(|call| {
        let (answer, id) = (call.answer.as_ref()?, call.submission_id.as_ref()?);
        let not_run = match answer.outcome {
            OutcomeName::Refused => call.purpose != Purpose::Cancel,
            OutcomeName::Cancelled => answer.code == "cancelled-not-run",
            _ => false,
        };
        let own = answer.submission.is_some() && answer.code != "id-reused";
        (not_run && own).then(|| (id.clone(), answer.code.clone()))
    });
    let refused: HashMap<SubmissionId, String> = refused.collect();
    let started = history.events.iter().filter(|event| event.kind == EventKind::Started);
    let runs = started.filter_map(|event| event.run.as_ref());
    let wrong = runs.filter_map(|run| Some((run, refused.get(&run.submission)?)));
    wrong
        .map(|(run, code)| format!("{} was {code} and started", run.submission))
        .collect()
}

/// Finds submissions with different final outcomes, or without a final outcome although
/// their owner is live.
fn differing_outcomes(
    cluster: &Cluster,
    live: &[usize],
    calls: &[CallRecord],
    states: &HashMap<SubmissionId, Vec<AnswerBody>>,
) -> Vec<String> {
    let mut found = vec![];
    for (id, now) in states {
        let given: Vec<(&AnswerBody, bool)> = calls
            .iter()
            .filter(|call| call.submission_id.as_ref() == Some(id))
            .filter_map(|call| Some((call.answer.as_ref()?, false)))
            .chain(now.iter().map(|answer| (answer, true)))
            .collect();
        let finals: Vec<FinalAnswer> =
            given.iter().filter_map(|(answer, _)| final_answer(answer)).collect();
        let differing = finals.iter().find(|other| **other != finals[0]);
        if let Some(other) = differing {
            let (a, b) = (&finals[0], other);
            found.push(format!("{id} is {:?} {} and {:?} {}", a.0, a.1, b.0, b.1));
        }
        let owner_is_live = owner_is_live(cluster, live, id, &given);
        let open: Vec<&AnswerBody> = now
            .iter()
            .filter(|answer| final_answer(answer).is_none())
            .filter(|answer| !finals.is_empty() || answer.code != "never-seen")
            .collect();
        if owner_is_live && !open.is_empty() {
            let codes: Vec<&str> = open.iter().map(|a| a.code.as_str()).collect();
            found.push(format!("{id} has no final outcome at the end: {codes:?}"));
        }
    }
    found
}

/// Returns whether the owner of a submission is known from its id or an answer and is one
/// of the live instances.
fn owner_is_live(
    cluster: &Cluster,
    live: &[usize],
    id: &SubmissionId,
    given: &[(&AnswerBody, bool)],
) -> bool {
    let mut live = live.iter().map(|&index| &cluster.instances[index]);
    match id {
        SubmissionId::Ticket(ticket) => live.any(|instance| {
            instance.name == ticket.instance.as_str()
                && instance.incarnation == ticket.incarnation.0
        }),
        SubmissionId::CallerKey(_) => {
            let mut answers = given.iter().filter(|(a, _)| final_answer(a).is_some());
            let owner = answers.next().and_then(|(answer, _)| answer.owner.clone());
            owner.is_some_and(|owner| live.any(|i| i.name == owner.as_str()))
        }
    }
}

/// Returns the final part of an answer, or `None` if the answer is not final.
fn final_answer(answer: &AnswerBody) -> Option<FinalAnswer> {
    let is_final = match answer.outcome {
        OutcomeName::Complete | OutcomeName::Failed | OutcomeName::Cancelled => true,
        OutcomeName::Refused => answer.code != "id-reused",
        OutcomeName::Unknown => answer.code == "target-lost",
    };
    let known = is_final && answer.submission.is_some();
    known.then(|| (answer.outcome, answer.code.clone(), answer.results.clone()))
}
