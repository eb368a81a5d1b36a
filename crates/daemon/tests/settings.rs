//! The settings of the daemon: valid and invalid values, messages, the help and
//! the page of settings.

use std::path::Path;
use std::process::Command;
use std::process::Output;

use daemon::Config;
use daemon::Error;
use daemon::Role;
use daemon::SETTINGS;

fn run(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_snipewinchd"))
        .args(arguments)
        .env_clear()
        .output()
        .expect("the daemon starts")
}

fn faults(flag: &'static str, value: &str) -> Vec<&'static str> {
    let built = Config::builder("entry-1", Role::Entry)
        .fleet_key("a secret of the whole fleet")
        .set(flag, value)
        .build();
    match built {
        Ok(_) => Vec::new(),
        Err(Error::Settings { faults }) => faults.iter().map(|fault| fault.name).collect(),
        Err(error) => panic!("{error}"),
    }
}

/// A value of a setting, and whether it is accepted.
struct Case {
    flag: &'static str,
    value: &'static str,
    accepted: bool,
}

const fn case(flag: &'static str, value: &'static str, accepted: bool) -> Case {
    Case {
        flag,
        value,
        accepted,
    }
}

const CASES: &[Case] = &[
    case("role", "leader", false),
    case("listen-peers", "localhost", false),
    case("listen-peers", "127.0.0.1:0", true),
    case("listen-http", "127.0.0.1:70000", false),
    case("platform", "ftp://127.0.0.1", false),
    case("platform", "http://127.0.0.1:1/path", false),
    case("platform", "http://127.0.0.1:1/", true),
    case("origin", "127.0.0.1:1", false),
    case("fleet-key", "short", false),
    case("first-operator-key-digest", "abc", false),
    case("upload-mbit", "-1", false),
    case("upload-mbit", "0", true),
    case("chunk-memory-mib", "0", false),
    case("collector", "http://", false),
    case("log", "xml", false),
    case("log-level", "loud", false),
    case("workers", "0", false),
    case("workers", "65", false),
    case("workers", "64", true),
    case("drain-limit-ms", "1s", false),
];

#[test]
fn each_invalid_value_is_reported_under_its_setting() {
    for case in CASES {
        let expected = if case.accepted {
            vec![]
        } else {
            vec![case.flag]
        };
        assert_eq!(faults(case.flag, case.value), expected, "{}", case.value);
    }
}

#[test]
fn all_invalid_settings_are_reported_at_once_with_a_remedy() {
    let output = run(&["--role", "agent", "--host", "a", "--workers", "none"]);
    assert_eq!(output.status.code(), Some(2));
    let stderr = String::from_utf8_lossy(&output.stderr);
    for expected in [
        "--service is missing: set it (or SNIPEWINCH_SERVICE) to a service's name",
        "--backend is missing",
        "--fleet-key is missing",
        "--workers is `none`: set it (or SNIPEWINCH_WORKERS) to a whole number from 1 to 64",
    ] {
        assert!(stderr.contains(expected), "{expected} in {stderr}");
    }
}

#[test]
fn a_fleet_key_is_never_printed() {
    let output = run(&[
        "--role",
        "entry",
        "--host",
        "a",
        "--fleet-key",
        "tiny-secret",
    ]);
    let stderr = String::from_utf8_lossy(&output.stderr);
    assert!(stderr.contains("--fleet-key"), "{stderr}");
    assert!(!stderr.contains("tiny-secret"), "{stderr}");
    let config = Config::builder("a", Role::Entry)
        .fleet_key("a secret of the whole fleet")
        .build()
        .expect("valid settings");
    assert!(!format!("{config:?}").contains("a secret"));
}

#[test]
fn an_unknown_flag_refers_to_the_help() {
    let output = run(&["--rolle", "entry"]);
    assert_eq!(output.status.code(), Some(2));
    let stderr = String::from_utf8_lossy(&output.stderr);
    assert!(stderr.contains("--help"), "{stderr}");
}

#[test]
fn the_help_and_the_settings_page_list_every_setting_and_the_version_is_printed() {
    let help = run(&["--help"]);
    assert!(help.status.success());
    let help = String::from_utf8_lossy(&help.stdout).into_owned();
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/SETTINGS.md");
    let page = std::fs::read_to_string(path).expect("docs/SETTINGS.md");
    for setting in SETTINGS {
        assert!(
            help.contains(&format!("--{}", setting.name)),
            "{}",
            setting.name
        );
        let purpose = setting.help.trim_end_matches('.');
        assert!(help.contains(purpose), "{}", setting.name);
        let row = format!(
            "| `--{}` | `{}` | {} | {} | {} |",
            setting.name,
            setting.variable(),
            if setting.default.is_empty() {
                ""
            } else {
                setting.default
            },
            setting.help,
            setting.expects,
        );
        assert!(page.contains(&row), "docs/SETTINGS.md lacks:\n{row}");
    }
    let rows = page
        .lines()
        .filter(|line| line.starts_with("| `--"))
        .count();
    assert_eq!(
        rows,
        SETTINGS.len(),
        "docs/SETTINGS.md has a wrong number of rows"
    );
    let version = run(&["--version"]);
    assert!(String::from_utf8_lossy(&version.stdout).starts_with("snipewinchd 0."));
}
