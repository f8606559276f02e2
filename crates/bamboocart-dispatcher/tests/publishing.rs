//! The command line publishes once, even if answers to its appends are lost.

mod support;

use std::path::Path;

use bamboocart_cli::{Exit, run};
use bamboocart_core::config::CONFIG_STREAM;
use bamboocart_platform::{Platform, Record};
use serde_json::{Value, json};
use support::{
    Cluster, ClusterSettings, IN_FORCE_TIMEOUT, VersionWatch, append_publication,
    config_text, policy_changes, wait_for_version, wait_until, weights,
};
use yare::parameterized;

/// The delay after which a late append takes effect: by then the command has waited 3 s
/// for the answer and 1 s for the record, and has appended the record again.
const LATE_MS: u64 = 6_000;

/// What happens to the appends of one publication.
struct Case {
    /// The fault switches of the platform.
    switches: Value,
    /// The reported numbers of appends that were tried and of those without an answer.
    appends: Value,
    /// The number of copies of the record that are on the log in the end.
    copies: usize,
}

/// Guards against a publication that takes effect twice, or whose result is not reported
/// to the operator, when the platform loses the answer to its append and the write takes
/// effect before or after the command looks for the record.
#[parameterized(
    answer_lost = { Case {
        switches: json!({ "drop_answers": 1 }),
        appends: json!({ "tried": 1, "unanswered": 1 }),
        copies: 1,
    } },
    answer_lost_and_effect_late = { Case {
        switches: json!({ "late_appends": 1, "late_ms": LATE_MS }),
        appends: json!({ "tried": 2, "unanswered": 1 }),
        copies: 2,
    } },
    both_answers_lost_and_first_effect_late = { Case {
        switches: json!({ "late_appends": 1, "late_ms": LATE_MS, "drop_answers": 1 }),
        appends: json!({ "tried": 2, "unanswered": 2 }),
        copies: 2,
    } },
)]
fn publication_without_an_answer_counts_once(case: Case) {
    let cluster = Cluster::start(ClusterSettings::default());
    let address = cluster.platform.address().to_string();
    let platform = Platform::new(&address);
    let watch = VersionWatch::start(&cluster);
    let name = format!("publishing-{}.toml", cluster.platform.address().port());
    let file = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&file, config_text(7)).unwrap();

    cluster.set_platform_faults(&json!({ "only_stream": CONFIG_STREAM }));
    cluster.set_platform_faults(&case.switches);
    let args = ["publish", "--wait", "--platform", &address, file.to_str().unwrap()];
    let report = run(&args).unwrap();
    println!("{}", report.text);
    assert_eq!(report.exit, Exit::Done, "{}", report.text);
    assert_eq!(report.json["appends"], case.appends);
    assert!(
        report.text.contains("further copies of it have no effect"),
        "{}",
        report.text
    );
    let version = report.json["config_version"].as_u64().unwrap();

    let id = report.json["publication"].as_str().unwrap();
    let copies = || -> Vec<Record> {
        let records = platform.read(CONFIG_STREAM, 0, 0).unwrap().records;
        records.into_iter().filter(|record| record.body.contains(id)).collect()
    };
    wait_until("all copies on the log", IN_FORCE_TIMEOUT, || {
        copies().len() == case.copies
    });
    assert_eq!(copies()[0].offset + 1, version);
    wait_for_version(&cluster, version);
    assert!(weights(&cluster).iter().all(|&it| it == Some(7)));
    let repeated = run(&[&args[..], &["--publication", id]].concat()).unwrap();
    assert_eq!(
        (repeated.exit, &repeated.json["config_version"]),
        (Exit::Done, &json!(version))
    );
    assert_eq!(copies().len(), case.copies, "the manual repetition was appended");
    let last = append_publication(&platform, version, 8);
    wait_for_version(&cluster, last);
    watch.end();

    let complete_accounts = || {
        let changes = policy_changes(&cluster).into_values();
        changes.filter(|it| it.last() == Some(&last)).collect::<Vec<_>>()
    };
    wait_until("the policy changes in the accounts", IN_FORCE_TIMEOUT, || {
        complete_accounts().len() == 3
    });
    assert!(
        complete_accounts().iter().all(|it| *it == [1, version, last]),
        "{:?}",
        complete_accounts()
    );
}
