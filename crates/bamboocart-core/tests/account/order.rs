//! Tests of the check of the start order.

use std::collections::BTreeMap;

use bamboocart_core::account::{
    AnswerKind, Fact, Fault, FinishResult, SchedulingParams, StartReason, TaskRange,
};
use bamboocart_core::id::{ConfigVersion, TaskIndex};
use bamboocart_core::outcome::RefusalCode;
use proptest::collection::vec;
use proptest::prelude::*;
use yare::parameterized;

use StartReason::{Fit, Floor, Hedge, Order, Requeued, Retry};

use crate::stream::{
    START_MS, Stream, admit, answer, cancel, faults, finish, ms, start, subject, writer,
};

/// Returns the faults of an account that consists of these facts.
fn faults_of(facts: Vec<Fact>) -> Vec<Fault> {
    let mut stream = Stream::default();
    let mut writer = writer("a1", START_MS);
    for fact in facts {
        writer.record(ms(START_MS + 1), fact);
    }
    writer.close(ms(START_MS + 2));
    stream.drain(&mut writer, START_MS + 2);
    faults(&stream.verify()).into_iter().cloned().collect()
}

/// Admits six tasks of customer a (numbers 0 to 5), then one of customer b (number 6).
fn backlog() -> Vec<Fact> {
    let mut facts: Vec<Fact> = (0..6).map(|number| admit(number, "a", 1)).collect();
    facts.push(admit(6, "b", 1));
    facts
}

/// Starts the tasks with these numbers, which belong to customer a.
fn starts(numbers: std::ops::Range<u64>, reason: StartReason) -> Vec<Fact> {
    numbers.map(|number| start(number, "a", reason)).collect()
}

/// Guards against a wrong order that is not reported, and against findings for a right
/// one.
#[parameterized(
    by_arrival = { vec![backlog(), starts(0..4, Order)], None },
    against_arrival = {
        vec![backlog(), vec![start(1, "a", Order)]],
        Some(|f| matches!(f, Fault::ArrivalPassedOver { waiting_arrival: 0, .. })),
    },
    against_arrival_for_fit = { vec![backlog(), vec![start(1, "a", Fit)]], None },
    beyond_share = {
        vec![backlog(), starts(0..6, Order)],
        Some(|f| matches!(
            f,
            Fault::SharePassedOver { behind_us: 500_000, tolerance_us: 400_000, .. }
        )),
    },
    beyond_share_for_fit = { vec![backlog(), starts(0..6, Fit)], None },
    beyond_share_for_floor = {
        vec![backlog(), starts(0..6, Floor)],
        Some(|f| matches!(f, Fault::SharePassedOver { behind_us: 500_000, .. })),
    },
    against_arrival_for_floor = {
        vec![backlog(), vec![start(1, "a", Floor)]],
        Some(|f| matches!(f, Fault::ArrivalPassedOver { waiting_arrival: 0, .. })),
    },
    against_rank_for_floor = {
        vec![backlog(), vec![admit(7, "b", 0), start(0, "a", Floor)]],
        None,
    },
    share_restored = {
        vec![backlog(), starts(0..5, Order), vec![start(6, "b", Order)]],
        None,
    },
    against_rank = {
        vec![backlog(), vec![admit(7, "b", 0), start(0, "a", Order)]],
        Some(|f| matches!(f, Fault::RankPassedOver { rank: 1, waiting_rank: 0, .. })),
    },
    by_rank = {
        vec![backlog(), vec![
            admit(7, "b", 0),
            start(7, "b", Order),
            start(0, "a", Order),
        ]],
        None,
    },
    cancelled_tasks_do_not_wait = {
        vec![backlog(), vec![cancel(0, "a", false), start(1, "a", Order)]],
        None,
    },
    refused_tasks_do_not_wait = {
        vec![backlog(), vec![
            answer(0, "a", AnswerKind::Refused(RefusalCode::DeadlineUnreachable)),
            start(1, "a", Order),
        ]],
        None,
    },
    rejected_task_waits_again = {
        vec![backlog(), vec![
            start(0, "a", Order),
            finish(0, "a", FinishResult::NotStarted),
            start(1, "a", Order),
        ]],
        Some(|f| matches!(f, Fault::ArrivalPassedOver { waiting_arrival: 0, .. })),
    },
    rejected_task_is_requeued = {
        vec![backlog(), vec![
            start(0, "a", Order),
            finish(0, "a", FinishResult::NotStarted),
            start(0, "a", Requeued),
            start(1, "a", Order),
        ]],
        None,
    },
    rejected_task_is_charged_once = {
        vec![
            backlog(),
            vec![start(0, "a", Order)],
            vec![
                [finish(0, "a", FinishResult::NotStarted), start(0, "a", Requeued)];
                6
            ]
            .concat(),
            vec![start(1, "a", Order)],
        ],
        None,
    },
    retry_and_hedge = {
        vec![backlog(), vec![
            start(0, "a", Order),
            start(0, "a", Hedge),
            finish(0, "a", FinishResult::Lost),
            start(0, "a", Retry),
        ]],
        None,
    },
    started_twice = {
        vec![backlog(), starts(0..1, Order), starts(0..1, Order)],
        Some(|f| matches!(f, Fault::StartedTwice { .. })),
    },
    never_admitted = {
        vec![starts(0..1, Order)],
        Some(|f| matches!(f, Fault::NotWaiting { .. })),
    },
    started_after_cancellation = {
        vec![backlog(), vec![cancel(0, "a", false), start(0, "a", Order)]],
        Some(|f| matches!(f, Fault::NotWaiting { .. })),
    },
    retry_without_start = {
        vec![backlog(), starts(0..1, Retry)],
        Some(|f| matches!(f, Fault::StartContradictsAdmission { .. })),
    },
    other_customer = {
        vec![backlog(), vec![start(0, "b", Order)]],
        Some(|f| matches!(f, Fault::StartContradictsAdmission { .. })),
    },
    admitted_twice = {
        vec![backlog(), vec![admit(6, "b", 1)]],
        Some(|f| matches!(f, Fault::AdmittedTwice { .. })),
    },
    arrival_decreases = {
        vec![vec![admit(6, "b", 1), admit(5, "a", 1)]],
        Some(|f| matches!(f, Fault::ArrivalNotRising { previous: 6, arrival: 5, .. })),
    },
    untrue_refusal = {
        vec![backlog(), vec![
            start(0, "a", Order),
            answer(0, "a", AnswerKind::Refused(RefusalCode::NoTarget)),
        ]],
        Some(|f| matches!(f, Fault::UntrueRefusal { .. })),
    },
    untrue_cancellation = {
        vec![backlog(), vec![start(0, "a", Order), cancel(0, "a", false)]],
        Some(|f| matches!(f, Fault::UntrueRefusal { .. })),
    },
    true_refusal_after_rejection = {
        vec![backlog(), vec![
            start(0, "a", Order),
            finish(0, "a", FinishResult::NotStarted),
            answer(0, "a", AnswerKind::Refused(RefusalCode::NoTarget)),
        ]],
        None,
    },
    policy_forward = { vec![vec![policy(3, 5), policy(5, 9)]], None },
    policy_back = {
        vec![vec![policy(3, 5), policy(5, 4)]],
        Some(|f| matches!(f, Fault::PolicyWentBack { .. })),
    },
)]
fn the_order_is_checked(facts: Vec<Vec<Fact>>, expected: Option<fn(&Fault) -> bool>) {
    let faults = faults_of(facts.concat());
    match expected {
        None => assert_eq!(faults, []),
        Some(expected) => {
            assert!(matches!(&faults[..], [fault] if expected(fault)), "{faults:#?}");
        }
    }
}

fn policy(from: u64, to: u64) -> Fact {
    Fact::PolicyChange { from: ConfigVersion(from), to: ConfigVersion(to) }
}

/// Guards against findings for starts whose admission may be hidden by a gap.
#[test]
fn starts_after_a_gap_are_counted_as_unchecked() {
    let incarnation = bamboocart_core::id::Incarnation(START_MS * 1_000);
    let mut writer =
        bamboocart_core::account::AccountWriter::with_limit("a1".into(), incarnation, 3);
    let mut stream = Stream::default();
    for number in 0..4 {
        writer.record(ms(START_MS + 1), admit(number, "a", 1));
    }
    stream.drain(&mut writer, START_MS + 2);
    for fact in [start(1, "a", Order), start(3, "a", Order)] {
        writer.record(ms(START_MS + 3), fact);
        stream.drain(&mut writer, START_MS + 4);
    }
    let report = stream.verify();
    assert_eq!(report.findings, []);
    assert_eq!(report.incarnations[0].starts.unchecked, 2);
}

/// Guards against an undetected start of a submission by two instances.
#[test]
fn a_start_by_two_incarnations_is_found() {
    let mut stream = Stream::default();
    for instance in ["a1", "a2"] {
        let mut writer = writer(instance, START_MS);
        writer.record(ms(START_MS + 1), admit(1, "a", 1));
        writer.record(ms(START_MS + 1), start(1, "a", Order));
        stream.drain(&mut writer, START_MS + 2);
    }
    let report = stream.verify();
    let [fault] = faults(&report)[..] else { panic!("{:#?}", report.findings) };
    assert!(matches!(fault, Fault::StartedElsewhere { instance, .. }
        if instance.as_str() == "a1"));
}

/// A task that waits in the textbook queue.
struct Waiting {
    number: u64,
    customer: usize,
    tag: f64,
}

/// Start-time fair queueing as in the literature, with start tags assigned on arrival.
#[derive(Default)]
struct TextbookQueue {
    /// The waiting tasks of each rank.
    ranks: BTreeMap<u8, Vec<Waiting>>,
    /// The start tag of the latest start of each rank.
    virtual_time: BTreeMap<u8, f64>,
    /// The finish tag of each customer's last task.
    finish: BTreeMap<(u8, usize), f64>,
}

impl TextbookQueue {
    fn admit(&mut self, number: u64, customer: usize, rank: u8, cost_over_weight: f64) {
        let now = self.virtual_time.get(&rank).copied().unwrap_or(0.0);
        let finish = self.finish.entry((rank, customer)).or_default();
        let tag = finish.max(now);
        *finish = tag + cost_over_weight;
        self.ranks.entry(rank).or_default().push(Waiting { number, customer, tag });
    }

    fn start(&mut self) -> Option<(u64, usize)> {
        let (rank, waiting) = self.ranks.iter_mut().find(|(_, w)| !w.is_empty())?;
        let next = (0..waiting.len())
            .min_by(|&a, &b| waiting[a].tag.total_cmp(&waiting[b].tag))?;
        let next = waiting.remove(next);
        self.virtual_time.insert(*rank, next.tag);
        Some((next.number, next.customer))
    }
}

const WEIGHTS: [u32; 3] = [1, 3, 10];

proptest! {
    /// Guards against findings for textbook start-time fair queueing, whose tags differ
    /// from those of the replay, and against tolerances that hide a customer that takes
    /// more than its share.
    #[test]
    fn the_textbook_queue_passes(
        steps in vec((any::<bool>(), 0usize..3, 0u8..2, 1u64..2_000_000), 1..300),
    ) {
        let mut queue = TextbookQueue::default();
        let mut facts = Vec::new();
        for (number, (admits, customer, rank, cost_us)) in (0..).zip(steps) {
            if admits {
                let weight = WEIGHTS[customer];
                queue.admit(number, customer, rank, cost_us as f64 / f64::from(weight));
                let (yard, arrival) = ("yard".into(), number);
                let params =
                    SchedulingParams { queue: yard, rank, weight, cost_us, arrival };
                let subject = subject(number, &customer.to_string());
                let tasks = TaskRange { first: TaskIndex(0), count: 1 };
                facts.push(Fact::Admitted { subject, tasks, params });
            } else if let Some((number, customer)) = queue.start() {
                facts.push(start(number, &customer.to_string(), Order));
            }
        }
        prop_assert_eq!(faults_of(facts), []);
    }

    /// Guards against a permanent preference of one customer that stays within the
    /// tolerance.
    #[test]
    fn a_preferred_customer_is_found(costs in vec(1u64..2_000_000, 20..60)) {
        let mut facts = Vec::new();
        for (number, cost_us) in (0..).zip(costs.iter().copied()) {
            for (offset, customer) in [(0, "preferred"), (1, "passed-over")] {
                let (queue, number) = ("yard".into(), number * 2 + offset);
                let params = SchedulingParams {
                    queue,
                    rank: 0,
                    weight: 1,
                    cost_us,
                    arrival: number,
                };
                let tasks = TaskRange { first: TaskIndex(0), count: 1 };
                let subject = subject(number, customer);
                facts.push(Fact::Admitted { subject, tasks, params });
            }
        }
        let largest = costs.iter().max().copied().unwrap_or(0);
        let earlier: u64 = costs.iter().rev().skip(1).sum();
        facts.extend((0..costs.len() as u64).map(|n| start(n * 2, "preferred", Order)));
        let found = faults_of(facts);
        let is_share = |fault: &Fault| matches!(fault, Fault::SharePassedOver { .. });
        prop_assert_eq!(found.iter().any(is_share), earlier > 4 * largest);
    }
}
