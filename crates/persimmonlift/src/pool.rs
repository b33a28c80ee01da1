//! Endpoints of one pool, as this instance sees them.
//!
//! The views feed the choice of an endpoint; beside each stands what the choice
//! does not need: the address, and which of several reasons keep new work away.

use catalogue::id::{EndpointId, PoolName, TokenCount, ZoneName};
use catalogue::{CatalogueEntry, EngineRole, InstanceKind, InstanceState, ListedInstance};
use decide::choice::{ChoiceRequest, EndpointChoice, choose};
use decide::endpoint::{EndpointView, LoadFigures, SentWork};
use decide::mix::MixMeter;
use decide::parts::LONG_PROMPT_TOKENS;
use decide::path::{EnginePath, choose_path};
use decide::retry::RetryBudget;
use platform::engine::{CacheEvents, LoadReport};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// Time for which a paused endpoint gets no new work.
const PAUSE_TIME: Duration = Duration::from_secs(2);

/// Time over which the mix is averaged for routing.
const ROUTING_WINDOW: Duration = Duration::from_secs(4);

/// Reasons that keep new work away from an endpoint
#[derive(Debug, Clone, Copy, Default)]
struct EndpointGates {
    /// Leaving or absent by the platform's list
    is_leaving: bool,
    /// Closed by an open plan
    is_closed: bool,
    /// Its last report said that it takes no work
    is_refusing: bool,
    /// Could not be reached
    is_unreachable: bool,
    /// Paused until then
    paused_until: Option<Instant>,
}

impl EndpointGates {
    fn is_accepting(&self, now: Instant) -> bool {
        let is_shut = self.is_leaving || self.is_closed || self.is_refusing || self.is_unreachable;
        !is_shut && self.paused_until.is_none_or(|it| it <= now)
    }
}

#[derive(Debug, Clone)]
struct EndpointFacts {
    listed: ListedInstance,
    gates: EndpointGates,
    report: Option<LoadReport>,
}

#[derive(Debug, Default)]
struct PoolState {
    /// Same order as `facts`
    views: Vec<EndpointView>,
    facts: Vec<EndpointFacts>,
    budget: RetryBudget,
    mix: Option<MixMeter>,
}

/// Endpoints of one pool
#[derive(Debug)]
pub struct EndpointPool {
    name: PoolName,
    state: Mutex<PoolState>,
}

/// Chosen endpoint with what is needed to reach it and to log the choice
#[derive(Debug, Clone)]
pub struct ChosenEndpoint {
    /// Endpoint
    pub id: EndpointId,
    /// Serving address
    pub address: SocketAddr,
    /// Decision
    pub choice: EndpointChoice,
    /// Runner-up
    pub runner_up: Option<EndpointId>,
    /// Endpoints of the pool
    pub pool_size: usize,
}

/// Endpoint as operators see it
#[derive(Debug, Clone)]
#[derive(serde::Serialize)]
pub struct EndpointStatus {
    /// Endpoint
    pub id: EndpointId,
    /// Pool
    pub pool: PoolName,
    /// Availability zone
    pub zone: ZoneName,
    /// Serving address
    pub address: SocketAddr,
    /// Role of an engine
    pub role: Option<EngineRole>,
    /// Whether it gets new work
    pub accepting: bool,
    /// Whether it is leaving
    pub leaving: bool,
    /// Whether an open plan keeps new work away
    pub closed: bool,
    /// Whether it could not be reached
    pub unreachable: bool,
    /// Own requests in flight there
    pub in_flight: u32,
    /// Requests that run there, as last reported
    pub running: u32,
    /// Requests that wait there, as last reported
    pub waiting: u32,
    /// Age of the last report, in milliseconds
    pub report_age_ms: Option<u64>,
}

/// Room that a pool has for this instance's requests
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct PoolRoom {
    /// Batch places of all engines that take work and generate tokens
    pub places: u32,
    /// Requests that run or wait there, as reported
    pub reported: u32,
    /// Prompt tokens that an engine reads a second when busy, on average
    pub prefill_tokens_per_s: f64,
    /// Tokens that one stream gets a second in a full batch, on average
    pub stream_tokens_per_s: f64,
}

impl EndpointPool {
    /// Pool without endpoints
    pub fn new(name: PoolName) -> EndpointPool {
        EndpointPool { name, state: Mutex::default() }
    }

    /// Name
    pub fn name(&self) -> &PoolName {
        &self.name
    }

    /// Takes in what the platform lists of this pool; absent endpoints count as leaving
    pub fn list(&self, listed: &[ListedInstance], now: Instant) {
        let mut state = self.lock();
        for index in 0..state.facts.len() {
            let id = &state.facts[index].listed.id;
            let is_listed = listed.iter().any(|it| it.id == *id);
            if !is_listed {
                state.change_gates(index, now, |it| it.is_leaving = true);
            }
        }
        for instance in listed {
            state.place(instance, now);
        }
        state.drop_gone(listed);
    }

    /// Takes in an engine's report
    pub fn report(&self, id: &str, report: &LoadReport, now: Instant) {
        let mut state = self.lock();
        let Some(index) = state.index_of(id) else {
            return;
        };
        let taken_at = now.checked_sub(Duration::from_millis(report.age_ms)).unwrap_or(now);
        let is_restarted =
            state.facts[index].report.as_ref().is_some_and(|it| it.sequence > report.sequence);
        if is_restarted {
            state.views[index].cache.clear();
        }
        state.views[index].role = Some(report.role);
        state.views[index].report(load_figures(report), taken_at);
        state.facts[index].report = Some(report.clone());
        state.change_gates(index, now, |it| {
            it.is_refusing = !report.accepting;
            it.is_unreachable = false;
        });
    }

    /// Takes in an engine's cache events
    pub fn events(&self, id: &str, events: &CacheEvents) {
        let mut state = self.lock();
        let Some(index) = state.index_of(id) else {
            return;
        };
        let cache = &mut state.views[index].cache;
        if events.next < cache.next_event() {
            cache.clear();
        }
        for event in &events.events {
            cache.apply(event.sequence, event.piece, event.held);
        }
    }

    /// Number of the cache event of an engine that is due next
    pub fn next_event(&self, id: &str) -> u64 {
        let state = self.lock();
        state.index_of(id).map_or(0, |it| state.views[it].cache.next_event())
    }

    /// Notes that an endpoint could not be reached
    pub fn note_unreachable(&self, id: &str) {
        self.change(id, |it| it.is_unreachable = true);
    }

    /// Notes that an endpoint can be reached again
    pub fn note_reachable(&self, id: &str) {
        self.change(id, |it| it.is_unreachable = false);
    }

    /// Keeps new work away from an endpoint for a short time: it refused as leaving
    /// or changing, or could not be reached and has no watcher
    pub fn pause(&self, id: &str) {
        let until = Instant::now() + PAUSE_TIME;
        self.change(id, |it| it.paused_until = Some(until));
    }

    /// Keeps new work away from an endpoint for an open plan, or lets it in again
    pub fn set_closed(&self, id: &str, is_closed: bool) {
        self.change(id, |it| it.is_closed = is_closed);
    }

    /// Chooses an endpoint and counts the work as sent there
    pub fn choose(
        self: &Arc<EndpointPool>,
        request: &ChoiceRequest,
        work: SentWork,
    ) -> Option<(ChosenEndpoint, EndpointUse)> {
        let now = Instant::now();
        let mut state = self.lock();
        state.refresh(now);
        let choice = choose(request, &state.views, now, &mut rand::rng())?;
        let index = choice.index;
        let view = &mut state.views[index];
        view.sent(work, now);
        view.suspects += u32::from(request.suspect);
        view.cache.expect(&request.pieces);
        let id = view.id.clone();
        let address = state.facts[index].listed.address;
        let runner_up = choice.runner_up.map(|(it, _)| state.views[it].id.clone());
        let pool_size = state.views.len();
        let endpoint_use =
            EndpointUse { pool: self.clone(), id: id.clone(), work, suspect: request.suspect };
        Some((ChosenEndpoint { id, address, choice, runner_up, pool_size }, endpoint_use))
    }

    /// Way through the engines, without sending anything
    pub fn path(&self, request: &ChoiceRequest) -> Option<EnginePath> {
        let now = Instant::now();
        let mut state = self.lock();
        state.refresh(now);
        choose_path(request, &state.views, now, &mut rand::rng())
    }

    /// Endpoints of the pool that an entry may not use
    pub fn excluded_for(&self, entry: &CatalogueEntry) -> Vec<EndpointId> {
        if entry.endpoints.is_empty() {
            return Vec::new();
        }
        let state = self.lock();
        let ids = state.views.iter().map(|it| &it.id);
        ids.filter(|it| !entry.admits_endpoint(it)).cloned().collect()
    }

    /// Every second endpoint by id, from the first or from the second on
    pub fn half(&self, from_first: bool) -> Vec<EndpointId> {
        let mut ids: Vec<EndpointId> = self.lock().views.iter().map(|it| it.id.clone()).collect();
        ids.sort_unstable();
        ids.into_iter().skip(usize::from(!from_first)).step_by(2).collect()
    }

    /// Own requests in flight on an endpoint
    pub fn in_flight(&self, id: &str) -> u32 {
        let state = self.lock();
        state.index_of(id).map_or(0, |it| state.views[it].in_flight())
    }

    /// Room for more requests
    pub fn room(&self) -> PoolRoom {
        let now = Instant::now();
        let mut state = self.lock();
        state.refresh(now);
        state.room()
    }

    /// Retry budget, taken one retry from
    pub fn spend_retry(&self) -> bool {
        self.lock().budget.spend()
    }

    /// Notes a first attempt in the retry budget
    pub fn earn_retry(&self) {
        self.lock().budget.earn();
    }

    /// Notes a request to engines in the mix
    pub fn note_arrival(&self, prompt_tokens: TokenCount, output_tokens: TokenCount) {
        let now = Instant::now();
        let mut state = self.lock();
        let mix = state.mix.get_or_insert_with(|| MixMeter::new(ROUTING_WINDOW, now));
        // Short prompts are read beside the streams and don't call for readers.
        let long = if prompt_tokens >= LONG_PROMPT_TOKENS { prompt_tokens } else { 0 };
        mix.arrived(long, output_tokens, now);
    }

    /// Share of long prompts in the engine time that requests here ask for
    pub fn prompt_share(&self) -> Option<f64> {
        let mut state = self.lock();
        let load = *state.views.iter().map(EndpointView::load).find(|it| it.batch_limit > 0)?;
        let mix = state.mix.as_mut()?;
        mix.prompt_share(load.prefill_tokens_per_s, load.decode_tokens_per_s, Instant::now())
    }

    /// Endpoints as operators see them
    pub fn status(&self) -> Vec<EndpointStatus> {
        let now = Instant::now();
        let mut state = self.lock();
        state.refresh(now);
        let pairs = state.views.iter().zip(&state.facts);
        pairs.map(|(view, facts)| endpoint_status(&self.name, view, facts, now)).collect()
    }

    /// Last report of each engine with its model and views, for the planner
    pub fn reports(&self) -> Vec<(ListedInstance, Option<LoadReport>)> {
        let state = self.lock();
        state.facts.iter().map(|it| (it.listed.clone(), it.report.clone())).collect()
    }

    fn change(&self, id: &str, change: impl FnOnce(&mut EndpointGates)) {
        let mut state = self.lock();
        if let Some(index) = state.index_of(id) {
            state.change_gates(index, Instant::now(), change);
        }
    }

    fn lock(&self) -> MutexGuard<'_, PoolState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl PoolState {
    fn index_of(&self, id: &str) -> Option<usize> {
        self.views.iter().position(|it| it.id == id)
    }

    fn change_gates(
        &mut self,
        index: usize,
        now: Instant,
        change: impl FnOnce(&mut EndpointGates),
    ) {
        let gates = &mut self.facts[index].gates;
        change(gates);
        self.views[index].accepting = gates.is_accepting(now);
    }

    fn refresh(&mut self, now: Instant) {
        for (view, facts) in self.views.iter_mut().zip(&self.facts) {
            view.accepting = facts.gates.is_accepting(now);
        }
    }

    fn place(&mut self, listed: &ListedInstance, now: Instant) {
        let is_leaving = listed.state == InstanceState::Leaving;
        if let Some(index) = self.index_of(&listed.id) {
            self.facts[index].listed = listed.clone();
            return self.change_gates(index, now, |it| it.is_leaving = is_leaving);
        }
        let is_engine = listed.kind == InstanceKind::Engine;
        let role = is_engine.then_some(EngineRole::Mixed);
        let mut view = EndpointView::new(listed.id.clone(), listed.zone.clone(), role);
        // An engine's role is known from its first report only.
        let gates =
            EndpointGates { is_leaving, is_unreachable: is_engine, ..EndpointGates::default() };
        view.accepting = gates.is_accepting(now);
        self.views.push(view);
        self.facts.push(EndpointFacts { listed: listed.clone(), gates, report: None });
    }

    /// Forgets endpoints that are no longer listed and have no own work left
    fn drop_gone(&mut self, listed: &[ListedInstance]) {
        for index in (0..self.views.len()).rev() {
            let view = &self.views[index];
            let is_listed = listed.iter().any(|it| it.id == view.id);
            if !is_listed && view.in_flight() == 0 {
                self.views.remove(index);
                self.facts.remove(index);
            }
        }
    }

    fn room(&self) -> PoolRoom {
        let mut room = PoolRoom::default();
        let mut readers = 0.0;
        let mut writers = 0.0;
        for view in self.views.iter().filter(|it| it.accepting) {
            let load = view.load();
            if view.role.is_some_and(EngineRole::prefills) {
                readers += 1.0;
                room.prefill_tokens_per_s += load.prefill_tokens_per_s;
            }
            if view.role.is_some_and(EngineRole::decodes) {
                writers += 1.0;
                room.places += load.batch_limit;
                room.reported += load.running + load.waiting;
                room.stream_tokens_per_s += stream_speed(load);
            }
        }
        room.prefill_tokens_per_s /= f64::max(readers, 1.0);
        room.stream_tokens_per_s /= f64::max(writers, 1.0);
        room
    }
}

/// Work counted on an endpoint until it is dropped
#[derive(Debug)]
pub struct EndpointUse {
    pool: Arc<EndpointPool>,
    id: EndpointId,
    work: SentWork,
    suspect: bool,
}

impl Drop for EndpointUse {
    fn drop(&mut self) {
        let mut state = self.pool.lock();
        if let Some(index) = state.index_of(&self.id) {
            let view = &mut state.views[index];
            view.ended(&self.work);
            view.suspects = view.suspects.saturating_sub(u32::from(self.suspect));
        }
    }
}

fn load_figures(report: &LoadReport) -> LoadFigures {
    LoadFigures {
        running: report.running,
        waiting: report.waiting,
        queued_prompt_tokens: report.queued_prompt_tokens,
        queued_output_tokens: report.queued_output_tokens,
        prefill_tokens_per_s: report.prefill_tokens_per_s,
        decode_tokens_per_s: report.decode_tokens_per_s,
        batch_limit: report.batch_limit,
    }
}

/// Tokens that one stream gets a second in a full batch
fn stream_speed(load: &LoadFigures) -> f64 {
    load.decode_tokens_per_s / f64::from(load.batch_limit.max(1))
}

fn endpoint_status(
    pool: &PoolName,
    view: &EndpointView,
    facts: &EndpointFacts,
    now: Instant,
) -> EndpointStatus {
    EndpointStatus {
        id: view.id.clone(),
        pool: pool.clone(),
        zone: view.zone.clone(),
        address: facts.listed.address,
        role: view.role,
        accepting: view.accepting,
        leaving: facts.gates.is_leaving,
        closed: facts.gates.is_closed,
        unreachable: facts.gates.is_unreachable,
        in_flight: view.in_flight(),
        running: view.load().running,
        waiting: view.load().waiting,
        report_age_ms: view.report_age(now).map(|it| it.as_millis() as u64),
    }
}
