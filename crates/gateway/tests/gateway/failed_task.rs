//! End of a background task: the requests that are left get final answers before the process ends.

use crate::client::RawClient;
use crate::deployment::{config, endpoint, get, list};
use crate::endpoint::{Step, answer};
use crate::process::local_settings;
use crate::store::FakeStore;
use gateway::GatewayError;
use gateway::background::BackgroundTasks;
use gateway::state::Gateway;
use gateway::{follow, listen, run_tasks};
use googletest::prelude::*;
use platform_adapter::settings::InstanceSettings;
use std::rc::Rc;
use std::time::Duration;
use testcases::cases;
use tokio::net::TcpListener;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::oneshot;
use tokio::task::LocalSet;
use tokio::time::{sleep, timeout};

cases! { async
    // Guards against requests that are cut without an answer, since a background task of their instance has ended.
    requests_are_answered_after_the_end_of_a_task => answered(),
}

const START_TIMEOUT: Duration = Duration::from_secs(10);
const BODY: &str = "text";

/// Head of a once-only request
fn entry(id: &str) -> String {
    format!(
        "POST /entries/x HTTP/1.1\r\nHost: host.example\r\nX-Request-Id: {id}\r\n\
         Content-Length: {}\r\n\r\n",
        BODY.len()
    )
}

/// Runs an instance until `ended` ends one of its background tasks; the connections that are left end with it
fn run_instance(
    settings: InstanceSettings,
    ended: oneshot::Receiver<()>,
) -> std::result::Result<(), GatewayError> {
    let runtime = gateway::start_runtime()?;
    LocalSet::new().block_on(&runtime, async {
        let address = settings.client_address;
        let bound = TcpListener::bind(address).await;
        let listener = bound.map_err(|error| GatewayError::Bind { address, error })?;
        let gateway = Rc::new(Gateway::new(settings));
        let mut tasks = BackgroundTasks::default();
        tasks.spawn(follow::follow_config(gateway.clone()));
        tasks.spawn(follow::follow_endpoints(gateway.clone()));
        tasks.spawn(listen::accept(gateway.clone(), listener, listen::start_connection));
        tasks.spawn(async { drop(ended.await) });
        let terminate = signal(SignalKind::user_defined1()).map_err(GatewayError::Runtime)?;
        let reload = signal(SignalKind::user_defined2()).map_err(GatewayError::Runtime)?;
        run_tasks(&gateway, tasks, terminate, reload).await
    })
}

/// One request waits for its endpoint, and another one for the rest of its body
async fn answered() -> Result<()> {
    let service = endpoint("service-1", |it| match it.line.contains("/entries/") {
        true => vec![Step::Hang],
        false => vec![Step::Write(answer(it, "200 OK", "right"))],
    })
    .await;
    let store = FakeStore::start().await;
    store.put("keyed.op", "config", config(1, 20_000).to_string().as_bytes());
    list(&store, &service, "ready", None);
    let settings = InstanceSettings::parse(&local_settings(store.address))?;
    let address = settings.client_address;
    let (end, ended) = oneshot::channel();
    let running = std::thread::spawn(|| run_instance(settings, ended));
    let is_served = async {
        for number in 0.. {
            let client = RawClient::try_connect(address).await;
            if let Some(mut client) = client {
                let got = client.exchange(get("lookups", &format!("lookup-{number}"))).await;
                if got.is_some_and(|it| it.status == 200) {
                    return;
                }
            }
            sleep(Duration::from_millis(20)).await;
        }
    };
    timeout(START_TIMEOUT, is_served).await?;
    let mut sent = RawClient::connect(address).await;
    sent.write(entry("sent") + BODY).await;
    let mut unfinished = RawClient::connect(address).await;
    unfinished.write(entry("unfinished") + &BODY[..2]).await;
    sleep(Duration::from_millis(300)).await;
    drop(end);
    // The first one may have run.
    for (client, status) in [(&mut sent, 504), (&mut unfinished, 503)] {
        let got = client.read().await;
        verify_that!((got.status, got.is_whole), eq((status, true)))?;
    }
    let result = running.join().expect("no panic");
    verify_that!(matches!(result, Err(GatewayError::TaskFailed(_))), eq(true))
}
