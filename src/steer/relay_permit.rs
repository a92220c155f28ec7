//! Requests relayed to other zones, and the quotas they are charged to.
//!
//! A request to another region is charged to the region's quota, in slot-seconds, and to the link's
//! quotas, in requests and bytes. The static parts of all configured hosts add up to the capacity that
//! may be used in the region and on the link.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use super::quota::{self, Quota, Refusal};
use crate::catalog::{Catalog, HostKey, RegionKey, ServiceKey, State};

/// Permission to send one request to an entry host of another zone. Must be returned with
/// [`Engine::finish_relay`](super::engine::Engine::finish_relay).
#[derive(Clone, Debug)]
pub struct RelayPermit {
    /// Host to which the request is sent.
    pub host: HostKey,
    pub(crate) service: ServiceKey,
    pub(crate) region: RegionKey,
    /// Charged to the region, in slot-seconds.
    pub(crate) slot_seconds: f64,
    /// Charged to the link, in bytes.
    pub(crate) bytes: u64,
    /// Time at which the permit was issued.
    pub(crate) issued_at: Instant,
}

impl RelayPermit {
    /// Returns the time at which the permit was issued.
    pub fn issued_at(&self) -> Instant {
        self.issued_at
    }
}

/// How much of a returned permit was used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PermitUsage {
    /// Nothing was sent and the request certainly was not executed; its whole charge is refunded.
    Unused,
    /// The request was sent, with this many bytes in both directions; nothing is refunded.
    Used {
        /// Bytes of the request and answer bodies.
        bytes: u64,
    },
}

/// A service in a region.
pub(crate) type RegionalService = (ServiceKey, RegionKey);

/// One direction of a link between regions.
pub(crate) type LinkDirection = (RegionKey, RegionKey);

/// The quotas of one host.
#[derive(Debug)]
pub(crate) struct RelayQuotas {
    incarnation: u64,
    region_quotas: BTreeMap<RegionalService, Quota>,
    link_request_quotas: BTreeMap<LinkDirection, Quota>,
    link_byte_quotas: BTreeMap<LinkDirection, Quota>,
    /// Requests sent over each link since the last call of [`RelayQuotas::link_headroom`].
    sent_requests: BTreeMap<LinkDirection, u32>,
    headroom_read_at: Option<Instant>,
}

impl RelayQuotas {
    pub(crate) fn new(incarnation: u64) -> Self {
        Self {
            incarnation,
            region_quotas: BTreeMap::new(),
            link_request_quotas: BTreeMap::new(),
            link_byte_quotas: BTreeMap::new(),
            sent_requests: BTreeMap::new(),
            headroom_read_at: None,
        }
    }

    /// Returns the unused fraction of this host's quota of each link since the last call, 0 to 1.
    pub(crate) fn link_headroom(&mut self, now: Instant) -> BTreeMap<LinkDirection, f64> {
        let since = self.headroom_read_at.replace(now).unwrap_or(now);
        let seconds = now.saturating_duration_since(since).as_secs_f64();
        let sent = std::mem::take(&mut self.sent_requests);
        let unused_fraction = |link: &LinkDirection, quota: &Quota| {
            let quota_requests = quota.rate(now) * seconds;
            let used_requests = f64::from(sent.get(link).copied().unwrap_or_default());
            if quota_requests > 0.0 {
                (1.0 - used_requests / quota_requests).clamp(0.0, 1.0)
            } else {
                1.0
            }
        };
        self.link_request_quotas
            .iter()
            .map(|(link, quota)| (*link, unused_fraction(link, quota)))
            .collect()
    }

    /// Sets the static parts from a new configuration; bonuses are kept.
    pub(crate) fn configure(&mut self, now: Instant, catalog: &Catalog, own: RegionKey) {
        let incarnation = self.incarnation;
        let utilization = catalog.limits().utilization;
        let regions: Vec<RegionKey> = catalog.regions().map(|(key, _)| key).collect();
        for (service, _) in catalog.services() {
            for &region in regions.iter().filter(|&&region| region != own) {
                let hosts = quota::hosts_outside(catalog, region);
                let part =
                    quota::static_part(serving_slots(catalog, service, region), utilization, hosts);
                set_static_part(
                    &mut self.region_quotas,
                    (service, region),
                    now,
                    part,
                    incarnation,
                );
            }
        }
        self.retain_links(catalog, own);
        let hosts = quota::hosts_inside(catalog, own);
        for (_, link) in catalog.links().filter(|(_, link)| link.from == own) {
            let direction = (link.from, link.to);
            let requests = quota::static_part(link.max_requests_per_s as f64, utilization, hosts);
            set_static_part(
                &mut self.link_request_quotas,
                direction,
                now,
                requests,
                incarnation,
            );
            let bytes = quota::static_part(link.max_bytes_per_s as f64, utilization, hosts);
            set_static_part(
                &mut self.link_byte_quotas,
                direction,
                now,
                bytes,
                incarnation,
            );
        }
    }

    /// Drops the quotas of links that are no longer configured.
    fn retain_links(&mut self, catalog: &Catalog, own: RegionKey) {
        let is_configured =
            |link: &LinkDirection| link.0 == own && catalog.link(link.0, link.1).is_some();
        self.link_request_quotas
            .retain(|link, _| is_configured(link));
        self.link_byte_quotas.retain(|link, _| is_configured(link));
    }

    /// Charges one request to all its quotas, or to none if one of them refuses.
    pub(crate) fn charge(
        &mut self,
        now: Instant,
        own: Option<RegionKey>,
        site: RegionalService,
        slot_seconds: f64,
        bytes: f64,
    ) -> Result<(), Refusal> {
        let none = Refusal {
            retry_after: Duration::from_secs(1),
        };
        let link = (own.ok_or(none)?, site.1);
        if !self.region_quotas.contains_key(&site) {
            return Err(none);
        }
        let mut charges = self.quotas_and_costs(link, site, slot_seconds, bytes);
        for at in 0..charges.len() {
            let (quota, cost) = &mut charges[at];
            if let Err(refusal) = quota.take(now, *cost) {
                for (quota, cost) in &mut charges[..at] {
                    quota.refund(now, *cost);
                }
                return Err(refusal);
            }
        }
        *self.sent_requests.entry(link).or_default() += 1;
        Ok(())
    }

    /// Returns the quotas that a request is charged to, each with its cost.
    fn quotas_and_costs(
        &mut self,
        link: LinkDirection,
        site: RegionalService,
        slot_seconds: f64,
        bytes: f64,
    ) -> Vec<(&mut Quota, f64)> {
        let quotas = [
            (self.region_quotas.get_mut(&site), slot_seconds),
            (self.link_request_quotas.get_mut(&link), 1.0),
            (self.link_byte_quotas.get_mut(&link), bytes),
        ];
        quotas
            .into_iter()
            .filter_map(|(quota, cost)| Some((quota?, cost)))
            .collect()
    }

    /// Refunds what [`RelayQuotas::charge`] took.
    pub(crate) fn refund(
        &mut self,
        now: Instant,
        own: Option<RegionKey>,
        site: RegionalService,
        slot_seconds: f64,
        bytes: f64,
    ) {
        let Some(own) = own else {
            return;
        };
        let link = (own, site.1);
        if let Some(sent) = self.sent_requests.get_mut(&link) {
            *sent = sent.saturating_sub(1);
        }
        for (quota, cost) in self.quotas_and_costs(link, site, slot_seconds, bytes) {
            quota.refund(now, cost);
        }
    }

    /// Charges slot-seconds and bytes that were not known in advance; a resulting debt delays later
    /// requests.
    pub(crate) fn charge_extra(
        &mut self,
        now: Instant,
        own: Option<RegionKey>,
        site: RegionalService,
        slot_seconds: f64,
        bytes: f64,
    ) {
        if let Some(region_quota) = self
            .region_quotas
            .get_mut(&site)
            .filter(|_| slot_seconds > 0.0)
        {
            region_quota.refund(now, -slot_seconds);
        }
        if let Some(link_quota) = own.and_then(|own| self.link_byte_quotas.get_mut(&(own, site.1)))
        {
            link_quota.refund(now, -bytes);
        }
    }
}

/// Sets a static part. A new quota starts reduced, since a predecessor with the same host name may have
/// released some of its part.
fn set_static_part<K: Ord>(
    quotas: &mut BTreeMap<K, Quota>,
    key: K,
    now: Instant,
    part: f64,
    incarnation: u64,
) {
    quotas
        .entry(key)
        .or_insert_with(|| Quota::with_start(part, now, incarnation))
        .set_static_part(now, part);
}

/// Returns the slots of a service in the serving zones of a region.
fn serving_slots(catalog: &Catalog, service: ServiceKey, region: RegionKey) -> f64 {
    let slots: u32 = catalog
        .sites(service)
        .filter(|&(zone, _)| catalog.region_of(zone) == region)
        .filter(|&(zone, _)| catalog.zone_state(zone) == State::Serving)
        .map(|(_, site)| site.slots)
        .sum();
    f64::from(slots)
}
