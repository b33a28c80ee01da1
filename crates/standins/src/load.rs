//! Mixed load of a deployment, in the shapes that the brief describes.

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

const SHARED_PREFIXES: u32 = 8;
const FILLER: &str = "lorem ipsum dolor sit amet consectetur ";

/// One call of the load
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LoadCall {
    /// Completion
    Completion(CompletionCall),
    /// Service call
    Service(ServiceCall),
}

/// Call with everything it was answered
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallRecord {
    /// Call
    pub call: LoadCall,
    /// Outcomes of its tries, in order
    pub outcomes: Vec<CallOutcome>,
}

/// Source of calls
#[derive(Debug, Clone)]
pub struct LoadMix {
    deployment: DeploymentKind,
    entries: Vec<EntryName>,
    /// Share of the long readings among the calls to engines
    pub long_share: f64,
    /// Share of the calls to services
    pub service_share: f64,
    serial: u64,
}

impl LoadMix {
    /// Mix of a deployment with as many long readings as short drafts
    pub fn new(deployment: DeploymentKind) -> LoadMix {
        let entries = deployment.entries("").into_iter().map(|it| it.name).collect();
        LoadMix { deployment, entries, long_share: 0.5, service_share: 0.3, serial: 0 }
    }

    /// Next call; every call has a prompt or a key of its own
    pub fn next(&mut self, rng: &mut impl Rng) -> LoadCall {
        self.serial += 1;
        if rng.random_bool(self.service_share) {
            return self.service_call(rng);
        }
        let is_long = rng.random_bool(self.long_share);
        LoadCall::Completion(self.completion(is_long, rng))
    }

    fn completion(&self, is_long: bool, rng: &mut impl Rng) -> CompletionCall {
        let (prompt, output) = sizes(self.deployment, is_long);
        let prompt_tokens = rng.random_range(prompt);
        let start = format!("document {} ", rng.random_range(0..SHARED_PREFIXES));
        let end = format!(" request {} {:016x}", self.serial, rng.random::<u64>());
        CompletionCall {
            entry: self.entries[usize::from(!is_long)].clone(),
            model: self.deployment.plan().model,
            prompt: fill(start, prompt_tokens) + &end,
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
    /// Entry that it goes to
    pub fn entry(&self) -> &EntryName {
        match self {
            LoadCall::Completion(call) => &call.entry,
            LoadCall::Service(call) => &call.entry,
        }
    }

    /// Caller's key, of a call that may run only once
    pub fn once_key(&self) -> Option<&SmolStr> {
        match self {
            LoadCall::Completion(_) => None,
            LoadCall::Service(call) => call.key.as_ref(),
        }
    }

    /// Makes the call
    pub async fn send(&self, caller: &CallerClient, address: SocketAddr) -> CallOutcome {
        match self {
            LoadCall::Completion(call) => caller.complete(address, call).await,
            LoadCall::Service(call) => caller.call_service(address, call).await,
        }
    }
}

/// Makes a call at one address after another until the answer is right
///
/// Pauses between tries; a try uses the same key.
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

fn sizes(deployment: DeploymentKind, is_long: bool) -> (Range<TokenCount>, Range<TokenCount>) {
    match (deployment, is_long) {
        (DeploymentKind::Trust, true) => (3_000..12_000, 60..200),
        (DeploymentKind::Trust, false) => (30..400, 20..80),
        (DeploymentKind::Dongelek, true) => (4_000..16_000, 1..4),
        (DeploymentKind::Dongelek, false) => (30..300, 80..250),
    }
}

fn fill(mut text: String, tokens: TokenCount) -> String {
    let bytes = tokens as usize * BYTES_PER_TOKEN;
    while text.len() < bytes {
        text.push_str(FILLER);
    }
    text.truncate(bytes);
    text
}
