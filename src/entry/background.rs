//! Work that must not keep anyone waiting: second copies, cancellations.
//!
//! A small pool does it, behind a bounded queue. What finds the queue full is dropped: a hedge is then
//! not sent, and a cancelled request runs to its end.

use std::net::SocketAddr;
use std::sync::{Arc, Weak};
use std::thread;
use std::time::Duration;

use crossbeam_channel::{bounded, Receiver, Sender};

use super::call::Call;
use super::core::Event;
use super::{Error, Shared};
use crate::steer::group;

/// Threads of the pool.
const THREADS: usize = 16;
/// Work that may wait.
const BACKLOG: usize = 256;
/// Time for telling a target that a request is cancelled.
const CANCEL_TIME: Duration = Duration::from_millis(500);

/// A piece of work.
pub(crate) enum Later {
    /// Send a second copy of a request.
    Hedge(Arc<Call>, group::Grant),
    /// Tell a target that a request is no longer waited for.
    Cancel(SocketAddr, String),
    /// The host that relayed a request gave it up.
    Abandon(Arc<Call>),
}

/// The queue's end for those who have work.
pub(crate) type Queue = Sender<Later>;

/// The queue, and the end that the threads will read.
pub(crate) fn queue() -> (Queue, Receiver<Later>) {
    bounded(BACKLOG)
}

/// Starts the threads. They end when the queue's senders are gone.
pub(crate) fn start(shared: &Arc<Shared>, work: &Receiver<Later>) -> Result<(), Error> {
    for index in 0..THREADS {
        let shared = Arc::downgrade(shared);
        let work = work.clone();
        thread::Builder::new()
            .name(format!("later-{index}"))
            .spawn(move || run(&shared, &work))?;
    }
    Ok(())
}

fn run(shared: &Weak<Shared>, work: &Receiver<Later>) {
    for piece in work {
        let Some(shared) = shared.upgrade() else {
            return;
        };
        match piece {
            Later::Hedge(call, grant) => call.hedge(&shared, grant),
            Later::Cancel(address, id) => shared.targets.cancel(address, &id, CANCEL_TIME),
            Later::Abandon(call) => call.abandon(&shared),
        }
    }
}

/// Hands a grant back that found no thread to use it.
pub(crate) fn give_back(core: &super::core::Handle, piece: Later) {
    if let Later::Hedge(_, grant) = piece {
        core.send(Event::Finish(grant, group::Report::unused()));
    }
}
