//! Selection of a target for a request, among targets that answer faster for objects that they
//! handled lately.
//!
//! Each affinity key has two targets, by rendezvous hashing over those that may serve it, so that
//! all hosts agree without messages: one of the own region, and one elsewhere. A request is sent to
//! the one that is expected to answer first. That estimate includes the round trip, a connection
//! that has to be opened, the queue, a first visit to a target that does not have the object
//! cached, and the cost of bytes between zones. Targets that are known to have the object may be
//! used in addition to the two. If all are full the request is refused. A third choice regardless
//! of its cache made more targets cold for its key than it relieved.

mod admission;
mod availability;
mod choice;
mod cold;
mod cold_checks;
mod cost;
mod inquiry;
mod member;
mod object_locations;
mod popularity;
mod ranking;
mod rate_limit;
mod reach;
mod region_stats;
mod returns;
mod service_stats;
mod sharing;
mod silence;
mod speed;
mod switches;
mod unread;

use std::cell::Cell;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

use rand::Rng;
use xxhash_rust::xxh3::xxh3_64;

use self::cold::FleetHost;
use self::inquiry::QuestionCount;
use self::member::{process_digest, LoadReport};
use self::object_locations::ObjectLocations;
use self::popularity::Popularity;
use self::ranking::Rankings;
use self::region_stats::RegionStats;
use self::service_stats::ServiceStats;
use self::sharing::Sharing;
use self::silence::Recheck;
use super::departures::{Audience, Departures};
use super::drift::Drift;
use super::eject::{Comparison, Outcome, OutlierDetector};
use super::reach::Reach;
use super::rest::Rest;
use super::throttle::{Assignment, Throttle};
use crate::border::settings::Switch;
use crate::duration;
use crate::inventory::{Registration, State, TargetKey, TargetKeyAllocator};

pub use self::cold_checks::{CHECKERS_PER_TARGET, MAX_CHECK_FACTOR, MIN_CHECKS};
pub use self::cost::Cost;
pub use self::inquiry::{Finding, Testimony};
pub use self::member::{Load, Member, TargetEstimate};
pub use self::popularity::PopularObjects;
pub use self::rate_limit::Permission;
pub use self::silence::Silence;
pub use self::speed::parse_slowdown;
pub use self::switches::Switches;
pub use self::unread::{Unanswered, Unread};

/// A request for which a target is to be selected.
#[derive(Clone, Debug)]
pub struct TargetQuery<'a> {
    /// Service whose targets may be selected.
    pub service: &'a Arc<str>,
    /// Affinity key, the same for all requests for one object.
    pub affinity_key: u64,
    /// Object that the request concerns, if targets answer faster for objects that they handled
    /// lately.
    pub object: Option<u64>,
    /// Regions that may serve it; any if empty.
    pub homes: &'a BTreeSet<Arc<str>>,
    /// Targets that were tried before.
    pub tried: Vec<TargetKey>,
    /// Size of its body in bytes.
    pub body_bytes: u64,
    /// Relative priority among all requests, from 0 for the most urgent to 1 for the least urgent.
    pub rank: f64,
    /// Hash of the client account that sends it, if there is one.
    pub account: Option<u64>,
}

/// Why no target was selected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// No target accepts new requests.
    NoTarget,
    /// All targets that do are full.
    Full,
    /// All targets that do have no free slot, and the request's account has had its share.
    FairShare,
}

/// How a request at a target ended, as far as it indicates the state of the target.
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
    /// A pooled connection had been closed before the request was sent.
    Closed,
    /// The connection broke before its answer was complete.
    Broken,
    /// It answered another request.
    Stray,
    /// It sent no answer for too long, and this host gave up.
    Silent,
    /// It had not answered when the request's time was over, but was not silent.
    TimedOut,
    /// The caller gave up, or another target is tried instead.
    Cancelled,
    /// It wants no more requests, and had received nothing of this one.
    Recalled,
}

/// Change of a target's ejection state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EjectionChange {
    /// It failed too often and receives no requests for a while.
    Ejected,
    /// It is in use again.
    Restored,
}

/// What was observed of a target while it processed a request.
#[derive(Clone, Copy, Debug, Default)]
pub struct Observation {
    /// Load that it reported.
    pub load: Option<Load>,
    /// Time until its answer on an open connection.
    pub response_time: Option<Duration>,
    /// Object that the request concerned, as in [`TargetQuery::object`].
    pub object: Option<u64>,
    /// Latency goal of the request.
    pub goal: Option<Duration>,
    /// Size of the answer's body in bytes, if it has arrived.
    pub body_bytes: Option<u64>,
}

/// The state of all targets at one host.
#[derive(Debug)]
pub struct Fleet {
    zone: Arc<str>,
    region: Arc<str>,
    regions: BTreeMap<Arc<str>, Arc<str>>,
    /// Measured round trip to each region, in seconds.
    round_trips: BTreeMap<Arc<str>, f64>,
    /// Statistics of each service's requests.
    service_stats: BTreeMap<Arc<str>, ServiceStats>,
    /// Statistics of each service's targets in each region.
    region_stats: BTreeMap<Arc<str>, BTreeMap<Arc<str>, RegionStats>>,
    object_locations: ObjectLocations,
    /// Demand for the most requested objects, by service.
    popularities: BTreeMap<Arc<str>, Popularity>,
    key_allocator: TargetKeyAllocator,
    ids: BTreeMap<Arc<str>, TargetKey>,
    members: BTreeMap<TargetKey, Member>,
    services: BTreeMap<Arc<str>, Vec<TargetKey>>,
    /// Cached rankings by service.
    rankings: BTreeMap<Arc<str>, Rankings>,
    /// Number of targets that were inspected during selection.
    inspected: Cell<u64>,
    evacuated_zones: BTreeSet<Arc<str>>,
    /// Processes that have stated that they are shutting down.
    departures: Departures,
    /// When this host learned that targets leave or are missing in the store, for the log.
    departed_at: BTreeMap<TargetKey, Instant>,
    /// Share of requests that leave the region, by service.
    drifts: BTreeMap<Arc<str>, Drift>,
    cold_rates: BTreeMap<Arc<str>, f64>,
    /// Latency goals by service.
    latency_goals: BTreeMap<Arc<str>, Duration>,
    /// Share of its region's callers that connect to this host, if it is known.
    caller_share: Option<f64>,
    /// Maximum number of hosts that may use a cold target at the same time, each with one request
    /// beyond the rate.
    max_cold_hosts: usize,
    own_host: FleetHost,
    switches: Switches,
    /// Recent requests by service, if they share insufficient capacity.
    sharing: Option<BTreeMap<Arc<str>, Sharing>>,
    /// Questions about targets that this host has asked others lately.
    question_count: QuestionCount,
    /// Number of selections so far.
    query_count: u64,
    /// All live hosts including this one; empty while they are not known.
    live_hosts: Vec<FleetHost>,
    /// Number of live hosts of the own region; zero while they are not known.
    region_host_count: usize,
    /// Number of hosts, live or not, once received from the store or another host.
    reported_host_count: Option<usize>,
    /// Until when lapsed targets are used at most.
    return_deadline: Option<Instant>,
    /// Number of lapsed targets by service.
    lapsed_counts: BTreeMap<Arc<str>, usize>,
    /// Target that was last asked whether it is cold.
    last_checked: Option<TargetKey>,
    /// Rates that targets announce.
    throttle: Throttle,
    /// Sequence number of this host's last claim.
    claim_count: u32,
    /// Whether this host reaches its targets.
    reach: Reach<TargetKey>,
    /// Targets that were ejected since the last answer of any target.
    ejected_unanswered: BTreeSet<TargetKey>,
}

impl Fleet {
    /// Returns a fleet without targets for the host `name` in `zone`. `regions` maps availability
    /// zones to regions; `cold_burst` is the number of requests that a cold target can take at once
    /// beyond its rate.
    pub fn new(
        now: Instant,
        name: Arc<str>,
        zone: Arc<str>,
        regions: BTreeMap<Arc<str>, Arc<str>>,
        cold_burst: f64,
    ) -> Self {
        let region = regions.get(&zone).unwrap_or(&zone).clone();
        let own_host = FleetHost::new(name, region.clone());
        Self {
            zone,
            round_trips: BTreeMap::new(),
            service_stats: BTreeMap::new(),
            region_stats: BTreeMap::new(),
            object_locations: ObjectLocations::new(now),
            popularities: BTreeMap::new(),
            cold_rates: BTreeMap::new(),
            latency_goals: BTreeMap::new(),
            caller_share: None,
            max_cold_hosts: (cold_burst as usize).max(1),
            live_hosts: Vec::new(),
            region_host_count: 0,
            reported_host_count: None,
            last_checked: None,
            throttle: Throttle::new(),
            claim_count: 0,
            reach: Reach::new(),
            ejected_unanswered: BTreeSet::new(),
            return_deadline: None,
            lapsed_counts: BTreeMap::new(),
            own_host,
            switches: Switches::default(),
            sharing: None,
            question_count: QuestionCount::default(),
            query_count: 0,
            region,
            regions,
            key_allocator: TargetKeyAllocator::default(),
            ids: BTreeMap::new(),
            members: BTreeMap::new(),
            services: BTreeMap::new(),
            rankings: BTreeMap::new(),
            inspected: Cell::new(0),
            evacuated_zones: BTreeSet::new(),
            departures: Departures::new(),
            departed_at: BTreeMap::new(),
            drifts: BTreeMap::new(),
        }
    }

    /// Sets which mechanisms are on.
    pub fn with_switches(mut self, switches: Switches) -> Self {
        self.switches = switches;
        self
    }

    /// Adds a target or updates its registration. A registration of an earlier process than the
    /// known one is ignored; a later process of the same identity is another target. One that says
    /// that its process is draining holds for good, and one of a process that was removed does not
    /// bring it back by itself, see [`Departures`].
    pub fn register(&mut self, now: Instant, registration: impl Into<Arc<Registration>>) {
        let registration = registration.into();
        let process = process_digest(&registration);
        if registration.state == State::Draining {
            self.departures.record(now, process, Audience::Readers);
        } else {
            self.departures.record_registration(now, process);
        }
        let cold_until = Some(registration.cold_left)
            .filter(|left| !left.is_zero())
            .map(|left| duration::after(now, left));
        let known = self.ids.get(&registration.id).copied();
        if let Some(member) = known.and_then(|key| self.members.get_mut(&key)) {
            if registration.is_older_than(&member.registration) {
                return;
            }
            if registration.is_same_process(&member.registration) {
                if member.lapsed_until.is_some()
                    && registration.is_earlier_write_than(&member.registration)
                {
                    return;
                }
                member.cold_until = cold_until;
                if member.lapsed_until.take().is_some() {
                    member.returned_at = Some(now);
                    decrement_lapsed_count(&mut self.lapsed_counts, &registration.service);
                    known.and_then(|key| self.departed_at.remove(&key));
                }
                member.registration = registration;
                return;
            }
            // No observation of the previous process applies to this one, and its requests and
            // connections end with its key.
            self.withdraw(&registration.id);
        }
        let region = self
            .regions
            .get(&registration.zone)
            .unwrap_or(&registration.zone)
            .clone();
        let key = self.key_allocator.allocate();
        self.ids.insert(registration.id.clone(), key);
        self.services
            .entry(registration.service.clone())
            .or_default()
            .push(key);
        let member = Member {
            is_local: region == self.region,
            region,
            id_hash: xxh3_64(registration.id.as_bytes()),
            process,
            registration,
            in_flight: 0,
            report: None,
            slowdown_report: None,
            cold_until,
            last_cold_request: None,
            outlier_detector: OutlierDetector::new(),
            lapsed_until: None,
            returned_at: None,
            is_misdirected: false,
            service_time: None,
            measured_slowdown: 1.0,
            silent_since: None,
            unanswered: 0,
            overdue: 0,
            heard_at: None,
            unread: Vec::new(),
            reported_silent_until: None,
            answered_elsewhere_at: None,
            question: None,
            asked_at: None,
            replied_until: None,
            doubted_until: None,
            is_silence_noted: false,
            silence_told_at: None,
            recheck: Recheck::default(),
            connect_failed_at: None,
            rest: Rest::default(),
            full_at: None,
        };
        self.members.insert(key, member);
        self.add_to_rankings(key);
    }

    /// Removes a target, without remembering its process.
    pub fn withdraw(&mut self, id: &str) {
        let Some(key) = self.ids.remove(id) else {
            return;
        };
        let Some(member) = self.members.remove(&key) else {
            return;
        };
        if member.lapsed_until.is_some() {
            decrement_lapsed_count(&mut self.lapsed_counts, member.service());
        }
        self.throttle.remove_target(member.digest());
        if let Some(keys) = self.services.get_mut(member.service()) {
            keys.retain(|other| *other != key);
        }
        self.remove_from_rankings(member.service(), key);
    }

    /// Returns the service of a target.
    pub fn service_of(&self, id: &str) -> Option<&Arc<str>> {
        let member = self.members.get(self.ids.get(id)?)?;
        Some(member.service())
    }

    /// Returns the services that would lose most of their targets that are not leaving if the
    /// targets `ids` were removed. That many targets do not leave at the same time, so the caller
    /// should not remove them at once.
    pub fn services_losing_most<'a>(
        &self,
        ids: impl Iterator<Item = &'a str>,
    ) -> BTreeSet<Arc<str>> {
        let leaving: BTreeSet<_> = ids.filter_map(|id| self.ids.get(id)).collect();
        let is_staying = |key: &&TargetKey| {
            let member = self.members.get(key);
            member.is_some_and(|member| !self.is_leaving(member))
        };
        let loses_most = |keys: &[TargetKey]| {
            let total = keys.iter().filter(is_staying).count();
            let leaving = keys
                .iter()
                .filter(is_staying)
                .filter(|key| leaving.contains(key));
            2 * leaving.count() > total
        };
        let services = self.services.iter();
        services
            .filter(|(_, keys)| loses_most(keys))
            .map(|(service, _)| service.clone())
            .collect()
    }

    /// Keeps a target whose registration expired while the store was unavailable; it is removed at
    /// `until` unless it registers again.
    pub fn mark_lapsed(&mut self, id: &str, until: Instant) {
        let key = self.ids.get(id);
        if let Some(member) = key.and_then(|key| self.members.get_mut(key)) {
            if member.lapsed_until.is_none() {
                *self
                    .lapsed_counts
                    .entry(member.service().clone())
                    .or_default() += 1;
            }
            member.lapsed_until.get_or_insert(until);
        }
    }

    /// Removes lapsed targets that did not register again, and returns their identities.
    pub fn expire(&mut self, now: Instant) -> Vec<Arc<str>> {
        if self.lapsed_counts.values().all(|count| *count == 0) {
            return Vec::new();
        }
        let expired: Vec<_> = self
            .members
            .values()
            .filter(|member| self.has_lapsed(now, member))
            .map(|member| member.id().clone())
            .collect();
        for id in &expired {
            self.remove(now, id);
        }
        expired
    }

    /// Returns how many targets were inspected during selection.
    pub fn inspected_targets(&self) -> u64 {
        self.inspected.get()
    }

    /// Returns the identities of all targets.
    pub fn ids(&self) -> impl Iterator<Item = &Arc<str>> {
        self.ids.keys()
    }

    /// Sets the availability zones that receive no requests. Targets of a zone that is removed from
    /// the set may be cold without reporting it, and count as cold for `cold_time`.
    pub fn set_evacuated_zones(
        &mut self,
        now: Instant,
        zones: BTreeSet<Arc<str>>,
        cold_time: Duration,
    ) {
        for member in self.members.values_mut() {
            let zone = &member.registration.zone;
            if self.evacuated_zones.contains(zone) && !zones.contains(zone) {
                member.cold_until = Some(duration::after(now, cold_time));
            }
        }
        self.evacuated_zones = zones;
    }

    /// Returns the availability zones that receive no requests.
    pub fn evacuated_zones(&self) -> &BTreeSet<Arc<str>> {
        &self.evacuated_zones
    }

    /// Sets the latency goal of a service.
    pub fn set_latency_goal(&mut self, service: Arc<str>, latency_goal: Duration) {
        self.latency_goals.insert(service, latency_goal);
    }

    /// Sets the share of its region's callers that connect to this host; `None` if it is not known.
    pub fn set_caller_share(&mut self, caller_share: Option<f64>) {
        self.caller_share = caller_share;
    }

    /// Counts a request at a target until [`Fleet::finish`].
    pub fn count_request(&mut self, now: Instant, key: TargetKey) {
        if let Some(member) = self.members.get_mut(&key) {
            member.begin_request(now);
        }
    }

    /// Selects a target and counts the request there until [`Fleet::finish`], regardless of the
    /// rate that the target announces.
    ///
    /// `is_connected` returns whether there is an idle connection to a target.
    pub fn choose(
        &mut self,
        now: Instant,
        query: &TargetQuery<'_>,
        is_connected: impl Fn(TargetKey) -> bool,
    ) -> Result<TargetKey, Refusal> {
        let (chosen, _) = self.propose(now, query, is_connected)?;
        self.begin(now, query, chosen);
        Ok(chosen)
    }

    /// Selects a target, and returns why the request may be sent there.
    /// [`Fleet::request_permission`] has to permit sending it.
    pub fn propose(
        &mut self,
        now: Instant,
        query: &TargetQuery<'_>,
        is_connected: impl Fn(TargetKey) -> bool,
    ) -> Result<(TargetKey, Assignment), Refusal> {
        self.query_count += 1;
        self.record_ask(now, query);
        let position = self.position(now, query);
        let picked = self.pick(now, query, position, &is_connected);
        let Err(refusal) = picked else {
            return picked;
        };
        // A request that would be refused in any case is not refused for its account's share.
        let is_for_share = refusal == Refusal::Full
            && self.is_share_used_up(now, query)
            && self
                .pick(now, query, self.rank_position(now, query), &is_connected)
                .is_ok();
        let refusal = if is_for_share {
            Refusal::FairShare
        } else {
            refusal
        };
        self.record_decision(now, query, Some(refusal));
        Err(refusal)
    }

    /// Counts a request at the target that was selected for it until [`Fleet::finish`].
    pub fn begin(&mut self, now: Instant, query: &TargetQuery<'_>, chosen: TargetKey) {
        self.record_decision(now, query, None);
        self.record_demand(now, query);
        if let Some(member) = self.members.get_mut(&chosen) {
            // Requests that are bound to regions are no measure of the drift of the others.
            let drift = self.drifts.get_mut(query.service);
            if let Some(drift) = drift.filter(|_| query.homes.is_empty()) {
                drift.record_request(now, member.region != self.region);
            }
            member.begin_request(now);
            if member.is_cold(now) {
                member.last_cold_request = Some(now);
            }
        }
    }

    /// Describes the first choices of a request and their estimated load, for the log.
    pub fn describe_choices(&self, now: Instant, query: &TargetQuery<'_>) -> String {
        let choices = self.first_choices(now, query);
        let holders = self.holder_count(now, query);
        let holders = holders.map(|holders| format!("popular object with {holders} holders"));
        let descriptions = choices.keys().filter_map(|key| {
            let member = self.members.get(&key)?;
            let report = member.report.map_or("never".into(), |report| {
                let age = now.saturating_duration_since(report.received);
                format!("{} ms ago", age.as_millis())
            });
            let rate = self.throttle.rate(member.digest());
            let rate = rate.map_or(String::new(), |rate| format!(", takes {rate} a second"));
            let slowdown = member.slowdown(now);
            let speed = if slowdown == 1.0 {
                String::new()
            } else {
                format!(", takes {slowdown:.1} times as long as usual")
            };
            Some(format!(
                "{} in {} has {:.1} of {} slots, {} of this host, load reported {report}{rate}{speed}",
                member.id(),
                member.region,
                self.load(now, member),
                member.registration.slots,
                member.in_flight,
            ))
        });
        let descriptions = descriptions.chain(holders);
        descriptions.collect::<Vec<_>>().join("; ")
    }

    /// Returns the estimated state of each target, for metrics.
    pub fn estimates(&self, now: Instant) -> impl Iterator<Item = TargetEstimate<'_>> {
        self.members.values().map(move |member| TargetEstimate {
            target: member.id(),
            service: member.service(),
            load: self.load(now, member),
            service_time: member.service_time(now, self.stats(member.service()).service_time),
            slowdown: member.slowdown(now),
            is_in_use: member.outlier_detector.is_in_use(),
            is_leaving: self.is_leaving(member),
            rest_left: member.rest.time_left(now).unwrap_or_default(),
            rate: self.throttle.rate(member.digest()),
            cold_rate: member.is_cold(now).then(|| self.cold_rate(member)),
        })
    }

    /// Returns the key of a target.
    pub fn key(&self, id: &str) -> Option<TargetKey> {
        self.ids.get(id).copied()
    }

    /// Returns a target, unless it was removed.
    pub fn member(&self, key: TargetKey) -> Option<&Member> {
        self.members.get(&key)
    }

    /// Whether another target of the same service and region may be ejected. Most have to stay: if
    /// all of them fail, ejecting them does not remove the cause.
    fn may_eject(&self, key: TargetKey) -> bool {
        let Some(member) = self.members.get(&key) else {
            return false;
        };
        let keys = self.services.get(member.service()).into_iter().flatten();
        let same_region = keys
            .filter_map(|key| self.members.get(key))
            .filter(|other| other.region == member.region);
        let (mut total, mut ejected) = (0, 0);
        for other in same_region {
            total += 1;
            ejected += usize::from(!other.outlier_detector.is_in_use());
        }
        (ejected + 1) * 2 <= total
    }

    /// Records how a request ended. Returns the change of its target's ejection state, if any.
    pub fn finish(
        &mut self,
        now: Instant,
        key: TargetKey,
        end: End,
        observation: Observation,
        rng: &mut impl Rng,
    ) -> Option<EjectionChange> {
        if let (End::Answered, Some(response_time)) = (end, observation.response_time) {
            self.record_answer(now, key, response_time, &observation);
        }
        self.record_reach(now, key, end);
        let load = observation.load;
        if end == End::TimedOut {
            self.record_timeout(now, key);
        }
        // The other process at the address, or the other request, has another load.
        if let Some(slowdown) = self
            .reported_slowdown(load)
            .filter(|_| !matches!(end, End::Misdirected | End::Stray))
        {
            self.record_slowdown(now, key, slowdown);
        }
        let silence_limit = self.silence_limit(self.members.get(&key)?.service());
        let member = self.members.get_mut(&key)?;
        let is_unheard = matches!(
            end,
            End::Cancelled | End::Recalled | End::Silent | End::TimedOut
        );
        if is_unheard {
            member.record_unanswered(now, silence_limit);
        } else {
            member.record_sign_of_life(now);
        }
        member.in_flight = member.in_flight.saturating_sub(1);
        if matches!(end, End::Answered | End::Failed) {
            let slots = member.registration.slots;
            member.rest.record_answer(now, slots);
        }
        match end {
            End::Unreached => member.connect_failed_at = Some(now),
            _ if is_unheard => {}
            _ => member.connect_failed_at = None,
        }
        if let Some(load) = load {
            let total = load.running.saturating_add(load.waiting);
            let other_requests = total.saturating_sub(member.in_flight);
            member.report = Some(LoadReport {
                received: now,
                other_requests,
            });
            let (service, region) = (member.service().clone(), member.region.clone());
            self.record_load(now, service, region, other_requests);
        }
        let member = self.members.get_mut(&key)?;
        let outcome = match end {
            End::Answered => Outcome::Good,
            End::Failed | End::Unreached | End::Closed | End::Broken | End::Stray | End::Silent => {
                Outcome::Bad
            }
            End::Misdirected => {
                member.is_misdirected = true;
                return None;
            }
            End::Refused | End::TimedOut | End::Cancelled | End::Recalled => return None,
        };
        if outcome == Outcome::Bad && !self.reaches_targets() {
            return None;
        }
        let member = self.members.get_mut(&key)?;
        if !member.outlier_detector.is_in_use() {
            let restored = member.outlier_detector.record_probe(now, outcome, rng);
            return restored.then_some(EjectionChange::Restored);
        }
        member.outlier_detector.record(outcome);
        let comparison = Comparison {
            latency_ratio: 1.0,
            latency_samples: 0,
            group_success_rate: 1.0,
            is_down: false,
            is_warming_up: member.is_cold(now),
        };
        let is_outlier = member.outlier_detector.is_outlier(&comparison);
        if !is_outlier || self.switches.ejection == Switch::Off || !self.may_eject(key) {
            return None;
        }
        self.members.get_mut(&key)?.outlier_detector.eject(now, rng);
        self.record_ejection(key);
        Some(EjectionChange::Ejected)
    }
}

/// Subtracts a lapsed target that has returned or was removed from the count of its service.
fn decrement_lapsed_count(lapsed_counts: &mut BTreeMap<Arc<str>, usize>, service: &Arc<str>) {
    if let Some(count) = lapsed_counts.get_mut(service) {
        *count = count.saturating_sub(1);
    }
}
