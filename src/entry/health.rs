//! Asks the targets of this host's zone for their state now and then.
//!
//! What they say may lag or mislead: a target that calls itself well is not trusted for it, but one
//! that says it is leaving gets no new work.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use serde::Deserialize;
use ureq::unversioned::transport::TcpConnector;
use ureq::Agent;

use super::classify::to_state;
use super::core::{Event, Handle};
use super::published::Published;
use super::Error;
use crate::catalog::{Catalog, State, Target, TargetKey};
use crate::literal::LiteralResolver;
use crate::steer::group::{self, Health};

/// Time between two questions to one target.
const PERIOD: Duration = Duration::from_millis(750);
/// Time a target has to answer.
const TIME: Duration = Duration::from_millis(500);
/// Threads, so that one silent target does not hold up all others.
const THREADS: usize = 4;
/// Shortest pause between two looks at what is due.
const PAUSE: Duration = Duration::from_millis(50);

/// A target's answer.
#[derive(Deserialize)]
struct Answer {
    state: Arc<str>,
}

/// Starts the threads.
pub(crate) fn start(
    zone: &str,
    published: &Arc<Published>,
    core: &Handle,
    stop: &Arc<AtomicBool>,
) -> Result<(), Error> {
    for index in 0..THREADS {
        let zone: Arc<str> = zone.into();
        let published = published.clone();
        let core = core.clone();
        let stop = stop.clone();
        thread::Builder::new()
            .name(format!("health-{index}"))
            .spawn(move || run(index, &zone, &published, &core, &stop))?;
    }
    Ok(())
}

fn run(index: usize, zone: &str, published: &Published, core: &Handle, stop: &AtomicBool) {
    let config = Agent::config_builder()
        .http_status_as_error(false)
        .timeout_global(Some(TIME))
        .max_idle_connections_per_host(1)
        .build();
    let agent = Agent::with_parts(config, TcpConnector::default(), LiteralResolver::default());
    while !stop.load(Ordering::Relaxed) {
        let started = Instant::now();
        let catalog = published.get().catalog.clone();
        for (key, target) in own(&catalog, zone).skip(index).step_by(THREADS) {
            if core.is_limited(key) {
                // Each question is one more request, and its answers to requests tell its state.
                continue;
            }
            let (health, state) = ask(&agent, target);
            core.send(Event::Health(key, health, state));
            if stop.load(Ordering::Relaxed) {
                return;
            }
        }
        let left = PERIOD.saturating_sub(started.elapsed());
        thread::sleep(left.max(PAUSE));
    }
}

fn own<'a>(catalog: &'a Catalog, zone: &str) -> impl Iterator<Item = (TargetKey, &'a Target)> + 'a {
    let zone = catalog.zone_key(zone);
    catalog
        .targets()
        .filter(move |(_, target)| Some(target.zone) == zone && target.state != State::Off)
}

fn ask(agent: &Agent, target: &Target) -> (Health, Option<group::State>) {
    let answer = agent
        .get(format!("http://{}/health", target.address))
        .call();
    let Ok(mut answer) = answer else {
        return (Health::Down, None);
    };
    let health = if answer.status().is_success() {
        Health::Up
    } else {
        Health::Down
    };
    let state: Option<Answer> = serde_json::from_reader(answer.body_mut().as_reader()).ok();
    (health, state.and_then(|answer| to_state(&answer.state)))
}
