//! The faults: what is done to the system, and when.
//!
//! A single fault begins after three tenths of the time and ends after seven. `all` brings the others
//! one after the other in one run, each in an equal part of the time.

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
use super::watch::Watch;
use super::world::{Shape, World};
use super::Error;

/// The operator's file that drains.
const DRAIN: &str = "95-drain.json";
/// Every such write of a platform that loses answers gets none.
const LOSE: u64 = 2;
/// Operators who race, and the changes of each.
const RACERS: usize = 4;
const CHANGES: usize = 5;
/// Factor on the service times of the slow targets, one in [`SLOW_EVERY`].
const SLOW: f64 = 5.0;
const SLOW_EVERY: usize = 10;

/// A kind of fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Kind {
    /// Nothing fails.
    None,
    /// One target of each service dies.
    TargetCrash,
    /// All of an availability zone is gone.
    ZoneLoss,
    /// All of a region is gone.
    RegionLoss,
    /// The platform refuses connections.
    PlatformDown,
    /// The platform does not answer writes that took effect, while an operator makes changes.
    LostAnswers,
    /// A zone is cut off from other zones and the platform, not from its callers.
    Partition,
    /// Targets report no load, and some are slow.
    StaleLoad,
    /// Targets drain: one of each service by configuration, one by its own word.
    Drain,
    /// Operators race each other.
    ConfigRace,
    /// A host is stopped as planned, and another one takes its name.
    HostReplace,
    /// The callers of a region send three times as much.
    Burst,
    /// All of these in turn.
    All,
}

impl Kind {
    /// The words of the command line.
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

    /// The kinds in the order of the words.
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

    /// The kind that a word stands for.
    pub(crate) fn with_name(name: &str) -> Option<Kind> {
        let at = Self::NAMES.iter().position(|known| *known == name)?;
        Some(Self::ALL[at])
    }

    fn name(self) -> &'static str {
        Self::NAMES[self as usize]
    }
}

/// A change to the system.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Step {
    /// A fault begins.
    Begin(Kind),
    /// A fault ends.
    End(Kind),
}

/// The steps of a run, with their times since its start.
pub(crate) fn plan(kind: Kind, duration: Duration) -> Vec<(Duration, Step)> {
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

/// What was done, as the observer needs it.
#[derive(Default)]
pub(crate) struct Notes {
    /// Losses, drains, stops and failures.
    pub(crate) evidence: Evidence,
    /// When each fault was in force.
    pub(crate) spans: BTreeMap<Kind, Span>,
    /// How long hosts took to leave, by their own word.
    pub(crate) host_drains: Vec<Duration>,
}

/// Does what a plan says.
pub(crate) struct Injector<'a> {
    world: &'a mut World,
    callers: &'a Callers,
    watch: &'a Watch,
    seed: u64,
    notes: Notes,
    began: BTreeMap<Kind, u64>,
    racers: Vec<JoinHandle<Vec<Accepted>>>,
    leaving: Option<JoinHandle<(Duration, u64)>>,
}

/// A change that the platform took, told by its file and text.
type Accepted = (Arc<str>, Arc<str>);

impl<'a> Injector<'a> {
    /// Nothing is done yet.
    pub(crate) fn new(
        world: &'a mut World,
        callers: &'a Callers,
        watch: &'a Watch,
        seed: u64,
    ) -> Self {
        Self {
            world,
            callers,
            watch,
            seed,
            notes: Notes::default(),
            began: BTreeMap::new(),
            racers: Vec::new(),
            leaving: None,
        }
    }

    /// Takes a step.
    pub(crate) fn step(&mut self, step: Step) -> Result<(), Error> {
        match step {
            Step::Begin(kind) => {
                eprintln!("        {} begins", kind.name());
                self.began.insert(kind, unix_us());
                self.begin(kind)
            }
            Step::End(kind) => {
                let start = self.began.get(&kind).copied().unwrap_or(0);
                let result = self.end(kind, start);
                eprintln!("        {} ended", kind.name());
                self.notes.spans.insert(kind, start..unix_us());
                result
            }
        }
    }

    /// What was done.
    pub(crate) fn finish(self) -> Notes {
        self.notes
    }

    fn begin(&mut self, kind: Kind) -> Result<(), Error> {
        match kind {
            Kind::None | Kind::All => {}
            Kind::TargetCrash => self.set_targets(&self.one_of_each(0), Mode::Crash),
            Kind::ZoneLoss => self.lose(vec![self.zone()]),
            Kind::RegionLoss => self.lose(self.region_zones()),
            Kind::PlatformDown => self.set_platform(Availability::Refused, 0),
            Kind::LostAnswers => {
                self.set_platform(Availability::Up, LOSE);
                self.race(1);
            }
            Kind::Partition => {
                self.world.cut.insert(self.zone());
                self.world.set_links(false);
            }
            Kind::StaleLoad => self.mislead(true),
            Kind::Drain => return self.drain(),
            Kind::ConfigRace => {
                self.set_platform(Availability::Up, LOSE + 1);
                self.race(RACERS);
            }
            Kind::HostReplace => self.announce_stop(),
            Kind::Burst => self.callers.burst(&self.region(), true),
        }
        Ok(())
    }

    fn end(&mut self, kind: Kind, start: u64) -> Result<(), Error> {
        match kind {
            Kind::None | Kind::All => {}
            Kind::TargetCrash => {
                let targets = self.one_of_each(0);
                self.set_targets(&targets, Mode::Serving);
                self.note_losses(&targets, start);
            }
            Kind::ZoneLoss | Kind::RegionLoss => self.restore(start),
            Kind::PlatformDown => self.set_platform(Availability::Up, 0),
            Kind::LostAnswers | Kind::ConfigRace => return self.end_race(),
            Kind::Partition => {
                self.world.cut.clear();
                self.world.set_links(false);
                self.notes.evidence.failures.push(start..unix_us());
            }
            Kind::StaleLoad => self.mislead(false),
            Kind::Drain => return self.undrain(),
            Kind::HostReplace => return self.replace(start),
            Kind::Burst => self.callers.burst(&self.region(), false),
        }
        Ok(())
    }

    /// The zone that faults befall.
    fn zone(&self) -> Arc<str> {
        let zones = &self.world.configuration.availability_zones;
        let at = self.seed as usize % zones.len();
        zones.keys().nth(at).map_or("", String::as_str).into()
    }

    /// That zone's region.
    fn region(&self) -> Arc<str> {
        let zones = &self.world.configuration.availability_zones;
        zones[&*self.zone()].region.as_str().into()
    }

    fn region_zones(&self) -> Vec<Arc<str>> {
        let region = self.region();
        let zones = self.world.configuration.availability_zones.iter();
        let own = zones.filter(|(_, zone)| zone.region == *region);
        own.map(|(name, _)| name.as_str().into()).collect()
    }

    /// One target of each service, chosen by the seed.
    fn one_of_each(&self, step: usize) -> Vec<Arc<str>> {
        let mut services: BTreeMap<Arc<str>, Vec<Arc<str>>> = BTreeMap::new();
        for (name, place) in &self.world.facts.targets {
            let names = services.entry(place.service.clone()).or_default();
            names.push(name.clone());
        }
        let at = self.seed as usize + step;
        let each = services.values();
        each.map(|names| names[at % names.len()].clone()).collect()
    }

    fn set_targets(&self, names: &[Arc<str>], mode: Mode) {
        for target in names.iter().filter_map(|name| self.world.targets.get(name)) {
            target.set_fault(target::Fault {
                mode,
                ..target::Fault::default()
            });
        }
    }

    fn note_losses(&mut self, names: &[Arc<str>], start: u64) {
        let span = start..unix_us();
        self.notes
            .evidence
            .losses
            .extend(names.iter().map(|name| Loss {
                target: name.clone(),
                span: span.clone(),
            }));
    }

    /// Takes zones away: their targets crash, and their hosts neither reach anyone nor are reached.
    fn lose(&mut self, zones: Vec<Arc<str>>) {
        self.world.lost.extend(zones);
        self.world.set_links(true);
        self.set_targets(&self.lost_targets(), Mode::Crash);
    }

    fn lost_targets(&self) -> Vec<Arc<str>> {
        let zones = self.world.lost.iter();
        zones.flat_map(|zone| self.world.targets_in(zone)).collect()
    }

    fn restore(&mut self, start: u64) {
        let targets = self.lost_targets();
        self.set_targets(&targets, Mode::Serving);
        self.world.lost.clear();
        self.world.set_links(false);
        self.note_losses(&targets, start);
        self.notes.evidence.failures.push(start..unix_us());
    }

    fn set_platform(&self, availability: Availability, lose_answers: u64) {
        self.world.platform.set_fault(platform::Fault {
            availability,
            lose_answers,
            ..platform::Fault::default()
        });
    }

    /// Lets all targets hide their load, and makes some of the idempotent services slow.
    fn mislead(&self, on: bool) {
        let services = self
            .world
            .facts
            .targets
            .values()
            .map(|place| &place.service);
        let is_query = |s: &Arc<str>| self.world.shape(s) == Shape::Query;
        let slow: Vec<bool> = services.map(is_query).collect();
        let mut count = self.seed as usize;
        for (target, is_query) in self.world.targets.values().zip(slow) {
            count += usize::from(is_query);
            let is_slow = is_query && count.is_multiple_of(SLOW_EVERY);
            target.set_fault(target::Fault {
                hide_load: on,
                hide_state: on,
                slow: if on && is_slow { SLOW } else { 1.0 },
                ..target::Fault::default()
            });
        }
    }

    fn drain(&mut self) -> Result<(), Error> {
        let by_configuration = self.one_of_each(0);
        let by_word = self.one_of_each(1);
        self.set_targets(&by_word, Mode::Draining);
        self.note_drains(&by_word);
        let states: BTreeMap<_, _> = by_configuration
            .iter()
            .map(|name| (name, json!({"state": "draining"})))
            .collect();
        let text = json!({ "targets": states }).to_string();
        self.world.operator.apply(DRAIN, Some(text))?;
        self.note_drains(&by_configuration);
        Ok(())
    }

    fn note_drains(&mut self, names: &[Arc<str>]) {
        let start = unix_us();
        self.notes
            .evidence
            .drains
            .extend(names.iter().map(|name| Drain {
                target: name.clone(),
                span: start..u64::MAX,
            }));
    }

    fn undrain(&mut self) -> Result<(), Error> {
        let end = unix_us();
        for drain in &mut self.notes.evidence.drains {
            drain.span.end = drain.span.end.min(end);
        }
        self.set_targets(&self.one_of_each(1), Mode::Serving);
        self.world.operator.apply(DRAIN, None)?;
        Ok(())
    }

    /// Starts operators who each change a file of their own.
    fn race(&mut self, operators: usize) {
        let regions = &self.world.configuration.regions;
        let region = regions.keys().next().cloned().unwrap_or_default();
        for number in 0..operators {
            let name = format!("operator-{number}");
            let operator = self.world.operator.with_name(&name);
            let region = region.clone();
            let run = move || changes(operator, number, &region);
            self.racers.push(std::thread::spawn(run));
        }
    }

    /// Waits for the operators, and looks whether what was accepted is in force.
    fn end_race(&mut self) -> Result<(), Error> {
        let racers = std::mem::take(&mut self.racers);
        let accepted: Vec<Accepted> = racers
            .into_iter()
            .flat_map(|racer| racer.join().unwrap_or_default())
            .collect();
        self.set_platform(Availability::Up, 0);
        let files = self.world.operator.in_force()?;
        let lost = accepted
            .into_iter()
            .filter(|(file, text)| files.get(file) != Some(text));
        let lost = lost.map(|(file, text)| format!("{file}: {text} is not in force").into());
        self.notes.evidence.reverted.extend(lost);
        Ok(())
    }

    /// Announces a planned stop as the platform does, and has the host drain itself.
    fn announce_stop(&mut self) {
        let name = self.world.replaced.clone();
        self.world.tell_hosts(&[&name]);
        let machine = self.world.machines.get_mut(&name);
        let host = machine.and_then(|machine| machine.host.take());
        self.leaving = host.map(|host| std::thread::spawn(move || (host.drain(), unix_us())));
    }

    /// Waits until the host has left, and starts another one with its name at another address.
    fn replace(&mut self, start: u64) -> Result<(), Error> {
        let name = self.world.replaced.clone();
        self.watch.set_host(&name, None);
        let left = self.leaving.take().and_then(|thread| thread.join().ok());
        let (drained, end) = left.unwrap_or((Duration::ZERO, unix_us()));
        self.notes.host_drains.push(drained);
        let ttl = Duration::from_millis(self.world.configuration.limits.lookup_ttl_ms.into());
        self.notes.evidence.stops.push(Stop {
            host: name.clone(),
            span: start..end + ttl.as_micros() as u64,
        });
        self.world.start(&name, 1)?;
        self.world.publish_seat(&name)?;
        self.world.tell_hosts(&[]);
        let machine = self.world.machines.get(&name);
        let listen = machine.map(|machine| machine.seats[1].listen);
        self.watch.set_host(&name, listen);
        Ok(())
    }
}

/// Makes an operator's changes, and answers the last one that was accepted.
fn changes(mut operator: Operator, number: usize, region: &str) -> Vec<Accepted> {
    let file = format!("80-race-{number}.json");
    let mut accepted = None;
    for change in 0..CHANGES {
        let block = format!("10.{}.{change}.0/24", 200 + number);
        let text = json!({"clients": {block: {"region": region}}}).to_string();
        if operator.apply(&file, Some(text.clone())).is_ok() {
            accepted = Some((file.as_str().into(), text.into()));
        }
    }
    accepted.into_iter().collect()
}

/// The figures that belong to faults: the callers' error window of lost places, and the goodput of
/// idempotent services.
pub(crate) fn figures(world: &World, evidence: &Evidence, notes: &Notes) -> BTreeMap<String, f64> {
    let mut figures = BTreeMap::new();
    let queries = |r: &&standin::caller::Record| world.shape(&r.service) == Shape::Query;
    for (kind, span) in &notes.spans {
        let records = evidence.records.iter().filter(queries);
        let window = statistics::error_window_ms(records.clone(), span);
        let name = |what| format!("{}.{what}", kind.name());
        figures.insert(name("error_window_ms"), window as f64);
        let attempts = statistics::mean_attempts(records.clone(), span);
        figures.insert(name("attempts_per_call"), attempts);
        let resent = statistics::resent_share(records.clone(), span);
        figures.insert(name("answered_after_not_run"), resent);
        let capacity = surviving(world, evidence, span);
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
    for drained in &notes.host_drains {
        let time = drained.as_secs_f64() * 1000.0;
        figures.insert("host-replace.host_drain_ms".into(), time);
    }
    figures
}

/// Requests a second that the idempotent services' targets could run all through a span.
fn surviving(world: &World, evidence: &Evidence, span: &Span) -> f64 {
    let is_lost = |name: &Arc<str>| {
        let mut losses = evidence.losses.iter();
        losses.any(|loss| {
            loss.target == *name && loss.span.start < span.end && span.start < loss.span.end
        })
    };
    let places = world.facts.targets.iter();
    let alive = places
        .filter(|(name, _)| !is_lost(name))
        .map(|(_, place)| place);
    let rates = alive
        .map(|place| (place, world.shape(&place.service)))
        .filter(|(_, shape)| *shape == Shape::Query)
        .map(|(place, shape)| f64::from(place.slots) / shape.mean());
    rates.sum()
}
