//! State of one target at this host.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use super::inquiry::Question;
use super::silence::Recheck;
use super::speed::SlowdownReport;
use super::unread::Unread;
use crate::inventory::Registration;
use crate::steer::eject::OutlierDetector;
use crate::steer::rest::Rest;

/// Time for which a target's load report is used; it loses weight with age.
const REPORT_LIFETIME: Duration = Duration::from_secs(1);

/// Time after which a target's measured service time has lost its weight against the mean of its
/// service.
const SERVICE_TIME_LIFETIME: Duration = Duration::from_secs(4);
/// Load that a target reports.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Load {
    /// Requests that it is processing.
    pub running: u32,
    /// Requests that are queued for a slot.
    pub waiting: u32,
    /// Requests that it processes concurrently.
    pub slots: u32,
    /// How long processing currently takes, in multiples of the usual time, if it reports that.
    pub slowdown: Option<f64>,
}

/// Load report that a target attached to an answer.
#[derive(Clone, Copy, Debug)]
pub(super) struct LoadReport {
    pub(super) received: Instant,
    /// Requests of other hosts at the target.
    pub(super) other_requests: u32,
}

/// One target.
#[derive(Clone, Debug)]
pub struct Member {
    pub(super) registration: Arc<Registration>,
    pub(super) region: Arc<str>,
    /// Whether it is in the region of this host.
    pub(super) is_local: bool,
    pub(super) id_hash: u64,
    /// Digest of its process.
    pub(super) process: u64,
    pub(super) in_flight: u32,
    pub(super) report: Option<LoadReport>,
    pub(super) slowdown_report: Option<SlowdownReport>,
    pub(super) cold_until: Option<Instant>,
    /// When this host last sent a request while the target was cold; in the future during the pause
    /// that follows a report that it is cold.
    pub(super) last_cold_request: Option<Instant>,
    pub(super) outlier_detector: OutlierDetector,
    /// When it is removed, if its registration is missing in the store.
    pub(super) lapsed_until: Option<Instant>,
    /// When it last registered again after its registration had lapsed.
    pub(super) returned_at: Option<Instant>,
    /// Whether another target answered at its address.
    pub(super) is_misdirected: bool,
    /// Its mean service time in seconds, and when that was last measured.
    pub(super) service_time: Option<(f64, Instant)>,
    /// Its mean slowdown over the same answers.
    pub(super) measured_slowdown: f64,
    /// Since when it has sent no answer, while it has requests or has left some unanswered.
    pub(super) silent_since: Option<Instant>,
    /// Requests that were given up after it had been silent for too long, since its last answer.
    pub(super) unanswered: u32,
    /// Requests of this host that have waited for it longer than usual.
    pub(super) overdue: u32,
    /// When this host last knew that it answers.
    pub(super) heard_at: Option<Instant>,
    /// The last requests that were given up since its last answer.
    pub(super) unread: Vec<Unread>,
    /// Until when it counts as silent, as another host says.
    pub(super) reported_silent_until: Option<Instant>,
    /// When it last answered another host, as that host says.
    pub(super) answered_elsewhere_at: Option<Instant>,
    /// What this host is asking others about it, and when it last asked.
    pub(super) question: Option<Question>,
    pub(super) asked_at: Option<Instant>,
    /// Until when the last replies count that no other host had an answer either.
    pub(super) replied_until: Option<Instant>,
    /// Until when it gets no new requests, as no host is known to have had an answer.
    pub(super) doubted_until: Option<Instant>,
    /// Whether the log says that it is silent by this host's requests.
    pub(super) is_silence_noted: bool,
    /// When this host last told the others that it is silent.
    pub(super) silence_told_at: Option<Instant>,
    /// Health checks of the silent target.
    pub(super) recheck: Recheck,
    /// When a connection to it last failed, if none was opened since.
    pub(super) connect_failed_at: Option<Instant>,
    /// The rest that it asked this host for.
    pub(super) rest: Rest,
    /// When its load was last seen at its limit, if requests share insufficient capacity.
    pub(super) full_at: Option<Instant>,
}

/// Returns a digest of the process of a registered target. Registrations of one process have the
/// same digest, see [`Registration::is_same_process`].
pub(super) fn process_digest(registration: &Registration) -> u64 {
    let address = xxh3_64(registration.address.to_string().as_bytes());
    let start = address ^ registration.born.unwrap_or_default();
    xxh3_64_with_seed(registration.id.as_bytes(), start)
}

/// Returns the weight of a target's mean service time against that of its service.
fn service_time_weight(now: Instant, measured: Instant) -> f64 {
    let age = now.saturating_duration_since(measured);
    (1.0 - age.as_secs_f64() / SERVICE_TIME_LIFETIME.as_secs_f64()).max(0.0)
}

impl Member {
    /// Returns a digest of its identity and process.
    pub fn digest(&self) -> u64 {
        self.id_hash ^ self.registration.born.unwrap_or_default()
    }

    /// Returns the identity of its process.
    pub fn id(&self) -> &Arc<str> {
        &self.registration.id
    }

    /// Returns the address at which it listens.
    pub fn address(&self) -> SocketAddr {
        self.registration.address
    }

    /// Returns its region.
    pub fn region(&self) -> &Arc<str> {
        &self.region
    }

    /// Returns its service.
    pub fn service(&self) -> &Arc<str> {
        &self.registration.service
    }

    /// Counts a request that is being sent to it.
    pub(super) fn begin_request(&mut self, now: Instant) {
        if self.in_flight == 0 && self.unanswered == 0 {
            self.silent_since = Some(now);
        }
        self.in_flight += 1;
    }

    /// Returns its estimated load in requests: those of this host, and those that it reported of
    /// other hosts; these approach `assumed` while there are no reports.
    pub(super) fn load(&self, now: Instant, assumed: f64) -> f64 {
        let others = self.report.map_or(assumed, |report| {
            let age = now.saturating_duration_since(report.received);
            let weight = (1.0 - age.as_secs_f64() / REPORT_LIFETIME.as_secs_f64()).max(0.0);
            assumed + (f64::from(report.other_requests) - assumed) * weight
        });
        f64::from(self.in_flight) + others
    }

    /// Returns its service time in seconds; it approaches `mean`, that of its service, while there
    /// are no answers.
    pub(super) fn service_time(&self, now: Instant, mean: f64) -> f64 {
        self.service_time.map_or(mean, |(service_time, measured)| {
            mean + (service_time - mean) * service_time_weight(now, measured)
        })
    }

    /// Returns its mean slowdown over the answers that [`Member::service_time`] is measured from.
    pub(super) fn mean_slowdown(&self, now: Instant) -> f64 {
        self.service_time.map_or(1.0, |(_, measured)| {
            1.0 + (self.measured_slowdown - 1.0) * service_time_weight(now, measured)
        })
    }

    pub(super) fn is_cold(&self, now: Instant) -> bool {
        self.cold_until.is_some_and(|until| now < until)
    }
}

/// Estimated state of a target, for metrics.
#[derive(Clone, Copy, Debug)]
pub struct TargetEstimate<'a> {
    /// The identity of its process.
    pub target: &'a Arc<str>,
    /// The service it belongs to.
    pub service: &'a Arc<str>,
    /// Requests in flight from all hosts.
    pub load: f64,
    /// Service time in seconds.
    pub service_time: f64,
    /// Expected duration of processing in multiples of the usual one.
    pub slowdown: f64,
    /// Whether it is not ejected.
    pub is_in_use: bool,
    /// Whether it is shutting down.
    pub is_leaving: bool,
    /// How much longer it wants no requests from this host.
    pub rest_left: Duration,
    /// The requests a second that it accepts from all hosts, if it announces a rate.
    pub rate: Option<f64>,
    /// If it is cold, the requests a second that this host may send to it.
    pub cold_rate: Option<f64>,
}
