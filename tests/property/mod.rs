//! Property tests with a fixed seed.

#![allow(clippy::unwrap_used)]

use proptest::strategy::Strategy;
use proptest::test_runner::{Config, RngSeed, TestCaseError, TestRunner};

/// Runs `test` on `cases` values of `strategy`; a seed always gives the same values.
pub fn run<S: Strategy>(
    seed: u64,
    cases: u32,
    strategy: S,
    test: impl Fn(S::Value) -> Result<(), TestCaseError>,
) {
    let config = Config {
        cases,
        rng_seed: RngSeed::Fixed(seed),
        failure_persistence: None,
        ..Config::default()
    };
    TestRunner::new(config)
        .run(&strategy, test)
        .expect("no counterexample");
}
