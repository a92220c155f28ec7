//! Links between entry hosts: WebSocket connections that carry CBOR frames.
//!
//! A [`mesh::Mesh`] keeps one link with each host it is told of, and carries two things over it:
//! typed control messages, and relayed requests as multiplexed streams. Frames are described by
//! `schema/frame.json`.
//!
//! Both sides prove that they know the shared secret (see [`auth`]). What follows the handshake is
//! neither encrypted nor protected against change on the way: links run over plain TCP, between
//! hosts of one operator, on networks that the operator trusts. Connections that are not yet
//! authenticated are bounded in number and time; whoever can hold that many open keeps others from
//! connecting to the host, though not the host from connecting to them.

pub mod auth;
pub mod config;
pub mod count;
pub mod error;
pub mod frame;
pub mod mesh;
pub mod stream;

mod book;
mod channel;
mod connect;
mod link;
mod outbox;

use std::sync::{Mutex, MutexGuard, PoisonError};

/// Locks a mutex, also after a thread panicked while it held it.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
