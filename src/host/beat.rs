//! Heartbeats and notes between hosts, as datagrams: a lost one is not worth sending again.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use rand::seq::IndexedRandom;
use serde::{Deserialize, Serialize};
use tokio::net::UdpSocket;

use crate::control::presence::{Heartbeat, Pulse, StoreView, INTERVAL};
use crate::steer::allowance::{Tally, Teller};
use crate::steer::quarantine::Note;
use crate::steer::throttle::{Claim, Grant, News};

use super::{now, quarantine, throttle, Error, Host};

/// The longest datagram that is read, in bytes.
const LONGEST: usize = 1400;
/// Notes that one datagram has: each takes up to 70 bytes.
const NOTES: usize = 16;
/// Accounts that one datagram tells of: each takes up to 16 bytes.
const TALLIES: usize = 80;

/// Time between two datagrams that repeat what hosts may have missed.
const REPEAT: Duration = Duration::from_secs(1);
/// Hosts that are told each time: each one is told some twice a second, however many there are.
const TOLD: usize = 2;

/// What is sent.
#[derive(Serialize, Deserialize)]
enum Datagram {
    /// The sender is alive; all there is to know of it.
    #[serde(rename = "b")]
    Beat(Heartbeat),
    /// The sender is alive.
    #[serde(rename = "p")]
    Pulse(Pulse),
    /// The sender does not know the receiver, from which it had a pulse.
    #[serde(rename = "q")]
    Ask,
    /// A target is cold for some milliseconds.
    #[serde(rename = "c")]
    Cold(Arc<str>, u64),
    /// What accounts asked of the sender since it started.
    #[serde(rename = "t")]
    Tallies(Tallies),
    /// Of requests that crash targets.
    #[serde(rename = "n")]
    Notes(Vec<Note>),
    /// Of targets that name the rate that they take.
    #[serde(rename = "r")]
    Rates(Vec<News>),
    /// The sender asks for leave to send to such a target.
    #[serde(rename = "l")]
    Claim(Claim),
    /// The answer to that.
    #[serde(rename = "g")]
    Grant(Grant),
}

/// What a host tells of accounts.
#[derive(Serialize, Deserialize)]
struct Tallies(
    /// The sender's incarnation.
    u64,
    /// The milliseconds since its process started.
    u64,
    /// Whether it tells all regions now.
    bool,
    Vec<Tally>,
);

/// Sends and takes heartbeats from now on.
pub(crate) async fn start(host: &Rc<Host>) -> Result<(), Error> {
    let address = host.settings.peers;
    let socket = UdpSocket::bind(address)
        .await
        .map_err(|source| Error::Listen { address, source })?;
    let socket = Rc::new(socket);
    *host.beats.borrow_mut() = Some(socket.clone());
    tokio::task::spawn_local(hear(host.clone(), socket));
    tokio::task::spawn_local(send_regularly(host.clone()));
    tokio::task::spawn_local(tell_tallies(host.clone()));
    tokio::task::spawn_local(repeat(host.clone()));
    Ok(())
}

/// Repeats what hosts may have missed, to some that are drawn anew each time.
async fn repeat(host: Rc<Host>) {
    loop {
        tokio::time::sleep(REPEAT).await;
        let peers: Vec<SocketAddr> = {
            let core = &mut *host.core.borrow_mut();
            let peers: Vec<SocketAddr> = core.presence.peers().map(|peer| peer.peers).collect();
            peers.sample(&mut core.rng, TOLD).copied().collect()
        };
        introduce(&host, &peers).await;
    }
}

/// Tells hosts what they may not know of requests that crash targets, and of targets that name rates.
async fn introduce(host: &Host, peers: &[SocketAddr]) {
    quarantine::tell_standings(host, peers).await;
    throttle::tell(host, peers).await;
}

async fn send_regularly(host: Rc<Host>) {
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

/// Tells the other hosts what accounts ask of this one, where quotas are kept.
async fn tell_tallies(host: Rc<Host>) {
    loop {
        let (age, pause, (near, far)) = {
            let core = &mut *host.core.borrow_mut();
            let Some(ledger) = &mut core.ledger else {
                return;
            };
            (
                ledger.age(now()),
                ledger.interval(now()),
                ledger.news(now()),
            )
        };
        let to_all = far.is_some();
        tell(&host, age, to_all, &near, true).await;
        if let Some(far) = far {
            tell(&host, age, to_all, &far, false).await;
        }
        tokio::time::sleep(pause).await;
    }
}

/// Tells the hosts of the own region, or all others. What was asked of no account is told too: it shows that the host is there.
async fn tell(host: &Host, age: Duration, to_all: bool, tallies: &[Tally], near: bool) {
    let (peers, incarnation) = {
        let core = host.core.borrow();
        let presence = &core.presence;
        let peers = presence.peers();
        let peers = peers.filter(|peer| presence.is_near(peer) == near);
        let peers: Vec<SocketAddr> = peers.map(|peer| peer.peers).collect();
        (peers, presence.own().incarnation)
    };
    let mut parts = tallies.chunks(TALLIES);
    let first = parts.next().unwrap_or_default();
    let age_ms = u64::try_from(age.as_millis()).unwrap_or(u64::MAX);
    for part in std::iter::once(first).chain(parts) {
        let tallies = Tallies(incarnation, age_ms, to_all, part.to_vec());
        send(host, &Datagram::Tallies(tallies), &peers).await;
    }
}

/// Takes in what another host tells of accounts.
fn hear_tallies(host: &Host, sender: SocketAddr, told: &Tallies) {
    let Tallies(incarnation, age_ms, to_all, tallies) = told;
    let core = &mut *host.core.borrow_mut();
    let (Some(ledger), Some(peer)) = (&mut core.ledger, core.presence.peer_at(sender)) else {
        return;
    };
    let teller = Teller {
        host: &peer.host,
        region: core.presence.region(peer),
        incarnation: *incarnation,
        age: Duration::from_millis(*age_ms),
        to_all: *to_all,
    };
    ledger.hear(now(), teller, tallies);
}

/// Introduces this host to all others.
pub(crate) async fn send_to_all(host: &Host) {
    beat(host, &all(host)).await;
}

/// Tells those whom it concerns what this host knows of the store, which was `before` until now.
pub(crate) async fn tell_sight(host: &Host, before: StoreView) {
    let (peers, pulse) = {
        let presence = &mut host.core.borrow_mut().presence;
        (
            presence.store_view_recipients(before),
            presence.pulse(now()),
        )
    };
    send(host, &Datagram::Pulse(pulse), &peers).await;
}

/// Tells all others that this host takes nothing new.
pub(crate) async fn tell_leaving(host: &Host) {
    let pulse = host.core.borrow_mut().presence.pulse(now());
    send(host, &Datagram::Pulse(pulse), &all(host)).await;
}

/// Tells other hosts how requests stand that crash targets.
pub(crate) async fn send_notes(host: &Host, notes: &[Note], peers: &[SocketAddr]) {
    for part in notes.chunks(NOTES) {
        send(host, &Datagram::Notes(part.to_vec()), peers).await;
    }
}

/// Tells other hosts of targets that name the rate that they take.
pub(crate) async fn send_rates(host: &Host, news: &[News], peers: &[SocketAddr]) {
    send(host, &Datagram::Rates(news.to_vec()), peers).await;
}

/// Asks a host for leave to send to such a target.
pub(crate) async fn claim(host: &Host, claim: Claim, keeper: SocketAddr) {
    send(host, &Datagram::Claim(claim), &[keeper]).await;
}

/// Answers that.
pub(crate) async fn grant(host: &Host, grant: Grant, asker: SocketAddr) {
    send(host, &Datagram::Grant(grant), &[asker]).await;
}

/// Tells all hosts that a target is cold.
pub(crate) async fn tell_cold(host: &Host, id: &Arc<str>, left: Duration) {
    let left = u64::try_from(left.as_millis()).unwrap_or(u64::MAX);
    send(host, &Datagram::Cold(id.clone(), left), &all(host)).await;
}

/// Where all other hosts take heartbeats.
pub(crate) fn all(host: &Host) -> Vec<SocketAddr> {
    let core = host.core.borrow();
    core.presence.peers().map(|peer| peer.peers).collect()
}

async fn beat(host: &Host, peers: &[SocketAddr]) {
    let beat = host.core.borrow_mut().presence.heartbeat(now());
    send(host, &Datagram::Beat(beat), peers).await;
}

async fn send(host: &Host, datagram: &Datagram, peers: &[SocketAddr]) {
    let Some(socket) = host.beats.borrow().clone() else {
        return;
    };
    let mut bytes = Vec::new();
    if let Err(error) = ciborium::into_writer(datagram, &mut bytes) {
        spdlog::error!("beat: cannot write a datagram: {error}");
        return;
    }
    for peer in peers {
        if let Err(error) = socket.send_to(&bytes, peer).await {
            spdlog::debug!("beat: cannot send to {peer}: {error}");
        }
    }
}

async fn hear(host: Rc<Host>, socket: Rc<UdpSocket>) {
    let mut bytes = [0; LONGEST];
    loop {
        let (length, sender) = match socket.recv_from(&mut bytes).await {
            Ok(received) => received,
            Err(error) => {
                spdlog::debug!("beat: cannot receive: {error}");
                continue;
            }
        };
        match ciborium::from_reader(&bytes[..length]) {
            Ok(Datagram::Beat(beat)) => take(&host, beat).await,
            Ok(Datagram::Pulse(pulse)) => {
                let known = host
                    .core
                    .borrow_mut()
                    .presence
                    .receive_pulse(now(), sender, pulse);
                if !known {
                    send(&host, &Datagram::Ask, &[sender]).await;
                }
            }
            Ok(Datagram::Ask) => beat(&host, &[sender]).await,
            Ok(Datagram::Cold(id, left)) => {
                let left = Duration::from_millis(left);
                host.core.borrow_mut().fleet.chill(now(), &id, left);
            }
            Ok(Datagram::Tallies(told)) => hear_tallies(&host, sender, &told),
            Ok(Datagram::Notes(notes)) => quarantine::hear(&host, &notes),
            Ok(Datagram::Rates(news)) => throttle::hear(&host, &news),
            Ok(Datagram::Claim(claim)) => throttle::answer(&host, sender, &claim).await,
            Ok(Datagram::Grant(grant)) => throttle::granted(&host, sender, &grant),
            Err(error) => spdlog::warn!("beat: {sender} sent something else: {error}"),
        }
    }
}

async fn take(host: &Host, received: Heartbeat) {
    let peer = received.record.peers;
    let is_new = host
        .core
        .borrow_mut()
        .presence
        .receive_heartbeat(now(), received);
    if is_new {
        // A host that has just started waits to hear from the others.
        beat(host, &[peer]).await;
        introduce(host, &[peer]).await;
    }
}
