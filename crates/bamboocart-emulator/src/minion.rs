//! An emulated minion: runs under leases, fencing tokens, a list of ends.

use std::collections::BTreeMap;

use bamboocart_jobs::{
    ActiveRun, Checkpoint, EndReport, EndedRun, HoldReply, MinionId, Resources, RunEnd,
    RunRef, StartAnswer, TaskRef,
};

/// A minion.
#[derive(Debug)]
pub(crate) struct Minion {
    pub(crate) id: MinionId,
    pub(crate) domain: usize,
    pub(crate) cpu_millicores: u32,
    /// The run time over the nominal one.
    pub(crate) pace: f64,
    /// A factor on run times while it is slow.
    pub(crate) slow_factor: f64,
    pub(crate) hangs: bool,
    pub(crate) fails: bool,
    pub(crate) up: bool,
    /// The start of its process in virtual time.
    pub(crate) process_start_us: u64,
    /// The highest fencing token that it has seen.
    fencing_token: u64,
    runs: BTreeMap<TaskRef, ActiveTask>,
    /// The highest run of each task that ended or was stopped here.
    highest_closed: BTreeMap<TaskRef, u64>,
    ended: Vec<UnconfirmedEnd>,
    next_end: u64,
    /// The end of the lease on its clock.
    lease_until_ms: u64,
}

/// An end that was not taken note of.
#[derive(Debug, Clone)]
struct UnconfirmedEnd {
    end: EndedRun,
    at_us: u64,
    /// Whether the lease has lapsed since, which makes the end count for nothing.
    lease_expired: bool,
}

/// An end that was taken note of.
#[derive(Debug, Clone)]
pub(crate) struct ConfirmedEnd {
    pub(crate) run: RunRef,
    pub(crate) end: RunEnd,
    pub(crate) at_us: u64,
}

/// A task that runs.
#[derive(Debug, Copy, Clone)]
struct ActiveTask {
    run: u64,
    cpu_millicores: u32,
    started_us: u64,
    /// Its run time here; none if it stands still.
    run_us: Option<u64>,
}

impl ActiveTask {
    /// Returns the share of the work that is done.
    fn percent(&self, now_us: u64) -> u8 {
        let Some(run_us) = self.run_us else { return 0 };
        ((now_us - self.started_us) * 100 / run_us.max(1)).min(100) as u8
    }
}

/// What a minion says to a hold.
pub(crate) enum HoldOutcome {
    Fenced,
    /// These ends are taken note of.
    Accepted(Vec<ConfirmedEnd>),
}

impl Minion {
    pub(crate) fn new(
        id: MinionId,
        domain: usize,
        pace: f64,
        cpu_millicores: u32,
    ) -> Self {
        Self {
            id,
            domain,
            cpu_millicores,
            pace,
            slow_factor: 1.0,
            hangs: false,
            fails: false,
            up: true,
            process_start_us: 0,
            fencing_token: 0,
            runs: BTreeMap::new(),
            highest_closed: BTreeMap::new(),
            ended: Vec::new(),
            next_end: 1,
            lease_until_ms: 0,
        }
    }

    /// Returns its steady clock, which runs 1 % slow.
    pub(crate) fn clock_ms(&self, now_us: u64) -> u64 {
        (now_us - self.process_start_us) / 1_000 * 99 / 100 + 1
    }

    /// Forgets everything, as a crash does, and returns what ran.
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

    /// Takes a start.
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
        self.lease_until_ms = self.lease_until_ms.max(lease_until_ms);
        answer
    }

    /// Takes a stop, and returns whether it was accepted and whether the run was active.
    pub(crate) fn stop(
        &mut self,
        now_us: u64,
        fencing_token: u64,
        run: RunRef,
    ) -> (StartAnswer, bool) {
        if fencing_token < self.fencing_token {
            return (StartAnswer::Fenced, false);
        }
        self.fencing_token = fencing_token;
        let active = self.runs.get(&run.task).is_some_and(|active| active.run == run.run);
        if active {
            self.end(now_us, run, RunEnd::Void);
        } else {
            let closed = self.highest_closed.entry(run.task).or_default();
            *closed = run.run.max(*closed);
        }
        (StartAnswer::Started, active)
    }

    /// Takes a hold.
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
            self.lease_until_ms = self.lease_until_ms.max(until);
        }
        let noted = self.ended.iter();
        let noted = noted.filter(|it| it.end.number <= last_seen && !it.lease_expired);
        let noted = noted.map(|it| {
            let EndReport { run, end, .. } = it.end.report;
            ConfirmedEnd { run, end, at_us: it.at_us }
        });
        let noted = noted.collect();
        self.ended.retain(|it| it.end.number > last_seen);
        HoldOutcome::Accepted(noted)
    }

    /// Notes that the lease has lapsed, if it has.
    fn mark_expired_ends(&mut self, now_us: u64) {
        if self.clock_ms(now_us) > self.lease_until_ms {
            self.ended.iter_mut().for_each(|it| it.lease_expired = true);
        }
    }

    /// Returns both lists.
    pub(crate) fn hold_reply(&self, now_us: u64) -> HoldReply {
        let active = self.runs.iter().map(|(&task, active)| ActiveRun {
            run: RunRef { task, run: active.run },
            done_percent: active.percent(now_us),
            checkpoint: Checkpoint::default(),
        });
        HoldReply {
            incarnation: self.process_start_us + 1,
            clock_ms: self.clock_ms(now_us),
            active: active.collect(),
            ended: self.ended.iter().map(|it| it.end.clone()).collect(),
        }
    }

    /// Returns whether an end waits to be taken note of.
    pub(crate) fn has_unconfirmed_ends(&self) -> bool {
        !self.ended.is_empty()
    }

    /// Ends a run, and returns whether it was active.
    pub(crate) fn end(&mut self, now_us: u64, run: RunRef, end: RunEnd) -> bool {
        let active = self.runs.get(&run.task).is_some_and(|active| active.run == run.run);
        if active {
            self.runs.remove(&run.task);
            self.highest_closed.insert(run.task, run.run);
            let checkpoint = Checkpoint::default();
            let report = EndReport { run, end, checkpoint };
            let end = EndedRun { number: self.next_end, report };
            self.ended.push(UnconfirmedEnd { end, at_us: now_us, lease_expired: false });
            self.next_end += 1;
        }
        active
    }

    /// Ends everything if the lease has lapsed, and returns what ended.
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
        }
        expired
    }

    /// Returns when the lease lapses, if anything runs.
    pub(crate) fn lease_expires_at_us(&self) -> Option<u64> {
        let left = !self.runs.is_empty();
        left.then(|| self.process_start_us + (self.lease_until_ms + 1) * 1_000 * 100 / 99)
    }
}
