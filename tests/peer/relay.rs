//! Tests of relayed requests: intact bodies, flow control, and the right error wherever they may fail.

use std::sync::mpsc::channel;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use ragwortfold::peer::error::{Dispatch, LinkEndReason, OpenError, StreamError};
use ragwortfold::peer::frame::{self, Files, Frame, Message, Refused, Reset, Unknown};
use ragwortfold::peer::mesh::Event;
use ragwortfold::peer::stream::{Incoming, Open, Reply, Stream};
use standin::link::{Fault, Flow, Link};

use super::node::*;
use super::raw::{open_frame, RawPeer, RAW_PEER_NAME};

#[test]
fn bodies_arrive_unchanged() {
    for length in [0, 1, 8 << 20] {
        for declared in [Some(length as u64), None] {
            let (a, b) = pair();
            let server = thread::spawn(move || echo(b.wait_incoming()).map(|()| b));
            let body = pattern(length);
            let open = upload().with_length(declared);
            let mut stream = a.mesh.open("ent-b", &open, TEST_TIMEOUT).unwrap();
            stream.write_body(&body).unwrap();
            stream.finish_body().unwrap();
            let head = stream.read_head(TEST_TIMEOUT).unwrap();
            assert!(
                matches!(head, Reply::Head { status: 200, length, .. } if length == declared),
                "{head:?}"
            );
            let (received, end) = read_all(|buffer| stream.read_body(buffer));
            assert_eq!(end, Ok(()));
            assert!(received == body, "{length} bytes");
            server.join().unwrap().unwrap();
        }
    }
}

#[test]
fn request_heads_arrive_unchanged() {
    let (a, b) = pair();
    let open = Open {
        class: "pass-lookup".into(),
        headers: vec![
            ("Accept".into(), "a, b".into()),
            ("X".into(), "\u{e9}".into()),
        ],
        priority: 9,
        key: Some("k".into()),
        ticket: Some("ent-b.1".into()),
        locality: Some("cusco".into()),
        block: Some("10.1.0.0/16".into()),
        ..request()
    };
    let _stream = a.mesh.open("ent-b", &open, TEST_TIMEOUT).unwrap();
    let mut received = b.wait_incoming().open.clone();
    assert!(received.deadline <= open.deadline);
    received.deadline = open.deadline;
    assert_eq!(received, open);
}

#[test]
fn fifty_concurrent_streams_do_not_mix() {
    let (a, b) = pair();
    let mesh = &a.mesh;
    thread::scope(|scope| {
        scope.spawn(|| {
            for _ in 0..50 {
                let incoming = b.wait_incoming();
                scope.spawn(move || echo(incoming));
            }
        });
        let callers: Vec<_> = (0..50usize)
            .map(|i| scope.spawn(move || round_trip(mesh, &pattern(i * 7001)[i..])))
            .collect();
        assert!(callers.into_iter().all(|caller| caller.join().unwrap()));
    });
    // Only the replying side may receive late frames: credit from a caller for a stream that just ended.
    assert_eq!((a.counter("late"), a.counter("violation")), (0, 0));
    assert_eq!(b.counter("violation"), 0);
}

/// Whether an echoed body equals the one sent.
fn round_trip(mesh: &ragwortfold::peer::mesh::Mesh, body: &[u8]) -> bool {
    let mut stream = mesh.open("ent-b", &upload(), TEST_TIMEOUT).unwrap();
    stream.write_body(body).unwrap();
    stream.finish_body().unwrap();
    stream.read_head(TEST_TIMEOUT).unwrap();
    let (received, end) = read_all(|buffer| stream.read_body(buffer));
    end == Ok(()) && received == body
}

#[test]
fn an_unread_upload_does_not_delay_other_streams() {
    let (a, b) = pair();
    let body = pattern(4 << 20);
    thread::scope(|scope| {
        let writer = scope.spawn(|| {
            let mut stream = a.mesh.open("ent-b", &upload(), TEST_TIMEOUT).unwrap();
            stream.write_body(&body).unwrap();
            stream.finish_body().unwrap();
            stream.read_head(TEST_TIMEOUT).unwrap();
            read_all(|buffer| stream.read_body(buffer))
        });
        let stalled = b.wait_incoming();
        // Messages and small requests pass while no byte of the upload is read.
        for sequence in 0..20 {
            a.mesh.send("ent-b", &heartbeat(sequence)).unwrap();
            b.wait_message();
            let small = scope.spawn(|| round_trip(&a.mesh, b"small"));
            echo(b.wait_incoming()).unwrap();
            assert!(small.join().unwrap());
        }
        assert!(!writer.is_finished());
        assert!(b.counter("bytes_in") < 200 << 10);
        echo(stalled).unwrap();
        let (received, end) = writer.join().unwrap();
        assert!(end == Ok(()) && received == body);
    });
}

#[test]
fn reading_enlarges_the_window_while_the_pool_has_room() {
    for (buffer, credit) in [(1 << 20, (256 - 64 + 16) << 10), (0, 16 << 10)] {
        let node = Node::with("ent-a", |config| {
            config.silence_timeout = TEST_TIMEOUT;
            config.window_pool_bytes = buffer;
        });
        let mut raw = RawPeer::connect_authenticated(node.mesh.address());
        raw.send(&open_frame());
        for _ in 0..4 {
            raw.send_data(1, &[0; 16 << 10], false);
        }
        let mut incoming = node.wait_incoming();
        let mut read = 0;
        while read < 16 << 10 {
            read += incoming.read_body(&mut vec![0; (16 << 10) - read]).unwrap();
        }
        let Some(Frame::Credit(received)) = raw.next_frame() else {
            panic!("no credit");
        };
        assert_eq!((received.stream, received.bytes), (1, credit));
    }
}

#[test]
fn control_messages_overtake_queued_bulk() {
    let node = Node::with_long_silence("ent-a");
    let mut raw = RawPeer::connect_authenticated(node.mesh.address());
    node.wait_up(RAW_PEER_NAME);
    thread::scope(|scope| {
        let uploads: Vec<_> = (0..4)
            .map(|_| {
                scope.spawn(|| {
                    let mut stream = node
                        .mesh
                        .open(RAW_PEER_NAME, &upload(), TEST_TIMEOUT)
                        .unwrap();
                    stream.write_body(&vec![0; 16 << 20])
                })
            })
            .collect();
        // The peer reads nothing, so the connection fills up and the link blocks on a bulk frame.
        wait_until_blocked(&node);
        let text = "x".repeat(1 << 20);
        let files = [("sum".to_owned(), text)].into_iter().collect();
        let files = Message::Files(Files { files });
        node.mesh.send(RAW_PEER_NAME, &files).unwrap();
        for sequence in 0..10 {
            node.mesh.send(RAW_PEER_NAME, &heartbeat(sequence)).unwrap();
        }
        let before = node.counter("bytes_out");
        let (mut bulk, mut beats) = (0, 0);
        while beats < 10 {
            match raw.next_frame().unwrap() {
                Frame::Message(_) => beats += 1,
                Frame::Data(_) => bulk += 16 << 10,
                Frame::Part(_) => panic!("files before heartbeats"),
                _ => {}
            }
        }
        // Only bytes that the connection already held, and at most one more batch, come first.
        assert!(bulk <= before + (64 << 10), "{bulk} bytes after {before}");
        drop(raw);
        for upload in uploads {
            assert_eq!(upload.join().unwrap(), Err(StreamError::Uncertain));
        }
    });
}

/// Waits until the link to the raw peer is blocked: a new stream is still unsent after 300 ms.
fn wait_until_blocked(node: &Node) -> Stream {
    loop {
        let mut stream = node
            .mesh
            .open(RAW_PEER_NAME, &request(), TEST_TIMEOUT)
            .unwrap();
        let tried = stream.read_head(Duration::from_millis(300));
        assert_eq!(tried, Err(StreamError::Timeout));
        if stream.dispatch() == Dispatch::NotSent {
            return stream;
        }
    }
}

#[test]
fn a_request_reported_as_not_sent_is_not_on_the_wire() {
    let node = Node::with_long_silence("ent-a");
    let mut raw = RawPeer::connect_authenticated(node.mesh.address());
    node.wait_up(RAW_PEER_NAME);
    thread::scope(|scope| {
        let upload = scope.spawn(|| {
            let mut stream = node
                .mesh
                .open(RAW_PEER_NAME, &upload(), TEST_TIMEOUT)
                .unwrap();
            stream.write_body(&vec![0; 64 << 20])
        });
        let mut streams = vec![wait_until_blocked(&node)];
        let request_named = |i: usize| Open {
            request: format!("late-{i}").into(),
            ..request()
        };
        streams.extend((0..20).map(|i| {
            node.mesh
                .open(RAW_PEER_NAME, &request_named(i), TEST_TIMEOUT)
                .unwrap()
        }));
        let cancelled_dispatch = streams[1].cancel();
        raw.socket
            .get_ref()
            .shutdown(std::net::Shutdown::Write)
            .unwrap();
        let ends: Vec<_> = streams
            .iter_mut()
            .map(|stream| stream.read_head(TEST_TIMEOUT).unwrap_err())
            .collect();
        let mut sent = Vec::new();
        while let Some(bytes) = raw.next_bytes() {
            if let Ok(frame::Decoded::Known(Frame::Open(open), _)) = frame::decode(&bytes) {
                sent.push(open.request);
            }
        }
        assert_eq!(cancelled_dispatch, Dispatch::NotSent);
        assert!(!sent.contains(&"late-0".to_owned()));
        assert!(ends.contains(&StreamError::NotSent));
        for (i, end) in ends.iter().enumerate().skip(2) {
            let is_sent = sent.contains(&format!("late-{}", i - 1));
            assert!(!(is_sent && *end == StreamError::NotSent), "{i}: {end:?}");
        }
        assert_eq!(upload.join().unwrap(), Err(StreamError::Uncertain));
    });
}

/// Defines one test per case: the expected results of reading the head and the body, and what the
/// replying peer does after the open frame.
macro_rules! reply_end {
    ($($name:ident: $head:pat, $body:pat => $peer:expr;)+) => {
        $(#[test]
        fn $name() {
            let node = Node::with_long_silence("ent-a");
            let mut raw = RawPeer::connect_authenticated(node.mesh.address());
            node.wait_up(RAW_PEER_NAME);
            let mut stream = node.mesh.open(RAW_PEER_NAME, &upload(), TEST_TIMEOUT).unwrap();
            stream.write_body(b"a part").unwrap();
            raw.next_open();
            let peer: fn(RawPeer) -> Option<RawPeer> = $peer;
            let kept = peer(raw);
            let head = stream.read_head(TEST_TIMEOUT);
            assert!(matches!(head, $head), "{head:?}");
            if let Ok(Reply::Refused { .. } | Reply::Unknown { .. }) = head {
                assert_eq!(stream.read_body(&mut [0; 1]), Err(StreamError::InvalidState));
            }
            if let Ok(Reply::Head { .. }) = head {
                let (body, end) = read_all(|buffer| stream.read_body(buffer));
                let body = String::from_utf8(body).unwrap();
                assert!(matches!((body.as_str(), &end), $body), "{body:?} {end:?}");
            }
            drop(kept);
        })+
    };
}

reply_end! {
    cut_before_the_reply: Err(StreamError::Uncertain), _ => |_| None;
    reset_before_the_reply: Err(StreamError::Uncertain), _ => |mut raw| {
        raw.send(&Frame::Reset(Reset { stream: 2 }));
        Some(raw)
    };
    malformed_bytes_before_the_reply: Err(StreamError::Uncertain), _ => |mut raw| {
        raw.send_bytes(vec![0xff]);
        Some(raw)
    };
    a_refusal: Ok(Reply::Refused { .. }), _ => |mut raw| {
        let reason = "full".to_owned();
        raw.send(&Frame::Refused(Refused { stream: 2, reason, retry_after_ms: 250 }));
        None
    };
    an_unknown_outcome: Ok(Reply::Unknown { .. }), _ => |mut raw| {
        raw.send(&Frame::Unknown(Unknown { stream: 2, reason: "target".to_owned() }));
        None
    };
    cut_after_the_head: Ok(_), ("", Err(StreamError::Truncated)) => |mut raw| {
        raw.send_head(2, Some(5));
        None
    };
    cut_within_the_body: Ok(_), ("abc", Err(StreamError::Truncated)) => |mut raw| {
        raw.send_head(2, Some(5));
        raw.send_data(2, b"abc", false);
        None
    };
    cut_before_an_unknown_length_ends: Ok(_), ("abc", Err(StreamError::Truncated)) => |mut raw| {
        raw.send_head(2, None);
        raw.send_data(2, b"abc", false);
        None
    };
    reset_within_the_body: Ok(_), ("abc", Err(StreamError::Truncated)) => |mut raw| {
        raw.send_head(2, Some(5));
        raw.send_data(2, b"abc", false);
        raw.send(&Frame::Reset(Reset { stream: 2 }));
        Some(raw)
    };
    cut_after_the_whole_reply: Ok(_), ("abcde", Ok(())) => |mut raw| {
        raw.send_head(2, Some(5));
        raw.send_data(2, b"abcde", true);
        None
    };
    a_body_too_short: Ok(_), ("abc", Err(StreamError::WrongLength { declared: 5, actual: 3 })) => |mut raw| {
        raw.send_head(2, Some(5));
        raw.send_data(2, b"abc", true);
        Some(raw)
    };
    a_body_too_long: Ok(_), (_, Err(StreamError::WrongLength { declared: 5, actual: 6 })) => |mut raw| {
        raw.send_head(2, Some(5));
        raw.send_data(2, b"abc", false);
        raw.send_data(2, b"def", false);
        Some(raw)
    };
    frames_after_the_reply: Ok(_), ("abc", Ok(())) => |mut raw| {
        raw.send_head(2, None);
        raw.send_data(2, b"abc", true);
        raw.send_data(2, b"def", true);
        raw.send_head(2, None);
        Some(raw)
    };
}

/// Guards against lost errors when the connection breaks after any number of bytes in either direction:
/// the caller receives the whole reply or an error, and a request reported as not sent did not arrive.
#[test]
fn a_connection_cut_at_any_byte_yields_the_right_error() {
    let b = Node::new("ent-b");
    let any = "127.0.0.1:0".parse().unwrap();
    let link = Link::new(any, b.mesh.address()).unwrap();
    let a = Node::with("ent-a", |config| {
        config.backoff = (Duration::from_millis(2), Duration::from_millis(5));
    });
    let (report, arrived) = channel();
    let server = thread::spawn(move || loop {
        match b.next_event() {
            Event::Open(incoming) if &*incoming.open.request == "stop" => return,
            Event::Open(incoming) => {
                report.send(incoming.open.request.to_string()).unwrap();
                let _ = echo(incoming);
            }
            _ => {}
        }
    });
    a.link_to("ent-b", link.address());
    a.wait_up("ent-b");
    let (mut whole, mut cut) = (Vec::new(), Vec::new());
    for bytes in (0..320).step_by(5) {
        for is_forth in [true, false] {
            let flow = Flow {
                cut_after: Some(bytes),
                ..Flow::default()
            };
            let intact = Flow::default();
            let (forth, back) = if is_forth {
                (flow, intact)
            } else {
                (intact, flow)
            };
            link.set_fault(Fault {
                forth,
                back,
                ..Fault::default()
            });
            let name: Arc<str> = format!("{bytes}-{is_forth}").into();
            let end = exchange(&a, name.clone());
            link.set_fault(Fault::default());
            match end {
                None => whole.push(name.to_string()),
                Some(end) => cut.push((name.to_string(), end)),
            }
            wait_until("a new link", || {
                let open = Open {
                    request: "probe".into(),
                    ..request()
                };
                exchange_open(&a, &open).is_none()
            });
        }
    }
    let stop = Open {
        request: "stop".into(),
        ..request()
    };
    wait_until("the server to stop", || {
        let _ = exchange_open(&a, &stop);
        server.is_finished()
    });
    server.join().unwrap();
    let arrived: Vec<String> = arrived.iter().collect();
    assert!(whole.iter().all(|name| arrived.contains(name)));
    assert!(
        whole.len() > 10 && cut.len() > 10,
        "{} {}",
        whole.len(),
        cut.len()
    );
    for (name, end) in cut {
        assert!(
            end != StreamError::NotSent || !arrived.contains(&name),
            "{name} arrived"
        );
    }
}

/// Sends a small request. None if the reply is complete and correct.
fn exchange(a: &Node, request: Arc<str>) -> Option<StreamError> {
    exchange_open(
        a,
        &Open {
            request,
            ..upload()
        },
    )
}

fn exchange_open(a: &Node, open: &Open) -> Option<StreamError> {
    let Ok(mut stream) = a.mesh.open("ent-b", open, TEST_TIMEOUT) else {
        return Some(StreamError::NotSent);
    };
    let body = pattern(if open.length.is_none() { 40 } else { 0 });
    let replied = stream
        .write_body(&body)
        .and_then(|()| stream.finish_body())
        .and_then(|()| stream.read_head(TEST_TIMEOUT));
    if let Err(error) = replied {
        return Some(error);
    }
    let (received, end) = read_all(|buffer| stream.read_body(buffer));
    if end.is_ok() {
        assert!(received == body);
    }
    end.err()
}

#[test]
fn cancelling_reaches_the_other_side() {
    let (a, b) = pair();
    let cancels: [fn(Stream); 3] = [
        |mut stream| assert_eq!(stream.cancel(), Dispatch::Sent),
        drop,
        |mut stream| {
            // This write exceeds the declared length.
            stream.write_body(b"x").unwrap_err();
        },
    ];
    for cancel in cancels {
        let stream = a.mesh.open("ent-b", &request(), TEST_TIMEOUT).unwrap();
        let mut incoming = b.wait_incoming();
        let (report, cancelled) = channel();
        assert!(!incoming.is_cancelled());
        incoming.on_cancel(move || report.send(()).unwrap());
        cancel(stream);
        cancelled.recv_timeout(TEST_TIMEOUT).unwrap();
        assert!(incoming.is_cancelled());
        assert_eq!(incoming.read_body(&mut [0; 1]), Err(StreamError::Cancelled));
        assert_eq!(
            incoming.reply_head(200, &[], None),
            Err(StreamError::Cancelled)
        );
    }
}

#[test]
fn an_expired_deadline_cancels_the_request() {
    let (a, b) = pair();
    let open = Open {
        deadline: Duration::from_millis(50),
        ..request()
    };
    let mut stream = a.mesh.open("ent-b", &open, TEST_TIMEOUT).unwrap();
    let incoming = b.wait_incoming();
    assert_eq!(stream.read_head(TEST_TIMEOUT), Err(StreamError::Deadline));
    assert_eq!(stream.dispatch(), Dispatch::Sent);
    wait_until("the cancellation", || incoming.is_cancelled());
}

/// Defines one test per case: the expected results of reading the head and the body, and how the
/// replying end finishes or drops the stream.
macro_rules! incoming_end {
    ($($name:ident: $head:pat, $end:pat => $leave:expr;)+) => {
        $(#[test]
        fn $name() {
            let (a, b) = pair();
            let mut stream = a.mesh.open("ent-b", &upload(), TEST_TIMEOUT).unwrap();
            let leave: fn(Incoming) = $leave;
            leave(b.wait_incoming());
            let head = stream.read_head(TEST_TIMEOUT);
            assert!(matches!(head, $head), "{head:?}");
            if let Ok(Reply::Head { .. }) = head {
                let (_, end) = read_all(|buffer| stream.read_body(buffer));
                assert!(matches!(end, $end), "{end:?}");
            }
        })+
    };
}

incoming_end! {
    dropped_before_a_reply: Ok(Reply::Unknown { .. }), _ => drop;
    refused_by_the_host: Ok(Reply::Refused { .. }), _ => |incoming| {
        incoming.refuse("quota", Duration::from_secs(2)).unwrap();
    };
    unknown_to_the_host: Ok(Reply::Unknown { .. }), _ => |incoming| {
        incoming.unknown("target").unwrap();
    };
    finished_before_the_declared_length: Ok(Reply::Head { .. }) | Err(StreamError::Uncertain), Err(StreamError::Truncated)
    => |mut incoming| {
        incoming.reply_head(200, &[], Some(5)).unwrap();
        incoming.write_body(b"abc").unwrap();
        let end = incoming.finish();
        assert_eq!(end, Err(StreamError::WrongLength { declared: 5, actual: 3 }));
    };
    finished_before_the_request_was_read: Ok(Reply::Head { status: 413, .. }), Ok(()) => |mut incoming| {
        incoming.reply_head(413, &[], Some(0)).unwrap();
        incoming.finish().unwrap();
    };
}

#[test]
fn a_complete_reply_stops_the_upload() {
    let (a, b) = pair();
    let mut stream = a.mesh.open("ent-b", &upload(), TEST_TIMEOUT).unwrap();
    b.wait_incoming().refuse("full", Duration::ZERO).unwrap();
    let mut sent = 0;
    let stopped = loop {
        match stream.write_body(&[0; 1000]) {
            Ok(()) => sent += 1000,
            Err(error) => break error,
        }
        assert!(sent < 1 << 20, "the upload did not stop");
    };
    assert_eq!(stopped, StreamError::ReplyComplete);
    assert!(matches!(
        stream.read_head(TEST_TIMEOUT),
        Ok(Reply::Refused { .. })
    ));
}

#[test]
fn streams_beyond_the_limit_are_refused() {
    let a = Node::with("ent-a", |config| config.max_streams = 3);
    let b = Node::with("ent-b", |config| config.max_streams = 2);
    let (a, b) = pair_of(a, b);
    let open = || a.mesh.open("ent-b", &request(), TEST_TIMEOUT);
    let mut streams: Vec<_> = (0..3).map(|_| open().unwrap()).collect();
    let kept = [b.wait_incoming(), b.wait_incoming()];
    assert!(matches!(
        streams[2].read_head(TEST_TIMEOUT),
        Ok(Reply::Refused { .. })
    ));
    assert_eq!(open().err(), Some(OpenError::StreamLimit));
    drop(kept);
    drop(streams);
    let arrived = || b.counter("streams_in") + b.counter("streams_refused");
    let taken = b.counter("streams_in");
    wait_until("a free stream", || {
        let before = arrived();
        let Ok(_stream) = open() else { return false };
        wait_until("the arrival of a stream", || arrived() > before);
        b.counter("streams_in") > taken
    });
}

/// An open frame that its sender queued at this age of the link, with this time left.
fn open_frame_queued_at(queued_ms: u64, deadline_ms: u64) -> Frame {
    let Frame::Open(open) = open_frame() else {
        unreachable!("an open frame")
    };
    Frame::Open(frame::Open {
        deadline_ms,
        queued_ms: Some(queued_ms),
        ..open
    })
}

#[test]
fn a_request_whose_time_was_over_before_the_link_delivered_it_is_refused() {
    let node = Node::new("ent-a");
    let mut raw = RawPeer::connect_authenticated(node.mesh.address());
    // The clocks of the two sides have nothing in common but their speed.
    raw.send(&open_frame_queued_at(60_000, 1000));
    let first = node.wait_incoming();
    raw.send(&open_frame_queued_at(58_500, 1000));
    raw.send(&open_frame_queued_at(58_500, 30_000));
    let third = node.wait_incoming();
    let left = third.open.deadline.as_millis();
    assert!((27_000..=28_500).contains(&left), "{left}");
    let refused = loop {
        if let Some(Frame::Refused(refused)) = raw.next_frame() {
            break refused;
        }
    };
    assert_eq!((refused.stream, &*refused.reason), (3, "time"));
    assert_eq!(node.counter("expired"), 1);
    drop(first);
}

#[test]
fn a_head_too_large_for_a_frame_is_not_sent() {
    let (a, b) = pair();
    let big: Arc<str> = "x".repeat(100 << 10).into();
    let open = Open {
        headers: vec![("X".into(), big.clone())],
        ..request()
    };
    assert!(matches!(
        a.mesh.open("ent-b", &open, TEST_TIMEOUT).err(),
        Some(OpenError::Oversize(_))
    ));
    let mut stream = a.mesh.open("ent-b", &request(), TEST_TIMEOUT).unwrap();
    let mut incoming = b.wait_incoming();
    let replied = incoming.reply_head(200, &[("X".into(), big)], None);
    assert!(matches!(replied, Err(StreamError::Oversize(_))));
    drop(incoming);
    assert!(matches!(
        stream.read_head(TEST_TIMEOUT),
        Ok(Reply::Unknown { .. })
    ));
}

#[test]
fn a_lost_link_cancels_its_incoming_streams() {
    let (a, b) = pair();
    let mut stream = a.mesh.open("ent-b", &request(), TEST_TIMEOUT).unwrap();
    let incoming = b.wait_incoming();
    drop(a.mesh);
    assert_eq!(stream.read_head(TEST_TIMEOUT), Err(StreamError::Uncertain));
    wait_until("the cancellation", || incoming.is_cancelled());
    assert_eq!(b.wait_down("ent-a"), LinkEndReason::Lost);
}
