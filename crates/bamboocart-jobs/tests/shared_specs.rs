//! Task descriptions in frames, which several starts of a job share.

mod support;

use bamboocart_jobs::{Frame, Message, Moment, Resources};
use support::{
    answer_hold_from, engine_with_holder, entry, frame, hold_of, member, room, starts_of,
    step, submission,
};

const START: Moment = Moment(10_000);

/// A task description whose size dominates that of a start.
const SPEC: &str = "a description of some task, as a client has sent it";

/// The capacity for three tasks of [`step`].
const FREE: Resources =
    Resources { cpu_millicores: 3_000, memory_mb: 4_096, gpu_count: 0 };

/// Returns the frame with which an owner orders three tasks of one job from a holder.
fn order_three() -> Frame {
    let (mut owner, holder) = engine_with_holder(START);
    owner.frame_arrived(START, holder, frame(START, vec![room("m-1", FREE)]));
    let mut job = submission(1, vec![step(3, &[])]);
    job.job.spec = SPEC.into();
    owner.submit(START, job);
    owner.take_frames(START).remove(0).1
}

/// Guards against frames with one copy of the description for each task of a job.
#[test]
fn a_frame_has_the_description_of_a_job_once() {
    let frame = order_three();
    let has_spec = |message: &&Message| match message {
        Message::Start { order, .. } | Message::StartSibling { order, .. } => {
            &*order.spec == SPEC
        }
        _ => false,
    };
    assert_eq!(frame.messages.iter().filter(has_spec).count(), 1, "{frame:?}");
    let starts = frame.messages.iter().filter(|message| {
        matches!(message, Message::Start { .. } | Message::StartSibling { .. })
    });
    assert_eq!(starts.count(), 3);
}

/// Guards against tasks that are started without their description, or with that of another
/// job.
#[test]
fn the_holder_starts_each_task_with_its_description() {
    let mut holder = bamboocart_jobs::Engine::new(member("entry-2", "sahab"), 7);
    let mut minion = entry("m-1", "sahab");
    minion.capacity = FREE;
    holder.update_minions(START, vec![minion]);
    holder.set_members(START, 5, &[member("entry-2", "sahab")]);
    let hold = hold_of(holder.take_effects());
    answer_hold_from(&mut holder, START, &hold, 1, Vec::new());
    let owner = holder.peer(START, &member("entry-1", "marka"));
    holder.link_opened(owner);
    let echo_ms = START.0;
    holder.frame_arrived(START, owner, Frame { echo_ms, ..order_three() });
    let starts = starts_of(holder.take_effects());
    assert_eq!(starts.len(), 3);
    assert!(starts.iter().all(|start| &*start.spec == SPEC), "{starts:?}");
}

/// Guards against a frame without the start to which a description belongs, which would be
/// applied with an empty one.
#[test]
fn a_start_without_any_description_is_dropped() {
    let mut holder = bamboocart_jobs::Engine::new(member("entry-2", "sahab"), 7);
    holder.update_minions(START, vec![entry("m-1", "sahab")]);
    holder.set_members(START, 5, &[member("entry-2", "sahab")]);
    let hold = hold_of(holder.take_effects());
    answer_hold_from(&mut holder, START, &hold, 1, Vec::new());
    let owner = holder.peer(START, &member("entry-1", "marka"));
    holder.link_opened(owner);
    let mut malformed = order_three();
    malformed.messages.retain(|it| matches!(it, Message::StartSibling { .. }));
    assert!(!malformed.messages.is_empty());
    holder.frame_arrived(START, owner, malformed);
    assert!(starts_of(holder.take_effects()).is_empty());
}
