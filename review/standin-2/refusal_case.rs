//! Requests that may run once, beside requests that replicas refuse, while some replicas send extra answers.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::call;
use crate::node::Node;
use crate::record::{Record, random};
use crate::replicas::{Garble, Replicas, config_json};
use crate::store::Store;

/// Replicas of the engine, and those that send extra answers: the share 0.6.
const REPLICAS: usize = 5;
const GARBLED: usize = 3;
/// One answer in 34 is under the share 0.03.
const ONE_IN: u64 = 34;
/// The extra answers come for 5 s, again and again.
const GARBLE_TIME: Duration = Duration::from_secs(5);
const CALM_TIME: Duration = Duration::from_secs(3);
const WINDOWS: u32 = 11;
/// Clients of requests that may run once, and of requests that are larger than a replica's memory.
const ONCE_CLIENTS: usize = 14;
const LARGE_CLIENTS: usize = 6;
const ONCE_USAGE: &str = "350,190";
const LARGE_USAGE: &str = "120000,190";
/// Longest pause of a client between two requests.
const ONCE_PAUSE_MS: u64 = 250;
const LARGE_PAUSE_MS: u64 = 1_000;
const DEADLINE: Duration = Duration::from_secs(5);

/// What clients were answered, by the identity of the attempt.
type Answers = Arc<Mutex<BTreeMap<String, String>>>;

fn send_until(
    end_at: Instant,
    fronts: &[SocketAddr],
    (prefix, usage, pause_ms): (&str, &str, u64),
    record: &Record,
    answers: &Answers,
) {
    while Instant::now() < end_at {
        let id = format!("{:016x}", random());
        let front = fronts[random() as usize % fronts.len()];
        let parts = format!("{:x}:100,{:x}:250", random() >> 32, random() >> 32);
        let headers = [
            ("Host", "a.example"),
            ("Attempt-Id", id.as_str()),
            ("Deadline-Ms", "5000"),
            ("Model", "m"),
            ("Token-Usage", usage),
            ("Prompt-Prefix", parts.as_str()),
        ];
        let target = format!("{prefix}{id}");
        let answer = call(front, "POST", &target, &headers, id.as_bytes(), DEADLINE);
        let text = match &answer {
            Ok(answer) => answer.status().to_string(),
            Err(error) => error.to_string(),
        };
        record.line(&format!("client: {target} at {front}: {text}"));
        let mut answers = answers.lock().unwrap_or_else(PoisonError::into_inner);
        answers.insert(id, text);
        drop(answers);
        thread::sleep(Duration::from_millis(random() % pause_ms));
    }
}

/// Replicas that ran each attempt on the route whose requests may run once.
fn runs(record: &Record) -> BTreeMap<String, Vec<String>> {
    let mut runs: BTreeMap<String, Vec<String>> = BTreeMap::new();
    for line in record.lines() {
        let words: Vec<&str> = line.split_whitespace().collect();
        if let [at, "replica:", replica, "runs", attempt, target] = words[..]
            && target.starts_with("/o/")
        {
            let run = format!("{replica} at {at}");
            runs.entry(attempt.to_owned()).or_default().push(run);
        }
    }
    runs
}

/// Returns the exit status of the script.
pub fn run(folder: &Path, record: &Record, has_trouble: bool) -> i32 {
    let store = Store::new();
    store.put("op", "config", Some(&config_json(1)));
    let garble = Garble::of(GARBLED, ONE_IN);
    let _replicas = Replicas::start(&store, record, "llm", REPLICAS, 8, &garble);
    let address = store.listen();
    let zones = ["concord-hall", "nashua-hall", "keene-hall"];
    let prepare = |(number, zone): (usize, &&str)| {
        Node::prepare(folder, &format!("edge-{number}"), zone, address, "5")
    };
    let mut nodes: Vec<Node> = zones.iter().enumerate().map(prepare).collect();
    nodes.iter_mut().for_each(Node::start);
    if !nodes
        .iter()
        .all(|node| node.wait_ready(Duration::from_secs(10)))
    {
        record.line("the machines are not ready");
        return 2;
    }
    let fronts: Vec<SocketAddr> = nodes.iter().map(|node| node.front).collect();
    let answers: Answers = Arc::default();
    let end_at = Instant::now() + (GARBLE_TIME + CALM_TIME) * WINDOWS;
    let mut clients = Vec::new();
    for number in 0..ONCE_CLIENTS + LARGE_CLIENTS {
        let kind = match number < ONCE_CLIENTS {
            true => ("/o/", ONCE_USAGE, ONCE_PAUSE_MS),
            false => ("/s/", LARGE_USAGE, LARGE_PAUSE_MS),
        };
        let (fronts, record, answers) = (fronts.clone(), record.clone(), Arc::clone(&answers));
        clients.push(thread::spawn(move || {
            send_until(end_at, &fronts, kind, &record, &answers);
        }));
    }
    for _ in 0..WINDOWS {
        thread::sleep(CALM_TIME);
        garble.is_on.store(has_trouble, Ordering::SeqCst);
        record.line(&format!("extra answers: {has_trouble}"));
        thread::sleep(GARBLE_TIME);
        garble.is_on.store(false, Ordering::SeqCst);
        record.line("extra answers: false");
    }
    let all_ended = clients.into_iter().all(|client| client.join().is_ok());
    thread::sleep(Duration::from_secs(1));
    drop(nodes);
    let runs = runs(record);
    let answers = answers.lock().unwrap_or_else(PoisonError::into_inner);
    let mut broken = 0;
    for (attempt, replicas) in &runs {
        let answer = answers.get(attempt).map_or("none", String::as_str);
        if replicas.len() > 1 {
            broken += 1;
            record.line(&format!(
                "TWICE: {attempt} ran at {}; answered {answer}",
                replicas.join(" and ")
            ));
        }
        if ["503", "429", "408", "421"].contains(&answer) {
            broken += 1;
            record.line(&format!(
                "REFUSED: {attempt} ran at {}; answered {answer}",
                replicas.join(" and ")
            ));
        }
    }
    let result = if broken > 0 { "BROKEN" } else { "held" };
    record.line(&format!(
        "{} requests that may run once have run, {broken} broken: {result}",
        runs.len()
    ));
    match all_ended && !runs.is_empty() {
        true => i32::from(broken > 0),
        false => 2,
    }
}
