//! The command line of ragwortfold.

fn main() {}
