//! One budget of memory and connections for all that a process holds for its peers: callers,
//! targets, other hosts and the platform.
//!
//! Bytes are charged to the account of a peer before they are allocated, and are returned when they
//! are freed. Whoever would exceed the budget waits until others have returned enough; if it holds
//! most itself, it is refused. Which peers are closed is decided by [`Holdings`].

use std::collections::BTreeMap;
use std::fmt;
use std::pin::pin;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use bytes::Bytes;
use rlimit::Resource;
use tokio::sync::Notify;

use crate::steer::holdings::{Holdings, Limits, PeerKey, Stage, Verdict};

/// Memory of a process without peers, in bytes: its code, its threads, and its copy of the
/// configuration and of the lists.
const OWN_BYTES: u64 = 16 << 20;
/// The part of the other memory that may be held for peers. The rest is for what the allocator can't
/// reuse, and for lists while they are decoded.
const MEMORY_SHARE: f64 = 0.5;
/// The part of the process's descriptors that connections from outside may use. Each may need one
/// more, to a target or another host.
const CONNECTION_SHARE: f64 = 0.375;
/// The part of the process's descriptors that idle connections to targets and other hosts may use.
const IDLE_SHARE: f64 = 0.125;
/// Memory that is assumed if the system doesn't tell, in bytes.
const DEFAULT_MEMORY: u64 = 256 << 20;
/// Descriptors that are assumed if the system doesn't tell.
const DEFAULT_DESCRIPTORS: u64 = 1024;
/// Smallest capacity of a buffer that grows, in bytes.
const MIN_CAPACITY: usize = 8 << 10;

/// Number of the largest heads for which the memory suffices.
const HEADS: usize = 64;
/// Smallest buffer for a head, in bytes.
const MIN_HEAD_BUFFER: usize = 8 << 10;
/// Time limit for waiting until others have returned what they hold. Those may wait for something that
/// the waiting peer has, such as the slot of a target.
const MAX_WAIT: Duration = Duration::from_millis(500);
/// Longest time for which a blocked thread doesn't look whether it may go on.
const MAX_BLOCKED_WAIT: Duration = Duration::from_millis(20);

/// The memory limit of the control group of the process.
const GROUP_LIMIT: &str = "/sys/fs/cgroup/memory.max";

/// Why nothing may be held for a peer: it holds most, is being closed, or others have not returned
/// enough in time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the host has no memory for it")]
pub struct Exceeded;

/// A peer that was closed since it held too much or waited too long.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Shortage {
    /// Memory was needed for others.
    Memory,
    /// A connection was needed for others.
    Connections,
    /// The slot of a target was needed for others.
    Slots,
}

impl Shortage {
    /// The value of the label `reason`.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Memory => "memory",
            Self::Connections => "connections",
            Self::Slots => "slots",
        }
    }
}

/// Called for each peer that is closed.
type Report = dyn Fn(Shortage) + Send + Sync;

struct State {
    holdings: Holdings,
    signals: BTreeMap<PeerKey, Arc<Signal>>,
}

struct Inner {
    limits: Limits,
    idle_connections: usize,
    state: Mutex<State>,
    /// Signals that something was returned.
    returned: Notify,
    returned_to_threads: Condvar,
    report: Box<Report>,
}

/// The budget of a process. Copies share it.
#[derive(Clone)]
pub struct Budget {
    inner: Arc<Inner>,
}

/// Tells the user of an account that its peer has to be closed.
#[derive(Default)]
struct Signal {
    is_set: AtomicBool,
    set: Notify,
}

impl Budget {
    /// Creates the budget of a process that may use `memory` bytes and so many descriptors. `report`
    /// is called for each peer that is closed.
    pub fn new(
        memory: u64,
        descriptors: u64,
        report: impl Fn(Shortage) + Send + Sync + 'static,
    ) -> Self {
        let limits = Limits {
            bytes: share(memory.saturating_sub(OWN_BYTES), MEMORY_SHARE),
            connections: share(descriptors, CONNECTION_SHARE),
        };
        Self {
            inner: Arc::new(Inner {
                limits,
                idle_connections: share(descriptors, IDLE_SHARE),
                state: Mutex::new(State {
                    holdings: Holdings::new(limits),
                    signals: BTreeMap::new(),
                }),
                returned: Notify::new(),
                returned_to_threads: Condvar::new(),
                report: Box::new(report),
            }),
        }
    }

    /// The limits on what is held for peers.
    pub fn limits(&self) -> Limits {
        self.inner.limits
    }

    /// Number of idle connections to targets and other hosts that may be kept.
    pub fn idle_connections(&self) -> usize {
        self.inner.idle_connections
    }

    /// The size of the buffer that the head of a request has to fit into, if it may have `wanted`
    /// bytes.
    pub fn head_buffer(&self, wanted: usize) -> usize {
        let largest = (self.inner.limits.bytes / HEADS).max(MIN_HEAD_BUFFER);
        wanted.clamp(MIN_HEAD_BUFFER, largest)
    }

    /// Bytes that are held for peers, and the number of accounts.
    pub fn usage(&self) -> (usize, usize) {
        let state = self.state();
        (state.holdings.bytes(), state.holdings.peers())
    }

    /// Opens the account of an accepted connection, once there is room for it. Returns none if all
    /// connections have a running request.
    pub async fn admit(&self) -> Option<Account> {
        loop {
            let mut returned = pin!(self.inner.returned.notified());
            returned.as_mut().enable();
            {
                let mut state = self.state();
                match state.holdings.admit() {
                    Verdict::Granted => return Some(self.insert(&mut state, Stage::Idle)),
                    Verdict::Refused => return None,
                    Verdict::Wait(peers) => self.close(&state, &peers, Shortage::Connections),
                }
            }
            returned.await;
        }
    }

    /// Opens an account that is closed last: that of a request which another host relays.
    pub fn open_running(&self) -> Account {
        self.insert(&mut self.state(), Stage::Running)
    }

    /// Opens an account that is never closed: that of the platform or another host.
    pub fn open_own(&self) -> Account {
        self.insert(&mut self.state(), Stage::Own)
    }

    fn insert(&self, state: &mut State, stage: Stage) -> Account {
        let key = state.holdings.open(Instant::now(), stage);
        let signal = Arc::<Signal>::default();
        state.signals.insert(key, signal.clone());
        Account {
            owner: Arc::new(Owner {
                budget: self.clone(),
                key,
                signal,
            }),
        }
    }

    fn close(&self, state: &State, peers: &[PeerKey], shortage: Shortage) {
        for signal in peers.iter().filter_map(|key| state.signals.get(key)) {
            signal.is_set.store(true, Ordering::Release);
            signal.set.notify_waiters();
            (self.inner.report)(shortage);
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        let state = self.inner.state.lock();
        state.unwrap_or_else(PoisonError::into_inner)
    }

    fn notify_returned(&self) {
        self.inner.returned.notify_waiters();
        self.inner.returned_to_threads.notify_all();
    }
}

impl fmt::Debug for Budget {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Budget")
    }
}

/// The memory that a process may use, in bytes: `configured` megabytes, but no more than the machine
/// has.
pub fn available_memory(configured: Option<u32>) -> u64 {
    let configured = configured.map(|megabytes| u64::from(megabytes) << 20);
    let machine = nix::sys::sysinfo::sysinfo()
        .ok()
        .map(|info| info.ram_total());
    let group = std::fs::read_to_string(GROUP_LIMIT).ok();
    let group = group.and_then(|text| text.trim().parse().ok());
    let address_space = Resource::AS.get_soft().ok();
    [configured, machine, group, address_space]
        .into_iter()
        .flatten()
        .min()
        .unwrap_or(DEFAULT_MEMORY)
}

/// The descriptors that a process may open: `configured`, but no more than the system allows.
pub fn available_descriptors(configured: Option<u32>) -> u64 {
    let allowed = Resource::NOFILE.get_soft().unwrap_or(DEFAULT_DESCRIPTORS);
    configured.map_or(allowed, |count| allowed.min(count.into()))
}

fn share(whole: u64, part: f64) -> usize {
    (whole as f64 * part) as usize
}

/// What is held for one peer. Copies share the account, which ends with the last of them and of its
/// charges.
#[derive(Clone)]
pub struct Account {
    owner: Arc<Owner>,
}

struct Owner {
    budget: Budget,
    key: PeerKey,
    signal: Arc<Signal>,
}

impl Drop for Owner {
    fn drop(&mut self) {
        {
            let mut state = self.budget.state();
            state.holdings.remove(self.key);
            state.signals.remove(&self.key);
        }
        self.budget.notify_returned();
    }
}

impl fmt::Debug for Account {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_tuple("Account").field(&self.owner.key).finish()
    }
}

impl Account {
    /// Records what the peer is doing from now on.
    pub fn set_stage(&self, stage: Stage) {
        let mut state = self.owner.budget.state();
        state
            .holdings
            .set_stage(self.owner.key, Instant::now(), stage);
    }

    /// What the peer is doing.
    pub fn stage(&self) -> Option<Stage> {
        self.owner.budget.state().holdings.stage(self.owner.key)
    }

    /// Has the peer closed, as others lack something that it uses.
    pub fn close(&self, shortage: Shortage) {
        let mut state = self.owner.budget.state();
        if state.holdings.close(self.owner.key) {
            self.owner.budget.close(&state, &[self.owner.key], shortage);
        }
    }

    /// Whether the peer has to be closed.
    pub fn is_closing(&self) -> bool {
        self.owner.signal.is_set.load(Ordering::Acquire)
    }

    /// Waits until the peer has to be closed.
    pub async fn wait_for_closing(&self) {
        let signal = &self.owner.signal;
        let mut set = pin!(signal.set.notified());
        set.as_mut().enable();
        if !self.is_closing() {
            set.await;
        }
    }

    /// Charges bytes that are about to be allocated for the peer, once they may be held.
    ///
    /// # Errors
    ///
    /// The peer has to be closed.
    pub async fn charge(&self, bytes: usize) -> Result<Charge, Exceeded> {
        let mut charge = Charge::new(self);
        charge.grow(bytes).await?;
        Ok(charge)
    }

    /// Charges bytes if they may be held. Returns whether they were charged.
    fn try_add(&self, bytes: usize) -> Result<bool, Exceeded> {
        let budget = &self.owner.budget;
        let mut state = budget.state();
        match state.holdings.charge(self.owner.key, bytes) {
            Verdict::Granted => Ok(true),
            Verdict::Refused => Err(Exceeded),
            Verdict::Wait(peers) => {
                budget.close(&state, &peers, Shortage::Memory);
                Ok(false)
            }
        }
    }
}

/// Bytes that are charged to an account until this is dropped.
#[derive(Debug)]
pub struct Charge {
    account: Account,
    bytes: usize,
}

impl Charge {
    /// Creates a charge of nothing.
    pub fn new(account: &Account) -> Self {
        Self {
            account: account.clone(),
            bytes: 0,
        }
    }

    /// The number of bytes.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Charges more bytes, once they may be held.
    ///
    /// # Errors
    ///
    /// The peer has to be closed, or others have not returned enough in time. The charge stays as it
    /// was.
    pub async fn grow(&mut self, bytes: usize) -> Result<(), Exceeded> {
        if !self.try_grow(bytes)? {
            // Boxed, so that a charge takes little memory while it need not wait.
            Box::pin(self.wait_and_grow(bytes)).await?;
        }
        Ok(())
    }

    async fn wait_and_grow(&mut self, bytes: usize) -> Result<(), Exceeded> {
        let budget = self.account.owner.budget.clone();
        let mut timeout = pin!(tokio::time::sleep(MAX_WAIT));
        loop {
            let mut returned = pin!(budget.inner.returned.notified());
            returned.as_mut().enable();
            if self.try_grow(bytes)? {
                return Ok(());
            }
            tokio::select! {
                () = returned => {}
                () = self.account.wait_for_closing() => return Err(Exceeded),
                () = &mut timeout => return Err(Exceeded),
            }
        }
    }

    /// Charges more bytes, if they may be held now. Returns whether they were charged.
    ///
    /// # Errors
    ///
    /// The peer has to be closed.
    pub fn try_grow(&mut self, bytes: usize) -> Result<bool, Exceeded> {
        let is_charged = self.account.try_add(bytes)?;
        self.bytes += if is_charged { bytes } else { 0 };
        Ok(is_charged)
    }

    /// Charges more bytes, and blocks the thread until they may be held.
    ///
    /// # Errors
    ///
    /// The peer has to be closed, or others have not returned enough in time or until `deadline`.
    /// The charge stays as it was.
    pub fn grow_blocking(&mut self, bytes: usize, deadline: Instant) -> Result<(), Exceeded> {
        let deadline = deadline.min(Instant::now() + MAX_WAIT);
        while !self.account.try_add(bytes)? {
            let left = deadline.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return Err(Exceeded);
            }
            let inner = &self.account.owner.budget.inner;
            let state = self.account.owner.budget.state();
            // What is returned before the wait begins is noticed after this time.
            let pause = left.min(MAX_BLOCKED_WAIT);
            drop(inner.returned_to_threads.wait_timeout(state, pause));
        }
        self.bytes += bytes;
        Ok(())
    }

    /// Returns bytes that were freed.
    pub fn shrink(&mut self, bytes: usize) {
        self.bytes -= bytes;
        let budget = &self.account.owner.budget;
        budget
            .state()
            .holdings
            .release(self.account.owner.key, bytes);
        budget.notify_returned();
    }
}

impl Drop for Charge {
    fn drop(&mut self) {
        if self.bytes > 0 {
            self.shrink(self.bytes);
        }
    }
}

/// A buffer whose capacity is charged to an account.
pub struct Buffer {
    bytes: Vec<u8>,
    charge: Charge,
    /// The number of bytes that are expected in all, if that is known.
    expected: Option<usize>,
}

impl Buffer {
    /// Creates an empty buffer.
    pub fn new(account: &Account) -> Self {
        Self {
            bytes: Vec::new(),
            charge: Charge::new(account),
            expected: None,
        }
    }

    /// Sets the number of bytes that are expected in all, if that is known. So many are allocated at
    /// once.
    pub fn with_expected(mut self, bytes: Option<usize>) -> Self {
        self.expected = bytes;
        self
    }

    /// The number of bytes in it.
    pub fn len(&self) -> usize {
        self.bytes.len()
    }

    /// Whether there is nothing in it.
    pub fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    /// Appends bytes, once there may be room for them.
    ///
    /// # Errors
    ///
    /// The peer has to be closed.
    pub async fn append(&mut self, bytes: &[u8]) -> Result<(), Exceeded> {
        let capacity = self.needed_capacity(bytes.len());
        if let Some(capacity) = capacity {
            self.charge.grow(capacity).await?;
            self.reallocate(capacity);
        }
        self.bytes.extend_from_slice(bytes);
        Ok(())
    }

    /// Appends bytes as [`Buffer::append`] does, and blocks the thread until there may be room.
    ///
    /// # Errors
    ///
    /// The peer has to be closed, or there was no room until `deadline`.
    pub fn append_blocking(&mut self, bytes: &[u8], deadline: Instant) -> Result<(), Exceeded> {
        let capacity = self.needed_capacity(bytes.len());
        if let Some(capacity) = capacity {
            self.charge.grow_blocking(capacity, deadline)?;
            self.reallocate(capacity);
        }
        self.bytes.extend_from_slice(bytes);
        Ok(())
    }

    /// The capacity that the buffer has to have for `more` bytes, if it has less.
    fn needed_capacity(&self, more: usize) -> Option<usize> {
        let length = self.bytes.len() + more;
        let capacity = self.bytes.capacity();
        let doubled = || capacity.saturating_mul(2).max(MIN_CAPACITY);
        (length > capacity).then(|| length.max(self.expected.unwrap_or_else(doubled)))
    }

    /// Moves the content to an allocation of so many bytes, which have been charged.
    fn reallocate(&mut self, capacity: usize) {
        let old = self.charge.bytes - capacity;
        self.bytes.reserve_exact(capacity - self.bytes.len());
        self.charge.shrink(old);
    }

    /// The content, which stays charged until its last part is dropped.
    pub fn freeze(self) -> Bytes {
        Bytes::from_owner(self)
    }
}

impl AsRef<[u8]> for Buffer {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}
