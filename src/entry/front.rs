//! Dispatches callers' requests: look-ups and status requests are answered at once, requests to services by worker pools.

use std::net::IpAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use crossbeam_channel::{bounded, Receiver, Sender, TrySendError};

use serde::Serialize;
use tiny_http::Method;

use super::body::Body;
use super::call::{RequestContext, Requester};
use super::head::{Head, SERVICES_PREFIX};
use super::idempotency;
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
use crate::supervisor::Supervisor;

/// `Retry-After` for requests that this host refuses because it is full, starting or leaving.
const RETRY_AFTER: Duration = Duration::from_secs(1);
/// Largest body, in bytes, that the pool for small bodies receives.
const MAX_SMALL_BODY_BYTES: u64 = 16 << 10;

/// Number of threads that answer refused requests whose body is still being received.
const REFUSAL_THREADS: usize = 4;

/// A request that waits for a worker.
struct Job {
    request: Request,
    arrived: Instant,
}

/// Routes requests and feeds the two worker pools. Large bodies have their own pool, so that they cannot
/// delay small requests.
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
            small: start_pool(&shared, "call", workers)?,
            large: start_pool(&shared, "upload", large)?,
            refusals: start_refusal_threads(
                shared.settings.pool.backlog.get() as usize,
                &shared.supervisor,
            )?,
            shared,
        })
    }

    /// Answers a request or passes it to a worker.
    pub(crate) fn handle(&self, request: Request) {
        let url = request.url();
        if url.starts_with(SERVICES_PREFIX) {
            if self.shared.is_refusing() {
                let reply = Reply::not_run(503, "this host is leaving", Some(RETRY_AFTER));
                return self.reply(request, reply);
            }
            return self.enqueue(request);
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

    /// Sends a reply without blocking this thread on the rest of a body.
    fn reply(&self, request: Request, reply: Reply) {
        if !request.has_body_left() {
            return reply.send(request);
        }
        if let Err(full) = self.refusals.try_send((request, reply)) {
            let (request, reply) = full.into_inner();
            reply.send(request);
        }
    }

    fn enqueue(&self, request: Request) {
        let is_large = request.body_length().map_or_else(
            || is_chunked(&request),
            |length| length as u64 > MAX_SMALL_BODY_BYTES,
        );
        let queue = if is_large { &self.large } else { &self.small };
        let job = Job {
            request,
            arrived: Instant::now(),
        };
        if let Err(TrySendError::Full(job) | TrySendError::Disconnected(job)) = queue.try_send(job)
        {
            let reply = Reply::not_run(503, "this host is full", Some(RETRY_AFTER));
            self.reply(job.request, reply);
        }
    }

    fn lookup(&self, request: &Request, query: &str) -> Reply {
        let state = self.shared.published.get();
        if state.readiness == Readiness::Leaving {
            // A ticket issued by this host would become invalid when it ends.
            return Reply::not_run(503, "this host is leaving", Some(RETRY_AFTER));
        }
        let Some(lookup) = &state.lookup else {
            return Reply::not_run(503, "no configuration yet", Some(RETRY_AFTER));
        };
        let (service, client) = match parse_query(query) {
            Ok(parsed) => parsed,
            Err(problem) => return Reply::not_run(400, &problem, None),
        };
        let Some(service) = service else {
            return Reply::not_run(400, "service: is missing", None);
        };
        let Some(key) = state.catalog.service_key(&service) else {
            return Reply::not_run(404, &format!("service: no '{service}'"), None);
        };
        let client = client.or_else(|| remote_ip(request));
        let Some(client) = client else {
            return Reply::not_run(400, "client: is missing", None);
        };
        self.shared
            .metrics
            .count_lookup(&state.catalog.service(key).name);
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
            return Reply::not_run(503, "starting or leaving", Some(RETRY_AFTER));
        }
        Reply::whole(200, "text/plain", b"ok\n".to_vec())
    }

    fn metrics(&self) -> Reply {
        let metrics = &self.shared.metrics;
        metrics.set_revision(self.shared.published.get().catalog.revision);
        Reply::whole(200, "text/plain; version=0.0.4", metrics.encode())
    }
}

fn is_chunked(request: &Request) -> bool {
    request
        .headers()
        .iter()
        .any(|header| header.field.equiv("Transfer-Encoding"))
}

fn remote_ip(request: &Request) -> Option<IpAddr> {
    request.remote_addr().map(|address| address.ip())
}

/// Parses `service=S&client=IP`.
fn parse_query(query: &str) -> Result<(Option<Arc<str>>, Option<IpAddr>), String> {
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

fn start_pool(shared: &Arc<Shared>, name: &str, workers: u32) -> Result<Sender<Job>, Error> {
    let backlog = shared.settings.pool.backlog.get() as usize;
    let (sender, receiver) = bounded::<Job>(backlog);
    for index in 0..workers {
        let shared = shared.clone();
        let receiver: Receiver<Job> = receiver.clone();
        let supervisor = shared.supervisor.clone();
        supervisor
            .clone()
            .spawn(format!("{name}-{index}"), move || {
                for job in &receiver {
                    supervisor.catch("request", || serve_caller(&shared, job));
                }
            })?;
    }
    Ok(sender)
}

fn start_refusal_threads(
    backlog: usize,
    supervisor: &Supervisor,
) -> Result<Sender<(Request, Reply)>, Error> {
    let (sender, receiver) = bounded::<(Request, Reply)>(backlog);
    for index in 0..REFUSAL_THREADS {
        let receiver = receiver.clone();
        let supervisor = supervisor.clone();
        supervisor
            .clone()
            .spawn(format!("refuse-{index}"), move || {
                for (request, reply) in &receiver {
                    supervisor.catch("request", || reply.send(request));
                }
            })?;
    }
    Ok(sender)
}

fn serve_caller(shared: &Arc<Shared>, job: Job) {
    let _in_flight = shared.track_in_flight();
    let mut request = job.request;
    let Some(client) = remote_ip(&request) else {
        return Reply::not_run(400, "no remote address", None).send(request);
    };
    match prepare(shared, &mut request, client, job.arrived) {
        Ok(context) => idempotency::run(shared, context, Requester::Caller(request)),
        Err(reply) => reply.send(request),
    }
}

/// Validates a request and reads its body.
fn prepare(
    shared: &Shared,
    request: &mut Request,
    client: IpAddr,
    arrived: Instant,
) -> Result<RequestContext, Reply> {
    let limit = shared.settings.pool.head_bytes as usize;
    let head = Head::new(request, limit)
        .map_err(|error| Reply::not_run(error.status(), &error.to_string(), None))?;
    let state = shared.published.get();
    let (catalog, service, lookup) = find_service(&state, &head)?;
    let record = catalog.service(service);
    let max_buffered = u64::from(shared.settings.pool.buffer_bytes);
    let deadline = arrived + head.deadline.unwrap_or(record.deadline);
    let deadline = shared.limit_deadline(deadline);
    request.limit_body(deadline);
    let body = Body::read(request, head.length, max_buffered, record.max_body_bytes)
        .map_err(|error| Reply::not_run(error.status(), &error.to_string(), None))?;
    let location = lookup.locate_client(client, 0);
    Ok(RequestContext {
        id: shared.next_id(),
        fingerprint: fingerprint(&head, &body),
        head,
        body,
        catalog: catalog.clone(),
        service,
        locality: location.locality,
        block: location.block,
        origin: Origin::Caller,
        arrived,
        deadline,
    })
}

/// Computes the fingerprint, which is the same at the host that a caller chose and at one that it relays to.
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

fn find_service<'a>(
    state: &'a State,
    head: &Head,
) -> Result<(&'a Arc<Catalog>, ServiceKey, &'a Snapshot), Reply> {
    let lookup = state
        .lookup
        .as_ref()
        .ok_or_else(|| Reply::not_run(503, "no configuration yet", Some(RETRY_AFTER)))?;
    let service = state
        .catalog
        .service_key(&head.service)
        .ok_or_else(|| Reply::not_run(404, &format!("no service '{}'", head.service), None))?;
    Ok((&state.catalog, service, lookup))
}

/// The worker pool for requests that other entry hosts relay.
pub(crate) struct RelayPool {
    queue: Sender<Incoming>,
}

impl RelayPool {
    /// Creates the pool's queue; [`RelayPool::start`] starts its threads.
    pub(crate) fn new(backlog: usize) -> (Self, Receiver<Incoming>) {
        let (queue, receiver) = bounded(backlog);
        (Self { queue }, receiver)
    }

    /// Queues a relayed request, or refuses it if the queue is full. Does not block.
    pub(crate) fn enqueue(&self, incoming: Incoming) {
        if let Err(full) = self.queue.try_send(incoming) {
            let _ = full
                .into_inner()
                .refuse(Reason::Crowded.as_str(), RETRY_AFTER);
        }
    }

    /// Starts the pool's threads.
    pub(crate) fn start(shared: &Arc<Shared>, queue: &Receiver<Incoming>) -> Result<(), Error> {
        for index in 0..shared.settings.pool.relay_workers.get() {
            let shared = shared.clone();
            let queue = queue.clone();
            let supervisor = shared.supervisor.clone();
            supervisor
                .clone()
                .spawn(format!("relay-{index}"), move || {
                    for incoming in &queue {
                        supervisor.catch("relayed-request", || serve_relayed(&shared, incoming));
                    }
                })?;
        }
        Ok(())
    }
}

fn serve_relayed(shared: &Arc<Shared>, mut incoming: Incoming) {
    let _in_flight = shared.track_in_flight();
    match prepare_relayed(shared, &mut incoming) {
        Ok(context) => idempotency::run(shared, context, Requester::Host(incoming)),
        Err(outcome) => relay::reply(incoming, outcome, RETRY_AFTER, None),
    }
}

/// Validates a relayed request and reads its body.
fn prepare_relayed(shared: &Shared, incoming: &mut Incoming) -> Result<RequestContext, Outcome> {
    let arrived = Instant::now();
    if shared.is_refusing() {
        return Err(Outcome::NotRun(Reason::Leaving));
    }
    let head = Head::from_open(&incoming.open).map_err(|_| Outcome::NotRun(Reason::BadRequest))?;
    let state = shared.published.get();
    let unknown_service = Outcome::NotRun(Reason::UnknownService);
    let (catalog, service, _) = find_service(&state, &head).map_err(|_| unknown_service)?;
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
    let max_buffered = u64::from(shared.settings.pool.buffer_bytes);
    let deadline = shared.limit_deadline(incoming.deadline());
    let origin = match head.ticket {
        Some(_) => Origin::TicketRelay,
        None => Origin::Host,
    };
    let mut reader = relay::RequestReader(incoming);
    let body = Body::read(
        &mut reader,
        head.length,
        max_buffered,
        record.max_body_bytes,
    )
    .map_err(|_| Outcome::NotRun(Reason::BadRequest))?;
    Ok(RequestContext {
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
