//! End-to-end tests: instances run as processes between raw clients and stand-ins of the platform.

mod client;
mod config;
mod crash_evidence;
mod crashes;
mod crashing_lookups;
mod crashing_parts;
mod deployment;
mod drain;
mod ending_fleet;
mod endpoint;
mod era;
mod flood;
mod generations;
mod large_config;
mod malformed;
mod notices;
mod plain;
mod process;
mod proxy;
mod rate_limits;
mod retry_limits;
mod soak;
mod store;
mod streams;
mod unframed;
mod zone;
