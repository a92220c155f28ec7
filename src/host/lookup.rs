//! Look-ups, which return the hosts that a caller may use, and readiness checks.

use std::rc::Rc;
use std::time::Duration;

use http::{Request, Response, StatusCode};
use hyper::body::Incoming;

use super::body::{full, Body};
use super::{answer, now, serve, Error, Host};
use crate::control::presence::StoreView;

/// Time-to-live of a look-up answer. Some callers keep it three times as long, and a host that is
/// shutting down serves requests until then, so it must be well under a third of the shutdown grace
/// period.
const MAX_ANSWER_TTL: Duration = Duration::from_millis(1500);

/// Listens for look-ups and readiness checks.
pub(crate) async fn listen(host: &Rc<Host>) -> Result<(), Error> {
    let addresses = [
        ("lookup", host.settings.lookup),
        ("ready", host.settings.ready),
    ];
    for (name, address) in addresses {
        if let Some(address) = address {
            serve::start(host, name, serve::bind(address)?, handle);
        }
    }
    Ok(())
}

async fn handle(host: Rc<Host>, request: Request<Incoming>) -> Response<Body> {
    let lookup = host.platform.lookup;
    if (lookup.is_ready)(request.uri()) {
        return readiness(&host);
    }
    match (lookup.question)(request.uri()) {
        Some(question) => {
            let core = host.core.borrow();
            let hosts = core.presence.lookup_hosts(
                now(),
                &question,
                serve::caller_address(request.extensions()),
            );
            let ttl = MAX_ANSWER_TTL.min(host.settings.bounds.lookup_ttl);
            (lookup.answer)(&hosts, ttl).map(full)
        }
        None => answer::plain_text(StatusCode::NOT_FOUND, "not a look-up\n"),
    }
}

fn readiness(host: &Host) -> Response<Body> {
    // Requires targets and evacuations as well: without them the host could only refuse requests.
    let has_view = host.core.borrow().presence.store_view() > StoreView::Nothing;
    if has_view && !host.shutdown.is_leaving() {
        answer::plain_text(StatusCode::OK, "ready\n")
    } else {
        answer::plain_text(StatusCode::SERVICE_UNAVAILABLE, "not ready\n")
    }
}
