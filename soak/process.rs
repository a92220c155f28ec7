//! Targets that run as processes of their own: this program, started once more.
//!
//! The parent writes lines to the standard input of such a process, which writes its address and the requests that it has read
//! to its standard output.

use std::collections::BTreeSet;
use std::io::{BufRead, BufReader, Lines, Write};
use std::net::SocketAddr;
use std::process::{Child, ChildStdin, ChildStdout, Command, Stdio};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use serde::{Deserialize, Serialize};

use crate::regions::Manner;

/// Names the service of the target that a process is to be.
const SERVICE_VARIABLE: &str = "SOAK_TARGET_OF";
/// The test that such a process runs.
const TEST: &str = "process::runs_as_a_target_if_it_was_started_for_that";
/// Begins each line for the parent.
const MARK: &str = "target: ";

/// What the parent says.
#[derive(Serialize, Deserialize)]
enum Order {
    Manner(Manner),
    Processes(BTreeSet<String>),
}

/// What a target's process says.
#[derive(Serialize, Deserialize)]
enum Report {
    Address(SocketAddr),
    /// A process that a request reached, the request's ID, and the milliseconds since the epoch.
    Arrival(String, String, u64),
}

/// A target's process. Ends with this value.
pub struct Process {
    child: Child,
    orders: ChildStdin,
    is_stopped: bool,
}

impl Process {
    /// Starts a target of a service. Also returns its address, and the requests that it will have read.
    pub fn start(service: usize) -> (Self, SocketAddr, Arrivals) {
        let mut child = Command::new(std::env::current_exe().unwrap())
            .args(["--exact", TEST, "--nocapture"])
            .env(SERVICE_VARIABLE, service.to_string())
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .spawn()
            .unwrap();
        let mut arrivals = Arrivals {
            lines: BufReader::new(child.stdout.take().unwrap()).lines(),
            started_at: (Instant::now(), since_epoch()),
        };
        let Some(Report::Address(address)) = arrivals.next_report() else {
            panic!("a target's process names no address");
        };
        let orders = child.stdin.take().unwrap();
        let process = Self {
            child,
            orders,
            is_stopped: false,
        };
        (process, address, arrivals)
    }

    /// Stops the process for [`Manner::Silent`], or has it continue and handle requests in another way.
    pub fn set_manner(&mut self, manner: Manner) {
        let is_stopped = manner == Manner::Silent;
        if std::mem::replace(&mut self.is_stopped, is_stopped) != is_stopped {
            self.signal(if is_stopped { "-STOP" } else { "-CONT" });
        }
        if !is_stopped {
            self.order(&Order::Manner(manner));
        }
    }

    /// Sets the processes that it says it is.
    pub fn set_processes(&mut self, processes: &BTreeSet<String>) {
        self.order(&Order::Processes(processes.clone()));
    }

    fn order(&mut self, order: &Order) {
        let line = serde_json::to_string(order).unwrap();
        writeln!(self.orders, "{line}").unwrap();
    }

    fn signal(&self, name: &str) {
        let id = self.child.id().to_string();
        assert!(Command::new("kill")
            .args([name, &id])
            .status()
            .unwrap()
            .success());
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// The requests that a target's process reads: when, the process that they were for, and their IDs.
pub struct Arrivals {
    lines: Lines<BufReader<ChildStdout>>,
    /// When it was started, by both clocks.
    started_at: (Instant, Duration),
}

impl Arrivals {
    fn next_report(&mut self) -> Option<Report> {
        loop {
            let line = self.lines.next()?.ok()?;
            // The harness begins a line of its own with the test's name.
            if let Some((_, report)) = line.split_once(MARK) {
                return serde_json::from_str(report).ok();
            }
        }
    }
}

impl Iterator for Arrivals {
    type Item = (Instant, String, String);

    fn next(&mut self) -> Option<Self::Item> {
        match self.next_report()? {
            Report::Arrival(process, id, ms) => {
                let (instant, time) = self.started_at;
                let at = instant + Duration::from_millis(ms).saturating_sub(time);
                Some((at, process, id))
            }
            Report::Address(_) => None,
        }
    }
}

fn since_epoch() -> Duration {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap()
}

fn report(report: &Report) {
    let line = serde_json::to_string(report).unwrap();
    println!("{MARK}{line}");
}

/// Tells the parent the address of this process's target.
pub fn report_address(address: SocketAddr) {
    report(&Report::Address(address));
}

/// Tells the parent of a request that has reached this process.
pub fn report_arrival(process: &str, id: &str) {
    let ms = u64::try_from(since_epoch().as_millis()).unwrap();
    report(&Report::Arrival(process.into(), id.into(), ms));
}

/// Does what the parent says until it has ended.
pub fn obey(set_manner: impl Fn(Manner), set_processes: impl Fn(BTreeSet<String>)) {
    for line in std::io::stdin().lines() {
        let Ok(line) = line else { return };
        match serde_json::from_str(&line).unwrap() {
            Order::Manner(manner) => set_manner(manner),
            Order::Processes(processes) => set_processes(processes),
        }
    }
}

/// Does nothing in an ordinary run of the tests.
#[test]
fn runs_as_a_target_if_it_was_started_for_that() {
    if let Ok(service) = std::env::var(SERVICE_VARIABLE) {
        crate::regions::run_target(service.parse().unwrap());
        std::process::exit(0);
    }
}
