//! Metrics, through `opentelemetry`, in Prometheus' text format.

use std::sync::Arc;
use std::time::Duration;

use opentelemetry::metrics::{Counter, Gauge, Histogram, Meter, MeterProvider};
use opentelemetry::KeyValue;
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Encoder, Registry, TextEncoder};

use super::Error;
use crate::steer::fleet::TargetEstimate;

/// Bounds of latency histograms, in seconds.
const SECONDS: [f64; 16] = [
    0.000_1, 0.000_25, 0.000_5, 0.001, 0.002_5, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5,
    10.0, 60.0,
];
/// Bounds of the histogram of attempts.
const ATTEMPTS: [f64; 5] = [1.0, 2.0, 3.0, 4.0, 8.0];

/// The metrics of one entry host.
pub(crate) struct Metrics {
    registry: Registry,
    // Instruments stop recording when their provider goes.
    _provider: SdkMeterProvider,
    lookups: Counter<u64>,
    requests: Histogram<f64>,
    added: Histogram<f64>,
    waited: Histogram<f64>,
    attempts: Histogram<u64>,
    refusals: Counter<u64>,
    late: Counter<u64>,
    rebuilds: Counter<u64>,
    headroom: Gauge<f64>,
    revision: Gauge<u64>,
    repeats: Gauge<u64>,
    load: Gauge<f64>,
    work: Gauge<f64>,
    usable: Gauge<u64>,
    cold_rate: Gauge<f64>,
    rate: Gauge<f64>,
    age: Gauge<f64>,
    hosts: Gauge<u64>,
}

/// What is recorded of a request.
pub(crate) struct Sample<'a> {
    pub(crate) service: &'a Arc<str>,
    pub(crate) class: &'a Arc<str>,
    pub(crate) outcome: &'static str,
    /// From the request's arrival to its answer.
    pub(crate) total: Duration,
    /// Of that, not spent waiting for a target.
    pub(crate) added: Duration,
    /// Of that, spent in a queue.
    pub(crate) waited: Duration,
    /// Calls made.
    pub(crate) attempts: u32,
}

impl Metrics {
    /// Instruments that record into a registry of their own.
    pub(crate) fn new() -> Result<Self, Error> {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .without_target_info()
            .build()
            .map_err(Error::metrics)?;
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        let meter = provider.meter("ragwortfold");
        let rebuilds = meter.u64_counter("ragwortfold_http_rebuilds").build();
        // A counter shows up only once it was added to.
        rebuilds.add(0, &[]);
        Ok(Self {
            rebuilds,
            lookups: meter.u64_counter("ragwortfold_lookups").build(),
            requests: seconds(&meter, "ragwortfold_request_seconds"),
            added: seconds(&meter, "ragwortfold_added_seconds"),
            waited: seconds(&meter, "ragwortfold_queue_seconds"),
            attempts: meter
                .u64_histogram("ragwortfold_attempts")
                .with_boundaries(ATTEMPTS.to_vec())
                .build(),
            refusals: meter.u64_counter("ragwortfold_refusals").build(),
            late: meter.u64_counter("ragwortfold_late_answers").build(),
            headroom: meter.f64_gauge("ragwortfold_headroom").build(),
            revision: meter
                .u64_gauge("ragwortfold_configuration_revision")
                .build(),
            repeats: meter.u64_gauge("ragwortfold_repeats_left").build(),
            load: meter.f64_gauge("ragwortfold_target_load").build(),
            work: meter.f64_gauge("ragwortfold_target_work_seconds").build(),
            usable: meter.u64_gauge("ragwortfold_target_usable").build(),
            rate: meter.f64_gauge("ragwortfold_target_rate").build(),
            cold_rate: meter.f64_gauge("ragwortfold_target_cold_rate").build(),
            age: meter.f64_gauge("ragwortfold_age_seconds").build(),
            hosts: meter.u64_gauge("ragwortfold_hosts").build(),
            registry,
            _provider: provider,
        })
    }

    /// A look-up was answered.
    pub(crate) fn lookup(&self, service: &Arc<str>) {
        self.lookups.add(1, &[text("service", service)]);
    }

    /// A request ended.
    pub(crate) fn request(&self, sample: &Sample<'_>) {
        let both = [text("service", sample.service), text("class", sample.class)];
        let outcome = [
            both[0].clone(),
            both[1].clone(),
            KeyValue::new("outcome", sample.outcome),
        ];
        self.requests.record(sample.total.as_secs_f64(), &outcome);
        self.added.record(sample.added.as_secs_f64(), &both);
        self.waited.record(sample.waited.as_secs_f64(), &both);
        self.attempts.record(u64::from(sample.attempts), &both);
    }

    /// A request was refused.
    pub(crate) fn refusal(&self, service: &Arc<str>, reason: &'static str) {
        let labels = [text("service", service), KeyValue::new("reason", reason)];
        self.refusals.add(1, &labels);
    }

    /// An answer came for a request that had its answer already.
    pub(crate) fn late(&self) {
        self.late.add(1, &[]);
    }

    /// The HTTP server had to be built anew, since it could not accept a connection.
    pub(crate) fn rebuilt(&self) {
        self.rebuilds.add(1, &[]);
    }

    /// The part of a region's or link's capacity that is free, 0 to 1.
    #[allow(dead_code, reason = "the core does not tell the headroom yet")]
    pub(crate) fn headroom(&self, kind: &'static str, name: &Arc<str>, free: f64) {
        let labels = [KeyValue::new("kind", kind), text("name", name)];
        self.headroom.record(free, &labels);
    }

    /// The configuration in force.
    pub(crate) fn revision(&self, revision: u64) {
        self.revision.record(revision, &[]);
    }

    /// What is left of a service's budget of repeats at this host.
    pub(crate) fn repeats(&self, service: &Arc<str>, left: u64) {
        self.repeats.record(left, &[text("service", service)]);
    }

    /// What is believed of a target.
    pub(crate) fn belief(&self, belief: &TargetEstimate<'_>) {
        let labels = [
            text("service", belief.service),
            text("target", belief.target),
        ];
        self.load.record(belief.load, &labels);
        self.work.record(belief.service_time, &labels);
        self.usable.record(belief.is_in_use.into(), &labels);
        // A target that is warm may get any rate.
        let rate = belief.cold_rate.unwrap_or(f64::INFINITY);
        self.cold_rate.record(rate, &labels);
        let rate = belief.rate.unwrap_or(f64::INFINITY);
        self.rate.record(rate, &labels);
    }

    /// The time since something was last heard of.
    pub(crate) fn age(&self, of: &'static str, age: Duration) {
        self.age
            .record(age.as_secs_f64(), &[KeyValue::new("of", of)]);
    }

    /// The number of hosts in a state.
    pub(crate) fn hosts(&self, state: &'static str, count: usize) {
        self.hosts
            .record(count as u64, &[KeyValue::new("state", state)]);
    }

    /// All metrics as text.
    pub(crate) fn text(&self) -> Vec<u8> {
        let mut buffer = Vec::new();
        if let Err(error) = TextEncoder::new().encode(&self.registry.gather(), &mut buffer) {
            spdlog::warn!("metrics: cannot write them: {error}");
        }
        buffer
    }
}

fn seconds(meter: &Meter, name: &'static str) -> Histogram<f64> {
    meter
        .f64_histogram(name)
        .with_boundaries(SECONDS.to_vec())
        .build()
}

fn text(name: &'static str, value: &Arc<str>) -> KeyValue {
    KeyValue::new(name, value.clone())
}
