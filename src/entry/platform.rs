//! The thread that talks to the platform: the configuration.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use super::core::{Event, Handle};
use super::revision::Revision;
use super::Error;
use crate::store::client::Client;
use crate::store::guard::Guard;
use crate::store::publication;

/// Pause after a failed call.
const PAUSE: Duration = Duration::from_millis(200);
/// How long one watch waits.
const WATCH: Duration = Duration::from_secs(5);

/// Starts the thread.
pub(crate) fn start(url: &str, core: Handle, stop: Arc<AtomicBool>) -> Result<(), Error> {
    let guard = Guard::new(Client::new(url));
    thread::Builder::new()
        .name("platform".into())
        .spawn(move || run(&guard, &core, &stop))?;
    Ok(())
}

fn run(guard: &Guard, core: &Handle, stop: &AtomicBool) {
    let mut revision = Revision::default();
    let mut after = 0;
    while !stop.load(Ordering::Relaxed) {
        if let Err(problem) = refresh(guard, core, &mut revision) {
            spdlog::warn!("config: {problem}");
            thread::sleep(PAUSE);
        }
        match guard.watch(publication::HEAD, after, WATCH) {
            Ok(events) => after = events.version,
            Err(error) => {
                spdlog::warn!("platform: {error}");
                thread::sleep(PAUSE);
            }
        }
    }
}

fn refresh(guard: &Guard, core: &Handle, revision: &mut Revision) -> Result<(), String> {
    let found = publication::fetch(guard, revision.fetched()).map_err(|e| e.to_string())?;
    let Some(fetched) = found else {
        return Ok(());
    };
    let catalog = revision.take(fetched).map_err(|e| e.to_string())?;
    spdlog::info!("config: revision {} is in force", catalog.revision);
    core.send(Event::Catalog(catalog));
    Ok(())
}
