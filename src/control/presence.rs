//! Tracks which entry hosts are alive and serve requests, and which hosts distribute the contents
//! of the platform's store.
//!
//! A host registers itself, then reads the registrations of the other hosts, then sends heartbeats
//! to all of them. The first heartbeat to a host holds the sender's full record, so hosts that read
//! the store earlier learn about the sender without another read: of two hosts that start at once,
//! the later one finds the other. Later heartbeats are pulses, a tenth of that size. A receiver
//! that does not know the sender of a pulse asks it for the full record. In a large region most
//! hosts send heartbeats to other availability zones rarely, and a few hosts of each zone often,
//! which show that the zone is up. A host counts as alive for a while after it was first heard of,
//! so that a new one is used at once. A host that announces that it is leaving does not.
//!
//! Calls to the store are expensive and limited, so in each region only few hosts watch it and pass
//! on the changes. All hosts compute the same ranking to choose them.

mod lookup;
mod record;
mod relay;
mod watching;

use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::time::{Duration, Instant};

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use super::active_hosts::Rate;
use crate::border::settings::Switch;

pub use self::lookup::LookupFilter;
pub use self::record::{Heartbeat, HostRecord, Pulse, StoreView, Strength};

/// Interval between heartbeats within a region.
pub const INTERVAL: Duration = Duration::from_millis(700);
/// Only every n-th heartbeat goes to other regions, where liveness matters less.
pub const REMOTE_HEARTBEAT_STRIDE: u64 = 3;
/// For each such number of known hosts, [`REMOTE_HEARTBEAT_STRIDE`] counts once more, so that the
/// heartbeats to other regions don't grow with their number of hosts.
const HOSTS_PER_REMOTE_STRIDE: u64 = 200;
/// Number of hosts of an availability zone that send every heartbeat to the other zones of the
/// region. One surviving host of them is enough to show that the zone is up.
const ZONE_SPEAKERS: usize = 4;
/// For each such number of other hosts in the region, the remaining hosts of a zone skip one more
/// heartbeat between two that go to other zones, so that the traffic between zones doesn't grow
/// with the square of the region's size.
const HOSTS_PER_ZONE_STRIDE: usize = 100;
/// Number of heartbeats that may be missed before a host counts as dead.
const MAX_MISSED_HEARTBEATS: f64 = 3.6;
/// Silence after which the registration of a dead host is removed.
pub const REMOVAL_SILENCE: Duration = Duration::from_secs(20);
/// A gap between ticks of more than this means that this process was paused.
const PAUSE_THRESHOLD: Duration = Duration::from_millis(1500);

/// Default interval between a target's heartbeats to the store.
pub const TARGET_HEARTBEAT_INTERVAL: Duration = Duration::from_millis(1500);

/// The distance to another host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Distance {
    /// In the same availability zone.
    SameZone,
    /// In another availability zone of the same region.
    SameRegion,
    /// In another region.
    OtherRegion,
}

#[derive(Clone, Debug)]
struct Peer {
    record: HostRecord,
    /// Whether it is in the region of this host.
    is_near: bool,
    /// When the current process of the host was first heard of.
    first_heard: Instant,
    last_heard: Instant,
    is_leaving: bool,
    store_view: Option<StoreView>,
    /// Whether its feed was lost since it was last heard of.
    is_feed_lost: bool,
    rate: u32,
    /// Until when it counts as unable to reach targets.
    cut_off_until: Option<Instant>,
}

impl Peer {
    fn sees_store(&self) -> bool {
        self.store_view == Some(StoreView::Store)
    }

    fn update(&mut self, now: Instant, view: StoreView, leaving: bool, rate: u32) {
        self.last_heard = now;
        self.store_view = Some(view);
        self.is_feed_lost = false;
        self.is_leaving = leaving;
        self.rate = rate;
    }
}

/// The entry hosts from the view of one of them.
#[derive(Debug)]
pub struct Presence {
    own: HostRecord,
    region: Arc<str>,
    regions: BTreeMap<Arc<str>, Arc<str>>,
    is_leaving: bool,
    store_view: StoreView,
    peers: BTreeMap<Arc<str>, Peer>,
    /// Hosts by the address that receives their heartbeats, from which they also send theirs.
    hosts_by_address: BTreeMap<SocketAddr, Arc<str>>,
    /// When any host of each availability zone was last heard.
    zones_last_heard: BTreeMap<Arc<str>, Instant>,
    /// Number of other hosts of the region, alive or not.
    region_peers: usize,
    last_tick: Instant,
    started: Instant,
    /// Whether the registrations of the other hosts have been read.
    is_listed: bool,
    /// Since when no host has seen the store.
    unseen_since: Option<Instant>,
    /// When the last outage began, in which no host saw the store.
    outage_began: Option<Instant>,
    /// The last check at which no host saw the store.
    last_unseen: Option<Instant>,
    /// The last check at which no host had seen the store for so long that registrations of targets
    /// may have expired.
    last_long_outage: Option<Instant>,
    /// The last moment at which the store is known to have been unavailable to all hosts.
    unavailable_at: Option<Instant>,
    /// Interval between a target's heartbeats to the store.
    target_heartbeat: Duration,
    heartbeats_sent: u64,
    /// The rate of requests that this host receives.
    request_rate: Rate,
    few_watchers: Switch,
    few_hosts: Switch,
    lookup_filter: LookupFilter,
    /// Whether this host is unable to reach targets.
    is_cut_off: bool,
}

impl Presence {
    /// Creates the view of a host that knows no other; `regions` maps each availability zone to its
    /// region.
    pub fn new(now: Instant, own: HostRecord, regions: BTreeMap<Arc<str>, Arc<str>>) -> Self {
        Self {
            region: regions.get(&own.zone).unwrap_or(&own.zone).clone(),
            own,
            regions,
            is_leaving: false,
            store_view: StoreView::Nothing,
            peers: BTreeMap::new(),
            hosts_by_address: BTreeMap::new(),
            zones_last_heard: BTreeMap::new(),
            region_peers: 0,
            last_tick: now,
            started: now,
            is_listed: false,
            unseen_since: None,
            outage_began: None,
            last_unseen: None,
            last_long_outage: None,
            unavailable_at: None,
            target_heartbeat: TARGET_HEARTBEAT_INTERVAL,
            heartbeats_sent: 0,
            request_rate: Rate::new(now),
            few_watchers: Switch::On,
            few_hosts: Switch::On,
            lookup_filter: LookupFilter::All,
            is_cut_off: false,
        }
    }

    /// Sets the interval between a target's heartbeats to the store.
    pub fn with_heartbeat(mut self, interval: Duration) -> Self {
        self.target_heartbeat = interval;
        self
    }

    /// Switches the choice of few watchers; if off, all hosts watch the store.
    pub fn with_few_watchers(mut self, switch: Switch) -> Self {
        self.few_watchers = switch;
        self
    }

    /// Switches the choice of few hosts for look-ups; if off, they name all hosts that serve.
    pub fn with_few_hosts(mut self, switch: Switch) -> Self {
        self.few_hosts = switch;
        self
    }

    /// Sets which hosts look-ups may name.
    pub fn with_lookup_filter(mut self, filter: LookupFilter) -> Self {
        self.lookup_filter = filter;
        self
    }

    /// The record that this host registers.
    pub fn own(&self) -> &HostRecord {
        &self.own
    }

    /// The region of a host.
    pub fn region<'a>(&'a self, record: &'a HostRecord) -> &'a Arc<str> {
        self.regions.get(&record.zone).unwrap_or(&record.zone)
    }

    /// Whether a host is in the region of this one.
    pub fn is_near(&self, record: &HostRecord) -> bool {
        *self.region(record) == self.region
    }

    /// Records that the registrations of all other hosts, or those of the hosts that another host
    /// hears, have been processed.
    pub fn mark_listed(&mut self) {
        self.is_listed = true;
    }

    /// Whether this host has received the list of the other hosts.
    pub fn is_listed(&self) -> bool {
        self.is_listed
    }

    /// Stops taking new work from now on.
    pub fn leave(&mut self) {
        self.is_leaving = true;
    }

    /// Sets this host's view of the store. Returns whether it changed.
    pub fn set_store_view(&mut self, view: StoreView) -> bool {
        std::mem::replace(&mut self.store_view, view) != view
    }

    /// This host's view of the store.
    pub fn store_view(&self) -> StoreView {
        self.store_view
    }

    /// Returns the full heartbeat to send.
    pub fn heartbeat(&mut self, now: Instant) -> Heartbeat {
        Heartbeat {
            record: self.own.clone(),
            leaving: self.is_leaving,
            store_view: self.store_view,
            rate: self.request_rate.peak(now),
        }
    }

    /// Returns the short form of the heartbeat.
    pub fn pulse(&mut self, now: Instant) -> Pulse {
        let rate = self.request_rate.peak(now);
        Pulse(self.own.incarnation, self.store_view, self.is_leaving, rate)
    }

    /// Counts a request from a caller.
    pub fn count_request(&mut self, now: Instant) {
        self.request_rate.count_request(now);
    }

    /// One of this many heartbeats goes to other regions.
    fn remote_stride(&self) -> u64 {
        REMOTE_HEARTBEAT_STRIDE * (1 + self.peers.len() as u64 / HOSTS_PER_REMOTE_STRIDE)
    }

    /// One of this many heartbeats goes to the other availability zones of the region.
    fn zone_stride(&self) -> u64 {
        1 + (self.region_peers / HOSTS_PER_ZONE_STRIDE) as u64
    }

    /// Starts the next regular heartbeat and returns the addresses that receive it.
    pub fn next_heartbeat_recipients(&mut self, now: Instant) -> Vec<SocketAddr> {
        let includes_remote = self.heartbeats_sent.is_multiple_of(self.remote_stride());
        let includes_region =
            self.heartbeats_sent.is_multiple_of(self.zone_stride()) || self.is_speaker(now);
        self.heartbeats_sent += 1;
        let is_recipient = |peer: &&Peer| match self.distance(peer) {
            Distance::SameZone => true,
            Distance::SameRegion => includes_region,
            Distance::OtherRegion => includes_remote,
        };
        let peers = self.peers.values().filter(is_recipient);
        peers.map(|peer| peer.record.peers).collect()
    }

    fn distance(&self, peer: &Peer) -> Distance {
        if peer.record.zone == self.own.zone {
            Distance::SameZone
        } else if peer.is_near {
            Distance::SameRegion
        } else {
            Distance::OtherRegion
        }
    }

    /// Whether this host sends every heartbeat to the other zones of the region.
    fn is_speaker(&self, now: Instant) -> bool {
        let own = rank(&self.own);
        let zone_peers = self
            .live_peers(now)
            .filter(|peer| peer.record.zone == self.own.zone);
        let ranked_before = zone_peers.filter(|peer| rank(&peer.record) > own);
        ranked_before.take(ZONE_SPEAKERS).count() < ZONE_SPEAKERS
    }

    /// The addresses to notify at once after this host's view of the store changed from `before`:
    /// all hosts if this host saw the store or sees it now, else those of its region. Hosts of
    /// other regions only need to know whether any host sees the store. If followers announced
    /// their views to them as well, the messages would grow with the square of the number of hosts.
    pub fn store_view_recipients(&self, before: StoreView) -> Vec<SocketAddr> {
        let is_for_all = before == StoreView::Store || self.store_view == StoreView::Store;
        self.peers
            .values()
            .filter(|peer| is_for_all || peer.is_near)
            .map(|peer| peer.record.peers)
            .collect()
    }

    /// Processes a registration. A new process of a host counts as heard now, so it is alive until
    /// it has been silent for too long. Returns whether the process is new.
    pub fn register(&mut self, now: Instant, record: HostRecord) -> bool {
        if record.host == self.own.host {
            return false;
        }
        if let Some(peer) = self.peers.get_mut(&record.host) {
            if peer.record.incarnation == record.incarnation {
                peer.record = record;
                return false;
            }
            // A later process may have a lower incarnation if the host's clock was set back.
            let is_silent = now.saturating_duration_since(peer.last_heard) > 2 * INTERVAL;
            if peer.record.incarnation > record.incarnation && !is_silent {
                return false;
            }
        }
        let peer = Peer {
            is_near: self.is_near(&record),
            first_heard: now,
            last_heard: now,
            is_leaving: false,
            store_view: None,
            is_feed_lost: false,
            rate: 0,
            cut_off_until: None,
            record,
        };
        self.zones_last_heard.insert(peer.record.zone.clone(), now);
        self.hosts_by_address
            .insert(peer.record.peers, peer.record.host.clone());
        let is_near = peer.is_near;
        let known = self.peers.insert(peer.record.host.clone(), peer);
        self.region_peers += usize::from(is_near && known.is_none());
        true
    }

    /// Forgets a host whose registration was removed, unless it is still heard.
    pub fn unregister(&mut self, now: Instant, host: &str) {
        let is_gone = self
            .peers
            .get(host)
            .is_some_and(|peer| peer.is_leaving || !self.is_heard(now, peer));
        if !is_gone {
            return;
        }
        if let Some(peer) = self.peers.remove(host) {
            self.region_peers -= usize::from(peer.is_near);
            // Another host may use the address by now.
            let address = peer.record.peers;
            if self.hosts_by_address.get(&address) == Some(&peer.record.host) {
                self.hosts_by_address.remove(&address);
            }
        }
    }

    /// Processes a heartbeat. Returns whether its sender's process is new, and so may not know this
    /// host yet.
    pub fn receive_heartbeat(&mut self, now: Instant, heartbeat: Heartbeat) -> bool {
        let is_new = self.register(now, heartbeat.record.clone());
        let Some(peer) = self.peers.get_mut(&heartbeat.record.host) else {
            return false;
        };
        if heartbeat.record.incarnation == peer.record.incarnation {
            peer.update(now, heartbeat.store_view, heartbeat.leaving, heartbeat.rate);
            self.zones_last_heard.insert(heartbeat.record.zone, now);
        }
        is_new
    }

    /// Processes a pulse that came from `address`. Returns whether its sender is known.
    pub fn receive_pulse(&mut self, now: Instant, address: SocketAddr, pulse: Pulse) -> bool {
        let Pulse(incarnation, view, leaving, rate) = pulse;
        let host = self.hosts_by_address.get(&address);
        let Some(peer) = host.and_then(|host| self.peers.get_mut(host)) else {
            return false;
        };
        if peer.record.incarnation != incarnation {
            return false;
        }
        peer.update(now, view, leaving, rate);
        match self.zones_last_heard.get_mut(&peer.record.zone) {
            Some(heard) => *heard = now,
            None => {
                self.zones_last_heard.insert(peer.record.zone.clone(), now);
            }
        }
        true
    }

    /// Records the current time. After a pause of this process all silences are counted from now.
    pub fn tick(&mut self, now: Instant) {
        if now.saturating_duration_since(self.last_tick) > PAUSE_THRESHOLD {
            for peer in self.peers.values_mut() {
                peer.last_heard = now;
            }
            self.zones_last_heard
                .values_mut()
                .for_each(|heard| *heard = now);
        }
        self.last_tick = now;
    }

    /// The records of all other hosts, alive or not.
    pub fn peers(&self) -> impl Iterator<Item = &HostRecord> {
        self.peers.values().map(|peer| &peer.record)
    }

    /// The record of another host.
    pub fn peer(&self, host: &str) -> Option<&HostRecord> {
        self.peers.get(host).map(|peer| &peer.record)
    }

    /// The record of the host that sends heartbeats from `address`.
    pub fn peer_at(&self, address: SocketAddr) -> Option<&HostRecord> {
        let peer = self.peers.get(self.hosts_by_address.get(&address)?)?;
        Some(&peer.record)
    }

    /// Whether another host is registered with this IP address.
    pub fn is_peer_address(&self, address: IpAddr) -> bool {
        let mut addresses = self.hosts_by_address.keys();
        addresses.any(|known| known.ip() == address)
    }

    /// Whether no other host is known to be alive.
    pub fn is_alone(&self, now: Instant) -> bool {
        self.live_peers(now).next().is_none()
    }

    /// The hosts that are alive and not leaving, including this one.
    pub fn alive(&self, now: Instant) -> impl Iterator<Item = &HostRecord> {
        let own = (!self.is_leaving).then_some(&self.own);
        let others = self.live_peers(now).map(|peer| &peer.record);
        own.into_iter().chain(others)
    }

    /// The heartbeat addresses of the hosts that keep the counts of `key`, without this host.
    /// Rendezvous hashing selects one live host in each availability zone, so that zones that are
    /// cut off from each other each have one.
    pub fn counting_hosts(&self, now: Instant, key: u64) -> Vec<SocketAddr> {
        let mut best_by_zone: BTreeMap<&Arc<str>, (u64, &HostRecord)> = BTreeMap::new();
        for record in self.alive(now) {
            let score = xxh3_64_with_seed(record.host.as_bytes(), key);
            let best = best_by_zone.entry(&record.zone).or_insert((score, record));
            if score > best.0 {
                *best = (score, record);
            }
        }
        let others = best_by_zone.values().map(|(_, record)| record);
        let others = others.filter(|record| record.host != self.own.host);
        others.map(|record| record.peers).collect()
    }

    /// The heartbeat addresses of the hosts that are most likely to send requests to the targets of
    /// a region: the live ones there, or all others if there is none.
    pub fn witnesses(&self, now: Instant, region: &Arc<str>) -> Vec<SocketAddr> {
        let others = || self.live_peers(now).map(|peer| &peer.record);
        let near = others().filter(|record| self.region(record) == region);
        let near: Vec<_> = near.map(|record| record.peers).collect();
        if near.is_empty() {
            return others().map(|record| record.peers).collect();
        }
        near
    }

    /// The hosts that can serve callers: alive and not known to lack a configuration.
    pub fn serving(&self, now: Instant) -> impl Iterator<Item = &HostRecord> {
        let own = (!self.is_leaving && self.store_view > StoreView::Nothing).then_some(&self.own);
        let others = self
            .live_peers(now)
            .filter(|peer| peer.store_view != Some(StoreView::Nothing))
            .map(|peer| &peer.record);
        own.into_iter().chain(others)
    }

    /// Hosts whose registration this host should remove, as they have been silent for long. Only
    /// the highest-ranked host that sees the store removes any, so that only one host calls the
    /// store.
    pub fn removable_hosts(&self, now: Instant) -> impl Iterator<Item = &Arc<str>> {
        let own = rank(&self.own);
        let is_first = self.store_view == StoreView::Store
            && !self
                .live_peers(now)
                .any(|peer| peer.sees_store() && rank(&peer.record) > own);
        self.peers
            .values()
            .filter(move |peer| is_first && self.is_removable(now, peer))
            .map(|peer| &peer.record.host)
    }

    /// Whether a host has been silent long enough to be removed. In a large fleet heartbeats from
    /// other regions are far apart.
    fn is_removable(&self, now: Instant, peer: &Peer) -> bool {
        let silence = now.saturating_duration_since(peer.last_heard);
        silence >= REMOVAL_SILENCE && !self.is_heard(now, peer)
    }

    fn live_peers(&self, now: Instant) -> impl Iterator<Item = &Peer> {
        self.peers
            .values()
            .filter(move |peer| !peer.is_leaving && self.is_heard(now, peer))
    }

    fn is_heard(&self, now: Instant, peer: &Peer) -> bool {
        let (stride, zone_heard) = match self.distance(peer) {
            Distance::SameZone => (1, None),
            Distance::SameRegion => (
                self.zone_stride(),
                self.zones_last_heard.get(&peer.record.zone),
            ),
            Distance::OtherRegion => (self.remote_stride(), None),
        };
        let is_recent = |heard: Instant, stride: u64| {
            let span = (INTERVAL * stride as u32).mul_f64(MAX_MISSED_HEARTBEATS);
            now.saturating_duration_since(heard) < span
        };
        // In a zone that has lost power no host is heard, which shows long before each of its hosts
        // is missed.
        is_recent(peer.last_heard, stride) && zone_heard.is_none_or(|heard| is_recent(*heard, 1))
    }
}

/// The rank of a host, which all hosts compute alike. Hosts with the most capacity come first, as
/// many others follow them.
fn rank(record: &HostRecord) -> (u64, u64) {
    let share = (record.strength.share() * 100.0) as u64;
    (share, xxh3_64(record.host.as_bytes()))
}
