//! The course of one request on this host, from its head to its answer.

use std::io::{self, Read};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use super::background::Later;
use super::body::Body;
use super::classify::{broken, end_of, refused, to_load, to_state};
use super::core::Event;
use super::head::{self, Head, Header};
use super::idempotency;
use super::metrics::Sample;
use super::relay;
use super::reply::{self, Reply};
use super::request::Request;
use super::target::{self, Answer, Connection, Sending};
use super::Shared;
use crate::catalog::{Catalog, HostKey, RegionKey, Repeat, ServiceKey, TargetKey};
use crate::peer::stream::Incoming;
use crate::steer::attempt::{
    self, AttemptId, AttemptTracker, Completion, Destination, FailurePoint, Outcome, Reason, Stage,
    Step,
};
use crate::steer::dedupe;
use crate::steer::engine::{AttemptKind, Id, Origin, Refusal, RouteRequest, Verdict};
use crate::steer::fingerprint::Fingerprint;
use crate::steer::group;
use crate::steer::pass::{Back, Pass};
use crate::steer::throttle::Rate;

/// Answers up to this size are held whole before any of them is passed on, in bytes.
pub(crate) const HOLD_ANSWER: u64 = 8 << 20;
/// When a caller is asked to come back if nothing better is known.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// What is known of a request before it has a place in this host.
pub(crate) struct Start {
    pub(crate) id: Id,
    pub(crate) head: Head,
    pub(crate) body: Body,
    pub(crate) catalog: Arc<Catalog>,
    pub(crate) service: ServiceKey,
    pub(crate) locality: RegionKey,
    pub(crate) block: u64,
    pub(crate) origin: Origin,
    pub(crate) arrived: Instant,
    pub(crate) deadline: Instant,
    /// What stays the same when the request comes again.
    pub(crate) fingerprint: Fingerprint,
}

/// A request on its way.
pub(crate) struct Call {
    pub(crate) start: Start,
    course: Mutex<AttemptTracker>,
    sender: Mutex<Option<Sender>>,
    answered: AtomicBool,
    /// Whether its sender broke off the body that was passed on.
    cut: AtomicBool,
    timing: Mutex<Timing>,
    key: Mutex<Option<dedupe::Run>>,
    /// The answer of a target that was unavailable, should no other try do better.
    fallback: Mutex<Option<Reply>>,
}

/// Where the answer goes, and where the rest of the body comes from.
pub(crate) enum Sender {
    /// A caller.
    Caller(Request),
    /// Another entry host.
    Host(Incoming),
}

/// Where the time went.
#[derive(Clone, Copy, Debug, Default)]
struct Timing {
    waited: Duration,
    elsewhere: Duration,
}

impl Call {
    pub(crate) fn new(start: Start, sender: Sender) -> Self {
        let repeat = start.catalog.service(start.service).repeat;
        Self {
            course: Mutex::new(AttemptTracker::new(repeat, start.deadline)),
            sender: Mutex::new(Some(sender)),
            answered: AtomicBool::new(false),
            cut: AtomicBool::new(false),
            timing: Mutex::default(),
            key: Mutex::default(),
            fallback: Mutex::default(),
            start,
        }
    }

    /// Notes that this request runs an idempotency key, whose end must be told.
    pub(crate) fn with_key(self, run: dedupe::Run) -> Self {
        *lock(&self.key) = Some(run);
        self
    }

    /// Whether the request has its answer.
    pub(crate) fn is_answered(&self) -> bool {
        self.answered.load(Ordering::Relaxed)
    }

    fn repeat(&self) -> Repeat {
        self.start.catalog.service(self.start.service).repeat
    }

    pub(crate) fn course(&self) -> MutexGuard<'_, AttemptTracker> {
        lock(&self.course)
    }

    /// Carries the request until it has its answer, or leaves it to another copy.
    pub(crate) fn run(self: &Arc<Self>, shared: &Arc<Shared>) {
        let mut kind = AttemptKind::First;
        loop {
            let asked = Instant::now();
            let verdict = shared.core.ask(self.ask(kind));
            lock(&self.timing).waited += asked.elapsed();
            let step = match verdict {
                Verdict::Refused(refusal) => return self.refuse(shared, refusal),
                Verdict::Host(pass) => self.try_host(shared, pass),
                Verdict::Target { grant, hedge } => {
                    self.plan_hedge(shared, hedge);
                    self.try_target(shared, grant)
                }
            };
            match step {
                Step::Retry => kind = AttemptKind::Retry,
                Step::Done(_) | Step::Wait | Step::Late => return,
            }
        }
    }

    /// Sends the second copy that the core granted.
    pub(crate) fn hedge(self: &Arc<Self>, shared: &Arc<Shared>, grant: group::Grant) {
        if self.try_target(shared, grant) == Step::Retry {
            self.run(shared);
        }
    }

    fn plan_hedge(self: &Arc<Self>, shared: &Shared, after: Option<Duration>) {
        let whole = matches!(self.start.body, Body::Whole(_));
        if let Some(after) = after.filter(|_| whole) {
            shared.core.send(Event::Hedge(Arc::downgrade(self), after));
        }
    }

    /// Ends the request should the host that relays it give it up.
    pub(crate) fn watch(self: &Arc<Self>, shared: &Arc<Shared>) {
        if let Some(Sender::Host(incoming)) = lock(&self.sender).as_ref() {
            let call = Arc::downgrade(self);
            let shared = Arc::downgrade(shared);
            incoming.on_cancel(move || {
                if let (Some(call), Some(shared)) = (call.upgrade(), shared.upgrade()) {
                    shared.later(Later::Abandon(call));
                }
            });
        }
    }

    /// What the core is asked.
    pub(crate) fn ask(&self, kind: AttemptKind) -> RouteRequest {
        let mut targets = Vec::new();
        let mut hosts = Vec::new();
        for place in self.course().tried_destinations() {
            match place {
                Destination::Target(target) => targets.push(target),
                Destination::Host(host) => hosts.push(host),
            }
        }
        let start = &self.start;
        RouteRequest {
            id: start.id,
            kind,
            origin: start.origin,
            service: start.service,
            locality: start.locality,
            block: start.block,
            bytes: start.head.length.unwrap_or_default(),
            deadline: start.deadline,
            targets,
            hosts,
            fingerprint: start.fingerprint,
        }
    }

    /// Ends the request without another try.
    fn refuse(&self, shared: &Shared, refusal: Refusal) {
        shared
            .metrics
            .refusal(&self.start.head.service, refusal.reason.as_str());
        let end = self.course().abandon(refusal.reason, |_| Stage::Sent);
        let Some(mut end) = end else { return };
        let fallback = lock(&self.fallback).take();
        if fallback.is_some() && end.outcome == Outcome::Unknown(Reason::Unavailable) {
            end.outcome = Outcome::Answered;
        }
        self.give(shared, &end, refusal.retry_after, fallback);
    }

    /// One try at one target.
    fn try_target(&self, shared: &Shared, grant: group::Grant) -> Step {
        let target = grant.target();
        let started = Instant::now();
        let key = match self.course().start(started, Destination::Target(target)) {
            Ok(key) => key,
            Err(error) => {
                spdlog::debug!("call: no further try: {error}");
                shared
                    .core
                    .send(Event::Finish(grant, group::Report::unused()));
                return Step::Late;
            }
        };
        let result = self.call_target(shared, target);
        let latency = started.elapsed();
        lock(&self.timing).elsewhere += latency;
        match result {
            Ok(answer) => {
                // What refuses a request may leave out what other answers say.
                if !answer.refused || answer.rate != Rate::Absent {
                    shared.core.send_rate(target, started, &answer.rate);
                }
                self.take_answer(shared, key, grant, answer, started)
            }
            Err(error) => {
                let cause = broken(&error);
                let report = group::Report {
                    end: end_of(cause),
                    latency,
                    load: None,
                    state: None,
                };
                self.judge(shared, target, cause, started);
                shared.core.send(Event::Finish(grant, report));
                spdlog::debug!("call: {} at {}: {error}", self.start.id, self.name(target));
                self.fail(shared, key, cause, RETRY_AFTER, None)
            }
        }
    }

    fn name(&self, target: TargetKey) -> &str {
        &self.start.catalog.target(target).name
    }

    fn call_target(&self, shared: &Shared, target: TargetKey) -> Result<Answer, target::Error> {
        let id = shared.request_id(self.start.id);
        let head = &self.start.head;
        let ask = target::Ask {
            address: self.start.catalog.target(target).address,
            id: &id,
            method: &head.method,
            path: &head.path,
            headers: &head.headers,
            deadline: self.course().time_left(Instant::now()),
            connection: match self.repeat() {
                Repeat::Safe => Connection::Pooled,
                Repeat::Never => Connection::Fresh,
            },
        };
        self.with_body(|sending| shared.targets.call(&ask, sending))
    }

    /// Gives the body to `send`, and notes whether it can be sent again.
    fn with_body<T>(&self, send: impl FnOnce(Sending<'_, '_>) -> T) -> T {
        let part = match &self.start.body {
            Body::Whole(bytes) => return send(Sending::Whole(bytes)),
            Body::Part(part) => part,
        };
        let mut sender = lock(&self.sender);
        let mut rest: Box<dyn Read + '_> = match sender.as_mut() {
            Some(Sender::Caller(request)) => Box::new(request.as_reader()),
            Some(Sender::Host(incoming)) => Box::new(relay::Reader(incoming)),
            None => Box::new(io::empty()),
        };
        let mut stream = part.stream(&mut *rest);
        let result = send(Sending::Stream(&mut stream));
        if stream.is_consumed() {
            self.course().mark_body_consumed();
        }
        if stream.has_failed() {
            self.cut.store(true, Ordering::Relaxed);
        }
        result
    }

    /// One try at an entry host of another zone.
    fn try_host(&self, shared: &Shared, pass: Pass) -> Step {
        let started = Instant::now();
        let key = match self.course().start(started, Destination::Host(pass.host)) {
            Ok(key) => key,
            Err(error) => {
                spdlog::debug!("call: no further try: {error}");
                shared.core.send(Event::Passed(pass, Back::All));
                return Step::Late;
            }
        };
        let (result, bytes) = self.call_host(shared, pass.host, relay::Purpose::Place);
        lock(&self.timing).elsewhere += started.elapsed();
        let back = match &result {
            Err(relay::Failure { cause, .. }) if relay::is_unsent(*cause) => Back::All,
            _ => Back::Nothing { bytes },
        };
        shared.core.send(Event::Passed(pass, back));
        self.settle_host(shared, key, result)
    }

    fn settle_host(
        &self,
        shared: &Shared,
        key: AttemptId,
        result: Result<relay::Answer, relay::Failure>,
    ) -> Step {
        match result {
            Ok(relay::Answer::Whole(reply)) => {
                let step = self.course().record_answer(key);
                self.conclude(shared, step, RETRY_AFTER, Some(reply))
            }
            Ok(relay::Answer::Stream(reply)) => {
                let Some(cancel) = self.course().select_winner(key) else {
                    shared.metrics.late();
                    return Step::Late;
                };
                self.cancel(shared, &cancel);
                let step = self.course().record_answer(key);
                self.conclude(shared, step, RETRY_AFTER, Some(reply))
            }
            Err(failure) => self.fail(shared, key, failure.cause, failure.retry_after, None),
        }
    }

    /// Sends the request to a host. Tells how many bytes of bodies went either way.
    fn call_host(
        &self,
        shared: &Shared,
        host: HostKey,
        purpose: relay::Purpose,
    ) -> (Result<relay::Answer, relay::Failure>, u64) {
        let name = &self.start.catalog.host(host).name;
        let left = self.course().time_left(Instant::now());
        let id = shared.request_id(self.start.id);
        let open = relay::open(&self.start, &id, left, purpose);
        self.with_body(|sending| relay::call(&shared.mesh, name, &open, sending))
    }

    /// Lets the home host of the request's ticket run it.
    pub(crate) fn run_at_home(&self, shared: &Shared, host: HostKey) {
        let Ok(key) = self.course().start(Instant::now(), Destination::Host(host)) else {
            return;
        };
        let started = Instant::now();
        let (result, _) = self.call_host(shared, host, relay::Purpose::Home);
        lock(&self.timing).elsewhere += started.elapsed();
        // That this host did not reach the home proves nothing of an earlier copy of the request.
        let result = result.map_err(|failure| match failure.cause {
            cause if relay::is_unsent(cause) => relay::Failure {
                cause: FailurePoint::RelayUnknown,
                retry_after: failure.retry_after,
            },
            _ => failure,
        });
        if self.settle_host(shared, key, result) == Step::Retry {
            self.refuse(shared, Refusal::new(Reason::HomeUnreachable));
        }
    }

    /// Takes an answer whose head came: holds it whole if it is small, else passes it on.
    fn take_answer(
        &self,
        shared: &Shared,
        key: AttemptId,
        grant: group::Grant,
        mut answer: Answer,
        started: Instant,
    ) -> Step {
        let large = answer.length.is_some_and(|length| length > HOLD_ANSWER);
        if large && &*self.start.head.method != "HEAD" {
            return self.pass_answer(shared, key, grant, answer, started);
        }
        let held = hold(&mut answer, &self.start.head.method);
        let cause = match &held {
            Err(cause) => Some(*cause),
            Ok(_) => refused(&answer),
        };
        let end = match cause {
            None => group::End::Answered,
            Some(cause) => end_of(cause),
        };
        match cause {
            None => shared.core.send(Event::Answered(self.start.fingerprint)),
            Some(cause) => self.judge(shared, grant.target(), cause, started),
        }
        finish(shared, grant, end, &answer, started);
        match (held, cause) {
            (Ok(body), None) => {
                let step = self.course().record_answer(key);
                self.conclude(shared, step, RETRY_AFTER, Some(to_reply(answer, body)))
            }
            (Ok(body), Some(cause)) => {
                let reply = to_reply(answer, body);
                self.fail(shared, key, cause, RETRY_AFTER, Some(reply))
            }
            (Err(cause), _) => self.fail(shared, key, cause, RETRY_AFTER, None),
        }
    }

    /// Passes a large answer on as it comes.
    fn pass_answer(
        &self,
        shared: &Shared,
        key: AttemptId,
        grant: group::Grant,
        mut answer: Answer,
        started: Instant,
    ) -> Step {
        let Some(cancel) = self.course().select_winner(key) else {
            finish(shared, grant, group::End::Cancelled, &answer, started);
            shared.metrics.late();
            return Step::Late;
        };
        self.cancel(shared, &cancel);
        let length = answer.length.unwrap_or_default();
        let body = std::mem::replace(&mut answer.reader, Box::new(io::empty()));
        let broke = Arc::new(AtomicBool::new(false));
        let body = Box::new(Noted {
            reader: body,
            broke: broke.clone(),
        });
        let load = (answer.load, answer.state.clone());
        let reply = to_reply(answer, reply::Body::Stream(body, length));
        let step = self.course().record_answer(key);
        let step = self.conclude(shared, step, RETRY_AFTER, Some(reply));
        let fingerprint = self.start.fingerprint;
        let end = if broke.load(Ordering::Relaxed) {
            shared
                .core
                .send(Event::Broke(fingerprint, grant.target(), started));
            group::End::Broken
        } else {
            shared.core.send(Event::Answered(fingerprint));
            group::End::Answered
        };
        let report = group::Report {
            end,
            latency: started.elapsed(),
            load: load.0.map(to_load),
            state: load.1.as_deref().and_then(to_state),
        };
        shared.core.send(Event::Finish(grant, report));
        step
    }

    /// Tells the core of a try that a target broke off, which may have crashed by it.
    fn judge(&self, shared: &Shared, target: TargetKey, cause: FailurePoint, begun: Instant) {
        if cause.is_cut_by_target() && !self.cut.load(Ordering::Relaxed) {
            let fingerprint = self.start.fingerprint;
            shared.core.send(Event::Broke(fingerprint, target, begun));
        }
    }

    fn fail(
        &self,
        shared: &Shared,
        key: AttemptId,
        cause: FailurePoint,
        retry_after: Duration,
        last: Option<Reply>,
    ) -> Step {
        // Whether there is budget for another try is asked of the core with the try itself.
        let step = self
            .course()
            .record_failure(Instant::now(), key, cause, || true);
        self.conclude(shared, step, retry_after, last)
    }

    /// Answers the caller if the request has its outcome.
    fn conclude(
        &self,
        shared: &Shared,
        step: Step,
        retry_after: Duration,
        reply: Option<Reply>,
    ) -> Step {
        match &step {
            Step::Done(end) => self.give(shared, end, retry_after, reply),
            Step::Late => shared.metrics.late(),
            Step::Retry => *lock(&self.fallback) = reply,
            Step::Wait => {}
        }
        step
    }

    /// Ends the request: nobody waits for it any more.
    pub(crate) fn abandon(&self, shared: &Shared) {
        let end = self.course().abandon(Reason::CallerGone, |_| Stage::Sent);
        if let Some(end) = end {
            self.give(shared, &end, RETRY_AFTER, None);
        }
    }

    /// Gives the one answer.
    fn give(
        &self,
        shared: &Shared,
        end: &Completion,
        retry_after: Duration,
        answer: Option<Reply>,
    ) {
        self.cancel(shared, &end.cancel);
        if self.answered.swap(true, Ordering::Relaxed) {
            return;
        }
        shared.core.send(Event::Done(self.start.id));
        let outcome = end.outcome;
        let reply = answer.filter(|_| outcome == Outcome::Answered);
        if let Some(run) = lock(&self.key).take() {
            shared
                .core
                .send(Event::End(run, idempotency::end(outcome, reply.as_ref())));
        }
        self.record(shared, outcome);
        match lock(&self.sender).take() {
            Some(Sender::Caller(request)) => {
                to_caller(outcome, retry_after, reply).send(request);
            }
            Some(Sender::Host(incoming)) => relay::reply(incoming, outcome, retry_after, reply),
            None => {}
        }
    }

    fn cancel(&self, shared: &Shared, tries: &[(AttemptId, Destination)]) {
        for (_, place) in tries {
            if let Destination::Target(target) = place {
                let address = self.start.catalog.target(*target).address;
                shared.cancel(address, shared.request_id(self.start.id));
            }
        }
    }

    fn record(&self, shared: &Shared, outcome: Outcome) {
        let total = self.start.arrived.elapsed();
        let timing = *lock(&self.timing);
        shared.metrics.request(&Sample {
            service: &self.start.head.service,
            class: &self.start.catalog.service(self.start.service).class,
            outcome: outcome.as_str(),
            total,
            added: total.saturating_sub(timing.elsewhere),
            waited: timing.waited,
            attempts: self.course().attempts_started(),
        });
    }
}

/// Locks, also after a thread that held the lock panicked: the data stay whole.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// A reader that notes when its source fails.
struct Noted {
    reader: Box<dyn Read + Send>,
    broke: Arc<AtomicBool>,
}

impl Read for Noted {
    fn read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        self.reader.read(buffer).inspect_err(|_| {
            self.broke.store(true, Ordering::Relaxed);
        })
    }
}

/// The answer to a caller: the target's, or one of this host's own.
pub(crate) fn to_caller(outcome: Outcome, retry_after: Duration, reply: Option<Reply>) -> Reply {
    if let Some(mut reply) = reply {
        reply.add(head::OUTCOME, outcome.as_str());
        return reply;
    }
    let reason = outcome.reason().map_or("", Reason::as_str);
    match (outcome, outcome.reply(retry_after)) {
        (
            Outcome::NotRun(_),
            attempt::Reply::Local {
                status,
                retry_after,
            },
        ) => Reply::not_run(status, reason, retry_after),
        (_, attempt::Reply::Local { status, .. }) => Reply::unknown(status, reason),
        _ => Reply::unknown(502, reason),
    }
}

fn finish(
    shared: &Shared,
    grant: group::Grant,
    end: group::End,
    answer: &Answer,
    started: Instant,
) {
    let report = group::Report {
        end,
        latency: started.elapsed(),
        load: answer.load.map(to_load),
        state: answer.state.as_deref().and_then(to_state),
    };
    shared.core.send(Event::Finish(grant, report));
}

/// Reads an answer's body whole.
fn hold(answer: &mut Answer, method: &str) -> Result<reply::Body, FailurePoint> {
    if method == "HEAD" {
        return Ok(reply::Body::Length(answer.length.unwrap_or_default()));
    }
    let mut bytes = Vec::new();
    let limit = HOLD_ANSWER + 1;
    let result = answer.reader.by_ref().take(limit).read_to_end(&mut bytes);
    if result.is_err() {
        return Err(FailurePoint::ConnectionClosed(Stage::AnswerBody));
    }
    let count = bytes.len() as u64;
    if answer.length.is_some_and(|length| length != count) || count == limit {
        return Err(FailurePoint::WrongLength(Stage::AnswerBody));
    }
    Ok(reply::Body::Whole(bytes.into()))
}

fn to_reply(answer: Answer, body: reply::Body) -> Reply {
    let headers: Vec<Header> = answer.headers;
    Reply {
        status: answer.status,
        headers,
        body,
    }
}
