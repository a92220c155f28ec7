//! Many clients at once that send large requests, most of which stop just short of their end and stay open.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

use socket2::{Domain, Socket, Type};

/// One client of so many completes its request.
const COMPLETE_EVERY: usize = 8;
/// Bytes that the other clients hold back.
const HELD_BACK_BYTES: usize = 16;
/// The crowd is done when no client could write for so long.
const QUIET: Duration = Duration::from_secs(2);
/// Longest time that a crowd writes.
const MAX_SENDING_TIME: Duration = Duration::from_secs(90);
/// Receive buffer of a client, in bytes: none reads its answer, and what it does not take stays on the other side.
const RECEIVE_BUFFER_BYTES: usize = 4 << 10;
/// Interval in which a process that has handled all it was sent takes at most so many ticks of 10 ms.
const SETTLING_INTERVAL: Duration = Duration::from_millis(500);
const MAX_IDLE_TICKS: u64 = 5;
/// Pause between two rounds in which no client could write.
const RETRY_PAUSE: Duration = Duration::from_millis(2);

/// How the body of a request is framed.
#[derive(Clone, Copy, Debug)]
pub enum Framing {
    /// Its length is announced.
    Length,
    /// In chunks of so many bytes.
    Chunks(usize),
}

impl Framing {
    /// The header that announces a body of `bytes` bytes.
    fn header(self, bytes: usize) -> String {
        match self {
            Self::Length => format!("Content-Length: {bytes}\r\n"),
            Self::Chunks(_) => "Transfer-Encoding: chunked\r\n".into(),
        }
    }

    fn encode(self, bytes: usize) -> Vec<u8> {
        let Self::Chunks(size) = self else {
            return vec![b'b'; bytes];
        };
        let mut encoded = Vec::new();
        let mut left = bytes;
        while left > 0 {
            let count = left.min(size);
            encoded.extend(format!("{count:x}\r\n").into_bytes());
            encoded.resize(encoded.len() + count, b'b');
            encoded.extend(b"\r\n");
            left -= count;
        }
        encoded.extend(b"0\r\n\r\n");
        encoded
    }
}

/// What the clients of a crowd send.
#[derive(Clone, Copy, Debug)]
pub struct Plan {
    /// Number of clients.
    pub clients: usize,
    /// Length of each body.
    pub body_bytes: usize,
    pub framing: Framing,
    /// Bytes that one client writes before it is the next one's turn.
    pub piece_bytes: usize,
}

/// Clients whose connections stay open until this is dropped.
pub struct Crowd {
    streams: Vec<TcpStream>,
}

/// What one client has received.
#[derive(Clone, Debug)]
pub struct Response {
    /// The client's number.
    pub number: usize,
    pub text: String,
    /// Whether the other side has closed the connection.
    pub is_closed: bool,
}

/// One client and what it has still to write.
struct Client {
    stream: TcpStream,
    head: Vec<u8>,
    /// Bytes of head and body that have been written.
    written: usize,
    /// Bytes of head and body that it writes in all.
    total: usize,
}

impl Client {
    /// Writes the next piece. Returns whether anything could be written.
    fn write(&mut self, body: &[u8], piece_bytes: usize) -> bool {
        let rest = match self.head.get(self.written..) {
            Some(rest) if !rest.is_empty() => rest,
            _ => &body[self.written - self.head.len()..self.total - self.head.len()],
        };
        let piece = &rest[..rest.len().min(piece_bytes)];
        match self.stream.write(piece) {
            Ok(count) => {
                self.written += count;
                count > 0
            }
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => false,
            Err(_) => {
                // The connection was closed.
                self.total = self.written;
                true
            }
        }
    }
}

impl Crowd {
    /// Has all clients of a plan connect to `address` and write until the other side takes no more. `head` builds the beginning of
    /// the head of a client's request, up to the header that announces the body.
    ///
    /// # Errors
    ///
    /// A client cannot connect.
    pub fn new(
        address: SocketAddr,
        plan: &Plan,
        head: impl Fn(usize) -> String,
    ) -> io::Result<Self> {
        let body = plan.framing.encode(plan.body_bytes);
        let announcement = plan.framing.header(plan.body_bytes);
        let requests = (0..plan.clients).map(|number| {
            let held_back = if number % COMPLETE_EVERY == 0 {
                0
            } else {
                HELD_BACK_BYTES
            };
            let head = format!("{}{announcement}\r\n", head(number));
            (head, body.len() - held_back)
        });
        Self::write_all(address, &body, plan.piece_bytes, requests.collect())
    }

    /// Has `clients` clients write a request without a body, which `request` builds. None of them reads.
    ///
    /// # Errors
    ///
    /// A client cannot connect.
    pub fn with_requests(
        address: SocketAddr,
        clients: usize,
        request: impl Fn(usize) -> String,
    ) -> io::Result<Self> {
        let requests = (0..clients).map(|number| (request(number), 0));
        Self::write_all(address, &[], usize::MAX, requests.collect())
    }

    /// Writes a head and so many bytes of `body` on each connection.
    fn write_all(
        address: SocketAddr,
        body: &[u8],
        piece_bytes: usize,
        requests: Vec<(String, usize)>,
    ) -> io::Result<Self> {
        let mut clients = Vec::new();
        for (head, body_bytes) in requests {
            let stream = connect(address)?;
            stream.set_nonblocking(true)?;
            stream.set_nodelay(true)?;
            clients.push(Client {
                stream,
                written: 0,
                total: head.len() + body_bytes,
                head: head.into_bytes(),
            });
        }
        let began_at = Instant::now();
        let mut last_progress = Instant::now();
        while last_progress.elapsed() < QUIET && began_at.elapsed() < MAX_SENDING_TIME {
            let mut has_progressed = false;
            let mut is_done = true;
            for client in clients
                .iter_mut()
                .filter(|client| client.written < client.total)
            {
                is_done = false;
                has_progressed |= client.write(body, piece_bytes);
            }
            if is_done {
                break;
            }
            if has_progressed {
                last_progress = Instant::now();
            } else {
                thread::sleep(RETRY_PAUSE);
            }
        }
        let streams = clients.into_iter().map(|client| client.stream);
        Ok(Self {
            streams: streams.collect(),
        })
    }

    /// Returns what has been received by the clients that have received anything.
    pub fn responses(&self) -> Vec<Response> {
        let responses = self.streams.iter().enumerate();
        let responses = responses.map(|(number, stream)| {
            let mut stream = stream;
            let mut bytes = Vec::new();
            let end = stream.read_to_end(&mut bytes);
            let is_open = end.is_err_and(|error| error.kind() == io::ErrorKind::WouldBlock);
            Response {
                number,
                text: String::from_utf8_lossy(&bytes).into_owned(),
                is_closed: !is_open,
            }
        });
        responses
            .filter(|response| !response.text.is_empty())
            .collect()
    }
}

fn connect(address: SocketAddr) -> io::Result<TcpStream> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, None)?;
    socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES)?;
    socket.connect(&address.into())?;
    Ok(socket.into())
}

/// What the kernel tells of a process.
#[derive(Clone, Copy, Debug)]
pub struct Usage {
    /// The most memory that it had at any time, in bytes.
    pub peak_memory: u64,
    /// Open descriptors.
    pub descriptors: usize,
}

/// Waits until a process has handled what it was sent: until it takes hardly any processor time.
///
/// # Errors
///
/// The process has ended.
pub fn settle(process: u32) -> io::Result<()> {
    let began_at = Instant::now();
    let mut before = processor_ticks(process)?;
    loop {
        thread::sleep(SETTLING_INTERVAL);
        let ticks = processor_ticks(process)?;
        if ticks - before <= MAX_IDLE_TICKS || began_at.elapsed() > MAX_SENDING_TIME {
            return Ok(());
        }
        before = ticks;
    }
}

/// The processor time that a process has used, in ticks of the kernel.
fn processor_ticks(process: u32) -> io::Result<u64> {
    let stat = std::fs::read_to_string(format!("/proc/{process}/stat"))?;
    // The name of the program, in parentheses, may contain spaces.
    let fields = stat.rsplit_once(')').map_or("", |(_, fields)| fields);
    let times = fields.split_whitespace().skip(11).take(2);
    Ok(times.filter_map(|time| time.parse::<u64>().ok()).sum())
}

impl Usage {
    /// Reads the figures of a process.
    ///
    /// # Errors
    ///
    /// The process has ended.
    pub fn new(process: u32) -> io::Result<Self> {
        let status = std::fs::read_to_string(format!("/proc/{process}/status"))?;
        let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
        let kilobytes = peak.and_then(|text| text.split_whitespace().next()?.parse::<u64>().ok());
        let kilobytes = kilobytes.ok_or_else(|| io::Error::other("the process has ended"))?;
        let descriptors = std::fs::read_dir(format!("/proc/{process}/fd"))?.count();
        Ok(Self {
            peak_memory: kilobytes << 10,
            descriptors,
        })
    }
}
