//! The settings of one entry host: a file of JSON with comments, and flags that override it.

use std::borrow::Cow;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::{Arc, LazyLock};

use serde::Deserialize as _;

use crate::border::settings::Settings;

use super::fault::{Problems, Source};
use super::folder::read_error;
use super::shape::Shape;
use super::tree::{self, Entry, Node, Place, Value};
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
    let flags = Source {
        name: FLAGS,
        text: "",
    };
    let sources = [Source { name, text }, flags];
    let mut problems = Problems::default();
    let Some(root) = tree(text, overrides, &mut problems) else {
        return Err(problems.faults(&sources));
    };
    SHAPE.check(&root, &mut Vec::new(), &mut problems);
    check(&root, &mut problems);
    if problems.is_empty() {
        match Settings::deserialize(Reader(&root)) {
            Ok(settings) => return Ok(settings),
            Err(error) => problems.add(root.place, &[], error.to_string()),
        }
    }
    Err(problems.faults(&sources))
}

/// The file's values under those of the flags.
fn tree<'a>(text: &'a str, overrides: &'a Overrides, problems: &mut Problems) -> Option<Node<'a>> {
    let mut layers = vec![tree::parse(0, text, problems)?];
    if !matches!(layers[0].value, Value::Object(_)) {
        problems.add(layers[0].place, &[], "expected an object".into());
        return None;
    }
    let place = layers[0].place;
    for (path, value) in &overrides.values {
        layers.push(override_node(path, value));
    }
    let mut root = tree::merge(layers)?;
    // Missing keys are the file's fault, whatever the flags say.
    root.place = place;
    Some(root)
}

/// An object with one value at `path`.
fn override_node<'a>(path: &'a str, value: &'a str) -> Node<'a> {
    let place = Place { file: 1, offset: 0 };
    let leaf = Node {
        place,
        value: Value::Text(Cow::Borrowed(value)),
    };
    path.rsplit('.').fold(leaf, |node, key| {
        let entry = Entry {
            key: Cow::Borrowed(key),
            place,
            node,
        };
        Node {
            place,
            value: Value::Object(vec![entry]),
        }
    })
}

fn check(root: &Node<'_>, problems: &mut Problems) {
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
    root: &Node<'_>,
    key: &str,
    problems: &mut Problems,
    problem: impl Fn(&str) -> Option<String>,
) {
    if let Some((text, place)) = root.text(key) {
        if let Some(problem) = problem(text) {
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
fn check_ports(root: &Node<'_>, problems: &mut Problems) {
    let (Some((listen, _)), Some((peer_listen, place))) =
        (root.text("listen"), root.text("peer_listen"))
    else {
        return;
    };
    let has_port = !peer_listen.ends_with(":0");
    if listen == peer_listen && has_port {
        problems.add(place, &["peer_listen"], "is the same as listen".into());
    }
}
