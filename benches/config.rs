//! Measures how long it takes to check a configuration folder, by its number of client blocks: from
//! scratch, and after a change of one small file.

use std::collections::BTreeMap;
use std::net::Ipv4Addr;
use std::path::Path;
use std::sync::Arc;

use criterion::{criterion_group, criterion_main, BenchmarkId, Criterion, Throughput};

use ragwortfold::config::{self, Folder};

/// Numbers of client blocks to measure.
const BLOCK_COUNTS: [u32; 3] = [1_000, 10_000, 100_000];
/// Largest number of client blocks per file.
const BLOCKS_PER_FILE: u32 = 20_000;
/// Content of the small file `99-late.json` that is added to the folder.
const LATE_FILE: &str = r#"{"targets": {"look-01": {"state": "draining"}}}"#;

type Files = BTreeMap<Arc<str>, Arc<str>>;

/// Returns the files of the example folder, and further files with `count` client blocks.
fn folder_files(count: u32) -> Files {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("examples/quispe");
    let folder = config::read(&path).unwrap_or_default();
    let mut files = folder.files().clone();
    for first in (0..count).step_by(BLOCKS_PER_FILE as usize) {
        let last = count.min(first + BLOCKS_PER_FILE);
        let entries: Vec<String> = (first..last).map(client_entry).collect();
        let text = format!("{{\"clients\": {{\n{}\n}}}}\n", entries.join(",\n"));
        files.insert(format!("41-{first:08}.json").into(), text.into());
    }
    files
}

/// Returns the configuration entry of a client block.
fn client_entry(index: u32) -> String {
    let address = Ipv4Addr::from((11 << 24) + (index << 5));
    let region = ["arequipa", "lima", "cusco"][index as usize % 3];
    format!("\"{address}/27\": {{\"region\": \"{region}\"}}")
}

/// Checking a whole folder, and checking it again after one small file was added.
fn check(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("config");
    group.sample_size(10);
    for block_count in BLOCK_COUNTS {
        group.throughput(Throughput::Elements(block_count.into()));
        let files = folder_files(block_count);
        group.bench_function(BenchmarkId::new("whole", block_count), |bencher| {
            bencher.iter(|| {
                Folder::with_files(files.clone())
                    .merged_with_clients()
                    .is_ok()
            });
        });
        let folder = Folder::with_files(files.clone());
        assert!(
            folder.merged_with_clients().is_ok(),
            "the folder is invalid"
        );
        let mut changed = files.clone();
        changed.insert("99-late.json".into(), LATE_FILE.into());
        group.bench_function(
            BenchmarkId::new("one small file changed", block_count),
            |bencher| {
                bencher.iter(|| {
                    folder
                        .updated(changed.clone())
                        .merged_with_clients()
                        .is_ok()
                });
            },
        );
    }
    group.finish();
}

criterion_group!(benches, check);
criterion_main!(benches);
