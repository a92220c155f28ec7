//! What callers may ask, and who answers: look-ups at once, requests by a pool of workers.

use std::net::IpAddr;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crossbeam_channel::{bounded, Receiver, Sender, TrySendError};

use serde::Serialize;
use tiny_http::Method;

use super::body::Body;
use super::call::{Sender as Answerer, Start};
use super::head::{Head, SERVICES};
use super::keyed;
use super::published::{Readiness, State};
use super::relay;
use super::reply::Reply;
use super::request::Request;
use super::{Error, Shared};
use crate::catalog::{Catalog, ServiceKey};
use crate::peer::stream::Incoming;
use crate::steer::attempt::{Outcome, Reason};
use crate::steer::engine::Origin;
use crate::steer::fingerprint::{Content, Fingerprint};
use crate::steer::lookup::Snapshot;

/// When a caller that found this host full is asked to come back.
const FULL_RETRY: Duration = Duration::from_secs(1);
/// Bodies above this size are received by the pool for large ones, in bytes.
const SMALL_BODY: u64 = 16 << 10;

/// Threads that answer refused requests with a body that is still under way.
const REFUSERS: usize = 4;

/// A request that waits for a worker.
struct Job {
    request: Request,
    arrived: Instant,
}

/// The two pools of workers. Large bodies have their own, so that they cannot keep small requests
/// waiting.
pub(crate) struct Front {
    shared: Arc<Shared>,
    small: Sender<Job>,
    large: Sender<Job>,
    refusals: Sender<(Request, Reply)>,
}

#[derive(Serialize)]
struct Entry<'a> {
    host: &'a str,
    availability_zone: &'a str,
    address: String,
}

#[derive(Serialize)]
struct Entries<'a> {
    revision: u64,
    ttl_ms: u64,
    ticket: String,
    entries: Vec<Entry<'a>>,
}

impl Front {
    /// Starts the workers.
    pub(crate) fn new(shared: Arc<Shared>) -> Result<Self, Error> {
        let workers = shared.settings.pool.workers.get();
        let large = (workers / 4).max(1);
        Ok(Self {
            small: pool(&shared, "call", workers)?,
            large: pool(&shared, "upload", large)?,
            refusals: refusals(shared.settings.pool.backlog.get() as usize)?,
            shared,
        })
    }

    /// Answers a request or hands it to a worker.
    pub(crate) fn take(&self, request: Request) {
        let url = request.url();
        if url.starts_with(SERVICES) {
            return self.hand_over(request);
        }
        let (path, query) = url.split_once('?').unwrap_or((url, ""));
        let reply = match (request.method(), path) {
            (Method::Get | Method::Head, "/v1/entries") => self.lookup(&request, query),
            (Method::Get | Method::Head, "/healthz") => self.health(),
            (Method::Get | Method::Head, "/metrics") => self.metrics(),
            (Method::Get | Method::Head, "/v1/status") => self.shared.status(),
            (_, "/v1/entries" | "/healthz" | "/metrics" | "/v1/status") => {
                Reply::not_run(405, "only GET is possible here", None)
            }
            _ => Reply::not_run(404, &format!("nothing is at {path}"), None),
        };
        self.reply(request, reply);
    }

    /// Answers without keeping this thread waiting for the rest of a body.
    fn reply(&self, request: Request, reply: Reply) {
        if !request.has_body_left() {
            return reply.send(request);
        }
        if let Err(full) = self.refusals.try_send((request, reply)) {
            let (request, reply) = full.into_inner();
            reply.send(request);
        }
    }

    fn hand_over(&self, request: Request) {
        let large = request
            .body_length()
            .map_or_else(|| is_chunked(&request), |length| length as u64 > SMALL_BODY);
        let queue = if large { &self.large } else { &self.small };
        let job = Job {
            request,
            arrived: Instant::now(),
        };
        if let Err(TrySendError::Full(job) | TrySendError::Disconnected(job)) = queue.try_send(job)
        {
            let reply = Reply::not_run(503, "this host is full", Some(FULL_RETRY));
            self.reply(job.request, reply);
        }
    }

    fn lookup(&self, request: &Request, query: &str) -> Reply {
        let state = self.shared.published.get();
        if state.readiness == Readiness::Leaving {
            // A ticket of this host would soon be worth nothing.
            return Reply::not_run(503, "this host is leaving", Some(FULL_RETRY));
        }
        let Some(lookup) = &state.lookup else {
            return Reply::not_run(503, "no configuration yet", Some(FULL_RETRY));
        };
        let (service, client) = match parse(query) {
            Ok(parsed) => parsed,
            Err(problem) => return Reply::not_run(400, &problem, None),
        };
        let Some(service) = service else {
            return Reply::not_run(400, "service: is missing", None);
        };
        let Some(key) = state.catalog.service_key(&service) else {
            return Reply::not_run(404, &format!("service: no '{service}'"), None);
        };
        let client = client.or_else(|| remote(request));
        let Some(client) = client else {
            return Reply::not_run(400, "client: is missing", None);
        };
        self.shared.metrics.lookup(&state.catalog.service(key).name);
        Reply::json(200, &self.entries(&state, lookup, key, client))
    }

    fn entries<'a>(
        &self,
        state: &'a State,
        lookup: &Snapshot,
        service: ServiceKey,
        client: IpAddr,
    ) -> Entries<'a> {
        let catalog = &state.catalog;
        let answer = lookup.answer(service, client, 0);
        let entries = answer
            .entries()
            .map(|key| {
                let host = catalog.host(key);
                Entry {
                    host: &host.name,
                    availability_zone: &catalog.zone(host.zone).name,
                    address: host.address.to_string(),
                }
            })
            .collect();
        Entries {
            revision: catalog.revision,
            ttl_ms: catalog
                .limits()
                .lookup_ttl
                .as_millis()
                .try_into()
                .unwrap_or(u64::MAX),
            ticket: self.shared.issuer.issue(Instant::now()).to_string(),
            entries,
        }
    }

    fn health(&self) -> Reply {
        if self.shared.published.get().readiness != Readiness::Ready {
            return Reply::not_run(503, "starting or leaving", Some(FULL_RETRY));
        }
        Reply::whole(200, "text/plain", b"ok\n".to_vec())
    }

    fn metrics(&self) -> Reply {
        let metrics = &self.shared.metrics;
        metrics.revision(self.shared.published.get().catalog.revision);
        Reply::whole(200, "text/plain; version=0.0.4", metrics.text())
    }
}

fn is_chunked(request: &Request) -> bool {
    request
        .headers()
        .iter()
        .any(|header| header.field.equiv("Transfer-Encoding"))
}

fn remote(request: &Request) -> Option<IpAddr> {
    request.remote_addr().map(|address| address.ip())
}

/// Reads `service=S&client=IP`.
fn parse(query: &str) -> Result<(Option<Arc<str>>, Option<IpAddr>), String> {
    let mut service = None;
    let mut client = None;
    for pair in query.split('&').filter(|pair| !pair.is_empty()) {
        match pair.split_once('=') {
            Some(("service", name)) => service = Some(name.into()),
            Some(("client", text)) => {
                let ip = text
                    .parse()
                    .map_err(|_| format!("client: '{text}' is not an IP address"))?;
                client = Some(ip);
            }
            _ => return Err(format!("unknown parameter '{pair}'")),
        }
    }
    Ok((service, client))
}

fn pool(shared: &Arc<Shared>, name: &str, workers: u32) -> Result<Sender<Job>, Error> {
    let backlog = shared.settings.pool.backlog.get() as usize;
    let (sender, receiver) = bounded::<Job>(backlog);
    for index in 0..workers {
        let shared = shared.clone();
        let receiver: Receiver<Job> = receiver.clone();
        thread::Builder::new()
            .name(format!("{name}-{index}"))
            .spawn(move || {
                for job in receiver {
                    serve(&shared, job);
                }
            })?;
    }
    Ok(sender)
}

fn refusals(backlog: usize) -> Result<Sender<(Request, Reply)>, Error> {
    let (sender, receiver) = bounded::<(Request, Reply)>(backlog);
    for index in 0..REFUSERS {
        let receiver = receiver.clone();
        thread::Builder::new()
            .name(format!("refuse-{index}"))
            .spawn(move || {
                for (request, reply) in receiver {
                    reply.send(request);
                }
            })?;
    }
    Ok(sender)
}

fn serve(shared: &Arc<Shared>, job: Job) {
    let _in_flight = shared.enter();
    let mut request = job.request;
    let Some(client) = remote(&request) else {
        return Reply::not_run(400, "no remote address", None).send(request);
    };
    match prepare(shared, &mut request, client, job.arrived) {
        Ok(start) => keyed::run(shared, start, Answerer::Caller(request)),
        Err(reply) => reply.send(request),
    }
}

/// Checks a request and takes its body in.
fn prepare(
    shared: &Shared,
    request: &mut Request,
    client: IpAddr,
    arrived: Instant,
) -> Result<Start, Reply> {
    let limit = shared.settings.pool.head_bytes as usize;
    let head = Head::new(request, limit)
        .map_err(|error| Reply::not_run(error.status(), &error.to_string(), None))?;
    let state = shared.published.get();
    let (catalog, service, lookup) = find(&state, &head)?;
    let record = catalog.service(service);
    let hold = u64::from(shared.settings.pool.buffer_bytes);
    let deadline = arrived + head.deadline.unwrap_or(record.deadline);
    request.limit_body(deadline);
    let body = Body::read(request, head.length, hold, record.max_body_bytes)
        .map_err(|error| Reply::not_run(error.status(), &error.to_string(), None))?;
    let place = lookup.locate_client(client, 0);
    Ok(Start {
        id: shared.next_id(),
        fingerprint: fingerprint(&head, &body),
        head,
        body,
        catalog: catalog.clone(),
        service,
        locality: place.locality,
        block: place.block,
        origin: Origin::Caller,
        arrived,
        deadline,
    })
}

/// The same at the host that a caller chose and at one to which it relays the request.
fn fingerprint(head: &Head, body: &Body) -> Fingerprint {
    Fingerprint::new(&Content {
        method: &head.method,
        site: &head.service,
        path: &head.path,
        account: "",
        object: "",
        body: body.content(),
    })
}

fn find<'a>(
    state: &'a State,
    head: &Head,
) -> Result<(&'a Arc<Catalog>, ServiceKey, &'a Snapshot), Reply> {
    let lookup = state
        .lookup
        .as_ref()
        .ok_or_else(|| Reply::not_run(503, "no configuration yet", Some(FULL_RETRY)))?;
    let service = state
        .catalog
        .service_key(&head.service)
        .ok_or_else(|| Reply::not_run(404, &format!("no service '{}'", head.service), None))?;
    Ok((&state.catalog, service, lookup))
}

/// The pool that carries what other entry hosts relay.
pub(crate) struct Relays {
    queue: Sender<Incoming>,
}

impl Relays {
    /// The pool's queue; [`Relays::start`] starts its threads.
    pub(crate) fn new(backlog: usize) -> (Self, Receiver<Incoming>) {
        let (queue, receiver) = bounded(backlog);
        (Self { queue }, receiver)
    }

    /// Hands a relayed request to a thread, or refuses it. Does not block.
    pub(crate) fn take(&self, incoming: Incoming) {
        if let Err(full) = self.queue.try_send(incoming) {
            let _ = full
                .into_inner()
                .refuse(Reason::Crowded.as_str(), FULL_RETRY);
        }
    }

    /// Starts the threads.
    pub(crate) fn start(shared: &Arc<Shared>, queue: &Receiver<Incoming>) -> Result<(), Error> {
        for index in 0..shared.settings.pool.relay_workers.get() {
            let shared = shared.clone();
            let queue = queue.clone();
            thread::Builder::new()
                .name(format!("relay-{index}"))
                .spawn(move || {
                    for incoming in queue {
                        serve_relayed(&shared, incoming);
                    }
                })?;
        }
        Ok(())
    }
}

fn serve_relayed(shared: &Arc<Shared>, mut incoming: Incoming) {
    let _in_flight = shared.enter();
    match prepare_relayed(shared, &mut incoming) {
        Ok(start) => keyed::run(shared, start, Answerer::Host(incoming)),
        Err(outcome) => relay::reply(incoming, outcome, FULL_RETRY, None),
    }
}

/// Checks a relayed request and takes its body in.
fn prepare_relayed(shared: &Shared, incoming: &mut Incoming) -> Result<Start, Outcome> {
    let arrived = Instant::now();
    let head = Head::with_open(&incoming.open).map_err(|_| Outcome::NotRun(Reason::BadRequest))?;
    let state = shared.published.get();
    let unknown = Outcome::NotRun(Reason::UnknownService);
    let (catalog, service, _) = find(&state, &head).map_err(|_| unknown)?;
    let record = catalog.service(service);
    let locality = incoming
        .open
        .locality
        .as_deref()
        .and_then(|name| catalog.region_key(name))
        .ok_or(Outcome::NotRun(Reason::BadRequest))?;
    let block = incoming
        .open
        .block
        .as_deref()
        .and_then(|text| text.parse().ok());
    let hold = u64::from(shared.settings.pool.buffer_bytes);
    let deadline = incoming.deadline();
    let origin = match head.ticket {
        Some(_) => Origin::TicketRelay,
        None => Origin::Host,
    };
    let mut reader = relay::Reader(incoming);
    let body = Body::read(&mut reader, head.length, hold, record.max_body_bytes)
        .map_err(|_| Outcome::NotRun(Reason::BadRequest))?;
    Ok(Start {
        id: shared.next_id(),
        fingerprint: fingerprint(&head, &body),
        head,
        body,
        catalog: catalog.clone(),
        service,
        locality,
        block: block.unwrap_or_default(),
        origin,
        arrived,
        deadline,
    })
}
