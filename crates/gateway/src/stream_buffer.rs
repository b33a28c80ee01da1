//! Buffer between a stream of events and a client that may read slowly.
//!
//! While the client keeps up, its connection polls the events directly. Once its socket
//! takes no more bytes, a task reads the events on into the buffer, so that the engine
//! isn't held up, and so that the stream's time limits hold though the connection polls
//! nothing. The buffer is bounded per stream and over all streams; beyond that the
//! engine waits. The connection ends stalled clients (`client_socket`).

use crate::error::RelayError;
use crate::memory::{HeldBytes, MemoryShare};
use crate::state::Gateway;
use bytes::Bytes;
use futures_util::Stream;
use smol_str::SmolStr;
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::future::{Future, poll_fn};
use std::pin::{Pin, pin};
use std::rc::Rc;
use std::task::{Context, Poll, Waker, ready};
use tokio::time::{Instant, Sleep, sleep_until};

/// Stream of relayed events
pub type EventStream = Pin<Box<dyn Stream<Item = Result<Bytes, RelayError>>>>;

/// Bytes that one stream may hold, as large as the largest event.
const MAX_STREAM_BYTES: usize = 256 * 1024;

type EventItem = Result<Bytes, RelayError>;

/// Stream of events with a buffer
pub struct StreamBuffer {
    gateway: Rc<Gateway>,
    /// Id of the request
    id: SmolStr,
    /// Time by which the answer must be complete
    deadline: Instant,
    /// `None` once the client has left
    events: RefCell<Option<EventStream>>,
    held: RefCell<VecDeque<EventItem>>,
    memory: HeldBytes,
    share: RefCell<MemoryShare>,
    has_ended: Cell<bool>,
    /// Whether the client's connection has been made to wait before the error
    has_delayed_error: Cell<bool>,
    /// Whether the client's connection waits for the next event, which it polls itself
    is_awaited: Cell<bool>,
    /// Whether the client's socket takes no more bytes
    is_blocked: Cell<bool>,
    /// Whether the task that reads on is running
    has_reader: Cell<bool>,
    /// Called once the client's connection has taken the last event of a whole stream
    on_whole: RefCell<Option<Box<dyn FnOnce()>>>,
    reader: Cell<Option<Waker>>,
}

impl StreamBuffer {
    /// Buffer of a stream that must be complete by `deadline`
    pub fn new(
        gateway: Rc<Gateway>,
        id: SmolStr,
        deadline: Instant,
        events: EventStream,
    ) -> StreamBuffer {
        let memory = gateway.memory.streams.clone();
        StreamBuffer {
            gateway,
            id,
            deadline,
            events: RefCell::new(Some(events)),
            held: RefCell::default(),
            share: RefCell::new(memory.share()),
            memory,
            has_ended: Cell::default(),
            has_delayed_error: Cell::default(),
            is_awaited: Cell::default(),
            is_blocked: Cell::default(),
            has_reader: Cell::default(),
            on_whole: RefCell::default(),
            reader: Cell::default(),
        }
    }

    /// Calls a function once the stream has ended whole
    pub fn on_whole(&self, call: impl FnOnce() + 'static) {
        self.on_whole.replace(Some(Box::new(call)));
    }

    /// Records whether the client's socket takes bytes; while it takes none, the events are read on
    pub fn set_blocked(self: &Rc<StreamBuffer>, is_blocked: bool) {
        let was_blocked = self.is_blocked.replace(is_blocked);
        if was_blocked || !is_blocked || self.has_ended.get() || self.has_reader.replace(true) {
            return;
        }
        log::debug!("event=stream_read_on id={}", self.id);
        self.gateway.metrics.streams_read_on.inc();
        let buffer = self.clone();
        tokio::task::spawn_local(async move {
            let mut deadline = pin!(sleep_until(buffer.deadline));
            poll_fn(|context| buffer.poll_reader(context, deadline.as_mut())).await;
        });
    }

    /// Reads into the buffer; ready once there is nothing more to do
    fn poll_reader(&self, context: &mut Context<'_>, mut deadline: Pin<&mut Sleep>) -> Poll<()> {
        loop {
            let is_idle = !self.is_blocked.get() && self.held.borrow().is_empty();
            if is_idle || self.has_ended.get() {
                self.has_reader.set(false);
                return Poll::Ready(());
            }
            self.reader.set(Some(context.waker().clone()));
            if self.is_awaited.get() {
                return Poll::Pending;
            }
            // After the deadline the stream ends itself, whether or not there is room.
            if !self.has_room() && deadline.as_mut().poll(context).is_pending() {
                return Poll::Pending;
            }
            if let Some(item) = ready!(self.poll_events(context)) {
                self.hold(item);
            }
        }
    }

    /// The next event for the client
    fn poll_client(&self, context: &mut Context<'_>) -> Poll<Option<EventItem>> {
        let item = self.held.borrow_mut().pop_front();
        let polled = match item {
            Some(item) => {
                self.share.borrow_mut().shrink(item.as_ref().map_or(0, Bytes::len));
                Poll::Ready(Some(item))
            }
            None => self.poll_events(context),
        };
        let polled = match polled {
            // The HTTP library sends the events that it has when the body is pending, and drops them when it fails.
            Poll::Ready(Some(Err(error))) if !self.has_delayed_error.replace(true) => {
                self.held.borrow_mut().push_front(Err(error));
                context.waker().wake_by_ref();
                Poll::Pending
            }
            polled => polled,
        };
        self.is_awaited.set(polled.is_pending());
        if polled.is_ready() {
            self.wake_reader();
        }
        match &polled {
            Poll::Ready(None) => {
                let call = self.on_whole.take();
                call.into_iter().for_each(|it| it());
            }
            // What follows an error is no whole stream.
            Poll::Ready(Some(Err(_))) => drop(self.on_whole.take()),
            _ => {}
        }
        polled
    }

    fn poll_events(&self, context: &mut Context<'_>) -> Poll<Option<EventItem>> {
        let mut events = self.events.borrow_mut();
        let Some(stream) = events.as_mut().filter(|_| !self.has_ended.get()) else {
            return Poll::Ready(None);
        };
        let item = ready!(stream.as_mut().poll_next(context));
        self.has_ended.set(item.is_none());
        Poll::Ready(item)
    }

    /// Whether the buffer may take another item; one is always taken, so that the stream's end is seen
    fn has_room(&self) -> bool {
        let bytes = self.share.borrow().bytes();
        bytes == 0 || (bytes < MAX_STREAM_BYTES && !self.memory.is_full())
    }

    fn hold(&self, item: EventItem) {
        self.share.borrow_mut().grow(item.as_ref().map_or(0, Bytes::len));
        self.held.borrow_mut().push_back(item);
    }

    fn wake_reader(&self) {
        if let Some(waker) = self.reader.take() {
            waker.wake();
        }
    }
}

/// The client's end of a buffered stream; when dropped, the engine's connection is closed at once
pub struct BufferedEvents {
    /// Shared with the client's socket and the task that reads on
    pub buffer: Rc<StreamBuffer>,
}

impl BufferedEvents {
    /// The next event
    pub fn poll_next(&mut self, context: &mut Context<'_>) -> Poll<Option<EventItem>> {
        self.buffer.poll_client(context)
    }
}

impl Drop for BufferedEvents {
    fn drop(&mut self) {
        let buffer = &self.buffer;
        buffer.has_ended.set(true);
        drop(buffer.events.take());
        buffer.held.take();
        let bytes = buffer.share.borrow().bytes();
        buffer.share.borrow_mut().shrink(bytes);
        buffer.wake_reader();
    }
}
