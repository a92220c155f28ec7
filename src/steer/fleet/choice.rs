//! Selection of the target of a request among the targets that it may use.
//!
//! These are the first target of the own region and the first one elsewhere by rendezvous hashing,
//! and targets that are known to have the object cached. Where both regions could serve a request,
//! the share that leaves the region changes slowly.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

use xxhash_rust::xxh3::xxh3_64;

use super::cost::Cost;
use super::member::Member;
use super::ranking::rendezvous_weight;
use super::sharing::Position;
use super::{Fleet, Refusal, TargetQuery};
use crate::border::settings::Switch;
use crate::duration;
use crate::inventory::TargetKey;
use crate::steer::drift::Drift;
use crate::steer::throttle::Assignment;

/// Share of its missing slots for which a region sends requests elsewhere from the start. It is
/// below one because regions need not have the same load, and a surplus returns. With 0.6 some 22
/// of 100 requests still changed their region within 2 s after the start, without it 39.
const MISSING_SLOTS_SHARE: f64 = 0.9;
/// Upper bound of the time of an object's first visit, in multiples of the latency goal.
const FIRST_VISIT_GOALS: f64 = 2.0;
/// Share of a region's slots that its requests may need while it still has ample capacity.
const LOW_USE_SHARE: f64 = 0.5;
/// Load up to which a target receives requests because it has their objects cached, beyond those
/// for which it is the first choice, as a share of its slots. A busier target gives them up, so
/// that the load spreads again: without this bound the days with the longest queues lost 0.005 of
/// the value of their answers, with it calm days gain 0.003.
const MAX_CACHED_LOAD: f64 = 0.7;
/// Share of a service's targets up to which targets missing in the store are taken to have left.
const MAX_DEPARTED_SHARE: f64 = 0.1;

/// The targets that a request may use by its key, and related state of their regions.
pub(super) struct Choices {
    /// First target of the own region.
    pub(super) local: Option<TargetKey>,
    /// First target of other regions.
    pub(super) remote: Option<TargetKey>,
    /// Those of them that a request uses only because preferred targets accept no more.
    overflow: Vec<TargetKey>,
    /// Slots of all usable targets of the own region, including those that are closed by their
    /// rates: rates change from moment to moment, and closed targets do not count as lost slots,
    /// which would let requests leave the region at once.
    local_slots: u32,
    /// Whether targets of the own region are closed by their rates.
    is_local_closed: bool,
    /// Time until the first target that is closed by its rate may open.
    opens_in: Option<Duration>,
}

impl Choices {
    /// Returns the first choices that exist.
    pub(super) fn keys(&self) -> impl Iterator<Item = TargetKey> {
        self.local.into_iter().chain(self.remote)
    }
}

/// Targets of a region in the order of rendezvous hashing, as far as it is needed.
#[derive(Default)]
struct Ranked {
    /// First target, and whether it announces a rate.
    first: Option<(u64, TargetKey, bool)>,
    /// First target that announces no rate.
    unlimited: Option<(u64, TargetKey)>,
    /// All targets that announce a rate.
    limited: Vec<(u64, TargetKey)>,
}

impl Ranked {
    /// Adds a target with its rendezvous weight.
    fn add(&mut self, weight: u64, key: TargetKey, is_limited: bool) {
        self.first = self.first.max(Some((weight, key, is_limited)));
        if is_limited {
            self.limited.push((weight, key));
        } else {
            self.unlimited = self.unlimited.max(Some((weight, key)));
        }
    }
}

/// The stored ranking does not determine the choices.
struct Inconclusive;

/// Reasons for which otherwise usable targets of a service are skipped.
pub(super) struct Exclusions {
    /// Maximum time without an answer.
    silence_limit: Option<Duration>,
    /// Whether targets that are missing in the store are skipped.
    excludes_lapsed: bool,
}

impl Exclusions {
    /// Whether none of the reasons applies to a target.
    pub(super) fn admits(&self, now: Instant, member: &Member) -> bool {
        let is_missing = self.excludes_lapsed && member.lapsed_until.is_some();
        !(is_missing
            || member.is_silent(now, self.silence_limit)
            || member.is_doubted(now)
            || member.is_unreachable(now))
    }
}

/// Replaces the target with the lowest cost so far if another one costs less.
fn keep_lowest(lowest: &mut Option<(f64, TargetKey)>, cost: f64, key: TargetKey) {
    if lowest.is_none_or(|(known, _)| cost.total_cmp(&known).is_lt()) {
        *lowest = Some((cost, key));
    }
}

impl Fleet {
    /// Returns the target that is expected to answer first, among those that a request may use and
    /// that have room.
    pub(super) fn pick(
        &mut self,
        now: Instant,
        query: &TargetQuery<'_>,
        position: Position,
        is_connected: impl Fn(TargetKey) -> bool,
    ) -> Result<(TargetKey, Assignment), Refusal> {
        self.ensure_ranking(query);
        self.refresh_slot_count(now, query);
        let holders = self.prepare_holders(now, query);
        let choices = self.first_choices(now, query);
        let first = [choices.local, choices.remote];
        if first == [None; 2] {
            return Err(match choices.opens_in {
                Some(_) => Refusal::Full,
                None => Refusal::NoTarget,
            });
        }
        let has_no_local = choices.local.is_none() && !choices.is_local_closed;
        let (local_slots, mut overflow) = (choices.local_slots, choices.overflow);
        let mut usable: Vec<TargetKey> = first.into_iter().flatten().collect();
        let popular = holders.map(|holders| self.popular_choices(now, query, position, holders));
        let mut choices = match popular.filter(|popular| !popular.targets.is_empty()) {
            Some(mut popular) => {
                self.record_full_targets(now, &usable);
                overflow.extend(popular.overflow);
                // The holders of a popular object have the same cost while none has a queue.
                let by_load = |one: &TargetKey, other: &TargetKey| {
                    let [one, other] = [one, other].map(|key| self.load_share(now, *key));
                    one.total_cmp(&other)
                };
                popular.targets.sort_by(by_load);
                popular.targets
            }
            None => {
                usable.extend(self.caching_targets(now, query, &first));
                self.record_full_targets(now, &usable);
                usable.retain(|key| self.has_room(now, *key, position));
                usable
            }
        };
        if self.switches.drift == Switch::On && !has_no_local {
            choices = self.limit_drift(now, query, choices, local_slots);
        }
        self.cheapest(&choices, |key| {
            self.cost_terms(now, key, query, is_connected(key))
        })
        .map(|key| {
            let is_overflow = overflow.contains(&key);
            (
                key,
                if is_overflow {
                    Assignment::Overflow
                } else {
                    Assignment::Primary
                },
            )
        })
        .ok_or(Refusal::Full)
    }

    /// Returns the target with the lowest cost. The current speed of targets decides within a region
    /// only: slow periods are short, and the objects of requests that left would be cold elsewhere.
    fn cheapest(
        &self,
        choices: &[TargetKey],
        cost: impl Fn(TargetKey) -> Option<Cost>,
    ) -> Option<TargetKey> {
        let (mut best, mut usually_best) = (None, None);
        for key in choices {
            if let Some(cost) = cost(*key) {
                keep_lowest(&mut best, cost.total(), *key);
                keep_lowest(&mut usually_best, cost.usual(), *key);
            }
        }
        let (best, usually_best) = (best?.1, usually_best?.1);
        if best == usually_best || self.is_local(best) || !self.is_local(usually_best) {
            return Some(best);
        }
        let mut best_local = None;
        for key in choices.iter().filter(|key| self.is_local(**key)) {
            if let Some(cost) = cost(*key) {
                keep_lowest(&mut best_local, cost.total(), *key);
            }
        }
        best_local.map(|(_, key)| key)
    }

    /// Returns the targets with room that a request may use without moving too much of a region's
    /// load at once. `local_slots` are all usable slots of the own region: when some of them are
    /// lost, their requests leave at once.
    fn limit_drift(
        &mut self,
        now: Instant,
        query: &TargetQuery<'_>,
        choices: Vec<TargetKey>,
        local_slots: u32,
    ) -> Vec<TargetKey> {
        let (local, remote): (Vec<_>, Vec<_>) =
            choices.iter().partition(|key| self.is_local(**key));
        let drift_key = self.drift_key(now, query);
        let drift = self.drift(now, query.service);
        let has_lost = drift.detect_slot_loss(now, local_slots);
        if remote.is_empty() || (local.is_empty() && has_lost) {
            choices
        } else if !local.is_empty() && drift.has_to_leave(now, drift_key) {
            remote
        } else if drift.may_leave(now) {
            choices
        } else {
            // No target if the local ones are full: overflow beyond the drift is refused. Without
            // this a burst of three times a region's usual load moved 22 in 100 of its requests
            // away within 2 s, with it 12 (replay in virtual time).
            local
        }
    }

    /// Returns the drift of a service, which starts with the share of slots that its region is
    /// missing.
    fn drift(&mut self, now: Instant, service: &Arc<str>) -> &mut Drift {
        if !self.drifts.contains_key(service) {
            let missing_share = self.missing_share(service);
            let drift = Drift::new(now).with_initial_share(missing_share);
            self.drifts.insert(service.clone(), drift);
        }
        let (latency_goal, caller_share) =
            (self.latency_goals.get(service).copied(), self.caller_share);
        let local_slots = self.counted_slots(service).unwrap_or_default();
        let drift = self.drifts.entry(service.clone());
        let drift = drift.or_insert_with(|| Drift::new(now));
        drift.review_initial_share(now, |rate| {
            let needed_slots =
                latency_goal
                    .zip(caller_share)
                    .map(|(latency_goal, caller_share)| {
                        // Estimates the requests of the whole region, as if each were a first visit.
                        rate / caller_share * latency_goal.as_secs_f64() * FIRST_VISIT_GOALS
                    });
            needed_slots
                .is_some_and(|needed_slots| needed_slots < f64::from(local_slots) * LOW_USE_SHARE)
        });
        drift
    }

    /// Returns the time until one of the first choices of a request is expected to have room for
    /// it.
    pub fn time_until_room(&self, now: Instant, query: &TargetQuery<'_>) -> Duration {
        let stats = self.stats(query.service);
        let choices = self.first_choices(now, query);
        let position = self.position(now, query);
        let wait_times = choices.keys().filter_map(|key| {
            let member = self.members.get(&key)?;
            let slots = f64::from(member.registration.slots.max(1));
            let queued = (self.load(now, member) + 1.0
                - slots * self.load_limit(now, member, position))
            .max(0.0);
            Some(queued * member.current_service_time(now, stats.service_time) / slots)
        });
        let opens_in = choices.opens_in.map(|time| time.as_secs_f64());
        let shortest = wait_times.chain(opens_in).min_by(f64::total_cmp);
        duration::from_seconds(shortest.unwrap_or_default())
    }

    /// Whether a target is in the own region.
    fn is_local(&self, key: TargetKey) -> bool {
        let member = self.members.get(&key);
        member.is_some_and(|member| member.is_local)
    }

    /// Returns further targets that are known to have the object of a request cached.
    fn caching_targets(
        &self,
        now: Instant,
        query: &TargetQuery<'_>,
        first: &[Option<TargetKey>],
    ) -> Vec<TargetKey> {
        let object = query.object.filter(|_| self.switches.warmth == Switch::On);
        let exclusions = self.exclusions(query.service);
        object
            .into_iter()
            .flat_map(|object| self.object_locations.holders(object))
            .filter(|key| !first.contains(&Some(*key)) && !query.tried.contains(key))
            .filter(|key| {
                let member = self.members.get(key);
                member.is_some_and(|member| {
                    let limit = f64::from(member.registration.slots) * MAX_CACHED_LOAD;
                    self.load(now, member) < limit
                        && self.accepts_requests(now, member, query.homes)
                        && self.closed_for(now, member, Assignment::Primary).is_none()
                        && exclusions.admits(now, member)
                })
            })
            .collect()
    }

    /// Returns the share of a service's requests that the targets of the own region are expected to
    /// have no slots for, before anything was sent.
    fn missing_share(&self, service: &str) -> f64 {
        let mut slots_by_region: BTreeMap<&str, f64> = BTreeMap::new();
        for key in self.services.get(service).into_iter().flatten() {
            if let Some(member) = self.members.get(key) {
                let region_slots = slots_by_region.entry(&member.region).or_default();
                *region_slots += f64::from(member.registration.slots);
            }
        }
        let own_slots = slots_by_region
            .get(&*self.region)
            .copied()
            .unwrap_or_default();
        let mean = slots_by_region.values().sum::<f64>() / slots_by_region.len().max(1) as f64;
        if own_slots >= mean {
            return 0.0;
        }
        (1.0 - own_slots / mean) * MISSING_SLOTS_SHARE
    }

    /// Returns the first choices for a key. Targets that would be skipped are used only where there
    /// are no others.
    pub(super) fn first_choices(&self, now: Instant, query: &TargetQuery<'_>) -> Choices {
        let exclusions = self.exclusions(query.service);
        let admits = |member: &Member| {
            self.accepts_requests(now, member, query.homes) && exclusions.admits(now, member)
        };
        if let Ok(choices) = self.ranked_choices(query, admits) {
            return choices;
        }
        let preferred = self.computed_choices(now, query, admits);
        if preferred.keys().next().is_some() || preferred.opens_in.is_some() {
            return preferred;
        }
        self.computed_choices(now, query, |member| {
            self.accepts_requests(now, member, query.homes)
        })
    }

    /// Returns the first choices from the stored ranking of a key, if it determines them.
    fn ranked_choices(
        &self,
        query: &TargetQuery<'_>,
        may_use: impl Fn(&Member) -> bool,
    ) -> Result<Choices, Inconclusive> {
        let ranking = self.ranking(query).ok_or(Inconclusive)?;
        let local_slots = self.counted_slots(query.service).ok_or(Inconclusive)?;
        let local = self.first_usable(ranking.side(true), query, &may_use)?;
        let remote = match self.switches.far {
            Switch::On => self.first_usable(ranking.side(false), query, &may_use)?,
            Switch::Off => None,
        };
        if local.is_none() && remote.is_none() {
            return Err(Inconclusive);
        }
        let may_stay = query.homes.is_empty() || query.homes.contains(&self.region);
        Ok(Choices {
            local,
            remote,
            overflow: Vec::new(),
            local_slots: if may_stay { local_slots } else { 0 },
            is_local_closed: false,
            opens_in: None,
        })
    }

    /// Returns the first usable target of a stored ranking. The result is inconclusive if that
    /// target announces a rate, since its successor then depends on the rates of other targets.
    fn first_usable(
        &self,
        (targets, is_complete): (&[TargetKey], bool),
        query: &TargetQuery<'_>,
        may_use: impl Fn(&Member) -> bool,
    ) -> Result<Option<TargetKey>, Inconclusive> {
        for key in targets {
            self.inspected.set(self.inspected.get() + 1);
            let Some(member) = self.members.get(key) else {
                continue;
            };
            if may_use(member) && !query.tried.contains(key) {
                return if self.is_limited(member) {
                    Err(Inconclusive)
                } else {
                    Ok(Some(*key))
                };
            }
        }
        if is_complete {
            Ok(None)
        } else {
            Err(Inconclusive)
        }
    }

    /// Counts the slots of targets of the own region that a request without home regions may use.
    pub(super) fn count_local_slots(&self, now: Instant, query: &TargetQuery<'_>) -> u32 {
        let exclusions = self.exclusions(query.service);
        let keys = self.services.get(query.service).into_iter().flatten();
        let members = keys.filter_map(|key| self.members.get(key));
        let any_region = BTreeSet::new();
        members
            .inspect(|_| self.inspected.set(self.inspected.get() + 1))
            .filter(|member| member.is_local)
            .filter(|member| {
                self.accepts_requests(now, member, &any_region) && exclusions.admits(now, member)
            })
            .map(|member| member.registration.slots)
            .fold(0, u32::saturating_add)
    }

    /// Returns the reasons for which targets of a service are skipped while there are others.
    ///
    /// If only a few targets are missing in the store they have more likely left than lapsed by an
    /// outage of the store. Hosts that lost the store can't distinguish the two cases, and targets
    /// that have left should receive no requests until it is known whether they return.
    pub(super) fn exclusions(&self, service: &str) -> Exclusions {
        let lapsed = self.lapsed_counts.get(service).copied().unwrap_or_default();
        let count = self.services.get(service).map_or(0, Vec::len);
        Exclusions {
            silence_limit: self.silence_limit(service),
            excludes_lapsed: lapsed as f64 <= count as f64 * MAX_DEPARTED_SHARE,
        }
    }

    /// Computes the first choices among all targets of a service.
    fn computed_choices(
        &self,
        now: Instant,
        query: &TargetQuery<'_>,
        may_use: impl Fn(&Member) -> bool,
    ) -> Choices {
        let affinity_key = match self.switches.affinity {
            Switch::On => query.affinity_key,
            Switch::Off => xxh3_64(&self.query_count.to_le_bytes()),
        };
        let (mut local, mut remote) = (Ranked::default(), Ranked::default());
        let mut local_slots = 0_u32;
        for key in self.services.get(query.service).into_iter().flatten() {
            self.inspected.set(self.inspected.get() + 1);
            let Some(member) = self.members.get(key) else {
                continue;
            };
            if !may_use(member) {
                continue;
            }
            let is_local = member.is_local;
            if is_local {
                local_slots = local_slots.saturating_add(member.registration.slots);
            }
            if query.tried.contains(key) {
                continue;
            }
            let weight = rendezvous_weight(affinity_key, member.id_hash);
            if is_local {
                local.add(weight, *key, self.is_limited(member));
            } else if self.switches.far == Switch::On {
                remote.add(weight, *key, self.is_limited(member));
            }
        }
        let mut choices = Choices {
            local: None,
            remote: None,
            overflow: Vec::new(),
            local_slots,
            is_local_closed: false,
            opens_in: None,
        };
        choices.local = self.first_open(now, local, &mut choices);
        choices.is_local_closed = choices.opens_in.is_some();
        choices.remote = self.first_open(now, remote, &mut choices);
        choices
    }

    /// Returns the target of a region that a request is sent to, among those that are open: the
    /// first one for its object, else the first one that announces no rate, else any with capacity
    /// that its own objects do not need.
    fn first_open(&self, now: Instant, ranked: Ranked, choices: &mut Choices) -> Option<TargetKey> {
        let Ranked {
            first,
            unlimited,
            limited,
        } = ranked;
        let (_, first, is_limited) = first?;
        if !is_limited || self.is_open_for(now, first, Assignment::Primary, choices) {
            return Some(first);
        }
        if let Some((_, unlimited)) = unlimited {
            return Some(unlimited);
        }
        let mut overflow = limited;
        overflow.sort_unstable_by(|one, other| other.cmp(one));
        let overflow_target = overflow
            .into_iter()
            .map(|(_, key)| key)
            .filter(|key| *key != first)
            .find(|key| self.is_open_for(now, *key, Assignment::Overflow, choices));
        choices.overflow.extend(overflow_target);
        overflow_target
    }

    /// Whether a target is open for a request. If not, records in `choices` when it may open.
    fn is_open_for(
        &self,
        now: Instant,
        key: TargetKey,
        assignment: Assignment,
        choices: &mut Choices,
    ) -> bool {
        let member = self.members.get(&key);
        let closed = member.and_then(|member| self.closed_for(now, member, assignment));
        if closed.is_some() {
            choices.opens_in = choices.opens_in.into_iter().chain(closed).min();
        }
        closed.is_none()
    }

    /// Whether a target may receive new requests at all.
    pub(super) fn accepts_requests(
        &self,
        now: Instant,
        member: &Member,
        homes: &BTreeSet<Arc<str>>,
    ) -> bool {
        if !self.is_available(member) || self.has_lapsed(now, member) {
            return false;
        }
        if !(homes.is_empty() || homes.contains(&member.region)) {
            return false;
        }
        let may_probe = member.outlier_detector.is_probe_due(now) && member.in_flight == 0;
        if !member.outlier_detector.is_in_use() && !may_probe {
            return false;
        }
        let ignores_cold_rate = self.switches.cold_rate == Switch::Off;
        ignores_cold_rate || !member.is_cold(now) || self.may_use_cold(now, member)
    }

    /// Whether a target's load is below the admission limit of a request.
    pub(super) fn has_room(&self, now: Instant, key: TargetKey, position: Position) -> bool {
        if self.switches.early_refusal == Switch::Off {
            return true;
        }
        self.members.get(&key).is_some_and(|member| {
            let max_load =
                f64::from(member.registration.slots) * self.load_limit(now, member, position);
            self.load(now, member) < max_load
        })
    }
}
