//! The command line publishes once, whatever becomes of the answers to its appends.

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

/// The time after which a late append takes effect: the command has waited 3 s for the
/// answer and 1 s for the record, and has appended the record again.
const LATE_MS: u64 = 6_000;

/// What becomes of the appends of one publication.
struct Case {
    /// The switches of the platform.
    switches: Value,
    /// The appends that the command makes and that have no answer.
    appends: Value,
    /// The copies that are on the log in the end.
    copies: usize,
}

/// Guards against a publication that is taken twice, or that its operator is told nothing
/// about, when the platform loses the answer to its append after the write has taken
/// effect, or after the command has looked for it.
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
    let again = run(&[&args[..], &["--publication", id]].concat()).unwrap();
    assert_eq!(
        (again.exit, &again.json["config_version"]),
        (Exit::Done, &json!(version))
    );
    assert_eq!(copies().len(), case.copies, "the repetition by hand was appended");
    let last = append_publication(&platform, version, 8);
    wait_for_version(&cluster, last);
    watch.end();

    let all = || {
        let changes = policy_changes(&cluster).into_values();
        changes.filter(|it| it.last() == Some(&last)).collect::<Vec<_>>()
    };
    wait_until("the accounts of the versions", IN_FORCE_TIMEOUT, || all().len() == 3);
    assert!(all().iter().all(|it| *it == [1, version, last]), "{:?}", all());
}
