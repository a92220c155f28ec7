//! The bounded queue by priority and deadline.

#![allow(clippy::unwrap_used)]

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use ragwortfold::steer::queue::{Entry, Id, Order, Queue};

/// A queue of the given order and bound with these priorities, by rising identifiers; and who was
/// dropped.
fn fill(order: Order, bound: usize, priorities: &[u8]) -> (Queue<()>, Vec<Id>) {
    let base = Instant::now();
    let mut queue = Queue::new(order, bound);
    let dropped = priorities
        .iter()
        .zip(0..)
        .filter_map(|(&priority, id)| queue.push(entry(base, id, priority, id + 1)))
        .map(|entry| entry.id)
        .collect();
    (queue, dropped)
}

fn entry(base: Instant, id: Id, priority: u8, time: u64) -> Entry<()> {
    Entry {
        id,
        priority,
        start_by: base + Duration::from_millis(time),
        enqueued_at: base,
        item: (),
    }
}

fn drain(mut queue: Queue<()>) -> Vec<Id> {
    std::iter::from_fn(|| queue.pop_matching(1, |_| Some(())))
        .map(|(entry, ())| entry.id)
        .collect()
}

/// Tests of who goes, in order, and who was dropped.
macro_rules! case {
    ($($name:ident: $order:ident, $bound:expr, $priorities:expr => $out:expr, $dropped:expr;)*) => {$(
        #[test]
        fn $name() {
            let (queue, dropped) = fill(Order::$order, $bound, &$priorities);
            assert_eq!(dropped, $dropped as [Id; _]);
            assert_eq!(drain(queue), $out);
        }
    )*};
}

case! {
    oldest_first: Fifo, 9, [5, 5, 5] => [0, 1, 2], [];
    newest_first: Lifo, 9, [5, 5, 5] => [2, 1, 0], [];
    priority_first: Fifo, 9, [1, 5, 1, 5] => [1, 3, 0, 2], [];
    full_drops_lowest: Fifo, 2, [1, 5, 5] => [1, 2], [0];
    full_drops_newcomer_of_lowest: Fifo, 2, [5, 5, 1] => [0, 1], [2];
    full_drops_newest_of_equals: Fifo, 2, [5, 5, 5] => [0, 1], [2];
    full_drops_oldest_of_equals: Lifo, 2, [5, 5, 5] => [2, 1], [0];
}

#[test]
fn skips_who_does_not_fit() {
    let (mut queue, _) = fill(Order::Fifo, 9, &[5, 5, 5]);
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
    Due(u64),
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        4 => (0..10u8, 0..100u64).prop_map(|(priority, time)| Step::Push(priority, time)),
        2 => Just(Step::Pop),
        1 => (0..100 as Id).prop_map(Step::Remove),
        1 => (0..100u64).prop_map(Step::Due),
    ];
    prop::collection::vec(step, 0..200)
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(12), ..ProptestConfig::default() })]

    #[test]
    fn none_is_lost(lifo in any::<bool>(), bound in 1..20usize, steps in steps()) {
        let order = if lifo { Order::Lifo } else { Order::Fifo };
        let base = Instant::now();
        let mut queue = Queue::new(order, bound);
        let mut waiting = BTreeSet::new();
        for (step, id) in steps.into_iter().zip(0..) {
            let out = match step {
                Step::Push(priority, time) => {
                    waiting.insert(id);
                    queue.push(entry(base, id, priority, time))
                }
                Step::Pop => queue.pop_matching(1, |_| Some(())).map(|(entry, ())| entry),
                Step::Remove(id) => queue.remove(id),
                Step::Due(time) => queue.pop_expired(base + Duration::from_millis(time)),
            };
            prop_assert!(out.is_none_or(|entry| waiting.remove(&entry.id)));
            prop_assert!(queue.len() <= bound && queue.len() == waiting.len());
            prop_assert!(waiting.iter().all(|&id| queue.contains(id)));
            prop_assert!(lifo || queue.count_ahead(0) == waiting.len());
prop_assert_eq!(queue.nonempty_since().is_some(), !waiting.is_empty());
        }
    }
}
