//! The command-line tool, run as a process.

use std::io::Write;
use std::path::Path;
use std::path::PathBuf;
use std::process::Command;
use std::process::Output;
use std::process::Stdio;

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

fn collect_literals(folder: &Path, event: &str, found: &mut Vec<String>) {
    for entry in std::fs::read_dir(folder).expect("a folder of sources") {
        let path = entry.expect("an entry").path();
        if path.is_dir() {
            collect_literals(&path, event, found);
            continue;
        }
        let text = std::fs::read_to_string(&path).expect("a source file");
        let start = format!("\"{event} ");
        let literals = text.split(&start).skip(1);
        found.extend(literals.filter_map(|rest| Some(rest.split_once('"')?.0.to_owned())));
    }
}

/// The message of an event as the node writes it, with values in place of the
/// fields of its format.
fn message(event: &str, values: &[&str]) -> String {
    let sources = Path::new(env!("CARGO_MANIFEST_DIR")).join("../node/src");
    let mut literals = Vec::new();
    collect_literals(&sources, event, &mut literals);
    let literal = literals.first().expect("the node writes the event");
    let mut fields = literal.split('{');
    let mut message = fields.next().unwrap_or_default().to_owned();
    let mut values = values.iter();
    for field in fields {
        let (_, text) = field.split_once('}').expect("a format");
        message += values.next().expect("a value for each field");
        message += text;
    }
    assert_eq!(values.next(), None, "too many values for {literal:?}");
    message
}

fn log_line(time_ms: u64, host: &str, event: &str, message: &str) -> String {
    let line = serde_json::json!({
        "time_ms": time_ms,
        "level": "INFO",
        "host": host,
        "event": event,
        "message": message,
    });
    format!("{line}\n")
}

/// Request r1 is sent by entry e1 to server i-1, whose agent a1 is late.
fn entry_log() -> String {
    [
        log_line(1_040, "e1", "E7022", &message("E7022", &["3", "200"])),
        log_line(
            8_300,
            "e1",
            "E7126",
            &message("E7126", &["r1", "i-1", "2", "3", "7260", "400"]),
        ),
        log_line(
            9_018,
            "e1",
            "E7127",
            &message("E7127", &["r1", "i-1", "2", "718", "3", "7978", "2"]),
        ),
        log_line(
            9_200,
            "e1",
            "E7107",
            "stream r1 ended at backend server i-1: waited 3 ms for slots",
        ),
        log_line(
            9_300,
            "e1",
            "E7107",
            "stream r1-b ended at backend server i-1",
        ),
    ]
    .concat()
}

fn agent_log() -> String {
    [
        log_line(
            500,
            "a1",
            "E7238",
            &message(
                "E7238",
                &[
                    "i-1",
                    "version 2 2000 ms after it was published: news 0 ms, load 2000 ms",
                ],
            ),
        ),
        log_line(1_000, "a1", "E7022", &message("E7022", &["3", "200"])),
        log_line(1_300, "a1", "E7222", "version 3 has 4 chunks"),
        log_line(
            7_000,
            "a1",
            "E7231",
            "staging chunk 1 failed: connection closed",
        ),
        log_line(
            10_000,
            "a1",
            "E7238",
            &message(
                "E7238",
                &[
                    "i-1",
                    "version 3 9000 ms after it was published: news 0 ms, staging 8000 ms",
                ],
            ),
        ),
        log_line(11_000, "a1", "E7222", "version 4 has 4 chunks"),
        log_line(5_000, "a2", "E7222", "version 3 has 4 chunks"),
    ]
    .concat()
}

fn write_log(name: &str, text: &str) -> String {
    let path = temporary_path(name);
    std::fs::write(&path, text).expect("write");
    path.to_string_lossy().into_owned()
}

/// Runs `explain-request` with a log on its standard input.
fn explain_from_input(arguments: &[&str], log: &str) -> Output {
    let mut tool = Command::new(env!("CARGO_BIN_EXE_snipewinch"))
        .arg("explain-request")
        .args(arguments)
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the tool starts");
    let mut input = tool.stdin.take().expect("the input is piped");
    input.write_all(log.as_bytes()).expect("written");
    drop(input);
    tool.wait_with_output().expect("the tool ends")
}

#[test]
fn a_request_that_began_on_old_weights_is_explained_from_all_logs() {
    let agent = write_log("agent.log", &agent_log());
    let entry = write_log("entry.log", &entry_log());
    let output = run(&["explain-request", "r1", &agent, &entry]);
    assert!(output.status.success(), "{}", stderr_text(&output));
    let text = stdout_text(&output);
    let (lines, answer) = text.split_once("\nRequest r1 ").expect("an answer");
    assert!(lines.starts_with("3 lines name request r1:\n"), "{text}");
    let sent = "\n00:00:08.300 e1 E7126 request r1 is sent to backend server i-1 with version 2 of the weights; version 3 is known for 7260 ms, time left to begin 400 ms\n    A request is sent to a backend server";
    assert!(lines.contains(sent), "{text}");
    assert_eq!(
        answer,
        "began on version 2 at backend server i-1, when e1 had known of version 3 for 7978 ms.\n\
         - It was sent when version 3 was known for 7260 ms: that is what the entry decided by.\n\
         - It began 718 ms after it was sent: on the way and in the queue of the engine.\n\
         - e1 learned of version 3 40 ms after a1, the first in these logs.\n\
         - i-1 loaded version 3 so:\n  \
         00:00:01.300 a1 E7222 version 3 has 4 chunks\n  \
         00:00:07.000 a1 E7231 staging chunk 1 failed: connection closed\n  \
         00:00:10.000 a1 E7238 backend server i-1 has loaded version 3 9000 ms after it was published: news 0 ms, staging 8000 ms\n"
    );
}

#[test]
fn logs_that_are_missing_are_named_in_the_explanation() {
    let log = entry_log();
    let (_, without_publication) = log.split_once('\n').expect("lines");
    let output = explain_from_input(&["r1"], without_publication);
    let text = stdout_text(&output);
    assert!(
        text.contains("When e1 learned of version 3 is not in these logs (E7022); add its log from before 00:00:09.018."),
        "{text}"
    );
    assert!(
        text.contains(
            "Why i-1 still held version 2 is not in these logs; add the log of its agent."
        ),
        "{text}"
    );
}

#[test]
fn lines_that_are_no_log_lines_are_counted_and_skipped() {
    let log = format!("starting\n{}{{\"event\":\"E7107\"}}\n", entry_log());
    for arguments in [&["r1", "-"][..], &["r1"]] {
        let output = explain_from_input(arguments, &log);
        assert!(output.status.success(), "{}", stderr_text(&output));
        let text = stdout_text(&output);
        let last = text.lines().last();
        let expected = "2 of 7 lines are not log lines and were skipped";
        assert_eq!(last, Some(expected), "{text}");
    }
}

#[test]
fn a_request_that_did_not_begin_on_old_weights_is_told_as_such() {
    let log = entry_log();
    let lines: Vec<&str> = log.lines().collect();
    let withdrawn = log_line(
        8_600,
        "e1",
        "E7128",
        "request r1 was withdrawn from backend server i-1",
    );
    let cases = [
        (
            format!("{}\n", lines[3]),
            "No line says that request r1 was sent to old weights or began on them",
        ),
        (
            format!("{}\n", lines[1]),
            "was sent to backend server i-1 with version 2, but no line says that it began there",
        ),
        (
            format!("{}\n{withdrawn}", lines[1]),
            "was sent to old weights and withdrawn before it began there",
        ),
    ];
    for (log, expected) in cases {
        let text = stdout_text(&explain_from_input(&["r1"], &log));
        assert!(text.contains(expected), "{expected}: {text}");
    }
}

#[test]
fn an_engine_that_loaded_before_the_request_began_is_told_as_such() {
    let begun = message("E7127", &["r1", "i-1", "3", "718", "3", "7978", "2"]);
    let log = log_line(9_018, "e1", "E7127", &begun);
    let text = stdout_text(&explain_from_input(&["r1"], &log));
    let expected = "Request r1 began on version 3 at backend server i-1, the newest that e1 knew: the engine loaded it within the 718 ms since the request was sent.\n";
    assert!(text.ends_with(expected), "{text}");
}

#[test]
fn a_request_that_no_log_names_is_an_error_with_a_remedy() {
    for id in ["r", "r2", ""] {
        let output = explain_from_input(&[id], &entry_log());
        assert!(!output.status.success());
        let text = stderr_text(&output);
        let expected = format!(
            "no line names request {id:?}; 5 lines were read, of which 0 are not log lines; give the logs of all entries"
        );
        assert!(text.contains(&expected), "{text}");
    }
}

#[test]
fn a_log_that_does_not_exist_is_named_in_the_error() {
    let path = temporary_path("absent.log");
    let output = run(&["explain-request", "r1", &path.to_string_lossy()]);
    assert!(!output.status.success());
    let text = stderr_text(&output);
    assert!(text.contains("absent.log"), "{text}");
    assert!(text.contains("correct the path"), "{text}");
}
