//! Stand-ins for the review's scripts: the platform's store, backends, clients, and hosts as
//! processes. Standard library only.

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::fs::File;
use std::io::{BufRead, BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// The log of what was sent, answered and run.
#[derive(Clone)]
pub struct Record {
    started: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn new(path: &str) -> Self {
        let file = File::create(path).expect("cannot create the record");
        Self {
            started: Instant::now(),
            file: Arc::new(Mutex::new(file)),
        }
    }

    pub fn seconds(&self) -> f64 {
        self.started.elapsed().as_secs_f64()
    }

    pub fn line(&self, text: &str) {
        let line = format!("{:8.3} {text}\n", self.seconds());
        let mut file = self.file.lock().unwrap();
        let _ = file.write_all(line.as_bytes());
    }
}

/// The first line of a message, its headers with lower-case names, and its body.
pub type Message = (String, BTreeMap<String, String>, Vec<u8>);

/// Reads a request or response with a `Content-Length` or chunked body.
pub fn read_message(reader: &mut impl BufRead) -> Option<Message> {
    let mut first = String::new();
    if reader.read_line(&mut first).ok()? == 0 {
        return None;
    }
    let mut headers = BTreeMap::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let Some((name, value)) = line.trim().split_once(':') else {
            break;
        };
        headers.insert(name.to_lowercase(), value.trim().to_string());
    }
    let mut body = Vec::new();
    if headers.get("transfer-encoding").is_some_and(|v| v.contains("chunked")) {
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line).ok()? == 0 {
                return None;
            }
            let size = usize::from_str_radix(line.trim(), 16).ok()?;
            let mut chunk = vec![0; size + 2];
            reader.read_exact(&mut chunk).ok()?;
            if size == 0 {
                break;
            }
            body.extend_from_slice(&chunk[..size]);
        }
    } else {
        let length = headers.get("content-length").map_or(0, |l| l.parse().unwrap_or(0));
        body = vec![0; length];
        reader.read_exact(&mut body).ok()?;
    }
    Some((first.trim().to_string(), headers, body))
}

/// An object of the store: the text of `spec`, of `status`, and of further top-level fields.
#[derive(Clone, Default)]
struct Object {
    rev: u64,
    created: u64,
    spec: String,
    status: String,
    /// Top-level fields beside `metadata`, `spec` and `status`, each followed by a comma.
    fields: String,
}

impl Object {
    fn json(&self, name: &str) -> String {
        format!(
            "{{\"metadata\":{{\"name\":\"{name}\",\"rev\":{},\"createRevision\":{},\"finalizers\":[],\"deleting\":false}},{}\"spec\":{},\"status\":{}}}",
            self.rev, self.created, self.fields, self.spec, self.status
        )
    }
}

#[derive(Default)]
struct Objects {
    revision: u64,
    current: BTreeMap<(String, String), Object>,
    /// Revision, kind, whether it was removed, and the object.
    changes: Vec<(u64, String, bool, String)>,
}

/// The platform's store.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    objects: Arc<(Mutex<Objects>, Condvar)>,
}

impl Store {
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("cannot listen");
        let store = Self {
            address: listener.local_addr().unwrap(),
            objects: Arc::new((
                Mutex::new(Objects {
                    revision: 5,
                    ..Objects::default()
                }),
                Condvar::new(),
            )),
        };
        let served = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = served.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        store
    }

    /// Writes an object. Empty texts leave what is there.
    pub fn put(&self, kind: &str, name: &str, fields: &str, spec: &str, status: &str) -> u64 {
        let mut objects = self.objects.0.lock().unwrap();
        objects.revision += 1;
        let revision = objects.revision;
        let key = (kind.to_string(), name.to_string());
        let mut object = objects.current.get(&key).cloned().unwrap_or(Object {
            created: revision,
            spec: "null".into(),
            status: "null".into(),
            ..Object::default()
        });
        object.rev = revision;
        for (old, new) in [
            (&mut object.fields, fields),
            (&mut object.spec, spec),
            (&mut object.status, status),
        ] {
            if !new.is_empty() {
                *old = new.to_string();
            }
        }
        let text = object.json(name);
        objects.current.insert(key, object);
        objects.changes.push((revision, kind.into(), false, text));
        self.objects.1.notify_all();
        revision
    }

    pub fn remove(&self, kind: &str, name: &str) {
        let mut objects = self.objects.0.lock().unwrap();
        let key = (kind.to_string(), name.to_string());
        if let Some(mut object) = objects.current.remove(&key) {
            objects.revision += 1;
            object.rev = objects.revision;
            let change = (objects.revision, kind.into(), true, object.json(name));
            objects.changes.push(change);
            self.objects.1.notify_all();
        }
    }

    fn serve(&self, stream: TcpStream) {
        let mut reader = BufReader::new(stream.try_clone().unwrap());
        let mut stream = stream;
        while let Some((line, _, body)) = read_message(&mut reader) {
            let mut words = line.split(' ');
            let (method, path) = (words.next().unwrap_or(""), words.next().unwrap_or(""));
            let (status, body) = self.call(method, path, &String::from_utf8_lossy(&body));
            let head = format!(
                "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                body.len()
            );
            if stream.write_all((head + &body).as_bytes()).is_err() {
                return;
            }
        }
    }

    fn call(&self, method: &str, path: &str, body: &str) -> (u16, String) {
        let path = path.strip_prefix("/api/objects/").unwrap_or("");
        let (path, query) = path.split_once('?').unwrap_or((path, ""));
        let query: BTreeMap<&str, &str> =
            query.split('&').filter_map(|pair| pair.split_once('=')).collect();
        let (kind, name) = path.split_once('/').unwrap_or((path, ""));
        match method {
            "GET" if query.contains_key("watch") => {
                let from = query["watch"].parse().unwrap_or(0);
                let wait = query.get("waitMs").and_then(|w| w.parse().ok()).unwrap_or(0);
                self.watch(kind, from, Duration::from_millis(wait))
            }
            "GET" if name.is_empty() => self.list(kind, query.get("after").unwrap_or(&"")),
            "GET" => {
                let objects = self.objects.0.lock().unwrap();
                match objects.current.get(&(kind.into(), name.into())) {
                    Some(object) => (200, object.json(name)),
                    None => (404, "{}".into()),
                }
            }
            "POST" | "PUT" => self.write(method, kind, name, body),
            _ => {
                let rev = query.get("rev").and_then(|rev| rev.parse().ok());
                if let Some(conflict) = self.conflict(kind, name, rev) {
                    return conflict;
                }
                self.remove(kind, name);
                (200, "{}".into())
            }
        }
    }

    fn conflict(&self, kind: &str, name: &str, rev: Option<u64>) -> Option<(u16, String)> {
        let objects = self.objects.0.lock().unwrap();
        match objects.current.get(&(kind.into(), name.into())) {
            None => Some((404, "{}".into())),
            Some(object) if rev.is_some_and(|rev| rev != object.rev) => {
                Some((409, object.json(name)))
            }
            Some(_) => None,
        }
    }

    /// Handles a write of a host: its own registration.
    fn write(&self, method: &str, kind: &str, name: &str, body: &str) -> (u16, String) {
        let metadata = field(body, "metadata").unwrap_or("{}");
        let given = field(metadata, "name").unwrap_or("\"\"").trim_matches('"').to_string();
        let name = if name.is_empty() { given } else { name.to_string() };
        let rev = field(metadata, "rev").and_then(|rev| rev.parse().ok());
        let exists = {
            let objects = self.objects.0.lock().unwrap();
            let object = objects.current.get(&(kind.into(), name.clone()));
            object.map(|object| object.json(&name))
        };
        match (method, exists) {
            ("POST", Some(object)) => return (409, object),
            ("PUT", _) => {
                if let Some(conflict) = self.conflict(kind, &name, rev) {
                    return conflict;
                }
            }
            _ => {}
        }
        self.put(kind, &name, "", field(body, "spec").unwrap_or("null"), "");
        let objects = self.objects.0.lock().unwrap();
        (200, objects.current[&(kind.to_string(), name.clone())].json(&name))
    }

    fn list(&self, kind: &str, after: &str) -> (u16, String) {
        const PAGE: usize = 50;
        let objects = self.objects.0.lock().unwrap();
        let all: Vec<String> = objects
            .current
            .iter()
            .filter(|((k, name), _)| k == kind && name.as_str() > after)
            .map(|((_, name), object)| object.json(name))
            .collect();
        let items = all[..all.len().min(PAGE)].join(",");
        let more = all.len() > PAGE;
        let body = format!(
            "{{\"items\":[{items}],\"hasMore\":{more},\"storeRevision\":{}}}",
            objects.revision
        );
        (200, body)
    }

    fn watch(&self, kind: &str, from: u64, wait: Duration) -> (u16, String) {
        let until = Instant::now() + wait;
        let mut objects = self.objects.0.lock().unwrap();
        loop {
            let events: Vec<String> = objects
                .changes
                .iter()
                .filter(|(rev, k, ..)| *rev > from && k == kind)
                .map(|(_, _, deleted, object)| {
                    format!("{{\"deleted\":{deleted},\"object\":{object}}}")
                })
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let body = format!(
                    "{{\"events\":[{}],\"storeRevision\":{}}}",
                    events.join(","),
                    objects.revision
                );
                return (200, body);
            }
            objects = self.objects.1.wait_timeout(objects, left).unwrap().0;
        }
    }
}

/// The text of a field's value in a JSON object.
pub fn field<'a>(json: &'a str, name: &str) -> Option<&'a str> {
    let bytes = json.as_bytes();
    let (mut depth, mut at) = (0, 0);
    let mut key: Option<&str> = None;
    let mut value_from = None;
    while at < bytes.len() {
        match bytes[at] {
            b'"' => {
                let from = at;
                at += 1;
                while bytes[at] != b'"' {
                    at += if bytes[at] == b'\\' { 2 } else { 1 };
                }
                if depth == 1 && value_from.is_none() {
                    key = Some(&json[from + 1..at]);
                }
            }
            b':' if depth == 1 && value_from.is_none() => value_from = Some(at + 1),
            b'{' | b'[' => depth += 1,
            b',' | b'}' | b']' => {
                let ends = depth == 1;
                if bytes[at] != b',' {
                    depth -= 1;
                }
                if ends {
                    if let (Some(from), true) = (value_from, key == Some(name)) {
                        return Some(json[from..at].trim());
                    }
                    value_from = None;
                }
            }
            _ => {}
        }
        at += 1;
    }
    None
}

/// A backend's entry in the store.
#[derive(Clone)]
pub struct Entry {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub address: SocketAddr,
    pub born: u64,
}

impl Entry {
    pub fn fields(&self) -> String {
        format!("\"born\":{},", self.born)
    }

    pub fn spec(&self) -> String {
        format!(
            "{{\"address\":\"{}\",\"info\":{{\"service\":\"{}\",\"version\":\"v1\",\"zone\":\"{}\",\"slots\":6}}}}",
            self.address, self.service, self.zone
        )
    }

    pub fn status(state: &str, seq: u64) -> String {
        format!("{{\"state\":\"{state}\",\"seq\":{seq},\"coldLeft\":\"0ms\"}}")
    }
}

/// What a backend does with a request, given the id of the request before it on this connection:
/// the bytes to send, and whether it then keeps the connection.
pub type Respond = dyn Fn(&Message, Option<&str>) -> (Vec<u8>, bool) + Send + Sync;

/// A backend's process, as far as its peers can tell.
pub struct Backend {
    pub address: SocketAddr,
    has_exited: Arc<AtomicBool>,
    connections: Arc<Mutex<Vec<TcpStream>>>,
}

impl Backend {
    /// Ends the backend as a process ends: its connections close, and new ones are refused.
    pub fn exit(&self) {
        self.has_exited.store(true, Ordering::SeqCst);
        // Wakes the thread that accepts connections, which then drops the listener.
        let _ = TcpStream::connect(self.address);
        for connection in self.connections.lock().unwrap().drain(..) {
            let _ = connection.shutdown(Shutdown::Both);
        }
    }
}

/// Starts a backend on a free loopback port.
pub fn start_backend(respond: Arc<Respond>) -> Backend {
    let listener = TcpListener::bind("127.0.0.1:0").expect("cannot listen");
    let backend = Backend {
        address: listener.local_addr().unwrap(),
        has_exited: Arc::default(),
        connections: Arc::default(),
    };
    let (has_exited, connections) = (backend.has_exited.clone(), backend.connections.clone());
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            if has_exited.load(Ordering::SeqCst) {
                return;
            }
            connections.lock().unwrap().push(stream.try_clone().unwrap());
            let respond = respond.clone();
            thread::spawn(move || {
                let _ = stream.set_nodelay(true);
                let mut reader = BufReader::new(stream.try_clone().unwrap());
                let mut stream = stream;
                let mut previous: Option<String> = None;
                while let Some(message) = read_message(&mut reader) {
                    let (bytes, keeps) = respond(&message, previous.as_deref());
                    previous = message.1.get("ragwortfold-request-id").cloned();
                    if stream.write_all(&bytes).is_err() || !keeps {
                        break;
                    }
                }
                // The list of connections has a copy of the socket.
                let _ = stream.shutdown(Shutdown::Both);
            });
        }
    });
    backend
}

/// A response of a backend.
pub fn response(status: &str, id: &str, headers: &str, body: &str) -> Vec<u8> {
    format!(
        "HTTP/1.1 {status}\r\nRagwortfold-Request-Id: {id}\r\nRagwortfold-Server-Load: 1,0,6\r\n{headers}Content-Length: {}\r\n\r\n{body}",
        body.len()
    )
    .into_bytes()
}

/// Free ports on a loopback address, all different, in ascending order.
fn free_ports<const N: usize>(ip: &str) -> [u16; N] {
    let listeners = [(); N].map(|()| TcpListener::bind((ip, 0)).expect("cannot listen"));
    let mut ports = listeners.map(|listener| listener.local_addr().unwrap().port());
    ports.sort_unstable();
    ports
}

/// Time after which a script ends whatever it does.
const SCRIPT_LIMIT: Duration = Duration::from_secs(100);

/// The ids of the processes that this script started.
static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Ends all processes that this script started, and the script, if it takes too long.
fn start_watchdog() {
    thread::spawn(|| {
        thread::sleep(SCRIPT_LIMIT);
        eprintln!("the script takes too long");
        for id in STARTED.lock().unwrap().iter() {
            let _ = Command::new("kill").args(["-9", &id.to_string()]).status();
        }
        std::process::exit(2);
    });
}

/// An entry host as a process, started as the deploy file says.
pub struct Host {
    pub name: String,
    pub front: SocketAddr,
    pub child: Child,
}

impl Drop for Host {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Starts one host in each of `zones`, with settings like those of `ctrg-lists`.
pub fn start_hosts(folder: &PathBuf, store: &Store, zones: &[&str]) -> Vec<Host> {
    start_watchdog();
    let mut plans = Vec::new();
    for (index, zone) in zones.iter().enumerate() {
        let ip = format!("127.77.{}.{}", std::process::id() % 250 + 1, index + 1);
        let ports: [u16; 6] = free_ports(&ip);
        plans.push((format!("edge-{zone}-1"), zone.to_string(), ip, ports));
    }
    let regions = zones
        .iter()
        .map(|zone| format!("\"{zone}\":\"{}\"", zone.split('-').next().unwrap()))
        .collect::<Vec<_>>()
        .join(",");
    let seeds = plans
        .iter()
        .take(3)
        .map(|(_, _, ip, ports)| format!("\"{ip}:{}\"", ports[3]))
        .collect::<Vec<_>>()
        .join(",");
    let mut hosts = Vec::new();
    for (name, zone, ip, ports) in &plans {
        let mut text = String::new();
        let _ = write!(
            text,
            "{{\"host\":\"{name}\",\"zone\":\"{zone}\",\"regions\":{{{regions}}},\"address\":\"{ip}\",\
             \"front\":\"{ip}:{}\",\"ready\":\"{ip}:{}\",\"lookup\":\"{ip}:{}\",\"feed\":\"{ip}:{}\",\
             \"seeds\":[{seeds}],\"peer_ports\":[{},{}],\"store\":\"{}\",\"cores\":0.2,\"megabits\":1000.0,\
             \"terms\":[\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\"places\",\"platform\"],\
             \"bounds\":{{\"grace\":\"6s\",\"lookup_ttl\":\"5s\",\"repeat_share\":0.2,\"repeat_floor\":64,\
             \"repeat_window\":\"10s\",\"target_heartbeat\":\"1500ms\",\"cold_burst\":5}}}}",
            ports[0], ports[1], ports[2], ports[3], ports[4], ports[5], store.address
        );
        let settings = folder.join(format!("{name}.json"));
        std::fs::write(&settings, text).expect("cannot write the settings");
        let log = File::create(folder.join(format!("{name}.log"))).expect("cannot create a log");
        let child = Command::new("target/release/ragwortfold-host")
            .env("RAGWORTFOLD_SETTINGS", &settings)
            .stdout(Stdio::from(log.try_clone().unwrap()))
            .stderr(Stdio::from(log))
            .spawn()
            .expect("cannot start target/release/ragwortfold-host");
        STARTED.lock().unwrap().push(child.id());
        hosts.push(Host {
            name: name.clone(),
            front: format!("{ip}:{}", ports[0]).parse().unwrap(),
            child,
        });
        // The ready address, for waiting.
        let ready: SocketAddr = format!("{ip}:{}", ports[1]).parse().unwrap();
        wait_ready(ready);
    }
    hosts
}

fn wait_ready(ready: SocketAddr) {
    let until = Instant::now() + Duration::from_secs(15);
    while Instant::now() < until {
        if let Ok(mut stream) = TcpStream::connect(ready) {
            let _ = stream.set_read_timeout(Some(Duration::from_secs(2)));
            let _ = stream.write_all(b"GET /api/ready HTTP/1.1\r\nHost: x\r\n\r\n");
            let mut reader = BufReader::new(stream);
            if read_message(&mut reader).is_some_and(|(line, ..)| line.contains(" 200")) {
                return;
            }
        }
        thread::sleep(Duration::from_millis(50));
    }
    panic!("a host did not become ready");
}

/// Sends one request on a new connection; returns the status line, or why there is none.
pub fn request(front: SocketAddr, method: &str, path: &str, id: &str, key: &str, body: &str) -> String {
    let send = || -> std::io::Result<String> {
        let mut stream = TcpStream::connect_timeout(&front, Duration::from_secs(1))?;
        stream.set_read_timeout(Some(Duration::from_secs(5)))?;
        let length = match method {
            "GET" => String::new(),
            _ => format!("Content-Length: {}\r\n", body.len()),
        };
        let text = format!(
            "{method} {path} HTTP/1.1\r\nHost: review.example\r\nRagwortfold-Request-Id: {id}\r\nCookie: Ragwortfold-Affinity-Key={key}\r\nRagwortfold-Deadline-Ms: 4000\r\n{length}\r\n{body}"
        );
        stream.write_all(text.as_bytes())?;
        let mut reader = BufReader::new(stream);
        Ok(match read_message(&mut reader) {
            Some((line, _, body)) => format!("{line} [{}]", String::from_utf8_lossy(&body).trim()),
            None => "closed without an answer".into(),
        })
    };
    send().unwrap_or_else(|error| format!("no answer: {error}"))
}

/// Writes the configuration: services `lists` and `offers`, with the routes `/lists/` (safe) and
/// `/offers/` (unsafe).
pub fn put_config(store: &Store) {
    let route = |path: &str, kind: &str, service: &str| {
        format!(
            "{{\"host\":\"review.example\",\"pathPrefix\":\"{path}\",\"kind\":\"{kind}\",\"timeout\":\"3s\",\"goal\":\"600ms\",\"priority\":1,\"service\":\"{service}\",\"maxAttempts\":2,\"sticky\":true,\"homeRegions\":[]}}"
        )
    };
    let service = "{\"healthPath\":\"/health\",\"maxConns\":390,\"protocol\":\"h1\",\"tls\":false,\"cold\":\"3s\",\"coldPerS\":6.9}";
    let spec = format!(
        "{{\"version\":\"00000007\",\"routes\":{{\"r-lists\":{},\"r-offers\":{}}},\"services\":{{\"lists\":{service},\"offers\":{service}}},\"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":67108864,\"headerTimeout\":\"3000ms\",\"idleTimeout\":\"15000ms\"}}}}",
        route("/lists/", "safe", "lists"),
        route("/offers/", "unsafe", "offers")
    );
    store.put("config", "main", "", &spec, "");
}

/// A new temporary folder.
pub fn temporary_folder() -> PathBuf {
    let folder = std::env::temp_dir().join(format!("review-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("cannot create a temporary folder");
    folder
}

/// Whether the case's disruption takes place.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}
