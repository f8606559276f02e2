//! The cases.

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::Verdict;
use crate::minion::{CPU, Run, Step};
use crate::system::{Job, System, ZONES, sleep_ms};

/// The time after the end of the traffic at which jobs are asked for (`finish_s`).
const FINISH_S: f64 = 14.0;

/// The time for which the state of a job is known at least (`status_s`).
const STATUS_S: f64 = 120.0;

/// The time for which a job may have nothing running although there is capacity.
const IDLE_MS: u64 = 3_000;

/// How long records are kept unless `KEEP_S` says otherwise: the history of the store
/// according to the sheets of the small deployments.
const KEEP_S: u64 = 20;

/// The number of jobs that are at work when a machine is added.
const WIDE_JOBS: usize = 240;

/// The time after which the tasks of a cancelled job have to be gone (`cancel_ms` and
/// `stop_grace_ms`).
const CANCEL_MS: u64 = 3_000;
const STOP_GRACE_MS: u64 = 50;

/// The share of the jobs that are cancelled.
const CANCELLED_PERCENT: usize = 35;

/// How long the store turns an instance away, and when in that time a machine is added.
const REFUSED_MS: u64 = 9_000;
const ADDED_AFTER_MS: u64 = 1_400;

/// How long records are kept in cases that do not depend on it.
const LONG_KEEP_S: u64 = 300;

fn keep_s() -> u64 {
    std::env::var("KEEP_S").ok().and_then(|text| text.parse().ok()).unwrap_or(KEEP_S)
}

/// Writes the end of a case to the record, and returns its verdict.
fn conclude(mut system: System, faults: Vec<String>, logs: &[&str]) -> Verdict {
    for fault in &faults {
        system.note(&format!("BROKEN: {fault}"));
    }
    if faults.is_empty() {
        system.note("the rule held");
    }
    system.note_runs();
    system.note_logs(logs);
    match faults.is_empty() {
        true => Verdict::Held,
        false => Verdict::Broken(faults),
    }
}

/// Returns the processors in use at each minion that is up.
fn usage(system: &System) -> Vec<u64> {
    let fleet = Arc::clone(&system.minions.fleet);
    let mut fleet = fleet.lock().unwrap();
    (0..fleet.len()).filter_map(|number| fleet.used_cpu(number)).collect()
}

/// Returns why a job counts as lost, if it does: it is not shown as `completed`, and none of
/// its tasks was at work in the last 3 s.
fn lost(system: &mut System, job: &Job) -> Option<String> {
    let state = system.state(&job.id);
    let forgotten = state == "410" && system.age_s(&job.id) > STATUS_S;
    if state == "completed" || forgotten {
        return None;
    }
    let mut fleet = system.minions.fleet.lock().unwrap();
    let now_ms = fleet.now_ms();
    let runs = fleet.runs_of(&job.id);
    let recent = runs.iter().any(|run| {
        run.ended_ms.is_none_or(|ended_ms| now_ms.saturating_sub(ended_ms) < IDLE_MS)
    });
    let shown = format!("job {} is shown as `{state}`, with {} runs", job.id, runs.len());
    match state.as_str() {
        "410" | "failed" | "cancelled" | "no answer" => Some(shown),
        _ if !recent => Some(format!("{shown}, none of them in the last 3 s")),
        _ => None,
    }
}

/// Returns the breaks of TWICE: two runs of a task at the same time, and a start after a run
/// has ended as done whose end was taken note of.
fn doubled(system: &System) -> Vec<String> {
    let runs = system.minions.fleet.lock().unwrap().runs_of("");
    let mut tasks: BTreeMap<&str, Vec<&Run>> = BTreeMap::new();
    for run in &runs {
        tasks.entry(&run.task).or_default().push(run);
    }
    let mut faults = Vec::new();
    for (task, runs) in tasks {
        for (position, first) in runs.iter().enumerate() {
            for second in &runs[position + 1..] {
                let ended_ms = first.ended_ms.unwrap_or(u64::MAX);
                let text = format!(
                    "{task}: run {} on minion {} from {} to {ended_ms} ms ({}), run {} on \
                     minion {} from {} ms",
                    first.number,
                    first.minion,
                    first.began_ms,
                    first.how,
                    second.number,
                    second.minion,
                    second.began_ms
                );
                if second.began_ms < ended_ms {
                    faults.push(format!("two runs at the same time: {text}"));
                } else if first.how == "done" && first.noted {
                    faults.push(format!("a start after an end that was noted: {text}"));
                }
            }
        }
    }
    faults
}

/// Submits jobs, and returns those that were accepted.
fn submit_all(system: &mut System, jobs: Vec<Job>) -> Vec<Job> {
    jobs.into_iter().filter(|job| system.submit(job)).collect()
}

fn short_jobs(system: &mut System, count: usize, more: &str) -> Vec<Job> {
    let step = Step { cpu: 1_000, work_ms: Some(200) };
    let new = |_| Job::new(system.new_id(), 1, step.clone(), 200, more, "");
    (0..count).map(new).collect()
}

/// The instance that last wrote to the store under a condition is killed three times while a
/// task works. Its job must stay known.
pub fn expiry(trouble: bool) -> Verdict {
    let places = [("marka", "a"), ("sahab", "a"), ("qastal", "a")];
    let mut system = System::start(&ZONES, &places, keep_s());
    if !system.await_ready() {
        return Verdict::CouldNotRun("the instances are not ready".into());
    }
    sleep_ms(3_000);
    let kept_s = system.keep_s as f64;
    let work_ms = (1_900.0 * kept_s) as u64;
    let step = Step { cpu: 1_000, work_ms: Some(work_ms) };
    let job = Job::new(system.new_id(), 1, step, work_ms, "", "");
    if !system.submit(&job) {
        return Verdict::CouldNotRun("the job was not accepted".into());
    }
    let accepted_s = system.seconds();
    // An owner writes a job again when it has known it for a third of that time, but checks
    // only every 5 s.
    let kills: &[f64] = if system.keep_s == KEEP_S {
        &[0.275, 0.625, 1.05]
    } else {
        &[0.28, 0.58, 0.88, 1.03]
    };
    for part in kills {
        system.wait_until(accepted_s + part * kept_s);
        if let Some(number) = system.last_writer().filter(|_| trouble) {
            system.kill_and_restart(number, 1_000);
        }
    }
    // A machine is in touch 3 s after it has started.
    system.wait_until(accepted_s + 1.05 * kept_s + 9.0);
    if !system.await_ready() {
        return Verdict::CouldNotRun("the instances are not ready".into());
    }
    sleep_ms(4_000);
    let faults: Vec<String> = (0..3)
        .filter_map(|_| {
            sleep_ms(1_000);
            let state = system.state(&job.id);
            (state == "410").then(|| format!("GET of accepted job {} -> 410", job.id))
        })
        .collect();
    system.wait_until(accepted_s + 1.9 * kept_s + FINISH_S);
    let mut faults = faults;
    faults.extend(lost(&mut system, &job));
    conclude(system, faults, &["shard owned", "shard given up", "job stored"])
}

/// A minion goes down and up again three times, under a task of a job that lasts.
pub fn flap(trouble: bool) -> Verdict {
    let places = fleet_of_seven();
    let mut system = System::start(&ZONES, &places, LONG_KEEP_S);
    if !system.await_ready() {
        return Verdict::CouldNotRun("the instances are not ready".into());
    }
    sleep_ms(3_000);
    let step = Step { cpu: 2_000, work_ms: None };
    let more = ",\"max_per_server\":1";
    let job = Job::new(system.new_id(), 7, step, 1_000, more, ",\"long_running\":true");
    if !system.submit(&job) {
        return Verdict::CouldNotRun("the job was not accepted".into());
    }
    sleep_ms(5_000);
    for _ in 0..3 {
        if trouble {
            system.note("minion 0 crashes");
            system.minions.crash(0);
            sleep_ms(1_500);
            system.minions.restart(0);
            system.note("minion 0 is back");
        }
        sleep_ms(10_000);
    }
    sleep_ms((1_000.0 * FINISH_S) as u64);
    let faults = lasting_faults(&mut system, &[job]);
    conclude(system, faults, &["stored job ended", "crashed", "minion restarted"])
}

/// A minion crashes and starts again, under tasks that last and tasks that do not.
pub fn alone(trouble: bool) -> Verdict {
    let places = fleet_of_seven();
    let mut system = System::start(&ZONES, &places, LONG_KEEP_S);
    if !system.await_ready() {
        return Verdict::CouldNotRun("the instances are not ready".into());
    }
    sleep_ms(3_000);
    let step = Step { cpu: 2_000, work_ms: None };
    let lasting = ",\"long_running\":true";
    let one_each = ",\"max_per_server\":1";
    let jobs = vec![
        Job::new(system.new_id(), 7, step.clone(), 1_000, one_each, lasting),
        Job::new(system.new_id(), 7, step, 1_000, one_each, lasting),
    ];
    let jobs = submit_all(&mut system, jobs);
    if jobs.len() < 2 {
        return Verdict::CouldNotRun("the jobs were not accepted".into());
    }
    sleep_ms(3_000);
    let step = Step { cpu: 500, work_ms: Some(3_000) };
    let new = |_| Job::new(system.new_id(), 2, step.clone(), 3_000, "", "");
    let others: Vec<Job> = (0..20).map(new).collect();
    let others = submit_all(&mut system, others);
    sleep_ms(1_000);
    let used = usage(&system);
    system.note(&format!("processors in use: {used:?} of {CPU} each"));
    let busiest = (0..used.len()).max_by_key(|&number| used[number]).unwrap_or(0);
    if trouble {
        system.note(&format!("minion {busiest} crashes"));
        system.minions.crash(busiest);
        sleep_ms(1_500);
        system.minions.restart(busiest);
        system.note(&format!("minion {busiest} is back"));
    }
    sleep_ms(10_000);
    sleep_ms((1_000.0 * FINISH_S) as u64);
    let mut faults: Vec<String> =
        others.iter().filter_map(|job| lost(&mut system, job)).collect();
    faults.extend(lasting_faults(&mut system, &jobs));
    conclude(system, faults, &["stored job ended", "crashed", "minion restarted"])
}

/// Returns the places of seven minions.
fn fleet_of_seven() -> [(&'static str, &'static str); 7] {
    let places = [("marka", "a"), ("marka", "b"), ("marka", "a"), ("sahab", "a")];
    let more = [("sahab", "b"), ("qastal", "a"), ("qastal", "b")];
    [places[0], places[1], places[2], places[3], more[0], more[1], more[2]]
}

/// Returns the tasks of lasting jobs that are not at work, and the jobs that are not shown
/// as active.
fn lasting_faults(system: &mut System, jobs: &[Job]) -> Vec<String> {
    let used = usage(system);
    system.note(&format!("processors in use: {used:?} of {CPU} each"));
    let half_free = 2 * used.iter().sum::<u64>() < CPU * used.len() as u64;
    let room = used.iter().filter(|&&cpu| cpu + 2 * 2_000 <= CPU).count();
    let mut faults = Vec::new();
    for job in jobs {
        let state = system.state(&job.id);
        if state != "active" {
            faults.push(format!("job {}, which lasts, is shown as `{state}`", job.id));
        }
        let fleet = Arc::clone(&system.minions.fleet);
        let mut fleet = fleet.lock().unwrap();
        let now_ms = fleet.now_ms();
        let runs = fleet.runs_of(&job.id);
        let mut last: BTreeMap<&str, &Run> = BTreeMap::new();
        for run in &runs {
            last.insert(&run.task, run);
        }
        for (task, run) in last {
            let Some(ended_ms) = run.ended_ms else { continue };
            // 6 s after its last run, and 3 s in which nothing runs.
            if now_ms - ended_ms > 6_000 + IDLE_MS && half_free && room > 0 {
                faults.push(format!(
                    "task {task} is not at work since {} ms (its last run ended: {}); \
                     {room} minions have capacity for it twice over",
                    now_ms - ended_ms,
                    run.how
                ));
            }
        }
    }
    faults
}

/// All minions of one rack are lost for good, which are the only ones of their kind. Jobs that
/// need another kind, or none, have to run all the same.
pub fn starved(trouble: bool) -> Verdict {
    let a = |zone| (zone, "a");
    let mut places = vec![("marka", "b"), ("marka", "b")];
    places.extend([a("marka"); 2]);
    places.extend([a("sahab"); 4]);
    places.extend([a("qastal"); 4]);
    let mut system = System::start(&ZONES, &places, LONG_KEEP_S);
    if !system.await_ready() {
        return Verdict::CouldNotRun("the instances are not ready".into());
    }
    sleep_ms(3_000);
    if trouble {
        system.note("minions 0 and 1, all of rack r1-0, are lost for good");
        system.minions.crash(0);
        system.minions.crash(1);
    }
    sleep_ms(1_000);
    let needy = short_jobs(&mut system, 180, ",\"required_label\":\"b\"");
    submit_all(&mut system, needy);
    sleep_ms(2_000);
    let others = short_jobs(&mut system, 24, "");
    let others = submit_all(&mut system, others);
    sleep_ms((1_000.0 * FINISH_S) as u64);
    let used = usage(&system);
    system.note(&format!("processors in use: {used:?} of {CPU} each"));
    let faults = others.iter().filter_map(|job| lost(&mut system, job)).collect();
    conclude(system, faults, &["shard owned"])
}

/// Tasks that last fail once each, at different times. All of them have to be at work again.
pub fn tired(trouble: bool) -> Verdict {
    let places = fleet_of_seven();
    let mut system = System::start(&ZONES, &places, LONG_KEEP_S);
    if !system.await_ready() {
        return Verdict::CouldNotRun("the instances are not ready".into());
    }
    sleep_ms(3_000);
    let step = Step { cpu: 1_500, work_ms: None };
    let lasting = ",\"long_running\":true";
    let new = |_| Job::new(system.new_id(), 12, step.clone(), 1_000, "", lasting);
    let jobs: Vec<Job> = (0..3).map(new).collect();
    let jobs = submit_all(&mut system, jobs);
    if jobs.len() < 3 {
        return Verdict::CouldNotRun("the jobs were not accepted".into());
    }
    sleep_ms(5_000);
    let used = usage(&system);
    system.note(&format!("processors in use: {used:?} of {CPU} each"));
    for index in 0..12 {
        for job in &jobs {
            if trouble {
                let task = format!("{}.0.0.{index}", job.id);
                let failed = system.minions.fleet.lock().unwrap().fail(&task);
                system.note(&format!("task {task} fails: {failed}"));
            }
            sleep_ms(1_200);
        }
    }
    sleep_ms((1_000.0 * FINISH_S) as u64);
    let faults = lasting_faults(&mut system, &jobs);
    conclude(system, faults, &["pausing new work", "queued again"])
}

/// An instance is killed. Later, after the records of the handovers have expired, a machine is
/// added while jobs are at work, and the first instance is killed again.
pub fn twice(trouble: bool) -> Verdict {
    let places = [
        ("marka", "a"),
        ("marka", "a"),
        ("sahab", "a"),
        ("sahab", "a"),
        ("qastal", "a"),
        ("qastal", "a"),
    ];
    let mut system = System::start(&["marka", "qastal"], &places, keep_s());
    if !system.await_ready() {
        return Verdict::CouldNotRun("the instances are not ready".into());
    }
    sleep_ms(3_000);
    let mut jobs = Vec::new();
    let round = |system: &mut System, jobs: &mut Vec<Job>| {
        let batch = short_jobs(system, 96, "");
        jobs.extend(submit_all(system, batch));
    };
    round(&mut system, &mut jobs);
    if trouble {
        system.kill(0);
        sleep_ms(2_500);
        round(&mut system, &mut jobs);
        system.spawn(0);
    }
    if !system.await_ready() {
        return Verdict::CouldNotRun("the instances are not ready".into());
    }
    sleep_ms(3_000);
    round(&mut system, &mut jobs);
    sleep_ms(1_000 * (system.keep_s + 1));
    let step = Step { cpu: 100, work_ms: Some(9_000) };
    let new = |_| Job::new(system.new_id(), 3, step.clone(), 9_000, "", "");
    let wide: Vec<Job> = (0..WIDE_JOBS).map(new).collect();
    let began_s = system.seconds();
    jobs.extend(submit_all(&mut system, wide));
    // The tasks end one after the other, as they began; the machine is added amid that.
    let took_s = system.seconds() - began_s;
    system.wait_until(began_s + 9.0 + took_s / 2.0 - 0.3);
    if trouble {
        system.add_instance(2, "sahab");
        system.spawn(2);
        system.note("a machine is added");
    }
    sleep_ms(20_000);
    let open: Vec<String> =
        jobs[jobs.len() - WIDE_JOBS..].iter().map(|it| it.id.clone()).collect();
    for id in open {
        let state = system.state(&id);
        system.note(&format!("wide job {id} is {state}"));
    }
    sleep_ms(32_000);
    if trouble {
        system.kill_and_restart(0, 1_000);
    }
    sleep_ms(6_000);
    let mut faults = doubled(&system);
    faults.extend(jobs.iter().filter_map(|job| lost(&mut system, job)));
    conclude(system, faults, &["shard owned", "shard given up", "considered lost"])
}

/// The only instances of two failure domains are killed and come back, one after the other, and
/// a machine is added beside each. No task may have two runs at the same time.
pub fn moved(trouble: bool) -> Verdict {
    let zones = ["marka", "marka", "marka", "marka", "marka", "sahab", "qastal"];
    let places: Vec<(&str, &str)> =
        ZONES.iter().flat_map(|zone| [(*zone, "a"); 16]).collect();
    let mut system = System::start(&zones, &places, LONG_KEEP_S);
    if !system.await_ready() {
        return Verdict::CouldNotRun("the instances are not ready".into());
    }
    sleep_ms(3_000);
    let step = Step { cpu: 400, work_ms: Some(22_000) };
    let new = |_| Job::new(system.new_id(), 4, step.clone(), 22_000, "", "");
    let jobs: Vec<Job> = (0..300).map(new).collect();
    let jobs = submit_all(&mut system, jobs);
    sleep_ms(3_000);
    if trouble {
        system.kill_and_restart(5, 3_000);
        system.kill_and_restart(6, 3_000);
        sleep_ms(4_000);
        system.add_instance(7, "sahab");
        system.add_instance(8, "qastal");
        system.spawn(7);
        system.spawn(8);
        system.note("two machines are added");
    }
    sleep_ms(34_000);
    sleep_ms((1_000.0 * FINISH_S) as u64);
    let mut faults = doubled(&system);
    faults.extend(jobs.iter().filter_map(|job| lost(&mut system, job)));
    let logs = ["has lost the minion", "considered lost", "is lost", "minion released"];
    conclude(system, faults, &logs)
}

/// The store turns one instance away, and a machine is added that does not know it. No task may
/// have two runs at the same time.
pub fn unseen(trouble: bool) -> Verdict {
    let places: Vec<(&str, &str)> =
        ZONES.iter().flat_map(|zone| [(*zone, "a"); 6]).collect();
    let mut system = System::start(&ZONES, &places, LONG_KEEP_S);
    if !system.await_ready() {
        return Verdict::CouldNotRun("the instances are not ready".into());
    }
    sleep_ms(3_000);
    let step = Step { cpu: 400, work_ms: Some(20_000) };
    let new = |_| Job::new(system.new_id(), 4, step.clone(), 20_000, "", "");
    let jobs: Vec<Job> = (0..120).map(new).collect();
    let jobs = submit_all(&mut system, jobs);
    sleep_ms(3_000);
    if trouble {
        system.refuse(0, true);
        sleep_ms(ADDED_AFTER_MS);
        system.add_instance(3, "sahab");
        system.spawn(3);
        system.note("a machine is added");
        sleep_ms(REFUSED_MS - ADDED_AFTER_MS);
        system.refuse(0, false);
    }
    sleep_ms(34_000);
    sleep_ms((1_000.0 * FINISH_S) as u64);
    let mut faults = doubled(&system);
    faults.extend(jobs.iter().filter_map(|job| lost(&mut system, job)));
    conclude(
        system,
        faults,
        &[
            "shard owned",
            "shard open",
            "given up",
            "minion held",
            "another instance holds",
        ],
    )
}

/// The only instances of two failure domains are killed and come back, one after the other. Jobs
/// that last are cancelled afterwards, and have to stop.
pub fn undead(trouble: bool) -> Verdict {
    let zones = ["marka", "marka", "marka", "marka", "marka", "sahab", "qastal"];
    let places: Vec<(&str, &str)> =
        ZONES.iter().flat_map(|zone| [(*zone, "a"); 16]).collect();
    let mut system = System::start(&zones, &places, LONG_KEEP_S);
    if !system.await_ready() {
        return Verdict::CouldNotRun("the instances are not ready".into());
    }
    sleep_ms(3_000);
    let step = Step { cpu: 500, work_ms: None };
    let lasting = ",\"long_running\":true";
    let new = |_| Job::new(system.new_id(), 4, step.clone(), 1_000, "", lasting);
    let jobs: Vec<Job> = (0..160).map(new).collect();
    let jobs = submit_all(&mut system, jobs);
    sleep_ms(4_000);
    if trouble {
        system.kill_and_restart(5, 3_000);
        system.kill_and_restart(6, 3_000);
    }
    sleep_ms(8_000);
    let cancelled: Vec<(String, u64)> = jobs
        .iter()
        .take(jobs.len() * CANCELLED_PERCENT / 100)
        .filter_map(|job| {
            let accepted = system.cancel(&job.id);
            let at_ms = system.minions.fleet.lock().unwrap().now_ms();
            accepted.then(|| (job.id.clone(), at_ms))
        })
        .collect();
    sleep_ms(15_000);
    let mut faults = Vec::new();
    for (id, at_ms) in &cancelled {
        let fleet = Arc::clone(&system.minions.fleet);
        let mut fleet = fleet.lock().unwrap();
        let now_ms = fleet.now_ms();
        let limit_ms = at_ms + CANCEL_MS + STOP_GRACE_MS;
        for run in fleet.runs_of(id) {
            let ended_ms = run.ended_ms.unwrap_or(now_ms);
            if ended_ms > limit_ms || run.began_ms > at_ms + CANCEL_MS {
                faults.push(format!(
                    "task {} runs on minion {} at {ended_ms} ms; its job was cancelled at \
                     {at_ms} ms",
                    run.task, run.minion
                ));
            }
        }
    }
    conclude(system, faults, &["has lost the minion", "is lost", "stored job cancelled"])
}
