//! Stand-ins for what surrounds ragwortfold: a platform, targets, a faulty link, callers.
//!
//! Each can be embedded (it runs beside its user and stops when dropped) or started as a
//! process by the `standin` binary. Faults are switched while they run, by a method or by
//! `POST /standin/fault`.

pub mod caller;
pub mod crash;
mod error;
mod http;
pub mod limited;
pub mod link;
mod listen;
pub mod observer;
pub mod pattern;
pub mod platform;
mod port;
mod runtime;
pub mod target;

pub use error::Error;
pub use port::free_address;

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{SystemTime, UNIX_EPOCH};

/// Locks a mutex; the state of a stand-in stays usable after a panic elsewhere.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Microseconds since the Unix epoch, comparable between the processes of one machine.
pub fn unix_us() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |d| d.as_micros() as u64)
}
