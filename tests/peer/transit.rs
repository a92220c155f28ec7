//! Time that frames spend on a stalled link, with made-up clocks.

use std::time::Duration;

use ragwortfold::peer::transit::Transit;

/// Frames, queued and received at these milliseconds, and how long each was held up.
macro_rules! held_up {
    ($($name:ident: [$(($queued:expr, $received:expr) => $held_up:expr),*];)*) => {$(
        #[test]
        fn $name() {
            let mut transit = Transit::new();
            $(
                let queued = Duration::from_millis($queued);
                let received = Duration::from_millis($received);
                let held_up = transit.record(queued, received);
                assert_eq!(held_up, Duration::from_millis($held_up), "{queued:?}");
            )*
        }
    )*};
}

held_up! {
    frames_that_are_as_fast_as_the_first_one_are_not_held_up: [(0, 100) => 0, (10, 110) => 0, (20, 120) => 0];
    a_sender_whose_clock_is_ahead: [(90_000, 100) => 0, (90_010, 110) => 0, (90_020, 1120) => 1000];
    frames_that_a_stall_delivers_at_once: [(0, 100) => 0, (10, 2000) => 1890, (1900, 2000) => 0, (1950, 2050) => 0];
    a_faster_frame_sets_the_mark: [(0, 500) => 0, (10, 110) => 0, (20, 520) => 400];
    clocks_that_drift_apart_by_a_second_in_an_hour: [
        (0, 100) => 0, (1_200_000, 1_200_433) => 0, (2_400_000, 2_400_767) => 0, (3_600_000, 3_601_100) => 0
    ];
    a_stall_at_the_start_of_a_window: [(0, 100) => 0, (29_000, 31_000) => 1900, (31_900, 32_000) => 0];
    the_largest_times: [(0, u64::MAX) => 0, (u64::MAX, 0) => 0];
}
