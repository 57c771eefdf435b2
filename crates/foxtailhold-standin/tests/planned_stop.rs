//! A planned stop interrupts no request of a caller that follows the rules: it fetches the list of
//! addresses, keeps it for at most `keep_for_ms`, and sends to any address in it.

mod common;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use bytes::Bytes;
use common::{Deployment, until};
use foxtailhold_standin::demo::{Caller, batch_input, chat};
use http::Method;
use nix::sys::signal::Signal;
use serde_json::{Value, json};

const CHAT: &str = "/v1/chat/completions";
const CALLERS: usize = 12;

/// The list of addresses that a caller has cached.
struct AddressList {
    addresses: Vec<SocketAddr>,
    asked_at: Instant,
    keep_for: Duration,
}

impl AddressList {
    /// Fetches the list from the first of the known addresses that answers.
    async fn fetch(caller: &Caller, known: &[SocketAddr]) -> AddressList {
        let asked_at = Instant::now();
        for address in known {
            let asked = caller.json(*address, Method::GET, "/v1/entries", &Value::Null);
            let Ok(list) = asked.await else {
                continue;
            };
            let mut addresses = Vec::new();
            for entry in list["entries"].as_array().unwrap() {
                addresses.push(entry["address"].as_str().unwrap().parse().unwrap());
            }
            assert!(!addresses.is_empty(), "an empty list of addresses");
            let keep_for = Duration::from_millis(list["keep_for_ms"].as_u64().unwrap());
            return AddressList {
                addresses,
                asked_at,
                keep_for,
            };
        }
        panic!("no instance gave a list");
    }
}

/// Results over all callers.
#[derive(Default)]
struct CallerStatistics {
    done: AtomicBool,
    answered: AtomicUsize,
    failed: std::sync::Mutex<Vec<String>>,
}

async fn call(caller: &Caller, address: SocketAddr, turn: usize) -> Result<(), String> {
    if turn.is_multiple_of(5) {
        let file = caller.upload(address, &batch_input(40)).await;
        return file.map(drop).map_err(|error| error.to_string());
    }
    let streamed = turn.is_multiple_of(2);
    let body = chat(&format!("turn {turn}"), 40, streamed).to_string();
    let sent = caller.send(address, Method::POST, CHAT, body.into(), "application/json");
    let body = sent.await.map_err(|error| error.to_string())?;
    if streamed && !body.ends_with(b"data: [DONE]\n\n") {
        return Err("a stream was cut".to_owned());
    }
    Ok(())
}

/// Calls without pauses, rotating over the addresses of a list that is renewed as late as allowed.
async fn run_compliant_caller(
    index: usize,
    mut known: Vec<SocketAddr>,
    seen: Arc<CallerStatistics>,
) {
    let caller = Caller::default();
    let mut list = AddressList::fetch(&caller, &known).await;
    for turn in index.. {
        if seen.done.load(Ordering::Relaxed) {
            return;
        }
        if list.asked_at.elapsed() >= list.keep_for {
            known.rotate_left(1);
            list = AddressList::fetch(&caller, &known).await;
        }
        let address = list.addresses[turn % list.addresses.len()];
        match call(&caller, address, turn).await {
            Ok(()) => {
                seen.answered.fetch_add(1, Ordering::Relaxed);
            }
            Err(error) => seen.failed.lock().unwrap().push(error),
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn two_stops_at_once_fail_no_request_of_callers_that_follow_the_rules() {
    let mut deployment = Deployment::start(3, 5).await;
    deployment.set_demo_contract().await;
    let mut known = Vec::new();
    for index in 0..5 {
        known.push(deployment.caller_address(index));
    }
    let seen = Arc::new(CallerStatistics::default());
    let mut callers = Vec::new();
    for index in 0..CALLERS {
        let mut known = known.clone();
        known.rotate_left(index % 5);
        callers.push(tokio::spawn(run_compliant_caller(
            index,
            known,
            seen.clone(),
        )));
    }
    let long = tokio::spawn({
        let (caller, address) = (deployment.caller.clone(), known[1]);
        async move {
            let body = Bytes::from(chat("a long answer", 1_200, true).to_string());
            let sent = caller.send(address, Method::POST, CHAT, body, "application/json");
            sent.await.unwrap()
        }
    });
    tokio::time::sleep(Duration::from_millis(700)).await;
    let before = seen.answered.load(Ordering::Relaxed);
    for index in [1, 3] {
        deployment.entries[index].signal(Signal::SIGTERM);
    }
    for index in [1, 3] {
        assert_eq!(deployment.entries[index].wait().code(), Some(0));
    }
    tokio::time::sleep(Duration::from_millis(700)).await;
    seen.done.store(true, Ordering::Relaxed);
    for caller in callers {
        caller.await.unwrap();
    }
    assert!(long.await.unwrap().ends_with(b"data: [DONE]\n\n"));
    assert_eq!(*seen.failed.lock().unwrap(), Vec::<String>::new());
    let after = seen.answered.load(Ordering::Relaxed);
    assert!(
        before > 0 && after > before + 50,
        "{before} and {after} answers"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn stopping_instance_hands_its_jobs_over_at_once() {
    let mut deployment = Deployment::start(2, 3).await;
    deployment.set_demo_contract().await;
    let caller = deployment.caller.clone();
    let address = deployment.caller_address(0);
    let file = caller.upload(address, &batch_input(2_000)).await.unwrap();
    let request = json!({ "input_file_id": file, "endpoint": CHAT, "completion_window": "1h" });
    let batch = caller
        .json(address, Method::POST, "/v1/batches", &request)
        .await
        .unwrap();
    let job = batch["id"].as_str().unwrap().to_owned();
    let mut owner = None;
    until("the job to have an owner", async || {
        let jobs = deployment.operator(0).jobs().await.unwrap_or_default();
        let found = jobs.into_iter().find(|row| row.job.as_str() == job);
        owner = found.and_then(|row| row.owner);
        owner.is_some()
    })
    .await;
    let owner = owner.unwrap().to_string();
    let index: usize = owner.trim_start_matches("entry-").parse().unwrap();
    let asked = (index + 1) % 3;
    deployment.entries[index].signal(Signal::SIGTERM);
    let start = Instant::now();
    until("another owner, or the end of the job", async || {
        let jobs = deployment.operator(asked).jobs().await.unwrap_or_default();
        let found = jobs.into_iter().find(|row| row.job.as_str() == job);
        let Some(row) = found else {
            return true;
        };
        row.owner.is_some_and(|other| other.as_str() != owner)
    })
    .await;
    assert!(
        start.elapsed() < Duration::from_secs(6),
        "{:?}",
        start.elapsed()
    );
    assert_eq!(deployment.entries[index].wait().code(), Some(0));
}
