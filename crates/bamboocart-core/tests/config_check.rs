//! Tests of the checks and the comparison of configuration files.

use bamboocart_core::config::{
    ChangeKind, ConfigSet, MAX_SET_BYTES, Resend, SourceFile, check, check_set, diff,
};
use yare::parameterized;

/// A configuration file without faults.
const VALID: &str = r#"[target_group.g]
role = "minion"
service = "g"
failure_domains = ["a", "b"]
[service.s]
target_group = "g"
slots = 8
connections = 64
[priority.p]
rank = 0
[request_kind.k]
service = "s"
priority = "p"
deadline_ms = 1000
shortest_run_ms = 50
longest_run_ms = 900
[stop_plan.one]
targets = ["t1", "t2"]
drain_ms = 1000
at_once = 1
[stop_plan.two]
targets = ["t3"]
drain_ms = 1000
at_once = 1
after = ["one"]
[quota.c]
weight = 1
starts_per_s = 10
burst = 10
in_flight = 10
"#;

/// A change of the valid file and the findings that it must cause, each as the start of
/// `line:column: message`.
struct Edit {
    from: &'static str,
    to: &'static str,
    expected: &'static [&'static str],
}

// Each case guards against a fault that could otherwise be published.
#[parameterized(
    dangling_group = { Edit { from: "target_group = \"g\"", to: "target_group = \"x\"",
        expected: &["6:17: service.s: there is no target_group.x"] } },
    dangling_plan = { Edit { from: "after = [\"one\"]", to: "after = [\"one\", \"no\"]",
        expected: &["25:18: stop_plan.two: there is no stop_plan.no"] } },
    listed_twice = { Edit { from: "\"t1\", \"t2\"", to: "\"t1\", \"t1\"",
        expected: &["18:19: stop_plan.one: t1 is listed twice"] } },
    declared_twice = { Edit { from: "[quota.c]", to: "[priority.p]\nrank = 1\n[quota.c]",
        expected: &["26:11: priority.p is already declared at f.toml:9:11"] } },
    own_cycle = { Edit { from: "[\"one\"]", to: "[\"two\"]",
        expected: &["25:9: stop_plan.two: stop plans wait for each other: two"] } },
    cycle = { Edit { from: "at_once = 1\n[stop_plan.two]",
        to: "at_once = 1\nafter = [\"two\"]\n[stop_plan.two]",
        expected: &["21:9: stop_plan.one: stop plans wait for each other: one, two"] } },
    no_slots = { Edit { from: "slots = 8", to: "slots = 0",
        expected: &["7:9: service.s: `slots` is 0"] } },
    few_connections = { Edit { from: "connections = 64", to: "connections = 7",
        expected: &["8:15: service.s: 7 connections cannot fill 8 slots"] } },
    too_many_at_once = { Edit { from: "at_once = 1\n[stop", to: "at_once = 3\n[stop",
        expected: &["20:11: stop_plan.one: 3 of 2 members cannot stop at once"] } },
    long_drain = { Edit { from: "drain_ms = 1000\nat_once = 1\n[s",
        to: "drain_ms = 99999999\nat_once = 1\n[s",
        expected: &["19:12: stop_plan.one: `drain_ms` is 99999999"] } },
    unreachable = { Edit { from: "[service.s]",
        to: "[target_group.h]\nrole = \"worker\"\nservice = \"h\"\n\
             failure_domains = [\"c\"]\n[service.s]",
        expected: &["16:12: request_kind.k: it has no target in failure domain c"] } },
    short_deadline = { Edit { from: "deadline_ms = 1000", to: "deadline_ms = 49",
        expected: &["14:15: request_kind.k: the deadline of 49 ms is below"] } },
    run_times = { Edit { from: "longest_run_ms = 900", to: "longest_run_ms = 9",
        expected: &["16:18: request_kind.k: the longest run time is below"] } },
    resend = { Edit { from: "priority = \"p\"", to: "priority = \"p\"\nresend = \"budgeted\"",
        expected: &["14:11: request_kind.k: a request kind that is not idempotent"] } },
    hedge = { Edit { from: "priority = \"p\"", to: "priority = \"p\"\nhedge = true",
        expected: &["14:9: request_kind.k: a request kind that is not idempotent"] } },
    same_rank = { Edit { from: "rank = 0", to: "rank = 0\n[priority.q]\nrank = 0",
        expected: &["12:8: priority.q: priority p has rank 0 too"] } },
    floors = { Edit { from: "rank = 0",
        to: "rank = 0\nfloor_percent = 60\n[priority.q]\nrank = 1\nfloor_percent = 60",
        expected: &["14:17: priority.q: the floors of all priorities add up to 120"] } },
    dotted_domain = { Edit { from: "[\"a\", \"b\"]", to: "[\"a\", \"b.c\"]",
        expected: &["4:26: target_group.g: `b.c` is not a usable name"] } },
    dispatcher = { Edit { from: "\"minion\"", to: "\"dispatcher\"",
        expected: &["2:9: target_group.g.role has a value of the wrong type or range"] } },
    unknown_field = { Edit { from: "rank = 0", to: "rank = 0\nrnak = 1",
        expected: &["11:1: priority.p has an unknown field `rnak`"] } },
    unknown_type = { Edit { from: "[quota.c]", to: "[qouta.c]",
        expected: &["26:2: `qouta` is not a type of object"] } },
    missing_field = { Edit { from: "slots = 8\n", to: "",
        expected: &["5:10: service.s has no field `slots`"] } },
    wrong_type = { Edit { from: "slots = 8", to: "slots = \"8\"",
        expected: &["7:10: service.s.slots has a value of the wrong type"] } },
    out_of_range = { Edit { from: "slots = 8", to: "slots = -8",
        expected: &["7:9: service.s.slots has a value of the wrong type"] } },
    syntax_and_more = { Edit { from: "rank = 0\n", to: "rank = = 0\n[quota.d]\nweight = 0\n",
        expected: &["10:8: not valid TOML", "11:8: quota.d has no field `burst`",
            "11:8: quota.d has no field `in_flight`",
            "11:8: quota.d has no field `starts_per_s`"] } },
    several = { Edit { from: "[quota.c]\nweight = 1", to: "[quota.c]\nweight = 0\nhuge = 1",
        expected: &["27:10: quota.c: `weight` is 0", "28:1: quota.c has an unknown"] } },
)]
fn each_fault_is_found_at_its_place(edit: Edit) {
    assert_eq!(VALID.matches(edit.from).count(), 1, "the edit must be unambiguous");
    let text = VALID.replace(edit.from, edit.to);
    let findings = check(&[SourceFile { name: "f.toml", text: &text }]).unwrap_err();
    let found: Vec<String> = findings.iter().map(ToString::to_string).collect();
    assert_eq!(found.len(), edit.expected.len(), "{found:#?}");
    for (found, expected) in found.iter().zip(edit.expected) {
        assert!(found.starts_with(&format!("f.toml:{expected}")), "{found}");
    }
    assert!(findings.iter().all(|finding| !finding.remedy.is_empty()));
}

// Guards against checking references and duplicates in each file separately.
#[test]
fn files_form_one_set() {
    let (head, tail) = VALID.split_at(VALID.find("[request_kind.k]").unwrap());
    let files = |tail| {
        [SourceFile { name: "a", text: head }, SourceFile { name: "b", text: tail }]
    };
    assert!(check(&files(tail)).is_ok());
    let twice = format!("{tail}[priority.p]\nrank = 1\n");
    let findings = check(&files(&twice)).unwrap_err();
    assert_eq!(findings.len(), 1);
    assert!(findings[0].message.contains("already declared at a:9:11"));
}

// Guards against publishing an empty set because of a mistyped glob, and against sets
// that exceed the size limit.
#[test]
fn empty_and_huge_sets_are_refused() {
    assert!(check(&[]).unwrap_err()[0].message.contains("no objects"));
    let quota = "weight = 1\nstarts_per_s = 1\nburst = 1\nin_flight = 1\n";
    let text: String =
        (0..MAX_SET_BYTES / 60).map(|n| format!("[quota.c{n}]\n{quota}")).collect();
    let findings = check(&[SourceFile { name: "f", text: &text }]).unwrap_err();
    assert!(findings[0].message.contains("bytes of at most 4194304"), "{}", findings[0]);
}

// Guards against an encoding that decodes to a different set.
#[parameterized(
    amman = { "amman", "release-order", &["bay-check", "tag-lookup"] },
    thailand = { "thailand", "exam-slot", &[] },
)]
fn samples_pass_and_survive_encoding(sample: &str, first: &str, idempotent: &[&str]) {
    let set = sample_set(sample);
    let kind = &set.request_kind[&first.into()];
    assert_eq!(set.priority[&kind.priority].rank, 0);
    for (name, kind) in &set.request_kind {
        let expected = idempotent.contains(&name.as_str());
        assert_eq!(kind.idempotent, expected, "{name}");
        assert_eq!(kind.hedge, expected, "{name}");
        assert_eq!(kind.resend == Resend::Budgeted, expected, "{name}");
    }
    let toml = set.to_toml().unwrap();
    assert_eq!(check(&[SourceFile { name: "t", text: &toml }]).unwrap(), set);
    assert_eq!(serde_json::from_str::<ConfigSet>(&set.to_json()).unwrap(), set);
    assert_eq!(check_set(&set), Ok(()));
}

// Guards against a change that an operator approves although the comparison hides it.
#[test]
fn differences_name_objects_and_fields() {
    let old = sample_set("amman");
    let mut new = old.clone();
    new.quota.remove(&"madaba-festival-office".into());
    new.quota.insert("new".into(), old.quota[&"amman-festival-office".into()].clone());
    new.service.get_mut(&"float-yard".into()).unwrap().slots = 9;
    let changes = diff(&old, &new);
    let shown: Vec<String> = changes.iter().map(ToString::to_string).collect();
    let expected = [
        "changed service.float-yard: slots from 8 to 9",
        "removed quota.madaba-festival-office",
        "added quota.new",
    ];
    assert_eq!(shown, expected);
    assert!(
        matches!(changes[0].kind, ChangeKind::Changed(ref fields) if fields.len() == 1)
    );
    assert!(diff(&old, &old).is_empty());
}

/// Reads a sample configuration from the `examples` folder.
fn sample_set(sample: &str) -> ConfigSet {
    let root = concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples");
    let entries = std::fs::read_dir(format!("{root}/{sample}")).unwrap();
    let paths = entries.map(|entry| entry.unwrap().path());
    let texts: Vec<_> = paths
        .map(|path| (path.display().to_string(), std::fs::read_to_string(&path).unwrap()))
        .collect();
    let file = |(name, text)| SourceFile { name, text };
    let files: Vec<_> =
        texts.iter().map(|(n, t)| file((n.as_str(), t.as_str()))).collect();
    check(&files).unwrap()
}
