//! In-memory log with fault injection, shared by the tests.
#![allow(dead_code)]

use catalogue::id::{Offset, StreamName};
use coordination::shared::{LogTiming, SharedLog};
use indexmap::IndexMap;
use platform::log::{LogBatch, LogClient, LogError, LogRecord, ReadRange};
use std::sync::{Arc, Mutex};
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::sync::watch;
use tokio::time::Instant;

#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum AppendFault {
    /// Appended and acknowledged
    #[default]
    None,
    /// Not appended, no answer
    LostRequest,
    /// Appended, no answer
    LostAnswer,
    /// No answer, appended after a delay
    Late(Duration),
    /// Appended twice
    Duplicated,
    /// Appended with one byte changed
    Damaged,
    /// Refused by the rate limit
    Limited,
}

/// State of one instance's link to the log
#[derive(Debug, Clone, Default)]
pub struct LinkState {
    pub is_down: bool,
    pub hangs: bool,
    pub latency: Duration,
    /// Time that the transfer of each record of an answer takes
    pub record_time: Duration,
    pub faults: Vec<AppendFault>,
    pub damaged_reads: u32,
}

#[derive(Debug, Default)]
struct FakeStream {
    trimmed: Offset,
    records: Vec<LogRecord>,
}

/// Log shared by all instances of a test
#[derive(Clone)]
pub struct FakeLog {
    streams: Arc<Mutex<IndexMap<StreamName, FakeStream>>>,
    version: watch::Sender<u64>,
    start: Instant,
    start_ms: u64,
}

/// Controls one instance's link to the log
#[derive(Clone, Default)]
pub struct FakeLink {
    state: Arc<Mutex<LinkState>>,
}

impl FakeLink {
    pub fn set(&self, change: impl FnOnce(&mut LinkState)) {
        change(&mut self.state.lock().unwrap());
    }

    pub fn disconnect(&self) {
        self.set(|it| it.is_down = true);
    }

    pub fn restore(&self) {
        self.set(|it| *it = LinkState::default());
    }

    /// Adds faults for the next appends, in order
    pub fn inject(&self, faults: impl IntoIterator<Item = AppendFault>) {
        self.set(|it| it.faults.extend(faults));
    }

    fn snapshot(&self) -> LinkState {
        self.state.lock().unwrap().clone()
    }

    fn next_fault(&self) -> AppendFault {
        let mut state = self.state.lock().unwrap();
        if state.faults.is_empty() { AppendFault::None } else { state.faults.remove(0) }
    }

    async fn transmit(&self) -> Result<(), LogError> {
        let link = self.snapshot();
        tokio::time::sleep(link.latency / 2).await;
        if link.hangs {
            std::future::pending::<()>().await;
        }
        if link.is_down { Err(LogError::Unavailable) } else { Ok(()) }
    }
}

impl FakeLog {
    pub fn new() -> FakeLog {
        let start_ms = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64;
        FakeLog {
            streams: Arc::default(),
            version: watch::channel(0).0,
            start: Instant::now(),
            start_ms,
        }
    }

    /// Platform's clock, in milliseconds since the Unix epoch
    pub fn now_ms(&self) -> u64 {
        self.start_ms + self.start.elapsed().as_millis() as u64
    }

    pub fn link(&self) -> (LogClient, FakeLink) {
        let link = FakeLink::default();
        let (log, appender) = (self.clone(), link.clone());
        let append = move |stream, data| {
            let (log, link) = (log.clone(), appender.clone());
            Box::pin(async move { log.append(&link, stream, data).await }) as _
        };
        let (log, reader) = (self.clone(), link.clone());
        let read = move |stream, range| {
            let (log, link) = (log.clone(), reader.clone());
            Box::pin(async move { log.read(&link, stream, range).await }) as _
        };
        (LogClient::new(Arc::new(append), Arc::new(read)), link)
    }

    async fn append(
        &self,
        link: &FakeLink,
        stream: StreamName,
        data: String,
    ) -> Result<Offset, LogError> {
        link.transmit().await?;
        let fault = link.next_fault();
        let offset = match fault {
            AppendFault::Limited => return Err(LogError::RateLimited),
            AppendFault::LostRequest => return Err(LogError::Unanswered),
            AppendFault::Late(delay) => {
                let log = self.clone();
                tokio::spawn(async move {
                    tokio::time::sleep(delay).await;
                    log.push(&stream, data);
                });
                return Err(LogError::Unanswered);
            }
            AppendFault::Damaged => self.push(&stream, damaged(&data)),
            AppendFault::Duplicated => {
                self.push(&stream, data.clone());
                self.push(&stream, data)
            }
            AppendFault::None | AppendFault::LostAnswer => self.push(&stream, data),
        };
        link.transmit().await.map_err(|_| LogError::Unanswered)?;
        if fault == AppendFault::LostAnswer { Err(LogError::Unanswered) } else { Ok(offset) }
    }

    /// Appends directly, without any fault
    pub fn push(&self, stream: &str, data: String) -> Offset {
        let mut streams = self.streams.lock().unwrap();
        let stream = streams.entry(stream.into()).or_default();
        let offset = stream.trimmed + stream.records.len() as u64 + 1;
        stream.records.push(LogRecord { offset, time_ms: self.now_ms(), data });
        self.version.send_modify(|it| *it += 1);
        offset
    }

    async fn read(
        &self,
        link: &FakeLink,
        stream: StreamName,
        range: ReadRange,
    ) -> Result<LogBatch, LogError> {
        link.transmit().await?;
        let mut versions = self.version.subscribe();
        let deadline = Instant::now() + range.wait;
        let mut batch = self.batch(&stream, range);
        while batch.records.is_empty() {
            let changed = tokio::time::timeout_at(deadline, versions.changed()).await;
            batch = self.batch(&stream, range);
            if changed.is_err() {
                break;
            }
        }
        link.transmit().await?;
        let record_time = link.snapshot().record_time;
        tokio::time::sleep(record_time * batch.records.len() as u32).await;
        let mut state = link.state.lock().unwrap();
        if state.damaged_reads > 0 && !batch.records.is_empty() {
            state.damaged_reads -= 1;
            batch.records[0].data = damaged(&batch.records[0].data);
        }
        Ok(batch)
    }

    fn batch(&self, stream: &str, range: ReadRange) -> LogBatch {
        let mut streams = self.streams.lock().unwrap();
        let stream = streams.entry(stream.into()).or_default();
        let next = stream.trimmed + stream.records.len() as u64 + 1;
        let requested = stream.records.iter().filter(|it| it.offset >= range.from);
        let records = requested.take(range.max as usize).cloned().collect();
        LogBatch { earliest: stream.trimmed + 1, next, records }
    }

    /// Records of a stream that the log retains
    pub fn records(&self, stream: &str) -> Vec<LogRecord> {
        let range = ReadRange { from: 0, max: u32::MAX, wait: Duration::ZERO };
        self.batch(stream, range).records
    }

    /// Drops the records before an offset, as retention does
    pub fn trim(&self, stream: &str, earliest: Offset) {
        let mut streams = self.streams.lock().unwrap();
        let stream = streams.entry(stream.into()).or_default();
        stream.records.retain(|it| it.offset >= earliest);
        stream.trimmed = stream.trimmed.max(earliest - 1);
    }

    /// Drops the records of all streams that are older than the retention
    pub fn age_out(&self, retention: Duration) {
        let oldest_ms = self.now_ms().saturating_sub(retention.as_millis() as u64);
        for stream in self.streams.lock().unwrap().values_mut() {
            let last = stream.trimmed + stream.records.len() as u64;
            stream.records.retain(|it| it.time_ms >= oldest_ms);
            stream.trimmed = last - stream.records.len() as u64;
        }
    }

    /// Log access of a new instance, and its link
    pub fn shared(&self, instance: &str) -> (SharedLog, FakeLink) {
        let (client, link) = self.link();
        let shared = SharedLog::new(client, instance.into(), LogTiming::default());
        let seed = instance.bytes().map(u64::from).sum();
        (SharedLog { seed, ..shared }, link)
    }
}

fn damaged(data: &str) -> String {
    let mut text = data.to_owned();
    text.pop();
    text.push('~');
    text
}
