//! What is wrong with a value, and where the value stands.

use std::fmt;
use std::sync::Arc;

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
