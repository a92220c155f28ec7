//! Links between entry hosts: WebSocket connections that carry CBOR frames.
//!
//! A [`mesh::Mesh`] maintains one link with each configured host. A link carries typed control messages
//! and relayed requests, the latter as multiplexed streams. `schema/frame.json` defines the frames.
//!
//! Both sides prove that they have the shared secret (see [`auth`]). Frames after the handshake are
//! neither encrypted nor integrity-protected: links run over plain TCP, between hosts of one operator,
//! on networks that the operator trusts. Connections that are not yet authenticated are bounded in
//! number and time. An attacker who keeps that many open blocks further incoming connections, but not
//! outgoing ones.

pub mod auth;
pub mod config;
pub mod count;
pub mod error;
pub mod frame;
pub mod mesh;
pub mod stream;
pub mod transit;

mod channel;
mod connect;
mod link;
mod outbox;
mod peer_table;

use std::sync::{Mutex, MutexGuard, PoisonError};

/// Locks a mutex, even if a thread panicked while it held the lock.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
