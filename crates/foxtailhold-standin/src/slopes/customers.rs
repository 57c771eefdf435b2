//! Memory and update time of a contract registry with many customers, measured in this process.

use std::sync::Arc;
use std::time::Instant;

use foxtailhold::contract::Contract;
use foxtailhold::contract_registry::{ContractChange, ContractRegistry};
use foxtailhold::ids::CustomerId;

use crate::error::{Result, StandinError};
use crate::load::report::median;
use crate::process::resident_bytes;

/// Number of changes that are timed after all customers have a contract.
const TIMED_CHANGES: u64 = 50;

fn change(number: u64, customer: u64, version: u64) -> Result<ContractChange> {
    let name = format!("workspace-{customer}");
    let document = format!(
        "customer = \"{name}\"\napi_keys = [\"{name}-first-key\", \"{name}-second-key\"]\n\
         requests_per_s = 50.0\nmodels = [\"ranger\", \"warden\"]\n"
    );
    let contract = Contract::try_from(document.as_str()).map_err(|error| StandinError::Check {
        step: "read a contract",
        detail: error.to_string(),
    })?;
    Ok(ContractChange {
        number,
        change_id: format!("change-{number}"),
        customer: CustomerId::try_from(name.as_str())?,
        version,
        contract: Some(Arc::new(contract)),
    })
}

/// Fills a contract registry, then times changes as an instance applies them: update the registry
/// and publish a copy.
///
/// The caller must keep the returned registry during later measurements: freed memory would be
/// reused and hide the memory that the next registry takes.
pub fn run(customers: u64) -> Result<ContractRegistry> {
    let before = resident_bytes(std::process::id())?;
    let mut registry = ContractRegistry::default();
    let mut number = 0;
    for customer in 0..customers {
        number += 1;
        registry.apply(&change(number, customer, 1)?);
    }
    let grown = resident_bytes(std::process::id())?.saturating_sub(before);
    let mut apply_us = Vec::new();
    let mut published = Arc::new(registry.clone());
    for timed in 0..TIMED_CHANGES {
        number += 1;
        let next = change(number, timed % customers, 2)?;
        let start = Instant::now();
        registry.apply(&next);
        published = Arc::new(registry.clone());
        apply_us.push(start.elapsed().as_micros() as f64);
    }
    println!(
        "customers  {customers}: {:.2} MB, {:.2} KB each, change applied and published in {:.0} µs",
        grown as f64 / 1e6,
        grown as f64 / 1e3 / customers as f64,
        median(apply_us)
    );
    drop(published);
    Ok(registry)
}
