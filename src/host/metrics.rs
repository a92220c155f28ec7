//! Serves the metrics.

use std::rc::Rc;

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use hyper::body::Incoming;

use super::body::{full, Body};
use super::feed::SYNCED_KINDS;
use super::{answer, now, serve, Error, Host};

/// The path of the metrics.
const METRICS_PATH: &str = "/metrics";

/// Listens for requests for the metrics.
pub(crate) async fn listen(host: &Rc<Host>) -> Result<(), Error> {
    let Some(address) = host.settings.metrics else {
        return Ok(());
    };
    let listener = serve::bind(address)?;
    serve::start(host, "metrics", listener, handle);
    Ok(())
}

async fn handle(host: Rc<Host>, request: Request<Incoming>) -> Response<Body> {
    if request.uri().path() != METRICS_PATH {
        return answer::plain_text(StatusCode::NOT_FOUND, "metrics are at /metrics\n");
    }
    update_gauges(&host);
    Response::new(full(Bytes::from(host.metrics.encode())))
}

/// Updates the gauges from the host's current state.
fn update_gauges(host: &Host) {
    let metrics = &host.metrics;
    metrics.set_held(&host.budget);
    let core = &mut *host.core.borrow_mut();
    let now = now();
    metrics.set_revision(core.table.version().unwrap_or_default());
    for (service, left) in core.budgets.remaining(now) {
        metrics.set_repeats_left(service, left);
    }
    for belief in core.fleet.estimates(now) {
        metrics.set_target_estimate(&belief);
    }
    for popular in core.fleet.popular_objects(now) {
        metrics.set_popular_objects(&popular);
    }
    for kind in SYNCED_KINDS {
        if let Some(age) = core.confirmations.age(now, kind) {
            metrics.set_age(kind.as_str(), age);
        }
    }
    metrics.set_reaches_targets(core.fleet.reaches_targets());
    metrics.set_host_count("alive", core.presence.alive(now).count());
    metrics.set_host_count("known", core.presence.peers().count() + 1);
}
