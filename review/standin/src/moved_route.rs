//! A new configuration moves a batch route to another service while items run. Each result has to be
//! the whole output of its item, and not the start of one service's output with the end of another's.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use http::{Method, StatusCode};
use serde_json::{Value, json};
use tokio::time::{Instant, sleep, sleep_until};

use crate::client::{Client, HOST};
use crate::record::Record;
use crate::replica::{Pace, whole_text};
use crate::site::{NewItem, Site, batch_job, item_id};
use crate::{Result, Verdict};

const JOB: &str = "7c41e09b52d6a3f8";
const PACE: Pace = Pace {
    event_ms: 12,
    event_bytes: 55,
};
/// Two services with two servers each, all of the version that new servers state.
const SERVERS: [(&str, &str); 4] = [
    ("writers-a", "v1"),
    ("writers-a", "v1"),
    ("writers-b", "v1"),
    ("writers-b", "v1"),
];
const ITEMS: usize = 10;
const EVENTS: u64 = 259;
/// The new configuration and the jump of online traffic, from the acceptance of the job.
const CONFIG_AFTER_MS: u64 = 600;
const TRAFFIC_AFTER_MS: u64 = 1_200;
/// Online streams that come at once and their events. They need all slots of the first service.
const STREAMS: usize = 16;
const STREAM_EVENTS: u64 = 38;
const READ_INTERVAL_MS: u64 = 500;
/// `DeadlineMs` of the route.
const DUE_MS: u64 = 18_000;

/// The configuration. Summaries stay at the first service; reports run at `reports_service`.
fn config(version: u64, reports_service: &str) -> Value {
    json!({
        "Version": version,
        "Routes": [{
            "Name": "reports", "Hostname": HOST, "PathPrefix": "/reports/", "Kind": "batch",
            "TimeoutMs": 15_000, "GoalMs": 400, "Priority": 2, "Service": reports_service,
            "MaxAttempts": 3, "Sticky": true, "Resumable": true, "GapTargetMs": 200,
            "DeadlineMs": DUE_MS, "RetentionS": 60, "MaxCount": 2_200_000,
        }, {
            "Name": "summaries", "Hostname": HOST, "PathPrefix": "/summaries/", "Kind": "stream",
            "TimeoutMs": 5_000, "GoalMs": 300, "Priority": 0, "Service": "writers-a",
            "MaxAttempts": 2, "Sticky": true, "Resumable": true, "GapTargetMs": 200,
        }],
        "Services": [service("writers-a"), service("writers-b")],
        "Limits": {
            "MaxHeaderBytes": 16_384, "MaxBodyBytes": 4_194_304, "HeaderTimeoutMs": 3_000,
            "IdleTimeoutMs": 15_000,
        },
    })
}

fn service(name: &str) -> Value {
    json!({
        "Name": name, "HealthPath": "/health", "MaxConns": 370,
        "Engine": {"Slots": 8, "KvCapacity": 110_792, "Models": [{"Name": "m"}]},
    })
}

async fn stream(client: Client, address: SocketAddr, number: usize, record: Record) {
    let (id, usage) = (format!("5eed{number:012x}"), format!("350,{STREAM_EVENTS}"));
    let headers = [
        ("Attempt-Id", id.as_str()),
        ("Model", "m"),
        ("Token-Usage", usage.as_str()),
        ("Prompt-Prefix", "9c2e41:100,5d07b8:250"),
    ];
    let call = (Method::POST, "/summaries/1");
    let sent = client.send(address, call, &headers, Vec::new(), 5_000);
    match sent.await {
        Ok((status, bytes)) => record.line(format!(
            "stream {id} is answered {status} with {} bytes",
            bytes.len()
        )),
        Err(error) => record.line(format!("stream {id} has no answer: {error}")),
    }
}

/// What is wrong with a result; `None` if it is the whole output of its item at one service.
fn fault((id, state, text): &(String, String, String)) -> Option<String> {
    if state != "done" {
        return Some(format!("{id} is {state}"));
    }
    let is_whole = |author| *text == whole_text(author, id, EVENTS, PACE.event_bytes);
    if SERVERS.into_iter().any(is_whole) {
        return None;
    }
    let lines: Vec<&str> = text.split('\n').collect();
    let of = |service: &str| lines.iter().filter(|line| line.contains(service)).count();
    Some(format!(
        "{id} is done with {} events, {} of them by writers-a and {} by writers-b",
        lines.len(),
        of("writers-a"),
        of("writers-b")
    ))
}

/// Plays the case.
pub async fn run(has_trouble: bool, folder: &Path, record: &Record) -> Result<Verdict> {
    let site = Site::start_with(&config(1, "writers-a"), &SERVERS, PACE, folder, record).await?;
    let client = Client::new();
    let items = [NewItem {
        events: EVENTS,
        shared_part: 0x9c2e41,
    }; ITEMS];
    let first = site.nodes[0].caller_address;
    let body = batch_job(JOB, &items);
    let submitted = client.submit(first, "/reports/1", JOB, &body).await?;
    record.line(format!("batch job {JOB} is answered {submitted}"));
    if submitted != StatusCode::ACCEPTED {
        return Err(format!("the batch job was answered {submitted}").into());
    }
    let accepted = Instant::now();
    sleep_until(accepted + Duration::from_millis(CONFIG_AFTER_MS)).await;
    if has_trouble {
        site.store.put("op", "config", &config(2, "writers-b"));
        record.line("configuration 2 moves the batch route from writers-a to writers-b");
    }
    sleep_until(accepted + Duration::from_millis(TRAFFIC_AFTER_MS)).await;
    for number in 0..STREAMS {
        let node = &site.nodes[number % site.nodes.len()];
        let (client, record) = (client.clone(), record.clone());
        tokio::spawn(stream(client, node.caller_address, number, record));
    }
    let mut results = Vec::new();
    let end = accepted + Duration::from_millis(DUE_MS);
    while results.len() < ITEMS && Instant::now() < end {
        sleep(Duration::from_millis(READ_INTERVAL_MS)).await;
        let (status, page) = client.read(first, JOB, results.len() as u64).await?;
        if status != StatusCode::OK {
            record.line(format!("a read is answered {status}"));
        }
        results.extend(page.results);
    }
    record.line(format!("{} of {ITEMS} items are listed", results.len()));
    let known: Vec<String> = (0..ITEMS).map(|index| item_id(JOB, index)).collect();
    let mut wrong = 0;
    for result in &results {
        let unknown = (!known.contains(&result.0)).then(|| format!("{} is no item", result.0));
        if let Some(fault) = unknown.or_else(|| fault(result)) {
            record.line(fault);
            wrong += 1;
        }
    }
    record.line(format!(
        "{wrong} results are not the whole output of their item"
    ));
    if results.len() < ITEMS {
        return Err("not all items are listed in time".into());
    }
    match wrong {
        0 => Ok(Verdict::Held),
        _ => Ok(Verdict::Broken),
    }
}
