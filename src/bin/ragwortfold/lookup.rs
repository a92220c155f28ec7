//! `ragwortfold lookup`: which entry hosts a caller should use.

use crate::table::{self, Format};
use crate::{fetch, print, Error};

/// The arguments of `lookup`.
pub(crate) struct Config {
    /// The URL of an entry host.
    pub(crate) entry: String,
    /// The service.
    pub(crate) service: String,
    /// The caller's address; none for this machine's.
    pub(crate) client: Option<String>,
    /// How the answer is printed.
    pub(crate) format: Format,
}

/// Asks a host and prints its answer.
pub(crate) fn run(config: &Config) -> Result<(), Error> {
    let mut query = vec![("service", config.service.as_str())];
    query.extend(config.client.as_deref().map(|client| ("client", client)));
    let answer = fetch::get(&config.entry, "/v1/entries", &query)?;
    print(&table::text(&answer, config.format))
}
