//! Checks configuration files.

use std::collections::BTreeSet;
use std::fmt::{self, Display, Formatter};

use serde::Serialize;

use super::encode::MAX_SET_BYTES;
use super::reader::{SetReader, SourcePosition};
use super::{ConfigSet, Fault, rules};

/// The result of checking files.
type Result<T, E = Vec<Finding>> = std::result::Result<T, E>;

/// A configuration file.
#[derive(Debug, Copy, Clone)]
pub struct SourceFile<'a> {
    /// The name of the file, for reporting positions.
    pub name: &'a str,
    /// The content of the file.
    pub text: &'a str,
}

/// A fault in a configuration file, with its position and its remedy.
#[derive(Debug, Clone, Eq, PartialEq, Ord, PartialOrd, Serialize)]
pub struct Finding {
    /// The name of the file, as in [`SourceFile::name`].
    pub file: String,
    /// The line, counted from 1.
    pub line: usize,
    /// The column in characters, counted from 1.
    pub column: usize,
    /// What is wrong.
    pub message: String,
    /// What to do about it.
    pub remedy: String,
}

impl Finding {
    pub(super) fn new(
        position: &SourcePosition,
        message: impl Into<String>,
        remedy: impl Into<String>,
    ) -> Self {
        Self {
            file: position.file.to_string(),
            line: position.line,
            column: position.column,
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

/// Reads files into one set and checks it.
///
/// Returns all faults, sorted by position, if there are any.
pub fn check(files: &[SourceFile<'_>]) -> Result<ConfigSet> {
    let mut reader = SetReader::default();
    for file in files {
        reader.read(file);
    }
    let faults = rules::faults(&reader.set, &reader.unreadable);
    let located = faults.into_iter().map(|fault| reader.locate(fault));
    let mut findings: Vec<Finding> = located.collect();
    findings.append(&mut reader.findings);
    findings.extend(size_finding(files, &reader.set));
    findings.sort();
    findings.dedup();
    match findings.is_empty() {
        true => Ok(reader.set),
        false => Err(findings),
    }
}

/// Checks a set that was not read from files, for example one from a log record.
///
/// Returns all faults if there are any.
pub fn check_set(set: &ConfigSet) -> Result<(), Vec<Fault>> {
    let faults = rules::faults(set, &BTreeSet::new());
    match faults.is_empty() {
        true => Ok(()),
        false => Err(faults),
    }
}

/// Returns a finding if the set is empty or exceeds [`MAX_SET_BYTES`].
fn size_finding(files: &[SourceFile<'_>], set: &ConfigSet) -> Option<Finding> {
    let file = files.last().map_or("no file", |file| file.name);
    let position = SourcePosition { file: file.into(), line: 1, column: 1 };
    let bytes = set.to_json().len();
    match bytes {
        _ if files.iter().all(|file| file.text.trim().is_empty()) => Some(Finding::new(
            &position,
            "the set contains no objects",
            "pass the files of the whole set",
        )),
        _ if bytes > MAX_SET_BYTES => Some(Finding::new(
            &position,
            format!("the set has {bytes} bytes of at most {MAX_SET_BYTES}"),
            "remove objects that are no longer used",
        )),
        _ => None,
    }
}
