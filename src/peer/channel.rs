//! The state of one end of a stream, shared by the thread that uses it and the link's task.

mod body;

use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use bytes::Bytes;

use super::error::{Dispatch, StreamError};
use super::frame::{Credit, Frame};
use super::lock;
use super::stream::Reply;
use body::{IncomingBody, OutgoingBody};

/// Bytes of a body that may be buffered for the link's task. A writer blocks while the buffer is full.
const SEND_BUFFER_BYTES: usize = 64 << 10;

/// The role of this end in a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Role {
    /// This end opened the stream and sends the request.
    Caller,
    /// This end replies.
    Server,
}

/// The queue in which a stream waits for its next turn.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SendQueue {
    /// For streams on which few bytes were sent so far.
    Small,
    /// For streams with large bodies.
    Bulk,
}

/// A frame that the link's task takes from a stream.
pub(crate) struct TakenFrame {
    /// The encoded frame.
    pub(crate) bytes: Bytes,
    /// The queue for the stream's next turn, if it has more to send.
    pub(crate) requeue: Option<SendQueue>,
    /// Whether this frame opens the stream.
    pub(crate) is_open_frame: bool,
    /// Whether the reply is complete with this frame.
    pub(crate) is_last: bool,
}

/// Whether the link must queue a stream after a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum TurnRequest {
    /// The stream has nothing to send or is queued already.
    None,
    /// The stream must be put into this queue.
    Turn(SendQueue),
}

/// The peer sent a frame that the stream's state does not permit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Violation;

/// The state of a stream after a frame was received.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Received {
    /// The frame was accepted; more frames may follow.
    Accepted,
    /// The reply is complete, so the stream has ended.
    Complete,
    /// The body does not have its declared length, so the stream has failed.
    WrongLength,
}

/// Counts one stream towards the limit of a link's side, until the stream's memory is freed.
#[derive(Debug)]
pub(crate) struct Permit(Arc<AtomicUsize>);

impl Permit {
    /// Returns a permit if fewer than `limit` are in use.
    pub(crate) fn take(count: &Arc<AtomicUsize>, limit: usize) -> Option<Permit> {
        count
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, |taken| {
                (taken < limit).then_some(taken + 1)
            })
            .ok()?;
        Some(Permit(count.clone()))
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Bytes by which the windows of all streams together may exceed their initial sizes.
#[derive(Debug)]
pub(crate) struct WindowPool(AtomicUsize);

impl WindowPool {
    pub(crate) fn new(bytes: usize) -> WindowPool {
        WindowPool(AtomicUsize::new(bytes))
    }

    fn reserve(&self, bytes: usize) -> bool {
        self.0
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, |free| {
                free.checked_sub(bytes)
            })
            .is_ok()
    }

    fn release(&self, bytes: usize) {
        self.0.fetch_add(bytes, Ordering::Relaxed);
    }
}

/// Flow control windows of the streams of a link, in bytes.
#[derive(Clone, Debug)]
pub(crate) struct WindowSizes {
    /// What the peer may send on a stream before it is read from.
    pub(crate) initial: usize,
    /// What the peer may send ahead of the reader, once the stream is read from and the pool has room.
    pub(crate) full: usize,
    /// What this end may send on a stream before the peer grants credit.
    pub(crate) peer_initial: u64,
    /// The pool that the difference between `full` and `initial` is reserved from.
    pub(crate) pool: Arc<WindowPool>,
}

/// How much of its message (head and body) this end's user has queued so far.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SendProgress {
    /// Nothing.
    NotStarted,
    /// The head, and perhaps a part of the body.
    Started,
    /// All of it, or the stream failed.
    Complete,
}

type FailureHook = Box<dyn FnOnce() + Send>;

/// One end of a stream: its state, and the limits it counts towards.
pub(crate) struct Channel {
    /// The stream's number; 0 until its open frame is taken.
    number: AtomicU64,
    pub(crate) role: Role,
    _permit: Permit,
    windows: WindowSizes,
    state: Mutex<State>,
    /// Signalled when the state changes in a way that a reader or writer waits for.
    wake: Condvar,
}

struct State {
    sending: OutgoingBody,
    receiving: IncomingBody,
    reply: Option<Reply>,
    /// Why the stream failed.
    failure: Option<StreamError>,
    /// Whether the stream waits in a queue of the link.
    is_queued: bool,
    /// Called once when the stream fails.
    failure_hook: Option<FailureHook>,
}

impl Channel {
    pub(crate) fn new(number: u64, role: Role, permit: Permit, windows: WindowSizes) -> Channel {
        let state = State {
            sending: OutgoingBody {
                credit: windows.peer_initial,
                ..OutgoingBody::default()
            },
            receiving: IncomingBody {
                granted_bytes: windows.initial as u64,
                window: windows.initial,
                ..IncomingBody::default()
            },
            reply: None,
            failure: None,
            is_queued: false,
            failure_hook: None,
        };
        Channel {
            number: AtomicU64::new(number),
            role,
            _permit: permit,
            windows,
            state: Mutex::new(state),
            wake: Condvar::new(),
        }
    }

    /// The stream's number; 0 until its open frame is taken.
    pub(crate) fn number(&self) -> u64 {
        self.number.load(Ordering::Acquire)
    }

    /// Queues the open frame.
    pub(crate) fn queue_open(&self, open: Bytes, length: Option<u64>) -> TurnRequest {
        let mut state = lock(&self.state);
        state.sending.first_frame = Some(open);
        state.sending.declared_length = length;
        state.request_turn()
    }

    /// Sets the declared length of the incoming body.
    pub(crate) fn set_expected_length(&self, length: Option<u64>) {
        lock(&self.state).receiving.declared_length = length;
    }

    /// Queues the head of a reply.
    pub(crate) fn queue_head(
        &self,
        head: Bytes,
        length: Option<u64>,
    ) -> Result<TurnRequest, StreamError> {
        let mut state = lock(&self.state);
        state.check_not_failed()?;
        if state.sending.is_begun || state.sending.first_frame.is_some() {
            return Err(StreamError::InvalidState);
        }
        state.sending.first_frame = Some(head);
        state.sending.declared_length = length;
        Ok(state.request_turn())
    }

    /// Queues a frame that ends the stream in place of a reply.
    pub(crate) fn queue_final_frame(&self, last: Bytes) -> Result<TurnRequest, StreamError> {
        let mut state = lock(&self.state);
        state.check_not_failed()?;
        if state.sending.is_begun || state.sending.first_frame.is_some() {
            return Err(StreamError::InvalidState);
        }
        state.sending.first_frame = Some(last);
        state.sending.is_only_frame = true;
        Ok(state.request_turn())
    }

    /// Queues bytes of the body. Blocks while the send buffer is full.
    pub(crate) fn write_body(
        &self,
        mut bytes: &[u8],
        deadline: Instant,
        request_turn: impl Fn(TurnRequest),
    ) -> Result<(), StreamError> {
        while !bytes.is_empty() {
            let mut state = lock(&self.state);
            loop {
                state.check_writable()?;
                if state.sending.buffer.len() < SEND_BUFFER_BYTES {
                    break;
                }
                state = self.wait(state, deadline)?;
            }
            let room = SEND_BUFFER_BYTES - state.sending.buffer.len();
            let (accepted, rest) = bytes.split_at(room.min(bytes.len()));
            state.sending.push_bytes(accepted)?;
            bytes = rest;
            let turn_request = state.request_turn();
            drop(state);
            request_turn(turn_request);
        }
        Ok(())
    }

    /// Marks the body as complete.
    pub(crate) fn finish_body(&self) -> Result<TurnRequest, StreamError> {
        let mut state = lock(&self.state);
        match state.check_writable() {
            Err(StreamError::ReplyComplete) => return Ok(TurnRequest::None),
            checked => checked?,
        }
        let sending = &mut state.sending;
        if let Some(declared) = sending.declared_length {
            if sending.accepted_bytes != declared {
                return Err(StreamError::WrongLength {
                    declared,
                    actual: sending.accepted_bytes,
                });
            }
        }
        sending.is_finished = true;
        Ok(state.request_turn())
    }

    /// Waits for the start of the reply: its head or the frame that replaces it.
    pub(crate) fn read_reply(&self, until: Instant) -> Result<Reply, StreamError> {
        let mut state = lock(&self.state);
        loop {
            if let Some(reply) = &state.reply {
                return Ok(reply.clone());
            }
            if let Some(failure) = &state.failure {
                return Err(failure.clone());
            }
            state = self.wait(state, until)?;
        }
    }

    /// Reads from the body. Returns the number of bytes, 0 at its end, and a credit frame to send, if any.
    pub(crate) fn read_body(
        &self,
        buffer: &mut [u8],
        until: Instant,
    ) -> Result<(usize, Option<Frame>), StreamError> {
        let mut state = lock(&self.state);
        loop {
            if state.receiving.buffered > 0 || buffer.is_empty() {
                let count = state.receiving.read_into(buffer);
                let credit = self.replenish_credit(&mut state.receiving);
                return Ok((count, credit));
            }
            if state.receiving.is_ended {
                return Ok((0, None));
            }
            if matches!(
                state.reply,
                Some(Reply::Refused { .. } | Reply::Unknown { .. })
            ) {
                return Err(StreamError::InvalidState);
            }
            if let Some(failure) = &state.failure {
                return Err(failure.clone());
            }
            state = self.wait(state, until)?;
        }
    }

    /// Grants credit once at least a quarter of the window is free. Enlarges the window first, once per
    /// stream, if the body may exceed it and the pool has room.
    fn replenish_credit(&self, receiving: &mut IncomingBody) -> Option<Frame> {
        if receiving.is_ended || receiving.is_rest_granted() {
            return None;
        }
        let extra = self.windows.full.saturating_sub(self.windows.initial);
        let is_initial_window = receiving.window == self.windows.initial;
        if is_initial_window
            && receiving.may_exceed_window()
            && extra > 0
            && self.windows.pool.reserve(extra)
        {
            receiving.window += extra;
        }
        let used = receiving.granted_bytes + receiving.buffered as u64;
        let bytes = (receiving.window as u64).saturating_sub(used);
        if bytes < receiving.window as u64 / 4 {
            return None;
        }
        receiving.granted_bytes += bytes;
        Some(Frame::Credit(Credit {
            stream: self.number(),
            bytes,
        }))
    }

    /// Abandons the stream at this end. None if it had ended already.
    pub(crate) fn abandon(&self, failure: StreamError) -> Option<Dispatch> {
        let state = lock(&self.state);
        if state.failure.is_some() || state.is_complete(self.role) {
            return None;
        }
        let dispatch = state.dispatch();
        self.fail(state, failure);
        Some(dispatch)
    }

    /// Whether the request may have been sent to the other host.
    pub(crate) fn dispatch(&self) -> Dispatch {
        lock(&self.state).dispatch()
    }

    /// How much of its message this end's user has queued so far.
    pub(crate) fn progress(&self) -> SendProgress {
        let state = lock(&self.state);
        let sending = &state.sending;
        if sending.is_finished || sending.is_only_frame || state.failure.is_some() {
            return SendProgress::Complete;
        }
        match sending.is_begun || sending.first_frame.is_some() {
            true => SendProgress::Started,
            false => SendProgress::NotStarted,
        }
    }

    /// Whether the stream failed or was cancelled.
    pub(crate) fn is_failed(&self) -> bool {
        lock(&self.state).failure.is_some()
    }

    /// Calls a hook when the stream fails; at once if it has failed already.
    pub(crate) fn on_failure(&self, hook: FailureHook) {
        let mut state = lock(&self.state);
        if state.failure.is_none() {
            state.failure_hook = Some(hook);
            return;
        }
        drop(state);
        hook();
    }

    /// Takes the next frame to send, for the link's task. `next` becomes the number of a stream that has
    /// none yet.
    pub(crate) fn take_frame(&self, next: u64) -> Option<TakenFrame> {
        let mut state = lock(&self.state);
        let is_open_frame = self.number() == 0;
        let bytes = state.sending.next_frame(self.number());
        let requeue = state.requeue();
        let Some(bytes) = bytes else {
            debug_assert!(requeue.is_none());
            return None;
        };
        if is_open_frame {
            self.number.store(next, Ordering::Release);
        }
        let is_last = self.role == Role::Server && state.sending.is_ended;
        if state.sending.buffer.len() < SEND_BUFFER_BYTES {
            self.wake.notify_all();
        }
        Some(TakenFrame {
            bytes,
            requeue,
            is_open_frame,
            is_last,
        })
    }

    /// Adds credit granted by the peer.
    pub(crate) fn on_credit(&self, bytes: u64) -> TurnRequest {
        let mut state = lock(&self.state);
        state.sending.credit = state.sending.credit.saturating_add(bytes);
        state.request_turn()
    }

    /// Adds received bytes of the body.
    pub(crate) fn on_data(&self, bytes: Bytes, is_end: bool) -> Result<Received, Violation> {
        let mut state = lock(&self.state);
        let is_early =
            self.role == Role::Caller && !matches!(state.reply, Some(Reply::Head { .. }));
        let receiving = &mut state.receiving;
        if is_early || receiving.is_ended || bytes.len() as u64 > receiving.granted_bytes {
            return Err(Violation);
        }
        receiving.push_bytes(bytes);
        receiving.is_ended = is_end;
        if let Some(error) = receiving.length_error() {
            receiving.is_ended = false;
            self.fail(state, error);
            return Ok(Received::WrongLength);
        }
        Ok(self.finish_receive(&mut state))
    }

    /// Stores a received reply.
    pub(crate) fn on_reply(&self, reply: Reply) -> Result<Received, Violation> {
        let mut state = lock(&self.state);
        if state.reply.is_some() {
            return Err(Violation);
        }
        if let Reply::Head { length, .. } = &reply {
            state.receiving.declared_length = *length;
        }
        state.reply = Some(reply);
        Ok(self.finish_receive(&mut state))
    }

    /// Fails the stream, unless it is complete: the other end abandoned it or the link ended.
    pub(crate) fn on_interrupted(&self) {
        let state = lock(&self.state);
        if state.is_complete(self.role) {
            return;
        }
        let failure = match (self.role, &state.reply, state.dispatch()) {
            (Role::Server, ..) => StreamError::Cancelled,
            (Role::Caller, Some(_), _) => StreamError::Truncated,
            (Role::Caller, None, Dispatch::Sent) => StreamError::Uncertain,
            (Role::Caller, None, Dispatch::NotSent) => StreamError::NotSent,
        };
        self.fail(state, failure);
    }

    /// Wakes the stream's user. Discards the rest of the request if the reply is complete.
    fn finish_receive(&self, state: &mut State) -> Received {
        self.wake.notify_all();
        if self.role == Role::Server || !state.is_reply_complete() {
            return Received::Accepted;
        }
        state.sending.discard();
        Received::Complete
    }

    fn fail(&self, mut state: MutexGuard<'_, State>, failure: StreamError) {
        state.sending.discard();
        state.failure.get_or_insert(failure);
        let hook = state.failure_hook.take();
        self.wake.notify_all();
        drop(state);
        if let Some(hook) = hook {
            hook();
        }
    }

    fn wait<'a>(
        &self,
        state: MutexGuard<'a, State>,
        until: Instant,
    ) -> Result<MutexGuard<'a, State>, StreamError> {
        let left = until.saturating_duration_since(Instant::now());
        if left == Duration::ZERO {
            return Err(StreamError::Timeout);
        }
        let (state, _) = self
            .wake
            .wait_timeout(state, left)
            .unwrap_or_else(PoisonError::into_inner);
        Ok(state)
    }
}

impl Drop for Channel {
    fn drop(&mut self) {
        let window = lock(&self.state).receiving.window;
        self.windows.pool.release(window - self.windows.initial);
    }
}

impl State {
    fn check_not_failed(&self) -> Result<(), StreamError> {
        match &self.failure {
            Some(failure) => Err(failure.clone()),
            None => Ok(()),
        }
    }

    fn check_writable(&self) -> Result<(), StreamError> {
        if self.is_reply_complete() {
            return Err(StreamError::ReplyComplete);
        }
        self.check_not_failed()?;
        if self.sending.is_finished || self.sending.is_only_frame {
            return Err(StreamError::InvalidState);
        }
        if !self.sending.is_begun && self.sending.first_frame.is_none() {
            return Err(StreamError::InvalidState);
        }
        Ok(())
    }

    /// Whether the whole reply was received.
    fn is_reply_complete(&self) -> bool {
        match &self.reply {
            None => false,
            Some(Reply::Head { .. }) => self.receiving.is_ended,
            Some(_) => true,
        }
    }

    fn is_complete(&self, role: Role) -> bool {
        match role {
            Role::Caller => self.is_reply_complete(),
            Role::Server => self.sending.is_ended,
        }
    }

    fn dispatch(&self) -> Dispatch {
        match self.sending.is_begun {
            true => Dispatch::Sent,
            false => Dispatch::NotSent,
        }
    }

    /// Requests a turn if there is something to send and the stream is not queued yet.
    fn request_turn(&mut self) -> TurnRequest {
        if self.is_queued || !self.sending.is_ready() {
            return TurnRequest::None;
        }
        self.is_queued = true;
        TurnRequest::Turn(self.sending.send_queue())
    }

    /// The queue for another turn, if there is more to send.
    fn requeue(&mut self) -> Option<SendQueue> {
        self.is_queued = self.sending.is_ready();
        self.is_queued.then(|| self.sending.send_queue())
    }
}
