//! A leaving backend server gets no new requests from any instance after a few seconds, and is used
//! again once it has returned.

mod common;

use std::time::Duration;

use bytes::Bytes;
use common::{Deployment, until};
use foxtailhold::leaving::LeavingNotice;
use foxtailhold_peer::{PeerAnswer, PeerClient, PeerRequest};
use foxtailhold_standin::demo::chat;
use http::Method;
use serde_json::{Value, json};

const CHAT: &str = "/v1/chat/completions";
/// Time after which no instance may send requests to a leaving backend server.
const FEW_SECONDS: Duration = Duration::from_secs(3);

async fn post(deployment: &Deployment, path: &str, body: Value) {
    let platform = deployment.platform.address("listening");
    let body = Bytes::from(body.to_string());
    let sent = deployment
        .caller
        .send(platform, Method::POST, path, body, "application/json");
    sent.await.unwrap();
}

async fn set_in_list(deployment: &Deployment, engine: usize, state: &str) {
    let backend = json!({
        "id": format!("engine-{engine}"),
        "kind": "engine",
        "address": deployment.engines[engine].address("listening"),
        "availability_zone": "concord-hall",
        "state": state,
        "targets": ["ranger"],
    });
    post(
        deployment,
        "/standin/fleet",
        json!({ "backends": [backend] }),
    )
    .await;
}

/// Number of requests in the engine's own record.
async fn recorded_requests(deployment: &Deployment, engine: usize) -> usize {
    let address = deployment.engines[engine].address("listening");
    let record = deployment
        .caller
        .json(address, Method::GET, "/standin/record", &Value::Null);
    record.await.unwrap().as_array().unwrap().len()
}

/// Sends `rounds` requests through every instance.
async fn call_all(deployment: &Deployment, rounds: usize) {
    for round in 0..rounds {
        for index in 0..deployment.entries.len() {
            let body = chat(&format!("round {round} at {index}"), 4, false);
            let address = deployment.caller_address(index);
            let answer = deployment.caller.json(address, Method::POST, CHAT, &body);
            answer.await.unwrap();
        }
    }
}

async fn wait_until_used(deployment: &Deployment, engine: usize) {
    let before = recorded_requests(deployment, engine).await;
    until("the engine to be used", async || {
        call_all(deployment, 4).await;
        recorded_requests(deployment, engine).await > before
    })
    .await;
}

async fn assert_unused(deployment: &Deployment, engine: usize, rounds: usize) {
    let before = recorded_requests(deployment, engine).await;
    call_all(deployment, rounds).await;
    assert_eq!(recorded_requests(deployment, engine).await, before);
}

#[tokio::test(flavor = "multi_thread")]
async fn leaving_state_of_the_fleet_list_holds_while_the_list_is_unavailable() {
    let deployment = Deployment::start(2, 3).await;
    deployment.set_demo_contract().await;
    wait_until_used(&deployment, 0).await;
    set_in_list(&deployment, 0, "leaving").await;
    tokio::time::sleep(FEW_SECONDS).await;
    post(
        &deployment,
        "/standin/faults",
        json!({ "fleet_down": true }),
    )
    .await;
    for _ in 0..14 {
        assert_unused(&deployment, 0, 10).await;
        tokio::time::sleep(Duration::from_secs(1)).await;
    }
    set_in_list(&deployment, 0, "live").await;
    assert_unused(&deployment, 0, 10).await;
    post(&deployment, "/standin/faults", json!({})).await;
    wait_until_used(&deployment, 0).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn leaving_notice_of_a_peer_overrides_list_and_load_report_until_it_expires() {
    let deployment = Deployment::start(2, 3).await;
    deployment.set_demo_contract().await;
    wait_until_used(&deployment, 1).await;
    let peers = PeerClient::default();
    let notice = LeavingNotice {
        backend: "engine-1".try_into().unwrap(),
        number: 1,
    };
    let request = PeerRequest::BackendsLeaving(vec![notice]);
    let address = deployment.entries[0].address("peer_address");
    let answer = peers.call(address, &request, 2_000).await;
    assert_eq!(answer.unwrap(), PeerAnswer::Done);
    tokio::time::sleep(FEW_SECONDS).await;
    assert_unused(&deployment, 1, 20).await;
    wait_until_used(&deployment, 1).await;
}
