//! Mixed load of a deployment: long and short completions and service calls.

use crate::caller::{CallOutcome, CallerClient, CompletionCall, ServiceCall};
use crate::deployment::DeploymentKind;
use bytes::Bytes;
use catalogue::id::{EntryName, TokenCount};
use catalogue::prefix::BYTES_PER_TOKEN;
use hyper::Method;
use rand::Rng;
use smol_str::{SmolStr, format_smolstr};
use std::net::SocketAddr;
use std::ops::Range;
use std::time::Duration;

const SHARED_PREFIX_COUNT: u32 = 8;
const FILLER: &str = "lorem ipsum dolor sit amet consectetur ";

/// One call of the load
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LoadCall {
    Completion(CompletionCall),
    Service(ServiceCall),
}

/// Call with the outcomes of all its attempts
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallRecord {
    pub call: LoadCall,
    /// Outcome of each attempt, in order
    pub outcomes: Vec<CallOutcome>,
}

/// Generator of random calls
#[derive(Debug, Clone)]
pub struct LoadMix {
    deployment: DeploymentKind,
    entries: Vec<EntryName>,
    /// Fraction of the completions that have a long prompt
    pub long_fraction: f64,
    /// Fraction of all calls that go to services
    pub service_fraction: f64,
    serial: u64,
}

impl LoadMix {
    /// Mix of a deployment with equal numbers of long and short prompts
    pub fn new(deployment: DeploymentKind) -> LoadMix {
        let entries = deployment.entries("").into_iter().map(|it| it.name).collect();
        LoadMix { deployment, entries, long_fraction: 0.5, service_fraction: 0.3, serial: 0 }
    }

    /// Next call; no two calls have the same prompt, idempotency key or path
    pub fn next(&mut self, rng: &mut impl Rng) -> LoadCall {
        self.serial += 1;
        if rng.random_bool(self.service_fraction) {
            return self.service_call(rng);
        }
        let is_long = rng.random_bool(self.long_fraction);
        LoadCall::Completion(self.completion(is_long, rng))
    }

    fn completion(&self, is_long: bool, rng: &mut impl Rng) -> CompletionCall {
        let (prompt, output) = token_ranges(self.deployment, is_long);
        let prompt_tokens = rng.random_range(prompt);
        let start = format!("document {} ", rng.random_range(0..SHARED_PREFIX_COUNT));
        let end = format!(" request {} {:016x}", self.serial, rng.random::<u64>());
        CompletionCall {
            entry: self.entries[usize::from(!is_long)].clone(),
            model: self.deployment.plan().model,
            prompt: pad_to_tokens(start, prompt_tokens) + &end,
            max_tokens: rng.random_range(output),
            stream: rng.random_bool(0.8),
        }
    }

    fn service_call(&self, rng: &mut impl Rng) -> LoadCall {
        let serial = self.serial;
        LoadCall::Service(if rng.random_bool(0.5) {
            ServiceCall {
                entry: self.entries[2].clone(),
                method: Method::POST,
                path: "/create".into(),
                key: Some(format_smolstr!("{}", uuid::Uuid::now_v7())),
                body: Bytes::from(format!("{{\"serial\":{serial}}}")),
            }
        } else {
            ServiceCall {
                entry: self.entries[3].clone(),
                method: Method::GET,
                path: format_smolstr!("/lookup?serial={serial}"),
                key: None,
                body: Bytes::new(),
            }
        })
    }
}

impl LoadCall {
    /// Catalogue entry that it calls
    pub fn entry(&self) -> &EntryName {
        match self {
            LoadCall::Completion(call) => &call.entry,
            LoadCall::Service(call) => &call.entry,
        }
    }

    /// Idempotency key of a once-only call
    pub fn once_key(&self) -> Option<&SmolStr> {
        match self {
            LoadCall::Completion(_) => None,
            LoadCall::Service(call) => call.key.as_ref(),
        }
    }

    /// Makes the call through the instance at `address`
    pub async fn send(&self, caller: &CallerClient, address: SocketAddr) -> CallOutcome {
        match self {
            LoadCall::Completion(call) => caller.complete(address, call).await,
            LoadCall::Service(call) => caller.call_service(address, call).await,
        }
    }
}

/// Makes a call at one address after another until the answer is correct
///
/// Waits for `pause` between attempts; all attempts use the same key.
pub async fn send_until_right(
    call: LoadCall,
    caller: CallerClient,
    addresses: Vec<SocketAddr>,
    pause: Duration,
) -> CallRecord {
    let mut outcomes = Vec::new();
    for (index, address) in addresses.iter().enumerate() {
        if index > 0 {
            tokio::time::sleep(pause).await;
        }
        let outcome = call.send(&caller, *address).await;
        let is_right = outcome.is_right();
        outcomes.push(outcome);
        if is_right {
            break;
        }
    }
    CallRecord { call, outcomes }
}

/// Ranges of the prompt's and the output's tokens
fn token_ranges(
    deployment: DeploymentKind,
    is_long: bool,
) -> (Range<TokenCount>, Range<TokenCount>) {
    match (deployment, is_long) {
        (DeploymentKind::Trust, true) => (3_000..12_000, 60..200),
        (DeploymentKind::Trust, false) => (30..400, 20..80),
        (DeploymentKind::Dongelek, true) => (4_000..16_000, 1..4),
        (DeploymentKind::Dongelek, false) => (30..300, 80..250),
    }
}

fn pad_to_tokens(mut text: String, tokens: TokenCount) -> String {
    let bytes = tokens as usize * BYTES_PER_TOKEN;
    while text.len() < bytes {
        text.push_str(FILLER);
    }
    text.truncate(bytes);
    text
}
