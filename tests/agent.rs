//! Tests of the control agents in fleets of hosts with faults.

#![allow(clippy::unwrap_used)]

mod net;

use std::collections::BTreeSet;

use net::agents::{Fleet, FIRST_INCARNATION};
use ragwortfold::catalog::{HostKey, ZoneKey};
use ragwortfold::control::delegate;
use ragwortfold::control::membership::ZoneStatus;

/// Defines tests by the number of zones and hosts, the fraction of lost messages and the scenario.
macro_rules! case {
    ($($name:ident: $zones:literal zones, $hosts:literal hosts, $loss:literal lost => $run:expr;)*) => {$(
        #[test]
        fn $name() {
            for seed in [1, 2, 3] {
                let mut fleet = Fleet::new($zones, $hosts, 2, seed);
                fleet.loss = $loss;
                fleet.settle();
                let run: fn(&mut Fleet) = $run;
                run(&mut fleet);
            }
        }
    )*};
}

fn delegates(fleet: &Fleet, zone: ZoneKey) -> Vec<HostKey> {
    let (_, node) = fleet.nodes.iter().find(|(_, n)| n.zone == zone).unwrap();
    delegate::zone_delegates(zone, node.agent.membership(), &fleet.catalog)
}

/// Returns a zone that does not contain the planner.
fn zone_without_planner(fleet: &Fleet) -> ZoneKey {
    let holder = fleet.holder().unwrap();
    let busy = fleet.catalog.host(holder).zone;
    let mut zones = fleet.zones().into_iter();
    zones.find(|&zone| zone != busy).unwrap()
}

fn is_gone(fleet: &Fleet, host: HostKey) -> bool {
    let mut nodes = fleet.nodes.values();
    nodes.all(|node| !node.agent.live_hosts().contains(&host))
}

fn has_zone_status(fleet: &Fleet, zone: ZoneKey, is_expected: impl Fn(ZoneStatus) -> bool) -> bool {
    let mut others = fleet.nodes.values().filter(|node| node.zone != zone);
    others.all(|node| is_expected(node.agent.zone_statuses()[&zone]))
}

/// Kills a process and returns the time until no host sends it new work any more.
fn kill(fleet: &mut Fleet, host: HostKey) -> Option<u64> {
    fleet.kill(host);
    fleet.until(20_000, |fleet| is_gone(fleet, host))
}

fn heal_and_settle(fleet: &mut Fleet) {
    fleet.heal();
    fleet.settle();
}

fn ordinary_host(fleet: &mut Fleet) {
    let zone = zone_without_planner(fleet);
    let delegates = delegates(fleet, zone);
    let mut hosts = fleet.zone_hosts(zone).into_iter();
    let host = hosts.find(|host| !delegates.contains(host)).unwrap();
    let took = kill(fleet, host);
    assert!(took.is_some_and(|took| took < 2_000), "{took:?}");
    fleet.settle();
}

fn first_delegate(fleet: &mut Fleet) {
    let zone = zone_without_planner(fleet);
    let host = delegates(fleet, zone)[0];
    let took = kill(fleet, host);
    assert!(took.is_some_and(|took| took < 2_000), "{took:?}");
    fleet.settle();
}

fn planner(fleet: &mut Fleet) {
    let before = fleet.holder().unwrap();
    let took = kill(fleet, before);
    assert!(took.is_some_and(|took| took < 2_000), "{took:?}");
    fleet.settle();
    assert_ne!(fleet.holder(), Some(before));
}

/// A zone whose two delegates die must never count as lost while other hosts of it live.
fn both_delegates(fleet: &mut Fleet) {
    let zone = zone_without_planner(fleet);
    let both = delegates(fleet, zone);
    for &host in &both {
        fleet.kill(host);
    }
    for _ in 0..2_000 {
        fleet.tick();
        assert!(has_zone_status(fleet, zone, |status| status == ZoneStatus::Alive));
    }
    assert!(both.iter().all(|&host| is_gone(fleet, host)));
    fleet.settle();
}

/// The same if both machines lose power, so that no host is notified of their broken links.
fn both_delegates_unplugged(fleet: &mut Fleet) {
    let zone = zone_without_planner(fleet);
    let both = delegates(fleet, zone);
    for &host in &both {
        fleet.unplug(host);
    }
    for _ in 0..2_000 {
        fleet.tick();
        assert!(has_zone_status(fleet, zone, |status| status == ZoneStatus::Alive));
    }
    assert!(both.iter().all(|&host| is_gone(fleet, host)));
    fleet.settle();
}

fn unplugged(fleet: &mut Fleet) {
    let zone = zone_without_planner(fleet);
    let host = delegates(fleet, zone)[0];
    fleet.unplug(host);
    let took = fleet.until(20_000, |fleet| is_gone(fleet, host));
    assert!(took.is_some_and(|took| took < 3_000), "{took:?}");
    fleet.settle();
}

fn restart(fleet: &mut Fleet) {
    for host in fleet.hosts() {
        fleet.kill(host);
        fleet.run(300);
        fleet.start(host, FIRST_INCARNATION + 1);
        fleet.settle();
        let known = |node: &net::agents::Node| {
            node.agent.membership().incarnation(host) == Some(FIRST_INCARNATION + 1)
        };
        let took = fleet.until(20_000, |fleet| fleet.nodes.values().all(known));
        assert!(took.is_some(), "an old incarnation is still known");
    }
}

fn cut_zone(fleet: &mut Fleet) {
    let zone = zone_without_planner(fleet);
    let side = fleet.zone_hosts(zone);
    let all = fleet.hosts();
    fleet.cut_off(&side, &all);
    fleet.store.unreachable_zones.insert(zone);
    let lost = |fleet: &Fleet| has_zone_status(fleet, zone, |status| status == ZoneStatus::Lost);
    let took = fleet.until(20_000, lost);
    assert!(took.is_some_and(|took| took < 6_000), "{took:?}");
    // Hosts of the isolated zone consider its own hosts alive and the state of other zones unknown.
    fleet.run(20_000);
    for &host in &side {
        let agent = &fleet.nodes[&host].agent;
        assert_eq!(agent.live_hosts(), side.iter().copied().collect());
        let others = agent
            .zone_statuses()
            .into_iter()
            .filter(|&(z, _)| z != zone);
        for (_, status) in others {
            assert!(matches!(status, ZoneStatus::Unknown(_)), "{status:?}");
        }
    }
    heal_and_settle(fleet);
}

fn cut_from_platform(fleet: &mut Fleet) {
    let holder = fleet.holder().unwrap();
    let zone = fleet.catalog.host(holder).zone;
    fleet.store.unreachable_zones.insert(zone);
    fleet.run(15_000);
    let now = fleet.holder().unwrap();
    assert_ne!(fleet.catalog.host(now).zone, zone);
    assert!(fleet.is_settled(), "the zone gets no plans from the others");
    heal_and_settle(fleet);
}

fn platform_down(fleet: &mut Fleet) {
    let splits = fleet.nodes.values().next().unwrap().agent.splits();
    fleet.store.down = true;
    fleet.run(60_000);
    assert_eq!(fleet.holder(), None);
    let host = fleet.hosts()[0];
    assert!(kill(fleet, host).is_some_and(|took| took < 2_000));
    fleet.start(host, FIRST_INCARNATION + 1);
    fleet.run(15_000);
    let all: BTreeSet<HostKey> = fleet.hosts().into_iter().collect();
    for node in fleet.nodes.values() {
        assert_eq!(node.agent.live_hosts(), all);
        assert_eq!(node.agent.splits(), splits);
    }
    heal_and_settle(fleet);
}

/// One direction of the link between two hosts of a zone is cut. Other hosts receive heartbeats
/// from both, so neither may count as dead.
fn one_way(fleet: &mut Fleet) {
    let zone = zone_without_planner(fleet);
    let hosts = fleet.zone_hosts(zone);
    fleet.cut_way(hosts[0], hosts[1]);
    for _ in 0..2_000 {
        fleet.tick();
        let all = fleet.nodes.len();
        assert!(fleet
            .nodes
            .values()
            .all(|n| n.agent.live_hosts().len() == all));
    }
    heal_and_settle(fleet);
}

/// A planner is paused past its lease with a write in progress, and resumes. Its write must not
/// take effect after that of the new planner.
fn paused_planner(fleet: &mut Fleet) {
    let old = fleet.holder().unwrap();
    let epoch = fleet.nodes[&old].agent.held_epoch(fleet.now());
    // A load that makes it write, and delayed calls to the store.
    fleet.store.call_delay.insert(old, 12_000);
    fleet.running = 18.0;
    fleet.run(3_000);
    let until = fleet.time + 11_000;
    fleet.paused.insert(old, until);
    fleet.run(10_000);
    let new = fleet.holder();
    assert!(new.is_some() && new != Some(old));
    fleet.store.call_delay.clear();
    fleet.run(15_000);
    let stamp = fleet.nodes[&old].agent.plan_stamp();
    assert!(
        Some(stamp.epoch) > epoch,
        "the old planner has no plan of the new one"
    );
    fleet.settle();
}

fn lost_answers(fleet: &mut Fleet) {
    fleet.store.loss = 0.4;
    for round in 0..6_u8 {
        fleet.running = if round % 2 == 0 { 18.0 } else { 4.0 };
        fleet.run(10_000);
    }
    assert!(fleet.plans.len() > 2, "too few plans were written");
    fleet.store.loss = 0.0;
    fleet.running = 8.0;
    fleet.settle();
}

/// Lease holders and delegates die at random while answers and messages are lost.
fn random_restarts(fleet: &mut Fleet) {
    fleet.store.loss = 0.2;
    let hosts = fleet.hosts();
    for round in 0..12_u64 {
        let host = match fleet.holder() {
            Some(holder) if round % 3 == 0 => holder,
            _ => hosts[(7 * round as usize) % hosts.len()],
        };
        let incarnation = fleet.nodes[&host].incarnation + 1;
        fleet.running = 4.0 + 14.0 * (round % 2) as f32;
        fleet.kill(host);
        fleet.run(4_000);
        fleet.start(host, incarnation);
        fleet.run(2_000);
    }
    fleet.store.loss = 0.0;
    fleet.settle();
}

case! {
    a_dead_host_is_gone_within_two_seconds: 3 zones, 12 hosts, 0.0 lost => ordinary_host;
    a_dead_host_is_gone_though_messages_are_lost: 3 zones, 12 hosts, 0.01 lost => ordinary_host;
    a_dead_first_delegate_is_replaced: 6 zones, 12 hosts, 0.0 lost => first_delegate;
    a_dead_planner_is_replaced: 6 zones, 12 hosts, 0.0 lost => planner;
    a_host_without_power_is_gone: 3 zones, 12 hosts, 0.0 lost => unplugged;
    a_zone_with_two_dead_delegates_stays_alive: 3 zones, 12 hosts, 0.0 lost => both_delegates;
    a_zone_with_two_unplugged_delegates_stays_alive: 3 zones, 12 hosts, 0.0 lost => both_delegates_unplugged;
    a_restarted_host_is_known_by_its_incarnation: 3 zones, 6 hosts, 0.0 lost => restart;
    a_partitioned_zone_is_lost_to_the_others: 6 zones, 12 hosts, 0.0 lost => cut_zone;
    a_zone_without_the_platform_follows_the_others: 6 zones, 12 hosts, 0.0 lost => cut_from_platform;
    the_fleet_works_without_the_platform: 6 zones, 12 hosts, 0.0 lost => platform_down;
    a_link_cut_in_one_direction_causes_no_death: 3 zones, 12 hosts, 0.0 lost => one_way;
    a_planner_paused_past_its_lease_is_not_followed: 6 zones, 12 hosts, 0.0 lost => paused_planner;
    lost_answers_of_the_store_make_no_second_plan: 6 zones, 12 hosts, 0.01 lost => lost_answers;
    random_restarts_keep_the_order_of_plans: 6 zones, 12 hosts, 0.02 lost => random_restarts;
}

/// 130 restarts, one every 4 s, which is more often than the required 130 an hour.
/// `benches/control.rs` runs the full hour.
#[test]
fn restarts_change_no_split() {
    let mut fleet = Fleet::new(6, 48, 2, 1);
    fleet.step = 50;
    fleet.settle();
    let splits = fleet.restarts(130, 1_000, 3_000);
    for (stamp, plan) in &fleet.plans {
        assert_eq!(*plan, splits, "{stamp:?}");
    }
    fleet.settle();
}
