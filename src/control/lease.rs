//! The planner lease.
