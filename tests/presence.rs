//! Tests of the tracking of live hosts and of the selection of the hosts that watch the store.

#![allow(clippy::unwrap_used)]

use std::collections::{BTreeMap, BTreeSet};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::{Duration, Instant};

use ragwortfold::control::presence::{
    Heartbeat, HostRecord, LookupFilter, Presence, Pulse, StoreView, Strength, INTERVAL,
    REMOTE_HEARTBEAT_STRIDE, REMOVAL_SILENCE,
};
use ragwortfold::control::replica::Outage;
use ragwortfold::port::Question;

fn regions() -> BTreeMap<Arc<str>, Arc<str>> {
    [("n-a", "n"), ("n-b", "n"), ("s-a", "s")]
        .map(|(zone, region)| (zone.into(), region.into()))
        .into()
}

/// The address that receives a host's heartbeats, derived from its name.
fn address_of(host: &str) -> SocketAddr {
    let sum = host.bytes().fold(0u16, |sum, byte| {
        sum.wrapping_mul(31).wrapping_add(byte.into())
    });
    SocketAddr::from(([127, 0, 0, 1], sum))
}

fn record(host: &str, zone: &str, incarnation: u64) -> HostRecord {
    HostRecord {
        host: host.into(),
        zone: zone.into(),
        front: address_of(host),
        peers: address_of(host),
        feed: "127.0.0.1:3".parse().unwrap(),
        incarnation,
        strength: Strength {
            cores: 0.2,
            megabits: 1000.0,
        },
    }
}

fn heartbeat(record: HostRecord, view: StoreView) -> Heartbeat {
    Heartbeat {
        record,
        leaving: false,
        store_view: view,
        rate: 0,
    }
}

fn names<'a>(records: impl Iterator<Item = &'a HostRecord>) -> Vec<&'a str> {
    records.map(|record| &*record.host).collect()
}

/// A host `h0` in zone `n-a` that has received heartbeats of the given other hosts.
fn presence(now: Instant, others: &[(&str, &str)]) -> Presence {
    let mut presence = Presence::new(now, record("h0", "n-a", 1), regions());
    presence.set_store_view(StoreView::Store);
    presence.mark_listed();
    for (host, zone) in others {
        presence.receive_heartbeat(now, heartbeat(record(host, zone, 1), StoreView::Relayed));
    }
    presence
}

#[test]
fn a_host_that_falls_silent_is_dead_in_time() {
    let start = Instant::now();
    let presence = presence(start, &[("h1", "n-b"), ("h2", "s-a")]);
    let after = |time: Duration| names(presence.serving(start + time));
    assert_eq!(after(INTERVAL * 3), ["h0", "h1", "h2"]);
    assert_eq!(after(INTERVAL * 4), ["h0", "h2"]);
    assert_eq!(after(INTERVAL * 4 * REMOTE_HEARTBEAT_STRIDE as u32), ["h0"]);
    let removable: Vec<_> = presence.removable_hosts(start + REMOVAL_SILENCE).collect();
    assert_eq!(removable, [&"h1".into(), &Arc::<str>::from("h2")]);
}

/// The hosts that should be removed after `silence`, from the view of a host with the given view of
/// the store. `other_watcher` is another host that sees it.
fn removable_hosts(
    view: StoreView,
    silence: Duration,
    other_watcher: Option<&str>,
) -> Vec<Arc<str>> {
    let start = Instant::now();
    let mut presence = presence(start, &[("h-silent", "n-b")]);
    presence.set_store_view(view);
    if let Some(other_watcher) = other_watcher {
        let record = record(other_watcher, "n-a", 1);
        presence.receive_heartbeat(start + silence, heartbeat(record, StoreView::Store));
    }
    presence.removable_hosts(start + silence).cloned().collect()
}

#[test]
fn registrations_are_removed_by_one_host_that_sees_the_store() {
    let silent = vec![Arc::<str>::from("h-silent")];
    assert_eq!(
        removable_hosts(StoreView::Store, REMOVAL_SILENCE, None),
        silent
    );
    assert_eq!(
        removable_hosts(StoreView::Store, REMOVAL_SILENCE - INTERVAL, None),
        [] as [Arc<str>; 0]
    );
    assert_eq!(
        removable_hosts(StoreView::Stale, REMOVAL_SILENCE, None),
        [] as [Arc<str>; 0]
    );
    let count_removable =
        |name| removable_hosts(StoreView::Store, REMOVAL_SILENCE, Some(name)).len();
    let other_watchers = ["a", "b", "c", "d", "e", "f", "g", "i"];
    let counts = other_watchers.map(count_removable);
    assert!(counts.contains(&0) && counts.contains(&1), "{counts:?}");
}

#[test]
fn a_host_that_leaves_is_not_named() {
    let now = Instant::now();
    let mut presence = presence(now, &[("h1", "n-b")]);
    let mut last = heartbeat(record("h1", "n-b", 1), StoreView::Store);
    last.leaving = true;
    presence.receive_heartbeat(now, last);
    assert_eq!(names(presence.serving(now)), ["h0"]);
    presence.leave();
    assert!(names(presence.serving(now)).is_empty());
}

/// The hosts named to a caller of zone `n-a`, given the store views of `h0`, `h1` and `h2` in its
/// zone.
macro_rules! named_hosts {
    ($($name:ident: $filter:ident, $views:expr => $expected:expr;)*) => {$(
        #[test]
        fn $name() {
            let now = Instant::now();
            let [own, views @ ..]: [StoreView; 3] = $views;
            let mut presence = presence(now, &[]).with_lookup_filter(LookupFilter::$filter);
            presence.set_store_view(own);
            for (host, view) in ["h1", "h2"].into_iter().zip(views) {
                presence.receive_heartbeat(now, heartbeat(record(host, "n-a", 1), view));
            }
            let question = Question {
                region: "n".into(),
                zone: "n-a".into(),
            };
            let caller = IpAddr::V4(Ipv4Addr::LOCALHOST);
            let named: BTreeSet<_> = presence.lookup_hosts(now, &question, caller).into_iter().collect();
            let expected: &[&str] = &$expected;
            assert_eq!(named, expected.iter().map(|host| address_of(host)).collect());
        }
    )*};
}

named_hosts! {
    hosts_that_lost_the_store_are_not_named_beside_others: CurrentView, [StoreView::Stale, StoreView::Relayed, StoreView::Store]
        => ["h1", "h2"];
    all_are_named_if_none_sees_the_store: CurrentView, [StoreView::Stale; 3] => ["h0", "h1", "h2"];
    all_are_named_where_hosts_go_on_without_it: All, [StoreView::Stale, StoreView::Relayed, StoreView::Store] => ["h0", "h1", "h2"];
}

#[test]
fn a_host_without_a_configuration_is_alive_but_not_named() {
    let now = Instant::now();
    let mut presence = presence(now, &[]);
    presence.receive_heartbeat(now, heartbeat(record("h1", "n-b", 1), StoreView::Nothing));
    assert_eq!(names(presence.alive(now)), ["h0", "h1"]);
    assert_eq!(names(presence.serving(now)), ["h0"]);
}

#[test]
fn a_registered_host_counts_until_it_was_silent() {
    let now = Instant::now();
    let mut presence = presence(now, &[]);
    assert!(presence.register(now, record("h1", "n-b", 1)));
    assert!(!presence.register(now, record("h1", "n-b", 1)));
    assert_eq!(names(presence.serving(now)), ["h0", "h1"]);
    assert_eq!(names(presence.serving(now + INTERVAL * 4)), ["h0"]);
}

#[test]
fn heartbeats_of_an_earlier_process_are_ignored() {
    let now = Instant::now();
    let mut presence = presence(now, &[("h1", "n-b")]);
    presence.receive_heartbeat(now, heartbeat(record("h1", "n-b", 5), StoreView::Store));
    let mut late = heartbeat(record("h1", "n-b", 1), StoreView::Store);
    late.leaving = true;
    presence.receive_heartbeat(now, late);
    assert_eq!(names(presence.serving(now)), ["h0", "h1"]);
}

#[test]
fn a_restart_after_the_clock_was_set_back_is_accepted() {
    let now = Instant::now();
    let mut presence = presence(now, &[]);
    presence.receive_heartbeat(now, heartbeat(record("h1", "n-b", 5), StoreView::Store));
    let later = now + INTERVAL * 3;
    assert!(presence.receive_heartbeat(later, heartbeat(record("h1", "n-b", 2), StoreView::Store)));
    assert_eq!(names(presence.serving(later + INTERVAL)), ["h0", "h1"]);
}

#[test]
fn a_pause_of_this_process_causes_no_death() {
    let start = Instant::now();
    let mut presence = presence(start, &[("h1", "n-b")]);
    let woken = start + Duration::from_secs(10);
    presence.tick(woken);
    assert_eq!(names(presence.serving(woken)), ["h0", "h1"]);
    for heartbeat in 1..=4 {
        presence.tick(woken + INTERVAL * heartbeat);
    }
    assert_eq!(names(presence.serving(woken + INTERVAL * 4)), ["h0"]);
}

/// The hosts of one region that watch the store, if each has the given view of it and all know
/// these views.
fn watchers(now: Instant, views: &[StoreView]) -> Vec<usize> {
    let host = |index: usize| record(&format!("h{index}"), "n-a", 1);
    (0..views.len())
        .filter(|own| {
            let met = now.checked_sub(Duration::from_secs(10)).unwrap();
            let mut presence = Presence::new(met, host(*own), regions());
            presence.set_store_view(views[*own]);
            for (index, view) in views.iter().enumerate() {
                presence.receive_heartbeat(met, heartbeat(host(index), *view));
                presence.receive_heartbeat(now, heartbeat(host(index), *view));
            }
            presence.is_watcher(now)
        })
        .collect()
}

/// The number of hosts of a region that watch the store, by the number of its hosts. Other regions
/// have none.
macro_rules! watcher_counts {
    ($($name:ident: $hosts:expr => $watchers:expr;)*) => {$(
        #[test]
        fn $name() {
            check_watchers($hosts, $watchers);
        }
    )*};
}

watcher_counts! {
    three_hosts_of_a_small_system_watch_the_store: 20 => 3;
    three_hosts_of_a_larger_system_watch_the_store: 100 => 3;
    four_hosts_of_a_large_region_watch_the_store: 227 => 4;
}

fn check_watchers(hosts: usize, count: usize) {
    let now = Instant::now();
    let few = watchers(now, &vec![StoreView::Store; hosts]);
    assert_eq!(few.len(), count);
    assert_eq!(watchers(now, &vec![StoreView::Relayed; hosts]), few);
    let stale = watchers(now, &vec![StoreView::Stale; hosts]);
    assert_eq!(stale.len(), count, "few hosts call a store that none sees");
    let mut views = vec![StoreView::Relayed; hosts];
    for index in &few {
        views[*index] = StoreView::Store;
    }
    assert_eq!(watchers(now, &views), few);
    views[few[0]] = StoreView::Stale;
    let others = watchers(now, &views);
    assert_eq!(
        others.len(),
        count + 1,
        "the next one begins to watch, the first keeps trying"
    );
}

/// With hosts in three regions, one of each watches the store.
#[test]
fn each_region_has_one_watcher() {
    let now = Instant::now();
    let zones = ["n-a", "s-a", "e-a"];
    let host = |index: usize| record(&format!("h{index}"), zones[index % 3], 1);
    let watcher_zones: Vec<_> = (0..12)
        .filter(|own| {
            let mut presence = Presence::new(now, host(*own), regions());
            presence.set_store_view(StoreView::Store);
            for index in 0..12 {
                presence.receive_heartbeat(now, heartbeat(host(index), StoreView::Store));
            }
            presence.is_watcher(now)
        })
        .map(|index| zones[index % 3])
        .collect();
    let regions: BTreeSet<_> = watcher_zones.iter().collect();
    assert_eq!((watcher_zones.len(), regions.len()), (3, 3));
}

#[test]
fn a_host_that_sees_the_store_keeps_watching_beside_those_that_do_not() {
    let now = Instant::now();
    let mut views = [StoreView::Relayed; 20];
    let first = watchers(now, &[StoreView::Store; 20]);
    let last = (0..20).find(|index| !first.contains(index)).unwrap();
    views[last] = StoreView::Store;
    assert!(watchers(now, &views).contains(&last));
}

#[test]
fn hosts_that_start_together_leave_the_store_to_few() {
    let now = Instant::now();
    let host = |index: usize| record(&format!("h{index}"), "n-a", 1);
    let count = (0..20).filter(|own| {
        let mut presence = Presence::new(now, host(*own), regions());
        for index in 0..20 {
            presence.receive_heartbeat(now, heartbeat(host(index), StoreView::Nothing));
        }
        presence.is_watcher(now)
    });
    assert_eq!(count.count(), 3);
}

#[test]
fn the_nearest_host_that_sees_the_store_is_followed() {
    let now = Instant::now();
    let mut presence = presence(now, &[("h1", "n-b")]);
    presence.set_store_view(StoreView::Nothing);
    assert_eq!(&*presence.feed_source(now, |_| false).unwrap().0.host, "h1");
    presence.receive_heartbeat(now, heartbeat(record("h2", "s-a", 1), StoreView::Store));
    assert_eq!(&*presence.feed_source(now, |_| false).unwrap().0.host, "h2");
    presence.receive_heartbeat(now, heartbeat(record("h3", "n-b", 1), StoreView::Store));
    assert_eq!(&*presence.feed_source(now, |_| false).unwrap().0.host, "h3");
}

#[test]
fn of_watchers_in_the_region_one_of_the_zone_is_followed() {
    let now = Instant::now();
    for zone in ["n-a", "n-b"] {
        let mut presence = Presence::new(now, record("own", zone, 1), regions());
        for (host, zone) in [("h1", "n-a"), ("h2", "n-b"), ("h3", "s-a")] {
            presence.receive_heartbeat(now, heartbeat(record(host, zone, 1), StoreView::Store));
        }
        let (source, _) = presence.feed_source(now, |_| false).unwrap();
        assert_eq!(&*source.zone, zone);
    }
}

#[test]
fn hosts_that_lost_the_store_do_not_follow_each_other() {
    let now = Instant::now();
    let mut presence = presence(now, &[]);
    presence.set_store_view(StoreView::Stale);
    presence.receive_heartbeat(now, heartbeat(record("h1", "n-b", 1), StoreView::Stale));
    assert!(presence.feed_source(now, |_| false).is_none());
    presence.set_store_view(StoreView::Nothing);
    assert!(
        presence.feed_source(now, |_| false).is_some(),
        "what is old is better than nothing"
    );
}

#[test]
fn a_host_that_lost_the_store_makes_it_doubtful() {
    let now = Instant::now();
    let mut presence = presence(now, &[("h1", "n-b")]);
    assert!(!presence.is_store_doubtful(now));
    presence.receive_heartbeat(now, heartbeat(record("h1", "n-b", 1), StoreView::Stale));
    assert!(presence.is_store_doubtful(now));
}

/// A store that has just returned may still hold old data: it does not show yet which targets
/// turned cold meanwhile.
#[test]
fn a_store_stays_doubtful_until_targets_had_time_to_report() {
    let now = Instant::now();
    let mut presence = presence(now, &[("h1", "n-b")]);
    presence.set_store_view(StoreView::Stale);
    presence.track_outage(now);
    presence.set_store_view(StoreView::Store);
    let back = now + Duration::from_millis(100);
    presence.track_outage(back);
    assert!(presence.is_store_doubtful(back + Duration::from_secs(2)));
    presence.receive_heartbeat(
        back + Duration::from_secs(3),
        heartbeat(record("h1", "n-b", 1), StoreView::Relayed),
    );
    assert!(!presence.is_store_doubtful(back + Duration::from_secs(3)));
}

/// The outage that a host detects, checking each 0.1 s, when no host sees the store for this number
/// of milliseconds.
fn outage_after(unseen: u64) -> Outage {
    let start = Instant::now();
    let mut presence = presence(start, &[]);
    presence.set_store_view(StoreView::Stale);
    let last = Duration::from_millis(unseen);
    for tick in 0..=unseen / 100 {
        presence.track_outage(start + Duration::from_millis(tick * 100));
    }
    presence.set_store_view(StoreView::Store);
    presence.track_outage(start + last);
    presence.outage(start + last)
}

macro_rules! outages {
    ($($name:ident: $unseen:expr => $outage:expr;)*) => {$(
        #[test]
        fn $name() {
            assert_eq!(outage_after($unseen), $outage);
        }
    )*};
}

outages! {
    a_store_lost_for_a_moment_is_a_brief_outage: 100 => Outage::Brief;
    a_store_lost_until_others_take_over_is_a_brief_outage: 1000 => Outage::Brief;
    a_store_unseen_for_two_heartbeats_minus_detection_time_is_a_long_outage: 1900 => Outage::Long;
}

#[test]
fn the_store_was_away_only_if_no_host_saw_it() {
    let now = Instant::now();
    let mut presence = presence(now, &[]);
    presence.receive_heartbeat(now, heartbeat(record("h1", "n-b", 1), StoreView::Store));
    presence.set_store_view(StoreView::Stale);
    presence.track_outage(now);
    assert_eq!(presence.outage(now), Outage::None, "another host saw it");
    presence.receive_heartbeat(now, heartbeat(record("h1", "n-b", 1), StoreView::Stale));
    presence.track_outage(now);
    let end = now + Duration::from_secs(2);
    presence.track_outage(end);
    assert_eq!(presence.outage(end), Outage::Long);
    presence.set_store_view(StoreView::Store);
    let back = end + Duration::from_secs(1);
    presence.track_outage(back);
    assert_eq!(
        presence.outage(back),
        Outage::Long,
        "what is missing may return"
    );
    assert_eq!(presence.outage(end + Duration::from_secs(3)), Outage::None);
}

#[test]
fn a_host_that_fell_silent_does_not_see_the_store_until_it_is_heard_again() {
    let now = Instant::now();
    let mut presence = presence(now, &[]);
    presence.set_store_view(StoreView::Relayed);
    let other = record("h1", "n-b", 1);
    presence.receive_heartbeat(now, heartbeat(other.clone(), StoreView::Store));
    assert!(presence.is_store_seen(now));
    presence.record_lost_feed(other.feed);
    assert!(!presence.is_store_seen(now));
    assert!(presence.feed_source(now, |_| false).is_none());
    presence.receive_heartbeat(now + INTERVAL, heartbeat(other, StoreView::Store));
    assert!(presence.is_store_seen(now + INTERVAL));
}

#[test]
fn a_host_has_lost_the_store_only_if_it_says_so() {
    let now = Instant::now();
    let mut presence = presence(now, &[]);
    let other = record("h1", "n-b", 1);
    presence.receive_heartbeat(now, heartbeat(other.clone(), StoreView::Store));
    assert!(!presence.has_lost_store(other.feed));
    presence.receive_heartbeat(now, heartbeat(other.clone(), StoreView::Stale));
    assert!(presence.has_lost_store(other.feed));
    presence.record_lost_feed(other.feed);
    assert!(!presence.has_lost_store(other.feed), "it is not known");
}

#[test]
fn a_host_whose_feed_was_lost_keeps_no_other_from_watching() {
    let now = Instant::now();
    let mut presence = presence(now, &[]);
    presence.set_store_view(StoreView::Stale);
    let hash = |record: &HostRecord| xxhash_rust::xxh3::xxh3_64(record.host.as_bytes());
    let own_hash = hash(presence.own());
    // As many watch the store if there is only one region.
    let names = (0..).map(|number| format!("h{number}"));
    let records = names.map(|name| record(&name, "n-b", 1));
    let ranked_before = records.filter(|record| hash(record) > own_hash);
    let sources: Vec<HostRecord> = ranked_before.take(3).collect();
    let hear_all = |presence: &mut Presence, at| {
        for source in &sources {
            presence.receive_heartbeat(at, heartbeat(source.clone(), StoreView::Store));
        }
    };
    hear_all(&mut presence, now);
    assert!(!presence.is_watcher(now));
    presence.record_lost_feed(sources[0].feed);
    assert!(presence.is_watcher(now));
    let later = now + INTERVAL;
    hear_all(&mut presence, later);
    assert!(!presence.is_watcher(later));
}

#[test]
fn a_host_whose_feed_failed_is_skipped() {
    let now = Instant::now();
    let mut presence = presence(now, &[]);
    presence.set_store_view(StoreView::Stale);
    presence.receive_heartbeat(now, heartbeat(record("h1", "n-b", 1), StoreView::Store));
    presence.receive_heartbeat(now, heartbeat(record("h2", "s-a", 1), StoreView::Store));
    let source = presence.feed_source(now, |record| &*record.host == "h1");
    assert_eq!(&*source.unwrap().0.host, "h2");
}

#[test]
fn a_host_with_a_narrow_link_leaves_the_store_to_others() {
    let now = Instant::now();
    let narrow = |mut record: HostRecord| {
        record.strength.megabits = 10.0;
        record
    };
    for own in 0..3 {
        let own = narrow(record(&format!("h{own}"), "n-a", 1));
        let mut presence = Presence::new(now, own, regions());
        for other in 3..6 {
            let wide = record(&format!("h{other}"), "n-a", 1);
            presence.receive_heartbeat(now, heartbeat(wide, StoreView::Store));
        }
        assert!(!presence.is_watcher(now));
    }
}

#[test]
fn pulses_keep_a_known_host_alive_and_update_its_state() {
    let start = Instant::now();
    let mut presence = presence(start, &[("h1", "n-b")]);
    let now = start + INTERVAL * 3;
    assert!(presence.receive_pulse(now, address_of("h1"), Pulse(1, StoreView::Store, false, 7)));
    let later = now + INTERVAL * 3;
    assert_eq!(names(presence.serving(later)), ["h0", "h1"]);
    assert!(presence.receive_pulse(later, address_of("h1"), Pulse(1, StoreView::Store, true, 7)));
    assert_eq!(names(presence.serving(later)), ["h0"]);
}

/// Pulses of unknown senders: from another address, or from another process at the same address.
macro_rules! unknown_senders {
    ($($name:ident: $sender:expr, $incarnation:expr;)*) => {$(
        #[test]
        fn $name() {
            let start = Instant::now();
            let mut presence = presence(start, &[("h1", "n-b")]);
            let now = start + INTERVAL * 3;
            assert!(!presence.receive_pulse(now, address_of($sender), Pulse($incarnation, StoreView::Store, false, 7)));
            assert_eq!(names(presence.serving(start + INTERVAL * 4)), ["h0"]);
        }
    )*};
}

unknown_senders! {
    a_pulse_from_another_address_is_ignored: "h2", 1;
    a_pulse_of_a_later_process_is_ignored: "h1", 2;
    a_pulse_of_an_earlier_process_is_ignored: "h1", 0;
}

#[test]
fn a_host_that_left_is_not_known_by_its_address() {
    let start = Instant::now();
    let mut presence = presence(start, &[("h1", "n-b")]);
    let later = start + INTERVAL * 5;
    presence.unregister(later, "h1");
    assert!(!presence.receive_pulse(
        later,
        address_of("h1"),
        Pulse(1, StoreView::Store, false, 7)
    ));
}

#[test]
fn followers_spread_over_the_hosts_that_watch_the_store() {
    let now = Instant::now();
    let chosen: BTreeSet<_> = (0..40)
        .map(|number| {
            let name = format!("follower-{number}");
            let mut presence = Presence::new(now, record(&name, "n-a", 1), regions());
            for watcher in ["h1", "h2"] {
                presence
                    .receive_heartbeat(now, heartbeat(record(watcher, "n-b", 1), StoreView::Store));
            }
            let (source, _) = presence.feed_source(now, |_| false).unwrap();
            source.host.clone()
        })
        .collect();
    assert_eq!(chosen.len(), 2);
}

/// The cost of heartbeats for one of 682 hosts in three regions is bounded by the number that it
/// sends.
#[test]
fn heartbeats_stay_few_among_hundreds_of_hosts() {
    let now = Instant::now();
    let mut presence = presence(now, &[]);
    for number in 1..682 {
        let zone = ["n-a", "s-a", "e-a"][number % 3];
        presence.register(now, record(&format!("h{number}"), zone, 1));
    }
    let rounds = 120;
    let sent: usize = (0..rounds)
        .map(|_| presence.next_heartbeat_recipients(now).len())
        .sum();
    let each_second = sent as f64 / (f64::from(rounds) * INTERVAL.as_secs_f64());
    assert!(each_second < 400.0, "{each_second} a second");
}

/// A caller's address.
fn caller(number: usize) -> IpAddr {
    Ipv4Addr::from(0x0a00_0000 + number as u32).into()
}

fn question_of(region: &str, zone: &str) -> Question {
    Question {
        region: region.into(),
        zone: zone.into(),
    }
}

/// How often each host of a zone is named to callers, given the hosts' cores.
fn naming_counts(cores: &[f64], callers: usize) -> Vec<usize> {
    let now = Instant::now();
    let presence = zone(now, cores);
    let question = question_of("n", "n-a");
    let mut counts = vec![0; cores.len()];
    for number in 0..callers {
        let answer = presence.lookup_hosts(now, &question, caller(number));
        assert_eq!(answer.len(), 3);
        for (index, count) in counts.iter_mut().enumerate() {
            *count += usize::from(answer.contains(&address_of(&format!("h{index}"))));
        }
    }
    counts
}

/// A host in another region that has received heartbeats of the hosts `h0` and up of one zone, whose
/// load is so high that all of them are needed.
fn zone(now: Instant, cores: &[f64]) -> Presence {
    presence_with_rate(now, cores, 10_000)
}

/// The same with `rate` requests a second at each of the hosts.
fn presence_with_rate(now: Instant, cores: &[f64], rate: u32) -> Presence {
    let mut presence = Presence::new(now, record("own", "s-a", 1), regions());
    presence.mark_listed();
    for (index, cores) in cores.iter().enumerate() {
        let mut record = record(&format!("h{index}"), "n-a", 1);
        record.strength.cores = *cores;
        let heartbeat = Heartbeat {
            rate,
            ..heartbeat(record, StoreView::Store)
        };
        presence.receive_heartbeat(now, heartbeat);
    }
    presence
}

#[test]
fn equal_hosts_are_named_equally_often() {
    let counts = naming_counts(&[0.2; 50], 5000);
    let (least, most) = (counts.iter().min().unwrap(), counts.iter().max().unwrap());
    assert!(*least > 240 && *most < 360, "{counts:?}");
}

#[test]
fn weak_hosts_are_named_in_proportion_to_their_strength() {
    let cores: Vec<f64> = (0..50)
        .map(|index| if index < 10 { 0.1 } else { 0.2 })
        .collect();
    let counts = naming_counts(&cores, 5000);
    let mean = |counts: &[usize]| counts.iter().sum::<usize>() as f64 / counts.len() as f64;
    let (weak, strong) = (mean(&counts[..10]), mean(&counts[10..]));
    assert!(
        weak > 0.45 * strong && weak < 0.6 * strong,
        "{weak} {strong}"
    );
}

/// The fraction of the callers' connections that each host of a zone receives, if callers use all
/// named hosts equally.
fn connection_shares(hosts: &[Strength], callers: usize) -> Vec<f64> {
    let now = Instant::now();
    let mut presence = Presence::new(now, record("own", "s-a", 1), regions());
    presence.mark_listed();
    for (index, strength) in hosts.iter().enumerate() {
        let mut record = record(&format!("h{index}"), "n-a", 1);
        record.strength = *strength;
        presence.receive_heartbeat(now, heartbeat(record, StoreView::Store));
    }
    let mut parts = vec![0.0; hosts.len()];
    for number in 0..callers {
        let answer = presence.lookup_hosts(now, &question_of("n", "n-a"), caller(number));
        assert!(
            answer.len() >= 2,
            "no second host in case the first one fails"
        );
        for (index, part) in parts.iter_mut().enumerate() {
            let is_named = answer.contains(&address_of(&format!("h{index}")));
            *part += f64::from(u8::from(is_named)) / answer.len() as f64;
        }
    }
    parts.iter().map(|part| part / callers as f64).collect()
}

#[test]
fn a_weak_host_beside_strong_ones_gets_few_callers() {
    let strong = Strength {
        cores: 0.5,
        megabits: 200.0,
    };
    let weak = Strength {
        cores: 0.1,
        megabits: 10.0,
    };
    let parts = connection_shares(&[strong, strong, weak], 3000);
    assert!(parts[2] < 0.1, "{parts:?}");
    assert!((parts[0] - parts[1]).abs() < 0.05, "{parts:?}");
}

#[test]
fn a_caller_gets_the_same_hosts_while_they_live() {
    let now = Instant::now();
    let whole = zone(now, &[0.2; 20]);
    let fewer = zone(now, &[0.2; 19]);
    let question = question_of("n", "n-a");
    for number in 0..200 {
        let before = whole.lookup_hosts(now, &question, caller(number));
        assert_eq!(before, whole.lookup_hosts(now, &question, caller(number)));
        let after = fewer.lookup_hosts(now, &question, caller(number));
        let kept = before.iter().filter(|host| after.contains(host)).count();
        let lost = usize::from(before.contains(&address_of("h19")));
        assert_eq!(kept + lost, 3);
    }
}

#[test]
fn callers_of_a_zone_without_hosts_are_sent_to_their_region() {
    let now = Instant::now();
    let presence = presence(now, &[("h1", "n-b"), ("h2", "s-a")]);
    let mut found = presence.lookup_hosts(now, &question_of("n", "n-c"), caller(1));
    found.sort();
    let mut expected = vec![address_of("h0"), address_of("h1")];
    expected.sort();
    assert_eq!(found, expected);
    assert_eq!(
        presence
            .lookup_hosts(now, &question_of("e", "e-a"), caller(1))
            .len(),
        3
    );
}

/// The number of hosts named by a host that has just started and knows eight others, `serving` of
/// which serve.
fn named_after(start: Duration, serving: usize) -> usize {
    let now = Instant::now();
    let mut presence = presence(now, &[]);
    for number in 0..8 {
        let record = record(&format!("h-{number}"), "n-a", 1);
        let view = if number < serving {
            StoreView::Store
        } else {
            StoreView::Nothing
        };
        presence.receive_heartbeat(now + start, heartbeat(record, view));
    }
    let question = question_of("n", "n-a");
    presence
        .lookup_hosts(now + start, &question, caller(1))
        .len()
}

#[test]
fn a_host_that_starts_among_others_names_none_until_it_knows_enough_of_them() {
    let soon = Duration::from_millis(100);
    assert_eq!(named_after(soon, 0), 0);
    assert_eq!(named_after(soon, 3), 0);
    assert_eq!(named_after(soon, 4), 3);
    assert_eq!(named_after(Duration::from_millis(2500), 0), 1);
}

#[test]
fn a_host_that_has_not_read_the_registrations_names_none_at_first() {
    let now = Instant::now();
    let mut presence = Presence::new(now, record("h0", "n-a", 1), regions());
    presence.set_store_view(StoreView::Store);
    let question = question_of("n", "n-a");
    let count = |presence: &Presence, at| presence.lookup_hosts(at, &question, caller(1)).len();
    assert_eq!(count(&presence, now), 0);
    assert_eq!(count(&presence, now + Duration::from_millis(2500)), 1);
    presence.mark_listed();
    assert_eq!(count(&presence, now), 1);
}

#[test]
fn the_others_are_known_once_their_registrations_were_read_or_could_long_not_be() {
    let now = Instant::now();
    let mut presence = Presence::new(now, record("h0", "n-a", 1), regions());
    assert!(!presence.knows_others(now));
    assert!(presence.knows_others(now + Duration::from_secs(3)));
    presence.mark_listed();
    assert!(presence.knows_others(now));
}

/// The total rate, per second, at which this number of hosts probes a store that no host sees.
fn probes_per_second(hosts: usize) -> f64 {
    let now = Instant::now();
    let mut presence = Presence::new(now, record("h0", "n-a", 1), regions());
    for number in 1..hosts {
        presence.register(now, record(&format!("h{number}"), "n-a", 1));
    }
    hosts as f64 / presence.probe_interval().as_secs_f64()
}

#[test]
fn a_lost_store_is_probed_at_the_same_rate_for_any_number_of_hosts() {
    for hosts in [20, 59, 295, 682] {
        let probes_per_second = probes_per_second(hosts);
        assert!(
            (9.9..10.1).contains(&probes_per_second),
            "{hosts} hosts: {probes_per_second}"
        );
    }
    assert!((0.5..10.0).contains(&probes_per_second(11)));
}

#[test]
fn one_host_of_each_zone_keeps_the_counts_of_a_key() {
    let start = Instant::now();
    let others: Vec<(String, &str)> = (1..60)
        .map(|number| (format!("h{number}"), ["n-a", "n-b", "s-a"][number % 3]))
        .collect();
    let others: Vec<(&str, &str)> = others.iter().map(|(host, zone)| (&**host, *zone)).collect();
    let presence = presence(start, &others);
    let zone = |place: &SocketAddr| {
        let other = others
            .iter()
            .find(|(host, _)| self::address_of(host) == *place);
        other.unwrap().1
    };
    let mut all = BTreeSet::new();
    for key in 0..200 {
        let counters = presence.counting_hosts(start, key);
        let zones: BTreeSet<&str> = counters.iter().map(zone).collect();
        assert_eq!(zones.len(), counters.len());
        // The counting host of the own zone may be this host itself.
        assert!(zones.contains("n-b") && zones.contains("s-a"));
        assert_eq!(counters, presence.counting_hosts(start, key));
        all.extend(counters);
    }
    assert!(all.len() > 50, "{} hosts count for 200 keys", all.len());
}

const WEAK: Strength = Strength {
    cores: 0.1,
    megabits: 20.0,
};

/// A weak host that has just started in zone `n-a` and has received a heartbeat of a strong host in
/// each of these zones, with this store view.
fn newcomer(now: Instant, others: &[(&str, StoreView)]) -> Presence {
    let own = HostRecord {
        strength: WEAK,
        ..record("own", "n-a", 1)
    };
    let mut presence = Presence::new(now, own, regions());
    for (index, (zone, view)) in others.iter().enumerate() {
        presence.receive_heartbeat(now, heartbeat(record(&format!("h{index}"), zone, 1), *view));
    }
    presence
}

/// The host that a weak host follows for its first copy some time after its start, and whether it
/// still waits for one.
macro_rules! first_copies {
    ($($name:ident: $others:expr, $seconds:expr => $followed:expr, $waits:expr;)*) => {$(
        #[test]
        fn $name() {
            let now = Instant::now();
            let mut presence = newcomer(now, &$others);
            let later = now + Duration::from_secs($seconds);
            presence.tick(later);
            let source = presence.feed_source(later, |_| false);
            let followed: Option<&str> = source.map(|(record, _)| &*record.host);
            assert_eq!(followed, $followed);
            assert_eq!(presence.awaits_copy(later), $waits);
        }
    )*};
}

first_copies! {
    a_copy_comes_from_the_own_region: [("s-a", StoreView::Store), ("n-b", StoreView::Relayed)], 0 => Some("h1"), true;
    a_copy_in_another_region_is_not_taken_at_first: [("s-a", StoreView::Store), ("n-b", StoreView::Nothing)], 0 => None, true;
    another_region_is_followed_if_the_own_takes_too_long: [("s-a", StoreView::Store), ("n-b", StoreView::Nothing)], 4 => Some("h0"), false;
    another_region_is_followed_if_the_own_has_no_strong_host: [("s-a", StoreView::Store)], 0 => Some("h0"), false;
}

#[test]
fn weak_hosts_wait_for_strong_ones_before_they_watch() {
    let start = Instant::now();
    for (seconds, watches) in [(3, false), (5, true)] {
        let now = start + Duration::from_secs(seconds);
        let mut presence = newcomer(start, &[("n-b", StoreView::Nothing)]);
        presence.receive_heartbeat(now, heartbeat(record("h0", "n-b", 1), StoreView::Nothing));
        assert_eq!(presence.is_watcher(now), watches, "after {seconds} s");
    }
}

/// The total number of announcements when hosts of two regions, `hosts` in each, all become
/// followers.
fn announcements_of_followers(hosts: usize) -> usize {
    let now = Instant::now();
    let zones = ["n-a", "s-a"];
    let host = |index: usize| record(&format!("h{index}"), zones[index % 2], 1);
    let all = 0..2 * hosts;
    let announced = all.clone().map(|own| {
        let mut presence = Presence::new(now, host(own), regions());
        for index in all.clone() {
            presence.register(now, host(index));
        }
        presence.set_store_view(StoreView::Relayed);
        presence.store_view_recipients(StoreView::Nothing).len()
    });
    announced.sum()
}

#[test]
fn followers_announce_nothing_to_other_regions() {
    let announcements = [15, 60].map(announcements_of_followers);
    assert_eq!(announcements, [15, 60].map(|hosts| 2 * hosts * (hosts - 1)));
}

#[test]
fn a_watcher_is_announced_to_all_hosts() {
    let now = Instant::now();
    let mut presence = presence(now, &[("h1", "n-b"), ("h2", "s-a")]);
    assert_eq!(presence.store_view_recipients(StoreView::Relayed).len(), 2);
    presence.set_store_view(StoreView::Stale);
    assert_eq!(presence.store_view_recipients(StoreView::Store).len(), 2);
    assert_eq!(presence.store_view_recipients(StoreView::Relayed).len(), 1);
}

/// The heartbeats that all hosts of a region with two availability zones send to the other zone in
/// `ROUNDS` rounds.
fn heartbeats_between_zones(hosts: usize) -> usize {
    const ROUNDS: usize = 12;
    let now = Instant::now();
    let zones = ["n-a", "n-b"];
    let host = |index: usize| HostRecord {
        peers: SocketAddr::from(([10, 0, index as u8 % 2, 1], index as u16)),
        ..record(&format!("h{index}"), zones[index % 2], 1)
    };
    let sent = (0..hosts).map(|own| {
        let mut presence = Presence::new(now, host(own), regions());
        for index in 0..hosts {
            presence.register(now, host(index));
        }
        let beats = (0..ROUNDS).flat_map(|_| presence.next_heartbeat_recipients(now));
        let own_zone = own as u8 % 2;
        let across = |place: &SocketAddr| match place.ip() {
            IpAddr::V4(address) => address.octets()[2] != own_zone,
            IpAddr::V6(_) => false,
        };
        beats.filter(across).count()
    });
    sent.sum()
}

#[test]
fn heartbeats_between_zones_grow_with_hosts_and_not_with_their_square() {
    let [few, many] = [200, 800].map(heartbeats_between_zones);
    let growth = many as f64 / few as f64;
    assert!(growth < 4.0 * 1.5, "{growth} times as many");
}

/// The number of live hosts of another zone in a large region, after some of that zone became
/// silent at once.
fn live_hosts_after(silent: usize, silence: Duration) -> usize {
    const OTHERS: usize = 200;
    let start = Instant::now();
    let mut presence = presence(start, &[]);
    let others: Vec<HostRecord> = (0..OTHERS)
        .map(|index| record(&format!("o{index:03}"), "n-b", 1))
        .collect();
    for other in &others {
        presence.receive_heartbeat(start, heartbeat(other.clone(), StoreView::Relayed));
    }
    for other in &others[silent..] {
        presence.receive_heartbeat(
            start + silence,
            heartbeat(other.clone(), StoreView::Relayed),
        );
    }
    presence.alive(start + silence).count() - 1
}

#[test]
fn a_large_zone_that_falls_silent_is_lost_in_time() {
    assert_eq!(live_hosts_after(200, INTERVAL * 3), 200);
    assert_eq!(live_hosts_after(200, INTERVAL * 4), 0);
}

#[test]
fn hosts_of_another_large_zone_may_be_heard_seldom() {
    assert_eq!(live_hosts_after(100, INTERVAL * 4), 200);
    assert_eq!(live_hosts_after(100, INTERVAL * 12), 100);
}

#[test]
fn a_host_of_another_region_that_is_heard_seldom_has_not_departed() {
    let start = Instant::now();
    let mut presence = presence(start, &[("h-far", "s-a")]);
    for index in 0..2000 {
        let host = record(&format!("h{index}"), "n-b", 1);
        presence.register(start, host);
    }
    assert_eq!(
        presence
            .removable_hosts(start + REMOVAL_SILENCE)
            .filter(|host| &***host == "h-far")
            .count(),
        0
    );
}

#[test]
fn a_host_follows_another_region_before_it_watches_the_store() {
    let now = Instant::now();
    // To connect, open a feed, send the known revisions and receive the changes.
    let to_follow = Duration::from_millis(110) * 4;
    let mut presence = presence(now, &[("h1", "s-a")]);
    presence.set_store_view(StoreView::Stale);
    assert!(
        presence.watch_delay(now) < to_follow,
        "no host sees the store"
    );
    presence.receive_heartbeat(now, heartbeat(record("h1", "s-a", 1), StoreView::Store));
    assert!(presence.watch_delay(now) >= to_follow * 2);
}

/// When the store was last unavailable, in milliseconds from the start, after an outage from 1 s to 5 s.
fn last_unavailable(report: impl Fn(&mut Presence, Instant)) -> Option<u128> {
    let start = Instant::now();
    let at = |ms| start + Duration::from_millis(ms);
    let mut presence = presence(start, &[("h1", "n-b")]);
    presence.set_store_view(StoreView::Stale);
    for tick in 10..50 {
        presence.track_outage(at(tick * 100));
    }
    report(&mut presence, start);
    presence.set_store_view(StoreView::Store);
    presence.track_outage(at(5000));
    let last = presence.last_unavailable(at(5000));
    last.map(|at| at.duration_since(start).as_millis())
}

macro_rules! unavailable {
    ($($name:ident: $report:expr => $last:expr;)*) => {$(
        #[test]
        fn $name() {
            assert_eq!(last_unavailable($report), $last);
        }
    )*};
}

unavailable! {
    an_outage_without_unanswered_queries_ended_at_any_time_before_it_was_noticed: |_, _| {} => Some(3400);
    an_outage_lasted_until_the_last_unanswered_query: |presence, start| {
        for ms in [4100, 4700, 4500] {
            let at = start + Duration::from_millis(ms);
            presence.record_unanswered(at, at);
        }
    } => Some(4700);
    queries_that_were_unanswered_before_the_outage_show_nothing: |presence, start| {
        presence.record_unavailable(start - Duration::from_secs(1));
    } => Some(3400);
    queries_that_are_unanswered_while_another_host_sees_the_store_show_nothing: |presence, start| {
        let at = start + Duration::from_millis(4900);
        presence.receive_heartbeat(at, heartbeat(record("h1", "n-b", 1), StoreView::Store));
        presence.record_unanswered(at, at);
    } => Some(3400);
}

#[test]
fn a_store_that_was_never_away_limits_nothing() {
    let now = Instant::now();
    let mut presence = presence(now, &[]);
    presence.set_store_view(StoreView::Store);
    presence.track_outage(now);
    assert_eq!(presence.last_unavailable(now), None);
}
