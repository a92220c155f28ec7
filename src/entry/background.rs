//! Background tasks that must not delay other threads: hedges and cancellations.
//!
//! A small pool of threads runs them from a bounded queue. A task is dropped if the queue is full: its
//! hedge is then not sent, and a request that should be cancelled runs to its end.

use std::net::SocketAddr;
use std::sync::{Arc, Weak};
use std::time::Duration;

use crossbeam_channel::{bounded, Receiver, Sender};

use super::call::Call;
use super::core::Event;
use super::{Error, Shared};
use crate::steer::group;
use crate::supervisor::Supervisor;

/// Threads of the pool.
const THREADS: usize = 16;
/// Maximum number of queued tasks.
const MAX_QUEUED_TASKS: usize = 256;
/// Time limit of the call that cancels a request at a target.
const CANCEL_TIMEOUT: Duration = Duration::from_millis(500);

/// A task for the pool.
pub(crate) enum BackgroundTask {
    /// Send the hedge of a request to the target that was granted.
    Hedge(Arc<Call>, group::Grant),
    /// Cancel a request at a target.
    Cancel(SocketAddr, String),
    /// End a request that the host that relayed it has cancelled.
    Abandon(Arc<Call>),
}

/// The sending end of the task queue.
pub(crate) type TaskSender = Sender<BackgroundTask>;

/// Creates the task queue.
pub(crate) fn task_queue() -> (TaskSender, Receiver<BackgroundTask>) {
    bounded(MAX_QUEUED_TASKS)
}

/// Starts the threads. They end when all senders of the queue are dropped.
pub(crate) fn start(
    shared: &Arc<Shared>,
    tasks: &Receiver<BackgroundTask>,
    supervisor: &Supervisor,
) -> Result<(), Error> {
    for index in 0..THREADS {
        let shared = Arc::downgrade(shared);
        let tasks = tasks.clone();
        let supervisor = supervisor.clone();
        supervisor
            .clone()
            .spawn(format!("later-{index}"), move || {
                run(&shared, &tasks, &supervisor)
            })?;
    }
    Ok(())
}

fn run(shared: &Weak<Shared>, tasks: &Receiver<BackgroundTask>, supervisor: &Supervisor) {
    for task in tasks {
        let Some(shared) = shared.upgrade() else {
            return;
        };
        supervisor.catch("background", || match task {
            BackgroundTask::Hedge(call, grant) => call.run_hedge(&shared, grant),
            BackgroundTask::Cancel(address, id) => {
                shared.targets.cancel(address, &id, CANCEL_TIMEOUT)
            }
            BackgroundTask::Abandon(call) => call.abandon(&shared),
        });
    }
}

/// Returns the grant of a dropped hedge to the core.
pub(crate) fn return_grant(core: &super::core::Handle, task: BackgroundTask) {
    if let BackgroundTask::Hedge(_, grant) = task {
        core.send(Event::TargetFinished(grant, group::Report::unused()));
    }
}
