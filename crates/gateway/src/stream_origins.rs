//! Finds the software version at which a stream that a client takes up may go on.
//!
//! Each instance knows the origins of the streams that it relays, and those that others
//! have told it. One that lacks an origin, since it has just started or lost a message,
//! asks a few others, which also answer what their endpoint lists tell. A stream whose
//! origin stays unknown is refused: at a wrong version it would be worthless.

use crate::messages::{BegunStreams, ServingUpdate};
use crate::serving_call::Refusal;
use crate::state::Gateway;
use catalogue::id::PoolName;
use decide::serving::endpoint_list::ListedEndpoint;
use decide::serving::route::RouteConfig;
use decide::serving::stream_origins::{StreamKey, StreamOrigin, VersionView, stream_key};
use platform_adapter::answer::GatewayAnswer;
use platform_adapter::head::RequestHead;
use std::time::{Duration, Instant};
use tokio::time::timeout_at;

/// Number of instances that are asked at once for an origin.
pub const ASKED_INSTANCES: usize = 3;
/// Time to wait for their answers, and number of times that some are asked.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(60);
const QUERY_ROUNDS: usize = 2;
/// Longest time since a stream began, in multiples of the route's timeout; clients take streams up once or twice.
const STREAM_AGE_TIMEOUTS: u32 = 2;

impl Gateway {
    /// Records that a stream has begun at an endpoint, and tells the others with the next message
    pub fn record_stream(&self, request_id: &str, endpoint: &ListedEndpoint) {
        let (stream, origin) = (stream_key(request_id), StreamOrigin::of(endpoint));
        self.stream_origins.borrow_mut().record(stream, &origin);
        let streams = vec![BegunStreams { origin, streams: vec![stream] }];
        self.pending_update.borrow_mut().extend(ServingUpdate { streams, ..Default::default() });
    }

    /// Whether the software version at an endpoint's address may differ from the listed one, since that incarnation has
    /// ended
    pub fn has_unknown_version(&self, endpoint: &ListedEndpoint) -> bool {
        self.ended_incarnations.borrow().get(&endpoint.id) == Some(&endpoint.started_at_ms)
    }

    /// Withdraws what was not yet told of a stream that has ended
    pub fn forget_stream(&self, request_id: &str) {
        let stream = stream_key(request_id);
        self.pending_update.borrow_mut().remove_stream(stream);
    }

    /// Adds origins that another instance has told
    pub fn apply_streams(&self, begun: &[BegunStreams]) {
        let mut origins = self.stream_origins.borrow_mut();
        for BegunStreams { origin, streams } in begun {
            for stream in streams {
                origins.record(*stream, origin);
            }
        }
    }

    /// Records which software versions are listed now
    pub fn record_listed_versions(&self) {
        let now = Instant::now();
        let list = self.endpoints.borrow();
        self.listed_versions.borrow_mut().record(list.listed(now), now);
    }

    /// What the endpoint list tells of the software versions at which streams of a pool may have begun
    pub fn version_view(&self, pool: &PoolName) -> VersionView {
        if !self.is_list_current() {
            return VersionView::Unsure;
        }
        self.record_listed_versions();
        let from = Instant::now().checked_sub(self.longest_stream(pool));
        self.listed_versions.borrow().view(pool, from, self.settings.is_first_start)
    }

    fn longest_stream(&self, pool: &PoolName) -> Duration {
        let config = self.config.borrow();
        let routes = config.iter().flat_map(|it| &it.routes);
        let own = routes.filter(|it| it.targets.iter().any(|target| target.pool == *pool));
        own.map(|it| it.timeout).max().unwrap_or_default() * STREAM_AGE_TIMEOUTS
    }

    /// Records another instance's answer to a question for an origin
    pub fn apply_origin_answer(
        &self,
        stream: StreamKey,
        origin: Option<StreamOrigin>,
        view: VersionView,
    ) {
        if let Some(origin) = origin {
            self.stream_origins.borrow_mut().record(stream, &origin);
        } else if let Some(query) = self.origin_queries.open.borrow_mut().get_mut(&stream) {
            query.views.push(view);
        }
        self.origin_queries.answered.notify_waiters();
    }

    /// Asks other instances for the origin of a stream; without it, returns what their lists tell
    async fn ask_origin(
        &self,
        stream: StreamKey,
        pool: &PoolName,
    ) -> Result<StreamOrigin, Vec<VersionView>> {
        let queries = &self.origin_queries;
        let mut answer = Err(Vec::new());
        'rounds: for _ in 0..QUERY_ROUNDS {
            queries.ask(stream, pool);
            let until = tokio::time::Instant::now() + ANSWER_TIMEOUT;
            loop {
                let answered = queries.answered.notified();
                let origin = self.stream_origins.borrow().get(stream).cloned();
                answer = origin.ok_or_else(|| queries.views(stream));
                if answer.as_ref().map_or_else(|it| it.len() >= ASKED_INSTANCES, |_| true) {
                    break 'rounds;
                }
                if timeout_at(until, answered).await.is_err() {
                    break;
                }
            }
        }
        queries.open.borrow_mut().swap_remove(&stream);
        answer
    }

    /// Origin of a stream on a route, and how it was found; `None` if it isn't certain
    pub async fn stream_origin(
        &self,
        route: &RouteConfig,
        stream: Option<StreamKey>,
    ) -> Option<(StreamOrigin, &'static str)> {
        let pool = &route.targets[0].pool;
        let known = stream.and_then(|it| self.stream_origins.borrow().get(it).cloned());
        let views = match (known, stream) {
            (Some(origin), _) => return Some((origin, "own")),
            (None, Some(stream)) => match self.ask_origin(stream, pool).await {
                Ok(origin) => return Some((origin, "peer")),
                Err(views) => views,
            },
            (None, None) => Vec::new(),
        };
        // A stream of a split route may have begun in another pool.
        let is_certain = route.targets.len() == 1
            && !stream.is_some_and(|it| self.stream_origins.borrow().is_ambiguous(it));
        let views = views.into_iter().chain([self.version_view(pool)]);
        let version = VersionView::agree(views).filter(|_| is_certain)?;
        Some((StreamOrigin { pool: pool.clone(), version }, "list"))
    }

    /// Origin of the stream that a request takes up
    ///
    /// # Errors
    /// The refusal, if it isn't known or the route doesn't lead there any more.
    pub async fn find_origin(
        &self,
        route: &RouteConfig,
        head: &RequestHead,
    ) -> Result<StreamOrigin, Refusal> {
        let pool = &route.targets[0].pool;
        let stream = head.begun_by.as_deref().map(stream_key);
        let found = self.stream_origin(route, stream).await;
        let begun_by = head.begun_by.as_deref().unwrap_or("none");
        let Some((origin, source)) = found else {
            log::info!("event=stream_unknown id={} begun_by={begun_by} pool={pool}", head.id);
            return Err(Refusal::new(GatewayAnswer::NotRun, "stream_unknown"));
        };
        log::info!(
            "event=stream_taken_up id={} begun_by={begun_by} after={} pool={} version={} source={source}",
            head.id,
            head.last_event.as_deref().unwrap_or("none"),
            origin.pool,
            origin.version,
        );
        if !route.targets.iter().any(|it| it.pool == origin.pool) {
            return Err(Refusal::new(GatewayAnswer::NotRun, "stream_of_other_pool"));
        }
        Ok(origin)
    }
}
