//! Tasks that watch the store for the configuration, the minions and the group of
//! instances.

use std::collections::HashSet;
use std::time::Duration;

use bamboocart_adapter::{
    OperatorError, ReadPage, Record, Settings, StoreClient, StoreError, TOPIC_MINIONS,
    TOPIC_OPERATORS, check_evacuation_value, decode_entry, decode_key,
    decode_operator_record,
};
use bamboocart_jobs::{Member, MinionChange, MinionId, OperatorChange, OperatorPage};
use tokio::time::sleep;

use crate::site::clock;
use crate::site::driver::Driver;

/// The group of all instances.
const GROUP: &str = "entry";

/// The topics whose partitions the store assigns to the members of the group. Only the
/// list of members is used; it is complete as long as there are at least as many
/// partitions as members.
const GROUP_TOPICS: [&str; 4] = ["entry-0", "entry-1", "entry-2", "entry-3"];

/// The time between two joins while the group is changing. It bounds how long a new
/// instance stays without a partition, because earlier members release partitions to it
/// when they join again.
const CHANGING_JOIN_INTERVAL: Duration = Duration::from_millis(100);

/// The time between two joins while the group is stable.
const JOIN_INTERVAL: Duration = Duration::from_millis(350);

/// The time after which the store removes a member that has not joined again.
const MEMBER_TTL_MS: u64 = 1_300;

/// The number of reads of the member list after a change of the group. A new member owns
/// a partition, and so is listed, only after earlier owners have joined again.
const MEMBER_READS_AFTER_CHANGE: u32 = 8;

/// The time that a read of what operators publish waits for a change. It bounds how long a
/// connection that has gone silent can hide a change.
const OPERATOR_WAIT_MS: u64 = 1_000;

/// The time between two reads of the minion list.
const MINIONS_INTERVAL: Duration = Duration::from_millis(450);

/// The pause after a failed call.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// The number of different faults of minion entries that are logged.
const MAX_LOGGED_FAULTS: usize = 200;

/// Spawns the tasks that watch the store.
///
/// A task retries after an error, so that the instance also starts and serves while the
/// store is unavailable.
pub fn spawn_watchers(driver: &Driver, settings: &Settings) {
    let store = StoreClient::new(settings.store);
    driver.spawn(watch_operators(driver.clone(), store.clone()));
    driver.spawn(watch_minions(driver.clone(), store.clone()));
    let ttl_ms = MEMBER_TTL_MS.max(settings.min_ttl_ms);
    driver.spawn(maintain_membership(driver.clone(), store, ttl_ms));
}

/// Leaves the group, so that the other instances learn of the stop without a timeout.
///
/// A failure is only logged; the membership then expires.
pub async fn leave_group(driver: &Driver, settings: &Settings) {
    let store = StoreClient::new(settings.store);
    if let Err(error) = store.leave(GROUP, &driver.member().to_string()).await {
        log::info!(target: "store", error:% = error;
            "failed to leave the group; the membership will expire");
    }
}

/// The state of a kind of calls to the store, to log each outage only once.
struct OutageLog {
    subject: &'static str,
    unavailable: bool,
}

impl OutageLog {
    /// Creates the state of calls that have not failed yet.
    fn new(subject: &'static str) -> Self {
        Self { subject, unavailable: false }
    }

    fn note_failure(&mut self, error: &StoreError) {
        if !self.unavailable {
            log::warn!(target: "store", what = self.subject, error:% = error;
                "store unavailable; retrying");
        }
        self.unavailable = true;
    }

    fn note_success(&mut self) {
        if self.unavailable {
            log::info!(target: "store", what = self.subject; "store available again");
        }
        self.unavailable = false;
    }
}

/// The faults that were logged, so that each is logged once although its entry may be
/// written again and again.
#[derive(Default)]
struct FaultLog {
    logged: HashSet<String>,
}

impl FaultLog {
    /// Returns whether a fault was not logged yet; beyond [`MAX_LOGGED_FAULTS`], none is.
    fn is_new(&mut self, fault: &str) -> bool {
        self.logged.len() < MAX_LOGGED_FAULTS && self.logged.insert(fault.to_owned())
    }
}

/// A reader of a keyed topic.
struct TopicReader {
    store: StoreClient,
    topic: &'static str,
    /// The offset to read from, or none if the newest records have to be read first.
    offset: Option<u64>,
    outages: OutageLog,
}

impl TopicReader {
    /// Creates a reader that starts with the newest records.
    fn new(store: StoreClient, topic: &'static str) -> Self {
        Self { store, topic, offset: None, outages: OutageLog::new(topic) }
    }

    /// Returns the next records, and whether they are the complete set of newest records.
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
                        "records have expired; reading the newest record of each key");
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

/// Applies each new configuration, and each change of an evacuation.
///
/// All changes of a page take effect together, so that an instance that starts places no
/// task in a failure domain that is evacuated.
async fn watch_operators(driver: Driver, store: StoreClient) {
    let mut reader = TopicReader::new(store, TOPIC_OPERATORS);
    loop {
        let (page, complete) = reader.next(OPERATOR_WAIT_MS).await;
        let changes = page.records.iter().filter_map(decode_operator_change).collect();
        let next_offset = page.next_offset;
        let page = OperatorPage { changes, next_offset, complete };
        driver.update_engine(|engine, now| engine.apply_operator_page(now, page));
    }
}

/// Decodes a record of the operators and logs its faults; returns none if it requests
/// nothing that this program serves.
fn decode_operator_change(record: &Record) -> Option<OperatorChange> {
    if let Err(fault) = check_evacuation_value(record) {
        log::warn!(target: "operator", error:% = fault; "odd value of an evacuation");
    }
    match decode_operator_record(record) {
        Ok(change) => change,
        Err(error @ OperatorError::Config { .. }) => {
            log::error!(target: "config", error:% = error;
                "skipped invalid configuration");
            None
        }
        Err(error @ OperatorError::NoDomain { .. }) => {
            log::error!(target: "operator", error:% = error; "skipped invalid evacuation");
            None
        }
    }
}

/// Keeps the minion list of the engine up to date.
async fn watch_minions(driver: Driver, store: StoreClient) {
    let mut reader = TopicReader::new(store, TOPIC_MINIONS);
    let mut faults = FaultLog::default();
    loop {
        let (page, complete) = reader.next(0).await;
        if complete {
            unlist_missing(&driver, &page.records);
        }
        let changes =
            page.records.iter().map(|record| decode_change(record, &mut faults));
        let changes: Vec<MinionChange> = changes.collect();
        driver.update_engine(|engine, now| engine.change_minions(now, changes));
        sleep(MINIONS_INTERVAL).await;
    }
}

/// Removes the minions that a complete set of records does not contain.
fn unlist_missing(driver: &Driver, records: &[Record]) {
    let known = driver.read_engine(|engine, _| engine.listed_minions());
    let listed: Vec<MinionId> = records.iter().map(|r| decode_key(&r.key)).collect();
    driver.update_engine(|engine, now| {
        for id in known.iter().filter(|id| !listed.contains(id)) {
            engine.unlist_minion(now, id);
        }
    });
}

/// Decodes a record and logs an invalid entry.
fn decode_change(record: &Record, faults: &mut FaultLog) -> MinionChange {
    decode_entry(record).unwrap_or_else(|error| {
        if faults.is_new(&error.to_string()) {
            log::warn!(target: "store", error:% = error; "skipped invalid minion entry");
        }
        MinionChange::Invalid(decode_key(&record.key))
    })
}

/// Keeps the membership of the group alive and reads the members after each change.
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

/// Passes the members of a generation to the engine; returns whether they could be read.
async fn read_members(driver: &Driver, store: &StoreClient, generation: u64) -> bool {
    let group = match store.group_members(GROUP).await {
        Ok(group) => group,
        Err(error) => {
            log::info!(target: "store", error:% = error;
                "failed to read the group members");
            return false;
        }
    };
    let read = |text: &String| match text.parse::<Member>() {
        Ok(member) => Some(member),
        Err(error) => {
            log::warn!(target: "store", error:% = error; "skipped invalid group member");
            None
        }
    };
    let members: Vec<Member> = group.members.iter().filter_map(read).collect();
    driver.update_engine(|engine, now| engine.set_members(now, generation, &members));
    true
}
