//! Reverse proxy between clients and the endpoints of the users' platform.
//!
//! Each process is single-threaded. Two background tasks follow the configuration and
//! the endpoint list in the platform's store; instances send each other their work in
//! flight. A request goes through these steps: decode the head, match a route, choose
//! an endpoint, send (with retries), relay the answer. It never waits for the store.

pub mod attempt;
pub mod background;
pub mod body;
pub mod boot_clock;
pub mod checked_incarnations;
pub mod client_socket;
pub mod connections;
pub mod copy_race;
pub mod coverage;
pub mod crash_evidence;
pub mod crash_parts;
pub mod customer_keys;
pub mod customer_shares;
pub mod drain;
pub mod duties;
pub mod duty_messages;
pub mod duty_task;
pub mod endpoint_link;
pub mod engine_demand;
pub mod error;
pub mod events;
pub mod follow;
pub mod forward;
pub mod generation;
pub mod hedged_send;
pub mod hedges;
pub mod incarnation_check;
pub mod link_evidence;
pub mod listen;
pub mod log_writer;
pub mod memory;
pub mod messages;
pub mod metrics;
pub mod notices;
pub mod origin_queries;
pub mod packed_config;
pub mod part_tests;
pub mod peers;
pub mod positions;
pub mod ready;
pub mod relay;
pub mod request_body;
pub mod request_record;
pub mod scaling;
pub mod scaling_state;
pub mod serving_call;
pub mod state;
pub mod stop;
pub mod store_backoff;
pub mod stream_buffer;
pub mod stream_origins;
pub mod suspect_store;
pub mod take_over;
pub mod usage;

pub use error::GatewayError;

use background::BackgroundTasks;
use platform_adapter::settings::InstanceSettings;
use state::Gateway;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::runtime::Runtime;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::task::LocalSet;
use tokio::time::sleep;

/// Port of the metrics page; must match `deploy/system.toml`.
pub const METRICS_PORT: u16 = 9464;
/// Interval between expiry runs; well below the idle timeout of connections.
const EXPIRY_INTERVAL: Duration = Duration::from_secs(1);

/// Starts the runtime; a reload doesn't end the process from now on
///
/// # Errors
/// `GatewayError::Runtime`
pub fn start_runtime() -> Result<Runtime, GatewayError> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(GatewayError::Runtime)?;
    {
        let _context = runtime.enter();
        // The handler stays when the stream is dropped.
        drop(signal(SignalKind::hangup()).map_err(GatewayError::Runtime)?);
    }
    Ok(runtime)
}

/// Serves until SIGTERM; `dropped_lines` returns the number of dropped log lines
///
/// # Errors
/// `GatewayError` if an address can't be bound, or a background task ends.
pub fn run(
    runtime: &Runtime,
    settings: InstanceSettings,
    dropped_lines: impl Fn() -> usize + 'static,
) -> Result<(), GatewayError> {
    LocalSet::new().block_on(runtime, serve(settings, dropped_lines))
}

async fn serve(
    settings: InstanceSettings,
    dropped_lines: impl Fn() -> usize + 'static,
) -> Result<(), GatewayError> {
    let terminate = signal(SignalKind::terminate()).map_err(GatewayError::Runtime)?;
    let reload = signal(SignalKind::hangup()).map_err(GatewayError::Runtime)?;
    let clients = bind(settings.client_address).await?;
    let ready = bind(settings.ready_address).await?;
    let metrics = bind(SocketAddr::new(settings.ip, METRICS_PORT)).await?;
    log::info!("event=start instance={} zone={}", settings.instance, settings.zone);
    let gateway = Rc::new(Gateway::new(settings));
    let mut tasks = BackgroundTasks::default();
    tasks.spawn(ready::serve(gateway.clone(), ready));
    tasks.spawn(ready::serve_metrics(gateway.clone(), metrics, dropped_lines));
    tasks.spawn(follow::follow_config(gateway.clone()));
    tasks.spawn(follow::follow_endpoints(gateway.clone()));
    tasks.spawn(expire_entries(gateway.clone()));
    tasks.spawn(endpoint_link::watch_link(gateway.clone()));
    if gateway.settings.duties.as_ref().is_some_and(|it| it.has_scaling) {
        tasks.spawn(scaling::scale_pools(gateway.clone()));
    }
    peers::start(gateway.clone(), &mut tasks).await?;
    tasks.spawn(listen::accept(gateway.clone(), clients, listen::start_connection));
    run_tasks(&gateway, tasks, terminate, reload).await
}

/// Runs background tasks until a planned stop, or until one of them ends
///
/// # Errors
/// `GatewayError::TaskFailed`, after final answers to the requests that are left
pub async fn run_tasks(
    gateway: &Gateway,
    mut tasks: BackgroundTasks,
    mut terminate: Signal,
    mut reload: Signal,
) -> Result<(), GatewayError> {
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            error = tasks.ended() => {
                drain::end_requests(gateway).await;
                return Err(error);
            }
            // Settings are fixed for the life of the process; the configuration comes from the store.
            _ = reload.recv() => log::info!("event=reload outcome=unchanged"),
        }
    }
    tokio::join!(drain::drain(gateway), peers::unlist(gateway));
    Ok(())
}

/// Periodically closes expired connections and removes expired strikes
async fn expire_entries(gateway: Rc<Gateway>) {
    loop {
        sleep(EXPIRY_INTERVAL).await;
        let now = std::time::Instant::now();
        gateway.connections.expire(now);
        gateway.crashes.borrow_mut().expire(now);
        gateway.part_suspects.table.borrow_mut().expire(now);
    }
}

async fn bind(address: SocketAddr) -> Result<TcpListener, GatewayError> {
    TcpListener::bind(address).await.map_err(|error| GatewayError::Bind { address, error })
}
