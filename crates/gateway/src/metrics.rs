//! Prometheus metrics of an instance.

use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::Registry;
use smol_str::SmolStr;

/// Upper bounds of the latency buckets, in seconds.
const LATENCY_BUCKETS: [f64; 11] = [0.01, 0.03, 0.06, 0.1, 0.12, 0.2, 0.3, 0.5, 1.0, 2.0, 5.0];

type LabelSet = Vec<(&'static str, String)>;
type HistogramFamily = Family<LabelSet, Histogram, fn() -> Histogram>;

/// Registry and metrics of an instance
pub struct GatewayMetrics {
    registry: Registry,
    answers: Family<LabelSet, Counter>,
    sends: Family<LabelSet, Counter>,
    store_calls: Family<LabelSet, Counter>,
    store_bytes: Family<LabelSet, Counter>,
    relays: Family<LabelSet, Counter>,
    share_refusals: Family<LabelSet, Counter>,
    first_byte: HistogramFamily,
    whole: HistogramFamily,
    /// Connections opened to endpoints
    pub connections_opened: Counter,
    /// Retries that the retry limits did not allow
    pub budget_empty: Counter,
    /// Log lines dropped because the queue was full
    pub lines_dropped: Gauge,
    /// Endpoints that accept new requests
    pub endpoints_ready: Gauge,
    /// Version of the configuration in force
    pub config_version: Gauge,
    /// Endpoints that have named a limit on requests
    pub endpoints_limited: Gauge,
    /// Known instances, including this one
    pub instances: Gauge,
    /// 1 while no endpoint answers this instance
    pub endpoints_cut: Gauge,
    /// Era of the store
    pub store_era: Gauge,
    /// Returns of the store from a copy
    pub store_returns: Counter,
    /// Pools in which customers are held to their shares
    pub pools_sharing: Gauge,
    pub duties: DutyMetrics,
    pub usage: UsageMetrics,
}

/// Metrics of the duties
#[derive(Debug, Clone, Default)]
pub struct DutyMetrics {
    /// 1 while this instance holds the lease
    pub held: Gauge,
    /// Highest fencing token that this instance has heard of
    pub fence: Gauge,
    changes: Family<LabelSet, Counter>,
}

impl DutyMetrics {
    fn register(&self, registry: &mut Registry) {
        let held = self.held.clone();
        registry.register("duty_held", "Whether this instance holds the lease of the duties", held);
        let fence = self.fence.clone();
        registry.register("duty_fence", "Highest fencing token of the duties", fence);
        let changes = self.changes.clone();
        registry.register("duty_changes", "Changes of the lease of the duties", changes);
    }

    /// Counts a change of the lease
    pub fn changed(&self, change: String) {
        self.changes.get_or_create(&vec![("change", change)]).inc();
    }
}

/// Metrics of usage reports
#[derive(Debug, Clone, Default)]
pub struct UsageMetrics {
    /// Requests that are in no report, since their window was fixed or there was no room
    pub dropped: Gauge,
    reports: Family<LabelSet, Counter>,
}

impl UsageMetrics {
    fn register(&self, registry: &mut Registry) {
        let dropped = self.dropped.clone();
        registry.register("usage_dropped", "Requests in no usage report", dropped);
        let reports = self.reports.clone();
        registry.register("usage_reports", "Calls that report usage", reports);
    }

    /// Counts a call that reports usage
    pub fn reported(&self, outcome: &'static str) {
        self.reports.get_or_create(&vec![("outcome", outcome.into())]).inc();
    }
}

impl Default for GatewayMetrics {
    fn default() -> GatewayMetrics {
        let mut metrics = GatewayMetrics {
            registry: Registry::with_prefix("persimmonlift"),
            answers: Family::default(),
            sends: Family::default(),
            store_calls: Family::default(),
            store_bytes: Family::default(),
            relays: Family::default(),
            share_refusals: Family::default(),
            first_byte: Family::new_with_constructor(latency_histogram),
            whole: Family::new_with_constructor(latency_histogram),
            connections_opened: Counter::default(),
            budget_empty: Counter::default(),
            lines_dropped: Gauge::default(),
            endpoints_ready: Gauge::default(),
            config_version: Gauge::default(),
            endpoints_limited: Gauge::default(),
            instances: Gauge::default(),
            endpoints_cut: Gauge::default(),
            store_era: Gauge::default(),
            store_returns: Counter::default(),
            duties: DutyMetrics::default(),
            usage: UsageMetrics::default(),
            pools_sharing: Gauge::default(),
        };
        metrics.register();
        metrics
    }
}

impl GatewayMetrics {
    fn register(&mut self) {
        let registry = &mut self.registry;
        registry.register("answers", "Answers to clients", self.answers.clone());
        registry.register("sends", "Sends to endpoints", self.sends.clone());
        registry.register("store_calls", "Calls to the store", self.store_calls.clone());
        registry.register("store_bytes", "Bytes read from the store", self.store_bytes.clone());
        registry.register("first_byte_seconds", "Time to the first byte", self.first_byte.clone());
        registry.register("answer_seconds", "Time to the end of the answer", self.whole.clone());
        registry.register("relays", "Requests relayed between instances", self.relays.clone());
        self.duties.register(registry);
        self.usage.register(registry);
        let refusals = self.share_refusals.clone();
        registry.register("share_refusals", "Requests beyond their customer's share", refusals);
        let sharing = self.pools_sharing.clone();
        registry.register("pools_sharing", "Pools with shares of customers in force", sharing);
        let cut = self.endpoints_cut.clone();
        registry.register("endpoints_cut", "Whether no endpoint answers this instance", cut);
        let opened = self.connections_opened.clone();
        registry.register("connections_opened", "Connections opened to endpoints", opened);
        let empty = self.budget_empty.clone();
        registry.register("budget_empty", "Retries refused by the retry budget", empty);
        let dropped = self.lines_dropped.clone();
        registry.register("log_lines_dropped", "Log lines dropped", dropped);
        let ready = self.endpoints_ready.clone();
        registry.register("endpoints_ready", "Endpoints that accept new requests", ready);
        let limited = self.endpoints_limited.clone();
        registry.register("endpoints_limited", "Endpoints with a limit on requests", limited);
        let version = self.config_version.clone();
        registry.register("config_version", "Version of the configuration in force", version);
        registry.register("store_era", "Era of the store", self.store_era.clone());
        let returns = self.store_returns.clone();
        registry.register("store_returns", "Returns of the store from a copy", returns);
        registry.register(
            "instances",
            "Known instances, including this one",
            self.instances.clone(),
        );
    }

    /// Counts an answer to a client
    pub fn answered(&self, route: &SmolStr, outcome: &'static str) {
        let labels = vec![("route", route.to_string()), ("outcome", outcome.into())];
        self.answers.get_or_create(&labels).inc();
    }

    /// Counts a send to an endpoint
    pub fn sent(&self, pool: &SmolStr, outcome: &'static str) {
        let labels = vec![("pool", pool.to_string()), ("outcome", outcome.into())];
        self.sends.get_or_create(&labels).inc();
    }

    /// Counts a request relayed to another instance (`out`) or from one (`in`)
    pub fn relayed(&self, direction: &'static str, outcome: &'static str) {
        let labels = vec![("direction", direction.into()), ("outcome", outcome.into())];
        self.relays.get_or_create(&labels).inc();
    }

    /// Counts a request beyond its customer's share
    pub fn share_refused(&self, pool: &SmolStr) {
        self.share_refusals.get_or_create(&vec![("pool", pool.to_string())]).inc();
    }

    /// Counts a call to the store and the bytes that it received
    pub fn store_call(&self, call: &'static str, outcome: &'static str, bytes: usize) {
        let labels = vec![("call", call.into()), ("outcome", outcome.into())];
        self.store_calls.get_or_create(&labels).inc();
        self.store_bytes.get_or_create(&labels).inc_by(bytes as u64);
    }

    /// Records the time to the first byte of an answer
    pub fn first_byte(&self, route: &SmolStr, seconds: f64) {
        self.first_byte.get_or_create(&vec![("route", route.to_string())]).observe(seconds);
    }

    /// Records the time to the end of an answer
    pub fn whole_answer(&self, route: &SmolStr, seconds: f64) {
        self.whole.get_or_create(&vec![("route", route.to_string())]).observe(seconds);
    }

    /// Encodes all metrics in the Prometheus text format
    ///
    /// # Errors
    /// The formatting error.
    pub fn page(&self) -> Result<String, std::fmt::Error> {
        let mut text = String::new();
        encode(&mut text, &self.registry)?;
        Ok(text)
    }
}

fn latency_histogram() -> Histogram {
    Histogram::new(LATENCY_BUCKETS)
}
