//! Two batch items that share a part of their prompts have to finish after backend servers have
//! crashed under them for reasons of their own.

use std::path::Path;
use std::time::Duration;

use http::StatusCode;
use tokio::time::{Instant, sleep};

use crate::client::Client;
use crate::record::Record;
use crate::replica::{Pace, Replica, whole_text};
use crate::site::{NewItem, Site, batch_job, item_id};
use crate::{Result, Verdict};

const JOB: &str = "b19ac35e70d2846f";
const REPLICAS: usize = 9;
/// One event of five tokens each 16 ms, as on the site.
const PACE: Pace = Pace {
    event_ms: 16,
    event_bytes: 55,
};
const ITEMS: usize = 10;
const EVENTS: u64 = 400;
/// Part of the prompts of the first two items. Each other item has its own.
const SHARED_PART: u64 = 0x9c2e41;
/// A backend server crashes when it has run the item for this long.
const CRASH_AFTER_MS: u64 = 600;
const DOWN_MS: u64 = 1_500;
/// The items under which backend servers crash first, by number.
const CRASHES: [usize; 4] = [0, 0, 0, 1];
/// Crashes after these, under the next runs of either item, at most.
const MAX_LATER_CRASHES: usize = 4;
/// Time after the last crash until the items are looked at: the rule leaves out items that failed at
/// a server in the last 20 s, and `FinishS` is 18 s.
const FINISH_MS: u64 = 24_000;
const CALM_MS: u64 = 5_000;
const READ_INTERVAL_MS: u64 = 500;

/// Waits until one of these items has run long enough somewhere, and crashes that backend server.
/// Returns `false` if none has run within [`FINISH_MS`].
async fn crash_under(replicas: &[Replica], items: &[String]) -> bool {
    let until = Instant::now() + Duration::from_millis(FINISH_MS);
    let least = Duration::from_millis(CRASH_AFTER_MS);
    while Instant::now() < until {
        for replica in replicas {
            let runs = items.iter().filter_map(|item| replica.running_for(item));
            if runs.max().is_some_and(|longest| longest >= least) {
                replica.crash(DOWN_MS);
                return true;
            }
        }
        sleep(Duration::from_millis(10)).await;
    }
    false
}

/// Crashes backend servers. Returns the time left until the items are looked at.
async fn play_crashes(site: &Site, shared: &[String], record: &Record) -> Result<u64> {
    for item in CRASHES {
        if !crash_under(&site.replicas, &shared[item..=item]).await {
            return Err("an item has not run at first".into());
        }
    }
    for _ in 0..MAX_LATER_CRASHES {
        if !crash_under(&site.replicas, shared).await {
            record.line(format!("neither item has run for {FINISH_MS} ms"));
            return Ok(CALM_MS);
        }
    }
    Ok(FINISH_MS)
}

/// Positions that are listed, and how many of them are not the whole output of an item.
async fn read_all(client: &Client, site: &Site, record: &Record) -> Result<(u64, u64)> {
    let (mut next, mut wrong) = (0, 0);
    loop {
        let node = &site.nodes[next as usize % site.nodes.len()];
        let (status, page) = client.read(node.caller_address, JOB, next).await?;
        if status != StatusCode::OK {
            return Err(format!("{} answers {status} to a read", node.name).into());
        }
        for (item, state, text) in &page.results {
            let is_whole = *text == whole_text(("writers", "v1"), item, EVENTS, PACE.event_bytes);
            wrong += u64::from(state != "done" || !is_whole);
            record.line(format!("{item} is listed as {state}, whole: {is_whole}"));
        }
        if page.results.is_empty() {
            return Ok((next, wrong));
        }
        next = page.next;
    }
}

/// Plays the case.
pub async fn run(has_trouble: bool, folder: &Path, record: &Record) -> Result<Verdict> {
    let mut site = Site::start(REPLICAS, PACE, folder, record).await?;
    let client = Client::new();
    let items: Vec<NewItem> = (0..ITEMS)
        .map(|index| NewItem {
            events: EVENTS,
            shared_part: match index {
                0 | 1 => SHARED_PART,
                _ => 0x7a00 + index as u64,
            },
        })
        .collect();
    let shared = [item_id(JOB, 0), item_id(JOB, 1)];
    record.line(format!(
        "{} and {} share a part of their prompts",
        shared[0], shared[1]
    ));
    let address = site.nodes[0].caller_address;
    let submitted = client
        .submit(address, "/reports/1", JOB, &batch_job(JOB, &items))
        .await?;
    record.line(format!(
        "batch job {JOB} with {ITEMS} items sent, answered {submitted}"
    ));
    if submitted != StatusCode::ACCEPTED {
        return Err(format!("the batch job was answered {submitted}").into());
    }
    let left_ms = match has_trouble {
        true => play_crashes(&site, &shared, record).await?,
        false => FINISH_MS,
    };
    let end = Instant::now() + Duration::from_millis(left_ms);
    let calm_from = end - Duration::from_millis(CALM_MS);
    let mut was_busy = false;
    while Instant::now() < end {
        sleep(Duration::from_millis(READ_INTERVAL_MS)).await;
        let running: usize = site.replicas.iter().map(Replica::running).sum();
        was_busy |= Instant::now() >= calm_from && running > 0;
    }
    let (listed, wrong) = read_all(&client, &site, record).await?;
    record.line(format!(
        "{listed} of {ITEMS} items are listed, {wrong} of them wrong; servers had items in the last \
         {CALM_MS} ms: {was_busy}"
    ));
    for node in &mut site.nodes {
        if !node.is_running()? {
            return Err(format!("{} has ended", node.name).into());
        }
        for line in node
            .log()?
            .lines()
            .filter(|line| line.contains("are suspected"))
        {
            record.line(format!("log of {}: {line}", node.name));
        }
    }
    match (was_busy, listed == ITEMS as u64 && wrong == 0) {
        (true, _) => Err("servers still had items in the last seconds".into()),
        (false, true) => Ok(Verdict::Held),
        (false, false) => Ok(Verdict::Broken),
    }
}
