//! Tests of the stand-ins as processes, which print their addresses and whose faults are set over HTTP.

#![allow(clippy::unwrap_used)]

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::process::{Child, Command, Stdio};

struct Process {
    child: Child,
    address: SocketAddr,
    control: SocketAddr,
}

impl Process {
    fn new(args: &[&str]) -> Self {
        let mut child = Command::new(env!("CARGO_BIN_EXE_standin"))
            .args(args)
            .args(["--listen", "127.0.0.1:0", "--control", "127.0.0.1:0"])
            .stdout(Stdio::piped())
            .spawn()
            .unwrap();
        let mut lines = BufReader::new(child.stdout.take().unwrap()).lines();
        let mut address = |prefix| {
            lines
                .next()
                .unwrap()
                .unwrap()
                .strip_prefix(prefix)
                .unwrap()
                .parse()
                .unwrap()
        };
        let (address, control) = (address("listening on "), address("control on "));
        Self {
            child,
            address,
            control,
        }
    }

    fn set_fault(&self, json: &str) {
        let uri = format!("http://{}/standin/fault", self.control);
        assert_eq!(ureq::post(uri).send(json).unwrap().status(), 200);
    }

    fn is_serving(&self, path: &str) -> bool {
        ureq::get(format!("http://{}{path}", self.address))
            .call()
            .is_ok()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

#[test]
fn faults_can_be_set_and_removed() {
    let platform = Process::new(&["platform"]);
    let target = Process::new(&["target", "--slots", "2"]);
    let far_address = target.address.to_string();
    let link = Process::new(&["link", "--to", &far_address]);
    let cases = [
        (&platform, "/v1/hosts", r#"{"availability":"refused"}"#),
        (&target, "/health", r#"{"mode":"refuse"}"#),
        (&link, "/health", r#"{"accept":"reset"}"#),
    ];
    for (process, path, fault) in cases {
        assert!(process.is_serving(path), "{path}");
        process.set_fault(fault);
        assert!(!process.is_serving(path), "{fault}");
        process.set_fault("{}");
        assert!(process.is_serving(path), "{path}");
    }
}
