//! A writer of log lines with a thread and a bounded queue of its own.

use std::io;
use std::io::Write;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::sync::mpsc;
use std::sync::mpsc::Receiver;
use std::sync::mpsc::SyncSender;
use std::sync::mpsc::TrySendError;
use std::thread;
use std::time::Duration;
use std::time::Instant;

/// The most lines that wait to be written.
const QUEUED_LINES_MAX: usize = 1_024;
/// The longest line that is queued, in bytes; the rest of it is left out.
const LINE_BYTES_MAX: usize = 16 << 10;
/// The most bytes that are written at once.
const BATCH_BYTES_MAX: usize = 32 << 10;
/// The stack of the thread, in bytes.
const STACK_BYTES: usize = 64 << 10;
/// The pause before the end of the queue is looked for again.
const FINISH_RETRY_INTERVAL: Duration = Duration::from_millis(5);

/// What is queued.
enum Item {
    Line(Vec<u8>),
    /// Asks to be told once all lines before it are written.
    Mark(SyncSender<()>),
}

/// Queues lines that a thread writes. A line that finds the queue full is lost, as its
/// reader is too slow or does not read. Clones share the queue.
#[derive(Clone, Debug)]
pub struct Writer {
    items: SyncSender<Item>,
    lost: Arc<AtomicU64>,
    /// The line that is being made by [`Write`].
    line: Vec<u8>,
}

impl Writer {
    /// Starts the thread that writes to `output`.
    ///
    /// # Errors
    ///
    /// The I/O error if no thread can be started.
    pub fn spawn(output: impl Write + Send + 'static) -> io::Result<Writer> {
        let (items, queue) = mpsc::sync_channel(QUEUED_LINES_MAX);
        thread::Builder::new()
            .name("log".into())
            .stack_size(STACK_BYTES)
            .spawn(move || write_lines(output, &queue))?;
        Ok(Writer {
            items,
            lost: Arc::default(),
            line: Vec::new(),
        })
    }

    /// Queues a line, which ends with a line feed. Returns whether it was queued.
    pub fn send(&self, mut line: Vec<u8>) -> bool {
        if line.len() > LINE_BYTES_MAX {
            line.truncate(LINE_BYTES_MAX - 1);
            line.push(b'\n');
        }
        let sent = self.items.try_send(Item::Line(line));
        if sent.is_err() {
            self.lost.fetch_add(1, Ordering::Relaxed);
        }
        sent.is_ok()
    }

    /// The number of lines that were lost.
    pub fn lost(&self) -> u64 {
        self.lost.load(Ordering::Relaxed)
    }

    /// Waits until all queued lines are written, for at most `limit`.
    pub fn finish(&self, limit: Duration) {
        let due = Instant::now() + limit;
        let (done, written) = mpsc::sync_channel(1);
        let mut mark = Item::Mark(done);
        while let Err(TrySendError::Full(unsent)) = self.items.try_send(mark) {
            if Instant::now() >= due {
                return;
            }
            mark = unsent;
            thread::sleep(FINISH_RETRY_INTERVAL);
        }
        let _ = written.recv_timeout(due.saturating_duration_since(Instant::now()));
    }
}

/// Collects the bytes of a line, which [`Write::flush`] queues. Both always succeed.
impl Write for Writer {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.line.extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        let line = std::mem::take(&mut self.line);
        if !line.is_empty() {
            self.send(line);
        }
        Ok(())
    }
}

/// Writes what is queued until all senders are gone. Lines that cannot be written are
/// left out: nobody can be told.
fn write_lines(mut output: impl Write, queue: &Receiver<Item>) {
    let mut batch = Vec::new();
    while let Ok(first) = queue.recv() {
        let mut next = Some(first);
        while let Some(item) = next {
            match item {
                Item::Line(line) => batch.extend_from_slice(&line),
                Item::Mark(done) => {
                    write_batch(&mut output, &mut batch);
                    let _ = done.try_send(());
                }
            }
            next = match batch.len() < BATCH_BYTES_MAX {
                true => queue.try_recv().ok(),
                false => None,
            };
        }
        write_batch(&mut output, &mut batch);
    }
}

fn write_batch(output: &mut impl Write, batch: &mut Vec<u8>) {
    if !batch.is_empty() {
        let _ = output.write_all(batch).and_then(|()| output.flush());
    }
    batch.clear();
}
