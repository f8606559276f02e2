//! The thread that follows the configuration on the log.

use std::sync::Arc;
use std::time::Duration;

use bamboocart_core::config::ConfigSet;
use bamboocart_core::engine::Event;
use bamboocart_core::id::ConfigVersion;
use bamboocart_platform::Platform;
use crossbeam::channel::Sender;
use tokio_util::sync::CancellationToken;

/// The log stream that holds publications.
const STREAM: &str = "config";

/// The longest wait for a new record in one call.
const WAIT_MS: u64 = 2_000;

/// The time before the log is asked again after a failure.
const RETRY_MS: u64 = 500;

/// Follows the stream until `stop` is cancelled.
pub fn run(platform: &Platform, events: &Sender<Event>, stop: &CancellationToken) {
    let mut next = 0;
    while !stop.is_cancelled() {
        let page = match platform.read(STREAM, next, WAIT_MS) {
            Ok(page) => page,
            Err(error) => {
                log::warn!("{error}");
                std::thread::sleep(Duration::from_millis(RETRY_MS));
                continue;
            }
        };
        for record in page.records {
            next = record.offset + 1;
            match toml::from_str::<ConfigSet>(&record.body) {
                Ok(set) => {
                    let version = ConfigVersion(record.offset + 1);
                    let event = Event::ConfigAccepted { version, set: Arc::new(set) };
                    if events.send(event).is_err() {
                        return;
                    }
                }
                Err(error) => log::error!("skipped record {}: {error}", record.offset),
            }
        }
    }
}
