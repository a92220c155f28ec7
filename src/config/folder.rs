//! A folder of configuration files.

use std::collections::BTreeMap;
use std::path::Path;
use std::sync::Arc;

use crate::border::configuration::Configuration;

use super::{Error, Fault, Faults};

/// The ending of the files that count.
const ENDING: &str = ".json";

/// The files of a configuration, by name. Later names override earlier ones.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Folder {
    files: BTreeMap<Arc<str>, Arc<str>>,
}

impl Folder {
    /// A folder of these texts by file name.
    pub fn with_files(files: BTreeMap<Arc<str>, Arc<str>>) -> Self {
        Self { files }
    }

    /// The texts by file name.
    pub fn files(&self) -> &BTreeMap<Arc<str>, Arc<str>> {
        &self.files
    }

    /// The configuration that the files make together.
    ///
    /// # Errors
    ///
    /// All faults of the folder at once.
    pub fn merged(&self) -> Result<Configuration, Faults> {
        let mut merged = serde_json::Value::Object(serde_json::Map::new());
        for (name, text) in &self.files {
            let value = jsonc_parser::parse_to_serde_value(text, &Default::default())
                .map_err(|error| fault(name, &error))?;
            merge(&mut merged, value);
        }
        serde_json::from_value(merged).map_err(|error| fault("", &error))
    }
}

fn fault(name: &str, error: &dyn std::fmt::Display) -> Faults {
    Faults(vec![Fault {
        file: name.into(),
        line: 1,
        column: 1,
        path: "".into(),
        problem: error.to_string().into(),
    }])
}

fn merge(into: &mut serde_json::Value, from: serde_json::Value) {
    use serde_json::Value;
    match (into, from) {
        (Value::Object(into), Value::Object(from)) => {
            for (key, value) in from {
                if value.is_null() {
                    into.remove(&key);
                } else {
                    merge(into.entry(key).or_insert(Value::Null), value);
                }
            }
        }
        (into, from) => *into = from,
    }
}

/// Reads the files of `dir`.
pub(super) fn read(dir: &Path) -> Result<Folder, Error> {
    let failed = |path: &Path| {
        let path: Arc<str> = path.display().to_string().into();
        move |source| Error::Read { path, source }
    };
    let mut files = BTreeMap::new();
    for entry in std::fs::read_dir(dir).map_err(failed(dir))? {
        let path = entry.map_err(failed(dir))?.path();
        let Some(name) = path.file_name().and_then(|name| name.to_str()) else {
            continue;
        };
        if name.ends_with(ENDING) && path.is_file() {
            let text = std::fs::read_to_string(&path).map_err(failed(&path))?;
            files.insert(name.into(), text.into());
        }
    }
    Ok(Folder { files })
}
