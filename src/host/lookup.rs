//! Look-ups: which hosts a caller may use; and whether this one is ready.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use rand::RngExt;

use super::body::{whole, Body};
use super::{answer, now, serve, Error, Host};
use crate::control::presence::{Record, Sight};
use crate::port::Question;

/// How long callers keep an answer. Some keep it three times as long, and a leaving host serves
/// until then, so it must be well under a third of the time a host has to leave.
const TTL: Duration = Duration::from_millis(1500);
/// Hosts named at the most.
const MOST: usize = 16;
/// The least part of a full share with which a host is named: it is needed when others fail.
const LEAST_SHARE: f64 = 0.25;
/// Hosts of the caller's own availability zone that are enough to name no others.
const ENOUGH: usize = 2;

/// Listens for look-ups and questions of readiness.
pub(crate) async fn listen(host: &Rc<Host>) -> Result<(), Error> {
    let addresses = [host.settings.lookup, host.settings.ready];
    for address in addresses.into_iter().flatten() {
        let listener = serve::bind(address)?;
        tokio::task::spawn_local(serve::accept(host.clone(), listener, handle));
    }
    Ok(())
}

async fn handle(host: Rc<Host>, request: Request<Incoming>) -> Response<Body> {
    let lookup = host.platform.lookup;
    if (lookup.is_ready)(request.uri()) {
        return ready(&host);
    }
    match (lookup.question)(request.uri()) {
        Some(question) => {
            let hosts = hosts(&host, &question);
            let ttl = TTL.min(host.settings.bounds.lookup_ttl);
            (lookup.answer)(&hosts, ttl).map(whole)
        }
        None => answer::plain(StatusCode::NOT_FOUND, "not a look-up\n"),
    }
}

fn ready(host: &Host) -> Response<Body> {
    // Targets and evacuations have to be known too: a host without them could only refuse.
    let knows = host.core.borrow().presence.sight() > Sight::Nothing;
    if knows && !host.stop.is_leaving() {
        answer::plain(StatusCode::OK, "ready\n")
    } else {
        answer::plain(StatusCode::SERVICE_UNAVAILABLE, "not ready\n")
    }
}

/// The hosts to use: those of the caller's availability zone, else of its region, else any. Callers
/// choose among them at random, so one that can carry less is named less often.
fn hosts(host: &Host, question: &Question) -> Vec<SocketAddr> {
    let core = &mut *host.core.borrow_mut();
    let now = now();
    let near = |record: &Record| -> u8 {
        if record.zone == question.zone {
            return 0;
        }
        u8::from(*core.presence.region(record) != question.region) + 1
    };
    let mut ranked: Vec<(u8, f64, SocketAddr)> = core
        .presence
        .serving(now)
        .map(|record| (near(record), record.strength.share(), record.front))
        .collect();
    ranked.sort_by(|one, other| one.0.cmp(&other.0).then(other.1.total_cmp(&one.1)));
    let in_zone = ranked.iter().filter(|(near, ..)| *near == 0).count();
    let in_region = ranked.iter().filter(|(near, ..)| *near <= 1).count();
    let count = match (in_zone, in_region) {
        (zone, _) if zone >= ENOUGH => zone,
        (_, region) if region > 0 => region,
        _ => ranked.len(),
    };
    ranked.truncate(count);
    let mut named = Vec::new();
    for (_, share, address) in ranked {
        let enough = named.len() >= ENOUGH;
        if !enough || core.rng.random_bool(share.max(LEAST_SHARE)) {
            named.push(address);
        }
    }
    named.truncate(MOST);
    named
}
