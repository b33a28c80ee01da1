//! Finds the customer of a request by its key, before the body is read.
//!
//! The configuration in force decides, also on open connections. While it may be out of
//! date, a key that it doesn't know is refused with an answer that allows a retry, and right
//! after a freeze so is any other key.

use crate::boot_clock::boot_time;
use crate::relay::RequestSource;
use crate::serving_call::Refusal;
use crate::state::Gateway;
use decide::serving::config_age::{BootTime, ConfigAge};
use decide::serving::customers::{Customer, CustomerClaim, CustomerDecision, decide_customer};
use decide::serving::route::{RouteConfig, ServingConfig};
use http::HeaderMap;
use platform_adapter::answer::GatewayAnswer;
use platform_adapter::head::take_key;

/// Reason of a refusal of a key that no configuration in force allows
pub const UNKNOWN_KEY: &str = "unknown_key";
/// Reason of a refusal of a key that a newer configuration may allow
pub const CONFIG_OUTDATED: &str = "config_outdated";
/// Reason of declining a relayed request whose customer this instance doesn't know
pub const UNKNOWN_CUSTOMER: &str = "unknown_customer";

impl Gateway {
    /// Records that the configuration in force was the newest one when a read was asked for
    pub fn confirm_config_read(&self, asked_at: BootTime) {
        if let Some(version) = self.config.borrow().as_ref().map(|it| it.version) {
            self.config_confirmation.borrow_mut().record_read(version, asked_at);
        }
    }

    fn config_age(&self) -> ConfigAge {
        self.config_confirmation.borrow_mut().age(self.settings.config_bound, boot_time())
    }
}

/// Finds the customer of a request, and takes its key off
///
/// # Errors
/// `Refusal` if the request has to belong to a customer and none is found.
pub fn find_customer(
    gateway: &Gateway,
    config: &ServingConfig,
    route: &RouteConfig,
    headers: &mut HeaderMap,
    source: &RequestSource,
) -> Result<Option<Customer>, Refusal> {
    let table = config.customers.as_deref();
    let key = table.and_then(|_| take_key(headers));
    let claim = match source {
        RequestSource::Client(_) => CustomerClaim::Key(key.as_ref().map(|it| it.as_bytes())),
        RequestSource::Instance { customer, .. } => CustomerClaim::Relayed(customer.as_deref()),
    };
    let age = table.map_or(ConfigAge::Current, |_| gateway.config_age());
    match decide_customer(table, route.is_public, claim, age) {
        CustomerDecision::Nobody => Ok(None),
        CustomerDecision::Customer(customer) => Ok(Some(customer)),
        CustomerDecision::Unknown => Err(Refusal::new(GatewayAnswer::UnknownKey, UNKNOWN_KEY)),
        CustomerDecision::Undecided => Err(Refusal::new(GatewayAnswer::NotRun, CONFIG_OUTDATED)),
        CustomerDecision::Declined => Err(Refusal::new(GatewayAnswer::NotRun, UNKNOWN_CUSTOMER)),
    }
}
