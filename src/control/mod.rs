//! Control: the planner lease, the plan and the membership of entry hosts. Pure, like [`crate::steer`].

pub mod agent;
pub mod beat;
pub mod delegate;
pub mod detector;
pub mod digest;
pub mod freshness;
pub mod lease;
mod member;
pub mod membership;
pub mod plan;
pub mod planner;
pub mod presence;
pub mod proof;
pub mod publish;
pub mod replica;
pub mod summary;
pub mod wire;
pub mod working;
