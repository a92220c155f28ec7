//! The choice of a target for a request, among targets that answer faster for what they handled lately.
//!
//! Each affinity key has one target in each region, by rendezvous hashing over the targets that
//! may serve it, so that all hosts agree without a word. A request goes to the one of its own region
//! while that has a free slot, then to one elsewhere, then waits a little at its own, and is refused
//! beyond that. Spreading it further would make more targets cold for its key than it relieves.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use rand::Rng;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use super::eject::{Eject, Sign, Standing};
use crate::inventory::{Keys, Registration, State, TargetKey};

/// How long a target's report of its load counts; older ones say nothing about now.
const REPORT_AGE: Duration = Duration::from_secs(1);

/// The load that a target tells of itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Load {
    /// Requests it works on.
    pub running: u32,
    /// Requests that wait for a slot.
    pub waiting: u32,
    /// Requests it works on at once.
    pub slots: u32,
}

#[derive(Clone, Copy, Debug)]
struct Report {
    at: Instant,
    /// What others than this host had there.
    others: u32,
}

/// One target as this host sees it.
#[derive(Clone, Debug)]
pub struct Member {
    registration: Registration,
    region: Arc<str>,
    seed: u64,
    in_flight: u32,
    report: Option<Report>,
    cold_until: Option<Instant>,
    cold_token: Option<Instant>,
    eject: Eject,
    lapsed: Option<Instant>,
    misdirected: bool,
}

impl Member {
    /// The identity of its process.
    pub fn id(&self) -> &Arc<str> {
        &self.registration.id
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.registration.address
    }

    /// The region it is in.
    pub fn region(&self) -> &Arc<str> {
        &self.region
    }

    /// The service it belongs to.
    pub fn service(&self) -> &Arc<str> {
        &self.registration.service
    }

    fn load(&self, now: Instant) -> f64 {
        let others = self.report.map_or(0.0, |report| {
            let age = now.saturating_duration_since(report.at);
            let left = 1.0 - age.as_secs_f64() / REPORT_AGE.as_secs_f64();
            f64::from(report.others) * left.max(0.0)
        });
        f64::from(self.in_flight) + others
    }

    fn is_cold(&self, now: Instant) -> bool {
        self.cold_until.is_some_and(|until| now < until)
    }
}

/// What is asked for.
#[derive(Clone, Copy, Debug)]
pub struct Ask<'a> {
    /// The service whose targets are wanted.
    pub service: &'a str,
    /// What the request has in common with others of the same object.
    pub key: u64,
    /// Regions that may serve it; any, if empty.
    pub homes: &'a BTreeSet<Arc<str>>,
    /// Targets that were tried before.
    pub tried: &'a [TargetKey],
}

/// Why no target was chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// No target may take new requests.
    NoTarget,
    /// Those that may are full.
    Full,
}

/// How a request at a target ended, as far as it tells something about the target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// It answered.
    Answered,
    /// It answered that it failed.
    Failed,
    /// It refused the request without running it.
    Refused,
    /// Another target has its address.
    Misdirected,
    /// It could not be reached, or broke off, or answered with nonsense.
    Broken,
    /// This host or the caller gave up.
    Cancelled,
}

/// How many times its slots a target of the own region may be loaded when all else is full.
const PATIENCE: f64 = 2.0;

/// All targets, as one host sees them.
#[derive(Debug)]
pub struct Fleet {
    region: Arc<str>,
    regions: BTreeMap<Arc<str>, Arc<str>>,
    keys: Keys,
    ids: BTreeMap<Arc<str>, TargetKey>,
    members: BTreeMap<TargetKey, Member>,
    services: BTreeMap<Arc<str>, Vec<TargetKey>>,
    evacuated: BTreeSet<Arc<str>>,
    cold_rates: BTreeMap<Arc<str>, f64>,
    /// Hosts that may send to a cold target at the same time, each one request beyond its rate.
    cold_hosts: usize,
    own: Peer,
    /// All hosts that are alive, this one among them.
    hosts: Vec<Peer>,
}

/// A host, for the choice of those that may use a cold target.
#[derive(Clone, Debug)]
struct Peer {
    seed: u64,
    region: Arc<str>,
}

impl Peer {
    fn new(name: &str, region: Arc<str>) -> Self {
        Self {
            seed: xxh3_64(name.as_bytes()),
            region,
        }
    }

    /// The order of hosts at a cold target: those of its region first.
    fn rank(&self, member: &Member) -> (bool, u64) {
        let draw = xxh3_64_with_seed(&self.seed.to_le_bytes(), member.seed);
        (self.region == member.region, draw)
    }
}

impl Fleet {
    /// No targets yet, for the host `name` in `region`; `regions` gives the region of each
    /// availability zone, `cold_burst` what a cold target bears at once beyond its rate.
    pub fn new(
        name: Arc<str>,
        region: Arc<str>,
        regions: BTreeMap<Arc<str>, Arc<str>>,
        cold_burst: f64,
    ) -> Self {
        let own = Peer::new(&name, region.clone());
        Self {
            cold_rates: BTreeMap::new(),
            cold_hosts: (cold_burst as usize).max(1),
            hosts: vec![own.clone()],
            own,
            region,
            regions,
            keys: Keys::default(),
            ids: BTreeMap::new(),
            members: BTreeMap::new(),
            services: BTreeMap::new(),
            evacuated: BTreeSet::new(),
        }
    }

    /// Sets the requests a second that a cold target of a service bears.
    pub fn set_cold_rate(&mut self, service: Arc<str>, rate: f64) {
        self.cold_rates.insert(service, rate);
    }

    /// Sets the names and regions of the hosts that are alive.
    pub fn set_hosts(&mut self, hosts: Vec<(Arc<str>, Arc<str>)>) {
        self.hosts = hosts
            .into_iter()
            .map(|(name, region)| Peer::new(&name, region))
            .collect();
    }

    /// Takes in what a target says of itself.
    pub fn register(&mut self, now: Instant, registration: Registration) {
        let cold = Some(registration.cold_left)
            .filter(|left| !left.is_zero())
            .map(|left| now + left);
        if let Some(key) = self.ids.get(&registration.id) {
            if let Some(member) = self.members.get_mut(key) {
                member.cold_until = cold;
                member.lapsed = None;
                member.registration = registration;
            }
            return;
        }
        let region = self
            .regions
            .get(&registration.zone)
            .cloned()
            .unwrap_or_else(|| registration.zone.clone());
        let key = self.keys.take();
        self.ids.insert(registration.id.clone(), key);
        self.services
            .entry(registration.service.clone())
            .or_default()
            .push(key);
        let member = Member {
            region,
            seed: xxh3_64(registration.id.as_bytes()),
            registration,
            in_flight: 0,
            report: None,
            cold_until: cold,
            cold_token: None,
            eject: Eject::new(),
            lapsed: None,
            misdirected: false,
        };
        self.members.insert(key, member);
    }

    /// Forgets a target that has left.
    pub fn withdraw(&mut self, id: &str) {
        let Some(key) = self.ids.remove(id) else {
            return;
        };
        let Some(member) = self.members.remove(&key) else {
            return;
        };
        if let Some(keys) = self.services.get_mut(member.service()) {
            keys.retain(|other| *other != key);
        }
    }

    /// Keeps a target whose registration ran out while the store was away; it is forgotten at
    /// `until` unless it registers again.
    pub fn lapse(&mut self, id: &str, until: Instant) {
        let key = self.ids.get(id);
        if let Some(member) = key.and_then(|key| self.members.get_mut(key)) {
            member.lapsed.get_or_insert(until);
        }
    }

    /// Forgets targets that lapsed and did not come back.
    pub fn expire(&mut self, now: Instant) -> Vec<Arc<str>> {
        let over: Vec<_> = self
            .members
            .values()
            .filter(|member| member.lapsed.is_some_and(|until| now >= until))
            .map(|member| member.id().clone())
            .collect();
        for id in &over {
            self.withdraw(id);
        }
        over
    }

    /// The identities of all known targets.
    pub fn ids(&self) -> impl Iterator<Item = &Arc<str>> {
        self.ids.keys()
    }

    /// Sets the availability zones that are to get nothing. Targets of a zone that is taken back may
    /// have been cold for a while without saying so.
    pub fn evacuate(&mut self, now: Instant, zones: BTreeSet<Arc<str>>, cold: Duration) {
        for member in self.members.values_mut() {
            let zone = &member.registration.zone;
            if self.evacuated.contains(zone) && !zones.contains(zone) {
                member.cold_until = Some(now + cold);
            }
        }
        self.evacuated = zones;
    }

    /// The availability zones that are to get nothing.
    pub fn evacuated(&self) -> &BTreeSet<Arc<str>> {
        &self.evacuated
    }

    /// Counts one more request at a target until [`Fleet::finish`].
    pub fn hold(&mut self, key: TargetKey) {
        if let Some(member) = self.members.get_mut(&key) {
            member.in_flight += 1;
        }
    }

    /// Chooses a target and counts the request there until [`Fleet::finish`].
    pub fn choose(&mut self, now: Instant, ask: &Ask<'_>) -> Result<TargetKey, Refusal> {
        let chosen = self.pick(now, ask)?;
        if let Some(member) = self.members.get_mut(&chosen) {
            member.in_flight += 1;
            if member.is_cold(now) {
                member.cold_token = Some(now);
            }
        }
        Ok(chosen)
    }

    fn pick(&self, now: Instant, ask: &Ask<'_>) -> Result<TargetKey, Refusal> {
        let mut own: Option<(u64, TargetKey)> = None;
        let mut others: BTreeMap<&str, (u64, TargetKey)> = BTreeMap::new();
        for key in self.services.get(ask.service).into_iter().flatten() {
            let Some(member) = self.members.get(key) else {
                continue;
            };
            if ask.tried.contains(key) || !self.is_open(now, member, ask) {
                continue;
            }
            let draw = (
                xxh3_64_with_seed(&ask.key.to_le_bytes(), member.seed),
                *key,
            );
            if member.region == self.region {
                own = own.max(Some(draw));
            } else {
                let best = others.entry(&member.region).or_insert(draw);
                *best = draw.max(*best);
            }
        }
        let own = own.map(|(_, key)| key);
        let other = others.values().max().map(|(_, key)| *key);
        if own.is_none() && other.is_none() {
            return Err(Refusal::NoTarget);
        }
        [(own, 1.0), (other, 1.0), (own, PATIENCE), (other, PATIENCE)]
            .into_iter()
            .find_map(|(key, times)| key.filter(|key| self.has_room(now, *key, times)))
            .ok_or(Refusal::Full)
    }

    /// Whether a target may get new requests at all.
    fn is_open(&self, now: Instant, member: &Member, ask: &Ask<'_>) -> bool {
        if member.registration.state != State::Ready
            || member.misdirected
            || self.evacuated.contains(&member.registration.zone)
            || !(ask.homes.is_empty() || ask.homes.contains(&member.region))
        {
            return false;
        }
        if !member.eject.is_in() && !(member.eject.is_due(now) && member.in_flight == 0) {
            return false;
        }
        !member.is_cold(now) || self.may_use_cold(now, member)
    }

    /// Whether this host may send a request to a cold target now. Few hosts may send to it at all,
    /// each its part of the rate, so that the sum keeps to what the target bears.
    fn may_use_cold(&self, now: Instant, member: &Member) -> bool {
        let own = self.own.rank(member);
        let before = self.hosts.iter().filter(|host| host.rank(member) > own);
        if before.count() >= self.cold_hosts {
            return false;
        }
        let users = self.hosts.len().clamp(1, self.cold_hosts) as f64;
        let rate = self.cold_rates.get(member.service()).copied();
        match (member.cold_token, rate) {
            (Some(last), Some(rate)) if rate > 0.0 => {
                let interval = Duration::from_secs_f64(users / rate);
                now.saturating_duration_since(last) >= interval
            }
            (Some(_), _) => false,
            (None, _) => true,
        }
    }

    fn has_room(&self, now: Instant, key: TargetKey, times: f64) -> bool {
        self.members.get(&key).is_some_and(|member| {
            member.load(now) < f64::from(member.registration.slots) * times
        })
    }

    /// A target that is still known.
    pub fn member(&self, key: TargetKey) -> Option<&Member> {
        self.members.get(&key)
    }

    /// Whether a target still takes new requests, for one that was chosen a while ago.
    pub fn is_usable(&self, key: TargetKey) -> bool {
        self.members.get(&key).is_some_and(|member| {
            member.registration.state == State::Ready
                && !self.evacuated.contains(&member.registration.zone)
        })
    }

    /// Takes in how a request ended.
    pub fn finish(
        &mut self,
        now: Instant,
        key: TargetKey,
        end: End,
        load: Option<Load>,
        rng: &mut impl Rng,
    ) {
        let Some(member) = self.members.get_mut(&key) else {
            return;
        };
        member.in_flight = member.in_flight.saturating_sub(1);
        if let Some(load) = load {
            let total = load.running + load.waiting;
            member.report = Some(Report {
                at: now,
                others: total.saturating_sub(member.in_flight),
            });
        }
        let sign = match end {
            End::Answered => Sign::Good,
            End::Failed | End::Broken => Sign::Bad,
            End::Misdirected => {
                member.misdirected = true;
                return;
            }
            End::Refused | End::Cancelled => return,
        };
        if !member.eject.is_in() {
            member.eject.probe(now, sign, rng);
            return;
        }
        member.eject.record(sign);
        let standing = Standing {
            ratio: 1.0,
            samples: 0,
            success: 1.0,
            down: false,
            cold: member.is_cold(now),
        };
        if member.eject.is_outlier(&standing) {
            member.eject.eject(now, rng);
        }
    }
}
