//! A replica crashes and starts again while the machine that runs batch items there stands still.

use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};

use crate::cut_replica::{CutReplica, DOWN_TIME};
use crate::http::call;
use crate::items::{Item, read, submit};
use crate::node::{Node, free_port};
use crate::record::{Record, random};
use crate::replicas::config_json;
use crate::store::Store;

const REPLICAS: usize = 3;
const ITEMS: usize = 10;
/// Output tokens of an item: 259 events, which take 4.2 s.
const OUTPUT_TOKENS: u64 = 1_295;
/// Time after which the items have made a part of their output.
const RUN_TIME: Duration = Duration::from_millis(1_500);
/// Time for which the machine stands still: less than after which others take its jobs over.
const FREEZE_TIME: Duration = Duration::from_millis(1_200);
/// Time between the freeze and the crash.
const CRASH_DELAY: Duration = Duration::from_millis(200);
/// Time from the submission to the end, in which the items may run twice and more.
const LIMIT: Duration = Duration::from_secs(38);

/// Returns the exit status of the script.
pub fn run(folder: &Path, record: &Record, has_trouble: bool) -> i32 {
    let store = Store::new();
    store.put("op", "config", Some(&config_json(1)));
    let ports: Vec<u16> = (0..REPLICAS).map(|_| free_port()).collect();
    let start = |(number, port): (usize, &u16)| {
        CutReplica::start(&store, record, &format!("i-llm{number}"), *port)
    };
    let mut replicas: Vec<CutReplica> = ports.iter().enumerate().map(start).collect();
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
    let items: Vec<Item> = (0..ITEMS).map(|_| Item::new(OUTPUT_TOKENS)).collect();
    let job = format!("{:016x}", random());
    if submit(record, nodes[0].front, &job, &items) != 202 {
        return 2;
    }
    let begun = Instant::now();
    thread::sleep(RUN_TIME);
    if has_trouble {
        let Some(at) = (0..REPLICAS).max_by_key(|at| replicas[*at].begun()) else {
            return 2;
        };
        nodes[0].signal("-STOP");
        let stopped = Instant::now();
        record.line(&format!("platform: {} stands still", nodes[0].name));
        thread::sleep(CRASH_DELAY);
        record.line(&format!("platform: {} crashes", replicas[at].id));
        replicas[at].kill();
        thread::sleep(DOWN_TIME);
        replicas[at] = CutReplica::start(&store, record, &format!("i-llm{at}-2"), ports[at]);
        record.line(&format!("platform: it starts again as {}", replicas[at].id));
        thread::sleep(FREEZE_TIME.saturating_sub(stopped.elapsed()));
        nodes[0].signal("-CONT");
        record.line(&format!("platform: {} goes on", nodes[0].name));
    }
    let mut results = Default::default();
    while begun.elapsed() < LIMIT {
        thread::sleep(Duration::from_millis(500));
        results = read(record, nodes[random() as usize % nodes.len()].front, &job);
        if results.len() == items.len() {
            break;
        }
    }
    let mut broken = 0;
    for item in &items {
        let whole = item.text();
        match results.get(&item.id) {
            Some((state, text)) if state == "done" && *text != whole => {
                broken += 1;
                record.line(&format!(
                    "item {} is done with {} of {} events",
                    item.id,
                    text.lines().count(),
                    whole.lines().count()
                ));
            }
            Some((state, _)) => {
                record.line(&format!("item {} is {state}", item.id));
            }
            None => {
                record.line(&format!("item {} is not listed", item.id));
            }
        }
    }
    // The machine that stood still is there at the end.
    let is_up = call(
        nodes[0].ready,
        "GET",
        "/v1/ready",
        &[("Host", "ready")],
        b"",
        LIMIT,
    )
    .is_ok();
    let result = if broken > 0 { "BROKEN" } else { "held" };
    record.line(&format!(
        "{broken} of {} items are done with a part of their text: {result}",
        items.len()
    ));
    match is_up && results.len() == items.len() || broken > 0 {
        true => i32::from(broken > 0),
        false => 2,
    }
}
