//! Which entry hosts a caller should use.
