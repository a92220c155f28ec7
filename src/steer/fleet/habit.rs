//! What requests for one service are like: how long targets work on them, and how many bytes they carry.

use super::admission::Admission;

/// The time a target works on a request while it is not measured, in seconds.
const UNKNOWN_WORK: f64 = 0.1;
/// The bytes of an answer while they are not measured.
const UNKNOWN_ANSWER: f64 = 4096.0;
/// Weight of one answer in what is usual for a service.
const USUAL_WEIGHT: f64 = 0.02;
/// Weight of one answer in the times of first and later visits, which are two kinds of a service's answers.
const VISIT_WEIGHT: f64 = 0.05;

/// What is left of the longest time after one more answer: a half after some 350.
const FADE: f64 = 0.998;
/// Answers after which the longest time says something.
const ENOUGH: u32 = 50;

/// What is known of a service's requests from their answers.
#[derive(Clone, Copy, Debug)]
pub(super) struct Habit {
    /// The time that targets work on a request, in seconds.
    pub(super) work: f64,
    /// The bytes of an answer's body.
    pub(super) answer: f64,
    /// How much may wait at its targets.
    pub(super) admission: Admission,
    /// The longest time of work, in seconds, which fades with each answer.
    peak: f64,
    /// Answers so far.
    answers: u32,
    /// The time of work on an object that is new to the target, in seconds, once there was one.
    first: Option<f64>,
    /// The same for one that the target had.
    again: Option<f64>,
}

impl Default for Habit {
    fn default() -> Self {
        Self {
            work: UNKNOWN_WORK,
            answer: UNKNOWN_ANSWER,
            admission: Admission::default(),
            peak: 0.0,
            answers: 0,
            first: None,
            again: None,
        }
    }
}

impl Habit {
    /// Takes in how long a target worked on a request.
    pub(super) fn worked(&mut self, work: f64) {
        approach(&mut self.work, work, USUAL_WEIGHT);
        self.peak = work.max(self.peak * FADE);
        self.answers = self.answers.saturating_add(1);
    }

    /// Takes in how long a target worked on an object, and whether it was new there.
    pub(super) fn visited(&mut self, is_first: bool, work: f64) {
        let place = if is_first {
            &mut self.first
        } else {
            &mut self.again
        };
        approach(place.get_or_insert(work), work, VISIT_WEIGHT);
    }

    /// Takes in the bytes of an answer.
    pub(super) fn carried(&mut self, answer: u64) {
        approach(&mut self.answer, answer as f64, USUAL_WEIGHT);
    }

    /// How much longer a first visit takes, in seconds; nothing until both kinds are known.
    pub(super) fn gain(&self) -> f64 {
        match (self.first, self.again) {
            (Some(first), Some(again)) => (first - again).max(0.0),
            _ => 0.0,
        }
    }

    /// The longest time of work among the last some hundred answers, in seconds; nothing until there were enough.
    pub(super) fn longest(&self) -> Option<f64> {
        (self.answers >= ENOUGH).then_some(self.peak)
    }
}

fn approach(mean: &mut f64, value: f64, weight: f64) {
    *mean += (value - *mean) * weight;
}
