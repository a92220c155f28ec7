//! When a host that follows others asks the store itself, and how long that takes.

use std::time::{Duration, Instant};

use ragwortfold::control::fallback::{Action, Fallback, CONNECT_AGE, QUERY_AGE};
use ragwortfold::control::freshness::{ANSWER_TIMEOUT, INTERVAL};
use ragwortfold::host::{DECISION_INTERVAL, FEED_TIMEOUT, KEEPALIVE_INTERVAL};

/// The shortest time that a deployment allows for a change to be in force.
const IN_FORCE: Duration = Duration::from_millis(2500);
/// A round trip between regions.
const ROUND_TRIP: Duration = Duration::from_millis(110);
/// Time until the kernel repeats a lost SYN.
const LOST_SYN: Duration = Duration::from_secs(1);
/// The shortest time until the kernel repeats another packet that was lost.
const RETRANSMISSION: Duration = Duration::from_millis(200);
/// Time for a host on a fifth of a core to apply an answer.
const APPLY: Duration = Duration::from_millis(50);
/// Interval at which a host retries in these tests.
const RETRY: Duration = Duration::from_secs(2);

/// The time in which a follower has the changes that its source did not pass on, in the steps from the last confirmation: the
/// decision, a connection, the revision of the store, and the changes since.
fn query_time(decision_age: Duration, connection: Duration) -> Duration {
    decision_age + DECISION_INTERVAL + connection + ROUND_TRIP * 2 + APPLY
}

/// Defines tests by sums of steps and their limits.
macro_rules! budgets {
    ($($name:ident: $sum:expr, $limit:expr;)*) => {$(
        #[test]
        fn $name() {
            assert!($sum <= $limit, "{:?} of {:?}", $sum, $limit);
        }
    )*};
}

budgets! {
    changes_arrive_in_time_when_any_hosts_are_lost: query_time(QUERY_AGE, Duration::ZERO), IN_FORCE;
    changes_arrive_in_time_when_any_hosts_are_lost_and_a_connection_opens_late: query_time(CONNECT_AGE, LOST_SYN + ROUND_TRIP), IN_FORCE;
    changes_after_a_query_arrive_in_time_with_the_next_one: query_time(QUERY_AGE, Duration::ZERO) + ROUND_TRIP, IN_FORCE;
    changes_arrive_in_time_when_a_source_loses_the_store: INTERVAL + ANSWER_TIMEOUT + DECISION_INTERVAL + ROUND_TRIP * 4 + APPLY, IN_FORCE;
    a_packet_of_a_source_may_be_lost: KEEPALIVE_INTERVAL + RETRANSMISSION, CONNECT_AGE;
    a_new_source_is_found_before_a_query: DECISION_INTERVAL + ROUND_TRIP * 4 + KEEPALIVE_INTERVAL, QUERY_AGE;
    a_query_does_not_wait_until_a_source_counts_as_lost: QUERY_AGE, FEED_TIMEOUT;
}

/// Makes decisions over `span` while the age of the copy grows from nothing. Returns the actions, without repetitions.
fn decide(fallback: &mut Fallback, start: Instant, span: Duration) -> Vec<(Duration, Action)> {
    let mut actions: Vec<(Duration, Action)> = Vec::new();
    let mut age = Duration::ZERO;
    while age <= span {
        let action = fallback.decide(start + age, age);
        if actions.last().is_none_or(|(_, last)| *last != action) {
            actions.push((age, action));
        }
        age += DECISION_INTERVAL;
    }
    actions
}

#[test]
fn a_follower_without_confirmation_connects_and_queries_once() {
    let expected = [
        (Duration::ZERO, Action::Wait),
        (CONNECT_AGE, Action::Connect),
        (QUERY_AGE, Action::Query),
        (QUERY_AGE + DECISION_INTERVAL, Action::Connect),
    ];
    let actions = decide(&mut Fallback::new(), Instant::now(), QUERY_AGE * 2);
    assert_eq!(actions, expected);
}

#[test]
fn a_store_that_does_not_answer_is_queried_again_after_the_interval() {
    let start = Instant::now();
    let mut fallback = Fallback::new();
    decide(&mut fallback, start, QUERY_AGE);
    let failed_at = start + QUERY_AGE + ANSWER_TIMEOUT;
    fallback.record_end(failed_at, false, RETRY);
    let age = QUERY_AGE + ANSWER_TIMEOUT;
    let mut queried = Vec::new();
    for step in 0..25 {
        let since = DECISION_INTERVAL * step;
        if fallback.decide(failed_at + since, age + since) == Action::Query {
            queried.push(since);
        }
    }
    assert_eq!(queried, [RETRY]);
}

#[test]
fn a_host_that_was_paused_reads_what_it_received_before_it_queries() {
    let start = Instant::now();
    let mut fallback = Fallback::new();
    fallback.decide(start, Duration::ZERO);
    let end = start + QUERY_AGE * 2;
    assert_eq!(fallback.decide(end, QUERY_AGE * 2), Action::Wait);
    let next = end + DECISION_INTERVAL;
    assert_eq!(fallback.decide(next, QUERY_AGE * 2), Action::Query);
}
