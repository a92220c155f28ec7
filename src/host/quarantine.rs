//! Requests that crash targets: what a request under way asks and tells, and what hosts tell each other.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use super::exchange::{Exchange, Grant};
use super::{beat, log, now, Host};
use crate::steer::fingerprint::Fingerprint;
use crate::steer::fleet::End;
use crate::steer::quarantine::{News, Note, Verdict, UNSURE};

/// Time between two looks of a request that waits for that.
const LOOK: Duration = Duration::from_millis(20);

/// Leave to send a request that is suspected to crash targets; it is given back when the try has ended.
pub(crate) struct Leave<'a> {
    host: &'a Host,
    fingerprint: Fingerprint,
}

impl Drop for Leave<'_> {
    fn drop(&mut self) {
        let core = &mut *self.host.core.borrow_mut();
        core.quarantine.done(self.fingerprint);
    }
}

/// Waits until a request may be sent, with care if it is suspected. A refused one may come back after the time that is given.
pub(crate) async fn permit<'a>(
    host: &'a Rc<Host>,
    exchange: &Exchange,
) -> Result<Option<Leave<'a>>, Duration> {
    let fingerprint = exchange.fingerprint;
    let until = (now() + UNSURE).min(exchange.deadline);
    loop {
        let (verdict, told) = host.core.borrow_mut().quarantine.ask(now(), fingerprint);
        if let Some(note) = told {
            tell_all(host, note);
        }
        match verdict {
            Verdict::Free => return Ok(None),
            Verdict::Alone => return Ok(Some(Leave { host, fingerprint })),
            Verdict::Wait if now() >= until => return Ok(None),
            Verdict::Wait => tokio::time::sleep(LOOK).await,
            Verdict::Refused(pause) => return Err(pause),
        }
    }
}

/// Takes in what the end of a try says of whether the request crashes targets, and tells others.
pub(crate) fn judge(host: &Rc<Host>, exchange: &Exchange, grant: &Grant) {
    let fingerprint = exchange.fingerprint;
    let news = {
        let quarantine = &mut host.core.borrow_mut().quarantine;
        match grant.end {
            End::Answered => News {
                all: quarantine.answered(now(), fingerprint),
                ..News::default()
            },
            End::Broken => quarantine.broke(now(), fingerprint, grant.digest, grant.begun),
            _ => return,
        }
    };
    if let Some(note) = news.counters {
        let counters = {
            let core = host.core.borrow();
            core.presence.counting_hosts(now(), fingerprint.0)
        };
        send(host, note, counters);
    }
    if let Some(note) = news.all {
        tell_all(host, note);
    }
}

/// Takes in what another host tells.
pub(crate) fn hear(host: &Rc<Host>, notes: &[Note]) {
    for note in notes {
        let heard = host.core.borrow_mut().quarantine.hear(now(), note);
        if heard.is_new {
            log::standing(note);
        }
        if let Some(note) = heard.all {
            tell_all(host, note);
        }
    }
}

/// Tells a host which requests are suspected or refused.
pub(crate) async fn tell_standings(host: &Host, peers: &[SocketAddr]) {
    let notes: Vec<Note> = {
        let core = host.core.borrow();
        core.quarantine.standings(now()).collect()
    };
    beat::send_notes(host, &notes, peers).await;
}

fn tell_all(host: &Rc<Host>, note: Note) {
    log::standing(&note);
    let peers = beat::all(host);
    send(host, note, peers);
}

fn send(host: &Rc<Host>, note: Note, peers: Vec<SocketAddr>) {
    let host = host.clone();
    tokio::task::spawn_local(async move {
        beat::send_notes(&host, &[note], &peers).await;
    });
}
