//! Stand-in of the platform's control API, and how its answers are understood.

use catalogue::id::Fence;
use googletest::prelude::*;
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::body::{Bytes, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use platform_adapter::control_api::{
    ControlClient, ControlOutcome, DutyToken, EndpointOrder, usage_body,
};
use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use testcases::cases;
use tokio::net::TcpListener;

/// How the control API answers
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ControlMode {
    Normal,
    /// Carries out a call and answers it after this time
    Slow(Duration),
    /// Records calls and never answers
    Silent,
    /// Answers with this status
    Refusing(StatusCode),
}

/// Call that the control API has received
#[derive(Debug, Clone)]
pub struct ControlCall {
    pub path: String,
    pub holder: String,
    pub fence: Fence,
    pub body: Bytes,
    pub received_at: Instant,
}

struct ControlState {
    mode: ControlMode,
    /// Whether lower tokens than the highest so far get 409
    checks_fence: bool,
    calls: Vec<ControlCall>,
}

/// Control API that runs until the test ends
#[derive(Clone)]
pub struct FakeControl {
    pub address: SocketAddr,
    state: Arc<Mutex<ControlState>>,
}

impl FakeControl {
    /// Starts a control API that checks tokens, or one that doesn't
    pub async fn start(checks_fence: bool) -> FakeControl {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("free port");
        let address = listener.local_addr().expect("bound");
        let state = ControlState { mode: ControlMode::Normal, checks_fence, calls: Vec::new() };
        let control = FakeControl { address, state: Arc::new(Mutex::new(state)) };
        let accepting = control.clone();
        tokio::spawn(async move {
            while let Ok((socket, _)) = listener.accept().await {
                let control = accepting.clone();
                let service = service_fn(move |request| {
                    let control = control.clone();
                    async move { Ok::<_, Infallible>(control.answer(request).await) }
                });
                let connection =
                    http1::Builder::new().serve_connection(TokioIo::new(socket), service);
                tokio::spawn(connection);
            }
        });
        control
    }

    /// Sets how it answers from now on
    pub fn set_mode(&self, mode: ControlMode) {
        self.state.lock().expect("no panic").mode = mode;
    }

    /// Calls received so far, in order
    pub fn calls(&self) -> Vec<ControlCall> {
        self.state.lock().expect("no panic").calls.clone()
    }

    async fn answer(&self, request: Request<Incoming>) -> Response<Full<Bytes>> {
        let (parts, body) = request.into_parts();
        let header = |name: &str| {
            let value = parts.headers.get(name).and_then(|it| it.to_str().ok());
            value.unwrap_or_default().to_owned()
        };
        let body = body.collect().await.map(|it| it.to_bytes()).unwrap_or_default();
        let call = ControlCall {
            path: parts.uri.path().to_owned(),
            holder: header("x-duty-holder"),
            fence: header("x-fence-token").parse().expect("a token"),
            body,
            received_at: Instant::now(),
        };
        let (mode, is_low) = {
            let mut state = self.state.lock().expect("no panic");
            let is_low = state.calls.iter().any(|it| it.fence > call.fence);
            state.calls.push(call);
            (state.mode, is_low && state.checks_fence)
        };
        let mut response = Response::new(Full::default());
        match mode {
            ControlMode::Normal => {}
            ControlMode::Slow(time) => tokio::time::sleep(time).await,
            ControlMode::Silent => std::future::pending().await,
            ControlMode::Refusing(status) => *response.status_mut() = status,
        }
        if is_low {
            *response.status_mut() = StatusCode::CONFLICT;
        }
        response
    }
}

use ControlMode::{Normal, Refusing, Silent, Slow};

cases! { async
    accepted_call => outcome(Normal, ControlOutcome::Accepted),
    slow_call => outcome(Slow(Duration::from_millis(300)), ControlOutcome::Accepted),
    // Guards against a caller that waits for ever.
    silent_call => outcome(Silent, ControlOutcome::Unanswered),
    limited_call => outcome(Refusing(StatusCode::TOO_MANY_REQUESTS), ControlOutcome::Limited),
    declined_call => outcome(
        Refusing(StatusCode::BAD_GATEWAY),
        ControlOutcome::Declined(StatusCode::BAD_GATEWAY),
    ),
    // Guards against a status outside the protocol that is taken for a refusal, after which nothing is sent again.
    unknown_status_is_no_answer => outcome(
        ControlMode::Refusing(StatusCode::from_u16(600)?),
        ControlOutcome::Unanswered,
    ),
    lower_token_conflicts_where_tokens_are_checked => lower_token(true),
    lower_token_is_accepted_where_they_are_not => lower_token(false),
}

fn token(fence: Fence) -> DutyToken {
    DutyToken { holder: "instance-1".into(), fence }
}

async fn outcome(mode: ControlMode, expected: ControlOutcome) -> Result<()> {
    let control = FakeControl::start(true).await;
    control.set_mode(mode);
    let client = ControlClient::new(control.address);
    let body = usage_body(7, &[("acme".into(), 3)].into_iter().collect());
    let started_at = Instant::now();
    verify_that!(client.report_usage(&token(5), body, || true).await, eq(expected))?;
    verify_that!(started_at.elapsed(), lt(Duration::from_millis(1500)))?;
    let call = control.calls().into_iter().next().or_fail()?;
    verify_that!((call.path.as_str(), call.holder.as_str()), eq(("/usage", "instance-1")))?;
    verify_that!(call.body, eq(&Bytes::from(r#"{"window_id":7,"counts":{"acme":3}}"#)))?;
    verify_that!(call.received_at.elapsed(), lt(Duration::from_secs(2)))
}

async fn lower_token(checks_fence: bool) -> Result<()> {
    let control = FakeControl::start(checks_fence).await;
    let client = ControlClient::new(control.address);
    let order = EndpointOrder {
        pool: "engines".into(),
        zone: "zone-a".into(),
        count: 3,
        is_preemptible: false,
    };
    let first = client.order_endpoints(&token(6), &order, || true).await;
    let second = client.order_endpoints(&token(5), &order, || true).await;
    let expected = if checks_fence { ControlOutcome::Conflict } else { ControlOutcome::Accepted };
    verify_that!((first, second), eq((ControlOutcome::Accepted, expected)))
}
