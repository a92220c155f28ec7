//! An in-memory platform on an ephemeral port, with fault injection for each call.

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};

use serde_json::{json, Value};

/// The fault injected into one call.
#[derive(Clone, Debug)]
#[allow(dead_code)]
pub enum Fault {
    /// The call is served normally.
    None,
    /// The call has no effect; the answer has this status, ETag and body.
    Answer(u16, &'static str, &'static str),
    /// The call takes effect, but the ETag of its answer is replaced.
    Etag(&'static str),
    /// The connection closes before the call takes effect.
    LoseCall,
    /// The call takes effect, and the connection closes without an answer.
    LoseAnswer,
    /// The call takes effect, and the connection stays open without an answer.
    NoAnswer,
    /// A listing returns the objects as of [`Platform::snapshot_objects`].
    Stale,
}

/// A received call.
#[allow(dead_code)]
pub struct Call {
    /// The path prefix of the client's URL, by which a test can tell clients apart.
    pub caller: String,
    pub method: String,
    pub path: String,
    pub query: String,
    pub body: Vec<u8>,
    condition: Option<u64>,
    must_be_absent: bool,
}

type Objects = BTreeMap<String, (u64, Value)>;
type FaultPlan = Arc<dyn Fn(&Call) -> Fault + Send + Sync>;

pub struct State {
    pub version: u64,
    pub objects: Objects,
    pub calls: Vec<String>,
    events: Vec<(u64, String, Value)>,
    snapshot: Objects,
}

#[derive(Clone)]
pub struct Platform {
    pub url: String,
    state: Arc<Mutex<State>>,
    fault_plan: Arc<Mutex<FaultPlan>>,
}

#[allow(dead_code)]
impl Platform {
    pub fn new() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let platform = Self {
            url: format!("http://{}", listener.local_addr().unwrap()),
            state: Arc::new(Mutex::new(State {
                version: 0,
                objects: BTreeMap::new(),
                calls: Vec::new(),
                events: Vec::new(),
                snapshot: BTreeMap::new(),
            })),
            fault_plan: Arc::new(Mutex::new(Arc::new(|_| Fault::None))),
        };
        let server = platform.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming() {
                let server = server.clone();
                std::thread::spawn(move || server.serve(stream.unwrap()));
            }
        });
        platform
    }

    pub fn with_objects_of(self, other: &Self) -> Self {
        let (version, objects) = {
            let other = other.state();
            (other.version, other.objects.clone())
        };
        self.state().version = version;
        self.state().objects = objects;
        self
    }

    /// Sets the function that chooses the fault of each call. It runs without any lock held, so it may call the platform.
    pub fn set_fault_plan(&self, fault_plan: impl Fn(&Call) -> Fault + Send + Sync + 'static) {
        *self.fault_plan.lock().unwrap() = Arc::new(fault_plan);
    }

    /// Injects one fault into the first call whose method and path match.
    pub fn fail_once(&self, method: &'static str, path: &'static str, fault: Fault) {
        let is_pending = AtomicBool::new(true);
        self.set_fault_plan(move |call| {
            let is_match = call.method == method && call.path.contains(path);
            if is_match && is_pending.swap(false, Ordering::SeqCst) {
                return fault.clone();
            }
            Fault::None
        });
    }

    pub fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap()
    }

    /// Saves the objects that later [`Fault::Stale`] listings return.
    pub fn snapshot_objects(&self) {
        let mut state = self.state();
        state.snapshot = state.objects.clone();
    }

    fn serve(&self, stream: TcpStream) {
        stream.set_nodelay(true).unwrap();
        let mut reader = BufReader::new(stream.try_clone().unwrap());
        let mut stream = stream;
        while let Some(call) = read_call(&mut reader) {
            let fault_plan = self.fault_plan.lock().unwrap().clone();
            let fault = fault_plan(&call);
            let (status, etag, body) = match fault {
                Fault::LoseCall => return,
                Fault::Answer(status, etag, body) => (status, etag.to_owned(), body.to_owned()),
                _ => self.state().answer(&call, matches!(fault, Fault::Stale)),
            };
            let etag = match fault {
                Fault::LoseAnswer => return,
                Fault::NoAnswer => {
                    let _ = reader.read(&mut [0]);
                    return;
                }
                Fault::Etag(text) => text.to_owned(),
                _ => etag,
            };
            let head = format!(
                "HTTP/1.1 {status} S\r\nETag: {etag}\r\nContent-Length: {}\r\n\r\n",
                body.len()
            );
            let Ok(()) = stream.write_all((head + &body).as_bytes()) else {
                return;
            };
        }
    }
}

impl State {
    fn answer(&mut self, call: &Call, is_stale: bool) -> (u16, String, String) {
        self.calls.push(format!("{} {}", call.method, call.path));
        if call.path == "/v1/objects" {
            let objects = if is_stale {
                &self.snapshot
            } else {
                &self.objects
            };
            let prefix = call.query.strip_prefix("prefix=").unwrap();
            let objects: Vec<_> = objects
                .iter()
                .filter(|(key, _)| key.starts_with(prefix))
                .map(|(key, (version, value))| json!({"key": key, "version": version, "value": value}))
                .collect();
            let body = json!({"version": self.version, "objects": objects});
            return (200, String::new(), body.to_string());
        }
        if call.path == "/v1/watch" {
            let after: u64 = query_field(&call.query, "after").parse().unwrap();
            let prefix = query_field(&call.query, "prefix");
            let events: Vec<_> = self
                .events
                .iter()
                .filter(|(version, key, _)| *version > after && key.starts_with(prefix))
                .map(
                    |(version, key, value)| json!({"key": key, "version": version, "value": value}),
                )
                .collect();
            let body = json!({"version": self.version, "events": events});
            return (200, String::new(), body.to_string());
        }
        if call.path == "/v1/hosts" {
            let body = r#"{"hosts":[{"host":"a","state":"live"},{"host":"b","state":"leaving"}]}"#;
            return (200, String::new(), body.to_owned());
        }
        self.answer_object(call)
    }

    fn answer_object(&mut self, call: &Call) -> (u16, String, String) {
        let key = call.path.strip_prefix("/v1/objects/").unwrap().to_owned();
        let found = self.objects.get(&key).map(|(version, _)| *version);
        let is_condition_met = match (call.must_be_absent, call.condition) {
            (true, _) => found.is_none(),
            (_, Some(version)) => found == Some(version),
            _ => true,
        };
        match (call.method.as_str(), is_condition_met) {
            ("GET", _) => match self.objects.get(&key) {
                Some((version, value)) => (200, format!("\"{version}\""), value.to_string()),
                None => (404, String::new(), String::new()),
            },
            (_, false) => (412, String::new(), String::new()),
            (method, true) => {
                self.version += 1;
                let value = match method {
                    "DELETE" => {
                        self.objects.remove(&key);
                        Value::Null
                    }
                    _ => serde_json::from_slice(&call.body).unwrap(),
                };
                if method != "DELETE" {
                    self.objects
                        .insert(key.clone(), (self.version, value.clone()));
                }
                self.events.push((self.version, key, value));
                (200, format!("\"{}\"", self.version), String::new())
            }
        }
    }
}

fn query_field<'a>(query: &'a str, name: &str) -> &'a str {
    query
        .split('&')
        .find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='))
        .unwrap()
}

fn read_call(reader: &mut impl BufRead) -> Option<Call> {
    let mut line = String::new();
    reader.read_line(&mut line).ok()?;
    let mut words = line.split(' ');
    let method = words.next()?.to_owned();
    let target = words.next()?.to_owned();
    let (caller, target) = target.split_at(target.find("/v1/").unwrap_or(0));
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    let mut call = Call {
        caller: caller.to_owned(),
        method,
        path: path.to_owned(),
        query: query.to_owned(),
        body: Vec::new(),
        condition: None,
        must_be_absent: false,
    };
    loop {
        let mut line = String::new();
        reader.read_line(&mut line).ok()?;
        let Some((name, value)) = line.trim_end().split_once(": ") else {
            break;
        };
        match name.to_ascii_lowercase().as_str() {
            "content-length" => call.body = vec![0; value.parse().unwrap()],
            "if-match" => call.condition = value.trim_matches('"').parse().ok(),
            "if-none-match" => call.must_be_absent = true,
            _ => {}
        }
    }
    reader.read_exact(&mut call.body).ok()?;
    Some(call)
}
