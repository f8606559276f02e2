//! Messages to and from other instances.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;

use bamboocart_core::engine::{Event, Reply};
use bamboocart_core::id::InstanceName;
use bamboocart_core::message::{CallerRequest, Envelope, Message};
use bamboocart_core::ownership::Owner;
use bamboocart_peer::{
    CutCounts, Delivery, Inbound, Links, MessageId, Report, SendError, SendPriority,
};
use bamboocart_wire::message::{decode, encode};
use crossbeam::channel::{Receiver, Sender};

use crate::standalone::observe::{self, LinkEnd};
use crate::standalone::spans::PeerSpans;

/// The links, with what is needed to tell the engine what became of its messages.
pub struct PeerGate {
    /// The links.
    links: Links,
    /// The messages that the engine wants to hear about.
    tracked: Arc<Mutex<HashMap<MessageId, Tracked>>>,
    /// The spans of forwarded submissions and lent tasks, which end with the answer.
    spans: Arc<PeerSpans>,
}

/// A message that the engine wants to hear about.
#[derive(Debug, Copy, Clone)]
struct Tracked {
    /// The engine's number.
    correlation: u64,
    /// Whether it wants to hear about the delivery too, not only about its failure.
    delivery: bool,
}

impl PeerGate {
    /// Starts to pass messages and reports on to the engine.
    pub fn start(
        links: Links,
        (inbound, reports): (Receiver<Inbound>, Receiver<Report>),
        events: &Sender<Event>,
        spans: Arc<PeerSpans>,
    ) -> Self {
        let tracked: Arc<Mutex<HashMap<MessageId, Tracked>>> = Arc::default();
        let (inbound_events, inbound_spans) = (events.clone(), spans.clone());
        thread::spawn(move || pass_messages(&inbound, &inbound_events, &inbound_spans));
        let (report_events, report_tracked) = (events.clone(), tracked.clone());
        thread::spawn(move || pass_reports(&reports, &report_tracked, &report_events));
        Self { links, tracked, spans }
    }

    /// Replaces the addresses of peers.
    pub fn set_peers(&self, addresses: &[Arc<str>]) {
        let parse = |text: &Arc<str>| match text.parse::<SocketAddr>() {
            Ok(address) => Some(address),
            Err(error) => {
                log::warn!("peer address {text} is ignored: {error}; use IP:PORT");
                None
            }
        };
        let addresses: Vec<SocketAddr> = addresses.iter().filter_map(parse).collect();
        self.links.set_peers(&addresses);
    }

    /// Sends a message and returns what follows if it certainly is not sent.
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
        // The report may arrive before this thread goes on, so the table stays locked.
        let mut tracked = self.tracked.lock().unwrap_or_else(PoisonError::into_inner);
        match (self.links.send(address, priority, bytes), correlation) {
            (Ok(id), Some(correlation)) => {
                let delivery = matches!(message, Message::HandoverPart(_));
                tracked.insert(id, Tracked { correlation, delivery });
                None
            }
            (Ok(_), None) => None,
            (Err(error), _) => {
                note_unsent(message, &error);
                observe::count_link_message(LinkEnd::NotSent);
                not_sent
            }
        }
    }

    /// Returns how often inbound connections were cut off.
    pub fn cut_counts(&self) -> CutCounts {
        self.links.cut_counts()
    }

    /// Ends the span of a forwarded submission or a lent task that is answered.
    pub fn end_span(&self, peer: &InstanceName, correlation: u64) {
        self.spans.end(peer, correlation);
    }

    /// Stops the links after the messages under way.
    pub fn stop(self) {
        self.links.stop();
    }
}

/// Logs that a message is not sent.
fn note_unsent(message: &Message, error: &SendError) {
    log::debug!(request_id = request_id(message); "{error}");
}

/// Returns the id of the submission that a message concerns, or a dash.
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

/// Passes the messages of peers on to the engine.
fn pass_messages(inbound: &Receiver<Inbound>, events: &Sender<Event>, spans: &PeerSpans) {
    for item in inbound {
        let mut envelope = match decode(&item.message) {
            Ok(envelope) => envelope,
            Err(error) => {
                log::warn!("message of {} is dropped: {error}", item.from.instance);
                continue;
            }
        };
        begin_span(&mut envelope.message, &item.from.instance, spans);
        let from = Owner::new(item.from.instance.clone(), item.from.incarnation);
        if events.send(Event::PeerMessage { from, envelope }).is_err() {
            return;
        }
    }
}

/// Begins the span of a hop that a message starts, as the parent of the next hop.
fn begin_span(message: &mut Message, from: &InstanceName, spans: &PeerSpans) {
    match message {
        Message::Forward { correlation, request: CallerRequest::Submit(submission) } => {
            let parent = submission.traceparent.take();
            let context = (submission.id.as_ref(), parent.as_deref());
            let number = (from, *correlation);
            submission.traceparent = spans.begin("owner", number, context);
        }
        Message::Offer { correlation, task } => {
            let parent = task.traceparent.take();
            let context = (Some(&task.submission), parent.as_deref());
            task.traceparent = spans.begin("lender", (from, *correlation), context);
        }
        _ => {}
    }
}

/// Tells the engine about messages that were not acknowledged, and about parts of
/// handovers that were.
fn pass_reports(
    reports: &Receiver<Report>,
    tracked: &Mutex<HashMap<MessageId, Tracked>>,
    events: &Sender<Event>,
) {
    for report in reports {
        let mut tracked = tracked.lock().unwrap_or_else(PoisonError::into_inner);
        let found = tracked.remove(&report.id);
        drop(tracked);
        let end = match report.delivery {
            Delivery::Acknowledged { .. } => LinkEnd::Acknowledged,
            Delivery::NotSent(_) => LinkEnd::NotSent,
            Delivery::Unknown(_) => LinkEnd::Unknown,
        };
        observe::count_link_message(end);
        let Some(Tracked { correlation, delivery }) = found else { continue };
        let undelivered = |certain| Event::PeerUndelivered { correlation, certain };
        let event = match end {
            LinkEnd::Acknowledged if delivery => Event::PeerDelivered { correlation },
            LinkEnd::Acknowledged => continue,
            LinkEnd::NotSent => undelivered(true),
            LinkEnd::Unknown => undelivered(false),
        };
        if events.send(event).is_err() {
            return;
        }
    }
}
