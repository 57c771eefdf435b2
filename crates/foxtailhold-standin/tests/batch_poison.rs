//! An item that crashes every engine that runs it ends as failed; the other items complete.

mod batch_deployment;
mod common;

use batch_deployment::{Job, set_faults};
use common::Deployment;
use serde_json::{Value, json};

const ITEMS: usize = 60;
/// Index of the item on which every engine crashes.
const POISON: usize = 31;

#[tokio::test(flavor = "multi_thread")]
async fn item_that_crashes_engines_ends_as_failed_and_its_neighbours_complete() {
    let engines = 6;
    let deployment = Deployment::start(engines, 3).await;
    deployment.set_demo_contract().await;
    for engine in &deployment.engines {
        let faults = json!({ "crash_on": format!("poison {POISON}\"") });
        set_faults(&deployment, engine.address("listening"), faults).await;
    }
    let job = Job::start(&deployment, 0, "poison", ITEMS, 4).await;
    let ended = job.wait(1, &["completed"]).await;
    let expected = json!({ "total": ITEMS, "completed": ITEMS - 1, "failed": 1 });
    assert_eq!(ended["request_counts"], expected);
    let output = job.output(2).await;
    assert_eq!(output.lines().count(), ITEMS - 1);
    assert!(!output.contains(&format!("\"poison-{POISON}\"")));
    let errors = job.file(2, "file-err-").await;
    println!("{errors}");
    let line: Value = serde_json::from_str(&errors).unwrap();
    assert_eq!(line["custom_id"], format!("poison-{POISON}"));
    assert!(line["error"]["code"].is_string(), "{line}");
    let mut alive = 0;
    for engine in &deployment.engines {
        let address = engine.address("listening");
        let caller = &deployment.caller;
        let record = caller.json(address, http::Method::GET, "/standin/record", &Value::Null);
        alive += usize::from(record.await.is_ok());
    }
    println!("figure: {} engines of {engines} crashed", engines - alive);
    assert!(alive > 0);
}
