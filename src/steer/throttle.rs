//! Rates that targets name in their answers, and how all hosts together keep to them.
//!
//! A target in need names the requests a second that it takes from all hosts. A host's part of that may be far below one a second,
//! so the rate is not divided among hosts: a few of them, the target's *keepers*, each have a part of it in a bucket, and a host
//! asks one of them before each request that it sends there. Everything that is sent counts alike, first tries and repeats. Without
//! a grant nothing is sent, so hosts that are cut off, or that don't agree on the keepers, never add to the sum; each keeper that
//! only some of the hosts know adds its own part.
//!
//! What a target said last holds, in the order in which the requests were sent whose answers said it: an answer that was
//! overtaken by another one changes nothing. Hosts tell each other when a target begins or ends to name a rate, repeat that
//! now and then, and carry it in each question and answer about it.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

/// Hosts that share out the rate of one target: one that is lost, or one too many while hosts don't agree, is a third of it.
const KEEPERS: usize = 3;
/// The rate up to which one host shares it out alone: parts of it would be full requests only every few seconds.
const LOW: f64 = 1.0;
/// The least rate that is kept to, in requests a second: without any answer nobody would see its end.
const LEAST: f64 = 0.25;
/// The time for which a keeper saves up what is not asked for, and the requests that it saves in any case: more than one, so that
/// nothing is lost while the next claim is under way.
const SAVED: Duration = Duration::from_millis(250);
const SAVED_LEAST: f64 = 1.5;
/// The part of what a keeper has that it grants at once, if that is more than one request.
const AT_ONCE: f64 = 0.25;
/// How long granted requests may be sent.
const GRANTED: Duration = Duration::from_millis(500);
/// The longest time for which a host does not ask again after a keeper had nothing: rates move.
const LONGEST_PAUSE: Duration = Duration::from_secs(2);
/// How long a keeper is not asked that did not answer, or does not take itself for one.
const SILENT: Duration = Duration::from_secs(1);
/// By how much a rate has to rise for hosts to ask again at once, and to be told.
const RISEN: f64 = 1.5;
/// Least time between two tellings of one host about a target.
const TOLD: Duration = Duration::from_millis(250);
/// How long it is remembered that a target ended to name a rate: longer than any news of the rate are under way.
const ENDED: Duration = Duration::from_secs(10);
/// How long a rate holds of which nobody has an answer: the target has no requests.
const UNHEARD: Duration = Duration::from_secs(60);
/// Targets that are kept in mind.
const TARGETS: usize = 4096;

/// What an answer says of the rate that its target takes.
#[derive(Clone, Debug, Default, PartialEq)]
pub enum Rate {
    /// Nothing.
    #[default]
    Absent,
    /// Requests a second, from all hosts together.
    Named(f64),
    /// Something that is no decimal number.
    Unreadable(Arc<str>),
}

impl Rate {
    /// Reads the values of an answer's headers. Of several rates the lowest counts.
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

/// A number of digits with at most one point among them.
fn decimal(text: &str) -> Option<f64> {
    let is_plain = text
        .bytes()
        .all(|byte| byte.is_ascii_digit() || byte == b'.');
    let number: f64 = text.parse().ok().filter(|_| is_plain)?;
    number.is_finite().then_some(number)
}

/// What a target said last, between hosts.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct News(
    /// A digest of the target's process.
    pub u64,
    /// Requests a second, if it names a rate.
    pub Option<f32>,
    /// The milliseconds since the request was sent whose answer said so.
    pub u32,
);

/// What a request has to do with a target that it may be sent to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Fit {
    /// The target is the one for its object, or has it.
    #[serde(rename = "o")]
    Own,
    /// It comes there because others take no more, and gets only what is not wanted for the target's own objects: it makes the
    /// target work longer, and one of these would have to go elsewhere for it.
    #[serde(rename = "s")]
    Spill,
}

/// A host asks a keeper for leave to send.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Claim(
    /// Numbers the claims of a host.
    pub u32,
    /// What it knows of the target.
    pub News,
    /// What the request has to do with the target.
    pub Fit,
);

/// A keeper's answer.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Grant(
    /// The number of the claim.
    pub u32,
    /// What the keeper knows of the target.
    pub News,
    /// Requests that may be sent.
    pub u16,
    /// The milliseconds until there may be more, if there are none; 0 if the sender is no keeper of the target.
    pub u32,
    /// What the request has to do with the target.
    pub Fit,
);

/// What a keeper has of the rate of one target.
#[derive(Clone, Copy, Debug)]
pub struct Bucket {
    level: f64,
    filled: Instant,
}

impl Bucket {
    /// An empty one: it is not known what the target got before.
    pub fn new(now: Instant) -> Self {
        Self {
            level: 0.0,
            filled: now,
        }
    }

    /// Takes requests out that may be sent at once, from one to `most`, where `rate` comes in.
    ///
    /// # Errors
    ///
    /// It is empty, and has one request after the time that is given.
    pub fn take(&mut self, now: Instant, rate: f64, fit: Fit, most: u16) -> Result<u16, Duration> {
        self.level = self.level(now, rate);
        self.filled = now;
        let wait = self.room_in(now, rate, fit);
        if !wait.is_zero() {
            return Err(wait);
        }
        let count = (self.level * AT_ONCE).max(1.0) as u16;
        let count = count.min(most);
        self.level -= f64::from(count);
        Ok(count)
    }

    /// The time until it has a request: one for the target's own objects, or one that these don't want, as it is full.
    pub fn room_in(&self, now: Instant, rate: f64, fit: Fit) -> Duration {
        let least = match fit {
            Fit::Own => 1.0,
            Fit::Spill => size(rate),
        };
        let missing = (least - self.level(now, rate)).max(0.0);
        let wait = missing / rate.max(f64::MIN_POSITIVE);
        let wait = Duration::try_from_secs_f64(wait).unwrap_or(LONGEST_PAUSE);
        wait.min(LONGEST_PAUSE)
    }

    fn level(&self, now: Instant, rate: f64) -> f64 {
        let span = now.saturating_duration_since(self.filled).as_secs_f64();
        (self.level + rate * span).min(size(rate))
    }
}

/// What a bucket saves up at the most.
fn size(rate: f64) -> f64 {
    (rate * SAVED.as_secs_f64()).max(SAVED_LEAST)
}

/// What is known of one target.
#[derive(Clone, Debug)]
struct Known {
    rate: Option<f64>,
    /// When the request was sent whose answer said so.
    at: Instant,
    /// When this host told the others last.
    told: Option<Instant>,
    bucket: Bucket,
    /// Granted requests that were not sent yet, and until when they may be.
    granted: (u16, Instant),
    /// Until when hosts, by their digests, are not asked, as they had nothing, did not answer or are no keepers.
    pauses: BTreeMap<(u64, Fit), Instant>,
    /// Until when no keeper can be asked.
    closed: BTreeMap<Fit, Instant>,
}

impl Known {
    fn has_grant(&self, now: Instant) -> bool {
        let (count, until) = self.granted;
        count > 0 && now < until
    }

    fn opens_in(&self, now: Instant, fit: Fit) -> Duration {
        let until = self.closed.get(&fit);
        until.map_or(Duration::ZERO, |until| until.saturating_duration_since(now))
    }
}

/// The rates of all targets that name one, as one host knows them.
#[derive(Clone, Debug, Default)]
pub struct Throttle {
    targets: BTreeMap<u64, Known>,
}

impl Throttle {
    /// Nothing is known of any target.
    pub fn new() -> Self {
        Self::default()
    }

    /// The rate that a target names, as it is kept to.
    pub fn rate(&self, target: u64) -> Option<f64> {
        let rate = self.targets.get(&target)?.rate?;
        Some(rate.max(LEAST))
    }

    /// How many of `hosts` share out the rate of a target.
    pub fn keepers(&self, target: u64, hosts: usize) -> usize {
        let few = self.rate(target).is_some_and(|rate| rate <= LOW);
        hosts.min(if few { 1 } else { KEEPERS })
    }

    /// Takes in what a target's answer to a request said that was sent at `at`; gives what all hosts are to be told.
    pub fn state(
        &mut self,
        now: Instant,
        target: u64,
        at: Instant,
        rate: Option<f64>,
    ) -> Option<News> {
        let is_news = self.set(now, target, at, rate);
        let known = self.targets.get_mut(&target)?;
        let is_due = known
            .told
            .is_none_or(|told| now.saturating_duration_since(told) >= TOLD);
        if !is_news || !is_due {
            return None;
        }
        known.told = Some(now);
        self.known(now, target)
    }

    /// Takes in what another host knows; tells whether the target began or ended to name a rate by that, or named a much higher one.
    pub fn hear(&mut self, now: Instant, news: &News) -> bool {
        let News(target, rate, age) = *news;
        let age = Duration::from_millis(age.into());
        match now.checked_sub(age) {
            Some(at) if age < UNHEARD => self.set(now, target, at, rate.map(f64::from)),
            _ => false,
        }
    }

    /// Notes what a target said; tells whether it began or ended to name a rate, or named a much higher one.
    fn set(&mut self, now: Instant, target: u64, at: Instant, rate: Option<f64>) -> bool {
        let Some(known) = self.targets.get_mut(&target) else {
            if rate.is_none() || self.targets.len() >= TARGETS {
                return false;
            }
            self.targets.insert(target, Known::new(now, at, rate));
            return true;
        };
        if at < known.at {
            return false;
        }
        let is_news = rate.is_some() != known.rate.is_some();
        let has_risen = rate > known.rate.map(|rate| rate * RISEN);
        if is_news {
            let told = known.told;
            *known = Known::new(now, at, rate);
            known.told = told;
        }
        if has_risen {
            known.closed.clear();
            known.pauses.clear();
        }
        known.at = at;
        known.rate = rate;
        is_news || has_risen
    }

    /// What this host knows of a target.
    pub fn known(&self, now: Instant, target: u64) -> Option<News> {
        let known = self.targets.get(&target)?;
        let age = now.saturating_duration_since(known.at).as_millis();
        let age = u32::try_from(age).unwrap_or(u32::MAX);
        Some(News(target, known.rate.map(|rate| rate as f32), age))
    }

    /// What this host knows of all targets.
    pub fn news(&self, now: Instant) -> impl Iterator<Item = News> + '_ {
        self.targets
            .keys()
            .filter_map(move |target| self.known(now, *target))
    }

    /// The time until a target may get requests, if it gets none now, as all that it takes is given out. Without any of the `hosts`
    /// that share it out it gets none either.
    pub fn closed_for(
        &self,
        now: Instant,
        target: u64,
        fit: Fit,
        hosts: usize,
    ) -> Option<Duration> {
        let known = self.targets.get(&target)?;
        known.rate?;
        let opens_in = known.opens_in(now, fit);
        let is_open = known.has_grant(now) || (opens_in.is_zero() && hosts > 0);
        (!is_open).then_some(opens_in)
    }

    /// Whether a keeper is not to be asked for now.
    pub fn is_paused(&self, now: Instant, target: u64, keeper: u64, fit: Fit) -> bool {
        let known = self.targets.get(&target);
        let until = known.and_then(|known| known.pauses.get(&(keeper, fit)));
        until.is_some_and(|until| now < *until)
    }

    /// Closes a target of which no keeper can be asked, until the first one can.
    pub fn close(&mut self, now: Instant, target: u64, fit: Fit) {
        let Some(known) = self.targets.get_mut(&target) else {
            return;
        };
        known.pauses.retain(|_, until| now < *until);
        let pauses = known.pauses.iter().filter(|((_, of), _)| *of == fit);
        let first = pauses.map(|(_, until)| *until).min();
        known.closed.insert(fit, first.unwrap_or(now + SILENT));
    }

    /// Takes one of the requests that were granted for a target, if there is one.
    pub fn spend(&mut self, now: Instant, target: u64) -> bool {
        let known = self.targets.get_mut(&target);
        let Some(known) = known.filter(|known| known.has_grant(now)) else {
            return false;
        };
        known.granted.0 -= 1;
        true
    }

    /// Answers a claim, as one of a target's keepers if `is_keeper`, of `hosts` hosts in all.
    pub fn grant(&mut self, now: Instant, claim: &Claim, is_keeper: bool, hosts: usize) -> Grant {
        let Claim(number, heard, fit) = claim;
        self.hear(now, heard);
        let target = heard.0;
        let news = self.known(now, target).unwrap_or(*heard);
        let parts = self.keepers(target, hosts).max(1) as f64;
        let rate = self.rate(target);
        let known = self.targets.get_mut(&target);
        let (Some(known), Some(rate), true) = (known, rate, is_keeper) else {
            return Grant(*number, news, 0, 0, *fit);
        };
        match known.bucket.take(now, rate / parts, *fit, u16::MAX) {
            Ok(count) => Grant(*number, news, count, 0, *fit),
            // Rounded up: one who comes back sooner finds nothing.
            Err(pause) => Grant(*number, news, 0, pause.as_millis() as u32 + 1, *fit),
        }
    }

    /// Takes in a keeper's answer to a claim.
    pub fn granted(&mut self, now: Instant, keeper: u64, grant: &Grant) {
        let Grant(_, news, count, pause, fit) = grant;
        self.hear(now, news);
        let Some(known) = self.targets.get_mut(&news.0) else {
            return;
        };
        if *count == 0 {
            let pause = match *pause {
                0 => SILENT,
                pause => Duration::from_millis(pause.into()).min(LONGEST_PAUSE),
            };
            known.pauses.insert((keeper, *fit), now + pause);
            return;
        }
        let left = if known.has_grant(now) {
            known.granted.0
        } else {
            0
        };
        known.granted = (left.saturating_add(*count), now + GRANTED);
    }

    /// Notes that a keeper did not answer.
    pub fn unanswered(&mut self, now: Instant, target: u64, keeper: u64) {
        if let Some(known) = self.targets.get_mut(&target) {
            for fit in [Fit::Own, Fit::Spill] {
                known.pauses.insert((keeper, fit), now + SILENT);
            }
        }
    }

    /// Forgets a target that has left.
    pub fn forget(&mut self, target: u64) {
        self.targets.remove(&target);
    }

    /// Forgets what is of no more use; tells whether there was any such target.
    pub fn expire(&mut self, now: Instant) -> bool {
        let before = self.targets.len();
        self.targets.retain(|_, known| {
            known.pauses.retain(|_, until| now < *until);
            let age = now.saturating_duration_since(known.at);
            age < if known.rate.is_some() { UNHEARD } else { ENDED }
        });
        self.targets.len() < before
    }
}

impl Known {
    fn new(now: Instant, at: Instant, rate: Option<f64>) -> Self {
        Self {
            rate,
            at,
            told: None,
            bucket: Bucket::new(now),
            granted: (0, now),
            pauses: BTreeMap::new(),
            closed: BTreeMap::new(),
        }
    }
}
