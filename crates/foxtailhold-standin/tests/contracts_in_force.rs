//! An accepted contract is in force on every instance within [`FORCE_BOUND`] and never reverts.

mod common;

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use common::{Deployment, until};
use foxtailhold::ids::CustomerId;
use foxtailhold_http::client::{Call, HttpClient, Reuse};
use foxtailhold_operator::error::OperatorError;
use foxtailhold_standin::demo;
use http::Method;
use nix::sys::signal::Signal;
use serde_json::{Value, json};
use test_case::test_case;
use tokio::task::JoinSet;

/// An accepted contract must be in force on every instance within seconds.
const FORCE_BOUND: Duration = Duration::from_secs(6);

/// A key that the first contract does not have.
const NEW_KEY: &str = "granite-trail-new-key";
/// Callers that wait for an instance to wake up.
const CALLERS: usize = 8;
/// The instance that is frozen.
const FROZEN: usize = 2;

fn customer() -> CustomerId {
    "granite-trail".try_into().unwrap()
}

async fn set_faults(deployment: &Deployment, faults: Value) {
    let platform = deployment.platform.address("listening");
    let body = Bytes::from(faults.to_string());
    let sent = deployment.caller.send(
        platform,
        Method::POST,
        "/standin/faults",
        body,
        "application/json",
    );
    sent.await.unwrap();
}

async fn version_at(deployment: &Deployment, index: usize) -> u64 {
    let view = deployment.operator(index).contract(&customer()).await;
    view.map_or(0, |view| view.version)
}

async fn wait_until_in_force(deployment: &Deployment, indexes: &[usize], version: u64) {
    let start = Instant::now();
    until("the change to be in force", async || {
        for index in indexes {
            if version_at(deployment, *index).await != version {
                return false;
            }
        }
        true
    })
    .await;
    let took = start.elapsed();
    assert!(took < FORCE_BOUND, "version {version} took {took:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn of_racing_operators_one_wins_under_lost_answers_and_lagging_reads() {
    let deployment = Deployment::start(1, 3).await;
    for version in 0..6 {
        let faults = json!({ "lose_write_answers": version % 3, "read_lag_ms": 400 });
        set_faults(&deployment, faults).await;
        let mut racing = Vec::new();
        for index in 0..3 {
            let operator = deployment.operator(index);
            let document = demo::contract(100 + index as u32);
            racing.push(tokio::spawn(async move {
                operator.set_contract(&customer(), version, &document).await
            }));
        }
        let mut won = 0;
        for outcome in racing {
            match outcome.await.unwrap() {
                Ok(accepted) => {
                    assert_eq!(accepted.version, version + 1);
                    won += 1;
                }
                Err(OperatorError::Conflict { current, .. }) => assert_eq!(current, version + 1),
                Err(other) => panic!("{other}"),
            }
        }
        assert_eq!(won, 1, "at version {version}");
        wait_until_in_force(&deployment, &[0, 1, 2], version + 1).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn change_outlives_its_instance_with_the_store_down_and_reaches_a_restarted_one() {
    let mut deployment = Deployment::start(1, 3).await;
    deployment.set_demo_contract().await;
    let operator = deployment.operator(0);
    operator
        .set_contract(&customer(), 1, &demo::contract(7))
        .await
        .unwrap();
    deployment.entries[0].signal(Signal::SIGKILL);
    set_faults(&deployment, json!({ "store_down": true })).await;
    wait_until_in_force(&deployment, &[1, 2], 2).await;
    deployment.add_entry("entry-3", "keene-hall", &[]);
    wait_until_in_force(&deployment, &[1, 2, 3], 2).await;
    until("the list without the killed instance", async || {
        for index in 1..4 {
            let seen = deployment.listed_instances(index).await;
            if seen.len() != 3 || !seen.contains(&"entry-3".to_owned()) {
                return false;
            }
        }
        true
    })
    .await;
    let outage = Instant::now();
    while outage.elapsed() < Duration::from_secs(9) {
        for index in 1..4 {
            assert_eq!(deployment.listed_instances(index).await.len(), 3);
        }
        tokio::time::sleep(Duration::from_millis(300)).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn paused_instance_leaves_the_list_and_catches_up_without_reverting() {
    let deployment = Deployment::start(1, 3).await;
    deployment.set_demo_contract().await;
    deployment.entries[2].signal(Signal::SIGSTOP);
    until("the paused instance to leave the list", async || {
        deployment.listed_instances(0).await.len() == 2
    })
    .await;
    for version in 1..6 {
        let operator = deployment.operator(version as usize % 2);
        let document = demo::contract(10 + version as u32);
        operator
            .set_contract(&customer(), version, &document)
            .await
            .unwrap();
    }
    set_faults(&deployment, json!({ "read_lag_ms": 3000 })).await;
    deployment.entries[2].signal(Signal::SIGCONT);
    let resumed = Instant::now();
    let mut highest = [0; 3];
    while resumed.elapsed() < FORCE_BOUND {
        for (index, highest) in highest.iter_mut().enumerate() {
            let version = version_at(&deployment, index).await;
            assert!(version >= *highest, "instance {index} reverted");
            *highest = version;
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    assert_eq!(highest, [6; 3]);
    until("the resumed instance to be listed again", async || {
        deployment.listed_instances(0).await.len() == 3
    })
    .await;
}

async fn status(address: SocketAddr, path: &str, key: &str) -> u16 {
    let mut call = Call::new(Method::GET, address, path);
    call.bearer = Some(key);
    let client = HttpClient::new(Reuse::Fresh);
    client.call::<()>(&call, None).await.unwrap().0.as_u16()
}

/// What callers get who have waited for an instance to wake up.
async fn statuses_at_wake_up(deployment: &Deployment, path: &str, key: &'static str) -> Vec<u16> {
    let address = deployment.caller_address(FROZEN);
    let mut calls = JoinSet::new();
    for _ in 0..CALLERS {
        let path = path.to_owned();
        calls.spawn(async move { status(address, &path, key).await });
    }
    tokio::time::sleep(Duration::from_millis(500)).await;
    deployment.entries[FROZEN].signal(Signal::SIGCONT);
    calls.join_all().await
}

/// Guards against a final refusal by an instance that was frozen while the contract was changed.
#[test_case(NEW_KEY, false; "a new key")]
#[test_case(demo::API_KEY, true; "a model that is allowed now")]
#[tokio::test(flavor = "multi_thread")]
async fn what_a_new_contract_allows_is_not_refused_for_good_by_an_old_one(
    key: &'static str,
    is_for_model: bool,
) {
    let deployment = Deployment::start(1, 3).await;
    deployment.set_demo_contract().await;
    let models = deployment.caller.json(
        deployment.caller_address(0),
        Method::GET,
        "/v1/models",
        &Value::Null,
    );
    let models = models.await.unwrap();
    let path = match is_for_model {
        true => format!("/v1/models/{}", models["data"][0]["id"].as_str().unwrap()),
        false => "/v1/models".to_owned(),
    };
    let (operator, document) = (deployment.operator(0), demo::contract(10));
    let narrow = format!("{document}models = [\"another\"]\n");
    let wide = document.replace(
        &format!("{:?}", demo::API_KEY),
        &format!("{:?}, {NEW_KEY:?}", demo::API_KEY),
    );
    let customer = customer();
    let set = operator.set_contract(&customer, 1, &narrow);
    set.await.unwrap();
    wait_until_in_force(&deployment, &[0, 1, FROZEN], 2).await;
    deployment.entries[FROZEN].signal(Signal::SIGSTOP);
    tokio::time::sleep(FORCE_BOUND).await;
    let set = operator.set_contract(&customer, 2, &wide);
    set.await.unwrap();
    let statuses = statuses_at_wake_up(&deployment, &path, key).await;
    let is_final = |status: &u16| [401, 404].contains(status);
    assert!(!statuses.iter().any(is_final), "{statuses:?}");
    until("the new contract to be known", async || {
        status(deployment.caller_address(FROZEN), &path, key).await == 200
    })
    .await;
}
