//! Measures an operator's `apply` and a host's `fetch` of a configuration, against a simulated
//! platform.

#![allow(clippy::unwrap_used)]

use std::time::{Duration, SystemTime};

use criterion::{criterion_group, criterion_main, Criterion};
use ragwortfold::store::backoff::Backoff;
use ragwortfold::store::breaker::Breaker;
use ragwortfold::store::client::Client;
use ragwortfold::store::guarded_client::GuardedClient;
use ragwortfold::store::publication::{
    fetch, Base, Fetched, Files, OverwritePolicy, Publication, Signature,
};
use ragwortfold::store::token_bucket::TokenBucket;
use standin::platform::Platform;

/// Number of files in the configuration folder.
const FILE_COUNT: usize = 20;
/// Size of each file, in bytes.
const FILE_BYTES: usize = 4096;

/// Returns a client of the platform whose call budget and circuit breaker do not limit the
/// benchmark.
fn unlimited_guard(platform: &Platform) -> GuardedClient {
    let backoff_time = Duration::from_millis(1);
    GuardedClient::new(Client::new(&format!("http://{}", platform.address())))
        .with_rate_limit(TokenBucket::new(1e9, 1e9))
        .with_breaker(Breaker::new(
            u32::MAX,
            backoff_time,
            Backoff::new(backoff_time, backoff_time),
        ))
}

fn folder_files() -> Files {
    (0..FILE_COUNT)
        .map(|index| {
            (
                format!("{index}.json").into(),
                format!("{index:FILE_BYTES$}").into(),
            )
        })
        .collect()
}

/// Applying a change of one file, and fetching with and without a change.
fn publication(criterion: &mut Criterion) {
    let platform = Platform::new(([127, 0, 0, 1], 0).into()).unwrap();
    let guard = unlimited_guard(&platform);
    let operator = Publication::new(guard.clone());
    let signature = Signature {
        author: "bench".into(),
        note: "one file of many".into(),
        time: SystemTime::UNIX_EPOCH,
    };
    let mut files = folder_files();
    let mut base = Base::Head(OverwritePolicy::Refuse);
    let mut change_number = 0_u64;
    let mut apply_change = || {
        change_number += 1;
        files.insert(
            "0.json".into(),
            format!("{change_number:FILE_BYTES$}").into(),
        );
        let check = |_: &Files| Ok::<(), String>(());
        let applied = operator.apply(&files, &base, &signature, check).unwrap();
        base = Base::Pulled(applied.marker);
    };
    criterion.bench_function("apply one file of 20", |bencher| {
        bencher.iter(&mut apply_change)
    });
    let mut last_fetched = Fetched::default();
    criterion.bench_function("apply, then fetch one file of 20", |bencher| {
        bencher.iter(|| {
            apply_change();
            last_fetched = fetch(&guard, &last_fetched).unwrap().unwrap();
        });
    });
    criterion.bench_function("fetch nothing new", |bencher| {
        bencher.iter(|| assert!(fetch(&guard, &last_fetched).unwrap().is_none()));
    });
}

criterion_group!(benches, publication);
criterion_main!(benches);
