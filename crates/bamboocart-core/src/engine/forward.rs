//! Messages that wait for an answer, and callers' wishes that are forwarded to owners.

use slotmap::{Key, KeyData, new_key_type};

use crate::engine::record::Asker;
use crate::engine::{Effect, Engine, Reply};
use crate::id::InstanceName;
use crate::message::{CallerRequest, Message};
use crate::outcome::{Outcome, UnknownCode};
use crate::ownership::Owner;
use crate::target::{AttemptKey, SendReport};
use crate::time::Timestamp;

/// The time beyond a deadline for which a peer's answer is awaited.
pub(super) const ANSWER_GRACE_MS: u64 = 3_000;

/// The time that a question about a submission may take.
const QUESTION_MS: u64 = 3_000;

/// The deadline of a forwarded submission that names none.
const DEFAULT_DEADLINE_MS: u64 = 30_000;

new_key_type! {
    /// The key of a message that waits for an answer.
    pub struct PendingKey;
}

/// A message to a peer that waits for an answer.
#[derive(Debug)]
pub struct Pending {
    /// The peer.
    pub peer: Owner,
    /// When the answer is given up.
    pub until: Timestamp,
    /// What the answer is for.
    pub about: About,
}

impl Pending {
    /// Returns the name of the peer.
    pub fn peer_name(&self) -> &InstanceName {
        &self.peer.instance
    }
}

/// What an answer is for.
#[derive(Debug)]
pub enum About {
    /// A caller's wish that was forwarded to the owner of a submission.
    Forward {
        /// The caller.
        asker: Asker,
        /// The wish, for giving it to another peer if it certainly did not arrive.
        ask: CallerRequest,
    },
    /// A task that a peer runs.
    Offer(AttemptKey),
    /// The first part of a handover, whose answer is the link's report.
    HandOver,
}

impl Engine {
    /// Notes that a message to a peer was not acknowledged.
    ///
    /// A message that may have arrived keeps waiting for its answer.
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

    /// Notes that a peer has or may have a part of a handover.
    pub(super) fn peer_delivered(
        &mut self,
        now: Timestamp,
        correlation: u64,
        effects: &mut Vec<Effect>,
    ) {
        let key = self.pending_key(correlation);
        let about = self.pending.get(key).map(|pending| &pending.about);
        if let Some(About::HandOver) = about
            && let Some(pending) = self.take_pending(key)
        {
            self.give_up(now, pending, false, effects);
        }
    }

    /// Sends a caller's wish to the owner of a submission.
    ///
    /// A wish that a peer has forwarded is not passed on, so that differing views cannot
    /// send it round in circles.
    pub(super) fn forward(
        &mut self,
        now: Timestamp,
        asker: Asker,
        owner: &Owner,
        ask: CallerRequest,
        effects: &mut Vec<Effect>,
    ) {
        if let Asker::Peer { peer, correlation } = &asker {
            if self.tell_successor(&peer.instance, effects) {
                let (peer, correlation) = (peer.instance.clone(), *correlation);
                effects.push(Effect::EndSpan { peer, correlation });
            } else {
                self.answer_unknown(&asker, &ask, UnknownCode::OwnerGone, effects);
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
            CallerRequest::Query(_) | CallerRequest::Cancel(_) => QUESTION_MS,
        };
        let until = now.plus_ms(wait_ms);
        let about = About::Forward { asker, ask: ask.clone() };
        let key = self.add_pending(Pending { peer: owner.clone(), until, about });
        let correlation = self.correlation(key);
        let message = Message::Forward { correlation, request: ask };
        self.tell_tracked(&owner.instance, Some(correlation), message, effects);
    }

    /// Gives up the messages that wait for an incarnation which is dead.
    ///
    /// The death of a successor says nothing about what it has got; its link does.
    pub(super) fn peer_died(
        &mut self,
        now: Timestamp,
        owner: &Owner,
        effects: &mut Vec<Effect>,
    ) {
        let waits = |pending: &Pending| {
            pending.peer == *owner && !matches!(pending.about, About::HandOver)
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

    /// Returns the number that a message carries, by which its answer finds back.
    ///
    /// Keys repeat in each run of an instance. Peers send late answers to an earlier run
    /// to the address that a later one has taken over, and the later run must not take
    /// them for answers to its own messages.
    pub(super) fn correlation(&self, key: PendingKey) -> u64 {
        key.data().as_ffi() ^ self.correlation_mask()
    }

    /// Returns the message that a number belongs to, which is none of this run's if the
    /// number is an earlier run's.
    pub(super) fn pending_key(&self, correlation: u64) -> PendingKey {
        KeyData::from_ffi(correlation ^ self.correlation_mask()).into()
    }

    /// Returns a number that differs in all its parts between the runs of an instance.
    pub(super) fn correlation_mask(&self) -> u64 {
        let hash = blake3::hash(&self.me.incarnation.0.to_le_bytes());
        let mut mask = [0; 8];
        mask.copy_from_slice(&hash.as_bytes()[..8]);
        u64::from_le_bytes(mask)
    }

    /// Learns of a handover and gives the forwards to the old owner to the new one.
    ///
    /// The old owner has answered what it knew, and an answer that is still on its way is
    /// the same as the successor's. A submission without an id may have been started
    /// under one that is not known here, so it keeps waiting.
    pub(super) fn succeeded(
        &mut self,
        now: Timestamp,
        from: Owner,
        to: Owner,
        effects: &mut Vec<Effect>,
    ) {
        self.successions.learn(from.clone(), to);
        let moves = |pending: &Pending| match &pending.about {
            About::Forward { ask, .. } => pending.peer == from && ask.has_id(),
            About::Offer(_) | About::HandOver => false,
        };
        let waiting = self.pending.iter().filter(|(_, pending)| moves(pending));
        let keys: Vec<PendingKey> = waiting.map(|(key, _)| key).collect();
        for key in keys {
            if let Some(Pending { about: About::Forward { asker, ask }, .. }) =
                self.take_pending(key)
            {
                self.asked(now, asker, ask, effects);
            }
        }
    }

    /// Adds a message that waits for an answer.
    pub(super) fn add_pending(&mut self, pending: Pending) -> PendingKey {
        let until = pending.until;
        let key = self.pending.insert(pending);
        self.pending_until.insert((until, key));
        key
    }

    /// Removes a message that waits for an answer.
    pub(super) fn take_pending(&mut self, key: PendingKey) -> Option<Pending> {
        let pending = self.pending.remove(key)?;
        self.pending_until.remove(&(pending.until, key));
        Some(pending)
    }

    /// Ends the wait for an answer that will not come.
    pub(super) fn give_up(
        &mut self,
        now: Timestamp,
        pending: Pending,
        not_sent: bool,
        effects: &mut Vec<Effect>,
    ) {
        match pending.about {
            About::Forward { asker, ask } => match ask {
                // A submission without an id has no other copy.
                CallerRequest::Submit(submission)
                    if not_sent && submission.id.is_none() =>
                {
                    self.submit(now, asker, *submission, effects);
                }
                ask => {
                    self.answer_unknown(&asker, &ask, UnknownCode::OwnerSilent, effects)
                }
            },
            About::Offer(attempt) => {
                let report =
                    if not_sent { SendReport::NotSent } else { SendReport::Lost };
                self.send_finished(now, attempt, report, effects);
            }
            About::HandOver => {
                let report = (&pending.peer, not_sent);
                self.hand_over_reported(now, report, effects);
            }
        }
    }

    /// Tells a caller that the outcome is not known.
    pub(super) fn answer_unknown(
        &mut self,
        asker: &Asker,
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
        self.reply_with(asker, reply, effects);
    }

    /// Takes in a wish that a peer has forwarded.
    pub(super) fn asked(
        &mut self,
        now: Timestamp,
        asker: Asker,
        ask: CallerRequest,
        effects: &mut Vec<Effect>,
    ) {
        match ask {
            CallerRequest::Submit(submission) => {
                self.submit(now, asker, *submission, effects)
            }
            CallerRequest::Query(id) => self.query(now, asker, id, effects),
            CallerRequest::Cancel(id) => self.cancel(now, asker, id, effects),
        }
    }

    /// Passes the owner's answer on to the caller.
    pub(super) fn answered(
        &mut self,
        correlation: u64,
        reply: Reply,
        effects: &mut Vec<Effect>,
    ) {
        let key = self.pending_key(correlation);
        let Some(Pending { about: About::Forward { asker, .. }, .. }) =
            self.take_pending(key)
        else {
            self.late_answers += 1;
            return;
        };
        self.reply_with(&asker, reply, effects);
    }
}
