//! The messages to and from other instances.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;

use bamboocart_core::engine::{Event, Reply};
use bamboocart_core::id::InstanceName;
use bamboocart_core::message::{CallerRequest, Envelope, Message};
use bamboocart_core::ownership::Owner;
use bamboocart_peer::{
    Delivery, DeliveryReport, DisconnectCounts, InboundMessage, Links, MessageId,
    SendError, SendPriority,
};
use bamboocart_wire::message::{decode, encode};
use crossbeam::channel::{Receiver, Sender};

use crate::standalone::observe::{self, MessageDelivery};
use crate::standalone::spans::PeerSpans;

/// Sends messages to peers and reports their delivery to the engine.
pub struct PeerLinks {
    links: Links,
    /// The messages whose delivery the engine tracks.
    tracked: Arc<Mutex<HashMap<MessageId, TrackedMessage>>>,
    /// The spans of forwarded submissions and lent tasks, which end at the answer.
    spans: Arc<PeerSpans>,
}

/// A message whose delivery the engine tracks.
#[derive(Debug, Copy, Clone)]
struct TrackedMessage {
    /// The correlation id that the engine has given the message.
    correlation: u64,
    /// Whether an acknowledgement is reported too, not only a failure.
    delivery: bool,
}

impl PeerLinks {
    /// Starts the threads that forward messages and delivery reports to the engine.
    pub fn start(
        links: Links,
        (inbound, reports): (Receiver<InboundMessage>, Receiver<DeliveryReport>),
        events: &Sender<Event>,
        spans: Arc<PeerSpans>,
    ) -> Self {
        let tracked: Arc<Mutex<HashMap<MessageId, TrackedMessage>>> = Arc::default();
        let (inbound_events, inbound_spans) = (events.clone(), spans.clone());
        thread::spawn(move || {
            forward_messages(&inbound, &inbound_events, &inbound_spans)
        });
        let (report_events, report_tracked) = (events.clone(), tracked.clone());
        thread::spawn(move || forward_reports(&reports, &report_tracked, &report_events));
        Self { links, tracked, spans }
    }

    /// Replaces the addresses of the peers that links are opened to.
    pub fn set_peers(&self, addresses: &[Arc<str>]) {
        let parse = |text: &Arc<str>| match text.parse::<SocketAddr>() {
            Ok(address) => Some(address),
            Err(error) => {
                log::warn!("ignored peer address {text}: {error}; use IP:PORT");
                None
            }
        };
        let addresses: Vec<SocketAddr> = addresses.iter().filter_map(parse).collect();
        self.links.set_peers(&addresses);
    }

    /// Sends a message, and returns the event that reports a message which certainly is
    /// not sent.
    pub fn send(
        &self,
        address: &str,
        correlation: Option<u64>,
        envelope: &Envelope,
    ) -> Option<Event> {
        let message = &envelope.message;
        let priority = match message {
            Message::Heartbeat(_) => SendPriority::Heartbeat,
            _ => SendPriority::Normal,
        };
        let not_sent = correlation
            .map(|correlation| Event::PeerUndelivered { correlation, certain: true });
        let Ok(address) = address.parse::<SocketAddr>() else { return not_sent };
        let bytes = match encode(envelope) {
            Ok(bytes) => bytes,
            Err(error) => {
                log::error!(request_id = request_id(message); "{error}");
                return not_sent;
            }
        };
        // The report may arrive before the message is in the table, so the table is
        // locked until then.
        let mut tracked = self.tracked.lock().unwrap_or_else(PoisonError::into_inner);
        match (self.links.send(address, priority, bytes), correlation) {
            (Ok(id), Some(correlation)) => {
                let delivery = matches!(message, Message::HandoverPart(_));
                tracked.insert(id, TrackedMessage { correlation, delivery });
                None
            }
            (Ok(_), None) => None,
            (Err(error), _) => {
                log_unsent(message, &error);
                observe::count_link_message(MessageDelivery::NotSent);
                not_sent
            }
        }
    }

    /// Returns how many inbound connections were closed, by reason.
    pub fn disconnect_counts(&self) -> DisconnectCounts {
        self.links.disconnect_counts()
    }

    /// Ends the span of a forwarded submission or a lent task, which has been answered.
    pub fn end_span(&self, peer: &InstanceName, correlation: u64) {
        self.spans.end(peer, correlation);
    }

    /// Stops the links after the messages in flight.
    pub fn stop(self) {
        self.links.stop();
    }
}

/// Logs why a message was not sent.
fn log_unsent(message: &Message, error: &SendError) {
    log::debug!(request_id = request_id(message); "{error}");
}

/// Returns the id of the submission that a message concerns, or `-`.
fn request_id(message: &Message) -> String {
    let id = match message {
        Message::Forward { request: CallerRequest::Submit(submission), .. } => {
            submission.id.as_ref()
        }
        Message::Forward {
            request: CallerRequest::Query(id) | CallerRequest::Cancel(id),
            ..
        } => Some(id),
        Message::Answer { reply, .. } => match reply.as_ref() {
            Reply::Outcome { submission, .. } => submission.as_ref(),
            _ => None,
        },
        Message::Offer { task, .. } => Some(&task.submission),
        _ => None,
    };
    id.map_or_else(|| "-".to_owned(), ToString::to_string)
}

/// Decodes the messages of peers and forwards them to the engine.
fn forward_messages(
    inbound: &Receiver<InboundMessage>,
    events: &Sender<Event>,
    spans: &PeerSpans,
) {
    for item in inbound {
        let mut envelope = match decode(&item.message) {
            Ok(envelope) => envelope,
            Err(error) => {
                log::warn!("dropped a message from {}: {error}", item.from.instance);
                continue;
            }
        };
        start_span(&mut envelope.message, &item.from.instance, spans);
        let from = Owner::new(item.from.instance.clone(), item.from.incarnation);
        if events.send(Event::PeerMessage { from, envelope }).is_err() {
            return;
        }
    }
}

/// Starts the span of a submission or task that a peer has sent here, and makes it the
/// parent of the next hop.
fn start_span(message: &mut Message, from: &InstanceName, spans: &PeerSpans) {
    match message {
        Message::Forward { correlation, request: CallerRequest::Submit(submission) } => {
            let parent = submission.traceparent.take();
            let context = (submission.id.as_ref(), parent.as_deref());
            let number = (from, *correlation);
            submission.traceparent = spans.start("owner", number, context);
        }
        Message::Offer { correlation, task } => {
            let parent = task.traceparent.take();
            let context = (Some(&task.submission), parent.as_deref());
            task.traceparent = spans.start("lender", (from, *correlation), context);
        }
        _ => {}
    }
}

/// Reports to the engine the tracked messages that were not acknowledged, and the parts
/// of handovers that were.
fn forward_reports(
    reports: &Receiver<DeliveryReport>,
    tracked: &Mutex<HashMap<MessageId, TrackedMessage>>,
    events: &Sender<Event>,
) {
    for report in reports {
        let mut tracked = tracked.lock().unwrap_or_else(PoisonError::into_inner);
        let found = tracked.remove(&report.id);
        drop(tracked);
        let outcome = match report.delivery {
            Delivery::Acknowledged { .. } => MessageDelivery::Acknowledged,
            Delivery::NotSent(_) => MessageDelivery::NotSent,
            Delivery::Unknown(_) => MessageDelivery::Unknown,
        };
        observe::count_link_message(outcome);
        let Some(TrackedMessage { correlation, delivery }) = found else { continue };
        let undelivered = |certain| Event::PeerUndelivered { correlation, certain };
        let event = match outcome {
            MessageDelivery::Acknowledged if delivery => {
                Event::PeerDelivered { correlation }
            }
            MessageDelivery::Acknowledged => continue,
            MessageDelivery::NotSent => undelivered(true),
            MessageDelivery::Unknown => undelivered(false),
        };
        if events.send(event).is_err() {
            return;
        }
    }
}
