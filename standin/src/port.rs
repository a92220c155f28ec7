//! Free addresses for the processes that tests and demos start.

use std::io;
use std::net::{IpAddr, SocketAddr};
use std::sync::atomic::{AtomicU32, Ordering};

/// Ports below the system's ephemeral range, from which an outgoing connection could take a port
/// before the host listens on it.
const PORT_RANGE: std::ops::Range<u32> = 10_000..30_000;
/// Ports that are tried before an error is returned.
const MAX_TRIES: u32 = 2_000;

/// Returns an address that nothing listens on. A process gets no address twice before the range is used up.
///
/// # Errors
///
/// No port could be bound.
pub fn free_address(ip: IpAddr) -> io::Result<SocketAddr> {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let mut last_error = None;
    for _ in 0..MAX_TRIES {
        let count = NEXT.fetch_add(1, Ordering::Relaxed);
        let offset =
            std::process::id().wrapping_mul(101).wrapping_add(count) % PORT_RANGE.len() as u32;
        let port = (PORT_RANGE.start + offset) as u16;
        match std::net::TcpListener::bind(SocketAddr::new(ip, port)) {
            Ok(_) => return Ok(SocketAddr::new(ip, port)),
            Err(error) => last_error = Some(error),
        }
    }
    Err(last_error.unwrap_or_else(|| io::ErrorKind::AddrInUse.into()))
}
