//! Model of hedged requests to a plain service: endpoints with slots and queues, some of them slow.
//!
//! One instance sees all requests. The first answer wins, and the other copy is cancelled
//! at once, whether it is being served or queued.

use catalogue::id::EndpointId;
use decide::serving::hedge::{HedgeHistory, HedgeRequest, SLOW_PENALTY_REQUESTS};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, Exp, LogNormal};
use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::time::{Duration, Instant};

/// Median service time of a usual endpoint, in milliseconds, and the spread of its logarithm.
const SERVICE_MS: f64 = 20.0;
const SERVICE_SPREAD: f64 = 0.3;
/// Slots of an endpoint.
const SLOTS: usize = 6;
/// Time left of a request when it arrives, in milliseconds.
const DEADLINE_MS: f64 = 2000.0;
/// Part of a run that is not measured, while nothing is learned.
const WARM_UP: f64 = 0.2;

/// When second copies are sent
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum HedgePolicy {
    Off,
    /// Each request that waits longer than the usual median
    Naive,
    /// The gateway's, with this ratio
    Gateway(f64),
}

/// Load and endpoints of a run
#[derive(Debug, Clone, Copy)]
pub struct HedgeLoad {
    pub endpoints: usize,
    pub slow_endpoints: usize,
    pub slow_factor: f64,
    /// Requests a second, and in the second half of the run
    pub rate: f64,
    pub later_rate: f64,
    /// Factor of all endpoints' times in the second half of the run
    pub later_factor: f64,
    pub seconds: f64,
}

/// Outcome of a run
#[derive(Debug, Clone, Copy)]
pub struct HedgeOutcome {
    pub p50_ms: f64,
    pub p99_ms: f64,
    pub p999_ms: f64,
    /// Second copies per request
    pub extra: f64,
    /// Second copies per request of the second half of the run
    pub later_extra: f64,
}

#[derive(Debug, Clone, Copy, PartialEq, PartialOrd)]
enum Event {
    Arrival,
    /// Request whose wait has reached the delay
    Due(usize),
    /// Slot of an endpoint that a copy leaves
    Done(usize, usize),
}

struct Request {
    arrived: f64,
    /// Service times of its copies at a usual endpoint, the same under each policy
    base_ms: [f64; 2],
    /// Endpoints of its copies
    copies: Vec<usize>,
    is_done: bool,
}

struct Endpoint {
    id: EndpointId,
    factor: f64,
    busy: Vec<usize>,
    queue: VecDeque<usize>,
}

impl Endpoint {
    fn in_flight(&self) -> usize {
        self.busy.len() + self.queue.len()
    }
}

struct Run {
    load: HedgeLoad,
    policy: HedgePolicy,
    random: ChaCha8Rng,
    start: Instant,
    now: f64,
    events: BinaryHeap<Reverse<(u64, usize)>>,
    kinds: Vec<Event>,
    endpoints: Vec<Endpoint>,
    requests: Vec<Request>,
    history: HedgeHistory,
    times: Vec<f64>,
    /// Copies by half of the run, and requests by half
    extra: [usize; 2],
    counts: [usize; 2],
}

/// Runs a load under a policy
pub fn run(load: HedgeLoad, policy: HedgePolicy, seed: u64) -> HedgeOutcome {
    let endpoint = |it: usize| Endpoint {
        id: format!("e{it}").into(),
        factor: if it < load.slow_endpoints { load.slow_factor } else { 1.0 },
        busy: Vec::new(),
        queue: VecDeque::new(),
    };
    let mut run = Run {
        load,
        policy,
        random: ChaCha8Rng::seed_from_u64(seed),
        start: Instant::now(),
        now: 0.0,
        events: BinaryHeap::new(),
        kinds: Vec::new(),
        endpoints: (0..load.endpoints).map(endpoint).collect(),
        requests: Vec::new(),
        history: HedgeHistory::default(),
        times: Vec::new(),
        extra: [0; 2],
        counts: [0; 2],
    };
    run.schedule(0.0, Event::Arrival);
    while let Some(Reverse((at, event))) = run.events.pop() {
        run.now = at as f64 / 1000.0;
        match run.kinds[event] {
            Event::Arrival => run.arrive(),
            Event::Due(request) => run.hedge(request),
            Event::Done(endpoint, request) => run.finish(endpoint, request),
        }
    }
    run.outcome()
}

impl Run {
    fn schedule(&mut self, delay_ms: f64, event: Event) {
        let at = ((self.now + delay_ms) * 1000.0) as u64;
        self.events.push(Reverse((at, self.kinds.len())));
        self.kinds.push(event);
    }

    fn time(&self, at_ms: f64) -> Instant {
        self.start + Duration::from_secs_f64(at_ms / 1000.0)
    }

    fn half(&self) -> usize {
        usize::from(self.now > self.load.seconds * 500.0)
    }

    fn arrive(&mut self) {
        let half = self.half();
        let rate = if half == 0 { self.load.rate } else { self.load.later_rate };
        let pause = Exp::new(rate / 1000.0).map_or(1.0, |it| it.sample(&mut self.random));
        if self.now + pause < self.load.seconds * 1000.0 {
            self.schedule(pause, Event::Arrival);
        }
        self.counts[half] += 1;
        let now = self.time(self.now);
        self.history.record_request(now);
        let request = self.requests.len();
        let base_ms = [self.draw_service(), self.draw_service()];
        let (arrived, copies) = (self.now, Vec::new());
        self.requests.push(Request { arrived, base_ms, copies, is_done: false });
        let draw = self.random.random_range(0..self.endpoints.len());
        if let Some(endpoint) = self.pick(&[], draw) {
            self.send(request, endpoint);
        }
        let delay = match self.policy {
            HedgePolicy::Off => None,
            HedgePolicy::Naive => Some(SERVICE_MS),
            HedgePolicy::Gateway(_) => self.history.delay().map(|it| it.as_secs_f64() * 1000.0),
        };
        if let Some(delay) = delay {
            self.schedule(delay, Event::Due(request));
        }
    }

    fn draw_service(&mut self) -> f64 {
        let times = LogNormal::new(SERVICE_MS.ln(), SERVICE_SPREAD);
        times.map_or(SERVICE_MS, |it| it.sample(&mut self.random))
    }

    /// Least loaded endpoint, as the gateway picks it
    fn pick(&self, excluded: &[usize], draw: usize) -> Option<usize> {
        let now = self.time(self.now);
        let avoids = matches!(self.policy, HedgePolicy::Gateway(_));
        let count = self.endpoints.len();
        let key = |it: usize| {
            let endpoint = &self.endpoints[it];
            let is_slow = avoids && self.history.is_slow(&endpoint.id, now);
            (
                endpoint.in_flight() + if is_slow { SLOW_PENALTY_REQUESTS as usize } else { 0 },
                (it + draw) % count,
            )
        };
        (0..count).filter(|it| !excluded.contains(it)).min_by_key(|it| key(*it))
    }

    fn send(&mut self, request: usize, endpoint: usize) {
        self.requests[request].copies.push(endpoint);
        self.endpoints[endpoint].queue.push_back(request);
        self.serve_next(endpoint);
    }

    fn serve_next(&mut self, endpoint: usize) {
        while self.endpoints[endpoint].busy.len() < SLOTS {
            let Some(request) = self.endpoints[endpoint].queue.pop_front() else { return };
            self.endpoints[endpoint].busy.push(request);
            let is_second = self.requests[request].copies[0] != endpoint;
            let base = self.requests[request].base_ms[usize::from(is_second)];
            let later = if self.half() == 0 { 1.0 } else { self.load.later_factor };
            let took = base * self.endpoints[endpoint].factor * later;
            self.schedule(took, Event::Done(endpoint, request));
        }
    }

    fn hedge(&mut self, request: usize) {
        if self.requests[request].is_done {
            return;
        }
        let copies = self.requests[request].copies.clone();
        let Some(target) = self.pick(&copies, request) else { return };
        if let HedgePolicy::Gateway(ratio) = self.policy {
            let waited = self.now - self.requests[request].arrived;
            let decision = HedgeRequest {
                ratio,
                time_left: Duration::from_secs_f64((DEADLINE_MS - waited).max(0.0) / 1000.0),
                is_suspected: false,
                is_current: true,
                target_load: Some((self.endpoints[target].in_flight() as u32, SLOTS as u32)),
                has_spare_retries: true,
            };
            let now = self.time(self.now);
            if self.history.try_hedge(&decision, now).is_err() {
                return;
            }
        }
        let half = self.half();
        self.extra[half] += 1;
        self.send(request, target);
    }

    fn finish(&mut self, endpoint: usize, request: usize) {
        let Some(slot) = self.endpoints[endpoint].busy.iter().position(|it| *it == request) else {
            return;
        };
        self.endpoints[endpoint].busy.swap_remove(slot);
        self.requests[request].is_done = true;
        let took = self.now - self.requests[request].arrived;
        if self.requests[request].arrived > self.load.seconds * 1000.0 * WARM_UP {
            self.times.push(took);
        }
        let now = self.time(self.now);
        let copies = self.requests[request].copies.clone();
        // The first send's wait is known at least so far, whichever copy has won.
        let first = self.endpoints[copies[0]].id.clone();
        self.history.record_time(&first, Duration::from_secs_f64(took / 1000.0), now);
        for copy in copies.into_iter().filter(|it| *it != endpoint) {
            self.endpoints[copy].busy.retain(|it| *it != request);
            self.endpoints[copy].queue.retain(|it| *it != request);
            self.serve_next(copy);
        }
        self.serve_next(endpoint);
    }

    fn outcome(mut self) -> HedgeOutcome {
        self.times.sort_by(f64::total_cmp);
        let quantile = |it: f64| {
            let index = (self.times.len().saturating_sub(1)) as f64 * it;
            self.times.get(index as usize).copied().unwrap_or_default()
        };
        let all = self.extra.iter().sum::<usize>() as f64;
        let requests = self.counts.iter().sum::<usize>().max(1) as f64;
        HedgeOutcome {
            p50_ms: quantile(0.5),
            p99_ms: quantile(0.99),
            p999_ms: quantile(0.999),
            extra: all / requests,
            later_extra: self.extra[1] as f64 / self.counts[1].max(1) as f64,
        }
    }
}
