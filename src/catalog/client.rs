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
const CHUNK: usize = 128;
/// A run of changed chunks is cut anew, and joined with a neighbour smaller than this.
const MIN_CHUNK: usize = 32;
/// The block around a block is not in the same chunk.
const NO_PARENT: u16 = u16::MAX;
/// The widest block by which callers are steered, as a prefix length.
const WIDEST_V4: u8 = 24;
const WIDEST_V6: u8 = 56;

/// Regions by client block. Cheap to clone.
#[derive(Clone, Debug, Default)]
pub struct Table {
    v4: Arc<Index<Ipv4Net>>,
    v6: Arc<Index<Upper>>,
    /// IPv6 blocks longer than the upper half of an address.
    v6_long: Arc<Index<Ipv6Net>>,
}

/// An IPv6 block within the upper half of the address: most are, and they take half the memory.
#[derive(Clone, Copy, Debug)]
struct Upper {
    bits: u64,
    length: u8,
}

/// Bits of the upper half of an IPv6 address.
const UPPER: u8 = 64;

impl Prefix for Upper {
    type R = u64;

    fn repr(&self) -> u64 {
        self.bits
    }

    fn prefix_len(&self) -> u8 {
        self.length
    }

    fn from_repr_len(bits: u64, length: u8) -> Self {
        Self { bits, length }
    }
}

impl Upper {
    fn new(net: Ipv6Net) -> Self {
        Self {
            bits: (u128::from(net.addr()) >> UPPER) as u64,
            length: net.prefix_len(),
        }
    }

    fn net(self) -> Ipv6Net {
        let address = u128::from(self.bits) << UPPER;
        Ipv6Net::new_assert(address.into(), self.length)
    }
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
    chunk: Chunk<P>,
    outer: Box<[Entry<P>]>,
}

/// Blocks in order of address and length. Cheap to clone.
struct Chunk<P: Prefix> {
    starts: Arc<[P::R]>,
    rest: Arc<[Rest]>,
}

impl<P: Prefix> Clone for Chunk<P> {
    fn clone(&self) -> Self {
        Self {
            starts: self.starts.clone(),
            rest: self.rest.clone(),
        }
    }
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
        let parts = Parts::new(blocks.iter().copied());
        Self {
            v4: Arc::new(self.v4.with_entries(&ordered(parts.v4))),
            v6: Arc::new(self.v6.with_entries(&ordered(parts.v6))),
            v6_long: Arc::new(self.v6_long.with_entries(&ordered(parts.v6_long))),
        }
    }

    /// A table with some blocks added or changed, and some removed before that.
    ///
    /// Only chunks that change are made anew; besides, it costs a few steps for each chunk.
    pub fn with_changes(&self, put: &[(IpNet, RegionKey)], remove: &[IpNet]) -> Self {
        let put = put.iter().map(|&(net, region)| (net, Some(region)));
        let parts = Parts::new(remove.iter().map(|&net| (net, None)).chain(put));
        Self {
            v4: changed(&self.v4, parts.v4),
            v6: changed(&self.v6, parts.v6),
            v6_long: changed(&self.v6_long, parts.v6_long),
        }
    }

    /// The longest block that holds `client`, and its region.
    pub fn find(&self, client: IpAddr) -> Option<(IpNet, RegionKey)> {
        match client {
            IpAddr::V4(ip) => {
                let (net, region) = self.v4.find(ip.into())?;
                Some((IpNet::V4(net), region))
            }
            IpAddr::V6(ip) => {
                let address = u128::from(ip);
                if let Some((net, region)) = self.v6_long.find(address) {
                    return Some((IpNet::V6(net), region));
                }
                let (upper, region) = self.v6.find((address >> UPPER) as u64)?;
                Some((IpNet::V6(upper.net()), region))
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
        self.v4.len + self.v6.len + self.v6_long.len
    }

    /// Whether there is no block.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// The memory the blocks take, in bytes, without what the allocator adds.
    pub fn bytes(&self) -> usize {
        self.v4.bytes() + self.v6.bytes() + self.v6_long.bytes()
    }

    /// How many chunks there are, and how many of them are shared with `other`.
    pub fn shared(&self, other: &Self) -> (usize, usize) {
        let parts = [
            self.v4.shared(&other.v4),
            self.v6.shared(&other.v6),
            self.v6_long.shared(&other.v6_long),
        ];
        let sum = |(all, shared), part: &(usize, usize)| (all + part.0, shared + part.1);
        parts.iter().fold((0, 0), sum)
    }
}

/// What is said of blocks, by the index they belong to.
struct Parts<T> {
    v4: Vec<(Ipv4Net, T)>,
    v6: Vec<(Upper, T)>,
    v6_long: Vec<(Ipv6Net, T)>,
}

impl<T> Parts<T> {
    fn new(blocks: impl Iterator<Item = (IpNet, T)>) -> Self {
        let mut parts = Self {
            v4: Vec::new(),
            v6: Vec::new(),
            v6_long: Vec::new(),
        };
        for (net, value) in blocks {
            match net.trunc() {
                IpNet::V4(net) => parts.v4.push((net, value)),
                IpNet::V6(net) if net.prefix_len() <= UPPER => {
                    parts.v6.push((Upper::new(net), value));
                }
                IpNet::V6(net) => parts.v6_long.push((net, value)),
            }
        }
        parts
    }
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
    fn new(chunks: Vec<Chunk<P>>) -> Self {
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

    fn find(&self, address: P::R) -> Option<Entry<P>> {
        let at = self.firsts.partition_point(|&first| first <= address);
        self.chunks[at.checked_sub(1)?].find(address)
    }

    /// An index of `entries`, which are in order.
    fn with_entries(&self, entries: &[Entry<P>]) -> Self {
        let mut chunks = Vec::new();
        let mut fresh = Vec::new();
        let mut left = entries;
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
            size_of::<Slot<P>>() + outer + slot.chunk.starts.len() * block
        });
        size_of_val(&self.firsts[..]) + slots.sum::<usize>()
    }

    fn shared(&self, other: &Self) -> (usize, usize) {
        let old: std::collections::BTreeSet<_> = other
            .chunks
            .iter()
            .map(|slot| Arc::as_ptr(&slot.chunk.starts))
            .collect();
        let is_old = |slot: &&Slot<P>| old.contains(&Arc::as_ptr(&slot.chunk.starts));
        (self.chunks.len(), self.chunks.iter().filter(is_old).count())
    }
}

/// Whether the block of an address and a length holds another address.
fn holds<P: Prefix>(start: P::R, length: u8, address: P::R) -> bool {
    let host_bits = P::num_bits() as usize - usize::from(length);
    length == 0 || start >> host_bits == address >> host_bits
}

/// Cuts `fresh` into chunks of even size.
fn cut<P: Prefix + Copy>(chunks: &mut Vec<Chunk<P>>, fresh: &mut Vec<Entry<P>>) {
    if fresh.is_empty() {
        return;
    }
    let count = fresh.len().div_ceil(CHUNK);
    let size = fresh.len().div_ceil(count);
    chunks.extend(fresh.chunks(size).map(Chunk::new));
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
    fn find(&self, address: P::R) -> Option<Entry<P>> {
        let chunk = &self.chunk;
        let at = chunk.starts.partition_point(|&start| start <= address);
        let mut next = at.checked_sub(1);
        while let Some(at) = next {
            if holds::<P>(chunk.starts[at], chunk.rest[at].length, address) {
                return Some(chunk.entry(at));
            }
            next = chunk.parent(at);
        }
        let around = |(net, _): &&Entry<P>| holds::<P>(net.repr(), net.prefix_len(), address);
        self.outer.iter().find(around).copied()
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
