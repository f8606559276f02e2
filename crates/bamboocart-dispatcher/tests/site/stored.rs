//! Stored jobs, which have to run once accepted, whatever happens to the instances.

use std::cell::Cell;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use bamboocart_site_standin::{
    JobSpec, RunRecord, StandIn, StepSpec, cancel, query, submit_job, wait_until,
};
use rustix::process::Signal;
use yare::parameterized;

use crate::process::Instance;

/// The run time of each task.
const RUN_MS: u64 = 100;

/// Returns a step with this number of tasks.
fn step(tasks: u16) -> StepSpec {
    StepSpec { tasks, ..StepSpec::default() }
}

/// Starts a platform with six minions, and instances with these names.
fn start(names: &[&str]) -> (StandIn, Vec<Instance>) {
    let platform = StandIn::start(6).unwrap();
    platform.publish(1, "/q/");
    let instances = names.iter().map(|name| Instance::start_ready(&platform, name));
    let instances = instances.collect();
    (platform, instances)
}

/// Submits a job repeatedly until it is accepted.
fn accept(instance: &Instance, path: &str, job: &JobSpec) {
    let accepted =
        || submit_job(instance.front, path, job).is_ok_and(|it| it.status == 200);
    assert!(wait_until(accepted), "{path} is not accepted");
}

/// Waits until an instance reports a job in a state.
fn await_state(instance: &Instance, path: &str, state: &str) {
    let shown = || query(instance.front, path).is_ok_and(|it| it.state == state);
    assert!(wait_until(shown), "{path} is not {state}");
}

/// Counts the completed runs of tasks whose ids have a prefix.
///
/// On a busy machine leases may expire, and tasks then run again; but no task may start
/// after it has completed.
fn count_done_runs(platform: &StandIn, prefix: &str) -> usize {
    let runs = platform.runs();
    runs.iter().filter(|run| run.done && run.task.starts_with(prefix)).count()
}

/// Counts all runs of tasks whose ids have a prefix.
fn count_runs(platform: &StandIn, prefix: &str) -> usize {
    platform.runs().iter().filter(|run| run.task.starts_with(prefix)).count()
}

/// Guards against an accepted job that only one instance knows or that runs again when it
/// is submitted again, and against placement constraints that omit or repeat tasks.
#[parameterized(
    plain = { step(4) },
    gang = { StepSpec { gang: true, ..step(4) } },
    one_per_minion = { StepSpec { per_minion: 1, ..step(4) } },
    on_a_rack = { StepSpec { data_rack: "r1-1", ..step(3) } },
)]
fn a_stored_job_ends(step: StepSpec) {
    let tasks = usize::from(step.tasks);
    let job = JobSpec::stored(RUN_MS, step);
    let (platform, instances) = start(&["edge-1", "edge-2", "edge-3"]);
    let path = "/q/00000000000000aa";
    accept(&instances[0], path, &job);
    for instance in &instances {
        await_state(instance, path, "completed");
    }
    accept(&instances[1], path, &job);
    await_state(&instances[1], path, "completed");
    // Members of a gang may be stopped before all have started; none completes twice.
    let done = count_done_runs(&platform, "00000000000000aa");
    assert_eq!(done, tasks, "{:?}", platform.runs());
    let unknown = query(instances[2].front, "/q/00000000000000bb").unwrap();
    assert_eq!(unknown.status, 410, "a job that was never submitted is known");
}

/// Guards against an accepted job that is lost when all instances are killed, and against
/// tasks that run again although the log has recorded their completion.
#[test]
fn a_stored_job_outlasts_all_instances() {
    let (platform, instances) = start(&["edge-1", "edge-2"]);
    let steps = vec![step(2), StepSpec { after: vec![0], ..step(2) }];
    let job = JobSpec { run_ms: 400, steps, ..JobSpec::default() };
    let path = "/q/00000000000000aa";
    accept(&instances[0], path, &job);
    let second_step = || count_runs(&platform, "00000000000000aa.0.1.") > 0;
    assert!(wait_until(second_step), "the second step does not start");
    for instance in &instances {
        instance.signal(Signal::KILL);
    }
    drop(instances);
    let later = Instance::start_ready(&platform, "edge-3");
    await_state(&later, path, "completed");
    let first_step = count_done_runs(&platform, "00000000000000aa.0.0.");
    assert_eq!(
        first_step,
        2,
        "a task of the first step ran again: {:?}",
        platform.runs()
    );
}

/// Guards against a job that is stored twice or refused because the response to an append
/// is lost.
#[test]
fn lost_answers_of_the_store_change_nothing() {
    let (platform, instances) = start(&["edge-1"]);
    platform.lose_append_answers(2);
    let path = "/q/00000000000000aa";
    accept(&instances[0], path, &JobSpec::stored(RUN_MS, step(2)));
    await_state(&instances[0], path, "completed");
    assert_eq!(count_done_runs(&platform, "00000000000000aa"), 2);
}

/// Guards against a cancelled job that keeps running, and against long-running tasks that
/// are not restarted when they end.
#[test]
fn a_lasting_job_runs_until_it_is_cancelled() {
    let (platform, instances) = start(&["edge-1", "edge-2"]);
    let path = "/q/00000000000000aa";
    let long_running = StepSpec { long_running: true, ..step(2) };
    accept(&instances[0], path, &JobSpec::stored(RUN_MS, long_running));
    let again = || count_runs(&platform, "00000000000000aa") >= 6;
    assert!(wait_until(again), "tasks are not started again: {:?}", platform.runs());
    let answer = cancel(instances[1].front, path).unwrap();
    assert_eq!(answer.status, 200);
    await_state(&instances[0], path, "cancelled");
    let active = || platform.runs().iter().any(|run| run.ended_ms.is_none());
    assert!(wait_until(|| !active()), "a run of the cancelled job is still active");
    let runs = count_runs(&platform, "00000000000000aa");
    std::thread::sleep(Duration::from_millis(500));
    assert_eq!(
        count_runs(&platform, "00000000000000aa"),
        runs,
        "a task started after the cancellation"
    );
}

/// Guards against occurrences that start early, are skipped or run twice.
#[test]
fn a_repeated_job_runs_at_its_times() {
    let (platform, instances) = start(&["edge-1"]);
    let path = "/q/00000000000000aa";
    let unix_ms = || {
        let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
        since.as_millis() as u64
    };
    let first_ms = unix_ms() + 1_500;
    let repeat = Some((3, first_ms, 400));
    let repeated = JobSpec { repeat, ..JobSpec::stored(RUN_MS, step(1)) };
    accept(&instances[0], path, &repeated);
    assert!(wait_until(|| count_runs(&platform, "00000000000000aa") > 0));
    assert!(unix_ms() >= first_ms, "the first occurrence starts early");
    await_state(&instances[0], path, "completed");
    let mut tasks: Vec<String> =
        platform.runs().into_iter().map(|run| run.task).collect();
    tasks.sort();
    assert_eq!(tasks, [0, 1, 2].map(|number| format!("00000000000000aa.{number}.0.0")));
}

/// Guards against tasks that start again after an end that was noted (TWICE): their ends pile
/// up on the minions while the store is away, and then all instances are killed.
#[test]
fn unrecorded_ends_outlast_all_instances() {
    const JOBS: usize = 12;
    const TASKS: usize = 240;
    const QUIET: Duration = Duration::from_secs(2);
    let platform = StandIn::start(2).unwrap();
    platform.publish(1, "/q/");
    let names = ["edge-1", "edge-2"];
    let instances = names.map(|name| Instance::start_ready(&platform, name));
    let job = JobSpec::stored(2, step(TASKS as u16));
    let paths = (0..JOBS).map(|number| format!("/q/{number:016x}"));
    let paths: Vec<String> = paths.collect();
    paths.iter().for_each(|path| accept(&instances[0], path, &job));
    platform.set_store_available(false);
    // More ends than the minions can list, or all that the instances let come.
    let last = Cell::new((0, Instant::now()));
    let piled_up = || {
        let runs = platform.runs().iter().filter(|run| run.done).count();
        if runs > last.get().0 {
            last.set((runs, Instant::now()));
        }
        runs >= JOBS * TASKS / 2 || last.get().1.elapsed() >= QUIET
    };
    assert!(wait_until(piled_up), "the tasks go on");
    instances.iter().for_each(|instance| instance.signal(Signal::KILL));
    drop(instances);
    platform.set_store_available(true);
    let later = Instance::start_ready(&platform, "edge-3");
    paths.iter().for_each(|path| await_state(&later, path, "completed"));
    let runs = platform.runs();
    let noted = runs.iter().filter(|run| run.done && run.noted);
    let again = noted.filter(|end| {
        let later = |run: &&RunRecord| run.task == end.task && run.run > end.run;
        runs.iter().any(|run| later(&run))
    });
    assert_eq!(again.count(), 0, "{} runs of {} tasks", runs.len(), JOBS * TASKS);
}
