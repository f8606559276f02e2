//! Time spans on which the safety of the engine depends, in milliseconds.
//!
//! A client may send a job to another instance 1,300 ms after its first connection broke.
//! By then, the runs of the first owner have to be gone, whatever becomes of the holder of
//! their minion and of those that hold it next. A lease is therefore only extended while
//! each run on the minion has an owner that was alive within `OWNER_SILENCE_MS`, so it ends
//! at the latest after the sum of that and of `LEASE_MS` on a clock that is 2 % slow.
//! The same span bounds how late the event loop of an instance may be while it extends
//! the leases of its own runs.

/// Duration of a lease from the moment it is ordered, on the minion's clock.
pub const LEASE_MS: u64 = 600;

/// Maximum duration of a lease that minions grant.
pub const MAX_LEASE_MS: u64 = 1_000;

/// How long a hold, the call that renews the lease on a minion, waits for a run to end
/// before it returns and is sent again.
pub const HOLD_WAIT_MS: u64 = 250;

/// How long a hold waits that does not renew the lease because it is not known whether
/// all runs on the minion are wanted. The next hold renews the lease if they are.
pub const UNEXTENDED_WAIT_MS: u64 = 50;

/// How long a hold waits beyond the expected end of a run. If the hold that waits for the
/// end is lost, the end is noticed late.
pub const HOLD_SLACK_MS: u64 = 60;

/// Minimum timeout of a hold, beyond its wait.
pub const HOLD_TIMEOUT_MS: u64 = 120;

/// Maximum timeout of a hold, beyond its wait.
pub const MAX_HOLD_TIMEOUT_MS: u64 = 250;

/// Maximum time from a hold to its timeout. The next hold has to arrive before the lease
/// expires that the last answered one has granted.
pub const HOLD_INTERVAL_MS: u64 = 480;

/// Minimum timeout of a start or a stop. Most answers take milliseconds, and a short task
/// is late if a lost start is noticed later.
pub const ORDER_TIMEOUT_MS: u64 = 120;

/// Maximum timeout of a start or a stop. The lease that a start carries expires soon after,
/// unless a hold renews it.
pub const MAX_ORDER_TIMEOUT_MS: u64 = 480;

/// Time after the end of its lease during which an unanswered order may still reach a
/// minion.
pub const LATE_ORDER_MS: u64 = 300;

/// Delay before a hold or a stop is sent again after a second consecutive failure.
pub const HOLD_RETRY_MS: u64 = 100;

/// Maximum delay before a stop is sent again. It doubles with each failure.
pub const MAX_STOP_RETRY_MS: u64 = 800;

/// Silence after which a holder stops the runs of an owner: the time since the last frame
/// of the holder that the owner has echoed.
pub const OWNER_SILENCE_MS: u64 = 500;

/// Silence of a holder after which an owner places no more tasks on its minions.
pub const HOLDER_SILENCE_MS: u64 = 300;

/// Silence of a holder after which none of its runs is active: it stops them after
/// `OWNER_SILENCE_MS`, or it is frozen and their leases expire.
pub const RUN_GONE_MS: u64 = 1_200;

/// How long an instance may act as the owner of shards after a join that the store has
/// answered. The group lists it for longer, so that no other instance takes the shards.
pub const JOIN_AUTHORITY_MS: u64 = 1_000;

/// How long an owner without authority keeps its runs before it stops them and gives its
/// shards up. It checks its authority every 100 ms, or later on a busy core.
pub const AUTHORITY_GRACE_MS: u64 = 700;

/// How long an owner that has lost a shard waits before it stops the runs that no next
/// owner has taken over. Together with a lease it is shorter than `RUN_GONE_MS`.
pub const LOST_SHARD_STOP_DELAY_MS: u64 = 300;

/// The same for an owner that gives a shard up to the member to which it is assigned, which
/// may still have to read the log. Together with a lease it is shorter than `RUN_GONE_MS`,
/// after which the next owner may start tasks.
pub const HANDOVER_STOP_DELAY_MS: u64 = 500;

/// How long the new owner of a shard waits for members that do not report their runs.
pub const RECONCILE_TIMEOUT_MS: u64 = 6_000;

/// Silence of a holder after which another one has announced the ends that it found on
/// the minions. A task of a stored job is not started again earlier.
pub const STORED_RUN_GONE_MS: u64 = 2_500;

/// How long an end that is on no minion's list is kept if no owner has confirmed it and its
/// job may be a stored one. The owner of its shard may be unable to reach the store for
/// that long.
pub const UNCONFIRMED_RETENTION_MS: u64 = 60_000;

/// Interval between two reports of an end to the owner of its shard.
pub const END_REPORT_INTERVAL_MS: u64 = 400;

/// Delay before the next hold of a minion whose list has unconfirmed ends. The hold would
/// return at once.
pub const UNCONFIRMED_PAUSE_MS: u64 = 25;

/// Maximum interval between two frames to a peer with which runs or reports of free
/// capacity are shared.
pub const FRAME_INTERVAL_MS: u64 = 100;

/// Maximum interval between two frames to any other peer. The frames show that the link
/// works and the peer is alive; on a large site, most links are of this kind.
pub const IDLE_FRAME_INTERVAL_MS: u64 = 300;

/// Minimum interval between two reports of free capacity to a peer.
pub const REPORT_INTERVAL_MS: u64 = 20;

/// Maximum number of reports of free capacity per second that an instance sends to all
/// peers together.
pub const REPORTS_PER_S: u64 = 300;

/// How long a new holder waits for the owners of the runs that it found to claim them.
pub const CLAIM_WINDOW_MS: u64 = 300;

/// The same while the minion has other runs whose owners are known. The lease of all of
/// them is not extended meanwhile, and 350 ms or more are left of it after a handover.
pub const SHARED_CLAIM_WINDOW_MS: u64 = 200;

/// How long a minion gets no further start after it has rejected one for lack of
/// capacity.
pub const NO_ROOM_BACKOFF_MS: u64 = 40;

/// How long a task waits for another minion after a run without a result.
pub const AVOID_MS: u64 = 2_000;

/// How long an unhealthy or restarted minion gets no further start.
pub const UNHEALTHY_BACKOFF_MS: u64 = 1_000;

/// How long the outcome of a finished job is kept to answer repeated requests.
pub const OUTCOME_RETENTION_MS: u64 = 20_000;
