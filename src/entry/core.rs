//! The core: the actor that decides, on a stakker thread of its own, and the handle to it.
//!
//! A worker sends an event and waits for the verdict on a channel. Requests that ask are counted;
//! beyond a bound they are refused here, without waiting for the core.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Weak};
use std::thread;
use std::time::{Duration, Instant};

use arc_swap::ArcSwap;
use crossbeam_channel::{bounded, unbounded, Receiver, RecvTimeoutError, Sender};
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use stakker::{actor, after, call, ret_nop, ActorOwn, Stakker, CX};

use super::background::{self, Later, Queue};
use super::call::Call;
use super::config_sync;
use super::control::{Change, Control};
use super::metrics::Metrics;
use super::platform;
use super::published::{Readiness, State};
use super::status::Status;
use super::{Error, Published};
use crate::border::settings::Settings;
use crate::catalog::{Catalog, HostKey, ServiceKey, TargetKey};
use crate::control::plan::Record;
use crate::control::wire::Frame;
use crate::control::{lease, publish};
use crate::peer::mesh::{self, Mesh};
use crate::steer::attempt::Reason;
use crate::steer::dedupe::{Begin, End, Identity, Keys, Run};
use crate::steer::engine::{AttemptKind, Decision, Engine, Id, Refusal, RouteRequest, Verdict};
use crate::steer::fingerprint::Fingerprint;
use crate::steer::group;
use crate::steer::pass::{Back, Pass};
use crate::steer::quarantine::Notice;
use crate::steer::throttle::{Rate, RateUpdate};
use crate::steer::ticket::{Generation, Rotation};
use crate::store::client::Host;

/// Requests that may wait for a verdict at once.
const MAX_ASKING: usize = 8192;
/// Events handled before timers are looked at.
const BATCH: usize = 64;
/// How often the engine is woken if nothing else does.
const TICK: Duration = Duration::from_millis(50);
/// Shortest time between two wake-ups by the engine.
const MIN_TICK: Duration = Duration::from_millis(1);
/// How often what is known is acted on if nothing changed.
const REFRESH: Duration = Duration::from_millis(500);
/// Shortest time between two such acts.
const MIN_REFRESH: Duration = Duration::from_millis(100);
/// Time between measurements of this host's own targets.
const MEASURE: Duration = Duration::from_secs(1);
/// Longest sleep of the core's thread.
const MAX_SLEEP: Duration = Duration::from_secs(1);

/// What the core is told.
pub(crate) enum Event {
    /// A request asks where to go.
    Ask(RouteRequest, Sender<Verdict>),
    /// A request left a target.
    Finish(group::Grant, group::Report),
    /// A try that began then broke off at a target, after the request had been sent and before its answer was whole.
    Broke(Fingerprint, TargetKey, Instant),
    /// A target has answered a request.
    Answered(Fingerprint),
    /// What a target's answer says of its rate, to a request that was sent then.
    Rate(TargetKey, Instant, Rate),
    /// A request has ended.
    Done(Id),
    /// A request left an entry host of another zone.
    Passed(Pass, Back),
    /// A waiting request is no longer wanted.
    Cancel(Id),
    /// A request wants a second copy after a while, if it has no answer by then.
    Hedge(Weak<Call>, Duration),
    /// A request with an idempotency key asks whether it may run.
    Begin {
        /// Its service.
        service: ServiceKey,
        /// Its key.
        key: Arc<str>,
        /// The generation of its ticket.
        generation: Generation,
        /// What tells it from another request with that key.
        identity: Identity,
        /// Gets the answer.
        reply: Sender<Begin>,
        /// Gets the end of the run that it joins.
        waiter: Sender<End>,
    },
    /// The run of a key ended.
    End(Run, End),
    /// The outcome of a question about the planner lease.
    Leased(lease::Event),
    /// The plan that was found in the store.
    Stored(Box<Record>),
    /// The outcome of a question about the plan.
    Published(publish::Event),
    /// The platform's list of hosts.
    Listed(Vec<Host>),
    /// What a target says of itself when asked.
    Health(TargetKey, group::Health, Option<group::State>),
    /// This host takes no new work any more.
    Leave,
    /// What this host knows and does, for operators.
    Status(Sender<Status>),
    /// The links to other hosts are there.
    Mesh(Arc<Mesh>),
    /// A link to another host changed, or a message came over it.
    Peer(mesh::Event),
    /// A configuration comes into force.
    Catalog(Arc<Catalog>),
    /// The thread ends.
    Stop,
}

/// The way to the core, for other threads.
#[derive(Clone)]
pub(crate) struct Handle {
    events: Sender<Event>,
    asking: Arc<AtomicUsize>,
    /// Targets of the own zone that name a rate.
    limited: Arc<ArcSwap<BTreeSet<TargetKey>>>,
}

impl Handle {
    /// Asks where a request goes, waiting no longer than its deadline.
    pub(crate) fn ask(&self, ask: RouteRequest) -> Verdict {
        let id = ask.id;
        let time = ask.deadline.saturating_duration_since(Instant::now());
        if self.asking.fetch_add(1, Ordering::Relaxed) >= MAX_ASKING {
            self.asking.fetch_sub(1, Ordering::Relaxed);
            return refused(Reason::Crowded);
        }
        let (sender, receiver) = bounded(1);
        self.send(Event::Ask(ask, sender));
        let verdict = receiver.recv_timeout(time);
        self.asking.fetch_sub(1, Ordering::Relaxed);
        match verdict {
            Ok(verdict) => verdict,
            Err(RecvTimeoutError::Disconnected) => refused(Reason::Leaving),
            Err(RecvTimeoutError::Timeout) => {
                self.send(Event::Cancel(id));
                // The verdict may have been given meanwhile; a grant must not be lost.
                drop_grant(self, &receiver);
                refused(Reason::Timeout)
            }
        }
    }

    /// Tells the core what an answer says of its target's rate, if that can change anything.
    pub(crate) fn send_rate(&self, target: TargetKey, at: Instant, rate: &Rate) {
        if *rate != Rate::Absent || self.is_limited(target) {
            self.send(Event::Rate(target, at, rate.clone()));
        }
    }

    /// Whether a target names a rate, so that it gets no more than its part of that of this host.
    pub(crate) fn is_limited(&self, target: TargetKey) -> bool {
        self.limited.load().contains(&target)
    }

    /// Tells the core something that asks for no answer.
    pub(crate) fn send(&self, event: Event) {
        // The core outlives all that send to it, except while the process ends.
        let _ = self.events.send(event);
    }
}

fn drop_grant(handle: &Handle, receiver: &Receiver<Verdict>) {
    match receiver.recv_timeout(MAX_SLEEP) {
        Ok(Verdict::Target { grant, .. }) => {
            handle.send(Event::Finish(grant, group::Report::unused()));
        }
        Ok(Verdict::Host(pass)) => handle.send(Event::Passed(pass, Back::All)),
        _ => {}
    }
}

fn refused(reason: Reason) -> Verdict {
    Verdict::Refused(Refusal::new(reason))
}

/// What the core is made from.
pub(crate) struct Parts {
    pub(crate) settings: Arc<Settings>,
    pub(crate) published: Arc<Published>,
    pub(crate) later: Queue,
    pub(crate) rotation: Rotation,
    pub(crate) incarnation: u64,
    pub(crate) platform: Sender<platform::Ask>,
    pub(crate) feed: config_sync::Queue,
    pub(crate) metrics: Arc<Metrics>,
    /// Set while this host is a delegate of its zone.
    pub(crate) delegate: Arc<AtomicBool>,
}

/// Starts the core's thread.
pub(crate) fn start(parts: Parts) -> Result<Handle, Error> {
    let (sender, receiver) = unbounded();
    let handle = Handle {
        events: sender,
        asking: Arc::default(),
        limited: Arc::default(),
    };
    let own = handle.clone();
    thread::Builder::new()
        .name("core".into())
        .spawn(move || run(parts, own, &receiver))?;
    Ok(handle)
}

fn run(parts: Parts, handle: Handle, events: &Receiver<Event>) {
    let mut stakker = Stakker::new(Instant::now());
    let stakker = &mut stakker;
    let core = actor!(stakker, Core::init(parts, handle), ret_nop!());
    loop {
        let now = Instant::now();
        stakker.run(now, false);
        let wait = stakker.next_wait_max(now, MAX_SLEEP, false);
        match events.recv_timeout(wait) {
            Ok(Event::Stop) | Err(RecvTimeoutError::Disconnected) => return,
            Ok(event) => pass(&core, event),
            Err(RecvTimeoutError::Timeout) => continue,
        }
        for event in events.try_iter().take(BATCH) {
            if matches!(event, Event::Stop) {
                return;
            }
            pass(&core, event);
        }
    }
}

fn pass(core: &ActorOwn<Core>, event: Event) {
    call!([core], event(event));
}

/// The actor.
struct Core {
    parts: Parts,
    handle: Handle,
    engine: Engine,
    keys: Keys<Sender<End>>,
    control: Control,
    dirty: bool,
    leaving: bool,
    refresh: Instant,
    measure: Instant,
    rng: Pcg64Mcg,
    asking: BTreeMap<Id, Sender<Verdict>>,
    /// Targets whose rates could not be read, which was logged.
    unreadable: BTreeSet<TargetKey>,
}

impl Core {
    fn init(cx: CX![], parts: Parts, handle: Handle) -> Option<Self> {
        after!(TICK, [cx], tick());
        Some(Self {
            engine: Engine::new(&parts.settings.steer, parts.incarnation)
                .with_host(parts.settings.host.as_str().into()),
            keys: Keys::new(parts.rotation),
            rng: Pcg64Mcg::seed_from_u64(parts.incarnation),
            asking: BTreeMap::new(),
            unreadable: BTreeSet::new(),
            control: Control::new(
                &parts.settings.host,
                parts.incarnation,
                parts.platform.clone(),
                parts.feed.clone(),
                parts.delegate.clone(),
            ),
            dirty: false,
            leaving: false,
            refresh: cx.now(),
            measure: cx.now(),
            handle,
            parts,
        })
    }

    fn event(&mut self, cx: CX![], event: Event) {
        let now = cx.now();
        match event {
            Event::Ask(ask, reply) => self.ask(now, ask, reply),
            Event::Finish(grant, report) => {
                let decisions = self.engine.finish(now, grant, report, &mut self.rng);
                self.tell(decisions);
            }
            Event::Broke(fingerprint, target, begun) => {
                self.engine.record_crash(now, fingerprint, target, begun);
                self.tell_notes();
            }
            Event::Answered(fingerprint) => {
                self.engine.record_answer(now, fingerprint);
                self.tell_notes();
            }
            Event::Rate(target, at, rate) => self.take_rate(now, target, at, &rate),
            Event::Done(id) => self.engine.release_suspect_permit(id),
            Event::Passed(pass, back) => self.engine.finish_pass(now, &pass, back),
            Event::Hedge(call, after) => {
                after!(after, [cx], hedge(call));
            }
            Event::Begin {
                service,
                key,
                generation,
                identity,
                reply,
                waiter,
            } => {
                let begin = self
                    .keys
                    .begin(now, service, key, generation, identity, waiter);
                let _ = reply.send(begin);
            }
            Event::End(run, end) => {
                for waiter in self.keys.end(&run, end.clone()) {
                    let _ = waiter.send(end.clone());
                }
            }
            Event::Cancel(id) => {
                self.engine.cancel(id);
                self.asking.remove(&id);
            }
            Event::Catalog(catalog) => {
                self.configure(now, catalog);
            }
            Event::Leased(event) => self.control.leased(now, event, &mut self.rng),
            Event::Stored(record) => self.control.stored(now, *record),
            Event::Published(event) => self.control.published(now, event, &mut self.rng),
            Event::Listed(hosts) => self.control.listed(now, &hosts),
            Event::Health(target, health, state) => {
                self.engine.set_health(now, target, health, state);
            }
            Event::Leave => {
                self.leaving = true;
                self.control.leave(now);
                self.refresh(now);
            }
            Event::Status(reply) => {
                let _ = reply.send(self.status(now));
            }
            Event::Mesh(mesh) => self.control.set_mesh(mesh),
            Event::Peer(event) => {
                let change = self.control.peer(now, event);
                self.take(now, change);
            }
            Event::Stop => {}
        }
    }

    fn ask(&mut self, now: Instant, ask: RouteRequest, reply: Sender<Verdict>) {
        let id = ask.id;
        let verdict = self.engine.submit(now, ask, &mut self.rng);
        self.tell_notes();
        match verdict {
            Some(verdict) => {
                // The worker waits until its deadline; after that it takes the grant back itself.
                let _ = reply.send(verdict);
            }
            None => {
                self.asking.insert(id, reply);
            }
        }
    }

    /// Tells other hosts what is new here of requests that crash targets.
    fn tell_notes(&mut self) {
        let notes = self.engine.notes();
        if notes.is_empty() {
            return;
        }
        for note in &notes {
            log_note(note);
        }
        self.control.tell(Frame::Notes(notes), None);
    }

    /// Takes in what a target's answer said of its rate, and tells other hosts if that is new.
    fn take_rate(&mut self, now: Instant, target: TargetKey, at: Instant, rate: &Rate) {
        let rate = match rate {
            Rate::Named(rate) => Some(*rate),
            Rate::Absent => None,
            Rate::Unreadable(text) => {
                if self.unreadable.insert(target) {
                    let name = &self.engine.catalog().target(target).name;
                    spdlog::warn!("core: the rate '{text}' that target {name} names is no decimal number and changes nothing");
                }
                return;
            }
        };
        self.unreadable.remove(&target);
        if let Some(news) = self.engine.record_rate(now, target, at, rate) {
            log_rate(&self.engine.catalog().target(target).name, rate);
            self.control.tell(Frame::Rates(vec![news]), None);
        }
        self.show_limited();
    }

    /// Takes in what other hosts know of targets' rates, and passes on what is new.
    fn hear_rates(&mut self, now: Instant, rates: Vec<(HostKey, RateUpdate)>) {
        for (teller, news) in rates {
            if self.engine.merge_rate(now, &news) {
                self.control.tell(Frame::Rates(vec![news]), Some(teller));
            }
        }
        self.show_limited();
    }

    /// Shows those who call targets which of them name a rate: only of these an answer without one tells something.
    fn show_limited(&self) {
        self.handle
            .limited
            .store(Arc::new(self.engine.rate_limited_targets()));
    }

    /// Takes in what other hosts tell of requests that crash targets, and passes on what is new.
    fn hear_notes(&mut self, now: Instant, notes: Vec<(HostKey, Notice)>) {
        for (teller, note) in notes {
            if self.engine.merge_note(now, &note) {
                log_note(&note);
                self.control.tell(Frame::Notes(vec![note]), Some(teller));
            }
            self.tell_notes();
        }
    }

    fn configure(&mut self, now: Instant, catalog: Arc<Catalog>) {
        let settings = &self.parts.settings;
        self.control.configure(now, &catalog);
        self.engine
            .configure(now, catalog, &settings.availability_zone);
        self.refresh(now);
    }

    /// Takes in what came of control.
    fn take(&mut self, now: Instant, change: Change) {
        if let Some(splits) = change.splits {
            self.engine.adopt_splits(now, splits);
            self.dirty = true;
        }
        if !change.joined.is_empty() {
            self.control
                .send_splits(&change.joined, &self.engine.splits());
            let standings = self.engine.standings(now);
            let rates = self.engine.known_rates(now);
            self.control.introduce(&change.joined, standings, rates);
        }
        self.hear_notes(now, change.notes);
        self.hear_rates(now, change.rates);
        self.dirty |= change.picture;
    }

    /// Acts on what is known of hosts and zones now, and publishes what look-ups are answered from.
    fn refresh(&mut self, now: Instant) {
        self.dirty = false;
        self.refresh = now + REFRESH;
        let (view, free) = self.control.view(now);
        if let Some(agent) = self.control.agent() {
            self.engine.set_live(now, agent.live_hosts());
        }
        self.engine.set_free_slots(free);
        self.engine.set_view(now, view);
        self.show_limited();
        self.parts.published.put(State {
            catalog: self.engine.catalog().clone(),
            lookup: self.engine.lookup_snapshot(),
            readiness: match self.leaving {
                true => Readiness::Leaving,
                false if self.engine.is_settling(now) => Readiness::Starting,
                false => Readiness::Ready,
            },
        });
    }

    /// Shows what is left of regions and links.
    fn show(&mut self, now: Instant) {
        let metrics = &self.parts.metrics;
        let catalog = self.engine.catalog().clone();
        metrics.revision(catalog.revision);
        for (region, free) in self.control.region_rooms(now) {
            metrics.headroom("region", &catalog.region(region).name, free);
        }
        for ((from, to), free) in self.engine.link_headroom(now) {
            if let Some(link) = catalog.link(from, to) {
                metrics.headroom("link", &link.name, free);
            }
        }
    }

    fn status(&self, now: Instant) -> Status {
        Status::new(
            now,
            &self.parts.settings,
            self.parts.incarnation,
            &self.engine,
            self.control.agent(),
        )
    }

    /// Sends a second copy of a request that still has no answer, if budget and room allow it.
    fn hedge(&mut self, cx: CX![], call: Weak<Call>) {
        let Some(call) = call.upgrade().filter(|call| !call.is_answered()) else {
            return;
        };
        let ask = call.ask(AttemptKind::Hedge);
        let id = ask.id;
        match self.engine.submit(cx.now(), ask, &mut self.rng) {
            Some(Verdict::Target { grant, .. }) => {
                if let Err(full) = self.parts.later.try_send(Later::Hedge(call, grant)) {
                    background::give_back(&self.handle, full.into_inner());
                }
            }
            Some(Verdict::Host(pass)) => {
                self.engine.finish_pass(cx.now(), &pass, Back::All);
            }
            Some(Verdict::Refused(_)) => {}
            None => self.engine.cancel(id),
        }
    }

    fn tell(&mut self, decisions: Vec<Decision>) {
        for (id, verdict) in decisions {
            if let Some(reply) = self.asking.remove(&id) {
                let _ = reply.send(verdict);
            }
        }
    }

    fn tick(&mut self, cx: CX![]) {
        let now = cx.now();
        let decisions = self.engine.tick(now, &mut self.rng);
        self.tell(decisions);
        self.tell_notes();
        if now >= self.measure {
            self.measure = now + MEASURE;
            let loads = self.engine.service_loads(now);
            let splits = self.engine.splits();
            self.control.measure(now, loads, &splits);
            self.show(now);
        }
        let change = self.control.tick(now, &mut self.rng);
        self.take(now, change);
        if now >= self.refresh || (self.dirty && now + REFRESH >= self.refresh + MIN_REFRESH) {
            self.refresh(now);
        }
        let wake = self.engine.next_wake(now).unwrap_or(now + TICK);
        let pause = wake.saturating_duration_since(now).clamp(MIN_TICK, TICK);
        after!(pause, [cx], tick());
    }
}

/// How a request stands that crashes targets has changed.
fn log_rate(target: &str, rate: Option<f64>) {
    match rate {
        Some(rate) => {
            spdlog::info!("core: target {target} takes {rate} requests a second from all hosts")
        }
        None => spdlog::info!("core: target {target} names no rate any more"),
    }
}

fn log_note(note: &Notice) {
    let fingerprint = note.fingerprint();
    match note {
        Notice::Broken(_) => {}
        Notice::Status(standing) => match standing.refused {
            None => spdlog::info!("core: requests {fingerprint} broke off at two targets and are sent one at a time"),
            Some(term) => spdlog::warn!(
                "core: requests {fingerprint} crash the targets that run them and are refused; tried again in {} ms, {} trials in vain",
                term.due_ms,
                term.failures
            ),
        },
        Notice::Cleared(_) => spdlog::info!("core: a request {fingerprint} was answered; nothing is held against it"),
    }
}
