//! The messages that wait on one link.

use std::collections::VecDeque;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Instant;

use bytes::Bytes;
use tokio::sync::Notify;

use crate::budget::Reservation;
use crate::message::{MessageId, SendPriority};

/// A message on its way out.
#[derive(Debug)]
pub(crate) struct Outgoing {
    /// Its number.
    pub(crate) id: MessageId,
    /// What a full queue does with it.
    pub(crate) priority: SendPriority,
    /// The message.
    pub(crate) message: Bytes,
    /// When it is reported as not sent if it still waits.
    pub(crate) expires: Instant,
    /// Holds the bytes against the outbound limit.
    pub(crate) _reservation: Reservation,
}

/// Why a message was not queued.
#[derive(Debug, Copy, Clone, Eq, PartialEq)]
pub(crate) enum PushError {
    /// The queue is full.
    Full,
    /// The link is closed.
    Closed,
}

/// A bounded queue between callers' threads and the runtime.
#[derive(Debug)]
pub(crate) struct OutQueue {
    /// The most messages that wait.
    limit: usize,
    /// The messages.
    state: Mutex<State>,
    /// Wakes the link's task after a change.
    changed: Notify,
}

/// The content of a queue.
#[derive(Debug, Default)]
struct State {
    /// The messages, oldest first.
    waiting: VecDeque<Outgoing>,
    /// Displaced heartbeats whose reports are due. Each one makes room for another
    /// message, so there are at most `limit` of them until the task takes them.
    displaced: Vec<Outgoing>,
    /// Whether the link takes no more messages.
    closed: bool,
}

impl OutQueue {
    /// Creates a queue for at most `limit` messages.
    pub(crate) fn new(limit: usize) -> Self {
        let state = Mutex::new(State::default());
        Self { limit, state, changed: Notify::new() }
    }

    /// Adds a message, in place of a heartbeat if the queue is full.
    pub(crate) fn push(&self, message: Outgoing) -> Result<(), PushError> {
        let mut state = self.lock();
        if state.closed {
            return Err(PushError::Closed);
        }
        if state.waiting.len() >= self.limit {
            let heartbeat = displaceable(&state.waiting, message.priority);
            let position = heartbeat.ok_or(PushError::Full)?;
            let displaced = state.waiting.remove(position);
            state.displaced.extend(displaced);
        }
        state.waiting.push_back(message);
        drop(state);
        self.changed.notify_one();
        Ok(())
    }

    /// Puts back a message that was certainly not sent, or returns it if the link closed.
    pub(crate) fn put_back(&self, message: Outgoing) -> Result<(), Box<Outgoing>> {
        let mut state = self.lock();
        if state.closed {
            return Err(Box::new(message));
        }
        state.waiting.push_front(message);
        drop(state);
        self.changed.notify_one();
        Ok(())
    }

    /// Takes the next message.
    pub(crate) fn pop(&self) -> Option<Outgoing> {
        self.lock().waiting.pop_front()
    }

    /// Takes the displaced heartbeats.
    pub(crate) fn take_displaced(&self) -> Vec<Outgoing> {
        std::mem::take(&mut self.lock().displaced)
    }

    /// Takes the messages that waited too long.
    pub(crate) fn take_expired(&self, now: Instant) -> Vec<Outgoing> {
        let mut state = self.lock();
        let (expired, waiting) =
            state.waiting.drain(..).partition(|message| message.expires <= now);
        state.waiting = waiting;
        let expired: VecDeque<Outgoing> = expired;
        expired.into()
    }

    /// Refuses further messages and takes the ones that wait.
    pub(crate) fn close(&self) -> Vec<Outgoing> {
        let mut state = self.lock();
        state.closed = true;
        state.waiting.drain(..).collect()
    }

    /// Waits until a message is there.
    pub(crate) async fn ready(&self) {
        while self.lock().waiting.is_empty() {
            self.changed.notified().await;
        }
    }

    /// Locks the content; every change leaves it consistent, so poison is ignored.
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Returns the position of the oldest heartbeat if `priority` may displace it.
fn displaceable(waiting: &VecDeque<Outgoing>, priority: SendPriority) -> Option<usize> {
    match priority {
        SendPriority::Heartbeat => None,
        SendPriority::Normal => {
            waiting.iter().position(|message| message.priority == SendPriority::Heartbeat)
        }
    }
}
