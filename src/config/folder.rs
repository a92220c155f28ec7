//! A folder of configuration files.

use std::collections::BTreeMap;
use std::io;
use std::path::Path;
use std::sync::{Arc, LazyLock, OnceLock};

use serde::Deserialize as _;

use crate::border::configuration::Configuration;

use super::clients::{self, Clients};
use super::fault::{Problems, Source};
use super::layer::{Layer, MAX_FILE_BYTES, ROOT};
use super::shape::Shape;
use super::show::{self, Origin};
use super::tree::{Tree, View};
use super::value::ValueDeserializer;
use super::{rules, Error, Faults};

/// The suffix of configuration files; other files of the folder are ignored.
const FILE_SUFFIX: &str = ".json";

/// The types and ranges of single values, from the JSON schema.
static SHAPE: LazyLock<Shape> =
    LazyLock::new(|| Shape::with_schema(include_str!("../../schema/configuration.json")));

/// The files of a configuration, by name. Later names override earlier ones.
#[derive(Clone, Debug, Default)]
pub struct Folder {
    files: BTreeMap<Arc<str>, Arc<str>>,
    /// The parsed files, each filled in on first use; shared with clones and with folders made by
    /// [`Folder::updated`].
    layers: BTreeMap<Arc<str>, Arc<OnceLock<Arc<Layer>>>>,
    /// The checked client blocks of this folder.
    clients: Arc<OnceLock<CheckedClients>>,
    /// The checked client blocks of the folder that this one was updated from.
    earlier_clients: Option<Arc<OnceLock<CheckedClients>>>,
}

impl PartialEq for Folder {
    fn eq(&self, other: &Self) -> bool {
        self.files == other.files
    }
}

impl Eq for Folder {}

/// Client blocks without faults, and the files that contain them.
#[derive(Clone, Debug)]
struct CheckedClients {
    layers: Vec<Arc<Layer>>,
    clients: Arc<Clients>,
}

impl Folder {
    /// Creates a folder from texts by file name.
    pub fn with_files(files: BTreeMap<Arc<str>, Arc<str>>) -> Self {
        let layers = files.keys().map(|name| (name.clone(), Arc::default()));
        Self {
            layers: layers.collect(),
            files,
            ..Self::default()
        }
    }

    /// Creates a folder from texts by file name, and reuses the parsed files and the checked client
    /// blocks of this folder where the files are unchanged.
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
        next.earlier_clients = if is_checked {
            Some(self.clients.clone())
        } else {
            self.earlier_clients.clone()
        };
        next
    }

    /// The texts by file name.
    pub fn files(&self) -> &BTreeMap<Arc<str>, Arc<str>> {
        &self.files
    }

    /// Merges the files and checks the result.
    ///
    /// # Errors
    ///
    /// All faults of the folder at once. If a file has a syntax error, only the problems that each
    /// file has on its own are reported.
    pub fn merged(&self) -> Result<Configuration, Faults> {
        let (mut configuration, clients) = self.merged_with_clients()?;
        configuration.clients = clients.to_records();
        Ok(configuration)
    }

    /// Like [`Folder::merged`], but returns the client blocks separately in their compact form,
    /// and none in the configuration. The `Arc` is that of the folder before [`Folder::updated`]
    /// if no file with client blocks has changed.
    ///
    /// # Errors
    ///
    /// The same as those of [`Folder::merged`].
    pub fn merged_with_clients(&self) -> Result<(Configuration, Arc<Clients>), Faults> {
        let layers = self.layers();
        let mut problems = Problems::with_layers(&layers);
        if !layers.iter().all(|layer| layer.is_parsed()) {
            return Err(problems.into_faults(&self.sources()));
        }
        if let Some(merged) = self.merged_with_known_clients(&layers) {
            return Ok(merged);
        }
        let tree = Tree::with_layers(layers.clone(), |_| false);
        let clients = Arc::new(Clients::with_root(tree.root(), &mut problems));
        check_values(tree.root(), &clients, &mut problems);
        rules::check_clients(tree.root(), &mut problems);
        if !problems.is_empty() {
            return Err(problems.into_faults(&self.sources()));
        }
        // The client blocks are already in their compact form, so they are not deserialized.
        let tree = Tree::with_layers(layers.clone(), |section| section == clients::SECTION);
        let configuration = deserialize_root(tree.root(), problems, &self.sources())?;
        let layers = layers_with_clients(&layers);
        let checked = self
            .clients
            .get_or_init(|| CheckedClients { layers, clients });
        Ok((configuration, checked.clients.clone()))
    }

    /// The merged files as pretty-printed JSON; the values are not checked.
    ///
    /// # Errors
    ///
    /// Syntax errors.
    pub fn show(&self, origin: Origin) -> Result<String, Faults> {
        let layers = self.layers();
        let sources = self.sources();
        if !layers.iter().all(|layer| layer.is_parsed()) {
            return Err(Problems::with_layers(&layers).into_faults(&sources));
        }
        let tree = Tree::with_layers(layers, |_| false);
        Ok(show::render(tree.root(), &sources, origin))
    }

    /// Merges the files with client blocks that are already checked. Returns `None` if there are no
    /// such blocks or anything has a fault; the full check then reports all faults.
    fn merged_with_known_clients(
        &self,
        layers: &[Arc<Layer>],
    ) -> Option<(Configuration, Arc<Clients>)> {
        let known = self.known_clients(layers)?;
        let clients = known.clients.clone();
        let tree = Tree::with_layers(layers.to_vec(), |section| section == clients::SECTION);
        let mut problems = Problems::with_layers(layers);
        check_values(tree.root(), &clients, &mut problems);
        let regions = tree.root().get("regions")?;
        let is_defined = |region: &Arc<str>| regions.get(region).is_some();
        if !problems.is_empty() || !clients.regions().iter().all(is_defined) {
            return None;
        }
        let configuration = Configuration::deserialize(ValueDeserializer(tree.root())).ok()?;
        let checked = self.clients.get_or_init(|| known);
        Some((configuration, checked.clients.clone()))
    }

    /// The checked client blocks of this or the earlier folder, if the files that contain them are
    /// the same.
    fn known_clients(&self, layers: &[Arc<Layer>]) -> Option<CheckedClients> {
        let earlier = self
            .earlier_clients
            .as_ref()
            .and_then(|earlier| earlier.get());
        let known = self.clients.get().or(earlier)?;
        let layers = layers_with_clients(layers);
        let is_same = layers.len() == known.layers.len()
            && std::iter::zip(&layers, &known.layers).all(|(a, b)| Arc::ptr_eq(a, b));
        is_same.then(|| known.clone())
    }

    /// The parsed files, in the order of their names.
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

/// The files that contain client blocks.
fn layers_with_clients(layers: &[Arc<Layer>]) -> Vec<Arc<Layer>> {
    let has_clients = |layer: &&Arc<Layer>| {
        let mut sections = layer.children(ROOT);
        sections.any(|index| layer.key(index) == clients::SECTION)
    };
    layers.iter().filter(has_clients).cloned().collect()
}

/// Checks `root` except for the client blocks' addresses and regions, which
/// [`Clients::with_root`] and [`rules::check_clients`] check.
fn check_values(root: View<'_>, clients: &Clients, problems: &mut Problems) {
    SHAPE.check(root, &mut Vec::new(), problems);
    rules::check(root, clients.regions(), problems);
}

/// Deserializes a checked tree. An error here is a difference between the checks and the generated
/// types, and is reported as a fault of the whole folder.
fn deserialize_root(
    root: View<'_>,
    mut problems: Problems,
    sources: &[Source<'_>],
) -> Result<Configuration, Faults> {
    Configuration::deserialize(ValueDeserializer(root)).map_err(|error| {
        problems.add(root.position(), &[""; 0], error.to_string());
        problems.into_faults(sources)
    })
}

/// Reads the configuration files of `dir`.
pub(super) fn read(dir: &Path) -> Result<Folder, Error> {
    let mut files = BTreeMap::new();
    for entry in std::fs::read_dir(dir).map_err(|source| read_error(dir, source))? {
        let path = entry.map_err(|source| read_error(dir, source))?.path();
        let Some(name) = path.file_name().and_then(|name| name.to_str()) else {
            continue;
        };
        if name.ends_with(FILE_SUFFIX) && path.is_file() {
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
    if size.len() > MAX_FILE_BYTES as u64 {
        return Err(Error::Size {
            path: path.display().to_string().into(),
            bytes: size.len(),
        });
    }
    let text = std::fs::read_to_string(path).map_err(|source| read_error(path, source))?;
    Ok(text.into())
}

/// Creates the error for a file or folder that cannot be read.
pub(super) fn read_error(path: &Path, source: io::Error) -> Error {
    let path = path.display().to_string().into();
    Error::Read { path, source }
}
