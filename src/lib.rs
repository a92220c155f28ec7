//! Global traffic steering for small operators.
//!
//! The daemon `ragwortfold entry` and the command-line tool are thin wrappers around this library.
//! Decisions ([`steer`], [`control`]) are made by plain structs without I/O or a clock of their
//! own, so that other programs can embed them.

pub mod account;
pub mod border;
pub mod budget;
pub mod catalog;
pub mod config;
pub mod control;
pub mod duration;
mod edge;
pub mod entry;
pub mod explain;
pub mod host;
pub mod inventory;
mod literal;
mod panic;
pub mod peer;
pub mod port;
pub mod steer;
pub mod store;
pub mod supervisor;
mod transport;
