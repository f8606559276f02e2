//! The state of an instance for operators.

use serde::{Deserialize, Serialize};

use crate::engine::Engine;
use crate::id::{
    ConfigVersion, CustomerName, DomainName, GroupName, Incarnation, InstanceName,
    TargetName,
};
use crate::membership::PeerState;
use crate::ownership::Stage;
use crate::time::Timestamp;

/// The state of an instance, which is also the body of `GET /v1/status`.
///
/// Fields that an older instance does not have count as 0 or empty, so that the command
/// line reads the status of old and new instances while they are replaced.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Status {
    /// The instance.
    pub instance: InstanceName,
    /// Its failure domain.
    pub failure_domain: DomainName,
    /// The run of its process.
    pub incarnation: Incarnation,
    /// How far it is in its life.
    pub state: InstanceState,
    /// The configuration in force.
    pub config_version: ConfigVersion,
    /// The newest configuration that a peer has reported.
    pub newest_peer_version: ConfigVersion,
    /// The other instances.
    pub peers: Vec<PeerStatus>,
    /// The target groups.
    pub groups: Vec<GroupStatus>,
    /// The targets that the instance uses.
    pub targets: Vec<TargetStatus>,
    /// The tasks that wait in all target groups.
    pub queued: usize,
    /// The sends to targets that have not ended.
    pub running: usize,
    /// The submissions without an answer.
    pub open_submissions: usize,
    /// Whether the platform's list is out of date.
    pub list_is_stale: bool,
    /// The answers that were late or crossed and dropped.
    pub late_answers: u64,
    /// The customers that the process has known.
    #[serde(default)]
    pub customers: Vec<CustomerStatus>,
    /// The submissions in the registry, answered and refused ones included.
    #[serde(default)]
    pub registry_submissions: usize,
    /// The leases that the instance holds on workers.
    #[serde(default)]
    pub leases_held: usize,
    /// The time until the first of its claims on caller keys ends; 0 without a claim.
    #[serde(default)]
    pub claim_ahead_ms: u64,
    /// The entries of the account that are not known to be in the log.
    #[serde(default)]
    pub account_buffered: usize,
    /// The entries of the account that were dropped.
    #[serde(default)]
    pub account_dropped: u64,
}

/// How far an instance is in its life.
#[derive(Debug, Copy, Clone, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum InstanceState {
    /// No configuration is in force yet.
    Starting,
    /// Submissions are admitted.
    Serving,
    /// A planned stop has begun.
    Draining,
    /// Everything was handed over.
    HandedOver,
}

/// The state of a peer as the instance sees it.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct PeerStatus {
    /// The peer.
    pub name: InstanceName,
    /// Its failure domain.
    pub failure_domain: DomainName,
    /// The run of its process.
    pub incarnation: Incarnation,
    /// How it seems to be.
    pub state: PeerState,
    /// Whether it is leaving.
    pub leaving: bool,
    /// Its configuration in force.
    pub config_version: ConfigVersion,
}

/// The state of a target group.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct GroupStatus {
    /// The group.
    pub name: GroupName,
    /// The tasks that wait.
    pub queued: usize,
    /// The slots that may be used.
    pub slots: u32,
    /// The slots that are free.
    pub free_slots: u32,
    /// The targets that are ejected.
    pub ejected: usize,
}

/// What a customer has on the instance.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct CustomerStatus {
    /// The customer.
    pub name: CustomerName,
    /// The tasks that are admitted and unfinished.
    pub in_flight: u32,
}

/// The state of a target.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct TargetStatus {
    /// The target.
    pub name: TargetName,
    /// Its group.
    pub group: GroupName,
    /// The slots that may be used.
    pub slots: u32,
    /// The slots that this instance uses.
    pub in_use: u32,
    /// Whether nothing more is sent.
    pub retired: bool,
}

impl Engine {
    /// Describes the state of the instance.
    pub fn status(&self, now: Timestamp) -> Status {
        let state = match &self.tenure {
            Stage::HandedOver(_) => InstanceState::HandedOver,
            _ if self.is_leaving() => InstanceState::Draining,
            _ if self.config_version.0 == 0 => InstanceState::Starting,
            _ => InstanceState::Serving,
        };
        Status {
            instance: self.me.instance.clone(),
            failure_domain: self.setup.domain.clone(),
            incarnation: self.me.incarnation,
            state,
            config_version: self.config_version,
            newest_peer_version: self.newest_peer_version(),
            peers: self.peer_statuses(),
            groups: self.group_statuses(),
            targets: self.target_statuses(),
            queued: self.groups.values().map(|group| group.queue.len()).sum(),
            running: self.attempts.len(),
            open_submissions: self.tenure.open(),
            list_is_stale: self.membership.is_stale(now),
            late_answers: self.late_answers,
            customers: self.customer_statuses(),
            registry_submissions: self.tenure.len(),
            leases_held: self.leases_held(now),
            claim_ahead_ms: self.claim_ahead_ms(now),
            account_buffered: self.ledger.buffered(),
            account_dropped: self.ledger.dropped(),
        }
    }

    /// Describes the peers.
    fn peer_statuses(&self) -> Vec<PeerStatus> {
        let describe = |peer: &crate::membership::Peer| PeerStatus {
            name: peer.info.name.clone(),
            failure_domain: peer.info.domain.clone(),
            incarnation: peer.info.incarnation,
            state: peer.state,
            leaving: peer.leaving,
            config_version: peer.config_version,
        };
        self.membership.peers.iter().map(describe).collect()
    }

    /// Describes the customers, with those that the configuration no longer has.
    fn customer_statuses(&self) -> Vec<CustomerStatus> {
        let describe = |name: &CustomerName| CustomerStatus {
            name: name.clone(),
            in_flight: self.quotas.in_flight(name),
        };
        self.customers.names().map(describe).collect()
    }

    /// Returns the time until the first of this instance's claims ends.
    fn claim_ahead_ms(&self, now: Timestamp) -> u64 {
        let until_ms = self.claims.held_until_ms(&self.me);
        until_ms.map_or(0, |until_ms| until_ms.saturating_sub(now.as_ms()))
    }

    /// Describes the target groups.
    fn group_statuses(&self) -> Vec<GroupStatus> {
        let describe = |(name, group): (&GroupName, &crate::engine::Group)| GroupStatus {
            name: name.clone(),
            queued: group.queue.len(),
            slots: self.own_slots(name),
            free_slots: group.placement.free_slots(),
            ejected: group.health.ejected(),
        };
        self.groups.iter().map(describe).collect()
    }

    /// Describes the targets.
    fn target_statuses(&self) -> Vec<TargetStatus> {
        let describe = |(key, target): (_, &crate::engine::Target)| {
            let group = self.groups.get(&target.group);
            TargetStatus {
                name: target.info.name.clone(),
                group: target.group.clone(),
                slots: target.slots,
                in_use: group.map_or(0, |group| group.placement.in_use(key)),
                retired: target.retired,
            }
        };
        self.targets.iter().map(describe).collect()
    }
}
