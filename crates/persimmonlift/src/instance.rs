//! Life cycle of an instance: start, drain, stop.
//!
//! Each instance has its own runtime, so several can run in one process and a test can
//! stop one of them abruptly, as a crash would.

use crate::admin;
use crate::answer::AnswerResponse;
use crate::callers;
use crate::context::{HELD_UNIT_BYTES, InstanceContext, PoolAdmissions};
use crate::metrics::ServingMetrics;
use crate::peer_links::PeerLinks;
use crate::peers;
use crate::planner::{PlannerContext, RolePlanner};
use crate::registry::{EndpointRegistry, RegistryActor, RegistryConfig, RegistryMessage};
use crate::server::{AnswerFn, HttpServer, ServerLimits};
use crate::settings::{InstanceSecrets, InstanceSettings};
use crate::status::ServingStatus;
use crate::status_reports::StatusReports;
use crate::stop::FINAL_ANSWER_TIME;
use crate::suspects::SuspectRegister;
use catalogue::id::InstanceId;
use coordination::catalogue::CatalogueHandle;
use coordination::once::OnceHandle;
use coordination::shared::{LogTiming, SharedLog};
use http::Request;
use platform::engine::EngineClient;
use platform::framing::MeteredBody;
use platform::instances::InstanceClient;
use platform::log::LogClient;
use platform::service::ServiceClient;
use platform::weights::WeightClient;
use ractor::{Actor, ActorRef};
use std::convert::Infallible;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::net::TcpListener;
use tokio::runtime::{Builder, Runtime};
use tokio::sync::{Mutex, Semaphore};
use tokio::task::JoinHandle;

/// Interval at which contact with the log is recorded and gauges are sent.
const MAINTENANCE_INTERVAL: Duration = Duration::from_millis(100);
/// Interval at which a drain checks for requests without a connection.
const DRAIN_POLL: Duration = Duration::from_millis(10);

/// Failure to start an instance
#[derive(Debug)]
#[derive(displaydoc::Display)]
pub enum StartError {
    /// can't create the runtime: {0}
    Runtime(io::Error),
    /// can't listen on {0}: {1}
    Listen(SocketAddr, io::Error),
    /// can't open the metrics socket: {0}
    Metrics(io::Error),
    /// can't start an actor: {0}
    Actor(ractor::SpawnErr),
    /// start was aborted: {0}
    Broken(tokio::task::JoinError),
}

impl std::error::Error for StartError {}

/// An entry instance
#[derive(Debug)]
pub struct ServingInstance;

/// Result of a drain
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DrainReport {
    /// Requests still in flight at the end of the drain bound, which got a final answer
    pub cut: u32,
    /// Duration of the drain
    pub took: Duration,
}

/// Running instance
#[derive(Debug)]
pub struct InstanceHandle {
    inner: Arc<InstanceInner>,
    runtime: Option<Runtime>,
}

#[derive(Debug)]
struct InstanceInner {
    context: Arc<InstanceContext>,
    servers: Mutex<InstanceServers>,
    registry: ActorRef<RegistryMessage>,
    caller: SocketAddr,
    admin: SocketAddr,
    peer: SocketAddr,
}

#[derive(Debug)]
struct InstanceServers {
    caller: HttpServer,
    admin: HttpServer,
    peer: JoinHandle<()>,
}

#[derive(Debug)]
struct InstanceListeners {
    caller: TcpListener,
    admin: TcpListener,
    peer: TcpListener,
}

impl ServingInstance {
    /// Starts an instance
    ///
    /// # Errors
    /// `StartError`; nothing keeps running in that case.
    pub async fn start(
        settings: InstanceSettings,
        secrets: InstanceSecrets,
    ) -> Result<InstanceHandle, StartError> {
        let runtime = runtime(settings.limits.worker_threads).map_err(StartError::Runtime)?;
        let started = runtime.spawn(start_inner(settings, secrets)).await;
        match started.map_err(StartError::Broken).and_then(|it| it) {
            Ok(inner) => Ok(InstanceHandle { inner: Arc::new(inner), runtime: Some(runtime) }),
            Err(error) => {
                runtime.shutdown_background();
                Err(error)
            }
        }
    }
}

impl InstanceHandle {
    pub fn id(&self) -> &InstanceId {
        &self.inner.context.settings.instance.id
    }

    /// Address of the callers' port
    pub fn caller_address(&self) -> SocketAddr {
        self.inner.caller
    }

    /// Address of the operators' port
    pub fn admin_address(&self) -> SocketAddr {
        self.inner.admin
    }

    /// Address of the port for other instances
    pub fn peer_address(&self) -> SocketAddr {
        self.inner.peer
    }

    /// Shared state of the instance
    pub fn context(&self) -> &Arc<InstanceContext> {
        &self.inner.context
    }

    /// Stops gracefully, as on SIGTERM
    ///
    /// The instance first turns unready, so that callers use others. After the drain
    /// pause it accepts no more connections and waits up to the drain bound for requests
    /// in flight.
    pub async fn drain(&self) -> DrainReport {
        let inner = self.inner.clone();
        let Some(runtime) = &self.runtime else {
            return DrainReport { cut: 0, took: Duration::ZERO };
        };
        let fallback = DrainReport { cut: inner.context.status.in_flight(), took: Duration::ZERO };
        runtime.spawn(async move { inner.drain().await }).await.unwrap_or(fallback)
    }

    /// Gives final answers to all requests at once; returns how many there were
    pub async fn end_requests(&self) -> u32 {
        let status = &self.inner.context.status;
        let cut = status.in_flight();
        status.final_answers.begin();
        tokio::time::sleep(FINAL_ANSWER_TIME).await;
        cut
    }

    /// Stops abruptly, as a crash would
    pub fn kill(self) {
        drop(self);
    }
}

impl Drop for InstanceHandle {
    fn drop(&mut self) {
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
        }
    }
}

impl InstanceInner {
    async fn drain(&self) -> DrainReport {
        let started = Instant::now();
        let context = &self.context;
        let timeouts = &context.settings.timeouts;
        if context.status.set_draining() {
            log::info!("event=drain in_flight={}", context.status.in_flight());
            tokio::time::sleep(timeouts.drain_pause()).await;
        }
        let bound = timeouts.drain_bound();
        let mut servers = self.servers.lock().await;
        let drained_by = Instant::now() + bound;
        let mut cut = 0;
        {
            let mut ended = pin!(async {
                servers.caller.drain(bound).await;
                while context.status.in_flight() > 0 && Instant::now() < drained_by {
                    tokio::time::sleep(DRAIN_POLL).await;
                }
            });
            let answer_time = bound.saturating_sub(FINAL_ANSWER_TIME);
            if tokio::time::timeout(answer_time, &mut ended).await.is_err() {
                cut = context.status.in_flight();
                context.status.final_answers.begin();
                ended.await;
            }
        }
        context.planner.release().await;
        servers.admin.abort();
        servers.peer.abort();
        context.peers.members().stop();
        self.registry.stop(None);
        let report = DrainReport { cut, took: started.elapsed() };
        log::info!("event=drained cut={cut} took_ms={}", report.took.as_millis());
        report
    }
}

fn runtime(workers: usize) -> io::Result<Runtime> {
    Builder::new_multi_thread().worker_threads(workers).enable_all().build()
}

async fn start_inner(
    settings: InstanceSettings,
    secrets: InstanceSecrets,
) -> Result<InstanceInner, StartError> {
    let listeners = listen(&settings).await?;
    let peer = address(&listeners.peer, settings.listen.peer)?;
    let links = PeerLinks::start(&settings, &secrets, peer).await.map_err(StartError::Actor)?;
    let context = Arc::new(start_context(settings, secrets, links).await?);
    let registry = start_registry(&context).await?;
    tokio::spawn(maintain(context.clone()));
    let servers = start_servers(&context, listeners)?;
    let (caller, admin) = (servers.caller.address(), servers.admin.address());
    log::info!(
        "event=started instance={} zone={} caller={caller} admin={admin} peer={peer}",
        context.settings.instance.id,
        context.settings.instance.zone
    );
    Ok(InstanceInner { context, servers: Mutex::new(servers), registry, caller, admin, peer })
}

async fn listen(settings: &InstanceSettings) -> Result<InstanceListeners, StartError> {
    Ok(InstanceListeners {
        caller: bind(settings.listen.caller).await?,
        admin: bind(settings.listen.admin).await?,
        peer: bind(settings.listen.peer).await?,
    })
}

async fn bind(address: SocketAddr) -> Result<TcpListener, StartError> {
    TcpListener::bind(address).await.map_err(|it| StartError::Listen(address, it))
}

fn address(listener: &TcpListener, wanted: SocketAddr) -> Result<SocketAddr, StartError> {
    listener.local_addr().map_err(|it| StartError::Listen(wanted, it))
}

async fn start_context(
    settings: InstanceSettings,
    secrets: InstanceSecrets,
    links: PeerLinks,
) -> Result<InstanceContext, StartError> {
    let limits = settings.limits.clone();
    let timeouts = &settings.timeouts;
    let log = LogClient::over_http(settings.platform.log, timeouts.platform());
    let timing = LogTiming { retention: timeouts.log_retention(), ..LogTiming::default() };
    let shared =
        SharedLog::new(log, settings.instance.id.clone(), timing).with_relay(links.relay());
    let catalogue = CatalogueHandle::start(shared.clone()).await.map_err(StartError::Actor)?;
    let metrics = ServingMetrics::start(settings.metrics.statsd).map_err(StartError::Metrics)?;
    let registry = Arc::<EndpointRegistry>::default();
    let engines = EngineClient::new();
    let planner_context = PlannerContext {
        settings: settings.planner.clone(),
        shared: shared.clone(),
        catalogue: catalogue.clone(),
        registry: registry.clone(),
        peers: links.client(),
        engines: engines.clone(),
        weights: WeightClient::new(settings.platform.weights, timeouts.platform()),
    };
    let planner = RolePlanner::start(planner_context).await.map_err(StartError::Actor)?;
    let reports = StatusReports::default();
    let reporter = planner.clone();
    reports.add("control", Box::new(move || reporter.status()));
    Ok(InstanceContext {
        secrets,
        registry,
        planner,
        catalogue,
        once: OnceHandle::new(shared, links.home_route()),
        engines,
        fresh_engines: EngineClient::without_reuse(),
        services: ServiceClient::new(limits.max_answer_bytes),
        once_services: ServiceClient::without_reuse(limits.max_answer_bytes),
        meters: Default::default(),
        grants: Default::default(),
        peers: links,
        suspects: Arc::new(SuspectRegister::default()),
        metrics,
        status: ServingStatus::new(timeouts.isolation()),
        body_budget: Arc::new(Semaphore::new(limits.max_held_bytes / HELD_UNIT_BYTES)),
        request_slots: Arc::new(Semaphore::new(limits.max_in_flight)),
        admissions: PoolAdmissions::new(limits.queue_length),
        reports,
        settings,
    })
}

async fn start_registry(
    context: &InstanceContext,
) -> Result<ActorRef<RegistryMessage>, StartError> {
    let settings = &context.settings;
    let timeout = settings.timeouts.platform();
    let config = RegistryConfig {
        registry: context.registry.clone(),
        instances: InstanceClient::new(settings.platform.instances, timeout),
        engines: EngineClient::new(),
        list_interval: settings.timeouts.list(),
        report_interval: settings.timeouts.report(),
        timeout,
    };
    let spawned = Actor::spawn(None, RegistryActor, config).await;
    spawned.map(|(actor, _)| actor).map_err(StartError::Actor)
}

fn start_servers(
    context: &Arc<InstanceContext>,
    listeners: InstanceListeners,
) -> Result<InstanceServers, StartError> {
    let settings = &context.settings;
    let server_limits = ServerLimits {
        max_connections: settings.limits.max_connections,
        head_timeout: settings.timeouts.head(),
        write_stall: settings.timeouts.write_stall(),
    };
    let caller = HttpServer::start(
        listeners.caller,
        server_limits.clone(),
        answer_fn(context, callers::answer),
    )
    .map_err(|it| StartError::Listen(settings.listen.caller, it))?;
    let admin =
        HttpServer::start(listeners.admin, server_limits, answer_fn(context, admin::answer))
            .map_err(|it| StartError::Listen(settings.listen.admin, it))?;
    let peer = peers::start(context, listeners.peer);
    Ok(InstanceServers { caller, admin, peer })
}

fn answer_fn<F>(
    context: &Arc<InstanceContext>,
    answer: impl Fn(Arc<InstanceContext>, Request<MeteredBody>) -> F + Send + Sync + 'static,
) -> Arc<AnswerFn>
where
    F: Future<Output = Result<AnswerResponse, Infallible>> + Send + 'static,
{
    let context = context.clone();
    Arc::new(move |request| Box::pin(answer(context.clone(), request)))
}

/// Updates the serving status and sends gauges until the runtime stops
async fn maintain(context: Arc<InstanceContext>) {
    let mut interval = tokio::time::interval(MAINTENANCE_INTERVAL);
    interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        interval.tick().await;
        let status = context.catalogue.status();
        if let Some(contact) = status.last_contact {
            context.status.note_contact(contact.into_std());
        }
        if status.is_caught_up && context.planner.is_caught_up(&context.registry) {
            context.status.set_started();
        }
        context.metrics.gauge("in_flight", u64::from(context.status.in_flight()));
        for (pool, admission) in context.admissions.all() {
            let name = smol_str::format_smolstr!("queue.{pool}");
            context.metrics.gauge(&name, admission.queued() as u64);
        }
    }
}
