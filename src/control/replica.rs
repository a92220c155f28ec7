//! A host's copy of what the platform's store holds, and how it is brought up to date.
//!
//! Updates come from the store itself or from hosts that got them from there. Each says from which
//! revision to which it leads, so a copy never goes back, and notices when it missed something.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Instant;

use serde::{Deserialize, Serialize};

use crate::port::{Entry, Kind, Value};

/// What has changed in one kind of objects.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Update {
    /// The kind.
    #[serde(rename = "k")]
    pub kind: Kind,
    /// The revision that it starts from; without one it holds all objects of the kind.
    #[serde(rename = "f")]
    pub from: Option<u64>,
    /// The revision that it leads to.
    #[serde(rename = "t")]
    pub to: u64,
    /// Objects in the order of their changes; those without a value were removed.
    #[serde(rename = "e")]
    pub entries: Vec<Entry>,
    /// The store was away just before: what is missing may be about to return.
    #[serde(rename = "a")]
    pub away: bool,
}

/// What an update did.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// These objects differ now.
    Changed(Vec<Entry>),
    /// Nothing: it is older than the copy.
    Old,
    /// Nothing: updates between the copy and this one are missing.
    Gap,
}

#[derive(Debug)]
struct Object {
    version: u64,
    value: Value,
    /// When it was taken in, as some values tell how much of a time is left.
    taken: Instant,
}

#[derive(Debug, Default)]
struct Shelf {
    revision: u64,
    objects: BTreeMap<Arc<str>, Object>,
}

/// The copy.
#[derive(Debug, Default)]
pub struct Replica {
    shelves: BTreeMap<Kind, Shelf>,
}

impl Replica {
    /// An empty copy.
    pub fn new() -> Self {
        Self::default()
    }

    /// The revision of a kind, if anything was taken in.
    pub fn revision(&self, kind: Kind) -> Option<u64> {
        self.shelves.get(&kind).map(|shelf| shelf.revision)
    }

    /// The names of all objects of a kind.
    pub fn names(&self, kind: Kind) -> impl Iterator<Item = &Arc<str>> {
        self.shelves
            .get(&kind)
            .into_iter()
            .flat_map(|shelf| shelf.objects.keys())
    }

    /// Takes an update in.
    pub fn apply(&mut self, now: Instant, update: &Update) -> Effect {
        let known = self.revision(update.kind);
        match (update.from, known) {
            (Some(_), None) => return Effect::Gap,
            (Some(from), Some(known)) if from > known => return Effect::Gap,
            (_, Some(known)) if update.to < known => return Effect::Old,
            (Some(_), Some(known)) if update.to == known => return Effect::Old,
            _ => {}
        }
        let advanced = known != Some(update.to);
        let shelf = self.shelves.entry(update.kind).or_default();
        shelf.revision = update.to;
        let mut changed = Vec::new();
        if update.from.is_none() {
            changed = shelf.missing(&update.entries);
        }
        for entry in &update.entries {
            if shelf.put(now, entry) {
                changed.push(entry.clone());
            }
        }
        if changed.is_empty() && !advanced {
            // Otherwise two hosts that follow each other would tell each other the same for ever.
            return Effect::Old;
        }
        Effect::Changed(changed)
    }

    /// An update that holds all objects of a kind. `away` tells whether the store was away just before.
    pub fn whole(&self, now: Instant, kind: Kind, away: bool) -> Option<Update> {
        let shelf = self.shelves.get(&kind)?;
        let entries = shelf.objects.iter().map(|(name, object)| Entry {
            name: name.clone(),
            version: object.version,
            value: Some(aged(now, object)),
        });
        Some(Update {
            kind,
            from: None,
            to: shelf.revision,
            entries: entries.collect(),
            away,
        })
    }
}

impl Shelf {
    /// Removes what is not among `entries`; gives the removals.
    fn missing(&mut self, entries: &[Entry]) -> Vec<Entry> {
        let mut gone: BTreeMap<Arc<str>, Object> = std::mem::take(&mut self.objects);
        for entry in entries {
            if let Some((name, object)) = gone.remove_entry(&entry.name) {
                self.objects.insert(name, object);
            }
        }
        gone.into_iter()
            .map(|(name, object)| Entry {
                name,
                version: object.version,
                value: None,
            })
            .collect()
    }

    /// Takes one object in; says whether it differs from the one before.
    fn put(&mut self, now: Instant, entry: &Entry) -> bool {
        let Some(value) = entry.value.clone() else {
            return self.objects.remove(&entry.name).is_some();
        };
        let object = Object {
            version: entry.version,
            value,
            taken: now,
        };
        match self.objects.get(&entry.name) {
            Some(known) if known.version > object.version => false,
            Some(known) if known.version == object.version && known.value == object.value => false,
            _ => {
                self.objects.insert(entry.name.clone(), object);
                true
            }
        }
    }
}

/// The value as it has to be told now: a target that was cold is so for less time.
fn aged(now: Instant, object: &Object) -> Value {
    let mut value = object.value.clone();
    if let Value::Target(registration) = &mut value {
        let age = now.saturating_duration_since(object.taken);
        registration.cold_left = registration.cold_left.saturating_sub(age);
    }
    value
}
