//! Prints what one contract change costs with a full book: `cargo run --release -p foxtailhold
//! --example contract_registry_cost`.

use std::sync::Arc;
use std::time::Instant;

use foxtailhold::contract::Contract;
use foxtailhold::contract_registry::{ContractChange, ContractRegistry};
use foxtailhold::ids::CustomerId;

/// Customers at the two-year target.
const CUSTOMERS: u64 = 31_000;
/// Changes timed.
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
    let mut book = ContractRegistry::default();
    for number in 1..=CUSTOMERS {
        let applied = change(number, number).is_some_and(|change| book.apply(&change));
        assert!(applied, "change {number} was not applied");
    }
    let mut published = Arc::new(book.clone());
    let mut costs_us = Vec::new();
    for step in 1..=CHANGES {
        let Some(change) = change(CUSTOMERS + step, step * 97 % CUSTOMERS + 1) else {
            continue;
        };
        let start = Instant::now();
        book.apply(&change);
        published = Arc::new(book.clone());
        costs_us.push(start.elapsed().as_micros());
    }
    costs_us.sort_unstable();
    println!(
        "{CUSTOMERS} customers, {} changes applied and published: p50 {} us, worst {} us; now at {}",
        costs_us.len(),
        costs_us[costs_us.len() / 2],
        costs_us[costs_us.len() - 1],
        published.number()
    );
}
