//! Runs the `foxtail` binary against a fake instance.

mod common;

use std::process::Output;

use common::{Served, TOKEN, document, serve};
use foxtailhold::membership::MemberState;
use foxtailhold::timeline::{HlcTime, TimelineEntry, TimelineEvent};
use foxtailhold_operator::error::OperatorError;
use foxtailhold_operator::view::InstanceView;
use serde_json::Value;

async fn foxtail(served: &Served, arguments: &[&str]) -> Output {
    let address = served.server.address().to_string();
    let mut command = tokio::process::Command::new(env!("CARGO_BIN_EXE_foxtail"));
    command.args(["--instance", &address]).args(arguments);
    command.env("FOXTAIL_TOKEN", TOKEN);
    command.output().await.unwrap()
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).replace("\n  │ ", " ")
}

async fn stdout_of(served: &Served, arguments: &[&str]) -> String {
    let output = foxtail(served, arguments).await;
    assert!(output.status.success(), "{}", text(&output.stderr));
    text(&output.stdout)
}

fn file_with(name: &str, document: &str) -> std::path::PathBuf {
    let name = format!("foxtail-{name}-{}.toml", std::process::id());
    let file = std::env::temp_dir().join(name);
    std::fs::write(&file, document).unwrap();
    file
}

#[tokio::test]
async fn contract_is_shown_listed_set_and_removed() {
    let served = serve().await;
    let get = stdout_of(&served, &["contract", "get", "c"]).await;
    assert!(get.starts_with("# version 4, change 9\n"), "{get}");
    assert!(get.contains("requests_per_s = 5.0"), "{get}");
    let list = stdout_of(&served, &["contract", "list"]).await;
    assert!(list.starts_with("CUSTOMER  VERSION"), "{list}");
    let list: Value =
        serde_json::from_str(&stdout_of(&served, &["--json", "contract", "list"]).await).unwrap();
    assert_eq!(list[0]["version"], 4);
    let file = file_with("set", &document("7"));
    let set = stdout_of(&served, &["contract", "set", file.to_str().unwrap()]).await;
    assert_eq!(set, "contract of c is at version 5 (change 10)\n");
    std::fs::remove_file(file).unwrap();
    let removed = stdout_of(&served, &["contract", "remove", "c"]).await;
    assert_eq!(removed, "contract of c is removed (version 5, change 10)\n");
    let removed = stdout_of(
        &served,
        &["contract", "remove", "c", "--expected-version", "7"],
    )
    .await;
    assert!(removed.contains("version 8"), "{removed}");
    let updates = served.fake.updates.lock().unwrap();
    let recorded: Vec<(u64, bool)> = updates
        .iter()
        .map(|update| (update.expected_version, update.contract.is_some()))
        .collect();
    assert_eq!(recorded, [(4, true), (4, false), (7, false)]);
}

#[tokio::test]
async fn conflict_shows_the_current_version() {
    let served = serve().await;
    let (expected, current) = (3, 4);
    let customer = "c".to_owned();
    *served.fake.failure.lock().unwrap() = Some(OperatorError::Conflict {
        customer,
        expected,
        current,
    });
    let output = foxtail(&served, &["contract", "remove", "c"]).await;
    let message = text(&output.stderr);
    assert_eq!(output.status.code(), Some(1));
    assert!(message.contains("is at version 4"), "{message}");
    assert!(message.contains("expected version 3"), "{message}");
    assert!(message.contains("foxtail contract get c"), "{message}");
}

#[tokio::test]
async fn invalid_document_is_rejected_with_its_line_before_it_is_sent() {
    let served = serve().await;
    let file = file_with("wrong", &document("0"));
    let output = foxtail(&served, &["contract", "set", file.to_str().unwrap()]).await;
    std::fs::remove_file(file).unwrap();
    let message = text(&output.stderr);
    assert_eq!(output.status.code(), Some(1));
    assert!(
        message.contains("line 3: field `requests_per_s` is 0"),
        "{message}"
    );
    let output = foxtail(&served, &["contract", "set", "/nowhere.toml"]).await;
    assert!(text(&output.stderr).contains("cannot read /nowhere.toml"));
    assert!(served.fake.updates.lock().unwrap().is_empty());
}

#[tokio::test]
async fn wrong_token_is_not_printed() {
    let served = serve().await;
    let output = foxtail(&served, &["--token", "a-wrong-token", "instances"]).await;
    let message = text(&output.stderr);
    assert_eq!(output.status.code(), Some(1));
    assert!(message.contains("token is missing or wrong"), "{message}");
    assert!(!message.contains("a-wrong-token"), "{message}");
}

fn instance(name: &str, operator_address: std::net::SocketAddr) -> InstanceView {
    InstanceView {
        instance: name.try_into().unwrap(),
        state: MemberState::Alive,
        availability_zone: "keene-hall".try_into().unwrap(),
        caller_address: "127.0.0.1:1".parse().unwrap(),
        operator_address,
    }
}

fn accepted(instance: &str, wall_ms: u64, counter: u32, request: &str) -> TimelineEntry {
    TimelineEntry {
        at: HlcTime { wall_ms, counter },
        instance: instance.try_into().unwrap(),
        event: TimelineEvent::Accepted {
            request: request.try_into().unwrap(),
            customer: "c".try_into().unwrap(),
        },
    }
}

#[tokio::test]
async fn timeline_merges_instances_in_one_order_and_names_those_that_are_missing() {
    let (first, second) = (serve().await, serve().await);
    let nobody = "127.0.0.1:1".parse().unwrap();
    *first.fake.instances.lock().unwrap() = vec![
        instance("entry-0", first.server.address()),
        instance("entry-1", second.server.address()),
        instance("entry-2", nobody),
    ];
    first.fake.timeline.lock().unwrap().entries = vec![
        accepted("entry-0", 5, 0, "r-1"),
        accepted("entry-0", 7, 0, "r-10"),
    ];
    second.fake.timeline.lock().unwrap().entries = vec![
        accepted("entry-1", 5, 1, "r-2"),
        accepted("entry-1", 9, 0, "r-1"),
    ];
    second.fake.timeline.lock().unwrap().dropped = 3;
    let all = stdout_of(&first, &["timeline"]).await;
    let lines: Vec<&str> = all.lines().collect();
    assert_eq!(
        lines[..2],
        ["# entry-2 did not answer", "# 3 older events are dropped"]
    );
    let order: Vec<&str> = lines[2..]
        .iter()
        .map(|line| line.split(' ').next().unwrap())
        .collect();
    assert_eq!(order, ["5.0000", "5.0001", "7.0000", "9.0000"]);
    let one = stdout_of(&first, &["--json", "timeline", "--of", "r-1"]).await;
    let one: Value = serde_json::from_str(&one).unwrap();
    let at = |index: usize| one["entries"][index]["at"]["wall_ms"].as_u64();
    assert_eq!((at(0), at(1), at(2)), (Some(5), Some(9), None));
    assert_eq!(one["missing"][0], "entry-2");
}
