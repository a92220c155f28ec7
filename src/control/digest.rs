//! The digest that a delegate sends to the hosts of its own zone about the other zones: which of
//! them are heard, and how full their sites are, in coarse steps. A host needs no more to choose a
//! zone for work that its own cannot take. The receiving zone decides by its own, more precise
//! figures.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use super::membership::{Membership, Report};
use super::summary::{ApplyResult, Load, Source, Table};
use crate::catalog::{Catalog, HostKey, ServiceKey, ZoneKey};

/// Interval between the digests of a delegate while no zone is lost or found.
pub const INTERVAL: Duration = Duration::from_secs(4);
/// Interval between digests that contain all levels.
const FULL_INTERVAL: Duration = Duration::from_secs(32);
/// Number of level steps for a site whose live slots are all in use.
const LEVEL_STEPS: f32 = 20.0;
/// The highest level; fuller sites have the same one.
const MAX_LEVEL: u8 = 100;
/// The level of a site without a live slot.
const CLOSED: u8 = u8::MAX;

/// The other zones from the view of a delegate.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Digest {
    /// The delegate.
    #[serde(rename = "h")]
    pub host: Arc<str>,
    /// Its incarnation.
    #[serde(rename = "i")]
    pub incarnation: u64,
    /// Increases by one with each digest of the incarnation.
    #[serde(rename = "s")]
    pub sequence: u64,
    /// Whether it contains all levels.
    #[serde(rename = "f")]
    pub full: bool,
    /// The digests of the zones.
    #[serde(rename = "z")]
    pub zones: Vec<ZoneDigest>,
}

/// One zone in a digest.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ZoneDigest {
    /// When it was last heard, and whether it is lost.
    #[serde(rename = "z")]
    pub report: Report,
    /// Digest of its roster.
    #[serde(rename = "r")]
    pub roster: u64,
    /// Time since its loads were sampled, in milliseconds.
    #[serde(rename = "a")]
    pub age_ms: u32,
    /// Levels by service. Unchanged levels are left out unless the digest is full.
    #[serde(rename = "l")]
    pub levels: BTreeMap<Arc<str>, u8>,
}

impl ZoneDigest {
    /// A zone that has not reported its load yet.
    fn unmeasured(report: Report) -> Self {
        Self {
            report,
            roster: 0,
            age_ms: u32::MAX,
            levels: BTreeMap::new(),
        }
    }
}

fn level(load: &Load) -> u8 {
    if load.live <= 0.0 {
        return CLOSED;
    }
    let full = (load.in_flight + load.queued) / load.live;
    let level = (full * LEVEL_STEPS)
        .round()
        .clamp(0.0, f32::from(MAX_LEVEL));
    level as u8
}

/// Builds the digests of one delegate.
#[derive(Clone, Debug)]
pub struct Sender {
    host: HostKey,
    incarnation: u64,
    sequence: u64,
    sent: BTreeMap<(ZoneKey, ServiceKey), u8>,
    last_full: Option<Instant>,
}

impl Sender {
    /// Creates a sender that has sent nothing.
    pub fn new(host: HostKey, incarnation: u64) -> Self {
        Self {
            host,
            incarnation,
            sequence: 0,
            sent: BTreeMap::new(),
            last_full: None,
        }
    }

    /// Makes the next digest contain all levels, after a receiver missed one.
    pub fn force_full(&mut self) {
        self.last_full = None;
    }

    /// Builds the next digest.
    pub fn digest(
        &mut self,
        now: Instant,
        summaries: &Table,
        membership: &Membership,
        catalog: &Catalog,
    ) -> Digest {
        self.sequence += 1;
        let full = self.last_full.is_none_or(|at| now >= at + FULL_INTERVAL);
        if full {
            self.last_full = Some(now);
            self.sent.clear();
        }
        let mut zones = Vec::new();
        for report in membership.reports(now) {
            let Some(zone) = catalog.zone_key(&report.zone) else {
                continue;
            };
            match summaries.zone_source(now, zone, catalog) {
                Some(source) => zones.push(self.zone(now, report, zone, source, catalog)),
                None => zones.push(ZoneDigest::unmeasured(report)),
            }
        }
        Digest {
            host: catalog.host(self.host).name.clone(),
            incarnation: self.incarnation,
            sequence: self.sequence,
            full,
            zones,
        }
    }

    fn zone(
        &mut self,
        now: Instant,
        report: Report,
        zone: ZoneKey,
        source: &Source,
        catalog: &Catalog,
    ) -> ZoneDigest {
        let age = now.saturating_duration_since(source.sampled).as_millis();
        let mut levels = BTreeMap::new();
        for (&service, entry) in &source.loads {
            let level = level(&entry.load);
            if self.sent.insert((zone, service), level) != Some(level) {
                levels.insert(catalog.service(service).name.clone(), level);
            }
        }
        ZoneDigest {
            report,
            roster: source.roster,
            age_ms: u32::try_from(age).unwrap_or(u32::MAX),
            levels,
        }
    }
}

/// The last known fill level of a site.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Level {
    /// Running and waiting requests per live slot; infinite if there is none.
    pub filled: f64,
    /// Latest possible time of its sampling, on this host's clock.
    pub sampled: Instant,
}

/// The fill levels of the sites in other zones, as received from the delegate.
#[derive(Clone, Debug, Default)]
pub struct Levels {
    last_order: Option<(HostKey, u64, u64)>,
    /// Whether no digest was missed since the last full one.
    is_complete: bool,
    levels: BTreeMap<(ZoneKey, ServiceKey), Level>,
}

impl Levels {
    /// Creates an empty set of levels.
    pub fn new() -> Self {
        Self::default()
    }

    /// Applies a digest, `delay` after it was sent.
    pub fn apply(
        &mut self,
        now: Instant,
        digest: &Digest,
        delay: Duration,
        catalog: &Catalog,
    ) -> ApplyResult {
        let Some(host) = catalog.host_key(&digest.host) else {
            return ApplyResult::Ignored;
        };
        let next = (host, digest.incarnation, digest.sequence);
        let is_next = match self.last_order {
            Some(last) if last.0 == host && next <= last => return ApplyResult::Ignored,
            Some(last) => next == (last.0, last.1, last.2 + 1),
            None => false,
        };
        self.last_order = Some(next);
        self.is_complete = digest.full || (self.is_complete && is_next);
        if digest.full {
            self.levels.clear();
        }
        for zone in &digest.zones {
            let age = Duration::from_millis(zone.age_ms.into()) + delay;
            let sampled = now.checked_sub(age);
            if let Some((key, sampled)) = catalog.zone_key(&zone.report.zone).zip(sampled) {
                self.apply_zone(key, sampled, &zone.levels, catalog);
            }
        }
        if self.is_complete {
            ApplyResult::Newer
        } else {
            ApplyResult::Gap
        }
    }

    fn apply_zone(
        &mut self,
        zone: ZoneKey,
        sampled: Instant,
        levels: &BTreeMap<Arc<str>, u8>,
        catalog: &Catalog,
    ) {
        if self.is_complete {
            let first = (zone, ServiceKey::from_raw(0.into()));
            let last = (zone, ServiceKey::from_raw(u32::MAX.into()));
            let known = self.levels.range_mut(first..=last);
            known.for_each(|(_, level)| level.sampled = sampled);
        }
        for (name, &level) in levels {
            let filled = match level {
                CLOSED => f64::INFINITY,
                level => f64::from(level) / f64::from(LEVEL_STEPS),
            };
            if let Some(service) = catalog.service_key(name) {
                let level = Level { filled, sampled };
                self.levels.insert((zone, service), level);
            }
        }
    }

    /// The level of a service's site in another zone, if it was received.
    pub fn level(&self, service: ServiceKey, zone: ZoneKey) -> Option<Level> {
        self.levels.get(&(zone, service)).copied()
    }
}
