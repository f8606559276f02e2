//! What a stranger sends: malformed frames.

use std::net::SocketAddr;
use std::time::Duration;

use bamboocart_site_standin::{StandIn, wait_until};
use bytes::{BufMut, Bytes, BytesMut};
use h2::client;
use http::Request;
use tokio::net::TcpStream;
use tokio::runtime::Builder;
use tokio::time::sleep;
use yare::parameterized;

use crate::process::Instance;

/// The time that an instance gets to read a frame.
const FRAME_TIME: Duration = Duration::from_millis(300);

/// Returns a frame that has one start message, up to the length of the minion's id.
fn frame_with_text_of(length: u64) -> Vec<u8> {
    // Times, flags and the age of the join, then one message of the variant `Start`.
    let mut frame = vec![1, 0, 0, 0, 0, 1, 1];
    // Lengths beyond 32 bits are marked by 253 and take eight bytes.
    frame.put_u8(253);
    frame.put_u64_le(length);
    frame
}

/// Sends a frame to an instance as a peer would.
async fn send_frame(peer: SocketAddr, body: &[u8]) {
    let socket = TcpStream::connect(peer).await.unwrap();
    let (sender, connection) = client::handshake(socket).await.unwrap();
    // The instance may close the link.
    tokio::spawn(async move { drop(connection.await) });
    let mut sender = sender.ready().await.unwrap();
    let member = "edge-2/marka/127.0.0.1:9/7";
    let request =
        Request::post("http://peer/frames").header("x-bamboocart-member", member);
    let (response, mut stream) =
        sender.send_request(request.body(()).unwrap(), false).unwrap();
    response.await.unwrap();
    let mut frame = BytesMut::new();
    frame.put_u32(body.len() as u32);
    frame.put_slice(body);
    stream.send_data(Bytes::from(frame), false).unwrap();
    sleep(FRAME_TIME).await;
}

/// Guards against a process that ends because of a malformed frame, such as one with a text
/// whose length exceeds all memory.
#[parameterized(
    empty = { Vec::new() },
    garbage = { vec![0xff; 500] },
    truncated = { vec![1, 0, 0, 0] },
    unknown_message = { vec![1, 0, 0, 0, 0, 1, 200] },
    text_of_a_terabyte = { frame_with_text_of(1 << 40) },
    text_beyond_all_memory = { frame_with_text_of(1 << 62) },
    text_of_all_bits = { frame_with_text_of(u64::MAX) },
)]
fn a_malformed_frame_ends_only_its_link(body: Vec<u8>) {
    let platform = StandIn::start(2).unwrap();
    platform.publish(1, "/q/");
    let instance = Instance::start_ready(&platform, "edge-1");
    let runtime = Builder::new_current_thread().enable_all().build().unwrap();
    runtime.block_on(send_frame(instance.peer, &body));
    assert_eq!(instance.readiness(), 200, "the process has ended");
}
