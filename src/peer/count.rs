//! Counters of a mesh: links, handshakes, streams, messages and errors.

use std::sync::atomic::{AtomicU64, Ordering};

/// Defines [`Counters`] and [`AtomicCounters`] from one list of names.
macro_rules! counters {
    ($($(#[doc = $doc:literal])+ $name:ident,)+) => {
        /// The counter values of a mesh since its creation.
        #[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
        pub struct Counters {
            $($(#[doc = $doc])+ pub $name: u64,)+
        }

        impl Counters {
            /// Iterates over the names and values.
            pub fn iter(&self) -> impl Iterator<Item = (&'static str, u64)> {
                [$((stringify!($name), self.$name)),+].into_iter()
            }
        }

        /// The live counters of a mesh.
        #[derive(Debug, Default)]
        pub(crate) struct AtomicCounters {
            $(pub(crate) $name: Counter,)+
        }

        impl AtomicCounters {
            pub(crate) fn snapshot(&self) -> Counters {
                Counters { $($name: self.$name.0.load(Ordering::Relaxed),)+ }
            }
        }
    };
}

/// A counter that may be incremented from any thread.
#[derive(Debug, Default)]
pub(crate) struct Counter(AtomicU64);

impl Counter {
    pub(crate) fn add(&self, count: u64) {
        self.0.fetch_add(count, Ordering::Relaxed);
    }

    pub(crate) fn increment(&self) {
        self.add(1);
    }
}

counters! {
    /// Links that were authenticated, in either direction.
    links,
    /// Connections that were refused or lost before they became links.
    connect_failed,
    /// Connections closed at once because too many were in their handshake.
    refused_pending,
    /// Handshakes that were not WebSocket or had unexpected frames.
    refused_handshake,
    /// Connection attempts and handshakes that timed out.
    refused_slow,
    /// Handshakes with an unsupported protocol version.
    refused_version,
    /// Handshakes from or for another host than expected.
    refused_host,
    /// Handshakes with a wrong proof: another secret, or a replay.
    refused_proof,
    /// Links refused because a later incarnation of the host is linked.
    refused_incarnation,
    /// Links refused because the mesh is closing.
    refused_closing,
    /// Frames and messages above the size limit.
    oversize,
    /// Frames that could not be decoded.
    malformed,
    /// Frames and messages of an unknown kind; they are ignored.
    unknown_kind,
    /// Frames for a stream that was never opened.
    unknown_stream,
    /// Frames that violate the protocol: out of order, or beyond the credit granted.
    violation,
    /// Frames for streams that had ended.
    late,
    /// Links that ended because nothing was received within the silence timeout.
    silent,
    /// Links lost by an error of the connection.
    lost,
    /// Streams opened by this host.
    streams_out,
    /// Streams opened by peers.
    streams_in,
    /// Streams refused because the peer had too many.
    streams_refused,
    /// Streams refused because the time of their requests was over when they arrived.
    expired,
    /// Bodies that did not have their declared length.
    wrong_length,
    /// Control messages not sent because too many bytes were queued.
    messages_dropped,
    /// Control messages sent.
    messages_out,
    /// Control messages received.
    messages_in,
    /// Bytes of control messages and pongs sent, with WebSocket headers, without TCP/IP headers.
    control_bytes_out,
    /// Bytes of frames received.
    bytes_in,
    /// Bytes of frames sent.
    bytes_out,
}
