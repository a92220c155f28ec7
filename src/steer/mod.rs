//! Decisions: where a request goes, and whether it goes at all. Pure: no I/O, no clock, no randomness of its own.
