//! Quotas of client accounts, enforced by all hosts together.
//!
//! Callers of an account connect to many hosts, and no host sees all of them. Each region has a
//! share of an account's quota, in proportion to the requests that it received lately, and a token
//! bucket that refills at that rate. All hosts of a region keep a copy of the same bucket: each
//! takes out what it admits itself at once, and what the other hosts are expected to admit by their
//! rates. Their reports, sent every [`REPORT_INTERVAL`], correct that estimate. Between two reports
//! a host admits no more than its share of the tokens, or a few requests if that is more. So
//! accounts with few requests, spread over many hosts, are not refused because one host holds less
//! than a whole token.
//!
//! Hosts that stop reporting are assumed to use their whole share of the bucket and of its refill
//! until they time out, and meanwhile no region's share grows: hosts that are partitioned continue
//! with the shares that they last agreed on, so the sum stays within the quota and its permitted
//! excess.
//!
//! A host starts with empty buckets, since it does not know what was admitted before. Until it has
//! received reports from the other hosts it uses an equal share of the refill rate.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::account::{Account, Quota};
use crate::duration;

/// Interval of the usage reports within a region. What hosts admit between two reports has to stay
/// within the excess that a window permits.
pub const REPORT_INTERVAL: Duration = Duration::from_millis(500);
/// One report in this many also goes to other regions: they need only rates, and traffic between
/// regions is expensive.
pub const REMOTE_REPORT_PERIOD: u32 = 4;
/// A host whose admissions exceed its average rate by this factor assumes a surge at all hosts.
const SURGE_FACTOR: f64 = 1.5;
/// Requests that a host may admit between two reports whatever its share is: the first while the
/// bucket is at least [`FULL_LEVEL`] full, the second while it is not. Each host may do so, so they
/// add up to the excess that a window permits.
const MIN_ADMITS_FULL: f64 = 3.0;
const MIN_ADMITS_LOW: f64 = 2.0;
/// Fill level of the bucket from which [`MIN_ADMITS_FULL`] applies.
const FULL_LEVEL: f64 = 0.5;
/// Share of the quota's rate that is allocated to the buckets. Hosts learn each other's rates with
/// a delay of some seconds, and the sum of their shares may exceed one meanwhile.
const ALLOCATED_RATE_SHARE: f64 = 0.93;
/// Share of the burst that the buckets hold. The rest covers what hosts admit before they have
/// reported to each other, and what a terminated host had not reported.
const BURST_SHARE: f64 = 0.4;
/// Share of the excess floor that the buckets hold in addition to the burst, and the share of it
/// that refills them over a window. Both let accounts with few requests be spread unevenly over
/// regions and hosts; the rest covers what is admitted between two reports.
const FLOOR_BURST_SHARE: f64 = 0.5;
const FLOOR_RATE_SHARE: f64 = 0.35;
/// Time constant of the averaged rates: a few reports between regions.
const RATE_AVERAGING_TIME: Duration = Duration::from_secs(3);
/// Share of the quota's rate that each region counts as requested in any case, so that callers who
/// appear in another region find tokens there, and its minimum in requests a second, as the rate of
/// an account with few requests is a poor estimate.
const PRIOR_RATE_SHARE: f64 = 0.1;
const MIN_PRIOR_RATE: f64 = 2.0;
/// Report intervals without a report after which a host counts as silent.
const MISSED_REPORTS: f64 = 2.5;
/// Time after its start for which a host ignores the first counts of processes that are older than
/// itself: they may include requests of long ago.
const STARTUP_PERIOD: Duration = Duration::from_secs(3);
/// Time after its start for which a host uses at most an equal share, unless half of the region's
/// hosts have reported more than once before. When all hosts start at once each would otherwise use
/// the whole refill for itself.
const EQUAL_SHARE_PERIOD: Duration = Duration::from_millis(1000);
/// Report interval of a host during [`STARTUP_PERIOD`]: the other hosts either start at the same
/// time or have no counts of it.
const STARTUP_REPORT_INTERVAL: Duration = Duration::from_millis(100);
/// Assumed number of hosts in the own region while it is not known.
const DEFAULT_HOST_COUNT: usize = 16;
/// Minimum load in requests a second that each host counts with when load shares are computed:
/// requests arrive before rates reflect them.
const MIN_LOAD: f64 = 1.0;
/// Reports that repeat each change, since a datagram may be lost.
const SENDS_PER_CHANGE: u8 = 2;
/// Minimum retry delay of a caller beyond its quota: sooner, too few tokens would have been added.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(250);
/// Maximum retry delay of a caller beyond its quota: callers wait for some seconds in all.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(1);

/// The requests that accounts may run beyond their quotas in each window.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Excess {
    /// Length of the window.
    pub window: Duration,
    /// Permitted excess as a share of the requests that the quota allows in a window.
    pub share: f64,
    /// Permitted excess in requests, in addition to `share`.
    pub floor: f64,
}

impl Excess {
    /// Returns the maximum number of requests of an account that may run in a window.
    pub fn max_requests(&self, quota: Quota) -> f64 {
        (quota.rate * self.window.as_secs_f64() + quota.burst) * (1.0 + self.share) + self.floor
    }
}

/// Identifies an account in messages between hosts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct AccountId(u32);

impl AccountId {
    /// Returns the identifier of the account with this name.
    pub(crate) fn new(account: &str) -> Self {
        Self(xxh3_64(account.as_bytes()) as u32)
    }
}

/// A host's usage report for one account: counts since its start, which wrap around.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AccountUsage(
    /// The account.
    pub AccountId,
    /// Requests received.
    pub u32,
    /// Requests admitted.
    pub u32,
);

/// The host that sends a usage report.
#[derive(Clone, Copy, Debug)]
pub struct Reporter<'a> {
    /// Its name.
    pub host: &'a Arc<str>,
    /// Its region.
    pub region: &'a Arc<str>,
    /// Distinguishes its processes.
    pub incarnation: u64,
    /// The time since its process started.
    pub age: Duration,
    /// Whether this report goes to all regions.
    pub to_all_regions: bool,
}

/// Refusal of a request beyond the quota.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the quota is used up, retry after {retry_after:?}")]
pub struct Refusal {
    /// Time until the account may have a token again.
    pub retry_after: Duration,
}

/// Another host that reports usage.
#[derive(Clone, Debug)]
struct PeerHost {
    region: Arc<str>,
    last_report: Instant,
    /// Requests a second that it receives for all accounts.
    load: AverageRate,
    /// Reports received from this process.
    reports: u32,
    incarnation: u64,
}

/// Exponentially averaged rate of requests.
#[derive(Clone, Copy, Debug)]
struct AverageRate {
    per_s: f64,
    updated: Instant,
}

impl AverageRate {
    /// Returns a rate of zero, counted from `at`.
    fn new(at: Instant) -> Self {
        Self {
            per_s: 0.0,
            updated: at,
        }
    }

    /// Adds `count` requests that arrived since the last update.
    fn add(&mut self, now: Instant, count: f64) {
        let span = now.saturating_duration_since(self.updated).as_secs_f64();
        if span <= 0.0 {
            return;
        }
        let keep = (-span / RATE_AVERAGING_TIME.as_secs_f64()).exp();
        self.per_s = self.per_s * keep + count / span * (1.0 - keep);
        self.updated = now;
    }

    /// Returns the rate at `now`, if no requests arrived since the last update.
    fn decayed(&self, now: Instant) -> f64 {
        let span = now.saturating_duration_since(self.updated).as_secs_f64();
        self.per_s * (-span / RATE_AVERAGING_TIME.as_secs_f64()).exp()
    }
}

/// What another host reported of one account.
#[derive(Clone, Copy, Debug)]
struct PeerUsage {
    incarnation: u64,
    requested: u32,
    admitted: u32,
    /// Rate of the requests that it received.
    request_rate: AverageRate,
    /// `request_rate` as published to other regions.
    published_rate: AverageRate,
    /// Rate of the requests that it admitted.
    admit_rate: AverageRate,
    /// Requests a second that it is expected to admit, and the requests taken out of the bucket for
    /// that since its last report, up to `expected_until`.
    expected_rate: f64,
    expected_admits: f64,
    expected_until: Instant,
    /// When its last report arrived.
    last_report: Instant,
    /// Whether the host counts as silent.
    is_silent: bool,
}

impl PeerUsage {
    /// Adds the requests that the host is expected to have admitted up to `now`.
    fn accrue_expected(&mut self, now: Instant) {
        let span = now
            .saturating_duration_since(self.expected_until)
            .as_secs_f64();
        self.expected_admits += self.expected_rate * span;
        self.expected_until = now;
    }
}

/// Token bucket of one account in the own region.
#[derive(Debug)]
struct Bucket {
    quota: Quota,
    /// Share of the quota that the own region has.
    region_share: f64,
    /// The last `region_share` while no host was silent.
    agreed_share: f64,
    /// Share of the refill that this host may use while it has no reports from the other hosts.
    host_share: f64,
    /// Requests a second that the other hosts of the region are expected to admit.
    expected_rate: f64,
    level: f64,
    updated: Instant,
    requested: u32,
    admitted: u32,
    /// Rate of the requests that this host received, and the value of `requested` up to which they
    /// are included.
    request_rate: AverageRate,
    counted_requests: u32,
    /// `request_rate` as published to other regions.
    published_rate: AverageRate,
    /// Report period for which `period_admits` and `max_period_admits` hold.
    period: u32,
    /// Requests that this host has admitted in the period, and the maximum that it may admit.
    period_admits: f64,
    max_period_admits: f64,
    /// Reports that still have to repeat the counts, within the region and to other regions.
    reports_due: [u8; 2],
    peers: BTreeMap<Arc<str>, PeerUsage>,
}

impl Bucket {
    fn new(now: Instant, quota: Quota, region_share: f64, since: Instant) -> Self {
        Self {
            quota,
            region_share,
            agreed_share: region_share,
            host_share: 1.0,
            expected_rate: 0.0,
            level: 0.0,
            updated: since,
            requested: 0,
            admitted: 0,
            request_rate: AverageRate::new(now),
            counted_requests: 0,
            published_rate: AverageRate::new(now),
            period: u32::MAX,
            period_admits: 0.0,
            max_period_admits: 0.0,
            reports_due: [0; 2],
            peers: BTreeMap::new(),
        }
    }

    /// Returns the refill rate in requests a second.
    fn refill_rate(&self, excess: &Excess) -> f64 {
        let added = excess.floor * FLOOR_RATE_SHARE / excess.window.as_secs_f64();
        (self.quota.rate * ALLOCATED_RATE_SHARE + added) * self.region_share * self.host_share
    }

    /// Returns the capacity in requests.
    fn capacity(&self, excess: &Excess) -> f64 {
        self.region_share * (self.quota.burst * BURST_SHARE + excess.floor * FLOOR_BURST_SHARE)
    }

    /// Adds the refill since the last update and subtracts what other hosts are expected to admit.
    fn refill(&mut self, now: Instant, excess: &Excess) {
        let span = now.saturating_duration_since(self.updated).as_secs_f64();
        let level = self.level + (self.refill_rate(excess) - self.expected_rate) * span;
        self.level = level.min(self.capacity(excess));
        self.updated = now;
    }

    /// Returns the time until the bucket has one whole token.
    fn time_to_token(&self, excess: &Excess) -> Duration {
        let missing = (1.0 - self.level).max(0.0);
        let wait = missing / self.refill_rate(excess).max(f64::MIN_POSITIVE);
        duration::from_seconds(wait).min(MAX_RETRY_AFTER)
    }
}

/// The token buckets of all accounts that have quotas, as one host keeps them.
#[derive(Debug)]
pub struct Ledger {
    excess: Excess,
    region: Arc<str>,
    region_count: usize,
    /// Time without a report after which another host is considered gone.
    peer_timeout: Duration,
    started: Instant,
    /// Hosts of the own region, this one among them.
    hosts: usize,
    /// Requests a second of all accounts at this host, and the requests since its last report.
    load: AverageRate,
    requested: u32,
    /// Number of the current report period.
    period: u32,
    buckets: BTreeMap<AccountId, Bucket>,
    peers: BTreeMap<Arc<str>, PeerHost>,
    /// Accounts with counts that are still to be reported.
    changed_accounts: BTreeSet<AccountId>,
}

impl Ledger {
    /// Returns a ledger without accounts. `peer_timeout` is the time without a report after which a
    /// host surely serves no callers.
    pub fn new(
        now: Instant,
        excess: Excess,
        region: Arc<str>,
        region_count: usize,
        peer_timeout: Duration,
    ) -> Self {
        Self {
            excess,
            region,
            region_count: region_count.max(1),
            peer_timeout,
            started: now,
            hosts: DEFAULT_HOST_COUNT,
            load: AverageRate::new(now),
            requested: 0,
            period: 0,
            buckets: BTreeMap::new(),
            peers: BTreeMap::new(),
            changed_accounts: BTreeSet::new(),
        }
    }

    /// Replaces the accounts by those of a new configuration. Accounts that remain keep their
    /// tokens.
    pub fn set_accounts(&mut self, now: Instant, accounts: &[Arc<Account>]) {
        let region_share = 1.0 / self.region_count as f64;
        let mut before = std::mem::take(&mut self.buckets);
        for account in accounts {
            let Some(quota) = account.quota else {
                continue;
            };
            let id = AccountId::new(&account.name);
            let mut bucket = before
                .remove(&id)
                .unwrap_or_else(|| Bucket::new(now, quota, region_share, self.started));
            bucket.refill(now, &self.excess);
            bucket.quota = quota;
            // Cuts the level to the capacity of a lower quota.
            bucket.refill(now, &self.excess);
            self.buckets.insert(id, bucket);
        }
    }

    /// Sets how many hosts the own region has, this one among them.
    pub fn set_hosts(&mut self, hosts: usize) {
        self.hosts = hosts.max(1);
    }

    /// Admits a request of an account by taking a token.
    ///
    /// # Errors
    ///
    /// The account has used up its quota.
    pub fn admit(&mut self, now: Instant, account: &Account) -> Result<(), Refusal> {
        let id = AccountId::new(&account.name);
        self.start_period(now, id);
        let Some(bucket) = self.buckets.get_mut(&id) else {
            return Ok(());
        };
        bucket.requested = bucket.requested.wrapping_add(1);
        self.requested += 1;
        bucket.reports_due = [SENDS_PER_CHANGE; 2];
        self.changed_accounts.insert(id);
        bucket.refill(now, &self.excess);
        if bucket.level < 1.0 || bucket.period_admits + 1.0 > bucket.max_period_admits {
            let wait = bucket.time_to_token(&self.excess);
            return Err(Refusal {
                retry_after: wait.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER),
            });
        }
        bucket.level -= 1.0;
        bucket.period_admits += 1.0;
        bucket.admitted = bucket.admitted.wrapping_add(1);
        Ok(())
    }

    /// Returns the token of an admitted request that did not run.
    pub fn refund(&mut self, account: &Account) {
        let id = AccountId::new(&account.name);
        if let Some(bucket) = self.buckets.get_mut(&id) {
            bucket.level += 1.0;
            bucket.period_admits -= 1.0;
            bucket.admitted = bucket.admitted.wrapping_sub(1);
            bucket.reports_due = [SENDS_PER_CHANGE; 2];
            self.changed_accounts.insert(id);
        }
    }

    /// Returns the tokens of an account that are left in the own region, and their refill rate.
    pub fn remaining(&self, account: &Account) -> Option<(f64, f64)> {
        let bucket = self.buckets.get(&AccountId::new(&account.name))?;
        Some((bucket.level, bucket.refill_rate(&self.excess)))
    }

    /// Returns the time until the next report.
    pub fn report_interval(&self, now: Instant) -> Duration {
        if now.saturating_duration_since(self.started) < STARTUP_PERIOD {
            STARTUP_REPORT_INTERVAL
        } else {
            REPORT_INTERVAL
        }
    }

    /// Returns the time since this process started.
    pub fn age(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.started)
    }

    /// Returns the counts to report to the other hosts of the region and, if such a report is due,
    /// those for the other regions.
    pub fn next_reports(&mut self, now: Instant) -> (Vec<AccountUsage>, Option<Vec<AccountUsage>>) {
        self.period = self.period.wrapping_add(1);
        let requested = std::mem::take(&mut self.requested);
        self.load.add(now, f64::from(requested));
        let local = self.collect_reports(0);
        let remote = self.period.is_multiple_of(REMOTE_REPORT_PERIOD).then(|| {
            for id in &self.changed_accounts {
                if let Some(bucket) = self.buckets.get_mut(id) {
                    bucket.update_rate(now);
                    bucket.published_rate = bucket.request_rate;
                }
            }
            self.collect_reports(1)
        });
        let buckets = &self.buckets;
        self.changed_accounts.retain(|id| {
            let bucket = buckets.get(id);
            bucket.is_some_and(|bucket| bucket.reports_due != [0; 2])
        });
        (local, remote)
    }

    /// Returns the counts due in one scope: 0 for the own region, 1 for the others.
    fn collect_reports(&mut self, scope: usize) -> Vec<AccountUsage> {
        let mut usages = Vec::new();
        for id in &self.changed_accounts {
            let Some(bucket) = self.buckets.get_mut(id) else {
                continue;
            };
            if bucket.reports_due[scope] > 0 {
                bucket.reports_due[scope] -= 1;
                usages.push(AccountUsage(*id, bucket.requested, bucket.admitted));
            }
        }
        usages
    }

    /// Merges a usage report of another host.
    pub fn merge_report(&mut self, now: Instant, reporter: Reporter<'_>, usages: &[AccountUsage]) {
        let known = self.peers.get(reporter.host);
        let known = known.filter(|known| known.incarnation == reporter.incarnation);
        let (mut load, reports) = match known {
            Some(known) => (known.load, known.reports),
            None => (
                AverageRate::new(now.checked_sub(REPORT_INTERVAL).unwrap_or(now)),
                0,
            ),
        };
        // Counts of a process that is older than this one include requests from before its start.
        let age = self.age(now);
        let is_current = age > STARTUP_PERIOD || reporter.age <= age + STARTUP_REPORT_INTERVAL;
        let is_local = *reporter.region == self.region;
        let mut requested = 0.0;
        for usage in usages {
            if let Some(bucket) = self.buckets.get_mut(&usage.0) {
                bucket.refill(now, &self.excess);
                let delta = bucket.merge_usage(now, reporter, *usage, is_current);
                requested += delta.requested;
                if is_local {
                    bucket.level += delta.expected_admits - delta.admitted;
                }
            }
        }
        load.add(now, requested);
        let peer = PeerHost {
            region: reporter.region.clone(),
            last_report: now,
            load,
            reports: reports + 1,
            incarnation: reporter.incarnation,
        };
        self.peers.insert(reporter.host.clone(), peer);
    }

    /// Whether this host has to use an equal share, as too few hosts have reported.
    fn uses_equal_share(&self, now: Instant) -> bool {
        let local = self.peers.values();
        let reporting = local.filter(|peer| peer.region == self.region && peer.reports > 1);
        self.age(now) < EQUAL_SHARE_PERIOD && reporting.count() * 2 < self.hosts
    }

    /// Computes the region's share of an account and this host's limit until the next report.
    fn start_period(&mut self, now: Instant, id: AccountId) {
        let known = self.buckets.get(&id);
        if known.is_none_or(|bucket| bucket.period == self.period) {
            return;
        }
        let uses_equal_share = self.uses_equal_share(now);
        let Some(bucket) = self.buckets.get_mut(&id) else {
            return;
        };
        bucket.period = self.period;
        bucket.refill(now, &self.excess);
        // Callers are spread evenly over the hosts: if this host admitted many more requests than
        // usual since its last report, the other hosts likely did as well.
        let admitted = bucket.period_admits / REPORT_INTERVAL.as_secs_f64();
        let is_surge = bucket.period_admits > MIN_ADMITS_FULL
            && admitted > bucket.request_rate.decayed(now) * SURGE_FACTOR;
        let surge = if is_surge {
            admitted / (self.load.decayed(now) + MIN_LOAD)
        } else {
            0.0
        };
        bucket.update_rate(now);
        let peer_timeout = self.peer_timeout;
        self.peers
            .retain(|_, peer| now.saturating_duration_since(peer.last_report) < peer_timeout);
        let peers = &self.peers;
        bucket.peers.retain(|host, _| peers.contains_key(host));
        let rates = bucket.total_rates(now, peers, &self.region);
        let prior_rate = (bucket.quota.rate * PRIOR_RATE_SHARE).max(MIN_PRIOR_RATE);
        let total = rates.own_region + rates.other_regions + prior_rate * self.region_count as f64;
        let region_share = (rates.own_region + prior_rate) / total;
        let has_silent_peer = peers.values().any(|peer| peer.is_silent(now, &self.region));
        if !has_silent_peer {
            bucket.agreed_share = region_share;
        }
        bucket.region_share = region_share.min(bucket.agreed_share);
        bucket.host_share = if uses_equal_share {
            1.0 / self.hosts as f64
        } else {
            1.0
        };
        let load = self.load.decayed(now) + MIN_LOAD;
        let local = peers.values().filter(|peer| peer.region == self.region);
        let loads = local.map(|peer| peer.load.decayed(peer.last_report) + MIN_LOAD);
        let load_share = load / (load + loads.sum::<f64>());
        let available =
            bucket.level + bucket.refill_rate(&self.excess) * REPORT_INTERVAL.as_secs_f64();
        bucket.expected_rate = bucket.predict_peer_admits(
            now,
            peers,
            &self.region,
            rates.own_region,
            surge,
            &self.excess,
        );
        let is_full = bucket.level >= bucket.capacity(&self.excess) * FULL_LEVEL;
        bucket.max_period_admits = (available * load_share).max(if is_full {
            MIN_ADMITS_FULL
        } else {
            MIN_ADMITS_LOW
        });
        bucket.period_admits = 0.0;
    }
}

/// Change in another host's counts since its previous report, and the requests that it was expected
/// to admit.
struct UsageDelta {
    requested: f64,
    admitted: f64,
    expected_admits: f64,
}

/// Request rates of an account by region.
struct RegionRates {
    /// Requests a second in the own region and in the others, as published to all regions. If each
    /// region used its own latest rate, the shares of all regions would grow together.
    own_region: f64,
    other_regions: f64,
}

impl Bucket {
    /// Updates `request_rate` with the requests that this host has received.
    fn update_rate(&mut self, now: Instant) {
        let new = self.requested.wrapping_sub(self.counted_requests);
        self.request_rate.add(now, f64::from(new));
        self.counted_requests = self.requested;
    }

    /// Merges another host's counts and returns their change since its previous report.
    fn merge_usage(
        &mut self,
        now: Instant,
        reporter: Reporter<'_>,
        report: AccountUsage,
        is_current: bool,
    ) -> UsageDelta {
        let AccountUsage(_, requested, admitted) = report;
        let before = self.peers.get(reporter.host).copied();
        let before = before.filter(|before| before.incarnation == reporter.incarnation);
        let is_first = before.is_none();
        let mut usage = before.unwrap_or_else(|| {
            let began = now
                .checked_sub(reporter.age.min(RATE_AVERAGING_TIME))
                .unwrap_or(now);
            PeerUsage {
                incarnation: reporter.incarnation,
                requested: if is_current { 0 } else { requested },
                admitted: if is_current { 0 } else { admitted },
                request_rate: AverageRate::new(began),
                published_rate: AverageRate::new(began),
                admit_rate: AverageRate::new(began),
                expected_rate: 0.0,
                expected_admits: 0.0,
                expected_until: now,
                last_report: now,
                is_silent: false,
            }
        });
        usage.accrue_expected(now);
        let new_requests = requested.wrapping_sub(usage.requested) as i32;
        let new_admitted = admitted.wrapping_sub(usage.admitted) as i32;
        if is_current || !is_first {
            usage.request_rate.add(now, f64::from(new_requests.max(0)));
            usage.admit_rate.add(now, f64::from(new_admitted.max(0)));
        }
        if reporter.to_all_regions {
            usage.published_rate = usage.request_rate;
        }
        let delta = UsageDelta {
            requested: f64::from(new_requests.max(0)),
            admitted: f64::from(new_admitted),
            expected_admits: usage.expected_admits,
        };
        usage.expected_admits = 0.0;
        usage.is_silent = false;
        usage.last_report = now;
        usage.requested = requested;
        usage.admitted = admitted;
        self.peers.insert(reporter.host.clone(), usage);
        delta
    }

    /// Adds up the published rates of all hosts.
    fn total_rates(
        &self,
        now: Instant,
        peers: &BTreeMap<Arc<str>, PeerHost>,
        region: &Arc<str>,
    ) -> RegionRates {
        let mut rates = RegionRates {
            own_region: self.published_rate.decayed(now),
            other_regions: 0.0,
        };
        for (host, usage) in &self.peers {
            let Some(peer) = peers.get(host) else {
                continue;
            };
            // A host that reports only other accounts received no requests of this one since.
            let published_rate = usage.published_rate.decayed(peer.last_report);
            if peer.region == *region {
                rates.own_region += published_rate;
            } else {
                rates.other_regions += published_rate;
            }
        }
        rates
    }

    /// Predicts the requests that each other host of the region admits: as many as lately, or
    /// `surge` for each request that it receives if that is more, or its whole share if it is
    /// silent. Returns the sum in requests a second.
    fn predict_peer_admits(
        &mut self,
        now: Instant,
        peers: &BTreeMap<Arc<str>, PeerHost>,
        region: &Arc<str>,
        own_region: f64,
        surge: f64,
        excess: &Excess,
    ) -> f64 {
        let refill_rate = self.refill_rate(excess);
        let mut expected_rate = 0.0;
        for (host, usage) in &mut self.peers {
            let Some(peer) = peers.get(host).filter(|peer| peer.region == *region) else {
                continue;
            };
            usage.accrue_expected(now);
            let surge = surge * (peer.load.decayed(peer.last_report) + MIN_LOAD);
            usage.expected_rate = usage.admit_rate.decayed(peer.last_report).max(surge);
            let unreported = now
                .saturating_duration_since(usage.last_report)
                .min(REPORT_INTERVAL);
            let missing = (surge * unreported.as_secs_f64() - usage.expected_admits).max(0.0);
            self.level -= missing;
            usage.expected_admits += missing;
            if peer.is_silent(now, region) && own_region > 0.0 {
                let peer_share = usage.published_rate.decayed(peer.last_report) / own_region;
                usage.expected_rate = usage.expected_rate.max(refill_rate * peer_share);
                if !usage.is_silent {
                    usage.is_silent = true;
                    let reserved = self.level.max(0.0) * peer_share;
                    self.level -= reserved;
                    usage.expected_admits += reserved;
                }
            }
            expected_rate += usage.expected_rate;
        }
        expected_rate
    }
}

impl PeerHost {
    /// Whether several of its reports to `region` are missing.
    fn is_silent(&self, now: Instant, region: &Arc<str>) -> bool {
        let interval = if self.region == *region {
            REPORT_INTERVAL
        } else {
            REPORT_INTERVAL * REMOTE_REPORT_PERIOD
        };
        now.saturating_duration_since(self.last_report) > interval.mul_f64(MISSED_REPORTS)
    }
}
