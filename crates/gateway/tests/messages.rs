//! Messages between instances: their size, and what is dropped when one is full.

use bytes::Bytes;
use catalogue::id::EndpointId;
use decide::serving::crash_table::{BrokenEndpoint, CrashFact, EndpointStatus};
use decide::serving::health::HealthUpdate;
use decide::serving::leader::PeerInstance;
use decide::serving::load::{EndpointWork, WorkCount};
use decide::serving::rate_limit::LimitReport;
use decide::serving::store_era::TopicPosition;
use decide::serving::stream_origins::StreamOrigin;
use gateway::messages::{
    BegunStreams, EndpointUpdate, FactRepair, MAX_MESSAGE_BYTES, MessageBody, PeerMessage,
    PromptRead, ServingUpdate, StoreUpdate, WorkScope, work_body,
};
use gateway::packed_config::StoredConfig;
use googletest::prelude::*;
use testcases::cases;

/// Endpoints of the design size.
const ENDPOINTS: u64 = 640;

fn id(number: u64) -> EndpointId {
    format!("i-{:010x}", number * 0x9e37_79b9).into()
}

fn crash(number: u64) -> CrashFact {
    let broken =
        BrokenEndpoint { id: id(number), started_at_ms: u64::MAX, status: EndpointStatus::Ended };
    CrashFact { fingerprint: u64::MAX - number, broken: Some(broken), age_ms: 600_000 }
}

fn check_fits(body: MessageBody) -> Result<()> {
    let sender = PeerInstance {
        address: "10.1.0.35:7660".parse()?,
        zone: "availability-zone-a".into(),
        power: 250,
    };
    let message = PeerMessage::new(
        "front-availability-zone-a-1".into(),
        &sender,
        Some(400),
        u64::MAX,
        true,
        body,
    );
    let bytes = message.encode().expect("encodes");
    verify_that!(bytes.len(), le(MAX_MESSAGE_BYTES))?;
    verify_that!(PeerMessage::decode(&bytes), some(eq(&message)))
}

fn full_update() -> ServingUpdate {
    let numbers = 0..ENDPOINTS;
    let read = |it| PromptRead {
        engine: id(it),
        started_at_ms: u64::MAX,
        prefixes: Vec::new(),
        sample: None,
    };
    let limit = |it| LimitReport {
        endpoint: id(it),
        last_start_ms: u64::MAX,
        rate: Some(9.3),
        age_ms: 600_000,
    };
    let mut update = ServingUpdate::default();
    update.extend(ServingUpdate {
        reads: numbers.clone().map(read).collect(),
        crashes: numbers.clone().map(crash).collect(),
        part_crashes: numbers.clone().map(crash).collect(),
        health: numbers.clone().map(|it| (id(it), HealthUpdate::Unreliable)).collect(),
        leaving: numbers.clone().map(|it| (id(it), u64::MAX)).collect(),
        limits: numbers.map(limit).collect(),
        streams: vec![BegunStreams {
            origin: origin(),
            streams: (0..3000).map(|it| u64::MAX - it).collect(),
        }],
    });
    update
}

fn origin() -> StreamOrigin {
    StreamOrigin { pool: "a-pool-of-engines".into(), version: "v1.20.300".into() }
}

/// Work at all endpoints, all of them limited, with a full update
fn check_work_fits() -> Result<()> {
    let count =
        WorkCount { requests: 2000, unread_tokens: 1 << 30, demand: 2_000_000, sent: 10_000 };
    let work = (0..ENDPOINTS).map(|it| (id(it), count)).collect::<EndpointWork>();
    check_fits(work_body(WorkScope::Rest, &work, full_update()))
}

fn check_repair_fits() -> Result<()> {
    let crashes = (0..3000).map(crash).collect();
    let leaving = (0..3000).map(|it| (id(it), u64::MAX)).collect();
    check_fits(MessageBody::Repair(FactRepair::new(crashes, leaving)))
}

fn check_part_repair_fits() -> Result<()> {
    check_fits(MessageBody::Repair(FactRepair::of_parts((0..3000).map(crash).collect())))
}

/// Bytes of a message that a list of facts on parts adds
fn fact_bytes(part_crashes: Vec<CrashFact>) -> usize {
    let size = |part_crashes| {
        let update = ServingUpdate { part_crashes, ..Default::default() };
        let body = work_body(WorkScope::Own, &EndpointWork::new(), update);
        let sender = PeerInstance {
            address: "10.1.0.35:7660".parse().expect("an address"),
            zone: "zone-a".into(),
            power: 250,
        };
        let message = PeerMessage::new("front-1".into(), &sender, Some(400), u64::MAX, true, body);
        message.encode().expect("encodes").len()
    };
    size(part_crashes) - size(Vec::new())
}

/// Strikes and answers on 24 parts, of eight requests that ran at an engine that crashed
fn check_crash_bytes() -> Result<()> {
    let strikes = (0..24).map(crash).collect::<Vec<_>>();
    let answers = strikes.iter().map(|it| CrashFact { broken: None, age_ms: 40, ..it.clone() });
    let bytes = (fact_bytes(strikes.clone()), fact_bytes(answers.collect()));
    println!("24 strikes and 24 answers take {bytes:?} bytes");
    verify_that!(bytes.0 + bytes.1, le(24 * 60))
}

fn check_newest_stay() -> Result<()> {
    let mut update = full_update();
    let newest = (id(9999), HealthUpdate::Reliable);
    update.extend(ServingUpdate { health: vec![newest.clone()], ..Default::default() });
    verify_that!(update.health.last(), some(eq(&newest)))
}

fn check_stored_config() -> Result<()> {
    let config = StoredConfig { version: 3, value: Bytes::from_static(b"with keys") };
    verify_that!(config.clone().value_in_force(4), none())?;
    verify_that!(config.value_in_force(3), some(eq("with keys")))
}

fn store_message(grace_left_ms: u16) -> PeerMessage {
    let update = StoreUpdate {
        config_version: 3,
        config_end: TopicPosition::default(),
        config: None,
        offers_config: false,
        endpoints: EndpointUpdate::default(),
        grace_left_ms,
    };
    let mut message = work_message();
    message.body = MessageBody::Store(update);
    message
}

/// An earlier build's message ends without the time
fn check_grace_left() -> Result<()> {
    let message = store_message(1700);
    let bytes = message.encode().expect("encodes");
    verify_that!(PeerMessage::decode(&bytes), some(eq(&message)))?;
    for missing in 1..=3 {
        let decoded = PeerMessage::decode(&bytes[..bytes.len() - missing]);
        verify_that!(decoded, some(eq(&store_message(0))))?;
    }
    Ok(())
}

cases! {
    // Guards against instances of two builds that don't hear each other, or take a silence on relays for a refusal.
    message_of_a_build_without_the_last_field_is_read => check_earlier_build(),
    message_says_whether_requests_are_taken_over => check_takes_requests(),
    // Guards against the same, and against a grace period that only the instance has that reads for the others.
    update_states_the_time_left_of_the_grace_period => check_grace_left(),
    // Guards against keys of an earlier configuration that are sent since the one in force has none.
    configuration_that_is_not_in_force_is_not_sent => check_stored_config(),
    begun_streams_take_few_bytes => check_stream_bytes(),
    // Guard against messages that nobody can decode, since they are too large.
    work_at_the_design_size_fits_into_a_message => check_work_fits(),
    largest_repair_fits_into_a_message => check_repair_fits(),
    facts_on_the_parts_of_a_crash_take_few_bytes => check_crash_bytes(),
    largest_repair_of_parts_fits_into_a_message => check_part_repair_fits(),
    // Guards against the loss of the newest state of an endpoint, since older states fill the message.
    full_update_drops_its_oldest_entries => check_newest_stay(),
}

/// Streams that have begun cost little beside the work that messages state anyway
fn check_stream_bytes() -> Result<()> {
    let size = |count: u64| {
        let streams = (0..count).map(|it| u64::MAX - it).collect();
        let mut update = ServingUpdate::default();
        update.extend(ServingUpdate {
            streams: vec![BegunStreams { origin: origin(), streams }],
            ..ServingUpdate::default()
        });
        let body = work_body(WorkScope::Own, &EndpointWork::new(), update);
        bincode::serde::encode_to_vec(&body, bincode::config::standard()).expect("encodes").len()
    };
    let bytes = (size(100) - size(0)) as f64 / 100.0;
    println!("{bytes:.1} bytes a stream");
    verify_that!(bytes, le(10.0))
}

fn work_message() -> PeerMessage {
    let address = "10.1.0.35:7660".parse().expect("an address");
    let sender = PeerInstance { address, zone: "zone-a".into(), power: 250 };
    let body = work_body(WorkScope::Own, &EndpointWork::new(), ServingUpdate::default());
    PeerMessage::new("front-1".into(), &sender, Some(3), 7, true, body)
}

fn check_earlier_build() -> Result<()> {
    let message = work_message();
    let bytes = message.encode().expect("encodes");
    verify_that!(PeerMessage::decode(&bytes[..bytes.len() - 1]), some(eq(&message)))?;
    verify_that!(message.takes_requests, eq(true))
}

fn check_takes_requests() -> Result<()> {
    for takes_requests in [false, true] {
        let mut message = work_message();
        message.takes_requests = takes_requests;
        let bytes = message.encode().expect("encodes");
        verify_that!(PeerMessage::decode(&bytes), some(eq(&message)))?;
    }
    Ok(())
}
