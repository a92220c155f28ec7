//! `ragwortfold status`: the status that one entry host reports, or a summary of all hosts.

use std::collections::BTreeMap;

use ragwortfold::border::configuration::Configuration;
use serde_json::{json, Value};

use crate::fleet::{self, StatusResult};
use crate::table::{self, Format};
use crate::{fetch, print, publish, Error};

/// The arguments of `status`.
pub(crate) struct Config {
    /// The source of the status.
    pub(crate) source: StatusSource,
    /// The output format.
    pub(crate) format: Format,
}

/// The source of the status.
pub(crate) enum StatusSource {
    /// An entry host, by its URL.
    Entry(String),
    /// All entry hosts of the configuration on a platform, by its URL.
    Platform(String),
}

/// Fetches and prints the status.
pub(crate) fn run(config: &Config) -> Result<(), Error> {
    let answer = match &config.source {
        StatusSource::Entry(url) => fetch::get(url, "/v1/status", &[])?,
        StatusSource::Platform(url) => fetch_summary(url)?,
    };
    print(&table::format_value(&answer, config.format))
}

/// Fetches the status of all hosts and returns a summary as JSON.
fn fetch_summary(platform: &str) -> Result<Value, Error> {
    let fetched = publish::pull_current(&publish::connect(platform))?;
    let configuration = publish::merge_files(&fetched)?;
    let results = fleet::fetch_all(&fleet::host_addresses(&configuration));
    let listed_states = fetch_listed_states(platform);
    let revision = fetched.revision;
    let hosts = hosts_json(&configuration, &results, &listed_states, revision);
    let behind = results
        .values()
        .filter(|result| !result.as_ref().is_ok_and(|a| a.revision >= revision));
    Ok(json!({
        "revision": revision,
        "hosts_in_force": results.len() - behind.count(),
        "hosts_asked": results.len(),
        "hosts": hosts,
        "targets": targets_json(&configuration, &results),
    }))
}

/// The state of each host in the platform's list, which may be out of date. Empty if the list
/// cannot be fetched.
fn fetch_listed_states(platform: &str) -> BTreeMap<String, String> {
    let Ok(list) = fetch::get(platform, "/v1/hosts", &[]) else {
        return BTreeMap::new();
    };
    let text = |entry: &Value, key: &str| entry[key].as_str().unwrap_or_default().to_owned();
    let entries = list["hosts"].as_array().into_iter().flatten();
    entries
        .map(|entry| (text(entry, "host"), text(entry, "state")))
        .collect()
}

/// The configured hosts with their state and reported status, by name.
fn hosts_json(
    configuration: &Configuration,
    results: &BTreeMap<String, StatusResult>,
    listed_states: &BTreeMap<String, String>,
    revision: u64,
) -> Value {
    let records = configuration.hosts.iter().map(|(name, host)| {
        let mut record = json!({
            "availability_zone": host.availability_zone,
            "address": host.address,
            "state": host.state,
            "listed": listed_states.get(name),
        });
        match results.get(name) {
            Some(Ok(status)) => {
                record["answers"] = "yes".into();
                record["revision"] = status.revision.into();
                record["behind"] = revision.saturating_sub(status.revision).into();
                record["in_flight"] = status.in_flight.into();
                record["delegate"] = status.delegate.into();
                record["planner"] = status.planner_epoch.is_some().into();
            }
            Some(Err(problem)) => record["answers"] = problem.as_str().into(),
            None => record["answers"] = "not asked".into(),
        }
        (name.clone(), record)
    });
    records.collect::<serde_json::Map<_, _>>().into()
}

/// The configured targets with the number of requests in flight from all hosts that answered, by
/// name.
fn targets_json(configuration: &Configuration, results: &BTreeMap<String, StatusResult>) -> Value {
    let mut in_flight: BTreeMap<&str, u64> = BTreeMap::new();
    for status in results.values().flatten() {
        for (name, target) in status.services.values().flat_map(|s| &s.targets) {
            *in_flight.entry(name).or_default() += target.in_flight;
        }
    }
    let records = configuration.targets.iter().map(|(name, target)| {
        let record = json!({
            "service": target.service,
            "availability_zone": target.availability_zone,
            "state": target.state,
            "slots": target.slots,
            "in_flight": in_flight.get(name.as_str()),
        });
        (name.clone(), record)
    });
    records.collect::<serde_json::Map<_, _>>().into()
}
