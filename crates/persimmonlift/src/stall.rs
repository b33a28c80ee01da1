//! Timeouts of a connection to a caller.
//!
//! Without a timeout of writes, a caller that stops reading would hold the permits of its
//! request on the instance and its slot on the engine indefinitely. A connection that is
//! closed while the caller still sends would be reset, and the caller could lose its
//! answer, so what it sends is read for a short time.

use std::future::Future;
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::{Instant, Sleep};

/// Longest time for which a connection that is closed for writing is read.
const DISCARD_TIME: Duration = Duration::from_millis(500);
const DISCARD_BUFFER_BYTES: usize = 1024;

/// Connection whose writes time out if they make no progress, and that is read while it is closed
#[derive(Debug)]
pub struct StallGuard {
    stream: TcpStream,
    bound: Duration,
    stall: Option<Pin<Box<Sleep>>>,
    /// End of the reads after it is closed for writing
    discard_until: Option<Pin<Box<Sleep>>>,
}

impl StallGuard {
    /// Wraps a connection; a write fails after `bound` without progress
    pub fn new(stream: TcpStream, bound: Duration) -> StallGuard {
        StallGuard { stream, bound, stall: None, discard_until: None }
    }

    /// Reads until the caller closes its side, or for `DISCARD_TIME`
    fn poll_discard(&mut self, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let mut scratch = [0; DISCARD_BUFFER_BYTES];
        loop {
            if self.discard_until.as_mut().is_some_and(|it| it.as_mut().poll(context).is_ready()) {
                return Poll::Ready(Ok(()));
            }
            let mut buffer = ReadBuf::new(&mut scratch);
            match ready!(Pin::new(&mut self.stream).poll_read(context, &mut buffer)) {
                Ok(()) if !buffer.filled().is_empty() => {}
                Ok(()) | Err(_) => return Poll::Ready(Ok(())),
            }
        }
    }

    fn check_stall<T>(
        &mut self,
        context: &mut Context<'_>,
        written: Poll<io::Result<T>>,
    ) -> Poll<io::Result<T>> {
        if written.is_ready() {
            self.stall = None;
            return written;
        }
        let due = Instant::now() + self.bound;
        let stall = self.stall.get_or_insert_with(|| Box::pin(tokio::time::sleep_until(due)));
        ready!(stall.as_mut().poll(context));
        Poll::Ready(Err(io::ErrorKind::TimedOut.into()))
    }
}

impl AsyncRead for StallGuard {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl AsyncWrite for StallGuard {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(context, buffer);
        self.check_stall(context, written)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffers: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(context, buffers);
        self.check_stall(context, written)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.discard_until.is_none() {
            ready!(Pin::new(&mut self.stream).poll_shutdown(context))?;
            self.discard_until = Some(Box::pin(tokio::time::sleep(DISCARD_TIME)));
        }
        self.poll_discard(context)
    }
}
