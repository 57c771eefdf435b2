//! Customer limits over several instances, and overload, in separate processes.

mod common;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use bytes::Bytes;
use common::{Deployment, until};
use foxtailhold::ids::InstanceId;
use foxtailhold::rendezvous;
use foxtailhold_http::client::{HttpClient, Reuse, uri};
use foxtailhold_standin::demo::chat;
use http::{Method, Request, header};
use http_body_util::{BodyExt, Full};
use nix::sys::signal::Signal;
use serde_json::Value;
use test_case::test_case;
use tokio::task::JoinHandle;

const CHAT: &str = "/v1/chat/completions";

/// One response as a caller sees it.
#[derive(Debug)]
struct CallerResponse {
    status: u16,
    took: Duration,
    retry_after: Option<u64>,
    body: Value,
}

async fn send(
    client: &HttpClient,
    address: SocketAddr,
    key: &str,
    tokens: u64,
) -> Option<CallerResponse> {
    let start = Instant::now();
    let body = chat("which badges need a campout?", tokens, false).to_string();
    let request = Request::builder()
        .method(Method::POST)
        .uri(uri(address, CHAT).unwrap())
        .header(header::AUTHORIZATION, format!("Bearer {key}"))
        .header(header::CONTENT_TYPE, "application/json")
        .body(Full::new(Bytes::from(body)))
        .unwrap();
    let response = client.send(address, request, 30_000).await.ok()?;
    let status = response.status().as_u16();
    let retry_after = response.headers().get(header::RETRY_AFTER);
    let retry_after = retry_after.and_then(|value| value.to_str().ok()?.parse().ok());
    let body = response.into_body().collect().await.ok()?.to_bytes();
    Some(CallerResponse {
        status,
        took: start.elapsed(),
        retry_after,
        body: serde_json::from_slice(&body).unwrap_or_default(),
    })
}

fn contract(customer: &str, requests_per_s: u32, burst: u32, concurrent: u32) -> String {
    format!(
        "customer = \"{customer}\"\napi_keys = [\"{customer}-key\"]\n\
         requests_per_s = {requests_per_s}.0\nburst_requests = {burst}\n\
         concurrent_requests = {concurrent}\ntokens_per_s = 10000000.0\n"
    )
}

async fn set_contract(deployment: &Deployment, customer: &str, document: &str) {
    let id = customer.try_into().unwrap();
    let operator = deployment.operator(0);
    operator.set_contract(&id, 0, document).await.unwrap();
    until("the contract to be in force", async || {
        for index in 0..deployment.entries.len() {
            if deployment.operator(index).contract(&id).await.is_err() {
                return false;
            }
        }
        true
    })
    .await;
}

/// Callers that send continuously, and ignore the retry time of refusals.
struct Flood {
    stop: Arc<AtomicBool>,
    callers: Vec<JoinHandle<Vec<CallerResponse>>>,
}

impl Flood {
    fn start(addresses: &[SocketAddr], key: &str, callers: usize, pause_ms: u64) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let mut tasks = Vec::new();
        for index in 0..callers {
            let (stop, key) = (stop.clone(), key.to_owned());
            let address = addresses[index % addresses.len()];
            tasks.push(tokio::spawn(async move {
                let client = HttpClient::new(Reuse::Pooled);
                let mut seen = Vec::new();
                while !stop.load(Ordering::Relaxed) {
                    seen.extend(send(&client, address, &key, 16).await);
                    tokio::time::sleep(Duration::from_millis(pause_ms)).await;
                }
                seen
            }));
        }
        Flood {
            stop,
            callers: tasks,
        }
    }

    async fn close(self) -> Vec<CallerResponse> {
        self.stop.store(true, Ordering::Relaxed);
        let mut seen = Vec::new();
        for caller in self.callers {
            seen.extend(caller.await.unwrap());
        }
        seen
    }
}

fn check_refusals(seen: &[CallerResponse], codes: &[&str]) -> usize {
    let mut served = 0;
    for seen in seen {
        if seen.status == 200 {
            served += 1;
            continue;
        }
        let error = &seen.body["error"];
        assert_eq!(seen.status, 429, "{seen:?}");
        assert_eq!(error["ran"], "not_run", "{seen:?}");
        let code = error["code"].as_str().unwrap();
        assert!(codes.contains(&code), "{seen:?}");
        assert!(
            seen.retry_after.is_some_and(|seconds| seconds >= 1),
            "{seen:?}"
        );
    }
    served
}

/// Number of requests in the engines' records.
async fn recorded_requests(deployment: &Deployment) -> usize {
    let mut recorded_requests = 0;
    for engine in &deployment.engines {
        let address = engine.address("listening");
        let record = deployment
            .caller
            .json(address, Method::GET, "/standin/record", &Value::Null);
        recorded_requests += record.await.unwrap().as_array().unwrap().len();
    }
    recorded_requests
}

/// Sends a flood for `seconds`; returns the number of served requests and the exact duration in
/// seconds.
async fn flood_for(addresses: &[SocketAddr], key: &str, seconds: u64) -> (usize, f64) {
    let start = Instant::now();
    let flood = Flood::start(addresses, key, 3 * addresses.len(), 5);
    tokio::time::sleep(Duration::from_secs(seconds)).await;
    let seen = flood.close().await;
    let elapsed_s = start.elapsed().as_secs_f64();
    (check_refusals(&seen, &["over_limit"]), elapsed_s)
}

#[tokio::test(flavor = "multi_thread")]
async fn a_limit_holds_over_three_instances_and_while_its_coordinator_is_lost() {
    let mut deployment = Deployment::start(3, 3).await;
    let customer = "huon-tracks";
    let (rate, burst) = (40.0, 20.0);
    set_contract(&deployment, customer, &contract(customer, 40, 20, 64)).await;
    let key = "huon-tracks-key";
    let all: Vec<SocketAddr> = (0..3)
        .map(|index| deployment.caller_address(index))
        .collect();
    tokio::time::sleep(Duration::from_secs(4)).await;

    let (served, elapsed_s) = flood_for(&all, key, 6).await;
    println!(
        "three instances: {served} in {elapsed_s:.1} s of {rate} a second and {burst} at once"
    );
    assert!(served as f64 <= rate * elapsed_s + burst + 3.0, "{served}");
    assert!(served as f64 >= 0.6 * rate * elapsed_s, "{served}");
    assert_eq!(
        recorded_requests(&deployment).await,
        served,
        "a refused request ran"
    );

    let ids: Vec<InstanceId> = (0..3)
        .map(|index| format!("entry-{index}").as_str().try_into().unwrap())
        .collect();
    let coordinator = rendezvous::select(&ids, customer.as_bytes()).unwrap();
    let coordinator = ids.iter().position(|id| id == coordinator).unwrap();
    let others: Vec<SocketAddr> = (0..3)
        .filter(|i| *i != coordinator)
        .map(|i| all[i])
        .collect();
    deployment.entries[coordinator].signal(Signal::SIGKILL);
    deployment.entries[coordinator].wait();
    let (served, elapsed_s) = flood_for(&others, key, 12).await;
    println!(
        "coordinator lost: {served} in {elapsed_s:.1} s of {rate} a second and {burst} at once"
    );
    let lost_s = 8.0;
    let bound = rate * (elapsed_s + lost_s) + 2.0 * burst + 3.0;
    assert!(served as f64 <= bound, "{served} of {bound}");
    assert!(served as f64 >= 0.3 * rate * elapsed_s, "{served}");
}

fn p95(seen: &[CallerResponse]) -> Duration {
    let mut took: Vec<Duration> = seen.iter().map(|seen| seen.took).collect();
    took.sort();
    took[took.len() * 95 / 100]
}

#[test_case(10_000, "overloaded"; "more than the engines can serve")]
#[test_case(20, "over_limit"; "ten times its contract")]
#[tokio::test(flavor = "multi_thread")]
async fn a_flood_harms_no_other_customer(requests_per_s: u32, code: &str) {
    let mut deployment = Deployment::start(0, 3).await;
    for index in 0..2 {
        let id = format!("engine-{index}");
        deployment.add_engine(&id, "concord-hall", &["--slots", "4"]);
    }
    deployment.settle(3).await;
    let (calm, flood) = ("granite-trail", "huon-tracks");
    set_contract(&deployment, calm, &contract(calm, 100, 100, 100)).await;
    set_contract(
        &deployment,
        flood,
        &contract(flood, requests_per_s, requests_per_s, 1_000),
    )
    .await;
    let all: Vec<SocketAddr> = (0..3)
        .map(|index| deployment.caller_address(index))
        .collect();
    let second = Duration::from_secs(1);

    let alone = Flood::start(&all, "granite-trail-key", 3, 150);
    tokio::time::sleep(4 * second).await;
    let alone = alone.close().await;
    let flooding = Flood::start(&all, "huon-tracks-key", 240, 50);
    tokio::time::sleep(4 * second).await;
    let beside = Flood::start(&all, "granite-trail-key", 3, 150);
    tokio::time::sleep(6 * second).await;
    let beside = beside.close().await;
    let flooded = flooding.close().await;

    let served = check_refusals(&flooded, &["over_limit", code]);
    let of_code = |seen: &&CallerResponse| seen.body["error"]["code"] == code;
    assert!(flooded.iter().filter(of_code).count() > 0);
    let refused = flooded.len() - served;
    let (p95_alone, p95_beside) = (p95(&alone), p95(&beside));
    println!(
        "p95 {p95_alone:?} alone, {p95_beside:?} beside a flood of which {served} were served \
         and {refused} refused"
    );
    assert!(refused > 0);
    for seen in alone.iter().chain(&beside) {
        assert_eq!(seen.status, 200, "{seen:?}");
    }
    assert_eq!(
        recorded_requests(&deployment).await,
        served + alone.len() + beside.len(),
        "a refused request ran"
    );
    assert!(p95_beside <= 3 * p95_alone + second / 2, "{p95_beside:?}");
}
