//! Customers of the configuration and the keys that identify them.
//!
//! Keys are kept and looked up as digests, so that the time of a look-up doesn't depend on
//! how much of a key matches, and no key is in memory longer than its request.

use super::config_age::ConfigAge;
use catalogue::id::CustomerName;
use indexmap::IndexMap;
use sha2::{Digest, Sha256};

/// First 128 bits of the SHA-256 of a key.
pub type KeyDigest = [u8; 16];

/// Digest under which a key is kept
pub fn key_digest(key: &[u8]) -> KeyDigest {
    let mut digest = KeyDigest::default();
    digest.copy_from_slice(&Sha256::digest(key)[..16]);
    digest
}

/// Customer to whom keys belong
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Customer {
    /// Name that endpoints receive
    pub name: CustomerName,
    /// Priority instead of the route's; `None` for the route's
    pub rank: Option<u8>,
}

/// Customers by name and by key
#[derive(Debug, Clone, Default, PartialEq)]
pub struct CustomerTable {
    customers: IndexMap<CustomerName, Customer>,
    /// Index in `customers` by the digest of a key
    owners: IndexMap<KeyDigest, usize>,
}

impl CustomerTable {
    /// Adds a customer with keys; of two with one name or key, the first one counts
    pub fn insert(&mut self, customer: Customer, keys: impl IntoIterator<Item = KeyDigest>) {
        let entry = self.customers.entry(customer.name.clone());
        let index = entry.index();
        entry.or_insert(customer);
        for key in keys {
            self.owners.entry(key).or_insert(index);
        }
    }

    /// Customer with this key
    pub fn find(&self, key: &[u8]) -> Option<&Customer> {
        let index = self.owners.get(&key_digest(key))?;
        self.customers.get_index(*index).map(|it| it.1)
    }

    /// Customer with this name
    pub fn by_name(&self, name: &str) -> Option<&Customer> {
        self.customers.get(name)
    }

    /// Number of customers
    pub fn len(&self) -> usize {
        self.customers.len()
    }

    /// Whether there is no customer, so that every key is refused
    pub fn is_empty(&self) -> bool {
        self.customers.is_empty()
    }
}

/// What a request says of its customer
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CustomerClaim<'a> {
    /// Key from the caller; `None` if it sent none or several
    Key(Option<&'a [u8]>),
    /// Name that the relaying instance has found; `None` if it needed none
    Relayed(Option<&'a str>),
}

/// Decision on the customer of a request
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CustomerDecision {
    /// The request belongs to nobody: its route is public, or there are no customers
    Nobody,
    /// Customer that the request belongs to
    Customer(Customer),
    /// The key is not in the configuration
    Unknown,
    /// The configuration may be out of date, and a newer one may decide otherwise
    Undecided,
    /// Another instance has found a customer that this one doesn't know, or none where one is needed
    Declined,
}

/// Decides whom a request belongs to
pub fn decide_customer(
    table: Option<&CustomerTable>,
    is_public: bool,
    claim: CustomerClaim<'_>,
    age: ConfigAge,
) -> CustomerDecision {
    let Some(table) = table else {
        return match claim {
            CustomerClaim::Relayed(Some(_)) => CustomerDecision::Declined,
            _ => CustomerDecision::Nobody,
        };
    };
    if is_public {
        return CustomerDecision::Nobody;
    }
    let customer = match claim {
        CustomerClaim::Key(key) => key.and_then(|it| table.find(it)),
        CustomerClaim::Relayed(name) => name.and_then(|it| table.by_name(it)),
    };
    match (customer, claim) {
        // Its key may have been removed during the freeze.
        (Some(_), CustomerClaim::Key(_)) if age == ConfigAge::Thawing => {
            CustomerDecision::Undecided
        }
        (Some(customer), _) => CustomerDecision::Customer(customer.clone()),
        (None, CustomerClaim::Relayed(_)) => CustomerDecision::Declined,
        // A request without a key is refused by all configurations with customers.
        (None, CustomerClaim::Key(None)) => CustomerDecision::Unknown,
        (None, CustomerClaim::Key(_)) if age != ConfigAge::Current => CustomerDecision::Undecided,
        (None, CustomerClaim::Key(_)) => CustomerDecision::Unknown,
    }
}
