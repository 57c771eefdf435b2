//! Engines of two software versions serve one model. No answer and no item holds tokens of both.

mod batch_deployment;
mod common;

use std::collections::HashMap;
use std::time::{SystemTime, UNIX_EPOCH};

use batch_deployment::Job;
use bytes::Bytes;
use common::answers::{CHAT, prompt, set_faults, streamed_text};
use common::{Deployment, until};
use foxtailhold_standin::demo::chat;
use foxtailhold_standin::engine::faults::Ran;
use foxtailhold_standin::engine::{EngineFaults, text};
use http::Method;
use nix::sys::signal::Signal;
use serde_json::{Value, json};

const TOKENS: u64 = 120;
const CUT_AFTER: u64 = 8;

/// Starts one entry instance and an engine of each version in `versions`. The engines in `cutting`
/// break streams off after [`CUT_AFTER`] tokens.
async fn start(versions: &[&str], cutting: &[usize]) -> Deployment {
    let mut deployment = Deployment::start(0, 0).await;
    for (index, version) in versions.iter().enumerate() {
        let more = ["--software-version", version];
        deployment.add_engine(&format!("engine-{index}"), "concord-hall", &more);
    }
    deployment.add_entry("entry-0", "concord-hall", &[]);
    deployment.settle(1).await;
    deployment.set_demo_contract().await;
    let faults = EngineFaults {
        cut_after_tokens: Some(CUT_AFTER),
        ..EngineFaults::default()
    };
    for engine in cutting {
        set_faults(&deployment, *engine, &faults).await;
    }
    deployment
}

/// Attempts of each prompt at all engines, with the version of the engine, in order of arrival.
async fn attempts(
    deployment: &Deployment,
    versions: &[&'static str],
) -> HashMap<String, Vec<(Ran, &'static str)>> {
    let mut attempts: HashMap<String, Vec<(Ran, &str)>> = HashMap::new();
    for (engine, version) in deployment.engines.iter().zip(versions) {
        let address = engine.address("listening");
        let path = "/standin/record";
        let caller = &deployment.caller;
        let record = caller.json(address, Method::GET, path, &Value::Null).await;
        let record: Vec<Ran> = serde_json::from_value(record.unwrap_or(json!([]))).unwrap();
        for ran in record {
            let of_prompt = attempts.entry(ran.prompt.clone()).or_default();
            of_prompt.push((ran, version));
        }
    }
    for of_prompt in attempts.values_mut() {
        of_prompt.sort_by_key(|(ran, _)| (ran.came_unix_ms, ran.resumed_at));
    }
    attempts
}

/// The prompts whose output one version began and another went on with.
fn mixed(attempts: &HashMap<String, Vec<(Ran, &'static str)>>) -> Vec<String> {
    let mut mixed = Vec::new();
    for (prompt, of_prompt) in attempts {
        let mut began = "";
        for (ran, version) in of_prompt {
            if ran.resumed_at == 0 {
                began = version;
            }
            if *version != began {
                mixed.push(prompt.clone());
                break;
            }
        }
    }
    mixed
}

fn resumed(attempts: &HashMap<String, Vec<(Ran, &'static str)>>) -> usize {
    let is_resumed =
        |of_prompt: &&Vec<(Ran, &str)>| of_prompt.iter().any(|(ran, _)| ran.resumed_at > 0);
    attempts.values().filter(is_resumed).count()
}

/// Streams `count` answers at once; returns question and body of each.
async fn stream(deployment: &Deployment, name: &str, count: usize) -> Vec<(String, Bytes)> {
    let address = deployment.caller_address(0);
    let mut asked = Vec::new();
    for index in 0..count {
        let question = format!("{name} {index}");
        let body = Bytes::from(chat(&question, TOKENS, true).to_string());
        let sent = deployment
            .caller
            .send(address, Method::POST, CHAT, body, "application/json");
        asked.push(async move { (question, sent.await.unwrap()) });
    }
    futures_util::future::join_all(asked).await
}

#[tokio::test(flavor = "multi_thread")]
async fn streams_go_on_only_at_the_version_that_began_them() {
    let versions = ["v1", "v1", "v1.2", "v1.2"];
    let deployment = start(&versions, &[0, 2]).await;
    let answers = stream(&deployment, "two versions", 48).await;
    let attempts = attempts(&deployment, &versions).await;
    let mixed = mixed(&attempts);
    println!(
        "figure: {} of 48 streams resumed, {} hold both versions",
        resumed(&attempts),
        mixed.len()
    );
    assert!(resumed(&attempts) >= 8);
    assert!(mixed.is_empty(), "{mixed:?}");
    for (question, body) in answers {
        let expected = text::answer(&prompt(&question), TOKENS);
        assert_eq!(streamed_text(&body), (expected, true), "{question}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn stream_without_an_engine_of_its_version_ends_with_a_typed_error() {
    let versions = ["v1", "v1.2", "v1.2"];
    let deployment = start(&versions, &[0]).await;
    let answers = stream(&deployment, "lone version", 36).await;
    let attempts = attempts(&deployment, &versions).await;
    let mixed = mixed(&attempts);
    println!("figure: {} of 36 streams hold both versions", mixed.len());
    let mut ended = 0;
    for (question, body) in answers {
        let (found, is_whole) = streamed_text(&body);
        let began = attempts[&prompt(&question)][0].1;
        assert_eq!(is_whole, began == "v1.2", "{question} began at {began}");
        if is_whole {
            assert_eq!(found, text::answer(&prompt(&question), TOKENS));
            continue;
        }
        ended += 1;
        assert_eq!(found, text::answer(&prompt(&question), CUT_AFTER));
        let body = String::from_utf8_lossy(&body);
        let last = body
            .lines()
            .rev()
            .find_map(|line| line.strip_prefix("data: "));
        let error: Value = serde_json::from_str(last.unwrap()).unwrap();
        assert_eq!(error["error"]["code"], "backend_failed");
        assert_eq!(error["error"]["ran"], "ran");
    }
    println!("figure: {ended} of 36 streams ended with the typed error");
    assert!(ended > 0 && mixed.is_empty(), "{mixed:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn silent_stream_waits_rather_than_go_on_at_another_version() {
    let versions = ["v1", "v1.2"];
    let deployment = start(&versions, &[]).await;
    let silenced = async {
        until("streams to run at the first version", async || {
            let attempts = attempts(&deployment, &versions).await;
            let runs = |(ran, version): &&(Ran, &str)| *version == "v1" && ran.tokens > 4;
            attempts.values().flatten().filter(runs).count() >= 4
        })
        .await;
        let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
        let faults = EngineFaults {
            silent_until_unix_ms: since.as_millis() as u64 + 4_000,
            ..EngineFaults::default()
        };
        set_faults(&deployment, 0, &faults).await;
    };
    let (answers, ()) = tokio::join!(stream(&deployment, "silent version", 16), silenced);
    let mixed = mixed(&attempts(&deployment, &versions).await);
    println!("figure: {} of 16 streams hold both versions", mixed.len());
    assert!(mixed.is_empty(), "{mixed:?}");
    for (question, body) in answers {
        let expected = text::answer(&prompt(&question), TOKENS);
        assert_eq!(streamed_text(&body), (expected, true), "{question}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn items_go_on_only_at_the_version_that_began_them() {
    let versions = ["v1", "v1", "v1.2", "v1.2"];
    let deployment = start(&versions, &[0, 2]).await;
    let job = Job::start(&deployment, 0, "two versions", 40, TOKENS).await;
    job.wait(0, &["completed"]).await;
    let attempts = attempts(&deployment, &versions).await;
    let mixed = mixed(&attempts);
    println!(
        "figure: {} of 40 items resumed, {} hold both versions",
        resumed(&attempts),
        mixed.len()
    );
    assert!(resumed(&attempts) > 0);
    assert!(mixed.is_empty(), "{mixed:?}");
    job.check_output(0).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn item_without_an_engine_of_its_version_starts_again() {
    let versions = ["v1", "v1.2"];
    let deployment = start(&versions, &[]).await;
    let job = Job::start(&deployment, 0, "lone version", 24, 400).await;
    until("items to run at the first version", async || {
        let attempts = attempts(&deployment, &versions).await;
        let runs = |(ran, version): &(Ran, &str)| *version == "v1" && ran.tokens > 40;
        let running = attempts.values().flatten().filter(|ran| runs(ran));
        running.count() >= 4
    })
    .await;
    let before = attempts(&deployment, &versions).await;
    deployment.engines[0].signal(Signal::SIGKILL);
    job.wait(0, &["completed"]).await;
    let (mut began, mut again) = (0, 0);
    let after = attempts(&deployment, &versions).await;
    for (prompt, of_prompt) in &before {
        let is_cut = |(ran, version): &&(Ran, &str)| *version == "v1" && !ran.finished;
        if !of_prompt.iter().any(|ran| is_cut(&ran)) {
            continue;
        }
        began += 1;
        let later = after.get(prompt).map_or(&[][..], Vec::as_slice);
        again += usize::from(
            later
                .iter()
                .any(|(ran, _)| ran.resumed_at == 0 && ran.finished),
        );
    }
    println!("figure: {again} of {began} items of the lost version started again");
    assert!(began > 0);
    assert_eq!(again, began);
    job.check_output(0).await;
}
