//! Selects the hosts that watch the platform's store, and the host that each other host follows.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use super::{rank, HostRecord, Peer, Presence, StoreView};
use crate::border::settings::Switch;
use crate::control::freshness;
use crate::control::replica::Outage;

/// Number of hosts of a region for each one that watches the store. More followers would overload
/// its link at each large change.
const FOLLOWERS_PER_WATCHER: usize = 60;
/// How long a host must be selected as a watcher before it begins to watch, if no host sees the
/// store: heartbeats arrive one after the other.
const WATCH_DELAY: Duration = Duration::from_millis(300);
/// The same if hosts of other regions see the store. To follow one of them takes several round
/// trips. With a shorter delay, all hosts of a region that lost its watchers began to watch.
const WATCH_DELAY_IF_SEEN: Duration = Duration::from_millis(1000);
/// Minimum number of hosts in all regions together that watch the store. If the store rejects the
/// calls of one, another still watches it. Each additional watcher has a cost: six instead of three
/// lowered the mean score by 0.0015.
const MIN_WATCHERS: usize = 3;
/// How long an outage counts as recent after the store responds again: targets that it dropped
/// register again within two seconds.
const OUTAGE_MEMORY: Duration = Duration::from_millis(2500);
/// Minimum time without a heartbeat, in intervals, after which a target's registration expires if
/// the store becomes unreachable. A registration lasts three intervals, one of which may have
/// passed before.
const MIN_EXPIRY_INTERVALS: u32 = 2;
/// Maximum time from the loss of the store until no host reports any more that it sees it.
const MAX_OUTAGE_DETECTION: Duration =
    freshness::INTERVAL.saturating_add(freshness::ANSWER_TIMEOUT);
/// How long it counts that the store did not answer: it may be slow after its return.
const UNAVAILABLE_MEMORY: Duration = Duration::from_secs(30);
/// Maximum time from the store's return until a host sees it, or another one that does.
const MAX_RETURN_DETECTION: Duration = Duration::from_millis(1500);
/// Interval at which a host in a small fleet probes a store that no host sees.
const MIN_PROBE_INTERVAL: Duration = Duration::from_secs(2);
/// Number of hosts that probe at this interval; more hosts share the same ten probes a second. This
/// finds a store that responds again, or that only single hosts can reach, within about 0.1 s.
const FULL_RATE_PROBERS: f64 = 20.0;
/// How long a host may take from its start until it sees the store.
const START_ALLOWANCE: Duration = Duration::from_secs(2);
/// How long a host that has just started leaves reading the store to strong hosts of its region.
const MAX_COPY_WAIT: Duration = Duration::from_secs(4);

impl Presence {
    /// Interval at which this host probes a store that no host is known to see. It grows with the
    /// number of hosts, so that they do not all call the store at once, or all read it when it
    /// returns.
    pub fn probe_interval(&self) -> Duration {
        let hosts = self.peers.len() + 1;
        MIN_PROBE_INTERVAL.mul_f64((hosts as f64 / FULL_RATE_PROBERS).max(1.0))
    }

    /// Whether this host should watch the store itself.
    ///
    /// A host that sees the store continues unless enough higher-ranked hosts of its region see it
    /// too. A host that does not see it leaves it to higher-ranked hosts that could, so that not
    /// all hosts call a lost store at once.
    pub fn is_watcher(&self, now: Instant) -> bool {
        if self.few_watchers == Switch::Off {
            return true;
        }
        if self.awaits_copy(now) {
            // The more targets there are, the longer strong hosts take to see the store. A host
            // that watches it has to read all of them.
            return false;
        }
        let own = rank(&self.own);
        let is_store_lost = !self.is_store_seen(now);
        let ranked_before = self.live_peers(now).filter(|peer| {
            let is_starting = now.saturating_duration_since(peer.first_heard) < START_ALLOWANCE;
            let could_see_store = is_store_lost || peer.store_view >= Some(StoreView::Relayed);
            peer.is_near
                && !peer.is_feed_lost
                && rank(&peer.record) > own
                && (peer.sees_store()
                    || is_starting
                    || (could_see_store && self.store_view != StoreView::Store))
        });
        ranked_before.count() < self.watcher_count()
    }

    /// How long this host must be selected as a watcher before it begins to watch.
    pub fn watch_delay(&self, now: Instant) -> Duration {
        if self.is_store_seen(now) {
            WATCH_DELAY_IF_SEEN
        } else {
            WATCH_DELAY
        }
    }

    /// The number of hosts of the own region that should watch the store.
    fn watcher_count(&self) -> usize {
        let zones = self.zones_last_heard.keys().chain([&self.own.zone]);
        let regions: BTreeSet<_> = zones
            .map(|zone| self.regions.get(zone).unwrap_or(zone))
            .collect();
        let for_followers = 1 + self.region_peers / FOLLOWERS_PER_WATCHER;
        for_followers.max(MIN_WATCHERS.div_ceil(regions.len()))
    }

    /// Whether any host sees the store.
    pub fn is_store_seen(&self, now: Instant) -> bool {
        self.store_view == StoreView::Store || self.live_peers(now).any(Peer::sees_store)
    }

    /// The number of other hosts that count as seeing the store.
    pub fn count_store_viewers(&self, now: Instant) -> usize {
        let peers = self.live_peers(now);
        peers.filter(|peer| peer.sees_store()).count()
    }

    /// Whether this host is weak, has received nothing from the store yet and should wait for a
    /// copy from a strong host of its region. All hosts may start at once. If each read all
    /// targets, or copied them from whichever region has them first, the calls to the store and the
    /// traffic between regions would grow with the number of hosts times the number of targets.
    pub fn awaits_copy(&self, now: Instant) -> bool {
        let age = now.saturating_duration_since(self.started);
        let is_strong_neighbour = |peer: &Peer| peer.is_near && peer.record.strength.is_ample();
        self.store_view == StoreView::Nothing
            && !self.own.strength.is_ample()
            && age < MAX_COPY_WAIT
            && self.live_peers(now).any(is_strong_neighbour)
    }

    /// The host whose feed this host should follow: the one with the most current view of the
    /// store, then the nearest, then the strongest. Among equals each host draws its own, so that
    /// the followers are spread evenly. A host that has lost the store like this one has nothing to
    /// offer. `skip` excludes hosts whose feed has just failed, as a host that died counts as alive
    /// until its silence is noticed.
    pub fn feed_source(
        &self,
        now: Instant,
        skip: impl Fn(&HostRecord) -> bool,
    ) -> Option<(&HostRecord, StoreView)> {
        let min_view = self.store_view.min(StoreView::Stale);
        let (_, own_draw) = rank(&self.own);
        let only_near = self.awaits_copy(now);
        self.live_peers(now)
            .filter_map(|peer| Some((peer, peer.store_view?)))
            .filter(|(peer, view)| *view > min_view && !skip(&peer.record))
            .filter(|(peer, _)| !only_near || peer.is_near)
            .max_by_key(|(peer, view)| {
                // Traffic between zones has a price, and each follower copies all targets.
                let in_zone = peer.record.zone == self.own.zone;
                let (share, draw) = rank(&peer.record);
                (*view, peer.is_near, in_zone, share, draw ^ own_draw)
            })
            .map(|(peer, view)| (&peer.record, view))
    }

    /// Records that the host with this feed can't be followed any more, as it has fallen silent or
    /// its process has ended. Until it is heard again it does not count as a host that sees the
    /// store, nor as one that is about to.
    pub fn record_lost_feed(&mut self, feed: SocketAddr) {
        let peers = self.peers.values_mut();
        for peer in peers.filter(|peer| peer.record.feed == feed) {
            peer.store_view = None;
            peer.is_feed_lost = true;
        }
    }

    /// Whether the host with this feed has told that it does not see the store.
    pub fn has_lost_store(&self, feed: SocketAddr) -> bool {
        let view = |peer: &Peer| peer.store_view.filter(|_| peer.record.feed == feed);
        let mut views = self.peers.values().filter_map(view);
        views.any(|view| view <= StoreView::Stale)
    }

    /// Records that the store has just answered this host, which does not watch it.
    pub fn record_answer(&mut self) {
        self.unseen_since = None;
    }

    /// Records whether any host sees the store.
    pub fn track_outage(&mut self, now: Instant) {
        if self.is_store_seen(now) {
            self.unseen_since = None;
            return;
        }
        let since = *self.unseen_since.get_or_insert(now);
        self.outage_began = Some(since);
        self.last_unseen = Some(now);
        let min_expiry = self.target_heartbeat * MIN_EXPIRY_INTERVALS;
        if now.saturating_duration_since(since) >= min_expiry.saturating_sub(MAX_OUTAGE_DETECTION) {
            self.last_long_outage = Some(now);
        }
    }

    /// The kind of outage that the store has just had. After a long one, missing registrations may
    /// be about to return. It does not count if only this host lost the store: then the store
    /// itself continued, and what is missing has left. Nor does it count if only the few hosts that
    /// watch the store lost it, until other hosts cannot reach it either.
    pub fn outage(&self, now: Instant) -> Outage {
        let is_recent = |at: Option<Instant>| {
            at.is_some_and(|at| now.saturating_duration_since(at) < OUTAGE_MEMORY)
        };
        if is_recent(self.last_long_outage) {
            Outage::Long
        } else if is_recent(self.last_unseen) {
            Outage::Brief
        } else {
            Outage::None
        }
    }

    /// Records that the store did not answer a query that this host sent at `asked_at`. That shows
    /// nothing about the store while other hosts see it.
    pub fn record_unanswered(&mut self, now: Instant, asked_at: Instant) {
        if !self.is_store_seen(now) {
            self.record_unavailable(asked_at);
        }
    }

    /// Forgets an outage that began after `asked_at`, as the store has answered a query that was sent
    /// then.
    pub fn forget_outage(&mut self, asked_at: Instant) {
        let is_later = |at: &mut Instant| *at >= asked_at;
        if self.outage_began.take_if(is_later).is_some() {
            self.unseen_since = None;
            self.last_unseen = None;
            self.last_long_outage = None;
        }
        self.unavailable_at.take_if(is_later);
    }

    /// Records that the store was unavailable at a moment.
    pub fn record_unavailable(&mut self, at: Instant) {
        self.unavailable_at = self.unavailable_at.max(Some(at));
    }

    /// The last moment at which the store is known to have been unavailable, if it has just had an
    /// outage. It returned after that, and hosts learn of the return later.
    pub fn last_unavailable(&self, now: Instant) -> Option<Instant> {
        let is_of_this_outage = |at: &Instant| {
            let is_recent = now.saturating_duration_since(*at) < UNAVAILABLE_MEMORY;
            let began = self.outage_began;
            is_recent && began.is_none_or(|began| *at + MAX_OUTAGE_DETECTION >= began)
        };
        let noticed = self
            .last_unseen
            .filter(|_| self.outage(now) != Outage::None);
        self.unavailable_at
            .filter(is_of_this_outage)
            .or_else(|| noticed?.checked_sub(MAX_RETURN_DETECTION))
    }

    /// Whether any host has lost the store, or all had just lost it. Changes that targets report
    /// then arrive some time after its return.
    pub fn is_store_doubtful(&self, now: Instant) -> bool {
        self.outage(now) != Outage::None
            || self.store_view == StoreView::Stale
            || self
                .live_peers(now)
                .any(|peer| peer.store_view == Some(StoreView::Stale))
    }
}
