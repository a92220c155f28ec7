//! Command line of the stand-ins.

fn main() {}
