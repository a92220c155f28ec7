//! The links of one host, and what comes over them.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use tokio::runtime::{Builder, Handle, Runtime};
use tokio::sync::Notify;

use super::book::{Book, Peer};
use super::channel::Pool;
use super::config::{Config, Listen};
use super::connect::{self, Failure, Step};
use super::count::{Counters, Tally};
use super::error::{Error, OpenError, Reason, SendError};
use super::frame::{self, Frame, Message, CHUNK};
use super::link::Link;
use super::lock;
use super::stream::{Incoming, Open, Stream};

/// Time for the links' tasks to end when a mesh is dropped.
const SHUTDOWN: Duration = Duration::from_secs(1);

/// What a mesh reports. It does so on its own threads, which must not be blocked.
pub enum Event {
    /// A host is linked.
    Up {
        /// The host.
        host: Arc<str>,
        /// Its incarnation.
        incarnation: u64,
        /// Its availability zone.
        zone: Arc<str>,
    },
    /// A host is no longer linked.
    Down {
        /// The host.
        host: Arc<str>,
        /// The incarnation that was linked.
        incarnation: u64,
        /// Why.
        reason: Reason,
    },
    /// A control message came in.
    Control {
        /// Its sender.
        host: Arc<str>,
        /// The sender's incarnation.
        incarnation: u64,
        /// What it says.
        message: Message,
    },
    /// A host relays a request.
    Open(Incoming),
}

type Events = Box<dyn Fn(Event) + Send + Sync>;

/// The links of one host.
pub struct Mesh {
    core: Arc<Core>,
    address: SocketAddr,
    runtime: Option<Runtime>,
}

/// What the mesh, its tasks and its streams share.
pub(crate) struct Core {
    pub(crate) config: Config,
    pub(crate) tally: Tally,
    pub(crate) events: Events,
    pub(crate) pool: Arc<Pool>,
    handle: Handle,
    book: Mutex<Book>,
    changed: Condvar,
    reports: Mutex<VecDeque<Event>>,
    reporting: Mutex<()>,
}

impl Mesh {
    /// Listens, and reports what happens to `events`.
    pub fn new(
        mut config: Config,
        events: impl Fn(Event) + Send + Sync + 'static,
    ) -> Result<Mesh, Error> {
        let listener = listen(&mut config).map_err(Error::Listen)?;
        let address = listener.local_addr().map_err(Error::Listen)?;
        let runtime = Builder::new_multi_thread()
            .worker_threads(config.threads)
            .thread_name("peer")
            .enable_all()
            .build()
            .map_err(Error::Runtime)?;
        let core = Arc::new(Core {
            pool: Arc::new(Pool::new(config.buffer)),
            config,
            tally: Tally::default(),
            events: Box::new(events),
            handle: runtime.handle().clone(),
            book: Mutex::default(),
            changed: Condvar::new(),
            reports: Mutex::default(),
            reporting: Mutex::default(),
        });
        let listener = {
            let _context = runtime.enter();
            tokio::net::TcpListener::from_std(listener).map_err(Error::Listen)?
        };
        runtime.spawn(connect::accept_all(core.clone(), listener));
        Ok(Mesh {
            core,
            address,
            runtime: Some(runtime),
        })
    }

    /// Where links are accepted.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets the hosts to keep links with. Links with others are closed once they are idle.
    pub fn set_peers(&self, mut peers: BTreeMap<Arc<str>, SocketAddr>) {
        peers.remove(&self.core.config.host);
        let mut book = lock(&self.core.book);
        let added: Vec<Arc<str>> = peers.keys().cloned().collect();
        book.kept = peers;
        for host in added {
            self.core.want(&mut book, &host);
        }
        self.core.notify_keepers(&book);
    }

    /// Sets the addresses of hosts that [`Mesh::open`] may link on demand.
    pub fn set_directory(&self, hosts: BTreeMap<Arc<str>, SocketAddr>) {
        lock(&self.core.book).directory = hosts;
    }

    /// The hosts that are linked, with their incarnations.
    pub fn linked(&self) -> BTreeMap<Arc<str>, u64> {
        lock(&self.core.book)
            .peers
            .iter()
            .filter_map(|(host, peer)| Some((host.clone(), peer.links.first()?.incarnation)))
            .collect()
    }

    /// Sends a control message over the link with a host.
    pub fn send(&self, host: &str, message: &Message) -> Result<(), SendError> {
        let packet = Packet::new(message, self.core.config.message)?;
        self.core.send(host, &packet)
    }

    /// Sends a control message to many hosts; it is encoded once. Returns to how many.
    pub fn broadcast<'a>(
        &self,
        hosts: impl IntoIterator<Item = &'a str>,
        message: &Message,
    ) -> Result<usize, SendError> {
        let packet = Packet::new(message, self.core.config.message)?;
        let sent = hosts
            .into_iter()
            .filter(|host| self.core.send(host, &packet).is_ok())
            .count();
        Ok(sent)
    }

    /// Opens a stream that relays a request; links the host within `timeout` if need be.
    ///
    /// It returns once the request is queued. The stream's own errors tell whether it was sent.
    pub fn open(&self, host: &str, open: &Open, timeout: Duration) -> Result<Stream, OpenError> {
        let start = Instant::now();
        let until = start + timeout.min(open.deadline);
        loop {
            let link = self.core.link(host, until)?;
            let left = open.deadline.saturating_sub(start.elapsed());
            if let Some(opened) = link.open(open, left) {
                return opened;
            }
        }
    }

    /// What was counted so far.
    pub fn counters(&self) -> Counters {
        self.core.tally.counters()
    }

    /// Says goodbye on all links, lets streams finish for the given time, then ends them.
    pub fn close(mut self, within: Duration) {
        let until = Instant::now() + within;
        let mut book = lock(&self.core.book);
        book.closing = true;
        for link in book.links() {
            link.say_goodbye("close");
        }
        while book.links().next().is_some() && Instant::now() < until {
            let left = until.saturating_duration_since(Instant::now());
            book = self.core.wait(book, left);
        }
        drop(book);
        self.shut();
    }

    /// Ends the links, so that every stream gets its end, then the runtime.
    fn shut(&mut self) {
        let Some(runtime) = self.runtime.take() else {
            return;
        };
        let until = Instant::now() + SHUTDOWN;
        let mut book = lock(&self.core.book);
        book.closing = true;
        for link in book.links() {
            link.kill(Reason::Closed);
        }
        self.core.changed.notify_all();
        while book.links().next().is_some() && Instant::now() < until {
            let left = until.saturating_duration_since(Instant::now());
            book = self.core.wait(book, left);
        }
        drop(book);
        runtime.shutdown_background();
    }
}

impl Drop for Mesh {
    fn drop(&mut self) {
        self.shut();
    }
}

/// A control message, encoded.
struct Packet {
    message: bytes::Bytes,
    whole: bytes::Bytes,
}

impl Packet {
    fn new(message: &Message, limit: usize) -> Result<Packet, SendError> {
        let bytes = frame::encode(message);
        if bytes.len() > limit {
            return Err(SendError::Oversize(bytes.len()));
        }
        let whole = match bytes.len() <= CHUNK {
            true => frame::encode(&Frame::Message(message.clone())),
            false => bytes::Bytes::new(),
        };
        Ok(Packet {
            message: bytes,
            whole,
        })
    }
}

impl Core {
    /// Whether a link with a host shall be kept.
    pub(crate) fn is_kept(&self, host: &str) -> bool {
        lock(&self.book).kept.contains_key(host)
    }

    /// An open link with a host, made if need be.
    fn link(self: &Arc<Core>, host: &str, until: Instant) -> Result<Arc<Link>, OpenError> {
        let mut book = lock(&self.book);
        let failures = book.peers.get(host).map_or(0, |peer| peer.failures);
        loop {
            if book.closing {
                return Err(OpenError::Closing);
            }
            if let Some(link) = book.peers.get(host).and_then(Peer::open_link) {
                return Ok(link.clone());
            }
            let name: Arc<str> = host.into();
            if book.address(host).is_none() {
                return Err(OpenError::Host(name));
            }
            let peer = book.peers.entry(name.clone()).or_default();
            if peer.failures > failures || peer.is_backing_off() {
                return Err(OpenError::Unreachable(name));
            }
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return Err(OpenError::Timeout(name));
            }
            peer.wanted_until = peer.wanted_until.max(Some(until));
            self.want(&mut book, &name);
            book = self.wait(book, left);
        }
    }

    fn wait<'a>(&self, book: MutexGuard<'a, Book>, left: Duration) -> MutexGuard<'a, Book> {
        let (book, _) = self
            .changed
            .wait_timeout(book, left)
            .unwrap_or_else(PoisonError::into_inner);
        book
    }

    /// Sees to it that a host has a keeper, and wakes it.
    fn want(self: &Arc<Core>, book: &mut Book, host: &Arc<str>) {
        let peer = book.peers.entry(host.clone()).or_default();
        if let Some(keeper) = &peer.keeper {
            keeper.notify_one();
            return;
        }
        peer.keeper = Some(Arc::new(Notify::new()));
        let keeping = connect::keep(self.clone(), host.clone());
        self.handle.spawn(keeping);
    }

    fn notify_keepers(&self, book: &Book) {
        for peer in book.peers.values() {
            if let Some(keeper) = &peer.keeper {
                keeper.notify_one();
            }
        }
    }

    /// What the keeper of a host does next.
    pub(crate) fn next_step(&self, host: &Arc<str>) -> Step {
        let mut book = lock(&self.book);
        let address = book.address(host);
        let is_kept = book.kept.contains_key(host) && !book.closing;
        let is_closing = book.closing;
        let Some(peer) = book.peers.get_mut(host) else {
            return Step::Stop;
        };
        let is_wanted = is_kept
            || peer
                .wanted_until
                .is_some_and(|until| Instant::now() < until);
        let (Some(address), true, false) = (address, is_wanted, is_closing) else {
            peer.keeper = None;
            book.forget(host);
            return Step::Stop;
        };
        match (peer.open_link(), &peer.keeper) {
            (Some(_), Some(changed)) => Step::Wait(changed.clone()),
            _ => Step::Dial(address),
        }
    }

    /// Pauses before a lost link is made again, so that both sides seldom do so at once.
    pub(crate) async fn spread(&self, host: &Arc<str>) {
        let (pause, is_demanded) = {
            let book = lock(&self.book);
            let peer = book.peers.get(host);
            let demand = peer.and_then(|peer| peer.wanted_until);
            let pause = match peer.is_some_and(|peer| peer.open_link().is_some()) {
                true => Duration::ZERO,
                false => connect::jitter(self.config.backoff.0 / 2),
            };
            (pause, demand.is_some_and(|until| Instant::now() < until))
        };
        if is_demanded {
            return;
        }
        let own_turn = match *self.config.host < **host {
            true => Duration::ZERO,
            false => self.config.backoff.0.min(pause * 2),
        };
        tokio::time::sleep(pause + own_turn).await;
    }

    /// A try to connect failed; there is no other for a while.
    pub(crate) fn on_dial_failed(&self, host: &Arc<str>, pause: Duration) {
        let mut book = lock(&self.book);
        if let Some(peer) = book.peers.get_mut(host) {
            peer.failures += 1;
            peer.retry_at = Some(Instant::now() + pause);
        }
        self.changed.notify_all();
    }

    /// A link is authenticated.
    pub(crate) fn on_linked(&self, link: &Arc<Link>) -> Result<(), Failure> {
        let mut book = lock(&self.book);
        if book.closing {
            return Err(Failure::Closing);
        }
        let peer = book.peers.entry(link.host.clone()).or_default();
        let current = peer.links.first().map(|first| first.incarnation);
        if current.is_some_and(|current| current > link.incarnation) {
            return Err(Failure::Incarnation);
        }
        self.tally.links.one();
        let mut reports = lock(&self.reports);
        if let Some(current) = current.filter(|&current| current < link.incarnation) {
            for old in peer.links.drain(..) {
                old.kill(Reason::Replaced);
            }
            reports.push_back(Event::Down {
                host: link.host.clone(),
                incarnation: current,
                reason: Reason::Replaced,
            });
        }
        if peer.links.is_empty() {
            reports.push_back(Event::Up {
                host: link.host.clone(),
                incarnation: link.incarnation,
                zone: link.zone.clone(),
            });
        }
        drop(reports);
        peer.add(link);
        peer.retry_at = None;
        peer.notify_keeper();
        self.changed.notify_all();
        drop(book);
        self.report();
        Ok(())
    }

    /// The other side is known to use a link.
    pub(crate) fn on_confirmed(&self, host: &Arc<str>) {
        if let Some(peer) = lock(&self.book).peers.get(host) {
            peer.part();
        }
    }

    /// The other side opens no more streams on a link.
    pub(crate) fn on_draining(&self, host: &Arc<str>) {
        if let Some(peer) = lock(&self.book).peers.get(host) {
            peer.notify_keeper();
        }
    }

    /// A link has ended.
    pub(crate) fn on_ended(&self, link: &Arc<Link>, reason: Reason) {
        let mut book = lock(&self.book);
        let Some(peer) = book.peers.get_mut(&link.host) else {
            return;
        };
        let count = peer.links.len();
        peer.links.retain(|other| !Arc::ptr_eq(other, link));
        if peer.links.len() < count && peer.links.is_empty() {
            lock(&self.reports).push_back(Event::Down {
                host: link.host.clone(),
                incarnation: link.incarnation,
                reason,
            });
        }
        peer.notify_keeper();
        book.forget(&link.host);
        self.changed.notify_all();
        drop(book);
        self.report();
    }

    /// Hands out reports in the order of what they tell.
    fn report(&self) {
        let _turn = lock(&self.reporting);
        loop {
            let Some(event) = lock(&self.reports).pop_front() else {
                return;
            };
            (self.events)(event);
        }
    }

    fn send(&self, host: &str, packet: &Packet) -> Result<(), SendError> {
        let link = lock(&self.book).peers.get(host).and_then(Peer::any_link);
        let link = link.ok_or_else(|| SendError::Unlinked(host.into()))?;
        if !link.send(&packet.message, &packet.whole) {
            self.tally.messages_dropped.one();
            return Err(SendError::Full(host.into()));
        }
        self.tally.messages_out.one();
        let bytes = packet.whole.len().max(packet.message.len()) + link.header();
        self.tally.control_bytes_out.add(bytes as u64);
        Ok(())
    }
}

/// Binds the listening socket.
fn listen(config: &mut Config) -> std::io::Result<std::net::TcpListener> {
    let any = Listen::Address(SocketAddr::from(([127, 0, 0, 1], 0)));
    let listener = match std::mem::replace(&mut config.listen, any) {
        Listen::Address(address) => std::net::TcpListener::bind(address)?,
        Listen::Bound(listener) => listener,
    };
    listener.set_nonblocking(true)?;
    config.listen = Listen::Address(listener.local_addr()?);
    Ok(listener)
}
