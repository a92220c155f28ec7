//! Sharing of insufficient capacity by urgency and by account.
//!
//! The load limit of a full target depends on the request: urgent requests have a higher one than
//! less urgent ones, so that a target that refuses a request admits no less urgent one. Requests of
//! an account that has had its share have a limit between that of their rank and that of the next
//! less urgent one. The limits differ by the shares of the requests that come before and after one,
//! so that they hardly change how many requests are admitted in all. No limit is below a target's
//! slots: nothing is refused while slots are free.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use super::member::Member;
use super::{Fleet, Refusal, TargetQuery};
use crate::border::settings::Switch;
use crate::inventory::TargetKey;
use crate::steer::fair_share::FairShare;

/// Number of ranks that are distinguished.
const RANK_CLASSES: usize = 16;
/// Maximum load of a target in multiples of its slots, for the most urgent of very many requests.
/// With 2.5 and half of the queue for the least urgent ones, 0.02 fewer of all requests were
/// answered in time at 1.3 times the capacity (replay in virtual time).
const MAX_LOAD_FACTOR: f64 = 2.25;
/// Part of the queue that the least urgent of very many requests may not use. With all of it, slots
/// were idle between two load reports: twice as many refusals occurred while the target had a free
/// slot (replay in virtual time).
const MAX_QUEUE_REDUCTION: f64 = 0.7;
/// Time after a target's load was at its limit for which the limits of its requests differ. Limits
/// that always differ at all targets of a service cost 0.027 of the answers at 0.8 times the
/// capacity, where only the targets with the most requested objects are full, instead of 0.013
/// (replay in virtual time).
const FULL_TIME: Duration = Duration::from_secs(1);
/// Time in which a counted request loses most of its weight.
const COUNT_AGING: Duration = Duration::from_secs(2);

/// The requests of one rank.
#[derive(Clone, Debug)]
struct Rank {
    asked_at: Instant,
    /// Number of requests of accounts that have not had their share, and of those that have, with
    /// weights that fall with their age.
    counts: [f64; 2],
    fair_share: FairShare,
}

impl Rank {
    fn new(now: Instant) -> Self {
        Self {
            asked_at: now,
            counts: [0.0; 2],
            fair_share: FairShare::new(),
        }
    }

    /// Returns the numbers of requests, weighted as of `now`.
    fn aged_counts(&self, now: Instant) -> [f64; 2] {
        let age = now.saturating_duration_since(self.asked_at);
        let weight = (-age.as_secs_f64() / COUNT_AGING.as_secs_f64()).exp();
        self.counts.map(|count| count * weight)
    }
}

/// Recent requests of one service by rank; a lower class is more urgent.
#[derive(Clone, Debug, Default)]
pub(super) struct Sharing {
    ranks: [Option<Rank>; RANK_CLASSES],
}

/// Position of a request among those that share the capacity of a service: the shares of the
/// requests that come before it, and of those that come after it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Position {
    before: f64,
    after: f64,
}

impl Position {
    /// The position of all requests that do not share.
    pub(super) const ALIKE: Self = Self {
        before: 0.0,
        after: 0.0,
    };

    /// Returns the load limit of such requests in multiples of a target's slots, from the limit of
    /// requests that are all alike.
    fn load_limit(self, usual: f64) -> f64 {
        let more = (MAX_LOAD_FACTOR - usual).max(0.0) * self.after;
        let less = (usual - 1.0).max(0.0) * MAX_QUEUE_REDUCTION * self.before;
        usual + more - less
    }
}

fn rank_class(rank: f64) -> usize {
    (rank.clamp(0.0, 1.0) * (RANK_CLASSES - 1) as f64).round() as usize
}

impl Sharing {
    /// Returns the position of a request of a rank, whose account may have had its share.
    fn position(&self, now: Instant, rank: f64, is_used_up: bool) -> Position {
        let own = 2 * rank_class(rank) + usize::from(is_used_up);
        let (mut before, mut all, mut after) = (0.0, 0.0, 0.0);
        for (class, rank) in self.ranks.iter().enumerate() {
            let counts = rank.as_ref().map_or([0.0; 2], |rank| rank.aged_counts(now));
            for (index, count) in counts.into_iter().enumerate() {
                let place = 2 * class + index;
                all += count;
                before += if place < own { count } else { 0.0 };
                after += if place > own { count } else { 0.0 };
            }
        }
        if all <= 0.0 {
            return Position::ALIKE;
        }
        Position {
            before: before / all,
            after: after / all,
        }
    }

    fn fair_share(&self, rank: f64) -> Option<&FairShare> {
        let rank = self.ranks[rank_class(rank)].as_ref();
        rank.map(|rank| &rank.fair_share)
    }

    fn rank_mut(&mut self, now: Instant, rank: f64) -> &mut Rank {
        self.ranks[rank_class(rank)].get_or_insert_with(|| Rank::new(now))
    }
}

impl Fleet {
    /// Sets whether requests share insufficient capacity by their ranks and accounts.
    pub fn with_sharing(mut self, sharing: Switch) -> Self {
        self.sharing = (sharing == Switch::On).then(BTreeMap::new);
        self
    }

    /// Returns the position of a request by its rank and the share of its account.
    pub(super) fn position(&self, now: Instant, query: &TargetQuery<'_>) -> Position {
        self.position_with_share(now, query, self.is_share_used_up(now, query))
    }

    /// Returns the position of a request by its rank alone.
    pub(super) fn rank_position(&self, now: Instant, query: &TargetQuery<'_>) -> Position {
        self.position_with_share(now, query, false)
    }

    fn position_with_share(
        &self,
        now: Instant,
        query: &TargetQuery<'_>,
        is_used_up: bool,
    ) -> Position {
        let sharing = self.sharing.as_ref();
        let sharing = sharing.and_then(|services| services.get(query.service));
        sharing.map_or(Position::ALIKE, |sharing| {
            sharing.position(now, query.rank, is_used_up)
        })
    }

    /// Whether the account of a request has had its share. A request that was sent before has been
    /// admitted already, and a refusal for a share has to mean that it was not.
    pub(super) fn is_share_used_up(&self, now: Instant, query: &TargetQuery<'_>) -> bool {
        let account = query.account.filter(|_| query.tried.is_empty());
        let services = self.sharing.as_ref();
        let fair_share = services
            .and_then(|services| services.get(query.service))
            .and_then(|sharing| sharing.fair_share(query.rank));
        account
            .zip(fair_share)
            .is_some_and(|(account, fair_share)| fair_share.is_used_up(now, account))
    }

    /// Records a request that asks for a target, before it is decided on.
    pub(super) fn record_ask(&mut self, now: Instant, query: &TargetQuery<'_>) {
        let is_used_up = self.is_share_used_up(now, query);
        if let Some(sharing) = self.sharing_of(query.service) {
            let rank = sharing.rank_mut(now, query.rank);
            rank.counts = rank.aged_counts(now);
            rank.counts[usize::from(is_used_up)] += 1.0;
            rank.asked_at = now;
        }
    }

    /// Records that a request was sent to a target, or why it was refused.
    pub(super) fn record_decision(
        &mut self,
        now: Instant,
        query: &TargetQuery<'_>,
        refusal: Option<Refusal>,
    ) {
        let Some(sharing) = self.sharing_of(query.service) else {
            return;
        };
        let fair_share = &mut sharing.rank_mut(now, query.rank).fair_share;
        if refusal == Some(Refusal::Full) {
            fair_share.record_full(now);
        }
        // Further attempts of a request are not counted again.
        if let Some(account) = query.account.filter(|_| query.tried.is_empty()) {
            fair_share.record_request(now, account, refusal.is_none());
        }
    }

    /// Records which targets have a load at their limit.
    pub(super) fn record_full_targets(&mut self, now: Instant, keys: &[TargetKey]) {
        if self.sharing.is_none() {
            return;
        }
        for key in keys {
            let is_full = self.members.get(key).is_some_and(|member| {
                let limit =
                    f64::from(member.registration.slots) * self.max_load_factor(now, member);
                self.load(now, member) >= limit
            });
            if let Some(member) = self.members.get_mut(key).filter(|_| is_full) {
                member.full_at = Some(now);
            }
        }
    }

    /// Returns the current maximum load of a target in multiples of its slots, for a request at a
    /// position among those that share its capacity.
    pub(super) fn load_limit(&self, now: Instant, member: &Member, position: Position) -> f64 {
        let usual = self.max_load_factor(now, member);
        let is_recent = |at: Instant| now.saturating_duration_since(at) < FULL_TIME;
        if member.full_at.is_some_and(is_recent) {
            position.load_limit(usual)
        } else {
            usual
        }
    }

    fn sharing_of(&mut self, service: &Arc<str>) -> Option<&mut Sharing> {
        let services = self.sharing.as_mut()?;
        if !services.contains_key(service) {
            services.insert(service.clone(), Sharing::default());
        }
        services.get_mut(service)
    }
}
