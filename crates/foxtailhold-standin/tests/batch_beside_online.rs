//! Batch work is preempted for online requests, in separate processes.
//!
//! `FOXTAILHOLD_BATCH_POLICY=ordinary` runs the same tests with the baseline policy, which must
//! fail.

mod common;

use std::collections::HashMap;
use std::time::{Duration, Instant};

use bytes::Bytes;
use common::{Deployment, until};
use foxtailhold::batch_control::GRANT_MS;
use foxtailhold::ids::InstanceId;
use foxtailhold::rendezvous;
use foxtailhold_http::client::{HttpClient, Reuse};
use foxtailhold_standin::demo::{API_KEY, chat};
use foxtailhold_standin::engine::faults::Ran;
use foxtailhold_standin::engine::text;
use http::{Method, Request};
use http_body_util::{BodyExt, Full};
use nix::sys::signal::Signal;
use serde_json::{Value, json};

const CHAT: &str = "/v1/chat/completions";
const SLOTS: u64 = 8;
const ENGINES: usize = 2;
const ITEMS: usize = 48;
const ITEM_TOKENS: u64 = 300;
const BURST: usize = 12;
/// Largest accepted increase of the time to the first token. An item of the batch takes about two
/// seconds at a full engine, so a request that waits for its slot exceeds it.
const MARGIN_MS: u64 = 1_000;

/// Upper bound of the duration of an item that a paused owner leaves in its slot.
const ITEM_MS: u64 = 2_500;
/// Tokens that an engine may have sent before a preemption and that the instance did not receive.
const MAX_UNDELIVERED_TOKENS: u64 = 20;

fn prompt(question: &str) -> String {
    json!([{ "role": "user", "content": question }]).to_string()
}

fn question(index: usize) -> String {
    format!("advancement report {index}")
}

async fn deployment(entries: usize) -> Deployment {
    let mut deployment = Deployment::start(0, entries).await;
    let slots = SLOTS.to_string();
    for index in 0..ENGINES {
        let zone = if index == 0 {
            "concord-hall"
        } else {
            "nashua-hall"
        };
        deployment.add_engine(&format!("engine-{index}"), zone, &["--slots", &slots]);
    }
    deployment.settle(entries).await;
    deployment.set_demo_contract().await;
    deployment
}

async fn submit(deployment: &Deployment, entry: usize) -> String {
    let mut lines = String::new();
    for index in 0..ITEMS {
        let line = json!({
            "custom_id": format!("report-{index}"),
            "method": "POST",
            "url": CHAT,
            "body": chat(&question(index), ITEM_TOKENS, false),
        });
        lines.push_str(&format!("{line}\n"));
    }
    let caller = &deployment.caller;
    let address = deployment.caller_address(entry);
    let file = caller.upload(address, &lines).await.unwrap();
    let request = json!({
        "input_file_id": file,
        "endpoint": CHAT,
        "completion_window": "1h",
    });
    let batch = caller.json(address, Method::POST, "/v1/batches", &request);
    batch.await.unwrap()["id"].as_str().unwrap().to_owned()
}

async fn engine<R: serde::de::DeserializeOwned>(
    deployment: &Deployment,
    index: usize,
    path: &str,
) -> R {
    let address = deployment.engines[index].address("listening");
    let caller = &deployment.caller;
    let answer = caller.json(address, Method::GET, path, &Value::Null).await;
    serde_json::from_value(answer.unwrap()).unwrap()
}

/// Waits until batch items use all slots of every engine except the headroom of one.
async fn wait_until_filled(deployment: &Deployment) {
    until("batch to fill the engines", async || {
        for index in 0..ENGINES {
            let load: Value = engine(deployment, index, "/load").await;
            if load["running"].as_u64().unwrap_or(0) + 1 < SLOTS {
                return false;
            }
        }
        true
    })
    .await;
}

async fn first_token_ms(deployment: &Deployment, entry: usize, question: &str) -> u64 {
    let address = deployment.caller_address(entry);
    let body = Bytes::from(chat(question, 30, true).to_string());
    let request = Request::post(format!("http://{address}{CHAT}"))
        .header("authorization", format!("Bearer {API_KEY}"))
        .header("content-type", "application/json")
        .body(Full::new(body))
        .unwrap();
    let begun = Instant::now();
    let client = HttpClient::new(Reuse::Fresh);
    let response = client.send(address, request, 30_000).await.unwrap();
    assert!(response.status().is_success(), "{}", response.status());
    let mut body = response.into_body();
    let first = body.frame().await.unwrap().unwrap();
    let took_ms = begun.elapsed().as_millis() as u64;
    assert!(first.is_data());
    while let Some(frame) = body.frame().await {
        frame.unwrap();
    }
    took_ms
}

/// Sends a burst of requests over some instances; returns the sorted times to the first token.
async fn burst(deployment: &Deployment, entries: &[usize], name: &str) -> Vec<u64> {
    let questions: Vec<String> = (0..BURST).map(|i| format!("{name} question {i}")).collect();
    let mut requests = Vec::new();
    for (index, question) in questions.iter().enumerate() {
        let entry = entries[index % entries.len()];
        requests.push(first_token_ms(deployment, entry, question));
    }
    let mut times = futures_util::future::join_all(requests).await;
    times.sort_unstable();
    times
}

async fn records(deployment: &Deployment) -> Vec<Ran> {
    let mut all = Vec::new();
    for index in 0..ENGINES {
        all.extend(engine::<Vec<Ran>>(deployment, index, "/standin/record").await);
    }
    all
}

/// Checks that the job completes with each item answered once and in full.
async fn check_job(deployment: &Deployment, entry: usize, job: &str) {
    let caller = &deployment.caller;
    let address = deployment.caller_address(entry);
    let path = format!("/v1/batches/{job}");
    let mut batch = Value::Null;
    until("the job to complete", async || {
        let answer = caller.json(address, Method::GET, &path, &Value::Null).await;
        batch = answer.unwrap_or_default();
        batch["status"] == "completed"
    })
    .await;
    assert_eq!(batch["request_counts"]["completed"], ITEMS);
    let output = batch["output_file_id"].as_str().unwrap();
    let path = format!("/v1/files/{output}/content");
    let sent = caller.send(address, Method::GET, &path, Bytes::new(), "text/plain");
    let output = String::from_utf8(sent.await.unwrap().to_vec()).unwrap();
    assert_eq!(output.lines().count(), ITEMS);
    for (index, line) in output.lines().enumerate() {
        let line: Value = serde_json::from_str(line).unwrap();
        assert_eq!(line["custom_id"], format!("report-{index}"));
        let body = &line["response"]["body"];
        let expected = text::answer(&prompt(&question(index)), ITEM_TOKENS);
        assert_eq!(body["choices"][0]["message"]["content"], expected.as_str());
        assert_eq!(body["object"], "chat.completion");
        assert_eq!(body["choices"][0]["finish_reason"], "stop");
    }
}

/// Checks that each item finished once, and that each preemption repeated no more tokens than were
/// undelivered.
fn check_attempts(records: &[Ran]) {
    let mut finished: HashMap<&str, u32> = HashMap::new();
    let mut attempts: HashMap<&str, (u64, u64)> = HashMap::new();
    for ran in records {
        if !ran.prompt.contains("advancement report") {
            continue;
        }
        *finished.entry(&ran.prompt).or_default() += u32::from(ran.finished);
        let (count, tokens) = attempts.entry(&ran.prompt).or_default();
        *count += 1;
        *tokens += ran.tokens;
    }
    assert_eq!(finished.len(), ITEMS);
    assert!(finished.values().all(|count| *count == 1), "{finished:?}");
    for (prompt, (count, tokens)) in attempts {
        let max_tokens = ITEM_TOKENS + (count - 1) * MAX_UNDELIVERED_TOKENS;
        assert!(
            tokens <= max_tokens,
            "{prompt}: {tokens} tokens in {count} attempts"
        );
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn burst_onto_engines_full_of_batch_does_not_wait_and_no_item_is_lost() {
    let deployment = deployment(3).await;
    let without_batch_ms = burst(&deployment, &[0, 1, 2], "before").await;
    let job = submit(&deployment, 0).await;
    wait_until_filled(&deployment).await;
    let with_batch_ms = burst(&deployment, &[0, 1, 2], "during").await;

    let record = records(&deployment).await;
    let online = record.iter().filter(|ran| ran.prompt.contains("during"));
    let burst_unix_ms = online.clone().map(|ran| ran.came_unix_ms).min().unwrap();
    let waits = online.filter_map(|ran| Some(ran.admitted_unix_ms? - ran.came_unix_ms));
    let longest_wait_ms = waits.max().unwrap();
    let preempted_after_ms = record.iter().filter_map(|ran| ran.cancelled_unix_ms);
    let preempted_after_ms: Vec<u64> = preempted_after_ms
        .filter(|at| *at >= burst_unix_ms)
        .map(|at| at - burst_unix_ms)
        .collect();
    println!("first token in ms, batch off: {without_batch_ms:?}");
    println!("first token in ms, with batch: {with_batch_ms:?}");
    println!("batch items preempted, in ms after the burst arrived: {preempted_after_ms:?}");
    println!("longest wait of an online request for a slot: {longest_wait_ms} ms");

    assert!(
        !preempted_after_ms.is_empty(),
        "no batch item was preempted"
    );
    let (without_batch_ms, with_batch_ms) = (without_batch_ms[BURST - 1], with_batch_ms[BURST - 1]);
    assert!(
        with_batch_ms < without_batch_ms + MARGIN_MS,
        "first token took {with_batch_ms} ms with batch and {without_batch_ms} ms without"
    );
    assert!(
        longest_wait_ms < MARGIN_MS,
        "waited {longest_wait_ms} ms for a slot"
    );
    check_job(&deployment, 1, &job).await;
    check_attempts(&records(&deployment).await);
}

/// Index of the instance that is the batch controller of the first engine.
fn controller_index() -> usize {
    let ids: Vec<InstanceId> = (0..3)
        .map(|index| format!("entry-{index}").as_str().try_into().unwrap())
        .collect();
    let controller = rendezvous::select(&ids, b"steward/engine-0").unwrap();
    ids.iter().position(|id| id == controller).unwrap()
}

#[tokio::test(flavor = "multi_thread")]
async fn killed_batch_controller_loses_no_item() {
    let deployment = deployment(3).await;
    let job = submit(&deployment, 0).await;
    wait_until_filled(&deployment).await;
    let killed = controller_index();
    deployment.entries[killed].signal(Signal::SIGKILL);
    check_job(&deployment, (killed + 1) % 3, &job).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn burst_does_not_wait_behind_the_batch_of_a_paused_batch_controller() {
    let deployment = deployment(3).await;
    let paused = controller_index();
    let others = [(paused + 1) % 3, (paused + 2) % 3];
    let without_batch_ms = burst(&deployment, &others, "before").await;
    let job = submit(&deployment, others[0]).await;
    wait_until_filled(&deployment).await;
    deployment.entries[paused].signal(Signal::SIGSTOP);
    tokio::time::sleep(Duration::from_millis(GRANT_MS + ITEM_MS)).await;
    let with_batch_ms = burst(&deployment, &others, "during").await;
    println!("first token in ms, batch off: {without_batch_ms:?}");
    println!("first token in ms, with batch and a paused batch controller: {with_batch_ms:?}");
    deployment.entries[paused].signal(Signal::SIGCONT);
    let (without_batch_ms, with_batch_ms) = (without_batch_ms[BURST - 1], with_batch_ms[BURST - 1]);
    assert!(
        with_batch_ms < without_batch_ms + MARGIN_MS,
        "first token took {with_batch_ms} ms with batch and {without_batch_ms} ms without"
    );
    check_job(&deployment, others[1], &job).await;
}
