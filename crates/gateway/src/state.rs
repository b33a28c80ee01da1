//! State shared by all tasks of an instance.
//!
//! All tasks run on one thread, so `Cell` and `RefCell` suffice. No borrow is held
//! across an `await`.

use crate::checked_incarnations::CheckedIncarnations;
use crate::connections::{EndpointConnections, connection_share};
use crate::coverage::TopicCoverage;
use crate::duties::DutyState;
use crate::link_evidence::{EndpointLink, EvidenceKind, ReportedLink};
use crate::memory::MemoryBudget;
use crate::messages::{EndpointUpdate, FactRepair, PromptRead, ServingUpdate};
use crate::metrics::GatewayMetrics;
use crate::origin_queries::OriginQueries;
use crate::packed_config::{ConfigAnnouncement, PackedConfig, StoredConfig};
use crate::part_tests::PartSuspects;
use crate::scaling_state::ScalingState;
use crate::stop::StopState;
use crate::store_backoff::StoreBackoff;
use crate::usage::state::UsageState;
use catalogue::id::{EndpointId, InstanceId, PoolName};
use decide::fingerprint::Fingerprint;
use decide::serving::cache::PromptCaches;
use decide::serving::config_age::BootTime;
use decide::serving::config_age::ConfigConfirmation;
use decide::serving::connection_reuse::ReuseMonitor;
use decide::serving::crash_table::{CrashTable, FactDigest};
use decide::serving::customer_share::CustomerShares;
use decide::serving::customers::CustomerTable;
use decide::serving::deadline::DeadlinePeak;
use decide::serving::endpoint_list::IncarnationStart;
use decide::serving::endpoint_list::{EndpointList, ListedEndpoint};
use decide::serving::health::{EndpointHealth, SendResult};
use decide::serving::hedge::HedgeHistory;
use decide::serving::leader::InstanceTable;
use decide::serving::load::FleetLoad;
use decide::serving::notice::EndpointNotices;
use decide::serving::pick::EnginePick;
use decide::serving::prompt::PromptPrefix;
use decide::serving::rate_limit::EndpointLimits;
use decide::serving::retry_window::RetryWindow;
use decide::serving::route::{ConfigVersion, RouteName, ServingConfig};
use decide::serving::silence::SilentRequests;
use decide::serving::store_era::{EraTracker, StoreEra, TopicPosition};
use decide::serving::stream_origins::{ListedVersions, StreamOrigins};
use decide::serving::timing::{PoolTiming, StageSample};
use indexmap::{IndexMap, IndexSet};
use lru::LruCache;
use platform_adapter::settings::InstanceSettings;
use platform_adapter::store::{ENDPOINT_TOPIC, OPERATOR_TOPIC, StoreClient};
use std::cell::{Cell, RefCell};
use std::num::NonZeroUsize;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::sync::{Notify, watch};

/// Maximum number of completed requests to remember; about 20 s of the users' load.
const MAX_COMPLETED_REQUESTS: NonZeroUsize = NonZeroUsize::new(4096).expect("not zero");
/// Longest time after the start for which an instance that can't read the list of instances or the suspected requests,
/// or hears from no other, isn't ready.
const MAX_JOIN_WAIT: Duration = Duration::from_secs(1);

/// Shared state of an instance
pub struct Gateway {
    /// Settings, fixed for the life of the process
    pub settings: InstanceSettings,
    /// Start of the process
    pub started_at: Instant,
    /// Client of the platform's store
    pub store: StoreClient,
    /// Configuration in force; `None` until it is read
    pub config: RefCell<Option<Rc<ServingConfig>>>,
    /// Time of the last successful read of the configuration
    pub config_read_at: Cell<Option<Instant>>,
    /// Demand of customers by pool, and their shares in an overload; empty without customers
    pub customer_shares: RefCell<IndexMap<PoolName, CustomerShares>>,
    /// Customers of the configuration that was in force before, of which others may know
    pub previous_customers: RefCell<Option<(ConfigVersion, Rc<CustomerTable>)>>,
    /// When the configuration in force is known to have been the newest
    pub config_confirmation: RefCell<ConfigConfirmation>,
    /// Whether this instance has to read the configuration itself
    pub config_coverage: TopicCoverage,
    /// Failed reads of the configuration, until this instance or one that reads for it succeeds
    pub config_backoff: RefCell<StoreBackoff>,
    /// Endpoints listed in the store
    pub endpoints: RefCell<EndpointList>,
    /// Failed reads of the endpoints, until this instance or one that reads for it succeeds
    pub endpoints_backoff: RefCell<StoreBackoff>,
    /// Time of the last successful read of the endpoints
    pub endpoints_read_at: Cell<Option<Instant>>,
    /// Time at which the endpoint list was known to be current, by a read or another instance's update, also counting
    /// the time for which the machine is suspended
    pub endpoints_known_at: Cell<Option<BootTime>>,
    /// Whether this instance has to read the endpoints itself
    pub endpoints_coverage: TopicCoverage,
    /// Endpoint records read last, to be sent to other instances
    pub endpoint_update: RefCell<Option<EndpointUpdate>>,
    /// Configuration read last, to be sent to other instances
    pub config_update: RefCell<Option<StoredConfig>>,
    /// Configuration that this instance transfers to others
    pub packed_config: RefCell<Option<PackedConfig>>,
    /// Newest configuration that another instance has announced
    pub announced_config: Cell<Option<ConfigAnnouncement>>,
    /// Era of the store
    pub store_era: RefCell<EraTracker>,
    /// Sends each era in which the store has come back from a copy
    pub era_changes: watch::Sender<StoreEra>,
    /// Position of the next read of the configuration, see `positions`
    pub config_read_to: Cell<Option<TopicPosition>>,
    /// Position of the next read of the endpoints, see `positions`
    pub endpoints_read_to: Cell<Option<TopicPosition>>,
    /// Notified when a store update is ready to be sent
    pub update_ready: Notify,
    /// Health of the endpoints, including pauses after failures
    pub health: RefCell<EndpointHealth>,
    /// Notices received from endpoints
    pub notices: RefCell<EndpointNotices>,
    /// Limits that endpoints have named
    pub limits: RefCell<EndpointLimits>,
    /// Work in flight at the endpoints, of all instances
    pub load: RefCell<FleetLoad>,
    /// Known contents of the engines' prompt caches
    pub caches: RefCell<PromptCaches>,
    /// Learned times of the engines by pool
    pub timings: RefCell<IndexMap<PoolName, PoolTiming>>,
    /// Requests that ran at endpoints that crashed
    pub crashes: RefCell<CrashTable>,
    /// Prompt parts of requests that ran at engines that crashed
    pub part_suspects: Rc<PartSuspects>,
    /// Notified when what is known of crashing requests or parts has changed
    pub suspects_changed: Notify,
    /// Whether what the store holds of them has been read
    pub has_read_suspects: Cell<bool>,
    /// Suspected requests that it held; those that were sound before all instances ended are among them
    pub restored_suspects: RefCell<IndexSet<Fingerprint>>,
    /// Software versions that streams began at
    pub stream_origins: RefCell<StreamOrigins>,
    /// Software versions that were listed
    pub listed_versions: RefCell<ListedVersions>,
    /// Listed incarnations that have ended: what answers at their addresses may have another version
    pub ended_incarnations: RefCell<IndexMap<EndpointId, IncarnationStart>>,
    /// Incarnations that engines have stated while the list was out of date
    pub checked_incarnations: CheckedIncarnations,
    /// Questions to other instances for what streams began at
    pub origin_queries: OriginQueries,
    /// Requests that have completed lately
    pub completed: RefCell<LruCache<Fingerprint, ()>>,
    /// Requests whose end at their endpoint was not seen
    pub silent_requests: RefCell<SilentRequests>,
    /// Whether this instance has known all that another one knew of such requests and of leaving endpoints
    pub has_joined: Cell<bool>,
    /// Update to be sent to the other instances with the next message
    pub pending_update: RefCell<ServingUpdate>,
    /// Recent requests and retries by pool
    pub retry_windows: RefCell<IndexMap<PoolName, RetryWindow>>,
    /// Recent requests and hedges by pool, where the configuration allows hedges
    pub hedges: RefCell<IndexMap<PoolName, HedgeHistory>>,
    /// Largest recent time left of requests by route, to detect clients' retries
    pub deadline_peaks: RefCell<IndexMap<RouteName, DeadlinePeak>>,
    pub connections: EndpointConnections,
    /// Whether streams that may run only once are sent on kept connections
    pub reuse_monitor: RefCell<ReuseMonitor>,
    /// Whether this instance reaches the endpoints
    pub link: EndpointLink<Gateway>,
    /// Duties that one instance at a time fulfils
    pub duties: DutyState,
    /// Usage by customer; `None` if the settings have no usage duty
    pub usage: Option<UsageState>,
    /// Demand for engines whose number this instance decides
    pub scaling: ScalingState,
    /// Other instances
    pub instances: Rc<RefCell<InstanceTable>>,
    /// Notified when the list of instances is to be read at once
    pub list_read_due: Notify,
    /// What other instances say of their links
    pub reported_links: RefCell<IndexMap<InstanceId, ReportedLink>>,
    /// Memory held for slow clients and endpoints
    pub memory: MemoryBudget,
    pub metrics: GatewayMetrics,
    /// Progress of a planned stop
    pub stop: StopState,
    /// Number of requests whose answer is incomplete
    pub open_requests: Cell<usize>,
    /// Number of open client connections
    pub open_connections: Cell<usize>,
}

impl Gateway {
    /// State of a starting instance, without configuration and endpoints
    pub fn new(settings: InstanceSettings) -> Gateway {
        let metrics = GatewayMetrics::default();
        Gateway {
            started_at: Instant::now(),
            store: StoreClient::new(settings.store_address),
            duties: DutyState::new(&settings, metrics.duties.clone()),
            usage: UsageState::new(&settings, metrics.usage.clone()),
            memory: MemoryBudget::new(settings.memory_bytes),
            settings,
            config: RefCell::default(),
            config_read_at: Cell::default(),
            customer_shares: RefCell::default(),
            previous_customers: RefCell::default(),
            config_confirmation: RefCell::default(),
            config_backoff: StoreBackoff::new(OPERATOR_TOPIC).into(),
            endpoints: RefCell::default(),
            endpoints_backoff: StoreBackoff::new(ENDPOINT_TOPIC).into(),
            endpoints_read_at: Cell::default(),
            endpoints_known_at: Cell::default(),
            config_coverage: TopicCoverage::default(),
            endpoints_coverage: TopicCoverage::default(),
            endpoint_update: RefCell::default(),
            config_update: RefCell::default(),
            packed_config: RefCell::default(),
            announced_config: Cell::default(),
            store_era: RefCell::default(),
            era_changes: watch::Sender::default(),
            config_read_to: Cell::default(),
            endpoints_read_to: Cell::default(),
            update_ready: Notify::new(),
            health: RefCell::default(),
            notices: RefCell::default(),
            limits: RefCell::default(),
            load: RefCell::default(),
            caches: RefCell::default(),
            timings: RefCell::default(),
            crashes: RefCell::default(),
            part_suspects: Rc::default(),
            suspects_changed: Notify::new(),
            has_read_suspects: Cell::default(),
            restored_suspects: RefCell::default(),
            stream_origins: RefCell::default(),
            listed_versions: RefCell::default(),
            ended_incarnations: RefCell::default(),
            checked_incarnations: CheckedIncarnations::default(),
            origin_queries: OriginQueries::default(),
            completed: RefCell::new(LruCache::new(MAX_COMPLETED_REQUESTS)),
            silent_requests: RefCell::default(),
            has_joined: Cell::default(),
            pending_update: RefCell::default(),
            retry_windows: RefCell::default(),
            hedges: RefCell::default(),
            deadline_peaks: RefCell::default(),
            connections: EndpointConnections::default(),
            reuse_monitor: RefCell::default(),
            link: EndpointLink::default(),
            scaling: ScalingState::default(),
            instances: Rc::default(),
            list_read_due: Notify::new(),
            reported_links: RefCell::default(),
            metrics,
            stop: StopState::default(),
            open_requests: Cell::default(),
            open_connections: Cell::default(),
        }
    }

    /// Whether requests can be served: configuration and endpoints have been read, and the suspected requests, the
    /// others' facts and their number, by which limits are shared, are known, unless that takes too long
    pub fn is_ready(&self) -> bool {
        let is_read = self.config.borrow().is_some() && self.endpoints_read_at.get().is_some();
        let has_joined = match self.load.borrow().listed_instances() {
            None => false,
            Some(1) => true,
            Some(_) => self.has_joined.get(),
        };
        let is_informed = has_joined && self.has_read_suspects.get();
        is_read && (is_informed || self.started_at.elapsed() > MAX_JOIN_WAIT)
    }

    /// Maximum number of connections of this instance to one endpoint of a pool
    pub fn connection_share(&self, pool: &PoolName) -> usize {
        let config = self.config.borrow();
        let max_connections =
            config.as_ref().and_then(|it| it.pools.get(pool)).map(|it| it.max_connections);
        max_connections.map_or(1, |it| connection_share(it, self.load.borrow().max_instances()))
    }

    /// Whether a stream to a pool that may run only once may be sent on a kept connection
    pub fn may_reuse_connection(&self, pool: &PoolName) -> bool {
        let share = self.connection_share(pool);
        self.reuse_monitor.borrow().may_reuse(pool, share, Instant::now())
    }

    /// Ages and versions of the inputs to an endpoint choice, formatted for the log
    pub fn choice_inputs(&self) -> String {
        let load_age = self.load.borrow().age(Instant::now()).as_millis();
        let endpoints = self.endpoints_position().map_or(0, |it| it.offset);
        let config = self.config.borrow().as_ref().map_or(0, |it| it.version);
        format!("load_age_ms={load_age} endpoints_offset={endpoints} config={config}")
    }

    /// Records the result of a send
    pub fn record_result(&self, endpoint: &ListedEndpoint, result: SendResult) {
        let change = self.health.borrow_mut().record_result(endpoint, result, Instant::now());
        if change.is_paused {
            log::info!("event=endpoint_paused endpoint={} result={result:?}", endpoint.id);
        }
        if let Some(update) = change.update {
            if change.has_changed {
                log::info!(
                    "event=endpoint_health endpoint={} found={update:?} source=own",
                    endpoint.id
                );
            }
            let health = vec![(endpoint.id.clone(), update)];
            let tell = move |gateway: &Gateway| {
                let update = ServingUpdate { health, ..Default::default() };
                gateway.pending_update.borrow_mut().extend(update);
            };
            match result {
                SendResult::Unreachable => {
                    self.hold_evidence(endpoint, EvidenceKind::Connect, tell);
                }
                SendResult::Broken => self.hold_evidence(endpoint, EvidenceKind::Broken, tell),
                _ => tell(self),
            }
        }
    }

    /// Records that an engine has read a prompt, and the time that this shows
    pub fn record_prompt_read(
        &self,
        engine: &ListedEndpoint,
        prefixes: Vec<PromptPrefix>,
        sample: Option<StageSample>,
    ) {
        let started_at_ms = engine.started_at_ms;
        let read = PromptRead { engine: engine.id.clone(), started_at_ms, prefixes, sample };
        self.apply_prompt_read(engine, &read);
        let update = ServingUpdate { reads: vec![read], ..Default::default() };
        self.pending_update.borrow_mut().extend(update);
    }

    /// Digest of the facts that all instances should know
    pub fn fact_digest(&self) -> FactDigest {
        let parts = self.part_suspects.table.borrow().digest();
        let requests = self.crashes.borrow().digest();
        requests.wrapping_add(parts).wrapping_add(self.notices.borrow().report_digest())
    }

    /// Adds the facts of another instance
    pub fn apply_repair(&self, repair: &FactRepair) {
        let now = Instant::now();
        for fact in &repair.crashes {
            self.apply_crash_fact(fact, "repair", now);
        }
        for fact in &repair.part_crashes {
            self.apply_part_fact(fact, "repair", now);
        }
        self.apply_leaving(&repair.leaving);
    }

    /// Records endpoints that other instances have reported as leaving
    fn apply_leaving(&self, leaving: &[(EndpointId, IncarnationStart)]) {
        for (endpoint, started_at_ms) in leaving {
            if self.notices.borrow_mut().record_report(endpoint, *started_at_ms) {
                log::info!("event=endpoint_leaves endpoint={endpoint} source=peer");
            }
        }
    }

    /// Applies an update from another instance
    pub fn apply_update(&self, update: &ServingUpdate) {
        let now = Instant::now();
        for fact in &update.crashes {
            self.apply_crash_fact(fact, "peer", now);
        }
        for fact in &update.part_crashes {
            self.apply_part_fact(fact, "peer", now);
        }
        for (endpoint, health_update) in &update.health {
            if self.health.borrow_mut().apply_update(endpoint, *health_update, now) {
                log::info!(
                    "event=endpoint_health endpoint={endpoint} found={health_update:?} source=told"
                );
            }
        }
        self.apply_streams(&update.streams);
        self.apply_leaving(&update.leaving);
        self.apply_limits(&update.limits, now);
        let list = self.endpoints.borrow();
        for read in &update.reads {
            let engine = list.get(&read.engine);
            if let Some(engine) = engine.filter(|it| it.started_at_ms == read.started_at_ms) {
                self.apply_prompt_read(engine, read);
            }
        }
    }

    /// Records how long a generation with a short output held a slot of an engine
    pub fn record_hold(&self, pool: &PoolName, took: Duration) {
        self.timings.borrow_mut().entry(pool.clone()).or_default().record_hold(took);
    }

    /// Records how long the send of a pick took until its first event or the end of its prompt
    pub fn record_wait(&self, pool: &PoolName, pick: &EnginePick, took: Duration) {
        let mut timings = self.timings.borrow_mut();
        let timing = timings.entry(pool.clone()).or_default();
        timing.record_wait(pick.own_ms, pick.wait_ms, took);
    }

    /// Records a pause between two events of a stream
    pub fn record_pause(&self, pool: &PoolName, took: Duration) {
        self.timings.borrow_mut().entry(pool.clone()).or_default().record_pause(took);
    }

    fn apply_prompt_read(&self, engine: &ListedEndpoint, read: &PromptRead) {
        if let Some(sample) = read.sample {
            let mut timings = self.timings.borrow_mut();
            let timing = timings.entry(engine.pool.clone()).or_default();
            timing.record(&engine.id, sample, Instant::now());
        }
        let config = self.config.borrow();
        let pool = config.as_ref().and_then(|it| it.pools.get(&engine.pool));
        if let Some(capacity) = pool.and_then(|it| it.engine) {
            self.caches.borrow_mut().record_prompt(engine, &read.prefixes, capacity.cache_tokens);
        }
    }

    /// Records a request in the retry window of a pool
    pub fn record_request(&self, pool: &PoolName, now: Instant) {
        let mut windows = self.retry_windows.borrow_mut();
        let window = windows.entry(pool.clone()).or_default();
        window.record_request(&self.settings.retry_limits, now);
        self.scaling.record_asked(pool);
    }

    /// Whether a request with this time left is a client's retry after a refusal
    pub fn has_waited(&self, route: &RouteName, time_left: Duration, now: Instant) -> bool {
        let mut peaks = self.deadline_peaks.borrow_mut();
        peaks.entry(route.clone()).or_default().has_waited(time_left, now)
    }

    fn slack_share(&self, now: Instant) -> f64 {
        let limits = &self.settings.retry_limits;
        // At the first start of all instances, there are no earlier retries that it could have forgotten.
        let uptime = match self.settings.is_first_start {
            true => limits.window,
            false => now.saturating_duration_since(self.started_at),
        };
        limits.slack_share(self.load.borrow().listed_instances(), uptime)
    }

    /// Whether the retry limits allow a retry to a pool now
    pub fn has_retry(&self, pool: &PoolName, now: Instant) -> bool {
        let slack = self.slack_share(now);
        let mut windows = self.retry_windows.borrow_mut();
        let window = windows.entry(pool.clone()).or_default();
        window.has_retry(&self.settings.retry_limits, slack, now)
    }

    /// Whether the retry limits of a pool leave more than its retries need
    pub fn has_spare_retries(&self, pool: &PoolName, now: Instant) -> bool {
        let slack = self.slack_share(now);
        let mut windows = self.retry_windows.borrow_mut();
        let window = windows.entry(pool.clone()).or_default();
        window.has_spare(&self.settings.retry_limits, slack, now)
    }

    /// Records a retry to a pool if one is allowed; `false` otherwise
    pub fn try_take_retry(&self, pool: &PoolName, now: Instant) -> bool {
        let slack = self.slack_share(now);
        let mut windows = self.retry_windows.borrow_mut();
        let window = windows.entry(pool.clone()).or_default();
        let is_allowed = window.try_take(&self.settings.retry_limits, slack, now);
        if !is_allowed {
            self.metrics.budget_empty.inc();
        }
        is_allowed
    }
}

/// Counts a request as open until dropped
pub struct RequestGuard {
    gateway: Rc<Gateway>,
}

impl RequestGuard {
    /// Counts one more open request
    pub fn new(gateway: Rc<Gateway>) -> RequestGuard {
        gateway.open_requests.set(gateway.open_requests.get() + 1);
        RequestGuard { gateway }
    }
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.gateway.open_requests.set(self.gateway.open_requests.get() - 1);
    }
}

/// Counts a request in an endpoint's load until dropped
pub struct WorkGuard {
    gateway: Rc<Gateway>,
    /// `None` if the work is another instance's
    endpoint: Option<EndpointId>,
    unread_tokens: u64,
    counted_at: Instant,
}

impl WorkGuard {
    /// Counts a request that is about to be sent
    pub fn new(gateway: Rc<Gateway>, endpoint: EndpointId, unread_tokens: u64) -> WorkGuard {
        gateway.load.borrow_mut().record_sent(&endpoint, unread_tokens);
        WorkGuard { gateway, endpoint: Some(endpoint), unread_tokens, counted_at: Instant::now() }
    }

    /// Guard of a request that another instance counts
    pub fn uncounted(gateway: Rc<Gateway>) -> WorkGuard {
        WorkGuard { gateway, endpoint: None, unread_tokens: 0, counted_at: Instant::now() }
    }

    /// Removes the prompt's tokens from the load once the endpoint has read them
    pub fn record_prompt_read(&mut self) {
        let tokens = std::mem::take(&mut self.unread_tokens);
        if let Some(endpoint) = &self.endpoint {
            self.gateway.load.borrow_mut().record_read(endpoint, tokens);
            self.gateway.record_read_time(endpoint, tokens, self.counted_at.elapsed());
        }
    }
}

impl Drop for WorkGuard {
    fn drop(&mut self) {
        self.record_prompt_read();
        if let Some(endpoint) = &self.endpoint {
            self.gateway.load.borrow_mut().record_ended(endpoint);
        }
    }
}
