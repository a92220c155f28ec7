//! Probes targets to find cold ones while the store can't report them.
//!
//! A cold target that gets its usual requests crashes. It reports that it is cold in the store and
//! in its health answers. So while any host has lost the store, two hosts probe each target and
//! inform the others; two, since one of them may stop.
//!
//! Targets that have left requests unanswered are probed as well, until they answer, and so are
//! targets that are registered again after they had left.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::header::HOST;
use http::{HeaderValue, Request, Uri};
use http_body_util::{BodyExt, Limited};

use super::client::{self, Connection};
use super::core::Core;
use super::{announcement, attempt, body, datagram, log, now, task, throttle, Host};
use crate::inventory::TargetKey;
use crate::port::Health;
use crate::steer::fleet::Member;
use crate::steer::throttle::Assignment;

/// Interval of the probes of one host to a target. Several hosts probe each target: the requests
/// that it gets between two probes, including those in flight, must stay below what a cold target
/// can take in a second, also after one of these hosts has stopped.
const PROBE_INTERVAL: Duration = Duration::from_millis(400);
/// Timeout of a connection that only shows whether a target is within reach: some round trips
/// between regions.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// How long a connection is watched for a reset.
const RESET_WAIT: Duration = Duration::from_millis(50);
/// How long a target may take to answer a probe.
const PROBE_TIMEOUT: Duration = Duration::from_millis(600);

/// The same for a target that was silent. It may be slow, and each check waits for a slot.
const RECHECK_TIMEOUT: Duration = Duration::from_millis(2000);

/// Whether a target accepts a new connection and does not reset it. The connection is kept for
/// requests.
pub(crate) async fn is_connectable(host: &Host, target: TargetKey) -> bool {
    let address = host.core.borrow().fleet.member(target).map(Member::address);
    let Some(address) = address else {
        return false;
    };
    let stream = match client::connect(address, CONNECT_TIMEOUT).await {
        Ok(stream) => stream,
        Err(error) => {
            spdlog::debug!("probe: cannot connect to target at {address}: {error}");
            return false;
        }
    };
    tokio::time::sleep(RESET_WAIT).await;
    let is_open = client::is_reusable(&stream);
    if is_open {
        host.pool.borrow_mut().put(now(), target, stream, None);
    }
    is_open
}

/// Longest body of a health answer in bytes.
const MAX_HEALTH_BYTES: usize = 64 << 10;

/// A target to probe.
struct Probe {
    target: TargetKey,
    id: Arc<str>,
    address: SocketAddr,
    path: Arc<str>,
}

impl Probe {
    /// Returns `None` if the target or its service is not known any more.
    fn new(core: &Core, target: TargetKey) -> Option<Self> {
        let member = core.fleet.member(target)?;
        let service = core.table.service(member.service())?;
        Some(Self {
            target,
            id: member.id().clone(),
            address: member.address(),
            path: service.health_path.clone(),
        })
    }
}

/// Probes targets periodically while changes in the store may arrive late.
pub(crate) fn start(host: &Rc<Host>) {
    task::start(host, "probes", run);
}

async fn run(host: Rc<Host>) -> Infallible {
    let mut interval = tokio::time::interval(PROBE_INTERVAL);
    loop {
        interval.tick().await;
        for probe in due_probes(&host) {
            task::spawn(&host, "probe", run_probe(host.clone(), probe));
        }
        announcement::tell_silences(&host);
        let silent = host.core.borrow_mut().fleet.begin_rechecks(now());
        for target in silent {
            task::spawn(&host, "probe", recheck(host.clone(), target));
        }
        let returned = host.core.borrow_mut().fleet.begin_return_checks(now());
        for target in returned {
            task::spawn(&host, "probe", check_return(host.clone(), target));
        }
    }
}

fn due_probes(host: &Host) -> Vec<Probe> {
    let core = &mut *host.core.borrow_mut();
    if !core.presence.is_store_doubtful(now()) {
        return Vec::new();
    }
    let targets = core.fleet.next_checks();
    let probes = targets.into_iter();
    probes
        .filter_map(|target| Probe::new(core, target))
        .collect()
}

/// Checks whether a target that was silent answers again.
async fn recheck(host: Rc<Host>, target: TargetKey) {
    let probe = Probe::new(&host.core.borrow(), target);
    let answer = match &probe {
        Some(probe) => ask(&host, probe, RECHECK_TIMEOUT).await,
        None => None,
    };
    let core = &mut *host.core.borrow_mut();
    core.fleet.finish_recheck(now(), target, answer.is_some());
}

/// Checks whether a target that had left and is registered again runs.
async fn check_return(host: Rc<Host>, target: TargetKey) {
    let probe = Probe::new(&host.core.borrow(), target);
    let condition = match &probe {
        Some(probe) => ask_unlimited(&host, probe, RECHECK_TIMEOUT).await,
        None => None,
    };
    let is_ready = condition.is_some_and(|condition| condition.is_ready == Some(true));
    let confirmed = {
        let fleet = &mut host.core.borrow_mut().fleet;
        fleet.finish_return_check(now(), target, is_ready)
    };
    if let (Some(probe), Some(process)) = (probe, confirmed) {
        announcement::record_confirmed(&host, &probe.id, process);
    }
}

/// What a target's health answer says, as far as the answer is from the target that was asked.
#[derive(Clone, Copy, Default)]
struct Condition {
    is_ready: Option<bool>,
    cold_left: Option<Duration>,
}

/// Asks a target in use for its health. Returns `None` if it has not answered.
async fn ask(host: &Rc<Host>, probe: &Probe, timeout: Duration) -> Option<Condition> {
    // A probe counts as a request towards the target's rate limit.
    if !throttle::request_permit(host, probe.target, Assignment::Primary).await {
        return None;
    }
    ask_unlimited(host, probe, timeout).await
}

/// Asks a target for its health, also if it may get no requests.
async fn ask_unlimited(host: &Rc<Host>, probe: &Probe, timeout: Duration) -> Option<Condition> {
    let answer = async {
        let connection =
            attempt::open_connection(host, probe.target, probe.address, timeout).await?;
        query_health(host, probe, connection).await
    };
    match tokio::time::timeout(timeout, answer).await {
        Ok(Ok(condition)) => Some(condition),
        Ok(Err(error)) => {
            spdlog::debug!("probe: target {}: {error}", probe.id);
            None
        }
        Err(_) => {
            spdlog::debug!("probe: target {}: no answer in time", probe.id);
            None
        }
    }
}

async fn run_probe(host: Rc<Host>, probe: Probe) {
    let condition = ask(&host, &probe, PROBE_TIMEOUT).await;
    let condition = condition.unwrap_or_default();
    if condition.is_ready == Some(false) {
        announcement::record_unready(&host, probe.target);
    }
    let Some(left) = condition.cold_left.filter(|left| !left.is_zero()) else {
        return;
    };
    if host
        .core
        .borrow_mut()
        .fleet
        .mark_cold(now(), &probe.id, left)
    {
        log::target_cold(&probe.id, left);
    }
    datagram::send_cold(&host, &probe.id, left).await;
}

/// Records the current speed of a target that its health answer reports.
fn record_slowdown(host: &Host, target: TargetKey, health: &Health) {
    if let Some(value) = &health.unreadable_slowdown {
        log::unreadable_slowdown(host, target, value);
    }
    if let Some(slowdown) = health.load.and_then(|load| load.slowdown) {
        let core = &mut *host.core.borrow_mut();
        core.fleet.record_slowdown(now(), target, slowdown);
    }
}

/// Requests a target's health.
async fn query_health(
    host: &Rc<Host>,
    probe: &Probe,
    mut connection: Connection,
) -> Result<Condition, client::Error> {
    let mut request = Request::new(body::full(Bytes::new()));
    if let Ok(path) = probe.path.parse::<Uri>() {
        *request.uri_mut() = path;
    }
    if let Ok(name) = HeaderValue::from_str(&probe.address.to_string()) {
        request.headers_mut().insert(HOST, name);
    }
    let Ok(response) = connection.send(request).await else {
        return Err(client::Error::Unanswered);
    };
    let (parts, incoming) = response.into_parts();
    let health = (host.platform.wire.health)(&parts);
    let process = health.target.as_ref();
    let is_same_process = process.is_none_or(|target| *target == probe.id);
    if is_same_process {
        announcement::record(host, Some(probe.target), &health.announcement);
        record_slowdown(host, probe.target, &health);
    }
    let body = Limited::new(incoming, MAX_HEALTH_BYTES).collect();
    let read = connection.read(body).await;
    read.map_err(|_| client::Error::Unanswered)?;
    attempt::return_to_pool(host, probe.target, connection, &parts).await;
    if !is_same_process {
        return Ok(Condition::default());
    }
    Ok(Condition {
        is_ready: health.is_ready,
        cold_left: health.cold_left,
    })
}
