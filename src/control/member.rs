//! The state of one entry host from the view of another.

use std::sync::Arc;
use std::time::{Duration, Instant};

use super::detector::Detector;
use super::heartbeat::{millis, KnownHost, State};
use crate::catalog::{self, ZoneKey};

/// Time from a broken link until the host counts as dead if no other host hears it.
pub const DEATH_CONFIRMATION: Duration = Duration::from_millis(800);
/// Silence after which a host known only through others is suspected.
const REMOTE_SUSPECT_SILENCE: Duration = Duration::from_secs(8);
/// Silence after which a host known only through others is dead.
pub(super) const REMOTE_DEAD_SILENCE: Duration = Duration::from_secs(12);

/// How the platform's list, which lags, shows a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Listing {
    /// Listed as live.
    Live,
    /// Listed as leaving.
    Leaving,
    /// Not listed.
    Absent,
}

/// The status of a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Status {
    /// Never heard.
    Unknown,
    /// Heard recently.
    Alive,
    /// Silent for too long, or its link broke.
    Suspect,
    /// Silent, and no other host hears it.
    Dead,
}

/// The state of the link to a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Link {
    Absent,
    /// It should be opened, since this time.
    Opening(Instant),
    Up,
    Down(Instant),
}

/// The known state of one host.
#[derive(Clone, Debug)]
pub(super) struct PeerState {
    pub(super) name: Arc<str>,
    pub(super) zone: ZoneKey,
    pub(super) incarnation: u64,
    pub(super) sequence: u64,
    pub(super) state: State,
    /// When it was last heard over a link.
    pub(super) last_direct: Option<Instant>,
    /// When it was last heard at all.
    pub(super) last_heard: Option<Instant>,
    /// Whether its most recent sign of life is the confirmation of its zone's roster.
    pub(super) is_confirmed: bool,
    pub(super) link: Link,
    pub(super) detector: Detector,
    pub(super) listing: Listing,
    pub(super) status: Status,
    /// Whether the host reports that it does not hear this one.
    pub(super) is_unheard: bool,
}

impl PeerState {
    pub(super) fn new(host: &catalog::Host) -> Self {
        Self {
            name: host.name.clone(),
            zone: host.zone,
            incarnation: 0,
            sequence: 0,
            state: State::Serving,
            last_direct: None,
            last_heard: None,
            is_confirmed: false,
            link: Link::Absent,
            detector: Detector::default(),
            listing: Listing::Live,
            status: Status::Unknown,
            is_unheard: false,
        }
    }

    /// Whether there is a link to the host, or there was one that was not closed on purpose.
    pub(super) fn is_linked(&self) -> bool {
        matches!(self.link, Link::Up | Link::Down(_)) || self.last_direct.is_some()
    }

    /// Whether the link is still to be opened.
    pub(super) fn is_opening(&self) -> bool {
        matches!(self.link, Link::Opening(_))
    }

    /// The silences after which the host is suspected, and after which it counts as dead.
    pub(super) fn silence_limits(&self) -> (Duration, Duration) {
        if self.is_linked() {
            (self.detector.suspect_after(), self.detector.dead_after())
        } else {
            (REMOTE_SUSPECT_SILENCE, REMOTE_DEAD_SILENCE)
        }
    }

    /// When the link broke, if the host has not been heard since.
    fn broken_since(&self) -> Option<Instant> {
        match self.link {
            Link::Down(at) if self.last_heard.is_none_or(|heard| heard <= at) => Some(at),
            Link::Down(_) | Link::Up | Link::Opening(_) | Link::Absent => None,
        }
    }

    /// The status at `now`. Silence is counted from `resumed` at the earliest.
    pub(super) fn evaluate(&self, now: Instant, resumed: Instant) -> Status {
        let Some(heard) = self.last_heard else {
            return Status::Unknown;
        };
        if self.status == Status::Dead {
            return Status::Dead;
        }
        let (suspect, dead) = self.silence_limits();
        let since = heard.max(resumed);
        let silence = now.saturating_duration_since(since);
        if silence >= dead {
            return Status::Dead;
        }
        if let Some(at) = self.broken_since() {
            let confirmed = now.saturating_duration_since(at) >= DEATH_CONFIRMATION;
            let is_pause_over = now.saturating_duration_since(resumed) >= dead;
            return if confirmed && is_pause_over {
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

    pub(super) fn is_alive(&self) -> bool {
        matches!(self.status, Status::Alive | Status::Suspect)
    }

    pub(super) fn is_leaving(&self) -> bool {
        self.state == State::Leaving || self.listing == Listing::Leaving
    }

    pub(super) fn to_known(&self, now: Instant) -> Option<KnownHost> {
        let heard = self.last_heard?;
        Some(KnownHost {
            host: self.name.clone(),
            incarnation: self.incarnation,
            sequence: self.sequence,
            state: self.state,
            age_ms: millis(now.saturating_duration_since(heard)),
            dead: self.status == Status::Dead,
        })
    }
}
