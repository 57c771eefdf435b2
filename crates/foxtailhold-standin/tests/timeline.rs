//! The merged timeline of separate processes whose wall clocks disagree.

mod common;

use common::{Deployment, TOKEN, program, until};
use foxtailhold_standin::demo::{self, chat};
use serde_json::Value;

const HOUR_MS: &str = "3600000";
const BEHIND_MS: &str = "-3600000";

async fn foxtail(deployment: &Deployment, arguments: &[&str]) -> Value {
    let address = deployment.entries[1].address("operator_address");
    let mut command = tokio::process::Command::new(program("foxtail"));
    command.args(["--instance", &address.to_string(), "--token", TOKEN]);
    let output = command
        .arg("--json")
        .args(arguments)
        .output()
        .await
        .unwrap();
    assert!(output.status.success(), "{output:?}");
    serde_json::from_slice(&output.stdout).unwrap()
}

/// Starts two instances: the clock of the first is an hour ahead, that of the second an hour
/// behind.
async fn start_with_skewed_clocks() -> Deployment {
    let mut deployment = Deployment::start(1, 0).await;
    for (id, offset_ms) in [("entry-0", HOUR_MS), ("entry-1", BEHIND_MS)] {
        deployment.add_entry(id, "keene-hall", &["--wall-offset-ms", offset_ms]);
    }
    deployment.settle(2).await;
    deployment
}

#[tokio::test(flavor = "multi_thread")]
async fn cause_comes_before_effect_over_instances_whose_clocks_disagree() {
    let deployment = start_with_skewed_clocks().await;
    let customer = "granite-trail".try_into().unwrap();
    for version in 0..4 {
        let operator = deployment.operator(version as usize % 2);
        let document = demo::contract(10 + version);
        let set = operator.set_contract(&customer, version.into(), &document);
        let number = set.await.unwrap().number;
        until("the change to be in force", async || {
            for index in 0..2 {
                let seen = deployment.operator(index).instances().await.unwrap();
                if seen.contracts_number < number {
                    return false;
                }
            }
            true
        })
        .await;
    }
    let merged = foxtail(&deployment, &["timeline"]).await;
    let entries = merged["entries"].as_array().unwrap();
    for number in 1..=4 {
        let position = |event: &str, instance: &str| {
            let found = entries.iter().position(|entry| {
                entry["event"] == event
                    && entry["number"] == number
                    && entry["instance"] == instance
            });
            found.unwrap_or_else(|| panic!("no {event} {number} on {instance} in {entries:#?}"))
        };
        let (writer, other) = match number % 2 {
            1 => ("entry-0", "entry-1"),
            _ => ("entry-1", "entry-0"),
        };
        let accepted = position("contract_accepted", writer);
        assert!(
            accepted < position("contract_applied", other),
            "{entries:#?}"
        );
    }
    assert_eq!(merged["missing"], Value::Array(Vec::new()));
}

#[tokio::test(flavor = "multi_thread")]
async fn timeline_of_one_request_holds_only_its_events() {
    let deployment = Deployment::start(1, 2).await;
    deployment.set_demo_contract().await;
    for index in 0..12 {
        let address = deployment.caller_address(index % 2);
        let body = chat(&format!("question {index}"), 2, false);
        let path = "/v1/chat/completions";
        let sent = deployment
            .caller
            .json(address, http::Method::POST, path, &body);
        sent.await.unwrap();
    }
    let all = foxtail(&deployment, &["timeline"]).await;
    let requests: Vec<&str> = all["entries"]
        .as_array()
        .unwrap()
        .iter()
        .filter(|entry| entry["event"] == "accepted")
        .map(|entry| entry["request"].as_str().unwrap())
        .collect();
    assert_eq!(requests.len(), 12);
    for request in requests {
        let filtered = foxtail(&deployment, &["timeline", "--of", request]).await;
        let filtered = filtered["entries"].as_array().unwrap();
        assert!(
            filtered.iter().all(|entry| entry["request"] == request),
            "{filtered:?}"
        );
        assert_eq!(filtered[0]["event"], "accepted");
        assert_eq!(filtered[1]["event"], "sent");
    }
}
