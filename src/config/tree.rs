//! The merged configuration: a tree whose nodes refer to the values of the parsed files.

use std::borrow::Cow;
use std::sync::Arc;

use super::layer::{Children, Kind, Layer, ROOT};

/// The position of a value in the files. Positions are ordered by file, then by byte offset.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) struct Position {
    /// The index of the file.
    pub(super) file: u32,
    /// The byte offset in the file.
    pub(super) offset: u32,
}

/// Refers to a value of one file.
#[derive(Clone, Copy, Debug)]
pub(super) struct ValueRef {
    file: u32,
    index: u32,
}

/// A merged value.
#[derive(Clone, Debug)]
pub(super) enum Node {
    /// A value taken from one file unchanged.
    Single(ValueRef),
    /// An object merged from several files, or from one file with its `null`s removed.
    Merged(Box<MergedObject>),
}

/// A merged object with its entries, sorted by key.
#[derive(Clone, Debug)]
pub(super) struct MergedObject {
    /// The object in the last file that has it.
    last: ValueRef,
    entries: Vec<Node>,
}

/// The merged files, in the order in which they were merged.
#[derive(Debug)]
pub(super) struct Tree {
    layers: Vec<Arc<Layer>>,
    root: Node,
}

impl Tree {
    /// Merges files: objects merge by key, any other value replaces the earlier one, and `null`
    /// removes it. Sections for which `is_excluded` returns true are skipped.
    pub(super) fn with_layers(layers: Vec<Arc<Layer>>, is_excluded: impl Fn(&str) -> bool) -> Self {
        let mut value_refs = Vec::new();
        for (file, layer) in layers.iter().enumerate() {
            let sections = layer.children(ROOT);
            let kept = sections.filter(|&index| !is_excluded(&layer.key(index)));
            value_refs.extend(kept.map(|index| ValueRef {
                file: file as u32,
                index,
            }));
        }
        let last = ValueRef {
            file: layers.len().saturating_sub(1) as u32,
            index: ROOT,
        };
        let entries = merge_entries(&layers, value_refs);
        let root = Node::Merged(Box::new(MergedObject { last, entries }));
        Self { layers, root }
    }

    /// The root object.
    pub(super) fn root(&self) -> View<'_> {
        View::new(&self.layers, &self.root)
    }
}

/// Merges the values of one key, in the order of their files. Returns `None` if the last one is
/// `null`.
fn merge_values(layers: &[Arc<Layer>], mut value_refs: &[ValueRef]) -> Option<Node> {
    let kind = |value_ref: &ValueRef| layers[value_ref.file as usize].kind(value_ref.index);
    if let Some(i) = value_refs
        .iter()
        .rposition(|value_ref| kind(value_ref) != Kind::Object)
    {
        if i + 1 == value_refs.len() {
            return (kind(&value_refs[i]) != Kind::Null).then_some(Node::Single(value_refs[i]));
        }
        value_refs = &value_refs[i + 1..];
    }
    let &last = value_refs.last()?;
    if value_refs.len() == 1 && !layers[last.file as usize].has_null(last.index) {
        return Some(Node::Single(last));
    }
    let mut child_refs = Vec::new();
    for value_ref in value_refs {
        let children = layers[value_ref.file as usize].children(value_ref.index);
        child_refs.extend(children.map(|index| ValueRef {
            index,
            ..*value_ref
        }));
    }
    let entries = merge_entries(layers, child_refs);
    Some(Node::Merged(Box::new(MergedObject { last, entries })))
}

/// Groups object entries by key and merges each group. Entries of equal key are in the order of
/// their files.
fn merge_entries(layers: &[Arc<Layer>], mut value_refs: Vec<ValueRef>) -> Vec<Node> {
    let key = |value_ref: &ValueRef| layers[value_ref.file as usize].key(value_ref.index);
    // The sort is stable, so entries of equal key keep the order of their files.
    value_refs.sort_by(|a, b| key(a).cmp(&key(b)));
    let groups = value_refs.chunk_by(|a, b| key(a) == key(b));
    groups
        .filter_map(|group| merge_values(layers, group))
        .collect()
}

/// A value of the merged tree.
#[derive(Clone, Copy)]
pub(super) struct View<'t> {
    layers: &'t [Arc<Layer>],
    value_ref: ValueRef,
    merged: Option<&'t MergedObject>,
}

impl<'t> View<'t> {
    fn new(layers: &'t [Arc<Layer>], node: &'t Node) -> Self {
        let (value_ref, merged) = match node {
            Node::Single(value_ref) => (*value_ref, None),
            Node::Merged(merged) => (merged.last, Some(&**merged)),
        };
        Self {
            layers,
            value_ref,
            merged,
        }
    }

    fn layer(self) -> &'t Layer {
        &self.layers[self.value_ref.file as usize]
    }

    fn position_at(self, offset: u32) -> Position {
        let file = self.value_ref.file;
        Position { file, offset }
    }

    /// The kind of the value.
    pub(super) fn kind(self) -> Kind {
        if self.merged.is_some() {
            return Kind::Object;
        }
        self.layer().kind(self.value_ref.index)
    }

    /// The key of the value.
    pub(super) fn key(self) -> Cow<'t, str> {
        self.layer().key(self.value_ref.index)
    }

    /// The position of the key in the last file that has it.
    pub(super) fn key_position(self) -> Position {
        self.position_at(self.layer().key_offset(self.value_ref.index))
    }

    /// The position of the value in the last file that has it.
    pub(super) fn position(self) -> Position {
        if self.layers.is_empty() {
            return self.position_at(0);
        }
        self.position_at(self.layer().offset(self.value_ref.index))
    }

    /// The source text of a scalar.
    pub(super) fn raw(self) -> &'t str {
        self.layer().raw(self.value_ref.index)
    }

    /// The unescaped text, if the value is a string.
    pub(super) fn text(self) -> Option<Cow<'t, str>> {
        (self.kind() == Kind::Text).then(|| self.layer().text(self.value_ref.index))
    }

    /// The direct children of an object or a list.
    pub(super) fn children(self) -> ChildViews<'t> {
        let layers = self.layers;
        match self.merged {
            Some(merged) => ChildViews::Merged(layers, merged.entries.iter()),
            None => ChildViews::Single(
                layers,
                self.value_ref,
                self.layer().children(self.value_ref.index),
            ),
        }
    }

    /// The entries of an object; none for a value of another kind.
    pub(super) fn entries(self) -> impl Iterator<Item = View<'t>> {
        let is_object = self.kind() == Kind::Object;
        is_object.then(|| self.children()).into_iter().flatten()
    }

    /// The entry of an object with this key.
    pub(super) fn get(self, key: &str) -> Option<View<'t>> {
        let Some(merged) = self.merged else {
            return self.entries().find(|entry| entry.key() == key);
        };
        let view = |node| View::new(self.layers, node);
        let entries = &merged.entries;
        let found = entries.binary_search_by(|node| view(node).key().as_ref().cmp(key));
        found.ok().map(|i| view(&entries[i]))
    }

    /// The entries of the object with this key; none if there is no such object.
    pub(super) fn section_entries(self, key: &str) -> impl Iterator<Item = View<'t>> {
        let section = self.get(key);
        section.into_iter().flat_map(View::entries)
    }

    /// The text and the position of the string with this key.
    pub(super) fn string(self, key: &str) -> Option<(Cow<'t, str>, Position)> {
        let view = self.get(key)?;
        Some((view.text()?, view.position()))
    }
}

/// Iterates over the direct children of an object or a list.
#[derive(Clone)]
pub(super) enum ChildViews<'t> {
    /// The children of a value that one file holds.
    Single(&'t [Arc<Layer>], ValueRef, Children<'t>),
    /// The children of a merged object.
    Merged(&'t [Arc<Layer>], std::slice::Iter<'t, Node>),
}

impl<'t> Iterator for ChildViews<'t> {
    type Item = View<'t>;

    fn next(&mut self) -> Option<View<'t>> {
        match self {
            ChildViews::Single(layers, value_ref, children) => Some(View {
                layers,
                value_ref: ValueRef {
                    index: children.next()?,
                    ..*value_ref
                },
                merged: None,
            }),
            ChildViews::Merged(layers, nodes) => Some(View::new(layers, nodes.next()?)),
        }
    }
}
