//! Closes a caller's connection, which `tiny_http` offers no way to do.
//!
//! The connection is found among the process's open files by its remote address. That costs a
//! walk over them, so it is used only when something went wrong.

use std::fs;
use std::io;
use std::net::{Shutdown, SocketAddr};
use std::os::fd::{BorrowedFd, RawFd};

use socket2::{SockRef, Socket};

/// The process's open files.
const OPEN_FILES: &str = "/proc/self/fd";

/// Shuts down the connection whose other end is `peer`.
pub(crate) fn close(peer: SocketAddr) {
    each(peer, |socket| {
        let _ = socket.shutdown(Shutdown::Both);
    });
}

/// Reads nothing more from `peer` than what has arrived; it can still be answered.
pub(crate) fn close_read(peer: SocketAddr) {
    each(peer, |socket| {
        let _ = socket.shutdown(Shutdown::Read);
    });
}

/// Writes to `peer` past the library.
pub(crate) fn write(peer: SocketAddr, bytes: &[u8]) -> io::Result<()> {
    let mut result = Err(io::ErrorKind::NotConnected.into());
    each(peer, |socket| result = send(socket, bytes));
    result
}

fn send(socket: &Socket, bytes: &[u8]) -> io::Result<()> {
    let count = socket.send(bytes)?;
    if count < bytes.len() {
        return Err(io::ErrorKind::WriteZero.into());
    }
    Ok(())
}

fn each(peer: SocketAddr, mut act: impl FnMut(&Socket)) {
    let Ok(entries) = fs::read_dir(OPEN_FILES) else {
        return;
    };
    let files: Vec<RawFd> = entries
        .flatten()
        .filter_map(|entry| entry.file_name().to_str()?.parse().ok())
        .collect();
    for file in files {
        act_if(file, peer, &mut act);
    }
}

fn act_if(file: RawFd, peer: SocketAddr, act: &mut impl FnMut(&Socket)) {
    // SAFETY: the descriptor is only asked for its peer. Should it have been closed or reused since
    // the directory was read, the call fails or tells another peer, and nothing is done.
    let file = unsafe { BorrowedFd::borrow_raw(file) };
    let socket = SockRef::from(&file);
    let other = socket.peer_addr().ok().and_then(|other| other.as_socket());
    if other == Some(peer) {
        act(&socket);
    }
}
