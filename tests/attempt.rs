//! Every point where a call can break, and the course of a request over random breaks.

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

const LEFT: Duration = Duration::from_millis(500);

/// Whether a request is sent again where it can be.
#[derive(Clone, Copy, PartialEq)]
enum Resend {
    /// Idempotent or not.
    Both,
    /// If idempotent.
    Safe,
    /// Never.
    No,
}

/// Checks one break for all kinds of requests: where it isn't sent again, `given` is the outcome.
fn check(cause: FailurePoint, resend: Resend, given: Outcome) {
    let give = Next::Finish(given);
    let expected = |repeats: bool| if repeats { Next::Retry } else { give };
    let safe = expected(resend != Resend::No);
    let never = expected(resend == Resend::Both);
    let next = |repeat, body| retry_or_finish(cause, repeat, body, LEFT, 1);
    assert_eq!(
        next(Repeat::Safe, Body::Replayable),
        safe,
        "idempotent, replayable"
    );
    assert_eq!(
        next(Repeat::Safe, Body::Consumed),
        give,
        "idempotent, consumed"
    );
    assert_eq!(
        next(Repeat::Never, Body::Replayable),
        never,
        "not idempotent, replayable"
    );
    assert_eq!(
        next(Repeat::Never, Body::Consumed),
        give,
        "not idempotent, consumed"
    );
    for repeat in [Repeat::Safe, Repeat::Never] {
        assert_eq!(
            retry_or_finish(cause, repeat, Body::Replayable, Duration::ZERO, 1),
            give,
            "no time"
        );
        assert_eq!(
            retry_or_finish(cause, repeat, Body::Replayable, LEFT, 0),
            give,
            "no tries"
        );
    }
}

macro_rules! case {
    ($($name:ident: $cause:expr => $resend:ident, $given:expr;)*) => {
        $(
            #[test]
            fn $name() {
                check($cause, Resend::$resend, $given);
            }
        )*

        /// Every break of the table.
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
    garbage: NotHttp => Safe, Unknown(Reason::BadAnswer);
    wrong_length_queued: WrongLength(Queued) => Safe, Unknown(Reason::BadAnswer);
    wrong_length_connecting: WrongLength(Connecting) => Safe, Unknown(Reason::BadAnswer);
    wrong_length_connected: WrongLength(Connected) => Safe, Unknown(Reason::BadAnswer);
    wrong_length_head: WrongLength(Head) => Safe, Unknown(Reason::BadAnswer);
    wrong_length_body: WrongLength(Stage::Body) => Safe, Unknown(Reason::BadAnswer);
    wrong_length_sent: WrongLength(Sent) => Safe, Unknown(Reason::BadAnswer);
    wrong_length_answer_head: WrongLength(AnswerHead) => Safe, Unknown(Reason::BadAnswer);
    wrong_length_answer_body: WrongLength(AnswerBody) => Safe, Unknown(Reason::BadAnswer);
    wrong_length_passed: WrongLength(Forwarded) => No, Unknown(Reason::Truncated);
    cut_queued: ConnectionClosed(Queued) => Both, NotRun(Reason::Disconnected);
    cut_connecting: ConnectionClosed(Connecting) => Both, NotRun(Reason::Disconnected);
    cut_connected: ConnectionClosed(Connected) => Both, NotRun(Reason::Disconnected);
    cut_head: ConnectionClosed(Head) => Safe, Unknown(Reason::Disconnected);
    cut_body: ConnectionClosed(Stage::Body) => Safe, Unknown(Reason::Disconnected);
    cut_sent: ConnectionClosed(Sent) => Safe, Unknown(Reason::Disconnected);
    cut_answer_head: ConnectionClosed(AnswerHead) => Safe, Unknown(Reason::Disconnected);
    cut_answer_body: ConnectionClosed(AnswerBody) => Safe, Unknown(Reason::Disconnected);
    cut_passed: ConnectionClosed(Forwarded) => No, Unknown(Reason::Truncated);
    stale_queued: ReusedConnectionClosed(Queued) => Both, NotRun(Reason::Disconnected);
    stale_connecting: ReusedConnectionClosed(Connecting) => Both, NotRun(Reason::Disconnected);
    stale_connected: ReusedConnectionClosed(Connected) => Both, NotRun(Reason::Disconnected);
    stale_head: ReusedConnectionClosed(Head) => Safe, Unknown(Reason::Disconnected);
    stale_body: ReusedConnectionClosed(Stage::Body) => Safe, Unknown(Reason::Disconnected);
    stale_sent: ReusedConnectionClosed(Sent) => Safe, Unknown(Reason::Disconnected);
    stale_answer_head: ReusedConnectionClosed(AnswerHead) => Safe, Unknown(Reason::Disconnected);
    stale_answer_body: ReusedConnectionClosed(AnswerBody) => Safe, Unknown(Reason::Disconnected);
    stale_passed: ReusedConnectionClosed(Forwarded) => No, Unknown(Reason::Truncated);
    timeout_queued: Timeout(Queued) => Both, NotRun(Reason::Timeout);
    timeout_connecting: Timeout(Connecting) => Both, NotRun(Reason::Timeout);
    timeout_connected: Timeout(Connected) => Both, NotRun(Reason::Timeout);
    timeout_head: Timeout(Head) => Safe, Unknown(Reason::Timeout);
    timeout_body: Timeout(Stage::Body) => Safe, Unknown(Reason::Timeout);
    timeout_sent: Timeout(Sent) => Safe, Unknown(Reason::Timeout);
    timeout_answer_head: Timeout(AnswerHead) => Safe, Unknown(Reason::Timeout);
    timeout_answer_body: Timeout(AnswerBody) => Safe, Unknown(Reason::Timeout);
    timeout_passed: Timeout(Forwarded) => No, Unknown(Reason::Truncated);
    caller_gone_queued: CallerGone(Queued) => No, NotRun(Reason::CallerGone);
    caller_gone_connecting: CallerGone(Connecting) => No, NotRun(Reason::CallerGone);
    caller_gone_connected: CallerGone(Connected) => No, NotRun(Reason::CallerGone);
    caller_gone_head: CallerGone(Head) => No, Unknown(Reason::CallerGone);
    caller_gone_body: CallerGone(Stage::Body) => No, Unknown(Reason::CallerGone);
    caller_gone_sent: CallerGone(Sent) => No, Unknown(Reason::CallerGone);
    caller_gone_answer_head: CallerGone(AnswerHead) => No, Unknown(Reason::CallerGone);
    caller_gone_answer_body: CallerGone(AnswerBody) => No, Unknown(Reason::CallerGone);
    caller_gone_passed: CallerGone(Forwarded) => No, Unknown(Reason::CallerGone);
    cancelled_queued: Cancelled(Queued) => No, NotRun(Reason::Cancelled);
    cancelled_connecting: Cancelled(Connecting) => No, NotRun(Reason::Cancelled);
    cancelled_connected: Cancelled(Connected) => No, NotRun(Reason::Cancelled);
    cancelled_head: Cancelled(Head) => No, Unknown(Reason::Cancelled);
    cancelled_body: Cancelled(Stage::Body) => No, Unknown(Reason::Cancelled);
    cancelled_sent: Cancelled(Sent) => No, Unknown(Reason::Cancelled);
    cancelled_answer_head: Cancelled(AnswerHead) => No, Unknown(Reason::Cancelled);
    cancelled_answer_body: Cancelled(AnswerBody) => No, Unknown(Reason::Cancelled);
    cancelled_passed: Cancelled(Forwarded) => No, Unknown(Reason::Cancelled);
    leaving_queued: Leaving(Queued) => No, NotRun(Reason::Leaving);
    leaving_connecting: Leaving(Connecting) => No, NotRun(Reason::Leaving);
    leaving_connected: Leaving(Connected) => No, NotRun(Reason::Leaving);
    leaving_head: Leaving(Head) => No, Unknown(Reason::Leaving);
    leaving_body: Leaving(Stage::Body) => No, Unknown(Reason::Leaving);
    leaving_sent: Leaving(Sent) => No, Unknown(Reason::Leaving);
    leaving_answer_head: Leaving(AnswerHead) => No, Unknown(Reason::Leaving);
    leaving_answer_body: Leaving(AnswerBody) => No, Unknown(Reason::Leaving);
    leaving_passed: Leaving(Forwarded) => No, Unknown(Reason::Truncated);
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
        $(#[test] fn $name() { assert_eq!($outcome.reply(LEFT), $reply); })*
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
    reply_crowded: NotRun(Reason::Crowded) => local(503, Some(LEFT));
    reply_timeout_not_run: NotRun(Reason::Timeout) => local(503, Some(LEFT));
    reply_bad_request: NotRun(Reason::BadRequest) => local(400, None);
    reply_unknown_service: NotRun(Reason::UnknownService) => local(404, None);
    reply_body_too_large: NotRun(Reason::BodyTooLarge) => local(413, None);
    reply_key_reused: NotRun(Reason::KeyReused) => local(422, None);
    reply_head_too_large: NotRun(Reason::HeadTooLarge) => local(431, None);
    reply_disconnected: Unknown(Reason::Disconnected) => local(502, None);
    reply_timeout: Unknown(Reason::Timeout) => local(504, None);
    reply_truncated: Unknown(Reason::Truncated) => Reply::Abort;
}

fn place(n: u32) -> Destination {
    Destination::Target(Idx::from_raw(RawIdx::from_u32(n)))
}

fn course(now: Instant, repeat: Repeat) -> AttemptTracker {
    AttemptTracker::new(repeat, now + LEFT).with_max_attempts(4)
}

fn outcome(step: Step) -> Outcome {
    match step {
        Step::Done(end) => end.outcome,
        other => panic!("no outcome: {other:?}"),
    }
}

/// The outcome of an idempotent request that broke for `cause` and was then refused.
fn refused_after(cause: FailurePoint) -> Outcome {
    let now = Instant::now();
    let mut course = course(now, Repeat::Safe);
    let first = course.start(now, place(0)).expect("a first try");
    assert_eq!(
        course.record_failure(now, first, cause, || true),
        Step::Retry
    );
    let second = course.start(now, place(1)).expect("a second try");
    outcome(course.record_failure(now, second, Refused, || false))
}

#[test]
fn refusal_after_doubt_is_unknown() {
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
    let mut course = course(now, Repeat::Never);
    let first = course.start(now, place(0)).unwrap();
    assert_eq!(
        course.record_failure(now, first, Refused, || true),
        Step::Retry
    );
    let end = course
        .abandon(Reason::NoTarget, |_| unreachable!())
        .unwrap();
    assert_eq!(end.outcome, NotRun(Reason::NoTarget));
}

#[test]
fn winner_cancels_loser_and_late_answer_is_counted() {
    let now = Instant::now();
    let mut course = course(now, Repeat::Safe);
    let first = course.start(now, place(0)).unwrap();
    let second = course.start(now, place(1)).unwrap();
    let Step::Done(end) = course.record_answer(second) else {
        panic!("no outcome");
    };
    assert_eq!(end.cancel, [(first, place(0))]);
    assert_eq!(course.record_answer(first), Step::Late);
    assert_eq!(course.late_answers(), 1);
    assert_eq!(course.start(now, place(2)), Err(Error::Done));
}

#[test]
fn passed_on_answer_shuts_out_the_other_copy() {
    let now = Instant::now();
    let mut course = course(now, Repeat::Safe);
    let first = course.start(now, place(0)).unwrap();
    let second = course.start(now, place(1)).unwrap();
    assert_eq!(course.select_winner(first), Some(vec![(second, place(1))]));
    assert_eq!(course.select_winner(second), None);
    assert_eq!(course.start(now, place(2)), Err(Error::AnswerForwarded));
    // Even an edge that reports too early a stage can't have it sent again.
    let step = course.record_failure(now, first, ConnectionClosed(AnswerBody), || true);
    assert_eq!(outcome(step), Unknown(Reason::Truncated));
}

#[test]
fn failed_copy_waits_for_the_other() {
    let now = Instant::now();
    let mut course = course(now, Repeat::Safe);
    let first = course.start(now, place(0)).unwrap();
    let second = course.start(now, place(1)).unwrap();
    assert_eq!(
        course.record_failure(now, first, ConnectionClosed(Sent), || true),
        Step::Wait
    );
    assert_eq!(outcome(course.record_answer(second)), Answered);
}

#[test]
fn never_hedged_unless_idempotent() {
    let now = Instant::now();
    let mut course = course(now, Repeat::Never);
    course.start(now, place(0)).unwrap();
    assert_eq!(course.start(now, place(1)), Err(Error::Outstanding(1)));
}

#[test]
fn consumed_body_is_not_sent_again() {
    let now = Instant::now();
    let mut course = course(now, Repeat::Safe);
    course.start(now, place(0)).unwrap();
    course.mark_body_consumed();
    assert_eq!(course.start(now, place(1)), Err(Error::Consumed));
}

#[test]
fn no_try_past_the_deadline() {
    let now = Instant::now();
    let mut course = course(now, Repeat::Safe);
    assert_eq!(course.start(now + LEFT, place(0)), Err(Error::Expired));
}

#[test]
fn no_try_past_the_limit() {
    let now = Instant::now();
    let mut course = course(now, Repeat::Never).with_max_attempts(1);
    let first = course.start(now, place(0)).unwrap();
    let step = course.record_failure(now, first, Refused, || unreachable!());
    assert_eq!(outcome(step), NotRun(Reason::Refused));
    let mut course = self::course(now, Repeat::Safe).with_max_attempts(1);
    course.start(now, place(0)).unwrap();
    assert_eq!(course.start(now, place(1)), Err(Error::AttemptsUsed(1)));
}

#[test]
fn given_up_before_any_byte_is_not_run() {
    let now = Instant::now();
    let mut course = course(now, Repeat::Never);
    let first = course.start(now, place(0)).unwrap();
    let end = course.abandon(Reason::CallerGone, |_| Connected).unwrap();
    assert_eq!(end.outcome, NotRun(Reason::CallerGone));
    assert_eq!(end.cancel, [(first, place(0))]);
    assert_eq!(course.abandon(Reason::Timeout, |_| Sent), None);
}

#[derive(Clone, Debug)]
enum Event {
    Start(u32),
    Pass(usize),
    Answer(usize),
    Fail(usize, FailurePoint, bool, bool),
    GiveUp,
    Advance(u64),
}

fn event() -> impl Strategy<Value = Event> {
    let cause = prop::sample::select(ROWS);
    prop_oneof![
        4 => (0..4u32).prop_map(Event::Start),
        1 => (0..4usize).prop_map(Event::Pass),
        2 => (0..4usize).prop_map(Event::Answer),
        6 => (0..4usize, cause, any::<bool>(), any::<bool>())
            .prop_map(|(n, cause, ran, budget)| Event::Fail(n, cause, ran, budget)),
        1 => Just(Event::GiveUp),
        1 => (1..200u64).prop_map(Event::Advance),
    ]
}

/// Whether the request can really have run when the edge reports `cause`: written without the
/// code under test.
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

    /// One final answer, true if it says "not run"; work that must not repeat runs at most once.
    #[test]
    fn one_true_outcome(
        safe in any::<bool>(),
        events in prop::collection::vec(event(), 1..40),
    ) {
        let mut now = Instant::now();
        let repeat = if safe { Repeat::Safe } else { Repeat::Never };
        let mut course = course(now, repeat);
        let mut running: Vec<AttemptId> = Vec::new();
        let (mut runs, mut finals) = (0, Vec::new());
        for event in events {
            let step = match event {
                Event::Start(n) => {
                    running.extend(course.start(now, place(n)).ok());
                    None
                }
                Event::Pass(n) => {
                    if let Some(&key) = running.get(n) {
                        course.select_winner(key);
                    }
                    None
                }
                Event::Answer(n) if n < running.len() => {
                    runs += 1;
                    Some(course.record_answer(running.remove(n)))
                }
                Event::Fail(n, cause, ran, budget) if n < running.len() => {
                    runs += u32::from(ran && may_have_run(cause));
                    Some(course.record_failure(now, running.remove(n), cause, || budget))
                }
                Event::GiveUp => course.abandon(Reason::Timeout, |_| Sent).map(Step::Done),
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
        finals.extend(course.abandon(Reason::Timeout, |_| Sent).map(|end| end.outcome));
        prop_assert_eq!(finals.len(), 1);
        prop_assert!(safe || runs + running.len() as u32 <= 1, "ran {} times", runs);
    }
}
