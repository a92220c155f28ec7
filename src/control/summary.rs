//! What a zone tells others of its load, with the time it was sampled.
