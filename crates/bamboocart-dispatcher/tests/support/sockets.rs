//! Lookups of the processes that hold TCP sockets.

use std::fs;
use std::io::Read;
use std::net::SocketAddr;
use std::time::Duration;

use socket2::{Domain, Protocol, Socket, Type};

/// The state of a listening socket in `/proc/net/tcp`.
const LISTENING: &str = "0A";

/// A parsed line of `/proc/net/tcp`.
struct SocketEntry {
    local_port: u16,
    listening: bool,
    inode: String,
}

/// Returns the port of another listening socket of a process than the known one.
pub fn other_listening_port(process: u32, known: SocketAddr) -> Option<u16> {
    let held = socket_inodes(process);
    let listening = sockets().into_iter().filter(|s| s.listening);
    let mut own = listening.filter(|s| held.contains(&s.inode));
    own.find(|s| s.local_port != known.port()).map(|s| s.local_port)
}

/// Returns which of some processes opened a connection on loopback.
///
/// This queries the kernel for the single socket, because `/proc/net/tcp` grows to tens
/// of thousands of lines when tests leave closed connections behind.
pub fn opener(processes: &[u32], from: SocketAddr, to: SocketAddr) -> Option<u32> {
    let inode = socket_inode(from.port(), to.port())?.to_string();
    processes.iter().copied().find(|&process| socket_inodes(process).contains(&inode))
}

/// Returns the inode of the loopback socket between two ports, through
/// `NETLINK_SOCK_DIAG`.
fn socket_inode(local_port: u16, remote_port: u16) -> Option<u32> {
    const NETLINK: i32 = 16;
    const SOCK_DIAG: i32 = 4;
    const SOCK_DIAG_BY_FAMILY: u16 = 20;
    const REQUEST: u16 = 1;
    const INET: u8 = 2;
    const TCP: u8 = 6;
    const LOOPBACK: [u8; 16] = [127, 0, 0, 1, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0];
    const INODE_AT: usize = 84;
    let mut request = vec![];
    request.extend(72_u32.to_ne_bytes());
    request.extend(SOCK_DIAG_BY_FAMILY.to_ne_bytes());
    request.extend(REQUEST.to_ne_bytes());
    request.extend([0; 8]);
    request.extend([INET, TCP, 0, 0]);
    request.extend(u32::MAX.to_ne_bytes());
    request.extend(local_port.to_be_bytes());
    request.extend(remote_port.to_be_bytes());
    request.extend(LOOPBACK);
    request.extend(LOOPBACK);
    request.extend([0; 4]);
    request.extend([0xff; 8]);
    let (domain, protocol) = (Domain::from(NETLINK), Protocol::from(SOCK_DIAG));
    let mut socket = Socket::new(domain, Type::DGRAM, Some(protocol)).ok()?;
    socket.set_read_timeout(Some(Duration::from_secs(1))).ok()?;
    socket.send(&request).ok()?;
    let mut answer = [0; 512];
    let length = socket.read(&mut answer).ok()?;
    let kind = u16::from_ne_bytes([answer[4], answer[5]]);
    let field = answer[..length].get(INODE_AT..INODE_AT + 4)?.try_into().ok()?;
    (kind == SOCK_DIAG_BY_FAMILY).then_some(u32::from_ne_bytes(field))
}

/// Reads the TCP sockets of the machine's network namespace.
fn sockets() -> Vec<SocketEntry> {
    let text = fs::read_to_string("/proc/self/net/tcp").unwrap_or_default();
    text.lines().skip(1).filter_map(parse_line).collect()
}

/// Parses a line of `/proc/net/tcp`, or returns `None` if it is malformed.
fn parse_line(line: &str) -> Option<SocketEntry> {
    let fields: Vec<&str> = line.split_whitespace().collect();
    let port = |field: &str| u16::from_str_radix(field.rsplit_once(':')?.1, 16).ok();
    Some(SocketEntry {
        local_port: port(fields.get(1)?)?,
        listening: *fields.get(3)? == LISTENING,
        inode: (*fields.get(9)?).to_owned(),
    })
}

/// Returns the inodes of the sockets that a process holds.
fn socket_inodes(process: u32) -> Vec<String> {
    let Ok(entries) = fs::read_dir(format!("/proc/{process}/fd")) else { return vec![] };
    let links = entries.flatten().filter_map(|entry| fs::read_link(entry.path()).ok());
    let inode = |link: std::path::PathBuf| {
        let text = link.to_string_lossy().into_owned();
        Some(text.strip_prefix("socket:[")?.strip_suffix(']')?.to_owned())
    };
    links.filter_map(inode).collect()
}
