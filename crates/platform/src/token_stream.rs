//! Token stream of an engine, read line by line.

use crate::engine::{EngineError, StreamLine};
use bytes::BytesMut;
use catalogue::id::TokenCount;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use std::future::{Future, poll_fn};
use std::pin::{Pin, pin};
use std::task::Poll;
use std::time::Duration;
use tokio::time::{Instant, Sleep, sleep_until};

/// Longest line of a token stream, in bytes.
const MAX_LINE_BYTES: usize = 64 * 1024;

/// Token stream of one request
///
/// Token numbers are checked to be contiguous. Dropping the stream closes its
/// connection.
#[derive(Debug)]
pub struct TokenStream {
    body: Incoming,
    buffer: BytesMut,
    next: TokenCount,
    ended: bool,
    /// Lines that came together with one returned by `next`
    pending: Vec<StreamLine>,
    fault: Option<EngineError>,
    timer: SilenceTimer,
}

impl TokenStream {
    /// Stream that begins with a given token
    pub(crate) fn new(body: Incoming, next: TokenCount) -> TokenStream {
        TokenStream {
            body,
            buffer: BytesMut::new(),
            next,
            ended: false,
            pending: Vec::new(),
            fault: None,
            timer: SilenceTimer::default(),
        }
    }

    /// Number of the token due next
    pub fn next_token(&self) -> TokenCount {
        self.next
    }

    /// Whether the end mark has come
    pub fn is_ended(&self) -> bool {
        self.ended
    }

    /// Next line, `None` after the end mark
    ///
    /// # Errors
    /// As for `next_lines`.
    pub async fn next(&mut self, silence: Duration) -> Result<Option<StreamLine>, EngineError> {
        let mut lines = Vec::new();
        self.next_lines(silence, &mut lines).await?;
        if lines.is_empty() {
            return Ok(None);
        }
        self.pending = lines.split_off(1);
        Ok(lines.pop())
    }

    /// Appends the lines that come next, at least one unless the end mark has come
    ///
    /// Lines that arrive together are returned together.
    ///
    /// # Errors
    /// `Silent` when no line comes within `silence`, `BrokenOff` when the
    /// connection ends early, `Gap` and `Line` for a stream that can't be trusted,
    /// `Stopped` when the engine gives up. Sound lines before a fault are returned
    /// first.
    pub async fn next_lines(
        &mut self,
        silence: Duration,
        lines: &mut Vec<StreamLine>,
    ) -> Result<(), EngineError> {
        if !self.pending.is_empty() {
            lines.append(&mut self.pending);
            return Ok(());
        }
        if let Some(fault) = self.fault.take() {
            return Err(fault);
        }
        if self.ended {
            return Ok(());
        }
        let mut timer = std::mem::take(&mut self.timer);
        let read = timer.bound(silence, self.read_lines(lines)).await;
        self.timer = timer;
        read.unwrap_or(Err(EngineError::Silent(silence)))
    }

    async fn read_lines(&mut self, lines: &mut Vec<StreamLine>) -> Result<(), EngineError> {
        let before = lines.len();
        loop {
            match self.take_lines(lines) {
                Ok(()) if lines.len() > before => return Ok(()),
                Ok(()) => self.read_frame().await?,
                Err(fault) if lines.len() > before => {
                    self.fault = Some(fault);
                    return Ok(());
                }
                Err(fault) => return Err(fault),
            }
        }
    }

    /// Takes the whole lines out of the buffer
    fn take_lines(&mut self, lines: &mut Vec<StreamLine>) -> Result<(), EngineError> {
        while !self.ended
            && let Some(end) = self.buffer.iter().position(|it| *it == b'\n')
        {
            let text = self.buffer.split_to(end + 1);
            let line = serde_json::from_slice(&text[..end]).map_err(|_| EngineError::Line)?;
            self.accept(&line)?;
            lines.push(line);
        }
        if self.buffer.len() > MAX_LINE_BYTES { Err(EngineError::Line) } else { Ok(()) }
    }

    fn accept(&mut self, line: &StreamLine) -> Result<(), EngineError> {
        match line {
            StreamLine::Token { n, .. } if *n == self.next => self.next += 1,
            StreamLine::Token { n, .. } => {
                return Err(EngineError::Gap { want: self.next, got: *n });
            }
            StreamLine::End { count, .. } if *count == self.next => self.ended = true,
            StreamLine::End { count, .. } => {
                return Err(EngineError::Gap { want: self.next, got: *count });
            }
            StreamLine::Stopped { reason } => return Err(EngineError::Stopped(*reason)),
        }
        Ok(())
    }

    async fn read_frame(&mut self) -> Result<(), EngineError> {
        match self.body.frame().await {
            Some(Ok(frame)) => {
                if let Ok(data) = frame.into_data() {
                    self.buffer.extend_from_slice(&data);
                }
                Ok(())
            }
            Some(Err(_)) | None => Err(EngineError::BrokenOff),
        }
    }
}

/// Timer that is set anew only when it fires, since most waits end long before
#[derive(Debug, Default)]
struct SilenceTimer {
    sleep: Option<Pin<Box<Sleep>>>,
}

impl SilenceTimer {
    /// Output of a future, `None` if it takes longer than `silence`
    async fn bound<T>(&mut self, silence: Duration, future: impl Future<Output = T>) -> Option<T> {
        let due = Instant::now() + silence;
        let sleep = self.sleep.get_or_insert_with(|| Box::pin(sleep_until(due)));
        if sleep.deadline() > due {
            sleep.as_mut().reset(due);
        }
        let mut future = pin!(future);
        poll_fn(|context| {
            if let Poll::Ready(output) = future.as_mut().poll(context) {
                return Poll::Ready(Some(output));
            }
            while sleep.as_mut().poll(context).is_ready() {
                if Instant::now() >= due {
                    return Poll::Ready(None);
                }
                sleep.as_mut().reset(due);
            }
            Poll::Pending
        })
        .await
    }
}
