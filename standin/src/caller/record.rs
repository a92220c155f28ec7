//! The results of calls from the caller's point of view.

use std::sync::Arc;

use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};

/// The outcome of a call or of one attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// The caller received the complete response to this call.
    Answered,
    /// The call did not run: the response says so, or no connection was established.
    NotRun,
    /// The call may have run.
    Unknown,
    /// The response is incomplete or belongs to another call.
    Wrong,
}

/// One attempt of a call.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Attempt {
    /// The entry host that it was sent to.
    pub host: Arc<str>,
    /// Its outcome.
    pub outcome: Outcome,
    /// The status of the response, 0 if there was none.
    pub status: u16,
    /// Whether a response named the outcome, rather than the caller concluding it from a failed connection.
    #[serde(rename = "told")]
    pub is_reported: bool,
    /// A description of what went wrong.
    pub error: Option<Arc<str>>,
}

/// One call and its result.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Record {
    /// Its identity, sent as `Standin-Call`.
    pub call: Arc<str>,
    /// Its class.
    pub class: Arc<str>,
    /// Its service.
    pub service: Arc<str>,
    /// The region of its client.
    pub region: Arc<str>,
    /// When it was due, in microseconds since the Unix epoch.
    pub start_us: u64,
    /// Time from when it was due to its end, in microseconds.
    pub latency_us: u64,
    /// Its outcome: unknown if any attempt may have run and none was answered.
    pub outcome: Outcome,
    /// Its `Idempotency-Key`, if it had one.
    pub key: Option<Arc<str>>,
    /// Its `Ragwortfold-Ticket`, if it had one.
    pub ticket: Option<Arc<str>>,
    /// The target that answered.
    pub target: Option<Arc<str>>,
    /// That target's availability zone.
    pub zone: Option<Arc<str>>,
    /// Its attempts in order.
    pub attempts: Vec<Attempt>,
}

/// The statistics of a caller.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Report {
    /// The class.
    pub class: Arc<str>,
    /// The region.
    pub region: Arc<str>,
    /// Calls that were due.
    pub offered: u64,
    /// Calls that were not made since all threads of the caller were busy.
    pub missed: u64,
    /// See [`Outcome::Answered`].
    pub answered: u64,
    /// See [`Outcome::NotRun`].
    pub not_run: u64,
    /// See [`Outcome::Unknown`].
    pub unknown: u64,
    /// See [`Outcome::Wrong`].
    pub wrong: u64,
    /// Attempts of all calls together.
    pub attempts: u64,
    /// Median latency of the answered calls, in milliseconds.
    pub p50_ms: f64,
    /// The 99th percentile of that latency.
    pub p99_ms: f64,
    /// The 99.9th percentile of that latency.
    pub p999_ms: f64,
    /// The maximum of that latency.
    pub max_ms: f64,
}

impl Report {
    /// Counts a finished call.
    pub(super) fn add_record(&mut self, record: &Record) {
        self.attempts += record.attempts.len() as u64;
        match record.outcome {
            Outcome::Answered => self.answered += 1,
            Outcome::NotRun => self.not_run += 1,
            Outcome::Unknown => self.unknown += 1,
            Outcome::Wrong => self.wrong += 1,
        }
    }

    /// Sets the latencies from a histogram in microseconds.
    pub(super) fn with_latency(mut self, histogram: &Histogram<u64>) -> Self {
        let ms = |quantile| histogram.value_at_quantile(quantile) as f64 / 1000.0;
        self.p50_ms = ms(0.5);
        self.p99_ms = ms(0.99);
        self.p999_ms = ms(0.999);
        self.max_ms = histogram.max() as f64 / 1000.0;
        self
    }
}
