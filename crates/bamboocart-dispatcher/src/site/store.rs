//! What the store tells: configuration, minions, and the members of the group.

use std::time::Duration;

use bamboocart_adapter::{
    ReadPage, Record, RegistryChange, Settings, StoreClient, StoreError, TOPIC_CONFIG,
    TOPIC_MINIONS, decode_config, decode_entry, decode_key,
};
use bamboocart_jobs::{Member, MinionId};
use tokio::time::sleep;

use crate::site::clock;
use crate::site::driver::Driver;

/// The group of all instances.
const GROUP: &str = "entry";

/// The topics whose partitions the group deals out. Only the members matter; each of them
/// is listed as long as there are at least as many partitions as members.
const GROUP_TOPICS: [&str; 4] = ["entry-0", "entry-1", "entry-2", "entry-3"];

/// The time between two joins while the group is changing. It bounds how long an instance
/// that has come takes no part, since earlier members share with it when they join again.
const CHANGING_JOIN_INTERVAL: Duration = Duration::from_millis(100);

/// The time between two joins.
const JOIN_INTERVAL: Duration = Duration::from_millis(350);

/// The time after which a member that has not joined again is dropped.
const MEMBER_TTL_MS: u64 = 1_300;

/// How often the members are read after a change of the group. A new member owns a partition,
/// and is listed, only after earlier owners have joined again.
const MEMBER_READS_AFTER_CHANGE: u32 = 8;

/// The time that a read of the configuration waits for a change. It bounds how long a
/// connection that has gone silent hides one.
const CONFIG_WAIT_MS: u64 = 1_000;

/// The time between two reads of the list of minions.
const MINIONS_INTERVAL: Duration = Duration::from_millis(450);

/// The pause after a failed call.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// The key of the configuration.
const CONFIG_KEY: &str = "config";

/// Starts the tasks that follow the store.
pub fn spawn_watchers(driver: &Driver, settings: &Settings) {
    let store = StoreClient::new(settings.store);
    driver.spawn(watch_config(driver.clone(), store.clone()));
    driver.spawn(watch_minions(driver.clone(), store.clone()));
    let ttl_ms = MEMBER_TTL_MS.max(settings.min_ttl_ms);
    driver.spawn(maintain_membership(driver.clone(), store, ttl_ms));
}

/// Leaves the group, so that the other instances notice at once.
pub async fn leave_group(driver: &Driver, settings: &Settings) {
    let store = StoreClient::new(settings.store);
    if let Err(error) = store.leave(GROUP, &driver.member().to_string()).await {
        log::info!(target: "store", error:% = error; "cannot leave the group");
    }
}

/// The state of the way to the store, for one line per loss and return.
struct OutageLog {
    subject: &'static str,
    unavailable: bool,
}

impl OutageLog {
    /// Creates the state of a dependency that is not known to be lost.
    fn new(subject: &'static str) -> Self {
        Self { subject, unavailable: false }
    }

    /// Notes a failed call.
    fn note_failure(&mut self, error: &StoreError) {
        if !self.unavailable {
            log::warn!(target: "store", what = self.subject, error:% = error; "store lost");
        }
        self.unavailable = true;
    }

    /// Notes a call that succeeded.
    fn note_success(&mut self) {
        if self.unavailable {
            log::info!(target: "store", what = self.subject; "store is back");
        }
        self.unavailable = false;
    }
}

/// A reader of a keyed topic.
struct TopicReader {
    store: StoreClient,
    topic: &'static str,
    /// The offset to read from; none before the newest records were read.
    offset: Option<u64>,
    outages: OutageLog,
}

impl TopicReader {
    /// Creates a reader that begins with the newest records.
    fn new(store: StoreClient, topic: &'static str) -> Self {
        Self { store, topic, offset: None, outages: OutageLog::new(topic) }
    }

    /// Returns the next records, and whether they are the newest of all keys.
    async fn next(&mut self, wait_ms: u64) -> (ReadPage, bool) {
        loop {
            let complete = self.offset.is_none();
            let page = match self.offset {
                None => self.store.read_newest(self.topic).await,
                Some(offset) => self.store.read(self.topic, offset, wait_ms).await,
            };
            match page {
                Ok(page) => {
                    self.outages.note_success();
                    self.offset = Some(page.next_offset);
                    return (page, complete);
                }
                Err(StoreError::Expired) => {
                    log::info!(target: "store", topic = self.topic, offset = self.offset;
                        "records have expired; reading the newest");
                    self.offset = None;
                }
                Err(error) => {
                    self.outages.note_failure(&error);
                    sleep(RETRY_PAUSE).await;
                }
            }
        }
    }
}

/// Puts each new configuration in force.
async fn watch_config(driver: Driver, store: StoreClient) {
    let mut reader = TopicReader::new(store, TOPIC_CONFIG);
    loop {
        let (page, _) = reader.next(CONFIG_WAIT_MS).await;
        for record in page.records.iter().filter(|record| record.key == CONFIG_KEY) {
            match decode_config(&record.value) {
                Ok(catalog) => {
                    driver.update_engine(|engine, _| engine.set_catalog(catalog));
                }
                Err(error) => {
                    log::error!(target: "config", error:% = error;
                        "configuration is passed over");
                }
            }
        }
    }
}

/// Keeps the list of minions.
async fn watch_minions(driver: Driver, store: StoreClient) {
    let mut reader = TopicReader::new(store, TOPIC_MINIONS);
    loop {
        let (page, complete) = reader.next(0).await;
        if complete {
            unlist_missing(&driver, &page.records);
        }
        let changes: Vec<RegistryChange> =
            page.records.iter().map(decode_change).collect();
        let mut entries = Vec::new();
        driver.update_engine(|engine, now| {
            for change in changes {
                match change {
                    RegistryChange::Listed(entry) => entries.push(*entry),
                    RegistryChange::Removed(id) => {
                        entries.retain(|entry| entry.id != id);
                        engine.unlist_minion(now, &id);
                    }
                }
            }
            engine.update_minions(now, entries);
        });
        sleep(MINIONS_INTERVAL).await;
    }
}

/// Drops the minions that a complete list does not have.
fn unlist_missing(driver: &Driver, records: &[Record]) {
    let known = driver.read_engine(|engine, _| engine.listed_minions());
    let listed: Vec<MinionId> = records.iter().map(|r| decode_key(&r.key)).collect();
    driver.update_engine(|engine, now| {
        for id in known.iter().filter(|id| !listed.contains(id)) {
            engine.unlist_minion(now, id);
        }
    });
}

/// Reads a record; one that names no usable minion counts as dropped.
fn decode_change(record: &Record) -> RegistryChange {
    decode_entry(record).unwrap_or_else(|error| {
        log::warn!(target: "store", error:% = error; "entry of a minion is passed over");
        RegistryChange::Removed(decode_key(&record.key))
    })
}

/// Stays a member of the group and follows its changes.
async fn maintain_membership(driver: Driver, store: StoreClient, ttl_ms: u64) {
    let member = driver.member().to_string();
    let topics = GROUP_TOPICS.map(String::from);
    let mut outages = OutageLog::new(GROUP);
    let mut generation = 0;
    let mut known = 0;
    let mut reads_left = 0;
    loop {
        let sent = clock::now();
        match store.join(GROUP, &member, &topics, ttl_ms, generation).await {
            Ok(joined) => {
                outages.note_success();
                driver.update_engine(|engine, _| engine.joined(sent));
                generation = joined.generation;
            }
            Err(error) => outages.note_failure(&error),
        }
        if generation != known {
            known = generation;
            reads_left = MEMBER_READS_AFTER_CHANGE;
        }
        if reads_left > 0 && read_members(&driver, &store, generation).await {
            reads_left -= 1;
        }
        driver.open_links();
        let changing = reads_left > 0;
        sleep(if changing { CHANGING_JOIN_INTERVAL } else { JOIN_INTERVAL }).await;
    }
}

/// Reads the members of a generation, and returns whether that succeeded.
async fn read_members(driver: &Driver, store: &StoreClient, generation: u64) -> bool {
    let group = match store.group_members(GROUP).await {
        Ok(group) => group,
        Err(error) => {
            log::info!(target: "store", error:% = error; "cannot read the members");
            return false;
        }
    };
    let read = |text: &String| match text.parse::<Member>() {
        Ok(member) => Some(member),
        Err(error) => {
            log::warn!(target: "store", error:% = error; "member is passed over");
            None
        }
    };
    let members: Vec<Member> = group.members.iter().filter_map(read).collect();
    driver.update_engine(|engine, now| engine.set_members(now, generation, &members));
    true
}
