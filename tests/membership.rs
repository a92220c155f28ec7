//! Tests of membership and delegates with hosts that are partitioned, paused and restarted.

#![allow(clippy::unwrap_used)]

mod net;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Instant;

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;

use net::{catalog, false_deaths, ms, Net};
use ragwortfold::border::configuration::Configuration;
use ragwortfold::catalog::{Catalog, HostKey};
use ragwortfold::control::delegate;
use ragwortfold::control::membership::{
    Change, Listing, Membership, State, Status, Via, ZoneStatus,
};

/// Defines tests by the number of zones, the hosts in each and the scenario.
macro_rules! case {
    ($($name:ident: $zones:literal x $hosts:literal, $body:expr),* $(,)?) => {
        $(#[test] fn $name() {
            let body: fn(&mut Net) = $body;
            let mut net = Net::new($zones, $hosts);
            net.run(5_000);
            body(&mut net);
        })*
    };
}

case! {
    all_are_alive_in_quiet_times: 3 x 4, |net| {
        net.run(60_000);
        assert_eq!(net.died, []);
        assert!(net.nodes.values().all(|node| node.live_hosts().len() == 12));
    },
    a_silent_host_is_dead_within_two_seconds: 1 x 12, |net| {
        let mut last = 0;
        for n in 0..8 {
            let dead = net.host(&format!("ent-00-{n:02}"));
            net.run(3_000 + 70 * n);
            let start = net.time;
            net.kill(dead);
            net.run(2_000);
            let deaths: Vec<u64> = net
                .died
                .iter()
                .filter(|&&(_, _, host)| host == dead)
                .map(|(at, ..)| at - start)
                .collect();
            assert_eq!(deaths.len() as u64, 11 - n, "{deaths:?}");
            last = last.max(deaths.into_iter().max().unwrap_or(0));
        }
        println!("8 deaths, each known to all others after at most {last} ms");
    },
    a_broken_link_shortens_it: 1 x 6, |net| {
        let dead = net.host("ent-00-03");
        net.kill(dead);
        let others: Vec<HostKey> = net.nodes.keys().copied().collect();
        others.iter().for_each(|&other| net.down(other, dead));
        net.run(100);
        assert_eq!(net.status(others[0], dead), Status::Suspect);
        net.run(700);
        assert_eq!(net.died.len(), 5, "{:?}", net.died);
    },
    a_broken_link_alone_causes_no_death: 1 x 4, |net| {
        let (a, b) = (net.host("ent-00-00"), net.host("ent-00-01"));
        net.cut_both(a, b);
        net.down(a, b);
        net.down(b, a);
        net.run(30_000);
        assert_eq!(net.died, []);
        assert!(net.nodes[&a].is_alive(b) && net.nodes[&a].live_hosts().contains(&b));
        assert!(!net.nodes[&a].is_reachable(b));
    },
    a_cut_in_one_direction_causes_no_death: 1 x 4, |net| {
        let (a, b) = (net.host("ent-00-00"), net.host("ent-00-01"));
        net.cut.insert((b, a));
        net.run(30_000);
        assert_eq!(net.died, []);
        assert!(!net.nodes[&a].is_reachable(b), "a receives no heartbeats of b");
        assert!(!net.nodes[&b].is_reachable(a), "a reports that it receives no heartbeats of b");
        assert!(net.nodes[&a].is_alive(b) && net.nodes[&b].is_alive(a));
        net.cut.clear();
        net.run(1_500);
        assert!(net.nodes[&a].is_reachable(b) && net.nodes[&b].is_reachable(a));
    },
    an_observer_that_was_paused_declares_nobody_dead: 2 x 3, |net| {
        let a = net.host("ent-00-00");
        net.paused.insert(a, net.time + 20_000);
        net.run(25_000);
        assert!(net.died.iter().all(|&(_, observer, _)| observer != a));
        assert!(net.died.iter().any(|&(_, _, dead)| dead == a));
        assert_eq!(net.status(net.host("ent-00-01"), a), Status::Alive);
        assert!(net.nodes[&a].zone_status(net.zone("zone-01")) == ZoneStatus::Alive);
    },
    a_death_during_a_pause_is_detected: 1 x 4, |net| {
        let (a, b) = (net.host("ent-00-00"), net.host("ent-00-01"));
        net.paused.insert(a, net.time + 20_000);
        net.kill(b);
        net.run(22_500);
        assert_eq!(net.status(a, b), Status::Dead);
    },
    a_leaving_host_is_alive_and_gets_no_new_work: 1 x 4, |net| {
        let (a, b) = (net.host("ent-00-00"), net.host("ent-00-01"));
        net.nodes.get_mut(&b).expect("b").leave();
        net.run(600);
        assert!(net.nodes[&a].is_alive(b));
        assert!(!net.nodes[&a].live_hosts().contains(&b));
        assert!(!net.nodes[&b].live_hosts().contains(&b));
    },
    a_lost_zone_is_lost_to_the_others: 6 x 2, |net| {
        net.cut_off_zones(&["zone-03"]);
        net.run(2_500);
        let a = net.host("ent-00-00");
        assert_eq!(net.nodes[&a].zone_status(net.zone("zone-03")), ZoneStatus::Lost);
        assert_eq!(net.nodes[&a].zone_status(net.zone("zone-02")), ZoneStatus::Alive);
        let b = net.host("ent-03-00");
        let cut = net.nodes[&b].zone_status(net.zone("zone-00"));
        assert!(matches!(cut, ZoneStatus::Unknown(Some(_))), "{cut:?}");
        assert_eq!(net.nodes[&b].zone_status(net.zone("zone-03")), ZoneStatus::Alive);
        net.cut.clear();
        net.run(1_000);
        assert_eq!(net.nodes[&a].zone_status(net.zone("zone-03")), ZoneStatus::Alive);
    },
    a_lost_region_is_lost_to_the_others: 6 x 2, |net| {
        net.cut_off_zones(&["zone-02", "zone-03"]);
        net.run(2_500);
        let (a, b) = (net.host("ent-00-00"), net.host("ent-02-00"));
        for zone in ["zone-02", "zone-03"] {
            assert_eq!(net.nodes[&a].zone_status(net.zone(zone)), ZoneStatus::Lost);
        }
        assert_eq!(net.nodes[&b].zone_status(net.zone("zone-03")), ZoneStatus::Alive);
        for zone in ["zone-00", "zone-01", "zone-04", "zone-05"] {
            assert!(matches!(net.nodes[&b].zone_status(net.zone(zone)), ZoneStatus::Unknown(_)));
        }
    },
    half_the_zones_never_mark_the_other_half_as_lost: 6 x 2, |net| {
        net.cut_off_zones(&["zone-00", "zone-01", "zone-02"]);
        net.run(60_000);
        for node in net.nodes.values() {
            for zone in 0..6 {
                let zone = net.zone(&format!("zone-{zone:02}"));
                assert_ne!(node.zone_status(zone), ZoneStatus::Lost);
            }
        }
    },
}

/// A single membership whose events a test supplies.
struct Script {
    base: Instant,
    node: Membership,
    peer: HostKey,
    remote: HostKey,
    catalog: Catalog,
}

impl Script {
    fn new() -> Self {
        let base = Instant::now();
        let catalog = catalog(3, 3);
        let own = catalog.host_key("ent-00-00").expect("a host");
        Self {
            base,
            node: Membership::new(base, own, 1, &catalog),
            peer: catalog.host_key("ent-00-01").expect("a host"),
            remote: catalog.host_key("ent-01-00").expect("a host"),
            catalog,
        }
    }

    fn at(&self, millis: u64) -> Instant {
        self.base + ms(millis)
    }

    fn receive_heartbeat(
        &mut self,
        at: u64,
        host: HostKey,
        incarnation: u64,
        sequence: u64,
        state: State,
    ) {
        let now = self.at(at);
        let via = Via::Direct;
        self.node
            .record_heard(now, host, incarnation, sequence, state, via);
    }

    /// Ticks every 100 ms, up to and including `to`, and returns the changes of hosts.
    fn ticks(&mut self, from: u64, to: u64) -> Vec<Change> {
        (from..=to)
            .step_by(100)
            .flat_map(|at| self.node.tick(self.base + ms(at)))
            .filter(|change| !matches!(change, Change::Zone(..)))
            .collect()
    }
}

/// Defines tests of a single membership.
macro_rules! script {
    ($($name:ident: $body:expr),* $(,)?) => {
        $(#[test] fn $name() { let body: fn(&mut Script) = $body; body(&mut Script::new()); })*
    };
}

script! {
    an_older_incarnation_is_ignored: |it| {
        it.receive_heartbeat(0, it.peer, 5, 1, State::Serving);
        it.ticks(100, 1_000);
        it.receive_heartbeat(1_000, it.peer, 4, 900, State::Leaving);
        assert!(it.node.live_hosts().contains(&it.peer));
        assert_eq!(it.node.incarnation(it.peer), Some(5));
        let changes = it.ticks(1_100, 1_800);
        assert_eq!(changes.last(), Some(&Change::Died(it.peer)));
    },
    a_newer_incarnation_is_a_restart: |it| {
        it.receive_heartbeat(0, it.peer, 5, 70, State::Leaving);
        it.ticks(100, 200);
        it.receive_heartbeat(300, it.peer, 6, 1, State::Serving);
        assert_eq!(it.ticks(300, 400), [Change::Restarted(it.peer)]);
        assert!(it.node.live_hosts().contains(&it.peer));
    },
    leaving_is_not_reverted: |it| {
        it.receive_heartbeat(0, it.peer, 5, 1, State::Leaving);
        it.receive_heartbeat(500, it.peer, 5, 2, State::Serving);
        assert!(!it.node.live_hosts().contains(&it.peer));
    },
    an_old_sequence_does_not_count: |it| {
        it.receive_heartbeat(0, it.peer, 5, 10, State::Serving);
        it.ticks(100, 1_000);
        it.receive_heartbeat(1_000, it.peer, 5, 9, State::Serving);
        assert_eq!(it.ticks(1_100, 1_800).last(), Some(&Change::Died(it.peer)));
    },
    a_host_that_is_heard_stays_alive_if_not_listed: |it| {
        let now = it.at(0);
        it.node.set_listing(now, it.peer, Listing::Absent);
        for beat in 0..20 {
            it.receive_heartbeat(500 * beat, it.peer, 5, beat, State::Serving);
            assert!(!it.ticks(500 * beat, 500 * beat + 400).contains(&Change::Died(it.peer)));
        }
    },
    the_list_confirms_a_suspicion: |it| {
        it.receive_heartbeat(0, it.peer, 5, 1, State::Serving);
        let now = it.at(0);
        it.node.set_listing(now, it.peer, Listing::Absent);
        assert_eq!(it.ticks(100, 1_300).last(), Some(&Change::Died(it.peer)));
    },
    the_list_gives_notice_of_leaving: |it| {
        it.receive_heartbeat(0, it.peer, 5, 1, State::Serving);
        let now = it.at(0);
        it.node.set_listing(now, it.peer, Listing::Leaving);
        assert!(!it.node.live_hosts().contains(&it.peer));
        it.receive_heartbeat(100, it.peer, 6, 1, State::Serving);
        assert!(it.node.live_hosts().contains(&it.peer));
    },
    a_listing_alone_makes_no_host_alive: |it| {
        let now = it.at(0);
        it.node.set_listing(now, it.peer, Listing::Live);
        assert_eq!(it.node.status(it.peer), Status::Unknown);
    },
    a_relayed_host_dies_after_reports_of_it_stop: |it| {
        let now = it.at(0);
        let via = Via::Relayed(ms(400));
        it.node.record_heard(now, it.remote, 3, 8, State::Serving, via);
        assert_eq!(it.ticks(100, 7_900), [Change::Joined(it.remote)]);
        let changes = it.ticks(8_000, 12_000);
        assert_eq!(changes, [Change::Suspected(it.remote), Change::Died(it.remote)]);
    },
    a_roster_reports_live_and_dead_hosts: |it| {
        let remote = it.catalog.host_key("ent-01-00").expect("a host");
        let other = it.catalog.host_key("ent-01-01").expect("a host");
        let mut sender = Membership::new(it.base, remote, 1, &it.catalog);
        sender.link_up(it.base, other);
        sender.record_heard(it.base, other, 1, 1, State::Serving, Via::Direct);
        let roster = sender.roster(it.base);
        let now = it.at(50);
        it.node.merge_known(now, &roster.hosts, ms(50));
        assert!(it.node.is_alive(remote) && it.node.is_alive(other));
        (100..=2_000).step_by(100).for_each(|at| drop(sender.tick(it.base + ms(at))));
        it.ticks(100, 2_000);
        let now = it.at(2_050);
        it.node.merge_known(now, &sender.roster(it.base + ms(2_000)).hosts, ms(50));
        assert!(it.node.is_alive(remote) && !it.node.is_alive(other));
    },
    a_digest_confirms_only_a_known_roster: |it| {
        let zone = it.catalog.zone_key("zone-01").expect("a zone");
        let sender = Membership::new(it.base, it.remote, 1, &it.catalog);
        let roster = sender.roster(it.base);
        let digest = roster.digest();
        assert!(!it.node.confirm_roster(it.base, zone, digest, ms(0)));
        it.node.merge_roster(it.base, roster, ms(0));
        for at in (1_000..=60_000).step_by(1_000) {
            let now = it.at(at);
            assert!(it.node.confirm_roster(now, zone, digest, ms(1)));
            assert!(!it.node.confirm_roster(now, zone, digest + 1, ms(1)));
            it.ticks(at, at + 900);
        }
        assert!(it.node.is_alive(it.remote));
        assert_eq!(it.node.zone_status(zone), ZoneStatus::Alive);
        it.ticks(61_000, 75_000);
        assert!(!it.node.is_alive(it.remote));
    },
    a_report_of_a_delegate_marks_a_zone_as_lost: |it| {
        let zone = it.catalog.zone_key("zone-01").expect("a zone");
        let now = it.at(0);
        it.node.record_heard(now, it.remote, 3, 8, State::Serving, Via::Relayed(ms(0)));
        it.ticks(100, 2_500);
        assert_eq!(it.node.zone_status(zone), ZoneStatus::Alive);
        let report = ragwortfold::control::membership::Report {
            zone: "zone-01".into(), age_ms: 2_400, lost: true,
        };
        let now = it.at(2_500);
        it.node.merge_reports(now, &[report], ms(1));
        it.ticks(2_600, 2_600);
        assert_eq!(it.node.zone_status(zone), ZoneStatus::Lost);
        it.receive_heartbeat(2_700, it.remote, 3, 9, State::Serving);
        it.node.link_closed(it.remote);
        it.ticks(2_700, 2_700);
        assert_eq!(it.node.zone_status(zone), ZoneStatus::Alive, "heard after it was reported as lost");
        it.ticks(2_800, 20_000);
        assert!(matches!(it.node.zone_status(zone), ZoneStatus::Unknown(_)));
    },
    the_first_tick_after_a_pause_causes_no_death: |it| {
        it.receive_heartbeat(0, it.peer, 5, 1, State::Serving);
        it.ticks(100, 500);
        assert_eq!(it.ticks(20_000, 21_000), []);
        it.receive_heartbeat(21_000, it.peer, 5, 2, State::Serving);
        assert_eq!(it.ticks(21_100, 22_000), []);
        assert_eq!(it.ticks(22_100, 23_000).last(), Some(&Change::Died(it.peer)));
    },
    a_link_found_broken_after_a_pause_gets_the_full_timeout: |it| {
        it.receive_heartbeat(0, it.peer, 5, 1, State::Serving);
        it.ticks(100, 500);
        let now = it.at(20_000);
        it.node.link_down(now, it.peer);
        assert_eq!(it.ticks(20_000, 21_500), [Change::Suspected(it.peer)]);
        assert_eq!(it.ticks(21_600, 22_000), [Change::Died(it.peer)]);
    },
    a_removed_host_is_forgotten: |it| {
        it.receive_heartbeat(0, it.peer, 5, 1, State::Serving);
        let folder = serde_json::json!({});
        let empty: Configuration = serde_json::from_value(folder).expect("a configuration");
        let next = it.catalog.with_revision(2, &empty).expect("a catalog");
        it.node.apply_catalog(&next);
        assert_eq!(it.node.status(it.peer), Status::Unknown);
    },
}

#[test]
fn false_deaths_are_rare() {
    let table = [
        (0.0, 100, 0),
        (0.01, 20, 0),
        (0.05, 100, 0),
        (0.05, 400, 0),
        (0.20, 100, 5),
    ];
    for (loss, jitter, max_deaths) in table {
        let (mut deaths, mut hours) = (0, 0.0);
        for seed in 0..4 {
            let (d, h) = false_deaths(seed, 6, loss, jitter, 150_000);
            deaths += d;
            hours += h;
        }
        println!("loss {loss}, jitter {jitter} ms: {deaths} false deaths in {hours:.0} pair-hours");
        assert!(
            deaths <= max_deaths,
            "loss {loss}, jitter {jitter} ms: {deaths}"
        );
    }
}

#[test]
fn few_delegates_change_as_hosts_come_and_go() {
    let catalog = catalog(1, 45);
    let zone = catalog.zone_key("zone-00").expect("a zone");
    let mut live: BTreeSet<HostKey> = catalog.hosts().map(|(key, _)| key).collect();
    let all: Vec<HostKey> = live.iter().copied().collect();
    let mut rng = Pcg64::seed_from_u64(3);
    let mut before = delegate::choose_delegates(zone, &live, &catalog);
    let (mut events, mut changed) = (0, 0);
    for _ in 0..2_000 {
        let host = all[rng.random_range(0..all.len())];
        if !live.remove(&host) {
            live.insert(host);
        }
        if live.len() < 2 {
            continue;
        }
        let after = delegate::choose_delegates(zone, &live, &catalog);
        let replaced = before.iter().filter(|host| !after.contains(host)).count();
        let departed = before.iter().filter(|host| !live.contains(host)).count();
        assert!(
            replaced <= departed.max(1) && replaced <= 1,
            "one event replaces at most one delegate"
        );
        events += 1;
        changed += replaced;
        before = after;
    }
    println!("{events} arrivals and departures changed {changed} delegates");
    assert!(changed * 10 < events);
}

/// A membership that has received a heartbeat of every host.
fn membership_of_all_hosts(catalog: &Catalog, own: HostKey) -> Membership {
    let now = Instant::now();
    let mut membership = Membership::new(now, own, 1, catalog);
    for (key, _) in catalog.hosts().filter(|&(key, _)| key != own) {
        membership.record_heard(now, key, 1, 1, State::Serving, Via::Relayed(ms(0)));
    }
    membership
}

#[test]
fn link_counts_are_bounded() {
    for (zones, hosts, max_links) in [(6, 2, 12), (15, 45, 72), (15, 48, 75), (4, 100, 107)] {
        let catalog = catalog(zones, hosts);
        let mut links: BTreeMap<HostKey, BTreeSet<HostKey>> = BTreeMap::new();
        for (key, _) in catalog.hosts() {
            let membership = membership_of_all_hosts(&catalog, key);
            links.insert(key, delegate::wanted_links(key, &membership, &catalog));
        }
        for (from, others) in &links {
            assert!(
                others.iter().all(|to| links[to].contains(from)),
                "one-sided"
            );
        }
        let mut degrees: Vec<usize> = links.values().map(BTreeSet::len).collect();
        degrees.sort_unstable();
        let largest = degrees[degrees.len() - 1];
        println!(
            "{zones} x {hosts}: median {}, most {largest}",
            degrees[degrees.len() / 2]
        );
        assert!(largest <= max_links, "{zones} x {hosts}: {largest}");
    }
}

#[test]
fn branches_reach_every_host_once() {
    let catalog = catalog(1, 45);
    let live: BTreeSet<HostKey> = catalog.hosts().map(|(key, _)| key).collect();
    for &root in &live {
        let mut reached = vec![root];
        let mut next = 0;
        while next < reached.len() {
            let branches = delegate::branches(root, reached[next], &live, &catalog);
            assert!(branches.len() <= delegate::TREE_FANOUT);
            reached.extend(branches);
            next += 1;
        }
        assert_eq!(reached.len(), 45);
        assert_eq!(reached.into_iter().collect::<BTreeSet<_>>(), live);
    }
}

#[test]
fn delegates_of_an_unknown_zone_are_tried_in_turn() {
    let catalog = catalog(2, 4);
    let now = Instant::now();
    let own = catalog.host_key("ent-00-00").expect("a host");
    let zone = catalog.zone_key("zone-01").expect("a zone");
    let mut membership = Membership::new(now, own, 1, &catalog);
    let mut tried = BTreeSet::new();
    for round in 0..2 {
        for host in delegate::zone_delegates(zone, &membership, &catalog) {
            membership.link_down(now + ms(round), host);
            tried.insert(host);
        }
    }
    assert_eq!(tried.len(), 4);
    assert!(delegate::is_delegate(own, &membership, &catalog));
}
