//! The settings of one entry host: a file of JSON with comments, and flags that override it.

use std::net::SocketAddr;
use std::path::Path;
use std::sync::{Arc, LazyLock};

use serde::Deserialize as _;
use serde_json::{Map, Value};

use crate::border::settings::Settings;

use super::fault::{Problems, Source};
use super::folder::read_error;
use super::layer::{Layer, ROOT};
use super::shape::Shape;
use super::tree::{Place, Tree, View};
use super::value::Reader;
use super::{rules, Error, Faults};

/// What stands for a file's name in faults of overrides.
const FLAGS: &str = "command line";
/// How the platform's URL begins.
const SCHEME: &str = "http://";

/// What the schema says of single values.
static SHAPE: LazyLock<Shape> =
    LazyLock::new(|| Shape::with_schema(include_str!("../../schema/settings.json")));

/// Values that go before those of the settings file.
#[derive(Clone, Debug, Default)]
pub struct Overrides {
    /// Pairs of a path, such as `log.level`, and its value.
    pub values: Vec<(Arc<str>, Arc<str>)>,
}

impl Overrides {
    /// The values as the text of a settings file of one line.
    fn text(&self) -> String {
        let mut root = Map::new();
        for (path, value) in &self.values {
            put(&mut root, path, value);
        }
        Value::Object(root).to_string()
    }
}

fn put(map: &mut Map<String, Value>, path: &str, value: &str) {
    let Some((key, rest)) = path.split_once('.') else {
        map.insert(path.into(), value.into());
        return;
    };
    let inner = map.entry(key).or_insert_with(|| Map::new().into());
    if let Value::Object(inner) = inner {
        put(inner, rest, value);
    }
}

/// Reads a settings file and lays `overrides` over it.
///
/// # Errors
///
/// A file that cannot be read, or all faults of its values.
pub fn read(file: &Path, overrides: &Overrides) -> Result<Settings, Error> {
    let text = std::fs::read_to_string(file).map_err(|source| read_error(file, source))?;
    let name = file.display().to_string();
    Ok(with_text(&name, &text, overrides)?)
}

/// Settings from the text of a file called `name`, with `overrides` laid over it.
///
/// # Errors
///
/// All faults of the values.
pub fn with_text(name: &str, text: &str, overrides: &Overrides) -> Result<Settings, Faults> {
    let flags = overrides.text();
    let sources = [
        Source { name, text },
        Source {
            name: FLAGS,
            text: &flags,
        },
    ];
    let layers = sources.map(|source| Arc::new(Layer::with_text(source.text.into())));
    let mut problems = Problems::with_layers(&layers);
    let file = &layers[0];
    if !file.is_read() {
        return Err(faults(problems, &sources));
    }
    let file_start = Place {
        file: 0,
        offset: file.offset(ROOT),
    };
    let tree = Tree::with_layers(layers.to_vec(), |_| false);
    let root = tree.root();
    SHAPE.check_at(root, file_start, &mut problems);
    check(root, &mut problems);
    if problems.is_empty() {
        match Settings::deserialize(Reader(root)) {
            Ok(settings) => return Ok(settings),
            Err(error) => problems.add(file_start, &[""; 0], error.to_string()),
        }
    }
    Err(faults(problems, &sources))
}

/// All faults; those of flags have no line or column to speak of.
fn faults(problems: Problems, sources: &[Source<'_>]) -> Faults {
    let mut faults = problems.faults(sources);
    for fault in &mut faults.0 {
        if fault.file.as_ref() == FLAGS {
            (fault.line, fault.column) = (1, 1);
        }
    }
    faults
}

fn check(root: View<'_>, problems: &mut Problems) {
    for key in ["host", "availability_zone"] {
        check_text(root, key, problems, rules::name_problem);
    }
    for key in ["listen", "peer_listen"] {
        check_text(root, key, problems, address_problem);
    }
    check_text(root, "platform", problems, url_problem);
    check_text(root, "peer_secret", problems, secret_problem);
    check_ports(root, problems);
}

fn check_text(
    root: View<'_>,
    key: &str,
    problems: &mut Problems,
    problem: impl Fn(&str) -> Option<String>,
) {
    if let Some((text, place)) = root.named(key) {
        if let Some(problem) = problem(&text) {
            problems.add(place, &[key], problem);
        }
    }
}

fn address_problem(text: &str) -> Option<String> {
    let parsed = text.parse::<SocketAddr>();
    parsed.err().map(|_| format!("'{text}' is not IP:PORT"))
}

fn url_problem(text: &str) -> Option<String> {
    let host = text.strip_prefix(SCHEME).map(|rest| {
        let end = rest.find('/').unwrap_or(rest.len());
        &rest[..end]
    });
    match host.map(str::parse::<SocketAddr>) {
        Some(Ok(_)) => None,
        _ => Some(format!("'{text}' is not http://IP:PORT")),
    }
}

fn secret_problem(text: &str) -> Option<String> {
    text.is_empty().then(|| "is empty".into())
}

/// Both listening sockets of a host cannot have one address.
fn check_ports(root: View<'_>, problems: &mut Problems) {
    let (Some((listen, _)), Some((peer_listen, place))) =
        (root.named("listen"), root.named("peer_listen"))
    else {
        return;
    };
    let has_port = !peer_listen.ends_with(":0");
    if listen == peer_listen && has_port {
        problems.add(place, &["peer_listen"], "is the same as listen".into());
    }
}
