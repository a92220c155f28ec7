//! Figures of the links between hosts.
fn main() {}
