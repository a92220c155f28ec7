//! A host's copy of what the platform's store holds, and how it is brought up to date.
//!
//! Updates come from the store itself or from hosts that got them from there. Each says from which
//! revision to which it leads, so a copy never goes back, and notices when it missed something.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;
use std::time::Instant;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::port::{Entry, Kind, Value};

/// Removals of a kind that are kept for copies that missed them.
const REMOVALS: usize = 4096;

/// Whether the store was away just before, so that registrations may have run out there though their targets live.
///
/// Hosts tell it as a truth value, which those that know of no brief outage understand too; a brief one has none.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(from = "Option<bool>", into = "Option<bool>")]
pub enum Outage {
    /// Some host saw the store all the time: what is missing has left.
    #[default]
    None,
    /// No host saw it for a moment, in which no registration runs out by itself. Those that watched it may have lost it alone.
    Brief,
    /// No host saw it for so long that registrations may have run out.
    Long,
}

impl From<Option<bool>> for Outage {
    fn from(told: Option<bool>) -> Self {
        match told {
            Some(false) => Self::None,
            Some(true) => Self::Long,
            None => Self::Brief,
        }
    }
}

impl From<Outage> for Option<bool> {
    fn from(outage: Outage) -> Self {
        match outage {
            Outage::None => Some(false),
            Outage::Long => Some(true),
            Outage::Brief => None,
        }
    }
}

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
    /// Whether what is missing may be about to return.
    #[serde(rename = "a")]
    pub outage: Outage,
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
    /// The last removals, oldest first, and the revisions up to which they happened.
    removed: VecDeque<(u64, Arc<str>)>,
    /// Of the names and versions of all objects, in any order.
    digest: u64,
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

    /// A digest of the names and versions of all objects of a kind: copies that have the same revision and differ in it are
    /// not the same.
    pub fn digest(&self, kind: Kind) -> u64 {
        self.shelves.get(&kind).map_or(0, |shelf| shelf.digest)
    }

    /// Takes an update in.
    pub fn apply(&mut self, now: Instant, update: Update) -> Effect {
        let Update {
            kind,
            from,
            to,
            mut entries,
            ..
        } = update;
        let known = self.revision(kind);
        match (from, known) {
            (Some(_), None) => return Effect::Gap,
            (Some(from), Some(known)) if from > known => return Effect::Gap,
            (_, Some(known)) if to < known => return Effect::Old,
            (Some(_), Some(known)) if to == known => return Effect::Old,
            _ => {}
        }
        let advanced = known != Some(to);
        let shelf = self.shelves.entry(kind).or_default();
        shelf.revision = to;
        let mut changed = match from {
            Some(_) => Vec::new(),
            None => shelf.missing(&entries),
        };
        // In place: each further list of all objects would add its size to the peak of the memory.
        entries.retain(|entry| shelf.put(now, entry));
        if changed.is_empty() {
            changed = entries;
        } else {
            changed.append(&mut entries);
        }
        if changed.is_empty() && !advanced {
            // Otherwise two hosts that follow each other would tell each other the same for ever.
            return Effect::Old;
        }
        Effect::Changed(changed)
    }

    /// An update that leads from an earlier revision of a kind to that of this copy. It may lack removals that happened long
    /// ago, or before this copy was begun: [`Replica::digest`] tells. `outage` as for [`Replica::whole`].
    pub fn since(&self, now: Instant, kind: Kind, revision: u64, outage: Outage) -> Option<Update> {
        let shelf = self.shelves.get(&kind)?;
        let removed = shelf.removed.iter().filter(|(at, _)| *at > revision);
        let removed = removed.map(|(at, name)| Entry {
            name: name.clone(),
            version: *at,
            value: None,
        });
        let objects = shelf.objects.iter();
        let changed = objects
            .filter(|(_, object)| object.version > revision)
            .map(|(name, object)| entry(now, name, object));
        Some(Update {
            kind,
            from: Some(revision),
            to: shelf.revision,
            // A name that was removed and came back is among both: the removal is to come first.
            entries: removed.chain(changed).collect(),
            outage,
        })
    }

    /// An update that holds all objects of a kind. `outage` tells whether the store was away just before.
    pub fn whole(&self, now: Instant, kind: Kind, outage: Outage) -> Option<Update> {
        let shelf = self.shelves.get(&kind)?;
        let objects = shelf.objects.iter();
        let entries = objects.map(|(name, object)| entry(now, name, object));
        Some(Update {
            kind,
            from: None,
            to: shelf.revision,
            entries: entries.collect(),
            outage,
        })
    }
}

impl Shelf {
    /// Removes what is not among `entries`; gives the removals.
    fn missing(&mut self, entries: &[Entry]) -> Vec<Entry> {
        let listed: BTreeSet<&Arc<str>> = entries.iter().map(|entry| &entry.name).collect();
        let names = self.objects.keys();
        let gone: Vec<_> = names
            .filter(|name| !listed.contains(name))
            .cloned()
            .collect();
        let removals = gone.into_iter().filter_map(|name| {
            let version = self.remove(&name)?;
            Some(Entry {
                name,
                version,
                value: None,
            })
        });
        removals.collect()
    }

    /// Removes an object; gives its version.
    fn remove(&mut self, name: &Arc<str>) -> Option<u64> {
        let object = self.objects.remove(name)?;
        self.digest ^= digest(name, object.version);
        self.note_removal(name);
        Some(object.version)
    }

    /// Keeps that an object was removed up to the revision that this shelf has now.
    fn note_removal(&mut self, name: &Arc<str>) {
        self.removed.push_back((self.revision, name.clone()));
        if self.removed.len() > REMOVALS {
            self.removed.pop_front();
        }
    }

    /// Takes one object in; says whether it differs from the one before.
    fn put(&mut self, now: Instant, entry: &Entry) -> bool {
        let Some(value) = entry.value.clone() else {
            let was_known = self.remove(&entry.name).is_some();
            if !was_known {
                // Others may have seen it between its creation and its removal.
                self.note_removal(&entry.name);
            }
            return was_known;
        };
        let object = Object {
            version: entry.version,
            value,
            taken: now,
        };
        match self.objects.get(&entry.name) {
            Some(known) if known.version > object.version => false,
            Some(known) if known.version == object.version && known.value == object.value => false,
            known => {
                let before = known.map_or(0, |known| digest(&entry.name, known.version));
                self.digest ^= before ^ digest(&entry.name, object.version);
                self.objects.insert(entry.name.clone(), object);
                true
            }
        }
    }
}

fn digest(name: &str, version: u64) -> u64 {
    xxh3_64_with_seed(name.as_bytes(), version)
}

fn entry(now: Instant, name: &Arc<str>, object: &Object) -> Entry {
    Entry {
        name: name.clone(),
        version: object.version,
        value: Some(aged(now, object)),
    }
}

/// The value as it has to be told now: a target that was cold is so for less time.
fn aged(now: Instant, object: &Object) -> Value {
    let mut value = object.value.clone();
    if let Value::Target(registration) = &mut value {
        if !registration.cold_left.is_zero() {
            let age = now.saturating_duration_since(object.taken);
            let registration = Arc::make_mut(registration);
            registration.cold_left = registration.cold_left.saturating_sub(age);
        }
    }
    value
}
