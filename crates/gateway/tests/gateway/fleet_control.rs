//! Stand-in of the platform's control API, which starts and drains engines by zone and kind.

use crate::deployment::{endpoint, unix_ms};
use crate::endpoint::{FakeEndpoint, Step, answer};
use crate::store::FakeStore;
use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use indexmap::IndexMap;
use serde_json::{Value, json};
use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::net::TcpListener;

/// Time after an order until its engines are listed.
const STARTUP: Duration = Duration::from_millis(500);
/// Time from the announcement until engines are taken away.
const LEAVING_TIME: Duration = Duration::from_millis(2500);

/// Zone, and whether engines may be taken away.
pub type EngineKind = (String, bool);

/// Order as it arrived
#[derive(Debug, Clone)]
pub struct ScaleCall {
    pub kind: EngineKind,
    pub desired: usize,
    pub holder: String,
    pub fence: u64,
    pub at: Instant,
}

#[derive(Default)]
struct ControlState {
    calls: Vec<ScaleCall>,
    engines: IndexMap<EngineKind, Vec<FakeEndpoint>>,
    /// Kinds of which none are to be had
    unavailable: Vec<EngineKind>,
    /// Whether calls are received and neither answered nor carried out
    is_silent: bool,
    started: usize,
}

/// Control API that runs until the test ends
#[derive(Clone)]
pub struct FleetControl {
    pub address: SocketAddr,
    store: FakeStore,
    state: Arc<Mutex<ControlState>>,
}

impl FleetControl {
    /// Starts the API with this number of regular engines in each zone
    pub async fn start(store: &FakeStore, zones: &[&str], regular: usize) -> FleetControl {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("free port");
        let address = listener.local_addr().expect("bound");
        let control = FleetControl { address, store: store.clone(), state: Arc::default() };
        for zone in zones {
            control.resize(((*zone).to_owned(), false), regular).await;
        }
        let accepting = control.clone();
        tokio::spawn(async move {
            while let Ok((socket, _)) = listener.accept().await {
                let control = accepting.clone();
                tokio::spawn(async move {
                    let service = service_fn(move |request| {
                        let control = control.clone();
                        async move { Ok::<_, Infallible>(control.answer(request).await) }
                    });
                    // Errors are ignored, since callers may close connections at any time.
                    let _ =
                        http1::Builder::new().serve_connection(TokioIo::new(socket), service).await;
                });
            }
        });
        control
    }

    /// Orders so far
    pub fn calls(&self) -> Vec<ScaleCall> {
        self.state.lock().expect("no panic").calls.clone()
    }

    /// Listed engines of a kind
    pub fn engines(&self, is_preemptible: bool) -> usize {
        let state = self.state.lock().expect("no panic");
        state.engines.iter().filter(|it| it.0.1 == is_preemptible).map(|it| it.1.len()).sum()
    }

    /// Sets whether calls are left without an answer
    pub fn set_silent(&self, is_silent: bool) {
        self.state.lock().expect("no panic").is_silent = is_silent;
    }

    /// Makes the preemptible engines of a zone unavailable
    pub fn withhold(&self, zone: &str) {
        self.state.lock().expect("no panic").unavailable.push((zone.to_owned(), true));
    }

    /// Announces that all preemptible engines of a zone leave, and makes the kind unavailable
    pub fn take_away(&self, zone: &str) {
        self.withhold(zone);
        let kind = (zone.to_owned(), true);
        let taken = self.state.lock().expect("no panic").engines.shift_remove(&kind);
        for engine in taken.unwrap_or_default() {
            let mut entry = entry(&engine, &kind, "draining");
            entry["leaves_ms"] = (LEAVING_TIME.as_millis() as u64).into();
            self.store.put("keyed.servers", &engine.id, entry.to_string().as_bytes());
            let control = self.clone();
            tokio::spawn(async move {
                tokio::time::sleep(LEAVING_TIME).await;
                control.store.put("keyed.servers", &engine.id, b"");
            });
        }
    }

    async fn answer(&self, request: Request<Incoming>) -> Response<Full<Bytes>> {
        let (head, body) = request.into_parts();
        let body = body.collect().await.map(|it| it.to_bytes()).unwrap_or_default();
        if head.uri.path() != "/scale" {
            return Response::new(Full::default());
        }
        let header = |name: &str| head.headers[name].to_str().expect("text").to_owned();
        let order = serde_json::from_slice::<Value>(&body).expect("an order");
        let zone = order["zone"].as_str().expect("a zone").to_owned();
        let kind = (zone, order["spot"].as_bool().unwrap_or(false));
        let desired = order["desired"].as_u64().expect("a number") as usize;
        let fence = header("x-fence-token").parse().expect("a token");
        let holder = header("x-duty-holder");
        let (is_unavailable, is_silent) = {
            let mut state = self.state.lock().expect("no panic");
            let call = ScaleCall { kind: kind.clone(), desired, holder, fence, at: Instant::now() };
            state.calls.push(call);
            (state.unavailable.contains(&kind), state.is_silent)
        };
        if is_silent {
            std::future::pending::<()>().await;
        }
        let mut response = Response::new(Full::default());
        if is_unavailable {
            *response.status_mut() = StatusCode::CONFLICT;
        } else {
            let control = self.clone();
            tokio::spawn(async move {
                tokio::time::sleep(STARTUP).await;
                control.resize(kind, desired).await;
            });
        }
        response
    }

    async fn resize(&self, kind: EngineKind, desired: usize) {
        loop {
            let (present, number) = {
                let mut state = self.state.lock().expect("no panic");
                state.started += 1;
                (state.engines.entry(kind.clone()).or_default().len(), state.started)
            };
            if present == desired {
                return;
            }
            if present > desired {
                let mut state = self.state.lock().expect("no panic");
                let engine = state.engines[&kind].pop().expect("more than desired");
                self.store.put("keyed.servers", &engine.id, b"");
                continue;
            }
            let script =
                |it: &crate::endpoint::Arrival| vec![Step::Write(answer(it, "200 OK", ""))];
            let engine = endpoint(&format!("engine-{number}"), script).await;
            let entry = entry(&engine, &kind, "ready").to_string();
            self.store.put("keyed.servers", &engine.id, entry.as_bytes());
            self.state.lock().expect("no panic").engines[&kind].push(engine);
        }
    }
}

fn entry(engine: &FakeEndpoint, kind: &EngineKind, state: &str) -> Value {
    json!({
        "service": "engines", "address": engine.address, "zone": kind.0, "version": "v1",
        "slots": 6, "state": state, "stage": "decode", "sequence": 1,
        "born": engine.start_of_incarnation(unix_ms()), "spot": kind.1
    })
}
