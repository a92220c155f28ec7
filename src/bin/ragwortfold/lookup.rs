//! `ragwortfold lookup`: asks an entry host which entry hosts a caller should use.

use crate::table::{self, Format};
use crate::{fetch, print, Error};

/// The arguments of `lookup`.
pub(crate) struct Config {
    /// The URL of the entry host that is asked.
    pub(crate) entry: String,
    /// The service to look up.
    pub(crate) service: String,
    /// The caller's address; if `None`, the host takes the address that the request comes from.
    pub(crate) client: Option<String>,
    /// The output format.
    pub(crate) format: Format,
}

/// Queries the entry host and prints the response.
pub(crate) fn run(config: &Config) -> Result<(), Error> {
    let mut query = vec![("service", config.service.as_str())];
    query.extend(config.client.as_deref().map(|client| ("client", client)));
    let response = fetch::get(&config.entry, "/v1/entries", &query)?;
    print(&table::format_value(&response, config.format))
}
