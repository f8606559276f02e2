//! The cases.

use std::time::{Duration, Instant};

use crate::json::{Json, object};
use crate::minions;
use crate::record::Record;
use crate::site::{Job, Site, stop};
use crate::wire;

const ZONES: [&str; 3] = ["marka", "sahab", "qastal"];

/// Two minions in each zone; only `qastal` has minions of the kind `b`.
const MINIONS: [(&str, &str); 6] = [
    ("marka", "a"),
    ("marka", "a"),
    ("sahab", "a"),
    ("sahab", "a"),
    ("qastal", "b"),
    ("qastal", "b"),
];

/// Runs a case; returns whether the rule was broken.
pub fn run(name: &str, record: &Record, trouble: bool) -> bool {
    match name {
        "power" => power_off(record, trouble),
        "suspects" => suspects(record, trouble),
        "starve" => starve(record, trouble),
        "kills" => two_kills(record, trouble),
        "twice" => turned_away(record, trouble),
        _ => stop("there is no such case"),
    }
}

/// Ids of jobs, spread like those that clients draw.
fn id(number: u64) -> String {
    let mut word = number.wrapping_add(1).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    word = (word ^ word >> 30).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    word = (word ^ word >> 27).wrapping_mul(0x94d0_49bb_1331_11eb);
    format!("{:016x}", word ^ word >> 31)
}

/// A job of one step.
fn job_body(spec: &str, count: u64, cpu: u64, fields: &[(&str, Json)]) -> String {
    let step = object([
        ("count", count.into()),
        ("cpu", cpu.into()),
        ("mem_mb", 64.into()),
        ("est_runtime_ms", 100.into()),
    ]);
    let Json::Object(mut step) = step else { return String::new() };
    for (name, value) in fields {
        step.insert((*name).into(), value.clone());
    }
    let spec = format!("cpu={cpu} {spec}");
    object([
        (wire("spec"), spec.as_str().into()),
        ("steps", vec![Json::Object(step)].into()),
    ])
    .to_string()
}

fn lasting_body() -> String {
    job_body("last", 1, 100, &[("long_running", true.into())])
}

/// Hands a job in every 100 ms until a second of the record; returns the accepted ones.
fn submit_until(
    site: &Site,
    second: f64,
    body: impl Fn(u64) -> String,
    first: u64,
) -> Vec<Job> {
    let mut jobs = Vec::new();
    let mut number = first;
    while site.record.start().elapsed().as_secs_f64() < second {
        let began = Instant::now();
        let job = site.submit(
            number as usize % site.instances.len(),
            &id(number),
            &body(number),
        );
        jobs.extend(job.accepted.is_some().then_some(job));
        number += 1;
        std::thread::sleep(Duration::from_millis(100).saturating_sub(began.elapsed()));
    }
    jobs
}

/// Asks for all jobs, and returns those that are answered with 410.
fn missing<'a>(site: &Site, jobs: &'a [Job]) -> Vec<&'a Job> {
    let asked = jobs.iter().enumerate();
    let missing: Vec<&Job> = asked
        .filter(|(number, job)| site.query(*number, job).0 == 410)
        .map(|it| it.1)
        .collect();
    site.record.say(&format!(
        "{} jobs accepted, {} answered with 410",
        jobs.len(),
        missing.len()
    ));
    missing
}

/// All machines lose power for 9.5 s, shortly before they write their jobs again, which they do
/// every 5 s as far as the store can see.
fn power_off(record: &Record, trouble: bool) -> bool {
    let mut site = Site::start(record, &ZONES, &MINIONS);
    let mut jobs = submit_until(&site, 22.0, |_| lasting_body(), 0);
    let waiting_since = Instant::now();
    let round = loop {
        match site.rewrite_began_at() {
            Some(at) if at > waiting_since => break at,
            // Without such rounds, any instant is as good.
            _ if waiting_since.elapsed() > Duration::from_secs(12) => {
                break Instant::now();
            }
            _ => {}
        }
        let second = record.start().elapsed().as_secs_f64() + 0.05;
        jobs.extend(submit_until(&site, second, |_| lasting_body(), jobs.len() as u64));
    };
    record.at(round, "the instances begin to write their jobs again");
    let off = (round - record.start()).as_secs_f64() + 4.4;
    jobs.extend(submit_until(&site, off - 0.2, |_| lasting_body(), jobs.len() as u64));
    site.wait_until(off);
    if trouble {
        (0..3).for_each(|number| site.kill(number));
        site.wait_until(off + 9.5);
        (0..3).for_each(|number| site.start_instance(number));
        (0..3).for_each(|number| site.await_ready(number));
    }
    site.wait_until(off + 23.0);
    site.check_processes();
    !missing(&site, &jobs).is_empty()
}

/// One machine is killed twice, 13 s apart, and is down for 3.5 s each time.
fn two_kills(record: &Record, trouble: bool) -> bool {
    let mut site = Site::start(record, &ZONES, &MINIONS);
    let jobs = submit_until(&site, 15.0, |_| lasting_body(), 0);
    for at in [15.0, 28.0] {
        site.wait_until(at);
        if trouble {
            site.kill(0);
            site.wait_until(at + 3.5);
            site.start_instance(0);
            site.await_ready(0);
        }
    }
    site.wait_until(40.0);
    site.check_processes();
    !missing(&site, &jobs).is_empty()
}

/// Whether a run of a job is at work.
fn is_active(site: &Site, job: &Job) -> bool {
    let runs = site.runs.lock().expect("the runs");
    runs.iter().any(|run| run.ended.is_none() && run.task.starts_with(&job.id))
}

/// Whether any run of a job has begun.
fn has_begun(site: &Site, job: &Job) -> bool {
    let runs = site.runs.lock().expect("the runs");
    runs.iter().any(|run| run.task.starts_with(&job.id))
}

/// Watches the deployment for 3.5 s. Returns the jobs for which `at_work` never held, and
/// the most processors that were in use.
fn idle_jobs<'a>(
    site: &Site,
    jobs: &'a [Job],
    at_work: impl Fn(&Site, &Job) -> bool,
) -> (Vec<&'a Job>, u64) {
    let mut idle: Vec<&Job> = jobs.iter().collect();
    let mut most_used = 0;
    for _ in 0..35 {
        idle.retain(|job| !at_work(site, job));
        let used: u64 = site.minions.iter().map(|minion| minion.used_cpu()).sum();
        most_used = used.max(most_used);
        std::thread::sleep(Duration::from_millis(100));
    }
    for (number, job) in idle.iter().enumerate() {
        let (status, body) = site.query(number, job);
        site.record.say(&format!("nothing of {} runs: {status} {}", job.id, body.trim()));
    }
    let all = site.minions.len() as u64 * minions::CPU;
    site.record.say(&format!(
        "{} jobs accepted, {} without a run for 3.5 s; at most {most_used} of {all} \
         processors (in thousandths) in use",
        jobs.len(),
        idle.len()
    ));
    (idle, most_used)
}

/// One minion of nine crashes once, for 3 s, while tasks that last run on all of them.
fn suspects(record: &Record, trouble: bool) -> bool {
    let minions = [("marka", "a"), ("sahab", "a"), ("qastal", "b")];
    let minions: Vec<(&str, &str)> = minions.iter().cycle().take(9).copied().collect();
    let mut site = Site::start(record, &ZONES, &minions);
    site.wait_until(2.0);
    let lasting = |_| job_body("last", 1, 1_000, &[("long_running", true.into())]);
    let jobs = submit_until(&site, 6.0, lasting, 0);
    site.wait_until(10.0);
    if trouble {
        let minion = site.minions.iter().find(|minion| minion.used_cpu() >= 3_000);
        let Some(minion) = minion else { stop("no minion has three tasks") };
        minion.crash();
        site.wait_until(13.0);
        minion.restart();
        site.announce(minion);
    }
    site.wait_until(40.0);
    site.check_processes();
    let (idle, most_used) = idle_jobs(&site, &jobs, is_active);
    !idle.is_empty() && most_used * 2 < site.minions.len() as u64 * minions::CPU
}

/// Many jobs come at once that need the minions of one kind; then jobs that any minion can
/// run.
fn starve(record: &Record, trouble: bool) -> bool {
    let minions = [("marka", "a"), ("sahab", "a"), ("qastal", "a"), ("qastal", "b")];
    let minions: Vec<(&str, &str)> = minions.iter().cycle().take(12).copied().collect();
    let mut site = Site::start(record, &ZONES, &minions);
    site.wait_until(2.0);
    if trouble {
        let body = job_body(
            "ms=7000",
            20,
            2_000,
            &[("required_label", "b".into()), ("est_runtime_ms", 7_000.into())],
        );
        // 150 jobs in 4 s.
        let began = Instant::now();
        let mut burst = Vec::new();
        for number in 5_000..5_150_u64 {
            let due = Duration::from_millis((number - 5_000) * 4_000 / 150);
            std::thread::sleep(due.saturating_sub(began.elapsed()));
            burst.push(site.submit(number as usize % 3, &id(number), &body));
        }
        site.record.say(&format!("{} large jobs came", burst.len()));
    }
    site.wait_until(14.0);
    let jobs = submit_until(&site, 18.0, |_| job_body("ms=100", 1, 1_000, &[]), 0);
    site.wait_until(32.5);
    site.check_processes();
    let (idle, most_used) = idle_jobs(&site, &jobs, has_begun);
    !idle.is_empty() && most_used * 2 < site.minions.len() as u64 * minions::CPU
}

/// The store turns one machine away for 9 s while short tasks run.
fn turned_away(record: &Record, trouble: bool) -> bool {
    let site =
        Site::start(record, &ZONES, &[("marka", "a"), ("sahab", "a"), ("qastal", "a")]);
    let body = job_body("ms=60", 240, 500, &[]);
    site.wait_until(2.0);
    let jobs: Vec<Job> = (0..30)
        .map(|number| site.submit(number as usize % 3, &id(number), &body))
        .collect();
    site.wait_until(4.0);
    if trouble {
        site.turn_away(0, true);
    }
    site.wait_until(13.0);
    if trouble {
        site.turn_away(0, false);
    }
    site.wait_until(40.0);
    for (number, job) in jobs.iter().enumerate() {
        site.query(number, job);
    }
    second_runs(&site)
}

/// Returns whether a task has two runs at the same time, or a start after a run of it has
/// ended `done` whose end was noted while the lease of its minion went on.
fn second_runs(site: &Site) -> bool {
    let runs = site.runs.lock().expect("the runs").clone();
    let (mut at_once, mut after_done) = (0, 0);
    for (number, run) in runs.iter().enumerate() {
        for earlier in runs[..number].iter().filter(|earlier| earlier.task == run.task) {
            let over = earlier.ended.is_some_and(|ended| ended <= run.began);
            let counts = earlier.how == "done"
                && earlier.noted.is_some()
                && !earlier.lapsed_between;
            let line = format!(
                "{}: run {} on {} ({}), then run {} on {}",
                run.task, earlier.run, earlier.minion, earlier.how, run.run, run.minion
            );
            if !over {
                at_once += 1;
                site.record.now(&format!("two at once: {line}"));
            } else if counts {
                after_done += 1;
                site.record.now(&format!("again after done: {line}"));
            }
        }
    }
    site.record.say(&format!(
        "{} runs, {at_once} beside another of their task, {after_done} after one that was done",
        runs.len()
    ));
    at_once + after_done > 0
}
