//! Hosts that have lost their links to the targets, and the hosts that forward requests for them.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use super::{lookup, Distance, HostRecord, Peer, Presence, StoreView, INTERVAL};
use crate::control::active_hosts::comfortable_rate;

/// How long a host counts as cut off after its last announcement: a few of them may be lost.
const CUT_OFF_LIFETIME: Duration = INTERVAL.saturating_mul(3);
/// Part of a host's comfortable rate that it can spend on requests of other hosts and still serve
/// its own callers.
const RELAY_SHARE: f64 = 0.5;

impl Presence {
    /// Sets whether this host is unable to reach targets.
    pub fn set_cut_off(&mut self, is_cut_off: bool) {
        self.is_cut_off = is_cut_off;
    }

    /// Processes the announcement of the host that sends heartbeats from `address` that it is, or is
    /// no longer, unable to reach targets.
    pub fn receive_cut_off(&mut self, now: Instant, address: SocketAddr, is_cut_off: bool) {
        let host = self.hosts_by_address.get(&address);
        if let Some(peer) = host.and_then(|host| self.peers.get_mut(host)) {
            peer.cut_off_until = is_cut_off.then(|| now + CUT_OFF_LIFETIME);
        }
    }

    /// The addresses that receive this host's announcements: those of its region. Look-ups name
    /// hosts of another region only if none of the own one serves.
    pub fn cut_off_recipients(&self) -> Vec<SocketAddr> {
        let near = self.peers.values().filter(|peer| peer.is_near);
        near.map(|peer| peer.record.peers).collect()
    }

    /// The host that forwards requests with the affinity key `key` while this host can't reach
    /// targets: one of the same zone if these can carry the requests of this host, else of the same
    /// region, else of any. It is in one of the regions `homes`, unless that is empty. `skip`
    /// excludes hosts.
    pub fn relay_host(
        &self,
        now: Instant,
        key: u64,
        homes: &BTreeSet<Arc<str>>,
        skip: impl Fn(&HostRecord) -> bool,
    ) -> Option<&HostRecord> {
        let peers: Vec<&Peer> = self
            .live_peers(now)
            .filter(|peer| !peer.is_cut_off(now) && peer.store_view > Some(StoreView::Nothing))
            .filter(|peer| homes.is_empty() || homes.contains(self.region(&peer.record)))
            .filter(|peer| !skip(&peer.record))
            .collect();
        let of_zone = |peer: &&&Peer| self.distance(peer) == Distance::SameZone;
        let of_region = |peer: &&&Peer| self.distance(peer) != Distance::OtherRegion;
        let spare_rate: f64 = peers
            .iter()
            .filter(of_zone)
            .map(|peer| spare_rate(peer))
            .sum();
        let own_rate = f64::from(self.request_rate.last_peak());
        let chosen: Vec<&Peer> = if spare_rate > own_rate {
            peers.iter().filter(of_zone).copied().collect()
        } else {
            let near: Vec<&Peer> = peers.iter().filter(of_region).copied().collect();
            if near.is_empty() {
                peers
            } else {
                near
            }
        };
        let distance = |peer: &Peer| lookup::hash_distance(&peer.record, key);
        let nearest = chosen
            .into_iter()
            .min_by(|one, other| distance(one).total_cmp(&distance(other)));
        nearest.map(|peer| &peer.record)
    }
}

impl Peer {
    /// Whether it announced lately that it can't reach targets.
    pub(super) fn is_cut_off(&self, now: Instant) -> bool {
        self.cut_off_until.is_some_and(|until| now < until)
    }
}

/// The requests per second that a host can forward for others.
fn spare_rate(peer: &Peer) -> f64 {
    let rate = comfortable_rate(peer.record.strength) - f64::from(peer.rate);
    rate.max(0.0) * RELAY_SHARE
}
