//! How long it takes to check a configuration folder, by its number of client blocks: from its
//! texts alone, and after a change of one small file.

use std::collections::BTreeMap;
use std::net::Ipv4Addr;
use std::path::Path;
use std::sync::Arc;

use criterion::{criterion_group, criterion_main, BenchmarkId, Criterion, Throughput};

use ragwortfold::config::{self, Folder};

/// Numbers of client blocks.
const SIZES: [u32; 3] = [1_000, 10_000, 100_000];
/// Client blocks in one file.
const BLOCKS_IN_FILE: u32 = 20_000;
/// A small late file.
const LATE: &str = r#"{"targets": {"look-01": {"state": "draining"}}}"#;

type Files = BTreeMap<Arc<str>, Arc<str>>;

/// The example folder and `count` client blocks, in files of their own.
fn files(count: u32) -> Files {
    let dir = Path::new(env!("CARGO_MANIFEST_DIR")).join("examples/quispe");
    let folder = config::read(&dir).unwrap_or_default();
    let mut files = folder.files().clone();
    for first in (0..count).step_by(BLOCKS_IN_FILE as usize) {
        let last = count.min(first + BLOCKS_IN_FILE);
        let rows: Vec<String> = (first..last).map(row).collect();
        let text = format!("{{\"clients\": {{\n{}\n}}}}\n", rows.join(",\n"));
        files.insert(format!("41-{first:08}.json").into(), text.into());
    }
    files
}

fn row(i: u32) -> String {
    let address = Ipv4Addr::from((11 << 24) + (i << 5));
    let region = ["arequipa", "lima", "cusco"][i as usize % 3];
    format!("\"{address}/27\": {{\"region\": \"{region}\"}}")
}

fn check(c: &mut Criterion) {
    let mut group = c.benchmark_group("config");
    group.sample_size(10);
    for size in SIZES {
        group.throughput(Throughput::Elements(size.into()));
        let files = files(size);
        group.bench_function(BenchmarkId::new("whole", size), |b| {
            b.iter(|| {
                Folder::with_files(files.clone())
                    .merged_with_clients()
                    .is_ok()
            });
        });
        let known = Folder::with_files(files.clone());
        assert!(known.merged_with_clients().is_ok(), "the folder is right");
        let mut changed = files.clone();
        changed.insert("99-late.json".into(), LATE.into());
        group.bench_function(BenchmarkId::new("one small file changed", size), |b| {
            b.iter(|| known.updated(changed.clone()).merged_with_clients().is_ok());
        });
    }
    group.finish();
}

criterion_group!(benches, check);
criterion_main!(benches);
