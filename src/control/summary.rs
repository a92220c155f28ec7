//! What a zone tells others of its load, with the time it was sampled.
//!
//! Each host reports to a delegate of its zone, which merges the reports and tells the other
//! zones. No clocks are compared: an age travels with each message and grows on the clock of
//! whoever holds it. Between full messages only entries that changed are sent; what is left out
//! is as last sent, and is as fresh as the message, if none was missed in between.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use super::plan::Stamp;
use crate::catalog::{Catalog, HostKey, RegionKey, ServiceKey, ZoneKey};

/// Time between the reports of a host, and between the summaries of a zone.
pub const INTERVAL: Duration = Duration::from_secs(2);
/// Time between messages that hold all entries.
pub const FULL: Duration = Duration::from_secs(20);
/// Age up to which a host's report is part of its zone's summary.
pub const FRESH: Duration = Duration::from_secs(5);
/// Relative change of a figure that is worth sending.
const RELATIVE: f32 = 0.05;
/// Change of a zone's figure below which it is not sent.
const ABSOLUTE: f32 = 0.5;
/// Least of these when it is divided among the hosts of a zone.
const LEAST: f32 = 0.02;
/// How many units a wholly cold site counts for when changes are weighed.
const COLD: f32 = 10.0;
/// Steps in which figures are sent, for one unit.
const STEPS: f32 = 100.0;

/// The load of one service in one zone. Counts are means over the sampled interval.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(into = "Packed", from = "Packed")]
pub struct Load {
    /// Slots of the targets that are used, not ejected or draining.
    pub live: f32,
    /// Share of those slots that are still cold, 0 to 1.
    pub cold: f32,
    /// Requests running on targets.
    pub in_flight: f32,
    /// Requests waiting for a target.
    pub queued: f32,
    /// Requests admitted, per second.
    pub admitted: f32,
    /// Requests refused for lack of capacity, per second.
    pub refused: f32,
}

/// The wire form of a [`Load`]: fixed-point figures, in the order of its fields.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
struct Packed(u32, u32, u32, u32, u32, u32);

fn pack(value: f32) -> u32 {
    (value * STEPS).round().max(0.0) as u32
}

fn unpack(value: u32) -> f32 {
    value as f32 / STEPS
}

impl From<Load> for Packed {
    fn from(load: Load) -> Self {
        Self(
            pack(load.live),
            pack(load.cold),
            pack(load.in_flight),
            pack(load.queued),
            pack(load.admitted),
            pack(load.refused),
        )
    }
}

impl From<Packed> for Load {
    fn from(packed: Packed) -> Self {
        Self {
            live: unpack(packed.0),
            cold: unpack(packed.1),
            in_flight: unpack(packed.2),
            queued: unpack(packed.3),
            admitted: unpack(packed.4),
            refused: unpack(packed.5),
        }
    }
}

impl Load {
    fn figures(&self) -> [f32; 6] {
        [
            self.live,
            self.cold * COLD,
            self.in_flight,
            self.queued,
            self.admitted,
            self.refused,
        ]
    }

    /// Whether the difference to what was sent before is worth sending.
    fn differs(&self, sent: &Self, absolute: f32) -> bool {
        let pairs = self.figures().into_iter().zip(sent.figures());
        pairs.into_iter().any(|(now, before)| {
            let change = (now - before).abs();
            change > absolute && change > RELATIVE * before.abs()
        })
    }

    /// Adds the work of another host of the zone.
    fn add(&mut self, other: &Self) {
        self.in_flight += other.in_flight;
        self.queued += other.queued;
        self.admitted += other.admitted;
        self.refused += other.refused;
    }
}

/// A quota a host is short of, or wants to keep.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Need {
    /// The host.
    #[serde(rename = "h")]
    pub host: Arc<str>,
    /// The region the work is for.
    #[serde(rename = "r")]
    pub region: Arc<str>,
    /// What it wants above its static part, in the unit of the quota.
    #[serde(rename = "w")]
    pub wanted: f32,
}

/// What identifies a message of one sender, and orders it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Head {
    /// The host that sends it.
    #[serde(rename = "h")]
    pub host: Arc<str>,
    /// Its incarnation.
    #[serde(rename = "i")]
    pub incarnation: u64,
    /// Rises by one with each message of the incarnation.
    #[serde(rename = "s")]
    pub sequence: u64,
    /// Time since the oldest figure in it was sampled, in milliseconds.
    #[serde(rename = "a")]
    pub age_ms: u32,
    /// The newest plan that is followed where it was sampled.
    #[serde(rename = "p")]
    pub applied: Stamp,
    /// Whether all entries are in it.
    #[serde(rename = "f")]
    pub full: bool,
}

/// What a host tells the delegate of its zone, or a delegate tells other zones.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Message {
    /// Sender, order and age.
    #[serde(rename = "h")]
    pub head: Head,
    /// The zone that is spoken of.
    #[serde(rename = "z")]
    pub zone: Arc<str>,
    /// Live hosts of the zone, and those of them whose reports are in it.
    #[serde(rename = "n")]
    pub hosts: (u32, u32),
    /// Digest of the zone's roster, in the summary of a zone.
    #[serde(rename = "r", default)]
    pub roster: u64,
    /// Loads by service; without those that are as they were.
    #[serde(rename = "l")]
    pub loads: BTreeMap<Arc<str>, Load>,
    /// Services whose splits have yet to reach the plan that is followed.
    #[serde(rename = "m", default, skip_serializing_if = "Vec::is_empty")]
    pub moving: Vec<Arc<str>>,
    /// Quotas wanted.
    #[serde(rename = "w", default, skip_serializing_if = "Vec::is_empty")]
    pub needs: Vec<Need>,
}

/// The figures that a sender has to tell.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Sample {
    /// Time since the oldest of them was sampled.
    pub age: Duration,
    /// The newest plan that is followed.
    pub applied: Stamp,
    /// Services whose splits have yet to reach it.
    pub moving: BTreeSet<ServiceKey>,
    /// Live hosts of the zone, and those of them whose reports are in it; 1 of 1 for a host.
    pub hosts: (u32, u32),
    /// Digest of the zone's roster; to be set by the delegate that sends the summary.
    pub roster: u64,
    /// Loads by service.
    pub loads: BTreeMap<ServiceKey, Load>,
    /// Quotas wanted, by host and region.
    pub needs: BTreeMap<(HostKey, RegionKey), f32>,
}

/// Makes the messages of one sender: all entries now and then, else what changed.
#[derive(Clone, Debug)]
pub struct Sender {
    host: HostKey,
    incarnation: u64,
    sequence: u64,
    sent: BTreeMap<ServiceKey, Load>,
    filled: Option<Instant>,
    absolute: f32,
}

impl Sender {
    /// A sender of the summaries of a zone.
    pub fn new(host: HostKey, incarnation: u64) -> Self {
        Self {
            absolute: ABSOLUTE,
            host,
            incarnation,
            sequence: 0,
            sent: BTreeMap::new(),
            filled: None,
        }
    }

    /// A sender of the reports of one of `hosts` hosts, whose errors add up in the summary.
    pub fn with_hosts(self, hosts: usize) -> Self {
        Self {
            absolute: (ABSOLUTE / hosts.max(1) as f32).max(LEAST),
            ..self
        }
    }

    /// The next message is to hold all entries: somebody new listens.
    pub fn refill(&mut self) {
        self.filled = None;
    }

    /// The next message.
    pub fn message(&mut self, now: Instant, sample: &Sample, catalog: &Catalog) -> Message {
        self.sequence += 1;
        let full = self.filled.is_none_or(|at| now >= at + FULL);
        if full {
            self.filled = Some(now);
            self.sent.clear();
        }
        let mut loads = BTreeMap::new();
        for (&service, load) in &sample.loads {
            let sent = self.sent.get(&service).copied().unwrap_or_default();
            if load.differs(&sent, self.absolute) {
                self.sent.insert(service, *load);
                loads.insert(catalog.service(service).name.clone(), *load);
            }
        }
        let zone = catalog.host(self.host).zone;
        Message {
            head: Head {
                host: catalog.host(self.host).name.clone(),
                incarnation: self.incarnation,
                sequence: self.sequence,
                age_ms: u32::try_from(sample.age.as_millis()).unwrap_or(u32::MAX),
                applied: sample.applied,
                full,
            },
            zone: catalog.zone(zone).name.clone(),
            hosts: sample.hosts,
            roster: sample.roster,
            loads,
            moving: names(&sample.moving, catalog),
            needs: needs(&sample.needs, catalog),
        }
    }
}

fn names(services: &BTreeSet<ServiceKey>, catalog: &Catalog) -> Vec<Arc<str>> {
    services
        .iter()
        .map(|&service| catalog.service(service).name.clone())
        .collect()
}

fn needs(needs: &BTreeMap<(HostKey, RegionKey), f32>, catalog: &Catalog) -> Vec<Need> {
    needs
        .iter()
        .map(|(&(host, region), &wanted)| Need {
            host: catalog.host(host).name.clone(),
            region: catalog.region(region).name.clone(),
            wanted,
        })
        .collect()
}

/// One load as it is known here.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Entry {
    /// The load.
    pub load: Load,
    /// When it was sampled, at the latest, on the own clock.
    pub sampled: Instant,
}

/// What one sender has told so far.
#[derive(Clone, Debug)]
pub struct Source {
    incarnation: u64,
    sequence: u64,
    /// Whether no message was missed since the last one that held all entries.
    whole: bool,
    /// When the figures of the last message were sampled.
    pub sampled: Instant,
    /// The newest plan that is followed there.
    pub applied: Stamp,
    /// Services whose splits have yet to reach it.
    pub moving: BTreeSet<ServiceKey>,
    /// Live hosts of the zone, and those of them whose reports are in it.
    pub hosts: (u32, u32),
    /// Digest of the zone's roster.
    pub roster: u64,
    /// Loads by service.
    pub loads: BTreeMap<ServiceKey, Entry>,
    /// Quotas wanted.
    pub needs: BTreeMap<(HostKey, RegionKey), f32>,
}

impl Source {
    /// A source that told nothing before this message.
    fn new(message: &Message, sampled: Instant) -> Self {
        Self {
            incarnation: message.head.incarnation,
            sequence: 0,
            whole: false,
            sampled,
            applied: Stamp::default(),
            moving: BTreeSet::new(),
            hosts: (0, 0),
            roster: 0,
            loads: BTreeMap::new(),
            needs: BTreeMap::new(),
        }
    }

    /// Takes in a message that is newer than all before it.
    fn update(&mut self, message: &Message, sampled: Instant, catalog: &Catalog) {
        let next = message.head.sequence == self.sequence + 1;
        self.whole = message.head.full || (self.whole && next);
        if message.head.full {
            self.loads.clear();
        } else if self.whole {
            self.loads.values_mut().for_each(|e| e.sampled = sampled);
        }
        self.sequence = message.head.sequence;
        self.sampled = sampled;
        self.applied = message.head.applied;
        self.moving = message
            .moving
            .iter()
            .filter_map(|name| catalog.service_key(name))
            .collect();
        self.hosts = message.hosts;
        self.roster = message.roster;
        for (name, &load) in &message.loads {
            if let Some(service) = catalog.service_key(name) {
                self.loads.insert(service, Entry { load, sampled });
            }
        }
        self.needs = message
            .needs
            .iter()
            .filter_map(|need| {
                let host = catalog.host_key(&need.host)?;
                let region = catalog.region_key(&need.region)?;
                Some(((host, region), need.wanted))
            })
            .collect();
    }

    /// The load of a service. One that is not told of is idle, if no message was missed.
    pub fn load(&self, service: ServiceKey) -> Option<Entry> {
        let idle = self.whole.then_some(Entry {
            load: Load::default(),
            sampled: self.sampled,
        });
        self.loads.get(&service).copied().or(idle)
    }
}

/// Whether a message was of use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Taken {
    /// It was newer than all before it from its sender.
    Newer,
    /// It was not, or its sender is unknown.
    Ignored,
    /// Messages before it were missed, and it does not hold all entries: ask for one that does.
    Gap,
}

/// Messages by sender: reports of the hosts of a zone, or summaries of the delegates of all.
#[derive(Clone, Debug, Default)]
pub struct Table {
    sources: BTreeMap<HostKey, Source>,
}

impl Table {
    /// A table that holds nothing.
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes in a message, `delay` after it was sent as far as is known.
    pub fn take(
        &mut self,
        now: Instant,
        message: &Message,
        delay: Duration,
        catalog: &Catalog,
    ) -> Taken {
        let Some(host) = catalog.host_key(&message.head.host) else {
            return Taken::Ignored;
        };
        let age = Duration::from_millis(message.head.age_ms.into()) + delay;
        let Some(sampled) = now.checked_sub(age) else {
            return Taken::Ignored;
        };
        let head = &message.head;
        let source = self
            .sources
            .entry(host)
            .or_insert_with(|| Source::new(message, sampled));
        let order = (head.incarnation, head.sequence);
        if order <= (source.incarnation, source.sequence) {
            return Taken::Ignored;
        }
        if head.incarnation > source.incarnation {
            *source = Source::new(message, sampled);
        }
        source.update(message, sampled, catalog);
        if source.whole {
            Taken::Newer
        } else {
            Taken::Gap
        }
    }

    /// Forgets what was sampled before `limit`.
    pub fn expire(&mut self, limit: Instant) {
        self.sources.retain(|_, source| source.sampled >= limit);
    }

    /// What a host has told.
    pub fn source(&self, host: HostKey) -> Option<&Source> {
        self.sources.get(&host)
    }

    /// The best word on a zone: of those who told of it lately, who heard most of its hosts, and
    /// of these the newest.
    pub fn zone(&self, now: Instant, zone: ZoneKey, catalog: &Catalog) -> Option<&Source> {
        self.sources
            .iter()
            .filter(|(&host, _)| catalog.host(host).zone == zone)
            .map(|(_, source)| source)
            .max_by_key(|source| {
                let fresh = now.saturating_duration_since(source.sampled) < FRESH;
                (fresh, source.hosts.1, source.sampled)
            })
    }

    /// Merges the reports of the live hosts of a zone. None if no host reported lately.
    pub fn merge(&self, now: Instant, hosts: impl IntoIterator<Item = HostKey>) -> Option<Sample> {
        self.merge_within(now, FRESH, hosts)
    }

    /// The same, with another age up to which a report counts.
    pub fn merge_within(
        &self,
        now: Instant,
        fresh: Duration,
        hosts: impl IntoIterator<Item = HostKey>,
    ) -> Option<Sample> {
        let mut merge = Merge::default();
        for host in hosts {
            merge.live += 1;
            if let Some(source) = self.sources.get(&host) {
                merge.add(now, fresh, source);
            }
        }
        merge.sample()
    }
}

/// A summary in the making.
#[derive(Default)]
struct Merge {
    live: u32,
    reported: u32,
    age: Duration,
    applied: Option<Stamp>,
    moving: BTreeSet<ServiceKey>,
    loads: BTreeMap<ServiceKey, Load>,
    needs: BTreeMap<(HostKey, RegionKey), f32>,
    /// Sums of live slots and of cold slots, and how many hosts told of them, by service.
    targets: BTreeMap<ServiceKey, (f32, f32, f32)>,
}

impl Merge {
    fn add(&mut self, now: Instant, fresh: Duration, source: &Source) {
        let age = now.saturating_duration_since(source.sampled);
        if age >= fresh {
            return;
        }
        self.reported += 1;
        self.age = self.age.max(age);
        let applied = self
            .applied
            .map_or(source.applied, |a| a.min(source.applied));
        self.applied = Some(applied);
        self.moving.extend(&source.moving);
        self.needs.extend(&source.needs);
        for (&service, entry) in &source.loads {
            let load = &entry.load;
            self.loads.entry(service).or_default().add(load);
            let (live, cold, count) = self.targets.entry(service).or_default();
            *live += load.live;
            *cold += load.live * load.cold;
            *count += 1.0;
        }
    }

    /// The hosts of a zone use the same targets, so what they see of these is averaged, while
    /// their work is added up.
    fn sample(mut self) -> Option<Sample> {
        for (service, load) in &mut self.loads {
            let (live, cold, count) = self.targets[service];
            load.live = live / count;
            load.cold = if live > 0.0 { cold / live } else { 0.0 };
        }
        Some(Sample {
            age: self.age,
            applied: self.applied?,
            moving: self.moving,
            hosts: (self.live, self.reported),
            roster: 0,
            loads: self.loads,
            needs: self.needs,
        })
    }
}
