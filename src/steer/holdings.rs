//! What a process holds for its peers, and which of them has to go when a limit is reached.
//!
//! Each peer has an account of the bytes that are held for it. A peer that is waited for (it has not
//! sent all of its request, or not read its answer) is closed before one whose request is running,
//! and among these the one that holds most, of several that hold as much the one that has been
//! waited for longest.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::time::Instant;

/// Identifies a peer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct PeerKey(u64);

/// What a peer is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Stage {
    /// It has no request.
    Idle,
    /// Its request is not complete, or its answer has not been read.
    Waiting,
    /// Its request is at a target or another host.
    Running,
    /// It is a part of the system: it is never closed.
    Own,
}

/// Limits on what is held for all peers together.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Memory, in bytes.
    pub bytes: usize,
    /// Connections.
    pub connections: usize,
}

/// Whether something may be held.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It may be held.
    Granted,
    /// It may be held once others have returned enough; these peers have to be closed now.
    Wait(Vec<PeerKey>),
    /// The peer itself has to be closed.
    Refused,
}

struct Peer {
    bytes: usize,
    stage: Stage,
    /// Since when it has been in its stage.
    since: Instant,
    is_closing: bool,
}

/// The accounts of all peers.
pub struct Holdings {
    limits: Limits,
    peers: BTreeMap<PeerKey, Peer>,
    next: u64,
    /// Bytes held for all peers.
    bytes: usize,
    /// The part of `bytes` that peers hold which are being closed.
    closing_bytes: usize,
    /// Peers that are being closed.
    closing: usize,
}

impl Holdings {
    /// Creates accounts without peers.
    pub fn new(limits: Limits) -> Self {
        Self {
            limits,
            peers: BTreeMap::new(),
            next: 0,
            bytes: 0,
            closing_bytes: 0,
            closing: 0,
        }
    }

    /// Bytes held for all peers.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Number of peers.
    pub fn peers(&self) -> usize {
        self.peers.len()
    }

    /// Whether another connection may be opened. One that waits is closed first: an idle one if there
    /// is any.
    pub fn admit(&mut self) -> Verdict {
        let limit = self.limits.connections;
        if self.peers.len() < limit {
            return Verdict::Granted;
        }
        if self.peers.len() - self.closing < limit {
            return Verdict::Wait(Vec::new());
        }
        let open = self.peers.iter().filter(|(_, peer)| !peer.is_closing);
        let waiting = open.filter(|(_, peer)| peer.stage <= Stage::Waiting);
        let oldest = waiting.min_by_key(|(_, peer)| (peer.stage, peer.since));
        match oldest.map(|(key, _)| *key) {
            Some(key) => {
                self.close(key);
                Verdict::Wait(vec![key])
            }
            None => Verdict::Refused,
        }
    }

    /// Opens an account.
    pub fn open(&mut self, now: Instant, stage: Stage) -> PeerKey {
        let key = PeerKey(self.next);
        self.next += 1;
        let peer = Peer {
            bytes: 0,
            stage,
            since: now,
            is_closing: false,
        };
        self.peers.insert(key, peer);
        key
    }

    /// Removes an account. What it still holds is returned.
    pub fn remove(&mut self, key: PeerKey) {
        let Some(peer) = self.peers.remove(&key) else {
            return;
        };
        self.bytes -= peer.bytes;
        if peer.is_closing {
            self.closing -= 1;
            self.closing_bytes -= peer.bytes;
        }
    }

    /// What a peer is doing.
    pub fn stage(&self, key: PeerKey) -> Option<Stage> {
        self.peers.get(&key).map(|peer| peer.stage)
    }

    /// Records what a peer is doing from now on.
    pub fn set_stage(&mut self, key: PeerKey, now: Instant, stage: Stage) {
        if let Some(peer) = self.peers.get_mut(&key) {
            if peer.stage != stage && peer.stage != Stage::Own {
                peer.stage = stage;
                peer.since = now;
            }
        }
    }

    /// Charges bytes to a peer, if they may be held.
    pub fn charge(&mut self, key: PeerKey, bytes: usize) -> Verdict {
        let Some(peer) = self.peers.get_mut(&key).filter(|peer| !peer.is_closing) else {
            return Verdict::Refused;
        };
        let missing = (self.bytes + bytes).saturating_sub(self.limits.bytes);
        if missing == 0 {
            peer.bytes += bytes;
            self.bytes += bytes;
            return Verdict::Granted;
        }
        if missing <= self.closing_bytes {
            return Verdict::Wait(Vec::new());
        }
        let wanted = Claim::new(key, peer, bytes);
        match self.choose(wanted, missing - self.closing_bytes) {
            Some(chosen) => {
                for key in &chosen {
                    self.close(*key);
                }
                Verdict::Wait(chosen)
            }
            None => Verdict::Refused,
        }
    }

    /// Returns the peers that have to be closed to make room for `missing` bytes, or none if the peer
    /// that wants them has to go before one of these.
    fn choose(&self, wanted: Claim, missing: usize) -> Option<Vec<PeerKey>> {
        let open = self.peers.iter().filter(|(_, peer)| !peer.is_closing);
        let closable = open.filter(|(_, peer)| {
            matches!(peer.stage, Stage::Waiting | Stage::Running) && peer.bytes > 0
        });
        let mut claims: Vec<Claim> = closable
            .map(|(key, peer)| Claim::new(*key, peer, 0))
            .filter(|claim| claim.key != wanted.key && claim.rank() < wanted.rank())
            .collect();
        claims.sort_by_key(Claim::rank);
        let mut chosen = Vec::new();
        let mut found = 0;
        for claim in claims {
            if found >= missing {
                break;
            }
            found += claim.bytes;
            chosen.push(claim.key);
        }
        (found >= missing).then_some(chosen)
    }

    /// Returns bytes that were charged to a peer.
    pub fn release(&mut self, key: PeerKey, bytes: usize) {
        if let Some(peer) = self.peers.get_mut(&key) {
            peer.bytes -= bytes;
            self.bytes -= bytes;
            if peer.is_closing {
                self.closing_bytes -= bytes;
            }
        }
    }

    /// Records that a peer is being closed. Returns whether it was not before.
    pub fn close(&mut self, key: PeerKey) -> bool {
        let Some(peer) = self.peers.get_mut(&key).filter(|peer| !peer.is_closing) else {
            return false;
        };
        peer.is_closing = true;
        self.closing += 1;
        self.closing_bytes += peer.bytes;
        true
    }
}

/// What a peer holds, and when it has to go.
#[derive(Clone, Copy)]
struct Claim {
    key: PeerKey,
    bytes: usize,
    stage: Stage,
    since: Instant,
}

impl Claim {
    fn new(key: PeerKey, peer: &Peer, more: usize) -> Self {
        Self {
            key,
            bytes: peer.bytes + more,
            stage: peer.stage,
            since: peer.since,
        }
    }

    /// The peer with the least rank has to go first.
    fn rank(&self) -> (Stage, Reverse<usize>, Instant) {
        (self.stage, Reverse(self.bytes), self.since)
    }
}
