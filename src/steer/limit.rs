//! The adaptive concurrency limit of one target.
