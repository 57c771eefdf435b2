//! Orders to engines in separate processes: one issuer at a time, and no older order takes effect
//! after a newer one.

mod common;

use std::net::SocketAddr;
use std::process::Command;
use std::time::{Duration, Instant};

use bytes::Bytes;
use common::{Deployment, TOKEN, program, until};
use foxtailhold::ids::BackendId;
use foxtailhold::orders::{EngineSetup, EngineState, FencingCheck, Role};
use foxtailhold_standin::engine::orders::{OrderFaults, SeenOrder};
use foxtailhold_standin::platform::PlatformFaults;
use http::Method;
use nix::sys::signal::Signal;
use serde::de::DeserializeOwned;
use serde_json::Value;
use test_case::test_case;

const ENGINE: &str = "engine-0";

fn engine_id() -> BackendId {
    ENGINE.try_into().unwrap()
}

fn setup(version: &str) -> EngineSetup {
    EngineSetup {
        model: "ranger".try_into().unwrap(),
        version: version.to_owned(),
        adapters: Vec::new(),
        role: Role::Mixed,
    }
}

async fn start(fencing: FencingCheck) -> Deployment {
    let mut deployment = Deployment::start(0, 0).await;
    let (flags, checking): (&[&str], _) = match fencing {
        FencingCheck::Enforced => (&[], "all"),
        FencingCheck::Ignored => (&["--ignores-fencing"], "none"),
    };
    deployment.add_engine(ENGINE, "concord-hall", flags);
    for index in 0..3 {
        let id = format!("entry-{index}");
        deployment.add_entry(&id, "concord-hall", &["--checking-engines", checking]);
    }
    deployment.settle(3).await;
    deployment
}

async fn get<T: DeserializeOwned>(deployment: &Deployment, address: SocketAddr, path: &str) -> T {
    let answer = deployment
        .caller
        .json(address, Method::GET, path, &Value::Null);
    serde_json::from_value(answer.await.unwrap()).unwrap()
}

async fn post<T: serde::Serialize>(
    deployment: &Deployment,
    address: SocketAddr,
    path: &str,
    value: &T,
) {
    let body = Bytes::from(serde_json::to_vec(value).unwrap());
    let sent = deployment
        .caller
        .send(address, Method::POST, path, body, "application/json");
    sent.await.unwrap();
}

fn engine(deployment: &Deployment) -> SocketAddr {
    deployment.engines[0].address("listening")
}

fn platform(deployment: &Deployment) -> SocketAddr {
    deployment.platform.address("listening")
}

async fn set(deployment: &Deployment, entry: usize, version: &str) {
    let operator = deployment.operator(entry);
    operator
        .set_order(&engine_id(), &setup(version))
        .await
        .unwrap();
}

async fn wait_until_in_effect(deployment: &Deployment, version: &str) {
    until("the desired state to be in effect", async || {
        let state: EngineState = get(deployment, engine(deployment), "/orders").await;
        state.in_effect == Some(setup(version)) && state.loading.is_none()
    })
    .await;
}

/// The versions in the engine's record, with whether the engine accepted each.
async fn record(deployment: &Deployment) -> Vec<(String, bool)> {
    let seen: Vec<SeenOrder> = get(deployment, engine(deployment), "/standin/orders").await;
    let mut versions = Vec::new();
    for seen in seen {
        versions.push((seen.order.setup.version, seen.taken));
    }
    versions.dedup();
    versions
}

/// Index of the entry instance that holds the order lease.
async fn issuer(deployment: &Deployment) -> Option<usize> {
    let path = format!("/v1/table/order_lease/row?key={ENGINE}");
    let row: Value = get(deployment, platform(deployment), &path).await;
    let holder = row["value"]["holder"].as_str()?;
    holder.strip_prefix("entry-")?.parse().ok()
}

#[tokio::test(flavor = "multi_thread")]
async fn an_order_of_foxtail_is_loaded_at_the_rate_of_the_weight_store() {
    let deployment = start(FencingCheck::Enforced).await;
    let instance = deployment.entries[1].address("operator_address");
    let foxtail = |arguments: &[&str]| {
        let mut command = Command::new(program("foxtail"));
        command.args([
            "--instance",
            &instance.to_string(),
            "--token",
            TOKEN,
            "--json",
        ]);
        let output = command.args(arguments).output().unwrap();
        let message = String::from_utf8_lossy(&output.stderr).into_owned();
        assert!(output.status.success(), "{message}");
        serde_json::from_slice::<Value>(&output.stdout).unwrap()
    };
    let mut arguments = vec![
        "order",
        "set",
        ENGINE,
        "--model",
        "ranger",
        "--version",
        "v1",
    ];
    let adapters = ["a1", "a2", "a3", "a4", "a5", "a6"];
    for adapter in adapters {
        arguments.extend(["--adapter", adapter]);
    }
    arguments.extend(["--role", "batch"]);
    assert_eq!(foxtail(&arguments)[0]["version"], 1);
    assert_eq!(foxtail(&arguments)[0]["version"], 1);
    assert_eq!(foxtail(&["order", "list"])[0]["setup"]["role"], "batch");
    until("the order to be in effect", async || {
        let state: EngineState = get(&deployment, engine(&deployment), "/orders").await;
        let setup = state.in_effect;
        setup.is_some_and(|setup| setup.adapters == adapters && setup.role == Role::Batch)
    })
    .await;
    let waits: u64 = get(&deployment, engine(&deployment), "/standin/orders/waits").await;
    assert!(waits > 0);
    // Once the state is in effect, the lease is ended and the issuer makes no more writes.
    let path = "/standin/transactions";
    let mut ended = Value::Null;
    until("the lease to be ended", async || {
        let path = format!("/v1/table/order_lease/row?key={ENGINE}");
        let row: Value = get(&deployment, platform(&deployment), &path).await;
        ended = get(&deployment, platform(&deployment), transactions_path()).await;
        row["value"]["ended"] == true
    })
    .await;
    tokio::time::sleep(Duration::from_secs(4)).await;
    let later: Value = get(&deployment, platform(&deployment), path).await;
    assert_eq!(ended["order_lease"], later["order_lease"]);
    println!("table writes of one order: {}", later["order_lease"]);
}

fn transactions_path() -> &'static str {
    "/standin/transactions"
}

#[test_case(FencingCheck::Enforced, 16_000; "checking engine")]
#[test_case(FencingCheck::Ignored, 3_000; "ignoring engine, within the longest flight")]
#[tokio::test(flavor = "multi_thread")]
async fn a_paused_issuer_is_replaced_and_its_order_does_not_win(
    fencing: FencingCheck,
    delay_ms: u64,
) {
    let deployment = start(fencing).await;
    let late = OrderFaults {
        late_orders: 1,
        delay_ms,
    };
    post(
        &deployment,
        engine(&deployment),
        "/standin/orders/faults",
        &late,
    )
    .await;
    set(&deployment, 0, "v1").await;
    let mut holder = None;
    until("an issuer", async || {
        holder = issuer(&deployment).await;
        holder.is_some()
    })
    .await;
    let holder = holder.unwrap();
    tokio::time::sleep(Duration::from_millis(400)).await;
    let sent = Instant::now();
    deployment.entries[holder].signal(Signal::SIGSTOP);
    set(&deployment, (holder + 1) % 3, "v2").await;
    wait_until_in_effect(&deployment, "v2").await;
    println!(
        "{fencing:?}: {} ms from the pause to the new state",
        sent.elapsed().as_millis()
    );
    tokio::time::sleep(Duration::from_millis(delay_ms + 500).saturating_sub(sent.elapsed())).await;
    let order = |version: &str, taken| (version.to_owned(), taken);
    let expected = match fencing {
        FencingCheck::Enforced => [order("v2", true), order("v1", false)],
        FencingCheck::Ignored => [order("v1", true), order("v2", true)],
    };
    assert_eq!(record(&deployment).await, expected);
    deployment.entries[holder].signal(Signal::SIGCONT);
    tokio::time::sleep(Duration::from_secs(4)).await;
    wait_until_in_effect(&deployment, "v2").await;
    let record = record(&deployment).await;
    let last = record.iter().rposition(|seen| *seen == order("v1", true));
    let newer = record.iter().position(|seen| *seen == order("v2", true));
    assert!(last < newer, "{record:?}");
}

#[test_case(FencingCheck::Enforced; "checking engine")]
#[test_case(FencingCheck::Ignored; "ignoring engine")]
#[tokio::test(flavor = "multi_thread")]
async fn lost_answers_of_table_and_engine_end_in_the_last_desired_state(fencing: FencingCheck) {
    let deployment = start(fencing).await;
    let late = OrderFaults {
        late_orders: 1,
        delay_ms: 2_500,
    };
    post(
        &deployment,
        engine(&deployment),
        "/standin/orders/faults",
        &late,
    )
    .await;
    let lost = PlatformFaults {
        lose_write_answers: 2,
        only_table: "order_lease".into(),
        ..PlatformFaults::default()
    };
    post(&deployment, platform(&deployment), "/standin/faults", &lost).await;
    set(&deployment, 0, "v1").await;
    wait_until_in_effect(&deployment, "v1").await;
    for version in ["v2", "v3"] {
        set(&deployment, 1, version).await;
    }
    wait_until_in_effect(&deployment, "v3").await;
    let record = record(&deployment).await;
    let mut sorted = record.clone();
    sorted.sort();
    assert_eq!(record, sorted);
}
