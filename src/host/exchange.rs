//! Forwards one request to targets until one answers or no further attempt is possible.

use std::cell::Cell;
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use http::{request, Response, StatusCode};
use rand::RngExt;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use super::admission::Admitted;
use super::attempt::{self, connect_target, take_body, Attempt, InFlight, Outcome};
use super::body::{Body, ReceivedBody};
use super::quarantine::Permit;
use super::relay::{self, with_disposition, Disposition, Relay};
use super::request_log::{self, RequestTrace, StopReason};
use super::running::{Attempts, Ended, Monitor};
use super::{announcement, answer, now, quarantine, throttle, Host};
use crate::border::settings::Switch;
use crate::budget::Account;
use crate::catalog::Repeat;
use crate::inventory::{Route, TargetKey};
use crate::port::Head;
use crate::steer::fingerprint::Fingerprint;
use crate::steer::fleet::{Observation, Refusal, TargetQuery};
use crate::steer::pause::RefusedRequest;

/// Remaining time below which no attempt is started, since no answer could arrive in time.
const MIN_ATTEMPT_TIME: Duration = Duration::from_millis(20);

/// Limit on the unreachable targets that one request tries. Such attempts don't count towards the
/// route's limit, since nothing was sent: many targets may be down while they are still registered.
const MAX_UNREACHABLE_TARGETS: usize = 8;

/// Expected time until a host reaches targets again while no other host does either.
const CUT_OFF_PAUSE: Duration = Duration::from_secs(1);

/// Expected time until a service has a target again whose targets are all shutting down or must not
/// be used.
const NO_TARGET_PAUSE: Duration = Duration::from_secs(1);

/// Response to a request that may have run, without an answer.
const BROKEN_OFF: &str = "the target broke off\n";

/// Limit on the time spent asking hosts for permission to send: enough for several queries within
/// the region or one to another region. A request without a permitted target is refused soon after.
const MAX_PERMIT_WAIT: Duration = Duration::from_millis(50);

/// An admitted request whose body has been read, at least its beginning.
pub(crate) struct Exchange {
    /// The account of the connection that it arrived on.
    pub(crate) account: Account,
    pub(crate) route: Arc<Route>,
    pub(crate) admitted: Admitted,
    pub(crate) head: Head,
    pub(crate) parts: request::Parts,
    pub(crate) started_at: Instant,
    pub(crate) deadline: Instant,
    pub(crate) max_body_bytes: u64,
    pub(crate) buffered: Buffered,
    /// Hash of what stays the same when the request is sent again.
    pub(crate) fingerprint: Fingerprint,
    /// Whether the caller aborted the body while it was being streamed to a target.
    pub(crate) caller_aborted: Rc<Cell<bool>>,
    /// Number of targets that it may be sent to.
    pub(crate) attempts: usize,
    /// Whether the retry budget has counted it.
    pub(crate) is_counted: Cell<bool>,
    /// What the host that relays it said, if it was not sent by a caller.
    pub(crate) context: Option<relay::Context>,
}

/// How much of a request's body is buffered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Buffered {
    /// The complete body, so that any number of attempts can send it.
    Complete,
    /// Only the beginning; the rest can be streamed once.
    Prefix,
}

/// Forwards a request to targets until one answers or no further attempt is possible.
pub(crate) async fn forward(
    host: &Rc<Host>,
    exchange: Exchange,
    body: ReceivedBody,
) -> Response<Body> {
    let Some(service) = host.core.borrow_mut().choose_service(&exchange.route) else {
        return answer::not_run(host, "no service for this route\n");
    };
    let caller = &exchange.admitted.caller;
    let rank = host
        .core
        .borrow()
        .table
        .relative_priority(&exchange.route, caller);
    let query = TargetQuery {
        service: &service,
        affinity_key: affinity_hash(&exchange),
        object: affinity_object(&exchange, &service),
        homes: &exchange.admitted.homes,
        tried: tried_elsewhere(host, &exchange),
        body_bytes: body.length(),
        rank,
        account: caller
            .account()
            .map(|account| xxh3_64(account.name.as_bytes())),
    };
    let mut active = ActiveRequest {
        host,
        exchange: &exchange,
        query,
        trace: RequestTrace::new(exchange.started_at),
        status: None,
    };
    let response = try_targets(&mut active, body).await;
    active.status = Some(response.status());
    response
}

/// A request that is being forwarded. It is logged when it is dropped, also if the caller
/// disconnects first.
struct ActiveRequest<'a> {
    host: &'a Rc<Host>,
    exchange: &'a Exchange,
    query: TargetQuery<'a>,
    trace: RequestTrace,
    /// Status of the response to the caller, once it is decided.
    status: Option<StatusCode>,
}

impl Drop for ActiveRequest<'_> {
    fn drop(&mut self) {
        if self.status.is_none() {
            self.trace.abandon(self.host);
        }
        request_log::log_request(
            self.host,
            self.exchange,
            &self.query,
            &self.trace,
            self.status,
        );
    }
}

/// The targets that the host that relays a request has sent it to.
fn tried_elsewhere(host: &Host, exchange: &Exchange) -> Vec<TargetKey> {
    let core = host.core.borrow();
    let tried = exchange.context.iter().flat_map(|context| &context.tried);
    tried.filter_map(|id| core.fleet.key(id)).collect()
}

/// How a request is sent next.
enum Path {
    /// To a target.
    Target,
    /// To another host.
    Relay(Relay),
    /// Not at all.
    Stop(StopReason),
}

/// The progress of a request from one attempt to the next.
struct Progress<'a> {
    body: Option<ReceivedBody>,
    failed_response: Option<Response<Body>>,
    may_have_run: bool,
    permit: Option<Permit<'a>>,
    has_checked_quarantine: bool,
    /// Targets that the request was sent to.
    sent_to: Vec<TargetKey>,
    /// Targets that were tried, and could not be reached.
    unreachable: usize,
    /// Hosts that the request was to be relayed by.
    relays: Vec<Arc<str>>,
    /// Whether the retry budget was charged for the next attempt.
    is_retry_paid: bool,
}

impl Progress<'_> {
    fn new(body: ReceivedBody) -> Self {
        Self {
            body: Some(body),
            failed_response: None,
            may_have_run: false,
            permit: None,
            has_checked_quarantine: false,
            sent_to: Vec::new(),
            unreachable: 0,
            relays: Vec::new(),
            is_retry_paid: false,
        }
    }

    /// What became of the request, if it was not answered.
    fn disposition(&self, exchange: &Exchange) -> Disposition {
        if self.failed_response.is_some() {
            Disposition::Failed
        } else if !self.may_have_run {
            Disposition::NotServed
        } else if now() >= exchange.deadline {
            Disposition::TimedOut
        } else {
            Disposition::Unknown
        }
    }
}

/// Tries targets one after the other, or other hosts while this one can't reach targets. While a
/// target is silent, further ones are tried beside it. Without a successful answer, the caller gets
/// the last server error that a target returned, if there is one.
async fn try_targets(active: &mut ActiveRequest<'_>, body: ReceivedBody) -> Response<Body> {
    let (host, exchange) = (active.host, active.exchange);
    let mut attempts = Attempts::default();
    let mut progress = Progress::new(body);
    let stop = match run_attempts(active, &mut progress, &mut attempts).await {
        Ok(response) => {
            active.trace.give_up_attempts(host, &attempts.monitor);
            return with_disposition(response, Disposition::Answered);
        }
        Err(stop) => stop,
    };
    active.trace.stop_reason = stop;
    progress.permit = None;
    let disposition = progress.disposition(exchange);
    match (progress.failed_response, disposition) {
        (Some(response), _) => with_disposition(response, disposition),
        (None, Disposition::TimedOut) => with_disposition(answer::timed_out(), disposition),
        (None, Disposition::Unknown) => {
            let response = answer::outcome_unknown(BROKEN_OFF);
            with_disposition(response, disposition)
        }
        (None, _) => {
            exchange.admitted.refund(host);
            let delay = retry_after(host, &active.query, stop);
            let text = match stop {
                StopReason::CutOff => "no target can be reached\n",
                StopReason::Refused(Refusal::FairShare) => "the account has had its share\n",
                _ => "no target has room\n",
            };
            let response = answer::not_run_retry_after(host, text, delay);
            if host.core.borrow().fleet.reaches_targets() {
                with_disposition(response, Disposition::NotRun(delay))
            } else {
                with_disposition(response, Disposition::NotServed)
            }
        }
    }
}

/// Makes attempts until one is answered. Returns the answer, or why no further one is made once none
/// runs.
async fn run_attempts<'a>(
    active: &mut ActiveRequest<'a>,
    progress: &mut Progress<'a>,
    attempts: &mut Attempts<'a>,
) -> Result<Response<Body>, StopReason> {
    let mut stop = None;
    loop {
        if stop.is_none() {
            let monitor = attempts.monitor.clone();
            let begun = attempts.race(begin_attempt(active, progress, monitor));
            match begun.await {
                Err(ended) => return Ok(accept(active, attempts, ended)),
                Ok(Ok(Begun::Sent(attempt))) => attempts.push(attempt),
                Ok(Ok(Begun::Answered(response))) => return Ok(response),
                Ok(Ok(Begun::Nothing)) => continue,
                Ok(Err(reason)) => stop = Some(reason),
            }
        }
        if let Some(reason) = stop.filter(|_| attempts.is_empty()) {
            return Err(reason);
        }
        match attempts.next().await {
            Some(ended) if ended.is_answered() => return Ok(accept(active, attempts, ended)),
            Some(ended) => stop = record_end(active, progress, ended).or(stop),
            None => {}
        }
        if stop.is_none_or(|reason| !reason.is_final()) {
            match attempts.race(wait_for_turn(active, progress)).await {
                Err(ended) => return Ok(accept(active, attempts, ended)),
                Ok(reason) => stop = reason,
            }
        }
    }
}

/// Returns the response of an attempt that was answered. The others are given up.
fn accept(
    active: &mut ActiveRequest<'_>,
    attempts: &mut Attempts<'_>,
    ended: Ended,
) -> Response<Body> {
    attempts.give_up();
    let target = ended.in_flight.target;
    match finish_attempt(active, ended) {
        Outcome::Answered(response) | Outcome::Failed(response) => {
            relay::with_source(active.host, active.exchange, target, response)
        }
        Outcome::NotRun | Outcome::Unknown | Outcome::TimedOut => {
            answer::outcome_unknown(BROKEN_OFF)
        }
    }
}

/// Records how an attempt ended. Returns its outcome.
fn finish_attempt(active: &mut ActiveRequest<'_>, ended: Ended) -> Outcome {
    let Ended {
        index,
        in_flight,
        outcome,
    } = ended;
    active.trace.finish_attempt(index, &in_flight);
    quarantine::record_attempt_end(active.host, active.exchange, &in_flight);
    let target = in_flight.target;
    drop(in_flight);
    announcement::tell_end_of_silence(active.host, target);
    outcome
}

/// Records the end of an attempt that was not answered. Returns why no further one may be made.
fn record_end(
    active: &mut ActiveRequest<'_>,
    progress: &mut Progress<'_>,
    ended: Ended,
) -> Option<StopReason> {
    let target = ended.in_flight.target;
    match finish_attempt(active, ended) {
        Outcome::Answered(response) | Outcome::Failed(response) => {
            let response = relay::with_source(active.host, active.exchange, target, response);
            progress.failed_response = Some(response);
        }
        Outcome::NotRun => {}
        Outcome::Unknown => progress.may_have_run = true,
        Outcome::TimedOut => {
            progress.may_have_run = true;
            return Some(StopReason::Time);
        }
    }
    let has_run = progress.may_have_run || progress.failed_response.is_some();
    let may_repeat = active.exchange.route.repeat != Repeat::Never;
    (has_run && !may_repeat).then_some(StopReason::MayHaveRun)
}

/// Waits until a request that was sent may be sent to a further target. Returns why it is not.
async fn wait_for_turn<'a>(
    active: &mut ActiveRequest<'a>,
    progress: &mut Progress<'a>,
) -> Option<StopReason> {
    let stop = stop_after_send(active.exchange, progress.sent_to.len());
    if stop.is_some() || progress.is_retry_paid {
        return stop;
    }
    let (host, exchange) = (active.host, active.exchange);
    let stop = wait_to_retry(host, exchange, &mut active.query, &mut progress.permit).await;
    progress.is_retry_paid = stop.is_none();
    stop
}

/// Decides whether a request is sent to a target, or to another host since this one can't reach
/// targets, or none of many that this request tried.
fn choose_path(
    host: &Host,
    exchange: &Exchange,
    query: &TargetQuery<'_>,
    progress: &Progress<'_>,
) -> Path {
    let is_cut_off = !host.core.borrow().fleet.reaches_targets();
    if !is_cut_off && progress.unreachable < MAX_UNREACHABLE_TARGETS {
        return Path::Target;
    }
    let may_relay = exchange.context.is_none() && progress.relays.len() < relay::MAX_HOSTS;
    let relay = may_relay
        .then(|| relay::choose(host, query, &progress.relays))
        .flatten();
    match relay {
        Some(relay) => Path::Relay(relay),
        None if is_cut_off => Path::Stop(StopReason::CutOff),
        None => Path::Stop(StopReason::Attempts),
    }
}

/// What became of a step towards the next attempt.
enum Begun<'a> {
    /// The request is being sent to a target.
    Sent(Pin<Box<dyn Future<Output = Ended> + 'a>>),
    /// Another host has had it answered.
    Answered(Response<Body>),
    /// Nothing was sent.
    Nothing,
}

/// Begins the next attempt, or returns why none is made.
async fn begin_attempt<'a>(
    active: &mut ActiveRequest<'a>,
    progress: &mut Progress<'a>,
    monitor: Rc<Monitor>,
) -> Result<Begun<'a>, StopReason> {
    let (host, exchange) = (active.host, active.exchange);
    if !std::mem::replace(&mut progress.has_checked_quarantine, true) {
        match quarantine::wait_for_permit(host, exchange).await {
            Ok(granted) => progress.permit = granted,
            Err(pause) => return Err(StopReason::Quarantined(pause)),
        }
        if progress.permit.is_some() {
            isolate(&mut active.query, exchange);
        }
    }
    match choose_path(host, exchange, &active.query, progress) {
        Path::Target => begin_at_target(active, progress, monitor).await,
        Path::Relay(relay) => {
            let answered = try_relay(host, exchange, &mut active.trace, progress, &relay).await?;
            Ok(answered.map_or(Begun::Nothing, Begun::Answered))
        }
        Path::Stop(stop) => Err(stop),
    }
}

/// Begins to send a request to a target, or returns why none is tried.
async fn begin_at_target<'a>(
    active: &mut ActiveRequest<'a>,
    progress: &mut Progress<'a>,
    monitor: Rc<Monitor>,
) -> Result<Begun<'a>, StopReason> {
    let (host, exchange, service) = (active.host, active.exchange, active.query.service);
    if !exchange.is_counted.replace(true) {
        let budgets = &mut host.core.borrow_mut().budgets;
        budgets.record_request(now(), service);
    }
    let target = choose_target(host, &active.query)
        .await
        .map_err(StopReason::Refused)?;
    let observation = Observation {
        object: active.query.object,
        goal: Some(exchange.route.goal),
        ..Observation::default()
    };
    let mut in_flight = InFlight::new(host, target, observation);
    let index = active
        .trace
        .start_attempt(host, &in_flight, exchange.head.id.as_ref());
    active.query.tried.push(target);
    let connected = connect_target(host, exchange, &mut in_flight).await;
    let (connection, id) = match connected {
        Ok(connected) => connected,
        Err(outcome) => {
            let unsent = Ended {
                index,
                in_flight,
                outcome,
            };
            finish_attempt(active, unsent);
            progress.unreachable += 1;
            return stop_after_unreachable(exchange).map_or(Ok(Begun::Nothing), Err);
        }
    };
    active.trace.observe(&connection);
    let patience = {
        let fleet = &host.core.borrow().fleet;
        fleet.patience(now(), target, &active.query)
    };
    let payload = take_body(&mut progress.body).ok_or(StopReason::Body)?;
    progress.sent_to.push(target);
    progress.is_retry_paid = false;
    let attempt = Attempt {
        host,
        exchange,
        service,
        in_flight,
        index,
        monitor,
        patience,
    };
    let sent = attempt::send(attempt, (connection, id, payload));
    Ok(Begun::Sent(Box::pin(sent)))
}

/// Sends a request to another host. Returns the response if the request is answered, or why no
/// further attempt is made.
async fn try_relay(
    host: &Rc<Host>,
    exchange: &Exchange,
    trace: &mut RequestTrace,
    progress: &mut Progress<'_>,
    relay: &Relay,
) -> Result<Option<Response<Body>>, StopReason> {
    if exchange.deadline.saturating_duration_since(now()) < MIN_ATTEMPT_TIME {
        return Err(StopReason::Time);
    }
    progress.relays.push(relay.host.clone());
    trace.start_relay(&relay.host);
    let (sent_to, body) = (&progress.sent_to, &mut progress.body);
    let outcome = relay::send(host, exchange, trace, relay, sent_to, body).await;
    trace.finish_relay(&outcome);
    match outcome {
        relay::Outcome::Answered(response) => return Ok(Some(response)),
        relay::Outcome::Failed(response) => progress.failed_response = Some(response),
        relay::Outcome::Refused(retry_after) => return Err(StopReason::Relayed(retry_after)),
        relay::Outcome::NotServed | relay::Outcome::NotSent => {
            host.relays.avoid(relay);
            return Ok(None);
        }
        relay::Outcome::Unknown => progress.may_have_run = true,
        relay::Outcome::TimedOut => {
            progress.may_have_run = true;
            return Err(StopReason::Time);
        }
        relay::Outcome::NoBody => return Err(StopReason::Body),
    }
    // The other host has made all attempts that were left.
    Err(if exchange.route.repeat == Repeat::Never {
        StopReason::MayHaveRun
    } else {
        StopReason::Attempts
    })
}

/// Directs a suspected request to a target chosen by its fingerprint, apart from the target of the
/// other requests for its object.
fn isolate(query: &mut TargetQuery<'_>, exchange: &Exchange) {
    query.affinity_key = exchange.fingerprint.0;
    query.object = None;
}

/// How long the caller of a request that did not run should wait before it retries.
fn retry_after(host: &Host, query: &TargetQuery<'_>, stop: StopReason) -> Duration {
    if let StopReason::Quarantined(pause) | StopReason::Relayed(pause) = stop {
        return pause;
    }
    if host.settings.switches.room_pause == Switch::Off {
        return answer::DEFAULT_RETRY_AFTER;
    }
    let core = &mut *host.core.borrow_mut();
    let room = match stop {
        StopReason::Refused(_) if core.fleet.has_no_available_target(query.service) => {
            NO_TARGET_PAUSE
        }
        StopReason::Refused(_) => core.fleet.time_until_room(now(), query),
        StopReason::CutOff => CUT_OFF_PAUSE,
        _ => Duration::ZERO,
    };
    let rest = core.fleet.time_until_rest_ends(now(), query);
    RefusedRequest {
        time_until_room: room,
        rank: query.rank,
    }
    .retry_after_rest(rest.unwrap_or_default(), core.rng.random_range(0.0..1.0))
}

/// Returns why a request is not sent to a further target, or `None` if it may be.
fn stop_after_send(exchange: &Exchange, sent: usize) -> Option<StopReason> {
    if sent >= exchange.attempts {
        Some(StopReason::Attempts)
    } else if exchange.deadline.saturating_duration_since(now()) < MIN_ATTEMPT_TIME {
        Some(StopReason::Time)
    } else if exchange.buffered == Buffered::Prefix {
        Some(StopReason::Body)
    } else {
        None
    }
}

/// Waits until a request may be sent to a further target, with a permit if it is suspected to crash
/// targets. Returns why it is not sent. The retry budget is charged last, so that only retries that
/// take place are counted.
async fn wait_to_retry<'a>(
    host: &'a Rc<Host>,
    exchange: &Exchange,
    query: &mut TargetQuery<'_>,
    permit: &mut Option<Permit<'a>>,
) -> Option<StopReason> {
    match quarantine::wait_for_retry(host, exchange, permit.as_ref()).await {
        Ok(Some(granted)) => {
            isolate(query, exchange);
            *permit = Some(granted);
        }
        Ok(None) => {}
        Err(quarantine::Suspected) => return Some(StopReason::Suspected),
    }
    if exchange.deadline.saturating_duration_since(now()) < MIN_ATTEMPT_TIME {
        return Some(StopReason::Time);
    }
    let budgets = &mut host.core.borrow_mut().budgets;
    (!budgets.try_take(now(), query.service)).then_some(StopReason::Budget)
}

/// Returns why nothing more is tried after an unreachable target, or `None` if something is. Half of
/// the request's time is reserved for a target that can be reached.
fn stop_after_unreachable(exchange: &Exchange) -> Option<StopReason> {
    let total_time = exchange
        .deadline
        .saturating_duration_since(exchange.started_at);
    (now() > exchange.started_at + total_time / 2).then_some(StopReason::Time)
}

/// Chooses a target that permits the request. One that does not is skipped and the next best one is
/// tried. After [`MAX_PERMIT_WAIT`] no host is asked for permission any more: only targets that
/// need none or have already granted it remain.
async fn choose_target(host: &Host, query: &TargetQuery<'_>) -> Result<TargetKey, Refusal> {
    let until = now() + MAX_PERMIT_WAIT;
    let mut query = query.clone();
    loop {
        let proposed = {
            let pool = host.pool.borrow();
            let fleet = &mut host.core.borrow_mut().fleet;
            fleet.propose(now(), &query, |target| pool.has(target))
        };
        let (target, assignment) = match proposed {
            Err(Refusal::Full) if host.uploads.give_up_one(query.service) => {
                // Its connection is closed, which returns the slot.
                tokio::task::yield_now().await;
                continue;
            }
            proposed => proposed?,
        };
        let can_ask = now() < until;
        let is_permitted = if can_ask {
            throttle::request_permit(host, target, assignment).await
        } else {
            throttle::is_permitted(host, target, assignment)
        };
        if is_permitted {
            host.core.borrow_mut().fleet.begin(now(), &query, target);
            return Ok(target);
        }
        if !can_ask {
            query.tried.push(target);
        }
    }
}

/// Hash of the affinity key, or of the request's ID if it has no affinity key.
fn affinity_hash(exchange: &Exchange) -> u64 {
    let key = affinity_key(exchange).or(exchange.head.id.as_ref());
    key.map_or(0, |key| xxh3_64(key.as_bytes()))
}

/// Hash of the affinity key and the service, so that the same key at two services counts as two
/// objects.
fn affinity_object(exchange: &Exchange, service: &str) -> Option<u64> {
    let key = affinity_key(exchange)?;
    Some(xxh3_64_with_seed(
        key.as_bytes(),
        xxh3_64(service.as_bytes()),
    ))
}

fn affinity_key(exchange: &Exchange) -> Option<&Arc<str>> {
    let key = exchange.head.affinity.as_ref();
    key.filter(|_| exchange.route.affinity)
}
