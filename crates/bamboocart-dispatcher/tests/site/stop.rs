//! Graceful stops.

use std::thread;
use std::time::{Duration, Instant};

use bamboocart_site_standin::{StandIn, submit, wait_until};
use rustix::process::Signal;

use crate::process::Instance;

/// The time from a termination signal to a kill.
const GRACE: Duration = Duration::from_secs(6);

/// Guards against stops that cut off requests or take longer than the grace period.
#[test]
fn a_stop_answers_what_was_accepted() {
    let platform = StandIn::start(4).unwrap();
    platform.publish(1, "/q/");
    let mut instance = Instance::start_ready(&platform, "edge-1");
    let other = Instance::start_ready(&platform, "edge-2");
    let warm = || submit(other.front, "/q/0000000000000001", 1, 10).unwrap();
    assert!(wait_until(|| warm().state == "completed"));
    let front = instance.front;
    let began = platform.runs().len();
    let job = thread::spawn(move || submit(front, "/q/0000000000000002", 4, 1_000));
    assert!(wait_until(|| platform.runs().len() > began), "the job does not start");
    let signalled = Instant::now();
    instance.signal(Signal::TERM);
    assert!(wait_until(|| instance.readiness() == 503), "still ready after the signal");
    let late = submit(front, "/q/0000000000000003", 1, 10).unwrap();
    assert_eq!(late.state, "completed", "new requests are served for a while");
    assert_eq!(job.join().unwrap().unwrap().state, "completed");
    assert!(instance.wait().success());
    assert!(signalled.elapsed() < GRACE, "{:?}", signalled.elapsed());
    assert!(wait_until(|| warm().state == "completed"));
}
