//! Relayed requests: to the byte, with the right end at every point where they can break.

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
use super::raw::{open_frame, Raw, NAME};

#[test]
fn bodies_are_right_to_the_byte() {
    for length in [0, 1, 8 << 20] {
        for declared in [Some(length as u64), None] {
            let (a, b) = pair();
            let server = thread::spawn(move || echo(b.incoming()).map(|()| b));
            let body = pattern(length);
            let open = upload().with_length(declared);
            let mut stream = a.mesh.open("ent-b", &open, PATIENCE).unwrap();
            stream.write_body(&body).unwrap();
            stream.finish_body().unwrap();
            let head = stream.read_head(PATIENCE).unwrap();
            assert!(
                matches!(head, Reply::Head { status: 200, length, .. } if length == declared),
                "{head:?}"
            );
            let (got, end) = read_all(|buffer| stream.read_body(buffer));
            assert_eq!(end, Ok(()));
            assert!(got == body, "{length} bytes");
            server.join().unwrap().unwrap();
        }
    }
}

#[test]
fn the_head_passes_as_it_is() {
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
    let _stream = a.mesh.open("ent-b", &open, PATIENCE).unwrap();
    let mut got = b.incoming().open.clone();
    assert!(got.deadline <= open.deadline);
    got.deadline = open.deadline;
    assert_eq!(got, open);
}

#[test]
fn fifty_streams_at_once_keep_apart() {
    let (a, b) = pair();
    let mesh = &a.mesh;
    thread::scope(|scope| {
        scope.spawn(|| {
            for _ in 0..50 {
                let incoming = b.incoming();
                scope.spawn(move || echo(incoming));
            }
        });
        let callers: Vec<_> = (0..50usize)
            .map(|i| scope.spawn(move || round_trip(mesh, &pattern(i * 7001)[i..])))
            .collect();
        assert!(callers.into_iter().all(|caller| caller.join().unwrap()));
    });
    // A caller may grant credit to a stream that has just ended; nothing else comes late.
    assert_eq!((a.count("late"), a.count("violation")), (0, 0));
    assert_eq!(b.count("violation"), 0);
}

/// Whether a body comes back as it was.
fn round_trip(mesh: &ragwortfold::peer::mesh::Mesh, body: &[u8]) -> bool {
    let mut stream = mesh.open("ent-b", &upload(), PATIENCE).unwrap();
    stream.write_body(body).unwrap();
    stream.finish_body().unwrap();
    stream.read_head(PATIENCE).unwrap();
    let (got, end) = read_all(|buffer| stream.read_body(buffer));
    end == Ok(()) && got == body
}

#[test]
fn an_upload_that_nobody_reads_delays_nothing_else() {
    let (a, b) = pair();
    let body = pattern(4 << 20);
    thread::scope(|scope| {
        let writer = scope.spawn(|| {
            let mut stream = a.mesh.open("ent-b", &upload(), PATIENCE).unwrap();
            stream.write_body(&body).unwrap();
            stream.finish_body().unwrap();
            stream.read_head(PATIENCE).unwrap();
            read_all(|buffer| stream.read_body(buffer))
        });
        let stalled = b.incoming();
        // All of this happens while not a byte of the upload is read.
        for sequence in 0..20 {
            a.mesh.send("ent-b", &heartbeat(sequence)).unwrap();
            b.wait_message();
            let small = scope.spawn(|| round_trip(&a.mesh, b"small"));
            echo(b.incoming()).unwrap();
            assert!(small.join().unwrap());
        }
        assert!(!writer.is_finished());
        assert!(b.count("bytes_in") < 200 << 10);
        echo(stalled).unwrap();
        let (got, end) = writer.join().unwrap();
        assert!(end == Ok(()) && got == body);
    });
}

#[test]
fn a_reader_widens_the_window_while_there_is_room() {
    for (buffer, credit) in [(1 << 20, (256 - 64 + 16) << 10), (0, 16 << 10)] {
        let node = Node::with("ent-a", |config| {
            config.silence_timeout = PATIENCE;
            config.window_pool_bytes = buffer;
        });
        let mut raw = Raw::join(node.mesh.address());
        raw.send(&open_frame());
        for _ in 0..4 {
            raw.send_data(1, &[0; 16 << 10], false);
        }
        let mut incoming = node.incoming();
        let mut read = 0;
        while read < 16 << 10 {
            read += incoming.read_body(&mut vec![0; (16 << 10) - read]).unwrap();
        }
        let Some(Frame::Credit(got)) = raw.next() else {
            panic!("no credit");
        };
        assert_eq!((got.stream, got.bytes), (1, credit));
    }
}

#[test]
fn control_passes_bulk_that_waits() {
    let node = Node::patient("ent-a");
    let mut raw = Raw::join(node.mesh.address());
    node.wait_up(NAME);
    thread::scope(|scope| {
        let uploads: Vec<_> = (0..4)
            .map(|_| {
                scope.spawn(|| {
                    let mut stream = node.mesh.open(NAME, &upload(), PATIENCE).unwrap();
                    stream.write_body(&vec![0; 16 << 20])
                })
            })
            .collect();
        // The peer reads nothing, so the connection fills up and the link is stuck within bulk.
        stuck(&node);
        let text = "x".repeat(1 << 20);
        let files = [("sum".to_owned(), text)].into_iter().collect();
        let files = Message::Files(Files { files });
        node.mesh.send(NAME, &files).unwrap();
        for sequence in 0..10 {
            node.mesh.send(NAME, &heartbeat(sequence)).unwrap();
        }
        let before = node.count("bytes_out");
        let (mut bulk, mut beats) = (0, 0);
        while beats < 10 {
            match raw.next().unwrap() {
                Frame::Message(_) => beats += 1,
                Frame::Data(_) => bulk += 16 << 10,
                Frame::Part(_) => panic!("files before heartbeats"),
                _ => {}
            }
        }
        // What was in the connection came first, and at most one batch more.
        assert!(bulk <= before + (64 << 10), "{bulk} bytes after {before}");
        drop(raw);
        for upload in uploads {
            assert_eq!(upload.join().unwrap(), Err(StreamError::Uncertain));
        }
    });
}

/// Waits until the link to the raw peer takes nothing more: a new stream stays unsent for long.
fn stuck(node: &Node) -> Stream {
    loop {
        let mut stream = node.mesh.open(NAME, &request(), PATIENCE).unwrap();
        let tried = stream.read_head(Duration::from_millis(300));
        assert_eq!(tried, Err(StreamError::Timeout));
        if stream.dispatch() == Dispatch::NotSent {
            return stream;
        }
    }
}

#[test]
fn a_request_called_not_sent_is_not_on_the_wire() {
    let node = Node::patient("ent-a");
    let mut raw = Raw::join(node.mesh.address());
    node.wait_up(NAME);
    thread::scope(|scope| {
        let upload = scope.spawn(|| {
            let mut stream = node.mesh.open(NAME, &upload(), PATIENCE).unwrap();
            stream.write_body(&vec![0; 64 << 20])
        });
        let mut streams = vec![stuck(&node)];
        let named = |i: usize| Open {
            request: format!("late-{i}").into(),
            ..request()
        };
        streams.extend((0..20).map(|i| node.mesh.open(NAME, &named(i), PATIENCE).unwrap()));
        let withdrawn = streams[1].cancel();
        raw.socket
            .get_ref()
            .shutdown(std::net::Shutdown::Write)
            .unwrap();
        let ends: Vec<_> = streams
            .iter_mut()
            .map(|stream| stream.read_head(PATIENCE).unwrap_err())
            .collect();
        let mut sent = Vec::new();
        while let Some(bytes) = raw.next_bytes() {
            if let Ok(frame::Decoded::Known(Frame::Open(open), _)) = frame::decode(&bytes) {
                sent.push(open.request);
            }
        }
        assert_eq!(withdrawn, Dispatch::NotSent);
        assert!(!sent.contains(&"late-0".to_owned()));
        assert!(ends.contains(&StreamError::NotSent));
        for (i, end) in ends.iter().enumerate().skip(2) {
            let is_sent = sent.contains(&format!("late-{}", i - 1));
            assert!(!(is_sent && *end == StreamError::NotSent), "{i}: {end:?}");
        }
        assert_eq!(upload.join().unwrap(), Err(StreamError::Uncertain));
    });
}

/// Cases of a replying peer: what it does after the open frame, then what the caller sees of the
/// head and of the body.
macro_rules! end {
    ($($name:ident: $head:pat, $body:pat => $peer:expr;)+) => {
        $(#[test]
        fn $name() {
            let node = Node::patient("ent-a");
            let mut raw = Raw::join(node.mesh.address());
            node.wait_up(NAME);
            let mut stream = node.mesh.open(NAME, &upload(), PATIENCE).unwrap();
            stream.write_body(b"a part").unwrap();
            raw.next_open();
            let peer: fn(Raw) -> Option<Raw> = $peer;
            let kept = peer(raw);
            let head = stream.read_head(PATIENCE);
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

end! {
    cut_before_the_reply: Err(StreamError::Uncertain), _ => |_| None;
    reset_before_the_reply: Err(StreamError::Uncertain), _ => |mut raw| {
        raw.send(&Frame::Reset(Reset { stream: 2 }));
        Some(raw)
    };
    garbage_before_the_reply: Err(StreamError::Uncertain), _ => |mut raw| {
        raw.send_bytes(vec![0xff]);
        Some(raw)
    };
    refused: Ok(Reply::Refused { .. }), _ => |mut raw| {
        let reason = "full".to_owned();
        raw.send(&Frame::Refused(Refused { stream: 2, reason, retry_after_ms: 250 }));
        None
    };
    unknown: Ok(Reply::Unknown { .. }), _ => |mut raw| {
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
    too_short: Ok(_), ("abc", Err(StreamError::WrongLength { declared: 5, actual: 3 })) => |mut raw| {
        raw.send_head(2, Some(5));
        raw.send_data(2, b"abc", true);
        Some(raw)
    };
    too_long: Ok(_), (_, Err(StreamError::WrongLength { declared: 5, actual: 6 })) => |mut raw| {
        raw.send_head(2, Some(5));
        raw.send_data(2, b"abc", false);
        raw.send_data(2, b"def", false);
        Some(raw)
    };
    late_frames: Ok(_), ("abc", Ok(())) => |mut raw| {
        raw.send_head(2, None);
        raw.send_data(2, b"abc", true);
        raw.send_data(2, b"def", true);
        raw.send_head(2, None);
        Some(raw)
    };
}

/// A cut after any number of bytes, either way: the caller has the whole reply, or knows that it
/// has not; what it calls not sent did not arrive.
#[test]
fn a_cut_at_any_byte_has_the_right_end() {
    let b = Node::new("ent-b");
    let any = "127.0.0.1:0".parse().unwrap();
    let link = Link::new(any, b.mesh.address()).unwrap();
    let a = Node::with("ent-a", |config| {
        config.backoff = (Duration::from_millis(2), Duration::from_millis(5));
    });
    let (seen, arrived) = channel();
    let server = thread::spawn(move || loop {
        match b.next() {
            Event::Open(incoming) if &*incoming.open.request == "stop" => return,
            Event::Open(incoming) => {
                seen.send(incoming.open.request.to_string()).unwrap();
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
            let sound = Flow::default();
            let (forth, back) = if is_forth {
                (flow, sound)
            } else {
                (sound, flow)
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
            eventually("a new link", || {
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
    eventually("stop", || {
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

/// Sends a small request; none if the reply is whole and right.
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
    let Ok(mut stream) = a.mesh.open("ent-b", open, PATIENCE) else {
        return Some(StreamError::NotSent);
    };
    let body = pattern(if open.length.is_none() { 40 } else { 0 });
    let replied = stream
        .write_body(&body)
        .and_then(|()| stream.finish_body())
        .and_then(|()| stream.read_head(PATIENCE));
    if let Err(error) = replied {
        return Some(error);
    }
    let (got, end) = read_all(|buffer| stream.read_body(buffer));
    if end.is_ok() {
        assert!(got == body);
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
            // Written beyond the declared length.
            stream.write_body(b"x").unwrap_err();
        },
    ];
    for cancel in cancels {
        let stream = a.mesh.open("ent-b", &request(), PATIENCE).unwrap();
        let mut incoming = b.incoming();
        let (report, cancelled) = channel();
        assert!(!incoming.is_cancelled());
        incoming.on_cancel(move || report.send(()).unwrap());
        cancel(stream);
        cancelled.recv_timeout(PATIENCE).unwrap();
        assert!(incoming.is_cancelled());
        assert_eq!(incoming.read_body(&mut [0; 1]), Err(StreamError::Cancelled));
        assert_eq!(
            incoming.reply_head(200, &[], None),
            Err(StreamError::Cancelled)
        );
    }
}

#[test]
fn a_deadline_that_passes_cancels() {
    let (a, b) = pair();
    let open = Open {
        deadline: Duration::from_millis(50),
        ..request()
    };
    let mut stream = a.mesh.open("ent-b", &open, PATIENCE).unwrap();
    let incoming = b.incoming();
    assert_eq!(stream.read_head(PATIENCE), Err(StreamError::Deadline));
    assert_eq!(stream.dispatch(), Dispatch::Sent);
    eventually("cancel", || incoming.is_cancelled());
}

/// Cases of how the replying end may leave a stream, and what the caller sees.
macro_rules! leave {
    ($($name:ident: $head:pat, $end:pat => $leave:expr;)+) => {
        $(#[test]
        fn $name() {
            let (a, b) = pair();
            let mut stream = a.mesh.open("ent-b", &upload(), PATIENCE).unwrap();
            let leave: fn(Incoming) = $leave;
            leave(b.incoming());
            let head = stream.read_head(PATIENCE);
            assert!(matches!(head, $head), "{head:?}");
            if let Ok(Reply::Head { .. }) = head {
                let (_, end) = read_all(|buffer| stream.read_body(buffer));
                assert!(matches!(end, $end), "{end:?}");
            }
        })+
    };
}

leave! {
    dropped_before_a_reply: Ok(Reply::Unknown { .. }), _ => drop;
    refused_by_the_host: Ok(Reply::Refused { .. }), _ => |incoming| {
        incoming.refuse("quota", Duration::from_secs(2)).unwrap();
    };
    unknown_to_the_host: Ok(Reply::Unknown { .. }), _ => |incoming| {
        incoming.unknown("target").unwrap();
    };
    finished_short: Ok(Reply::Head { .. }) | Err(StreamError::Uncertain), Err(StreamError::Truncated)
    => |mut incoming| {
        incoming.reply_head(200, &[], Some(5)).unwrap();
        incoming.write_body(b"abc").unwrap();
        let end = incoming.finish();
        assert_eq!(end, Err(StreamError::WrongLength { declared: 5, actual: 3 }));
    };
    finished_unread: Ok(Reply::Head { status: 413, .. }), Ok(()) => |mut incoming| {
        incoming.reply_head(413, &[], Some(0)).unwrap();
        incoming.finish().unwrap();
    };
}

#[test]
fn a_whole_reply_stops_the_upload() {
    let (a, b) = pair();
    let mut stream = a.mesh.open("ent-b", &upload(), PATIENCE).unwrap();
    b.incoming().refuse("full", Duration::ZERO).unwrap();
    let mut sent = 0;
    let stopped = loop {
        match stream.write_body(&[0; 1000]) {
            Ok(()) => sent += 1000,
            Err(error) => break error,
        }
        assert!(sent < 1 << 20, "the upload goes on");
    };
    assert_eq!(stopped, StreamError::Stopped);
    assert!(matches!(
        stream.read_head(PATIENCE),
        Ok(Reply::Refused { .. })
    ));
}

#[test]
fn streams_beyond_the_limit_are_refused() {
    let a = Node::with("ent-a", |config| config.max_streams = 3);
    let b = Node::with("ent-b", |config| config.max_streams = 2);
    let (a, b) = pair_of(a, b);
    let open = || a.mesh.open("ent-b", &request(), PATIENCE);
    let mut streams: Vec<_> = (0..3).map(|_| open().unwrap()).collect();
    let kept = [b.incoming(), b.incoming()];
    assert!(matches!(
        streams[2].read_head(PATIENCE),
        Ok(Reply::Refused { .. })
    ));
    assert_eq!(open().err(), Some(OpenError::StreamLimit));
    drop(kept);
    drop(streams);
    let arrived = || b.count("streams_in") + b.count("streams_refused");
    let taken = b.count("streams_in");
    eventually("room", || {
        let before = arrived();
        let Ok(_stream) = open() else { return false };
        eventually("arrival", || arrived() > before);
        b.count("streams_in") > taken
    });
}

#[test]
fn a_head_that_fits_no_frame_is_certain_not_to_be_sent() {
    let (a, b) = pair();
    let big: Arc<str> = "x".repeat(100 << 10).into();
    let open = Open {
        headers: vec![("X".into(), big.clone())],
        ..request()
    };
    assert!(matches!(
        a.mesh.open("ent-b", &open, PATIENCE).err(),
        Some(OpenError::Oversize(_))
    ));
    let mut stream = a.mesh.open("ent-b", &request(), PATIENCE).unwrap();
    let mut incoming = b.incoming();
    let replied = incoming.reply_head(200, &[("X".into(), big)], None);
    assert!(matches!(replied, Err(StreamError::Oversize(_))));
    drop(incoming);
    assert!(matches!(
        stream.read_head(PATIENCE),
        Ok(Reply::Unknown { .. })
    ));
}

#[test]
fn a_link_lost_cancels_what_came_over_it() {
    let (a, b) = pair();
    let mut stream = a.mesh.open("ent-b", &request(), PATIENCE).unwrap();
    let incoming = b.incoming();
    drop(a.mesh);
    assert_eq!(stream.read_head(PATIENCE), Err(StreamError::Uncertain));
    eventually("cancel", || incoming.is_cancelled());
    assert_eq!(b.wait_down("ent-a"), LinkEndReason::Lost);
}
