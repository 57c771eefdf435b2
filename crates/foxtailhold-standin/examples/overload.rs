//! Measures the goodput of a small embedded deployment below, at and above the capacity of its
//! engines.
//!
//! `cargo run --release -p foxtailhold-standin --example overload`

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use foxtailhold_http::client::{Call, HttpClient, Reuse};
use foxtailhold_operator::client::OperatorClient;
use foxtailhold_standin::cluster::{Cluster, ClusterShape, TOKEN};
use foxtailhold_standin::demo::{API_KEY, chat, contract};
use foxtailhold_standin::engine::EngineShape;
use http::Method;
use miette::{IntoDiagnostic, Result};
use tokio::task::JoinSet;

/// Duration of a phase.
const PHASE_S: u64 = 8;
/// Tokens of the answer to each request.
const TOKENS: u64 = 16;
/// Maximum time of an answer that counts as served.
const RESPONSE_LIMIT_MS: u128 = 3_000;
/// Rates of arrivals, one for each phase in order. The last phase shows the recovery from
/// overload.
const RATES_PER_S: [u64; 7] = [100, 140, 180, 220, 280, 360, 140];

/// Sends a request. Returns whether the whole answer was received in time, and how long it took in
/// ms.
async fn is_served(client: HttpClient, address: SocketAddr, number: u64) -> (bool, u128) {
    let start = Instant::now();
    let body = Bytes::from(chat(&format!("question {number}"), TOKENS, false).to_string());
    let mut call = Call::new(Method::POST, address, "/v1/chat/completions");
    call.bearer = Some(API_KEY);
    call.timeout_ms = 30_000;
    let answer = client.call_bytes(&call, body, "application/json").await;
    let took_ms = start.elapsed().as_millis();
    let served = answer.is_ok_and(|(status, _)| status.is_success());
    (served && took_ms <= RESPONSE_LIMIT_MS, took_ms)
}

async fn phase(client: &HttpClient, addresses: &[SocketAddr], rate_per_s: u64) {
    let mut sent = JoinSet::new();
    let mut ticks = tokio::time::interval(Duration::from_micros(1_000_000 / rate_per_s));
    for number in 0..rate_per_s * PHASE_S {
        ticks.tick().await;
        let address = addresses[number as usize % addresses.len()];
        sent.spawn(is_served(client.clone(), address, number));
    }
    let mut took_ms = Vec::new();
    while let Some(Ok((served, ms))) = sent.join_next().await {
        if served {
            took_ms.push(ms);
        }
    }
    took_ms.sort_unstable();
    let p95_ms = took_ms.get(took_ms.len() * 95 / 100).copied();
    println!(
        "{rate_per_s:>4} a second: {:>6.1} served a second, p95 {} ms",
        took_ms.len() as f64 / PHASE_S as f64,
        p95_ms.unwrap_or_default()
    );
}

#[tokio::main]
async fn main() -> Result<()> {
    let shape = ClusterShape {
        engines: 2,
        engine: EngineShape {
            slots: 8,
            step_us: 4_000,
            step_per_request_us: 250,
            ..EngineShape::default()
        },
        ..ClusterShape::default()
    };
    let cluster = Cluster::start(shape).await.into_diagnostic()?;
    let mut addresses = Vec::new();
    for instance in cluster.instances.iter().flatten() {
        addresses.push(instance.shared().settings.caller_address);
    }
    tokio::time::sleep(Duration::from_secs(4)).await;
    let Some(first) = cluster.instance(0) else {
        return Ok(());
    };
    let operator = OperatorClient::new(first.shared().settings.operator_address, TOKEN);
    let customer = "granite-trail".try_into().into_diagnostic()?;
    operator
        .set_contract(&customer, 0, &contract(10_000))
        .await
        .into_diagnostic()?;
    tokio::time::sleep(Duration::from_secs(4)).await;
    let client = HttpClient::new(Reuse::Pooled);
    for rate_per_s in RATES_PER_S {
        phase(&client, &addresses, rate_per_s).await;
    }
    Ok(())
}
