//! Counts the bytes sent and received on connections between instances.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::task::{Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// Counters of bytes sent and received, without TCP and IP headers
#[derive(Debug, Default)]
pub struct PeerTraffic {
    sent: AtomicU64,
    received: AtomicU64,
}

impl PeerTraffic {
    pub fn sent(&self) -> u64 {
        self.sent.load(Ordering::Relaxed)
    }

    pub fn received(&self) -> u64 {
        self.received.load(Ordering::Relaxed)
    }
}

/// Stream that counts its bytes
#[derive(Debug)]
pub(crate) struct CountedStream<S> {
    stream: S,
    traffic: Arc<PeerTraffic>,
}

impl<S> CountedStream<S> {
    pub(crate) fn new(stream: S, traffic: Arc<PeerTraffic>) -> CountedStream<S> {
        CountedStream { stream, traffic }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for CountedStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let result = Pin::new(&mut self.stream).poll_read(context, buffer);
        let count = (buffer.filled().len() - before) as u64;
        self.traffic.received.fetch_add(count, Ordering::Relaxed);
        result
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for CountedStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write(context, bytes);
        if let Poll::Ready(Ok(count)) = &result {
            self.traffic.sent.fetch_add(*count as u64, Ordering::Relaxed);
        }
        result
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
