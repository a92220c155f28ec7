//! The merged tree as text.

use std::fmt::{self, Write as _};

use super::fault::Source;
use super::layer::Kind;
use super::lines::Lines;
use super::tree::{Place, View};

/// Spaces for one level.
const INDENT: usize = 2;

/// Whether shown values say where they come from.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Origin {
    /// Plain JSON.
    Hidden,
    /// JSON with comments: after each value its file and line.
    Shown,
}

/// Writes `root` as pretty-printed JSON.
pub(super) fn text(root: View<'_>, sources: &[Source<'_>], origin: Origin) -> String {
    let mut writer = Writer {
        text: String::new(),
        sources,
        lines: match origin {
            Origin::Hidden => Vec::new(),
            Origin::Shown => sources.iter().map(|s| Lines::new(s.text)).collect(),
        },
    };
    // Writing to a string cannot fail.
    let _ = writer.node(root, 0);
    writer.text.push('\n');
    writer.text
}

struct Writer<'s> {
    text: String,
    sources: &'s [Source<'s>],
    lines: Vec<Lines>,
}

impl Writer<'_> {
    fn node(&mut self, view: View<'_>, depth: usize) -> fmt::Result {
        match view.kind() {
            Kind::List => self.group(view, "[", "]", depth),
            Kind::Object => self.group(view, "{", "}", depth),
            Kind::Text => self.string(&view.text().unwrap_or_default()),
            _ => self.text.write_str(view.raw()),
        }
    }

    fn group(&mut self, view: View<'_>, open: &str, close: &str, depth: usize) -> fmt::Result {
        self.text.push_str(open);
        let mut inside = view.inside().peekable();
        if inside.peek().is_some() {
            self.text.push('\n');
        }
        while let Some(value) = inside.next() {
            self.indent(depth + 1);
            if view.kind() == Kind::Object {
                self.string(&value.key())?;
                self.text.push_str(": ");
            }
            self.node(value, depth + 1)?;
            if inside.peek().is_some() {
                self.text.push(',');
            }
            self.end_line(value)?;
        }
        if view.inside().next().is_some() {
            self.indent(depth);
        }
        self.text.write_str(close)
    }

    fn string(&mut self, text: &str) -> fmt::Result {
        write!(self.text, "{}", serde_json::Value::from(text))
    }

    /// Ends the line after a value, with its origin if nothing inside it has one.
    fn end_line(&mut self, view: View<'_>) -> fmt::Result {
        let is_group = matches!(view.kind(), Kind::List | Kind::Object);
        let has_inside = is_group && view.inside().next().is_some();
        if !self.lines.is_empty() && !has_inside {
            self.origin(view.place())?;
        }
        self.text.write_str("\n")
    }

    fn origin(&mut self, place: Place) -> fmt::Result {
        let file = place.file as usize;
        let line = self.lines[file].line(place.offset);
        write!(self.text, " // {}:{line}", self.sources[file].name)
    }

    fn indent(&mut self, depth: usize) {
        self.text.extend(std::iter::repeat_n(' ', depth * INDENT));
    }
}
