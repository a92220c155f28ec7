//! One request's story, from the logs of several hosts.
//!
//! Beside the lines that name the request these are the ones that tell what its host believed then: of the
//! targets that it tried or could have tried, of the configuration, the store and the host itself.

use std::collections::BTreeMap;
use std::fmt::{self, Display, Formatter};
use std::io::{self, BufRead};
use std::sync::Arc;

use serde::Deserialize;
use serde_json::Value;

/// How long before a request what was noted may bear on it, in milliseconds: some times as long as a
/// target that was taken out stays so, or a change takes to be in force.
const BEFORE: i64 = 15_000;
/// How long after its end, in milliseconds: a change that came too late for it.
const AFTER: i64 = 3_000;
/// The fields that a line about a request names its targets in.
const NAMING: [&str; 3] = ["tries", "choices", "target"];

/// A log that can't be read.
#[derive(Debug, thiserror::Error)]
#[error("{place}: {source}")]
pub struct Error {
    /// Which one.
    pub place: Arc<str>,
    /// Why.
    pub source: io::Error,
}

/// A line as hosts write it; others are passed over.
#[derive(Deserialize)]
struct Record {
    timestamp: i64,
    payload: Arc<str>,
    #[serde(default)]
    kv: BTreeMap<Arc<str>, Value>,
}

/// A line of a log.
#[derive(Clone, Debug)]
struct Line {
    /// Milliseconds since the Unix epoch, by the host's clock.
    time: i64,
    /// Which host's, as far as the log tells.
    source: Arc<str>,
    text: Arc<str>,
    fields: BTreeMap<Arc<str>, Value>,
}

impl Line {
    /// Reads a line; what stands before its JSON, as collectors of logs add it, names its source.
    fn new(place: &Arc<str>, text: &str) -> Option<Self> {
        let start = text.find('{')?;
        let record: Record = serde_json::from_str(&text[start..]).ok()?;
        let prefix = text[..start].split_whitespace().last();
        Some(Self {
            time: record.timestamp,
            source: prefix.map_or_else(|| place.clone(), Arc::from),
            text: record.payload,
            fields: record.kv,
        })
    }

    fn text(&self, field: &str) -> &str {
        let value = self.fields.get(field).and_then(Value::as_str);
        value.unwrap_or_default()
    }

    fn is_request(&self) -> bool {
        self.text("event").starts_with("request.")
    }

    /// What the fields that name targets say, word by word.
    fn words(&self) -> impl Iterator<Item = &str> {
        let named = NAMING.iter().map(|field| self.text(field));
        named.flat_map(|text| text.split([' ', ',', ';']).filter(|word| !word.is_empty()))
    }

    /// Whether it tells what a host believes beside single targets.
    fn is_state(&self) -> bool {
        let event = self.text("event");
        let kinds = ["configuration.", "zones.", "store.", "host.", "settings."];
        kinds.iter().any(|kind| event.starts_with(kind))
    }
}

impl Display for Line {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let event = self.text("event");
        write!(f, "{} {} {event}: {}", self.time, self.source, self.text)?;
        let fields = self.fields.iter().filter(|(name, _)| &***name != "event");
        for (name, value) in fields {
            match value.as_str() {
                Some("") => {}
                Some(text) => write!(f, "\n    {name}: {text}")?,
                None => write!(f, "\n    {name}: {value}")?,
            }
        }
        Ok(())
    }
}

/// What logs tell of one request.
#[derive(Clone, Debug)]
pub struct Story {
    lines: Vec<Line>,
    reason: Option<Arc<str>>,
}

impl Story {
    /// Reads logs, each with its name, for the request `id`.
    ///
    /// # Errors
    ///
    /// A log that can't be read.
    pub fn new(
        id: &str,
        logs: impl IntoIterator<Item = (Arc<str>, Box<dyn BufRead>)>,
    ) -> Result<Self, Error> {
        let mut own: Vec<Line> = Vec::new();
        let mut others: Vec<Line> = Vec::new();
        for (place, log) in logs {
            for text in log.split(b'\n') {
                let text = text.map_err(|source| Error {
                    place: place.clone(),
                    source,
                })?;
                let Some(line) = Line::new(&place, &String::from_utf8_lossy(&text)) else {
                    continue;
                };
                if line.text("id") == id {
                    own.push(line);
                } else if !line.is_request() {
                    others.push(line);
                }
            }
        }
        own.sort_by_key(|line| line.time);
        let mut lines = own.clone();
        lines.extend(others.into_iter().filter(|line| bears(line, &own)));
        lines.sort_by_key(|line| line.time);
        let reason = own.iter().rev().map(|line| line.text("reason"));
        let reason = reason.filter(|reason| !reason.is_empty()).map(Arc::from);
        Ok(Self {
            reason: reason.into_iter().next(),
            lines,
        })
    }

    /// Whether no log names the request.
    pub fn is_empty(&self) -> bool {
        self.lines.is_empty()
    }
}

/// Whether a line bears on a request that `own` lines are about.
fn bears(line: &Line, own: &[Line]) -> bool {
    own.iter().any(|about| {
        let took = about.fields.get("total_ms").and_then(Value::as_i64);
        let begun = about.time - took.unwrap_or_default();
        let near = begun - BEFORE <= line.time && line.time <= about.time + AFTER;
        let same = line.source == about.source;
        let target = line.text("target");
        let named = || !target.is_empty() && about.words().any(|word| word == target);
        near && same && (line.is_state() || named())
    })
}

/// What the reason in a line about a request means.
fn meaning(reason: &str) -> &'static str {
    match reason {
        "answered" => "a target answered, and the caller got its answer",
        "may-have-run" => "it may have run and must not run twice, so nobody else was asked",
        "no-target" => {
            "no target could take new requests: drained, gone, evacuated, taken out or cold"
        }
        "full" => "its targets were loaded as far as their queues are worth waiting in",
        "attempts" => "it was sent as often as its route allows",
        "time" => "its time, or its route's, was over",
        "budget" => "the repeats of the window were used up",
        "body" => "its body was too long to be kept for another target",
        "caller-left" => "its caller left, or its time was over there, before it had an answer",
        "no-route" => "no route of the configuration in force has its name and path",
        "no-configuration" => "the host knew no configuration yet",
        "body-too-long" => "its body is longer than the configuration allows",
        "body-too-slow" => "its body did not arrive in its time",
        "body-broke-off" => "its caller broke off",
        _ => "no explanation is known for this reason",
    }
}

impl Display for Story {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        for line in &self.lines {
            writeln!(f, "{line}")?;
        }
        match &self.reason {
            Some(reason) => writeln!(f, "=> {reason}: {}", meaning(reason)),
            None => Ok(()),
        }
    }
}
