//! Prints the merged tree as JSON.

use std::fmt::{self, Write as _};

use super::fault::Source;
use super::layer::Kind;
use super::lines::LineIndex;
use super::tree::{Position, View};

/// Spaces per level of nesting.
const INDENT: usize = 2;

/// Whether the printed values are followed by their file and line.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Origin {
    /// Plain JSON.
    Hidden,
    /// JSON with a comment after each value that names its file and line.
    Shown,
}

/// Returns `root` as pretty-printed JSON.
pub(super) fn render(root: View<'_>, sources: &[Source<'_>], origin: Origin) -> String {
    let mut writer = Writer {
        text: String::new(),
        sources,
        line_indexes: match origin {
            Origin::Hidden => Vec::new(),
            Origin::Shown => sources.iter().map(|s| LineIndex::new(s.text)).collect(),
        },
    };
    // Writing to a string cannot fail.
    let _ = writer.write_value(root, 0);
    writer.text.push('\n');
    writer.text
}

struct Writer<'s> {
    text: String,
    sources: &'s [Source<'s>],
    /// The lines of each source; empty if origins are hidden.
    line_indexes: Vec<LineIndex>,
}

impl Writer<'_> {
    fn write_value(&mut self, view: View<'_>, depth: usize) -> fmt::Result {
        match view.kind() {
            Kind::List => self.write_container(view, "[", "]", depth),
            Kind::Object => self.write_container(view, "{", "}", depth),
            Kind::Text => self.write_string(&view.text().unwrap_or_default()),
            _ => self.text.write_str(view.raw()),
        }
    }

    fn write_container(
        &mut self,
        view: View<'_>,
        open: &str,
        close: &str,
        depth: usize,
    ) -> fmt::Result {
        self.text.push_str(open);
        let mut children = view.children().peekable();
        if children.peek().is_some() {
            self.text.push('\n');
        }
        while let Some(value) = children.next() {
            self.write_indent(depth + 1);
            if view.kind() == Kind::Object {
                self.write_string(&value.key())?;
                self.text.push_str(": ");
            }
            self.write_value(value, depth + 1)?;
            if children.peek().is_some() {
                self.text.push(',');
            }
            self.end_line(value)?;
        }
        if view.children().next().is_some() {
            self.write_indent(depth);
        }
        self.text.write_str(close)
    }

    fn write_string(&mut self, text: &str) -> fmt::Result {
        write!(self.text, "{}", serde_json::Value::from(text))
    }

    /// Ends the line after a value, and writes the value's origin unless it has children, whose
    /// lines have their own origins.
    fn end_line(&mut self, view: View<'_>) -> fmt::Result {
        let is_container = matches!(view.kind(), Kind::List | Kind::Object);
        let has_children = is_container && view.children().next().is_some();
        if !self.line_indexes.is_empty() && !has_children {
            self.write_origin(view.position())?;
        }
        self.text.write_str("\n")
    }

    fn write_origin(&mut self, position: Position) -> fmt::Result {
        let file = position.file as usize;
        let line = self.line_indexes[file].line_number(position.offset);
        write!(self.text, " // {}:{line}", self.sources[file].name)
    }

    fn write_indent(&mut self, depth: usize) {
        self.text.extend(std::iter::repeat_n(' ', depth * INDENT));
    }
}
