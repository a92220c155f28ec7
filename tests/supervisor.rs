//! Threads whose work panics go on, and each panic is reported.

#![allow(clippy::unwrap_used)]

use std::sync::mpsc::{channel, Receiver};
use std::time::Duration;

use ragwortfold::supervisor::Supervisor;

/// Time limit for each report.
const TIMEOUT: Duration = Duration::from_secs(10);

fn supervisor() -> (Supervisor, Receiver<(String, String)>) {
    let (sender, reports) = channel();
    let supervisor = Supervisor::new(move |name, reason| {
        sender.send((name.to_owned(), reason.to_owned())).unwrap();
    });
    (supervisor, reports)
}

/// Work, what its panic is reported as, and what the caller gets.
macro_rules! work {
    ($($name:ident: $work:expr => $output:expr, $reason:expr;)*) => {$(
        #[test]
        fn $name() {
            let (supervisor, reports) = supervisor();
            let output: Option<u32> = supervisor.catch("work", $work);
            assert_eq!(output, $output);
            let reason: Option<&str> = $reason;
            let report = reports.try_recv().ok();
            let expected = report.as_ref().zip(reason);
            assert_eq!(report.is_some(), reason.is_some());
            assert!(expected.is_none_or(|(report, reason)| {
                report.0 == "work" && report.1.starts_with(reason)
            }), "{report:?}");
        }
    )*};
}

work! {
    work_that_returns: || 7 => Some(7), None;
    work_that_panics: || panic!("no value") => None, Some("no value");
    work_that_panics_with_a_number: || panic!("{} values", 3) => None, Some("3 values");
    work_that_panics_with_another_type: || std::panic::panic_any(5) => None, Some("unknown");
}

/// A panic ended a thread for good, and nothing said so.
#[test]
fn a_thread_that_panics_starts_again_until_it_returns() {
    let (supervisor, reports) = supervisor();
    let (sender, runs) = channel();
    let mut left = 3;
    supervisor
        .spawn("worker", move || {
            sender.send(left).unwrap();
            left -= 1;
            assert!(left == 0, "{left} left");
        })
        .unwrap();
    let all: Vec<i32> = runs.iter().collect();
    assert_eq!(all, [3, 2, 1]);
    for left in [2, 1] {
        let (name, reason) = reports.recv_timeout(TIMEOUT).unwrap();
        assert_eq!(name, "worker");
        assert!(reason.starts_with(&format!("{left} left")), "{reason}");
    }
    assert!(reports.try_recv().is_err());
}
