//! Watches the link between this instance and the endpoints, see `decide::serving::link`.
//!
//! An instance that is cut from all endpoints sees each of them fail, as if all had ended.
//! What it says of them would make sound endpoints unreliable for all instances, and sound
//! requests suspected of crashing them. Evidence against an endpoint is therefore held back
//! until another one has answered, and dropped if the link turns out to be cut while others
//! reach the endpoints. A few checked endpoints may also have ended, so that a request which
//! broke off is then remembered until the list or its endpoint shows that, see
//! `decide::serving::silence`.

use crate::connections::{ConnectionReuse, ExchangeError};
use crate::link_evidence::{EvidenceKind, HeldEvidence, SILENCE_LIMIT};
use crate::state::Gateway;
use bytes::Bytes;
use decide::serving::endpoint_list::ListedEndpoint;
use decide::serving::link::{CheckResult, LinkState};
use http::{Request, StatusCode};
use http_body_util::Full;
use indexmap::IndexMap;
use platform_adapter::engine::call_headers;
use rand::seq::SliceRandom;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::time::{sleep, timeout};

/// Time to wait for the answer of a checked endpoint.
const CHECK_TIMEOUT: Duration = Duration::from_millis(300);
/// Number of endpoints that are checked at once.
const CHECKED_ENDPOINTS: usize = 3;
/// Time for which evidence waits for an answer of another endpoint before a check.
const HOLD_TIME: Duration = Duration::from_millis(100);
/// Maximum time for which evidence is held back.
pub const MAX_HOLD_TIME: Duration = HOLD_TIME.saturating_add(CHECK_TIMEOUT);
/// Pause between two checks while the link is cut.
const CHECK_PAUSE: Duration = Duration::from_millis(250);

impl Gateway {
    /// Records an answer of an endpoint, which shows that the link isn't cut
    pub fn record_link_answer(&self, is_new_connection: bool) {
        self.link.monitor.borrow_mut().record_answer(is_new_connection, Instant::now());
        self.link.settled.notify_waiters();
        if !self.link.held.borrow().is_empty() {
            self.release_evidence(|it| is_new_connection || it == EvidenceKind::Broken);
        }
    }

    /// Records that an endpoint failed, and applies `evidence` once the link is known to be sound
    pub fn hold_evidence(
        &self,
        endpoint: &ListedEndpoint,
        kind: EvidenceKind,
        evidence: impl FnOnce(&Gateway) + 'static,
    ) {
        self.hold_evidence_or(endpoint, kind, evidence, |_| {});
    }

    /// Records that an endpoint failed, and applies `evidence` once the link is known to be sound, or `if_cut` if it
    /// is cut while others reach the endpoints
    pub fn hold_evidence_or(
        &self,
        endpoint: &ListedEndpoint,
        kind: EvidenceKind,
        evidence: impl FnOnce(&Gateway) + 'static,
        if_cut: impl FnOnce(&Gateway) + 'static,
    ) {
        let link = &self.link;
        if link.is_cut() {
            // While no other instance reaches the endpoints either, they may have ended.
            if self.others_reach_endpoints() {
                if_cut(self)
            } else {
                evidence(self)
            }
            return;
        }
        let (apply, if_cut) = (Box::new(evidence), Box::new(if_cut));
        link.held.borrow_mut().push(HeldEvidence { kind, apply, if_cut });
        link.has_held.notify_one();
        self.record_link_failure(endpoint);
    }

    /// Makes a check of the link due if no endpoint answers while a request waits for this one; never returns
    ///
    /// A full endpoint may be silent for the `usual` time of an answer.
    pub async fn check_if_silent(&self, endpoint: &ListedEndpoint, usual: Duration) {
        let sent_at = Instant::now();
        sleep(SILENCE_LIMIT).await;
        while self.is_full(endpoint) {
            let silent_for = self.link.monitor.borrow().silence(sent_at, Instant::now());
            let left = usual.saturating_sub(silent_for);
            if left.is_zero() {
                break;
            }
            sleep(left).await;
        }
        let has_answer = self.link.monitor.borrow().has_answer(Instant::now());
        if !has_answer {
            self.link.monitor.borrow_mut().record_overdue();
            self.record_link_failure(endpoint);
        }
        std::future::pending().await
    }

    /// Whether an endpoint has as many requests as slots, as far as is known
    fn is_full(&self, endpoint: &ListedEndpoint) -> bool {
        let requests = self.load.borrow().total_at(&endpoint.id).requests;
        endpoint.slots > 0 && requests >= endpoint.slots
    }

    fn record_link_failure(&self, endpoint: &ListedEndpoint) {
        let now = Instant::now();
        let listed = self.endpoints.borrow().ready(now).count();
        if self.link.monitor.borrow_mut().record_failure(&endpoint.id, listed, now) {
            self.link.check_due.notify_one();
        }
    }

    fn release_evidence(&self, is_released: impl Fn(EvidenceKind) -> bool) {
        let held = self.link.held.take();
        let (released, kept): (Vec<_>, Vec<_>) =
            held.into_iter().partition(|it| is_released(it.kind));
        self.link.held.borrow_mut().extend(kept);
        for evidence in released {
            (evidence.apply)(self);
        }
    }

    /// Endpoints to check: of different pools, and those first that have not failed
    fn checked_endpoints(&self) -> Vec<ListedEndpoint> {
        let mut endpoints =
            self.endpoints.borrow().ready(Instant::now()).cloned().collect::<Vec<_>>();
        endpoints.shuffle(&mut rand::rng());
        let mut pools = IndexMap::<_, usize>::new();
        let mut ranked = endpoints
            .into_iter()
            .map(|it| {
                let rank = pools.entry(it.pool.clone()).or_default();
                *rank += 1;
                (*rank, it)
            })
            .collect::<Vec<_>>();
        ranked.sort_by_key(|it| it.0);
        ranked.into_iter().map(|it| it.1).take(CHECKED_ENDPOINTS).collect()
    }

    /// Checks some endpoints at once
    async fn check_link(self: &Rc<Gateway>) -> Vec<CheckResult> {
        let checks = self.checked_endpoints().into_iter().map(|it| {
            let gateway = self.clone();
            tokio::task::spawn_local(async move { gateway.check_endpoint(&it).await })
        });
        let mut results = Vec::new();
        for check in checks.collect::<Vec<_>>() {
            results.push(check.await.unwrap_or(CheckResult::Silent));
            if results.contains(&CheckResult::Answered) {
                break;
            }
        }
        results
    }

    /// Asks an endpoint for its health; any answer shows that it can be reached
    async fn check_endpoint(&self, endpoint: &ListedEndpoint) -> CheckResult {
        match self.ask_health(endpoint).await {
            Ok(_) => CheckResult::Answered,
            Err(CheckResult::Silent) => {
                self.link.monitor.borrow().silent_result(self.is_full(endpoint))
            }
            Err(result) => result,
        }
    }

    /// Asks an endpoint for its health
    ///
    /// # Errors
    /// Why there is no answer.
    pub async fn ask_health(&self, endpoint: &ListedEndpoint) -> Result<StatusCode, CheckResult> {
        let path = {
            let config = self.config.borrow();
            let pool = config.as_ref().and_then(|it| it.pools.get(&endpoint.pool));
            pool.map_or_else(|| "/".to_owned(), |it| it.health_path.to_string())
        };
        let mut request = Request::new(Full::new(Bytes::new()));
        let Ok(uri) = path.parse() else { return Err(CheckResult::Silent) };
        *request.uri_mut() = uri;
        *request.headers_mut() = call_headers(endpoint);
        let share = self.connection_share(&endpoint.pool);
        let exchange = async {
            let mut connection =
                self.connections.acquire(endpoint, None, ConnectionReuse::Never, share).await?;
            connection.exchange(request).await
        };
        match timeout(CHECK_TIMEOUT, exchange).await {
            Ok(Ok(response)) => Ok(response.status()),
            Ok(Err(ExchangeError::ConnectTimedOut)) | Err(_) => Err(CheckResult::Silent),
            Ok(Err(_)) => Err(CheckResult::Refused),
        }
    }
}

/// Checks the link when a check is due, and while it is cut, for the life of the process
pub async fn watch_link(gateway: Rc<Gateway>) {
    let link = &gateway.link;
    loop {
        let is_held = async {
            link.has_held.notified().await;
            sleep(HOLD_TIME).await;
        };
        tokio::select! {
            () = link.check_due.notified() => {}
            () = is_held => {}
        }
        if link.held.borrow().is_empty() && link.state() == LinkState::Sound {
            continue;
        }
        let results = gateway.check_link().await;
        let state = link.monitor.borrow_mut().decide(&results, Instant::now());
        if state == LinkState::Cut {
            let others_reach = gateway.others_reach_endpoints();
            let has_relays = gateway.has_relays();
            log::warn!("event=endpoints_cut results={results:?} relays={has_relays}");
            gateway.metrics.endpoints_cut.set(1);
            if others_reach {
                for evidence in link.held.take() {
                    (evidence.if_cut)(&gateway);
                }
            }
        }
        gateway.release_evidence(|_| true);
        link.settled.notify_waiters();
        if state == LinkState::Cut {
            wait_for_endpoints(&gateway).await;
        }
    }
}

/// Checks endpoints until one answers
async fn wait_for_endpoints(gateway: &Rc<Gateway>) {
    let cut_at = Instant::now();
    loop {
        sleep(CHECK_PAUSE).await;
        if gateway.link.is_cut() {
            let results = gateway.check_link().await;
            gateway.link.monitor.borrow_mut().decide(&results, Instant::now());
        }
        if !gateway.link.is_cut() {
            log::info!("event=endpoints_regained after_ms={}", cut_at.elapsed().as_millis());
            gateway.metrics.endpoints_cut.set(0);
            gateway.health.borrow_mut().clear_pauses();
            gateway.link.settled.notify_waiters();
            return;
        }
    }
}
