//! Links between instances: one h2 stream in each direction, with frames in bincode.

use std::future::poll_fn;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use bamboocart_jobs::{Frame, Member, PeerKey};
use bytes::{Buf, BufMut, Bytes, BytesMut};
use h2::{RecvStream, SendStream, client, server};
use http::{Request, Response};
use socket2::{Domain, Protocol, Socket, Type};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::time::{sleep, timeout};

use crate::site::clock;
use crate::site::shell::Shell;

/// The header with the member at the opening end of a link.
const MEMBER_HEADER: &str = "x-bamboocart-member";

/// The path of the stream.
const LINK_PATH: &str = "http://peer/frames";

/// The time for opening a connection.
const OPEN_TIMEOUT: Duration = Duration::from_millis(500);

/// The pause before a link is opened again.
const REOPEN_PAUSE: Duration = Duration::from_millis(100);

/// A link whose frames were not echoed for this long is replaced; the connection may have
/// gone silent.
const SILENCE_MS: u64 = 1_000;

/// How often a link without frames looks whether it is silent.
const WATCH_INTERVAL: Duration = Duration::from_millis(250);

/// The largest frame.
const MAX_FRAME_BYTES: usize = 4 << 20;

/// The connections that wait to be accepted.
const BACKLOG: i32 = 1_024;

/// Why a link has ended.
type LinkError = Box<dyn std::error::Error>;

/// Listens on an address, also right after an earlier process did.
pub fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket =
        Socket::new(Domain::for_address(address), Type::STREAM, Some(Protocol::TCP))?;
    socket.set_reuse_address(true)?;
    socket.set_nonblocking(true)?;
    socket.bind(&address.into())?;
    socket.listen(BACKLOG)?;
    TcpListener::from_std(socket.into())
}

/// Carries frames to a peer until the shell drops the link.
pub async fn carry(
    shell: Shell,
    peer: PeerKey,
    address: SocketAddr,
    mut frames: mpsc::Receiver<Frame>,
) {
    loop {
        match open(&shell, peer, address).await {
            Ok(mut stream) => {
                shell.event(|engine, _| engine.link_opened(peer));
                let end = feed(&shell, peer, &mut stream, &mut frames).await;
                while frames.try_recv().is_ok() {}
                shell.event(|engine, now| engine.link_lost(now, peer));
                match end {
                    Ok(()) => return,
                    Err(error) => {
                        log::info!(target: "peer", address:% = address,
                            error:% = error; "link lost");
                    }
                }
            }
            Err(error) => {
                log::debug!(target: "peer", address:% = address, error:% = error;
                    "no link");
            }
        }
        sleep(REOPEN_PAUSE).await;
        if frames.is_closed() {
            return;
        }
    }
}

/// Opens a connection and its stream, if the intended incarnation of the peer accepts it.
async fn open(
    shell: &Shell,
    peer: PeerKey,
    address: SocketAddr,
) -> Result<SendStream<Bytes>, LinkError> {
    let handshake = async {
        let socket = TcpStream::connect(address).await?;
        socket.set_nodelay(true)?;
        let (sender, connection) = client::handshake(socket).await?;
        shell.spawn(async move {
            if let Err(error) = connection.await {
                log::debug!(target: "peer", error:% = error; "connection ended");
            }
        });
        let mut sender = sender.ready().await?;
        let request = Request::post(LINK_PATH)
            .header(MEMBER_HEADER, shell.member().to_string())
            .body(())?;
        let (response, stream) = sender.send_request(request, false)?;
        let response = response.await?;
        let accepted = response.headers().get(MEMBER_HEADER);
        let expected = shell
            .read(|engine, _| engine.member_of(peer).map(|member| member.to_string()));
        if accepted.map(|id| id.as_bytes()) != expected.as_deref().map(str::as_bytes) {
            return Err("another instance has accepted the link".into());
        }
        Ok::<_, LinkError>(stream)
    };
    timeout(OPEN_TIMEOUT, handshake).await?
}

/// Sends frames until the link ends; without an error if the shell has dropped it.
async fn feed(
    shell: &Shell,
    peer: PeerKey,
    stream: &mut SendStream<Bytes>,
    frames: &mut mpsc::Receiver<Frame>,
) -> Result<(), LinkError> {
    let opened = clock::now();
    loop {
        let frame = timeout(WATCH_INTERVAL, frames.recv()).await;
        let silent = shell
            .read(|engine, now| engine.is_link_silent(now, peer, opened, SILENCE_MS));
        match frame {
            _ if silent => return Err("no frame was echoed in time".into()),
            Ok(None) => return Ok(()),
            Ok(Some(frame)) => stream.send_data(encode(&frame)?, false)?,
            Err(_) => {}
        }
    }
}

/// Encodes a frame behind its length.
fn encode(frame: &Frame) -> Result<Bytes, LinkError> {
    let body = bincode::serde::encode_to_vec(frame, bincode::config::standard())?;
    let mut bytes = BytesMut::with_capacity(4 + body.len());
    bytes.put_u32(body.len() as u32);
    bytes.put_slice(&body);
    Ok(bytes.freeze())
}

/// Accepts the links of peers.
pub async fn accept(shell: Shell, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((socket, address)) => {
                let inbound = receive(shell.clone(), socket);
                shell.spawn(async move {
                    if let Err(error) = inbound.await {
                        log::info!(target: "peer", address:% = address, error:% = error;
                            "link from a peer ended");
                    }
                });
            }
            Err(error) => {
                log::warn!(target: "peer", error:% = error; "cannot accept links");
                sleep(REOPEN_PAUSE).await;
            }
        }
    }
}

/// Receives the frames of one connection.
async fn receive(shell: Shell, socket: TcpStream) -> Result<(), LinkError> {
    socket.set_nodelay(true)?;
    let mut connection = timeout(OPEN_TIMEOUT, server::handshake(socket)).await??;
    let Some(first) = timeout(OPEN_TIMEOUT, connection.accept()).await? else {
        return Ok(());
    };
    let (request, mut respond) = first?;
    let member = request.headers().get(MEMBER_HEADER);
    let member: Member =
        member.ok_or("the peer does not say who it is")?.to_str()?.parse()?;
    if member.name == shell.member().name {
        return Err("the link comes from this instance or an earlier one".into());
    }
    let peer = shell.event(|engine, now| engine.peer(now, &member));
    shell.open_links();
    let response =
        Response::builder().header(MEMBER_HEADER, shell.member().to_string()).body(())?;
    respond.send_response(response, false)?;
    let reader = read(shell.clone(), peer, request.into_body());
    tokio::select! {
        end = reader => end,
        end = poll_fn(|context| connection.poll_closed(context)) => Ok(end?),
    }
}

/// Reads frames from a stream.
async fn read(
    shell: Shell,
    peer: PeerKey,
    mut stream: RecvStream,
) -> Result<(), LinkError> {
    let mut buffer = BytesMut::new();
    while let Some(data) = stream.data().await {
        let data = data?;
        stream.flow_control().release_capacity(data.len())?;
        buffer.extend_from_slice(&data);
        while let Some(frame) = decode(&mut buffer)? {
            shell.event(|engine, now| engine.frame_arrived(now, peer, frame));
        }
    }
    Ok(())
}

/// Takes a whole frame from a buffer, if there is one.
fn decode(buffer: &mut BytesMut) -> Result<Option<Frame>, LinkError> {
    if buffer.len() < 4 {
        return Ok(None);
    }
    let length =
        u32::from_be_bytes([buffer[0], buffer[1], buffer[2], buffer[3]]) as usize;
    if length > MAX_FRAME_BYTES {
        return Err("a frame is too large".into());
    }
    if buffer.len() < 4 + length {
        return Ok(None);
    }
    buffer.advance(4);
    let body = buffer.split_to(length);
    let (frame, _) =
        bincode::serde::decode_from_slice(&body, bincode::config::standard())?;
    Ok(Some(frame))
}
