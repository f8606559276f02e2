//! The status of an instance, for operators.

use serde::{Deserialize, Serialize};

use crate::engine::Engine;
use crate::id::{
    ConfigVersion, CustomerName, DomainName, GroupName, Incarnation, InstanceName,
    TargetName,
};
use crate::membership::PeerState;
use crate::ownership::Stage;
use crate::time::Timestamp;

/// The status of an instance, which is also the body of `GET /v1/status`.
///
/// Fields that an older instance does not have default to 0 or empty, so that the command
/// line reads the status of old and new instances during a rolling replacement.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Status {
    /// The name of the instance.
    pub instance: InstanceName,
    /// The failure domain that the instance runs in.
    pub failure_domain: DomainName,
    /// The run of its process.
    pub incarnation: Incarnation,
    /// The stage between start and planned stop that the instance is in.
    pub state: InstanceState,
    /// The version of the configuration in force, 0 if there is none.
    pub config_version: ConfigVersion,
    /// The newest configuration version that a peer has reported, 0 if there is none.
    pub newest_peer_version: ConfigVersion,
    /// The other instances that this one knows.
    pub peers: Vec<PeerStatus>,
    /// The target groups, including ones that were removed while tasks were queued.
    pub groups: Vec<GroupStatus>,
    /// The targets that the instance uses, and retired ones with sends that have not
    /// ended.
    pub targets: Vec<TargetStatus>,
    /// The number of tasks queued in all target groups.
    pub queued: usize,
    /// The number of sends that have not ended.
    pub running: usize,
    /// The number of admitted submissions without an answer.
    pub open_submissions: usize,
    /// Whether the platform's instance list is out of date.
    pub list_is_stale: bool,
    /// The number of answers that were dropped because they were late or had crossed with
    /// another message.
    pub late_answers: u64,
    /// The customers of all configurations since the start of the process.
    #[serde(default)]
    pub customers: Vec<CustomerStatus>,
    /// The number of submissions in the registry, answered and refused ones included.
    #[serde(default)]
    pub registry_submissions: usize,
    /// The number of unexpired leases that the instance holds on workers.
    #[serde(default)]
    pub leases_held: usize,
    /// The time until the first of its claims on caller keys ends, 0 without a claim.
    #[serde(default)]
    pub claim_ahead_ms: u64,
    /// The number of account entries that are not known to be in the log.
    #[serde(default)]
    pub account_buffered: usize,
    /// The number of account entries that were dropped.
    #[serde(default)]
    pub account_dropped: u64,
}

/// The stage between start and planned stop that an instance is in.
#[derive(Debug, Copy, Clone, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum InstanceState {
    /// No configuration is in force yet.
    Starting,
    /// Submissions are admitted.
    Serving,
    /// A planned stop has begun.
    Draining,
    /// The registry was handed over to a successor.
    HandedOver,
}

/// The state of a peer as seen by the reporting instance.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct PeerStatus {
    /// The name of the peer.
    pub name: InstanceName,
    /// The failure domain that the peer runs in.
    pub failure_domain: DomainName,
    /// The last known run of its process.
    pub incarnation: Incarnation,
    /// Whether the peer seems to be alive.
    pub state: PeerState,
    /// Whether the peer is draining.
    pub leaving: bool,
    /// The configuration version that the peer reported last.
    pub config_version: ConfigVersion,
}

/// The status of a target group on one instance.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct GroupStatus {
    /// The name of the group.
    pub name: GroupName,
    /// The number of tasks queued for the group.
    pub queued: usize,
    /// The number of slots that the instance may use.
    pub slots: u32,
    /// The number of those slots that are free.
    pub free_slots: u32,
    /// The number of targets that are ejected.
    pub ejected: usize,
}

/// The usage of a customer on one instance.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct CustomerStatus {
    /// The name of the customer.
    pub name: CustomerName,
    /// The number of tasks that are admitted and unfinished.
    pub in_flight: u32,
}

/// The status of a target on one instance.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct TargetStatus {
    /// The name of the target.
    pub name: TargetName,
    /// The target group that the target belongs to.
    pub group: GroupName,
    /// The number of slots that the instance may use.
    pub slots: u32,
    /// The number of slots that the instance uses.
    pub in_use: u32,
    /// Whether nothing more is sent to the target.
    pub retired: bool,
}

impl Engine {
    /// Returns the status of the instance at the time `now`.
    pub fn status(&self, now: Timestamp) -> Status {
        let state = match &self.ownership {
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
            open_submissions: self.ownership.open(),
            list_is_stale: self.membership.is_stale(now),
            late_answers: self.late_answers,
            customers: self.customer_statuses(),
            registry_submissions: self.ownership.len(),
            leases_held: self.leases_held(now),
            claim_ahead_ms: self.claim_ahead_ms(now),
            account_buffered: self.account.buffered(),
            account_dropped: self.account.dropped(),
        }
    }

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

    /// Returns the status of the customers, including those that the configuration no
    /// longer has.
    fn customer_statuses(&self) -> Vec<CustomerStatus> {
        let describe = |name: &CustomerName| CustomerStatus {
            name: name.clone(),
            in_flight: self.quotas.in_flight(name),
        };
        self.customers.names().map(describe).collect()
    }

    /// Returns the time until the first of this instance's claims ends, 0 without a
    /// claim.
    fn claim_ahead_ms(&self, now: Timestamp) -> u64 {
        let until_ms = self.claims.held_until_ms(&self.me);
        until_ms.map_or(0, |until_ms| until_ms.saturating_sub(now.as_ms()))
    }

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
