//! Positions in the text of configuration files.

use std::sync::Arc;

use toml_span::Span;

use crate::config::SourceFile;

/// A position in a file.
#[derive(Debug, Clone, Eq, PartialEq)]
pub(in crate::config) struct SourcePosition {
    /// The name of the file.
    pub(in crate::config) file: Arc<str>,
    /// The line, counted from 1.
    pub(in crate::config) line: usize,
    /// The column in characters, counted from 1.
    pub(in crate::config) column: usize,
}

/// A text to parse, which is a whole file or one table of it.
pub(super) struct Source<'a> {
    /// The lines of the whole file.
    pub(super) lines: &'a Lines<'a>,
    /// The byte offset of the text in the file.
    pub(super) start: usize,
    pub(super) text: &'a str,
}

impl Source<'_> {
    /// Returns the position of the start of a span.
    pub(super) fn position(&self, span: Span) -> SourcePosition {
        self.lines.position(self.start + span.start)
    }
}

/// A file with an index of its lines, so that positions are found without scanning it.
pub(super) struct Lines<'a> {
    file: Arc<str>,
    text: &'a str,
    /// The byte offset of each line.
    starts: Vec<usize>,
}

impl<'a> Lines<'a> {
    /// Indexes the lines of a file.
    pub(super) fn new(file: &SourceFile<'a>) -> Self {
        let ends = file.text.match_indices('\n').map(|(at, _)| at + 1);
        let starts = [0].into_iter().chain(ends).collect();
        Self { file: file.name.into(), text: file.text, starts }
    }

    /// Returns the position of a byte offset.
    pub(super) fn position(&self, byte: usize) -> SourcePosition {
        let end = self.text.floor_char_boundary(byte);
        let line = self.starts.partition_point(|&start| start <= end);
        let before = &self.text[self.starts[line - 1]..end];
        SourcePosition {
            file: self.file.clone(),
            line,
            column: before.chars().count() + 1,
        }
    }
}

/// Splits a text before each table header, and returns the parts with their byte offsets.
pub(super) fn split_tables(text: &str) -> Vec<(usize, &str)> {
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
