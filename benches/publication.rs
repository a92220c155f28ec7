//! Time of an operator's `apply` and of a host's reading, against the stand-in of the platform.

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

/// Files in the folder.
const FILES: usize = 20;
/// Size of each, in bytes.
const SIZE: usize = 4096;

fn guard(platform: &Platform) -> GuardedClient {
    let step = Duration::from_millis(1);
    GuardedClient::new(Client::new(&format!("http://{}", platform.address())))
        .with_rate_limit(TokenBucket::new(1e9, 1e9))
        .with_breaker(Breaker::new(u32::MAX, step, Backoff::new(step, step)))
}

fn folder() -> Files {
    (0..FILES)
        .map(|n| (format!("{n}.json").into(), format!("{n:SIZE$}").into()))
        .collect()
}

fn publication(criterion: &mut Criterion) {
    let platform = Platform::new(([127, 0, 0, 1], 0).into()).unwrap();
    let guard = guard(&platform);
    let operator = Publication::new(guard.clone());
    let signature = Signature {
        author: "bench".into(),
        note: "one file of many".into(),
        time: SystemTime::UNIX_EPOCH,
    };
    let mut files = folder();
    let mut base = Base::Head(OverwritePolicy::Refuse);
    let mut number = 0_u64;
    let mut apply = || {
        number += 1;
        files.insert("0.json".into(), format!("{number:SIZE$}").into());
        let check = |_: &Files| Ok::<(), String>(());
        let applied = operator.apply(&files, &base, &signature, check).unwrap();
        base = Base::Pulled(applied.marker);
    };
    criterion.bench_function("apply one file of 20", |b| b.iter(&mut apply));
    let mut known = Fetched::default();
    criterion.bench_function("apply, then fetch one file of 20", |b| {
        b.iter(|| {
            apply();
            known = fetch(&guard, &known).unwrap().unwrap();
        });
    });
    criterion.bench_function("fetch nothing new", |b| {
        b.iter(|| assert!(fetch(&guard, &known).unwrap().is_none()));
    });
}

criterion_group!(benches, publication);
criterion_main!(benches);
