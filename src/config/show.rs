//! The merged tree as text.

use std::fmt::{self, Write as _};

use super::fault::Source;
use super::lines::Lines;
use super::tree::{Entry, Node, Place, Value};

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

/// Writes `node` as pretty-printed JSON.
pub(super) fn text(node: &Node<'_>, sources: &[Source<'_>], origin: Origin) -> String {
    let mut writer = Writer {
        text: String::new(),
        sources,
        lines: match origin {
            Origin::Hidden => Vec::new(),
            Origin::Shown => sources.iter().map(|s| Lines::new(s.text)).collect(),
        },
    };
    // Writing to a string cannot fail.
    let _ = writer.node(node, 0);
    writer.text.push('\n');
    writer.text
}

struct Writer<'s> {
    text: String,
    sources: &'s [Source<'s>],
    lines: Vec<Lines>,
}

impl Writer<'_> {
    fn node(&mut self, node: &Node<'_>, depth: usize) -> fmt::Result {
        match &node.value {
            Value::Null => self.text.write_str("null"),
            Value::Flag(flag) => write!(self.text, "{flag}"),
            Value::Number(number) => self.text.write_str(number),
            Value::Text(text) => write!(self.text, "{}", serde_json::Value::from(&**text)),
            Value::List(nodes) => self.list(nodes, depth),
            Value::Object(entries) => self.object(entries, depth),
        }
    }

    fn object(&mut self, entries: &[Entry<'_>], depth: usize) -> fmt::Result {
        if entries.is_empty() {
            return self.text.write_str("{}");
        }
        self.text.push_str("{\n");
        for (i, entry) in entries.iter().enumerate() {
            self.indent(depth + 1);
            write!(
                self.text,
                "{}: ",
                serde_json::Value::from(entry.key.as_ref())
            )?;
            self.node(&entry.node, depth + 1)?;
            self.end_line(&entry.node, i + 1 == entries.len())?;
        }
        self.indent(depth);
        self.text.write_str("}")
    }

    fn list(&mut self, nodes: &[Node<'_>], depth: usize) -> fmt::Result {
        if nodes.is_empty() {
            return self.text.write_str("[]");
        }
        self.text.push_str("[\n");
        for (i, node) in nodes.iter().enumerate() {
            self.indent(depth + 1);
            self.node(node, depth + 1)?;
            self.end_line(node, i + 1 == nodes.len())?;
        }
        self.indent(depth);
        self.text.write_str("]")
    }

    /// Ends the line after a value, with its origin if it has one file of its own.
    fn end_line(&mut self, node: &Node<'_>, last: bool) -> fmt::Result {
        if !last {
            self.text.push(',');
        }
        let is_merged = matches!(&node.value, Value::Object(entries) if !entries.is_empty());
        if !self.lines.is_empty() && !is_merged {
            self.origin(node.place)?;
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
