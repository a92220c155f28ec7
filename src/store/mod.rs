//! Access to the platform's object API: versioned objects, conditional writes, watches, and the
//! handling of outages.
//!
//! [`client`] implements the API. [`guarded_client`] adds a rate limit and a circuit breaker,
//! [`confirmed_write`] determines whether a write whose answer was lost took effect, and
//! [`publication`] stores the revisions of the configuration.

pub mod backoff;
pub mod breaker;
pub mod client;
pub mod confirmed_write;
pub mod guarded_client;
pub mod publication;
pub mod retry;
pub mod token_bucket;
