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
use super::status::{Rollout, wait_for_version};
use crate::config_log::{ConfigLogReader, PublicationResult};
use crate::error::{AppendUnknownSnafu, Result, VersionUnknownSnafu};
use crate::files::read_set;
use crate::report::{EXIT_CODES, Exit, Report};
use crate::settings::{Common, SettingErrors};

/// The time for which an append is retried and its record is searched for on the log.
const RETRY_TIMEOUT_MS: u64 = 15_000;

/// The time that a read waits for the record before the append is retried.
const READ_WAIT_MS: u64 = 1_000;

/// The pause before a failed read of the log is retried.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// Publish files as the new set
///
/// The id makes a publication idempotent, so that a retry after a lost answer has no
/// second effect.
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
        let mut errors = SettingErrors::default();
        let settings = self.common.check(&mut errors);
        let base = errors.parse("--base", "a version from `show`", self.base.as_deref());
        let form = "the id that an earlier run printed";
        let id = errors.parse("--publication", form, self.publication.as_deref());
        let wait = errors.switch("--wait", self.wait);
        let Some(address) = errors.require("--platform", settings.platform) else {
            return Err(errors.into_error());
        };
        errors.finish()?;
        let set = read_set(&self.files)?;
        let id = PublicationId(id.unwrap_or_else(Uuid::now_v7));
        let platform = Platform::new(&address.to_string());
        let mut log = ConfigLogReader::new(platform.clone(), Some(id));
        let wait_platform = wait.then_some(&platform);
        let mut appends = AppendCounts::default();
        log.read_to_end(0)?;
        if log.result().is_none() {
            let Some(base) = choose_base(&log, base.map(ConfigVersion), &set)? else {
                return Ok(report(
                    &log,
                    id,
                    &PublicationResult::Expired,
                    &set,
                    wait_platform,
                ));
            };
            let record = Publication { publication: id, base, set: set.clone() };
            appends = append(&platform, &mut log, &ConfigRecord::Publish(record), id)?;
        }
        let result = log.result().cloned().unwrap_or(PublicationResult::Expired);
        Ok(appends.added_to(report(&log, id, &result, &set, wait_platform)))
    }
}

/// Counts the attempts to append the record.
#[derive(Debug, Copy, Clone, Default)]
struct AppendCounts {
    /// The number of appends that were sent.
    tried: u32,
    /// The number of appends without an answer, each of which may have taken effect.
    unanswered: u32,
}

impl AppendCounts {
    /// Adds the counts to a report if an append had no answer.
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

/// Reports the result of the publication.
///
/// With a `wait_platform`, waits until the version is in force on the instances it lists.
fn report(
    log: &ConfigLogReader,
    id: PublicationId,
    result: &PublicationResult,
    set: &ConfigSet,
    wait_platform: Option<&Platform>,
) -> Report {
    let in_force = log.replay().version();
    let is_in_force = log.replay().in_force().is_some_and(|known| *known.set == *set);
    let version = match result {
        PublicationResult::Accepted(version) => *version,
        // The record that decided has expired, or the set was in force already.
        PublicationResult::Expired if is_in_force => in_force,
        PublicationResult::Expired => return conflict(log, id, in_force, set),
        PublicationResult::Conflict(version) => return conflict(log, id, *version, set),
        PublicationResult::Skipped(reason) => {
            let json = json!({ "publication": id, "error": reason });
            return Report::new(Exit::InvalidConfig, json, reason.clone());
        }
    };
    let text = match result {
        PublicationResult::Accepted(_) => {
            format!("version {version} was accepted on the log")
        }
        _ => format!("version {version} on the log has this set already"),
    };
    let Some(platform) = wait_platform else {
        let json = json!({ "publication": id, "config_version": version });
        return Report::done(json, text);
    };
    let rollout = wait_for_version(platform, version);
    rollout_report(id, version, &rollout, text)
}

/// Returns the base version, or `None` if the set is in force already.
fn choose_base(
    log: &ConfigLogReader,
    base: Option<ConfigVersion>,
    set: &ConfigSet,
) -> Result<Option<ConfigVersion>> {
    if !log.replay().can_apply() {
        return VersionUnknownSnafu.fail();
    }
    let is_in_force = log.replay().in_force().is_some_and(|known| *known.set == *set);
    match base {
        None if is_in_force => Ok(None),
        None => Ok(Some(log.replay().version())),
        Some(base) => Ok(Some(base)),
    }
}

/// Appends the record and retries until it has been read back.
///
/// After a failure, the log is read before the append is retried, because the append may
/// have succeeded although its answer was lost. Duplicates have no effect, because they
/// have the same id.
fn append(
    platform: &Platform,
    log: &mut ConfigLogReader,
    record: &ConfigRecord,
    id: PublicationId,
) -> Result<AppendCounts> {
    let body = record.to_body();
    let end = Instant::now() + Duration::from_millis(RETRY_TIMEOUT_MS);
    let mut is_appended = false;
    let mut appends = AppendCounts::default();
    loop {
        let mut reason = "the log did not return it in time".to_owned();
        if !is_appended {
            let appended = platform.append(CONFIG_STREAM, &body);
            is_appended = appended.is_ok();
            appends.tried += 1;
            appends.unanswered += u32::from(!is_appended);
            if let Err(error) = appended {
                log::warn!("{error}; searching the log for the publication");
                reason = error.to_string();
            }
        }
        if let Err(error) = read_back(log, end) {
            reason = error.to_string();
        }
        match log.result() {
            Some(_) => return Ok(appends),
            None if !log.replay().can_apply() => return VersionUnknownSnafu.fail(),
            None if Instant::now() >= end => {
                let publication = id.to_string();
                return AppendUnknownSnafu { publication, reason }.fail();
            }
            None => {}
        }
    }
}

/// Reads the log until the publication is found or no new records arrive.
fn read_back(log: &mut ConfigLogReader, end: Instant) -> bamboocart_platform::Result<()> {
    loop {
        let next = log.replay().next_offset();
        let result = log.read_to_end(READ_WAIT_MS);
        match result {
            Ok(()) if log.result().is_none() && log.replay().next_offset() != next => {}
            Err(_) if Instant::now() < end => std::thread::sleep(RETRY_PAUSE),
            _ => return result,
        }
    }
}

/// Reports that another publication came first, with the differences to it.
fn conflict(
    log: &ConfigLogReader,
    id: PublicationId,
    in_force: ConfigVersion,
    set: &ConfigSet,
) -> Report {
    let known =
        log.replay().in_force().map(|known| known.set.clone()).unwrap_or_default();
    let changes = diff(&known, set);
    let text = format!(
        "publication {id} was not accepted, because version {in_force} was in force \
         first; merge these differences and publish again:\n{}",
        describe(&changes)
    );
    let json = json!({
        "publication": id, "in_force": log.replay().version(), "changes": changes
    });
    Report::new(Exit::Conflict, json, text)
}

/// Reports which instances have a version in force.
fn rollout_report(
    id: PublicationId,
    version: ConfigVersion,
    rollout: &Rollout,
    text: String,
) -> Report {
    let json = json!({ "publication": id, "config_version": version, "spread": rollout });
    match rollout.is_complete() {
        true => {
            let text = format!(
                "{text} and is in force on all {} instances",
                rollout.ready.len()
            );
            Report::done(json, text)
        }
        false => Report::new(
            Exit::NotInForceEverywhere,
            json,
            format!("{text}\n{}", rollout.describe_pending()),
        ),
    }
}
