//! Client blocks: longest-prefix match from a caller's address to its region.
//!
//! The blocks of each address family stand in order of address and length, in chunks that the tables
//! of successive revisions share, so that a change costs what it touches. Blocks nest or are disjoint;
//! hence the longest block that holds an address is the last one that starts at or before it, or one of
//! those around that one, which each block names.

use std::fmt;
use std::net::IpAddr;
use std::sync::Arc;

use ipnet::{IpNet, Ipv4Net, Ipv6Net};
use prefix_trie::Prefix;

use super::RegionKey;

/// Blocks in a chunk when it is made.
const CHUNK: usize = 512;
/// A run of changed chunks is cut anew, and joined with a neighbour smaller than this.
const MIN_CHUNK: usize = 128;
/// The block around a block is not in the same chunk.
const NO_PARENT: u16 = u16::MAX;
/// The widest block by which callers are steered, as a prefix length.
const WIDEST_V4: u8 = 24;
const WIDEST_V6: u8 = 56;

/// Regions by client block. Cheap to clone.
#[derive(Clone, Debug, Default)]
pub struct Table {
    v4: Arc<Index<Ipv4Net>>,
    v6: Arc<Index<Ipv6Net>>,
}

/// A block and its region.
type Entry<P> = (P, RegionKey);

/// The blocks of one address family.
struct Index<P: Prefix> {
    /// The first address of each chunk.
    firsts: Box<[P::R]>,
    chunks: Box<[Slot<P>]>,
    len: usize,
}

/// A chunk, and the blocks that hold its first one but stand before it, innermost first.
struct Slot<P: Prefix> {
    chunk: Arc<Chunk<P>>,
    outer: Box<[Entry<P>]>,
}

/// Blocks in order of address and length.
struct Chunk<P: Prefix> {
    starts: Box<[P::R]>,
    rest: Box<[Rest]>,
}

/// What a block is, beside its address.
#[derive(Clone, Copy)]
struct Rest {
    region: RegionKey,
    parent: u16,
    length: u8,
}

impl Table {
    /// A table of these blocks alone. Parts that are the same as in this table are shared with it.
    pub fn with_blocks(&self, blocks: &[(IpNet, RegionKey)]) -> Self {
        let (v4, v6) = parted(blocks);
        Self {
            v4: Arc::new(self.v4.with_entries(v4)),
            v6: Arc::new(self.v6.with_entries(v6)),
        }
    }

    /// A table with some blocks added or changed, and some removed. Costs what the changes touch.
    pub fn with_changes(&self, put: &[(IpNet, RegionKey)], remove: &[IpNet]) -> Self {
        let mut changes = (Vec::new(), Vec::new());
        let put = put.iter().map(|&(net, region)| (net, Some(region)));
        let all = remove.iter().map(|&net| (net, None)).chain(put);
        for (net, region) in all {
            match net {
                IpNet::V4(net) => changes.0.push((net.trunc(), region)),
                IpNet::V6(net) => changes.1.push((net.trunc(), region)),
            }
        }
        Self {
            v4: changed(&self.v4, changes.0),
            v6: changed(&self.v6, changes.1),
        }
    }

    /// The longest block that holds `client`, and its region.
    pub fn find(&self, client: IpAddr) -> Option<(IpNet, RegionKey)> {
        match client {
            IpAddr::V4(ip) => {
                let (net, region) = self.v4.find(Ipv4Net::from(ip))?;
                Some((IpNet::V4(net), region))
            }
            IpAddr::V6(ip) => {
                let (net, region) = self.v6.find(Ipv6Net::from(ip))?;
                Some((IpNet::V6(net), region))
            }
        }
    }

    /// The block by which a caller is steered: the configured one, but no wider than a fixed length,
    /// so that a split can divide the callers of a wide block.
    pub fn block(client: IpAddr, found: Option<(IpNet, RegionKey)>) -> IpNet {
        let length = found.map_or(0, |(net, _)| net.prefix_len());
        match client {
            IpAddr::V4(ip) => IpNet::V4(Ipv4Net::new_assert(ip, length.max(WIDEST_V4)).trunc()),
            IpAddr::V6(ip) => IpNet::V6(Ipv6Net::new_assert(ip, length.max(WIDEST_V6)).trunc()),
        }
    }

    /// How many blocks there are.
    pub fn len(&self) -> usize {
        self.v4.len + self.v6.len
    }

    /// Whether there is no block.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// The memory the blocks take, in bytes, without what the allocator adds.
    pub fn bytes(&self) -> usize {
        self.v4.bytes() + self.v6.bytes()
    }

    /// How many chunks there are, and how many of them are shared with `other`.
    pub fn shared(&self, other: &Self) -> (usize, usize) {
        let (v4, v6) = (self.v4.shared(&other.v4), self.v6.shared(&other.v6));
        (v4.0 + v6.0, v4.1 + v6.1)
    }
}

/// Blocks by address family, in order, the last of equal ones.
fn parted(blocks: &[(IpNet, RegionKey)]) -> (Vec<Entry<Ipv4Net>>, Vec<Entry<Ipv6Net>>) {
    let (mut v4, mut v6) = (Vec::new(), Vec::new());
    for &(block, region) in blocks {
        match block {
            IpNet::V4(net) => v4.push((net.trunc(), region)),
            IpNet::V6(net) => v6.push((net.trunc(), region)),
        }
    }
    (ordered(v4), ordered(v6))
}

fn rank<P: Prefix>(net: &P) -> (P::R, u8) {
    (net.repr(), net.prefix_len())
}

/// Sorts, and keeps the last of equal blocks.
fn ordered<P: Prefix + Copy, T: Copy>(mut entries: Vec<(P, T)>) -> Vec<(P, T)> {
    entries.sort_by_key(|(net, _)| rank(net));
    entries.dedup_by(|next, kept| {
        let same = rank(&next.0) == rank(&kept.0);
        if same {
            kept.1 = next.1;
        }
        same
    });
    entries
}

fn changed<P: Prefix + Copy>(
    index: &Arc<Index<P>>,
    changes: Vec<(P, Option<RegionKey>)>,
) -> Arc<Index<P>> {
    if changes.is_empty() {
        return index.clone();
    }
    Arc::new(index.with_changes(&ordered(changes)))
}

impl<P: Prefix> Default for Index<P> {
    fn default() -> Self {
        Self {
            firsts: Box::default(),
            chunks: Box::default(),
            len: 0,
        }
    }
}

impl<P: Prefix> fmt::Debug for Index<P> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} blocks", self.len)
    }
}

impl<P: Prefix + Copy> Index<P> {
    fn new(chunks: Vec<Arc<Chunk<P>>>) -> Self {
        let mut slots: Vec<Slot<P>> = Vec::with_capacity(chunks.len());
        for chunk in chunks {
            let first = chunk.entry(0).0;
            let around = slots.last().map_or_else(Vec::new, Slot::last_chain);
            let outer = around.into_iter().filter(|(net, _)| net.contains(&first));
            slots.push(Slot {
                outer: outer.collect(),
                chunk,
            });
        }
        Self {
            firsts: slots.iter().map(|slot| slot.chunk.starts[0]).collect(),
            len: slots.iter().map(|slot| slot.chunk.starts.len()).sum(),
            chunks: slots.into(),
        }
    }

    fn find(&self, host: P) -> Option<Entry<P>> {
        let at = self.firsts.partition_point(|&first| first <= host.repr());
        self.chunks[at.checked_sub(1)?].find(&host)
    }

    /// An index of `entries`, which are in order.
    fn with_entries(&self, entries: Vec<Entry<P>>) -> Self {
        let mut chunks = Vec::new();
        let mut fresh = Vec::new();
        let mut left = &entries[..];
        for slot in &self.chunks[..] {
            let first = rank(&slot.chunk.entry(0).0);
            let skipped = left.partition_point(|(net, _)| rank(net) < first);
            fresh.extend_from_slice(&left[..skipped]);
            left = &left[skipped..];
            let room = fresh.is_empty() || fresh.len() >= MIN_CHUNK;
            if room && slot.chunk.starts_in(left) {
                cut(&mut chunks, &mut fresh);
                chunks.push(slot.chunk.clone());
                left = &left[slot.chunk.starts.len()..];
            }
        }
        fresh.extend_from_slice(left);
        cut(&mut chunks, &mut fresh);
        Self::new(chunks)
    }

    /// An index with `changes`, which are in order.
    fn with_changes(&self, changes: &[(P, Option<RegionKey>)]) -> Self {
        let mut chunks = Vec::new();
        let mut fresh = Vec::new();
        let mut left = changes;
        for (at, slot) in self.chunks.iter().enumerate() {
            let next = self
                .chunks
                .get(at + 1)
                .map(|next| rank(&next.chunk.entry(0).0));
            let count = match next {
                Some(next) => left.partition_point(|(net, _)| rank(net) < next),
                None => left.len(),
            };
            let (own, rest) = left.split_at(count);
            left = rest;
            if own.is_empty() && (fresh.is_empty() || fresh.len() >= MIN_CHUNK) {
                cut(&mut chunks, &mut fresh);
                chunks.push(slot.chunk.clone());
            } else {
                merge(&mut fresh, &slot.chunk, own);
            }
        }
        let new = left
            .iter()
            .filter_map(|&(net, region)| Some((net, region?)));
        fresh.extend(new);
        cut(&mut chunks, &mut fresh);
        Self::new(chunks)
    }

    fn bytes(&self) -> usize {
        let slots = self.chunks.iter().map(|slot| {
            let block = size_of::<P::R>() + size_of::<Rest>();
            let outer = slot.outer.len() * size_of::<Entry<P>>();
            size_of::<Slot<P>>() + size_of::<Chunk<P>>() + outer + slot.chunk.starts.len() * block
        });
        size_of_val(&self.firsts[..]) + slots.sum::<usize>()
    }

    fn shared(&self, other: &Self) -> (usize, usize) {
        let old: std::collections::BTreeSet<_> = other
            .chunks
            .iter()
            .map(|slot| Arc::as_ptr(&slot.chunk))
            .collect();
        let is_old = |slot: &&Slot<P>| old.contains(&Arc::as_ptr(&slot.chunk));
        (self.chunks.len(), self.chunks.iter().filter(is_old).count())
    }
}

/// Cuts `fresh` into chunks of even size.
fn cut<P: Prefix + Copy>(chunks: &mut Vec<Arc<Chunk<P>>>, fresh: &mut Vec<Entry<P>>) {
    if fresh.is_empty() {
        return;
    }
    let count = fresh.len().div_ceil(CHUNK);
    let size = fresh.len().div_ceil(count);
    chunks.extend(fresh.chunks(size).map(|part| Arc::new(Chunk::new(part))));
    fresh.clear();
}

/// Adds the blocks of a chunk to `fresh`, with changes.
fn merge<P: Prefix + Copy>(
    fresh: &mut Vec<Entry<P>>,
    chunk: &Chunk<P>,
    changes: &[(P, Option<RegionKey>)],
) {
    let mut left = changes;
    for at in 0..chunk.starts.len() {
        let entry = chunk.entry(at);
        let before = left.partition_point(|(net, _)| rank(net) < rank(&entry.0));
        let new = left[..before].iter();
        fresh.extend(new.filter_map(|&(net, region)| Some((net, region?))));
        left = &left[before..];
        match left.first() {
            Some((net, region)) if rank(net) == rank(&entry.0) => {
                fresh.extend(region.map(|region| (entry.0, region)));
                left = &left[1..];
            }
            _ => fresh.push(entry),
        }
    }
    fresh.extend(
        left.iter()
            .filter_map(|&(net, region)| Some((net, region?))),
    );
}

impl<P: Prefix + Copy> Slot<P> {
    fn find(&self, host: &P) -> Option<Entry<P>> {
        let chunk = &self.chunk;
        let at = chunk.starts.partition_point(|&start| start <= host.repr());
        let mut next = at.checked_sub(1);
        while let Some(at) = next {
            let entry = chunk.entry(at);
            if entry.0.contains(host) {
                return Some(entry);
            }
            next = chunk.parent(at);
        }
        self.outer
            .iter()
            .find(|(net, _)| net.contains(host))
            .copied()
    }

    /// The last block and those around it, innermost first.
    fn last_chain(&self) -> Vec<Entry<P>> {
        let mut chain = Vec::new();
        let mut next = self.chunk.starts.len().checked_sub(1);
        while let Some(at) = next {
            chain.push(self.chunk.entry(at));
            next = self.chunk.parent(at);
        }
        let inner = chain.last().map(|&(net, _)| net);
        let holds = |outer: &P| inner.is_none_or(|inner| outer.contains(&inner));
        chain.extend(self.outer.iter().filter(|(net, _)| holds(net)));
        chain
    }
}

impl<P: Prefix + Copy> Chunk<P> {
    fn new(entries: &[Entry<P>]) -> Self {
        let mut rest: Vec<Rest> = Vec::with_capacity(entries.len());
        let mut open: Vec<usize> = Vec::new();
        for (at, (net, region)) in entries.iter().enumerate() {
            while open
                .last()
                .is_some_and(|&top| !entries[top].0.contains(net))
            {
                open.pop();
            }
            let parent = open.last().and_then(|&top| u16::try_from(top).ok());
            rest.push(Rest {
                region: *region,
                parent: parent.unwrap_or(NO_PARENT),
                length: net.prefix_len(),
            });
            open.push(at);
        }
        Self {
            starts: entries.iter().map(|(net, _)| net.repr()).collect(),
            rest: rest.into(),
        }
    }

    fn entry(&self, at: usize) -> Entry<P> {
        let rest = self.rest[at];
        (P::from_repr_len(self.starts[at], rest.length), rest.region)
    }

    fn parent(&self, at: usize) -> Option<usize> {
        let parent = self.rest[at].parent;
        (parent != NO_PARENT).then_some(usize::from(parent))
    }

    /// Whether `entries` begin with the blocks of this chunk.
    fn starts_in(&self, entries: &[Entry<P>]) -> bool {
        let count = self.starts.len();
        entries.len() >= count
            && (0..count).all(|at| {
                let (net, region) = entries[at];
                let rest = self.rest[at];
                net.repr() == self.starts[at]
                    && net.prefix_len() == rest.length
                    && region == rest.region
            })
    }
}
