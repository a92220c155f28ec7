//! The course of one request: attempts, retries and its one outcome.
//!
//! [`judge`] holds the table of every point where a call can break. [`Course`] follows one request
//! over its tries and copies, and gives exactly one [`Outcome`].

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::time::{Duration, Instant};

use crate::catalog::{HostKey, Repeat, TargetKey};

/// Tries of one request when nothing else is said.
pub const DEFAULT_TRIES: u32 = 3;
/// Copies of one idempotent request that may be outstanding at once.
const MAX_COPIES: usize = 2;

/// What a caller is told about its request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// A target answered; the caller gets that answer.
    Answered,
    /// The request did not run anywhere.
    NotRun(Reason),
    /// The request may have run.
    Unknown(Reason),
}

/// Why a request has no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Reason {
    /// The request or one of its headers is malformed.
    BadRequest,
    /// The configuration names no such service.
    UnknownService,
    /// The body is larger than the service takes.
    BodyTooLarge,
    /// The head is larger than an entry host takes.
    HeadTooLarge,
    /// The idempotency key was used for another request.
    KeyReused,
    /// No target may take new work.
    NoTarget,
    /// A queue or table is full.
    Crowded,
    /// A quota or cap leaves no room.
    Limited,
    /// No connection to a target, or no link to a host.
    Unreachable,
    /// The target or the relaying host refused it.
    Refused,
    /// The target answered 503 and did not say whether the request ran.
    Unavailable,
    /// The time for the request or for one of its steps passed.
    Timeout,
    /// The connection or link closed.
    Disconnected,
    /// The answer was malformed or had the wrong length.
    BadAnswer,
    /// The answer broke after a part of it was passed on.
    Truncated,
    /// A relaying host could not tell whether the request ran.
    Relayed,
    /// The ticket's incarnation or generation is over.
    StaleTicket,
    /// The home of the ticket can't be reached.
    HomeUnreachable,
    /// The key ran before, and its answer isn't kept.
    NotKept,
    /// The caller hung up.
    CallerGone,
    /// Another copy of the request was answered first.
    Cancelled,
    /// This host is shutting down.
    Leaving,
    /// Requests like it crash the targets that run them.
    Quarantined,
}

/// The reply that tells the caller its outcome.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reply {
    /// The target's own status, headers and body.
    Target,
    /// An answer made by this host.
    Local {
        /// The HTTP status.
        status: u16,
        /// The value of `Retry-After`, if there is one.
        retry_after: Option<Duration>,
    },
    /// Close the caller's connection, so that a partial answer can't pass for a whole one.
    Abort,
}

impl Outcome {
    /// The value of the header `Ragwortfold-Outcome`.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Answered => "answered",
            Self::NotRun(_) => "not-run",
            Self::Unknown(_) => "unknown",
        }
    }

    /// The reason, unless the request was answered.
    pub fn reason(self) -> Option<Reason> {
        match self {
            Self::Answered => None,
            Self::NotRun(reason) | Self::Unknown(reason) => Some(reason),
        }
    }

    /// The HTTP reply. `retry_after` is for requests that may be sent again as they are.
    pub fn reply(self, retry_after: Duration) -> Reply {
        match self {
            Self::Answered => Reply::Target,
            Self::NotRun(reason) => match reason.client_error() {
                Some(status) => Reply::local(status),
                None => Reply::Local {
                    status: 503,
                    retry_after: Some(retry_after),
                },
            },
            Self::Unknown(Reason::Truncated | Reason::CallerGone) => Reply::Abort,
            Self::Unknown(Reason::Timeout) => Reply::local(504),
            Self::Unknown(_) => Reply::local(502),
        }
    }
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

impl Reply {
    fn local(status: u16) -> Self {
        Self::Local {
            status,
            retry_after: None,
        }
    }
}

impl Reason {
    /// A short label for metrics, logs and error bodies.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::BadRequest => "bad-request",
            Self::UnknownService => "unknown-service",
            Self::BodyTooLarge => "body-too-large",
            Self::HeadTooLarge => "head-too-large",
            Self::KeyReused => "key-reused",
            Self::NoTarget => "no-target",
            Self::Crowded => "crowded",
            Self::Limited => "limited",
            Self::Unreachable => "unreachable",
            Self::Refused => "refused",
            Self::Unavailable => "unavailable",
            Self::Timeout => "timeout",
            Self::Disconnected => "disconnected",
            Self::BadAnswer => "bad-answer",
            Self::Truncated => "truncated",
            Self::Relayed => "relayed",
            Self::StaleTicket => "stale-ticket",
            Self::HomeUnreachable => "home-unreachable",
            Self::NotKept => "not-kept",
            Self::CallerGone => "caller-gone",
            Self::Cancelled => "cancelled",
            Self::Leaving => "leaving",
            Self::Quarantined => "quarantined",
        }
    }

    /// The 4xx status of a request that must be changed before it is sent again.
    fn client_error(self) -> Option<u16> {
        match self {
            Self::BadRequest => Some(400),
            Self::UnknownService => Some(404),
            Self::BodyTooLarge => Some(413),
            Self::KeyReused => Some(422),
            Self::HeadTooLarge => Some(431),
            _ => None,
        }
    }
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// How far a try had come, in order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Stage {
    /// No connection was asked for.
    Queued,
    /// The connection is being opened.
    Connecting,
    /// The connection stands, and no byte of the request was handed to it.
    Connected,
    /// The request's head is partly or wholly handed over, or the first relay frame is.
    Head,
    /// The request's body is partly handed over.
    Body,
    /// The request is handed over whole, and no byte of an answer came.
    Sent,
    /// A part of the answer's head came.
    AnswerHead,
    /// A part of the answer's body came, and nothing was passed on to the caller.
    AnswerBody,
    /// A part of the answer was passed on to the caller.
    Passed,
}

impl Stage {
    /// Every stage, in order.
    pub const ALL: [Self; 9] = [
        Self::Queued,
        Self::Connecting,
        Self::Connected,
        Self::Head,
        Self::Body,
        Self::Sent,
        Self::AnswerHead,
        Self::AnswerBody,
        Self::Passed,
    ];

    fn ran(self) -> Ran {
        if self < Self::Head {
            Ran::No
        } else {
            Ran::Maybe
        }
    }
}

/// A point where a try can break.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Break {
    /// The target refused the connection, or the connect failed otherwise.
    ConnectRefused,
    /// There is no link to a host of the target's zone.
    NoLink,
    /// The first relay frame was dropped before any part of it was written.
    FrameNotSent,
    /// The relaying host refused the request as not run.
    RelayRefused,
    /// The relaying host reported an unknown outcome.
    RelayUnknown,
    /// The target answered 503 and said that the request did not run.
    Refused,
    /// The target answered 503 and did not say so.
    Unavailable,
    /// The target answered with another 5xx.
    ServerError,
    /// The answer isn't HTTP.
    Garbage,
    /// The answer's body isn't as long as its head said.
    WrongLength(Stage),
    /// A new connection, or a link with frames of the request on it, closed.
    Cut(Stage),
    /// A reused connection closed.
    Stale(Stage),
    /// The time for the stage passed.
    Timeout(Stage),
    /// The caller hung up.
    CallerGone(Stage),
    /// The try was cancelled, since another copy was answered first.
    Cancelled(Stage),
    /// This host ends before the request did.
    Leaving(Stage),
}

/// Whether the request's body can be sent once more.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Body {
    /// Empty or buffered whole.
    Replayable,
    /// Streamed, and a part of it is no longer held.
    Consumed,
}

/// What to do after a break.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Next {
    /// Send it again.
    Retry,
    /// Tell the caller.
    Give(Outcome),
}

/// What a break tells about the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Ran {
    /// It is proved not to have run.
    No,
    /// It may have run.
    Maybe,
    /// A target answered it.
    Answered,
}

/// Whether another try makes sense after a break.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Again {
    Useful,
    Useless,
}

impl Break {
    /// The table: what each break proves, whether another try is of use, and the reason given.
    fn facts(self) -> (Ran, Again, Reason) {
        use Again::{Useful, Useless};
        match self {
            Self::ConnectRefused => (Ran::No, Useful, Reason::Unreachable),
            Self::NoLink => (Ran::No, Useful, Reason::Unreachable),
            Self::FrameNotSent => (Ran::No, Useful, Reason::Unreachable),
            Self::RelayRefused => (Ran::No, Useful, Reason::Refused),
            Self::RelayUnknown => (Ran::Maybe, Useful, Reason::Relayed),
            Self::Refused => (Ran::No, Useful, Reason::Refused),
            Self::Unavailable => (Ran::Answered, Useful, Reason::Unavailable),
            Self::ServerError => (Ran::Answered, Useless, Reason::Unavailable),
            Self::Garbage => (Ran::Maybe, Useful, Reason::BadAnswer),
            // Once a byte was passed on, another answer can't take its place.
            Self::WrongLength(Stage::Passed)
            | Self::Cut(Stage::Passed)
            | Self::Stale(Stage::Passed)
            | Self::Timeout(Stage::Passed)
            | Self::Leaving(Stage::Passed) => (Ran::Maybe, Useless, Reason::Truncated),
            // A length can only be wrong in an answer, whatever the edge reports.
            Self::WrongLength(_) => (Ran::Maybe, Useful, Reason::BadAnswer),
            Self::Cut(stage) | Self::Stale(stage) => (stage.ran(), Useful, Reason::Disconnected),
            Self::Timeout(stage) => (stage.ran(), Useful, Reason::Timeout),
            Self::CallerGone(stage) => (stage.ran(), Useless, Reason::CallerGone),
            Self::Cancelled(stage) => (stage.ran(), Useless, Reason::Cancelled),
            Self::Leaving(stage) => (stage.ran(), Useless, Reason::Leaving),
        }
    }

    /// Whether the target ended the connection after a part of the request had been sent and before the answer was whole, as
    /// one does that crashes.
    pub fn is_cut_by_target(self) -> bool {
        match self {
            Self::Cut(stage) | Self::Stale(stage) => stage >= Stage::Head,
            Self::WrongLength(_) => true,
            _ => false,
        }
    }

    fn outcome(self) -> Outcome {
        match self.facts() {
            (Ran::No, _, reason) => Outcome::NotRun(reason),
            (Ran::Maybe, _, reason) => Outcome::Unknown(reason),
            (Ran::Answered, _, _) => Outcome::Answered,
        }
    }

    /// The doubt that a break leaves about a request that is sent again.
    fn doubt(self) -> Option<Reason> {
        match self.facts() {
            (Ran::No, _, _) => None,
            (Ran::Maybe | Ran::Answered, _, reason) => Some(reason),
        }
    }
}

/// What to do after a try broke, with `time_left` for the request and `tries` still allowed.
///
/// Work that must not repeat is sent again only after a proof that it did not run.
pub fn judge(cause: Break, repeat: Repeat, body: Body, time_left: Duration, tries: u32) -> Next {
    let (ran, again, _) = cause.facts();
    let possible = body == Body::Replayable && !time_left.is_zero() && tries > 0;
    let harmless = ran == Ran::No || repeat == Repeat::Safe;
    if again == Again::Useful && possible && harmless {
        return Next::Retry;
    }
    Next::Give(cause.outcome())
}

/// Key of one try of a request, in the order they were started.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Try(pub u32);

/// Where a try went.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Place {
    /// A target of this host's zone.
    Target(TargetKey),
    /// A host of another zone.
    Host(HostKey),
}

/// Why a try may not start.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The request has its outcome.
    #[error("the request has its outcome")]
    Done,
    /// The caller already gets an answer.
    #[error("an answer is being passed on")]
    Won,
    /// As many copies as allowed are outstanding.
    #[error("{0} copies are outstanding")]
    Outstanding(usize),
    /// The body can't be sent again.
    #[error("the body can't be sent again")]
    Consumed,
    /// All tries are used.
    #[error("all {0} tries are used")]
    Spent(u32),
    /// The deadline has passed.
    #[error("the deadline has passed")]
    Expired,
}

/// The end of a request. Given exactly once.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Final {
    /// What to tell the caller, at once.
    pub outcome: Outcome,
    /// Tries to cancel; nothing waits for them.
    pub cancel: Vec<(Try, Place)>,
}

/// What an event of a try leads to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Start another try.
    Retry,
    /// Another copy is outstanding.
    Wait,
    /// The request has its outcome.
    Done(Final),
    /// The event came too late and changes nothing.
    Late,
}

/// One request from its admission to its outcome.
#[derive(Clone, Debug)]
pub struct Course {
    repeat: Repeat,
    body: Body,
    deadline: Instant,
    limit: u32,
    started: u32,
    outstanding: BTreeMap<Try, Place>,
    tried: BTreeSet<Place>,
    winner: Option<Try>,
    doubt: Option<Reason>,
    outcome: Option<Outcome>,
    late: u32,
}

impl Course {
    /// A request that must be answered by `deadline`.
    pub fn new(repeat: Repeat, deadline: Instant) -> Self {
        Self {
            repeat,
            body: Body::Replayable,
            deadline,
            limit: DEFAULT_TRIES,
            started: 0,
            outstanding: BTreeMap::new(),
            tried: BTreeSet::new(),
            winner: None,
            doubt: None,
            outcome: None,
            late: 0,
        }
    }

    /// Allows at most `limit` tries, copies included.
    pub fn with_tries(mut self, limit: u32) -> Self {
        self.limit = limit;
        self
    }

    /// Notes that a part of the body is no longer held.
    pub fn consume(&mut self) {
        self.body = Body::Consumed;
    }

    /// Time left at `now`.
    pub fn left(&self, now: Instant) -> Duration {
        self.deadline.saturating_duration_since(now)
    }

    /// Tries started so far.
    pub fn tries(&self) -> u32 {
        self.started
    }

    /// Whether a try went to `place`.
    pub fn tried(&self, place: Place) -> bool {
        self.tried.contains(&place)
    }

    /// Where tries went, each place once.
    pub fn places(&self) -> impl Iterator<Item = Place> + '_ {
        self.tried.iter().copied()
    }

    /// Tries that are outstanding.
    pub fn outstanding(&self) -> impl Iterator<Item = (Try, Place)> + '_ {
        self.outstanding.iter().map(|(&key, &place)| (key, place))
    }

    /// Answers that came too late.
    pub fn late(&self) -> u32 {
        self.late
    }

    /// The outcome, once there is one.
    pub fn outcome(&self) -> Option<Outcome> {
        self.outcome
    }

    /// Starts a try, or a second copy while one is outstanding.
    pub fn start(&mut self, now: Instant, place: Place) -> Result<Try, Error> {
        self.check_start(now)?;
        let key = Try(self.started);
        self.started += 1;
        self.outstanding.insert(key, place);
        self.tried.insert(place);
        Ok(key)
    }

    fn check_start(&self, now: Instant) -> Result<(), Error> {
        if self.outcome.is_some() {
            return Err(Error::Done);
        }
        if self.winner.is_some() {
            return Err(Error::Won);
        }
        let copies = match self.repeat {
            Repeat::Safe => MAX_COPIES,
            Repeat::Never => 1,
        };
        if self.outstanding.len() >= copies {
            return Err(Error::Outstanding(self.outstanding.len()));
        }
        if self.started > 0 && self.body == Body::Consumed {
            return Err(Error::Consumed);
        }
        if self.started >= self.limit {
            return Err(Error::Spent(self.limit));
        }
        if self.left(now).is_zero() {
            return Err(Error::Expired);
        }
        Ok(())
    }

    /// Makes `key` the only try whose answer counts, since a part of it is passed on. Returns the
    /// tries to cancel, or nothing if `key` came too late: its answer must be dropped.
    pub fn pass(&mut self, key: Try) -> Option<Vec<(Try, Place)>> {
        let Some(place) = self.outstanding.remove(&key) else {
            self.late += 1;
            return None;
        };
        let cancel = self.drain();
        self.outstanding.insert(key, place);
        self.winner = Some(key);
        Some(cancel)
    }

    /// The whole answer of `key` came.
    pub fn answer(&mut self, key: Try) -> Step {
        if self.outstanding.remove(&key).is_none() {
            self.late += 1;
            return Step::Late;
        }
        self.finish(Outcome::Answered)
    }

    /// The try `key` broke. `budget` is asked once if another try would be right.
    pub fn fail(
        &mut self,
        now: Instant,
        key: Try,
        cause: Break,
        budget: impl FnOnce() -> bool,
    ) -> Step {
        if self.outstanding.remove(&key).is_none() {
            return Step::Late;
        }
        let time_left = self.left(now);
        let tries = self.limit.saturating_sub(self.started);
        let mut next = judge(cause, self.repeat, self.body, time_left, tries);
        if self.winner == Some(key) {
            return self.finish(Outcome::Unknown(Reason::Truncated));
        }
        if cause == Break::ServerError {
            return self.finish(Outcome::Answered);
        }
        if !self.outstanding.is_empty() {
            self.note(cause);
            return Step::Wait;
        }
        if next == Next::Retry && !budget() {
            next = judge(cause, self.repeat, self.body, time_left, 0);
        }
        match next {
            Next::Retry => {
                self.note(cause);
                Step::Retry
            }
            Next::Give(outcome) => self.finish(outcome),
        }
    }

    /// Ends the request for `reason` without waiting for any try.
    ///
    /// `stage` tells the furthest stage that an outstanding try can still reach: [`Stage::Sent`]
    /// unless the edge is known to be stopped before that. Returns nothing if it had ended.
    pub fn give_up(
        &mut self,
        reason: Reason,
        mut stage: impl FnMut(Try) -> Stage,
    ) -> Option<Final> {
        if self.outcome.is_some() {
            return None;
        }
        let stages: Vec<Stage> = self.outstanding.keys().map(|&key| stage(key)).collect();
        let reason = if self.winner.is_some() {
            Reason::Truncated
        } else {
            reason
        };
        let ran = self.winner.is_some() || stages.iter().any(|stage| stage.ran() == Ran::Maybe);
        let outcome = if ran {
            Outcome::Unknown(reason)
        } else {
            Outcome::NotRun(reason)
        };
        Some(self.end(outcome))
    }

    fn note(&mut self, cause: Break) {
        self.doubt = self.doubt.or(cause.doubt());
    }

    fn finish(&mut self, outcome: Outcome) -> Step {
        Step::Done(self.end(outcome))
    }

    /// Settles the outcome. "Not run" holds for the request only if it holds for all its tries.
    fn end(&mut self, outcome: Outcome) -> Final {
        let outcome = match (outcome, self.doubt) {
            (Outcome::NotRun(_), Some(doubt)) => Outcome::Unknown(doubt),
            _ => outcome,
        };
        self.outcome = Some(outcome);
        Final {
            outcome,
            cancel: self.drain(),
        }
    }

    fn drain(&mut self) -> Vec<(Try, Place)> {
        std::mem::take(&mut self.outstanding).into_iter().collect()
    }
}
