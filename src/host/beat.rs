//! Heartbeats between hosts, as datagrams: a lost one is not worth sending again.

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
        host.core.borrow_mut().tick(now());
        send(&host).await;
    }
}

/// Sends one heartbeat to all hosts.
pub(crate) async fn send(host: &Host) {
    let Some(socket) = host.beats.borrow().clone() else {
        return;
    };
    let (beat, peers) = {
        let core = host.core.borrow();
        let peers: Vec<_> = core.presence.peers().map(|peer| peer.peers).collect();
        (core.presence.beat(), peers)
    };
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
            Ok(beat) => host.core.borrow_mut().hear(now(), beat),
            Err(error) => spdlog::warn!("beat: {sender} sent something else: {error}"),
        }
    }
}
