//! Frees the caches of prompts at the engines that read them.

use crate::attempt::SendError;
use crate::connections::ConnectionReuse;
use crate::state::Gateway;
use bytes::Bytes;
use decide::serving::endpoint_list::ListedEndpoint;
use http::{Method, Request};
use http_body_util::Full;
use platform_adapter::engine::{cache_path, call_headers};
use std::time::Duration;
use tokio::time::timeout;

/// Timeout of calls that are not made for a client.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// Frees the cache of a prompt that no engine is going to fetch
///
/// # Errors
/// `SendError`; the engine then frees the cache after its own timeout. Nothing is sent to an engine that
/// accepts no requests.
pub(super) async fn free_cache(
    gateway: &Gateway,
    engine: &ListedEndpoint,
    source: &str,
) -> Result<(), SendError> {
    if !gateway.accepts(engine) {
        return Err(SendError::NotAccepted);
    }
    let path = cache_path(source).ok_or(SendError::Unusable)?;
    let mut request = Request::new(Full::new(Bytes::new()));
    *request.method_mut() = Method::DELETE;
    *request.uri_mut() = path.parse().map_err(|_| SendError::Unusable)?;
    *request.headers_mut() = call_headers(engine);
    let share = gateway.connection_share(&engine.pool);
    let mut connection = gateway
        .connections
        .acquire(engine, None, ConnectionReuse::Any, share)
        .await
        .map_err(SendError::Exchange)?;
    if !gateway.try_start_send(engine) {
        return Err(SendError::NotAccepted);
    }
    let answer = timeout(CALL_TIMEOUT, connection.exchange(request))
        .await
        .map_err(|_| SendError::TimedOut)?
        .map_err(SendError::Exchange)?;
    if answer.status().is_success() { Ok(()) } else { Err(SendError::Declined(answer.status())) }
}
