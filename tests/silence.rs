//! Targets that answer nothing: what hosts tell each other about them.

#![allow(clippy::unwrap_used)]

use std::collections::{BTreeMap, BTreeSet};
use std::net::IpAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use ragwortfold::inventory::{Registration, State, TargetKey};
use ragwortfold::steer::fleet::{
    End, Finding, Fleet, Observation, Silence, TargetQuery, Testimony,
};
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

const ANSWER_TIME: Duration = Duration::from_millis(20);
/// Answers after which the time of answers is known.
const ANSWERS: u64 = 100;
/// Longer than answers take, also twice as long as a silence that is noticed.
const SILENCE: Duration = Duration::from_millis(900);
/// How long a request waits until other hosts are asked about its target.
const PATIENCE: Duration = Duration::from_millis(100);

/// A host with two targets that have answered requests.
struct World {
    now: Instant,
    fleet: Fleet,
    service: Arc<str>,
    homes: BTreeSet<Arc<str>>,
    rng: Pcg64Mcg,
    /// When other hosts were last asked about a target.
    asked_at: Instant,
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
            asked_at: now,
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

    /// Lets requests wait at a target for longer than usual.
    fn wait(&mut self, id: &str, requests: usize) {
        self.now += SILENCE;
        let key = self.key(id);
        (0..requests).for_each(|_| self.fleet.record_overdue(key));
    }

    /// Asks other hosts about a target, if that is due.
    fn ask(&mut self, id: &str, witnesses: usize) -> Option<Silence> {
        let key = self.key(id);
        let question = self.fleet.ask(self.now, key, PATIENCE)?;
        self.asked_at = self.now;
        self.fleet.expect_replies(key, witnesses);
        Some(question)
    }

    /// Waits for no more replies to the last question about a target.
    fn end_question(&mut self, id: &str) -> Finding {
        let key = self.key(id);
        self.fleet.end_question(self.now, key, self.asked_at)
    }

    /// Receives the reply of another host.
    fn hear(&mut self, from: u8, testimony: Testimony) -> Finding {
        self.fleet.hear(self.now, host(from), testimony)
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

/// The address of another host.
fn host(number: u8) -> IpAddr {
    IpAddr::from([127, 0, 0, number])
}

/// A host at which a target is silent, and what it tells.
fn silent_world() -> (World, Vec<Silence>) {
    let mut world = World::new();
    world.send_to("a", 2);
    assert_eq!(world.ask("a", 1), None);
    world.wait("a", 2);
    let Silence(process, _) = world.ask("a", 1).unwrap();
    let finding = world.hear(1, Testimony(process, None, 0, 0));
    let Finding::Silent(told) = finding else {
        panic!("{finding:?}");
    };
    (world, vec![told])
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
    world.wait("a", 1);
    let Silence(process, _) = world.ask("a", 1).unwrap();
    let reply = Testimony(process, None, 0, 0);
    assert_eq!(world.hear(1, reply), Finding::Nothing);
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

/// A host that has a single request waiting at a target, and what it asks.
fn doubting_world(witnesses: usize) -> (World, Silence) {
    let mut world = World::new();
    world.send_to("a", 1);
    assert_eq!(world.ask("a", witnesses), None);
    world.wait("a", 1);
    let question = world.ask("a", witnesses).unwrap();
    (world, question)
}

#[test]
fn requests_of_two_hosts_make_a_target_silent() {
    let (mut world, question) = doubting_world(2);
    let mut other = World::new();
    other.send_to("a", 1);
    other.now += SILENCE;
    other.wait("a", 1);
    let reply = other.fleet.testify(other.now, question).unwrap();
    assert!(matches!(reply, Testimony(_, Some(_), 1, 1)), "{reply:?}");
    assert_eq!(world.hear(1, reply), Finding::Nothing);
    // The same host counts once.
    assert_eq!(world.hear(1, reply), Finding::Nothing);
    let Finding::Silent(told) = world.hear(2, Testimony(question.0, None, 0, 0)) else {
        panic!("not silent");
    };
    assert_eq!(world.used(), BTreeSet::from(["b".into()]));
    other.now += SILENCE;
    assert!(other.fleet.merge_silence(other.now, told));
    assert_eq!(other.used(), BTreeSet::from(["b".into()]));
}

#[test]
fn a_target_that_nobody_has_heard_gets_no_new_requests_for_a_moment() {
    let mut world = World::new();
    world.send_to("a", 1);
    world.now += PATIENCE * 2;
    let target = world.key("a");
    world.fleet.record_overdue(target);
    let question = world.ask("a", 1).unwrap();
    let mut other = World::new();
    other.send_to("a", 1);
    other.wait("a", 1);
    let reply = other.fleet.testify(other.now, question).unwrap();
    assert_eq!(world.hear(1, reply), Finding::Nothing);
    for world in [&mut world, &mut other] {
        assert_eq!(world.used(), BTreeSet::from(["b".into()]));
        world.now += Duration::from_millis(200);
        assert_eq!(world.used().len(), 2);
    }
}

/// Guards against sound targets that are left because one host had no answer for a while.
#[test]
fn a_target_that_has_answered_another_host_is_late_and_not_silent() {
    let (mut world, question) = doubting_world(1);
    let mut other = World::new();
    let reply = other.fleet.testify(other.now, question).unwrap();
    assert!(matches!(reply, Testimony(_, Some(_), 0, 0)), "{reply:?}");
    assert_eq!(world.hear(1, reply), Finding::Nothing);
    assert_eq!(world.end_question("a"), Finding::Nothing);
    assert_eq!(world.used().len(), 2);
    assert_eq!(other.used().len(), 2);
    assert_eq!(world.ask("a", 1), None);
}

/// Guards against a host that is cut off and accuses all targets.
#[test]
fn a_host_that_hears_no_other_host_concludes_nothing() {
    for replies in 0..2 {
        let (mut world, question) = doubting_world(3);
        for number in 0..replies {
            world.hear(number, Testimony(question.0, None, 5, 5));
        }
        assert_eq!(world.end_question("a"), Finding::Nothing);
        assert_eq!(world.used().len(), 2);
        assert_eq!(world.fleet.silences_to_tell(world.now), Vec::new());
    }
}

/// Guards against a question to another region that ends early, as one was asked before.
#[test]
fn the_end_of_an_earlier_question_does_not_end_the_next_one() {
    let (mut world, question) = doubting_world(1);
    let first = world.asked_at;
    assert_eq!(
        world.hear(1, Testimony(question.0, None, 0, 0)),
        Finding::Nothing
    );
    world.now += PATIENCE;
    world.ask("a", 2).unwrap();
    let target = world.key("a");
    world.hear(1, Testimony(question.0, None, 1, 1));
    let finding = world.fleet.end_question(world.now, target, first);
    assert_eq!(finding, Finding::Nothing);
    let finding = world.hear(2, Testimony(question.0, None, 0, 0));
    assert!(matches!(finding, Finding::Silent(_)), "{finding:?}");
}

#[test]
fn half_of_the_replies_suffice() {
    let (mut world, question) = doubting_world(4);
    world.hear(1, Testimony(question.0, None, 1, 1));
    world.hear(2, Testimony(question.0, None, 0, 0));
    let finding = world.end_question("a");
    assert!(matches!(finding, Finding::Silent(_)), "{finding:?}");
}

/// Guards against sound targets that are left until the host which was wrong hears of them itself.
#[test]
fn a_host_that_was_wrong_takes_it_back_at_once() {
    let (mut world, question) = doubting_world(1);
    let Finding::Silent(told) = world.hear(1, Testimony(question.0, None, 1, 1)) else {
        panic!("not silent");
    };
    let mut other = World::new();
    let objection = other.fleet.objection(other.now, told).unwrap();
    let answers = Finding::Answers(Silence(told.0, 0));
    assert_eq!(world.hear(2, objection), answers);
    assert_eq!(world.used().len(), 2);
    assert_eq!(world.fleet.silences_to_tell(world.now), Vec::new());
    // An answer from before the silence is no reason.
    other.now += SILENCE * 2;
    assert_eq!(other.fleet.objection(other.now, told), None);
}

#[test]
fn a_host_asks_no_more_than_some_questions_a_second() {
    let mut world = World::new();
    world.send_to("a", 1);
    let started_at = world.now;
    let mut asked = 0;
    while world.now < started_at + Duration::from_secs(10) {
        world.now += Duration::from_millis(10);
        if world.ask("a", 1).is_some() {
            asked += 1;
            world.end_question("a");
        }
    }
    assert!((50..=100).contains(&asked), "{asked}");
}

#[test]
fn extreme_replies_are_accepted() {
    let (mut world, question) = doubting_world(2);
    for reply in [
        Testimony(question.0, Some(u64::MAX), u32::MAX, u32::MAX),
        Testimony(question.0, None, u32::MAX, u32::MAX),
        Testimony(!question.0, None, 1, 1),
    ] {
        assert_eq!(world.hear(1, reply), Finding::Nothing);
    }
    assert!(world.used().contains("b"));
}
