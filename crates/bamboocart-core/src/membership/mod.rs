//! Who takes part: the instances of the system and the targets.
//!
//! The platform's list lags and may be missing, so it is merged with what heartbeats,
//! answers and probes show. Nothing here decides who owns a submission.

mod address;
mod assign;
mod beat;
mod list;
mod peers;
mod stop;
mod targets;

pub use self::assign::{choose_successor, user_of};
pub use self::beat::{
    BUDGET_BYTES_PER_S, DEAD_BEAT_MS, HEARTBEAT_BYTES, OTHER_BEAT_MS, OWN_BEAT_MS,
    own_beat_ms,
};
pub use self::list::{ListVerdict, Listing, Membership, STALE_MS};
pub use self::peers::{
    Change, ChangeKind, DEAD_MS, Heartbeat, KNOWN, PEERS, Peer, PeerInfo, PeerState,
    Peers, RETURN_MS, SUSPECT_MS,
};
pub use self::stop::{Member, StopSchedule, Turn};
pub use self::targets::{
    Leaving, PROBE_EVERY_MS, PROBES_PER_S, PROBES_PER_S_MAX, TARGETS, Target, TargetInfo,
    Targets,
};
