//! Which peers are closed when a limit on what is held for all of them is reached.

#![allow(clippy::unwrap_used)]

use std::time::{Duration, Instant};

use ragwortfold::steer::holdings::{Holdings, Limits, PeerKey, Stage, Verdict};

const LIMITS: Limits = Limits {
    bytes: 1000,
    connections: 4,
};

/// Accounts of peers with these stages and bytes; each one is a second older than the next.
fn with_peers(peers: &[(Stage, usize)]) -> (Holdings, Vec<PeerKey>) {
    let mut holdings = Holdings::new(LIMITS);
    let start = Instant::now();
    let keys = (0..).zip(peers).map(|(second, (stage, bytes))| {
        let key = holdings.open(start + Duration::from_secs(second), *stage);
        assert_eq!(holdings.charge(key, *bytes), Verdict::Granted);
        key
    });
    let keys = keys.collect();
    (holdings, keys)
}

/// What the last of the peers gets that wants so many bytes: granted, refused, or the numbers of the peers that are closed.
macro_rules! charges {
    ($($name:ident: $peers:expr, $bytes:expr => $expected:expr;)*) => {$(
        #[test]
        fn $name() {
            let (mut holdings, keys) = with_peers(&$peers);
            let expected: Result<Vec<usize>, Verdict> = $expected;
            let expected = match expected {
                Ok(closed) => Verdict::Wait(closed.into_iter().map(|number| keys[number]).collect()),
                Err(verdict) => verdict,
            };
            assert_eq!(holdings.charge(*keys.last().unwrap(), $bytes), expected);
        }
    )*};
}

use Stage::{Idle, Own, Running, Waiting};

charges! {
    within_the_limit: [(Waiting, 400), (Waiting, 100)], 500 => Err(Verdict::Granted);
    the_one_that_holds_most_is_closed: [(Waiting, 300), (Waiting, 500), (Waiting, 100)], 200 => Ok(vec![1]);
    of_equals_the_one_that_waits_longest_is_closed: [(Waiting, 400), (Waiting, 400), (Waiting, 100)], 200 => Ok(vec![0]);
    several_are_closed: [(Waiting, 400), (Waiting, 350), (Running, 100)], 600 => Ok(vec![0, 1]);
    one_that_is_waited_for_before_one_that_runs: [(Running, 700), (Waiting, 150), (Running, 100)], 100 => Ok(vec![1]);
    one_that_runs_if_no_other_is_left: [(Running, 700), (Idle, 150), (Running, 100)], 100 => Ok(vec![0]);
    the_one_that_asks_if_it_would_hold_most: [(Waiting, 400), (Waiting, 300)], 400 => Err(Verdict::Refused);
    the_one_that_asks_before_those_that_run: [(Running, 900), (Waiting, 50)], 100 => Err(Verdict::Refused);
    parts_of_the_system_are_never_closed: [(Own, 900), (Running, 50)], 100 => Err(Verdict::Refused);
    parts_of_the_system_go_before_others: [(Waiting, 500), (Own, 100)], 800 => Ok(vec![0]);
    more_than_the_limit: [(Waiting, 900), (Waiting, 0)], 1001 => Err(Verdict::Refused);
}

#[test]
fn a_peer_waits_for_those_that_are_being_closed() {
    let (mut holdings, keys) = with_peers(&[(Waiting, 900), (Waiting, 50), (Waiting, 0)]);
    assert_eq!(holdings.charge(keys[1], 200), Verdict::Wait(vec![keys[0]]));
    assert_eq!(holdings.charge(keys[2], 300), Verdict::Wait(vec![]));
    assert_eq!(holdings.charge(keys[0], 1), Verdict::Refused);
    holdings.release(keys[0], 300);
    assert_eq!(holdings.charge(keys[1], 200), Verdict::Granted);
    holdings.remove(keys[0]);
    assert_eq!(holdings.charge(keys[2], 300), Verdict::Granted);
    assert_eq!(holdings.bytes(), 550);
}

/// Which peer is closed for another connection.
macro_rules! admissions {
    ($($name:ident: $peers:expr => $expected:expr;)*) => {$(
        #[test]
        fn $name() {
            let (mut holdings, keys) = with_peers(&$peers);
            let expected: Result<usize, Verdict> = $expected;
            let expected = expected.map_or_else(|verdict| verdict, |number| Verdict::Wait(vec![keys[number]]));
            assert_eq!(holdings.admit(), expected);
        }
    )*};
}

admissions! {
    room_for_a_connection: [(Running, 1), (Running, 1), (Idle, 1)] => Err(Verdict::Granted);
    the_longest_idle_one_is_closed: [(Waiting, 1), (Idle, 1), (Idle, 1), (Running, 1)] => Ok(1);
    the_one_that_is_waited_for_longest: [(Running, 1), (Waiting, 1), (Waiting, 1), (Own, 1)] => Ok(1);
    none_whose_request_runs: [(Running, 1), (Running, 1), (Running, 1), (Own, 1)] => Err(Verdict::Refused);
}

#[test]
fn one_connection_is_closed_for_each_that_is_admitted() {
    let (mut holdings, keys) = with_peers(&[(Idle, 1); 4]);
    assert_eq!(holdings.admit(), Verdict::Wait(vec![keys[0]]));
    assert_eq!(holdings.admit(), Verdict::Wait(vec![]));
    holdings.remove(keys[0]);
    assert_eq!(holdings.admit(), Verdict::Granted);
}

/// A peer that begins something else has not been waited for meanwhile.
#[test]
fn a_new_stage_begins_anew() {
    let (mut holdings, keys) = with_peers(&[(Idle, 1); 4]);
    let later = Instant::now() + Duration::from_secs(60);
    holdings.set_stage(keys[0], later, Waiting);
    holdings.set_stage(keys[0], later, Idle);
    assert_eq!(holdings.admit(), Verdict::Wait(vec![keys[1]]));
}
