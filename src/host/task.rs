//! Tasks of a host, none of which ends unnoticed.
//!
//! A panic ends only the task that it occurs in, not the process. So a panic is logged and counted,
//! and a task that the host needs for as long as it runs is started again.

use std::any::Any;
use std::collections::BTreeMap;
use std::convert::Infallible;
use std::future::Future;
use std::panic::AssertUnwindSafe;
use std::rc::Rc;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use futures_util::FutureExt;
use tokio::sync::Notify;
use tokio::task::AbortHandle;

use super::{log, now, Host};
use crate::panic;

/// Pause before a failed task is started again, which doubles with each further failure.
const MIN_PAUSE: Duration = Duration::from_millis(50);
const MAX_PAUSE: Duration = Duration::from_secs(1);
/// How long a task has to run until its next failure counts as the first one.
const SOUND_TIME: Duration = Duration::from_secs(10);

/// The tasks that a host runs for as long as it lives. Other threads can make them fail, to test
/// what depends on them.
#[derive(Clone, Debug, Default)]
pub struct Tasks {
    requests: Arc<Mutex<BTreeMap<&'static str, Arc<Notify>>>>,
}

impl Tasks {
    /// Returns the names of all tasks that have been started.
    pub fn names(&self) -> Vec<&'static str> {
        self.requests().keys().copied().collect()
    }

    /// Makes a task panic as soon as it is polled.
    pub fn fail(&self, name: &str) {
        if let Some(request) = self.requests().get(name) {
            request.notify_one();
        }
    }

    fn requests(&self) -> MutexGuard<'_, BTreeMap<&'static str, Arc<Notify>>> {
        self.requests.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the signal that makes the task `name` fail.
    fn request(&self, name: &'static str) -> Arc<Notify> {
        self.requests().entry(name).or_default().clone()
    }
}

/// Aborts a task when dropped.
pub(super) struct AbortGuard(AbortHandle);

impl AbortGuard {
    /// Whether the task has ended.
    pub(super) fn is_finished(&self) -> bool {
        self.0.is_finished()
    }
}

impl From<AbortHandle> for AbortGuard {
    fn from(handle: AbortHandle) -> Self {
        Self(handle)
    }
}

impl Drop for AbortGuard {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// Runs a future to completion. Returns `None` if it panics, which is logged and counted under
/// `name`.
pub(super) async fn catch<T>(
    host: &Host,
    name: &'static str,
    future: impl Future<Output = T>,
) -> Option<T> {
    match AssertUnwindSafe(future).catch_unwind().await {
        Ok(output) => Some(output),
        Err(panic) => {
            record_panic(host, name, panic);
            None
        }
    }
}

/// Runs a task of limited duration in the background.
pub(super) fn spawn(
    host: &Rc<Host>,
    name: &'static str,
    future: impl Future<Output = ()> + 'static,
) -> AbortHandle {
    let host = host.clone();
    let task = async move {
        catch(&host, name, future).await;
    };
    tokio::task::spawn_local(task).abort_handle()
}

/// Runs a task of limited duration in the background, which can be made to fail like a supervised
/// one.
pub(super) fn spawn_failing_on_request(
    host: &Rc<Host>,
    name: &'static str,
    future: impl Future<Output = ()> + 'static,
) -> AbortGuard {
    let request = host.tasks.request(name);
    spawn(host, name, fail_on_request(request, future)).into()
}

/// Completes a future, or panics as soon as that is requested.
async fn fail_on_request<T>(request: Arc<Notify>, future: impl Future<Output = T>) -> T {
    tokio::select! {
        output = future => output,
        () = request.notified() => panic!("made to fail"),
    }
}

/// Runs a task in the background that never ends, and starts it again if it panics.
pub(super) fn supervise<F, T>(host: &Rc<Host>, name: &'static str, start: F) -> AbortGuard
where
    F: Fn(Rc<Host>) -> T + 'static,
    T: Future<Output = Infallible> + 'static,
{
    let host = host.clone();
    let request = host.tasks.request(name);
    let task = async move {
        let mut pause = MIN_PAUSE;
        loop {
            let started_at = now();
            let task = fail_on_request(request.clone(), start(host.clone()));
            if let Some(never) = catch(&host, name, task).await {
                match never {}
            }
            if now().saturating_duration_since(started_at) > SOUND_TIME {
                pause = MIN_PAUSE;
            }
            tokio::time::sleep(pause).await;
            pause = (pause * 2).min(MAX_PAUSE);
        }
    };
    AbortGuard(tokio::task::spawn_local(task).abort_handle())
}

/// Runs a supervised task until the process ends.
pub(super) fn start<F, T>(host: &Rc<Host>, name: &'static str, start: F)
where
    F: Fn(Rc<Host>) -> T + 'static,
    T: Future<Output = Infallible> + 'static,
{
    std::mem::forget(supervise(host, name, start));
}

/// Runs a supervised task until idle connections are closed at the host's shutdown.
pub(super) fn start_until_close<F, T>(host: &Rc<Host>, name: &'static str, start: F)
where
    F: Fn(Rc<Host>) -> T + 'static,
    T: Future<Output = Infallible> + 'static,
{
    let task = supervise(host, name, start);
    let host = host.clone();
    tokio::task::spawn_local(async move {
        host.shutdown.wait_for_close().await;
        drop(task);
    });
}

/// Logs and counts a panic that ended the task `name`.
fn record_panic(host: &Host, name: &'static str, panic: Box<dyn Any + Send>) {
    host.metrics.count_task_failure(name);
    log::task_failed(host, name, &panic::describe(&*panic));
}
