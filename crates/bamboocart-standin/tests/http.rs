//! Tests of the stand-ins' HTTP server.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Barrier};
use std::thread;
use std::time::Duration;

use bamboocart_standin::http::HttpServer;

/// The number of connections that are opened at the same time.
const CONNECTIONS: usize = 64;

/// The number of rounds; the failure depends on the order of threads.
const ROUNDS: usize = 20;

/// The time within which every call must be answered.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(5);

/// Guards against calls that are not answered until another caller closes its connection.
///
/// `tiny_http` assigns two connections that arrive together to one handler thread when
/// its count of idle threads is stale; the second then waits for the end of the first.
#[test]
fn connections_that_stay_open_do_not_delay_others() {
    let server = HttpServer::start(0, |call| call.answer(200, &"ok")).unwrap();
    let address = server.address();
    let mut kept = Vec::new();
    for round in 0..ROUNDS {
        let barrier = Arc::new(Barrier::new(CONNECTIONS));
        let callers: Vec<_> = (0..CONNECTIONS)
            .map(|_| {
                let barrier = Arc::clone(&barrier);
                thread::spawn(move || call(address, &barrier))
            })
            .collect();
        for caller in callers {
            let answered = caller.join().unwrap();
            kept.push(answered.unwrap_or_else(|e| panic!("round {round}: {e}")));
        }
        kept.truncate(CONNECTIONS);
    }
}

/// Makes one call and returns its connection, still open.
fn call(address: SocketAddr, barrier: &Barrier) -> std::io::Result<TcpStream> {
    barrier.wait();
    let mut stream = TcpStream::connect(address)?;
    stream.set_read_timeout(Some(ANSWER_TIMEOUT))?;
    stream.write_all(b"GET / HTTP/1.1\r\nhost: localhost\r\n\r\n")?;
    let mut start = [0; 12];
    stream.read_exact(&mut start)?;
    assert_eq!(&start, b"HTTP/1.1 200");
    Ok(stream)
}
