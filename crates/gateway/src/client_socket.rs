//! Socket of a client, watched for slow heads and for clients that take nothing.

use crate::stream_buffer::StreamBuffer;
use socket2::SockRef;
use std::cell::{Cell, RefCell};
use std::future::poll_fn;
use std::io;
use std::mem::MaybeUninit;
use std::pin::Pin;
use std::rc::{Rc, Weak};
use std::task::{Context, Poll, ready};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time::{Instant, sleep_until, timeout};

/// Time after which a client is given up whose socket has taken no byte. A healthy client reads within a
/// second; one that is suspended or moves between networks comes back within some.
const CLIENT_STALL_TIME: Duration = Duration::from_secs(10);
/// Send buffer of a client's socket, which the system doubles. By default it grows to megabytes for a
/// client that reads slowly; the socket is writable again once a third is free.
const SEND_BUFFER_BYTES: usize = 32 * 1024;
/// Send buffer for what is left of an answer when the process is about to exit; the system sends it on
/// afterwards, and may limit it to less.
const LAST_SEND_BUFFER_BYTES: usize = 4 * 1024 * 1024;
/// Longest time for which the rest of a refused request is read.
const DISCARD_TIME: Duration = Duration::from_secs(1);
const DISCARD_BUFFER_BYTES: usize = 4096;
/// Most bytes of it that are read.
const MAX_DISCARDED_BYTES: usize = 8 * 1024 * 1024;

/// Activity of one client connection, for its timeouts
pub struct ConnectionActivity {
    pub open_requests: Cell<usize>,
    /// Whether a request was answered before its body had been read to its end
    pub has_unread_body: Cell<bool>,
    pub idle_since: Cell<Instant>,
    /// When the first byte of a still incomplete head arrived
    head_since: Cell<Option<Instant>>,
    pub head_started: Notify,
    /// Since when the socket has taken no more bytes; `None` if it takes them
    blocked_since: Cell<Option<Instant>>,
    has_blocked: Notify,
    /// Stream that is being sent
    stream: RefCell<Weak<StreamBuffer>>,
}

impl ConnectionActivity {
    /// Activity of a connection that has just been opened
    pub fn new() -> ConnectionActivity {
        ConnectionActivity {
            open_requests: Cell::default(),
            has_unread_body: Cell::default(),
            idle_since: Cell::new(Instant::now()),
            head_since: Cell::default(),
            head_started: Notify::new(),
            blocked_since: Cell::default(),
            has_blocked: Notify::new(),
            stream: RefCell::default(),
        }
    }

    /// Time of the next check for an idle client or a slow head
    pub fn next_check(&self, head_timeout: Duration, idle_timeout: Duration) -> Instant {
        let idle_at = self.idle_since.get() + idle_timeout;
        self.head_since.get().map_or(idle_at, |it| idle_at.min(it + head_timeout))
    }

    /// Whether a head has been incomplete for too long
    pub fn is_slow_head(&self, head_timeout: Duration) -> bool {
        self.head_since.get().is_some_and(|it| it + head_timeout <= Instant::now())
    }

    /// Whether the connection is in use, or a request has begun to arrive
    pub fn is_busy(&self) -> bool {
        self.open_requests.get() > 0 || self.head_since.get().is_some()
    }

    /// Sets the stream that is sent next
    pub fn set_stream(&self, buffer: &Rc<StreamBuffer>) {
        self.stream.replace(Rc::downgrade(buffer));
        buffer.set_blocked(self.blocked_since.get().is_some());
    }

    /// Waits until the client has taken nothing for too long
    pub async fn stalled(&self) {
        loop {
            match self.blocked_since.get().map(|it| it + CLIENT_STALL_TIME) {
                None => self.has_blocked.notified().await,
                Some(until) if until <= Instant::now() => return,
                Some(until) => sleep_until(until).await,
            }
        }
    }

    /// Records whether the socket takes bytes
    fn record_write(&self, is_blocked: bool) {
        if is_blocked == self.blocked_since.get().is_some() {
            return;
        }
        self.blocked_since.set(is_blocked.then(Instant::now));
        if is_blocked {
            self.has_blocked.notify_one();
        }
        let stream = self.stream.borrow().upgrade();
        if let Some(buffer) = stream {
            buffer.set_blocked(is_blocked);
        }
    }
}

impl Default for ConnectionActivity {
    fn default() -> ConnectionActivity {
        ConnectionActivity::new()
    }
}

/// Marks a connection as in use by a request until dropped
pub struct ActivityGuard(Rc<ConnectionActivity>);

impl ActivityGuard {
    /// Counts one more open request of the connection, whose head is complete
    pub fn new(activity: Rc<ConnectionActivity>) -> ActivityGuard {
        activity.open_requests.set(activity.open_requests.get() + 1);
        activity.head_since.set(None);
        ActivityGuard(activity)
    }
}

impl Drop for ActivityGuard {
    fn drop(&mut self) {
        self.0.open_requests.set(self.0.open_requests.get() - 1);
        self.0.idle_since.set(Instant::now());
    }
}

/// Handle of a socket that the HTTP library owns
#[derive(Clone)]
pub struct SocketHandle {
    socket: Rc<RefCell<TcpStream>>,
    is_whole: Rc<Cell<bool>>,
}

impl SocketHandle {
    /// Whether bytes have arrived that nobody has read
    pub fn has_unread(&self) -> bool {
        let mut byte = [MaybeUninit::uninit()];
        let socket = self.socket.borrow();
        matches!(SockRef::from(&*socket).peek(&mut byte), Ok(count) if count > 0)
    }

    /// Lets the system take what is left of an answer, which it sends on after the process has exited
    pub fn enlarge_send_buffer(&self) {
        let socket = self.socket.borrow();
        if let Err(error) = SockRef::from(&*socket).set_send_buffer_size(LAST_SEND_BUFFER_BYTES) {
            log::debug!("event=send_buffer_unchanged error={error}");
        }
    }

    /// Reads and drops what the client still sends after its answer, for a limited time
    ///
    /// Bytes that arrive at a closed socket reset the connection, and the client may lose the answer.
    pub async fn discard_rest(&self) {
        let mut scratch = vec![0; DISCARD_BUFFER_BYTES];
        let read = async {
            let mut bytes = 0;
            while bytes < MAX_DISCARDED_BYTES {
                match poll_fn(|context| self.poll_discard(context, &mut scratch)).await {
                    Ok(0) | Err(_) => return,
                    Ok(count) => bytes += count,
                }
            }
        };
        // The client may keep the connection open for as long as it likes.
        let _ = timeout(DISCARD_TIME, read).await;
    }

    fn poll_discard(
        &self,
        context: &mut Context<'_>,
        scratch: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let mut buffer = ReadBuf::new(scratch);
        let mut socket = self.socket.borrow_mut();
        ready!(Pin::new(&mut *socket).poll_read(context, &mut buffer))?;
        Poll::Ready(Ok(buffer.filled().len()))
    }

    /// Sets whether the end of the connection is a reset, whoever closes it, also the system after a crash
    pub fn set_reset(&self, is_reset: bool) {
        let linger = is_reset.then_some(Duration::ZERO);
        if let Err(error) = SockRef::from(&*self.socket.borrow()).set_linger(linger) {
            log::debug!("event=linger_not_set error={error}");
        }
    }

    /// Records that the answer is whole; its connection ends without a reset once all of it is written
    pub fn set_whole(&self) {
        self.is_whole.set(true);
    }
}

/// Socket that records when a head starts to arrive, and when the client takes no bytes
pub struct WatchedSocket {
    socket: Rc<RefCell<TcpStream>>,
    activity: Rc<ConnectionActivity>,
    /// Whether the answer is whole that only the connection's end marks
    is_whole: Rc<Cell<bool>>,
}

impl WatchedSocket {
    /// Watches an accepted socket
    ///
    /// # Errors
    /// An option can't be set: the client has left.
    pub fn new(socket: TcpStream, activity: Rc<ConnectionActivity>) -> io::Result<WatchedSocket> {
        socket.set_nodelay(true)?;
        SockRef::from(&socket).set_send_buffer_size(SEND_BUFFER_BYTES)?;
        Ok(WatchedSocket {
            socket: Rc::new(RefCell::new(socket)),
            activity,
            is_whole: Rc::default(),
        })
    }

    /// Handle that outlives the connection's use of the socket
    pub fn handle(&self) -> SocketHandle {
        SocketHandle { socket: self.socket.clone(), is_whole: self.is_whole.clone() }
    }

    fn poll_socket<T>(
        &self,
        poll: impl FnOnce(Pin<&mut TcpStream>) -> Poll<io::Result<T>>,
    ) -> Poll<io::Result<T>> {
        poll(Pin::new(&mut *self.socket.borrow_mut()))
    }

    fn poll_write_to(
        &self,
        poll: impl FnOnce(Pin<&mut TcpStream>) -> Poll<io::Result<usize>>,
    ) -> Poll<io::Result<usize>> {
        let polled = self.poll_socket(poll);
        self.activity.record_write(polled.is_pending());
        polled
    }
}

impl AsyncRead for WatchedSocket {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let polled = self.poll_socket(|it| it.poll_read(context, buffer));
        let activity = &self.activity;
        let has_read = buffer.filled().len() > before;
        if has_read && activity.open_requests.get() == 0 && activity.head_since.get().is_none() {
            activity.head_since.set(Some(Instant::now()));
            activity.head_started.notify_one();
        }
        polled
    }
}

impl AsyncWrite for WatchedSocket {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.poll_write_to(|it| it.poll_write(context, bytes))
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.poll_write_to(|it| it.poll_write_vectored(context, slices))
    }

    fn is_write_vectored(&self) -> bool {
        self.socket.borrow().is_write_vectored()
    }

    fn poll_flush(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.poll_socket(|it| it.poll_flush(context))
    }

    fn poll_shutdown(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        // The HTTP library may hold a whole answer of which the socket has not taken the rest.
        let is_blocked = self.activity.blocked_since.get().is_some();
        if !is_blocked && self.is_whole.replace(false) {
            self.handle().set_reset(false);
        }
        self.poll_socket(|it| it.poll_shutdown(context))
    }
}
