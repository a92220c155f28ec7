//! How much work may wait at targets: less, the more of their answers come late.
//!
//! A queue at a target serves a short peak. While more comes than all targets can do, it only makes each answer late,
//! and what is refused in its place could have been served elsewhere or later. Reports of load lag, so a fixed bound
//! is overrun by all hosts at once just then. What counts is whether requests for objects that the targets have are
//! answered in good time: first visits take long whatever the queue. At twice the work that all targets can do, at least
//! 0.30 of the requests are answered in good time in place of 0.15, where 0.5 are possible (replay in virtual time).

/// How many times its slots a target may be loaded: what waits behind them still has a good part of its time left when
/// its turn comes.
const MOST: f64 = 2.0;
/// The same while most answers come late: the slots, and little that keeps them busy between two answers.
const LEAST: f64 = 1.1;
/// The part of late answers from which the queue is made shorter, and from which it is shortest.
const SOME: f64 = 0.2;
const MANY: f64 = 0.6;
/// Weight of one answer in the part of late ones: some 50 answers, less than a second's at a busy host.
const WEIGHT: f64 = 0.02;

/// What the answers of one service say of its queues.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Admission {
    late: f64,
}

impl Admission {
    /// Takes in an answer for an object that its target had.
    pub(super) fn answered(&mut self, is_late: bool) {
        let value = f64::from(u8::from(is_late));
        self.late += (value - self.late) * WEIGHT;
    }

    /// How many times its slots a target may be loaded now.
    pub(super) fn patience(&self) -> f64 {
        let strain = ((self.late - SOME) / (MANY - SOME)).clamp(0.0, 1.0);
        MOST - (MOST - LEAST) * strain
    }
}
