//! Instances with links and a TCP forwarder whose connections can go silent.

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

/// The time after which a test gives up; far beyond every timeout under test.
pub const PATIENCE: Duration = Duration::from_secs(20);

/// Settings whose timeouts are short enough for tests to wait for them.
pub fn short() -> LinkSettings {
    LinkSettings {
        ack_timeout_ms: 400,
        message_timeout_ms: 2_000,
        idle_timeout_ms: 1_000,
        ..Default::default()
    }
}

/// An address that refuses connections. No test listens on it, whereas a port that was
/// bound and freed could be given to another test.
pub fn down() -> SocketAddr {
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
        inbound_places: usize,
    ) -> Self {
        let identity =
            PeerIdentity { instance: name.into(), incarnation: Incarnation(incarnation) };
        let (to_inbound, inbound) = bounded(inbound_places);
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

    /// Sends a message and waits for what became of it.
    pub fn deliver(&self, to: SocketAddr, message: impl Into<Bytes>) -> Delivery {
        let id = self.send(to, message);
        let report = self.reports.recv_timeout(PATIENCE).unwrap();
        assert_eq!(report.id, id);
        report.delivery
    }

    /// Sends messages until one is acknowledged, and returns who took it.
    pub fn deliver_at_last(&self, to: SocketAddr) -> PeerIdentity {
        let start = Instant::now();
        loop {
            assert!(start.elapsed() < PATIENCE, "no message was acknowledged");
            if let Delivery::Acknowledged { by } = self.deliver(to, "again") {
                return by;
            }
        }
    }
}

/// Waits until a condition holds.
pub fn wait_for(what: &str, mut holds: impl FnMut() -> bool) {
    let start = Instant::now();
    while !holds() {
        assert!(start.elapsed() < PATIENCE, "{what} did not happen");
        thread::yield_now();
    }
}

/// Forwards TCP connections; open ones can be silenced while new ones work.
pub struct Forwarder {
    pub address: SocketAddr,
    pub discarded: Arc<AtomicUsize>,
    /// The connections that their opener has ended.
    pub ended: Arc<AtomicUsize>,
    open: Arc<Mutex<Vec<Forwarded>>>,
}

/// The switch that silences a connection, and its near end.
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
            for near in listen.incoming() {
                let near = near.unwrap();
                let Ok(far) = TcpStream::connect(target) else { continue };
                near.set_nodelay(true).unwrap();
                far.set_nodelay(true).unwrap();
                let silent: Arc<AtomicBool> = Arc::default();
                open.lock()
                    .unwrap()
                    .push((Arc::clone(&silent), near.try_clone().unwrap()));
                let back = (far.try_clone().unwrap(), near.try_clone().unwrap());
                let there = (near, far);
                let (silent_too, discarded_too) = (silent.clone(), discarded.clone());
                let ended = Arc::clone(&ended);
                let discarded = Arc::clone(&discarded);
                thread::spawn(move || {
                    pump(there, &silent, &discarded);
                    ended.fetch_add(1, Ordering::SeqCst);
                });
                thread::spawn(move || pump(back, &silent_too, &discarded_too));
            }
        });
        forwarder
    }

    /// Discards all further bytes of the connections that are open now.
    pub fn silence(&self) {
        for (silent, _) in self.open.lock().unwrap().iter() {
            silent.store(true, Ordering::SeqCst);
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

/// Copies bytes in one direction until an end closes.
fn pump(
    (mut from, mut to): (TcpStream, TcpStream),
    silent: &AtomicBool,
    discarded: &AtomicUsize,
) {
    let mut buffer = [0; 16 * 1024];
    while let Ok(read @ 1..) = from.read(&mut buffer) {
        if silent.load(Ordering::SeqCst) {
            discarded.fetch_add(read, Ordering::SeqCst);
            continue;
        }
        if to.write_all(&buffer[..read]).is_err() {
            break;
        }
    }
    if !silent.load(Ordering::SeqCst) {
        let _ = to.shutdown(Shutdown::Both);
    }
}
