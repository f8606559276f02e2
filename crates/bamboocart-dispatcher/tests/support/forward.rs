//! TCP forwarders that simulate network faults between nodes.

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

/// The size of the buffer for one direction of a connection.
const BUFFER_BYTES: usize = 64 * 1024;

/// An endpoint of connections.
#[derive(Debug, Copy, Clone, Eq, PartialEq, Ord, PartialOrd, Hash)]
pub enum Node {
    /// The platform.
    Platform,
    /// An instance, by its index in the cluster.
    Instance(usize),
    /// All targets of a failure domain.
    Targets(&'static str),
}

/// How connections between two nodes behave.
#[derive(Debug, Copy, Clone, Eq, PartialEq, Default)]
pub enum LinkMode {
    /// Data passes.
    #[default]
    Pass,
    /// Data is held back until the mode changes, as in a network partition.
    Partition,
    /// Connections are reset, and new ones are reset at once.
    Reset,
}

/// The modes of all forwarders; each applies to both directions between two nodes.
#[derive(Debug, Clone, Default)]
struct Switches {
    modes: HashMap<(Node, Node), LinkMode>,
    /// The epochs of routes; connections of an earlier epoch are black holes.
    epochs: HashMap<(Node, Node), u64>,
}

impl Switches {
    /// Returns the mode of a route, and the epoch of its new connections.
    fn mode_and_epoch(&self, route: (Node, Node)) -> (LinkMode, u64) {
        let mode = self.modes.get(&route).copied().unwrap_or_default();
        (mode, self.epochs.get(&route).copied().unwrap_or(0))
    }
}

/// The backends and processes of nodes.
#[derive(Debug, Clone, Default)]
struct NodeTable {
    /// The listen addresses behind the forwarders, once they are known.
    backends: HashMap<Node, SocketAddr>,
    /// The indices of instances by process id.
    processes: HashMap<u32, usize>,
}

/// The forwarders of a cluster, which run on one thread and stop when this is dropped.
pub struct Net {
    switches: watch::Sender<Switches>,
    nodes: Arc<Mutex<NodeTable>>,
    handle: tokio::runtime::Handle,
    stop: CancellationToken,
    thread: Option<JoinHandle<()>>,
}

impl Net {
    /// Starts the thread, without forwarders.
    pub fn start() -> Self {
        let runtime =
            tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
        let handle = runtime.handle().clone();
        let stop = CancellationToken::new();
        let stopped = stop.clone();
        let thread = std::thread::spawn(move || runtime.block_on(stopped.cancelled()));
        let (switches, _) = watch::channel(Switches::default());
        Self { switches, nodes: Arc::default(), handle, stop, thread: Some(thread) }
    }

    /// Opens a forwarder to a node and returns its address.
    ///
    /// If the node that opens connections is not given, it is determined for each from
    /// the process that holds the socket.
    pub fn open(&self, to: Node, opener: Option<Node>) -> SocketAddr {
        self.open_to(to, None, opener)
    }

    /// Opens a forwarder to one target of a failure domain and returns its address.
    pub fn open_target(&self, domain: &'static str, target: SocketAddr) -> SocketAddr {
        self.open_to(Node::Targets(domain), Some(target), None)
    }

    /// Opens a forwarder to a fixed address, or else to the backend that the node has
    /// when a connection is opened.
    fn open_to(
        &self,
        to: Node,
        fixed: Option<SocketAddr>,
        opener: Option<Node>,
    ) -> SocketAddr {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
        listener.set_nonblocking(true).unwrap();
        let address = listener.local_addr().unwrap();
        let (nodes, switches) = (self.nodes.clone(), self.switches.subscribe());
        self.handle.spawn(async move {
            let listener = tokio::net::TcpListener::from_std(listener).unwrap();
            while let Ok((stream, from)) = listener.accept().await {
                let (nodes, switches) = (nodes.clone(), switches.clone());
                tokio::spawn(async move {
                    let known = match opener {
                        Some(opener) => Some(opener),
                        None => find_opener(nodes.clone(), from, address).await,
                    };
                    let Some(from) = known else {
                        eprintln!("no instance holds the connection from {from}");
                        return;
                    };
                    let listed = || nodes.lock().unwrap().backends.get(&to).copied();
                    let backend = fixed.or_else(listed);
                    let Some(backend) = backend else { return reset(&stream) };
                    let route = route(from, to);
                    if let Err(error) = relay(stream, backend, switches, route).await {
                        eprintln!("a connection on {route:?} failed: {error}");
                    }
                });
            }
        });
        address
    }

    /// Sets the listen address of a node, and the process id of an instance.
    pub fn set_backend(&self, node: Node, address: SocketAddr, process: Option<u32>) {
        let mut nodes = self.nodes.lock().unwrap();
        nodes.backends.insert(node, address);
        if let (Some(process), Node::Instance(index)) = (process, node) {
            nodes.processes.insert(process, index);
        }
    }

    /// Sets the mode of connections between two nodes.
    pub fn set_mode(&self, a: Node, b: Node, mode: LinkMode) {
        self.switches.send_modify(|switches| {
            switches.modes.insert(route(a, b), mode);
        });
    }

    /// Sets the mode of connections between each node inside a set and each node outside.
    pub fn set_mode_around(&self, inside: &[Node], all: &[Node], mode: LinkMode) {
        let inside: HashSet<Node> = inside.iter().copied().collect();
        for &a in &inside {
            all.iter()
                .filter(|b| !inside.contains(b))
                .for_each(|&b| self.set_mode(a, b, mode));
        }
    }

    /// Turns the open connections between two nodes into black holes: they stay open, but
    /// no data passes any more.
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
            join::join_or_report("the forwarders", thread);
        }
    }
}

/// Returns the key of the route between two nodes, in either order.
fn route(a: Node, b: Node) -> (Node, Node) {
    if a <= b { (a, b) } else { (b, a) }
}

/// Returns the instance whose process opened a connection.
async fn find_opener(
    nodes: Arc<Mutex<NodeTable>>,
    from: SocketAddr,
    to: SocketAddr,
) -> Option<Node> {
    let find = move || {
        let processes = nodes.lock().unwrap().processes.clone();
        let ids: Vec<u32> = processes.keys().copied().collect();
        let process = sockets::opener(&ids, from, to)?;
        processes.get(&process).map(|&index| Node::Instance(index))
    };
    // The search reads files, which must not block the other connections.
    tokio::task::spawn_blocking(find).await.ok()?
}

/// Forwards one connection until its end.
async fn relay(
    mut client: TcpStream,
    backend: SocketAddr,
    mut switches: watch::Receiver<Switches>,
    route: (Node, Node),
) -> std::io::Result<()> {
    let (_, epoch) = switches.borrow().mode_and_epoch(route);
    let not_partitioned = |s: &Switches| s.mode_and_epoch(route).0 != LinkMode::Partition;
    if switches.wait_for(not_partitioned).await.is_err() {
        return Ok(());
    }
    let Ok(mut server) = TcpStream::connect(backend).await else {
        reset(&client);
        return Ok(());
    };
    client.set_nodelay(true)?;
    server.set_nodelay(true)?;
    let (up, down) = (switches.clone(), switches.clone());
    let (client_read, client_write) = client.split();
    let (server_read, server_write) = server.split();
    let directions = async {
        tokio::join!(
            copy_direction(client_read, server_write, up, route, epoch),
            copy_direction(server_read, client_write, down, route, epoch),
        )
    };
    let is_reset = |s: &Switches| s.mode_and_epoch(route).0 == LinkMode::Reset;
    let ended = tokio::select! {
        _ = directions => false,
        changed = switches.wait_for(is_reset) => changed.is_ok(),
    };
    if ended {
        reset(&client);
        reset(&server);
    }
    Ok(())
}

/// Forwards one direction of a connection until its end.
async fn copy_direction(
    mut from: ReadHalf<'_>,
    mut to: WriteHalf<'_>,
    mut switches: watch::Receiver<Switches>,
    route: (Node, Node),
    epoch: u64,
) -> std::io::Result<()> {
    let mut buffer = vec![0; BUFFER_BYTES];
    loop {
        let count = from.read(&mut buffer).await?;
        let is_blackholed = switches
            .wait_for(|s| {
                s.mode_and_epoch(route).0 != LinkMode::Partition
                    || s.mode_and_epoch(route).1 > epoch
            })
            .await
            .map(|s| s.mode_and_epoch(route).1 > epoch);
        match is_blackholed {
            Err(_) => return Ok(()),
            // A network device that lost the connection's state forwards neither data nor
            // the end of the connection.
            Ok(true) if count == 0 => return Ok(()),
            Ok(true) => {}
            Ok(false) if count == 0 => return to.shutdown().await,
            Ok(false) => to.write_all(&buffer[..count]).await?,
        }
    }
}

/// Makes a connection close with a reset when it is dropped.
fn reset(stream: &TcpStream) {
    let _ = socket2::SockRef::from(stream).set_linger(Some(Duration::ZERO));
}
