//! Cancelled batch jobs stop, in separate processes: no item starts after the status `cancelled`.

mod batch_deployment;
mod common;

use std::time::{Duration, Instant};

use batch_deployment::{Job, platform_faults};
use common::Deployment;
use nix::sys::signal::Signal;
use serde_json::json;

async fn deployment() -> Deployment {
    let deployment = Deployment::start(2, 3).await;
    deployment.set_demo_contract().await;
    deployment
}

async fn sleep_ms(ms: u64) {
    tokio::time::sleep(Duration::from_millis(ms)).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn cancel_through_another_instance_stops_the_job_and_keeps_its_results() {
    let deployment = deployment().await;
    let job = Job::start(&deployment, 0, "plain", 900, 40).await;
    let owner = job.owner_other_than(None).await;
    let other = (owner + 1) % 3;
    job.wait_for_progress(other).await;
    let cancelled = job.cancel(other).await.unwrap();
    assert_eq!(cancelled["status"], "cancelled", "{cancelled}");
    let done = cancelled["request_counts"]["completed"].as_u64().unwrap();
    job.check_no_new_attempts(1_500).await;
    let running = job.attempts_by_prompt().await.into_values().flatten();
    for ran in running.filter(|ran| !ran.finished) {
        assert!(ran.cancelled, "a stream still runs: {ran:?}");
    }
    assert!(done > 0);
    assert_eq!(job.output(other).await.lines().count() as u64, done);
    assert_eq!(job.describe(owner).await.unwrap(), cancelled);
}

#[tokio::test(flavor = "multi_thread")]
async fn cancel_that_races_completion_ends_one_way() {
    let deployment = deployment().await;
    let mut ended = [0, 0];
    for round in 0..16_u64 {
        let name = format!("race{round}");
        let job = Job::start(&deployment, round as usize % 3, &name, 20, 4).await;
        sleep_ms(round * 25).await;
        let cancelled = job.cancel((round as usize + 1) % 3).await.unwrap();
        let last = job.wait(0, &["cancelled", "completed"]).await;
        if cancelled["status"] != "cancelling" {
            assert_eq!(cancelled["status"], last["status"]);
        }
        if last["status"] == "completed" {
            ended[1] += 1;
            job.check_output(1).await;
            continue;
        }
        ended[0] += 1;
        job.check_no_new_attempts(150).await;
        assert_eq!(job.describe(2).await.unwrap()["status"], "cancelled");
    }
    println!("{} cancelled, {} completed after all", ended[0], ended[1]);
}

#[tokio::test(flavor = "multi_thread")]
async fn cancel_becomes_final_without_an_owner_that_is_paused() {
    let deployment = deployment().await;
    let job = Job::start(&deployment, 0, "unreachable", 900, 40).await;
    let owner = job.owner_other_than(None).await;
    let other = (owner + 1) % 3;
    job.wait_for_progress(other).await;
    deployment.entries[owner].signal(Signal::SIGSTOP);
    let start = Instant::now();
    let cancelled = job.cancel(other).await.unwrap();
    assert_eq!(cancelled["status"], "cancelling", "{cancelled}");
    job.wait(other, &["cancelled"]).await;
    println!("final after {} ms", start.elapsed().as_millis());
    let before = job.fresh_starts().await;
    deployment.entries[owner].signal(Signal::SIGCONT);
    sleep_ms(3_000).await;
    assert_eq!(
        job.fresh_starts().await,
        before,
        "the resumed owner went on"
    );
    assert_eq!(job.describe(owner).await.unwrap()["status"], "cancelled");
}

#[tokio::test(flavor = "multi_thread")]
async fn cancel_becomes_final_without_an_owner_that_is_killed() {
    let deployment = deployment().await;
    let job = Job::start(&deployment, 0, "dead", 900, 40).await;
    let owner = job.owner_other_than(None).await;
    let other = (owner + 1) % 3;
    deployment.entries[owner].signal(Signal::SIGKILL);
    job.cancel(other).await.unwrap();
    job.wait(other, &["cancelled"]).await;
    job.check_no_new_attempts(1_000).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn cancel_with_a_slow_store_is_final_when_it_says_so() {
    let deployment = deployment().await;
    let job = Job::start(&deployment, 0, "slow", 900, 40).await;
    let owner = job.owner_other_than(None).await;
    let other = (owner + 1) % 3;
    job.wait_for_progress(other).await;
    platform_faults(&deployment, json!({ "delay_ms": 600 })).await;
    let cancelled = job.cancel(other).await;
    if !cancelled.is_ok_and(|batch| batch["status"] == "cancelled") {
        job.wait(other, &["cancelled"]).await;
    }
    job.check_no_new_attempts(2_000).await;
    platform_faults(&deployment, json!({})).await;
    job.check_no_new_attempts(1_000).await;
    assert_eq!(job.describe(owner).await.unwrap()["status"], "cancelled");
}

#[tokio::test(flavor = "multi_thread")]
async fn cancel_with_the_store_down_is_refused_and_can_be_sent_again() {
    let deployment = deployment().await;
    let job = Job::start(&deployment, 0, "down", 900, 40).await;
    job.wait_for_progress(1).await;
    platform_faults(&deployment, json!({ "store_down": true })).await;
    let refused = job.cancel(1).await.unwrap_err().to_string();
    assert!(refused.contains("store_unavailable"), "{refused}");
    platform_faults(&deployment, json!({ "lose_write_answers": 2 })).await;
    let _ = job.cancel(1).await;
    job.wait(2, &["cancelled"]).await;
    job.check_no_new_attempts(1_000).await;
}
