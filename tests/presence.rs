//! Which hosts are alive, and which of them watch the store.

#![allow(clippy::unwrap_used)]

use std::collections::{BTreeMap, BTreeSet};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::{Duration, Instant};

use ragwortfold::control::presence::{
    Heartbeat, LookupFilter, Presence, Pulse, Record, StoreView, Strength, INTERVAL,
    REMOTE_HEARTBEAT_STRIDE, REMOVAL_SILENCE,
};
use ragwortfold::control::replica::Outage;
use ragwortfold::port::Question;

fn regions() -> BTreeMap<Arc<str>, Arc<str>> {
    [("n-a", "n"), ("n-b", "n"), ("s-a", "s")]
        .map(|(zone, region)| (zone.into(), region.into()))
        .into()
}

/// Where a host takes heartbeats: an address of its own by its name.
fn place(host: &str) -> SocketAddr {
    let sum = host.bytes().fold(0u16, |sum, byte| {
        sum.wrapping_mul(31).wrapping_add(byte.into())
    });
    SocketAddr::from(([127, 0, 0, 1], sum))
}

fn record(host: &str, zone: &str, incarnation: u64) -> Record {
    Record {
        host: host.into(),
        zone: zone.into(),
        front: place(host),
        peers: place(host),
        feed: "127.0.0.1:3".parse().unwrap(),
        incarnation,
        strength: Strength {
            cores: 0.2,
            megabits: 1000.0,
        },
    }
}

fn beat(record: Record, sight: StoreView) -> Heartbeat {
    Heartbeat {
        record,
        leaving: false,
        sight,
        rate: 0,
    }
}

fn names<'a>(records: impl Iterator<Item = &'a Record>) -> Vec<&'a str> {
    records.map(|record| &*record.host).collect()
}

/// A host `h0` in zone `n-a` that has heard of others at a time of the test's own.
fn presence(now: Instant, others: &[(&str, &str)]) -> Presence {
    let mut presence = Presence::new(now, record("h0", "n-a", 1), regions());
    presence.set_store_view(StoreView::Store);
    presence.mark_listed();
    for (host, zone) in others {
        presence.receive_heartbeat(now, beat(record(host, zone, 1), StoreView::Relayed));
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
    let departed: Vec<_> = presence.removable_hosts(start + REMOVAL_SILENCE).collect();
    assert_eq!(departed, [&"h1".into(), &Arc::<str>::from("h2")]);
}

/// The hosts that have departed after `silence` in the eyes of one that sees the store or not, beside
/// another one that does and says so all the time.
fn departed(sight: StoreView, silence: Duration, witness: Option<&str>) -> Vec<Arc<str>> {
    let start = Instant::now();
    let mut presence = presence(start, &[("h-silent", "n-b")]);
    presence.set_store_view(sight);
    if let Some(witness) = witness {
        let record = record(witness, "n-a", 1);
        presence.receive_heartbeat(start + silence, beat(record, StoreView::Store));
    }
    presence.removable_hosts(start + silence).cloned().collect()
}

#[test]
fn registrations_are_removed_by_one_host_that_sees_the_store() {
    let silent = vec![Arc::<str>::from("h-silent")];
    assert_eq!(departed(StoreView::Store, REMOVAL_SILENCE, None), silent);
    assert_eq!(
        departed(StoreView::Store, REMOVAL_SILENCE - INTERVAL, None),
        [] as [Arc<str>; 0]
    );
    assert_eq!(
        departed(StoreView::Stale, REMOVAL_SILENCE, None),
        [] as [Arc<str>; 0]
    );
    let by_witness = |name| departed(StoreView::Store, REMOVAL_SILENCE, Some(name)).len();
    let witnesses = ["a", "b", "c", "d", "e", "f", "g", "i"];
    let mine = witnesses.map(by_witness);
    assert!(mine.contains(&0) && mine.contains(&1), "{mine:?}");
}

#[test]
fn a_host_that_leaves_is_not_named() {
    let now = Instant::now();
    let mut presence = presence(now, &[("h1", "n-b")]);
    let mut last = beat(record("h1", "n-b", 1), StoreView::Store);
    last.leaving = true;
    presence.receive_heartbeat(now, last);
    assert_eq!(names(presence.serving(now)), ["h0"]);
    presence.leave();
    assert!(names(presence.serving(now)).is_empty());
}

/// The hosts that a caller of zone `n-a` is told, by what `h0`, `h1` and `h2` of its zone know of the store.
macro_rules! informed {
    ($($name:ident: $naming:ident, $sights:expr => $expected:expr;)*) => {$(
        #[test]
        fn $name() {
            let now = Instant::now();
            let [own, sights @ ..]: [StoreView; 3] = $sights;
            let mut presence = presence(now, &[]).with_lookup_filter(LookupFilter::$naming);
            presence.set_store_view(own);
            for (host, sight) in ["h1", "h2"].into_iter().zip(sights) {
                presence.receive_heartbeat(now, beat(record(host, "n-a", 1), sight));
            }
            let question = Question {
                region: "n".into(),
                zone: "n-a".into(),
            };
            let caller = IpAddr::V4(Ipv4Addr::LOCALHOST);
            let named: BTreeSet<_> = presence.lookup_hosts(now, &question, caller).into_iter().collect();
            let expected: &[&str] = &$expected;
            assert_eq!(named, expected.iter().map(|host| place(host)).collect());
        }
    )*};
}

informed! {
    hosts_that_lost_the_store_are_not_named_beside_others: Informed, [StoreView::Stale, StoreView::Relayed, StoreView::Store]
        => ["h1", "h2"];
    all_are_named_if_none_sees_the_store: Informed, [StoreView::Stale; 3] => ["h0", "h1", "h2"];
    all_are_named_where_hosts_go_on_without_it: All, [StoreView::Stale, StoreView::Relayed, StoreView::Store] => ["h0", "h1", "h2"];
}

#[test]
fn a_host_without_a_configuration_is_alive_but_not_named() {
    let now = Instant::now();
    let mut presence = presence(now, &[]);
    presence.receive_heartbeat(now, beat(record("h1", "n-b", 1), StoreView::Nothing));
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
fn what_an_earlier_process_said_is_ignored() {
    let now = Instant::now();
    let mut presence = presence(now, &[("h1", "n-b")]);
    presence.receive_heartbeat(now, beat(record("h1", "n-b", 5), StoreView::Store));
    let mut late = beat(record("h1", "n-b", 1), StoreView::Store);
    late.leaving = true;
    presence.receive_heartbeat(now, late);
    assert_eq!(names(presence.serving(now)), ["h0", "h1"]);
}

#[test]
fn a_restart_after_the_clock_went_back_is_taken() {
    let now = Instant::now();
    let mut presence = presence(now, &[]);
    presence.receive_heartbeat(now, beat(record("h1", "n-b", 5), StoreView::Store));
    let later = now + INTERVAL * 3;
    assert!(presence.receive_heartbeat(later, beat(record("h1", "n-b", 2), StoreView::Store)));
    assert_eq!(names(presence.serving(later + INTERVAL)), ["h0", "h1"]);
}

#[test]
fn a_pause_of_this_process_kills_nobody() {
    let start = Instant::now();
    let mut presence = presence(start, &[("h1", "n-b")]);
    let woken = start + Duration::from_secs(10);
    presence.tick(woken);
    assert_eq!(names(presence.serving(woken)), ["h0", "h1"]);
    for beat in 1..=4 {
        presence.tick(woken + INTERVAL * beat);
    }
    assert_eq!(names(presence.serving(woken + INTERVAL * 4)), ["h0"]);
}

/// Hosts of one region, each knowing of all others what `sights` says; which of them watch.
fn watchers(now: Instant, sights: &[StoreView]) -> Vec<usize> {
    let host = |index: usize| record(&format!("h{index}"), "n-a", 1);
    (0..sights.len())
        .filter(|own| {
            let met = now.checked_sub(Duration::from_secs(10)).unwrap();
            let mut presence = Presence::new(met, host(*own), regions());
            presence.set_store_view(sights[*own]);
            for (index, sight) in sights.iter().enumerate() {
                presence.receive_heartbeat(met, beat(host(index), *sight));
                presence.receive_heartbeat(now, beat(host(index), *sight));
            }
            presence.is_watcher(now)
        })
        .collect()
}

/// How many hosts of a region watch the store, by the number of its hosts; other regions have none.
macro_rules! watching {
    ($($name:ident: $hosts:expr => $watchers:expr;)*) => {$(
        #[test]
        fn $name() {
            check_watchers($hosts, $watchers);
        }
    )*};
}

watching! {
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
    assert_eq!(
        stale.len(),
        count,
        "a store that nobody sees is called by few"
    );
    let mut sights = vec![StoreView::Relayed; hosts];
    for index in &few {
        sights[*index] = StoreView::Store;
    }
    assert_eq!(watchers(now, &sights), few);
    sights[few[0]] = StoreView::Stale;
    let others = watchers(now, &sights);
    assert_eq!(
        others.len(),
        count + 1,
        "the next one steps in, the first goes on trying"
    );
}

/// Hosts of three regions: one of each watches the store.
#[test]
fn regions_share_the_watching() {
    let now = Instant::now();
    let zones = ["n-a", "s-a", "e-a"];
    let host = |index: usize| record(&format!("h{index}"), zones[index % 3], 1);
    let watching: Vec<_> = (0..12)
        .filter(|own| {
            let mut presence = Presence::new(now, host(*own), regions());
            presence.set_store_view(StoreView::Store);
            for index in 0..12 {
                presence.receive_heartbeat(now, beat(host(index), StoreView::Store));
            }
            presence.is_watcher(now)
        })
        .map(|index| zones[index % 3])
        .collect();
    let regions: BTreeSet<_> = watching.iter().collect();
    assert_eq!((watching.len(), regions.len()), (3, 3));
}

#[test]
fn a_host_that_sees_the_store_goes_on_beside_those_that_do_not() {
    let now = Instant::now();
    let mut sights = [StoreView::Relayed; 20];
    let first = watchers(now, &[StoreView::Store; 20]);
    let last = (0..20).find(|index| !first.contains(index)).unwrap();
    sights[last] = StoreView::Store;
    assert!(watchers(now, &sights).contains(&last));
}

#[test]
fn hosts_that_start_together_leave_the_store_to_few() {
    let now = Instant::now();
    let host = |index: usize| record(&format!("h{index}"), "n-a", 1);
    let count = (0..20).filter(|own| {
        let mut presence = Presence::new(now, host(*own), regions());
        for index in 0..20 {
            presence.receive_heartbeat(now, beat(host(index), StoreView::Nothing));
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
    presence.receive_heartbeat(now, beat(record("h2", "s-a", 1), StoreView::Store));
    assert_eq!(&*presence.feed_source(now, |_| false).unwrap().0.host, "h2");
    presence.receive_heartbeat(now, beat(record("h3", "n-b", 1), StoreView::Store));
    assert_eq!(&*presence.feed_source(now, |_| false).unwrap().0.host, "h3");
}

#[test]
fn of_watchers_in_the_region_one_of_the_zone_is_followed() {
    let now = Instant::now();
    for zone in ["n-a", "n-b"] {
        let mut presence = Presence::new(now, record("own", zone, 1), regions());
        for (host, zone) in [("h1", "n-a"), ("h2", "n-b"), ("h3", "s-a")] {
            presence.receive_heartbeat(now, beat(record(host, zone, 1), StoreView::Store));
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
    presence.receive_heartbeat(now, beat(record("h1", "n-b", 1), StoreView::Stale));
    assert!(presence.feed_source(now, |_| false).is_none());
    presence.set_store_view(StoreView::Nothing);
    assert!(
        presence.feed_source(now, |_| false).is_some(),
        "what is old is better than nothing"
    );
}

#[test]
fn any_host_that_lost_the_store_raises_doubt() {
    let now = Instant::now();
    let mut presence = presence(now, &[("h1", "n-b")]);
    assert!(!presence.is_store_doubtful(now));
    presence.receive_heartbeat(now, beat(record("h1", "n-b", 1), StoreView::Stale));
    assert!(presence.is_store_doubtful(now));
}

/// A store that is back does not tell yet which targets have turned cold meanwhile.
#[test]
fn a_store_is_in_doubt_until_targets_had_time_to_tell_it_their_news() {
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
        beat(record("h1", "n-b", 1), StoreView::Relayed),
    );
    assert!(!presence.is_store_doubtful(back + Duration::from_secs(3)));
}

/// What a host takes for an outage, looked at each 0.1 s, when no host sees the store for so many milliseconds.
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
    a_store_that_was_lost_for_a_moment_was_hardly_away: 100 => Outage::Brief;
    a_store_that_was_lost_until_others_took_over_was_hardly_away: 1000 => Outage::Brief;
    a_store_that_nobody_saw_for_two_heartbeats_less_what_noticing_takes_was_away: 1900 => Outage::Long;
}

#[test]
fn the_store_was_away_only_if_no_host_saw_it() {
    let now = Instant::now();
    let mut presence = presence(now, &[]);
    presence.receive_heartbeat(now, beat(record("h1", "n-b", 1), StoreView::Store));
    presence.set_store_view(StoreView::Stale);
    presence.track_outage(now);
    assert_eq!(presence.outage(now), Outage::None, "another host saw it");
    presence.receive_heartbeat(now, beat(record("h1", "n-b", 1), StoreView::Stale));
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
    presence.receive_heartbeat(now, beat(other.clone(), StoreView::Store));
    assert!(presence.is_store_seen(now));
    presence.forget_store_view(other.feed);
    assert!(!presence.is_store_seen(now));
    assert!(presence.feed_source(now, |_| false).is_none());
    presence.receive_heartbeat(now + INTERVAL, beat(other, StoreView::Store));
    assert!(presence.is_store_seen(now + INTERVAL));
}

#[test]
fn a_host_whose_feed_failed_is_passed_over() {
    let now = Instant::now();
    let mut presence = presence(now, &[]);
    presence.set_store_view(StoreView::Stale);
    presence.receive_heartbeat(now, beat(record("h1", "n-b", 1), StoreView::Store));
    presence.receive_heartbeat(now, beat(record("h2", "s-a", 1), StoreView::Store));
    let source = presence.feed_source(now, |record| &*record.host == "h1");
    assert_eq!(&*source.unwrap().0.host, "h2");
}

#[test]
fn a_host_with_a_narrow_link_leaves_the_store_to_others() {
    let now = Instant::now();
    let narrow = |mut record: Record| {
        record.strength.megabits = 10.0;
        record
    };
    for own in 0..3 {
        let own = narrow(record(&format!("h{own}"), "n-a", 1));
        let mut presence = Presence::new(now, own, regions());
        for other in 3..6 {
            let wide = record(&format!("h{other}"), "n-a", 1);
            presence.receive_heartbeat(now, beat(wide, StoreView::Store));
        }
        assert!(!presence.is_watcher(now));
    }
}

#[test]
fn pulses_keep_a_known_host_alive_and_tell_its_news() {
    let start = Instant::now();
    let mut presence = presence(start, &[("h1", "n-b")]);
    let now = start + INTERVAL * 3;
    assert!(presence.receive_pulse(now, place("h1"), Pulse(1, StoreView::Store, false, 7)));
    let later = now + INTERVAL * 3;
    assert_eq!(names(presence.serving(later)), ["h0", "h1"]);
    assert!(presence.receive_pulse(later, place("h1"), Pulse(1, StoreView::Store, true, 7)));
    assert_eq!(names(presence.serving(later)), ["h0"]);
}

/// Pulses of senders that are not known: another place, or another process at the place.
macro_rules! strangers {
    ($($name:ident: $place:expr, $incarnation:expr;)*) => {$(
        #[test]
        fn $name() {
            let start = Instant::now();
            let mut presence = presence(start, &[("h1", "n-b")]);
            let now = start + INTERVAL * 3;
            assert!(!presence.receive_pulse(now, place($place), Pulse($incarnation, StoreView::Store, false, 7)));
            assert_eq!(names(presence.serving(start + INTERVAL * 4)), ["h0"]);
        }
    )*};
}

strangers! {
    a_pulse_from_elsewhere_tells_nothing: "h2", 1;
    a_pulse_of_a_later_process_tells_nothing: "h1", 2;
    a_pulse_of_an_earlier_process_tells_nothing: "h1", 0;
}

#[test]
fn a_host_that_left_is_not_known_by_its_place() {
    let start = Instant::now();
    let mut presence = presence(start, &[("h1", "n-b")]);
    let later = start + INTERVAL * 5;
    presence.unregister(later, "h1");
    assert!(!presence.receive_pulse(later, place("h1"), Pulse(1, StoreView::Store, false, 7)));
}

#[test]
fn followers_share_the_hosts_that_watch_the_store() {
    let now = Instant::now();
    let chosen: BTreeSet<_> = (0..40)
        .map(|number| {
            let name = format!("follower-{number}");
            let mut presence = Presence::new(now, record(&name, "n-a", 1), regions());
            for watcher in ["h1", "h2"] {
                presence.receive_heartbeat(now, beat(record(watcher, "n-b", 1), StoreView::Store));
            }
            let (source, _) = presence.feed_source(now, |_| false).unwrap();
            source.host.clone()
        })
        .collect();
    assert_eq!(chosen.len(), 2);
}

/// Heartbeats of one of 682 hosts in three regions: the number that goes out bounds what each one pays.
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

fn ask(region: &str, zone: &str) -> Question {
    Question {
        region: region.into(),
        zone: zone.into(),
    }
}

/// How often each host of a zone is named to some callers, with the given parts of a core.
fn named(cores: &[f64], callers: usize) -> Vec<usize> {
    let now = Instant::now();
    let presence = zone(now, cores);
    let question = ask("n", "n-a");
    let mut counts = vec![0; cores.len()];
    for number in 0..callers {
        let answer = presence.lookup_hosts(now, &question, caller(number));
        assert_eq!(answer.len(), 3);
        for (index, count) in counts.iter_mut().enumerate() {
            *count += usize::from(answer.contains(&place(&format!("h{index}"))));
        }
    }
    counts
}

/// A host elsewhere that has heard of hosts `h0` and on in one zone, which get so much that all of them are needed.
fn zone(now: Instant, cores: &[f64]) -> Presence {
    zone_with_rate(now, cores, 10_000)
}

/// The same where each of the hosts gets `rate` requests a second.
fn zone_with_rate(now: Instant, cores: &[f64], rate: u32) -> Presence {
    let mut presence = Presence::new(now, record("own", "s-a", 1), regions());
    presence.mark_listed();
    for (index, cores) in cores.iter().enumerate() {
        let mut record = record(&format!("h{index}"), "n-a", 1);
        record.strength.cores = *cores;
        let beat = Heartbeat {
            rate,
            ..beat(record, StoreView::Store)
        };
        presence.receive_heartbeat(now, beat);
    }
    presence
}

#[test]
fn of_many_hosts_look_ups_name_all_alike() {
    let counts = named(&[0.2; 50], 5000);
    let (least, most) = (counts.iter().min().unwrap(), counts.iter().max().unwrap());
    assert!(*least > 240 && *most < 360, "{counts:?}");
}

#[test]
fn of_many_hosts_look_ups_name_weak_ones_by_their_strength() {
    let cores: Vec<f64> = (0..50)
        .map(|index| if index < 10 { 0.1 } else { 0.2 })
        .collect();
    let counts = named(&cores, 5000);
    let mean = |counts: &[usize]| counts.iter().sum::<usize>() as f64 / counts.len() as f64;
    let (weak, strong) = (mean(&counts[..10]), mean(&counts[10..]));
    assert!(
        weak > 0.45 * strong && weak < 0.6 * strong,
        "{weak} {strong}"
    );
}

/// The part of the callers' connections that each host of a zone gets, when they use all that they are told of alike.
fn parts(hosts: &[Strength], callers: usize) -> Vec<f64> {
    let now = Instant::now();
    let mut presence = Presence::new(now, record("own", "s-a", 1), regions());
    presence.mark_listed();
    for (index, strength) in hosts.iter().enumerate() {
        let mut record = record(&format!("h{index}"), "n-a", 1);
        record.strength = *strength;
        presence.receive_heartbeat(now, beat(record, StoreView::Store));
    }
    let mut parts = vec![0.0; hosts.len()];
    for number in 0..callers {
        let answer = presence.lookup_hosts(now, &ask("n", "n-a"), caller(number));
        assert!(answer.len() >= 2, "a second host should the first fail");
        for (index, part) in parts.iter_mut().enumerate() {
            let is_named = answer.contains(&place(&format!("h{index}")));
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
    let parts = parts(&[strong, strong, weak], 3000);
    assert!(parts[2] < 0.1, "{parts:?}");
    assert!((parts[0] - parts[1]).abs() < 0.05, "{parts:?}");
}

#[test]
fn a_caller_is_told_the_same_hosts_while_they_last() {
    let now = Instant::now();
    let whole = zone(now, &[0.2; 20]);
    let fewer = zone(now, &[0.2; 19]);
    let question = ask("n", "n-a");
    for number in 0..200 {
        let before = whole.lookup_hosts(now, &question, caller(number));
        assert_eq!(before, whole.lookup_hosts(now, &question, caller(number)));
        let after = fewer.lookup_hosts(now, &question, caller(number));
        let kept = before.iter().filter(|host| after.contains(host)).count();
        let lost = usize::from(before.contains(&place("h19")));
        assert_eq!(kept + lost, 3);
    }
}

#[test]
fn callers_of_a_zone_without_hosts_are_sent_to_their_region() {
    let now = Instant::now();
    let presence = presence(now, &[("h1", "n-b"), ("h2", "s-a")]);
    let mut found = presence.lookup_hosts(now, &ask("n", "n-c"), caller(1));
    found.sort();
    let mut expected = vec![place("h0"), place("h1")];
    expected.sort();
    assert_eq!(found, expected);
    assert_eq!(
        presence
            .lookup_hosts(now, &ask("e", "e-a"), caller(1))
            .len(),
        3
    );
}

/// Hosts that one names which has just started and knows eight others, of which some serve.
fn named_after(start: Duration, serving: usize) -> usize {
    let now = Instant::now();
    let mut presence = presence(now, &[]);
    for number in 0..8 {
        let record = record(&format!("h-{number}"), "n-a", 1);
        let sight = if number < serving {
            StoreView::Store
        } else {
            StoreView::Nothing
        };
        presence.receive_heartbeat(now + start, beat(record, sight));
    }
    let question = ask("n", "n-a");
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
fn a_host_that_has_not_read_who_else_there_is_names_none_at_first() {
    let now = Instant::now();
    let mut presence = Presence::new(now, record("h0", "n-a", 1), regions());
    presence.set_store_view(StoreView::Store);
    let question = ask("n", "n-a");
    let count = |presence: &Presence, at| presence.lookup_hosts(at, &question, caller(1)).len();
    assert_eq!(count(&presence, now), 0);
    assert_eq!(count(&presence, now + Duration::from_millis(2500)), 1);
    presence.mark_listed();
    assert_eq!(count(&presence, now), 1);
}

#[test]
fn the_others_are_known_once_their_registrations_were_read_or_have_long_not_been() {
    let now = Instant::now();
    let mut presence = Presence::new(now, record("h0", "n-a", 1), regions());
    assert!(!presence.knows_others(now));
    assert!(presence.knows_others(now + Duration::from_secs(3)));
    presence.mark_listed();
    assert!(presence.knows_others(now));
}

/// How often a store that nobody sees is looked at, a second, by so many hosts together.
fn looks(hosts: usize) -> f64 {
    let now = Instant::now();
    let mut presence = Presence::new(now, record("h0", "n-a", 1), regions());
    for number in 1..hosts {
        presence.register(now, record(&format!("h{number}"), "n-a", 1));
    }
    hosts as f64 / presence.probe_interval().as_secs_f64()
}

#[test]
fn a_lost_store_is_looked_at_as_often_whatever_the_number_of_hosts() {
    for hosts in [20, 59, 295, 682] {
        let looks = looks(hosts);
        assert!((9.9..10.1).contains(&looks), "{hosts} hosts: {looks}");
    }
    assert!((0.5..10.0).contains(&looks(11)));
}

#[test]
fn one_host_of_each_zone_counts_what_belongs_to_a_key() {
    let start = Instant::now();
    let others: Vec<(String, &str)> = (1..60)
        .map(|number| (format!("h{number}"), ["n-a", "n-b", "s-a"][number % 3]))
        .collect();
    let others: Vec<(&str, &str)> = others.iter().map(|(host, zone)| (&**host, *zone)).collect();
    let presence = presence(start, &others);
    let zone = |place: &SocketAddr| {
        let other = others.iter().find(|(host, _)| self::place(host) == *place);
        other.unwrap().1
    };
    let mut all = BTreeSet::new();
    for key in 0..200 {
        let counters = presence.counting_hosts(start, key);
        let zones: BTreeSet<&str> = counters.iter().map(zone).collect();
        assert_eq!(zones.len(), counters.len());
        // The own zone's may be this host itself.
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

/// A weak host that has just started in zone `n-a`, and has heard of a strong one with each of these sights.
fn newcomer(now: Instant, others: &[(&str, StoreView)]) -> Presence {
    let own = Record {
        strength: WEAK,
        ..record("own", "n-a", 1)
    };
    let mut presence = Presence::new(now, own, regions());
    for (index, (zone, sight)) in others.iter().enumerate() {
        presence.receive_heartbeat(now, beat(record(&format!("h{index}"), zone, 1), *sight));
    }
    presence
}

/// The host that a weak one follows for its first copy some time after its start, and whether it still waits for one.
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
    another_region_has_it_first: [("s-a", StoreView::Store), ("n-b", StoreView::Nothing)], 0 => None, true;
    the_own_region_takes_too_long: [("s-a", StoreView::Store), ("n-b", StoreView::Nothing)], 4 => Some("h0"), false;
    the_own_region_has_no_strong_host: [("s-a", StoreView::Store)], 0 => Some("h0"), false;
}

#[test]
fn weak_hosts_leave_the_watching_to_strong_ones_that_take_long() {
    let start = Instant::now();
    for (seconds, watches) in [(3, false), (5, true)] {
        let now = start + Duration::from_secs(seconds);
        let mut presence = newcomer(start, &[("n-b", StoreView::Nothing)]);
        presence.receive_heartbeat(now, beat(record("h0", "n-b", 1), StoreView::Nothing));
        assert_eq!(presence.is_watcher(now), watches, "after {seconds} s");
    }
}

/// Where hosts of two regions, `hosts` in each, tell that they follow another one now, all together.
fn told_of_followers(hosts: usize) -> usize {
    let now = Instant::now();
    let zones = ["n-a", "s-a"];
    let host = |index: usize| record(&format!("h{index}"), zones[index % 2], 1);
    let all = 0..2 * hosts;
    let told = all.clone().map(|own| {
        let mut presence = Presence::new(now, host(own), regions());
        for index in all.clone() {
            presence.register(now, host(index));
        }
        presence.set_store_view(StoreView::Relayed);
        presence.store_view_recipients(StoreView::Nothing).len()
    });
    told.sum()
}

#[test]
fn followers_tell_no_other_region_of_it() {
    let told = [15, 60].map(told_of_followers);
    assert_eq!(told, [15, 60].map(|hosts| 2 * hosts * (hosts - 1)));
}

#[test]
fn all_are_told_of_a_watcher() {
    let now = Instant::now();
    let mut presence = presence(now, &[("h1", "n-b"), ("h2", "s-a")]);
    assert_eq!(presence.store_view_recipients(StoreView::Relayed).len(), 2);
    presence.set_store_view(StoreView::Stale);
    assert_eq!(presence.store_view_recipients(StoreView::Store).len(), 2);
    assert_eq!(presence.store_view_recipients(StoreView::Relayed).len(), 1);
}

/// Heartbeats that all hosts of a region of two availability zones send to the other zone in `ROUNDS` rounds.
fn beats_across(hosts: usize) -> usize {
    const ROUNDS: usize = 12;
    let now = Instant::now();
    let zones = ["n-a", "n-b"];
    let host = |index: usize| Record {
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
    let [few, many] = [200, 800].map(beats_across);
    let growth = many as f64 / few as f64;
    assert!(growth < 4.0 * 1.5, "{growth} times as many");
}

/// The hosts that are up, of those of another zone of a large region, when some of that zone went silent at once.
fn up_after(silent: usize, silence: Duration) -> usize {
    const OTHERS: usize = 200;
    let start = Instant::now();
    let mut presence = presence(start, &[]);
    let others: Vec<Record> = (0..OTHERS)
        .map(|index| record(&format!("o{index:03}"), "n-b", 1))
        .collect();
    for other in &others {
        presence.receive_heartbeat(start, beat(other.clone(), StoreView::Relayed));
    }
    for other in &others[silent..] {
        presence.receive_heartbeat(start + silence, beat(other.clone(), StoreView::Relayed));
    }
    presence.alive(start + silence).count() - 1
}

#[test]
fn a_large_zone_that_falls_silent_is_lost_in_time() {
    assert_eq!(up_after(200, INTERVAL * 3), 200);
    assert_eq!(up_after(200, INTERVAL * 4), 0);
}

#[test]
fn hosts_of_another_large_zone_may_be_heard_seldom() {
    assert_eq!(up_after(100, INTERVAL * 4), 200);
    assert_eq!(up_after(100, INTERVAL * 12), 100);
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
    // To connect, to open a feed, to tell what is known and to be told what is new.
    let to_follow = Duration::from_millis(110) * 4;
    let mut presence = presence(now, &[("h1", "s-a")]);
    presence.set_store_view(StoreView::Stale);
    assert!(
        presence.watch_delay(now) < to_follow,
        "nobody sees the store"
    );
    presence.receive_heartbeat(now, beat(record("h1", "s-a", 1), StoreView::Store));
    assert!(presence.watch_delay(now) >= to_follow * 2);
}
