//! Callers that keep their connections as long as they last, and judge each answer.

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
use crate::world::{lock, Shared, World};

const CALLERS: u64 = 8;
/// Between two requests of a caller.
const PAUSE: Duration = Duration::from_millis(10);
/// How long a caller waits for an answer: longer than any route allows.
const PATIENCE: Duration = Duration::from_secs(5);
/// Requests on one connection at the most.
const KEPT: u32 = 20;

/// Callers at work.
pub struct Callers {
    stop: Arc<AtomicBool>,
    threads: Vec<JoinHandle<Vec<String>>>,
}

impl Callers {
    /// Ends them; tells what they judged wrong.
    pub fn stop(self) -> Vec<String> {
        self.stop.store(true, Ordering::SeqCst);
        let results = self.threads.into_iter().map(|thread| thread.join());
        results.flat_map(|result| result.unwrap()).collect()
    }
}

/// Starts callers of all hosts.
pub fn start(world: &World, seed: u64) -> Callers {
    let stop = Arc::new(AtomicBool::new(false));
    let fronts: Vec<SocketAddr> = world.hosts.iter().map(|host| host.front).collect();
    let threads = (0..CALLERS)
        .map(|number| {
            let mut caller = Caller {
                rng: Pcg64Mcg::seed_from_u64(seed * CALLERS + number),
                fronts: fronts.clone(),
                ledger: world.ledger.clone(),
                wrong: Vec::new(),
            };
            let stop = stop.clone();
            thread::spawn(move || {
                let mut count = 0;
                while !stop.load(Ordering::SeqCst) {
                    caller.connection(number, &mut count, &stop);
                    thread::sleep(PAUSE);
                }
                caller.wrong
            })
        })
        .collect();
    Callers { stop, threads }
}

struct Caller {
    rng: Pcg64Mcg,
    fronts: Vec<SocketAddr>,
    ledger: Shared,
    wrong: Vec<String>,
}

impl Caller {
    /// Sends requests on one connection until it ends.
    fn connection(&mut self, number: u64, count: &mut u64, stop: &AtomicBool) {
        let front = self.fronts[self.rng.random_range(0..self.fronts.len())];
        let Ok(stream) = TcpStream::connect_timeout(&front, PATIENCE) else {
            return;
        };
        stream.set_read_timeout(Some(PATIENCE)).unwrap();
        let mut reader = BufReader::new(stream.try_clone().unwrap());
        let mut stream = stream;
        for _ in 0..self.rng.random_range(1..KEPT) {
            if stop.load(Ordering::SeqCst) {
                return;
            }
            *count += 1;
            let kind = if self.rng.random_bool(0.5) {
                "once"
            } else {
                "safe"
            };
            let id = format!("{kind}-{number}-{count}");
            let object = self.rng.random_range(0..30);
            let request = format!(
                "GET /{kind}/{object} HTTP/1.1\r\nHost: a.example\r\nragwortfold-request-id: {id}\r\n\
                 ragwortfold-deadline-ms: 2000\r\ncookie: Ragwortfold-Affinity-Key={object}\r\n\r\n"
            );
            if stream.write_all(request.as_bytes()).is_err() {
                return;
            }
            // No answer, or half of one, promises nothing.
            let Some((line, headers, body)) = read_message(&mut reader) else {
                return;
            };
            self.judge(&id, &line, &headers, &body);
            if headers
                .get("connection")
                .is_some_and(|value| value == "close")
            {
                return;
            }
            thread::sleep(PAUSE);
        }
    }

    fn judge(&mut self, id: &str, line: &str, headers: &BTreeMap<String, String>, body: &[u8]) {
        let status = line.split(' ').nth(1).unwrap_or_default();
        let runs = lock(&self.ledger).runs(id);
        let named = headers.get("ragwortfold-request-id").map(String::as_str);
        let problem = match status {
            "200" if named != Some(id) => "a success names another request",
            "200" if body != b"hello" => "a success with another body",
            "200" if runs == 0 => "a success without a run",
            "503" if id.starts_with("once-") && runs > 0 => "a promise after a run",
            "503" if id.starts_with("once-") => {
                lock(&self.ledger).promise(id);
                return;
            }
            "200" | "500" | "502" | "503" | "504" => return,
            _ => "an answer that fits nothing",
        };
        self.wrong.push(format!("{id}: {problem}: {line}"));
    }
}
