//! What another writer or a stranger sends: odd entries in the list of minions, and
//! malformed frames.

use std::net::SocketAddr;
use std::time::Duration;

use bamboocart_site_standin::{StandIn, submit, wait_until};
use bytes::{BufMut, Bytes, BytesMut};
use h2::client;
use http::Request;
use tokio::net::TcpStream;
use tokio::runtime::Builder;
use tokio::time::sleep;
use yare::parameterized;

use crate::log::Log;
use crate::process::Instance;

/// The time that an instance gets to read a frame.
const FRAME_TIME: Duration = Duration::from_millis(300);

/// Returns entries that no minion writes.
pub fn foreign_entries() -> Vec<Vec<u8>> {
    let entry = |address: &str, born: &str| {
        format!(
            r#"{{"service":"service","address":{address},"zone":"marka","state":"ready",
            "capacity":{{"cpu":2000,"mem_mb":4096,"gpu":0}},"born":{born}}}"#
        )
        .into_bytes()
    };
    let good = r#""127.0.0.1:9""#;
    vec![
        "[".repeat(100_000).into_bytes(),
        entry(&"[".repeat(5_000), "1"),
        entry(good, "1e999"),
        entry(good, &"9".repeat(60)),
        entry(good, "-1"),
        entry(r#""127.0.0.1:65536""#, "1"),
        entry(r#""127.0.0.1:0""#, "1"),
        entry(r#""[::1]:9""#, "1"),
        entry(good, "1"),
        entry(good, "18446744073709551615"),
        vec![0xff; 2_000],
        b"7".to_vec(),
    ]
}

/// Guards against an instance that ends, or stops to follow the list, because of an odd
/// entry; the newest entries are read anew after a restart.
#[test]
fn the_list_is_followed_beside_odd_entries() {
    let platform = StandIn::start(2).unwrap();
    for (number, entry) in foreign_entries().iter().enumerate() {
        // Characters that mean something in a query have to be escaped.
        let keys = [format!("odd {number}&after=z#%"), format!("zz-{number}")];
        keys.iter().for_each(|key| platform.write_foreign_entry(key, entry));
    }
    platform.publish(1, "/q/");
    let log = Log::default();
    let instance =
        Instance::start_with(&platform.settings("edge-1", [0; 4]), log.clone());
    let serves = |id: &str| {
        let answer = submit(instance.front, &format!("/q/{id:0>16}"), 3, 10);
        answer.is_ok_and(|answer| answer.state == "completed")
    };
    assert!(wait_until(|| serves("1")), "the entries of the minions are not read");
    for entry in foreign_entries() {
        platform.write_foreign_entry("m-0", &entry);
        platform.write_foreign_entry("odd", &entry);
    }
    platform.restore_entry(0);
    // Each fault is logged once, however often it is written.
    let logged = || log.count(&["`odd`", "127.0.0.1:0", "nothing can listen on"]);
    assert!(wait_until(|| logged() == 1));
    platform.compact();
    assert!(wait_until(|| serves("2")), "the list is not followed");
    for entry in foreign_entries() {
        platform.write_foreign_entry("odd", &entry);
    }
    platform.write_foreign_entry("last", b"7");
    assert!(wait_until(|| log.has(&["skipped invalid minion entry", "`last`"])));
    assert_eq!(logged(), 1);
}

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
