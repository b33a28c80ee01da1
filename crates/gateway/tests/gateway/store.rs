//! Stand-in of the platform's store: keyed topics with one partition.

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use indexmap::IndexMap;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::Notify;

/// Size limit of the records in an answer or on a page, in bytes; the first record is sent in any case.
const MAX_READ_BYTES: usize = 1024 * 1024;

/// Keys on a page of newest records.
const PAGE_ITEMS: usize = 500;

/// How the store answers
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StoreMode {
    /// Answers normally
    Normal,
    /// Answers with 503
    Unavailable,
    /// Never answers
    Unresponsive,
    /// Carries out appends, but never answers them
    Forgetful,
}

#[derive(Debug, Clone, Default)]
struct Topic {
    first: u64,
    records: Vec<(String, Vec<u8>)>,
    newest: IndexMap<String, (Vec<u8>, u64)>,
    /// Records without key and value, by offset
    raw: IndexMap<u64, Vec<u8>>,
}

impl Topic {
    fn end(&self) -> u64 {
        self.first + self.records.len() as u64
    }

    fn append(&mut self, key: &str, value: &[u8]) {
        let offset = self.end();
        self.records.push((key.to_owned(), value.to_vec()));
        if value.is_empty() {
            self.newest.shift_remove(key);
        } else {
            self.newest.insert(key.to_owned(), (value.to_vec(), offset));
        }
    }
}

/// Number of times that the store has come back from a copy, plus one; `None` for no header
type StoreEra = Option<String>;

struct StoreState {
    topics: IndexMap<String, Topic>,
    mode: StoreMode,
    era: StoreEra,
    calls: usize,
    /// Calls by topic
    topic_calls: IndexMap<String, usize>,
    /// Topics whose calls get 503
    declined_topics: Vec<String>,
    /// Status of all answers instead of their own
    status: Option<u16>,
}

/// Content of the store at some time
#[derive(Debug, Clone)]
pub struct StoreCopy(IndexMap<String, Topic>);

/// Link between some instances and the store
#[derive(Debug, Clone, Default)]
pub struct StoreLink {
    is_cut: Arc<AtomicBool>,
}

impl StoreLink {
    /// Cuts or heals the link
    pub fn set_cut(&self, is_cut: bool) {
        self.is_cut.store(is_cut, Ordering::Relaxed);
    }

    async fn answer(&self, store: &FakeStore, request: Request<Incoming>) -> Response<Full<Bytes>> {
        if self.is_cut.load(Ordering::Relaxed) {
            std::future::pending::<()>().await;
        }
        let response = store.answer(request).await;
        if self.is_cut.load(Ordering::Relaxed) {
            std::future::pending::<()>().await;
        }
        response
    }
}

/// Store that runs until the test ends
#[derive(Clone)]
pub struct FakeStore {
    pub address: SocketAddr,
    state: Arc<Mutex<StoreState>>,
    changed: Arc<Notify>,
}

impl FakeStore {
    /// Starts an empty store
    pub async fn start() -> FakeStore {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("free port");
        let address = listener.local_addr().expect("bound");
        let state = StoreState {
            topics: IndexMap::new(),
            mode: StoreMode::Normal,
            era: Some("1".to_owned()),
            calls: 0,
            topic_calls: IndexMap::new(),
            declined_topics: Vec::new(),
            status: None,
        };
        let store = FakeStore {
            address,
            state: Arc::new(Mutex::new(state)),
            changed: Arc::new(Notify::new()),
        };
        store.serve(listener, StoreLink::default());
        store
    }

    /// Another address of the store, whose link can be cut by itself
    pub async fn linked(&self) -> (SocketAddr, StoreLink) {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("free port");
        let (address, link) = (listener.local_addr().expect("bound"), StoreLink::default());
        self.serve(listener, link.clone());
        (address, link)
    }

    fn serve(&self, listener: TcpListener, link: StoreLink) {
        let accepting = self.clone();
        tokio::spawn(async move {
            while let Ok((socket, _)) = listener.accept().await {
                let (store, link) = (accepting.clone(), link.clone());
                tokio::spawn(async move {
                    let service = service_fn(move |request| {
                        let (store, link) = (store.clone(), link.clone());
                        async move { Ok::<_, Infallible>(link.answer(&store, request).await) }
                    });
                    // Errors are ignored, since callers may close connections at any time.
                    let _ =
                        http1::Builder::new().serve_connection(TokioIo::new(socket), service).await;
                });
            }
        });
    }

    /// Appends a record, as operators and endpoints do
    pub fn put(&self, topic: &str, key: &str, value: &[u8]) {
        let mut state = self.state.lock().expect("no panic");
        state.topics.entry(topic.to_owned()).or_default().append(key, value);
        drop(state);
        self.changed.notify_waiters();
    }

    /// Appends a record of these bytes, which need not be a key and a value
    pub fn put_raw(&self, topic: &str, content: &[u8]) {
        let mut state = self.state.lock().expect("no panic");
        let topic = state.topics.entry(topic.to_owned()).or_default();
        topic.raw.insert(topic.end(), content.to_vec());
        topic.records.push((String::new(), Vec::new()));
        drop(state);
        self.changed.notify_waiters();
    }

    /// Drops the history of a topic, but not the newest record of each key
    pub fn forget_history(&self, topic: &str) {
        let mut state = self.state.lock().expect("no panic");
        let topic = state.topics.entry(topic.to_owned()).or_default();
        topic.first = topic.end();
        topic.records.clear();
    }

    /// Copies the content, for a later return from it
    pub fn copy(&self) -> StoreCopy {
        StoreCopy(self.state.lock().expect("no panic").topics.clone())
    }

    /// Returns from a copy: what was written since is gone, and the era rises
    pub fn return_from(&self, copy: StoreCopy) {
        let mut state = self.state.lock().expect("no panic");
        state.topics = copy.0;
        let era = state.era.as_ref().and_then(|it| it.parse::<u64>().ok());
        state.era = era.map(|it| (it + 1).to_string());
        drop(state);
        self.changed.notify_waiters();
    }

    /// Sets the header of the era; `None` for no header
    pub fn set_era(&self, era: Option<&str>) {
        self.state.lock().expect("no panic").era = era.map(str::to_owned);
    }

    /// Whether a key has a value in a topic
    pub fn has_key(&self, topic: &str, key: &str) -> bool {
        let state = self.state.lock().expect("no panic");
        state.topics.get(topic).is_some_and(|it| it.newest.contains_key(key))
    }

    /// Sets how the store answers from now on
    pub fn set_mode(&self, mode: StoreMode) {
        self.state.lock().expect("no panic").mode = mode;
        self.changed.notify_waiters();
    }

    /// Gives all answers this status from now on; `None` for their own
    pub fn set_status(&self, status: Option<u16>) {
        self.state.lock().expect("no panic").status = status;
    }

    /// Answers calls about a topic with 503 from now on
    pub fn decline_topic(&self, topic: &str) {
        self.state.lock().expect("no panic").declined_topics.push(topic.to_owned());
    }

    /// Answers calls about a topic again
    pub fn accept_topic(&self, topic: &str) {
        self.state.lock().expect("no panic").declined_topics.retain(|it| it != topic);
    }

    /// Number of calls so far
    pub fn calls(&self) -> usize {
        self.state.lock().expect("no panic").calls
    }

    /// Number of calls about a topic so far
    pub fn calls_of(&self, topic: &str) -> usize {
        self.state.lock().expect("no panic").topic_calls.get(topic).copied().unwrap_or_default()
    }

    async fn answer(&self, request: Request<Incoming>) -> Response<Full<Bytes>> {
        let mut response = self.answer_in_mode(request).await;
        let state = self.state.lock().expect("no panic");
        if let Some(era) = &state.era {
            response.headers_mut().insert("Store-Era", era.parse().expect("a header value"));
        }
        if let Some(status) = state.status {
            *response.status_mut() = StatusCode::from_u16(status).expect("three digits");
        }
        response
    }

    async fn answer_in_mode(&self, request: Request<Incoming>) -> Response<Full<Bytes>> {
        let mode = {
            let mut state = self.state.lock().expect("no panic");
            state.calls += 1;
            state.mode
        };
        match mode {
            StoreMode::Normal | StoreMode::Forgetful => {}
            StoreMode::Unavailable => return status(StatusCode::SERVICE_UNAVAILABLE),
            StoreMode::Unresponsive => std::future::pending().await,
        }
        let query = query(request.uri().query().unwrap_or_default());
        let is_declined = {
            let mut state = self.state.lock().expect("no panic");
            *state.topic_calls.entry(query["topic"].clone()).or_default() += 1;
            state.declined_topics.contains(&query["topic"])
        };
        if is_declined {
            return status(StatusCode::SERVICE_UNAVAILABLE);
        }
        let path = request.uri().path().to_owned();
        let body = request.into_body().collect().await.map(|it| it.to_bytes()).unwrap_or_default();
        match path.as_str() {
            "/api/log-newest" => self.newest(&query),
            "/api/log-read" => self.read(&query).await,
            "/api/log-append" => {
                let answer = self.append(&query, &body);
                if mode == StoreMode::Forgetful {
                    std::future::pending::<()>().await;
                }
                answer
            }
            _ => status(StatusCode::NOT_FOUND),
        }
    }

    fn newest(&self, query: &IndexMap<String, String>) -> Response<Full<Bytes>> {
        let mut state = self.state.lock().expect("no panic");
        let topic = state.topics.entry(query["topic"].clone()).or_default();
        let after = query.get("after").map(|it| percent_decode(it));
        let skipped = after.and_then(|it| topic.newest.get_index_of(&it)).map_or(0, |it| it + 1);
        let mut bytes = 0;
        let later = topic.newest.iter().skip(skipped).take(PAGE_ITEMS);
        let shown = later.take_while(|(_, (value, _))| {
            bytes += value.len();
            bytes <= MAX_READ_BYTES || bytes == value.len()
        });
        let items = shown.map(|(key, (value, offset))| {
            serde_json::json!({"key": key, "value": STANDARD.encode(value), "offset": offset})
        });
        let items = items.collect::<Vec<_>>();
        let has_more = topic.newest.len() > skipped + items.len();
        let page = serde_json::json!({
            "items": items, "more_pages": has_more, "end": topic.end()
        });
        Response::new(Full::from(page.to_string()))
    }

    async fn read(&self, query: &IndexMap<String, String>) -> Response<Full<Bytes>> {
        let from: u64 = query["from"].parse().expect("an offset");
        let wait: u64 = query["wait_ms"].parse().expect("milliseconds");
        let until = tokio::time::Instant::now() + Duration::from_millis(wait);
        loop {
            let changed = self.changed.notified();
            let (first, end, body) = self.records(&query["topic"], from);
            if from < first || from > end {
                let body = serde_json::json!({"first": first}).to_string();
                let mut response = Response::new(Full::from(body));
                *response.status_mut() = StatusCode::GONE;
                return response;
            }
            if from < end || tokio::time::timeout_at(until, changed).await.is_err() {
                return Response::new(Full::from(body));
            }
        }
    }

    fn records(&self, topic: &str, from: u64) -> (u64, u64, Vec<u8>) {
        let mut state = self.state.lock().expect("no panic");
        let topic = state.topics.entry(topic.to_owned()).or_default();
        let mut body = Vec::new();
        body.extend_from_slice(&topic.end().to_be_bytes());
        body.extend_from_slice(&topic.first.to_be_bytes());
        let skipped = usize::try_from(from.saturating_sub(topic.first)).expect("small");
        for (offset, (key, value)) in (topic.first..).zip(&topic.records).skip(skipped) {
            if body.len() > 16 && body.len() + value.len() > MAX_READ_BYTES {
                break;
            }
            if let Some(raw) = topic.raw.get(&offset) {
                let length = u32::try_from(raw.len()).expect("small");
                body.extend_from_slice(&length.to_be_bytes());
                body.extend_from_slice(raw);
                continue;
            }
            let length = u32::try_from(1 + key.len() + value.len()).expect("small");
            body.extend_from_slice(&length.to_be_bytes());
            body.push(u8::try_from(key.len()).expect("short key"));
            body.extend_from_slice(key.as_bytes());
            body.extend_from_slice(value);
        }
        (topic.first, topic.end(), body)
    }

    /// Appends all records of a call, or none if the topic doesn't end where the call requires
    fn append(&self, query: &IndexMap<String, String>, body: &[u8]) -> Response<Full<Bytes>> {
        let records = records_of(body);
        let mut state = self.state.lock().expect("no panic");
        let topic = state.topics.entry(query["topic"].clone()).or_default();
        let offset = topic.end();
        let at = query.get("at").map(|it| it.parse::<u64>().expect("an offset"));
        if at.is_some_and(|it| it != offset) {
            let mut response = Response::new(Full::from(format!("{{\"end\":{offset}}}")));
            *response.status_mut() = StatusCode::PRECONDITION_FAILED;
            return response;
        }
        for (key, value) in records {
            topic.append(&key, value);
        }
        let end = topic.end();
        drop(state);
        self.changed.notify_waiters();
        Response::new(Full::from(format!("{{\"offset\":{offset},\"end\":{end}}}")))
    }

    /// Keys and values of the records of a topic so far
    pub fn history(&self, topic: &str) -> Vec<(String, Vec<u8>)> {
        let state = self.state.lock().expect("no panic");
        state.topics.get(topic).map(|it| it.records.clone()).unwrap_or_default()
    }
}

fn records_of(mut body: &[u8]) -> Vec<(String, &[u8])> {
    let mut records = Vec::new();
    while let Some((length, rest)) = body.split_at_checked(4) {
        let length = u32::from_be_bytes(length.try_into().expect("four bytes")) as usize;
        let (record, rest) = rest.split_at(length);
        let (key, value) = record[1..].split_at(usize::from(record[0]));
        records.push((String::from_utf8_lossy(key).into_owned(), value));
        body = rest;
    }
    records
}

fn status(code: StatusCode) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::default());
    *response.status_mut() = code;
    response
}

fn query(text: &str) -> IndexMap<String, String> {
    let pairs = text.split('&').filter_map(|it| it.split_once('='));
    pairs.map(|(name, value)| (name.to_owned(), value.to_owned())).collect()
}

fn percent_decode(text: &str) -> String {
    let mut bytes = text.bytes();
    let mut decoded = Vec::new();
    while let Some(byte) = bytes.next() {
        decoded.push(match byte {
            b'%' => {
                let digits = [bytes.next(), bytes.next()].map(Option::unwrap_or_default);
                let digits = str::from_utf8(&digits).expect("two digits");
                u8::from_str_radix(digits, 16).expect("two digits")
            }
            b'+' => b' ',
            other => other,
        });
    }
    String::from_utf8_lossy(&decoded).into_owned()
}
