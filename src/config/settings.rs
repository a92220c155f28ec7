//! The settings of one entry host: a file of JSON with comments, and flags that override it.

use std::path::Path;
use std::sync::Arc;

use serde_json::{Map, Value};

use crate::border::settings::Settings;

use super::{Error, Fault, Faults};

/// Values that go before those of the settings file.
#[derive(Clone, Debug, Default)]
pub struct Overrides {
    /// Pairs of a path, such as `log.level`, and its value.
    pub values: Vec<(Arc<str>, Arc<str>)>,
}

/// Reads a settings file and lays `overrides` over it.
///
/// # Errors
///
/// A file that cannot be read, or all faults of its values.
pub fn read(file: &Path, overrides: &Overrides) -> Result<Settings, Error> {
    let name: Arc<str> = file.display().to_string().into();
    let text = std::fs::read_to_string(file).map_err(|source| Error::Read {
        path: name.clone(),
        source,
    })?;
    Ok(with_text(&name, &text, overrides)?)
}

/// Settings from the text of a file called `name`, with `overrides` laid over it.
///
/// # Errors
///
/// All faults of the values.
pub fn with_text(name: &str, text: &str, overrides: &Overrides) -> Result<Settings, Faults> {
    let fault = |problem: String| {
        Faults(vec![Fault {
            file: name.into(),
            line: 1,
            column: 1,
            path: "".into(),
            problem: problem.into(),
        }])
    };
    let mut value: Value = jsonc_parser::parse_to_serde_value(text, &Default::default())
        .map_err(|error| fault(error.to_string()))?;
    for (path, text) in &overrides.values {
        put(&mut value, path, text);
    }
    serde_json::from_value(value).map_err(|error| fault(error.to_string()))
}

fn put(value: &mut Value, path: &str, text: &str) {
    let Value::Object(map) = value else { return };
    match path.split_once('.') {
        None => {
            map.insert(path.into(), text.into());
        }
        Some((key, rest)) => put(
            map.entry(key).or_insert_with(|| Value::Object(Map::new())),
            rest,
            text,
        ),
    }
}
