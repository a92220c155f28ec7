//! Client blocks: finds a caller's region by the longest prefix that matches its address.
//!
//! The blocks of each address family are sorted by address and length and stored in chunks. Tables of
//! successive revisions share unchanged chunks, so the cost of an update depends on the chunks that it
//! changes. Two blocks are either nested or disjoint. Therefore the longest block that contains an
//! address is the last block that starts at or before the address or one of its enclosing blocks, which
//! are found by the index of its parent that each block stores.

use std::fmt;
use std::net::IpAddr;
use std::sync::Arc;

use ipnet::{IpNet, Ipv4Net, Ipv6Net};
use prefix_trie::Prefix;

use super::RegionKey;

/// Maximum number of blocks in a new chunk.
const MAX_CHUNK_BLOCKS: usize = 128;
/// A run of rebuilt blocks that is smaller than this is merged with the next chunk.
const MIN_RUN_BLOCKS: usize = 32;
/// Marks a block whose chunk contains no block that encloses it.
const NO_PARENT: u16 = u16::MAX;
/// Shortest prefixes of the blocks by which callers are steered.
const MIN_STEERING_PREFIX_V4: u8 = 24;
const MIN_STEERING_PREFIX_V6: u8 = 56;

/// Maps client blocks to regions. Cheap to clone.
#[derive(Clone, Debug, Default)]
pub struct ClientTable {
    v4: Arc<Index<Ipv4Net>>,
    v6: Arc<Index<UpperNet>>,
    /// IPv6 blocks longer than the upper half of an address.
    v6_long: Arc<Index<Ipv6Net>>,
}

/// An IPv6 block with a prefix of at most 64 bits. Most IPv6 blocks are of this kind, and it takes half
/// the memory.
#[derive(Clone, Copy, Debug)]
struct UpperNet {
    bits: u64,
    length: u8,
}

/// Bits of the upper half of an IPv6 address.
const UPPER_BITS: u8 = 64;

impl Prefix for UpperNet {
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

impl UpperNet {
    fn new(net: Ipv6Net) -> Self {
        Self {
            bits: (u128::from(net.addr()) >> UPPER_BITS) as u64,
            length: net.prefix_len(),
        }
    }

    fn net(self) -> Ipv6Net {
        let address = u128::from(self.bits) << UPPER_BITS;
        Ipv6Net::new_assert(address.into(), self.length)
    }
}

/// A block and its region.
type Entry<P> = (P, RegionKey);

/// The blocks of one address family.
struct Index<P: Prefix> {
    /// The first address of each chunk, for a binary search.
    first_addresses: Box<[P::R]>,
    chunks: Box<[IndexedChunk<P>]>,
    len: usize,
}

/// A chunk and the blocks of earlier chunks that enclose its first block, innermost first.
struct IndexedChunk<P: Prefix> {
    chunk: Chunk<P>,
    outer: Box<[Entry<P>]>,
}

/// Blocks sorted by address and length. Cheap to clone.
struct Chunk<P: Prefix> {
    starts: Arc<[P::R]>,
    fields: Arc<[BlockFields]>,
}

impl<P: Prefix> Clone for Chunk<P> {
    fn clone(&self) -> Self {
        Self {
            starts: self.starts.clone(),
            fields: self.fields.clone(),
        }
    }
}

/// The fields of a block apart from its address.
#[derive(Clone, Copy)]
struct BlockFields {
    region: RegionKey,
    parent: u16,
    length: u8,
}

impl ClientTable {
    /// Returns a table of just these blocks. It shares equal chunks with this table.
    pub fn with_blocks(&self, blocks: &[(IpNet, RegionKey)]) -> Self {
        let grouped = BlocksByIndex::new(blocks.iter().copied());
        Self {
            v4: Arc::new(self.v4.with_entries(&sorted_unique(grouped.v4))),
            v6: Arc::new(self.v6.with_entries(&sorted_unique(grouped.v6))),
            v6_long: Arc::new(self.v6_long.with_entries(&sorted_unique(grouped.v6_long))),
        }
    }

    /// Returns a table in which the blocks of `remove` are removed and then those of `put` are added or
    /// changed.
    ///
    /// Only chunks that change are rebuilt. The remaining cost is a few steps per chunk.
    pub fn with_changes(&self, put: &[(IpNet, RegionKey)], remove: &[IpNet]) -> Self {
        let put = put.iter().map(|&(net, region)| (net, Some(region)));
        let grouped = BlocksByIndex::new(remove.iter().map(|&net| (net, None)).chain(put));
        Self {
            v4: with_changed_blocks(&self.v4, grouped.v4),
            v6: with_changed_blocks(&self.v6, grouped.v6),
            v6_long: with_changed_blocks(&self.v6_long, grouped.v6_long),
        }
    }

    /// Returns the longest block that contains `client`, and its region.
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
                let (upper, region) = self.v6.find((address >> UPPER_BITS) as u64)?;
                Some((IpNet::V6(upper.net()), region))
            }
        }
    }

    /// Returns the block by which a caller is steered. This is the configured block `found`, narrowed to
    /// at least a fixed prefix length, so that a split can divide the callers of a wide block.
    pub fn steering_block(client: IpAddr, found: Option<(IpNet, RegionKey)>) -> IpNet {
        let length = found.map_or(0, |(net, _)| net.prefix_len());
        match client {
            IpAddr::V4(ip) => {
                IpNet::V4(Ipv4Net::new_assert(ip, length.max(MIN_STEERING_PREFIX_V4)).trunc())
            }
            IpAddr::V6(ip) => {
                IpNet::V6(Ipv6Net::new_assert(ip, length.max(MIN_STEERING_PREFIX_V6)).trunc())
            }
        }
    }

    /// Returns the number of blocks.
    pub fn len(&self) -> usize {
        self.v4.len + self.v6.len + self.v6_long.len
    }

    /// Whether the table has no blocks.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns the memory used by the blocks, in bytes, without the allocator's overhead.
    pub fn memory_bytes(&self) -> usize {
        self.v4.memory_bytes() + self.v6.memory_bytes() + self.v6_long.memory_bytes()
    }

    /// Returns the number of chunks, and how many of them are shared with `other`.
    pub fn count_shared_chunks(&self, other: &Self) -> (usize, usize) {
        let counts = [
            self.v4.count_shared_chunks(&other.v4),
            self.v6.count_shared_chunks(&other.v6),
            self.v6_long.count_shared_chunks(&other.v6_long),
        ];
        let sum = |(all, shared), part: &(usize, usize)| (all + part.0, shared + part.1);
        counts.iter().fold((0, 0), sum)
    }
}

/// Blocks with a value each, grouped by the index that stores them.
struct BlocksByIndex<T> {
    v4: Vec<(Ipv4Net, T)>,
    v6: Vec<(UpperNet, T)>,
    v6_long: Vec<(Ipv6Net, T)>,
}

impl<T> BlocksByIndex<T> {
    fn new(blocks: impl Iterator<Item = (IpNet, T)>) -> Self {
        let mut grouped = Self {
            v4: Vec::new(),
            v6: Vec::new(),
            v6_long: Vec::new(),
        };
        for (net, value) in blocks {
            match net.trunc() {
                IpNet::V4(net) => grouped.v4.push((net, value)),
                IpNet::V6(net) if net.prefix_len() <= UPPER_BITS => {
                    grouped.v6.push((UpperNet::new(net), value));
                }
                IpNet::V6(net) => grouped.v6_long.push((net, value)),
            }
        }
        grouped
    }
}

fn sort_key<P: Prefix>(net: &P) -> (P::R, u8) {
    (net.repr(), net.prefix_len())
}

/// Sorts the entries and keeps the last of those with equal blocks.
fn sorted_unique<P: Prefix + Copy, T: Copy>(mut entries: Vec<(P, T)>) -> Vec<(P, T)> {
    entries.sort_by_key(|(net, _)| sort_key(net));
    entries.dedup_by(|next, kept| {
        let is_same = sort_key(&next.0) == sort_key(&kept.0);
        if is_same {
            kept.1 = next.1;
        }
        is_same
    });
    entries
}

fn with_changed_blocks<P: Prefix + Copy>(
    index: &Arc<Index<P>>,
    changes: Vec<(P, Option<RegionKey>)>,
) -> Arc<Index<P>> {
    if changes.is_empty() {
        return index.clone();
    }
    Arc::new(index.with_changes(&sorted_unique(changes)))
}

impl<P: Prefix> Default for Index<P> {
    fn default() -> Self {
        Self {
            first_addresses: Box::default(),
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
        let mut indexed_chunks: Vec<IndexedChunk<P>> = Vec::with_capacity(chunks.len());
        for chunk in chunks {
            let first = chunk.entry(0).0;
            let enclosing = indexed_chunks
                .last()
                .map_or_else(Vec::new, IndexedChunk::enclosing_chain_of_last);
            let outer = enclosing
                .into_iter()
                .filter(|(net, _)| net.contains(&first));
            indexed_chunks.push(IndexedChunk {
                outer: outer.collect(),
                chunk,
            });
        }
        Self {
            first_addresses: indexed_chunks
                .iter()
                .map(|indexed_chunk| indexed_chunk.chunk.starts[0])
                .collect(),
            len: indexed_chunks
                .iter()
                .map(|indexed_chunk| indexed_chunk.chunk.starts.len())
                .sum(),
            chunks: indexed_chunks.into(),
        }
    }

    fn find(&self, address: P::R) -> Option<Entry<P>> {
        let position = self
            .first_addresses
            .partition_point(|&first| first <= address);
        self.chunks[position.checked_sub(1)?].find(address)
    }

    /// Returns an index of `entries`, which are sorted, and reuses chunks of this index.
    fn with_entries(&self, entries: &[Entry<P>]) -> Self {
        let mut chunks = Vec::new();
        let mut pending = Vec::new();
        let mut remaining = entries;
        for indexed_chunk in &self.chunks[..] {
            let first = sort_key(&indexed_chunk.chunk.entry(0).0);
            let skipped = remaining.partition_point(|(net, _)| sort_key(net) < first);
            pending.extend_from_slice(&remaining[..skipped]);
            remaining = &remaining[skipped..];
            let can_flush = pending.is_empty() || pending.len() >= MIN_RUN_BLOCKS;
            if can_flush && indexed_chunk.chunk.is_prefix_of(remaining) {
                flush(&mut chunks, &mut pending);
                chunks.push(indexed_chunk.chunk.clone());
                remaining = &remaining[indexed_chunk.chunk.starts.len()..];
            }
        }
        pending.extend_from_slice(remaining);
        flush(&mut chunks, &mut pending);
        Self::new(chunks)
    }

    /// Returns an index with `changes` applied, which are sorted, and reuses unchanged chunks.
    fn with_changes(&self, changes: &[(P, Option<RegionKey>)]) -> Self {
        let mut chunks = Vec::new();
        let mut pending = Vec::new();
        let mut remaining = changes;
        for (position, indexed_chunk) in self.chunks.iter().enumerate() {
            let next = self
                .chunks
                .get(position + 1)
                .map(|next| sort_key(&next.chunk.entry(0).0));
            let count = match next {
                Some(next) => remaining.partition_point(|(net, _)| sort_key(net) < next),
                None => remaining.len(),
            };
            let (own, later) = remaining.split_at(count);
            remaining = later;
            if own.is_empty() && (pending.is_empty() || pending.len() >= MIN_RUN_BLOCKS) {
                flush(&mut chunks, &mut pending);
                chunks.push(indexed_chunk.chunk.clone());
            } else {
                merge(&mut pending, &indexed_chunk.chunk, own);
            }
        }
        let new = remaining
            .iter()
            .filter_map(|&(net, region)| Some((net, region?)));
        pending.extend(new);
        flush(&mut chunks, &mut pending);
        Self::new(chunks)
    }

    fn memory_bytes(&self) -> usize {
        let indexed_chunks = self.chunks.iter().map(|indexed_chunk| {
            let block = size_of::<P::R>() + size_of::<BlockFields>();
            let outer = indexed_chunk.outer.len() * size_of::<Entry<P>>();
            size_of::<IndexedChunk<P>>() + outer + indexed_chunk.chunk.starts.len() * block
        });
        size_of_val(&self.first_addresses[..]) + indexed_chunks.sum::<usize>()
    }

    fn count_shared_chunks(&self, other: &Self) -> (usize, usize) {
        let other_chunks: std::collections::BTreeSet<_> = other
            .chunks
            .iter()
            .map(|indexed_chunk| Arc::as_ptr(&indexed_chunk.chunk.starts))
            .collect();
        let is_shared = |indexed_chunk: &&IndexedChunk<P>| {
            other_chunks.contains(&Arc::as_ptr(&indexed_chunk.chunk.starts))
        };
        (
            self.chunks.len(),
            self.chunks.iter().filter(is_shared).count(),
        )
    }
}

/// Whether the block that begins at `start` with this prefix length contains `address`.
fn contains_address<P: Prefix>(start: P::R, length: u8, address: P::R) -> bool {
    let host_bits = P::num_bits() as usize - usize::from(length);
    length == 0 || start >> host_bits == address >> host_bits
}

/// Moves the entries of `pending` into chunks of nearly equal size.
fn flush<P: Prefix + Copy>(chunks: &mut Vec<Chunk<P>>, pending: &mut Vec<Entry<P>>) {
    if pending.is_empty() {
        return;
    }
    let count = pending.len().div_ceil(MAX_CHUNK_BLOCKS);
    let size = pending.len().div_ceil(count);
    chunks.extend(pending.chunks(size).map(Chunk::new));
    pending.clear();
}

/// Appends the blocks of a chunk to `pending`, with `changes` applied.
fn merge<P: Prefix + Copy>(
    pending: &mut Vec<Entry<P>>,
    chunk: &Chunk<P>,
    changes: &[(P, Option<RegionKey>)],
) {
    let mut remaining = changes;
    for position in 0..chunk.starts.len() {
        let entry = chunk.entry(position);
        let before = remaining.partition_point(|(net, _)| sort_key(net) < sort_key(&entry.0));
        let new = remaining[..before].iter();
        pending.extend(new.filter_map(|&(net, region)| Some((net, region?))));
        remaining = &remaining[before..];
        match remaining.first() {
            Some((net, region)) if sort_key(net) == sort_key(&entry.0) => {
                pending.extend(region.map(|region| (entry.0, region)));
                remaining = &remaining[1..];
            }
            _ => pending.push(entry),
        }
    }
    pending.extend(
        remaining
            .iter()
            .filter_map(|&(net, region)| Some((net, region?))),
    );
}

impl<P: Prefix + Copy> IndexedChunk<P> {
    fn find(&self, address: P::R) -> Option<Entry<P>> {
        let chunk = &self.chunk;
        let position = chunk.starts.partition_point(|&start| start <= address);
        let mut next = position.checked_sub(1);
        while let Some(position) = next {
            if contains_address::<P>(
                chunk.starts[position],
                chunk.fields[position].length,
                address,
            ) {
                return Some(chunk.entry(position));
            }
            next = chunk.parent(position);
        }
        let contains =
            |(net, _): &&Entry<P>| contains_address::<P>(net.repr(), net.prefix_len(), address);
        self.outer.iter().find(contains).copied()
    }

    /// Returns the last block and the blocks that enclose it, innermost first.
    fn enclosing_chain_of_last(&self) -> Vec<Entry<P>> {
        let mut chain = Vec::new();
        let mut next = self.chunk.starts.len().checked_sub(1);
        while let Some(position) = next {
            chain.push(self.chunk.entry(position));
            next = self.chunk.parent(position);
        }
        let inner = chain.last().map(|&(net, _)| net);
        let is_enclosing = |outer: &P| inner.is_none_or(|inner| outer.contains(&inner));
        chain.extend(self.outer.iter().filter(|(net, _)| is_enclosing(net)));
        chain
    }
}

impl<P: Prefix + Copy> Chunk<P> {
    fn new(entries: &[Entry<P>]) -> Self {
        let mut fields: Vec<BlockFields> = Vec::with_capacity(entries.len());
        let mut ancestors: Vec<usize> = Vec::new();
        for (position, (net, region)) in entries.iter().enumerate() {
            while ancestors
                .last()
                .is_some_and(|&innermost| !entries[innermost].0.contains(net))
            {
                ancestors.pop();
            }
            let parent = ancestors
                .last()
                .and_then(|&innermost| u16::try_from(innermost).ok());
            fields.push(BlockFields {
                region: *region,
                parent: parent.unwrap_or(NO_PARENT),
                length: net.prefix_len(),
            });
            ancestors.push(position);
        }
        Self {
            starts: entries.iter().map(|(net, _)| net.repr()).collect(),
            fields: fields.into(),
        }
    }

    fn entry(&self, position: usize) -> Entry<P> {
        let fields = self.fields[position];
        (
            P::from_repr_len(self.starts[position], fields.length),
            fields.region,
        )
    }

    fn parent(&self, position: usize) -> Option<usize> {
        let parent = self.fields[position].parent;
        (parent != NO_PARENT).then_some(usize::from(parent))
    }

    /// Whether `entries` begins with the blocks of this chunk, with the same regions.
    fn is_prefix_of(&self, entries: &[Entry<P>]) -> bool {
        let count = self.starts.len();
        entries.len() >= count
            && (0..count).all(|position| {
                let (net, region) = entries[position];
                let fields = self.fields[position];
                net.repr() == self.starts[position]
                    && net.prefix_len() == fields.length
                    && region == fields.region
            })
    }
}
