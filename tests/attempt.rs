//! Reactions to every failure point, and the tracking of a request over random failures.

#![allow(clippy::unwrap_used)]

use std::time::{Duration, Instant};

use la_arena::{Idx, RawIdx};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use ragwortfold::catalog::Repeat;
use ragwortfold::steer::attempt::FailurePoint::*;
use ragwortfold::steer::attempt::Outcome::{Answered, NotRun, Unknown};
use ragwortfold::steer::attempt::Stage::*;
use ragwortfold::steer::attempt::{
    retry_or_finish, AttemptId, AttemptTracker, Body, Destination, Error, FailurePoint, Next,
    Outcome, Reason, Reply, Stage, Step,
};

const TIME_LEFT: Duration = Duration::from_millis(500);

/// Which requests are retried after a failure if possible.
#[derive(Clone, Copy, PartialEq)]
enum Resend {
    /// Idempotent or not.
    Both,
    /// Only if idempotent.
    Safe,
    /// Never.
    No,
}

/// Checks one failure for all kinds of requests: where none is retried, `expected_outcome` is the outcome.
fn check_reaction(cause: FailurePoint, resend: Resend, expected_outcome: Outcome) {
    let finish = Next::Finish(expected_outcome);
    let expected = |repeats: bool| if repeats { Next::Retry } else { finish };
    let idempotent = expected(resend != Resend::No);
    let not_idempotent = expected(resend == Resend::Both);
    let next = |repeat, body| retry_or_finish(cause, repeat, body, TIME_LEFT, 1);
    assert_eq!(
        next(Repeat::Safe, Body::Replayable),
        idempotent,
        "idempotent, replayable"
    );
    assert_eq!(
        next(Repeat::Safe, Body::Consumed),
        finish,
        "idempotent, consumed"
    );
    assert_eq!(
        next(Repeat::Never, Body::Replayable),
        not_idempotent,
        "not idempotent, replayable"
    );
    assert_eq!(
        next(Repeat::Never, Body::Consumed),
        finish,
        "not idempotent, consumed"
    );
    for repeat in [Repeat::Safe, Repeat::Never] {
        assert_eq!(
            retry_or_finish(cause, repeat, Body::Replayable, Duration::ZERO, 1),
            finish,
            "no time"
        );
        assert_eq!(
            retry_or_finish(cause, repeat, Body::Replayable, TIME_LEFT, 0),
            finish,
            "no attempts left"
        );
    }
}

macro_rules! case {
    ($($name:ident: $cause:expr => $resend:ident, $expected_outcome:expr;)*) => {
        $(
            #[test]
            fn $name() {
                check_reaction($cause, Resend::$resend, $expected_outcome);
            }
        )*

        /// Every failure point with a test.
        const ROWS: &[FailurePoint] = &[$($cause),*];
    };
}

case! {
    connect_refused: ConnectRefused => Both, NotRun(Reason::Unreachable);
    no_link: NoLink => Both, NotRun(Reason::Unreachable);
    frame_not_sent: FrameNotSent => Both, NotRun(Reason::Unreachable);
    relay_refused: RelayRefused => Both, NotRun(Reason::Refused);
    relay_unknown: RelayUnknown => Safe, Unknown(Reason::Relayed);
    refused: Refused => Both, NotRun(Reason::Refused);
    unavailable: Unavailable => Safe, Answered;
    server_error: ServerError => No, Answered;
    not_http: NotHttp => Safe, Unknown(Reason::BadAnswer);
    wrong_length_queued: WrongLength(Queued) => Safe, Unknown(Reason::BadAnswer);
    wrong_length_connecting: WrongLength(Connecting) => Safe, Unknown(Reason::BadAnswer);
    wrong_length_connected: WrongLength(Connected) => Safe, Unknown(Reason::BadAnswer);
    wrong_length_head: WrongLength(Head) => Safe, Unknown(Reason::BadAnswer);
    wrong_length_body: WrongLength(Stage::Body) => Safe, Unknown(Reason::BadAnswer);
    wrong_length_sent: WrongLength(Sent) => Safe, Unknown(Reason::BadAnswer);
    wrong_length_answer_head: WrongLength(AnswerHead) => Safe, Unknown(Reason::BadAnswer);
    wrong_length_answer_body: WrongLength(AnswerBody) => Safe, Unknown(Reason::BadAnswer);
    wrong_length_forwarded: WrongLength(Forwarded) => No, Unknown(Reason::Truncated);
    closed_queued: ConnectionClosed(Queued) => Both, NotRun(Reason::Disconnected);
    closed_connecting: ConnectionClosed(Connecting) => Both, NotRun(Reason::Disconnected);
    closed_connected: ConnectionClosed(Connected) => Both, NotRun(Reason::Disconnected);
    closed_head: ConnectionClosed(Head) => Safe, Unknown(Reason::Disconnected);
    closed_body: ConnectionClosed(Stage::Body) => Safe, Unknown(Reason::Disconnected);
    closed_sent: ConnectionClosed(Sent) => Safe, Unknown(Reason::Disconnected);
    closed_answer_head: ConnectionClosed(AnswerHead) => Safe, Unknown(Reason::Disconnected);
    closed_answer_body: ConnectionClosed(AnswerBody) => Safe, Unknown(Reason::Disconnected);
    closed_forwarded: ConnectionClosed(Forwarded) => No, Unknown(Reason::Truncated);
    reused_closed_queued: ReusedConnectionClosed(Queued) => Both, NotRun(Reason::Disconnected);
    reused_closed_connecting: ReusedConnectionClosed(Connecting) => Both, NotRun(Reason::Disconnected);
    reused_closed_connected: ReusedConnectionClosed(Connected) => Both, NotRun(Reason::Disconnected);
    reused_closed_head: ReusedConnectionClosed(Head) => Safe, Unknown(Reason::Disconnected);
    reused_closed_body: ReusedConnectionClosed(Stage::Body) => Safe, Unknown(Reason::Disconnected);
    reused_closed_sent: ReusedConnectionClosed(Sent) => Safe, Unknown(Reason::Disconnected);
    reused_closed_answer_head: ReusedConnectionClosed(AnswerHead) => Safe, Unknown(Reason::Disconnected);
    reused_closed_answer_body: ReusedConnectionClosed(AnswerBody) => Safe, Unknown(Reason::Disconnected);
    reused_closed_forwarded: ReusedConnectionClosed(Forwarded) => No, Unknown(Reason::Truncated);
    timeout_queued: Timeout(Queued) => Both, NotRun(Reason::Timeout);
    timeout_connecting: Timeout(Connecting) => Both, NotRun(Reason::Timeout);
    timeout_connected: Timeout(Connected) => Both, NotRun(Reason::Timeout);
    timeout_head: Timeout(Head) => Safe, Unknown(Reason::Timeout);
    timeout_body: Timeout(Stage::Body) => Safe, Unknown(Reason::Timeout);
    timeout_sent: Timeout(Sent) => Safe, Unknown(Reason::Timeout);
    timeout_answer_head: Timeout(AnswerHead) => Safe, Unknown(Reason::Timeout);
    timeout_answer_body: Timeout(AnswerBody) => Safe, Unknown(Reason::Timeout);
    timeout_forwarded: Timeout(Forwarded) => No, Unknown(Reason::Truncated);
    caller_gone_queued: CallerGone(Queued) => No, NotRun(Reason::CallerGone);
    caller_gone_connecting: CallerGone(Connecting) => No, NotRun(Reason::CallerGone);
    caller_gone_connected: CallerGone(Connected) => No, NotRun(Reason::CallerGone);
    caller_gone_head: CallerGone(Head) => No, Unknown(Reason::CallerGone);
    caller_gone_body: CallerGone(Stage::Body) => No, Unknown(Reason::CallerGone);
    caller_gone_sent: CallerGone(Sent) => No, Unknown(Reason::CallerGone);
    caller_gone_answer_head: CallerGone(AnswerHead) => No, Unknown(Reason::CallerGone);
    caller_gone_answer_body: CallerGone(AnswerBody) => No, Unknown(Reason::CallerGone);
    caller_gone_forwarded: CallerGone(Forwarded) => No, Unknown(Reason::CallerGone);
    cancelled_queued: Cancelled(Queued) => No, NotRun(Reason::Cancelled);
    cancelled_connecting: Cancelled(Connecting) => No, NotRun(Reason::Cancelled);
    cancelled_connected: Cancelled(Connected) => No, NotRun(Reason::Cancelled);
    cancelled_head: Cancelled(Head) => No, Unknown(Reason::Cancelled);
    cancelled_body: Cancelled(Stage::Body) => No, Unknown(Reason::Cancelled);
    cancelled_sent: Cancelled(Sent) => No, Unknown(Reason::Cancelled);
    cancelled_answer_head: Cancelled(AnswerHead) => No, Unknown(Reason::Cancelled);
    cancelled_answer_body: Cancelled(AnswerBody) => No, Unknown(Reason::Cancelled);
    cancelled_forwarded: Cancelled(Forwarded) => No, Unknown(Reason::Cancelled);
    leaving_queued: Leaving(Queued) => No, NotRun(Reason::Leaving);
    leaving_connecting: Leaving(Connecting) => No, NotRun(Reason::Leaving);
    leaving_connected: Leaving(Connected) => No, NotRun(Reason::Leaving);
    leaving_head: Leaving(Head) => No, Unknown(Reason::Leaving);
    leaving_body: Leaving(Stage::Body) => No, Unknown(Reason::Leaving);
    leaving_sent: Leaving(Sent) => No, Unknown(Reason::Leaving);
    leaving_answer_head: Leaving(AnswerHead) => No, Unknown(Reason::Leaving);
    leaving_answer_body: Leaving(AnswerBody) => No, Unknown(Reason::Leaving);
    leaving_forwarded: Leaving(Forwarded) => No, Unknown(Reason::Truncated);
}

#[test]
fn table_is_complete() {
    let single = [
        ConnectRefused,
        NoLink,
        FrameNotSent,
        RelayRefused,
        RelayUnknown,
        Refused,
        Unavailable,
        ServerError,
        NotHttp,
    ];
    let staged = [
        WrongLength,
        ConnectionClosed,
        ReusedConnectionClosed,
        Timeout,
        CallerGone,
        Cancelled,
        Leaving,
    ];
    let staged = staged.iter().flat_map(|f| Stage::ALL.map(f));
    for cause in single.into_iter().chain(staged) {
        assert!(ROWS.contains(&cause), "{cause:?} has no row");
    }
}

macro_rules! reply {
    ($($name:ident: $outcome:expr => $reply:expr;)*) => {
        $(#[test] fn $name() { assert_eq!($outcome.reply(TIME_LEFT), $reply); })*
    };
}

fn local(status: u16, retry_after: Option<Duration>) -> Reply {
    Reply::Local {
        status,
        retry_after,
    }
}

reply! {
    reply_answered: Answered => Reply::Target;
    reply_crowded: NotRun(Reason::Crowded) => local(503, Some(TIME_LEFT));
    reply_timeout_not_run: NotRun(Reason::Timeout) => local(503, Some(TIME_LEFT));
    reply_bad_request: NotRun(Reason::BadRequest) => local(400, None);
    reply_unknown_service: NotRun(Reason::UnknownService) => local(404, None);
    reply_body_too_large: NotRun(Reason::BodyTooLarge) => local(413, None);
    reply_key_reused: NotRun(Reason::KeyReused) => local(422, None);
    reply_head_too_large: NotRun(Reason::HeadTooLarge) => local(431, None);
    reply_disconnected: Unknown(Reason::Disconnected) => local(502, None);
    reply_timeout: Unknown(Reason::Timeout) => local(504, None);
    reply_truncated: Unknown(Reason::Truncated) => Reply::Abort;
}

fn destination(n: u32) -> Destination {
    Destination::Target(Idx::from_raw(RawIdx::from_u32(n)))
}

fn tracker(now: Instant, repeat: Repeat) -> AttemptTracker {
    AttemptTracker::new(repeat, now + TIME_LEFT).with_max_attempts(4)
}

fn outcome(step: Step) -> Outcome {
    match step {
        Step::Done(end) => end.outcome,
        other => panic!("no outcome: {other:?}"),
    }
}

/// The outcome of an idempotent request that failed by `cause` and was then refused.
fn refused_after(cause: FailurePoint) -> Outcome {
    let now = Instant::now();
    let mut tracker = tracker(now, Repeat::Safe);
    let first = tracker.start(now, destination(0)).expect("a first attempt");
    assert_eq!(
        tracker.record_failure(now, first, cause, || true),
        Step::Retry
    );
    let second = tracker
        .start(now, destination(1))
        .expect("a second attempt");
    outcome(tracker.record_failure(now, second, Refused, || false))
}

#[test]
fn refusal_after_possible_execution_is_unknown() {
    assert_eq!(
        refused_after(ConnectionClosed(Sent)),
        Unknown(Reason::Disconnected)
    );
    assert_eq!(refused_after(Unavailable), Unknown(Reason::Unavailable));
    assert_eq!(
        refused_after(ConnectionClosed(Connected)),
        NotRun(Reason::Refused)
    );
}

#[test]
fn no_target_after_refusal_is_not_run() {
    let now = Instant::now();
    let mut tracker = tracker(now, Repeat::Never);
    let first = tracker.start(now, destination(0)).unwrap();
    assert_eq!(
        tracker.record_failure(now, first, Refused, || true),
        Step::Retry
    );
    let end = tracker
        .abandon(Reason::NoTarget, |_| unreachable!())
        .unwrap();
    assert_eq!(end.outcome, NotRun(Reason::NoTarget));
}

#[test]
fn winner_cancels_loser_and_late_answer_is_counted() {
    let now = Instant::now();
    let mut tracker = tracker(now, Repeat::Safe);
    let first = tracker.start(now, destination(0)).unwrap();
    let second = tracker.start(now, destination(1)).unwrap();
    let Step::Done(end) = tracker.record_answer(second) else {
        panic!("no outcome");
    };
    assert_eq!(end.cancel, [(first, destination(0))]);
    assert_eq!(tracker.record_answer(first), Step::Late);
    assert_eq!(tracker.late_answers(), 1);
    assert_eq!(tracker.start(now, destination(2)), Err(Error::Done));
}

#[test]
fn forwarded_answer_excludes_the_other_attempt() {
    let now = Instant::now();
    let mut tracker = tracker(now, Repeat::Safe);
    let first = tracker.start(now, destination(0)).unwrap();
    let second = tracker.start(now, destination(1)).unwrap();
    assert_eq!(
        tracker.select_winner(first),
        Some(vec![(second, destination(1))])
    );
    assert_eq!(tracker.select_winner(second), None);
    assert_eq!(
        tracker.start(now, destination(2)),
        Err(Error::AnswerForwarded)
    );
    // A failure reported with too early a stage doesn't cause a retry either.
    let step = tracker.record_failure(now, first, ConnectionClosed(AnswerBody), || true);
    assert_eq!(outcome(step), Unknown(Reason::Truncated));
}

#[test]
fn failed_attempt_waits_for_the_other() {
    let now = Instant::now();
    let mut tracker = tracker(now, Repeat::Safe);
    let first = tracker.start(now, destination(0)).unwrap();
    let second = tracker.start(now, destination(1)).unwrap();
    assert_eq!(
        tracker.record_failure(now, first, ConnectionClosed(Sent), || true),
        Step::Wait
    );
    assert_eq!(outcome(tracker.record_answer(second)), Answered);
}

#[test]
fn never_hedged_unless_idempotent() {
    let now = Instant::now();
    let mut tracker = tracker(now, Repeat::Never);
    tracker.start(now, destination(0)).unwrap();
    assert_eq!(
        tracker.start(now, destination(1)),
        Err(Error::Outstanding(1))
    );
}

#[test]
fn consumed_body_is_not_sent_again() {
    let now = Instant::now();
    let mut tracker = tracker(now, Repeat::Safe);
    tracker.start(now, destination(0)).unwrap();
    tracker.mark_body_consumed();
    assert_eq!(tracker.start(now, destination(1)), Err(Error::Consumed));
}

#[test]
fn no_attempt_past_the_deadline() {
    let now = Instant::now();
    let mut tracker = tracker(now, Repeat::Safe);
    assert_eq!(
        tracker.start(now + TIME_LEFT, destination(0)),
        Err(Error::Expired)
    );
}

#[test]
fn no_attempt_past_the_limit() {
    let now = Instant::now();
    let mut tracker = tracker(now, Repeat::Never).with_max_attempts(1);
    let first = tracker.start(now, destination(0)).unwrap();
    let step = tracker.record_failure(now, first, Refused, || unreachable!());
    assert_eq!(outcome(step), NotRun(Reason::Refused));
    let mut tracker = self::tracker(now, Repeat::Safe).with_max_attempts(1);
    tracker.start(now, destination(0)).unwrap();
    assert_eq!(
        tracker.start(now, destination(1)),
        Err(Error::AttemptsUsed(1))
    );
}

#[test]
fn abandoned_before_any_byte_is_not_run() {
    let now = Instant::now();
    let mut tracker = tracker(now, Repeat::Never);
    let first = tracker.start(now, destination(0)).unwrap();
    let end = tracker.abandon(Reason::CallerGone, |_| Connected).unwrap();
    assert_eq!(end.outcome, NotRun(Reason::CallerGone));
    assert_eq!(end.cancel, [(first, destination(0))]);
    assert_eq!(tracker.abandon(Reason::Timeout, |_| Sent), None);
}

#[derive(Clone, Debug)]
enum Event {
    Start(u32),
    Forward(usize),
    Answer(usize),
    Fail(usize, FailurePoint, bool, bool),
    Abandon,
    Advance(u64),
}

fn event() -> impl Strategy<Value = Event> {
    let cause = prop::sample::select(ROWS);
    prop_oneof![
        4 => (0..4u32).prop_map(Event::Start),
        1 => (0..4usize).prop_map(Event::Forward),
        2 => (0..4usize).prop_map(Event::Answer),
        6 => (0..4usize, cause, any::<bool>(), any::<bool>())
            .prop_map(|(n, cause, ran, budget)| Event::Fail(n, cause, ran, budget)),
        1 => Just(Event::Abandon),
        1 => (1..200u64).prop_map(Event::Advance),
    ]
}

/// Whether the request can have been executed when `cause` is reported; independent of the code under
/// test.
fn may_have_run(cause: FailurePoint) -> bool {
    match cause {
        ConnectRefused | NoLink | FrameNotSent | RelayRefused | Refused => false,
        RelayUnknown | Unavailable | ServerError | NotHttp | WrongLength(_) => true,
        ConnectionClosed(stage)
        | ReusedConnectionClosed(stage)
        | Timeout(stage)
        | CallerGone(stage)
        | Cancelled(stage)
        | Leaving(stage) => !matches!(stage, Queued | Connecting | Connected),
    }
}

proptest! {
    #![proptest_config(Config {
        cases: 4000, rng_seed: RngSeed::Fixed(7), failure_persistence: None, ..Config::default()
    })]

    /// Each request has one outcome; "not run" is correct, and a request that is not idempotent runs at most once.
    #[test]
    fn one_correct_outcome(
        safe in any::<bool>(),
        events in prop::collection::vec(event(), 1..40),
    ) {
        let mut now = Instant::now();
        let repeat = if safe { Repeat::Safe } else { Repeat::Never };
        let mut tracker = tracker(now, repeat);
        let mut running: Vec<AttemptId> = Vec::new();
        let (mut runs, mut finals) = (0, Vec::new());
        for event in events {
            let step = match event {
                Event::Start(n) => {
                    running.extend(tracker.start(now, destination(n)).ok());
                    None
                }
                Event::Forward(n) => {
                    if let Some(&key) = running.get(n) {
                        tracker.select_winner(key);
                    }
                    None
                }
                Event::Answer(n) if n < running.len() => {
                    runs += 1;
                    Some(tracker.record_answer(running.remove(n)))
                }
                Event::Fail(n, cause, ran, budget) if n < running.len() => {
                    runs += u32::from(ran && may_have_run(cause));
                    Some(tracker.record_failure(now, running.remove(n), cause, || budget))
                }
                Event::Abandon => tracker.abandon(Reason::Timeout, |_| Sent).map(Step::Done),
                Event::Advance(ms) => {
                    now += Duration::from_millis(ms);
                    None
                }
                _ => None,
            };
            if let Some(Step::Done(end)) = step {
                let possible = runs + running.len() as u32;
                prop_assert!(!matches!(end.outcome, NotRun(_)) || possible == 0);
                finals.push(end.outcome);
            }
        }
        finals.extend(tracker.abandon(Reason::Timeout, |_| Sent).map(|end| end.outcome));
        prop_assert_eq!(finals.len(), 1);
        prop_assert!(safe || runs + running.len() as u32 <= 1, "ran {} times", runs);
    }
}
