//! A large batch input is accepted, completed and read back.
//!
//! `FOXTAILHOLD_BATCH_ITEMS=140000` runs the full size.

mod batch_deployment;
mod common;

use std::time::Instant;

use batch_deployment::{Job, platform};
use common::Deployment;
use foxtailhold_platform::TableService;
use http::Method;
use serde_json::Value;

const DEFAULT_ITEMS: usize = 6_000;
/// At most one in this many items may be preempted after its last token was produced, and run
/// again.
const REPEATED_ITEMS_DIVISOR: usize = 50;

async fn transactions(deployment: &Deployment) -> u64 {
    let address = deployment.platform.address("listening");
    let caller = &deployment.caller;
    let counts = caller.json(address, Method::GET, "/standin/counts", &Value::Null);
    counts.await.unwrap()["transactions"].as_u64().unwrap()
}

#[tokio::test(flavor = "multi_thread")]
async fn large_input_is_accepted_finished_and_read_back() {
    let items = std::env::var("FOXTAILHOLD_BATCH_ITEMS");
    let items = items.map_or(DEFAULT_ITEMS, |items| items.parse().unwrap());
    let mut deployment = Deployment::start(0, 0).await;
    for index in 0..4 {
        let more = ["--slots", "64", "--step-us", "500"];
        deployment.add_engine(&format!("engine-{index}"), "concord-hall", &more);
    }
    for index in 0..3 {
        let more = ["--batch-slots", "240"];
        deployment.add_entry(&format!("entry-{index}"), "concord-hall", &more);
    }
    deployment.settle(3).await;
    deployment.set_demo_contract().await;
    let start = Instant::now();
    let before = transactions(&deployment).await;
    let job = Job::start(&deployment, 0, "large", items, 1).await;
    println!("accepted after {} ms", start.elapsed().as_millis());
    let ended = job.wait(1, &["completed"]).await;
    println!("completed after {} ms", start.elapsed().as_millis());
    assert_eq!(ended["request_counts"]["completed"], items);
    assert_eq!(ended["request_counts"]["failed"], 0);
    let writes = transactions(&deployment).await - before;
    println!("figure: {writes} transactions for {items} items");
    job.check_output(2).await;
    println!("read back after {} ms", start.elapsed().as_millis());
    let repeated = job.finished_attempts().await - items;
    println!("{repeated} items preempted after their last token and run again");
    assert!(
        repeated <= items / REPEATED_ITEMS_DIVISOR,
        "{repeated} items were run again"
    );
    let open = platform(&deployment).scan("job_open", "", "", 10).await;
    assert!(open.unwrap().is_empty());
}
