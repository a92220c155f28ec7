//! Heartbeats between hosts, as datagrams: a lost one is not worth sending again.

use std::net::SocketAddr;
use std::rc::Rc;

use tokio::net::UdpSocket;

use crate::control::presence::{Beat, INTERVAL};

use super::{now, Error, Host};

/// The longest heartbeat that is read, in bytes.
const LONGEST: usize = 512;

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
    Ok(())
}

async fn send_regularly(host: Rc<Host>) {
    let mut interval = tokio::time::interval(INTERVAL);
    loop {
        interval.tick().await;
        let peers = {
            let mut core = host.core.borrow_mut();
            core.tick(now());
            core.presence.next_beat()
        };
        send(&host, &peers).await;
    }
}

/// Sends a heartbeat to all hosts at once, as something has changed.
pub(crate) async fn send_to_all(host: &Host) {
    let peers: Vec<_> = {
        let core = host.core.borrow();
        core.presence.peers().map(|peer| peer.peers).collect()
    };
    send(host, &peers).await;
}

async fn send(host: &Host, peers: &[SocketAddr]) {
    let Some(socket) = host.beats.borrow().clone() else {
        return;
    };
    let beat = host.core.borrow().presence.beat();
    let mut bytes = Vec::new();
    if let Err(error) = ciborium::into_writer(&beat, &mut bytes) {
        spdlog::error!("beat: cannot write a heartbeat: {error}");
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
        match ciborium::from_reader::<Beat, _>(&bytes[..length]) {
            Ok(beat) => {
                let peer = beat.record.peers;
                let is_new = host.core.borrow_mut().presence.hear(now(), beat);
                if is_new {
                    // A host that has just started waits to hear from the others.
                    send(&host, &[peer]).await;
                }
            }
            Err(error) => spdlog::warn!("beat: {sender} sent something else: {error}"),
        }
    }
}
