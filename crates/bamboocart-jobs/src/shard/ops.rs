//! Client operations on stored jobs, which any instance passes on to the owner.

use log::{info, warn};

use crate::effect::{Answer, RequestKey};
use crate::engine::Engine;
use crate::id::JobId;
use crate::message::Message;
use crate::owner::job::wait_limit_ms;
use crate::owner::submission::JobState;
use crate::shard::job_op::{JobOp, OpNumber, OpReply, OpenOp, Requester};
use crate::time::Moment;

/// Maximum number of operations in progress; further ones are answered as unavailable.
const MAX_OPEN_OPS: usize = 4_096;

/// Interval after which an operation without an answer is sent again.
const RESEND_INTERVAL_MS: u64 = 600;

/// Delay before an operation is sent again after an instance rejected it because it is
/// not the owner. Members agree on the owner within a few hundred milliseconds.
const REDIRECT_BACKOFF_MS: u64 = 60;

/// Lower bound of the time for which an operation waits for a reachable owner.
const MIN_UNSENT_TIMEOUT_MS: u64 = 300;

/// Maximum time for which an operation is retried.
const MAX_OP_TIMEOUT_MS: u64 = 4_000;

impl Engine {
    /// Answers a request for the state of a job. The owner is asked unless this instance
    /// knows the state.
    pub fn query(
        &mut self,
        now: Moment,
        request: RequestKey,
        id: JobId,
        timeout_ms: u64,
    ) {
        match self.state(id) {
            Some(state) => self.answer(request, Answer::State(state)),
            None => self.start_op(now, request, id, JobOp::State, timeout_ms),
        }
        self.advance(now);
    }

    /// Answers a request to cancel a job. The owner is asked unless the job is known
    /// here.
    pub fn cancel_request(
        &mut self,
        now: Moment,
        request: RequestKey,
        id: JobId,
        timeout_ms: u64,
    ) {
        match self.cancel(now, id) {
            true => self.answer(request, Answer::Cancelled),
            false => self.start_op(now, request, id, JobOp::Cancel, timeout_ms),
        }
        self.advance(now);
    }

    /// Starts an operation at the owner of a stored job.
    pub(crate) fn start_op(
        &mut self,
        now: Moment,
        request: RequestKey,
        id: JobId,
        op: JobOp,
        timeout_ms: u64,
    ) {
        match op {
            JobOp::Submit { .. } => self.shards.note_stored_jobs(),
            // No owner has to be asked if no job was ever stored.
            JobOp::State | JobOp::Cancel if !self.shards.may_have_stored_jobs() => {
                return self.answer(request, Answer::Unknown);
            }
            JobOp::State | JobOp::Cancel => {}
        }
        if self.ops.len() >= MAX_OPEN_OPS {
            warn!(target: "job", request_id:% = id;
                "operation rejected: too many are open");
            return self.answer(request, Answer::Unavailable);
        }
        self.last_op.0 += 1;
        let until = now + timeout_ms.min(MAX_OP_TIMEOUT_MS);
        let unsent_until = now + self.unsent_timeout_ms(&op);
        let op = OpenOp {
            request,
            id,
            op,
            retry_at: now,
            unsent_until,
            until,
            uncertain: false,
        };
        self.ops.insert(self.last_op, op);
    }

    /// Returns how long an operation may wait for a reachable owner.
    ///
    /// The shards of a lost instance have no owner for some time. With this limit, a
    /// client learns that its job has not run while it still has time to react.
    fn unsent_timeout_ms(&self, op: &JobOp) -> u64 {
        match op {
            JobOp::Submit { queue, job } => {
                let pace = self.pace.ratio();
                let wait_ms = wait_limit_ms(queue, &job.steps, pace);
                wait_ms.max(MIN_UNSENT_TIMEOUT_MS)
            }
            JobOp::State | JobOp::Cancel => MAX_OP_TIMEOUT_MS,
        }
    }

    /// Sends due operations to their owners, and gives up those that have timed out.
    pub(crate) fn drive_ops(&mut self, now: Moment) {
        let due = |op: &OpenOp| op.retry_at <= now || op.ends_at() <= now;
        let numbers: Vec<OpNumber> = self
            .ops
            .iter()
            .filter(|(_, op)| due(op))
            .map(|(&number, _)| number)
            .collect();
        for number in numbers {
            let Some(op) = self.ops.get_mut(&number) else { continue };
            if op.ends_at() <= now {
                self.give_up_op(number);
                continue;
            }
            op.retry_at = now + RESEND_INTERVAL_MS;
            let (id, request) = (op.id, op.op.clone());
            let owner = self.shards.owner(self.shards.shard_of(id));
            match owner {
                Some(owner) if *owner == self.member => {
                    op.uncertain = true;
                    let requester = Requester::Local(number);
                    self.receive_op(now, requester, id, request);
                }
                Some(owner) => {
                    let peer = self.peers.key_of(owner);
                    let peer = peer.filter(|&key| self.is_peer_responsive(now, key));
                    let Some(peer) = peer else { continue };
                    if let Some(op) = self.ops.get_mut(&number) {
                        op.uncertain = true;
                    }
                    self.send(peer, Message::OpRequest { number, id, op: request });
                }
                None => {}
            }
        }
    }

    /// Returns when [`Engine::drive_ops`] has to be called next, if any operation is
    /// open.
    pub(crate) fn ops_due(&self) -> Option<Moment> {
        self.ops.values().map(|op| op.retry_at.min(op.ends_at())).min()
    }

    /// Processes the answer to an operation; none means that the peer is not the owner.
    pub(crate) fn op_answered(&mut self, now: Moment, number: OpNumber, reply: OpReply) {
        let Some(op) = self.ops.get_mut(&number) else { return };
        let Some(answer) = reply else {
            // The peer has done nothing, but an owner that was tried earlier may have.
            op.retry_at = now + REDIRECT_BACKOFF_MS;
            return;
        };
        let Some(op) = self.ops.remove(&number) else { return };
        info!(target: "job", request_id:% = op.id, answer:? = answer;
            "owner answered the operation");
        self.answer(op.request, answer);
    }

    /// Gives up an operation that no owner has answered in time.
    ///
    /// A submission that was never sent is answered as unavailable, so that the client
    /// knows that the job is not stored.
    fn give_up_op(&mut self, number: OpNumber) {
        let Some(op) = self.ops.remove(&number) else { return };
        let submit = matches!(op.op, JobOp::Submit { .. });
        let answer = match submit && !op.uncertain {
            true => Answer::Unavailable,
            false => Answer::GivenUp,
        };
        warn!(target: "job", request_id:% = op.id, answer:? = answer;
            "no owner answered the operation in time");
        self.answer(op.request, answer);
    }

    /// Drops the operations of a request whose client has disconnected.
    pub(crate) fn abandon_op(&mut self, request: RequestKey) {
        self.ops.retain(|_, op| op.request != request);
    }

    /// Returns the number of jobs of a queue that have not started, at all instances.
    pub fn pending(&self, queue: &str) -> u64 {
        let pending = |job: &&crate::owner::job::Job| {
            job.state() == JobState::Pending && *job.queue.name == *queue
        };
        let own = self.jobs.values().filter(pending).count() as u64;
        let peers = self.peers.arena.values().flat_map(|peer| &peer.pending);
        let others = peers.filter(|(name, _)| **name == *queue).map(|(_, count)| count);
        own + others.sum::<u64>()
    }
}
