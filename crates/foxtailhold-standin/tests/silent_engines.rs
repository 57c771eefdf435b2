//! Sound engines fall silent and go on. Silence is no reason to end an answer or an item.

mod batch_deployment;
mod common;

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use batch_deployment::Job;
use bytes::Bytes;
use common::answers::{CHAT, prompt, set_faults, streamed_text};
use common::{Deployment, until};
use foxtailhold_http::client::{HttpClient, Reuse};
use foxtailhold_standin::demo::{API_KEY, chat};
use foxtailhold_standin::engine::faults::Ran;
use foxtailhold_standin::engine::{EngineFaults, text};
use http::{Method, Request};
use http_body_util::{BodyExt, Full};
use serde_json::{Value, json};

/// Longer than the shortest time limit between two events.
const SILENCE_MS: u64 = 2_500;
const STREAMS: usize = 24;
const TOKENS: u64 = 400;

fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
    since.as_millis() as u64
}

/// Silences all engines for `silence_ms`, from now on.
async fn silence(deployment: &Deployment, silence_ms: u64) {
    silence_with(deployment, silence_ms, EngineFaults::default()).await;
}

/// Sets faults of all engines, which besides are silent for `silence_ms`, from now on.
async fn silence_with(deployment: &Deployment, silence_ms: u64, faults: EngineFaults) {
    let faults = EngineFaults {
        silent_until_unix_ms: unix_ms() + silence_ms,
        ..faults
    };
    for engine in 0..deployment.engines.len() {
        set_faults(deployment, engine, &faults).await;
    }
}

async fn record(deployment: &Deployment, engine: usize) -> Vec<Ran> {
    let address = deployment.engines[engine].address("listening");
    let path = "/standin/record";
    let record = deployment
        .caller
        .json(address, Method::GET, path, &Value::Null);
    serde_json::from_value(record.await.unwrap()).unwrap()
}

/// Waits until every stream has some tokens.
async fn wait_for_tokens(deployment: &Deployment, streams: usize) {
    until("all streams to run", async || {
        let mut running = 0;
        for engine in 0..deployment.engines.len() {
            let record = record(deployment, engine).await;
            running += record.iter().filter(|ran| ran.tokens > 40).count();
        }
        running >= streams
    })
    .await;
}

/// The answer to a question: its text, and whether it is complete.
async fn ask(
    deployment: &Deployment,
    question: String,
    tokens: u64,
    stream: bool,
    deadline_ms: u64,
) -> (String, bool, String) {
    let address = deployment.caller_address(0);
    let request = Request::post(format!("http://{address}{CHAT}"))
        .header("authorization", format!("Bearer {API_KEY}"))
        .header("foxtailhold-deadline-ms", deadline_ms)
        .body(Full::new(Bytes::from(
            chat(&question, tokens, stream).to_string(),
        )))
        .unwrap();
    let client = HttpClient::new(Reuse::Fresh);
    let response = client.send(address, request, 60_000).await.unwrap();
    let body = response.into_body().collect().await.unwrap().to_bytes();
    let shown = String::from_utf8_lossy(&body).into_owned();
    let expected = text::answer(&prompt(&question), tokens);
    let (found, ended) = match stream {
        true => streamed_text(&body),
        false => {
            let whole: Value = serde_json::from_slice(&body).unwrap();
            let content = &whole["choices"][0]["message"]["content"];
            let content = content.as_str();
            (content.unwrap_or_default().to_owned(), content.is_some())
        }
    };
    assert!(expected.starts_with(&found), "{question}: {found}");
    let is_whole = ended && found == expected;
    (question, is_whole, shown)
}

fn assert_all_whole(kind: &str, answers: Vec<(String, bool, String)>) {
    let count = answers.len();
    let mut cut = Vec::new();
    for (question, is_whole, shown) in answers {
        if !is_whole {
            let last = shown.trim_end().lines().last().unwrap_or_default();
            cut.push(format!("{question}: {last:.300}"));
        }
    }
    println!("figure: {kind}: {} of {count} whole", count - cut.len());
    assert!(
        cut.is_empty(),
        "{} of {count} cut: {}",
        cut.len(),
        cut.join("\n")
    );
}

async fn streams_through_silence(kind: &str, silence_ms: u64, faults: EngineFaults) {
    let deployment = Deployment::start(3, 1).await;
    deployment.set_demo_contract().await;
    let mut streams = Vec::new();
    for index in 0..STREAMS {
        let question = format!("silent stream {index}");
        streams.push(ask(&deployment, question, TOKENS, true, 50_000));
    }
    let silenced = async {
        wait_for_tokens(&deployment, STREAMS).await;
        silence_with(&deployment, silence_ms, faults).await;
    };
    let (answers, ()) = tokio::join!(futures_util::future::join_all(streams), silenced);
    assert_all_whole(kind, answers);
}

#[tokio::test(flavor = "multi_thread")]
async fn streams_are_whole_when_all_engines_are_silent_in_mid_stream() {
    let faults = EngineFaults::default();
    streams_through_silence("streams, silent for 2.5 s", SILENCE_MS, faults).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn streams_are_whole_when_all_engines_are_silent_and_full() {
    let faults = EngineFaults {
        full: true,
        ..EngineFaults::default()
    };
    streams_through_silence("streams, silent and full for 2.5 s", SILENCE_MS, faults).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn streams_are_whole_when_all_engines_are_silent_for_longer_than_all_attempts() {
    let faults = EngineFaults::default();
    streams_through_silence("streams, silent for 15 s", 15_000, faults).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn stream_at_the_only_engine_is_whole_after_silence() {
    let deployment = Deployment::start(1, 1).await;
    deployment.set_demo_contract().await;
    let stream = ask(&deployment, "only engine".into(), TOKENS, true, 50_000);
    let silenced = async {
        wait_for_tokens(&deployment, 1).await;
        silence(&deployment, 3 * SILENCE_MS).await;
    };
    let (answer, ()) = tokio::join!(stream, silenced);
    assert_all_whole("stream at one engine, silent for 7.5 s", vec![answer]);
    let record = record(&deployment, 0).await;
    assert_eq!(record.len(), 1, "{record:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn silent_stream_ends_at_the_deadline_of_its_caller() {
    let deployment = Deployment::start(2, 1).await;
    deployment.set_demo_contract().await;
    let start = Instant::now();
    let stream = ask(&deployment, "too late".into(), TOKENS, true, 6_000);
    let silenced = async {
        wait_for_tokens(&deployment, 1).await;
        silence(&deployment, 30_000).await;
    };
    let ((_, is_whole, shown), ()) = tokio::join!(stream, silenced);
    let took = start.elapsed();
    assert!(!is_whole && shown.contains("deadline_passed"), "{shown}");
    assert!(shown.contains("\"ran\":\"ran\""), "{shown}");
    let (least, most) = (Duration::from_millis(5_900), Duration::from_millis(7_500));
    assert!(took > least && took < most, "{took:?}");
    let mut attempts = 0;
    for engine in 0..2 {
        attempts += record(&deployment, engine).await.len();
    }
    assert!(attempts <= 2, "{attempts} attempts");
}

#[tokio::test(flavor = "multi_thread")]
async fn dead_engine_is_noticed_although_all_deadlines_are_short() {
    let requests = 90;
    let deployment = Deployment::start(3, 1).await;
    deployment.set_demo_contract().await;
    let faults = EngineFaults {
        frozen: true,
        ..EngineFaults::default()
    };
    set_faults(&deployment, 1, &faults).await;
    let mut late = 0;
    for index in 0..requests {
        let question = format!("short deadline {index}");
        let stream = index % 2 == 0;
        let (_, is_whole, _) = ask(&deployment, question, 10, stream, 1_000).await;
        late += usize::from(!is_whole);
    }
    println!("figure: {late} of {requests} short requests late beside a dead engine");
    assert!(late <= 15, "{late} of {requests} were late");
}

#[tokio::test(flavor = "multi_thread")]
async fn answers_that_begin_in_silence_are_whole() {
    let deployment = Deployment::start(2, 1).await;
    deployment.set_demo_contract().await;
    let mut first = Vec::new();
    for index in 0..8 {
        let question = format!("before {index}");
        first.push(ask(&deployment, question, 60, true, 50_000));
    }
    assert_all_whole("before", futures_util::future::join_all(first).await);
    silence(&deployment, 12_000).await;
    let mut asked = Vec::new();
    for index in 0..12 {
        let stream = index % 2 == 0;
        let question = format!("begun in silence {index}");
        asked.push(ask(&deployment, question, 20, stream, 50_000));
    }
    let answers = futures_util::future::join_all(asked).await;
    assert_all_whole("begun while silent for 12 s", answers);
}

#[tokio::test(flavor = "multi_thread")]
async fn items_complete_when_all_engines_are_silent() {
    let items = 24;
    let deployment = Deployment::start(2, 1).await;
    deployment.set_demo_contract().await;
    let job = Job::start(&deployment, 0, "silent", items, TOKENS).await;
    wait_for_tokens(&deployment, 8).await;
    silence(&deployment, 32_000).await;
    let ended = job.wait(0, &["completed", "failed", "expired"]).await;
    println!(
        "figure: items, silent for 32 s: {}",
        ended["request_counts"]
    );
    let mut attempts = 0;
    let by_prompt = job.attempts_by_prompt().await;
    for ran in by_prompt.values() {
        attempts = attempts.max(ran.len());
    }
    println!("figure: most attempts of an item: {attempts}");
    let expected = json!({ "total": items, "completed": items, "failed": 0 });
    assert_eq!(ended["request_counts"], expected);
    job.check_output(0).await;
}
