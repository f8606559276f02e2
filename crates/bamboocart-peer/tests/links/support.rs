//! Instances with links, and a TCP forwarder that can stop forwarding.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use bamboocart_core::id::Incarnation;
use bamboocart_peer::{
    Delivery, DeliveryReport, InboundMessage, LinkSettings, Links, MessageId,
    PeerIdentity, SendPriority,
};
use bytes::Bytes;
use crossbeam::channel::{Receiver, bounded};
use tokio_util::sync::CancellationToken;

/// The time after which a test fails; much longer than every timeout under test.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(20);

/// Returns settings whose timeouts are short enough for tests to wait for them.
pub fn short_timeouts() -> LinkSettings {
    LinkSettings {
        ack_timeout_ms: 400,
        message_timeout_ms: 2_000,
        idle_timeout_ms: 1_000,
        ..Default::default()
    }
}

/// Returns an address that refuses connections.
///
/// No test listens on it, whereas a port that was bound and released could be given to
/// another test.
pub fn unused_address() -> SocketAddr {
    ([127, 0, 0, 2], 1).into()
}

/// An instance with links.
pub struct Node {
    pub links: Links,
    pub identity: PeerIdentity,
    pub inbound: Receiver<InboundMessage>,
    pub reports: Receiver<DeliveryReport>,
}

impl Node {
    pub fn start(name: &str, settings: LinkSettings) -> Self {
        let listen = TcpListener::bind("127.0.0.1:0").unwrap();
        Self::start_on(listen, name, 1, settings, 10_000)
    }

    pub fn start_on(
        listen: TcpListener,
        name: &str,
        incarnation: u64,
        settings: LinkSettings,
        inbound_capacity: usize,
    ) -> Self {
        let identity =
            PeerIdentity { instance: name.into(), incarnation: Incarnation(incarnation) };
        let (to_inbound, inbound) = bounded(inbound_capacity);
        let (to_reports, reports) = bounded(10_000);
        let channels = (to_inbound, to_reports);
        let cancel = CancellationToken::new();
        let links =
            Links::start(listen, settings, identity.clone(), channels, &cancel).unwrap();
        Self { links, identity, inbound, reports }
    }

    pub fn address(&self) -> SocketAddr {
        self.links.local_address()
    }

    pub fn send(&self, to: SocketAddr, message: impl Into<Bytes>) -> MessageId {
        self.links.send(to, SendPriority::Normal, message.into()).unwrap()
    }

    /// Sends a message and waits for its delivery report.
    pub fn deliver(&self, to: SocketAddr, message: impl Into<Bytes>) -> Delivery {
        let id = self.send(to, message);
        let report = self.reports.recv_timeout(TEST_TIMEOUT).unwrap();
        assert_eq!(report.id, id);
        report.delivery
    }

    /// Sends messages until one is acknowledged, and returns the peer that received it.
    pub fn deliver_until_acknowledged(&self, to: SocketAddr) -> PeerIdentity {
        let start = Instant::now();
        loop {
            assert!(start.elapsed() < TEST_TIMEOUT, "no message was acknowledged");
            if let Delivery::Acknowledged { by } = self.deliver(to, "again") {
                return by;
            }
        }
    }
}

/// Waits until a condition holds; `what` names it if the test fails.
pub fn wait_for(what: &str, mut holds: impl FnMut() -> bool) {
    let start = Instant::now();
    while !holds() {
        assert!(start.elapsed() < TEST_TIMEOUT, "{what} did not happen");
        thread::yield_now();
    }
}

/// Forwards TCP connections. Those that are open can be blackholed while new ones work.
pub struct Forwarder {
    pub address: SocketAddr,
    pub discarded: Arc<AtomicUsize>,
    /// The number of connections that the client has closed.
    pub ended: Arc<AtomicUsize>,
    open: Arc<Mutex<Vec<Forwarded>>>,
}

/// The flag that blackholes a connection, and the socket towards the client.
type Forwarded = (Arc<AtomicBool>, TcpStream);

impl Forwarder {
    pub fn start(target: SocketAddr) -> Self {
        let listen = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listen.local_addr().unwrap();
        let open: Arc<Mutex<Vec<Forwarded>>> = Arc::default();
        let discarded: Arc<AtomicUsize> = Arc::default();
        let ended: Arc<AtomicUsize> = Arc::default();
        let forwarder = Self {
            address,
            discarded: discarded.clone(),
            ended: ended.clone(),
            open: open.clone(),
        };
        thread::spawn(move || {
            for client in listen.incoming() {
                let client = client.unwrap();
                let Ok(server) = TcpStream::connect(target) else { continue };
                client.set_nodelay(true).unwrap();
                server.set_nodelay(true).unwrap();
                let blackholed: Arc<AtomicBool> = Arc::default();
                open.lock()
                    .unwrap()
                    .push((Arc::clone(&blackholed), client.try_clone().unwrap()));
                let back = (server.try_clone().unwrap(), client.try_clone().unwrap());
                let there = (client, server);
                let (blackholed_back, discarded_back) =
                    (blackholed.clone(), discarded.clone());
                let ended = Arc::clone(&ended);
                let discarded = Arc::clone(&discarded);
                thread::spawn(move || {
                    copy_bytes(there, &blackholed, &discarded);
                    ended.fetch_add(1, Ordering::SeqCst);
                });
                thread::spawn(move || {
                    copy_bytes(back, &blackholed_back, &discarded_back)
                });
            }
        });
        forwarder
    }

    /// Discards all further bytes of the connections that are open now.
    pub fn blackhole_open_connections(&self) {
        for (blackholed, _) in self.open.lock().unwrap().iter() {
            blackholed.store(true, Ordering::SeqCst);
        }
    }

    /// Closes the connections that are open now.
    pub fn close(&self) {
        for (_, socket) in self.open.lock().unwrap().drain(..) {
            let _ = socket.shutdown(Shutdown::Both);
        }
    }

    pub fn connections(&self) -> usize {
        self.open.lock().unwrap().len()
    }
}

/// Copies bytes in one direction until either end closes.
fn copy_bytes(
    (mut from, mut to): (TcpStream, TcpStream),
    blackholed: &AtomicBool,
    discarded: &AtomicUsize,
) {
    let mut buffer = [0; 16 * 1024];
    while let Ok(read @ 1..) = from.read(&mut buffer) {
        if blackholed.load(Ordering::SeqCst) {
            discarded.fetch_add(read, Ordering::SeqCst);
            continue;
        }
        if to.write_all(&buffer[..read]).is_err() {
            break;
        }
    }
    if !blackholed.load(Ordering::SeqCst) {
        let _ = to.shutdown(Shutdown::Both);
    }
}
