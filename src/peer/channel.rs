//! The state of one stream at one end, shared by the thread that uses it and by the link's task.

mod body;

use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use bytes::Bytes;

use super::error::{Dispatch, StreamError};
use super::frame::{Credit, Frame};
use super::lock;
use super::stream::Reply;
use body::{Receiving, Sending};

/// Bytes of a body that may wait for the link's task; a writer blocks above it.
const SEND_BUFFER: usize = 64 << 10;

/// Which end of a stream this is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum End {
    /// The end that opened it.
    Caller,
    /// The end that replies.
    Server,
}

/// Which queue a stream waits in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Size {
    /// Little was sent on it so far.
    Small,
    /// A large body.
    Bulk,
}

/// What the link's task takes from a stream.
pub(crate) struct Taken {
    /// The encoded frame.
    pub(crate) bytes: Bytes,
    /// Whether and where the stream waits for its next turn.
    pub(crate) again: Option<Size>,
    /// Whether this is the open frame.
    pub(crate) opens: bool,
    /// Whether the stream has ended at this end.
    pub(crate) ended: bool,
}

/// What a stream wants of the link after a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Wish {
    /// Nothing.
    None,
    /// A place in a queue.
    Turn(Size),
}

/// A frame that the peer may not send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Violation;

/// What a frame meant for its stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Arrival {
    /// More may come.
    More,
    /// The stream has ended.
    End,
    /// The body's length is wrong: the stream has failed.
    Wrong,
}

/// A place among the streams of one side of a link, held until the stream's memory is free.
#[derive(Debug)]
pub(crate) struct Permit(Arc<AtomicUsize>);

impl Permit {
    /// Takes a place if fewer than `limit` are taken.
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

/// Bytes that the windows of all streams may take beyond their first size.
#[derive(Debug)]
pub(crate) struct Pool(AtomicUsize);

impl Pool {
    pub(crate) fn new(bytes: usize) -> Pool {
        Pool(AtomicUsize::new(bytes))
    }

    fn take(&self, bytes: usize) -> bool {
        self.0
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, |free| {
                free.checked_sub(bytes)
            })
            .is_ok()
    }

    fn give(&self, bytes: usize) {
        self.0.fetch_add(bytes, Ordering::Relaxed);
    }
}

/// Window sizes of the streams of a link.
#[derive(Clone, Debug)]
pub(crate) struct Windows {
    /// What the peer may send on a stream at first.
    pub(crate) first: usize,
    /// What it may send ahead once the stream is read from.
    pub(crate) full: usize,
    /// What this end may send on a stream at first.
    pub(crate) peer: u64,
    /// Where the difference is taken from.
    pub(crate) pool: Arc<Pool>,
}

/// How much of what this end sends was handed over by its user.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Progress {
    /// Not even a head.
    None,
    /// A head, and perhaps a part of the body.
    Begun,
    /// All of it.
    Whole,
}

type Hook = Box<dyn FnOnce() + Send>;

/// One end of one stream.
pub(crate) struct Channel {
    /// The stream's number; 0 until its open frame is taken.
    number: AtomicU64,
    pub(crate) end: End,
    _permit: Permit,
    windows: Windows,
    state: Mutex<State>,
    wake: Condvar,
}

struct State {
    sending: Sending,
    receiving: Receiving,
    reply: Option<Reply>,
    failure: Option<StreamError>,
    queued: bool,
    hook: Option<Hook>,
}

impl Channel {
    pub(crate) fn new(number: u64, end: End, permit: Permit, windows: Windows) -> Channel {
        let state = State {
            sending: Sending {
                credit: windows.peer,
                ..Sending::default()
            },
            receiving: Receiving {
                granted: windows.first as u64,
                window: windows.first,
                ..Receiving::default()
            },
            reply: None,
            failure: None,
            queued: false,
            hook: None,
        };
        Channel {
            number: AtomicU64::new(number),
            end,
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

    /// Sets the open frame.
    pub(crate) fn start(&self, open: Bytes, length: Option<u64>) -> Wish {
        let mut state = lock(&self.state);
        state.sending.first = Some(open);
        state.sending.declared = length;
        state.wish()
    }

    /// States the length of the body that is to come in.
    pub(crate) fn expect(&self, length: Option<u64>) {
        lock(&self.state).receiving.declared = length;
    }

    /// Queues the head of a reply.
    pub(crate) fn put_head(&self, head: Bytes, length: Option<u64>) -> Result<Wish, StreamError> {
        let mut state = lock(&self.state);
        state.check()?;
        if state.sending.begun || state.sending.first.is_some() {
            return Err(StreamError::Order);
        }
        state.sending.first = Some(head);
        state.sending.declared = length;
        Ok(state.wish())
    }

    /// Queues a frame that ends the stream in place of a reply.
    pub(crate) fn put_last(&self, last: Bytes) -> Result<Wish, StreamError> {
        let mut state = lock(&self.state);
        state.check()?;
        if state.sending.begun || state.sending.first.is_some() {
            return Err(StreamError::Order);
        }
        state.sending.first = Some(last);
        state.sending.only = true;
        Ok(state.wish())
    }

    /// Takes bytes of the body; waits while too many are queued.
    pub(crate) fn write(
        &self,
        mut bytes: &[u8],
        deadline: Instant,
        wish: impl Fn(Wish),
    ) -> Result<(), StreamError> {
        while !bytes.is_empty() {
            let mut state = lock(&self.state);
            loop {
                state.check_writable()?;
                if state.sending.buffer.len() < SEND_BUFFER {
                    break;
                }
                state = self.wait(state, deadline)?;
            }
            let room = SEND_BUFFER - state.sending.buffer.len();
            let (now, later) = bytes.split_at(room.min(bytes.len()));
            state.sending.accept(now)?;
            bytes = later;
            let wanted = state.wish();
            drop(state);
            wish(wanted);
        }
        Ok(())
    }

    /// Marks the body as complete.
    pub(crate) fn finish(&self) -> Result<Wish, StreamError> {
        let mut state = lock(&self.state);
        match state.check_writable() {
            Err(StreamError::Stopped) => return Ok(Wish::None),
            checked => checked?,
        }
        let sending = &mut state.sending;
        if let Some(declared) = sending.declared {
            if sending.accepted != declared {
                return Err(StreamError::Length {
                    declared,
                    actual: sending.accepted,
                });
            }
        }
        sending.finished = true;
        Ok(state.wish())
    }

    /// Waits for the reply's head.
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

    /// Reads from the body; 0 at its end. Returns the credit to grant, if any.
    pub(crate) fn read(
        &self,
        buffer: &mut [u8],
        until: Instant,
    ) -> Result<(usize, Option<Frame>), StreamError> {
        let mut state = lock(&self.state);
        loop {
            if state.receiving.buffered > 0 || buffer.is_empty() {
                let count = state.receiving.take(buffer);
                let credit = self.replenish(&mut state.receiving);
                return Ok((count, credit));
            }
            if state.receiving.ended {
                return Ok((0, None));
            }
            if matches!(
                state.reply,
                Some(Reply::Refused { .. } | Reply::Unknown { .. })
            ) {
                return Err(StreamError::Order);
            }
            if let Some(failure) = &state.failure {
                return Err(failure.clone());
            }
            state = self.wait(state, until)?;
        }
    }

    /// Grants credit once a good part of the window is free.
    fn replenish(&self, receiving: &mut Receiving) -> Option<Frame> {
        if receiving.ended || receiving.is_covered() {
            return None;
        }
        let extra = self.windows.full.saturating_sub(self.windows.first);
        let is_first = receiving.window == self.windows.first;
        if is_first && receiving.is_long() && extra > 0 && self.windows.pool.take(extra) {
            receiving.window += extra;
        }
        let used = receiving.granted + receiving.buffered as u64;
        let bytes = (receiving.window as u64).saturating_sub(used);
        if bytes < receiving.window as u64 / 4 {
            return None;
        }
        receiving.granted += bytes;
        Some(Frame::Credit(Credit {
            stream: self.number(),
            bytes,
        }))
    }

    /// Gives the stream up at this end. None if it had ended already.
    pub(crate) fn abandon(&self, failure: StreamError) -> Option<Dispatch> {
        let state = lock(&self.state);
        if state.failure.is_some() || state.is_over(self.end) {
            return None;
        }
        let dispatch = state.dispatch();
        self.fail(state, failure);
        Some(dispatch)
    }

    /// Whether the request may have reached the other host.
    pub(crate) fn dispatch(&self) -> Dispatch {
        lock(&self.state).dispatch()
    }

    /// How much of what this end sends was handed over.
    pub(crate) fn progress(&self) -> Progress {
        let state = lock(&self.state);
        let sending = &state.sending;
        if sending.finished || sending.only || state.failure.is_some() {
            return Progress::Whole;
        }
        match sending.begun || sending.first.is_some() {
            true => Progress::Begun,
            false => Progress::None,
        }
    }

    /// Whether the stream failed or was cancelled.
    pub(crate) fn is_failed(&self) -> bool {
        lock(&self.state).failure.is_some()
    }

    /// Calls a hook when the stream fails; at once if it has.
    pub(crate) fn on_failure(&self, hook: Hook) {
        let mut state = lock(&self.state);
        if state.failure.is_none() {
            state.hook = Some(hook);
            return;
        }
        drop(state);
        hook();
    }

    /// Takes the next frame to send, for the link's task. `next` is the number for a new stream.
    pub(crate) fn take(&self, next: u64) -> Option<Taken> {
        let mut state = lock(&self.state);
        let opens = self.number() == 0;
        let bytes = state.sending.next(self.number());
        let again = state.again();
        let Some(bytes) = bytes else {
            debug_assert!(again.is_none());
            return None;
        };
        if opens {
            self.number.store(next, Ordering::Release);
        }
        let ended = self.end == End::Server && state.sending.ended;
        if state.sending.buffer.len() < SEND_BUFFER {
            self.wake.notify_all();
        }
        Some(Taken {
            bytes,
            again,
            opens,
            ended,
        })
    }

    /// The peer granted credit.
    pub(crate) fn on_credit(&self, bytes: u64) -> Wish {
        let mut state = lock(&self.state);
        state.sending.credit = state.sending.credit.saturating_add(bytes);
        state.wish()
    }

    /// Bytes of the body came in.
    pub(crate) fn on_data(&self, bytes: Bytes, is_end: bool) -> Result<Arrival, Violation> {
        let mut state = lock(&self.state);
        let is_early = self.end == End::Caller && !matches!(state.reply, Some(Reply::Head { .. }));
        let receiving = &mut state.receiving;
        if is_early || receiving.ended || bytes.len() as u64 > receiving.granted {
            return Err(Violation);
        }
        receiving.accept(bytes);
        receiving.ended = is_end;
        if let Some(error) = receiving.wrong_length() {
            receiving.ended = false;
            self.fail(state, error);
            return Ok(Arrival::Wrong);
        }
        Ok(self.arrival(&mut state))
    }

    /// A reply came in.
    pub(crate) fn on_reply(&self, reply: Reply) -> Result<Arrival, Violation> {
        let mut state = lock(&self.state);
        if state.reply.is_some() {
            return Err(Violation);
        }
        if let Reply::Head { length, .. } = &reply {
            state.receiving.declared = *length;
        }
        state.reply = Some(reply);
        Ok(self.arrival(&mut state))
    }

    /// The other end gave the stream up, or the link ended.
    pub(crate) fn on_cut(&self) {
        let state = lock(&self.state);
        if state.is_over(self.end) {
            return;
        }
        let failure = match (self.end, &state.reply, state.dispatch()) {
            (End::Server, ..) => StreamError::Cancelled,
            (End::Caller, Some(_), _) => StreamError::Cut,
            (End::Caller, None, Dispatch::Sent) => StreamError::Uncertain,
            (End::Caller, None, Dispatch::NotSent) => StreamError::NotSent,
        };
        self.fail(state, failure);
    }

    /// Tells the stream's user of an arrival. After a whole reply the rest of the request is dropped.
    fn arrival(&self, state: &mut State) -> Arrival {
        self.wake.notify_all();
        if self.end == End::Server || !state.is_reply_over() {
            return Arrival::More;
        }
        state.sending.stop();
        Arrival::End
    }

    fn fail(&self, mut state: MutexGuard<'_, State>, failure: StreamError) {
        state.sending.stop();
        state.failure.get_or_insert(failure);
        let hook = state.hook.take();
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
        self.windows.pool.give(window - self.windows.first);
    }
}

impl State {
    fn check(&self) -> Result<(), StreamError> {
        match &self.failure {
            Some(failure) => Err(failure.clone()),
            None => Ok(()),
        }
    }

    fn check_writable(&self) -> Result<(), StreamError> {
        if self.is_reply_over() {
            return Err(StreamError::Stopped);
        }
        self.check()?;
        if self.sending.finished || self.sending.only {
            return Err(StreamError::Order);
        }
        if !self.sending.begun && self.sending.first.is_none() {
            return Err(StreamError::Order);
        }
        Ok(())
    }

    /// Whether the whole reply is here.
    fn is_reply_over(&self) -> bool {
        match &self.reply {
            None => false,
            Some(Reply::Head { .. }) => self.receiving.ended,
            Some(_) => true,
        }
    }

    fn is_over(&self, end: End) -> bool {
        match end {
            End::Caller => self.is_reply_over(),
            End::Server => self.sending.ended,
        }
    }

    fn dispatch(&self) -> Dispatch {
        match self.sending.begun {
            true => Dispatch::Sent,
            false => Dispatch::NotSent,
        }
    }

    /// Asks for a turn if there is something to send and none was asked for.
    fn wish(&mut self) -> Wish {
        if self.queued || !self.sending.is_ready() {
            return Wish::None;
        }
        self.queued = true;
        Wish::Turn(self.sending.size())
    }

    /// Whether to wait for another turn after this one.
    fn again(&mut self) -> Option<Size> {
        self.queued = self.sending.is_ready();
        self.queued.then(|| self.sending.size())
    }
}
