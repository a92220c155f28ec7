//! The entry host's daemon: actors on one stakker thread, I/O on others.
