//! Values with their places: one tree for each file, and one for all files merged.

use std::borrow::Cow;

use jsonc_parser::ast;
use jsonc_parser::common::Ranged;
use jsonc_parser::{CollectOptions, ParseOptions};

use super::fault::Problems;

/// JSON with comments and trailing commas, nothing looser.
const SYNTAX: ParseOptions = ParseOptions {
    allow_comments: true,
    allow_trailing_commas: true,
    allow_loose_object_property_names: false,
    allow_missing_commas: false,
    allow_single_quoted_strings: false,
    allow_hexadecimal_numbers: false,
    allow_unary_plus_numbers: false,
    allow_bare_decimal_point_numbers: false,
    allow_non_finite_numbers: false,
    allow_extended_string_escapes: false,
};

/// Where a value stands.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) struct Place {
    /// The number of its file.
    pub(super) file: u32,
    /// Its first byte.
    pub(super) offset: u32,
}

/// A value and its place. Text is borrowed from the files.
#[derive(Clone, Debug)]
pub(super) struct Node<'a> {
    /// Where it stands; of a merged object, where its last layer stands.
    pub(super) place: Place,
    /// The value itself.
    pub(super) value: Value<'a>,
}

/// A JSON value.
#[derive(Clone, Debug)]
pub(super) enum Value<'a> {
    /// `null`.
    Null,
    /// `true` or `false`.
    Flag(bool),
    /// A number, as it is written.
    Number(&'a str),
    /// A string.
    Text(Cow<'a, str>),
    /// A list.
    List(Vec<Node<'a>>),
    /// An object, in the order of its keys.
    Object(Vec<Entry<'a>>),
}

/// A key of an object and its value.
#[derive(Clone, Debug)]
pub(super) struct Entry<'a> {
    /// The key.
    pub(super) key: Cow<'a, str>,
    /// Where the key stands.
    pub(super) place: Place,
    /// The value.
    pub(super) node: Node<'a>,
}

impl<'a> Node<'a> {
    /// The entries of an object; none of anything else.
    pub(super) fn entries(&self) -> &[Entry<'a>] {
        match &self.value {
            Value::Object(entries) => entries,
            _ => &[],
        }
    }

    /// The entry of an object under `key`.
    pub(super) fn get(&self, key: &str) -> Option<&Entry<'a>> {
        let entries = self.entries();
        let found = entries.binary_search_by(|entry| entry.key.as_ref().cmp(key));
        found.ok().map(|i| &entries[i])
    }

    /// The entries of the object under `key`.
    pub(super) fn section(&self, key: &str) -> &[Entry<'a>] {
        self.get(key).map_or(&[], |entry| entry.node.entries())
    }

    /// The string under `key`, with its place.
    pub(super) fn text(&self, key: &str) -> Option<(&str, Place)> {
        let node = &self.get(key)?.node;
        match &node.value {
            Value::Text(text) => Some((text, node.place)),
            _ => None,
        }
    }

    fn is_object(&self) -> bool {
        matches!(self.value, Value::Object(_))
    }
}

/// Parses one file; a file without any value is an empty object.
pub(super) fn parse<'a>(file: u32, text: &'a str, problems: &mut Problems) -> Option<Node<'a>> {
    let start = Place { file, offset: 0 };
    let parsed = match jsonc_parser::parse_to_ast(text, &CollectOptions::default(), &SYNTAX) {
        Ok(parsed) => parsed,
        Err(error) => {
            let offset = error.range().start.min(text.len()) as u32;
            let problem = format!("syntax: {}", error.kind());
            problems.add(Place { file, offset }, &[], problem);
            return None;
        }
    };
    let root = match parsed.value {
        Some(value) => node(file, value),
        None => Node {
            place: start,
            value: Value::Object(Vec::new()),
        },
    };
    note_twice(&root, &mut Vec::new(), problems);
    Some(root)
}

/// Notes keys that stand twice in one object; entries are in the order of their keys.
fn note_twice<'n>(node: &'n Node<'_>, path: &mut Vec<&'n str>, problems: &mut Problems) {
    let entries = node.entries();
    for (i, entry) in entries.iter().enumerate() {
        path.push(&entry.key);
        if i > 0 && entries[i - 1].key == entry.key {
            problems.add(entry.place, path, "is given twice in one object".into());
        }
        note_twice(&entry.node, path, problems);
        path.pop();
    }
}

fn node(file: u32, value: ast::Value<'_>) -> Node<'_> {
    let place = place(file, &value);
    let value = match value {
        ast::Value::NullKeyword(_) => Value::Null,
        ast::Value::BooleanLit(flag) => Value::Flag(flag.value),
        ast::Value::NumberLit(number) => Value::Number(number.value),
        ast::Value::StringLit(text) => Value::Text(text.value),
        ast::Value::Array(list) => {
            let nodes = list.elements.into_iter();
            Value::List(nodes.map(|value| node(file, value)).collect())
        }
        ast::Value::Object(object) => Value::Object(entries(file, object)),
    };
    Node { place, value }
}

fn entries(file: u32, object: ast::Object<'_>) -> Vec<Entry<'_>> {
    let mut entries: Vec<Entry<'_>> = object
        .properties
        .into_iter()
        .map(|property| Entry {
            place: place(file, &property.name),
            key: match property.name {
                ast::ObjectPropName::String(text) => text.value,
                ast::ObjectPropName::Word(word) => word.value.into(),
            },
            node: node(file, property.value),
        })
        .collect();
    entries.sort_by(|a, b| a.key.cmp(&b.key));
    entries
}

fn place(file: u32, ranged: &impl Ranged) -> Place {
    Place {
        file,
        offset: ranged.start() as u32,
    }
}

/// Merges values of one name, the earliest file's first. Objects merge by key, anything else
/// replaces what was before it, and `null` removes it.
pub(super) fn merge<'a>(mut layers: Vec<Node<'a>>) -> Option<Node<'a>> {
    if let Some(i) = layers.iter().rposition(|node| !node.is_object()) {
        let objects = layers.split_off(i + 1);
        if objects.is_empty() {
            return layers
                .pop()
                .filter(|node| !matches!(node.value, Value::Null));
        }
        layers = objects;
    }
    let place = layers.last()?.place;
    let mut entries = Vec::with_capacity(layers.iter().map(|node| node.entries().len()).sum());
    for layer in layers {
        if let Value::Object(layer) = layer.value {
            entries.extend(layer);
        }
    }
    entries.sort_by(|a: &Entry<'_>, b| a.key.cmp(&b.key));
    let value = Value::Object(merge_entries(entries));
    Some(Node { place, value })
}

/// Merges neighbours of the same key.
fn merge_entries(entries: Vec<Entry<'_>>) -> Vec<Entry<'_>> {
    let mut merged = Vec::with_capacity(entries.len());
    let mut rest = entries.into_iter().peekable();
    while let Some(Entry {
        key,
        mut place,
        node,
    }) = rest.next()
    {
        let mut layers = vec![node];
        while let Some(next) = rest.next_if(|next| next.key == key) {
            place = next.place;
            layers.push(next.node);
        }
        if let Some(node) = merge(layers) {
            merged.push(Entry { key, place, node });
        }
    }
    merged
}
