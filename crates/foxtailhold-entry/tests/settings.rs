//! Runs the daemon's binary with wrong settings and checks its errors and its help.

use std::process::{Command, Output};

use test_case::test_case;

const GOOD: [(&str, &str); 7] = [
    ("--instance", "entry-1"),
    ("--availability-zone", "keene-hall"),
    ("--caller-address", "127.0.0.1:0"),
    ("--peer-address", "127.0.0.1:0"),
    ("--operator-address", "127.0.0.1:0"),
    ("--platform-address", "127.0.0.1:9"),
    ("--operator-token", "a-long-token"),
];

const LONG: &str = "a-name-of-an-instance-that-is-much-longer-than-a-request-id-may-hold-1";

fn run_with(option: &str, value: Option<&str>) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_foxtailhold-entry"));
    let mut replaced = false;
    for (name, good) in GOOD {
        let value = if name == option { value } else { Some(good) };
        replaced |= name == option;
        if let Some(value) = value {
            command.args([name, value]);
        }
    }
    if let (false, Some(value)) = (replaced, value) {
        command.args([option, value]);
    }
    command.output().unwrap()
}

#[test_case("--instance", None, "FOXTAILHOLD_INSTANCE"; "missing name")]
#[test_case("--instance", Some("a b"), "not ' '"; "bad name")]
#[test_case("--caller-address", Some("localhost"), "IP address and a port"; "bad address")]
#[test_case("--operator-token", Some("short"), "at least 8"; "short token")]
#[test_case("--keep-for-ms", Some("soon"), "whole number"; "bad number")]
#[test_case("--batch-slots", Some("0"), "from 1 to"; "number below its least value")]
#[test_case("--batch-slots", Some("1.5"), "whole number"; "number with a fraction")]
#[test_case("--keep-for-ms", Some("60001"), "from 100 to 60000"; "number over its greatest value")]
#[test_case("--keep-for-ms", Some("-5"), "from 100"; "negative number")]
#[test_case("--wall-offset-ms", Some("90000000"), "to 86400000"; "offset of more than a day")]
#[test_case("--stop-wait-ms", Some("3600001"), "from 0 to 3600000"; "stop of more than an hour")]
#[test_case("--availability-zone", None, "FOXTAILHOLD_AVAILABILITY_ZONE"; "missing zone")]
#[test_case("--availability-zone", Some(""), "empty"; "empty zone")]
#[test_case("--instance", Some(LONG), "at most 64"; "long name")]
#[test_case("--operator-token", None, "FOXTAILHOLD_OPERATOR_TOKEN"; "missing token")]
#[test_case("--operator-token", Some("a token with spaces"), "visible ASCII"; "token with spaces")]
#[test_case("--caller-address", Some("0.0.0.0:7100"), "must be able to connect"; "unspecified address")]
#[test_case("--peer-address", Some("[::]:0"), "must be able to connect"; "unspecified IPv6 address")]
#[test_case("--operator-address", Some("127.0.0.1"), "IP address and a port"; "address without port")]
#[test_case("--operator-address", Some("127.0.0.1:9"), "--platform-address are both"; "platform's own address")]
#[test_case("--platform-address", Some("127.0.0.1:0"), "port must not be 0"; "platform without port")]
#[test_case("--platform-address", None, "FOXTAILHOLD_PLATFORM_ADDRESS"; "missing platform")]
#[test_case("--worker-threads", Some("-1"), "from 0 to"; "negative number of threads")]
#[test_case("--batch-policy", Some("sometimes"), "steward, off, ordinary"; "unknown choice")]
#[test_case("--batch-share-percent", Some("101"), "from 1 to 100"; "more than the whole")]
fn wrong_setting_stops_the_start_and_is_named(option: &str, value: Option<&str>, says: &str) {
    let output = run_with(option, value);
    let message = String::from_utf8_lossy(&output.stderr).replace("\n  │ ", " ");
    assert!(!message.contains("a-long-token"), "{message}");
    assert_eq!(output.status.code(), Some(1), "{message}");
    assert!(
        message.contains(option.trim_start_matches('-')),
        "{message}"
    );
    assert!(message.contains(says), "{message}");
}

#[test]
fn two_settings_with_one_address_stop_the_start() {
    let mut command = Command::new(env!("CARGO_BIN_EXE_foxtailhold-entry"));
    for (name, good) in GOOD {
        let value = match name {
            "--caller-address" | "--peer-address" => "127.0.0.1:7100",
            _ => good,
        };
        command.args([name, value]);
    }
    let output = command.output().unwrap();
    let message = String::from_utf8_lossy(&output.stderr).replace("\n  │ ", " ");
    let says = "--caller-address and --peer-address are both 127.0.0.1:7100";
    assert!(message.contains(says), "{message}");
}

#[test]
fn option_goes_before_its_environment_variable() {
    let mut command = Command::new(env!("CARGO_BIN_EXE_foxtailhold-entry"));
    for (name, good) in GOOD {
        let variable = name.trim_start_matches('-').replace('-', "_");
        let variable = format!("FOXTAILHOLD_{}", variable.to_uppercase());
        command.env(variable, good);
    }
    command.env("FOXTAILHOLD_KEEP_FOR_MS", "soon");
    for (options, says) in [
        ([].as_slice(), "--keep-for-ms is \"soon\""),
        (&["--keep-for-ms", "later"], "--keep-for-ms is \"later\""),
    ] {
        let output = command.args(options).output().unwrap();
        let message = String::from_utf8_lossy(&output.stderr).replace("\n  │ ", " ");
        assert!(message.contains(says), "{message}");
    }
}

/// Each option with its default and unit; an empty default means that the option is required.
const OPTIONS: [(&str, &str, &str); 18] = [
    ("--instance", "", "name"),
    ("--availability-zone", "", "zone"),
    ("--caller-address", "", "IP and port"),
    ("--peer-address", "", "IP and port"),
    ("--operator-address", "", "IP and port"),
    ("--platform-address", "", "IP and port"),
    ("--operator-token", "", "characters"),
    ("--keep-for-ms", "default 5000", "in ms"),
    ("--stop-wait-ms", "default 900000", "in ms"),
    ("--batch-slots", "default 24", "a number"),
    ("--checking-engines", "default none", "ids"),
    ("--sweep-after-ms", "default 900000", "in ms"),
    (
        "--batch-policy",
        "default steward",
        "steward, off or ordinary",
    ),
    ("--batch-share-percent", "default 100", "in percent"),
    ("--wall-offset-ms", "default 0", "in ms"),
    ("--worker-threads", "default 0", "a number"),
    ("--memory-mb", "default 256", "in MB"),
    ("--max-descriptors", "default 4096", "a number"),
];

#[test]
fn help_names_every_option_with_its_environment_variable_default_and_unit() {
    let output = Command::new(env!("CARGO_BIN_EXE_foxtailhold-entry"))
        .arg("--help")
        .output()
        .unwrap();
    let help = String::from_utf8_lossy(&output.stdout).into_owned();
    let (_, options) = help.split_once("Options:").unwrap();
    let mut texts = Vec::new();
    for text in options.split("\n  --").skip(1) {
        let words: Vec<&str> = text.split_whitespace().collect();
        let option = words[0].trim_end_matches(',');
        texts.push((format!("--{option}"), words[1..].join(" ")));
    }
    for (option, default, unit) in OPTIONS {
        let variable = option.trim_start_matches('-').replace('-', "_");
        let variable = format!("[env: FOXTAILHOLD_{}]", variable.to_uppercase());
        let found = texts.iter().find(|(name, _)| name == option);
        let (_, text) = found.unwrap_or_else(|| panic!("{option} is not in {texts:?}"));
        for part in [variable.as_str(), default, unit] {
            assert!(text.contains(part), "{option}: no {part:?} in {text:?}");
        }
    }
    let known = OPTIONS.map(|(option, ..)| option);
    for (option, _) in texts {
        let help = option == "--help";
        assert!(help || known.contains(&option.as_str()), "{option}");
    }
}
