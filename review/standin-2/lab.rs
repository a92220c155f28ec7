//! Stand-ins for the cases of the second review: the platform's store, backends and clients, and
//! hosts as separate processes. Uses the standard library only.

#![allow(dead_code)]

use std::collections::BTreeMap;
use std::fs::{self, File};
use std::io::{self, BufRead, BufReader, Write};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Exit codes of a case.
pub const HELD: i32 = 0;
pub const BROKEN: i32 = 1;
pub const COULD_NOT_RUN: i32 = 2;

/// Whether the case runs with its disruption.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// Ends the process with the exit code for a case that could not run.
pub fn give_up(reason: &str) -> ! {
    eprintln!("could not run: {reason}");
    std::process::exit(COULD_NOT_RUN);
}

/// The record of what was sent, answered and run, with times since the start of the case.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    start: Instant,
}

impl Record {
    /// Creates the file that `RECORD` names.
    pub fn new() -> Self {
        let path = std::env::var("RECORD").unwrap_or_else(|_| give_up("RECORD is not set"));
        let file = File::create(path).unwrap_or_else(|error| give_up(&error.to_string()));
        Self {
            file: Arc::new(Mutex::new(file)),
            start: Instant::now(),
        }
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let time = self.start.elapsed().as_secs_f64();
        let line = format!("{time:8.3} s  {}\n", text.as_ref());
        let _ = self.file.lock().unwrap().write_all(line.as_bytes());
    }
}

/// A request or response: first line, headers with lower-case names, and body.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub first: String,
    pub headers: BTreeMap<String, String>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }

    /// The word of the first line with this number: method, path or status.
    pub fn word(&self, number: usize) -> &str {
        self.first.split(' ').nth(number).unwrap_or_default()
    }

    pub fn status(&self) -> u16 {
        self.word(1).parse().unwrap_or(0)
    }
}

/// Reads a message with a body of `Content-Length` bytes or in chunks.
pub fn read_message(reader: &mut impl BufRead) -> io::Result<Message> {
    let mut message = Message::default();
    let ended = || io::Error::from(io::ErrorKind::UnexpectedEof);
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Err(ended());
    }
    message.first = line.trim().to_owned();
    loop {
        line.clear();
        if reader.read_line(&mut line)? == 0 {
            return Err(ended());
        }
        let Some((name, value)) = line.trim().split_once(':') else {
            break;
        };
        let name = name.to_ascii_lowercase();
        message.headers.insert(name, value.trim().to_owned());
    }
    if message.header("transfer-encoding").contains("chunked") {
        loop {
            line.clear();
            reader.read_line(&mut line)?;
            let length = usize::from_str_radix(line.trim(), 16).map_err(|_| ended())?;
            let mut chunk = vec![0; length + 2];
            reader.read_exact(&mut chunk)?;
            if length == 0 {
                return Ok(message);
            }
            message.body.extend_from_slice(&chunk[..length]);
        }
    }
    let length = message.header("content-length").parse().unwrap_or(0);
    message.body = vec![0; length];
    reader.read_exact(&mut message.body)?;
    Ok(message)
}

/// Serves each connection of a listener on a thread. `answer` writes the answer to a request, and
/// returns whether the connection is kept.
pub fn serve(
    listener: TcpListener,
    answer: impl Fn(&Message, &mut TcpStream) -> bool + Send + Sync + 'static,
) {
    let answer = Arc::new(answer);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let answer = answer.clone();
            thread::spawn(move || {
                let _ = stream.set_nodelay(true);
                let Ok(reader) = stream.try_clone() else {
                    return;
                };
                let (mut reader, mut stream) = (BufReader::new(reader), stream);
                while let Ok(request) = read_message(&mut reader) {
                    if !answer(&request, &mut stream) {
                        return;
                    }
                }
            });
        }
    });
}

/// Listens on a free port of the loopback interface.
pub fn listen() -> (TcpListener, SocketAddr) {
    let listener =
        TcpListener::bind("127.0.0.1:0").unwrap_or_else(|error| give_up(&error.to_string()));
    let address = listener.local_addr().unwrap();
    (listener, address)
}

/// How the store treats the calls of the machine that has this address of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Access {
    Served,
    /// Nothing is answered, and nothing arrives.
    Cut,
}

struct Object {
    rev: u64,
    created: u64,
    spec: String,
    status: String,
}

struct Change {
    kind: String,
    rev: u64,
    is_deleted: bool,
    text: String,
}

#[derive(Default)]
struct Objects {
    revision: u64,
    current: BTreeMap<(String, String), Object>,
    changes: Vec<Change>,
}

impl Objects {
    fn text(&self, kind: &str, name: &str) -> Option<String> {
        let object = self.current.get(&(kind.to_owned(), name.to_owned()))?;
        let Object {
            rev,
            created,
            spec,
            status,
        } = object;
        Some(format!(
            "{{\"metadata\":{{\"name\":\"{name}\",\"rev\":{rev},\"createRevision\":{created},\
             \"finalizers\":[],\"deleting\":false}},\"spec\":{spec},\"status\":{status}}}"
        ))
    }

    fn put(&mut self, kind: &str, name: &str, spec: &str, status: &str) {
        let key = (kind.to_owned(), name.to_owned());
        let known = self.current.get(&key);
        if known.is_some_and(|object| object.spec == spec && object.status == status) {
            return;
        }
        self.revision += 1;
        let rev = self.revision;
        let created = known.map_or(rev, |object| object.created);
        let object = Object {
            rev,
            created,
            spec: spec.to_owned(),
            status: status.to_owned(),
        };
        self.current.insert(key, object);
        let text = self.text(kind, name).unwrap_or_default();
        self.changes.push(Change {
            kind: kind.to_owned(),
            rev,
            is_deleted: false,
            text,
        });
    }

    fn delete(&mut self, kind: &str, name: &str) {
        let Some(text) = self.text(kind, name) else {
            return;
        };
        self.revision += 1;
        self.current.remove(&(kind.to_owned(), name.to_owned()));
        self.changes.push(Change {
            kind: kind.to_owned(),
            rev: self.revision,
            is_deleted: true,
            text,
        });
    }
}

/// The value of a JSON text that begins at `start`, up to its end.
fn json_value(text: &str, start: usize) -> &str {
    let (mut depth, mut in_string, mut escaped) = (0, false, false);
    for (at, character) in text[start..].char_indices() {
        match character {
            _ if escaped => escaped = false,
            '\\' if in_string => escaped = true,
            '"' => in_string = !in_string,
            _ if in_string => continue,
            '{' | '[' => depth += 1,
            '}' | ']' if depth > 0 => depth -= 1,
            '}' | ']' | ',' if depth == 0 => return &text[start..start + at],
            _ => continue,
        }
        if depth == 0 && !in_string && at > 0 {
            return &text[start..=start + at];
        }
    }
    &text[start..]
}

/// The value of a field of a JSON object, from its first occurrence in the text.
fn json_field<'a>(text: &'a str, name: &str) -> Option<&'a str> {
    let field = format!("\"{name}\":");
    let start = text.find(&field)? + field.len();
    Some(json_value(text, start))
}

/// The platform's store. Each machine has an address of its own, so that it can be cut off.
#[derive(Clone, Default)]
pub struct Store {
    objects: Arc<Mutex<Objects>>,
}

/// One machine's address of the store.
#[derive(Clone)]
pub struct StoreAddress {
    pub address: SocketAddr,
    access: Arc<Mutex<Access>>,
}

impl StoreAddress {
    pub fn set_access(&self, access: Access) {
        *self.access.lock().unwrap() = access;
    }
}

impl Store {
    pub fn new() -> Self {
        let store = Self::default();
        store.objects.lock().unwrap().revision = 10;
        store
    }

    /// Writes an object as the operator or a backend does; its return is the acknowledgement.
    pub fn put(&self, kind: &str, name: &str, spec: &str, status: &str) {
        self.objects.lock().unwrap().put(kind, name, spec, status);
    }

    pub fn delete(&self, kind: &str, name: &str) {
        self.objects.lock().unwrap().delete(kind, name);
    }

    /// Registers a backend.
    pub fn put_backend(&self, backend: &Backend, state: &str) {
        let Backend {
            id,
            address,
            service,
            zone,
            slots,
            born,
        } = backend;
        let spec = format!(
            "{{\"address\":\"{address}\",\"born\":{born},\"info\":{{\"service\":\"{service}\",\
             \"version\":\"v1\",\"zone\":\"{zone}\",\"slots\":{slots}}}}}"
        );
        let status = format!("{{\"state\":\"{state}\",\"seq\":1,\"coldLeft\":\"0ms\"}}");
        self.put("servers", id, &spec, &status);
    }

    /// Opens an address for a machine.
    pub fn open(&self) -> StoreAddress {
        let (listener, address) = listen();
        let access = Arc::new(Mutex::new(Access::Served));
        let opened = StoreAddress {
            address,
            access: access.clone(),
        };
        let store = self.clone();
        serve(listener, move |request, stream| {
            let is_cut = || *access.lock().unwrap() == Access::Cut;
            let wait_while_cut = || {
                while is_cut() {
                    thread::sleep(Duration::from_millis(5));
                }
            };
            if is_cut() {
                wait_while_cut();
                return false;
            }
            let (status, body) = store.answer(request, &is_cut);
            if is_cut() {
                // The answer is lost, and so is the connection.
                wait_while_cut();
                return false;
            }
            let head = format!(
                "HTTP/1.1 {status} X\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n",
                body.len()
            );
            stream.write_all((head + &body).as_bytes()).is_ok()
        });
        opened
    }

    fn answer(&self, request: &Message, is_cut: &dyn Fn() -> bool) -> (u16, String) {
        let path = request.word(1).strip_prefix("/api/objects/");
        let path = path.unwrap_or_default();
        let (path, query) = path.split_once('?').unwrap_or((path, ""));
        let (kind, name) = path.split_once('/').unwrap_or((path, ""));
        let parameter = |name: &str| {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs.find(|(key, _)| *key == name).map(|(_, value)| value)
        };
        let body = String::from_utf8_lossy(&request.body).into_owned();
        match request.word(0) {
            "GET" => match parameter("watch").and_then(|from| from.parse().ok()) {
                Some(from) => {
                    let wait = parameter("waitMs").and_then(|wait| wait.parse().ok());
                    self.watch(kind, from, Duration::from_millis(wait.unwrap_or(0)), is_cut)
                }
                None if name.is_empty() => self.list(kind, parameter("after").unwrap_or_default()),
                None => match self.objects.lock().unwrap().text(kind, name) {
                    Some(text) => (200, text),
                    None => (404, String::new()),
                },
            },
            method => self.write(method, kind, name, &body, parameter("rev")),
        }
    }

    fn list(&self, kind: &str, after: &str) -> (u16, String) {
        const PAGE: usize = 500;
        let objects = self.objects.lock().unwrap();
        let names = objects.current.keys();
        let names: Vec<&String> = names
            .filter(|(known, name)| known == kind && name.as_str() > after)
            .map(|(_, name)| name)
            .collect();
        let page = names.iter().take(PAGE);
        let items: Vec<String> = page.filter_map(|name| objects.text(kind, name)).collect();
        let body = format!(
            "{{\"items\":[{}],\"hasMore\":{},\"storeRevision\":{}}}",
            items.join(","),
            names.len() > PAGE,
            objects.revision
        );
        (200, body)
    }

    fn watch(
        &self,
        kind: &str,
        from: u64,
        wait: Duration,
        is_cut: &dyn Fn() -> bool,
    ) -> (u16, String) {
        let until = Instant::now() + wait;
        loop {
            {
                let objects = self.objects.lock().unwrap();
                let changes = objects.changes.iter();
                let events: Vec<String> = changes
                    .filter(|change| change.kind == kind && change.rev > from)
                    .map(|change| {
                        let Change {
                            is_deleted, text, ..
                        } = change;
                        format!("{{\"deleted\":{is_deleted},\"object\":{text}}}")
                    })
                    .collect();
                if !events.is_empty() || Instant::now() >= until || is_cut() {
                    let body = format!(
                        "{{\"events\":[{}],\"storeRevision\":{}}}",
                        events.join(","),
                        objects.revision
                    );
                    return (200, body);
                }
            }
            thread::sleep(Duration::from_millis(5));
        }
    }

    fn write(
        &self,
        method: &str,
        kind: &str,
        name: &str,
        body: &str,
        rev: Option<&str>,
    ) -> (u16, String) {
        let metadata = json_field(body, "metadata").unwrap_or_default();
        let named = json_field(metadata, "name").unwrap_or_default();
        let name = if name.is_empty() {
            named.trim_matches('"')
        } else {
            name
        };
        let rev = rev.or_else(|| json_field(metadata, "rev"));
        let spec = json_field(body, "spec").unwrap_or("null");
        let objects = &mut *self.objects.lock().unwrap();
        let known = objects.current.get(&(kind.to_owned(), name.to_owned()));
        let known = known.map(|object| (object.rev, object.status.clone()));
        let conflicts = match (method, &known) {
            ("POST", known) => known.is_some(),
            (_, None) => return (404, String::new()),
            (_, Some((known, _))) => {
                rev.is_some_and(|rev| rev.trim().parse::<u64>().ok() != Some(*known))
            }
        };
        if conflicts {
            return (409, objects.text(kind, name).unwrap_or_default());
        }
        if method == "DELETE" {
            objects.delete(kind, name);
            return (200, "{}".to_owned());
        }
        let status = known.map_or("null".to_owned(), |(_, status)| status);
        objects.put(kind, name, spec, &status);
        (200, objects.text(kind, name).unwrap_or_default())
    }
}

/// A backend's registration.
#[derive(Clone, Debug)]
pub struct Backend {
    pub id: String,
    pub address: SocketAddr,
    pub service: String,
    pub zone: String,
    pub slots: u32,
    pub born: u64,
}

/// The answer of a sound backend to a request: it echoes the request's ID and is signed.
pub fn backend_answer(id: &str, request: &Message, status: &str, extra: &str, body: &str) -> String {
    format!(
        "HTTP/1.1 {status}\r\nRagwortfold-Request-Id: {}\r\nRagwortfold-Response-Stamp: {id}.{}\r\n\
         Ragwortfold-Server-Load: 0,0,4\r\nContent-Type: text/plain\r\nContent-Length: {}\r\n{extra}\r\n{body}",
        request.header("ragwortfold-request-id"),
        request.header("ragwortfold-request-id"),
        body.len()
    )
}

/// What a sound backend answers before it looks at the request itself: health checks, and requests
/// that are meant for another backend.
pub fn preliminary_answer(id: &str, request: &Message) -> Option<String> {
    if request.word(1) == "/health" {
        return Some(format!(
            "HTTP/1.1 200 OK\r\nRagwortfold-Instance-Id: {id}\r\nRagwortfold-Server-Load: 0,0,4\r\n\
             Content-Length: 0\r\n\r\n"
        ));
    }
    let expected = request.header("ragwortfold-expect-instance");
    (!expected.is_empty() && expected != id).then(|| {
        format!(
            "HTTP/1.1 421 Misdirected Request\r\nRagwortfold-Request-Id: {}\r\n\
             Ragwortfold-Not-Run: 1\r\nContent-Length: 0\r\n\r\n",
            request.header("ragwortfold-request-id")
        )
    })
}

/// A route of a configuration, in JSON.
pub fn route(prefix: &str, kind: &str, service: &str, timeout_ms: u32, extra: &str) -> String {
    format!(
        "{{\"host\":\"a.example\",\"pathPrefix\":\"{prefix}\",\"kind\":\"{kind}\",\
         \"timeout\":\"{timeout_ms}ms\",\"goal\":\"400ms\",\"priority\":1,\"service\":\"{service}\",\
         \"maxAttempts\":2,\"sticky\":true,\"homeRegions\":[]{extra}}}"
    )
}

/// A configuration in JSON. `routes` and `services` are by name; `extra` are further fields.
pub fn config(version: u32, routes: &[(&str, String)], services: &[&str], extra: &str) -> String {
    let routes: Vec<String> = routes
        .iter()
        .map(|(name, route)| format!("\"{name}\":{route}"))
        .collect();
    let services: Vec<String> = services
        .iter()
        .map(|name| {
            format!(
                "\"{name}\":{{\"healthPath\":\"/health\",\"maxConns\":390,\"protocol\":\"h1\",\
                 \"tls\":false,\"cold\":\"3s\",\"coldPerS\":6.9}}"
            )
        })
        .collect();
    format!(
        "{{\"version\":\"{version:08x}\",\"routes\":{{{}}},\"services\":{{{}}},\
         \"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":67108864,\
         \"headerTimeout\":\"3000ms\",\"idleTimeout\":\"15000ms\"}}{extra}}}",
        routes.join(","),
        services.join(",")
    )
}

/// Bounds of a deployment with tenants, in the names of `deploy/host.json`.
pub const TENANT_BOUNDS: &str =
    ",\"withdrawal\":\"5000ms\",\"excess\":{\"window\":\"5s\",\"share\":0.1,\"floor\":20}";

/// A host that runs as a process, with settings as `deploy/host.json` renders them.
pub struct Host {
    pub name: String,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    pub lookup: SocketAddr,
    pub feed: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    child: Child,
}

/// A loopback address of this run whose ports are free.
fn free_address(number: u8, ports: &[u16]) -> Ipv4Addr {
    let process = std::process::id();
    for attempt in 0..200 {
        let seed = process.wrapping_add(attempt * 7919);
        let address = Ipv4Addr::new(
            127,
            (seed % 200 + 2) as u8,
            (seed / 200 % 250 + 1) as u8,
            number,
        );
        let is_free = |port: &u16| {
            TcpListener::bind((address, *port)).is_ok() && UdpSocket::bind((address, *port)).is_ok()
        };
        if ports.iter().all(is_free) {
            return address;
        }
    }
    give_up("no free loopback address");
}

impl Host {
    /// Starts a host of a zone with its address of the store. `zones` maps zones to regions, in JSON.
    pub fn start(
        number: u8,
        zone: &str,
        zones: &str,
        store: &StoreAddress,
        seeds: &[SocketAddr],
        extra_bounds: &str,
    ) -> Self {
        const PORTS: [u16; 6] = [8548, 8542, 8546, 8544, 7540, 7555];
        let address = free_address(number, &PORTS);
        let at = |port: u16| SocketAddr::new(IpAddr::V4(address), port);
        let name = format!("edge-{zone}-{number}");
        let folder = std::env::var("FOLDER").unwrap_or_else(|_| give_up("FOLDER is not set"));
        let settings = Path::new(&folder).join(format!("{name}.json"));
        let log = Path::new(&folder).join(format!("{name}.log"));
        let seeds: Vec<String> = seeds.iter().map(|seed| format!("\"{seed}\"")).collect();
        let terms = "\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\"places\",\"platform\"";
        let text = format!(
            "{{\"host\":\"{name}\",\"zone\":\"{zone}\",\"regions\":{zones},\"address\":\"{address}\",\
             \"front\":\"{}\",\"ready\":\"{}\",\"lookup\":\"{}\",\"feed\":\"{}\",\"seeds\":[{}],\
             \"peer_ports\":[7540,7555],\"store\":\"{}\",\"cores\":0.2,\"megabits\":1000.0,\
             \"terms\":[{terms}],\"bounds\":{{\"grace\":\"6s\",\"lookup_ttl\":\"5s\",\
             \"repeat_share\":0.2,\"repeat_floor\":62,\"repeat_window\":\"10s\"{extra_bounds},\
             \"target_heartbeat\":\"1500ms\",\"cold_burst\":5}}}}",
            at(8548),
            at(8542),
            at(8546),
            at(8544),
            seeds.join(","),
            store.address
        );
        fs::write(&settings, text).unwrap_or_else(|error| give_up(&error.to_string()));
        let child = Self::spawn(&settings, &log);
        let host = Self {
            name,
            front: at(8548),
            ready: at(8542),
            lookup: at(8546),
            feed: at(8544),
            settings,
            log,
            child,
        };
        wait_until("a host is ready", || host.is_ready());
        host
    }

    /// Starts the program with the command of `deploy/system.toml`.
    fn spawn(settings: &Path, log: &Path) -> Child {
        let log = File::options().create(true).append(true).open(log);
        let log = log.unwrap_or_else(|error| give_up(&error.to_string()));
        let child = Command::new("target/release/ragwortfold-host")
            .env("RAGWORTFOLD_SETTINGS", settings)
            .stdin(Stdio::null())
            .stdout(log)
            .spawn()
            .unwrap_or_else(|error| give_up(&error.to_string()));
        // The script ends the process if this program can't.
        let ids = File::options().create(true).append(true).open(settings.with_file_name("pids"));
        let recorded = ids.and_then(|mut ids| writeln!(ids, "{}", child.id()));
        recorded.unwrap_or_else(|error| give_up(&error.to_string()));
        child
    }

    pub fn is_ready(&self) -> bool {
        let answer = call(self.ready, "GET", "/api/ready", "", b"", Duration::from_secs(1));
        answer.is_ok_and(|answer| answer.status() == 200)
    }

    /// Sends a signal to the process.
    pub fn signal(&self, name: &str) {
        let id = self.child.id().to_string();
        let status = Command::new("kill").args([name, &id]).status();
        if !status.is_ok_and(|status| status.success()) {
            give_up("a signal could not be sent");
        }
    }

    pub fn is_running(&mut self) -> bool {
        self.child.try_wait().is_ok_and(|status| status.is_none())
    }

    /// The log so far.
    pub fn log(&self) -> String {
        fs::read_to_string(&self.log).unwrap_or_default()
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Waits up to 20 s until a condition is met.
pub fn wait_until(what: &str, is_met: impl Fn() -> bool) {
    let end = Instant::now() + Duration::from_secs(20);
    while !is_met() {
        if Instant::now() > end {
            give_up(&format!("not in time: {what}"));
        }
        thread::sleep(Duration::from_millis(20));
    }
}

/// A client's connection.
pub struct Client {
    reader: BufReader<TcpStream>,
    stream: TcpStream,
}

impl Client {
    pub fn connect(address: SocketAddr, timeout: Duration) -> io::Result<Self> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
        stream.set_read_timeout(Some(timeout))?;
        stream.set_nodelay(true)?;
        Ok(Self {
            reader: BufReader::new(stream.try_clone()?),
            stream,
        })
    }

    /// Sends a request and waits for its answer. `headers` are complete lines.
    pub fn request(
        &mut self,
        method: &str,
        path: &str,
        headers: &str,
        body: &[u8],
    ) -> io::Result<Message> {
        let length = match (method, body.len()) {
            ("GET", 0) => String::new(),
            (_, length) => format!("Content-Length: {length}\r\n"),
        };
        let head = format!("{method} {path} HTTP/1.1\r\nHost: a.example\r\n{headers}{length}\r\n");
        self.stream.write_all(head.as_bytes())?;
        self.stream.write_all(body)?;
        read_message(&mut self.reader)
    }
}

/// Sends one request on a connection of its own.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &str,
    body: &[u8],
    timeout: Duration,
) -> io::Result<Message> {
    Client::connect(address, timeout)?.request(method, path, headers, body)
}

/// Describes the answer to a request, or its absence.
pub fn describe(answer: &io::Result<Message>) -> String {
    match answer {
        Ok(answer) => {
            let stamp = match answer.header("ragwortfold-response-stamp") {
                "" => "no signature",
                stamp => stamp,
            };
            let text = String::from_utf8_lossy(&answer.body);
            format!("{} ({stamp}) {:?}", answer.status(), text.trim())
        }
        Err(error) => format!("no answer: {error}"),
    }
}
