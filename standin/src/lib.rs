//! Test doubles for the systems around ragwortfold: a platform, targets, a faulty link and callers.
//!
//! Each can be embedded (it runs in its user's process and stops when dropped) or started as a
//! process by the `standin` binary. Faults can be changed while it runs, by a method or by
//! `POST /standin/fault`.

pub mod caller;
pub mod crash;
pub mod crowd;
pub mod cut_head;
mod error;
mod http;
pub mod link;
mod listen;
pub mod observer;
pub mod pattern;
pub mod platform;
mod port;
pub mod rate_limit;
mod runtime;
pub mod target;

pub use error::Error;
pub use port::free_address;

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{SystemTime, UNIX_EPOCH};

/// Locks a mutex, also after a panic of another thread that held it.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Returns the time in microseconds since the Unix epoch, comparable between the processes of one machine.
pub fn unix_us() -> u64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH);
    elapsed.map_or(0, |elapsed| elapsed.as_micros() as u64)
}
