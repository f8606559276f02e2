//! A small HTTP/1.1 server and client.

use std::collections::HashMap;
use std::io::{self, BufRead, BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// A request that a stand-in has received.
pub struct Request {
    pub path: String,
    pub query: HashMap<String, String>,
    pub headers: HashMap<String, String>,
    pub body: Vec<u8>,
}

impl Request {
    /// Returns a number in the query.
    pub fn number(&self, key: &str) -> Option<u64> {
        self.query.get(key)?.parse().ok()
    }
}

/// A response of a stand-in.
pub struct Response {
    pub status: u16,
    pub body: Vec<u8>,
}

impl Response {
    pub fn new(status: u16, body: impl Into<Vec<u8>>) -> Self {
        Self { status, body: body.into() }
    }
}

/// Answers requests; none closes the connection without a response.
pub type Handler = Arc<dyn Fn(Request) -> Option<Response> + Send + Sync>;

/// A server that can be closed and opened again at its address.
pub struct Server {
    pub address: SocketAddr,
    handler: Handler,
    open: Mutex<Arc<AtomicBool>>,
    streams: Arc<Mutex<Vec<TcpStream>>>,
}

impl Server {
    /// Starts a server at an address; port 0 chooses a free one.
    pub fn start(address: SocketAddr, handler: Handler) -> io::Result<Self> {
        let listener = TcpListener::bind(address)?;
        let address = listener.local_addr()?;
        let open = Arc::new(AtomicBool::new(true));
        let streams = Arc::default();
        let server = Self { address, handler, open: Mutex::new(open), streams };
        server.accept(listener);
        Ok(server)
    }

    fn accept(&self, listener: TcpListener) {
        let open = Arc::new(AtomicBool::new(true));
        *self.open.lock().unwrap() = Arc::clone(&open);
        let (handler, streams) = (Arc::clone(&self.handler), Arc::clone(&self.streams));
        listener.set_nonblocking(true).unwrap();
        thread::spawn(move || {
            while open.load(Ordering::SeqCst) {
                let Ok((stream, _)) = listener.accept() else {
                    thread::sleep(Duration::from_millis(1));
                    continue;
                };
                let _ = stream.set_nonblocking(false);
                let _ = stream.set_nodelay(true);
                if let Ok(copy) = stream.try_clone() {
                    streams.lock().unwrap().push(copy);
                }
                let handler = Arc::clone(&handler);
                thread::spawn(move || serve(stream, &handler));
            }
        });
    }

    /// Closes the port and all connections, as the end of a process does.
    pub fn close(&self) {
        self.open.lock().unwrap().store(false, Ordering::SeqCst);
        for stream in self.streams.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
        thread::sleep(Duration::from_millis(20));
    }

    /// Listens at the same address again.
    pub fn open(&self) {
        for _ in 0..100 {
            if let Ok(listener) = TcpListener::bind(self.address) {
                return self.accept(listener);
            }
            thread::sleep(Duration::from_millis(20));
        }
        panic!("the port of a stand-in is not free again");
    }
}

/// Serves a connection until it closes.
fn serve(stream: TcpStream, handler: &Handler) {
    let Ok(copy) = stream.try_clone() else { return };
    let (mut reader, mut writer) = (BufReader::new(copy), stream);
    while let Ok(Some((line, headers, body))) = read_message(&mut reader) {
        let target = line.split(' ').nth(1).unwrap_or_default().to_owned();
        let (path, query) = target.split_once('?').unwrap_or((&target, ""));
        let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        let query = pairs.map(|(key, value)| (key.into(), decode(value))).collect();
        let request = Request { path: path.into(), query, headers, body };
        let Some(response) = handler(request) else { break };
        let head = format!(
            "HTTP/1.1 {} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
            response.status,
            response.body.len()
        );
        let message = [head.as_bytes(), &response.body].concat();
        if writer.write_all(&message).is_err() {
            break;
        }
    }
    let _ = writer.shutdown(Shutdown::Both);
}

/// Decodes a percent-encoded text.
fn decode(text: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = text.as_bytes();
    while let Some((&byte, tail)) = rest.split_first() {
        rest = tail;
        let code = rest.get(..2).and_then(|it| std::str::from_utf8(it).ok());
        match code.and_then(|code| u8::from_str_radix(code, 16).ok()) {
            Some(code) if byte == b'%' => {
                bytes.push(code);
                rest = &rest[2..];
            }
            _ => bytes.push(byte),
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

type Message = (String, HashMap<String, String>, Vec<u8>);

/// Reads the first line, the headers and the body of a message.
fn read_message(reader: &mut impl BufRead) -> io::Result<Option<Message>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    let mut headers = HashMap::new();
    loop {
        let mut header = String::new();
        if reader.read_line(&mut header)? == 0 {
            return Ok(None);
        }
        let Some((name, value)) = header.trim().split_once(':') else { break };
        headers.insert(name.to_ascii_lowercase(), value.trim().to_owned());
    }
    let length = headers.get("content-length").and_then(|it| it.parse().ok());
    let mut body = vec![0; length.unwrap_or(0)];
    reader.read_exact(&mut body)?;
    Ok(Some((line.trim().to_owned(), headers, body)))
}

/// Sends a request on a connection of its own, and returns status and body.
pub fn call(
    address: SocketAddr,
    method: &str,
    host: &str,
    path: &str,
    body: &str,
    limit_ms: u64,
) -> io::Result<(u16, String)> {
    let limit = Duration::from_millis(limit_ms);
    let mut stream = TcpStream::connect_timeout(&address, limit)?;
    stream.set_read_timeout(Some(limit))?;
    stream.set_nodelay(true)?;
    let request = format!(
        "{method} {path} HTTP/1.1\r\nHost: {host}\r\nContent-Type: application/json\r\n\
         X-Bamboocart-Deadline-Ms: {limit_ms}\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(request.as_bytes())?;
    let message = read_message(&mut BufReader::new(stream))?;
    let (line, _, body) = message.ok_or(io::ErrorKind::UnexpectedEof)?;
    let status = line.split(' ').nth(1).and_then(|it| it.parse().ok());
    let status = status.ok_or(io::ErrorKind::InvalidData)?;
    Ok((status, String::from_utf8_lossy(&body).into_owned()))
}
