//! Routing and admission of requests. Pure: no I/O; time and random numbers are passed in by the caller.

mod admission_counts;
pub mod allowance;
pub mod attempt;
mod budgets;
pub mod dedupe;
pub mod drift;
pub mod eject;
pub mod engine;
pub mod fingerprint;
pub mod fleet;
pub mod goal;
pub mod group;
pub mod hedge;
pub mod limit;
pub mod lookup;
pub mod pause;
pub mod pick;
pub mod quarantine;
pub mod queue;
pub mod quota;
pub mod relay_permit;
pub mod retry;
pub mod shift;
pub mod slow_start;
pub mod split;
pub mod throttle;
pub mod ticket;
