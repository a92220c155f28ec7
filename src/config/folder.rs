//! A folder of configuration files.

use std::collections::BTreeMap;
use std::io;
use std::path::Path;
use std::sync::{Arc, LazyLock, OnceLock};

use serde::Deserialize as _;

use crate::border::configuration::Configuration;

use super::clients::{self, Clients};
use super::fault::{Problems, Source};
use super::layer::{Layer, LARGEST_FILE, ROOT};
use super::shape::Shape;
use super::show::{self, Origin};
use super::tree::{Tree, View};
use super::value::Reader;
use super::{rules, Error, Faults};

/// The ending of the files that count.
const ENDING: &str = ".json";

/// What the schema says of single values.
static SHAPE: LazyLock<Shape> =
    LazyLock::new(|| Shape::with_schema(include_str!("../../schema/configuration.json")));

/// The files of a configuration, by name. Later names override earlier ones.
#[derive(Clone, Debug, Default)]
pub struct Folder {
    files: BTreeMap<Arc<str>, Arc<str>>,
    /// What was parsed and checked so far; shared by clones and by later folders.
    layers: BTreeMap<Arc<str>, Arc<OnceLock<Arc<Layer>>>>,
    clients: Arc<OnceLock<Checked>>,
    earlier: Option<Arc<OnceLock<Checked>>>,
}

impl PartialEq for Folder {
    fn eq(&self, other: &Self) -> bool {
        self.files == other.files
    }
}

impl Eq for Folder {}

/// Client blocks that were checked, and the files they came from.
#[derive(Clone, Debug)]
struct Checked {
    layers: Vec<Arc<Layer>>,
    clients: Arc<Clients>,
}

impl Folder {
    /// A folder of these texts by file name.
    pub fn with_files(files: BTreeMap<Arc<str>, Arc<str>>) -> Self {
        let layers = files.keys().map(|name| (name.clone(), Arc::default()));
        Self {
            layers: layers.collect(),
            files,
            ..Self::default()
        }
    }

    /// A folder of these texts that takes from this one what was parsed and checked of unchanged
    /// files.
    pub fn updated(&self, files: BTreeMap<Arc<str>, Arc<str>>) -> Self {
        let mut next = Self::with_files(files);
        for (name, text) in &next.files {
            if self.files.get(name) == Some(text) {
                if let Some(layer) = self.layers.get(name) {
                    next.layers.insert(name.clone(), layer.clone());
                }
            }
        }
        let is_checked = self.clients.get().is_some();
        next.earlier = if is_checked {
            Some(self.clients.clone())
        } else {
            self.earlier.clone()
        };
        next
    }

    /// The texts by file name.
    pub fn files(&self) -> &BTreeMap<Arc<str>, Arc<str>> {
        &self.files
    }

    /// The configuration that the files make together, checked.
    ///
    /// # Errors
    ///
    /// All faults of the folder at once. While a file has a syntax error, only such errors are
    /// reported.
    pub fn merged(&self) -> Result<Configuration, Faults> {
        let (mut configuration, clients) = self.parts()?;
        configuration.clients = clients.records();
        Ok(configuration)
    }

    /// Like [`Folder::merged`], but with the client blocks apart and laid out small. They are the
    /// same `Arc` as before [`Folder::updated`] if no file with client blocks has changed.
    ///
    /// # Errors
    ///
    /// As of [`Folder::merged`].
    pub fn parts(&self) -> Result<(Configuration, Arc<Clients>), Faults> {
        let layers = self.layers();
        let mut problems = Problems::with_layers(&layers);
        if !layers.iter().all(|layer| layer.is_read()) {
            return Err(problems.faults(&self.sources()));
        }
        if let Some(parts) = self.parts_with_known_clients(&layers) {
            return Ok(parts);
        }
        let tree = Tree::with_layers(layers.clone(), |_| false);
        let clients = Arc::new(Clients::with_root(tree.root(), &mut problems));
        check(tree.root(), &clients, &mut problems);
        rules::check_clients(tree.root(), &mut problems);
        if !problems.is_empty() {
            return Err(problems.faults(&self.sources()));
        }
        // Client blocks go into the configuration from their small layout only.
        let tree = Tree::with_layers(layers.clone(), |section| section == clients::SECTION);
        let configuration = read_root(tree.root(), problems, &self.sources())?;
        let layers = with_clients(&layers);
        let checked = self.clients.get_or_init(|| Checked { layers, clients });
        Ok((configuration, checked.clients.clone()))
    }

    /// The merged files as pretty-printed JSON, whether their values are right or not.
    ///
    /// # Errors
    ///
    /// Syntax errors.
    pub fn show(&self, origin: Origin) -> Result<String, Faults> {
        let layers = self.layers();
        let sources = self.sources();
        if !layers.iter().all(|layer| layer.is_read()) {
            return Err(Problems::with_layers(&layers).faults(&sources));
        }
        let tree = Tree::with_layers(layers, |_| false);
        Ok(show::text(tree.root(), &sources, origin))
    }

    /// What the files make together if their client blocks are known to be right and the rest has
    /// no faults.
    fn parts_with_known_clients(
        &self,
        layers: &[Arc<Layer>],
    ) -> Option<(Configuration, Arc<Clients>)> {
        let known = self.known_clients(layers)?;
        let clients = known.clients.clone();
        let tree = Tree::with_layers(layers.to_vec(), |section| section == clients::SECTION);
        let mut problems = Problems::with_layers(layers);
        check(tree.root(), &clients, &mut problems);
        let regions = tree.root().get("regions")?;
        let is_there = |region: &Arc<str>| regions.get(region).is_some();
        if !problems.is_empty() || !clients.regions().iter().all(is_there) {
            return None;
        }
        let configuration = Configuration::deserialize(Reader(tree.root())).ok()?;
        let checked = self.clients.get_or_init(|| known);
        Some((configuration, checked.clients.clone()))
    }

    /// The client blocks of this or the earlier folder, if they came from the same files.
    fn known_clients(&self, layers: &[Arc<Layer>]) -> Option<Checked> {
        let earlier = self.earlier.as_ref().and_then(|earlier| earlier.get());
        let known = self.clients.get().or(earlier)?;
        let layers = with_clients(layers);
        let is_same = layers.len() == known.layers.len()
            && std::iter::zip(&layers, &known.layers).all(|(a, b)| Arc::ptr_eq(a, b));
        is_same.then(|| known.clone())
    }

    fn layers(&self) -> Vec<Arc<Layer>> {
        let pairs = std::iter::zip(self.files.values(), self.layers.values());
        let layers = pairs.map(|(text, layer)| {
            let layer = layer.get_or_init(|| Arc::new(Layer::with_text(text.clone())));
            layer.clone()
        });
        layers.collect()
    }

    fn sources(&self) -> Vec<Source<'_>> {
        let files = self.files.iter();
        files.map(|(name, text)| Source { name, text }).collect()
    }
}

/// The files that have client blocks.
fn with_clients(layers: &[Arc<Layer>]) -> Vec<Arc<Layer>> {
    let has_clients = |layer: &&Arc<Layer>| {
        let mut sections = layer.children(ROOT);
        sections.any(|item| layer.key(item) == clients::SECTION)
    };
    layers.iter().filter(has_clients).cloned().collect()
}

/// Notes all that is wrong with `root` but its client blocks by themselves.
fn check(root: View<'_>, clients: &Clients, problems: &mut Problems) {
    SHAPE.check(root, &mut Vec::new(), problems);
    rules::check(root, clients.regions(), problems);
}

fn read_root(
    root: View<'_>,
    mut problems: Problems,
    sources: &[Source<'_>],
) -> Result<Configuration, Faults> {
    Configuration::deserialize(Reader(root)).map_err(|error| {
        problems.add(root.place(), &[""; 0], error.to_string());
        problems.faults(sources)
    })
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
    Ok(Folder::with_files(files))
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
