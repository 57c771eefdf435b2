//! End-to-end path of online requests, batch jobs, contracts and service calls through separate
//! processes.

mod common;

use std::process::Command;
use std::time::{Duration, Instant};

use bytes::Bytes;
use common::answers::{CHAT, prompt, streamed_text};
use common::{Deployment, TOKEN, program, until};
use foxtailhold_standin::demo::{self, batch_input, chat};
use foxtailhold_standin::engine::text;
use http::Method;
use nix::sys::signal::Signal;
use serde_json::{Value, json};

#[tokio::test(flavor = "multi_thread")]
async fn caller_asks_for_addresses_and_gets_streamed_and_whole_answers() {
    let deployment = Deployment::start(2, 3).await;
    deployment.set_demo_contract().await;
    for index in 0..3 {
        assert_eq!(deployment.listed_instances(index).await.len(), 3);
        let address = deployment.caller_address(index);
        let question = format!("question {index}");
        let expected = text::answer(&prompt(&question), 20);

        let body = chat(&question, 20, false);
        let whole = deployment
            .caller
            .json(address, Method::POST, CHAT, &body)
            .await
            .unwrap();
        assert_eq!(whole["choices"][0]["message"]["content"], expected.as_str());

        let body = Bytes::from(chat(&question, 20, true).to_string());
        let sent = deployment
            .caller
            .send(address, Method::POST, CHAT, body, "application/json");
        assert_eq!(streamed_text(&sent.await.unwrap()), (expected, true));
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn batch_job_runs_each_item_once_and_a_resend_names_the_same_job() {
    let deployment = Deployment::start(2, 3).await;
    deployment.set_demo_contract().await;
    let caller = &deployment.caller;
    let items = 450;
    let file = caller
        .upload(deployment.caller_address(0), &batch_input(items))
        .await
        .unwrap();
    let request = json!({
        "input_file_id": file,
        "endpoint": CHAT,
        "completion_window": "1h",
        "metadata": { "night": "monday" },
    });
    let mut jobs = Vec::new();
    for index in 0..3 {
        let address = deployment.caller_address(index);
        let batch = caller
            .json(address, Method::POST, "/v1/batches", &request)
            .await
            .unwrap();
        assert_eq!(batch["metadata"]["night"], "monday");
        jobs.push(batch["id"].as_str().unwrap().to_owned());
    }
    jobs.dedup();
    assert_eq!(jobs.len(), 1);
    let path = format!("/v1/batches/{}", jobs[0]);
    let mut batch = Value::Null;
    until("the job to complete", async || {
        let address = deployment.caller_address(1);
        batch = caller
            .json(address, Method::GET, &path, &Value::Null)
            .await
            .unwrap();
        batch["status"] == "completed"
    })
    .await;
    assert_eq!(
        batch["request_counts"],
        json!({ "total": items, "completed": items, "failed": 0 })
    );
    let output = batch["output_file_id"].as_str().unwrap();
    let path = format!("/v1/files/{output}/content");
    let address = deployment.caller_address(2);
    let sent = caller.send(address, Method::GET, &path, Bytes::new(), "text/plain");
    let output = String::from_utf8(sent.await.unwrap().to_vec()).unwrap();
    assert_eq!(output.lines().count(), items);
    for (index, line) in output.lines().enumerate() {
        let line: Value = serde_json::from_str(line).unwrap();
        assert_eq!(line["custom_id"], format!("report-{index}"));
        let expected = text::answer(&prompt(&format!("advancement of scout {index}")), 8);
        let content = &line["response"]["body"]["choices"][0]["message"]["content"];
        assert_eq!(content, expected.as_str());
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn contract_set_on_one_instance_is_in_force_on_all_within_seconds() {
    let deployment = Deployment::start(1, 3).await;
    let file = std::env::temp_dir().join(format!("foxtail-contract-{}.toml", std::process::id()));
    std::fs::write(&file, demo::contract(7)).unwrap();
    let instance = deployment.entries[0]
        .address("operator_address")
        .to_string();
    let foxtail = |arguments: &[&str]| {
        let mut command = Command::new(program("foxtail"));
        command.args(["--instance", &instance, "--token", TOKEN, "--json"]);
        command.args(arguments).output().unwrap()
    };
    let start = Instant::now();
    let set = foxtail(&["contract", "set", file.to_str().unwrap()]);
    assert!(
        set.status.success(),
        "{}",
        String::from_utf8_lossy(&set.stderr)
    );
    let customer = "granite-trail".try_into().unwrap();
    until("the contract to be in force", async || {
        for index in 0..3 {
            let view = deployment.operator(index).contract(&customer).await;
            if !view.is_ok_and(|view| view.contract.requests_per_s == 7.0) {
                return false;
            }
        }
        true
    })
    .await;
    assert!(start.elapsed() < Duration::from_secs(6));
    let rows: Value = serde_json::from_slice(&foxtail(&["instances"]).stdout).unwrap();
    for row in rows.as_array().unwrap() {
        assert_eq!(row["contracts_number"], 1);
    }
    let stale = foxtail(&[
        "contract",
        "set",
        file.to_str().unwrap(),
        "--expected-version",
        "0",
    ]);
    std::fs::remove_file(&file).unwrap();
    assert!(!stale.status.success());
    let message = String::from_utf8_lossy(&stale.stderr).into_owned();
    assert!(message.contains("at version 1"), "{message}");
}

#[tokio::test(flavor = "multi_thread")]
async fn service_call_not_to_be_repeated_runs_once_through_two_instances() {
    let deployment = Deployment::start(1, 3).await;
    deployment.set_demo_contract().await;
    let http = idempotent_client::Client::default();
    let mut bodies = Vec::new();
    for index in 0..2 {
        let address = deployment.caller_address(index);
        let (status, body) = http
            .post_idempotent(address, "/v1/services/portal/holds", "hold-1")
            .await;
        assert_eq!(status, 200, "{body}");
        bodies.push(body);
    }
    assert_eq!(bodies[0], bodies[1]);
    let service = deployment.services[0].address("listening");
    let record = deployment
        .caller
        .json(service, Method::GET, "/standin/record", &Value::Null);
    assert_eq!(record.await.unwrap().as_array().unwrap().len(), 1);
    let address = deployment.caller_address(2);
    let path = "/v1/services/portal/status?x=1";
    let answer = deployment
        .caller
        .json(address, Method::GET, path, &Value::Null)
        .await
        .unwrap();
    assert_eq!(answer["call"]["path"], "/status?x=1");
}

#[tokio::test(flavor = "multi_thread")]
async fn planned_stop_cuts_no_stream_and_exits_with_status_0() {
    let mut deployment = Deployment::start(2, 3).await;
    deployment.set_demo_contract().await;
    let address = deployment.caller_address(1);
    let mut streams = Vec::new();
    for index in 0..10 {
        let caller = deployment.caller.clone();
        streams.push(tokio::spawn(async move {
            let question = format!("stream {index}");
            let body = Bytes::from(chat(&question, 600, true).to_string());
            let sent = caller.send(address, Method::POST, CHAT, body, "application/json");
            (question, sent.await)
        }));
    }
    tokio::time::sleep(Duration::from_millis(200)).await;
    deployment.entries[1].signal(Signal::SIGTERM);
    until("the stopping instance to leave the list", async || {
        !deployment
            .listed_instances(0)
            .await
            .contains(&"entry-1".to_owned())
    })
    .await;
    for stream in streams {
        let (question, body) = stream.await.unwrap();
        let expected = text::answer(&prompt(&question), 600);
        assert_eq!(streamed_text(&body.unwrap()), (expected, true));
    }
    assert_eq!(deployment.entries[1].wait().code(), Some(0));
}

/// An HTTP client that sends the headers of requests that must not be repeated.
mod idempotent_client {
    use std::net::SocketAddr;

    use bytes::Bytes;
    use foxtailhold_http::body::read_whole;
    use foxtailhold_http::client::{HttpClient, Reuse};
    use foxtailhold_standin::demo::API_KEY;
    use http::Request;
    use http_body_util::Full;

    pub struct Client(HttpClient);

    impl Default for Client {
        fn default() -> Self {
            Client(HttpClient::new(Reuse::Fresh))
        }
    }

    impl Client {
        /// Posts a request that must not be repeated, under the idempotency key `key`.
        pub async fn post_idempotent(
            &self,
            address: SocketAddr,
            path: &str,
            key: &str,
        ) -> (u16, String) {
            let request = Request::post(format!("http://{address}{path}"))
                .header("authorization", format!("Bearer {API_KEY}"))
                .header("idempotency-key", key)
                .header("foxtailhold-repeat", "never")
                .body(Full::new(Bytes::from_static(b"{\"room\":\"live\"}")))
                .unwrap();
            let response = self.0.send(address, request, 10_000).await.unwrap();
            let status = response.status().as_u16();
            let body = read_whole(response.into_body(), 1 << 20).await.unwrap();
            (status, String::from_utf8_lossy(&body).into_owned())
        }
    }
}
