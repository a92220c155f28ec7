//! Rates that targets name: what a request under way waits for and tells, and what hosts tell each other.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use rand::seq::IteratorRandom;
use tokio::sync::oneshot;

use super::exchange::Grant as Held;
use super::{beat, log, now, Host};
use crate::inventory::TargetKey;
use crate::port::Answer;
use crate::steer::fleet::Leave;
use crate::steer::throttle::{Claim, Fit, Grant, News, Rate};

/// How long a keeper of the own region may take to answer: some round trips between zones, and a busy processor.
const NEAR: Duration = Duration::from_millis(60);
/// How long one of another region may take: a round trip between regions beside that.
const FAR: Duration = Duration::from_millis(250);
/// Targets that are told of each time, drawn anew: a datagram's worth.
const REPEATED: usize = 64;

/// Claims that wait for an answer.
#[derive(Debug, Default)]
pub(crate) struct Claims {
    waiting: RefCell<BTreeMap<u32, oneshot::Sender<()>>>,
}

/// Whether a request may be sent to a target now; asks one of the target's keepers if need be.
pub(crate) async fn permit(host: &Host, target: TargetKey, fit: Fit) -> bool {
    let leave = {
        let core = &mut *host.core.borrow_mut();
        core.fleet.leave(now(), (target, fit), &mut core.rng)
    };
    let (keeper, claim) = match leave {
        Leave::Given => return true,
        Leave::Refused => return false,
        Leave::Ask(keeper, claim) => (keeper, claim),
    };
    ask(host, &keeper, claim).await;
    let core = &mut *host.core.borrow_mut();
    core.fleet.take_leave(now(), target)
}

/// Whether a request may be sent to a target without asking anybody.
pub(crate) fn has_leave(host: &Host, target: TargetKey, fit: Fit) -> bool {
    let core = &mut *host.core.borrow_mut();
    let leave = core.fleet.leave(now(), (target, fit), &mut core.rng);
    leave == Leave::Given
}

/// Asks a keeper and waits for its answer, which is taken in as it comes.
async fn ask(host: &Host, keeper: &Arc<str>, claim: Claim) {
    let place = {
        let core = host.core.borrow();
        let record = core.presence.peer(keeper);
        record.map(|record| (record.peers, core.presence.is_near(record)))
    };
    let Some((address, is_near)) = place else {
        host.core
            .borrow_mut()
            .fleet
            .unanswered(now(), keeper, &claim);
        return;
    };
    let (sender, answered) = oneshot::channel();
    host.claims.waiting.borrow_mut().insert(claim.0, sender);
    beat::claim(host, claim, address).await;
    let patience = if is_near { NEAR } else { FAR };
    let answer = tokio::time::timeout(patience, answered).await;
    host.claims.waiting.borrow_mut().remove(&claim.0);
    if answer.is_err() {
        spdlog::debug!("throttle: {keeper} does not answer a claim");
        host.core
            .borrow_mut()
            .fleet
            .unanswered(now(), keeper, &claim);
    }
}

/// Answers another host's claim.
pub(crate) async fn answer(host: &Host, sender: SocketAddr, claim: &Claim) {
    let grant = host.core.borrow_mut().fleet.grant(now(), claim);
    beat::grant(host, grant, sender).await;
}

/// Takes in a keeper's answer, also one that comes late.
pub(crate) fn granted(host: &Host, sender: SocketAddr, grant: &Grant) {
    let core = &mut *host.core.borrow_mut();
    let Some(keeper) = core.presence.peer_at(sender) else {
        return;
    };
    core.fleet.granted(now(), &keeper.host, grant);
    let waiting = host.claims.waiting.borrow_mut().remove(&grant.0);
    if let Some(waiting) = waiting {
        // Whoever waited may have given up.
        let _ = waiting.send(());
    }
}

/// Takes in what a target's answer says of its rate, and tells all hosts if it begins or ends to name one.
pub(crate) fn note(host: &Rc<Host>, held: &Held, told: &Answer) {
    let rate = match &told.rate {
        Rate::Named(rate) => Some(*rate),
        // What refuses a request may leave out what other answers say.
        Rate::Absent if told.not_run => return,
        Rate::Absent => None,
        Rate::Unreadable(text) => {
            log::unreadable_rate(host, held.target, text);
            return;
        }
    };
    let news = {
        let fleet = &mut host.core.borrow_mut().fleet;
        fleet.state(now(), held.target, held.begun, rate)
    };
    let Some(news) = news else {
        return;
    };
    if let Some(member) = host.core.borrow().fleet.member(held.target) {
        log::rate(member.id(), rate, "answer");
    }
    let host = host.clone();
    tokio::task::spawn_local(async move {
        let peers = beat::all(&host);
        beat::send_rates(&host, &[news], &peers).await;
    });
}

/// Takes in what another host knows.
pub(crate) fn hear(host: &Host, news: &[News]) {
    let fleet = &mut host.core.borrow_mut().fleet;
    for news in news {
        if let Some(target) = fleet.hear(now(), news) {
            log::rate(&target, news.1.map(f64::from), "host");
        }
    }
}

/// Tells hosts which targets name rates.
pub(crate) async fn tell(host: &Host, peers: &[SocketAddr]) {
    let news: Vec<News> = {
        let core = &mut *host.core.borrow_mut();
        core.fleet.expire_rates(now());
        let all = core.fleet.news(now());
        all.sample(&mut core.rng, REPEATED)
    };
    if !news.is_empty() {
        beat::send_rates(host, &news, peers).await;
    }
}
