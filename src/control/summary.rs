//! Load reports of hosts and load summaries of zones, with the age of their samples.
//!
//! Each host reports to a delegate of its zone, which merges the reports and sends a summary to the
//! other zones. Clocks are never compared: each message carries an age, which grows on the
//! receiver's clock. Between full messages only changed entries are sent. An entry that is left out
//! keeps its last value and is as fresh as the message, if no message was missed in between.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use super::plan::Stamp;
use crate::catalog::{Catalog, HostKey, RegionKey, ServiceKey, ZoneKey};

/// Interval between the reports of a host, and between the summaries of a zone.
pub const INTERVAL: Duration = Duration::from_secs(2);
/// Interval between full messages, which contain all entries.
pub const FULL_INTERVAL: Duration = Duration::from_secs(20);
/// Age up to which a host's report is part of its zone's summary.
pub const MAX_REPORT_AGE: Duration = Duration::from_secs(5);
/// Minimum relative change of a figure for it to be sent.
const MIN_RELATIVE_CHANGE: f32 = 0.05;
/// Minimum absolute change of a zone's figure for it to be sent.
const MIN_ABSOLUTE_CHANGE: f32 = 0.5;
/// Lower limit of that change after it is divided among the hosts of a zone.
const MIN_HOST_CHANGE: f32 = 0.02;
/// Number of units by which a completely cold site differs from a warm one when changes are
/// compared.
const COLD_WEIGHT: f32 = 10.0;
/// Steps per unit in which figures are sent.
const STEPS_PER_UNIT: f32 = 100.0;

/// The load of one service in one zone. Counts are means over the sampled interval.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(into = "Packed", from = "Packed")]
pub struct Load {
    /// Slots of the targets that are used: not ejected and not draining.
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
    (value * STEPS_PER_UNIT).round().max(0.0) as u32
}

fn unpack(value: u32) -> f32 {
    value as f32 / STEPS_PER_UNIT
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
    fn weighted_figures(&self) -> [f32; 6] {
        [
            self.live,
            self.cold * COLD_WEIGHT,
            self.in_flight,
            self.queued,
            self.admitted,
            self.refused,
        ]
    }

    /// Whether the difference from the last sent load is large enough to be sent.
    fn differs_enough(&self, sent: &Self, absolute: f32) -> bool {
        let pairs = self
            .weighted_figures()
            .into_iter()
            .zip(sent.weighted_figures());
        pairs.into_iter().any(|(now, before)| {
            let change = (now - before).abs();
            change > absolute && change > MIN_RELATIVE_CHANGE * before.abs()
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

/// A quota that a host lacks or wants to keep.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct QuotaNeed {
    /// The host.
    #[serde(rename = "h")]
    pub host: Arc<str>,
    /// The region that the work is for.
    #[serde(rename = "r")]
    pub region: Arc<str>,
    /// The amount wanted beyond its static part, in the unit of the quota.
    #[serde(rename = "w")]
    pub wanted: f32,
}

/// The header of a message: its sender, order and age.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Head {
    /// The sending host.
    #[serde(rename = "h")]
    pub host: Arc<str>,
    /// Its incarnation.
    #[serde(rename = "i")]
    pub incarnation: u64,
    /// Increases by one with each message of the incarnation.
    #[serde(rename = "s")]
    pub sequence: u64,
    /// Time since the oldest figure in it was sampled, in milliseconds.
    #[serde(rename = "a")]
    pub age_ms: u32,
    /// The newest plan that was followed where the figures were sampled.
    #[serde(rename = "p")]
    pub applied: Stamp,
    /// Whether it contains all entries.
    #[serde(rename = "f")]
    pub full: bool,
}

/// A host's report to the delegate of its zone, or a delegate's summary to other zones.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Message {
    /// Sender, order and age.
    #[serde(rename = "h")]
    pub head: Head,
    /// The zone that this is about.
    #[serde(rename = "z")]
    pub zone: Arc<str>,
    /// Number of live hosts of the zone, and of those whose reports are included.
    #[serde(rename = "n")]
    pub hosts: (u32, u32),
    /// Digest of the zone's roster, in the summary of a zone.
    #[serde(rename = "r", default)]
    pub roster: u64,
    /// Loads by service. Unchanged ones are left out unless the message is full.
    #[serde(rename = "l")]
    pub loads: BTreeMap<Arc<str>, Load>,
    /// Services whose splits have not reached the followed plan yet.
    #[serde(rename = "m", default, skip_serializing_if = "Vec::is_empty")]
    pub unsettled_services: Vec<Arc<str>>,
    /// Wanted quotas.
    #[serde(rename = "w", default, skip_serializing_if = "Vec::is_empty")]
    pub needs: Vec<QuotaNeed>,
}

/// The figures to send.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Sample {
    /// Time since the oldest figure was sampled.
    pub age: Duration,
    /// The newest followed plan.
    pub applied: Stamp,
    /// Services whose splits have not reached that plan yet.
    pub unsettled_services: BTreeSet<ServiceKey>,
    /// Number of live hosts of the zone, and of those whose reports are included; 1 of 1 for a
    /// host.
    pub hosts: (u32, u32),
    /// Digest of the zone's roster, set by the delegate that sends the summary.
    pub roster: u64,
    /// Loads by service.
    pub loads: BTreeMap<ServiceKey, Load>,
    /// Wanted quotas, by host and region.
    pub needs: BTreeMap<(HostKey, RegionKey), f32>,
}

/// Builds the messages of one sender: regularly with all entries, otherwise with those that
/// changed.
#[derive(Clone, Debug)]
pub struct Sender {
    host: HostKey,
    incarnation: u64,
    sequence: u64,
    sent: BTreeMap<ServiceKey, Load>,
    last_full: Option<Instant>,
    min_absolute_change: f32,
}

impl Sender {
    /// Creates a sender of the summaries of a zone.
    pub fn new(host: HostKey, incarnation: u64) -> Self {
        Self {
            min_absolute_change: MIN_ABSOLUTE_CHANGE,
            host,
            incarnation,
            sequence: 0,
            sent: BTreeMap::new(),
            last_full: None,
        }
    }

    /// Makes this a sender of the reports of one of `hosts` hosts, whose unsent changes add up in
    /// the summary.
    pub fn with_hosts(self, hosts: usize) -> Self {
        Self {
            min_absolute_change: (MIN_ABSOLUTE_CHANGE / hosts.max(1) as f32).max(MIN_HOST_CHANGE),
            ..self
        }
    }

    /// Makes the next message contain all entries, for a new receiver.
    pub fn force_full(&mut self) {
        self.last_full = None;
    }

    /// Builds the next message.
    pub fn message(&mut self, now: Instant, sample: &Sample, catalog: &Catalog) -> Message {
        self.sequence += 1;
        let full = self.last_full.is_none_or(|at| now >= at + FULL_INTERVAL);
        if full {
            self.last_full = Some(now);
            self.sent.clear();
        }
        let mut loads = BTreeMap::new();
        for (&service, load) in &sample.loads {
            let sent = self.sent.get(&service).copied().unwrap_or_default();
            if load.differs_enough(&sent, self.min_absolute_change) {
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
            unsettled_services: names(&sample.unsettled_services, catalog),
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

fn needs(needs: &BTreeMap<(HostKey, RegionKey), f32>, catalog: &Catalog) -> Vec<QuotaNeed> {
    needs
        .iter()
        .map(|(&(host, region), &wanted)| QuotaNeed {
            host: catalog.host(host).name.clone(),
            region: catalog.region(region).name.clone(),
            wanted,
        })
        .collect()
}

/// The last known load of a service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Entry {
    /// The load.
    pub load: Load,
    /// Latest possible time of its sampling, on this host's clock.
    pub sampled: Instant,
}

/// The data received from one sender so far.
#[derive(Clone, Debug)]
pub struct Source {
    incarnation: u64,
    sequence: u64,
    /// Whether no message was missed since the last full one.
    is_complete: bool,
    /// When the figures of the last message were sampled.
    pub sampled: Instant,
    /// The newest plan that the sender follows.
    pub applied: Stamp,
    /// Services whose splits have not reached that plan yet.
    pub unsettled_services: BTreeSet<ServiceKey>,
    /// Number of live hosts of the zone, and of those whose reports are included.
    pub hosts: (u32, u32),
    /// Digest of the zone's roster.
    pub roster: u64,
    /// Loads by service.
    pub loads: BTreeMap<ServiceKey, Entry>,
    /// Wanted quotas.
    pub needs: BTreeMap<(HostKey, RegionKey), f32>,
}

impl Source {
    /// Creates a source without any data before this message.
    fn new(message: &Message, sampled: Instant) -> Self {
        Self {
            incarnation: message.head.incarnation,
            sequence: 0,
            is_complete: false,
            sampled,
            applied: Stamp::default(),
            unsettled_services: BTreeSet::new(),
            hosts: (0, 0),
            roster: 0,
            loads: BTreeMap::new(),
            needs: BTreeMap::new(),
        }
    }

    /// Applies a message that is newer than all before it.
    fn update(&mut self, message: &Message, sampled: Instant, catalog: &Catalog) {
        let next = message.head.sequence == self.sequence + 1;
        self.is_complete = message.head.full || (self.is_complete && next);
        if message.head.full {
            self.loads.clear();
        } else if self.is_complete {
            self.loads.values_mut().for_each(|e| e.sampled = sampled);
        }
        self.sequence = message.head.sequence;
        self.sampled = sampled;
        self.applied = message.head.applied;
        self.unsettled_services = message
            .unsettled_services
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

    /// The load of a service. A service without an entry is idle, if no message was missed.
    pub fn load(&self, service: ServiceKey) -> Option<Entry> {
        let idle = self.is_complete.then_some(Entry {
            load: Load::default(),
            sampled: self.sampled,
        });
        self.loads.get(&service).copied().or(idle)
    }
}

/// The result of applying a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ApplyResult {
    /// It was newer than all previous messages from its sender.
    Newer,
    /// It was not newer, or its sender is unknown.
    Ignored,
    /// Previous messages were missed, and it does not contain all entries: request a full one.
    Gap,
}

/// Received data by sender: reports of the hosts of a zone, or summaries of the delegates of all
/// zones.
#[derive(Clone, Debug, Default)]
pub struct Table {
    sources: BTreeMap<HostKey, Source>,
}

impl Table {
    /// Creates an empty table.
    pub fn new() -> Self {
        Self::default()
    }

    /// Applies a message, `delay` after it was sent.
    pub fn apply(
        &mut self,
        now: Instant,
        message: &Message,
        delay: Duration,
        catalog: &Catalog,
    ) -> ApplyResult {
        let Some(host) = catalog.host_key(&message.head.host) else {
            return ApplyResult::Ignored;
        };
        let age = Duration::from_millis(message.head.age_ms.into()) + delay;
        let Some(sampled) = now.checked_sub(age) else {
            return ApplyResult::Ignored;
        };
        let head = &message.head;
        let source = self
            .sources
            .entry(host)
            .or_insert_with(|| Source::new(message, sampled));
        let order = (head.incarnation, head.sequence);
        if order <= (source.incarnation, source.sequence) {
            return ApplyResult::Ignored;
        }
        if head.incarnation > source.incarnation {
            *source = Source::new(message, sampled);
        }
        source.update(message, sampled, catalog);
        if source.is_complete {
            ApplyResult::Newer
        } else {
            ApplyResult::Gap
        }
    }

    /// Removes the data of senders that was sampled before `limit`.
    pub fn expire(&mut self, limit: Instant) {
        self.sources.retain(|_, source| source.sampled >= limit);
    }

    /// The data received from a host.
    pub fn host_source(&self, host: HostKey) -> Option<&Source> {
        self.sources.get(&host)
    }

    /// The best source on a zone: among its recent senders the one whose summary includes most
    /// hosts, and of these the newest.
    pub fn zone_source(&self, now: Instant, zone: ZoneKey, catalog: &Catalog) -> Option<&Source> {
        self.sources
            .iter()
            .filter(|(&host, _)| catalog.host(host).zone == zone)
            .map(|(_, source)| source)
            .max_by_key(|source| {
                let is_fresh = now.saturating_duration_since(source.sampled) < MAX_REPORT_AGE;
                (is_fresh, source.hosts.1, source.sampled)
            })
    }

    /// Merges the reports of the live hosts of a zone. None if no host reported recently.
    pub fn merge(&self, now: Instant, hosts: impl IntoIterator<Item = HostKey>) -> Option<Sample> {
        self.merge_within(now, MAX_REPORT_AGE, hosts)
    }

    /// Like [`Table::merge`], with another maximum age of reports.
    pub fn merge_within(
        &self,
        now: Instant,
        max_age: Duration,
        hosts: impl IntoIterator<Item = HostKey>,
    ) -> Option<Sample> {
        let mut merge = ZoneMerge::default();
        for host in hosts {
            merge.live += 1;
            if let Some(source) = self.sources.get(&host) {
                merge.add(now, max_age, source);
            }
        }
        merge.into_sample()
    }
}

/// The reports of a zone's hosts while they are merged.
#[derive(Default)]
struct ZoneMerge {
    live: u32,
    reported: u32,
    age: Duration,
    applied: Option<Stamp>,
    unsettled_services: BTreeSet<ServiceKey>,
    loads: BTreeMap<ServiceKey, Load>,
    needs: BTreeMap<(HostKey, RegionKey), f32>,
    /// By service, the sum of live slots, the sum of cold slots and the number of hosts that
    /// reported them.
    targets: BTreeMap<ServiceKey, (f32, f32, f32)>,
}

impl ZoneMerge {
    fn add(&mut self, now: Instant, max_age: Duration, source: &Source) {
        let age = now.saturating_duration_since(source.sampled);
        if age >= max_age {
            return;
        }
        self.reported += 1;
        self.age = self.age.max(age);
        let applied = self
            .applied
            .map_or(source.applied, |a| a.min(source.applied));
        self.applied = Some(applied);
        self.unsettled_services.extend(&source.unsettled_services);
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

    /// Completes the summary. The hosts of a zone use the same targets, so their figures of targets
    /// are averaged, while their work is added up.
    fn into_sample(mut self) -> Option<Sample> {
        for (service, load) in &mut self.loads {
            let (live, cold, count) = self.targets[service];
            load.live = live / count;
            load.cold = if live > 0.0 { cold / live } else { 0.0 };
        }
        Some(Sample {
            age: self.age,
            applied: self.applied?,
            unsettled_services: self.unsettled_services,
            hosts: (self.live, self.reported),
            roster: 0,
            loads: self.loads,
            needs: self.needs,
        })
    }
}
