//! Helpers shared by the tests of the state machines.
#![allow(dead_code)]

pub mod shares;
pub mod slots;

use std::sync::Arc;

use foxtailhold::contract_registry::ContractChange;
use proptest::test_runner::{Config, RngSeed};

/// Seed that is used unless the number of cases is overridden.
const SEED: u64 = 0x0F0C_7A11;

/// Runs `cases` cases with a fixed seed, or the number in `FOXTAILHOLD_FUZZ_CASES` with a random
/// seed.
pub fn fuzz_config(cases: u32) -> Config {
    let longer = std::env::var("FOXTAILHOLD_FUZZ_CASES");
    let longer = longer.ok().and_then(|text| text.parse().ok());
    Config {
        cases: longer.unwrap_or(cases),
        rng_seed: longer.map_or(RngSeed::Fixed(SEED), |_| RngSeed::Random),
        failure_persistence: None,
        max_shrink_iters: 2_000,
        ..Config::default()
    }
}

/// A contract change that gives `customer` a contract with one API key.
pub fn change(number: u64, customer: &str, version: u64, key: &str) -> ContractChange {
    let document =
        format!("customer = \"{customer}\"\napi_keys = [\"{key}\"]\nrequests_per_s = {number}.0\n");
    ContractChange {
        number,
        change_id: format!("entry-0-{number}"),
        customer: customer.try_into().unwrap(),
        version,
        contract: Some(Arc::new(document.as_str().try_into().unwrap())),
    }
}
