//! Cluster control: the planner lease, the plan and the membership of the entry hosts. Does no I/O,
//! like [`crate::steer`].

pub mod active_hosts;
pub mod agent;
pub mod carryover;
pub mod delegate;
pub mod detector;
pub mod digest;
pub mod fallback;
pub mod freshness;
pub mod heartbeat;
pub mod lease;
mod member;
pub mod membership;
pub mod plan;
pub mod planner;
pub mod presence;
pub mod proof;
pub mod publish;
pub mod replica;
pub mod revision;
pub mod summary;
pub mod wire;
