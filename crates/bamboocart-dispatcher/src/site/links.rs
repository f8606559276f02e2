//! Links between instances: one HTTP/2 stream in each direction, with frames in bincode.

use std::future::poll_fn;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use bamboocart_jobs::{Frame, Member, Message, PeerKey};
use bamboocart_telemetry::traffic::{Direction, Purpose, count_bytes};
use bincode::config::{Configuration, Limit, LittleEndian, Varint};
use bytes::{Buf, Bytes, BytesMut};
use h2::{RecvStream, SendStream, client, server};
use http::{Request, Response};
use socket2::{Domain, Protocol, Socket, Type};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{sleep, timeout};

use crate::site::clock;
use crate::site::driver::Driver;
use crate::site::frame_queue::FrameReceiver;

/// The header with the group member at either end of a link.
const MEMBER_HEADER: &str = "x-bamboocart-member";

/// The URI of the stream; the accepting end does not check it.
const LINK_PATH: &str = "http://peer/frames";

/// The timeout of opening a link, and of each step of accepting one.
const OPEN_TIMEOUT: Duration = Duration::from_millis(500);

/// The pause before a link is opened again.
const REOPEN_PAUSE: Duration = Duration::from_millis(100);

/// The time without an echoed frame after which a link is replaced, because its
/// connection may have gone silent.
const ECHO_TIMEOUT_MS: u64 = 1_000;

/// The interval at which a link without frames checks for silence.
const SILENCE_CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// The size of the length before a frame.
const LENGTH_BYTES: usize = 4;

/// The largest frame.
const MAX_FRAME_BYTES: usize = 4 << 20;

/// The limit of what the decoder of a frame allocates. The entries of a list take more
/// memory than bytes of the frame.
const MAX_DECODED_BYTES: usize = 16 << 20;

/// The bincode format of frames. Without the limit, the length of a text in a malformed
/// frame is allocated before its bytes are read, and the process ends.
const FORMAT: Configuration<LittleEndian, Varint, Limit<MAX_DECODED_BYTES>> =
    bincode::config::standard().with_limit::<MAX_DECODED_BYTES>();

/// The length of the queue of connections that are not accepted yet.
const LISTEN_BACKLOG: i32 = 1_024;

/// The reason why a link has failed.
type LinkError = Box<dyn std::error::Error>;

/// Listens on an address, even right after an earlier process has used it.
///
/// Returns an error if another process listens on the address.
pub fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket =
        Socket::new(Domain::for_address(address), Type::STREAM, Some(Protocol::TCP))?;
    socket.set_reuse_address(true)?;
    socket.set_nonblocking(true)?;
    socket.bind(&address.into())?;
    socket.listen(LISTEN_BACKLOG)?;
    TcpListener::from_std(socket.into())
}

/// Sends queued frames to a peer, reopening the link as needed, until the driver closes
/// the queue.
///
/// Frames that are queued when the link fails are dropped.
pub async fn run_link(
    driver: Driver,
    peer: PeerKey,
    address: SocketAddr,
    mut frames: FrameReceiver,
) {
    loop {
        match open(&driver, peer, address).await {
            Ok(mut stream) => {
                driver.update_engine(|engine, _| engine.link_opened(peer));
                let end = send_frames(&driver, peer, &mut stream, &mut frames).await;
                frames.clear();
                driver.lose_link(peer);
                match end {
                    Ok(()) => return,
                    Err(error) => {
                        log::info!(target: "peer", address:% = address,
                            error:% = error; "link to peer failed; reopening");
                    }
                }
            }
            Err(error) => {
                log::debug!(target: "peer", address:% = address, error:% = error;
                    "cannot open link to peer");
            }
        }
        sleep(REOPEN_PAUSE).await;
        if frames.is_closed() {
            return;
        }
    }
}

/// Opens a connection and its stream, and checks that the intended incarnation of the
/// peer has accepted it.
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
            return Err("another instance or incarnation accepted the link".into());
        }
        Ok::<_, LinkError>(stream)
    };
    timeout(OPEN_TIMEOUT, handshake).await?
}

/// Sends frames until the link fails; returns without an error if the queue was closed.
///
/// The driver closes the link to the engine when the queue overflows. It is opened again
/// when the frames in the queue are sent, since nothing else is lost.
async fn send_frames(
    driver: &Driver,
    peer: PeerKey,
    stream: &mut SendStream<Bytes>,
    frames: &mut FrameReceiver,
) -> Result<(), LinkError> {
    let opened = clock::now();
    loop {
        let frame = timeout(SILENCE_CHECK_INTERVAL, frames.recv()).await;
        let silent = driver.read_engine(|engine, now| {
            engine.is_link_silent(now, peer, opened, ECHO_TIMEOUT_MS)
        });
        match frame {
            _ if silent => return Err("the peer did not echo a frame in time".into()),
            Ok(None) => return Ok(()),
            Ok(Some(frame)) => stream.send_data(encode(&frame)?, false)?,
            Err(_) => {}
        }
        if frames.take_overflow() {
            log::info!(target: "peer", peer:? = peer;
                "queue of the link is empty; sending what was dropped");
            driver.update_engine(|engine, _| engine.link_opened(peer));
        }
    }
}

/// Encodes a frame with a length prefix of 4 bytes, and counts the bytes of each message.
fn encode(frame: &Frame) -> Result<Bytes, LinkError> {
    let mut bytes = vec![0; LENGTH_BYTES];
    let Frame { sent_ms, echo_ms, wants_capacity, needs_state, join_age_ms, messages } =
        frame;
    // The fields are encoded one after the other, as the derived encoding of a frame does.
    let head = (sent_ms, echo_ms, wants_capacity, needs_state, join_age_ms);
    bincode::serde::encode_into_std_write((head, messages.len()), &mut bytes, FORMAT)?;
    count_bytes(Purpose::Frame, Direction::Sent, bytes.len());
    for message in messages {
        let before = bytes.len();
        bincode::serde::encode_into_std_write(message, &mut bytes, FORMAT)?;
        let kind = Purpose::Message(message.kind());
        count_bytes(kind, Direction::Sent, bytes.len() - before);
    }
    let length = (bytes.len() - LENGTH_BYTES) as u32;
    bytes[..LENGTH_BYTES].copy_from_slice(&length.to_be_bytes());
    Ok(bytes.into())
}

/// Accepts links from peers; runs until the process stops.
pub async fn accept(driver: Driver, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((socket, address)) => {
                let inbound = serve_link(driver.clone(), socket);
                driver.spawn(async move {
                    if let Err(error) = inbound.await {
                        log::info!(target: "peer", address:% = address, error:% = error;
                            "link from peer failed");
                    }
                });
            }
            Err(error) => {
                log::warn!(target: "peer", error:% = error;
                    "cannot accept connections from peers");
                sleep(REOPEN_PAUSE).await;
            }
        }
    }
}

/// Accepts the stream of a connection and receives its frames.
async fn serve_link(driver: Driver, socket: TcpStream) -> Result<(), LinkError> {
    socket.set_nodelay(true)?;
    let mut connection = timeout(OPEN_TIMEOUT, server::handshake(socket)).await??;
    let Some(first) = timeout(OPEN_TIMEOUT, connection.accept()).await? else {
        return Ok(());
    };
    let (request, mut respond) = first?;
    let member = request.headers().get(MEMBER_HEADER);
    let member: Member =
        member.ok_or("the peer did not send its member header")?.to_str()?.parse()?;
    if member.name == driver.member().name {
        return Err(
            "the link comes from this instance or an earlier incarnation of it".into()
        );
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

/// Passes the frames of a stream to the engine.
async fn read_frames(
    driver: Driver,
    peer: PeerKey,
    mut stream: RecvStream,
) -> Result<(), LinkError> {
    let mut buffer = BytesMut::new();
    while let Some(data) = stream.data().await {
        let data = data?;
        stream.flow_control().release_capacity(data.len())?;
        count_bytes(Purpose::Frame, Direction::Received, data.len());
        buffer.extend_from_slice(&data);
        while let Some(frame) = decode(&mut buffer)? {
            let names_members =
                frame.messages.iter().any(|it| matches!(it, Message::Members(_)));
            driver.update_engine(|engine, now| engine.frame_arrived(now, peer, frame));
            if names_members {
                driver.open_links();
            }
        }
    }
    Ok(())
}

/// Removes and decodes the next frame of a buffer, if it is complete.
fn decode(buffer: &mut BytesMut) -> Result<Option<Frame>, LinkError> {
    let Some(&prefix) = buffer.first_chunk::<LENGTH_BYTES>() else { return Ok(None) };
    let length = u32::from_be_bytes(prefix) as usize;
    if length > MAX_FRAME_BYTES {
        return Err("the frame exceeds 4 MiB".into());
    }
    if buffer.len() < LENGTH_BYTES + length {
        return Ok(None);
    }
    buffer.advance(LENGTH_BYTES);
    let body = buffer.split_to(length);
    let (frame, _) = bincode::serde::decode_from_slice(&body, FORMAT)?;
    Ok(Some(frame))
}
