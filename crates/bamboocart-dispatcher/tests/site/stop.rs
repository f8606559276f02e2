//! Graceful stops and reloads of the settings.

use std::fs;
use std::thread;
use std::time::{Duration, Instant};

use bamboocart_site_standin::{StandIn, submit, wait_until};
use rustix::process::Signal;

use crate::log::Log;
use crate::process::Instance;

/// The grace period between a termination signal and the kill.
const GRACE: Duration = Duration::from_secs(6);

/// Starts a platform with four minions and a configuration.
fn start_platform() -> StandIn {
    let platform = StandIn::start(4).unwrap();
    platform.publish(1, "/q/");
    platform
}

/// Starts the instance to stop and another one, and waits until the other completes jobs.
fn start_pair(platform: &StandIn) -> (Instance, Instance) {
    let instance = Instance::start_ready(platform, "edge-1");
    let other = Instance::start_ready(platform, "edge-2");
    assert!(wait_until(|| completes_job(&other)));
    (instance, other)
}

/// Sends a short job to an instance, and returns whether it completes.
fn completes_job(instance: &Instance) -> bool {
    submit(instance.front, "/q/0000000000000001", 1, 10).unwrap().state == "completed"
}

/// Guards against stops that leave accepted requests without an answer or exceed the
/// grace period.
#[test]
fn a_stop_answers_what_was_accepted() {
    let platform = start_platform();
    let (mut instance, other) = start_pair(&platform);
    let front = instance.front;
    let began = platform.runs().len();
    let job = thread::spawn(move || submit(front, "/q/0000000000000002", 4, 1_000));
    assert!(wait_until(|| platform.runs().len() > began), "the job does not start");
    let signalled = Instant::now();
    instance.signal(Signal::TERM);
    assert!(wait_until(|| instance.readiness() == 503), "still ready after the signal");
    let late = submit(front, "/q/0000000000000003", 1, 10).unwrap();
    assert_eq!(
        late.state, "completed",
        "new requests should be served early in the grace period"
    );
    assert_eq!(job.join().unwrap().unwrap().state, "completed");
    assert!(instance.wait().success());
    assert!(signalled.elapsed() < GRACE, "{:?}", signalled.elapsed());
    assert!(wait_until(|| completes_job(&other)));
}

/// Guards against a connection that is closed without an answer (LOST) because the job of its
/// request lasts longer than the grace period, as it may when all minions are busy.
#[test]
fn a_stop_answers_requests_that_outlast_it() {
    let platform = start_platform();
    let (mut instance, _other) = start_pair(&platform);
    let front = instance.front;
    let signalled = Instant::now();
    instance.signal(Signal::TERM);
    // The job is accepted, since work is admitted until half of the grace period is over.
    thread::sleep(Duration::from_secs(2));
    let answer = submit(front, "/q/0000000000000002", 1, 4_500);
    assert_eq!(answer.expect("the request should be answered").status, 504);
    assert!(instance.wait().success());
    assert!(signalled.elapsed() < GRACE, "{:?}", signalled.elapsed());
    let stopped = || platform.runs().iter().all(|run| run.ended_ms.is_some());
    assert!(wait_until(stopped), "the run goes on");
    assert!(platform.runs().iter().all(|run| !run.done || run.task.contains("01.")));
}

/// Guards against a reload that reports no change without reading the file, and against
/// one that accepts invalid settings.
#[test]
fn a_reload_reads_the_settings() {
    let platform = StandIn::start(1).unwrap();
    platform.publish(1, "/q/");
    let log = Log::default();
    let text = platform.settings("edge-1", [0; 4]);
    let mut instance = Instance::start_with(&text, log.clone());
    instance.signal(Signal::HUP);
    assert!(wait_until(|| log.has(&["reload", r#""changed":false"#])));
    let changed =
        text.replace("zone=marka", "zone=sahab").replace("grace_s=6", "grace_s=2");
    fs::write(&instance.settings, changed).unwrap();
    instance.signal(Signal::HUP);
    let parts = ["reload", r#""changed":true"#, r#""next_start":"zone""#, "2000"];
    assert!(wait_until(|| log.has(&parts)));
    fs::write(&instance.settings, "zone").unwrap();
    instance.signal(Signal::HUP);
    assert!(wait_until(|| log.has(&["reload failed", "`zone` has no `=`"])));
    let signalled = Instant::now();
    instance.signal(Signal::TERM);
    assert!(instance.wait().success());
    assert!(
        signalled.elapsed() < Duration::from_secs(2),
        "the new grace period should apply"
    );
}
