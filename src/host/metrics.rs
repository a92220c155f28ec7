//! The address where metrics are read.

use std::rc::Rc;

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use hyper::body::Incoming;

use super::body::{whole, Body};
use super::{answer, serve, Error, Host};

/// The path of the metrics.
const PATH: &str = "/metrics";

/// Listens for questions.
pub(crate) async fn listen(host: &Rc<Host>) -> Result<(), Error> {
    let Some(address) = host.settings.metrics else {
        return Ok(());
    };
    let listener = serve::bind(address)?;
    tokio::task::spawn_local(serve::accept(host.clone(), listener, handle));
    Ok(())
}

async fn handle(host: Rc<Host>, request: Request<Incoming>) -> Response<Body> {
    if request.uri().path() != PATH {
        return answer::plain(StatusCode::NOT_FOUND, "metrics are at /metrics\n");
    }
    let version = host.core.borrow().table.version().unwrap_or_default();
    host.metrics.revision(version);
    Response::new(whole(Bytes::from(host.metrics.text())))
}
