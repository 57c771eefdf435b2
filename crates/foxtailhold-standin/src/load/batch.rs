//! The batch jobs of a load measurement. They are submitted before the first phase and have more
//! items than can be finished during the measurement.

use std::net::SocketAddr;

use http::Method;
use serde_json::json;

use crate::demo::{Caller, chat};
use crate::engine::counters::BATCH_MARKER;
use crate::error::Result;
use crate::load::scenario::Workload;

/// Number of jobs; enough for each instance to own some.
const JOBS: usize = 24;
/// Number of items of each job.
const ITEMS_PER_JOB: usize = 1_500;

fn input(workload: &Workload, job: usize) -> String {
    let mut text = String::new();
    for item in 0..ITEMS_PER_JOB {
        let question = format!("{BATCH_MARKER} {job}-{item}: summary of the day, please");
        let line = json!({
            "custom_id": format!("{job}-{item}"),
            "method": "POST",
            "url": "/v1/chat/completions",
            "body": chat(&question, workload.item_tokens, false),
        });
        text.push_str(&line.to_string());
        text.push('\n');
    }
    text
}

/// Submits the batch jobs, each to the next instance in `addresses`.
pub async fn submit(workload: &Workload, addresses: &[SocketAddr]) -> Result<()> {
    let caller = Caller::default();
    for job in 0..JOBS {
        let address = addresses[job % addresses.len()];
        let file = caller.upload(address, &input(workload, job)).await?;
        let request = json!({
            "input_file_id": file,
            "endpoint": "/v1/chat/completions",
            "completion_window": "24h",
        });
        let sent = caller.json(address, Method::POST, "/v1/batches", &request);
        sent.await?;
    }
    Ok(())
}
