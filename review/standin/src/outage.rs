//! A batch job whose items finish while the store is down has to be listed once the store is back.

use std::path::Path;
use std::time::Duration;

use http::StatusCode;
use tokio::time::{Instant, sleep, sleep_until};

use crate::client::Client;
use crate::record::Record;
use crate::replica::{Pace, Replica, SLOTS, whole_text};
use crate::site::{NewItem, Site, batch_job, item_id};
use crate::{Result, Verdict};

const JOB: &str = "7c41e09b52d6a3f8";
/// Events have the largest size of the site, and items up to its largest number of events.
const PACE: Pace = Pace {
    event_ms: 12,
    event_bytes: 330,
};
const REPLICAS: usize = 3;
const ITEMS: u64 = 20;
const LEAST_EVENTS: u64 = 160;
const EVENT_STEP: u64 = 13;
/// The outage, from the acceptance of the job.
const OUTAGE_AFTER_MS: u64 = 1_000;
const OUTAGE_MS: u64 = 4_500;
/// `FinishS` of the site, and the calm time before its end in which the rule looks at the servers.
const FINISH_MS: u64 = 18_000;
const CALM_MS: u64 = 5_000;
const READ_INTERVAL_MS: u64 = 500;

/// What the client has read.
#[derive(Debug, Default)]
struct Progress {
    next: u64,
    total: u64,
    wrong: u64,
}

impl Progress {
    fn is_complete(&self) -> bool {
        self.total > 0 && self.next >= self.total
    }
}

fn events_of(index: u64) -> u64 {
    LEAST_EVENTS + index * EVENT_STEP
}

/// Whether a result is the whole output of its item.
fn is_whole((id, state, text): &(String, String, String)) -> bool {
    let index = (0..ITEMS).find(|index| item_id(JOB, *index as usize) == *id);
    let whole =
        index.map(|index| whole_text(("writers", "v1"), id, events_of(index), PACE.event_bytes));
    state == "done" && whole.as_ref() == Some(text)
}

async fn read_once(
    client: &Client,
    site: &Site,
    turn: usize,
    record: &Record,
    progress: &mut Progress,
) {
    let node = &site.nodes[turn % site.nodes.len()];
    let after = progress.next;
    match client.read(node.caller_address, JOB, after).await {
        Ok((StatusCode::OK, page)) => {
            progress.total = page.total;
            progress.next = page.next;
            let wrong = page
                .results
                .iter()
                .filter(|result| !is_whole(result))
                .count();
            progress.wrong += wrong as u64;
            if !page.results.is_empty() {
                let (first, next) = (after, page.next);
                record.line(format!(
                    "{} lists positions {first} to {next} of {}",
                    node.name, page.total
                ));
            }
        }
        Ok((status, _)) => record.line(format!("{} answers {status} to a read", node.name)),
        Err(error) => record.line(format!("{} gives no answer to a read: {error}", node.name)),
    }
}

/// Plays the case.
pub async fn run(has_trouble: bool, folder: &Path, record: &Record) -> Result<Verdict> {
    let mut site = Site::start(REPLICAS, PACE, folder, record).await?;
    let client = Client::new();
    let items: Vec<NewItem> = (0..ITEMS)
        .map(|index| NewItem {
            events: events_of(index),
            shared_part: 0x9c2e41,
        })
        .collect();
    let submitted = client
        .submit(
            site.nodes[0].caller_address,
            "/reports/1",
            JOB,
            &batch_job(JOB, &items),
        )
        .await?;
    record.line(format!(
        "batch job {JOB} with {ITEMS} items sent to {}, answered {submitted}",
        site.nodes[0].name
    ));
    if submitted != StatusCode::ACCEPTED {
        return Err(format!("the batch job was answered {submitted}").into());
    }
    let accepted = Instant::now();
    let outage_begins = accepted + Duration::from_millis(OUTAGE_AFTER_MS);
    let outage_ends = outage_begins + Duration::from_millis(OUTAGE_MS);
    if has_trouble {
        let (store, record) = (site.store.clone(), record.clone());
        tokio::spawn(async move {
            sleep_until(outage_begins).await;
            store.set_down(true);
            record.line("the store is down: it answers 503");
            sleep_until(outage_ends).await;
            store.set_down(false);
            record.line("the store is back");
        });
    }
    let end = outage_ends + Duration::from_millis(FINISH_MS);
    let calm_from = end - Duration::from_millis(CALM_MS);
    let (mut progress, mut turn, mut was_busy) = (Progress::default(), 0, false);
    while Instant::now() < end && !progress.is_complete() {
        sleep(Duration::from_millis(READ_INTERVAL_MS)).await;
        read_once(&client, &site, turn, record, &mut progress).await;
        turn += 1;
        let running: usize = site.replicas.iter().map(Replica::running).sum();
        was_busy |= Instant::now() >= calm_from && running > 0;
    }
    record.line(format!(
        "{} of {ITEMS} items are listed, {} of them wrong; servers had items in the last {CALM_MS} ms: \
         {was_busy} ({} places); the store refused {} calls as too large",
        progress.next, progress.wrong, SLOTS * site.replicas.len(), site.store.too_large()
    ));
    for node in &mut site.nodes {
        if !node.is_running()? {
            return Err(format!("{} has ended", node.name).into());
        }
        let log = node.log()?;
        let retries = log
            .lines()
            .filter(|line| line.contains("results not listed"))
            .count();
        let last = log
            .lines()
            .rfind(|line| line.contains("results not listed"));
        record.line(format!(
            "{}: {retries} failed commits of results; {}",
            node.name,
            last.unwrap_or("")
        ));
    }
    if was_busy {
        return Err("servers still had items in the last seconds".into());
    }
    match progress.is_complete() && progress.wrong == 0 {
        true => Ok(Verdict::Held),
        false => Ok(Verdict::Broken),
    }
}
