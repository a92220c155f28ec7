//! Look-ups: which hosts a caller may use; and whether this one is ready.

use std::rc::Rc;
use std::time::Duration;

use http::{Request, Response, StatusCode};
use hyper::body::Incoming;

use super::body::{whole, Body};
use super::{answer, now, serve, Error, Host};
use crate::control::presence::StoreView;

/// How long callers keep an answer. Some keep it three times as long, and a leaving host serves
/// until then, so it must be well under a third of the time a host has to leave.
const TTL: Duration = Duration::from_millis(1500);
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
            let core = host.core.borrow();
            let hosts =
                core.presence
                    .lookup_hosts(now(), &question, serve::caller(request.extensions()));
            let ttl = TTL.min(host.settings.bounds.lookup_ttl);
            (lookup.answer)(&hosts, ttl).map(whole)
        }
        None => answer::plain(StatusCode::NOT_FOUND, "not a look-up\n"),
    }
}

fn ready(host: &Host) -> Response<Body> {
    // Targets and evacuations have to be known too: a host without them could only refuse.
    let knows = host.core.borrow().presence.store_view() > StoreView::Nothing;
    if knows && !host.stop.is_leaving() {
        answer::plain(StatusCode::OK, "ready\n")
    } else {
        answer::plain(StatusCode::SERVICE_UNAVAILABLE, "not ready\n")
    }
}
