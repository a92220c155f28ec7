//! One client address with its cached look-up and its connections; it makes the attempts of a call.

use std::net::{IpAddr, SocketAddr};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use serde::Deserialize;
use ureq::http::Response;
use ureq::{Agent, Body};

use super::connect::{is_connect_error, LiteralResolver, SourceConnector};
use super::record::{Attempt, Outcome, Record};
use super::{Entry, Settings};
use crate::{lock, pattern};

const MAX_ATTEMPTS: usize = 8;
/// Limit of a response's body, in bytes.
const MAX_RESPONSE_BYTES: u64 = 64 << 20;
/// Time limit for a connection, and for a look-up.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Shortest pause before an attempt if the last one had an unknown outcome or all entries have failed.
const MIN_RETRY_PAUSE: Duration = Duration::from_millis(20);

/// The response to a look-up.
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

/// The cached result of a client's latest look-up.
#[derive(Clone)]
struct CachedLookup {
    ticket: Option<Arc<str>>,
    entries: Vec<Entry>,
    expires: Instant,
}

/// A call to be made.
pub(super) struct Call {
    pub(super) id: Arc<str>,
    pub(super) due: Instant,
    pub(super) start_us: u64,
    pub(super) body: Vec<u8>,
    pub(super) service_time: Option<Duration>,
}

/// One client of a caller.
pub(super) struct Client {
    address: IpAddr,
    agent: Agent,
    cached: Mutex<Option<Arc<CachedLookup>>>,
    /// Index of the entry that is asked first; raised when that entry fails.
    first_entry: AtomicUsize,
}

/// The result of an attempt.
struct AttemptResult {
    attempt: Attempt,
    /// The delay that the response asks for.
    retry_after: Option<Duration>,
    /// Another attempt would have the same result.
    is_final: bool,
    target: Option<Arc<str>>,
    zone: Option<Arc<str>>,
}

impl Client {
    pub(super) fn new(address: IpAddr, number: usize, settings: &Settings) -> Self {
        // Non-idempotent calls never use a kept connection, which the host may have closed.
        let max_idle = if settings.keyed { 0 } else { 16 };
        let config = Agent::config_builder()
            .http_status_as_error(false)
            .allow_non_standard_methods(true)
            .proxy(None)
            .max_redirects(0)
            .max_redirects_will_error(false)
            .max_idle_connections(max_idle)
            .max_idle_connections_per_host(max_idle)
            .build();
        let agent = Agent::with_parts(config, SourceConnector { address }, LiteralResolver);
        Self {
            address,
            agent,
            cached: Mutex::new(None),
            first_entry: AtomicUsize::new(number % settings.near_entries.max(1)),
        }
    }

    /// Makes a call, with as many attempts as its deadline allows.
    pub(super) fn call(&self, settings: &Settings, call: &Call) -> Record {
        let end = call.due + settings.deadline;
        let mut lookup = self.entries(settings, end, false);
        let ticket = lookup.ticket.clone().filter(|_| settings.keyed);
        let mut record = self.new_record(settings, call, ticket);
        let mut next = 0;
        while record.attempts.len() < MAX_ATTEMPTS && !lookup.entries.is_empty() {
            let time_left = end.saturating_duration_since(Instant::now());
            if time_left.is_zero() {
                break;
            }
            let entry = &lookup.entries[next % lookup.entries.len()];
            let result = self.attempt(settings, call, &record, entry, time_left);
            let outcome = result.attempt.outcome;
            if result.attempt.status == 0 {
                self.expire_lookup();
            }
            record.attempts.push(result.attempt);
            if outcome == Outcome::Answered || outcome == Outcome::Wrong {
                record.outcome = outcome;
                record.target = result.target;
                record.zone = result.zone;
                break;
            }
            if outcome == Outcome::Unknown {
                record.outcome = Outcome::Unknown;
            }
            next += 1;
            let is_round_done = next % lookup.entries.len() == 0;
            let pause = retry_pause(&record, result.retry_after, is_round_done);
            if result.is_final || Instant::now() + pause >= end {
                break;
            }
            thread::sleep(pause);
            if is_round_done {
                lookup = self.entries(settings, end, true);
            }
        }
        record.latency_us = call.due.elapsed().as_micros() as u64;
        record
    }

    /// The record of a call before its first attempt.
    fn new_record(&self, settings: &Settings, call: &Call, ticket: Option<Arc<str>>) -> Record {
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

    /// The entries to use: the cached ones unless they have expired or are to be renewed, else those
    /// of a new look-up, or the old ones if that fails.
    fn entries(&self, settings: &Settings, end: Instant, renew: bool) -> Arc<CachedLookup> {
        let old = lock(&self.cached).clone();
        let now = Instant::now();
        if let Some(cached) = old.as_ref().filter(|cached| !renew && cached.expires > now) {
            return Arc::clone(cached);
        }
        if settings.without_lookups {
            let entries = settings.entries.clone();
            return Arc::new(CachedLookup {
                ticket: None,
                entries,
                expires: now,
            });
        }
        let found = self.look_up_anywhere(settings, end);
        if let Some(found) = &found {
            *lock(&self.cached) = Some(Arc::clone(found));
        }
        let none = || {
            Arc::new(CachedLookup {
                ticket: None,
                entries: Vec::new(),
                expires: now,
            })
        };
        found.or(old).unwrap_or_else(none)
    }

    /// Asks the entries in turn until one responds.
    fn look_up_anywhere(&self, settings: &Settings, end: Instant) -> Option<Arc<CachedLookup>> {
        let count = settings.entries.len();
        for _ in 0..count {
            let first = self.first_entry.load(Ordering::Relaxed);
            let found = self.look_up(settings, &settings.entries[first % count], end);
            if found.is_some() {
                return found;
            }
            self.first_entry
                .store(first.wrapping_add(1), Ordering::Relaxed);
        }
        None
    }

    /// Makes the next call look its entries up again.
    fn expire_lookup(&self) {
        if let Some(cached) = lock(&self.cached).as_mut() {
            Arc::make_mut(cached).expires = Instant::now();
        }
    }

    fn look_up(
        &self,
        settings: &Settings,
        entry: &Entry,
        end: Instant,
    ) -> Option<Arc<CachedLookup>> {
        let time_left = end.checked_duration_since(Instant::now())?;
        let (to, service, client) = (entry.address, &settings.service, self.address);
        let uri = format!("http://{to}/v1/entries?service={service}&client={client}");
        let request = self
            .agent
            .get(uri)
            .config()
            .timeout_global(Some(time_left.min(CONNECT_TIMEOUT)));
        let mut response = request.build().call().ok().filter(|r| r.status() == 200)?;
        let text = response.body_mut().read_to_string().ok()?;
        let found: Lookup = serde_json::from_str(&text).ok()?;
        let entries = found.entries.into_iter().map(|e| Entry {
            address: settings
                .address_map
                .get(&e.address)
                .copied()
                .unwrap_or(e.address),
            host: e.host,
        });
        Some(Arc::new(CachedLookup {
            ticket: Some(found.ticket),
            entries: entries.collect(),
            expires: Instant::now() + Duration::from_millis(found.ttl_ms),
        }))
    }

    fn attempt(
        &self,
        settings: &Settings,
        call: &Call,
        record: &Record,
        entry: &Entry,
        time_left: Duration,
    ) -> AttemptResult {
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
            .header("Ragwortfold-Deadline-Ms", time_left.as_millis().to_string());
        let numbers = [
            (
                "Standin-Work-Ms",
                call.service_time.map(|time| time.as_millis() as usize),
            ),
            ("Standin-Answer-Bytes", settings.response_bytes),
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
            Ok(request) => self.send(request, time_left),
            Err(error) => Err(error.into()),
        };
        evaluate(settings, call, entry, result)
    }

    fn send(
        &self,
        request: ureq::http::Request<&[u8]>,
        time_left: Duration,
    ) -> Result<Response<Body>, ureq::Error> {
        let config = self
            .agent
            .configure_request(request)
            .timeout_global(Some(time_left));
        self.agent.run(
            config
                .timeout_connect(Some(time_left.min(CONNECT_TIMEOUT)))
                .build(),
        )
    }
}

/// The pause before the next attempt.
fn retry_pause(record: &Record, retry_after: Option<Duration>, is_round_done: bool) -> Duration {
    let is_unknown = record
        .attempts
        .last()
        .is_some_and(|a| a.outcome == Outcome::Unknown);
    let min_pause = if is_round_done || is_unknown {
        MIN_RETRY_PAUSE
    } else {
        Duration::ZERO
    };
    retry_after.unwrap_or_default().max(min_pause)
}

/// Determines an attempt's result from its response.
fn evaluate(
    settings: &Settings,
    call: &Call,
    entry: &Entry,
    response: Result<Response<Body>, ureq::Error>,
) -> AttemptResult {
    let mut result = AttemptResult {
        attempt: Attempt {
            host: Arc::clone(&entry.host),
            outcome: Outcome::Unknown,
            status: 0,
            is_reported: false,
            error: None,
        },
        retry_after: None,
        is_final: false,
        target: None,
        zone: None,
    };
    let mut response = match response {
        Ok(response) => response,
        Err(error) => {
            if is_connect_error(&error) {
                result.attempt.outcome = Outcome::NotRun;
            }
            result.attempt.error = Some(error.to_string().into());
            return result;
        }
    };
    let body = response
        .body_mut()
        .with_config()
        .limit(MAX_RESPONSE_BYTES)
        .read_to_vec();
    let header = |name| {
        response
            .headers()
            .get(name)
            .and_then(|value| value.to_str().ok())
    };
    let status = response.status().as_u16();
    result.attempt.status = status;
    result.target = header("Standin-Target").map(Arc::from);
    result.zone = header("Standin-Zone").map(Arc::from);
    let seconds = header("Retry-After").and_then(|text| text.parse().ok());
    result.retry_after = seconds.and_then(|s| Duration::try_from_secs_f64(s).ok());
    result.is_final = (400..500).contains(&status);
    let outcome = header("Ragwortfold-Outcome");
    result.attempt.is_reported = outcome.is_some();
    result.attempt.outcome = match (outcome, status, &body) {
        (Some("not-run"), 400.., _) => Outcome::NotRun,
        (Some("answered"), _, Err(error)) | (None, ..500, Err(error)) => {
            // The response's body is incomplete. The client saw the connection fail, so it may send the call again.
            result.attempt.error = Some(error.to_string().into());
            Outcome::Unknown
        }
        (Some("answered"), _, Ok(body)) | (None, ..500, Ok(body)) => {
            let mismatch = find_mismatch(settings, call, status, &header, body);
            result.attempt.error = mismatch.map(Arc::from);
            mismatch.map_or(Outcome::Answered, |_| Outcome::Wrong)
        }
        _ => Outcome::Unknown,
    };
    result
}

/// Checks that a response is complete and belongs to this call; returns what does not match.
fn find_mismatch<'a>(
    settings: &Settings,
    call: &Call,
    status: u16,
    header: &impl Fn(&'static str) -> Option<&'a str>,
    body: &[u8],
) -> Option<&'static str> {
    #[derive(Deserialize)]
    struct ResponseBody {
        call: Option<String>,
        body_length: usize,
        body_hash: String,
    }
    if status != 200 {
        return None;
    }
    let hash = pattern::hash(&call.body);
    if header("Standin-Call") != Some(&call.id) {
        return Some("the response belongs to another call");
    }
    if header("Standin-Body-Hash") != Some(&hash) {
        return Some("the target received another body");
    }
    if settings.method == "HEAD" {
        return None;
    }
    if let Some(length) = settings.response_bytes {
        return (body != pattern::bytes(&call.id, length))
            .then_some("the response body differs from the expected bytes");
    }
    let parsed: Option<ResponseBody> = serde_json::from_slice(body).ok();
    let is_match = parsed.is_some_and(|parsed| {
        let is_same_call = parsed.call.as_deref() == Some(&call.id);
        is_same_call && parsed.body_length == call.body.len() && parsed.body_hash == hash
    });
    (!is_match).then_some("the response body belongs to another call")
}
