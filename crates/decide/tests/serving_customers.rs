//! Customers and their keys.

use decide::serving::config_age::ConfigAge;
use decide::serving::customers::{
    Customer, CustomerClaim, CustomerDecision, CustomerTable, decide_customer, key_digest,
};
use googletest::prelude::*;
use proptest::prelude::{any, prop};
use proptest::{prop_assert_eq, proptest};
use testcases::cases;

cases! {
    key_finds_its_customer => find(b"key-b2", Some("b")),
    unknown_key_finds_nobody => find(b"key-c", None),
    // Guards against a comparison that accepts a part of a key.
    prefix_of_a_key_finds_nobody => find(b"key-", None),
    empty_key_finds_nobody => find(b"", None),
    key_listed_twice_belongs_to_the_first => find(b"shared", Some("a")),
    name_listed_twice_is_one_customer => one_name(),

    known_key_is_accepted => decision(CustomerClaim::Key(Some(b"key-a")), ConfigAge::Current, customer("a")),
    // Guards against customers that are turned away while the store is unavailable.
    known_key_is_accepted_whatever_the_age =>
        decision(CustomerClaim::Key(Some(b"key-a")), ConfigAge::Outdated, customer("a")),
    unknown_key_is_refused => decision(CustomerClaim::Key(Some(b"x")), ConfigAge::Current, CustomerDecision::Unknown),
    // Guards against a 401 for a key that a newer configuration allows.
    unknown_key_is_undecided_beyond_the_bound =>
        decision(CustomerClaim::Key(Some(b"x")), ConfigAge::Outdated, CustomerDecision::Undecided),
    unknown_key_is_undecided_after_a_freeze =>
        decision(CustomerClaim::Key(Some(b"x")), ConfigAge::Thawing, CustomerDecision::Undecided),
    // Guards against a key that was removed while the instance was frozen.
    known_key_is_undecided_after_a_freeze =>
        decision(CustomerClaim::Key(Some(b"key-a")), ConfigAge::Thawing, CustomerDecision::Undecided),
    missing_key_is_refused_whatever_the_age =>
        decision(CustomerClaim::Key(None), ConfigAge::Thawing, CustomerDecision::Unknown),
    relayed_customer_is_found_by_name => decision(CustomerClaim::Relayed(Some("b")), ConfigAge::Thawing, customer("b")),
    relayed_unknown_customer_is_declined =>
        decision(CustomerClaim::Relayed(Some("c")), ConfigAge::Current, CustomerDecision::Declined),
    // Guards against a request that gets in through an instance that doesn't know customers yet.
    relayed_request_without_a_customer_is_declined =>
        decision(CustomerClaim::Relayed(None), ConfigAge::Current, CustomerDecision::Declined),
    relayed_customer_is_declined_without_customers => without_customers(
        CustomerClaim::Relayed(Some("a")),
        CustomerDecision::Declined,
    ),
    nobody_needs_a_key_without_customers =>
        without_customers(CustomerClaim::Key(Some(b"x")), CustomerDecision::Nobody),
    nobody_needs_a_key_on_a_public_route => public(),
    change_of_a_table_lists_only_what_differs => small_change(),
}

proptest! {
    /// Guards against an instance whose customers, from a change, differ from those in the store
    #[test]
    fn change_makes_one_table_of_the_other(
        before in prop::collection::vec((0..6_u8, any::<Option<bool>>(), prop::collection::vec(0..12_u8, 0..4)), 0..8),
        after in prop::collection::vec((0..6_u8, any::<Option<bool>>(), prop::collection::vec(0..12_u8, 0..4)), 0..8),
    ) {
        let [before, after] = [before, after].map(|customers| {
            let mut table = CustomerTable::default();
            for (name, rank, keys) in customers {
                let name = format!("customer-{name}").into();
                let customer = Customer { name, rank: rank.map(u8::from) };
                table.insert(customer, keys.into_iter().map(|it| key_digest(&[it])));
            }
            table
        });
        let changed = before.changed_by(after.change_from(&before));
        prop_assert_eq!(changed.len(), after.len());
        for key in 0..12 {
            prop_assert_eq!(changed.find(&[key]), after.find(&[key]));
        }
        for name in (0..6).map(|it| format!("customer-{it}")) {
            prop_assert_eq!(changed.by_name(&name), after.by_name(&name));
        }
    }
}

fn table() -> CustomerTable {
    let mut table = CustomerTable::default();
    let keys: [(&str, &[&str]); 2] =
        [("a", &["key-a", "shared"]), ("b", &["key-b1", "key-b2", "shared"])];
    for (name, keys) in keys {
        let customer = Customer { name: name.into(), rank: None };
        table.insert(customer, keys.iter().map(|it| key_digest(it.as_bytes())));
    }
    table
}

fn customer(name: &str) -> CustomerDecision {
    CustomerDecision::Customer(Customer { name: name.into(), rank: None })
}

fn find(key: &[u8], expected: Option<&str>) -> Result<()> {
    verify_that!(table().find(key).map(|it| it.name.as_str()), eq(expected))
}

fn one_name() -> Result<()> {
    let mut table = table();
    let again = Customer { name: "a".into(), rank: Some(0) };
    table.insert(again, [key_digest(b"key-a2")]);
    verify_that!(table.len(), eq(2))?;
    verify_that!(table.find(b"key-a2"), eq(table.by_name("a")))?;
    verify_that!(table.by_name("a").and_then(|it| it.rank), none())
}

fn decision(claim: CustomerClaim<'_>, age: ConfigAge, expected: CustomerDecision) -> Result<()> {
    verify_that!(decide_customer(Some(&table()), false, claim, age), eq(&expected))
}

fn without_customers(claim: CustomerClaim<'_>, expected: CustomerDecision) -> Result<()> {
    verify_that!(decide_customer(None, false, claim, ConfigAge::Current), eq(&expected))
}

fn public() -> Result<()> {
    for claim in [CustomerClaim::Key(Some(b"key-a")), CustomerClaim::Key(None)] {
        let decision = decide_customer(Some(&table()), true, claim, ConfigAge::Current);
        verify_that!(decision, eq(&CustomerDecision::Nobody))?;
    }
    Ok(())
}

fn small_change() -> Result<()> {
    let (before, mut after) = (table(), table());
    verify_that!(after.change_from(&before), eq(&Default::default()))?;
    after.insert(Customer { name: "c".into(), rank: Some(1) }, [key_digest(b"key-c")]);
    let change = after.change_from(&before);
    verify_that!((change.removed.len(), change.changed.len()), eq((0, 1)))?;
    verify_that!(before.change_from(&after).removed, elements_are![eq("c")])
}
