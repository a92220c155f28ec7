//! The store's client, rate limit, circuit breaker and confirmed writes against a platform with faults.

#![allow(clippy::unwrap_used)]

mod fake_platform;

use std::io::{Read, Write};
use std::net::TcpListener;
use std::thread;
use std::time::{Duration, Instant};

use fake_platform::{Fault, Platform};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use ragwortfold::store::backoff::Backoff;
use ragwortfold::store::breaker::{Breaker, State};
use ragwortfold::store::client::{Client, Condition, Error, HostState};
use ragwortfold::store::confirmed_write::{self, classify, Evidence, Outcome, WriteStatus};
use ragwortfold::store::guarded_client::GuardedClient;
use ragwortfold::store::retry::RetryPolicy;
use ragwortfold::store::token_bucket::TokenBucket;
use rand::SeedableRng;
use rand_pcg::Pcg64;
use serde_json::{json, Value};
use standin::platform;

/// Defines a test function for each named case.
macro_rules! case {
    ($($name:ident: $body:expr;)*) => {
        $(#[test] fn $name() { $body })*
    };
}

/// Client timeout that is long enough for a loaded machine and short enough to run out in a test.
const CLIENT_TIMEOUT: Duration = Duration::from_millis(200);

fn client(platform: &Platform) -> Client {
    Client::new(&platform.url).with_timeout(Duration::from_secs(20))
}

/// The variant of an error, by name.
fn kind<T: std::fmt::Debug>(result: Result<T, Error>) -> &'static str {
    match result {
        Ok(_) => "ok",
        Err(Error::Conflict { .. }) => "conflict",
        Err(Error::Unsent { .. }) => "unsent",
        Err(Error::Uncertain { .. }) => "uncertain",
        Err(Error::Unanswered { .. }) => "down",
        Err(Error::Status { .. }) => "status",
        Err(Error::Malformed { .. }) => "malformed",
        Err(Error::TooLarge { .. }) => "too large",
    }
}

fn reads_what_was_written() {
    let platform = Platform::new();
    let client = client(&platform);
    assert!(client.get("a/b").unwrap().is_none());
    let first = client.put("a/b", &json!([1]), Condition::Absent).unwrap();
    let second = client
        .put("a/b", &json!([2]), Condition::Version(first.version))
        .unwrap();
    assert_eq!(
        kind(client.put("a/b", &json!([3]), Condition::Absent)),
        "conflict"
    );
    let stale = Condition::Version(first.version);
    assert_eq!(kind(client.put("a/b", &json!([3]), stale)), "conflict");
    let got = client.get("a/b").unwrap().unwrap();
    assert_eq!((got.version, got.value), (second.version, json!([2])));
    assert_eq!(kind(client.delete("a/b", first.version)), "conflict");
    client.delete("a/b", second.version).unwrap();
    assert!(client.get("a/b").unwrap().is_none());
}

fn lists_by_prefix() {
    let platform = Platform::new();
    let client = client(&platform);
    for key in ["a/2", "b/1", "a/1"] {
        client.put(key, &json!(key), Condition::Absent).unwrap();
    }
    let listing = client.list("a/").unwrap();
    let keys: Vec<_> = listing.objects.iter().map(|object| &*object.key).collect();
    assert_eq!((keys, listing.version), (vec!["a/1", "a/2"], 3));
}

/// Values that have no type: too deep, and beyond the range of numbers.
fn odd_values() -> [String; 2] {
    [
        format!("{}1{}", "[".repeat(100_000), "]".repeat(100_000)),
        "1e999".into(),
    ]
}

/// A client of a platform that answers one call with this body.
fn client_of_answer(body: String) -> Client {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let url = format!("http://{}", listener.local_addr().unwrap());
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let _ = stream.read(&mut [0; 4096]).unwrap();
        let length = body.len();
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n");
        stream.write_all((head + &body).as_bytes()).unwrap();
    });
    Client::new(&url)
}

fn lists_and_watches_beside_odd_entries() {
    for text in odd_values() {
        let entries = format!(
            r#"[{{"key": "a/1", "value": 1, "version": 1}}, {{"key": "a/odd", "value": {text}, "version": 2}},
                {{"key": "a/z", "value": 2, "version": 3}}, {{"key": {text}, "value": 3, "version": 4}},
                {{"key": "a/zz", "value": 3, "version": {text}}}]"#
        );
        let client = client_of_answer(format!(r#"{{"objects": {entries}, "version": 5}}"#));
        let listed = client.list("a/").unwrap();
        let keys: Vec<_> = listed.objects.iter().map(|object| &*object.key).collect();
        assert_eq!((keys, listed.version), (vec!["a/1", "a/z"], 5));
        let client = client_of_answer(format!(r#"{{"events": {entries}, "version": 5}}"#));
        let seen = client.watch("a/", 0, Duration::ZERO).unwrap();
        let keys: Vec<_> = seen.events.iter().map(|event| &*event.key).collect();
        assert_eq!((keys, seen.version), (vec!["a/1", "a/z"], 5));
    }
}

fn lists_hosts_beside_odd_entries() {
    for text in odd_values() {
        let entries = format!(
            r#"[{{"host": "odd", "state": {text}}}, {{"host": {text}, "state": "live"}}, {{"host": "h1", "state": "leaving"}}]"#
        );
        let client = client_of_answer(format!(r#"{{"hosts": {entries}}}"#));
        let hosts = client.hosts().unwrap();
        let names: Vec<_> = hosts.iter().map(|host| &*host.host).collect();
        assert_eq!(names, ["h1"]);
    }
}

fn watches_from_a_version() {
    let platform = Platform::new();
    let client = client(&platform);
    client.put("a/1", &json!(1), Condition::Absent).unwrap();
    let seen = client.watch("a/", 0, Duration::ZERO).unwrap();
    client.delete("a/1", 1).unwrap();
    let next = client.watch("a/", seen.version, Duration::ZERO).unwrap();
    let values: Vec<_> = next.events.into_iter().map(|event| event.value).collect();
    assert_eq!(
        (seen.events.len(), values, next.version),
        (1, vec![None], 2)
    );
}

fn distinguishes_live_and_leaving_hosts() {
    let states: Vec<_> = client(&Platform::new()).hosts().unwrap();
    let states: Vec<_> = states.iter().map(|host| host.state).collect();
    assert_eq!(states, [HostState::Live, HostState::Leaving]);
}

/// The results of a read and of a write under each fault, and whether the write took effect.
fn faults() {
    let table = [
        (Fault::LoseCall, "down", "uncertain", false),
        (Fault::LoseAnswer, "down", "uncertain", true),
        (Fault::NoAnswer, "down", "uncertain", true),
        (Fault::Answer(500, "", ""), "status", "uncertain", false),
        (Fault::Answer(503, "", ""), "status", "uncertain", false),
        (Fault::Answer(429, "", ""), "status", "status", false),
        (Fault::Answer(302, "", ""), "status", "status", false),
        (Fault::Answer(412, "", ""), "conflict", "conflict", false),
        (
            Fault::Answer(200, "\"1\"", "{\"a\":"),
            "malformed",
            "ok",
            false,
        ),
        (
            Fault::Answer(200, "x", "1"),
            "malformed",
            "uncertain",
            false,
        ),
        (Fault::Etag("W/\"9\""), "malformed", "uncertain", true),
        (Fault::Etag(""), "malformed", "uncertain", true),
    ];
    for (fault, read, write, effect) in table {
        let platform = Platform::new();
        let client = client(&platform);
        client.put("a", &json!(1), Condition::Absent).unwrap();
        let planned = fault.clone();
        platform.set_fault_plan(move |_| planned.clone());
        let client = client.with_timeout(CLIENT_TIMEOUT);
        assert_eq!(kind(client.get("a")), read, "{fault:?}");
        let result = client.put("a", &json!(2), Condition::Version(1));
        assert_eq!(kind(result), write, "{fault:?}");
        let value = platform.state().objects["a"].1.clone();
        assert_eq!(value == json!(2), effect, "{fault:?}");
    }
}

fn refused_connection_is_unsent() {
    let client = Client::new("http://127.0.0.1:1");
    assert_eq!(kind(client.get("a")), "unsent");
    assert_eq!(
        kind(client.put("a", &json!(1), Condition::Absent)),
        "unsent"
    );
    assert_eq!(kind(client.delete("a", 1)), "unsent");
}

fn large_value_is_not_sent() {
    let platform = Platform::new();
    let client = client(&platform);
    let fits = "x".repeat(1_000_000 - 2);
    client.put("a", &fits, Condition::Absent).unwrap();
    let over = fits + "x";
    assert_eq!(
        kind(client.put("a", &over, Condition::Version(1))),
        "too large"
    );
    assert_eq!(platform.state().calls.len(), 1);
}

fn watch_drops_repeats_and_never_goes_back() {
    let platform = Platform::new();
    let body = r#"{"version":3,"events":[{"key":"a/1","version":9,"value":1},
        {"key":"b/1","version":8,"value":1},{"key":"a/1","version":9,"value":1},
        {"key":"a/1","version":5,"value":1},{"key":"a/2","version":7,"value":null}]}"#;
    platform.set_fault_plan(move |_| Fault::Answer(200, "", body));
    let seen = client(&platform).watch("a/", 5, Duration::ZERO).unwrap();
    let versions: Vec<_> = seen.events.iter().map(|event| event.version).collect();
    assert_eq!((versions, seen.version), (vec![7, 9], 9));
    platform.set_fault_plan(|_| Fault::Answer(200, "", r#"{"version":2,"events":[]}"#));
    let seen = client(&platform).watch("a/", 5, Duration::ZERO).unwrap();
    assert_eq!(seen.version, 5);
}

fn malformed_names_the_key() {
    let platform = Platform::new();
    platform.set_fault_plan(|_| Fault::Answer(200, "\"1\"", "{]"));
    let error = client(&platform).get("a/b").unwrap_err().to_string();
    assert!(error.starts_with("a/b: malformed"), "{error}");
    let error = client(&platform).list("c/").unwrap_err().to_string();
    assert!(error.starts_with("c/: malformed"), "{error}");
}

fn read_survives_a_closed_pooled_connection() {
    let platform = Platform::new();
    let client = client(&platform);
    client.put("a", &json!(1), Condition::Absent).unwrap();
    platform.fail_once("GET", "/a", Fault::LoseCall);
    assert_eq!(kind(client.get("a")), "ok");
}

fn breaker_opens_tries_and_closes() {
    let (start, step) = (Instant::now(), Duration::from_secs(1));
    let rng = &mut Pcg64::seed_from_u64(1);
    let mut breaker = Breaker::new(2, step * 5, Backoff::new(step, step * 4));
    breaker.record_failure(start, rng);
    assert_eq!(breaker.begin_call(start), Ok(()));
    breaker.record_failure(start, rng);
    let State::Open(until) = breaker.state() else {
        panic!("the breaker is not open")
    };
    assert!(until > start && until <= start + step);
    assert!(breaker.begin_call(start).is_err());
    assert_eq!(breaker.begin_call(until), Ok(()));
    assert!(
        breaker.begin_call(until).is_err(),
        "a second trial call was permitted"
    );
    breaker.record_failure(until, rng);
    let State::Open(later) = breaker.state() else {
        panic!("the breaker is not open again")
    };
    assert!(
        later > until + step / 2,
        "the breaker is not open for longer than the first time"
    );
    assert_eq!(breaker.begin_call(later), Ok(()));
    assert_eq!(
        breaker.begin_call(later + step * 5),
        Ok(()),
        "no new trial call after a lost one"
    );
    breaker.record_success();
    assert_eq!(breaker.state(), State::Closed);
    breaker.record_failure(later, rng);
    assert_eq!(breaker.state(), State::Closed);
}

fn guarded_client_stops_calls_in_an_outage() {
    let platform = Platform::new();
    platform.set_fault_plan(|_| Fault::Answer(500, "", ""));
    let hour = Duration::from_secs(3600);
    let guard = GuardedClient::new(client(&platform)).with_breaker(Breaker::new(
        3,
        hour,
        Backoff::new(hour, hour),
    ));
    let kinds: Vec<_> = (0..5).map(|_| kind(guard.get("a"))).collect();
    assert_eq!(kinds, ["status", "status", "status", "unsent", "unsent"]);
    let answers = [Fault::Answer(412, "", ""), Fault::Answer(200, "", "{")];
    for answer in answers {
        platform.set_fault_plan(move |_| answer.clone());
        let guard = GuardedClient::new(client(&platform)).with_breaker(Breaker::new(
            1,
            hour,
            Backoff::new(hour, hour),
        ));
        assert_ne!(kind(guard.get("a")), "unsent");
        assert_ne!(
            kind(guard.get("a")),
            "unsent",
            "an answer of the platform opened the breaker"
        );
    }
}

fn guarded_client_limits_its_rate() {
    let platform = Platform::new();
    let guard = GuardedClient::new(client(&platform)).with_rate_limit(TokenBucket::new(0.0, 2.0));
    let kinds: Vec<_> = (0..3).map(|_| kind(guard.get("a"))).collect();
    assert_eq!(kinds, ["ok", "ok", "unsent"]);
}

fn classifies_unanswered_writes() {
    use Condition::{Absent, Version};
    let table = [
        (Absent, None, Evidence::NotApplied, WriteStatus::Pending),
        (Absent, Some(7), Evidence::Applied, WriteStatus::Applied),
        (
            Absent,
            Some(7),
            Evidence::NotApplied,
            WriteStatus::Superseded,
        ),
        (
            Absent,
            Some(7),
            Evidence::Inconclusive,
            WriteStatus::Inconclusive,
        ),
        (
            Version(5),
            Some(5),
            Evidence::NotApplied,
            WriteStatus::Pending,
        ),
        (
            Version(5),
            Some(4),
            Evidence::NotApplied,
            WriteStatus::Pending,
        ),
        (
            Version(5),
            Some(5),
            Evidence::Inconclusive,
            WriteStatus::Pending,
        ),
        (Version(5), Some(6), Evidence::Applied, WriteStatus::Applied),
        (
            Version(5),
            Some(6),
            Evidence::NotApplied,
            WriteStatus::Superseded,
        ),
        (
            Version(5),
            Some(6),
            Evidence::Inconclusive,
            WriteStatus::Inconclusive,
        ),
        (
            Version(5),
            None,
            Evidence::NotApplied,
            WriteStatus::Superseded,
        ),
    ];
    for (condition, found, evidence, verdict) in table {
        let name = format!("{condition:?} {found:?} {evidence:?}");
        assert_eq!(classify(condition, found, evidence), verdict, "{name}");
    }
}

/// Writes `"mine"` over `"old"`. `fault` applies to the first write, and `other` is stored before it if
/// given.
fn confirm_write(fault: Fault, other: Option<&'static str>) -> &'static str {
    let platform = Platform::new();
    let guard = GuardedClient::new(client(&platform).with_timeout(CLIENT_TIMEOUT));
    guard.put("a", &"old", Condition::Absent).unwrap();
    platform.fail_once("PUT", "/a", fault);
    if let Some(other) = other {
        let direct = client(&platform);
        let current = direct.get("a").unwrap().unwrap().version;
        direct.put("b", &1, Condition::Absent).unwrap();
        platform
            .state()
            .objects
            .insert("a".into(), (current + 9, json!(other)));
    }
    let evidence = |value: &Value| match value == "mine" {
        true => Evidence::Applied,
        false => Evidence::NotApplied,
    };
    let step = Duration::from_millis(1);
    let retry = &mut RetryPolicy::new(3, Backoff::new(step, step));
    let condition = Condition::Version(1);
    match confirmed_write::put(&guard, "a", &"mine", condition, evidence, retry) {
        Ok(Outcome::Applied(_)) => "mine",
        Ok(Outcome::Superseded(_)) => "lost",
        Ok(Outcome::Inconclusive(_)) => "unclear",
        Ok(Outcome::Unknown(_)) => "unknown",
        Err(e) => kind::<()>(Err(e)),
    }
}

fn confirms_writes() {
    let table = [
        (Fault::None, None, "mine"),
        (Fault::LoseAnswer, None, "mine"),
        (Fault::LoseCall, None, "mine"),
        (Fault::NoAnswer, None, "mine"),
        (Fault::Etag("?"), None, "mine"),
        (Fault::Answer(503, "", ""), None, "mine"),
        (Fault::Answer(412, "", ""), None, "mine"),
        (Fault::Answer(400, "", ""), None, "status"),
        (Fault::None, Some("other"), "lost"),
        (Fault::LoseCall, Some("other"), "lost"),
        (Fault::None, Some("mine"), "mine"),
        (Fault::LoseCall, Some("mine"), "mine"),
    ];
    for (fault, other, outcome) in table {
        assert_eq!(
            confirm_write(fault.clone(), other),
            outcome,
            "{fault:?} {other:?}"
        );
    }
}

fn lost_answer_in_a_lasting_outage_is_unknown() {
    let platform = Platform::new();
    let guard = GuardedClient::new(client(&platform));
    platform.set_fault_plan(|_| Fault::LoseAnswer);
    let step = Duration::from_millis(1);
    let retry = &mut RetryPolicy::new(3, Backoff::new(step, step));
    let evidence = |_: &Value| Evidence::Applied;
    let outcome = confirmed_write::put(&guard, "a", &1, Condition::Absent, evidence, retry);
    assert!(matches!(outcome, Ok(Outcome::Unknown(_))), "{outcome:?}");
    platform.set_fault_plan(|_| Fault::Answer(412, "", ""));
    let guard = GuardedClient::new(client(&platform));
    let outcome = confirmed_write::put(&guard, "a", &1, Condition::Absent, evidence, retry);
    assert!(
        matches!(outcome, Err(Error::Conflict { .. })),
        "{outcome:?}"
    );
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(5), cases: 200, ..ProptestConfig::default() })]

    /// In any window, the number of calls is at most the burst plus the rate times the window.
    #[test]
    fn rate_limit_holds_in_any_window(
        rate in 1.0..50.0f64,
        burst in 1.0..20.0f64,
        gaps in prop::collection::vec(0..400u64, 1..200),
    ) {
        let mut now = Instant::now();
        let mut rate_limit = TokenBucket::new(rate, burst);
        let mut taken = Vec::new();
        for gap in gaps {
            now += Duration::from_millis(gap);
            match rate_limit.take(now) {
                Ok(()) => taken.push(now),
                Err(wait) => {
                    now += wait;
                    prop_assert!(rate_limit.take(now).is_ok(), "no token after the returned wait");
                    taken.push(now);
                }
            }
        }
        for (i, from) in taken.iter().enumerate() {
            for (j, to) in taken.iter().enumerate().skip(i) {
                let most = burst + (*to - *from).as_secs_f64() * rate + 1e-3;
                prop_assert!((j - i + 1) as f64 <= most, "{} calls of {most}", j - i + 1);
            }
        }
    }

    /// Each delay is between half and all of the exponential delay.
    #[test]
    fn backoff_delay_stays_within_bounds(seed: u64, first in 1..1000u64, most in 1000..60_000u64) {
        let rng = &mut Pcg64::seed_from_u64(seed);
        let (first, most) = (Duration::from_millis(first), Duration::from_millis(most));
        let mut backoff = Backoff::new(first, most);
        let mut full = first;
        for _ in 0..70 {
            let wait = backoff.next_delay(rng);
            prop_assert!(wait >= full / 2 && wait <= full, "{wait:?} of {full:?}");
            full = (full * 2).min(most);
        }
        backoff.reset();
        prop_assert!(backoff.next_delay(rng) <= first);
    }
}

/// Starts the platform's stand-in with a fault, and creates a client of it.
fn stand_in(fault: platform::Fault) -> (platform::Platform, Client) {
    let platform = platform::Platform::new(([127, 0, 0, 1], 0).into()).unwrap();
    platform.set_hosts(vec![platform::Host {
        host: "a".into(),
        state: platform::HostState::Live,
    }]);
    platform.set_fault(fault);
    let client = Client::new(&format!("http://{}", platform.address()));
    (platform, client.with_timeout(Duration::from_secs(20)))
}

/// For each fault of the stand-in: the results of a read, of a write and of a later watch from version 0,
/// which is its number of events or its error.
fn contract() {
    use platform::{Availability, Fault};
    let down = |availability| Fault {
        availability,
        ..Fault::default()
    };
    let table = [
        (Fault::default(), ["ok", "ok", "1"]),
        (
            Fault {
                slow_ms: 20,
                ..Fault::default()
            },
            ["ok", "ok", "1"],
        ),
        (
            Fault {
                lose_answers: 1,
                ..Fault::default()
            },
            ["ok", "uncertain", "1"],
        ),
        (
            Fault {
                skip_events: 1,
                ..Fault::default()
            },
            ["ok", "ok", "0"],
        ),
        (
            Fault {
                repeat_events: true,
                ..Fault::default()
            },
            ["ok", "ok", "1"],
        ),
        (
            down(Availability::Unavailable),
            ["status", "uncertain", "status"],
        ),
        (down(Availability::Closed), ["down", "uncertain", "down"]),
        (down(Availability::Refused), ["unsent", "unsent", "unsent"]),
    ];
    for (fault, expected) in table {
        let (platform, client) = stand_in(fault.clone());
        let read = kind(client.get("a/b"));
        let write = kind(client.put("a/b", &json!({"x": 1}), Condition::Absent));
        let watch = match client.watch("a/", 0, Duration::ZERO) {
            Ok(seen) => seen.events.len().to_string(),
            Err(e) => kind::<()>(Err(e)).to_owned(),
        };
        assert_eq!([read, write, &watch], expected, "{fault:?}");
        platform.set_fault(Fault::default());
        let effect = fault.availability == Availability::Up;
        let found = client.get("a/b").unwrap().map(|object| object.value);
        assert_eq!(found, effect.then(|| json!({"x": 1})), "{fault:?}");
    }
}

fn stand_in_objects() {
    let (platform, client) = stand_in(platform::Fault::default());
    let first = client.put("a/b", &1, Condition::Absent).unwrap();
    let second = client
        .put("a/b", &2, Condition::Version(first.version))
        .unwrap();
    client
        .put("a/c", &"x".repeat(1_000_000 - 2), Condition::Absent)
        .unwrap();
    assert_eq!(kind(client.put("a/b", &3, Condition::Absent)), "conflict");
    assert_eq!(kind(client.delete("a/b", first.version)), "conflict");
    assert_eq!(client.list("a/").unwrap().objects.len(), 2);
    client.delete("a/b", second.version).unwrap();
    client.watch("a/", second.version, Duration::ZERO).unwrap();
    let gone = client.watch("a/b", second.version, Duration::ZERO).unwrap();
    assert_eq!((gone.events.len(), &gone.events[0].value), (1, &None));
    assert!(client.get("a/b").unwrap().is_none());
    let stale = platform::Fault {
        stale_hosts: true,
        ..platform::Fault::default()
    };
    platform.set_fault(stale);
    platform.set_hosts(Vec::new());
    assert_eq!(client.hosts().unwrap().len(), 1);
    platform.set_fault(platform::Fault::default());
    assert!(client.hosts().unwrap().is_empty());
}

case! {
    stand_in_table: contract();
    stand_in_calls: stand_in_objects();
    breaker: breaker_opens_tries_and_closes();
    guard_breaker: guarded_client_stops_calls_in_an_outage();
    guard_budget: guarded_client_limits_its_rate();
    write_status_table: classifies_unanswered_writes();
    confirmed_write_table: confirms_writes();
    confirmed_write_unknown: lost_answer_in_a_lasting_outage_is_unknown();
    objects: reads_what_was_written();
    listing: lists_by_prefix();
    watch: watches_from_a_version();
    hosts: distinguishes_live_and_leaving_hosts();
    fault_table: faults();
    refused: refused_connection_is_unsent();
    too_large: large_value_is_not_sent();
    watch_repeats: watch_drops_repeats_and_never_goes_back();
    malformed: malformed_names_the_key();
    odd_entries: lists_and_watches_beside_odd_entries();
    odd_hosts: lists_hosts_beside_odd_entries();
    stale_connection: read_survives_a_closed_pooled_connection();
}
