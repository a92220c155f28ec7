//! Tests of configuration folders and settings: merging, and faults of invalid values.

#![allow(clippy::unwrap_used)]

use std::collections::BTreeMap;
use std::path::Path;
use std::sync::Arc;

use proptest::prelude::*;
use proptest::test_runner::RngSeed;

use ragwortfold::border::configuration::State;
use ragwortfold::catalog::Catalog;
use ragwortfold::config::settings::{self, Overrides};
use ragwortfold::config::{self, Faults, Folder, Origin, MAX_FILE_BYTES};

/// A valid configuration with two regions of one zone each.
const BASE: &str = r#"{
  "regions": {"north": {}, "south": {}},
  "availability_zones": {"north-a": {"region": "north"}, "south-a": {"region": "south"}},
  "hosts": {
    "ent-1": {"availability_zone": "north-a", "address": "127.0.0.1:7001", "peer_address": "127.0.0.1:7101"},
    "ent-2": {"availability_zone": "south-a", "address": "127.0.0.1:7002", "peer_address": "127.0.0.1:7102"},
  },
  "services": {"lookups": {"class": "pass-lookup", "idempotent": true}},
  "targets": {
    "look-1": {"service": "lookups", "availability_zone": "north-a", "address": "127.0.0.1:9001", "slots": 4},
  },
  "clients": {"10.1.0.0/16": {"region": "north"}, "10.2.0.0/16": {"region": "south"}},
  "links": {"south-north": {"from": "south", "to": "north"}},
}"#;

fn folder(files: &[(&str, &str)]) -> Folder {
    let files = files.iter().map(|&(name, text)| (name.into(), text.into()));
    Folder::with_files(files.collect())
}

/// The faults reported when the file `override_text` overrides [`BASE`].
fn faults_with_override(override_text: &str) -> Vec<String> {
    let folder = folder(&[("a.json", BASE), ("b.json", override_text)]);
    fault_lines(config::check(&folder).map(|_| ()))
}

fn fault_lines(result: Result<(), Faults>) -> Vec<String> {
    let faults = result.err().map_or(Vec::new(), |faults| faults.0);
    faults.iter().map(ToString::to_string).collect()
}

/// Test cases: a file that overrides [`BASE`], and the faults reported for the folder.
macro_rules! faults {
    ($($name:ident: $override_text:expr => [$($fault:expr),* $(,)?];)*) => {$(
        #[test]
        fn $name() {
            let expected: &[&str] = &[$($fault),*];
            assert_eq!(faults_with_override($override_text), expected);
        }
    )*};
}

faults! {
    valid: "{}" => [];
    empty_file: "// nothing yet" => [];
    unknown_section: r#"{"target": {}}"# =>
        ["b.json:1:2: target: is an unknown key; did you mean 'targets'?"];
    unknown_key: r#"{"targets": {"look-1": {"slot": 4}}}"# =>
        ["b.json:1:25: targets.look-1.slot: is an unknown key; did you mean 'slots'?"];
    unknown_key_without_suggestion: r#"{"targets": {"look-1": {"zzz": 4}}}"# =>
        ["b.json:1:25: targets.look-1.zzz: is an unknown key"];
    missing_key: r#"{"targets": {"look-1": {"slots": null}}}"# =>
        ["b.json:1:24: targets.look-1: 'slots' is missing"];
    wrong_type: r#"{"targets": {"look-1": {"slots": "4"}}}"# =>
        ["b.json:1:34: targets.look-1.slots: expected a whole number, found a string"];
    not_whole: r#"{"targets": {"look-1": {"slots": 4.5}}}"# =>
        ["b.json:1:34: targets.look-1.slots: 4.5 is not a whole number"];
    too_small: r#"{"targets": {"look-1": {"slots": 0}}}"# =>
        ["b.json:1:34: targets.look-1.slots: 0 is not from 1 to 100000"];
    negative: r#"{"targets": {"look-1": {"warm_s": -1}}}"# =>
        ["b.json:1:35: targets.look-1.warm_s: -1 is not from 0 to 86400"];
    beyond_64_bits: r#"{"services": {"lookups": {"max_body_bytes": 99999999999999999999}}}"# =>
        ["b.json:1:45: services.lookups.max_body_bytes: 99999999999999999999 is not from 0 to 18446744073709551615"];
    share_too_large: r#"{"limits": {"shift": {"default": {"share": 1.5, "window_s": 60}}}}"# =>
        ["b.json:1:44: limits.shift.default.share: 1.5 is not from 0 to 1"];
    infinite: r#"{"links": {"south-north": {"latency_ms": 1e999}}}"# =>
        ["b.json:1:42: links.south-north.latency_ms: 1e999 is not a number from 0 up"];
    wrong_choice: r#"{"targets": {"look-1": {"state": "drainning"}}}"# =>
        ["b.json:1:34: targets.look-1.state: 'drainning' is not one of serving, draining, off; did you mean 'draining'?"];
    section_not_an_object: r#"{"links": 5}"# =>
        ["a.json:8:16: services.lookups: cannot be reached from 'south': no targets there and no link",
         "b.json:1:11: links: expected an object, found a number"];
    root_not_an_object: "[]" => ["b.json:1:1: expected an object"];
    given_twice: r#"{"regions": {"west": {}, "west": {}}}"# =>
        ["b.json:1:26: regions.west: is given twice in one object"];
    syntax: "{\n  \"regions\": {]\n}" =>
        ["b.json:2:15: syntax: Unexpected token in object"];
    syntax_not_closed: r#"{"regions": {"west": {}}"# => ["b.json:1:1: syntax: Unterminated object"];
    loose_syntax: "{regions: {}}" =>
        ["b.json:1:2: syntax: Expected string for object property"];
    dangling_zone: r#"{"targets": {"look-1": {"availability_zone": "north-b"}}}"# =>
        ["a.json:8:16: services.lookups: cannot be reached from 'north': no targets there and no link",
         "a.json:8:16: services.lookups: cannot be reached from 'south': no targets there and no link",
         "b.json:1:46: targets.look-1.availability_zone: no 'north-b' in availability_zones; did you mean 'north-a'?"];
    dangling_service: r#"{"targets": {"x": {"service": "q", "availability_zone": "north-a", "address": "127.0.0.1:9009", "slots": 4}}}"# =>
        ["b.json:1:31: targets.x.service: no 'q' in services"];
    dangling_region: r#"{"clients": {"10.9.0.0/16": {"region": "nort"}}}"# =>
        ["a.json:8:16: services.lookups: cannot be reached from 'nort': no targets there and no link",
         "b.json:1:40: clients.10.9.0.0/16.region: no 'nort' in regions; did you mean 'north'?"];
    removed_region: r#"{"regions": {"south": null}}"# =>
        ["a.json:3:80: availability_zones.south-a.region: no 'south' in regions",
         "a.json:12:77: clients.10.2.0.0/16.region: no 'south' in regions",
         "a.json:13:37: links.south-north.from: no 'south' in regions"];
    not_an_address: r#"{"targets": {"look-1": {"address": "localhost:9001"}}}"# =>
        ["b.json:1:36: targets.look-1.address: 'localhost:9001' is not IP:PORT"];
    no_port: r#"{"targets": {"look-1": {"address": "127.0.0.1:0"}}}"# =>
        ["b.json:1:36: targets.look-1.address: '127.0.0.1:0': nobody can connect to port 0"];
    any_address: r#"{"targets": {"look-1": {"address": "0.0.0.0:9001"}}}"# =>
        ["b.json:1:36: targets.look-1.address: '0.0.0.0:9001': nobody can connect to 0.0.0.0"];
    same_address: r#"{"targets": {"look-1": {"address": "127.0.0.1:7101"}}}"# =>
        ["b.json:1:36: targets.look-1.address: 127.0.0.1:7101 is also hosts.ent-1.peer_address"];
    not_a_block: r#"{"clients": {"10.3.0.0": {"region": "north"}}}"# =>
        ["b.json:1:14: clients.10.3.0.0: '10.3.0.0' is not ADDRESS/LENGTH"];
    host_bits: r#"{"clients": {"10.3.0.1/16": {"region": "north"}}}"# =>
        ["b.json:1:14: clients.10.3.0.1/16: has host bits set; did you mean '10.3.0.0/16'?"];
    same_block: r#"{"clients": {"2001:db8::/32": {"region": "north"}, "2001:DB8:0::/32": {"region": "south"}}}"# =>
        ["b.json:1:52: clients.2001:DB8:0::/32: is the same block as '2001:db8::/32'"];
    mapped_block: r#"{"clients": {"::ffff:10.3.0.0/112": {"region": "north"}}}"# =>
        ["b.json:1:14: clients.::ffff:10.3.0.0/112: is IPv4 mapped to IPv6; write the IPv4 block"];
    zone_without_hosts: r#"{"hosts": {"ent-1": null}}"# =>
        ["a.json:3:26: availability_zones.north-a: has targets and no hosts, so nothing can reach them"];
    zone_with_hosts_off: r#"{"hosts": {"ent-1": {"state": "off"}}}"# =>
        ["a.json:3:26: availability_zones.north-a: has targets and all its hosts are off, so nothing can reach them"];
    zone_with_hosts_draining: r#"{"hosts": {"ent-1": {"state": "draining"}}}"# => [];
    zone_off: r#"{"availability_zones": {"north-a": {"state": "off"}}, "hosts": {"ent-1": null}}"# => [];
    link_to_itself: r#"{"links": {"north-north": {"from": "north", "to": "north"}}}"# =>
        ["b.json:1:51: links.north-north.to: links 'north' to itself"];
    same_link: r#"{"links": {"again": {"from": "south", "to": "north"}}}"# =>
        ["b.json:1:12: links.again: 'south-north' already links 'south' to 'north'"];
    no_link: r#"{"links": {"south-north": null}}"# =>
        ["a.json:8:16: services.lookups: cannot be reached from 'south': no targets there and no link"];
    service_without_targets: r#"{"services": {"bookings": {"class": "booking"}}}"# =>
        ["b.json:1:15: services.bookings: has no targets"];
    an_overridden_record_is_reported_where_it_was_last_given:
        r#"{"services": {"lookups": {"priority": 1}}, "targets": null}"# =>
        ["b.json:1:15: services.lookups: has no targets"];
    unknown_cap: r#"{"limits": {"shift": {"lookup": {"share": 0.1, "window_s": 1}}}}"# =>
        ["b.json:1:23: limits.shift.lookup: is neither 'default', 'failover' nor a service; did you mean 'lookups'?"];
    cap_of_a_service: r#"{"limits": {"shift": {"lookups": {"share": 0.1, "window_s": 1}}}}"# => [];
    bad_name: r#"{"regions": {"a/b": {}}}"# =>
        ["b.json:1:14: regions.a/b: 'a/b' is not a name: 1 to 64 letters, digits, '-', '_' or '.', first a letter or digit"];
    column_counts_characters: r#"{/* añiño */ "limitz": {}}"# =>
        ["b.json:1:14: limitz: is an unknown key; did you mean 'limits'?"];
}

#[test]
fn faults_of_all_files_are_reported_together_in_order() {
    let folder = folder(&[
        (
            "a.json",
            "{\n  \"limits\": {\"utilization\": 2},\n  \"regions\": 1}",
        ),
        ("b.json", "\n{\"services\": {\"s\": {}}}"),
    ]);
    let expected = [
        "a.json:2:29: limits.utilization: 2 is not from 0.05 to 1",
        "a.json:3:14: regions: expected an object, found a number",
        "b.json:2:15: services.s: has no targets",
        "b.json:2:20: services.s: 'class' is missing",
    ];
    assert_eq!(fault_lines(config::check(&folder).map(|_| ())), expected);
}

#[test]
fn syntax_errors_of_all_files_are_reported_together() {
    let folder = folder(&[("a.json", "{"), ("b.json", "{}"), ("c.json", "]")]);
    assert_eq!(fault_lines(config::check(&folder).map(|_| ())).len(), 2);
}

#[test]
fn a_file_larger_than_the_platform_accepts_is_a_fault() {
    let text = format!("{{}}{}", " ".repeat(MAX_FILE_BYTES));
    let faults = faults_with_override(&text);
    assert_eq!(faults, ["b.json:1:1: has more than 1000000 bytes"]);
}

/// Test cases: files and the result of merging them.
macro_rules! merges {
    ($($name:ident: [$($file:expr),*] => $merged:expr;)*) => {$(
        #[test]
        fn $name() {
            let texts: &[&str] = &[$($file),*];
            let files = texts.iter().enumerate();
            let files = files.map(|(i, &text)| (format!("{i}.json").into(), text.into()));
            let folder = Folder::with_files(files.collect());
            let shown = folder.show(Origin::Hidden).unwrap();
            let shown: serde_json::Value = serde_json::from_str(&shown).unwrap();
            let expected: serde_json::Value = serde_json::from_str($merged).unwrap();
            assert_eq!(shown, expected);
        }
    )*};
}

merges! {
    objects_merge_by_key: [r#"{"a": {"x": 1}}"#, r#"{"a": {"y": 2}, "b": 3}"#] =>
        r#"{"a": {"x": 1, "y": 2}, "b": 3}"#;
    a_later_scalar_replaces: [r#"{"a": {"x": 1}}"#, r#"{"a": {"x": 2}}"#] => r#"{"a": {"x": 2}}"#;
    a_later_list_replaces: [r#"{"a": [1, 2]}"#, r#"{"a": [3]}"#] => r#"{"a": [3]}"#;
    a_scalar_replaces_an_object: [r#"{"a": {"x": 1}}"#, r#"{"a": 2}"#] => r#"{"a": 2}"#;
    an_object_replaces_a_scalar: [r#"{"a": 2}"#, r#"{"a": {"x": 1}}"#] => r#"{"a": {"x": 1}}"#;
    null_removes: [r#"{"a": {"x": 1, "y": 2}}"#, r#"{"a": {"x": null}}"#] => r#"{"a": {"y": 2}}"#;
    null_without_an_earlier_value_is_dropped: [r#"{"a": {"z": null}, "b": null}"#] => r#"{"a": {}}"#;
    a_value_after_null_is_new: [r#"{"a": {"x": 1}}"#, r#"{"a": null}"#, r#"{"a": {"y": 2}}"#] =>
        r#"{"a": {"y": 2}}"#;
    null_after_an_object: [r#"{"a": {"x": 1}}"#, r#"{"a": {"y": 2}}"#, r#"{"a": null}"#] => "{}";
    no_files: [] => "{}";
}

#[test]
fn defaults_are_filled_in() {
    let configuration = folder(&[("a.json", BASE)]).merged().unwrap();
    let target = &configuration.targets["look-1"];
    assert_eq!(target.connections.get(), 400);
    assert_eq!(target.state, State::Serving);
    assert_eq!(configuration.limits.utilization, 0.8);
}

#[test]
fn files_merge_in_byte_order_of_their_names() {
    let lower_case_file = r#"{"limits": {"utilization": 0.5}}"#;
    let upper_case_file = r#"{"limits": {"utilization": 0.6}}"#;
    let folder = folder(&[("a.json", lower_case_file), ("B.json", upper_case_file)]);
    assert_eq!(folder.merged().unwrap().limits.utilization, 0.5);
}

fn example(name: &str) -> Folder {
    let dir = Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("examples")
        .join(name);
    config::read(&dir).unwrap()
}

#[test]
fn examples_have_the_expected_sizes() {
    for (name, targets) in [("quispe", [20, 12, 12]), ("caroni", [25, 12, 12])] {
        let configuration = example(name).merged().unwrap();
        assert_eq!(configuration.regions.len(), 3);
        assert_eq!(configuration.availability_zones.len(), 6);
        assert_eq!(configuration.hosts.len(), 12);
        assert_eq!(configuration.links.len(), 6);
        let mut counts: BTreeMap<&str, usize> = BTreeMap::new();
        for target in configuration.targets.values() {
            *counts.entry(&target.service).or_default() += 1;
        }
        let mut counts: Vec<usize> = counts.into_values().collect();
        counts.sort_unstable_by(|a, b| b.cmp(a));
        assert_eq!(counts, targets);
        Catalog::default().with_revision(1, &configuration).unwrap();
    }
}

#[test]
fn shown_origins_are_correct_and_parse_as_a_configuration() {
    let folder = example("quispe");
    let shown = folder.show(Origin::Shown).unwrap();
    assert!(shown.contains("\"latency_ms\": 55, // 50-links.json:4\n"));
    let reparsed = Folder::with_files(BTreeMap::from([("x.json".into(), shown.into())]));
    let plain = folder.show(Origin::Hidden).unwrap();
    assert_eq!(reparsed.show(Origin::Hidden).unwrap(), plain);
    serde_json::from_str::<serde_json::Value>(&plain).unwrap();
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 512,
        rng_seed: RngSeed::Fixed(7),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Checking a text with a part replaced by another part of it does not panic, and each fault
    /// has a position in the text.
    #[test]
    fn damaged_text_is_checked(cut in 0..BASE.len(), len in 0..40_usize, from in 0..BASE.len()) {
        let end = (cut + len).min(BASE.len());
        let patch = &BASE[from..(from + len / 2).min(BASE.len())];
        let text = format!("{}{patch}{}", &BASE[..cut], &BASE[end..]);
        let faults = config::check(&folder(&[("a.json", &text)])).err();
        for fault in faults.map_or(Vec::new(), |faults| faults.0) {
            let line = text.split('\n').nth(fault.line as usize - 1);
            prop_assert!(line.is_some_and(|line| fault.column as usize <= line.len() + 1), "{}", fault);
        }
    }
}

/// Valid settings, which test cases override.
const SETTINGS: &str = r#"{
  "host": "ent-1", "availability_zone": "north-a", // who
  "listen": "127.0.0.1:7001", "peer_listen": "127.0.0.1:7101",
  "platform": "http://127.0.0.1:6000", "peer_secret": "s",
  "pool": {"workers": 8},
}"#;

fn overrides(values: &[(&str, &str)]) -> Overrides {
    let values = values
        .iter()
        .map(|&(path, value)| (path.into(), value.into()));
    Overrides {
        values: values.collect(),
    }
}

/// Test cases: settings with overrides, and the faults reported for them.
macro_rules! settings_faults {
    ($($name:ident: $text:expr, $overrides:expr => [$($fault:expr),*];)*) => {$(
        #[test]
        fn $name() {
            let expected: &[&str] = &[$($fault),*];
            let read = settings::with_text("s.json", $text, &overrides(&$overrides));
            assert_eq!(fault_lines(read.map(|_| ())), expected);
        }
    )*};
}

settings_faults! {
    settings_valid: SETTINGS, [] => [];
    settings_any_port: SETTINGS, [("listen", "127.0.0.1:0"), ("peer_listen", "127.0.0.1:0")] => [];
    settings_missing: "\n{\"host\": \"a\"}", [] => [
        "s.json:2:1: 'availability_zone' is missing", "s.json:2:1: 'listen' is missing",
        "s.json:2:1: 'peer_listen' is missing", "s.json:2:1: 'peer_secret' is missing",
        "s.json:2:1: 'platform' is missing"];
    settings_unknown: r#"{"pool": {"worker": 1}}"#,
        [("host", "a"), ("availability_zone", "b"), ("listen", "127.0.0.1:1"),
         ("peer_listen", "127.0.0.1:2"), ("platform", "http://127.0.0.1:3"), ("peer_secret", "s")] =>
        ["s.json:1:11: pool.worker: is an unknown key; did you mean 'workers'?"];
    settings_level: SETTINGS, [("log.level", "loud")] =>
        ["command line:1:1: log.level: 'loud' is not one of error, warn, info, debug, trace"];
    settings_address: SETTINGS, [("listen", "here")] =>
        ["command line:1:1: listen: 'here' is not IP:PORT"];
    settings_same_port: SETTINGS, [("listen", "127.0.0.1:7101")] =>
        ["s.json:3:46: peer_listen: is the same as listen"];
    settings_platform: SETTINGS, [("platform", "https://127.0.0.1:1")] =>
        ["command line:1:1: platform: 'https://127.0.0.1:1' is not http://IP:PORT"];
    settings_secret: SETTINGS, [("peer_secret", "")] => ["command line:1:1: peer_secret: is empty"];
    settings_syntax: "{", [] => ["s.json:1:1: syntax: Unterminated object"];
}

#[test]
fn overrides_take_precedence_over_the_file() {
    let overrides = overrides(&[("log.level", "debug"), ("host", "ent-9")]);
    let settings = settings::with_text("s.json", SETTINGS, &overrides).unwrap();
    assert_eq!(settings.host, "ent-9");
    assert_eq!(settings.log.level.to_string(), "debug");
    assert_eq!(settings.pool.workers.get(), 8);
    assert_eq!(settings.pool.lookup_workers.get(), 4);
}

/// The configuration [`BASE`] with its client blocks in a separate file, and a third file.
fn split_folder(blocks: &str, third_file: &str) -> Folder {
    let base_without_clients = BASE.replace("\"clients\"", "\"x\"").replace(
        r#""x": {"10.1.0.0/16": {"region": "north"}, "10.2.0.0/16": {"region": "south"}},"#,
        "",
    );
    folder(&[
        ("a.json", &base_without_clients),
        ("b.json", blocks),
        ("c.json", third_file),
    ])
}

const BLOCKS: &str =
    r#"{"clients": {"10.2.0.0/16": {"region": "south"}, "10.1.0.0/16": {"region": "north"}}}"#;

/// Test cases: the updated files of a folder, and whether its checked client blocks are reused. In
/// each case the result equals that of a newly created folder.
macro_rules! updates {
    ($($name:ident: $blocks:expr, $third_file:expr => $is_reused:expr;)*) => {$(
        #[test]
        fn $name() {
            let first = split_folder(BLOCKS, "{}");
            let (_, before) = first.merged_with_clients().unwrap();
            let fresh = split_folder($blocks, $third_file);
            let next = first.updated(fresh.files().clone());
            let faults = (
                fault_lines(next.merged_with_clients().map(|_| ())),
                fault_lines(fresh.merged_with_clients().map(|_| ())),
            );
            assert_eq!(faults.0, faults.1);
            if let Ok((configuration, clients)) = next.merged_with_clients() {
                let (expected, expected_clients) = fresh.merged_with_clients().unwrap();
                let json = |value| serde_json::to_value(value).unwrap();
                assert_eq!(json(&configuration), json(&expected));
                assert_eq!(clients, expected_clients);
                assert_eq!(Arc::ptr_eq(&before, &clients), $is_reused);
            }
        }
    )*};
}

updates! {
    update_of_nothing: BLOCKS, "{}" => true;
    update_of_a_target: BLOCKS, r#"{"targets": {"look-1": {"state": "draining"}}}"# => true;
    update_with_a_fault: BLOCKS, r#"{"targets": {"look-1": {"state": "x"}}}"# => true;
    update_that_removes_a_region_of_blocks: BLOCKS, r#"{"regions": {"south": null}}"# => true;
    update_that_removes_a_link_of_callers: BLOCKS, r#"{"links": null}"# => true;
    update_of_blocks: r#"{"clients": {"10.1.0.0/16": {"region": "north"}}}"#, "{}" => false;
    update_of_blocks_in_another_file: BLOCKS, r#"{"clients": {"10.2.0.0/16": null}}"# => false;
    update_with_a_syntax_error: BLOCKS, "{" => true;
}

#[test]
fn update_that_removes_a_region_that_only_blocks_name() {
    let blocks = r#"{"clients": {"10.3.0.0/16": {"region": "west"}}}"#;
    let first = folder(&[
        ("a.json", r#"{"regions": {"west": {}}}"#),
        ("b.json", blocks),
    ]);
    first.merged_with_clients().unwrap();
    let fresh = folder(&[
        ("a.json", r#"{"regions": {"east": {}}}"#),
        ("b.json", blocks),
    ]);
    let next = first.updated(fresh.files().clone());
    let expected = "b.json:1:40: clients.10.3.0.0/16.region: no 'west' in regions";
    let faults = fault_lines(next.merged_with_clients().map(|_| ()));
    assert!(faults[0].starts_with(expected), "{faults:?}");
}

#[test]
fn client_blocks_are_in_ascending_order_with_their_regions() {
    let (configuration, clients) = split_folder(BLOCKS, "{}").merged_with_clients().unwrap();
    let blocks = clients
        .iter()
        .map(|(block, region)| format!("{block} {region}"));
    let blocks: Vec<String> = blocks.collect();
    assert_eq!(blocks, ["10.1.0.0/16 north", "10.2.0.0/16 south"]);
    assert!(configuration.clients.is_empty());
}

#[test]
fn a_folder_without_files_is_an_error() {
    let dir = tempfile::tempdir().unwrap();
    std::fs::write(dir.path().join("notes.txt"), "x").unwrap();
    let error = config::read(dir.path()).unwrap_err();
    assert!(matches!(error, config::Error::Empty { .. }));
    let names: Vec<Arc<str>> = example("caroni").files().keys().cloned().collect();
    assert_eq!(names.len(), 9);
}
