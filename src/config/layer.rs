//! One parsed file: a flat list of its values, which points into its text.
//!
//! A configuration may hold millions of client blocks, so a value takes 24 bytes and no
//! allocation of its own.

use std::borrow::Cow;
use std::sync::Arc;

use jsonc_parser::ast;
use jsonc_parser::common::{Range, Ranged};
use jsonc_parser::{CollectOptions, ParseOptions};

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

/// The largest file, in bytes: what the platform takes as one object.
pub const LARGEST_FILE: usize = 1_000_000;

/// The number of the root among a layer's values.
pub(super) const ROOT: u32 = 0;

/// The kind of a value.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Kind {
    /// `null`.
    Null,
    /// `true` or `false`.
    Flag,
    /// A number.
    Number,
    /// A string.
    Text,
    /// A list.
    List,
    /// An object.
    Object,
}

/// A part of the text.
#[derive(Clone, Copy, Debug)]
struct Span {
    start: u32,
    end: u32,
}

/// A value. Those inside an object or a list follow it, objects' in the order of their keys.
#[derive(Clone, Copy, Debug)]
struct Item {
    /// The key with its quotes; empty for the root and inside lists.
    key: Span,
    /// The value as it is written.
    value: Span,
    /// The number of the first value that is not inside this one.
    next: u32,
    kind: Kind,
}

/// What is wrong with one file by itself.
#[derive(Clone, Debug)]
pub(super) struct Problem {
    /// Where, as a byte offset.
    pub(super) offset: u32,
    /// The path of the value.
    pub(super) path: Vec<String>,
    /// What is wrong.
    pub(super) text: String,
}

/// One parsed file.
#[derive(Debug)]
pub(super) struct Layer {
    text: Arc<str>,
    items: Vec<Item>,
    problems: Vec<Problem>,
}

impl Layer {
    /// Parses a text. One without any value is an empty object.
    pub(super) fn with_text(text: Arc<str>) -> Self {
        let mut layer = Self {
            text,
            items: Vec::new(),
            problems: Vec::new(),
        };
        match items(&layer.text) {
            Ok(items) => layer.items = items,
            Err(problem) => layer.problems.push(problem),
        }
        layer.items.shrink_to_fit();
        if layer.is_read() {
            layer.note_twice(ROOT, &mut Vec::new());
        }
        layer
    }

    /// Whether the text could be read as an object.
    pub(super) fn is_read(&self) -> bool {
        !self.items.is_empty()
    }

    /// What is wrong with this file by itself.
    pub(super) fn problems(&self) -> &[Problem] {
        &self.problems
    }

    /// The kind of a value.
    pub(super) fn kind(&self, item: u32) -> Kind {
        self.item(item).kind
    }

    /// Where a value starts.
    pub(super) fn offset(&self, item: u32) -> u32 {
        self.item(item).value.start
    }

    /// Where the key of a value starts.
    pub(super) fn key_offset(&self, item: u32) -> u32 {
        self.item(item).key.start
    }

    /// The key of a value.
    pub(super) fn key(&self, item: u32) -> Cow<'_, str> {
        unquoted(self.slice(self.item(item).key))
    }

    /// A value as it is written.
    pub(super) fn raw(&self, item: u32) -> &str {
        self.slice(self.item(item).value)
    }

    /// The text of a string.
    pub(super) fn text(&self, item: u32) -> Cow<'_, str> {
        unquoted(self.raw(item))
    }

    /// The values right inside an object or a list.
    pub(super) fn children(&self, item: u32) -> Children<'_> {
        Children {
            layer: self,
            at: item + 1,
            end: self.item(item).next,
        }
    }

    /// Whether a value is `null` or has one inside.
    pub(super) fn has_null(&self, item: u32) -> bool {
        let inside = item as usize..self.item(item).next as usize;
        self.items[inside].iter().any(|i| i.kind == Kind::Null)
    }

    fn item(&self, item: u32) -> &Item {
        &self.items[item as usize]
    }

    fn slice(&self, span: Span) -> &str {
        &self.text[span.start as usize..span.end as usize]
    }

    /// Notes keys that stand twice in one object. `above` are the values that `item` is inside.
    fn note_twice(&mut self, item: u32, above: &mut Vec<u32>) {
        let mut at = item + 1;
        let mut last: Option<u32> = None;
        let end = self.item(item).next;
        let is_object = self.kind(item) == Kind::Object;
        while at < end {
            above.push(at);
            if is_object && last.is_some_and(|last| self.key(last) == self.key(at)) {
                let path = above.iter().map(|&item| self.key(item).into_owned());
                let problem = Problem {
                    offset: self.key_offset(at),
                    path: path.collect(),
                    text: "is given twice in one object".into(),
                };
                self.problems.push(problem);
            }
            self.note_twice(at, above);
            above.pop();
            last = Some(at);
            at = self.item(at).next;
        }
    }
}

/// The values right inside another.
#[derive(Clone)]
pub(super) struct Children<'l> {
    layer: &'l Layer,
    at: u32,
    end: u32,
}

impl Iterator for Children<'_> {
    type Item = u32;

    fn next(&mut self) -> Option<u32> {
        if self.at >= self.end {
            return None;
        }
        let item = self.at;
        self.at = self.layer.item(item).next;
        Some(item)
    }
}

/// The text of a string literal.
fn unquoted(literal: &str) -> Cow<'_, str> {
    let inner = literal.get(1..literal.len().saturating_sub(1));
    let inner = inner.unwrap_or_default();
    if !inner.contains('\\') {
        return inner.into();
    }
    let read = serde_json::from_str::<String>(literal);
    read.map_or(inner.into(), Cow::from)
}

fn items(text: &str) -> Result<Vec<Item>, Problem> {
    let problem = |offset: usize, text: String| Problem {
        offset: offset as u32,
        path: Vec::new(),
        text,
    };
    if text.len() > LARGEST_FILE {
        return Err(problem(0, format!("has more than {LARGEST_FILE} bytes")));
    }
    let parsed = jsonc_parser::parse_to_ast(text, &CollectOptions::default(), &SYNTAX);
    let parsed = parsed.map_err(|error| {
        let offset = error.range().start.min(text.len());
        problem(offset, format!("syntax: {}", error.kind()))
    })?;
    let value = parsed.value.unwrap_or_else(|| {
        ast::Value::Object(ast::Object {
            range: Range::new(0, 0),
            properties: Vec::new(),
        })
    });
    if !matches!(value, ast::Value::Object(_)) {
        return Err(problem(value.start(), "expected an object".into()));
    }
    let mut items = Vec::new();
    put(&mut items, Span { start: 0, end: 0 }, value);
    Ok(items)
}

/// Appends a value and all that is inside it.
fn put(items: &mut Vec<Item>, key: Span, value: ast::Value<'_>) {
    let first = items.len();
    items.push(Item {
        key,
        value: span(&value),
        next: 0,
        kind: kind(&value),
    });
    match value {
        ast::Value::Object(mut object) => {
            let properties = &mut object.properties;
            properties.sort_by(|a, b| a.name.as_str().cmp(b.name.as_str()));
            for property in object.properties {
                put(items, span(&property.name), property.value);
            }
        }
        ast::Value::Array(list) => {
            for value in list.elements {
                put(items, Span { start: 0, end: 0 }, value);
            }
        }
        _ => {}
    }
    items[first].next = items.len() as u32;
}

fn span(ranged: &impl Ranged) -> Span {
    Span {
        start: ranged.start() as u32,
        end: ranged.end() as u32,
    }
}

fn kind(value: &ast::Value<'_>) -> Kind {
    match value {
        ast::Value::NullKeyword(_) => Kind::Null,
        ast::Value::BooleanLit(_) => Kind::Flag,
        ast::Value::NumberLit(_) => Kind::Number,
        ast::Value::StringLit(_) => Kind::Text,
        ast::Value::Array(_) => Kind::List,
        ast::Value::Object(_) => Kind::Object,
    }
}
