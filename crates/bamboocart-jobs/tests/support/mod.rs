//! Helpers that the engine tests share; each test uses some of them.
#![allow(dead_code)]

pub mod site;

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;

use bamboocart_jobs::{
    ActiveRun, Answer, CapacityReport, Checkpoint, Effect, EndReport, EndedRun, Engine,
    Frame, HoldAnswer, HoldOrder, HoldReply, Member, Message, MinionEntry, MinionState,
    Moment, NewJob, PeerKey, Queue, RequestKey, Resources, RunEnd, RunOrder, RunRef,
    StartOrder, Step, Submission,
};

/// The id of the jobs that [`submission`] creates.
pub const JOB: &str = "00000000000000aa";

/// Returns the time at which the tests of single engines begin.
pub fn site_start() -> Moment {
    Moment(10_000)
}

/// Returns the first incarnation of an instance.
pub fn member(name: &str, failure_domain: &str) -> Member {
    Member {
        name: name.into(),
        failure_domain: failure_domain.into(),
        address: SocketAddr::from((Ipv4Addr::LOCALHOST, 7_000)),
        incarnation: 1,
    }
}

/// Returns the list entry of a minion with capacity for two tasks of [`step`].
pub fn entry(id: &str, failure_domain: &str) -> MinionEntry {
    MinionEntry {
        id: id.into(),
        service: "service".into(),
        address: SocketAddr::from((Ipv4Addr::LOCALHOST, 8_000)),
        failure_domain: failure_domain.into(),
        state: MinionState::Ready,
        capacity: Resources { cpu_millicores: 2_000, memory_mb: 4_096, gpu_count: 0 },
        labels: Vec::new(),
        incarnation: 1,
    }
}

/// Returns a queue whose tasks may fail twice before their job fails.
pub fn queue() -> Queue {
    Queue {
        name: "queue".into(),
        host: "jobs.example".into(),
        path_prefix: "/q/".into(),
        service: "service".into(),
        priority: 0,
        max_attempts: 2,
        slack_factor: 4.0,
        target_latency_ms: 1_000,
        advice: None,
    }
}

/// Returns a step with tasks of which two fit on a minion.
pub fn step(count: u16, after: &[u16]) -> Step {
    Step {
        count,
        need: Resources { cpu_millicores: 1_000, memory_mb: 64, gpu_count: 0 },
        estimate_ms: 300,
        after: after.to_vec(),
        ..Step::default()
    }
}

/// Returns a request for a best-effort job with these steps.
pub fn submission(request: u64, steps: Vec<Step>) -> Submission {
    Submission {
        request: RequestKey(request),
        queue: Arc::new(queue()),
        job: NewJob {
            id: JOB.parse().unwrap(),
            spec: "".into(),
            steps,
            best_effort: true,
            repeat: None,
        },
        timeout_ms: 1_500,
    }
}

/// Returns the run of the only task of [`JOB`] with this number.
pub fn run(number: u64) -> RunRef {
    RunRef { task: format!("{JOB}.0.0.0").parse().unwrap(), run: number }
}

/// Returns an engine whose only peer holds the minions m-1 and m-2, with a link to it.
pub fn engine_with_holder(now: Moment) -> (Engine, PeerKey) {
    let mut engine = Engine::new(member("entry-1", "marka"), 7);
    let members = [member("entry-1", "marka"), member("entry-2", "sahab")];
    engine.update_minions(now, ["m-1", "m-2"].map(|id| entry(id, "sahab")).into());
    engine.set_members(now, 5, &members);
    let holder = engine.peer(now, &members[1]);
    engine.link_opened(holder);
    (engine, holder)
}

/// Returns an engine that holds so many minions, each of which has answered one hold, and
/// the next holds. The minions are in the failure domain `marka` and have the ids m-0, m-1
/// and so on.
pub fn engine_with_minions(now: Moment, minions: usize) -> (Engine, Vec<HoldOrder>) {
    let mut engine = Engine::new(member("entry-1", "marka"), 7);
    let ids = (0..minions).map(|number| format!("m-{number}"));
    engine.update_minions(now, ids.map(|id| entry(&id, "marka")).collect());
    engine.set_members(now, 5, &[member("entry-1", "marka")]);
    for order in holds_of(engine.take_effects()) {
        answer_hold_from(&mut engine, now, &order, 1, Vec::new());
    }
    let holds = holds_of(engine.take_effects());
    (engine, holds)
}

/// Returns a report that a minion of average pace has this much free capacity.
pub fn room(minion: &str, free: Resources) -> Message {
    let report = CapacityReport { minion: minion.into(), free, pace_permille: 1_000 };
    Message::FreeCapacity(vec![report])
}

/// Returns a frame sent at `now` by a peer that knows the configuration.
pub fn frame(now: Moment, messages: Vec<Message>) -> Frame {
    Frame {
        sent_ms: now.0,
        echo_ms: now.0,
        wants_capacity: true,
        needs_state: false,
        join_age_ms: Some(0),
        messages,
    }
}

/// Returns an active run without a checkpoint.
pub fn active(run: RunRef, done_percent: u8) -> ActiveRun {
    ActiveRun { run, done_percent, checkpoint: Checkpoint::default() }
}

/// Returns an ended run without a checkpoint.
pub fn ended(number: u64, run: RunRef, end: RunEnd) -> EndedRun {
    let checkpoint = Checkpoint::default();
    EndedRun { number, report: EndReport { run, end, checkpoint }, lease_expired: false }
}

/// Returns the first hold order among effects.
pub fn hold_of(effects: Vec<Effect>) -> HoldOrder {
    holds_of(effects).into_iter().next().expect("a hold is sent")
}

/// Returns the hold orders among effects.
pub fn holds_of(effects: Vec<Effect>) -> Vec<HoldOrder> {
    let hold = |effect| match effect {
        Effect::Hold(order) => Some(order),
        _ => None,
    };
    effects.into_iter().filter_map(hold).collect()
}

/// Returns the start orders among effects.
pub fn starts_of(effects: Vec<Effect>) -> Vec<StartOrder> {
    let start = |effect| match effect {
        Effect::Start(order) => Some(order),
        _ => None,
    };
    effects.into_iter().filter_map(start).collect()
}

/// Returns the answers to clients among effects.
pub fn answers_of(effects: Vec<Effect>) -> Vec<(RequestKey, Answer)> {
    let answer = |effect| match effect {
        Effect::Answer(request, answer) => Some((request, answer)),
        _ => None,
    };
    effects.into_iter().filter_map(answer).collect()
}

/// Answers a hold order; the minion's clock shows `now`.
pub fn answer_hold(
    engine: &mut Engine,
    now: Moment,
    order: &HoldOrder,
    reply: HoldReply,
) {
    let reply = HoldReply { incarnation: 1, clock_ms: now.0, ..reply };
    let answer = HoldAnswer::Reply(reply);
    engine.hold_answered(now, order.target.minion, order.number, answer);
}

/// Returns the order to start a run of a best-effort job.
pub fn run_order(run: RunRef) -> RunOrder {
    RunOrder {
        run,
        need: Resources { cpu_millicores: 1_000, memory_mb: 64, gpu_count: 0 },
        estimate_ms: 300,
        spec: "".into(),
        checkpoint: Checkpoint::default(),
        epoch: 0,
        pinned: false,
        ticket: None,
    }
}

/// Answers a hold from an incarnation of the minion, with a list of active runs.
pub fn answer_hold_from(
    engine: &mut Engine,
    now: Moment,
    order: &HoldOrder,
    incarnation: u64,
    active: Vec<ActiveRun>,
) {
    let reply = HoldReply { incarnation, clock_ms: now.0, active, ended: Vec::new() };
    let answer = HoldAnswer::Reply(reply);
    engine.hold_answered(now, order.target.minion, order.number, answer);
}
