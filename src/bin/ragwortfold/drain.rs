//! `ragwortfold drain` and `undrain`: planned work on a target, zone, region or host.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use jsonc_parser::errors::ParseError;
use ragwortfold::border::configuration::{Configuration, State};
use ragwortfold::config::{self, Folder};
use ragwortfold::store::publication::{self, marker, Applied, Base, Fetched, Publication};
use serde_json::json;

use crate::fleet::{self, Report, Wait};
use crate::table::{self, Format};
use crate::{overrides, print, publish, room, Error as Failure};

/// How often a change that lost a race for the same file is made again.
const TRIES: u32 = 20;

/// The arguments of `drain` and `undrain`.
pub(crate) struct Config {
    /// The base URL of the platform's object API.
    pub(crate) platform: String,
    /// What kind of place is meant.
    pub(crate) kind: Kind,
    /// Its name.
    pub(crate) name: String,
    /// The state to bring it to.
    pub(crate) state: State,
    /// Whether to go on if the limits forbid it.
    pub(crate) limits: Limits,
    /// How long to wait until the work is done.
    pub(crate) wait: Duration,
    /// Why.
    pub(crate) note: Option<String>,
    /// Who asks for it.
    pub(crate) author: Option<String>,
    /// How results are printed.
    pub(crate) format: Format,
}

/// Whether a drain that cannot be met within limits is begun.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Limits {
    /// It is refused.
    Keep,
    /// It is begun.
    Force,
}

/// What can be drained.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Kind {
    /// A target.
    Target,
    /// An availability zone.
    Zone,
    /// A region.
    Region,
    /// An entry host.
    Host,
}

impl Kind {
    /// All kinds, by the word of the command line.
    pub(crate) const ALL: [(&'static str, Kind); 4] = [
        ("target", Kind::Target),
        ("zone", Kind::Zone),
        ("region", Kind::Region),
        ("host", Kind::Host),
    ];

    /// The configuration's section for it.
    fn section(self) -> &'static str {
        match self {
            Self::Target => "targets",
            Self::Zone => "availability_zones",
            Self::Region => "regions",
            Self::Host => "hosts",
        }
    }
}

/// What keeps a place from being drained.
#[derive(Debug, thiserror::Error)]
pub(crate) enum Error {
    /// There is no such place.
    #[error("{section} has no '{name}'; it has {known}")]
    Unknown {
        /// The configuration's section.
        section: &'static str,
        /// The name asked for.
        name: String,
        /// The names there are.
        known: String,
    },
    /// The limits forbid it.
    #[error("{name} cannot be drained within limits, nothing was changed:\n{}\nGo on with --force.", .problems.join("\n"))]
    Limits {
        /// The place.
        name: String,
        /// What stands against it.
        problems: Vec<String>,
    },
    /// Another file has the last word.
    #[error(
        "{section}.{name} is {state} after a change of {file}: another file sets its state, see \
         'ragwortfold config show --origin'; nothing was changed",
        file = overrides::FILE
    )]
    Overridden {
        /// The configuration's section.
        section: &'static str,
        /// The place.
        name: String,
        /// Its state.
        state: State,
    },
    /// The file of overrides cannot be read.
    #[error("{file}: {source}", file = overrides::FILE)]
    Syntax {
        /// Why not.
        #[from]
        source: ParseError,
    },
    /// It takes no work at all.
    #[error("{0} is off, which is further than draining")]
    Off(String),
    /// Work is left after the time to wait.
    #[error("not done after {} ms:\n{}", .0.took.as_millis(), lines(&.0.lagging))]
    Unfinished(Wait),
}

impl Error {
    /// Whether the arguments or the configuration are wrong.
    pub(crate) fn is_wrong(&self) -> bool {
        matches!(
            self,
            Self::Unknown { .. } | Self::Overridden { .. } | Self::Syntax { .. } | Self::Off(_)
        )
    }
}

fn lines(lagging: &BTreeMap<String, String>) -> String {
    let lines: Vec<String> = lagging
        .iter()
        .map(|(host, why)| format!("  {host}: {why}"))
        .collect();
    lines.join("\n")
}

/// What leaves with a place, and whom to ask how far it is.
pub(crate) struct Leaving {
    /// The targets.
    pub(crate) targets: BTreeSet<String>,
    /// The entry hosts.
    pub(crate) hosts: BTreeSet<String>,
    /// The zones that leave as a whole.
    pub(crate) zones: BTreeSet<String>,
    /// Hosts that use the targets or leave themselves, with their addresses.
    asked: BTreeMap<String, String>,
}

impl Leaving {
    fn new(configuration: &Configuration, kind: Kind, name: &str) -> Self {
        let in_region = |zone: &&String| configuration.availability_zones[*zone].region == name;
        let zones: BTreeSet<String> = match kind {
            Kind::Zone => BTreeSet::from([name.to_owned()]),
            Kind::Region => {
                let zones = configuration.availability_zones.keys();
                zones.filter(in_region).cloned().collect()
            }
            Kind::Target | Kind::Host => BTreeSet::new(),
        };
        let targets = configuration.targets.iter();
        let targets: BTreeSet<String> = targets
            .filter(|(target, record)| match kind {
                Kind::Target => *target == name,
                _ => zones.contains(&record.availability_zone),
            })
            .map(|(target, _)| target.clone())
            .collect();
        let used = |zone: &String| {
            let mut targets = targets.iter().map(|target| &configuration.targets[target]);
            targets.any(|target| target.availability_zone == *zone)
        };
        let is_asked = |host: &String| match kind {
            Kind::Host => host == name,
            _ => used(&configuration.hosts[host].availability_zone),
        };
        let mut asked = fleet::hosts(configuration);
        asked.retain(|host, _| is_asked(host));
        let hosts = (kind == Kind::Host).then(|| name.to_owned());
        Self {
            targets,
            hosts: hosts.into_iter().collect(),
            zones,
            asked,
        }
    }

    /// What is left to be done on a host, if anything.
    fn work(&self, host: &str, revision: u64, report: &Report) -> Option<String> {
        if report.revision < revision {
            return Some(format!("has revision {}", report.revision));
        }
        let targets = report.services.values().flat_map(|s| &s.targets);
        let at_targets: u64 = targets
            .filter(|(target, _)| self.targets.contains(*target))
            .map(|(_, target)| target.in_flight)
            .sum();
        let own = if self.hosts.contains(host) {
            report.in_flight
        } else {
            0
        };
        match at_targets + own {
            0 => None,
            work => Some(format!("{work} requests in flight")),
        }
    }
}

/// Sets the state of a place in the configuration on the platform and follows what comes of it.
pub(crate) fn run(config: &Config) -> Result<(), Failure> {
    let publication = publish::connect(&config.platform);
    let fetched = publish::in_force(&publication)?;
    let configuration = publish::configuration(&fetched)?;
    let state = state(&configuration, config)?;
    if (config.state, state) == (State::Draining, State::Off) {
        return Err(Error::Off(config.name.clone()).into());
    }
    let leaving = Leaving::new(&configuration, config.kind, &config.name);
    if config.state == State::Draining && state == State::Serving && config.limits == Limits::Keep {
        check_limits(&configuration, &leaving, &config.name)?;
    }
    let revision = change(&publication, fetched, config)?;
    follow(config, &configuration, &leaving, revision)
}

fn check_limits(
    configuration: &Configuration,
    leaving: &Leaving,
    name: &str,
) -> Result<(), Failure> {
    let problems = room::problems(configuration, leaving)?;
    if problems.is_empty() {
        return Ok(());
    }
    let name = name.to_owned();
    Err(Error::Limits { name, problems }.into())
}

/// The state of the place by its own record.
fn state(configuration: &Configuration, config: &Config) -> Result<State, Error> {
    let name = config.name.as_str();
    let zones = &configuration.availability_zones;
    let (state, known): (_, Vec<&String>) = match config.kind {
        Kind::Target => (
            configuration.targets.get(name).map(|target| target.state),
            configuration.targets.keys().collect(),
        ),
        Kind::Zone => (
            zones.get(name).map(|zone| zone.state),
            zones.keys().collect(),
        ),
        Kind::Region => (
            configuration.regions.get(name).map(|region| region.state),
            configuration.regions.keys().collect(),
        ),
        Kind::Host => (
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

/// Publishes the change, again and again while others change the same file. Returns the revision
/// that has it.
fn change(
    publication: &Publication,
    mut fetched: Fetched,
    config: &Config,
) -> Result<u64, Failure> {
    let signature = sign(config);
    for _ in 0..TRIES {
        let base = Base::Pulled(marker::for_revision(&fetched));
        edit(&mut fetched, config)?;
        match publication.apply(&fetched.files, &base, &signature, publish::check) {
            Ok(applied) => {
                tell(&applied, config.format)?;
                return Ok(applied.revision);
            }
            Err(publication::Error::Conflict(_)) => fetched = publish::in_force(publication)?,
            Err(error) => return Err(publish::Error::from(error).into()),
        }
    }
    Err(publish::Error::from(publication::Error::LostRaces(TRIES)).into())
}

fn sign(config: &Config) -> publication::Signature {
    let word = match config.state {
        State::Serving => "undrain",
        _ => "drain",
    };
    let note = format!("{word} {}.{}", config.kind.section(), config.name);
    let note = config.note.clone().unwrap_or(note);
    publish::sign(config.author.as_deref(), Some(&note))
}

fn tell(applied: &Applied, format: Format) -> Result<(), Failure> {
    match format {
        Format::Table => print(&publish::applied_text(applied)),
        Format::Json => Ok(()),
    }
}

/// Makes the change in the file of overrides.
fn edit(fetched: &mut Fetched, config: &Config) -> Result<(), Failure> {
    let Config {
        kind, name, state, ..
    } = config;
    let section = kind.section();
    let files = &mut fetched.files;
    let old = files.get(overrides::FILE).cloned();
    let new = match (state, &old) {
        (State::Serving, None) => None,
        (State::Serving, Some(old)) => {
            overrides::remove(old, section, name).map_err(Error::from)?
        }
        (state, old) => {
            let text = overrides::set(old.as_deref(), section, name, *state);
            Some(text.map_err(Error::from)?)
        }
    };
    match new {
        Some(text) => files.insert(overrides::FILE.into(), text),
        None => files.remove(overrides::FILE),
    };
    let folder = Folder::with_files(files.clone());
    let (configuration, _) = folder.parts().map_err(config::Error::from)?;
    let found = self::state(&configuration, config)?;
    if found == *state {
        return Ok(());
    }
    Err(Error::Overridden {
        section,
        name: name.clone(),
        state: found,
    }
    .into())
}

/// Waits until the change is in force and, for a drain, the work in flight is done.
fn follow(
    config: &Config,
    configuration: &Configuration,
    leaving: &Leaving,
    revision: u64,
) -> Result<(), Failure> {
    if config.wait.is_zero() {
        return report(config, revision, None);
    }
    let waited = if config.state == State::Serving {
        fleet::wait_revision(&fleet::hosts(configuration), revision, config.wait)
    } else {
        let work = |host: &str, report: &Report| leaving.work(host, revision, report);
        fleet::wait(&leaving.asked, config.wait, work)
    };
    report(config, revision, Some(&waited))?;
    if waited.lagging.is_empty() {
        return Ok(());
    }
    Err(Error::Unfinished(waited).into())
}

fn report(config: &Config, revision: u64, waited: Option<&Wait>) -> Result<(), Failure> {
    let Config { name, state, .. } = config;
    let took = waited.map(|waited| waited.took.as_millis() as u64);
    let is_done = waited.is_some_and(|waited| waited.lagging.is_empty());
    if config.format == Format::Json {
        let report = json!({
            "name": name, "state": state, "revision": revision, "done": is_done, "waited_ms": took,
        });
        return print(&table::text(&report, Format::Json));
    }
    match (took, is_done, state) {
        (Some(took), true, State::Serving) => {
            print(&format!("{name} serves on all hosts after {took} ms\n"))
        }
        (Some(took), true, _) => print(&format!("{name} is drained after {took} ms\n")),
        _ => Ok(()),
    }
}
