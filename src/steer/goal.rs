//! Where a split should go, from the catalog and what is known of zones.
