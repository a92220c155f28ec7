//! This host's links to the targets: notices when all of them are lost, and probes targets until
//! they are back.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use rand::seq::IteratorRandom;
use tokio::sync::Notify;

use super::log::{self, Event};
use super::{datagram, now, probe, Host};
use crate::control::presence;
use crate::inventory::TargetKey;

/// Interval of the probes while no target can be reached. Callers' requests take a detour until
/// the probes are answered.
const PROBE_INTERVAL: Duration = Duration::from_millis(200);
/// Targets that are probed at a time: enough for a single round to find the links back.
const TARGETS_PER_PROBE: usize = 2;

/// How long targets have to be within reach until look-ups name this host again. Callers that move
/// back and forth open new connections each time.
const NAMING_DELAY: Duration = Duration::from_secs(2);

/// The last known state of the links.
pub(crate) struct Links {
    reaches_targets: Cell<bool>,
    lost: Notify,
}

impl Links {
    pub(crate) fn new() -> Self {
        Self {
            reaches_targets: Cell::new(true),
            lost: Notify::new(),
        }
    }
}

/// Logs a change of whether this host reaches targets, and starts the probes if it does not.
pub(crate) fn update(host: &Host) {
    let reaches_targets = host.core.borrow().fleet.reaches_targets();
    if host.links.reaches_targets.replace(reaches_targets) == reaches_targets {
        return;
    }
    if reaches_targets {
        log::links_changed(Event::TargetsReached);
    } else {
        log::links_changed(Event::TargetsLost);
        host.links.lost.notify_one();
    }
}

/// Whenever the links are lost, probes targets until they are back, and announces that this host
/// can't reach targets.
pub(crate) async fn run(host: Rc<Host>) {
    loop {
        host.links.lost.notified().await;
        if host.links.reaches_targets.get() {
            continue;
        }
        tokio::select! {
            () = announce(&host) => {}
            () = probe_until_back(&host) => {}
        }
        host.core.borrow_mut().presence.set_cut_off(false);
        datagram::send_cut_off(&host, false).await;
    }
}

/// Announces periodically that this host can't reach targets.
async fn announce(host: &Host) {
    host.core.borrow_mut().presence.set_cut_off(true);
    loop {
        datagram::send_cut_off(host, true).await;
        tokio::time::sleep(presence::INTERVAL).await;
    }
}

/// Probes targets until they have been within reach for [`NAMING_DELAY`].
async fn probe_until_back(host: &Rc<Host>) {
    let mut back_at = None;
    loop {
        if !host.links.reaches_targets.get() {
            back_at = None;
            probe_targets(host).await;
        } else if now() >= *back_at.get_or_insert_with(now) + NAMING_DELAY {
            return;
        }
        tokio::time::sleep(PROBE_INTERVAL).await;
    }
}

async fn probe_targets(host: &Rc<Host>) {
    let targets: Vec<TargetKey> = {
        let core = &mut *host.core.borrow_mut();
        core.fleet
            .probe_candidates()
            .sample(&mut core.rng, TARGETS_PER_PROBE)
    };
    let probes = targets.into_iter().map(|target| async move {
        if probe::is_answered(host, target).await {
            host.core
                .borrow_mut()
                .fleet
                .record_probe_answer(now(), target);
            update(host);
        }
    });
    futures_util::future::join_all(probes).await;
}
