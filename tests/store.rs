//! The store's client against a platform with faults.

mod fake;

use std::time::Duration;

use fake::{Fault, Platform};
use ragwortfold::store::client::{Client, Condition, Error, HostState};
use serde_json::json;

/// Names each test case.
macro_rules! case {
    ($($name:ident: $body:expr;)*) => {
        $(#[test] fn $name() { $body })*
    };
}

/// Long enough for a loaded machine, short enough to wait for once.
const SHORT: Duration = Duration::from_millis(200);

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
        Err(Error::Down { .. }) => "down",
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

fn tells_live_hosts_from_leaving() {
    let states: Vec<_> = client(&Platform::new()).hosts().unwrap();
    let states: Vec<_> = states.iter().map(|host| host.state).collect();
    assert_eq!(states, [HostState::Live, HostState::Leaving]);
}

/// What each fault makes of a read and of a write, and whether the write took effect.
fn faults() {
    let table = [
        (Fault::LoseCall, "down", "uncertain", false),
        (Fault::LoseAnswer, "down", "uncertain", true),
        (Fault::Silence, "down", "uncertain", true),
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
        let spoiled = fault.clone();
        platform.set_plan(move |_| spoiled.clone());
        let client = client.with_timeout(SHORT);
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
    platform.set_plan(move |_| Fault::Answer(200, "", body));
    let seen = client(&platform).watch("a/", 5, Duration::ZERO).unwrap();
    let versions: Vec<_> = seen.events.iter().map(|event| event.version).collect();
    assert_eq!((versions, seen.version), (vec![7, 9], 9));
    platform.set_plan(|_| Fault::Answer(200, "", r#"{"version":2,"events":[]}"#));
    let seen = client(&platform).watch("a/", 5, Duration::ZERO).unwrap();
    assert_eq!(seen.version, 5);
}

fn malformed_names_the_key() {
    let platform = Platform::new();
    platform.set_plan(|_| Fault::Answer(200, "\"1\"", "{]"));
    let error = client(&platform).get("a/b").unwrap_err().to_string();
    assert!(error.starts_with("a/b: malformed"), "{error}");
    let error = client(&platform).list("c/").unwrap_err().to_string();
    assert!(error.starts_with("c/: malformed"), "{error}");
}

fn read_survives_a_closed_pooled_connection() {
    let platform = Platform::new();
    let client = client(&platform);
    client.put("a", &json!(1), Condition::Absent).unwrap();
    platform.once("GET", "/a", Fault::LoseCall);
    assert_eq!(kind(client.get("a")), "ok");
}

case! {
    objects: reads_what_was_written();
    listing: lists_by_prefix();
    watch: watches_from_a_version();
    hosts: tells_live_hosts_from_leaving();
    fault_table: faults();
    refused: refused_connection_is_unsent();
    too_large: large_value_is_not_sent();
    watch_repeats: watch_drops_repeats_and_never_goes_back();
    malformed: malformed_names_the_key();
    stale_connection: read_survives_a_closed_pooled_connection();
}
