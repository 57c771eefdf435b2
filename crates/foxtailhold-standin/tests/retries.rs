//! When all engines fail, retries stay within their budget, so the engines see few more requests
//! than callers send.

mod common;

use std::time::Instant;

use bytes::Bytes;
use common::Deployment;
use common::answers::{CHAT, set_faults};
use foxtailhold::retry::{MAX_SAVED_RETRIES, MIN_RETRIES_PER_S, RETRIES_PER_FIRST_ATTEMPT};
use foxtailhold_standin::demo::chat;
use foxtailhold_standin::engine::EngineFaults;
use futures_util::future::join_all;
use http::Method;
use serde_json::Value;

#[tokio::test(flavor = "multi_thread")]
async fn retries_stay_within_their_budget_when_all_engines_fail() {
    let deployment = Deployment::start(3, 1).await;
    deployment.set_demo_contract().await;
    let faults = EngineFaults {
        fail: true,
        ..EngineFaults::default()
    };
    for engine in 0..3 {
        set_faults(&deployment, engine, &faults).await;
    }
    let (start, address, caller) = (
        Instant::now(),
        deployment.caller_address(0),
        &deployment.caller,
    );
    let requests = 1_000;
    for round in 0..requests / 50 {
        let asks = (0..50).map(async |number| {
            let body = chat(&format!("request {round} {number}"), 4, false);
            let body = Bytes::from(body.to_string());
            let sent = caller.send(address, Method::POST, CHAT, body, "application/json");
            assert!(sent.await.is_err());
        });
        join_all(asks).await;
    }
    let took = start.elapsed().as_secs_f64();
    let mut sends = 0;
    for engine in &deployment.engines {
        let (address, path) = (engine.address("listening"), "/standin/record");
        let record = caller.json(address, Method::GET, path, &Value::Null).await;
        sends += record.unwrap().as_array().unwrap().len();
    }
    let retries = f64::from(requests) * RETRIES_PER_FIRST_ATTEMPT
        + MAX_SAVED_RETRIES
        + took * MIN_RETRIES_PER_S;
    println!("{requests} requests, {sends} sends, {took:.1} s");
    assert!(
        sends as f64 <= f64::from(requests) + retries + 1.0,
        "{sends} sends"
    );
}
