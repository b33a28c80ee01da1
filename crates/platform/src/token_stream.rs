//! Token stream of an engine, parsed line by line.

use crate::engine_answer::{EngineError, StreamLine};
use crate::framing::MeteredBody;
use bytes::BytesMut;
use catalogue::id::TokenCount;
use http_body_util::BodyExt;
use std::future::{Future, poll_fn};
use std::pin::{Pin, pin};
use std::task::Poll;
use std::time::Duration;
use tokio::time::{Instant, Sleep, sleep_until};

/// Longest line of a token stream, in bytes.
const MAX_LINE_BYTES: usize = 64 * 1024;

/// Token stream of one request
///
/// Checks that token numbers are contiguous. Dropping the stream closes its
/// connection.
#[derive(Debug)]
pub struct TokenStream {
    body: MeteredBody,
    buffer: BytesMut,
    next: TokenCount,
    ended: bool,
    /// Lines received together with the one that `next` returned
    pending: Vec<StreamLine>,
    /// Error to return after the valid lines before it
    pending_error: Option<EngineError>,
    timer: LineTimer,
}

impl TokenStream {
    /// Stream whose first token has the number `next`
    pub(crate) fn new(body: MeteredBody, next: TokenCount) -> TokenStream {
        TokenStream {
            body,
            buffer: BytesMut::new(),
            next,
            ended: false,
            pending: Vec::new(),
            pending_error: None,
            timer: LineTimer::default(),
        }
    }

    /// Number of the next expected token
    pub fn next_token(&self) -> TokenCount {
        self.next
    }

    /// Whether the end of the answer was received
    pub fn is_ended(&self) -> bool {
        self.ended
    }

    /// Returns the next line; `None` after the end of the answer
    ///
    /// # Errors
    /// As for `next_lines`.
    pub async fn next(
        &mut self,
        line_timeout: Duration,
    ) -> Result<Option<StreamLine>, EngineError> {
        let mut lines = Vec::new();
        self.next_lines(line_timeout, &mut lines).await?;
        if lines.is_empty() {
            return Ok(None);
        }
        self.pending = lines.split_off(1);
        Ok(lines.pop())
    }

    /// Appends the next lines to `lines`, at least one unless the end of the answer was received
    ///
    /// Lines that arrive together are returned together.
    ///
    /// # Errors
    /// `TimedOut` if no line arrives within `line_timeout`, `Truncated` if the connection
    /// closes early, `UnexpectedToken` or `MalformedLine` if the stream is malformed, `Stopped`
    /// if the engine stops it. Valid lines before the error are returned first.
    pub async fn next_lines(
        &mut self,
        line_timeout: Duration,
        lines: &mut Vec<StreamLine>,
    ) -> Result<(), EngineError> {
        if !self.pending.is_empty() {
            lines.append(&mut self.pending);
            return Ok(());
        }
        if let Some(error) = self.pending_error.take() {
            return Err(error);
        }
        if self.ended {
            return Ok(());
        }
        let mut timer = std::mem::take(&mut self.timer);
        let read = timer.limit(line_timeout, self.read_lines(lines)).await;
        self.timer = timer;
        read.unwrap_or(Err(EngineError::TimedOut(line_timeout)))
    }

    async fn read_lines(&mut self, lines: &mut Vec<StreamLine>) -> Result<(), EngineError> {
        let before = lines.len();
        loop {
            match self.take_lines(lines) {
                Ok(()) if lines.len() > before => return Ok(()),
                Ok(()) => self.read_frame().await?,
                Err(error) if lines.len() > before => {
                    self.pending_error = Some(error);
                    return Ok(());
                }
                Err(error) => return Err(error),
            }
        }
    }

    /// Takes the complete lines out of the buffer
    fn take_lines(&mut self, lines: &mut Vec<StreamLine>) -> Result<(), EngineError> {
        while !self.ended
            && let Some(end) = self.buffer.iter().position(|it| *it == b'\n')
        {
            let text = self.buffer.split_to(end + 1);
            let line =
                serde_json::from_slice(&text[..end]).map_err(|_| EngineError::MalformedLine)?;
            self.apply_line(&line)?;
            lines.push(line);
        }
        if self.buffer.len() > MAX_LINE_BYTES { Err(EngineError::MalformedLine) } else { Ok(()) }
    }

    /// Checks the line's number and updates the state of the stream
    fn apply_line(&mut self, line: &StreamLine) -> Result<(), EngineError> {
        match line {
            StreamLine::Token { n, .. } if *n == self.next => self.next += 1,
            StreamLine::Token { n, .. } => {
                return Err(EngineError::UnexpectedToken { expected: self.next, received: *n });
            }
            StreamLine::End { count, .. } if *count == self.next => self.ended = true,
            StreamLine::End { count, .. } => {
                return Err(EngineError::UnexpectedToken { expected: self.next, received: *count });
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
            Some(Err(_)) | None => Err(EngineError::Truncated),
        }
    }
}

/// Timer that is reset only when it fires, since most waits end long before
#[derive(Debug, Default)]
struct LineTimer {
    sleep: Option<Pin<Box<Sleep>>>,
}

impl LineTimer {
    /// Output of the future; `None` if it takes longer than `line_timeout`
    async fn limit<T>(
        &mut self,
        line_timeout: Duration,
        future: impl Future<Output = T>,
    ) -> Option<T> {
        let deadline = Instant::now() + line_timeout;
        let sleep = self.sleep.get_or_insert_with(|| Box::pin(sleep_until(deadline)));
        if sleep.deadline() > deadline {
            sleep.as_mut().reset(deadline);
        }
        let mut future = pin!(future);
        poll_fn(|context| {
            if let Poll::Ready(output) = future.as_mut().poll(context) {
                return Poll::Ready(Some(output));
            }
            while sleep.as_mut().poll(context).is_ready() {
                if Instant::now() >= deadline {
                    return Poll::Ready(None);
                }
                sleep.as_mut().reset(deadline);
            }
            Poll::Pending
        })
        .await
    }
}
