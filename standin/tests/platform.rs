//! Tests of the platform's object API, as the store's client uses it.

#![allow(clippy::unwrap_used)]

use std::sync::Barrier;
use std::thread;
use std::time::Duration;

use serde_json::{json, Value};
use standin::platform::{Availability, Fault, Platform};

/// Shorter than the time-out of the watch that a change must end.
const TIMEOUT: Duration = Duration::from_secs(20);

macro_rules! case {
    ($($name:ident: $run:expr;)*) => {
        $(#[test] fn $name() { let platform = Platform::new("127.0.0.1:0".parse().unwrap()).unwrap(); $run(&platform); })*
    };
}

/// Method, conditional headers, body and expected status.
type Step = (
    &'static str,
    &'static [(&'static str, &'static str)],
    &'static str,
    u16,
);

fn call(
    platform: &Platform,
    method: &str,
    path: &str,
    condition: &[(&str, &str)],
    body: &str,
) -> Result<(u16, Value), ureq::Error> {
    let mut request = ureq::http::Request::builder()
        .method(method)
        .uri(format!("http://{}{path}", platform.address()));
    for (name, value) in condition {
        request = request.header(*name, *value);
    }
    let config = ureq::Agent::config_builder()
        .http_status_as_error(false)
        .timeout_global(Some(TIMEOUT));
    let agent = ureq::Agent::from(config.allow_non_standard_methods(true).build());
    let mut response = agent.run(request.body(body.to_owned()).unwrap())?;
    let text = response.body_mut().read_to_string()?;
    Ok((
        response.status().as_u16(),
        serde_json::from_str(&text).unwrap(),
    ))
}

fn status(platform: &Platform, method: &str, condition: &[(&str, &str)], body: &str) -> u16 {
    call(platform, method, "/v1/objects/a/b", condition, body)
        .unwrap()
        .0
}

case! {
    conditions_decide_writes: |platform: &Platform| {
        const CREATE: &[(&str, &str)] = &[("If-None-Match", "*")];
        let steps: [Step; 9] = [
            ("PUT", &[("If-Match", "\"1\"")], "1", 412),
            ("PUT", CREATE, "{\"x\":[1]}", 201),
            ("PUT", CREATE, "2", 412),
            ("PUT", &[("If-Match", "\"1\"")], "3", 200),
            ("PUT", &[("If-Match", "\"1\"")], "4", 412),
            ("DELETE", &[("If-Match", "\"1\"")], "", 412),
            ("DELETE", &[("If-Match", "\"2\"")], "", 200),
            ("DELETE", &[], "", 404),
            ("PUT", CREATE, "5", 201),
        ];
        for (i, (method, condition, body, expected)) in steps.into_iter().enumerate() {
            assert_eq!(status(platform, method, condition, body), expected, "step {i}");
        }
        assert_eq!(platform.object("a/b"), Some((4, "5".into())));
        assert_eq!(platform.calls().conflicts, 4);
    };
    one_of_several_concurrent_creations_succeeds: |platform: &Platform| {
        let start = Barrier::new(8);
        let create = || {
            start.wait();
            status(platform, "PUT", &[("If-None-Match", "*")], "1")
        };
        let created = thread::scope(|scope| {
            let writers: Vec<_> = (0..8).map(|_| scope.spawn(create)).collect();
            let statuses: Vec<u16> = writers.into_iter().map(|writer| writer.join().unwrap()).collect();
            statuses.iter().filter(|status| **status == 201).count()
        });
        assert_eq!(created, 1);
    };
    values_have_a_size_limit: |platform: &Platform| {
        let largest = format!("\"{}\"", "x".repeat(standin::platform::MAX_VALUE_BYTES - 2));
        assert_eq!(status(platform, "PUT", &[], &largest), 201);
        assert_eq!(status(platform, "PUT", &[], &format!("{largest} ")), 413);
        assert_eq!(status(platform, "PUT", &[], "{"), 400);
    };
    a_list_has_the_objects_of_a_prefix: |platform: &Platform| {
        for key in ["a/1", "a/2", "b/1"] {
            call(platform, "PUT", &format!("/v1/objects/{key}"), &[], "{}").unwrap();
        }
        let (_, list) = call(platform, "GET", "/v1/objects?prefix=a%2F", &[], "").unwrap();
        let objects = json!([{"key":"a/1","version":1,"value":{}}, {"key":"a/2","version":2,"value":{}}]);
        assert_eq!(list, json!({"version": 3, "objects": objects}));
    };
    a_watch_waits_for_a_change: |platform: &Platform| {
        let watch = |after: u64, timeout_ms: u64| {
            let path = format!("/v1/watch?prefix=a/&after={after}&timeout_ms={timeout_ms}");
            call(platform, "GET", &path, &[], "").unwrap().1
        };
        let (first, second) = thread::scope(|scope| {
            let waiting = scope.spawn(|| watch(0, 60_000));
            while platform.calls().watch == 0 {
                thread::yield_now();
            }
            call(platform, "PUT", "/v1/objects/b", &[], "0").unwrap();
            assert_eq!(status(platform, "PUT", &[], "7"), 201);
            (waiting.join().unwrap(), watch(2, 0))
        });
        let event = json!({"key":"a/b","version":2,"value":7});
        assert_eq!(first, json!({"version":2,"events":[event]}));
        assert_eq!(second, json!({"version":2,"events":[]}));
        assert_eq!(status(platform, "DELETE", &[], ""), 200);
        assert_eq!(watch(2, 0)["events"], json!([{"key":"a/b","version":3,"value":null}]));
        platform.set_fault(Fault { repeat_events: true, ..Fault::default() });
        assert_eq!(watch(2, 0)["events"].as_array().unwrap().len(), 1);
        platform.set_fault(Fault { skip_events: 1, ..Fault::default() });
        assert_eq!(watch(2, 0), json!({"version":3,"events":[]}));
    };
    a_write_without_a_response_takes_effect: |platform: &Platform| {
        platform.set_fault(Fault { lose_answers: 2, ..Fault::default() });
        assert_eq!(status(platform, "PUT", &[], "1"), 201);
        assert!(call(platform, "PUT", "/v1/objects/a/b", &[], "2").is_err());
        assert_eq!(platform.object("a/b"), Some((2, "2".into())));
        assert_eq!(platform.calls().lost_answers, 1);
    };
    an_outage_ends: |platform: &Platform| {
        for availability in [Availability::Unavailable, Availability::Closed, Availability::Refused] {
            platform.set_fault(Fault { availability, ..Fault::default() });
            let result = call(platform, "GET", "/v1/hosts", &[], "");
            assert!(result.is_err() || result.unwrap().0 == 503, "{availability:?}");
            platform.set_fault(Fault::default());
            assert_eq!(call(platform, "GET", "/v1/hosts", &[], "").unwrap().0, 200);
        }
    };
    a_stale_host_list_does_not_change: |platform: &Platform| {
        let hosts = || call(platform, "GET", "/v1/hosts", &[], "").unwrap().1;
        let list = json!({"hosts":[{"host":"ent-1","state":"leaving"}]});
        let fault = json!({"stale_hosts": true}).to_string();
        assert_eq!(call(platform, "POST", "/standin/fault", &[], &fault).unwrap().0, 200);
        call(platform, "PUT", "/standin/hosts", &[], &list.to_string()).unwrap();
        assert_eq!(hosts(), json!({"hosts":[]}));
        platform.set_fault(Fault::default());
        assert_eq!(hosts(), list);
    };
}
