//! This host's links to the targets: finds out whether all of them are lost, and announces that to
//! other hosts until they are back.

use std::cell::Cell;
use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;

use rand::seq::IteratorRandom;
use tokio::sync::Notify;

use super::log::{self, Event};
use super::{datagram, now, probe, task, Host};
use crate::control::presence;
use crate::inventory::TargetKey;
use crate::steer::reach::MAX_FAILED_TARGETS;

/// Interval of the probes while no target can be reached. Callers' requests take a detour until
/// targets accept them.
const PROBE_INTERVAL: Duration = Duration::from_millis(200);
/// How long targets have to be within reach until look-ups name this host again. Callers that move
/// back and forth open new connections each time.
const NAMING_DELAY: Duration = Duration::from_secs(2);

/// The last known state of the links.
pub(crate) struct Links {
    reaches_targets: Cell<bool>,
    is_suspected: Cell<bool>,
    suspected: Notify,
}

impl Links {
    pub(crate) fn new() -> Self {
        Self {
            reaches_targets: Cell::new(true),
            is_suspected: Cell::new(false),
            suspected: Notify::new(),
        }
    }
}

/// Logs a change of whether this host reaches targets, and starts probes once it may not.
pub(crate) fn update(host: &Host) {
    let (reaches_targets, is_suspected) = {
        let fleet = &host.core.borrow().fleet;
        (fleet.reaches_targets(), fleet.suspects_links())
    };
    if !host.links.is_suspected.replace(is_suspected) && is_suspected {
        host.links.suspected.notify_one();
    }
    if host.links.reaches_targets.replace(reaches_targets) != reaches_targets {
        log::links_changed(if reaches_targets {
            Event::TargetsReached
        } else {
            Event::TargetsLost
        });
    }
}

/// Probes targets whenever the links may be lost. If they are, announces that this host can't reach
/// targets, until they are back.
pub(crate) fn start(host: &Rc<Host>) {
    task::start(host, "links", run);
}

async fn run(host: Rc<Host>) -> Infallible {
    loop {
        // A task that replaces a failed one may begin in any state.
        while host.links.reaches_targets.get() && !host.links.is_suspected.get() {
            host.links.suspected.notified().await;
        }
        while host.links.is_suspected.get() {
            probe_targets(&host).await;
        }
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
        } else if host.links.is_suspected.get() {
            probe_targets(host).await;
        } else if now() >= *back_at.get_or_insert_with(now) + NAMING_DELAY {
            return;
        }
        tokio::time::sleep(PROBE_INTERVAL).await;
    }
}

/// Probes some targets at a time and records the results.
async fn probe_targets(host: &Rc<Host>) {
    let targets: Vec<TargetKey> = {
        let core = &mut *host.core.borrow_mut();
        let candidates = core.fleet.probe_candidates().into_iter();
        candidates.sample(&mut core.rng, MAX_FAILED_TARGETS)
    };
    if targets.is_empty() {
        tokio::time::sleep(PROBE_INTERVAL).await;
    }
    let probes = targets.into_iter().map(|target| async move {
        let is_answered = probe::is_connectable(host, target).await;
        let fleet = &mut host.core.borrow_mut().fleet;
        fleet.record_probe(now(), target, is_answered);
    });
    futures_util::future::join_all(probes).await;
    update(host);
}
