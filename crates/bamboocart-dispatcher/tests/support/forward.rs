//! TCP forwarders that can cut nodes off from each other.

use std::collections::{HashMap, HashSet};
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::net::tcp::{ReadHalf, WriteHalf};
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

use bamboocart_standin::join;

use super::sockets;

/// The bytes that are carried at a time.
const BUFFER_BYTES: usize = 64 * 1024;

/// An end of connections.
#[derive(Debug, Copy, Clone, Eq, PartialEq, Ord, PartialOrd, Hash)]
pub enum Node {
    /// The platform.
    Platform,
    /// An instance, by its position in the cluster.
    Instance(usize),
    /// The targets of a failure domain.
    Targets(&'static str),
}

/// What happens to the bytes between two nodes.
#[derive(Debug, Copy, Clone, Eq, PartialEq, Default)]
pub enum LinkMode {
    /// They are carried.
    #[default]
    Pass,
    /// They are held back and carried when the mode changes, as in a partition.
    Partition,
    /// Connections are ended, and new ones end at once.
    Reset,
}

/// The switches of all forwarders; each concerns both directions between two nodes.
#[derive(Debug, Clone, Default)]
struct Switches {
    modes: HashMap<(Node, Node), LinkMode>,
    /// Connections opened under a smaller number carry nothing more.
    epochs: HashMap<(Node, Node), u64>,
}

impl Switches {
    /// Returns the mode and the epoch of connections between two nodes.
    fn of(&self, route: (Node, Node)) -> (LinkMode, u64) {
        let mode = self.modes.get(&route).copied().unwrap_or_default();
        (mode, self.epochs.get(&route).copied().unwrap_or(0))
    }
}

/// Where connections to a node end and who opens them.
#[derive(Debug, Clone, Default)]
struct Book {
    /// The listeners behind forwarders, absent while the node is down.
    backends: HashMap<Node, SocketAddr>,
    /// The processes of instances.
    processes: HashMap<u32, usize>,
}

/// The forwarders of a cluster, run by one thread, ended when it is dropped.
pub struct Net {
    switches: watch::Sender<Switches>,
    book: Arc<Mutex<Book>>,
    handle: tokio::runtime::Handle,
    stop: CancellationToken,
    thread: Option<JoinHandle<()>>,
}

impl Net {
    /// Starts the thread.
    pub fn start() -> Self {
        let runtime =
            tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
        let handle = runtime.handle().clone();
        let stop = CancellationToken::new();
        let stopped = stop.clone();
        let thread = std::thread::spawn(move || runtime.block_on(stopped.cancelled()));
        let (switches, _) = watch::channel(Switches::default());
        Self { switches, book: Arc::default(), handle, stop, thread: Some(thread) }
    }

    /// Opens a forwarder to a node and returns its address.
    ///
    /// Without a given opener it is found by the process that holds the connection.
    pub fn open(&self, to: Node, opener: Option<Node>) -> SocketAddr {
        self.open_to(to, None, opener)
    }

    /// Opens a forwarder to one target of a failure domain and returns its address.
    pub fn open_target(&self, domain: &'static str, target: SocketAddr) -> SocketAddr {
        self.open_to(Node::Targets(domain), Some(target), None)
    }

    /// Opens a forwarder to an address, or to wherever the node listens at the time.
    fn open_to(
        &self,
        to: Node,
        fixed: Option<SocketAddr>,
        opener: Option<Node>,
    ) -> SocketAddr {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
        listener.set_nonblocking(true).unwrap();
        let address = listener.local_addr().unwrap();
        let (book, switches) = (self.book.clone(), self.switches.subscribe());
        self.handle.spawn(async move {
            let listener = tokio::net::TcpListener::from_std(listener).unwrap();
            while let Ok((stream, from)) = listener.accept().await {
                let (book, switches) = (book.clone(), switches.clone());
                tokio::spawn(async move {
                    let known = match opener {
                        Some(opener) => Some(opener),
                        None => find_opener(book.clone(), from, address).await,
                    };
                    let Some(from) = known else {
                        eprintln!("a connection from {from} is none of an instance");
                        return;
                    };
                    let listed = || book.lock().unwrap().backends.get(&to).copied();
                    let backend = fixed.or_else(listed);
                    let Some(backend) = backend else { return reset(&stream) };
                    let route = route(from, to);
                    if let Err(error) = relay(stream, backend, switches, route).await {
                        eprintln!("a connection {route:?} has ended: {error}");
                    }
                });
            }
        });
        address
    }

    /// Notes where a node listens, and the process of an instance.
    pub fn set_backend(&self, node: Node, address: SocketAddr, process: Option<u32>) {
        let mut book = self.book.lock().unwrap();
        book.backends.insert(node, address);
        if let (Some(process), Node::Instance(index)) = (process, node) {
            book.processes.insert(process, index);
        }
    }

    /// Sets the mode between two nodes.
    pub fn set_mode(&self, a: Node, b: Node, mode: LinkMode) {
        self.switches.send_modify(|switches| {
            switches.modes.insert(route(a, b), mode);
        });
    }

    /// Sets the mode between each node of a set and each node outside of it.
    pub fn set_mode_around(&self, inside: &[Node], all: &[Node], mode: LinkMode) {
        let inside: HashSet<Node> = inside.iter().copied().collect();
        for &a in &inside {
            all.iter()
                .filter(|b| !inside.contains(b))
                .for_each(|&b| self.set_mode(a, b, mode));
        }
    }

    /// Makes the connections between two nodes that are open now carry nothing more.
    pub fn blackhole_open_connections(&self, a: Node, b: Node) {
        self.switches.send_modify(|switches| {
            *switches.epochs.entry(route(a, b)).or_default() += 1;
        });
    }
}

impl Drop for Net {
    fn drop(&mut self) {
        self.stop.cancel();
        if let Some(thread) = self.thread.take() {
            join::ended("the forwarders", thread);
        }
    }
}

/// Returns the key of the connections between two nodes.
fn route(a: Node, b: Node) -> (Node, Node) {
    if a <= b { (a, b) } else { (b, a) }
}

/// Returns the instance that opened a connection.
async fn find_opener(
    book: Arc<Mutex<Book>>,
    from: SocketAddr,
    to: SocketAddr,
) -> Option<Node> {
    let find = move || {
        let processes = book.lock().unwrap().processes.clone();
        let ids: Vec<u32> = processes.keys().copied().collect();
        let process = sockets::opener(&ids, from, to)?;
        processes.get(&process).map(|&index| Node::Instance(index))
    };
    // The search reads files, which must not hold up the other connections.
    tokio::task::spawn_blocking(find).await.ok()?
}

/// Carries one connection until its end.
async fn relay(
    mut outer: TcpStream,
    backend: SocketAddr,
    mut switches: watch::Receiver<Switches>,
    route: (Node, Node),
) -> std::io::Result<()> {
    let (_, epoch) = switches.borrow().of(route);
    let not_cut = |s: &Switches| s.of(route).0 != LinkMode::Partition;
    if switches.wait_for(not_cut).await.is_err() {
        return Ok(());
    }
    let Ok(mut inner) = TcpStream::connect(backend).await else {
        reset(&outer);
        return Ok(());
    };
    outer.set_nodelay(true)?;
    inner.set_nodelay(true)?;
    let (up, down) = (switches.clone(), switches.clone());
    let (outer_read, outer_write) = outer.split();
    let (inner_read, inner_write) = inner.split();
    let both = async {
        tokio::join!(
            pump(outer_read, inner_write, up, route, epoch),
            pump(inner_read, outer_write, down, route, epoch),
        )
    };
    let is_reset = |s: &Switches| s.of(route).0 == LinkMode::Reset;
    let ended = tokio::select! {
        _ = both => false,
        changed = switches.wait_for(is_reset) => changed.is_ok(),
    };
    if ended {
        reset(&outer);
        reset(&inner);
    }
    Ok(())
}

/// Carries one direction of a connection until its end.
async fn pump(
    mut from: ReadHalf<'_>,
    mut to: WriteHalf<'_>,
    mut switches: watch::Receiver<Switches>,
    route: (Node, Node),
    epoch: u64,
) -> std::io::Result<()> {
    let mut buffer = vec![0; BUFFER_BYTES];
    loop {
        let count = from.read(&mut buffer).await?;
        let passing = switches
            .wait_for(|s| s.of(route).0 != LinkMode::Partition || s.of(route).1 > epoch)
            .await
            .map(|s| s.of(route).1 > epoch);
        match passing {
            Err(_) => return Ok(()),
            // A device that lost the connection's state passes on neither data nor its end.
            Ok(true) if count == 0 => return Ok(()),
            Ok(true) => {}
            Ok(false) if count == 0 => return to.shutdown().await,
            Ok(false) => to.write_all(&buffer[..count]).await?,
        }
    }
}

/// Makes the close of a connection abrupt.
fn reset(stream: &TcpStream) {
    let _ = socket2::SockRef::from(stream).set_linger(Some(Duration::ZERO));
}
