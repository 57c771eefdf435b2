//! Batch jobs whose owner does not learn of their cancellation, in separate processes.

mod batch_deployment;
mod common;

use std::collections::BTreeSet;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use batch_deployment::{Job, platform, platform_faults};
use common::{Deployment, until};
use foxtailhold::batch::{JobRow, JobStatus, OpenJobRow};
use foxtailhold::lease::LEASE_TERM_MS;
use foxtailhold_platform::{Expect, Operation, TableService, Transacted};
use nix::sys::signal::Signal;
use serde_json::json;

const ITEMS: usize = 8_000;
const TOKENS: u64 = 1_000;

fn unix_ms() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    now.unwrap().as_millis() as u64
}

/// Commits the cancellation of a job as an instance does whose message to the owner is lost.
async fn cancel_unheard(job: &Job<'_>) {
    let platform = platform(job.deployment);
    let jobs = platform.scan("job", "", "", 100).await.unwrap();
    let found = jobs.into_iter().find(|keyed| keyed.key.ends_with(&job.id));
    let found = found.unwrap();
    let row = JobRow {
        status: JobStatus::Cancelling,
        ..found.row.read().unwrap()
    };
    let open = OpenJobRow::cancelling(&row);
    let operations = [
        Operation::put("job", &found.key, Expect::Version(found.row.version), &row),
        Operation::put("job_open", &found.key, Expect::Any, &open),
    ];
    let transacted = platform.transact(&operations).await.unwrap();
    assert!(matches!(transacted, Transacted::Committed));
}

/// Arrivals of the job's items at engines after `after_unix_ms`.
async fn arrivals_after(job: &Job<'_>, after_unix_ms: u64) -> Vec<u64> {
    let attempts = job.attempts_by_prompt().await.into_values().flatten();
    let came = attempts.map(|ran| ran.came_unix_ms);
    came.filter(|came| *came > after_unix_ms).collect()
}

/// Guards against an owner that goes on with a cancelled job for as long as it renews its lease,
/// because the message was lost and the open jobs can't be read.
#[tokio::test(flavor = "multi_thread")]
async fn items_of_a_cancelled_job_do_not_start_while_its_owner_reads_no_open_jobs() {
    let deployment = Deployment::start(2, 3).await;
    deployment.set_demo_contract().await;
    let job = Job::start(&deployment, 0, "unread", ITEMS, TOKENS).await;
    let owner = job.owner_other_than(None).await;
    until("items to start", async || job.fresh_starts().await > 0).await;
    platform_faults(
        &deployment,
        json!({ "unreadable_table": "job_open", "lose_writes": 1_000_000, "only_table": "chunk" }),
    )
    .await;
    cancel_unheard(&job).await;
    let cancelled_at_ms = unix_ms();
    tokio::time::sleep(Duration::from_millis(2 * LEASE_TERM_MS)).await;
    assert!(!arrivals_after(&job, cancelled_at_ms).await.is_empty());
    let late = arrivals_after(&job, cancelled_at_ms + LEASE_TERM_MS).await;
    assert_eq!(late.len(), 0, "items started late");
    assert_eq!(job.owner_other_than(None).await, owner);
    platform_faults(&deployment, json!({})).await;
    job.wait((owner + 1) % 3, &["cancelled"]).await;
    job.check_no_new_attempts(1_000).await;
}

/// Guards against a pause of starts that outlasts its cause, and against one that ends the job or
/// what runs.
#[tokio::test(flavor = "multi_thread")]
async fn items_start_again_at_their_owner_once_the_open_jobs_are_read_again() {
    let deployment = Deployment::start(2, 3).await;
    deployment.set_demo_contract().await;
    let job = Job::start(&deployment, 0, "again", ITEMS / 4, TOKENS).await;
    let owner = job.owner_other_than(None).await;
    until("items to start", async || job.fresh_starts().await > 0).await;
    platform_faults(&deployment, json!({ "unreadable_table": "job_open" })).await;
    tokio::time::sleep(Duration::from_millis(2 * LEASE_TERM_MS)).await;
    let cancelled = job.attempts_by_prompt().await.into_values().flatten();
    assert_eq!(cancelled.filter(|ran| ran.cancelled).count(), 0);
    platform_faults(&deployment, json!({})).await;
    let read_at_ms = unix_ms();
    until("items to start again", async || {
        !arrivals_after(&job, read_at_ms).await.is_empty()
    })
    .await;
    assert_eq!(job.owner_other_than(None).await, owner);
    assert_eq!(job.describe(owner).await.unwrap()["status"], "in_progress");
}

/// Guards against sound engines that count as failed because the owner does not send them an item that
/// it may not start, after the engine that ran it was lost.
#[tokio::test(flavor = "multi_thread")]
async fn sound_engines_are_not_set_aside_by_an_owner_that_reads_no_open_jobs() {
    let mut deployment = Deployment::start(6, 0).await;
    for index in 0..2 {
        let more = ["--batch-policy", "ordinary"];
        deployment.add_entry(&format!("entry-{index}"), "concord-hall", &more);
    }
    deployment.settle(2).await;
    deployment.set_demo_contract().await;
    let job = Job::start(&deployment, 0, "lost", 40, 3_000).await;
    let owner = job.owner_other_than(None).await;
    until("items to start", async || job.fresh_starts().await > 0).await;
    platform_faults(&deployment, json!({ "unreadable_table": "job_open" })).await;
    tokio::time::sleep(Duration::from_millis(LEASE_TERM_MS)).await;
    deployment.engines[0].signal(Signal::SIGKILL);
    let mut set_aside = BTreeSet::new();
    let start = Instant::now();
    while start.elapsed() < Duration::from_millis(LEASE_TERM_MS / 2) {
        for view in deployment.operator(owner).backends().await.unwrap() {
            if view.set_aside {
                set_aside.insert(view.backend.to_string());
            }
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    assert_eq!(Vec::from_iter(set_aside), ["engine-0"]);
}
