//! The results of a run, printed as a table or as JSON.

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::sync::Arc;

use hdrhistogram::Histogram;
use serde::Serialize;
use standin::caller::Outcome;
use standin::observer::{statistics, Invariant, Violation};

use super::watch::RunResults;
use crate::table::Format;

/// Maximum number of violations of one invariant that are printed with their descriptions.
const EXAMPLES_PER_INVARIANT: usize = 3;

/// Numbers of calls of a class by outcome, and latency quantiles of the answered ones.
#[derive(Debug, Default, Serialize)]
struct ClassResults {
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
    classes: BTreeMap<Arc<str>, ClassResults>,
    headroom: BTreeMap<String, f64>,
    drain_ms: Option<f64>,
    figures: BTreeMap<String, f64>,
    violations: BTreeMap<&'static str, usize>,
    /// Descriptions of some violations.
    examples: Vec<Arc<str>>,
}

impl Summary {
    /// Summarizes a run and the violations that the observer found.
    pub(crate) fn new(run: &RunResults, violations: &[Violation]) -> Self {
        let of_invariant =
            |invariant: Invariant| violations.iter().filter(move |v| v.invariant == invariant);
        let counts =
            Invariant::ALL.map(|(invariant, name)| (name, of_invariant(invariant).count()));
        let examples = Invariant::ALL
            .map(|(invariant, _)| of_invariant(invariant).take(EXAMPLES_PER_INVARIANT));
        Self {
            classes: class_results(run),
            headroom: least_headroom(run),
            drain_ms: statistics::longest_drain_ms(&run.evidence),
            figures: run.figures.clone(),
            violations: counts.into_iter().collect(),
            examples: examples
                .into_iter()
                .flatten()
                .map(|v| v.description.clone())
                .collect(),
        }
    }

    /// Formats the results.
    pub(crate) fn render(&self, format: Format) -> String {
        match format {
            Format::Json => serde_json::to_string_pretty(self).unwrap_or_default() + "\n",
            Format::Table => self.render_table(),
        }
    }

    fn render_table(&self) -> String {
        let mut text = String::new();
        // Writing to a string cannot fail.
        let _ = self.write_table(&mut text);
        text
    }

    fn write_table(&self, text: &mut String) -> std::fmt::Result {
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
        for (name, share) in &self.headroom {
            writeln!(text, "  {name:<28}{:>6.0} %", share * 100.0)?;
        }
        match self.drain_ms {
            Some(time) => writeln!(text, "\ndrain time  {time:.0} ms")?,
            None => writeln!(text, "\ndrain time  nothing drained")?,
        }
        for (name, value) in &self.figures {
            writeln!(text, "{name:<36}{value:>10.3}")?;
        }
        writeln!(text, "\nviolations")?;
        for (invariant, name) in Invariant::ALL {
            let _ = invariant;
            writeln!(text, "  {name:<16}{:>6}", self.violations[name])?;
        }
        for example in &self.examples {
            writeln!(text, "  e.g. {example}")?;
        }
        Ok(())
    }
}

/// Returns the results of the calls by class. Missed calls count as offered.
fn class_results(run: &RunResults) -> BTreeMap<Arc<str>, ClassResults> {
    let mut classes: BTreeMap<Arc<str>, (ClassResults, Histogram<u64>)> = BTreeMap::new();
    let empty = || {
        let histogram = Histogram::new_with_bounds(1, 600_000_000, 3);
        (
            ClassResults::default(),
            histogram.unwrap_or_else(|_| unreachable!("the bounds are constants")),
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
    let results = classes.into_iter().map(|(name, (class, histogram))| {
        let ms = |quantile| histogram.value_at_quantile(quantile) as f64 / 1000.0;
        let class = ClassResults {
            p50_ms: ms(0.5),
            p99_ms: ms(0.99),
            p999_ms: ms(0.999),
            ..class
        };
        (name, class)
    });
    results.collect()
}

/// Returns the least free share of each region's slots, and of each link's limits on bytes and requests.
fn least_headroom(run: &RunResults) -> BTreeMap<String, f64> {
    let regions = statistics::headroom(&run.deployment, &run.evidence);
    let mut headroom: BTreeMap<String, f64> = regions
        .into_iter()
        .map(|(name, share)| (name.to_string(), share))
        .collect();
    let cross_region_calls = statistics::peak_cross_region_calls(&run.deployment, &run.evidence);
    for (pair, (peak, limit)) in &run.links {
        let requests =
            cross_region_calls.get(pair).copied().unwrap_or(0) as f64 / limit.requests_per_s;
        let used = requests.max(peak / limit.bytes_per_s);
        headroom.insert(format!("{}-{}", pair.0, pair.1), 1.0 - used);
    }
    headroom
}
