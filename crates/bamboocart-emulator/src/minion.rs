//! A simulated minion: runs under a lease, fencing tokens, and a list of unconfirmed
//! ends.

use std::collections::BTreeMap;

use bamboocart_jobs::timing::MAX_LEASE_MS;
use bamboocart_jobs::{
    ActiveRun, Checkpoint, EndReport, EndedRun, HoldReply, MAX_LISTED_ENDS, MinionId,
    Resources, RunEnd, RunRef, StartAnswer, TaskRef,
};

use crate::fault::Rejection;

/// The state of a minion.
#[derive(Debug)]
pub(crate) struct Minion {
    pub(crate) id: MinionId,
    pub(crate) domain: usize,
    /// The number of its rack.
    pub(crate) rack: usize,
    pub(crate) cpu_millicores: u32,
    /// The ratio of actual to nominal run time.
    pub(crate) pace: f64,
    /// An additional factor on run times, 1 unless a fault slows the minion down.
    pub(crate) slow_factor: f64,
    /// The factor on the run times of tasks that start while the minion is cold.
    pub(crate) cold_factor: f64,
    /// Until when it is cold, in virtual time.
    pub(crate) cold_until_us: u64,
    /// Whether tasks that start now never end.
    pub(crate) hangs: bool,
    /// Whether tasks that start now fail.
    pub(crate) fails: bool,
    /// The share of orders that it rejects.
    pub(crate) shed_share: f64,
    /// The answers with which it does so; unhealthy if there are none.
    pub(crate) rejections: Vec<Rejection>,
    /// The speed of its steady clock, in percent of real time.
    pub(crate) clock_percent: u64,
    pub(crate) up: bool,
    /// Whether it is down and soon back under its id.
    pub(crate) restarting: bool,
    /// The virtual time at which its process started.
    pub(crate) process_start_us: u64,
    /// The highest fencing token it has seen; orders with lower ones are rejected.
    fencing_token: u64,
    runs: BTreeMap<TaskRef, ActiveTask>,
    /// The highest run of each task that ended or was stopped here.
    ///
    /// This run and earlier ones of the task cannot start anymore.
    highest_closed: BTreeMap<TaskRef, u64>,
    ended: Vec<UnconfirmedEnd>,
    /// The number of the next entry in the list of ends.
    next_end: u64,
    /// The expiry of the lease by the minion's clock.
    lease_until_ms: u64,
}

/// An end of a run that the holder has not confirmed.
#[derive(Debug, Clone)]
struct UnconfirmedEnd {
    end: EndedRun,
    at_us: u64,
    /// Whether the lease has expired since, which makes the end void.
    lease_expired: bool,
}

/// An end of a run that the holder has confirmed.
#[derive(Debug, Clone)]
pub(crate) struct ConfirmedEnd {
    pub(crate) run: RunRef,
    pub(crate) end: RunEnd,
    pub(crate) at_us: u64,
}

/// An active run of a task.
#[derive(Debug, Copy, Clone)]
struct ActiveTask {
    run: u64,
    cpu_millicores: u32,
    started_us: u64,
    /// The run time on this minion, or `None` if the run hangs.
    run_us: Option<u64>,
}

impl ActiveTask {
    /// Returns the progress as a percentage, 0 for a run that hangs.
    fn percent(&self, now_us: u64) -> u8 {
        let Some(run_us) = self.run_us else { return 0 };
        ((now_us - self.started_us) * 100 / run_us.max(1)).min(100) as u8
    }
}

/// The result of a hold.
pub(crate) enum HoldOutcome {
    /// The minion has seen a higher fencing token.
    Fenced,
    /// The lease is extended, and these ends are confirmed.
    Accepted(Vec<ConfirmedEnd>),
}

impl Minion {
    /// Creates a minion without runs or a lease.
    pub(crate) fn new(
        id: MinionId,
        domain: usize,
        pace: f64,
        cpu_millicores: u32,
    ) -> Self {
        Self {
            id,
            domain,
            rack: 0,
            cpu_millicores,
            pace,
            slow_factor: 1.0,
            cold_factor: 1.0,
            cold_until_us: 0,
            hangs: false,
            fails: false,
            shed_share: 0.0,
            rejections: Vec::new(),
            clock_percent: 100,
            up: true,
            restarting: false,
            process_start_us: 0,
            fencing_token: 0,
            runs: BTreeMap::new(),
            highest_closed: BTreeMap::new(),
            ended: Vec::new(),
            next_end: 1,
            lease_until_ms: 0,
        }
    }

    /// Returns the factor on the run time of a task that starts now.
    pub(crate) fn run_factor(&self, now_us: u64) -> f64 {
        let cold_factor =
            if now_us < self.cold_until_us { self.cold_factor } else { 1.0 };
        self.pace * self.slow_factor * cold_factor
    }

    /// Returns the minion's steady clock.
    pub(crate) fn clock_ms(&self, now_us: u64) -> u64 {
        (now_us - self.process_start_us) / 1_000 * self.clock_percent / 100 + 1
    }

    /// Loses all state as in a crash, and returns the runs that were active.
    pub(crate) fn crash(&mut self) -> Vec<RunRef> {
        self.up = false;
        let runs = std::mem::take(&mut self.runs);
        self.highest_closed.clear();
        self.ended.clear();
        self.next_end = 1;
        self.fencing_token = 0;
        self.lease_until_ms = 0;
        runs.into_iter().map(|(task, run)| RunRef { task, run: run.run }).collect()
    }

    /// Starts a process, whose clock begins anew.
    pub(crate) fn start_process(&mut self, now_us: u64) {
        self.up = true;
        self.restarting = false;
        self.process_start_us = now_us;
    }

    /// Handles an order to start a run.
    pub(crate) fn start(
        &mut self,
        now_us: u64,
        fencing_token: u64,
        run: RunRef,
        (need, run_us): (Resources, Option<u64>),
        lease_until_ms: u64,
    ) -> StartAnswer {
        if fencing_token < self.fencing_token {
            return StartAnswer::Fenced;
        }
        self.fencing_token = fencing_token;
        self.mark_expired_ends(now_us);
        let used: u32 = self.runs.values().map(|run| run.cpu_millicores).sum();
        let known = self.runs.get(&run.task).map(|active| active.run);
        let closed = self.highest_closed.get(&run.task).copied().unwrap_or(0);
        let answer = match () {
            () if known == Some(run.run) => StartAnswer::Started,
            () if run.run <= closed.max(known.unwrap_or(0)) => StartAnswer::Outdated,
            () if lease_until_ms <= self.clock_ms(now_us) => return StartAnswer::Late,
            () if used + need.cpu_millicores > self.cpu_millicores => StartAnswer::NoRoom,
            () => {
                let active = ActiveTask {
                    run: run.run,
                    cpu_millicores: need.cpu_millicores,
                    started_us: now_us,
                    run_us,
                };
                self.runs.insert(run.task, active);
                StartAnswer::Started
            }
        };
        self.extend_lease(now_us, lease_until_ms);
        answer
    }

    /// Rejects an order to start a run, and returns whether that is allowed: the run must
    /// not be there or have ended there.
    ///
    /// A start that is rejected for lack of room extends the lease all the same.
    pub(crate) fn reject_start(
        &mut self,
        now_us: u64,
        fencing_token: u64,
        run: RunRef,
        lease_until_ms: Option<u64>,
    ) -> bool {
        let known = self.runs.get(&run.task).map_or(0, |active| active.run);
        let closed = self.highest_closed.get(&run.task).copied().unwrap_or(0);
        if fencing_token < self.fencing_token || run.run <= closed.max(known) {
            return false;
        }
        self.fencing_token = fencing_token;
        self.mark_expired_ends(now_us);
        if let Some(until_ms) = lease_until_ms {
            self.extend_lease(now_us, until_ms);
        }
        true
    }

    /// Extends the lease, by [`MAX_LEASE_MS`] from now at most; it never gets shorter.
    fn extend_lease(&mut self, now_us: u64, until_ms: u64) {
        let longest_ms = self.clock_ms(now_us) + MAX_LEASE_MS;
        self.lease_until_ms = self.lease_until_ms.max(until_ms.min(longest_ms));
    }

    /// Handles an order to stop a run, which cannot start any more if it is not active.
    ///
    /// Returns the answer and whether the run is active; the caller then ends it.
    pub(crate) fn stop(
        &mut self,
        fencing_token: u64,
        run: RunRef,
    ) -> (StartAnswer, bool) {
        if fencing_token < self.fencing_token {
            return (StartAnswer::Fenced, false);
        }
        self.fencing_token = fencing_token;
        let active = self.runs.get(&run.task).is_some_and(|active| active.run == run.run);
        if !active {
            let closed = self.highest_closed.entry(run.task).or_default();
            *closed = run.run.max(*closed);
        }
        (StartAnswer::Started, active)
    }

    /// Handles a hold, which extends the lease and confirms ends up to `last_seen`.
    pub(crate) fn hold(
        &mut self,
        now_us: u64,
        fencing_token: u64,
        lease_until_ms: Option<u64>,
        last_seen: u64,
    ) -> HoldOutcome {
        if fencing_token < self.fencing_token {
            return HoldOutcome::Fenced;
        }
        self.fencing_token = fencing_token;
        self.mark_expired_ends(now_us);
        if let Some(until) = lease_until_ms {
            self.extend_lease(now_us, until);
        }
        let confirmed = self.ended.iter();
        let confirmed =
            confirmed.filter(|it| it.end.number <= last_seen && !it.lease_expired);
        let confirmed = confirmed.map(|it| {
            let EndReport { run, end, .. } = it.end.report;
            ConfirmedEnd { run, end, at_us: it.at_us }
        });
        let confirmed = confirmed.collect();
        self.ended.retain(|it| it.end.number > last_seen);
        HoldOutcome::Accepted(confirmed)
    }

    /// Marks the listed ends as void if the lease has expired.
    fn mark_expired_ends(&mut self, now_us: u64) {
        if self.clock_ms(now_us) > self.lease_until_ms {
            self.ended.iter_mut().for_each(|it| it.lease_expired = true);
        }
    }

    /// Returns the lists of active runs and of the first unconfirmed ends, which answer a
    /// hold.
    pub(crate) fn hold_reply(&self, now_us: u64) -> HoldReply {
        let active = self.runs.iter().map(|(&task, active)| ActiveRun {
            run: RunRef { task, run: active.run },
            done_percent: active.percent(now_us),
            checkpoint: Checkpoint::default(),
        });
        let listed = self.ended.iter().take(MAX_LISTED_ENDS);
        HoldReply {
            incarnation: self.process_start_us + 1,
            clock_ms: self.clock_ms(now_us),
            active: active.collect(),
            ended: listed.map(|it| it.end.clone()).collect(),
        }
    }

    /// Returns whether an end waits to be confirmed.
    pub(crate) fn has_unconfirmed_ends(&self) -> bool {
        !self.ended.is_empty()
    }

    /// Ends a run, lists its end, and returns whether the run was active.
    pub(crate) fn end(&mut self, now_us: u64, run: RunRef, end: RunEnd) -> bool {
        let active = self.runs.get(&run.task).is_some_and(|active| active.run == run.run);
        if active {
            self.runs.remove(&run.task);
            self.highest_closed.insert(run.task, run.run);
            let checkpoint = Checkpoint::default();
            let report = EndReport { run, end, checkpoint };
            let end = EndedRun { number: self.next_end, report, lease_expired: false };
            self.ended.push(UnconfirmedEnd { end, at_us: now_us, lease_expired: false });
            self.next_end += 1;
        }
        active
    }

    /// Ends all runs as void if the lease has expired, and returns them.
    pub(crate) fn expire_lease(&mut self, now_us: u64) -> Vec<RunRef> {
        if self.clock_ms(now_us) < self.lease_until_ms {
            return Vec::new();
        }
        let runs = self.runs.iter();
        let expired: Vec<RunRef> =
            runs.map(|(&task, run)| RunRef { task, run: run.run }).collect();
        self.mark_expired_ends(now_us);
        for &run in &expired {
            self.end(now_us, run, RunEnd::Void);
            if let Some(last) = self.ended.last_mut() {
                last.end.lease_expired = true;
            }
        }
        expired
    }

    /// Returns the virtual time at which the lease expires, or `None` if nothing runs.
    pub(crate) fn lease_expires_at_us(&self) -> Option<u64> {
        let has_runs = !self.runs.is_empty();
        has_runs.then(|| {
            let lease_us = (self.lease_until_ms + 1) * 1_000 * 100 / self.clock_percent;
            self.process_start_us + lease_us
        })
    }
}
