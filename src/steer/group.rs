//! The targets of one service in one availability zone, as one host sees them.
//!
//! The aggregate decides which request goes to which target, waits or is refused. Other hosts of
//! the zone use the same targets; a host knows only its own requests and what answers report, so
//! every rule here holds for its own share and stays true when it is added up over the hosts.
//!
//! A request is over in one of three ways: it is admitted ([`Grant`]), refused ([`Refusal`]) or
//! cancelled by its owner. Whoever holds a grant must hand it back with [`Group::finish`].

mod member;
mod request;

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use rand::{Rng, RngExt};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::eject::{Comparison, Outcome, MAX_LATENCY_RATIO};
use super::pick::Picker;
use super::queue::{Entry, Queue};
use super::throttle::Bucket;
use crate::border::settings::Steer;
use crate::catalog::{self, Catalog, ServiceKey, TargetKey, ZoneKey};

use member::{allowed, fraction, Member, Seat, Share};

pub use super::limit::Load;
pub use super::queue::{Id, Order};
pub use crate::border::settings::{Pick, Switch};
pub use request::{
    Ask, End, Grant, Headroom, Health, Reason, Refusal, Report, Source, State, Verdict,
};

/// Requests that may wait, when nothing else is set.
const QUEUE: usize = 1024;
/// Latency to reckon with before the first answer, in seconds.
const UNKNOWN_LATENCY: f64 = 0.005;
/// Weight of one answer in the group's mean time to hold a target.
const HOLD_WEIGHT: f64 = 0.02;
/// The least advice to a refused caller on when to come back.
const RETRY_AFTER: Duration = Duration::from_millis(250);
/// How long the figures of the whole group may be old.
const TALLY_AGE: Duration = Duration::from_millis(2);
/// Time for which a draining header holds against other sources.
const DRAIN_HOLD: Duration = Duration::from_secs(10);
/// Factor on the cost of the target that holds the content; a target with one request more in
/// flight costs as much again.
const NEAR: f64 = 0.6;
/// Time over which a lasting rise of the latency is taken for the latency without queueing.
const BASELINE_AGE: Duration = Duration::from_secs(60);
/// The part of the slots that may be ejected.
const EJECT_SHARE: f64 = 0.5;
/// A probe is a request that has time for the wait and as many latencies again.
const PROBE_SLACK: f64 = 4.0;
/// Waiting requests that are looked at for a target that came free.
const TRIES: usize = 8;
/// Time after which a queue that never emptied shows overload rather than a spike, in mean times
/// to hold a target.
const SPIKE: f64 = 1.0;
/// The wait allowed under overload, in mean times to hold a target.
const PATIENCE: f64 = 0.5;

/// How a group decides.
#[derive(Clone, Debug)]
pub struct Config {
    /// The choice among usable targets.
    pub pick: Pick,
    /// Adaptive concurrency; off leaves only the share of the connections.
    pub limit: Switch,
    /// Outlier ejection and rests after failures.
    pub eject: Switch,
    /// Slow start.
    pub warm: Switch,
    /// Preference for the target that served the same content before.
    pub affinity: Switch,
    /// Which waiting request goes first.
    pub order: Order,
    /// Requests that may wait.
    pub queue: usize,
}

impl Default for Config {
    fn default() -> Self {
        Self::new(&Steer::default())
    }
}

impl Config {
    /// From a host's settings.
    pub fn new(steer: &Steer) -> Self {
        Self {
            pick: steer.pick,
            limit: Switch::On,
            eject: Switch::On,
            warm: steer.warm,
            affinity: steer.affinity,
            order: Order::Fifo,
            queue: QUEUE,
        }
    }

    /// With nothing but the choice of a target, as a baseline for measurements.
    pub fn with_pick_alone(pick: Pick) -> Self {
        Self {
            pick,
            limit: Switch::Off,
            eject: Switch::Off,
            warm: Switch::Off,
            affinity: Switch::Off,
            ..Self::default()
        }
    }
}

/// Figures of the whole group, kept for a short time.
#[derive(Clone, Copy, Debug)]
struct Tally {
    at: Option<Instant>,
    slots: u32,
    ejected: u32,
    cold: f64,
    limit: f64,
    median: f64,
    others: f64,
    success: f64,
    probes: bool,
    /// When a rest or an ejection ends next.
    change: Option<Instant>,
}

impl Default for Tally {
    fn default() -> Self {
        Self {
            at: None,
            slots: 0,
            ejected: 0,
            cold: 0.0,
            limit: 0.0,
            median: UNKNOWN_LATENCY,
            others: 0.0,
            success: 1.0,
            probes: false,
            change: None,
        }
    }
}

/// The targets of one service in one availability zone.
#[derive(Clone, Debug)]
pub struct Group {
    config: Config,
    members: Vec<Member>,
    seats: Vec<Seat>,
    index: BTreeMap<TargetKey, usize>,
    picker: Picker,
    queue: Queue<Ask>,
    shed: Vec<(Id, Refusal)>,
    tally: Tally,
    in_flight: u32,
    hold: f64,
    baseline: f64,
    known: bool,
}

impl Group {
    /// A group without targets.
    pub fn new(config: Config) -> Self {
        Self {
            members: Vec::new(),
            seats: Vec::new(),
            index: BTreeMap::new(),
            picker: Picker::new(config.pick),
            queue: Queue::new(config.order, config.queue),
            shed: Vec::new(),
            tally: Tally::default(),
            in_flight: 0,
            hold: UNKNOWN_LATENCY,
            baseline: f64::INFINITY,
            known: false,
            config,
        }
    }

    /// Takes the targets of `service` in `zone` from a revision, to be shared by `hosts` hosts
    /// configured there. What is known of targets that stay is kept.
    pub fn update(
        &mut self,
        now: Instant,
        catalog: &Catalog,
        service: ServiceKey,
        zone: ZoneKey,
        hosts: usize,
    ) {
        let listed: BTreeSet<TargetKey> = catalog
            .site(service, zone)
            .map(|site| site.targets.iter().copied().collect())
            .unwrap_or_default();
        for member in &mut self.members {
            if !listed.contains(&member.key) {
                member.configured = catalog::State::Off;
            }
        }
        self.members
            .retain(|member| member.in_flight > 0 || listed.contains(&member.key));
        self.lay_index();
        for &key in &listed {
            self.update_member(now, catalog, key, hosts);
        }
        self.known = true;
        self.refresh(now);
    }

    fn lay_index(&mut self) {
        self.index = self
            .members
            .iter()
            .enumerate()
            .map(|(place, member)| (member.key, place))
            .collect();
    }

    fn update_member(&mut self, now: Instant, catalog: &Catalog, key: TargetKey, hosts: usize) {
        let target = catalog.target(key);
        let state = catalog.target_state(key);
        let place = match self.index.get(&key) {
            Some(&place) => place,
            None => {
                let mut member = Member::new(key, target, hosts);
                if self.known {
                    member.warm.restart(now);
                }
                self.members.push(member);
                self.index.insert(key, self.members.len() - 1);
                self.members.len() - 1
            }
        };
        let member = &mut self.members[place];
        let was = member.is_serving();
        member.configured = state;
        member.slots = target.slots;
        member.limit = member
            .limit
            .with_size(target.slots, target.connections, hosts);
        member.warm = member.warm.with_ramp(target.warm);
        if !was && member.is_serving() {
            member.warm.restart(now);
        }
    }

    /// Takes in what `source` says of a target. One that says draining is enough to stop new work.
    pub fn set_state(&mut self, now: Instant, target: TargetKey, source: Source, state: State) {
        let Some(&place) = self.index.get(&target) else {
            return;
        };
        let member = &mut self.members[place];
        let was = member.is_serving();
        if state == State::Draining {
            member.leaving.insert(source, now);
        } else {
            member.leaving.remove(&source);
            if source == Source::Health {
                let held = |at: &Instant| now < *at + DRAIN_HOLD;
                member
                    .leaving
                    .retain(|&source, at| source != Source::Header || held(at));
            }
        }
        let fresh = state == State::Cold && member.word != State::Cold;
        if source == Source::Header {
            member.word = state;
        }
        let back = !was && member.is_serving();
        let cools = back || (fresh && source == Source::Header);
        if cools {
            member.warm.restart(now);
        }
        if cools || was != member.is_serving() {
            self.refresh(now);
        }
    }

    /// Takes in what a target's health endpoint says. It may lag or mislead, so it only makes
    /// ejection quicker.
    pub fn health(&mut self, target: TargetKey, health: Health) {
        if let Some(&place) = self.index.get(&target) {
            self.members[place].health = health;
        }
    }

    /// Decides on a request.
    pub fn admit(&mut self, now: Instant, ask: Ask, rng: &mut impl Rng) -> Verdict {
        self.refresh_if_old(now);
        if let Some(reason) = self.hopeless(now, &ask) {
            return Verdict::Refuse(self.refusal(reason));
        }
        if let Some(place) = self.place(now, &ask, rng) {
            return Verdict::Go(self.grant(now, place));
        }
        if let Some(wait) = self.opens_in(now, &ask) {
            return Verdict::Refuse(Refusal {
                reason: Reason::Overload,
                retry_after: wait.max(RETRY_AFTER),
            });
        }
        self.wait(now, ask)
    }

    /// The time until a target may take a request, if all that are left for it name rates and have given out what they take. Others
    /// come free with each answer; these don't, and a request that waits for one of them holds up those behind it.
    fn opens_in(&self, now: Instant, ask: &Ask) -> Option<Duration> {
        let mut first = None;
        for member in used(&self.members).filter(|member| !member.has_tried(ask)) {
            let wait = member.opens_in(now);
            if wait.is_zero() {
                return None;
            }
            first = first.into_iter().chain([wait]).min();
        }
        first
    }

    /// Sets the requests a second that this host may send to a target, of the rate that the target names; none if it names none.
    pub fn set_share(&mut self, now: Instant, target: TargetKey, rate: Option<f64>) {
        let Some(&place) = self.index.get(&target) else {
            return;
        };
        let share = &mut self.members[place].share;
        *share = rate.map(|rate| Share {
            rate,
            bucket: share.map_or(Bucket::new(now), |share| share.bucket),
        });
    }

    /// Whether no target could take the request, however long it waited.
    fn hopeless(&self, now: Instant, ask: &Ask) -> Option<Reason> {
        if ask.deadline <= now {
            return Some(Reason::Deadline);
        }
        let mut serving = self
            .members
            .iter()
            .filter(|member| member.is_serving() && member.limit.connection_share() > 0)
            .peekable();
        if serving.peek().is_none() {
            return Some(Reason::NoTarget);
        }
        if !ask.exclude.is_empty() && serving.all(|member| member.has_tried(ask)) {
            return Some(Reason::Tried);
        }
        None
    }

    fn wait(&mut self, now: Instant, ask: Ask) -> Verdict {
        let start_by = ask
            .deadline
            .checked_sub(Duration::from_secs_f64(self.hold))
            .unwrap_or(now);
        let expected = self.expected(self.queue.count_ahead(ask.priority) + 1);
        if now + expected > start_by {
            return Verdict::Refuse(self.refusal(Reason::Deadline));
        }
        if self.is_overloaded(now) && expected.as_secs_f64() > self.hold * PATIENCE {
            return Verdict::Refuse(self.refusal(Reason::Overload));
        }
        let id = ask.id;
        let entry = Entry {
            id,
            priority: ask.priority,
            start_by,
            enqueued_at: now,
            item: ask,
        };
        let Some(out) = self.queue.push(entry) else {
            return Verdict::Wait;
        };
        let refusal = self.refusal(Reason::Full);
        if out.id == id {
            return Verdict::Refuse(refusal);
        }
        self.shed.push((out.id, refusal));
        Verdict::Wait
    }

    /// The time in which so many waiting requests start, at the measured rate.
    fn expected(&self, count: usize) -> Duration {
        let rate = self.tally.limit.max(1.0) / self.hold;
        Duration::from_secs_f64(count as f64 / rate)
    }

    fn is_overloaded(&self, now: Instant) -> bool {
        self.queue.nonempty_since().is_some_and(|since| {
            now.saturating_duration_since(since).as_secs_f64() > self.hold * SPIKE
        })
    }

    fn refusal(&self, reason: Reason) -> Refusal {
        Refusal {
            reason,
            retry_after: self.expected(self.queue.len()).max(RETRY_AFTER),
        }
    }

    /// Chooses a target for a request, if one is free.
    fn place(&mut self, now: Instant, ask: &Ask, rng: &mut impl Rng) -> Option<usize> {
        if self.config.limit == Switch::On && f64::from(self.in_flight) >= self.tally.limit.ceil() {
            return None;
        }
        if let Some(place) = self.probe(now, ask) {
            return Some(place);
        }
        let place = self.choose(now, ask, rng, true)?;
        let part = self.seats[place].fraction;
        if part < 1.0 && rng.random::<f64>() >= part {
            return self.choose(now, ask, rng, false).or(Some(place));
        }
        Some(place)
    }

    /// The best free target; `cold` says whether one that warms up will do.
    fn choose(&mut self, now: Instant, ask: &Ask, rng: &mut impl Rng, cold: bool) -> Option<usize> {
        let (members, pick) = (&self.members, self.config.pick);
        let near = self.preferred(ask);
        self.picker.choose(&self.seats, rng, |place, seat| {
            let usable = seat.is_free()
                && (cold || seat.fraction >= 1.0)
                && (ask.exclude.is_empty() || !members[place].has_tried(ask))
                && members[place].opens_in(now).is_zero();
            let factor = if near == Some(place) { NEAR } else { 1.0 };
            usable.then(|| seat.cost(pick) * factor)
        })
    }

    /// The target that requests of the same content go to while it is not busy, by rendezvous
    /// hashing.
    fn preferred(&self, ask: &Ask) -> Option<usize> {
        if self.config.affinity == Switch::Off || ask.affinity == 0 {
            return None;
        }
        let hash = |place: usize| {
            let key = self.members[place].key.into_raw().into_u32();
            xxh3_64_with_seed(&key.to_le_bytes(), ask.affinity)
        };
        (0..self.seats.len())
            .filter(|&place| self.seats[place].allowed > 0)
            .max_by_key(|&place| hash(place))
    }

    /// An ejected target that is due for a probe, if the request can afford it.
    fn probe(&mut self, now: Instant, ask: &Ask) -> Option<usize> {
        if !self.tally.probes {
            return None;
        }
        let left = ask.deadline.saturating_duration_since(now).as_secs_f64();
        self.members.iter().position(|member| {
            member.is_serving()
                && member.in_flight == 0
                && member.limit.connection_share() > 0
                && member.eject.is_probe_due(now)
                && !member.has_tried(ask)
                && member.opens_in(now).is_zero()
                && left > PROBE_SLACK * self.tally.median
        })
    }

    fn grant(&mut self, now: Instant, place: usize) -> Grant {
        let member = &mut self.members[place];
        member.spend(now);
        member.in_flight += 1;
        self.seats[place].in_flight = member.in_flight;
        self.in_flight += 1;
        Grant {
            target: member.key,
            at: now,
            probe: !member.eject.is_in_use(),
        }
    }

    /// Takes back a grant. Returns the waiting requests that may now go.
    pub fn finish(
        &mut self,
        now: Instant,
        grant: Grant,
        report: Report,
        rng: &mut impl Rng,
    ) -> Vec<(Id, Grant)> {
        if let Some(state) = report.state {
            self.set_state(now, grant.target, Source::Header, state);
        }
        if let Some(&place) = self.index.get(&grant.target) {
            self.learn(now, place, &report);
            self.judge(now, place, &grant, &report, rng);
            let member = &self.members[place];
            self.seats[place] = Seat::new(&self.config, &self.tally, member, now);
            self.tally.change = self.tally.change.into_iter().chain(member.rest).min();
        }
        self.ready(now, rng)
    }

    fn learn(&mut self, now: Instant, place: usize, report: &Report) {
        let member = &mut self.members[place];
        let full = member.in_flight >= member.limit.max_in_flight(member.warm.fraction());
        if let Some(load) = report.load {
            member.estimate.report(now, load, member.in_flight);
        }
        member.in_flight -= 1;
        self.in_flight -= 1;
        let seconds = report.latency.as_secs_f64();
        match report.end {
            End::Answered => {
                member.refusals = 0;
                member.rest = None;
                member.estimate.record(now, report.latency);
                member.warm.record_answer(now);
                let ratio = member.estimate.ratio(self.baseline);
                member.limit.record_answer(now, full, ratio, report.load);
                self.hold += (seconds - self.hold) * HOLD_WEIGHT;
            }
            End::Refused => {
                member.limit.record_refusal(now);
                member.start_rest(now);
            }
            End::ConnectFailed | End::Broken => member.start_rest(now),
            End::TimedOut | End::Cancelled => {
                if member
                    .estimate
                    .latency()
                    .is_some_and(|known| seconds > known)
                {
                    member.estimate.record(now, report.latency);
                }
            }
        }
    }

    /// Ejects a target or takes in a probe.
    fn judge(
        &mut self,
        now: Instant,
        place: usize,
        grant: &Grant,
        report: &Report,
        rng: &mut impl Rng,
    ) {
        if self.config.eject == Switch::Off {
            return;
        }
        let tally = self.tally;
        let member = &mut self.members[place];
        let Some(sign) = sign(report, tally.median) else {
            return;
        };
        if !member.eject.is_in_use() {
            if grant.probe && member.eject.record_probe(now, sign, rng) {
                member.warm.restart(now);
            }
            self.refresh(now);
            return;
        }
        member.eject.record(sign);
        let standing = Comparison {
            latency_ratio: member.estimate.ratio(tally.median),
            latency_samples: member.estimate.samples(),
            group_success_rate: tally.success,
            is_down: member.health == Health::Down,
            is_warming_up: member.warm.is_cold(),
        };
        let after = f64::from(tally.ejected + member.slots);
        let allowed = f64::from(tally.slots) * EJECT_SHARE;
        if member.is_serving() && after <= allowed && member.eject.is_outlier(&standing) {
            member.eject.eject(now, rng);
            member.estimate.forget();
            self.refresh(now);
        }
    }

    /// Returns the waiting requests that may go now.
    pub fn ready(&mut self, now: Instant, rng: &mut impl Rng) -> Vec<(Id, Grant)> {
        self.refresh_if_old(now);
        let mut ready = Vec::new();
        while let Some((id, place)) = self.next(now, rng) {
            ready.push((id, self.grant(now, place)));
        }
        ready
    }

    fn next(&mut self, now: Instant, rng: &mut impl Rng) -> Option<(Id, usize)> {
        if self.queue.is_empty() {
            return None;
        }
        let mut queue = std::mem::replace(&mut self.queue, Queue::new(Order::Fifo, 0));
        let found = queue.pop_matching(TRIES, |entry| {
            if entry.start_by <= now {
                return None;
            }
            self.place(now, &entry.item, rng)
        });
        self.queue = queue;
        found.map(|(entry, place)| (entry.id, place))
    }

    /// Returns the requests that leave the queue without having run: those whose deadline cannot
    /// be met any more, and those that had to make room.
    pub fn expire(&mut self, now: Instant) -> Vec<(Id, Refusal)> {
        let mut out = std::mem::take(&mut self.shed);
        while let Some(entry) = self.queue.pop_expired(now) {
            out.push((entry.id, self.refusal(Reason::Deadline)));
        }
        if self.members.iter().any(Member::is_serving) {
            return out;
        }
        while let Some(entry) = self.queue.pop_last() {
            out.push((entry.id, self.refusal(Reason::NoTarget)));
        }
        out
    }

    /// Takes a waiting request out. False if it does not wait; it was then admitted or refused.
    pub fn cancel(&mut self, id: Id) -> bool {
        self.queue.remove(id).is_some()
    }

    /// When to call [`Group::expire`] and [`Group::ready`] next, if nothing else happens.
    pub fn next_wake(&self, now: Instant) -> Option<Instant> {
        if !self.shed.is_empty() {
            return Some(now);
        }
        if self.queue.is_empty() {
            return None;
        }
        if !self.members.iter().any(Member::is_serving) {
            return Some(now);
        }
        let change = self.next_change(now);
        self.queue.next_expiry().into_iter().chain(change).min()
    }

    /// When a target's rest or ejection ends next.
    fn next_change(&self, now: Instant) -> Option<Instant> {
        let rests = self.members.iter().filter_map(|member| member.rest);
        let ejections = self
            .members
            .iter()
            .filter_map(|member| member.eject.ejected_until());
        rests.chain(ejections).filter(|&at| at > now).min()
    }

    /// The group's summary.
    pub fn headroom(&self) -> Headroom {
        Headroom {
            slots: self.tally.slots,
            in_flight: self.in_flight,
            limit: self.tally.limit.ceil() as u32,
            queued: self.queue.len(),
            cold: self.tally.cold,
            ejected: f64::from(self.tally.ejected) / f64::from(self.tally.slots.max(1)),
        }
    }

    /// This host's requests at one target.
    pub fn in_flight(&self, target: TargetKey) -> u32 {
        self.index
            .get(&target)
            .map_or(0, |&place| self.members[place].in_flight)
    }

    /// What this host may have at one target at most, now.
    pub fn limit(&self, target: TargetKey) -> u32 {
        self.index
            .get(&target)
            .map_or(0, |&place| allowed(&self.config, &self.members[place]))
    }

    /// Whether a target is ejected.
    pub fn is_ejected(&self, target: TargetKey) -> bool {
        self.index
            .get(&target)
            .is_some_and(|&place| !self.members[place].eject.is_in_use())
    }

    fn refresh_if_old(&mut self, now: Instant) {
        let old = self.tally.at.is_none_or(|at| now >= at + TALLY_AGE);
        let changed = self.tally.change.is_some_and(|at| now >= at);
        if old || changed {
            self.refresh(now);
        }
    }

    /// Follows the latency without queueing: at once downwards, slowly upwards, so that a change
    /// of the work itself is accepted in time.
    fn follow_baseline(&mut self, now: Instant, median: f64) {
        let age = self
            .tally
            .at
            .map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        let part = (age.as_secs_f64() / BASELINE_AGE.as_secs_f64()).min(1.0);
        let risen = self.baseline + (median - self.baseline) * part;
        self.baseline = if median < self.baseline {
            median
        } else {
            risen
        };
    }

    /// Works out the figures of the whole group anew.
    fn refresh(&mut self, now: Instant) {
        self.restore_excess(now);
        for member in &mut self.members {
            member.limit.decay_excess(now);
        }
        let latencies = used(&self.members).filter_map(|member| member.estimate.latency());
        let typical = median(latencies).map(|found| found.max(f64::MIN_POSITIVE));
        if let Some(typical) = typical {
            self.follow_baseline(now, typical);
        }
        let used = || used(&self.members);
        let slots: u32 = serving(&self.members).map(|member| member.slots).sum();
        let inside: u32 = used().map(|member| member.slots).sum();
        let cold: u32 = used()
            .filter(|member| self.config.warm == Switch::On && member.warm.is_cold())
            .map(|member| member.slots)
            .sum();
        let count = used().count().max(1) as f64;
        self.tally = Tally {
            at: Some(now),
            slots,
            ejected: slots - inside,
            cold: f64::from(cold) / f64::from(slots.max(1)),
            limit: used().map(|member| fair(&self.config, member)).sum(),
            median: typical.unwrap_or(self.tally.median),
            others: median(used().map(|member| member.estimate.others())).unwrap_or(0.0),
            success: used()
                .map(|member| member.eject.success_rate())
                .sum::<f64>()
                / count,
            probes: serving(&self.members).any(|member| member.eject.is_probe_due(now)),
            change: self.next_change(now),
        };
        let seat = |member| Seat::new(&self.config, &self.tally, member, now);
        self.seats.clear();
        self.seats.extend(self.members.iter().map(seat));
    }

    /// Brings ejected targets back while more than the allowed part is out, as when others drain.
    fn restore_excess(&mut self, now: Instant) {
        loop {
            let slots: u32 = serving(&self.members).map(|member| member.slots).sum();
            let inside: u32 = used(&self.members).map(|member| member.slots).sum();
            let out = slots - inside;
            if f64::from(out) <= f64::from(slots) * EJECT_SHARE {
                return;
            }
            let soonest = self
                .members
                .iter_mut()
                .filter(|member| member.is_serving() && !member.eject.is_in_use())
                .min_by_key(|member| member.eject.ejected_until());
            let Some(member) = soonest else {
                return;
            };
            member.eject.restore(now);
        }
    }
}

/// Targets that take work, also those ejected.
fn serving(members: &[Member]) -> impl Iterator<Item = &Member> {
    members.iter().filter(|member| member.is_serving())
}

/// Targets that take work in the ordinary way.
fn used(members: &[Member]) -> impl Iterator<Item = &Member> {
    serving(members).filter(|member| member.eject.is_in_use())
}

/// What a target adds to the limit of the whole group.
fn fair(config: &Config, member: &Member) -> f64 {
    match config.limit {
        Switch::On => member.limit.value() * fraction(config, member),
        Switch::Off => f64::from(member.limit.connection_share()),
    }
}

/// What a request's end shows of its target, if anything.
fn sign(report: &Report, median: f64) -> Option<Outcome> {
    let slow = report.latency.as_secs_f64() > MAX_LATENCY_RATIO * median;
    match report.end {
        End::Answered if slow => Some(Outcome::Slow),
        End::Answered => Some(Outcome::Good),
        End::ConnectFailed | End::Broken => Some(Outcome::Bad),
        End::TimedOut if slow => Some(Outcome::Bad),
        End::Refused | End::TimedOut | End::Cancelled => None,
    }
}

/// The upper median, if there are any values.
fn median(values: impl Iterator<Item = f64>) -> Option<f64> {
    let mut values: Vec<f64> = values.collect();
    if values.is_empty() {
        return None;
    }
    let middle = values.len() / 2;
    let (_, &mut found, _) = values.select_nth_unstable_by(middle, f64::total_cmp);
    Some(found)
}
