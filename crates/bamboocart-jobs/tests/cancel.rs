//! Cancelling jobs through any instance.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;

use bamboocart_jobs::{
    Answer, Effect, Engine, Frame, JobId, JobState, Member, Message, Moment, NewJob,
    PeerKey, Queue, RequestKey, Resources, Step, Submission,
};

const NOW: Moment = Moment(10_000);

fn member(name: &str) -> Member {
    Member {
        name: name.into(),
        failure_domain: "marka".into(),
        address: SocketAddr::from((Ipv4Addr::LOCALHOST, 7_000)),
        incarnation: 1,
    }
}

fn job() -> JobId {
    "00000000000000aa".parse().unwrap()
}

/// Creates an instance with one peer.
fn instance(own: &str, other: &str) -> (Engine, PeerKey) {
    let mut engine = Engine::new(member(own), 1);
    engine.set_members(NOW, 1, &[member(own), member(other)]);
    let peer = engine.peer(NOW, &member(other));
    engine.link_opened(peer);
    (engine, peer)
}

fn submit(engine: &mut Engine, now: Moment, request: u64) {
    let queue = Queue {
        name: "queue".into(),
        host: "jobs.example".into(),
        path_prefix: "/q/".into(),
        service: "service".into(),
        priority: 0,
        max_attempts: 1,
        slack_factor: 4.0,
        target_latency_ms: 10_000,
    };
    let step = Step {
        count: 1,
        need: Resources { cpu_millicores: 1_000, memory_mb: 64, gpu_count: 0 },
        estimate_ms: 100,
        ..Step::default()
    };
    let job = NewJob {
        id: job(),
        spec: "".into(),
        steps: vec![step],
        best_effort: true,
        unsupported: None,
    };
    let request = RequestKey(request);
    let queue = Arc::new(queue);
    engine.submit(now, Submission { request, queue, job, patience_ms: 60_000 });
}

/// Returns the answers that the engine gives.
fn answers(engine: &mut Engine) -> Vec<(RequestKey, Answer)> {
    let answer = |effect| match effect {
        Effect::Answer(request, answer) => Some((request, answer)),
        _ => None,
    };
    engine.take_effects().into_iter().filter_map(answer).collect()
}

/// Returns the messages about cancelled jobs that the engine sends.
fn cancels(engine: &mut Engine) -> Vec<Message> {
    let frames = engine.take_frames(NOW + 1);
    let messages = frames.into_iter().flat_map(|(_, frame)| frame.messages);
    messages.filter(|message| matches!(message, Message::Cancel(_))).collect()
}

/// Guards against a job that goes on because its client asked another instance than its
/// owner to cancel it, and against one that starts after that because its request comes
/// again.
#[test]
fn a_job_is_cancelled_through_any_instance() {
    let (mut owner, from_asked) = instance("entry-1", "entry-2");
    let (mut asked, _) = instance("entry-2", "entry-1");
    submit(&mut owner, NOW, 1);
    cancels(&mut asked);
    assert!(!asked.cancel(NOW, job()), "the asked instance does not know the job");
    let messages = cancels(&mut asked);
    assert_eq!(messages.len(), 1);
    let frame = Frame {
        sent_ms: 1,
        echo_ms: NOW.0,
        wants_rooms: true,
        uninformed: false,
        messages,
    };
    owner.frame_arrived(NOW, from_asked, frame);
    let cancelled = Answer::Ended(JobState::Cancelled);
    assert_eq!(answers(&mut owner), [(RequestKey(1), cancelled)]);
    assert!(cancels(&mut owner).is_empty(), "the message goes round");
    for engine in [&mut owner, &mut asked] {
        submit(engine, NOW + 1_300, 2);
        assert_eq!(answers(engine), [(RequestKey(2), cancelled)]);
    }
}

/// Guards against a state of a job that nobody has submitted.
#[test]
fn an_unknown_job_stays_unknown_when_it_is_cancelled() {
    let (mut engine, _) = instance("entry-1", "entry-2");
    engine.cancel(NOW, job());
    assert_eq!(engine.state(job()), None);
    assert!(!engine.cancel(NOW, job()));
}
