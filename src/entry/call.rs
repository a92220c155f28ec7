//! The course of one request on this host, from its head to its answer.

use std::io::{self, Read};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use super::body::Body;
use super::core::Event;
use super::head::{self, Head, Header};
use super::metrics::Sample;
use super::reply::{self, Reply};
use super::stage::Stage as Wire;
use super::target::{self, Answer, Connection, Sending};
use super::Shared;
use crate::catalog::{Catalog, RegionKey, Repeat, ServiceKey, TargetKey};
use crate::steer::attempt::{Break, Course, Final, Outcome, Place, Reason, Stage, Step, Try};
use crate::steer::engine::{Ask, Id, Kind, Origin, Refusal, Verdict};
use crate::steer::{group, limit};

/// Answers up to this size are held whole before any of them is passed on, in bytes.
const HOLD_ANSWER: u64 = 8 << 20;
/// Time for telling a target that a request is cancelled.
const CANCEL_TIME: Duration = Duration::from_millis(500);

/// A request on its way.
pub(crate) struct Call {
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
    course: Mutex<Course>,
    sender: Mutex<Option<Sender>>,
    answered: AtomicBool,
    timing: Mutex<Timing>,
}

/// Where the answer goes, and where the rest of the body comes from.
pub(crate) enum Sender {
    /// A caller.
    Caller(tiny_http::Request),
}

/// Where the time went.
#[derive(Clone, Copy, Debug, Default)]
struct Timing {
    waited: Duration,
    target: Duration,
}

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
    pub(crate) sender: Sender,
}

impl Call {
    pub(crate) fn new(start: Start) -> Self {
        let repeat = start.catalog.service(start.service).repeat;
        Self {
            id: start.id,
            head: start.head,
            body: start.body,
            service: start.service,
            locality: start.locality,
            block: start.block,
            origin: start.origin,
            arrived: start.arrived,
            deadline: start.deadline,
            course: Mutex::new(Course::new(repeat, start.deadline)),
            sender: Mutex::new(Some(start.sender)),
            answered: AtomicBool::new(false),
            timing: Mutex::default(),
            catalog: start.catalog,
        }
    }

    fn repeat(&self) -> Repeat {
        self.catalog.service(self.service).repeat
    }

    fn course(&self) -> MutexGuard<'_, Course> {
        lock(&self.course)
    }

    /// Carries the request until it has its answer.
    pub(crate) fn run(&self, shared: &Shared) {
        let mut kind = Kind::First;
        loop {
            let asked = Instant::now();
            let verdict = shared.core.ask(self.ask(kind));
            lock(&self.timing).waited += asked.elapsed();
            let step = match verdict {
                Verdict::Refused(refusal) => return self.refuse(shared, refusal),
                Verdict::Target(grant) => self.try_target(shared, grant),
            };
            match step {
                Step::Retry => kind = Kind::Retry,
                Step::Done(_) | Step::Wait | Step::Late => return,
            }
        }
    }

    fn ask(&self, kind: Kind) -> Ask {
        let mut targets = Vec::new();
        let course = self.course();
        for place in course.places() {
            match place {
                Place::Target(target) => targets.push(target),
                Place::Host(_) => {}
            }
        }
        Ask {
            id: self.id,
            kind,
            origin: self.origin,
            service: self.service,
            locality: self.locality,
            block: self.block,
            deadline: self.deadline,
            targets,
            hosts: Vec::new(),
        }
    }

    /// Ends the request without another try.
    fn refuse(&self, shared: &Shared, refusal: Refusal) {
        shared
            .metrics
            .refusal(&self.head.service, refusal.reason.as_str());
        let end = self.course().give_up(refusal.reason, |_| Stage::Sent);
        if let Some(end) = end {
            self.give(shared, &end, refusal.retry_after, None);
        }
    }

    /// One try at one target.
    fn try_target(&self, shared: &Shared, grant: group::Grant) -> Step {
        let target = grant.target();
        let started = Instant::now();
        let key = match self.course().start(started, Place::Target(target)) {
            Ok(key) => key,
            Err(error) => {
                spdlog::debug!("call: no further try: {error}");
                shared.core.send(Event::Finish(grant, idle_report()));
                return Step::Late;
            }
        };
        let result = self.call_target(shared, target);
        let latency = started.elapsed();
        lock(&self.timing).target += latency;
        match result {
            Ok(answer) => self.take_answer(shared, key, grant, answer, started),
            Err(error) => {
                let cause = broken(&error);
                let report = group::Report {
                    end: end_of(cause),
                    latency,
                    load: None,
                    state: None,
                };
                shared.core.send(Event::Finish(grant, report));
                spdlog::debug!("call: {} at {}: {error}", self.id, self.name(target));
                self.fail(shared, key, cause, None)
            }
        }
    }

    fn name(&self, target: TargetKey) -> &str {
        &self.catalog.target(target).name
    }

    fn call_target(&self, shared: &Shared, target: TargetKey) -> Result<Answer, target::Error> {
        let id = shared.request_id(self.id);
        let ask = target::Ask {
            address: self.catalog.target(target).address,
            id: &id,
            method: &self.head.method,
            path: &self.head.path,
            headers: &self.head.headers,
            deadline: self.course().left(Instant::now()),
            connection: match self.repeat() {
                Repeat::Safe => Connection::Pooled,
                Repeat::Never => Connection::Fresh,
            },
        };
        match &self.body {
            Body::Whole(bytes) => shared.targets.call(&ask, Sending::Whole(bytes)),
            Body::Part(part) => {
                let mut sender = lock(&self.sender);
                let mut rest: Box<dyn Read + '_> = match sender.as_mut() {
                    Some(Sender::Caller(request)) => Box::new(request.as_reader()),
                    None => Box::new(io::empty()),
                };
                let mut stream = part.stream(&mut *rest);
                let result = shared.targets.call(&ask, Sending::Stream(&mut stream));
                if stream.is_consumed() {
                    self.course().consume();
                }
                result
            }
        }
    }

    /// Takes an answer whose head came: holds it whole if it is small, else passes it on.
    fn take_answer(
        &self,
        shared: &Shared,
        key: Try,
        grant: group::Grant,
        mut answer: Answer,
        started: Instant,
    ) -> Step {
        let large = answer.length.is_some_and(|length| length > HOLD_ANSWER);
        if large && &*self.head.method != "HEAD" {
            return self.pass_answer(shared, key, grant, answer, started);
        }
        let held = hold(&mut answer, &self.head.method);
        let cause = match &held {
            Err(cause) => Some(*cause),
            Ok(_) => refused(&answer),
        };
        let end = match cause {
            None => group::End::Answered,
            Some(cause) => end_of(cause),
        };
        finish(shared, grant, end, &answer, started);
        match (held, cause) {
            (Ok(body), None) => {
                let step = self.course().answer(key);
                self.conclude(shared, step, Some(to_reply(answer, body)))
            }
            (Ok(body), Some(cause)) => self.fail(shared, key, cause, Some(to_reply(answer, body))),
            (Err(cause), _) => self.fail(shared, key, cause, None),
        }
    }

    /// Passes a large answer on as it comes.
    fn pass_answer(
        &self,
        shared: &Shared,
        key: Try,
        grant: group::Grant,
        mut answer: Answer,
        started: Instant,
    ) -> Step {
        let Some(cancel) = self.course().pass(key) else {
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
        let step = self.course().answer(key);
        let step = self.conclude(shared, step, Some(reply));
        let report = group::Report {
            end: if broke.load(Ordering::Relaxed) {
                group::End::Broken
            } else {
                group::End::Answered
            },
            latency: started.elapsed(),
            load: load.0.map(to_load),
            state: load.1.as_deref().and_then(to_state),
        };
        shared.core.send(Event::Finish(grant, report));
        step
    }

    fn fail(&self, shared: &Shared, key: Try, cause: Break, last: Option<Reply>) -> Step {
        let step = self.course().fail(Instant::now(), key, cause, || true);
        self.conclude(shared, step, last)
    }

    /// Answers the caller if the request has its outcome.
    fn conclude(&self, shared: &Shared, step: Step, reply: Option<Reply>) -> Step {
        match &step {
            Step::Done(end) => self.give(shared, end, Duration::from_secs(1), reply),
            Step::Late => shared.metrics.late(),
            Step::Retry | Step::Wait => {}
        }
        step
    }

    /// Gives the one answer.
    fn give(&self, shared: &Shared, end: &Final, retry_after: Duration, answer: Option<Reply>) {
        self.cancel(shared, &end.cancel);
        if self.answered.swap(true, Ordering::Relaxed) {
            return;
        }
        let outcome = end.outcome;
        let reply = match (outcome, answer) {
            (Outcome::Answered, Some(mut reply)) => {
                reply.add(head::OUTCOME, outcome.as_str());
                reply
            }
            _ => own_reply(outcome, retry_after),
        };
        self.record(shared, outcome);
        let sender = lock(&self.sender).take();
        match sender {
            Some(Sender::Caller(request)) => reply.send(request),
            None => {}
        }
    }

    fn cancel(&self, shared: &Shared, tries: &[(Try, Place)]) {
        for (_, place) in tries {
            if let Place::Target(target) = place {
                let address = self.catalog.target(*target).address;
                let id = shared.request_id(self.id);
                shared.targets.cancel(address, &id, CANCEL_TIME);
            }
        }
    }

    fn record(&self, shared: &Shared, outcome: Outcome) {
        let total = self.arrived.elapsed();
        let timing = *lock(&self.timing);
        shared.metrics.request(&Sample {
            service: &self.head.service,
            class: &self.catalog.service(self.service).class,
            outcome: outcome.as_str(),
            total,
            added: total.saturating_sub(timing.target),
            waited: timing.waited,
            attempts: self.course().tries(),
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

fn own_reply(outcome: Outcome, retry_after: Duration) -> Reply {
    let reason = outcome.reason().map_or("", Reason::as_str);
    match outcome.reply(retry_after) {
        crate::steer::attempt::Reply::Local {
            status,
            retry_after,
        } => match outcome {
            Outcome::NotRun(_) => Reply::not_run(status, reason, retry_after),
            _ => Reply::unknown(status, reason),
        },
        _ => Reply::unknown(502, reason),
    }
}

fn idle_report() -> group::Report {
    group::Report {
        end: group::End::Cancelled,
        latency: Duration::ZERO,
        load: None,
        state: None,
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

fn to_load((in_flight, slots): (u32, u32)) -> limit::Load {
    limit::Load { in_flight, slots }
}

fn to_state(text: &str) -> Option<group::State> {
    match text.trim() {
        "serving" => Some(group::State::Serving),
        "cold" => Some(group::State::Cold),
        "draining" => Some(group::State::Draining),
        _ => None,
    }
}

/// What an answer's status says of the try, if it is not simply an answer.
fn refused(answer: &Answer) -> Option<Break> {
    match answer.status {
        503 if answer.refused => Some(Break::Refused),
        503 => Some(Break::Unavailable),
        500..=599 => Some(Break::ServerError),
        _ => None,
    }
}

/// Reads an answer's body whole.
fn hold(answer: &mut Answer, method: &str) -> Result<reply::Body, Break> {
    if method == "HEAD" {
        return Ok(reply::Body::Length(answer.length.unwrap_or_default()));
    }
    let mut bytes = Vec::new();
    let limit = HOLD_ANSWER + 1;
    let result = answer.reader.by_ref().take(limit).read_to_end(&mut bytes);
    if result.is_err() {
        return Err(Break::Cut(Stage::AnswerBody));
    }
    let count = bytes.len() as u64;
    if answer.length.is_some_and(|length| length != count) || count == limit {
        return Err(Break::WrongLength(Stage::AnswerBody));
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

/// What a call that got no answer's head means.
fn broken(error: &target::Error) -> Break {
    let stage = stage_of(&error.stage);
    if error.is_timeout() {
        return Break::Timeout(stage);
    }
    if error.is_garbage() && error.stage.read {
        return Break::Garbage;
    }
    if stage == Stage::Connecting {
        return Break::ConnectRefused;
    }
    if error.stage.dialled {
        Break::Cut(stage)
    } else {
        Break::Stale(stage)
    }
}

fn stage_of(wire: &Wire) -> Stage {
    if wire.read {
        return Stage::AnswerHead;
    }
    if wire.written > 0 {
        // How much of it left is not known; "sent" claims the most.
        return Stage::Sent;
    }
    if wire.dialled && !wire.connected {
        return Stage::Connecting;
    }
    Stage::Connected
}

fn end_of(cause: Break) -> group::End {
    match cause {
        Break::ConnectRefused => group::End::ConnectFailed,
        Break::Timeout(Stage::Connecting) => group::End::ConnectFailed,
        Break::Timeout(_) => group::End::TimedOut,
        Break::Refused | Break::Unavailable => group::End::Refused,
        Break::ServerError => group::End::Answered,
        Break::Cancelled(_) | Break::CallerGone(_) => group::End::Cancelled,
        _ => group::End::Broken,
    }
}
