//! The logs of stored jobs in the emulated store.

use std::collections::BTreeMap;

use bamboocart_jobs::{
    AppendAnswer, LogAppend, LogCallNumber, LogPage, LogRead, LogRecord, ShardId,
};
use rand::Rng;

use super::{Event, Input, World};

/// The time of a call to the store and of its answer, each way.
const STORE_DELAY_US: u64 = 2_000;

/// The time after which a call without an answer counts as lost.
const STORE_TIMEOUT_US: u64 = 600_000;

/// The records of each shard.
#[derive(Debug, Default)]
pub(super) struct Logs {
    shards: BTreeMap<ShardId, Vec<LogRecord>>,
}

impl World<'_> {
    /// Sends a read to the store.
    pub(super) fn send_read(&mut self, node: usize, read: LogRead) {
        let incarnation = self.nodes[node].incarnation;
        if !self.store_up {
            let input = Input::LogRead(read.shard, read.number, LogPage::Lost);
            return self
                .schedule(STORE_TIMEOUT_US, Event::Input(node, incarnation, input));
        }
        self.schedule(STORE_DELAY_US, Event::ReadLog(node, incarnation, read));
    }

    /// Sends an append to the store.
    pub(super) fn send_append(&mut self, node: usize, append: LogAppend) {
        let incarnation = self.nodes[node].incarnation;
        if !self.store_up {
            return self.append_lost(node, incarnation, append.shard, append.number);
        }
        let lost = self.lost_share > 0.0 && self.rng.random_bool(self.lost_share);
        let event = Event::Append(node, incarnation, append, lost);
        self.schedule(STORE_DELAY_US, event);
    }

    /// Answers a read.
    pub(super) fn read_log(&mut self, node: usize, incarnation: u64, read: &LogRead) {
        let log = self.logs.shards.entry(read.shard).or_default();
        let end_offset = log.len() as u64;
        let first = (read.from_offset as usize).min(log.len());
        let page = LogPage::Records {
            records: log[first..].to_vec(),
            next_offset: end_offset,
            end_offset,
        };
        let input = Input::LogRead(read.shard, read.number, page);
        self.schedule(STORE_DELAY_US, Event::Input(node, incarnation, input));
    }

    /// Carries an append out, and answers it unless the answer is lost.
    pub(super) fn append_log(
        &mut self,
        node: usize,
        incarnation: u64,
        append: &LogAppend,
        lost: bool,
    ) {
        self.report.appends += 1;
        let log = self.logs.shards.entry(append.shard).or_default();
        let fits = log.len() as u64 == append.at_offset;
        if fits {
            log.extend(append.records.iter().cloned());
        }
        let answer = match fits {
            true => AppendAnswer::Appended { end_offset: log.len() as u64 },
            false => AppendAnswer::Conflict,
        };
        if lost {
            return self.append_lost(node, incarnation, append.shard, append.number);
        }
        let input = Input::Appended(append.shard, append.number, answer);
        self.schedule(STORE_DELAY_US, Event::Input(node, incarnation, input));
    }

    /// Lets an append run into its timeout.
    fn append_lost(
        &mut self,
        node: usize,
        incarnation: u64,
        shard: ShardId,
        ticket: LogCallNumber,
    ) {
        let input = Input::Appended(shard, ticket, AppendAnswer::Lost);
        self.schedule(STORE_TIMEOUT_US, Event::Input(node, incarnation, input));
    }
}
