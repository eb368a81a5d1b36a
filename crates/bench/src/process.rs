//! One started program: its ready line, its log, its use of the machine.

use std::collections::VecDeque;
use std::io;
use std::path::Path;
use std::process::Stdio;
use std::sync::Arc;
use std::time::Duration;

use nix::sys::signal::Signal;
use nix::sys::signal::kill;
use nix::unistd::Pid;
use parking_lot::Mutex;
use serde_json::Value;
use snafu::ResultExt;
use snafu::Snafu;
use tokio::io::AsyncBufReadExt;
use tokio::io::AsyncRead;
use tokio::io::BufReader;
use tokio::process::Child;
use tokio::process::Command;

/// How long a program may take to listen.
const READY_LIMIT: Duration = Duration::from_secs(30);
/// Log lines kept of each program.
const LOG_LINES_MAX: usize = 400;
/// Clock ticks in a second of processor time, as Linux counts them.
const TICKS_PER_SECOND: f64 = 100.0;

/// Why a program can't be used.
#[derive(Debug, Snafu)]
pub enum Error {
    /// It can't be started.
    #[snafu(display("can't start {name}: {source}; build it and look at the limit on processes"))]
    Start {
        /// Which.
        name: String,
        /// What the system said.
        source: io::Error,
    },
    /// It never said that it listens.
    #[snafu(display("{name} did not come up: {detail}; its log says why"))]
    Ready {
        /// Which.
        name: String,
        /// What was seen.
        detail: String,
    },
}

/// A running program, killed when dropped.
#[derive(Debug)]
pub struct Process {
    /// Its name in logs.
    pub name: String,
    child: Child,
    log_lines: Arc<Mutex<VecDeque<String>>>,
}

/// What a program has used of the machine.
#[derive(Clone, Copy, Debug, Default)]
pub struct Usage {
    /// Processor time, in seconds.
    pub cpu_s: f64,
    /// Memory resident now, in KiB.
    pub rss_kib: u64,
    /// The most memory resident so far, in KiB.
    pub rss_max_kib: u64,
}

impl Process {
    /// Starts a program and waits for its JSON line.
    ///
    /// # Errors
    ///
    /// [`Error`] if it does not start or listen.
    pub async fn spawn(
        name: &str,
        program: &Path,
        arguments: &[String],
    ) -> Result<(Process, Value), Error> {
        let mut child = Command::new(program)
            .args(arguments)
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .stderr(Stdio::piped())
            .kill_on_drop(true)
            .spawn()
            .context(StartSnafu { name })?;
        let lines = Arc::new(Mutex::new(VecDeque::new()));
        if let Some(errors) = child.stderr.take() {
            tokio::spawn(collect_log(errors, lines.clone()));
        }
        let output = child.stdout.take();
        let process = Process {
            name: name.to_owned(),
            child,
            log_lines: lines.clone(),
        };
        let Some(output) = output else {
            return process.startup_error("no output");
        };
        let mut reader = BufReader::new(output).lines();
        let line = match tokio::time::timeout(READY_LIMIT, reader.next_line()).await {
            Ok(Ok(Some(line))) => line,
            Ok(Ok(None)) => return process.startup_error("it ended"),
            Ok(Err(error)) => return process.startup_error(&error.to_string()),
            Err(_) => return process.startup_error("it says nothing"),
        };
        let Ok(ready) = serde_json::from_str(&line) else {
            return process.startup_error(&line);
        };
        tokio::spawn(collect_log(reader.into_inner(), lines));
        Ok((process, ready))
    }

    fn startup_error(self, detail: &str) -> Result<(Process, Value), Error> {
        let log: Vec<String> = self.log_lines.lock().iter().cloned().collect();
        let detail = format!("{detail}\n{}", log.join("\n"));
        let name = self.name.clone();
        ReadySnafu { name, detail }.fail()
    }

    /// Its process id while it runs.
    pub fn id(&self) -> Option<u32> {
        self.child.id()
    }

    /// Sends a signal; false if it has already ended.
    pub fn signal(&self, signal: Signal) -> bool {
        match self.child.id() {
            Some(id) => kill(Pid::from_raw(id as i32), signal).is_ok(),
            None => false,
        }
    }

    /// Kills it and waits for its end.
    pub async fn kill(&mut self) {
        // One that has already ended is what is wanted.
        let _ = self.child.kill().await;
    }

    /// Waits for its end; whether it ended without an error.
    pub async fn wait(&mut self) -> bool {
        match self.child.wait().await {
            Ok(status) => status.success(),
            Err(_) => false,
        }
    }

    /// Whether it has ended.
    pub fn has_ended(&mut self) -> bool {
        !matches!(self.child.try_wait(), Ok(None))
    }

    /// The last lines of its log.
    pub fn log_lines(&self) -> Vec<String> {
        self.log_lines.lock().iter().cloned().collect()
    }

    /// What it has used so far; zero once it has ended.
    pub fn usage(&self) -> Usage {
        self.id().and_then(read_usage).unwrap_or_default()
    }
}

async fn collect_log(source: impl AsyncRead + Unpin, lines: Arc<Mutex<VecDeque<String>>>) {
    let mut reader = BufReader::new(source).lines();
    while let Ok(Some(line)) = reader.next_line().await {
        let mut lines = lines.lock();
        if lines.len() == LOG_LINES_MAX {
            lines.pop_front();
        }
        lines.push_back(line);
    }
}

fn read_usage(id: u32) -> Option<Usage> {
    let status = std::fs::read_to_string(format!("/proc/{id}/status")).ok()?;
    let kib = |name: &str| {
        let line = status.lines().find(|line| line.starts_with(name))?;
        line.split_whitespace().nth(1)?.parse().ok()
    };
    let stat = std::fs::read_to_string(format!("/proc/{id}/stat")).ok()?;
    // The program's name, in parentheses, may hold spaces.
    let (_, fields) = stat.rsplit_once(')')?;
    let fields: Vec<&str> = fields.split_whitespace().collect();
    let user: f64 = fields.get(11)?.parse().ok()?;
    let system: f64 = fields.get(12)?.parse().ok()?;
    Some(Usage {
        cpu_s: (user + system) / TICKS_PER_SECOND,
        rss_kib: kib("VmRSS:")?,
        rss_max_kib: kib("VmHWM:")?,
    })
}
