//! What a delegate tells the hosts of its own zone about the other zones: which are heard, and
//! how full their sites are, in coarse steps. That is all a host needs to choose a zone for work
//! that its own cannot take; the zone that gets it decides by what it knows itself.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use super::membership::{Membership, Report};
use super::summary::{Load, Source, Table, Taken};
use crate::catalog::{Catalog, HostKey, ServiceKey, ZoneKey};

/// Time between the digests of a delegate, when no zone is lost or found.
pub const INTERVAL: Duration = Duration::from_secs(4);
/// Time between digests that hold all levels.
const FULL: Duration = Duration::from_secs(32);
/// Steps of a level for a site whose live slots are all in use.
const STEPS: f32 = 20.0;
/// The highest level that is told apart.
const HIGHEST: u8 = 100;
/// Level of a site without a live slot.
const CLOSED: u8 = u8::MAX;

/// The zones as a delegate sees them.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Digest {
    /// The delegate.
    #[serde(rename = "h")]
    pub host: Arc<str>,
    /// Its incarnation.
    #[serde(rename = "i")]
    pub incarnation: u64,
    /// Rises by one with each digest of the incarnation.
    #[serde(rename = "s")]
    pub sequence: u64,
    /// Whether all levels are in it.
    #[serde(rename = "f")]
    pub full: bool,
    /// What it says of each zone.
    #[serde(rename = "z")]
    pub zones: Vec<Zone>,
}

/// One zone in a digest.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Zone {
    /// Whether it is heard.
    #[serde(rename = "z")]
    pub report: Report,
    /// Digest of its roster.
    #[serde(rename = "r")]
    pub roster: u64,
    /// Time since its loads were sampled, in milliseconds.
    #[serde(rename = "a")]
    pub age_ms: u32,
    /// Levels by service; without those that are as they were.
    #[serde(rename = "l")]
    pub levels: BTreeMap<Arc<str>, u8>,
}

impl Zone {
    /// A zone that told nothing of its load yet.
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
    let level = (full * STEPS).round().clamp(0.0, f32::from(HIGHEST));
    level as u8
}

/// Makes the digests of one delegate.
#[derive(Clone, Debug)]
pub struct Sender {
    host: HostKey,
    incarnation: u64,
    sequence: u64,
    sent: BTreeMap<(ZoneKey, ServiceKey), u8>,
    filled: Option<Instant>,
}

impl Sender {
    /// A sender that has sent nothing.
    pub fn new(host: HostKey, incarnation: u64) -> Self {
        Self {
            host,
            incarnation,
            sequence: 0,
            sent: BTreeMap::new(),
            filled: None,
        }
    }

    /// The next digest is to hold all levels: somebody missed one.
    pub fn refill(&mut self) {
        self.filled = None;
    }

    /// The next digest.
    pub fn digest(
        &mut self,
        now: Instant,
        summaries: &Table,
        membership: &Membership,
        catalog: &Catalog,
    ) -> Digest {
        self.sequence += 1;
        let full = self.filled.is_none_or(|at| now >= at + FULL);
        if full {
            self.filled = Some(now);
            self.sent.clear();
        }
        let mut zones = Vec::new();
        for report in membership.reports(now) {
            let Some(zone) = catalog.zone_key(&report.zone) else {
                continue;
            };
            match summaries.zone(now, zone, catalog) {
                Some(source) => zones.push(self.zone(now, report, zone, source, catalog)),
                None => zones.push(Zone::unmeasured(report)),
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
    ) -> Zone {
        let age = now.saturating_duration_since(source.sampled).as_millis();
        let mut levels = BTreeMap::new();
        for (&service, entry) in &source.loads {
            let level = level(&entry.load);
            if self.sent.insert((zone, service), level) != Some(level) {
                levels.insert(catalog.service(service).name.clone(), level);
            }
        }
        Zone {
            report,
            roster: source.roster,
            age_ms: u32::try_from(age).unwrap_or(u32::MAX),
            levels,
        }
    }
}

/// How full a site is, as far as is known.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Level {
    /// Requests running and waiting for each live slot; infinite if there is none.
    pub filled: f64,
    /// When it was sampled, at the latest, on the own clock.
    pub sampled: Instant,
}

/// The levels of the sites in other zones, as the delegate tells them.
#[derive(Clone, Debug, Default)]
pub struct Levels {
    order: Option<(HostKey, u64, u64)>,
    /// Whether no digest was missed since the last one that held all levels.
    whole: bool,
    levels: BTreeMap<(ZoneKey, ServiceKey), Level>,
}

impl Levels {
    /// Nothing is known.
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes in a digest, `delay` after it was sent as far as is known.
    pub fn take(
        &mut self,
        now: Instant,
        digest: &Digest,
        delay: Duration,
        catalog: &Catalog,
    ) -> Taken {
        let Some(host) = catalog.host_key(&digest.host) else {
            return Taken::Ignored;
        };
        let next = (host, digest.incarnation, digest.sequence);
        let follows = match self.order {
            Some(last) if last.0 == host && next <= last => return Taken::Ignored,
            Some(last) => next == (last.0, last.1, last.2 + 1),
            None => false,
        };
        self.order = Some(next);
        self.whole = digest.full || (self.whole && follows);
        if digest.full {
            self.levels.clear();
        }
        for zone in &digest.zones {
            let age = Duration::from_millis(zone.age_ms.into()) + delay;
            let sampled = now.checked_sub(age);
            if let Some((key, sampled)) = catalog.zone_key(&zone.report.zone).zip(sampled) {
                self.take_zone(key, sampled, &zone.levels, catalog);
            }
        }
        if self.whole {
            Taken::Newer
        } else {
            Taken::Gap
        }
    }

    fn take_zone(
        &mut self,
        zone: ZoneKey,
        sampled: Instant,
        levels: &BTreeMap<Arc<str>, u8>,
        catalog: &Catalog,
    ) {
        if self.whole {
            let first = (zone, ServiceKey::from_raw(0.into()));
            let last = (zone, ServiceKey::from_raw(u32::MAX.into()));
            let known = self.levels.range_mut(first..=last);
            known.for_each(|(_, level)| level.sampled = sampled);
        }
        for (name, &level) in levels {
            let filled = match level {
                CLOSED => f64::INFINITY,
                level => f64::from(level) / f64::from(STEPS),
            };
            if let Some(service) = catalog.service_key(name) {
                let level = Level { filled, sampled };
                self.levels.insert((zone, service), level);
            }
        }
    }

    /// How full the site of a service in another zone is, if that was told.
    pub fn level(&self, service: ServiceKey, zone: ZoneKey) -> Option<Level> {
        self.levels.get(&(zone, service)).copied()
    }
}
