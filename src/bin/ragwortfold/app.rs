//! From arguments to one `Config`.

use std::net::IpAddr;
use std::path::PathBuf;
use std::time::Duration;

use clap::ArgMatches;
use clap_complete::Shell;

use ragwortfold::border::configuration::State;
use ragwortfold::config::settings::Overrides;
use ragwortfold::config::Origin;
use ragwortfold::store::publication::OverwritePolicy;

use crate::drain::{Kind, Limits};
use crate::publish::Edits;
use crate::table::Format;
use crate::{clap_app, config, drain, entry, explain, lookup, publish, status};

/// What the arguments ask for.
pub(crate) enum Config {
    /// Print the completions of a shell.
    Completions(Shell),
    /// Print the man page.
    Man,
    /// Run an entry host.
    Entry(entry::Config),
    /// Check a configuration folder.
    Check(config::Check),
    /// Show a configuration folder.
    Show(config::Show),
    /// Read or change the configuration on the platform.
    Publish(publish::Config),
    /// Change the state of a place.
    Drain(drain::Config),
    /// Show what a host or the platform says of the system.
    Status(status::Config),
    /// Ask for entry hosts.
    Lookup(lookup::Config),
    /// Tell a request's story from logs.
    Explain(explain::Config),
    /// Run the demo.
    #[cfg(feature = "demo")]
    Demo(crate::demo::Config),
    /// The demo is not in this build.
    #[cfg(not(feature = "demo"))]
    Demo,
}

/// The parsed arguments.
pub(crate) struct App {
    matches: ArgMatches,
}

impl App {
    /// Parses the arguments of this process; leaves it when they are wrong or ask for help.
    pub(crate) fn new() -> Self {
        Self {
            matches: clap_app::build().get_matches(),
        }
    }

    /// What the arguments ask for.
    pub(crate) fn config(&self) -> Config {
        if let Some(&shell) = self.matches.get_one::<Shell>("completions") {
            return Config::Completions(shell);
        }
        match self.matches.subcommand() {
            Some(("entry", matches)) => Config::Entry(entry_config(matches)),
            Some(("config", matches)) => folder_config(matches),
            Some(("drain", matches)) => Config::Drain(drain_config(matches, State::Draining)),
            Some(("undrain", matches)) => Config::Drain(drain_config(matches, State::Serving)),
            Some(("status", matches)) => Config::Status(status_config(matches)),
            Some(("lookup", matches)) => Config::Lookup(lookup_config(matches)),
            Some(("explain", matches)) => Config::Explain(explain_config(matches)),
            #[cfg(feature = "demo")]
            Some(("demo", matches)) => Config::Demo(demo_config(matches)),
            #[cfg(not(feature = "demo"))]
            Some(("demo", _)) => Config::Demo,
            // The parser allows nothing else but `--man`.
            _ => Config::Man,
        }
    }
}

fn entry_config(matches: &ArgMatches) -> entry::Config {
    let values = clap_app::OVERRIDES
        .iter()
        .filter_map(|&(flag, path, _)| {
            let value = matches.get_one::<String>(flag)?;
            Some((path.into(), value.as_str().into()))
        })
        .collect();
    entry::Config {
        settings: path(matches, "settings"),
        overrides: Overrides { values },
    }
}

fn folder_config(matches: &ArgMatches) -> Config {
    let (name, matches) = matches.subcommand().unwrap_or(("", matches));
    let action = match name {
        "check" => {
            let dir = path(matches, "dir");
            return Config::Check(config::Check { dir });
        }
        "show" => return Config::Show(show_config(matches)),
        "diff" => publish::Action::Diff {
            dir: path(matches, "dir"),
        },
        "apply" => apply_action(matches),
        "pull" => publish::Action::Pull {
            dir: path(matches, "dir"),
            edits: flagged(matches, "discard-edits", Edits::Keep, Edits::Discard),
        },
        // The parser allows nothing else.
        _ => publish::Action::History,
    };
    Config::Publish(publish::Config {
        platform: text(matches, "platform"),
        action,
        format: format(matches),
    })
}

fn show_config(matches: &ArgMatches) -> config::Show {
    config::Show {
        dir: path(matches, "dir"),
        origin: if matches.get_flag("origin") {
            Origin::Shown
        } else {
            Origin::Hidden
        },
    }
}

fn apply_action(matches: &ArgMatches) -> publish::Action {
    publish::Action::Apply {
        source: match matches.get_one::<u64>("revert") {
            Some(&revision) => publish::Source::Revision(revision),
            None => publish::Source::Folder(
                path(matches, "dir"),
                flagged(
                    matches,
                    "remove-missing",
                    OverwritePolicy::Refuse,
                    OverwritePolicy::Allow,
                ),
            ),
        },
        note: matches.get_one("note").cloned(),
        author: matches.get_one("author").cloned(),
        wait: wait(matches),
    }
}

fn drain_config(matches: &ArgMatches, state: State) -> drain::Config {
    drain::Config {
        platform: text(matches, "platform"),
        kind: choice(matches, "kind", &Kind::ALL),
        name: text(matches, "name"),
        state,
        limits: match state {
            State::Draining => flagged(matches, "force", Limits::Keep, Limits::Force),
            _ => Limits::Force,
        },
        wait: wait(matches),
        note: matches.get_one("note").cloned(),
        author: matches.get_one("author").cloned(),
        format: format(matches),
    }
}

fn status_config(matches: &ArgMatches) -> status::Config {
    status::Config {
        from: match matches.get_one::<String>("entry") {
            Some(url) => status::From::Entry(url.clone()),
            None => status::From::Platform(text(matches, "platform")),
        },
        format: format(matches),
    }
}

fn explain_config(matches: &ArgMatches) -> explain::Config {
    let logs = matches.get_many("logs").unwrap_or_default();
    explain::Config {
        id: text(matches, "id"),
        logs: logs.cloned().collect(),
    }
}

fn lookup_config(matches: &ArgMatches) -> lookup::Config {
    lookup::Config {
        entry: text(matches, "entry"),
        service: text(matches, "service"),
        client: matches.get_one::<IpAddr>("client").map(IpAddr::to_string),
        format: format(matches),
    }
}

#[cfg(feature = "demo")]
fn demo_config(matches: &ArgMatches) -> crate::demo::Config {
    let number = |name| matches.get_one::<u64>(name).copied().unwrap_or_default();
    crate::demo::Config {
        customer: choice(matches, "customer", &crate::demo::Customer::ALL),
        seconds: number("seconds"),
        rate: matches.get_one("rate").copied(),
        seed: number("seed"),
        fault: text(matches, "fault"),
        format: format(matches),
    }
}

/// The value of a path that the parser requires.
fn path(matches: &ArgMatches, name: &str) -> PathBuf {
    matches.get_one(name).cloned().unwrap_or_default()
}

/// The value of a text that the parser requires.
fn text(matches: &ArgMatches, name: &str) -> String {
    matches.get_one(name).cloned().unwrap_or_default()
}

/// The value that a word stands for; the parser allows only the words of `all`.
fn choice<T: Copy>(matches: &ArgMatches, name: &str, all: &[(&str, T)]) -> T {
    let word = text(matches, name);
    let found = all.iter().find(|(known, _)| *known == word);
    found.unwrap_or(&all[0]).1
}

/// What a flag chooses.
fn flagged<T>(matches: &ArgMatches, flag: &str, without: T, with: T) -> T {
    if matches.get_flag(flag) {
        with
    } else {
        without
    }
}

fn wait(matches: &ArgMatches) -> Duration {
    Duration::from_secs(matches.get_one("wait").copied().unwrap_or_default())
}

fn format(matches: &ArgMatches) -> Format {
    if matches.get_flag("json") {
        Format::Json
    } else {
        Format::Table
    }
}
