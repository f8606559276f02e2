//! Messages that wait for an answer, and requests that are forwarded to owners.

use slotmap::{Key, KeyData, new_key_type};

use crate::engine::record::Requester;
use crate::engine::{Effect, Engine, Reply};
use crate::id::InstanceName;
use crate::message::{CallerRequest, Message};
use crate::outcome::{Outcome, UnknownCode};
use crate::ownership::Owner;
use crate::target::{AttemptKey, SendReport};
use crate::time::Timestamp;

/// The time beyond a deadline for which a peer's answer is awaited.
pub(super) const ANSWER_GRACE_MS: u64 = 3_000;

/// The time after which a forwarded query or cancellation is given up.
const QUERY_TIMEOUT_MS: u64 = 3_000;

/// The deadline of a forwarded submission that names none and whose kind is unknown.
const DEFAULT_DEADLINE_MS: u64 = 30_000;

new_key_type! {
    /// The key of a message that waits for an answer.
    pub struct PendingKey;
}

/// A message to a peer that waits for an answer.
#[derive(Debug)]
pub struct Pending {
    pub peer: Owner,
    /// When the wait for the answer times out.
    pub until: Timestamp,
    pub purpose: Purpose,
}

impl Pending {
    pub fn peer_name(&self) -> &InstanceName {
        &self.peer.instance
    }
}

/// What an answer is for.
#[derive(Debug)]
pub enum Purpose {
    /// A request that was forwarded to the owner of a submission.
    Forward {
        requester: Requester,
        /// The request, kept for submitting it again if it certainly did not arrive, or
        /// for sending it to the owner's successor.
        ask: CallerRequest,
    },
    /// The send of a task that a peer runs.
    Offer(AttemptKey),
    /// The first part of a handover, for which the link's report serves as answer.
    HandOver,
}

impl Engine {
    /// Handles the report that a message to a peer was not acknowledged.
    ///
    /// If the message may have arrived, its answer is still awaited.
    pub(super) fn peer_undelivered(
        &mut self,
        now: Timestamp,
        correlation: u64,
        certain: bool,
        effects: &mut Vec<Effect>,
    ) {
        let key = self.pending_key(correlation);
        if certain && let Some(pending) = self.take_pending(key) {
            self.give_up(now, pending, true, effects);
        } else {
            self.peer_delivered(now, correlation, effects);
        }
    }

    /// Handles the report that a peer has or may have received a message, which ends the
    /// wait for the first part of a handover.
    pub(super) fn peer_delivered(
        &mut self,
        now: Timestamp,
        correlation: u64,
        effects: &mut Vec<Effect>,
    ) {
        let key = self.pending_key(correlation);
        let purpose = self.pending.get(key).map(|pending| &pending.purpose);
        if let Some(Purpose::HandOver) = purpose
            && let Some(pending) = self.take_pending(key)
        {
            self.give_up(now, pending, false, effects);
        }
    }

    /// Forwards a request to the owner of a submission.
    ///
    /// A request that a peer has forwarded is not forwarded again, so that diverging
    /// views cannot make it loop.
    pub(super) fn forward(
        &mut self,
        now: Timestamp,
        requester: Requester,
        owner: &Owner,
        ask: CallerRequest,
        effects: &mut Vec<Effect>,
    ) {
        if let Requester::Peer { peer, correlation } = &requester {
            if self.tell_successor(&peer.instance, effects) {
                let (peer, correlation) = (peer.instance.clone(), *correlation);
                effects.push(Effect::EndSpan { peer, correlation });
            } else {
                self.answer_unknown(&requester, &ask, UnknownCode::OwnerGone, effects);
            }
            return;
        }
        let wait_ms = match &ask {
            CallerRequest::Submit(submission) => {
                let kind = self.config.request_kind.get(&submission.kind);
                let default_ms =
                    kind.map_or(DEFAULT_DEADLINE_MS, |kind| kind.deadline_ms);
                submission
                    .deadline_ms
                    .unwrap_or(default_ms)
                    .saturating_add(ANSWER_GRACE_MS)
            }
            CallerRequest::Query(_) | CallerRequest::Cancel(_) => QUERY_TIMEOUT_MS,
        };
        let until = now.plus_ms(wait_ms);
        let purpose = Purpose::Forward { requester, ask: ask.clone() };
        let key = self.add_pending(Pending { peer: owner.clone(), until, purpose });
        let correlation = self.correlation(key);
        let message = Message::Forward { correlation, request: ask };
        self.tell_tracked(&owner.instance, Some(correlation), message, effects);
    }

    /// Gives up the messages that wait for an answer of a dead incarnation.
    ///
    /// Handovers are excluded: the death of a successor says nothing about what it has
    /// received, but its link does.
    pub(super) fn peer_died(
        &mut self,
        now: Timestamp,
        owner: &Owner,
        effects: &mut Vec<Effect>,
    ) {
        let waits = |pending: &Pending| {
            pending.peer == *owner && !matches!(pending.purpose, Purpose::HandOver)
        };
        let waiting = self.pending.iter().filter(|(_, pending)| waits(pending));
        let keys: Vec<PendingKey> = waiting.map(|(key, _)| key).collect();
        for key in keys {
            if let Some(pending) = self.take_pending(key) {
                self.give_up(now, pending, false, effects);
            }
        }
    }

    /// Gives up the messages whose answer is overdue.
    pub(super) fn expire_pending(&mut self, now: Timestamp, effects: &mut Vec<Effect>) {
        while let Some(&(until, key)) = self.pending_until.first() {
            if until > now {
                return;
            }
            if let Some(pending) = self.take_pending(key) {
                self.give_up(now, pending, false, effects);
            }
        }
    }

    /// Returns the correlation id that a message carries.
    ///
    /// Keys repeat in each run of an instance. Peers send late answers to an earlier run
    /// to the address that a later run has taken over, and the later run must not take
    /// them for answers to its own messages.
    pub(super) fn correlation(&self, key: PendingKey) -> u64 {
        key.data().as_ffi() ^ self.correlation_mask()
    }

    /// Returns the key of the message that a correlation id belongs to.
    ///
    /// The key matches no message if the correlation id is from an earlier run.
    pub(super) fn pending_key(&self, correlation: u64) -> PendingKey {
        KeyData::from_ffi(correlation ^ self.correlation_mask()).into()
    }

    /// Returns a mask that differs throughout between the runs of an instance.
    pub(super) fn correlation_mask(&self) -> u64 {
        let hash = blake3::hash(&self.me.incarnation.0.to_le_bytes());
        let mut mask = [0; 8];
        mask.copy_from_slice(&hash.as_bytes()[..8]);
        u64::from_le_bytes(mask)
    }

    /// Handles the announcement of a handover, and sends the forwards for the old owner
    /// to the new one.
    ///
    /// The old owner has answered what it knew, and an answer still in transit is the
    /// same as the successor's. A submission without an id may have been started under an
    /// id that is unknown here, so it keeps waiting.
    pub(super) fn succession_received(
        &mut self,
        now: Timestamp,
        from: Owner,
        to: Owner,
        effects: &mut Vec<Effect>,
    ) {
        self.successions.learn(from.clone(), to);
        let moves = |pending: &Pending| match &pending.purpose {
            Purpose::Forward { ask, .. } => pending.peer == from && ask.has_id(),
            Purpose::Offer(_) | Purpose::HandOver => false,
        };
        let waiting = self.pending.iter().filter(|(_, pending)| moves(pending));
        let keys: Vec<PendingKey> = waiting.map(|(key, _)| key).collect();
        for key in keys {
            if let Some(Pending {
                purpose: Purpose::Forward { requester, ask }, ..
            }) = self.take_pending(key)
            {
                self.request_received(now, requester, ask, effects);
            }
        }
    }

    /// Adds a message that waits for an answer, with its timeout.
    pub(super) fn add_pending(&mut self, pending: Pending) -> PendingKey {
        let until = pending.until;
        let key = self.pending.insert(pending);
        self.pending_until.insert((until, key));
        key
    }

    /// Removes a message that waits for an answer, with its timeout.
    pub(super) fn take_pending(&mut self, key: PendingKey) -> Option<Pending> {
        let pending = self.pending.remove(key)?;
        self.pending_until.remove(&(pending.until, key));
        Some(pending)
    }

    /// Ends the wait for an answer that will not come.
    ///
    /// `not_sent` says that the message certainly did not arrive.
    pub(super) fn give_up(
        &mut self,
        now: Timestamp,
        pending: Pending,
        not_sent: bool,
        effects: &mut Vec<Effect>,
    ) {
        match pending.purpose {
            Purpose::Forward { requester, ask } => match ask {
                // A submission without an id has no other copy, so it may be submitted
                // again.
                CallerRequest::Submit(submission)
                    if not_sent && submission.id.is_none() =>
                {
                    self.submit(now, requester, *submission, effects);
                }
                ask => self.answer_unknown(
                    &requester,
                    &ask,
                    UnknownCode::OwnerSilent,
                    effects,
                ),
            },
            Purpose::Offer(attempt) => {
                let report =
                    if not_sent { SendReport::NotSent } else { SendReport::Lost };
                self.send_finished(now, attempt, report, effects);
            }
            Purpose::HandOver => {
                let report = (&pending.peer, not_sent);
                self.hand_over_reported(now, report, effects);
            }
        }
    }

    /// Answers that the outcome is unknown.
    pub(super) fn answer_unknown(
        &mut self,
        requester: &Requester,
        ask: &CallerRequest,
        code: UnknownCode,
        effects: &mut Vec<Effect>,
    ) {
        let (submission, want) = match ask {
            CallerRequest::Submit(submission) => {
                (submission.id.clone(), submission.want_tickets)
            }
            CallerRequest::Query(id) | CallerRequest::Cancel(id) => (Some(id.clone()), 0),
        };
        let outcome = Outcome::Unknown(code);
        if let CallerRequest::Submit(submission) = ask {
            self.observe_answer(submission, &outcome, effects);
        }
        let reply = Reply::Outcome {
            submission,
            outcome,
            config_version: self.config_version,
            owner: self.me.instance.clone(),
            attempts: 0,
            tickets: self.issue_tickets(want),
        };
        self.reply_with(requester, reply, effects);
    }

    /// Handles a request of a caller or of a peer that forwards it.
    pub(super) fn request_received(
        &mut self,
        now: Timestamp,
        requester: Requester,
        ask: CallerRequest,
        effects: &mut Vec<Effect>,
    ) {
        match ask {
            CallerRequest::Submit(submission) => {
                self.submit(now, requester, *submission, effects)
            }
            CallerRequest::Query(id) => self.query(now, requester, id, effects),
            CallerRequest::Cancel(id) => self.cancel(now, requester, id, effects),
        }
    }

    /// Passes an owner's answer on to the requester.
    pub(super) fn answer_received(
        &mut self,
        correlation: u64,
        reply: Reply,
        effects: &mut Vec<Effect>,
    ) {
        let key = self.pending_key(correlation);
        let Some(Pending { purpose: Purpose::Forward { requester, .. }, .. }) =
            self.take_pending(key)
        else {
            self.late_answers += 1;
            return;
        };
        self.reply_with(&requester, reply, effects);
    }
}
