//! Rate limits that targets announce: their allocation to hosts, and permission to send requests.

use std::sync::Arc;
use std::time::{Duration, Instant};

use rand::seq::IteratorRandom;
use rand::Rng;
use xxhash_rust::xxh3::xxh3_64;

use super::cold::FleetHost;
use super::member::Member;
use super::Fleet;
use crate::inventory::TargetKey;
use crate::steer::throttle::{Assignment, Claim, Grant, RateUpdate};

/// Whether a request may be sent to the target that was selected for it.
#[derive(Clone, Debug, PartialEq)]
pub enum Permission {
    /// It may be sent.
    Granted,
    /// It may not be sent; the target is skipped until there may be capacity.
    Denied,
    /// A claim has to be sent to the host of this name first.
    Ask(Arc<str>, Claim),
}

impl Fleet {
    /// Requests permission to send one request to the target that was selected for it.
    pub fn request_permission(
        &mut self,
        now: Instant,
        (key, assignment): (TargetKey, Assignment),
        rng: &mut impl Rng,
    ) -> Permission {
        let member = self.members.get(&key);
        let Some(member) = member.filter(|member| self.is_available(member)) else {
            return Permission::Denied;
        };
        if self.rests_for(now, member).is_some() {
            return Permission::Denied;
        }
        let target = member.digest();
        let Some(update) = self.throttle.current_update(now, target) else {
            return Permission::Granted;
        };
        if update.1.is_none() || self.throttle.spend(now, target) {
            return Permission::Granted;
        }
        let mut allocators: Vec<FleetHost> = self.allocators(member).into_iter().cloned().collect();
        self.claim_count = self.claim_count.wrapping_add(1);
        let claim = Claim(self.claim_count, update, assignment);
        if allocators
            .iter()
            .any(|allocator| allocator.name_hash == self.own_host.name_hash)
        {
            let grant = self
                .throttle
                .grant(now, &claim, true, self.live_hosts.len());
            self.throttle
                .record_grant(now, self.own_host.name_hash, &grant);
            if self.throttle.spend(now, target) {
                return Permission::Granted;
            }
        }
        allocators.retain(|allocator| {
            allocator.name_hash != self.own_host.name_hash
                && !self
                    .throttle
                    .is_paused(now, target, allocator.name_hash, assignment)
        });
        match allocators.into_iter().choose(rng) {
            Some(allocator) => Permission::Ask(allocator.name, claim),
            None => {
                self.throttle.close(now, target, assignment);
                Permission::Denied
            }
        }
    }

    /// Whether a request may be sent after its claim was answered: it was granted, or the target no
    /// longer announces a rate.
    pub fn use_grant(&mut self, now: Instant, key: TargetKey) -> bool {
        let member = self.members.get(&key);
        let Some(target) = member
            .filter(|member| self.is_available(member) && self.rests_for(now, member).is_none())
            .map(Member::digest)
        else {
            return false;
        };
        self.throttle.rate(target).is_none() || self.throttle.spend(now, target)
    }

    /// Answers a claim of another host. If this host is not an allocator of the target the grant is
    /// empty.
    pub fn grant(&mut self, now: Instant, claim: &Claim) -> Grant {
        let target = claim.1 .0;
        self.throttle.merge_update(now, &claim.1);
        let hosts = self.live_hosts.len();
        let allocators = self.throttle.allocator_count(target, hosts);
        let known = self
            .members
            .values()
            .find(|member| member.digest() == target);
        let is_allocator = known.is_some_and(|member| self.is_among_first(allocators, member));
        self.throttle.grant(now, claim, is_allocator, hosts)
    }

    /// Records the answer of the host `allocator` to a claim.
    pub fn record_grant(&mut self, now: Instant, allocator: &str, grant: &Grant) {
        let allocator = xxh3_64(allocator.as_bytes());
        self.throttle.record_grant(now, allocator, grant);
    }

    /// Records that a claim was not answered.
    pub fn record_unanswered_claim(&mut self, now: Instant, allocator: &str, claim: &Claim) {
        let allocator = xxh3_64(allocator.as_bytes());
        self.throttle
            .record_unanswered_claim(now, claim.1 .0, allocator);
    }

    /// Records the rate that a target's answer announces; the request was sent at `sent_at`. Returns
    /// the update to broadcast to all hosts, if any.
    pub fn observe_rate(
        &mut self,
        now: Instant,
        key: TargetKey,
        sent_at: Instant,
        rate: Option<f64>,
    ) -> Option<RateUpdate> {
        let target = self.members.get(&key)?.digest();
        self.throttle.observe(now, target, sent_at, rate)
    }

    /// Merges the rate that another host has. Returns the target if it thereby started or stopped
    /// announcing a rate.
    pub fn merge_rate(&mut self, now: Instant, update: &RateUpdate) -> Option<Arc<str>> {
        if !self.throttle.merge_update(now, update) {
            return None;
        }
        let known = self
            .members
            .values()
            .find(|member| member.digest() == update.0);
        known.map(|member| member.id().clone())
    }

    /// Returns the rates that targets announce, to be sent to other hosts.
    pub fn rate_updates(&self, now: Instant) -> impl Iterator<Item = RateUpdate> + '_ {
        self.throttle.updates(now)
    }

    /// Removes expired rates.
    pub fn expire_rates(&mut self, now: Instant) {
        self.throttle.expire(now);
    }

    /// Returns the time until a target may receive requests, or `None` if it is not closed by its
    /// rate or its rest.
    pub(super) fn closed_for(
        &self,
        now: Instant,
        member: &Member,
        assignment: Assignment,
    ) -> Option<Duration> {
        let until_granted =
            self.throttle
                .closed_for(now, member.digest(), assignment, self.live_hosts.len());
        self.rests_for(now, member).max(until_granted)
    }

    /// Whether a target may be closed by its rate or its rest.
    pub(super) fn is_limited(&self, member: &Member) -> bool {
        member.rest.is_active() || self.throttle.rate(member.digest()).is_some()
    }

    /// Returns the hosts that allocate a target's rate: the first of all live hosts, or none while
    /// these are not known.
    fn allocators(&self, member: &Member) -> Vec<&FleetHost> {
        let allocator_count = self
            .throttle
            .allocator_count(member.digest(), self.live_hosts.len());
        let mut hosts: Vec<&FleetHost> = self.live_hosts.iter().collect();
        hosts.sort_by_key(|host| std::cmp::Reverse(host.rank(member)));
        hosts.truncate(allocator_count);
        hosts
    }
}
