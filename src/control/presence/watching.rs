//! Which hosts watch the platform's store, and whom the others follow.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use super::{rank, Peer, Presence, Record, Sight};
use crate::border::settings::Switch;
use crate::control::freshness;
use crate::control::replica::Outage;

/// Hosts of a region for each one that watches the store. More followers would load its link at each
/// large change.
const FOLLOWERS: usize = 60;
/// How long a host is to be one of those that watch before it begins, if nobody sees the store: heartbeats come one after the
/// other.
const BEGIN: Duration = Duration::from_millis(300);
/// The same if hosts of other regions see it. To follow one of them takes several round trips; where that took longer, all hosts
/// of a region that lost its watchers began to watch.
const BEGIN_BESIDE: Duration = Duration::from_millis(1000);
/// Hosts of all regions that watch the store at the least: the store may turn one away, and another one
/// has to see it then. Each more is paid for: six in place of three lowered the mean worth by 0.0015.
const LEAST: usize = 3;
/// How long after its return the store counts as having been away: targets that it dropped register
/// again within two seconds.
const AWAY: Duration = Duration::from_millis(2500);
/// After how much time without a heartbeat, in intervals, a target's registration runs out at the least if the store goes away: of the
/// three that it lasts one may have passed before.
const LAPSE: u32 = 2;
/// How long it takes at the most until no host claims any more to see a store that has gone away.
const NOTICE: Duration = freshness::INTERVAL.saturating_add(freshness::PATIENCE);
/// Time between two looks of a host at a store that nobody sees, in a small fleet.
const LOOK: Duration = Duration::from_secs(2);
/// Hosts that look so often; more share the same number of looks, ten a second. That finds a store that has returned, or
/// that single hosts still reach, within some 0.1 s.
const LOOKERS: f64 = 20.0;
/// How long a host may take from its start until it sees the store.
const START: Duration = Duration::from_secs(2);
/// How long a host that has just started leaves it to strong hosts of its region to read the store.
const COPY_PATIENCE: Duration = Duration::from_secs(4);

impl Presence {
    /// Time between two looks of this host at a store that no host is known to see. The more hosts there are the longer it
    /// is, so that the store is not asked, and on its return not read, by all of them at once.
    pub fn look_interval(&self) -> Duration {
        let hosts = self.peers.len() + 1;
        LOOK.mul_f64((hosts as f64 / LOOKERS).max(1.0))
    }

    /// Whether this host is to watch the store itself.
    ///
    /// One that sees it goes on unless enough hosts of its region that come before it see it too. One
    /// that does not leaves it to those before it that could, so that a lost store is not called by
    /// all hosts at once.
    pub fn is_watcher(&self, now: Instant) -> bool {
        if self.few_watchers == Switch::Off {
            return true;
        }
        if self.awaits_copy(now) {
            // The more targets there are the longer strong hosts take to see the store, and to watch it means to read them all.
            return false;
        }
        let own = rank(&self.own);
        let away = !self.is_store_seen(now);
        let before = self.present(now).filter(|peer| {
            let starting = now.saturating_duration_since(peer.met) < START;
            let sees = peer.sight == Some(Sight::Store);
            let could = away || peer.sight >= Some(Sight::Relayed);
            peer.is_near
                && rank(&peer.record) > own
                && (sees || starting || (could && self.sight != Sight::Store))
        });
        before.count() < self.watchers()
    }

    /// How long this host is to be one of those that watch the store before it begins.
    pub fn watch_delay(&self, now: Instant) -> Duration {
        if self.is_store_seen(now) {
            BEGIN_BESIDE
        } else {
            BEGIN
        }
    }

    /// How many hosts of the own region are to watch the store.
    fn watchers(&self) -> usize {
        let zones = self.zones.keys().chain([&self.own.zone]);
        let regions: BTreeSet<_> = zones
            .map(|zone| self.regions.get(zone).unwrap_or(zone))
            .collect();
        let for_followers = 1 + self.near / FOLLOWERS;
        for_followers.max(LEAST.div_ceil(regions.len()))
    }

    /// Whether any host sees the store.
    pub fn is_store_seen(&self, now: Instant) -> bool {
        self.sight == Sight::Store
            || self
                .present(now)
                .any(|peer| peer.sight == Some(Sight::Store))
    }

    /// Whether this host, which is weak and knows nothing of the store yet, is to wait for a copy from a strong host of its
    /// region. All hosts may start at once: if each read all targets, or took a copy from whichever region has it first, the calls
    /// of the store and the bytes between regions would grow with hosts times targets.
    pub fn awaits_copy(&self, now: Instant) -> bool {
        let age = now.saturating_duration_since(self.started);
        let strong = |peer: &Peer| peer.is_near && peer.record.strength.is_ample();
        self.sight == Sight::Nothing
            && !self.own.strength.is_ample()
            && age < COPY_PATIENCE
            && self.present(now).any(strong)
    }

    /// The host to follow: the one that sees most, of those the nearest, of those the strongest; among
    /// equals each host draws its own, so that they share the followers. One that has lost the store like
    /// this one has nothing to tell. `skip` leaves out hosts whose feed has just failed: one that
    /// died seems alive until it was silent for a while.
    pub fn source(&self, now: Instant, skip: impl Fn(&Record) -> bool) -> Option<(&Record, Sight)> {
        let least = self.sight.min(Sight::Stale);
        let (_, own) = rank(&self.own);
        let only_near = self.awaits_copy(now);
        self.present(now)
            .filter_map(|peer| Some((peer, peer.sight?)))
            .filter(|(peer, sight)| *sight > least && !skip(&peer.record))
            .filter(|(peer, _)| !only_near || peer.is_near)
            .max_by_key(|(peer, sight)| {
                // Links between zones are paid for, and each follower takes a copy of all targets over one.
                let in_zone = peer.record.zone == self.own.zone;
                let (share, draw) = rank(&peer.record);
                (*sight, peer.is_near, in_zone, share, draw ^ own)
            })
            .map(|(peer, sight)| (&peer.record, sight))
    }

    /// The host with this feed has fallen silent: what it said of the store last counts no more, until it is heard again.
    pub fn doubt(&mut self, feed: SocketAddr) {
        let peers = self.peers.values_mut();
        let doubted = peers.filter(|peer| peer.record.feed == feed);
        doubted.for_each(|peer| peer.sight = None);
    }

    /// Notes whether any host sees the store.
    pub fn watch_store(&mut self, now: Instant) {
        if self.is_store_seen(now) {
            self.unseen = None;
            return;
        }
        let since = *self.unseen.get_or_insert(now);
        self.last_unseen = Some(now);
        let lapse = self.heartbeat * LAPSE;
        if now.saturating_duration_since(since) >= lapse.saturating_sub(NOTICE) {
            self.last_away = Some(now);
        }
    }

    /// Whether the store was away just before, so that what is missing there may be about to return.
    /// It is not enough that this host did not see it: then the store itself goes on, and what is
    /// missing has left. Nor is it that the few that watch it lost it, until others do.
    pub fn outage(&self, now: Instant) -> Outage {
        let is_recent =
            |at: Option<Instant>| at.is_some_and(|at| now.saturating_duration_since(at) < AWAY);
        if is_recent(self.last_away) {
            Outage::Long
        } else if is_recent(self.last_unseen) {
            Outage::Brief
        } else {
            Outage::None
        }
    }

    /// Whether any host has lost the store, or all had lost it just before: what targets tell it comes some time after its return.
    pub fn is_store_doubtful(&self, now: Instant) -> bool {
        self.outage(now) != Outage::None
            || self.sight == Sight::Stale
            || self
                .present(now)
                .any(|peer| peer.sight == Some(Sight::Stale))
    }
}
