//! The faults that a scenario injects.

use serde::Deserialize;

/// A fault that is injected at a given time and ends after a given duration.
#[derive(Debug, Clone, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case", deny_unknown_fields)]
pub enum Fault {
    /// Instances are killed and restart.
    Kill {
        /// The start, in milliseconds after clients begin to send jobs.
        at_ms: u64,
        /// How long they stay down, in milliseconds.
        for_ms: u64,
        /// The number of instances, chosen at random.
        count: usize,
    },
    /// Spare instances start for the first time and stay.
    AddInstances {
        /// The time, in milliseconds after clients begin to send jobs.
        at_ms: u64,
        /// The number of instances, chosen at random.
        count: usize,
    },
    /// Instances are killed at regular intervals, and each of them restarts.
    ///
    /// An instance that has just restarted may be killed again.
    KillSeries {
        /// The first kill, in milliseconds after clients begin to send jobs.
        at_ms: u64,
        /// How long each instance stays down, in milliseconds.
        for_ms: u64,
        /// The number of instances of each kill, chosen at random among those that are
        /// up.
        count: usize,
        /// The time from one kill to the next, in milliseconds.
        gap_ms: u64,
        /// The number of kills after the first one.
        again: u64,
    },
    /// Instances process nothing for a while and then continue, as a paused process does.
    #[serde(rename = "freeze")]
    Pause {
        /// The start, in milliseconds after clients begin to send jobs.
        at_ms: u64,
        /// The duration in milliseconds.
        for_ms: u64,
        /// The number of instances, chosen at random.
        count: usize,
    },
    /// The event loops of some instances stall at random and then handle the inputs that
    /// wait in their order, while their clocks go on.
    ///
    /// It stands for a process that gets no processor for tens of milliseconds to more
    /// than a second, because of its quota or because of other processes.
    StallingLoops {
        /// The start, in milliseconds after clients begin to send jobs.
        at_ms: u64,
        /// The duration in milliseconds.
        for_ms: u64,
        /// The number of instances, chosen at random.
        count: usize,
        /// The probability of a stall before an input of an instance without load, from 0
        /// to 1; it rises with the number of inputs that wait.
        share: f64,
        /// The longest stall in milliseconds.
        max_ms: u64,
    },
    /// The event loops of some instances take several times as long for each input.
    ///
    /// It stands for a process that shares its processor with others.
    SlowLoops {
        /// The start, in milliseconds after clients begin to send jobs.
        at_ms: u64,
        /// The duration in milliseconds.
        for_ms: u64,
        /// The number of instances, chosen at random.
        count: usize,
        /// The factor on the time that each input takes.
        factor: u64,
    },
    /// The network between a failure domain and the others is partitioned.
    ///
    /// The store stays reachable from all of them.
    #[serde(rename = "cut_domain")]
    PartitionDomain {
        /// The start, in milliseconds after clients begin to send jobs.
        at_ms: u64,
        /// The duration in milliseconds.
        for_ms: u64,
        /// The index of the failure domain.
        domain: usize,
    },
    /// Two failure domains can't reach each other, while all others reach both.
    CutBridge {
        /// The start, in milliseconds after clients begin to send jobs.
        at_ms: u64,
        /// The duration in milliseconds.
        for_ms: u64,
        /// The index of one failure domain.
        domain: usize,
        /// The index of the other one.
        other: usize,
    },
    /// Operators evacuate a failure domain, and take it back at the end.
    Evacuate {
        /// The start, in milliseconds after clients begin to send jobs.
        at_ms: u64,
        /// The duration in milliseconds.
        for_ms: u64,
        /// The index of the failure domain.
        domain: usize,
        /// The factor on the run times of tasks that start there in the first seconds after
        /// the end, as the minions have become cold; 1 if they are warm.
        cold_factor: f64,
    },
    /// The store does not answer, and no instance learns of group changes.
    #[serde(rename = "store_away")]
    StoreUnavailable {
        /// The start, in milliseconds after clients begin to send jobs.
        at_ms: u64,
        /// The duration in milliseconds.
        for_ms: u64,
    },
    /// The store turns some instances away and serves the others.
    StoreRefuses {
        /// The start, in milliseconds after clients begin to send jobs.
        at_ms: u64,
        /// The duration in milliseconds.
        for_ms: u64,
        /// The number of instances, chosen at random.
        count: usize,
    },
    /// Appends to logs are carried out, but their answers are lost.
    #[serde(rename = "lost_appends")]
    LostAppendAnswers {
        /// The start, in milliseconds after clients begin to send jobs.
        at_ms: u64,
        /// The duration in milliseconds.
        for_ms: u64,
        /// The share of appends whose answers are lost, from 0 to 1.
        share: f64,
    },
    /// The group assigns all members anew, as if each had joined again.
    Rebalance {
        /// The start, in milliseconds after clients begin to send jobs.
        at_ms: u64,
    },
    /// All links between instances are lost and open again soon.
    ResetLinks {
        /// The start, in milliseconds after clients begin to send jobs.
        at_ms: u64,
    },
    /// Links between instances stay open but drop all frames, and are then replaced.
    SilentLinks {
        /// The start, in milliseconds after clients begin to send jobs.
        at_ms: u64,
        /// The duration in milliseconds.
        for_ms: u64,
    },
    /// Links between instances drop a share of the frames, because their queues are full.
    ///
    /// The sender knows which link has dropped a frame, and sends nothing on it until the
    /// next time that links are opened.
    FullLinks {
        /// The start, in milliseconds after clients begin to send jobs.
        at_ms: u64,
        /// The duration in milliseconds.
        for_ms: u64,
        /// The share of frames that are dropped, from 0 to 1.
        share: f64,
    },
    /// Minions crash, lose their state, and restart.
    CrashMinions {
        /// The start, in milliseconds after clients begin to send jobs.
        at_ms: u64,
        /// How long they stay down, in milliseconds.
        for_ms: u64,
        /// The number of minions, chosen at random.
        count: usize,
    },
    /// Minions lose their state at regular intervals and are back soon under their ids.
    ///
    /// It stands for a minion whose process ends and starts again. Calls that are on
    /// their way reach the new process, which has seen no fencing token and no run, and
    /// whose clock begins anew.
    RestartMinions {
        /// The first restart, in milliseconds after clients begin to send jobs.
        at_ms: u64,
        /// The longest time that a minion stays down, in milliseconds.
        max_down_ms: u64,
        /// The number of minions of each restart, chosen at random.
        count: usize,
        /// The time from one restart to the next, in milliseconds.
        gap_ms: u64,
        /// The number of restarts after the first one.
        again: u64,
    },
    /// Tasks that start on some minions take several times as long.
    SlowMinions {
        /// The start, in milliseconds after clients begin to send jobs.
        at_ms: u64,
        /// The duration in milliseconds.
        for_ms: u64,
        /// The number of minions, chosen at random.
        count: usize,
        /// The factor on run times.
        factor: f64,
    },
    /// Tasks that start on some minions never end.
    HangingMinions {
        /// The start, in milliseconds after clients begin to send jobs.
        at_ms: u64,
        /// The duration in milliseconds.
        for_ms: u64,
        /// The number of minions, chosen at random.
        count: usize,
    },
    /// Tasks that start on some minions fail.
    FailingMinions {
        /// The start, in milliseconds after clients begin to send jobs.
        at_ms: u64,
        /// The duration in milliseconds.
        for_ms: u64,
        /// The number of minions, chosen at random.
        count: usize,
    },
    /// Orders to minions get no answer and are carried out seconds later.
    LateOrders {
        /// The start, in milliseconds after clients begin to send jobs.
        at_ms: u64,
        /// The duration in milliseconds.
        for_ms: u64,
        /// The share of orders that are late, from 0 to 1.
        share: f64,
    },
    /// Orders to minions are carried out in time, but their answers are lost.
    LostAnswers {
        /// The start, in milliseconds after clients begin to send jobs.
        at_ms: u64,
        /// The duration in milliseconds.
        for_ms: u64,
        /// The share of orders whose answers are lost, from 0 to 1.
        share: f64,
    },
    /// Calls to minions and their answers have additional delays, so that they overtake
    /// each other; an answer after the time limit of its caller is lost.
    ///
    /// It stands for calls on separate connections, whose packets are queued or lost and
    /// sent again.
    DelayedCalls {
        /// The start, in milliseconds after clients begin to send jobs.
        at_ms: u64,
        /// The duration in milliseconds.
        for_ms: u64,
        /// The share of calls and of answers with a long delay, from 0 to 1; the others
        /// have a delay of up to 3 ms.
        share: f64,
        /// The longest delay in milliseconds.
        max_ms: u64,
    },
    /// Some minions reject a share of the orders as unhealthy.
    SheddingMinions {
        /// The start, in milliseconds after clients begin to send jobs.
        at_ms: u64,
        /// The duration in milliseconds.
        for_ms: u64,
        /// The number of minions, chosen at random.
        count: usize,
        /// The share of orders that they reject, from 0 to 1.
        share: f64,
    },
    /// Some minions reject a share of the calls, each with a drawn answer.
    ///
    /// It stands for all answers of the protocol that a minion may give without carrying
    /// out the call. Room, late and ticket answer only starts of runs that are neither
    /// there nor have ended there; the others answer any call.
    RejectingMinions {
        /// The start, in milliseconds after clients begin to send jobs.
        at_ms: u64,
        /// The duration in milliseconds.
        for_ms: u64,
        /// The number of minions, chosen at random.
        count: usize,
        /// The share of calls that they reject, from 0 to 1.
        share: f64,
        /// The answers, one of which is drawn for each call.
        answers: Vec<Rejection>,
    },
    /// Connections of clients break at regular intervals while their instances are alive.
    ///
    /// It stands for resets between a client and its instance, which learns of it when it
    /// handles that input. The client sends its job again to another instance.
    BrokenConnections {
        /// The first time, in milliseconds after clients begin to send jobs.
        at_ms: u64,
        /// The share of open connections that break each time, from 0 to 1.
        share: f64,
        /// The time from one break to the next, in milliseconds.
        gap_ms: u64,
        /// The number of times after the first one.
        again: u64,
    },
    /// The links of all instances carry a part of their rate.
    SlowLinks {
        /// The start, in milliseconds after clients begin to send jobs.
        at_ms: u64,
        /// The duration in milliseconds.
        for_ms: u64,
        /// The part of the rate that is left, from 0 to 1.
        factor: f64,
    },
    /// Clients send more jobs.
    Burst {
        /// The start, in milliseconds after clients begin to send jobs.
        at_ms: u64,
        /// The duration in milliseconds.
        for_ms: u64,
        /// The factor on the rates of jobs.
        factor: f64,
    },
}

/// An answer with which a minion rejects a call.
#[derive(Debug, Copy, Clone, Eq, PartialEq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Rejection {
    /// The minion lacks room; the start extends the lease all the same.
    Room,
    /// The lease of the start has expired.
    Late,
    /// The ticket of the start is not valid.
    Ticket,
    /// The minion is not healthy.
    Unhealthy,
    /// The call names another incarnation.
    WrongIncarnation,
    /// The start or stop cannot be read.
    Malformed,
}

impl Fault {
    /// Returns the times at which the fault is injected, in milliseconds after clients
    /// begin to send jobs.
    pub(crate) fn start_times_ms(&self) -> impl Iterator<Item = u64> {
        let (gap_ms, again) = match *self {
            Self::KillSeries { gap_ms, again, .. }
            | Self::RestartMinions { gap_ms, again, .. }
            | Self::BrokenConnections { gap_ms, again, .. } => (gap_ms, again),
            _ => (0, 0),
        };
        let first_ms = self.first_start_ms();
        (0..=again).map(move |number| first_ms + number * gap_ms)
    }

    /// Returns the first time at which the fault is injected, in milliseconds after
    /// clients begin to send jobs.
    fn first_start_ms(&self) -> u64 {
        match *self {
            Self::Kill { at_ms, .. }
            | Self::AddInstances { at_ms, .. }
            | Self::KillSeries { at_ms, .. }
            | Self::Pause { at_ms, .. }
            | Self::StallingLoops { at_ms, .. }
            | Self::SlowLoops { at_ms, .. }
            | Self::PartitionDomain { at_ms, .. }
            | Self::CutBridge { at_ms, .. }
            | Self::Evacuate { at_ms, .. }
            | Self::StoreUnavailable { at_ms, .. }
            | Self::StoreRefuses { at_ms, .. }
            | Self::LostAppendAnswers { at_ms, .. }
            | Self::Rebalance { at_ms }
            | Self::ResetLinks { at_ms }
            | Self::SilentLinks { at_ms, .. }
            | Self::FullLinks { at_ms, .. }
            | Self::CrashMinions { at_ms, .. }
            | Self::RestartMinions { at_ms, .. }
            | Self::SlowMinions { at_ms, .. }
            | Self::HangingMinions { at_ms, .. }
            | Self::FailingMinions { at_ms, .. }
            | Self::LateOrders { at_ms, .. }
            | Self::LostAnswers { at_ms, .. }
            | Self::DelayedCalls { at_ms, .. }
            | Self::SheddingMinions { at_ms, .. }
            | Self::RejectingMinions { at_ms, .. }
            | Self::BrokenConnections { at_ms, .. }
            | Self::SlowLinks { at_ms, .. }
            | Self::Burst { at_ms, .. } => at_ms,
        }
    }
}
