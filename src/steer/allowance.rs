//! What client accounts may still ask, of all hosts together.
//!
//! Callers of an account come to many hosts, and no host sees all of them. Each region has a part of an account's quota, in
//! proportion to what was asked there lately, and a bucket that fills at that rate. All hosts of the region keep the same bucket:
//! each takes out what it admits itself at once, and what the others are expected to admit, by their rates; when they tell, every
//! [`INTERVAL`], that is corrected. In between a host admits no more than its share of what was there, or a few requests if that
//! is more: so accounts with few requests, spread over many hosts, are not refused for want of a whole request at one of them.
//!
//! Hosts that can't be heard are expected to use their whole part of what is there and comes in until they are taken for gone, and
//! meanwhile no part grows: hosts that are cut off from each other go on with the parts that they last agreed on, so the sum stays
//! within the quota and what a window may have beyond it.
//!
//! A host that starts finds its buckets empty: it does not know what was admitted before. Until it has heard of the others it has
//! an equal share of what comes in.

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
/// How many times its usual a host admits when it takes that for a surge at all hosts.
const SURGE: f64 = 1.5;
/// Requests that a host may admit between two tellings whatever its share is: while the bucket is full enough, and while it is
/// not. Each host does, so they are what a window may get beyond the quota.
const FEW: f64 = 3.0;
const FEWER: f64 = 2.0;
/// How full the bucket is for the first of them.
const FULL: f64 = 0.5;
/// The part of the rate that is given out: what hosts know of each other's rates is some seconds old, and the sum of their parts
/// may be above one meanwhile.
const GIVEN: f64 = 0.93;
/// The part of the burst that the buckets hold: what hosts admit before they have told each other comes beside it, and what a host
/// that has ended had not told.
const AT_ONCE: f64 = 0.4;
/// The part of the floor of what a window may have beyond the quota that the buckets hold beside the burst, and the part of it
/// that comes in over a window. Both let accounts with few requests be uneven over regions and hosts; the rest is for what is
/// admitted between two tellings.
const HELD: f64 = 0.5;
const ADDED: f64 = 0.35;
/// The time over which rates are averaged: a few tellings of other regions.
const AVERAGE: Duration = Duration::from_secs(3);
/// The part of the rate for which each region counts as asking it in any case, so that callers who appear in another region find
/// something there; and the least of that in requests a second, as the rate of few requests says little.
const PRIOR: f64 = 0.1;
const LEAST_PRIOR: f64 = 2.0;
/// Tellings in a row that may be missed before a host counts as silent.
const MISSED: f64 = 2.5;
/// How long a host must have run to take what it hears first of another one as news: else that may be of long ago.
const SETTLED: Duration = Duration::from_secs(3);
/// For how long after its start a host has an equal share at the most, unless most others have told their rates before. When all
/// hosts start at once each would else take what comes in for itself.
const UNHEARD: Duration = Duration::from_millis(1000);
/// Time between two tellings of a host that has started within [`SETTLED`]: the others start with it, or know nothing of it.
const SOON: Duration = Duration::from_millis(100);
/// Hosts of the own region while their number is not known.
const UNKNOWN: usize = 16;
/// Requests a second that each host counts as asked in any case when its share is worked out: callers come before rates tell it.
const LEAST_LOAD: f64 = 1.0;
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
    /// The time since its process started.
    pub age: Duration,
    /// Whether it tells all regions now.
    pub to_all: bool,
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
    /// What all accounts ask of it.
    load: Rate,
    /// How often this process of it has told something.
    times: u32,
    incarnation: u64,
}

/// A rate of requests, averaged.
#[derive(Clone, Copy, Debug)]
struct Rate {
    per_s: f64,
    at: Instant,
}

impl Rate {
    /// Nothing came since `at`.
    fn new(at: Instant) -> Self {
        Self { per_s: 0.0, at }
    }

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
    /// The rates of what it was asked and what it admitted.
    rate: Rate,
    /// The first of them as other regions know it.
    shown: Rate,
    admits: Rate,
    /// Requests a second that it is expected to admit; what was taken out for that since it told, up to `drained`.
    drain: f64,
    expected: f64,
    drained: Instant,
    /// When it told last.
    told: Instant,
    /// Whether its teller is silent.
    silent: bool,
}

impl Heard {
    fn expect(&mut self, now: Instant) {
        let span = now.saturating_duration_since(self.drained).as_secs_f64();
        self.expected += self.drain * span;
        self.drained = now;
    }
}

/// The bucket of one account in the own region.
#[derive(Debug)]
struct Bucket {
    quota: Quota,
    /// The part of the quota that the own region has.
    part: f64,
    /// What that was when all hosts could be heard.
    agreed: f64,
    /// The part of what comes in that this host may have while it knows nothing of the others.
    share: f64,
    /// Requests a second that the other hosts of the region are expected to admit.
    drain: f64,
    level: f64,
    filled: Instant,
    asked: u32,
    admitted: u32,
    /// What this host was asked, and the count up to which that goes.
    rate: Rate,
    counted: u32,
    /// The rate as other regions know it.
    shown: Rate,
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
            agreed: part,
            share: 1.0,
            drain: 0.0,
            level: 0.0,
            filled: since,
            asked: 0,
            admitted: 0,
            rate: Rate::new(now),
            counted: 0,
            shown: Rate::new(now),
            turn: u32::MAX,
            spent: 0.0,
            most: 0.0,
            to_tell: [0; 2],
            others: BTreeMap::new(),
        }
    }

    /// Requests a second that come into the bucket.
    fn inflow(&self, excess: &Excess) -> f64 {
        let added = excess.floor * ADDED / excess.window.as_secs_f64();
        (self.quota.rate * GIVEN + added) * self.part * self.share
    }

    /// What the bucket holds at the most.
    fn size(&self, excess: &Excess) -> f64 {
        self.part * (self.quota.burst * AT_ONCE + excess.floor * HELD)
    }

    fn fill(&mut self, now: Instant, excess: &Excess) {
        let span = now.saturating_duration_since(self.filled).as_secs_f64();
        let level = self.level + (self.inflow(excess) - self.drain) * span;
        self.level = level.min(self.size(excess));
        self.filled = now;
    }

    /// The time until there is room for one request.
    fn room_in(&self, excess: &Excess) -> Duration {
        let missing = (1.0 - self.level).max(0.0);
        let wait = missing / self.inflow(excess).max(f64::MIN_POSITIVE);
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
    /// Hosts of the own region, this one among them.
    hosts: usize,
    /// What all accounts ask of this host, and what they asked since it told.
    load: Rate,
    asked: u32,
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
            hosts: UNKNOWN,
            load: Rate::new(now),
            asked: 0,
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
            bucket.fill(now, &self.excess);
            bucket.quota = quota;
            // What is beyond a lower quota is gone at once.
            bucket.fill(now, &self.excess);
            self.buckets.insert(id, bucket);
        }
    }

    /// Sets how many hosts the own region has, this one among them.
    pub fn set_hosts(&mut self, hosts: usize) {
        self.hosts = hosts.max(1);
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
        self.asked += 1;
        bucket.to_tell = [TOLD; 2];
        self.changed.insert(id);
        bucket.fill(now, &self.excess);
        if bucket.level < 1.0 || bucket.spent + 1.0 > bucket.most {
            let wait = bucket.room_in(&self.excess);
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
        Some((bucket.level, bucket.inflow(&self.excess)))
    }

    /// Time until the next telling.
    pub fn interval(&self, now: Instant) -> Duration {
        if now.saturating_duration_since(self.started) < SETTLED {
            SOON
        } else {
            INTERVAL
        }
    }

    /// The time since this process started.
    pub fn age(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.started)
    }

    /// What is to be told to the other hosts of the region, and to all others if it is their turn.
    pub fn news(&mut self, now: Instant) -> (Vec<Tally>, Option<Vec<Tally>>) {
        self.turn = self.turn.wrapping_add(1);
        let asked = std::mem::take(&mut self.asked);
        self.load.add(now, f64::from(asked));
        let near = self.told(0);
        let far = self.turn.is_multiple_of(FAR).then(|| {
            for id in &self.changed {
                if let Some(bucket) = self.buckets.get_mut(id) {
                    bucket.count(now);
                    bucket.shown = bucket.rate;
                }
            }
            self.told(1)
        });
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
        let known = self.others.get(teller.host);
        let known = known.filter(|known| known.incarnation == teller.incarnation);
        let (mut load, times) = match known {
            Some(known) => (known.load, known.times),
            None => (Rate::new(now.checked_sub(INTERVAL).unwrap_or(now)), 0),
        };
        // What a process counted before this one started is no news.
        let own_age = self.age(now);
        let is_news = own_age > SETTLED || teller.age <= own_age + SOON;
        let is_near = *teller.region == self.region;
        let mut asked = 0.0;
        for tally in tallies {
            if let Some(bucket) = self.buckets.get_mut(&tally.0) {
                bucket.fill(now, &self.excess);
                let news = bucket.hear(now, teller, *tally, is_news);
                asked += news.asked;
                if is_near {
                    bucket.level += news.expected - news.admitted;
                }
            }
        }
        load.add(now, asked);
        let other = Other {
            region: teller.region.clone(),
            heard: now,
            load,
            times: times + 1,
            incarnation: teller.incarnation,
        };
        self.others.insert(teller.host.clone(), other);
    }

    /// Whether this host still has to do with an equal share.
    fn is_unheard(&self, now: Instant) -> bool {
        let near = self.others.values();
        let told = near.filter(|other| other.region == self.region && other.times > 1);
        self.age(now) < UNHEARD && told.count() * 2 < self.hosts
    }

    /// Sets what the own region and this host may have of an account until the next telling.
    fn begin_turn(&mut self, now: Instant, id: Id) {
        let known = self.buckets.get(&id);
        if known.is_none_or(|bucket| bucket.turn == self.turn) {
            return;
        }
        let is_unheard = self.is_unheard(now);
        let Some(bucket) = self.buckets.get_mut(&id) else {
            return;
        };
        bucket.turn = self.turn;
        bucket.fill(now, &self.excess);
        // Callers come to all hosts alike: if this one admitted much more than usual since it told, the others likely did as well.
        let admitted = bucket.spent / INTERVAL.as_secs_f64();
        let is_surge = bucket.spent > FEW && admitted > bucket.rate.then(now) * SURGE;
        let likely = if is_surge {
            admitted / (self.load.then(now) + LEAST_LOAD)
        } else {
            0.0
        };
        bucket.count(now);
        let gone = self.gone;
        self.others
            .retain(|_, other| now.saturating_duration_since(other.heard) < gone);
        let others = &self.others;
        bucket.others.retain(|host, _| others.contains_key(host));
        let sum = bucket.sum(now, others, &self.region);
        let prior = (bucket.quota.rate * PRIOR).max(LEAST_PRIOR);
        let all = sum.here + sum.elsewhere + prior * self.regions as f64;
        let part = (sum.here + prior) / all;
        let is_deaf = others
            .values()
            .any(|other| other.is_silent(now, &self.region));
        if !is_deaf {
            bucket.agreed = part;
        }
        bucket.part = part.min(bucket.agreed);
        bucket.share = if is_unheard {
            1.0 / self.hosts as f64
        } else {
            1.0
        };
        let own_load = self.load.then(now) + LEAST_LOAD;
        let near = others.values().filter(|other| other.region == self.region);
        let loads = near.map(|other| other.load.then(other.heard) + LEAST_LOAD);
        let share = own_load / (own_load + loads.sum::<f64>());
        let soon = bucket.level + bucket.inflow(&self.excess) * INTERVAL.as_secs_f64();
        bucket.drain = bucket.expect(now, others, &self.region, sum.here, likely, &self.excess);
        let is_full = bucket.level >= bucket.size(&self.excess) * FULL;
        bucket.most = (soon * share).max(if is_full { FEW } else { FEWER });
        bucket.spent = 0.0;
    }
}

/// What another host was asked and admitted since it told before, and what it was expected to admit.
struct News {
    asked: f64,
    admitted: f64,
    expected: f64,
}

/// What is known of the requests for an account.
struct Sum {
    /// Requests a second in the own region and in the others, as all regions know them: by what each knows of itself at once, the
    /// parts of all would grow together.
    here: f64,
    elsewhere: f64,
}

impl Bucket {
    /// Counts what this host was asked.
    fn count(&mut self, now: Instant) {
        let new = self.asked.wrapping_sub(self.counted);
        self.rate.add(now, f64::from(new));
        self.counted = self.asked;
    }

    /// Takes in a tally; gives what has changed since the one before.
    fn hear(&mut self, now: Instant, teller: Teller<'_>, tally: Tally, is_news: bool) -> News {
        let Tally(_, asked, admitted) = tally;
        let before = self.others.get(teller.host).copied();
        let before = before.filter(|before| before.incarnation == teller.incarnation);
        let is_first = before.is_none();
        let mut heard = before.unwrap_or_else(|| {
            let began = now.checked_sub(teller.age.min(AVERAGE)).unwrap_or(now);
            Heard {
                incarnation: teller.incarnation,
                asked: if is_news { 0 } else { asked },
                admitted: if is_news { 0 } else { admitted },
                rate: Rate::new(began),
                shown: Rate::new(began),
                admits: Rate::new(began),
                drain: 0.0,
                expected: 0.0,
                drained: now,
                told: now,
                silent: false,
            }
        });
        heard.expect(now);
        let new_asked = asked.wrapping_sub(heard.asked) as i32;
        let new_admitted = admitted.wrapping_sub(heard.admitted) as i32;
        if is_news || !is_first {
            heard.rate.add(now, f64::from(new_asked.max(0)));
            heard.admits.add(now, f64::from(new_admitted.max(0)));
        }
        if teller.to_all {
            heard.shown = heard.rate;
        }
        let news = News {
            asked: f64::from(new_asked.max(0)),
            admitted: f64::from(new_admitted),
            expected: heard.expected,
        };
        heard.expected = 0.0;
        heard.silent = false;
        heard.told = now;
        heard.asked = asked;
        heard.admitted = admitted;
        self.others.insert(teller.host.clone(), heard);
        news
    }

    /// Adds up what is known of all hosts.
    fn sum(&self, now: Instant, others: &BTreeMap<Arc<str>, Other>, region: &Arc<str>) -> Sum {
        let mut sum = Sum {
            here: self.shown.then(now),
            elsewhere: 0.0,
        };
        for (host, heard) in &self.others {
            let Some(other) = others.get(host) else {
                continue;
            };
            // A host that tells of other accounts only was not asked by this one since.
            let shown = heard.shown.then(other.heard);
            if other.region == *region {
                sum.here += shown;
            } else {
                sum.elsewhere += shown;
            }
        }
        sum
    }

    /// Sets what each other host of the region is expected to admit: as much as lately, or what is `likely` for each request that it
    /// gets if that is more, or its whole part if it is silent. Gives the sum in requests a second.
    fn expect(
        &mut self,
        now: Instant,
        others: &BTreeMap<Arc<str>, Other>,
        region: &Arc<str>,
        here: f64,
        likely: f64,
        excess: &Excess,
    ) -> f64 {
        let inflow = self.inflow(excess);
        let mut drain = 0.0;
        for (host, heard) in &mut self.others {
            let Some(other) = others.get(host).filter(|other| other.region == *region) else {
                continue;
            };
            heard.expect(now);
            let likely = likely * (other.load.then(other.heard) + LEAST_LOAD);
            heard.drain = heard.admits.then(other.heard).max(likely);
            let untold = now.saturating_duration_since(heard.told).min(INTERVAL);
            let missing = (likely * untold.as_secs_f64() - heard.expected).max(0.0);
            self.level -= missing;
            heard.expected += missing;
            if other.is_silent(now, region) && here > 0.0 {
                let part = heard.shown.then(other.heard) / here;
                heard.drain = heard.drain.max(inflow * part);
                if !heard.silent {
                    heard.silent = true;
                    let all = self.level.max(0.0) * part;
                    self.level -= all;
                    heard.expected += all;
                }
            }
            drain += heard.drain;
        }
        drain
    }
}

impl Other {
    /// Whether several of its tellings are missing in `region`.
    fn is_silent(&self, now: Instant, region: &Arc<str>) -> bool {
        let interval = if self.region == *region {
            INTERVAL
        } else {
            INTERVAL * FAR
        };
        now.saturating_duration_since(self.heard) > interval.mul_f64(MISSED)
    }
}
