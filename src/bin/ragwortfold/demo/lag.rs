//! Measures the scheduling latency of this machine: how much longer a sleep takes than requested.
//!
//! The whole demo runs on one machine, perhaps beside other processes. If threads wait long for a
//! processor, that delay raises the latencies in the report and makes calls miss their deadlines.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;

use super::Error;

/// The requested duration of each measured sleep.
const SLEEP_DURATION: Duration = Duration::from_millis(5);

/// A thread that measures the scheduling latency until it is stopped.
pub(crate) struct LagMonitor {
    stopped: Arc<AtomicBool>,
    thread: JoinHandle<Vec<u64>>,
}

impl LagMonitor {
    /// Starts the thread.
    pub(crate) fn new() -> Result<Self, Error> {
        let stopped = Arc::new(AtomicBool::new(false));
        let thread_stopped = stopped.clone();
        let thread = std::thread::Builder::new()
            .name("lag".into())
            .spawn(move || measure_sleeps(&thread_stopped))
            .map_err(Error::System)?;
        Ok(Self { stopped, thread })
    }

    /// Stops the thread and returns latency quantiles in milliseconds and the load per core, by name.
    pub(crate) fn into_figures(self) -> BTreeMap<String, f64> {
        self.stopped.store(true, Ordering::Relaxed);
        let samples = self.thread.join().unwrap_or_default();
        let Ok(mut histogram) = Histogram::<u64>::new(3) else {
            return BTreeMap::new();
        };
        for sample in samples {
            histogram.saturating_record(sample);
        }
        let ms = |quantile| histogram.value_at_quantile(quantile) as f64 / 1000.0;
        let mut figures = BTreeMap::from([
            ("machine.lag_p50_ms".into(), ms(0.5)),
            ("machine.lag_p99_ms".into(), ms(0.99)),
            ("machine.lag_max_ms".into(), ms(1.0)),
        ]);
        figures.extend(load_per_core().map(|load| ("machine.load_per_core".into(), load)));
        figures
    }
}

/// Returns the machine's load average of the last minute per core; above 1, some threads waited for a
/// processor. `None` if the system does not report it.
fn load_per_core() -> Option<f64> {
    let text = std::fs::read_to_string("/proc/loadavg").ok()?;
    let load: f64 = text.split(' ').next()?.parse().ok()?;
    let cores = std::thread::available_parallelism().ok()?;
    Some(load / cores.get() as f64)
}

/// Sleeps repeatedly until stopped; returns by how much each sleep exceeded its duration, in
/// microseconds.
fn measure_sleeps(stopped: &AtomicBool) -> Vec<u64> {
    let mut samples = Vec::new();
    while !stopped.load(Ordering::Relaxed) {
        let start = Instant::now();
        std::thread::sleep(SLEEP_DURATION);
        samples.push(start.elapsed().saturating_sub(SLEEP_DURATION).as_micros() as u64);
    }
    samples
}
