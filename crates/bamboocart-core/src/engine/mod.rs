//! The state machine of one instance.
//!
//! [`Engine::handle`] takes one [`Event`] and the current time and appends the
//! [`Effect`]s that the caller has to carry out. It combines the decisions of the other
//! modules.

mod account_appender;
mod admit;
mod answer;
mod claim;
mod configure;
mod dispatch;
mod drain;
mod effect;
mod ended;
mod event;
mod fleet;
mod forward;
mod group;
mod hedge;
mod lend;
mod names;
mod peers;
mod record;
mod status;
mod submit;

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;

use rand::SeedableRng;
use rand::rngs::SmallRng;
use slotmap::SlotMap;

use crate::account::AccountWriter;
use crate::config::{ConfigSet, LogPosition};
use crate::estimate::Estimator;
use crate::id::{
    ConfigVersion, DomainName, GroupName, Incarnation, InstanceName, StopPlanName,
    TargetName,
};
use crate::membership::{Membership, PeerInfo, StopSchedule};
use crate::ownership::{
    ClaimTable, Claimer, HandoverAssembly, Horizon, Owner, Registry, RegistryLimits,
    Stage, Successions, TicketIssuer,
};
use crate::placement::Policy;
use crate::quota::QuotaTable;
use crate::retry::SendBudget;
use crate::slots::PeerSlots;
use crate::target::{AttemptKey, TargetKey};
use crate::time::Timestamp;

pub use self::claim::CLAIM_STREAM;
pub use self::effect::{
    AnswerCost, Answered, Effect, LeaseOrder, Observation, ProbeOrder, Reply, SendOrder,
    Started, StartedAfter,
};
pub use self::event::{
    ClaimPage, Event, LeaseGrant, NewSubmission, ProbeAnswer, TaskSpec, WaiterId,
};
pub use self::status::{
    CustomerStatus, GroupStatus, InstanceState, PeerStatus, Status, TargetStatus,
};

use self::account_appender::AccountAppender;
use self::drain::Stop;
use self::fleet::Target;
use self::forward::{Pending, PendingKey};
use self::group::Group;
use self::names::{CustomerKey, Interner, KindKey};

use self::record::{AttemptState, Record};

/// The time between two runs of the periodic work.
const MAINTENANCE_INTERVAL_MS: u64 = 100;

/// The bound on the rows of learned run times.
const MAX_ESTIMATE_ROWS: usize = 65_536;

/// The settings of an instance, fixed for one run of the process.
#[derive(Debug, Clone)]
pub struct Setup {
    /// The name that peers, tickets and claims use for the instance.
    pub instance: InstanceName,
    /// The failure domain that the instance runs in.
    pub domain: DomainName,
    /// The run of the process, which tells it from earlier runs of the same instance.
    pub incarnation: Incarnation,
    /// The address at which peers connect, as IP and port.
    pub peer_address: Arc<str>,
    /// The addresses that receive heartbeats while no peer is known.
    pub seeds: Vec<Arc<str>>,
    /// The placement policy, which chooses a target for each task.
    pub policy: Policy,
    /// Whether queued tasks are offloaded to peers with free slots.
    pub lend: bool,
    /// Whether outlier ejection of failing targets is on.
    pub eject: bool,
    /// Whether stragglers are hedged.
    pub hedge: bool,
    /// The capacity of the queue of each target group, in tasks.
    pub queue_tasks: usize,
    /// The bounds on the registry of submissions.
    pub limits: RegistryLimits,
    /// How far ahead ranges of caller keys are claimed.
    pub claim_horizon: Horizon,
    /// The time between the end of readiness and the end of admission in a planned stop.
    pub lame_duck_ms: u64,
    /// The seed of the random number generator.
    pub seed: u64,
}

/// The state of one instance.
pub struct Engine {
    setup: Setup,
    /// The name and incarnation of this instance.
    me: Owner,
    config: Arc<ConfigSet>,
    /// When the configuration came into force, until its delay is reported.
    config_applied_at: Option<Timestamp>,
    config_version: ConfigVersion,
    /// How far this instance or a peer has read the configuration stream.
    log_position: Option<LogPosition>,
    /// When each stop plan came into force; missing if it is too long ago to matter.
    plans_since: BTreeMap<StopPlanName, Timestamp>,
    /// The schedule of the stop plans in force.
    stops: StopSchedule,
    /// The submissions that this instance owns, with the stage of its planned stop.
    ownership: Stage<Record>,
    issuer: TicketIssuer,
    /// The claims on ranges of caller keys that were read from the log.
    claims: ClaimTable,
    /// Decides when to append a claim.
    claimer: Claimer,
    /// Which instances have handed over to which successors.
    successions: Successions,
    /// The parts received so far of handovers to this instance.
    assembly: HandoverAssembly,
    /// The known instances and targets.
    membership: Membership,
    groups: BTreeMap<GroupName, Group>,
    /// The targets that this instance uses or has used.
    targets: SlotMap<TargetKey, Target>,
    /// The sends that have not ended.
    attempts: SlotMap<AttemptKey, AttemptState>,
    /// The messages to peers that wait for an answer.
    pending: SlotMap<PendingKey, Pending>,
    /// When the messages in `pending` time out.
    pending_until: BTreeSet<(Timestamp, PendingKey)>,
    /// The deadlines of unanswered submissions.
    deadlines: BTreeSet<(Timestamp, record::SubmissionKey)>,
    /// When sends become stragglers and may be hedged.
    hedges_due: BTreeSet<(Timestamp, AttemptKey)>,
    kinds: Interner<KindKey, crate::id::KindName>,
    customers: Interner<CustomerKey, crate::id::CustomerName>,
    /// The quota of each customer with its usage.
    quotas: QuotaTable,
    /// The learned run times.
    estimator: Estimator<KindKey>,
    retry_budget: SendBudget,
    hedge_budget: SendBudget,
    /// The keys of the targets in use, by name.
    target_names: HashMap<TargetName, TargetKey>,
    /// Whether the set of targets to use has to be computed anew.
    fleet_changed: bool,
    /// The orphans that answer probes; an orphan is a target whose failure domain has no
    /// serving instance.
    orphans: BTreeSet<TargetName>,
    /// The leases to return at the next renewal.
    lease_returns: Vec<(TargetKey, LeaseGrant)>,
    /// The free slots that peers have reported, for offloading tasks.
    peer_slots: PeerSlots,
    /// The peer addresses of the latest `PeersChanged`.
    linked_addresses: Vec<Arc<str>>,
    /// The progress of a planned stop.
    stop: Stop,
    /// Whether `Effect::Ready` was emitted.
    ready: bool,
    started_at: Timestamp,
    /// Since when the list and the claims were read and every listed peer was heard from.
    peers_known_at: Option<Timestamp>,
    /// Whether the stream of claims was read at least once.
    claims_seen: bool,
    /// When heartbeats were last sent to the seeds.
    seeds_contacted_at: Timestamp,
    /// When a configuration was last requested from a peer.
    config_fetched_at: Timestamp,
    account: AccountAppender,
    rng: SmallRng,
    /// When the periodic work was last done.
    maintained_at: Timestamp,
    /// The answers that were dropped because nothing waited for them any more.
    late_answers: u64,
}

impl Engine {
    /// Creates the state of an instance that has just started, at the time `now`.
    pub fn new(setup: Setup, now: Timestamp) -> Self {
        let me = Owner::new(setup.instance.clone(), setup.incarnation);
        let info = PeerInfo {
            name: setup.instance.clone(),
            incarnation: setup.incarnation,
            domain: setup.domain.clone(),
            address: setup.peer_address.clone(),
        };
        Self {
            ownership: Stage::Serving(Registry::new(me.clone(), setup.limits)),
            account: AccountAppender::new(AccountWriter::new(
                me.instance.clone(),
                me.incarnation,
            )),
            issuer: TicketIssuer::new(setup.domain.clone(), me.clone()),
            claimer: Claimer::new(me.clone(), setup.claim_horizon),
            assembly: HandoverAssembly::new(me.clone()),
            membership: Membership::new(info, now),
            rng: SmallRng::seed_from_u64(setup.seed),
            me,
            setup,
            config: Arc::default(),
            config_applied_at: None,
            config_version: ConfigVersion::default(),
            log_position: None,
            plans_since: BTreeMap::new(),
            stops: StopSchedule::default(),
            claims: ClaimTable::default(),
            successions: Successions::default(),
            groups: BTreeMap::new(),
            targets: SlotMap::with_key(),
            attempts: SlotMap::with_key(),
            pending: SlotMap::with_key(),
            pending_until: BTreeSet::new(),
            deadlines: BTreeSet::new(),
            hedges_due: BTreeSet::new(),
            kinds: Interner::default(),
            customers: Interner::default(),
            quotas: QuotaTable::default(),
            estimator: Estimator::new(MAX_ESTIMATE_ROWS),
            retry_budget: SendBudget::for_retries(),
            hedge_budget: SendBudget::for_hedges(),
            target_names: HashMap::new(),
            fleet_changed: true,
            orphans: BTreeSet::new(),
            lease_returns: vec![],
            peer_slots: PeerSlots::default(),
            linked_addresses: vec![],
            stop: Stop::default(),
            ready: false,
            started_at: now,
            peers_known_at: None,
            claims_seen: false,
            seeds_contacted_at: Timestamp::default(),
            config_fetched_at: Timestamp::default(),
            maintained_at: Timestamp::default(),
            late_answers: 0,
        }
    }

    /// Handles one event and appends the resulting actions to `effects`.
    pub fn handle(&mut self, now: Timestamp, event: Event, effects: &mut Vec<Effect>) {
        let before = effects.len();
        self.handle_event(now, event, effects);
        self.report_slots(now, &mut effects[before..]);
    }

    /// Handles one event, apart from the slot report on outgoing messages.
    fn handle_event(&mut self, now: Timestamp, event: Event, effects: &mut Vec<Effect>) {
        match event {
            Event::Submit { waiter, submission } => {
                self.submit(now, waiter.into(), submission, effects);
            }
            Event::IssueTickets { waiter, count } => {
                let tickets = self.issue_tickets(count);
                effects.push(Effect::Answer { waiter, reply: Reply::Tickets(tickets) });
            }
            Event::Query { waiter, id } => self.query(now, waiter.into(), id, effects),
            Event::Cancel { waiter, id } => self.cancel(now, waiter.into(), id, effects),
            Event::Status { waiter } => {
                let reply = Reply::Status(Box::new(self.status(now)));
                effects.push(Effect::Answer { waiter, reply });
            }
            Event::SendFinished { attempt, report } => {
                self.send_finished(now, attempt, report, effects);
            }
            Event::LeaseAnswered { target, grant } => {
                self.lease_answered(now, target, grant, effects);
            }
            Event::ListRead(list) => self.list_read(now, list, effects),
            Event::ListUnchanged { version, as_of_ms } => {
                if !self.membership.confirm_list(version, as_of_ms, now) {
                    effects.push(Effect::RereadList);
                }
            }
            Event::Probed(answer) => self.probe_answered(now, &answer, effects),
            Event::ConfigAccepted { version, set, published_at } => {
                self.config_published(now, version, set, published_at, effects);
            }
            Event::ConfigRead(position) => self.log_read(position),
            Event::Config { waiter } => {
                let (version, text) = (self.config_version, self.config.to_json());
                let reply = Reply::Config { version, text };
                effects.push(Effect::Answer { waiter, reply });
            }
            Event::ClaimsRead(page) => self.claims_read(&page, effects),
            Event::PeerMessage { from, envelope } => {
                self.peer_message(now, &from, envelope, effects);
            }
            Event::PeerUndelivered { correlation, certain } => {
                self.peer_undelivered(now, correlation, certain, effects);
            }
            Event::PeerDelivered { correlation } => {
                self.peer_delivered(now, correlation, effects);
            }
            Event::AccountAppended { number, confirmed } => {
                self.account_appended(now, number, confirmed, effects);
            }
            Event::TellPeer { to, message } => self.tell(&to, *message, effects),
            Event::Drain => self.drain(now, effects),
            Event::Tick => self.tick(now, effects),
        }
    }

    /// Returns when the next [`Event::Tick`] has something to do besides the periodic
    /// work, or `None` if nothing is scheduled.
    pub fn next_due(&self) -> Option<Timestamp> {
        let expiries = self.groups.values().filter_map(|group| group.queue.next_expiry());
        let deadline = self.deadlines.first().map(|&(at, _)| at);
        let pending = self.pending_until.first().map(|&(at, _)| at);
        let hedge = self.hedges_due.first().map(|&(at, _)| at);
        expiries.chain(deadline).chain(pending).chain(hedge).min()
    }

    /// Returns the version of the configuration in force, 0 if there is none.
    pub fn config_version(&self) -> ConfigVersion {
        self.config_version
    }

    /// Returns the configuration in force, which is empty before the first one.
    pub fn config(&self) -> &Arc<ConfigSet> {
        &self.config
    }

    /// Does the work whose time has come.
    fn tick(&mut self, now: Timestamp, effects: &mut Vec<Effect>) {
        self.expire_deadlines(now, effects);
        self.expire_pending(now, effects);
        self.send_hedges(now, effects);
        if now.ms_since(self.maintained_at) >= MAINTENANCE_INTERVAL_MS {
            self.maintained_at = now;
            self.maintain(now, effects);
        }
        self.dispatch_all(now, effects);
    }

    /// Does the periodic work that needs no exact time.
    fn maintain(&mut self, now: Timestamp, effects: &mut Vec<Effect>) {
        self.maintain_peers(now, effects);
        self.announce_ready(now, effects);
        self.apply_stops(now, effects);
        self.sync_targets(now);
        self.renew_leases(now, effects);
        self.probe_targets(now, effects);
        self.end_backoffs(now);
        self.claim(now, effects);
        self.append_account(now, effects);
        self.advance_drain(now, effects);
    }
}
