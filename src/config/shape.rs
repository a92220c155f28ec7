//! Checks single values against the JSON schemas: types, keys, choices and ranges.

use std::borrow::Cow;
use std::collections::BTreeMap;

use serde_json::Value as Schema;

use super::fault::Problems;
use super::layer::Kind;
use super::tree::{Position, View};

/// The minimum Jaro-Winkler similarity, from 0 to 1, at which a known name is suggested for an
/// unknown one.
const MIN_SIMILARITY: f64 = 0.8;

/// The values that a schema allows.
#[derive(Debug)]
pub(super) enum Shape {
    /// Any value: the schema uses no keyword that this module supports.
    Any,
    /// A string.
    Text,
    /// One of these strings.
    Choice(Vec<String>),
    /// `true` or `false`.
    Boolean,
    /// An integer from `min` to `max`.
    Integer { min: u64, max: u64 },
    /// A number from `min` to `max`.
    Number { min: f64, max: f64 },
    /// An object with arbitrary keys and values of one shape.
    Map(Box<Shape>),
    /// An object with fixed keys.
    Record(BTreeMap<String, Field>),
}

/// A key of a record: the shape of its value, and whether the key is required.
#[derive(Debug)]
pub(super) struct Field {
    shape: Shape,
    presence: Presence,
}

#[derive(Debug, Eq, PartialEq)]
enum Presence {
    Required,
    Optional,
}

impl Shape {
    /// Parses a JSON schema. A text that is not JSON allows any value.
    pub(super) fn with_schema(text: &str) -> Self {
        match serde_json::from_str(text) {
            Ok(root) => parse_schema(&root, &root),
            Err(_) => Shape::Any,
        }
    }

    /// Checks `view` and all values nested in it, and adds the problems to `problems`. `path` holds
    /// the keys from the root to `view`.
    pub(super) fn check<'t>(
        &self,
        view: View<'t>,
        path: &mut Vec<Cow<'t, str>>,
        problems: &mut Problems,
    ) {
        match (self, view.kind()) {
            (Shape::Map(inner), Kind::Object) => {
                for entry in view.children() {
                    inner.check_entry(entry, path, problems);
                }
            }
            (Shape::Record(fields), Kind::Object) => {
                check_record(fields, view, view.position(), path, problems);
            }
            _ => {
                if let Some(problem) = self.problem(view) {
                    problems.add(view.position(), path, problem);
                }
            }
        }
    }

    /// Like [`Shape::check`] for the root, but reports keys that are missing in `root` itself at
    /// `position`.
    pub(super) fn check_root(&self, root: View<'_>, position: Position, problems: &mut Problems) {
        match self {
            Shape::Record(fields) => {
                check_record(fields, root, position, &mut Vec::new(), problems);
            }
            _ => self.check(root, &mut Vec::new(), problems),
        }
    }

    fn check_entry<'t>(
        &self,
        entry: View<'t>,
        path: &mut Vec<Cow<'t, str>>,
        problems: &mut Problems,
    ) {
        path.push(entry.key());
        self.check(entry, path, problems);
        path.pop();
    }

    /// Returns the problem of a value of the wrong kind or, for a scalar, outside its range or
    /// choices.
    fn problem(&self, view: View<'_>) -> Option<String> {
        match (self, view.kind()) {
            (Shape::Any, _) | (Shape::Text, Kind::Text) | (Shape::Boolean, Kind::Boolean) => None,
            (Shape::Choice(choices), Kind::Text) => choice_problem(choices, &view.text()?),
            (&Shape::Integer { min, max }, Kind::Number) => integer_problem(view.raw(), min, max),
            (&Shape::Number { min, max }, Kind::Number) => number_problem(view.raw(), min, max),
            (_, kind) => Some(format!(
                "expected {}, found {}",
                self.type_name(),
                kind_name(kind)
            )),
        }
    }

    /// The expected type, as named in error messages.
    fn type_name(&self) -> &'static str {
        match self {
            Shape::Any => "any value",
            Shape::Text | Shape::Choice(_) => "a string",
            Shape::Boolean => "true or false",
            Shape::Integer { .. } => "a whole number",
            Shape::Number { .. } => "a number",
            Shape::Map(_) | Shape::Record(_) => "an object",
        }
    }
}

/// The found type, as named in error messages.
fn kind_name(kind: Kind) -> &'static str {
    match kind {
        Kind::Null => "null",
        Kind::Boolean => "true or false",
        Kind::Number => "a number",
        Kind::Text => "a string",
        Kind::List => "a list",
        Kind::Object => "an object",
    }
}

/// Reports unknown and missing keys of an object and checks the values of the known ones. Missing
/// keys are reported at `position`.
fn check_record<'t>(
    fields: &BTreeMap<String, Field>,
    view: View<'t>,
    position: Position,
    path: &mut Vec<Cow<'t, str>>,
    problems: &mut Problems,
) {
    for entry in view.children() {
        let key = entry.key();
        match fields.get(key.as_ref()) {
            Some(field) => field.shape.check_entry(entry, path, problems),
            None => {
                let hint = suggestion(&key, fields.keys().map(String::as_str));
                path.push(key);
                problems.add(
                    entry.key_position(),
                    path,
                    format!("is an unknown key{hint}"),
                );
                path.pop();
            }
        }
    }
    for (name, field) in fields {
        if field.presence == Presence::Required && view.get(name).is_none() {
            problems.add(position, path, format!("'{name}' is missing"));
        }
    }
}

fn choice_problem(choices: &[String], text: &str) -> Option<String> {
    if choices.iter().any(|choice| choice == text) {
        return None;
    }
    let hint = suggestion(text, choices.iter().map(String::as_str));
    let choices = choices.join(", ");
    Some(format!("'{text}' is not one of {choices}{hint}"))
}

fn integer_problem(text: &str, min: u64, max: u64) -> Option<String> {
    match text.parse::<u64>() {
        Ok(integer) if (min..=max).contains(&integer) => None,
        Err(_) if text.contains(['.', 'e', 'E']) => Some(format!("{text} is not a whole number")),
        _ => Some(format!("{text} is not from {min} to {max}")),
    }
}

fn number_problem(text: &str, min: f64, max: f64) -> Option<String> {
    match text.parse::<f64>() {
        Ok(number) if number.is_finite() && (min..=max).contains(&number) => None,
        _ if max == f64::MAX => Some(format!("{text} is not a number from {min} up")),
        _ => Some(format!("{text} is not from {min} to {max}")),
    }
}

/// Returns `; did you mean 'NAME'?` with the known name that is most similar to `name`, or an
/// empty string if none reaches [`MIN_SIMILARITY`].
pub(super) fn suggestion<'k>(name: &str, known: impl Iterator<Item = &'k str>) -> String {
    known
        .map(|known| (strsim::jaro_winkler(name, known), known))
        .filter(|&(similarity, _)| similarity >= MIN_SIMILARITY)
        .max_by(|a, b| a.0.total_cmp(&b.0))
        .map_or(String::new(), |(_, known)| {
            format!("; did you mean '{known}'?")
        })
}

/// Parses a schema; `root` is the document that its references point into.
fn parse_schema(root: &Schema, schema: &Schema) -> Shape {
    if let Some(name) = schema["$ref"].as_str() {
        return match root.pointer(name.trim_start_matches('#')) {
            Some(target) => parse_schema(root, target),
            None => Shape::Any,
        };
    }
    if let Some(inner) = schema.pointer("/allOf/0") {
        return parse_schema(root, inner);
    }
    if let Some(choices) = schema["enum"].as_array() {
        let choices = choices.iter().filter_map(Schema::as_str);
        return Shape::Choice(choices.map(String::from).collect());
    }
    match schema["type"].as_str() {
        Some("string") => Shape::Text,
        Some("boolean") => Shape::Boolean,
        Some("integer") => Shape::Integer {
            min: schema["minimum"].as_u64().unwrap_or(0),
            max: schema["maximum"].as_u64().unwrap_or(format_max(schema)),
        },
        Some("number") => Shape::Number {
            min: schema["minimum"].as_f64().unwrap_or(f64::MIN),
            max: schema["maximum"].as_f64().unwrap_or(f64::MAX),
        },
        Some("object") => parse_object_schema(root, schema),
        _ => Shape::Any,
    }
}

/// The largest number that an integer's `format` allows.
fn format_max(schema: &Schema) -> u64 {
    match schema["format"].as_str() {
        Some("uint8") => u8::MAX.into(),
        Some("uint16") => u16::MAX.into(),
        Some("uint32") => u32::MAX.into(),
        _ => u64::MAX,
    }
}

/// Parses the schema of an object as a map or a record.
fn parse_object_schema(root: &Schema, schema: &Schema) -> Shape {
    if schema["additionalProperties"].is_object() {
        return Shape::Map(Box::new(parse_schema(
            root,
            &schema["additionalProperties"],
        )));
    }
    let Some(properties) = schema["properties"].as_object() else {
        return Shape::Any;
    };
    let is_required = |name: &str| {
        let required = schema["required"].as_array();
        required.is_some_and(|names| names.iter().any(|required| required == name))
    };
    let field = |(name, inner): (&String, &Schema)| {
        let presence = if is_required(name) {
            Presence::Required
        } else {
            Presence::Optional
        };
        let shape = parse_schema(root, inner);
        (name.clone(), Field { shape, presence })
    };
    Shape::Record(properties.iter().map(field).collect())
}
