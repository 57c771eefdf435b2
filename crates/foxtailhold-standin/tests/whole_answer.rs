//! Each caller gets the complete answer to its own request, whatever faults the engines have.

mod common;

use std::time::Duration;

use bytes::Bytes;
use common::answers::{CHAT, prompt, set_faults, streamed_text};
use common::{Deployment, until};
use foxtailhold_http::client::{HttpClient, Reuse};
use foxtailhold_standin::demo::{API_KEY, chat};
use foxtailhold_standin::engine::{EngineFaults, text};
use http::{Method, Request, Response};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use nix::sys::signal::Signal;
use serde_json::{Value, json};

async fn record(deployment: &Deployment, engine: usize) -> Vec<Value> {
    let address = deployment.engines[engine].address("listening");
    let path = "/standin/record";
    let record = deployment
        .caller
        .json(address, Method::GET, path, &Value::Null);
    record.await.unwrap().as_array().unwrap().clone()
}

async fn ask(deployment: &Deployment, question: &str, tokens: u64, stream: bool) -> String {
    let address = deployment.caller_address(0);
    let body = Bytes::from(chat(question, tokens, stream).to_string());
    let sent = deployment
        .caller
        .send(address, Method::POST, CHAT, body, "application/json");
    let body = sent.await.unwrap();
    if stream {
        let (text, ended) = streamed_text(&body);
        assert!(ended, "{}", String::from_utf8_lossy(&body));
        return text;
    }
    let whole: Value = serde_json::from_slice(&body).unwrap();
    let content = &whole["choices"][0]["message"]["content"];
    content.as_str().unwrap().to_owned()
}

fn cases() -> Vec<(&'static str, bool, EngineFaults)> {
    let none = EngineFaults::default;
    let streamed = [
        (
            "cut",
            EngineFaults {
                cut_after_tokens: Some(3),
                ..none()
            },
        ),
        (
            "cut before the first token",
            EngineFaults {
                cut_after_tokens: Some(0),
                ..none()
            },
        ),
        (
            "duplicated",
            EngineFaults {
                duplicate_events: true,
                ..none()
            },
        ),
        (
            "swapped",
            EngineFaults {
                swap_after_tokens: Some(2),
                ..none()
            },
        ),
        (
            "foreign",
            EngineFaults {
                foreign_after_tokens: Some(4),
                ..none()
            },
        ),
        (
            "late",
            EngineFaults {
                late_events: true,
                ..none()
            },
        ),
        (
            "done early",
            EngineFaults {
                done_after_tokens: Some(5),
                ..none()
            },
        ),
        (
            "error event",
            EngineFaults {
                error_after_tokens: Some(5),
                ..none()
            },
        ),
        (
            "no done",
            EngineFaults {
                no_done: true,
                ..none()
            },
        ),
        (
            "status 500",
            EngineFaults {
                fail: true,
                ..none()
            },
        ),
        (
            "leaving",
            EngineFaults {
                leaving: true,
                ..none()
            },
        ),
        (
            "duplicated, swapped and cut",
            EngineFaults {
                duplicate_events: true,
                swap_after_tokens: Some(1),
                cut_after_tokens: Some(6),
                ..none()
            },
        ),
    ];
    let whole = [
        (
            "foreign",
            EngineFaults {
                foreign_answers: true,
                ..none()
            },
        ),
        (
            "cut",
            EngineFaults {
                cut_answers: true,
                ..none()
            },
        ),
        (
            "short",
            EngineFaults {
                short_answers: true,
                ..none()
            },
        ),
        (
            "status 500",
            EngineFaults {
                fail: true,
                ..none()
            },
        ),
    ];
    let mut cases = Vec::new();
    for (name, faults) in streamed {
        cases.push((name, true, faults));
    }
    for (name, faults) in whole {
        cases.push((name, false, faults));
    }
    cases
}

#[tokio::test(flavor = "multi_thread")]
async fn answers_are_whole_over_every_fault_of_one_engine() {
    let deployment = Deployment::start(2, 1).await;
    deployment.set_demo_contract().await;
    for (name, streamed, faults) in cases() {
        set_faults(&deployment, 1, &faults).await;
        let before = record(&deployment, 1).await.len();
        let mut number = 0;
        until("the faulty engine to be asked", async || {
            let question = format!("{name} {streamed} {number}");
            number += 1;
            let expected = text::answer(&prompt(&question), 12);
            let answer = ask(&deployment, &question, 12, streamed).await;
            assert_eq!(answer, expected, "{name}, streamed: {streamed}");
            faults.leaving || record(&deployment, 1).await.len() > before
        })
        .await;
        set_faults(&deployment, 1, &EngineFaults::default()).await;
        let failed = record(&deployment, 1).await.len();
        until("the engine to serve again", async || {
            let question = format!("{name} {streamed} {number} mended");
            number += 1;
            ask(&deployment, &question, 20, true).await;
            record(&deployment, 1).await.len() > failed
        })
        .await;
    }
}

async fn streams_through_loss(signal: Signal) {
    let deployment = Deployment::start(3, 1).await;
    deployment.set_demo_contract().await;
    let address = deployment.caller_address(0);
    let mut streams = Vec::new();
    for index in 0..30 {
        let caller = deployment.caller.clone();
        streams.push(tokio::spawn(async move {
            let question = format!("stream {index}");
            let body = Bytes::from(chat(&question, 200, true).to_string());
            let sent = caller.send(address, Method::POST, CHAT, body, "application/json");
            (question, sent.await)
        }));
    }
    until("streams on the engine to be lost", async || {
        let running = record(&deployment, 1).await;
        running
            .iter()
            .filter(|ran| ran["tokens"].as_u64() > Some(20))
            .count()
            >= 3
    })
    .await;
    deployment.engines[1].signal(signal);
    for stream in streams {
        let (question, body) = stream.await.unwrap();
        let expected = text::answer(&prompt(&question), 200);
        let body = body.unwrap();
        assert_eq!(streamed_text(&body), (expected, true), "{question}");
    }
    let mut resumed = 0;
    for engine in [0, 2] {
        let finished = record(&deployment, engine).await;
        let partial = |ran: &&Value| ran["finished"] == true && ran["tokens"].as_u64() < Some(200);
        resumed += finished.iter().filter(partial).count();
    }
    assert!(resumed >= 3, "{resumed} streams were resumed");
}

#[tokio::test(flavor = "multi_thread")]
async fn streams_of_a_killed_engine_go_on_elsewhere_without_gap_or_repeat() {
    streams_through_loss(Signal::SIGKILL).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn streams_of_a_paused_engine_go_on_elsewhere_without_gap_or_repeat() {
    streams_through_loss(Signal::SIGSTOP).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn stream_without_another_engine_ends_with_a_typed_error() {
    let deployment = Deployment::start(1, 1).await;
    deployment.set_demo_contract().await;
    let faults = EngineFaults {
        cut_after_tokens: Some(5),
        ..EngineFaults::default()
    };
    set_faults(&deployment, 0, &faults).await;
    let body = Bytes::from(chat("to be cut", 12, true).to_string());
    let address = deployment.caller_address(0);
    let sent = deployment
        .caller
        .send(address, Method::POST, CHAT, body, "application/json");
    let body = sent.await.unwrap();
    let (text, ended) = streamed_text(&body);
    assert_eq!(
        (text, ended),
        (text::answer(&prompt("to be cut"), 5), false)
    );
    let body = String::from_utf8_lossy(&body).into_owned();
    let last = body
        .lines()
        .rev()
        .find_map(|line| line.strip_prefix("data: "));
    let error: Value = serde_json::from_str(last.unwrap()).unwrap();
    assert_eq!(error["error"]["code"], "backend_failed");
    assert_eq!(error["error"]["ran"], "ran");
}

async fn open(deployment: &Deployment, question: &str, tokens: u64) -> Response<Incoming> {
    let address = deployment.caller_address(0);
    let request = Request::post(format!("http://{address}{CHAT}"))
        .header("authorization", format!("Bearer {API_KEY}"))
        .body(Full::new(Bytes::from(
            chat(question, tokens, true).to_string(),
        )))
        .unwrap();
    let client = HttpClient::new(Reuse::Fresh);
    client.send(address, request, 10_000).await.unwrap()
}

#[tokio::test(flavor = "multi_thread")]
async fn request_of_a_vanished_caller_is_cancelled_at_the_engine() {
    let deployment = Deployment::start(1, 1).await;
    deployment.set_demo_contract().await;
    let mut response = open(&deployment, "never read", 5_000).await;
    response.body_mut().frame().await.unwrap().unwrap();
    drop(response);
    until("the cancel", async || {
        let record = record(&deployment, 0).await;
        record.len() == 1 && record[0]["cancelled"] == json!(true)
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn slow_caller_gets_the_whole_answer() {
    let deployment = Deployment::start(1, 1).await;
    deployment.set_demo_contract().await;
    let response = open(&deployment, "read late", 2_000).await;
    tokio::time::sleep(Duration::from_secs(4)).await;
    let body = response.into_body().collect().await.unwrap().to_bytes();
    let expected = text::answer(&prompt("read late"), 2_000);
    assert_eq!(streamed_text(&body), (expected, true));
}
