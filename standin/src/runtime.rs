//! The tokio runtime that all stand-ins of a process share.

use std::sync::OnceLock;

use tokio::runtime::{Builder, Handle, Runtime};

use crate::Error;

/// Threads for all links and listeners of a process. Copying bytes at full rate keeps one of them busy; the second one
/// keeps the delays of links accurate meanwhile.
const WORKER_THREADS: usize = 2;

/// A handle of the shared runtime, which the first call starts.
pub(crate) fn handle() -> Result<Handle, Error> {
    static RUNTIME: OnceLock<Runtime> = OnceLock::new();
    if let Some(runtime) = RUNTIME.get() {
        return Ok(runtime.handle().clone());
    }
    let runtime = Builder::new_multi_thread()
        .worker_threads(WORKER_THREADS)
        .thread_name("standin")
        .enable_all()
        .build()
        .map_err(Error::Thread)?;
    // If another thread has set its runtime meanwhile, this one is dropped before it has any task.
    Ok(RUNTIME.get_or_init(|| runtime).handle().clone())
}
