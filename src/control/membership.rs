//! Tracks which entry hosts are alive, by incarnation.
//!
//! A host is heard directly, by its heartbeats over a link, or through other hosts, with an age. A
//! silent host is suspected. The hosts linked with this one are then asked whether they hear it,
//! and it counts as dead only if none does. The platform's list is a hint: it never causes a host
//! that is heard to count as dead. A restarted host has a higher incarnation, and messages of older
//! incarnations are ignored.
//!
//! A pause of this process shows as a gap between ticks. After it all silences are counted from the
//! end of the pause, so that no host is declared dead because of the pause.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

use super::detector::{Detector, INTERVAL};
use super::heartbeat::millis;
use super::member::{Link, PeerState, REMOTE_DEAD_SILENCE};
use crate::catalog::{self, Catalog, HostKey, ZoneKey};

pub use super::heartbeat::{Heartbeat, KnownHost, Report, Roster, State};
pub use super::member::{Listing, Status, DEATH_CONFIRMATION};

/// Minimum silence of a whole zone before it counts as lost.
const ZONE_LOSS_SILENCE: Duration = Duration::from_secs(2);
/// Additional silence allowed while links to other hosts of the zone are still to be opened.
const OPENING_ALLOWANCE: Duration = Duration::from_secs(2);
/// A gap between ticks of at least this length means that this process was paused.
pub const PAUSE_THRESHOLD: Duration = Duration::from_millis(700);

/// How a host was heard.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Via {
    /// Over a direct link.
    Direct,
    /// Through another host that heard it this long ago.
    Relayed(Duration),
}

/// The status of an availability zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ZoneStatus {
    /// Some host of it was heard recently.
    Alive,
    /// All its hosts are silent while most other zones are heard.
    Lost,
    /// Not heard for this time, or never. The own zone may be the one that is cut off.
    Unknown(Option<Duration>),
}

/// A change of the membership.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// A host is heard for the first time, or again after it was dead.
    Joined(HostKey),
    /// A host is heard with a higher incarnation.
    Restarted(HostKey),
    /// A host no longer takes new work.
    Left(HostKey),
    /// A host is silent. Send a [`Heartbeat`] at once to ask which hosts hear it.
    Suspected(HostKey),
    /// A host is dead.
    Died(HostKey),
    /// The status of an availability zone changed.
    Zone(ZoneKey, ZoneStatus),
}

/// A delegate's report on a zone.
#[derive(Clone, Copy, Debug)]
struct ZoneReport {
    received: Instant,
    heard: Instant,
    lost: bool,
}

/// The membership from the view of one host.
#[derive(Clone, Debug)]
pub struct Membership {
    own: HostKey,
    name: Arc<str>,
    zone: ZoneKey,
    incarnation: u64,
    sequence: u64,
    state: State,
    peers: BTreeMap<HostKey, PeerState>,
    hosts_by_name: BTreeMap<Arc<str>, HostKey>,
    zone_names: BTreeMap<ZoneKey, Arc<str>>,
    zone_reports: BTreeMap<ZoneKey, ZoneReport>,
    rosters: BTreeMap<ZoneKey, Roster>,
    zone_statuses: BTreeMap<ZoneKey, ZoneStatus>,
    last_tick: Instant,
    resumed_at: Instant,
    changes: Vec<Change>,
}

impl Membership {
    /// Creates the membership of a host that starts now and has not heard any other.
    pub fn new(now: Instant, own: HostKey, incarnation: u64, catalog: &Catalog) -> Self {
        let mut membership = Self {
            own,
            name: catalog.host(own).name.clone(),
            zone: catalog.host(own).zone,
            incarnation,
            sequence: 0,
            state: State::Serving,
            peers: BTreeMap::new(),
            hosts_by_name: BTreeMap::new(),
            zone_names: BTreeMap::new(),
            zone_reports: BTreeMap::new(),
            rosters: BTreeMap::new(),
            zone_statuses: BTreeMap::new(),
            last_tick: now,
            resumed_at: now,
            changes: Vec::new(),
        };
        membership.apply_catalog(catalog);
        membership
    }

    /// Applies the hosts of a configuration; removed hosts are forgotten.
    pub fn apply_catalog(&mut self, catalog: &Catalog) {
        let mut peers = BTreeMap::new();
        self.hosts_by_name.clear();
        self.zone_names.clear();
        for (key, host) in catalog.hosts() {
            if catalog.host_state(key) == catalog::State::Off {
                continue;
            }
            self.hosts_by_name.insert(host.name.clone(), key);
            self.zone_names
                .insert(host.zone, catalog.zone(host.zone).name.clone());
            if key != self.own {
                let previous = self.peers.remove(&key);
                let mut peer = previous.unwrap_or_else(|| PeerState::new(host));
                peer.zone = host.zone;
                peers.insert(key, peer);
            }
        }
        self.peers = peers;
        self.zone_reports
            .retain(|zone, _| self.zone_names.contains_key(zone));
        self.rosters
            .retain(|zone, _| self.zone_names.contains_key(zone));
    }

    /// From now on the heartbeats of this host say that it is leaving.
    pub fn leave(&mut self) {
        self.state = State::Leaving;
    }

    /// Records that a host was heard. Old incarnations and old sequence numbers are ignored.
    pub fn record_heard(
        &mut self,
        now: Instant,
        host: HostKey,
        incarnation: u64,
        sequence: u64,
        state: State,
        via: Via,
    ) {
        self.record_heard_with_interval(now, host, incarnation, sequence, state, via, INTERVAL);
    }

    #[allow(clippy::too_many_arguments)]
    fn record_heard_with_interval(
        &mut self,
        now: Instant,
        host: HostKey,
        incarnation: u64,
        sequence: u64,
        state: State,
        via: Via,
        interval: Duration,
    ) {
        self.detect_pause(now);
        let Some(peer) = self.peers.get_mut(&host) else {
            return;
        };
        if incarnation < peer.incarnation {
            return;
        }
        let restarted = incarnation > peer.incarnation;
        if restarted {
            if peer.status != Status::Unknown {
                self.changes.push(Change::Restarted(host));
            }
            peer.incarnation = incarnation;
            peer.sequence = 0;
            peer.state = State::Serving;
            peer.listing = Listing::Live;
            peer.detector = Detector::new(interval);
            peer.last_heard = None;
            peer.is_unheard = false;
        }
        let at = match via {
            Via::Direct if sequence < peer.sequence => return,
            Via::Direct => {
                if sequence > peer.sequence || peer.last_direct.is_none() {
                    peer.detector.record_arrival(now, interval, sequence);
                }
                peer.last_direct = Some(now);
                now
            }
            Via::Relayed(age) => match now.checked_sub(age) {
                Some(at) => at,
                None => return,
            },
        };
        peer.sequence = peer.sequence.max(sequence);
        let was_leaving = peer.is_leaving();
        peer.state = peer.state.max(state);
        if !was_leaving && peer.is_leaving() {
            self.changes.push(Change::Left(host));
        }
        let is_newer = peer.last_heard.is_none_or(|heard| at > heard);
        if is_newer {
            peer.last_heard = Some(at);
            peer.is_confirmed = false;
        }
        let (_, dead) = peer.silence_limits();
        let is_recent = now.saturating_duration_since(at) < dead;
        if !is_newer || !is_recent {
            return;
        }
        match peer.status {
            Status::Alive => {}
            Status::Suspect => peer.status = Status::Alive,
            Status::Unknown | Status::Dead => {
                peer.status = Status::Alive;
                self.changes.push(Change::Joined(host));
            }
        }
    }

    /// Records that a link to a host is open.
    pub fn link_up(&mut self, now: Instant, host: HostKey) {
        self.detect_pause(now);
        if let Some(peer) = self.peers.get_mut(&host) {
            peer.link = Link::Up;
        }
    }

    /// Records that a link to a host is to be opened.
    pub fn link_opening(&mut self, now: Instant, host: HostKey) {
        if let Some(peer) = self.peers.get_mut(&host) {
            if peer.link == Link::Absent {
                peer.link = Link::Opening(now);
            }
        }
    }

    /// Records that the link to a host broke or could not be opened.
    pub fn link_down(&mut self, now: Instant, host: HostKey) {
        self.detect_pause(now);
        if let Some(peer) = self.peers.get_mut(&host) {
            // Another failure to open the link is no news about a host that other hosts hear.
            if !(matches!(peer.link, Link::Down(_)) && peer.is_alive()) {
                peer.link = Link::Down(now);
            }
        }
    }

    /// Records that the link to a host was closed on purpose. From now on the host is known only
    /// through others.
    pub fn link_closed(&mut self, host: HostKey) {
        if let Some(peer) = self.peers.get_mut(&host) {
            peer.link = Link::Absent;
            peer.last_direct = None;
            peer.detector.forget_arrival();
        }
    }

    /// Records how the platform lists a host.
    pub fn set_listing(&mut self, now: Instant, host: HostKey, listing: Listing) {
        self.detect_pause(now);
        let Some(peer) = self.peers.get_mut(&host) else {
            return;
        };
        let was_leaving = peer.is_leaving();
        peer.listing = listing;
        if !was_leaving && peer.is_leaving() {
            self.changes.push(Change::Left(host));
        }
    }

    /// Increases the sequence number for the next regular heartbeat. To be called every
    /// [`INTERVAL`].
    pub fn advance_sequence(&mut self) {
        self.sequence += 1;
    }

    /// Returns the heartbeat to send over a link whose next heartbeat follows after `interval`. An
    /// extra one, sent at once to ask about a suspect, is made without
    /// [`Membership::advance_sequence`].
    pub fn heartbeat(&self, interval: Duration) -> Heartbeat {
        Heartbeat {
            host: self.name.clone(),
            incarnation: self.incarnation,
            sequence: self.sequence,
            state: self.state,
            interval_ms: millis(interval),
            missed: self.missed_hosts(),
            known: Vec::new(),
        }
    }

    /// The live hosts with a link that are not heard directly, whether other hosts hear them or
    /// not.
    fn missed_hosts(&self) -> Vec<Arc<str>> {
        self.peers
            .values()
            .filter(|peer| peer.is_linked() && peer.is_alive())
            .filter(|peer| !self.is_heard_directly_within(peer, peer.detector.suspect_after()))
            .map(|peer| peer.name.clone())
            .collect()
    }

    fn is_heard_directly_within(&self, peer: &PeerState, silence: Duration) -> bool {
        let is_link_intact = !matches!(peer.link, Link::Down(_));
        let silence_since = |at| self.last_tick.saturating_duration_since(at);
        is_link_intact
            && peer
                .last_direct
                .is_some_and(|at| silence_since(at) < silence)
    }

    /// Processes a heartbeat that came over the link from its sender. If it asks about hosts that
    /// are heard here, returns an answer to send back at once.
    pub fn receive(&mut self, now: Instant, heartbeat: &Heartbeat) -> Option<Heartbeat> {
        let &host = self.hosts_by_name.get(&heartbeat.host)?;
        let interval = Duration::from_millis(heartbeat.interval_ms.into());
        self.record_heard_with_interval(
            now,
            host,
            heartbeat.incarnation,
            heartbeat.sequence,
            heartbeat.state,
            Via::Direct,
            interval,
        );
        self.merge_known(now, &heartbeat.known, Duration::ZERO);
        // An answer does not ask about other hosts. Otherwise two hosts that both miss a third
        // would answer each other endlessly.
        if heartbeat.known.is_empty() {
            self.update_unheard(host, heartbeat);
        }
        let known: Vec<KnownHost> = heartbeat
            .missed
            .iter()
            .filter_map(|name| self.hosts_by_name.get(name))
            .filter(|&&asked| self.is_recently_heard(asked))
            .filter_map(|asked| self.peers[asked].to_known(now))
            .collect();
        if known.is_empty() {
            return None;
        }
        Some(Heartbeat {
            known,
            missed: Vec::new(),
            ..self.heartbeat(interval)
        })
    }

    fn update_unheard(&mut self, host: HostKey, heartbeat: &Heartbeat) {
        let own = self.own;
        let is_unheard = heartbeat
            .missed
            .iter()
            .any(|name| self.hosts_by_name.get(name) == Some(&own));
        if let Some(peer) = self.peers.get_mut(&host) {
            peer.is_unheard = is_unheard;
        }
    }

    /// Whether a host was heard over a link so recently that it is worth reporting to others.
    fn is_recently_heard(&self, host: HostKey) -> bool {
        self.peers
            .get(&host)
            .is_some_and(|peer| self.is_heard_directly_within(peer, INTERVAL.mul_f64(1.5)))
    }

    /// Merges what other hosts know, `delay` after they sent it.
    pub fn merge_known(&mut self, now: Instant, known: &[KnownHost], delay: Duration) {
        for known in known {
            let Some(&host) = self.hosts_by_name.get(&known.host) else {
                continue;
            };
            let age = Duration::from_millis(known.age_ms.into()) + delay;
            if known.dead {
                self.apply_reported_death(now, host, known.incarnation, age);
            } else {
                let via = Via::Relayed(age);
                self.record_heard(
                    now,
                    host,
                    known.incarnation,
                    known.sequence,
                    known.state,
                    via,
                );
            }
        }
    }

    /// Merges the roster of another zone, `delay` after it was made.
    pub fn merge_roster(&mut self, now: Instant, roster: Roster, delay: Duration) {
        let found = self
            .zone_names
            .iter()
            .find(|(_, name)| **name == roster.zone);
        let Some((&zone, _)) = found else {
            return;
        };
        self.merge_known(now, &roster.hosts, delay);
        self.rosters.insert(zone, roster);
    }

    /// Processes a delegate's statement that the roster with this digest was valid `age` ago.
    /// Returns false if no roster with this digest is known here, so that it must be requested.
    pub fn confirm_roster(
        &mut self,
        now: Instant,
        zone: ZoneKey,
        digest: u64,
        age: Duration,
    ) -> bool {
        let Some(roster) = self.rosters.remove(&zone) else {
            return false;
        };
        let is_same = roster.digest() == digest;
        if is_same {
            for known in roster.hosts.iter().filter(|known| !known.dead) {
                if let Some(&host) = self.hosts_by_name.get(&known.host) {
                    let (incarnation, state) = (known.incarnation, known.state);
                    let via = Via::Relayed(age);
                    self.record_heard(now, host, incarnation, known.sequence, state, via);
                    self.mark_confirmed(now, host, age);
                }
            }
        }
        self.rosters.insert(zone, roster);
        is_same
    }

    /// Marks a host whose most recent sign of life is the confirmation of its zone's roster.
    fn mark_confirmed(&mut self, now: Instant, host: HostKey, age: Duration) {
        if let Some(peer) = self.peers.get_mut(&host) {
            peer.is_confirmed |= peer.last_heard == now.checked_sub(age);
        }
    }

    /// The last known roster of another zone, with current ages, to be sent to other hosts.
    pub fn cached_roster(&self, now: Instant, zone: ZoneKey) -> Option<Roster> {
        let mut roster = self.rosters.get(&zone)?.clone();
        for known in &mut roster.hosts {
            let peer = self.hosts_by_name.get(&known.host);
            let peer = peer.and_then(|host| self.peers.get(host));
            if let Some(heard) = peer.and_then(|peer| peer.last_heard) {
                known.age_ms = millis(now.saturating_duration_since(heard));
            }
        }
        Some(roster)
    }

    /// Processes a report that a host is dead which others last heard `age` ago. The report is
    /// ignored if the host was heard later than that, or if this host has a link to it.
    fn apply_reported_death(
        &mut self,
        now: Instant,
        host: HostKey,
        incarnation: u64,
        age: Duration,
    ) {
        self.detect_pause(now);
        let Some(peer) = self.peers.get_mut(&host) else {
            return;
        };
        let is_heard_later = match (peer.last_heard, now.checked_sub(age)) {
            // Its zone confirmed it when the silence had already begun, and no longer does.
            _ if peer.is_confirmed => false,
            (Some(heard), Some(reported)) => heard > reported + DEATH_CONFIRMATION,
            (Some(_), None) => true,
            (None, _) => true,
        };
        if is_heard_later || peer.is_linked() || incarnation < peer.incarnation {
            return;
        }
        if peer.status != Status::Dead {
            peer.status = Status::Dead;
            self.changes.push(Change::Died(host));
        }
    }

    /// The known hosts of the own zone, this host included.
    pub fn roster(&self, now: Instant) -> Roster {
        let own = KnownHost {
            host: self.name.clone(),
            incarnation: self.incarnation,
            sequence: self.sequence,
            state: self.state,
            age_ms: 0,
            dead: false,
        };
        let others = self
            .peers
            .values()
            .filter(|peer| peer.zone == self.zone)
            .filter_map(|peer| peer.to_known(now));
        Roster {
            zone: self.zone_names.get(&self.zone).cloned().unwrap_or_default(),
            hosts: std::iter::once(own).chain(others).collect(),
        }
    }

    /// The reports on other zones that a delegate sends to the hosts of its zone.
    pub fn reports(&self, now: Instant) -> Vec<Report> {
        self.zone_names
            .iter()
            .filter(|(&zone, _)| zone != self.zone)
            .filter_map(|(&zone, name)| {
                let heard = self.zone_last_heard(zone)?;
                Some(Report {
                    zone: name.clone(),
                    age_ms: millis(now.saturating_duration_since(heard)),
                    lost: self.zone_status(zone) == ZoneStatus::Lost,
                })
            })
            .collect()
    }

    /// Merges a delegate's reports, `delay` after they were sent.
    pub fn merge_reports(&mut self, now: Instant, reports: &[Report], delay: Duration) {
        self.detect_pause(now);
        for report in reports {
            let found = self
                .zone_names
                .iter()
                .find(|(_, name)| **name == report.zone);
            let Some((&zone, _)) = found else {
                continue;
            };
            let age = Duration::from_millis(report.age_ms.into()) + delay;
            let Some(heard) = now.checked_sub(age) else {
                continue;
            };
            let is_newer = self
                .zone_reports
                .get(&zone)
                .is_none_or(|zone_report| heard >= zone_report.heard);
            if is_newer {
                let zone_report = ZoneReport {
                    received: now,
                    heard,
                    lost: report.lost,
                };
                self.zone_reports.insert(zone, zone_report);
            }
        }
    }

    /// Updates the status of all hosts and zones for the current time, and returns all changes
    /// since the last tick.
    pub fn tick(&mut self, now: Instant) -> Vec<Change> {
        self.detect_pause(now);
        let resumed = self.resumed_at;
        for (&host, peer) in &mut self.peers {
            let status = peer.evaluate(now, resumed);
            if status == peer.status {
                continue;
            }
            peer.status = status;
            match status {
                Status::Suspect => self.changes.push(Change::Suspected(host)),
                Status::Dead => self.changes.push(Change::Died(host)),
                Status::Alive | Status::Unknown => {}
            }
        }
        self.update_zone_statuses(now);
        std::mem::take(&mut self.changes)
    }

    fn detect_pause(&mut self, now: Instant) {
        if now.saturating_duration_since(self.last_tick) >= PAUSE_THRESHOLD {
            self.resumed_at = now;
            for peer in self.peers.values_mut() {
                peer.detector.forget_arrival();
            }
        }
        self.last_tick = self.last_tick.max(now);
    }

    fn update_zone_statuses(&mut self, now: Instant) {
        let silent: BTreeMap<ZoneKey, bool> = self
            .zone_names
            .keys()
            .map(|&zone| (zone, self.is_zone_silent(now, zone)))
            .collect();
        let heard = silent.values().filter(|&&silent| !silent).count();
        let majority = 2 * heard > silent.len();
        for (zone, silent) in silent {
            let status = self.evaluate_zone(now, zone, silent, majority);
            let before = self.zone_statuses.insert(zone, status);
            if before.map(status_kind) != Some(status_kind(status)) {
                self.changes.push(Change::Zone(zone, status));
            }
        }
        self.zone_statuses
            .retain(|zone, _| self.zone_names.contains_key(zone));
    }

    fn evaluate_zone(
        &self,
        now: Instant,
        zone: ZoneKey,
        silent: bool,
        majority: bool,
    ) -> ZoneStatus {
        if !silent {
            return ZoneStatus::Alive;
        }
        let Some(heard) = self.zone_last_heard(zone) else {
            return ZoneStatus::Unknown(None);
        };
        let is_lost = if self.has_zone_link(zone) {
            majority
        } else {
            self.is_reported_lost(now, zone)
        };
        if is_lost {
            return ZoneStatus::Lost;
        }
        ZoneStatus::Unknown(Some(now.saturating_duration_since(heard)))
    }

    /// Whether a delegate recently reported a zone as lost and nothing was heard of the zone since.
    fn is_reported_lost(&self, now: Instant, zone: ZoneKey) -> bool {
        self.zone_reports.get(&zone).is_some_and(|report| {
            let is_recent = now.saturating_duration_since(report.received) < REMOTE_DEAD_SILENCE;
            let is_heard_later =
                self.zone_last_heard(zone) > Some(report.heard + DEATH_CONFIRMATION);
            report.lost && is_recent && !is_heard_later
        })
    }

    fn has_zone_link(&self, zone: ZoneKey) -> bool {
        self.zone_peers(zone)
            .any(|(_, peer)| peer.is_linked() || peer.is_opening())
    }

    fn zone_peers(&self, zone: ZoneKey) -> impl Iterator<Item = (HostKey, &PeerState)> {
        self.peers
            .iter()
            .filter(move |(_, peer)| peer.zone == zone)
            .map(|(&host, peer)| (host, peer))
    }

    /// When any host of a zone was last heard.
    fn zone_last_heard(&self, zone: ZoneKey) -> Option<Instant> {
        let hosts = self
            .zone_peers(zone)
            .filter_map(|(_, r)| r.last_heard)
            .max();
        let report = self.zone_reports.get(&zone).map(|report| report.heard);
        hosts.max(report)
    }

    /// Whether a zone is silent: no linked host of it is heard or, if there is no link, nothing is
    /// heard of it through others.
    fn is_zone_silent(&self, now: Instant, zone: ZoneKey) -> bool {
        if zone == self.zone {
            return false;
        }
        let Some(heard) = self.zone_last_heard(zone) else {
            return true;
        };
        let silence = now.saturating_duration_since(heard.max(self.resumed_at));
        if !self.has_zone_link(zone) {
            return silence >= REMOTE_DEAD_SILENCE || self.is_reported_lost(now, zone);
        }
        let is_dead = self
            .zone_peers(zone)
            .filter(|(_, peer)| peer.is_linked())
            .all(|(_, peer)| matches!(peer.status, Status::Dead | Status::Unknown));
        // Other hosts of the zone may answer once there are links to them.
        let has_untried = self
            .zone_peers(zone)
            .any(|(_, peer)| peer.is_alive() && !peer.is_linked());
        let limit = match has_untried {
            true => ZONE_LOSS_SILENCE + OPENING_ALLOWANCE,
            false => ZONE_LOSS_SILENCE,
        };
        is_dead && silence >= limit
    }

    /// This host's key.
    pub fn own(&self) -> HostKey {
        self.own
    }

    /// The status of a host.
    pub fn status(&self, host: HostKey) -> Status {
        if host == self.own {
            return Status::Alive;
        }
        self.peers
            .get(&host)
            .map_or(Status::Unknown, |peer| peer.status)
    }

    /// Whether a host is alive, even if it takes no new work. A suspect counts as alive until it is
    /// dead.
    pub fn is_alive(&self, host: HostKey) -> bool {
        host == self.own || self.peers.get(&host).is_some_and(PeerState::is_alive)
    }

    /// Whether a host is alive and a link to it works in both directions.
    pub fn is_reachable(&self, host: HostKey) -> bool {
        let Some(peer) = self.peers.get(&host) else {
            return host == self.own;
        };
        let direct = self.is_heard_directly_within(peer, peer.detector.suspect_after());
        peer.link == Link::Up && direct && !peer.is_unheard
    }

    /// The incarnation with which a host was last heard.
    pub fn incarnation(&self, host: HostKey) -> Option<u64> {
        if host == self.own {
            return Some(self.incarnation);
        }
        let peer = self.peers.get(&host)?;
        peer.last_heard.map(|_| peer.incarnation)
    }

    /// The hosts that may receive new work: alive and not leaving.
    pub fn live_hosts(&self) -> BTreeSet<HostKey> {
        let others = self
            .peers
            .iter()
            .filter(|(_, peer)| peer.is_alive() && !peer.is_leaving())
            .map(|(&host, _)| host);
        let own = (self.state == State::Serving).then_some(self.own);
        others.chain(own).collect()
    }

    /// The hosts of a zone that may receive new work.
    pub fn zone_hosts(&self, zone: ZoneKey) -> BTreeSet<HostKey> {
        let others = self
            .zone_peers(zone)
            .filter(|(_, peer)| peer.is_alive() && !peer.is_leaving())
            .map(|(host, _)| host);
        let own = zone == self.zone && self.state == State::Serving;
        others.chain(own.then_some(self.own)).collect()
    }

    /// The status of a zone as of the last tick.
    pub fn zone_status(&self, zone: ZoneKey) -> ZoneStatus {
        if zone == self.zone {
            return ZoneStatus::Alive;
        }
        self.zone_statuses
            .get(&zone)
            .copied()
            .unwrap_or(ZoneStatus::Unknown(None))
    }

    /// When the link to a host broke or could not be opened, if it is not open now.
    pub(crate) fn link_failed(&self, host: HostKey) -> Option<Instant> {
        match self.peers.get(&host)?.link {
            Link::Down(at) => Some(at),
            Link::Up | Link::Opening(_) | Link::Absent => None,
        }
    }
}

/// The kind of a zone status, without its age.
fn status_kind(status: ZoneStatus) -> u8 {
    match status {
        ZoneStatus::Alive => 0,
        ZoneStatus::Lost => 1,
        ZoneStatus::Unknown(_) => 2,
    }
}
