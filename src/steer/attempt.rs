//! The course of one request: attempts, retries and its one outcome.
