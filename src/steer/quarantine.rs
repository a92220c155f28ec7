//! Requests that crash the targets that run them, and how they are kept from the next ones.
//!
//! Such a request comes again, as a repeat or from its caller, at any host, and takes a service from all callers, one target
//! after the other. Hosts know requests by their [`Fingerprint`] and tell each other at which targets they broke off:
//!
//! - At one target: nothing changes, since whatever was in flight there breaks off with it.
//! - At a second one, by a try that began after the first had broken off: the request is *suspected*. Each host has one of it
//!   under way at a time and does not repeat it, at a target of its own by its fingerprint, so that no other suspected request
//!   is there. Targets that end together, as those of a rack, count as one.
//! - At a third one, likewise: it is *refused*, and tried again by one host after a while, ever less often.
//!
//! An answer from anywhere clears it: a request that crashes each target that runs it is never answered. Hosts remember for that
//! what was answered lately, so that a popular request whose targets end for reasons of their own is cleared as soon as it is
//! suspected. Everything is kept by digests, up to a bound, and is forgotten after a time.

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::fingerprint::Fingerprint;

/// Targets at which a request broke off until it is suspected.
const SUSPECT: usize = 2;
/// Targets at which it broke off until it is refused.
const REFUSE: usize = 3;
/// After this time a target that crashed may be back and be crashed again.
const BACK: Duration = Duration::from_secs(1);
/// How long hosts that had an answer have to say so before a suspected request is sent again: a message there and back between
/// regions.
const OBJECTION: Duration = Duration::from_millis(150);
/// How long a suspected request waits for [`Verdict::Wait`] to change: targets crash sooner than that. What is not known then is
/// sent, so that no request is refused on suspicion.
pub const UNSURE: Duration = Duration::from_millis(500);
/// How long a suspicion lasts without another crash.
const SUSPICION: Duration = Duration::from_secs(30);
/// How long a request that was answered is not suspected again.
const CLEARED: Duration = Duration::from_secs(10);
/// Time from the refusal of a request to its first trial: a few seconds, as it may be innocent.
const FIRST_TRIAL: Duration = Duration::from_secs(5);
/// By how much that time grows with each trial that crashed one more target.
const GROWTH: u32 = 6;
/// The longest time between two trials.
const LONGEST: Duration = Duration::from_secs(3600);
/// Hosts begin to try at moments spread over this time, so that one of them is first and the others hear of it.
const SPREAD: Duration = Duration::from_secs(2);
/// How long the others leave a trial to the host that began it.
const TRIAL: Duration = Duration::from_secs(5);
/// How long after a trial was due a request is forgotten that did not come again.
const FORGET: Duration = Duration::from_secs(600);
/// Requests that are kept in mind for crashes.
const CASES: usize = 512;
/// Answered requests that are remembered.
const ANSWERS: usize = 512;

/// What hosts tell each other.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Note {
    /// A try broke off at a target.
    #[serde(rename = "b")]
    Broke(Broke),
    /// A request is suspected or refused.
    #[serde(rename = "s")]
    Standing(Standing),
    /// A request that was suspected or refused has been answered.
    #[serde(rename = "c")]
    Cleared(Fingerprint),
}

impl Note {
    /// The request that it is about.
    pub fn fingerprint(&self) -> Fingerprint {
        match self {
            Self::Broke(broke) => broke.fingerprint,
            Self::Standing(standing) => standing.fingerprint,
            Self::Cleared(fingerprint) => *fingerprint,
        }
    }
}

/// A try that broke off just now.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Broke {
    /// The request.
    #[serde(rename = "f")]
    pub fingerprint: Fingerprint,
    /// A digest of the target's identity.
    #[serde(rename = "t")]
    pub target: u64,
    /// How long it had been there, in milliseconds.
    #[serde(rename = "l")]
    pub lasted_ms: u32,
}

/// How a request stands.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Standing {
    /// The request.
    #[serde(rename = "f")]
    pub fingerprint: Fingerprint,
    /// Digests of the targets that count.
    #[serde(rename = "t")]
    pub targets: Vec<u64>,
    /// How long ago it broke off at the first of them, in milliseconds.
    #[serde(rename = "a")]
    pub age_ms: u64,
    /// When it may be tried again, if it is refused.
    #[serde(rename = "r", default, skip_serializing_if = "Option::is_none")]
    pub refused: Option<Term>,
}

/// Until when a request is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Term {
    /// Trials that crashed one more target.
    #[serde(rename = "n")]
    pub failures: u32,
    /// Time until the next one, in milliseconds.
    #[serde(rename = "d")]
    pub due_ms: u64,
}

/// What is to be told to others.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct News {
    /// To those who count the crashes of this request.
    pub counters: Option<Note>,
    /// To all hosts.
    pub all: Option<Note>,
}

/// What became of a note of another host.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Heard {
    /// It was not known here.
    pub is_new: bool,
    /// What all hosts are to be told because of it.
    pub all: Option<Note>,
}

/// What may be done with a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Nothing is held against it.
    Free,
    /// It may be sent once, to a target by its fingerprint; [`Quarantine::done`] is to be told when that has ended.
    Alone,
    /// It is not known yet whether it may be sent.
    Wait,
    /// It is refused and may come back after this time.
    Refused(Duration),
}

/// How a host stands to a request that broke off.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Stage {
    /// An answer came.
    Cleared,
    /// It broke off at one target.
    Noted,
    /// It is sent with care.
    Suspected,
    /// It is not sent, but for trials.
    Refused,
}

#[derive(Debug)]
struct Case {
    stage: Stage,
    /// Since when it stands so here.
    since: Instant,
    /// The targets that count, at most [`REFUSE`].
    targets: Vec<u64>,
    /// When it broke off at the first and at the last of them.
    first: Instant,
    last: Instant,
    /// Whether a try that was allowed here is under way.
    busy: bool,
    failures: u32,
    /// When it may be tried again.
    due: Instant,
}

impl Case {
    fn new(now: Instant) -> Self {
        Self {
            stage: Stage::Noted,
            since: now,
            targets: Vec::new(),
            first: now,
            last: now,
            busy: false,
            failures: 0,
            due: now,
        }
    }

    /// Takes a stage; says whether it is a later one.
    fn advance(&mut self, now: Instant, stage: Stage) -> bool {
        if stage <= self.stage {
            return false;
        }
        self.stage = stage;
        self.since = now;
        if stage == Stage::Refused {
            self.due = now + FIRST_TRIAL;
        }
        true
    }

    /// Counts a target at which a try broke off that began at `begun`; says whether the stage has changed.
    fn count(&mut self, now: Instant, target: u64, begun: Instant) -> bool {
        let counts = match self.stage {
            Stage::Noted => self.targets.is_empty() || begun >= self.last,
            Stage::Suspected => begun >= self.since + OBJECTION,
            Stage::Cleared | Stage::Refused => false,
        };
        let is_another = !self.targets.contains(&target) || now >= self.last + BACK;
        if !counts || !is_another {
            return false;
        }
        self.targets.push(target);
        self.last = now;
        let stage = match self.targets.len() {
            ..SUSPECT => Stage::Noted,
            SUSPECT..REFUSE => Stage::Suspected,
            _ => Stage::Refused,
        };
        self.advance(now, stage)
    }

    fn is_over(&self, now: Instant) -> bool {
        let age = now.saturating_duration_since(self.last);
        match self.stage {
            Stage::Cleared => now.saturating_duration_since(self.since) >= CLEARED,
            Stage::Noted | Stage::Suspected => age >= SUSPICION,
            Stage::Refused => now.saturating_duration_since(self.due) >= FORGET,
        }
    }

    fn standing(&self, now: Instant, fingerprint: Fingerprint) -> Standing {
        let refused = (self.stage == Stage::Refused).then(|| Term {
            failures: self.failures,
            due_ms: millis(self.due.saturating_duration_since(now)),
        });
        Standing {
            fingerprint,
            targets: self.targets.clone(),
            age_ms: millis(now.saturating_duration_since(self.first)),
            refused,
        }
    }

    /// Takes over how it stands elsewhere; says whether anything was new.
    fn merge(&mut self, now: Instant, standing: &Standing) -> bool {
        let stage = match standing.refused {
            Some(_) => Stage::Refused,
            None => Stage::Suspected,
        };
        let is_later = self.advance(now, stage);
        if is_later {
            // Not those that are known here besides: targets of two hosts' notes may have ended together.
            self.targets = standing.targets.iter().copied().take(REFUSE).collect();
            self.last = now;
        }
        let Some(term) = standing.refused else {
            return is_later;
        };
        let due = now + Duration::from_millis(term.due_ms).min(LONGEST);
        // The times that are left differ by the time that a message takes.
        let is_due_later = due > self.due + OBJECTION;
        if (term.failures, is_due_later) > (self.failures, false) {
            self.failures = term.failures;
            self.due = due;
            return true;
        }
        is_later
    }
}

/// The requests that one host keeps from targets, and those that it watches.
#[derive(Debug)]
pub struct Quarantine {
    /// Tells this host from the others.
    seed: u64,
    cases: BTreeMap<Fingerprint, Case>,
    /// Requests that were answered here, the latest last.
    answered: VecDeque<(Instant, Fingerprint)>,
}

impl Quarantine {
    /// Nothing is suspected yet. `seed` differs from host to host.
    pub fn new(seed: u64) -> Self {
        Self {
            seed,
            cases: BTreeMap::new(),
            answered: VecDeque::new(),
        }
    }

    /// Whether a request may be sent, and what all hosts are to be told if this is a trial.
    pub fn ask(&mut self, now: Instant, fingerprint: Fingerprint) -> (Verdict, Option<Note>) {
        let delay = self.delay(fingerprint);
        let Some(case) = self.cases.get_mut(&fingerprint) else {
            return (Verdict::Free, None);
        };
        match case.stage {
            Stage::Cleared | Stage::Noted => (Verdict::Free, None),
            Stage::Suspected if case.is_over(now) => (Verdict::Free, None),
            Stage::Suspected if case.busy || now < case.since + OBJECTION => (Verdict::Wait, None),
            Stage::Suspected => {
                case.busy = true;
                (Verdict::Alone, None)
            }
            Stage::Refused if case.busy || now < case.due + delay => {
                let left = (case.due + delay).saturating_duration_since(now);
                (Verdict::Refused(left.max(OBJECTION)), None)
            }
            Stage::Refused => {
                case.busy = true;
                case.due = now + TRIAL;
                let standing = case.standing(now, fingerprint);
                (Verdict::Alone, Some(Note::Standing(standing)))
            }
        }
    }

    /// Whether nothing is held against a request, so that it may be repeated.
    pub fn is_free(&self, fingerprint: Fingerprint) -> bool {
        let case = self.cases.get(&fingerprint);
        case.is_none_or(|case| case.stage < Stage::Suspected)
    }

    /// Whether a request is refused.
    pub fn is_refused(&self, fingerprint: Fingerprint) -> bool {
        let case = self.cases.get(&fingerprint);
        case.is_some_and(|case| case.stage == Stage::Refused)
    }

    /// A try for which [`Verdict::Alone`] was given has ended, in whichever way.
    pub fn done(&mut self, fingerprint: Fingerprint) {
        if let Some(case) = self.cases.get_mut(&fingerprint) {
            case.busy = false;
        }
    }

    /// A try that began at `begun` broke off here at a target before it had an answer.
    pub fn broke(
        &mut self,
        now: Instant,
        fingerprint: Fingerprint,
        target: u64,
        begun: Instant,
    ) -> News {
        let case = self.case(now, fingerprint);
        if case.stage == Stage::Refused {
            let mut all = None;
            if begun >= case.since {
                case.failures += 1;
                case.due = now + trial_after(case.failures);
                all = Some(Note::Standing(case.standing(now, fingerprint)));
            }
            return News {
                counters: None,
                all,
            };
        }
        if case.count(now, target, begun) {
            let standing = case.standing(now, fingerprint);
            return News {
                counters: None,
                all: Some(Note::Standing(standing)),
            };
        }
        let lasted = millis(now.saturating_duration_since(begun));
        let counters = (case.stage == Stage::Noted).then(|| {
            Note::Broke(Broke {
                fingerprint,
                target,
                lasted_ms: u32::try_from(lasted).unwrap_or(u32::MAX),
            })
        });
        News {
            counters,
            all: None,
        }
    }

    /// A target has answered a request; what all hosts are to be told of that, if it was held against.
    pub fn answered(&mut self, now: Instant, fingerprint: Fingerprint) -> Option<Note> {
        if self.answered.len() >= ANSWERS {
            self.answered.pop_front();
        }
        self.answered.push_back((now, fingerprint));
        let case = self.cases.get_mut(&fingerprint)?;
        let told = case.stage >= Stage::Suspected;
        clear(now, case);
        told.then_some(Note::Cleared(fingerprint))
    }

    /// Takes in what another host tells.
    pub fn hear(&mut self, now: Instant, note: &Note) -> Heard {
        match note {
            Note::Broke(broke) => self.hear_broke(now, broke),
            Note::Standing(standing) => self.hear_standing(now, standing),
            Note::Cleared(fingerprint) => {
                let case = self.cases.get_mut(fingerprint);
                let case = case.filter(|case| case.stage != Stage::Cleared);
                let is_new = case.is_some();
                if let Some(case) = case {
                    clear(now, case);
                }
                Heard { is_new, all: None }
            }
        }
    }

    fn hear_broke(&mut self, now: Instant, broke: &Broke) -> Heard {
        let lasted = Duration::from_millis(broke.lasted_ms.into());
        let begun = now.checked_sub(lasted).unwrap_or(now);
        let case = self.case(now, broke.fingerprint);
        let known = case.targets.len();
        let has_changed = case.count(now, broke.target, begun);
        let standing = has_changed.then(|| case.standing(now, broke.fingerprint));
        Heard {
            is_new: case.targets.len() > known,
            all: standing.map(Note::Standing),
        }
    }

    fn hear_standing(&mut self, now: Instant, standing: &Standing) -> Heard {
        let fingerprint = standing.fingerprint;
        let age = Duration::from_millis(standing.age_ms);
        let answered = self
            .answered
            .iter()
            .any(|(at, other)| *other == fingerprint && now.saturating_duration_since(*at) < age);
        let case = self.case(now, fingerprint);
        if answered {
            let is_new = case.stage != Stage::Cleared;
            clear(now, case);
            let all = Some(Note::Cleared(fingerprint));
            return Heard { is_new, all };
        }
        if case.stage == Stage::Cleared {
            return Heard::default();
        }
        let is_new = case.merge(now, standing);
        Heard { is_new, all: None }
    }

    /// All requests that are suspected or refused, for a host that may not know of them.
    pub fn standings(&self, now: Instant) -> impl Iterator<Item = Note> + '_ {
        let held = self.cases.iter();
        let held =
            held.filter(move |(_, case)| case.stage >= Stage::Suspected && !case.is_over(now));
        held.map(move |(fingerprint, case)| Note::Standing(case.standing(now, *fingerprint)))
    }

    /// Forgets what is over.
    pub fn expire(&mut self, now: Instant) {
        self.cases.retain(|_, case| case.busy || !case.is_over(now));
    }

    /// The case of a request, a new one if there is none that still counts.
    fn case(&mut self, now: Instant, fingerprint: Fingerprint) -> &mut Case {
        let is_over = self
            .cases
            .get(&fingerprint)
            .is_some_and(|case| case.is_over(now));
        if is_over {
            self.cases.remove(&fingerprint);
        }
        if self.cases.len() >= CASES && !self.cases.contains_key(&fingerprint) {
            let least = self
                .cases
                .iter()
                .min_by_key(|(_, case)| (case.stage, case.last));
            if let Some(least) = least.map(|(fingerprint, _)| *fingerprint) {
                self.cases.remove(&least);
            }
        }
        self.cases
            .entry(fingerprint)
            .or_insert_with(|| Case::new(now))
    }

    /// How much later than it is due this host tries a refused request.
    fn delay(&self, fingerprint: Fingerprint) -> Duration {
        let draw = xxh3_64_with_seed(&fingerprint.0.to_le_bytes(), self.seed);
        SPREAD.mul_f64(draw as f64 / u64::MAX as f64)
    }
}

fn clear(now: Instant, case: &mut Case) {
    case.stage = Stage::Cleared;
    case.since = now;
    case.targets.clear();
    case.failures = 0;
}

/// Time to the next trial after so many that crashed one more target.
fn trial_after(failures: u32) -> Duration {
    FIRST_TRIAL
        .saturating_mul(GROWTH.saturating_pow(failures))
        .min(LONGEST)
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
