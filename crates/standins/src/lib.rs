//! Stand-ins of the platform, engines and services, for tests and examples.
