//! Demand for the most requested objects of a service, and the number of targets that should have
//! each of them cached.
//!
//! The demand is estimated by a sketch with a fixed number of counters, grouped in sets by the hash
//! of the object: in a full set an object without a counter replaces the one with the lowest count.
//! Counts decay exponentially. A fast one detects within half a second that an object has become
//! popular, a slow one measures demand of which this host receives few requests.

use std::sync::Arc;
use std::time::{Duration, Instant};

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::sharing::Position;
use super::{Fleet, TargetQuery};
use crate::border::settings::Switch;
use crate::inventory::TargetKey;
use crate::steer::throttle::Assignment;

/// Sets of counters, and counters of each set: some 90 KB for each service.
const SETS: usize = 256;
const COUNTERS_PER_SET: usize = 4;
/// Time constants of the two counts, in seconds. One decay is the sixth power of the other, so
/// that one exponential yields both.
const SLOW_TIME_S: f64 = 6.0;
const FAST_TIME_S: f64 = 1.0;
/// Time since an object was first requested, in seconds, for which its count is taken to stand at
/// least: a few requests at once are no rate.
const MIN_AGE_S: f64 = 0.5;
/// Count from which an object may be popular: callers of an object that is seldom requested may
/// send bursts of five requests.
const MIN_COUNT: f64 = 6.0;
/// Standard deviations by which the fast count, which is noisy, is reduced.
const FAST_COUNT_MARGIN: f64 = 1.0;
/// Share of their slots that the requests of a popular object may fill at its holders: the other
/// slots serve other objects and fluctuations.
const FILLED_SLOTS_SHARE: f64 = 0.33;
/// Share of the slots of one target that an object has to fill for several holders. An object that
/// fills less gains less from a second holder than the first visits there cost.
const MIN_POPULAR_SHARE: f64 = 0.45;
/// Targets that are inspected at most beyond twice the holders when none of them has room, so that a
/// choice takes bounded time while all targets are full.
const MAX_INSPECTED: usize = 8;
/// Time for which an object keeps its holders after the demand has fallen: load peaks return, and
/// each new holder costs a first visit.
const HOLD_TIME: Duration = Duration::from_secs(3);

/// Holders in the own region that a choice compares. Load reports lag, so hosts that compared all of
/// them would send their requests to the same one at the same time.
const LOCAL_SAMPLES: usize = 2;

/// Decaying request counts of one object at this host.
#[derive(Clone, Copy, Debug)]
struct Counter {
    object: u64,
    affinity_key: u64,
    fast: f64,
    slow: f64,
    first_at: Instant,
    counted_at: Instant,
    /// Number of holders, and when the demand last called for as many.
    holders: usize,
    needed_at: Instant,
}

impl Counter {
    fn new(now: Instant, object: u64, affinity_key: u64) -> Self {
        Self {
            object,
            affinity_key,
            fast: 0.0,
            slow: 0.0,
            first_at: now,
            counted_at: now,
            holders: 1,
            needed_at: now,
        }
    }

    /// Returns the factor by which the slow count has decayed since the last request.
    fn decay(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.counted_at);
        (-age.as_secs_f64() / SLOW_TIME_S).exp()
    }

    fn count(&mut self, now: Instant) {
        let decay = self.decay(now);
        self.slow = self.slow * decay + 1.0;
        self.fast = self.fast * decay.powi(6) + 1.0;
        self.counted_at = now;
    }

    /// Returns the requests a second, as of the last request; zero while there were too few.
    fn rate(&self) -> f64 {
        if self.slow < MIN_COUNT {
            return 0.0;
        }
        let certain = self.fast - FAST_COUNT_MARGIN * self.fast.sqrt();
        let age = self.counted_at.saturating_duration_since(self.first_at);
        let age = age.as_secs_f64().max(MIN_AGE_S) / FAST_TIME_S;
        // A count has its full weight only after several time constants.
        let span = FAST_TIME_S * (1.0 - (-age).exp());
        (certain / span).max(self.slow / SLOW_TIME_S)
    }

    /// Updates the number of holders. It grows at once and shrinks after [`HOLD_TIME`].
    fn update_holders(&mut self, now: Instant, needed: usize) {
        let is_held = now.saturating_duration_since(self.needed_at) < HOLD_TIME;
        if needed >= self.holders || !is_held {
            self.holders = needed;
            self.needed_at = now;
        }
    }

    /// Whether the object has several holders.
    fn is_popular(&self, now: Instant) -> bool {
        self.holders > 1 && now.saturating_duration_since(self.counted_at) < HOLD_TIME
    }
}

/// What one request demands of the targets of a region.
#[derive(Clone, Copy, Debug)]
struct Demand {
    /// Time in seconds for which a request for a cached object occupies a slot, divided by the
    /// slots of a target.
    time_per_slot: f64,
    /// Share of the region's requests that this host receives.
    caller_share: f64,
    /// Number of targets whose slots an object has to fill for several holders.
    min_targets: f64,
    /// Upper bound of the number of holders.
    max_holders: usize,
}

/// The demand for the objects of one service, at this host.
#[derive(Clone, Debug, Default)]
pub(super) struct Popularity {
    /// Allocated at the first request, [`COUNTERS_PER_SET`] for each set.
    counters: Vec<Option<Counter>>,
}

impl Popularity {
    /// Counts a request, and updates the number of holders of its object.
    fn record(&mut self, now: Instant, (object, affinity_key): (u64, u64), demand: Demand) {
        if self.counters.is_empty() {
            self.counters = vec![None; SETS * COUNTERS_PER_SET];
        }
        let Some(counter) = self.counter_mut(now, object, affinity_key) else {
            return;
        };
        counter.count(now);
        let busy_targets = counter.rate() / demand.caller_share * demand.time_per_slot;
        let needed = if busy_targets > demand.min_targets {
            (busy_targets / FILLED_SLOTS_SHARE).ceil() as usize
        } else {
            1
        };
        // Doubling bounds the first visits that a short burst can cause.
        let max_holders = demand.max_holders.min(2 * counter.holders).max(1);
        counter.update_holders(now, needed.clamp(1, max_holders));
    }

    /// Returns the counter of an object, which replaces the one with the lowest count if there is
    /// none.
    fn counter_mut(
        &mut self,
        now: Instant,
        object: u64,
        affinity_key: u64,
    ) -> Option<&mut Counter> {
        let set = &mut self.counters[set_range(object)];
        let known = set
            .iter()
            .position(|counter| counter.is_some_and(|counter| counter.object == object));
        let position = known.or_else(|| {
            let count = |counter: &Option<Counter>| {
                counter.map_or(0.0, |counter| counter.slow * counter.decay(now))
            };
            let counts = set.iter().map(count).enumerate();
            counts
                .min_by(|(_, one), (_, other)| one.total_cmp(other))
                .map(|(position, _)| position)
        })?;
        let counter = set.get_mut(position)?;
        if known.is_none() {
            *counter = Some(Counter::new(now, object, affinity_key));
        }
        counter.as_mut()
    }

    /// Returns the affinity key and the number of holders of an object if it is popular.
    fn holders(&self, now: Instant, object: u64) -> Option<(u64, usize)> {
        let set = self.counters.get(set_range(object))?;
        let counter = set
            .iter()
            .flatten()
            .find(|counter| counter.object == object)?;
        let is_popular = counter.is_popular(now);
        is_popular.then_some((counter.affinity_key, counter.holders))
    }

    /// Returns the number of popular objects, and the sum of their holders.
    fn totals(&self, now: Instant) -> (usize, usize) {
        let counters = self.counters.iter().flatten();
        let popular = counters.filter(|counter| counter.is_popular(now));
        popular.fold((0, 0), |(objects, holders), counter| {
            (objects + 1, holders + counter.holders)
        })
    }
}

/// Returns the positions of the counters that an object may have.
fn set_range(object: u64) -> std::ops::Range<usize> {
    let start = object as usize % SETS * COUNTERS_PER_SET;
    start..start + COUNTERS_PER_SET
}

/// Popular objects of one service, for metrics.
#[derive(Clone, Copy, Debug)]
pub struct PopularObjects<'a> {
    /// The service.
    pub service: &'a Arc<str>,
    /// Number of objects that have several holders.
    pub objects: usize,
    /// Sum of their holders.
    pub holders: usize,
}

impl PopularChoices {
    /// Adds the target at a place of a ranking, if there is one.
    fn add(&mut self, target: Option<(usize, TargetKey)>, holders: usize) {
        let Some((place, key)) = target else {
            return;
        };
        self.targets.push(key);
        if assignment(place, holders) == Assignment::Overflow {
            self.overflow.push(key);
        }
    }
}

/// Returns how the target at a place of a ranking serves a request for an object with `holders`.
fn assignment(place: usize, holders: usize) -> Assignment {
    if place < holders {
        Assignment::Primary
    } else {
        Assignment::Overflow
    }
}

/// How a request selects among the holders of one side of a ranking.
#[derive(Clone, Copy, Debug)]
struct Selection {
    /// Its position among those that share the capacity of targets.
    position: Position,
    /// Number of holders to compare.
    samples: usize,
    /// Hash by which these are drawn.
    draw: u64,
}

/// Targets that a request for a popular object may use.
#[derive(Debug, Default)]
pub(super) struct PopularChoices {
    /// Targets with room, of the own region and of others.
    pub(super) targets: Vec<TargetKey>,
    /// Those of them that are no holders of the object.
    pub(super) overflow: Vec<TargetKey>,
}

impl Fleet {
    /// Returns the popular objects of each service.
    pub fn popular_objects(&self, now: Instant) -> impl Iterator<Item = PopularObjects<'_>> {
        self.popularities.iter().map(move |(service, popularity)| {
            let (objects, holders) = popularity.totals(now);
            PopularObjects {
                service,
                objects,
                holders,
            }
        })
    }

    /// Counts a request that is sent to its first target. Requests that look for a target several
    /// times, since targets name rates, count once.
    pub(super) fn record_demand(&mut self, now: Instant, query: &TargetQuery<'_>) -> Option<()> {
        let object = query.object.filter(|_| self.uses_copies())?;
        if !query.tried.is_empty() {
            return None;
        }
        let first = self
            .ranking(query)
            .and_then(|ranking| ranking.side(true).0.first());
        let member = first.and_then(|key| self.members.get(key))?;
        let slots = f64::from(member.registration.slots.max(1));
        let hosts = self.region_host_count.max(1);
        let caller_share = self.caller_share.filter(|share| *share > 0.0);
        let stats = self.region_stats(member);
        let mean_load = stats.map_or(0.0, |stats| stats.reported_load(now));
        let demand = Demand {
            time_per_slot: self.stats(query.service).repeat_time() / slots,
            caller_share: caller_share.unwrap_or(1.0 / hosts as f64),
            // An object that loads a target no more than the others do makes no hot spot. While all
            // are busy, another holder would only add first visits.
            min_targets: MIN_POPULAR_SHARE.max(mean_load / slots),
            max_holders: self.services.get(query.service).map_or(1, Vec::len),
        };
        if !self.popularities.contains_key(query.service) {
            let popularity = Popularity::default();
            self.popularities.insert(query.service.clone(), popularity);
        }
        let popularity = self.popularities.get_mut(query.service)?;
        popularity.record(now, (object, query.affinity_key), demand);
        Some(())
    }

    /// Returns the number of holders that a request for a popular object may use, and ranks all
    /// targets for it.
    pub(super) fn prepare_holders(
        &mut self,
        now: Instant,
        query: &TargetQuery<'_>,
    ) -> Option<usize> {
        let holders = self.holder_count(now, query)?;
        self.ensure_complete_ranking(query);
        Some(holders)
    }

    /// Whether popular objects may have several holders.
    fn uses_copies(&self) -> bool {
        let switches = &self.switches;
        [switches.copies, switches.warmth, switches.affinity] == [Switch::On; 3]
    }

    /// Returns the number of holders of a request's object if it is popular.
    pub(super) fn holder_count(&self, now: Instant, query: &TargetQuery<'_>) -> Option<usize> {
        let object = query.object.filter(|_| self.uses_copies())?;
        let (_, holders) = self.popularities.get(query.service)?.holders(now, object)?;
        Some(holders)
    }

    /// Whether a target is a holder of a popular object in the own region. Hosts of a region use
    /// the same holders, so that another host's request has probably put the object in its cache.
    pub(super) fn is_shared_holder(
        &self,
        now: Instant,
        service: &Arc<str>,
        object: u64,
        key: TargetKey,
    ) -> bool {
        let popularity = self.popularities.get(service);
        let Some((affinity_key, holders)) =
            popularity.and_then(|popularity| popularity.holders(now, object))
        else {
            return false;
        };
        let ranking = self.rankings.get(service);
        let ranking = ranking.and_then(|rankings| rankings.complete(affinity_key));
        ranking.is_some_and(|ranking| {
            ranking
                .side(true)
                .0
                .iter()
                .take(holders)
                .any(|holder| *holder == key)
        })
    }

    /// Returns the number of targets that are stored as holders of an object: zero unless it is
    /// popular, else twice its holders, since a request may also use other targets.
    pub(super) fn max_holders(&self, now: Instant, service: &Arc<str>, object: u64) -> usize {
        let popularity = self.popularities.get(service);
        let popular = popularity.and_then(|popularity| popularity.holders(now, object));
        popular.map_or(0, |(_, holders)| 2 * holders)
    }

    /// Returns the key by which the drift decides whether a request has to leave its region. The
    /// requests for a popular object are divided, each by a hash of its own: the object's key alone
    /// would move all of them at once.
    pub(super) fn drift_key(&self, now: Instant, query: &TargetQuery<'_>) -> u64 {
        match self.holder_count(now, query) {
            Some(_) => self.draw(),
            None => query.affinity_key,
        }
    }

    /// Returns a hash that differs for each selection and host.
    fn draw(&self) -> u64 {
        xxh3_64_with_seed(&self.query_count.to_le_bytes(), self.own_host.name_hash)
    }

    /// Returns targets for a request for a popular object: some holders in the own region and one
    /// in other regions, selected at random, as far as they have room. If none in the own region
    /// has, it is the next target by hash that has; likewise elsewhere.
    pub(super) fn popular_choices(
        &self,
        now: Instant,
        query: &TargetQuery<'_>,
        position: Position,
        holders: usize,
    ) -> PopularChoices {
        let mut choices = PopularChoices::default();
        let Some(ranking) = self.complete_ranking(query) else {
            return choices;
        };
        let selection = Selection {
            position,
            samples: LOCAL_SAMPLES,
            draw: self.draw(),
        };
        let (local, _) = ranking.side(true);
        self.add_choices(now, query, (local, holders), selection, &mut choices);
        if self.switches.far == Switch::On {
            let (remote, _) = ranking.side(false);
            let selection = Selection {
                samples: 1,
                ..selection
            };
            self.add_choices(now, query, (remote, holders), selection, &mut choices);
        }
        choices
    }

    /// Adds targets of one side of a ranking to the choices of a request.
    fn add_choices(
        &self,
        now: Instant,
        query: &TargetQuery<'_>,
        (ranked, holders): (&[TargetKey], usize),
        selection: Selection,
        choices: &mut PopularChoices,
    ) {
        let holders = holders.min(ranked.len());
        let known = choices.targets.len();
        for position in sample_positions(selection.draw, holders, selection.samples) {
            // The next position takes the place of a holder that must not be used.
            let places = [position, position + holders];
            let usable = places
                .into_iter()
                .filter_map(|place| Some((place, *ranked.get(place)?)))
                .find(|(place, key)| self.is_usable(now, query, *key, assignment(*place, holders)));
            let with_room = usable.filter(|(_, key)| self.has_room(now, *key, selection.position));
            choices.add(with_room, holders);
        }
        if choices.targets.len() > known {
            return;
        }
        let inspected = ranked.iter().copied().take(2 * holders + MAX_INSPECTED);
        let with_room = inspected.enumerate().find(|(place, key)| {
            self.has_room(now, *key, selection.position)
                && (*place < holders || self.load_share(now, *key) < 1.0)
                && self.is_usable(now, query, *key, assignment(*place, holders))
        });
        choices.add(with_room, holders);
    }

    /// Returns the estimated load of a target as a share of its slots.
    pub(super) fn load_share(&self, now: Instant, key: TargetKey) -> f64 {
        self.members.get(&key).map_or(f64::INFINITY, |member| {
            self.load(now, member) / f64::from(member.registration.slots.max(1))
        })
    }

    /// Whether a request may use a target under all rules but that for full targets.
    fn is_usable(
        &self,
        now: Instant,
        query: &TargetQuery<'_>,
        key: TargetKey,
        assignment: Assignment,
    ) -> bool {
        self.inspected.set(self.inspected.get() + 1);
        let Some(member) = self.members.get(&key) else {
            return false;
        };
        !query.tried.contains(&key)
            && self.accepts_requests(now, member, query.homes)
            && self.closed_for(now, member, assignment).is_none()
            && self.exclusions(query.service).admits(now, member)
    }
}

/// Returns up to two different positions below `count`, which follow from a hash.
fn sample_positions(draw: u64, count: usize, samples: usize) -> impl Iterator<Item = usize> {
    let divisor = count.max(1);
    let first = draw as usize % divisor;
    let step = 1 + (draw >> 32) as usize % (divisor - 1).max(1);
    let positions = [first, (first + step) % divisor];
    positions.into_iter().take(samples.min(count))
}
