//! The status report of a host for operators.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Instant;

use serde::Serialize;

use crate::border::settings::Settings;
use crate::control::agent::Agent;
use crate::control::membership::{Status as MemberStatus, ZoneStatus};
use crate::steer::engine::Engine;

/// Shares of availability zones, by service and locality.
type Splits = BTreeMap<Arc<str>, BTreeMap<Arc<str>, BTreeMap<Arc<str>, f64>>>;

/// The answer to `/v1/status`.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct Status {
    host: Arc<str>,
    availability_zone: Arc<str>,
    incarnation: u64,
    revision: u64,
    /// Epoch and sequence of the plan in force.
    plan: (u64, u64),
    /// The epoch of the planner lease, if this host holds it.
    planner_epoch: Option<u64>,
    delegate: bool,
    /// Requests that this host has not answered yet, including those that other hosts are processing.
    in_flight: usize,
    hosts: BTreeMap<Arc<str>, Host>,
    zones: BTreeMap<Arc<str>, &'static str>,
    services: BTreeMap<Arc<str>, Service>,
    splits: Splits,
}

#[derive(Clone, Debug, Serialize)]
struct Host {
    availability_zone: Arc<str>,
    state: &'static str,
    linked: bool,
}

#[derive(Clone, Debug, Default, Serialize)]
struct Service {
    slots: u32,
    in_flight: u32,
    limit: u32,
    queued: usize,
    cold: f64,
    ejected: f64,
    targets: BTreeMap<Arc<str>, Target>,
}

#[derive(Clone, Debug, Serialize)]
struct Target {
    state: String,
    in_flight: u32,
    limit: u32,
    ejected: bool,
}

impl Status {
    pub(crate) fn new(
        now: Instant,
        settings: &Settings,
        incarnation: u64,
        engine: &Engine,
        agent: Option<&Agent>,
    ) -> Self {
        let stamp = agent.map(Agent::plan_stamp).unwrap_or_default();
        Self {
            host: settings.host.as_str().into(),
            availability_zone: settings.availability_zone.as_str().into(),
            incarnation,
            revision: engine.catalog().revision,
            plan: (stamp.epoch, stamp.sequence),
            planner_epoch: agent.and_then(|agent| agent.held_epoch(now)),
            delegate: agent.is_some_and(Agent::is_delegate),
            in_flight: 0,
            hosts: agent.map(|agent| hosts(engine, agent)).unwrap_or_default(),
            zones: agent.map(|agent| zones(engine, agent)).unwrap_or_default(),
            services: services(engine, &settings.availability_zone),
            splits: splits(engine),
        }
    }

    /// Sets the number of unanswered requests, which the core does not track.
    pub(crate) fn with_in_flight(mut self, in_flight: usize) -> Self {
        self.in_flight = in_flight;
        self
    }
}

fn hosts(engine: &Engine, agent: &Agent) -> BTreeMap<Arc<str>, Host> {
    let catalog = engine.catalog();
    let linked = agent.wanted_links();
    let live = agent.live_hosts();
    catalog
        .hosts()
        .map(|(key, host)| {
            let state = match agent.membership().status(key) {
                MemberStatus::Unknown => "unknown",
                MemberStatus::Dead => "dead",
                MemberStatus::Suspect => "suspect",
                MemberStatus::Alive if live.contains(&key) => "alive",
                MemberStatus::Alive => "leaving",
            };
            let record = Host {
                availability_zone: catalog.zone(host.zone).name.clone(),
                state,
                linked: linked.contains(&key),
            };
            (host.name.clone(), record)
        })
        .collect()
}

fn zones(engine: &Engine, agent: &Agent) -> BTreeMap<Arc<str>, &'static str> {
    let catalog = engine.catalog();
    agent
        .zone_statuses()
        .into_iter()
        .map(|(zone, status)| {
            let status = match status {
                ZoneStatus::Alive => "alive",
                ZoneStatus::Lost => "lost",
                ZoneStatus::Unknown(_) => "unknown",
            };
            (catalog.zone(zone).name.clone(), status)
        })
        .collect()
}

fn services(engine: &Engine, zone: &str) -> BTreeMap<Arc<str>, Service> {
    let catalog = engine.catalog();
    let mut services = BTreeMap::new();
    let Some(zone) = catalog.zone_key(zone) else {
        return services;
    };
    for (key, service) in catalog.services() {
        let (Some(group), Some(site)) = (engine.group(key), catalog.site(key, zone)) else {
            continue;
        };
        let headroom = group.headroom();
        let targets = site
            .targets
            .iter()
            .map(|&target| {
                let record = Target {
                    state: catalog.target_state(target).to_string(),
                    in_flight: group.in_flight(target),
                    limit: group.limit(target),
                    ejected: group.is_ejected(target),
                };
                (catalog.target(target).name.clone(), record)
            })
            .collect();
        let record = Service {
            slots: headroom.slots,
            in_flight: headroom.in_flight,
            limit: headroom.limit,
            queued: headroom.queued,
            cold: headroom.cold,
            ejected: headroom.ejected,
            targets,
        };
        services.insert(service.name.clone(), record);
    }
    services
}

fn splits(engine: &Engine) -> Splits {
    let catalog = engine.catalog();
    let mut splits = Splits::new();
    for ((service, locality), split) in engine.splits() {
        let shares = split
            .shares()
            .map(|(zone, share)| (catalog.zone(zone).name.clone(), share))
            .collect();
        splits
            .entry(catalog.service(service).name.clone())
            .or_default()
            .insert(catalog.region(locality).name.clone(), shares);
    }
    splits
}
