//! The threads that all tasks of the stand-ins share.

use std::sync::OnceLock;

use tokio::runtime::{Builder, Handle, Runtime};

use crate::Error;

/// Threads for all links and listeners of a process: copying bytes keeps one busy at full rate, the
/// second one keeps a link's delay true meanwhile.
const THREADS: usize = 2;

/// The way to start tasks.
pub(crate) fn handle() -> Result<Handle, Error> {
    static RUNTIME: OnceLock<Runtime> = OnceLock::new();
    if let Some(runtime) = RUNTIME.get() {
        return Ok(runtime.handle().clone());
    }
    let runtime = Builder::new_multi_thread()
        .worker_threads(THREADS)
        .thread_name("standin")
        .enable_all()
        .build()
        .map_err(Error::Thread)?;
    // If another thread was faster, this one's runtime ends here without a task.
    Ok(RUNTIME.get_or_init(|| runtime).handle().clone())
}
