//! The command-line tool, run as a process.

use std::path::Path;
use std::path::PathBuf;
use std::process::Command;
use std::process::Output;

fn run(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_snipewinch"))
        .args(arguments)
        .output()
        .expect("the tool starts")
}

fn stdout_text(output: &Output) -> String {
    String::from_utf8_lossy(&output.stdout).into_owned()
}

fn stderr_text(output: &Output) -> String {
    String::from_utf8_lossy(&output.stderr).into_owned()
}

fn example_path(name: &str) -> String {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples");
    root.join(name).to_string_lossy().into_owned()
}

fn temporary_path(name: &str) -> PathBuf {
    Path::new(env!("CARGO_TARGET_TMPDIR")).join(name)
}

#[test]
fn the_examples_are_valid() {
    for name in ["bluebonnet.json", "peachtree.json"] {
        let output = run(&["check", &example_path(name)]);
        assert!(output.status.success(), "{name}: {}", stderr_text(&output));
        assert!(stdout_text(&output).starts_with("valid: 1 models, 3 services, 10 customers"));
    }
}

#[test]
fn all_faults_of_a_document_are_reported_with_their_fields() {
    let text = std::fs::read_to_string(example_path("bluebonnet.json")).expect("example");
    let mut document: serde_json::Value = serde_json::from_str(&text).expect("json");
    document["services"][0]["backend"]["engine"]["model"] = "absent".into();
    document["customers"][1]["share"] = 0.into();
    let path = temporary_path("faulty.json");
    std::fs::write(&path, document.to_string()).expect("write");
    let output = run(&["check", &path.to_string_lossy()]);
    assert!(!output.status.success());
    let report = stderr_text(&output);
    for field in ["services[0]", "customers[1].share"] {
        assert!(report.contains(field), "{field} in {report}");
    }
}

#[test]
fn weights_are_verified_chunk_by_chunk() {
    let path = temporary_path("weights.bin");
    let mut weights = vec![1; 5000];
    std::fs::write(&path, &weights).expect("write");
    let file = path.to_string_lossy().into_owned();
    let created = run(&[
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
    assert!(created.status.success(), "{}", stderr_text(&created));
    let verified = run(&["weights", "verify", &file]);
    assert!(verified.status.success(), "{}", stderr_text(&verified));
    assert_eq!(
        stdout_text(&created).lines().next(),
        stdout_text(&verified).lines().next()
    );
    weights[2000] = 2;
    std::fs::write(&path, &weights).expect("write");
    let mismatched = run(&["weights", "verify", &file]);
    assert!(!mismatched.status.success());
    assert!(
        stderr_text(&mismatched).contains("these chunks differ: 1;"),
        "{}",
        stderr_text(&mismatched)
    );
}

#[test]
fn event_numbers_are_explained() {
    for number in ["E1003", "e1003", "1003"] {
        let output = run(&["explain", number]);
        assert!(
            stdout_text(&output).starts_with("E1003 (warn)"),
            "{}",
            stdout_text(&output)
        );
    }
    assert!(stderr_text(&run(&["explain", "E0000"])).contains("no event E0000"));
}

#[test]
fn an_entry_that_does_not_answer_is_named_in_the_error() {
    // The port was bound and released, so the connection is refused or gets no
    // answer.
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("bind");
    let entry = listener.local_addr().expect("address").to_string();
    drop(listener);
    let output = run(&["status", "--entry", &entry]);
    assert!(!output.status.success());
    assert!(stderr_text(&output).contains(&entry));
}
