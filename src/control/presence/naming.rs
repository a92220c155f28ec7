//! Which entry hosts a caller is told to use.

use std::net::{IpAddr, SocketAddr};
use std::time::{Duration, Instant};

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use super::{Presence, Record, Sight};
use crate::border::settings::Switch;
use crate::control::working::{self, Candidate};
use crate::port::Question;

/// Hosts that a look-up names: one to use, and others should it fail.
const NAMED: usize = 3;
/// Hosts that a look-up names if there are as many: another one should the first fail.
const FEWEST_NAMED: usize = 2;
/// The part of the strongest one's strength that another host needs to be named beside it: a link carries twice what it
/// carries with ease.
const COMPARABLE: f64 = 0.5;
/// For how long after its start a host names none while it does not know the others, or few that serve:
/// when all start at once, it would be sent the callers of all others. Callers keep the addresses that
/// they have meanwhile, or ask the next host.
const SETTLE: Duration = Duration::from_millis(2500);
/// Hosts of the caller's own availability zone that are enough to name no others.
const ENOUGH: usize = 2;

/// Which hosts look-ups name.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Naming {
    /// All that serve.
    All,
    /// Those that know what the store holds now, as long as there are any: the others refuse callers with keys.
    Informed,
}

impl Presence {
    /// The hosts that a caller is told to use: some of its availability zone, else of its region, else any.
    ///
    /// Of those in use (see [`working`]) they are drawn for each caller by weighted rendezvous hashing, so that a caller gets the
    /// same answer wherever and whenever it asks: it closes its connections to hosts that are missing from a new one.
    pub fn named(&self, now: Instant, question: &Question, caller: IpAddr) -> Vec<SocketAddr> {
        if !self.is_settled(now) {
            return Vec::new();
        }
        let candidates = self.candidates(now, question);
        let named = match self.few_hosts {
            Switch::On => working::in_use(candidates),
            Switch::Off => candidates,
        };
        draw(named, caller)
    }

    /// The part of its region's callers that this host gets: its part of what those carry that are in use in its availability
    /// zone, if zones have as many callers each. Nothing if it is not in use.
    pub fn share(&self, now: Instant) -> Option<f64> {
        let question = Question {
            region: self.region.clone(),
            zone: self.own.zone.clone(),
        };
        let used = working::in_use(self.candidates(now, &question));
        let own = used.iter().find(|one| one.front == self.own.front)?;
        let all: f64 = used.iter().map(|one| working::ease(one.strength)).sum();
        let zones = self.regions.values().filter(|one| **one == self.region);
        Some(working::ease(own.strength) / all / zones.count().max(1) as f64)
    }

    /// The hosts that may be named to a caller: those of its availability zone if there are enough, else those of its
    /// region, else all.
    fn candidates(&self, now: Instant, question: &Question) -> Vec<Candidate> {
        let near = |record: &Record| -> u8 {
            if record.zone == question.zone {
                return 0;
            }
            u8::from(*self.region(record) != question.region) + 1
        };
        let informed = self.naming == Naming::Informed
            && (self.sight > Sight::Stale
                || self
                    .present(now)
                    .any(|peer| peer.sight > Some(Sight::Stale)));
        let least = if informed {
            Sight::Stale
        } else {
            Sight::Nothing
        };
        let own = Some((&self.own, self.rate.last()));
        let own = own.filter(|_| !self.leaving && self.sight > least);
        let others = self
            .present(now)
            .filter(|peer| peer.sight.is_none_or(|sight| sight > least))
            .map(|peer| (&peer.record, peer.rate));
        let all: Vec<(u8, Candidate)> = own
            .into_iter()
            .chain(others)
            .map(|(record, rate)| (near(record), candidate(record, rate)))
            .collect();
        let in_zone = all.iter().filter(|(near, _)| *near == 0).count();
        let in_region = all.iter().filter(|(near, _)| *near <= 1).count();
        let farthest = match (in_zone, in_region) {
            (zone, _) if zone >= ENOUGH => 0,
            (_, region) if region > 0 => 1,
            _ => 2,
        };
        let named = all.into_iter().filter(|(near, _)| *near <= farthest);
        named.map(|(_, candidate)| candidate).collect()
    }

    /// Whether this host knows the others, as far as it can: their registrations were read, or have not been for so long
    /// that it has to do with those that it heard.
    pub fn knows_others(&self, now: Instant) -> bool {
        self.listed || self.has_settled(now)
    }

    fn has_settled(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.started) >= SETTLE
    }

    /// Whether what this host knows of the others is enough to send callers to them.
    fn is_settled(&self, now: Instant) -> bool {
        let known = self.peers.len() + 1;
        let enough = self.listed && self.serving(now).count() * 2 >= known;
        enough || self.has_settled(now)
    }
}

fn candidate(record: &Record, rate: u32) -> Candidate {
    Candidate {
        front: record.front,
        strength: record.strength,
        rate: f64::from(rate),
        order: xxh3_64(record.host.as_bytes()),
    }
}

/// Some hosts for a caller. It uses all that it is told of alike, so a weak one is not named beside strong ones only because
/// there are no more of them: with two of 0.5 cores and one of a link of 10 Mbit/s in use in a zone, that one got a third of the
/// callers, and 5 in 100 answers of a calm day came late in place of 2.
fn draw(candidates: Vec<Candidate>, caller: IpAddr) -> Vec<SocketAddr> {
    let mut ranked: Vec<(f64, Candidate)> = candidates
        .into_iter()
        .map(|candidate| (distance(&candidate, caller), candidate))
        .collect();
    ranked.sort_by(|one, other| one.0.total_cmp(&other.0));
    ranked.truncate(NAMED);
    let strength = |candidate: &Candidate| working::ease(candidate.strength);
    let strongest = ranked.iter().map(|(_, candidate)| strength(candidate));
    let least = strongest.fold(0.0, f64::max) * COMPARABLE;
    // The strong ones keep their order, and stay if one of them is lost.
    ranked.sort_by_key(|(_, candidate)| strength(candidate) < least);
    let strong = ranked.iter().filter(|(_, one)| strength(one) >= least);
    let count = strong.count().max(FEWEST_NAMED);
    ranked.truncate(count);
    let named = ranked.into_iter();
    named.map(|(_, candidate)| candidate.front).collect()
}

/// How far a host is from a caller in weighted rendezvous hashing: the nearest ones are drawn.
fn distance(candidate: &Candidate, caller: IpAddr) -> f64 {
    let seed = candidate.order;
    let draw = match caller {
        IpAddr::V4(address) => xxh3_64_with_seed(&address.octets(), seed),
        IpAddr::V6(address) => xxh3_64_with_seed(&address.octets(), seed),
    };
    let part = (draw as f64 + 1.0) / (u64::MAX as f64 + 2.0);
    -part.ln() / working::ease(candidate.strength).max(f64::EPSILON)
}
