//! The command `check-site`.

use std::fs;
use std::path::{Path, PathBuf};

use bamboocart_adapter::decode_config;
use bamboocart_jobs::Catalog;
use bamboocart_jobs::check::{Difference, Finding, Severity, check, differences};
use bpaf::Bpaf;
use serde_json::{Value, json};
use snafu::ResultExt;

use crate::error::{ReadConfigSnafu, Result, SiteConfigSnafu};
use crate::report::{EXIT_CODES, Exit, Report};
use crate::settings::{Common, SettingErrors};

/// Check a configuration for the users' platform before it is sent
#[derive(Debug, Clone, Bpaf)]
#[bpaf(command("check-site"), footer(EXIT_CODES))]
pub struct CheckSite {
    /// Settings of every command
    #[bpaf(external(crate::settings::common))]
    pub common: Common,
    /// The configuration in force, to list what differs from it
    #[bpaf(long, argument("FILE"))]
    in_force: Option<PathBuf>,
    /// The configuration as it is to be sent, in JSON
    #[bpaf(positional("FILE"))]
    file: PathBuf,
}

impl CheckSite {
    /// Runs the command.
    pub fn run(&self) -> Result<Report> {
        let mut errors = SettingErrors::default();
        self.common.check(&mut errors);
        errors.finish()?;
        let next = read_catalog(&self.file)?;
        let findings = check(&next);
        let in_force = self.in_force.as_deref().map(read_catalog).transpose()?;
        let changes = in_force.map(|in_force| differences(&in_force, &next));
        let is_error = |finding: &Finding| finding.severity == Severity::Error;
        let exit = match findings.iter().any(is_error) {
            true => Exit::InvalidConfig,
            false => Exit::Done,
        };
        let text = text(&next, &findings, changes.as_deref());
        Ok(Report::new(exit, to_json(&findings, changes.as_deref()), text))
    }
}

/// Reads and decodes a configuration.
fn read_catalog(path: &Path) -> Result<Catalog> {
    let bytes = fs::read(path).context(ReadConfigSnafu { path })?;
    decode_config(&bytes).context(SiteConfigSnafu { path })
}

/// Returns the report for people.
fn text(next: &Catalog, findings: &[Finding], changes: Option<&[Difference]>) -> String {
    let mut lines: Vec<String> = findings.iter().map(Finding::to_string).collect();
    if findings.is_empty() {
        let (queues, services) = (next.queues.len(), next.services.len());
        lines.push(format!("no faults: {queues} queues, {services} services"));
    }
    match changes {
        Some([]) => lines.push("equal to the configuration in force".into()),
        Some(changes) => lines.extend(changes.iter().map(Difference::to_string)),
        None => {}
    }
    lines.join("\n")
}

/// Returns the report for programs.
fn to_json(findings: &[Finding], changes: Option<&[Difference]>) -> Value {
    let finding = |finding: &Finding| {
        json!({
            "severity": format!("{:?}", finding.severity).to_lowercase(),
            "subject": finding.subject,
            "problem": finding.problem,
            "remedy": finding.remedy,
        })
    };
    let change = |change: &Difference| json!({ "subject": change.subject, "change": change.change });
    json!({
        "findings": findings.iter().map(finding).collect::<Vec<_>>(),
        "differences":
            changes.map(|changes| changes.iter().map(change).collect::<Vec<_>>()),
    })
}
