//! Three-way merge of folders, by the hashes of whole files.

use std::collections::{BTreeMap, BTreeSet};

/// SHA-256 of each file's text, by the file's name.
pub type Hashes = BTreeMap<String, String>;

/// Merges what an operator made of `base` (`ours`) with what others made of it (`theirs`).
///
/// # Errors
///
/// The names of the files that both sides changed, and not in the same way.
pub fn merge(base: &Hashes, ours: &Hashes, theirs: &Hashes) -> Result<Hashes, Vec<String>> {
    let mut merged = theirs.clone();
    let mut conflicts = Vec::new();
    for name in differing(base, ours) {
        let (was, mine, other) = (base.get(name), ours.get(name), theirs.get(name));
        if other != was && other != mine {
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

/// The names of the files in which two folders differ, in order.
pub fn differing<'a>(a: &'a Hashes, b: &'a Hashes) -> BTreeSet<&'a str> {
    a.keys()
        .chain(b.keys())
        .filter(|name| a.get(*name) != b.get(*name))
        .map(String::as_str)
        .collect()
}
