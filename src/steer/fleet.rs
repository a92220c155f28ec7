//! The choice of a target for a request, among targets that answer faster for what they handled lately.
//!
//! Each affinity key has two targets, by rendezvous hashing over those that may serve it, so that all
//! hosts agree without a word: one of the own region, and one elsewhere. A request goes to the one
//! that is expected to answer first, counting the way there, a connection that is still to be opened,
//! the queue, a first visit to a target that does not have the object, and what the bytes between zones cost. Targets
//! that are known to have the object may be used beside the two. If all are full it is refused. A third choice whatever
//! it has was tried and made more targets cold for its key than it relieved.

mod admission;
mod charge;
mod choice;
mod cold;
mod cost;
mod habit;
mod member;
mod ranking;
mod silence;
mod switches;
mod throttled;
mod warmth;

use std::cell::Cell;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

use rand::Rng;
use xxhash_rust::xxh3::xxh3_64;

use self::cold::Peer;
use self::habit::Habit;
use self::member::Report;
use self::ranking::Rankings;
use self::warmth::Warmth;
use super::drift::Drift;
use super::eject::{Eject, Sign, Standing};
use super::throttle::{Assignment, Throttle};
use crate::border::settings::Switch;
use crate::inventory::{Keys, Registration, State, TargetKey};

pub use self::charge::{CARETAKERS, LEAST, SPARE};
pub use self::member::{Belief, Load, Member};
pub use self::switches::Switches;
pub use self::throttled::Leave;

/// What is asked for.
#[derive(Clone, Debug)]
pub struct Ask<'a> {
    /// The service whose targets are wanted.
    pub service: &'a Arc<str>,
    /// What the request has in common with others of the same object.
    pub key: u64,
    /// The object that it concerns, if targets answer faster for what they handled lately.
    pub object: Option<u64>,
    /// Regions that may serve it; any, if empty.
    pub homes: &'a BTreeSet<Arc<str>>,
    /// Targets that were tried before.
    pub tried: Vec<TargetKey>,
    /// The bytes of its body.
    pub bytes: u64,
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
    /// No connection to it could be opened.
    Unreached,
    /// A connection that was kept to it had been closed before the request was sent.
    Closed,
    /// It broke off before its answer was whole.
    Broken,
    /// It answered another request.
    Stray,
    /// It was silent for too long, and this host gave up.
    Silent,
    /// This host or the caller gave up.
    Cancelled,
}

/// How the standing of a target changed by what was seen of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Turn {
    /// It failed too often and gets nothing for a while.
    Ejected,
    /// It is in use again.
    Restored,
}

/// What was seen of a target while it had a request.
#[derive(Clone, Copy, Debug, Default)]
pub struct Seen {
    /// The load that it told.
    pub load: Option<Load>,
    /// How long its answer took, on a connection that was open.
    pub took: Option<Duration>,
    /// The object that the request concerned, as in [`Ask::object`].
    pub object: Option<u64>,
    /// The time within which an answer is good.
    pub goal: Option<Duration>,
    /// The bytes of its answer's body, if that has come.
    pub bytes: Option<u64>,
}

/// All targets, as one host sees them.
#[derive(Debug)]
pub struct Fleet {
    zone: Arc<str>,
    region: Arc<str>,
    regions: BTreeMap<Arc<str>, Arc<str>>,
    /// A round trip to each region, in seconds.
    ways: BTreeMap<Arc<str>, f64>,
    /// What requests for each service are like.
    habits: BTreeMap<Arc<str>, Habit>,
    warmth: Warmth,
    keys: Keys,
    ids: BTreeMap<Arc<str>, TargetKey>,
    members: BTreeMap<TargetKey, Member>,
    services: BTreeMap<Arc<str>, Vec<TargetKey>>,
    /// For each service, the first targets for keys that were asked for.
    rankings: BTreeMap<Arc<str>, Rankings>,
    /// Targets that were looked at to choose some for requests.
    looks: Cell<u64>,
    evacuated: BTreeSet<Arc<str>>,
    /// For each service, the part of its requests that goes to other regions.
    drifts: BTreeMap<Arc<str>, Drift>,
    cold_rates: BTreeMap<Arc<str>, f64>,
    /// For each service, the time within which answers are good.
    goals: BTreeMap<Arc<str>, Duration>,
    /// The part of its region's callers that this host gets, if it is one of those in use.
    share: Option<f64>,
    /// Hosts that may send to a cold target at the same time, each one request beyond its rate.
    cold_hosts: usize,
    own: Peer,
    switches: Switches,
    /// Requests that a target was looked for.
    asked: u64,
    /// All hosts that are alive, this one among them; empty while that is not known.
    hosts: Vec<Peer>,
    /// How many hosts there are, alive or not, once the store or another host told.
    told: Option<usize>,
    /// For each service, how many of its targets lapsed.
    lapsed: BTreeMap<Arc<str>, usize>,
    /// The target that was asked last whether it is cold.
    questioned: Option<TargetKey>,
    /// The rates that targets name.
    throttle: Throttle,
    /// Numbers the claims of this host.
    claims: u32,
}

impl Fleet {
    /// No targets yet, for the host `name` in `zone`; `regions` gives the region of each
    /// availability zone, `cold_burst` what a cold target bears at once beyond its rate.
    pub fn new(
        now: Instant,
        name: Arc<str>,
        zone: Arc<str>,
        regions: BTreeMap<Arc<str>, Arc<str>>,
        cold_burst: f64,
    ) -> Self {
        let region = regions.get(&zone).unwrap_or(&zone).clone();
        let own = Peer::new(name, region.clone());
        Self {
            zone,
            ways: BTreeMap::new(),
            habits: BTreeMap::new(),
            warmth: Warmth::new(now),
            cold_rates: BTreeMap::new(),
            goals: BTreeMap::new(),
            share: None,
            cold_hosts: (cold_burst as usize).max(1),
            hosts: Vec::new(),
            told: None,
            questioned: None,
            throttle: Throttle::new(),
            claims: 0,
            lapsed: BTreeMap::new(),
            own,
            switches: Switches::default(),
            asked: 0,
            region,
            regions,
            keys: Keys::default(),
            ids: BTreeMap::new(),
            members: BTreeMap::new(),
            services: BTreeMap::new(),
            rankings: BTreeMap::new(),
            looks: Cell::new(0),
            evacuated: BTreeSet::new(),
            drifts: BTreeMap::new(),
        }
    }

    /// Without some mechanisms.
    pub fn with_switches(mut self, switches: Switches) -> Self {
        self.switches = switches;
        self
    }

    /// Takes in what a target says of itself. News of an earlier process than the one that is known
    /// changes nothing; a later one under the same identity is another target.
    pub fn register(&mut self, now: Instant, registration: impl Into<Arc<Registration>>) {
        let registration = registration.into();
        let cold = Some(registration.cold_left)
            .filter(|left| !left.is_zero())
            .map(|left| now + left);
        let known = self.ids.get(&registration.id);
        if let Some(member) = known.and_then(|key| self.members.get_mut(key)) {
            if registration.is_before(&member.registration) {
                return;
            }
            if registration.is_same_process(&member.registration) {
                member.cold_until = cold;
                if member.lapsed.take().is_some() {
                    count_return(&mut self.lapsed, &registration.service);
                }
                member.registration = registration;
                return;
            }
            // Nothing that was seen of the former process holds for this one, and its requests and
            // connections end with its key.
            self.withdraw(&registration.id);
        }
        let region = self
            .regions
            .get(&registration.zone)
            .unwrap_or(&registration.zone)
            .clone();
        let key = self.keys.take();
        self.ids.insert(registration.id.clone(), key);
        self.services
            .entry(registration.service.clone())
            .or_default()
            .push(key);
        let member = Member {
            is_near: region == self.region,
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
            work: None,
            unheard: None,
            unreached: None,
        };
        self.members.insert(key, member);
        self.join_rankings(key);
    }

    /// Forgets a target that has left.
    pub fn withdraw(&mut self, id: &str) {
        let Some(key) = self.ids.remove(id) else {
            return;
        };
        let Some(member) = self.members.remove(&key) else {
            return;
        };
        if member.lapsed.is_some() {
            count_return(&mut self.lapsed, member.service());
        }
        self.throttle.forget(member.digest());
        if let Some(keys) = self.services.get_mut(member.service()) {
            keys.retain(|other| *other != key);
        }
        self.leave_rankings(member.service(), key);
    }

    /// The service of a target.
    pub fn service_of(&self, id: &str) -> Option<&Arc<str>> {
        let member = self.members.get(self.ids.get(id)?)?;
        Some(member.service())
    }

    /// Services that lose most of the targets that did not say that they leave, if those of these identities go. So many don't
    /// leave at once.
    pub fn losing_most<'a>(&self, ids: impl Iterator<Item = &'a str>) -> BTreeSet<Arc<str>> {
        let going: BTreeSet<_> = ids.filter_map(|id| self.ids.get(id)).collect();
        let stays = |key: &&TargetKey| {
            let member = self.members.get(key);
            member.is_some_and(|member| member.registration.state != State::Draining)
        };
        let loses_most = |keys: &[TargetKey]| {
            let all = keys.iter().filter(stays).count();
            let going = keys.iter().filter(stays).filter(|key| going.contains(key));
            2 * going.count() > all
        };
        let services = self.services.iter();
        services
            .filter(|(_, keys)| loses_most(keys))
            .map(|(service, _)| service.clone())
            .collect()
    }

    /// Keeps a target whose registration ran out while the store was away; it is forgotten at
    /// `until` unless it registers again.
    pub fn lapse(&mut self, id: &str, until: Instant) {
        let key = self.ids.get(id);
        if let Some(member) = key.and_then(|key| self.members.get_mut(key)) {
            if member.lapsed.is_none() {
                *self.lapsed.entry(member.service().clone()).or_default() += 1;
            }
            member.lapsed.get_or_insert(until);
        }
    }

    /// Forgets targets that lapsed and did not come back.
    pub fn expire(&mut self, now: Instant) -> Vec<Arc<str>> {
        if self.lapsed.values().all(|count| *count == 0) {
            return Vec::new();
        }
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

    /// How many targets were looked at to choose some for requests.
    pub fn looks(&self) -> u64 {
        self.looks.get()
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

    /// Sets the time within which answers of a service are good.
    pub fn set_goal(&mut self, service: Arc<str>, goal: Duration) {
        self.goals.insert(service, goal);
    }

    /// Sets the part of its region's callers that this host gets; nothing if it is not known.
    pub fn set_share(&mut self, share: Option<f64>) {
        self.share = share;
    }

    /// Counts one more request at a target until [`Fleet::finish`].
    pub fn hold(&mut self, now: Instant, key: TargetKey) {
        if let Some(member) = self.members.get_mut(&key) {
            member.begin(now);
        }
    }

    /// Chooses a target and counts the request there until [`Fleet::finish`], whatever rate the target names.
    ///
    /// `connected` tells whether there is an idle connection to a target.
    pub fn choose(
        &mut self,
        now: Instant,
        ask: &Ask<'_>,
        connected: impl Fn(TargetKey) -> bool,
    ) -> Result<TargetKey, Refusal> {
        let (chosen, _) = self.propose(now, ask, connected)?;
        self.begin(now, ask, chosen);
        Ok(chosen)
    }

    /// Chooses a target, and tells what the request has to do with it. It may be sent there if [`Fleet::leave`] says so.
    pub fn propose(
        &mut self,
        now: Instant,
        ask: &Ask<'_>,
        connected: impl Fn(TargetKey) -> bool,
    ) -> Result<(TargetKey, Assignment), Refusal> {
        self.asked += 1;
        self.pick(now, ask, connected)
    }

    /// Counts a request at the target that was chosen for it until [`Fleet::finish`].
    pub fn begin(&mut self, now: Instant, ask: &Ask<'_>, chosen: TargetKey) {
        if let Some(member) = self.members.get_mut(&chosen) {
            // Requests that may not choose their region say nothing of what those that may do.
            let drift = self.drifts.get_mut(ask.service);
            if let Some(drift) = drift.filter(|_| ask.homes.is_empty()) {
                drift.count(now, member.region != self.region);
            }
            member.begin(now);
            if member.is_cold(now) {
                member.cold_token = Some(now);
            }
        }
    }

    /// The targets that a request may use now and what they are believed to have, for the log.
    pub fn explain(&self, now: Instant, ask: &Ask<'_>) -> String {
        let choices = self.first_choices(now, ask);
        let told = choices.keys().filter_map(|key| {
            let member = self.members.get(&key)?;
            let report = member.report.map_or("never".into(), |report| {
                let age = now.saturating_duration_since(report.at);
                format!("{} ms ago", age.as_millis())
            });
            let rate = self.throttle.rate(member.digest());
            let rate = rate.map_or(String::new(), |rate| format!(", takes {rate} a second"));
            Some(format!(
                "{} in {} has {:.1} of {} slots, {} of this host, told {report}{rate}",
                member.id(),
                member.region,
                member.load(now),
                member.registration.slots,
                member.in_flight,
            ))
        });
        told.collect::<Vec<_>>().join("; ")
    }

    /// What is believed of each target now, for metrics.
    pub fn beliefs(&self, now: Instant) -> impl Iterator<Item = Belief<'_>> {
        self.members.values().map(move |member| Belief {
            target: member.id(),
            service: member.service(),
            load: member.load(now),
            work: member.work(now, self.habit(member.service()).work),
            is_in: member.eject.is_in(),
            rate: self.throttle.rate(member.digest()),
            cold_rate: member.is_cold(now).then(|| self.cold_rate(member)),
        })
    }

    /// A target that is still known.
    pub fn member(&self, key: TargetKey) -> Option<&Member> {
        self.members.get(&key)
    }

    /// Whether one more target of the same service and region may be taken out: most have to stay,
    /// since what makes all of them fail is not cured by using none.
    fn may_eject(&self, key: TargetKey) -> bool {
        let Some(member) = self.members.get(&key) else {
            return false;
        };
        let keys = self.services.get(member.service()).into_iter().flatten();
        let near = keys
            .filter_map(|key| self.members.get(key))
            .filter(|other| other.region == member.region);
        let (mut all, mut out) = (0, 0);
        for other in near {
            all += 1;
            out += usize::from(!other.eject.is_in());
        }
        (out + 1) * 2 <= all
    }

    /// Takes in how a request ended; tells whether that changed how its target stands.
    pub fn finish(
        &mut self,
        now: Instant,
        key: TargetKey,
        end: End,
        seen: Seen,
        rng: &mut impl Rng,
    ) -> Option<Turn> {
        if let (End::Answered, Some(took)) = (end, seen.took) {
            self.worked(now, key, took, &seen);
        }
        let load = seen.load;
        let member = self.members.get_mut(&key)?;
        member.in_flight = member.in_flight.saturating_sub(1);
        if end != End::Cancelled && end != End::Silent {
            member.unheard = Some(now);
        }
        match end {
            End::Unreached => member.unreached = Some(now),
            End::Cancelled | End::Silent => {}
            _ => member.unreached = None,
        }
        if let Some(load) = load {
            let total = load.running + load.waiting;
            member.report = Some(Report {
                at: now,
                others: total.saturating_sub(member.in_flight),
            });
        }
        let sign = match end {
            End::Answered => Sign::Good,
            End::Failed | End::Unreached | End::Closed | End::Broken | End::Stray | End::Silent => {
                Sign::Bad
            }
            End::Misdirected => {
                member.misdirected = true;
                return None;
            }
            End::Refused | End::Cancelled => return None,
        };
        if !member.eject.is_in() {
            let restored = member.eject.probe(now, sign, rng);
            return restored.then_some(Turn::Restored);
        }
        member.eject.record(sign);
        let standing = Standing {
            ratio: 1.0,
            samples: 0,
            success: 1.0,
            down: false,
            cold: member.is_cold(now),
        };
        let is_outlier = member.eject.is_outlier(&standing);
        if !is_outlier || self.switches.ejection == Switch::Off || !self.may_eject(key) {
            return None;
        }
        self.members.get_mut(&key)?.eject.eject(now, rng);
        Some(Turn::Ejected)
    }
}

/// One of the lapsed targets of a service is here again, or forgotten.
fn count_return(lapsed: &mut BTreeMap<Arc<str>, usize>, service: &Arc<str>) {
    if let Some(count) = lapsed.get_mut(service) {
        *count = count.saturating_sub(1);
    }
}
