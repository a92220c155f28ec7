//! Tests of plans made from delayed samples, and of the reports and digests that they are made
//! from.

#![allow(clippy::unwrap_used)]

mod planning;

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use proptest::prelude::*;
use proptest::test_runner::RngSeed;

use planning::{burst, catalog, catalog_with, Course, World};
use ragwortfold::catalog::{Catalog, HostKey, ServiceKey, ZoneKey};
use ragwortfold::control::digest::{self, Digest, Level, Levels};
use ragwortfold::control::membership::{Membership, State, Via, ZoneStatus};
use ragwortfold::control::plan::{Bonus, Plan, PlanRecord, Shares, Stamp};
use ragwortfold::control::planner::{wanted_quotas, Causality, Planner, View};
use ragwortfold::control::summary::{ApplyResult, Load, Message, Sample, Sender, Table};

#[test]
fn samples_taken_after_the_last_step_keep_the_split_from_overshooting() {
    for cap in [(0.05, 60), (0.25, 10), (0.5, 10)] {
        for lag in [5, 60] {
            let (_, strict) = burst(cap, Causality::Strict, lag, 900);
            let (_, ignored) = burst(cap, Causality::Ignored, lag, 900);
            assert!(strict.overshoot <= 0.02, "{cap:?} {lag}: {strict:?}");
            assert!(strict.crossings <= 1, "{cap:?} {lag}: {strict:?}");
            assert!(ignored.overshoot > 0.1, "{cap:?} {lag}: {ignored:?}");
        }
    }
}

#[test]
fn a_split_returns_home_after_a_burst() {
    for cap in [(0.05, 60), (0.25, 10)] {
        let (mut world, _) = burst(cap, Causality::Strict, 30, 600);
        assert!(world.away() > 0.2);
        world.demand = [60.0, 40.0];
        let course = Course::new(&mut world, 1_500);
        println!("cap {cap:?}: returned, {course:?}");
        assert!(world.away() < 0.02, "{}", world.away());
        assert!(
            course.crossings <= 1 && course.overshoot < 0.02,
            "{course:?}"
        );
    }
}

#[test]
fn splits_do_not_oscillate_under_steady_demand() {
    for demand in (100..=240).step_by(10) {
        let mut world = World::new(catalog(0.25, 10), Causality::Strict, 30);
        world.run(30);
        world.demand = [f64::from(demand), 50.0];
        let course = Course::new(&mut world, 900);
        let later = Course::new(&mut world, 600);
        println!("demand {demand}: {course:?}, later {} steps", later.steps);
        assert!(course.crossings <= 1, "{demand}: {course:?}");
        assert!(later.steps <= 4, "{demand}: {later:?}");
    }
}

/// A world after a minute at normal load.
fn settled_world(cap: (f64, u32)) -> World {
    let mut world = World::new(catalog(cap.0, cap.1), Causality::Strict, 10);
    world.run(60);
    world
}

macro_rules! case {
    ($($name:ident: $body:expr),* $(,)?) => {
        $(#[test] fn $name() {
            let body: fn(&mut World) = $body;
            body(&mut settled_world((0.25, 10)));
        })*
    };
}

case! {
    a_zone_whose_samples_stop_keeps_its_shares: |world| {
        world.silent_zones = vec![world.zones[2]];
        world.run(15);
        let kept = world.share(world.regions[1], world.zones[2]);
        world.demand = [220.0, 100.0];
        world.run(300);
        assert_eq!(world.share(world.regions[0], world.zones[2]), 0.0);
        assert!(world.share(world.regions[0], world.zones[3]) > 0.1);
        assert_eq!(world.share(world.regions[1], world.zones[2]), kept);
    },
    with_no_samples_nothing_moves: |world| {
        world.silent_zones = world.zones.clone();
        world.run(15);
        let before = world.sequence;
        world.demand = [300.0, 10.0];
        world.run(300);
        assert_eq!(world.sequence, before);
    },
    samples_that_got_old_since_the_last_step_move_nothing: |world| {
        world.demand = [180.0, 20.0];
        world.run(120);
        assert!(world.away() > 0.05);
        world.silent_zones = world.zones.clone();
        world.run(15);
        let before = world.sequence;
        let late = serde_json::json!({"limits": {"utilization": 0.3}});
        world.catalog = catalog_with(0.25, 10, late);
        world.run(60);
        assert_eq!(world.sequence, before);
    },
    a_new_planner_waits_for_the_last_step_of_the_old: |world| {
        world.demand = [220.0, 40.0];
        while world.sequence == 1 {
            world.step();
        }
        let plan = world.plans[0].1.clone();
        world.planner = Planner::new(world.now(), Some(&plan), &world.catalog);
        let before = world.sequence;
        while world.plan.stamp != plan.stamp || world.moving {
            world.step();
            assert_eq!(world.sequence, before, "a step before the last was in force");
        }
        world.run(30);
        assert!(world.sequence > before, "it went on");
    },
    a_plan_that_cannot_be_confirmed_counts_after_two_windows: |world| {
        world.demand = [220.0, 40.0];
        world.never_settles = true;
        world.run(60);
        let steps = world.sequence - 1;
        assert!((2..=3).contains(&steps), "{steps} steps in a minute, windows of 10 s");
    },
    a_zone_with_an_incomplete_summary_gives_and_does_not_receive: |world| {
        world.reported = BTreeMap::from([(world.zones[2], 1), (world.zones[0], 1)]);
        world.demand = [220.0, 40.0];
        world.run(300);
        assert_eq!(world.share(world.regions[0], world.zones[2]), 0.0);
        assert!(world.share(world.regions[0], world.zones[0]) < 0.4);
    },
    the_sibling_zone_is_filled_first: |world| {
        world.demand = [60.0, 60.0];
        let [a, _] = world.regions;
        world.splits.insert(a, Shares::from([(world.zones[0], 1.0)]));
        world.demand = [90.0, 60.0];
        world.run(300);
        assert_eq!(world.away(), 0.0);
    },
    a_lost_zone_gives_all_to_its_sibling: |world| {
        world.zone_statuses.insert(world.zones[0], ZoneStatus::Lost);
        world.silent_zones = vec![world.zones[0]];
        world.run(120);
        let share = |n: usize| world.share(world.regions[0], world.zones[n]);
        assert!(share(0) < 0.002, "{}", share(0));
        assert!(share(1) > 0.5, "{}", share(1));
        world.zone_statuses.clear();
        world.silent_zones.clear();
        let course = Course::new(world, 300);
        assert!((world.share(world.regions[0], world.zones[0]) - 0.5).abs() < 0.02);
        assert!(course.crossings <= 1, "{course:?}");
    },
    a_draining_zone_is_emptied_and_not_filled: |world| {
        let late = serde_json::json!({"availability_zones": {
            "a0": {"region": "a", "state": "draining"},
        }});
        world.catalog = catalog_with(0.25, 10, late);
        world.run(120);
        assert!(world.share(world.regions[0], world.zones[0]) < 0.002);
        assert!(world.share(world.regions[0], world.zones[1]) > 0.99);
    },
    cold_slots_count_for_half: |world| {
        world.cold = 1.0;
        world.demand = [120.0, 20.0];
        world.run(300);
        assert!(world.away() > 0.2, "{}", world.away());
    },
}

/// Asserts that a step moved at most `cap` and that all shares add up to 1.
fn assert_within_cap(before: &Plan, after: &Plan, cap: f64) {
    for (key, shares) in &after.splits {
        let total: f64 = shares.values().sum();
        assert!((total - 1.0).abs() < 1e-6, "{shares:?}");
        assert!(shares.values().all(|share| *share >= 0.0), "{shares:?}");
        let Some(old) = before.splits.get(key) else {
            continue;
        };
        let moved: f64 = shares
            .iter()
            .map(|(zone, share)| (share - old.get(zone).copied().unwrap_or(0.0)).max(0.0))
            .sum();
        assert!(moved <= cap + 1e-3, "{moved}");
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 64,
        rng_seed: RngSeed::Fixed(5),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn every_step_adds_up_to_one_and_stays_within_the_cap(
        demands in prop::collection::vec((0.0..400.0_f64, 0.0..400.0_f64, any::<bool>()), 1..12),
    ) {
        let mut world = settled_world((0.1, 20));
        let mut before = world.plan.clone();
        for (a, b, mute) in demands {
            world.demand = [a, b];
            world.silent_zones = if mute { vec![world.zones[1]] } else { Vec::new() };
            for _ in 0..200 {
                world.step();
                if world.plan.stamp != before.stamp {
                    assert_within_cap(&before, &world.plan, 0.1);
                    before = world.plan.clone();
                }
            }
        }
    }

    #[test]
    fn a_plan_survives_the_conversion_to_names(parts in prop::collection::vec(0.01..1.0_f64, 4)) {
        let world = settled_world((0.1, 20));
        let total: f64 = parts.iter().sum();
        let shares: Shares = world.zones.iter().copied()
            .zip(parts.iter().map(|part| part / total))
            .collect();
        let host = world.catalog.host_key("ent-a0-0").expect("a host");
        let bonus = Bonus { amount: 2.5, ttl: Duration::from_secs(3) };
        let plan = Plan {
            stamp: Stamp { epoch: 3, sequence: 9 },
            splits: BTreeMap::from([((world.service, world.regions[0]), shares.clone())]),
            bonuses: BTreeMap::from([((host, world.regions[1]), bonus)]),
            ages: BTreeMap::from([(world.zones[0], Duration::from_millis(1_200))]),
        };
        let mut bytes = Vec::new();
        ciborium::into_writer(&plan.to_record(&world.catalog), &mut bytes).expect("bytes");
        let record: PlanRecord = ciborium::from_reader(bytes.as_slice()).expect("a record");
        let back = record.to_plan(&world.catalog);
        prop_assert_eq!(&back.bonuses, &plan.bonuses);
        prop_assert_eq!(back.stamp, plan.stamp);
        let shares_back = &back.splits[&(world.service, world.regions[0])];
        prop_assert!((shares_back.values().sum::<f64>() - 1.0).abs() < 1e-9);
        for (zone, share) in &shares {
            prop_assert!((shares_back[zone] - share).abs() < 3e-4);
        }
    }
}

#[test]
fn a_difference_restores_the_whole_plan() {
    let mut world = settled_world((0.25, 10));
    let old = world.plan.to_record(&world.catalog);
    world.demand = [220.0, 40.0];
    world.run(60);
    let new = world.plan.to_record(&world.catalog);
    let difference = new.difference_from(&old);
    assert_eq!(difference.base, Some(old.stamp));
    assert_eq!(difference.splits["lookups"].len(), 1, "one locality moved");
    assert_eq!(difference.applied_to(&old), Some(new.clone()));
    assert_eq!(difference.applied_to(&new), None);
    let mut less = new.clone();
    less.splits.clear();
    assert_eq!(less.difference_from(&new), less);
    assert_eq!(new.applied_to(&PlanRecord::default()), Some(new.clone()));
}

/// Two hosts of a zone, and the table of their delegate.
struct Zone {
    base: Instant,
    catalog: Catalog,
    service: ServiceKey,
    hosts: [HostKey; 2],
    senders: [Sender; 2],
    table: Table,
}

impl Zone {
    fn new() -> Self {
        let catalog = catalog(0.1, 20);
        let key = |name: &str| catalog.host_key(name).expect("a host");
        let hosts = [key("ent-a0-0"), key("ent-a0-1")];
        Self {
            base: Instant::now() + Duration::from_secs(100),
            service: catalog.service_key("lookups").expect("a service"),
            hosts,
            senders: hosts.map(|host| Sender::new(host, 1).with_hosts(2)),
            table: Table::new(),
            catalog,
        }
    }

    fn at(&self, millis: u64) -> Instant {
        self.base + Duration::from_millis(millis)
    }

    fn message(&mut self, at: u64, host: usize, in_flight: f32, age: u64) -> Message {
        let load = Load {
            live: 10.0,
            in_flight,
            ..Load::default()
        };
        let sample = Sample {
            age: Duration::from_millis(age),
            applied: Stamp {
                epoch: 1,
                sequence: 5 - host as u64,
            },
            hosts: (1, 1),
            loads: BTreeMap::from([(self.service, load)]),
            ..Sample::default()
        };
        let now = self.at(at);
        self.senders[host].message(now, &sample, &self.catalog)
    }

    fn take(&mut self, at: u64, message: &Message) -> ApplyResult {
        let now = self.at(at);
        self.table
            .apply(now, message, Duration::ZERO, &self.catalog)
    }

    fn merged(&self, at: u64) -> Option<Sample> {
        self.table.merge(self.at(at), self.hosts)
    }

    fn in_flight(&self, at: u64) -> f32 {
        self.merged(at).expect("a sample").loads[&self.service].in_flight
    }
}

macro_rules! zone {
    ($($name:ident: $body:expr),* $(,)?) => {
        $(#[test] fn $name() { let body: fn(&mut Zone) = $body; body(&mut Zone::new()); })*
    };
}

zone! {
    reports_add_up_and_targets_do_not: |it| {
        let (a, b) = (it.message(0, 0, 3.0, 100), it.message(0, 1, 4.0, 700));
        it.take(0, &a);
        assert_eq!(it.merged(0).expect("a sample").hosts, (2, 1));
        it.take(0, &b);
        let sample = it.merged(300).expect("a sample");
        assert_eq!(sample.hosts, (2, 2));
        assert_eq!(sample.age, Duration::from_millis(1_000));
        assert_eq!(sample.applied, Stamp { epoch: 1, sequence: 4 });
        assert_eq!(sample.loads[&it.service].in_flight, 7.0);
        assert_eq!(sample.loads[&it.service].live, 10.0);
    },
    old_reports_are_left_out: |it| {
        let a = it.message(0, 0, 3.0, 0);
        it.take(0, &a);
        assert!(it.merged(4_900).is_some());
        assert_eq!(it.merged(5_100), None);
    },
    an_unchanged_entry_is_not_sent_and_stays_fresh: |it| {
        let first = it.message(0, 0, 3.0, 0);
        let second = it.message(2_000, 0, 3.1, 0);
        assert!(first.head.full && !second.head.full && second.loads.is_empty());
        it.take(0, &first);
        assert_eq!(it.take(2_000, &second), ApplyResult::Newer);
        assert_eq!(it.in_flight(6_000), 3.0);
        let entry = it.table.host_source(it.hosts[0]).and_then(|source| source.load(it.service));
        assert_eq!(entry.map(|entry| entry.sampled), Some(it.at(2_000)));
    },
    a_gap_does_not_refresh_unchanged_entries: |it| {
        let first = it.message(0, 0, 3.0, 0);
        it.message(2_000, 0, 9.0, 0);
        let third = it.message(4_000, 0, 9.0, 0);
        let fourth = it.message(6_000, 0, 9.0, 0);
        it.take(0, &first);
        assert_eq!(it.take(4_000, &third), ApplyResult::Gap);
        assert_eq!(it.take(6_000, &fourth), ApplyResult::Gap);
        let entry = it.table.host_source(it.hosts[0]).and_then(|source| source.load(it.service));
        assert_eq!(entry.map(|entry| entry.sampled), Some(it.at(0)));
        it.senders[0].force_full();
        let full = it.message(8_000, 0, 9.0, 0);
        assert_eq!(it.take(8_000, &full), ApplyResult::Newer);
        assert_eq!(it.in_flight(8_000), 9.0);
    },
    older_messages_are_ignored: |it| {
        let first = it.message(0, 0, 3.0, 0);
        it.senders[0].force_full();
        let second = it.message(2_000, 0, 5.0, 0);
        assert_eq!(it.take(2_000, &second), ApplyResult::Newer);
        assert_eq!(it.take(2_000, &first), ApplyResult::Ignored);
        assert_eq!(it.take(2_000, &second), ApplyResult::Ignored);
        it.senders[0] = Sender::new(it.hosts[0], 2);
        let restarted = it.message(2_500, 0, 1.0, 0);
        assert_eq!(it.take(2_500, &restarted), ApplyResult::Newer);
        assert_eq!(it.take(2_600, &second), ApplyResult::Ignored);
        assert_eq!(it.in_flight(2_600), 1.0);
    },
    a_host_that_is_not_configured_is_ignored: |it| {
        let mut message = it.message(0, 0, 3.0, 0);
        message.head.host = "nobody".into();
        assert_eq!(it.take(0, &message), ApplyResult::Ignored);
    },
    wanted_quotas_are_reported: |it| {
        let region = it.catalog.region_key("b").expect("a region");
        let key = (it.hosts[1], region);
        let sample = Sample {
            hosts: (1, 1),
            needs: BTreeMap::from([(key, 12.5), ((it.hosts[0], region), 0.0)]),
            ..Sample::default()
        };
        let now = it.at(0);
        let message = it.senders[1].message(now, &sample, &it.catalog);
        it.take(0, &message);
        let zone_statuses = BTreeMap::new();
        let view = View { catalog: &it.catalog, summaries: &it.table, zone_statuses: &zone_statuses };
        assert_eq!(wanted_quotas(now, &view), BTreeMap::from([(key, 12.5)]));
        assert_eq!(wanted_quotas(it.at(11_000), &view), BTreeMap::new());
    },
}

/// A delegate that sends digests of another zone to its hosts.
struct Delegate {
    base: Instant,
    catalog: Catalog,
    service: ServiceKey,
    remote: ZoneKey,
    membership: Membership,
    summaries: Table,
    source: Sender,
    sender: digest::Sender,
    levels: Levels,
}

impl Delegate {
    fn new() -> Self {
        let catalog = catalog(0.1, 20);
        let base = Instant::now() + Duration::from_secs(100);
        let key = |name: &str| catalog.host_key(name).expect("a host");
        let (own, other) = (key("ent-a0-0"), key("ent-b0-0"));
        let mut membership = Membership::new(base, own, 1, &catalog);
        membership.record_heard(base, other, 1, 1, State::Serving, Via::Direct);
        Self {
            base,
            service: catalog.service_key("lookups").expect("a service"),
            remote: catalog.zone_key("b0").expect("a zone"),
            membership,
            summaries: Table::new(),
            source: Sender::new(other, 1),
            sender: digest::Sender::new(own, 1),
            levels: Levels::new(),
            catalog,
        }
    }

    fn at(&self, millis: u64) -> Instant {
        self.base + Duration::from_millis(millis)
    }

    /// The digest after a sample of the other zone.
    fn digest(&mut self, at: u64, in_flight: f32, live: f32) -> Digest {
        let load = Load {
            live,
            in_flight,
            ..Load::default()
        };
        let sample = Sample {
            hosts: (2, 2),
            roster: 77,
            loads: BTreeMap::from([(self.service, load)]),
            ..Sample::default()
        };
        let now = self.at(at);
        self.source.force_full();
        let message = self.source.message(now, &sample, &self.catalog);
        self.summaries
            .apply(now, &message, Duration::ZERO, &self.catalog);
        self.sender
            .digest(now, &self.summaries, &self.membership, &self.catalog)
    }

    fn take(&mut self, at: u64, digest: &Digest) -> ApplyResult {
        let now = self.at(at);
        self.levels
            .apply(now, digest, Duration::ZERO, &self.catalog)
    }

    fn level(&self) -> Option<Level> {
        self.levels.level(self.service, self.remote)
    }
}

macro_rules! delegate {
    ($($name:ident: $body:expr),* $(,)?) => {
        $(#[test] fn $name() { let body: fn(&mut Delegate) = $body; body(&mut Delegate::new()); })*
    };
}

delegate! {
    a_digest_contains_the_levels_of_other_zones: |it| {
        let digest = it.digest(0, 30.0, 20.0);
        assert_eq!(digest.zones.len(), 1, "only the zone that is heard and has reported");
        assert_eq!(digest.zones[0].roster, 77);
        assert_eq!(it.take(100, &digest), ApplyResult::Newer);
        assert_eq!(it.level(), Some(Level { filled: 1.5, sampled: it.at(100) }));
    },
    a_site_without_live_slots_has_an_infinite_level: |it| {
        let digest = it.digest(0, 3.0, 0.0);
        it.take(0, &digest);
        assert_eq!(it.level().map(|level| level.filled), Some(f64::INFINITY));
    },
    a_level_that_stays_is_sent_once_and_stays_fresh: |it| {
        let first = it.digest(0, 10.0, 20.0);
        let second = it.digest(4_000, 10.1, 20.0);
        assert!(second.zones[0].levels.is_empty());
        it.take(0, &first);
        assert_eq!(it.take(4_000, &second), ApplyResult::Newer);
        assert_eq!(it.level(), Some(Level { filled: 0.5, sampled: it.at(4_000) }));
    },
    a_missed_digest_refreshes_no_level: |it| {
        let first = it.digest(0, 10.0, 20.0);
        it.digest(4_000, 18.0, 20.0);
        let third = it.digest(8_000, 18.0, 20.0);
        it.take(0, &first);
        assert_eq!(it.take(8_000, &third), ApplyResult::Gap);
        assert_eq!(it.level(), Some(Level { filled: 0.5, sampled: it.at(0) }));
        assert_eq!(it.take(8_000, &first), ApplyResult::Ignored);
        it.sender.force_full();
        let full = it.digest(9_000, 18.0, 20.0);
        assert_eq!(it.take(9_000, &full), ApplyResult::Newer);
        assert_eq!(it.level().map(|level| level.filled), Some(0.9));
    },
}
