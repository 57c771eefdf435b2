//! What limits and admission cost one instance: time for each request, memory for each customer.
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

/// Customers of the two-year target.
const CUSTOMERS: usize = 31_000;
/// The instance measured, home of all customers.
const ME: &str = "entry-0";
/// Requests of one measurement.
const REQUESTS: u32 = 2_000_000;
/// Bytes of a memory page.
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

/// Sends one request of a customer whose home is this instance.
fn admit(
    limits: &Limits,
    contract: &Contract,
    book: &ContractRegistry,
    now: MonoMs,
) -> Result<bool> {
    for _ in 0..2 {
        match limits.decide(contract, 16.0, LimitCheck::First, now) {
            Decision::Admitted(_) => return Ok(true),
            Decision::Refused(_) => return Ok(false),
            Decision::Wait(_) | Decision::Pause { .. } => {}
        }
        let ask = limits.due_request(&contract.customer, now);
        exchange(limits, ask.into_iter().collect(), book, now)?;
    }
    Ok(false)
}

/// Asks this instance as the home and takes its answer in.
fn exchange(
    limits: &Limits,
    asks: Vec<ShareRequest>,
    book: &ContractRegistry,
    now: MonoMs,
) -> Result<()> {
    let from = InstanceId::try_from(ME)?;
    let asks = ShareRequests {
        from,
        requests: asks,
    };
    let grants = limits.answer(&asks, book, now).grants;
    limits.apply_grants(&asks.requests, &grants, now);
    Ok(())
}

fn cost(
    name: &str,
    contracts: &[Arc<Contract>],
    limits: &Limits,
    book: &ContractRegistry,
) -> Result<()> {
    let start = Instant::now();
    let mut admitted = 0;
    for index in 0..REQUESTS {
        let contract = &contracts[index as usize * 7_919 % contracts.len()];
        admitted += u32::from(admit(limits, contract, book, MonoMs(10_000))?);
    }
    let cost_ns = start.elapsed().as_nanos() as f64 / f64::from(REQUESTS);
    println!("{name}: {cost_ns:.0} ns a request, {admitted} of {REQUESTS} admitted");
    Ok(())
}

#[tokio::main(flavor = "current_thread")]
async fn main() -> Result<()> {
    let mut book = ContractRegistry::default();
    let mut contracts = Vec::new();
    for index in 0..CUSTOMERS {
        let contract = contract(index)?;
        book.apply(&ContractChange {
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
    cost("limits, one customer", &contracts[..1], &limits, &book)?;
    cost(
        "limits, 1,000 customers",
        &contracts[..1_000],
        &limits,
        &book,
    )?;

    let before_bytes = resident_bytes()?;
    let now = MonoMs(10_000);
    for contract in &contracts {
        admit(&limits, contract, &book, now)?;
    }
    let used_bytes = resident_bytes()?.saturating_sub(before_bytes);
    println!(
        "all {CUSTOMERS} active with this instance as home of each: {} bytes a customer, {} in all",
        used_bytes / CUSTOMERS as u64,
        used_bytes
    );
    let later = now + (EXCHANGE_MS - 1);
    let start = Instant::now();
    let asks = limits.due_requests(later);
    println!(
        "one pass over {CUSTOMERS} active customers: {} asks in {:?}",
        asks.len(),
        start.elapsed()
    );
    exchange(&limits, asks, &book, later)?;
    for pass in 1..20 {
        let later = now + pass * (IDLE_MS + EXCHANGE_MS);
        let asks = limits.due_requests(later);
        exchange(&limits, asks, &book, later)?;
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
