//! Cancellation of jobs through any instance.

mod support;

use bamboocart_jobs::{
    Answer, Engine, JobId, JobState, Member, Message, Moment, PeerKey, RequestKey,
};
use support::{answers_of, frame, step, submission};

const NOW: Moment = Moment(10_000);

fn member(name: &str) -> Member {
    support::member(name, "marka")
}

fn job() -> JobId {
    support::JOB.parse().unwrap()
}

fn submit(engine: &mut Engine, now: Moment, request: u64) {
    engine.submit(now, submission(request, vec![step(1, &[])]));
}

/// Returns the answers that the engine gives to requests.
fn answers(engine: &mut Engine) -> Vec<(RequestKey, Answer)> {
    answers_of(engine.take_effects())
}

/// Creates an instance with an open link to one peer.
fn instance(own: &str, other: &str) -> (Engine, PeerKey) {
    let mut engine = Engine::new(member(own), 1);
    engine.set_members(NOW, 1, &[member(own), member(other)]);
    let peer = engine.peer(NOW, &member(other));
    engine.link_opened(peer);
    (engine, peer)
}

/// Returns the cancellations that the engine sends to its peer.
fn cancels(engine: &mut Engine) -> Vec<Message> {
    let frames = engine.take_frames(NOW + 1);
    let messages = frames.into_iter().flat_map(|(_, frame)| frame.messages);
    messages.filter(|message| matches!(message, Message::Cancel(_))).collect()
}

/// Guards against a job that goes on because its client sent the cancellation to an
/// instance that does not own it, and against one that starts afterwards because its
/// request is repeated.
#[test]
fn a_job_is_cancelled_through_any_instance() {
    let (mut owner, from_asked) = instance("entry-1", "entry-2");
    let (mut asked, _) = instance("entry-2", "entry-1");
    submit(&mut owner, NOW, 1);
    cancels(&mut asked);
    assert!(!asked.cancel(NOW, job()), "the asked instance does not know the job");
    let messages = cancels(&mut asked);
    assert_eq!(messages.len(), 1);
    owner.frame_arrived(NOW, from_asked, frame(NOW, messages));
    let cancelled = Answer::Ended(JobState::Cancelled);
    assert_eq!(answers(&mut owner), [(RequestKey(1), cancelled)]);
    assert!(cancels(&mut owner).is_empty(), "the cancellation is sent on in a loop");
    for engine in [&mut owner, &mut asked] {
        submit(engine, NOW + 1_300, 2);
        assert_eq!(answers(engine), [(RequestKey(2), cancelled)]);
    }
}

/// Guards against a state for a job that no client has submitted.
#[test]
fn an_unknown_job_stays_unknown_when_it_is_cancelled() {
    let (mut engine, _) = instance("entry-1", "entry-2");
    engine.cancel(NOW, job());
    assert_eq!(engine.state(job()), None);
    assert!(!engine.cancel(NOW, job()));
}
