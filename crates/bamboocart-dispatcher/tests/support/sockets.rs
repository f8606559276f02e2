//! Which process holds which TCP connection, read from `/proc` for own children only.

use std::fs;
use std::net::SocketAddr;

/// The state of a listening socket in `/proc/net/tcp`.
const LISTENING: &str = "0A";

/// One line of `/proc/net/tcp`.
struct Socket {
    local_port: u16,
    remote_port: u16,
    listening: bool,
    inode: String,
}

/// Returns the port on which a process listens beside the known one.
pub fn other_listening_port(process: u32, known: SocketAddr) -> Option<u16> {
    let held = inodes(process);
    let listening = sockets().into_iter().filter(|s| s.listening);
    let mut own = listening.filter(|s| held.contains(&s.inode));
    own.find(|s| s.local_port != known.port()).map(|s| s.local_port)
}

/// Returns which of some processes opened a connection.
pub fn opener(processes: &[u32], from: SocketAddr, to: SocketAddr) -> Option<u32> {
    let is_meant = |s: &Socket| s.local_port == from.port() && s.remote_port == to.port();
    let inode = sockets().into_iter().find(is_meant)?.inode;
    processes.iter().copied().find(|&process| inodes(process).contains(&inode))
}

/// Reads the TCP sockets of the machine's network namespace.
fn sockets() -> Vec<Socket> {
    let text = fs::read_to_string("/proc/self/net/tcp").unwrap_or_default();
    text.lines().skip(1).filter_map(parse).collect()
}

/// Parses one line.
fn parse(line: &str) -> Option<Socket> {
    let fields: Vec<&str> = line.split_whitespace().collect();
    let port = |field: &str| u16::from_str_radix(field.rsplit_once(':')?.1, 16).ok();
    Some(Socket {
        local_port: port(fields.get(1)?)?,
        remote_port: port(fields.get(2)?)?,
        listening: *fields.get(3)? == LISTENING,
        inode: (*fields.get(9)?).to_owned(),
    })
}

/// Returns the sockets that a process holds.
fn inodes(process: u32) -> Vec<String> {
    let Ok(entries) = fs::read_dir(format!("/proc/{process}/fd")) else { return vec![] };
    let links = entries.flatten().filter_map(|entry| fs::read_link(entry.path()).ok());
    let inode = |link: std::path::PathBuf| {
        let text = link.to_string_lossy().into_owned();
        Some(text.strip_prefix("socket:[")?.strip_suffix(']')?.to_owned())
    };
    links.filter_map(inode).collect()
}
