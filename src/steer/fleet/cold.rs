//! Cold targets: who may send to them, and how much.
//!
//! A cold target bears few requests a second, from all hosts together, and crashes of more. So few hosts
//! use it at all, each a part of the rate, whatever they know of each other.

use std::sync::Arc;
use std::time::{Duration, Instant};

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use super::member::Member;
use super::Fleet;

/// How long a target gets nothing after it was found to be cold: the span over which requests to a
/// cold target are counted.
const CHILL: Duration = Duration::from_secs(1);

/// A host, for the choice of those that may use a cold target.
#[derive(Clone, Debug)]
pub(super) struct Peer {
    pub(super) name: Arc<str>,
    pub(super) seed: u64,
    region: Arc<str>,
}

impl Peer {
    pub(super) fn new(name: Arc<str>, region: Arc<str>) -> Self {
        Self {
            seed: xxh3_64(name.as_bytes()),
            name,
            region,
        }
    }

    /// The order of hosts at a target of which few may use it, or look after it: those of its region first.
    pub(super) fn rank(&self, member: &Member) -> (bool, u64) {
        let draw = xxh3_64_with_seed(&self.seed.to_le_bytes(), member.seed);
        (self.region == member.region, draw)
    }
}

impl Fleet {
    /// Sets the requests a second that a cold target of a service bears.
    pub fn set_cold_rate(&mut self, service: Arc<str>, rate: f64) {
        self.cold_rates.insert(service, rate);
    }

    /// Sets the names and regions of the hosts that are alive. Until then no cold target is used.
    pub fn set_hosts(&mut self, hosts: Vec<(Arc<str>, Arc<str>)>) {
        self.hosts = hosts
            .into_iter()
            .map(|(name, region)| Peer::new(name, region))
            .collect();
    }

    /// Takes in that a target is cold, as it says itself; tells whether that is news. It gets nothing
    /// for a while at first, since it may just have had its usual requests.
    pub fn chill(&mut self, now: Instant, id: &str, left: Duration) -> bool {
        let key = self.ids.get(id);
        let Some(member) = key.and_then(|key| self.members.get_mut(key)) else {
            return false;
        };
        let is_news = !member.is_cold(now);
        if is_news {
            member.cold_token = Some(now + CHILL);
        }
        member.cold_until = Some(now + left);
        is_news
    }

    /// Whether this host may send a request to a cold target now.
    pub(super) fn may_use_cold(&self, now: Instant, member: &Member) -> bool {
        if !self.is_cold_user(member) {
            return false;
        }
        let rate = self.cold_rate(member);
        match member.cold_token {
            Some(last) if rate > 0.0 => {
                let interval = Duration::from_secs_f64(1.0 / rate);
                now.saturating_duration_since(last) >= interval
            }
            Some(_) => false,
            None => true,
        }
    }

    /// Whether this host is one of the few that may send to a cold target at all. One that has just started and does
    /// not know the others is not: when all started together, each would take the whole rate.
    fn is_cold_user(&self, member: &Member) -> bool {
        self.is_among(self.cold_hosts, member)
    }

    /// Whether this host is one of the first `count` hosts for a target; no while the hosts are not known.
    pub(super) fn is_among(&self, count: usize, member: &Member) -> bool {
        let own = self.own.rank(member);
        let before = self.hosts.iter().filter(|host| host.rank(member) > own);
        !self.hosts.is_empty() && before.take(count).count() < count
    }

    /// The requests a second that this host may send to a cold target: its part of the rate, so that
    /// the sum of all hosts keeps to what the target bears.
    pub(super) fn cold_rate(&self, member: &Member) -> f64 {
        if !self.is_cold_user(member) {
            return 0.0;
        }
        let users = self.hosts.len().clamp(1, self.cold_hosts) as f64;
        let rate = self.cold_rates.get(member.service()).copied();
        rate.unwrap_or_default() / users
    }
}
