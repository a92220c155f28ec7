//! Quotas for requests that a host sends to another region or over a link.
//!
//! Each host owns a *static part* of a limit: the limit times the utilization, divided by the number of
//! configured hosts that may send. The static parts are safe without any communication. A host may
//! release an unused part for a time, and the holder of the planner lease lends it to other hosts as a
//! bonus, which expires on the borrower's own clock.
//!
//! The sum of all usable quotas stays within the limit even if hosts are disconnected, paused or replaced:
//! - A holder releases each unit to one pool at a time and measures the time from its own answer, which is
//!   later than the pool's query. The pool measures from its query.
//! - A pool lends a unit to one borrower at a time, and only until some margin before the holder reclaims
//!   it. The borrower measures from before its own request.
//! - A host that starts does not know what its predecessor released, so until any loan has expired it uses
//!   only [`MIN_KEPT_SHARE`] of its part, which is never released.
//!
//! This requires that no clock stands still while time passes; clock rates may be off by
//! [`MAX_CLOCK_DRIFT`].

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use crate::catalog::{Catalog, HostKey, RegionKey, State};
use crate::duration;

/// Fraction of a static part that is never released.
pub const MIN_KEPT_SHARE: f64 = 0.5;
/// Longest time for which a static part may be released, on the holder's clock.
pub const MAX_RELEASE_TIME: Duration = Duration::from_secs(15);
/// Maximum error of a clock's rate, as a fraction of the measured time.
pub const MAX_CLOCK_DRIFT: f64 = 0.01;
/// Margin between the end of a loan and the time at which the holder reclaims the released part.
const LOAN_RETURN_MARGIN: Duration = Duration::from_millis(100);
/// Time over which unused quota accumulates.
const BURST_WINDOW: Duration = Duration::from_millis(100);
/// Minimum depth of the token bucket: one request.
const MIN_BUCKET_DEPTH: f64 = 1.0;
/// Limit on stored loans, bonuses, releases and unanswered requests or queries, each.
const MAX_PENDING: usize = 64;
/// Longest retry delay of a refusal.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(60);

/// Returns the static part of each of `hosts` senders, in units per second.
pub fn static_part(limit: f64, utilization: f64, hosts: usize) -> f64 {
    limit * utilization / hosts.max(1) as f64
}

/// Returns the number of configured hosts that may send to a region: those outside of it.
pub fn hosts_outside(catalog: &Catalog, region: RegionKey) -> usize {
    count_configured_hosts(catalog, |from| from != region)
}

/// Returns the number of configured hosts that may send over a link from a region: those inside it.
pub fn hosts_inside(catalog: &Catalog, region: RegionKey) -> usize {
    count_configured_hosts(catalog, |from| from == region)
}

fn count_configured_hosts(catalog: &Catalog, is_counted: impl Fn(RegionKey) -> bool) -> usize {
    catalog
        .hosts()
        .filter(|(_, host)| host.state != State::Off)
        .filter(|(_, host)| is_counted(catalog.region_of(host.zone)))
        .count()
}

/// Refusal because the quota is used up.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("quota is used up, retry after {retry_after:?}")]
pub struct Refusal {
    /// Time until quota may be available again.
    pub retry_after: Duration,
}

/// Unique number of a query to holders or of a request for a bonus.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Serial {
    /// The incarnation or epoch that issued it.
    pub issuer: u64,
    /// Counter, starting at 1.
    pub count: u64,
}

impl Serial {
    fn new(issuer: u64) -> Self {
        Self { issuer, count: 0 }
    }

    fn next(&mut self) -> Self {
        self.count += 1;
        *self
    }
}

/// A rate that is borrowed, released or lent until some time.
#[derive(Clone, Copy, Debug)]
struct TimedRate {
    rate: f64,
    until: Instant,
}

/// Token bucket of one host for one region or link, in units per second: slot-seconds, requests or bytes.
#[derive(Clone, Debug)]
pub struct Quota {
    static_part: f64,
    tokens: f64,
    refilled_at: Instant,
    started_at: Option<Instant>,
    released: Vec<TimedRate>,
    bonuses: Vec<TimedRate>,
    pending_requests: BTreeMap<Serial, Instant>,
    serial: Serial,
}

impl Quota {
    /// Creates the quota of a host without a predecessor. No two processes may have the same incarnation.
    pub fn new(part: f64, now: Instant, incarnation: u64) -> Self {
        Self {
            static_part: part,
            tokens: 0.0,
            refilled_at: now,
            started_at: None,
            released: Vec::new(),
            bonuses: Vec::new(),
            pending_requests: BTreeMap::new(),
            serial: Serial::new(incarnation),
        }
    }

    /// Creates the quota of a host that may have replaced one of the same name.
    pub fn with_start(part: f64, now: Instant, incarnation: u64) -> Self {
        Self {
            started_at: Some(now),
            ..Self::new(part, now, incarnation)
        }
    }

    /// Sets the static part after a change of the configuration.
    pub fn set_static_part(&mut self, now: Instant, part: f64) {
        self.refill(now);
        self.static_part = part;
        self.tokens = self.tokens.min(self.bucket_depth(now));
    }

    /// Returns the usable rate, in units per second.
    pub fn rate(&self, now: Instant) -> f64 {
        let released: f64 = active_rates(&self.released, now).sum();
        let bonuses: f64 = active_rates(&self.bonuses, now).sum();
        (self.usable_part(now) - released).max(0.0) + bonuses
    }

    /// Takes `cost` units. A cost above the bucket's depth needs a full bucket, and the difference is owed.
    ///
    /// # Errors
    ///
    /// The quota is used up; nothing is taken.
    pub fn take(&mut self, now: Instant, cost: f64) -> Result<(), Refusal> {
        self.refill(now);
        let needed = cost.min(self.bucket_depth(now));
        if self.tokens >= needed {
            self.tokens -= cost;
            return Ok(());
        }
        let rate = self.rate(now);
        let wait = (needed - self.tokens) / rate;
        let wait = if wait.is_finite() { wait } else { f64::MAX };
        Err(Refusal {
            retry_after: duration::from_seconds(wait.min(MAX_RETRY_AFTER.as_secs_f64())),
        })
    }

    /// Returns units taken for a request that certainly was not executed. A negative cost is charged.
    pub fn refund(&mut self, now: Instant, cost: f64) {
        self.refill(now);
        self.tokens = (self.tokens + cost).min(self.bucket_depth(now));
    }

    /// Starts a request for a bonus, and returns the number under which it may be granted.
    pub fn request_bonus(&mut self, now: Instant) -> Serial {
        issue_serial(&mut self.pending_requests, &mut self.serial, now)
    }

    /// Accepts a bonus whose lifetime is measured from the request. Returns whether it was accepted: the
    /// request is known and was not answered before, and the lifetime has not passed.
    pub fn accept_bonus(&mut self, now: Instant, request: Serial, loan: Loan) -> bool {
        self.refill(now);
        let Some(asked_at) = self.pending_requests.remove(&request) else {
            return false;
        };
        let until = asked_at + loan.lifetime;
        if until <= now || self.bonuses.len() >= MAX_PENDING {
            return false;
        }
        self.bonuses.push(TimedRate {
            rate: loan.rate,
            until,
        });
        true
    }

    /// Releases up to `rate` of the static part for `lifetime`, and returns the released rate. It stays
    /// released even if the answer is lost.
    pub fn release(&mut self, now: Instant, rate: f64, lifetime: Duration) -> f64 {
        self.refill(now);
        let released: f64 = active_rates(&self.released, now).sum();
        let releasable =
            (self.usable_part(now) - released - self.static_part * MIN_KEPT_SHARE).max(0.0);
        let rate = rate.min(releasable);
        if rate <= 0.0 || self.released.len() >= MAX_PENDING {
            return 0.0;
        }
        let until = now + lifetime.min(MAX_RELEASE_TIME);
        self.released.push(TimedRate { rate, until });
        self.tokens = self.tokens.min(self.bucket_depth(now));
        rate
    }

    /// Returns the part of the static part that this incarnation may use.
    fn usable_part(&self, now: Instant) -> f64 {
        if self.predecessor_loans_end().is_some_and(|end| now < end) {
            self.static_part * MIN_KEPT_SHARE
        } else {
            self.static_part
        }
    }

    /// Returns the time at which all loans of a predecessor's part have ended.
    fn predecessor_loans_end(&self) -> Option<Instant> {
        Some(
            self.started_at?
                + MAX_RELEASE_TIME.mul_f64(1.0 + 2.0 * MAX_CLOCK_DRIFT)
                + LOAN_RETURN_MARGIN,
        )
    }

    fn bucket_depth(&self, now: Instant) -> f64 {
        (self.rate(now) * BURST_WINDOW.as_secs_f64()).max(MIN_BUCKET_DEPTH)
    }

    /// Adds the tokens since the last refill, at the rates that applied meanwhile.
    fn refill(&mut self, now: Instant) {
        let now = now.max(self.refilled_at);
        let from = self.refilled_at;
        let change_times = self
            .released
            .iter()
            .chain(&self.bonuses)
            .map(|rate| rate.until);
        let mut boundaries: Vec<Instant> =
            change_times.chain(self.predecessor_loans_end()).collect();
        boundaries.retain(|&time| from < time && time < now);
        boundaries.push(now);
        boundaries.sort();
        let mut at = from;
        for time in boundaries {
            self.tokens += self.rate(at) * (time - at).as_secs_f64();
            at = time;
        }
        self.refilled_at = now;
        self.released.retain(|rate| rate.until > now);
        self.bonuses.retain(|rate| rate.until > now);
        self.tokens = self.tokens.min(self.bucket_depth(now));
    }
}

/// Returns the rates that have not ended.
fn active_rates(rates: &[TimedRate], now: Instant) -> impl Iterator<Item = f64> + '_ {
    let is_active = move |rate: &&TimedRate| now < rate.until;
    rates.iter().filter(is_active).map(|rate| rate.rate)
}

/// A bonus: a rate for a limited time, measured from the borrower's request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Loan {
    /// Units per second.
    pub rate: f64,
    /// Lifetime on the borrower's clock.
    pub lifetime: Duration,
}

/// Quota that a holder released, and the loans made of it.
#[derive(Clone, Debug)]
struct Offer {
    rate: f64,
    until: Instant,
    loans: Vec<TimedRate>,
}

impl Offer {
    /// Returns the rate that can be lent until a time.
    fn lendable(&self, until: Instant) -> f64 {
        if self.until < until || self.loans.len() >= MAX_PENDING {
            return 0.0;
        }
        let lent: f64 = self.loans.iter().map(|loan| loan.rate).sum();
        (self.rate - lent).max(0.0)
    }
}

/// The planner's pool of released quota for one region or link.
///
/// Pools of several processes that all act as planner are safe: a holder releases each unit to only one of
/// them.
#[derive(Clone, Debug)]
pub struct Pool {
    pending_queries: BTreeMap<Serial, Instant>,
    answered: BTreeSet<(Serial, HostKey)>,
    offers: Vec<Offer>,
    serial: Serial,
}

impl Pool {
    /// Creates the empty pool of the planner that holds the lease of an epoch.
    pub fn new(epoch: u64) -> Self {
        Self {
            pending_queries: BTreeMap::new(),
            answered: BTreeSet::new(),
            offers: Vec::new(),
            serial: Serial::new(epoch),
        }
    }

    /// Starts a round of queries to holders, and returns the number under which they answer.
    pub fn query_holders(&mut self, now: Instant) -> Serial {
        self.prune(now);
        issue_serial(&mut self.pending_queries, &mut self.serial, now)
    }

    /// Accepts a holder's answer: it released `rate` for `lifetime` on its own clock, from a time after the
    /// query. Returns false for a repeated answer or an unknown query, which is ignored.
    pub fn accept_offer(
        &mut self,
        now: Instant,
        query: Serial,
        holder: HostKey,
        rate: f64,
        lifetime: Duration,
    ) -> bool {
        self.prune(now);
        let Some(&asked_at) = self.pending_queries.get(&query) else {
            return false;
        };
        if rate <= 0.0 || !self.answered.insert((query, holder)) {
            return false;
        }
        let until = asked_at
            + lifetime
                .min(MAX_RELEASE_TIME)
                .mul_f64(1.0 - 2.0 * MAX_CLOCK_DRIFT);
        self.offers.push(Offer {
            rate,
            until,
            loans: Vec::new(),
        });
        true
    }

    /// Lends up to `rate` for `lifetime`.
    ///
    /// The loan ends, on any clock, some margin before the holders reclaim the released quota, which is not
    /// lent again until then.
    pub fn lend(&mut self, now: Instant, rate: f64, lifetime: Duration) -> Option<Loan> {
        self.prune(now);
        let until = loan_end(now, lifetime);
        let mut lent = 0.0;
        for offer in &mut self.offers {
            let rate = offer.lendable(until).min(rate - lent);
            if rate > 0.0 {
                offer.loans.push(TimedRate { rate, until });
                lent += rate;
            }
        }
        (lent > 0.0).then_some(Loan {
            rate: lent,
            lifetime,
        })
    }

    /// Returns the total rate that can be lent now for `lifetime`.
    pub fn lendable(&self, now: Instant, lifetime: Duration) -> f64 {
        let until = loan_end(now, lifetime);
        self.offers.iter().map(|offer| offer.lendable(until)).sum()
    }

    /// Removes ended offers and loans, and queries whose answers would be too late.
    fn prune(&mut self, now: Instant) {
        self.offers.retain(|offer| offer.until > now);
        for offer in &mut self.offers {
            offer.loans.retain(|loan| loan.until > now);
        }
        self.pending_queries
            .retain(|_, asked_at| now < *asked_at + MAX_RELEASE_TIME);
        let pending_queries = &self.pending_queries;
        self.answered
            .retain(|(query, _)| pending_queries.contains_key(query));
    }
}

/// Returns the number of a new query or request and records its time. Drops the oldest record if there
/// are too many.
fn issue_serial(
    asked_at: &mut BTreeMap<Serial, Instant>,
    serial: &mut Serial,
    now: Instant,
) -> Serial {
    let number = serial.next();
    asked_at.insert(number, now);
    if asked_at.len() > MAX_PENDING {
        asked_at.pop_first();
    }
    number
}

/// Returns the time at which a loan made now has ended on any clock.
fn loan_end(now: Instant, lifetime: Duration) -> Instant {
    now + lifetime.mul_f64(1.0 + 2.0 * MAX_CLOCK_DRIFT) + LOAN_RETURN_MARGIN
}
