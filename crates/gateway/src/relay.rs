//! Relays requests through another instance while this one reaches no endpoint.
//!
//! The other instance receives the whole request on the port of the instances, with the
//! caller's address, and serves it as its own: it picks the endpoint, retries and takes
//! retries from its budget. It declines if it is cut itself, is starting or stopping, and
//! never relays further. Its answer is marked, since an older build answers every request
//! on that port with its configuration.

use crate::attempt::{OpenAnswer, time_left};
use crate::connections::{ConnectionReuse, EndpointConnection, ExchangeError};
use crate::link_evidence::ReportedLink;
use crate::serving_call::ServingCall;
use crate::state::{Gateway, WorkGuard};
use crate::stop::StopStage;
use bytes::Bytes;
use catalogue::id::{CustomerName, InstanceId};
use decide::serving::endpoint_list::ListedEndpoint;
use decide::serving::leader::PeerInstance;
use decide::serving::send_history::{RunStatus, SendHistory};
use http::header::{HeaderName, HeaderValue};
use http::{HeaderMap, Request, Response};
use http_body_util::Full;
use platform::framing::MeteredBody;
use platform_adapter::answer::decode_answer;
use platform_adapter::head::{TakenUp, relayed_headers};
use rand::seq::SliceRandom;
use smol_str::SmolStr;
use std::net::IpAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::time::timeout_at;

/// Start of the names of the headers by which instances describe a relayed request.
const RELAYED_PREFIX: &str = "x-relayed-";
/// Instance that relays the request.
const RELAYED_BY: HeaderName = HeaderName::from_static("x-relayed-by");
/// Address of the caller.
const RELAYED_FOR: HeaderName = HeaderName::from_static("x-relayed-for");
/// Address and customer of the caller instead of only its address. A build that doesn't know customers
/// declines such a request, since it finds no address.
const RELAYED_FOR_CUSTOMER: HeaderName = HeaderName::from_static("x-relayed-for-customer");
/// Number of endpoints that the request was sent to before.
const RELAYED_SENDS: HeaderName = HeaderName::from_static("x-relayed-sends");
/// Present if the instance that relays the request, or another one before it, has counted it as usage.
const RELAYED_COUNTED: HeaderName = HeaderName::from_static("x-relayed-counted");
/// Marks the answer: whether the instance has served the request or declines it.
const RELAY_RESULT: HeaderName = HeaderName::from_static("x-relay-result");
const SERVED: HeaderValue = HeaderValue::from_static("served");
const DECLINED: HeaderValue = HeaderValue::from_static("declined");

/// Maximum number of instances that are tried for one request.
const MAX_TRIED_INSTANCES: usize = 3;
/// Age of an instance's last message up to which it tells whether that instance reaches the endpoints.
const MAX_MESSAGE_AGE: Duration = Duration::from_secs(1);
/// Maximum number of connections to one instance.
const MAX_CONNECTIONS: usize = 200;

/// Where a request comes from
#[derive(Debug, Clone)]
pub enum RequestSource {
    /// From a client with this address
    Client(IpAddr),
    /// From another instance, which its client has called
    Instance {
        instance: InstanceId,
        /// Address of the client
        caller: IpAddr,
        /// Number of endpoints that it was sent to before
        sends: u32,
        /// Customer that the instance has found; `None` if the request belongs to none there
        customer: Option<CustomerName>,
        /// Whether the request is counted as usage
        is_counted: bool,
    },
}

impl RequestSource {
    /// Address of the client
    pub fn caller(&self) -> IpAddr {
        match self {
            RequestSource::Client(caller) | RequestSource::Instance { caller, .. } => *caller,
        }
    }

    /// Whether another instance has counted the request as usage
    pub fn is_counted(&self) -> bool {
        matches!(self, RequestSource::Instance { is_counted: true, .. })
    }

    /// Instance that relays the request; `None` if it comes from the client
    pub fn relay(&self) -> Option<&InstanceId> {
        match self {
            RequestSource::Client(_) => None,
            RequestSource::Instance { instance, .. } => Some(instance),
        }
    }
}

/// Takes the headers of a relayed request off; `None` if it isn't one or they are malformed or contradictory
pub fn take_source(headers: &mut HeaderMap) -> Option<RequestSource> {
    let mut take = |name: HeaderName| {
        let value = headers.remove(name)?;
        std::str::from_utf8(value.as_bytes()).ok().map(SmolStr::new)
    };
    let (instance, caller, sends) = (take(RELAYED_BY), take(RELAYED_FOR), take(RELAYED_SENDS));
    let is_counted = take(RELAYED_COUNTED).is_some();
    let (caller, customer) = match (caller, take(RELAYED_FOR_CUSTOMER)) {
        (None, Some(both)) => {
            let (caller, customer) = both.split_once(' ')?;
            (SmolStr::new(caller), Some(CustomerName::new(customer)))
        }
        (Some(caller), None) => (caller, None),
        (Some(_), Some(_)) | (None, None) => return None,
    };
    let caller = caller.parse().ok()?;
    let sends = sends?.parse().ok()?;
    Some(RequestSource::Instance { instance: instance?, caller, sends, customer, is_counted })
}

/// Extension of a response that declines a relayed request, which another instance may be able to serve
#[derive(Debug, Clone, Copy)]
pub struct DeclinedRelay;

/// Marks the answer to a relayed request
pub fn mark<B>(mut response: Response<B>, is_served: bool) -> Response<B> {
    let result = if is_served { SERVED } else { DECLINED };
    response.headers_mut().insert(RELAY_RESULT, result);
    response
}

/// Result of a relay through one instance
enum RelayTry {
    Answered(Box<OpenAnswer>),
    /// The instance has not run the request
    NotRun(&'static str),
    MayHaveRun(&'static str),
    /// Usually the instance closed the reused connection before the request arrived
    Stale,
}

impl Gateway {
    /// Whether there are instances through which requests may be relayed
    pub fn has_relays(&self) -> bool {
        !self.relays().is_empty()
    }

    /// Whether other instances may reach the endpoints, also those that take no requests over
    pub fn others_reach_endpoints(&self) -> bool {
        !self.instances_with(|it| it.reaches_endpoints).is_empty()
    }

    /// Whether this instance takes over requests of instances that reach no endpoint
    pub fn takes_requests(&self) -> bool {
        self.is_ready() && !self.stop.has_reached(StopStage::Unready)
    }

    /// Instances that may serve requests of this one, those first that say so
    fn relays(&self) -> Vec<(InstanceId, PeerInstance)> {
        self.instances_with(|it| it.reaches_endpoints && it.takes_requests)
    }

    /// Instances whose reported link fits, then those of a larger group that are not heard
    fn instances_with(
        &self,
        fits: impl Fn(&ReportedLink) -> bool,
    ) -> Vec<(InstanceId, PeerInstance)> {
        let table = self.instances.borrow();
        let links = self.reported_links.borrow();
        let now = Instant::now();
        let is_full_mesh = table.is_full_mesh(now);
        let is_recent = |it: &&ReportedLink| it.at.elapsed() < MAX_MESSAGE_AGE;
        let mut relays = table
            .present(now)
            .filter_map(|(id, instance)| {
                let link = links.get(id).filter(is_recent);
                // Only the leader of the zone is heard in a larger group.
                let rank = match link {
                    Some(link) if fits(link) => 0,
                    None if !is_full_mesh => 1,
                    _ => return None,
                };
                Some((rank, id.clone(), instance.clone()))
            })
            .collect::<Vec<_>>();
        relays.shuffle(&mut rand::rng());
        if is_full_mesh {
            relays.sort_by_key(|it| it.0);
        }
        relays.into_iter().map(|(_, id, instance)| (id, instance)).collect()
    }

    /// Records what another instance says of its link
    pub fn record_reported_link(&self, instance: &InstanceId, link: ReportedLink) {
        self.reported_links.borrow_mut().insert(instance.clone(), link);
    }
}

/// Sends a request through another instance; `None` if none has answered, after which the history tells whether
/// it may have run
pub async fn send(
    gateway: &Rc<Gateway>,
    call: &ServingCall,
    history: &mut SendHistory,
    taken_up: Option<TakenUp>,
) -> Option<(InstanceId, OpenAnswer)> {
    for (instance, peer) in gateway.relays().into_iter().take(MAX_TRIED_INSTANCES) {
        if !call.may_send_after(gateway, history) {
            return None;
        }
        let request = relay_request(gateway, call, history.sends, taken_up.as_ref())?;
        let result = send_through(gateway, call, &peer, &instance, request).await;
        let outcome = match &result {
            RelayTry::Answered(_) => "answered",
            RelayTry::NotRun(outcome) | RelayTry::MayHaveRun(outcome) => *outcome,
            RelayTry::Stale => "stale",
        };
        log::info!("event=relayed id={} to={instance} outcome={outcome}", call.request.id);
        gateway.metrics.relayed("out", outcome);
        match result {
            RelayTry::Answered(answer) => return Some((instance, *answer)),
            RelayTry::NotRun(_) => {
                gateway.record_reported_link(&instance, ReportedLink::declined());
            }
            RelayTry::MayHaveRun(_) => {
                // An instance answers for a stream only once it has begun.
                if !call.route.is_stream {
                    call.usage.record_counted();
                }
                history.record_send(RunStatus::MayHaveRun);
            }
            // It has probably not been counted there.
            RelayTry::Stale => history.record_send(RunStatus::MayHaveRun),
        }
    }
    None
}

async fn send_through(
    gateway: &Rc<Gateway>,
    call: &ServingCall,
    peer: &PeerInstance,
    instance: &InstanceId,
    request: Request<Full<Bytes>>,
) -> RelayTry {
    let reuse = match call.route.retry_rule.allows_second_run() {
        true => ConnectionReuse::Any,
        false => ConnectionReuse::Never,
    };
    let target = connection_target(peer, instance);
    let deadline = call.answer_deadline(gateway);
    let acquired = gateway.connections.acquire_from(
        gateway.settings.ip,
        &target,
        Some(&call.request.id),
        reuse,
        MAX_CONNECTIONS,
    );
    let mut connection = match timeout_at(deadline, acquired).await {
        Ok(Ok(connection)) => connection,
        Ok(Err(_)) | Err(_) => return RelayTry::NotRun("unreachable"),
    };
    call.sent.record_send();
    match timeout_at(deadline, connection.exchange(request)).await {
        Ok(Ok(response)) => open_answer(gateway, call, connection, response),
        Ok(Err(ExchangeError::Unsent)) => RelayTry::NotRun("unsent"),
        Ok(Err(ExchangeError::Stale(_))) => RelayTry::Stale,
        Ok(Err(_)) => RelayTry::MayHaveRun("broken"),
        Err(_) => RelayTry::MayHaveRun("timed_out"),
    }
}

fn open_answer(
    gateway: &Rc<Gateway>,
    call: &ServingCall,
    connection: EndpointConnection,
    response: Response<MeteredBody>,
) -> RelayTry {
    let (mut parts, body) = response.into_parts();
    let head = decode_answer(&parts);
    // Not all answers have an id: an endpoint's may lack it, and so does that of an instance that declines.
    if head.request_id.as_ref().is_some_and(|it| *it != call.request.id) {
        return RelayTry::MayHaveRun("mismatched");
    }
    match parts.headers.remove(RELAY_RESULT) {
        Some(result) if result == SERVED => {}
        Some(_) => return RelayTry::NotRun("declined"),
        // A build that doesn't know relayed requests.
        None => return RelayTry::NotRun("not_relayed"),
    }
    let work_guard = WorkGuard::uncounted(gateway.clone());
    let headers = parts.headers;
    RelayTry::Answered(Box::new(OpenAnswer { head, headers, body, connection, work_guard }))
}

fn relay_request(
    gateway: &Gateway,
    call: &ServingCall,
    sends: u32,
    taken_up: Option<&TakenUp>,
) -> Option<Request<Full<Bytes>>> {
    let client = &call.request;
    let mut request = Request::new(Full::new(client.body.clone()));
    *request.method_mut() = client.parts.method.clone();
    *request.uri_mut() = client.parts.uri.path_and_query()?.as_str().parse().ok()?;
    let mut headers = relayed_headers(&client.parts.headers, time_left(call.deadline), taken_up);
    remove_forged(&mut headers);
    let relayed_for = match &call.customer {
        Some(customer) => (RELAYED_FOR_CUSTOMER, format!("{} {}", client.caller, customer.name)),
        None => (RELAYED_FOR, client.caller.to_string()),
    };
    for (name, value) in [
        (RELAYED_BY, gateway.settings.instance.to_string()),
        relayed_for,
        (RELAYED_SENDS, sends.to_string()),
    ] {
        headers.insert(name, HeaderValue::from_bytes(value.as_bytes()).ok()?);
    }
    if call.usage.is_counted() {
        headers.insert(RELAYED_COUNTED, HeaderValue::from_static("1"));
    }
    *request.headers_mut() = headers;
    Some(request)
}

/// Removes the headers of a relayed request that the client has sent itself
///
/// An older build that finds the client's address beside the customer would run the request without the customer.
fn remove_forged(headers: &mut HeaderMap) {
    let is_internal = |it: &&HeaderName| it.as_str().starts_with(RELAYED_PREFIX);
    for name in headers.keys().filter(is_internal).cloned().collect::<Vec<_>>() {
        headers.remove(name);
    }
}

/// Another instance as the target of a connection
fn connection_target(peer: &PeerInstance, instance: &InstanceId) -> ListedEndpoint {
    ListedEndpoint {
        id: instance.clone(),
        pool: SmolStr::default(),
        address: peer.address,
        zone: peer.zone.clone(),
        version: SmolStr::default(),
        slots: 0,
        is_ready: true,
        role: None,
        started_at_ms: 0,
        sequence: 0,
        is_preemptible: false,
        leaves_in: None,
    }
}
