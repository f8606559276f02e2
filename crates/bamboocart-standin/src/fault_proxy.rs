//! TCP proxies that inject faults below HTTP.
//!
//! A proxy in front of each target's HTTP server limits its connections and can refuse,
//! pause or blackhole them, which the server itself cannot. All proxies share one thread.

use std::io;
use std::net::{SocketAddr, TcpListener as StdListener};
use std::pin::pin;
use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::Duration;

use socket2::SockRef;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{ReadHalf, WriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::runtime::{Builder, Runtime};
use tokio::sync::{Semaphore, watch};
use tokio_util::sync::CancellationToken;

use crate::{http, join};

/// The number of bytes that are read from a connection at a time.
const BUFFER_BYTES: usize = 16 * 1024;

/// The pause between attempts to listen again on the port of a proxy.
const LISTEN_RETRY_INTERVAL: Duration = Duration::from_millis(20);

/// The thread that runs all proxies, stopped and joined on drop.
pub struct ProxyThread {
    /// Spawns the tasks of new proxies on the thread's runtime.
    handle: tokio::runtime::Handle,
    /// Ends the thread when it is cancelled.
    stop: CancellationToken,
    thread: Option<JoinHandle<()>>,
}

/// A TCP proxy on a loopback port, with its fault switches.
///
/// Dropping it closes its listener.
pub struct FaultProxy {
    /// The address that clients connect to.
    address: SocketAddr,
    /// The fault switches, watched by the listener and by every open connection.
    state: watch::Sender<State>,
}

/// The server behind a proxy.
#[derive(Debug, Copy, Clone)]
pub struct Upstream {
    /// The address that the proxy connects to.
    pub address: SocketAddr,
    /// The number of open connections at which new ones are reset immediately.
    pub max_connections: u32,
}

/// Opens connections to the server behind a proxy.
struct Connector {
    upstream: SocketAddr,
    /// One permit per connection that may still be opened.
    permits: Arc<Semaphore>,
}

/// The fault switches of a proxy.
#[derive(Debug, Copy, Clone, Default)]
struct State {
    /// Whether new connections are refused.
    refuse: bool,
    /// Whether all bytes are held back until this is unset.
    frozen: bool,
    /// Whether the server counts as dead: no listener and no connections.
    dead: bool,
    /// The epoch of new connections; those of an earlier epoch are blackholed.
    epoch: u64,
}

impl ProxyThread {
    /// Starts the thread; fails if its runtime cannot be created.
    pub fn start() -> io::Result<Self> {
        let runtime = Builder::new_current_thread().enable_all().build()?;
        let handle = runtime.handle().clone();
        let stop = CancellationToken::new();
        let stopped = stop.clone();
        let thread = thread::spawn(move || run(&runtime, &stopped));
        Ok(Self { handle, stop, thread: Some(thread) })
    }

    /// Opens a proxy on a loopback port, 0 for any, in front of a server.
    pub fn open(&self, port: u16, upstream: Upstream) -> io::Result<FaultProxy> {
        let listener = http::listen(port)?;
        listener.set_nonblocking(true)?;
        let address = listener.local_addr()?;
        let (state, watched) = watch::channel(State::default());
        let connector = Arc::new(Connector {
            upstream: upstream.address,
            permits: Arc::new(Semaphore::new(upstream.max_connections as usize)),
        });
        self.handle.spawn(serve(listener, connector, watched));
        Ok(FaultProxy { address, state })
    }
}

impl Drop for ProxyThread {
    fn drop(&mut self) {
        self.stop.cancel();
        if let Some(thread) = self.thread.take() {
            join::join_or_report("the fault proxies", thread);
        }
    }
}

impl FaultProxy {
    /// Returns the address that clients connect to.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Refuses new connections, or accepts them again.
    ///
    /// Open connections are not affected.
    pub fn set_refusing(&self, refuse: bool) {
        self.state.send_modify(|state| state.refuse = refuse);
    }

    /// Holds back all bytes in both directions, or forwards them again.
    pub fn set_frozen(&self, frozen: bool) {
        self.state.send_modify(|state| state.frozen = frozen);
    }

    /// Discards all further bytes of the connections that are open now.
    ///
    /// Connections that are opened afterwards work.
    pub fn blackhole_open_connections(&self) {
        self.state.send_modify(|state| state.epoch += 1);
    }

    /// Resets all connections and refuses new ones, or accepts them again.
    pub fn set_dead(&self, dead: bool) {
        self.state.send_modify(|state| state.dead = dead);
    }
}

impl Connector {
    /// Opens a connection to the server.
    async fn open(&self) -> io::Result<TcpStream> {
        let stream = TcpStream::connect(self.upstream).await?;
        stream.set_nodelay(true)?;
        Ok(stream)
    }
}

/// Runs the proxies until the stop.
fn run(runtime: &Runtime, stopped: &CancellationToken) {
    runtime.block_on(stopped.cancelled());
}

/// Accepts connections of one proxy until the proxy is dropped.
async fn serve(
    listener: StdListener,
    connector: Arc<Connector>,
    mut state: watch::Receiver<State>,
) -> io::Result<()> {
    let port = listener.local_addr()?.port();
    let mut listener = Some(TcpListener::from_std(listener)?);
    loop {
        let now = *state.borrow_and_update();
        let closed = now.refuse || now.dead;
        if closed {
            listener = None;
        }
        let changed = match &listener {
            _ if closed => state.changed().await,
            None => {
                listener = listen_again(port).await;
                Ok(())
            }
            Some(open) => tokio::select! {
                changed = state.changed() => changed,
                accepted = open.accept() => {
                    let relay = accepted.map(|(stream, _)| (stream, state.clone()));
                    admit(relay?, &connector);
                    Ok(())
                }
            },
        };
        if changed.is_err() {
            return Ok(());
        }
    }
}

/// Relays a new connection, or resets it if there are too many.
fn admit(
    (downstream, state): (TcpStream, watch::Receiver<State>),
    connector: &Arc<Connector>,
) {
    let Ok(permit) = Arc::clone(&connector.permits).try_acquire_owned() else {
        reset_on_close(&downstream);
        return;
    };
    let connector = Arc::clone(connector);
    tokio::spawn(async move {
        let _permit = permit;
        let relayed = relay(downstream, &connector, state).await;
        relayed.inspect_err(|error| log::debug!("proxied connection failed: {error}"))
    });
}

/// Listens on the port of the proxy again; waits and returns `None` if that fails.
async fn listen_again(port: u16) -> Option<TcpListener> {
    let listener = http::listen(port).and_then(|listener| {
        listener.set_nonblocking(true)?;
        TcpListener::from_std(listener)
    });
    if listener.is_err() {
        tokio::time::sleep(LISTEN_RETRY_INTERVAL).await;
    }
    listener.ok()
}

/// Relays one connection until both sides have closed it or the server counts as dead.
async fn relay(
    mut downstream: TcpStream,
    connector: &Connector,
    state: watch::Receiver<State>,
) -> io::Result<()> {
    let mut dead = state.clone();
    let epoch = state.borrow().epoch;
    let mut upstream = connector.open().await?;
    let dead = tokio::select! {
        () = copy_both(&mut downstream, &mut upstream, &state, epoch) => false,
        changed = dead.wait_for(|state| state.dead) => changed.is_ok(),
    };
    if dead {
        reset_on_close(&downstream);
    }
    Ok(())
}

/// Copies both directions of a connection until its end.
async fn copy_both(
    downstream: &mut TcpStream,
    upstream: &mut TcpStream,
    state: &watch::Receiver<State>,
    epoch: u64,
) {
    let (downstream_read, downstream_write) = downstream.split();
    let (upstream_read, upstream_write) = upstream.split();
    let mut to_upstream =
        pin!(copy(downstream_read, upstream_write, state.clone(), epoch));
    let mut to_downstream =
        pin!(copy(upstream_read, downstream_write, state.clone(), epoch));
    tokio::select! {
        // The end of a blackholed connection is not forwarded to the server, which would
        // never close its side, so waiting for the other direction would leak the
        // connection.
        ended = &mut to_upstream => match ended {
            Ok(End::Forwarded) => drop(to_downstream.await),
            Ok(End::Discarded) | Err(_) => {}
        },
        _ = &mut to_downstream => drop(to_upstream.await),
    }
}

/// How one direction of a connection ended.
enum End {
    /// The end was forwarded to the receiver.
    Forwarded,
    /// The connection was blackholed or its proxy dropped, so the end was not forwarded.
    Discarded,
}

/// Copies one direction of a connection until its end.
async fn copy(
    mut from: ReadHalf<'_>,
    mut to: WriteHalf<'_>,
    mut state: watch::Receiver<State>,
    epoch: u64,
) -> io::Result<End> {
    let mut buffer = vec![0; BUFFER_BYTES];
    loop {
        let count = from.read(&mut buffer).await?;
        let open = state.wait_for(|state| !state.frozen || state.epoch > epoch).await;
        match open.map(|state| state.epoch > epoch) {
            Err(_) => return Ok(End::Discarded),
            // A network device that lost the connection's state forwards neither its data
            // nor its end.
            Ok(true) if count == 0 => return Ok(End::Discarded),
            Ok(true) => {}
            Ok(false) if count == 0 => {
                return to.shutdown().await.map(|()| End::Forwarded);
            }
            Ok(false) => to.write_all(&buffer[..count]).await?,
        }
    }
}

/// Makes the close of a connection send a reset, as the end of a process can.
fn reset_on_close(stream: &TcpStream) {
    if let Err(error) = SockRef::from(stream).set_linger(Some(Duration::ZERO)) {
        log::debug!("could not set SO_LINGER for a connection reset: {error}");
    }
}
