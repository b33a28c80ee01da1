//! Clients behind a model of the platform's load balancer.

use super::exchange::{Exchange, exchange};
use super::shape::RunShape;
use super::{RequestRecord, StopRun};
use crate::client::RawClient;
use rand::Rng;
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::{interval, sleep, timeout};

/// Probes, and misses in a row after which an instance is out of rotation.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);
const MAX_MISSES: usize = 2;
/// Fraction of clients that keep their connections.
const KEEPING_FRACTION: f64 = 0.75;
/// Longest pauses between requests and between the parts of one, and pause after a failed connection.
const MAX_PAUSE: Duration = Duration::from_secs(3);
const MAX_PART_PAUSE_MS: u64 = 30;
const CONNECT_PAUSE: Duration = Duration::from_millis(50);
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Deadline that clients state for streams, and time after any deadline in which they give up.
const STREAM_DEADLINE: Duration = Duration::from_millis(9000);
const PATIENCE: Duration = Duration::from_millis(1500);

/// Load balancer of each zone
#[derive(Default)]
pub struct Balancer {
    /// Failed probes in a row, by instance
    misses: RefCell<Vec<usize>>,
}

impl Balancer {
    /// Probes each instance once a second for the life of the run
    pub async fn probe_all(run: Rc<StopRun>) {
        let mut ticks = interval(PROBE_INTERVAL);
        run.balancer.misses.replace(vec![0; run.machines.len()]);
        loop {
            ticks.tick().await;
            for (index, machine) in run.machines.iter().enumerate() {
                let (run, address) = (run.clone(), machine.borrow().instance.ready());
                tokio::task::spawn_local(async move {
                    let is_ready = timeout(PROBE_INTERVAL, is_ready(address)).await;
                    let misses = &mut run.balancer.misses.borrow_mut()[index];
                    *misses = if is_ready.unwrap_or(false) { 0 } else { *misses + 1 };
                });
            }
        }
    }

    /// Instance of a zone for a new connection
    fn choose(&self, shape: RunShape, zone: &str, rng: &mut SmallRng) -> usize {
        let misses = self.misses.borrow();
        let all = (0..misses.len()).filter(|it| shape.zone(*it) == zone).collect::<Vec<_>>();
        let is_used = |it: &usize| misses[*it] < MAX_MISSES;
        let mut used = all.iter().copied().filter(is_used).collect::<Vec<_>>();
        if used.len() * 2 < all.len() {
            used = all;
        }
        *used.choose(rng).expect("not empty")
    }
}

/// Whether an instance says that it is ready
pub async fn is_ready(address: SocketAddr) -> bool {
    let Some(mut client) = RawClient::try_connect(address).await else { return false };
    let answer = client.exchange("GET /api/readyz HTTP/1.1\r\nHost: x\r\n\r\n").await;
    answer.is_some_and(|it| it.status == 200)
}

/// Connection to the process of an instance
struct ClientConnection {
    socket: TcpStream,
    /// Index of the process
    process: usize,
}

/// Sends requests, one at a time, until the run is over
pub async fn send_requests(run: Rc<StopRun>, client: usize, mut rng: SmallRng) {
    let keeps = rng.random_bool(KEEPING_FRACTION);
    let mut kept = None::<ClientConnection>;
    let mut number = 0;
    while !run.is_over.get() {
        // Most pauses are short.
        sleep(MAX_PAUSE.mul_f64(rng.random::<f64>().powi(8))).await;
        let connection = match kept.take().filter(|it| is_open(&run, it)) {
            Some(connection) => connection,
            None => match connect(&run, run.shape.zone(client), &mut rng).await {
                Some(connection) => connection,
                None => {
                    run.failed_connects.set(run.failed_connects.get() + 1);
                    sleep(CONNECT_PAUSE).await;
                    continue;
                }
            },
        };
        number += 1;
        let id = format!("c{client}-{number}");
        let request = ClientRequest::draw(id, run.shape.plain_deadline, &mut rng);
        let ClientConnection { mut socket, process } = connection;
        let seen = exchange(&mut socket, &request.parts, request.deadline + PATIENCE).await;
        if keeps && seen.keeps_connection() {
            kept = Some(ClientConnection { socket, process });
        }
        run.records.borrow_mut().push(RequestRecord { request, process, seen });
    }
}

async fn connect(run: &StopRun, zone: &str, rng: &mut SmallRng) -> Option<ClientConnection> {
    let machine = &run.machines[run.balancer.choose(run.shape, zone, rng)];
    let address = machine.borrow().instance.clients;
    let socket = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await.ok()?.ok()?;
    socket.set_nodelay(true).ok()?;
    Some(ClientConnection { socket, process: machine.borrow().process })
}

/// Whether a kept connection can be used; bytes without a request are recorded
fn is_open(run: &StopRun, connection: &ClientConnection) -> bool {
    let mut byte = [0; 1];
    match connection.socket.try_read(&mut byte) {
        Ok(0) => false,
        Ok(_) => {
            run.unasked_bytes.set(run.unasked_bytes.get() + 1);
            false
        }
        Err(error) => error.kind() == std::io::ErrorKind::WouldBlock,
    }
}

/// Sends one request to an instance on a new connection; whether it is served
pub async fn is_served(address: SocketAddr, request: &ClientRequest) -> bool {
    let Ok(mut socket) = TcpStream::connect(address).await else { return false };
    let Exchange { answer, .. } = exchange(&mut socket, &request.parts, request.deadline).await;
    answer.status == 200 && answer.is_whole
}

/// Request with the way in which it is sent
#[derive(Debug, Clone)]
pub struct ClientRequest {
    pub id: String,
    pub route: &'static str,
    pub body: Vec<u8>,
    pub deadline: Duration,
    /// Bytes that are written at once, each after a pause
    pub parts: Vec<(Duration, Vec<u8>)>,
}

impl ClientRequest {
    fn draw(id: String, plain_deadline: Duration, rng: &mut SmallRng) -> ClientRequest {
        match rng.random_range(0..10) {
            0..=1 => ClientRequest::lookup(id, plain_deadline),
            2 => ClientRequest::stream("resumed", id),
            3 => ClientRequest::stream("streams", id),
            4..=7 => ClientRequest::chunked_entry(id, plain_deadline, rng),
            _ => ClientRequest::entry(id, plain_deadline, rng),
        }
    }

    /// Idempotent request
    pub fn lookup(id: String, deadline: Duration) -> ClientRequest {
        let head = head("GET", "lookups", &id, deadline);
        let parts = vec![(Duration::ZERO, format!("{head}\r\n").into_bytes())];
        ClientRequest { id, route: "lookups", body: Vec::new(), deadline, parts }
    }

    /// Generation
    pub fn stream(route: &'static str, id: String) -> ClientRequest {
        let head = head("POST", route, &id, STREAM_DEADLINE);
        let text = format!(
            "{head}X-Model: m\r\nX-Token-Count: 600,130\r\nX-Prompt-Prefix: aa{id}:500,bb:100\r\n\
             Content-Length: 4\r\n\r\ntext"
        );
        let parts = vec![(Duration::ZERO, text.into_bytes())];
        ClientRequest { id, route, body: b"text".to_vec(), deadline: STREAM_DEADLINE, parts }
    }

    /// Once-only request with a length
    pub fn entry(id: String, deadline: Duration, rng: &mut SmallRng) -> ClientRequest {
        let body = draw_body(&id, rng);
        let head = head("POST", "entries", &id, deadline);
        let mut bytes = format!("{head}Content-Length: {}\r\n\r\n", body.len()).into_bytes();
        let head_length = bytes.len();
        bytes.extend(&body);
        let mut cuts = vec![0, bytes.len()];
        if rng.random::<bool>() {
            cuts.push(head_length);
        }
        for _ in 0..rng.random_range(0..3) {
            cuts.push(rng.random_range(head_length..bytes.len()));
        }
        cuts.sort_unstable();
        cuts.dedup();
        let spans = cuts.windows(2).map(|it| bytes[it[0]..it[1]].to_vec());
        let parts = with_pauses(spans.collect(), rng);
        ClientRequest { id, route: "entries", body, deadline, parts }
    }

    /// Once-only request in chunks
    fn chunked_entry(id: String, deadline: Duration, rng: &mut SmallRng) -> ClientRequest {
        let body = draw_body(&id, rng);
        let head = head("POST", "entries", &id, deadline);
        let mut spans = vec![format!("{head}Transfer-Encoding: chunked\r\n\r\n").into_bytes()];
        let size = body.len().div_ceil(rng.random_range(1..=5));
        let with_head = rng.random::<bool>();
        for (index, data) in body.chunks(size).enumerate() {
            let mut chunk = format!("{:x}\r\n", data.len()).into_bytes();
            chunk.extend(data);
            chunk.extend(b"\r\n");
            match index == 0 && with_head {
                true => spans[0].extend(chunk),
                false => spans.push(chunk),
            }
        }
        match rng.random::<bool>() {
            true => spans.push(b"0\r\n\r\n".to_vec()),
            false => spans.last_mut().expect("not empty").extend(b"0\r\n\r\n"),
        }
        let parts = with_pauses(spans, rng);
        ClientRequest { id, route: "entries", body, deadline, parts }
    }

    /// Whether it may run once only
    pub fn is_once_only(&self) -> bool {
        matches!(self.route, "entries" | "streams")
    }

    /// Whether it is answered with a stream
    pub fn is_stream(&self) -> bool {
        matches!(self.route, "resumed" | "streams")
    }
}

fn head(method: &str, route: &str, id: &str, deadline: Duration) -> String {
    let deadline_ms = deadline.as_millis();
    format!(
        "{method} /{route}/x HTTP/1.1\r\nHost: host.example\r\nX-Request-Id: {id}\r\n\
         X-Deadline-Ms: {deadline_ms}\r\n"
    )
}

fn draw_body(id: &str, rng: &mut SmallRng) -> Vec<u8> {
    format!("{id} ").repeat(rng.random_range(10..800)).into_bytes()
}

fn with_pauses(parts: Vec<Vec<u8>>, rng: &mut SmallRng) -> Vec<(Duration, Vec<u8>)> {
    let mut parts = parts
        .into_iter()
        .map(|it| (Duration::from_millis(rng.random_range(0..=MAX_PART_PAUSE_MS)), it))
        .collect::<Vec<_>>();
    parts[0].0 = Duration::ZERO;
    parts
}
