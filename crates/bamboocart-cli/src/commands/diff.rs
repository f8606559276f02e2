//! The command `diff`.

use std::path::PathBuf;

use bamboocart_core::config::{Change, ConfigSet, diff as compare};
use bpaf::Bpaf;
use serde_json::json;

use super::show::set_on_log;
use crate::error::Result;
use crate::files::read_set;
use crate::report::{EXIT_CODES, Report};
use crate::settings::{Common, SettingErrors};

/// List the objects in which files differ from the set in force on the log
#[derive(Debug, Clone, Bpaf)]
#[bpaf(command("diff"), footer(EXIT_CODES))]
pub struct Diff {
    /// Settings of every command
    #[bpaf(external(crate::settings::common))]
    pub common: Common,
    /// Compare with this file or directory instead of the log; can be repeated
    #[bpaf(long, argument("FILE"), many)]
    old: Vec<PathBuf>,
    /// TOML files, or directories of them
    #[bpaf(positional("FILE"), some("give the files of the whole set"))]
    files: Vec<PathBuf>,
}

impl Diff {
    /// Runs the command.
    pub fn run(&self) -> Result<Report> {
        let mut errors = SettingErrors::default();
        let settings = self.common.check(&mut errors);
        if self.old.is_empty() {
            errors.require("--platform", settings.platform);
        }
        errors.finish()?;
        let new = read_set(&self.files)?;
        let old = match settings.platform {
            Some(platform) if self.old.is_empty() => {
                set_on_log(platform)?.map(|known| (*known.set).clone())
            }
            _ => Some(read_set(&self.old)?),
        };
        let changes = compare(&old.unwrap_or_else(ConfigSet::default), &new);
        Ok(Report::done(json!({ "changes": changes }), describe(&changes)))
    }
}

/// Describes the changes, one in each line.
pub fn describe(changes: &[Change]) -> String {
    match changes {
        [] => "no changes".into(),
        _ => changes.iter().map(ToString::to_string).collect::<Vec<_>>().join("\n"),
    }
}
