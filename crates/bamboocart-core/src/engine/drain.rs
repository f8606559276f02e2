//! The planned stop of this instance.

use std::collections::BTreeSet;

use crate::engine::forward::{About, Pending};
use crate::engine::record::{Asker, Record};
use crate::engine::{Effect, Engine, NewSubmission};
use crate::id::{InstanceName, SubmissionId};
use crate::membership::{Member, PeerInfo, choose_successor};
use crate::message::{CallerRequest, Message};
use crate::outcome::{FailureCode, Outcome, Refusal, RefusalCode, UnknownCode};
use crate::ownership::{HandoverPart, Owner, Stage};
use crate::time::Timestamp;

/// The time that a stopping instance waits for its submissions, which is longer than the
/// longest tasks.
const FINISH_MS: u64 = 30_000;

/// The time after which the parts of a handover are sent again.
const RESEND_MS: u64 = 500;

/// The time after which an unacknowledged handover is given up.
const HAND_OVER_MS: u64 = 5_000;

/// The time that last answers have to leave.
const LINGER_MS: u64 = 300;

/// The time that the end of the account has to reach the log.
const CLOSE_MS: u64 = 5_000;

/// The wishes that wait for the end of the handover. Beyond it, new submissions are refused
/// while the registry is here, and everything is answered "unknown" afterwards.
const PARKED: usize = 10_000;

/// The time before its own stop in which an instance is not chosen as successor.
const SUCCESSOR_AHEAD_MS: u64 = 60_000;

/// How far a planned stop has come.
#[derive(Debug, Default)]
pub struct Stop {
    /// The step.
    step: Step,
    /// The wishes that wait for the successor.
    parked: Vec<(Asker, CallerRequest)>,
    /// The successors that certainly never get the right, at most the known peers.
    passed_over: BTreeSet<Owner>,
}

/// What is known about the first part of a handover.
#[derive(Debug, Copy, Clone, Eq, PartialEq)]
enum Reach {
    /// It was sent once, and the link has not reported what became of it.
    Unreported,
    /// Every send of it was certainly lost.
    Lost,
    /// The successor has it or may have it.
    Possible,
}

/// The steps of a planned stop.
#[derive(Debug, Copy, Clone, Default)]
enum Step {
    /// No stop is planned.
    #[default]
    Serving,
    /// The balancer is told, and submissions are still admitted.
    LameDuck {
        /// When admission ends.
        until: Timestamp,
    },
    /// Admitted submissions are finished.
    Finishing {
        /// When unfinished submissions are given up.
        until: Timestamp,
    },
    /// The registry is on its way to the successor.
    HandingOver {
        /// When the parts are sent again.
        resend_at: Timestamp,
        /// When the handover is given up.
        until: Timestamp,
        /// Whether the successor may have the first part, without which it cannot use
        /// any of the others.
        reach: Reach,
    },
    /// Last answers leave.
    Lingering {
        /// When the instance stops.
        until: Timestamp,
    },
    /// The end of the account is on its way to the log.
    Closing {
        /// When the instance stops without a confirmation.
        until: Timestamp,
    },
    /// The instance may stop.
    Done,
}

impl Engine {
    /// Begins a planned stop.
    pub(super) fn drain(&mut self, now: Timestamp, effects: &mut Vec<Effect>) {
        if self.is_leaving() {
            return;
        }
        let until = now.plus_ms(self.setup.lame_duck_ms);
        self.stop.step = Step::LameDuck { until };
        effects.push(Effect::Leaving);
        self.beat_all(effects);
    }

    /// Reports whether a planned stop has begun.
    pub(super) fn is_leaving(&self) -> bool {
        !matches!(self.stop.step, Step::Serving)
    }

    /// Begins to stop if a stop plan says so, and marks the targets that it has reached.
    pub(super) fn apply_stops(&mut self, now: Timestamp, effects: &mut Vec<Effect>) {
        let (left, changes) = self.membership.apply_stops(&self.stops, now);
        self.fleet_changed |= !left.is_empty();
        self.peers_changed(now, &changes, effects);
        let me = Member::Instance(self.me.instance.clone());
        if self.stops.leaving(&me, self.me.incarnation, now).is_some() {
            self.drain(now, effects);
        }
    }

    /// Moves a planned stop on.
    pub(super) fn drain_round(&mut self, now: Timestamp, effects: &mut Vec<Effect>) {
        match self.stop.step {
            Step::LameDuck { until } if now >= until => {
                self.tenure = std::mem::take(&mut self.tenure).drain();
                let until = now.plus_ms(FINISH_MS);
                self.stop.step = Step::Finishing { until };
            }
            Step::Finishing { until } if self.tenure.open() == 0 || now >= until => {
                self.hand_over(now, effects);
            }
            Step::HandingOver { until, .. } if now >= until => {
                self.give_up_handover(now, effects);
            }
            Step::HandingOver { resend_at, reach, .. }
                if now >= resend_at && reach != Reach::Unreported =>
            {
                self.send_parts(now, effects);
            }
            Step::Lingering { until } if now >= until => {
                self.return_leases(now, effects);
                self.ledger.close(now);
                let until = now.plus_ms(CLOSE_MS);
                self.stop.step = Step::Closing { until };
            }
            Step::Closing { until } if self.ledger.is_finished() || now >= until => {
                self.stop.step = Step::Done;
                effects.push(Effect::Drained);
            }
            _ => {}
        }
    }

    /// Reports whether a submission is kept back until the successor can take it.
    ///
    /// It is one that the registry does not know, since the registry answers the others.
    pub(super) fn keeps_back(&self, id: &SubmissionId) -> bool {
        let known = self.tenure.find(id).is_some() || self.tenure.refusal(id).is_some();
        let finishing = matches!(self.stop.step, Step::Finishing { .. });
        finishing && !known && self.stop.parked.len() < PARKED
    }

    /// Keeps a wish back until the handover ends.
    ///
    /// While the registry is on its way, the successor does not know its rights yet and
    /// would answer "unknown".
    pub(super) fn park(
        &mut self,
        asker: Asker,
        ask: CallerRequest,
        effects: &mut Vec<Effect>,
    ) {
        match self.stop.parked.len() < PARKED {
            true => self.stop.parked.push((asker, ask)),
            false => self.answer_unknown(&asker, &ask, UnknownCode::OwnerGone, effects),
        }
    }

    /// Gives a submission without an id to a peer that admits, if there is one.
    pub(super) fn hand_to_peer(
        &mut self,
        now: Timestamp,
        asker: &Asker,
        submission: &NewSubmission,
        effects: &mut Vec<Effect>,
    ) -> bool {
        let Some(peer) =
            self.successor(now).filter(|_| matches!(asker, Asker::Caller(_)))
        else {
            return false;
        };
        let owner = Owner::new(peer.name, peer.incarnation);
        let ask = CallerRequest::Submit(Box::new(submission.clone()));
        self.forward(now, asker.clone(), &owner, ask, effects);
        true
    }

    /// Returns the peer that takes over from this instance.
    fn successor(&self, now: Timestamp) -> Option<PeerInfo> {
        let peers = &self.membership.peers;
        let owner = |info: &PeerInfo| Owner::new(info.name.clone(), info.incarnation);
        let passed_over = |name: &InstanceName| {
            let peer = peers.get(name);
            peer.is_some_and(|peer| self.stop.passed_over.contains(&owner(&peer.info)))
        };
        let stopping = |name: &InstanceName| {
            let member = Member::Instance(name.clone());
            peers.get(name).is_some_and(|peer| {
                let incarnation = peer.info.incarnation;
                self.stops.leaves_soon(&member, incarnation, now, SUCCESSOR_AHEAD_MS)
            })
        };
        let successor = choose_successor(peers, |it| passed_over(it) || stopping(it))
            .or_else(|| choose_successor(peers, passed_over));
        successor.map(|peer| peer.info.clone())
    }

    /// Reports whether the right to an owner's submissions is on its way to a successor.
    pub(super) fn is_handing_over(&self, owner: &Owner) -> bool {
        let given_up = match &self.tenure {
            Stage::HandedOver(handed) => handed.rights().holds(owner),
            _ => false,
        };
        given_up && matches!(self.stop.step, Step::HandingOver { .. })
    }

    /// Tells a peer who answers for the submissions of this instance now, and reports
    /// whether anybody does.
    ///
    /// The peer then gives its forwards to the successor, so none of them needs a second
    /// hop from here. It is told only when the successor is final, because peers keep the
    /// first one that they hear of.
    pub(super) fn tell_successor(
        &self,
        peer: &InstanceName,
        effects: &mut Vec<Effect>,
    ) -> bool {
        let Stage::HandedOver(handed) = &self.tenure else { return false };
        if let Step::HandingOver { .. } = self.stop.step {
            return false;
        }
        let (from, to) = (handed.from().clone(), handed.successor().clone());
        self.tell(peer, Message::Succession { from, to }, effects);
        true
    }

    /// Gives up the right to start anything and sends the registry to a successor.
    ///
    /// Without one, the registry stays and answers what it knows until the end.
    fn hand_over(&mut self, now: Timestamp, effects: &mut Vec<Effect>) {
        let Some(info) = self.successor(now) else {
            self.linger(now);
            self.release_parked(now, effects);
            return;
        };
        let owner = Owner::new(info.name, info.incarnation);
        let tenure = std::mem::take(&mut self.tenure);
        self.tenure = tenure.hand_over(owner, &self.issuer, |_, r| last_outcome(r));
        let until = now.plus_ms(HAND_OVER_MS);
        self.stop.step = Step::HandingOver { resend_at: now, until, reach: Reach::Lost };
        self.send_parts(now, effects);
    }

    /// Sends the parts of the handover.
    ///
    /// The link reports what becomes of the first one, until the successor may have it.
    fn send_parts(&mut self, now: Timestamp, effects: &mut Vec<Effect>) {
        let Stage::HandedOver(handed) = &self.tenure else { return };
        let Step::HandingOver { resend_at, until, reach } = &mut self.stop.step else {
            return;
        };
        *resend_at = now.plus_ms(RESEND_MS);
        let lost = *reach == Reach::Lost;
        if lost {
            *reach = Reach::Unreported;
        }
        let (until, to) = (*until, handed.successor().clone());
        let parts = handed.parts().to_vec();
        let mut tracked = lost.then(|| {
            let about = About::HandOver;
            let key = self.add_pending(Pending { peer: to.clone(), until, about });
            self.correlation(key)
        });
        for part in parts {
            let message = Message::HandoverPart(Box::new(part));
            self.tell_tracked(&to.instance, tracked.take(), message, effects);
        }
    }

    /// Gives a handover up that the successor may have taken or may still take.
    fn give_up_handover(&mut self, now: Timestamp, effects: &mut Vec<Effect>) {
        let warning = "the successor did not acknowledge the handover; its ids are \
                       answered as unknown";
        effects.push(Effect::Warn(warning.into()));
        self.end_handover(now, effects);
    }

    /// Ends a handover whose successor is final.
    fn end_handover(&mut self, now: Timestamp, effects: &mut Vec<Effect>) {
        if let Stage::HandedOver(handed) = &self.tenure {
            let (from, to) = (handed.from().clone(), handed.successor().clone());
            self.successions.learn(from, to);
        }
        self.linger(now);
        self.release_parked(now, effects);
    }

    /// Takes the right back from a successor that certainly never gets it, and hands
    /// over to the next one.
    fn pass_over(
        &mut self,
        now: Timestamp,
        successor: &Owner,
        effects: &mut Vec<Effect>,
    ) {
        effects.push(Effect::Info(format!("{successor} did not take the handover")));
        self.stop.passed_over.insert(successor.clone());
        self.tenure = std::mem::take(&mut self.tenure).take_back(now, restore);
        self.hand_over(now, effects);
    }

    /// Notes what the link reports about the first part.
    ///
    /// If every send of it was lost, the successor never gets the right, and another one
    /// is chosen if there is one.
    pub(super) fn hand_over_reported(
        &mut self,
        now: Timestamp,
        (to, lost): (&Owner, bool),
        effects: &mut Vec<Effect>,
    ) {
        if !self.is_handing_over_to(to) {
            return;
        }
        let Step::HandingOver { reach, .. } = &mut self.stop.step else { return };
        *reach = if lost { Reach::Lost } else { Reach::Possible };
        if !lost {
            return;
        }
        self.stop.passed_over.insert(to.clone());
        match self.successor(now) {
            Some(_) => self.pass_over(now, to, effects),
            None => drop(self.stop.passed_over.remove(to)),
        }
    }

    /// Reports whether a peer is the present successor.
    fn is_handing_over_to(&self, peer: &Owner) -> bool {
        let successor = match &self.tenure {
            Stage::HandedOver(handed) => handed.successor() == peer,
            _ => false,
        };
        successor && matches!(self.stop.step, Step::HandingOver { .. })
    }

    /// Notes that the successor is stopping and never takes the handover.
    pub(super) fn hand_over_declined(
        &mut self,
        now: Timestamp,
        by: &Owner,
        owner: &Owner,
        effects: &mut Vec<Effect>,
    ) {
        if *owner == self.me && self.is_handing_over_to(by) {
            self.pass_over(now, by, effects);
        }
    }

    /// Takes in a part of a predecessor's registry.
    pub(super) fn handed_over(
        &mut self,
        now: Timestamp,
        from: &Owner,
        part: HandoverPart,
        effects: &mut Vec<Effect>,
    ) {
        let taken = Message::HandoverAccepted { from: part.from.clone() };
        if self.is_leaving() && part.successor == self.me {
            // Both answers are final: a stop has no way back to service.
            let answer = match self.tenure.has_adopted(&part.from) {
                true => taken,
                false => Message::HandoverDeclined { from: part.from },
            };
            self.tell(&from.instance, answer, effects);
            return;
        }
        let Stage::Serving(registry) = &mut self.tenure else { return };
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

    /// Notes that the successor has taken over.
    pub(super) fn hand_over_taken(
        &mut self,
        by: &Owner,
        owner: &Owner,
        effects: &mut Vec<Effect>,
    ) {
        if *owner == self.me && self.is_handing_over_to(by) {
            self.end_handover(self.round_at, effects);
        }
    }

    /// Takes in again what was kept back.
    fn release_parked(&mut self, now: Timestamp, effects: &mut Vec<Effect>) {
        for (asker, ask) in std::mem::take(&mut self.stop.parked) {
            self.asked(now, asker, ask, effects);
        }
    }

    /// Leaves the last answers time to arrive.
    fn linger(&mut self, now: Timestamp) {
        self.stop.step = Step::Lingering { until: now.plus_ms(LINGER_MS) };
    }

    /// Returns all leases, so that others need not wait for their lapse.
    fn return_leases(&mut self, now: Timestamp, effects: &mut Vec<Effect>) {
        let keys: Vec<_> = self.targets.keys().collect();
        for key in keys {
            self.retire(key);
        }
        self.sync_targets(now);
        self.renew_leases(now, effects);
    }
}

/// Makes a record of a submission that was taken over with its answer.
fn restore(id: &SubmissionId, outcome: Outcome) -> Record {
    Record::answered(id.clone(), outcome)
}

/// Returns the answer of a submission of which nothing more will be started.
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
