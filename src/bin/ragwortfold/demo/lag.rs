//! How far behind this machine is: what a sleep takes beyond its time.
//!
//! All of the demo shares one machine, perhaps with others. Where threads wait long for a processor
//! the latencies of the report are the machine's, and deadlines pass for its sake.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;

use super::Error;

/// The sleep that is measured.
const SLEEP: Duration = Duration::from_millis(5);

/// A thread that sleeps and measures.
pub(crate) struct Lag {
    stopped: Arc<AtomicBool>,
    thread: JoinHandle<Vec<u64>>,
}

impl Lag {
    /// Starts measuring.
    pub(crate) fn new() -> Result<Self, Error> {
        let stopped = Arc::new(AtomicBool::new(false));
        let inner = stopped.clone();
        let thread = std::thread::Builder::new()
            .name("lag".into())
            .spawn(move || measure(&inner))
            .map_err(Error::System)?;
        Ok(Self { stopped, thread })
    }

    /// Ends, and tells quantiles in milliseconds.
    pub(crate) fn figures(self) -> BTreeMap<String, f64> {
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
        figures.extend(load().map(|load| ("machine.load_per_core".into(), load)));
        figures
    }
}

/// Threads of the whole machine that ran or waited in the last minute, for each core; above 1, some
/// waited. None where the system does not tell.
fn load() -> Option<f64> {
    let text = std::fs::read_to_string("/proc/loadavg").ok()?;
    let load: f64 = text.split(' ').next()?.parse().ok()?;
    let cores = std::thread::available_parallelism().ok()?;
    Some(load / cores.get() as f64)
}

/// Sleeps until told to stop; each sleep's excess in microseconds.
fn measure(stopped: &AtomicBool) -> Vec<u64> {
    let mut samples = Vec::new();
    while !stopped.load(Ordering::Relaxed) {
        let start = Instant::now();
        std::thread::sleep(SLEEP);
        samples.push(start.elapsed().saturating_sub(SLEEP).as_micros() as u64);
    }
    samples
}
