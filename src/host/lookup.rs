//! Look-ups: which hosts a caller may use; and whether this one is ready.

use std::cmp::Reverse;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use http::{Request, Response, StatusCode};
use hyper::body::Incoming;

use super::body::{whole, Body};
use super::{answer, now, serve, Error, Host};
use crate::control::presence::Record;
use crate::port::Question;

/// How long callers keep an answer. Some keep it three times as long, and a leaving host serves
/// until then, so it must be well under a third of the time a host has to leave.
const TTL: Duration = Duration::from_millis(1500);
/// Hosts named at the most.
const MOST: usize = 16;
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
    let configured = host.core.borrow().table.version().is_some();
    if configured && !host.stop.is_leaving() {
        answer::plain(StatusCode::OK, "ready\n")
    } else {
        answer::plain(StatusCode::SERVICE_UNAVAILABLE, "not ready\n")
    }
}

/// The hosts to use: those of the caller's availability zone, else of its region, else any.
fn hosts(host: &Host, question: &Question) -> Vec<SocketAddr> {
    let core = host.core.borrow();
    let now = now();
    let alive: Vec<&Record> = core.presence.serving(now).collect();
    let near = |record: &Record| -> u8 {
        if record.zone == question.zone {
            return 0;
        }
        u8::from(*core.presence.region(record) != question.region) + 1
    };
    let mut ranked: Vec<(u8, Reverse<Arc<str>>, SocketAddr)> = alive
        .into_iter()
        .map(|record| (near(record), Reverse(record.host.clone()), record.front))
        .collect();
    ranked.sort();
    let in_zone = ranked.iter().filter(|(near, ..)| *near == 0).count();
    let in_region = ranked.iter().filter(|(near, ..)| *near <= 1).count();
    let count = match (in_zone, in_region) {
        (zone, _) if zone >= ENOUGH => zone,
        (_, region) if region > 0 => region,
        _ => ranked.len(),
    };
    ranked
        .into_iter()
        .take(count.min(MOST))
        .map(|(.., address)| address)
        .collect()
}
