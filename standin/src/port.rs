//! Addresses for what tests and demos start.

use std::io;
use std::net::{IpAddr, SocketAddr};
use std::sync::atomic::{AtomicU32, Ordering};

/// Ports below those that the system gives to outgoing connections, which could take one before the
/// host listens on it.
const PORTS: std::ops::Range<u32> = 10_000..30_000;
/// Ports tried before giving up.
const TRIES: u32 = 2_000;

/// An address that nothing listens on, never the same one twice.
///
/// # Errors
///
/// No port could be bound.
pub fn free_address(ip: IpAddr) -> io::Result<SocketAddr> {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let mut last = None;
    for _ in 0..TRIES {
        let count = NEXT.fetch_add(1, Ordering::Relaxed);
        let offset = std::process::id().wrapping_mul(101).wrapping_add(count) % PORTS.len() as u32;
        let port = (PORTS.start + offset) as u16;
        match std::net::TcpListener::bind(SocketAddr::new(ip, port)) {
            Ok(_) => return Ok(SocketAddr::new(ip, port)),
            Err(error) => last = Some(error),
        }
    }
    Err(last.unwrap_or_else(|| io::ErrorKind::AddrInUse.into()))
}
