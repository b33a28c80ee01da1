//! Log lines on standard output, bounded and never blocking.
//!
//! Lines are `key=value` pairs. A writer thread takes them from a bounded queue; when
//! it is full, lines are dropped and counted.

use std::io::Write;
use tracing_appender::non_blocking::{ErrorCounter, NonBlockingBuilder, WorkerGuard};

/// Lines that may wait for the writer; about 2 MB.
const MAX_WAITING_LINES: usize = 10_000;

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
        env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("info"))
            .target(env_logger::Target::Pipe(Box::new(writer)))
            .format(|line, record| {
                let time = line.timestamp_millis();
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
