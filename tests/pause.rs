//! When refused callers may come back.

use std::time::Duration;

use ragwortfold::steer::pause::{RefusedRequest, MAX_PAUSE, MIN_PAUSE};

const CALLERS: u32 = 1000;

fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

/// When callers that were refused at one moment come back.
fn returns(room: Duration, rank: f64) -> Vec<Duration> {
    let one = |number| {
        RefusedRequest {
            time_until_room: room,
            rank,
        }
        .retry_after(f64::from(number) / f64::from(CALLERS))
    };
    (0..CALLERS).map(one).collect()
}

#[test]
fn callers_do_not_return_as_one_wave() {
    let all = returns(ms(200), 0.5);
    for begin in (0..600).step_by(10) {
        let span = ms(begin)..ms(begin + 20);
        let together = all.iter().filter(|at| span.contains(*at)).count();
        assert!(together <= 250, "{together} within 20 ms of {begin} ms");
    }
}

#[test]
fn urgent_callers_return_first() {
    let (urgent, other) = (returns(ms(200), 0.0), returns(ms(200), 1.0));
    assert!(urgent.iter().max() <= other.iter().min());
}

#[test]
fn nobody_returns_before_there_is_room() {
    assert!(returns(ms(300), 0.0).iter().all(|at| *at >= ms(300)));
}

#[test]
fn no_time_is_too_short_or_too_long() {
    for room in [Duration::ZERO, ms(50), ms(400), ms(60_000)] {
        for rank in [0.0, 0.5, 1.0, 7.0] {
            let all = returns(room, rank);
            assert!(all
                .iter()
                .all(|at| (MIN_PAUSE..=2 * MAX_PAUSE).contains(at)));
        }
    }
}
