//! Configuration folders and settings: read, merge, check.
