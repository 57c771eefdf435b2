//! Deadlines of batch jobs: a job that cannot meet its deadline is refused when offered, and the
//! results of a job whose deadline passes stay readable.

mod batch_deployment;
mod common;

use batch_deployment::{Job, input, offer, offer_within, upload};
use common::Deployment;

#[tokio::test(flavor = "multi_thread")]
async fn job_that_cannot_meet_its_deadline_is_refused_when_offered() {
    let deployment = Deployment::start(2, 1).await;
    deployment.set_demo_contract().await;
    let late = upload(&deployment, 0, &input("late", 300, 40)).await;
    let first = Job::start(&deployment, 0, "first", 3_000, 40).await;
    tokio::time::sleep(std::time::Duration::from_millis(5_500)).await;
    let refused = offer_within(&deployment, 0, &late, "1s").await;
    let refused = refused.unwrap_err().to_string();
    assert!(refused.contains("cannot_land"), "{refused}");
    assert!(refused.contains("not_run"), "{refused}");
    println!("{refused}");
    let taken = offer(&deployment, 0, &late).await.unwrap();
    let second = Job {
        deployment: &deployment,
        id: taken,
        name: "late".into(),
        items: 300,
        tokens: 40,
    };
    first.wait(0, &["completed"]).await;
    second.wait(0, &["completed"]).await;
    second.check_output(0).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn results_stay_readable_when_the_deadline_passes() {
    let deployment = Deployment::start(2, 2).await;
    deployment.set_demo_contract().await;
    let file = upload(&deployment, 0, &input("expired", 2_000, 40)).await;
    let id = offer_within(&deployment, 0, &file, "6s").await.unwrap();
    let job = Job {
        deployment: &deployment,
        id,
        name: "expired".into(),
        items: 2_000,
        tokens: 40,
    };
    let ended = job.wait(1, &["expired"]).await;
    let done = ended["request_counts"]["completed"].as_u64().unwrap();
    assert!(done > 0 && done < 2_000, "{ended}");
    job.check_no_new_attempts(1_000).await;
    for index in 0..2 {
        assert_eq!(job.output(index).await.lines().count() as u64, done);
    }
}
