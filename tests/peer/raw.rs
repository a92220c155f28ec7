//! A peer that sends arbitrary frames, for tests of protocol violations.

use std::net::{SocketAddr, TcpListener, TcpStream};

use bytes::Bytes;
use tokio_tungstenite::tungstenite::{self, Message as WsMessage, WebSocket};

use ragwortfold::peer::auth::{self, Side, Transcript};
use ragwortfold::peer::frame::{self, Data, Decoded, Frame, Head, Hello, Proof};

use super::node::{SECRET, TEST_TIMEOUT};

/// The host name of raw peers.
pub const RAW_PEER_NAME: &str = "ent-x";

/// A connection to a mesh.
pub struct RawPeer {
    pub socket: WebSocket<TcpStream>,
}

impl RawPeer {
    /// Connects and performs the WebSocket upgrade, without the handshake of the link.
    pub fn connect(address: SocketAddr) -> RawPeer {
        let stream = connect_tcp(address);
        let (socket, _) = tungstenite::client("ws://peer.invalid/", stream).expect("an upgrade");
        RawPeer { socket }
    }

    /// Accepts a connection and the WebSocket upgrade, without the handshake of the link.
    pub fn accept(listener: &TcpListener) -> RawPeer {
        let (stream, _) = listener.accept().expect("a connection");
        stream
            .set_read_timeout(Some(TEST_TIMEOUT))
            .expect("a time-out");
        let socket = tungstenite::accept(stream).expect("an upgrade");
        RawPeer { socket }
    }

    /// Connects to `ent-a` and authenticates.
    pub fn connect_authenticated(address: SocketAddr) -> RawPeer {
        RawPeer::connect_authenticated_with(address, hello())
    }

    pub fn connect_authenticated_with(address: SocketAddr, hello: Hello) -> RawPeer {
        let mut raw = RawPeer::connect(address);
        let transcript = raw.exchange_hellos(hello, SECRET);
        raw.send_proof(&transcript, Side::Dialling);
        let Some(Frame::Proof(proof)) = raw.next_frame() else {
            panic!("no proof");
        };
        assert!(transcript.is_proven(Side::Accepting, &proof.mac));
        raw
    }

    /// Exchanges hellos.
    pub fn exchange_hellos(&mut self, hello: Hello, secret: &str) -> Transcript {
        let own = frame::encode(&Frame::Hello(hello));
        self.send_bytes(own.clone());
        let peer_hello = self.next_bytes().expect("a hello");
        Transcript::new(secret.into(), &own, &peer_hello)
    }

    pub fn send_proof(&mut self, transcript: &Transcript, side: Side) {
        let mac = transcript.proof(side).expect("a proof");
        self.send(&Frame::Proof(Proof { mac }));
    }

    pub fn send(&mut self, frame: &Frame) {
        self.send_bytes(frame::encode(frame));
    }

    pub fn send_bytes(&mut self, bytes: impl Into<Bytes>) {
        // The other side may have closed the connection; the test notices that when it reads.
        let _ = self.socket.send(WsMessage::Binary(bytes.into()));
    }

    pub fn send_data(&mut self, stream: u64, bytes: &[u8], end: bool) {
        let data = Frame::Data(Data { stream, end });
        self.send_bytes(frame::encode_with(&data, &Bytes::copy_from_slice(bytes)));
    }

    pub fn send_head(&mut self, stream: u64, length: Option<u64>) {
        self.send(&Frame::Head(Head {
            stream,
            status: 200,
            headers: Vec::new(),
            length,
        }));
    }

    /// The next binary message. None once the connection is closed.
    pub fn next_bytes(&mut self) -> Option<Bytes> {
        loop {
            match self.socket.read() {
                Ok(WsMessage::Binary(bytes)) => return Some(bytes),
                Ok(WsMessage::Close(_)) | Err(_) => return None,
                Ok(_) => {}
            }
        }
    }

    pub fn next_frame(&mut self) -> Option<Frame> {
        match frame::decode(&self.next_bytes()?) {
            Ok(Decoded::Known(frame, _)) => Some(frame),
            other => panic!("{other:?}"),
        }
    }

    /// Reads until the next open frame.
    pub fn next_open(&mut self) -> frame::Open {
        loop {
            if let Frame::Open(open) = self.next_frame().expect("an open frame") {
                return open;
            }
        }
    }
}

pub fn connect_tcp(address: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(address).expect("a connection");
    stream
        .set_read_timeout(Some(TEST_TIMEOUT))
        .expect("a time-out");
    stream
}

/// The hello of a raw peer to `ent-a`.
pub fn hello() -> Hello {
    Hello {
        version: auth::VERSION,
        host: RAW_PEER_NAME.to_owned(),
        incarnation: 1,
        zone: "zone-b".to_owned(),
        to: Some("ent-a".to_owned()),
        nonce: auth::hex(&[7; auth::NONCE_BYTES]),
        window: 1 << 40,
        frame: 64 << 10,
    }
}

/// An open frame of an upload of unknown length.
pub fn open_frame() -> Frame {
    Frame::Open(frame::Open {
        request: "r".to_owned(),
        service: "s".to_owned(),
        class: "c".to_owned(),
        method: "PUT".to_owned(),
        path: "/".to_owned(),
        headers: Vec::new(),
        length: None,
        deadline_ms: 30_000,
        queued_ms: None,
        priority: 5,
        key: None,
        ticket: None,
        locality: None,
        block: None,
    })
}
