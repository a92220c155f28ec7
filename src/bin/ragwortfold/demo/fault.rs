//! Fault injection: the kinds of faults, their schedule and the changes that they make to the system.
//!
//! A single fault begins after three tenths of the run and ends after seven. `all` injects the other
//! faults one after the other in one run, each in an equal part of the time.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::Duration;

use serde_json::json;
use standin::observer::{statistics, Drain, Evidence, Loss, Span, Stop};
use standin::platform::{self, Availability};
use standin::target::{self, Mode};
use standin::unix_us;

use super::load::Callers;
use super::operator::Operator;
use super::watch::Monitor;
use super::world::{RequestKind, World};
use super::Error;

/// The configuration file that sets targets to draining.
const DRAIN_FILE: &str = "95-drain.json";
/// While the platform loses answers, every nth write takes effect but gets no answer.
const LOST_ANSWER_INTERVAL: u64 = 2;
/// The number of operators that change the configuration concurrently, and the changes of each.
const RACING_OPERATORS: usize = 4;
const CHANGES_PER_OPERATOR: usize = 5;
/// Factor on the service times of slow targets: one in [`SLOW_EVERY`] targets of idempotent services.
const SLOW_FACTOR: f64 = 5.0;
const SLOW_EVERY: usize = 10;

/// A kind of fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Kind {
    /// No fault.
    None,
    /// One target of each service crashes.
    TargetCrash,
    /// All hosts and targets of an availability zone become unreachable.
    ZoneLoss,
    /// All hosts and targets of a region become unreachable.
    RegionLoss,
    /// The platform refuses connections.
    PlatformDown,
    /// The platform leaves some writes that took effect unanswered, while an operator makes changes.
    LostAnswers,
    /// A zone's hosts can reach neither other zones nor the platform; callers still reach them.
    Partition,
    /// Targets report neither load nor state, and some are slow.
    StaleLoad,
    /// Two targets of each service drain: one by configuration, one by the state it reports.
    Drain,
    /// Several operators publish changes concurrently.
    ConfigRace,
    /// A host is stopped as planned and replaced by another one with the same name.
    HostReplace,
    /// The callers of a region send at three times their rate.
    Burst,
    /// All other faults, one after the other.
    All,
}

impl Kind {
    /// The names on the command line, in the order of the variants.
    pub(crate) const NAMES: [&'static str; 13] = [
        "none",
        "target-crash",
        "zone-loss",
        "region-loss",
        "platform-down",
        "platform-lost-answers",
        "partition",
        "stale-load",
        "drain",
        "config-race",
        "host-replace",
        "burst",
        "all",
    ];

    /// The kinds in the order of [`Kind::NAMES`].
    const ALL: [Kind; 13] = [
        Kind::None,
        Kind::TargetCrash,
        Kind::ZoneLoss,
        Kind::RegionLoss,
        Kind::PlatformDown,
        Kind::LostAnswers,
        Kind::Partition,
        Kind::StaleLoad,
        Kind::Drain,
        Kind::ConfigRace,
        Kind::HostReplace,
        Kind::Burst,
        Kind::All,
    ];

    /// Returns the kind with a name on the command line, or `None` for an unknown name.
    pub(crate) fn from_name(name: &str) -> Option<Kind> {
        let at = Self::NAMES.iter().position(|known| *known == name)?;
        Some(Self::ALL[at])
    }

    fn name(self) -> &'static str {
        Self::NAMES[self as usize]
    }
}

/// The begin or the end of a fault.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Step {
    /// A fault begins.
    Begin(Kind),
    /// A fault ends.
    End(Kind),
}

/// Returns the steps of a run, each with its time since the start.
pub(crate) fn schedule(kind: Kind, duration: Duration) -> Vec<(Duration, Step)> {
    let kinds = match kind {
        Kind::None => &[][..],
        Kind::All => &Kind::ALL[1..Kind::ALL.len() - 1],
        _ => &[kind][..],
    };
    let part = duration / kinds.len().max(1) as u32;
    let steps = kinds.iter().zip(0..).flat_map(|(kind, number)| {
        let start = part * number;
        [
            (start + part.mul_f64(0.3), Step::Begin(*kind)),
            (start + part.mul_f64(0.7), Step::End(*kind)),
        ]
    });
    steps.collect()
}

/// The faults that were injected, as evidence for the observer.
#[derive(Default)]
pub(crate) struct FaultLog {
    /// Losses, drains, stops, failures and reverted changes; the rest is filled in after the run.
    pub(crate) evidence: Evidence,
    /// When each fault began and ended, in microseconds since the Unix epoch.
    pub(crate) spans: BTreeMap<Kind, Span>,
    /// How long hosts took to drain before a planned stop, as they reported it.
    pub(crate) host_drains: Vec<Duration>,
}

/// Applies the steps of a schedule to the system and records them.
pub(crate) struct Injector<'a> {
    world: &'a mut World,
    callers: &'a Callers,
    monitor: &'a Monitor,
    seed: u64,
    log: FaultLog,
    start_times: BTreeMap<Kind, u64>,
    race_threads: Vec<JoinHandle<Vec<AcceptedChange>>>,
    drain_thread: Option<JoinHandle<(Duration, u64)>>,
}

/// A change that the platform accepted: the file and its text.
type AcceptedChange = (Arc<str>, Arc<str>);

impl<'a> Injector<'a> {
    /// Creates an injector; no fault is active yet.
    pub(crate) fn new(
        world: &'a mut World,
        callers: &'a Callers,
        monitor: &'a Monitor,
        seed: u64,
    ) -> Self {
        Self {
            world,
            callers,
            monitor,
            seed,
            log: FaultLog::default(),
            start_times: BTreeMap::new(),
            race_threads: Vec::new(),
            drain_thread: None,
        }
    }

    /// Begins or ends a fault, and prints that to stderr.
    pub(crate) fn apply(&mut self, step: Step) -> Result<(), Error> {
        match step {
            Step::Begin(kind) => {
                eprintln!("        {} begins", kind.name());
                self.start_times.insert(kind, unix_us());
                self.begin_fault(kind)
            }
            Step::End(kind) => {
                let start = self.start_times.get(&kind).copied().unwrap_or(0);
                let result = self.end_fault(kind, start);
                eprintln!("        {} ended", kind.name());
                self.log.spans.insert(kind, start..unix_us());
                result
            }
        }
    }

    /// Returns the record of the injected faults.
    pub(crate) fn into_log(self) -> FaultLog {
        self.log
    }

    fn begin_fault(&mut self, kind: Kind) -> Result<(), Error> {
        match kind {
            Kind::None | Kind::All => {}
            Kind::TargetCrash => {
                self.set_target_modes(&self.one_target_per_service(0), Mode::Crash)
            }
            Kind::ZoneLoss => self.lose_zones(vec![self.fault_zone()]),
            Kind::RegionLoss => self.lose_zones(self.fault_region_zones()),
            Kind::PlatformDown => self.set_platform(Availability::Refused, 0),
            Kind::LostAnswers => {
                self.set_platform(Availability::Up, LOST_ANSWER_INTERVAL);
                self.start_race(1);
            }
            Kind::Partition => {
                self.world.partitioned_zones.insert(self.fault_zone());
                self.world.set_links(false);
            }
            Kind::StaleLoad => self.set_stale_load(true),
            Kind::Drain => return self.drain_targets(),
            Kind::ConfigRace => {
                self.set_platform(Availability::Up, LOST_ANSWER_INTERVAL + 1);
                self.start_race(RACING_OPERATORS);
            }
            Kind::HostReplace => self.announce_stop(),
            Kind::Burst => self.callers.set_burst(&self.fault_region(), true),
        }
        Ok(())
    }

    fn end_fault(&mut self, kind: Kind, start: u64) -> Result<(), Error> {
        match kind {
            Kind::None | Kind::All => {}
            Kind::TargetCrash => {
                let targets = self.one_target_per_service(0);
                self.set_target_modes(&targets, Mode::Serving);
                self.record_losses(&targets, start);
            }
            Kind::ZoneLoss | Kind::RegionLoss => self.restore_zones(start),
            Kind::PlatformDown => self.set_platform(Availability::Up, 0),
            Kind::LostAnswers | Kind::ConfigRace => return self.end_race(),
            Kind::Partition => {
                self.world.partitioned_zones.clear();
                self.world.set_links(false);
                self.log.evidence.failures.push(start..unix_us());
            }
            Kind::StaleLoad => self.set_stale_load(false),
            Kind::Drain => return self.undrain_targets(),
            Kind::HostReplace => return self.replace_host(start),
            Kind::Burst => self.callers.set_burst(&self.fault_region(), false),
        }
        Ok(())
    }

    /// Returns the zone that faults are injected into, chosen by the seed.
    fn fault_zone(&self) -> Arc<str> {
        let zones = &self.world.configuration.availability_zones;
        let at = self.seed as usize % zones.len();
        zones.keys().nth(at).map_or("", String::as_str).into()
    }

    /// Returns the region that faults are injected into.
    fn fault_region(&self) -> Arc<str> {
        let zones = &self.world.configuration.availability_zones;
        zones[&*self.fault_zone()].region.as_str().into()
    }

    /// Returns all zones of the region that faults are injected into.
    fn fault_region_zones(&self) -> Vec<Arc<str>> {
        let region = self.fault_region();
        let zones = self.world.configuration.availability_zones.iter();
        let in_region = zones.filter(|(_, zone)| zone.region == *region);
        in_region.map(|(name, _)| name.as_str().into()).collect()
    }

    /// Returns one target of each service, chosen by the seed and an offset.
    fn one_target_per_service(&self, offset: usize) -> Vec<Arc<str>> {
        let mut services: BTreeMap<Arc<str>, Vec<Arc<str>>> = BTreeMap::new();
        for (name, target) in &self.world.deployment.targets {
            let names = services.entry(target.service.clone()).or_default();
            names.push(name.clone());
        }
        let at = self.seed as usize + offset;
        let target_lists = services.values();
        target_lists
            .map(|names| names[at % names.len()].clone())
            .collect()
    }

    /// Sets the mode of targets and clears their other faults.
    fn set_target_modes(&self, names: &[Arc<str>], mode: Mode) {
        for target in names.iter().filter_map(|name| self.world.targets.get(name)) {
            target.set_fault(target::Fault {
                mode,
                ..target::Fault::default()
            });
        }
    }

    /// Records that targets were down from `start`, in microseconds since the Unix epoch, until now.
    fn record_losses(&mut self, names: &[Arc<str>], start: u64) {
        let span = start..unix_us();
        self.log
            .evidence
            .losses
            .extend(names.iter().map(|name| Loss {
                target: name.clone(),
                span: span.clone(),
            }));
    }

    /// Simulates the loss of zones: their targets crash, and their hosts can neither connect nor be
    /// connected to.
    fn lose_zones(&mut self, zones: Vec<Arc<str>>) {
        self.world.lost_zones.extend(zones);
        self.world.set_links(true);
        self.set_target_modes(&self.lost_targets(), Mode::Crash);
    }

    fn lost_targets(&self) -> Vec<Arc<str>> {
        let zones = self.world.lost_zones.iter();
        zones.flat_map(|zone| self.world.targets_in(zone)).collect()
    }

    /// Ends the loss of all lost zones and records it.
    fn restore_zones(&mut self, start: u64) {
        let targets = self.lost_targets();
        self.set_target_modes(&targets, Mode::Serving);
        self.world.lost_zones.clear();
        self.world.set_links(false);
        self.record_losses(&targets, start);
        self.log.evidence.failures.push(start..unix_us());
    }

    fn set_platform(&self, availability: Availability, lose_answers: u64) {
        self.world.platform.set_fault(platform::Fault {
            availability,
            lose_answers,
            ..platform::Fault::default()
        });
    }

    /// Starts or stops hiding the load and state of all targets, and slows some targets of idempotent
    /// services meanwhile.
    fn set_stale_load(&self, is_enabled: bool) {
        let services = self
            .world
            .deployment
            .targets
            .values()
            .map(|target| &target.service);
        let is_query = |s: &Arc<str>| self.world.request_kind(s) == RequestKind::Query;
        let are_queries: Vec<bool> = services.map(is_query).collect();
        let mut count = self.seed as usize;
        for (target, is_query) in self.world.targets.values().zip(are_queries) {
            count += usize::from(is_query);
            let is_slow = is_query && count.is_multiple_of(SLOW_EVERY);
            target.set_fault(target::Fault {
                hide_load: is_enabled,
                hide_state: is_enabled,
                slow: if is_enabled && is_slow {
                    SLOW_FACTOR
                } else {
                    1.0
                },
                ..target::Fault::default()
            });
        }
    }

    /// Drains two targets of each service: one by configuration, one by the state that it reports.
    fn drain_targets(&mut self) -> Result<(), Error> {
        let by_configuration = self.one_target_per_service(0);
        let by_reported_state = self.one_target_per_service(1);
        self.set_target_modes(&by_reported_state, Mode::Draining);
        self.record_drains(&by_reported_state);
        let states: BTreeMap<_, _> = by_configuration
            .iter()
            .map(|name| (name, json!({"state": "draining"})))
            .collect();
        let text = json!({ "targets": states }).to_string();
        self.world.operator.apply(DRAIN_FILE, Some(text))?;
        self.record_drains(&by_configuration);
        Ok(())
    }

    /// Records that targets drain from now on.
    fn record_drains(&mut self, names: &[Arc<str>]) {
        let start = unix_us();
        self.log
            .evidence
            .drains
            .extend(names.iter().map(|name| Drain {
                target: name.clone(),
                span: start..u64::MAX,
            }));
    }

    /// Ends all drains and their records.
    fn undrain_targets(&mut self) -> Result<(), Error> {
        let end = unix_us();
        for drain in &mut self.log.evidence.drains {
            drain.span.end = drain.span.end.min(end);
        }
        self.set_target_modes(&self.one_target_per_service(1), Mode::Serving);
        self.world.operator.apply(DRAIN_FILE, None)?;
        Ok(())
    }

    /// Starts operators that publish concurrently; each changes a file of its own.
    fn start_race(&mut self, operators: usize) {
        let regions = &self.world.configuration.regions;
        let region = regions.keys().next().cloned().unwrap_or_default();
        for number in 0..operators {
            let name = format!("operator-{number}");
            let operator = self.world.operator.with_name(&name);
            let region = region.clone();
            let run = move || apply_changes(operator, number, &region);
            self.race_threads.push(std::thread::spawn(run));
        }
    }

    /// Waits for the operators, and records each accepted change that is not in force as reverted.
    fn end_race(&mut self) -> Result<(), Error> {
        let race_threads = std::mem::take(&mut self.race_threads);
        let accepted: Vec<AcceptedChange> = race_threads
            .into_iter()
            .flat_map(|thread| thread.join().unwrap_or_default())
            .collect();
        self.set_platform(Availability::Up, 0);
        let files = self.world.operator.files_in_force()?;
        let lost = accepted
            .into_iter()
            .filter(|(file, text)| files.get(file) != Some(text));
        let lost = lost.map(|(file, text)| format!("{file}: {text} is not in force").into());
        self.log.evidence.reverted.extend(lost);
        Ok(())
    }

    /// Publishes a planned stop in the platform's host list, and starts draining the host.
    fn announce_stop(&mut self) {
        let name = self.world.replaced_host.clone();
        self.world.publish_hosts(&[&name]);
        let machine = self.world.machines.get_mut(&name);
        let host = machine.and_then(|machine| machine.host.take());
        self.drain_thread = host.map(|host| std::thread::spawn(move || (host.drain(), unix_us())));
    }

    /// Waits until the host has drained, and starts a new one with its name at another address.
    fn replace_host(&mut self, start: u64) -> Result<(), Error> {
        let name = self.world.replaced_host.clone();
        self.monitor.set_host(&name, None);
        let result = self
            .drain_thread
            .take()
            .and_then(|thread| thread.join().ok());
        let (drained, end) = result.unwrap_or((Duration::ZERO, unix_us()));
        self.log.host_drains.push(drained);
        let ttl = Duration::from_millis(self.world.configuration.limits.lookup_ttl_ms.into());
        self.log.evidence.stops.push(Stop {
            host: name.clone(),
            span: start..end + ttl.as_micros() as u64,
        });
        self.world.start_host(&name, 1)?;
        self.world.publish_replacement(&name)?;
        self.world.publish_hosts(&[]);
        let machine = self.world.machines.get(&name);
        let listen = machine.map(|machine| machine.endpoints[1].listen);
        self.monitor.set_host(&name, listen);
        Ok(())
    }
}

/// Publishes an operator's changes; returns the last accepted one, if any.
fn apply_changes(mut operator: Operator, number: usize, region: &str) -> Vec<AcceptedChange> {
    let file = format!("80-race-{number}.json");
    let mut accepted = None;
    for change in 0..CHANGES_PER_OPERATOR {
        let block = format!("10.{}.{change}.0/24", 200 + number);
        let text = json!({"clients": {block: {"region": region}}}).to_string();
        if operator.apply(&file, Some(text.clone())).is_ok() {
            accepted = Some((file.as_str().into(), text.into()));
        }
    }
    accepted.into_iter().collect()
}

/// Returns the figures of each fault by name: the error window, the attempts and the goodput of calls
/// to idempotent services, and the durations of drains.
pub(crate) fn figures(world: &World, evidence: &Evidence, log: &FaultLog) -> BTreeMap<String, f64> {
    let mut figures = BTreeMap::new();
    let is_query =
        |r: &&standin::caller::Record| world.request_kind(&r.service) == RequestKind::Query;
    for (kind, span) in &log.spans {
        let records = evidence.records.iter().filter(is_query);
        let window = statistics::error_window_ms(records.clone(), span);
        let name = |what| format!("{}.{what}", kind.name());
        figures.insert(name("error_window_ms"), window as f64);
        let attempts = statistics::mean_attempts(records.clone(), span);
        figures.insert(name("attempts_per_call"), attempts);
        let resent = statistics::resent_share(records.clone(), span);
        figures.insert(name("answered_after_not_run"), resent);
        let capacity = surviving_capacity(world, evidence, span);
        if let Some(goodput) = statistics::goodput(records, span, capacity) {
            figures.insert(name("goodput"), goodput);
        }
    }
    if !evidence.drains.is_empty() {
        figures.insert(
            "drain.longest_request_ms".into(),
            statistics::longest_run_ms(evidence),
        );
    }
    for drained in &log.host_drains {
        let time = drained.as_secs_f64() * 1000.0;
        figures.insert("host-replace.host_drain_ms".into(), time);
    }
    figures
}

/// Returns the requests a second that the targets of idempotent services can run, apart from targets
/// lost within a span.
fn surviving_capacity(world: &World, evidence: &Evidence, span: &Span) -> f64 {
    let is_lost = |name: &Arc<str>| {
        let mut losses = evidence.losses.iter();
        losses.any(|loss| {
            loss.target == *name && loss.span.start < span.end && span.start < loss.span.end
        })
    };
    let targets = world.deployment.targets.iter();
    let alive = targets
        .filter(|(name, _)| !is_lost(name))
        .map(|(_, target)| target);
    let rates = alive
        .map(|target| (target, world.request_kind(&target.service)))
        .filter(|(_, request_kind)| *request_kind == RequestKind::Query)
        .map(|(target, request_kind)| f64::from(target.slots) / request_kind.mean_service_time_s());
    rates.sum()
}
