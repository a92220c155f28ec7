//! `ragwortfold drain` and `undrain`: takes a target, zone, region or host out of use for planned
//! work, and back into use.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use jsonc_parser::errors::ParseError;
use ragwortfold::border::configuration::{Configuration, State};
use ragwortfold::config::{self, Folder};
use ragwortfold::store::publication::{self, marker, Applied, Base, Fetched, Publication};
use serde_json::json;

use crate::fleet::{self, HostStatus, WaitOutcome};
use crate::table::{self, Format};
use crate::{overrides, print, publish, room, Error as Failure};

/// The maximum number of attempts to publish a change when others change the same file.
const MAX_APPLY_ATTEMPTS: u32 = 20;

/// The arguments of `drain` and `undrain`.
pub(crate) struct Config {
    /// The base URL of the platform's object API.
    pub(crate) platform: String,
    /// The kind of the resource.
    pub(crate) kind: ResourceKind,
    /// The name of the resource in the configuration.
    pub(crate) name: String,
    /// The state to set.
    pub(crate) state: State,
    /// What to do if the limits do not permit the drain.
    pub(crate) limit_policy: LimitPolicy,
    /// The maximum time to wait until the change is in force and, for a drain, the requests in
    /// flight are done. Zero does not wait.
    pub(crate) max_wait: Duration,
    /// The reason, for the history.
    pub(crate) note: Option<String>,
    /// The author, for the history.
    pub(crate) author: Option<String>,
    /// The output format.
    pub(crate) format: Format,
}

/// Whether a drain that the limits do not permit is started.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum LimitPolicy {
    /// The drain is refused.
    Enforce,
    /// The drain is started regardless of the limits.
    Ignore,
}

/// The kinds of resources that can be drained.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum ResourceKind {
    /// A target.
    Target,
    /// An availability zone.
    Zone,
    /// A region.
    Region,
    /// An entry host.
    Host,
}

impl ResourceKind {
    /// All kinds, each with its name on the command line.
    pub(crate) const ALL: [(&'static str, ResourceKind); 4] = [
        ("target", ResourceKind::Target),
        ("zone", ResourceKind::Zone),
        ("region", ResourceKind::Region),
        ("host", ResourceKind::Host),
    ];

    /// The section of the configuration that has resources of this kind.
    fn section(self) -> &'static str {
        match self {
            Self::Target => "targets",
            Self::Zone => "availability_zones",
            Self::Region => "regions",
            Self::Host => "hosts",
        }
    }
}

/// An error when draining or undraining.
#[derive(Debug, thiserror::Error)]
pub(crate) enum Error {
    /// The configuration has no such resource.
    #[error("{section} has no '{name}'; it has {known}")]
    Unknown {
        /// The configuration's section.
        section: &'static str,
        /// The requested name.
        name: String,
        /// The names in the section, separated by commas.
        known: String,
    },
    /// The limits do not permit the drain.
    #[error("{name} cannot be drained within limits, nothing was changed:\n{}\nGo on with --force.", .problems.join("\n"))]
    LimitsExceeded {
        /// The resource.
        name: String,
        /// The reasons against the drain.
        problems: Vec<String>,
    },
    /// A file that sorts after the file of overrides sets the state.
    #[error(
        "{section}.{name} is {state} after a change of {file}: another file sets its state, see \
         'ragwortfold config show --origin'; nothing was changed",
        file = overrides::FILE_NAME
    )]
    Overridden {
        /// The configuration's section.
        section: &'static str,
        /// The resource.
        name: String,
        /// The state after all files are merged.
        state: State,
    },
    /// The file of overrides has a syntax error.
    #[error("{file}: {source}", file = overrides::FILE_NAME)]
    Syntax {
        /// The parser's error.
        #[from]
        source: ParseError,
    },
    /// The resource to be drained is off.
    #[error("{0} is off, which is further than draining")]
    Off(String),
    /// Hosts have not applied the change, or requests are in flight, at the end of the wait.
    #[error("not done after {} ms:\n{}", .0.elapsed.as_millis(), format_lagging(&.0.lagging))]
    Unfinished(WaitOutcome),
}

impl Error {
    /// Whether the arguments or the configuration are invalid.
    pub(crate) fn is_invalid_input(&self) -> bool {
        matches!(
            self,
            Self::Unknown { .. } | Self::Overridden { .. } | Self::Syntax { .. } | Self::Off(_)
        )
    }
}

/// Formats one line for each host that is behind.
fn format_lagging(lagging: &BTreeMap<String, String>) -> String {
    let lines: Vec<String> = lagging
        .iter()
        .map(|(host, reason)| format!("  {host}: {reason}"))
        .collect();
    lines.join("\n")
}

/// The resources that a drain takes out of use, and the hosts to poll for its progress.
pub(crate) struct DrainSet {
    /// The targets that are drained.
    pub(crate) targets: BTreeSet<String>,
    /// The entry hosts that are drained.
    pub(crate) hosts: BTreeSet<String>,
    /// The zones that are drained as a whole.
    pub(crate) zones: BTreeSet<String>,
    /// Hosts that send requests to the targets or are drained themselves: addresses by name.
    polled_hosts: BTreeMap<String, String>,
}

impl DrainSet {
    fn new(configuration: &Configuration, kind: ResourceKind, name: &str) -> Self {
        let is_in_region = |zone: &&String| configuration.availability_zones[*zone].region == name;
        let zones: BTreeSet<String> = match kind {
            ResourceKind::Zone => BTreeSet::from([name.to_owned()]),
            ResourceKind::Region => {
                let zones = configuration.availability_zones.keys();
                zones.filter(is_in_region).cloned().collect()
            }
            ResourceKind::Target | ResourceKind::Host => BTreeSet::new(),
        };
        let targets = configuration.targets.iter();
        let targets: BTreeSet<String> = targets
            .filter(|(target, record)| match kind {
                ResourceKind::Target => *target == name,
                _ => zones.contains(&record.availability_zone),
            })
            .map(|(target, _)| target.clone())
            .collect();
        let has_drained_targets = |zone: &String| {
            let mut targets = targets.iter().map(|target| &configuration.targets[target]);
            targets.any(|target| target.availability_zone == *zone)
        };
        let is_polled = |host: &String| match kind {
            ResourceKind::Host => host == name,
            _ => has_drained_targets(&configuration.hosts[host].availability_zone),
        };
        let mut polled_hosts = fleet::host_addresses(configuration);
        polled_hosts.retain(|host, _| is_polled(host));
        let hosts = (kind == ResourceKind::Host).then(|| name.to_owned());
        Self {
            targets,
            hosts: hosts.into_iter().collect(),
            zones,
            polled_hosts,
        }
    }

    /// Why the drain is not complete on a host: an older revision or requests in flight. `None` if
    /// it is complete.
    fn pending_work(&self, host: &str, revision: u64, status: &HostStatus) -> Option<String> {
        if status.revision < revision {
            return Some(format!("has revision {}", status.revision));
        }
        let targets = status.services.values().flat_map(|s| &s.targets);
        let at_targets: u64 = targets
            .filter(|(target, _)| self.targets.contains(*target))
            .map(|(_, target)| target.in_flight)
            .sum();
        let own_requests = if self.hosts.contains(host) {
            status.in_flight
        } else {
            0
        };
        match at_targets + own_requests {
            0 => None,
            requests => Some(format!("{requests} requests in flight")),
        }
    }
}

/// Sets the state of the resource in the configuration on the platform and waits until the change
/// is complete.
pub(crate) fn run(config: &Config) -> Result<(), Failure> {
    let publication = publish::connect(&config.platform);
    let fetched = publish::pull_current(&publication)?;
    let configuration = publish::merge_files(&fetched)?;
    let state = current_state(&configuration, config)?;
    if (config.state, state) == (State::Draining, State::Off) {
        return Err(Error::Off(config.name.clone()).into());
    }
    let drain_set = DrainSet::new(&configuration, config.kind, &config.name);
    if config.state == State::Draining
        && state == State::Serving
        && config.limit_policy == LimitPolicy::Enforce
    {
        check_limits(&configuration, &drain_set, &config.name)?;
    }
    let revision = publish_change(&publication, fetched, config)?;
    await_completion(config, &configuration, &drain_set, revision)
}

/// Fails if the limits do not permit the drain.
fn check_limits(
    configuration: &Configuration,
    drain_set: &DrainSet,
    name: &str,
) -> Result<(), Failure> {
    let problems = room::drain_problems(configuration, drain_set)?;
    if problems.is_empty() {
        return Ok(());
    }
    let name = name.to_owned();
    Err(Error::LimitsExceeded { name, problems }.into())
}

/// The state that the resource's own record sets.
fn current_state(configuration: &Configuration, config: &Config) -> Result<State, Error> {
    let name = config.name.as_str();
    let zones = &configuration.availability_zones;
    let (state, known): (_, Vec<&String>) = match config.kind {
        ResourceKind::Target => (
            configuration.targets.get(name).map(|target| target.state),
            configuration.targets.keys().collect(),
        ),
        ResourceKind::Zone => (
            zones.get(name).map(|zone| zone.state),
            zones.keys().collect(),
        ),
        ResourceKind::Region => (
            configuration.regions.get(name).map(|region| region.state),
            configuration.regions.keys().collect(),
        ),
        ResourceKind::Host => (
            configuration.hosts.get(name).map(|host| host.state),
            configuration.hosts.keys().collect(),
        ),
    };
    state.ok_or_else(|| Error::Unknown {
        section: config.kind.section(),
        name: name.to_owned(),
        known: known.into_iter().cloned().collect::<Vec<_>>().join(", "),
    })
}

/// Publishes the change, and retries while others change the same file. Returns the revision that
/// contains the change.
fn publish_change(
    publication: &Publication,
    mut fetched: Fetched,
    config: &Config,
) -> Result<u64, Failure> {
    let signature = sign_drain(config);
    for _ in 0..MAX_APPLY_ATTEMPTS {
        let base = Base::Pulled(marker::for_revision(&fetched));
        edit_overrides(&mut fetched, config)?;
        match publication.apply(&fetched.files, &base, &signature, publish::check_files) {
            Ok(applied) => {
                print_applied(&applied, config.format)?;
                return Ok(applied.revision);
            }
            Err(publication::Error::Conflict(_)) => fetched = publish::pull_current(publication)?,
            Err(error) => return Err(publish::Error::from(error).into()),
        }
    }
    Err(publish::Error::from(publication::Error::LostRaces(MAX_APPLY_ATTEMPTS)).into())
}

/// The signature of the change, with a default note that names the command and the resource.
fn sign_drain(config: &Config) -> publication::Signature {
    let command = match config.state {
        State::Serving => "undrain",
        _ => "drain",
    };
    let note = format!("{command} {}.{}", config.kind.section(), config.name);
    let note = config.note.clone().unwrap_or(note);
    publish::sign_change(config.author.as_deref(), Some(&note))
}

/// Prints the published revision, unless the output is JSON.
fn print_applied(applied: &Applied, format: Format) -> Result<(), Failure> {
    match format {
        Format::Table => print(&publish::applied_text(applied)),
        Format::Json => Ok(()),
    }
}

/// Edits the file of overrides, and checks that the merged configuration is valid and has the
/// state.
fn edit_overrides(fetched: &mut Fetched, config: &Config) -> Result<(), Failure> {
    let Config {
        kind, name, state, ..
    } = config;
    let section = kind.section();
    let files = &mut fetched.files;
    let old = files.get(overrides::FILE_NAME).cloned();
    let new = match (state, &old) {
        (State::Serving, None) => None,
        (State::Serving, Some(old)) => {
            overrides::remove_state(old, section, name).map_err(Error::from)?
        }
        (state, old) => {
            let text = overrides::set_state(old.as_deref(), section, name, *state);
            Some(text.map_err(Error::from)?)
        }
    };
    match new {
        Some(text) => files.insert(overrides::FILE_NAME.into(), text),
        None => files.remove(overrides::FILE_NAME),
    };
    let folder = Folder::with_files(files.clone());
    let (configuration, _) = folder.merged_with_clients().map_err(config::Error::from)?;
    let merged_state = self::current_state(&configuration, config)?;
    if merged_state == *state {
        return Ok(());
    }
    Err(Error::Overridden {
        section,
        name: name.clone(),
        state: merged_state,
    }
    .into())
}

/// Waits until the change is in force and, for a drain, no requests are in flight, and prints the
/// result.
fn await_completion(
    config: &Config,
    configuration: &Configuration,
    drain_set: &DrainSet,
    revision: u64,
) -> Result<(), Failure> {
    if config.max_wait.is_zero() {
        return print_outcome(config, revision, None);
    }
    let outcome = if config.state == State::Serving {
        fleet::wait_for_revision(
            &fleet::host_addresses(configuration),
            revision,
            config.max_wait,
        )
    } else {
        let pending_work =
            |host: &str, status: &HostStatus| drain_set.pending_work(host, revision, status);
        fleet::poll_until_done(&drain_set.polled_hosts, config.max_wait, pending_work)
    };
    print_outcome(config, revision, Some(&outcome))?;
    if outcome.lagging.is_empty() {
        return Ok(());
    }
    Err(Error::Unfinished(outcome).into())
}

/// Prints the outcome of the wait; `None` if the command did not wait.
fn print_outcome(
    config: &Config,
    revision: u64,
    outcome: Option<&WaitOutcome>,
) -> Result<(), Failure> {
    let Config { name, state, .. } = config;
    let elapsed = outcome.map(|outcome| outcome.elapsed.as_millis() as u64);
    let is_complete = outcome.is_some_and(|outcome| outcome.lagging.is_empty());
    if config.format == Format::Json {
        let report = json!({
            "name": name, "state": state, "revision": revision, "done": is_complete,
            "waited_ms": elapsed,
        });
        return print(&table::format_value(&report, Format::Json));
    }
    match (elapsed, is_complete, state) {
        (Some(elapsed), true, State::Serving) => {
            print(&format!("{name} serves on all hosts after {elapsed} ms\n"))
        }
        (Some(elapsed), true, _) => print(&format!("{name} is drained after {elapsed} ms\n")),
        _ => Ok(()),
    }
}
