//! Parsing of entries from TOML, and their validation errors.

use catalogue::{CatalogueEntry, EntryFault, RequestClass};
use googletest::prelude::*;
use testcases::cases;

const SUMMARIES: &str = r#"
name = "summaries"
owner = "trust"
class = "urgent"
idempotent = true
pool = "summary"
caller_key_sha256 = ["0000000000000000000000000000000000000000000000000000000000000000"]

[kind]
type = "engine"
model = "dossier"
version = "1"

[limits]
requests_per_s = 50.0
in_flight = 200
deadline_ms = 30000
"#;

fn parse(toml: &str) -> Result<CatalogueEntry> {
    toml::from_str(toml).or_fail()
}

fn check_fault(from: &str, to: &str, fault: EntryFault) -> Result<()> {
    let entry = parse(&SUMMARIES.replace(from, to))?;
    verify_that!(entry.faults(), elements_are![eq(&fault)])
}

fn check_valid() -> Result<()> {
    let entry = parse(SUMMARIES)?;
    verify_that!(entry.faults(), is_empty())?;
    verify_that!(entry.class, eq(RequestClass::Urgent))
}

fn check_unknown_key() -> Result<()> {
    let faulty = SUMMARIES.replace("in_flight", "inflight");
    verify_that!(toml::from_str::<CatalogueEntry>(&faulty), err(anything()))
}

cases! {
    valid_entry => check_valid(),
    unknown_key => check_unknown_key(),
    name_with_slash => check_fault("\"summaries\"", "\"a/b\"", EntryFault::Name("name")),
    empty_owner => check_fault("\"trust\"", "\"\"", EntryFault::Name("owner")),
    rate_of_zero => check_fault("50.0", "0.0", EntryFault::Rate("limits.requests_per_s")),
    rate_not_a_number => check_fault("50.0", "nan", EntryFault::Rate("limits.requests_per_s")),
    no_request_in_flight => check_fault("= 200", "= 0", EntryFault::Count("limits.in_flight")),
    deadline_too_long => check_fault("30000", "3600001", EntryFault::DeadlineTooLong),
    no_caller_key => check_fault(
        "[\"0000000000000000000000000000000000000000000000000000000000000000\"]",
        "[]",
        EntryFault::NoCallerKey
    ),
    caller_key_not_hex => check_fault("[\"0", "[\"x", EntryFault::KeyHash(
        "x000000000000000000000000000000000000000000000000000000000000000".into()
    )),
    engine_entry_that_is_not_idempotent => check_fault("= true", "= false", EntryFault::EngineNotIdempotent),
}
