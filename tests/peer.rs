//! Links between hosts over real sockets on loopback.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::mpsc::{channel, Receiver};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use ragwortfold::peer::config::{Config, Listen};
use ragwortfold::peer::error::StreamError;
use ragwortfold::peer::frame::{Heartbeat, Message, State};
use ragwortfold::peer::mesh::{Event, Mesh};
use ragwortfold::peer::stream::{Incoming, Open, Reply};

/// Longer than anything here takes on a crowded machine.
const PATIENCE: Duration = Duration::from_secs(30);

const SECRET: &str = "a secret of all entry hosts";

/// A mesh and what it reported.
struct Node {
    mesh: Mesh,
    events: Receiver<Event>,
}

impl Node {
    fn new(host: &str) -> Node {
        Node::with(host, |_| {})
    }

    fn with(host: &str, change: impl FnOnce(&mut Config)) -> Node {
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let mut config = Config::new(host, 1, "zone-a", SECRET, Listen::Address(any));
        change(&mut config);
        let (report, events) = channel();
        let mesh = Mesh::new(config, move |event| {
            let _ = report.send(event);
        });
        Node {
            mesh: mesh.expect("a mesh"),
            events,
        }
    }

    /// The first event that `pick` takes; others are dropped.
    fn wait<T>(&self, mut pick: impl FnMut(Event) -> Option<T>) -> T {
        loop {
            if let Some(found) = pick(self.events.recv_timeout(PATIENCE).expect("an event")) {
                return found;
            }
        }
    }

    fn wait_up(&self, name: &str) {
        self.wait(|event| match event {
            Event::Up { host, .. } => (*host == *name).then_some(()),
            _ => None,
        });
    }

    fn incoming(&self) -> Incoming {
        self.wait(|event| match event {
            Event::Open(incoming) => Some(incoming),
            _ => None,
        })
    }
}

fn peers<const N: usize>(hosts: [(&str, SocketAddr); N]) -> BTreeMap<Arc<str>, SocketAddr> {
    hosts
        .into_iter()
        .map(|(host, address)| (host.into(), address))
        .collect()
}

/// Two hosts that are linked.
fn pair() -> (Node, Node) {
    let (a, b) = (Node::new("ent-a"), Node::new("ent-b"));
    a.mesh.set_peers(peers([("ent-b", b.mesh.address())]));
    a.wait_up("ent-b");
    b.wait_up("ent-a");
    (a, b)
}

fn heartbeat(sequence: u64) -> Message {
    Message::Heartbeat(Heartbeat {
        sequence,
        revision: 7,
        epoch: 3,
        state: State::Serving,
        load: 2,
    })
}

fn request() -> Open {
    Open::new("r-1", "lookups", "GET", "/passes?x=1", PATIENCE)
}

fn read_all(
    mut read: impl FnMut(&mut [u8]) -> Result<usize, StreamError>,
) -> Result<Vec<u8>, StreamError> {
    let mut all = Vec::new();
    let mut buffer = [0; 10_000];
    loop {
        match read(&mut buffer)? {
            0 => return Ok(all),
            count => all.extend_from_slice(&buffer[..count]),
        }
    }
}

/// Bytes that differ from place to place.
fn pattern(length: usize) -> Vec<u8> {
    (0..length).map(|i| (i * 31 + i / 251) as u8).collect()
}

/// Replies with the request's own body.
fn echo(mut incoming: Incoming) -> Result<(), StreamError> {
    let body = read_all(|buffer| incoming.read_body(buffer))?;
    let length = incoming.open.length.map(|_| body.len() as u64);
    incoming.reply_head(200, &[("x-a".into(), "b".into())], length)?;
    incoming.write_body(&body)?;
    incoming.finish()
}

#[test]
fn control_messages_arrive_in_order() {
    let (a, b) = pair();
    for sequence in 0..100 {
        a.mesh.send("ent-b", &heartbeat(sequence)).unwrap();
    }
    for expected in 0..100 {
        let got = b.wait(|event| match event {
            Event::Control {
                message: Message::Heartbeat(beat),
                ..
            } => Some(beat.sequence),
            _ => None,
        });
        assert_eq!(got, expected);
    }
}

#[test]
fn relay_echoes_to_the_byte() {
    for length in [0, 1, 8 << 20] {
        for declared in [Some(length as u64), None] {
            let (a, b) = pair();
            let server = thread::spawn(move || echo(b.incoming()).map(|()| b));
            let body = pattern(length);
            let open = request().with_length(declared);
            let mut stream = a.mesh.open("ent-b", &open, PATIENCE).unwrap();
            stream.write_body(&body).unwrap();
            stream.finish_body().unwrap();
            let Reply::Head { status, length, .. } = stream.read_head(PATIENCE).unwrap() else {
                panic!("no head");
            };
            assert_eq!((status, length), (200, declared));
            assert!(read_all(|buffer| stream.read_body(buffer)).unwrap() == body);
            server.join().unwrap().unwrap();
        }
    }
}
