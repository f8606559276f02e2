//! Reads configuration files.

use std::path::{Path, PathBuf};

use bamboocart_core::config::{ConfigSet, Finding, SourceFile, check};

use crate::error::{Error, Result};

/// Reads and checks files as one configuration; a directory stands for its TOML files.
pub fn read_set(paths: &[PathBuf]) -> Result<ConfigSet> {
    let mut texts = Vec::new();
    let mut unreadable = Vec::new();
    for path in paths.iter().flat_map(|path| expand(path)) {
        let name = path.display().to_string();
        match std::fs::read_to_string(&path) {
            Ok(text) => texts.push((name, text)),
            Err(error) => unreadable.push(Finding {
                file: name,
                line: 1,
                column: 1,
                message: format!("cannot be read: {error}"),
                remedy: "give a readable file in UTF-8".into(),
            }),
        }
    }
    let files = texts.iter().map(|(name, text)| SourceFile { name, text });
    match check(&files.collect::<Vec<_>>()) {
        Ok(set) if unreadable.is_empty() => Ok(set),
        Ok(_) => Err(Error::Findings { findings: unreadable }),
        Err(findings) => {
            unreadable.extend(findings);
            Err(Error::Findings { findings: unreadable })
        }
    }
}

/// Returns the TOML files of a directory sorted by name, or the path itself.
fn expand(path: &Path) -> Vec<PathBuf> {
    let Ok(entries) = std::fs::read_dir(path) else {
        return vec![path.to_owned()];
    };
    let paths = entries.filter_map(|entry| entry.ok().map(|entry| entry.path()));
    let is_toml = |path: &PathBuf| path.extension().is_some_and(|end| end == "toml");
    let mut paths: Vec<_> = paths.filter(is_toml).collect();
    paths.sort();
    paths
}
