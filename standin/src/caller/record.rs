//! What became of calls, as their caller saw it.

use std::sync::Arc;

use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};

/// What a caller was told of a call or of one attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// The whole answer to this very call.
    Answered,
    /// It did not run: said so, or no connection came about.
    NotRun,
    /// It may have run.
    Unknown,
    /// An answer that is not whole or not this call's.
    Wrong,
}

/// One attempt of a call.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Attempt {
    /// The entry host it went to.
    pub host: Arc<str>,
    /// What came of it.
    pub outcome: Outcome,
    /// The status of the answer, 0 if there was none.
    pub status: u16,
    /// Whether the answer itself said so, rather than a broken connection.
    pub told: bool,
    /// What went wrong, in words.
    pub error: Option<Arc<str>>,
}

/// One call.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Record {
    /// Its identity, sent as `Standin-Call`.
    pub call: Arc<str>,
    /// Its class.
    pub class: Arc<str>,
    /// Its service.
    pub service: Arc<str>,
    /// The region it comes from.
    pub region: Arc<str>,
    /// When it was due, in microseconds since the Unix epoch.
    pub start_us: u64,
    /// From when it was due to its end, in microseconds.
    pub latency_us: u64,
    /// What came of it. Unknown if any attempt may have run and none was answered.
    pub outcome: Outcome,
    /// Its `Idempotency-Key`, if it bore one.
    pub key: Option<Arc<str>>,
    /// Its `Ragwortfold-Ticket`, if it bore one.
    pub ticket: Option<Arc<str>>,
    /// The target that answered.
    pub target: Option<Arc<str>>,
    /// That target's availability zone.
    pub zone: Option<Arc<str>>,
    /// Its attempts in order.
    pub attempts: Vec<Attempt>,
}

/// The calls of a caller in figures.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Report {
    /// The class.
    pub class: Arc<str>,
    /// The region.
    pub region: Arc<str>,
    /// Calls that were due.
    pub offered: u64,
    /// Calls that the caller itself could not make, since all its threads were busy.
    pub missed: u64,
    /// Calls by outcome.
    pub answered: u64,
    /// See [`Outcome::NotRun`].
    pub not_run: u64,
    /// See [`Outcome::Unknown`].
    pub unknown: u64,
    /// See [`Outcome::Wrong`].
    pub wrong: u64,
    /// Attempts of all calls.
    pub attempts: u64,
    /// Latency of the answered calls, in milliseconds.
    pub p50_ms: f64,
    /// The same.
    pub p99_ms: f64,
    /// The same.
    pub p999_ms: f64,
    /// The same.
    pub max_ms: f64,
}

impl Report {
    /// Notes a call's end.
    pub(super) fn count(&mut self, record: &Record) {
        self.attempts += record.attempts.len() as u64;
        match record.outcome {
            Outcome::Answered => self.answered += 1,
            Outcome::NotRun => self.not_run += 1,
            Outcome::Unknown => self.unknown += 1,
            Outcome::Wrong => self.wrong += 1,
        }
    }

    /// Fills in the latencies, recorded in microseconds.
    pub(super) fn with_latency(mut self, histogram: &Histogram<u64>) -> Self {
        let ms = |quantile| histogram.value_at_quantile(quantile) as f64 / 1000.0;
        self.p50_ms = ms(0.5);
        self.p99_ms = ms(0.99);
        self.p999_ms = ms(0.999);
        self.max_ms = histogram.max() as f64 / 1000.0;
        self
    }
}
