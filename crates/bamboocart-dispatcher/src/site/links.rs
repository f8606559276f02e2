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
use crate::site::driver::Driver;

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
const ECHO_TIMEOUT_MS: u64 = 1_000;

/// How often a link without frames looks whether it is silent.
const SILENCE_CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// The largest frame.
const MAX_FRAME_BYTES: usize = 4 << 20;

/// The connections that wait to be accepted.
const LISTEN_BACKLOG: i32 = 1_024;

/// Why a link has ended.
type LinkError = Box<dyn std::error::Error>;

/// Listens on an address, also right after an earlier process did.
pub fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket =
        Socket::new(Domain::for_address(address), Type::STREAM, Some(Protocol::TCP))?;
    socket.set_reuse_address(true)?;
    socket.set_nonblocking(true)?;
    socket.bind(&address.into())?;
    socket.listen(LISTEN_BACKLOG)?;
    TcpListener::from_std(socket.into())
}

/// Carries frames to a peer until the shell drops the link.
pub async fn run_link(
    driver: Driver,
    peer: PeerKey,
    address: SocketAddr,
    mut frames: mpsc::Receiver<Frame>,
) {
    loop {
        match open(&driver, peer, address).await {
            Ok(mut stream) => {
                driver.update_engine(|engine, _| engine.link_opened(peer));
                let end = send_frames(&driver, peer, &mut stream, &mut frames).await;
                while frames.try_recv().is_ok() {}
                driver.update_engine(|engine, now| engine.link_lost(now, peer));
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
    driver: &Driver,
    peer: PeerKey,
    address: SocketAddr,
) -> Result<SendStream<Bytes>, LinkError> {
    let handshake = async {
        let socket = TcpStream::connect(address).await?;
        socket.set_nodelay(true)?;
        let (sender, connection) = client::handshake(socket).await?;
        driver.spawn(async move {
            if let Err(error) = connection.await {
                log::debug!(target: "peer", error:% = error; "connection ended");
            }
        });
        let mut sender = sender.ready().await?;
        let request = Request::post(LINK_PATH)
            .header(MEMBER_HEADER, driver.member().to_string())
            .body(())?;
        let (response, stream) = sender.send_request(request, false)?;
        let response = response.await?;
        let accepted = response.headers().get(MEMBER_HEADER);
        let expected = driver.read_engine(|engine, _| {
            engine.member_of(peer).map(|member| member.to_string())
        });
        if accepted.map(|id| id.as_bytes()) != expected.as_deref().map(str::as_bytes) {
            return Err("another instance has accepted the link".into());
        }
        Ok::<_, LinkError>(stream)
    };
    timeout(OPEN_TIMEOUT, handshake).await?
}

/// Sends frames until the link ends; without an error if the shell has dropped it.
async fn send_frames(
    driver: &Driver,
    peer: PeerKey,
    stream: &mut SendStream<Bytes>,
    frames: &mut mpsc::Receiver<Frame>,
) -> Result<(), LinkError> {
    let opened = clock::now();
    loop {
        let frame = timeout(SILENCE_CHECK_INTERVAL, frames.recv()).await;
        let silent = driver.read_engine(|engine, now| {
            engine.is_link_silent(now, peer, opened, ECHO_TIMEOUT_MS)
        });
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
pub async fn accept(driver: Driver, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((socket, address)) => {
                let inbound = serve_link(driver.clone(), socket);
                driver.spawn(async move {
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
async fn serve_link(driver: Driver, socket: TcpStream) -> Result<(), LinkError> {
    socket.set_nodelay(true)?;
    let mut connection = timeout(OPEN_TIMEOUT, server::handshake(socket)).await??;
    let Some(first) = timeout(OPEN_TIMEOUT, connection.accept()).await? else {
        return Ok(());
    };
    let (request, mut respond) = first?;
    let member = request.headers().get(MEMBER_HEADER);
    let member: Member =
        member.ok_or("the peer does not say who it is")?.to_str()?.parse()?;
    if member.name == driver.member().name {
        return Err("the link comes from this instance or an earlier one".into());
    }
    let peer = driver.update_engine(|engine, now| engine.peer(now, &member));
    driver.open_links();
    let response =
        Response::builder().header(MEMBER_HEADER, driver.member().to_string()).body(())?;
    respond.send_response(response, false)?;
    let reader = read_frames(driver.clone(), peer, request.into_body());
    tokio::select! {
        end = reader => end,
        end = poll_fn(|context| connection.poll_closed(context)) => Ok(end?),
    }
}

/// Reads frames from a stream.
async fn read_frames(
    driver: Driver,
    peer: PeerKey,
    mut stream: RecvStream,
) -> Result<(), LinkError> {
    let mut buffer = BytesMut::new();
    while let Some(data) = stream.data().await {
        let data = data?;
        stream.flow_control().release_capacity(data.len())?;
        buffer.extend_from_slice(&data);
        while let Some(frame) = decode(&mut buffer)? {
            driver.update_engine(|engine, now| engine.frame_arrived(now, peer, frame));
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
