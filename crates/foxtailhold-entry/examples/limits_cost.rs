//! Measures what limits and admission cost one instance: time per request and memory per customer.
//!
//! `cargo run --release -p foxtailhold-entry --example limits_cost`

use std::error::Error;
use std::sync::Arc;
use std::time::Instant;

use foxtailhold::contract::Contract;
use foxtailhold::contract_registry::{ContractChange, ContractRegistry};
use foxtailhold::ids::{InstanceId, TargetName};
use foxtailhold::limits::{EXCHANGE_MS, IDLE_MS, ShareRequest, ShareRequests};
use foxtailhold::time::MonoMs;
use foxtailhold_entry::admission::Admission;
use foxtailhold_entry::limits::{Decision, LimitCheck, Limits};
use foxtailhold_http::clock::Clock;

/// Number of customers that the system must be able to hold.
const CUSTOMERS: usize = 31_000;
/// The measured instance, which is the limit coordinator of all customers.
const ME: &str = "entry-0";
/// Requests per measurement.
const REQUESTS: u32 = 2_000_000;
/// Size of a memory page.
const PAGE_BYTES: u64 = 4_096;

type Result<T> = std::result::Result<T, Box<dyn Error>>;

fn contract(index: usize) -> Result<Arc<Contract>> {
    let document = format!(
        "customer = \"customer-{index}\"\napi_keys = [\"customer-{index}-key\"]\n\
         requests_per_s = 1000000000.0\nburst_requests = 1000000000\n\
         concurrent_requests = 1000000\ntokens_per_s = 1000000000000.0\n"
    );
    Ok(Arc::new(Contract::try_from(document.as_str())?))
}

/// Resident bytes of this process.
fn resident_bytes() -> Result<u64> {
    let statm = std::fs::read_to_string("/proc/self/statm")?;
    let pages = statm.split_whitespace().nth(1).unwrap_or("0");
    Ok(pages.parse::<u64>()? * PAGE_BYTES)
}

/// Admits one request of a customer whose limit coordinator is this instance.
fn admit(
    limits: &Limits,
    contract: &Contract,
    registry: &ContractRegistry,
    now: MonoMs,
) -> Result<bool> {
    for _ in 0..2 {
        match limits.decide(contract, 16.0, LimitCheck::First, now) {
            Decision::Admitted(_) => return Ok(true),
            Decision::Refused(_) => return Ok(false),
            Decision::Wait(_) | Decision::Pause { .. } => {}
        }
        let request = limits.due_request(&contract.customer, now);
        exchange(limits, request.into_iter().collect(), registry, now)?;
    }
    Ok(false)
}

/// Sends share requests to this instance as the coordinator and applies its grants.
fn exchange(
    limits: &Limits,
    requests: Vec<ShareRequest>,
    registry: &ContractRegistry,
    now: MonoMs,
) -> Result<()> {
    let from = InstanceId::try_from(ME)?;
    let requests = ShareRequests { from, requests };
    let grants = limits.grant_shares(&requests, registry, now).grants;
    limits.apply_grants(&requests.requests, &grants, now);
    Ok(())
}

fn cost(
    name: &str,
    contracts: &[Arc<Contract>],
    limits: &Limits,
    registry: &ContractRegistry,
) -> Result<()> {
    let start = Instant::now();
    let mut admitted = 0;
    for index in 0..REQUESTS {
        let contract = &contracts[index as usize * 7_919 % contracts.len()];
        admitted += u32::from(admit(limits, contract, registry, MonoMs(10_000))?);
    }
    let cost_ns = start.elapsed().as_nanos() as f64 / f64::from(REQUESTS);
    println!("{name}: {cost_ns:.0} ns a request, {admitted} of {REQUESTS} admitted");
    Ok(())
}

#[tokio::main(flavor = "current_thread")]
async fn main() -> Result<()> {
    let mut registry = ContractRegistry::default();
    let mut contracts = Vec::new();
    for index in 0..CUSTOMERS {
        let contract = contract(index)?;
        registry.apply(&ContractChange {
            number: index as u64 + 1,
            change_id: String::new(),
            customer: contract.customer.clone(),
            version: 1,
            contract: Some(contract.clone()),
        });
        contracts.push(contract);
    }
    let clock = Clock::default();
    let limits = Limits::new(ME.try_into()?, MonoMs(0), clock.wall());
    cost("limits, one customer", &contracts[..1], &limits, &registry)?;
    cost(
        "limits, 1,000 customers",
        &contracts[..1_000],
        &limits,
        &registry,
    )?;

    let before_bytes = resident_bytes()?;
    let now = MonoMs(10_000);
    for contract in &contracts {
        admit(&limits, contract, &registry, now)?;
    }
    let used_bytes = resident_bytes()?.saturating_sub(before_bytes);
    println!(
        "all {CUSTOMERS} active with this instance as home of each: {} bytes a customer, {} in all",
        used_bytes / CUSTOMERS as u64,
        used_bytes
    );
    let later = now + (EXCHANGE_MS - 1);
    let start = Instant::now();
    let requests = limits.due_requests(later);
    println!(
        "one pass over {CUSTOMERS} active customers: {} asks in {:?}",
        requests.len(),
        start.elapsed()
    );
    exchange(&limits, requests, &registry, later)?;
    for pass in 1..20 {
        let later = now + pass * (IDLE_MS + EXCHANGE_MS);
        let requests = limits.due_requests(later);
        exchange(&limits, requests, &registry, later)?;
        limits.sweep(later);
    }
    println!("at rest: {} customers in memory", limits.customers());

    let model: TargetName = "ranger".try_into()?;
    let admission = Admission::new(clock);
    let start = Instant::now();
    for _ in 0..REQUESTS {
        drop(admission.acquire(&model, &contracts[0], None).await?);
    }
    let cost_ns = start.elapsed().as_nanos() as f64 / f64::from(REQUESTS);
    println!("admission with room: {cost_ns:.0} ns a request");
    Ok(())
}
