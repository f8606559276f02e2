//! The time spans on which the safety of the engine rests, in milliseconds.
//!
//! A job may come again at another instance 1,300 ms after its first connection broke. Runs
//! of the first owner have to be gone by then, even if their holder stops responding too:
//! `OWNER_SILENCE_MS` + `LEASE_MS` on a clock that is 2 % slow + the time of a stop.

/// How long a lease lasts from the moment it is ordered, on the minion's clock.
pub const LEASE_MS: u64 = 600;

/// The longest lease that minions grant.
pub const MAX_LEASE_MS: u64 = 1_000;

/// How long a hold waits for a run to end before it returns and is sent again.
pub const HOLD_WAIT_MS: u64 = 250;

/// How long a hold waits beyond the expected end of a run. The end is noticed late if the
/// hold is lost that waits for it.
pub const HOLD_SLACK_MS: u64 = 60;

/// The time after which a hold without an answer counts as lost, beyond its wait. The next
/// one has to arrive before the lease ends that the last answered one has given.
pub const HOLD_TIMEOUT_MS: u64 = 120;

/// The time after which a start or a stop without an answer counts as lost. Answers take
/// milliseconds; a short task is late if a lost start is noticed later.
pub const ORDER_TIMEOUT_MS: u64 = 120;

/// The time after the end of its lease in which an order that was not answered may still
/// reach a minion.
pub const LATE_ORDER_MS: u64 = 300;

/// The pause before a hold is sent again after a second failure in a row.
pub const HOLD_RETRY_MS: u64 = 100;

/// A holder stops the runs of an owner that has not echoed a frame for this long.
pub const OWNER_SILENCE_MS: u64 = 500;

/// An owner offers no work to a holder that it has not heard from for this long.
pub const HOLDER_SILENCE_MS: u64 = 300;

/// The time after the last frame of a holder at which none of its runs is left: it stops
/// them after `OWNER_SILENCE_MS`, or is frozen and their leases lapse.
pub const RUN_GONE_MS: u64 = 1_200;

/// How long an instance may act as the owner of shards after a join that the store has
/// answered. The group names it for longer, so that no other instance takes them.
pub const JOIN_AUTHORITY_MS: u64 = 1_000;

/// How long an owner without authority keeps its runs, before it stops them and gives its
/// shards up. It looks at its authority every 100 ms; on a busy core it may be late.
pub const AUTHORITY_GRACE_MS: u64 = 700;

/// How long the new owner of a shard waits for members that do not tell their runs.
pub const RECONCILE_TIMEOUT_MS: u64 = 6_000;

/// The time after the last frame of a holder at which another one has announced the ends that
/// it found on the minions. A stored task is not started again before.
pub const STORED_RUN_GONE_MS: u64 = 2_500;

/// How long a minion's list keeps an end that no owner has noted and that may be one of a
/// stored job. The owner of its shard may not reach the store for as long.
pub const UNACKNOWLEDGED_RETENTION_MS: u64 = 60_000;

/// The time between two reports of an end to the owner of its shard.
pub const END_REPORT_INTERVAL_MS: u64 = 400;

/// The pause before a minion is held again on whose list are ends that are not noted yet. A
/// hold would return at once.
pub const UNACKNOWLEDGED_PAUSE_MS: u64 = 25;

/// The longest time between two frames to a peer that runs or room are shared with.
pub const FRAME_INTERVAL_MS: u64 = 100;

/// The longest time between two frames to any other peer. It shows that the link works and
/// that the peer is alive; on a large site most links are of this kind.
pub const IDLE_FRAME_INTERVAL_MS: u64 = 300;

/// The shortest time between two reports of free room to a peer.
pub const REPORT_INTERVAL_MS: u64 = 20;

/// The most reports of free room that an instance sends to all peers together in a second.
pub const REPORTS_PER_S: u64 = 300;

/// How long a new holder waits for the owners of the runs that it found.
pub const CLAIM_WINDOW_MS: u64 = 300;

/// How long a minion that rejected a start for want of room gets no further one.
pub const NO_ROOM_BACKOFF_MS: u64 = 40;

/// How long a minion that is not healthy or has started again gets no further start.
pub const UNHEALTHY_BACKOFF_MS: u64 = 1_000;

/// How long the outcome of a finished job is remembered for copies of its request.
pub const OUTCOME_RETENTION_MS: u64 = 20_000;
