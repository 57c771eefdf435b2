//! All machines get a settings file with a bound that is a fraction, and are restarted in turn.

use std::net::SocketAddr;
use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};

use crate::http::call;
use crate::node::Node;
use crate::record::{Record, random};
use crate::replicas::{Garble, Replicas, config_json};
use crate::store::Store;

/// Time after which the platform starts a process that has ended again.
const RESTART_DELAY: Duration = Duration::from_secs(1);
/// An end within this time after the planned restart belongs to it and isn't counted.
const RESTART_MARGIN: Duration = Duration::from_secs(1);
/// Ends of a process by itself on one machine that count as a fault, and machines on which they do.
const MAX_OWN_ENDS: u32 = 3;
const MIN_MACHINES: usize = 2;
const MACHINES: usize = 3;
const GRACE: Duration = Duration::from_secs(8);

fn send(record: &Record, front: SocketAddr, phase: &str) -> bool {
    let id = format!("{:016x}", random());
    let headers = [
        ("Host", "a.example"),
        ("Attempt-Id", id.as_str()),
        ("Deadline-Ms", "1000"),
    ];
    let answer = call(
        front,
        "POST",
        "/p/x",
        &headers,
        b"ping",
        Duration::from_secs(1),
    );
    let text = match &answer {
        Ok(answer) => answer.status().to_string(),
        Err(error) => error.to_string(),
    };
    record.line(&format!("client: {phase} {id} to {front}: {text}"));
    text == "200"
}

/// Starts a process as the platform does: again after each end. Returns its ends by itself that count.
fn start_until_ready(record: &Record, node: &mut Node, limit: Duration) -> u32 {
    let begun = Instant::now();
    let mut ends = 0;
    node.start();
    record.line(&format!("platform: {} started", node.name));
    while begun.elapsed() < limit && ends < MAX_OWN_ENDS {
        let child = node.child.as_mut();
        let ended = child.and_then(|child| child.try_wait().ok().flatten());
        if let Some(status) = ended {
            let counts = begun.elapsed() > RESTART_MARGIN;
            ends += u32::from(counts);
            record.line(&format!(
                "platform: {} has ended by itself, counted: {counts}: {status}",
                node.name
            ));
            thread::sleep(RESTART_DELAY);
            node.start();
            record.line(&format!("platform: {} started", node.name));
            continue;
        }
        if node.is_ready() {
            record.line(&format!("platform: {} is ready", node.name));
            return ends;
        }
        thread::sleep(Duration::from_millis(50));
    }
    ends
}

fn stop(record: &Record, node: &mut Node) {
    node.signal("-TERM");
    record.line(&format!("platform: SIGTERM to {}", node.name));
    let until = Instant::now() + GRACE;
    while Instant::now() < until {
        let ended = node
            .child
            .as_mut()
            .and_then(|child| child.try_wait().ok().flatten());
        if ended.is_some() {
            record.line(&format!("platform: {} has stopped", node.name));
            node.child = None;
            return;
        }
        thread::sleep(Duration::from_millis(20));
    }
    record.line(&format!("platform: SIGKILL to {}", node.name));
    node.kill();
}

/// Returns the exit status of the script.
pub fn run(folder: &Path, record: &Record, has_trouble: bool) -> i32 {
    let store = Store::new();
    store.put("op", "config", Some(&config_json(1)));
    let replicas = Replicas::start(&store, record, "app", 3, 6, &Garble::none());
    let zones = ["concord-hall", "nashua-hall", "keene-hall"];
    let address = store.listen();
    let prepare = |(number, zone): (usize, &&str)| {
        Node::prepare(folder, &format!("edge-{number}"), zone, address, "5")
    };
    let mut nodes: Vec<Node> = zones.iter().enumerate().map(prepare).collect();
    for node in &mut nodes {
        node.start();
    }
    if !nodes
        .iter()
        .all(|node| node.wait_ready(Duration::from_secs(10)))
    {
        record.line("the machines are not ready before the change of the settings");
        return 2;
    }
    let served_before = (0..30)
        .filter(|at| send(record, nodes[at % MACHINES].front, "before"))
        .count();
    let bound = if has_trouble { "4.5" } else { "4" };
    for node in &nodes {
        let text = std::fs::read_to_string(&node.settings).unwrap_or_default();
        let text = text.replace("ttl_max_s = 5\n", &format!("ttl_max_s = {bound}\n"));
        std::fs::write(&node.settings, text).expect("the settings file can be written");
        node.signal("-HUP");
    }
    record.line(&format!(
        "platform: the settings of all machines have ttl_max_s = {bound}; SIGHUP"
    ));
    thread::sleep(Duration::from_secs(1));
    let mut machines_with_ends = 0;
    for node in &mut nodes {
        stop(record, node);
        let ends = start_until_ready(record, node, Duration::from_secs(10));
        machines_with_ends += usize::from(ends >= MAX_OWN_ENDS);
    }
    let mut served_after = 0;
    for at in 0..30 {
        served_after += usize::from(send(record, nodes[at % MACHINES].front, "after"));
        thread::sleep(Duration::from_millis(200));
    }
    drop(nodes);
    drop(replicas);
    let is_broken = machines_with_ends >= MIN_MACHINES;
    record.line(&format!(
        "served {served_before} of 30 before and {served_after} of 30 after; on {machines_with_ends} of {MACHINES} \
         machines the process ended by itself {MAX_OWN_ENDS} times: {}",
        if is_broken { "BROKEN" } else { "held" }
    ));
    match served_before {
        30 => i32::from(is_broken),
        _ => 2,
    }
}
