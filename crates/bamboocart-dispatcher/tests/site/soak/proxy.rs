//! TCP proxies on loopback that harm the connections through them.

use std::io::{self, ErrorKind, Read, Write};
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// How often a proxy looks whether its mode has changed.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// The delay of each piece of data in the mode that delays.
const DELAY: Duration = Duration::from_millis(80);

/// What a proxy does.
#[derive(Debug, Copy, Clone, Eq, PartialEq)]
pub enum Mode {
    /// It carries everything.
    Pass,
    /// It carries everything late.
    Delay,
    /// It holds everything back until the mode changes.
    Stall,
    /// It holds back what the server sends; a cut of one direction.
    StallAnswers,
    /// It ends all connections and each new one.
    Reset,
    /// Connections that are open carry nothing any more; new ones work.
    StallOpen,
}

/// A proxy before one address; its threads end with the test's process.
#[derive(Debug, Clone)]
pub struct Proxy {
    /// Where it listens.
    pub address: SocketAddr,
    state: Arc<Mutex<State>>,
}

/// The mode, and how often open connections were silenced.
#[derive(Debug, Copy, Clone)]
struct State {
    mode: Mode,
    open_stalls: u64,
}

/// One direction of a connection.
struct Direction {
    from: TcpStream,
    to: TcpStream,
    /// Whether it carries what the server sends.
    from_server: bool,
    /// How often connections had been silenced when this one was opened.
    stalls_at_open: u64,
    state: Arc<Mutex<State>>,
}

impl Proxy {
    /// Starts a proxy before a server.
    pub fn start(server: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
        let address = listener.local_addr()?;
        let state = Arc::new(Mutex::new(State { mode: Mode::Pass, open_stalls: 0 }));
        let proxy = Self { address, state: Arc::clone(&state) };
        thread::spawn(move || {
            for client in listener.incoming() {
                // A client or server that is gone ends only its own connection.
                let _ = client.and_then(|client| carry(client, server, &state));
            }
        });
        Ok(proxy)
    }

    /// Changes the mode.
    pub fn set(&self, mode: Mode) {
        let mut state = self.state.lock().unwrap();
        match mode {
            Mode::StallOpen => state.open_stalls += 1,
            _ => state.mode = mode,
        }
    }
}

/// Carries a connection in both directions.
fn carry(
    client: TcpStream,
    server: SocketAddr,
    state: &Arc<Mutex<State>>,
) -> io::Result<()> {
    let server = TcpStream::connect(server)?;
    let stalls_at_open = state.lock().unwrap().open_stalls;
    let directions =
        [(client.try_clone()?, server.try_clone()?, false), (server, client, true)];
    for (from, to, from_server) in directions {
        from.set_read_timeout(Some(POLL_INTERVAL))?;
        to.set_nodelay(true)?;
        let direction =
            Direction { from, to, from_server, stalls_at_open, state: Arc::clone(state) };
        thread::spawn(move || direction.run());
    }
    Ok(())
}

impl Direction {
    /// Carries data until an end closes.
    fn run(mut self) {
        // Errors mean that an end is gone.
        let _ = self.copy();
        let _ = self.from.shutdown(Shutdown::Both);
        let _ = self.to.shutdown(Shutdown::Both);
    }

    /// Copies data as the mode allows.
    fn copy(&mut self) -> io::Result<()> {
        let mut buffer = [0; 16 * 1024];
        loop {
            match self.mode() {
                Mode::Reset => return Ok(()),
                Mode::Stall => {
                    thread::sleep(POLL_INTERVAL);
                    continue;
                }
                Mode::StallAnswers if self.from_server => {
                    thread::sleep(POLL_INTERVAL);
                    continue;
                }
                _ => {}
            }
            match self.from.read(&mut buffer) {
                Ok(0) => return Ok(()),
                Ok(length) => {
                    if self.mode() == Mode::Delay {
                        thread::sleep(DELAY);
                    }
                    self.to.write_all(&buffer[..length])?;
                }
                Err(error)
                    if matches!(
                        error.kind(),
                        ErrorKind::WouldBlock | ErrorKind::TimedOut
                    ) => {}
                Err(error) => return Err(error),
            }
        }
    }

    /// Returns the mode of this connection.
    fn mode(&self) -> Mode {
        let state = *self.state.lock().unwrap();
        if state.open_stalls > self.stalls_at_open { Mode::Stall } else { state.mode }
    }
}
