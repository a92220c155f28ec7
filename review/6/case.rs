//! A machine is cut off while a key moves to another tenant: which tenant is named to the backend?

#[path = "../standin-2/lab.rs"]
mod lab;

use std::collections::BTreeMap;
use std::io::Write;
use std::net::SocketAddr;
use std::process::exit;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use lab::{Access, Backend, Client, Host, Record, Store};

const KEY: &str = "u27gxprymh2rrytapjsu";
/// Bound of the rules for the withdrawal of a key.
const REVOKE: Duration = Duration::from_millis(5000);
/// How long the machine is cut off.
const CUT: Duration = Duration::from_millis(8000);

/// The tenant named to the backend with each request, by the request's ID.
type Named = Arc<Mutex<BTreeMap<String, String>>>;

fn start_backend(id: &str, named: &Named, record: &Record) -> SocketAddr {
    let (listener, address) = lab::listen();
    let (id, named, record) = (id.to_owned(), named.clone(), record.clone());
    lab::serve(listener, move |request, stream| {
        if let Some(answer) = lab::preliminary_answer(&id, request) {
            return stream.write_all(answer.as_bytes()).is_ok();
        }
        let request_id = request.header("ragwortfold-request-id").to_owned();
        let tenant = request.header("ragwortfold-tenant").to_owned();
        record.line(format!("backend {id} runs {request_id} for the tenant {tenant:?}"));
        let body = format!("data of the tenant {tenant:?}");
        let answer = lab::backend_answer(&id, request, "200 OK", "", &body);
        named.lock().unwrap().insert(request_id, tenant);
        stream.write_all(answer.as_bytes()).is_ok()
    });
    address
}

/// A configuration in which `holder` has the key.
fn configuration(version: u32, holder: &str) -> String {
    let routes = [
        ("r-status", lab::route("/status/", "safe", "status", 2000, ",\"public\":true")),
        ("r-case", lab::route("/case/", "safe", "status", 2000, ",\"public\":false")),
    ];
    let tenant = |name: &str, own_key: &str| {
        let moved = if name == holder { format!(",\"{KEY}\"") } else { String::new() };
        format!(
            "\"{name}\":{{\"apiKeys\":[\"{own_key}\"{moved}],\"priority\":0,\"ratePerS\":700,\
             \"burst\":700,\"homeRegions\":[]}}"
        )
    };
    let tenants = format!(
        ",\"tenants\":{{{},{}}}",
        tenant("alder", "jqurtyiikdrbn4ryrbbk"),
        tenant("birch", "fq2prn8tt4dvwyxkk1ma")
    );
    lab::config(version, &routes, &["status"], &tenants)
}

fn main() {
    let record = Record::new();
    let store = Store::new();
    store.put("config", "main", &configuration(1, "alder"), "null");
    let named = Named::default();
    for id in ["i-1", "i-2"] {
        let backend = Backend {
            id: id.into(),
            address: start_backend(id, &named, &record),
            service: "status".into(),
            zone: "north-a".into(),
            slots: 4,
            born: 1_790_000_000_000,
        };
        store.put_backend(&backend, "ready");
    }
    // The machine's address of the store; the operator and the backends have their own way to it.
    let access = store.open();
    let host = Host::start(1, "north-a", "{\"north-a\":\"north\"}", &access, &[], lab::TENANT_BOUNDS);
    thread::sleep(Duration::from_secs(2));
    if lab::has_trouble() {
        record.line("the machine is cut off from the store");
        access.set_access(Access::Cut);
    }
    let cut_at = Instant::now();
    thread::sleep(Duration::from_millis(300));
    store.put("config", "main", &configuration(2, "birch"), "null");
    let acknowledged_at = Instant::now();
    record.line("the store acknowledges version 2, which takes the key from alder and gives it to birch");
    let mut late = Vec::new();
    let mut answers: BTreeMap<&str, usize> = BTreeMap::new();
    let mut number = 0;
    while cut_at.elapsed() + Duration::from_millis(200) < CUT {
        for path in ["/status/x", "/case/x"] {
            number += 1;
            let id = format!("{:016x}", 0x4b00_0000_0000_0000_u64 + number);
            let headers = format!(
                "Ragwortfold-Request-Id: {id}\r\nRagwortfold-Deadline-Ms: 2000\r\n\
                 Authorization: Bearer {KEY}\r\n"
            );
            let age = acknowledged_at.elapsed();
            record.line(format!("client sends {id} GET {path} with the key, {} ms after the acknowledgement", age.as_millis()));
            if age > REVOKE {
                late.push(id.clone());
            }
            let answer = Client::connect(host.front, Duration::from_secs(3));
            let answer = answer.and_then(|mut client| client.request("GET", path, &headers, b""));
            record.line(format!("client gets for {id}: {}", lab::describe(&answer)));
            *answers.entry(path).or_default() += 1;
        }
        thread::sleep(Duration::from_millis(150));
    }
    access.set_access(Access::Served);
    let named = named.lock().unwrap();
    let foreign: Vec<_> = late
        .iter()
        .filter(|id| named.get(*id).is_some_and(|tenant| tenant == "alder"))
        .collect();
    for id in &foreign {
        record.line(format!(
            "UNASKED: {id} ran for the tenant \"alder\", which has not held the client's key for more than 5 s"
        ));
    }
    record.line(format!("{} of {} requests sent that late ran for another tenant than the key's", foreign.len(), late.len()));
    drop(host);
    if late.len() < 10 {
        lab::give_up("too few requests were sent");
    }
    exit(if foreign.is_empty() { lab::HELD } else { lab::BROKEN });
}
