//! Datagrams between hosts: heartbeats and other short-lived state. A lost datagram is not sent
//! again; the state is repeated periodically.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use rand::seq::IndexedRandom;
use serde::{Deserialize, Serialize};
use tokio::net::UdpSocket;

use crate::control::presence::{Heartbeat, Pulse, StoreView, INTERVAL};
use crate::steer::allowance::{AccountUsage, Reporter};
use crate::steer::departures::Numbered;
use crate::steer::fleet::{Silence, Testimony};
use crate::steer::quarantine::Notice;
use crate::steer::throttle::{Claim, Grant, RateUpdate};

use super::{announcement, now, quarantine, task, throttle, Error, Host};

/// Size of the receive buffer for a datagram, in bytes.
const MAX_DATAGRAM_BYTES: usize = 1400;
/// Maximum notices in one datagram: each takes up to 70 bytes.
const NOTICES_PER_DATAGRAM: usize = 16;
/// Maximum account tallies in one datagram: each takes up to 16 bytes.
const TALLIES_PER_DATAGRAM: usize = 80;

/// Interval at which state that hosts may have missed is sent again.
const REPEAT_INTERVAL: Duration = Duration::from_secs(1);
/// Hosts that receive the repeated state each time: so each host receives it about twice a
/// second, whatever the number of hosts.
const PEERS_PER_REPEAT: usize = 2;

/// A datagram, encoded as CBOR.
#[derive(Serialize, Deserialize)]
pub(super) enum Datagram {
    /// A heartbeat with the sender's record.
    #[serde(rename = "b")]
    Beat(Heartbeat),
    /// A heartbeat without the sender's record.
    #[serde(rename = "p")]
    Pulse(Pulse),
    /// Asks for a [`Datagram::Beat`], in response to a pulse from an unknown host.
    #[serde(rename = "q")]
    Ask,
    /// A target is cold for some milliseconds.
    #[serde(rename = "c")]
    Cold(Arc<str>, u64),
    /// Requests per account at the sender since it started.
    #[serde(rename = "t")]
    Tallies(Tallies),
    /// Notices of requests suspected to crash targets.
    #[serde(rename = "n")]
    Notices(Vec<Notice>),
    /// Rate limits announced by targets.
    #[serde(rename = "r")]
    Rates(Vec<RateUpdate>),
    /// Asks a keeper of a rate-limited target for permission to send to it.
    #[serde(rename = "l")]
    Claim(Claim),
    /// The response to a [`Datagram::Claim`].
    #[serde(rename = "g")]
    Grant(Grant),
    /// Processes of targets that are shutting down.
    #[serde(rename = "d")]
    Leaving(Vec<u64>),
    /// Processes of targets whose registrations were removed, and which are registered again.
    #[serde(rename = "x")]
    Removed(Vec<Numbered>),
    /// Processes of targets that run although their registrations had been removed.
    #[serde(rename = "y")]
    Confirmed(Vec<Numbered>),
    /// Processes of targets that answer nothing, or answer again.
    #[serde(rename = "s")]
    Silent(Vec<Silence>),
    /// Asks whether this process of a target has answered within a time.
    #[serde(rename = "w")]
    Question(Silence),
    /// The response to a [`Datagram::Question`], or to a [`Datagram::Silent`] that is wrong.
    #[serde(rename = "h")]
    Testimony(Testimony),
    /// Whether the sender is unable to reach targets.
    #[serde(rename = "u")]
    CutOff(bool),
    /// The store answers again, and was last known to be unavailable some milliseconds ago.
    #[serde(rename = "a")]
    Returned(u64),
}

/// Requests per account at a host.
#[derive(Serialize, Deserialize)]
pub(super) struct Tallies(
    /// The sender's incarnation.
    u64,
    /// The milliseconds since the sender's process started.
    u64,
    /// Whether the sender addresses the hosts of all regions in this round.
    bool,
    Vec<AccountUsage>,
);

/// Opens the socket and starts to send and receive datagrams.
pub(crate) async fn start(host: &Rc<Host>) -> Result<(), Error> {
    let address = host.settings.peers;
    let socket = UdpSocket::bind(address)
        .await
        .map_err(|source| Error::Listen { address, source })?;
    let socket = Rc::new(socket);
    *host.peer_socket.borrow_mut() = Some(socket.clone());
    task::start(host, "datagrams", move |host| receive(host, socket.clone()));
    task::start(host, "heartbeats", send_heartbeats);
    task::start(host, "repeated-state", repeat_state);
    if host.core.borrow().ledger.is_some() {
        task::start(host, "tallies", send_tallies);
    }
    Ok(())
}

/// Periodically sends state that may have been missed to a random choice of hosts.
async fn repeat_state(host: Rc<Host>) -> Infallible {
    loop {
        tokio::time::sleep(REPEAT_INTERVAL).await;
        let peers: Vec<SocketAddr> = {
            let core = &mut *host.core.borrow_mut();
            let peers: Vec<SocketAddr> = core.presence.peers().map(|peer| peer.peers).collect();
            peers
                .sample(&mut core.rng, PEERS_PER_REPEAT)
                .copied()
                .collect()
        };
        send_state(&host, &peers).await;
    }
}

/// Sends the standings of requests suspected to crash targets, the rate limits of targets, and the
/// processes that are shutting down, were removed or have returned.
async fn send_state(host: &Host, peers: &[SocketAddr]) {
    announcement::send_leaving(host, peers).await;
    announcement::send_returns(host, peers).await;
    quarantine::send_standings(host, peers).await;
    throttle::send_rates(host, peers).await;
}

async fn send_heartbeats(host: Rc<Host>) -> Infallible {
    let mut interval = tokio::time::interval(INTERVAL);
    loop {
        interval.tick().await;
        let (peers, pulse) = {
            let mut core = host.core.borrow_mut();
            core.tick(now());
            (
                core.presence.next_heartbeat_recipients(now()),
                core.presence.pulse(now()),
            )
        };
        send(&host, &Datagram::Pulse(pulse), &peers).await;
    }
}

/// Sends the requests per account at this host to other hosts. Quotas are enforced.
async fn send_tallies(host: Rc<Host>) -> Infallible {
    loop {
        let due = {
            let core = &mut *host.core.borrow_mut();
            core.ledger.as_mut().map(|ledger| {
                (
                    ledger.age(now()),
                    ledger.report_interval(now()),
                    ledger.next_reports(now()),
                )
            })
        };
        let Some((age, pause, (regional, global))) = due else {
            return std::future::pending().await;
        };
        let to_all = global.is_some();
        send_tallies_to(&host, age, to_all, &regional, true).await;
        if let Some(global) = global {
            send_tallies_to(&host, age, to_all, &global, false).await;
        }
        tokio::time::sleep(pause).await;
    }
}

/// Sends tallies to the hosts of this region, or to those of all other regions. Also sends an empty
/// batch, which shows that the host is running.
async fn send_tallies_to(
    host: &Host,
    age: Duration,
    to_all: bool,
    tallies: &[AccountUsage],
    same_region: bool,
) {
    let (peers, incarnation) = {
        let core = host.core.borrow();
        let presence = &core.presence;
        let peers = presence.peers();
        let peers = peers.filter(|peer| presence.is_near(peer) == same_region);
        let peers: Vec<SocketAddr> = peers.map(|peer| peer.peers).collect();
        (peers, presence.own().incarnation)
    };
    let mut chunks = tallies.chunks(TALLIES_PER_DATAGRAM);
    let first = chunks.next().unwrap_or_default();
    let age_ms = u64::try_from(age.as_millis()).unwrap_or(u64::MAX);
    for chunk in std::iter::once(first).chain(chunks) {
        let tallies = Tallies(incarnation, age_ms, to_all, chunk.to_vec());
        send(host, &Datagram::Tallies(tallies), &peers).await;
    }
}

/// Applies another host's requests per account.
fn apply_tallies(host: &Host, sender: SocketAddr, batch: &Tallies) {
    let Tallies(incarnation, age_ms, to_all, tallies) = batch;
    let core = &mut *host.core.borrow_mut();
    let (Some(ledger), Some(peer)) = (&mut core.ledger, core.presence.peer_at(sender)) else {
        return;
    };
    let teller = Reporter {
        host: &peer.host,
        region: core.presence.region(peer),
        incarnation: *incarnation,
        age: Duration::from_millis(*age_ms),
        to_all_regions: *to_all,
    };
    ledger.merge_report(now(), teller, tallies);
}

/// Sends this host's record to all other hosts.
pub(crate) async fn announce(host: &Host) {
    send_full_heartbeat(host, &peer_addresses(host)).await;
}

/// Sends this host's changed view of the store, which was `before` until now, to the hosts that
/// depend on it.
pub(crate) async fn send_store_view(host: &Host, before: StoreView) {
    let (peers, pulse) = {
        let presence = &mut host.core.borrow_mut().presence;
        (
            presence.store_view_recipients(before),
            presence.pulse(now()),
        )
    };
    send(host, &Datagram::Pulse(pulse), &peers).await;
}

/// Notifies all other hosts that this host is shutting down.
pub(crate) async fn send_leaving(host: &Host) {
    let pulse = host.core.borrow_mut().presence.pulse(now());
    send(host, &Datagram::Pulse(pulse), &peer_addresses(host)).await;
}

/// Sends notices on requests suspected to crash targets.
pub(crate) async fn send_notices(host: &Host, notices: &[Notice], peers: &[SocketAddr]) {
    for chunk in notices.chunks(NOTICES_PER_DATAGRAM) {
        send(host, &Datagram::Notices(chunk.to_vec()), peers).await;
    }
}

/// Sends rate limits announced by targets.
pub(crate) async fn send_rates(host: &Host, rates: &[RateUpdate], peers: &[SocketAddr]) {
    send(host, &Datagram::Rates(rates.to_vec()), peers).await;
}

/// Asks a keeper of a rate-limited target for permission to send to it.
pub(crate) async fn send_claim(host: &Host, claim: Claim, keeper: SocketAddr) {
    send(host, &Datagram::Claim(claim), &[keeper]).await;
}

/// Responds to a claim.
pub(crate) async fn send_grant(host: &Host, grant: Grant, claimant: SocketAddr) {
    send(host, &Datagram::Grant(grant), &[claimant]).await;
}

/// Notifies the hosts of the region whether this host is unable to reach targets.
pub(crate) async fn send_cut_off(host: &Host, is_cut_off: bool) {
    let peers = host.core.borrow().presence.cut_off_recipients();
    send(host, &Datagram::CutOff(is_cut_off), &peers).await;
}

/// Notifies all hosts that the store answers again, and that it was last known to be unavailable at
/// `unavailable_at`.
pub(crate) async fn send_returned(host: &Host, unavailable_at: Instant) {
    let elapsed = now().saturating_duration_since(unavailable_at).as_millis();
    let elapsed = u64::try_from(elapsed).unwrap_or(u64::MAX);
    send(host, &Datagram::Returned(elapsed), &peer_addresses(host)).await;
}

/// Notifies all hosts that a target is cold.
pub(crate) async fn send_cold(host: &Host, id: &Arc<str>, left: Duration) {
    let left = u64::try_from(left.as_millis()).unwrap_or(u64::MAX);
    send(
        host,
        &Datagram::Cold(id.clone(), left),
        &peer_addresses(host),
    )
    .await;
}

/// The addresses at which the other hosts receive datagrams.
pub(crate) fn peer_addresses(host: &Host) -> Vec<SocketAddr> {
    let core = host.core.borrow();
    core.presence.peers().map(|peer| peer.peers).collect()
}

async fn send_full_heartbeat(host: &Host, peers: &[SocketAddr]) {
    let heartbeat = host.core.borrow_mut().presence.heartbeat(now());
    send(host, &Datagram::Beat(heartbeat), peers).await;
}

/// Sends a datagram to the hosts at some addresses.
pub(super) async fn send(host: &Host, datagram: &Datagram, peers: &[SocketAddr]) {
    let Some(socket) = host.peer_socket.borrow().clone() else {
        return;
    };
    let mut bytes = Vec::new();
    if let Err(error) = ciborium::into_writer(datagram, &mut bytes) {
        spdlog::error!("datagram: cannot encode a datagram: {error}");
        return;
    }
    for peer in peers {
        if let Err(error) = socket.send_to(&bytes, peer).await {
            spdlog::debug!("datagram: cannot send to {peer}: {error}");
        }
    }
}

async fn receive(host: Rc<Host>, socket: Rc<UdpSocket>) -> Infallible {
    let mut bytes = [0; MAX_DATAGRAM_BYTES];
    loop {
        let (length, sender) = match socket.recv_from(&mut bytes).await {
            Ok(received) => received,
            Err(error) => {
                spdlog::debug!("datagram: cannot receive: {error}");
                continue;
            }
        };
        match ciborium::from_reader(&bytes[..length]) {
            Ok(Datagram::Beat(heartbeat)) => receive_full_heartbeat(&host, heartbeat).await,
            Ok(Datagram::Pulse(pulse)) => {
                let is_known = host
                    .core
                    .borrow_mut()
                    .presence
                    .receive_pulse(now(), sender, pulse);
                if !is_known {
                    send(&host, &Datagram::Ask, &[sender]).await;
                }
            }
            Ok(Datagram::Ask) => send_full_heartbeat(&host, &[sender]).await,
            Ok(Datagram::Cold(id, left)) => {
                let left = Duration::from_millis(left);
                host.core.borrow_mut().fleet.mark_cold(now(), &id, left);
            }
            Ok(Datagram::Tallies(batch)) => apply_tallies(&host, sender, &batch),
            Ok(Datagram::Notices(notices)) => quarantine::apply_notices(&host, &notices),
            Ok(Datagram::Rates(rates)) => throttle::apply_rates(&host, &rates),
            Ok(Datagram::Claim(claim)) => throttle::answer_claim(&host, sender, &claim).await,
            Ok(Datagram::Grant(grant)) => throttle::apply_grant(&host, sender, &grant),
            Ok(Datagram::Leaving(processes)) => announcement::apply_leaving(&host, &processes),
            Ok(Datagram::Removed(processes)) => announcement::apply_removed(&host, &processes),
            Ok(Datagram::Confirmed(processes)) => announcement::apply_confirmed(&host, &processes),
            Ok(Datagram::Question(question)) => {
                announcement::testify(&host, sender, question).await;
            }
            Ok(Datagram::Testimony(testimony)) => {
                announcement::hear(&host, sender.ip(), testimony);
            }
            Ok(Datagram::Silent(silences)) => {
                announcement::apply_silences(&host, sender, &silences).await;
            }
            Ok(Datagram::Returned(elapsed)) => {
                if let Some(at) = now().checked_sub(Duration::from_millis(elapsed)) {
                    host.core.borrow_mut().record_unavailable(now(), at);
                }
            }
            Ok(Datagram::CutOff(is_cut_off)) => {
                let presence = &mut host.core.borrow_mut().presence;
                presence.receive_cut_off(now(), sender, is_cut_off);
            }
            Err(error) => {
                spdlog::warn!("datagram: cannot decode a datagram from {sender}: {error}")
            }
        }
    }
}

async fn receive_full_heartbeat(host: &Host, received: Heartbeat) {
    let peer = received.record.peers;
    let is_new = host
        .core
        .borrow_mut()
        .presence
        .receive_heartbeat(now(), received);
    if is_new {
        // A newly started host waits for heartbeats from the others.
        send_full_heartbeat(host, &[peer]).await;
        send_state(host, &[peer]).await;
    }
}
