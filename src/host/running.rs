//! Attempts of one request that run at targets. One is given up only once another one is answered:
//! a target that has sent no answer for a while may be about to send it.

use std::cell::RefCell;
use std::collections::{BTreeSet, VecDeque};
use std::future::{poll_fn, Future};
use std::pin::{pin, Pin};
use std::rc::Rc;
use std::task::Poll;

use tokio::sync::Notify;

use super::attempt::{InFlight, Outcome};

/// Number of an attempt among those of its request.
pub(crate) type Index = usize;

/// An attempt that has ended.
pub(crate) struct Ended {
    pub(crate) index: Index,
    pub(crate) in_flight: InFlight,
    pub(crate) outcome: Outcome,
}

impl Ended {
    /// Whether its target answered, with no server error.
    pub(crate) fn is_answered(&self) -> bool {
        matches!(self.outcome, Outcome::Answered(_))
    }
}

/// Keeps which attempts of a request are at targets that count as silent.
#[derive(Default)]
pub(crate) struct Monitor {
    attempts: RefCell<BTreeSet<Index>>,
    changed: Notify,
}

impl Monitor {
    /// Records whether an attempt's target counts as silent now.
    pub(crate) fn set(&self, index: Index, is_silent: bool) {
        let attempts = &mut *self.attempts.borrow_mut();
        if is_silent {
            attempts.insert(index);
        } else {
            attempts.remove(&index);
        }
    }

    /// Has another target tried, if one may be.
    pub(crate) fn notify(&self) {
        self.changed.notify_one();
    }

    fn is_any(&self) -> bool {
        !self.attempts.borrow().is_empty()
    }

    /// Whether an attempt's target counted as silent lately.
    pub(crate) fn contains(&self, index: Index) -> bool {
        self.attempts.borrow().contains(&index)
    }
}

/// The attempts of a request that run now, and those that have ended unnoticed.
#[derive(Default)]
pub(crate) struct Attempts<'a> {
    running: Vec<Pin<Box<dyn Future<Output = Ended> + 'a>>>,
    ended: VecDeque<Ended>,
    pub(crate) monitor: Rc<Monitor>,
}

impl<'a> Attempts<'a> {
    /// Whether there is none to wait for.
    pub(crate) fn is_empty(&self) -> bool {
        self.running.is_empty() && self.ended.is_empty()
    }

    /// Adds an attempt.
    pub(crate) fn push(&mut self, attempt: Pin<Box<dyn Future<Output = Ended> + 'a>>) {
        self.running.push(attempt);
    }

    /// Ends all attempts.
    pub(crate) fn give_up(&mut self) {
        self.running.clear();
        self.ended.clear();
    }

    /// Runs `step` to its end, unless an attempt is answered before.
    ///
    /// # Errors
    ///
    /// The attempt that was answered.
    pub(crate) async fn race<T>(&mut self, step: impl Future<Output = T>) -> Result<T, Ended> {
        let mut step = pin!(step);
        loop {
            let ended = tokio::select! {
                biased;
                ended = end(&mut self.running) => ended,
                output = &mut step => return Ok(output),
            };
            if ended.is_answered() {
                return Err(ended);
            }
            self.ended.push_back(ended);
        }
    }

    /// Waits until an attempt ends, which is returned, or the target of one counts as silent. There
    /// has to be an attempt.
    pub(crate) async fn next(&mut self) -> Option<Ended> {
        if let Some(ended) = self.ended.pop_front() {
            return Some(ended);
        }
        loop {
            tokio::select! {
                biased;
                ended = end(&mut self.running) => return Some(ended),
                () = self.monitor.changed.notified() => {}
            }
            if self.monitor.is_any() {
                return None;
            }
        }
    }
}

/// Waits until one of the attempts has ended, which is removed; without attempts for ever.
async fn end(running: &mut Vec<Pin<Box<dyn Future<Output = Ended> + '_>>>) -> Ended {
    poll_fn(|context| {
        for index in 0..running.len() {
            if let Poll::Ready(ended) = running[index].as_mut().poll(context) {
                drop(running.swap_remove(index));
                return Poll::Ready(ended);
            }
        }
        Poll::Pending
    })
    .await
}
