//! TCP streams that can be paused or go silent.
//!
//! A silent stream behaves as one that something on the way has lost track of:
//! writes seem to succeed, nothing arrives, and no end or reset is ever seen.

use futures_util::task::AtomicWaker;
use std::io;
use std::pin::Pin;
use std::sync::atomic::{AtomicU8, Ordering};
use std::sync::{Arc, Weak};
use std::task::{Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::task::AbortHandle;

const OPEN: u8 = 0;
const PAUSED: u8 = 1;
const SILENT: u8 = 2;

/// Switch of one connection
#[derive(Debug, Default)]
pub struct ConnectionGate {
    state: AtomicU8,
    reader: AtomicWaker,
    writer: AtomicWaker,
}

impl ConnectionGate {
    /// Holds up or lets go both directions; no effect on a silent connection
    pub fn pause(&self, paused: bool) {
        let (from, to) = if paused { (OPEN, PAUSED) } else { (PAUSED, OPEN) };
        let _ = self.state.compare_exchange(from, to, Ordering::SeqCst, Ordering::SeqCst);
        self.reader.wake();
        self.writer.wake();
    }

    /// Makes the connection silent for good
    pub fn silence(&self) {
        self.state.store(SILENT, Ordering::SeqCst);
        self.reader.wake();
        self.writer.wake();
    }

    fn check(&self, waker: &AtomicWaker, context: &Context<'_>) -> u8 {
        if self.state.load(Ordering::SeqCst) == PAUSED {
            waker.register(context.waker());
        }
        self.state.load(Ordering::SeqCst)
    }
}

/// TCP stream behind a gate
#[derive(Debug)]
pub struct GatedStream {
    stream: TcpStream,
    gate: Arc<ConnectionGate>,
}

impl GatedStream {
    /// Stream that obeys `gate`
    pub fn new(stream: TcpStream, gate: Arc<ConnectionGate>) -> GatedStream {
        GatedStream { stream, gate }
    }
}

impl AsyncRead for GatedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        match self.gate.check(&self.gate.reader, context) {
            OPEN => Pin::new(&mut self.stream).poll_read(context, buffer),
            _ => Poll::Pending,
        }
    }
}

impl AsyncWrite for GatedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        match self.gate.check(&self.gate.writer, context) {
            OPEN => Pin::new(&mut self.stream).poll_write(context, bytes),
            SILENT => Poll::Ready(Ok(bytes.len())),
            _ => Poll::Pending,
        }
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        match self.gate.check(&self.gate.writer, context) {
            OPEN => Pin::new(&mut self.stream).poll_flush(context),
            SILENT => Poll::Ready(Ok(())),
            _ => Poll::Pending,
        }
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        match self.gate.check(&self.gate.writer, context) {
            OPEN => Pin::new(&mut self.stream).poll_shutdown(context),
            _ => Poll::Pending,
        }
    }
}

/// Open connections of one listener
#[derive(Debug, Default)]
pub struct ConnectionSet {
    connections: Vec<(Weak<ConnectionGate>, AbortHandle)>,
    paused: bool,
}

impl ConnectionSet {
    /// Adds a connection, which starts paused if the set is
    pub fn add(&mut self, gate: &Arc<ConnectionGate>, task: AbortHandle) {
        self.connections.retain(|(_, task)| !task.is_finished());
        gate.pause(self.paused);
        self.connections.push((Arc::downgrade(gate), task));
    }

    /// Pauses or resumes all connections, also those still to come
    pub fn pause(&mut self, paused: bool) {
        self.paused = paused;
        self.each(|gate| gate.pause(paused));
    }

    /// Makes all connections of this moment silent
    pub fn silence(&mut self) {
        self.each(ConnectionGate::silence);
    }

    /// Closes all connections
    pub fn cut(&mut self) {
        for (_, task) in self.connections.drain(..) {
            task.abort();
        }
    }

    fn each(&self, action: impl Fn(&ConnectionGate)) {
        self.connections.iter().filter_map(|(gate, _)| gate.upgrade()).for_each(|it| action(&it));
    }
}
