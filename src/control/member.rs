//! One entry host as another sees it.

use std::sync::Arc;
use std::time::{Duration, Instant};

use super::beat::{millis, Known, State};
use super::detector::Detector;
use crate::catalog::{self, ZoneKey};

/// Time from a broken link to death when nobody hears the host.
pub const CONFIRM: Duration = Duration::from_millis(800);
/// Silence after which a host known only through others is suspected.
const REMOTE_SUSPECT: Duration = Duration::from_secs(8);
/// Silence after which a host known only through others is dead.
pub(super) const REMOTE_DEAD: Duration = Duration::from_secs(12);

/// What the platform's lagging list says of a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Listing {
    /// Listed as live.
    Live,
    /// Listed as leaving.
    Leaving,
    /// Not listed.
    Absent,
}

/// What is believed of a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Status {
    /// Never heard.
    Unknown,
    /// Heard lately.
    Alive,
    /// Silent for too long, or its link broke.
    Suspect,
    /// Silent, and nobody else hears it.
    Dead,
}

/// The link to a host, as far as there is to be one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Link {
    Absent,
    /// It is to be opened since then.
    Opening(Instant),
    Up,
    Down(Instant),
}

/// What is known of one host.
#[derive(Clone, Debug)]
pub(super) struct Record {
    pub(super) name: Arc<str>,
    pub(super) zone: ZoneKey,
    pub(super) incarnation: u64,
    pub(super) sequence: u64,
    pub(super) state: State,
    /// Last heard over a link.
    pub(super) direct: Option<Instant>,
    /// Last heard at all.
    pub(super) heard: Option<Instant>,
    /// Whether it was last heard only in that its zone vouched for it.
    pub(super) vouched: bool,
    pub(super) link: Link,
    pub(super) detector: Detector,
    pub(super) listing: Listing,
    pub(super) status: Status,
    /// Whether the host says that it does not hear this one.
    pub(super) unheard: bool,
}

impl Record {
    pub(super) fn new(host: &catalog::Host) -> Self {
        Self {
            name: host.name.clone(),
            zone: host.zone,
            incarnation: 0,
            sequence: 0,
            state: State::Serving,
            direct: None,
            heard: None,
            vouched: false,
            link: Link::Absent,
            detector: Detector::default(),
            listing: Listing::Live,
            status: Status::Unknown,
            unheard: false,
        }
    }

    /// Whether there is, or was until now, a link to the host.
    pub(super) fn linked(&self) -> bool {
        matches!(self.link, Link::Up | Link::Down(_)) || self.direct.is_some()
    }

    /// Whether the link is still to be opened.
    pub(super) fn opening(&self) -> bool {
        matches!(self.link, Link::Opening(_))
    }

    /// Silences after which the host is suspected, and dead.
    pub(super) fn limits(&self) -> (Duration, Duration) {
        if self.linked() {
            (self.detector.suspect(), self.detector.dead())
        } else {
            (REMOTE_SUSPECT, REMOTE_DEAD)
        }
    }

    /// When the link broke, if nothing was heard since.
    fn broken(&self) -> Option<Instant> {
        match self.link {
            Link::Down(at) if self.heard.is_none_or(|heard| heard <= at) => Some(at),
            Link::Down(_) | Link::Up | Link::Opening(_) | Link::Absent => None,
        }
    }

    /// The status at `now`, silence being counted from `resumed` at the earliest.
    pub(super) fn judge(&self, now: Instant, resumed: Instant) -> Status {
        let Some(heard) = self.heard else {
            return Status::Unknown;
        };
        if self.status == Status::Dead {
            return Status::Dead;
        }
        let (suspect, dead) = self.limits();
        let since = heard.max(resumed);
        let silence = now.saturating_duration_since(since);
        if silence >= dead {
            return Status::Dead;
        }
        if let Some(at) = self.broken() {
            let confirmed = now.saturating_duration_since(at) >= CONFIRM;
            let awake = now.saturating_duration_since(resumed) >= dead;
            return if confirmed && awake {
                Status::Dead
            } else {
                Status::Suspect
            };
        }
        match silence >= suspect {
            true if self.listing == Listing::Absent => Status::Dead,
            true => Status::Suspect,
            false => Status::Alive,
        }
    }

    pub(super) fn alive(&self) -> bool {
        matches!(self.status, Status::Alive | Status::Suspect)
    }

    pub(super) fn leaving(&self) -> bool {
        self.state == State::Leaving || self.listing == Listing::Leaving
    }

    pub(super) fn known(&self, now: Instant) -> Option<Known> {
        let heard = self.heard?;
        Some(Known {
            host: self.name.clone(),
            incarnation: self.incarnation,
            sequence: self.sequence,
            state: self.state,
            age_ms: millis(now.saturating_duration_since(heard)),
            dead: self.status == Status::Dead,
        })
    }
}
