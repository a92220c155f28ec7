//! Routing rules of the engine one by one, then many hosts on random histories.

#![allow(clippy::unwrap_used)]

mod catalogs;
mod fleet;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

use catalogs::{configuration, hosts, next_catalog, region, service, zone, CatalogSize};
use fleet::{Event, Fleet};
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use ragwortfold::border::settings::Steer;
use ragwortfold::catalog::{Catalog, HostKey, TargetKey};
use ragwortfold::steer::attempt::Reason;
use ragwortfold::steer::engine::{AttemptKind, Engine, Origin, RouteRequest, Verdict};
use ragwortfold::steer::fingerprint::Fingerprint;
use ragwortfold::steer::goal::{View, ZoneHealth};
use ragwortfold::steer::group::{End, Grant, Health, Report, State};
use ragwortfold::steer::relay_permit::PermitUsage;
use rand::SeedableRng;
use rand_pcg::Pcg64;
use serde_json::{json, Value};

/// Two zones in each of three regions, three hosts a zone, two targets with four slots.
const TOPOLOGY: CatalogSize = CatalogSize {
    regions: 3,
    zones: 2,
    hosts: 3,
    services: 1,
    targets: 2,
};

/// The engine of host `r0-z0-h0` with the state that is published to it.
struct Rig {
    engine: Engine,
    catalog: Arc<Catalog>,
    live: BTreeSet<HostKey>,
    view: View,
    free: BTreeMap<&'static str, u32>,
    now: Instant,
    rng: Pcg64,
    last_id: u64,
    /// Time from one request to the next.
    request_interval_ms: u64,
}

const ZONES: [&str; 6] = ["r0-z0", "r0-z1", "r1-z0", "r1-z1", "r2-z0", "r2-z1"];

impl Rig {
    /// Creates an engine for which all zones are alive with free slots, and the first split exists.
    fn new() -> Self {
        Self::with_configuration(|_| {})
    }

    fn with_configuration(change: impl FnOnce(&mut Value)) -> Self {
        let mut value = configuration(TOPOLOGY);
        change(&mut value);
        let catalog = Arc::new(next_catalog(&Catalog::default(), value));
        let mut rig = Self {
            engine: Engine::new(&Steer::default(), 1),
            live: catalog.hosts().map(|(key, _)| key).collect(),
            view: View::default(),
            free: ZONES.into_iter().map(|zone| (zone, 8)).collect(),
            now: Instant::now(),
            rng: Pcg64::seed_from_u64(3),
            last_id: 0,
            request_interval_ms: 1,
            catalog,
        };
        for name in ZONES {
            let zone = zone(&rig.catalog, name);
            rig.view.zones.insert(zone, ZoneHealth::Alive);
            rig.view.slots.insert((service(&rig.catalog), zone), 8);
        }
        rig.configure();
        rig.advance_ms(2000);
        rig.publish_state();
        rig
    }

    fn configure(&mut self) {
        let catalog = self.catalog.clone();
        self.engine.configure(self.now, catalog, "r0-z0");
    }

    fn reconfigure(&mut self, change: impl FnOnce(&mut Value)) {
        let mut value = configuration(TOPOLOGY);
        change(&mut value);
        self.catalog = Arc::new(next_catalog(&self.catalog, value));
        self.configure();
    }

    fn advance_ms(&mut self, ms: u64) {
        self.now += Duration::from_millis(ms);
    }

    fn publish_state(&mut self) {
        self.engine.set_live(self.now, self.live.clone());
        self.publish_free_slots();
        self.engine.set_view(self.now, self.view.clone());
    }

    fn publish_free_slots(&mut self) {
        let service = service(&self.catalog);
        let free = self.free.iter();
        let free = free.map(|(name, &free)| ((service, zone(&self.catalog, name)), free));
        self.engine.set_free_slots(free.collect());
    }

    /// Builds a first attempt of a caller in `r0`.
    fn request(&mut self) -> RouteRequest {
        self.last_id += 1;
        RouteRequest {
            id: self.last_id,
            kind: AttemptKind::First,
            origin: Origin::Caller,
            service: service(&self.catalog),
            locality: region(&self.catalog, "r0"),
            block: self.last_id,
            bytes: 0,
            deadline: self.now + Duration::from_secs(1),
            targets: vec![],
            hosts: vec![],
            fingerprint: Fingerprint(self.last_id),
        }
    }

    fn submit(&mut self, request: RouteRequest) -> Option<Verdict> {
        self.engine.submit(self.now, request, &mut self.rng)
    }

    /// Sends a modified request, ends it immediately and returns its routing.
    fn send(&mut self, change: impl FnOnce(&mut RouteRequest)) -> Routing {
        self.advance_ms(self.request_interval_ms);
        let mut request = self.request();
        change(&mut request);
        let id = request.id;
        match self.submit(request) {
            Some(Verdict::Target { grant, .. }) => {
                self.finish(grant);
                Routing::Target
            }
            Some(Verdict::Host(permit)) => {
                let zone = self.catalog.host(permit.host).zone;
                let host = permit.host;
                self.engine
                    .finish_relay(self.now, &permit, PermitUsage::Used { bytes: 0 });
                Routing::Host(self.catalog.zone(zone).name.to_string(), host)
            }
            Some(Verdict::Refused(refusal)) => {
                assert!(refusal.retry_after >= Duration::from_millis(250));
                Routing::Refused(refusal.reason)
            }
            None => {
                self.engine.cancel(id);
                Routing::Wait
            }
        }
    }

    /// Sends many requests and counts their routings.
    fn send_many(
        &mut self,
        count: usize,
        change: impl Fn(&mut RouteRequest),
    ) -> BTreeMap<String, usize> {
        let mut routings = BTreeMap::new();
        for _ in 0..count {
            *routings.entry(self.send(&change).to_string()).or_default() += 1;
        }
        routings
    }

    fn finish(&mut self, grant: Grant) {
        let report = Report {
            end: End::Answered,
            latency: Duration::from_millis(50),
            load: None,
            state: None,
        };
        let ready = self.engine.finish(self.now, grant, report, &mut self.rng);
        assert!(ready.is_empty());
    }

    fn own_targets(&self) -> Vec<TargetKey> {
        let own = zone(&self.catalog, "r0-z0");
        let site = self.catalog.site(service(&self.catalog), own);
        site.map(|site| site.targets.clone()).unwrap_or_default()
    }

    /// Drains all targets of the own zone.
    fn drain_own_targets(&mut self) {
        for target in self.own_targets() {
            self.engine
                .set_health(self.now, target, Health::Down, Some(State::Draining));
        }
    }

    fn split(&self) -> ragwortfold::steer::split::Split {
        let key = (service(&self.catalog), region(&self.catalog, "r0"));
        self.engine.splits()[&key].clone()
    }

    fn hosts_of(&self, name: &str) -> Vec<HostKey> {
        let inside = |(host, _): &(&String, _)| host.starts_with(name);
        let hosts = hosts(&self.catalog);
        hosts.iter().filter(inside).map(|(_, &key)| key).collect()
    }
}

/// Routing of a request.
#[derive(Debug, PartialEq)]
enum Routing {
    Target,
    Host(String, HostKey),
    Refused(Reason),
    Wait,
}

impl std::fmt::Display for Routing {
    fn fmt(&self, to: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Target => write!(to, "target"),
            Self::Host(zone, _) => write!(to, "{zone}"),
            Self::Refused(reason) => write!(to, "{}", reason.as_str()),
            Self::Wait => write!(to, "wait"),
        }
    }
}

fn count(routings: &BTreeMap<String, usize>, name: &str) -> usize {
    routings.get(name).copied().unwrap_or_default()
}

/// Defines tests by name and body.
macro_rules! case {
    ($($name:ident: $body:expr;)*) => {$( #[test] fn $name() { $body } )*};
}

case! {
    own_zone_is_preferred_over_the_split: {
        let mut rig = Rig::new();
        assert!(rig.split().share(zone(&rig.catalog, "r0-z1")) > 0.4);
        assert_eq!(count(&rig.send_many(50, |_| {}), "target"), 50);
    };
    callers_of_another_region_are_routed_by_their_split: {
        let mut rig = Rig::new();
        rig.request_interval_ms = 100;
        let r1 = region(&rig.catalog, "r1");
        let routings = rig.send_many(20, |request| request.locality = r1);
        assert_eq!(count(&routings, "r1-z0") + count(&routings, "r1-z1"), 20, "{routings:?}");
    };
    requests_relayed_to_the_host_of_their_ticket_are_routed_by_the_split: {
        let mut rig = Rig::new();
        rig.request_interval_ms = 100;
        let own = rig.send_many(20, |_| {});
        assert_eq!(count(&own, "r0-z1"), 0, "{own:?}");
        let home = rig.send_many(100, |request| request.origin = Origin::TicketRelay);
        let away = count(&home, "r0-z1");
        assert!((30..70).contains(&away), "{home:?}");
    };
    relayed_requests_never_leave_the_zone: {
        let mut rig = Rig::new();
        rig.send_many(100, |_| {});
        rig.drain_own_targets();
        let routings = rig.send_many(20, |request| request.origin = Origin::Host);
        assert_eq!(count(&routings, "no-target"), 20, "{routings:?}");
    };
    loss_of_all_own_targets_spills_under_the_failover_cap: {
        let mut rig = Rig::new();
        rig.send_many(100, |_| {});
        rig.drain_own_targets();
        let routings = rig.send_many(100, |_| {});
        // The sum of 1/n for n from 101 reaches 0.25 with the 28th.
        assert_eq!(count(&routings, "r0-z1"), 28, "{routings:?}");
    };
    requests_that_tried_all_targets_spill_under_the_planned_cap_counted_once: {
        let mut rig = Rig::new();
        rig.send_many(100, |_| {});
        let tried = rig.own_targets();
        let routings = rig.send_many(60, |request| request.targets = tried.clone());
        // The sum of 1/n for n from 101 reaches 0.05 with the fifth.
        assert_eq!(count(&routings, "r0-z1"), 5, "{routings:?}");
    };
    targets_removed_by_configuration_spill_under_the_planned_cap: {
        let mut rig = Rig::new();
        rig.send_many(100, |_| {});
        rig.reconfigure(|value| value["availability_zones"]["r0-z0"]["state"] = json!("draining"));
        let before = rig.split();
        let moved = before.share(zone(&rig.catalog, "r0-z0"));
        let routings = rig.send_many(60, |_| {});
        assert!(moved > 0.4);
        assert!(count(&routings, "r0-z1") <= 5, "{routings:?}");
    };
    another_region_needs_a_report_of_free_slots: {
        let mut rig = Rig::new();
        rig.send_many(100, |_| {});
        rig.free = [("r0-z1", 0)].into();
        rig.publish_free_slots();
        rig.drain_own_targets();
        let routings = rig.send_many(10, |_| {});
        assert_eq!(count(&routings, "no-target"), 10, "{routings:?}");
        rig.free.insert("r1-z0", 1);
        rig.publish_free_slots();
        assert_eq!(count(&rig.send_many(10, |_| {}), "r1-z0"), 10);
    };
    zone_of_the_own_region_needs_no_report_of_free_slots: {
        let mut rig = Rig::new();
        rig.send_many(100, |_| {});
        rig.free.clear();
        rig.publish_free_slots();
        rig.drain_own_targets();
        assert_eq!(count(&rig.send_many(10, |_| {}), "r0-z1"), 10);
    };
    refusal_by_the_move_budget_returns_the_quota: {
        let mut rig = Rig::new();
        rig.free.insert("r0-z1", 0);
        rig.publish_free_slots();
        rig.drain_own_targets();
        rig.engine.link_headroom(rig.now);
        let routings = rig.send_many(2, |_| {});
        assert_eq!(count(&routings, "no-target"), 2, "{routings:?}");
        rig.advance_ms(1000);
        assert!(rig.engine.link_headroom(rig.now).values().all(|&room| room == 1.0));
        assert_eq!(rig.engine.outstanding_relays(), 0);
    };
    exhausted_link_quota_refuses: {
        let mut rig = Rig::with_configuration(|value| value["links"]["r0-r1"]["requests_per_s"] = json!(1));
        let r1 = region(&rig.catalog, "r1");
        rig.advance_ms(20_000);
        let routings = rig.send_many(20, |request| request.locality = r1);
        assert_eq!(count(&routings, "r1-z0") + count(&routings, "r1-z1"), 1, "{routings:?}");
    };
    hedge_neither_leaves_the_zone_nor_queues: {
        let mut rig = Rig::new();
        rig.send_many(100, |_| {});
        let r1 = region(&rig.catalog, "r1");
        assert_eq!(rig.send(|request| { request.kind = AttemptKind::Hedge; request.locality = r1; }), Routing::Target);
        let tried = rig.own_targets();
        let routings = rig.send_many(3, |request| { request.kind = AttemptKind::Hedge; request.targets = tried.clone(); });
        assert_eq!(count(&routings, "r0-z1") + count(&routings, "wait"), 0, "{routings:?}");
        let mut held = vec![];
        loop {
            let request = rig.request();
            match rig.submit(request) {
                Some(Verdict::Target { grant, .. }) => held.push(grant),
                _ => break,
            }
        }
        assert!(matches!(rig.send(|request| request.kind = AttemptKind::Hedge), Routing::Refused(_)));
    };
    retry_goes_elsewhere_when_no_other_target_is_left: {
        let mut rig = Rig::new();
        rig.send_many(100, |_| {});
        let tried = rig.own_targets();
        let other = rig.send(|request| { request.kind = AttemptKind::Retry; request.targets = tried[..1].to_vec(); });
        assert_eq!(other, Routing::Target);
        let none = rig.send(|request| { request.kind = AttemptKind::Retry; request.targets = tried.clone(); });
        assert!(matches!(none, Routing::Host(zone, _) if zone == "r0-z1"));
    };
    refused_relay_tries_one_more_host_of_the_zone_then_others: {
        let mut rig = Rig::new();
        rig.request_interval_ms = 100;
        let r1 = region(&rig.catalog, "r1");
        let hosts = rig.hosts_of("r1-z0");
        let block = (0..).find(|&block| {
            let Routing::Host(zone, _) = rig.send(|request| { request.locality = r1; request.block = block; }) else {
                return false;
            };
            zone == "r1-z0"
        });
        rig.send_many(100, |request| request.locality = r1);
        let mut routings = vec![];
        for tried in 1..3 {
            let routing = rig.send(|request| {
                request.kind = AttemptKind::Retry;
                request.locality = r1;
                request.block = block.expect("a block");
                request.hosts = hosts[..tried].to_vec();
            });
            routings.push(routing);
        }
        let Routing::Host(first, host) = &routings[0] else { panic!("{routings:?}") };
        assert!(first == "r1-z0" && !hosts[..1].contains(host));
        assert!(matches!(&routings[1], Routing::Host(zone, _) if zone != "r1-z0"), "{routings:?}");
    };
    chosen_zone_without_live_hosts_is_avoided_under_the_failover_cap: {
        let mut rig = Rig::new();
        rig.request_interval_ms = 100;
        let r1 = region(&rig.catalog, "r1");
        rig.request_interval_ms = 30;
        rig.advance_ms(20_000);
        rig.send_many(100, |request| request.locality = r1);
        for host in rig.hosts_of("r1-z0") {
            rig.live.remove(&host);
        }
        rig.engine.set_live(rig.now, rig.live.clone());
        rig.free = [("r0-z1", 8), ("r1-z1", 8)].into();
        rig.publish_free_slots();
        let routings = rig.send_many(100, |request| request.locality = r1);
        assert_eq!(count(&routings, "r1-z0"), 0);
        let refused = count(&routings, "unreachable");
        // Half of the requests need another zone, and 0.25 of all requests may move.
        assert!(refused > 5 && refused < 35, "{routings:?}");
    };
    draining_hosts_get_no_requests: {
        let mut rig = Rig::new();
        rig.request_interval_ms = 100;
        rig.reconfigure(|value| {
            for host in ["r1-z0-h0", "r1-z0-h1"] {
                value["hosts"][host]["state"] = json!("draining");
            }
        });
        let r1 = region(&rig.catalog, "r1");
        let leaving: BTreeSet<HostKey> = rig.hosts_of("r1-z0")[..2].iter().copied().collect();
        for _ in 0..30 {
            let routing = rig.send(|request| request.locality = r1);
            assert!(matches!(&routing, Routing::Host(_, host) if !leaving.contains(host)), "{routing:?}");
        }
    };
    blocks_that_the_split_moved_are_rerouted_without_charge: {
        let mut rig = Rig::new();
        rig.send_many(100, |_| {});
        let own = zone(&rig.catalog, "r0-z0");
        let before = rig.split();
        rig.drain_own_targets();
        rig.advance_ms(100);
        rig.publish_state();
        let after = rig.split();
        assert!(before.share(own) - after.share(own) > 0.2);
        let (mut moved, mut kept) = (0, 0);
        for block in 0..200 {
            let was = before.choose(block, |_| true) == Some(own);
            let is = after.choose(block, |_| true) == Some(own);
            let routing = rig.send(|request| request.block = block);
            let left = matches!(routing, Routing::Host(..));
            // The move used the whole budget, so no other block may leave.
            assert_eq!(left, was && !is, "{block}");
            moved += usize::from(left);
            kept += usize::from(was && is);
        }
        assert!(moved > 20 && kept > 20);
    };
    all_requests_follow_a_split_that_left_a_lost_zone: {
        let mut rig = Rig::new();
        rig.drain_own_targets();
        for _ in 0..10 {
            rig.advance_ms(5000);
            rig.publish_state();
        }
        assert_eq!(rig.split().share(zone(&rig.catalog, "r0-z0")), 0.0);
        assert_eq!(count(&rig.send_many(100, |_| {}), "r0-z1"), 100);
    };
    idle_service_may_retry_within_the_floor: {
        let mut rig = Rig::new();
        let routings = rig.send_many(4, |request| request.kind = AttemptKind::Retry);
        assert_eq!((count(&routings, "target"), count(&routings, "limited")), (3, 1), "{routings:?}");
    };
    changed_retry_share_applies: {
        let mut rig = Rig::new();
        rig.send_many(100, |_| {});
        rig.reconfigure(|value| value["limits"]["retry_share"] = json!(0.5));
        let routings = rig.send_many(60, |request| request.kind = AttemptKind::Retry);
        assert_eq!(count(&routings, "target"), 53, "{routings:?}");
    };
    no_request_leaves_the_zone_before_the_first_split: {
        let mut rig = Rig::new();
        rig.engine = Engine::new(&Steer::default(), 2);
        rig.configure();
        rig.publish_state();
        assert_eq!(count(&rig.send_many(20, |_| {}), "target"), 20);
        rig.drain_own_targets();
        assert_eq!(count(&rig.send_many(20, |_| {}), "no-target"), 20);
    };
    host_that_adopted_its_split_waits_for_a_window: {
        let mut rig = Rig::new();
        let splits = rig.engine.splits();
        rig.engine = Engine::new(&Steer::default(), 2);
        rig.configure();
        rig.engine.adopt_splits(rig.now, splits);
        rig.advance_ms(2000);
        rig.publish_state();
        rig.send_many(100, |_| {});
        rig.drain_own_targets();
        assert_eq!(count(&rig.send_many(20, |_| {}), "no-target"), 20);
    };
}

/// Events without faults: only the configuration moves traffic.
fn event_without_faults() -> impl Strategy<Value = Event> {
    prop_oneof![
        6 => (1u8..250).prop_map(Event::Run),
        1 => any::<u8>().prop_map(Event::Restart),
        1 => (any::<u8>(), any::<u8>()).prop_map(|(host, steps)| Event::Pause(host, steps)),
        2 => (any::<u8>(), any::<u8>()).prop_map(|(host, steps)| Event::Lag(host, steps)),
        2 => (any::<u8>(), any::<u8>()).prop_map(|(target, state)| Event::Configure(target, state)),
        1 => any::<u8>().prop_map(Event::Rate),
    ]
}

fn event_with_faults() -> impl Strategy<Value = Event> {
    prop_oneof![
        6 => event_without_faults(),
        2 => any::<u8>().prop_map(Event::Partition),
        2 => any::<u8>().prop_map(Event::LoseTargets),
    ]
}

fn run_history(seed: u64, events: Vec<Event>) {
    let mut fleet = Fleet::new(seed);
    for event in events {
        fleet.apply(event);
    }
    fleet.finish_and_check();
}

const CRASHING: Fingerprint = Fingerprint(7 << 40);

/// Returns a rig in which a request crashed `crashes` targets, one after the other.
fn rig_with_crashes(crashes: usize) -> Rig {
    let mut rig = Rig::new();
    for number in 0..crashes {
        let begun = rig.now;
        rig.advance_ms(400);
        let targets = rig.own_targets();
        let target = targets[number % targets.len()];
        rig.engine.record_crash(rig.now, CRASHING, target, begun);
        rig.advance_ms(1000);
    }
    rig
}

/// Defines tests by the number of targets that the request crashed, the kind of its attempt, its origin and the expected routing.
macro_rules! crashing_request {
    ($($name:ident: $crashes:expr, $kind:expr, $origin:expr => $routing:expr;)*) => {$(
        #[test]
        fn $name() {
            let routing = rig_with_crashes($crashes).send(|request| {
                request.fingerprint = CRASHING;
                request.kind = $kind;
                request.origin = $origin;
            });
            assert_eq!(routing.to_string(), $routing);
        }
    )*};
}

crashing_request! {
    one_crash_allows_retries: 1, AttemptKind::Retry, Origin::Caller => "target";
    suspected_request_is_not_retried: 2, AttemptKind::Retry, Origin::Caller => "quarantined";
    suspected_request_is_not_hedged: 2, AttemptKind::Hedge, Origin::Caller => "quarantined";
    suspected_request_is_sent_once: 2, AttemptKind::First, Origin::Caller => "target";
    third_crash_quarantines_the_request: 3, AttemptKind::First, Origin::Caller => "quarantined";
    relayed_quarantined_request_is_refused: 3, AttemptKind::First, Origin::Host => "quarantined";
}

/// A retry whose request was suspected a moment ago waits for an answer that clears it; it must not be refused while other hosts
/// may have answered the same request.
#[test]
fn a_retry_waits_until_its_request_is_cleared() {
    for is_answered in [true, false] {
        let mut rig = rig_with_crashes(1);
        let begun = rig.now;
        rig.advance_ms(10);
        let target = rig.own_targets()[1];
        rig.engine.record_crash(rig.now, CRASHING, target, begun);
        let submit_retry = |rig: &mut Rig| {
            let mut retry = rig.request();
            retry.fingerprint = CRASHING;
            retry.kind = AttemptKind::Retry;
            assert!(rig.submit(retry).is_none());
        };
        submit_retry(&mut rig);
        submit_retry(&mut rig);
        rig.advance_ms(100);
        assert!(rig.engine.tick(rig.now, &mut rig.rng).is_empty());
        if is_answered {
            rig.engine.record_answer(rig.now, CRASHING);
        }
        rig.advance_ms(100);
        let decisions = rig.engine.tick(rig.now, &mut rig.rng);
        let sent = decisions
            .iter()
            .filter(|(_, verdict)| matches!(verdict, Verdict::Target { .. }));
        // Without an answer one of them runs in isolation.
        assert_eq!(sent.count(), if is_answered { 2 } else { 1 });
        assert!(!decisions
            .iter()
            .any(|(_, verdict)| matches!(verdict, Verdict::Refused(_))));
    }
}

#[test]
fn suspected_requests_are_sent_one_at_a_time() {
    let mut rig = rig_with_crashes(2);
    let ask = |rig: &mut Rig| {
        let mut request = rig.request();
        request.fingerprint = CRASHING;
        (request.id, rig.submit(request))
    };
    let (first, verdict) = ask(&mut rig);
    assert!(matches!(verdict, Some(Verdict::Target { .. })));
    let (second, verdict) = ask(&mut rig);
    assert!(verdict.is_none());
    rig.advance_ms(100);
    assert!(rig.engine.tick(rig.now, &mut rig.rng).is_empty());
    rig.engine.release_suspect_permit(first);
    let decisions = rig.engine.tick(rig.now, &mut rig.rng);
    assert!(matches!(&decisions[..], [(id, Verdict::Target { .. })] if *id == second));
    let (_, verdict) = ask(&mut rig);
    assert!(verdict.is_none());
    // After the wait for the quarantine's decision, the request is sent.
    rig.advance_ms(600);
    assert_eq!(rig.engine.tick(rig.now, &mut rig.rng).len(), 1);
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 12,
        rng_seed: RngSeed::Fixed(11),
        failure_persistence: None,
        max_shrink_iters: 60,
        ..ProptestConfig::default()
    })]

    #[test]
    fn all_hosts_together_keep_every_limit(seed in any::<u64>(), events in vec(event_with_faults(), 20..40)) {
        run_history(seed, events);
    }

    #[test]
    fn without_faults_the_planned_cap_holds(seed in any::<u64>(), events in vec(event_without_faults(), 20..40)) {
        run_history(seed, events);
    }
}
