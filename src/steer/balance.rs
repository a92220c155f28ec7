//! Balance: how the share of requests that leave a region follows the utilization of slots.
//!
//! Addresses regions that have few targets for their callers while the load of each region rises
//! and falls. If requests left only when they overflow, such a region would work with full queues,
//! and its keys would return between two peaks and be cold at each. So the share that leaves grows
//! while the region's slots are highly utilized and those of other regions are not, and it is kept
//! until the utilization has been moderate for longer than the period of the load.

use std::time::{Duration, Instant};

/// Utilization of the own slots above which the share grows. At 0.7 with four slots a request waits
/// on average for about a third of its service time, less than the path to another region usually
/// takes. From 0.65 to 0.85 the smallest region of the replay does not differ by more than 0.04 of
/// its requests in time.
const MAX_UTILIZATION: f64 = 0.7;
/// Utilization of the own slots that shows that the present share is needed. The distance to
/// [`MAX_UTILIZATION`] keeps the share from moving at each peak: with 0.6 in place of 0.5 a region
/// that is short of slots only at its peaks lost 0.03 of its requests in time (replay).
const NEED_UTILIZATION: f64 = 0.5;
/// Least difference to the utilization of other regions for more to leave: a smaller one does not
/// outweigh the path and the first visits.
const MIN_GROW_DIFFERENCE: f64 = 0.2;
/// Least difference for which what left stays away: its objects are cached elsewhere.
const MIN_KEEP_DIFFERENCE: f64 = 0.1;
/// Greatest increase in one step. It is less than the step up to which requests may overflow, so
/// that two steps and the overflow stay below the usual cap on shifts, 0.15 in 2 s.
const MAX_STEP: f64 = 0.04;
/// Time for which a share is kept after it was needed: the period of 36 s in which the loads of
/// regions rise and fall, and a margin.
const NEED_LIFETIME: Duration = Duration::from_secs(40);
/// Decrease of the share in one step while it is needed, and of the needed share and the share
/// itself while it was needed lately: it settles at what peaks need,
/// although some of them are higher than usual. With 0.01 keys move back and forth with each peak:
/// 0.90 to 0.98 of the smallest region's requests are in time instead of 0.94 to 0.99 (replay).
const SLOW_RETURN_STEP: f64 = 0.002;
/// Share of the computed correction that one step makes: the utilization is a mean over about one
/// step, so that full corrections would exceed the need.
const STEP_GAIN: f64 = 0.5;

/// Utilization of a service's slots as seen by one host: load divided by slots, `None` without
/// recent reports.
#[derive(Clone, Copy, Debug, Default)]
pub struct Utilization {
    /// Of the own region.
    pub own: Option<f64>,
    /// Mean of the other regions by slots. Regions that are no alternative count as fully utilized.
    pub others: Option<f64>,
}

/// State of the decision for one service.
#[derive(Clone, Copy, Debug, Default)]
pub struct Balance {
    /// The share that was needed, and when it last was.
    need: Option<(f64, Instant)>,
}

impl Balance {
    /// Returns the least change of the share that leaves, now `share`, in the next step; negative
    /// for a decrease. `None` if the own targets have been sufficient for longer than the load's
    /// period: utilization then does not matter.
    pub fn min_change(
        &mut self,
        now: Instant,
        share: f64,
        utilization: Utilization,
    ) -> Option<f64> {
        let (Some(own), Some(others)) = (utilization.own, utilization.others) else {
            let is_high = utilization.own.is_some_and(|own| own >= NEED_UTILIZATION);
            return (is_high || self.recent_need(now).is_some()).then_some(0.0);
        };
        let step = self.step(now, share, (own, others));
        let needed_share = self.recent_need(now)?;
        // A share that is higher than what was needed stems from overflow while other regions had
        // no more room than this one, or from a loss of targets.
        step.or(Some((needed_share - share).min(0.0) - SLOW_RETURN_STEP))
    }

    /// Returns the share that was needed within [`NEED_LIFETIME`].
    fn recent_need(&self, now: Instant) -> Option<f64> {
        let (share, needed_at) = self.need?;
        (now.saturating_duration_since(needed_at) <= NEED_LIFETIME).then_some(share)
    }

    /// Returns the next change if one is needed, and records the need.
    fn step(&mut self, now: Instant, share: f64, (own, others): (f64, f64)) -> Option<f64> {
        let difference = own - others;
        if own < NEED_UTILIZATION || others >= MAX_UTILIZATION || difference < MIN_KEEP_DIFFERENCE {
            if let Some((share, _)) = &mut self.need {
                *share = (*share - SLOW_RETURN_STEP).max(0.0);
            }
            return None;
        }
        let excess = (1.0 - share) * (1.0 - MAX_UTILIZATION / own);
        let have_room = difference >= MIN_GROW_DIFFERENCE;
        let step = if excess > 0.0 && have_room {
            (excess * STEP_GAIN).min(MAX_STEP)
        } else {
            -SLOW_RETURN_STEP
        };
        self.need = Some((share + step, now));
        Some(step)
    }
}
