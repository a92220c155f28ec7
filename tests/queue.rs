//! The bounded queue, ordered by priority and deadline.

#![allow(clippy::unwrap_used)]

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use ragwortfold::steer::queue::{Entry, Id, Order, Queue};

/// Returns a queue of the given order and capacity, filled with requests of these priorities and
/// ascending identifiers, and the dropped requests.
fn filled_queue(order: Order, capacity: usize, priorities: &[u8]) -> (Queue<()>, Vec<Id>) {
    let start = Instant::now();
    let mut queue = Queue::new(order, capacity);
    let dropped = priorities
        .iter()
        .zip(0..)
        .filter_map(|(&priority, id)| queue.push(entry(start, id, priority, id + 1)))
        .map(|entry| entry.id)
        .collect();
    (queue, dropped)
}

fn entry(start: Instant, id: Id, priority: u8, time: u64) -> Entry<()> {
    Entry {
        id,
        priority,
        start_by: start + Duration::from_millis(time),
        enqueued_at: start,
        item: (),
    }
}

fn drain(mut queue: Queue<()>) -> Vec<Id> {
    std::iter::from_fn(|| queue.pop_matching(1, |_| Some(())))
        .map(|(entry, ())| entry.id)
        .collect()
}

/// The order in which requests are served, and the requests that are dropped.
macro_rules! order_and_drops {
    ($($name:ident: $order:ident, $capacity:expr, $priorities:expr => $out:expr, $dropped:expr;)*) => {$(
        #[test]
        fn $name() {
            let (queue, dropped) = filled_queue(Order::$order, $capacity, &$priorities);
            assert_eq!(dropped, $dropped as [Id; _]);
            assert_eq!(drain(queue), $out);
        }
    )*};
}

order_and_drops! {
    oldest_first: Fifo, 9, [5, 5, 5] => [0, 1, 2], [];
    newest_first: Lifo, 9, [5, 5, 5] => [2, 1, 0], [];
    priority_first: Fifo, 9, [1, 5, 1, 5] => [1, 3, 0, 2], [];
    full_drops_lowest: Fifo, 2, [1, 5, 5] => [1, 2], [0];
    full_drops_newcomer_of_lowest: Fifo, 2, [5, 5, 1] => [0, 1], [2];
    full_drops_newest_of_equals: Fifo, 2, [5, 5, 5] => [0, 1], [2];
    full_drops_oldest_of_equals: Lifo, 2, [5, 5, 5] => [2, 1], [0];
}

#[test]
fn skips_requests_that_do_not_match() {
    let (mut queue, _) = filled_queue(Order::Fifo, 9, &[5, 5, 5]);
    let found = queue.pop_matching(2, |entry| (entry.id == 1).then_some(()));
    assert_eq!(found.map(|(entry, ())| entry.id), Some(1));
    assert!(queue
        .pop_matching(1, |entry| (entry.id == 2).then_some(()))
        .is_none());
    assert_eq!(drain(queue), [0, 2]);
}

#[derive(Clone, Debug)]
enum Step {
    Push(u8, u64),
    Pop,
    Remove(Id),
    Expire(u64),
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        4 => (0..10u8, 0..100u64).prop_map(|(priority, time)| Step::Push(priority, time)),
        2 => Just(Step::Pop),
        1 => (0..100 as Id).prop_map(Step::Remove),
        1 => (0..100u64).prop_map(Step::Expire),
    ];
    prop::collection::vec(step, 0..200)
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(12), ..ProptestConfig::default() })]

    #[test]
    fn no_request_is_lost(lifo in any::<bool>(), capacity in 1..20usize, steps in steps()) {
        let order = if lifo { Order::Lifo } else { Order::Fifo };
        let start = Instant::now();
        let mut queue = Queue::new(order, capacity);
        let mut waiting = BTreeSet::new();
        for (step, id) in steps.into_iter().zip(0..) {
            let out = match step {
                Step::Push(priority, time) => {
                    waiting.insert(id);
                    queue.push(entry(start, id, priority, time))
                }
                Step::Pop => queue.pop_matching(1, |_| Some(())).map(|(entry, ())| entry),
                Step::Remove(id) => queue.remove(id),
                Step::Expire(time) => queue.pop_expired(start + Duration::from_millis(time)),
            };
            prop_assert!(out.is_none_or(|entry| waiting.remove(&entry.id)));
            prop_assert!(queue.len() <= capacity && queue.len() == waiting.len());
            prop_assert!(waiting.iter().all(|&id| queue.contains(id)));
            prop_assert!(lifo || queue.count_ahead(0) == waiting.len());
            prop_assert_eq!(queue.nonempty_since().is_some(), !waiting.is_empty());
        }
    }
}
