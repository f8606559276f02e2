//! Invalid settings, the time before the first configuration, and invalid requests.

use std::thread;

use bamboocart_site_standin::{StandIn, submit, wait_until};
use yare::parameterized;

use crate::process::{Instance, command};

/// Guards against an error that names only the first fault of the settings.
#[test]
fn all_faults_of_the_settings_are_reported() {
    let output =
        command("node_name=edge-1\nzone\nplatform.address=nowhere\n").0.output().unwrap();
    assert!(!output.status.success());
    let text = String::from_utf8(output.stderr).unwrap();
    for fault in ["`zone` has no `=`", "`ip`", "listen_addrs.front", "nowhere"] {
        assert!(text.contains(fault), "{fault} is not reported: {text}");
    }
}

/// Guards against an instance that, before it has read a configuration, is ready or
/// rejects requests with an error that the client does not retry.
#[test]
fn an_instance_waits_for_the_configuration() {
    let platform = StandIn::start(2).unwrap();
    platform.set_store_available(false);
    let instance = Instance::start(&platform, "edge-1");
    assert_eq!(instance.readiness(), 503);
    let path = "/q/0000000000000001";
    assert_eq!(submit(instance.front, path, 1, 10).unwrap().status, 503);
    platform.publish(1, "/q/");
    platform.set_store_available(true);
    assert!(wait_until(|| instance.readiness() == 200));
    assert!(wait_until(|| submit(instance.front, path, 1, 10).unwrap().status == 200));
}

/// Guards against an instance that refuses the requests that arrive just before it has
/// read its first configuration, as happens when all instances restart.
#[test]
fn requests_wait_for_the_first_configuration() {
    let platform = StandIn::start(2).unwrap();
    platform.publish(1, "/q/");
    platform.set_store_available(false);
    let instance = Instance::start(&platform, "edge-1");
    let front = instance.front;
    let request =
        thread::spawn(move || submit(front, "/q/0000000000000001", 1, 10).unwrap());
    // The instance reads the configuration with its second call to the store.
    platform.set_store_available(true);
    assert_ne!(request.join().unwrap().status, 503, "the first request was refused");
}

/// Guards against invalid requests that get the wrong status.
#[parameterized(
    no_queue = { "/other/0000000000000001", 1, 404 },
    no_id = { "/q/xyz", 1, 400 },
    no_tasks = { "/q/0000000000000002", 0, 400 },
)]
fn bad_requests_are_refused(path: &str, tasks: u16, status: u16) {
    let platform = StandIn::start(1).unwrap();
    platform.publish(1, "/q/");
    let instance = Instance::start_ready(&platform, "edge-1");
    assert_eq!(submit(instance.front, path, tasks, 10).unwrap().status, status);
}

/// Guards against an overload policy that is misspelt and silently replaced by the default.
#[test]
fn an_unknown_overload_policy_ends_the_start() {
    let platform = StandIn::start(0).unwrap();
    let (mut command, _) = command(&platform.settings("edge-1", [0; 4]));
    let output = command.env("BAMBOOCART_OVERLOAD", "by-luck").output().unwrap();
    assert!(!output.status.success());
    let message = String::from_utf8(output.stderr).unwrap();
    assert!(message.contains("BAMBOOCART_OVERLOAD"), "{message}");
    assert!(message.contains("use `by-start-time` or `by-cost`"), "{message}");
}
