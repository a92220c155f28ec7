//! Tests of a host's copy of the store.

#![allow(clippy::unwrap_used)]

use std::sync::Arc;
use std::time::{Duration, Instant};

use ragwortfold::control::replica::{Effect, Outage, Replica, Update};
use ragwortfold::inventory::{Registration, State};
use ragwortfold::port::{Entry, Kind, Value};

fn target(name: &str, version: u64, cold_ms: u64) -> Entry {
    Entry {
        name: name.into(),
        version,
        value: Some(Value::Target(Arc::new(Registration {
            id: name.into(),
            service: "books".into(),
            address: "127.0.0.1:9".parse().unwrap(),
            zone: "n-a".into(),
            slots: 4,
            state: State::Ready,
            cold_left: Duration::from_millis(cold_ms),
            born: None,
        }))),
    }
}

fn removed_target(name: &str, version: u64) -> Entry {
    Entry {
        name: name.into(),
        version,
        value: None,
    }
}

fn update(from: Option<u64>, to: u64, entries: Vec<Entry>) -> Update {
    Update {
        kind: Kind::Targets,
        from,
        to,
        entries,
        outage: Outage::None,
    }
}

/// The changed names, with a minus in front of removed ones, or "old" or "gap".
fn summary(effect: &Effect) -> String {
    match effect {
        Effect::Old => "old".into(),
        Effect::Gap => "gap".into(),
        Effect::Changed(entries) => {
            let names = entries.iter().map(|entry| match entry.value {
                Some(_) => entry.name.to_string(),
                None => format!("-{}", entry.name),
            });
            names.collect::<Vec<_>>().join(" ")
        }
    }
}

/// A copy that contains `a` and `b` at revision 10 receives one more update.
macro_rules! applies {
    ($($name:ident: $update:expr => $summary:expr, $revision:expr;)*) => {$(
        #[test]
        fn $name() {
            let now = Instant::now();
            let mut replica = Replica::new();
            let first = update(None, 10, vec![target("a", 3, 0), target("b", 9, 0)]);
            assert_eq!(summary(&replica.apply(now, first)), "a b");
            assert_eq!(summary(&replica.apply(now, $update)), $summary);
            assert_eq!(replica.revision(Kind::Targets), Some($revision));
        }
    )*};
}

applies! {
    a_change: update(Some(10), 12, vec![target("a", 12, 0)]) => "a", 12;
    a_removal: update(Some(10), 12, vec![removed_target("a", 12)]) => "-a", 12;
    a_removal_of_what_is_unknown: update(Some(10), 12, vec![removed_target("x", 12)]) => "", 12;
    nothing_new: update(Some(10), 12, vec![]) => "", 12;
    a_gap: update(Some(11), 12, vec![target("a", 12, 0)]) => "gap", 10;
    an_old_change: update(Some(4), 9, vec![target("a", 8, 0)]) => "old", 10;
    a_change_that_overlaps: update(Some(4), 12, vec![target("a", 2, 0), target("c", 12, 0)]) => "c", 12;
    an_old_snapshot: update(None, 9, vec![]) => "old", 10;
    a_snapshot_with_less: update(None, 12, vec![target("b", 9, 0)]) => "-a", 12;
    a_snapshot_with_more: update(None, 12, vec![target("a", 3, 0), target("b", 9, 0), target("c", 11, 0)]) => "c", 12;
    the_same_snapshot_again: update(None, 10, vec![target("a", 3, 0), target("b", 9, 0)]) => "old", 10;
}

#[test]
fn changes_without_a_copy_are_a_gap() {
    let mut replica = Replica::new();
    let effect = replica.apply(Instant::now(), update(Some(1), 2, vec![]));
    assert_eq!(effect, Effect::Gap);
}

#[test]
fn a_snapshot_contains_the_remaining_cold_time() {
    let now = Instant::now();
    let mut replica = Replica::new();
    replica.apply(now, update(None, 10, vec![target("a", 3, 2500)]));
    let later = now + Duration::from_secs(1);
    let snapshot = replica
        .snapshot(later, Kind::Targets, Outage::None)
        .unwrap();
    assert_eq!(snapshot.entries, vec![target("a", 3, 1500)]);
    assert_eq!(snapshot.from, None);
    assert_eq!(snapshot.to, 10);
    let mut other = Replica::new();
    assert_eq!(summary(&other.apply(later, snapshot)), "a");
}

#[test]
fn hosts_that_follow_each_other_stop_sending_updates() {
    let now = Instant::now();
    let (mut one, mut other) = (Replica::new(), Replica::new());
    one.apply(now, update(None, 10, vec![target("a", 3, 0)]));
    let mut sent = 0;
    let mut next = one.snapshot(now, Kind::Targets, Outage::None);
    while let Some(update) = next.take() {
        sent += 1;
        assert!(sent < 5, "the hosts send updates forever");
        std::mem::swap(&mut one, &mut other);
        if let Effect::Changed(_) = one.apply(now, update) {
            next = one.snapshot(now, Kind::Targets, Outage::None);
        }
    }
}

/// A copy of `count` targets, made at revision `count`.
fn copy(count: usize) -> Replica {
    let mut replica = Replica::new();
    let entries = (1..=count).map(|index| target(&format!("t{index:05}"), index as u64, 0));
    replica.apply(
        Instant::now(),
        update(None, count as u64, entries.collect()),
    );
    replica
}

/// The number of entries sent to a follower that missed ten changes and two removals.
fn entries_after_absence(count: usize) -> usize {
    let now = Instant::now();
    let revision = count as u64;
    let (mut watcher, mut follower) = (copy(count), copy(count));
    for change in 1..=10 {
        let version = revision + change;
        let entry = target(&format!("t{change:05}"), version, 0);
        watcher.apply(now, update(Some(version - 1), version, vec![entry]));
    }
    let removals = vec![
        removed_target("t00011", revision + 11),
        removed_target("t00012", revision + 12),
    ];
    watcher.apply(now, update(Some(revision + 10), revision + 12, removals));
    let difference = watcher
        .changes_since(now, Kind::Targets, revision, Outage::None)
        .unwrap();
    let count_sent = difference.entries.len();
    follower.apply(now, difference);
    assert_eq!(
        follower.digest(Kind::Targets),
        watcher.digest(Kind::Targets)
    );
    assert_eq!(follower.revision(Kind::Targets), Some(revision + 12));
    count_sent
}

#[test]
fn a_follower_receives_only_missed_changes_for_any_number_of_targets() {
    assert_eq!([500, 2000].map(entries_after_absence), [12, 12]);
}

#[test]
fn a_target_that_was_removed_and_created_again_is_kept() {
    let now = Instant::now();
    let (mut watcher, mut follower) = (copy(3), copy(3));
    watcher.apply(now, update(Some(3), 4, vec![removed_target("t00001", 4)]));
    watcher.apply(now, update(Some(4), 5, vec![target("t00001", 5, 0)]));
    follower.apply(
        now,
        watcher
            .changes_since(now, Kind::Targets, 3, Outage::None)
            .unwrap(),
    );
    assert_eq!(follower.names(Kind::Targets).count(), 3);
    assert_eq!(
        follower.digest(Kind::Targets),
        watcher.digest(Kind::Targets)
    );
}

#[test]
fn a_removal_that_is_no_longer_kept_shows_in_the_digest() {
    let now = Instant::now();
    let mut watcher = Replica::new();
    watcher.apply(now, update(None, 9, vec![target("a", 3, 0)]));
    let mut follower = Replica::new();
    let both = vec![target("a", 3, 0), target("b", 4, 0)];
    follower.apply(now, update(None, 5, both));
    follower.apply(
        now,
        watcher
            .changes_since(now, Kind::Targets, 5, Outage::None)
            .unwrap(),
    );
    assert_eq!(follower.revision(Kind::Targets), Some(9));
    assert_ne!(
        follower.digest(Kind::Targets),
        watcher.digest(Kind::Targets)
    );
    follower.apply(
        now,
        watcher.snapshot(now, Kind::Targets, Outage::None).unwrap(),
    );
    assert_eq!(
        follower.digest(Kind::Targets),
        watcher.digest(Kind::Targets)
    );
}

/// Hosts of earlier versions read only a boolean, so each outage must be encoded as an optional
/// boolean.
#[test]
fn outages_are_encoded_as_in_earlier_versions() {
    for (outage, encoded) in [
        (Outage::None, Some(false)),
        (Outage::Long, Some(true)),
        (Outage::Brief, None::<bool>),
    ] {
        let mut bytes = Vec::new();
        ciborium::into_writer(&outage, &mut bytes).unwrap();
        let read: Option<bool> = ciborium::from_reader(&bytes[..]).unwrap();
        assert_eq!(read, encoded);
        let back: Outage = ciborium::from_reader(&bytes[..]).unwrap();
        assert_eq!(back, outage);
    }
}
