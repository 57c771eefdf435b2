//! The bench command: measures the latency that one instance adds, its throughput on one core, and
//! its memory for each open stream.

pub mod client;
pub mod latency;
pub mod memory;
pub mod throughput;

use crate::cli::BenchCommand;
use crate::demo::API_KEY;
use crate::deployment::{Deployment, DeploymentShape};
use crate::error::Result;
use crate::load::scenario::GRANITE_TRAIL;

/// Runs the selected parts, each with a new deployment.
pub async fn run(command: &BenchCommand) -> Result<()> {
    let all = command.part == "all";
    for _ in 0..command.rounds {
        if all || command.part == "latency" {
            latency::run(command).await?;
        }
        if all || command.part == "throughput" {
            throughput::run(command).await?;
        }
        if all || command.part == "memory" {
            memory::run(command).await?;
        }
    }
    Ok(())
}

/// Starts one instance with `worker_threads` threads and one engine with the additional arguments
/// `engine`, and sets a contract whose limits no benchmark reaches.
pub(crate) async fn start(worker_threads: u64, engine: &[&str]) -> Result<Deployment> {
    let threads = worker_threads.to_string();
    let shape = DeploymentShape {
        instances: 1,
        engines: 1,
        services: 0,
        zones: GRANITE_TRAIL.zones,
        engine_arguments: engine.iter().map(|text| (*text).to_owned()).collect(),
        entry_variables: vec![("FOXTAILHOLD_WORKER_THREADS".to_owned(), threads)],
    };
    let deployment = Deployment::start(shape).await?;
    let document = format!(
        "customer = \"granite-trail\"\napi_keys = [\"{API_KEY}\"]\nrequests_per_s = 10000000.0\n\
         burst_requests = 10000000\nconcurrent_requests = 1000000\n\
         tokens_per_s = 1000000000000.0\n"
    );
    deployment
        .set_contract(GRANITE_TRAIL.name, &document)
        .await?;
    Ok(deployment)
}
