//! Log lines on standard output, bounded and never blocking.
//!
//! Lines are `key=value` pairs. A writer thread takes them from a bounded queue; when
//! it is full, lines are dropped and counted. Beyond a number of lines a second only
//! warnings and errors are written, and a line says how many were left out.

use std::io::Write;
use std::sync::{Mutex, PoisonError};
use std::time::Instant;
use tracing_appender::non_blocking::{ErrorCounter, NonBlockingBuilder, WorkerGuard};

/// Lines that may wait for the writer; about 2 MB.
const MAX_WAITING_LINES: usize = 10_000;

/// Lines written in a second; four for each of 100 requests, twice what an instance gets at its peak.
const MAX_LINES_PER_SECOND: u32 = 400;

/// Lines of the current second
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct LineLimit {
    second: u64,
    lines: u32,
    left_out: u64,
}

/// What to do with a line
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LineVerdict {
    /// Write it, after saying how many were left out before
    Write {
        /// Lines left out in an earlier second
        left_out: u64,
    },
    /// Leave it out
    LeaveOut,
}

impl LineLimit {
    /// Decides on a line in a second, counted from any start
    pub fn verdict(&mut self, second: u64, is_urgent: bool) -> LineVerdict {
        let mut left_out = 0;
        if second != self.second {
            left_out = std::mem::take(&mut self.left_out);
            self.second = second;
            self.lines = 0;
        }
        if self.lines >= MAX_LINES_PER_SECOND && !is_urgent {
            self.left_out += 1;
            return LineVerdict::LeaveOut;
        }
        self.lines += 1;
        LineVerdict::Write { left_out }
    }
}

/// Log that writes until dropped
pub struct JournalWriter {
    _worker: WorkerGuard,
    dropped: ErrorCounter,
}

impl JournalWriter {
    /// Starts logging to standard output at `info`, or at the level of `RUST_LOG`
    pub fn start() -> JournalWriter {
        let (writer, worker) = NonBlockingBuilder::default()
            .buffered_lines_limit(MAX_WAITING_LINES)
            .lossy(true)
            .finish(std::io::stdout());
        let dropped = writer.error_counter();
        let started = Instant::now();
        let limit = Mutex::new(LineLimit::default());
        env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("info"))
            .target(env_logger::Target::Pipe(Box::new(writer)))
            .format(move |line, record| {
                let is_urgent = record.level() <= log::Level::Warn;
                let verdict = {
                    let mut limit = limit.lock().unwrap_or_else(PoisonError::into_inner);
                    limit.verdict(started.elapsed().as_secs(), is_urgent)
                };
                let LineVerdict::Write { left_out } = verdict else {
                    return Ok(());
                };
                let time = line.timestamp_millis();
                if left_out > 0 {
                    writeln!(line, "time={time} level=WARN event=lines_left_out count={left_out}")?;
                }
                writeln!(line, "time={time} level={} {}", record.level(), record.args())
            })
            .init();
        JournalWriter { _worker: worker, dropped }
    }

    /// Lines dropped so far
    pub fn dropped(&self) -> usize {
        self.dropped.dropped_lines()
    }
}
