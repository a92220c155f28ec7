//! Retry delays of refused callers.

use std::time::Duration;

use ragwortfold::steer::pause::{RefusedRequest, MAX_PAUSE, MIN_PAUSE};

const CALLERS: u32 = 1000;

fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

/// Returns the times at which callers return that were refused at one moment.
fn return_times(time_until_room: Duration, rank: f64) -> Vec<Duration> {
    let return_time = |number| {
        RefusedRequest {
            time_until_room,
            rank,
        }
        .retry_after(f64::from(number) / f64::from(CALLERS))
    };
    (0..CALLERS).map(return_time).collect()
}

#[test]
fn callers_do_not_return_at_once() {
    let all = return_times(ms(200), 0.5);
    for start in (0..600).step_by(10) {
        let span = ms(start)..ms(start + 20);
        let together = all.iter().filter(|at| span.contains(*at)).count();
        assert!(together <= 250, "{together} within 20 ms of {start} ms");
    }
}

#[test]
fn urgent_callers_return_first() {
    let (urgent, other) = (return_times(ms(200), 0.0), return_times(ms(200), 1.0));
    assert!(urgent.iter().max() <= other.iter().min());
}

#[test]
fn no_caller_returns_before_there_is_room() {
    assert!(return_times(ms(300), 0.0).iter().all(|at| *at >= ms(300)));
}

#[test]
fn delays_are_bounded() {
    for time_until_room in [Duration::ZERO, ms(50), ms(400), ms(60_000)] {
        for rank in [0.0, 0.5, 1.0, 7.0] {
            let all = return_times(time_until_room, rank);
            assert!(all
                .iter()
                .all(|at| (MIN_PAUSE..=2 * MAX_PAUSE).contains(at)));
        }
    }
}
