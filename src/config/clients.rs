//! Client blocks, checked and laid out small: there may be millions.

use std::borrow::Cow;
use std::collections::BTreeMap;
use std::net::IpAddr;
use std::sync::Arc;

use ipnet::IpNet;

use crate::border::configuration::Client;

use super::fault::Problems;
use super::tree::{Place, View};

/// The section that they stand in.
pub(super) const SECTION: &str = "clients";

/// The regions of client blocks.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Clients {
    /// In rising order, without host bits, each once.
    blocks: Vec<(IpNet, u16)>,
    regions: Vec<Arc<str>>,
}

impl Clients {
    /// All blocks in rising order, and the names of their regions.
    pub fn iter(&self) -> impl ExactSizeIterator<Item = (IpNet, &Arc<str>)> {
        let blocks = self.blocks.iter();
        blocks.map(|&(block, region)| (block, &self.regions[usize::from(region)]))
    }

    /// The names of all regions that have blocks.
    pub fn regions(&self) -> &[Arc<str>] {
        &self.regions
    }

    /// How many blocks there are.
    pub fn len(&self) -> usize {
        self.blocks.len()
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.blocks.is_empty()
    }

    /// The blocks as the schema has them.
    pub(super) fn records(&self) -> BTreeMap<String, Client> {
        let records = self.iter().map(|(block, region)| {
            let region = region.as_ref().into();
            (block.to_string(), Client { region })
        });
        records.collect()
    }

    /// Lays out the blocks of `root`, and notes what is wrong with them.
    pub(super) fn with_root(root: View<'_>, problems: &mut Problems) -> Self {
        let mut clients = Self::default();
        let mut numbers: BTreeMap<Cow<'_, str>, u16> = BTreeMap::new();
        let mut found = Vec::new();
        for entry in root.section(SECTION) {
            let key = entry.key();
            let block = match block(&key) {
                Ok(block) => block,
                Err(problem) => {
                    problems.add(entry.key_place(), &[SECTION, &key], problem);
                    continue;
                }
            };
            // A block without a region is told of by its shape.
            let region = entry.named("region").map(|(region, _)| region);
            let region = region.unwrap_or_default();
            let number = *numbers.entry(region).or_insert_with_key(|region| {
                clients.regions.push(region.as_ref().into());
                clients.regions.len() as u16 - 1
            });
            found.push((block, number, entry.key_place()));
        }
        found.sort_unstable_by_key(|&(block, _, place)| (block, place));
        let blocks = found.iter().map(|&(block, number, _)| (block, number));
        clients.blocks = blocks.collect();
        note_twice(root, &found, problems);
        clients
    }
}

/// Notes blocks that are the same as the one before them.
fn note_twice(root: View<'_>, found: &[(IpNet, u16, Place)], problems: &mut Problems) {
    let pairs = found.windows(2).filter(|pair| pair[0].0 == pair[1].0);
    let twice: BTreeMap<Place, Place> = pairs.map(|pair| (pair[1].2, pair[0].2)).collect();
    if twice.is_empty() {
        return;
    }
    let entries = root.section(SECTION);
    let keys: BTreeMap<Place, Cow<'_, str>> = entries
        .map(|entry| (entry.key_place(), entry.key()))
        .collect();
    for (place, first) in twice {
        let problem = format!("is the same block as '{}'", keys[&first]);
        problems.add(place, &[SECTION, &keys[&place]], problem);
    }
}

/// A block of clients' addresses without host bits.
fn block(text: &str) -> Result<IpNet, String> {
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
