//! `ragwortfold drain` and `undrain`: planned work on a target, zone, region or host.

use ragwortfold::border::configuration::State;

use crate::publish;
use crate::Error;

/// The arguments of `drain` and `undrain`.
#[allow(dead_code)]
pub(crate) struct Config {
    /// The base URL of the platform's object API.
    pub(crate) platform: String,
    /// What kind of place is meant.
    pub(crate) kind: Kind,
    /// Its name.
    pub(crate) name: String,
    /// The state to bring it to.
    pub(crate) state: State,
    /// Why.
    pub(crate) note: Option<String>,
    /// Who asks for it.
    pub(crate) author: Option<String>,
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
}

/// Sets the state of a place in the configuration on the platform.
pub(crate) fn run(_config: &Config) -> Result<(), Error> {
    Err(publish::Error::Missing.into())
}
