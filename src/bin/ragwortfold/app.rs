//! From arguments to one `Config`.

use std::path::PathBuf;

use clap::ArgMatches;

use ragwortfold::config::settings::Overrides;

use crate::{clap_app, entry};

/// What the arguments ask for.
pub(crate) enum Config {
    /// Run an entry host.
    Entry(entry::Config),
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
        match self.matches.subcommand() {
            Some(("entry", matches)) => Config::Entry(entry_config(matches)),
            _ => unreachable!("clap requires a known subcommand"),
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
        settings: matches
            .get_one::<PathBuf>("settings")
            .cloned()
            .unwrap_or_default(),
        overrides: Overrides { values },
    }
}
