//! The evacuation of the only failure domain with minions, and one failure each.

use std::cell::Cell;
use std::thread;
use std::time::Duration;

use bamboocart_site_standin::{Answer, StandIn, submit, wait_until};
use rustix::process::Signal;
use yare::parameterized;

use crate::process::{Instance, fixed_ports};

/// The failure domain of all minions of the stand-in.
const DOMAIN: &str = "marka";

/// The time by which every instance that reaches the store has to know an evacuation.
const EVACUATE_BOUND: Duration = Duration::from_millis(5_000);

/// Sends jobs of one short task, each with its own id.
#[derive(Default)]
struct Jobs {
    last: Cell<u32>,
}

impl Jobs {
    fn send(&self, instance: &Instance) -> Answer {
        self.last.update(|last| last + 1);
        submit(instance.front, &format!("/q/{:016x}", self.last.get()), 1, 20).unwrap()
    }
}

/// Asserts that an instance refuses jobs within the bound, and that it starts none after
/// that.
fn assert_evacuated(platform: &StandIn, instance: &Instance, jobs: &Jobs) {
    thread::sleep(EVACUATE_BOUND);
    let before = platform.runs().len();
    for _ in 0..5 {
        assert_eq!(jobs.send(instance).status, 429);
    }
    assert_eq!(platform.runs().len(), before, "a run starts in the failure domain");
}

/// Guards against runs in a failure domain that operators have evacuated, whatever they have
/// written into the record and whether or not it can still be read from the log, and
/// against a domain that stays empty after it was taken back.
#[parameterized(
    plain = { b"{}", false },
    odd_value = { b"\xffnot json", false },
    expired_records = { b"{}", true },
)]
fn no_run_starts_until_the_domain_is_taken_back(value: &[u8], compacted: bool) {
    let platform = StandIn::start(4).unwrap();
    platform.publish(1, "/q/");
    let names = ["edge-1", "edge-2"];
    let instances = names.map(|name| Instance::start_ready(&platform, name));
    let jobs = Jobs::default();
    assert!(wait_until(|| jobs.send(&instances[0]).state == "completed"));
    platform.write_evacuation(DOMAIN, value);
    if compacted {
        platform.compact();
    }
    assert_evacuated(&platform, &instances[0], &jobs);
    platform.take_back(DOMAIN);
    if compacted {
        platform.compact();
    }
    assert!(wait_until(|| jobs.send(&instances[0]).state == "completed"));
    assert!(wait_until(|| jobs.send(&instances[1]).state == "completed"));
}

/// Guards against an instance that forgets an evacuation while the store is away.
#[test]
fn an_evacuation_stands_while_the_store_is_away() {
    let platform = StandIn::start(2).unwrap();
    platform.publish(1, "/q/");
    let instance = Instance::start_ready(&platform, "edge-1");
    let jobs = Jobs::default();
    assert!(wait_until(|| jobs.send(&instance).state == "completed"));
    platform.evacuate(DOMAIN);
    assert!(wait_until(|| jobs.send(&instance).status == 429));
    platform.set_store_available(false);
    assert_evacuated(&platform, &instance, &jobs);
    platform.take_back(DOMAIN);
    platform.set_store_available(true);
    assert!(wait_until(|| jobs.send(&instance).state == "completed"));
}

/// Guards against an instance that starts runs in the failure domain after a restart,
/// before it has read that the domain is evacuated: alone with the store, and next to a
/// peer while the store turns everybody away.
#[parameterized(from_the_store = { true }, from_a_peer = { false })]
fn an_instance_that_restarts_knows_the_evacuation(store_available: bool) {
    let platform = StandIn::start(4).unwrap();
    platform.publish(1, "/q/");
    let peer = Instance::start_ready(&platform, "edge-1");
    let settings = platform.settings("edge-2", fixed_ports());
    let mut restarted = Instance::start_with(&settings, std::io::sink());
    let jobs = Jobs::default();
    assert!(wait_until(|| jobs.send(&restarted).state == "completed"));
    platform.evacuate(DOMAIN);
    assert!(wait_until(|| jobs.send(&peer).status == 429));
    platform.set_store_available(store_available);
    restarted.signal(Signal::KILL);
    restarted.wait();
    let before = platform.runs().len();
    let restarted = Instance::start_with(&settings, std::io::sink());
    for _ in 0..20 {
        let answer = jobs.send(&restarted);
        assert!(answer.status == 429 || answer.status == 503, "{answer:?}");
        thread::sleep(Duration::from_millis(100));
    }
    assert_eq!(platform.runs().len(), before, "a run starts in the failure domain");
}
