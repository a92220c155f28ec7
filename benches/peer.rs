//! Figures of the links between hosts, two meshes in one process on loopback: time of a relayed
//! request, throughput of uploads, latency of control messages alone and beside uploads, and the bytes
//! of a heartbeat.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{sync_channel, Receiver};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use criterion::{criterion_group, criterion_main, Criterion, Throughput};
use hdrhistogram::Histogram;

use ragwortfold::peer::config::{Config, Listen};
use ragwortfold::peer::frame::{Heartbeat, Message, State};
use ragwortfold::peer::mesh::{Event, Mesh};
use ragwortfold::peer::stream::{Incoming, Open};
use standin::link::{Fault, Link};

const PATIENCE: Duration = Duration::from_secs(60);
/// Threads that reply.
const WORKERS: usize = 16;
/// Body of an upload, in bytes.
const UPLOAD: usize = 8 << 20;
/// Uploads that run beside control messages.
const UPLOADS: usize = 4;
/// Threads that ask at once.
const CALLERS: usize = 8;
/// Samples of each distribution.
const SAMPLES: usize = 20_000;
/// The same between regions.
const SAMPLES_FAR: usize = 100;

/// Two linked hosts; the second one replies to what the first asks.
struct Pair {
    from: Mesh,
    _to: Mesh,
    _link: Option<Link>,
    beats: Receiver<()>,
}

fn mesh(host: &str, events: impl Fn(Event) + Send + Sync + 'static) -> Mesh {
    let any = Listen::Address(SocketAddr::from(([127, 0, 0, 1], 0)));
    Mesh::new(Config::new(host, 1, "zone", "secret", any), events).expect("a mesh")
}

fn pair() -> Pair {
    pair_over(None)
}

/// The same with a slow link between them.
fn pair_over(fault: Option<Fault>) -> Pair {
    let (work, queue) = sync_channel::<Incoming>(1024);
    let (beat, beats) = sync_channel(1 << 20);
    let queue = Arc::new(Mutex::new(queue));
    for _ in 0..WORKERS {
        let queue = queue.clone();
        thread::spawn(move || loop {
            let next = queue.lock().expect("no panic").recv();
            let Ok(incoming) = next else { return };
            let _ = reply(incoming);
        });
    }
    let to = mesh("ent-b", move |event| match event {
        Event::Open(incoming) => work.send(incoming).expect("workers"),
        Event::Control { .. } => beat.send(()).expect("a reader"),
        _ => {}
    });
    let from = mesh("ent-a", |_| {});
    let link = fault.map(|fault| {
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let link = Link::new(any, to.address()).expect("a link");
        link.set_fault(fault);
        link
    });
    let address = link.as_ref().map_or(to.address(), Link::address);
    from.set_peers([("ent-b".into(), address)].into_iter().collect());
    while from.linked_hosts().is_empty() {
        thread::yield_now();
    }
    Pair {
        from,
        _to: to,
        _link: link,
        beats,
    }
}

/// Reads the whole body and replies with a small one.
fn reply(mut incoming: Incoming) -> Result<(), ragwortfold::peer::error::StreamError> {
    let mut buffer = vec![0; 64 << 10];
    while incoming.read_body(&mut buffer)? > 0 {}
    incoming.reply_head(
        200,
        &[("content-type".into(), "text/plain".into())],
        Some(64),
    )?;
    incoming.write_body(&[b'x'; 64])?;
    incoming.finish()
}

fn relay(mesh: &Mesh, body: &[u8]) {
    let open = Open::new(
        "request-1",
        "lookups",
        "GET",
        "/passes?satellite=7",
        PATIENCE,
    )
    .with_length(Some(body.len() as u64));
    let mut stream = mesh.open("ent-b", &open, PATIENCE).expect("a stream");
    stream.write_body(body).expect("room");
    stream.finish_body().expect("room");
    stream.read_head(PATIENCE).expect("a head");
    let mut buffer = [0; 256];
    while stream.read_body(&mut buffer).expect("a body") > 0 {}
}

fn heartbeat(sequence: u64) -> Message {
    Message::Heartbeat(Heartbeat {
        sequence,
        revision: 1000,
        epoch: 100,
        state: State::Serving,
        load: 200,
    })
}

/// Prints a distribution of times.
fn print(name: &str, times: &Histogram<u64>) {
    let at = |quantile| times.value_at_quantile(quantile) as f64 / 1000.0;
    println!(
        "{name}: p50 {:.1} us, p99 {:.1} us, p99.9 {:.1} us, {} samples",
        at(0.5),
        at(0.99),
        at(0.999),
        times.len()
    );
}

fn timed(times: &mut Histogram<u64>, step: impl FnOnce()) {
    let start = Instant::now();
    step();
    times.saturating_record(start.elapsed().as_nanos() as u64);
}

fn histogram() -> Histogram<u64> {
    let longest = PATIENCE.as_nanos() as u64;
    Histogram::new_with_max(longest, 3).expect("a histogram")
}

fn round_trip(criterion: &mut Criterion) {
    let pair = pair();
    criterion.bench_function("relay/round_trip", |bencher| {
        bencher.iter(|| relay(&pair.from, b""));
    });
    let mut times = histogram();
    for _ in 0..SAMPLES {
        timed(&mut times, || relay(&pair.from, b""));
    }
    print("relay/round_trip", &times);
}

fn at_once(_: &mut Criterion) {
    let pair = pair();
    let start = Instant::now();
    let callers = || {
        let mut times = histogram();
        for _ in 0..SAMPLES {
            timed(&mut times, || relay(&pair.from, b""));
        }
        times
    };
    let mut all = histogram();
    thread::scope(|scope| {
        let running: Vec<_> = (0..CALLERS).map(|_| scope.spawn(callers)).collect();
        for times in running {
            all.add(times.join().expect("times")).expect("one range");
        }
    });
    let rate = all.len() as f64 / start.elapsed().as_secs_f64();
    print(&format!("relay/{CALLERS}_callers"), &all);
    println!("relay/{CALLERS}_callers: {rate:.0} requests/s over one link");
}

fn throughput(criterion: &mut Criterion) {
    let pair = pair();
    let body = vec![7; UPLOAD];
    let mut group = criterion.benchmark_group("relay");
    group.throughput(Throughput::Bytes(UPLOAD as u64));
    group.bench_function("upload", |bencher| {
        bencher.iter(|| relay(&pair.from, &body));
    });
}

fn control(_: &mut Criterion) {
    beside_uploads("loopback", &pair(), SAMPLES);
}

/// The same between regions: 55 ms one way, 50 MB/s.
fn control_between_regions(_: &mut Criterion) {
    let mut fault = Fault::delay(Duration::from_millis(55));
    fault.forth.bytes_per_s = 50_000_000;
    fault.back.bytes_per_s = 50_000_000;
    beside_uploads("between_regions", &pair_over(Some(fault)), SAMPLES_FAR);
}

/// Times of control messages, one way, and of small requests: alone, then beside uploads.
fn beside_uploads(place: &str, pair: &Pair, samples: usize) {
    let control = |name: &str| {
        let mut times = histogram();
        for sequence in 0..samples as u64 {
            timed(&mut times, || {
                let sent = pair.from.send("ent-b", &heartbeat(sequence));
                sent.expect("room");
                pair.beats.recv().expect("a heartbeat");
            });
        }
        print(&format!("control/{place}/{name}"), &times);
    };
    let small = |name: &str| {
        let mut times = histogram();
        for _ in 0..samples {
            timed(&mut times, || relay(&pair.from, b""));
        }
        print(&format!("relay/{place}/{name}"), &times);
    };
    control("alone");
    small("alone");
    let stop = AtomicBool::new(false);
    let mesh = &pair.from;
    let upload = || {
        let body = vec![7; UPLOAD];
        let mut count = 0;
        while !stop.load(Ordering::Relaxed) {
            relay(mesh, &body);
            count += 1;
        }
        count
    };
    let start = Instant::now();
    let count: usize = thread::scope(|scope| {
        let running: Vec<_> = (0..UPLOADS).map(|_| scope.spawn(upload)).collect();
        control("beside_uploads");
        small("beside_uploads");
        stop.store(true, Ordering::Relaxed);
        let counts = running.into_iter().map(|upload| upload.join());
        counts.map(|count| count.expect("a count")).sum()
    });
    let rate = (count * UPLOAD) as f64 / start.elapsed().as_secs_f64() / 1e6;
    println!("upload/{place}: {rate:.0} MB/s meanwhile, {UPLOADS} at once");
}

fn bytes(_: &mut Criterion) {
    let pair = pair();
    let before = pair.from.counters();
    for sequence in 0..1000 {
        let sent = pair.from.send("ent-b", &heartbeat(100_000 + sequence));
        sent.expect("room");
        pair.beats.recv().expect("a heartbeat");
    }
    let after = pair.from.counters();
    let bytes = after.control_bytes_out - before.control_bytes_out;
    println!(
        "control/heartbeat: {:.1} bytes with WebSocket header, without TCP/IP",
        bytes as f64 / 1000.0
    );
}

criterion_group!(
    benches,
    round_trip,
    at_once,
    throughput,
    control,
    control_between_regions,
    bytes
);
criterion_main!(benches);
