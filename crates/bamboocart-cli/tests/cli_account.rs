//! Tests of the `account` commands against a fake platform.

mod fake;

use bamboocart_core::account::{
    AccountWriter, AnswerKind, Fact, FinishResult, SchedulingParams, StartReason,
    Subject, TaskRange,
};
use bamboocart_core::id::{Attempt, ConfigVersion, Incarnation, SubmissionId, TaskIndex};
use bamboocart_core::time::Timestamp;
use serde_json::json;
use uuid::Uuid;
use yare::parameterized;

use self::fake::{Platform, platform, run, run_text};

/// The number of submissions in the account, one in each record. The fake platform
/// returns pages of two records.
const SUBMISSIONS: u64 = 5;

/// Returns the id of a submission.
fn id(number: u64) -> SubmissionId {
    SubmissionId::CallerKey(Uuid::from_u64_pair(0x0194_F3A0_0000_7000, number | 1 << 63))
}

/// Returns the facts of one request from admission to answer.
fn request_facts(number: u64) -> [Fact; 4] {
    let subject = || Subject {
        submission: id(number),
        customer: if number.is_multiple_of(2) { "even".into() } else { "odd".into() },
        kind: "bay-check".into(),
        config: ConfigVersion(1),
    };
    let (task, attempt) = (TaskIndex(0), Attempt(1));
    let params = SchedulingParams {
        queue: "yard".into(),
        rank: 0,
        weight: 1,
        cost_us: 1_000,
        arrival: number,
    };
    [
        Fact::Admitted {
            subject: subject(),
            tasks: TaskRange { first: task, count: 1 },
            params,
        },
        Fact::Started {
            subject: subject(),
            task,
            attempt,
            target: "m-1".into(),
            reason: StartReason::Order,
        },
        Fact::Finished {
            subject: subject(),
            task,
            attempt,
            result: FinishResult::Complete,
        },
        Fact::Answered { subject: subject(), answer: AnswerKind::Complete },
    ]
}

/// Returns the records of a closed account.
fn account() -> Vec<String> {
    let mut writer = AccountWriter::new("entry-1".into(), Incarnation(0));
    let mut records = Vec::new();
    for number in 0..SUBMISSIONS {
        let now = Timestamp::from_ms(number);
        request_facts(number).into_iter().for_each(|fact| writer.record(now, fact));
        if number == SUBMISSIONS - 1 {
            writer.close(now);
        }
        while let Some(batch) = writer.next_batch(now) {
            records.push(batch.text.to_string());
            writer.confirm_append(batch.number);
        }
    }
    records
}

/// Changes a character in the middle of a record.
fn alter(text: &mut String) {
    let middle = text.len() / 2;
    let other = if &text[middle..=middle] == "A" { "B" } else { "A" };
    text.replace_range(middle..=middle, other);
}

/// A change to the records, the expected exit code, and whether errors are expected.
struct Case {
    change: fn(&mut Vec<String>),
    exit: i32,
    faults: bool,
}

// Each case guards against a modified account passing verification, or against an intact
// one failing because it is read in pages.
#[parameterized(
    unaltered = { Case { change: |_| {}, exit: 0, faults: false } },
    repeated = { Case { change: |log| log.push(log[4].clone()), exit: 0, faults: false } },
    empty = { Case { change: |log| log.clear(), exit: 10, faults: false } },
    removed = { Case { change: |log| drop(log.remove(2)), exit: 10, faults: true } },
    reordered = { Case { change: |log| log.swap(1, 2), exit: 10, faults: true } },
    altered = { Case { change: |log| alter(&mut log[3]), exit: 10, faults: true } },
    earlier_form = { Case {
        change: |log| log[3] = r#"{"account":1}"#.into(), exit: 10, faults: true } },
    garbage = { Case { change: |log| log.push("x".into()), exit: 10, faults: true } },
)]
fn altered_account_is_not_verified(case: Case) {
    let mut log = account();
    (case.change)(&mut log);
    let (address, _) = platform(Platform { log, ..Platform::default() });
    let (exit, result) = run(&["account", "verify", "--platform", &address], &[]);
    assert_eq!(exit, case.exit, "{result:#}");
    assert_eq!(result["is_verified"], case.exit == 0);
    assert_eq!(result["findings"] != json!([]), case.faults, "{result:#}");
}

// Guards against a report without the figures that customers need.
#[test]
fn text_names_instances_customers_and_faults() {
    let mut log = account();
    let (address, _) = platform(Platform { log: log.clone(), ..Platform::default() });
    let (_, text) = run_text(&["account", "verify", "--platform", &address], &[]);
    assert!(text.starts_with("verified, no faults; read 5 records"), "{text}");
    assert!(text.contains("entry-1/0: 20 entries in 5 batches, closed, head "), "{text}");
    assert!(text.contains("starts: order 5"), "{text}");
    assert!(text.contains("odd: 2 tasks admitted, 2 starts, 2 submissions complete"));
    log.remove(2);
    let (address, _) = platform(Platform { log, ..Platform::default() });
    let (_, text) = run_text(&["account", "verify", "--platform", &address], &[]);
    assert!(text.starts_with("not verified, "), "{text}");
    assert!(text.contains("fault at offset 2, entry-1/0"), "{text}");
}

// Guards against entries that are lost between pages or that ignore a filter.
#[test]
fn entries_are_shown_newest_last_and_filtered() {
    let log = account();
    let (address, _) = platform(Platform { log, ..Platform::default() });
    let show = |args: &[&str]| {
        let base = ["account", "show", "--platform", &address];
        run(&[&base[..], args].concat(), &[]).1
    };
    let count = |args: &[&str]| show(args)["entries"].as_array().unwrap().len();
    assert_eq!(count(&[]), 20);
    assert_eq!(count(&["--customer", "odd"]), 8);
    assert_eq!(count(&["--submission", &id(3).to_string()]), 4);
    let last = show(&["--last", "1"]);
    assert_eq!(
        (&last["matching"], &last["entries"][0]["sequence"]),
        (&json!(20), &json!(20))
    );
    let (_, text) = run_text(&["account", "show", "--platform", &address], &[]);
    assert!(text.contains("at m-1, reason order"), "{text}");
}
