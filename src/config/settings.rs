//! The settings of one entry host: a file of JSON with comments, and command line flags that
//! override its values.

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
use super::tree::{Position, Tree, View};
use super::value::ValueDeserializer;
use super::{rules, Error, Faults};

/// The file name that faults of overridden values are reported under.
const COMMAND_LINE: &str = "command line";
/// The scheme that the platform's URL must have.
const URL_SCHEME: &str = "http://";

/// The types and ranges of single values, from the JSON schema.
static SHAPE: LazyLock<Shape> =
    LazyLock::new(|| Shape::with_schema(include_str!("../../schema/settings.json")));

/// Values that override those of the settings file.
#[derive(Clone, Debug, Default)]
pub struct Overrides {
    /// Pairs of a path, such as `log.level`, and its value.
    pub values: Vec<(Arc<str>, Arc<str>)>,
}

impl Overrides {
    /// The values as a settings file in JSON, on one line.
    fn to_json(&self) -> String {
        let mut root = Map::new();
        for (path, value) in &self.values {
            insert_at_path(&mut root, path, value);
        }
        Value::Object(root).to_string()
    }
}

/// Inserts `value` under a dotted `path`, and creates the objects on the way.
fn insert_at_path(map: &mut Map<String, Value>, path: &str, value: &str) {
    let Some((key, rest)) = path.split_once('.') else {
        map.insert(path.into(), value.into());
        return;
    };
    let inner = map.entry(key).or_insert_with(|| Map::new().into());
    if let Value::Object(inner) = inner {
        insert_at_path(inner, rest, value);
    }
}

/// Reads a settings file, with `overrides` taking precedence over its values.
///
/// # Errors
///
/// A file that cannot be read, or all faults of its values.
pub fn read(file: &Path, overrides: &Overrides) -> Result<Settings, Error> {
    let text = std::fs::read_to_string(file).map_err(|source| read_error(file, source))?;
    let name = file.display().to_string();
    Ok(with_text(&name, &text, overrides)?)
}

/// Parses the text of a settings file called `name`, with `overrides` taking precedence over its
/// values.
///
/// # Errors
///
/// All faults of the values.
pub fn with_text(name: &str, text: &str, overrides: &Overrides) -> Result<Settings, Faults> {
    let overrides_text = overrides.to_json();
    let sources = [
        Source { name, text },
        Source {
            name: COMMAND_LINE,
            text: &overrides_text,
        },
    ];
    let layers = sources.map(|source| Arc::new(Layer::with_text(source.text.into())));
    let mut problems = Problems::with_layers(&layers);
    let file = &layers[0];
    if !file.is_parsed() {
        return Err(collect_faults(problems, &sources));
    }
    let file_start = Position {
        file: 0,
        offset: file.offset(ROOT),
    };
    let tree = Tree::with_layers(layers.to_vec(), |_| false);
    let root = tree.root();
    SHAPE.check_root(root, file_start, &mut problems);
    check(root, &mut problems);
    if problems.is_empty() {
        match Settings::deserialize(ValueDeserializer(root)) {
            Ok(settings) => return Ok(settings),
            Err(error) => problems.add(file_start, &[""; 0], error.to_string()),
        }
    }
    Err(collect_faults(problems, &sources))
}

/// All faults. Those of overridden values are reported at line 1, column 1, as a command line has
/// no lines.
fn collect_faults(problems: Problems, sources: &[Source<'_>]) -> Faults {
    let mut faults = problems.into_faults(sources);
    for fault in &mut faults.0 {
        if fault.file.as_ref() == COMMAND_LINE {
            (fault.line, fault.column) = (1, 1);
        }
    }
    faults
}

/// Checks what the JSON schema cannot express: names, addresses, the platform's URL, the secret.
fn check(root: View<'_>, problems: &mut Problems) {
    for key in ["host", "availability_zone"] {
        check_string(root, key, problems, rules::name_problem);
    }
    for key in ["listen", "peer_listen"] {
        check_string(root, key, problems, address_problem);
    }
    check_string(root, "platform", problems, url_problem);
    check_string(root, "peer_secret", problems, secret_problem);
    check_listen_addresses(root, problems);
}

fn check_string(
    root: View<'_>,
    key: &str,
    problems: &mut Problems,
    problem: impl Fn(&str) -> Option<String>,
) {
    if let Some((text, position)) = root.string(key) {
        if let Some(problem) = problem(&text) {
            problems.add(position, &[key], problem);
        }
    }
}

fn address_problem(text: &str) -> Option<String> {
    let parsed = text.parse::<SocketAddr>();
    parsed.err().map(|_| format!("'{text}' is not IP:PORT"))
}

fn url_problem(text: &str) -> Option<String> {
    let host = text.strip_prefix(URL_SCHEME).map(|rest| {
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

/// Reports that both listening sockets of a host have the same address, unless the system chooses
/// the port.
fn check_listen_addresses(root: View<'_>, problems: &mut Problems) {
    let (Some((listen, _)), Some((peer_listen, position))) =
        (root.string("listen"), root.string("peer_listen"))
    else {
        return;
    };
    let has_fixed_port = !peer_listen.ends_with(":0");
    if listen == peer_listen && has_fixed_port {
        problems.add(position, &["peer_listen"], "is the same as listen".into());
    }
}
