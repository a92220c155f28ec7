//! Access to a caller's socket, which `tiny_http` does not expose: closes it or writes to it directly.
//!
//! The socket is found among the process's open files by its remote address. That iterates over all of
//! them, so it is used only after a failure.

use std::fs;
use std::io;
use std::net::{Shutdown, SocketAddr};
use std::os::fd::{BorrowedFd, RawFd};

use socket2::{SockRef, Socket};

/// Directory of the process's open file descriptors.
const OPEN_FILES: &str = "/proc/self/fd";

/// Shuts down the connection whose other end is `peer`.
pub(crate) fn close(peer: SocketAddr) {
    for_each_socket(peer, |socket| {
        let _ = socket.shutdown(Shutdown::Both);
    });
}

/// Shuts down reading from `peer`, apart from what has already arrived; it can still be answered.
pub(crate) fn close_read(peer: SocketAddr) {
    for_each_socket(peer, |socket| {
        let _ = socket.shutdown(Shutdown::Read);
    });
}

/// Writes to `peer` directly, bypassing the library.
pub(crate) fn write(peer: SocketAddr, bytes: &[u8]) -> io::Result<()> {
    let mut result = Err(io::ErrorKind::NotConnected.into());
    for_each_socket(peer, |socket| result = send(socket, bytes));
    result
}

fn send(socket: &Socket, bytes: &[u8]) -> io::Result<()> {
    let count = socket.send(bytes)?;
    if count < bytes.len() {
        return Err(io::ErrorKind::WriteZero.into());
    }
    Ok(())
}

fn for_each_socket(peer: SocketAddr, mut act: impl FnMut(&Socket)) {
    let Ok(entries) = fs::read_dir(OPEN_FILES) else {
        return;
    };
    let files: Vec<RawFd> = entries
        .flatten()
        .filter_map(|entry| entry.file_name().to_str()?.parse().ok())
        .collect();
    for file in files {
        act_if_peer(file, peer, &mut act);
    }
}

fn act_if_peer(file: RawFd, peer: SocketAddr, act: &mut impl FnMut(&Socket)) {
    // SAFETY: only the descriptor's peer address is queried. If it has been closed or reused since the
    // directory was read, the call fails or returns another peer, and nothing is done.
    let file = unsafe { BorrowedFd::borrow_raw(file) };
    let socket = SockRef::from(&file);
    let other = socket.peer_addr().ok().and_then(|other| other.as_socket());
    if other == Some(peer) {
        act(&socket);
    }
}
