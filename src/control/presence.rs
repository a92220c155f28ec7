//! Which entry hosts take requests, and who tells whom what the platform's store holds.
//!
//! A host registers, then reads who else did, then sends heartbeats to all of them. The first one
//! says all there is to know of its sender, so that those who read the store earlier
//! learn of it without asking the store again: of two hosts that start at once, the later one finds the
//! other. In between go pulses, a tenth as long; who does not know their sender asks it.
//! In a large region most hosts tell the other availability zones seldom, and few of each zone often: these show that the zone
//! is there.
//! A host counts as alive for a while after it was first heard of, so that a new one is used at
//! once, and one that says that it is leaving does not.
//!
//! Calls to the store are dear and limited, so in each region few hosts watch it and pass on what
//! they learn. Who does follows from a ranking that all hosts compute alike.

mod naming;
mod record;
mod watching;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use super::working::Rate;
use crate::border::settings::Switch;

pub use self::naming::Naming;
pub use self::record::{Beat, Pulse, Record, Sight, Strength};

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

/// Time between two heartbeats of a target to the store, unless the settings say otherwise.
pub const HEARTBEAT: Duration = Duration::from_millis(1500);

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
    /// Since when no host sees the store.
    unseen: Option<Instant>,
    /// When no host saw the store, the last time that was looked at.
    last_unseen: Option<Instant>,
    /// When that had lasted so long that registrations of targets may have run out.
    last_away: Option<Instant>,
    /// Time between two heartbeats of a target to the store.
    heartbeat: Duration,
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
            last_unseen: None,
            last_away: None,
            heartbeat: HEARTBEAT,
            beats: 0,
            rate: Rate::new(now),
            few_watchers: Switch::On,
            few_hosts: Switch::On,
            naming: Naming::All,
        }
    }

    /// Targets show the store that they live at this interval.
    pub fn with_heartbeat(mut self, interval: Duration) -> Self {
        self.heartbeat = interval;
        self
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
}

/// The order of hosts, which all compute alike: those that can carry most first, as many follow them.
fn rank(record: &Record) -> (u64, u64) {
    let share = (record.strength.share() * 100.0) as u64;
    (share, xxh3_64(record.host.as_bytes()))
}
