//! Positions in the text of configuration files.

use std::sync::Arc;

use toml_span::Span;

use crate::config::SourceFile;

/// A position in a file.
#[derive(Debug, Clone, Eq, PartialEq)]
pub(in crate::config) struct Place {
    /// The name of the file.
    pub(in crate::config) file: Arc<str>,
    /// The line, from 1.
    pub(in crate::config) line: usize,
    /// The column in characters, from 1.
    pub(in crate::config) column: usize,
}

/// A text to parse, which is a whole file or a part of one.
pub(super) struct Source<'a> {
    /// The file.
    pub(super) lines: &'a Lines<'a>,
    /// The position of the part in the file, in bytes.
    pub(super) start: usize,
    /// The part.
    pub(super) text: &'a str,
}

impl Source<'_> {
    /// Returns the line and column of a span of the part.
    pub(super) fn place(&self, span: Span) -> Place {
        self.lines.place(self.start + span.start)
    }
}

/// A file with an index of its lines, so that a position is found without a scan.
pub(super) struct Lines<'a> {
    /// The name of the file.
    file: Arc<str>,
    /// The content of the file.
    text: &'a str,
    /// The position of each line in bytes.
    starts: Vec<usize>,
}

impl<'a> Lines<'a> {
    /// Indexes the lines of a file.
    pub(super) fn new(file: &SourceFile<'a>) -> Self {
        let ends = file.text.match_indices('\n').map(|(at, _)| at + 1);
        let starts = [0].into_iter().chain(ends).collect();
        Self { file: file.name.into(), text: file.text, starts }
    }

    /// Returns the line and column of a byte.
    pub(super) fn place(&self, byte: usize) -> Place {
        let end = self.text.floor_char_boundary(byte);
        let line = self.starts.partition_point(|&start| start <= end);
        let before = &self.text[self.starts[line - 1]..end];
        Place { file: self.file.clone(), line, column: before.chars().count() + 1 }
    }
}

/// Splits a text before each line that opens a table.
pub(super) fn tables(text: &str) -> Vec<(usize, &str)> {
    let mut starts = vec![0];
    let mut at = 0;
    for line in text.split_inclusive('\n') {
        if line.starts_with('[') && at > 0 {
            starts.push(at);
        }
        at += line.len();
    }
    let ends = starts.iter().skip(1).copied().chain([text.len()]);
    starts.iter().zip(ends).map(|(&start, end)| (start, &text[start..end])).collect()
}
