//! Reads the settings again on SIGHUP.
//!
//! Changed bounds are applied; addresses and zones stay as they were until the next start, which is
//! logged.

use std::convert::Infallible;
use std::path::{Path, PathBuf};
use std::rc::Rc;

use tokio::signal::unix::{signal, SignalKind};

use super::log::Event;
use super::{task, Host};
use crate::port::Settings;

/// Reads the settings at `path` on each SIGHUP.
pub(crate) fn start(host: &Rc<Host>, path: &Path) {
    let path = path.to_owned();
    task::start(host, "reload", move |host| run(host, path.clone()));
}

async fn run(host: Rc<Host>, path: PathBuf) -> Infallible {
    let mut hangup = match signal(SignalKind::hangup()) {
        Ok(hangup) => hangup,
        Err(error) => {
            spdlog::error!("reload: cannot handle SIGHUP, which will end the process: {error}");
            return std::future::pending().await;
        }
    };
    loop {
        if hangup.recv().await.is_none() {
            return std::future::pending().await;
        }
        match (host.platform.settings)(&path) {
            Ok(settings) => apply(&host, settings),
            Err(error) => {
                spdlog::error!("reload: the settings are invalid and stay as they were", kv: {
                    event = Event::SettingsUnchanged.as_str(),
                    error = error.to_string().as_str()
                })
            }
        }
    }
}

fn apply(host: &Host, settings: Settings) {
    host.core.borrow_mut().set_bounds(settings.bounds);
    let rest = Settings {
        bounds: host.settings.bounds,
        ..settings
    };
    let whole = rest == host.settings;
    spdlog::info!("reload: the bounds are in force, other changes take effect at the next start", kv: {
        event = Event::SettingsReloaded.as_str(),
        whole
    });
}
