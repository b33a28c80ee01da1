//! Bounds what a connection brings beside the content of its messages.
//!
//! The HTTP library reads a chunk's size byte by byte, however many zeros or spaces it
//! has, and chunks of any small size. A sender of such bytes without end would take the
//! processor until the deadline, with no body that any limit on sizes sees. So the socket
//! counts all bytes, the body its content, and a read fails once the difference is too
//! large.

use bytes::{Buf, Bytes};
use hyper::body::{Body, Frame, Incoming, SizeHint};
use hyper_util::client::legacy::connect::{Connected, Connection};
use std::error::Error;
use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::task::{Context, Poll, ready};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// Bytes that a message may have beside its content, with its head and what has been read ahead.
pub const MAX_FRAMING_BYTES: usize = 96 * 1024;
/// Most bytes that one read takes. Content counts only once it has left the library's buffer, which this keeps
/// far below `MAX_FRAMING_BYTES` with HTTP/1.
const MAX_READ_BYTES: usize = 16 * 1024;

/// What a connection may bring for the content of a message
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FramingLimits {
    /// Bytes beside the content
    spare: usize,
    /// Bytes for each byte of content
    factor: usize,
}

impl FramingLimits {
    /// Limits of answers, which allow chunks of two bytes
    pub const ANSWERS: FramingLimits = FramingLimits { spare: MAX_FRAMING_BYTES, factor: 4 };
    /// Limits of requests, which allow chunks of one byte: the limit on the body bounds their number
    pub const REQUESTS: FramingLimits = FramingLimits { spare: MAX_FRAMING_BYTES, factor: 8 };

    /// The same on connections that may hold this many bytes of content before it is read
    pub const fn with_window(self, bytes: usize) -> FramingLimits {
        FramingLimits { spare: self.spare + bytes, factor: self.factor }
    }

    fn max_received(&self, content: usize) -> usize {
        self.spare.saturating_add(content.saturating_mul(self.factor))
    }
}

/// Error of a read on a connection that brings too little content
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(displaydoc::Display)]
pub enum FramingError {
    /// too many bytes beside the content of the message
    Excessive,
}

impl Error for FramingError {}

/// Whether a message failed since it had too many bytes beside its content
pub fn is_excessive(error: &(dyn Error + 'static)) -> bool {
    let mut cause = Some(error);
    while let Some(error) = cause {
        let inner = error.downcast_ref::<io::Error>().and_then(io::Error::get_ref);
        if inner.is_some_and(|it| it.is::<FramingError>()) {
            return true;
        }
        cause = error.source();
    }
    false
}

/// Counts the bytes of a connection since its latest message began
#[derive(Debug, Clone)]
pub struct FramingMeter {
    limits: FramingLimits,
    received: Arc<AtomicUsize>,
    content: Arc<AtomicUsize>,
}

impl Default for FramingMeter {
    fn default() -> FramingMeter {
        FramingMeter::new(FramingLimits::ANSWERS)
    }
}

impl FramingMeter {
    fn new(limits: FramingLimits) -> FramingMeter {
        FramingMeter { limits, received: Arc::default(), content: Arc::default() }
    }

    /// Forgets what was counted, since another message begins or its head is complete
    pub fn reset(&self) {
        self.received.store(0, Ordering::Relaxed);
        self.content.store(0, Ordering::Relaxed);
    }

    fn record_content(&self, bytes: usize) {
        self.content.fetch_add(bytes, Ordering::Relaxed);
    }

    fn record_received(&self, bytes: usize) -> io::Result<()> {
        let received = self.received.fetch_add(bytes, Ordering::Relaxed) + bytes;
        let content = self.content.load(Ordering::Relaxed);
        match received > self.limits.max_received(content) {
            true => Err(io::Error::new(io::ErrorKind::InvalidData, FramingError::Excessive)),
            false => Ok(()),
        }
    }
}

/// Socket whose reads fail once it has brought too little content
#[derive(Debug)]
pub struct MeteredSocket<S> {
    socket: S,
    meter: FramingMeter,
}

impl<S> MeteredSocket<S> {
    /// Meters a socket
    pub fn new(socket: S, limits: FramingLimits) -> MeteredSocket<S> {
        MeteredSocket { socket, meter: FramingMeter::new(limits) }
    }

    /// Meter of the connection
    pub fn meter(&self) -> FramingMeter {
        self.meter.clone()
    }

    /// Counts written bytes as content, since HTTP/2 acknowledges what it receives
    fn record_write(&self, written: Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
        if let Poll::Ready(Ok(bytes)) = &written {
            self.meter.record_content(*bytes);
        }
        written
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for MeteredSocket<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        // Usual buffers are small, and need not be initialized.
        if buffer.remaining() <= MAX_READ_BYTES {
            let before = buffer.filled().len();
            ready!(Pin::new(&mut self.socket).poll_read(context, buffer))?;
            return Poll::Ready(self.meter.record_received(buffer.filled().len() - before));
        }
        let mut part = ReadBuf::new(buffer.initialize_unfilled_to(MAX_READ_BYTES));
        ready!(Pin::new(&mut self.socket).poll_read(context, &mut part))?;
        let bytes = part.filled().len();
        buffer.advance(bytes);
        Poll::Ready(self.meter.record_received(bytes))
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for MeteredSocket<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.socket).poll_write(context, bytes);
        self.record_write(written)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.socket).poll_write_vectored(context, slices);
        self.record_write(written)
    }

    fn is_write_vectored(&self) -> bool {
        self.socket.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.socket).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.socket).poll_shutdown(context)
    }
}

impl<S: Connection> Connection for MeteredSocket<S> {
    fn connected(&self) -> Connected {
        self.socket.connected().extra(self.meter())
    }
}

/// Body whose content is counted
#[derive(Debug)]
pub struct MeteredBody {
    body: Incoming,
    meter: FramingMeter,
}

impl MeteredBody {
    /// Body of the latest message on a connection
    pub fn new(body: Incoming, meter: FramingMeter) -> MeteredBody {
        MeteredBody { body, meter }
    }
}

impl Body for MeteredBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        let polled = Pin::new(&mut self.body).poll_frame(context);
        if let Poll::Ready(Some(Ok(frame))) = &polled {
            self.meter.record_content(frame.data_ref().map_or(0, Buf::remaining));
        }
        polled
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
