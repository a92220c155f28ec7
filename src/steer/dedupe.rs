//! Idempotency keys this incarnation has seen, and their outcomes.
