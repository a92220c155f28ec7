//! One target, as a host sees it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::inventory::Registration;
use crate::steer::eject::Eject;

/// How long a target's report of its load counts; older ones say nothing about now.
const REPORT_AGE: Duration = Duration::from_secs(1);

/// After this time without an answer a target is taken to work like the others of its service.
const WORK_AGE: Duration = Duration::from_secs(4);
/// The load that a target tells of itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Load {
    /// Requests it works on.
    pub running: u32,
    /// Requests that wait for a slot.
    pub waiting: u32,
    /// Requests it works on at once.
    pub slots: u32,
}

#[derive(Clone, Copy, Debug)]
pub(super) struct Report {
    pub(super) at: Instant,
    /// What others than this host had there.
    pub(super) others: u32,
}

/// One target as this host sees it.
#[derive(Clone, Debug)]
pub struct Member {
    pub(super) registration: Arc<Registration>,
    pub(super) region: Arc<str>,
    /// Whether that is the region of this host.
    pub(super) is_near: bool,
    pub(super) seed: u64,
    pub(super) in_flight: u32,
    pub(super) report: Option<Report>,
    pub(super) cold_until: Option<Instant>,
    pub(super) cold_token: Option<Instant>,
    pub(super) eject: Eject,
    pub(super) lapsed: Option<Instant>,
    pub(super) misdirected: bool,
    /// The time it works on a request, in seconds, and when that was last measured.
    pub(super) work: Option<(f64, Instant)>,
    /// Since when it has answered nothing, while it has requests.
    pub(super) unheard: Option<Instant>,
    /// When no connection to it could be opened last, if none was opened since.
    pub(super) unreached: Option<Instant>,
}

impl Member {
    /// A digest of its identity and of its process.
    pub fn digest(&self) -> u64 {
        self.seed ^ self.registration.born.unwrap_or_default()
    }

    /// The identity of its process.
    pub fn id(&self) -> &Arc<str> {
        &self.registration.id
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.registration.address
    }

    /// The region it is in.
    pub fn region(&self) -> &Arc<str> {
        &self.region
    }

    /// The service it belongs to.
    pub fn service(&self) -> &Arc<str> {
        &self.registration.service
    }

    /// Counts a request that begins.
    pub(super) fn begin(&mut self, now: Instant) {
        if self.in_flight == 0 {
            self.unheard = Some(now);
        }
        self.in_flight += 1;
    }

    pub(super) fn load(&self, now: Instant) -> f64 {
        let others = self.report.map_or(0.0, |report| {
            let age = now.saturating_duration_since(report.at);
            let left = 1.0 - age.as_secs_f64() / REPORT_AGE.as_secs_f64();
            f64::from(report.others) * left.max(0.0)
        });
        f64::from(self.in_flight) + others
    }

    /// The time it works on a request, in seconds; what is usual if there was no answer lately.
    pub(super) fn work(&self, now: Instant, usual: f64) -> f64 {
        self.work.map_or(usual, |(work, at)| {
            let age = now.saturating_duration_since(at);
            let left = (1.0 - age.as_secs_f64() / WORK_AGE.as_secs_f64()).max(0.0);
            usual + (work - usual) * left
        })
    }

    pub(super) fn is_cold(&self, now: Instant) -> bool {
        self.cold_until.is_some_and(|until| now < until)
    }
}

/// What a host believes of a target.
#[derive(Clone, Copy, Debug)]
pub struct Belief<'a> {
    /// The identity of its process.
    pub target: &'a Arc<str>,
    /// The service it belongs to.
    pub service: &'a Arc<str>,
    /// Requests it has, of all hosts.
    pub load: f64,
    /// The time it works on a request, in seconds.
    pub work: f64,
    /// Whether it is in use, as far as failures go.
    pub is_in: bool,
    /// The requests a second that it takes from all hosts, if it names them.
    pub rate: Option<f64>,
    /// If it is cold, the requests a second that this host may send to it.
    pub cold_rate: Option<f64>,
}
