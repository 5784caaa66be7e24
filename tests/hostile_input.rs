//! Input that is malformed, oversized, slow or hostile.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream, UdpSocket};
use std::time::Duration;

use bramleyseam::bench::load::chat;
use bramleyseam::clock;
use bramleyseam::decide::batch::place::BatchPeers;
use bramleyseam::standin::fleet::{call, Fleet, Plan};
use bramleyseam::wire::{
    decode, read_frame, Datagram, Key, PeerReply, PeerRequest, ToBatch, ToEntry,
};
use quickcheck::quickcheck;
use serde_json::json;

fn plan() -> Plan {
    let entry = json!({ "max_connections": 40, "head_timeout_ms": 600 });
    Plan {
        batch: false,
        entry,
        ..Plan::default()
    }
}

/// Sends bytes as they are; returns what is received until the connection is closed.
fn raw(address: SocketAddr, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(address).unwrap();
    stream
        .set_read_timeout(Some(Duration::from_secs(5)))
        .unwrap();
    let _ = stream.write_all(bytes);
    let mut text = Vec::new();
    let _ = stream.read_to_end(&mut text);
    String::from_utf8_lossy(&text).into_owned()
}

#[test]
fn clear_errors() {
    let fleet = Fleet::start("clear-errors", &plan()).unwrap();
    let address = fleet.entries[0].address;
    let flood = format!("GET / HTTP/1.1\r\n{}\r\n", "X-Flood: 1\r\n".repeat(500));
    let long = format!("GET /{} HTTP/1.1\r\n\r\n", "a".repeat(40_000));
    let cases: [(&[u8], &str); 7] = [
        (flood.as_bytes(), "431"),
        (long.as_bytes(), "431"),
        (b"\x00\xff nonsense\r\n\r\n", "400"),
        (
            b"POST / HTTP/1.1\r\nContent-Length: 99999999999\r\n\r\n",
            "413",
        ),
        (
            b"POST / HTTP/1.1\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\nabcdef",
            "400",
        ),
        (
            b"POST / HTTP/1.1\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
            "400",
        ),
        (
            b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
            "400",
        ),
    ];
    for (bytes, status) in cases {
        let answer = raw(address, bytes);
        let first = answer.lines().next().unwrap_or_default().to_owned();
        assert!(
            first.contains(status),
            "{first:?} for {:?}",
            String::from_utf8_lossy(bytes)
        );
        assert!(answer.contains("\"not_run\":true"), "{answer}");
    }
    let bad = fleet
        .ask(0, "POST", "/v1/chat/completions", "{\"model\": 5}")
        .unwrap();
    assert_eq!(
        (bad.status, bad.json()["not_run"].clone()),
        (400, json!(true))
    );
    let unknown = fleet
        .ask(0, "POST", "/v1/chat/completions", "{\"model\": \"x\"}")
        .unwrap();
    assert_eq!(unknown.status, 404);
    let fine = fleet
        .ask(0, "POST", "/v1/chat/completions", &chat("fine", 2, false))
        .unwrap();
    assert_eq!(fine.status, 200);
}

// Callers open connections, send half a head and wait, until the connection limit is reached.
// Further callers are refused at once with `Retry-After`, and the slow connections are closed after
// the head timeout: the next caller is served.
#[test]
fn slow_callers() {
    let fleet = Fleet::start("slow-callers", &plan()).unwrap();
    let address = fleet.entries[0].address;
    let slow: Vec<TcpStream> = (0..40)
        .map(|_| {
            let mut stream = TcpStream::connect(address).unwrap();
            stream
                .write_all(b"POST /v1/chat/completions HTTP/1.1\r\nX-Half")
                .unwrap();
            stream
        })
        .collect();
    clock::sleep(Duration::from_millis(150));
    let refused = raw(address, b"GET /healthz HTTP/1.1\r\n\r\n");
    assert!(refused.starts_with("HTTP/1.1 503"), "{refused}");
    assert!(refused.contains("Retry-After"), "{refused}");
    clock::sleep(Duration::from_millis(1500));
    let body = chat("after the slow ones", 2, false);
    let answer = fleet.ask(0, "POST", "/v1/chat/completions", &body).unwrap();
    assert_eq!(answer.status, 200);
    drop(slow);
}

// Invalid datagrams of several kinds are all rejected and counted as refused.
#[test]
fn strange_datagrams() {
    let fleet = Fleet::start("datagrams", &plan()).unwrap();
    let dump = fleet.entries[0].page("/dump");
    let gossip: SocketAddr = dump["vm"]["gossip_address"]
        .as_str()
        .unwrap()
        .parse()
        .unwrap();
    let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
    let forged = Key::new("another cluster's secret").seal(&Datagram::Pressure {
        endpoint: 1,
        online: 9,
    });
    let forged = forged.unwrap();
    for bytes in [&[][..], &[1], &[0xff; 1400], &forged, &forged[..20]] {
        socket.send_to(bytes, gossip).unwrap();
    }
    clock::sleep(Duration::from_millis(200));
    let operators = fleet.entries[0].operators.unwrap();
    let metrics = call(operators, "GET", "/metrics", "", &[], b"")
        .unwrap()
        .text();
    assert!(
        metrics.contains("bramley_datagrams_refused_total 5"),
        "{metrics}"
    );
}

quickcheck! {
    // No input makes a decoder panic or allocate memory for a length that is only announced.
    fn codecs_hold(bytes: Vec<u8>) -> bool {
        let _ = decode::<Datagram>(&bytes);
        let _ = decode::<PeerRequest>(&bytes);
        let _ = decode::<PeerReply>(&bytes);
        let _ = decode::<ToBatch>(&bytes);
        let _ = decode::<ToEntry>(&bytes);
        let key = Key::new("a secret for tests");
        let _ = key.open::<Datagram>(&bytes);
        read_frame::<PeerRequest>(&mut &bytes[..], &key).is_err()
    }

    // A message with any modified byte is rejected.
    fn changed_refused(at: usize, by: u8, batch: u64) -> bool {
        let key = Key::new("a secret for tests");
        let message = ToBatch::Peers(BatchPeers { local_vm: batch, ..BatchPeers::default() });
        let mut sealed = key.seal(&message).unwrap();
        let opened = key.open::<ToBatch>(&sealed).ok() == Some(message);
        let at = at % sealed.len();
        sealed[at] ^= by | 1;
        opened && key.open::<ToBatch>(&sealed).is_err()
    }
}
