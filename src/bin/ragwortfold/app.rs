//! Converts the parsed arguments to the `Config` of the selected command.

use std::net::IpAddr;
use std::path::PathBuf;
use std::time::Duration;

use clap::ArgMatches;
use clap_complete::Shell;

use ragwortfold::border::configuration::State;
use ragwortfold::config::settings::Overrides;
use ragwortfold::config::Origin;
use ragwortfold::store::publication::OverwritePolicy;

use crate::drain::{LimitPolicy, ResourceKind};
use crate::publish::Edits;
use crate::table::Format;
use crate::{clap_app, config, drain, entry, explain, lookup, publish, status};

/// The selected command and its arguments.
pub(crate) enum Config {
    /// Print the shell completions.
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
    /// Drain or undrain a target, zone, region or host.
    Drain(drain::Config),
    /// Show the status that one or all entry hosts report.
    Status(status::Config),
    /// Look up the entry hosts for a service.
    Lookup(lookup::Config),
    /// Show the log lines about one request.
    Explain(explain::Config),
    /// Run the demo.
    #[cfg(feature = "demo")]
    Demo(crate::demo::Config),
    /// The program was built without the feature `demo`.
    #[cfg(not(feature = "demo"))]
    Demo,
}

/// The parsed arguments.
pub(crate) struct App {
    matches: ArgMatches,
}

impl App {
    /// Parses the arguments of this process. Exits the process if they are invalid or request help.
    pub(crate) fn new() -> Self {
        Self {
            matches: clap_app::build().get_matches(),
        }
    }

    /// The selected command and its arguments.
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
            // The parser accepts no other arguments than `--man`.
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
        settings: path_arg(matches, "settings"),
        overrides: Overrides { values },
    }
}

fn folder_config(matches: &ArgMatches) -> Config {
    let (name, matches) = matches.subcommand().unwrap_or(("", matches));
    let action = match name {
        "check" => {
            let dir = path_arg(matches, "dir");
            return Config::Check(config::Check { dir });
        }
        "show" => return Config::Show(show_config(matches)),
        "diff" => publish::Action::Diff {
            dir: path_arg(matches, "dir"),
        },
        "apply" => apply_action(matches),
        "pull" => publish::Action::Pull {
            dir: path_arg(matches, "dir"),
            edits: select_by_flag(matches, "discard-edits", Edits::Keep, Edits::Discard),
        },
        // The parser accepts only `history` besides these.
        _ => publish::Action::History,
    };
    Config::Publish(publish::Config {
        platform: text_arg(matches, "platform"),
        action,
        format: output_format(matches),
    })
}

fn show_config(matches: &ArgMatches) -> config::Show {
    config::Show {
        dir: path_arg(matches, "dir"),
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
                path_arg(matches, "dir"),
                select_by_flag(
                    matches,
                    "remove-missing",
                    OverwritePolicy::Refuse,
                    OverwritePolicy::Allow,
                ),
            ),
        },
        note: matches.get_one("note").cloned(),
        author: matches.get_one("author").cloned(),
        max_wait: max_wait(matches),
    }
}

fn drain_config(matches: &ArgMatches, state: State) -> drain::Config {
    drain::Config {
        platform: text_arg(matches, "platform"),
        kind: choice_arg(matches, "kind", &ResourceKind::ALL),
        name: text_arg(matches, "name"),
        state,
        limit_policy: match state {
            State::Draining => {
                select_by_flag(matches, "force", LimitPolicy::Enforce, LimitPolicy::Ignore)
            }
            _ => LimitPolicy::Ignore,
        },
        max_wait: max_wait(matches),
        note: matches.get_one("note").cloned(),
        author: matches.get_one("author").cloned(),
        format: output_format(matches),
    }
}

fn status_config(matches: &ArgMatches) -> status::Config {
    status::Config {
        source: match matches.get_one::<String>("entry") {
            Some(url) => status::StatusSource::Entry(url.clone()),
            None => status::StatusSource::Platform(text_arg(matches, "platform")),
        },
        format: output_format(matches),
    }
}

fn explain_config(matches: &ArgMatches) -> explain::Config {
    let logs = matches.get_many("logs").unwrap_or_default();
    explain::Config {
        id: text_arg(matches, "id"),
        logs: logs.cloned().collect(),
    }
}

fn lookup_config(matches: &ArgMatches) -> lookup::Config {
    lookup::Config {
        entry: text_arg(matches, "entry"),
        service: text_arg(matches, "service"),
        client: matches.get_one::<IpAddr>("client").map(IpAddr::to_string),
        format: output_format(matches),
    }
}

#[cfg(feature = "demo")]
fn demo_config(matches: &ArgMatches) -> crate::demo::Config {
    let number = |name| matches.get_one::<u64>(name).copied().unwrap_or_default();
    crate::demo::Config {
        customer: choice_arg(matches, "customer", &crate::demo::Customer::ALL),
        seconds: number("seconds"),
        rate: matches.get_one("rate").copied(),
        seed: number("seed"),
        fault: text_arg(matches, "fault"),
        format: output_format(matches),
    }
}

/// The path argument `name`, which the parser requires.
fn path_arg(matches: &ArgMatches, name: &str) -> PathBuf {
    matches.get_one(name).cloned().unwrap_or_default()
}

/// The text argument `name`, which the parser requires.
fn text_arg(matches: &ArgMatches, name: &str) -> String {
    matches.get_one(name).cloned().unwrap_or_default()
}

/// Returns the value for the word given as argument `name`; the parser accepts only the words in
/// `all`.
fn choice_arg<T: Copy>(matches: &ArgMatches, name: &str, all: &[(&str, T)]) -> T {
    let word = text_arg(matches, name);
    let found = all.iter().find(|(known, _)| *known == word);
    found.unwrap_or(&all[0]).1
}

/// Returns `with` if the flag is given, and `without` otherwise.
fn select_by_flag<T>(matches: &ArgMatches, flag: &str, without: T, with: T) -> T {
    if matches.get_flag(flag) {
        with
    } else {
        without
    }
}

/// The value of `--wait`.
fn max_wait(matches: &ArgMatches) -> Duration {
    Duration::from_secs(matches.get_one("wait").copied().unwrap_or_default())
}

fn output_format(matches: &ArgMatches) -> Format {
    if matches.get_flag("json") {
        Format::Json
    } else {
        Format::Table
    }
}
