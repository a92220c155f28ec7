//! Access to a caller's socket, which `tiny_http` does not expose: closes it, writes to it directly, or
//! finds out whether the caller has closed it.
//!
//! The socket is found among the process's open files by its remote address. That iterates over all of
//! them, so it is used only after a failure or a delay.

use std::fs;
use std::io;
use std::net::{Shutdown, SocketAddr};
use std::os::fd::{AsRawFd, BorrowedFd, RawFd};

use nix::libc;
use socket2::{SockRef, Socket};

/// Directory of the process's open file descriptors.
const OPEN_FILES: &str = "/proc/self/fd";

/// The kernel's number for the state of an open connection.
const TCP_ESTABLISHED: u8 = 1;

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

/// Whether `peer` has closed its end of the connection, at least for sending.
pub(crate) fn is_closed_by(peer: SocketAddr) -> bool {
    let mut is_open = false;
    for_each_socket(peer, |socket| is_open |= is_established(socket));
    !is_open
}

/// Whether neither end has closed the connection. Reading would not show it: this end may have shut
/// down reading.
fn is_established(socket: &Socket) -> bool {
    let mut state = 0_u8;
    let mut length: libc::socklen_t = 1;
    // SAFETY: the state is the first byte of what the call returns, and no more is written than the
    // given length.
    let result = unsafe {
        libc::getsockopt(
            socket.as_raw_fd(),
            libc::IPPROTO_TCP,
            libc::TCP_INFO,
            (&raw mut state).cast(),
            &raw mut length,
        )
    };
    result == 0 && state == TCP_ESTABLISHED
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
