//! Tests of a target's shedding, cancellation, faults and journal, on which other tests depend.

#![allow(clippy::unwrap_used)]

use std::net::SocketAddr;
use std::thread::{self, ScopedJoinHandle};
use std::time::{Duration, Instant};

use standin::pattern;
use standin::target::{Counts, Fault, Mode, Settings, Target};
use ureq::http::Response;

const TIMEOUT: Duration = Duration::from_secs(20);
/// A service time that is longer than any test, so that only a cancellation ends the request.
const LONG_SERVICE_TIME: (&str, &str) = ("Standin-Work-Ms", "600000");

fn any_port() -> SocketAddr {
    "127.0.0.1:0".parse().unwrap()
}

fn send(
    target: &Target,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
) -> Result<Response<Vec<u8>>, ureq::Error> {
    let uri = format!("http://{}{path}", target.address());
    let mut request = ureq::http::Request::builder().method(method).uri(uri);
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    let config = ureq::Agent::config_builder().http_status_as_error(false);
    let config = config
        .timeout_global(Some(TIMEOUT))
        .allow_non_standard_methods(true);
    let agent = ureq::Agent::from(config.build());
    let (parts, mut body) = agent
        .run(request.body("body".to_owned()).unwrap())?
        .into_parts();
    Ok(Response::from_parts(parts, body.read_to_vec()?))
}

fn header<'a>(response: &'a Response<Vec<u8>>, name: &str) -> &'a str {
    response
        .headers()
        .get(name)
        .map_or("", |value| value.to_str().unwrap())
}

fn wait_until(target: &Target, is_met: impl Fn(&Counts) -> bool) {
    let end = Instant::now() + TIMEOUT;
    while !is_met(&target.counts()) {
        assert!(Instant::now() < end, "{:?}", target.counts());
        thread::sleep(Duration::from_millis(1));
    }
}

type PendingResponse<'scope> = ScopedJoinHandle<'scope, Result<Response<Vec<u8>>, ureq::Error>>;

/// Occupies the only slot with request `1` and the only place in the queue with request `2`.
fn occupy<'scope>(
    scope: &'scope thread::Scope<'scope, '_>,
    target: &'scope Target,
) -> [PendingResponse<'scope>; 2] {
    let request = |id| {
        let headers = [("Ragwortfold-Request-Id", id), LONG_SERVICE_TIME];
        scope.spawn(move || send(target, "POST", "/x", &headers))
    };
    let first = request("1");
    wait_until(target, |counts| counts.running == 1);
    let second = request("2");
    wait_until(target, |counts| counts.waiting == 1);
    [first, second]
}

macro_rules! case {
    ($($name:ident: $run:expr;)*) => {
        $(#[test] fn $name() {
            let settings = Settings::new("t-1", 1).with_zone("z-1").with_connections(3);
            $run(&Target::new(any_port(), settings).unwrap());
        })*
    };
}

case! {
    responses_identify_their_request: |target: &Target| {
        let headers = [("Standin-Call", "c"), ("Idempotency-Key", "k"), ("Ragwortfold-Request-Id", "r")];
        let response = send(target, "POST", "/a/b?c=d", &headers).unwrap();
        assert_eq!(header(&response, "Standin-Call"), "c");
        assert_eq!(header(&response, "Standin-Target"), "t-1");
        assert_eq!(header(&response, "Standin-Zone"), "z-1");
        assert_eq!(header(&response, "Standin-Body-Hash"), pattern::hash(b"body"));
        assert_eq!(header(&response, "Ragwortfold-Load"), "0/1");
        let journal = target.journal();
        let [entry] = journal.entries.as_slice() else { panic!("{journal:?}") };
        assert_eq!(entry.call.as_deref(), Some("c"));
        assert_eq!(entry.key.as_deref(), Some("k"));
        assert_eq!(entry.request.as_deref(), Some("r"));
        assert_eq!(&*entry.line, "POST /a/b");
        assert!(entry.completed && entry.ended_us >= Some(entry.began_us));
    };
    responses_have_the_requested_bytes: |target: &Target| {
        for chunked in [false, true] {
            let mut headers = vec![("Standin-Call", "c"), ("Standin-Answer-Bytes", "300000")];
            headers.extend(chunked.then_some(("Standin-Chunked", "1")));
            let response = send(target, "GET", "/", &headers).unwrap();
            assert_eq!(response.body(), &pattern::bytes("c", 300_000));
            assert_eq!(response.headers().contains_key("Transfer-Encoding"), chunked);
        }
    };
    a_target_with_a_full_queue_sheds_requests: |target: &Target| thread::scope(|scope| {
        let running = occupy(scope, target);
        let shed = send(target, "POST", "/x", &[]).unwrap();
        assert_eq!(shed.status(), 503);
        assert_eq!(header(&shed, "Ragwortfold-Outcome"), "not-run");
        assert!(!header(&shed, "Retry-After").is_empty());
        assert_eq!(target.journal().entries.len(), 1);
        target.set_fault(Fault { mode: Mode::Crash, ..Fault::default() });
        for request in running {
            assert!(request.join().unwrap().is_err());
        }
        wait_until(target, |counts| counts.running == 0);
        assert!(!target.journal().entries[0].completed);
        assert!(send(target, "GET", "/health", &[]).is_err());
        target.set_fault(Fault::default());
        assert_eq!(send(target, "GET", "/health", &[]).unwrap().status(), 200);
    });
    cancelled_requests_are_dropped_or_ended: |target: &Target| thread::scope(|scope| {
        let [first, second] = occupy(scope, target);
        assert_eq!(send(target, "DELETE", "/requests/2", &[]).unwrap().status(), 200);
        assert_eq!(header(&second.join().unwrap().unwrap(), "Ragwortfold-Outcome"), "not-run");
        assert_eq!(send(target, "DELETE", "/requests/1", &[]).unwrap().status(), 200);
        assert_eq!(header(&first.join().unwrap().unwrap(), "Ragwortfold-Outcome"), "unknown");
        assert_eq!(send(target, "DELETE", "/requests/1", &[]).unwrap().status(), 404);
        let counts = target.counts();
        assert_eq!((counts.began, counts.completed, counts.ended_early, counts.dropped), (1, 0, 1, 1));
    });
    a_deadline_ends_the_wait: |target: &Target| thread::scope(|scope| {
        let headers = [("Ragwortfold-Request-Id", "1"), LONG_SERVICE_TIME];
        let first = scope.spawn(move || send(target, "POST", "/x", &headers));
        wait_until(target, |counts| counts.running == 1);
        let expired = send(target, "POST", "/x", &[("Ragwortfold-Deadline-Ms", "20")]).unwrap();
        assert_eq!(header(&expired, "Ragwortfold-Outcome"), "not-run");
        send(target, "DELETE", "/requests/1", &[]).unwrap();
        first.join().unwrap().unwrap();
        assert_eq!(target.journal().entries.len(), 1);
    });
    modes_determine_execution_and_response: |target: &Target| {
        // The mode, the response's state (none without a complete response), and whether the request runs.
        let cases = [
            (Mode::Serving, Some("serving"), true),
            (Mode::Cold, Some("cold"), true),
            (Mode::Draining, Some("draining"), true),
            (Mode::Shedding, Some("serving"), false),
            (Mode::Reset, None, false),
            (Mode::LoseAnswer, None, true),
            (Mode::Truncate, None, true),
            (Mode::Garbage, None, true),
            (Mode::Refuse, None, false),
            (Mode::Crash, None, false),
        ];
        for (mode, state, runs) in cases {
            target.set_fault(Fault { mode, ..Fault::default() });
            let before = target.journal().entries.len();
            let response = send(target, "GET", "/x", &[]).ok();
            let reported = response.as_ref().map(|response| header(response, "Ragwortfold-State"));
            assert_eq!(reported, state, "{mode:?}");
            assert_eq!(target.journal().entries.len() > before, runs, "{mode:?}");
        }
    };
    connections_are_limited: |target: &Target| {
        let open = || std::net::TcpStream::connect(target.address()).unwrap();
        let _open = [open(), open(), open()];
        wait_until(target, |counts| counts.connections == 3);
        assert!(send(target, "GET", "/health", &[]).is_err());
        assert_eq!(target.counts().connections_over, 1);
    };
}
