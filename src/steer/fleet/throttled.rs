//! Targets that name the rate that they take: who shares it out, and whether a request may be sent.

use std::sync::Arc;
use std::time::{Duration, Instant};

use rand::seq::IteratorRandom;
use rand::Rng;
use xxhash_rust::xxh3::xxh3_64;

use super::cold::Peer;
use super::member::Member;
use super::Fleet;
use crate::inventory::TargetKey;
use crate::steer::throttle::{Assignment, Claim, Grant, RateUpdate};

/// Whether a request may be sent to a target that was chosen for it.
#[derive(Clone, Debug, PartialEq)]
pub enum Leave {
    /// It may.
    Given,
    /// It may not; the target is passed over until there may be room.
    Refused,
    /// The host of this name is to be asked.
    Ask(Arc<str>, Claim),
}

impl Fleet {
    /// Whether a request may be sent now to a target that was chosen for it. Each leave is for one request.
    pub fn leave(
        &mut self,
        now: Instant,
        (key, fit): (TargetKey, Assignment),
        rng: &mut impl Rng,
    ) -> Leave {
        let Some(member) = self.members.get(&key) else {
            return Leave::Refused;
        };
        let target = member.digest();
        let Some(news) = self.throttle.current_update(now, target) else {
            return Leave::Given;
        };
        if news.1.is_none() || self.throttle.spend(now, target) {
            return Leave::Given;
        }
        let mut keepers: Vec<Peer> = self.keepers(member).into_iter().cloned().collect();
        self.claims = self.claims.wrapping_add(1);
        let claim = Claim(self.claims, news, fit);
        if keepers.iter().any(|keeper| keeper.seed == self.own.seed) {
            let grant = self.throttle.grant(now, &claim, true, self.hosts.len());
            self.throttle.record_grant(now, self.own.seed, &grant);
            if self.throttle.spend(now, target) {
                return Leave::Given;
            }
        }
        keepers.retain(|keeper| {
            keeper.seed != self.own.seed && !self.throttle.is_paused(now, target, keeper.seed, fit)
        });
        match keepers.into_iter().choose(rng) {
            Some(keeper) => Leave::Ask(keeper.name, claim),
            None => {
                self.throttle.close(now, target, fit);
                Leave::Refused
            }
        }
    }

    /// Whether a request may be sent after its claim was answered: granted, or the target names no rate any more.
    pub fn take_leave(&mut self, now: Instant, key: TargetKey) -> bool {
        let Some(target) = self.members.get(&key).map(Member::digest) else {
            return false;
        };
        self.throttle.rate(target).is_none() || self.throttle.spend(now, target)
    }

    /// Answers a claim of another host. One that this host takes for none of its own is refused: its keepers are others.
    pub fn grant(&mut self, now: Instant, claim: &Claim) -> Grant {
        let target = claim.1 .0;
        self.throttle.merge_update(now, &claim.1);
        let hosts = self.hosts.len();
        let keepers = self.throttle.allocator_count(target, hosts);
        let known = self.members.values().find(|one| one.digest() == target);
        let is_keeper = known.is_some_and(|member| self.is_among(keepers, member));
        self.throttle.grant(now, claim, is_keeper, hosts)
    }

    /// Takes in the answer of the host `keeper` to a claim.
    pub fn granted(&mut self, now: Instant, keeper: &str, grant: &Grant) {
        let keeper = xxh3_64(keeper.as_bytes());
        self.throttle.record_grant(now, keeper, grant);
    }

    /// Notes that a claim had no answer.
    pub fn unanswered(&mut self, now: Instant, keeper: &str, claim: &Claim) {
        let keeper = xxh3_64(keeper.as_bytes());
        self.throttle.record_timeout(now, claim.1 .0, keeper);
    }

    /// Takes in what a target's answer to a request said that was sent at `at`; gives what all hosts are to be told.
    pub fn state(
        &mut self,
        now: Instant,
        key: TargetKey,
        at: Instant,
        rate: Option<f64>,
    ) -> Option<RateUpdate> {
        let target = self.members.get(&key)?.digest();
        self.throttle.observe(now, target, at, rate)
    }

    /// Takes in what another host knows; gives the target that began or ended to name a rate by that.
    pub fn hear(&mut self, now: Instant, news: &RateUpdate) -> Option<Arc<str>> {
        if !self.throttle.merge_update(now, news) {
            return None;
        }
        let known = self.members.values().find(|one| one.digest() == news.0);
        known.map(|member| member.id().clone())
    }

    /// What this host knows of the rates that targets name.
    pub fn news(&self, now: Instant) -> impl Iterator<Item = RateUpdate> + '_ {
        self.throttle.updates(now)
    }

    /// Forgets rates that are of no more use.
    pub fn expire_rates(&mut self, now: Instant) {
        self.throttle.expire(now);
    }

    /// The time until a target may get something, if it gets nothing just now as all that it takes is given out.
    pub(super) fn closed_for(
        &self,
        now: Instant,
        member: &Member,
        fit: Assignment,
    ) -> Option<Duration> {
        self.throttle
            .closed_for(now, member.digest(), fit, self.hosts.len())
    }

    /// Whether a target names the rate that it takes.
    pub(super) fn is_limited(&self, member: &Member) -> bool {
        self.throttle.rate(member.digest()).is_some()
    }

    /// The hosts that share out a target's rate, the first of all that are alive; none while these are not known.
    fn keepers(&self, member: &Member) -> Vec<&Peer> {
        let count = self
            .throttle
            .allocator_count(member.digest(), self.hosts.len());
        let mut hosts: Vec<&Peer> = self.hosts.iter().collect();
        hosts.sort_by_key(|host| std::cmp::Reverse(host.rank(member)));
        hosts.truncate(count);
        hosts
    }
}
