//! The hosts of a zone that talk to the platform and to other zones.
