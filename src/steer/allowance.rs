//! What client accounts may still ask, of all hosts together.
//!
//! Callers of an account come to many hosts, and no host sees all of them. Each region has a part of an account's quota, in
//! proportion to what was asked there lately, and a bucket that fills at that rate. All hosts of the region keep the same bucket:
//! each takes out what it admits itself at once, and what the others admit when they tell, every [`INTERVAL`]. In between a host
//! admits no more than its share of what was there, or [`FEW`] requests if that is more: so accounts with few requests, spread
//! over many hosts, are not refused for want of a whole request at one of them.
//!
//! What hosts that can't be heard may admit stays set aside for them until they are taken for gone, and meanwhile no part grows:
//! hosts that are cut off from each other go on with the parts that they last agreed on, so the sum stays within the quota and
//! what a window may have beyond it.
//!
//! A host that starts finds its buckets empty: it does not know what was admitted before.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::account::{Account, Quota};

/// Time between two tellings within a region. What hosts admit meanwhile without knowing of each other has to stay within what
/// a window may have beyond the quota.
pub const INTERVAL: Duration = Duration::from_millis(500);
/// Every how many tellings other regions are told too: they need only rates, and bytes between regions are dear.
pub const FAR: u32 = 4;
/// Requests that a host may admit between two tellings whatever its share is, if the bucket has them.
const FEW: f64 = 2.0;
/// The part of the rate that is given out: what hosts know of each other's rates is some seconds old, and the sum of their parts
/// may be above one meanwhile.
const GIVEN: f64 = 0.95;
/// The part of the floor of what a window may have beyond the quota that the buckets hold beside the burst. It lets accounts
/// with few requests be uneven over regions; the rest is for what is admitted between two tellings.
const HELD: f64 = 0.25;
/// The time over which rates are averaged: a few tellings of other regions.
const AVERAGE: Duration = Duration::from_secs(3);
/// The part of the rate for which each region counts as asking it in any case, so that callers who appear in another region find
/// something there.
const PRIOR: f64 = 0.1;
/// Tellings in a row that may be missed before a host counts as silent.
const MISSED: f64 = 2.5;
/// How long a host must have run to take what it hears first of another one as news: else that may be of long ago.
const SETTLED: Duration = Duration::from_secs(3);
/// Requests a second below which a host counts as not asked by an account.
const IDLE: f64 = 0.05;
/// How often something that has changed is told: a datagram may be lost.
const TOLD: u8 = 2;
/// The shortest time after which a caller beyond its quota is told to come back: sooner, little would have changed.
const SHORTEST_PAUSE: Duration = Duration::from_millis(250);
/// The longest one: callers wait for some seconds in all.
const LONGEST_PAUSE: Duration = Duration::from_secs(1);

/// What accounts may ask beyond their quotas in each window.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Excess {
    /// The window.
    pub window: Duration,
    /// A part of what the quota allows in a window.
    pub share: f64,
    /// Requests beside that.
    pub floor: f64,
}

impl Excess {
    /// The most requests of an account that may run in a window.
    pub fn most(&self, quota: Quota) -> f64 {
        (quota.rate * self.window.as_secs_f64() + quota.burst) * (1.0 + self.share) + self.floor
    }
}

/// Names an account between hosts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Id(u32);

impl Id {
    fn new(account: &str) -> Self {
        Self(xxh3_64(account.as_bytes()) as u32)
    }
}

/// What a host tells of an account: counts since its start, which wrap around.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tally(
    /// The account.
    pub Id,
    /// Requests that came.
    pub u32,
    /// Requests that it admitted.
    pub u32,
);

/// A host that tells something.
#[derive(Clone, Copy, Debug)]
pub struct Teller<'a> {
    /// Its name.
    pub host: &'a Arc<str>,
    /// Its region.
    pub region: &'a Arc<str>,
    /// Differs between its processes.
    pub incarnation: u64,
}

/// A beyond-quota refusal: when the account may have room again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the quota is used up for {retry_after:?}")]
pub struct Refusal {
    /// The time until then.
    pub retry_after: Duration,
}

/// Another host.
#[derive(Clone, Debug)]
struct Other {
    region: Arc<str>,
    heard: Instant,
}

/// A rate of requests, averaged.
#[derive(Clone, Copy, Debug)]
struct Rate {
    per_s: f64,
    at: Instant,
}

impl Rate {
    fn add(&mut self, now: Instant, count: f64) {
        let span = now.saturating_duration_since(self.at).as_secs_f64();
        if span <= 0.0 {
            return;
        }
        let keep = (-span / AVERAGE.as_secs_f64()).exp();
        self.per_s = self.per_s * keep + count / span * (1.0 - keep);
        self.at = now;
    }

    /// The rate if nothing came since it was last added to.
    fn then(&self, now: Instant) -> f64 {
        let span = now.saturating_duration_since(self.at).as_secs_f64();
        self.per_s * (-span / AVERAGE.as_secs_f64()).exp()
    }
}

/// What was heard of an account from another host.
#[derive(Clone, Copy, Debug)]
struct Heard {
    incarnation: u64,
    asked: u32,
    admitted: u32,
    rate: Rate,
}

/// The bucket of one account in the own region.
#[derive(Debug)]
struct Bucket {
    quota: Quota,
    /// The part of the quota that the own region has.
    part: f64,
    /// The part of that which hosts that can be heard have.
    present: f64,
    level: f64,
    filled: Instant,
    asked: u32,
    admitted: u32,
    /// What this host was asked, and the count up to which that goes.
    rate: Rate,
    counted: u32,
    /// The telling up to which `spent` and `most` hold.
    turn: u32,
    /// What this host admitted since then, and may admit.
    spent: f64,
    most: f64,
    /// How often the counts are still to be told, near and far.
    to_tell: [u8; 2],
    others: BTreeMap<Arc<str>, Heard>,
}

impl Bucket {
    fn new(now: Instant, quota: Quota, part: f64, since: Instant) -> Self {
        Self {
            quota,
            part,
            present: 1.0,
            level: 0.0,
            filled: since,
            asked: 0,
            admitted: 0,
            rate: Rate {
                per_s: 0.0,
                at: now,
            },
            counted: 0,
            turn: u32::MAX,
            spent: 0.0,
            most: 0.0,
            to_tell: [0; 2],
            others: BTreeMap::new(),
        }
    }

    /// Requests a second that come into the bucket.
    fn inflow(&self) -> f64 {
        self.quota.rate * GIVEN * self.part * self.present
    }

    fn fill(&mut self, now: Instant, floor: f64) {
        let span = now.saturating_duration_since(self.filled).as_secs_f64();
        let most = self.part * (self.quota.burst + floor * HELD);
        self.level = (self.level + self.inflow() * span).min(most);
        self.filled = now;
    }

    /// The time until there is room for one request.
    fn room_in(&self) -> Duration {
        let missing = (1.0 - self.level).max(0.0);
        let wait = missing / self.inflow().max(f64::MIN_POSITIVE);
        Duration::try_from_secs_f64(wait).unwrap_or(LONGEST_PAUSE)
    }
}

/// The buckets of all accounts that have quotas, as one host keeps them.
#[derive(Debug)]
pub struct Ledger {
    excess: Excess,
    region: Arc<str>,
    regions: usize,
    /// Silence after which another host is taken for gone.
    gone: Duration,
    started: Instant,
    /// Counts tellings.
    turn: u32,
    buckets: BTreeMap<Id, Bucket>,
    others: BTreeMap<Arc<str>, Other>,
    /// Accounts of which something is to be told.
    changed: BTreeSet<Id>,
}

impl Ledger {
    /// No accounts yet. `gone` is the silence after which a host surely serves no callers.
    pub fn new(
        now: Instant,
        excess: Excess,
        region: Arc<str>,
        regions: usize,
        gone: Duration,
    ) -> Self {
        Self {
            excess,
            region,
            regions: regions.max(1),
            gone,
            started: now,
            turn: 0,
            buckets: BTreeMap::new(),
            others: BTreeMap::new(),
            changed: BTreeSet::new(),
        }
    }

    /// Takes the accounts of a new configuration over; what is left of their quotas stays.
    pub fn set_accounts(&mut self, now: Instant, accounts: &[Arc<Account>]) {
        let part = 1.0 / self.regions as f64;
        let mut before = std::mem::take(&mut self.buckets);
        for account in accounts {
            let Some(quota) = account.quota else {
                continue;
            };
            let id = Id::new(&account.name);
            let mut bucket = before
                .remove(&id)
                .unwrap_or_else(|| Bucket::new(now, quota, part, self.started));
            bucket.fill(now, self.excess.floor);
            bucket.quota = quota;
            bucket.fill(now, self.excess.floor);
            self.buckets.insert(id, bucket);
        }
    }

    /// Admits a request of an account.
    ///
    /// # Errors
    ///
    /// The account asks more than its quota.
    pub fn take(&mut self, now: Instant, account: &Account) -> Result<(), Refusal> {
        let id = Id::new(&account.name);
        self.begin_turn(now, id);
        let Some(bucket) = self.buckets.get_mut(&id) else {
            return Ok(());
        };
        bucket.asked = bucket.asked.wrapping_add(1);
        bucket.to_tell = [TOLD; 2];
        self.changed.insert(id);
        bucket.fill(now, self.excess.floor);
        if bucket.level < 1.0 || bucket.spent >= bucket.most {
            let wait = bucket.room_in();
            return Err(Refusal {
                retry_after: wait.clamp(SHORTEST_PAUSE, LONGEST_PAUSE),
            });
        }
        bucket.level -= 1.0;
        bucket.spent += 1.0;
        bucket.admitted = bucket.admitted.wrapping_add(1);
        Ok(())
    }

    /// Takes back an admitted request that did not run.
    pub fn give_back(&mut self, account: &Account) {
        let id = Id::new(&account.name);
        if let Some(bucket) = self.buckets.get_mut(&id) {
            bucket.level += 1.0;
            bucket.spent -= 1.0;
            bucket.admitted = bucket.admitted.wrapping_sub(1);
            bucket.to_tell = [TOLD; 2];
            self.changed.insert(id);
        }
    }

    /// What is left for an account in the own region, and the rate at which it comes back.
    pub fn left(&self, account: &Account) -> Option<(f64, f64)> {
        let bucket = self.buckets.get(&Id::new(&account.name))?;
        Some((bucket.level, bucket.inflow()))
    }

    /// What is to be told to the other hosts of the region, and to all others if it is their turn.
    pub fn news(&mut self) -> (Vec<Tally>, Option<Vec<Tally>>) {
        self.turn = self.turn.wrapping_add(1);
        let near = self.told(0);
        let far = self.turn.is_multiple_of(FAR).then(|| self.told(1));
        let buckets = &self.buckets;
        self.changed.retain(|id| {
            let bucket = buckets.get(id);
            bucket.is_some_and(|bucket| bucket.to_tell != [0; 2])
        });
        (near, far)
    }

    fn told(&mut self, place: usize) -> Vec<Tally> {
        let mut tallies = Vec::new();
        for id in &self.changed {
            let Some(bucket) = self.buckets.get_mut(id) else {
                continue;
            };
            if bucket.to_tell[place] > 0 {
                bucket.to_tell[place] -= 1;
                tallies.push(Tally(*id, bucket.asked, bucket.admitted));
            }
        }
        tallies
    }

    /// Takes in what another host tells.
    pub fn hear(&mut self, now: Instant, teller: Teller<'_>, tallies: &[Tally]) {
        let other = Other {
            region: teller.region.clone(),
            heard: now,
        };
        self.others.insert(teller.host.clone(), other);
        let is_near = *teller.region == self.region;
        let is_settled = now.saturating_duration_since(self.started) > SETTLED;
        for Tally(id, asked, admitted) in tallies.iter().copied() {
            let Some(bucket) = self.buckets.get_mut(&id) else {
                continue;
            };
            let before = bucket.others.get(teller.host).copied();
            let before = before.filter(|before| before.incarnation == teller.incarnation);
            let (new_asked, new_admitted) = match before {
                Some(before) => (
                    asked.wrapping_sub(before.asked) as i32,
                    admitted.wrapping_sub(before.admitted) as i32,
                ),
                None if is_settled => (asked as i32, admitted as i32),
                None => (0, 0),
            };
            let mut rate = before.map_or(
                Rate {
                    per_s: 0.0,
                    at: now.checked_sub(INTERVAL).unwrap_or(now),
                },
                |before| before.rate,
            );
            rate.add(now, f64::from(new_asked.max(0)));
            if is_near {
                bucket.fill(now, self.excess.floor);
                bucket.level -= f64::from(new_admitted);
            }
            let heard = Heard {
                incarnation: teller.incarnation,
                asked,
                admitted,
                rate,
            };
            bucket.others.insert(teller.host.clone(), heard);
        }
    }

    /// Sets what the own region and this host may have of an account until the next telling.
    fn begin_turn(&mut self, now: Instant, id: Id) {
        let Some(bucket) = self.buckets.get_mut(&id) else {
            return;
        };
        if bucket.turn == self.turn {
            return;
        }
        bucket.turn = self.turn;
        bucket.fill(now, self.excess.floor);
        let new = bucket.asked.wrapping_sub(bucket.counted);
        bucket.rate.add(now, f64::from(new));
        bucket.counted = bucket.asked;
        let gone = self.gone;
        self.others
            .retain(|_, other| now.saturating_duration_since(other.heard) < gone);
        let others = &self.others;
        bucket.others.retain(|host, _| others.contains_key(host));

        let own = bucket.rate.then(now);
        let mut here = own;
        let mut elsewhere = 0.0;
        let mut absent = 0.0;
        let mut sharers = 1.0;
        for (host, heard) in &bucket.others {
            let Some(other) = others.get(host) else {
                continue;
            };
            // A host that tells of other accounts only was not asked by this one since.
            let rate = heard.rate.then(other.heard);
            if other.region != self.region {
                elsewhere += rate;
                continue;
            }
            here += rate;
            sharers += f64::from(u8::from(rate > IDLE));
            if is_silent(now, other, INTERVAL) {
                absent += rate;
            }
        }
        let prior = bucket.quota.rate * PRIOR;
        let all = here + elsewhere + prior * self.regions as f64;
        let part = (here + prior) / all;
        let far = INTERVAL * FAR;
        let is_deaf = others.values().any(|other| {
            let interval = if other.region == self.region {
                INTERVAL
            } else {
                far
            };
            is_silent(now, other, interval)
        });
        bucket.part = if is_deaf { part.min(bucket.part) } else { part };
        bucket.present = if here > 0.0 { 1.0 - absent / here } else { 1.0 };
        let soon = bucket.level + bucket.inflow() * INTERVAL.as_secs_f64();
        bucket.most = (soon / sharers).max(FEW);
        bucket.spent = 0.0;
    }
}

fn is_silent(now: Instant, other: &Other, interval: Duration) -> bool {
    now.saturating_duration_since(other.heard) > interval.mul_f64(MISSED)
}
