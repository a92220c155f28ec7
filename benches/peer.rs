//! Measures the links between hosts, with two meshes in one process over loopback: round-trip time
//! of relayed requests, throughput of uploads, latency of control messages with and without
//! concurrent uploads, and size of a heartbeat.

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

/// Timeout of a relayed request and longest duration that is recorded.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(60);
/// Threads that reply to requests.
const REPLY_THREADS: usize = 16;
/// Size of the body of an upload, in bytes.
const UPLOAD_BYTES: usize = 8 << 20;
/// Uploads that run concurrently with control messages.
const CONCURRENT_UPLOADS: usize = 4;
/// Threads that send requests concurrently.
const CONCURRENT_CALLERS: usize = 8;
/// Samples of each distribution over loopback.
const SAMPLE_COUNT: usize = 20_000;
/// Samples of each distribution over the delayed link between regions.
const SAMPLE_COUNT_BETWEEN_REGIONS: usize = 100;

/// Two linked hosts. The second replies to the requests of the first and signals each of its
/// control messages on `heartbeats`.
struct LinkedHosts {
    caller: Mesh,
    _replier: Mesh,
    _link: Option<Link>,
    heartbeats: Receiver<()>,
}

/// Starts the mesh of a host on a free loopback port.
fn start_mesh(host: &str, events: impl Fn(Event) + Send + Sync + 'static) -> Mesh {
    let any_port = Listen::Address(SocketAddr::from(([127, 0, 0, 1], 0)));
    Mesh::new(Config::new(host, 1, "zone", "secret", any_port), events)
        .expect("cannot start the mesh")
}

/// Returns two hosts that are linked directly.
fn linked_hosts() -> LinkedHosts {
    linked_hosts_with_fault(None)
}

/// Returns two linked hosts; a given `fault` applies to the connection between them.
fn linked_hosts_with_fault(fault: Option<Fault>) -> LinkedHosts {
    let (request_sender, request_receiver) = sync_channel::<Incoming>(1024);
    let (heartbeat_sender, heartbeats) = sync_channel(1 << 20);
    let request_receiver = Arc::new(Mutex::new(request_receiver));
    for _ in 0..REPLY_THREADS {
        let request_receiver = request_receiver.clone();
        thread::spawn(move || loop {
            let next = request_receiver
                .lock()
                .expect("a reply thread panicked")
                .recv();
            let Ok(incoming) = next else { return };
            let _ = reply(incoming);
        });
    }
    let replier = start_mesh("ent-b", move |event| match event {
        Event::Open(incoming) => request_sender
            .send(incoming)
            .expect("no reply thread is running"),
        Event::Control { .. } => heartbeat_sender
            .send(())
            .expect("the heartbeat receiver is gone"),
        _ => {}
    });
    let caller = start_mesh("ent-a", |_| {});
    let link = fault.map(|fault| {
        let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
        let link = Link::new(any_port, replier.address()).expect("cannot open the link");
        link.set_fault(fault);
        link
    });
    let address = link.as_ref().map_or(replier.address(), Link::address);
    caller.set_peers([("ent-b".into(), address)].into_iter().collect());
    while caller.linked_hosts().is_empty() {
        thread::yield_now();
    }
    LinkedHosts {
        caller,
        _replier: replier,
        _link: link,
        heartbeats,
    }
}

/// Reads the whole request body and replies with a body of 64 bytes.
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

/// Relays one request with `body` and reads the whole reply.
fn relay_request(mesh: &Mesh, body: &[u8]) {
    let open = Open::new(
        "request-1",
        "lookups",
        "GET",
        "/passes?satellite=7",
        REQUEST_TIMEOUT,
    )
    .with_length(Some(body.len() as u64));
    let mut stream = mesh
        .open("ent-b", &open, REQUEST_TIMEOUT)
        .expect("cannot open the stream");
    stream.write_body(body).expect("cannot send the body");
    stream.finish_body().expect("cannot finish the body");
    stream
        .read_head(REQUEST_TIMEOUT)
        .expect("cannot read the response head");
    let mut buffer = [0; 256];
    while stream
        .read_body(&mut buffer)
        .expect("cannot read the response body")
        > 0
    {}
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

/// Prints percentiles of a distribution of times in nanoseconds.
fn print_distribution(name: &str, times: &Histogram<u64>) {
    let micros_at = |quantile| times.value_at_quantile(quantile) as f64 / 1000.0;
    println!(
        "{name}: p50 {:.1} us, p99 {:.1} us, p99.9 {:.1} us, {} samples",
        micros_at(0.5),
        micros_at(0.99),
        micros_at(0.999),
        times.len()
    );
}

/// Runs `operation` and records its duration in nanoseconds.
fn record_duration(times: &mut Histogram<u64>, operation: impl FnOnce()) {
    let start = Instant::now();
    operation();
    times.saturating_record(start.elapsed().as_nanos() as u64);
}

/// Returns a histogram of nanoseconds with 3 significant digits.
fn new_histogram() -> Histogram<u64> {
    let longest = REQUEST_TIMEOUT.as_nanos() as u64;
    Histogram::new_with_max(longest, 3).expect("invalid histogram bounds")
}

/// Round-trip time of requests that follow each other.
fn round_trip(criterion: &mut Criterion) {
    let hosts = linked_hosts();
    criterion.bench_function("relay/round_trip", |bencher| {
        bencher.iter(|| relay_request(&hosts.caller, b""));
    });
    let mut times = new_histogram();
    for _ in 0..SAMPLE_COUNT {
        record_duration(&mut times, || relay_request(&hosts.caller, b""));
    }
    print_distribution("relay/round_trip", &times);
}

/// Round-trip time and rate of concurrent requests over one link.
fn at_once(_: &mut Criterion) {
    let hosts = linked_hosts();
    let start = Instant::now();
    let run_caller = || {
        let mut times = new_histogram();
        for _ in 0..SAMPLE_COUNT {
            record_duration(&mut times, || relay_request(&hosts.caller, b""));
        }
        times
    };
    let mut all_times = new_histogram();
    thread::scope(|scope| {
        let threads: Vec<_> = (0..CONCURRENT_CALLERS)
            .map(|_| scope.spawn(run_caller))
            .collect();
        for times in threads {
            all_times
                .add(times.join().expect("a caller panicked"))
                .expect("histograms have different ranges");
        }
    });
    let rate = all_times.len() as f64 / start.elapsed().as_secs_f64();
    print_distribution(&format!("relay/{CONCURRENT_CALLERS}_callers"), &all_times);
    println!("relay/{CONCURRENT_CALLERS}_callers: {rate:.0} requests/s over one link");
}

/// Throughput of uploads that follow each other.
fn throughput(criterion: &mut Criterion) {
    let hosts = linked_hosts();
    let body = vec![7; UPLOAD_BYTES];
    let mut group = criterion.benchmark_group("relay");
    group.throughput(Throughput::Bytes(UPLOAD_BYTES as u64));
    group.bench_function("upload", |bencher| {
        bencher.iter(|| relay_request(&hosts.caller, &body));
    });
}

/// Latency of control messages and small requests over loopback.
fn control(_: &mut Criterion) {
    print_control_and_request_times("loopback", &linked_hosts(), SAMPLE_COUNT);
}

/// Latency of control messages and small requests between regions: 55 ms one way, 50 MB/s.
fn control_between_regions(_: &mut Criterion) {
    let mut fault = Fault::delay(Duration::from_millis(55));
    fault.forth.bytes_per_s = 50_000_000;
    fault.back.bytes_per_s = 50_000_000;
    print_control_and_request_times(
        "between_regions",
        &linked_hosts_with_fault(Some(fault)),
        SAMPLE_COUNT_BETWEEN_REGIONS,
    );
}

/// Prints the one-way times of control messages and the round-trip times of small requests, first
/// without other traffic and then with concurrent uploads.
fn print_control_and_request_times(place: &str, hosts: &LinkedHosts, samples: usize) {
    let measure_control = |name: &str| {
        let mut times = new_histogram();
        for sequence in 0..samples as u64 {
            record_duration(&mut times, || {
                let sent = hosts.caller.send("ent-b", &heartbeat(sequence));
                sent.expect("cannot send the heartbeat");
                hosts
                    .heartbeats
                    .recv()
                    .expect("the heartbeat sender is gone");
            });
        }
        print_distribution(&format!("control/{place}/{name}"), &times);
    };
    let measure_requests = |name: &str| {
        let mut times = new_histogram();
        for _ in 0..samples {
            record_duration(&mut times, || relay_request(&hosts.caller, b""));
        }
        print_distribution(&format!("relay/{place}/{name}"), &times);
    };
    measure_control("alone");
    measure_requests("alone");
    let is_stopping = AtomicBool::new(false);
    let mesh = &hosts.caller;
    let run_uploads = || {
        let body = vec![7; UPLOAD_BYTES];
        let mut count = 0;
        while !is_stopping.load(Ordering::Relaxed) {
            relay_request(mesh, &body);
            count += 1;
        }
        count
    };
    let start = Instant::now();
    let count: usize = thread::scope(|scope| {
        let threads: Vec<_> = (0..CONCURRENT_UPLOADS)
            .map(|_| scope.spawn(run_uploads))
            .collect();
        measure_control("beside_uploads");
        measure_requests("beside_uploads");
        is_stopping.store(true, Ordering::Relaxed);
        let counts = threads.into_iter().map(|upload| upload.join());
        counts.map(|count| count.expect("an upload panicked")).sum()
    });
    let rate = (count * UPLOAD_BYTES) as f64 / start.elapsed().as_secs_f64() / 1e6;
    println!("upload/{place}: {rate:.0} MB/s meanwhile, {CONCURRENT_UPLOADS} at once");
}

/// Size of a heartbeat on the link.
fn bytes(_: &mut Criterion) {
    let hosts = linked_hosts();
    let counters_before = hosts.caller.counters();
    for sequence in 0..1000 {
        let sent = hosts.caller.send("ent-b", &heartbeat(100_000 + sequence));
        sent.expect("cannot send the heartbeat");
        hosts
            .heartbeats
            .recv()
            .expect("the heartbeat sender is gone");
    }
    let counters_after = hosts.caller.counters();
    let bytes = counters_after.control_bytes_out - counters_before.control_bytes_out;
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
