//! Tests of the handshake and of protocol violations by authenticated peers.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::time::Duration;

use ragwortfold::peer::auth::Side;
use ragwortfold::peer::error::LinkEndReason;
use ragwortfold::peer::frame::{self, Cancel, Credit, Frame, Goodbye, Hello, Proof};
use ragwortfold::peer::mesh::Event;
use tokio_tungstenite::tungstenite::Message as WsMessage;

use super::node::{heartbeat, wait_until, Node, SECRET, TEST_TIMEOUT};
use super::raw::{connect_tcp, hello, open_frame, RawPeer, RAW_PEER_NAME};

/// Counters of connections that did not become a link.
const REFUSALS: [&str; 8] = [
    "refused_pending",
    "refused_handshake",
    "refused_slow",
    "refused_version",
    "refused_host",
    "refused_proof",
    "refused_incarnation",
    "connect_failed",
];

/// Asserts that exactly one refusal was counted, by this counter, and that there is no link.
fn assert_refused(node: &Node, counter: &str) {
    wait_until(counter, || node.counter(counter) == 1);
    for other in REFUSALS.iter().filter(|&&other| other != counter) {
        assert_eq!(node.counter(other), 0, "{other}");
    }
    assert_eq!(node.counter("links"), 0);
    assert!(node.mesh.linked_hosts().is_empty());
}

/// Defines one test per case of a dialling peer that is refused: the counter that is incremented and what
/// the peer does.
macro_rules! refused_dialler {
    ($($name:ident: $counter:literal, $peer:expr;)+) => {
        $(#[test]
        fn $name() {
            let node = Node::with("ent-a", |config| {
                let is_slow = $counter == "refused_slow";
                config.handshake_timeout = if is_slow { Duration::from_millis(200) } else { TEST_TIMEOUT };
            });
            let peer: fn(SocketAddr) -> RawPeer = $peer;
            let mut raw = peer(node.mesh.address());
            while let Some(bytes) = raw.next_bytes() {
                let frame = frame::decode(&bytes);
                assert!(!format!("{frame:?}").contains("Proof"), "sent a proof: {frame:?}");
            }
            assert_refused(&node, $counter);
            // A peer with a valid handshake is still accepted.
            RawPeer::connect_authenticated(node.mesh.address());
            node.wait_up(RAW_PEER_NAME);
        })+
    };
}

refused_dialler! {
    a_wrong_secret: "refused_proof", |address| {
        let mut raw = RawPeer::connect(address);
        let transcript = raw.exchange_hellos(hello(), "another secret");
        raw.send_proof(&transcript, Side::Dialling);
        raw
    };
    a_replayed_handshake: "refused_proof", |address| {
        // The proof is valid only for an earlier connection with the same hello.
        let mut first = RawPeer::connect(address);
        let earlier = first.exchange_hellos(hello(), SECRET);
        let mut raw = RawPeer::connect(address);
        raw.exchange_hellos(hello(), SECRET);
        raw.send_proof(&earlier, Side::Dialling);
        std::mem::forget(first);
        raw
    };
    a_proof_of_the_other_direction: "refused_proof", |address| {
        let mut raw = RawPeer::connect(address);
        let transcript = raw.exchange_hellos(hello(), SECRET);
        raw.send_proof(&transcript, Side::Accepting);
        raw
    };
    a_proof_that_is_no_mac: "refused_proof", |address| {
        let mut raw = RawPeer::connect(address);
        raw.exchange_hellos(hello(), SECRET);
        raw.send(&Frame::Proof(Proof { mac: "zz".to_owned() }));
        raw
    };
    an_unsupported_version: "refused_version", |address| {
        connect_with_hello(address, Hello { version: 0, ..hello() })
    };
    a_hello_for_another_host: "refused_host", |address| {
        connect_with_hello(address, Hello { to: Some("ent-c".to_owned()), ..hello() })
    };
    a_hello_in_the_own_name: "refused_host", |address| {
        connect_with_hello(address, Hello { host: "ent-a".to_owned(), ..hello() })
    };
    a_short_nonce: "refused_handshake", |address| {
        connect_with_hello(address, Hello { nonce: "07".to_owned(), ..hello() })
    };
    a_message_before_the_proof: "refused_handshake", |address| {
        let mut raw = RawPeer::connect(address);
        raw.exchange_hellos(hello(), SECRET);
        raw.send(&Frame::Message(heartbeat(1)));
        raw
    };
    a_message_before_the_hello: "refused_handshake", |address| {
        let mut raw = RawPeer::connect(address);
        raw.send(&Frame::Message(heartbeat(1)));
        raw
    };
    malformed_bytes_instead_of_a_hello: "refused_handshake", |address| {
        let mut raw = RawPeer::connect(address);
        raw.send_bytes(vec![0xff; 100]);
        raw
    };
    text_instead_of_a_hello: "refused_handshake", |address| {
        let mut raw = RawPeer::connect(address);
        raw.socket.send(WsMessage::text("hello")).unwrap();
        raw
    };
    an_oversize_hello: "refused_handshake", |address| {
        let mut raw = RawPeer::connect(address);
        raw.send_bytes(vec![0; 100 << 10]);
        raw
    };
    a_hello_without_a_proof: "refused_slow", |address| {
        let mut raw = RawPeer::connect(address);
        raw.exchange_hellos(hello(), SECRET);
        raw
    };
    an_upgrade_without_a_hello: "refused_slow", RawPeer::connect;
}

fn connect_with_hello(address: SocketAddr, hello: Hello) -> RawPeer {
    let mut raw = RawPeer::connect(address);
    raw.send(&Frame::Hello(hello));
    raw
}

/// Defines one test per case of bytes that are no WebSocket upgrade.
macro_rules! invalid_upgrade {
    ($($name:ident: $counter:literal, $bytes:expr;)+) => {
        $(#[test]
        fn $name() {
            let node = Node::with("ent-a", |config| {
                config.handshake_timeout = Duration::from_millis(200);
            });
            let mut stream = connect_tcp(node.mesh.address());
            stream.write_all($bytes).unwrap();
            let _ = stream.read_to_end(&mut Vec::new());
            assert_refused(&node, $counter);
        })+
    };
}

invalid_upgrade! {
    an_incomplete_request_head: "refused_slow", b"GET / HTTP/1.1\r\nHost: x\r\n";
    a_connection_without_any_bytes: "refused_slow", b"";
    bytes_of_another_protocol: "refused_handshake", &[0x16; 600];
    a_request_that_is_no_upgrade: "refused_handshake", b"GET / HTTP/1.1\r\nHost: x\r\n\r\n";
}

#[test]
fn connections_in_their_handshake_are_bounded() {
    let node = Node::with("ent-a", |config| {
        config.max_pending_handshakes = 2;
        config.handshake_timeout = TEST_TIMEOUT;
    });
    let held: Vec<_> = (0..2).map(|_| connect_tcp(node.mesh.address())).collect();
    let mut third = connect_tcp(node.mesh.address());
    assert_eq!(third.read(&mut [0; 1]).unwrap(), 0);
    assert_eq!(node.counter("refused_pending"), 1);
    drop(held);
    let b = Node::new("ent-b");
    b.link_to("ent-a", node.mesh.address());
    node.wait_up("ent-b");
}

/// Defines one test per case of a dialled host that the node refuses: the counter that is incremented and
/// what the host does.
macro_rules! refused_dialled_host {
    ($($name:ident: $counter:literal, $peer:expr;)+) => {
        $(#[test]
        fn $name() {
            let node = Node::with("ent-a", |config| {
                config.handshake_timeout = TEST_TIMEOUT;
                config.backoff = (TEST_TIMEOUT, TEST_TIMEOUT);
            });
            let listener = TcpListener::bind("127.0.0.1:0").unwrap();
            node.link_to(RAW_PEER_NAME, listener.local_addr().unwrap());
            let mut raw = RawPeer::accept(&listener);
            let node_hello = raw.next_bytes().unwrap();
            let peer: fn(&mut RawPeer, &[u8]) = $peer;
            peer(&mut raw, &node_hello);
            while raw.next_bytes().is_some() {}
            assert_refused(&node, $counter);
        })+
    };
}

refused_dialled_host! {
    another_host_at_the_address: "refused_host", |raw, _| {
        raw.send(&Frame::Hello(Hello { host: "ent-c".to_owned(), ..hello() }));
    };
    a_host_without_the_secret: "refused_proof", |raw, _| {
        raw.send(&Frame::Hello(hello()));
        let Some(Frame::Proof(proof)) = raw.next_frame() else { panic!("no proof") };
        // Without the secret it can only reflect the proof.
        raw.send(&Frame::Proof(proof));
    };
    a_host_of_an_old_version: "refused_version", |raw, _| {
        raw.send(&Frame::Hello(Hello { version: 0, ..hello() }));
    };
    the_own_hello_sent_back: "refused_host", |raw, node_hello| {
        raw.send_bytes(node_hello.to_vec());
    };
}

#[test]
fn a_dialled_host_that_sends_nothing_times_out() {
    let node = Node::with("ent-a", |config| {
        config.handshake_timeout = Duration::from_millis(200);
        config.backoff = (TEST_TIMEOUT, TEST_TIMEOUT);
    });
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    node.link_to(RAW_PEER_NAME, listener.local_addr().unwrap());
    let _held = listener.accept().unwrap();
    assert_refused(&node, "refused_slow");
}

/// Defines one test per protocol violation by an authenticated peer: the counter is incremented and the
/// link ends.
macro_rules! protocol_violation {
    ($($name:ident: $counter:literal, $peer:expr;)+) => {
        $(#[test]
        fn $name() {
            let node = Node::with_long_silence("ent-a");
            let mut raw = RawPeer::connect_authenticated(node.mesh.address());
            node.wait_up(RAW_PEER_NAME);
            let peer: fn(&mut RawPeer) = $peer;
            peer(&mut raw);
            // Holds incoming streams: dropping them would end them, and further frames for them would
            // count as late instead of as violations.
            let mut held = Vec::new();
            let reason = node.wait(|event| match event {
                Event::Down { reason, .. } => Some(reason),
                other => {
                    held.push(other);
                    None
                }
            });
            assert_eq!(reason, LinkEndReason::Fault);
            assert_eq!(node.counter($counter), 1);
            while raw.next_bytes().is_some() {}
        })+
    };
}

protocol_violation! {
    a_frame_that_is_not_cbor: "malformed", |raw| raw.send_bytes(vec![0xff; 8]);
    a_frame_with_a_field_missing: "malformed", |raw| {
        // {"cancel": {}}
        raw.send_bytes(b"\xa1\x66cancel\xa0".to_vec());
    };
    data_without_its_bytes: "malformed", |raw| {
        raw.send(&Frame::Data(frame::Data { stream: 1, end: true }));
    };
    a_frame_with_trailing_bytes: "malformed", |raw| {
        let mut bytes = frame::encode(&Frame::Message(heartbeat(1))).to_vec();
        bytes.push(0);
        raw.send_bytes(bytes);
    };
    a_text_message: "malformed", |raw| raw.socket.send(WsMessage::text("x")).unwrap();
    an_oversize_frame: "oversize", |raw| raw.send_bytes(vec![0; 100 << 10]);
    an_oversize_message: "oversize", |raw| {
        let part = Frame::Part(frame::Part { end: false });
        for _ in 0..300 {
            raw.send_bytes(frame::encode_with(&part, &vec![0; 16 << 10].into()));
        }
    };
    data_for_a_stream_never_opened: "unknown_stream", |raw| raw.send_data(1, b"x", false);
    a_cancel_for_a_stream_never_opened: "unknown_stream", |raw| {
        raw.send(&Frame::Cancel(Cancel { stream: 7 }));
    };
    credit_for_stream_zero: "unknown_stream", |raw| {
        raw.send(&Frame::Credit(Credit { stream: 0, bytes: 1 }));
    };
    a_reply_to_an_own_stream: "violation", |raw| {
        raw.send(&open_frame());
        raw.send_head(1, None);
    };
    data_beyond_the_credit: "violation", |raw| {
        raw.send(&open_frame());
        for _ in 0..5 {
            raw.send_data(1, &[0; 16 << 10], false);
        }
    };
    data_after_its_end: "violation", |raw| {
        raw.send(&open_frame());
        raw.send_data(1, b"x", true);
        raw.send_data(1, b"x", true);
    };
    a_stream_after_the_goodbye: "violation", |raw| {
        raw.send(&open_frame());
        raw.send(&Frame::Goodbye(Goodbye { reason: "test".to_owned() }));
        raw.send(&open_frame());
    };
    a_second_hello: "violation", |raw| raw.send(&Frame::Hello(hello()));
}

#[test]
fn unknown_kinds_of_a_newer_version_are_ignored() {
    let node = Node::with_long_silence("ent-a");
    let newer = Hello {
        version: 9,
        ..hello()
    };
    let mut raw = RawPeer::connect_authenticated_with(node.mesh.address(), newer);
    // {"novelty": 1}, {"message": {"novelty": {}}}, and {"novelty": {}} followed by bytes.
    raw.send_bytes(b"\xa1\x67novelty\x01".to_vec());
    raw.send_bytes(b"\xa1\x67message\xa1\x67novelty\xa0".to_vec());
    raw.send_bytes(b"\xa1\x67novelty\xa0\x42ab".to_vec());
    raw.send(&Frame::Message(heartbeat(5)));
    assert_eq!(
        format!("{:?}", node.wait_message()),
        format!("{:?}", heartbeat(5))
    );
    assert_eq!(node.counter("unknown_kind"), 3);
    assert_eq!(node.counter("malformed"), 0);
}

#[test]
fn a_later_incarnation_replaces_and_an_earlier_one_is_refused() {
    let node = Node::with_long_silence("ent-a");
    let with = |incarnation| Hello {
        incarnation,
        ..hello()
    };
    let mut first = RawPeer::connect_authenticated_with(node.mesh.address(), with(4));
    assert_eq!(node.wait_up(RAW_PEER_NAME), 4);
    let mut later = RawPeer::connect_authenticated_with(node.mesh.address(), with(5));
    assert_eq!(node.wait_down(RAW_PEER_NAME), LinkEndReason::Replaced);
    assert_eq!(node.wait_up(RAW_PEER_NAME), 5);
    while first.next_bytes().is_some() {}
    let mut earlier = RawPeer::connect_authenticated_with(node.mesh.address(), with(4));
    while earlier.next_bytes().is_some() {}
    wait_until("the refusal", || node.counter("refused_incarnation") == 1);
    later.send(&Frame::Message(heartbeat(1)));
    node.wait_message();
}
