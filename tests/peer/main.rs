//! Tests of links between hosts, over real sockets on the loopback interface.

#![allow(clippy::unwrap_used)]
#![allow(
    clippy::redundant_pattern_matching,
    reason = "the test macros match any pattern that a case gives, also plain variants"
)]

mod auth;
mod links;
mod node;
mod raw;
mod relay;
mod transit;
