//! The core actor, which makes all routing decisions on its own stakker thread, and the handle to it.
//!
//! A worker sends an event and waits for the verdict on a channel. Requests that wait for a verdict are
//! counted; above [`MAX_WAITING_REQUESTS`] the handle refuses them without asking the core.

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

use super::background::{self, BackgroundTask, TaskSender};
use super::call::Call;
use super::config_sync;
use super::control::{Control, ControlUpdate};
use super::metrics::Metrics;
use super::platform;
use super::published::{Readiness, State};
use super::status::Status;
use super::{Error, Published};
use crate::border::settings::Settings;
use crate::catalog::{Catalog, HostKey, ServiceKey, TargetKey};
use crate::control::plan::PlanRecord;
use crate::control::wire::Frame;
use crate::control::{lease, publish};
use crate::peer::mesh::{self, Mesh};
use crate::steer::announcement::RequestedRest;
use crate::steer::attempt::Reason;
use crate::steer::dedupe::{
    Admission, IdempotencyTable, Identity, RunOutcome, RunPermit, DEFAULT_MAX_RECORDS,
};
use crate::steer::engine::{AttemptKind, Decision, Engine, Id, Refusal, RouteRequest, Verdict};
use crate::steer::fingerprint::Fingerprint;
use crate::steer::group;
use crate::steer::quarantine::Notice;
use crate::steer::relay_permit::{PermitUsage, RelayPermit};
use crate::steer::throttle::{Rate, RateUpdate};
use crate::steer::ticket::{Generation, Rotation};
use crate::store::client::Host;
use crate::supervisor::Supervisor;

/// Maximum number of requests that wait for a verdict at the same time.
const MAX_WAITING_REQUESTS: usize = 8192;
/// Maximum number of events handled before due timers are run.
const MAX_EVENTS_PER_BATCH: usize = 64;
/// Longest time between two ticks of the engine.
const TICK_INTERVAL: Duration = Duration::from_millis(50);
/// Shortest time between two ticks of the engine.
const MIN_TICK_INTERVAL: Duration = Duration::from_millis(1);
/// Time between two updates of the engine's view and the published state if nothing changed.
const REFRESH_INTERVAL: Duration = Duration::from_millis(500);
/// Shortest time between two such updates after a change.
const MIN_REFRESH_INTERVAL: Duration = Duration::from_millis(100);
/// Time between two measurements of the load of this zone's targets.
const MEASUREMENT_INTERVAL: Duration = Duration::from_secs(1);
/// Longest time the core's thread waits for an event.
const MAX_SLEEP: Duration = Duration::from_secs(1);

/// A message to the core.
pub(crate) enum Event {
    /// A request needs a destination; the verdict is sent to the given channel.
    Route(RouteRequest, Sender<Verdict>),
    /// An attempt at a target ended.
    TargetFinished(group::Grant, group::Report),
    /// An attempt, begun at the given time, broke off at a target after the request had been sent and before its
    /// answer was complete.
    AttemptBroken(Fingerprint, TargetKey, Instant),
    /// A target answered a request with this fingerprint.
    RequestAnswered(Fingerprint),
    /// The rate in a target's answer to a request that was sent at the given time.
    TargetRate(TargetKey, Instant, Rate),
    /// The rest that a target's answer asks for.
    TargetRest(TargetKey, RequestedRest),
    /// A request has ended.
    RequestDone(Id),
    /// A relay to another entry host ended.
    RelayFinished(RelayPermit, PermitUsage),
    /// Another entry host refused a relayed request.
    RelayRefused(HostKey),
    /// A request no longer waits for its verdict.
    Cancel(Id),
    /// Hedge a request after this time unless it has been answered by then.
    Hedge(Weak<Call>, Duration),
    /// Starts or joins the run of an idempotency key.
    BeginKey {
        /// The service of the request.
        service: ServiceKey,
        /// The idempotency key.
        key: Arc<str>,
        /// The generation of the ticket sent with the key.
        generation: Generation,
        /// Distinguishes the request from another one with the same key.
        identity: Identity,
        /// Receives whether the request may run.
        reply: Sender<Admission>,
        /// Receives the end of the run that the request joins.
        waiter: Sender<RunOutcome>,
    },
    /// The run of an idempotency key ended.
    EndKey(RunPermit, RunOutcome),
    /// The result of a store operation on the planner lease.
    LeaseResult(lease::Event),
    /// The plan read from the store.
    StoredPlan(Box<PlanRecord>),
    /// The result of a store operation on the plan.
    PlanResult(publish::Event),
    /// The platform's list of hosts.
    HostList(Vec<Host>),
    /// The result of a health check of a target.
    Health(TargetKey, group::Health, Option<group::State>),
    /// This host starts to leave.
    Leave,
    /// Requests a status report for operators.
    Status(Sender<Status>),
    /// The mesh of links to other hosts was created.
    Mesh(Arc<Mesh>),
    /// A link to another host went up or down, or delivered a message.
    Peer(mesh::Event),
    /// A new configuration is in force.
    Catalog(Arc<Catalog>),
    /// Ends the core's thread.
    Stop,
}

/// Sends events to the core from other threads.
#[derive(Clone)]
pub(crate) struct Handle {
    events: Sender<Event>,
    waiting: Arc<AtomicUsize>,
    /// Targets of this host's zone that state a rate.
    rate_limited: Arc<ArcSwap<BTreeSet<TargetKey>>>,
    /// Targets of this host's zone that rest.
    resting: Arc<ArcSwap<BTreeSet<TargetKey>>>,
}

impl Handle {
    /// Requests a destination and waits for the verdict until the request's deadline.
    pub(crate) fn route(&self, request: RouteRequest) -> Verdict {
        let id = request.id;
        let time = request.deadline.saturating_duration_since(Instant::now());
        if self.waiting.fetch_add(1, Ordering::Relaxed) >= MAX_WAITING_REQUESTS {
            self.waiting.fetch_sub(1, Ordering::Relaxed);
            return refused(Reason::Crowded);
        }
        let (sender, receiver) = bounded(1);
        self.send(Event::Route(request, sender));
        let verdict = receiver.recv_timeout(time);
        self.waiting.fetch_sub(1, Ordering::Relaxed);
        match verdict {
            Ok(verdict) => verdict,
            Err(RecvTimeoutError::Disconnected) => refused(Reason::Leaving),
            Err(RecvTimeoutError::Timeout) => {
                self.send(Event::Cancel(id));
                // The verdict may have been sent in the meantime; its grant has to be returned.
                return_unused_grant(self, &receiver);
                refused(Reason::Timeout)
            }
        }
    }

    /// Sends the rate of an answer to the core. An answer without one matters only for a target with a known rate.
    pub(crate) fn send_rate(&self, target: TargetKey, at: Instant, rate: &Rate) {
        if *rate != Rate::Absent || self.is_rate_limited(target) {
            self.send(Event::TargetRate(target, at, rate.clone()));
        }
    }

    /// Whether a target states a rate, of which this host may use only its share.
    pub(crate) fn is_rate_limited(&self, target: TargetKey) -> bool {
        self.rate_limited.load().contains(&target)
    }

    /// Sends the rest that an answer asks for to the core.
    pub(crate) fn send_rest(&self, target: TargetKey, rest: &RequestedRest) {
        if *rest != RequestedRest::Absent {
            self.send(Event::TargetRest(target, rest.clone()));
        }
    }

    /// Whether a target wants no health checks: it rests, or they would count against its rate.
    pub(crate) fn wants_no_checks(&self, target: TargetKey) -> bool {
        self.is_rate_limited(target) || self.resting.load().contains(&target)
    }

    /// Sends an event to the core.
    pub(crate) fn send(&self, event: Event) {
        // Sending fails only while the process ends: the core outlives all other senders.
        let _ = self.events.send(event);
    }
}

fn return_unused_grant(handle: &Handle, receiver: &Receiver<Verdict>) {
    match receiver.recv_timeout(MAX_SLEEP) {
        Ok(Verdict::Target { grant, .. }) => {
            handle.send(Event::TargetFinished(grant, group::Report::unused()));
        }
        Ok(Verdict::Host(permit)) => handle.send(Event::RelayFinished(permit, PermitUsage::Unused)),
        _ => {}
    }
}

fn refused(reason: Reason) -> Verdict {
    Verdict::Refused(Refusal::new(reason))
}

/// The settings, channels and shared state that the core uses.
pub(crate) struct Dependencies {
    pub(crate) settings: Arc<Settings>,
    pub(crate) published: Arc<Published>,
    pub(crate) background: TaskSender,
    /// Memory for the records of idempotency keys, in bytes.
    pub(crate) key_bytes: usize,
    pub(crate) rotation: Rotation,
    pub(crate) incarnation: u64,
    pub(crate) store_commands: Sender<platform::StoreCommand>,
    pub(crate) config_events: config_sync::EventSender,
    pub(crate) metrics: Arc<Metrics>,
    /// Set while this host is a delegate of its zone.
    pub(crate) is_delegate: Arc<AtomicBool>,
    pub(crate) supervisor: Supervisor,
}

/// Starts the core's thread.
pub(crate) fn start(
    dependencies: Dependencies,
    failed: Sender<&'static str>,
) -> Result<Handle, Error> {
    let (sender, receiver) = unbounded();
    let handle = Handle {
        events: sender,
        waiting: Arc::default(),
        rate_limited: Arc::default(),
        resting: Arc::default(),
    };
    let own_handle = handle.clone();
    thread::Builder::new().name("core".into()).spawn(move || {
        let supervisor = dependencies.supervisor.clone();
        let ended = supervisor.catch("core", || run(dependencies, own_handle, &receiver));
        if ended.is_none() {
            // Whoever waits for this learns that the host can't go on.
            let _ = failed.send("core");
        }
    })?;
    Ok(handle)
}

fn run(dependencies: Dependencies, handle: Handle, events: &Receiver<Event>) {
    let mut stakker = Stakker::new(Instant::now());
    let stakker = &mut stakker;
    let core = actor!(stakker, Core::init(dependencies, handle), ret_nop!());
    loop {
        let now = Instant::now();
        stakker.run(now, false);
        let wait = stakker.next_wait_max(now, MAX_SLEEP, false);
        match events.recv_timeout(wait) {
            Ok(Event::Stop) | Err(RecvTimeoutError::Disconnected) => return,
            Ok(event) => forward(&core, event),
            Err(RecvTimeoutError::Timeout) => continue,
        }
        for event in events.try_iter().take(MAX_EVENTS_PER_BATCH) {
            if matches!(event, Event::Stop) {
                return;
            }
            forward(&core, event);
        }
    }
}

fn forward(core: &ActorOwn<Core>, event: Event) {
    call!([core], handle_event(event));
}

/// The actor's state.
struct Core {
    dependencies: Dependencies,
    handle: Handle,
    engine: Engine,
    keys: IdempotencyTable<Sender<RunOutcome>>,
    control: Control,
    is_view_stale: bool,
    is_leaving: bool,
    next_refresh: Instant,
    next_measurement: Instant,
    rng: Pcg64Mcg,
    waiting: BTreeMap<Id, Sender<Verdict>>,
    /// Targets whose unreadable rate has been logged.
    unreadable_rates: BTreeSet<TargetKey>,
    /// Targets whose unreadable rest has been logged.
    unreadable_rests: BTreeSet<TargetKey>,
    /// Whether targets could be reached when that was last logged.
    reaches_targets: bool,
}

impl Core {
    fn init(cx: CX![], dependencies: Dependencies, handle: Handle) -> Option<Self> {
        after!(TICK_INTERVAL, [cx], tick());
        Some(Self {
            engine: Engine::new(&dependencies.settings.steer, dependencies.incarnation)
                .with_host(dependencies.settings.host.as_str().into()),
            keys: IdempotencyTable::new(dependencies.rotation)
                .with_capacity(DEFAULT_MAX_RECORDS, dependencies.key_bytes),
            rng: Pcg64Mcg::seed_from_u64(dependencies.incarnation),
            waiting: BTreeMap::new(),
            unreadable_rates: BTreeSet::new(),
            unreadable_rests: BTreeSet::new(),
            reaches_targets: true,
            control: Control::new(
                &dependencies.settings.host,
                dependencies.incarnation,
                dependencies.store_commands.clone(),
                dependencies.config_events.clone(),
                dependencies.is_delegate.clone(),
            ),
            is_view_stale: false,
            is_leaving: false,
            next_refresh: cx.now(),
            next_measurement: cx.now(),
            handle,
            dependencies,
        })
    }

    /// Logs when the links to all targets of the zone are lost, and when they are back.
    fn log_links(&mut self) {
        let reaches_targets = self.engine.reaches_targets();
        if std::mem::replace(&mut self.reaches_targets, reaches_targets) == reaches_targets {
            return;
        }
        if reaches_targets {
            spdlog::info!("core: targets can be reached again");
        } else {
            spdlog::warn!("core: no target of the zone can be reached from this host");
        }
    }

    /// Handles an event. If that panics the event is lost, and the core goes on with the next one.
    fn handle_event(&mut self, cx: CX![], event: Event) {
        let supervisor = self.dependencies.supervisor.clone();
        supervisor.catch("core", || self.apply_event(cx, event));
    }

    fn apply_event(&mut self, cx: CX![], event: Event) {
        let now = cx.now();
        match event {
            Event::Route(request, reply) => self.route(now, request, reply),
            Event::TargetFinished(grant, report) => {
                let decisions = self.engine.finish(now, grant, report, &mut self.rng);
                self.send_verdicts(decisions);
                self.log_links();
            }
            Event::AttemptBroken(fingerprint, target, begun) => {
                self.engine.record_crash(now, fingerprint, target, begun);
                self.broadcast_notices();
            }
            Event::RequestAnswered(fingerprint) => {
                self.engine.record_answer(now, fingerprint);
                self.broadcast_notices();
            }
            Event::TargetRate(target, at, rate) => self.apply_target_rate(now, target, at, &rate),
            Event::TargetRest(target, rest) => self.apply_rest(now, target, &rest),
            Event::RequestDone(id) => self.engine.release_suspect_permit(id),
            Event::RelayFinished(permit, usage) => self.engine.finish_relay(now, &permit, usage),
            Event::RelayRefused(host) => self.engine.record_relay_refusal(now, host),
            Event::Hedge(call, after) => {
                after!(after, [cx], hedge(call));
            }
            Event::BeginKey {
                service,
                key,
                generation,
                identity,
                reply,
                waiter,
            } => {
                let decision = self
                    .keys
                    .begin(now, service, key, generation, identity, waiter);
                let _ = reply.send(decision);
            }
            Event::EndKey(run, end) => {
                for waiter in self.keys.complete(&run, end.clone()) {
                    let _ = waiter.send(end.clone());
                }
            }
            Event::Cancel(id) => {
                self.engine.cancel(id);
                self.waiting.remove(&id);
            }
            Event::Catalog(catalog) => {
                self.configure(now, catalog);
            }
            Event::LeaseResult(event) => self.control.handle_lease_event(now, event, &mut self.rng),
            Event::StoredPlan(record) => self.control.adopt_stored_plan(now, *record),
            Event::PlanResult(event) => {
                self.control.handle_publish_event(now, event, &mut self.rng)
            }
            Event::HostList(hosts) => self.control.apply_host_list(now, &hosts),
            Event::Health(target, health, state) => {
                self.engine.set_health(now, target, health, state);
                self.log_links();
            }
            Event::Leave => {
                self.is_leaving = true;
                self.control.leave(now);
                self.refresh(now);
            }
            Event::Status(reply) => {
                let _ = reply.send(self.status(now));
            }
            Event::Mesh(mesh) => self.control.set_mesh(mesh),
            Event::Peer(event) => {
                let update = self.control.handle_peer_event(now, event);
                self.apply_control_update(now, update);
            }
            Event::Stop => {}
        }
    }

    fn route(&mut self, now: Instant, request: RouteRequest, reply: Sender<Verdict>) {
        let id = request.id;
        let verdict = self.engine.submit(now, request, &mut self.rng);
        self.broadcast_notices();
        match verdict {
            Some(verdict) => {
                // The worker waits until its deadline; after that it returns the grant itself.
                let _ = reply.send(verdict);
            }
            None => {
                self.waiting.insert(id, reply);
            }
        }
    }

    /// Broadcasts this host's new notices about requests that crash targets.
    fn broadcast_notices(&mut self) {
        let notices = self.engine.take_notices();
        if notices.is_empty() {
            return;
        }
        for notice in &notices {
            log_notice(notice);
        }
        self.control.broadcast_update(Frame::Notices(notices), None);
    }

    /// Applies the rate of a target's answer and broadcasts it if it changed.
    fn apply_target_rate(&mut self, now: Instant, target: TargetKey, at: Instant, rate: &Rate) {
        let rate = match rate {
            Rate::Named(rate) => Some(*rate),
            Rate::Absent => None,
            Rate::Unreadable(text) => {
                if self.unreadable_rates.insert(target) {
                    let name = &self.engine.catalog().target(target).name;
                    spdlog::warn!("core: the rate '{text}' that target {name} names is no decimal number and changes nothing");
                }
                return;
            }
        };
        self.unreadable_rates.remove(&target);
        if let Some(update) = self.engine.record_rate(now, target, at, rate) {
            log_rate(&self.engine.catalog().target(target).name, rate);
            self.control
                .broadcast_update(Frame::Rates(vec![update]), None);
        }
        self.publish_rate_limited_targets();
    }

    /// Applies the rest that a target asks for.
    fn apply_rest(&mut self, now: Instant, target: TargetKey, rest: &RequestedRest) {
        let is_new = match rest {
            RequestedRest::Absent => false,
            RequestedRest::For(time) => self.engine.record_rest(now, target, *time),
            RequestedRest::Unreadable(text) => {
                if self.unreadable_rests.insert(target) {
                    let name = &self.engine.catalog().target(target).name;
                    spdlog::warn!("core: the rest '{text}' that target {name} asks for is no decimal number of seconds and changes nothing");
                }
                return;
            }
        };
        if is_new {
            let name = &self.engine.catalog().target(target).name;
            spdlog::info!("core: target {name} wants no requests from this host for a time");
            self.publish_resting_targets(now);
        }
    }

    /// Publishes the targets that rest to the health checks.
    fn publish_resting_targets(&self, now: Instant) {
        let resting = self.engine.resting_targets(now);
        self.handle.resting.store(Arc::new(resting));
    }

    /// Merges target rates received from other hosts and forwards those that changed.
    fn merge_rates(&mut self, now: Instant, rates: Vec<(HostKey, RateUpdate)>) {
        for (source, update) in rates {
            if self.engine.merge_rate(now, &update) {
                self.control
                    .broadcast_update(Frame::Rates(vec![update]), Some(source));
            }
        }
        self.publish_rate_limited_targets();
    }

    /// Publishes the targets with a rate to the workers, which report an answer without a rate only for these.
    fn publish_rate_limited_targets(&self) {
        self.handle
            .rate_limited
            .store(Arc::new(self.engine.rate_limited_targets()));
    }

    /// Merges notices about requests that crash targets from other hosts and forwards new ones.
    fn merge_notices(&mut self, now: Instant, notices: Vec<(HostKey, Notice)>) {
        for (source, notice) in notices {
            if self.engine.merge_notice(now, &notice) {
                log_notice(&notice);
                self.control
                    .broadcast_update(Frame::Notices(vec![notice]), Some(source));
            }
            self.broadcast_notices();
        }
    }

    fn configure(&mut self, now: Instant, catalog: Arc<Catalog>) {
        let settings = &self.dependencies.settings;
        self.control.configure(now, &catalog);
        self.engine
            .configure(now, catalog, &settings.availability_zone);
        self.refresh(now);
    }

    /// Applies the updates that control received from other hosts.
    fn apply_control_update(&mut self, now: Instant, update: ControlUpdate) {
        if let Some(splits) = update.splits {
            self.engine.adopt_splits(now, splits);
            self.is_view_stale = true;
        }
        if !update.joined_hosts.is_empty() {
            self.control
                .send_splits(&update.joined_hosts, &self.engine.splits());
            let standings = self.engine.quarantine_statuses(now);
            let rates = self.engine.known_rates(now);
            self.control
                .send_notices_and_rates(&update.joined_hosts, standings, rates);
        }
        self.merge_notices(now, update.notices);
        self.merge_rates(now, update.rates);
        self.is_view_stale |= update.is_view_changed;
    }

    /// Updates the engine's view of hosts and zones and publishes the state that look-ups read.
    fn refresh(&mut self, now: Instant) {
        self.is_view_stale = false;
        self.next_refresh = now + REFRESH_INTERVAL;
        let (view, free) = self.control.view(now);
        if let Some(agent) = self.control.agent() {
            self.engine.set_live(now, agent.live_hosts());
        }
        self.engine.set_free_slots(free);
        self.engine.set_view(now, view);
        self.publish_rate_limited_targets();
        self.publish_resting_targets(now);
        self.dependencies.published.set(State {
            catalog: self.engine.catalog().clone(),
            lookup: self.engine.lookup_snapshot(),
            readiness: match self.is_leaving {
                true => Readiness::Leaving,
                false if self.engine.is_settling(now) => Readiness::Starting,
                false => Readiness::Ready,
            },
        });
    }

    /// Records the revision and the headroom of regions and links as metrics.
    fn record_headroom(&mut self, now: Instant) {
        let metrics = &self.dependencies.metrics;
        let catalog = self.engine.catalog().clone();
        metrics.set_revision(catalog.revision);
        for (region, free) in self.control.region_headroom(now) {
            metrics.set_headroom("region", &catalog.region(region).name, free);
        }
        for ((from, to), free) in self.engine.link_headroom(now) {
            if let Some(link) = catalog.link(from, to) {
                metrics.set_headroom("link", &link.name, free);
            }
        }
    }

    fn status(&self, now: Instant) -> Status {
        Status::new(
            now,
            &self.dependencies.settings,
            self.dependencies.incarnation,
            &self.engine,
            self.control.agent(),
        )
    }

    /// Hedges a request that has no answer yet, if the engine grants it a target at once.
    fn hedge(&mut self, cx: CX![], call: Weak<Call>) {
        let Some(call) = call.upgrade().filter(|call| !call.is_answered()) else {
            return;
        };
        let request = call.route_request(AttemptKind::Hedge);
        let id = request.id;
        match self.engine.submit(cx.now(), request, &mut self.rng) {
            Some(Verdict::Target { grant, .. }) => {
                if let Err(full) = self
                    .dependencies
                    .background
                    .try_send(BackgroundTask::Hedge(call, grant))
                {
                    background::return_grant(&self.handle, full.into_inner());
                }
            }
            Some(Verdict::Host(permit)) => {
                self.engine
                    .finish_relay(cx.now(), &permit, PermitUsage::Unused);
            }
            Some(Verdict::Refused(_)) => {}
            None => self.engine.cancel(id),
        }
    }

    fn send_verdicts(&mut self, decisions: Vec<Decision>) {
        for (id, verdict) in decisions {
            if let Some(reply) = self.waiting.remove(&id) {
                let _ = reply.send(verdict);
            }
        }
    }

    /// Does the periodic work, and schedules the next time.
    fn tick(&mut self, cx: CX![]) {
        let now = cx.now();
        let supervisor = self.dependencies.supervisor.clone();
        let delay = supervisor.catch("core", || self.work_periodically(now));
        after!(delay.unwrap_or(TICK_INTERVAL), [cx], tick());
    }

    /// Returns the time until the next work is due.
    fn work_periodically(&mut self, now: Instant) -> Duration {
        let decisions = self.engine.tick(now, &mut self.rng);
        self.send_verdicts(decisions);
        self.broadcast_notices();
        if now >= self.next_measurement {
            self.next_measurement = now + MEASUREMENT_INTERVAL;
            let loads = self.engine.service_loads(now);
            let splits = self.engine.splits();
            self.control.measure(now, loads, &splits);
            self.record_headroom(now);
        }
        let update = self.control.tick(now, &mut self.rng);
        self.apply_control_update(now, update);
        if now >= self.next_refresh
            || (self.is_view_stale
                && now + REFRESH_INTERVAL >= self.next_refresh + MIN_REFRESH_INTERVAL)
        {
            self.refresh(now);
        }
        let wake = self.engine.next_wake(now).unwrap_or(now + TICK_INTERVAL);
        wake.saturating_duration_since(now)
            .clamp(MIN_TICK_INTERVAL, TICK_INTERVAL)
    }
}

/// Logs that the rate stated by a target changed.
fn log_rate(target: &str, rate: Option<f64>) {
    match rate {
        Some(rate) => {
            spdlog::info!("core: target {target} takes {rate} requests a second from all hosts")
        }
        None => spdlog::info!("core: target {target} names no rate any more"),
    }
}

fn log_notice(notice: &Notice) {
    let fingerprint = notice.fingerprint();
    match notice {
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
