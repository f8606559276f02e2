//! The drain of this instance in a planned stop, with the handover to a successor.

use std::collections::BTreeSet;

use crate::engine::forward::{Pending, Purpose};
use crate::engine::record::{Record, Requester};
use crate::engine::{Effect, Engine, NewSubmission};
use crate::id::{InstanceName, SubmissionId};
use crate::membership::{Member, PeerInfo, choose_successor};
use crate::message::{CallerRequest, Message};
use crate::outcome::{FailureCode, Outcome, Refusal, RefusalCode, UnknownCode};
use crate::ownership::{HandoverPart, Owner, Stage};
use crate::time::Timestamp;

/// The time that a stopping instance waits for its submissions, which is longer than the
/// longest tasks.
const FINISH_TIMEOUT_MS: u64 = 30_000;

/// The interval at which the parts of a handover are sent again.
const HANDOVER_RESEND_MS: u64 = 500;

/// The time after which an unacknowledged handover is abandoned.
const HANDOVER_TIMEOUT_MS: u64 = 5_000;

/// The time that the last answers have to leave.
const LINGER_MS: u64 = 300;

/// The time that the end of the account has to reach the log.
const ACCOUNT_CLOSE_TIMEOUT_MS: u64 = 5_000;

/// The number of requests that may wait for the end of the handover.
///
/// Beyond it, new submissions are refused while the registry is here, and everything is
/// answered "unknown" afterwards.
const MAX_DEFERRED_REQUESTS: usize = 10_000;

/// An instance whose own stop begins within this time is not chosen as successor, unless
/// no other is left.
const SUCCESSOR_MIN_REMAINING_MS: u64 = 60_000;

/// The progress of a planned stop.
#[derive(Debug, Default)]
pub struct Stop {
    step: Step,
    /// The requests that wait for the end of the handover.
    deferred: Vec<(Requester, CallerRequest)>,
    /// The successors that will certainly never get the right, at most the known peers.
    excluded: BTreeSet<Owner>,
}

/// What is known about the delivery of the first part of a handover.
#[derive(Debug, Copy, Clone, Eq, PartialEq)]
enum Delivery {
    /// It was sent once, and the link has not reported on it yet.
    Unreported,
    /// Every send of it was certainly lost.
    Lost,
    /// The successor has it or may have it.
    Possible,
}

#[derive(Debug, Copy, Clone, Default)]
enum Step {
    /// No stop is planned.
    #[default]
    Serving,
    /// Readiness has ended, and submissions are still admitted.
    LameDuck {
        /// When admission ends.
        until: Timestamp,
    },
    /// Admitted submissions are finished.
    Finishing {
        /// When unfinished submissions are abandoned.
        until: Timestamp,
    },
    /// The registry is being sent to the successor.
    HandingOver {
        /// When the parts are sent again.
        resend_at: Timestamp,
        /// When the handover is abandoned.
        until: Timestamp,
        /// Whether the successor may have the first part, without which it cannot use the
        /// others.
        delivery: Delivery,
    },
    /// The last answers are leaving.
    Lingering {
        /// When the leases are returned and the account is ended.
        until: Timestamp,
    },
    /// The end of the account is being appended to the log.
    Closing {
        /// When the instance stops without a confirmation of the append.
        until: Timestamp,
    },
    /// The instance may stop.
    Done,
}

impl Engine {
    /// Begins a planned stop, unless one has begun.
    pub(super) fn drain(&mut self, now: Timestamp, effects: &mut Vec<Effect>) {
        if self.is_leaving() {
            return;
        }
        let until = now.plus_ms(self.setup.lame_duck_ms);
        self.stop.step = Step::LameDuck { until };
        effects.push(Effect::Leaving);
        self.send_heartbeats(effects);
    }

    /// Reports whether a planned stop has begun.
    pub(super) fn is_leaving(&self) -> bool {
        !matches!(self.stop.step, Step::Serving)
    }

    /// Applies the stop plans: marks the targets whose turn has come, and begins to drain
    /// at this instance's own turn.
    pub(super) fn apply_stops(&mut self, now: Timestamp, effects: &mut Vec<Effect>) {
        let (left, changes) = self.membership.apply_stops(&self.stops, now);
        self.fleet_changed |= !left.is_empty();
        self.peers_changed(now, &changes, effects);
        let me = Member::Instance(self.me.instance.clone());
        if self.stops.leaving(&me, self.me.incarnation, now).is_some() {
            self.drain(now, effects);
        }
    }

    /// Moves a planned stop to its next step if that is due.
    pub(super) fn advance_drain(&mut self, now: Timestamp, effects: &mut Vec<Effect>) {
        match self.stop.step {
            Step::LameDuck { until } if now >= until => {
                self.ownership = std::mem::take(&mut self.ownership).drain();
                let until = now.plus_ms(FINISH_TIMEOUT_MS);
                self.stop.step = Step::Finishing { until };
            }
            Step::Finishing { until } if self.ownership.open() == 0 || now >= until => {
                self.hand_over(now, effects);
            }
            Step::HandingOver { until, .. } if now >= until => {
                self.give_up_handover(now, effects);
            }
            Step::HandingOver { resend_at, delivery, .. }
                if now >= resend_at && delivery != Delivery::Unreported =>
            {
                self.send_parts(now, effects);
            }
            Step::Lingering { until } if now >= until => {
                self.return_leases(now, effects);
                self.account.close(now);
                let until = now.plus_ms(ACCOUNT_CLOSE_TIMEOUT_MS);
                self.stop.step = Step::Closing { until };
            }
            Step::Closing { until } if self.account.is_finished() || now >= until => {
                self.stop.step = Step::Done;
                effects.push(Effect::Drained);
            }
            _ => {}
        }
    }

    /// Reports whether a submission has to wait until the successor can take it.
    ///
    /// This holds for submissions that the registry does not know. Others are answered
    /// from the registry.
    pub(super) fn should_defer(&self, id: &SubmissionId) -> bool {
        let known =
            self.ownership.find(id).is_some() || self.ownership.refusal(id).is_some();
        let finishing = matches!(self.stop.step, Step::Finishing { .. });
        finishing && !known && self.stop.deferred.len() < MAX_DEFERRED_REQUESTS
    }

    /// Defers a request until the handover ends.
    ///
    /// While the registry is in transit, the successor does not know its rights yet and
    /// would answer "unknown".
    pub(super) fn defer(
        &mut self,
        requester: Requester,
        ask: CallerRequest,
        effects: &mut Vec<Effect>,
    ) {
        match self.stop.deferred.len() < MAX_DEFERRED_REQUESTS {
            true => self.stop.deferred.push((requester, ask)),
            false => {
                self.answer_unknown(&requester, &ask, UnknownCode::OwnerGone, effects)
            }
        }
    }

    /// Forwards a submission without an id to a peer that admits, and reports whether
    /// there is one.
    pub(super) fn forward_to_serving_peer(
        &mut self,
        now: Timestamp,
        requester: &Requester,
        submission: &NewSubmission,
        effects: &mut Vec<Effect>,
    ) -> bool {
        let Some(peer) =
            self.successor(now).filter(|_| matches!(requester, Requester::Caller(_)))
        else {
            return false;
        };
        let owner = Owner::new(peer.name, peer.incarnation);
        let ask = CallerRequest::Submit(Box::new(submission.clone()));
        self.forward(now, requester.clone(), &owner, ask, effects);
        true
    }

    /// Returns the peer that should take over from this instance.
    fn successor(&self, now: Timestamp) -> Option<PeerInfo> {
        let peers = &self.membership.peers;
        let owner = |info: &PeerInfo| Owner::new(info.name.clone(), info.incarnation);
        let excluded = |name: &InstanceName| {
            let peer = peers.get(name);
            peer.is_some_and(|peer| self.stop.excluded.contains(&owner(&peer.info)))
        };
        let stopping = |name: &InstanceName| {
            let member = Member::Instance(name.clone());
            peers.get(name).is_some_and(|peer| {
                let incarnation = peer.info.incarnation;
                self.stops.leaves_soon(
                    &member,
                    incarnation,
                    now,
                    SUCCESSOR_MIN_REMAINING_MS,
                )
            })
        };
        let successor = choose_successor(peers, |it| excluded(it) || stopping(it))
            .or_else(|| choose_successor(peers, excluded));
        successor.map(|peer| peer.info.clone())
    }

    /// Reports whether the right to an owner's submissions is in transit to a successor.
    pub(super) fn is_handing_over(&self, owner: &Owner) -> bool {
        let given_up = match &self.ownership {
            Stage::HandedOver(handed) => handed.rights().holds(owner),
            _ => false,
        };
        given_up && matches!(self.stop.step, Step::HandingOver { .. })
    }

    /// Tells a peer which instance now answers for the submissions of this one, and
    /// reports whether there is one.
    ///
    /// The peer then sends its forwards to the successor itself, which saves a second hop
    /// through this instance. The message is sent only once the successor is
    /// final, because peers keep the first one that they learn of.
    pub(super) fn tell_successor(
        &self,
        peer: &InstanceName,
        effects: &mut Vec<Effect>,
    ) -> bool {
        let Stage::HandedOver(handed) = &self.ownership else { return false };
        if let Step::HandingOver { .. } = self.stop.step {
            return false;
        }
        let (from, to) = (handed.from().clone(), handed.successor().clone());
        self.tell(peer, Message::Succession { from, to }, effects);
        true
    }

    /// Gives up the right to start anything and sends the registry to a successor.
    ///
    /// Without a successor, the registry stays here and answers what it knows until the
    /// end.
    fn hand_over(&mut self, now: Timestamp, effects: &mut Vec<Effect>) {
        let Some(info) = self.successor(now) else {
            self.linger(now);
            self.resume_deferred(now, effects);
            return;
        };
        let owner = Owner::new(info.name, info.incarnation);
        let ownership = std::mem::take(&mut self.ownership);
        self.ownership = ownership.hand_over(owner, &self.issuer, |_, r| last_outcome(r));
        let until = now.plus_ms(HANDOVER_TIMEOUT_MS);
        self.stop.step =
            Step::HandingOver { resend_at: now, until, delivery: Delivery::Lost };
        self.send_parts(now, effects);
    }

    /// Sends the parts of the handover.
    ///
    /// The link reports on the delivery of the first part until the successor may have
    /// it.
    fn send_parts(&mut self, now: Timestamp, effects: &mut Vec<Effect>) {
        let Stage::HandedOver(handed) = &self.ownership else { return };
        let Step::HandingOver { resend_at, until, delivery } = &mut self.stop.step else {
            return;
        };
        *resend_at = now.plus_ms(HANDOVER_RESEND_MS);
        let lost = *delivery == Delivery::Lost;
        if lost {
            *delivery = Delivery::Unreported;
        }
        let (until, to) = (*until, handed.successor().clone());
        let parts = handed.parts().to_vec();
        let mut tracked = lost.then(|| {
            let purpose = Purpose::HandOver;
            let key = self.add_pending(Pending { peer: to.clone(), until, purpose });
            self.correlation(key)
        });
        for part in parts {
            let message = Message::HandoverPart(Box::new(part));
            self.tell_tracked(&to.instance, tracked.take(), message, effects);
        }
    }

    /// Abandons a handover that the successor may have taken or may still take.
    fn give_up_handover(&mut self, now: Timestamp, effects: &mut Vec<Effect>) {
        let warning = "the successor did not acknowledge the handover; ids of this \
                       instance are answered as unknown";
        effects.push(Effect::Warn(warning.into()));
        self.end_handover(now, effects);
    }

    /// Ends a handover whose successor is final.
    fn end_handover(&mut self, now: Timestamp, effects: &mut Vec<Effect>) {
        if let Stage::HandedOver(handed) = &self.ownership {
            let (from, to) = (handed.from().clone(), handed.successor().clone());
            self.successions.learn(from, to);
        }
        self.linger(now);
        self.resume_deferred(now, effects);
    }

    /// Takes the right back from a successor that will certainly never get it, and hands
    /// over to the next one.
    fn try_next_successor(
        &mut self,
        now: Timestamp,
        successor: &Owner,
        effects: &mut Vec<Effect>,
    ) {
        effects.push(Effect::Info(format!(
            "{successor} did not take the handover; choosing another successor"
        )));
        self.stop.excluded.insert(successor.clone());
        self.ownership = std::mem::take(&mut self.ownership).take_back(now, restore);
        self.hand_over(now, effects);
    }

    /// Handles the link's report on the first part of a handover.
    ///
    /// If every send of it was lost, the successor never gets the right. Another one is
    /// then chosen if there is any.
    pub(super) fn hand_over_reported(
        &mut self,
        now: Timestamp,
        (to, lost): (&Owner, bool),
        effects: &mut Vec<Effect>,
    ) {
        if !self.is_handing_over_to(to) {
            return;
        }
        let Step::HandingOver { delivery, .. } = &mut self.stop.step else { return };
        *delivery = if lost { Delivery::Lost } else { Delivery::Possible };
        if !lost {
            return;
        }
        self.stop.excluded.insert(to.clone());
        match self.successor(now) {
            Some(_) => self.try_next_successor(now, to, effects),
            None => drop(self.stop.excluded.remove(to)),
        }
    }

    /// Reports whether a peer is the successor of the handover in progress.
    fn is_handing_over_to(&self, peer: &Owner) -> bool {
        let successor = match &self.ownership {
            Stage::HandedOver(handed) => handed.successor() == peer,
            _ => false,
        };
        successor && matches!(self.stop.step, Step::HandingOver { .. })
    }

    /// Handles the refusal of a successor that is stopping and never takes the handover.
    pub(super) fn hand_over_declined(
        &mut self,
        now: Timestamp,
        by: &Owner,
        owner: &Owner,
        effects: &mut Vec<Effect>,
    ) {
        if *owner == self.me && self.is_handing_over_to(by) {
            self.try_next_successor(now, by, effects);
        }
    }

    /// Handles a part of a predecessor's registry.
    pub(super) fn handover_part_received(
        &mut self,
        now: Timestamp,
        from: &Owner,
        part: HandoverPart,
        effects: &mut Vec<Effect>,
    ) {
        let taken = Message::HandoverAccepted { from: part.from.clone() };
        if self.is_leaving() && part.successor == self.me {
            // Both answers are final, because a planned stop is never reversed.
            let answer = match self.ownership.has_adopted(&part.from) {
                true => taken,
                false => Message::HandoverDeclined { from: part.from },
            };
            self.tell(&from.instance, answer, effects);
            return;
        }
        let Stage::Serving(registry) = &mut self.ownership else { return };
        match self.assembly.accept(part, registry.rights()) {
            Ok(None) => {}
            Ok(Some(complete)) => {
                let predecessor = complete.from().clone();
                match registry.adopt(complete, now, restore) {
                    Ok(count) => effects.push(Effect::Info(format!(
                        "took over {count} submissions of {predecessor}"
                    ))),
                    Err(error) => effects.push(Effect::Warn(error.to_string())),
                }
                let (from, to) = (predecessor, self.me.clone());
                self.successions.learn(from.clone(), to.clone());
                let peers: Vec<_> =
                    self.membership.peers.iter().map(|p| p.info.name.clone()).collect();
                for peer in peers {
                    let (from, to) = (from.clone(), to.clone());
                    self.tell(&peer, Message::Succession { from, to }, effects);
                }
                self.tell(&from.instance, taken, effects);
            }
            Err(crate::ownership::AcceptError::AlreadyAdopted) => {
                self.tell(&from.instance, taken, effects);
            }
            Err(error) => effects.push(Effect::Warn(error.to_string())),
        }
    }

    /// Handles the successor's confirmation that it has taken over.
    pub(super) fn hand_over_taken(
        &mut self,
        by: &Owner,
        owner: &Owner,
        effects: &mut Vec<Effect>,
    ) {
        if *owner == self.me && self.is_handing_over_to(by) {
            self.end_handover(self.maintained_at, effects);
        }
    }

    /// Handles the deferred requests.
    fn resume_deferred(&mut self, now: Timestamp, effects: &mut Vec<Effect>) {
        for (requester, ask) in std::mem::take(&mut self.stop.deferred) {
            self.request_received(now, requester, ask, effects);
        }
    }

    /// Starts the period in which the last answers can leave.
    fn linger(&mut self, now: Timestamp) {
        self.stop.step = Step::Lingering { until: now.plus_ms(LINGER_MS) };
    }

    /// Returns all leases, so that other instances need not wait for them to expire.
    fn return_leases(&mut self, now: Timestamp, effects: &mut Vec<Effect>) {
        let keys: Vec<_> = self.targets.keys().collect();
        for key in keys {
            self.retire(key);
        }
        self.sync_targets(now);
        self.renew_leases(now, effects);
    }
}

/// Creates the record of a submission that was taken over with its answer.
fn restore(id: &SubmissionId, outcome: Outcome) -> Record {
    Record::answered(id.clone(), outcome)
}

/// Returns the final outcome of a submission, of which nothing more will be started.
fn last_outcome(record: Record) -> Outcome {
    let started = record.may_have_started();
    match record.outcome {
        Some(outcome) => outcome,
        None if record.rules.job && started => {
            Outcome::Failed(FailureCode::DeadlinePassed)
        }
        None if started => Outcome::Unknown(UnknownCode::OwnerGone),
        None => {
            let code = RefusalCode::Draining;
            Outcome::Refused(Refusal { code, retry_after_ms: None })
        }
    }
}
