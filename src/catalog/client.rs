//! Client blocks: longest-prefix match from a caller's address to its region.

use std::net::IpAddr;

use ipnet::{IpNet, Ipv4Net, Ipv6Net};
use prefix_trie::PrefixMap;

use super::RegionKey;

/// Regions by client block.
#[derive(Clone, Debug, Default)]
pub struct Table {
    v4: PrefixMap<Ipv4Net, RegionKey>,
    v6: PrefixMap<Ipv6Net, RegionKey>,
}

/// The block a caller belongs to when no configured block holds it, as a prefix length.
const DEFAULT_V4: u8 = 24;
const DEFAULT_V6: u8 = 56;

impl Table {
    /// A table of these blocks alone.
    pub fn with_blocks(&self, blocks: &[(IpNet, RegionKey)]) -> Self {
        let mut table = Self::default();
        for &(block, region) in blocks {
            match block {
                IpNet::V4(net) => table.v4.insert(net.trunc(), region),
                IpNet::V6(net) => table.v6.insert(net.trunc(), region),
            };
        }
        table
    }

    /// The longest block that holds `client`, and its region.
    pub fn find(&self, client: IpAddr) -> Option<(IpNet, RegionKey)> {
        match client {
            IpAddr::V4(ip) => {
                let (net, region) = self.v4.get_lpm(&Ipv4Net::from(ip))?;
                Some((IpNet::V4(net), *region))
            }
            IpAddr::V6(ip) => {
                let (net, region) = self.v6.get_lpm(&Ipv6Net::from(ip))?;
                Some((IpNet::V6(net), *region))
            }
        }
    }

    /// The block by which a caller is steered: the configured one, or one of a fixed length.
    pub fn block(client: IpAddr, found: Option<(IpNet, RegionKey)>) -> IpNet {
        if let Some((net, _)) = found {
            return net;
        }
        match client {
            IpAddr::V4(ip) => IpNet::V4(Ipv4Net::new_assert(ip, DEFAULT_V4).trunc()),
            IpAddr::V6(ip) => IpNet::V6(Ipv6Net::new_assert(ip, DEFAULT_V6).trunc()),
        }
    }

    /// How many blocks there are.
    pub fn len(&self) -> usize {
        self.v4.len() + self.v6.len()
    }

    /// Whether there is no block.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
