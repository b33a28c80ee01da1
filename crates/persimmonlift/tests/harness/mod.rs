//! Runs stand-ins and instances in the test's process and calls them.
#![allow(dead_code)]

use bytes::Bytes;
use googletest::prelude::*;
use http::{HeaderMap, Method, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use persimmonlift::instance::{InstanceHandle, ServingInstance};
use persimmonlift::settings::{
    InstanceIdentity, InstanceSecrets, InstanceSettings, ListenSettings, PlatformSettings,
};
use platform::http::HttpClient;
use serde_json::{Value, json};
use smol_str::format_smolstr;
use standins::answer::expected_text;
use standins::deployment::DeploymentKind;
use standins::fleet::{Fleet, FleetSettings};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

pub const KEY: &str = "caller-key";
pub const ADMIN_TOKEN: &str = "admin-token";
pub const MODEL: &str = "dossier";
/// Timeout of `await_until`.
const AWAIT_TIMEOUT: Duration = Duration::from_secs(20);

/// Stand-ins of the Trust's fleet and the entry instances that serve it
pub struct Deployment {
    pub fleet: Fleet,
    pub instances: Vec<InstanceHandle>,
    pub client: HttpClient,
}

/// Answer with its complete body
#[derive(Debug)]
pub struct WholeAnswer {
    pub status: StatusCode,
    pub headers: HeaderMap,
    pub body: Bytes,
}

impl WholeAnswer {
    pub fn json(&self) -> Result<Value> {
        serde_json::from_slice(&self.body).or_fail()
    }

    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).and_then(|it| it.to_str().ok()).unwrap_or_default()
    }

    pub fn code(&self) -> Result<String> {
        Ok(self.json()?["error"]["code"].as_str().unwrap_or_default().to_owned())
    }
}

pub fn secrets() -> InstanceSecrets {
    InstanceSecrets { admin_token: ADMIN_TOKEN.into(), peer_token: "peer-token".into() }
}

pub fn loopback() -> SocketAddr {
    ([127, 0, 0, 1], 0).into()
}

/// Settings of one instance of the fleet, with short intervals and timeouts
pub fn settings(fleet: &Fleet, index: usize) -> InstanceSettings {
    let instance = InstanceIdentity {
        id: format_smolstr!("entry-{}", index + 1),
        zone: fleet.plan.zone(index),
        region: fleet.plan.region.clone(),
        deployment: fleet.plan.name.clone(),
    };
    let listen = ListenSettings { caller: loopback(), admin: loopback(), peer: loopback() };
    let platform = PlatformSettings {
        log: fleet.log_address(),
        instances: fleet.list.address(),
        weights: fleet.weights.address(),
    };
    let mut settings = InstanceSettings::new(instance, listen, platform);
    settings.timeouts.list_ms = 100;
    settings.timeouts.report_ms = 50;
    settings.timeouts.drain_pause_ms = 100;
    settings.timeouts.between_tokens_ms = 500;
    settings
}

impl Deployment {
    pub async fn start(instances: usize) -> Result<Deployment> {
        Deployment::start_with(instances, FleetSettings::of(DeploymentKind::Trust), |_| {}).await
    }

    pub async fn start_with(
        instances: usize,
        fleet: FleetSettings,
        change: impl Fn(&mut InstanceSettings),
    ) -> Result<Deployment> {
        // Set RUST_LOG to see the logs of the instances.
        let _ = env_logger::try_init();
        let fleet = Fleet::start(fleet).or_fail()?;
        let client = HttpClient::new();
        let mut deployment = Deployment { fleet, instances: Vec::new(), client };
        for index in 0..instances {
            let mut settings = settings(&deployment.fleet, index);
            change(&mut settings);
            deployment.add_instance(settings).await?;
        }
        deployment.publish().await?;
        deployment.await_ready().await?;
        Ok(deployment)
    }

    pub async fn add_instance(&mut self, settings: InstanceSettings) -> Result<()> {
        let zone = settings.instance.zone.clone();
        let handle = ServingInstance::start(settings, secrets()).await.or_fail()?;
        self.fleet.register_instance(handle.id().clone(), zone, handle.peer_address());
        self.instances.push(handle);
        Ok(())
    }

    async fn publish(&self) -> Result<()> {
        let catalogue = &self.instances[0].context().catalogue;
        catalogue.caught_up().await;
        for entry in self.fleet.plan_entries() {
            catalogue.put(entry, 0, "test".into()).await.or_fail()?;
        }
        Ok(())
    }

    pub async fn await_ready(&self) -> Result<()> {
        let engines = self.fleet.engines.len();
        await_until("instances have read the entries and reached the engines", || {
            self.instances.iter().all(|it| {
                let context = it.context();
                let accepting = context.registry.status().iter().filter(|it| it.accepting).count();
                context.status.is_ready()
                    && context.catalogue.view().entries().count() == 4
                    && accepting >= engines
            })
        })
        .await
    }

    pub fn caller_uri(&self, instance: usize, path: &str) -> String {
        format!("http://{}{path}", self.instances[instance].caller_address())
    }

    /// Calls the callers' port of an instance with the caller's key
    pub async fn call(
        &self,
        instance: usize,
        method: Method,
        path: &str,
        body: impl Into<Bytes>,
    ) -> Result<WholeAnswer> {
        let request = Request::builder()
            .method(method)
            .uri(self.caller_uri(instance, path))
            .header("authorization", format!("Bearer {KEY}"))
            .body(Full::new(body.into()))
            .or_fail()?;
        self.send(request).await
    }

    pub async fn send(&self, request: Request<Full<Bytes>>) -> Result<WholeAnswer> {
        send(&self.client, request).await
    }

    pub async fn complete(
        &self,
        instance: usize,
        prompt: &str,
        tokens: u32,
    ) -> Result<WholeAnswer> {
        let body = completion_body("summaries", prompt, tokens, false);
        self.call(instance, Method::POST, "/v1/completions", body).await
    }

    /// Streams a completion and checks that the answer is complete and matches the prompt
    pub async fn check_stream(&self, instance: usize, prompt: &str, tokens: u32) -> Result<()> {
        let body = completion_body("summaries", prompt, tokens, true);
        let answer = self.call(instance, Method::POST, "/v1/completions", body).await?;
        check_streamed(&answer, prompt, tokens)
    }

    /// Calls the once-only entry with a key
    pub async fn register(&self, instance: usize, key: &str, body: &str) -> Result<WholeAnswer> {
        let request = Request::builder()
            .method(Method::POST)
            .uri(self.caller_uri(instance, "/services/register-entries/dwellings"))
            .header("authorization", format!("Bearer {KEY}"))
            .header("idempotency-key", key)
            .body(Full::new(Bytes::from(body.to_owned())))
            .or_fail()?;
        self.send(request).await
    }

    pub async fn admin(
        &self,
        method: Method,
        path: &str,
        headers: &[(&str, &str)],
        body: impl Into<Bytes>,
    ) -> Result<WholeAnswer> {
        let mut builder = Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.instances[0].admin_address()))
            .header("authorization", format!("Bearer {ADMIN_TOKEN}"));
        for (name, value) in headers {
            builder = builder.header(*name, *value);
        }
        self.send(builder.body(Full::new(body.into())).or_fail()?).await
    }
}

/// Catalogue entries of a fleet
pub trait PlanEntries {
    fn plan_entries(&self) -> Vec<catalogue::CatalogueEntry>;
}

impl PlanEntries for Fleet {
    fn plan_entries(&self) -> Vec<catalogue::CatalogueEntry> {
        DeploymentKind::Trust.entries(KEY)
    }
}

pub async fn send(client: &HttpClient, request: Request<Full<Bytes>>) -> Result<WholeAnswer> {
    let response = client.send(request).await.or_fail()?;
    let (parts, body) = response.into_parts();
    let body = body.collect().await.or_fail()?.to_bytes();
    Ok(WholeAnswer { status: parts.status, headers: parts.headers, body })
}

pub fn completion_body(entry: &str, prompt: &str, tokens: u32, stream: bool) -> String {
    json!({"model": entry, "prompt": prompt, "max_tokens": tokens, "stream": stream}).to_string()
}

/// Prompt of about `tokens` tokens, unique per `number`
pub fn prompt(number: usize, tokens: usize) -> String {
    let mut text = format!("filing {number}: ");
    while text.len() < tokens * 4 {
        text.push_str("dwelling complete ");
    }
    text
}

pub fn check_whole(answer: &WholeAnswer, prompt: &str, tokens: u32) -> Result<()> {
    verify_that!(answer.status, eq(StatusCode::OK))?;
    let body = answer.json()?;
    verify_that!(
        body["choices"][0]["text"].as_str(),
        some(eq(expected_text(MODEL, prompt, tokens).as_str()))
    )?;
    verify_that!(body["usage"]["completion_tokens"].as_u64(), some(eq(u64::from(tokens))))
}

pub fn check_streamed(answer: &WholeAnswer, prompt: &str, tokens: u32) -> Result<()> {
    verify_that!(answer.status, eq(StatusCode::OK))?;
    let text = String::from_utf8(answer.body.to_vec()).or_fail()?;
    let mut events: Vec<&str> = text.split("\n\n").filter(|it| !it.is_empty()).collect();
    verify_that!(events.pop(), some(eq("data: [DONE]")))?;
    let mut joined = String::new();
    let mut last = Value::Null;
    for event in events {
        let data = event.strip_prefix("data: ").unwrap_or_default();
        last = serde_json::from_str(data).or_fail()?;
        joined.push_str(last["choices"][0]["text"].as_str().unwrap_or_default());
    }
    verify_that!(joined, eq(&expected_text(MODEL, prompt, tokens)))?;
    verify_that!(last["usage"]["completion_tokens"].as_u64(), some(eq(u64::from(tokens))))
}

pub async fn await_until(what: &str, mut condition: impl FnMut() -> bool) -> Result<()> {
    let due = Instant::now() + AWAIT_TIMEOUT;
    while !condition() {
        if Instant::now() > due {
            return fail!("timed out waiting until {what}");
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    Ok(())
}
