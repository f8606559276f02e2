//! The send queue of a link.

use std::collections::VecDeque;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Instant;

use bytes::Bytes;
use tokio::sync::Notify;

use crate::budget::Reservation;
use crate::message::{MessageId, SendPriority};

/// A message that is queued or being sent.
#[derive(Debug)]
pub(crate) struct OutboundMessage {
    pub(crate) id: MessageId,
    /// Whether another message may displace this one from a full queue.
    pub(crate) priority: SendPriority,
    /// The content.
    pub(crate) message: Bytes,
    /// When the message is reported as not sent if it is still queued.
    pub(crate) expires_at: Instant,
    /// Releases the bytes of the outbound limit on drop.
    pub(crate) _reservation: Reservation,
}

/// Why a message was not queued.
#[derive(Debug, Copy, Clone, Eq, PartialEq)]
pub(crate) enum PushError {
    /// The queue is full.
    Full,
    /// The link accepts no more messages.
    Closed,
}

/// A bounded queue from the callers' threads to the runtime.
#[derive(Debug)]
pub(crate) struct OutboundQueue {
    /// The maximum number of queued messages.
    limit: usize,
    /// The content, which callers and the runtime share.
    state: Mutex<State>,
    /// Wakes the link's task after a message is added.
    changed: Notify,
}

/// The content of a queue.
#[derive(Debug, Default)]
struct State {
    /// The queued messages, oldest first.
    queued: VecDeque<OutboundMessage>,
    /// Displaced heartbeats that are not yet reported. Each of them made room for a
    /// normal message, so there are at most `limit` until the task drains them.
    displaced: Vec<OutboundMessage>,
    /// Whether further messages are rejected.
    closed: bool,
}

impl OutboundQueue {
    /// Creates an empty queue for at most `limit` messages.
    pub(crate) fn new(limit: usize) -> Self {
        let state = Mutex::new(State::default());
        Self { limit, state, changed: Notify::new() }
    }

    /// Appends a message; a normal message displaces the oldest heartbeat if necessary.
    pub(crate) fn push(&self, message: OutboundMessage) -> Result<(), PushError> {
        let mut state = self.lock();
        if state.closed {
            return Err(PushError::Closed);
        }
        if state.queued.len() >= self.limit {
            let heartbeat = displaceable(&state.queued, message.priority);
            let index = heartbeat.ok_or(PushError::Full)?;
            let displaced = state.queued.remove(index);
            state.displaced.extend(displaced);
        }
        state.queued.push_back(message);
        drop(state);
        self.changed.notify_one();
        Ok(())
    }

    /// Puts an unsent message back at the front, or returns it if the queue is closed.
    pub(crate) fn put_back(
        &self,
        message: OutboundMessage,
    ) -> Result<(), Box<OutboundMessage>> {
        let mut state = self.lock();
        if state.closed {
            return Err(Box::new(message));
        }
        state.queued.push_front(message);
        drop(state);
        self.changed.notify_one();
        Ok(())
    }

    /// Removes and returns the oldest message.
    pub(crate) fn pop(&self) -> Option<OutboundMessage> {
        self.lock().queued.pop_front()
    }

    /// Removes and returns the displaced heartbeats.
    pub(crate) fn take_displaced(&self) -> Vec<OutboundMessage> {
        std::mem::take(&mut self.lock().displaced)
    }

    /// Removes and returns the messages that expired by `now`.
    pub(crate) fn take_expired(&self, now: Instant) -> Vec<OutboundMessage> {
        let mut state = self.lock();
        let (expired, queued) =
            state.queued.drain(..).partition(|message| message.expires_at <= now);
        state.queued = queued;
        let expired: VecDeque<OutboundMessage> = expired;
        expired.into()
    }

    /// Rejects further messages, and removes and returns the queued ones.
    pub(crate) fn close(&self) -> Vec<OutboundMessage> {
        let mut state = self.lock();
        state.closed = true;
        state.queued.drain(..).collect()
    }

    /// Waits until the queue is not empty.
    pub(crate) async fn wait_nonempty(&self) {
        while self.lock().queued.is_empty() {
            self.changed.notified().await;
        }
    }

    /// Locks the content; every change leaves it consistent, so poisoning is ignored.
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Returns the index of the oldest heartbeat if `priority` may displace it.
fn displaceable(
    queued: &VecDeque<OutboundMessage>,
    priority: SendPriority,
) -> Option<usize> {
    match priority {
        SendPriority::Heartbeat => None,
        SendPriority::Normal => {
            queued.iter().position(|message| message.priority == SendPriority::Heartbeat)
        }
    }
}
