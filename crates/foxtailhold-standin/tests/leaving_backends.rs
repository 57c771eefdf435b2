//! A leaving backend server gets no new work after a few seconds, from any instance; a returned one
//! is used again.

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
/// "A few seconds."
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

/// Requests that the engine itself says it ran.
async fn ran(deployment: &Deployment, engine: usize) -> usize {
    let address = deployment.engines[engine].address("listening");
    let record = deployment
        .caller
        .json(address, Method::GET, "/standin/record", &Value::Null);
    record.await.unwrap().as_array().unwrap().len()
}

/// Sends some requests through every instance.
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

async fn is_used(deployment: &Deployment, engine: usize) {
    let before = ran(deployment, engine).await;
    until("the engine to be used", async || {
        call_all(deployment, 4).await;
        ran(deployment, engine).await > before
    })
    .await;
}

async fn gets_nothing(deployment: &Deployment, engine: usize, rounds: usize) {
    let before = ran(deployment, engine).await;
    call_all(deployment, rounds).await;
    assert_eq!(ran(deployment, engine).await, before);
}

#[tokio::test(flavor = "multi_thread")]
async fn mark_of_the_list_holds_while_the_list_is_lost_and_ends_when_it_returns() {
    let deployment = Deployment::start(2, 3).await;
    deployment.with_contract().await;
    is_used(&deployment, 0).await;
    set_in_list(&deployment, 0, "leaving").await;
    tokio::time::sleep(FEW_SECONDS).await;
    post(
        &deployment,
        "/standin/faults",
        json!({ "fleet_down": true }),
    )
    .await;
    for _ in 0..14 {
        gets_nothing(&deployment, 0, 10).await;
        tokio::time::sleep(Duration::from_secs(1)).await;
    }
    set_in_list(&deployment, 0, "live").await;
    gets_nothing(&deployment, 0, 10).await;
    post(&deployment, "/standin/faults", json!({})).await;
    is_used(&deployment, 0).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn word_of_one_peer_wins_over_list_and_report_until_it_expires() {
    let deployment = Deployment::start(2, 3).await;
    deployment.with_contract().await;
    is_used(&deployment, 1).await;
    let peers = PeerClient::default();
    let mark = LeavingNotice {
        backend: "engine-1".try_into().unwrap(),
        number: 1,
    };
    let told = PeerRequest::BackendsLeaving(vec![mark]);
    let address = deployment.entries[0].address("peer_address");
    let answer = peers.call(address, &told, 2_000).await;
    assert_eq!(answer.unwrap(), PeerAnswer::Done);
    tokio::time::sleep(FEW_SECONDS).await;
    gets_nothing(&deployment, 1, 20).await;
    is_used(&deployment, 1).await;
}
