//! Every setting is on the operators' page, and invalid settings are reported.

use std::fs;
use std::process::{Command, Output};

use yare::parameterized;

/// Runs the dispatcher to its end and returns its output.
fn dispatcher(args: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_bamboocart-dispatcher"));
    command.args(args).output().unwrap()
}

/// Guards against a setting that the operators' page does not explain.
#[test]
fn every_setting_is_on_the_operators_page() {
    let page = concat!(env!("CARGO_MANIFEST_DIR"), "/../../docs/operators.md");
    let page = fs::read_to_string(page).unwrap();
    let help = String::from_utf8(dispatcher(&["--help"]).stdout).unwrap();
    let lines = help.lines().map(str::trim_start);
    let flags = lines.filter_map(|line| line.strip_prefix("--"));
    let names = flags.map(|flag| flag.split(['=', ' ']).next().unwrap());
    let names: Vec<&str> = names.collect();
    assert!(names.len() > 15, "{help}");
    for name in names {
        assert!(page.contains(&format!("`--{name}`")), "--{name} is not on the page");
    }
}

/// Valid flags; each case replaces one of them by an invalid one.
const VALID_FLAGS: [&str; 10] = [
    "--name=entry-1",
    "--failure-domain=marka",
    "--listen=127.0.0.1:0",
    "--peer-listen=127.0.0.1:0",
    "--platform=127.0.0.1:9",
    "--log-level=info",
    "--log-format=text",
    "--placement=random",
    "--queue-tasks=1",
    "--max-sends=1",
];

/// Guards against invalid settings that are accepted or whose message names no remedy.
#[parameterized(
    name = { "--name=a b", "letters, digits" },
    platform = { "--platform=127.0.0.1:0", "--platform needs a port" },
    level = { "--log-level=loud", "use error, warn, info, debug or trace" },
    format = { "--log-format=xml", "use `text` or `json`" },
    placement = { "--placement=best", "use earliest-finish, random" },
    queue = { "--queue-tasks=0", "--queue-tasks must be at least 1" },
)]
fn wrong_setting_ends_with_its_remedy(wrong: &str, remedy: &str) {
    let (flag, _) = wrong.split_once('=').unwrap();
    let is_other = |valid: &&str| valid.split_once('=').unwrap().0 != flag;
    let args: Vec<&str> =
        VALID_FLAGS.into_iter().filter(is_other).chain([wrong]).collect();
    let output = dispatcher(&args);
    let text = String::from_utf8(output.stderr).unwrap();
    assert_eq!(output.status.code(), Some(2), "{text}");
    assert!(text.replace('\n', " ").contains(remedy), "{text}");
}
