//! The mesh: all links of one host, and the events that they cause.

use std::collections::{BTreeMap, VecDeque};
use std::future::Future;
use std::net::SocketAddr;
use std::panic::AssertUnwindSafe;
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use futures_util::FutureExt;
use tokio::runtime::{Builder, Handle, Runtime};
use tokio::sync::Notify;

use super::channel::WindowPool;
use super::config::{Config, Listen};
use super::connect::{self, ConnectError, Step};
use super::count::{AtomicCounters, Counters};
use super::error::{Error, LinkEndReason, OpenError, SendError};
use super::frame::{self, Frame, Message, MAX_CHUNK_BYTES};
use super::link::Link;
use super::lock;
use super::peer_table::{Peer, PeerTable};
use super::stream::{Incoming, Open, Stream};
use crate::panic;

/// Time limit for the link tasks to end when a mesh is dropped.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(1);

/// An event that a mesh passes to its handler. The handler runs on threads of the mesh and must not
/// block.
pub enum Event {
    /// A task panicked; it is started again, or its link has ended.
    TaskFailed {
        /// The name of the task.
        task: &'static str,
        /// The message and place of the panic.
        reason: String,
    },
    /// A host is linked: the first link with its current incarnation was established.
    Up {
        /// The name of the host.
        host: Arc<str>,
        /// Its incarnation.
        incarnation: u64,
        /// Its availability zone.
        zone: Arc<str>,
    },
    /// A host is no longer linked: its last link ended, or a later incarnation replaced it.
    Down {
        /// The name of the host.
        host: Arc<str>,
        /// The incarnation that was linked.
        incarnation: u64,
        /// Why the host is no longer linked.
        reason: LinkEndReason,
    },
    /// A control message was received.
    Control {
        /// The name of the sender.
        host: Arc<str>,
        /// The sender's incarnation.
        incarnation: u64,
        /// The decoded message.
        message: Message,
    },
    /// Another host relays a request to this one.
    Open(Incoming),
}

type EventHandler = Box<dyn Fn(Event) + Send + Sync>;

/// The links of one host with other hosts.
pub struct Mesh {
    core: Arc<Core>,
    address: SocketAddr,
    runtime: Option<Runtime>,
}

/// State shared by the mesh, its tasks and its streams.
pub(crate) struct Core {
    pub(crate) config: Config,
    pub(crate) counters: AtomicCounters,
    pub(crate) event_handler: EventHandler,
    pub(crate) window_pool: Arc<WindowPool>,
    handle: Handle,
    table: Mutex<PeerTable>,
    /// Signalled when a link or the state of a connection attempt changes.
    changed: Condvar,
    pending_events: Mutex<VecDeque<Event>>,
    /// Held while events are delivered, so that they reach the handler in order.
    delivery: Mutex<()>,
}

impl Mesh {
    /// Starts to accept links and passes every event to `on_event`.
    pub fn new(
        mut config: Config,
        on_event: impl Fn(Event) + Send + Sync + 'static,
    ) -> Result<Mesh, Error> {
        let listener = listen(&mut config).map_err(Error::Listen)?;
        let address = listener.local_addr().map_err(Error::Listen)?;
        let runtime = Builder::new_multi_thread()
            .worker_threads(config.worker_threads)
            .thread_name("peer")
            .enable_all()
            .build()
            .map_err(Error::Runtime)?;
        let core = Arc::new(Core {
            window_pool: Arc::new(WindowPool::new(config.window_pool_bytes)),
            config,
            counters: AtomicCounters::default(),
            event_handler: Box::new(on_event),
            handle: runtime.handle().clone(),
            table: Mutex::default(),
            changed: Condvar::new(),
            pending_events: Mutex::default(),
            delivery: Mutex::default(),
        });
        let listener = {
            let _context = runtime.enter();
            tokio::net::TcpListener::from_std(listener).map_err(Error::Listen)?
        };
        runtime.spawn(connect::accept_links(core.clone(), listener));
        Ok(Mesh {
            core,
            address,
            runtime: Some(runtime),
        })
    }

    /// The address at which links are accepted.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets the hosts with which links are maintained. Links with all other hosts are closed once idle.
    pub fn set_peers(&self, mut peers: BTreeMap<Arc<str>, SocketAddr>) {
        peers.remove(&self.core.config.host);
        let mut table = lock(&self.core.table);
        let added: Vec<Arc<str>> = peers.keys().cloned().collect();
        table.persistent = peers;
        for host in added {
            self.core.ensure_maintainer(&mut table, &host);
        }
        self.core.notify_maintainers(&table);
    }

    /// Sets the addresses of hosts that [`Mesh::open`] may link on demand.
    pub fn set_directory(&self, hosts: BTreeMap<Arc<str>, SocketAddr>) {
        lock(&self.core.table).directory = hosts;
    }

    /// The names and incarnations of the linked hosts.
    pub fn linked_hosts(&self) -> BTreeMap<Arc<str>, u64> {
        lock(&self.core.table)
            .peers
            .iter()
            .filter_map(|(host, peer)| Some((host.clone(), peer.links.first()?.incarnation)))
            .collect()
    }

    /// Sends a control message over the link with a host.
    pub fn send(&self, host: &str, message: &Message) -> Result<(), SendError> {
        let encoded = EncodedMessage::new(message, self.core.config.max_message_bytes)?;
        self.core.send(host, &encoded)
    }

    /// Encodes a control message once and queues it for several hosts. Returns for how many it was queued.
    pub fn broadcast<'a>(
        &self,
        hosts: impl IntoIterator<Item = &'a str>,
        message: &Message,
    ) -> Result<usize, SendError> {
        let encoded = EncodedMessage::new(message, self.core.config.max_message_bytes)?;
        let sent = hosts
            .into_iter()
            .filter(|host| self.core.send(host, &encoded).is_ok())
            .count();
        Ok(sent)
    }

    /// Opens a stream that relays a request. Without a link, waits up to `timeout` for one.
    ///
    /// Returns once the request is queued. The errors of the stream state whether it was sent.
    pub fn open(&self, host: &str, open: &Open, timeout: Duration) -> Result<Stream, OpenError> {
        let start = Instant::now();
        let until = start + timeout.min(open.deadline);
        loop {
            let link = self.core.acquire_link(host, until)?;
            let left = open.deadline.saturating_sub(start.elapsed());
            if let Some(opened) = link.open(open, left) {
                return opened;
            }
        }
    }

    /// The current values of the counters.
    pub fn counters(&self) -> Counters {
        self.core.counters.snapshot()
    }

    /// Sends a goodbye on all links, waits up to `timeout` for the open streams, then ends the links.
    pub fn close(mut self, timeout: Duration) {
        let until = Instant::now() + timeout;
        let mut table = lock(&self.core.table);
        table.is_closing = true;
        for link in table.links() {
            link.start_draining("close");
        }
        while table.links().next().is_some() && Instant::now() < until {
            let left = until.saturating_duration_since(Instant::now());
            table = self.core.wait_for_change(table, left);
        }
        drop(table);
        self.shut_down();
    }

    /// Aborts the links, which fails their streams, then stops the runtime.
    fn shut_down(&mut self) {
        let Some(runtime) = self.runtime.take() else {
            return;
        };
        let until = Instant::now() + SHUTDOWN_TIMEOUT;
        let mut table = lock(&self.core.table);
        table.is_closing = true;
        for link in table.links() {
            link.abort(LinkEndReason::Closed);
        }
        self.core.changed.notify_all();
        while table.links().next().is_some() && Instant::now() < until {
            let left = until.saturating_duration_since(Instant::now());
            table = self.core.wait_for_change(table, left);
        }
        drop(table);
        runtime.shutdown_background();
    }
}

impl Drop for Mesh {
    fn drop(&mut self) {
        self.shut_down();
    }
}

/// An encoded control message.
struct EncodedMessage {
    message: bytes::Bytes,
    /// The frame that carries the whole message; empty if the message is split into parts.
    single_frame: bytes::Bytes,
}

impl EncodedMessage {
    fn new(message: &Message, limit: usize) -> Result<EncodedMessage, SendError> {
        let bytes = frame::encode(message);
        if bytes.len() > limit {
            return Err(SendError::Oversize(bytes.len()));
        }
        let single_frame = match bytes.len() <= MAX_CHUNK_BYTES {
            true => frame::encode(&Frame::Message(message.clone())),
            false => bytes::Bytes::new(),
        };
        Ok(EncodedMessage {
            message: bytes,
            single_frame,
        })
    }
}

impl Core {
    /// Whether the link with a host is maintained permanently, also while it is idle.
    pub(crate) fn is_persistent(&self, host: &str) -> bool {
        lock(&self.table).persistent.contains_key(host)
    }

    /// Returns a link that accepts new streams. Without one, waits for a connection until `until`.
    fn acquire_link(self: &Arc<Core>, host: &str, until: Instant) -> Result<Arc<Link>, OpenError> {
        let mut table = lock(&self.table);
        let connect_failures = table
            .peers
            .get(host)
            .map_or(0, |peer| peer.connect_failures);
        loop {
            if table.is_closing {
                return Err(OpenError::Closing);
            }
            if let Some(link) = table.peers.get(host).and_then(Peer::preferred_link) {
                return Ok(link.clone());
            }
            let name: Arc<str> = host.into();
            if table.address(host).is_none() {
                return Err(OpenError::UnknownHost(name));
            }
            let peer = table.peers.entry(name.clone()).or_default();
            if peer.connect_failures > connect_failures || peer.is_backing_off() {
                return Err(OpenError::Unreachable(name));
            }
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return Err(OpenError::Timeout(name));
            }
            peer.requested_until = peer.requested_until.max(Some(until));
            self.ensure_maintainer(&mut table, &name);
            table = self.wait_for_change(table, left);
        }
    }

    /// Waits for a change of a link or connection attempt, at most for the time `left`.
    fn wait_for_change<'a>(
        &self,
        table: MutexGuard<'a, PeerTable>,
        left: Duration,
    ) -> MutexGuard<'a, PeerTable> {
        let (table, _) = self
            .changed
            .wait_timeout(table, left)
            .unwrap_or_else(PoisonError::into_inner);
        table
    }

    /// Starts the task that maintains the link with a host, or wakes it if it runs already.
    fn ensure_maintainer(self: &Arc<Core>, table: &mut PeerTable, host: &Arc<str>) {
        let peer = table.peers.entry(host.clone()).or_default();
        if let Some(maintainer) = &peer.maintainer {
            maintainer.notify_one();
            return;
        }
        peer.maintainer = Some(Arc::new(Notify::new()));
        let maintaining = connect::maintain_link(self.clone(), host.clone());
        self.handle.spawn(maintaining);
    }

    fn notify_maintainers(&self, table: &PeerTable) {
        for peer in table.peers.values() {
            if let Some(maintainer) = &peer.maintainer {
                maintainer.notify_one();
            }
        }
    }

    /// The next step of the task that maintains the link with a host.
    pub(crate) fn next_step(&self, host: &Arc<str>) -> Step {
        let mut table = lock(&self.table);
        let address = table.address(host);
        let is_persistent = table.persistent.contains_key(host) && !table.is_closing;
        let is_closing = table.is_closing;
        let Some(peer) = table.peers.get_mut(host) else {
            return Step::Stop;
        };
        let is_wanted = is_persistent
            || peer
                .requested_until
                .is_some_and(|until| Instant::now() < until);
        let (Some(address), true, false) = (address, is_wanted, is_closing) else {
            peer.maintainer = None;
            table.remove_if_unused(host);
            return Step::Stop;
        };
        match (peer.preferred_link(), &peer.maintainer) {
            (Some(_), Some(changed)) => Step::Wait(changed.clone()),
            _ => Step::Dial(address),
        }
    }

    /// Delays a reconnect, so that the two hosts seldom dial each other at the same time. The host with
    /// the greater name waits longer. There is no delay while a link is open or a request waits for one.
    pub(crate) async fn delay_reconnect(&self, host: &Arc<str>) {
        let (pause, is_requested) = {
            let table = lock(&self.table);
            let peer = table.peers.get(host);
            let requested_until = peer.and_then(|peer| peer.requested_until);
            let pause = match peer.is_some_and(|peer| peer.preferred_link().is_some()) {
                true => Duration::ZERO,
                false => connect::jitter(self.config.backoff.0 / 2),
            };
            (
                pause,
                requested_until.is_some_and(|until| Instant::now() < until),
            )
        };
        if is_requested {
            return;
        }
        let extra_pause = match *self.config.host < **host {
            true => Duration::ZERO,
            false => self.config.backoff.0.min(pause * 2),
        };
        tokio::time::sleep(pause + extra_pause).await;
    }

    /// Records a failed connection attempt and the pause before the next one.
    pub(crate) fn on_dial_failed(&self, host: &Arc<str>, pause: Duration) {
        let mut table = lock(&self.table);
        if let Some(peer) = table.peers.get_mut(host) {
            peer.connect_failures += 1;
            peer.retry_at = Some(Instant::now() + pause);
        }
        self.changed.notify_all();
    }

    /// Adds an authenticated link. Replaces links with older incarnations of the host.
    pub(crate) fn on_linked(&self, link: &Arc<Link>) -> Result<(), ConnectError> {
        let mut table = lock(&self.table);
        if table.is_closing {
            return Err(ConnectError::Closing);
        }
        let peer = table.peers.entry(link.host.clone()).or_default();
        let current = peer.links.first().map(|first| first.incarnation);
        if current.is_some_and(|current| current > link.incarnation) {
            return Err(ConnectError::OutdatedIncarnation);
        }
        self.counters.links.increment();
        let mut pending_events = lock(&self.pending_events);
        if let Some(current) = current.filter(|&current| current < link.incarnation) {
            for old in peer.links.drain(..) {
                old.abort(LinkEndReason::Replaced);
            }
            pending_events.push_back(Event::Down {
                host: link.host.clone(),
                incarnation: current,
                reason: LinkEndReason::Replaced,
            });
        }
        if peer.links.is_empty() {
            pending_events.push_back(Event::Up {
                host: link.host.clone(),
                incarnation: link.incarnation,
                zone: link.zone.clone(),
            });
        }
        drop(pending_events);
        peer.add_link(link);
        peer.retry_at = None;
        peer.notify_maintainer();
        self.changed.notify_all();
        drop(table);
        self.deliver_events();
        Ok(())
    }

    /// Completes a future; returns `None` if it panics, which is reported under `task`.
    pub(crate) async fn catch<T>(
        &self,
        task: &'static str,
        future: impl Future<Output = T>,
    ) -> Option<T> {
        match AssertUnwindSafe(future).catch_unwind().await {
            Ok(output) => Some(output),
            Err(panic) => {
                let reason = panic::describe(&*panic);
                lock(&self.pending_events).push_back(Event::TaskFailed { task, reason });
                self.deliver_events();
                None
            }
        }
    }

    /// Closes surplus links once the other side is known to use the preferred one.
    pub(crate) fn on_confirmed(&self, host: &Arc<str>) {
        if let Some(peer) = lock(&self.table).peers.get(host) {
            peer.close_surplus_links();
        }
    }

    /// Wakes the maintaining task when the other side opens no more streams on a link.
    pub(crate) fn on_draining(&self, host: &Arc<str>) {
        if let Some(peer) = lock(&self.table).peers.get(host) {
            peer.notify_maintainer();
        }
    }

    /// Removes a link that has ended.
    pub(crate) fn on_ended(&self, link: &Arc<Link>, reason: LinkEndReason) {
        let mut table = lock(&self.table);
        let Some(peer) = table.peers.get_mut(&link.host) else {
            return;
        };
        let count = peer.links.len();
        peer.links.retain(|other| !Arc::ptr_eq(other, link));
        if peer.links.len() < count && peer.links.is_empty() {
            lock(&self.pending_events).push_back(Event::Down {
                host: link.host.clone(),
                incarnation: link.incarnation,
                reason,
            });
        }
        peer.notify_maintainer();
        table.remove_if_unused(&link.host);
        self.changed.notify_all();
        drop(table);
        self.deliver_events();
    }

    /// Passes the pending events to the handler, in the order in which they occurred.
    fn deliver_events(&self) {
        let _delivery = lock(&self.delivery);
        loop {
            let Some(event) = lock(&self.pending_events).pop_front() else {
                return;
            };
            (self.event_handler)(event);
        }
    }

    fn send(&self, host: &str, encoded: &EncodedMessage) -> Result<(), SendError> {
        let link = lock(&self.table)
            .peers
            .get(host)
            .and_then(Peer::control_link);
        let link = link.ok_or_else(|| SendError::NotLinked(host.into()))?;
        if !link.send(&encoded.message, &encoded.single_frame) {
            self.counters.messages_dropped.increment();
            return Err(SendError::BacklogFull(host.into()));
        }
        self.counters.messages_out.increment();
        let bytes =
            encoded.single_frame.len().max(encoded.message.len()) + link.small_header_bytes();
        self.counters.control_bytes_out.add(bytes as u64);
        Ok(())
    }
}

/// Binds the listening socket.
fn listen(config: &mut Config) -> std::io::Result<std::net::TcpListener> {
    let placeholder = Listen::Address(SocketAddr::from(([127, 0, 0, 1], 0)));
    let listener = match std::mem::replace(&mut config.listen, placeholder) {
        Listen::Address(address) => std::net::TcpListener::bind(address)?,
        Listen::Bound(listener) => listener,
    };
    listener.set_nonblocking(true)?;
    config.listen = Listen::Address(listener.local_addr()?);
    Ok(listener)
}
