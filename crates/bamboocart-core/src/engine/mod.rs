//! The state machine of one instance, which joins the decisions of the other modules.

mod dispatch;
mod effect;
mod event;
mod fleet;
mod record;
mod submit;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap, VecDeque};
use std::sync::Arc;

use slotmap::SlotMap;

use crate::config::ConfigSet;
use crate::id::{
    ConfigVersion, DomainName, GroupName, Incarnation, InstanceName, SubmissionId, Ticket,
};
use crate::target::{AttemptKey, TargetKey};
use crate::time::Timestamp;

pub use self::effect::{Effect, LeaseOrder, Reply, SendOrder};
pub use self::event::{
    Event, LeaseGrant, ListedTarget, NewSubmission, TaskSpec, WaiterId,
};

use self::fleet::Target;
use self::record::{AttemptState, Record, SubmissionKey};

/// What an instance knows about itself from its settings.
#[derive(Debug, Clone)]
pub struct Identity {
    /// The instance's name.
    pub instance: InstanceName,
    /// The instance's failure domain.
    pub domain: DomainName,
    /// The run of the process.
    pub incarnation: Incarnation,
}

/// The state of one instance.
pub struct Engine {
    /// Who this instance is.
    identity: Identity,
    /// The configuration in force.
    config: Arc<ConfigSet>,
    /// The version of the configuration in force.
    config_version: ConfigVersion,
    /// The submissions that this incarnation owns.
    records: SlotMap<SubmissionKey, Record>,
    /// The submissions by id.
    index: HashMap<SubmissionId, SubmissionKey>,
    /// The tasks that wait for a slot.
    queues: BTreeMap<GroupName, VecDeque<QueuedTask>>,
    /// The known targets.
    targets: SlotMap<TargetKey, Target>,
    /// The sends that have not ended.
    attempts: SlotMap<AttemptKey, AttemptState>,
    /// The deadlines of unanswered submissions.
    deadlines: BinaryHeap<Reverse<(Timestamp, SubmissionKey)>>,
    /// The sequence of the next ticket.
    next_ticket: u64,
}

/// A task that waits for a slot.
#[derive(Debug, Copy, Clone)]
struct QueuedTask {
    /// The submission.
    submission: SubmissionKey,
    /// The position of the task in its submission.
    task: usize,
}

impl Engine {
    /// Creates the state of an instance that has just started.
    pub fn new(identity: Identity) -> Self {
        Self {
            identity,
            config: Arc::default(),
            config_version: ConfigVersion::default(),
            records: SlotMap::with_key(),
            index: HashMap::new(),
            queues: BTreeMap::new(),
            targets: SlotMap::with_key(),
            attempts: SlotMap::with_key(),
            deadlines: BinaryHeap::new(),
            next_ticket: 1,
        }
    }

    /// Takes in one event and adds what has to be done to `effects`.
    pub fn handle(&mut self, now: Timestamp, event: Event, effects: &mut Vec<Effect>) {
        match event {
            Event::Submit { waiter, submission } => {
                self.submit(now, waiter, submission, effects);
            }
            Event::IssueTickets { waiter, count } => {
                let tickets = self.issue_tickets(count);
                effects.push(Effect::Answer { waiter, reply: Reply::Tickets(tickets) });
            }
            Event::Query { waiter, id } => self.query(waiter, &id, effects),
            Event::Cancel { waiter, id } => self.cancel(now, waiter, &id, effects),
            Event::SendFinished { attempt, report } => {
                self.send_finished(now, attempt, report, effects);
            }
            Event::LeaseAnswered { target, grant } => {
                self.lease_answered(now, target, grant, effects);
            }
            Event::Listed(targets) => self.listed(now, targets, effects),
            Event::ConfigAccepted { version, set } => {
                self.config_accepted(now, version, set, effects);
            }
            Event::Tick => self.tick(now, effects),
        }
    }

    /// Returns when the next `Tick` is needed at the latest, if a deadline is pending.
    pub fn next_deadline(&self) -> Option<Timestamp> {
        self.deadlines.peek().map(|Reverse((at, _))| *at)
    }

    /// Returns the version of the configuration in force.
    pub fn config_version(&self) -> ConfigVersion {
        self.config_version
    }

    /// Issues tickets of this incarnation.
    fn issue_tickets(&mut self, count: u16) -> Vec<SubmissionId> {
        (0..count).map(|_| SubmissionId::Ticket(self.issue_ticket())).collect()
    }

    /// Issues one ticket of this incarnation.
    fn issue_ticket(&mut self) -> Ticket {
        let sequence = self.next_ticket;
        self.next_ticket += 1;
        Ticket {
            domain: self.identity.domain.clone(),
            instance: self.identity.instance.clone(),
            incarnation: self.identity.incarnation,
            sequence,
        }
    }

    /// Takes a newer configuration into force; an older one is ignored.
    fn config_accepted(
        &mut self,
        now: Timestamp,
        version: ConfigVersion,
        set: Arc<ConfigSet>,
        effects: &mut Vec<Effect>,
    ) {
        if version <= self.config_version {
            return;
        }
        self.config = set;
        self.config_version = version;
        self.dispatch_all(now, effects);
    }

    /// Does what is due by time.
    fn tick(&mut self, now: Timestamp, effects: &mut Vec<Effect>) {
        self.expire(now, effects);
        self.renew_leases(now, effects);
        self.dispatch_all(now, effects);
    }
}
