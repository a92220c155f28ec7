//! `ragwortfold config check` and `show`.

use std::path::PathBuf;
use std::sync::Arc;

use ragwortfold::border::configuration::Configuration;
use ragwortfold::config::{self, Clients, Folder, Origin};

use crate::{print, Error};

/// The arguments of `config check`.
pub(crate) struct Check {
    /// The folder.
    pub(crate) dir: PathBuf,
}

/// The arguments of `config show`.
pub(crate) struct Show {
    /// The folder.
    pub(crate) dir: PathBuf,
    /// Whether to print the file and line of each value.
    pub(crate) origin: Origin,
}

/// Checks a folder and prints how many records of each section it has.
pub(crate) fn check(config: &Check) -> Result<(), Error> {
    let folder = config::read(&config.dir)?;
    let (configuration, clients) = merge_checked(&folder)?;
    let summary = format_summary(&folder, &configuration, &clients);
    print(&format!("{}: {summary}\n", config.dir.display()))
}

/// Prints the merged folder and fails with its faults if it has any.
pub(crate) fn show(config: &Show) -> Result<(), Error> {
    let folder = config::read(&config.dir)?;
    let text = folder.show(config.origin).map_err(config::Error::from)?;
    print(&text)?;
    merge_checked(&folder)?;
    Ok(())
}

fn merge_checked(folder: &Folder) -> Result<(Configuration, Arc<Clients>), Error> {
    Ok(folder.merged_with_clients().map_err(config::Error::from)?)
}

fn format_summary(folder: &Folder, configuration: &Configuration, clients: &Clients) -> String {
    let counts = [
        (folder.files().len(), "files"),
        (configuration.regions.len(), "regions"),
        (configuration.availability_zones.len(), "availability zones"),
        (configuration.hosts.len(), "hosts"),
        (configuration.services.len(), "services"),
        (configuration.targets.len(), "targets"),
        (clients.len(), "client blocks"),
        (configuration.links.len(), "links"),
    ];
    let columns = counts.map(|(count, noun)| format!("{count} {noun}"));
    format!("{}; no faults", columns.join(", "))
}
