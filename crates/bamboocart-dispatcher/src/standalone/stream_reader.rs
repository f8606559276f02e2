//! The threads that read streams of the platform's log.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use bamboocart_core::config::{
    ApplyResult, CONFIG_STREAM, ConfigRecord, ConfigReplay, VersionedSet,
};
use bamboocart_core::engine::{CLAIM_STREAM, ClaimPage, Event};
use bamboocart_core::time::Timestamp;
use bamboocart_platform::{Platform, RecordPage};
use crossbeam::channel::Sender;
use tokio_util::sync::CancellationToken;

use crate::standalone::observe::{LogCall, count_log_call};
use crate::standalone::peer_snapshot::PeerSnapshot;

/// The longest time that one call waits for a new record.
const READ_WAIT_MS: u64 = 2_000;

/// The delay before the log is read again after a failure.
const READ_RETRY_MS: u64 = 500;

/// Reads a stream until `stop` is cancelled or `on_page` returns `None`.
///
/// `on_page` gets every page, also an empty one, and returns the offset to read from
/// next, or `None` if the engine has ended. A series of failures is logged once.
pub fn watch_stream(
    platform: &Platform,
    stream: &str,
    stop: &CancellationToken,
    mut on_page: impl FnMut(RecordPage) -> Option<u64>,
) {
    let mut next = 0;
    let mut failing = false;
    while !stop.is_cancelled() {
        let result = platform.read(stream, next, READ_WAIT_MS);
        count_log_call(LogCall::Read, result.is_ok());
        match result {
            Ok(page) => {
                failing = false;
                match on_page(page) {
                    Some(offset) => next = offset,
                    None => return,
                }
            }
            Err(error) => {
                if !std::mem::replace(&mut failing, true) {
                    log::warn!("could not read stream {stream}: {error}");
                }
                std::thread::sleep(Duration::from_millis(READ_RETRY_MS));
            }
        }
    }
}

/// Reads the configuration stream, reports the configuration in force to the engine, and
/// appends snapshots before the records that readers need expire.
pub fn watch_config(
    platform: &Platform,
    events: &Sender<Event>,
    peer_snapshot: &PeerSnapshot,
    jitter_ms: u64,
    stop: &CancellationToken,
) {
    let mut replay = ConfigReplay::new();
    watch_stream(platform, CONFIG_STREAM, stop, |page| {
        let now =
            Timestamp::from_ms(page.records.last().map_or(0, |record| record.at_ms));
        let retention_ms = page.retention_ms;
        replay.set_log_start(page.start);
        if restore(&mut replay, peer_snapshot) {
            return Some(replay.next_offset());
        }
        let has_records = !page.records.is_empty();
        for record in page.records {
            let at = Timestamp::from_ms(record.at_ms);
            let result = replay.apply(record.offset, at, &record.body);
            log_result(record.offset, &result);
            let since = match result {
                ApplyResult::Accepted { .. } => Some(at),
                ApplyResult::Rewind { .. } => None,
                _ => continue,
            };
            report_in_force(&replay, since, events)?;
            if since.is_none() {
                break;
            }
        }
        if let Some(position) = replay.position().filter(|_| has_records) {
            events.send(Event::ConfigRead(position)).ok()?;
        }
        append_snapshot(
            platform,
            &replay,
            now.max(system_now()),
            retention_ms,
            jitter_ms,
        );
        Some(replay.next_offset())
    });
}

/// Loads a peer's snapshot if the log holds none that can be used, and returns whether
/// the stream must be read again from the new offset.
fn restore(replay: &mut ConfigReplay, peer_snapshot: &PeerSnapshot) -> bool {
    if replay.can_apply() {
        return false;
    }
    let Some(snapshot) = peer_snapshot.take() else { return false };
    let (version, covers_until) = (snapshot.version, snapshot.covers_until);
    let is_restored = replay.restore(snapshot);
    match is_restored {
        true => log::info!(
            "loaded a peer's snapshot of version {version}; reading on after record \
             {covers_until}"
        ),
        false => log::warn!(
            "could not use a peer's snapshot: records after {covers_until} expired \
             unread; waiting for another snapshot"
        ),
    }
    is_restored
}

/// Reports the configuration in force to the engine, or returns `None` if the engine has
/// ended.
fn report_in_force(
    replay: &ConfigReplay,
    since: Option<Timestamp>,
    events: &Sender<Event>,
) -> Option<()> {
    let Some(VersionedSet { version, set }) = replay.in_force().cloned() else {
        return Some(());
    };
    events.send(Event::ConfigAccepted { version, set, published_at: since }).ok()
}

/// Appends a snapshot if one is due, so that the set in force remains in the log after
/// its record expires.
fn append_snapshot(
    platform: &Platform,
    replay: &ConfigReplay,
    now: Timestamp,
    retention_ms: u64,
    jitter_ms: u64,
) {
    let jitter_ms = jitter_ms.min(retention_ms / 8);
    let Some(snapshot) = replay.snapshot_due(now, retention_ms, jitter_ms) else {
        return;
    };
    let body = ConfigRecord::Snapshot(snapshot).to_body();
    let result = platform.append(CONFIG_STREAM, &body);
    count_log_call(LogCall::Append, result.is_ok());
    if let Err(error) = result {
        log::warn!("could not append a configuration snapshot: {error}");
    }
}

/// Logs the result of applying a record, if it matters to operators.
fn log_result(offset: u64, result: &ApplyResult) {
    match result {
        ApplyResult::Accepted { publication, version } => {
            log::info!("accepted publication {publication} as version {version}");
        }
        ApplyResult::Conflict { publication, base, in_force } => log::info!(
            "rejected publication {publication}: it replaces version {base}, but version \
             {in_force} is in force"
        ),
        ApplyResult::Skipped { fault, .. } => {
            log::error!("skipped config record {offset}: {fault}")
        }
        ApplyResult::SnapshotDiffers { version } => {
            log::error!(
                "ignored config record {offset}: its snapshot of version {version} \
                 differs from the known set"
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

/// Reads the stream of claims on caller keys and passes each page to the engine.
pub fn watch_claims(
    platform: &Platform,
    events: &Sender<Event>,
    stop: &CancellationToken,
) {
    let mut next = 0;
    watch_stream(platform, CLAIM_STREAM, stop, |page| {
        next = page.records.last().map_or(next.max(page.start), |r| r.offset + 1);
        let records = page.records.into_iter().map(|r| (r.offset, r.at_ms, r.body));
        let page = ClaimPage { start: page.start, records: records.collect() };
        events.send(Event::ClaimsRead(page)).ok()?;
        Some(next)
    });
}
