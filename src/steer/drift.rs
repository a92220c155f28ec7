//! Drift: the share of a host's requests that run in other regions. It changes slowly, and it is
//! selected by keys.
//!
//! Requests overflow to other regions when the targets of the own region are full or have nothing
//! cached. A request that overflows arrives at a target without its object in the cache, and all of
//! them would return at once when the overflow ends. So a share of the keys, always the same ones
//! by their hashes, is permanently served elsewhere: the share grows while more than
//! [`MAX_RETURN_STEP`] of the requests overflow in addition to it, shrinks while fewer do, and
//! changes by a limited step each second. In a region whose slots are highly utilized,
//! [`Balance`](super::balance::Balance) sets a least change.

use std::time::{Duration, Instant};

/// Span over which the share is measured.
const MEASUREMENT_SPAN: Duration = Duration::from_secs(1);
/// Share of all requests that may return in one span: two steps stay below the usual cap on shifts,
/// 0.15 in 2 s, with a margin for differences between hosts.
const MAX_RETURN_STEP: f64 = 0.05;
/// Share of all requests by which the requests that leave may exceed those of the previous span,
/// while they could stay.
const MAX_LEAVE_STEP: f64 = 0.06;
/// Requests in a span that are enough to measure the share.
const MIN_SPAN_REQUESTS: u32 = 4;
/// Time for which the initial share is kept, which is computed from the region's slots alone.
/// Requests that return after it are few compared with all that move in the two seconds to which
/// operators' caps apply.
const INITIAL_SHARE_TRIAL: Duration = Duration::from_millis(200);
/// Time for which a decrease in the region's usable slots counts as a loss. Requests that such a
/// loss displaces have to leave at once, and its targets may take as long to return.
const SLOT_LOSS_SPAN: Duration = Duration::from_secs(10);
/// Share of the former slots below which the missing ones count as a loss: single targets come and
/// go every day.
const USUAL_SLOTS_SHARE: f64 = 0.9;

/// The share of requests that run in other regions.
#[derive(Clone, Copy, Debug)]
pub struct Drift {
    span_start: Instant,
    requests: u32,
    remote_requests: u32,
    /// Requests that left although their keys did not have to.
    overflow_requests: u32,
    /// Whether the key of the last request has to leave.
    is_leaving_key: bool,
    /// Least change after the current span, if utilization matters.
    min_change: Option<f64>,
    /// Share of the keys that have to leave, and the measured share of the previous span.
    remote_share: f64,
    last_share: f64,
    /// Whether no measurement has confirmed yet that the initial share is needed.
    is_on_trial: bool,
    slot_history: SlotHistory,
}

impl Drift {
    /// Returns a drift of zero without measurements.
    pub fn new(now: Instant) -> Self {
        Self {
            span_start: now,
            requests: 0,
            remote_requests: 0,
            overflow_requests: 0,
            is_leaving_key: false,
            min_change: None,
            remote_share: 0.0,
            last_share: 0.0,
            is_on_trial: false,
            slot_history: SlotHistory::new(now),
        }
    }

    /// Sets the share of requests that leave from the start.
    pub fn with_initial_share(mut self, share: f64) -> Self {
        self.remote_share = share;
        self.last_share = share;
        self.is_on_trial = share > 0.0;
        self
    }

    /// Sets the share to zero after [`INITIAL_SHARE_TRIAL`], if the requests a second so far show
    /// that the region has ample capacity. Its slots alone only show that it has fewer than other
    /// regions, not that it needs more.
    pub fn review_initial_share(
        &mut self,
        now: Instant,
        has_ample_capacity: impl FnOnce(f64) -> bool,
    ) {
        let age = now.saturating_duration_since(self.span_start);
        if !self.is_on_trial || age < INITIAL_SHARE_TRIAL {
            return;
        }
        self.is_on_trial = false;
        if age < MEASUREMENT_SPAN
            && has_ample_capacity(f64::from(self.requests) / age.as_secs_f64())
        {
            self.remote_share = 0.0;
            self.last_share = 0.0;
        }
    }

    /// Counts a request.
    pub fn record_request(&mut self, now: Instant, is_remote: bool) {
        self.advance_span(now);
        self.requests += 1;
        self.remote_requests += u32::from(is_remote);
        self.overflow_requests += u32::from(is_remote && !self.is_leaving_key);
    }

    /// Whether another request may leave the region that could as well stay.
    pub fn may_leave(&mut self, now: Instant) -> bool {
        self.advance_span(now);
        let limit =
            f64::from(self.requests.max(MIN_SPAN_REQUESTS)) * (self.last_share + MAX_LEAVE_STEP);
        f64::from(self.remote_requests) < limit
    }

    /// Records the usable slots of the own region. Returns whether some were lost lately, so that
    /// requests have to leave however many they are.
    pub fn detect_slot_loss(&mut self, now: Instant, slots: u32) -> bool {
        self.slot_history.record_slots(now, slots);
        self.slot_history.has_lost_slots()
    }

    /// Whether the key of a request belongs to the share that has to leave, although the request
    /// could stay.
    pub fn has_to_leave(&mut self, now: Instant, key: u64) -> bool {
        self.advance_span(now);
        self.is_leaving(key)
    }

    /// Whether a key belongs to the share that has to leave in the current span.
    fn is_leaving(&self, key: u64) -> bool {
        (key as f64 / u64::MAX as f64) < self.remote_share
    }

    /// Records the key of the request that is counted next, to tell overflow from keys that have to
    /// leave.
    pub fn record_key(&mut self, key: u64) {
        self.is_leaving_key = self.is_leaving(key);
    }

    /// Returns the share of the keys that have to leave.
    pub fn remote_share(&self) -> f64 {
        self.remote_share
    }

    /// Whether the current span has ended, and the share is about to change.
    pub fn is_change_due(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.span_start) >= MEASUREMENT_SPAN
    }

    /// Changes the share if that is due, by `min_change` or more. `None`: the share follows the
    /// overflow alone.
    pub fn change(&mut self, now: Instant, min_change: Option<f64>) {
        self.min_change = min_change;
        self.advance_span(now);
    }

    /// Updates the share from the finished span, if one has ended.
    fn advance_span(&mut self, now: Instant) {
        let spans = now.saturating_duration_since(self.span_start).as_secs_f64()
            / MEASUREMENT_SPAN.as_secs_f64();
        if spans < 1.0 {
            return;
        }
        let min_share = self.remote_share - MAX_RETURN_STEP * spans.floor();
        let max_share = self.remote_share + MAX_LEAVE_STEP;
        if self.requests >= MIN_SPAN_REQUESTS {
            self.last_share = f64::from(self.remote_requests) / f64::from(self.requests);
            self.remote_share = match self.min_change {
                Some(min_change) => self.balanced_share(min_change),
                None => (self.last_share - MAX_RETURN_STEP).clamp(min_share, max_share),
            };
        } else {
            self.last_share = self.remote_share;
            self.remote_share = match self.min_change {
                Some(min_change) => self.remote_share + min_change.min(0.0),
                None => min_share,
            };
        }
        self.remote_share = self.remote_share.clamp(0.0, 1.0);
        self.span_start = now;
        self.requests = 0;
        self.remote_requests = 0;
        self.overflow_requests = 0;
    }

    /// Returns the share for the next span, which changes by `min_change` or more if the overflow
    /// requires it. The overflow is counted apart from the keys that have to leave: the measured
    /// share of all requests varies by 0.09 at a host with 30 of them in a span, and a share that
    /// hardly shrinks would grow with each deviation.
    fn balanced_share(&self, min_change: f64) -> f64 {
        let overflow_share = f64::from(self.overflow_requests) / f64::from(self.requests);
        let change = (overflow_share - MAX_RETURN_STEP).max(min_change);
        self.remote_share + change.clamp(-MAX_RETURN_STEP, MAX_LEAVE_STEP)
    }
}

/// Usable slots of a region, now and before.
#[derive(Clone, Copy, Debug)]
struct SlotHistory {
    current: u32,
    /// Maximum in the current span of [`SLOT_LOSS_SPAN`] and in the previous one.
    max_current: u32,
    max_previous: u32,
    span_start: Instant,
}

impl SlotHistory {
    fn new(now: Instant) -> Self {
        Self {
            current: 0,
            max_current: 0,
            max_previous: 0,
            span_start: now,
        }
    }

    fn record_slots(&mut self, now: Instant, slots: u32) {
        if now.saturating_duration_since(self.span_start) >= SLOT_LOSS_SPAN {
            self.max_previous = self.max_current;
            self.max_current = 0;
            self.span_start = now;
        }
        self.current = slots;
        self.max_current = self.max_current.max(slots);
    }

    fn has_lost_slots(&self) -> bool {
        let max_slots = f64::from(self.max_current.max(self.max_previous));
        f64::from(self.current) < max_slots * USUAL_SLOTS_SHARE
    }
}
