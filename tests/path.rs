//! The whole path with real processes: configuration, platform, entry host, target, answer.

mod world;

use world::{send, World};

fn one_host() -> World {
    World::new()
        .with_zone("arequipa", "arequipa-a")
        .with_target("arequipa-a", "lookups", "look-1", 4)
        .with_target("arequipa-a", "bookings", "book-1", 4)
        .with_host("arequipa-a", "ent-1")
        .run()
}

#[test]
fn a_look_up_names_the_host_and_a_request_reaches_the_target() {
    let world = one_host();
    let host = &world.hosts["ent-1"];
    let entries = send(
        "GET",
        &host.url("/v1/entries?service=lookups&client=10.0.0.1"),
        &[],
        b"",
    )
    .unwrap();
    assert_eq!(entries.status, 200);
    let entries = entries.json();
    assert_eq!(entries["revision"], 1);
    assert_eq!(entries["entries"][0]["host"], "ent-1");
    assert_eq!(entries["entries"][0]["address"], host.address.to_string());
    assert!(entries["ticket"].as_str().unwrap().starts_with("ent-1."));

    let answer = send(
        "GET",
        &host.url("/v1/services/lookups/pass?over=cusco"),
        &[],
        b"",
    )
    .unwrap();
    assert_eq!((answer.status, &*answer.outcome), (200, "answered"));
    let journal = world.targets["look-1"].journal();
    assert_eq!(journal.entries.len(), 1);
}

#[test]
fn bodies_are_right_to_the_byte() {
    let world = one_host();
    let url = world.hosts["ent-1"].url("/v1/services/lookups/upload");
    for size in [0, 1, 1024, 1025, 70_000, 8 << 20] {
        let body: Vec<u8> = (0..size).map(|at: usize| (at % 251) as u8).collect();
        let answer = send("POST", &url, &[], &body).unwrap();
        assert_eq!(
            (answer.status, &*answer.outcome),
            (200, "answered"),
            "{size}"
        );
        assert_eq!(answer.json()["body_length"], size as u64, "{size}");
    }
    for size in ["0", "1", "65536", "8388608", "9000000"] {
        let headers = [("Standin-Answer-Bytes", size)];
        let answer = send("GET", &url, &headers, b"").unwrap();
        assert_eq!(answer.outcome, "answered", "{size}");
        assert_eq!(answer.body.len().to_string(), size);
    }
}
