//! Reading the settings again on SIGHUP.
//!
//! Bounds are taken over; addresses and places stay as they were until the next start, which the log says.

use std::path::PathBuf;
use std::rc::Rc;

use tokio::signal::unix::{signal, SignalKind};

use super::log::Event;
use super::Host;
use crate::port::Settings;

/// Reads the settings at `path` on each SIGHUP from now on.
pub(crate) async fn run(host: Rc<Host>, path: PathBuf) {
    let mut hangup = match signal(SignalKind::hangup()) {
        Ok(hangup) => hangup,
        Err(error) => {
            spdlog::error!("reload: no notice of SIGHUP, it will end the process: {error}");
            return;
        }
    };
    while hangup.recv().await.is_some() {
        match (host.platform.settings)(&path) {
            Ok(settings) => take(&host, settings),
            Err(error) => spdlog::error!("reload: the settings stay as they were", kv: {
                event = Event::Unchanged.as_str(),
                error = error.to_string().as_str()
            }),
        }
    }
}

fn take(host: &Host, settings: Settings) {
    host.core.borrow_mut().set_bounds(settings.bounds);
    let rest = Settings {
        bounds: host.settings.bounds,
        ..settings
    };
    let whole = rest == host.settings;
    spdlog::info!("reload: the bounds are in force, anything else at the next start", kv: {
        event = Event::Reloaded.as_str(),
        whole
    });
}
