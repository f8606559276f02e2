//! Reading of the configuration stream.

use bamboocart_core::account::Floors;
use bamboocart_core::config::{ApplyResult, CONFIG_STREAM, ConfigReplay, PublicationId};
use bamboocart_core::id::ConfigVersion;
use bamboocart_core::time::Timestamp;
use bamboocart_platform::{Platform, Result};

/// A reader of the configuration stream that looks out for one publication.
#[derive(Debug)]
pub struct ConfigLog {
    /// The platform.
    platform: Platform,
    /// The fold of the records that were read.
    fold: ConfigReplay,
    /// The floors of the versions that were read.
    floors: Floors,
    /// The publication to look out for.
    own: Option<PublicationId>,
    /// What became of it.
    fate: Option<Fate>,
}

/// What became of a publication.
#[derive(Debug, Clone)]
pub enum Fate {
    /// It was accepted with this version.
    Accepted(ConfigVersion),
    /// Another one was first; this version was in force.
    Lost(ConfigVersion),
    /// It was skipped for this reason.
    Skipped(String),
    /// It is older than the records that can be read.
    Earlier,
}

impl ConfigLog {
    /// Creates a reader that has read nothing.
    pub fn new(platform: Platform, own: Option<PublicationId>) -> Self {
        Self {
            platform,
            fold: ConfigReplay::new(),
            floors: Floors::default(),
            own,
            fate: None,
        }
    }

    /// Returns the fold of the records that were read.
    pub fn fold(&self) -> &ConfigReplay {
        &self.fold
    }

    /// Returns the floors of the versions that were read.
    pub fn floors(&self) -> &Floors {
        &self.floors
    }

    /// Returns what became of the publication, once its record was read.
    pub fn fate(&self) -> Option<&Fate> {
        self.fate.as_ref()
    }

    /// Reads to the end of the stream, and waits up to `wait_ms` if there is nothing new.
    pub fn read_on(&mut self, wait_ms: u64) -> Result<()> {
        let mut wait_ms = wait_ms;
        loop {
            let from = self.fold.next_offset();
            let page = self.platform.read(CONFIG_STREAM, from, wait_ms)?;
            self.fold.set_log_start(page.start);
            for record in &page.records {
                let at = Timestamp::from_ms(record.at_ms);
                let folded = self.fold.apply(record.offset, at, &record.body);
                if let Some(in_force) = self.fold.in_force() {
                    self.floors.add(in_force);
                }
                let is_rewound = matches!(folded, ApplyResult::Rewind { .. });
                self.note(record.offset, folded);
                // The rest of the page comes after the records to read again.
                if is_rewound {
                    break;
                }
            }
            if page.records.is_empty() || self.fold.next_offset() >= page.end {
                return Ok(());
            }
            wait_ms = 0;
        }
    }

    /// Notes what became of the publication, and logs faults.
    fn note(&mut self, offset: u64, folded: ApplyResult) {
        let (publication, fate) = match folded {
            ApplyResult::Accepted { publication, version } => {
                (Some(publication), Fate::Accepted(version))
            }
            ApplyResult::Conflict { publication, in_force, .. } => {
                (Some(publication), Fate::Lost(in_force))
            }
            ApplyResult::Duplicate { publication } => (Some(publication), Fate::Earlier),
            ApplyResult::Skipped { publication, fault } => {
                log::warn!("record {offset} of the configuration is skipped: {fault}");
                (publication, Fate::Skipped(fault.to_string()))
            }
            ApplyResult::SnapshotDiffers { version } => {
                log::error!("snapshot {offset} has another set for version {version}");
                return;
            }
            _ => return,
        };
        // The first record decides; later ones with the same id are repetitions.
        if publication.is_some() && publication == self.own && self.fate.is_none() {
            self.fate = Some(fate);
        }
    }
}
