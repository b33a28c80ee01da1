//! Endpoints whose work and silences are drawn from a seed.

use super::shape::RunShape;
use crate::endpoint::{
    Arrival, FakeEndpoint, STREAM_END, Step, answer, chunk, event, not_run, stream_head,
};
use crate::store::FakeStore;
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use serde_json::json;
use std::cell::RefCell;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Pools; routes of plain requests move between the first two.
pub const POOLS: [&str; 3] = ["plain", "spare", "engines"];
const ENDPOINTS_PER_POOL: usize = 3;
/// Endpoints of each pool that take the places of others.
const SPARES_PER_POOL: usize = 3;
/// Work in milliseconds, fraction of requests with more of it, and how much more.
const WORK_MS: std::ops::RangeInclusive<u64> = 20..=90;
const LONG_FRACTION: f64 = 0.08;
const LONG_FACTOR: u64 = 5;
/// Events of a stream, and of a long one.
const EVENTS: std::ops::RangeInclusive<usize> = 3..=8;
const LONG_STREAM_EVENTS: std::ops::RangeInclusive<usize> = 20..=60;

/// Numbers of requests of which one is refused, and of streams of which one breaks off or fails.
const REFUSED_OF: usize = 40;
const BROKEN_OF: usize = 20;
/// Time after a refusal at which its copy follows.
const COPY_PAUSE: Duration = Duration::from_millis(2);
const REFUSAL: &str = "503 Service Unavailable";

/// What an endpoint does instead of a whole answer
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum EndpointFault {
    /// Refuses the request, and writes the refusal once more
    CopiedRefusal,
    /// Ends the connection of a stream after this number of events
    BrokenStream(usize),
    /// Answers a stream that goes on here with an error, with another answer, or not at all
    FailedStream,
    OtherAnswer,
    NoAnswer,
}

/// When an endpoint does nothing
#[derive(Debug, Clone, Default)]
pub struct Silences(Vec<(Instant, Instant)>);

impl Silences {
    /// Time at which work of this length ends that begins at a moment
    fn end_of(&self, begun_at: Instant, work: Duration) -> Instant {
        let mut end = begun_at + work;
        for (from, to) in &self.0 {
            if *from <= end && *to > begun_at {
                end += *to - (*from).max(begun_at);
            }
        }
        end
    }
}

/// Endpoint with its silences
pub struct SilentEndpoint {
    pub endpoint: FakeEndpoint,
    pool: &'static str,
    zone: &'static str,
    silences: Arc<Silences>,
}

impl SilentEndpoint {
    async fn start(index: usize, zone: &'static str, silences: Silences) -> SilentEndpoint {
        let pool = POOLS[index % POOLS.len()];
        let silences = Arc::new(silences);
        let own = silences.clone();
        let id = format!("{pool}-{index}");
        let name = id.clone();
        let endpoint = FakeEndpoint::start(&id, move |it| steps(it, &name, &own)).await;
        for (from, to) in &silences.0 {
            endpoint.silence_pages(*from, *to);
        }
        SilentEndpoint { endpoint, pool, zone, silences }
    }

    /// Puts its entry into the store
    fn list(&self, store: &FakeStore, state: &str, sequence: u64) {
        let mut entry = json!({
            "service": self.pool, "address": self.endpoint.address, "zone": self.zone,
            "version": "v1", "slots": 50, "state": state, "cold_left_ms": 0, "sequence": sequence,
            "born": self.endpoint.start_of_incarnation(1)
        });
        if self.pool == "engines" {
            entry["stage"] = "decode".into();
        }
        store.put("keyed.servers", &self.endpoint.id, entry.to_string().as_bytes());
    }

    /// Time at which the endpoint is done with a request
    pub fn end_of(&self, arrival: &Arrival) -> Instant {
        let times = times(arrival, &self.silences);
        times.last().copied().unwrap_or(arrival.at)
    }

    /// Whether the endpoint ends the connection before the end of its answer
    pub fn breaks_off(&self, arrival: &Arrival) -> bool {
        let fault = fault(arrival, &self.endpoint.id);
        matches!(fault, Some(EndpointFault::BrokenStream(_) | EndpointFault::NoAnswer))
    }
}

/// Endpoints of all pools
pub struct EndpointFleet {
    all: Vec<SilentEndpoint>,
    /// Indices of those that are listed as ready, and of those that are yet to be listed
    ready: RefCell<Vec<usize>>,
    spares: RefCell<Vec<usize>>,
}

impl std::ops::Deref for EndpointFleet {
    type Target = [SilentEndpoint];

    fn deref(&self) -> &[SilentEndpoint] {
        &self.all
    }
}

impl EndpointFleet {
    /// Starts the endpoints, which fall silent for about a second in the time from now on, and lists them
    pub async fn start(
        store: &FakeStore,
        shape: RunShape,
        length: Duration,
        rng: &mut SmallRng,
    ) -> EndpointFleet {
        let listed = POOLS.len() * ENDPOINTS_PER_POOL;
        let spares = if shape.has_planned_work { POOLS.len() * SPARES_PER_POOL } else { 0 };
        let mut silences = vec![Silences::default(); listed + spares];
        let (start, mut at) = (Instant::now(), Duration::from_secs(2));
        while at < length {
            let all = rng.random::<bool>();
            let time = Duration::from_millis(rng.random_range(900..1300));
            for it in &mut silences {
                if all || rng.random::<bool>() {
                    it.0.push((start + at, start + at + time));
                }
            }
            at += time + Duration::from_millis(rng.random_range(500..5000));
        }
        let zones = shape.zone_names();
        let mut all = Vec::new();
        for (index, silences) in silences.into_iter().enumerate() {
            // Each pool has endpoints in several zones.
            let zone = zones[(index / POOLS.len()) % zones.len()];
            all.push(SilentEndpoint::start(index, zone, silences).await);
        }
        all[..listed].iter().for_each(|it| it.list(store, "ready", 1));
        EndpointFleet {
            all,
            ready: RefCell::new((0..listed).collect()),
            spares: RefCell::new((listed..listed + spares).collect()),
        }
    }

    /// Lists a new endpoint of a pool and lets the oldest one leave; `None` if there is no new one
    pub fn replace_one(&self, store: &FakeStore, pool: &str) -> Option<usize> {
        let take = |indices: &RefCell<Vec<usize>>| {
            let mut indices = indices.borrow_mut();
            let position = indices.iter().position(|it| self.all[*it].pool == pool)?;
            Some(indices.remove(position))
        };
        let new = take(&self.spares)?;
        let leaving = take(&self.ready)?;
        self.all[new].list(store, "ready", 1);
        self.all[leaving].list(store, "draining", 2);
        self.ready.borrow_mut().push(new);
        Some(leaving)
    }

    /// Removes an endpoint that has left from the list
    pub fn remove(&self, store: &FakeStore, index: usize) {
        store.put("keyed.servers", &self.all[index].endpoint.id, b"");
    }
}

/// Body of the answer to the request with this id
pub fn answer_body(id: &str) -> String {
    format!("answer of {id}")
}

/// Events of the stream for the request with this id, after one of them
pub fn stream_body(id: &str, last_event: usize) -> String {
    (last_event + 1..=event_count(id)).map(event).collect()
}

fn generator(id: &str, purpose: &str) -> SmallRng {
    let mut hasher = DefaultHasher::new();
    (id, purpose).hash(&mut hasher);
    SmallRng::seed_from_u64(hasher.finish())
}

fn event_count(id: &str) -> usize {
    let mut rng = generator(id, "events");
    let range = if rng.random_bool(LONG_FRACTION) { LONG_STREAM_EVENTS } else { EVENTS };
    rng.random_range(range)
}

fn last_event(arrival: &Arrival) -> usize {
    arrival.header("last-event-id").map_or(0, |it| it.parse().expect("a number"))
}

/// Times of all parts of an answer
fn times(arrival: &Arrival, silences: &Silences) -> Vec<Instant> {
    let id = arrival.header("x-request-id").unwrap_or_default();
    let mut rng = generator(id, "work");
    let is_stream = arrival.header("x-token-count").is_some();
    let parts = if is_stream { event_count(id).saturating_sub(last_event(arrival)) } else { 1 };
    let mut now = arrival.at;
    let mut times = Vec::new();
    for _ in 0..parts {
        let is_long = !is_stream && rng.random_bool(LONG_FRACTION);
        let factor = if is_long { LONG_FACTOR } else { 1 };
        let work = Duration::from_millis(rng.random_range(WORK_MS) * factor);
        now = silences.end_of(now, work);
        times.push(now);
    }
    times
}

fn fault(arrival: &Arrival, endpoint: &str) -> Option<EndpointFault> {
    let id = arrival.header("x-request-id").unwrap_or_default();
    let mut rng = generator(&format!("{id} {endpoint}"), "fault");
    if rng.random_range(0..REFUSED_OF) == 0 {
        return Some(EndpointFault::CopiedRefusal);
    }
    // Only streams break off.
    arrival.header("x-token-count")?;
    if last_event(arrival) > 0 {
        return [
            None,
            Some(EndpointFault::FailedStream),
            Some(EndpointFault::OtherAnswer),
            Some(EndpointFault::NoAnswer),
        ]
        .choose(&mut rng)
        .copied()
        .flatten();
    }
    let is_broken = rng.random_range(0..BROKEN_OF) == 0;
    is_broken.then(|| EndpointFault::BrokenStream(rng.random_range(1..*EVENTS.start())))
}

fn steps(arrival: &Arrival, endpoint: &str, silences: &Silences) -> Vec<Step> {
    match fault(arrival, endpoint) {
        None => whole_answer(arrival, silences),
        Some(EndpointFault::CopiedRefusal) => {
            let refusal = not_run(arrival, REFUSAL);
            vec![Step::Write(refusal.clone()), Step::Pause(COPY_PAUSE), Step::Write(refusal)]
        }
        Some(EndpointFault::BrokenStream(events)) => {
            let mut steps = whole_answer(arrival, silences);
            // A pause and a write for each event, and the head.
            steps.truncate(events * 2 + 1);
            steps.push(Step::Reset);
            steps
        }
        Some(EndpointFault::FailedStream) => {
            vec![Step::Write(answer(arrival, "500 Internal Server Error", "failed"))]
        }
        Some(EndpointFault::OtherAnswer) => vec![Step::Write(answer(arrival, "200 OK", "other"))],
        Some(EndpointFault::NoAnswer) => vec![Step::Close],
    }
}

fn whole_answer(arrival: &Arrival, silences: &Silences) -> Vec<Step> {
    let id = arrival.header("x-request-id").unwrap_or_default();
    let times = times(arrival, silences);
    let starts = [arrival.at].into_iter().chain(times.iter().copied());
    let pauses = times.iter().zip(starts).map(|(end, start)| *end - start);
    if arrival.header("x-token-count").is_none() {
        let mut steps = pauses.map(Step::Pause).collect::<Vec<_>>();
        steps.push(Step::Write(answer(arrival, "200 OK", &answer_body(id))));
        return steps;
    }
    let mut steps = Vec::new();
    for (number, pause) in (last_event(arrival) + 1..).zip(pauses) {
        steps.push(Step::Pause(pause));
        if steps.len() == 1 {
            steps.push(Step::Write(stream_head(arrival)));
        }
        steps.push(Step::Write(chunk(&event(number))));
    }
    steps.push(Step::Write(STREAM_END.to_vec()));
    steps
}
