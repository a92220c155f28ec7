//! What this host may send to another region or over a link.
//!
//! Each host owns a *static part* of a limit: the limit times the utilization, divided by the number
//! of hosts that the configuration lets send. These parts are safe with nobody talking. A part that is
//! not used may be given up for a time, and whoever holds the planner lease lends it to others as a
//! bonus, which expires on the borrower's own clock.
//!
//! The sum of all quotas in use stays within the limit, whoever is cut off, paused or replaced:
//! - A holder gives each unit up to one pool at a time, and counts the time from its own answer, which is
//!   later than the pool's question. The pool counts from its question.
//! - A pool lends a unit to one borrower at a time, only until some margin before the holder takes it
//!   back. The borrower counts from before its own request.
//! - A host that starts does not know what its predecessor gave up, so it uses [`KEPT`] of its part, which
//!   is never given up, until any loan has expired.
//!
//! Clocks may stand still for no process while time passes, but may run fast or slow by [`DRIFT`].

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use crate::catalog::{Catalog, HostKey, RegionKey, State};

/// The part of a static part that is never given up.
pub const KEPT: f64 = 0.5;
/// The longest time for which a static part may be given up, on the holder's clock.
pub const MAX_GIVEN: Duration = Duration::from_secs(15);
/// The largest error of a clock's rate, as a part of the time measured.
pub const DRIFT: f64 = 0.01;
/// Time left between the end of a loan and the return of what was lent.
const MARGIN: Duration = Duration::from_millis(100);
/// Time over which unused quota is saved up.
const BURST: Duration = Duration::from_millis(100);
/// The least that can be saved up: one request.
const MIN_DEPTH: f64 = 1.0;
/// Most loans, requests or promises that are kept at once.
const MAX_KEPT: usize = 64;
/// The longest wait that a refusal names.
const MAX_RETRY: Duration = Duration::from_secs(60);

/// The static part of each of `hosts` senders, in units per second.
pub fn part(limit: f64, utilization: f64, hosts: usize) -> f64 {
    limit * utilization / hosts.max(1) as f64
}

/// How many configured hosts may send to a region: those outside of it.
pub fn outside(catalog: &Catalog, region: RegionKey) -> usize {
    configured(catalog, |from| from != region)
}

/// How many configured hosts may send over a link that leaves a region: those in it.
pub fn inside(catalog: &Catalog, region: RegionKey) -> usize {
    configured(catalog, |from| from == region)
}

fn configured(catalog: &Catalog, counts: impl Fn(RegionKey) -> bool) -> usize {
    catalog
        .hosts()
        .filter(|(_, host)| host.state != State::Off)
        .filter(|(_, host)| counts(catalog.region_of(host.zone)))
        .count()
}

/// The quota is used up.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("quota is used up, retry after {retry_after:?}")]
pub struct Refusal {
    /// When there may be quota again.
    pub retry_after: Duration,
}

/// The number of a question or a request, never used twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Serial {
    /// The incarnation or epoch that issued it.
    pub issuer: u64,
    /// Counts up from 1.
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

/// A rate that is gained or missed until some time.
#[derive(Clone, Copy, Debug)]
struct Term {
    rate: f64,
    until: Instant,
}

/// One host's quota for one region or link, in units (requests or bytes) per second.
#[derive(Clone, Debug)]
pub struct Quota {
    part: f64,
    tokens: f64,
    refilled: Instant,
    started: Option<Instant>,
    given: Vec<Term>,
    bonus: Vec<Term>,
    asked: BTreeMap<Serial, Instant>,
    serial: Serial,
}

impl Quota {
    /// A quota of a host that has no predecessor. No two processes may have the same incarnation.
    pub fn new(part: f64, now: Instant, incarnation: u64) -> Self {
        Self {
            part,
            tokens: 0.0,
            refilled: now,
            started: None,
            given: Vec::new(),
            bonus: Vec::new(),
            asked: BTreeMap::new(),
            serial: Serial::new(incarnation),
        }
    }

    /// A quota of a host that may have replaced one of the same name.
    pub fn with_start(part: f64, now: Instant, incarnation: u64) -> Self {
        Self {
            started: Some(now),
            ..Self::new(part, now, incarnation)
        }
    }

    /// Changes the static part, after a change of configuration.
    pub fn set_part(&mut self, now: Instant, part: f64) {
        self.refill(now);
        self.part = part;
        self.tokens = self.tokens.min(self.depth(now));
    }

    /// What may be sent now, in units per second.
    pub fn rate(&self, now: Instant) -> f64 {
        let given: f64 = live(&self.given, now).sum();
        let bonus: f64 = live(&self.bonus, now).sum();
        (self.own(now) - given).max(0.0) + bonus
    }

    /// Takes `cost` units. More than is saved up may be taken at once, and is then owed.
    ///
    /// # Errors
    ///
    /// The quota is used up; nothing is taken.
    pub fn take(&mut self, now: Instant, cost: f64) -> Result<(), Refusal> {
        self.refill(now);
        let need = cost.min(self.depth(now));
        if self.tokens >= need {
            self.tokens -= cost;
            return Ok(());
        }
        let rate = self.rate(now);
        let wait = (need - self.tokens) / rate;
        let wait = if wait.is_finite() { wait } else { f64::MAX };
        Err(Refusal {
            retry_after: Duration::from_secs_f64(wait.min(MAX_RETRY.as_secs_f64())),
        })
    }

    /// Gives back what was taken for something that certainly did not run.
    pub fn put_back(&mut self, now: Instant, cost: f64) {
        self.refill(now);
        self.tokens = (self.tokens + cost).min(self.depth(now));
    }

    /// Starts a request for a bonus, and gives the number under which it may be granted.
    pub fn request(&mut self, now: Instant) -> Serial {
        ask(&mut self.asked, &mut self.serial, now)
    }

    /// Takes a bonus for a time that counts from before the request. Tells whether it is of use: the
    /// request is known, was not answered before, and the time has not passed.
    pub fn grant(&mut self, now: Instant, request: Serial, loan: Loan) -> bool {
        self.refill(now);
        let Some(asked) = self.asked.remove(&request) else {
            return false;
        };
        let until = asked + loan.lifetime;
        if until <= now || self.bonus.len() >= MAX_KEPT {
            return false;
        }
        self.bonus.push(Term {
            rate: loan.rate,
            until,
        });
        true
    }

    /// Gives up to `rate` of the static part up for `lifetime`, and tells how much. It stays given
    /// up even if the answer is lost.
    pub fn give(&mut self, now: Instant, rate: f64, lifetime: Duration) -> f64 {
        self.refill(now);
        let given: f64 = live(&self.given, now).sum();
        let room = (self.own(now) - given - self.part * KEPT).max(0.0);
        let rate = rate.min(room);
        if rate <= 0.0 || self.given.len() >= MAX_KEPT {
            return 0.0;
        }
        let until = now + lifetime.min(MAX_GIVEN);
        self.given.push(Term { rate, until });
        self.tokens = self.tokens.min(self.depth(now));
        rate
    }

    /// The static part as far as this incarnation may use it.
    fn own(&self, now: Instant) -> f64 {
        if self.free_from().is_some_and(|free| now < free) {
            self.part * KEPT
        } else {
            self.part
        }
    }

    /// When all that a predecessor may have given up is back.
    fn free_from(&self) -> Option<Instant> {
        Some(self.started? + MAX_GIVEN.mul_f64(1.0 + 2.0 * DRIFT) + MARGIN)
    }

    fn depth(&self, now: Instant) -> f64 {
        (self.rate(now) * BURST.as_secs_f64()).max(MIN_DEPTH)
    }

    /// Adds what was gained since the last time, at the rates that held meanwhile.
    fn refill(&mut self, now: Instant) {
        let now = now.max(self.refilled);
        let from = self.refilled;
        let ends = self.given.iter().chain(&self.bonus).map(|term| term.until);
        let mut times: Vec<Instant> = ends.chain(self.free_from()).collect();
        times.retain(|&time| from < time && time < now);
        times.push(now);
        times.sort();
        let mut at = from;
        for time in times {
            self.tokens += self.rate(at) * (time - at).as_secs_f64();
            at = time;
        }
        self.refilled = now;
        self.given.retain(|term| term.until > now);
        self.bonus.retain(|term| term.until > now);
        self.tokens = self.tokens.min(self.depth(now));
    }
}

/// The rates of the terms that have not ended.
fn live(terms: &[Term], now: Instant) -> impl Iterator<Item = f64> + '_ {
    let is_live = move |term: &&Term| now < term.until;
    terms.iter().filter(is_live).map(|term| term.rate)
}

/// A bonus: a rate for a time that counts from before its request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Loan {
    /// Units per second.
    pub rate: f64,
    /// On the borrower's clock.
    pub lifetime: Duration,
}

/// What a holder gave up, and what of it is lent.
#[derive(Clone, Debug)]
struct Offer {
    rate: f64,
    until: Instant,
    debts: Vec<Term>,
}

impl Offer {
    /// What can be lent until a time.
    fn room(&self, until: Instant) -> f64 {
        if self.until < until || self.debts.len() >= MAX_KEPT {
            return 0.0;
        }
        let lent: f64 = self.debts.iter().map(|debt| debt.rate).sum();
        (self.rate - lent).max(0.0)
    }
}

/// The planner's pool of given-up quota for one region or link.
///
/// Pools of several processes that each take themselves for the planner do no harm: a holder gives each
/// unit to one of them only.
#[derive(Clone, Debug)]
pub struct Pool {
    asked: BTreeMap<Serial, Instant>,
    answered: BTreeSet<(Serial, HostKey)>,
    offers: Vec<Offer>,
    serial: Serial,
}

impl Pool {
    /// An empty pool of the planner that holds the lease of an epoch.
    pub fn new(epoch: u64) -> Self {
        Self {
            asked: BTreeMap::new(),
            answered: BTreeSet::new(),
            offers: Vec::new(),
            serial: Serial::new(epoch),
        }
    }

    /// Starts a round of questions to holders, and gives the number under which they answer.
    pub fn ask(&mut self, now: Instant) -> Serial {
        self.prune(now);
        ask(&mut self.asked, &mut self.serial, now)
    }

    /// Takes a holder's answer: it gave `rate` up for `lifetime` on its own clock, from a time after the
    /// question. A repeated answer, or one to an unknown question, is ignored.
    pub fn give(
        &mut self,
        now: Instant,
        question: Serial,
        holder: HostKey,
        rate: f64,
        lifetime: Duration,
    ) -> bool {
        self.prune(now);
        let Some(&asked) = self.asked.get(&question) else {
            return false;
        };
        if rate <= 0.0 || !self.answered.insert((question, holder)) {
            return false;
        }
        let until = asked + lifetime.min(MAX_GIVEN).mul_f64(1.0 - 2.0 * DRIFT);
        self.offers.push(Offer {
            rate,
            until,
            debts: Vec::new(),
        });
        true
    }

    /// Lends up to `rate` for `lifetime`.
    ///
    /// The loan ends, on any clock, some margin before what it is made of is taken back, and that is not
    /// lent again before.
    pub fn lend(&mut self, now: Instant, rate: f64, lifetime: Duration) -> Option<Loan> {
        self.prune(now);
        let until = end(now, lifetime);
        let mut lent = 0.0;
        for offer in &mut self.offers {
            let rate = offer.room(until).min(rate - lent);
            if rate > 0.0 {
                offer.debts.push(Term { rate, until });
                lent += rate;
            }
        }
        (lent > 0.0).then_some(Loan {
            rate: lent,
            lifetime,
        })
    }

    /// What could be lent now for `lifetime`, in all.
    pub fn free(&self, now: Instant, lifetime: Duration) -> f64 {
        let until = end(now, lifetime);
        self.offers.iter().map(|offer| offer.room(until)).sum()
    }

    /// Drops what has ended, and questions too old for an answer to be of use.
    fn prune(&mut self, now: Instant) {
        self.offers.retain(|offer| offer.until > now);
        for offer in &mut self.offers {
            offer.debts.retain(|debt| debt.until > now);
        }
        self.asked.retain(|_, asked| now < *asked + MAX_GIVEN);
        let asked = &self.asked;
        self.answered
            .retain(|(question, _)| asked.contains_key(question));
    }
}

/// Notes the time of a new question, and forgets the oldest when there are too many.
fn ask(asked: &mut BTreeMap<Serial, Instant>, serial: &mut Serial, now: Instant) -> Serial {
    let number = serial.next();
    asked.insert(number, now);
    if asked.len() > MAX_KEPT {
        asked.pop_first();
    }
    number
}

/// When a loan made now has ended on any clock.
fn end(now: Instant, lifetime: Duration) -> Instant {
    now + lifetime.mul_f64(1.0 + 2.0 * DRIFT) + MARGIN
}
