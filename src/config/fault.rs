//! Faults of values, with the file, line and column of the value.

use std::fmt;
use std::sync::Arc;

use super::layer::Layer;
use super::tree::Position;

/// One fault of a configuration or of settings.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Fault {
    /// The name of the file that has the value.
    pub file: Arc<str>,
    /// The line of the value, from 1.
    pub line: u32,
    /// The column of the value in characters, from 1.
    pub column: u32,
    /// The value's path, such as `targets.look-1.slots`; empty for the whole file.
    pub path: Arc<str>,
    /// The message.
    pub problem: Arc<str>,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}:{}: ", self.file, self.line, self.column)?;
        if !self.path.is_empty() {
            write!(f, "{}: ", self.path)?;
        }
        f.write_str(&self.problem)
    }
}

/// All faults of a folder or of settings, in the order of files and positions.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Faults(pub Vec<Fault>);

impl fmt::Display for Faults {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (i, fault) in self.0.iter().enumerate() {
            if i > 0 {
                writeln!(f)?;
            }
            write!(f, "{fault}")?;
        }
        Ok(())
    }
}

impl std::error::Error for Faults {}

/// A source file.
#[derive(Clone, Copy, Debug)]
pub(super) struct Source<'a> {
    /// The file's name.
    pub(super) name: &'a str,
    /// The file's text.
    pub(super) text: &'a str,
}

/// Collects problems by their positions as byte offsets.
#[derive(Debug, Default)]
pub(super) struct Problems {
    /// Position, path and message of each problem.
    found: Vec<(Position, String, String)>,
}

impl Problems {
    /// Starts with the problems that each file has on its own.
    pub(super) fn with_layers(layers: &[Arc<Layer>]) -> Self {
        let mut problems = Self::default();
        for (file, layer) in layers.iter().enumerate() {
            let file = file as u32;
            for problem in layer.problems() {
                let offset = problem.offset;
                let text = problem.text.clone();
                problems.add(Position { file, offset }, &problem.path, text);
            }
        }
        problems
    }

    /// Adds a problem of the value that has this position and path.
    pub(super) fn add(&mut self, position: Position, path: &[impl AsRef<str>], problem: String) {
        let path: Vec<&str> = path.iter().map(AsRef::as_ref).collect();
        self.found.push((position, path.join("."), problem));
    }

    /// Whether no problem was found.
    pub(super) fn is_empty(&self) -> bool {
        self.found.is_empty()
    }

    /// Converts the problems to faults with line and column, sorted by position.
    pub(super) fn into_faults(mut self, sources: &[Source<'_>]) -> Faults {
        self.found.sort();
        let mut cursor = Cursor::new();
        let faults = self
            .found
            .into_iter()
            .map(|(position, path, problem)| {
                let source = &sources[position.file as usize];
                cursor.advance(source, position);
                Fault {
                    file: source.name.into(),
                    line: cursor.line,
                    column: cursor.column,
                    path: path.into(),
                    problem: problem.into(),
                }
            })
            .collect();
        Faults(faults)
    }
}

/// Counts lines and columns in one pass over positions in ascending order.
struct Cursor {
    at: Position,
    line: u32,
    column: u32,
}

impl Cursor {
    /// A cursor at the start of the first file.
    fn new() -> Self {
        Self {
            at: Position { file: 0, offset: 0 },
            line: 1,
            column: 1,
        }
    }

    /// Advances to `position`, which is in `source` and not before the current position.
    fn advance(&mut self, source: &Source<'_>, position: Position) {
        if position.file != self.at.file {
            *self = Self::new();
            self.at.file = position.file;
        }
        let passed = &source.text[self.at.offset as usize..position.offset as usize];
        for c in passed.chars() {
            if c == '\n' {
                self.line += 1;
                self.column = 1;
            } else {
                self.column += 1;
            }
        }
        self.at = position;
    }
}
