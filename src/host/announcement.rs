//! Records what targets state about their processes in their answers.

use std::sync::Arc;
use std::time::Duration;

use super::attempt::InFlight;
use super::log::Event;
use super::{now, Host};
use crate::inventory::TargetKey;
use crate::port::Answer;
use crate::steer::announcement::{Announcement, Rest};

/// The target whose process sent an answer: the one that the answer names, or the one that the
/// request was sent to unless the answer says that another one has its address.
pub(crate) fn source(host: &Host, in_flight: &InFlight, answer: &Answer) -> Option<TargetKey> {
    match &answer.target {
        Some(id) => host.core.borrow().fleet.key(id),
        None => (!answer.misdirected).then_some(in_flight.target),
    }
}

/// Records the statements in an answer of a target.
pub(crate) fn record(host: &Host, target: Option<TargetKey>, announcement: &Announcement) {
    let Some(target) = target else {
        return;
    };
    if announcement.is_leaving {
        log_change(host, Event::TargetLeaving, target, None);
    }
    match &announcement.rest {
        Rest::Absent => {}
        Rest::For(time) => log_change(host, Event::Resting, target, Some(*time)),
        Rest::Unreadable(text) => log_unreadable_rest(host, target, text),
    }
}

/// Logs that a target is shutting down, or asks for a rest of some time.
fn log_change(host: &Host, event: Event, target: TargetKey, rest: Option<Duration>) {
    let Some(left_out) = host.log_limits.borrow_mut().take(now(), event) else {
        return;
    };
    let id = target_id(host, target);
    let rest_ms = rest.map_or(0, |rest| {
        u64::try_from(rest.as_millis()).unwrap_or(u64::MAX)
    });
    spdlog::info!("a target announces that it leaves or rests", kv: {
        event = event.as_str(),
        target = &*id,
        rest_ms,
        left_out
    });
}

/// Logs that a rest can't be parsed; it has no effect.
fn log_unreadable_rest(host: &Host, target: TargetKey, value: &str) {
    let event = Event::UnreadableRest;
    let Some(left_out) = host.log_limits.borrow_mut().take(now(), event) else {
        return;
    };
    let id = target_id(host, target);
    spdlog::warn!("cannot parse the rest that a target asks for", kv: {
        event = event.as_str(),
        target = &*id,
        value,
        left_out
    });
}

fn target_id(host: &Host, target: TargetKey) -> Arc<str> {
    let core = host.core.borrow();
    let member = core.fleet.member(target);
    member.map_or_else(|| "gone".into(), |member| member.id().clone())
}
