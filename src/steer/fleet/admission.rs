//! Admission control: limits the queue at targets by the share of their answers that are late.
//!
//! A queue at a target absorbs a short peak. While more requests arrive than all targets can
//! process, it only delays each answer, and a refused request could have been served elsewhere or
//! later. Load reports lag, so with a fixed limit all hosts would exceed it at the same moment. The
//! measure is therefore whether requests for objects that the targets have cached are answered in
//! time: first visits take long whatever the queue. At twice the load that all targets can process,
//! at least 0.30 of the requests are answered in time instead of 0.15, where 0.5 are possible
//! (replay in virtual time).

/// Maximum load of a target in multiples of its slots: requests queued behind them still have most
/// of their time left when they start.
const MAX_LOAD_FACTOR: f64 = 2.0;
/// Maximum load while most answers are late: the slots, and a few requests that keep them busy
/// between two answers.
const MIN_LOAD_FACTOR: f64 = 1.1;
/// Shares of late answers at which the limit starts to fall, and at which it is lowest.
const LATE_SHARE_LOW: f64 = 0.2;
const LATE_SHARE_HIGH: f64 = 0.6;
/// Weight of one answer in the share of late answers: an average over some 50 answers, less than
/// one second's at a busy host.
const LATE_WEIGHT: f64 = 0.02;

/// Admission state of one service.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Admission {
    late_share: f64,
}

impl Admission {
    /// Records an answer for an object that its target had cached.
    pub(super) fn record_answer(&mut self, is_late: bool) {
        let value = f64::from(u8::from(is_late));
        self.late_share += (value - self.late_share) * LATE_WEIGHT;
    }

    /// Returns how far late answers reduce the limit, from 0 to 1.
    fn reduction(&self) -> f64 {
        let reduction = (self.late_share - LATE_SHARE_LOW) / (LATE_SHARE_HIGH - LATE_SHARE_LOW);
        reduction.clamp(0.0, 1.0)
    }

    /// Returns the current maximum load of a target in multiples of its slots. `overload` is the
    /// overload of the target's region, from 0 to 1.
    pub(super) fn max_load_factor(&self, overload: f64) -> f64 {
        let reduction = self.reduction().max(overload);
        MAX_LOAD_FACTOR - (MAX_LOAD_FACTOR - MIN_LOAD_FACTOR) * reduction
    }
}
