//! Targets that answer nothing: what hosts tell each other about them.

#![allow(clippy::unwrap_used)]

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

use ragwortfold::inventory::{Registration, State, TargetKey};
use ragwortfold::steer::fleet::{End, Fleet, Observation, Silence, TargetQuery};
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

const ANSWER_TIME: Duration = Duration::from_millis(20);
/// Answers after which the time of answers is known.
const ANSWERS: u64 = 100;
/// Longer than answers take, also twice as long as a silence that is noticed.
const SILENCE: Duration = Duration::from_millis(900);

/// A host with two targets that have answered requests.
struct World {
    now: Instant,
    fleet: Fleet,
    service: Arc<str>,
    homes: BTreeSet<Arc<str>>,
    rng: Pcg64Mcg,
}

impl World {
    fn new() -> Self {
        let now = Instant::now() + Duration::from_secs(3600);
        let zone: Arc<str> = "z".into();
        let mut fleet = Fleet::new(now, "h".into(), zone.clone(), BTreeMap::new(), 5.0);
        fleet.set_live_hosts(vec![("h".into(), zone.clone())]);
        for id in ["a", "b"] {
            fleet.register(
                now,
                Registration {
                    id: id.into(),
                    service: "s".into(),
                    address: "127.0.0.1:1".parse().unwrap(),
                    zone: zone.clone(),
                    slots: 8,
                    state: State::Ready,
                    cold_left: Duration::ZERO,
                    born: None,
                    sequence: None,
                },
            );
        }
        let mut world = Self {
            now,
            fleet,
            service: "s".into(),
            homes: BTreeSet::new(),
            rng: Pcg64Mcg::seed_from_u64(1),
        };
        for object in 0..ANSWERS {
            let target = world.send(object);
            world.now += ANSWER_TIME;
            world.answer(target);
        }
        world
    }

    /// Sends a request for an object; returns its target.
    fn send(&mut self, object: u64) -> TargetKey {
        let query = TargetQuery {
            service: &self.service,
            affinity_key: object,
            object: None,
            homes: &self.homes,
            tried: Vec::new(),
            body_bytes: 0,
            rank: 0.0,
            account: None,
        };
        let (target, _) = self.fleet.propose(self.now, &query, |_| true).unwrap();
        self.fleet.begin(self.now, &query, target);
        target
    }

    fn answer(&mut self, target: TargetKey) {
        let observation = Observation {
            response_time: Some(ANSWER_TIME),
            ..Observation::default()
        };
        let end = End::Answered;
        self.fleet
            .finish(self.now, target, end, observation, &mut self.rng);
    }

    fn key(&self, id: &str) -> TargetKey {
        self.fleet.key(id).unwrap()
    }

    /// Sends requests until `count` of them are at a target. Those at others are answered.
    fn send_to(&mut self, id: &str, count: usize) {
        let wanted = self.key(id);
        let mut sent = 0;
        for object in 0.. {
            let target = self.send(object);
            if target == wanted {
                sent += 1;
                if sent == count {
                    return;
                }
            } else {
                self.answer(target);
            }
        }
    }

    /// The targets of some requests, all of which are answered.
    fn used(&mut self) -> BTreeSet<Arc<str>> {
        let mut used = BTreeSet::new();
        for object in 0..30 {
            let target = self.send(object);
            used.insert(self.fleet.member(target).unwrap().id().clone());
            self.answer(target);
        }
        used
    }
}

/// A host at which a target is silent, and what it tells.
fn silent_world() -> (World, Vec<Silence>) {
    let mut world = World::new();
    world.send_to("a", 2);
    assert_eq!(world.fleet.silences_to_tell(world.now), Vec::new());
    world.now += SILENCE;
    let told = world.fleet.silences_to_tell(world.now);
    assert_eq!(told.len(), 1);
    (world, told)
}

#[test]
fn others_are_told_of_a_silent_target_and_again_after_a_second() {
    let (mut world, told) = silent_world();
    assert!(u128::from(told[0].1) >= SILENCE.as_millis());
    assert_eq!(world.fleet.silences_to_tell(world.now), Vec::new());
    world.now += Duration::from_secs(1);
    let again = world.fleet.silences_to_tell(world.now);
    assert_eq!(again.len(), 1);
    assert!(again[0].1 > told[0].1);
}

#[test]
fn others_are_told_when_it_answers_again() {
    let (mut world, told) = silent_world();
    let target = world.key("a");
    world.answer(target);
    let answers = Silence(told[0].0, 0);
    assert_eq!(world.fleet.silences_to_tell(world.now), vec![answers]);
    assert_eq!(world.fleet.silences_to_tell(world.now), Vec::new());
}

#[test]
fn a_single_unanswered_request_is_told_to_nobody() {
    let mut world = World::new();
    world.send_to("a", 1);
    world.now += SILENCE;
    assert_eq!(world.fleet.silences_to_tell(world.now), Vec::new());
}

#[test]
fn a_target_that_another_host_found_silent_is_not_used_for_a_while() {
    let (_, told) = silent_world();
    let mut other = World::new();
    assert_eq!(other.used().len(), 2);
    other.now += SILENCE * 2;
    assert!(other.fleet.merge_silence(other.now, told[0]));
    assert!(!other.fleet.merge_silence(other.now, told[0]));
    assert_eq!(other.used(), BTreeSet::from(["b".into()]));
    // It says nothing itself of what it was told.
    assert_eq!(other.fleet.silences_to_tell(other.now), Vec::new());
    other.now += Duration::from_secs(2);
    assert_eq!(other.used().len(), 2);
}

#[test]
fn a_target_that_answers_again_is_used_at_once() {
    let (_, told) = silent_world();
    let mut other = World::new();
    other.now += SILENCE * 2;
    other.fleet.merge_silence(other.now, told[0]);
    other.fleet.merge_silence(other.now, Silence(told[0].0, 0));
    assert_eq!(other.used().len(), 2);
}

/// Guards against one host's lost links that keep all others from sound targets.
#[test]
fn a_host_that_had_an_answer_since_ignores_the_silence() {
    let (_, told) = silent_world();
    let mut other = World::new();
    assert!(!other.fleet.merge_silence(other.now, told[0]));
    assert_eq!(other.used().len(), 2);
}

#[test]
fn an_answer_ends_what_another_host_has_told() {
    let (_, told) = silent_world();
    let mut other = World::new();
    other.send_to("a", 1);
    other.now += SILENCE * 2;
    assert!(other.fleet.merge_silence(other.now, told[0]));
    let target = other.key("a");
    other.answer(target);
    assert_eq!(other.used().len(), 2);
}

#[test]
fn extreme_times_and_unknown_processes_are_accepted() {
    let (_, told) = silent_world();
    let mut other = World::new();
    other.now += SILENCE * 2;
    other
        .fleet
        .merge_silence(other.now, Silence(told[0].0, u64::MAX));
    assert!(!other.fleet.merge_silence(other.now, Silence(!told[0].0, 1)));
    assert!(other.used().contains("b"));
}

/// A host that has a single request waiting at a target, and what it tells the hosts that count.
fn doubting_world() -> (World, Silence) {
    let mut world = World::new();
    world.send_to("a", 1);
    let target = world.key("a");
    assert_eq!(world.fleet.doubt(world.now, target), None);
    world.now += SILENCE;
    let doubt = world.fleet.doubt(world.now, target).unwrap();
    (world, doubt)
}

#[test]
fn requests_of_two_hosts_make_a_target_silent() {
    let (_, doubt) = doubting_world();
    let mut other = World::new();
    other.now += SILENCE * 2;
    let [one, two] = ["127.0.0.1", "127.0.0.2"].map(|from| from.parse().unwrap());
    assert!(!other.fleet.merge_doubt(other.now, one, doubt));
    assert!(!other.fleet.merge_doubt(other.now, one, doubt));
    assert_eq!(other.used().len(), 2);
    other.now += SILENCE * 2;
    assert!(!other.fleet.merge_doubt(other.now, one, doubt));
    assert!(other.fleet.merge_doubt(other.now, two, doubt));
    assert_eq!(other.used(), BTreeSet::from(["b".into()]));
}

#[test]
fn a_request_of_its_own_counts_as_well() {
    let (mut world, doubt) = doubting_world();
    let from = "127.0.0.1".parse().unwrap();
    assert!(world.fleet.merge_doubt(world.now, from, doubt));
    assert_eq!(world.used(), BTreeSet::from(["b".into()]));
}

#[test]
fn doubts_expire() {
    let (mut world, doubt) = doubting_world();
    let target = world.key("a");
    world.answer(target);
    world.now += SILENCE * 3;
    let [one, two] = ["127.0.0.1", "127.0.0.2"].map(|from| from.parse().unwrap());
    assert!(!world.fleet.merge_doubt(world.now, one, doubt));
    world.now += Duration::from_secs(2);
    assert!(!world.fleet.merge_doubt(world.now, two, doubt));
}
