//! A host's copy of the contents of the platform's store, and the updates to it.
//!
//! Updates come from the store itself or from hosts that received them from there. Each names the
//! revisions from which and to which it leads, so a copy never goes back and detects missed
//! updates. A copy enters a later era of the store only with all objects of a kind, and drops
//! whatever belongs to an earlier one.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;
use std::time::Instant;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::revision::Revision;
use crate::port::{Entry, Kind, Value};

/// Number of removals of each kind that are kept for copies that missed them.
const MAX_KEPT_REMOVALS: usize = 4096;

/// Whether the store was unavailable just before, so that registrations may have expired there
/// although their targets live.
///
/// On the wire this is an optional boolean, which hosts that know of no brief outage understand
/// too; a brief outage has no value.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(from = "Option<bool>", into = "Option<bool>")]
pub enum Outage {
    /// Some host saw the store all the time: missing objects have left.
    #[default]
    None,
    /// No host saw the store for a moment, too short for a registration to expire. Only the hosts
    /// that watched it may have lost it.
    Brief,
    /// No host saw the store for so long that registrations may have expired.
    Long,
}

impl From<Option<bool>> for Outage {
    fn from(value: Option<bool>) -> Self {
        match value {
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

/// The changes to one kind of objects.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Update {
    /// The kind.
    #[serde(rename = "k")]
    pub kind: Kind,
    /// The revision that it starts from; none if it contains all objects of the kind.
    #[serde(rename = "f")]
    pub from: Option<u64>,
    /// The number of the revision that it leads to, see [`Update::revision`].
    #[serde(rename = "t")]
    pub to: u64,
    /// The era of both revisions; 0 if the sender knows of no eras.
    #[serde(rename = "r", default, skip_serializing_if = "is_zero")]
    pub era: u64,
    /// Objects in the order of their changes. Those without a value were removed.
    #[serde(rename = "e")]
    pub entries: Vec<Entry>,
    /// Whether missing objects may be about to return.
    #[serde(rename = "a")]
    pub outage: Outage,
    /// Milliseconds since the store was last known to be unavailable, if it has had an outage.
    #[serde(rename = "u", default, skip_serializing_if = "Option::is_none")]
    pub available_ms: Option<u64>,
}

impl Update {
    /// The revision that it leads to.
    pub fn revision(&self) -> Revision {
        Revision::new(self.era, self.to)
    }
}

fn is_zero(number: &u64) -> bool {
    *number == 0
}

/// The effect of an update.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// These objects changed.
    Changed(Vec<Entry>),
    /// These objects changed, as the store was restored from a copy: what is missing or older now
    /// may be written again.
    Restored(Vec<Entry>),
    /// Nothing: the update is older than the copy.
    Old,
    /// Nothing: updates between the copy and this one are missing.
    Gap,
}

#[derive(Debug)]
struct Object {
    version: u64,
    value: Value,
    /// When it was received. Some values contain a remaining time, counted from then.
    received: Instant,
}

#[derive(Debug, Default)]
struct Collection {
    revision: Revision,
    objects: BTreeMap<Arc<str>, Object>,
    /// The last removals of the era, oldest first, with the revisions up to which they happened.
    removed: VecDeque<(u64, Arc<str>)>,
    /// A digest of the names and versions of all objects, in any order.
    digest: u64,
}

/// A copy of the contents of the store.
#[derive(Debug, Default)]
pub struct Replica {
    collections: BTreeMap<Kind, Collection>,
}

impl Replica {
    /// Creates an empty copy.
    pub fn new() -> Self {
        Self::default()
    }

    /// The revision of a kind, if any update of it was applied.
    pub fn revision(&self, kind: Kind) -> Option<Revision> {
        self.collections.get(&kind).map(|shelf| shelf.revision)
    }

    /// The names of all objects of a kind.
    pub fn names(&self, kind: Kind) -> impl Iterator<Item = &Arc<str>> {
        self.collections
            .get(&kind)
            .into_iter()
            .flat_map(|shelf| shelf.objects.keys())
    }

    /// An object, as an entry.
    pub fn entry(&self, now: Instant, kind: Kind, name: &str) -> Option<Entry> {
        let (name, object) = self.collections.get(&kind)?.objects.get_key_value(name)?;
        Some(entry(now, name, object))
    }

    /// The values of all objects of a kind.
    pub fn values(&self, kind: Kind) -> impl Iterator<Item = &Value> {
        let collection = self.collections.get(&kind).into_iter();
        collection.flat_map(|collection| collection.objects.values().map(|object| &object.value))
    }

    /// The version of the configuration that the store has.
    pub fn config_version(&self) -> Option<u64> {
        let versions = self.values(Kind::Config).filter_map(|value| match value {
            Value::Config(config) => Some(config.version),
            _ => None,
        });
        versions.max()
    }

    /// A digest of the names and versions of all objects of a kind. Copies with the same revision
    /// and different digests differ.
    pub fn digest(&self, kind: Kind) -> u64 {
        self.collections.get(&kind).map_or(0, |shelf| shelf.digest)
    }

    /// Applies an update.
    pub fn apply(&mut self, now: Instant, update: Update) -> Effect {
        let to = update.revision();
        let Update {
            kind,
            from,
            mut entries,
            ..
        } = update;
        let known = self.revision(kind);
        match (from, known) {
            (Some(_), None) => return Effect::Gap,
            (_, Some(known)) if to < known => return Effect::Old,
            (Some(_), Some(known)) if to == known => return Effect::Old,
            (Some(from), Some(known)) if Revision::new(to.era, from) > known => return Effect::Gap,
            _ => {}
        }
        let advanced = known != Some(to);
        let is_restored = known.is_some_and(|known| known.era < to.era);
        let shelf = self.collections.entry(kind).or_default();
        shelf.revision = to;
        if is_restored {
            shelf.removed.clear();
            shelf.forget_versions();
        }
        let mut changed = match from {
            Some(_) => Vec::new(),
            None => shelf.remove_unlisted(&entries),
        };
        // Filters in place: another list of all objects would add its size to the peak memory use.
        entries.retain(|entry| shelf.apply_entry(now, entry));
        if changed.is_empty() {
            changed = entries;
        } else {
            changed.append(&mut entries);
        }
        if changed.is_empty() && !advanced {
            // Otherwise two hosts that follow each other would send each other the same update
            // forever.
            return Effect::Old;
        }
        if is_restored {
            Effect::Restored(changed)
        } else {
            Effect::Changed(changed)
        }
    }

    /// Returns an update that leads from an earlier revision of a kind in this era to that of this
    /// copy. It may lack removals that happened long ago, or before this copy was created;
    /// [`Replica::digest`] reveals that. `outage` is as for [`Replica::snapshot`].
    pub fn changes_since(
        &self,
        now: Instant,
        kind: Kind,
        revision: u64,
        outage: Outage,
    ) -> Option<Update> {
        let shelf = self.collections.get(&kind)?;
        let Revision { era, number: to } = shelf.revision;
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
            to,
            era,
            // A name that was removed and created again is in both lists: its removal comes first.
            entries: removed.chain(changed).collect(),
            outage,
            available_ms: None,
        })
    }

    /// Returns an update that contains all objects of a kind. `outage` is whether the store was
    /// unavailable just before.
    pub fn snapshot(&self, now: Instant, kind: Kind, outage: Outage) -> Option<Update> {
        let shelf = self.collections.get(&kind)?;
        let objects = shelf.objects.iter();
        let entries = objects.map(|(name, object)| entry(now, name, object));
        Some(Update {
            kind,
            from: None,
            to: shelf.revision.number,
            era: shelf.revision.era,
            entries: entries.collect(),
            outage,
            available_ms: None,
        })
    }
}

impl Collection {
    /// Forgets the versions of all objects, which can't be compared with those of another era.
    fn forget_versions(&mut self) {
        self.digest = 0;
        for (name, object) in &mut self.objects {
            object.version = 0;
            self.digest ^= object_digest(name, 0);
        }
    }

    /// Removes the objects that are not in `entries` and returns the removals.
    fn remove_unlisted(&mut self, entries: &[Entry]) -> Vec<Entry> {
        let listed: BTreeSet<&Arc<str>> = entries.iter().map(|entry| &entry.name).collect();
        let names = self.objects.keys();
        let removed: Vec<_> = names
            .filter(|name| !listed.contains(name))
            .cloned()
            .collect();
        let removals = removed.into_iter().filter_map(|name| {
            let version = self.remove(&name)?;
            Some(Entry {
                name,
                version,
                value: None,
            })
        });
        removals.collect()
    }

    /// Removes an object and returns its version.
    fn remove(&mut self, name: &Arc<str>) -> Option<u64> {
        let object = self.objects.remove(name)?;
        self.digest ^= object_digest(name, object.version);
        self.record_removal(name);
        Some(object.version)
    }

    /// Records that an object was removed up to the current revision of this collection.
    fn record_removal(&mut self, name: &Arc<str>) {
        self.removed.push_back((self.revision.number, name.clone()));
        if self.removed.len() > MAX_KEPT_REMOVALS {
            self.removed.pop_front();
        }
    }

    /// Applies one entry and returns whether the object changed.
    fn apply_entry(&mut self, now: Instant, entry: &Entry) -> bool {
        let Some(value) = entry.value.clone() else {
            let was_known = self.remove(&entry.name).is_some();
            if !was_known {
                // Other hosts may have seen it between its creation and its removal.
                self.record_removal(&entry.name);
            }
            return was_known;
        };
        let object = Object {
            version: entry.version,
            value,
            received: now,
        };
        match self.objects.get(&entry.name) {
            Some(known) if known.version > object.version => false,
            Some(known) if known.version == object.version && known.value == object.value => false,
            known => {
                let before = known.map_or(0, |known| object_digest(&entry.name, known.version));
                // Only the version differs in the first list of an era.
                let has_changed =
                    known.is_none_or(|known| known.version != 0 || known.value != object.value);
                self.digest ^= before ^ object_digest(&entry.name, object.version);
                self.objects.insert(entry.name.clone(), object);
                has_changed
            }
        }
    }
}

fn object_digest(name: &str, version: u64) -> u64 {
    xxh3_64_with_seed(name.as_bytes(), version)
}

fn entry(now: Instant, name: &Arc<str>, object: &Object) -> Entry {
    Entry {
        name: name.clone(),
        version: object.version,
        value: Some(current_value(now, object)),
    }
}

/// The value with its current remaining time: the cold time left of a target decreases.
fn current_value(now: Instant, object: &Object) -> Value {
    let mut value = object.value.clone();
    if let Value::Target(registration) = &mut value {
        if !registration.cold_left.is_zero() {
            let age = now.saturating_duration_since(object.received);
            let registration = Arc::make_mut(registration);
            registration.cold_left = registration.cold_left.saturating_sub(age);
        }
    }
    value
}
