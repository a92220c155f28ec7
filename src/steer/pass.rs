//! Requests sent to other zones, and the quotas they are charged to.
//!
//! A request to another region is charged to the region, in slot-seconds, and to the link, in
//! requests and bytes. The quotas' static parts add up over all configured hosts to what the region
//! and the link may carry.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use super::quota::{self, Quota, Refusal};
use crate::catalog::{Catalog, HostKey, RegionKey, ServiceKey, State};

/// Leave to send one request to an entry host of another zone. To be handed back.
#[derive(Clone, Debug)]
pub struct Pass {
    /// The host.
    pub host: HostKey,
    pub(crate) service: ServiceKey,
    pub(crate) region: RegionKey,
    /// Charged to the region, in slot-seconds.
    pub(crate) work: f64,
    /// Charged to the link, in bytes.
    pub(crate) bytes: u64,
    /// When it was given.
    pub(crate) at: Instant,
}

impl Pass {
    /// When it was given.
    pub fn at(&self) -> Instant {
        self.at
    }
}

/// What is handed back with a pass.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Back {
    /// All of it: the request certainly did not run, and nothing was sent.
    All,
    /// Nothing: the request was carried, with this many bytes both ways.
    Nothing {
        /// Bytes of both bodies.
        bytes: u64,
    },
}

/// A service in a region.
pub(crate) type Site = (ServiceKey, RegionKey);

/// One direction of a link between regions.
pub(crate) type Way = (RegionKey, RegionKey);

/// The quotas of one host.
#[derive(Debug)]
pub(crate) struct Quotas {
    incarnation: u64,
    sites: BTreeMap<Site, Quota>,
    requests: BTreeMap<Way, Quota>,
    bytes: BTreeMap<Way, Quota>,
    /// Requests sent over each link since [`Quotas::rooms`] was last asked.
    sent: BTreeMap<Way, u32>,
    asked: Option<Instant>,
}

impl Quotas {
    pub(crate) fn new(incarnation: u64) -> Self {
        Self {
            incarnation,
            sites: BTreeMap::new(),
            requests: BTreeMap::new(),
            bytes: BTreeMap::new(),
            sent: BTreeMap::new(),
            asked: None,
        }
    }

    /// The part of this host's quota of each link that was left free since the last call, 0 to 1.
    pub(crate) fn rooms(&mut self, now: Instant) -> BTreeMap<Way, f64> {
        let since = self.asked.replace(now).unwrap_or(now);
        let time = now.saturating_duration_since(since).as_secs_f64();
        let sent = std::mem::take(&mut self.sent);
        let room = |way: &Way, quota: &Quota| {
            let most = quota.rate(now) * time;
            let used = f64::from(sent.get(way).copied().unwrap_or_default());
            if most > 0.0 {
                (1.0 - used / most).clamp(0.0, 1.0)
            } else {
                1.0
            }
        };
        self.requests
            .iter()
            .map(|(way, quota)| (*way, room(way, quota)))
            .collect()
    }

    /// Sets the static parts by a new configuration; bonuses stay.
    pub(crate) fn configure(&mut self, now: Instant, catalog: &Catalog, own: RegionKey) {
        let incarnation = self.incarnation;
        let utilization = catalog.limits().utilization;
        let regions: Vec<RegionKey> = catalog.regions().map(|(key, _)| key).collect();
        for (service, _) in catalog.services() {
            for &region in regions.iter().filter(|&&region| region != own) {
                let hosts = quota::outside(catalog, region);
                let part = quota::part(slots(catalog, service, region), utilization, hosts);
                set(&mut self.sites, (service, region), now, part, incarnation);
            }
        }
        self.retain_links(catalog, own);
        let hosts = quota::inside(catalog, own);
        for (_, link) in catalog.links().filter(|(_, link)| link.from == own) {
            let way = (link.from, link.to);
            let requests = quota::part(link.requests as f64, utilization, hosts);
            set(&mut self.requests, way, now, requests, incarnation);
            let bytes = quota::part(link.bytes as f64, utilization, hosts);
            set(&mut self.bytes, way, now, bytes, incarnation);
        }
    }

    /// Drops the quotas of links that are no longer configured.
    fn retain_links(&mut self, catalog: &Catalog, own: RegionKey) {
        let is_there = |way: &Way| way.0 == own && catalog.link(way.0, way.1).is_some();
        self.requests.retain(|way, _| is_there(way));
        self.bytes.retain(|way, _| is_there(way));
    }

    /// Takes what one request costs, or nothing.
    pub(crate) fn take(
        &mut self,
        now: Instant,
        own: Option<RegionKey>,
        site: Site,
        work: f64,
        bytes: f64,
    ) -> Result<(), Refusal> {
        let none = Refusal {
            retry_after: Duration::from_secs(1),
        };
        let way = (own.ok_or(none)?, site.1);
        if !self.sites.contains_key(&site) {
            return Err(none);
        }
        let mut charges = self.charges(way, site, work, bytes);
        for at in 0..charges.len() {
            let (quota, cost) = &mut charges[at];
            if let Err(refusal) = quota.take(now, *cost) {
                for (quota, cost) in &mut charges[..at] {
                    quota.put_back(now, *cost);
                }
                return Err(refusal);
            }
        }
        *self.sent.entry(way).or_default() += 1;
        Ok(())
    }

    /// The quotas that a request is charged to, with what each is charged.
    fn charges(&mut self, way: Way, site: Site, work: f64, bytes: f64) -> Vec<(&mut Quota, f64)> {
        let quotas = [
            (self.sites.get_mut(&site), work),
            (self.requests.get_mut(&way), 1.0),
            (self.bytes.get_mut(&way), bytes),
        ];
        quotas
            .into_iter()
            .filter_map(|(quota, cost)| Some((quota?, cost)))
            .collect()
    }

    /// Gives back what [`Quotas::take`] took.
    pub(crate) fn put_back(
        &mut self,
        now: Instant,
        own: Option<RegionKey>,
        site: Site,
        work: f64,
        bytes: f64,
    ) {
        let Some(own) = own else {
            return;
        };
        let way = (own, site.1);
        if let Some(sent) = self.sent.get_mut(&way) {
            *sent = sent.saturating_sub(1);
        }
        for (quota, cost) in self.charges(way, site, work, bytes) {
            quota.put_back(now, cost);
        }
    }

    /// Charges slot-seconds and bytes that were not known before; a debt delays later requests.
    pub(crate) fn charge(
        &mut self,
        now: Instant,
        own: Option<RegionKey>,
        site: Site,
        work: f64,
        bytes: f64,
    ) {
        if let Some(region) = self.sites.get_mut(&site).filter(|_| work > 0.0) {
            region.put_back(now, -work);
        }
        if let Some(link) = own.and_then(|own| self.bytes.get_mut(&(own, site.1))) {
            link.put_back(now, -bytes);
        }
    }
}

/// Sets a static part. A predecessor of the same name may have given up some of a new quota's.
fn set<K: Ord>(quotas: &mut BTreeMap<K, Quota>, key: K, now: Instant, part: f64, incarnation: u64) {
    quotas
        .entry(key)
        .or_insert_with(|| Quota::with_start(part, now, incarnation))
        .set_part(now, part);
}

/// The slots of a service in a region that serve.
fn slots(catalog: &Catalog, service: ServiceKey, region: RegionKey) -> f64 {
    let slots: u32 = catalog
        .sites(service)
        .filter(|&(zone, _)| catalog.region_of(zone) == region)
        .filter(|&(zone, _)| catalog.zone_state(zone) == State::Serving)
        .map(|(_, site)| site.slots)
        .sum();
    f64::from(slots)
}
