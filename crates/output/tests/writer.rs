//! Tests that log lines never wait for their reader.

use std::io;
use std::io::Write;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use output::Writer;

/// The time within which anything that does not wait is done.
const SOON: Duration = Duration::from_millis(500);
const LINES: usize = 5_000;

/// Takes bytes only while a gate is open.
#[derive(Clone, Default)]
struct Reader {
    gate: Arc<Mutex<()>>,
    bytes: Arc<Mutex<Vec<u8>>>,
}

impl Write for Reader {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let _open = self.gate.lock().unwrap();
        self.bytes.lock().unwrap().extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Fails as a closed pipe does.
struct Closed;

impl Write for Closed {
    fn write(&mut self, _: &[u8]) -> io::Result<usize> {
        Err(io::ErrorKind::BrokenPipe.into())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn line(number: usize) -> Vec<u8> {
    format!("line {number}\n").into_bytes()
}

/// Guards against a process that stands still because its log is not read.
#[test]
fn lines_do_not_wait_for_a_reader_that_has_stopped() {
    let reader = Reader::default();
    let stopped = reader.gate.lock().unwrap();
    let writer = Writer::spawn(reader.clone()).unwrap();
    let started = Instant::now();
    let queued = (0..LINES)
        .filter(|number| writer.send(line(*number)))
        .count();
    writer.finish(Duration::from_millis(100));
    assert!(started.elapsed() < SOON, "{:?}", started.elapsed());
    assert!(queued < LINES, "the queue has no bound");
    assert_eq!(writer.lost() as usize, LINES - queued);
    drop(stopped);
    writer.finish(Duration::from_secs(10));
    let text = String::from_utf8(reader.bytes.lock().unwrap().clone()).unwrap();
    assert_eq!(text.lines().count(), queued, "queued lines are written");
    assert!(writer.send(line(0)), "it goes on");
}

/// Guards against lines that are lost although their reader keeps up.
#[test]
fn what_was_queued_before_the_end_is_written_in_order() {
    let reader = Reader::default();
    let writer = Writer::spawn(reader.clone()).unwrap();
    for number in 0..500 {
        assert!(writer.send(line(number)));
    }
    writer.finish(Duration::from_secs(10));
    let expected: Vec<u8> = (0..500).flat_map(line).collect();
    assert_eq!(*reader.bytes.lock().unwrap(), expected);
    assert_eq!(writer.lost(), 0);
}

/// Guards against an end of the process by a log that is closed.
#[test]
fn a_closed_output_ends_nothing() {
    let mut writer = Writer::spawn(Closed).unwrap();
    for _ in 0..LINES {
        writer.write_all(b"a line\n").unwrap();
        writer.flush().unwrap();
    }
    writer.finish(SOON);
}

/// Guards against lines of any length in the queue.
#[test]
fn a_long_line_is_cut() {
    let reader = Reader::default();
    let writer = Writer::spawn(reader.clone()).unwrap();
    let mut long = vec![b'x'; 1 << 20];
    long.push(b'\n');
    writer.send(long);
    writer.finish(Duration::from_secs(10));
    let bytes = reader.bytes.lock().unwrap();
    assert!(bytes.len() < 20 << 10 && bytes.ends_with(b"x\n"));
}
