//! The table of known hosts: their addresses, links and connection state.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Instant;

use tokio::sync::Notify;

use super::auth::Side;
use super::error::LinkEndReason;
use super::link::Link;

/// The hosts known to a mesh.
#[derive(Default)]
pub(super) struct PeerTable {
    /// Addresses of the hosts with which a link is always maintained.
    pub(super) persistent: BTreeMap<Arc<str>, SocketAddr>,
    /// Addresses of the hosts that may be linked on demand.
    pub(super) directory: BTreeMap<Arc<str>, SocketAddr>,
    pub(super) peers: BTreeMap<Arc<str>, Peer>,
    pub(super) is_closing: bool,
}

/// The links with another host and the state of its connection attempts.
#[derive(Default)]
pub(super) struct Peer {
    pub(super) links: Vec<Arc<Link>>,
    /// Wakes the task that maintains the link; none while no such task runs.
    pub(super) maintainer: Option<Arc<Notify>>,
    /// Until when a request waits for a link with a host that has none permanently.
    pub(super) requested_until: Option<Instant>,
    pub(super) connect_failures: u64,
    /// When the next connection attempt may start.
    pub(super) retry_at: Option<Instant>,
}

impl PeerTable {
    pub(super) fn address(&self, host: &str) -> Option<SocketAddr> {
        self.persistent
            .get(host)
            .or_else(|| self.directory.get(host))
            .copied()
    }

    pub(super) fn links(&self) -> impl Iterator<Item = &Arc<Link>> {
        self.peers.values().flat_map(|peer| peer.links.iter())
    }

    /// Removes a host that has no link, no task and no address.
    pub(super) fn remove_if_unused(&mut self, host: &Arc<str>) {
        let is_done = self
            .peers
            .get(host)
            .is_some_and(|peer| peer.links.is_empty() && peer.maintainer.is_none());
        if is_done && self.address(host).is_none() {
            self.peers.remove(host);
        }
    }
}

impl Peer {
    /// The link for new streams. Both sides choose the one whose dialling host has the smallest name.
    pub(super) fn preferred_link(&self) -> Option<&Arc<Link>> {
        self.links
            .iter()
            .filter(|link| link.is_open())
            .min_by_key(|link| link.dialler())
    }

    /// The link for control messages; a draining one if there is no other.
    pub(super) fn control_link(&self) -> Option<Arc<Link>> {
        self.preferred_link().or(self.links.last()).cloned()
    }

    /// Whether the pause after a failed connection attempt still runs.
    pub(super) fn is_backing_off(&self) -> bool {
        self.retry_at.is_some_and(|retry| Instant::now() < retry)
    }

    pub(super) fn notify_maintainer(&self) {
        if let Some(maintainer) = &self.maintainer {
            maintainer.notify_one();
        }
    }

    /// Adds a link. Aborts earlier links dialled by the same side, which has abandoned them.
    pub(super) fn add_link(&mut self, link: &Arc<Link>) {
        let earlier = self.links.iter().filter(|old| old.side == link.side);
        for old in earlier.filter(|old| old.is_open()) {
            old.abort(LinkEndReason::Replaced);
        }
        self.links.push(link.clone());
        self.close_surplus_links();
    }

    /// Drains surplus links that this host dialled. Only the dialling side closes a surplus link, and
    /// only once the other side is known to use the preferred one.
    pub(super) fn close_surplus_links(&self) {
        let Some(best) = self.preferred_link().filter(|best| best.is_confirmed()) else {
            return;
        };
        let surplus = |link: &&Arc<Link>| link.is_open() && !Arc::ptr_eq(link, best);
        for link in self.links.iter().filter(surplus) {
            if link.side == Side::Dialling {
                link.start_draining("surplus");
            }
        }
    }
}
