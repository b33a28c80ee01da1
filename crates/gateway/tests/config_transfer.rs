//! Packing of configurations for transfers between instances.

use gateway::packed_config::{PackedConfig, UnpackError};
use googletest::prelude::*;
use platform::http::MAX_ANSWER_BYTES;
use platform_adapter::settings::InstanceSettings;
use rand::Rng;
use testcases::cases;

cases! {
    packed_configuration_is_unpacked_unchanged => roundtrip(),
    malformed_transfer_is_an_error => malformed(b"no deflate stream"),
    truncated_transfer_is_an_error => truncated(),
    transfer_that_expands_without_end_is_an_error => expanding(),
    random_transfers_are_errors_or_values => random(),
    large_link_carries_a_configuration_to_a_zone => is_offered(200.0, true),
    small_link_does_not => is_offered(10.0, false),
    link_of_unknown_bandwidth_does_not => is_offered(0.0, false),
}

const SETTINGS: &str = r#"
node_name = "front-1"
ip = "10.1.0.35"
zone = "zone-a"
port_range = [7660,7675]
[bind]
front_addr = "10.1.0.35:8144"
ready_addr = "10.1.0.35:8140"
[limits]
bandwidth_mbps = BANDWIDTH
[bounds]
drain_ms = 3000
grace_s = 8
config_ms = 3000
budget_ratio = 0.2
budget_window_s = 10
retry_slack = 54
[provider]
address = "10.200.1.7:8142"
form = "log"
"#;

/// Bytes as random as the names in a large configuration, most of which is the same for all routes
fn value() -> Vec<u8> {
    let mut value = Vec::new();
    for _ in 0..4248 {
        let name: u64 = rand::rng().random();
        let route = format!(
            r#"{{"name":"r-{:07x}","host":"host.example","path_prefix":"/{name:016x}/","kind":"idempotent","timeout_ms":2000,"target_latency_ms":300,"priority":2,"service":"plain","max_attempts":2,"sticky":false,"resumable":false}},"#,
            name >> 36
        );
        value.extend_from_slice(route.as_bytes());
    }
    value
}

fn packed(value: &[u8]) -> PackedConfig {
    PackedConfig::pack(17, value).expect("memory suffices")
}

fn roundtrip() -> Result<()> {
    let value = value();
    let packed = packed(&value);
    verify_that!(packed.body().len(), lt(value.len() / 4))?;
    verify_that!(PackedConfig::unpack(packed.body())?, eq(&value))
}

fn malformed(body: &[u8]) -> Result<()> {
    verify_that!(matches!(PackedConfig::unpack(body), Err(UnpackError::Malformed(_))), eq(true))
}

fn truncated() -> Result<()> {
    let packed = packed(&value());
    malformed(&packed.body()[..packed.body().len() / 2])
}

fn expanding() -> Result<()> {
    let packed = packed(&vec![0; MAX_ANSWER_BYTES + 1]);
    let unpacked = PackedConfig::unpack(packed.body());
    verify_that!(matches!(unpacked, Err(UnpackError::TooLarge)), eq(true))
}

fn random() -> Result<()> {
    let mut rng = rand::rng();
    for _ in 0..2000 {
        let length = rng.random_range(0..200);
        let body = (0..length).map(|_| rng.random()).collect::<Vec<u8>>();
        if let Ok(value) = PackedConfig::unpack(&body) {
            verify_that!(value.len(), le(MAX_ANSWER_BYTES))?;
        }
    }
    Ok(())
}

fn is_offered(bandwidth_mbps: f64, expected: bool) -> Result<()> {
    let text = SETTINGS.replace("BANDWIDTH", &format!("{bandwidth_mbps:.1}"));
    let settings = InstanceSettings::parse(&text)?;
    verify_that!(packed(&value()).can_be_sent_to(34, &settings), eq(expected))
}
