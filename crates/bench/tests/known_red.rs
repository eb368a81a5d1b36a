//! Tests that the list of known failures passes over exactly the tests that it
//! names. The tests of this file stand for tests of the list.

use std::path::Path;
use std::process::Command;

/// An entry of the list, with the test that it names.
fn list_of(test: &str) -> String {
    format!("What fails\n  test: {test}\n  command: cargo test {test}\n  seen: once\n  issue: 1\n")
}

/// The tests of this file that run beside a list of known failures, which is
/// written to a file.
fn tests_beside(list: &str, name: &str) -> String {
    let file = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&file, list).unwrap();
    let script = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../.ci/known-red");
    let printed = Command::new("bash").arg(script).arg(file).output().unwrap();
    assert!(printed.status.success(), "{printed:?}");
    let arguments = String::from_utf8(printed.stdout).unwrap();
    let this = std::env::current_exe().unwrap();
    let listed = Command::new(this)
        .args(arguments.lines())
        .arg("--list")
        .output()
        .unwrap();
    String::from_utf8(listed.stdout).unwrap()
}

#[test]
fn a_known_failure_is_not_passed_over() {
    let list = list_of("a_known_failure_is_not_passed_over");
    let tests = tests_beside(&list, "known-red-one.txt");
    let listed = "a_known_failure_is_not_passed_over: test";
    assert!(!tests.contains(listed), "{tests}");
}

#[test]
fn a_known_failure_is_not_passed_over_nor_a_test_with_a_longer_name_run() {
    let list = list_of("a_known_failure_is_not_passed_over");
    let tests = tests_beside(&list, "known-red-longer.txt");
    let longer = "a_known_failure_is_not_passed_over_nor_a_test_with_a_longer_name_run: test";
    assert!(tests.contains(longer), "{tests}");
}

#[test]
fn a_test_is_passed_over_without_known_failures() {
    let tests = tests_beside("", "known-red-none.txt");
    assert_eq!(tests.matches(": test").count(), 3, "{tests}");
}
