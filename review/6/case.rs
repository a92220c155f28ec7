//! An extra answer that arrives late has status 421: is the request behind it run twice?

#[path = "../standin-2/lab.rs"]
mod lab;

use std::collections::BTreeMap;
use std::io::Write;
use std::net::SocketAddr;
use std::process::exit;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use lab::{Backend, Client, Host, Record, Store};

/// Clients, and the requests of each, which must not run twice.
const CLIENTS: usize = 4;
const REQUESTS: usize = 100;
/// One in so many requests meets an extra answer: less than 0.03 of them.
const GARBLE_EVERY: usize = 34;
/// How long a run takes.
const WORK: Duration = Duration::from_millis(30);
const DEADLINE: Duration = Duration::from_secs(2);

/// The backends that ran each request, in order.
type Runs = Arc<Mutex<BTreeMap<String, Vec<String>>>>;

/// Starts a backend. If it is faulty, it sends a second answer to the previous request of a
/// connection at the point where the next one is expected, for each request in `garbled`.
fn start_backend(id: &str, is_faulty: bool, runs: &Runs, record: &Record) -> SocketAddr {
    let (listener, address) = lab::listen();
    let (id, runs, record) = (id.to_owned(), runs.clone(), record.clone());
    let previous: Mutex<BTreeMap<SocketAddr, String>> = Mutex::default();
    let count = Mutex::new(0_usize);
    lab::serve(listener, move |request, stream| {
        if let Some(answer) = lab::preliminary_answer(&id, request) {
            return stream.write_all(answer.as_bytes()).is_ok();
        }
        let request_id = request.header("ragwortfold-request-id").to_owned();
        let Ok(peer) = stream.peer_addr() else {
            return false;
        };
        let earlier = previous.lock().unwrap().insert(peer, request_id.clone());
        {
            let count = &mut *count.lock().unwrap();
            *count += 1;
            if let Some(earlier) = earlier.filter(|_| is_faulty && *count % GARBLE_EVERY == 0) {
                record.line(format!(
                    "backend {id} sends an extra answer with the ID {earlier} and status 421"
                ));
                let extra = format!(
                    "HTTP/1.1 421 Misdirected Request\r\nRagwortfold-Request-Id: {earlier}\r\n\
                     Ragwortfold-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
                );
                let _ = stream.write_all(extra.as_bytes());
            }
        }
        record.line(format!("backend {id} runs {request_id}"));
        let mut all = runs.lock().unwrap();
        all.entry(request_id).or_default().push(id.clone());
        drop(all);
        thread::sleep(WORK);
        let answer = lab::backend_answer(&id, request, "200 OK", "", "booked");
        stream.write_all(answer.as_bytes()).is_ok()
    });
    address
}

/// Sends the requests of one client, one after the other on a connection that it keeps.
fn send_requests(client: usize, front: SocketAddr, record: &Record) {
    let mut kept = None;
    for number in 0..REQUESTS {
        let id = format!("{:016x}", 0x9c41_0000_0000_0000 + (client << 16) + number);
        let headers = format!(
            "Ragwortfold-Request-Id: {id}\r\nRagwortfold-Deadline-Ms: 2000\r\n\
             Cookie: Ragwortfold-Affinity-Key={}\r\n",
            number % 8
        );
        record.line(format!("client {client} sends {id} POST /book/{number}"));
        let mut connection = kept
            .take()
            .or_else(|| Client::connect(front, DEADLINE).ok())
            .unwrap_or_else(|| lab::give_up("no connection to the host"));
        let answer = connection.request("POST", &format!("/book/{number}"), &headers, b"seat");
        record.line(format!("client {client} gets for {id}: {}", lab::describe(&answer)));
        kept = answer.is_ok().then_some(connection);
        thread::sleep(Duration::from_millis(20));
    }
}

fn main() {
    let record = Record::new();
    let store = Store::new();
    let routes = [("r-book", lab::route("/book/", "unsafe", "booking", 2000, ""))];
    store.put("config", "main", &lab::config(1, &routes, &["booking"], ""), "null");
    let runs = Runs::default();
    for number in 1..=4 {
        let id = format!("i-{number}");
        let address = start_backend(&id, lab::has_trouble() && number <= 2, &runs, &record);
        let backend = Backend {
            id,
            address,
            service: "booking".into(),
            zone: "north-a".into(),
            slots: 4,
            born: 1_790_000_000_000,
        };
        store.put_backend(&backend, "ready");
    }
    let zones = "{\"north-a\":\"north\"}";
    let host = Host::start(1, "north-a", zones, &store.open(), &[], "");
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let (front, record) = (host.front, record.clone());
            thread::spawn(move || send_requests(client, front, &record))
        })
        .collect();
    for client in clients {
        let _ = client.join();
    }
    thread::sleep(Duration::from_millis(500));
    let runs = runs.lock().unwrap();
    let twice: Vec<_> = runs.iter().filter(|(_, by)| by.len() > 1).collect();
    for (id, by) in &twice {
        record.line(format!("TWICE: {id} was run by {}", by.join(" and ")));
    }
    record.line(format!("{} of {} requests ran more than once", twice.len(), runs.len()));
    drop(host);
    if runs.len() < CLIENTS * REQUESTS / 2 {
        lab::give_up("too few requests ran");
    }
    exit(if twice.is_empty() { lab::HELD } else { lab::BROKEN });
}
