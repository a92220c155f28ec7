//! A folder of configuration files.

use std::collections::BTreeMap;
use std::io;
use std::path::Path;
use std::sync::{Arc, LazyLock};

use serde::Deserialize as _;

use crate::border::configuration::Configuration;

use super::fault::{Problems, Source};
use super::shape::Shape;
use super::show::{self, Origin};
use super::tree::{self, Node, Place, Value};
use super::value::Reader;
use super::{rules, Error, Faults};

/// The ending of the files that count.
const ENDING: &str = ".json";
/// The largest file, in bytes: what the platform takes as one object.
pub const LARGEST_FILE: usize = 1_000_000;

/// What the schema says of single values.
static SHAPE: LazyLock<Shape> =
    LazyLock::new(|| Shape::with_schema(include_str!("../../schema/configuration.json")));

/// The files of a configuration, by name. Later names override earlier ones.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Folder {
    files: BTreeMap<Arc<str>, Arc<str>>,
}

impl Folder {
    /// A folder of these texts by file name.
    pub fn with_files(files: BTreeMap<Arc<str>, Arc<str>>) -> Self {
        Self { files }
    }

    /// The texts by file name.
    pub fn files(&self) -> &BTreeMap<Arc<str>, Arc<str>> {
        &self.files
    }

    /// The configuration that the files make together, checked.
    ///
    /// # Errors
    ///
    /// All faults of the folder at once. While a file has a syntax error, only syntax errors are
    /// reported.
    pub fn merged(&self) -> Result<Configuration, Faults> {
        let mut problems = Problems::default();
        let sources = self.sources();
        let Some(root) = tree(&sources, &mut problems) else {
            return Err(problems.faults(&sources));
        };
        SHAPE.check(&root, &mut Vec::new(), &mut problems);
        rules::check(&root, &mut problems);
        if problems.is_empty() {
            match Configuration::deserialize(Reader(&root)) {
                Ok(configuration) => return Ok(configuration),
                Err(error) => problems.add(root.place, &[], error.to_string()),
            }
        }
        Err(problems.faults(&sources))
    }

    /// The merged files as pretty-printed JSON, whether their values are right or not.
    ///
    /// # Errors
    ///
    /// Syntax errors.
    pub fn show(&self, origin: Origin) -> Result<String, Faults> {
        let mut problems = Problems::default();
        let sources = self.sources();
        match tree(&sources, &mut problems) {
            Some(root) => Ok(show::text(&root, &sources, origin)),
            None => Err(problems.faults(&sources)),
        }
    }

    fn sources(&self) -> Vec<Source<'_>> {
        let files = self.files.iter();
        files.map(|(name, text)| Source { name, text }).collect()
    }
}

/// All sources merged; none when one of them cannot be read as an object.
fn tree<'a>(sources: &[Source<'a>], problems: &mut Problems) -> Option<Node<'a>> {
    let mut layers = Vec::with_capacity(sources.len());
    for (i, source) in sources.iter().enumerate() {
        layers.extend(layer(i as u32, source, problems));
    }
    if layers.len() < sources.len() {
        return None;
    }
    let empty = Node {
        place: Place { file: 0, offset: 0 },
        value: Value::Object(Vec::new()),
    };
    Some(tree::merge(layers).unwrap_or(empty))
}

fn layer<'a>(file: u32, source: &Source<'a>, problems: &mut Problems) -> Option<Node<'a>> {
    let start = Place { file, offset: 0 };
    if source.text.len() > LARGEST_FILE {
        let problem = format!("has more than {LARGEST_FILE} bytes");
        problems.add(start, &[], problem);
        return None;
    }
    let node = tree::parse(file, source.text, problems)?;
    if !matches!(node.value, Value::Object(_)) {
        problems.add(node.place, &[], "expected an object".into());
        return None;
    }
    Some(node)
}

/// Reads the files of `dir`.
pub(super) fn read(dir: &Path) -> Result<Folder, Error> {
    let mut files = BTreeMap::new();
    for entry in std::fs::read_dir(dir).map_err(|source| read_error(dir, source))? {
        let path = entry.map_err(|source| read_error(dir, source))?.path();
        let Some(name) = path.file_name().and_then(|name| name.to_str()) else {
            continue;
        };
        if name.ends_with(ENDING) && path.is_file() {
            files.insert(name.into(), read_file(&path)?);
        }
    }
    if files.is_empty() {
        return Err(Error::Empty {
            path: dir.display().to_string().into(),
        });
    }
    Ok(Folder { files })
}

fn read_file(path: &Path) -> Result<Arc<str>, Error> {
    let size = std::fs::metadata(path).map_err(|source| read_error(path, source))?;
    if size.len() > LARGEST_FILE as u64 {
        return Err(Error::Size {
            path: path.display().to_string().into(),
            bytes: size.len(),
        });
    }
    let text = std::fs::read_to_string(path).map_err(|source| read_error(path, source))?;
    Ok(text.into())
}

/// The error of a file or folder that cannot be read.
pub(super) fn read_error(path: &Path, source: io::Error) -> Error {
    let path = path.display().to_string().into();
    Error::Read { path, source }
}
