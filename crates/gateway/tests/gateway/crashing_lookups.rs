//! Requests without a body that end every endpoint, also beside other faults.

use crate::deployment::{get_path, post};
use crate::ending_fleet::{CONTACT_TIME, DOWN_TIME, EndingFleet, served_fraction};
use crate::endpoint::{Arrival, Step, answer};
use crate::store::StoreMode;
use googletest::prelude::*;
use std::time::{Duration, Instant};
use testcases::cases;
use tokio::time::sleep;

cases! { async
    // Guards against a lookup that ends one endpoint after the other, as on dongelek-hq.
    lookup_that_ends_endpoints_is_refused => lookup(Beside::Nothing),
    lookup_that_ends_endpoints_is_refused_beside_restarts => lookup(Beside::Restarts),
    lookup_that_ends_endpoints_is_refused_without_the_store => lookup(Beside::NoStore),
    lookups_that_end_endpoints_are_refused_both => lookup(Beside::Another),
    // Guards against a lookup that ends endpoints and isn't recognized, since each caller that sends it is a new one.
    lookup_of_many_callers_that_ends_endpoints_is_refused => lookup(Beside::ManyCallers),
    // Guards against a sound lookup that is refused, since many callers sent it to endpoints that ended at once.
    lookup_of_many_callers_is_served_after_all_endpoints_end_at_once => ended_at_once(),
    // Guards against a lookup that is never recognized, since its client leaves before the endpoint ends.
    lookup_whose_client_leaves_before_the_end_is_refused => lookup(Beside::ImpatientClient),
    request_with_a_body_that_ends_endpoints_is_refused => lookup(Beside::Body),
}

const SERVICES: usize = 8;
const INSTANCES: usize = 4;
const SOUND_INTERVAL: Duration = Duration::from_millis(25);
const CRASH_INTERVAL: Duration = Duration::from_millis(330);
/// Time from the arrival of the crashing request to the end of its endpoint; impatient clients leave before.
const CRASH_DELAY: Duration = Duration::from_millis(60);
const PATIENCE: Duration = Duration::from_millis(40);
const PATIENT: Duration = Duration::from_secs(10);
/// Time after their start in which endpoints serve again, refusals of requests that ran when they ended included.
const RETURN_TIME: Duration = Duration::from_secs(3);
/// Time of the crashing load.
const LOAD_TIME: Duration = Duration::from_secs(14);
/// Retries of one crashing request that the users' rule allows after the contact time.
const MAX_LATE_ARRIVALS: usize = 3;
/// Fraction of the sound requests to be served once the crashing one is refused; they are wanted as often as before.
const MIN_SERVED: f64 = 0.95;

/// What happens meanwhile
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Beside {
    Nothing,
    /// Instances are replaced one after the other
    Restarts,
    /// The store doesn't answer
    NoStore,
    /// Another caller sends another such request
    Another,
    /// Each request comes from another caller
    ManyCallers,
    /// The client leaves before the endpoint ends
    ImpatientClient,
    /// The request has a body
    Body,
}

fn is_crashing(arrival: &Arrival) -> bool {
    arrival.line.contains("/crashing") || arrival.body == b"crashing"
}

fn script(arrival: &Arrival) -> Vec<Step> {
    match is_crashing(arrival) {
        true => vec![Step::EndLater(CRASH_DELAY, DOWN_TIME), Step::Hang],
        false => {
            let right = Step::Write(answer(arrival, "200 OK", "right"));
            vec![Step::Pause(Duration::from_millis(20)), right]
        }
    }
}

async fn lookup(beside: Beside) -> Result<()> {
    let ids = (0..SERVICES).map(|it| format!("service-{it}"));
    let mut fleet = EndingFleet::start(ids, script, INSTANCES).await;
    let sound = fleet.send_load(SOUND_INTERVAL, |number| {
        let path = format!("sound-{}", number % 7);
        let id = format!("sound-{number}");
        (format!("127.0.6.{}", 1 + number % 30), get_path("lookups", &path, &id))
    });
    if beside == Beside::NoStore {
        fleet.store.set_mode(StoreMode::Unresponsive);
    }
    let patience = if beside == Beside::ImpatientClient { PATIENCE } else { PATIENT };
    fleet.send_impatient_load(CRASH_INTERVAL, patience, move |number| {
        let id = format!("crashing-{number}");
        let request = match beside {
            Beside::Body => post("lookups", &id, "crashing"),
            _ => get_path("lookups", "crashing", &id),
        };
        let caller = if beside == Beside::ManyCallers { 1 + number % 200 } else { 1 };
        (format!("127.0.5.{caller}"), request)
    });
    if beside == Beside::Another {
        fleet.send_load(CRASH_INTERVAL, |number| {
            let id = format!("another-{number}");
            ("127.0.5.2".to_owned(), get_path("lookups", "crashing-2", &id))
        });
    }
    if beside == Beside::Restarts {
        for index in 0..INSTANCES {
            fleet.launch();
            fleet.instances[INSTANCES + index].wait_ready().await;
            fleet.withdraw();
            fleet.instances[index].terminate();
            sleep(LOAD_TIME / 6).await;
        }
    }
    sleep(LOAD_TIME).await;
    let ends = fleet.ends();
    verify_that!(ends.len(), ge(3))?;
    let requests = if beside == Beside::Another { 2 } else { 1 };
    let last_counted = ends[3 * requests - 1];
    println!("{beside:?}: {} ends", ends.len());
    verify_that!(fleet.late_arrivals(last_counted, is_crashing), le(MAX_LATE_ARRIVALS * requests))?;
    verify_that!(served_fraction(&sound, last_counted + CONTACT_TIME * 2), ge(MIN_SERVED))
}

/// All endpoints end at once, twice, while many callers send the same sound lookup
async fn ended_at_once() -> Result<()> {
    let ids = (0..SERVICES).map(|it| format!("service-{it}"));
    let fleet = EndingFleet::start(ids, slow_script, INSTANCES).await;
    let sound = fleet.send_load(SOUND_INTERVAL, |number| {
        let id = format!("sound-{number}");
        (format!("127.0.7.{}", 1 + number % 200), get_path("lookups", "popular", &id))
    });
    for _ in 0..2 {
        sleep(CONTACT_TIME).await;
        for endpoint in &fleet.endpoints {
            endpoint.end(DOWN_TIME);
        }
        sleep(DOWN_TIME + RETURN_TIME).await;
        let back_at = Instant::now();
        sleep(CONTACT_TIME).await;
        verify_that!(served_fraction(&sound, back_at), ge(MIN_SERVED))?;
    }
    Ok(())
}

/// Answers so slowly that several requests run at each endpoint
fn slow_script(arrival: &Arrival) -> Vec<Step> {
    vec![Step::Pause(Duration::from_millis(200)), Step::Write(answer(arrival, "200 OK", "right"))]
}
