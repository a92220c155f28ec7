//! The results: a table that a person reads, or JSON.

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::sync::Arc;

use hdrhistogram::Histogram;
use serde::Serialize;
use standin::caller::Outcome;
use standin::observer::{statistics, Invariant, Violation};

use super::watch::Run;
use crate::table::Format;

/// Violations of one promise that are shown in words.
const SHOWN: usize = 3;

/// What became of the calls of a class.
#[derive(Debug, Default, Serialize)]
struct Class {
    offered: u64,
    answered: u64,
    not_run: u64,
    unknown: u64,
    wrong: u64,
    missed: u64,
    p50_ms: f64,
    p99_ms: f64,
    p999_ms: f64,
}

/// All results of a run.
#[derive(Debug, Serialize)]
pub(crate) struct Summary {
    classes: BTreeMap<Arc<str>, Class>,
    headroom: BTreeMap<String, f64>,
    drain_ms: Option<f64>,
    figures: BTreeMap<String, f64>,
    violations: BTreeMap<&'static str, usize>,
    /// Some violations in words.
    examples: Vec<Arc<str>>,
}

impl Summary {
    /// The results of a run and the observer's verdict on it.
    pub(crate) fn new(run: &Run, verdict: &[Violation]) -> Self {
        let count = |promise: Invariant| verdict.iter().filter(move |v| v.invariant == promise);
        let violations = Invariant::ALL.map(|(promise, word)| (word, count(promise).count()));
        let shown = Invariant::ALL.map(|(promise, _)| count(promise).take(SHOWN));
        Self {
            classes: classes(run),
            headroom: headroom(run),
            drain_ms: statistics::longest_drain_ms(&run.evidence),
            figures: run.figures.clone(),
            violations: violations.into_iter().collect(),
            examples: shown
                .into_iter()
                .flatten()
                .map(|v| v.description.clone())
                .collect(),
        }
    }

    /// The results in a format.
    pub(crate) fn text(&self, format: Format) -> String {
        match format {
            Format::Json => serde_json::to_string_pretty(self).unwrap_or_default() + "\n",
            Format::Table => self.table(),
        }
    }

    fn table(&self) -> String {
        let mut text = String::new();
        // Writing to a string cannot fail.
        let _ = self.write(&mut text);
        text
    }

    fn write(&self, text: &mut String) -> std::fmt::Result {
        writeln!(
            text,
            "{:<16}{:>9}{:>10}{:>9}{:>9}{:>7}{:>8}{:>10}{:>10}{:>10}",
            "class",
            "offered",
            "answered",
            "not run",
            "unknown",
            "wrong",
            "missed",
            "p50 ms",
            "p99 ms",
            "p99.9 ms"
        )?;
        for (name, class) in &self.classes {
            writeln!(
                text,
                "{name:<16}{:>9}{:>10}{:>9}{:>9}{:>7}{:>8}{:>10.1}{:>10.1}{:>10.1}",
                class.offered,
                class.answered,
                class.not_run,
                class.unknown,
                class.wrong,
                class.missed,
                class.p50_ms,
                class.p99_ms,
                class.p999_ms
            )?;
        }
        writeln!(text, "\nleast headroom")?;
        for (place, share) in &self.headroom {
            writeln!(text, "  {place:<28}{:>6.0} %", share * 100.0)?;
        }
        match self.drain_ms {
            Some(time) => writeln!(text, "\ndrain time  {time:.0} ms")?,
            None => writeln!(text, "\ndrain time  nothing drained")?,
        }
        for (name, value) in &self.figures {
            writeln!(text, "{name:<36}{value:>10.3}")?;
        }
        writeln!(text, "\nviolations")?;
        for (promise, word) in Invariant::ALL {
            let _ = promise;
            writeln!(text, "  {word:<16}{:>6}", self.violations[word])?;
        }
        for example in &self.examples {
            writeln!(text, "  e.g. {example}")?;
        }
        Ok(())
    }
}

fn classes(run: &Run) -> BTreeMap<Arc<str>, Class> {
    let mut classes: BTreeMap<Arc<str>, (Class, Histogram<u64>)> = BTreeMap::new();
    let empty = || {
        let bounds = Histogram::new_with_bounds(1, 600_000_000, 3);
        (
            Class::default(),
            bounds.unwrap_or_else(|_| unreachable!("the bounds are constants")),
        )
    };
    for record in &run.evidence.records {
        let (class, histogram) = classes.entry(record.class.clone()).or_insert_with(empty);
        class.offered += 1;
        match record.outcome {
            Outcome::Answered => {
                class.answered += 1;
                histogram.saturating_record(record.latency_us);
            }
            Outcome::NotRun => class.not_run += 1,
            Outcome::Unknown => class.unknown += 1,
            Outcome::Wrong => class.wrong += 1,
        }
    }
    for (name, missed) in &run.missed {
        let (class, _) = classes.entry(name.clone()).or_insert_with(empty);
        class.offered += missed;
        class.missed += missed;
    }
    let finished = classes.into_iter().map(|(name, (class, histogram))| {
        let ms = |quantile| histogram.value_at_quantile(quantile) as f64 / 1000.0;
        let class = Class {
            p50_ms: ms(0.5),
            p99_ms: ms(0.99),
            p999_ms: ms(0.999),
            ..class
        };
        (name, class)
    });
    finished.collect()
}

/// The least free share of each region's slots, and of each link's bytes and requests.
fn headroom(run: &Run) -> BTreeMap<String, f64> {
    let regions = statistics::headroom(&run.world, &run.evidence);
    let mut headroom: BTreeMap<String, f64> = regions
        .into_iter()
        .map(|(name, share)| (name.to_string(), share))
        .collect();
    let crossings = statistics::peak_cross_region_calls(&run.world, &run.evidence);
    for (pair, (peak, limit)) in &run.links {
        let requests = crossings.get(pair).copied().unwrap_or(0) as f64 / limit.requests;
        let used = requests.max(peak / limit.bytes);
        headroom.insert(format!("{}-{}", pair.0, pair.1), 1.0 - used);
    }
    headroom
}
