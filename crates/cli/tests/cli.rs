//! The tool as it is used from a shell.

use std::path::Path;
use std::path::PathBuf;
use std::process::Command;
use std::process::Output;

fn run(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_snipewinch"))
        .args(arguments)
        .output()
        .expect("the tool runs")
}

fn out(output: &Output) -> String {
    String::from_utf8_lossy(&output.stdout).into_owned()
}

fn err(output: &Output) -> String {
    String::from_utf8_lossy(&output.stderr).into_owned()
}

fn example(name: &str) -> String {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples");
    root.join(name).to_string_lossy().into_owned()
}

fn scratch(name: &str) -> PathBuf {
    Path::new(env!("CARGO_TARGET_TMPDIR")).join(name)
}

#[test]
fn both_examples_are_valid() {
    for name in ["bluebonnet.json", "peachtree.json"] {
        let output = run(&["check", &example(name)]);
        assert!(output.status.success(), "{name}: {}", err(&output));
        assert!(out(&output).starts_with("valid: 1 models, 3 services, 10 customers"));
    }
}

#[test]
fn every_fault_of_a_document_is_reported_with_its_path() {
    let text = std::fs::read_to_string(example("bluebonnet.json")).expect("example");
    let mut document: serde_json::Value = serde_json::from_str(&text).expect("json");
    document["services"][0]["backend"]["engine"]["model"] = "absent".into();
    document["customers"][1]["share"] = 0.into();
    let path = scratch("faulty.json");
    std::fs::write(&path, document.to_string()).expect("write");
    let output = run(&["check", &path.to_string_lossy()]);
    assert!(!output.status.success());
    let said = err(&output);
    for field in ["services[0]", "customers[1].share"] {
        assert!(said.contains(field), "{field} in {said}");
    }
}

#[test]
fn weights_are_verified_chunk_by_chunk() {
    let path = scratch("weights.bin");
    let mut weights = vec![1; 5000];
    std::fs::write(&path, &weights).expect("write");
    let file = path.to_string_lossy().into_owned();
    let made = run(&[
        "weights",
        "make",
        &file,
        "--model",
        "m",
        "--version",
        "1",
        "--chunk-kib",
        "1",
    ]);
    assert!(made.status.success(), "{}", err(&made));
    let right = run(&["weights", "verify", &file]);
    assert!(right.status.success(), "{}", err(&right));
    assert_eq!(out(&made).lines().next(), out(&right).lines().next());
    weights[2000] = 2;
    std::fs::write(&path, &weights).expect("write");
    let wrong = run(&["weights", "verify", &file]);
    assert!(!wrong.status.success());
    assert!(
        err(&wrong).contains("these chunks differ: 1;"),
        "{}",
        err(&wrong)
    );
}

#[test]
fn numbers_are_explained() {
    for number in ["E1003", "e1003", "1003"] {
        let output = run(&["explain", number]);
        assert!(out(&output).starts_with("E1003 (warn)"), "{}", out(&output));
    }
    assert!(err(&run(&["explain", "E0000"])).contains("no event E0000"));
}

#[test]
fn an_entry_that_does_not_answer_is_named() {
    // Bound and never served: the connection is refused or stays unanswered.
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("bind");
    let entry = listener.local_addr().expect("address").to_string();
    drop(listener);
    let output = run(&["status", "--entry", &entry]);
    assert!(!output.status.success());
    assert!(err(&output).contains(&entry));
}
