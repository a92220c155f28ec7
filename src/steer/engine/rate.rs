//! Targets that name the rate that they take from all hosts together, as the hosts of their zone share it.
//!
//! Only hosts of a target's zone send to it. The first of them by rendezvous hashing have a part of its rate each, and the others send
//! it nothing, so no message is needed for a request; what a target names is told to all.

use std::collections::BTreeSet;
use std::time::Instant;

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use super::Engine;
use crate::catalog::{State, TargetKey};
use crate::steer::throttle::RateUpdate;

impl Engine {
    /// Takes in what a target's answer to a request said that was sent at `at`. Gives what the other hosts are to be told.
    pub fn state(
        &mut self,
        now: Instant,
        target: TargetKey,
        at: Instant,
        rate: Option<f64>,
    ) -> Option<RateUpdate> {
        let digest = self.digest(target);
        let before = self.throttle.rate(digest);
        let news = self.throttle.observe(now, digest, at, rate);
        if self.throttle.rate(digest) != before {
            self.share_rates(now);
        }
        news
    }

    /// Takes in what another host knows of a target's rate; says whether the target begins or ends to name one by that.
    pub fn hear_rate(&mut self, now: Instant, news: &RateUpdate) -> bool {
        let is_news = self.throttle.merge_update(now, news);
        if is_news {
            self.share_rates(now);
        }
        is_news
    }

    /// The targets of this zone that name a rate.
    pub fn limited(&self) -> BTreeSet<TargetKey> {
        let sites = self.groups.keys().filter_map(|service| {
            let site = self.catalog.site(*service, self.zone?)?;
            Some(site.targets.iter().copied())
        });
        sites
            .flatten()
            .filter(|target| self.throttle.rate(self.digest(*target)).is_some())
            .collect()
    }

    /// What is known of the rates that targets name, for a host that may not know of them.
    pub fn rates(&self, now: Instant) -> Vec<RateUpdate> {
        self.throttle.updates(now).collect()
    }

    /// Forgets rates that are of no more use.
    pub(super) fn expire_rates(&mut self, now: Instant) {
        if self.throttle.expire(now) {
            self.share_rates(now);
        }
    }

    /// Sets what this host may send to each target that names a rate.
    pub(super) fn share_rates(&mut self, now: Instant) {
        let Some(zone) = self.zone else {
            return;
        };
        // Until the live hosts are known, all of the zone are taken to be there.
        let is_settling = self.is_settling(now);
        let hosts: Vec<u64> = self
            .catalog
            .hosts()
            .filter(|(_, host)| host.zone == zone && host.state != State::Off)
            .filter(|(key, host)| is_settling || self.live.contains(key) || host.name == self.host)
            .map(|(_, host)| xxh3_64(host.name.as_bytes()))
            .collect();
        let own = xxh3_64(self.host.as_bytes());
        for (&service, group) in &mut self.groups {
            let targets = self.catalog.site(service, zone).map(|site| &site.targets);
            for &target in targets.into_iter().flatten() {
                let digest = xxh3_64(self.catalog.target(target).name.as_bytes());
                let share = self.throttle.rate(digest).map(|rate| {
                    let keepers = self.throttle.allocator_count(digest, hosts.len());
                    let rank = |host: &u64| xxh3_64_with_seed(&host.to_le_bytes(), digest);
                    let before = hosts.iter().filter(|host| rank(host) > rank(&own));
                    let is_keeper = before.take(keepers).count() < keepers;
                    if is_keeper {
                        rate / keepers as f64
                    } else {
                        0.0
                    }
                });
                group.set_share(now, target, share);
            }
        }
    }

    /// What hosts know a target by between each other.
    pub(super) fn digest(&self, target: TargetKey) -> u64 {
        xxh3_64(self.catalog.target(target).name.as_bytes())
    }
}
