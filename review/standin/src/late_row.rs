//! Batch jobs have to be run on when their owner is killed, though a write of the store about a former
//! start of another instance was done late.

use std::path::Path;
use std::time::Duration;

use http::StatusCode;
use tokio::time::{Instant, sleep, sleep_until};

use crate::client::Client;
use crate::record::Record;
use crate::replica::{Pace, Replica};
use crate::site::{NewItem, Site, batch_job};
use crate::store::LATE_MS;
use crate::{Result, Verdict};

const REPLICAS: usize = 9;
const PACE: Pace = Pace {
    event_ms: 16,
    event_bytes: 55,
};
const JOBS: usize = 12;
const ITEMS: usize = 4;
const EVENTS: u64 = 200;
/// What the row of an instance contains that is in its planned stop.
const LEAVING_TEXT: &str = "\"is_leaving\":true";
/// Time after the late write in which the row of the former start is deleted: instances do so
/// 15 to 20 s after it was last heard.
const ROW_TTL_MS: u64 = 24_000;
/// Time between the acceptance of the jobs and the end of their owner.
const RUN_MS: u64 = 300;
/// `FinishS`, and the calm time before its end.
const FINISH_MS: u64 = 18_000;
const CALM_MS: u64 = 5_000;
const READ_INTERVAL_MS: u64 = 500;

fn job_id(number: usize) -> String {
    format!("5ac0{number:04x}90b1d7e2")
}

/// Restarts the first instance as planned, while one write of the store is late.
async fn restart_first(site: &mut Site, has_trouble: bool, record: &Record) -> Result<()> {
    if has_trouble {
        site.store.delay_next(LEAVING_TEXT);
        record.line(format!(
            "the next write with {LEAVING_TEXT} gets no answer and is done {LATE_MS} ms later"
        ));
    }
    let begun = Instant::now();
    record.line(format!("{} is sent SIGTERM", site.nodes[0].name));
    site.nodes[0].restart_planned().await?;
    record.line(format!("{} has started again", site.nodes[0].name));
    sleep_until(begun + Duration::from_millis(LATE_MS + ROW_TTL_MS)).await;
    Ok(())
}

async fn submit_all(client: &Client, site: &Site, record: &Record) -> Result<()> {
    let node = &site.nodes[1];
    for number in 0..JOBS {
        let job = job_id(number);
        let items = [NewItem {
            events: EVENTS,
            shared_part: 0x7a00 + number as u64,
        }; ITEMS];
        let body = batch_job(&job, &items);
        let status = client
            .submit(node.caller_address, "/reports/1", &job, &body)
            .await?;
        record.line(format!(
            "batch job {job} sent to {}, answered {status}",
            node.name
        ));
        if status != StatusCode::ACCEPTED {
            return Err(format!("a batch job was answered {status}").into());
        }
    }
    Ok(())
}

/// Number of batch jobs of which a result is missing.
async fn count_unfinished(client: &Client, site: &Site, record: &Record) -> Result<usize> {
    let mut unfinished = 0;
    for number in 0..JOBS {
        let (job, node) = (job_id(number), &site.nodes[number % site.nodes.len()]);
        let (status, page) = client.read(node.caller_address, &job, 0).await?;
        let listed = page.results.len();
        record.line(format!(
            "{job}: {} answers {status}, {listed} of {ITEMS} items are listed",
            node.name
        ));
        unfinished += usize::from(listed < ITEMS);
    }
    Ok(unfinished)
}

/// Plays the case.
pub async fn run(has_trouble: bool, folder: &Path, record: &Record) -> Result<Verdict> {
    let mut site = Site::start(REPLICAS, PACE, folder, record).await?;
    let client = Client::new();
    restart_first(&mut site, has_trouble, record).await?;
    record.line(format!("{} is sent SIGTERM", site.nodes[2].name));
    site.nodes[2].restart_planned().await?;
    record.line(format!("{} has started again", site.nodes[2].name));
    sleep(Duration::from_millis(2_000)).await;
    for node in &site.nodes {
        let addresses = node.addresses(client.http()).await?;
        record.line(format!(
            "{} tells clients {}",
            node.name,
            addresses.join(" ")
        ));
    }
    submit_all(&client, &site, record).await?;
    sleep(Duration::from_millis(RUN_MS)).await;
    if has_trouble {
        record.line(format!("{} is killed", site.nodes[1].name));
        site.nodes[1].restart_killed().await?;
        record.line(format!("{} has started again", site.nodes[1].name));
    }
    let end = Instant::now() + Duration::from_millis(FINISH_MS);
    let calm_from = end - Duration::from_millis(CALM_MS);
    let mut was_busy = false;
    while Instant::now() < end {
        sleep(Duration::from_millis(READ_INTERVAL_MS)).await;
        let running: usize = site.replicas.iter().map(Replica::running).sum();
        was_busy |= Instant::now() >= calm_from && running > 0;
    }
    let unfinished = count_unfinished(&client, &site, record).await?;
    record.line(format!(
        "{unfinished} of {JOBS} batch jobs have no result for some item; servers had items in the last \
         {CALM_MS} ms: {was_busy}"
    ));
    for node in &mut site.nodes {
        if !node.is_running()? {
            return Err(format!("{} has ended", node.name).into());
        }
        for line in node.log()?.lines() {
            if line.contains("owner of the job changed") || line.contains("deleted because") {
                record.line(format!("log of {}: {line}", node.name));
            }
        }
    }
    match (unfinished, was_busy) {
        (0, _) => Ok(Verdict::Held),
        (_, true) => Err("servers still had items in the last seconds".into()),
        (_, false) => Ok(Verdict::Broken),
    }
}
