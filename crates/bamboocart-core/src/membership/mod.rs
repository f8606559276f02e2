//! The membership of the system: its instances and targets.
//!
//! The platform's list lags and may be unavailable, so it is merged with the evidence
//! from heartbeats, answers and probes. Nothing here decides who owns a submission.

mod address;
mod assign;
mod heartbeat;
mod list;
mod peers;
mod stop;
mod targets;

pub use self::assign::{assigned_instance, choose_successor};
pub use self::heartbeat::{
    CONTROL_BUDGET_BYTES_PER_S, CROSS_DOMAIN_HEARTBEAT_MS, DEAD_PEER_HEARTBEAT_MS,
    HEARTBEAT_BYTES, SAME_DOMAIN_HEARTBEAT_MS, same_domain_heartbeat_ms,
};
pub use self::list::{LIST_STALE_MS, ListVerdict, MemberList, Membership};
pub use self::peers::{
    DEAD_MS, Heartbeat, MAX_KNOWN_PEERS, MAX_PEERS, Peer, PeerChange, PeerChangeKind,
    PeerInfo, PeerState, Peers, RETURN_MS, SUSPECT_MS,
};
pub use self::stop::{Member, ScheduledStop, StopSchedule};
pub use self::targets::{
    LeavingSource, MAX_PROBES_PER_S, MAX_TARGETS, MIN_PROBES_PER_S, PROBE_INTERVAL_MS,
    Target, TargetInfo, Targets,
};
