//! A reader of the configuration stream.

use bamboocart_core::account::Floors;
use bamboocart_core::config::{ApplyResult, CONFIG_STREAM, ConfigReplay, PublicationId};
use bamboocart_core::id::ConfigVersion;
use bamboocart_core::time::Timestamp;
use bamboocart_platform::{Platform, Result};

/// Replays the configuration stream and records the result of one publication.
#[derive(Debug)]
pub struct ConfigLogReader {
    platform: Platform,
    /// The state after the records read so far.
    replay: ConfigReplay,
    /// The floors of the versions read so far.
    floors: Floors,
    /// The publication whose result is recorded.
    publication: Option<PublicationId>,
    /// The result of that publication, once its record is read.
    result: Option<PublicationResult>,
}

/// The result of a publication.
#[derive(Debug, Clone)]
pub enum PublicationResult {
    /// The publication was accepted as this version.
    Accepted(ConfigVersion),
    /// Another publication came first, so that this version was in force.
    Conflict(ConfigVersion),
    /// The record was skipped as invalid, for this reason.
    Skipped(String),
    /// The record that decided is no longer retained on the log.
    Expired,
}

impl ConfigLogReader {
    /// Creates a reader at the start of the stream.
    pub fn new(platform: Platform, publication: Option<PublicationId>) -> Self {
        Self {
            platform,
            replay: ConfigReplay::new(),
            floors: Floors::default(),
            publication,
            result: None,
        }
    }

    /// Returns the state after the records read so far.
    pub fn replay(&self) -> &ConfigReplay {
        &self.replay
    }

    /// Returns the floors of the versions read so far.
    pub fn floors(&self) -> &Floors {
        &self.floors
    }

    /// Returns the result of the publication, once its record is read.
    pub fn result(&self) -> Option<&PublicationResult> {
        self.result.as_ref()
    }

    /// Reads to the end of the stream, and waits up to `wait_ms` for a new record.
    pub fn read_to_end(&mut self, wait_ms: u64) -> Result<()> {
        let mut wait_ms = wait_ms;
        loop {
            let from = self.replay.next_offset();
            let page = self.platform.read(CONFIG_STREAM, from, wait_ms)?;
            self.replay.set_log_start(page.start);
            for record in &page.records {
                let at = Timestamp::from_ms(record.at_ms);
                let applied = self.replay.apply(record.offset, at, &record.body);
                if let Some(in_force) = self.replay.in_force() {
                    self.floors.add(in_force);
                }
                let is_rewound = matches!(applied, ApplyResult::Rewind { .. });
                self.note_result(record.offset, applied);
                // The stream has to be read again from an earlier offset, which the rest
                // of the page follows.
                if is_rewound {
                    break;
                }
            }
            if page.records.is_empty() || self.replay.next_offset() >= page.end {
                return Ok(());
            }
            wait_ms = 0;
        }
    }

    /// Records the result of the publication, and logs invalid records.
    fn note_result(&mut self, offset: u64, applied: ApplyResult) {
        let (publication, result) = match applied {
            ApplyResult::Accepted { publication, version } => {
                (Some(publication), PublicationResult::Accepted(version))
            }
            ApplyResult::Conflict { publication, in_force, .. } => {
                (Some(publication), PublicationResult::Conflict(in_force))
            }
            ApplyResult::Duplicate { publication } => {
                (Some(publication), PublicationResult::Expired)
            }
            ApplyResult::Skipped { publication, fault } => {
                log::warn!("skipped configuration record {offset}: {fault}");
                (publication, PublicationResult::Skipped(fault.to_string()))
            }
            ApplyResult::SnapshotDiffers { version } => {
                log::error!(
                    "snapshot {offset} differs from the known set of version {version}"
                );
                return;
            }
            _ => return,
        };
        // The first record decides; later ones with the same id are duplicates.
        if publication.is_some()
            && publication == self.publication
            && self.result.is_none()
        {
            self.result = Some(result);
        }
    }
}
