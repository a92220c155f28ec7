//! A resolver for `ureq` that parses addresses given as IP:PORT.
//!
//! The default resolver starts a thread for each call that has a timeout, even for an address that
//! needs no look-up.

use ureq::config::Config;
use ureq::http::Uri;
use ureq::unversioned::resolver::{DefaultResolver, ResolvedSocketAddrs, Resolver};
use ureq::unversioned::transport::NextTimeout;
use ureq::Error;

/// Parses literal addresses; passes names on to the default resolver.
#[derive(Debug, Default)]
pub(crate) struct LiteralResolver(DefaultResolver);

impl Resolver for LiteralResolver {
    fn resolve(
        &self,
        uri: &Uri,
        config: &Config,
        timeout: NextTimeout,
    ) -> Result<ResolvedSocketAddrs, Error> {
        let address = uri.authority().and_then(|text| text.as_str().parse().ok());
        let Some(address) = address else {
            return self.0.resolve(uri, config, timeout);
        };
        let mut addresses = self.empty();
        addresses.push(address);
        Ok(addresses)
    }
}
