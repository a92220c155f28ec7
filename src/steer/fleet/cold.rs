//! Limits on requests to cold targets.
//!
//! A cold target can process only a few requests a second, from all hosts together, and crashes
//! under more. So only a few hosts use it at all, each with a share of the rate, without
//! coordination between them.

use std::sync::Arc;
use std::time::{Duration, Instant};

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use super::member::Member;
use super::Fleet;
use crate::duration;
use crate::inventory::TargetKey;

/// Time for which a target receives no requests after it was found to be cold: the span over which
/// requests to a cold target are counted.
const INITIAL_COLD_PAUSE: Duration = Duration::from_secs(1);
/// Number of targets of a service and zone that have to turn cold until the others are assumed to
/// be cold as well.
const MIN_COLD_NEIGHBORS: usize = 2;
/// Time for which a target is assumed to be cold because its neighbors are: the time in which its
/// own probe is answered or times out.
const ASSUMED_COLD_TIME: Duration = Duration::from_secs(1);

/// A host as ranked for a target.
#[derive(Clone, Debug)]
pub(super) struct FleetHost {
    pub(super) name: Arc<str>,
    pub(super) name_hash: u64,
    region: Arc<str>,
}

impl FleetHost {
    pub(super) fn new(name: Arc<str>, region: Arc<str>) -> Self {
        Self {
            name_hash: xxh3_64(name.as_bytes()),
            name,
            region,
        }
    }

    /// Returns the sort key of this host among the few that use or check a target: hosts of the
    /// target's region come first.
    pub(super) fn rank(&self, member: &Member) -> (bool, u64) {
        let weight = xxh3_64_with_seed(&self.name_hash.to_le_bytes(), member.id_hash);
        (self.region == member.region, weight)
    }
}

impl Fleet {
    /// Sets the requests a second that a cold target of a service can process.
    pub fn set_cold_rate(&mut self, service: Arc<str>, rate: f64) {
        self.cold_rates.insert(service, rate);
    }

    /// Sets the names and regions of the live hosts. Until then no cold target is used.
    pub fn set_live_hosts(&mut self, hosts: Vec<(Arc<str>, Arc<str>)>) {
        self.live_hosts = hosts
            .into_iter()
            .map(|(name, region)| FleetHost::new(name, region))
            .collect();
        let of_region = |host: &&FleetHost| host.region == self.region;
        self.region_host_count = self.live_hosts.iter().filter(of_region).count();
    }

    /// Records that a target reports that it is cold. Returns whether this is a change. The target
    /// receives no requests for [`INITIAL_COLD_PAUSE`] at first, since it may just have received
    /// its usual load.
    pub fn mark_cold(&mut self, now: Instant, id: &str, remaining: Duration) -> bool {
        let key = self.ids.get(id);
        let Some(member) = key.and_then(|key| self.members.get_mut(key)) else {
            return false;
        };
        let has_changed = !member.is_cold(now);
        if has_changed {
            member.last_cold_request = Some(now + INITIAL_COLD_PAUSE);
        }
        member.cold_until = Some(duration::after(now, remaining));
        if has_changed {
            let (service, zone) = (member.service().clone(), member.registration.zone.clone());
            self.assume_cold_zone(now, &service, &zone);
        }
        has_changed
    }

    /// Pauses the targets of a service and zone of which at least half are cold. Targets turn cold
    /// together when their zone returns, and a busy one answers its probe only after the requests
    /// that are queued there.
    fn assume_cold_zone(&mut self, now: Instant, service: &str, zone: &str) {
        let keys: Vec<TargetKey> = self
            .services
            .get(service)
            .into_iter()
            .flatten()
            .copied()
            .filter(|key| {
                let member = self.members.get(key);
                member.is_some_and(|member| &*member.registration.zone == zone)
            })
            .collect();
        let is_cold = |key: &&TargetKey| {
            let member = self.members.get(key);
            member.is_some_and(|member| member.is_cold(now))
        };
        let cold_count = keys.iter().filter(is_cold).count();
        if cold_count < MIN_COLD_NEIGHBORS || cold_count * 2 < keys.len() {
            return;
        }
        for key in keys {
            let member = self.members.get_mut(&key);
            if let Some(member) = member.filter(|member| !member.is_cold(now)) {
                member.cold_until = Some(now + ASSUMED_COLD_TIME);
                member.last_cold_request = Some(now + INITIAL_COLD_PAUSE);
            }
        }
    }

    /// Whether this host may send a request to a cold target now.
    pub(super) fn may_use_cold(&self, now: Instant, member: &Member) -> bool {
        if !self.is_cold_user(member) {
            return false;
        }
        let rate = self.cold_rate(member);
        match member.last_cold_request {
            Some(last) if rate > 0.0 => {
                let interval = duration::from_seconds(1.0 / rate);
                now.saturating_duration_since(last) >= interval
            }
            Some(_) => false,
            None => true,
        }
    }

    /// Whether this host is one of the few that may use a cold target at all. A host that has just
    /// started and has no list of live hosts is not: if all started together, each would use the
    /// whole rate.
    fn is_cold_user(&self, member: &Member) -> bool {
        self.is_among_first(self.max_cold_hosts, member)
    }

    /// Whether this host is one of the first `count` hosts for a target; `false` while the live
    /// hosts are not known.
    pub(super) fn is_among_first(&self, count: usize, member: &Member) -> bool {
        let own_rank = self.own_host.rank(member);
        let preceding = self
            .live_hosts
            .iter()
            .filter(|host| host.rank(member) > own_rank);
        !self.live_hosts.is_empty() && preceding.take(count).count() < count
    }

    /// Returns the requests a second that this host may send to a cold target: its share of the
    /// rate, so that the sum over all hosts stays within what the target can process.
    pub(super) fn cold_rate(&self, member: &Member) -> f64 {
        if !self.is_cold_user(member) {
            return 0.0;
        }
        let users = self.live_hosts.len().clamp(1, self.max_cold_hosts) as f64;
        let rate = self.cold_rates.get(member.service()).copied();
        rate.unwrap_or_default() / users
    }
}
