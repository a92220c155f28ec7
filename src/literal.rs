//! A resolver for `ureq` of addresses that are given as IP:PORT.
//!
//! The library's own resolver starts a thread for each call that has a time-out, also for an address
//! that needs no look-up.

use ureq::config::Config;
use ureq::http::Uri;
use ureq::unversioned::resolver::{DefaultResolver, ResolvedSocketAddrs, Resolver};
use ureq::unversioned::transport::NextTimeout;
use ureq::Error;

/// Reads the address where it is one, and asks the library's resolver where it is a name.
#[derive(Debug, Default)]
pub(crate) struct Literal(DefaultResolver);

impl Resolver for Literal {
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
