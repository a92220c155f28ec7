//! Request rates that targets announce in their answers, and how all hosts together enforce them.
//!
//! An overloaded target announces the requests a second that it accepts from all hosts together. A
//! host's share of that may be far below one request a second, so the rate is not divided among all
//! hosts: a few of them, the target's *allocators*, each hold a share of it in a token bucket, and
//! every host requests a grant from one of them before each request that it sends to the target.
//! First attempts and retries count alike. Nothing is sent without a grant, so hosts that are
//! partitioned, or that disagree on the allocators, do not add to the sum; but each allocator that
//! only some of the hosts know adds its own share.
//!
//! The latest rate of a target holds, ordered by the times at which the requests were sent whose
//! answers announced it: an answer that was overtaken by another one changes nothing. Hosts notify
//! each other when a target starts or stops announcing a rate, repeat that now and then, and attach
//! the rate to each claim and grant.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use crate::duration;

/// Hosts that allocate the rate of one target. One that is lost, or one too many while hosts
/// disagree, changes the rate by a third.
const ALLOCATORS_PER_TARGET: usize = 3;
/// Rate in requests a second up to which a single host allocates it: shares of it would yield a
/// whole request only every few seconds.
const SINGLE_ALLOCATOR_RATE: f64 = 1.0;
/// Minimum rate that is enforced, in requests a second: without any answers no host would notice
/// that the limit has ended.
const MIN_RATE: f64 = 0.25;
/// Time for which a bucket accumulates unclaimed requests, and its minimum capacity in requests:
/// more than one, so that none is lost while the next claim is on its way.
const BUCKET_FILL_TIME: Duration = Duration::from_millis(250);
const MIN_CAPACITY: f64 = 1.5;
/// Share of an allocator's tokens that one grant takes, if that is more than one request.
const GRANT_SHARE: f64 = 0.25;
/// Time within which granted requests have to be sent.
const GRANT_LIFETIME: Duration = Duration::from_millis(500);
/// Maximum time for which a host sends no claim to an allocator that had no tokens: rates change.
const MAX_PAUSE: Duration = Duration::from_secs(2);
/// Time for which a host sends no claim to an allocator that did not answer, or that does not
/// consider itself one.
const FAILURE_PAUSE: Duration = Duration::from_secs(1);
/// Factor by which a rate has to rise for hosts to send claims again at once, and to be notified.
const RISE_FACTOR: f64 = 1.5;
/// Minimum interval between two broadcasts of one host about a target.
const MIN_BROADCAST_INTERVAL: Duration = Duration::from_millis(250);
/// Time for which a target that stopped announcing a rate is remembered: longer than an update of
/// the rate can be on its way.
const ENDED_RETENTION: Duration = Duration::from_secs(10);
/// Time for which a rate holds without any answer from the target: it receives no requests.
const RATE_RETENTION: Duration = Duration::from_secs(60);
/// Maximum number of targets whose rates are stored.
const MAX_TARGETS: usize = 4096;

/// The rate that an answer announces for its target.
#[derive(Clone, Debug, Default, PartialEq)]
pub enum Rate {
    /// The answer announces no rate.
    #[default]
    Absent,
    /// Requests a second, from all hosts together.
    Named(f64),
    /// The value is no decimal number.
    Unreadable(Arc<str>),
}

impl Rate {
    /// Parses the values of an answer's headers. The lowest of several rates counts.
    pub fn new<'a>(values: impl IntoIterator<Item = Option<&'a str>>) -> Self {
        let mut rate = Self::Absent;
        for value in values {
            let Some(text) = value else {
                return Self::Unreadable("(not text)".into());
            };
            for part in text.split(',') {
                let Some(read) = decimal(part.trim()) else {
                    return Self::Unreadable(text.into());
                };
                rate = match rate {
                    Self::Named(lowest) => Self::Named(lowest.min(read)),
                    _ => Self::Named(read),
                };
            }
        }
        rate
    }
}

/// Parses a number that consists of digits and at most one point.
pub(super) fn decimal(text: &str) -> Option<f64> {
    let is_plain = text
        .bytes()
        .all(|byte| byte.is_ascii_digit() || byte == b'.');
    let number: f64 = text.parse().ok().filter(|_| is_plain)?;
    number.is_finite().then_some(number)
}

/// The latest rate of a target, as sent between hosts.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct RateUpdate(
    /// Digest of the target's process.
    pub u64,
    /// Requests a second, if the target announces a rate.
    pub Option<f32>,
    /// Milliseconds since the request was sent whose answer is the source.
    pub u32,
);

/// Why a request may be sent to a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Assignment {
    /// The target is the first choice for the request's object, or has it in its cache.
    #[serde(rename = "o")]
    Primary,
    /// The preferred targets take no more requests. Such a request gets only capacity that the
    /// target's own objects do not need: it takes the target longer, and a request for one of these
    /// objects would be sent elsewhere instead.
    #[serde(rename = "s")]
    Overflow,
}

/// A host's request for a grant from an allocator.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Claim(
    /// Sequence number of the claim at its host.
    pub u32,
    /// The latest rate that the host has of the target.
    pub RateUpdate,
    /// Why the request may be sent to the target.
    pub Assignment,
);

/// An allocator's answer to a claim.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Grant(
    /// Sequence number of the claim.
    pub u32,
    /// The latest rate that the allocator has of the target.
    pub RateUpdate,
    /// Number of requests that may be sent.
    pub u16,
    /// Milliseconds until more may be granted, if none are; 0 if the sender is no allocator of the
    /// target.
    pub u32,
    /// Why the request may be sent to the target.
    pub Assignment,
);

/// Token bucket with an allocator's share of the rate of one target.
#[derive(Clone, Copy, Debug)]
pub struct Bucket {
    level: f64,
    filled: Instant,
}

impl Bucket {
    /// Returns an empty bucket: it is not known what the target received before.
    pub fn new(now: Instant) -> Self {
        Self {
            level: 0.0,
            filled: now,
        }
    }

    /// Takes out requests that may be sent at once, from one to `max_count`, where the bucket
    /// refills at `rate`.
    ///
    /// # Errors
    ///
    /// The bucket has no token; it has one after the returned time.
    pub fn take(
        &mut self,
        now: Instant,
        rate: f64,
        assignment: Assignment,
        max_count: u16,
    ) -> Result<u16, Duration> {
        self.level = self.level(now, rate);
        self.filled = now;
        let wait = self.time_to_token(now, rate, assignment);
        if !wait.is_zero() {
            return Err(wait);
        }
        let count = (self.level * GRANT_SHARE).max(1.0) as u16;
        let count = count.min(max_count);
        self.level -= f64::from(count);
        Ok(count)
    }

    /// Returns the time until the bucket has a token for a request. Overflow requests need a full
    /// bucket, which shows that the target's own objects leave capacity unused.
    pub fn time_to_token(&self, now: Instant, rate: f64, assignment: Assignment) -> Duration {
        let needed = match assignment {
            Assignment::Primary => 1.0,
            Assignment::Overflow => capacity(rate),
        };
        let missing = (needed - self.level(now, rate)).max(0.0);
        let wait = missing / rate.max(f64::MIN_POSITIVE);
        let wait = duration::from_seconds(wait).min(MAX_PAUSE);
        wait.min(MAX_PAUSE)
    }

    /// Returns the level at `now`, in requests.
    fn level(&self, now: Instant, rate: f64) -> f64 {
        let span = now.saturating_duration_since(self.filled).as_secs_f64();
        (self.level + rate * span).min(capacity(rate))
    }
}

/// Returns the capacity of a bucket in requests.
fn capacity(rate: f64) -> f64 {
    (rate * BUCKET_FILL_TIME.as_secs_f64()).max(MIN_CAPACITY)
}

/// State of the rate of one target.
#[derive(Clone, Debug)]
struct TargetRate {
    rate: Option<f64>,
    /// When the request was sent whose answer announced the rate.
    observed_at: Instant,
    /// When this host last broadcast the rate.
    last_broadcast: Option<Instant>,
    bucket: Bucket,
    /// Granted requests that were not sent yet, and until when they may be sent.
    granted: (u16, Instant),
    /// Until when this host sends no claims to other hosts, by their digests, as they had no
    /// tokens, did not answer or are no allocators.
    pauses: BTreeMap<(u64, Assignment), Instant>,
    /// Until when no allocator may be asked.
    closed_until: BTreeMap<Assignment, Instant>,
}

impl TargetRate {
    /// Whether a granted request may be sent.
    fn has_grant(&self, now: Instant) -> bool {
        let (count, until) = self.granted;
        count > 0 && now < until
    }

    /// Returns the time until an allocator may be asked.
    fn opens_in(&self, now: Instant, assignment: Assignment) -> Duration {
        let until = self.closed_until.get(&assignment);
        until.map_or(Duration::ZERO, |until| until.saturating_duration_since(now))
    }
}

/// The rates of all targets that announce one, as far as one host has received them.
#[derive(Clone, Debug, Default)]
pub struct Throttle {
    targets: BTreeMap<u64, TargetRate>,
}

impl Throttle {
    /// Returns a throttle without rates.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the rate of a target that is enforced, at least [`MIN_RATE`].
    pub fn rate(&self, target: u64) -> Option<f64> {
        let rate = self.targets.get(&target)?.rate?;
        Some(rate.max(MIN_RATE))
    }

    /// Returns how many of `host_count` hosts allocate the rate of a target.
    pub fn allocator_count(&self, target: u64, host_count: usize) -> usize {
        let is_single = self
            .rate(target)
            .is_some_and(|rate| rate <= SINGLE_ALLOCATOR_RATE);
        host_count.min(if is_single { 1 } else { ALLOCATORS_PER_TARGET })
    }

    /// Records the rate that a target's answer announces; the request was sent at `observed_at`.
    /// Returns the update to broadcast to all hosts, if any.
    pub fn observe(
        &mut self,
        now: Instant,
        target: u64,
        observed_at: Instant,
        rate: Option<f64>,
    ) -> Option<RateUpdate> {
        let has_changed = self.record(now, target, observed_at, rate);
        let rate_state = self.targets.get_mut(&target)?;
        let is_due = rate_state.last_broadcast.is_none_or(|last_broadcast| {
            now.saturating_duration_since(last_broadcast) >= MIN_BROADCAST_INTERVAL
        });
        if !has_changed || !is_due {
            return None;
        }
        rate_state.last_broadcast = Some(now);
        self.current_update(now, target)
    }

    /// Merges the rate that another host has. Returns whether the target thereby started or stopped
    /// announcing a rate, or raised it much.
    pub fn merge_update(&mut self, now: Instant, update: &RateUpdate) -> bool {
        let RateUpdate(target, rate, age) = *update;
        let age = Duration::from_millis(age.into());
        match now.checked_sub(age) {
            Some(observed_at) if age < RATE_RETENTION => {
                self.record(now, target, observed_at, rate.map(f64::from))
            }
            _ => false,
        }
    }

    /// Records a rate. Returns whether the target started or stopped announcing one, or raised it
    /// much.
    fn record(
        &mut self,
        now: Instant,
        target: u64,
        observed_at: Instant,
        rate: Option<f64>,
    ) -> bool {
        let Some(rate_state) = self.targets.get_mut(&target) else {
            if rate.is_none() || self.targets.len() >= MAX_TARGETS {
                return false;
            }
            self.targets
                .insert(target, TargetRate::new(now, observed_at, rate));
            return true;
        };
        if observed_at < rate_state.observed_at {
            return false;
        }
        let has_changed = rate.is_some() != rate_state.rate.is_some();
        let has_risen = rate > rate_state.rate.map(|rate| rate * RISE_FACTOR);
        if has_changed {
            let last_broadcast = rate_state.last_broadcast;
            *rate_state = TargetRate::new(now, observed_at, rate);
            rate_state.last_broadcast = last_broadcast;
        }
        if has_risen {
            rate_state.closed_until.clear();
            rate_state.pauses.clear();
        }
        rate_state.observed_at = observed_at;
        rate_state.rate = rate;
        has_changed || has_risen
    }

    /// Returns the latest rate of a target, to be sent to other hosts.
    pub fn current_update(&self, now: Instant, target: u64) -> Option<RateUpdate> {
        let rate_state = self.targets.get(&target)?;
        let age = now
            .saturating_duration_since(rate_state.observed_at)
            .as_millis();
        let age = u32::try_from(age).unwrap_or(u32::MAX);
        Some(RateUpdate(
            target,
            rate_state.rate.map(|rate| rate as f32),
            age,
        ))
    }

    /// Returns the latest rates of all targets.
    pub fn updates(&self, now: Instant) -> impl Iterator<Item = RateUpdate> + '_ {
        self.targets
            .keys()
            .filter_map(move |target| self.current_update(now, *target))
    }

    /// Returns the time until a target may receive requests again, or `None` if it may now. A
    /// target is closed while all of its rate is allocated, and as long as there is no host to
    /// allocate it.
    pub fn closed_for(
        &self,
        now: Instant,
        target: u64,
        assignment: Assignment,
        host_count: usize,
    ) -> Option<Duration> {
        let rate_state = self.targets.get(&target)?;
        rate_state.rate?;
        let opens_in = rate_state.opens_in(now, assignment);
        let is_open = rate_state.has_grant(now) || (opens_in.is_zero() && host_count > 0);
        (!is_open).then_some(opens_in)
    }

    /// Whether no claim may be sent to an allocator now.
    pub fn is_paused(
        &self,
        now: Instant,
        target: u64,
        allocator: u64,
        assignment: Assignment,
    ) -> bool {
        let rate_state = self.targets.get(&target);
        let until =
            rate_state.and_then(|rate_state| rate_state.pauses.get(&(allocator, assignment)));
        until.is_some_and(|until| now < *until)
    }

    /// Closes a target until the first of its allocators may be asked again.
    pub fn close(&mut self, now: Instant, target: u64, assignment: Assignment) {
        let Some(rate_state) = self.targets.get_mut(&target) else {
            return;
        };
        rate_state.pauses.retain(|_, until| now < *until);
        let pauses = rate_state
            .pauses
            .iter()
            .filter(|((_, of), _)| *of == assignment);
        let earliest = pauses.map(|(_, until)| *until).min();
        rate_state
            .closed_until
            .insert(assignment, earliest.unwrap_or(now + FAILURE_PAUSE));
    }

    /// Uses one of the requests that were granted for a target. Returns whether there was one.
    pub fn spend(&mut self, now: Instant, target: u64) -> bool {
        let rate_state = self.targets.get_mut(&target);
        let Some(rate_state) = rate_state.filter(|rate_state| rate_state.has_grant(now)) else {
            return false;
        };
        rate_state.granted.0 -= 1;
        true
    }

    /// Answers a claim, as one of the target's allocators if `is_allocator` is set.
    pub fn grant(
        &mut self,
        now: Instant,
        claim: &Claim,
        is_allocator: bool,
        host_count: usize,
    ) -> Grant {
        let Claim(number, claimed, assignment) = claim;
        self.merge_update(now, claimed);
        let target = claimed.0;
        let update = self.current_update(now, target).unwrap_or(*claimed);
        let allocators = self.allocator_count(target, host_count).max(1) as f64;
        let rate = self.rate(target);
        let rate_state = self.targets.get_mut(&target);
        let (Some(rate_state), Some(rate), true) = (rate_state, rate, is_allocator) else {
            return Grant(*number, update, 0, 0, *assignment);
        };
        match rate_state
            .bucket
            .take(now, rate / allocators, *assignment, u16::MAX)
        {
            Ok(count) => Grant(*number, update, count, 0, *assignment),
            // Rounds up, so that a host that asks again after the pause finds a token.
            Err(pause) => Grant(
                *number,
                update,
                0,
                pause.as_millis() as u32 + 1,
                *assignment,
            ),
        }
    }

    /// Records an allocator's answer to a claim.
    pub fn record_grant(&mut self, now: Instant, allocator: u64, grant: &Grant) {
        let Grant(_, update, count, pause, assignment) = grant;
        self.merge_update(now, update);
        let Some(rate_state) = self.targets.get_mut(&update.0) else {
            return;
        };
        if *count == 0 {
            let pause = match *pause {
                0 => FAILURE_PAUSE,
                pause => Duration::from_millis(pause.into()).min(MAX_PAUSE),
            };
            rate_state
                .pauses
                .insert((allocator, *assignment), now + pause);
            return;
        }
        let remaining = if rate_state.has_grant(now) {
            rate_state.granted.0
        } else {
            0
        };
        rate_state.granted = (remaining.saturating_add(*count), now + GRANT_LIFETIME);
    }

    /// Records that an allocator did not answer a claim.
    pub fn record_unanswered_claim(&mut self, now: Instant, target: u64, allocator: u64) {
        if let Some(rate_state) = self.targets.get_mut(&target) {
            for assignment in [Assignment::Primary, Assignment::Overflow] {
                rate_state
                    .pauses
                    .insert((allocator, assignment), now + FAILURE_PAUSE);
            }
        }
    }

    /// Removes a target that has left.
    pub fn remove_target(&mut self, target: u64) {
        self.targets.remove(&target);
    }

    /// Removes expired pauses and targets. Returns whether a target was removed.
    pub fn expire(&mut self, now: Instant) -> bool {
        let before = self.targets.len();
        self.targets.retain(|_, rate_state| {
            rate_state.pauses.retain(|_, until| now < *until);
            let age = now.saturating_duration_since(rate_state.observed_at);
            age < if rate_state.rate.is_some() {
                RATE_RETENTION
            } else {
                ENDED_RETENTION
            }
        });
        self.targets.len() < before
    }
}

impl TargetRate {
    fn new(now: Instant, observed_at: Instant, rate: Option<f64>) -> Self {
        Self {
            rate,
            observed_at,
            last_broadcast: None,
            bucket: Bucket::new(now),
            granted: (0, now),
            pauses: BTreeMap::new(),
            closed_until: BTreeMap::new(),
        }
    }
}
