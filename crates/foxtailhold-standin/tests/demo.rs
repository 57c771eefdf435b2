//! The `demo` subcommand of the real program, which runs everything in one process.

use std::process::{Command, Output};

fn demo(items: &str, log_level: Option<&str>) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_foxtailhold-standin"));
    command
        .args(["demo", "--items", items])
        .env_remove("RUST_LOG");
    if let Some(level) = log_level {
        command.env("RUST_LOG", level);
    }
    command.output().unwrap()
}

#[test]
fn report_says_that_all_is_well_and_nothing_is_logged() {
    let output = demo("40", None);
    let report = String::from_utf8_lossy(&output.stdout);
    assert!(output.status.success(), "{output:?}");
    assert!(output.stderr.is_empty(), "{output:?}");
    for step in [
        "entries", "contract", "chat", "refusal", "service", "batch", "stop",
    ] {
        assert!(report.contains(&format!("ok  {step} ")), "{step}: {report}");
    }
    assert!(report.lines().last().unwrap().starts_with("all well after"));
}

#[test]
fn what_is_wrong_is_named_and_the_status_is_not_0() {
    let output = demo("0", Some("info"));
    let message = String::from_utf8_lossy(&output.stderr);
    assert_eq!(output.status.code(), Some(1), "{output:?}");
    assert!(message.contains("the input file has no items"), "{message}");
    assert!(message.contains("\"level\":\"INFO\""), "{message}");
    let report = String::from_utf8_lossy(&output.stdout);
    assert!(!report.contains("all well"), "{report}");
}
