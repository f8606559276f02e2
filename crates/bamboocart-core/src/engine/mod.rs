//! The state machine of one instance, which joins the decisions of the other modules.

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
mod ledger;
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

use self::drain::Stop;
use self::fleet::Target;
use self::forward::{Pending, PendingKey};
use self::group::Group;
use self::ledger::Ledger;
use self::names::{CustomerKey, Interner, KindKey};

use self::record::{AttemptState, Record};

/// The time between two rounds of periodic work.
const ROUND_MS: u64 = 100;

/// The bound on rows of learned run times.
const ESTIMATE_ROWS: usize = 65_536;

/// What an instance is told by its settings.
#[derive(Debug, Clone)]
pub struct Setup {
    /// The instance's name.
    pub instance: InstanceName,
    /// The instance's failure domain.
    pub domain: DomainName,
    /// The run of the process.
    pub incarnation: Incarnation,
    /// The address for links between instances, as IP and port.
    pub peer_address: Arc<str>,
    /// Addresses of peers to greet before a list is known.
    pub seeds: Vec<Arc<str>>,
    /// How targets are chosen.
    pub policy: Policy,
    /// Whether tasks are offered to peers with free slots.
    pub lend: bool,
    /// Whether failing targets are ejected.
    pub eject: bool,
    /// Whether hedges are sent.
    pub hedge: bool,
    /// The largest number of queued tasks.
    pub queue_tasks: usize,
    /// The bounds of the registry.
    pub limits: RegistryLimits,
    /// How far ahead ranges of caller keys are claimed.
    pub claim_horizon: Horizon,
    /// The time between the end of readiness and the end of admission at a stop.
    pub lame_duck_ms: u64,
    /// The seed of random choices.
    pub seed: u64,
}

/// The state of one instance.
pub struct Engine {
    /// The settings.
    setup: Setup,
    /// Who this instance is.
    me: Owner,
    /// The configuration in force.
    config: Arc<ConfigSet>,
    /// When it came into force, until its delay is reported.
    delay_from: Option<Timestamp>,
    /// The version of the configuration in force.
    config_version: ConfigVersion,
    /// How far this instance or a peer has read the stream of configurations.
    log_position: Option<LogPosition>,
    /// Since when each stop plan is in force; none if it began too long ago to matter.
    plans_since: BTreeMap<StopPlanName, Timestamp>,
    /// The turns of the stop plans in force.
    stops: StopSchedule,
    /// The submissions that this instance owns.
    tenure: Stage<Record>,
    /// Issues tickets.
    issuer: TicketIssuer,
    /// The claims on caller keys.
    claims: ClaimTable,
    /// Decides when to claim.
    claimer: Claimer,
    /// The handovers of other instances.
    successions: Successions,
    /// The parts of handovers to this instance.
    assembly: HandoverAssembly,
    /// The other instances and the targets as listed.
    membership: Membership,
    /// The target groups.
    groups: BTreeMap<GroupName, Group>,
    /// The targets that this instance uses or has used.
    targets: SlotMap<TargetKey, Target>,
    /// The sends that have not ended.
    attempts: SlotMap<AttemptKey, AttemptState>,
    /// The messages to peers that wait for an answer.
    pending: SlotMap<PendingKey, Pending>,
    /// The times at which unanswered messages are given up.
    pending_until: BTreeSet<(Timestamp, PendingKey)>,
    /// The deadlines of unanswered submissions.
    deadlines: BTreeSet<(Timestamp, record::SubmissionKey)>,
    /// The times at which a straggler may be hedged.
    hedges_due: BTreeSet<(Timestamp, AttemptKey)>,
    /// The request kinds by key.
    kinds: Interner<KindKey, crate::id::KindName>,
    /// The customers by key.
    customers: Interner<CustomerKey, crate::id::CustomerName>,
    /// The customers' limits.
    quotas: QuotaTable,
    /// The learned run times.
    estimator: Estimator<KindKey>,
    /// The budget of retries.
    retries: SendBudget,
    /// The budget of hedges.
    hedges: SendBudget,
    /// The used targets by name.
    target_names: HashMap<TargetName, TargetKey>,
    /// Whether the used targets may have to change.
    fleet_changed: bool,
    /// The targets without an instance in their failure domain that answer probes.
    orphans: BTreeSet<TargetName>,
    /// The leases that are to be returned.
    returns: Vec<(TargetKey, LeaseGrant)>,
    /// What peers can run for this instance.
    peer_slots: PeerSlots,
    /// The addresses that were last given to the links.
    linked: Vec<Arc<str>>,
    /// How far a planned stop has come.
    stop: Stop,
    /// Whether the instance was announced as ready.
    ready: bool,
    /// When the instance started.
    started_at: Timestamp,
    /// Since when every peer that the list names was heard.
    acquainted_at: Option<Timestamp>,
    /// Whether the stream of claims was read once.
    claims_seen: bool,
    /// When the seeds were greeted last.
    greeted_at: Timestamp,
    /// When a configuration was asked for last.
    fetched_at: Timestamp,
    /// The account.
    ledger: Ledger,
    /// The source of random choices.
    rng: SmallRng,
    /// When periodic work was done last.
    round_at: Timestamp,
    /// The number of answers that were late or crossed and dropped.
    late_answers: u64,
}

impl Engine {
    /// Creates the state of an instance that has just started.
    pub fn new(setup: Setup, now: Timestamp) -> Self {
        let me = Owner::new(setup.instance.clone(), setup.incarnation);
        let info = PeerInfo {
            name: setup.instance.clone(),
            incarnation: setup.incarnation,
            domain: setup.domain.clone(),
            address: setup.peer_address.clone(),
        };
        Self {
            tenure: Stage::Serving(Registry::new(me.clone(), setup.limits)),
            ledger: Ledger::new(AccountWriter::new(me.instance.clone(), me.incarnation)),
            issuer: TicketIssuer::new(setup.domain.clone(), me.clone()),
            claimer: Claimer::new(me.clone(), setup.claim_horizon),
            assembly: HandoverAssembly::new(me.clone()),
            membership: Membership::new(info, now),
            rng: SmallRng::seed_from_u64(setup.seed),
            me,
            setup,
            config: Arc::default(),
            delay_from: None,
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
            estimator: Estimator::new(ESTIMATE_ROWS),
            retries: SendBudget::for_retries(),
            hedges: SendBudget::for_hedges(),
            target_names: HashMap::new(),
            fleet_changed: true,
            orphans: BTreeSet::new(),
            returns: vec![],
            peer_slots: PeerSlots::default(),
            linked: vec![],
            stop: Stop::default(),
            ready: false,
            started_at: now,
            acquainted_at: None,
            claims_seen: false,
            greeted_at: Timestamp::default(),
            fetched_at: Timestamp::default(),
            round_at: Timestamp::default(),
            late_answers: 0,
        }
    }

    /// Takes in one event and adds what has to be done to `effects`.
    pub fn handle(&mut self, now: Timestamp, event: Event, effects: &mut Vec<Effect>) {
        let before = effects.len();
        self.take_in(now, event, effects);
        self.report_slots(now, &mut effects[before..]);
    }

    /// Takes in one event.
    fn take_in(&mut self, now: Timestamp, event: Event, effects: &mut Vec<Effect>) {
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
            Event::ListRead(list) => self.listed(now, list, effects),
            Event::ListUnchanged { version, as_of_ms } => {
                if !self.membership.confirm_list(version, as_of_ms, now) {
                    effects.push(Effect::RereadList);
                }
            }
            Event::Probed(answer) => self.probed(now, &answer, effects),
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

    /// Returns when the next `Tick` has something to do, besides the periodic work.
    pub fn next_due(&self) -> Option<Timestamp> {
        let expiries = self.groups.values().filter_map(|group| group.queue.next_expiry());
        let deadline = self.deadlines.first().map(|&(at, _)| at);
        let pending = self.pending_until.first().map(|&(at, _)| at);
        let hedge = self.hedges_due.first().map(|&(at, _)| at);
        expiries.chain(deadline).chain(pending).chain(hedge).min()
    }

    /// Returns the version of the configuration in force.
    pub fn config_version(&self) -> ConfigVersion {
        self.config_version
    }

    /// Returns the configuration in force.
    pub fn config(&self) -> &Arc<ConfigSet> {
        &self.config
    }

    /// Does what is due by time.
    fn tick(&mut self, now: Timestamp, effects: &mut Vec<Effect>) {
        self.expire_deadlines(now, effects);
        self.expire_pending(now, effects);
        self.send_hedges(now, effects);
        if now.ms_since(self.round_at) >= ROUND_MS {
            self.round_at = now;
            self.round(now, effects);
        }
        self.dispatch_all(now, effects);
    }

    /// Does the periodic work that needs no exact time.
    fn round(&mut self, now: Timestamp, effects: &mut Vec<Effect>) {
        self.peers_round(now, effects);
        self.announce_ready(now, effects);
        self.apply_stops(now, effects);
        self.sync_targets(now);
        self.renew_leases(now, effects);
        self.probe_targets(now, effects);
        self.end_backoffs(now);
        self.claim(now, effects);
        self.append_account(now, effects);
        self.drain_round(now, effects);
    }
}
