//! Non-blocking, rate-limited logging to standard output.
//!
//! Lines consist of `key=value` pairs. A writer thread takes them from a bounded queue;
//! when it is full, lines are dropped and counted. Above a number of lines per second
//! only warnings and errors are written, and the next line states how many were
//! suppressed.

use std::io::Write;
use std::sync::{Mutex, PoisonError};
use std::time::Instant;
use tracing_appender::non_blocking::{ErrorCounter, NonBlockingBuilder, WorkerGuard};

/// Capacity of the queue, in lines; about 2 MB.
const MAX_QUEUED_LINES: usize = 10_000;

/// Lines per second above which only warnings and errors are written: four for each of 100 requests,
/// which is twice the peak load of an instance.
const MAX_LINES_PER_SECOND: u32 = 400;

/// Rate limit of log lines
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct LineLimit {
    second: u64,
    lines: u32,
    suppressed: u64,
}

/// Whether to write a line
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LineDecision {
    /// Write it, after a line that reports earlier suppressed lines
    Write {
        /// Lines suppressed in an earlier second; 0 for none to report
        suppressed: u64,
    },
    Suppress,
}

impl LineLimit {
    /// Decides on a line; `second` counts from an arbitrary start
    pub fn decide(&mut self, second: u64, is_urgent: bool) -> LineDecision {
        let mut suppressed = 0;
        if second != self.second {
            suppressed = std::mem::take(&mut self.suppressed);
            self.second = second;
            self.lines = 0;
        }
        if self.lines >= MAX_LINES_PER_SECOND && !is_urgent {
            self.suppressed += 1;
            return LineDecision::Suppress;
        }
        self.lines += 1;
        LineDecision::Write { suppressed }
    }
}

/// Logger that writes until it is dropped
pub struct LogWriter {
    _worker: WorkerGuard,
    dropped: ErrorCounter,
}

impl LogWriter {
    /// Starts logging to standard output at `info`, or at the level of `RUST_LOG`
    pub fn start() -> LogWriter {
        let (writer, worker) = NonBlockingBuilder::default()
            .buffered_lines_limit(MAX_QUEUED_LINES)
            .lossy(true)
            .finish(std::io::stdout());
        let dropped = writer.error_counter();
        let started = Instant::now();
        let limit = Mutex::new(LineLimit::default());
        env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("info"))
            .target(env_logger::Target::Pipe(Box::new(writer)))
            .format(move |line, record| {
                let is_urgent = record.level() <= log::Level::Warn;
                let decision = {
                    let mut limit = limit.lock().unwrap_or_else(PoisonError::into_inner);
                    limit.decide(started.elapsed().as_secs(), is_urgent)
                };
                let LineDecision::Write { suppressed } = decision else {
                    return Ok(());
                };
                let time = line.timestamp_millis();
                if suppressed > 0 {
                    writeln!(
                        line,
                        "time={time} level=WARN event=lines_left_out count={suppressed}"
                    )?;
                }
                writeln!(line, "time={time} level={} {}", record.level(), record.args())
            })
            .init();
        LogWriter { _worker: worker, dropped }
    }

    /// Returns the number of lines dropped so far, also after the writer has ended
    pub fn dropped_lines(&self) -> impl Fn() -> usize + 'static {
        let dropped = self.dropped.clone();
        move || dropped.dropped_lines()
    }
}
