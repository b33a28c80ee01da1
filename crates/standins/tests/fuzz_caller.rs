//! Fuzz tests of callers' JSON against a live instance.
//!
//! The seed is fixed and the number of cases bounded; `PROPTEST_CASES` raises it.

mod common;

use bytes::Bytes;
use common::{CALLER_KEY, Cluster};
use http_body_util::Full;
use hyper::{Method, Request, StatusCode};
use persimmonlift::prompt::{CompletionForm, parse_request};
use platform::http::{HttpClient, MAX_ANSWER_BYTES, read_body};
use proptest::prelude::*;
use proptest::sample::Index;
use proptest::test_runner::RngSeed;
use standins::caller::RAN_HEADER;
use standins::deployment::DeploymentKind;
use standins::fleet::FleetSettings;
use std::sync::{LazyLock, Mutex, PoisonError};
use tokio::runtime::Runtime;

const SEED: u64 = 20_261_203;
const VALID_BODY: &str =
    r#"{"model":"clerk-queries","prompt":"storeys","max_tokens":3,"stream":false}"#;
const SPEED_FACTOR: f64 = 50.0;

/// Live instance with its stand-ins
struct LiveInstance {
    runtime: Runtime,
    cluster: Cluster,
    client: HttpClient,
    // Serializes the calls, so that new executions belong to the current one.
    call_lock: Mutex<()>,
}

static INSTANCE: LazyLock<LiveInstance> = LazyLock::new(|| {
    let runtime = Runtime::new().unwrap();
    let mut settings = FleetSettings::of(DeploymentKind::Trust);
    settings.engine.speed.factor = SPEED_FACTOR;
    let cluster = runtime.block_on(Cluster::start(settings, 1)).unwrap();
    LiveInstance { runtime, cluster, client: HttpClient::new(), call_lock: Mutex::new(()) }
});

impl LiveInstance {
    /// Posts `body`; returns the status, the header `persimmon-ran` and the number of engine
    /// executions
    fn post(&self, path: &str, body: Vec<u8>) -> (StatusCode, String, usize) {
        let _guard = self.call_lock.lock().unwrap_or_else(PoisonError::into_inner);
        let before = self.cluster.fleet.engine_executions().len();
        let address = self.cluster.addresses()[0];
        let request = Request::builder()
            .method(Method::POST)
            .uri(format!("http://{address}{path}"))
            .header(hyper::header::AUTHORIZATION, format!("Bearer {CALLER_KEY}"))
            .body(Full::new(Bytes::from(body)))
            .unwrap();
        self.runtime.block_on(async {
            let response = self.client.send(request).await.unwrap();
            let status = response.status();
            let ran = response.headers().get(RAN_HEADER);
            let ran = ran.map_or(String::new(), |it| it.to_str().unwrap().to_owned());
            read_body(response.into_body(), MAX_ANSWER_BYTES).await.unwrap();
            let executions = self.cluster.fleet.engine_executions().len() - before;
            (status, ran, executions)
        })
    }
}

fn check_call(body: Vec<u8>) -> Result<(), TestCaseError> {
    let parsed = parse_request(CompletionForm::Text, &body);
    let (status, ran, executions) = INSTANCE.post("/v1/completions", body);
    if status.is_success() {
        prop_assert!(parsed.is_ok());
        prop_assert_eq!(executions, 1);
        return Ok(());
    }
    prop_assert!(status.is_client_error(), "{}", status);
    prop_assert_eq!(ran, "no");
    prop_assert_eq!(executions, 0);
    Ok(())
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(SEED),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn caller_bytes_of_any_kind(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        check_call(bytes)?;
    }

    #[test]
    fn caller_json_damaged(edits in prop::collection::vec(any::<(Index, u8)>(), 1..4)) {
        let mut bytes = VALID_BODY.as_bytes().to_vec();
        for (index, byte) in edits {
            let index = index.index(bytes.len());
            bytes[index] = byte;
        }
        check_call(bytes)?;
    }

    #[test]
    fn caller_json_cut_short(end in any::<Index>()) {
        check_call(VALID_BODY.as_bytes()[..end.index(VALID_BODY.len())].to_vec())?;
    }

    #[test]
    fn caller_numbers_of_any_size(max_tokens in any::<i64>(), deadline_ms in any::<u64>()) {
        let body = format!(
            "{{\"model\":\"clerk-queries\",\"prompt\":\"p\",\"max_tokens\":{max_tokens},\
             \"deadline_ms\":{deadline_ms}}}"
        );
        let (status, ran, _) = INSTANCE.post("/v1/completions", body.into_bytes());
        prop_assert!(status.is_success() || ran == "no", "{} {}", status, ran);
    }
}
