//! A single attempt to send a request to an endpoint.

use crate::connections::{ConnectionReuse, EndpointConnection, ExchangeError};
use crate::events::EventFault;
use crate::memory::MemoryShare;
use crate::state::{Gateway, WorkGuard};
use bytes::{Bytes, BytesMut};
use decide::serving::endpoint_list::ListedEndpoint;
use decide::serving::health::SendResult;
use decide::serving::send_history::RunStatus;
use http::request::Parts;
use http::{HeaderMap, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use platform::framing::{MeteredBody, is_excessive};
use platform_adapter::answer::{AnswerHead, decode_answer, promises_not_run};
use platform_adapter::head::{SendParameters, endpoint_headers};
use smol_str::SmolStr;
use std::net::IpAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, timeout_at};

/// Largest answer that is buffered; answers of plain services are about a kilobyte.
const MAX_BUFFERED_BYTES: usize = 4 * 1024 * 1024;
/// Size up to which an answer is buffered whatever the others take.
const USUAL_BUFFERED_BYTES: usize = 64 * 1024;

/// Timeout of the rest of an answer that declines a request; it usually comes with the head.
const DECLINED_REST_TIMEOUT: Duration = Duration::from_millis(50);

/// Request received from a client
pub struct ClientRequest {
    /// Request line and headers
    pub parts: Parts,
    /// Body, fully read
    pub body: Bytes,
    /// Id of the client's attempt
    pub id: SmolStr,
    /// Address of the client
    pub caller: IpAddr,
    /// Memory that the body takes
    pub share: MemoryShare,
}

/// Error of a send to an endpoint
#[derive(Debug)]
#[derive(displaydoc::Display)]
pub enum SendError {
    /// {0}
    Exchange(ExchangeError),
    /// endpoint stated that it did not run the request ({0})
    Declined(StatusCode),
    /// answer belongs to another request or is not signed
    Mismatched,
    /// answer on a reused connection names no request, so that it may belong to an earlier one
    Unnamed,
    /// head of the answer follows a part of another one
    Joined,
    /// endpoint closed the connection before the end of the answer
    Truncated,
    /// answer has too many bytes beside its content
    Malformed,
    /// endpoint sent more than an answer may have
    Oversized,
    /// {0}
    BadEvents(EventFault),
    /// endpoint did not answer in time
    TimedOut,
    /// answer could not be read in time for lack of memory
    NoRoom,
    /// request or the endpoint's address is invalid
    Unusable,
    /// endpoint accepts no requests by its notices
    NotAccepted,
    /// request, or a part of its prompt, is suspected of crashing endpoints
    Suspected,
    /// engine did not read the prompt: {0}
    Prefill(Box<SendError>),
}

impl std::error::Error for SendError {}

impl SendError {
    /// Error of an answer whose body can't be read on
    pub fn of_body(error: &hyper::Error) -> SendError {
        if is_excessive(error) { SendError::Malformed } else { SendError::Truncated }
    }

    /// Result to record for the endpoint's health; `None` if the error says nothing about it
    pub fn result(&self) -> Option<SendResult> {
        match self {
            SendError::Declined(StatusCode::MISDIRECTED_REQUEST) => Some(SendResult::Misdirected),
            SendError::Declined(_)
            | SendError::Unusable
            | SendError::NotAccepted
            | SendError::Suspected => None,
            SendError::Unnamed | SendError::NoRoom => None,
            // A healthy endpoint may drop an idle connection at any time.
            SendError::Exchange(ExchangeError::Unsent | ExchangeError::Stale(_)) => None,
            SendError::Exchange(ExchangeError::Connect(_) | ExchangeError::ConnectTimedOut) => {
                Some(SendResult::Unreachable)
            }
            SendError::Exchange(
                ExchangeError::Broken(_)
                | ExchangeError::InterimOnly
                | ExchangeError::UnknownStatus(_),
            )
            | SendError::Truncated
            | SendError::Malformed
            | SendError::Oversized
            | SendError::BadEvents(_)
            | SendError::TimedOut => Some(SendResult::Broken),
            SendError::Mismatched | SendError::Joined => Some(SendResult::Failed),
            SendError::Prefill(error) => error.result(),
        }
    }

    /// Whether the endpoint closed the connection early, as a crashing endpoint does
    pub fn is_disconnect(&self) -> bool {
        match self {
            SendError::Exchange(ExchangeError::Broken(_) | ExchangeError::Stale(_))
            | SendError::Truncated => true,
            SendError::Prefill(error) => error.is_disconnect(),
            _ => false,
        }
    }

    /// Whether nothing accepts connections at the endpoint's address
    pub fn is_refused_connection(&self) -> bool {
        match self {
            SendError::Exchange(ExchangeError::Connect(error)) => {
                error.kind() == std::io::ErrorKind::ConnectionRefused
            }
            SendError::Prefill(error) => error.is_refused_connection(),
            _ => false,
        }
    }

    /// Whether the endpoint didn't answer in time
    pub fn is_timeout(&self) -> bool {
        match self {
            SendError::TimedOut => true,
            SendError::Prefill(error) => error.is_timeout(),
            _ => false,
        }
    }

    /// Whether the request was sent and the endpoint has not even begun to answer
    pub fn is_unanswered(&self) -> bool {
        matches!(
            self,
            SendError::Exchange(ExchangeError::Broken(_) | ExchangeError::Stale(_))
                | SendError::TimedOut
        )
    }

    /// Whether nothing was sent, since the endpoint accepts no requests or the request is suspected
    pub fn is_withheld(&self) -> bool {
        match self {
            SendError::NotAccepted | SendError::Suspected => true,
            SendError::Prefill(error) => error.is_withheld(),
            _ => false,
        }
    }

    /// Whether the endpoint declined the request for lack of capacity
    pub fn is_overload(&self) -> bool {
        match self {
            SendError::Declined(status) => {
                matches!(*status, StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS)
            }
            SendError::Prefill(error) => error.is_overload(),
            _ => false,
        }
    }

    /// Whether the request may have run at the endpoint
    pub fn run_status(&self) -> RunStatus {
        match self {
            // Prefill has no side effects: the request counts as not run.
            SendError::Declined(_)
            | SendError::Unusable
            | SendError::NotAccepted
            | SendError::Suspected
            | SendError::Prefill(_) => RunStatus::NotRun,
            SendError::Exchange(
                ExchangeError::Broken(_)
                | ExchangeError::Stale(_)
                | ExchangeError::InterimOnly
                | ExchangeError::UnknownStatus(_),
            )
            | SendError::Mismatched
            | SendError::Unnamed
            | SendError::Joined
            | SendError::Truncated
            | SendError::Malformed
            | SendError::Oversized
            | SendError::BadEvents(_)
            | SendError::NoRoom
            | SendError::TimedOut => RunStatus::MayHaveRun,
            SendError::Exchange(_) => RunStatus::NotRun,
        }
    }
}

/// Answer whose body has not been read
pub struct OpenAnswer {
    pub head: AnswerHead,
    /// Headers as received
    pub headers: HeaderMap,
    /// Unread body
    pub body: MeteredBody,
    /// Connection that the body is read from
    pub connection: EndpointConnection,
    /// Counts the request in the endpoint's load
    pub work_guard: WorkGuard,
}

/// Fully read answer
pub struct WholeAnswer {
    pub status: StatusCode,
    /// Headers as received
    pub headers: HeaderMap,
    /// Body, fully read
    pub body: Bytes,
    /// Memory that the body takes
    pub share: MemoryShare,
}

/// Destination of a send
pub struct SendTarget<'a> {
    /// Endpoint that receives the request
    pub endpoint: &'a ListedEndpoint,
    /// Counts the request in the endpoint's load until the answer is complete
    pub work_guard: WorkGuard,
    /// Connections that may carry it
    pub reuse: ConnectionReuse,
    /// Whether the answer must carry the endpoint's signature; answers to prefill calls do not
    pub expects_signature: bool,
    /// Starts the request once a connection is open; `false` if it must not be sent
    pub may_start: &'a dyn Fn() -> bool,
    /// Time until which to wait for a connection
    pub connect_by: Instant,
    /// Time that an answer usually takes at most
    pub usual: Duration,
    /// Time by which the client must have the answer
    pub deadline: Instant,
}

/// Sends a request and waits for the head of its answer until `given_up` ends
///
/// # Errors
/// `SendError`; `SendError::run_status` tells whether the request may have run.
pub async fn send(
    gateway: &Rc<Gateway>,
    target: SendTarget<'_>,
    request: &ClientRequest,
    parameters: &SendParameters,
    given_up: impl Future<Output = ()>,
) -> Result<OpenAnswer, SendError> {
    let SendTarget { endpoint, work_guard, reuse, expects_signature, may_start, .. } = target;
    let share = gateway.connection_share(&endpoint.pool);
    let acquired = gateway.connections.acquire(endpoint, Some(&request.id), reuse, share);
    let mut connection = match timeout_at(target.connect_by, acquired).await {
        Ok(connection) => connection.map_err(SendError::Exchange)?,
        Err(_) => return Err(SendError::Exchange(ExchangeError::ConnectTimedOut)),
    };
    // Other instances' crashes may have become known since the send was planned.
    if !may_start() {
        return Err(SendError::Suspected);
    }
    // The endpoint may have begun to leave since it was picked, or a notice have come in another answer.
    if !gateway.try_start_send(endpoint) {
        return Err(SendError::NotAccepted);
    }
    if !connection.is_reused {
        gateway.metrics.connections_opened.inc();
        gateway.record_alive(endpoint);
    }
    let outgoing = endpoint_request(request, parameters).ok_or(SendError::Unusable)?;
    let is_new_connection = !connection.is_reused;
    let response = tokio::select! {
        biased;
        response = connection.exchange(outgoing) => match response {
            Ok(response) => response,
            Err(error) => {
                if matches!(error, ExchangeError::Stale(_)) {
                    let now = std::time::Instant::now();
                    gateway.reuse_monitor.borrow_mut().record_stale(&endpoint.pool, now);
                }
                return Err(SendError::Exchange(error));
            }
        },
        () = given_up => return Err(SendError::TimedOut),
        () = gateway.check_if_silent(endpoint, target.usual) => return Err(SendError::TimedOut),
    };
    gateway.record_link_answer(is_new_connection);
    let (parts, body) = response.into_parts();
    let head = decode_answer(&parts);
    match &head.request_id {
        Some(id) if *id != request.id => return Err(SendError::Mismatched),
        // An endpoint that has not read the request's headers answers without an id. What comes so on a
        // reused connection may be a late second copy, also of a refusal, which then promises nothing.
        None if !is_new_connection => return Err(SendError::Unnamed),
        // The part belongs to an earlier answer, and with it perhaps the status.
        _ if head.is_joined && !is_new_connection => return Err(SendError::Joined),
        _ => {}
    }
    gateway.record_alive(endpoint);
    gateway.record_notices(endpoint, &head);
    connection.has_refused |= head.has_not_run || promises_not_run(head.status);
    if head.has_not_run {
        let status = head.status;
        // No other stream may use the connection. Closing it also ends the run if the refusal was false.
        if reuse == ConnectionReuse::Unrefused {
            return Err(SendError::Declined(status));
        }
        let answer = OpenAnswer { head, headers: parts.headers, body, connection, work_guard };
        // Reading the rest only serves to reuse the connection.
        let rest_deadline = target.deadline.min(Instant::now() + DECLINED_REST_TIMEOUT);
        if let Err(error) = read_whole(gateway, answer, rest_deadline).await {
            log::debug!("event=declined_answer_broken id={} error={error}", request.id);
        }
        return Err(SendError::Declined(status));
    }
    if expects_signature && !head.is_signed {
        return Err(SendError::Mismatched);
    }
    Ok(OpenAnswer { head, headers: parts.headers, body, connection, work_guard })
}

/// Reads the rest of an answer and returns its connection to the idle ones
///
/// # Errors
/// `Truncated`, `Malformed`, `Oversized`, `TimedOut` or `NoRoom`.
pub async fn read_whole(
    gateway: &Gateway,
    answer: OpenAnswer,
    deadline: Instant,
) -> Result<WholeAnswer, SendError> {
    let OpenAnswer { head, headers, body, connection, work_guard } = answer;
    let (body, share) = read_buffered(gateway, body, deadline).await?;
    drop(work_guard);
    if !head.closes_connection {
        gateway.connections.release(connection, head.idle_timeout);
    }
    Ok(WholeAnswer { status: head.status, headers, body, share })
}

/// Reads a body; one that is larger than usual waits while the buffers of all answers are full
async fn read_buffered(
    gateway: &Gateway,
    mut body: MeteredBody,
    deadline: Instant,
) -> Result<(Bytes, MemoryShare), SendError> {
    let mut received = BytesMut::new();
    let mut share = gateway.memory.answers.share();
    let mut has_waited = false;
    // An endpoint whose answer isn't read may be late or close the connection, and is not to blame.
    let failure = |error, has_waited| if has_waited { SendError::NoRoom } else { error };
    loop {
        if share.bytes() >= USUAL_BUFFERED_BYTES && !share.may_grow() {
            has_waited = true;
            let room = timeout_at(deadline, share.wait_room());
            room.await.map_err(|_| SendError::NoRoom)?;
        }
        let frame = timeout_at(deadline, body.frame());
        let frame = frame.await.map_err(|_| failure(SendError::TimedOut, has_waited))?;
        let Some(frame) = frame else { return Ok((received.freeze(), share)) };
        let frame = frame.map_err(|error| failure(SendError::of_body(&error), has_waited))?;
        let Ok(data) = frame.into_data() else { continue };
        share.grow(data.len());
        if share.bytes() > MAX_BUFFERED_BYTES {
            return Err(SendError::Oversized);
        }
        received.extend_from_slice(&data);
    }
}

fn endpoint_request(
    request: &ClientRequest,
    parameters: &SendParameters,
) -> Option<Request<Full<Bytes>>> {
    let path = request.parts.uri.path_and_query()?.as_str();
    let mut outgoing = Request::new(Full::new(request.body.clone()));
    *outgoing.method_mut() = request.parts.method.clone();
    *outgoing.uri_mut() = path.parse().ok()?;
    *outgoing.headers_mut() = endpoint_headers(&request.parts.headers, parameters);
    Some(outgoing)
}

/// Time until `deadline`, rounded down to milliseconds
pub fn time_left(deadline: Instant) -> Duration {
    let left = deadline.saturating_duration_since(Instant::now());
    Duration::from_millis(u64::try_from(left.as_millis()).unwrap_or(u64::MAX))
}
