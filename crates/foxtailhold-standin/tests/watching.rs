//! Metrics, health, readiness and logs of an instance.

mod common;

use std::process::Stdio;

use bytes::Bytes;
use common::{Deployment, Process, TOKEN, program, until};
use foxtailhold_http::client::{Call, HttpClient, Reuse};
use foxtailhold_standin::demo::{API_KEY, batch_input, chat};
use http::Method;
use nix::sys::signal::Signal;
use serde_json::{Value, json};

const CHAT: &str = "/v1/chat/completions";
const WRONG_KEY: &str = "a-key-that-nobody-has";
const WRONG_TOKEN: &str = "a-token-that-nobody-has";

async fn get(address: std::net::SocketAddr, path: &str, token: Option<&str>) -> (u16, String) {
    let mut call = Call::new(Method::GET, address, path);
    call.bearer = token;
    let client = HttpClient::new(Reuse::Fresh);
    let (status, bytes) = client.call::<()>(&call, None).await.unwrap();
    (status.as_u16(), String::from_utf8(bytes.to_vec()).unwrap())
}

async fn run_a_few_requests(deployment: &Deployment) {
    let address = deployment.caller_address(0);
    for stream in [false, true] {
        let body = Bytes::from(chat("which badge?", 5, stream).to_string());
        let caller = &deployment.caller;
        let sent = caller.send(address, Method::POST, CHAT, body, "application/json");
        sent.await.unwrap();
    }
    let file = deployment
        .caller
        .upload(address, &batch_input(5))
        .await
        .unwrap();
    let request = json!({
        "input_file_id": file, "endpoint": CHAT, "completion_window": "1h",
    });
    let caller = &deployment.caller;
    let batch = caller.json(address, Method::POST, "/v1/batches", &request);
    let path = format!(
        "/v1/batches/{}",
        batch.await.unwrap()["id"].as_str().unwrap()
    );
    until("the job to complete", async || {
        let batch = caller.json(address, Method::GET, &path, &Value::Null);
        batch.await.unwrap()["status"] == "completed"
    })
    .await;
    assert_eq!(get(address, "/v1/models", Some(WRONG_KEY)).await.0, 401);
}

/// The value of a metric sample; `name` includes its labels.
fn sample(text: &str, name: &str) -> f64 {
    for line in text.lines() {
        if let Some(value) = line
            .strip_prefix(name)
            .and_then(|rest| rest.strip_prefix(' '))
        {
            return value.parse().unwrap();
        }
    }
    panic!("no {name} in {text}");
}

#[tokio::test(flavor = "multi_thread")]
async fn metrics_count_requests_batch_items_and_platform_calls() {
    let deployment = Deployment::start(1, 1).await;
    deployment.set_demo_contract().await;
    run_a_few_requests(&deployment).await;
    let operator = deployment.entries[0].address("operator_address");
    let (status, text) = get(operator, "/metrics", None).await;
    assert_eq!(status, 200);
    for (name, value) in [
        ("answers_total{kind=\"inference\",outcome=\"ok\"}", 2.0),
        (
            "answers_total{kind=\"models\",outcome=\"invalid_api_key\"}",
            1.0,
        ),
        ("refusals_total{code=\"invalid_api_key\"}", 1.0),
        ("first_token_seconds_count", 1.0),
        ("batch_items_total", 5.0),
        ("batch_chunks_total", 1.0),
        ("contracts_number", 1.0),
        ("instances{state=\"alive\"}", 1.0),
        ("lease_valid", 1.0),
        ("stopping", 0.0),
        ("backend_in_flight_requests{backend=\"engine-0\"}", 0.0),
    ] {
        assert_eq!(
            sample(&text, &format!("foxtailhold_{name}")),
            value,
            "{name}\n{text}"
        );
    }
    for name in [
        "between_tokens_seconds_count",
        "platform_calls_total{call=\"table_transact\"}",
        "platform_calls_total{call=\"object_put\"}",
        "platform_call_seconds_count{call=\"table_get\"}",
        "lease_epoch",
        "memory_total_bytes{holder=\"requests\"}",
        "memory_free_bytes{holder=\"requests\"}",
        "connection_places{listener=\"callers\"}",
        "connection_places{listener=\"peers\"}",
        "connection_places_in_use{listener=\"operators\"}",
    ] {
        assert!(
            sample(&text, &format!("foxtailhold_{name}")) >= 1.0,
            "{name}\n{text}"
        );
    }
    assert!(sample(&text, "foxtailhold_contracts_age_seconds") < 60.0);
    assert!(text.ends_with("# EOF\n"), "{text}");
}

#[tokio::test(flavor = "multi_thread")]
async fn stopping_instance_is_healthy_and_not_ready() {
    let mut deployment = Deployment::start(1, 2).await;
    let operator = deployment.entries[0].address("operator_address");
    assert_eq!(get(operator, "/ready", None).await.0, 200);
    deployment.entries[0].signal(Signal::SIGTERM);
    until("the instance to say that it stops", async || {
        get(operator, "/ready", None).await.0 == 503
    })
    .await;
    assert_eq!(get(operator, "/health", None).await.0, 200);
    assert!(
        get(operator, "/ready", None)
            .await
            .1
            .contains("planned stop")
    );
    assert!(deployment.entries[0].wait().success());
}

#[tokio::test(flavor = "multi_thread")]
async fn logs_are_json_lines_and_hold_no_key_and_no_token() {
    let mut deployment = Deployment::start(1, 0).await;
    let file = std::env::temp_dir().join(format!("foxtail-log-{}.jsonl", std::process::id()));
    let log = std::fs::File::create(&file).unwrap();
    let platform = deployment.platform_address();
    let any = "127.0.0.1:0";
    let mut command = std::process::Command::new(program("foxtailhold-entry"));
    command
        .args(["--instance", "entry-0", "--availability-zone", "keene-hall"])
        .args(["--caller-address", any, "--peer-address", any])
        .args(["--operator-address", any, "--platform-address", &platform])
        .args(["--keep-for-ms", "500"])
        .env("FOXTAILHOLD_OPERATOR_TOKEN", TOKEN)
        .env("RUST_LOG", "trace")
        .stderr(Stdio::from(log));
    let entry = Process::spawn("foxtailhold-entry", command);
    deployment.entries.push(entry);
    deployment.settle(1).await;
    deployment.set_demo_contract().await;
    run_a_few_requests(&deployment).await;
    let operator = deployment.entries[0].address("operator_address");
    assert_eq!(get(operator, "/v1/jobs", Some(WRONG_TOKEN)).await.0, 401);
    deployment.entries[0].signal(Signal::SIGTERM);
    assert!(deployment.entries[0].wait().success());

    let text = std::fs::read_to_string(&file).unwrap();
    std::fs::remove_file(file).unwrap();
    for secret in [API_KEY, WRONG_KEY, TOKEN, WRONG_TOKEN] {
        assert!(!text.contains(secret), "{secret} is in the log");
    }
    let mut refused = Vec::new();
    for line in text.lines() {
        let line: Value = serde_json::from_str(line).unwrap_or_else(|e| panic!("{e}: {line}"));
        assert_eq!(line["instance"], "entry-0");
        assert!(
            line["at_ms"].is_u64() && line["level"].is_string(),
            "{line}"
        );
        if line["fields"]["code"] == "invalid_api_key" {
            refused.push(line["fields"]["request"].clone());
        }
    }
    assert_eq!(refused.len(), 1);
    assert!(
        refused[0].as_str().unwrap().starts_with("entry-0-"),
        "{refused:?}"
    );
}
