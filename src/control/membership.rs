//! Which entry hosts are alive, by incarnation.
//!
//! A host is heard directly, by its heartbeats over a link, or through others, with an age. One
//! that falls silent is suspected; those who still hear it are asked, and only when nobody does
//! is it dead. The platform's list is a hint: it never kills a host that is heard. A restarted
//! host has a higher incarnation, and what an older one said is ignored.
//!
//! A pause of the observer itself shows as a gap between ticks. After it every silence is counted
//! anew, so that nobody is declared dead for what the observer slept through.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

use super::beat::millis;
use super::detector::{Detector, INTERVAL};
use super::member::{Link, Record, REMOTE_DEAD};
use crate::catalog::{self, Catalog, HostKey, ZoneKey};

pub use super::beat::{Beat, Known, Report, Roster, State};
pub use super::member::{Listing, Status, CONFIRM};

/// Least silence of a whole zone before it counts as lost.
const ZONE_SILENCE: Duration = Duration::from_secs(2);
/// Additional silence while links to other hosts of the zone are still to be opened.
const TRY: Duration = Duration::from_secs(2);
/// A gap between ticks that means that this process was paused.
pub const PAUSE: Duration = Duration::from_millis(700);

/// How a host was heard.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Via {
    /// Over a link to it.
    Direct,
    /// Through another host that had heard it this long ago.
    Relayed(Duration),
}

/// What is believed of an availability zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sight {
    /// Some host of it was heard lately.
    Alive,
    /// All of it is silent while most other zones are heard.
    Lost,
    /// Not heard, for this long if ever; but it may be this zone that is cut off.
    Unknown(Option<Duration>),
}

/// What changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// A host is heard for the first time, or again after it was dead.
    Joined(HostKey),
    /// A host is heard with a higher incarnation.
    Restarted(HostKey),
    /// A host takes no new work any more.
    Left(HostKey),
    /// A host is silent: send a [`Beat`] at once to ask who hears it.
    Suspected(HostKey),
    /// A host is dead.
    Died(HostKey),
    /// An availability zone is seen otherwise than before.
    Zone(ZoneKey, Sight),
}

/// A delegate's word on a zone.
#[derive(Clone, Copy, Debug)]
struct Word {
    received: Instant,
    heard: Instant,
    lost: bool,
}

/// The membership as one host sees it.
#[derive(Clone, Debug)]
pub struct Membership {
    own: HostKey,
    name: Arc<str>,
    zone: ZoneKey,
    incarnation: u64,
    sequence: u64,
    state: State,
    records: BTreeMap<HostKey, Record>,
    names: BTreeMap<Arc<str>, HostKey>,
    zones: BTreeMap<ZoneKey, Arc<str>>,
    words: BTreeMap<ZoneKey, Word>,
    rosters: BTreeMap<ZoneKey, Roster>,
    sights: BTreeMap<ZoneKey, Sight>,
    ticked: Instant,
    resumed: Instant,
    changes: Vec<Change>,
}

impl Membership {
    /// The membership of a host that starts now and has heard nobody.
    pub fn new(now: Instant, own: HostKey, incarnation: u64, catalog: &Catalog) -> Self {
        let mut membership = Self {
            own,
            name: catalog.host(own).name.clone(),
            zone: catalog.host(own).zone,
            incarnation,
            sequence: 0,
            state: State::Serving,
            records: BTreeMap::new(),
            names: BTreeMap::new(),
            zones: BTreeMap::new(),
            words: BTreeMap::new(),
            rosters: BTreeMap::new(),
            sights: BTreeMap::new(),
            ticked: now,
            resumed: now,
            changes: Vec::new(),
        };
        membership.configured(catalog);
        membership
    }

    /// Takes in the hosts of a revision; those it removed are forgotten.
    pub fn configured(&mut self, catalog: &Catalog) {
        let mut records = BTreeMap::new();
        self.names.clear();
        self.zones.clear();
        for (key, host) in catalog.hosts() {
            if catalog.host_state(key) == catalog::State::Off {
                continue;
            }
            self.names.insert(host.name.clone(), key);
            self.zones
                .insert(host.zone, catalog.zone(host.zone).name.clone());
            if key != self.own {
                let old = self.records.remove(&key);
                let mut record = old.unwrap_or_else(|| Record::new(host));
                record.zone = host.zone;
                records.insert(key, record);
            }
        }
        self.records = records;
        self.words.retain(|zone, _| self.zones.contains_key(zone));
        self.rosters.retain(|zone, _| self.zones.contains_key(zone));
    }

    /// From now on this host tells the others that it is leaving.
    pub fn leave(&mut self) {
        self.state = State::Leaving;
    }

    /// A host was heard. Old incarnations and old sequences count for nothing.
    pub fn heard(
        &mut self,
        now: Instant,
        host: HostKey,
        incarnation: u64,
        sequence: u64,
        state: State,
        via: Via,
    ) {
        self.heard_every(now, host, incarnation, sequence, state, via, INTERVAL);
    }

    #[allow(clippy::too_many_arguments)]
    fn heard_every(
        &mut self,
        now: Instant,
        host: HostKey,
        incarnation: u64,
        sequence: u64,
        state: State,
        via: Via,
        interval: Duration,
    ) {
        self.notice_pause(now);
        let Some(record) = self.records.get_mut(&host) else {
            return;
        };
        if incarnation < record.incarnation {
            return;
        }
        let restarted = incarnation > record.incarnation;
        if restarted {
            if record.status != Status::Unknown {
                self.changes.push(Change::Restarted(host));
            }
            record.incarnation = incarnation;
            record.sequence = 0;
            record.state = State::Serving;
            record.listing = Listing::Live;
            record.detector = Detector::new(interval);
            record.heard = None;
            record.unheard = false;
        }
        let at = match via {
            Via::Direct if sequence < record.sequence => return,
            Via::Direct => {
                if sequence > record.sequence || record.direct.is_none() {
                    record.detector.arrive(now, interval, sequence);
                }
                record.direct = Some(now);
                now
            }
            Via::Relayed(age) => match now.checked_sub(age) {
                Some(at) => at,
                None => return,
            },
        };
        record.sequence = record.sequence.max(sequence);
        let left = record.leaving();
        record.state = record.state.max(state);
        if !left && record.leaving() {
            self.changes.push(Change::Left(host));
        }
        let fresh = record.heard.is_none_or(|heard| at > heard);
        if fresh {
            record.heard = Some(at);
            record.vouched = false;
        }
        let (_, dead) = record.limits();
        let lately = now.saturating_duration_since(at) < dead;
        if !fresh || !lately {
            return;
        }
        match record.status {
            Status::Alive => {}
            Status::Suspect => record.status = Status::Alive,
            Status::Unknown | Status::Dead => {
                record.status = Status::Alive;
                self.changes.push(Change::Joined(host));
            }
        }
    }

    /// A link to a host is open.
    pub fn link_up(&mut self, now: Instant, host: HostKey) {
        self.notice_pause(now);
        if let Some(record) = self.records.get_mut(&host) {
            record.link = Link::Up;
        }
    }

    /// From now on a link to a host is to be opened.
    pub fn linking(&mut self, now: Instant, host: HostKey) {
        if let Some(record) = self.records.get_mut(&host) {
            if record.link == Link::Absent {
                record.link = Link::Opening(now);
            }
        }
    }

    /// The link to a host broke or could not be opened.
    pub fn link_down(&mut self, now: Instant, host: HostKey) {
        self.notice_pause(now);
        if let Some(record) = self.records.get_mut(&host) {
            // Another failure to open it says nothing new of a host that others hear.
            if !(matches!(record.link, Link::Down(_)) && record.alive()) {
                record.link = Link::Down(now);
            }
        }
    }

    /// The link to a host was closed on purpose; from now on it is known through others.
    pub fn unlinked(&mut self, host: HostKey) {
        if let Some(record) = self.records.get_mut(&host) {
            record.link = Link::Absent;
            record.direct = None;
            record.detector.resume();
        }
    }

    /// What the platform lists of a host.
    pub fn listed(&mut self, now: Instant, host: HostKey, listing: Listing) {
        self.notice_pause(now);
        let Some(record) = self.records.get_mut(&host) else {
            return;
        };
        let left = record.leaving();
        record.listing = listing;
        if !left && record.leaving() {
            self.changes.push(Change::Left(host));
        }
    }

    /// Begins the next heartbeat; to be called every [`INTERVAL`].
    pub fn advance(&mut self) {
        self.sequence += 1;
    }

    /// The heartbeat to send over a link whose next one follows after `interval`. One sent out of
    /// turn, to ask for a suspect at once, is made without [`Membership::advance`].
    pub fn beat(&self, interval: Duration) -> Beat {
        Beat {
            host: self.name.clone(),
            incarnation: self.incarnation,
            sequence: self.sequence,
            state: self.state,
            interval_ms: millis(interval),
            missed: self.missed(),
            known: Vec::new(),
        }
    }

    /// The hosts that ought to be heard over their links and are not, whether others hear them
    /// or not.
    fn missed(&self) -> Vec<Arc<str>> {
        self.records
            .values()
            .filter(|record| record.linked() && record.alive())
            .filter(|record| !self.direct_within(record, record.detector.suspect()))
            .map(|record| record.name.clone())
            .collect()
    }

    fn direct_within(&self, record: &Record, silence: Duration) -> bool {
        let whole = !matches!(record.link, Link::Down(_));
        let silent = |at| self.ticked.saturating_duration_since(at);
        whole && record.direct.is_some_and(|at| silent(at) < silence)
    }

    /// Takes in a heartbeat that came over the link from its sender. If it asks for hosts that
    /// are heard here, an answer is returned to be sent back at once.
    pub fn receive(&mut self, now: Instant, beat: &Beat) -> Option<Beat> {
        let &host = self.names.get(&beat.host)?;
        let interval = Duration::from_millis(beat.interval_ms.into());
        self.heard_every(
            now,
            host,
            beat.incarnation,
            beat.sequence,
            beat.state,
            Via::Direct,
            interval,
        );
        self.know(now, &beat.known, Duration::ZERO);
        // An answer asks for nobody, so that two who each miss a host do not answer for ever.
        if beat.known.is_empty() {
            self.note_unheard(host, beat);
        }
        let known: Vec<Known> = beat
            .missed
            .iter()
            .filter_map(|name| self.names.get(name))
            .filter(|&&asked| self.hears(asked))
            .filter_map(|asked| self.records[asked].known(now))
            .collect();
        if known.is_empty() {
            return None;
        }
        Some(Beat {
            known,
            missed: Vec::new(),
            ..self.beat(interval)
        })
    }

    fn note_unheard(&mut self, host: HostKey, beat: &Beat) {
        let own = self.own;
        let unheard = beat
            .missed
            .iter()
            .any(|name| self.names.get(name) == Some(&own));
        if let Some(record) = self.records.get_mut(&host) {
            record.unheard = unheard;
        }
    }

    /// Whether a host was heard over a link so lately that it is worth telling others.
    fn hears(&self, host: HostKey) -> bool {
        self.records
            .get(&host)
            .is_some_and(|record| self.direct_within(record, INTERVAL.mul_f64(1.5)))
    }

    /// Takes in what others know of hosts, `delay` after they said it.
    pub fn know(&mut self, now: Instant, known: &[Known], delay: Duration) {
        for known in known {
            let Some(&host) = self.names.get(&known.host) else {
                continue;
            };
            let age = Duration::from_millis(known.age_ms.into()) + delay;
            if known.dead {
                self.told_dead(now, host, known.incarnation, age);
            } else {
                let via = Via::Relayed(age);
                self.heard(
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

    /// Takes in the roster of another zone, `delay` after it was made.
    pub fn enroll(&mut self, now: Instant, roster: Roster, delay: Duration) {
        let found = self.zones.iter().find(|(_, name)| **name == roster.zone);
        let Some((&zone, _)) = found else {
            return;
        };
        self.know(now, &roster.hosts, delay);
        self.rosters.insert(zone, roster);
    }

    /// A delegate of a zone says that the roster with this digest held `age` ago. Returns false if
    /// another one is known here, so that the roster must be asked for.
    pub fn vouch(&mut self, now: Instant, zone: ZoneKey, digest: u64, age: Duration) -> bool {
        let Some(roster) = self.rosters.remove(&zone) else {
            return false;
        };
        let same = roster.digest() == digest;
        if same {
            for known in roster.hosts.iter().filter(|known| !known.dead) {
                if let Some(&host) = self.names.get(&known.host) {
                    let (incarnation, state) = (known.incarnation, known.state);
                    let via = Via::Relayed(age);
                    self.heard(now, host, incarnation, known.sequence, state, via);
                    self.note_vouched(now, host, age);
                }
            }
        }
        self.rosters.insert(zone, roster);
        same
    }

    /// Notes that a host was last heard only in that its zone vouched for it.
    fn note_vouched(&mut self, now: Instant, host: HostKey, age: Duration) {
        if let Some(record) = self.records.get_mut(&host) {
            record.vouched |= record.heard == now.checked_sub(age);
        }
    }

    /// The last roster of another zone, with the times at which its hosts were heard brought up to
    /// date, to be passed on.
    pub fn kept(&self, now: Instant, zone: ZoneKey) -> Option<Roster> {
        let mut roster = self.rosters.get(&zone)?.clone();
        for known in &mut roster.hosts {
            let record = self.names.get(&known.host);
            let record = record.and_then(|host| self.records.get(host));
            if let Some(heard) = record.and_then(|record| record.heard) {
                known.age_ms = millis(now.saturating_duration_since(heard));
            }
        }
        Some(roster)
    }

    /// Others hold a host to be dead that they last heard `age` ago. It counts unless the host
    /// was heard later than that, or is watched from here.
    fn told_dead(&mut self, now: Instant, host: HostKey, incarnation: u64, age: Duration) {
        self.notice_pause(now);
        let Some(record) = self.records.get_mut(&host) else {
            return;
        };
        let later = match (record.heard, now.checked_sub(age)) {
            // Its zone vouched for it while the silence had begun, and does not any more.
            _ if record.vouched => false,
            (Some(heard), Some(theirs)) => heard > theirs + CONFIRM,
            (Some(_), None) => true,
            (None, _) => true,
        };
        if later || record.linked() || incarnation < record.incarnation {
            return;
        }
        if record.status != Status::Dead {
            record.status = Status::Dead;
            self.changes.push(Change::Died(host));
        }
    }

    /// What this host knows of the hosts of its zone, itself included.
    pub fn roster(&self, now: Instant) -> Roster {
        let own = Known {
            host: self.name.clone(),
            incarnation: self.incarnation,
            sequence: self.sequence,
            state: self.state,
            age_ms: 0,
            dead: false,
        };
        let others = self
            .records
            .values()
            .filter(|record| record.zone == self.zone)
            .filter_map(|record| record.known(now));
        Roster {
            zone: self.zones.get(&self.zone).cloned().unwrap_or_default(),
            hosts: std::iter::once(own).chain(others).collect(),
        }
    }

    /// What a delegate tells the hosts of its zone about the others.
    pub fn reports(&self, now: Instant) -> Vec<Report> {
        self.zones
            .iter()
            .filter(|(&zone, _)| zone != self.zone)
            .filter_map(|(&zone, name)| {
                let heard = self.zone_heard(zone)?;
                Some(Report {
                    zone: name.clone(),
                    age_ms: millis(now.saturating_duration_since(heard)),
                    lost: self.zone(zone) == Sight::Lost,
                })
            })
            .collect()
    }

    /// Takes in a delegate's reports, `delay` after they were sent.
    pub fn report(&mut self, now: Instant, reports: &[Report], delay: Duration) {
        self.notice_pause(now);
        for report in reports {
            let found = self.zones.iter().find(|(_, name)| **name == report.zone);
            let Some((&zone, _)) = found else {
                continue;
            };
            let age = Duration::from_millis(report.age_ms.into()) + delay;
            let Some(heard) = now.checked_sub(age) else {
                continue;
            };
            let newer = self.words.get(&zone).is_none_or(|word| heard >= word.heard);
            if newer {
                let word = Word {
                    received: now,
                    heard,
                    lost: report.lost,
                };
                self.words.insert(zone, word);
            }
        }
    }

    /// Lets time pass: finds who fell silent, and returns all changes since the last tick.
    pub fn tick(&mut self, now: Instant) -> Vec<Change> {
        self.notice_pause(now);
        let resumed = self.resumed;
        for (&host, record) in &mut self.records {
            let status = record.judge(now, resumed);
            if status == record.status {
                continue;
            }
            record.status = status;
            match status {
                Status::Suspect => self.changes.push(Change::Suspected(host)),
                Status::Dead => self.changes.push(Change::Died(host)),
                Status::Alive | Status::Unknown => {}
            }
        }
        self.see_zones(now);
        std::mem::take(&mut self.changes)
    }

    fn notice_pause(&mut self, now: Instant) {
        if now.saturating_duration_since(self.ticked) >= PAUSE {
            self.resumed = now;
            for record in self.records.values_mut() {
                record.detector.resume();
            }
        }
        self.ticked = self.ticked.max(now);
    }

    fn see_zones(&mut self, now: Instant) {
        let silent: BTreeMap<ZoneKey, bool> = self
            .zones
            .keys()
            .map(|&zone| (zone, self.zone_silent(now, zone)))
            .collect();
        let heard = silent.values().filter(|&&silent| !silent).count();
        let majority = 2 * heard > silent.len();
        for (zone, silent) in silent {
            let sight = self.sight(now, zone, silent, majority);
            let before = self.sights.insert(zone, sight);
            if before.map(kind) != Some(kind(sight)) {
                self.changes.push(Change::Zone(zone, sight));
            }
        }
        self.sights.retain(|zone, _| self.zones.contains_key(zone));
    }

    fn sight(&self, now: Instant, zone: ZoneKey, silent: bool, majority: bool) -> Sight {
        if !silent {
            return Sight::Alive;
        }
        let Some(heard) = self.zone_heard(zone) else {
            return Sight::Unknown(None);
        };
        let lost = if self.zone_linked(zone) {
            majority
        } else {
            self.told_lost(now, zone)
        };
        if lost {
            return Sight::Lost;
        }
        Sight::Unknown(Some(now.saturating_duration_since(heard)))
    }

    /// Whether a delegate said lately that a zone is lost, and nothing was heard of it since.
    fn told_lost(&self, now: Instant, zone: ZoneKey) -> bool {
        self.words.get(&zone).is_some_and(|word| {
            let lately = now.saturating_duration_since(word.received) < REMOTE_DEAD;
            let later = self.zone_heard(zone) > Some(word.heard + CONFIRM);
            word.lost && lately && !later
        })
    }

    fn zone_linked(&self, zone: ZoneKey) -> bool {
        self.zone_records(zone)
            .any(|(_, record)| record.linked() || record.opening())
    }

    fn zone_records(&self, zone: ZoneKey) -> impl Iterator<Item = (HostKey, &Record)> {
        self.records
            .iter()
            .filter(move |(_, record)| record.zone == zone)
            .map(|(&host, record)| (host, record))
    }

    /// When any host of a zone was last heard.
    fn zone_heard(&self, zone: ZoneKey) -> Option<Instant> {
        let hosts = self.zone_records(zone).filter_map(|(_, r)| r.heard).max();
        let word = self.words.get(&zone).map(|word| word.heard);
        hosts.max(word)
    }

    /// Whether nothing is heard of a zone: not from any host linked with this one, or, if there
    /// is no link, not through others either.
    fn zone_silent(&self, now: Instant, zone: ZoneKey) -> bool {
        if zone == self.zone {
            return false;
        }
        let Some(heard) = self.zone_heard(zone) else {
            return true;
        };
        let silence = now.saturating_duration_since(heard.max(self.resumed));
        if !self.zone_linked(zone) {
            return silence >= REMOTE_DEAD || self.told_lost(now, zone);
        }
        let dead = self
            .zone_records(zone)
            .filter(|(_, record)| record.linked())
            .all(|(_, record)| matches!(record.status, Status::Dead | Status::Unknown));
        // Others of the zone may answer once there are links to them.
        let untried = self
            .zone_records(zone)
            .any(|(_, record)| record.alive() && !record.linked());
        let limit = match untried {
            true => ZONE_SILENCE + TRY,
            false => ZONE_SILENCE,
        };
        dead && silence >= limit
    }

    /// This host.
    pub fn own(&self) -> HostKey {
        self.own
    }

    /// What is believed of a host.
    pub fn status(&self, host: HostKey) -> Status {
        if host == self.own {
            return Status::Alive;
        }
        self.records
            .get(&host)
            .map_or(Status::Unknown, |record| record.status)
    }

    /// Whether a host is alive, taking new work or not. A suspect is alive until it is dead.
    pub fn alive(&self, host: HostKey) -> bool {
        host == self.own || self.records.get(&host).is_some_and(Record::alive)
    }

    /// Whether a host is alive and can be spoken with both ways over a link.
    pub fn reachable(&self, host: HostKey) -> bool {
        let Some(record) = self.records.get(&host) else {
            return host == self.own;
        };
        let direct = self.direct_within(record, record.detector.suspect());
        record.link == Link::Up && direct && !record.unheard
    }

    /// The incarnation a host was last heard with.
    pub fn incarnation(&self, host: HostKey) -> Option<u64> {
        if host == self.own {
            return Some(self.incarnation);
        }
        let record = self.records.get(&host)?;
        record.heard.map(|_| record.incarnation)
    }

    /// The hosts to which new work may be sent: alive and not leaving.
    pub fn live_hosts(&self) -> BTreeSet<HostKey> {
        let others = self
            .records
            .iter()
            .filter(|(_, record)| record.alive() && !record.leaving())
            .map(|(&host, _)| host);
        let own = (self.state == State::Serving).then_some(self.own);
        others.chain(own).collect()
    }

    /// The hosts of a zone to which new work may be sent.
    pub fn zone_hosts(&self, zone: ZoneKey) -> BTreeSet<HostKey> {
        let others = self
            .zone_records(zone)
            .filter(|(_, record)| record.alive() && !record.leaving())
            .map(|(host, _)| host);
        let own = zone == self.zone && self.state == State::Serving;
        others.chain(own.then_some(self.own)).collect()
    }

    /// What is believed of a zone, as of the last tick.
    pub fn zone(&self, zone: ZoneKey) -> Sight {
        if zone == self.zone {
            return Sight::Alive;
        }
        self.sights
            .get(&zone)
            .copied()
            .unwrap_or(Sight::Unknown(None))
    }

    /// Whether a link to a host was tried and is not open.
    pub(crate) fn link_failed(&self, host: HostKey) -> Option<Instant> {
        match self.records.get(&host)?.link {
            Link::Down(at) => Some(at),
            Link::Up | Link::Opening(_) | Link::Absent => None,
        }
    }
}

/// A sight without its age.
fn kind(sight: Sight) -> u8 {
    match sight {
        Sight::Alive => 0,
        Sight::Lost => 1,
        Sight::Unknown(_) => 2,
    }
}
