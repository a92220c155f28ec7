//! Three-way merge of folders. Files are compared as a whole, by their hashes.

use std::collections::{BTreeMap, BTreeSet};

/// SHA-256 of each file's text, by the file's name.
pub type Hashes = BTreeMap<String, String>;

/// Merges an operator's changes (from `base` to `ours`) with those of others (from `base` to `theirs`).
///
/// # Errors
///
/// The names of the files that both sides changed differently.
pub fn merge(base: &Hashes, ours: &Hashes, theirs: &Hashes) -> Result<Hashes, Vec<String>> {
    let mut merged = theirs.clone();
    let mut conflicts = Vec::new();
    for name in differing_names(base, ours) {
        let (old, mine, other) = (base.get(name), ours.get(name), theirs.get(name));
        if other != old && other != mine {
            conflicts.push(name.to_owned());
            continue;
        }
        match mine {
            Some(hash) => merged.insert(name.to_owned(), hash.clone()),
            None => merged.remove(name),
        };
    }
    if conflicts.is_empty() {
        Ok(merged)
    } else {
        Err(conflicts)
    }
}

/// Returns the names of the files that differ between two folders, in order.
pub fn differing_names<'a>(a: &'a Hashes, b: &'a Hashes) -> BTreeSet<&'a str> {
    a.keys()
        .chain(b.keys())
        .filter(|name| a.get(*name) != b.get(*name))
        .map(String::as_str)
        .collect()
}
