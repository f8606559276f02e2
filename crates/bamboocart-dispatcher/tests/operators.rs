//! The operators' command line works with real instances.

mod support;

use bamboocart_cli::{Exit, Report, run};
use serde_json::json;
use support::{Cluster, ClusterSettings, RECOVERY_TIMEOUT, wait_for_keys, wait_until};

/// Runs a command and returns its report; panics if its arguments cannot be parsed.
fn bamboocart(args: &[&str]) -> Report {
    run(args).unwrap_or_else(|failure| panic!("{args:?}: {failure:?}"))
}

/// Guards against bodies that the instances write and the command line cannot read: every
/// command that calls an instance is run against real ones.
#[test]
fn command_line_reads_what_instances_write() {
    let mut cluster = Cluster::start(ClusterSettings::default());
    let platform = cluster.platform.address().to_string();
    // `submit` creates a caller key, which is answered as unknown until its range is
    // claimed.
    wait_for_keys(&cluster);
    let instance = cluster.instances[0].address.to_string();

    let status = bamboocart(&["status", "--platform", &platform]);
    assert_eq!(status.exit, Exit::Done, "{}", status.text);
    assert_eq!(status.json["instances"].as_array().map(Vec::len), Some(3));
    assert_eq!(status.json["instances"][0]["config_version"], 1);
    assert!(status.text.contains("i-1 in sahab: serving, version 1"), "{}", status.text);

    let status = bamboocart(&["status", "--instance", &instance]);
    assert!(status.text.contains("peer i-2 in qastal: live"), "{}", status.text);
    assert!(status.text.contains("group minions: 0 queued"), "{}", status.text);

    let own = bamboocart(&["show", "--from", "instance", "--instance", &instance]);
    let published = bamboocart(&["show", "--platform", &platform]);
    assert_eq!((own.exit, &own.json), (Exit::Done, &published.json));

    let base = ["--instance", &instance, "--customer", "float-storage"];
    let args = ["submit", "--kind", "bay-check", "--payload", r#"{"run_ms":5}"#];
    let answer = bamboocart(&[&args[..], &base[..]].concat());
    assert_eq!((answer.exit, &answer.json["code"]), (Exit::Done, &json!("complete")));
    assert_eq!(answer.json["trace_id"].as_str().map(str::len), Some(32));

    let id = answer.json["submission"].as_str().unwrap().to_owned();
    let cancel = bamboocart(&["cancel", &id, "--instance", &instance]);
    assert_eq!(cancel.json["answers"][0]["outcome"], "complete", "{}", cancel.text);

    let drain = bamboocart(&["drain", "--instance", &instance]);
    assert_eq!(drain.exit, Exit::Done, "{}", drain.text);
    cluster.instances[0].wait_for_end(RECOVERY_TIMEOUT);
    wait_until("the silent instance in the status", RECOVERY_TIMEOUT, || {
        let status = bamboocart(&["status", "--platform", &platform]);
        status.exit == Exit::NoAnswer && status.json["silent"] == json!(["i-0"])
    });
}

/// Guards against an instance without a configuration being reported as a fault.
#[test]
fn instance_without_configuration_shows_none() {
    let settings = ClusterSettings { config: None, ..ClusterSettings::default() };
    let cluster = Cluster::start(settings);
    let instance = cluster.instances[0].address.to_string();
    let shown = bamboocart(&["show", "--from", "instance", "--instance", &instance]);
    assert_eq!(shown.exit, Exit::Done, "{}", shown.text);
    assert_eq!(shown.json, json!({ "config_version": 0, "set": shown.json["set"] }));
    let status = bamboocart(&["status", "--instance", &instance]);
    assert!(status.text.contains(": starting, version 0"), "{}", status.text);
}

/// Guards against a metric that is documented but never set, so that an alert on it never
/// fires.
#[test]
fn metrics_page_shows_the_state() {
    let cluster = Cluster::start(ClusterSettings::default());
    let url = format!("http://{}/metrics", cluster.instances[0].address);
    let page = ureq::get(url).call().unwrap().body_mut().read_to_string().unwrap();
    for line in [
        "bamboocart_config_version 1",
        "bamboocart_peers{state=\"live\"} 2",
        "bamboocart_peers{state=\"dead\"} 0",
        "bamboocart_queued_tasks{group=\"minions\"} 0",
        "bamboocart_free_slots{group=\"minions\"} ",
        "bamboocart_targets{group=\"workers\",state=\"used\"} ",
        "bamboocart_open_submissions 0",
        "bamboocart_list_stale 0",
        "bamboocart_dropped_answers_total 0",
        "bamboocart_lines_dropped{output=\"logs\"} 0",
    ] {
        assert!(page.contains(&format!("\n{line}")), "{line} is not in {page}");
    }
}
