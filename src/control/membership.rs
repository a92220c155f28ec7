//! Which entry hosts are alive, by incarnation.
