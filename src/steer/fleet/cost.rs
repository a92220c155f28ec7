//! What a request costs at a target: the time until it begins to work there, and the bytes on the way.

use std::time::{Duration, Instant};

use super::habit::Habit;
use super::member::Member;
use super::{Ask, Fleet, Seen};
use crate::border::settings::Switch;
use crate::inventory::TargetKey;

/// A round trip to another region while it is not measured, in seconds.
const UNKNOWN_WAY: f64 = 0.05;
/// Weight of one slower sample in the measured round trip.
const WAY_WEIGHT: f64 = 0.05;
/// Weight of one answer in the measured time of work.
const WORK_WEIGHT: f64 = 0.1;
/// Seconds of waiting that a byte between availability zones is worth.
const ZONE_PRICE: f64 = 1.0e-6;
/// Seconds of waiting that a byte between regions is worth.
const REGION_PRICE: f64 = 2.2e-6;

impl Fleet {
    /// The time in seconds until a target is expected to begin its work, and what its way costs.
    pub(super) fn cost(&self, now: Instant, key: TargetKey, ask: &Ask<'_>, connected: bool) -> f64 {
        let Some(member) = self.members.get(&key) else {
            return f64::INFINITY;
        };
        let habit = self.habit(ask.service);
        let way = self.way(member);
        let opening = if connected { 0.0 } else { way };
        let work = member.work(now, habit.work);
        let slots = f64::from(member.registration.slots.max(1));
        let wait = work * (member.load(now) + 1.0 - slots).max(0.0) / slots;
        let bytes = (ask.bytes as f64 + habit.answer) * self.price(member);
        let visit = if self.may_be_new(key, ask) {
            habit.gain()
        } else {
            0.0
        };
        way + opening + wait + bytes + visit
    }

    /// Whether the object of a request may be new to a target, as it is not known to have it.
    fn may_be_new(&self, key: TargetKey, ask: &Ask<'_>) -> bool {
        let object = ask.object.filter(|_| self.switches.warmth == Switch::On);
        object.is_some_and(|object| !self.warmth.has(object, key))
    }

    /// Seconds of waiting that a byte to a target and back is worth: links between availability zones
    /// and more so between regions are limited and paid for.
    fn price(&self, member: &Member) -> f64 {
        if member.registration.zone == self.zone {
            0.0
        } else if member.region == self.region {
            ZONE_PRICE
        } else {
            REGION_PRICE
        }
    }

    /// A round trip to a target, in seconds.
    fn way(&self, member: &Member) -> f64 {
        let measured = self.ways.get(&member.region).copied();
        measured.unwrap_or(if member.region == self.region {
            0.0
        } else {
            UNKNOWN_WAY
        })
    }

    /// What requests for a service are like, as far as is known.
    pub(super) fn habit(&self, service: &str) -> Habit {
        self.habits.get(service).copied().unwrap_or_default()
    }

    /// Takes in how long it took to connect to a target: a round trip.
    pub fn connected(&mut self, key: TargetKey, took: Duration) {
        let Some(member) = self.members.get(&key) else {
            return;
        };
        let took = took.as_secs_f64();
        let way = self.ways.entry(member.region.clone()).or_insert(took);
        // Waiting to be accepted adds to it, nothing takes from it.
        *way = if took < *way {
            took
        } else {
            *way + (took - *way) * WAY_WEIGHT
        };
    }

    /// Takes in how long an answer took. What it waited for a slot is in it too, so a target that
    /// is busier than it says looks slow.
    pub(super) fn worked(&mut self, now: Instant, key: TargetKey, took: Duration, seen: &Seen) {
        let Some(member) = self.members.get(&key) else {
            return;
        };
        let work = (took.as_secs_f64() - self.way(member)).max(0.0);
        let habit = self
            .habits
            .entry(member.registration.service.clone())
            .or_default();
        habit.worked(work);
        if let Some(bytes) = seen.bytes {
            habit.carried(bytes);
        }
        if let Some(object) = seen.object {
            let is_first = !self.warmth.has(object, key);
            habit.visited(is_first, work);
            if let (false, Some(goal)) = (is_first, seen.goal) {
                habit.admission.answered(took > goal);
            }
            self.warmth.put(now, object, key);
        }
        let usual = habit.work;
        if let Some(member) = self.members.get_mut(&key) {
            let before = member.work(now, usual);
            member.work = Some((before + (work - before) * WORK_WEIGHT, now));
        }
    }
}
