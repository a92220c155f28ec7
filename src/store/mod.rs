//! The platform's object API: versions, conditional updates, watches, and what to do in its outages.
