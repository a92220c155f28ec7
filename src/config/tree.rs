//! All files merged: a tree that refers to the values of the files.

use std::borrow::Cow;
use std::sync::Arc;

use super::layer::{Children, Kind, Layer, ROOT};

/// Where something stands.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) struct Place {
    /// The number of its file.
    pub(super) file: u32,
    /// Its first byte.
    pub(super) offset: u32,
}

/// A value of a file.
#[derive(Clone, Copy, Debug)]
pub(super) struct Spot {
    file: u32,
    item: u32,
}

/// A merged value.
#[derive(Clone, Debug)]
pub(super) enum Node {
    /// As one file has it.
    Single(Spot),
    /// An object made from more than one file, or from one less the `null`s in it.
    Merged(Box<Merged>),
}

/// An object and its entries, in the order of their keys.
#[derive(Clone, Debug)]
pub(super) struct Merged {
    /// The last file's object.
    last: Spot,
    entries: Vec<Node>,
}

/// Files merged, the earliest first.
#[derive(Debug)]
pub(super) struct Tree {
    layers: Vec<Arc<Layer>>,
    root: Node,
}

impl Tree {
    /// Merges files: objects merge by key, anything else replaces what was before it, and `null`
    /// removes it. Sections that `is_left_out` names are left out.
    pub(super) fn with_layers(layers: Vec<Arc<Layer>>, is_left_out: impl Fn(&str) -> bool) -> Self {
        let mut spots = Vec::new();
        for (file, layer) in layers.iter().enumerate() {
            let sections = layer.children(ROOT);
            let kept = sections.filter(|&item| !is_left_out(&layer.key(item)));
            spots.extend(kept.map(|item| Spot {
                file: file as u32,
                item,
            }));
        }
        let last = Spot {
            file: layers.len().saturating_sub(1) as u32,
            item: ROOT,
        };
        let entries = entries(&layers, spots);
        let root = Node::Merged(Box::new(Merged { last, entries }));
        Self { layers, root }
    }

    /// The whole.
    pub(super) fn root(&self) -> View<'_> {
        View::new(&self.layers, &self.root)
    }
}

/// Merges the values of one key, the earliest file's first.
fn merge(layers: &[Arc<Layer>], mut spots: &[Spot]) -> Option<Node> {
    let kind = |spot: &Spot| layers[spot.file as usize].kind(spot.item);
    if let Some(i) = spots.iter().rposition(|spot| kind(spot) != Kind::Object) {
        if i + 1 == spots.len() {
            return (kind(&spots[i]) != Kind::Null).then_some(Node::Single(spots[i]));
        }
        spots = &spots[i + 1..];
    }
    let &last = spots.last()?;
    if spots.len() == 1 && !layers[last.file as usize].has_null(last.item) {
        return Some(Node::Single(last));
    }
    let mut inside = Vec::new();
    for spot in spots {
        let children = layers[spot.file as usize].children(spot.item);
        inside.extend(children.map(|item| Spot { item, ..*spot }));
    }
    let entries = entries(layers, inside);
    Some(Node::Merged(Box::new(Merged { last, entries })))
}

/// Merges what is inside the objects of one key, the earliest file's first.
fn entries(layers: &[Arc<Layer>], mut spots: Vec<Spot>) -> Vec<Node> {
    let key = |spot: &Spot| layers[spot.file as usize].key(spot.item);
    // A stable sort: of one key, the order of the files stays.
    spots.sort_by(|a, b| key(a).cmp(&key(b)));
    let groups = spots.chunk_by(|a, b| key(a) == key(b));
    groups.filter_map(|group| merge(layers, group)).collect()
}

/// A value of a tree.
#[derive(Clone, Copy)]
pub(super) struct View<'t> {
    layers: &'t [Arc<Layer>],
    spot: Spot,
    merged: Option<&'t Merged>,
}

impl<'t> View<'t> {
    fn new(layers: &'t [Arc<Layer>], node: &'t Node) -> Self {
        let (spot, merged) = match node {
            Node::Single(spot) => (*spot, None),
            Node::Merged(merged) => (merged.last, Some(&**merged)),
        };
        Self {
            layers,
            spot,
            merged,
        }
    }

    fn layer(self) -> &'t Layer {
        &self.layers[self.spot.file as usize]
    }

    fn at(self, offset: u32) -> Place {
        let file = self.spot.file;
        Place { file, offset }
    }

    /// Its kind.
    pub(super) fn kind(self) -> Kind {
        if self.merged.is_some() {
            return Kind::Object;
        }
        self.layer().kind(self.spot.item)
    }

    /// Its key.
    pub(super) fn key(self) -> Cow<'t, str> {
        self.layer().key(self.spot.item)
    }

    /// Where its key stands, in the last file that has it.
    pub(super) fn key_place(self) -> Place {
        self.at(self.layer().key_offset(self.spot.item))
    }

    /// Where it stands, in the last file that has it.
    pub(super) fn place(self) -> Place {
        if self.layers.is_empty() {
            return self.at(0);
        }
        self.at(self.layer().offset(self.spot.item))
    }

    /// A scalar as it is written.
    pub(super) fn raw(self) -> &'t str {
        self.layer().raw(self.spot.item)
    }

    /// The text of a string.
    pub(super) fn text(self) -> Option<Cow<'t, str>> {
        (self.kind() == Kind::Text).then(|| self.layer().text(self.spot.item))
    }

    /// What is right inside an object or a list.
    pub(super) fn inside(self) -> Inside<'t> {
        let layers = self.layers;
        match self.merged {
            Some(merged) => Inside::Merged(layers, merged.entries.iter()),
            None => Inside::Single(layers, self.spot, self.layer().children(self.spot.item)),
        }
    }

    /// The entries of an object; none of anything else.
    pub(super) fn entries(self) -> impl Iterator<Item = View<'t>> {
        let is_object = self.kind() == Kind::Object;
        is_object.then(|| self.inside()).into_iter().flatten()
    }

    /// The entry of an object under `key`.
    pub(super) fn get(self, key: &str) -> Option<View<'t>> {
        let Some(merged) = self.merged else {
            return self.entries().find(|entry| entry.key() == key);
        };
        let view = |node| View::new(self.layers, node);
        let entries = &merged.entries;
        let found = entries.binary_search_by(|node| view(node).key().as_ref().cmp(key));
        found.ok().map(|i| view(&entries[i]))
    }

    /// The entries of the object under `key`.
    pub(super) fn section(self, key: &str) -> impl Iterator<Item = View<'t>> {
        let section = self.get(key);
        section.into_iter().flat_map(View::entries)
    }

    /// The string under `key`.
    pub(super) fn named(self, key: &str) -> Option<(Cow<'t, str>, Place)> {
        let view = self.get(key)?;
        Some((view.text()?, view.place()))
    }
}

/// What is right inside an object or a list.
#[derive(Clone)]
pub(super) enum Inside<'t> {
    /// Of one file.
    Single(&'t [Arc<Layer>], Spot, Children<'t>),
    /// Of merged files.
    Merged(&'t [Arc<Layer>], std::slice::Iter<'t, Node>),
}

impl<'t> Iterator for Inside<'t> {
    type Item = View<'t>;

    fn next(&mut self) -> Option<View<'t>> {
        match self {
            Inside::Single(layers, spot, children) => Some(View {
                layers,
                spot: Spot {
                    item: children.next()?,
                    ..*spot
                },
                merged: None,
            }),
            Inside::Merged(layers, nodes) => Some(View::new(layers, nodes.next()?)),
        }
    }
}
