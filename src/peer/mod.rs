//! Links between entry hosts: WebSocket connections that carry CBOR frames.
