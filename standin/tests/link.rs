//! Tests of the link's faults that other tests depend on.

#![allow(clippy::unwrap_used)]

use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

use socket2::SockRef;
use standin::link::{Accept, Fault, Flow, Link};

const TIMEOUT: Duration = Duration::from_secs(20);

fn any_port() -> SocketAddr {
    "127.0.0.1:0".parse().unwrap()
}

/// Starts a far end that sends all bytes back.
fn start_echo() -> SocketAddr {
    let listener = TcpListener::bind(any_port()).unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        for stream in listener.incoming() {
            let stream = stream.unwrap();
            thread::spawn(move || {
                let _ = std::io::copy(&mut &stream, &mut &stream);
                let _ = stream.shutdown(Shutdown::Write);
            });
        }
    });
    address
}

fn connect(link: &Link) -> TcpStream {
    let stream = TcpStream::connect(link.address()).unwrap();
    stream.set_read_timeout(Some(TIMEOUT)).unwrap();
    stream
}

/// Sends bytes and closes the sending side; returns the number of bytes received and the error at the end. The system reports a
/// reset only once, to the reader or to the writer, whichever comes first.
fn exchange(mut stream: TcpStream, bytes: &[u8]) -> (usize, Option<ErrorKind>) {
    let mut writer = stream.try_clone().unwrap();
    let bytes = bytes.to_vec();
    let sender = thread::spawn(move || {
        let sent = writer.write_all(&bytes).err().map(|error| error.kind());
        let _ = writer.shutdown(Shutdown::Write);
        sent.filter(|&kind| kind == ErrorKind::ConnectionReset)
    });
    let mut back = Vec::new();
    let end = stream
        .read_to_end(&mut back)
        .err()
        .map(|error| error.kind());
    let reset = sender.join().unwrap();
    (back.len(), end.or(reset))
}

macro_rules! case {
    ($($name:ident: $run:expr;)*) => {
        $(#[test] fn $name() { let link = Link::new(any_port(), start_echo()).unwrap(); $run(&link); })*
    };
}

case! {
    bytes_pass: |link: &Link| {
        assert_eq!(exchange(connect(link), &[7; 3_000_000]), (3_000_000, None));
        assert_eq!(link.bytes(), [3_000_000; 2]);
    };
    a_delay_keeps_the_throughput: |link: &Link| {
        let delay = Duration::from_millis(40);
        link.set_fault(Fault::delay(delay));
        let start = Instant::now();
        assert_eq!(exchange(connect(link), &[7; 4_000_000]), (4_000_000, None));
        let elapsed = start.elapsed();
        assert!(elapsed >= 2 * delay, "{elapsed:?}");
        // With one chunk in flight at a time it would take 245 delays.
        assert!(elapsed < 100 * delay, "{elapsed:?}");
    };
    bandwidth_is_limited: |link: &Link| {
        let forth = Flow { bytes_per_s: 1_000_000, ..Flow::default() };
        link.set_fault(Fault { forth, ..Fault::default() });
        let start = Instant::now();
        assert_eq!(exchange(connect(link), &[7; 200_000]), (200_000, None));
        assert!(start.elapsed() >= Duration::from_millis(199));
    };
    a_cut_counts_the_bytes_of_its_direction: |link: &Link| {
        let cut = Flow { cut_after: Some(1000), ..Flow::default() };
        for (fault, direction) in [
            (Fault { back: cut, ..Fault::default() }, 1),
            (Fault { forth: cut, ..Fault::default() }, 0),
        ] {
            let before = link.bytes()[direction];
            link.set_fault(fault);
            // The sender keeps its side open, so that only the fault ends the connection.
            let mut stream = connect(link);
            stream.write_all(&[7; 5000]).unwrap();
            let mut back = Vec::new();
            let end = stream.read_to_end(&mut back).map_err(|error| error.kind());
            assert!(!matches!(end, Err(ErrorKind::WouldBlock)), "{direction}");
            assert!(back.len() <= 1000);
            assert_eq!(link.bytes()[direction] - before, 1000);
        }
    };
    a_black_hole_holds_the_bytes: |link: &Link| {
        let mut stream = connect(link);
        let mut byte = [0];
        stream.write_all(b"a").unwrap();
        stream.read_exact(&mut byte).unwrap();
        link.set_fault(Fault::default().with_black_hole());
        stream.write_all(b"b").unwrap();
        stream.set_read_timeout(Some(Duration::from_millis(50))).unwrap();
        assert_eq!(stream.read(&mut byte).unwrap_err().kind(), ErrorKind::WouldBlock);
        link.set_fault(Fault::default());
        stream.set_read_timeout(Some(TIMEOUT)).unwrap();
        stream.read_exact(&mut byte).unwrap();
        assert_eq!(&byte, b"b");
    };
    a_black_hole_delivers_bytes_of_a_closed_connection_and_loses_those_of_a_reset_one: |link: &Link| {
        for (linger, expected) in [(None, 1), (Some(Duration::ZERO), 0)] {
            let mut stream = connect(link);
            stream.write_all(b"a").unwrap();
            stream.read_exact(&mut [0]).unwrap();
            link.set_fault(Fault::default().with_black_hole());
            let before = link.bytes()[0];
            stream.write_all(b"b").unwrap();
            thread::sleep(Duration::from_millis(50));
            SockRef::from(&stream).set_linger(linger).unwrap();
            drop(stream);
            thread::sleep(Duration::from_millis(50));
            link.set_fault(Fault::default());
            thread::sleep(Duration::from_millis(100));
            assert_eq!(link.bytes()[0] - before, expected, "{linger:?}");
        }
    };
    open_connections_are_reset: |link: &Link| {
        let mut stream = connect(link);
        stream.write_all(b"a").unwrap();
        stream.read_exact(&mut [0]).unwrap();
        link.set_fault(Fault { reset_open: true, ..Fault::default() });
        assert_eq!(stream.read(&mut [0]).unwrap_err().kind(), ErrorKind::ConnectionReset);
    };
    new_connections_are_ignored_and_later_accepted: |link: &Link| {
        link.set_fault(Fault { accept: Accept::Ignore, ..Fault::default() });
        let ignored = TcpStream::connect_timeout(&link.address(), Duration::from_millis(300));
        assert_eq!(ignored.unwrap_err().kind(), ErrorKind::TimedOut);
        link.set_fault(Fault::default());
        let accepted = TcpStream::connect_timeout(&link.address(), Duration::from_secs(5));
        assert!(accepted.is_ok());
    };
    new_connections_are_accepted_late_one_after_the_other: |link: &Link| {
        link.set_fault(Fault { accept: Accept::Late(700), ..Fault::default() });
        let connect = || TcpStream::connect_timeout(&link.address(), Duration::from_millis(300));
        let opened: Vec<_> = (0..6).map(|_| connect()).filter_map(Result::ok).collect();
        assert!((1..6).contains(&opened.len()), "{}", opened.len());
        thread::sleep(Duration::from_millis(1000));
        assert!((1..4).contains(&link.accepted()), "{}", link.accepted());
        link.set_fault(Fault::default());
        assert!(TcpStream::connect_timeout(&link.address(), Duration::from_secs(5)).is_ok());
    };
    new_connections_are_refused_or_reset: |link: &Link| {
        link.set_fault(Fault { accept: Accept::Refuse, ..Fault::default() });
        let refused = TcpStream::connect(link.address()).unwrap_err();
        assert_eq!(refused.kind(), ErrorKind::ConnectionRefused);
        link.set_fault(Fault { accept: Accept::Reset, ..Fault::default() });
        assert_eq!(connect(link).read(&mut [0]).unwrap_err().kind(), ErrorKind::ConnectionReset);
        link.set_fault(Fault::default());
        assert_eq!(exchange(connect(link), b"a"), (1, None));
    };
}

#[test]
fn a_link_refuses_while_its_far_end_refuses() {
    let listener = TcpListener::bind(any_port()).unwrap();
    let far_address = listener.local_addr().unwrap();
    drop(listener);
    let link = Link::new(any_port(), far_address).unwrap();
    let end = Instant::now() + TIMEOUT;
    let is_refused = |error: std::io::Error| error.kind() == ErrorKind::ConnectionRefused;
    while !TcpStream::connect(link.address()).is_err_and(is_refused) {
        assert!(Instant::now() < end);
        thread::sleep(Duration::from_millis(1));
    }
    let _far_end = TcpListener::bind(far_address).unwrap();
    while TcpStream::connect(link.address()).is_err() {
        assert!(Instant::now() < end);
        thread::sleep(Duration::from_millis(1));
    }
}

#[test]
fn a_source_has_its_own_fault_and_byte_count() {
    let link = Link::new(any_port(), start_echo()).unwrap();
    let fault = Fault {
        accept: Accept::Reset,
        ..Fault::default()
    };
    link.set_fault_from("127.0.0.9".parse().unwrap(), fault);
    link.set_fault_from("127.0.0.1".parse().unwrap(), Fault::default());
    assert_eq!(exchange(connect(&link), &[7; 1_000]), (1_000, None));
    assert_eq!(link.bytes_from("127.0.0.1".parse().unwrap()), [1_000; 2]);
    assert_eq!(link.bytes(), [0; 2]);
    let other = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
    let from: SocketAddr = "127.0.0.9:0".parse().unwrap();
    other.bind(&from.into()).unwrap();
    other.connect(&link.address().into()).unwrap();
    let (count, end) = exchange(other.into(), &[7; 1_000]);
    assert_eq!((count, end), (0, Some(ErrorKind::ConnectionReset)));
}

#[test]
fn the_far_end_sees_the_source() {
    let listener = TcpListener::bind(any_port()).unwrap();
    let link = Link::new(any_port(), listener.local_addr().unwrap())
        .unwrap()
        .with_source();
    let near = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
    let from: SocketAddr = "127.0.0.9:0".parse().unwrap();
    near.bind(&from.into()).unwrap();
    near.connect(&link.address().into()).unwrap();
    let (_, peer) = listener.accept().unwrap();
    assert_eq!(peer.ip(), from.ip());
}

/// With every second chunk lost some bytes come much later than others, and all in order.
#[test]
fn lost_chunks_arrive_later_and_in_order() {
    const CHUNKS: usize = 40;
    const RETRANSMIT: Duration = Duration::from_millis(40);
    let link = Link::new(any_port(), start_echo()).unwrap().with_seed(1);
    link.set_fault(Fault::default().with_loss(500, RETRANSMIT));
    let mut stream = connect(&link);
    let mut writer = stream.try_clone().unwrap();
    let started_at = Instant::now();
    let sender = thread::spawn(move || {
        for chunk in 0..CHUNKS as u8 {
            writer.write_all(&[chunk]).unwrap();
            thread::sleep(Duration::from_millis(5));
        }
        writer.shutdown(Shutdown::Write).unwrap();
    });
    let mut received = Vec::new();
    stream.read_to_end(&mut received).unwrap();
    sender.join().unwrap();
    assert_eq!(received, (0..CHUNKS as u8).collect::<Vec<_>>());
    assert!(started_at.elapsed() > Duration::from_millis(5) * CHUNKS as u32 + RETRANSMIT);
}
