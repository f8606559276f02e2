//! Connections that stop responding, peers that restart, and peers that misbehave.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;

use crate::support::{Forwarder, Node, TEST_TIMEOUT, short_timeouts, wait_for};
use bamboocart_peer::{
    Delivery, DisconnectCounts, DisconnectReason, LinkSettings, NotSentReason,
    UnknownReason,
};
use bytes::Bytes;
use yare::parameterized;

/// Guards against links that keep using an unresponsive connection, and against messages
/// that are sent again although they may have arrived.
#[parameterized(
    silent = { false, UnknownReason::NotAcknowledged },
    closed = { true, UnknownReason::ConnectionLost },
)]
fn a_silent_connection_is_replaced(close: bool, reason: UnknownReason) {
    const MESSAGE_BYTES: usize = 2_000;
    let (a, b) = (Node::start("a", short_timeouts()), Node::start("b", short_timeouts()));
    let forwarder = Forwarder::start(b.address());
    a.links.set_peers(&[forwarder.address]);
    let taken = Delivery::Acknowledged { by: b.identity.clone() };
    assert_eq!(a.deliver(forwarder.address, "before"), taken);

    forwarder.blackhole_open_connections();
    a.send(forwarder.address, vec![1; MESSAGE_BYTES]);
    if close {
        wait_for("the transfer", || {
            forwarder.discarded.load(Ordering::SeqCst) >= MESSAGE_BYTES
        });
        forwarder.close();
    }
    let report = a.reports.recv_timeout(TEST_TIMEOUT).unwrap();
    assert_eq!(report.delivery, Delivery::Unknown(reason));
    assert_eq!(a.deliver(forwarder.address, "after"), taken);
    let seen: Vec<Bytes> =
        (0..2).map(|_| b.inbound.recv_timeout(TEST_TIMEOUT).unwrap().message).collect();
    assert_eq!(seen, ["before", "after"]);
    assert!(b.inbound.is_empty());
}

/// Guards against the loss of a message whose end was never transmitted: it is definitely
/// not delivered, so it must be sent over the new connection.
#[test]
fn a_message_that_stalls_midway_moves_to_the_new_connection() {
    let (a, b) = (Node::start("a", short_timeouts()), Node::start("b", short_timeouts()));
    let forwarder = Forwarder::start(b.address());
    a.links.set_peers(&[forwarder.address]);
    let taken = Delivery::Acknowledged { by: b.identity.clone() };
    assert_eq!(a.deliver(forwarder.address, "before"), taken);
    forwarder.blackhole_open_connections();
    let large = Bytes::from(vec![3; 4_000_000]);
    assert_eq!(a.deliver(forwarder.address, large.clone()), taken);
    assert_eq!(b.inbound.recv_timeout(TEST_TIMEOUT).unwrap().message, "before");
    assert!(b.inbound.recv_timeout(TEST_TIMEOUT).unwrap().message == large);
    assert!(b.inbound.is_empty());
}

/// Guards against a connection that stays open although it is idle.
#[test]
fn an_idle_connection_is_closed_and_the_next_message_opens_one() {
    let settings = LinkSettings { idle_timeout_ms: 200, ..short_timeouts() };
    let (a, b) = (Node::start("a", settings), Node::start("b", short_timeouts()));
    let forwarder = Forwarder::start(b.address());
    a.links.set_peers(&[forwarder.address]);
    a.deliver(forwarder.address, "before");
    assert_eq!(forwarder.connections(), 1);
    wait_for("the close", || forwarder.ended.load(Ordering::SeqCst) == 1);
    let taken = Delivery::Acknowledged { by: b.identity.clone() };
    assert_eq!(a.deliver(forwarder.address, "after"), taken);
    assert_eq!(forwarder.connections(), 2);
}

/// Guards against reconnecting without backoff to a peer that closes each connection.
#[test]
fn failed_connections_are_spread_over_time() {
    let settings = LinkSettings {
        max_concurrent_streams: 1,
        queue_timeout_ms: 1_500,
        ..short_timeouts()
    };
    let a = Node::start("a", settings);
    let listen = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listen.local_addr().unwrap();
    let accepted = Arc::new(AtomicUsize::new(0));
    let counter = Arc::clone(&accepted);
    thread::spawn(move || {
        listen.incoming().for_each(|socket| {
            counter.fetch_add(1, Ordering::SeqCst);
            drop(socket);
        });
    });
    a.links.set_peers(&[address]);
    for _ in 0..1_000 {
        a.send(address, "x");
    }
    for _ in 0..1_000 {
        let report = a.reports.recv_timeout(TEST_TIMEOUT).unwrap();
        assert!(!matches!(report.delivery, Delivery::Acknowledged { .. }));
    }
    let accepted = accepted.load(Ordering::SeqCst);
    assert!((2..30).contains(&accepted), "{accepted} connections");
}

/// Guards against links that do not reconnect to a restarted peer or confuse its
/// incarnations.
#[test]
fn a_restarted_peer_is_found_again() {
    let a = Node::start("a", LinkSettings { queue_timeout_ms: 300, ..short_timeouts() });
    // No other test uses this address, so that none is given the port meanwhile.
    let listen = TcpListener::bind("127.0.0.3:0").unwrap();
    let address = listen.local_addr().unwrap();
    let first = Node::start_on(listen, "b", 1, short_timeouts(), 100);
    a.links.set_peers(&[address]);
    assert_eq!(a.deliver_until_acknowledged(address), first.identity);
    first.links.stop();
    let down = a.deliver(address, "to nobody");
    assert!(!matches!(down, Delivery::Acknowledged { .. }), "{down:?}");
    let second = Node::start_on(
        TcpListener::bind(address).unwrap(),
        "b",
        2,
        short_timeouts(),
        100,
    );
    assert_eq!(a.deliver_until_acknowledged(address), second.identity);
}

/// Guards against clients that are no peers and occupy connections or memory, and against
/// disconnects that affect other peers.
#[parameterized(
    garbage = { &[&[0xa5; 4_096]],
        |reason| matches!(reason, DisconnectReason::Protocol { .. }) },
    half_a_preface = { &[b"PRI * HT"],
        |reason| matches!(reason, DisconnectReason::NoPreface { .. }) },
    nothing = { &[], |reason| matches!(reason, DisconnectReason::NoPreface { .. }) },
    preface_only = { &[PREFACE],
        |reason| matches!(reason, DisconnectReason::Idle { .. }) },
    bad_frame = { &[PREFACE, BAD_FRAME],
        |reason| matches!(reason, DisconnectReason::Protocol { .. }) },
    no_identity = { &[PREFACE, NO_IDENTITY],
        |reason| matches!(reason, DisconnectReason::InvalidSender { .. }) },
)]
fn clients_that_are_no_peers_are_disconnected(
    sent: &[&[u8]],
    expected: fn(&DisconnectReason) -> bool,
) {
    let settings = LinkSettings {
        connect_timeout_ms: 300,
        idle_timeout_ms: 300,
        ..short_timeouts()
    };
    let (a, b) = (Node::start("a", short_timeouts()), Node::start("b", settings));
    a.links.set_peers(&[b.address()]);
    let mut socket = connect_and_write(b.address(), &sent.concat());
    let taken = Delivery::Acknowledged { by: b.identity.clone() };
    assert_eq!(a.deliver(b.address(), "meanwhile"), taken);
    socket.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
    let mut rest = Vec::new();
    let end = socket.read_to_end(&mut rest);
    let timed_out =
        |error: &std::io::Error| error.kind() == std::io::ErrorKind::WouldBlock;
    assert!(!end.as_ref().is_err_and(timed_out), "the connection stays open: {end:?}");
    let local = socket.local_addr().unwrap();
    let mut disconnects = Vec::new();
    wait_for("the disconnect", || {
        disconnects.extend(b.links.take_disconnects());
        disconnects.iter().any(|(remote, reason)| *remote == local && expected(reason))
    });
    assert_eq!(a.deliver(b.address(), "afterwards"), taken);
}

/// Guards against a peer that occupies streams or memory by sending slowly.
#[test]
fn a_slow_message_is_disconnected() {
    let settings = LinkSettings { message_timeout_ms: 400, ..short_timeouts() };
    let b = Node::start("b", settings);
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    let address = b.address();
    runtime.block_on(async {
        let socket = tokio::net::TcpStream::connect(address).await.unwrap();
        let (mut sender, connection) = h2::client::handshake(socket).await.unwrap();
        let driver = tokio::spawn(connection);
        let request = http::Request::post(format!("http://{address}/message"))
            .header("x-bamboocart-instance", "a")
            .header("x-bamboocart-incarnation", "1")
            .body(())
            .unwrap();
        let (response, mut body) = sender.send_request(request, false).unwrap();
        body.send_data(Bytes::from_static(b"x"), false).unwrap();
        assert_eq!(response.await.unwrap().status(), 400);
        let _ = driver.await.unwrap();
    });
    wait_for("the disconnect", || b.links.disconnect_counts().slow_message == 1);
    assert!(b.inbound.is_empty());
}

/// Guards against a receiver that relies on the sender to enforce the size limit.
#[test]
fn an_oversized_message_is_disconnected() {
    let a = Node::start("a", short_timeouts());
    let b =
        Node::start("b", LinkSettings { max_message_bytes: 100_000, ..short_timeouts() });
    a.links.set_peers(&[b.address()]);
    let refused = Delivery::NotSent(NotSentReason::PeerRefused);
    assert_eq!(a.deliver(b.address(), vec![0; 100_001]), refused);
    wait_for("the disconnect", || b.links.disconnect_counts().oversized == 1);
    assert!(matches!(
        &b.links.take_disconnects()[..],
        [(_, DisconnectReason::Oversized { limit: 100_000 })]
    ));
    let taken = Delivery::Acknowledged { by: b.identity.clone() };
    assert_eq!(a.deliver(b.address(), vec![0; 100_000]), taken);
}

/// Guards against an unbounded number of inbound connections.
#[test]
fn connections_beyond_the_limit_are_closed() {
    let b =
        Node::start("b", LinkSettings { max_inbound_connections: 2, ..short_timeouts() });
    let _held =
        [connect_and_write(b.address(), b"PRI"), connect_and_write(b.address(), b"PRI")];
    let mut third = connect_and_write(b.address(), b"");
    third.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
    assert!(matches!(third.read(&mut [0]), Ok(0)));
    let expected =
        DisconnectCounts { too_many_connections: 1, ..DisconnectCounts::default() };
    assert_eq!(b.links.disconnect_counts(), expected);
}

/// The preface of an HTTP/2 client with empty settings.
const PREFACE: &[u8] =
    b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n\x00\x00\x00\x04\x00\x00\x00\x00\x00";

/// A DATA frame on a stream that was never opened.
const BAD_FRAME: &[u8] = b"\x00\x00\x01\x00\x00\x00\x00\x00\x01x";

/// The HEADERS frame of a `POST /message` without the headers that identify a peer.
const NO_IDENTITY: &[u8] =
    b"\x00\x00\x12\x01\x05\x00\x00\x00\x01\x83\x86\x04\x08/message\x41\x04peer";

/// Opens a TCP connection and writes bytes to it.
fn connect_and_write(to: SocketAddr, bytes: &[u8]) -> TcpStream {
    let mut socket = TcpStream::connect(to).unwrap();
    socket.write_all(bytes).unwrap();
    socket
}
