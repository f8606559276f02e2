//! The threads that follow streams of the log.

use std::sync::Arc;
use std::time::Duration;

use bamboocart_core::engine::{ClaimPage, Event};
use bamboocart_core::id::ConfigVersion;
use bamboocart_core::time::Timestamp;
use bamboocart_platform::{Platform, RecordPage};
use bytes::Bytes;
use crossbeam::channel::Sender;
use tokio_util::sync::CancellationToken;

use crate::config::{self, CurrentConfig};

/// The stream of publications.
pub const CONFIG_STREAM: &str = "config";

/// The stream of claims.
pub const CLAIM_STREAM: &str = "claims";

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
        match platform.read(stream, next, WAIT_MS) {
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

/// Follows the publications.
pub fn follow_config(
    platform: &Platform,
    events: &Sender<Event>,
    current: &CurrentConfig,
    stop: &CancellationToken,
) {
    let mut next = 0;
    follow(platform, CONFIG_STREAM, stop, |page| {
        for record in page.records {
            next = record.offset + 1;
            match config::parse(record.body.as_bytes()) {
                Ok(set) => {
                    let version = ConfigVersion(record.offset + 1);
                    current.update(version, Bytes::from(record.body));
                    let since = Timestamp::from_ms(record.at_ms);
                    events.send(Event::ConfigAccepted { version, set, since }).ok()?;
                }
                Err(error) => log::error!("record {} is skipped: {error}", record.offset),
            }
        }
        Some(next)
    });
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

/// Takes a configuration that a peer has sent.
pub fn adopt(
    version: ConfigVersion,
    text: Bytes,
    current: &CurrentConfig,
    now: Timestamp,
) -> Option<Event> {
    match config::parse(&text) {
        Ok(set) => {
            let set = Arc::clone(&set);
            let newer = current.update(version, text);
            newer.then_some(Event::ConfigAccepted { version, set, since: now })
        }
        Err(error) => {
            log::error!("configuration {version} of a peer is ignored: {error}");
            None
        }
    }
}
