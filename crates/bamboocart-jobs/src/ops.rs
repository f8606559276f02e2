//! Operations on stored jobs that reach an instance from its clients.

use log::{info, warn};

use crate::effect::{Answer, RequestKey};
use crate::engine::Engine;
use crate::id::JobId;
use crate::job::wait_limit_ms;
use crate::job_op::{JobOp, OpNumber, OpReply, OpenOp, Requester};
use crate::message::Message;
use crate::submission::JobState;
use crate::time::Moment;

/// The most operations without an answer; more are turned away.
const MAX_OPEN_OPS: usize = 4_096;

/// The time after which an operation without an answer is sent again.
const RESEND_MS: u64 = 600;

/// The pause before an operation is sent again that an instance has turned away because it
/// is not the owner. Members agree on the owner within some hundred milliseconds.
const REDIRECT_MS: u64 = 60;

/// The shortest time for which a job waits for an owner that it can be sent to.
const MIN_UNSENT_PATIENCE_MS: u64 = 300;

/// The longest time that an operation is tried.
const MAX_PATIENCE_MS: u64 = 4_000;

impl Engine {
    /// Answers the state of a job; that of a stored one comes from its owner.
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

    /// Cancels a job for a request, which is answered; a stored one at its owner.
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

    /// Begins an operation at the owner of a stored job.
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
            // Where no job was ever stored, no owner has to be asked.
            JobOp::State | JobOp::Cancel if !self.shards.may_have_stored_jobs() => {
                return self.answer(request, Answer::Unknown);
            }
            JobOp::State | JobOp::Cancel => {}
        }
        if self.ops.len() >= MAX_OPEN_OPS {
            warn!(target: "job", request_id:% = id; "too many operations are open");
            return self.answer(request, Answer::Unavailable);
        }
        self.last_op.0 += 1;
        let until = now + timeout_ms.min(MAX_PATIENCE_MS);
        let unsent_until = now + self.unsent_patience_ms(&op);
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

    /// Returns how long an operation may wait for an owner that it can be sent to.
    ///
    /// Answers the time after the loss of an instance in which its shards have no owner: a
    /// client learns while it still has time that the job has not run.
    fn unsent_patience_ms(&self, op: &JobOp) -> u64 {
        match op {
            JobOp::Submit { queue, job } => {
                let pace = self.pace.ratio();
                let wait_ms = wait_limit_ms(queue, &job.steps, pace);
                wait_ms.max(MIN_UNSENT_PATIENCE_MS)
            }
            JobOp::State | JobOp::Cancel => MAX_PATIENCE_MS,
        }
    }

    /// Sends operations that are due to their owners, and gives up those out of time.
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
            op.retry_at = now + RESEND_MS;
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

    /// Returns when [`Engine::drive_ops`] has something to do.
    pub(crate) fn ops_due(&self) -> Option<Moment> {
        self.ops.values().map(|op| op.retry_at.min(op.ends_at())).min()
    }

    /// Takes the answer to an operation.
    pub(crate) fn op_answered(&mut self, now: Moment, number: OpNumber, reply: OpReply) {
        let Some(op) = self.ops.get_mut(&number) else { return };
        let Some(answer) = reply else {
            // It has done nothing; an earlier try at another owner may have.
            op.retry_at = now + REDIRECT_MS;
            return;
        };
        let Some(op) = self.ops.remove(&number) else { return };
        info!(target: "job", request_id:% = op.id, answer:? = answer; "owner answers");
        self.answer(op.request, answer);
    }

    /// Gives up an operation that no owner has answered in time.
    fn give_up_op(&mut self, number: OpNumber) {
        let Some(op) = self.ops.remove(&number) else { return };
        let submit = matches!(op.op, JobOp::Submit { .. });
        let answer = match submit && !op.uncertain {
            true => Answer::Unavailable,
            false => Answer::GivenUp,
        };
        warn!(target: "job", request_id:% = op.id, answer:? = answer;
            "no owner answers in time");
        self.answer(op.request, answer);
    }

    /// Forgets the operation of a request whose client is gone.
    pub(crate) fn abandon_op(&mut self, request: RequestKey) {
        self.ops.retain(|_, op| op.request != request);
    }

    /// Returns how many jobs of a queue have not started, at all instances.
    pub fn pending(&self, queue: &str) -> u64 {
        let pending = |job: &&crate::job::Job| {
            job.state() == JobState::Pending && *job.queue.name == *queue
        };
        let own = self.jobs.values().filter(pending).count() as u64;
        let peers = self.peers.arena.values().flat_map(|peer| &peer.pending);
        let others = peers.filter(|(name, _)| **name == *queue).map(|(_, count)| count);
        own + others.sum::<u64>()
    }
}
