//! Selects the entry hosts that a look-up names to a caller.

use std::net::{IpAddr, SocketAddr};
use std::time::{Duration, Instant};

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use super::{HostRecord, Presence, StoreView, Strength};
use crate::border::settings::Switch;
use crate::control::active_hosts::{self, Candidate};
use crate::port::Question;

/// Maximum number of hosts that a look-up names: one to use, and others in case it fails.
const MAX_NAMED_HOSTS: usize = 3;
/// Minimum number of hosts that a look-up names, if there are as many: a second one in case the
/// first fails.
const MIN_NAMED_HOSTS: usize = 2;
/// Fraction of the strongest drawn host's comfortable rate that another host needs to be named
/// beside it. A link can carry twice its comfortable rate.
const MIN_RELATIVE_RATE: f64 = 0.5;
/// Time after its start during which a host names no hosts while it does not know the others, or
/// few of those it knows serve. When all hosts start at once, the first to answer would otherwise
/// receive the callers of all. Callers meanwhile keep the addresses that they have, or ask the next
/// host.
const SETTLING_TIME: Duration = Duration::from_millis(2500);
/// Number of hosts in the caller's availability zone from which no hosts of other zones are named.
const SUFFICIENT_ZONE_HOSTS: usize = 2;

/// Which hosts a look-up may name.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LookupFilter {
    /// All hosts that serve.
    All,
    /// The hosts whose view of the store is current, as long as there are any. The others refuse
    /// callers that present API keys.
    CurrentView,
}

impl Presence {
    /// The hosts that a look-up names to a caller: some of its availability zone, else of its
    /// region, else any.
    ///
    /// Some of the active hosts (see [`active_hosts`]) are drawn for each caller by weighted
    /// rendezvous hashing, so that a caller gets the same answer from every host and at any time:
    /// it closes its connections to hosts that are missing from a new answer.
    pub fn lookup_hosts(
        &self,
        now: Instant,
        question: &Question,
        caller: IpAddr,
    ) -> Vec<SocketAddr> {
        if !self.is_settled(now) {
            return Vec::new();
        }
        let candidates = self.candidates(now, question);
        let named = match self.few_hosts {
            Switch::On => active_hosts::active_hosts(candidates),
            Switch::Off => candidates,
        };
        draw_hosts(named, caller)
    }

    /// The fraction of its region's callers that this host receives, if all zones have equally many
    /// callers: its part of the comfortable rate of the active hosts in its availability zone. None
    /// if this host is not active.
    pub fn caller_share(&self, now: Instant) -> Option<f64> {
        let question = Question {
            region: self.region.clone(),
            zone: self.own.zone.clone(),
        };
        let active = active_hosts::active_hosts(self.candidates(now, &question));
        let own = active.iter().find(|one| one.front == self.own.front)?;
        let total: f64 = active
            .iter()
            .map(|one| active_hosts::comfortable_rate(one.strength))
            .sum();
        let zones = self.regions.values().filter(|one| **one == self.region);
        Some(active_hosts::comfortable_rate(own.strength) / total / zones.count().max(1) as f64)
    }

    /// The hosts that may be named to a caller: those of its availability zone if there are enough,
    /// else those of its region, else all. Hosts that can't reach targets are left out while others
    /// of the region can.
    fn candidates(&self, now: Instant, question: &Question) -> Vec<Candidate> {
        let distance = |record: &HostRecord| -> u8 {
            if record.zone == question.zone {
                return 0;
            }
            u8::from(*self.region(record) != question.region) + 1
        };
        let requires_current_view = self.lookup_filter == LookupFilter::CurrentView
            && (self.store_view > StoreView::Stale
                || self
                    .live_peers(now)
                    .any(|peer| peer.store_view > Some(StoreView::Stale)));
        let min_view = if requires_current_view {
            StoreView::Stale
        } else {
            StoreView::Nothing
        };
        let own = Some((&self.own, self.request_rate.last_peak(), self.is_cut_off));
        let own = own.filter(|_| !self.is_leaving && self.store_view > min_view);
        let others = self
            .live_peers(now)
            .filter(|peer| peer.store_view.is_none_or(|view| view > min_view))
            .map(|peer| (&peer.record, peer.rate, peer.is_cut_off(now)));
        let serving: Vec<_> = own.into_iter().chain(others).collect();
        let reaches_targets = serving
            .iter()
            .any(|(record, _, is_cut_off)| !is_cut_off && distance(record) <= 1);
        let all: Vec<(u8, Candidate)> = serving
            .into_iter()
            .filter(|(_, _, is_cut_off)| !(reaches_targets && *is_cut_off))
            .map(|(record, rate, _)| (distance(record), candidate(record, rate)))
            .collect();
        let in_zone = all.iter().filter(|(distance, _)| *distance == 0).count();
        let in_region = all.iter().filter(|(distance, _)| *distance <= 1).count();
        let farthest = match (in_zone, in_region) {
            (zone, _) if zone >= SUFFICIENT_ZONE_HOSTS => 0,
            (_, region) if region > 0 => 1,
            _ => 2,
        };
        let named = all
            .into_iter()
            .filter(|(distance, _)| *distance <= farthest);
        named.map(|(_, candidate)| candidate).collect()
    }

    /// Whether this host knows the other hosts as well as it can: their registrations have been
    /// read, or could not be read for so long that it has to rely on the hosts it heard.
    pub fn knows_others(&self, now: Instant) -> bool {
        self.is_listed || self.is_settling_time_over(now)
    }

    fn is_settling_time_over(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.started) >= SETTLING_TIME
    }

    /// Whether this host knows enough of the other hosts to name them to callers.
    fn is_settled(&self, now: Instant) -> bool {
        let known = self.peers.len() + 1;
        let enough = self.is_listed && self.serving(now).count() * 2 >= known;
        enough || self.is_settling_time_over(now)
    }
}

fn candidate(record: &HostRecord, rate: u32) -> Candidate {
    Candidate {
        front: record.front,
        strength: record.strength,
        rate: f64::from(rate),
        order: xxh3_64(record.host.as_bytes()),
    }
}

/// Draws hosts for a caller. A caller uses all named hosts equally, so a weak host is not named
/// beside strong ones just because there are no more of them: with two hosts of 0.5 cores and one
/// with a link of 10 Mbit/s in use in a zone, the latter received a third of the callers, and 5 in
/// 100 answers at normal load came late instead of 2.
fn draw_hosts(candidates: Vec<Candidate>, caller: IpAddr) -> Vec<SocketAddr> {
    let mut ranked: Vec<(f64, Candidate)> = candidates
        .into_iter()
        .map(|candidate| (caller_distance(&candidate, caller), candidate))
        .collect();
    ranked.sort_by(|one, other| one.0.total_cmp(&other.0));
    ranked.truncate(MAX_NAMED_HOSTS);
    let rate = |candidate: &Candidate| active_hosts::comfortable_rate(candidate.strength);
    let rates = ranked.iter().map(|(_, candidate)| rate(candidate));
    let min_rate = rates.fold(0.0, f64::max) * MIN_RELATIVE_RATE;
    // The sort is stable: the strong hosts keep their order, and stay if one of them is lost.
    ranked.sort_by_key(|(_, candidate)| rate(candidate) < min_rate);
    let strong = ranked.iter().filter(|(_, one)| rate(one) >= min_rate);
    let count = strong.count().max(MIN_NAMED_HOSTS);
    ranked.truncate(count);
    let named = ranked.into_iter();
    named.map(|(_, candidate)| candidate.front).collect()
}

/// The distance of a host from a caller in weighted rendezvous hashing. The nearest hosts are
/// drawn.
fn caller_distance(candidate: &Candidate, caller: IpAddr) -> f64 {
    let seed = candidate.order;
    let draw = match caller {
        IpAddr::V4(address) => xxh3_64_with_seed(&address.octets(), seed),
        IpAddr::V6(address) => xxh3_64_with_seed(&address.octets(), seed),
    };
    weighted_distance(draw, candidate.strength)
}

/// The distance of a host from a key in weighted rendezvous hashing.
pub(super) fn hash_distance(record: &HostRecord, key: u64) -> f64 {
    let draw = xxh3_64_with_seed(record.host.as_bytes(), key);
    weighted_distance(draw, record.strength)
}

fn weighted_distance(draw: u64, strength: Strength) -> f64 {
    let part = (draw as f64 + 1.0) / (u64::MAX as f64 + 2.0);
    -part.ln() / active_hosts::comfortable_rate(strength).max(f64::EPSILON)
}
