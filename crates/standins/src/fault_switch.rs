//! TCP streams that can be paused or made unresponsive.
//!
//! An unresponsive stream behaves like a connection whose state a middlebox has
//! dropped: writes appear to succeed, nothing arrives, and neither a FIN nor an RST
//! is ever received.

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
const UNRESPONSIVE: u8 = 2;

/// Fault state of one connection
#[derive(Debug, Default)]
pub struct FaultSwitch {
    state: AtomicU8,
    reader: AtomicWaker,
    writer: AtomicWaker,
}

impl FaultSwitch {
    /// Pauses or resumes both directions; no effect on an unresponsive connection
    pub fn pause(&self, paused: bool) {
        let (from, to) = if paused { (OPEN, PAUSED) } else { (PAUSED, OPEN) };
        let _ = self.state.compare_exchange(from, to, Ordering::SeqCst, Ordering::SeqCst);
        self.reader.wake();
        self.writer.wake();
    }

    /// Makes the connection unresponsive permanently
    pub fn make_unresponsive(&self) {
        self.state.store(UNRESPONSIVE, Ordering::SeqCst);
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

/// TCP stream whose reads and writes follow a fault switch
#[derive(Debug)]
pub struct SwitchedStream {
    stream: TcpStream,
    switch: Arc<FaultSwitch>,
}

impl SwitchedStream {
    /// Wraps `stream`, whose faults `switch` controls
    pub fn new(stream: TcpStream, switch: Arc<FaultSwitch>) -> SwitchedStream {
        SwitchedStream { stream, switch }
    }
}

impl AsyncRead for SwitchedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        match self.switch.check(&self.switch.reader, context) {
            OPEN => Pin::new(&mut self.stream).poll_read(context, buffer),
            _ => Poll::Pending,
        }
    }
}

impl AsyncWrite for SwitchedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        match self.switch.check(&self.switch.writer, context) {
            OPEN => Pin::new(&mut self.stream).poll_write(context, bytes),
            UNRESPONSIVE => Poll::Ready(Ok(bytes.len())),
            _ => Poll::Pending,
        }
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        match self.switch.check(&self.switch.writer, context) {
            OPEN => Pin::new(&mut self.stream).poll_flush(context),
            UNRESPONSIVE => Poll::Ready(Ok(())),
            _ => Poll::Pending,
        }
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        match self.switch.check(&self.switch.writer, context) {
            OPEN => Pin::new(&mut self.stream).poll_shutdown(context),
            _ => Poll::Pending,
        }
    }
}

/// Open connections of one listener
#[derive(Debug, Default)]
pub struct ConnectionSet {
    connections: Vec<(Weak<FaultSwitch>, AbortHandle)>,
    paused: bool,
}

impl ConnectionSet {
    /// Adds a connection, which starts paused if the set is paused
    pub fn add(&mut self, switch: &Arc<FaultSwitch>, task: AbortHandle) {
        self.connections.retain(|(_, task)| !task.is_finished());
        switch.pause(self.paused);
        self.connections.push((Arc::downgrade(switch), task));
    }

    /// Pauses or resumes all connections, including later ones
    pub fn pause(&mut self, paused: bool) {
        self.paused = paused;
        self.for_each_open(|switch| switch.pause(paused));
    }

    /// Makes the currently open connections unresponsive
    pub fn make_unresponsive(&mut self) {
        self.for_each_open(FaultSwitch::make_unresponsive);
    }

    /// Closes all connections
    pub fn cut(&mut self) {
        for (_, task) in self.connections.drain(..) {
            task.abort();
        }
    }

    fn for_each_open(&self, action: impl Fn(&FaultSwitch)) {
        self.connections
            .iter()
            .filter_map(|(switch, _)| switch.upgrade())
            .for_each(|it| action(&it));
    }
}
