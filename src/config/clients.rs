//! Client blocks, checked and in a compact form, as there may be millions of them.

use std::borrow::Cow;
use std::collections::BTreeMap;
use std::net::IpAddr;
use std::sync::Arc;

use ipnet::IpNet;

use crate::border::configuration::Client;

use super::fault::Problems;
use super::tree::{Position, View};

/// The section of the configuration that has the client blocks.
pub(super) const SECTION: &str = "clients";

/// Address blocks of clients, each with its region.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Clients {
    /// Blocks without host bits, in ascending order and without duplicates, each with the index of
    /// its region in `regions`.
    blocks: Vec<(IpNet, u16)>,
    regions: Vec<Arc<str>>,
}

impl Clients {
    /// All blocks in ascending order, with the names of their regions.
    pub fn iter(&self) -> impl ExactSizeIterator<Item = (IpNet, &Arc<str>)> {
        let blocks = self.blocks.iter();
        blocks.map(|&(block, region)| (block, &self.regions[usize::from(region)]))
    }

    /// The names of all regions that have blocks.
    pub fn regions(&self) -> &[Arc<str>] {
        &self.regions
    }

    /// The number of blocks.
    pub fn len(&self) -> usize {
        self.blocks.len()
    }

    /// Whether there are no blocks.
    pub fn is_empty(&self) -> bool {
        self.blocks.is_empty()
    }

    /// The blocks as records of the generated type, by block.
    pub(super) fn to_records(&self) -> BTreeMap<String, Client> {
        let records = self.iter().map(|(block, region)| {
            let region = region.as_ref().into();
            (block.to_string(), Client { region })
        });
        records.collect()
    }

    /// Reads the blocks of `root` and adds their problems to `problems`.
    pub(super) fn with_root(root: View<'_>, problems: &mut Problems) -> Self {
        let mut clients = Self::default();
        let mut region_indices: BTreeMap<Cow<'_, str>, u16> = BTreeMap::new();
        let mut found = Vec::new();
        for entry in root.section_entries(SECTION) {
            let key = entry.key();
            let block = match parse_block(&key) {
                Ok(block) => block,
                Err(problem) => {
                    problems.add(entry.key_position(), &[SECTION, &key], problem);
                    continue;
                }
            };
            // The schema check reports a block without a region.
            let region = entry.string("region").map(|(region, _)| region);
            let region = region.unwrap_or_default();
            let region_index = *region_indices.entry(region).or_insert_with_key(|region| {
                clients.regions.push(region.as_ref().into());
                clients.regions.len() as u16 - 1
            });
            found.push((block, region_index, entry.key_position()));
        }
        found.sort_unstable_by_key(|&(block, _, position)| (block, position));
        let blocks = found
            .iter()
            .map(|&(block, region_index, _)| (block, region_index));
        clients.blocks = blocks.collect();
        report_duplicates(root, &found, problems);
        clients
    }
}

/// Reports blocks that are equal to an earlier one. `found` is sorted by block and position.
fn report_duplicates(root: View<'_>, found: &[(IpNet, u16, Position)], problems: &mut Problems) {
    let pairs = found.windows(2).filter(|pair| pair[0].0 == pair[1].0);
    let duplicates: BTreeMap<Position, Position> =
        pairs.map(|pair| (pair[1].2, pair[0].2)).collect();
    if duplicates.is_empty() {
        return;
    }
    let entries = root.section_entries(SECTION);
    let keys: BTreeMap<Position, Cow<'_, str>> = entries
        .map(|entry| (entry.key_position(), entry.key()))
        .collect();
    for (position, first) in duplicates {
        let problem = format!("is the same block as '{}'", keys[&first]);
        problems.add(position, &[SECTION, &keys[&position]], problem);
    }
}

/// Parses a block of client addresses; blocks with host bits and IPv4-mapped ones are rejected.
fn parse_block(text: &str) -> Result<IpNet, String> {
    let net: IpNet = text
        .parse()
        .map_err(|_| format!("'{text}' is not ADDRESS/LENGTH"))?;
    if net != net.trunc() {
        return Err(format!(
            "has host bits set; did you mean '{}'?",
            net.trunc()
        ));
    }
    match net.addr() {
        IpAddr::V6(ip) if ip.to_ipv4_mapped().is_some() => {
            Err("is IPv4 mapped to IPv6; write the IPv4 block".into())
        }
        _ => Ok(net),
    }
}
