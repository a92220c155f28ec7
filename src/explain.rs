//! Explains one request from the logs of several hosts.
//!
//! Besides the lines about the request itself these are the lines that show its host's state at the
//! time: the targets that the request tried or could have tried, the configuration, the store and
//! the host itself.

use std::collections::BTreeMap;
use std::fmt::{self, Display, Formatter};
use std::io::{self, BufRead};
use std::sync::Arc;

use serde::Deserialize;
use serde_json::Value;

/// How long before a request lines are relevant, in milliseconds: several times as long as a target
/// stays ejected, or a change takes to be in force.
const BEFORE_MS: i64 = 15_000;
/// How long after the end of a request lines are relevant, in milliseconds: shows a change that
/// came too late for it.
const AFTER_MS: i64 = 3_000;
/// The length at which lines that name several requests shorten IDs, in bytes.
pub(crate) const MAX_BRIEF_ID: usize = 64;
/// The fields in which a line about a request names targets.
const TARGET_FIELDS: [&str; 3] = ["tries", "choices", "target"];

/// A log that can't be read.
#[derive(Debug, thiserror::Error)]
#[error("{log_name}: {source}")]
pub struct Error {
    /// The log's name.
    pub log_name: Arc<str>,
    /// The I/O error.
    pub source: io::Error,
}

/// A line as hosts write it; other lines are skipped.
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
    /// The host that wrote the line: the prefix added by a log collector, else the name of the log.
    source: Arc<str>,
    text: Arc<str>,
    fields: BTreeMap<Arc<str>, Value>,
}

impl Line {
    /// Parses a line. Text in front of the JSON, as log collectors add it, names the source.
    fn new(log_name: &Arc<str>, text: &str) -> Option<Self> {
        let start = text.find('{')?;
        let record: Record = serde_json::from_str(&text[start..]).ok()?;
        let prefix = text[..start].split_whitespace().last();
        Some(Self {
            time: record.timestamp,
            source: prefix.map_or_else(|| log_name.clone(), Arc::from),
            text: record.payload,
            fields: record.kv,
        })
    }

    fn field(&self, name: &str) -> &str {
        let value = self.fields.get(name).and_then(Value::as_str);
        value.unwrap_or_default()
    }

    /// What a line that names several requests says about the request `id`, as lines of their own,
    /// one for each attempt.
    fn mentions(&self, id: &str) -> Vec<Self> {
        let targets = self.field("requests").split("; ");
        let attempts = targets.flat_map(|text| {
            // The target is a name, or `host` and the name of a host that relayed the request.
            let mut words = text.split(' ').filter(|word| word.contains('='));
            let first = words.clone().next().unwrap_or(text);
            let (target, _) = text.split_once(first).unwrap_or_default();
            std::iter::from_fn(move || Some((target.trim_end(), words.next()?)))
        });
        let own = attempts.filter_map(|(target, attempt)| {
            let (name, rest) = attempt.rsplit_once('=')?;
            let (status, times) = rest.split_once('@')?;
            let (started, took) = times.split_once('+')?;
            let is_own = name == id || name.len() >= MAX_BRIEF_ID && id.starts_with(name);
            is_own.then_some((target, status, started, took))
        });
        let own = own.map(|(target, status, started, took)| {
            let mut line = self.clone();
            line.fields.remove("requests");
            line.fields.extend([
                ("id".into(), id.into()),
                ("target".into(), target.into()),
                ("status".into(), status.into()),
                ("started_ms_before".into(), started.into()),
                ("took_ms".into(), took.into()),
            ]);
            // The line is written after the requests, so it counts as of the start of the attempt.
            line.time -= started.parse().unwrap_or(0);
            line
        });
        own.collect()
    }

    fn is_request(&self) -> bool {
        ["request.", "requests."]
            .iter()
            .any(|prefix| self.field("event").starts_with(prefix))
    }

    /// The words in the fields that name targets.
    fn target_words(&self) -> impl Iterator<Item = &str> {
        let named = TARGET_FIELDS.iter().map(|field| self.field(field));
        named.flat_map(|text| text.split([' ', ',', ';']).filter(|word| !word.is_empty()))
    }

    /// Whether the line is about the state of the host rather than a single target.
    fn is_host_state(&self) -> bool {
        let event = self.field("event");
        let prefixes = [
            "configuration.",
            "zones.",
            "store.",
            "host.",
            "settings.",
            "targets.",
        ];
        prefixes.iter().any(|prefix| event.starts_with(prefix))
    }
}

impl Display for Line {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let event = self.field("event");
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

/// The log lines relevant to one request.
#[derive(Clone, Debug)]
pub struct Explanation {
    lines: Vec<Line>,
    reason: Option<Arc<str>>,
}

impl Explanation {
    /// Reads logs, each with its name, for the request `id`.
    pub fn new(
        id: &str,
        logs: impl IntoIterator<Item = (Arc<str>, Box<dyn BufRead>)>,
    ) -> Result<Self, Error> {
        let mut own: Vec<Line> = Vec::new();
        let mut others: Vec<Line> = Vec::new();
        for (log_name, log) in logs {
            for text in log.split(b'\n') {
                let text = text.map_err(|source| Error {
                    log_name: log_name.clone(),
                    source,
                })?;
                let Some(line) = Line::new(&log_name, &String::from_utf8_lossy(&text)) else {
                    continue;
                };
                let mentions = line.mentions(id);
                if line.field("id") == id {
                    own.push(line);
                } else if !mentions.is_empty() {
                    own.extend(mentions);
                } else if !line.is_request() {
                    others.push(line);
                }
            }
        }
        own.sort_by_key(|line| line.time);
        let mut lines = own.clone();
        lines.extend(others.into_iter().filter(|line| is_relevant(line, &own)));
        lines.sort_by_key(|line| line.time);
        let reason = own.iter().rev().map(|line| line.field("reason"));
        let reason = reason.filter(|reason| !reason.is_empty()).map(Arc::from);
        Ok(Self {
            reason: reason.into_iter().next(),
            lines,
        })
    }

    /// Whether no log mentions the request.
    pub fn is_empty(&self) -> bool {
        self.lines.is_empty()
    }
}

/// Whether a line is relevant to the request that the `own` lines are about.
fn is_relevant(line: &Line, own: &[Line]) -> bool {
    own.iter().any(|about| {
        let took = about.fields.get("total_ms").and_then(Value::as_i64);
        let started = about.time - took.unwrap_or_default();
        let is_near = started - BEFORE_MS <= line.time && line.time <= about.time + AFTER_MS;
        let is_same_host = line.source == about.source;
        let target = line.field("target");
        let is_named = || !target.is_empty() && about.target_words().any(|word| word == target);
        is_near && is_same_host && (line.is_host_state() || is_named())
    })
}

/// Explains the reason in a line about a request.
fn describe_reason(reason: &str) -> &'static str {
    match reason {
        "answered" => "a target answered, and the caller got its answer",
        "may-have-run" => "it may have run and must not run twice, so no other target was tried",
        "no-target" => {
            "no target could take new requests: draining, gone, evacuated, ejected or cold"
        }
        "full" => "its targets were loaded so far that waiting in their queues was not worthwhile",
        "attempts" => "it was sent as often as its route allows",
        "time" => "its deadline, or its route's timeout, had passed",
        "budget" => "the retry budget was used up",
        "body" => "its body was too long to be buffered for another target",
        "cut-off" => {
            "its host had lost its links to all targets, and no other host could take the request"
        }
        "relayed" => "its host had lost its links to all targets, and the host that took the request refused it",
        "older-configuration" => "the host that relayed it had a newer configuration; another host was asked",
        "caller-left" => "its caller disconnected, perhaps because its own timeout had passed, before it had an answer",
        "no-route" => "no route of the configuration in force matches its host name and path",
        "no-configuration" => "the host had no configuration yet",
        "body-too-long" => "its body is longer than the configuration allows",
        "body-too-slow" => "its body did not arrive before its deadline",
        "body-broke-off" => "its caller disconnected while sending the body",
        _ => "no explanation is known for this reason",
    }
}

impl Display for Explanation {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        for line in &self.lines {
            writeln!(f, "{line}")?;
        }
        match &self.reason {
            Some(reason) => writeln!(f, "=> {reason}: {}", describe_reason(reason)),
            None => Ok(()),
        }
    }
}
