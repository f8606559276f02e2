//! The command `check`.

use std::path::PathBuf;

use bpaf::Bpaf;
use serde_json::json;

use crate::error::Result;
use crate::files::read_set;
use crate::report::{EXIT_CODES, Report};
use crate::settings::{Common, SettingErrors};

/// Check configuration files as one set and list every error
#[derive(Debug, Clone, Bpaf)]
#[bpaf(command("check"), footer(EXIT_CODES))]
pub struct Check {
    /// Settings of every command
    #[bpaf(external(crate::settings::common))]
    pub common: Common,
    /// TOML files, or directories of them
    #[bpaf(positional("FILE"), some("give the files of the whole set"))]
    files: Vec<PathBuf>,
}

impl Check {
    /// Runs the command.
    pub fn run(&self) -> Result<Report> {
        let mut errors = SettingErrors::default();
        self.common.check(&mut errors);
        errors.finish()?;
        let set = read_set(&self.files)?;
        let text = format!(
            "no faults: {} services, {} request kinds, {} priorities, {} target groups, \
             {} stop plans, {} quotas",
            set.service.len(),
            set.request_kind.len(),
            set.priority.len(),
            set.target_group.len(),
            set.stop_plan.len(),
            set.quota.len()
        );
        Ok(Report::done(json!({ "findings": [], "bytes": set.to_json().len() }), text))
    }
}
