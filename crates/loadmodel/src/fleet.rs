//! Run of a simulation: arrivals, instances that choose engines by a policy, and engines.

use crate::SimTime;
use crate::arrivals::SimRequest;
use crate::engine::{EngineEvent, EngineJob, EngineSpec, ShedRule, SimEngine};
use crate::policy::{ChoicePolicy, InstanceView, PauseScope};
use crate::report::{CallOutcome, RunReport};
use catalogue::EngineRole;
use catalogue::id::{EndpointId, InstanceId, ZoneName};
use decide::serving::cache::PromptCaches;
use decide::serving::endpoint_list::ListedEndpoint;
use decide::serving::load::FleetLoad;
use decide::serving::notice::{AnswerTime, EndpointNotices};
use decide::serving::pick::{
    EnginePick, GenerationPlan, GenerationRequest, PlanOutcome, PromptProgress,
};
use decide::serving::prompt::PromptPrefix;
use decide::serving::timing::{PoolTiming, StageSample};
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use smol_str::format_smolstr;
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::{Duration, Instant};

/// Interval of messages between instances, in milliseconds; as in the gateway.
const MESSAGE_INTERVAL_MS: SimTime = 20.0;
/// Round trip between the client and an engine, in milliseconds; from the users' specification.
const ROUND_TRIP_MS: SimTime = 8.0;
/// Time after which a refused client retries, and its random spread, in milliseconds; as in the
/// gateway.
const CLIENT_RETRY_MS: SimTime = 350.0;
const CLIENT_RETRY_SPREAD_MS: SimTime = 200.0;
/// Number of engines that a request may be sent to when engines shed it.
const MAX_SENDS: usize = 2;
/// Cache capacity of an engine, in tokens; from the engine specification.
const CACHE_TOKENS: u64 = 2_000_000;

#[derive(Debug, Clone, Copy)]
pub struct FleetSize {
    pub instances: usize,
    /// Number of prefill engines
    pub readers: usize,
    /// Number of mixed engines
    pub mixed: usize,
    pub engine: EngineSpec,
    /// When engines shed requests; `None` if only when their queue is full, without asking for a pause
    pub shed: Option<ShedRule>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum SimEvent {
    Arrival(usize),
    StepEnd(usize),
    Messages,
}

/// Prompt that an engine has read, for the next message to the other instances
#[derive(Clone)]
struct PendingRead {
    engine: usize,
    prefixes: Vec<PromptPrefix>,
    sample: Option<StageSample>,
}

/// View of a simulated instance
#[derive(Default)]
struct SimInstance {
    load: FleetLoad,
    caches: PromptCaches,
    timing: PoolTiming,
    notices: EndpointNotices,
    pending_reads: Vec<PendingRead>,
}

struct SimCall {
    request: SimRequest,
    prefixes: Vec<PromptPrefix>,
    has_waited: bool,
    /// Engines that have shed it
    excluded: Vec<EndpointId>,
    /// Engine that decodes after another has read the prompt
    decode_pick: Option<EnginePick>,
    /// Engine that works on the call, and the unread tokens that count there
    work: Option<(usize, u64)>,
    /// Pick and time of the current send
    sent: Option<(EnginePick, SimTime)>,
    /// Expected time until the first token, whether two engines serve the call, and time of the choice
    planned: Option<(f64, bool, SimTime)>,
    first_token_at: SimTime,
}

struct FleetRun<'a> {
    policy: ChoicePolicy,
    engines: Vec<SimEngine>,
    listed: Vec<ListedEndpoint>,
    instances: Vec<SimInstance>,
    /// Exact work and caches, without the delay of messages
    actual: SimInstance,
    calls: Vec<SimCall>,
    events: BinaryHeap<Reverse<(u64, usize, SimEvent)>>,
    scheduled: usize,
    cache_tokens: u64,
    shed: Option<ShedRule>,
    base: Instant,
    rng: &'a mut ChaCha8Rng,
    report: RunReport,
}

/// Simulates a fleet that serves the arrivals under a policy
pub fn run(
    policy: ChoicePolicy,
    size: FleetSize,
    kinds: usize,
    arrivals: Vec<SimRequest>,
    rng: &mut ChaCha8Rng,
) -> RunReport {
    let listed = list_engines(size);
    let cache_tokens = if policy.is_warm { u64::MAX } else { CACHE_TOKENS };
    let mut run = FleetRun {
        policy,
        engines: listed
            .iter()
            .map(|it| SimEngine::new(it.clone(), size.engine, cache_tokens))
            .collect(),
        listed,
        instances: (0..size.instances).map(|_| SimInstance::default()).collect(),
        actual: SimInstance::default(),
        calls: Vec::new(),
        events: BinaryHeap::new(),
        scheduled: 0,
        cache_tokens,
        shed: size.shed,
        base: Instant::now(),
        rng,
        report: RunReport::new(kinds),
    };
    let last = arrivals.last().map_or(0.0, |it| it.arrived_at);
    for request in arrivals {
        run.schedule(request.arrived_at, SimEvent::Arrival(run.calls.len()));
        let prefixes = request.prompt.prefixes();
        if policy.is_warm {
            run.warm(&prefixes[..prefixes.len() - 1]);
        }
        run.calls.push(SimCall {
            request,
            prefixes,
            has_waited: false,
            excluded: Vec::new(),
            decode_pick: None,
            work: None,
            sent: None,
            planned: None,
            first_token_at: 0.0,
        });
    }
    run.schedule(MESSAGE_INTERVAL_MS, SimEvent::Messages);
    while let Some(Reverse((at, _, event))) = run.events.pop() {
        let now = at as f64 / 1000.0;
        match event {
            SimEvent::Arrival(call) => run.choose(call, now),
            SimEvent::StepEnd(engine) => run.end_step(engine, now),
            SimEvent::Messages if now < last => run.exchange_messages(now),
            SimEvent::Messages => {}
        }
    }
    run.report.read_again = run.engines.iter().map(|it| it.read_again).sum();
    run.report
}

fn list_engines(size: FleetSize) -> Vec<ListedEndpoint> {
    let engine = |id: EndpointId, role| ListedEndpoint {
        id,
        pool: "engines".into(),
        address: ([127, 0, 0, 1], 1).into(),
        zone: "zone".into(),
        version: "v1".into(),
        slots: size.engine.slots,
        is_ready: true,
        role: Some(role),
        started_at_ms: 1,
        sequence: 0,
        is_preemptible: false,
        leaves_in: None,
    };
    let readers = (0..size.readers).map(|it| engine(format_smolstr!("p{it}"), EngineRole::Prefill));
    let mixed = (0..size.mixed).map(|it| engine(format_smolstr!("m{it}"), EngineRole::Mixed));
    readers.chain(mixed).collect()
}

impl FleetRun<'_> {
    /// Adds prompt prefixes to the caches of all engines
    fn warm(&mut self, prefixes: &[PromptPrefix]) {
        for (engine, listed) in self.engines.iter_mut().zip(&self.listed) {
            engine.hold(prefixes);
            self.actual.caches.record_prompt(listed, prefixes, self.cache_tokens);
        }
    }

    fn schedule(&mut self, at: SimTime, event: SimEvent) {
        self.scheduled += 1;
        self.events.push(Reverse(((at * 1000.0) as u64, self.scheduled, event)));
    }

    fn choose(&mut self, call: usize, now: SimTime) {
        let zone = ZoneName::from("zone");
        let state = &self.calls[call];
        let at = self.base + Duration::from_secs_f64(now / 1000.0);
        let instance = &self.instances[state.request.instance];
        let accepting = if self.shed.is_some() {
            instance.notices.accepting(self.listed.clone(), at)
        } else {
            Vec::new()
        };
        let request = GenerationRequest {
            prompt: &state.request.prompt,
            zone: &zone,
            excluded: &state.excluded,
            objective: state.request.objective,
            pause_limit: None,
            time_left: state.request.client_timeout,
            progress: PromptProgress::Unread,
            has_waited: state.has_waited,
            draw: self.rng.random(),
        };
        let view = InstanceView {
            engines: if self.shed.is_some() { &accepting } else { &self.listed },
            load: &instance.load,
            caches: &instance.caches,
            timing: &instance.timing,
            now: at,
            actual: (&self.actual.load, &self.actual.caches),
        };
        let outcome = (self.policy.plan)(&request, &view);
        if let PlanOutcome::Plan(plan) = &outcome {
            let is_split = matches!(plan, GenerationPlan::Split { .. });
            self.calls[call].planned = Some((plan.expected_ms(), is_split, now));
        }
        match outcome {
            PlanOutcome::Plan(GenerationPlan::Split { prefill, decode }) => {
                self.calls[call].decode_pick = Some(decode);
                self.send(call, &prefill, true, now);
            }
            PlanOutcome::Plan(GenerationPlan::Whole(pick) | GenerationPlan::Decode(pick)) => {
                self.send(call, &pick, false, now);
            }
            PlanOutcome::Full(_) | PlanOutcome::NoEngine => self.refuse(call, now),
        }
    }

    /// Sends a job to an engine; `is_prefill` if the job ends when the prompt is read
    fn send(&mut self, call: usize, pick: &EnginePick, is_prefill: bool, now: SimTime) {
        let engine = self.engine_index(&pick.endpoint);
        if let Some(rule) = self.shed.filter(|it| self.engines[engine].waiting() >= it.waiting) {
            self.shed_call(call, engine, rule, now);
            return;
        }
        let state = &self.calls[call];
        let is_prefilled = !is_prefill && state.decode_pick.is_some();
        let holder = pick.holder.as_ref().map(|it| self.engine_index(it));
        let job = EngineJob {
            request: call,
            prefixes: state.prefixes.clone(),
            prompt_tokens: u64::from(state.request.prompt.prompt_tokens),
            output_tokens: if is_prefill {
                0
            } else {
                u64::from(state.request.prompt.output_tokens)
            },
            is_prefilled,
            fetched_tokens: holder.map_or(0, |it| self.engines[it].held_tokens(&state.prefixes)),
        };
        if !self.engines[engine].try_enqueue(job) {
            self.refuse(call, now);
            return;
        }
        let instance = state.request.instance;
        for load in [&mut self.instances[instance].load, &mut self.actual.load] {
            load.record_sent(&pick.endpoint, pick.unread_tokens);
        }
        self.calls[call].work = Some((engine, pick.unread_tokens));
        self.calls[call].sent = Some((pick.clone(), now));
        self.start_step(engine, now);
    }

    /// Sheds a call, which is sent to another engine if it may be
    fn shed_call(&mut self, call: usize, engine: usize, rule: ShedRule, now: SimTime) {
        self.report.shed += 1;
        let listed = &self.listed[engine];
        let state = &mut self.calls[call];
        let receiver = state.request.instance;
        let paused = match self.policy.pauses {
            PauseScope::None => 0..0,
            PauseScope::Receiver => receiver..receiver + 1,
            PauseScope::All => 0..self.instances.len(),
        };
        let at = self.base + Duration::from_secs_f64(now / 1000.0);
        let time = AnswerTime { at, unix_ms: 0 };
        let pause = Duration::from_millis(rule.pause_ms);
        for instance in &mut self.instances[paused] {
            instance.notices.record_pause(listed, pause, self.rng.random(), time);
        }
        state.excluded.push(listed.id.clone());
        // A prompt that was read elsewhere is read again if its decode is shed.
        state.decode_pick = None;
        if state.excluded.len() < MAX_SENDS {
            self.choose(call, now);
        } else {
            self.refuse(call, now);
        }
    }

    fn refuse(&mut self, call: usize, now: SimTime) {
        let retries_at = now + CLIENT_RETRY_MS + self.rng.random_range(0.0..CLIENT_RETRY_SPREAD_MS);
        let state = &mut self.calls[call];
        state.decode_pick = None;
        state.excluded.clear();
        let disconnects_at =
            state.request.arrived_at + state.request.client_timeout.as_secs_f64() * 1000.0;
        if state.has_waited || retries_at >= disconnects_at {
            self.report.record(state.request.kind, CallOutcome::Refused, state.has_waited);
        } else {
            state.has_waited = true;
            self.schedule(retries_at, SimEvent::Arrival(call));
        }
    }

    fn start_step(&mut self, engine: usize, now: SimTime) {
        if self.engines[engine].is_busy {
            return;
        }
        if let Some(length) = self.engines[engine].begin_step() {
            self.schedule(now + length, SimEvent::StepEnd(engine));
        }
    }

    fn end_step(&mut self, engine: usize, now: SimTime) {
        for event in self.engines[engine].end_step() {
            match event {
                EngineEvent::PromptRead(call) => self.record_prompt_read(call, engine, now),
                EngineEvent::Ended(call) => self.record_ended(call, engine, now),
            }
        }
        self.start_step(engine, now);
    }

    fn record_prompt_read(&mut self, call: usize, engine: usize, now: SimTime) {
        let state = &mut self.calls[call];
        let listed = &self.listed[engine];
        let instance = &mut self.instances[state.request.instance];
        if let Some((_, unread_tokens)) = &mut state.work {
            let tokens = std::mem::take(unread_tokens);
            instance.load.record_read(&listed.id, tokens);
            self.actual.load.record_read(&listed.id, tokens);
        }
        instance.caches.record_prompt(listed, &state.prefixes, self.cache_tokens);
        let at = self.base + Duration::from_secs_f64(now / 1000.0);
        let sample = state.sent.take().and_then(|(pick, sent_at)| {
            let took = Duration::from_secs_f64((now + ROUND_TRIP_MS - sent_at) / 1000.0);
            instance.timing.record_wait(pick.own_ms, pick.wait_ms, took);
            pick.sample(took)
        });
        if let Some(sample) = sample {
            instance.timing.record(&listed.id, sample, at);
        }
        let prefixes = state.prefixes.clone();
        instance.pending_reads.push(PendingRead { engine, prefixes, sample });
        self.actual.caches.record_prompt(listed, &state.prefixes, self.cache_tokens);
        if state.decode_pick.as_ref().is_some_and(|it| it.endpoint != listed.id) {
            return;
        }
        state.first_token_at = now;
        if let Some((expected_ms, is_split, planned_at)) = state.planned.take() {
            self.report.record_estimate(is_split, (now + ROUND_TRIP_MS - planned_at) / expected_ms);
        }
        let took = now + ROUND_TRIP_MS - state.request.arrived_at;
        let milliseconds = |it: Duration| it.as_secs_f64() * 1000.0;
        let outcome = if took <= milliseconds(state.request.objective) {
            CallOutcome::InTime(took)
        } else if took <= milliseconds(state.request.client_timeout) {
            CallOutcome::Late(took)
        } else {
            CallOutcome::Abandoned
        };
        self.report.record(state.request.kind, outcome, state.has_waited);
    }

    fn record_ended(&mut self, call: usize, engine: usize, now: SimTime) {
        let id = self.listed[engine].id.clone();
        let instance = self.calls[call].request.instance;
        self.instances[instance].load.record_ended(&id);
        self.actual.load.record_ended(&id);
        self.calls[call].work = None;
        let state = &self.calls[call];
        if state.first_token_at > 0.0 && !state.request.prompt.has_long_output() {
            let held = Duration::from_secs_f64((now - state.first_token_at) / 1000.0);
            self.instances[instance].timing.record_hold(held);
        }
        let decode_pick = self.calls[call].decode_pick.clone().filter(|it| it.endpoint != id);
        if let Some(pick) = decode_pick {
            self.send(call, &pick, false, now);
        }
    }

    fn exchange_messages(&mut self, now: SimTime) {
        let at = self.base + Duration::from_secs_f64(now / 1000.0);
        for sender in 0..self.instances.len() {
            let work = self.instances[sender].load.own().clone();
            let reads = std::mem::take(&mut self.instances[sender].pending_reads);
            let name = InstanceId::from(format_smolstr!("instance-{sender}"));
            let receivers = self.instances.iter_mut().enumerate().filter(|it| it.0 != sender);
            for (_, receiver) in receivers {
                receiver.load.apply_report(name.clone(), work.clone(), at);
                for read in &reads {
                    let engine = &self.listed[read.engine];
                    receiver.caches.record_prompt(engine, &read.prefixes, self.cache_tokens);
                    if let Some(sample) = read.sample {
                        receiver.timing.record(&engine.id, sample, at);
                    }
                }
            }
        }
        self.schedule(now + MESSAGE_INTERVAL_MS, SimEvent::Messages);
    }

    fn engine_index(&self, id: &EndpointId) -> usize {
        self.listed.iter().position(|it| it.id == *id).expect("a plan contains only listed engines")
    }
}
