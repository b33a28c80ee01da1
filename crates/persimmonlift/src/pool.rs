//! Endpoints of one pool and their state on this instance.
//!
//! The views are the input of endpoint selection. Each has a record with the data
//! that selection does not need: the address, the last report and the conditions
//! that block new work.

use catalogue::id::{EndpointId, PoolName, TokenCount, ZoneName};
use catalogue::{CatalogueEntry, EngineRole, InstanceKind, InstanceState, ListedInstance};
use decide::choice::{ChoiceRequest, EndpointChoice, choose};
use decide::endpoint::{EndpointLoad, EndpointView, SentWork};
use decide::mix::MixMeter;
use decide::mixed_engines::LONG_PROMPT_TOKENS;
use decide::path::{EnginePath, choose_path};
use decide::retry::RetryBudget;
use platform::engine::{CacheEvents, LoadReport};
use smol_str::SmolStr;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// How long a paused endpoint gets no new work.
const PAUSE_TIME: Duration = Duration::from_secs(2);

/// Averaging window of the mix of prompt and output tokens that routing uses.
const ROUTING_WINDOW: Duration = Duration::from_secs(4);

/// Conditions under which an endpoint gets no new work
#[derive(Debug, Clone, Copy, Default)]
struct EndpointBlocks {
    /// Listed as leaving, or missing from the platform's list
    is_leaving: bool,
    /// Closed to new work by an open plan
    is_closed: bool,
    /// Its last report states that it accepts no work
    is_refusing: bool,
    /// The last contact failed, or no report has been read yet
    is_unreachable: bool,
    /// End of the current pause
    paused_until: Option<Instant>,
}

impl EndpointBlocks {
    fn is_accepting(&self, now: Instant) -> bool {
        let is_blocked =
            self.is_leaving || self.is_closed || self.is_refusing || self.is_unreachable;
        !is_blocked && self.paused_until.is_none_or(|it| it <= now)
    }
}

#[derive(Debug, Clone)]
struct EndpointRecord {
    listed: ListedInstance,
    blocks: EndpointBlocks,
    report: Option<LoadReport>,
}

#[derive(Debug, Default)]
struct PoolState {
    /// In the same order as `records`
    views: Vec<EndpointView>,
    records: Vec<EndpointRecord>,
    budget: RetryBudget,
    mix: Option<MixMeter>,
}

#[derive(Debug)]
pub struct EndpointPool {
    name: PoolName,
    state: Mutex<PoolState>,
}

/// Chosen endpoint, with its address and the details to log
#[derive(Debug, Clone)]
pub struct ChosenEndpoint {
    pub id: EndpointId,
    pub address: SocketAddr,
    /// Rule, score and cache match of the decision
    pub choice: EndpointChoice,
    /// Endpoint with the second-best score
    pub runner_up: Option<EndpointId>,
    /// Number of endpoints in the pool
    pub pool_size: usize,
}

/// Endpoint on the status page
#[derive(Debug, Clone)]
#[derive(serde::Serialize)]
pub struct EndpointStatus {
    pub id: EndpointId,
    pub pool: PoolName,
    pub zone: ZoneName,
    pub address: SocketAddr,
    /// `None` for a plain service
    pub role: Option<EngineRole>,
    /// Whether it gets new work
    pub accepting: bool,
    /// Whether it is listed as leaving or missing from the list
    pub leaving: bool,
    /// Whether an open plan blocks new work
    pub closed: bool,
    /// Whether the last contact failed or no report has been read yet
    pub unreachable: bool,
    /// Requests in flight from this instance
    pub in_flight: u32,
    /// Running requests, as last reported
    pub running: u32,
    /// Waiting requests, as last reported
    pub waiting: u32,
    /// Age of the last report, in milliseconds; `None` without a report
    pub report_age_ms: Option<u64>,
}

/// Capacity and average speeds of the engines of a pool that accept work
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct PoolCapacity {
    /// Batch slots of all engines that generate tokens
    pub batch_slots: u32,
    /// Running and waiting requests, as last reported
    pub reported_requests: u32,
    /// Prompt tokens per second of one busy engine, on average
    pub prefill_tokens_per_s: f64,
    /// Tokens per second of one stream in a full batch, on average
    pub stream_tokens_per_s: f64,
}

impl EndpointPool {
    /// Creates a pool without endpoints
    pub fn new(name: PoolName) -> EndpointPool {
        EndpointPool { name, state: Mutex::default() }
    }

    pub fn name(&self) -> &PoolName {
        &self.name
    }

    /// Applies the platform's list of this pool; endpoints missing from it count as leaving
    pub fn apply_list(&self, listed: &[ListedInstance], now: Instant) {
        let mut state = self.lock();
        for index in 0..state.records.len() {
            let id = &state.records[index].listed.id;
            let is_listed = listed.iter().any(|it| it.id == *id);
            if !is_listed {
                state.change_blocks(index, now, |it| it.is_leaving = true);
            }
        }
        for instance in listed {
            state.upsert(instance, now);
        }
        state.remove_unlisted(listed);
    }

    /// Applies an engine's report; a restart of the engine clears its cache view
    pub fn apply_report(&self, id: &str, report: &LoadReport, now: Instant) {
        let mut state = self.lock();
        let Some(index) = state.index_of(id) else {
            return;
        };
        let taken_at = now.checked_sub(Duration::from_millis(report.age_ms)).unwrap_or(now);
        let is_restarted =
            state.records[index].report.as_ref().is_some_and(|it| it.sequence > report.sequence);
        if is_restarted {
            state.views[index].cache.clear();
        }
        state.views[index].role = Some(report.role);
        state.views[index].apply_report(endpoint_load(report), taken_at);
        state.records[index].report = Some(report.clone());
        state.change_blocks(index, now, |it| {
            it.is_refusing = !report.accepting;
            it.is_unreachable = false;
        });
    }

    /// Applies an engine's cache events; a lower sequence number means a restart and
    /// clears the cache view
    pub fn apply_events(&self, id: &str, events: &CacheEvents) {
        let mut state = self.lock();
        let Some(index) = state.index_of(id) else {
            return;
        };
        let cache = &mut state.views[index].cache;
        if events.next < cache.next_event() {
            cache.clear();
        }
        for event in &events.events {
            cache.apply_event(event.sequence, event.piece, event.held);
        }
    }

    /// Sequence number of the next cache event to read from an engine
    pub fn next_event(&self, id: &str) -> u64 {
        let state = self.lock();
        state.index_of(id).map_or(0, |it| state.views[it].cache.next_event())
    }

    /// Marks an endpoint as unreachable
    pub fn note_unreachable(&self, id: &str) {
        self.change(id, |it| it.is_unreachable = true);
    }

    /// Marks an endpoint as reachable again
    pub fn note_reachable(&self, id: &str) {
        self.change(id, |it| it.is_unreachable = false);
    }

    /// Blocks new work on an endpoint for `PAUSE_TIME`
    ///
    /// For an endpoint that refused because it is leaving or changing, or that was
    /// unreachable and has no watcher to detect its return.
    pub fn pause(&self, id: &str) {
        let until = Instant::now() + PAUSE_TIME;
        self.change(id, |it| it.paused_until = Some(until));
    }

    /// Blocks new work on an endpoint for an open plan, or unblocks it
    pub fn set_closed(&self, id: &str, is_closed: bool) {
        self.change(id, |it| it.is_closed = is_closed);
    }

    /// Chooses an endpoint and counts the work on it; `None` if no endpoint accepts it
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
        view.record_sent(work, now);
        view.suspects += u32::from(request.is_suspect);
        view.cache.record_sent(&request.pieces);
        let id = view.id.clone();
        let address = state.records[index].listed.address;
        let runner_up = choice.runner_up.map(|(it, _)| state.views[it].id.clone());
        let pool_size = state.views.len();
        let endpoint_use = EndpointUse {
            pool: self.clone(),
            id: id.clone(),
            work,
            is_suspect: request.is_suspect,
        };
        Some((ChosenEndpoint { id, address, choice, runner_up, pool_size }, endpoint_use))
    }

    /// Cheapest path through the engines; nothing is counted or sent
    pub fn path(&self, request: &ChoiceRequest) -> Option<EnginePath> {
        let now = Instant::now();
        let mut state = self.lock();
        state.refresh(now);
        choose_path(request, &state.views, now, &mut rand::rng())
    }

    /// Endpoints of the pool that the entry does not allow
    pub fn excluded_for(&self, entry: &CatalogueEntry) -> Vec<EndpointId> {
        if entry.endpoints.is_empty() {
            return Vec::new();
        }
        let state = self.lock();
        let ids = state.views.iter().map(|it| &it.id);
        ids.filter(|it| !entry.allows_endpoint(it)).cloned().collect()
    }

    /// Version of an endpoint's software; `None` if the endpoint isn't known any more
    pub fn version_of(&self, id: &str) -> Option<SmolStr> {
        let state = self.lock();
        state.index_of(id).map(|it| state.records[it].listed.version.clone())
    }

    /// Endpoints whose software has another version
    pub fn endpoints_of_other_versions(&self, version: &str) -> Vec<EndpointId> {
        let state = self.lock();
        let listed = state.records.iter().map(|it| &it.listed);
        listed.filter(|it| it.version != version).map(|it| it.id.clone()).collect()
    }

    /// Every second endpoint in the order of ids, starting with the first or the second
    pub fn alternate_endpoints(&self, from_first: bool) -> Vec<EndpointId> {
        let mut ids: Vec<EndpointId> = self.lock().views.iter().map(|it| it.id.clone()).collect();
        ids.sort_unstable();
        ids.into_iter().skip(usize::from(!from_first)).step_by(2).collect()
    }

    /// Requests of this instance in flight on an endpoint
    pub fn in_flight(&self, id: &str) -> u32 {
        let state = self.lock();
        state.index_of(id).map_or(0, |it| state.views[it].in_flight())
    }

    /// Current capacity
    pub fn capacity(&self) -> PoolCapacity {
        let now = Instant::now();
        let mut state = self.lock();
        state.refresh(now);
        state.capacity()
    }

    /// Takes one retry from the budget; false if it is empty
    pub fn spend_retry(&self) -> bool {
        self.lock().budget.spend(Instant::now())
    }

    /// Adds to the retry budget for a first attempt
    pub fn earn_retry(&self) {
        self.lock().budget.earn();
    }

    /// Adds a request to the mix
    pub fn note_arrival(&self, prompt_tokens: TokenCount, output_tokens: TokenCount) {
        let now = Instant::now();
        let mut state = self.lock();
        let mix = state.mix.get_or_insert_with(|| MixMeter::new(ROUTING_WINDOW, now));
        // Short prompts are read alongside decoding and need no prefill engine.
        let long = if prompt_tokens >= LONG_PROMPT_TOKENS { prompt_tokens } else { 0 };
        mix.record_arrival(long, output_tokens, now);
    }

    /// Share of long prompts in the engine time that this instance's requests need
    pub fn prompt_share(&self) -> Option<f64> {
        let mut state = self.lock();
        let load = *state.views.iter().map(EndpointView::load).find(|it| it.batch_limit > 0)?;
        let mix = state.mix.as_mut()?;
        mix.prompt_share(load.prefill_tokens_per_s, load.decode_tokens_per_s, Instant::now())
    }

    /// Endpoints, for the status page
    pub fn status(&self) -> Vec<EndpointStatus> {
        let now = Instant::now();
        let mut state = self.lock();
        state.refresh(now);
        let pairs = state.views.iter().zip(&state.records);
        pairs.map(|(view, record)| endpoint_status(&self.name, view, record, now)).collect()
    }

    /// Listed endpoints with the last report of each engine, for the planner
    pub fn reports(&self) -> Vec<(ListedInstance, Option<LoadReport>)> {
        let state = self.lock();
        state.records.iter().map(|it| (it.listed.clone(), it.report.clone())).collect()
    }

    fn change(&self, id: &str, change: impl FnOnce(&mut EndpointBlocks)) {
        let mut state = self.lock();
        if let Some(index) = state.index_of(id) {
            state.change_blocks(index, Instant::now(), change);
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

    fn change_blocks(
        &mut self,
        index: usize,
        now: Instant,
        change: impl FnOnce(&mut EndpointBlocks),
    ) {
        let blocks = &mut self.records[index].blocks;
        change(blocks);
        self.views[index].accepting = blocks.is_accepting(now);
    }

    fn refresh(&mut self, now: Instant) {
        for (view, record) in self.views.iter_mut().zip(&self.records) {
            view.accepting = record.blocks.is_accepting(now);
        }
    }

    fn upsert(&mut self, listed: &ListedInstance, now: Instant) {
        let is_leaving = listed.state == InstanceState::Leaving;
        if let Some(index) = self.index_of(&listed.id) {
            self.records[index].listed = listed.clone();
            return self.change_blocks(index, now, |it| it.is_leaving = is_leaving);
        }
        let is_engine = listed.kind == InstanceKind::Engine;
        let role = is_engine.then_some(EngineRole::Mixed);
        let mut view = EndpointView::new(listed.id.clone(), listed.zone.clone(), role);
        // The role is unknown until the first report, so the engine gets no work before it.
        let blocks =
            EndpointBlocks { is_leaving, is_unreachable: is_engine, ..EndpointBlocks::default() };
        view.accepting = blocks.is_accepting(now);
        self.views.push(view);
        self.records.push(EndpointRecord { listed: listed.clone(), blocks, report: None });
    }

    /// Removes endpoints that are no longer listed and have none of this instance's work
    fn remove_unlisted(&mut self, listed: &[ListedInstance]) {
        for index in (0..self.views.len()).rev() {
            let view = &self.views[index];
            let is_listed = listed.iter().any(|it| it.id == view.id);
            if !is_listed && view.in_flight() == 0 {
                self.views.remove(index);
                self.records.remove(index);
            }
        }
    }

    fn capacity(&self) -> PoolCapacity {
        let mut capacity = PoolCapacity::default();
        let mut prefill_engines = 0.0;
        let mut decode_engines = 0.0;
        for view in self.views.iter().filter(|it| it.accepting) {
            let load = view.load();
            if view.role.is_some_and(EngineRole::prefills) {
                prefill_engines += 1.0;
                capacity.prefill_tokens_per_s += load.prefill_tokens_per_s;
            }
            if view.role.is_some_and(EngineRole::decodes) {
                decode_engines += 1.0;
                capacity.batch_slots += load.batch_limit;
                capacity.reported_requests += load.running + load.waiting;
                capacity.stream_tokens_per_s += stream_speed(load);
            }
        }
        capacity.prefill_tokens_per_s /= f64::max(prefill_engines, 1.0);
        capacity.stream_tokens_per_s /= f64::max(decode_engines, 1.0);
        capacity
    }
}

/// Work counted on an endpoint until this guard is dropped
#[derive(Debug)]
pub struct EndpointUse {
    pool: Arc<EndpointPool>,
    id: EndpointId,
    work: SentWork,
    is_suspect: bool,
}

impl Drop for EndpointUse {
    fn drop(&mut self) {
        let mut state = self.pool.lock();
        if let Some(index) = state.index_of(&self.id) {
            let view = &mut state.views[index];
            view.record_ended(&self.work);
            view.suspects = view.suspects.saturating_sub(u32::from(self.is_suspect));
        }
    }
}

fn endpoint_load(report: &LoadReport) -> EndpointLoad {
    EndpointLoad {
        running: report.running,
        waiting: report.waiting,
        queued_prompt_tokens: report.queued_prompt_tokens,
        queued_output_tokens: report.queued_output_tokens,
        prefill_tokens_per_s: report.prefill_tokens_per_s,
        decode_tokens_per_s: report.decode_tokens_per_s,
        batch_limit: report.batch_limit,
    }
}

/// Tokens per second of one stream in a full batch
fn stream_speed(load: &EndpointLoad) -> f64 {
    load.decode_tokens_per_s / f64::from(load.batch_limit.max(1))
}

fn endpoint_status(
    pool: &PoolName,
    view: &EndpointView,
    record: &EndpointRecord,
    now: Instant,
) -> EndpointStatus {
    EndpointStatus {
        id: view.id.clone(),
        pool: pool.clone(),
        zone: view.zone.clone(),
        address: record.listed.address,
        role: view.role,
        accepting: view.accepting,
        leaving: record.blocks.is_leaving,
        closed: record.blocks.is_closed,
        unreachable: record.blocks.is_unreachable,
        in_flight: view.in_flight(),
        running: view.load().running,
        waiting: view.load().waiting,
        report_age_ms: view.report_age(now).map(|it| it.as_millis() as u64),
    }
}
