//! Statistics of a service's requests: service times at its targets, and answer sizes.

use super::admission::Admission;

/// Assumed service time while it is not measured, in seconds.
const DEFAULT_SERVICE_TIME_S: f64 = 0.1;
/// Assumed size of an answer's body while it is not measured, in bytes.
const DEFAULT_ANSWER_BYTES: f64 = 4096.0;
/// Weight of one answer in the means of a service.
const MEAN_WEIGHT: f64 = 0.02;
/// Weight of one answer in the times of first and repeat visits, each of which gets only some of a
/// service's answers.
const VISIT_WEIGHT: f64 = 0.05;

/// Factor on the peak service time for each further answer: it halves after some 350.
const PEAK_DECAY: f64 = 0.998;
/// Answers needed before the peak service time is used.
const MIN_ANSWERS: u32 = 50;

/// Statistics of one service, measured from its answers.
#[derive(Clone, Copy, Debug)]
pub(super) struct ServiceStats {
    /// Mean service time in seconds, at the usual speed of targets.
    pub(super) service_time: f64,
    /// Mean size of an answer's body in bytes.
    pub(super) answer_bytes: f64,
    /// Limit on the queues at the service's targets.
    pub(super) admission: Admission,
    /// Peak service time in seconds, which decays with each answer.
    peak_service_time: f64,
    /// Number of answers.
    answer_count: u32,
    /// Mean service time of objects that are new to the target, in seconds, once there was one.
    first_visit: Option<f64>,
    /// Mean service time of objects that the target has cached.
    repeat_visit: Option<f64>,
}

impl Default for ServiceStats {
    fn default() -> Self {
        Self {
            service_time: DEFAULT_SERVICE_TIME_S,
            answer_bytes: DEFAULT_ANSWER_BYTES,
            admission: Admission::default(),
            peak_service_time: 0.0,
            answer_count: 0,
            first_visit: None,
            repeat_visit: None,
        }
    }
}

impl ServiceStats {
    /// Records the service time of a request, and what it would have been at the target's usual
    /// speed. The peak contains slow periods: a target that is slow is not silent.
    pub(super) fn record_service_time(&mut self, service_time: f64, usual_time: f64) {
        update_mean(&mut self.service_time, usual_time, MEAN_WEIGHT);
        self.peak_service_time = service_time.max(self.peak_service_time * PEAK_DECAY);
        self.answer_count = self.answer_count.saturating_add(1);
    }

    /// Records the service time of an object at the usual speed, and whether it was new to the target.
    pub(super) fn record_visit(&mut self, is_first: bool, service_time: f64) {
        let mean = if is_first {
            &mut self.first_visit
        } else {
            &mut self.repeat_visit
        };
        update_mean(mean.get_or_insert(service_time), service_time, VISIT_WEIGHT);
    }

    /// Records the size of an answer's body.
    pub(super) fn record_answer_bytes(&mut self, answer_bytes: u64) {
        update_mean(&mut self.answer_bytes, answer_bytes as f64, MEAN_WEIGHT);
    }

    /// Returns how much longer a first visit takes, in seconds; zero until both times are known.
    pub(super) fn first_visit_penalty(&self) -> f64 {
        match (self.first_visit, self.repeat_visit) {
            (Some(first_visit), Some(repeat_visit)) => (first_visit - repeat_visit).max(0.0),
            _ => 0.0,
        }
    }

    /// Returns the mean service time of an object in seconds by whether it may be new to the target.
    pub(super) fn processing_time(&self, may_be_first: bool) -> f64 {
        let visit = if may_be_first {
            self.first_visit
        } else {
            self.repeat_visit
        };
        visit.unwrap_or(self.service_time)
    }

    /// Returns the service time of objects that the target has cached, in seconds; that of all
    /// requests until it is known.
    pub(super) fn repeat_time(&self) -> f64 {
        self.repeat_visit.unwrap_or(self.service_time)
    }

    /// Returns the peak service time over the last few hundred answers, in seconds; `None` until
    /// there were enough.
    pub(super) fn longest_service_time(&self) -> Option<f64> {
        (self.answer_count >= MIN_ANSWERS).then_some(self.peak_service_time)
    }
}

fn update_mean(mean: &mut f64, value: f64, weight: f64) {
    *mean += (value - *mean) * weight;
}
