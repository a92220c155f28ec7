//! Who is linked and who shall be.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Instant;

use tokio::sync::Notify;

use super::auth::Side;
use super::error::Reason;
use super::link::Link;

/// The hosts that a mesh knows of.
#[derive(Default)]
pub(super) struct Book {
    pub(super) kept: BTreeMap<Arc<str>, SocketAddr>,
    pub(super) directory: BTreeMap<Arc<str>, SocketAddr>,
    pub(super) peers: BTreeMap<Arc<str>, Peer>,
    pub(super) closing: bool,
}

/// One other host.
#[derive(Default)]
pub(super) struct Peer {
    pub(super) links: Vec<Arc<Link>>,
    pub(super) keeper: Option<Arc<Notify>>,
    pub(super) wanted_until: Option<Instant>,
    pub(super) failures: u64,
    pub(super) retry_at: Option<Instant>,
}

impl Book {
    pub(super) fn address(&self, host: &str) -> Option<SocketAddr> {
        self.kept
            .get(host)
            .or_else(|| self.directory.get(host))
            .copied()
    }

    pub(super) fn links(&self) -> impl Iterator<Item = &Arc<Link>> {
        self.peers.values().flat_map(|peer| peer.links.iter())
    }

    /// Forgets a host that nothing is known of any more.
    pub(super) fn forget(&mut self, host: &Arc<str>) {
        let is_done = self
            .peers
            .get(host)
            .is_some_and(|peer| peer.links.is_empty() && peer.keeper.is_none());
        if is_done && self.address(host).is_none() {
            self.peers.remove(host);
        }
    }
}

impl Peer {
    /// The link for new streams: both sides choose that of the first dialler by name.
    pub(super) fn open_link(&self) -> Option<&Arc<Link>> {
        self.links
            .iter()
            .filter(|link| link.is_open())
            .min_by_key(|link| link.dialler())
    }

    /// The link for control messages, also one that only finishes its streams.
    pub(super) fn any_link(&self) -> Option<Arc<Link>> {
        self.open_link().or(self.links.last()).cloned()
    }

    /// Whether the last try to connect failed and the next one is still to come.
    pub(super) fn is_backing_off(&self) -> bool {
        self.retry_at.is_some_and(|retry| Instant::now() < retry)
    }

    pub(super) fn notify_keeper(&self) {
        if let Some(keeper) = &self.keeper {
            keeper.notify_one();
        }
    }

    /// Adds a link. One that the same side made earlier was given up by it.
    pub(super) fn add(&mut self, link: &Arc<Link>) {
        let earlier = self.links.iter().filter(|old| old.side == link.side);
        for old in earlier.filter(|old| old.is_open()) {
            old.kill(Reason::Replaced);
        }
        self.links.push(link.clone());
        self.part();
    }

    /// Closes a superfluous link if it was made from here: only its maker does, and only once the
    /// other side is known to use the better one.
    pub(super) fn part(&self) {
        let Some(best) = self.open_link().filter(|best| best.is_confirmed()) else {
            return;
        };
        let surplus = |link: &&Arc<Link>| link.is_open() && !Arc::ptr_eq(link, best);
        for link in self.links.iter().filter(surplus) {
            if link.side == Side::Dialling {
                link.say_goodbye("surplus");
            }
        }
    }
}
