//! Metrics, through `opentelemetry`, in Prometheus' text format.

use std::sync::Arc;
use std::time::Duration;

use opentelemetry::metrics::{Counter, Gauge, Histogram, Meter, MeterProvider};
use opentelemetry::KeyValue;
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Encoder, Registry, TextEncoder};

use super::Error;
use crate::budget::{Budget, Shortage};
use crate::steer::fleet::{PopularObjects, TargetEstimate};

/// Bounds of latency histograms, in seconds.
const LATENCY_BUCKETS: [f64; 16] = [
    0.000_1, 0.000_25, 0.000_5, 0.001, 0.002_5, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5,
    10.0, 60.0,
];
/// Bounds of the histogram of attempts.
const ATTEMPT_BUCKETS: [f64; 5] = [1.0, 2.0, 3.0, 4.0, 8.0];

/// The metrics of one entry host.
pub(crate) struct Metrics {
    registry: Registry,
    // Kept because instruments stop recording when their provider is dropped.
    _provider: SdkMeterProvider,
    lookups: Counter<u64>,
    requests: Histogram<f64>,
    added: Histogram<f64>,
    queued: Histogram<f64>,
    attempts: Histogram<u64>,
    refusals: Counter<u64>,
    late_answers: Counter<u64>,
    store_answers: Histogram<f64>,
    store_connections: Histogram<f64>,
    undelivered: Counter<u64>,
    after_departure: Counter<u64>,
    rebuilds: Counter<u64>,
    closed_peers: Counter<u64>,
    held_bytes: Gauge<u64>,
    held_connections: Gauge<u64>,
    task_failures: Counter<u64>,
    headroom: Gauge<f64>,
    revision: Gauge<u64>,
    repeats_left: Gauge<u64>,
    load: Gauge<f64>,
    service_time: Gauge<f64>,
    slowdown: Gauge<f64>,
    usable: Gauge<u64>,
    cold_rate: Gauge<f64>,
    rate: Gauge<f64>,
    age: Gauge<f64>,
    hosts: Gauge<u64>,
    leaving: Gauge<u64>,
    rest: Gauge<f64>,
    reaches_targets: Gauge<u64>,
    popular_objects: Gauge<u64>,
    popular_holders: Gauge<u64>,
}

/// The measurements of one completed request.
pub(crate) struct RequestSample<'a> {
    pub(crate) service: &'a Arc<str>,
    pub(crate) class: &'a Arc<str>,
    pub(crate) outcome: &'static str,
    /// From the request's arrival to its answer.
    pub(crate) total: Duration,
    /// The part of `total` not spent on attempts at targets or other hosts.
    pub(crate) added: Duration,
    /// The part of `total` spent in a queue.
    pub(crate) queued: Duration,
    /// Number of attempts made.
    pub(crate) attempts: u32,
}

impl Metrics {
    /// Creates the instruments, which record into their own registry.
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
        // A counter is exported only after it has been added to.
        rebuilds.add(0, &[]);
        Ok(Self {
            rebuilds,
            closed_peers: meter.u64_counter("ragwortfold_closed_peers").build(),
            held_bytes: meter.u64_gauge("ragwortfold_held_bytes").build(),
            held_connections: meter.u64_gauge("ragwortfold_held_connections").build(),
            lookups: meter.u64_counter("ragwortfold_lookups").build(),
            requests: latency_histogram(&meter, "ragwortfold_request_seconds"),
            added: latency_histogram(&meter, "ragwortfold_added_seconds"),
            queued: latency_histogram(&meter, "ragwortfold_queue_seconds"),
            attempts: meter
                .u64_histogram("ragwortfold_attempts")
                .with_boundaries(ATTEMPT_BUCKETS.to_vec())
                .build(),
            refusals: meter.u64_counter("ragwortfold_refusals").build(),
            late_answers: meter.u64_counter("ragwortfold_late_answers").build(),
            store_answers: latency_histogram(&meter, "ragwortfold_store_answer_seconds"),
            store_connections: latency_histogram(&meter, "ragwortfold_store_connect_seconds"),
            undelivered: meter.u64_counter("ragwortfold_undelivered").build(),
            after_departure: meter.u64_counter("ragwortfold_after_departure").build(),
            task_failures: meter.u64_counter("ragwortfold_task_failures").build(),
            headroom: meter.f64_gauge("ragwortfold_headroom").build(),
            revision: meter
                .u64_gauge("ragwortfold_configuration_revision")
                .build(),
            repeats_left: meter.u64_gauge("ragwortfold_repeats_left").build(),
            load: meter.f64_gauge("ragwortfold_target_load").build(),
            service_time: meter.f64_gauge("ragwortfold_target_work_seconds").build(),
            slowdown: meter.f64_gauge("ragwortfold_target_slowdown").build(),
            usable: meter.u64_gauge("ragwortfold_target_usable").build(),
            rate: meter.f64_gauge("ragwortfold_target_rate").build(),
            cold_rate: meter.f64_gauge("ragwortfold_target_cold_rate").build(),
            age: meter.f64_gauge("ragwortfold_age_seconds").build(),
            hosts: meter.u64_gauge("ragwortfold_hosts").build(),
            rest: meter.f64_gauge("ragwortfold_target_rest_seconds").build(),
            leaving: meter.u64_gauge("ragwortfold_target_leaving").build(),
            popular_objects: meter.u64_gauge("ragwortfold_popular_objects").build(),
            popular_holders: meter.u64_gauge("ragwortfold_popular_holders").build(),
            reaches_targets: meter.u64_gauge("ragwortfold_reaches_targets").build(),
            registry,
            _provider: provider,
        })
    }

    /// Counts a peer that was closed since others needed its memory or its connection.
    pub(crate) fn count_closed_peer(&self, shortage: Shortage) {
        self.closed_peers
            .add(1, &[KeyValue::new("reason", shortage.as_str())]);
    }

    /// Sets what is held for peers, and the limits.
    pub(crate) fn set_held(&self, budget: &Budget) {
        let (bytes, peers) = budget.usage();
        let limits = budget.limits();
        let used = [KeyValue::new("kind", "used")];
        let limit = [KeyValue::new("kind", "limit")];
        self.held_bytes.record(bytes as u64, &used);
        self.held_bytes.record(limits.bytes as u64, &limit);
        self.held_connections.record(peers as u64, &used);
        self.held_connections
            .record(limits.connections as u64, &limit);
    }

    /// Counts an answered look-up.
    pub(crate) fn count_lookup(&self, service: &Arc<str>) {
        self.lookups.add(1, &[label("service", service)]);
    }

    /// Records a completed request.
    pub(crate) fn record_request(&self, sample: &RequestSample<'_>) {
        let labels = [
            label("service", sample.service),
            label("class", sample.class),
        ];
        let outcome_labels = [
            labels[0].clone(),
            labels[1].clone(),
            KeyValue::new("outcome", sample.outcome),
        ];
        self.requests
            .record(sample.total.as_secs_f64(), &outcome_labels);
        self.added.record(sample.added.as_secs_f64(), &labels);
        self.queued.record(sample.queued.as_secs_f64(), &labels);
        self.attempts.record(u64::from(sample.attempts), &labels);
    }

    /// Counts a refused request.
    pub(crate) fn count_refusal(&self, service: &Arc<str>, reason: &'static str) {
        let labels = [label("service", service), KeyValue::new("reason", reason)];
        self.refusals.add(1, &labels);
    }

    /// Counts an answer to a request that was already answered.
    pub(crate) fn count_late_answer(&self) {
        self.late_answers.add(1, &[]);
    }

    /// Records how long the store took for an answer.
    pub(crate) fn record_store_answer(&self, took: Duration) {
        self.store_answers.record(took.as_secs_f64(), &[]);
    }

    /// Records how long a connection to the store took to open, or until it was given up.
    pub(crate) fn record_store_connection(&self, took: Duration, is_open: bool) {
        let outcome = if is_open { "open" } else { "failed" };
        self.store_connections
            .record(took.as_secs_f64(), &[KeyValue::new("outcome", outcome)]);
    }

    /// Counts an attempt that ended before its target had acknowledged the request.
    pub(crate) fn count_undelivered(&self, service: &Arc<str>) {
        self.undelivered.add(1, &[label("service", service)]);
    }

    /// Counts an attempt that ended after its target was known to leave, and whether it had started
    /// before that.
    pub(crate) fn count_after_departure(&self, was_sent_before: bool) {
        let sent = if was_sent_before { "before" } else { "after" };
        self.after_departure.add(1, &[KeyValue::new("sent", sent)]);
    }

    /// Counts a task or thread that panicked.
    pub(crate) fn count_task_failure(&self, name: &str) {
        let labels = [KeyValue::new("task", name.to_owned())];
        self.task_failures.add(1, &labels);
    }

    /// Counts a rebuild of the HTTP server, which could not accept a connection.
    pub(crate) fn count_rebuild(&self) {
        self.rebuilds.add(1, &[]);
    }

    /// Sets the free fraction of a region's or link's capacity, 0 to 1.
    #[allow(dead_code, reason = "the core does not tell the headroom yet")]
    pub(crate) fn set_headroom(&self, kind: &'static str, name: &Arc<str>, free: f64) {
        let labels = [KeyValue::new("kind", kind), label("name", name)];
        self.headroom.record(free, &labels);
    }

    /// Sets the revision of the configuration in force.
    pub(crate) fn set_revision(&self, revision: u64) {
        self.revision.record(revision, &[]);
    }

    /// Sets what is left of a service's retry budget at this host.
    pub(crate) fn set_repeats_left(&self, service: &Arc<str>, left: u64) {
        self.repeats_left.record(left, &[label("service", service)]);
    }

    /// Sets the estimates for a target.
    pub(crate) fn set_target_estimate(&self, estimate: &TargetEstimate<'_>) {
        let labels = [
            label("service", estimate.service),
            label("target", estimate.target),
        ];
        self.load.record(estimate.load, &labels);
        self.service_time.record(estimate.service_time, &labels);
        self.slowdown.record(estimate.slowdown, &labels);
        self.usable.record(estimate.is_in_use.into(), &labels);
        let rest_left = estimate.rest_left.as_secs_f64();
        self.rest.record(rest_left, &labels);
        self.leaving.record(estimate.is_leaving.into(), &labels);
        // The rate of a warm target is not limited.
        let rate = estimate.cold_rate.unwrap_or(f64::INFINITY);
        self.cold_rate.record(rate, &labels);
        let rate = estimate.rate.unwrap_or(f64::INFINITY);
        self.rate.record(rate, &labels);
    }

    /// Sets the number of popular objects of a service, and the sum of their holders.
    pub(crate) fn set_popular_objects(&self, popular: &PopularObjects<'_>) {
        let labels = [label("service", popular.service)];
        self.popular_objects.record(popular.objects as u64, &labels);
        self.popular_holders.record(popular.holders as u64, &labels);
    }

    /// Sets the time since the last update of some kind of data.
    pub(crate) fn set_age(&self, of: &'static str, age: Duration) {
        self.age
            .record(age.as_secs_f64(), &[KeyValue::new("of", of)]);
    }

    /// Sets the number of hosts in a state.
    pub(crate) fn set_host_count(&self, state: &'static str, count: usize) {
        self.hosts
            .record(count as u64, &[KeyValue::new("state", state)]);
    }

    /// Sets whether this host reaches targets.
    pub(crate) fn set_reaches_targets(&self, reaches_targets: bool) {
        self.reaches_targets.record(u64::from(reaches_targets), &[]);
    }

    /// Encodes all metrics in the text format.
    pub(crate) fn encode(&self) -> Vec<u8> {
        let mut buffer = Vec::new();
        if let Err(error) = TextEncoder::new().encode(&self.registry.gather(), &mut buffer) {
            spdlog::warn!("metrics: cannot write them: {error}");
        }
        buffer
    }
}

fn latency_histogram(meter: &Meter, name: &'static str) -> Histogram<f64> {
    meter
        .f64_histogram(name)
        .with_boundaries(LATENCY_BUCKETS.to_vec())
        .build()
}

fn label(name: &'static str, value: &Arc<str>) -> KeyValue {
    KeyValue::new(name, value.clone())
}
