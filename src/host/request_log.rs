//! Logs each request and updates its metrics.

use std::fmt::{self, Display, Formatter};
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use http::header::HOST;
use http::{request, HeaderMap, StatusCode};

use super::attempt::InFlight;
use super::client::{Connection, Transfer};
use super::exchange::Exchange;
use super::log::Event;
use super::running::{Index, Monitor};
use super::staleness::STALE_AGE;
use super::{now, relay, serve, Host};
use crate::control::revision::Revision;
use crate::entry::metrics::RequestSample;
use crate::inventory::TargetKey;
use crate::port::Kind;
use crate::steer::fleet::{End, Refusal, TargetQuery};

/// Maximum names of unknown headers that are logged: a target could send any number of them.
const MAX_UNKNOWN_HEADERS: usize = 32;

/// One attempt of a request, at a target or by way of another host.
pub(crate) struct Attempt {
    /// The target, or `host` and the other host's name.
    to: Arc<str>,
    /// The target, if it was sent to one directly.
    key: Option<TargetKey>,
    started_at: Instant,
    end: AttemptEnd,
    took: Duration,
    /// How long this host had known at its end that the target leaves or is missing.
    departed_for: Option<Duration>,
    transfer: Rc<Transfer>,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug)]
enum AttemptEnd {
    /// At a target.
    Target(End),
    /// By way of another host, in a word.
    Relay(&'static str),
}

impl Display for AttemptEnd {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match self {
            Self::Target(end) => f.write_str(&format!("{end:?}").to_lowercase()),
            Self::Relay(end) => f.write_str(end),
        }
    }
}

impl Display for Attempt {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let milliseconds = self.took.as_millis();
        write!(f, "{} {} after {milliseconds} ms", self.to, self.end)?;
        if let Some(time) = self.departed_for {
            write!(f, ", {} ms after its departure", time.as_millis())?;
        }
        match self.transfer.unacknowledged() {
            0 => Ok(()),
            count => write!(f, " with {count} bytes unacknowledged"),
        }
    }
}

impl Attempt {
    fn new(to: Arc<str>, key: Option<TargetKey>, started_at: Instant) -> Self {
        Self {
            to,
            key,
            started_at,
            end: AttemptEnd::Target(End::Cancelled),
            took: Duration::ZERO,
            departed_for: None,
            transfer: Rc::default(),
        }
    }

    fn finish(&mut self, end: AttemptEnd) {
        self.end = end;
        self.took = now().saturating_duration_since(self.started_at);
    }
}

/// Why no further target was tried.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum StopReason {
    /// A target answered the request.
    Answered,
    /// The request must not run twice, and may have run.
    MayHaveRun,
    /// No target accepted the request.
    Refused(Refusal),
    /// The route's limit of attempts was reached.
    Attempts,
    /// The request's time was over.
    Time,
    /// The retry budget was used up.
    Budget,
    /// The request's body was not buffered completely.
    Body,
    /// The caller disconnected.
    Left,
    /// The request is suspected to crash targets and is not sent again.
    Suspected,
    /// This host can't reach targets, and no other host takes the request.
    CutOff,
    /// The host that the request was relayed to refused it; it may be sent again after this time.
    Relayed(Duration),
    /// The request crashed several targets and may be sent again after this time.
    Quarantined(Duration),
}

impl StopReason {
    /// Whether no further target is tried later, while an attempt is still waited for.
    pub(crate) fn is_final(self) -> bool {
        !matches!(self, Self::Refused(_) | Self::Budget)
    }

    fn as_str(self) -> &'static str {
        match self {
            Self::Answered => "answered",
            Self::MayHaveRun => "may-have-run",
            Self::Refused(Refusal::NoTarget) => "no-target",
            Self::Refused(Refusal::Full) => "full",
            Self::Refused(Refusal::FairShare) => "fair-share",
            Self::Attempts => "attempts",
            Self::Time => "time",
            Self::Budget => "budget",
            Self::Body => "body",
            Self::Left => "caller-left",
            Self::CutOff => "cut-off",
            Self::Relayed(_) => "relayed",
            Self::Suspected => "suspected",
            Self::Quarantined(_) => "quarantined",
        }
    }
}

/// The copy of the registered targets that a target was chosen from.
#[derive(Clone, Copy, Default)]
struct TargetsCopy {
    revision: Revision,
    /// Time since the store last confirmed it.
    age: Duration,
}

/// The attempts of one request, and why no further one was made.
pub(crate) struct RequestTrace {
    pub(crate) started_at: Instant,
    /// The copy of the targets at the start of the last attempt.
    targets: TargetsCopy,
    pub(crate) attempts: Vec<Attempt>,
    pub(crate) stop_reason: StopReason,
}

impl RequestTrace {
    pub(crate) fn new(started_at: Instant) -> Self {
        Self {
            started_at,
            targets: TargetsCopy::default(),
            attempts: Vec::new(),
            stop_reason: StopReason::Answered,
        }
    }

    /// Adds an attempt that starts. Returns its number.
    pub(crate) fn start_attempt(
        &mut self,
        host: &Host,
        in_flight: &InFlight,
        id: Option<&Arc<str>>,
    ) -> Index {
        let core = &mut *host.core.borrow_mut();
        let target = core.fleet.member(in_flight.target);
        let target = target.map_or_else(|| "gone".into(), |member| member.id().clone());
        let age = core.copy_age(now(), Kind::Targets);
        self.targets = TargetsCopy {
            revision: core.replica.revision(Kind::Targets).unwrap_or_default(),
            age,
        };
        if age >= STALE_AGE {
            core.stale_attempts.add(&target, id, age);
        }
        self.attempts.push(Attempt::new(
            target,
            Some(in_flight.target),
            in_flight.started_at,
        ));
        self.attempts.len() - 1
    }

    /// Observes the connection of the last attempt.
    pub(crate) fn observe(&mut self, connection: &Connection) {
        if let Some(last) = self.attempts.last_mut() {
            last.transfer = connection.transfer();
        }
    }

    /// Records the end of an attempt.
    pub(crate) fn finish_attempt(&mut self, index: Index, in_flight: &InFlight) {
        if let Some(attempt) = self.attempts.get_mut(index) {
            attempt.finish(AttemptEnd::Target(in_flight.end));
            attempt.departed_for = in_flight.departed_for();
        }
    }

    /// Records that the attempts that still run are given up.
    pub(crate) fn give_up_attempts(&mut self, host: &Host, monitor: &Monitor) {
        let now = now();
        for (index, attempt) in self.attempts.iter_mut().enumerate() {
            if !attempt.took.is_zero() {
                continue;
            }
            if monitor.contains(index) {
                attempt.end = AttemptEnd::Target(End::Silent);
            }
            attempt.took = now.saturating_duration_since(attempt.started_at);
            let departed_at = attempt
                .key
                .and_then(|key| host.core.borrow().fleet.departed_at(key));
            attempt.departed_for = departed_at.map(|at| now.saturating_duration_since(at));
        }
    }

    /// Adds an attempt by way of another host that starts.
    pub(crate) fn start_relay(&mut self, host: &str) {
        let to = format!("host {host}").into();
        self.attempts.push(Attempt::new(to, None, now()));
    }

    /// Records the end of the last attempt, which was by way of another host.
    pub(crate) fn finish_relay(&mut self, outcome: &relay::Outcome) {
        if let Some(last) = self.attempts.last_mut() {
            last.finish(AttemptEnd::Relay(outcome.describe()));
        }
    }

    /// Records that the caller disconnected, possibly during attempts.
    pub(crate) fn abandon(&mut self, host: &Host) {
        self.give_up_attempts(host, &Monitor::default());
        self.stop_reason = StopReason::Left;
    }

    fn describe_attempts(&self) -> String {
        let attempts = self.attempts.iter().map(Attempt::to_string);
        attempts.collect::<Vec<_>>().join(", ")
    }
}

/// Logs a finished request and updates its metrics; without a status its caller has disconnected.
pub(crate) fn log_request(
    host: &Host,
    exchange: &Exchange,
    query: &TargetQuery<'_>,
    trace: &RequestTrace,
    status: Option<StatusCode>,
) {
    let total = now().saturating_duration_since(trace.started_at);
    let event = status.map_or(Event::Abandoned, event_for);
    update_metrics(host, exchange, query.service, trace, event, total);
    log_after_departure(host, exchange, trace);
    let Some(left_out) = host.log_limits.borrow_mut().take(now(), event) else {
        let attempts = trace.attempts.iter();
        let attempts =
            attempts.map(|attempt| (attempt.to.clone(), attempt.started_at, attempt.took));
        let brief = &mut *host.brief.borrow_mut();
        brief.add(
            exchange.head.id.as_ref(),
            status,
            trace.started_at,
            attempts,
        );
        return;
    };
    let core = host.core.borrow();
    let id = exchange.head.id.as_deref().unwrap_or_default();
    let left = exchange.deadline.saturating_duration_since(now());
    spdlog::info!("request: finished", kv: {
        event = event.as_str(),
        id,
        status = status.map_or(0, |status| status.as_u16()),
        reason = trace.stop_reason.as_str(),
        route = &*exchange.route.name,
        path = exchange.parts.uri.path(),
        caller = serve::caller_address(&exchange.parts.extensions).to_string().as_str(),
        fingerprint = exchange.fingerprint.to_string().as_str(),
        account = exchange.admitted.caller.account().map_or("", |account| &account.name),
        service = &**query.service,
        tries = trace.describe_attempts().as_str(),
        targets_revision = trace.targets.revision.to_string().as_str(),
        targets_age_ms = u64::try_from(trace.targets.age.as_millis()).unwrap_or(u64::MAX),
        choices = core.fleet.describe_choices(now(), query).as_str(),
        total_ms = total.as_millis() as u64,
        left_ms = left.as_millis() as u64,
        configuration = core.table.version().unwrap_or_default(),
        sight = format!("{:?}", core.presence.store_view()).as_str(),
        left_out
    });
}

/// Logs the attempts of a request that ended after this host had learned that their target leaves.
fn log_after_departure(host: &Host, exchange: &Exchange, trace: &RequestTrace) {
    let event = Event::AfterDeparture;
    let attempts = trace.attempts.iter();
    for attempt in attempts.filter(|attempt| attempt.departed_for.is_some()) {
        let Some(left_out) = host.log_limits.borrow_mut().take(now(), event) else {
            return;
        };
        spdlog::info!("exchange: an attempt ended after its target's departure was known", kv: {
            event = event.as_str(),
            id = exchange.head.id.as_deref().unwrap_or_default(),
            target = &*attempt.to,
            attempt = attempt.to_string().as_str(),
            left_out
        });
    }
}

/// Why a request was answered before a target was chosen.
#[derive(Clone, Copy)]
pub(crate) struct Rejection<'a> {
    pub(crate) reason: &'a str,
    pub(crate) detail: &'a str,
    /// The account whose quota is used up, otherwise empty.
    pub(crate) account: &'a str,
}

/// Logs a request that was answered before a target was chosen.
pub(crate) fn log_rejected(
    host: &Host,
    parts: &request::Parts,
    started_at: Instant,
    status: StatusCode,
    rejection: Rejection<'_>,
) {
    let Some(left_out) = host.log_limits.borrow_mut().take(now(), Event::Rejected) else {
        return;
    };
    let head = (host.platform.wire.head)(parts);
    let name = parts.headers.get(HOST).map(|name| name.to_str());
    spdlog::info!("request: rejected", kv: {
        event = Event::Rejected.as_str(),
        id = head.id.as_deref().unwrap_or_default(),
        status = status.as_u16(),
        reason = rejection.reason,
        detail = rejection.detail,
        account = rejection.account,
        name = name.and_then(Result::ok).unwrap_or_default(),
        path = parts.uri.path(),
        total_ms = now().saturating_duration_since(started_at).as_millis() as u64,
        configuration = host.core.borrow().table.version().unwrap_or_default(),
        left_out
    });
}

/// Logs each unknown header name in targets' answers once: the header may request something that
/// the host does not support.
pub(crate) fn log_unknown_headers(host: &Host, target: TargetKey, headers: &HeaderMap) {
    let unknown = headers
        .iter()
        .filter(|(name, _)| !(host.platform.wire.is_usual)(name));
    for (name, value) in unknown {
        let known = &mut *host.unknown_headers.borrow_mut();
        if known.len() >= MAX_UNKNOWN_HEADERS || known.contains(name.as_str()) {
            continue;
        }
        known.insert(name.as_str().into());
        let core = host.core.borrow();
        let target = core.fleet.member(target);
        spdlog::warn!("exchange: a target's answer has an unknown header", kv: {
            event = Event::UnknownHeader.as_str(),
            name = name.as_str(),
            value = format!("{value:?}").as_str(),
            target = target.map(|member| &**member.id()).unwrap_or_default()
        });
    }
}

/// Logs that a target's answer carries the ID of another request.
pub(crate) fn log_stray(host: &Host, exchange: &Exchange, in_flight: &InFlight) {
    let Some(left_out) = host.log_limits.borrow_mut().take(now(), Event::StrayAnswer) else {
        return;
    };
    let core = host.core.borrow();
    let target = core.fleet.member(in_flight.target);
    let target = target.map(|member| &**member.id()).unwrap_or_default();
    spdlog::warn!("exchange: a target's answer carries the ID of another request", kv: {
        event = Event::StrayAnswer.as_str(),
        id = exchange.head.id.as_deref().unwrap_or_default(),
        target,
        left_out
    });
}

fn event_for(status: StatusCode) -> Event {
    match status {
        StatusCode::SERVICE_UNAVAILABLE => Event::Refused,
        status if status.is_server_error() => Event::Failed,
        _ => Event::Answered,
    }
}

fn update_metrics(
    host: &Host,
    exchange: &Exchange,
    service: &Arc<str>,
    trace: &RequestTrace,
    event: Event,
    total: Duration,
) {
    let attempt_time: Duration = trace.attempts.iter().map(|attempt| attempt.took).sum();
    host.metrics.record_request(&RequestSample {
        service,
        class: &exchange.route.name,
        outcome: match event {
            Event::Answered => "answered",
            Event::Refused => "not-run",
            Event::Abandoned => "abandoned",
            _ => "unknown",
        },
        total,
        added: total.saturating_sub(attempt_time),
        queued: Duration::ZERO,
        attempts: trace.attempts.len() as u32,
    });
    for attempt in &trace.attempts {
        if attempt.transfer.unacknowledged() > 0 {
            host.metrics.count_undelivered(service);
        }
    }
    if event == Event::Refused {
        host.metrics
            .count_refusal(service, trace.stop_reason.as_str());
    }
}
