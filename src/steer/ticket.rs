//! Tickets: what binds an idempotency key to one incarnation of one host.
