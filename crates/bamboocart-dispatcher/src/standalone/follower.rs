//! The threads that follow streams of the log.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use bamboocart_core::config::{
    ApplyResult, CONFIG_STREAM, ConfigRecord, ConfigReplay, VersionedSet,
};
use bamboocart_core::engine::{CLAIM_STREAM, ClaimPage, Event};
use bamboocart_core::time::Timestamp;
use bamboocart_platform::{Platform, RecordPage};
use crossbeam::channel::Sender;
use tokio_util::sync::CancellationToken;

use crate::standalone::heard::HeardSnapshot;
use crate::standalone::observe::{LogCall, count_log_call};

/// The longest wait for a new record in one call.
const WAIT_MS: u64 = 2_000;

/// The time before the log is asked again after a failure.
const RETRY_MS: u64 = 500;

/// Reads a stream until `stop` is cancelled or `take` reports that nobody listens.
///
/// `take` gets every page, also an empty one, and returns the offset to read from next.
pub fn follow(
    platform: &Platform,
    stream: &str,
    stop: &CancellationToken,
    mut take: impl FnMut(RecordPage) -> Option<u64>,
) {
    let mut next = 0;
    let mut failing = false;
    while !stop.is_cancelled() {
        let result = platform.read(stream, next, WAIT_MS);
        count_log_call(LogCall::Read, result.is_ok());
        match result {
            Ok(page) => {
                failing = false;
                match take(page) {
                    Some(offset) => next = offset,
                    None => return,
                }
            }
            Err(error) => {
                if !std::mem::replace(&mut failing, true) {
                    log::warn!("stream {stream}: {error}");
                }
                std::thread::sleep(Duration::from_millis(RETRY_MS));
            }
        }
    }
}

/// Follows the publications, and keeps them alive by snapshots.
pub fn follow_config(
    platform: &Platform,
    events: &Sender<Event>,
    heard: &HeardSnapshot,
    jitter_ms: u64,
    stop: &CancellationToken,
) {
    let mut fold = ConfigReplay::new();
    follow(platform, CONFIG_STREAM, stop, |page| {
        let now =
            Timestamp::from_ms(page.records.last().map_or(0, |record| record.at_ms));
        let retention_ms = page.retention_ms;
        fold.set_log_start(page.start);
        if restore(&mut fold, heard) {
            return Some(fold.next_offset());
        }
        let has_news = !page.records.is_empty();
        for record in page.records {
            let at = Timestamp::from_ms(record.at_ms);
            let folded = fold.apply(record.offset, at, &record.body);
            note_folded(record.offset, &folded);
            let since = match folded {
                ApplyResult::Accepted { .. } => Some(at),
                ApplyResult::Rewind { .. } => None,
                _ => continue,
            };
            tell_in_force(&fold, since, events)?;
            if since.is_none() {
                break;
            }
        }
        if let Some(position) = fold.position().filter(|_| has_news) {
            events.send(Event::ConfigRead(position)).ok()?;
        }
        append_snapshot(platform, &fold, now.max(system_now()), retention_ms, jitter_ms);
        Some(fold.next_offset())
    });
}

/// Goes on from a peer's snapshot if the log holds none that can be used.
fn restore(fold: &mut ConfigReplay, heard: &HeardSnapshot) -> bool {
    if fold.can_apply() {
        return false;
    }
    let Some(snapshot) = heard.take() else { return false };
    let (version, covers_until) = (snapshot.version, snapshot.covers_until);
    let is_restored = fold.restore(snapshot);
    match is_restored {
        true => log::info!(
            "reading after record {covers_until} from a peer's version {version}"
        ),
        false => log::warn!(
            "records after {covers_until} have expired unread; a snapshot is needed"
        ),
    }
    is_restored
}

/// Tells the engine which configuration is in force.
fn tell_in_force(
    fold: &ConfigReplay,
    since: Option<Timestamp>,
    events: &Sender<Event>,
) -> Option<()> {
    let Some(VersionedSet { version, set }) = fold.in_force().cloned() else {
        return Some(());
    };
    events.send(Event::ConfigAccepted { version, set, published_at: since }).ok()
}

/// Appends a snapshot if one is due, so that the set in force outlasts its record.
fn append_snapshot(
    platform: &Platform,
    fold: &ConfigReplay,
    now: Timestamp,
    retention_ms: u64,
    jitter_ms: u64,
) {
    let jitter_ms = jitter_ms.min(retention_ms / 8);
    let Some(snapshot) = fold.snapshot_due(now, retention_ms, jitter_ms) else { return };
    let body = ConfigRecord::Snapshot(snapshot).to_body();
    let result = platform.append(CONFIG_STREAM, &body);
    count_log_call(LogCall::Append, result.is_ok());
    if let Err(error) = result {
        log::warn!("no snapshot of the configuration: {error}");
    }
}

/// Logs what a record did, if operators should know.
fn note_folded(offset: u64, folded: &ApplyResult) {
    match folded {
        ApplyResult::Accepted { publication, version } => {
            log::info!("publication {publication} is accepted as version {version}");
        }
        ApplyResult::Conflict { publication, base, in_force } => log::info!(
            "publication {publication} for version {base} lost to version {in_force}"
        ),
        ApplyResult::Skipped { fault, .. } => {
            log::error!("config record {offset}: {fault}")
        }
        ApplyResult::SnapshotDiffers { version } => {
            log::error!(
                "config record {offset}: a snapshot of {version} differs; ignored"
            );
        }
        _ => {}
    }
}

/// Returns the system's time.
fn system_now() -> Timestamp {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    Timestamp::from_us(u64::try_from(since_epoch.as_micros()).unwrap_or(u64::MAX))
}

/// Follows the claims on caller keys.
pub fn follow_claims(
    platform: &Platform,
    events: &Sender<Event>,
    stop: &CancellationToken,
) {
    let mut next = 0;
    follow(platform, CLAIM_STREAM, stop, |page| {
        next = page.records.last().map_or(next.max(page.start), |r| r.offset + 1);
        let records = page.records.into_iter().map(|r| (r.offset, r.at_ms, r.body));
        let page = ClaimPage { start: page.start, records: records.collect() };
        events.send(Event::ClaimsRead(page)).ok()?;
        Some(next)
    });
}
