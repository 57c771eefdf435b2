//! A sound batch job has to be done though two items of an earlier one, which share a part of their
//! prompts with it, have crashed backend servers.

use std::path::Path;
use std::time::Duration;

use http::StatusCode;
use tokio::time::{Instant, sleep};

use crate::client::Client;
use crate::record::Record;
use crate::replica::{Pace, Replica};
use crate::site::{NewItem, Site, batch_job, item_id};
use crate::{Result, Verdict};

const REPLICAS: usize = 9;
const PACE: Pace = Pace {
    event_ms: 16,
    event_bytes: 55,
};
const EVENTS: u64 = 250;
/// Batch jobs with their number of items and the part that these share: one beside, the one with the
/// deadly items, and the sound one.
const OTHER_JOB: (&str, usize, u64) = ("a09ac35e70d2846f", 24, 0x7a0b13);
const DEADLY_JOB: (&str, usize, u64) = ("b19ac35e70d2846f", 24, 0x9c2e41);
const SOUND_JOB: (&str, usize, u64) = ("c29ac35e70d2846f", 20, 0x9c2e41);
/// Items of the second job that crash each backend server that begins to run them: 2 of the 68.
const DEADLY: usize = 2;
/// Time from the first two jobs to the sound one.
const SOUND_AFTER_MS: u64 = 50_000;
/// `FinishS` with some room, and the calm time before its end.
const FINISH_MS: u64 = 24_000;
const CALM_MS: u64 = 5_000;
const READ_INTERVAL_MS: u64 = 500;

async fn submit(
    client: &Client,
    site: &Site,
    node: usize,
    (job, count, shared_part): (&str, usize, u64),
    record: &Record,
) -> Result<()> {
    let item = NewItem {
        events: EVENTS,
        shared_part,
    };
    let (node, body) = (&site.nodes[node], batch_job(job, &vec![item; count]));
    let status = client
        .submit(node.caller_address, "/reports/1", job, &body)
        .await?;
    record.line(format!(
        "batch job {job} with {count} items sent to {}, answered {status}",
        node.name
    ));
    match status {
        StatusCode::ACCEPTED => Ok(()),
        _ => Err(format!("the batch job was answered {status}").into()),
    }
}

/// Number of items of a job that are listed as done, read from its start.
async fn count_done(client: &Client, site: &Site, job: &str, record: &Record) -> Result<usize> {
    let (mut next, mut done) = (0, 0);
    loop {
        let node = &site.nodes[next as usize % site.nodes.len()];
        let (status, page) = client.read(node.caller_address, job, next).await?;
        if status != StatusCode::OK {
            return Err(format!("{} answers {status} to a read", node.name).into());
        }
        done += page
            .results
            .iter()
            .filter(|(_, state, _)| state == "done")
            .count();
        if page.results.is_empty() {
            record.line(format!(
                "batch job {job}: {done} of {} items are listed as done",
                page.total
            ));
            return Ok(done);
        }
        next = page.next;
    }
}

/// Waits for `FinishS` and returns whether a server had an item in the last seconds of it.
async fn wait_finish(site: &Site) -> bool {
    let end = Instant::now() + Duration::from_millis(FINISH_MS);
    let calm_from = end - Duration::from_millis(CALM_MS);
    let mut was_busy = false;
    while Instant::now() < end {
        sleep(Duration::from_millis(READ_INTERVAL_MS)).await;
        let running: usize = site.replicas.iter().map(Replica::running).sum();
        was_busy |= Instant::now() >= calm_from && running > 0;
    }
    was_busy
}

/// Plays the case.
pub async fn run(has_trouble: bool, folder: &Path, record: &Record) -> Result<Verdict> {
    let mut site = Site::start(REPLICAS, PACE, folder, record).await?;
    let client = Client::new();
    if has_trouble {
        let deadly: Vec<String> = (0..DEADLY)
            .map(|index| item_id(DEADLY_JOB.0, index))
            .collect();
        site.replicas
            .iter()
            .for_each(|replica| replica.set_deadly(&deadly));
        record.line(format!(
            "{} crash each server that runs them",
            deadly.join(" and ")
        ));
    }
    submit(&client, &site, 0, OTHER_JOB, record).await?;
    submit(&client, &site, 1, DEADLY_JOB, record).await?;
    sleep(Duration::from_millis(SOUND_AFTER_MS)).await;
    submit(&client, &site, 2, SOUND_JOB, record).await?;
    let was_busy = wait_finish(&site).await;
    count_done(&client, &site, OTHER_JOB.0, record).await?;
    count_done(&client, &site, DEADLY_JOB.0, record).await?;
    let done = count_done(&client, &site, SOUND_JOB.0, record).await?;
    record.line(format!(
        "servers had items in the last {CALM_MS} ms: {was_busy}"
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
    match (done == SOUND_JOB.1, was_busy) {
        (true, _) => Ok(Verdict::Held),
        (false, true) => Err("servers still had items in the last seconds".into()),
        (false, false) => Ok(Verdict::Broken),
    }
}
