//! Measures the cost of one contract change with a full registry: `cargo run --release -p foxtailhold
//! --example contract_registry_cost`.

use std::sync::Arc;
use std::time::Instant;

use foxtailhold::contract::Contract;
use foxtailhold::contract_registry::{ContractChange, ContractRegistry};
use foxtailhold::ids::CustomerId;

/// Number of customers that the system must be able to hold.
const CUSTOMERS: u64 = 31_000;
/// Number of changes that are timed.
const CHANGES: u64 = 200;

fn change(number: u64, customer: u64) -> Option<ContractChange> {
    let document = format!(
        "customer = \"workspace-{customer}\"\napi_keys = [\"key-of-workspace-{customer}\"]\n\
         requests_per_s = {}.0\n",
        number + 1
    );
    Some(ContractChange {
        number,
        change_id: format!("entry-0-{number}"),
        customer: CustomerId::try_from(format!("workspace-{customer}").as_str()).ok()?,
        version: number,
        contract: Some(Arc::new(Contract::try_from(document.as_str()).ok()?)),
    })
}

fn main() {
    let mut registry = ContractRegistry::default();
    for number in 1..=CUSTOMERS {
        let applied = change(number, number).is_some_and(|change| registry.apply(&change));
        assert!(applied, "change {number} was not applied");
    }
    let mut published = Arc::new(registry.clone());
    let mut durations_us = Vec::new();
    for step in 1..=CHANGES {
        let Some(change) = change(CUSTOMERS + step, step * 97 % CUSTOMERS + 1) else {
            continue;
        };
        let start = Instant::now();
        registry.apply(&change);
        published = Arc::new(registry.clone());
        durations_us.push(start.elapsed().as_micros());
    }
    durations_us.sort_unstable();
    println!(
        "{CUSTOMERS} customers, {} changes applied and published: p50 {} us, worst {} us; now at {}",
        durations_us.len(),
        durations_us[durations_us.len() / 2],
        durations_us[durations_us.len() - 1],
        published.number()
    );
}
