//! Links between hosts over real sockets on loopback: contract and fault tables.

mod auth;
mod links;
mod node;
mod raw;
mod relay;
