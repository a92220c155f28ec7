//! Closes a caller's connection, which `tiny_http` offers no way to do.
//!
//! The connection is found among the process's open files by its remote address. That costs a
//! walk over them, so it is used only when an answer broke off half-way.

use std::fs;
use std::net::{Shutdown, SocketAddr};
use std::os::fd::{BorrowedFd, RawFd};

use socket2::SockRef;

/// The process's open files.
const OPEN_FILES: &str = "/proc/self/fd";

/// Shuts down the connection whose other end is `peer`.
pub(crate) fn close(peer: SocketAddr) {
    let Ok(entries) = fs::read_dir(OPEN_FILES) else {
        return;
    };
    entries
        .flatten()
        .filter_map(|entry| entry.file_name().to_str()?.parse().ok())
        .for_each(|file| close_if(file, peer));
}

fn close_if(file: RawFd, peer: SocketAddr) {
    // SAFETY: the descriptor is only asked for its peer. Should it have been closed or reused since
    // the directory was read, the call fails or tells another peer, and nothing is done.
    let file = unsafe { BorrowedFd::borrow_raw(file) };
    let socket = SockRef::from(&file);
    let other = socket.peer_addr().ok().and_then(|other| other.as_socket());
    if other == Some(peer) {
        let _ = socket.shutdown(Shutdown::Both);
    }
}
