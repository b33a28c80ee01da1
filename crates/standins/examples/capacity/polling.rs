//! Cost of polling load reports and cache events by number of engines.

use crate::usage::cpu_time;
use catalogue::{InstanceKind, InstanceState, ListedInstance};
use persimmonlift::registry::{EndpointRegistry, RegistryActor, RegistryConfig};
use platform::engine::EngineClient;
use platform::instances::InstanceClient;
use ractor::Actor;
use smol_str::format_smolstr;
use standins::engine::EngineSettings;
use standins::engine::EngineStandin;
use standins::list::ListStandin;
use std::sync::Arc;
use std::time::Duration;

const SIZES: [usize; 4] = [8, 16, 32, 64];
const WARM_UP: Duration = Duration::from_secs(2);
const MEASURE_TIME: Duration = Duration::from_secs(6);
const REPORT_INTERVAL: Duration = Duration::from_millis(250);
const LIST_INTERVAL: Duration = Duration::from_millis(500);
const TIMEOUT: Duration = Duration::from_secs(1);
/// Calls that one poll of an engine makes: one for its report and one for its events.
const CALLS_PER_POLL: f64 = 2.0;

pub async fn measure() {
    for size in SIZES {
        let engines: Vec<_> = (0..size).map(start_engine).collect();
        let idle = cpu_over(MEASURE_TIME).await;
        let listed = engines.iter().map(line).collect();
        let list = ListStandin::start(listed, Duration::ZERO).expect("list starts");
        let config = RegistryConfig {
            registry: Arc::<EndpointRegistry>::default(),
            instances: InstanceClient::new(list.address(), TIMEOUT),
            engines: EngineClient::new(),
            list_interval: LIST_INTERVAL,
            report_interval: REPORT_INTERVAL,
            timeout: TIMEOUT,
        };
        let (registry, _) = Actor::spawn(None, RegistryActor, config).await.expect("actor starts");
        tokio::time::sleep(WARM_UP).await;
        let busy = cpu_over(MEASURE_TIME).await;
        registry.stop(None);
        let calls = CALLS_PER_POLL * size as f64 / REPORT_INTERVAL.as_secs_f64();
        let cpu = (busy - idle).max(0.0);
        println!(
            "engines={size} calls_per_s={calls:.0} cpu_percent_of_core={:.2} cpu_us_per_call={:.1}",
            cpu * 100.0,
            cpu * 1e6 / calls
        );
    }
}

/// Average number of cores in use during `time`.
async fn cpu_over(time: Duration) -> f64 {
    let before = cpu_time();
    tokio::time::sleep(time).await;
    (cpu_time() - before).as_secs_f64() / time.as_secs_f64()
}

fn start_engine(number: usize) -> EngineStandin {
    let id = format_smolstr!("engine-{number}");
    EngineStandin::start(id, EngineSettings::default(), None).expect("engine starts")
}

fn line(engine: &EngineStandin) -> ListedInstance {
    ListedInstance {
        id: engine.id().clone(),
        kind: InstanceKind::Engine,
        pool: "summary".into(),
        zone: "south-a".into(),
        region: "south".into(),
        address: engine.address(),
        state: InstanceState::Live,
        checks_fence: true,
        version: Default::default(),
    }
}
