//! Messages between healthy instances.

use std::net::TcpListener;

use crate::support::{Node, TEST_TIMEOUT, short_timeouts, unused_address};
use bamboocart_peer::{
    Delivery, LinkSettings, MAX_MESSAGE_BYTES, NotSentReason, SendError, SendPriority,
};
use bytes::Bytes;
use yare::parameterized;

/// Guards against messages that are truncated, merged or attributed to another sender.
#[parameterized(
    empty = { 0 },
    byte = { 1 },
    beyond_one_window = { 65_536 },
    largest = { MAX_MESSAGE_BYTES },
)]
fn exchanges_both_ways(bytes: usize) {
    let (a, b) = (
        Node::start("a", LinkSettings::default()),
        Node::start("b", LinkSettings::default()),
    );
    for (from, to) in [(&a, &b), (&b, &a)] {
        from.links.set_peers(&[to.address()]);
        let message: Bytes = (0..bytes).map(|i| (i % 251) as u8).collect();
        let delivery = from.deliver(to.address(), message.clone());
        assert_eq!(delivery, Delivery::Acknowledged { by: to.identity.clone() });
        let inbound = to.inbound.recv_timeout(TEST_TIMEOUT).unwrap();
        assert_eq!(inbound.from, from.identity);
        assert!(inbound.message == message, "the message was changed");
    }
}

/// Guards against lost and duplicated messages. Their order is not guaranteed, because
/// every message uses its own stream.
#[test]
fn delivers_each_message_once_in_any_order() {
    const MESSAGES: u32 = 500;
    let (a, b) = (Node::start("a", short_timeouts()), Node::start("b", short_timeouts()));
    a.links.set_peers(&[b.address()]);
    for number in 0..MESSAGES {
        let mut message = number.to_be_bytes().to_vec();
        message.resize(4 + (number as usize * 97) % 4_000, 0);
        a.send(b.address(), message);
    }
    let mut seen: Vec<u32> = (0..MESSAGES)
        .map(|_| b.inbound.recv_timeout(TEST_TIMEOUT).unwrap().message)
        .map(|message| u32::from_be_bytes(message[..4].try_into().unwrap()))
        .collect();
    seen.sort_unstable();
    assert_eq!(seen, (0..MESSAGES).collect::<Vec<_>>());
    for _ in 0..MESSAGES {
        let report = a.reports.recv_timeout(TEST_TIMEOUT).unwrap();
        assert!(matches!(report.delivery, Delivery::Acknowledged { .. }), "{report:?}");
    }
    assert!(b.inbound.is_empty());
}

/// Guards against a peer that acknowledges messages while its inbound channel is full.
#[test]
fn a_full_inbound_channel_is_reported_as_not_sent() {
    let a = Node::start("a", short_timeouts());
    let listen = TcpListener::bind("127.0.0.1:0").unwrap();
    let b = Node::start_on(listen, "b", 1, short_timeouts(), 1);
    a.links.set_peers(&[b.address()]);
    let taken = Delivery::Acknowledged { by: b.identity.clone() };
    assert_eq!(a.deliver(b.address(), "first"), taken);
    let busy = Delivery::NotSent(NotSentReason::PeerBusy);
    assert_eq!(a.deliver(b.address(), "second"), busy);
    assert_eq!(b.inbound.recv_timeout(TEST_TIMEOUT).unwrap().message, "first");
    assert_eq!(a.deliver(b.address(), "third"), taken);
    assert_eq!(b.inbound.recv_timeout(TEST_TIMEOUT).unwrap().message, "third");
}

/// Guards against inbound bytes beyond the limit, and against bytes that are never
/// released.
#[test]
fn inbound_bytes_are_bounded_until_messages_are_dropped() {
    let a = Node::start("a", short_timeouts());
    let b =
        Node::start("b", LinkSettings { max_inbound_bytes: 100_000, ..short_timeouts() });
    a.links.set_peers(&[b.address()]);
    let large = Bytes::from(vec![7; 60_000]);
    for _ in 0..3 {
        let taken = a.deliver(b.address(), large.clone());
        assert!(matches!(taken, Delivery::Acknowledged { .. }), "{taken:?}");
        let busy = a.deliver(b.address(), large.clone());
        assert_eq!(busy, Delivery::NotSent(NotSentReason::PeerBusy));
        drop(b.inbound.recv_timeout(TEST_TIMEOUT).unwrap());
    }
}

/// Guards against a message that is sent although `send` returned an error for it.
#[test]
fn rejects_what_it_cannot_send() {
    let a = Node::start(
        "a",
        LinkSettings { max_outbound_bytes: 9_000_000, ..short_timeouts() },
    );
    let address = unused_address();
    let send =
        |bytes| a.links.send(address, SendPriority::Normal, Bytes::from(vec![0; bytes]));
    assert_eq!(send(1), Err(SendError::UnknownPeer { address }));
    a.links.set_peers(&[address]);
    let limit = MAX_MESSAGE_BYTES;
    assert_eq!(send(limit + 1), Err(SendError::Oversized { bytes: limit + 1, limit }));
    send(limit).unwrap();
    assert_eq!(send(limit), Err(SendError::OutboundFull));
    let expired = a.reports.recv_timeout(TEST_TIMEOUT).unwrap().delivery;
    assert_eq!(expired, Delivery::NotSent(NotSentReason::Expired));
    send(limit).unwrap();
}

/// Guards against heartbeats that keep other messages out of a full queue, and against an
/// unbounded queue for a peer that is down.
#[test]
fn a_full_queue_drops_heartbeats_first() {
    let a = Node::start("a", LinkSettings { max_queued_messages: 4, ..short_timeouts() });
    let down = unused_address();
    a.links.set_peers(&[down]);
    let send = |priority| a.links.send(down, priority, Bytes::from_static(b"x"));
    let full = Err(SendError::QueueFull { address: down });
    let heartbeats: Vec<_> =
        (0..4).map(|_| send(SendPriority::Heartbeat).unwrap()).collect();
    assert_eq!(send(SendPriority::Heartbeat), full);
    let messages: Vec<_> = (0..4).map(|_| send(SendPriority::Normal).unwrap()).collect();
    assert_eq!(send(SendPriority::Normal), full);
    let reports =
        [(heartbeats, NotSentReason::Displaced), (messages, NotSentReason::Expired)];
    for (ids, reason) in reports {
        for id in ids {
            let report = a.reports.recv_timeout(TEST_TIMEOUT).unwrap();
            assert_eq!((report.id, report.delivery), (id, Delivery::NotSent(reason)));
        }
    }
}

/// Guards against messages without a report when their peer is removed or the links stop.
#[parameterized(
    removed = { false, NotSentReason::PeerRemoved },
    stopped = { true, NotSentReason::Stopped },
)]
fn waiting_messages_are_reported_when_the_link_ends(stop: bool, reason: NotSentReason) {
    let a = Node::start("a", short_timeouts());
    let down = unused_address();
    a.links.set_peers(&[down]);
    let mut ids: Vec<_> = (0..20).map(|_| a.send(down, "x")).collect();
    match stop {
        true => a.links.stop(),
        false => a.links.set_peers(&[]),
    }
    while !ids.is_empty() {
        let report = a.reports.recv_timeout(TEST_TIMEOUT).unwrap();
        assert_eq!(report.delivery, Delivery::NotSent(reason));
        ids.retain(|id| *id != report.id);
    }
}
