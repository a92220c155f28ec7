//! The targets of one service in one availability zone, as seen by one host.
//!
//! A [`Group`] assigns each request to a target, queues it or refuses it. Other hosts of the zone use
//! the same targets. A host knows only its own requests and the loads that answers report, so every
//! limit here applies to its own share and still holds when the shares of all hosts are added up.
//!
//! A request leaves the group in one of three ways: it is admitted ([`Grant`]), refused ([`Refusal`])
//! or cancelled by its owner. Each grant must be returned with [`Group::finish`].

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
use crate::duration;

use member::{max_in_flight, warm_fraction, Candidate, Member, RateShare};

pub use super::limit::Load;
pub use super::queue::{Id, Order};
pub use crate::border::settings::{Pick, Switch};
pub use request::{
    End, Grant, Headroom, Health, Reason, Refusal, Report, Source, State, TargetRequest, Verdict,
};

/// Default limit on queued requests.
const DEFAULT_QUEUE_LENGTH: usize = 1024;
/// Assumed latency before the first answer, in seconds.
const DEFAULT_LATENCY_SECONDS: f64 = 0.005;
/// Weight of one answer in the moving average of the time that a request occupies a target.
const HOLD_SECONDS_WEIGHT: f64 = 0.02;
/// Minimum delay before a refused caller should retry.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(250);
/// Maximum age of the group's statistics.
const MAX_STATS_AGE: Duration = Duration::from_millis(2);
/// Time during which a draining header takes precedence over a serving health check.
const DRAINING_HEADER_PRECEDENCE: Duration = Duration::from_secs(10);
/// Factor on the cost of the target preferred by affinity. Once that target has one more request in
/// flight than an idle one, it no longer costs less.
const AFFINITY_COST_FACTOR: f64 = 0.6;
/// Time after which a lasting rise of the latency is accepted as the new latency without queueing.
const BASELINE_RISE_TIME: Duration = Duration::from_secs(60);
/// Maximum fraction of the slots that may be ejected.
const MAX_EJECTED_SHARE: f64 = 0.5;
/// Minimum time left for a request that probes an ejected target, in median latencies.
const PROBE_SLACK_LATENCIES: f64 = 4.0;
/// Maximum number of queued requests examined for a target that became free.
const MAX_QUEUE_SCAN: usize = 8;
/// Time after which a queue that never emptied counts as overload instead of a spike, in mean hold
/// times.
const OVERLOAD_AFTER_HOLD_TIMES: f64 = 1.0;
/// Maximum expected wait under overload, in mean hold times.
const MAX_OVERLOAD_WAIT_HOLD_TIMES: f64 = 0.5;

/// Settings of a group.
#[derive(Clone, Debug)]
pub struct Config {
    /// Selection among usable targets.
    pub pick: Pick,
    /// Adaptive concurrency limit; if off, only the host's share of the connections limits a target.
    pub limit: Switch,
    /// Outlier ejection and backoff after failures.
    pub eject: Switch,
    /// Slow start.
    pub warm: Switch,
    /// Preference for the target that served the same content before.
    pub affinity: Switch,
    /// Order of queued requests.
    pub order: Order,
    /// Limit on queued requests.
    pub queue: usize,
}

impl Default for Config {
    fn default() -> Self {
        Self::new(&Steer::default())
    }
}

impl Config {
    /// Creates the configuration from a host's settings.
    pub fn new(steer: &Steer) -> Self {
        Self {
            pick: steer.pick,
            limit: Switch::On,
            eject: Switch::On,
            warm: steer.warm,
            affinity: steer.affinity,
            order: Order::Fifo,
            queue: DEFAULT_QUEUE_LENGTH,
        }
    }

    /// Creates a configuration with target selection only, as a baseline for measurements.
    pub fn with_selection_only(pick: Pick) -> Self {
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

/// Statistics of the whole group, cached for [`MAX_STATS_AGE`].
#[derive(Clone, Copy, Debug)]
struct GroupStats {
    computed_at: Option<Instant>,
    slots: u32,
    ejected: u32,
    cold: f64,
    limit: f64,
    median_latency: f64,
    median_foreign_load: f64,
    mean_success_rate: f64,
    is_probe_due: bool,
    /// Earliest end of a backoff, an ejection or a rest.
    next_change: Option<Instant>,
}

impl Default for GroupStats {
    fn default() -> Self {
        Self {
            computed_at: None,
            slots: 0,
            ejected: 0,
            cold: 0.0,
            limit: 0.0,
            median_latency: DEFAULT_LATENCY_SECONDS,
            median_foreign_load: 0.0,
            mean_success_rate: 1.0,
            is_probe_due: false,
            next_change: None,
        }
    }
}

/// The targets of one service in one availability zone.
#[derive(Clone, Debug)]
pub struct Group {
    config: Config,
    members: Vec<Member>,
    candidates: Vec<Candidate>,
    index: BTreeMap<TargetKey, usize>,
    picker: Picker,
    queue: Queue<TargetRequest>,
    shed: Vec<(Id, Refusal)>,
    stats: GroupStats,
    in_flight: u32,
    mean_hold_seconds: f64,
    baseline_latency: f64,
    is_configured: bool,
}

impl Group {
    /// Creates a group without targets.
    pub fn new(config: Config) -> Self {
        Self {
            members: Vec::new(),
            candidates: Vec::new(),
            index: BTreeMap::new(),
            picker: Picker::new(config.pick),
            queue: Queue::new(config.order, config.queue),
            shed: Vec::new(),
            stats: GroupStats::default(),
            in_flight: 0,
            mean_hold_seconds: DEFAULT_LATENCY_SECONDS,
            baseline_latency: f64::INFINITY,
            is_configured: false,
            config,
        }
    }

    /// Applies the targets of `service` in `zone` from a configuration revision, shared by `hosts` hosts
    /// configured there. Targets that remain keep their measurements and state.
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
                member.configured_state = catalog::State::Off;
            }
        }
        self.members
            .retain(|member| member.in_flight > 0 || listed.contains(&member.key));
        self.rebuild_index();
        for &key in &listed {
            self.update_member(now, catalog, key, hosts);
        }
        self.is_configured = true;
        self.refresh_stats(now);
    }

    fn rebuild_index(&mut self) {
        self.index = self
            .members
            .iter()
            .enumerate()
            .map(|(position, member)| (member.key, position))
            .collect();
    }

    fn update_member(&mut self, now: Instant, catalog: &Catalog, key: TargetKey, hosts: usize) {
        let target = catalog.target(key);
        let state = catalog.target_state(key);
        let position = match self.index.get(&key) {
            Some(&position) => position,
            None => {
                let mut member = Member::new(key, target, hosts);
                if self.is_configured {
                    member.slow_start.restart(now);
                }
                self.members.push(member);
                self.index.insert(key, self.members.len() - 1);
                self.members.len() - 1
            }
        };
        let member = &mut self.members[position];
        let was_serving = member.is_serving();
        member.configured_state = state;
        member.slots = target.slots;
        member.limit = member
            .limit
            .with_size(target.slots, target.connections, hosts);
        member.slow_start = member.slow_start.with_ramp(target.warm_up);
        if !was_serving && member.is_serving() {
            member.slow_start.restart(now);
        }
    }

    /// Records the state of a target as reported by `source`. One source reporting draining is enough to
    /// stop new requests.
    pub fn set_state(&mut self, now: Instant, target: TargetKey, source: Source, state: State) {
        let Some(&position) = self.index.get(&target) else {
            return;
        };
        let member = &mut self.members[position];
        let was_serving = member.is_serving();
        if state == State::Draining {
            member.draining_sources.insert(source, now);
        } else {
            member.draining_sources.remove(&source);
            if source == Source::Health {
                let is_recent = |at: &Instant| now < *at + DRAINING_HEADER_PRECEDENCE;
                member
                    .draining_sources
                    .retain(|&source, at| source != Source::Header || is_recent(at));
            }
        }
        let is_newly_cold = state == State::Cold && member.header_state != State::Cold;
        if source == Source::Header {
            member.header_state = state;
        }
        let is_restored = !was_serving && member.is_serving();
        let needs_warm_up = is_restored || (is_newly_cold && source == Source::Header);
        if needs_warm_up {
            member.slow_start.restart(now);
        }
        if needs_warm_up || was_serving != member.is_serving() {
            self.refresh_stats(now);
        }
    }

    /// Records the result of a target's health check. It may be late or wrong, so it only speeds up
    /// ejection, and delays the probes after it while the target answers no checks any more.
    pub fn set_health(&mut self, target: TargetKey, health: Health) {
        if let Some(&position) = self.index.get(&target) {
            let member = &mut self.members[position];
            member.health = health;
            member.has_answered_check |= health != Health::Unreached;
        }
    }

    /// Admits, queues or refuses a request.
    pub fn admit(&mut self, now: Instant, request: TargetRequest, rng: &mut impl Rng) -> Verdict {
        self.refresh_stats_if_old(now);
        if let Some(reason) = self.rejection_reason(now, &request) {
            return Verdict::Refuse(self.refusal(reason));
        }
        if let Some(position) = self.choose_target(now, &request, rng) {
            return Verdict::Admit(self.grant(now, position));
        }
        if let Some(wait) = self.closed_for(now, &request) {
            return Verdict::Refuse(Refusal {
                reason: Reason::Overload,
                retry_after: wait.max(MIN_RETRY_AFTER),
            });
        }
        self.enqueue(now, request)
    }

    /// Returns the time until a target may take a request if all untried targets rest or have used up their rate limits. Other
    /// targets become free with each answer; these don't, and a request queued for one of them would block those behind it.
    fn closed_for(&self, now: Instant, request: &TargetRequest) -> Option<Duration> {
        let mut shortest = None;
        for member in in_rotation(&self.members).filter(|member| !member.has_tried(request)) {
            let wait = member.closed_for(now);
            if wait.is_zero() {
                return None;
            }
            shortest = shortest.into_iter().chain([wait]).min();
        }
        shortest
    }

    /// Sends nothing to a target for `time`, as it asked. Returns whether it was not resting before.
    pub fn begin_rest(&mut self, now: Instant, target: TargetKey, time: Duration) -> bool {
        let Some(&position) = self.index.get(&target) else {
            return false;
        };
        let is_new = self.members[position].rest.begin(now, time);
        self.refresh_stats(now);
        is_new
    }

    /// Returns the targets that rest.
    pub fn resting_targets(&self, now: Instant) -> impl Iterator<Item = TargetKey> + '_ {
        let members = self.members.iter();
        members
            .filter(move |member| member.rest.time_left(now).is_some())
            .map(|member| member.key)
    }

    /// Sets this host's share of the rate limit that a target announces, in requests per second; `None` if it announces none.
    pub fn set_rate_share(&mut self, now: Instant, target: TargetKey, rate: Option<f64>) {
        let Some(&position) = self.index.get(&target) else {
            return;
        };
        let share = &mut self.members[position].rate_share;
        *share = rate.map(|rate| RateShare {
            rate,
            bucket: share.map_or(Bucket::new(now), |share| share.bucket),
        });
    }

    /// Returns the reason to refuse a request that no target could serve even after a wait, if there is one.
    fn rejection_reason(&self, now: Instant, request: &TargetRequest) -> Option<Reason> {
        if request.deadline <= now {
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
        if !request.exclude.is_empty() && serving.all(|member| member.has_tried(request)) {
            return Some(Reason::Tried);
        }
        None
    }

    fn enqueue(&mut self, now: Instant, request: TargetRequest) -> Verdict {
        let start_by = request
            .deadline
            .checked_sub(duration::from_seconds(self.mean_hold_seconds))
            .unwrap_or(now);
        let expected = self.expected_wait(self.queue.count_ahead(request.priority) + 1);
        if now + expected > start_by {
            return Verdict::Refuse(self.refusal(Reason::Deadline));
        }
        if self.is_overloaded(now)
            && expected.as_secs_f64() > self.mean_hold_seconds * MAX_OVERLOAD_WAIT_HOLD_TIMES
        {
            return Verdict::Refuse(self.refusal(Reason::Overload));
        }
        let id = request.id;
        let entry = Entry {
            id,
            priority: request.priority,
            start_by,
            enqueued_at: now,
            item: request,
        };
        let Some(dropped) = self.queue.push(entry) else {
            return Verdict::Wait;
        };
        let refusal = self.refusal(Reason::Full);
        if dropped.id == id {
            return Verdict::Refuse(refusal);
        }
        self.shed.push((dropped.id, refusal));
        Verdict::Wait
    }

    /// Returns the expected time until `count` queued requests have started, at the measured rate.
    fn expected_wait(&self, count: usize) -> Duration {
        let rate = self.stats.limit.max(1.0) / self.mean_hold_seconds;
        duration::from_seconds(count as f64 / rate)
    }

    fn is_overloaded(&self, now: Instant) -> bool {
        self.queue.nonempty_since().is_some_and(|since| {
            now.saturating_duration_since(since).as_secs_f64()
                > self.mean_hold_seconds * OVERLOAD_AFTER_HOLD_TIMES
        })
    }

    fn refusal(&self, reason: Reason) -> Refusal {
        Refusal {
            reason,
            retry_after: self.expected_wait(self.queue.len()).max(MIN_RETRY_AFTER),
        }
    }

    /// Selects a free target for a request and returns its position.
    fn choose_target(
        &mut self,
        now: Instant,
        request: &TargetRequest,
        rng: &mut impl Rng,
    ) -> Option<usize> {
        if self.config.limit == Switch::On && f64::from(self.in_flight) >= self.stats.limit.ceil() {
            return None;
        }
        if let Some(position) = self.probe_target(now, request) {
            return Some(position);
        }
        let position = self.choose_free(now, request, rng, true)?;
        let fraction = self.candidates[position].warm_fraction;
        if fraction < 1.0 && rng.random::<f64>() >= fraction {
            return self
                .choose_free(now, request, rng, false)
                .or(Some(position));
        }
        Some(position)
    }

    /// Selects the free target with the lowest cost; `cold` includes targets that are warming up.
    fn choose_free(
        &mut self,
        now: Instant,
        request: &TargetRequest,
        rng: &mut impl Rng,
        cold: bool,
    ) -> Option<usize> {
        let (members, pick) = (&self.members, self.config.pick);
        let preferred = self.affinity_target(request);
        self.picker
            .choose(&self.candidates, rng, |position, candidate| {
                let is_usable = candidate.is_free()
                    && (cold || candidate.warm_fraction >= 1.0)
                    && (request.exclude.is_empty() || !members[position].has_tried(request))
                    && members[position].closed_for(now).is_zero();
                let factor = if preferred == Some(position) {
                    AFFINITY_COST_FACTOR
                } else {
                    1.0
                };
                is_usable.then(|| candidate.cost(pick) * factor)
            })
    }

    /// Returns the target preferred for the request's affinity key, by rendezvous hashing.
    fn affinity_target(&self, request: &TargetRequest) -> Option<usize> {
        if self.config.affinity == Switch::Off || request.affinity == 0 {
            return None;
        }
        let hash = |position: usize| {
            let key = self.members[position].key.into_raw().into_u32();
            xxh3_64_with_seed(&key.to_le_bytes(), request.affinity)
        };
        (0..self.candidates.len())
            .filter(|&position| self.candidates[position].max_in_flight > 0)
            .max_by_key(|&position| hash(position))
    }

    /// Returns an ejected target that is due for a probe, if the request has enough time left.
    fn probe_target(&mut self, now: Instant, request: &TargetRequest) -> Option<usize> {
        if !self.stats.is_probe_due {
            return None;
        }
        let seconds_left = request
            .deadline
            .saturating_duration_since(now)
            .as_secs_f64();
        self.members.iter().position(|member| {
            member.is_serving()
                && member.in_flight == 0
                && member.limit.connection_share() > 0
                && member.outlier_detector.is_probe_due(now)
                && !member.is_unreached()
                && !member.has_tried(request)
                && member.closed_for(now).is_zero()
                && seconds_left > PROBE_SLACK_LATENCIES * self.stats.median_latency
        })
    }

    fn grant(&mut self, now: Instant, position: usize) -> Grant {
        let member = &mut self.members[position];
        member.charge_rate(now);
        member.in_flight += 1;
        self.candidates[position].in_flight = member.in_flight;
        self.in_flight += 1;
        Grant {
            target: member.key,
            at: now,
            probe: !member.outlier_detector.is_in_use(),
        }
    }

    /// Ends a grant and records its report. Returns the queued requests that are now admitted.
    pub fn finish(
        &mut self,
        now: Instant,
        grant: Grant,
        report: Report,
        rng: &mut impl Rng,
    ) -> Vec<(Id, Grant)> {
        let is_news = |state: &State| *state == State::Draining || !self.precedes_draining(&grant);
        if let Some(state) = report.state.filter(is_news) {
            self.set_state(now, grant.target, Source::Header, state);
        }
        if let Some(&position) = self.index.get(&grant.target) {
            self.record_report(now, position, &report);
            self.update_ejection(now, position, &grant, &report, rng);
            let member = &self.members[position];
            self.candidates[position] = Candidate::new(&self.config, &self.stats, member, now);
            self.stats.next_change = self
                .stats
                .next_change
                .into_iter()
                .chain(member.backoff_until)
                .chain(member.rest.time_left(now).map(|left| now + left))
                .min();
        }
        self.ready(now, rng)
    }

    /// Whether a request was sent before its target last stated that it is draining. The answer may
    /// have been on its way since before that.
    fn precedes_draining(&self, grant: &Grant) -> bool {
        let position = self.index.get(&grant.target);
        let member = position.map(|&position| &self.members[position]);
        let stated_at = member.and_then(|member| member.draining_sources.get(&Source::Header));
        stated_at.is_some_and(|at| grant.at <= *at)
    }

    fn record_report(&mut self, now: Instant, position: usize, report: &Report) {
        let member = &mut self.members[position];
        let is_full = member.in_flight >= member.limit.max_in_flight(member.slow_start.fraction());
        if let Some(load) = report.load {
            member.estimate.record_load(now, load, member.in_flight);
        }
        member.in_flight -= 1;
        self.in_flight -= 1;
        let seconds = report.latency.as_secs_f64();
        match report.end {
            End::Answered => {
                member.consecutive_failures = 0;
                member.backoff_until = None;
                member.estimate.record_latency(now, report.latency);
                member.slow_start.record_answer(now);
                member.rest.record_answer(now, member.slots);
                let ratio = member.estimate.latency_ratio(self.baseline_latency);
                member.limit.record_answer(now, is_full, ratio, report.load);
                self.mean_hold_seconds += (seconds - self.mean_hold_seconds) * HOLD_SECONDS_WEIGHT;
            }
            End::Refused => {
                member.limit.record_refusal(now);
                member.start_backoff(now);
            }
            End::ConnectFailed | End::Broken => member.start_backoff(now),
            End::TimedOut | End::Cancelled => {
                if member.estimate.latency().is_some_and(|mean| seconds > mean) {
                    member.estimate.record_latency(now, report.latency);
                }
            }
        }
    }

    /// Ejects a target that is an outlier, or applies the result of a probe.
    fn update_ejection(
        &mut self,
        now: Instant,
        position: usize,
        grant: &Grant,
        report: &Report,
        rng: &mut impl Rng,
    ) {
        if self.config.eject == Switch::Off {
            return;
        }
        let stats = self.stats;
        let member = &mut self.members[position];
        let Some(evidence) = ejection_evidence(report, stats.median_latency) else {
            return;
        };
        if !member.outlier_detector.is_in_use() {
            if grant.probe && member.outlier_detector.record_probe(now, evidence, rng) {
                member.slow_start.restart(now);
            }
            self.refresh_stats(now);
            return;
        }
        member.outlier_detector.record(evidence);
        let comparison = Comparison {
            latency_ratio: member.estimate.latency_ratio(stats.median_latency),
            latency_samples: member.estimate.samples(),
            group_success_rate: stats.mean_success_rate,
            is_down: member.health != Health::Up,
            is_warming_up: member.slow_start.is_cold(),
        };
        let ejected_after = f64::from(stats.ejected + member.slots);
        let allowed = f64::from(stats.slots) * MAX_EJECTED_SHARE;
        if member.is_serving()
            && ejected_after <= allowed
            && member.outlier_detector.is_outlier(&comparison)
        {
            member.outlier_detector.eject(now, rng);
            member.estimate.reset_latency();
            self.refresh_stats(now);
        }
    }

    /// Returns the queued requests that are now admitted.
    pub fn ready(&mut self, now: Instant, rng: &mut impl Rng) -> Vec<(Id, Grant)> {
        self.refresh_stats_if_old(now);
        let mut ready = Vec::new();
        while let Some((id, position)) = self.pop_ready(now, rng) {
            ready.push((id, self.grant(now, position)));
        }
        ready
    }

    fn pop_ready(&mut self, now: Instant, rng: &mut impl Rng) -> Option<(Id, usize)> {
        if self.queue.is_empty() {
            return None;
        }
        let mut queue = std::mem::replace(&mut self.queue, Queue::new(Order::Fifo, 0));
        let found = queue.pop_matching(MAX_QUEUE_SCAN, |entry| {
            if entry.start_by <= now {
                return None;
            }
            self.choose_target(now, &entry.item, rng)
        });
        self.queue = queue;
        found.map(|(entry, position)| (entry.id, position))
    }

    /// Returns the requests that leave the queue unexecuted: those that can no longer meet their
    /// deadline, those dropped from a full queue, and all if no target accepts requests.
    pub fn expire(&mut self, now: Instant) -> Vec<(Id, Refusal)> {
        let mut removed = std::mem::take(&mut self.shed);
        while let Some(entry) = self.queue.pop_expired(now) {
            removed.push((entry.id, self.refusal(Reason::Deadline)));
        }
        if self.members.iter().any(Member::is_serving) {
            return removed;
        }
        while let Some(entry) = self.queue.pop_last() {
            removed.push((entry.id, self.refusal(Reason::NoTarget)));
        }
        removed
    }

    /// Removes a queued request. Returns false if it is not queued, having been admitted or refused.
    pub fn cancel(&mut self, id: Id) -> bool {
        self.queue.remove(id).is_some()
    }

    /// Returns when to call [`Group::expire`] and [`Group::ready`] next if no other event occurs.
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

    /// Returns the earliest end of a target's backoff, ejection or rest.
    fn next_change(&self, now: Instant) -> Option<Instant> {
        let backoffs = self
            .members
            .iter()
            .filter_map(|member| member.backoff_until);
        let ejections = self
            .members
            .iter()
            .filter_map(|member| member.outlier_detector.ejected_until());
        let rests = self.members.iter().filter_map(|member| {
            let left = member.rest.time_left(now)?;
            Some(now + left)
        });
        let changes = backoffs.chain(ejections).chain(rests);
        changes.filter(|&at| at > now).min()
    }

    /// Returns the number of targets.
    pub fn target_count(&self) -> usize {
        self.members.len()
    }

    /// Returns the group's summary.
    pub fn headroom(&self) -> Headroom {
        Headroom {
            slots: self.stats.slots,
            in_flight: self.in_flight,
            limit: self.stats.limit.ceil() as u32,
            queued: self.queue.len(),
            cold: self.stats.cold,
            ejected: f64::from(self.stats.ejected) / f64::from(self.stats.slots.max(1)),
        }
    }

    /// Returns the number of this host's requests in flight at one target.
    pub fn in_flight(&self, target: TargetKey) -> u32 {
        self.index
            .get(&target)
            .map_or(0, |&position| self.members[position].in_flight)
    }

    /// Returns the current limit on this host's requests in flight at one target.
    pub fn limit(&self, target: TargetKey) -> u32 {
        self.index.get(&target).map_or(0, |&position| {
            max_in_flight(&self.config, &self.members[position])
        })
    }

    /// Whether a target is ejected.
    pub fn is_ejected(&self, target: TargetKey) -> bool {
        self.index
            .get(&target)
            .is_some_and(|&position| !self.members[position].outlier_detector.is_in_use())
    }

    fn refresh_stats_if_old(&mut self, now: Instant) {
        let is_old = self
            .stats
            .computed_at
            .is_none_or(|at| now >= at + MAX_STATS_AGE);
        let has_changed = self.stats.next_change.is_some_and(|at| now >= at);
        if is_old || has_changed {
            self.refresh_stats(now);
        }
    }

    /// Updates the latency without queueing: it falls immediately and rises slowly, so that a lasting
    /// change of the requests' cost is eventually accepted.
    fn update_baseline(&mut self, now: Instant, median: f64) {
        let elapsed = self
            .stats
            .computed_at
            .map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        let fraction = (elapsed.as_secs_f64() / BASELINE_RISE_TIME.as_secs_f64()).min(1.0);
        let risen = self.baseline_latency + (median - self.baseline_latency) * fraction;
        self.baseline_latency = if median < self.baseline_latency {
            median
        } else {
            risen
        };
    }

    /// Recomputes the statistics of the whole group and the candidates.
    fn refresh_stats(&mut self, now: Instant) {
        self.restore_excess_ejections(now);
        for member in &mut self.members {
            member.limit.decay_excess(now);
        }
        let latencies = in_rotation(&self.members).filter_map(|member| member.estimate.latency());
        let median_latency = median(latencies).map(|found| found.max(f64::MIN_POSITIVE));
        if let Some(median_latency) = median_latency {
            self.update_baseline(now, median_latency);
        }
        let members_in_rotation = || in_rotation(&self.members);
        let slots: u32 = serving(&self.members).map(|member| member.slots).sum();
        let in_rotation_slots: u32 = members_in_rotation().map(|member| member.slots).sum();
        let cold: u32 = members_in_rotation()
            .filter(|member| self.config.warm == Switch::On && member.slow_start.is_cold())
            .map(|member| member.slots)
            .sum();
        let count = members_in_rotation().count().max(1) as f64;
        self.stats = GroupStats {
            computed_at: Some(now),
            slots,
            ejected: slots - in_rotation_slots,
            cold: f64::from(cold) / f64::from(slots.max(1)),
            limit: members_in_rotation()
                .map(|member| limit_contribution(&self.config, member))
                .sum(),
            median_latency: median_latency.unwrap_or(self.stats.median_latency),
            median_foreign_load: median(
                members_in_rotation().map(|member| member.estimate.reported_foreign_load()),
            )
            .unwrap_or(0.0),
            mean_success_rate: members_in_rotation()
                .map(|member| member.outlier_detector.success_rate())
                .sum::<f64>()
                / count,
            is_probe_due: serving(&self.members)
                .any(|member| member.outlier_detector.is_probe_due(now)),
            next_change: self.next_change(now),
        };
        let candidate = |member| Candidate::new(&self.config, &self.stats, member, now);
        self.candidates.clear();
        self.candidates.extend(self.members.iter().map(candidate));
    }

    /// Restores ejected targets while more than [`MAX_EJECTED_SHARE`] of the slots is ejected, as happens
    /// when other targets drain.
    fn restore_excess_ejections(&mut self, now: Instant) {
        loop {
            let slots: u32 = serving(&self.members).map(|member| member.slots).sum();
            let in_rotation_slots: u32 =
                in_rotation(&self.members).map(|member| member.slots).sum();
            let ejected = slots - in_rotation_slots;
            if f64::from(ejected) <= f64::from(slots) * MAX_EJECTED_SHARE {
                return;
            }
            let next_restored = self
                .members
                .iter_mut()
                .filter(|member| member.is_serving() && !member.outlier_detector.is_in_use())
                .min_by_key(|member| member.outlier_detector.ejected_until());
            let Some(member) = next_restored else {
                return;
            };
            member.outlier_detector.restore(now);
        }
    }
}

/// Returns the targets that accept requests, including ejected ones.
fn serving(members: &[Member]) -> impl Iterator<Item = &Member> {
    members.iter().filter(|member| member.is_serving())
}

/// Returns the targets that accept requests and are not ejected.
fn in_rotation(members: &[Member]) -> impl Iterator<Item = &Member> {
    serving(members).filter(|member| member.outlier_detector.is_in_use())
}

/// Returns a target's contribution to the group's concurrency limit.
fn limit_contribution(config: &Config, member: &Member) -> f64 {
    match config.limit {
        Switch::On => member.limit.value() * warm_fraction(config, member),
        Switch::Off => f64::from(member.limit.connection_share()),
    }
}

/// Returns the evidence for outlier ejection in a request's report, if any.
fn ejection_evidence(report: &Report, median: f64) -> Option<Outcome> {
    let is_slow = report.latency.as_secs_f64() > MAX_LATENCY_RATIO * median;
    match report.end {
        End::Answered if is_slow => Some(Outcome::Slow),
        End::Answered => Some(Outcome::Good),
        End::ConnectFailed | End::Broken => Some(Outcome::Bad),
        End::TimedOut if is_slow => Some(Outcome::Bad),
        End::Refused | End::TimedOut | End::Cancelled => None,
    }
}

/// Returns the upper median, or `None` without values.
fn median(values: impl Iterator<Item = f64>) -> Option<f64> {
    let mut values: Vec<f64> = values.collect();
    if values.is_empty() {
        return None;
    }
    let middle = values.len() / 2;
    let (_, &mut found, _) = values.select_nth_unstable_by(middle, f64::total_cmp);
    Some(found)
}
