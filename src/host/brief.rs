//! Requests that the limits of the log leave without a line of their own: one line a second names
//! them by ID and target, so that each of them can be found afterwards.

use std::collections::BTreeMap;
use std::fmt::Write;
use std::sync::Arc;
use std::time::{Duration, Instant};

use http::StatusCode;

use super::log::Event;
use super::{now, Host};
use crate::explain::MAX_BRIEF_ID;
use crate::port::Kind;

/// Time between two lines.
const INTERVAL: Duration = Duration::from_secs(1);
/// Maximum number of attempts that one line names.
const MAX_ATTEMPTS: usize = 1024;
/// Stands for the target of a request that was sent to none.
const NO_TARGET: &str = "-";

/// An attempt of a request.
struct Attempt {
    id: Arc<str>,
    /// Status of the response to the caller, 0 without one.
    status: u16,
    started_at: Instant,
    took: Duration,
}

/// The attempts that the next line names.
#[derive(Default)]
pub(crate) struct Brief {
    written_at: Option<Instant>,
    /// Attempts by target.
    attempts: BTreeMap<Arc<str>, Vec<Attempt>>,
    count: usize,
    left_out: u64,
}

impl Brief {
    /// Adds a request with its attempts, each by the target, its start and its duration.
    pub(crate) fn add(
        &mut self,
        id: Option<&Arc<str>>,
        status: Option<StatusCode>,
        started_at: Instant,
        attempts: impl Iterator<Item = (Arc<str>, Instant, Duration)>,
    ) {
        let Some(id) = id else {
            return;
        };
        let status = status.map_or(0, |status| status.as_u16());
        let mut attempts = attempts.peekable();
        if attempts.peek().is_none() {
            self.push(NO_TARGET.into(), id, status, started_at, Duration::ZERO);
        }
        for (target, started_at, took) in attempts {
            self.push(target, id, status, started_at, took);
        }
    }

    fn push(
        &mut self,
        target: Arc<str>,
        id: &Arc<str>,
        status: u16,
        started_at: Instant,
        took: Duration,
    ) {
        if self.count >= MAX_ATTEMPTS {
            self.left_out += 1;
            return;
        }
        self.count += 1;
        self.attempts.entry(target).or_default().push(Attempt {
            id: id.clone(),
            status,
            started_at,
            took,
        });
    }

    /// Describes the attempts, by target: `TARGET ID=STATUS@START+DURATION`, with the start as
    /// milliseconds before `now`.
    fn describe(&self, now: Instant) -> String {
        let mut text = String::new();
        for (target, attempts) in &self.attempts {
            let separator = if text.is_empty() { "" } else { "; " };
            text += separator;
            text += target;
            for attempt in attempts {
                let started = now.saturating_duration_since(attempt.started_at);
                // Writing to a string can't fail.
                let _ = write!(
                    text,
                    " {}={}@{}+{}",
                    shorten(&attempt.id),
                    attempt.status,
                    started.as_millis(),
                    attempt.took.as_millis()
                );
            }
        }
        text
    }
}

/// Shortens an ID: callers choose theirs.
fn shorten(id: &str) -> &str {
    &id[..id.floor_char_boundary(MAX_BRIEF_ID)]
}

/// Writes the line if it is due.
pub(crate) fn write_if_due(host: &Host) {
    let now = now();
    let written_at = host.brief.borrow().written_at;
    if written_at.is_none_or(|at| now.saturating_duration_since(at) >= INTERVAL) {
        write(host, now);
    }
}

/// Writes the line, unless it would name no request.
pub(crate) fn write(host: &Host, now: Instant) {
    let brief = std::mem::take(&mut *host.brief.borrow_mut());
    host.brief.borrow_mut().written_at = Some(now);
    if brief.attempts.is_empty() {
        return;
    }
    let core = host.core.borrow();
    let revision = core.replica.revision(Kind::Targets).unwrap_or_default();
    let age = core.copy_age(now, Kind::Targets);
    spdlog::info!("request: finished without a line of their own", kv: {
        event = Event::Brief.as_str(),
        requests = brief.describe(now).as_str(),
        targets_revision = revision.to_string().as_str(),
        targets_age_ms = u64::try_from(age.as_millis()).unwrap_or(u64::MAX),
        left_out = brief.left_out
    });
}
