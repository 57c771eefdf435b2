//! A connection of one instance to the store goes silent just before the first server of a new software
//! version is listed. The instance has to go on answering requests.

use std::path::Path;
use std::time::Duration;

use http::{Method, StatusCode};
use serde_json::{Value, json};
use tokio::time::{Instant, sleep, sleep_until};

use crate::client::{Client, HOST};
use crate::deployment::{Node, wait_ready};
use crate::proxy::Proxy;
use crate::record::Record;
use crate::replica::{Pace, Replica};
use crate::store::Store;
use crate::{Result, Verdict};

const PACE: Pace = Pace {
    event_ms: 12,
    event_bytes: 55,
};
/// One in ten machines has a silent connection.
const NODES: usize = 10;
const ZONES: [&str; 3] = ["concord-hall", "nashua-hall", "keene-hall"];
const ENGINES: usize = 3;
/// Streams that begin at each instance before the disruption, and their events.
const STREAMS: usize = 3;
const EVENTS: u64 = 20;
/// The feed of the backend servers' entries.
const SERVERS_FEED: &str = "/v1/rows-feed?Table=servers";
/// Time from the disruption to the first server of the new version.
const NEW_VERSION_AFTER_MS: u64 = 200;
/// Requests sent to the instance right after that, while its address is valid (`TtlS` is 1).
const REQUESTS: usize = 12;
const REQUEST_INTERVAL_MS: u64 = 60;
/// `TimeoutMs` of their route, and the time after it in which an answer has to come.
const TIMEOUT_MS: u64 = 5_000;
const ANSWER_MARGIN_MS: u64 = 500;
/// Time for which the client waits.
const DEADLINE_MS: u64 = 8_000;
/// `StableWindowMs`: a machine is in touch again so long after the disruption.
const STABLE_WINDOW_MS: u64 = 3_000;
/// Least number of requests without an answer by which the rule is broken.
const MIN_UNANSWERED: usize = 8;

struct Deployment {
    store: Store,
    nodes: Vec<Node>,
    proxies: Vec<Proxy>,
    _servers: Vec<Replica>,
    _store_server: foxtailhold_http::server::Server,
}

fn config() -> Value {
    json!({
        "Version": 1,
        "Routes": [{
            "Name": "summaries", "Hostname": HOST, "PathPrefix": "/summaries/", "Kind": "stream",
            "TimeoutMs": 5_000, "GoalMs": 300, "Priority": 0, "Service": "writers",
            "MaxAttempts": 2, "Sticky": true, "Resumable": true, "GapTargetMs": 200,
        }, {
            "Name": "status", "Hostname": HOST, "PathPrefix": "/status/", "Kind": "unsafe",
            "TimeoutMs": TIMEOUT_MS, "GoalMs": 100, "Priority": 2, "Service": "portal",
            "MaxAttempts": 1,
        }],
        "Services": [{
            "Name": "writers", "HealthPath": "/health", "MaxConns": 370,
            "Engine": {"Slots": 8, "KvCapacity": 110_792, "Models": [{"Name": "m"}]},
        }, {"Name": "portal", "HealthPath": "/health", "MaxConns": 110}],
        "Limits": {
            "MaxHeaderBytes": 16_384, "MaxBodyBytes": 4_194_304, "HeaderTimeoutMs": 3_000,
            "IdleTimeoutMs": 15_000,
        },
    })
}

async fn deploy(folder: &Path, record: &Record) -> Result<Deployment> {
    let store = Store::new();
    let store_server = store.listen().await?;
    store.put("op", "config", &config());
    let mut servers = Vec::new();
    for number in 1..=ENGINES {
        let name = format!("i-{number}");
        servers.push(Replica::start(&name, ("writers", "v1"), PACE, &store, record).await?);
    }
    servers.push(Replica::start("p-1", ("portal", "v1"), PACE, &store, record).await?);
    let (mut nodes, mut proxies) = (Vec::new(), Vec::new());
    for number in 0..NODES {
        let zone = ZONES[number % ZONES.len()];
        let (proxy, address) = Proxy::start(store_server.address(), record).await?;
        let name = format!("edge-{zone}-{}", number + 1);
        nodes.push(Node::start(&name, zone, address, folder)?);
        proxies.push(proxy);
    }
    wait_ready(&nodes).await?;
    record.line("all instances are ready");
    Ok(Deployment {
        store,
        nodes,
        proxies,
        _servers: servers,
        _store_server: store_server,
    })
}

async fn begin_streams(client: &Client, nodes: &[Node], record: &Record) -> Result<()> {
    let usage = format!("350,{EVENTS}");
    for (number, node) in nodes.iter().enumerate() {
        for turn in 0..STREAMS {
            let id = format!("5eed{number:04x}{turn:08x}");
            let headers = [
                ("Attempt-Id", id.as_str()),
                ("Model", "m"),
                ("Token-Usage", usage.as_str()),
                ("Prompt-Prefix", "9c2e41:100,5d07b8:250"),
            ];
            let call = (Method::POST, "/summaries/1");
            let sent = client.send(node.caller_address, call, &headers, Vec::new(), 4_000);
            let (status, _) = sent.await?;
            if status != StatusCode::OK {
                return Err(format!("{} answers {status} to a stream", node.name).into());
            }
        }
    }
    record.line(format!(
        "{STREAMS} streams have ended well at each instance"
    ));
    Ok(())
}

/// An instance that is not the first to write the record of the versions.
fn select_instance(nodes: &[Node]) -> Result<usize> {
    for (number, node) in nodes.iter().enumerate() {
        if !node.log()?.contains("record of origins written") {
            return Ok(number);
        }
    }
    Err("each instance has written the record".into())
}

/// Sends one request; whether it was answered by its time limit and the margin.
async fn is_answered(
    client: Client,
    node: (String, std::net::SocketAddr),
    id: String,
    record: Record,
) -> bool {
    let (name, address) = node;
    let call = (Method::POST, "/status/1");
    let sent_at = Instant::now();
    record.line(format!("request {id} is sent to {name}"));
    let headers = [("Attempt-Id", id.as_str())];
    let sending = client.send(address, call, &headers, b"status?".to_vec(), DEADLINE_MS);
    let limit = Duration::from_millis(TIMEOUT_MS + ANSWER_MARGIN_MS);
    let answer = tokio::time::timeout(limit, sending).await;
    let took_ms = sent_at.elapsed().as_millis();
    match answer {
        Ok(Ok((status, _))) => {
            record.line(format!(
                "{name} answers {status} to {id} after {took_ms} ms"
            ));
            true
        }
        Ok(Err(error)) => {
            record.line(format!("{name} ends {id} after {took_ms} ms: {error}"));
            true
        }
        Err(_) => {
            record.line(format!("{name} has not answered {id} after {took_ms} ms"));
            false
        }
    }
}

/// Sends the requests; returns the number of those without an answer.
async fn count_unanswered(client: &Client, node: &Node, record: &Record) -> Result<usize> {
    let mut requests = Vec::new();
    for number in 0..REQUESTS {
        let id = format!("7e57{number:012x}{}", node.name.len());
        let to = (node.name.clone(), node.caller_address);
        let sending = is_answered(client.clone(), to, id, record.clone());
        requests.push(tokio::spawn(sending));
        sleep(Duration::from_millis(REQUEST_INTERVAL_MS)).await;
    }
    let mut unanswered = 0;
    for request in requests {
        unanswered += usize::from(!request.await?);
    }
    Ok(unanswered)
}

/// Plays the case.
pub async fn run(has_trouble: bool, folder: &Path, record: &Record) -> Result<Verdict> {
    let mut site = deploy(folder, record).await?;
    let client = Client::new();
    begin_streams(&client, &site.nodes, record).await?;
    let selected = select_instance(&site.nodes)?;
    let name = site.nodes[selected].name.clone();
    let disruption = Instant::now();
    if has_trouble {
        let open = site.proxies[selected].open();
        let silent = site.proxies[selected].silence(SERVERS_FEED);
        record.line(format!(
            "{silent} of {open} connections of {name} to the store go silent"
        ));
        if silent == 0 || 2 * silent > open {
            return Err(format!("{silent} of {open} connections are silent").into());
        }
    }
    sleep_until(disruption + Duration::from_millis(NEW_VERSION_AFTER_MS)).await;
    let addresses = site.nodes[(selected + 1) % NODES]
        .addresses(client.http())
        .await?;
    let is_listed = addresses.contains(&site.nodes[selected].caller_address.to_string());
    record.line(format!(
        "clients are told the address of {name}: {is_listed}"
    ));
    let _new = Replica::start("n-1", ("writers", "v2"), PACE, &site.store, record).await?;
    record.line("a server of version v2 is listed");
    sleep(Duration::from_millis(100)).await;
    let unanswered = count_unanswered(&client, &site.nodes[selected], record).await?;
    let since_ms = disruption.elapsed().as_millis() as u64;
    record.line(format!(
        "{unanswered} of {REQUESTS} requests to {name} have no answer {ANSWER_MARGIN_MS} ms after their \
         time limit; {since_ms} ms after the disruption, in touch after {STABLE_WINDOW_MS} ms"
    ));
    let others = (selected + 1) % NODES;
    let elsewhere = count_unanswered(&client, &site.nodes[others], record).await?;
    record.line(format!(
        "{elsewhere} of {REQUESTS} requests to {} have no answer",
        site.nodes[others].name
    ));
    for node in &mut site.nodes {
        if !node.is_running()? {
            return Err(format!("{} has ended", node.name).into());
        }
    }
    let log = site.nodes[selected].log()?;
    record.line(format!(
        "the last line of {name}: {}",
        log.lines().last().unwrap_or("")
    ));
    if !is_listed {
        return Err("clients were not told the address".into());
    }
    match unanswered >= MIN_UNANSWERED {
        true => Ok(Verdict::Broken),
        false => Ok(Verdict::Held),
    }
}
