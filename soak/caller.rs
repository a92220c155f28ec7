//! Callers that send requests over keep-alive connections and check each answer.

use std::collections::BTreeMap;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::standin::read_message;
use crate::world::{lock, SharedLedger, World};

const CALLERS: usize = 8;
/// Pause between two requests of a caller.
const REQUEST_INTERVAL: Duration = Duration::from_millis(10);
/// How long a caller waits to connect and for an answer; longer than the timeout of any route.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(5);
/// Longest time that a caller waits before it leaves.
const MAX_PATIENCE: Duration = Duration::from_millis(100);
/// A connection carries fewer requests than this.
const CONNECTION_REQUEST_LIMIT: u32 = 20;

/// The threads of the running callers.
pub struct Callers {
    stop: Arc<AtomicBool>,
    threads: Vec<JoinHandle<Vec<String>>>,
}

impl Callers {
    /// Stops the callers; returns descriptions of all invalid answers.
    pub fn stop(self) -> Vec<String> {
        self.stop.store(true, Ordering::SeqCst);
        let results = self.threads.into_iter().map(|thread| thread.join());
        results.flat_map(|result| result.unwrap()).collect()
    }
}

/// Starts callers that send to all hosts.
pub fn start(world: &World, seed: u64) -> Callers {
    start_leaving(world, seed, CALLERS, 0.0)
}

/// Starts `count` callers, which leave before they have an answer with this share of their requests.
pub fn start_leaving(world: &World, seed: u64, count: usize, leave_share: f64) -> Callers {
    let stop = Arc::new(AtomicBool::new(false));
    let host_addresses: Vec<SocketAddr> = world.hosts.iter().map(|host| host.front).collect();
    let count = count as u64;
    let threads = (0..count)
        .map(|number| {
            let mut caller = Caller {
                rng: Pcg64Mcg::seed_from_u64(seed * count + number),
                leave_share,
                host_addresses: host_addresses.clone(),
                ledger: world.ledger.clone(),
                invalid_answers: Vec::new(),
            };
            let stop = stop.clone();
            thread::spawn(move || {
                let mut count = 0;
                while !stop.load(Ordering::SeqCst) {
                    caller.use_connection(number, &mut count, &stop);
                    thread::sleep(REQUEST_INTERVAL);
                }
                caller.invalid_answers
            })
        })
        .collect();
    Callers { stop, threads }
}

struct Caller {
    rng: Pcg64Mcg,
    /// The share of requests after which it leaves before it has an answer.
    leave_share: f64,
    host_addresses: Vec<SocketAddr>,
    ledger: SharedLedger,
    invalid_answers: Vec<String>,
}

impl Caller {
    /// Sends requests over one connection until it is closed, broken or used up.
    fn use_connection(&mut self, number: u64, count: &mut u64, stop: &AtomicBool) {
        let address = self.host_addresses[self.rng.random_range(0..self.host_addresses.len())];
        let Ok(stream) = TcpStream::connect_timeout(&address, ANSWER_TIMEOUT) else {
            return;
        };
        stream.set_read_timeout(Some(ANSWER_TIMEOUT)).unwrap();
        let mut reader = BufReader::new(stream.try_clone().unwrap());
        let mut stream = stream;
        for _ in 0..self.rng.random_range(1..CONNECTION_REQUEST_LIMIT) {
            if stop.load(Ordering::SeqCst) {
                return;
            }
            *count += 1;
            let prefix = if self.rng.random_bool(0.5) {
                "once"
            } else {
                "safe"
            };
            let id = format!("{prefix}-{number}-{count}");
            let object = self.rng.random_range(0..30);
            let request = format!(
                "GET /{prefix}/{object} HTTP/1.1\r\nHost: a.example\r\nragwortfold-request-id: {id}\r\n\
                 ragwortfold-deadline-ms: 2000\r\ncookie: Ragwortfold-Affinity-Key={object}\r\n\r\n"
            );
            if stream.write_all(request.as_bytes()).is_err() {
                return;
            }
            if self.leave_share > 0.0 && self.rng.random_bool(self.leave_share) {
                thread::sleep(MAX_PATIENCE.mul_f64(self.rng.random_range(0.0..1.0)));
                return;
            }
            // Without a complete answer, the request may or may not have run: there is nothing to check.
            let Some((line, headers, body)) = read_message(&mut reader) else {
                return;
            };
            self.check_answer(&id, &line, &headers, &body);
            if headers
                .get("connection")
                .is_some_and(|value| value == "close")
            {
                return;
            }
            thread::sleep(REQUEST_INTERVAL);
        }
    }

    /// Checks an answer against the runs of the request that the targets recorded.
    fn check_answer(
        &mut self,
        id: &str,
        line: &str,
        headers: &BTreeMap<String, String>,
        body: &[u8],
    ) {
        let status = line.split(' ').nth(1).unwrap_or_default();
        let runs = lock(&self.ledger).runs(id);
        let answered_id = headers.get("ragwortfold-request-id").map(String::as_str);
        let problem = match status {
            "200" if answered_id != Some(id) => "status 200 with the ID of another request",
            "200" if body != b"hello" => "status 200 with an unexpected body",
            "200" if runs == 0 => "status 200, but no target ran the request",
            "503" if id.starts_with("once-") && runs > 0 => {
                "status 503 reports that the request was not run, but a target ran it"
            }
            "503" if id.starts_with("once-") => {
                lock(&self.ledger).record_not_run(id);
                return;
            }
            "500" | "502" | "504" if id.starts_with("once-") => {
                lock(&self.ledger).record_failure(id);
                return;
            }
            "200" | "500" | "502" | "503" | "504" => return,
            _ => "unexpected status",
        };
        self.invalid_answers
            .push(format!("{id}: {problem}: {line}"));
    }
}
