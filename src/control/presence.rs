//! Which entry hosts take requests, and who tells whom what the platform's store holds.
//!
//! A host registers, then reads who else did, then sends heartbeats to all of them. The first one, and
//! each one with news, says all there is to know of its sender, so that those who read the store earlier
//! learn of it without asking the store again: of two hosts that start at once, the later one finds the
//! other. In between go pulses, a tenth as long; who does not know their sender asks it.
//! A host counts as alive for a while after it was first heard of, so that a new one is used at
//! once, and one that says that it is leaving does not.
//!
//! Calls to the store are dear and limited, so in each region few hosts watch it and pass on what
//! they learn. Who does follows from a ranking that all hosts compute alike.

use std::collections::{BTreeMap, BTreeSet};
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use super::working::{self, Candidate, Rate};
use crate::border::settings::Switch;
use crate::port::Question;

/// Time between two heartbeats within a region.
pub const INTERVAL: Duration = Duration::from_millis(700);
/// Only each n-th heartbeat goes to other regions, where liveness decides less.
pub const FAR: u64 = 3;
/// For each such number of hosts that n is as much larger, so that heartbeats to other regions don't
/// grow with their hosts.
const MANY: u64 = 200;
/// Hosts of an availability zone that tell its state to the other zones of the region at each heartbeat: one that is left of
/// them shows that the zone is there.
const SPEAKERS: usize = 4;
/// For each such number of other hosts of a region the other hosts of a zone leave one more heartbeat out between two that go
/// to other zones, so that what crosses zones doesn't grow with the square of the region.
const CROWD: usize = 100;
/// Heartbeats that may be missed before a host is taken for dead.
const MISSED: f64 = 3.6;
/// Silence after which the registration of a dead host is removed.
pub const FORGET: Duration = Duration::from_secs(20);
/// A gap between two looks at the clock that means that this process was paused.
const PAUSE: Duration = Duration::from_millis(1500);
/// Hosts of a region for each one that watches the store. More followers would load its link at each
/// large change.
const FOLLOWERS: usize = 60;
/// Hosts of all regions that watch the store at the least: the store may turn one away, and another one
/// has to see it then. Each more is paid for: six in place of three lowered the mean worth by 0.0015.
const LEAST: usize = 3;
/// How long after its return the store counts as having been away: targets that it dropped register
/// again within two seconds.
const AWAY: Duration = Duration::from_millis(2500);
/// Time between two looks of a host at a store that nobody sees, in a small fleet.
const LOOK: Duration = Duration::from_secs(2);
/// Hosts that look so often; more share the same number of looks, ten a second. That finds a store that has returned, or
/// that single hosts still reach, within some 0.1 s.
const LOOKERS: f64 = 20.0;
/// How long a host may take from its start until it sees the store.
const START: Duration = Duration::from_secs(2);
/// How long a host that has just started leaves it to strong hosts of its region to read the store.
const COPY_PATIENCE: Duration = Duration::from_secs(4);

/// What an entry host registers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Record {
    /// Its name.
    pub host: Arc<str>,
    /// Its availability zone.
    pub zone: Arc<str>,
    /// Where callers send requests.
    pub front: SocketAddr,
    /// Where it takes heartbeats.
    pub peers: SocketAddr,
    /// Where it tells others what it knows of the store.
    pub feed: SocketAddr,
    /// Grows with each start of its process, unless its clock goes back.
    pub incarnation: u64,
    /// How much it can carry beside others.
    pub strength: Strength,
}

/// How much a host can carry: its part of a processor core, and its link.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Strength {
    /// Processor cores.
    pub cores: f64,
    /// The link in megabits a second.
    pub megabits: f64,
}

/// The part of a processor core with which a host needs no care.
const AMPLE_CORES: f64 = 0.2;
/// The link, in megabits a second, with which a host needs no care: ten times what a usual host carries.
const AMPLE_MEGABITS: f64 = 50.0;

impl Strength {
    /// A host that needs no care.
    pub const AMPLE: Self = Self {
        cores: AMPLE_CORES,
        megabits: AMPLE_MEGABITS,
    };

    /// Whether the host needs no care.
    pub fn is_ample(self) -> bool {
        self.share() >= 1.0
    }

    /// The part of a full share of work that the host can take, up to 1.
    pub fn share(self) -> f64 {
        let cores = self.cores / AMPLE_CORES;
        let link = self.megabits / AMPLE_MEGABITS;
        cores.min(link).clamp(0.0, 1.0)
    }
}

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

/// What a host knows of the store, from least to most.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Sight {
    /// Nothing yet.
    Nothing,
    /// What it knew before it lost the store.
    Stale,
    /// What another host tells it, which sees the store.
    Relayed,
    /// It sees the store itself.
    Store,
}

/// A heartbeat.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Beat {
    /// Its sender.
    #[serde(rename = "r")]
    pub record: Record,
    /// Whether the sender finishes what it has and takes nothing new.
    #[serde(rename = "l")]
    pub leaving: bool,
    /// What the sender knows of the store.
    #[serde(rename = "s")]
    pub sight: Sight,
    /// Requests a second that the sender gets.
    #[serde(rename = "n")]
    pub rate: u32,
}

/// What a heartbeat may change; all that one says to those who know its sender.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Pulse(
    /// The sender's incarnation.
    pub u64,
    /// What the sender knows of the store.
    pub Sight,
    /// Whether the sender takes nothing new.
    pub bool,
    /// Requests a second that the sender gets.
    pub u32,
);

/// How far away another host is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Distance {
    /// In the same availability zone.
    Zone,
    /// In another one of the region.
    Region,
    /// In another region.
    Elsewhere,
}

#[derive(Clone, Debug)]
struct Peer {
    record: Record,
    /// Whether it is in the region of this host.
    is_near: bool,
    /// When this process of the host was first heard of.
    met: Instant,
    heard: Instant,
    leaving: bool,
    sight: Option<Sight>,
    rate: u32,
}

impl Peer {
    fn hear(&mut self, now: Instant, sight: Sight, leaving: bool, rate: u32) {
        self.heard = now;
        self.sight = Some(sight);
        self.leaving = leaving;
        self.rate = rate;
    }
}

/// The entry hosts as one of them sees them.
#[derive(Debug)]
pub struct Presence {
    own: Record,
    region: Arc<str>,
    regions: BTreeMap<Arc<str>, Arc<str>>,
    leaving: bool,
    sight: Sight,
    peers: BTreeMap<Arc<str>, Peer>,
    /// The hosts by where they take heartbeats, which is also where theirs come from.
    places: BTreeMap<SocketAddr, Arc<str>>,
    /// When any host of each availability zone was heard last.
    zones: BTreeMap<Arc<str>, Instant>,
    /// Other hosts of the region, alive or not.
    near: usize,
    looked: Instant,
    started: Instant,
    /// Whether the registrations of the others were read.
    listed: bool,
    /// When no host saw the store, the last time that was looked at.
    unseen: Option<Instant>,
    beats: u64,
    /// The requests that this host gets.
    rate: Rate,
    few_watchers: Switch,
    few_hosts: Switch,
    naming: Naming,
}

impl Presence {
    /// A host that has heard of no other; `regions` gives the region of each availability zone.
    pub fn new(now: Instant, own: Record, regions: BTreeMap<Arc<str>, Arc<str>>) -> Self {
        Self {
            region: regions.get(&own.zone).unwrap_or(&own.zone).clone(),
            own,
            regions,
            leaving: false,
            sight: Sight::Nothing,
            peers: BTreeMap::new(),
            places: BTreeMap::new(),
            zones: BTreeMap::new(),
            near: 0,
            looked: now,
            started: now,
            listed: false,
            unseen: None,
            beats: 0,
            rate: Rate::new(now),
            few_watchers: Switch::On,
            few_hosts: Switch::On,
            naming: Naming::All,
        }
    }

    /// Without the choice of few watchers all hosts watch the store.
    pub fn with_few_watchers(mut self, switch: Switch) -> Self {
        self.few_watchers = switch;
        self
    }

    /// Without the choice of few hosts look-ups name all that serve.
    pub fn with_few_hosts(mut self, switch: Switch) -> Self {
        self.few_hosts = switch;
        self
    }

    /// Look-ups name these hosts.
    pub fn with_naming(mut self, naming: Naming) -> Self {
        self.naming = naming;
        self
    }

    /// What this host registers.
    pub fn own(&self) -> &Record {
        &self.own
    }

    /// The region of a host.
    pub fn region<'a>(&'a self, record: &'a Record) -> &'a Arc<str> {
        self.regions.get(&record.zone).unwrap_or(&record.zone)
    }

    /// Whether a host is in the region of this one.
    pub fn is_near(&self, record: &Record) -> bool {
        *self.region(record) == self.region
    }

    /// All registrations of other hosts have been taken in, or those that another host hears.
    pub fn list(&mut self) {
        self.listed = true;
    }

    /// Whether this host was told of the others.
    pub fn is_listed(&self) -> bool {
        self.listed
    }

    /// Time between two looks of this host at a store that no host is known to see. The more hosts there are the longer it
    /// is, so that the store is not asked, and on its return not read, by all of them at once.
    pub fn look_interval(&self) -> Duration {
        let hosts = self.peers.len() + 1;
        LOOK.mul_f64((hosts as f64 / LOOKERS).max(1.0))
    }

    /// Takes no new work from now on.
    pub fn leave(&mut self) {
        self.leaving = true;
    }

    /// Sets what this host knows of the store; says whether that is news.
    pub fn see(&mut self, sight: Sight) -> bool {
        std::mem::replace(&mut self.sight, sight) != sight
    }

    /// What this host knows of the store.
    pub fn sight(&self) -> Sight {
        self.sight
    }

    /// The heartbeat to send.
    pub fn beat(&mut self, now: Instant) -> Beat {
        Beat {
            record: self.own.clone(),
            leaving: self.leaving,
            sight: self.sight,
            rate: self.rate.peak(now),
        }
    }

    /// The same in few bytes.
    pub fn pulse(&mut self, now: Instant) -> Pulse {
        let rate = self.rate.peak(now);
        Pulse(self.own.incarnation, self.sight, self.leaving, rate)
    }

    /// Counts a request of a caller.
    pub fn count(&mut self, now: Instant) {
        self.rate.count(now);
    }

    /// Every how many heartbeats one goes to other regions.
    fn far(&self) -> u64 {
        FAR * (1 + self.peers.len() as u64 / MANY)
    }

    /// Every how many heartbeats one goes to the other availability zones of the region.
    fn across(&self) -> u64 {
        1 + (self.near / CROWD) as u64
    }

    /// Where the next regular heartbeat goes to.
    pub fn next_beat(&mut self, now: Instant) -> Vec<SocketAddr> {
        let far = self.beats.is_multiple_of(self.far());
        let across = self.beats.is_multiple_of(self.across()) || self.is_speaker(now);
        self.beats += 1;
        let wanted = |peer: &&Peer| match self.distance(peer) {
            Distance::Zone => true,
            Distance::Region => across,
            Distance::Elsewhere => far,
        };
        let peers = self.peers.values().filter(wanted);
        peers.map(|peer| peer.record.peers).collect()
    }

    fn distance(&self, peer: &Peer) -> Distance {
        if peer.record.zone == self.own.zone {
            Distance::Zone
        } else if peer.is_near {
            Distance::Region
        } else {
            Distance::Elsewhere
        }
    }

    /// Whether this host tells the state of its availability zone to the others of the region.
    fn is_speaker(&self, now: Instant) -> bool {
        let own = rank(&self.own);
        let of_zone = self
            .present(now)
            .filter(|peer| peer.record.zone == self.own.zone);
        let before = of_zone.filter(|peer| rank(&peer.record) > own);
        before.take(SPEAKERS).count() < SPEAKERS
    }

    /// Where it is told at once that what this host knows of the store was `before` until now: in its region, and everywhere if it
    /// saw the store or sees it now. Hosts of other regions only ask whether anybody sees it; what those that follow it know
    /// would be told by as many hosts to as many.
    pub fn concerned(&self, before: Sight) -> Vec<SocketAddr> {
        let everywhere = before == Sight::Store || self.sight == Sight::Store;
        self.peers
            .values()
            .filter(|peer| everywhere || peer.is_near)
            .map(|peer| peer.record.peers)
            .collect()
    }

    /// Takes in a registration; gives the host the benefit of the doubt until it was silent for
    /// long enough. Says whether this process of the host is new.
    pub fn register(&mut self, now: Instant, record: Record) -> bool {
        if record.host == self.own.host {
            return false;
        }
        if let Some(peer) = self.peers.get_mut(&record.host) {
            if peer.record.incarnation == record.incarnation {
                peer.record = record;
                return false;
            }
            // A later process may have a lower number if the host's clock went back.
            let silent = now.saturating_duration_since(peer.heard) > 2 * INTERVAL;
            if peer.record.incarnation > record.incarnation && !silent {
                return false;
            }
        }
        let peer = Peer {
            is_near: self.is_near(&record),
            met: now,
            heard: now,
            leaving: false,
            sight: None,
            rate: 0,
            record,
        };
        self.zones.insert(peer.record.zone.clone(), now);
        self.places
            .insert(peer.record.peers, peer.record.host.clone());
        let is_near = peer.is_near;
        let known = self.peers.insert(peer.record.host.clone(), peer);
        self.near += usize::from(is_near && known.is_none());
        true
    }

    /// Forgets a host whose registration was removed, unless it is still heard.
    pub fn withdraw(&mut self, now: Instant, host: &str) {
        let gone = self
            .peers
            .get(host)
            .is_some_and(|peer| peer.leaving || !self.is_heard(now, peer));
        if !gone {
            return;
        }
        if let Some(peer) = self.peers.remove(host) {
            self.near -= usize::from(peer.is_near);
            // Another host may have its address by now.
            let place = peer.record.peers;
            if self.places.get(&place) == Some(&peer.record.host) {
                self.places.remove(&place);
            }
        }
    }

    /// Takes in a heartbeat. Says whether its sender has not heard of this host yet.
    pub fn hear(&mut self, now: Instant, beat: Beat) -> bool {
        let new = self.register(now, beat.record.clone());
        let Some(peer) = self.peers.get_mut(&beat.record.host) else {
            return false;
        };
        if beat.record.incarnation == peer.record.incarnation {
            peer.hear(now, beat.sight, beat.leaving, beat.rate);
            self.zones.insert(beat.record.zone, now);
        }
        new
    }

    /// Takes in a pulse that came from `place`. Says whether its sender is known.
    pub fn feel(&mut self, now: Instant, place: SocketAddr, pulse: Pulse) -> bool {
        let Pulse(incarnation, sight, leaving, rate) = pulse;
        let host = self.places.get(&place);
        let Some(peer) = host.and_then(|host| self.peers.get_mut(host)) else {
            return false;
        };
        if peer.record.incarnation != incarnation {
            return false;
        }
        peer.hear(now, sight, leaving, rate);
        match self.zones.get_mut(&peer.record.zone) {
            Some(heard) => *heard = now,
            None => {
                self.zones.insert(peer.record.zone.clone(), now);
            }
        }
        true
    }

    /// Notes that the clock was looked at. After a pause of this process each silence counts anew.
    pub fn tick(&mut self, now: Instant) {
        if now.saturating_duration_since(self.looked) > PAUSE {
            for peer in self.peers.values_mut() {
                peer.heard = now;
            }
            self.zones.values_mut().for_each(|heard| *heard = now);
        }
        self.looked = now;
    }

    /// Other hosts, alive or not.
    pub fn peers(&self) -> impl Iterator<Item = &Record> {
        self.peers.values().map(|peer| &peer.record)
    }

    /// What another host says of itself.
    pub fn known(&self, host: &str) -> Option<&Record> {
        self.peers.get(host).map(|peer| &peer.record)
    }

    /// The other host that sends heartbeats from `place`.
    pub fn at(&self, place: SocketAddr) -> Option<&Record> {
        let peer = self.peers.get(self.places.get(&place)?)?;
        Some(&peer.record)
    }

    /// Whether no other host is up, as far as is known.
    pub fn is_alone(&self, now: Instant) -> bool {
        self.present(now).next().is_none()
    }

    /// Hosts that are up, but for those that are leaving; this one among them.
    pub fn alive(&self, now: Instant) -> impl Iterator<Item = &Record> {
        let own = (!self.leaving).then_some(&self.own);
        let others = self.present(now).map(|peer| &peer.record);
        own.into_iter().chain(others)
    }

    /// Where those take heartbeats that count what belongs to `key`: in each availability zone one host that is up, by
    /// rendezvous hashing, so that zones that are cut off from each other have one, too. Not this host.
    pub fn counters(&self, now: Instant, key: u64) -> Vec<SocketAddr> {
        let mut first: BTreeMap<&Arc<str>, (u64, &Record)> = BTreeMap::new();
        for record in self.alive(now) {
            let draw = xxh3_64_with_seed(record.host.as_bytes(), key);
            let best = first.entry(&record.zone).or_insert((draw, record));
            if draw > best.0 {
                *best = (draw, record);
            }
        }
        let others = first.values().map(|(_, record)| record);
        let others = others.filter(|record| record.host != self.own.host);
        others.map(|record| record.peers).collect()
    }

    /// Hosts that can serve callers: alive, and with a configuration as far as is known.
    pub fn serving(&self, now: Instant) -> impl Iterator<Item = &Record> {
        let own = (!self.leaving && self.sight > Sight::Nothing).then_some(&self.own);
        let others = self
            .present(now)
            .filter(|peer| peer.sight != Some(Sight::Nothing))
            .map(|peer| &peer.record);
        own.into_iter().chain(others)
    }

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

    /// Hosts whose registration this host is to remove: they have been silent for long, and of the
    /// hosts that see the store this one comes first, so that only one calls it.
    pub fn departed(&self, now: Instant) -> impl Iterator<Item = &Arc<str>> {
        let own = rank(&self.own);
        let is_first = self.sight == Sight::Store
            && !self
                .present(now)
                .any(|peer| peer.sight == Some(Sight::Store) && rank(&peer.record) > own);
        self.peers
            .values()
            .filter(move |peer| is_first && self.is_departed(now, peer))
            .map(|peer| &peer.record.host)
    }

    /// Whether a host has been silent for long; in a large fleet heartbeats from other regions are far apart.
    fn is_departed(&self, now: Instant, peer: &Peer) -> bool {
        let silence = now.saturating_duration_since(peer.heard);
        silence >= FORGET && !self.is_heard(now, peer)
    }

    fn present(&self, now: Instant) -> impl Iterator<Item = &Peer> {
        self.peers
            .values()
            .filter(move |peer| !peer.leaving && self.is_heard(now, peer))
    }

    fn is_heard(&self, now: Instant, peer: &Peer) -> bool {
        let (beats, zone_heard) = match self.distance(peer) {
            Distance::Zone => (1, None),
            Distance::Region => (self.across(), self.zones.get(&peer.record.zone)),
            Distance::Elsewhere => (self.far(), None),
        };
        let is_recent = |heard: Instant, beats: u64| {
            let span = (INTERVAL * beats as u32).mul_f64(MISSED);
            now.saturating_duration_since(heard) < span
        };
        // Of a zone that has lost power nobody is heard, long before each of its hosts is missed.
        is_recent(peer.heard, beats) && zone_heard.is_none_or(|heard| is_recent(*heard, 1))
    }

    /// Whether this host is to watch the store itself.
    ///
    /// One that sees it goes on unless enough hosts of its region that come before it see it too. One
    /// that does not leaves it to those before it that could, so that a lost store is not called by
    /// all hosts at once.
    pub fn is_watcher(&self, now: Instant) -> bool {
        if self.few_watchers == Switch::Off {
            return true;
        }
        if self.awaits_copy(now) {
            // The more targets there are the longer strong hosts take to see the store, and to watch it means to read them all.
            return false;
        }
        let own = rank(&self.own);
        let away = !self.is_store_seen(now);
        let before = self.present(now).filter(|peer| {
            let starting = now.saturating_duration_since(peer.met) < START;
            let sees = peer.sight == Some(Sight::Store);
            let could = away || peer.sight >= Some(Sight::Relayed);
            peer.is_near
                && rank(&peer.record) > own
                && (sees || starting || (could && self.sight != Sight::Store))
        });
        before.count() < self.watchers()
    }

    /// How many hosts of the own region are to watch the store.
    fn watchers(&self) -> usize {
        let others = self.peers.values().map(|peer| self.region(&peer.record));
        let near = others.clone().filter(|region| **region == self.region);
        let regions: BTreeSet<_> = others.chain([&self.region]).collect();
        let for_followers = 1 + near.count() / FOLLOWERS;
        for_followers.max(LEAST.div_ceil(regions.len()))
    }

    /// Whether any host sees the store.
    pub fn is_store_seen(&self, now: Instant) -> bool {
        self.sight == Sight::Store
            || self
                .present(now)
                .any(|peer| peer.sight == Some(Sight::Store))
    }

    /// Whether this host, which is weak and knows nothing of the store yet, is to wait for a copy from a strong host of its
    /// region. All hosts may start at once: if each read all targets, or took a copy from whichever region has it first, the calls
    /// of the store and the bytes between regions would grow with hosts times targets.
    pub fn awaits_copy(&self, now: Instant) -> bool {
        let age = now.saturating_duration_since(self.started);
        let strong = |peer: &Peer| peer.is_near && peer.record.strength.is_ample();
        self.sight == Sight::Nothing
            && !self.own.strength.is_ample()
            && age < COPY_PATIENCE
            && self.present(now).any(strong)
    }

    /// The host to follow: the one that sees most, of those the nearest, of those the strongest; among
    /// equals each host draws its own, so that they share the followers. One that has lost the store like
    /// this one has nothing to tell. `skip` leaves out hosts whose feed has just failed: one that
    /// died seems alive until it was silent for a while.
    pub fn source(&self, now: Instant, skip: impl Fn(&Record) -> bool) -> Option<(&Record, Sight)> {
        let least = self.sight.min(Sight::Stale);
        let (_, own) = rank(&self.own);
        let only_near = self.awaits_copy(now);
        self.present(now)
            .filter_map(|peer| Some((peer, peer.sight?)))
            .filter(|(peer, sight)| *sight > least && !skip(&peer.record))
            .filter(|(peer, _)| !only_near || peer.is_near)
            .max_by_key(|(peer, sight)| {
                // Links between zones are paid for, and each follower takes a copy of all targets over one.
                let in_zone = peer.record.zone == self.own.zone;
                let (share, draw) = rank(&peer.record);
                (*sight, peer.is_near, in_zone, share, draw ^ own)
            })
            .map(|(peer, sight)| (&peer.record, sight))
    }

    /// Notes whether any host sees the store.
    pub fn watch_store(&mut self, now: Instant) {
        if !self.is_store_seen(now) {
            self.unseen = Some(now);
        }
    }

    /// Whether the store was away just before, so that what is missing there may be about to return.
    /// It is not enough that this host did not see it: then the store itself goes on, and what is
    /// missing has left.
    pub fn was_store_away(&self, now: Instant) -> bool {
        self.unseen
            .is_some_and(|unseen| now.saturating_duration_since(unseen) < AWAY)
    }

    /// Whether any host has lost the store.
    pub fn is_store_doubtful(&self, now: Instant) -> bool {
        self.sight == Sight::Stale
            || self
                .present(now)
                .any(|peer| peer.sight == Some(Sight::Stale))
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

/// The order of hosts, which all compute alike: those that can carry most first, as many follow them.
fn rank(record: &Record) -> (u64, u64) {
    let share = (record.strength.share() * 100.0) as u64;
    (share, xxh3_64(record.host.as_bytes()))
}
