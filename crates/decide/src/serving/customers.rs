//! Customers of the configuration and the keys that identify them.
//!
//! Keys are kept and looked up as digests, so that the time of a look-up doesn't depend on
//! how much of a key matches, and no key is in memory longer than its request.

use super::config_age::ConfigAge;
use catalogue::id::CustomerName;
use indexmap::{IndexMap, IndexSet};
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

    /// Keys of each customer
    fn keys(&self) -> IndexMap<&CustomerName, Vec<KeyDigest>> {
        let mut keys = self.customers.keys().map(|it| (it, Vec::new())).collect::<IndexMap<_, _>>();
        for (digest, owner) in &self.owners {
            keys[*owner].push(*digest);
        }
        keys.values_mut().for_each(|it| it.sort_unstable());
        keys
    }

    /// What makes this table of an earlier one
    pub fn change_from(&self, base: &CustomerTable) -> CustomerChange {
        let (base_keys, own_keys) = (base.keys(), self.keys());
        let is_changed = |it: &&Customer| {
            base.by_name(&it.name) != Some(*it) || base_keys.get(&it.name) != own_keys.get(&it.name)
        };
        let changed = self.customers.values().filter(is_changed);
        let changed = changed.map(|it| (it.clone(), own_keys[&it.name].clone())).collect();
        let removed = base.customers.keys().filter(|it| self.by_name(it).is_none());
        CustomerChange { removed: removed.cloned().collect(), changed }
    }

    /// Table that a change makes of this one
    pub fn changed_by(&self, change: CustomerChange) -> CustomerTable {
        let keys = self.keys();
        let replaced = change.changed.iter().map(|it| &it.0.name).chain(&change.removed);
        let replaced = replaced.cloned().collect::<IndexSet<_>>();
        let mut table = CustomerTable::default();
        for customer in self.customers.values().filter(|it| !replaced.contains(&it.name)) {
            table.insert(customer.clone(), keys[&customer.name].iter().copied());
        }
        for (customer, keys) in change.changed {
            table.insert(customer, keys);
        }
        table
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

/// Difference between the customers of two configurations
#[derive(Debug, Clone, Default, PartialEq)]
pub struct CustomerChange {
    /// Customers that are gone
    pub removed: Vec<CustomerName>,
    /// Customers that are new, or whose rank or keys are others, with all of their keys
    pub changed: Vec<(Customer, Vec<KeyDigest>)>,
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
