//! Shares of sites, and the choice of a site for a client block.
