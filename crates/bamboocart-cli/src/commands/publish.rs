//! The command `publish`.

use std::path::PathBuf;
use std::time::{Duration, Instant};

use bamboocart_core::config::{
    CONFIG_STREAM, ConfigRecord, ConfigSet, Publication, PublicationId, diff,
};
use bamboocart_core::id::ConfigVersion;
use bamboocart_platform::Platform;
use bpaf::Bpaf;
use serde_json::json;
use uuid::Uuid;

use super::diff::describe;
use super::status::{Spread, wait_for_version};
use crate::config_log::{ConfigLog, Fate};
use crate::error::{AppendUnknownSnafu, Result, UndecidableSnafu};
use crate::files::read_set;
use crate::report::{EXIT_CODES, Exit, Report};
use crate::settings::{Common, Faults};

/// The time for which a publication is looked for and repeated after a lost answer.
const RETRY_MS: u64 = 15_000;

/// The time that the log waits for a record before the append is repeated.
const LOOK_MS: u64 = 1_000;

/// The pause between calls to a log that is down.
const PAUSE: Duration = Duration::from_millis(200);

/// Publish files as the new set
///
/// The publication is recognised by its id, so that a repetition after a lost answer
/// has no second effect.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(command("publish"), footer(EXIT_CODES))]
pub struct Publish {
    /// Settings of every command
    #[bpaf(external(crate::settings::common))]
    pub common: Common,
    /// Version that the set replaces (default the one in force)
    #[bpaf(long, env("BAMBOOCART_BASE"), argument("VERSION"))]
    base: Option<String>,
    /// Id of an earlier run of this publication whose result is not known
    #[bpaf(long, env("BAMBOOCART_PUBLICATION"), argument("UUID"))]
    publication: Option<String>,
    /// Wait until every instance has the version in force, at most 9 s
    /// [env:BAMBOOCART_WAIT, 1 or 0]
    #[bpaf(long, switch)]
    wait: bool,
    /// TOML files, or directories of them
    #[bpaf(positional("FILE"), some("give the files of the whole set"))]
    files: Vec<PathBuf>,
}

impl Publish {
    /// Runs the command.
    pub fn run(&self) -> Result<Report> {
        let mut faults = Faults::default();
        let settings = self.common.check(&mut faults);
        let base = faults.parse("--base", "a version from `show`", self.base.as_deref());
        let form = "the id that an earlier run printed";
        let id = faults.parse("--publication", form, self.publication.as_deref());
        let wait = faults.switch("--wait", self.wait);
        let Some(address) = faults.need("--platform", settings.platform) else {
            return Err(faults.into_error());
        };
        faults.finish()?;
        let set = read_set(&self.files)?;
        let id = PublicationId(id.unwrap_or_else(Uuid::now_v7));
        let platform = Platform::new(&address.to_string());
        let mut log = ConfigLog::new(platform.clone(), Some(id));
        let waiter = wait.then_some(&platform);
        let mut appends = Appends::default();
        log.read_on(0)?;
        if log.fate().is_none() {
            let Some(base) = choose_base(&log, base.map(ConfigVersion), &set)? else {
                return Ok(report(&log, id, &Fate::Earlier, &set, waiter));
            };
            let record = Publication { publication: id, base, set: set.clone() };
            appends = append(&platform, &mut log, &ConfigRecord::Publish(record), id)?;
        }
        let fate = log.fate().cloned().unwrap_or(Fate::Earlier);
        Ok(appends.added_to(report(&log, id, &fate, &set, waiter)))
    }
}

/// How often the record was sent to the log.
#[derive(Debug, Copy, Clone, Default)]
struct Appends {
    /// The appends that were tried.
    tried: u32,
    /// The appends without an answer, each of which may have taken effect.
    unanswered: u32,
}

impl Appends {
    /// Adds the counts to a report, and says what a missing answer means.
    fn added_to(self, mut report: Report) -> Report {
        let Self { tried, unanswered } = self;
        if unanswered > 0 {
            report.json["appends"] = json!({ "tried": tried, "unanswered": unanswered });
            report.text += &format!(
                "\n{unanswered} of {tried} appends had no answer; the publication was \
                 found on the log, and further copies of it have no effect"
            );
        }
        report
    }
}

/// Tells what became of the publication, and waits for the instances if there is a waiter.
fn report(
    log: &ConfigLog,
    id: PublicationId,
    fate: &Fate,
    set: &ConfigSet,
    waiter: Option<&Platform>,
) -> Report {
    let in_force = log.fold().version();
    let is_in_force = log.fold().in_force().is_some_and(|known| *known.set == *set);
    let version = match fate {
        Fate::Accepted(version) => *version,
        // The record that decided has expired, or there was nothing to append.
        Fate::Earlier if is_in_force => in_force,
        Fate::Earlier => return lost(log, id, in_force, set),
        Fate::Lost(version) => return lost(log, id, *version, set),
        Fate::Skipped(reason) => {
            let json = json!({ "publication": id, "error": reason });
            return Report::new(Exit::InvalidConfig, json, reason.clone());
        }
    };
    let text = match fate {
        Fate::Accepted(_) => format!("version {version} was accepted on the log"),
        _ => format!("version {version} on the log has this set already"),
    };
    let Some(platform) = waiter else {
        let json = json!({ "publication": id, "config_version": version });
        return Report::done(json, text);
    };
    let spread = wait_for_version(platform, version);
    spread_report(id, version, &spread, text)
}

/// Returns the version to replace, or `None` if the set is in force already.
fn choose_base(
    log: &ConfigLog,
    base: Option<ConfigVersion>,
    set: &ConfigSet,
) -> Result<Option<ConfigVersion>> {
    if !log.fold().can_apply() {
        return UndecidableSnafu.fail();
    }
    let is_in_force = log.fold().in_force().is_some_and(|known| *known.set == *set);
    match base {
        None if is_in_force => Ok(None),
        None => Ok(Some(log.fold().version())),
        Some(base) => Ok(Some(base)),
    }
}

/// Appends the record until it has been read back.
///
/// After a failure, the log is read first, because the answer may have been lost after
/// the append. A late append of an earlier try has no effect, since the id is the same.
fn append(
    platform: &Platform,
    log: &mut ConfigLog,
    record: &ConfigRecord,
    id: PublicationId,
) -> Result<Appends> {
    let body = record.to_body();
    let end = Instant::now() + Duration::from_millis(RETRY_MS);
    let mut is_appended = false;
    let mut appends = Appends::default();
    loop {
        let mut reason = "it was not found in time".to_owned();
        if !is_appended {
            let appended = platform.append(CONFIG_STREAM, &body);
            is_appended = appended.is_ok();
            appends.tried += 1;
            appends.unanswered += u32::from(!is_appended);
            if let Err(error) = appended {
                log::warn!("{error}; looking for the publication on the log");
                reason = error.to_string();
            }
        }
        if let Err(error) = read_back(log, end) {
            reason = error.to_string();
        }
        match log.fate() {
            Some(_) => return Ok(appends),
            None if !log.fold().can_apply() => return UndecidableSnafu.fail(),
            None if Instant::now() >= end => {
                let publication = id.to_string();
                return AppendUnknownSnafu { publication, reason }.fail();
            }
            None => {}
        }
    }
}

/// Reads the log until the publication is found or the log has nothing new.
fn read_back(log: &mut ConfigLog, end: Instant) -> bamboocart_platform::Result<()> {
    loop {
        let next = log.fold().next_offset();
        let result = log.read_on(LOOK_MS);
        match result {
            Ok(()) if log.fate().is_none() && log.fold().next_offset() != next => {}
            Err(_) if Instant::now() < end => std::thread::sleep(PAUSE),
            _ => return result,
        }
    }
}

/// Tells the operator that another publication was first, and what it would have changed.
fn lost(
    log: &ConfigLog,
    id: PublicationId,
    in_force: ConfigVersion,
    set: &ConfigSet,
) -> Report {
    let known = log.fold().in_force().map(|known| known.set.clone()).unwrap_or_default();
    let changes = diff(&known, set);
    let text = format!(
        "publication {id} was not accepted, because version {in_force} was in force \
         first; merge these differences and publish again:\n{}",
        describe(&changes)
    );
    let json = json!({ "publication": id, "in_force": log.fold().version(), "changes": changes });
    Report::new(Exit::Conflict, json, text)
}

/// Tells which instances have a version in force.
fn spread_report(
    id: PublicationId,
    version: ConfigVersion,
    spread: &Spread,
    text: String,
) -> Report {
    let json = json!({ "publication": id, "config_version": version, "spread": spread });
    match spread.is_complete() {
        true => {
            let text =
                format!("{text} and is in force on all {} instances", spread.ready.len());
            Report::done(json, text)
        }
        false => Report::new(
            Exit::NotInForceEverywhere,
            json,
            format!("{text}\n{}", spread.missing()),
        ),
    }
}
