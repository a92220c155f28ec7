//! A small cluster for tests: a platform and targets in this process, entry hosts as processes.

#![allow(dead_code, reason = "each test file uses a part of it")]
#![allow(clippy::unwrap_used)]

use std::collections::BTreeMap;
use std::io::Read;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

use ragwortfold::border::objects;
use ragwortfold::store::client::{Client, Condition};
use serde_json::{json, Value};
use sha2::{Digest, Sha256};
use standin::platform::Platform;
use standin::target::{Settings, Target};

/// Time limit for each step of a test.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(30);
const PEER_SECRET: &str = "a secret of the tests";

/// An entry host running as a process.
pub struct Host {
    pub name: String,
    pub address: SocketAddr,
    pub peer_address: SocketAddr,
    child: Child,
}

impl Host {
    pub fn url(&self, path: &str) -> String {
        format!("http://{}{path}", self.address)
    }

    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal by name, e.g. `TERM`.
    pub fn signal(&self, name: &str) {
        let status = Command::new("kill")
            .args([format!("-{name}"), self.id().to_string()])
            .status()
            .unwrap();
        assert!(status.success());
    }

    /// Waits for the process to end and returns its exit code.
    pub fn wait(&mut self) -> Option<i32> {
        let deadline = Instant::now() + TEST_TIMEOUT;
        while Instant::now() < deadline {
            if let Some(status) = self.child.try_wait().unwrap() {
                return status.code();
            }
            thread::sleep(Duration::from_millis(20));
        }
        panic!("{} does not end", self.name);
    }

    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Returns an address that nothing listens on, outside the system's range of ephemeral ports.
pub fn free_address() -> SocketAddr {
    standin::free_address(Ipv4Addr::LOCALHOST.into()).unwrap()
}

/// The platform, the targets, the entry hosts, and the configuration that lists them.
pub struct TestCluster {
    pub platform: Platform,
    pub targets: BTreeMap<String, Target>,
    pub hosts: BTreeMap<String, Host>,
    pub configuration: Value,
    pub platform_url: String,
    directory: PathBuf,
}

impl TestCluster {
    /// Creates two services, `lookups` (idempotent) and `bookings`, but no regions or zones yet.
    pub fn new() -> Self {
        let platform = Platform::new("127.0.0.1:0".parse().unwrap()).unwrap();
        let directory = std::env::temp_dir().join(format!(
            "ragwortfold-{}-{}",
            std::process::id(),
            platform.address().port()
        ));
        std::fs::create_dir_all(&directory).unwrap();
        Self {
            platform_url: format!("http://{}", platform.address()),
            platform,
            targets: BTreeMap::new(),
            hosts: BTreeMap::new(),
            configuration: json!({
                "regions": {}, "availability_zones": {}, "hosts": {}, "targets": {},
                "services": {
                    "lookups": {"class": "pass-lookup", "idempotent": true, "deadline_ms": 5000},
                    "bookings": {"class": "booking", "deadline_ms": 5000},
                },
                "limits": {"shift": {"failover": {"share": 1.0, "window_s": 1}}},
            }),
            directory,
        }
    }

    /// Adds an availability zone.
    pub fn with_zone(mut self, region: &str, zone: &str) -> Self {
        self.configuration["regions"][region] = json!({});
        self.configuration["availability_zones"][zone] = json!({"region": region});
        self
    }

    /// Starts a target and adds it.
    pub fn with_target(mut self, zone: &str, service: &str, name: &str, slots: usize) -> Self {
        let settings = Settings::new(name, slots).with_zone(zone);
        let target = Target::new("127.0.0.1:0".parse().unwrap(), settings).unwrap();
        self.configuration["targets"][name] = json!({
            "service": service, "availability_zone": zone,
            "address": target.address().to_string(), "slots": slots, "warm_s": 0,
        });
        self.targets.insert(name.into(), target);
        self
    }

    /// Adds an entry host to the configuration; [`TestCluster::start`] starts it.
    pub fn with_host(mut self, zone: &str, name: &str) -> Self {
        self.configuration["hosts"][name] = json!({
            "availability_zone": zone,
            "address": free_address().to_string(),
            "peer_address": free_address().to_string(),
        });
        self
    }

    /// Publishes the configuration as `revision` directly to the store, without the command line.
    pub fn publish(&self, revision: u64) {
        let client = Client::new(&self.platform_url);
        let text = self.configuration.to_string();
        let hash: String = Sha256::digest(text.as_bytes())
            .iter()
            .map(|byte| format!("{byte:02x}"))
            .collect();
        let file = objects::File { text };
        let _ = client.put(&format!("config/file/{hash}"), &file, Condition::Absent);
        let change = json!({"author": "test", "id": format!("{revision}"), "note": "", "time": 0});
        let head = json!({
            "revision": revision, "change": change, "files": {"all.json": hash},
            "recent": [{"revision": revision, "change": change, "files": ["all.json"]}],
        });
        let condition = match client.get("config/head").unwrap() {
            Some(old) => Condition::Version(old.version),
            None => Condition::Absent,
        };
        client.put("config/head", &head, condition).unwrap();
    }

    /// Starts a configured host as a process.
    pub fn start(&mut self, name: &str) {
        let url = self.platform_url.clone();
        self.start_with(name, &url, json!({}));
    }

    /// Starts a configured host with another platform address and overridden settings.
    pub fn start_with(&mut self, name: &str, platform: &str, overrides: Value) {
        let host_record = &self.configuration["hosts"][name];
        let field = |key: &str| host_record[key].as_str().unwrap().to_owned();
        let mut settings = json!({
            "host": name, "availability_zone": field("availability_zone"),
            "listen": field("address"), "peer_listen": field("peer_address"),
            "platform": platform, "peer_secret": PEER_SECRET,
            "pool": {"workers": 32, "relay_workers": 32}, "log": {"level": "debug"},
        });
        for (key, value) in overrides.as_object().unwrap() {
            settings[key] = value.clone();
        }
        let file = self.directory.join(format!("{name}.json"));
        std::fs::write(&file, settings.to_string()).unwrap();
        let log = std::fs::File::create(self.directory.join(format!("{name}.log"))).unwrap();
        let child = Command::new(env!("CARGO_BIN_EXE_ragwortfold"))
            .args(["entry", "--settings"])
            .arg(&file)
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .unwrap();
        let host = Host {
            name: name.into(),
            address: field("address").parse().unwrap(),
            peer_address: field("peer_address").parse().unwrap(),
            child,
        };
        self.hosts.insert(name.into(), host);
    }

    /// Waits until a host is ready.
    pub fn wait_ready(&self, name: &str) {
        let host = &self.hosts[name];
        eventually(&format!("{name} serves"), || {
            ureq::get(host.url("/healthz")).call().is_ok()
        });
    }

    /// Publishes the configuration, starts all configured hosts and waits until they are ready.
    pub fn start_all(mut self) -> Self {
        self.publish(1);
        let names: Vec<String> = self.configuration["hosts"]
            .as_object()
            .unwrap()
            .keys()
            .cloned()
            .collect();
        for name in &names {
            self.start(name);
        }
        for name in &names {
            self.wait_ready(name);
        }
        self
    }

    /// Returns the log of a host.
    pub fn log(&self, name: &str) -> String {
        std::fs::read_to_string(self.directory.join(format!("{name}.log"))).unwrap_or_default()
    }
}

impl Drop for TestCluster {
    fn drop(&mut self) {
        if thread::panicking() {
            for name in self.hosts.keys() {
                eprintln!("--- log of {name}\n{}", self.log(name));
            }
        }
        let _ = std::fs::remove_dir_all(&self.directory);
    }
}

/// Waits until `check` holds.
pub fn eventually(condition: &str, mut check: impl FnMut() -> bool) {
    let deadline = Instant::now() + TEST_TIMEOUT;
    while !check() {
        assert!(
            Instant::now() < deadline,
            "condition not met in time: {condition}"
        );
        thread::sleep(Duration::from_millis(20));
    }
}

/// Waits until `check` returns no error.
pub fn eventually_ok(mut check: impl FnMut() -> Result<(), String>) {
    let deadline = Instant::now() + TEST_TIMEOUT;
    while let Err(problem) = check() {
        assert!(Instant::now() < deadline, "not resolved in time: {problem}");
        thread::sleep(Duration::from_millis(20));
    }
}

/// An answer of any status.
#[derive(Debug)]
pub struct Answer {
    pub status: u16,
    pub outcome: String,
    pub headers: BTreeMap<String, String>,
    pub body: Vec<u8>,
}

impl Answer {
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }

    pub fn json(&self) -> Value {
        serde_json::from_slice(&self.body).unwrap()
    }
}

/// Sends a request and reads the whole answer.
pub fn send(
    method: &str,
    url: &str,
    headers: &[(&str, &str)],
    body: &[u8],
) -> Result<Answer, ureq::Error> {
    let agent = ureq::Agent::config_builder()
        .http_status_as_error(false)
        .timeout_global(Some(TEST_TIMEOUT))
        .allow_non_standard_methods(true)
        .max_redirects(0)
        .max_redirects_will_error(false)
        .build()
        .new_agent();
    let mut request = ureq::http::Request::builder().method(method).uri(url);
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    let request = request.body(body.to_vec())?;
    let mut response = if body.is_empty() && method != "POST" {
        agent.run(request.map(|_| ()))?
    } else {
        agent.run(request)?
    };
    let headers = response
        .headers()
        .iter()
        .map(|(name, value)| (name.to_string(), value.to_str().unwrap().to_owned()))
        .collect::<BTreeMap<_, _>>();
    let mut body = Vec::new();
    response
        .body_mut()
        .as_reader()
        .read_to_end(&mut body)
        .map_err(ureq::Error::Io)?;
    Ok(Answer {
        status: response.status().as_u16(),
        outcome: headers
            .get("ragwortfold-outcome")
            .cloned()
            .unwrap_or_default(),
        headers,
        body,
    })
}

impl TestCluster {
    /// Removes the services of [`TestCluster::new`].
    pub fn without_services(mut self) -> Self {
        self.configuration["services"] = json!({});
        self
    }

    /// Adds a service.
    pub fn with_service(mut self, name: &str, service: Value) -> Self {
        self.configuration["services"][name] = service;
        self
    }

    /// Adds a target that the test itself serves.
    pub fn with_target_at(
        mut self,
        zone: &str,
        service: &str,
        name: &str,
        address: SocketAddr,
    ) -> Self {
        self.configuration["targets"][name] = json!({
            "service": service, "availability_zone": zone,
            "address": address.to_string(), "slots": 4, "warm_s": 0,
        });
        self
    }

    /// Like [`TestCluster::start_all`], with overridden settings for each host.
    pub fn start_all_with(mut self, overrides: &Value) -> Self {
        self.publish(1);
        let hosts = self.configuration["hosts"].as_object().unwrap();
        let names: Vec<String> = hosts.keys().cloned().collect();
        let url = self.platform_url.clone();
        for name in &names {
            self.start_with(name, &url, overrides.clone());
        }
        for name in &names {
            self.wait_ready(name);
        }
        self
    }

    /// Returns the settings file of a started host.
    pub fn settings_file(&self, name: &str) -> PathBuf {
        self.directory.join(format!("{name}.json"))
    }
}
