//! Which way a request goes: the rules one by one, then many hosts together.

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
use ragwortfold::steer::goal::{Standing, View};
use ragwortfold::steer::group::{End, Grant, Health, Report, State};
use ragwortfold::steer::pass::Back;
use rand::SeedableRng;
use rand_pcg::Pcg64;
use serde_json::{json, Value};

/// Two zones in each of three regions, three hosts a zone, two targets with four slots.
const PLACES: CatalogSize = CatalogSize {
    regions: 3,
    zones: 2,
    hosts: 3,
    services: 1,
    targets: 2,
};

/// The host `r0-z0-h0`, and what it is told.
struct Rig {
    engine: Engine,
    catalog: Arc<Catalog>,
    live: BTreeSet<HostKey>,
    view: View,
    free: BTreeMap<&'static str, u32>,
    now: Instant,
    rng: Pcg64,
    next: u64,
    /// Milliseconds from one request to the next.
    step: u64,
}

const ZONES: [&str; 6] = ["r0-z0", "r0-z1", "r1-z0", "r1-z1", "r2-z0", "r2-z1"];

impl Rig {
    /// All is alive, with free slots everywhere, and the first split is made.
    fn new() -> Self {
        Self::with(|_| {})
    }

    fn with(change: impl FnOnce(&mut Value)) -> Self {
        let mut value = configuration(PLACES);
        change(&mut value);
        let catalog = Arc::new(next_catalog(&Catalog::default(), value));
        let mut rig = Self {
            engine: Engine::new(&Steer::default(), 1),
            live: catalog.hosts().map(|(key, _)| key).collect(),
            view: View::default(),
            free: ZONES.into_iter().map(|zone| (zone, 8)).collect(),
            now: Instant::now(),
            rng: Pcg64::seed_from_u64(3),
            next: 0,
            step: 1,
            catalog,
        };
        for name in ZONES {
            let zone = zone(&rig.catalog, name);
            rig.view.zones.insert(zone, Standing::Alive);
            rig.view.slots.insert((service(&rig.catalog), zone), 8);
        }
        rig.configure();
        rig.pass(2000);
        rig.tell();
        rig
    }

    fn configure(&mut self) {
        let catalog = self.catalog.clone();
        self.engine.configure(self.now, catalog, "r0-z0");
    }

    fn reconfigure(&mut self, change: impl FnOnce(&mut Value)) {
        let mut value = configuration(PLACES);
        change(&mut value);
        self.catalog = Arc::new(next_catalog(&self.catalog, value));
        self.configure();
    }

    fn pass(&mut self, ms: u64) {
        self.now += Duration::from_millis(ms);
    }

    fn tell(&mut self) {
        self.engine.set_live(self.now, self.live.clone());
        self.tell_free();
        self.engine.set_view(self.now, self.view.clone());
    }

    fn tell_free(&mut self) {
        let service = service(&self.catalog);
        let free = self.free.iter();
        let free = free.map(|(name, &free)| ((service, zone(&self.catalog, name)), free));
        self.engine.set_free_slots(free.collect());
    }

    /// A first request of a caller in `r0`.
    fn request(&mut self) -> RouteRequest {
        self.next += 1;
        RouteRequest {
            id: self.next,
            kind: AttemptKind::First,
            origin: Origin::Caller,
            service: service(&self.catalog),
            locality: region(&self.catalog, "r0"),
            block: self.next,
            bytes: 0,
            deadline: self.now + Duration::from_secs(1),
            targets: vec![],
            hosts: vec![],
            fingerprint: Fingerprint(self.next),
        }
    }

    fn ask(&mut self, ask: RouteRequest) -> Option<Verdict> {
        self.engine.submit(self.now, ask, &mut self.rng)
    }

    /// Where a changed request goes; it is over at once.
    fn go(&mut self, change: impl FnOnce(&mut RouteRequest)) -> Way {
        self.pass(self.step);
        let mut ask = self.request();
        change(&mut ask);
        let id = ask.id;
        match self.ask(ask) {
            Some(Verdict::Target { grant, .. }) => {
                self.finish(grant);
                Way::Target
            }
            Some(Verdict::Host(pass)) => {
                let zone = self.catalog.host(pass.host).zone;
                let host = pass.host;
                self.engine
                    .finish_pass(self.now, &pass, Back::Nothing { bytes: 0 });
                Way::Host(self.catalog.zone(zone).name.to_string(), host)
            }
            Some(Verdict::Refused(refusal)) => {
                assert!(refusal.retry_after >= Duration::from_millis(250));
                Way::Refused(refusal.reason)
            }
            None => {
                self.engine.cancel(id);
                Way::Wait
            }
        }
    }

    /// Where many requests go, counted.
    fn many(
        &mut self,
        count: usize,
        change: impl Fn(&mut RouteRequest),
    ) -> BTreeMap<String, usize> {
        let mut ways = BTreeMap::new();
        for _ in 0..count {
            *ways.entry(self.go(&change).to_string()).or_default() += 1;
        }
        ways
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

    /// The own zone's targets take no more work.
    fn lose_own(&mut self) {
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

/// Where a request went.
#[derive(Debug, PartialEq)]
enum Way {
    Target,
    Host(String, HostKey),
    Refused(Reason),
    Wait,
}

impl std::fmt::Display for Way {
    fn fmt(&self, to: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Target => write!(to, "target"),
            Self::Host(zone, _) => write!(to, "{zone}"),
            Self::Refused(reason) => write!(to, "{}", reason.as_str()),
            Self::Wait => write!(to, "wait"),
        }
    }
}

fn count(ways: &BTreeMap<String, usize>, name: &str) -> usize {
    ways.get(name).copied().unwrap_or_default()
}

/// Names a test and its body.
macro_rules! case {
    ($($name:ident: $body:expr;)*) => {$( #[test] fn $name() { $body } )*};
}

case! {
    own_zone_goes_first_whatever_the_split_chooses: {
        let mut rig = Rig::new();
        assert!(rig.split().share(zone(&rig.catalog, "r0-z1")) > 0.4);
        assert_eq!(count(&rig.many(50, |_| {}), "target"), 50);
    };
    callers_of_another_region_go_where_their_split_says: {
        let mut rig = Rig::new();
        rig.step = 100;
        let r1 = region(&rig.catalog, "r1");
        let ways = rig.many(20, |ask| ask.locality = r1);
        assert_eq!(count(&ways, "r1-z0") + count(&ways, "r1-z1"), 20, "{ways:?}");
    };
    requests_relayed_to_the_home_of_their_ticket_go_by_the_split: {
        let mut rig = Rig::new();
        rig.step = 100;
        let own = rig.many(20, |_| {});
        assert_eq!(count(&own, "r0-z1"), 0, "{own:?}");
        let home = rig.many(100, |ask| ask.origin = Origin::TicketRelay);
        let away = count(&home, "r0-z1");
        assert!((30..70).contains(&away), "{home:?}");
    };
    relayed_requests_never_leave_the_zone: {
        let mut rig = Rig::new();
        rig.many(100, |_| {});
        rig.lose_own();
        let ways = rig.many(20, |ask| ask.origin = Origin::Host);
        assert_eq!(count(&ways, "no-target"), 20, "{ways:?}");
    };
    loss_of_all_own_targets_spills_under_the_failover_cap: {
        let mut rig = Rig::new();
        rig.many(100, |_| {});
        rig.lose_own();
        let ways = rig.many(100, |_| {});
        // The sum of 1/n for n from 101 reaches 0.25 with the 28th.
        assert_eq!(count(&ways, "r0-z1"), 28, "{ways:?}");
    };
    tried_targets_spill_under_the_planned_cap_counted_once: {
        let mut rig = Rig::new();
        rig.many(100, |_| {});
        let tried = rig.own_targets();
        let ways = rig.many(60, |ask| ask.targets = tried.clone());
        // The sum of 1/n for n from 101 reaches 0.05 with the fifth.
        assert_eq!(count(&ways, "r0-z1"), 5, "{ways:?}");
    };
    targets_out_by_configuration_spill_under_the_planned_cap: {
        let mut rig = Rig::new();
        rig.many(100, |_| {});
        rig.reconfigure(|value| value["availability_zones"]["r0-z0"]["state"] = json!("draining"));
        let before = rig.split();
        let moved = before.share(zone(&rig.catalog, "r0-z0"));
        let ways = rig.many(60, |_| {});
        assert!(moved > 0.4);
        assert!(count(&ways, "r0-z1") <= 5, "{ways:?}");
    };
    another_region_must_be_known_to_have_room: {
        let mut rig = Rig::new();
        rig.many(100, |_| {});
        rig.free = [("r0-z1", 0)].into();
        rig.tell_free();
        rig.lose_own();
        let ways = rig.many(10, |_| {});
        assert_eq!(count(&ways, "no-target"), 10, "{ways:?}");
        rig.free.insert("r1-z0", 1);
        rig.tell_free();
        assert_eq!(count(&rig.many(10, |_| {}), "r1-z0"), 10);
    };
    sibling_not_known_to_be_full_will_do: {
        let mut rig = Rig::new();
        rig.many(100, |_| {});
        rig.free.clear();
        rig.tell_free();
        rig.lose_own();
        assert_eq!(count(&rig.many(10, |_| {}), "r0-z1"), 10);
    };
    refusal_by_the_ledger_gives_the_quota_back: {
        let mut rig = Rig::new();
        rig.free.insert("r0-z1", 0);
        rig.tell_free();
        rig.lose_own();
        rig.engine.link_headroom(rig.now);
        let ways = rig.many(2, |_| {});
        assert_eq!(count(&ways, "no-target"), 2, "{ways:?}");
        rig.pass(1000);
        assert!(rig.engine.link_headroom(rig.now).values().all(|&room| room == 1.0));
        assert_eq!(rig.engine.passes(), 0);
    };
    spent_link_quota_refuses: {
        let mut rig = Rig::with(|value| value["links"]["r0-r1"]["requests_per_s"] = json!(1));
        let r1 = region(&rig.catalog, "r1");
        rig.pass(20_000);
        let ways = rig.many(20, |ask| ask.locality = r1);
        assert_eq!(count(&ways, "r1-z0") + count(&ways, "r1-z1"), 1, "{ways:?}");
    };
    hedge_neither_leaves_nor_waits: {
        let mut rig = Rig::new();
        rig.many(100, |_| {});
        let r1 = region(&rig.catalog, "r1");
        assert_eq!(rig.go(|ask| { ask.kind = AttemptKind::Hedge; ask.locality = r1; }), Way::Target);
        let tried = rig.own_targets();
        let ways = rig.many(3, |ask| { ask.kind = AttemptKind::Hedge; ask.targets = tried.clone(); });
        assert_eq!(count(&ways, "r0-z1") + count(&ways, "wait"), 0, "{ways:?}");
        let mut held = vec![];
        loop {
            let ask = rig.request();
            match rig.ask(ask) {
                Some(Verdict::Target { grant, .. }) => held.push(grant),
                _ => break,
            }
        }
        assert!(matches!(rig.go(|ask| ask.kind = AttemptKind::Hedge), Way::Refused(_)));
    };
    retry_goes_elsewhere_when_no_other_target_is_left: {
        let mut rig = Rig::new();
        rig.many(100, |_| {});
        let tried = rig.own_targets();
        let other = rig.go(|ask| { ask.kind = AttemptKind::Retry; ask.targets = tried[..1].to_vec(); });
        assert_eq!(other, Way::Target);
        let none = rig.go(|ask| { ask.kind = AttemptKind::Retry; ask.targets = tried.clone(); });
        assert!(matches!(none, Way::Host(zone, _) if zone == "r0-z1"));
    };
    refused_relay_tries_one_more_host_of_the_zone_then_others: {
        let mut rig = Rig::new();
        rig.step = 100;
        let r1 = region(&rig.catalog, "r1");
        let hosts = rig.hosts_of("r1-z0");
        let block = (0..).find(|&block| {
            let Way::Host(zone, _) = rig.go(|ask| { ask.locality = r1; ask.block = block; }) else {
                return false;
            };
            zone == "r1-z0"
        });
        rig.many(100, |ask| ask.locality = r1);
        let mut ways = vec![];
        for tried in 1..3 {
            let way = rig.go(|ask| {
                ask.kind = AttemptKind::Retry;
                ask.locality = r1;
                ask.block = block.expect("a block");
                ask.hosts = hosts[..tried].to_vec();
            });
            ways.push(way);
        }
        let Way::Host(first, host) = &ways[0] else { panic!("{ways:?}") };
        assert!(first == "r1-z0" && !hosts[..1].contains(host));
        assert!(matches!(&ways[1], Way::Host(zone, _) if zone != "r1-z0"), "{ways:?}");
    };
    chosen_zone_without_live_hosts_is_left_under_the_failover_cap: {
        let mut rig = Rig::new();
        rig.step = 100;
        let r1 = region(&rig.catalog, "r1");
        rig.step = 30;
        rig.pass(20_000);
        rig.many(100, |ask| ask.locality = r1);
        for host in rig.hosts_of("r1-z0") {
            rig.live.remove(&host);
        }
        rig.engine.set_live(rig.now, rig.live.clone());
        rig.free = [("r0-z1", 8), ("r1-z1", 8)].into();
        rig.tell_free();
        let ways = rig.many(100, |ask| ask.locality = r1);
        assert_eq!(count(&ways, "r1-z0"), 0);
        let refused = count(&ways, "unreachable");
        // Half of the requests look for another zone, and 0.25 of them all may go.
        assert!(refused > 5 && refused < 35, "{ways:?}");
    };
    draining_hosts_get_no_requests: {
        let mut rig = Rig::new();
        rig.step = 100;
        rig.reconfigure(|value| {
            for host in ["r1-z0-h0", "r1-z0-h1"] {
                value["hosts"][host]["state"] = json!("draining");
            }
        });
        let r1 = region(&rig.catalog, "r1");
        let leaving: BTreeSet<HostKey> = rig.hosts_of("r1-z0")[..2].iter().copied().collect();
        for _ in 0..30 {
            let way = rig.go(|ask| ask.locality = r1);
            assert!(matches!(&way, Way::Host(_, host) if !leaving.contains(host)), "{way:?}");
        }
    };
    blocks_that_the_split_moved_follow_it_without_charge: {
        let mut rig = Rig::new();
        rig.many(100, |_| {});
        let own = zone(&rig.catalog, "r0-z0");
        let before = rig.split();
        rig.lose_own();
        rig.pass(100);
        rig.tell();
        let after = rig.split();
        assert!(before.share(own) - after.share(own) > 0.2);
        let (mut moved, mut kept) = (0, 0);
        for block in 0..200 {
            let was = before.choose(block, |_| true) == Some(own);
            let is = after.choose(block, |_| true) == Some(own);
            let way = rig.go(|ask| ask.block = block);
            let left = matches!(way, Way::Host(..));
            // The move took the whole budget, so that nothing is left for others.
            assert_eq!(left, was && !is, "{block}");
            moved += usize::from(left);
            kept += usize::from(was && is);
        }
        assert!(moved > 20 && kept > 20);
    };
    once_the_split_has_left_a_lost_zone_all_follow: {
        let mut rig = Rig::new();
        rig.lose_own();
        for _ in 0..10 {
            rig.pass(5000);
            rig.tell();
        }
        assert_eq!(rig.split().share(zone(&rig.catalog, "r0-z0")), 0.0);
        assert_eq!(count(&rig.many(100, |_| {}), "r0-z1"), 100);
    };
    quiet_service_may_retry_within_the_floor: {
        let mut rig = Rig::new();
        let ways = rig.many(4, |ask| ask.kind = AttemptKind::Retry);
        assert_eq!((count(&ways, "target"), count(&ways, "limited")), (3, 1), "{ways:?}");
    };
    changed_retry_share_is_in_force: {
        let mut rig = Rig::new();
        rig.many(100, |_| {});
        rig.reconfigure(|value| value["limits"]["retry_share"] = json!(0.5));
        let ways = rig.many(60, |ask| ask.kind = AttemptKind::Retry);
        assert_eq!(count(&ways, "target"), 53, "{ways:?}");
    };
    nothing_leaves_before_the_first_split: {
        let mut rig = Rig::new();
        rig.engine = Engine::new(&Steer::default(), 2);
        rig.configure();
        rig.tell();
        assert_eq!(count(&rig.many(20, |_| {}), "target"), 20);
        rig.lose_own();
        assert_eq!(count(&rig.many(20, |_| {}), "no-target"), 20);
    };
    host_that_adopted_its_split_waits_a_window: {
        let mut rig = Rig::new();
        let splits = rig.engine.splits();
        rig.engine = Engine::new(&Steer::default(), 2);
        rig.configure();
        rig.engine.adopt_splits(rig.now, splits);
        rig.pass(2000);
        rig.tell();
        rig.many(100, |_| {});
        rig.lose_own();
        assert_eq!(count(&rig.many(20, |_| {}), "no-target"), 20);
    };
}

/// What happens to places that all work: only the configuration moves traffic.
fn quiet() -> impl Strategy<Value = Event> {
    prop_oneof![
        6 => (1u8..250).prop_map(Event::Run),
        1 => any::<u8>().prop_map(Event::Restart),
        1 => (any::<u8>(), any::<u8>()).prop_map(|(host, steps)| Event::Pause(host, steps)),
        2 => (any::<u8>(), any::<u8>()).prop_map(|(host, steps)| Event::Lag(host, steps)),
        2 => (any::<u8>(), any::<u8>()).prop_map(|(target, state)| Event::Configure(target, state)),
        1 => any::<u8>().prop_map(Event::Rate),
    ]
}

fn faulty() -> impl Strategy<Value = Event> {
    prop_oneof![
        6 => quiet(),
        2 => any::<u8>().prop_map(Event::Cut),
        2 => any::<u8>().prop_map(Event::Lose),
    ]
}

fn play(seed: u64, events: Vec<Event>) {
    let mut fleet = Fleet::new(seed);
    for event in events {
        fleet.apply(event);
    }
    fleet.conclude();
}

const POISON: Fingerprint = Fingerprint(7 << 40);

/// A rig at which a request broke off at so many targets, one after the other.
fn rig_with_poison(crashes: usize) -> Rig {
    let mut rig = Rig::new();
    for number in 0..crashes {
        let begun = rig.now;
        rig.pass(400);
        let targets = rig.own_targets();
        let target = targets[number % targets.len()];
        rig.engine.record_crash(rig.now, POISON, target, begun);
        rig.pass(1000);
    }
    rig
}

/// A try of such a request, by how many targets it crashed before and what kind of try it is.
macro_rules! poison {
    ($($name:ident: $crashes:expr, $kind:expr, $origin:expr => $way:expr;)*) => {$(
        #[test]
        fn $name() {
            let way = rig_with_poison($crashes).go(|ask| {
                ask.fingerprint = POISON;
                ask.kind = $kind;
                ask.origin = $origin;
            });
            assert_eq!(way.to_string(), $way);
        }
    )*};
}

poison! {
    one_crash_leaves_repeats: 1, AttemptKind::Retry, Origin::Caller => "target";
    a_suspected_request_is_not_repeated: 2, AttemptKind::Retry, Origin::Caller => "quarantined";
    nor_is_a_copy_of_it_sent: 2, AttemptKind::Hedge, Origin::Caller => "quarantined";
    it_is_sent_once: 2, AttemptKind::First, Origin::Caller => "target";
    a_third_crash_ends_that: 3, AttemptKind::First, Origin::Caller => "quarantined";
    relayed_ones_are_refused_too: 3, AttemptKind::First, Origin::Host => "quarantined";
}

#[test]
fn of_a_suspected_request_one_is_under_way_at_a_time() {
    let mut rig = rig_with_poison(2);
    let ask = |rig: &mut Rig| {
        let mut ask = rig.request();
        ask.fingerprint = POISON;
        (ask.id, rig.ask(ask))
    };
    let (first, verdict) = ask(&mut rig);
    assert!(matches!(verdict, Some(Verdict::Target { .. })));
    let (second, verdict) = ask(&mut rig);
    assert!(verdict.is_none());
    rig.pass(100);
    assert!(rig.engine.tick(rig.now, &mut rig.rng).is_empty());
    rig.engine.release_suspect_permit(first);
    let decisions = rig.engine.tick(rig.now, &mut rig.rng);
    assert!(matches!(&decisions[..], [(id, Verdict::Target { .. })] if *id == second));
    let (_, verdict) = ask(&mut rig);
    assert!(verdict.is_none());
    // Not known for long: it is sent.
    rig.pass(600);
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
    fn hosts_together_keep_every_limit(seed in any::<u64>(), events in vec(faulty(), 20..40)) {
        play(seed, events);
    }

    #[test]
    fn without_faults_the_planned_cap_holds(seed in any::<u64>(), events in vec(quiet(), 20..40)) {
        play(seed, events);
    }
}
