//! A mesh under test and its events.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::mpsc::{channel, Receiver};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use ragwortfold::peer::config::{Config, Listen};
use ragwortfold::peer::error::{LinkEndReason, StreamError};
use ragwortfold::peer::frame::{Heartbeat, Message, State};
use ragwortfold::peer::mesh::{Event, Mesh};
use ragwortfold::peer::stream::{Incoming, Open};

/// Time limit of every wait; longer than any step takes on a loaded machine.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(30);

pub const SECRET: &str = "a secret of all entry hosts";

/// A mesh and its events.
pub struct Node {
    pub mesh: Mesh,
    events: Mutex<Receiver<Event>>,
}

impl Node {
    pub fn new(host: &str) -> Node {
        Node::with(host, |_| {})
    }

    /// A mesh with a long silence timeout, because raw peers send no pongs.
    pub fn with_long_silence(host: &str) -> Node {
        Node::with(host, |config| config.silence_timeout = TEST_TIMEOUT)
    }

    pub fn with(host: &str, change: impl FnOnce(&mut Config)) -> Node {
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let mut config = Config::new(host, 1, "zone-a", SECRET, Listen::Address(any));
        change(&mut config);
        let (report, events) = channel();
        let mesh = Mesh::new(config, move |event| {
            let _ = report.send(event);
        });
        Node {
            mesh: mesh.expect("a mesh"),
            events: Mutex::new(events),
        }
    }

    pub fn next_event(&self) -> Event {
        let events = self.events.lock().expect("no panic");
        events.recv_timeout(TEST_TIMEOUT).expect("an event")
    }

    /// Whether any event received so far reports a host as down.
    pub fn has_down(&self) -> bool {
        let events = self.events.lock().expect("no panic");
        let found = events
            .try_iter()
            .any(|event| matches!(event, Event::Down { .. }));
        found
    }

    /// Waits for the first event for which `pick` returns a value. Drops the events before it.
    pub fn wait<T>(&self, mut pick: impl FnMut(Event) -> Option<T>) -> T {
        loop {
            if let Some(found) = pick(self.next_event()) {
                return found;
            }
        }
    }

    /// Waits until a host is linked. Returns its incarnation.
    pub fn wait_up(&self, name: &str) -> u64 {
        self.wait(|event| match event {
            Event::Up {
                host, incarnation, ..
            } => (*host == *name).then_some(incarnation),
            _ => None,
        })
    }

    /// Waits until a host is no longer linked. Returns the reason.
    pub fn wait_down(&self, name: &str) -> LinkEndReason {
        self.wait(|event| match event {
            Event::Down { host, reason, .. } => (*host == *name).then_some(reason),
            _ => None,
        })
    }

    pub fn wait_message(&self) -> Message {
        self.wait(|event| match event {
            Event::Control { message, .. } => Some(message),
            _ => None,
        })
    }

    pub fn wait_incoming(&self) -> Incoming {
        self.wait(|event| match event {
            Event::Open(incoming) => Some(incoming),
            _ => None,
        })
    }

    pub fn link_to(&self, host: &str, address: SocketAddr) {
        self.mesh.set_peers(peers([(host, address)]));
    }

    /// The value of a counter.
    pub fn counter(&self, name: &str) -> u64 {
        let counters = self.mesh.counters();
        let found = counters.iter().find(|(known, _)| *known == name);
        found.expect("a counter of that name").1
    }
}

pub fn peers<const N: usize>(hosts: [(&str, SocketAddr); N]) -> BTreeMap<Arc<str>, SocketAddr> {
    hosts
        .into_iter()
        .map(|(host, address)| (host.into(), address))
        .collect()
}

/// Two linked hosts.
pub fn pair() -> (Node, Node) {
    pair_of(Node::new("ent-a"), Node::new("ent-b"))
}

pub fn pair_of(a: Node, b: Node) -> (Node, Node) {
    a.link_to("ent-b", b.mesh.address());
    a.wait_up("ent-b");
    b.wait_up("ent-a");
    (a, b)
}

/// Polls a condition until it holds. Panics after [`TEST_TIMEOUT`].
pub fn wait_until(description: &str, mut condition: impl FnMut() -> bool) {
    let until = Instant::now() + TEST_TIMEOUT;
    while !condition() {
        assert!(
            Instant::now() < until,
            "timed out waiting for {description}"
        );
        thread::yield_now();
    }
}

pub fn heartbeat(sequence: u64) -> Message {
    Message::Heartbeat(Heartbeat {
        sequence,
        revision: 7,
        epoch: 3,
        state: State::Serving,
        load: 2,
    })
}

pub fn request() -> Open {
    Open::new("r-1", "lookups", "GET", "/passes?x=1", TEST_TIMEOUT)
}

pub fn upload() -> Open {
    Open::new("r-2", "telemetry", "PUT", "/files/1", TEST_TIMEOUT).with_length(None)
}

/// Reads a body to its end, or to the error that it ends with.
pub fn read_all(
    mut read: impl FnMut(&mut [u8]) -> Result<usize, StreamError>,
) -> (Vec<u8>, Result<(), StreamError>) {
    let mut all = Vec::new();
    let mut buffer = [0; 10_000];
    loop {
        match read(&mut buffer) {
            Ok(0) => return (all, Ok(())),
            Ok(count) => all.extend_from_slice(&buffer[..count]),
            Err(error) => return (all, Err(error)),
        }
    }
}

/// Bytes that depend on their position, so that misplaced chunks are detected.
pub fn pattern(length: usize) -> Vec<u8> {
    (0..length).map(|i| (i * 31 + i / 251) as u8).collect()
}

/// Replies with the request's own body.
pub fn echo(mut incoming: Incoming) -> Result<(), StreamError> {
    let (body, end) = read_all(|buffer| incoming.read_body(buffer));
    end?;
    let length = incoming.open.length.map(|_| body.len() as u64);
    incoming.reply_head(200, &[("x-a".into(), "b".into())], length)?;
    incoming.write_body(&body)?;
    incoming.finish()
}
