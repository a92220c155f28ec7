//! The platform's object API: versions, conditional updates, watches, and what to do in its outages.
//!
//! [`client`] is the one file that knows the API's shape. [`guard`] puts a rate budget and a circuit
//! breaker before it, [`settle`] finds out what became of a write whose answer was lost, and
//! [`publication`] keeps the configuration's revisions.

pub mod backoff;
pub mod breaker;
pub mod client;
pub mod confirmed_write;
pub mod guarded_client;
pub mod publication;
pub mod retry;
pub mod token_bucket;
