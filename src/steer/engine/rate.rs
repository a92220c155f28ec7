//! Rate limits that targets announce for all hosts together, divided among the hosts of their zone.
//!
//! Only hosts of a target's zone send to it. The first hosts by rendezvous hashing each get an equal part of its rate, and the others
//! send it nothing, so no message is needed per request. The announced rate is published to all hosts.

use std::collections::BTreeSet;
use std::time::Instant;

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use super::Engine;
use crate::catalog::{State, TargetKey};
use crate::steer::throttle::RateUpdate;

impl Engine {
    /// Records the rate in a target's answer to a request that was sent at `sent_at`. Returns the update to publish to other hosts, if any.
    pub fn record_rate(
        &mut self,
        now: Instant,
        target: TargetKey,
        sent_at: Instant,
        rate: Option<f64>,
    ) -> Option<RateUpdate> {
        let digest = self.target_digest(target);
        let before = self.throttle.rate(digest);
        let update = self.throttle.observe(now, digest, sent_at, rate);
        if self.throttle.rate(digest) != before {
            self.apply_rate_shares(now);
        }
        update
    }

    /// Merges the rate that another host has. Returns whether the target thereby started or stopped announcing a rate, or raised it much.
    pub fn merge_rate(&mut self, now: Instant, update: &RateUpdate) -> bool {
        let is_changed = self.throttle.merge_update(now, update);
        if is_changed {
            self.apply_rate_shares(now);
        }
        is_changed
    }

    /// Returns the targets of this zone that announce a rate.
    pub fn rate_limited_targets(&self) -> BTreeSet<TargetKey> {
        let sites = self.groups.keys().filter_map(|service| {
            let site = self.catalog.site(*service, self.zone?)?;
            Some(site.targets.iter().copied())
        });
        sites
            .flatten()
            .filter(|target| self.throttle.rate(self.target_digest(*target)).is_some())
            .collect()
    }

    /// Returns all known rates, for a host that may lack them.
    pub fn known_rates(&self, now: Instant) -> Vec<RateUpdate> {
        self.throttle.updates(now).collect()
    }

    /// Drops expired rates.
    pub(super) fn expire_rates(&mut self, now: Instant) {
        if self.throttle.expire(now) {
            self.apply_rate_shares(now);
        }
    }

    /// Sets this host's share of the rate of each target that announces one.
    pub(super) fn apply_rate_shares(&mut self, now: Instant) {
        let Some(zone) = self.zone else {
            return;
        };
        // Until the live hosts are known, all configured hosts of the zone count as live.
        let is_settling = self.is_settling(now);
        let host_hashes: Vec<u64> = self
            .catalog
            .hosts()
            .filter(|(_, host)| host.zone == zone && host.state != State::Off)
            .filter(|(key, host)| {
                is_settling || self.live_hosts.contains(key) || host.name == self.host
            })
            .map(|(_, host)| xxh3_64(host.name.as_bytes()))
            .collect();
        let own_hash = xxh3_64(self.host.as_bytes());
        for (&service, group) in &mut self.groups {
            let targets = self.catalog.site(service, zone).map(|site| &site.targets);
            for &target in targets.into_iter().flatten() {
                let digest = xxh3_64(self.catalog.target(target).name.as_bytes());
                let share = self.throttle.rate(digest).map(|rate| {
                    let sender_count = self.throttle.allocator_count(digest, host_hashes.len());
                    let rank = |host: &u64| xxh3_64_with_seed(&host.to_le_bytes(), digest);
                    let preceding = host_hashes
                        .iter()
                        .filter(|host| rank(host) > rank(&own_hash));
                    let is_sender = preceding.take(sender_count).count() < sender_count;
                    if is_sender {
                        rate / sender_count as f64
                    } else {
                        0.0
                    }
                });
                group.set_rate_share(now, target, share);
            }
        }
    }

    /// Returns the hash of a target's name, which identifies it in messages between hosts.
    pub(super) fn target_digest(&self, target: TargetKey) -> u64 {
        xxh3_64(self.catalog.target(target).name.as_bytes())
    }
}
