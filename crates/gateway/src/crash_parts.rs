//! Prompt parts that crash engines: what this instance records of them, and which requests it holds back.
//!
//! An engine that breaks off a generation before its first event adds a strike to the shared
//! parts of the prompt; a first event clears them. Prompts that are read apart succeed with
//! a crashing part, too, and clear nothing. All instances exchange strikes and begun answers.

use crate::endpoint_link::MAX_HOLD_TIME;
use crate::messages::ServingUpdate;
use crate::part_tests::PartTest;
use crate::serving_call::{MIN_SUSPECT_RETRY_AFTER, Refusal, SUSPECTED_PART, ServingCall};
use crate::state::Gateway;
use decide::serving::crash_parts::{MAX_TESTED_STRIKES, PartDecision, decide_parts};
use decide::serving::crash_table::{
    BrokenEndpoint, CrashFact, EndpointStatus, MAX_STRIKES, StrikeScope,
};
use decide::serving::endpoint_list::ListedEndpoint;
use decide::serving::prompt::{PartKey, PromptShape};
use platform_adapter::answer::GatewayAnswer;
use std::time::Instant;
use tokio::time::timeout_at;

/// Fraction of the objective that a request waits while another one tests its suspected part.
const TEST_WAIT_FRACTION: f64 = 0.25;

impl ServingCall {
    /// Decision on the request by the shared parts of its prompt
    pub fn part_decision(&self, gateway: &Gateway) -> PartDecision {
        let suspects = &gateway.part_suspects;
        let table = suspects.table.borrow();
        match &self.prompt {
            // Avoids hashing the parts: usually no engine has crashed.
            Some(prompt) if !table.is_empty() => {
                let first_refusal = |it| suspects.first_refusal(it);
                decide_parts(&table, &prompt.shared_part_keys(), first_refusal, Instant::now())
            }
            _ => PartDecision::Admit,
        }
    }

    /// Whether the next send may start by the parts of the prompt; waits a moment if it has to be the only test of one
    pub async fn admit_parts(&mut self, gateway: &Gateway) -> bool {
        self.part_test = None;
        let wait = self.route.objective.mul_f64(TEST_WAIT_FRACTION);
        let until = match self.history.sends {
            0 => self.arrived_at + wait,
            // Its own test may have failed, and ends with the evidence.
            _ => tokio::time::Instant::now() + wait.max(MAX_HOLD_TIME),
        };
        let until = until.min(self.deadline);
        loop {
            let parts = match self.part_decision(gateway) {
                PartDecision::Admit => return true,
                PartDecision::Refuse(_) => return false,
                PartDecision::Test(parts) => parts,
            };
            self.part_test = PartTest::try_start(&gateway.part_suspects, parts);
            if self.part_test.is_some() {
                log::info!(
                    "event=part_test id={} parts={}",
                    self.request.id,
                    self.describe_parts()
                );
                return true;
            }
            let ended = gateway.part_suspects.test_ended.notified();
            if timeout_at(until, ended).await.is_err() {
                return false;
            }
        }
    }

    /// Whether a send that has been admitted may still start
    pub fn is_admitted(&self, gateway: &Gateway) -> bool {
        match self.part_decision(gateway) {
            PartDecision::Admit => true,
            PartDecision::Test(_) => self.part_test.is_some(),
            PartDecision::Refuse(_) => false,
        }
    }

    /// Shared parts of the prompt if an engine is to answer and has not begun; one that only reads the prompt
    /// doesn't crash by them
    pub fn unanswered_parts(&self) -> Vec<PartKey> {
        let awaits_event = self.running.borrow().as_ref().is_some_and(|it| it.awaits_event);
        let prompt = self.prompt.as_ref().filter(|_| awaits_event);
        prompt.map_or_else(Vec::new, PromptShape::shared_part_keys)
    }

    /// Records that an engine closed the connection at a time, before an answer on these parts had begun
    pub fn record_part_strikes(
        gateway: &Gateway,
        engine: &ListedEndpoint,
        parts: Vec<PartKey>,
        at: Instant,
    ) {
        let now = Instant::now();
        let broken = BrokenEndpoint {
            id: engine.id.clone(),
            started_at_ms: engine.started_at_ms,
            status: EndpointStatus::Unknown,
        };
        let fact = |part| CrashFact::new(part, Some(broken.clone()), at, now);
        gateway.record_part_facts(parts.into_iter().map(fact), now);
    }

    /// Records that an engine has begun the answer, and ends the test of the parts
    pub fn record_part_answers(&mut self, gateway: &Gateway) {
        if let Some(prompt) = &self.prompt {
            let now = Instant::now();
            let keys = prompt.shared_part_keys();
            for key in &keys {
                gateway.part_suspects.answered.borrow_mut().put(*key, ());
            }
            let fact = |part| CrashFact::new(part, None, now, now);
            gateway.record_part_facts(keys.into_iter().map(fact), now);
        }
        if let Some(running) = self.running.get_mut() {
            running.awaits_event = false;
        }
        self.part_test = None;
    }

    /// Refuses the request for a part of its prompt, and logs why
    pub fn refuse_part(&self, gateway: &Gateway, refused: PartKey) -> Refusal {
        let now = Instant::now();
        let first_refusal = gateway.part_suspects.first_refusal(refused);
        let parts = self.prompt.as_ref().map_or(&[][..], PromptShape::shared_parts);
        let part = parts.iter().find(|it| it.key() == refused);
        let table = gateway.part_suspects.table.borrow();
        let scope = StrikeScope::Lost;
        let left = table.refusal_left(refused, MAX_TESTED_STRIKES, first_refusal, scope, now);
        let engines = table.broken_endpoints(refused, scope, now);
        log::info!(
            "event=part_refused id={} part={} key={refused:x} left_ms={} engines={}",
            self.request.id,
            part.map_or_else(String::new, |it| it.short_id()),
            left.unwrap_or_default().as_millis(),
            engines.map(|it| it.as_str()).collect::<Vec<_>>().join(","),
        );
        let retry_after = left.map(|it| it.max(MIN_SUSPECT_RETRY_AFTER));
        Refusal { answer: GatewayAnswer::Suspected, reason: SUSPECTED_PART, retry_after }
    }
}

impl Gateway {
    /// Records facts on parts that this instance has found, and sends those that are new
    pub fn record_part_facts(&self, facts: impl Iterator<Item = CrashFact>, now: Instant) {
        let part_crashes = facts.filter(|it| self.apply_part_fact(it, "own", now)).collect();
        let update = ServingUpdate { part_crashes, ..Default::default() };
        self.pending_update.borrow_mut().extend(update);
    }

    /// Adds a fact on a part; `true` if it is new
    pub fn apply_part_fact(&self, fact: &CrashFact, source: &str, now: Instant) -> bool {
        let mut table = self.part_suspects.table.borrow_mut();
        let is_new = table.merge(fact, now);
        if is_new {
            self.suspects_changed.notify_one();
        }
        let strikes = table.strike_count(fact.fingerprint, StrikeScope::Lost, now);
        // Each crash adds strikes to all parts that ran there; most are cleared at once.
        if is_new && strikes >= MAX_STRIKES {
            log::info!(
                "event=part_strike key={:x} endpoint={} age_ms={} source={source} strikes={strikes}",
                fact.fingerprint,
                fact.broken.as_ref().map_or("none", |it| it.id.as_str()),
                fact.age_ms,
            );
        }
        is_new
    }
}
