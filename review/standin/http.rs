//! A small HTTP/1.1 server and client on loopback, with one thread for each connection.

use std::collections::HashMap;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// A request that a server has read in full.
pub struct Request {
    pub path: String,
    pub query: HashMap<String, String>,
    pub headers: HashMap<String, String>,
    pub body: Vec<u8>,
}

/// A response.
pub struct Reply {
    pub status: u16,
    pub body: Vec<u8>,
}

pub fn reply(status: u16, body: impl Into<Vec<u8>>) -> Option<Reply> {
    Some(Reply { status, body: body.into() })
}

/// Answers a request; without a reply, the connection is closed.
pub type Handler = Arc<dyn Fn(Request) -> Option<Reply> + Send + Sync>;

/// Serves connections until the process ends.
pub fn serve(listener: TcpListener, handler: Handler) {
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = Arc::clone(&handler);
            thread::spawn(move || serve_connection(stream, &handler));
        }
    });
}

fn serve_connection(stream: TcpStream, handler: &Handler) -> Option<()> {
    stream.set_nodelay(true).ok()?;
    let mut writer = stream.try_clone().ok()?;
    let mut reader = BufReader::new(stream);
    loop {
        let (line, headers) = read_head(&mut reader).ok()?;
        let target = line.split(' ').nth(1)?.to_owned();
        let body = read_body(&mut reader, &headers).ok()?;
        let (path, query) = target.split_once('?').unwrap_or((&target, ""));
        let query = query.split('&').filter_map(|pair| pair.split_once('='));
        let query = query.map(|(key, value)| (key.into(), unescape(value))).collect();
        let reply = handler(Request { path: path.into(), query, headers, body })?;
        let head = format!(
            "HTTP/1.1 {} X\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n",
            reply.status,
            reply.body.len()
        );
        let mut bytes = head.into_bytes();
        bytes.extend(reply.body);
        writer.write_all(&bytes).ok()?;
    }
}

fn read_head(reader: &mut impl BufRead) -> io::Result<(String, HashMap<String, String>)> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    let mut headers = HashMap::new();
    loop {
        let mut header = String::new();
        if reader.read_line(&mut header)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let header = header.trim_end();
        match header.split_once(':') {
            Some((key, value)) => {
                headers.insert(key.to_ascii_lowercase(), value.trim().to_owned())
            }
            None => return Ok((line.trim_end().to_owned(), headers)),
        };
    }
}

fn read_body(
    reader: &mut impl Read,
    headers: &HashMap<String, String>,
) -> io::Result<Vec<u8>> {
    let length = headers.get("content-length").and_then(|text| text.parse().ok());
    let mut body = vec![0; length.unwrap_or(0)];
    reader.read_exact(&mut body)?;
    Ok(body)
}

fn unescape(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut plain = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let code = (bytes[at] == b'%').then(|| text.get(at + 1..at + 3)).flatten();
        match code.and_then(|code| u8::from_str_radix(code, 16).ok()) {
            Some(byte) => {
                plain.push(byte);
                at += 3;
            }
            None => {
                plain.push(bytes[at]);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&plain).into_owned()
}

/// Sends a request on a new connection; returns none without a complete response.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    body: &str,
    timeout: Duration,
) -> Option<(u16, String)> {
    let mut stream = TcpStream::connect_timeout(&address, timeout).ok()?;
    stream.set_nodelay(true).ok()?;
    stream.set_read_timeout(Some(timeout)).ok()?;
    let request = format!(
        "{method} {path} HTTP/1.1\r\nhost: jobs.example\r\nconnection: close\r\n\
         content-type: application/json\r\ncontent-length: {}\r\n\
         x-bamboocart-deadline-ms: {}\r\n\r\n{body}",
        body.len(),
        timeout.as_millis()
    );
    stream.write_all(request.as_bytes()).ok()?;
    let mut reader = BufReader::new(stream);
    let (line, headers) = read_head(&mut reader).ok()?;
    let status = line.split(' ').nth(1)?.parse().ok()?;
    let body = read_body(&mut reader, &headers).ok()?;
    Some((status, String::from_utf8_lossy(&body).into_owned()))
}
