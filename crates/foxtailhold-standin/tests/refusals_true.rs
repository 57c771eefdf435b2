//! What a refusal states about the execution of the request agrees with the records of the backend
//! servers.

mod common;

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use common::Deployment;
use common::answers::{CHAT, prompt, set_faults};
use foxtailhold_http::body::read_whole;
use foxtailhold_http::client::{HttpClient, Reuse};
use foxtailhold_standin::demo::{API_KEY, chat};
use foxtailhold_standin::engine::EngineFaults;
use http::{Method, Request, request};
use http_body_util::Full;
use nix::sys::signal::Signal;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde_json::{Value, json};

/// A refusal as the caller received it.
#[derive(Debug, Clone)]
struct Refusal {
    text: String,
    code: String,
    ran: String,
    retry_after: bool,
    took: Duration,
}

fn request(address: SocketAddr, path: &str) -> request::Builder {
    Request::post(format!("http://{address}{path}"))
        .header("authorization", format!("Bearer {API_KEY}"))
}

/// Sends a request; `None` if it was answered without an error.
async fn send_for_refusal(builder: request::Builder, text: &str, body: String) -> Option<Refusal> {
    let start = Instant::now();
    let uri = builder.uri_ref().unwrap().authority().unwrap().as_str();
    let address: SocketAddr = uri.parse().unwrap();
    let request = builder.body(Full::new(Bytes::from(body))).unwrap();
    let client = HttpClient::new(Reuse::Fresh);
    let response = client.send(address, request, 60_000).await.unwrap();
    let (head, body) = response.into_parts();
    let body = read_whole(body, 1 << 20).await.unwrap();
    let body = String::from_utf8_lossy(&body).into_owned();
    let last = body.lines().rev().find(|line| !line.is_empty())?;
    let last = last.strip_prefix("data: ").unwrap_or(last);
    let error = serde_json::from_str::<Value>(last).ok()?["error"].clone();
    Some(Refusal {
        text: text.to_owned(),
        code: error["code"].as_str()?.to_owned(),
        ran: error["ran"].as_str()?.to_owned(),
        retry_after: head.headers.contains_key("retry-after") || error["retry_after_ms"].is_u64(),
        took: start.elapsed(),
    })
}

async fn send_chat(
    deployment: &Deployment,
    text: &str,
    deadline_ms: Option<u64>,
) -> Option<Refusal> {
    let address = deployment.caller_address(0);
    let mut builder = request(address, CHAT);
    if let Some(deadline_ms) = deadline_ms {
        builder = builder.header("foxtailhold-deadline-ms", deadline_ms);
    }
    let streamed = text.contains("streamed");
    send_for_refusal(builder, text, chat(text, 12, streamed).to_string()).await
}

/// All prompts and bodies in the records of the backend servers that still run.
async fn records(deployment: &Deployment) -> String {
    let mut records = String::new();
    for process in deployment.engines.iter().chain(&deployment.services) {
        let address = process.address("listening");
        let path = "/standin/record";
        let record = deployment
            .caller
            .json(address, Method::GET, path, &Value::Null);
        let record = record.await.unwrap_or_default();
        for entry in record.as_array().cloned().unwrap_or_default() {
            records.push_str(entry["prompt"].as_str().unwrap_or_default());
            records.push_str(entry["body"].as_str().unwrap_or_default());
            records.push('\n');
        }
    }
    records
}

async fn assert_matches_records(deployment: &Deployment, refusals: &[Refusal]) {
    let records = records(deployment).await;
    for refusal in refusals {
        let ran = records.contains(&prompt(&refusal.text)) || records.contains(&refusal.text);
        match refusal.ran.as_str() {
            "not_run" => assert!(!ran, "{refusal:?} is false"),
            "ran" => assert!(ran, "{refusal:?} is false"),
            "may_have_run" => {}
            other => panic!("unknown value of `ran`: {other}"),
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn each_refusal_says_what_the_engine_ran() {
    let deployment = Deployment::start(1, 1).await;
    deployment.set_demo_contract().await;
    let none = EngineFaults::default;
    let cases = [
        (
            "full",
            None,
            "not_run",
            EngineFaults {
                full: true,
                ..none()
            },
        ),
        (
            "status 500",
            None,
            "may_have_run",
            EngineFaults {
                fail: true,
                ..none()
            },
        ),
        (
            "short",
            None,
            "may_have_run",
            EngineFaults {
                short_answers: true,
                ..none()
            },
        ),
        (
            "foreign",
            None,
            "may_have_run",
            EngineFaults {
                foreign_answers: true,
                ..none()
            },
        ),
        (
            "frozen",
            Some(400),
            "may_have_run",
            EngineFaults {
                frozen: true,
                ..none()
            },
        ),
        (
            "streamed, frozen",
            Some(400),
            "may_have_run",
            EngineFaults {
                frozen: true,
                ..none()
            },
        ),
        (
            "streamed, cut at once",
            None,
            "may_have_run",
            EngineFaults {
                cut_after_tokens: Some(0),
                ..none()
            },
        ),
        (
            "streamed, cut",
            None,
            "ran",
            EngineFaults {
                cut_after_tokens: Some(4),
                ..none()
            },
        ),
        (
            "streamed, error",
            None,
            "ran",
            EngineFaults {
                error_after_tokens: Some(4),
                ..none()
            },
        ),
        (
            "leaving",
            None,
            "not_run",
            EngineFaults {
                leaving: true,
                ..none()
            },
        ),
    ];
    let mut refusals = Vec::new();
    for (text, deadline_ms, ran, faults) in cases {
        set_faults(&deployment, 0, &faults).await;
        let refusal = send_chat(&deployment, text, deadline_ms).await.unwrap();
        assert_eq!(refusal.ran, ran, "{refusal:?}");
        assert!(refusal.retry_after, "{refusal:?}");
        if let Some(deadline_ms) = deadline_ms {
            assert_eq!(refusal.code, "deadline_passed");
            let late = Duration::from_millis(deadline_ms + 1_000);
            assert!(refusal.took < late, "{refusal:?}");
        }
        refusals.push(refusal);
        set_faults(&deployment, 0, &none()).await;
    }
    assert_matches_records(&deployment, &refusals).await;
    tokio::time::sleep(Duration::from_secs(1)).await;
    assert_matches_records(&deployment, &refusals).await;
    deployment.engines[0].signal(Signal::SIGKILL);
    tokio::time::sleep(Duration::from_millis(200)).await;
    let refusal = send_chat(&deployment, "gone", None).await.unwrap();
    assert_eq!(
        (refusal.ran.as_str(), refusal.retry_after),
        ("not_run", true)
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn each_refusal_says_what_the_service_ran() {
    let deployment = Deployment::start(1, 1).await;
    deployment.set_demo_contract().await;
    let service = deployment.services[0].address("listening");
    let faults = json!({ "delay_ms": 3_000 });
    let body = Bytes::from(faults.to_string());
    let sent = deployment.caller.send(
        service,
        Method::POST,
        "/standin/faults",
        body,
        "application/json",
    );
    sent.await.unwrap();
    let address = deployment.caller_address(0);
    let path = "/v1/services/portal/award";
    let call = |text: &str, deadline_ms: u64| {
        let builder = request(address, path).header("foxtailhold-deadline-ms", deadline_ms);
        let text = text.to_owned();
        async move {
            send_for_refusal(builder, &text, text.clone())
                .await
                .unwrap()
        }
    };
    let late = call("award-late", 300).await;
    assert_eq!(late.ran, "may_have_run");
    assert!(
        late.retry_after && late.took < Duration::from_secs(2),
        "{late:?}"
    );
    deployment.services[0].signal(Signal::SIGKILL);
    tokio::time::sleep(Duration::from_millis(200)).await;
    let gone = call("award-gone", 2_000).await;
    assert_eq!((gone.ran.as_str(), gone.retry_after), ("not_run", true));
}

/// First round in which engines may report that they are leaving. Instances remember this for 12 s,
/// so an earlier round would exclude the engines from the rounds after it.
const LEAVING_ROUND: usize = 22;

/// A random fault; in each third round only faults that refuse new requests.
fn random_faults(rng: &mut SmallRng, round: usize) -> EngineFaults {
    let tokens = Some(rng.random_range(0..12));
    let none = EngineFaults::default();
    let first = if round < LEAVING_ROUND { 2 } else { 1 };
    let kinds = if round.is_multiple_of(3) {
        first..3
    } else {
        first..10
    };
    match rng.random_range(kinds) {
        0 => EngineFaults { fail: true, ..none },
        1 => EngineFaults {
            leaving: true,
            ..none
        },
        2 => EngineFaults { full: true, ..none },
        3 => EngineFaults {
            cut_after_tokens: tokens,
            ..none
        },
        4 => EngineFaults {
            foreign_after_tokens: tokens,
            foreign_answers: true,
            ..none
        },
        5 => EngineFaults {
            error_after_tokens: tokens,
            short_answers: true,
            ..none
        },
        6 => EngineFaults {
            frozen: true,
            ..none
        },
        7 => EngineFaults {
            done_after_tokens: tokens,
            cut_answers: true,
            ..none
        },
        _ => none,
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn refusals_stay_true_under_random_faults_of_all_engines() {
    let deployment = Deployment::start(3, 1).await;
    deployment.set_demo_contract().await;
    let mut rng = SmallRng::seed_from_u64(11);
    let mut refusals = Vec::new();
    let mut answered = 0;
    for round in 0..25 {
        for engine in 0..3 {
            set_faults(&deployment, engine, &random_faults(&mut rng, round)).await;
        }
        let mut asked = Vec::new();
        for number in 0..8 {
            let streamed = ["streamed", "whole"][number % 2];
            asked.push(format!("{streamed}, round {round}, request {number}."));
        }
        let asks = asked
            .iter()
            .map(|text| send_chat(&deployment, text, Some(1_500)));
        for refusal in futures_util::future::join_all(asks).await {
            answered += usize::from(refusal.is_none());
            refusals.extend(refusal);
        }
    }
    for engine in 0..3 {
        set_faults(&deployment, engine, &EngineFaults::default()).await;
    }
    tokio::time::sleep(Duration::from_secs(1)).await;
    let count = |ran: &str| refusals.iter().filter(|refusal| refusal.ran == ran).count();
    let (not_run, may, ran) = (count("not_run"), count("may_have_run"), count("ran"));
    println!("{answered} answered, refused: {not_run} not_run, {may} may_have_run, {ran} ran");
    assert!(not_run > 0 && may > 0 && ran > 0);
    assert!(refusals.iter().all(|refusal| refusal.retry_after));
    assert_matches_records(&deployment, &refusals).await;
}
