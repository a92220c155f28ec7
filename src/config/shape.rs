//! What the schemas say of single values: types, keys, choices and ranges.

use std::borrow::Cow;
use std::collections::BTreeMap;

use serde_json::Value as Schema;

use super::fault::Problems;
use super::layer::Kind;
use super::tree::{Place, View};

/// How alike two names must be for one to be suggested for the other, from 0 to 1.
const ALIKE: f64 = 0.8;

/// What values are allowed.
#[derive(Debug)]
pub(super) enum Shape {
    /// Anything: the schema says nothing that is known here.
    Any,
    /// A string.
    Text,
    /// One of these strings.
    Choice(Vec<String>),
    /// `true` or `false`.
    Flag,
    /// A whole number within a range.
    Whole { least: u64, most: u64 },
    /// A number within a range.
    Number { least: f64, most: f64 },
    /// An object whose keys are names.
    Map(Box<Shape>),
    /// An object with fixed keys.
    Record(BTreeMap<String, Field>),
}

/// A key of a record.
#[derive(Debug)]
pub(super) struct Field {
    shape: Shape,
    need: Need,
}

#[derive(Debug, Eq, PartialEq)]
enum Need {
    Required,
    Optional,
}

impl Shape {
    /// The shape that a JSON schema describes.
    pub(super) fn with_schema(text: &str) -> Self {
        match serde_json::from_str(text) {
            Ok(root) => shape(&root, &root),
            Err(_) => Shape::Any,
        }
    }

    /// Notes what in `view` and below it is not as it should be.
    pub(super) fn check<'t>(
        &self,
        view: View<'t>,
        path: &mut Vec<Cow<'t, str>>,
        problems: &mut Problems,
    ) {
        match (self, view.kind()) {
            (Shape::Map(inner), Kind::Object) => {
                for entry in view.inside() {
                    inner.check_entry(entry, path, problems);
                }
            }
            (Shape::Record(fields), Kind::Object) => {
                check_record(fields, view, view.place(), path, problems);
            }
            _ => {
                if let Some(problem) = self.problem(view) {
                    problems.add(view.place(), path, problem);
                }
            }
        }
    }

    /// Like [`Shape::check`], but what is missing in `root` itself is missing at `place`.
    pub(super) fn check_at(&self, root: View<'_>, place: Place, problems: &mut Problems) {
        match self {
            Shape::Record(fields) => {
                check_record(fields, root, place, &mut Vec::new(), problems);
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

    /// What is wrong with a value that is not an object, or should be one.
    fn problem(&self, view: View<'_>) -> Option<String> {
        match (self, view.kind()) {
            (Shape::Any, _) | (Shape::Text, Kind::Text) | (Shape::Flag, Kind::Flag) => None,
            (Shape::Choice(choices), Kind::Text) => choice_problem(choices, &view.text()?),
            (&Shape::Whole { least, most }, Kind::Number) => whole_problem(view.raw(), least, most),
            (&Shape::Number { least, most }, Kind::Number) => {
                number_problem(view.raw(), least, most)
            }
            (_, kind) => Some(format!("expected {}, found {}", self.noun(), noun(kind))),
        }
    }

    fn noun(&self) -> &'static str {
        match self {
            Shape::Any => "any value",
            Shape::Text | Shape::Choice(_) => "a string",
            Shape::Flag => "true or false",
            Shape::Whole { .. } => "a whole number",
            Shape::Number { .. } => "a number",
            Shape::Map(_) | Shape::Record(_) => "an object",
        }
    }
}

fn noun(kind: Kind) -> &'static str {
    match kind {
        Kind::Null => "null",
        Kind::Flag => "true or false",
        Kind::Number => "a number",
        Kind::Text => "a string",
        Kind::List => "a list",
        Kind::Object => "an object",
    }
}

fn check_record<'t>(
    fields: &BTreeMap<String, Field>,
    view: View<'t>,
    place: Place,
    path: &mut Vec<Cow<'t, str>>,
    problems: &mut Problems,
) {
    for entry in view.inside() {
        let key = entry.key();
        match fields.get(key.as_ref()) {
            Some(field) => field.shape.check_entry(entry, path, problems),
            None => {
                let hint = suggestion(&key, fields.keys().map(String::as_str));
                path.push(key);
                problems.add(entry.key_place(), path, format!("is an unknown key{hint}"));
                path.pop();
            }
        }
    }
    for (name, field) in fields {
        if field.need == Need::Required && view.get(name).is_none() {
            problems.add(place, path, format!("'{name}' is missing"));
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

fn whole_problem(text: &str, least: u64, most: u64) -> Option<String> {
    match text.parse::<u64>() {
        Ok(whole) if (least..=most).contains(&whole) => None,
        Err(_) if text.contains(['.', 'e', 'E']) => Some(format!("{text} is not a whole number")),
        _ => Some(format!("{text} is not from {least} to {most}")),
    }
}

fn number_problem(text: &str, least: f64, most: f64) -> Option<String> {
    match text.parse::<f64>() {
        Ok(number) if number.is_finite() && (least..=most).contains(&number) => None,
        _ if most == f64::MAX => Some(format!("{text} is not a number from {least} up")),
        _ => Some(format!("{text} is not from {least} to {most}")),
    }
}

/// `; did you mean 'NAME'?` with the known name most like `name`, if one is.
pub(super) fn suggestion<'k>(name: &str, known: impl Iterator<Item = &'k str>) -> String {
    known
        .map(|known| (strsim::jaro_winkler(name, known), known))
        .filter(|&(alike, _)| alike >= ALIKE)
        .max_by(|a, b| a.0.total_cmp(&b.0))
        .map_or(String::new(), |(_, known)| {
            format!("; did you mean '{known}'?")
        })
}

fn shape(root: &Schema, schema: &Schema) -> Shape {
    if let Some(name) = schema["$ref"].as_str() {
        return match root.pointer(name.trim_start_matches('#')) {
            Some(target) => shape(root, target),
            None => Shape::Any,
        };
    }
    if let Some(inner) = schema.pointer("/allOf/0") {
        return shape(root, inner);
    }
    if let Some(choices) = schema["enum"].as_array() {
        let choices = choices.iter().filter_map(Schema::as_str);
        return Shape::Choice(choices.map(String::from).collect());
    }
    match schema["type"].as_str() {
        Some("string") => Shape::Text,
        Some("boolean") => Shape::Flag,
        Some("integer") => Shape::Whole {
            least: schema["minimum"].as_u64().unwrap_or(0),
            most: schema["maximum"].as_u64().unwrap_or(most(schema)),
        },
        Some("number") => Shape::Number {
            least: schema["minimum"].as_f64().unwrap_or(f64::MIN),
            most: schema["maximum"].as_f64().unwrap_or(f64::MAX),
        },
        Some("object") => object(root, schema),
        _ => Shape::Any,
    }
}

/// The largest number of an integer's format.
fn most(schema: &Schema) -> u64 {
    match schema["format"].as_str() {
        Some("uint8") => u8::MAX.into(),
        Some("uint16") => u16::MAX.into(),
        Some("uint32") => u32::MAX.into(),
        _ => u64::MAX,
    }
}

fn object(root: &Schema, schema: &Schema) -> Shape {
    if schema["additionalProperties"].is_object() {
        return Shape::Map(Box::new(shape(root, &schema["additionalProperties"])));
    }
    let Some(properties) = schema["properties"].as_object() else {
        return Shape::Any;
    };
    let is_required = |name: &str| {
        let required = schema["required"].as_array();
        required.is_some_and(|names| names.iter().any(|required| required == name))
    };
    let field = |(name, inner): (&String, &Schema)| {
        let need = if is_required(name) {
            Need::Required
        } else {
            Need::Optional
        };
        let shape = shape(root, inner);
        (name.clone(), Field { shape, need })
    };
    Shape::Record(properties.iter().map(field).collect())
}
