//! Fair shares of accounts in the capacity of a service, for requests of one rank, as observed by
//! one host.
//!
//! While requests are refused because targets are full, a busy account would otherwise take almost
//! all slots that become free, in proportion to how often it asks. The share of each account is
//! derived from the number of requests that this host lately had admitted for all accounts: it is
//! divided by max-min fairness, so that accounts that ask for little get all of it, and the others
//! the same number each. An account also keeps at least a part of what it asks for, measured by the
//! mean of all accounts: large accounts that stay within their quotas are not cut to the level of
//! small ones.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Time in which a counted request loses most of its weight: at a host with 30 requests a second
/// for 70 accounts, a shorter time would cover less than one request of most of them.
const COUNT_AGING: Duration = Duration::from_secs(3);
/// Time without a request after which an account is forgotten.
const ACCOUNT_LIFETIME: Duration = Duration::from_secs(8);
/// Time after a refusal at full targets for which shares take effect.
const PRESSURE_TIME: Duration = Duration::from_secs(1);
/// Interval at which shares are derived anew, since this takes time in proportion to the accounts.
const REVIEW_INTERVAL: Duration = Duration::from_millis(100);
/// Maximum number of accounts; beyond it the account that asked least recently is forgotten.
const MAX_ACCOUNTS: usize = 256;
/// Share of its requests that each account keeps, relative to the mean of all accounts. Accounts
/// must get at least a quarter of the mean; the rest allows for errors of the estimate.
const MIN_RELATIVE_SHARE: f64 = 0.35;
/// Maximum of that share in multiples of the number that all accounts may have: an account without a
/// quota must not get more by asking more often.
const MAX_RELATIVE_LEVEL: f64 = 4.0;
/// Requests within [`COUNT_AGING`] that are never beyond a share: fewer show no rate.
const MIN_ADMITTED: f64 = 1.0;
/// Steps of the bisection that derives the shares, each of which halves its error.
const BISECTION_STEPS: usize = 20;

/// Requests of one account, with weights that fall with their age.
#[derive(Clone, Copy, Debug)]
struct Usage {
    asked: f64,
    admitted: f64,
    updated_at: Instant,
}

impl Usage {
    /// Returns the usage as of `now`.
    fn aged(self, now: Instant) -> Self {
        let age = now.saturating_duration_since(self.updated_at);
        let weight = (-age.as_secs_f64() / COUNT_AGING.as_secs_f64()).exp();
        Self {
            asked: self.asked * weight,
            admitted: self.admitted * weight,
            updated_at: now,
        }
    }
}

/// How many requests an account may have admitted.
#[derive(Clone, Copy, Debug)]
struct Share {
    /// Requests within [`COUNT_AGING`], the same for all accounts.
    level: f64,
    /// Part of its own requests, if that is more.
    min_part: f64,
}

impl Share {
    const UNLIMITED: Self = Self {
        level: f64::INFINITY,
        min_part: 0.0,
    };

    /// Returns the limit on the admitted requests of an account that asks for `asked`.
    fn limit(self, asked: f64) -> f64 {
        self.level
            .max((asked * self.min_part).min(self.level * MAX_RELATIVE_LEVEL))
    }
}

/// The accounts that lately sent requests of one rank for a service.
#[derive(Clone, Debug)]
pub struct FairShare {
    accounts: BTreeMap<u64, Usage>,
    share: Share,
    reviewed_at: Option<Instant>,
    /// When a request was last refused because targets were full.
    full_at: Option<Instant>,
}

impl Default for FairShare {
    fn default() -> Self {
        Self::new()
    }
}

impl FairShare {
    /// Returns shares without any account.
    pub fn new() -> Self {
        Self {
            accounts: BTreeMap::new(),
            share: Share::UNLIMITED,
            reviewed_at: None,
            full_at: None,
        }
    }

    /// Records a request of an account that was admitted or refused.
    pub fn record_request(&mut self, now: Instant, account: u64, is_admitted: bool) {
        if !self.accounts.contains_key(&account) && self.accounts.len() >= MAX_ACCOUNTS {
            let oldest = self
                .accounts
                .iter()
                .min_by_key(|(_, usage)| usage.updated_at);
            if let Some(oldest) = oldest.map(|(account, _)| *account) {
                self.accounts.remove(&oldest);
            }
        }
        let usage = self.accounts.entry(account).or_insert(Usage {
            asked: 0.0,
            admitted: 0.0,
            updated_at: now,
        });
        *usage = usage.aged(now);
        usage.asked += 1.0;
        usage.admitted += f64::from(u8::from(is_admitted));
        self.review(now);
    }

    /// Records that a request was refused because targets were full.
    pub fn record_full(&mut self, now: Instant) {
        self.full_at = Some(now);
    }

    /// Whether an account has had its share, and shares take effect.
    pub fn is_used_up(&self, now: Instant, account: u64) -> bool {
        let is_recent = |at: Instant| now.saturating_duration_since(at) < PRESSURE_TIME;
        if !self.full_at.is_some_and(is_recent) {
            return false;
        }
        self.accounts.get(&account).is_some_and(|usage| {
            let usage = usage.aged(now);
            usage.admitted >= self.share.limit(usage.asked).max(MIN_ADMITTED)
        })
    }

    /// Returns the number of accounts that are kept.
    pub fn account_count(&self) -> usize {
        self.accounts.len()
    }

    /// Derives the shares anew if they are older than [`REVIEW_INTERVAL`].
    fn review(&mut self, now: Instant) {
        let reviewed_at = *self.reviewed_at.get_or_insert(now);
        if now.saturating_duration_since(reviewed_at) < REVIEW_INTERVAL {
            return;
        }
        self.reviewed_at = Some(now);
        self.accounts
            .retain(|_, usage| now.saturating_duration_since(usage.updated_at) < ACCOUNT_LIFETIME);
        let usages: Vec<Usage> = self
            .accounts
            .values()
            .map(|usage| usage.aged(now))
            .collect();
        self.share = derive_share(&usages);
    }
}

/// Divides all admitted requests among the accounts.
fn derive_share(usages: &[Usage]) -> Share {
    let capacity: f64 = usages.iter().map(|usage| usage.admitted).sum();
    let asked: f64 = usages.iter().map(|usage| usage.asked).sum();
    if capacity >= asked || usages.len() < 2 {
        return Share::UNLIMITED;
    }
    let share_at = |level: f64| {
        let parts = usages.iter().map(|usage| (level / usage.asked).min(1.0));
        Share {
            level,
            min_part: MIN_RELATIVE_SHARE * parts.sum::<f64>() / usages.len().max(1) as f64,
        }
    };
    let divided = |share: Share| -> f64 {
        let limits = usages
            .iter()
            .map(|usage| share.limit(usage.asked).min(usage.asked));
        limits.sum()
    };
    let (mut low, mut high) = (0.0, asked);
    for _ in 0..BISECTION_STEPS {
        let middle = (low + high) / 2.0;
        if divided(share_at(middle)) < capacity {
            low = middle;
        } else {
            high = middle;
        }
    }
    share_at(high)
}
