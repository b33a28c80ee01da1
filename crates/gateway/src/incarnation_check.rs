//! Checks that engines are the listed incarnations while the endpoint list may be out of date.
//!
//! An engine may come back under its id with another version of its software. While this
//! instance doesn't learn of changes of the list, a stream may begin or go on only at an engine
//! that has stated the listed start of its incarnation. A stream that has begun at any other
//! engine is not resumed.

use crate::boot_clock::boot_time;
use crate::connections::ConnectionReuse;
use crate::state::Gateway;
use bytes::Bytes;
use decide::serving::endpoint_list::{IncarnationStart, ListedEndpoint};
use http::Request;
use http_body_util::{BodyExt, Full, Limited};
use platform_adapter::engine::{REPORT_PATH, call_headers, decode_report_start};
use std::time::Duration;
use tokio::time::timeout;

/// Time to wait for an engine's report; a first event waits for it, so it is a fraction of the objectives.
const REPORT_TIMEOUT: Duration = Duration::from_millis(100);
/// Largest report that is read.
const MAX_REPORT_BYTES: usize = 256 * 1024;
/// Age of the endpoint list up to which it shows all incarnations, as a fraction of the time in which a change must
/// be in force.
const MAX_LIST_AGE_FRACTION: f64 = 0.5;

/// Result of a check of an engine's incarnation
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum IncarnationCheck {
    Listed,
    /// It states another one, or none
    Unlisted,
    /// It has not answered in time
    Silent,
}

impl Gateway {
    /// Whether the endpoint list is recent enough to show all incarnations
    pub fn is_list_current(&self) -> bool {
        let max_age = self.settings.drain_bound.mul_f64(MAX_LIST_AGE_FRACTION);
        self.endpoints_age().is_some_and(|it| it <= max_age)
    }

    /// Time since the endpoint list was known to be current; `None` if it never was
    pub fn endpoints_age(&self) -> Option<Duration> {
        self.endpoints_known_at.get().map(|it| boot_time().saturating_sub(it))
    }

    /// Checks whether an engine is the listed incarnation; asks it if the list may be out of date
    pub async fn check_incarnation(&self, engine: &ListedEndpoint) -> IncarnationCheck {
        if self.is_list_current() || self.checked_incarnations.is_checked(engine, boot_time()) {
            return IncarnationCheck::Listed;
        }
        let asked_at = boot_time();
        let stated = timeout(REPORT_TIMEOUT, self.ask_incarnation(engine)).await;
        let check = match stated {
            Ok(Some(start)) if start == engine.started_at_ms => IncarnationCheck::Listed,
            Ok(_) => IncarnationCheck::Unlisted,
            Err(_) => IncarnationCheck::Silent,
        };
        log::info!(
            "event=incarnation_checked endpoint={} listed={} stated={stated:?} check={check:?} took_ms={}",
            engine.id,
            engine.started_at_ms,
            (boot_time() - asked_at).as_millis(),
        );
        if check == IncarnationCheck::Listed {
            self.checked_incarnations.record(engine, asked_at);
        }
        check
    }

    /// Start of the incarnation that an engine states; `None` if it doesn't answer or states none
    async fn ask_incarnation(&self, engine: &ListedEndpoint) -> Option<IncarnationStart> {
        let mut request = Request::new(Full::new(Bytes::new()));
        *request.uri_mut() = REPORT_PATH.parse().ok()?;
        *request.headers_mut() = call_headers(engine);
        let share = self.connection_share(&engine.pool);
        let mut connection =
            self.connections.acquire(engine, None, ConnectionReuse::Any, share).await.ok()?;
        let answer = connection.exchange(request).await.ok()?;
        if !answer.status().is_success() {
            return None;
        }
        let body = Limited::new(answer.into_body(), MAX_REPORT_BYTES).collect().await.ok()?;
        decode_report_start(&body.to_bytes())
    }
}
