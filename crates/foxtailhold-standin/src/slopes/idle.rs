//! Cost of instances while no caller sends requests: CPU, memory, peer traffic and store calls.

use std::collections::HashSet;
use std::time::Duration;

use foxtailhold::replicas::BackendKind;
use serde_json::json;

use crate::cluster::any_port;
use crate::demo::{API_KEY, Caller, batch_input};
use crate::deployment::{Deployment, DeploymentShape};
use crate::engine::InstantEngine;
use crate::error::Result;
use crate::load::scenario::GRANITE_TRAIL;
use crate::platform::handler::StoreCounts;
use crate::process::ProcessUsage;
use crate::registry::{backend, change_fleet};
use crate::slopes::sockets;

/// Wait before a measurement, in which the deployment becomes steady.
const SETTLE_MS: u64 = 6_000;
/// Number of entries added to the fleet list in one change.
const FLEET_CHANGE_ENTRIES: usize = 100;

fn shape(instances: usize, engine: &[&str]) -> DeploymentShape {
    DeploymentShape {
        instances,
        engines: 1,
        services: 0,
        zones: GRANITE_TRAIL.zones,
        engine_arguments: engine.iter().map(|text| (*text).to_owned()).collect(),
        entry_variables: vec![("FOXTAILHOLD_WORKER_THREADS".to_owned(), "2".to_owned())],
    }
}

struct Snapshot {
    usage: ProcessUsage,
    peer_bytes: u64,
    store: StoreCounts,
}

async fn snapshot(deployment: &Deployment) -> Result<Snapshot> {
    let mut ports = HashSet::new();
    let mut usage = ProcessUsage::default();
    for instance in &deployment.instances {
        ports.insert(instance.address("peer_address")?.port());
        let instance_usage = instance.usage()?;
        usage.cpu_s += instance_usage.cpu_s;
        usage.rss_bytes += instance_usage.rss_bytes;
    }
    let platform = deployment.platform_address()?;
    Ok(Snapshot {
        usage,
        peer_bytes: sockets::bytes_sent(&ports)?,
        store: deployment.read(platform, "/standin/counts").await?,
    })
}

/// Observes the instances for `seconds` and prints the average cost of one instance.
async fn measure(
    deployment: &Deployment,
    dimension: &str,
    number: usize,
    seconds: u64,
) -> Result<()> {
    tokio::time::sleep(Duration::from_millis(SETTLE_MS)).await;
    let before = snapshot(deployment).await?;
    tokio::time::sleep(Duration::from_secs(seconds)).await;
    let after = snapshot(deployment).await?;
    let instances = deployment.instances.len() as f64;
    let instance_seconds = instances * seconds as f64;
    let reads = after.store.table_reads - before.store.table_reads;
    let writes = after.store.transactions - before.store.transactions;
    println!(
        "{dimension:<10} {number}: of one instance {:.3}% of a core, {:.1} MB, {:.2} KB/s to peers, \
         {:.2} table reads/s, {:.2} transactions/s",
        (after.usage.cpu_s - before.usage.cpu_s) / instance_seconds * 100.0,
        after.usage.rss_bytes as f64 / 1e6 / instances,
        after.peer_bytes.saturating_sub(before.peer_bytes) as f64 / 1e3 / instance_seconds,
        reads as f64 / instance_seconds,
        writes as f64 / instance_seconds,
    );
    Ok(())
}

/// Measures `number` idle instances with one engine.
pub async fn instances(number: usize, seconds: u64) -> Result<()> {
    let deployment = Deployment::start(shape(number, &[])).await?;
    measure(&deployment, "instances", number, seconds).await?;
    deployment.close();
    Ok(())
}

/// Measures one idle instance with `number` engines, of which all but one run in this process.
pub async fn replicas(number: usize, seconds: u64) -> Result<()> {
    let deployment = Deployment::start(shape(1, &[])).await?;
    let platform = deployment.platform_address()?;
    let mut engine_servers = Vec::new();
    let mut entries = Vec::new();
    for index in 1..number {
        let server = InstantEngine.serve(any_port()).await?;
        let zone = GRANITE_TRAIL.zones[index % 3];
        let id = format!("replica-{index}");
        let kind = BackendKind::Engine;
        entries.push(backend(&id, kind, server.address(), zone, "ranger")?);
        engine_servers.push(server);
    }
    for part in entries.chunks(FLEET_CHANGE_ENTRIES) {
        let change = crate::platform::fleet::FleetChange {
            backends: part.to_vec(),
            ..Default::default()
        };
        change_fleet(platform, &change).await?;
    }
    measure(&deployment, "replicas", number, seconds).await?;
    for server in engine_servers {
        server.close(0).await;
    }
    deployment.close();
    Ok(())
}

/// Measures three instances with `number` open jobs whose items wait at an engine that makes no
/// progress.
pub async fn jobs(number: usize, seconds: u64) -> Result<()> {
    let engine = ["--step-us", "600000000"];
    let deployment = Deployment::start(shape(3, &engine)).await?;
    let document = format!(
        "customer = \"granite-trail\"\napi_keys = [\"{API_KEY}\"]\nrequests_per_s = 100000.0\n\
         burst_requests = 100000\nconcurrent_requests = 100000\n"
    );
    deployment
        .set_contract(GRANITE_TRAIL.name, &document)
        .await?;
    let addresses = deployment.caller_addresses()?;
    let caller = Caller::default();
    let file = caller.upload(addresses[0], &batch_input(1)).await?;
    for job in 0..number {
        let request = json!({
            "input_file_id": file,
            "endpoint": "/v1/chat/completions",
            "completion_window": "24h",
            "metadata": { "job": job.to_string() },
        });
        let address = addresses[job % addresses.len()];
        let method = http::Method::POST;
        let sent = caller.json(address, method, "/v1/batches", &request);
        sent.await?;
    }
    measure(&deployment, "jobs", number, seconds).await?;
    deployment.close();
    Ok(())
}
