//! Slow start of cold targets and metered entry into cold places.
