//! Periodic health checks of the targets of this host's zone.
//!
//! Their results may be outdated or wrong: a target that reports itself healthy is not trusted for that
//! alone, but one that reports that it is leaving gets no new requests.

use std::io::Read;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use serde::Deserialize;
use ureq::unversioned::transport::Connector;
use ureq::Agent;

use super::classify::to_state;
use super::core::{Event, Handle};
use super::published::Published;
use super::{stage, Error};
use crate::catalog::{Catalog, State, Target, TargetKey};
use crate::literal::LiteralResolver;
use crate::steer::announcement::RequestedRest;
use crate::steer::group::{self, Health};
use crate::supervisor::Supervisor;
use crate::transport::Dialer;

/// Time between two health checks of one target.
const CHECK_PERIOD: Duration = Duration::from_millis(750);
/// Time limit of one health check.
const CHECK_TIMEOUT: Duration = Duration::from_millis(500);
/// Longest body of a health answer that is read, in bytes.
const MAX_BODY_BYTES: u64 = 64 << 10;
/// Number of threads, so that one target that does not answer does not delay all others.
const THREADS: usize = 4;
/// Shortest pause between two rounds of checks.
const MIN_PAUSE: Duration = Duration::from_millis(50);

/// The body of a target's answer.
#[derive(Deserialize)]
struct Answer {
    state: Arc<str>,
}

/// Starts the threads that check the targets.
pub(crate) fn start(
    zone: &str,
    published: &Arc<Published>,
    core: &Handle,
    stop: &Arc<AtomicBool>,
    supervisor: &Supervisor,
) -> Result<(), Error> {
    for index in 0..THREADS {
        let zone: Arc<str> = zone.into();
        let published = published.clone();
        let core = core.clone();
        let stop = stop.clone();
        supervisor.spawn(format!("health-{index}"), move || {
            run(index, &zone, &published, &core, &stop)
        })?;
    }
    Ok(())
}

fn run(index: usize, zone: &str, published: &Published, core: &Handle, stop: &AtomicBool) {
    let config = Agent::config_builder()
        .http_status_as_error(false)
        .timeout_global(Some(CHECK_TIMEOUT))
        .max_idle_connections_per_host(1)
        .build();
    let connector = Dialer.chain(stage::RecordTransport);
    let agent = Agent::with_parts(config, connector, LiteralResolver::default());
    while !stop.load(Ordering::Relaxed) {
        let started = Instant::now();
        let catalog = published.get().catalog.clone();
        for (key, target) in zone_targets(&catalog, zone).skip(index).step_by(THREADS) {
            if core.wants_no_checks(key) {
                // The answers to requests report the target's state anyway.
                continue;
            }
            let (health, state, rest) = check(&agent, target);
            core.send_rest(key, &rest);
            core.send(Event::Health(key, health, state));
            if stop.load(Ordering::Relaxed) {
                return;
            }
        }
        let remaining = CHECK_PERIOD.saturating_sub(started.elapsed());
        thread::sleep(remaining.max(MIN_PAUSE));
    }
}

fn zone_targets<'a>(
    catalog: &'a Catalog,
    zone: &str,
) -> impl Iterator<Item = (TargetKey, &'a Target)> + 'a {
    let zone = catalog.zone_key(zone);
    catalog
        .targets()
        .filter(move |(_, target)| Some(target.zone) == zone && target.state != State::Off)
}

fn check(agent: &Agent, target: &Target) -> (Health, Option<group::State>, RequestedRest) {
    stage::reset();
    let answer = agent
        .get(format!("http://{}/health", target.address))
        .call();
    let Ok(mut answer) = answer else {
        return (Health::Unreached, None, RequestedRest::Absent);
    };
    let health = if answer.status().is_success() {
        Health::Up
    } else {
        Health::Down
    };
    let rest = RequestedRest::new(answer.status(), answer.headers());
    let body = answer.body_mut().as_reader().take(MAX_BODY_BYTES);
    let state: Option<Answer> = serde_json::from_reader(body).ok();
    (
        health,
        state.and_then(|answer| to_state(&answer.state)),
        rest,
    )
}
