//! Enforces the rate limits that targets announce: requests ask for permission to send, and hosts
//! exchange the limits. A target's rate is shared out by a few hosts, its keepers.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use rand::seq::IteratorRandom;
use tokio::sync::oneshot;

use super::attempt::InFlight;
use super::{datagram, log, now, task, Host};
use crate::inventory::TargetKey;
use crate::port::Answer;
use crate::steer::fleet::Permission;
use crate::steer::throttle::{Assignment, Claim, Grant, Rate, RateUpdate};

/// Timeout of a claim to a keeper in the same region: some round trips between zones, and a busy
/// processor.
const NEAR_TIMEOUT: Duration = Duration::from_millis(60);
/// Timeout of a claim to a keeper in another region: a round trip between regions in addition.
const FAR_TIMEOUT: Duration = Duration::from_millis(250);
/// Rate limits that are repeated each time, drawn at random: as many as fit into a datagram.
const RATES_PER_REPEAT: usize = 64;

/// Claims that wait for an answer.
#[derive(Debug, Default)]
pub(crate) struct PendingClaims {
    by_number: RefCell<BTreeMap<u32, oneshot::Sender<()>>>,
}

/// Whether a request may be sent to a target now; if necessary, asks one of the target's keepers.
pub(crate) async fn request_permit(host: &Host, target: TargetKey, assignment: Assignment) -> bool {
    let answer = {
        let core = &mut *host.core.borrow_mut();
        core.fleet
            .request_permission(now(), (target, assignment), &mut core.rng)
    };
    let (keeper, claim) = match answer {
        Permission::Granted => return true,
        Permission::Denied => return false,
        Permission::Ask(keeper, claim) => (keeper, claim),
    };
    send_claim(host, &keeper, claim).await;
    let core = &mut *host.core.borrow_mut();
    core.fleet.use_grant(now(), target)
}

/// Whether a request may be sent to a target without asking a keeper.
pub(crate) fn is_permitted(host: &Host, target: TargetKey, assignment: Assignment) -> bool {
    let core = &mut *host.core.borrow_mut();
    let answer = core
        .fleet
        .request_permission(now(), (target, assignment), &mut core.rng);
    answer == Permission::Granted
}

/// Sends a claim to a keeper and waits until its answer has been applied or the timeout has passed.
async fn send_claim(host: &Host, keeper: &Arc<str>, claim: Claim) {
    let keeper_peer = {
        let core = host.core.borrow();
        let record = core.presence.peer(keeper);
        record.map(|record| (record.peers, core.presence.is_near(record)))
    };
    let Some((address, is_near)) = keeper_peer else {
        host.core
            .borrow_mut()
            .fleet
            .record_unanswered_claim(now(), keeper, &claim);
        return;
    };
    let (sender, answered) = oneshot::channel();
    host.pending_claims
        .by_number
        .borrow_mut()
        .insert(claim.0, sender);
    datagram::send_claim(host, claim, address).await;
    let timeout = if is_near { NEAR_TIMEOUT } else { FAR_TIMEOUT };
    let answer = tokio::time::timeout(timeout, answered).await;
    host.pending_claims.by_number.borrow_mut().remove(&claim.0);
    if answer.is_err() {
        spdlog::debug!("throttle: host {keeper} does not answer a claim");
        host.core
            .borrow_mut()
            .fleet
            .record_unanswered_claim(now(), keeper, &claim);
    }
}

/// Answers another host's claim.
pub(crate) async fn answer_claim(host: &Host, sender: SocketAddr, claim: &Claim) {
    let grant = host.core.borrow_mut().fleet.grant(now(), claim);
    datagram::send_grant(host, grant, sender).await;
}

/// Applies a keeper's answer, even a late one.
pub(crate) fn apply_grant(host: &Host, sender: SocketAddr, grant: &Grant) {
    let core = &mut *host.core.borrow_mut();
    let Some(keeper) = core.presence.peer_at(sender) else {
        return;
    };
    core.fleet.record_grant(now(), &keeper.host, grant);
    let waiting = host.pending_claims.by_number.borrow_mut().remove(&grant.0);
    if let Some(waiting) = waiting {
        // The waiting request may have given up.
        let _ = waiting.send(());
    }
}

/// Applies the rate limit in a target's answer, and informs all hosts if the target starts or stops
/// announcing one.
pub(crate) fn record_rate(host: &Rc<Host>, in_flight: &InFlight, answer: &Answer) {
    let rate = match &answer.rate {
        Rate::Named(rate) => Some(*rate),
        // An answer that rejects a request may omit the rate that other answers have.
        Rate::Absent if answer.not_run => return,
        Rate::Absent => None,
        Rate::Unreadable(text) => {
            log::unreadable_rate(host, in_flight.target, text);
            return;
        }
    };
    let update = {
        let fleet = &mut host.core.borrow_mut().fleet;
        fleet.observe_rate(now(), in_flight.target, in_flight.started_at, rate)
    };
    let Some(update) = update else {
        return;
    };
    if let Some(member) = host.core.borrow().fleet.member(in_flight.target) {
        log::target_rate(member.id(), rate, "answer");
    }
    let state = host.clone();
    task::spawn(host, "announcement", async move {
        let peers = datagram::peer_addresses(&state);
        datagram::send_rates(&state, &[update], &peers).await;
    });
}

/// Applies rate limits received from another host.
pub(crate) fn apply_rates(host: &Host, rates: &[RateUpdate]) {
    let fleet = &mut host.core.borrow_mut().fleet;
    for update in rates {
        if let Some(target) = fleet.merge_rate(now(), update) {
            log::target_rate(&target, update.1.map(f64::from), "host");
        }
    }
}

/// Sends the known rate limits to some hosts.
pub(crate) async fn send_rates(host: &Host, peers: &[SocketAddr]) {
    let rates: Vec<RateUpdate> = {
        let core = &mut *host.core.borrow_mut();
        core.fleet.expire_rates(now());
        let all = core.fleet.rate_updates(now());
        all.sample(&mut core.rng, RATES_PER_REPEAT)
    };
    if !rates.is_empty() {
        datagram::send_rates(host, &rates, peers).await;
    }
}
