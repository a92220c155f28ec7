//! Quarantine of requests that crash the targets that run them.
//!
//! Such a request is sent again, as a retry or by its caller, through any host, and crashes the
//! targets of a service one after the other until no caller is served. Hosts identify requests by
//! their [`Fingerprint`] and report to each other at which targets attempts broke, which means that
//! the connection ended before there was an answer:
//!
//! - At one target: nothing changes, since every request in flight at a crashing target breaks.
//! - At a second one, in an attempt that began after the first had broken: the request is
//!   *suspected*. Each host runs one copy of it at a time without retries, at a target selected by
//!   its fingerprint, so that no other suspected request runs there. Targets that fail together, as
//!   those of a rack do, count as one.
//! - At a third one, under the same condition: it is *refused*, and one host tries it again after a
//!   delay that grows with each failed trial.
//!
//! An answer from any target clears it, since a request that crashes each target that runs it is
//! never answered. Hosts therefore remember recently answered requests, so that a popular request
//! whose targets end for other reasons is cleared as soon as it is suspected. All state is stored
//! by digests, bounded in size, and expires.

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::fingerprint::Fingerprint;

/// Number of targets at which a request's connections have to break until it is suspected.
const SUSPECT_TARGETS: usize = 2;
/// Number of targets at which a request's connections have to break until it is refused.
const REFUSE_TARGETS: usize = 3;
/// Time after which a crashed target may have restarted and may be crashed again.
const RESTART_TIME: Duration = Duration::from_secs(1);
/// Delay before a suspected request is sent again, within which hosts that had an answer may clear
/// it: a message there and back between regions.
const CLEARING_DELAY: Duration = Duration::from_millis(150);
/// Maximum time for which a suspected request waits while the verdict is [`Verdict::Wait`]: a
/// request that crashes targets does so sooner. It is sent after that, so that no request is
/// refused on suspicion alone.
pub const MAX_VERDICT_WAIT: Duration = Duration::from_millis(500);
/// Time for which a request stays suspected without another crash.
const SUSPICION_LIFETIME: Duration = Duration::from_secs(30);
/// Time for which a request that was answered is not suspected again.
const CLEARED_LIFETIME: Duration = Duration::from_secs(10);
/// Time from the refusal of a request to its first trial: a few seconds, as it may be harmless.
const FIRST_TRIAL_DELAY: Duration = Duration::from_secs(5);
/// Factor by which the trial delay grows with each trial that crashed another target.
const TRIAL_DELAY_FACTOR: u32 = 6;
/// Maximum time between two trials.
const MAX_TRIAL_DELAY: Duration = Duration::from_secs(3600);
/// Range of the random offsets of hosts' trials, so that one host tries first and the others
/// receive its notice.
const TRIAL_SPREAD: Duration = Duration::from_secs(2);
/// Time for which a trial is reserved for the host that began it.
const TRIAL_RESERVATION: Duration = Duration::from_secs(5);
/// Time after a trial was due after which a refused request that was not sent again is removed.
const REFUSED_RETENTION: Duration = Duration::from_secs(600);
/// Maximum number of requests with recorded crashes.
const MAX_CASES: usize = 512;
/// Maximum number of answered requests that are remembered.
const MAX_ANSWERED: usize = 512;

/// Message between hosts about one request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Notice {
    /// An attempt broke at a target.
    #[serde(rename = "b")]
    Broken(BrokenAttempt),
    /// A request is suspected or refused.
    #[serde(rename = "s")]
    Status(CaseStatus),
    /// A request that was suspected or refused has been answered.
    #[serde(rename = "c")]
    Cleared(Fingerprint),
}

impl Notice {
    /// Returns the fingerprint of the request.
    pub fn fingerprint(&self) -> Fingerprint {
        match self {
            Self::Broken(attempt) => attempt.fingerprint,
            Self::Status(status) => status.fingerprint,
            Self::Cleared(fingerprint) => *fingerprint,
        }
    }
}

/// An attempt whose connection just broke.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BrokenAttempt {
    /// The request.
    #[serde(rename = "f")]
    pub fingerprint: Fingerprint,
    /// Digest of the target's identity.
    #[serde(rename = "t")]
    pub target: u64,
    /// Duration of the attempt in milliseconds.
    #[serde(rename = "l")]
    pub lasted_ms: u32,
}

/// State of a suspected or refused request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CaseStatus {
    /// The request.
    #[serde(rename = "f")]
    pub fingerprint: Fingerprint,
    /// Digests of the targets that are counted.
    #[serde(rename = "t")]
    pub targets: Vec<u64>,
    /// Time since an attempt broke at the first of them, in milliseconds.
    #[serde(rename = "a")]
    pub age_ms: u64,
    /// Trials of the request, if it is refused.
    #[serde(rename = "r", default, skip_serializing_if = "Option::is_none")]
    pub refused: Option<RefusalTerm>,
}

/// Trials of a refused request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RefusalTerm {
    /// Trials that crashed another target.
    #[serde(rename = "n")]
    pub failures: u32,
    /// Time until the next trial, in milliseconds.
    #[serde(rename = "d")]
    pub due_ms: u64,
}

/// Notices to send to other hosts.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct OutgoingNotices {
    /// Notice to the hosts that count the crashes of this request.
    pub to_counters: Option<Notice>,
    /// Notice to all hosts.
    pub to_all: Option<Notice>,
}

/// Result of merging a notice of another host.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct MergeResult {
    /// Whether the notice changed the state of this host.
    pub is_new: bool,
    /// Notice to all hosts that follows from it.
    pub to_all: Option<Notice>,
}

/// Whether a request may be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The request is neither suspected nor refused.
    Allowed,
    /// The request may be sent once, to a target selected by its fingerprint;
    /// [`Quarantine::finish`] has to be called when the attempt has ended.
    Isolated,
    /// It is not decided yet whether the request may be sent.
    Wait,
    /// The request is refused; its caller may retry after this time.
    Refused(Duration),
}

/// Stage of a request whose attempts broke, in order of precedence.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Stage {
    /// A target answered it.
    Cleared,
    /// An attempt broke at one target.
    BrokenOnce,
    /// It runs in isolation.
    Suspected,
    /// It is sent only in trials.
    Refused,
}

/// Crash record of one request.
#[derive(Debug)]
struct Case {
    stage: Stage,
    /// When this host entered the stage.
    stage_since: Instant,
    /// The targets that are counted, at most [`REFUSE_TARGETS`].
    targets: Vec<u64>,
    /// When attempts broke at the first and at the last of them.
    first_break: Instant,
    last_break: Instant,
    /// Whether an attempt that this host allowed is in flight.
    in_flight: bool,
    failures: u32,
    /// When the next trial is due.
    due: Instant,
}

impl Case {
    fn new(now: Instant) -> Self {
        Self {
            stage: Stage::BrokenOnce,
            stage_since: now,
            targets: Vec::new(),
            first_break: now,
            last_break: now,
            in_flight: false,
            failures: 0,
            due: now,
        }
    }

    /// Moves to a stage if it is a later one. Returns whether it was.
    fn advance(&mut self, now: Instant, stage: Stage) -> bool {
        if stage <= self.stage {
            return false;
        }
        self.stage = stage;
        self.stage_since = now;
        if stage == Stage::Refused {
            self.due = now + FIRST_TRIAL_DELAY;
        }
        true
    }

    /// Counts a target at which an attempt broke that began at `started_at`. Returns whether the
    /// stage has changed.
    fn count_break(&mut self, now: Instant, target: u64, started_at: Instant) -> bool {
        let is_counted = match self.stage {
            Stage::BrokenOnce => self.targets.is_empty() || started_at >= self.last_break,
            Stage::Suspected => started_at >= self.stage_since + CLEARING_DELAY,
            Stage::Cleared | Stage::Refused => false,
        };
        let is_distinct = !self.targets.contains(&target) || now >= self.last_break + RESTART_TIME;
        if !is_counted || !is_distinct {
            return false;
        }
        self.targets.push(target);
        self.last_break = now;
        let stage = match self.targets.len() {
            ..SUSPECT_TARGETS => Stage::BrokenOnce,
            SUSPECT_TARGETS..REFUSE_TARGETS => Stage::Suspected,
            _ => Stage::Refused,
        };
        self.advance(now, stage)
    }

    fn is_expired(&self, now: Instant) -> bool {
        let age = now.saturating_duration_since(self.last_break);
        match self.stage {
            Stage::Cleared => now.saturating_duration_since(self.stage_since) >= CLEARED_LIFETIME,
            Stage::BrokenOnce | Stage::Suspected => age >= SUSPICION_LIFETIME,
            Stage::Refused => now.saturating_duration_since(self.due) >= REFUSED_RETENTION,
        }
    }

    fn status(&self, now: Instant, fingerprint: Fingerprint) -> CaseStatus {
        let refused = (self.stage == Stage::Refused).then(|| RefusalTerm {
            failures: self.failures,
            due_ms: millis(self.due.saturating_duration_since(now)),
        });
        CaseStatus {
            fingerprint,
            targets: self.targets.clone(),
            age_ms: millis(now.saturating_duration_since(self.first_break)),
            refused,
        }
    }

    /// Merges the state that another host reports. Returns whether anything was new.
    fn merge(&mut self, now: Instant, status: &CaseStatus) -> bool {
        let stage = match status.refused {
            Some(_) => Stage::Refused,
            None => Stage::Suspected,
        };
        let is_later = self.advance(now, stage);
        if is_later {
            // Replaces the targets instead of adding to them: targets in the notices of two hosts
            // may have failed together.
            self.targets = status
                .targets
                .iter()
                .copied()
                .take(REFUSE_TARGETS)
                .collect();
            self.last_break = now;
        }
        let Some(term) = status.refused else {
            return is_later;
        };
        let due = now + Duration::from_millis(term.due_ms).min(MAX_TRIAL_DELAY);
        // The reported times differ by the transit time of a message.
        let is_due_later = due > self.due + CLEARING_DELAY;
        if (term.failures, is_due_later) > (self.failures, false) {
            self.failures = term.failures;
            self.due = due;
            return true;
        }
        is_later
    }
}

/// The quarantined requests of one host, and those with an attempt that broke at one target.
#[derive(Debug)]
pub struct Quarantine {
    /// Seed that differs from host to host.
    seed: u64,
    cases: BTreeMap<Fingerprint, Case>,
    /// Requests that were answered at this host, the latest last.
    answered: VecDeque<(Instant, Fingerprint)>,
}

impl Quarantine {
    /// Returns an empty quarantine. `seed` differs from host to host.
    pub fn new(seed: u64) -> Self {
        Self {
            seed,
            cases: BTreeMap::new(),
            answered: VecDeque::new(),
        }
    }

    /// Returns whether a request may be sent, and the notice to all hosts if the attempt is a
    /// trial.
    pub fn check(&mut self, now: Instant, fingerprint: Fingerprint) -> (Verdict, Option<Notice>) {
        let trial_offset = self.trial_offset(fingerprint);
        let Some(case) = self.cases.get_mut(&fingerprint) else {
            return (Verdict::Allowed, None);
        };
        match case.stage {
            Stage::Cleared | Stage::BrokenOnce => (Verdict::Allowed, None),
            Stage::Suspected if case.is_expired(now) => (Verdict::Allowed, None),
            Stage::Suspected if case.in_flight || now < case.stage_since + CLEARING_DELAY => {
                (Verdict::Wait, None)
            }
            Stage::Suspected => {
                case.in_flight = true;
                (Verdict::Isolated, None)
            }
            Stage::Refused if case.in_flight || now < case.due + trial_offset => {
                let left = (case.due + trial_offset).saturating_duration_since(now);
                (Verdict::Refused(left.max(CLEARING_DELAY)), None)
            }
            Stage::Refused => {
                case.in_flight = true;
                case.due = now + TRIAL_RESERVATION;
                let status = case.status(now, fingerprint);
                (Verdict::Isolated, Some(Notice::Status(status)))
            }
        }
    }

    /// Returns whether a request may be retried. The verdict is [`Verdict::Wait`] while an answer may
    /// still clear a suspected request, and never [`Verdict::Isolated`]: a retry that has waited is
    /// sent as first attempts are, see [`Quarantine::check`].
    pub fn check_retry(&self, now: Instant, fingerprint: Fingerprint) -> Verdict {
        let Some(case) = self.cases.get(&fingerprint) else {
            return Verdict::Allowed;
        };
        match case.stage {
            Stage::Cleared | Stage::BrokenOnce => Verdict::Allowed,
            Stage::Suspected if case.is_expired(now) => Verdict::Allowed,
            Stage::Suspected if case.in_flight || now < case.stage_since + CLEARING_DELAY => {
                Verdict::Wait
            }
            Stage::Suspected => Verdict::Refused(MAX_VERDICT_WAIT),
            Stage::Refused => {
                let left = case.due.saturating_duration_since(now);
                Verdict::Refused(left.max(CLEARING_DELAY))
            }
        }
    }

    /// Whether a request is neither suspected nor refused.
    pub fn may_retry(&self, fingerprint: Fingerprint) -> bool {
        let case = self.cases.get(&fingerprint);
        case.is_none_or(|case| case.stage < Stage::Suspected)
    }

    /// Whether a request is refused.
    pub fn is_refused(&self, fingerprint: Fingerprint) -> bool {
        let case = self.cases.get(&fingerprint);
        case.is_some_and(|case| case.stage == Stage::Refused)
    }

    /// Records that an attempt with the verdict [`Verdict::Isolated`] has ended, with any result.
    pub fn finish(&mut self, fingerprint: Fingerprint) {
        if let Some(case) = self.cases.get_mut(&fingerprint) {
            case.in_flight = false;
        }
    }

    /// Records that an attempt that began at `started_at` broke at a target before it had an
    /// answer.
    pub fn record_break(
        &mut self,
        now: Instant,
        fingerprint: Fingerprint,
        target: u64,
        started_at: Instant,
    ) -> OutgoingNotices {
        let case = self.case_or_new(now, fingerprint);
        if case.stage == Stage::Refused {
            let mut to_all = None;
            if started_at >= case.stage_since {
                case.failures += 1;
                case.due = now + trial_delay(case.failures);
                to_all = Some(Notice::Status(case.status(now, fingerprint)));
            }
            return OutgoingNotices {
                to_counters: None,
                to_all,
            };
        }
        if case.count_break(now, target, started_at) {
            let status = case.status(now, fingerprint);
            return OutgoingNotices {
                to_counters: None,
                to_all: Some(Notice::Status(status)),
            };
        }
        let lasted = millis(now.saturating_duration_since(started_at));
        let to_counters = (case.stage == Stage::BrokenOnce).then(|| {
            Notice::Broken(BrokenAttempt {
                fingerprint,
                target,
                lasted_ms: u32::try_from(lasted).unwrap_or(u32::MAX),
            })
        });
        OutgoingNotices {
            to_counters,
            to_all: None,
        }
    }

    /// Records that a target answered a request. Returns the notice to all hosts if the request was
    /// suspected or refused.
    pub fn record_answer(&mut self, now: Instant, fingerprint: Fingerprint) -> Option<Notice> {
        if self.answered.len() >= MAX_ANSWERED {
            self.answered.pop_front();
        }
        self.answered.push_back((now, fingerprint));
        let case = self.cases.get_mut(&fingerprint)?;
        let was_suspected = case.stage >= Stage::Suspected;
        clear(now, case);
        was_suspected.then_some(Notice::Cleared(fingerprint))
    }

    /// Merges a notice of another host.
    pub fn merge(&mut self, now: Instant, notice: &Notice) -> MergeResult {
        match notice {
            Notice::Broken(attempt) => self.merge_break(now, attempt),
            Notice::Status(status) => self.merge_status(now, status),
            Notice::Cleared(fingerprint) => {
                let case = self.cases.get_mut(fingerprint);
                let case = case.filter(|case| case.stage != Stage::Cleared);
                let is_new = case.is_some();
                if let Some(case) = case {
                    clear(now, case);
                }
                MergeResult {
                    is_new,
                    to_all: None,
                }
            }
        }
    }

    fn merge_break(&mut self, now: Instant, attempt: &BrokenAttempt) -> MergeResult {
        let lasted = Duration::from_millis(attempt.lasted_ms.into());
        let started_at = now.checked_sub(lasted).unwrap_or(now);
        let case = self.case_or_new(now, attempt.fingerprint);
        let count_before = case.targets.len();
        let has_changed = case.count_break(now, attempt.target, started_at);
        let status = has_changed.then(|| case.status(now, attempt.fingerprint));
        MergeResult {
            is_new: case.targets.len() > count_before,
            to_all: status.map(Notice::Status),
        }
    }

    fn merge_status(&mut self, now: Instant, status: &CaseStatus) -> MergeResult {
        let fingerprint = status.fingerprint;
        let age = Duration::from_millis(status.age_ms);
        let answered = self
            .answered
            .iter()
            .any(|(at, other)| *other == fingerprint && now.saturating_duration_since(*at) < age);
        let case = self.case_or_new(now, fingerprint);
        if answered {
            let is_new = case.stage != Stage::Cleared;
            clear(now, case);
            let to_all = Some(Notice::Cleared(fingerprint));
            return MergeResult { is_new, to_all };
        }
        if case.stage == Stage::Cleared {
            return MergeResult::default();
        }
        let is_new = case.merge(now, status);
        MergeResult {
            is_new,
            to_all: None,
        }
    }

    /// Returns notices of all suspected and refused requests, for a host that may not have received
    /// them.
    pub fn statuses(&self, now: Instant) -> impl Iterator<Item = Notice> + '_ {
        let cases = self.cases.iter();
        let cases =
            cases.filter(move |(_, case)| case.stage >= Stage::Suspected && !case.is_expired(now));
        cases.map(move |(fingerprint, case)| Notice::Status(case.status(now, *fingerprint)))
    }

    /// Removes expired cases.
    pub fn expire(&mut self, now: Instant) {
        self.cases
            .retain(|_, case| case.in_flight || !case.is_expired(now));
    }

    /// Returns the case of a request, or a new one if there is none that still counts.
    fn case_or_new(&mut self, now: Instant, fingerprint: Fingerprint) -> &mut Case {
        let is_expired = self
            .cases
            .get(&fingerprint)
            .is_some_and(|case| case.is_expired(now));
        if is_expired {
            self.cases.remove(&fingerprint);
        }
        if self.cases.len() >= MAX_CASES && !self.cases.contains_key(&fingerprint) {
            let evicted = self
                .cases
                .iter()
                .min_by_key(|(_, case)| (case.stage, case.last_break));
            if let Some(evicted) = evicted.map(|(fingerprint, _)| *fingerprint) {
                self.cases.remove(&evicted);
            }
        }
        self.cases
            .entry(fingerprint)
            .or_insert_with(|| Case::new(now))
    }

    /// Returns this host's offset for trials of a refused request.
    fn trial_offset(&self, fingerprint: Fingerprint) -> Duration {
        let hash = xxh3_64_with_seed(&fingerprint.0.to_le_bytes(), self.seed);
        TRIAL_SPREAD.mul_f64(hash as f64 / u64::MAX as f64)
    }
}

fn clear(now: Instant, case: &mut Case) {
    case.stage = Stage::Cleared;
    case.stage_since = now;
    case.targets.clear();
    case.failures = 0;
}

/// Returns the time to the next trial after `failures` trials that each crashed another target.
fn trial_delay(failures: u32) -> Duration {
    FIRST_TRIAL_DELAY
        .saturating_mul(TRIAL_DELAY_FACTOR.saturating_pow(failures))
        .min(MAX_TRIAL_DELAY)
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
