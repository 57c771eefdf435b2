//! A batch item whose output is nearly as large as the largest answer to a read of results.

use std::collections::BTreeMap;
use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};

use crate::items::{Item, read, submit};
use crate::node::Node;
use crate::record::{Record, random};
use crate::replicas::{Garble, Replicas, config_json};
use crate::store::Store;

/// Output tokens of the long item, with the trouble and without it: 761,299 and 364,099 bytes of data.
const LONG_TOKENS: u64 = 11_500;
const SHORTER_TOKENS: u64 = 5_500;
/// Output tokens of the other items of the job: 259 events.
const USUAL_TOKENS: u64 = 1_295;
/// Time from the submission to the end of traffic: the long item has been finished by then. Together with
/// `FinishS` it ends before `RetentionS`, after which an item may be given up.
const TRAFFIC: Duration = Duration::from_secs(40);
const FINISH: Duration = Duration::from_secs(18);
const READ_INTERVAL: Duration = Duration::from_millis(500);

/// Returns the exit status of the script.
pub fn run(folder: &Path, record: &Record, has_trouble: bool) -> i32 {
    let store = Store::new();
    store.put("op", "config", Some(&config_json(1)));
    let _replicas = Replicas::start(&store, record, "llm", 3, 8, &Garble::none());
    let address = store.listen();
    let zones = ["concord-hall", "nashua-hall", "keene-hall"];
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
        record.line("the machines are not ready");
        return 2;
    }
    let long = Item::new(if has_trouble {
        LONG_TOKENS
    } else {
        SHORTER_TOKENS
    });
    let mut items = vec![long];
    items.extend((0..9).map(|_| Item::new(USUAL_TOKENS)));
    let job = format!("{:016x}", random());
    let status = submit(record, nodes[0].front, &job, &items);
    let (id, bytes) = (&items[0].id, items[0].text().len());
    record.line(&format!(
        "the long item {id} has an output of {bytes} bytes"
    ));
    if status != 202 {
        return 2;
    }
    let begun = Instant::now();
    let mut results = BTreeMap::new();
    while begun.elapsed() < TRAFFIC + FINISH && results.len() < items.len() {
        thread::sleep(READ_INTERVAL);
        let number = random() as usize % nodes.len();
        let read = read(record, nodes[number].front, &job);
        if read.len() > results.len() {
            record.line(&format!(
                "client: {} of {} items are listed at {}",
                read.len(),
                items.len(),
                nodes[number].name
            ));
            results = read;
        }
    }
    let missing: Vec<&Item> = items
        .iter()
        .filter(|item| !results.contains_key(&item.id))
        .collect();
    let is_whole = |item: &Item| {
        results
            .get(&item.id)
            .is_none_or(|result| *result == ("done".to_owned(), item.text()))
    };
    let is_broken = !missing.is_empty() || !items.iter().all(is_whole);
    for item in missing {
        record.line(&format!(
            "item {} of {} bytes is not listed {} s after the end of traffic",
            item.id,
            item.text().len(),
            FINISH.as_secs()
        ));
    }
    for item in items.iter().filter(|item| !is_whole(item)) {
        record.line(&format!(
            "item {} is listed as {:?} without its whole output",
            item.id,
            results.get(&item.id).map(|result| &result.0)
        ));
    }
    record.line(if is_broken { "BROKEN" } else { "held" });
    i32::from(is_broken)
}
