//! Counters of what a mesh accepted, refused and lost.

use std::sync::atomic::{AtomicU64, Ordering};

/// Makes [`Counters`] and the atomics behind it from one list.
macro_rules! counters {
    ($($(#[doc = $doc:literal])+ $name:ident,)+) => {
        /// Counts since the mesh was made.
        #[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
        pub struct Counters {
            $($(#[doc = $doc])+ pub $name: u64,)+
        }

        impl Counters {
            /// Names and values.
            pub fn iter(&self) -> impl Iterator<Item = (&'static str, u64)> {
                [$((stringify!($name), self.$name)),+].into_iter()
            }
        }

        /// The counters while they are in use.
        #[derive(Debug, Default)]
        pub(crate) struct Tally {
            $(pub(crate) $name: Count,)+
        }

        impl Tally {
            pub(crate) fn counters(&self) -> Counters {
                Counters { $($name: self.$name.0.load(Ordering::Relaxed),)+ }
            }
        }
    };
}

/// One counter.
#[derive(Debug, Default)]
pub(crate) struct Count(AtomicU64);

impl Count {
    pub(crate) fn add(&self, count: u64) {
        self.0.fetch_add(count, Ordering::Relaxed);
    }

    pub(crate) fn one(&self) {
        self.add(1);
    }
}

counters! {
    /// Links that were authenticated, both directions.
    links,
    /// Tries to connect that failed.
    connect_failed,
    /// Connections closed at once because too many were in their handshake.
    refused_pending,
    /// Handshakes that were not WebSocket or not the frames expected.
    refused_handshake,
    /// Handshakes that took too long.
    refused_slow,
    /// Handshakes with a protocol version that is not spoken here.
    refused_version,
    /// Handshakes of or for another host than expected.
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
    /// Frames and messages of a kind that is not known here; they are ignored.
    unknown_kind,
    /// Frames for a stream that was never opened.
    unknown_stream,
    /// Frames that a peer may not send: out of turn, or beyond its credit.
    violation,
    /// Frames for streams that had ended.
    late,
    /// Links that were silent too long.
    silent,
    /// Links lost by an error of the connection.
    lost,
    /// Streams opened by this host.
    streams_out,
    /// Streams opened by peers.
    streams_in,
    /// Streams refused because the peer had too many.
    streams_refused,
    /// Bodies whose length was not the declared one.
    wrong_length,
    /// Control messages not sent because too many were waiting.
    messages_dropped,
    /// Control messages sent.
    messages_out,
    /// Control messages received.
    messages_in,
    /// Bytes of control messages and signs of life sent, with WebSocket headers, without TCP/IP.
    control_bytes_out,
    /// Bytes of frames received.
    bytes_in,
    /// Bytes of frames sent.
    bytes_out,
}
