//! What is kept of each request: a line in the log, and metrics.

use std::sync::Arc;
use std::time::{Duration, Instant};

use http::header::HOST;
use http::{request, HeaderMap, StatusCode};

use super::exchange::{Exchange, Grant};
use super::log::Event;
use super::{now, serve, Host};
use crate::entry::metrics::Sample;
use crate::inventory::TargetKey;
use crate::steer::fleet::{Ask, End, Refusal};

/// Names of unknown headers that are logged at most: whoever writes them may write any.
const UNKNOWN_HEADERS: usize = 32;

/// One try of a request.
pub(crate) struct Try {
    target: Arc<str>,
    begun: Instant,
    end: End,
    took: Duration,
}

/// Why no further target was tried.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Stop {
    /// The answer was good.
    Answered,
    /// The request must not run twice, and may have run.
    MayHaveRun,
    /// No target took it.
    Refused(Refusal),
    /// It was sent as often as its route allows.
    Attempts,
    /// Its time is over.
    Time,
    /// The budget of repeats is used up.
    Budget,
    /// Its body was not kept.
    Body,
    /// Its caller left.
    Left,
    /// It is suspected to crash targets, and is not repeated.
    Suspected,
    /// It crashed several targets, and may be tried again after this time.
    Quarantined(Duration),
}

impl Stop {
    fn as_str(self) -> &'static str {
        match self {
            Self::Answered => "answered",
            Self::MayHaveRun => "may-have-run",
            Self::Refused(Refusal::NoTarget) => "no-target",
            Self::Refused(Refusal::Full) => "full",
            Self::Attempts => "attempts",
            Self::Time => "time",
            Self::Budget => "budget",
            Self::Body => "body",
            Self::Left => "caller-left",
            Self::Suspected => "suspected",
            Self::Quarantined(_) => "quarantined",
        }
    }
}

/// The course of one request.
pub(crate) struct Story {
    pub(crate) begun: Instant,
    pub(crate) tries: Vec<Try>,
    pub(crate) stop: Stop,
}

impl Story {
    pub(crate) fn new(begun: Instant) -> Self {
        Self {
            begun,
            tries: Vec::new(),
            stop: Stop::Answered,
        }
    }

    /// Adds a try that begins.
    pub(crate) fn begin(&mut self, host: &Host, grant: &Grant) {
        let core = host.core.borrow();
        let target = core.fleet.member(grant.target);
        self.tries.push(Try {
            target: target.map_or_else(|| "gone".into(), |member| member.id().clone()),
            begun: grant.begun,
            end: End::Cancelled,
            took: Duration::ZERO,
        });
    }

    /// The last try has ended.
    pub(crate) fn end(&mut self, grant: &Grant) {
        if let Some(last) = self.tries.last_mut() {
            last.end = grant.end;
            last.took = now().saturating_duration_since(last.begun);
        }
    }

    /// The caller has left, in the middle of the last try if there is one.
    pub(crate) fn leave(&mut self, now: Instant) {
        if let Some(last) = self.tries.last_mut() {
            if last.took.is_zero() {
                last.took = now.saturating_duration_since(last.begun);
            }
        }
        self.stop = Stop::Left;
    }

    fn tries(&self) -> String {
        let tries = self.tries.iter().map(|one| {
            let end = format!("{:?}", one.end).to_lowercase();
            format!("{} {end} after {} ms", one.target, one.took.as_millis())
        });
        tries.collect::<Vec<_>>().join(", ")
    }
}

/// Keeps what became of a request; without a status its caller has left.
pub(crate) fn request(
    host: &Host,
    exchange: &Exchange,
    ask: &Ask<'_>,
    story: &Story,
    status: Option<StatusCode>,
) {
    let total = now().saturating_duration_since(story.begun);
    let event = status.map_or(Event::Abandoned, event);
    count(host, exchange, ask.service, story, event, total);
    let Some(left_out) = host.limits.borrow_mut().take(now(), event) else {
        return;
    };
    let core = host.core.borrow();
    let id = exchange.head.id.as_deref().unwrap_or_default();
    let left = exchange.deadline.saturating_duration_since(now());
    spdlog::info!("request: ended", kv: {
        event = event.as_str(),
        id,
        status = status.map_or(0, |status| status.as_u16()),
        reason = story.stop.as_str(),
        route = &*exchange.route.name,
        path = exchange.parts.uri.path(),
        caller = serve::caller(&exchange.parts.extensions).to_string().as_str(),
        fingerprint = exchange.fingerprint.to_string().as_str(),
        account = exchange.admitted.caller.account().map_or("", |account| &account.name),
        service = &**ask.service,
        tries = story.tries().as_str(),
        choices = core.fleet.explain(now(), ask).as_str(),
        total_ms = total.as_millis() as u64,
        left_ms = left.as_millis() as u64,
        configuration = core.table.version().unwrap_or_default(),
        sight = format!("{:?}", core.presence.store_view()).as_str(),
        left_out
    });
}

/// Keeps that a request was answered before a target was looked for.
pub(crate) fn rejected(
    host: &Host,
    parts: &request::Parts,
    begun: Instant,
    status: StatusCode,
    reason: &str,
    detail: &str,
) {
    let Some(left_out) = host.limits.borrow_mut().take(now(), Event::Rejected) else {
        return;
    };
    let head = (host.platform.wire.head)(parts);
    let name = parts.headers.get(HOST).map(|name| name.to_str());
    spdlog::info!("request: rejected", kv: {
        event = Event::Rejected.as_str(),
        id = head.id.as_deref().unwrap_or_default(),
        status = status.as_u16(),
        reason,
        detail,
        name = name.and_then(Result::ok).unwrap_or_default(),
        path = parts.uri.path(),
        total_ms = now().saturating_duration_since(begun).as_millis() as u64,
        configuration = host.core.borrow().table.version().unwrap_or_default(),
        left_out
    });
}

/// Keeps that a target's answer has headers that nobody here knows, once for each name: they may ask for something.
pub(crate) fn headers(host: &Host, target: TargetKey, headers: &HeaderMap) {
    let unknown = headers
        .iter()
        .filter(|(name, _)| !(host.platform.wire.is_usual)(name));
    for (name, value) in unknown {
        let known = &mut *host.unknown_headers.borrow_mut();
        if known.len() >= UNKNOWN_HEADERS || known.contains(name.as_str()) {
            continue;
        }
        known.insert(name.as_str().into());
        let core = host.core.borrow();
        let target = core.fleet.member(target);
        spdlog::warn!("exchange: a target's answer has a header that is not known", kv: {
            event = Event::Header.as_str(),
            name = name.as_str(),
            value = format!("{value:?}").as_str(),
            target = target.map(|member| &**member.id()).unwrap_or_default()
        });
    }
}

/// Keeps that a target's answer names another request than the one it got.
pub(crate) fn stray(host: &Host, exchange: &Exchange, grant: &Grant) {
    let Some(left_out) = host.limits.borrow_mut().take(now(), Event::Stray) else {
        return;
    };
    let core = host.core.borrow();
    let target = core.fleet.member(grant.target);
    let target = target.map(|member| &**member.id()).unwrap_or_default();
    spdlog::warn!("exchange: an answer to another request", kv: {
        event = Event::Stray.as_str(),
        id = exchange.head.id.as_deref().unwrap_or_default(),
        target,
        left_out
    });
}

fn event(status: StatusCode) -> Event {
    match status {
        StatusCode::SERVICE_UNAVAILABLE => Event::Refused,
        status if status.is_server_error() => Event::Failed,
        _ => Event::Answered,
    }
}

fn count(
    host: &Host,
    exchange: &Exchange,
    service: &Arc<str>,
    story: &Story,
    event: Event,
    total: Duration,
) {
    let tried: Duration = story.tries.iter().map(|one| one.took).sum();
    host.metrics.request(&Sample {
        service,
        class: &exchange.route.name,
        outcome: match event {
            Event::Answered => "answered",
            Event::Refused => "not-run",
            Event::Abandoned => "abandoned",
            _ => "unknown",
        },
        total,
        added: total.saturating_sub(tried),
        waited: Duration::ZERO,
        attempts: story.tries.len() as u32,
    });
    if event == Event::Refused {
        host.metrics.refusal(service, story.stop.as_str());
    }
}
