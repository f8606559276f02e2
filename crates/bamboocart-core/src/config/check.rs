//! Checking of configuration files.

use std::collections::BTreeSet;
use std::fmt::{self, Display, Formatter};

use serde::Serialize;

use super::encode::MAX_SET_BYTES;
use super::reader::{Draft, Place};
use super::{ConfigSet, Fault, rules};

/// The result of checking files.
type Result<T, E = Vec<Finding>> = std::result::Result<T, E>;

/// A configuration file.
#[derive(Debug, Copy, Clone)]
pub struct SourceFile<'a> {
    /// The name to report positions under.
    pub name: &'a str,
    /// The content.
    pub text: &'a str,
}

/// A fault in a file, with its position and remedy.
#[derive(Debug, Clone, Eq, PartialEq, Ord, PartialOrd, Serialize)]
pub struct Finding {
    /// The name of the file.
    pub file: String,
    /// The line, from 1.
    pub line: usize,
    /// The column in characters, from 1.
    pub column: usize,
    /// What is wrong.
    pub message: String,
    /// What to do about it.
    pub remedy: String,
}

impl Finding {
    /// Creates a finding at a place.
    pub(super) fn new(
        place: &Place,
        message: impl Into<String>,
        remedy: impl Into<String>,
    ) -> Self {
        Self {
            file: place.file.to_string(),
            line: place.line,
            column: place.column,
            message: message.into(),
            remedy: remedy.into(),
        }
    }
}

impl Display for Finding {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let Self { file, line, column, message, remedy } = self;
        write!(f, "{file}:{line}:{column}: {message}; {remedy}")
    }
}

/// Reads files into one set, or returns every fault sorted by position.
pub fn check(files: &[SourceFile<'_>]) -> Result<ConfigSet> {
    let mut draft = Draft::default();
    for file in files {
        draft.read(file);
    }
    let faults = rules::faults(&draft.set, &draft.broken);
    let located = faults.into_iter().map(|fault| draft.locate(fault));
    let mut findings: Vec<Finding> = located.collect();
    findings.append(&mut draft.findings);
    findings.extend(size_finding(files, &draft.set));
    findings.sort();
    findings.dedup();
    match findings.is_empty() {
        true => Ok(draft.set),
        false => Err(findings),
    }
}

/// Checks a set that did not come from files, such as one in a log record.
pub fn check_set(set: &ConfigSet) -> Result<(), Vec<Fault>> {
    let faults = rules::faults(set, &BTreeSet::new());
    match faults.is_empty() {
        true => Ok(()),
        false => Err(faults),
    }
}

/// Returns a finding when the set is empty or larger than the bound.
fn size_finding(files: &[SourceFile<'_>], set: &ConfigSet) -> Option<Finding> {
    let file = files.last().map_or("no file", |file| file.name);
    let place = Place { file: file.into(), line: 1, column: 1 };
    let bytes = set.to_json().len();
    match bytes {
        _ if files.iter().all(|file| file.text.trim().is_empty()) => Some(Finding::new(
            &place,
            "the set holds no objects",
            "give the files of the whole set",
        )),
        _ if bytes > MAX_SET_BYTES => Some(Finding::new(
            &place,
            format!("the set takes {bytes} bytes of at most {MAX_SET_BYTES}"),
            "remove objects that are no longer used",
        )),
        _ => None,
    }
}
