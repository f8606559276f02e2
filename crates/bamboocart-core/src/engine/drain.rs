//! The planned stop of this instance.

use crate::engine::answer::Verdict;
use crate::engine::record::{Asker, Record};
use crate::engine::{Effect, Engine, NewSubmission};
use crate::id::{InstanceName, SubmissionId};
use crate::membership::{Member, PeerInfo, choose_successor};
use crate::message::{Ask, Message};
use crate::outcome::{FailureCode, Outcome, Refusal, RefusalCode, UnknownCode};
use crate::ownership::{Owner, Part, Stage};
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

/// The submissions that wait for the end of the handover; more are refused.
const PARKED: usize = 10_000;

/// The time before its own stop in which an instance is not chosen as successor.
const SUCCESSOR_AHEAD_MS: u64 = 60_000;

/// How far a planned stop has come.
#[derive(Debug, Default)]
pub struct Stop {
    /// The step.
    step: Step,
    /// The submissions that wait for the successor.
    parked: Vec<(Asker, NewSubmission)>,
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
            Step::HandingOver { resend_at, until } => {
                self.hand_over_again(now, (resend_at, until), effects);
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

    /// Keeps a submission back until the successor can take it.
    ///
    /// Only one that the registry does not know is kept back, since the registry answers
    /// the others. While the registry is on its way, the successor does not know its
    /// rights yet and would answer "unknown".
    pub(super) fn park(
        &mut self,
        asker: &Asker,
        id: &SubmissionId,
        submission: &NewSubmission,
    ) -> bool {
        let full = self.stop.parked.len() >= PARKED;
        let known = self.tenure.find(id).is_some() || self.tenure.refusal(id).is_some();
        let waiting =
            matches!(self.stop.step, Step::Finishing { .. } | Step::HandingOver { .. });
        if !waiting || full || known {
            return false;
        }
        self.stop.parked.push((asker.clone(), submission.clone()));
        true
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
        let ask = Ask::Submit(Box::new(submission.clone()));
        self.forward(now, asker.clone(), &owner, ask, effects);
        true
    }

    /// Returns the peer that takes over from this instance.
    fn successor(&self, now: Timestamp) -> Option<PeerInfo> {
        let stopping = |name: &_| {
            let member = Member::Instance(InstanceName::clone(name));
            let peer = self.membership.peers.get(name);
            peer.is_some_and(|peer| {
                let incarnation = peer.info.incarnation;
                self.stops.leaves_soon(&member, incarnation, now, SUCCESSOR_AHEAD_MS)
            })
        };
        let peers = &self.membership.peers;
        let successor = choose_successor(peers, stopping)
            .or_else(|| choose_successor(peers, |_| false));
        successor.map(|peer| peer.info.clone())
    }

    /// Reports whether an owner is to take over from this instance and may not have yet.
    pub(super) fn is_handing_over_to(&self, owner: &Owner) -> bool {
        let successor = match &self.tenure {
            Stage::HandedOver(handed) => handed.successor() == owner,
            _ => false,
        };
        successor && matches!(self.stop.step, Step::HandingOver { .. })
    }

    /// Tells a peer who answers for the submissions of this instance now, and reports
    /// whether anybody does.
    ///
    /// The peer then gives its forwards to the successor, so none of them needs a second
    /// hop from here.
    pub(super) fn tell_successor(
        &self,
        peer: &InstanceName,
        effects: &mut Vec<Effect>,
    ) -> bool {
        let Stage::HandedOver(handed) = &self.tenure else { return false };
        let (from, to) = (handed.from().clone(), handed.successor().clone());
        self.tell(peer, Message::Succession { from, to }, effects);
        true
    }

    /// Gives up the right to start anything and sends the registry to a successor.
    fn hand_over(&mut self, now: Timestamp, effects: &mut Vec<Effect>) {
        let successor = self.successor(now);
        let Some(info) = successor else {
            self.refuse_parked(effects);
            self.linger(now);
            return;
        };
        let owner = Owner::new(info.name, info.incarnation);
        let tenure = std::mem::take(&mut self.tenure);
        self.tenure =
            tenure.hand_over(owner.clone(), &self.issuer, |_, r| last_outcome(r));
        self.successions.learn(self.me.clone(), owner);
        self.stop.step = Step::HandingOver {
            resend_at: now.plus_ms(RESEND_MS),
            until: now.plus_ms(HAND_OVER_MS),
        };
        self.send_parts(effects);
    }

    /// Sends the parts of the handover again, or gives it up.
    fn hand_over_again(
        &mut self,
        now: Timestamp,
        (resend_at, until): (Timestamp, Timestamp),
        effects: &mut Vec<Effect>,
    ) {
        if now >= until {
            let warning = "the successor did not acknowledge the handover; its ids are \
                           answered as unknown";
            effects.push(Effect::Warn(warning.into()));
            self.linger(now);
            self.release_parked(now, effects);
        } else if now >= resend_at {
            let resend_at = now.plus_ms(RESEND_MS);
            self.stop.step = Step::HandingOver { resend_at, until };
            self.send_parts(effects);
        }
    }

    /// Sends the parts of the handover.
    fn send_parts(&self, effects: &mut Vec<Effect>) {
        let Stage::HandedOver(handed) = &self.tenure else { return };
        let to = &handed.successor().instance;
        for part in handed.parts() {
            self.tell(to, Message::HandOver(Box::new(part.clone())), effects);
        }
    }

    /// Takes in a part of a predecessor's registry.
    pub(super) fn handed_over(
        &mut self,
        now: Timestamp,
        from: &Owner,
        part: Part,
        effects: &mut Vec<Effect>,
    ) {
        let Stage::Serving(registry) = &mut self.tenure else { return };
        let taken = Message::HandOverTaken { from: part.from.clone() };
        match self.assembly.accept(part, registry.rights()) {
            Ok(None) => {}
            Ok(Some(complete)) => {
                let predecessor = complete.from().clone();
                match registry.adopt(complete, now, restore) {
                    Ok(count) => effects.push(Effect::Note(format!(
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
        let expected = match &self.tenure {
            Stage::HandedOver(handed) => {
                handed.from() == owner && handed.successor() == by
            }
            _ => false,
        };
        if !expected || !matches!(self.stop.step, Step::HandingOver { .. }) {
            return;
        }
        let now = self.round_at;
        self.linger(now);
        self.release_parked(now, effects);
    }

    /// Forwards the submissions that were kept back.
    fn release_parked(&mut self, now: Timestamp, effects: &mut Vec<Effect>) {
        for (asker, submission) in std::mem::take(&mut self.stop.parked) {
            self.submit(now, asker, submission, effects);
        }
    }

    /// Refuses the submissions that were kept back, when no peer can take them.
    ///
    /// They were never admitted, and nobody else may start them.
    fn refuse_parked(&mut self, effects: &mut Vec<Effect>) {
        let refusal = Refusal { code: RefusalCode::Draining, retry_after_ms: None };
        for (asker, submission) in std::mem::take(&mut self.stop.parked) {
            let outcome = Outcome::Refused(refusal);
            self.observe_answer(&submission, &outcome, effects);
            let verdict = Verdict { id: submission.id, outcome, attempts: 0 };
            self.reply(&asker, verdict, 0, effects);
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
