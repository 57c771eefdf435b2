//! Runs the `foxtail` binary without an instance: invalid arguments and log files.

use std::process::Command;

use test_case::test_case;

#[test_case(&["instances"], "FOXTAIL_INSTANCE"; "no instance")]
#[test_case(&["--instance", "here", "instances"], "IP address and a port"; "bad address")]
#[test_case(&["--instance", "127.0.0.1:1", "instances"], "FOXTAIL_TOKEN"; "no token")]
#[test_case(
    &["--instance", "127.0.0.1:1", "--token", "t", "contract", "get", "a b"],
    "customer id"; "bad customer"
)]
#[test_case(
    &["--instance", "127.0.0.1:1", "--token", "t", "instances"],
    "no connection to 127.0.0.1:1"; "nobody there"
)]
#[test_case(&["timeline", "--related", "missing.log"], "--related needs --of"; "related to nothing")]
#[test_case(&["timeline", "missing.log"], "cannot read log lines from missing.log"; "no such file")]
fn invalid_arguments_are_explained_with_status_1(arguments: &[&str], message_part: &str) {
    let output = Command::new(env!("CARGO_BIN_EXE_foxtail"))
        .args(arguments)
        .env_remove("FOXTAIL_INSTANCE")
        .env_remove("FOXTAIL_TOKEN")
        .output()
        .unwrap();
    let message = String::from_utf8_lossy(&output.stderr).replace("\n  │ ", " ");
    assert_eq!(output.status.code(), Some(1), "{message}");
    assert!(message.contains(message_part), "{message}");
}

#[test]
fn timeline_is_read_from_files_without_an_instance() {
    let file = std::env::temp_dir().join(format!("foxtail-lines-{}", std::process::id()));
    let line = |at_ms: u64, request: &str| {
        format!(
            "{{\"at_ms\":{at_ms},\"level\":\"INFO\",\"instance\":\"m1\",\"message\":\"answered\",\
             \"fields\":{{\"request\":\"{request}\"}}}}\n"
        )
    };
    std::fs::write(
        &file,
        line(2_000, "r1") + &line(1_000, "r2") + &line(1_500, "r1"),
    )
    .unwrap();
    let output = Command::new(env!("CARGO_BIN_EXE_foxtail"))
        .args(["timeline", "--of", "r1"])
        .arg(&file)
        .env_remove("FOXTAIL_INSTANCE")
        .env_remove("FOXTAIL_TOKEN")
        .output()
        .unwrap();
    std::fs::remove_file(&file).unwrap();
    let text = String::from_utf8_lossy(&output.stdout);
    let expected = "1.500 INFO m1 answered request=\"r1\"\n2.000 INFO m1 answered request=\"r1\"\n";
    assert_eq!(text, expected);
}
