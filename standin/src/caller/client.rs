//! One client address: its cached look-up, its connections, and its attempts of a call.

use std::net::{IpAddr, SocketAddr};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use serde::Deserialize;
use ureq::http::Response;
use ureq::{Agent, Body};

use super::connect::{is_refused, Literal, Source};
use super::record::{Attempt, Outcome, Record};
use super::{Entry, Settings};
use crate::{lock, pattern};

const MAX_ATTEMPTS: usize = 8;
/// Largest answer read, in bytes.
const MAX_ANSWER: u64 = 64 << 20;
/// Longest try to connect, and to look entries up.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Pause before an attempt that follows a round of failures or an unknown outcome.
const PAUSE: Duration = Duration::from_millis(20);

/// The answer of a look-up.
#[derive(Debug, Deserialize)]
struct Lookup {
    ttl_ms: u64,
    ticket: Arc<str>,
    entries: Vec<LookupEntry>,
}

#[derive(Debug, Deserialize)]
struct LookupEntry {
    host: Arc<str>,
    address: SocketAddr,
}

/// What a client knows from its latest look-up.
#[derive(Clone)]
struct Known {
    ticket: Option<Arc<str>>,
    entries: Vec<Entry>,
    until: Instant,
}

/// A call to be made.
pub(super) struct Call {
    pub(super) id: Arc<str>,
    pub(super) due: Instant,
    pub(super) start_us: u64,
    pub(super) body: Vec<u8>,
    pub(super) work: Option<Duration>,
}

/// One client of a caller.
pub(super) struct Client {
    address: IpAddr,
    agent: Agent,
    known: Mutex<Option<Arc<Known>>>,
    /// Which entry it asks first; moves on from one that fails.
    first: AtomicUsize,
}

/// What an attempt came to, and the wait that its answer asks for.
struct Step {
    attempt: Attempt,
    retry_after: Option<Duration>,
    /// Sending it again cannot help.
    last: bool,
    target: Option<Arc<str>>,
    zone: Option<Arc<str>>,
}

impl Client {
    pub(super) fn new(address: IpAddr, number: usize, settings: &Settings) -> Self {
        // A call that must not run twice never goes on a connection that may be stale.
        let idle = if settings.keyed { 0 } else { 16 };
        let config = Agent::config_builder()
            .http_status_as_error(false)
            .allow_non_standard_methods(true)
            .proxy(None)
            .max_redirects(0)
            .max_redirects_will_error(false)
            .max_idle_connections(idle)
            .max_idle_connections_per_host(idle)
            .build();
        let agent = Agent::with_parts(config, Source { address }, Literal);
        Self {
            address,
            agent,
            known: Mutex::new(None),
            first: AtomicUsize::new(number % settings.near.max(1)),
        }
    }

    /// Makes a call, with as many attempts as its deadline allows.
    pub(super) fn call(&self, settings: &Settings, call: &Call) -> Record {
        let end = call.due + settings.deadline;
        let mut known = self.entries(settings, end, false);
        let ticket = known.ticket.clone().filter(|_| settings.keyed);
        let mut record = self.record(settings, call, ticket);
        let mut next = 0;
        while record.attempts.len() < MAX_ATTEMPTS && !known.entries.is_empty() {
            let left = end.saturating_duration_since(Instant::now());
            if left.is_zero() {
                break;
            }
            let entry = &known.entries[next % known.entries.len()];
            let step = self.attempt(settings, call, &record, entry, left);
            let outcome = step.attempt.outcome;
            if step.attempt.status == 0 {
                self.distrust();
            }
            record.attempts.push(step.attempt);
            if outcome == Outcome::Answered || outcome == Outcome::Wrong {
                record.outcome = outcome;
                record.target = step.target;
                record.zone = step.zone;
                break;
            }
            if outcome == Outcome::Unknown {
                record.outcome = Outcome::Unknown;
            }
            next += 1;
            let round = next % known.entries.len() == 0;
            let pause = pause(&record, step.retry_after, round);
            if step.last || Instant::now() + pause >= end {
                break;
            }
            thread::sleep(pause);
            if round {
                known = self.entries(settings, end, true);
            }
        }
        record.latency_us = call.due.elapsed().as_micros() as u64;
        record
    }

    /// A record of a call that has not run yet.
    fn record(&self, settings: &Settings, call: &Call, ticket: Option<Arc<str>>) -> Record {
        Record {
            call: Arc::clone(&call.id),
            class: Arc::clone(&settings.class),
            service: Arc::clone(&settings.service),
            region: Arc::clone(&settings.region),
            start_us: call.start_us,
            latency_us: 0,
            outcome: Outcome::NotRun,
            key: settings.keyed.then(|| Arc::clone(&call.id)),
            ticket,
            target: None,
            zone: None,
            attempts: Vec::new(),
        }
    }

    /// The entries in use: the cached ones for their time, else those of a new look-up, else the
    /// old ones.
    fn entries(&self, settings: &Settings, end: Instant, renew: bool) -> Arc<Known> {
        let old = lock(&self.known).clone();
        let now = Instant::now();
        if let Some(known) = old.as_ref().filter(|known| !renew && known.until > now) {
            return Arc::clone(known);
        }
        if settings.direct {
            let entries = settings.entries.clone();
            return Arc::new(Known {
                ticket: None,
                entries,
                until: now,
            });
        }
        let found = self.look_up_anywhere(settings, end);
        if let Some(found) = &found {
            *lock(&self.known) = Some(Arc::clone(found));
        }
        let none = || {
            Arc::new(Known {
                ticket: None,
                entries: Vec::new(),
                until: now,
            })
        };
        found.or(old).unwrap_or_else(none)
    }

    fn look_up_anywhere(&self, settings: &Settings, end: Instant) -> Option<Arc<Known>> {
        let count = settings.entries.len();
        for _ in 0..count {
            let first = self.first.load(Ordering::Relaxed);
            let found = self.look_up(settings, &settings.entries[first % count], end);
            if found.is_some() {
                return found;
            }
            self.first.store(first.wrapping_add(1), Ordering::Relaxed);
        }
        None
    }

    /// Has the next call look its entries up again.
    fn distrust(&self) {
        if let Some(known) = lock(&self.known).as_mut() {
            Arc::make_mut(known).until = Instant::now();
        }
    }

    fn look_up(&self, settings: &Settings, entry: &Entry, end: Instant) -> Option<Arc<Known>> {
        let left = end.checked_duration_since(Instant::now())?;
        let (to, service, client) = (entry.address, &settings.service, self.address);
        let uri = format!("http://{to}/v1/entries?service={service}&client={client}");
        let request = self
            .agent
            .get(uri)
            .config()
            .timeout_global(Some(left.min(CONNECT_TIMEOUT)));
        let mut response = request.build().call().ok().filter(|r| r.status() == 200)?;
        let text = response.body_mut().read_to_string().ok()?;
        let found: Lookup = serde_json::from_str(&text).ok()?;
        let entries = found.entries.into_iter().map(|e| Entry {
            address: settings.via.get(&e.address).copied().unwrap_or(e.address),
            host: e.host,
        });
        Some(Arc::new(Known {
            ticket: Some(found.ticket),
            entries: entries.collect(),
            until: Instant::now() + Duration::from_millis(found.ttl_ms),
        }))
    }

    fn attempt(
        &self,
        settings: &Settings,
        call: &Call,
        record: &Record,
        entry: &Entry,
        left: Duration,
    ) -> Step {
        let Settings {
            service,
            path,
            method,
            ..
        } = settings;
        let mut request = ureq::http::Request::builder()
            .method(method.as_str())
            .uri(format!(
                "http://{}/v1/services/{service}/{path}",
                entry.address
            ))
            .header("Standin-Call", &*call.id)
            .header("Ragwortfold-Deadline-Ms", left.as_millis().to_string());
        let numbers = [
            (
                "Standin-Work-Ms",
                call.work.map(|work| work.as_millis() as usize),
            ),
            ("Standin-Answer-Bytes", settings.answer_bytes),
        ];
        for (name, number) in numbers {
            if let Some(number) = number {
                request = request.header(name, number.to_string());
            }
        }
        if settings.chunked {
            request = request.header("Standin-Chunked", "1");
        }
        let texts = [
            ("Idempotency-Key", &record.key),
            ("Ragwortfold-Ticket", &record.ticket),
        ];
        for (name, text) in texts {
            if let Some(text) = text {
                request = request.header(name, &**text);
            }
        }
        let result = match request.body(call.body.as_slice()) {
            Ok(request) => self.send(request, left),
            Err(error) => Err(error.into()),
        };
        judge(settings, call, entry, result)
    }

    fn send(
        &self,
        request: ureq::http::Request<&[u8]>,
        left: Duration,
    ) -> Result<Response<Body>, ureq::Error> {
        let config = self
            .agent
            .configure_request(request)
            .timeout_global(Some(left));
        self.agent.run(
            config
                .timeout_connect(Some(left.min(CONNECT_TIMEOUT)))
                .build(),
        )
    }
}

/// How long to wait before the next attempt.
fn pause(record: &Record, retry_after: Option<Duration>, round: bool) -> Duration {
    let unknown = record
        .attempts
        .last()
        .is_some_and(|a| a.outcome == Outcome::Unknown);
    let least = if round || unknown {
        PAUSE
    } else {
        Duration::ZERO
    };
    retry_after.unwrap_or_default().max(least)
}

/// What an attempt came to, by what the answer says and whether it is whole.
fn judge(
    settings: &Settings,
    call: &Call,
    entry: &Entry,
    result: Result<Response<Body>, ureq::Error>,
) -> Step {
    let mut step = Step {
        attempt: Attempt {
            host: Arc::clone(&entry.host),
            outcome: Outcome::Unknown,
            status: 0,
            told: false,
            error: None,
        },
        retry_after: None,
        last: false,
        target: None,
        zone: None,
    };
    let mut response = match result {
        Ok(response) => response,
        Err(error) => {
            if is_refused(&error) {
                step.attempt.outcome = Outcome::NotRun;
            }
            step.attempt.error = Some(error.to_string().into());
            return step;
        }
    };
    let body = response
        .body_mut()
        .with_config()
        .limit(MAX_ANSWER)
        .read_to_vec();
    let header = |name| {
        response
            .headers()
            .get(name)
            .and_then(|value| value.to_str().ok())
    };
    let status = response.status().as_u16();
    step.attempt.status = status;
    step.target = header("Standin-Target").map(Arc::from);
    step.zone = header("Standin-Zone").map(Arc::from);
    let seconds = header("Retry-After").and_then(|text| text.parse().ok());
    step.retry_after = seconds.and_then(|s| Duration::try_from_secs_f64(s).ok());
    step.last = (400..500).contains(&status);
    let outcome = header("Ragwortfold-Outcome");
    step.attempt.told = outcome.is_some();
    step.attempt.outcome = match (outcome, status, &body) {
        (Some("not-run"), 400.., _) => Outcome::NotRun,
        (Some("answered"), _, Err(error)) | (None, ..500, Err(error)) => {
            // A success whose body is cut; the connection shows it, so it may be sent again.
            step.attempt.error = Some(error.to_string().into());
            Outcome::Unknown
        }
        (Some("answered"), _, Ok(body)) | (None, ..500, Ok(body)) => {
            let fault = check(settings, call, status, &header, body);
            step.attempt.error = fault.map(Arc::from);
            fault.map_or(Outcome::Answered, |_| Outcome::Wrong)
        }
        _ => Outcome::Unknown,
    };
    step
}

/// What shows that an answer is not the whole answer to this call.
fn check<'a>(
    settings: &Settings,
    call: &Call,
    status: u16,
    header: &impl Fn(&'static str) -> Option<&'a str>,
    body: &[u8],
) -> Option<&'static str> {
    #[derive(Deserialize)]
    struct Proof {
        call: Option<String>,
        body_length: usize,
        body_hash: String,
    }
    if status != 200 {
        return None;
    }
    let hash = pattern::hash(&call.body);
    if header("Standin-Call") != Some(&call.id) {
        return Some("the answer is another call's");
    }
    if header("Standin-Body-Hash") != Some(&hash) {
        return Some("the target got another body");
    }
    if settings.method == "HEAD" {
        return None;
    }
    if let Some(length) = settings.answer_bytes {
        return (body != pattern::bytes(&call.id, length)).then_some("the answer's bytes differ");
    }
    let proof: Option<Proof> = serde_json::from_slice(body).ok();
    let whole = proof.is_some_and(|proof| {
        let own = proof.call.as_deref() == Some(&call.id);
        own && proof.body_length == call.body.len() && proof.body_hash == hash
    });
    (!whole).then_some("the answer's body is another's")
}
