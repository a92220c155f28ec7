//! What is wrong with a value, and where the value stands.

use std::fmt;
use std::sync::Arc;

use super::layer::Layer;
use super::tree::Place;

/// One fault of a configuration or of settings.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Fault {
    /// The file the value stands in.
    pub file: Arc<str>,
    /// Its line, from 1.
    pub line: u32,
    /// Its column in characters, from 1.
    pub column: u32,
    /// The value's path, such as `targets.look-1.slots`; empty for the whole file.
    pub path: Arc<str>,
    /// What is wrong.
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

/// All faults of a folder, in the order of their places.
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

/// A text that values come from.
#[derive(Clone, Copy, Debug)]
pub(super) struct Source<'a> {
    /// The file's name.
    pub(super) name: &'a str,
    /// What it holds.
    pub(super) text: &'a str,
}

/// What was found wrong so far, by byte offset.
#[derive(Debug, Default)]
pub(super) struct Problems {
    found: Vec<(Place, String, String)>,
}

impl Problems {
    /// What is wrong with each file by itself.
    pub(super) fn with_layers(layers: &[Arc<Layer>]) -> Self {
        let mut problems = Self::default();
        for (file, layer) in layers.iter().enumerate() {
            let file = file as u32;
            for problem in layer.problems() {
                let offset = problem.offset;
                let text = problem.text.clone();
                problems.add(Place { file, offset }, &problem.path, text);
            }
        }
        problems
    }

    /// Notes that the value at `place`, called `path`, is wrong.
    pub(super) fn add(&mut self, place: Place, path: &[impl AsRef<str>], problem: String) {
        let path: Vec<&str> = path.iter().map(AsRef::as_ref).collect();
        self.found.push((place, path.join("."), problem));
    }

    /// Whether nothing was wrong.
    pub(super) fn is_empty(&self) -> bool {
        self.found.is_empty()
    }

    /// All faults with line and column.
    pub(super) fn faults(mut self, sources: &[Source<'_>]) -> Faults {
        self.found.sort();
        let mut cursor = Cursor::new();
        let faults = self
            .found
            .into_iter()
            .map(|(place, path, problem)| {
                let source = &sources[place.file as usize];
                cursor.advance(source, place);
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

/// Counts lines and columns in one pass over places in rising order.
struct Cursor {
    at: Place,
    line: u32,
    column: u32,
}

impl Cursor {
    /// At the start of the first file.
    fn new() -> Self {
        Self {
            at: Place { file: 0, offset: 0 },
            line: 1,
            column: 1,
        }
    }

    /// Moves on to `place`, which lies in `source`.
    fn advance(&mut self, source: &Source<'_>, place: Place) {
        if place.file != self.at.file {
            *self = Self::new();
            self.at.file = place.file;
        }
        let passed = &source.text[self.at.offset as usize..place.offset as usize];
        for c in passed.chars() {
            if c == '\n' {
                self.line += 1;
                self.column = 1;
            } else {
                self.column += 1;
            }
        }
        self.at = place;
    }
}
