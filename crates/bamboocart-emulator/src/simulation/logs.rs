//! The logs of stored jobs in the simulated store.

use std::collections::BTreeMap;

use bamboocart_jobs::{
    AppendAnswer, LogAppend, LogCallNumber, LogPage, LogRead, LogRecord, ShardId,
};
use rand::Rng;

use super::{Event, Input, Simulation};

/// The one-way network delay between an instance and the store.
const STORE_DELAY_US: u64 = 2_000;

/// The time after which an instance considers an unanswered call lost.
const STORE_TIMEOUT_US: u64 = 600_000;

/// The log of each shard.
#[derive(Debug, Default)]
pub(super) struct ShardLogs {
    shards: BTreeMap<ShardId, Vec<LogRecord>>,
}

impl Simulation<'_> {
    /// Sends a read to the store, or lets it time out if the store is unavailable. The store
    /// refuses it if it turns the instance away.
    pub(super) fn send_read(&mut self, instance: usize, read: LogRead) {
        let incarnation = self.instances[instance].incarnation;
        if !self.store_available {
            let input = Input::LogReadAnswered(read.shard, read.number, LogPage::Lost);
            return self
                .schedule(STORE_TIMEOUT_US, Event::Input(instance, incarnation, input));
        }
        if self.instances[instance].refused_by_store {
            let input = Input::LogReadAnswered(read.shard, read.number, LogPage::Lost);
            return self.answer_from_store(instance, incarnation, input);
        }
        self.schedule(STORE_DELAY_US, Event::ReadLog(instance, incarnation, read));
    }

    /// Sends an append to the store, or lets it time out if the store is unavailable. The
    /// store refuses it if it turns the instance away.
    pub(super) fn send_append(&mut self, instance: usize, append: LogAppend) {
        let incarnation = self.instances[instance].incarnation;
        if !self.store_available {
            return self.time_out_append(
                instance,
                incarnation,
                append.shard,
                append.number,
            );
        }
        if self.instances[instance].refused_by_store {
            let answer = AppendAnswer::Refused;
            let input = Input::LogAppendAnswered(append.shard, append.number, answer);
            return self.answer_from_store(instance, incarnation, input);
        }
        let lost =
            self.lost_append_share > 0.0 && self.rng.random_bool(self.lost_append_share);
        let event = Event::AppendLog(instance, incarnation, append, lost);
        self.schedule(STORE_DELAY_US, event);
    }

    /// Answers a read with all records from its offset on.
    pub(super) fn read_log(&mut self, instance: usize, incarnation: u64, read: &LogRead) {
        let log = self.logs.shards.entry(read.shard).or_default();
        let end_offset = log.len() as u64;
        let first = (read.from_offset as usize).min(log.len());
        let page = LogPage::Records {
            records: log[first..].to_vec(),
            next_offset: end_offset,
            end_offset,
        };
        let input = Input::LogReadAnswered(read.shard, read.number, page);
        self.schedule(STORE_DELAY_US, Event::Input(instance, incarnation, input));
    }

    /// Appends the records if the log ends at the expected offset, and answers the
    /// append.
    ///
    /// The append times out if its answer is lost.
    pub(super) fn append_log(
        &mut self,
        instance: usize,
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
            return self.time_out_append(
                instance,
                incarnation,
                append.shard,
                append.number,
            );
        }
        let input = Input::LogAppendAnswered(append.shard, append.number, answer);
        self.schedule(STORE_DELAY_US, Event::Input(instance, incarnation, input));
    }

    /// Answers a call to the store without carrying it out.
    fn answer_from_store(&mut self, instance: usize, incarnation: u64, input: Input) {
        let event = Event::Input(instance, incarnation, input);
        self.schedule(2 * STORE_DELAY_US, event);
    }

    /// Schedules the timeout of an append.
    fn time_out_append(
        &mut self,
        instance: usize,
        incarnation: u64,
        shard: ShardId,
        number: LogCallNumber,
    ) {
        let input = Input::LogAppendAnswered(shard, number, AppendAnswer::Lost);
        self.schedule(STORE_TIMEOUT_US, Event::Input(instance, incarnation, input));
    }
}
