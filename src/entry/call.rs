//! Handles one request on this host, from its head to its answer: each attempt, hedges and the reply.

use std::io::{self, Read};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use super::background::BackgroundTask;
use super::body::{read_up_to, Body};
use super::classify::{end_of, failure_of_error, failure_of_status, to_load, to_state};
use super::core::Event;
use super::head::{self, Head, Header};
use super::idempotency;
use super::metrics::RequestSample;
use super::relay;
use super::reply::{self, Reply};
use super::request::Request;
use super::target::{self, Answer, Connection, RequestBody};
use super::Shared;
use crate::budget::{Account, Charge};
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
use crate::steer::relay_permit::{PermitUsage, RelayPermit};
use crate::steer::throttle::Rate;

/// Answers up to this size are buffered whole before any byte is forwarded; larger ones are streamed.
pub(crate) const MAX_BUFFERED_ANSWER_BYTES: u64 = 8 << 20;
/// Time in which an upload that is given up returns its slot.
const SLOT_PAUSE: Duration = Duration::from_millis(20);
/// `Retry-After` for a caller if no host gave a better time.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);

/// A checked request: its head, body, service, locality and deadline.
pub(crate) struct RequestContext {
    pub(crate) id: Id,
    pub(crate) head: Head,
    pub(crate) body: Body,
    /// What is held for the request is charged to it.
    pub(crate) account: Account,
    /// What the connections to targets hold that it uses.
    pub(crate) _connections: Charge,
    pub(crate) catalog: Arc<Catalog>,
    pub(crate) service: ServiceKey,
    pub(crate) locality: RegionKey,
    pub(crate) block: u64,
    pub(crate) origin: Origin,
    pub(crate) arrived: Instant,
    pub(crate) deadline: Instant,
    /// Hash of the content that stays equal when the caller resends the request.
    pub(crate) fingerprint: Fingerprint,
}

/// A request in progress, with its attempts and the connection that waits for its reply.
pub(crate) struct Call {
    pub(crate) context: RequestContext,
    tracker: Mutex<AttemptTracker>,
    requester: Mutex<Option<Requester>>,
    answered: AtomicBool,
    /// Set if the requester broke off the body while it was streamed to a target or host.
    body_broken_off: AtomicBool,
    timing: Mutex<Timing>,
    key_run: Mutex<Option<dedupe::RunPermit>>,
    /// The error answer of an unavailable target, sent if no further attempt succeeds.
    fallback: Mutex<Option<Reply>>,
}

/// The connection that receives the reply and supplies the rest of the body.
pub(crate) enum Requester {
    /// A caller.
    Caller(Request),
    /// Another entry host.
    Host(Incoming),
}

/// Time spent waiting for verdicts of the core, and on attempts at targets and other hosts.
#[derive(Clone, Copy, Debug, Default)]
struct Timing {
    queued: Duration,
    in_attempts: Duration,
}

impl Call {
    pub(crate) fn new(context: RequestContext, requester: Requester) -> Self {
        let repeat = context.catalog.service(context.service).repeat;
        Self {
            tracker: Mutex::new(AttemptTracker::new(repeat, context.deadline)),
            requester: Mutex::new(Some(requester)),
            answered: AtomicBool::new(false),
            body_broken_off: AtomicBool::new(false),
            timing: Mutex::default(),
            key_run: Mutex::default(),
            fallback: Mutex::default(),
            context,
        }
    }

    /// Attaches the run of an idempotency key, whose result is reported to the core when the request ends.
    pub(crate) fn with_key_run(self, run: dedupe::RunPermit) -> Self {
        *lock(&self.key_run) = Some(run);
        self
    }

    /// Whether the reply has been sent.
    pub(crate) fn is_answered(&self) -> bool {
        self.answered.load(Ordering::Relaxed)
    }

    fn repeat(&self) -> Repeat {
        self.context.catalog.service(self.context.service).repeat
    }

    pub(crate) fn tracker(&self) -> MutexGuard<'_, AttemptTracker> {
        lock(&self.tracker)
    }

    /// Makes attempts until the request is answered or another attempt of it is still in progress.
    pub(crate) fn run(self: &Arc<Self>, shared: &Arc<Shared>) {
        let mut kind = AttemptKind::First;
        loop {
            let requested = Instant::now();
            let verdict = shared.core.route(self.route_request(kind));
            lock(&self.timing).queued += requested.elapsed();
            if self.has_caller_left() {
                return_unused(shared, verdict);
                return self.refuse(shared, Refusal::new(Reason::CallerGone));
            }
            let step = match verdict {
                Verdict::Refused(refusal)
                    if refusal.reason == Reason::Crowded
                        && shared.uploads.give_up_one(&self.context.head.service) =>
                {
                    thread::sleep(SLOT_PAUSE);
                    continue;
                }
                Verdict::Refused(refusal) => return self.refuse(shared, refusal),
                Verdict::Host(permit) => self.try_host(shared, permit),
                Verdict::Target { grant, hedge } => {
                    self.schedule_hedge(shared, hedge);
                    self.try_target(shared, grant)
                }
            };
            match step {
                Step::Retry => kind = AttemptKind::Retry,
                Step::Done(_) | Step::Wait | Step::Late => return,
            }
        }
    }

    fn has_caller_left(&self) -> bool {
        match lock(&self.requester).as_ref() {
            Some(Requester::Caller(request)) => request.has_caller_left(),
            // A host cancels the requests that it has relayed.
            Some(Requester::Host(_)) | None => false,
        }
    }

    /// Runs the hedge that the core granted; falls usage to retries if it fails.
    pub(crate) fn run_hedge(self: &Arc<Self>, shared: &Arc<Shared>, grant: group::Grant) {
        if self.try_target(shared, grant) == Step::Retry {
            self.run(shared);
        }
    }

    fn schedule_hedge(self: &Arc<Self>, shared: &Shared, after: Option<Duration>) {
        let is_buffered = matches!(self.context.body, Body::Whole(_));
        if let Some(after) = after.filter(|_| is_buffered) {
            shared.core.send(Event::Hedge(Arc::downgrade(self), after));
        }
    }

    /// Abandons the request if the host that relayed it cancels it.
    pub(crate) fn abandon_on_cancel(self: &Arc<Self>, shared: &Arc<Shared>) {
        if let Some(Requester::Host(incoming)) = lock(&self.requester).as_ref() {
            let call = Arc::downgrade(self);
            let shared = Arc::downgrade(shared);
            incoming.on_cancel(move || {
                if let (Some(call), Some(shared)) = (call.upgrade(), shared.upgrade()) {
                    shared.run_in_background(BackgroundTask::Abandon(call));
                }
            });
        }
    }

    /// Builds the routing request for the core, which excludes destinations already tried.
    pub(crate) fn route_request(&self, kind: AttemptKind) -> RouteRequest {
        let mut targets = Vec::new();
        let mut hosts = Vec::new();
        for destination in self.tracker().tried_destinations() {
            match destination {
                Destination::Target(target) => targets.push(target),
                Destination::Host(host) => hosts.push(host),
            }
        }
        let context = &self.context;
        RouteRequest {
            id: context.id,
            kind,
            origin: context.origin,
            service: context.service,
            locality: context.locality,
            block: context.block,
            bytes: context.head.length.unwrap_or_default(),
            deadline: context.deadline,
            targets,
            hosts,
            fingerprint: context.fingerprint,
        }
    }

    /// Ends the request without another attempt.
    fn refuse(&self, shared: &Shared, refusal: Refusal) {
        shared
            .metrics
            .count_refusal(&self.context.head.service, refusal.reason.as_str());
        let end = self.tracker().abandon(refusal.reason, |_| Stage::Sent);
        let Some(mut end) = end else { return };
        let fallback = lock(&self.fallback).take();
        if fallback.is_some() && end.outcome == Outcome::Unknown(Reason::Unavailable) {
            end.outcome = Outcome::Answered;
        }
        self.send_reply(shared, &end, refusal.retry_after, fallback);
    }

    /// Makes one attempt at one target.
    fn try_target(&self, shared: &Shared, grant: group::Grant) -> Step {
        let target = grant.target();
        let started = Instant::now();
        let attempt_id = match self.tracker().start(started, Destination::Target(target)) {
            Ok(attempt_id) => attempt_id,
            Err(error) => {
                spdlog::debug!("call: no further try: {error}");
                shared
                    .core
                    .send(Event::TargetFinished(grant, group::Report::unused()));
                return Step::Late;
            }
        };
        let result = self.call_target(shared, target);
        let latency = started.elapsed();
        lock(&self.timing).in_attempts += latency;
        match result {
            Ok(answer) => {
                // A refusal may come without the rate header, which does not mean that the target has no limit any more.
                if !answer.refused || answer.rate != Rate::Absent {
                    shared.core.send_rate(target, started, &answer.rate);
                }
                shared.core.send_rest(target, &answer.rest);
                self.handle_answer(shared, attempt_id, grant, answer, started)
            }
            Err(error) => {
                let cause = failure_of_error(&error);
                let report = group::Report {
                    end: end_of(cause),
                    latency,
                    load: None,
                    state: None,
                };
                self.report_broken_attempt(shared, target, cause, started);
                shared.core.send(Event::TargetFinished(grant, report));
                spdlog::debug!(
                    "call: {} at {}: {error}",
                    self.context.id,
                    self.target_name(target)
                );
                self.handle_failure(shared, attempt_id, cause, DEFAULT_RETRY_AFTER, None)
            }
        }
    }

    fn target_name(&self, target: TargetKey) -> &str {
        &self.context.catalog.target(target).name
    }

    fn call_target(&self, shared: &Shared, target: TargetKey) -> Result<Answer, target::Error> {
        let id = shared.request_id(self.context.id);
        let head = &self.context.head;
        let request = target::TargetRequest {
            address: self.context.catalog.target(target).address,
            id: &id,
            method: &head.method,
            path: &head.path,
            headers: &head.headers,
            deadline: self.tracker().time_left(Instant::now()),
            connection: match self.repeat() {
                Repeat::Safe => Connection::Pooled,
                Repeat::Never => Connection::Fresh,
            },
        };
        self.send_body(|body| shared.targets.call(&request, body))
    }

    /// Passes the body to `send` and records whether it can be sent again.
    fn send_body<T>(&self, send: impl FnOnce(RequestBody<'_, '_>) -> T) -> T {
        let part = match &self.context.body {
            Body::Whole(bytes) => return send(RequestBody::Whole(bytes)),
            Body::Partial(part) => part,
        };
        let mut requester = lock(&self.requester);
        let mut rest: Box<dyn Read + '_> = match requester.as_mut() {
            Some(Requester::Caller(request)) => Box::new(request.as_reader()),
            Some(Requester::Host(incoming)) => Box::new(relay::RequestReader(incoming)),
            None => Box::new(io::empty()),
        };
        let mut stream = part.stream(&mut *rest);
        let result = send(RequestBody::Stream(&mut stream));
        if stream.is_consumed() {
            self.tracker().mark_body_consumed();
        }
        if stream.has_failed() {
            self.body_broken_off.store(true, Ordering::Relaxed);
        }
        result
    }

    /// Makes one attempt through another entry host.
    fn try_host(&self, shared: &Shared, permit: RelayPermit) -> Step {
        let started = Instant::now();
        let attempt_id = match self
            .tracker()
            .start(started, Destination::Host(permit.host))
        {
            Ok(attempt_id) => attempt_id,
            Err(error) => {
                spdlog::debug!("call: no further try: {error}");
                shared
                    .core
                    .send(Event::RelayFinished(permit, PermitUsage::Unused));
                return Step::Late;
            }
        };
        let (result, bytes) = self.call_host(shared, permit.host, relay::Purpose::Dispatch);
        lock(&self.timing).in_attempts += started.elapsed();
        let usage = match &result {
            Err(relay::Failure { cause, .. }) if relay::is_not_sent(*cause) => PermitUsage::Unused,
            _ => PermitUsage::Used { bytes },
        };
        if let Err(relay::Failure {
            cause: FailurePoint::RelayRefused,
            ..
        }) = &result
        {
            shared.core.send(Event::RelayRefused(permit.host));
        }
        shared.core.send(Event::RelayFinished(permit, usage));
        self.handle_host_result(shared, attempt_id, result)
    }

    fn handle_host_result(
        &self,
        shared: &Shared,
        attempt_id: AttemptId,
        result: Result<relay::Answer, relay::Failure>,
    ) -> Step {
        match result {
            Ok(relay::Answer::Whole(reply)) => {
                let step = self.tracker().record_answer(attempt_id);
                self.finish_attempt(shared, step, DEFAULT_RETRY_AFTER, Some(reply))
            }
            Ok(relay::Answer::Stream(reply)) => {
                let Some(cancel) = self.tracker().select_winner(attempt_id) else {
                    shared.metrics.count_late_answer();
                    return Step::Late;
                };
                self.cancel_attempts(shared, &cancel);
                let step = self.tracker().record_answer(attempt_id);
                self.finish_attempt(shared, step, DEFAULT_RETRY_AFTER, Some(reply))
            }
            Err(failure) => {
                self.handle_failure(shared, attempt_id, failure.cause, failure.retry_after, None)
            }
        }
    }

    /// Sends the request to a host. Returns its answer and the body bytes sent and received.
    fn call_host(
        &self,
        shared: &Shared,
        host: HostKey,
        purpose: relay::Purpose,
    ) -> (Result<relay::Answer, relay::Failure>, u64) {
        let name = &self.context.catalog.host(host).name;
        let time_left = self.tracker().time_left(Instant::now());
        let id = shared.request_id(self.context.id);
        let open = relay::to_open(&self.context, &id, time_left, purpose);
        let account = &self.context.account;
        self.send_body(|body| relay::call(&shared.mesh, name, &open, body, account))
    }

    /// Relays the request to the home host of its ticket, the only one that may run it.
    pub(crate) fn run_at_home(&self, shared: &Shared, host: HostKey) {
        let Ok(attempt_id) = self
            .tracker()
            .start(Instant::now(), Destination::Host(host))
        else {
            return;
        };
        let started = Instant::now();
        let result = if self.has_caller_left() {
            Err(relay::Failure {
                cause: FailurePoint::CallerGone(Stage::Sent),
                retry_after: DEFAULT_RETRY_AFTER,
            })
        } else {
            self.call_host(shared, host, relay::Purpose::Home).0
        };
        lock(&self.timing).in_attempts += started.elapsed();
        // An earlier copy of the request may have reached the home host, so the outcome is unknown.
        let result = result.map_err(|failure| match failure.cause {
            cause if relay::is_not_sent(cause) => relay::Failure {
                cause: FailurePoint::RelayUnknown,
                retry_after: failure.retry_after,
            },
            _ => failure,
        });
        if self.handle_host_result(shared, attempt_id, result) == Step::Retry {
            self.refuse(shared, Refusal::new(Reason::HomeUnreachable));
        }
    }

    /// Handles an answer whose head has arrived: buffers it if it is small, else streams it.
    fn handle_answer(
        &self,
        shared: &Shared,
        attempt_id: AttemptId,
        grant: group::Grant,
        mut answer: Answer,
        started: Instant,
    ) -> Step {
        let is_large = answer
            .length
            .is_some_and(|length| length > MAX_BUFFERED_ANSWER_BYTES);
        if is_large && &*self.context.head.method != "HEAD" {
            return self.stream_answer(shared, attempt_id, grant, answer, started);
        }
        let buffered = self.read_whole(&mut answer);
        let cause = match &buffered {
            Err(cause) => Some(*cause),
            Ok(_) => failure_of_status(&answer),
        };
        let end = match cause {
            None => group::End::Answered,
            Some(cause) => end_of(cause),
        };
        match cause {
            None => shared
                .core
                .send(Event::RequestAnswered(self.context.fingerprint)),
            Some(cause) => self.report_broken_attempt(shared, grant.target(), cause, started),
        }
        report_finish(shared, grant, end, &answer, started);
        match (buffered, cause) {
            (Ok(body), None) => {
                let step = self.tracker().record_answer(attempt_id);
                self.finish_attempt(
                    shared,
                    step,
                    DEFAULT_RETRY_AFTER,
                    Some(to_reply(answer, body)),
                )
            }
            (Ok(body), Some(cause)) => {
                let reply = to_reply(answer, body);
                self.handle_failure(shared, attempt_id, cause, DEFAULT_RETRY_AFTER, Some(reply))
            }
            (Err(cause), _) => {
                self.handle_failure(shared, attempt_id, cause, DEFAULT_RETRY_AFTER, None)
            }
        }
    }

    /// Reads an answer's whole body and checks its length.
    fn read_whole(&self, answer: &mut Answer) -> Result<reply::Body, FailurePoint> {
        if &*self.context.head.method == "HEAD" {
            return Ok(reply::Body::Length(answer.length.unwrap_or_default()));
        }
        let limit = answer.length.unwrap_or(MAX_BUFFERED_ANSWER_BYTES) + 1;
        let context = &self.context;
        let bytes = read_up_to(
            &mut *answer.reader,
            limit,
            &context.account,
            context.deadline,
        );
        let bytes = bytes.map_err(|_| FailurePoint::ConnectionClosed(Stage::AnswerBody))?;
        let count = bytes.len() as u64;
        let is_too_long = count > MAX_BUFFERED_ANSWER_BYTES;
        if answer.length.is_some_and(|length| length != count) || is_too_long {
            return Err(FailurePoint::WrongLength(Stage::AnswerBody));
        }
        Ok(reply::Body::Whole(bytes))
    }

    /// Streams a large answer to the requester as it arrives.
    fn stream_answer(
        &self,
        shared: &Shared,
        attempt_id: AttemptId,
        grant: group::Grant,
        mut answer: Answer,
        started: Instant,
    ) -> Step {
        let Some(cancel) = self.tracker().select_winner(attempt_id) else {
            report_finish(shared, grant, group::End::Cancelled, &answer, started);
            shared.metrics.count_late_answer();
            return Step::Late;
        };
        self.cancel_attempts(shared, &cancel);
        let length = answer.length.unwrap_or_default();
        let body = std::mem::replace(&mut answer.reader, Box::new(io::empty()));
        let failed = Arc::new(AtomicBool::new(false));
        let body = Box::new(FailureFlaggingReader {
            reader: body,
            failed: failed.clone(),
        });
        let load = (answer.load, answer.state.clone());
        let reply = to_reply(answer, reply::Body::Stream(body, length));
        let step = self.tracker().record_answer(attempt_id);
        let step = self.finish_attempt(shared, step, DEFAULT_RETRY_AFTER, Some(reply));
        let fingerprint = self.context.fingerprint;
        let end = if failed.load(Ordering::Relaxed) {
            shared
                .core
                .send(Event::AttemptBroken(fingerprint, grant.target(), started));
            group::End::Broken
        } else {
            shared.core.send(Event::RequestAnswered(fingerprint));
            group::End::Answered
        };
        let report = group::Report {
            end,
            latency: started.elapsed(),
            load: load.0.map(to_load),
            state: load.1.as_deref().and_then(to_state),
        };
        shared.core.send(Event::TargetFinished(grant, report));
        step
    }

    /// Reports an attempt that the target broke off to the core, since the request may have crashed the target.
    fn report_broken_attempt(
        &self,
        shared: &Shared,
        target: TargetKey,
        cause: FailurePoint,
        started: Instant,
    ) {
        if cause.is_cut_by_target() && !self.body_broken_off.load(Ordering::Relaxed) {
            let fingerprint = self.context.fingerprint;
            shared
                .core
                .send(Event::AttemptBroken(fingerprint, target, started));
        }
    }

    fn handle_failure(
        &self,
        shared: &Shared,
        attempt_id: AttemptId,
        cause: FailurePoint,
        retry_after: Duration,
        reply: Option<Reply>,
    ) -> Step {
        // The core checks the retry budget when the next attempt is requested.
        let step = self
            .tracker()
            .record_failure(Instant::now(), attempt_id, cause, || true);
        self.finish_attempt(shared, step, retry_after, reply)
    }

    /// Replies if the request has its outcome; keeps an error answer as the fallback before a retry.
    fn finish_attempt(
        &self,
        shared: &Shared,
        step: Step,
        retry_after: Duration,
        reply: Option<Reply>,
    ) -> Step {
        match &step {
            Step::Done(end) => self.send_reply(shared, end, retry_after, reply),
            Step::Late => shared.metrics.count_late_answer(),
            Step::Retry => *lock(&self.fallback) = reply,
            Step::Wait => {}
        }
        step
    }

    /// Ends the request because its requester has disconnected.
    pub(crate) fn abandon(&self, shared: &Shared) {
        let end = self.tracker().abandon(Reason::CallerGone, |_| Stage::Sent);
        if let Some(end) = end {
            self.send_reply(shared, &end, DEFAULT_RETRY_AFTER, None);
        }
    }

    /// Sends the reply, once, and cancels the attempts still running.
    fn send_reply(
        &self,
        shared: &Shared,
        end: &Completion,
        retry_after: Duration,
        answer: Option<Reply>,
    ) {
        self.cancel_attempts(shared, &end.cancel);
        if self.answered.swap(true, Ordering::Relaxed) {
            return;
        }
        shared.core.send(Event::RequestDone(self.context.id));
        let outcome = end.outcome;
        let reply = answer.filter(|_| outcome == Outcome::Answered);
        if let Some(run) = lock(&self.key_run).take() {
            shared.core.send(Event::EndKey(
                run,
                idempotency::to_run_outcome(outcome, reply.as_ref()),
            ));
        }
        self.record_metrics(shared, outcome);
        match lock(&self.requester).take() {
            Some(Requester::Caller(request)) => {
                to_caller(outcome, retry_after, reply).send(request);
            }
            Some(Requester::Host(incoming)) => relay::reply(incoming, outcome, retry_after, reply),
            None => {}
        }
    }

    fn cancel_attempts(&self, shared: &Shared, attempts: &[(AttemptId, Destination)]) {
        for (_, destination) in attempts {
            if let Destination::Target(target) = destination {
                let address = self.context.catalog.target(*target).address;
                shared.cancel(address, shared.request_id(self.context.id));
            }
        }
    }

    fn record_metrics(&self, shared: &Shared, outcome: Outcome) {
        let total = self.context.arrived.elapsed();
        let timing = *lock(&self.timing);
        shared.metrics.record_request(&RequestSample {
            service: &self.context.head.service,
            class: &self.context.catalog.service(self.context.service).class,
            outcome: outcome.as_str(),
            total,
            added: total.saturating_sub(timing.in_attempts),
            queued: timing.queued,
            attempts: self.tracker().attempts_started(),
        });
    }
}

/// Returns what the core granted for an attempt that is not made.
fn return_unused(shared: &Shared, verdict: Verdict) {
    let event = match verdict {
        Verdict::Refused(_) => return,
        Verdict::Host(permit) => Event::RelayFinished(permit, PermitUsage::Unused),
        Verdict::Target { grant, .. } => Event::TargetFinished(grant, group::Report::unused()),
    };
    shared.core.send(event);
}

/// Locks a mutex, ignoring poisoning: the protected values are consistent after a panic.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// A reader that sets a flag when its source fails.
struct FailureFlaggingReader {
    reader: Box<dyn Read + Send>,
    failed: Arc<AtomicBool>,
}

impl Read for FailureFlaggingReader {
    fn read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        self.reader.read(buffer).inspect_err(|_| {
            self.failed.store(true, Ordering::Relaxed);
        })
    }
}

/// Builds the reply to a caller: the target's answer, or an error of this host.
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

fn report_finish(
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
    shared.core.send(Event::TargetFinished(grant, report));
}

fn to_reply(answer: Answer, body: reply::Body) -> Reply {
    let headers: Vec<Header> = answer.headers;
    Reply {
        status: answer.status,
        headers,
        body,
    }
}
