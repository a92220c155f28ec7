//! Which targets a request may use, and which of them takes it.
//!
//! The first of the own region and the first elsewhere by rendezvous hashing, and those that are known to have the object.
//! Where both regions could take a request, its part that goes away moves slowly.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

use xxhash_rust::xxh3::xxh3_64;

use super::member::Member;
use super::ranking::draw;
use super::{Ask, Fleet, Refusal};
use crate::border::settings::Switch;
use crate::inventory::{State, TargetKey};
use crate::steer::drift::Drift;
use crate::steer::throttle::Assignment;

/// The part of its missing slots for which a region sends requests elsewhere from the start. Not
/// all: regions need not have the same load, and what turns out to be too much comes back. With
/// 0.6 some 22 of 100 requests still changed their region within 2 s after the start, without it 39.
const LACKING: f64 = 0.9;
/// How many times the time within which an answer is good the first visit of an object takes, at the most.
const FIRST_VISIT: f64 = 2.0;
/// The part of its slots that a region may need and still has plenty.
const PLENTY: f64 = 0.5;
/// The part of its slots up to which a target gets requests beyond those for which it is the first choice, as it has
/// their objects. A busier one gives them up, so that the load spreads again: without this bound the days with
/// most queues lost 0.005 of their worth, with it calm days gain 0.003.
const AT_EASE: f64 = 0.7;
/// The part of a service's targets that may be missing in the store to count as having left.
const FEW: f64 = 0.1;

/// The targets that a request may use by its key, and what there is beside them.
pub(super) struct Choices {
    /// The first of the own region.
    pub(super) near: Option<TargetKey>,
    /// The first elsewhere.
    pub(super) far: Option<TargetKey>,
    /// Those of them that a request comes to only because others take no more.
    spills: Vec<TargetKey>,
    /// Slots of all targets of the own region that may be used, also of those that get nothing just now by their rates: a
    /// rate moves by the moment, and what is not sent there is no loss that may leave the region at once.
    slots: u32,
    /// Whether targets of the own region get nothing just now by their rates.
    is_near_closed: bool,
    /// When the first target that gets nothing just now by its rate may get something.
    opens_in: Option<Duration>,
}

impl Choices {
    /// Both, where there are such.
    pub(super) fn keys(&self) -> impl Iterator<Item = TargetKey> {
        self.near.into_iter().chain(self.far)
    }
}

/// The targets of a region in the order of rendezvous hashing, as far as it matters.
#[derive(Default)]
struct Ranked {
    /// The first one, and whether it names the rate that it takes.
    first: Option<(u64, TargetKey, bool)>,
    /// The first one that names none.
    free: Option<(u64, TargetKey)>,
    /// All that name one.
    limited: Vec<(u64, TargetKey)>,
}

impl Ranked {
    fn add(&mut self, draw: u64, key: TargetKey, is_limited: bool) {
        self.first = self.first.max(Some((draw, key, is_limited)));
        if is_limited {
            self.limited.push((draw, key));
        } else {
            self.free = self.free.max(Some((draw, key)));
        }
    }
}

/// What is remembered does not tell.
struct Unclear;

/// Why targets of a service may be passed over that are open otherwise.
struct Doubts {
    /// How long they may be silent.
    patience: Option<Duration>,
    /// Whether those that are missing in the store are passed over.
    lapsed: bool,
}

impl Doubts {
    fn is_sound(&self, now: Instant, member: &Member) -> bool {
        let is_missing = self.lapsed && member.lapsed.is_some();
        !(is_missing || member.is_silent(now, self.patience) || member.is_unreached(now))
    }
}

impl Fleet {
    /// The target that is expected to answer first, among those that a request may use and that have room.
    pub(super) fn pick(
        &mut self,
        now: Instant,
        ask: &Ask<'_>,
        connected: impl Fn(TargetKey) -> bool,
    ) -> Result<(TargetKey, Assignment), Refusal> {
        self.rank(ask);
        self.count_open(now, ask);
        let choices = self.first_choices(now, ask);
        let first = [choices.near, choices.far];
        if first == [None; 2] {
            return Err(match choices.opens_in {
                Some(_) => Refusal::Full,
                None => Refusal::NoTarget,
            });
        }
        let is_bare = choices.near.is_none() && !choices.is_near_closed;
        let (slots, spills) = (choices.slots, choices.spills);
        let mut choices: Vec<TargetKey> = first.into_iter().flatten().collect();
        choices.extend(self.holders(now, ask, &first));
        choices.retain(|key| self.has_room(now, *key));
        if self.switches.drift == Switch::On && !is_bare {
            choices = self.keep_to_drift(now, ask, choices, slots);
        }
        choices
            .into_iter()
            .map(|key| (self.cost(now, key, ask, connected(key)), key))
            .min_by(|(one, _), (other, _)| one.total_cmp(other))
            .map(|(_, key)| {
                let is_spill = spills.contains(&key);
                (
                    key,
                    if is_spill {
                        Assignment::Overflow
                    } else {
                        Assignment::Primary
                    },
                )
            })
            .ok_or(Refusal::Full)
    }

    /// Those of the targets with room that a request may use without moving too much of a region's load at once. `slots` are all
    /// that may be used in the own region: when some of them are lost, their requests leave at once.
    fn keep_to_drift(
        &mut self,
        now: Instant,
        ask: &Ask<'_>,
        choices: Vec<TargetKey>,
        slots: u32,
    ) -> Vec<TargetKey> {
        let (near, far): (Vec<_>, Vec<_>) = choices.iter().partition(|key| self.is_near(**key));
        let drift = self.drift(now, ask.service);
        let has_lost = drift.has_lost(now, slots);
        if far.is_empty() || (near.is_empty() && has_lost) {
            choices
        } else if !near.is_empty() && drift.holds(now, ask.key) {
            far
        } else if drift.may_leave(now) {
            choices
        } else {
            // Nothing, if the near ones are full: what overflows beyond the drift is refused. Without this a burst of three
            // times a region's usual load moved 22 in 100 of its requests away within 2 s, with it 12 (replay in virtual time).
            near
        }
    }

    /// The drift of a service, which begins with what its region lacks.
    fn drift(&mut self, now: Instant, service: &Arc<str>) -> &mut Drift {
        if !self.drifts.contains_key(service) {
            let part = self.lacking(service);
            let drift = Drift::new(now).with_part(part);
            self.drifts.insert(service.clone(), drift);
        }
        let (goal, share) = (self.goals.get(service).copied(), self.share);
        let slots = self.counted_slots(service).unwrap_or_default();
        let drift = self.drifts.entry(service.clone());
        let drift = drift.or_insert_with(|| Drift::new(now));
        drift.judge(now, |rate| {
            let need = goal.zip(share).map(|(goal, share)| {
                // All of the region's requests, as if each were a first visit.
                rate / share * goal.as_secs_f64() * FIRST_VISIT
            });
            need.is_some_and(|need| need < f64::from(slots) * PLENTY)
        });
        drift
    }

    /// The time until one of the first choices of a request is expected to have room for it.
    pub fn room_in(&self, now: Instant, ask: &Ask<'_>) -> Duration {
        let habit = self.habit(ask.service);
        let patience = habit.admission.patience();
        let choices = self.first_choices(now, ask);
        let waits = choices.keys().filter_map(|key| {
            let member = self.members.get(&key)?;
            let slots = f64::from(member.registration.slots.max(1));
            let excess = (member.load(now) + 1.0 - slots * patience).max(0.0);
            Some(excess * member.work(now, habit.work) / slots)
        });
        let opens_in = choices.opens_in.map(|time| time.as_secs_f64());
        let least = waits.chain(opens_in).min_by(f64::total_cmp);
        Duration::try_from_secs_f64(least.unwrap_or_default()).unwrap_or_default()
    }

    fn is_near(&self, key: TargetKey) -> bool {
        let member = self.members.get(&key);
        member.is_some_and(|member| member.is_near)
    }

    /// Further targets that have the object of a request, as far as is known: using them makes nothing cold.
    fn holders(&self, now: Instant, ask: &Ask<'_>, first: &[Option<TargetKey>]) -> Vec<TargetKey> {
        let object = ask.object.filter(|_| self.switches.warmth == Switch::On);
        let doubts = self.doubts(ask.service);
        object
            .into_iter()
            .flat_map(|object| self.warmth.holders(object))
            .filter(|key| !first.contains(&Some(*key)) && !ask.tried.contains(key))
            .filter(|key| {
                let member = self.members.get(key);
                member.is_some_and(|member| {
                    let most = f64::from(member.registration.slots) * AT_EASE;
                    member.load(now) < most
                        && self.is_open(now, member, ask.homes)
                        && self.closed_for(now, member, Assignment::Primary).is_none()
                        && doubts.is_sound(now, member)
                })
            })
            .collect()
    }

    /// The part of the requests for a service that the targets of the own region will not be able to
    /// take, as far as their slots tell before anything was sent.
    fn lacking(&self, service: &str) -> f64 {
        let mut slots: BTreeMap<&str, f64> = BTreeMap::new();
        for key in self.services.get(service).into_iter().flatten() {
            if let Some(member) = self.members.get(key) {
                let region = slots.entry(&member.region).or_default();
                *region += f64::from(member.registration.slots);
            }
        }
        let own = slots.get(&*self.region).copied().unwrap_or_default();
        let mean = slots.values().sum::<f64>() / slots.len().max(1) as f64;
        if own >= mean {
            return 0.0;
        }
        (1.0 - own / mean) * LACKING
    }

    /// The targets that a key may use; those that are in doubt only where there are no others.
    pub(super) fn first_choices(&self, now: Instant, ask: &Ask<'_>) -> Choices {
        let doubts = self.doubts(ask.service);
        let is_sound =
            |member: &Member| self.is_open(now, member, ask.homes) && doubts.is_sound(now, member);
        if let Ok(choices) = self.remembered(ask, is_sound) {
            return choices;
        }
        let sound = self.candidates(now, ask, is_sound);
        if sound.keys().next().is_some() || sound.opens_in.is_some() {
            return sound;
        }
        self.candidates(now, ask, |member| self.is_open(now, member, ask.homes))
    }

    /// The targets that a key may use, as far as those tell that are remembered for it.
    fn remembered(
        &self,
        ask: &Ask<'_>,
        may_use: impl Fn(&Member) -> bool,
    ) -> Result<Choices, Unclear> {
        let ranking = self.ranking(ask).ok_or(Unclear)?;
        let slots = self.counted_slots(ask.service).ok_or(Unclear)?;
        let near = self.first_usable(ranking.side(true), ask, &may_use)?;
        let far = match self.switches.far {
            Switch::On => self.first_usable(ranking.side(false), ask, &may_use)?,
            Switch::Off => None,
        };
        if near.is_none() && far.is_none() {
            return Err(Unclear);
        }
        let may_stay = ask.homes.is_empty() || ask.homes.contains(&self.region);
        Ok(Choices {
            near,
            far,
            spills: Vec::new(),
            slots: if may_stay { slots } else { 0 },
            is_near_closed: false,
            opens_in: None,
        })
    }

    /// The first target that may be used among those that are remembered for a key. Of one that names a rate it depends on
    /// others what follows.
    fn first_usable(
        &self,
        (targets, is_all): (&[TargetKey], bool),
        ask: &Ask<'_>,
        may_use: impl Fn(&Member) -> bool,
    ) -> Result<Option<TargetKey>, Unclear> {
        for key in targets {
            self.looks.set(self.looks.get() + 1);
            let Some(member) = self.members.get(key) else {
                continue;
            };
            if may_use(member) && !ask.tried.contains(key) {
                return if self.is_limited(member) {
                    Err(Unclear)
                } else {
                    Ok(Some(*key))
                };
            }
        }
        if is_all {
            Ok(None)
        } else {
            Err(Unclear)
        }
    }

    /// The slots of targets of the own region that a request without homes may use.
    pub(super) fn open_slots(&self, now: Instant, ask: &Ask<'_>) -> u32 {
        let doubts = self.doubts(ask.service);
        let keys = self.services.get(ask.service).into_iter().flatten();
        let members = keys.filter_map(|key| self.members.get(key));
        let any = BTreeSet::new();
        members
            .inspect(|_| self.looks.set(self.looks.get() + 1))
            .filter(|member| member.is_near)
            .filter(|member| self.is_open(now, member, &any) && doubts.is_sound(now, member))
            .map(|member| member.registration.slots)
            .sum()
    }

    /// What keeps a target of a service from being used while there are others.
    ///
    /// Where few targets are missing in the store they have rather left than lapsed with its outage: hosts that lost the store
    /// can't tell these apart, and what has left is not to get requests until it is known whether it returns.
    fn doubts(&self, service: &str) -> Doubts {
        let lapsed = self.lapsed.get(service).copied().unwrap_or_default();
        let all = self.services.get(service).map_or(0, Vec::len);
        Doubts {
            patience: self.patience(service),
            lapsed: lapsed as f64 <= all as f64 * FEW,
        }
    }

    /// The first target of the own region, and the first elsewhere, among those that may be used.
    fn candidates(
        &self,
        now: Instant,
        ask: &Ask<'_>,
        may_use: impl Fn(&Member) -> bool,
    ) -> Choices {
        let key_of_request = match self.switches.affinity {
            Switch::On => ask.key,
            Switch::Off => xxh3_64(&self.asked.to_le_bytes()),
        };
        let (mut near, mut far) = (Ranked::default(), Ranked::default());
        let mut slots = 0;
        for key in self.services.get(ask.service).into_iter().flatten() {
            self.looks.set(self.looks.get() + 1);
            let Some(member) = self.members.get(key) else {
                continue;
            };
            if !may_use(member) {
                continue;
            }
            let is_near = member.is_near;
            if is_near {
                slots += member.registration.slots;
            }
            if ask.tried.contains(key) {
                continue;
            }
            let draw = draw(key_of_request, member.seed);
            if is_near {
                near.add(draw, *key, self.is_limited(member));
            } else if self.switches.far == Switch::On {
                far.add(draw, *key, self.is_limited(member));
            }
        }
        let mut choices = Choices {
            near: None,
            far: None,
            spills: Vec::new(),
            slots,
            is_near_closed: false,
            opens_in: None,
        };
        choices.near = self.first_open(now, near, &mut choices);
        choices.is_near_closed = choices.opens_in.is_some();
        choices.far = self.first_open(now, far, &mut choices);
        choices
    }

    /// The target of a region that a request goes to, among those that take it just now: the first one for its object, else the
    /// first one that names no rate, else any that has more than its own objects want.
    fn first_open(&self, now: Instant, ranked: Ranked, choices: &mut Choices) -> Option<TargetKey> {
        let Ranked {
            first,
            free,
            limited,
        } = ranked;
        let (_, first, is_limited) = first?;
        if !is_limited || self.is_open_for(now, first, Assignment::Primary, choices) {
            return Some(first);
        }
        if let Some((_, free)) = free {
            return Some(free);
        }
        let mut spills = limited;
        spills.sort_unstable_by(|one, other| other.cmp(one));
        let spill = spills
            .into_iter()
            .map(|(_, key)| key)
            .filter(|key| *key != first)
            .find(|key| self.is_open_for(now, *key, Assignment::Overflow, choices));
        choices.spills.extend(spill);
        spill
    }

    /// Whether a target takes a request just now; notes when it will if not.
    fn is_open_for(
        &self,
        now: Instant,
        key: TargetKey,
        fit: Assignment,
        choices: &mut Choices,
    ) -> bool {
        let member = self.members.get(&key);
        let closed = member.and_then(|member| self.closed_for(now, member, fit));
        if closed.is_some() {
            choices.opens_in = choices.opens_in.into_iter().chain(closed).min();
        }
        closed.is_none()
    }

    /// Whether a target may get new requests at all.
    fn is_open(&self, now: Instant, member: &Member, homes: &BTreeSet<Arc<str>>) -> bool {
        if member.registration.state != State::Ready
            || member.misdirected
            || self.evacuated.contains(&member.registration.zone)
            || !(homes.is_empty() || homes.contains(&member.region))
        {
            return false;
        }
        let may_probe = member.eject.is_due(now) && member.in_flight == 0;
        if !member.eject.is_in() && !may_probe {
            return false;
        }
        let any_cold = self.switches.cold_rate == Switch::Off;
        any_cold || !member.is_cold(now) || self.may_use_cold(now, member)
    }

    fn has_room(&self, now: Instant, key: TargetKey) -> bool {
        if self.switches.early_refusal == Switch::Off {
            return true;
        }
        self.members.get(&key).is_some_and(|member| {
            let patience = self.habit(member.service()).admission.patience();
            member.load(now) < f64::from(member.registration.slots) * patience
        })
    }
}
