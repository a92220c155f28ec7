//! The product's own interface: hosts that lose their own links to the targets of their zone.

#![allow(clippy::unwrap_used)]

mod cluster;

use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

use cluster::{send, TestCluster};
use serde_json::{json, Value};
use standin::link::{Accept, Fault, Link};
use standin::platform::Platform;
use standin::target::{Settings, Target};

const ZONES: [&str; 2] = ["lima-a", "lima-b"];
/// Time after which callers of a host have to be served although its links are lost.
const STABLE: Duration = Duration::from_secs(3);
/// Time for which callers are counted.
const COUNTED: Duration = Duration::from_secs(2);
/// Pause between two requests.
const CALLER_PAUSE: Duration = Duration::from_millis(50);

/// Open connections hang, and attempts to connect get no reply.
const HANG: Fault = Fault {
    forth: BLACK_HOLE,
    back: BLACK_HOLE,
    accept: Accept::Ignore,
    reset_open: false,
};
const BLACK_HOLE: standin::link::Flow = standin::link::Flow {
    delay_us: 0,
    black_hole: true,
    cut_after: None,
    bytes_per_s: 0,
    lost_per_1000: 0,
    retransmit_ms: 0,
};

/// Open connections are reset, and new ones refused.
fn reset() -> Fault {
    Fault {
        accept: Accept::Refuse,
        reset_open: true,
        ..Fault::default()
    }
}

/// Two zones of two hosts and two targets of each service. `ent-lima-a-0` has links of its own.
struct World {
    cluster: TestCluster,
    own_links: Vec<Link>,
    zone_links: Vec<Link>,
    _own_platform: Platform,
    _targets: Vec<Target>,
}

fn link_to(address: SocketAddr) -> Link {
    Link::new("127.0.0.1:0".parse().unwrap(), address).unwrap()
}

impl World {
    fn new() -> Self {
        let mut cluster = TestCluster::new();
        let mut own = TestCluster::new();
        let (mut own_links, mut zone_links, mut targets) = (Vec::new(), Vec::new(), Vec::new());
        for zone in ZONES {
            cluster = cluster.with_zone("lima", zone);
            for host in 0..2 {
                cluster = cluster.with_host(zone, &format!("ent-{zone}-{host}"));
            }
            for service in ["lookups", "bookings"] {
                for number in 0..2 {
                    let name = format!("{service}-{zone}-{number}");
                    let settings = Settings::new(&name, 8).with_zone(zone);
                    let target = Target::new("127.0.0.1:0".parse().unwrap(), settings).unwrap();
                    let link = link_to(target.address());
                    cluster = cluster.with_target_at(zone, service, &name, link.address());
                    if zone == ZONES[0] {
                        zone_links.push(link);
                        own_links.push(link_to(target.address()));
                    } else {
                        // Stays open for as long as the test runs.
                        std::mem::forget(link);
                    }
                    targets.push(target);
                }
            }
        }
        cluster.configuration["clients"]["127.0.0.0/8"] = json!({"region": "lima"});
        own.configuration = cluster.configuration.clone();
        for (link, own_link) in zone_links.iter().zip(&own_links) {
            let text = own.configuration.to_string();
            let text = text.replace(&link.address().to_string(), &own_link.address().to_string());
            own.configuration = serde_json::from_str::<Value>(&text).unwrap();
        }
        own.publish(1);
        cluster.publish(1);
        let names: Vec<String> = ZONES
            .iter()
            .flat_map(|zone| (0..2).map(move |host| format!("ent-{zone}-{host}")))
            .collect();
        for name in &names {
            let url = if name == "ent-lima-a-0" {
                own.platform_url.clone()
            } else {
                cluster.platform_url.clone()
            };
            cluster.start_with(name, &url, json!({}));
        }
        for name in &names {
            cluster.wait_ready(name);
            cluster::eventually("each host serves", || {
                let url = cluster.hosts[name].url("/v1/services/lookups/x");
                send("GET", &url, &[], b"").is_ok_and(|answer| answer.status == 200)
            });
        }
        let own_platform = std::mem::replace(
            &mut own.platform,
            Platform::new("127.0.0.1:0".parse().unwrap()).unwrap(),
        );
        Self {
            cluster,
            own_links,
            zone_links,
            _own_platform: own_platform,
            _targets: targets,
        }
    }

    /// The share of the requests to a host that are answered in [`COUNTED`].
    fn served_share(&self, host: &str, service: &str) -> f64 {
        let url = self.cluster.hosts[host].url(&format!("/v1/services/{service}/x"));
        let end = Instant::now() + COUNTED;
        let (mut sent, mut served) = (0, 0);
        let mut calls = Vec::new();
        while Instant::now() < end {
            let url = url.clone();
            calls.push(thread::spawn(move || {
                send("POST", &url, &[], b"x").is_ok_and(|answer| answer.status == 200)
            }));
            thread::sleep(CALLER_PAUSE);
        }
        for call in calls {
            sent += 1;
            served += usize::from(call.join().unwrap());
        }
        served as f64 / f64::from(sent)
    }
}

/// The links that are lost, and by which hosts.
#[derive(Clone, Copy, PartialEq)]
enum Lost {
    /// Those of one host of a zone.
    Host,
    /// Those of all hosts of a zone.
    Zone,
}

fn check(lost: Lost, fault: Fault, service: &str) {
    let world = World::new();
    let links: Vec<&Link> = match lost {
        Lost::Host => world.own_links.iter().collect(),
        Lost::Zone => world.own_links.iter().chain(&world.zone_links).collect(),
    };
    links.iter().for_each(|link| link.set_fault(fault));
    // Callers keep coming while the links are lost.
    let until = Instant::now() + STABLE;
    while Instant::now() < until {
        let url = world.cluster.hosts["ent-lima-a-0"].url(&format!("/v1/services/{service}/x"));
        thread::spawn(move || drop(send("POST", &url, &[], b"x")));
        thread::sleep(CALLER_PAUSE);
    }
    let at_cut = world.served_share("ent-lima-a-0", service);
    let at_other = world.served_share("ent-lima-b-0", service);
    assert!(at_cut >= at_other * 2.0 / 3.0, "{at_cut} and {at_other}");
    links
        .iter()
        .for_each(|link| link.set_fault(Fault::default()));
    thread::sleep(Duration::from_secs(1));
    let after = world.served_share("ent-lima-a-0", service);
    assert!(after >= 2.0 / 3.0, "{after} after the end");
}

macro_rules! cases {
    ($($name:ident: $lost:expr, $fault:expr, $service:expr;)*) => {$(
        #[test]
        fn $name() {
            check($lost, $fault, $service);
        }
    )*};
}

cases! {
    lookups_of_a_host_whose_links_hang_are_served: Lost::Host, HANG, "lookups";
    lookups_of_a_host_whose_links_are_reset_are_served: Lost::Host, reset(), "lookups";
    bookings_of_a_host_whose_links_hang_are_served: Lost::Host, HANG, "bookings";
    bookings_of_a_host_whose_links_are_reset_are_served: Lost::Host, reset(), "bookings";
    lookups_of_a_zone_whose_links_hang_are_served: Lost::Zone, HANG, "lookups";
    bookings_of_a_zone_whose_links_are_reset_are_served: Lost::Zone, reset(), "bookings";
}
