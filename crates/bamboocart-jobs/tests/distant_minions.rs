//! Tasks that only minions of instances suit that are no neighbours of the owner.

mod support;

use std::ops::Range;
use std::sync::Arc;

use bamboocart_jobs::{
    AdviceRules, Answer, JobId, JobState, Member, MinionEntry, NewJob, Queue, RequestKey,
    Resources, Step, Submission,
};
use support::site::Site;
use support::{entry, member, step, submission};
use yare::parameterized;

/// The failure domains of the site.
const DOMAINS: [&str; 3] = ["marka", "sahab", "qastal"];

/// The time in which a job with tasks of 200 ms ends if it is placed at once.
const JOB_MS: u64 = 300;

/// The capacity of a minion that is larger than the others.
const LARGE: Resources =
    Resources { cpu_millicores: 8_000, memory_mb: 16_384, gpu_count: 0 };

/// A site, and the step of a job that is sent to one of its instances.
struct Case {
    instances: usize,
    minions: usize,
    /// Returns the step; the numbers are those of the job and of the minions.
    step: fn(usize, usize) -> Step,
}

/// Returns the members of a site.
fn members(count: usize) -> Vec<Member> {
    let domain = |number: usize| DOMAINS[number % DOMAINS.len()];
    (0..count).map(|it| member(&format!("entry-{it:03}"), domain(it))).collect()
}

/// Returns minions each of which is alone in its rack. The last one is large, and every
/// second one has an accelerator.
fn minions(count: usize) -> Vec<MinionEntry> {
    let minion = |number: usize| {
        let domain = DOMAINS[number % DOMAINS.len()];
        let labels = vec!["kind".into(), format!("rack-{number}").into()];
        let entry = entry(&format!("m-{number:03}"), domain);
        let capacity = if number + 1 == count { LARGE } else { entry.capacity };
        let gpu_count = u32::from(number.is_multiple_of(2));
        MinionEntry { labels, capacity: Resources { gpu_count, ..capacity }, ..entry }
    };
    (0..count).map(minion).collect()
}

/// Returns a job with one step.
fn job(number: usize, step: Step, best_effort: bool) -> Submission {
    let submission = submission(number as u64, vec![step]);
    let id: JobId = format!("{number:016x}").parse().unwrap();
    let job = NewJob { id, best_effort, ..submission.job };
    Submission { job, ..submission }
}

/// Returns a step whose only task suits one minion.
fn labelled(job: usize, minions: usize) -> Step {
    let label = format!("rack-{}", job % minions).into();
    Step { required_label: Some(label), estimate_ms: 200, ..step(1, &[]) }
}

/// Returns a step whose only task fits on a large minion.
fn large(_: usize, _: usize) -> Step {
    Step { need: LARGE, estimate_ms: 200, ..step(1, &[]) }
}

/// Returns a step whose tasks take all minions of the site with an accelerator.
fn spread(_: usize, minions: usize) -> Step {
    let need = Resources { gpu_count: 1, ..step(1, &[]).need };
    let count = minions.div_ceil(2) as u16;
    Step { need, max_per_minion: Some(1), estimate_ms: 200, ..step(count, &[]) }
}

/// Returns the same as a gang, whose tasks only work together, on half of the minions.
fn gang(job: usize, minions: usize) -> Step {
    let spread = spread(job, minions);
    Step { gang: true, count: spread.count / 2, ..spread }
}

/// Returns a step whose only task is too slow on any minion but one.
fn near_data(job: usize, minions: usize) -> Step {
    let rack = format!("rack-{}", job % minions).into();
    Step { data_rack: Some(rack), estimate_ms: 1_000, ..step(1, &[]) }
}

/// Guards against jobs that wait, or are refused, while the minions that suit them are idle
/// because their holder is no neighbour of the owner.
#[parameterized(
    label_at_7 = { Case { instances: 7, minions: 14, step: labelled } },
    label_at_36 = { Case { instances: 36, minions: 36, step: labelled } },
    label_at_100 = { Case { instances: 100, minions: 100, step: labelled } },
    size_at_36 = { Case { instances: 36, minions: 36, step: large } },
    one_per_minion_at_36 = { Case { instances: 36, minions: 72, step: spread } },
    gang_at_36 = { Case { instances: 36, minions: 72, step: gang } },
    data_rack_at_36 = { Case { instances: 36, minions: 36, step: near_data } },
)]
fn suitable_minions_are_found(case: Case) {
    const JOBS: usize = 36;
    let Case { instances, minions: count, step } = case;
    let mut site = Site::new(members(instances), minions(count));
    site.engines.iter_mut().for_each(|engine| engine.set_remote_factor(3.0));
    for number in 0..JOBS {
        site.submit(number % instances, job(number, step(number, count), true));
        site.pass(JOB_MS);
        let answers = site.answers_to(RequestKey(number as u64));
        let completed = [Answer::Ended(JobState::Completed)];
        assert_eq!(answers, completed, "job {number}");
    }
}

/// Guards against tasks of stored jobs that never start while most of the service is idle,
/// since tasks that last occupy all minions whose free capacity their owner knows.
#[test]
fn tasks_that_last_spread_over_all_holders() {
    const MINIONS: usize = 72;
    /// Tasks that take less than half of the service.
    const TASKS: u16 = 64;
    /// The time in which a task that could run has to be started.
    const START_MS: u64 = 3_000;
    let mut site = Site::new(members(36), minions(MINIONS));
    site.run_ms = 600_000;
    let step = Step { long_running: true, ..step(TASKS, &[]) };
    site.submit(0, job(1, step, false));
    site.pass(START_MS);
    assert_eq!(site.starts.len(), usize::from(TASKS));
}

/// Guards against a gang that is never placed since the minions that its owner hears of are
/// enough for it, but full, so that too few other holders are asked at a time.
#[test]
fn gangs_find_minions_beside_full_ones() {
    const MINIONS: usize = 72;
    const START_MS: u64 = 3_000;
    for number in 1..=4 {
        let mut site = Site::new(members(36), minions(MINIONS));
        site.run_ms = 600_000;
        let full = (0..MINIONS).filter(|minion| minion * 7 % 10 < 6);
        for minion in full {
            let step = labelled(minion, MINIONS);
            let step = Step { count: 2, long_running: true, ..step };
            site.submit(0, job(1_000 * number + minion, step, false));
        }
        site.pass(START_MS);
        let started = site.starts.len();
        let gang = Step { gang: true, max_per_minion: Some(1), ..step(16, &[]) };
        site.submit(0, job(number, gang, false));
        site.pass(START_MS);
        assert_eq!(site.starts.len(), started + 16, "job {number}");
    }
}

/// Guards against a job that waits for ever since the only minion that the advice service
/// allows is held by an instance that is no neighbour of its owner.
#[test]
fn advised_minions_are_found() {
    const INSTANCES: usize = 36;
    const RULES: AdviceRules =
        AdviceRules { decision_ms: 1, per_minion_ms: 0, validity_ms: 10_000 };
    let mut site = Site::new(members(INSTANCES), minions(INSTANCES));
    for number in 0..INSTANCES {
        site.advised = Some(format!("m-{number:03}").as_str().into());
        let submission = job(number, step(1, &[]), true);
        let queue = Queue { advice: Some(RULES), ..Queue::clone(&submission.queue) };
        site.submit(0, Submission { queue: Arc::new(queue), ..submission });
        site.pass(JOB_MS);
        assert_eq!(site.starts.len(), number + 1, "job {number}");
    }
}

/// Guards against queries that cost as much as reports to all peers: in an instance whose
/// jobs wait for minions that are full, each of them held by another instance.
#[parameterized(
    at_12 = { 12 },
    at_36 = { 36 },
)]
fn queries_are_limited(instances: usize) {
    /// The most frames that an instance may send in a second.
    const FRAMES_PER_S: usize = 500;
    /// The number of jobs that wait at an instance.
    const WAITING_JOBS: usize = 20;
    const SECONDS: usize = 4;
    let mut site = Site::new(members(instances), minions(instances));
    site.run_ms = 600_000;
    let send = |site: &mut Site, numbers: Range<usize>| {
        for number in numbers {
            let step = Step { long_running: true, ..labelled(number, instances) };
            site.submit(number % instances, job(number, step, false));
        }
        site.pass(4_000);
    };
    // Two tasks fit on a minion, and eight on the large one.
    let slots = 8 * instances;
    send(&mut site, 0..slots);
    let started = site.starts.len();
    assert_eq!(started, 2 * (instances - 1) + 8, "all minions are full");
    send(&mut site, slots..slots + WAITING_JOBS * instances);
    assert_eq!(site.starts.len(), started);
    site.frames.fill(0);
    site.pass(SECONDS as u64 * 1_000);
    let most = site.frames.iter().copied().max().unwrap_or(0) / SECONDS;
    assert!(most <= FRAMES_PER_S, "an instance sends {most} frames a second");
}
