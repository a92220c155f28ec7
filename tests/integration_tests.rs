//! Runs the real binary with an operator's arguments.

#![allow(clippy::unwrap_used)]

use std::path::PathBuf;
use std::process::{Command, Output};
use std::thread::JoinHandle;

use tiny_http::{Response, Server};

/// Runs the binary with these arguments in the folder of the invalid examples.
fn ragwortfold(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_ragwortfold"))
        .args(arguments)
        .current_dir(examples())
        .output()
        .unwrap()
}

fn examples() -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("tests/examples")
}

fn expected(file: &str) -> String {
    std::fs::read_to_string(examples().join(file)).unwrap()
}

fn stdout(output: &Output) -> String {
    String::from_utf8(output.stdout.clone()).unwrap()
}

fn stderr(output: &Output) -> String {
    String::from_utf8(output.stderr.clone()).unwrap()
}

/// Invalid folders: each run prints the faults in the folder's `faults.txt` and exits with 2.
macro_rules! invalid_folders {
    ($($name:ident: $folder:expr;)*) => {$(
        #[test]
        fn $name() {
            let output = ragwortfold(&["config", "check", $folder]);
            assert_eq!(stderr(&output), expected(&format!("{}/faults.txt", $folder)));
            assert_eq!(stdout(&output), "");
            assert_eq!(output.status.code(), Some(2));
        }
    )*};
}

invalid_folders! {
    check_reports_many_faults: "many-faults";
    check_reports_syntax_errors: "syntax";
    check_reports_unreachable_capacity: "capacity";
}

#[test]
fn check_summarizes_a_valid_folder() {
    let output = ragwortfold(&["config", "check", "../../examples/quispe"]);
    assert_eq!(
        stdout(&output),
        "../../examples/quispe: 9 files, 3 regions, 6 availability zones, 12 hosts, 3 services, \
         44 targets, 6 client blocks, 6 links; no faults\n"
    );
    assert_eq!(output.status.code(), Some(0));
}

#[test]
fn show_prints_the_origin_of_values() {
    let output = ragwortfold(&["config", "show", "overridden", "--origin"]);
    assert_eq!(stdout(&output), expected("overridden/shown.txt"));
    assert_eq!(output.status.code(), Some(0));
}

#[test]
fn show_prints_plain_json() {
    let output = ragwortfold(&["config", "show", "overridden"]);
    let shown: serde_json::Value = serde_json::from_str(&stdout(&output)).unwrap();
    assert_eq!(shown["targets"]["look-1"]["state"], "draining");
    assert_eq!(shown["targets"].as_object().unwrap().len(), 1);
}

#[test]
fn show_prints_a_folder_with_faults_and_reports_them() {
    let output = ragwortfold(&["config", "show", "many-faults"]);
    serde_json::from_str::<serde_json::Value>(&stdout(&output)).unwrap();
    assert_eq!(stderr(&output), expected("many-faults/faults.txt"));
    assert_eq!(output.status.code(), Some(2));
}

/// Command lines with the exit code and a part of the output on either stream.
macro_rules! command_lines {
    ($($name:ident: [$($argument:expr),*] => $code:expr, $part:expr;)*) => {$(
        #[test]
        fn $name() {
            let output = ragwortfold(&[$($argument),*]);
            let all = stdout(&output) + &stderr(&output);
            assert!(all.contains($part), "{all}");
            assert_eq!(output.status.code(), Some($code));
        }
    )*};
}

command_lines! {
    no_arguments: [] => 2, "Usage: ragwortfold";
    short_help: ["-h"] => 0, "Commands:";
    long_help: ["--help"] => 0, "Operators keep a folder";
    help_of_a_subcommand: ["config", "apply", "--help"] => 0, "Revisions only rise";
    version: ["--version"] => 0, env!("CARGO_PKG_VERSION");
    unknown_subcommand: ["confg"] => 2, "a similar subcommand exists: 'config'";
    unknown_flag: ["entry", "--setings", "x"] => 2, "--settings";
    missing_dir: ["config", "check", "nowhere"] => 2, "nowhere: No such file or directory";
    empty_dir: ["config", "check", ".."] => 2, "..: no *.json files here";
    missing_settings: ["entry", "--settings", "nowhere.json"] => 2, "nowhere.json: No such file";
    apply_needs_a_folder: ["config", "apply", "--platform", "http://127.0.0.1:1"] => 2, "<DIR>";
    apply_takes_one_source:
        ["config", "apply", "overridden", "--revert", "3", "--platform", "http://127.0.0.1:1"] =>
        2, "cannot be used with";
    drain_accepts_only_known_kinds: ["drain", "city", "lima", "--platform", "http://127.0.0.1:1"] =>
        2, "possible values: target, zone, region, host";
    status_needs_a_source: ["status"] => 2, "--entry <URL>";
    lookup_needs_an_address: ["lookup", "--entry", "127.0.0.1:1", "s", "--client", "home"] =>
        2, "invalid IP address";
    lookup_without_a_host: ["lookup", "--entry", "127.0.0.1:1", "s"] =>
        1, "http://127.0.0.1:1/v1/entries: ";
    explain_needs_an_id: ["explain", "x.log"] => 2, "--id <ID>";
    explain_names_a_missing_log: ["explain", "--id", "r1", "nowhere.log"] => 1, "nowhere.log: No such file";
    explain_of_an_unknown_request: ["explain", "--id", "r1", "syntax/a.json"] => 1, "no line of these logs names the request 'r1'";
    completions_bash: ["--completions", "bash"] => 0, "complete -F _ragwortfold";
    completions_zsh: ["--completions", "zsh"] => 0, "#compdef ragwortfold";
    completions_of_no_shell: ["--completions", "csh"] => 2, "possible values: bash";
    man_page: ["--man"] => 0, ".TH ragwortfold 1";
}

/// Starts a host that gives one answer; joining its thread returns the request's path and query.
fn start_host(status: u16, body: &'static str) -> (String, JoinHandle<String>) {
    let server = Server::http("127.0.0.1:0").unwrap();
    let address = server.server_addr().to_string();
    let thread = std::thread::spawn(move || {
        let request = server.recv().unwrap();
        let url = request.url().to_owned();
        let response = Response::from_string(body).with_status_code(status);
        request.respond(response).unwrap();
        url
    });
    (address, thread)
}

/// A host's answer to a look-up.
const ENTRIES: &str = r#"{"revision":3,"ttl_ms":2000,"ticket":"ent-1.7","entries":[
    {"host":"ent-1","availability_zone":"north-a","address":"127.0.0.1:7001"},
    {"host":"entry-10","availability_zone":"north-b","address":"127.0.0.1:7010"}]}"#;

#[test]
fn lookup_prints_a_table() {
    let (address, request) = start_host(200, ENTRIES);
    let call = ["lookup", "--entry", &address, "a b", "--client", "10.1.0.1"];
    let output = ragwortfold(&call);
    assert_eq!(
        request.join().unwrap(),
        "/v1/entries?service=a%20b&client=10.1.0.1"
    );
    let expected = "revision  3\nticket    ent-1.7\nttl_ms    2000\n\nentries:\n\
                  address         availability_zone  host\n\
                  127.0.0.1:7001  north-a            ent-1\n\
                  127.0.0.1:7010  north-b            entry-10\n";
    assert_eq!(stdout(&output), expected);
    assert_eq!(output.status.code(), Some(0));
}

#[test]
fn lookup_passes_json_through() {
    let (address, request) = start_host(200, ENTRIES);
    let output = ragwortfold(&["lookup", "--entry", &address, "lookups", "--json"]);
    assert_eq!(request.join().unwrap(), "/v1/entries?service=lookups");
    let printed: serde_json::Value = serde_json::from_str(&stdout(&output)).unwrap();
    let sent: serde_json::Value = serde_json::from_str(ENTRIES).unwrap();
    assert_eq!(printed, sent);
}

#[test]
fn lookup_reports_a_refusal() {
    let (address, request) = start_host(404, r#"{"error":"no such service"}"#);
    let output = ragwortfold(&["lookup", "--entry", &address, "x"]);
    request.join().unwrap();
    assert!(stderr(&output).contains("status 404: {\"error\":\"no such service\"}"));
    assert_eq!(output.status.code(), Some(1));
}

#[test]
fn status_prints_a_table() {
    let (address, request) = start_host(
        200,
        r#"{"host":"ent-1","queues":{"a":{"n":1},"b":{"n":22}}}"#,
    );
    let output = ragwortfold(&["status", "--entry", &address]);
    assert_eq!(request.join().unwrap(), "/v1/status");
    let expected = "host  ent-1\n\nqueues:\nname  n\na     1\nb     22\n";
    assert_eq!(stdout(&output), expected);
}
