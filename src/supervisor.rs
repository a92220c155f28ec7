//! Threads that are not lost by a panic.
//!
//! A panic ends only the thread that it occurs in, not the process. So it is reported, and the
//! thread goes on with its next piece of work or starts again.

use std::fmt;
use std::io;
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::panic;

/// Pause before a failed thread starts again, which doubles with each further failure.
const MIN_PAUSE: Duration = Duration::from_millis(50);
const MAX_PAUSE: Duration = Duration::from_secs(1);
/// How long a thread has to run until its next failure counts as the first one.
const SOUND_TIME: Duration = Duration::from_secs(10);

/// Called with the name of what has failed, and the message and place of the panic.
type Report = dyn Fn(&str, &str) + Send + Sync;

/// Starts threads and reports their panics.
#[derive(Clone)]
pub struct Supervisor {
    report: Arc<Report>,
}

impl fmt::Debug for Supervisor {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Supervisor")
    }
}

impl Supervisor {
    /// Creates a supervisor that calls `report` with the name of each thread or piece of work that
    /// panicked, and the message and place of the panic.
    pub fn new(report: impl Fn(&str, &str) + Send + Sync + 'static) -> Self {
        Self {
            report: Arc::new(report),
        }
    }

    /// Reports a failure.
    pub fn report(&self, name: &str, reason: &str) {
        (self.report)(name, reason);
    }

    /// Does a piece of work. Returns `None` if it panics, which is reported under `name`.
    pub fn catch<T>(&self, name: &str, work: impl FnOnce() -> T) -> Option<T> {
        let result = catch_unwind(AssertUnwindSafe(work));
        result
            .map_err(|panic| self.report(name, &panic::describe(&*panic)))
            .ok()
    }

    /// Starts a thread that calls `run` until it returns, and again if it panics.
    ///
    /// # Errors
    ///
    /// The operating system can't start the thread.
    pub fn spawn(
        &self,
        name: impl Into<String>,
        mut run: impl FnMut() + Send + 'static,
    ) -> io::Result<()> {
        let (supervisor, name) = (self.clone(), name.into());
        let thread = thread::Builder::new().name(name.clone());
        thread.spawn(move || {
            let mut pause = MIN_PAUSE;
            loop {
                let started = Instant::now();
                if supervisor.catch(&name, &mut run).is_some() {
                    return;
                }
                if started.elapsed() > SOUND_TIME {
                    pause = MIN_PAUSE;
                }
                thread::sleep(pause);
                pause = (pause * 2).min(MAX_PAUSE);
            }
        })?;
        Ok(())
    }
}
