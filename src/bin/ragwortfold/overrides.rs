//! The configuration file that `drain` and `undrain` write. It sorts after the operators' own files
//! and overrides them, so that those keep their text and their comments.

use std::sync::Arc;

use jsonc_parser::cst::{CstInputValue, CstObject, CstRootNode};
use jsonc_parser::errors::ParseError;
use jsonc_parser::ParseOptions;
use ragwortfold::border::configuration::State;

/// The name of the file. Files are merged in byte order of their names, and later ones take
/// precedence.
pub(crate) const FILE_NAME: &str = "zz-drain.json";
/// The text of a new file.
const EMPTY_FILE: &str = "// Written by 'ragwortfold drain' and 'undrain'.\n{\n}\n";
/// The key of the state in a record.
const STATE_KEY: &str = "state";

/// Returns the text with the state of the record `section.name` set; without a text, that of a new
/// file.
pub(crate) fn set_state(
    text: Option<&str>,
    section: &str,
    name: &str,
    state: State,
) -> Result<Arc<str>, ParseError> {
    let root = CstRootNode::parse(text.unwrap_or(EMPTY_FILE), &ParseOptions::default())?;
    let record = root
        .object_value_or_set()
        .object_value_or_set(section)
        .object_value_or_set(name);
    let value = CstInputValue::String(state.to_string());
    match record.get(STATE_KEY) {
        Some(property) => property.set_value(value),
        None => {
            record.append(STATE_KEY, value);
        }
    }
    Ok(root.to_string().into())
}

/// Returns the text without the state of the record `section.name`, or `None` if the file has no
/// other content.
pub(crate) fn remove_state(
    text: &str,
    section: &str,
    name: &str,
) -> Result<Option<Arc<str>>, ParseError> {
    let root = CstRootNode::parse(text, &ParseOptions::default())?;
    let root_object = root.object_value_or_set();
    if let Some(records) = root_object.object_value(section) {
        if let Some(record) = records.object_value(name) {
            remove_property(&record, STATE_KEY);
            remove_if_empty(&records, name, &record);
        }
        remove_if_empty(&root_object, section, &records);
    }
    let is_empty = root_object.properties().is_empty();
    Ok((!is_empty).then(|| root.to_string().into()))
}

fn remove_if_empty(parent: &CstObject, key: &str, child: &CstObject) {
    if child.properties().is_empty() {
        remove_property(parent, key);
    }
}

fn remove_property(object: &CstObject, key: &str) {
    if let Some(property) = object.get(key) {
        property.remove();
    }
}
