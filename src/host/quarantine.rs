//! Tracks requests suspected to crash targets: asks the quarantine before a request is sent,
//! records how each attempt ended, and exchanges notices with other hosts.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use super::attempt::InFlight;
use super::exchange::Exchange;
use super::{datagram, log, now, task, Host};
use crate::steer::fingerprint::Fingerprint;
use crate::steer::fleet::End;
use crate::steer::quarantine::{Notice, OutgoingNotices, Verdict, MAX_VERDICT_WAIT};

/// Interval at which a waiting request checks again.
const CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Permission to send a request that is suspected to crash targets; released when dropped.
pub(crate) struct Permit<'a> {
    host: &'a Host,
    fingerprint: Fingerprint,
}

impl Drop for Permit<'_> {
    fn drop(&mut self) {
        let core = &mut *self.host.core.borrow_mut();
        core.quarantine.finish(self.fingerprint);
    }
}

/// A request is suspected to crash targets and is not sent again.
pub(crate) struct Suspected;

/// Waits until a request may be sent. Returns a permit for a suspected request, or the retry delay
/// of a quarantined one as an error.
pub(crate) async fn wait_for_permit<'a>(
    host: &'a Rc<Host>,
    exchange: &Exchange,
) -> Result<Option<Permit<'a>>, Duration> {
    let fingerprint = exchange.fingerprint;
    let deadline = (now() + MAX_VERDICT_WAIT).min(exchange.deadline);
    loop {
        let (verdict, changed) = host.core.borrow_mut().quarantine.check(now(), fingerprint);
        if let Some(notice) = changed {
            broadcast(host, notice);
        }
        match verdict {
            Verdict::Allowed => return Ok(None),
            Verdict::Isolated => return Ok(Some(Permit { host, fingerprint })),
            Verdict::Wait if now() >= deadline => return Ok(None),
            Verdict::Wait => tokio::time::sleep(CHECK_INTERVAL).await,
            Verdict::Refused(pause) => return Err(pause),
        }
    }
}

/// Waits until a request may be sent again. Returns `Err` if it is suspected and was not about to be
/// cleared; `held` is the permit of its last attempt, whose holder would wait for itself.
pub(crate) async fn wait_for_retry<'a>(
    host: &'a Rc<Host>,
    exchange: &Exchange,
    held: Option<&Permit<'_>>,
) -> Result<Option<Permit<'a>>, Suspected> {
    let verdict = {
        let quarantine = &host.core.borrow().quarantine;
        quarantine.check_retry(now(), exchange.fingerprint)
    };
    match verdict {
        Verdict::Allowed => Ok(None),
        Verdict::Wait if held.is_none() => {
            let permit = wait_for_permit(host, exchange).await;
            permit.map_err(|_| Suspected)
        }
        _ => Err(Suspected),
    }
}

/// Records how an attempt ended and informs other hosts of changes.
pub(crate) fn record_attempt_end(host: &Rc<Host>, exchange: &Exchange, in_flight: &InFlight) {
    let fingerprint = exchange.fingerprint;
    let updates = {
        let quarantine = &mut host.core.borrow_mut().quarantine;
        match in_flight.end {
            End::Answered => OutgoingNotices {
                to_all: quarantine.record_answer(now(), fingerprint),
                ..OutgoingNotices::default()
            },
            End::Broken => quarantine.record_break(
                now(),
                fingerprint,
                in_flight.process_digest,
                in_flight.started_at,
            ),
            _ => return,
        }
    };
    if let Some(notice) = updates.to_counters {
        let counters = {
            let core = host.core.borrow();
            core.presence.counting_hosts(now(), fingerprint.0)
        };
        spawn_send(host, notice, counters);
    }
    if let Some(notice) = updates.to_all {
        broadcast(host, notice);
    }
}

/// Applies notices from another host.
pub(crate) fn apply_notices(host: &Rc<Host>, notices: &[Notice]) {
    for notice in notices {
        let effect = host.core.borrow_mut().quarantine.merge(now(), notice);
        if effect.is_new {
            log::request_standing(notice);
        }
        if let Some(notice) = effect.to_all {
            broadcast(host, notice);
        }
    }
}

/// Sends the standings of all suspected and quarantined requests.
pub(crate) async fn send_standings(host: &Host, peers: &[SocketAddr]) {
    let notices: Vec<Notice> = {
        let core = host.core.borrow();
        core.quarantine.statuses(now()).collect()
    };
    datagram::send_notices(host, &notices, peers).await;
}

fn broadcast(host: &Rc<Host>, notice: Notice) {
    log::request_standing(&notice);
    let peers = datagram::peer_addresses(host);
    spawn_send(host, notice, peers);
}

fn spawn_send(host: &Rc<Host>, notice: Notice, peers: Vec<SocketAddr>) {
    let state = host.clone();
    task::spawn(host, "announcement", async move {
        datagram::send_notices(&state, &[notice], &peers).await;
    });
}
