//! One parsed file: a flat list of its values, each of which refers to a range of the text.
//!
//! A configuration may hold millions of client blocks, so a value takes 24 bytes and has no
//! allocation of its own.

use std::borrow::Cow;
use std::sync::Arc;

use jsonc_parser::ast;
use jsonc_parser::common::{Range, Ranged};
use jsonc_parser::{CollectOptions, ParseOptions};

/// JSON with comments and trailing commas; all other extensions are syntax errors.
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

/// The maximum size of a file in bytes, which is the platform's limit for one object.
pub const MAX_FILE_BYTES: usize = 1_000_000;

/// The index of the root in a layer's list of values.
pub(super) const ROOT: u32 = 0;

/// The kind of a value.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Kind {
    /// `null`.
    Null,
    /// `true` or `false`.
    Boolean,
    /// A number.
    Number,
    /// A string.
    Text,
    /// A list.
    List,
    /// An object.
    Object,
}

/// A range of byte offsets in the text.
#[derive(Clone, Copy, Debug)]
struct Span {
    start: u32,
    end: u32,
}

/// A value. The values nested in an object or a list follow it directly; those of an object are
/// sorted by key.
#[derive(Clone, Copy, Debug)]
struct FlatValue {
    /// The key with its quotes; empty for the root and for list elements.
    key_span: Span,
    /// The source text of the value.
    value_span: Span,
    /// The index of the first value after this one and all values nested in it.
    subtree_end: u32,
    kind: Kind,
}

/// A syntax error, an oversized file or a duplicate key, found in one file alone.
#[derive(Clone, Debug)]
pub(super) struct Problem {
    /// The byte offset of the problem.
    pub(super) offset: u32,
    /// The keys from the root to the value; empty for the whole file.
    pub(super) path: Vec<String>,
    /// The message.
    pub(super) text: String,
}

/// One parsed file.
#[derive(Debug)]
pub(super) struct Layer {
    text: Arc<str>,
    values: Vec<FlatValue>,
    problems: Vec<Problem>,
}

impl Layer {
    /// Parses a text. A text without any value, such as an empty one, is an empty object.
    pub(super) fn with_text(text: Arc<str>) -> Self {
        let mut layer = Self {
            text,
            values: Vec::new(),
            problems: Vec::new(),
        };
        match parse_values(&layer.text) {
            Ok(values) => layer.values = values,
            Err(problem) => layer.problems.push(problem),
        }
        layer.values.shrink_to_fit();
        if layer.is_parsed() {
            layer.report_duplicate_keys(ROOT, &mut Vec::new());
        }
        layer
    }

    /// Whether the text was parsed and its root is an object.
    pub(super) fn is_parsed(&self) -> bool {
        !self.values.is_empty()
    }

    /// The problems found in this file alone.
    pub(super) fn problems(&self) -> &[Problem] {
        &self.problems
    }

    /// The kind of the value at `index`.
    pub(super) fn kind(&self, index: u32) -> Kind {
        self.value(index).kind
    }

    /// The byte offset at which a value starts.
    pub(super) fn offset(&self, index: u32) -> u32 {
        self.value(index).value_span.start
    }

    /// The byte offset at which the key of a value starts.
    pub(super) fn key_offset(&self, index: u32) -> u32 {
        self.value(index).key_span.start
    }

    /// The key of a value, unescaped.
    pub(super) fn key(&self, index: u32) -> Cow<'_, str> {
        unquote(self.slice(self.value(index).key_span))
    }

    /// The source text of a value.
    pub(super) fn raw(&self, index: u32) -> &str {
        self.slice(self.value(index).value_span)
    }

    /// The unescaped text of a string value.
    pub(super) fn text(&self, index: u32) -> Cow<'_, str> {
        unquote(self.raw(index))
    }

    /// The indices of an object's or a list's direct children.
    pub(super) fn children(&self, index: u32) -> Children<'_> {
        Children {
            layer: self,
            next: index + 1,
            end: self.value(index).subtree_end,
        }
    }

    /// Whether a value is `null` or contains a `null`.
    pub(super) fn has_null(&self, index: u32) -> bool {
        let subtree = index as usize..self.value(index).subtree_end as usize;
        self.values[subtree].iter().any(|i| i.kind == Kind::Null)
    }

    fn value(&self, index: u32) -> &FlatValue {
        &self.values[index as usize]
    }

    fn slice(&self, span: Span) -> &str {
        &self.text[span.start as usize..span.end as usize]
    }

    /// Reports duplicate keys in the value at `index` and in the values nested in it. `parents`
    /// holds the indices of the values on the path from below the root to `index`.
    fn report_duplicate_keys(&mut self, index: u32, parents: &mut Vec<u32>) {
        let mut child = index + 1;
        let mut previous: Option<u32> = None;
        let end = self.value(index).subtree_end;
        let is_object = self.kind(index) == Kind::Object;
        while child < end {
            parents.push(child);
            if is_object && previous.is_some_and(|previous| self.key(previous) == self.key(child)) {
                let path = parents.iter().map(|&index| self.key(index).into_owned());
                let problem = Problem {
                    offset: self.key_offset(child),
                    path: path.collect(),
                    text: "is given twice in one object".into(),
                };
                self.problems.push(problem);
            }
            self.report_duplicate_keys(child, parents);
            parents.pop();
            previous = Some(child);
            child = self.value(child).subtree_end;
        }
    }
}

/// Iterates over the indices of a value's direct children.
#[derive(Clone)]
pub(super) struct Children<'l> {
    layer: &'l Layer,
    next: u32,
    end: u32,
}

impl Iterator for Children<'_> {
    type Item = u32;

    fn next(&mut self) -> Option<u32> {
        if self.next >= self.end {
            return None;
        }
        let index = self.next;
        self.next = self.layer.value(index).subtree_end;
        Some(index)
    }
}

/// Returns the text of a string literal without quotes and escapes.
fn unquote(literal: &str) -> Cow<'_, str> {
    let inner = literal.get(1..literal.len().saturating_sub(1));
    let inner = inner.unwrap_or_default();
    if !inner.contains('\\') {
        return inner.into();
    }
    let unescaped = serde_json::from_str::<String>(literal);
    unescaped.map_or(inner.into(), Cow::from)
}

/// Parses a text into a flat list of values.
fn parse_values(text: &str) -> Result<Vec<FlatValue>, Problem> {
    let problem = |offset: usize, text: String| Problem {
        offset: offset as u32,
        path: Vec::new(),
        text,
    };
    if text.len() > MAX_FILE_BYTES {
        return Err(problem(0, format!("has more than {MAX_FILE_BYTES} bytes")));
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
    let mut values = Vec::new();
    append_value(&mut values, Span { start: 0, end: 0 }, value);
    Ok(values)
}

/// Appends a value and, after it, all values nested in it.
fn append_value(values: &mut Vec<FlatValue>, key: Span, value: ast::Value<'_>) {
    let first = values.len();
    values.push(FlatValue {
        key_span: key,
        value_span: span(&value),
        subtree_end: 0,
        kind: kind(&value),
    });
    match value {
        ast::Value::Object(mut object) => {
            let properties = &mut object.properties;
            properties.sort_by(|a, b| a.name.as_str().cmp(b.name.as_str()));
            for property in object.properties {
                append_value(values, span(&property.name), property.value);
            }
        }
        ast::Value::Array(list) => {
            for value in list.elements {
                append_value(values, Span { start: 0, end: 0 }, value);
            }
        }
        _ => {}
    }
    values[first].subtree_end = values.len() as u32;
}

/// The byte range of a value or a key.
fn span(ranged: &impl Ranged) -> Span {
    Span {
        start: ranged.start() as u32,
        end: ranged.end() as u32,
    }
}

fn kind(value: &ast::Value<'_>) -> Kind {
    match value {
        ast::Value::NullKeyword(_) => Kind::Null,
        ast::Value::BooleanLit(_) => Kind::Boolean,
        ast::Value::NumberLit(_) => Kind::Number,
        ast::Value::StringLit(_) => Kind::Text,
        ast::Value::Array(_) => Kind::List,
        ast::Value::Object(_) => Kind::Object,
    }
}
