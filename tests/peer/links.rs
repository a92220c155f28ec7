//! Tests of links: control messages, duplicate links, silence, links on demand and closing.

use std::net::SocketAddr;
use std::thread;
use std::time::Duration;

use ragwortfold::peer::error::{LinkEndReason, OpenError, SendError};
use ragwortfold::peer::frame::{Files, Message};
use ragwortfold::peer::mesh::Event;
use standin::link::{Fault, Link};

use super::node::*;

#[test]
fn control_messages_arrive_in_order() {
    let (a, b) = pair();
    for sequence in 0..100 {
        a.mesh.send("ent-b", &heartbeat(sequence)).unwrap();
    }
    for sequence in 0..100 {
        let expected = format!("{:?}", heartbeat(sequence));
        assert_eq!(format!("{:?}", b.wait_message()), expected);
    }
}

#[test]
fn large_messages_arrive_whole() {
    let (a, b) = pair();
    let files = (0..3)
        .map(|i| (format!("sum-{i}"), "x\u{e9}".repeat(300_000 + i)))
        .collect();
    let message = Message::Files(Files { files });
    a.mesh.send("ent-b", &message).unwrap();
    a.mesh.send("ent-b", &message).unwrap();
    for _ in 0..2 {
        let Message::Files(received) = b.wait(|event| match event {
            Event::Control { message, .. } => Some(message),
            _ => None,
        }) else {
            panic!("no files");
        };
        let Message::Files(sent) = &message else {
            unreachable!()
        };
        assert!(received.files == sent.files);
    }
}

#[test]
fn unsendable_messages_return_errors() {
    let (a, b) = pair_of(
        Node::with("ent-a", |config| config.max_message_bytes = 1 << 20),
        Node::new("ent-b"),
    );
    let files = [("sum".to_owned(), "x".repeat(2 << 20))];
    let large = Message::Files(Files {
        files: files.into_iter().collect(),
    });
    assert!(matches!(
        a.mesh.send("ent-b", &large),
        Err(SendError::Oversize(_))
    ));
    let unlinked = a.mesh.send("ent-c", &heartbeat(1));
    assert_eq!(unlinked, Err(SendError::NotLinked("ent-c".into())));
    let sent = a.mesh.broadcast(["ent-b", "ent-c"], &heartbeat(1));
    assert_eq!(sent, Ok(1));
    b.wait_message();
}

#[test]
fn both_sides_dialling_leaves_one_link() {
    for _ in 0..20 {
        let (a, b) = (Node::new("ent-a"), Node::new("ent-b"));
        a.link_to("ent-b", b.mesh.address());
        b.link_to("ent-a", a.mesh.address());
        a.wait_up("ent-b");
        b.wait_up("ent-a");
        // The surplus link is closed without a `Down` event on either side.
        for _ in 0..20 {
            exchange(&a, &b, "ent-b");
            exchange(&b, &a, "ent-a");
        }
        assert!(!a.has_down());
        assert!(!b.has_down());
        assert_eq!(a.counter("lost") + b.counter("lost"), 0);
    }
}

/// Relays an empty request from one node to another and reads the reply.
fn exchange(from: &Node, to: &Node, name: &str) {
    let mut stream = from.mesh.open(name, &request(), TEST_TIMEOUT).unwrap();
    stream.finish_body().unwrap();
    let incoming = loop {
        match to.next_event() {
            Event::Open(incoming) => break incoming,
            Event::Down { .. } => panic!("a link was reported down"),
            _ => {}
        }
    };
    echo(incoming).unwrap();
    stream.read_head(TEST_TIMEOUT).unwrap();
    assert_eq!(read_all(|buffer| stream.read_body(buffer)).1, Ok(()));
}

#[test]
fn a_silent_link_ends_on_both_sides_and_comes_back() {
    let short_silence = Duration::from_millis(300);
    let b = Node::with("ent-b", |config| config.silence_timeout = short_silence);
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let link = Link::new(any, b.mesh.address()).unwrap();
    let a = Node::with("ent-a", |config| {
        config.silence_timeout = short_silence;
        config.handshake_timeout = short_silence;
    });
    a.link_to("ent-b", link.address());
    a.wait_up("ent-b");
    b.wait_up("ent-a");
    link.set_fault(Fault::default().with_black_hole());
    assert_eq!(a.wait_down("ent-b"), LinkEndReason::Silent);
    assert_eq!(b.wait_down("ent-a"), LinkEndReason::Silent);
    link.set_fault(Fault::default());
    a.wait_up("ent-b");
    b.wait_up("ent-a");
    exchange(&a, &b, "ent-b");
}

#[test]
fn one_direction_lost_ends_the_link_on_both_sides() {
    let short_silence = Duration::from_millis(300);
    for is_forth in [true, false] {
        let b = Node::with("ent-b", |config| config.silence_timeout = short_silence);
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let link = Link::new(any, b.mesh.address()).unwrap();
        let a = Node::with("ent-a", |config| config.silence_timeout = short_silence);
        a.link_to("ent-b", link.address());
        a.wait_up("ent-b");
        b.wait_up("ent-a");
        let mut fault = Fault::default();
        fault.forth.black_hole = is_forth;
        fault.back.black_hole = !is_forth;
        link.set_fault(fault);
        a.wait_down("ent-b");
        b.wait_down("ent-a");
    }
}

#[test]
fn a_link_on_demand_closes_when_idle() {
    let b = Node::new("ent-b");
    let a = Node::with("ent-a", |config| {
        config.idle_timeout = Duration::from_millis(100);
        config.silence_timeout = Duration::from_millis(300);
    });
    a.mesh.set_directory(peers([("ent-b", b.mesh.address())]));
    for _ in 0..2 {
        exchange(&a, &b, "ent-b");
        assert_eq!(a.wait_down("ent-b"), LinkEndReason::Goodbye);
        assert_eq!(b.wait_down("ent-a"), LinkEndReason::Goodbye);
    }
}

#[test]
fn a_link_no_longer_kept_closes_when_idle() {
    let a = Node::with("ent-a", |config| {
        config.idle_timeout = Duration::from_millis(100);
        config.silence_timeout = Duration::from_millis(300);
    });
    let (a, b) = pair_of(a, Node::new("ent-b"));
    exchange(&a, &b, "ent-b");
    a.mesh.set_peers(peers([]));
    assert_eq!(a.wait_down("ent-b"), LinkEndReason::Goodbye);
    assert_eq!(b.wait_down("ent-a"), LinkEndReason::Goodbye);
}

#[test]
fn unreachable_hosts_return_errors_at_once() {
    let a = Node::with("ent-a", |config| {
        config.backoff = (TEST_TIMEOUT, TEST_TIMEOUT)
    });
    let open = |host: &str| a.mesh.open(host, &request(), TEST_TIMEOUT).err();
    assert_eq!(open("ent-b"), Some(OpenError::UnknownHost("ent-b".into())));
    let unused_listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let closed_port = unused_listener.local_addr().unwrap();
    drop(unused_listener);
    a.mesh.set_directory(peers([("ent-b", closed_port)]));
    let unreachable = Some(OpenError::Unreachable("ent-b".into()));
    assert_eq!(open("ent-b"), unreachable);
    // The second request fails within the backoff, without another connection attempt.
    assert_eq!(open("ent-b"), unreachable);
    assert_eq!(a.counter("connect_failed"), 1);
}

#[test]
fn closing_lets_streams_finish() {
    let (a, b) = pair();
    let mut stream = a.mesh.open("ent-b", &upload(), TEST_TIMEOUT).unwrap();
    let incoming = b.wait_incoming();
    let mesh = b.mesh;
    thread::scope(|scope| {
        let closing = scope.spawn(move || mesh.close(TEST_TIMEOUT));
        wait_until("the goodbye", || {
            a.mesh
                .open("ent-b", &request(), Duration::from_millis(1))
                .is_err()
        });
        assert!(!closing.is_finished());
        let server = scope.spawn(|| echo(incoming));
        let body = pattern(1 << 20);
        stream.write_body(&body).unwrap();
        stream.finish_body().unwrap();
        stream.read_head(TEST_TIMEOUT).unwrap();
        let (received, end) = read_all(|buffer| stream.read_body(buffer));
        assert!(end == Ok(()) && received == body);
        server.join().unwrap().unwrap();
        assert_eq!(a.wait_down("ent-b"), LinkEndReason::Goodbye);
        closing.join().unwrap();
    });
}

#[test]
fn a_full_mesh_forms_when_all_hosts_dial_each_other() {
    let nodes: Vec<Node> = (0..6).map(|i| Node::new(&format!("ent-{i}"))).collect();
    let names: Vec<String> = (0..6).map(|i| format!("ent-{i}")).collect();
    for node in &nodes {
        let all = names
            .iter()
            .zip(&nodes)
            .map(|(name, node)| (name.as_str().into(), node.mesh.address()))
            .collect();
        node.mesh.set_peers(all);
    }
    for node in &nodes {
        wait_until("a full mesh", || node.mesh.linked_hosts().len() == 5);
    }
}
