//! Dispatches callers' requests: look-ups and status requests are answered at once, requests to services by worker pools.

use std::net::IpAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use crossbeam_channel::{bounded, Receiver, Sender, TrySendError};

use http::{request, Method};
use serde::Serialize;

use super::body::{self, Body};
use super::call::{RequestContext, Requester};
use super::head::{self, Head, SERVICES_PREFIX};
use super::idempotency;
use super::published::{Readiness, State};
use super::relay;
use super::reply::Reply;
use super::request::Request;
use super::{Error, Shared};
use crate::budget::{Account, Charge};
use crate::catalog::{Catalog, RegionKey, ServiceKey};
use crate::edge::body::BodyError;
use crate::edge::uploads;
use crate::peer::stream::Incoming;
use crate::steer::attempt::{Outcome, Reason};
use crate::steer::engine::Origin;
use crate::steer::fingerprint::{Content, Fingerprint};
use crate::steer::lookup::Snapshot;

/// `Retry-After` for requests that this host refuses because it is full, starting or leaving.
const RETRY_AFTER: Duration = Duration::from_secs(1);
/// Largest body, in bytes, that the pool for small bodies receives.
const MAX_SMALL_BODY_BYTES: usize = 16 << 10;

/// A request to a service whose head is valid.
pub(crate) struct Prepared {
    pub(crate) head: Head,
    catalog: Arc<Catalog>,
    service: ServiceKey,
    locality: RegionKey,
    block: u64,
    arrived: Instant,
    /// How its body is read.
    pub(crate) limits: body::Limits,
}

/// A request that waits for a worker.
struct Job {
    request: Request,
    prepared: Prepared,
    body: Body,
    /// What the connections to targets hold that the request uses.
    connections: Charge,
}

/// Who handles a request.
pub(crate) enum Dispatch {
    /// Nobody; this is the answer.
    Answer(Reply),
    /// A thread for look-ups.
    Lookup,
    /// A worker, once the body has been read.
    Service(Box<Prepared>),
}

/// Routes requests and feeds the two worker pools. Large bodies have their own pool, so that they cannot
/// delay small requests.
pub(crate) struct Front {
    shared: Arc<Shared>,
    small: Sender<Job>,
    large: Sender<Job>,
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
            shared,
        })
    }

    /// Decides who handles a request, from its head.
    pub(crate) fn dispatch(
        &self,
        parts: &request::Parts,
        caller: IpAddr,
        arrived: Instant,
    ) -> Dispatch {
        let url = head::url(parts);
        if url.starts_with(SERVICES_PREFIX) {
            if self.shared.is_refusing() {
                let reply = Reply::not_run(503, "this host is leaving", Some(RETRY_AFTER));
                return Dispatch::Answer(reply);
            }
            return match prepare(&self.shared, parts, caller, arrived) {
                Ok(prepared) => Dispatch::Service(Box::new(prepared)),
                Err(reply) => Dispatch::Answer(reply),
            };
        }
        let is_read = parts.method == Method::GET || parts.method == Method::HEAD;
        match (is_read, parts.uri.path()) {
            (true, "/v1/entries" | "/healthz" | "/metrics" | "/v1/status") => Dispatch::Lookup,
            (false, "/v1/entries" | "/healthz" | "/metrics" | "/v1/status") => {
                Dispatch::Answer(Reply::not_run(405, "only GET is possible here", None))
            }
            (_, path) => {
                Dispatch::Answer(Reply::not_run(404, &format!("nothing is at {path}"), None))
            }
        }
    }

    /// Answers a look-up, or a request for health, metrics or status.
    pub(crate) fn answer(&self, request: Request) {
        let uri = &request.parts.uri;
        let reply = match uri.path() {
            "/v1/entries" => self.lookup(&request, uri.query().unwrap_or_default()),
            "/healthz" => self.health(),
            "/metrics" => self.metrics(),
            _ => self.shared.status(),
        };
        reply.send(request);
    }

    /// Records a request whose body is passed on while it arrives.
    pub(crate) fn add_upload(&self, service: &Arc<str>, account: &Account) -> uploads::Entry {
        self.shared.uploads.add(service, account)
    }

    /// Memory of the connections to targets of one request, in bytes.
    pub(crate) fn call_bytes(&self) -> usize {
        self.shared.targets.call_bytes()
    }

    /// Passes a request to a worker. Returns the request if all are busy and enough others wait.
    pub(crate) fn enqueue(
        &self,
        request: Request,
        prepared: Prepared,
        body: Body,
        connections: Charge,
    ) -> Result<(), Box<(Request, Reply)>> {
        let is_large = match &body {
            Body::Whole(bytes) => bytes.len() > MAX_SMALL_BODY_BYTES,
            Body::Partial(_) => true,
        };
        let queue = if is_large { &self.large } else { &self.small };
        let job = Job {
            request,
            prepared,
            body,
            connections,
        };
        match queue.try_send(job) {
            Ok(()) => Ok(()),
            Err(TrySendError::Full(job) | TrySendError::Disconnected(job)) => {
                let reply = Reply::not_run(503, "this host is full", Some(RETRY_AFTER));
                Err(Box::new((job.request, reply)))
            }
        }
    }

    /// The answer to a request whose body could not be read.
    pub(crate) fn refuse_body(&self, service: &Arc<str>, error: &BodyError) -> Reply {
        match error {
            BodyError::TooLong(limit) => {
                let text = format!("the body is larger than the service's {limit} bytes");
                Reply::not_run(413, &text, None)
            }
            BodyError::NoMemory(_) => {
                self.shared.metrics.count_refusal(service, "no-memory");
                Reply::not_run(
                    503,
                    "this host has no memory for the body",
                    Some(RETRY_AFTER),
                )
            }
            BodyError::Sender(_) | BodyError::Reader(_) | BodyError::TooSlow => {
                Reply::not_run(400, &format!("the body ended early: {error}"), None)
            }
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
        let client = client.unwrap_or(request.caller);
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
        metrics.set_held(&self.shared.budget);
        Reply::whole(200, "text/plain; version=0.0.4", metrics.encode())
    }
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

fn serve_caller(shared: &Arc<Shared>, job: Job) {
    let _in_flight = shared.track_in_flight();
    let Job {
        request,
        prepared,
        body,
        connections,
    } = job;
    let context = RequestContext {
        id: shared.next_id(),
        fingerprint: fingerprint(&prepared.head, &body),
        head: prepared.head,
        body,
        account: request.account.clone(),
        _connections: connections,
        catalog: prepared.catalog,
        service: prepared.service,
        locality: prepared.locality,
        block: prepared.block,
        origin: Origin::Caller,
        arrived: prepared.arrived,
        deadline: prepared.limits.deadline,
    };
    idempotency::run(shared, context, Requester::Caller(request));
}

/// Validates the head of a request.
fn prepare(
    shared: &Shared,
    parts: &request::Parts,
    caller: IpAddr,
    arrived: Instant,
) -> Result<Prepared, Reply> {
    let limit = shared.settings.pool.head_bytes as usize;
    let head = Head::new(parts, limit)
        .map_err(|error| Reply::not_run(error.status(), &error.to_string(), None))?;
    let state = shared.published.get();
    let (catalog, service, lookup) = find_service(&state, &head)?;
    let record = catalog.service(service);
    let deadline = arrived + head.deadline.unwrap_or(record.deadline);
    let location = lookup.locate_client(caller, 0);
    Ok(Prepared {
        limits: body::Limits {
            length: head.length,
            max_buffered: shared.settings.pool.buffer_bytes.into(),
            max_length: record.max_body_bytes,
            deadline: shared.limit_deadline(deadline),
        },
        head,
        catalog: catalog.clone(),
        service,
        locality: location.locality,
        block: location.block,
        arrived,
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
    let limits = body::Limits {
        length: head.length,
        max_buffered: shared.settings.pool.buffer_bytes.into(),
        max_length: record.max_body_bytes,
        deadline: shared.limit_deadline(incoming.deadline()),
    };
    let account = shared.budget.open_running();
    let mut connections = Charge::new(&account);
    let reserved = connections.grow_blocking(shared.targets.call_bytes(), limits.deadline);
    reserved.map_err(|_| Outcome::NotRun(Reason::Crowded))?;
    let origin = match head.ticket {
        Some(_) => Origin::TicketRelay,
        None => Origin::Host,
    };
    let mut reader = relay::RequestReader(incoming);
    let body = Body::read(&mut reader, &limits, &account).map_err(|error| {
        Outcome::NotRun(match error {
            body::Error::NoMemory(_) => Reason::Crowded,
            _ => Reason::BadRequest,
        })
    })?;
    Ok(RequestContext {
        id: shared.next_id(),
        fingerprint: fingerprint(&head, &body),
        head,
        body,
        account,
        _connections: connections,
        catalog: catalog.clone(),
        service,
        locality,
        block: block.unwrap_or_default(),
        origin,
        arrived,
        deadline: limits.deadline,
    })
}
