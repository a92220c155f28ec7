//! Client blocks, checked and laid out small: there may be millions.

use std::borrow::Cow;
use std::collections::BTreeMap;
use std::net::IpAddr;
use std::sync::Arc;

use ipnet::IpNet;

use crate::border::configuration::Client;

use super::fault::Problems;
use super::tree::View;

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
            found.push((block, number, entry));
        }
        found.sort_by_key(|&(block, _, entry)| (block, entry.key_place()));
        for pair in found.windows(2) {
            let ((block, _, first), (next, _, entry)) = (pair[0], pair[1]);
            if block == next {
                let problem = format!("is the same block as '{}'", first.key());
                problems.add(entry.key_place(), &[SECTION, &entry.key()], problem);
            }
        }
        let blocks = found.iter().map(|&(block, number, _)| (block, number));
        clients.blocks = blocks.collect();
        clients
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
