//! The thread that talks to the platform: the configuration.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use super::core::{Event, Handle};
use super::Error;
use crate::border::objects;
use crate::catalog::Catalog;
use crate::config::{check, Folder};
use crate::store::client::{Client, Error as StoreError};

/// Pause after a failed call.
const PAUSE: Duration = Duration::from_millis(200);
/// How long one watch waits.
const WATCH: Duration = Duration::from_secs(5);

/// Starts the thread.
pub(crate) fn start(url: &str, core: Handle, stop: Arc<AtomicBool>) -> Result<(), Error> {
    let client = Client::new(url);
    thread::Builder::new()
        .name("platform".into())
        .spawn(move || run(&client, &core, &stop))?;
    Ok(())
}

fn run(client: &Client, core: &Handle, stop: &AtomicBool) {
    let mut catalog = Arc::new(Catalog::default());
    let mut after = 0;
    while !stop.load(Ordering::Relaxed) {
        match fetch(client, &catalog) {
            Ok(Some(next)) => {
                catalog = Arc::new(next);
                spdlog::info!("config: revision {} is in force", catalog.revision);
                core.send(Event::Catalog(catalog.clone()));
            }
            Ok(None) => {}
            Err(problem) => {
                spdlog::warn!("config: {problem}");
                thread::sleep(PAUSE);
            }
        }
        match client.watch("config/head", after, WATCH) {
            Ok(events) => after = events.version,
            Err(error) => {
                spdlog::warn!("platform: {error}");
                thread::sleep(PAUSE);
            }
        }
    }
}

fn fetch(client: &Client, known: &Catalog) -> Result<Option<Catalog>, String> {
    let text = |error: StoreError| error.to_string();
    let Some(head) = client.get("config/head").map_err(text)? else {
        return Ok(None);
    };
    let head = head.typed::<objects::Head>().map_err(text)?.value;
    if head.revision.get() <= known.revision {
        return Ok(None);
    }
    let mut files = BTreeMap::new();
    for (name, hash) in &head.files {
        let key = format!("config/file/{hash}");
        let file = client.get(&key).map_err(text)?;
        let file = file.ok_or_else(|| format!("{key} is missing"))?;
        let file = file.typed::<objects::File>().map_err(text)?.value;
        files.insert(name.as_str().into(), file.text.into());
    }
    let configuration = check(&Folder::with_files(files)).map_err(|faults| faults.to_string())?;
    known
        .with_revision(head.revision.get(), &configuration)
        .map(Some)
        .map_err(|error| error.to_string())
}
