//! When a second copy of an idempotent request is sent.
