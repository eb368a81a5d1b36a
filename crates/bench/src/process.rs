//! A child process: its ready line, its log and its resource usage.

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

/// How long a program may take to print its ready line.
const READY_LIMIT: Duration = Duration::from_secs(30);
/// Log lines kept for each process; older ones are dropped.
const LOG_LINES_MAX: usize = 400;
/// Linux reports processor time in `/proc/PID/stat` in ticks of 10 ms.
const TICKS_PER_SECOND: f64 = 100.0;

/// Why a program did not start.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The operating system did not start it.
    #[snafu(display(
        "starting {name} failed: {source}; check that it is built and the limit on processes"
    ))]
    Start {
        /// The name of the process.
        name: String,
        /// The error of the operating system.
        source: io::Error,
    },
    /// It printed no ready line.
    #[snafu(display("{name} did not become ready: {detail}; see its log"))]
    Ready {
        /// The name of the process.
        name: String,
        /// What it printed instead, and the last lines of its log.
        detail: String,
    },
}

/// A running child process, killed when dropped.
#[derive(Debug)]
pub struct Process {
    /// The name of the process in error messages.
    pub name: String,
    child: Child,
    log_lines: Arc<Mutex<VecDeque<String>>>,
}

/// The resource usage of a process.
#[derive(Clone, Copy, Debug, Default)]
pub struct Usage {
    /// User and system processor time, in seconds.
    pub cpu_s: f64,
    /// Current resident memory, in KiB.
    pub rss_kib: u64,
    /// Peak resident memory, in KiB.
    pub rss_max_kib: u64,
}

impl Process {
    /// Starts a program and waits for its ready line, a JSON object on standard
    /// output.
    ///
    /// # Errors
    ///
    /// [`Error`] if it does not start or prints no ready line in time.
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
            return process.startup_error("standard output is not captured");
        };
        let mut reader = BufReader::new(output).lines();
        let line = match tokio::time::timeout(READY_LIMIT, reader.next_line()).await {
            Ok(Ok(Some(line))) => line,
            Ok(Ok(None)) => return process.startup_error("it exited"),
            Ok(Err(error)) => return process.startup_error(&error.to_string()),
            Err(_) => return process.startup_error("it printed nothing"),
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

    /// The process id, none once it has exited.
    pub fn id(&self) -> Option<u32> {
        self.child.id()
    }

    /// Sends a signal; false if the process has already exited.
    pub fn signal(&self, signal: Signal) -> bool {
        match self.child.id() {
            Some(id) => kill(Pid::from_raw(id as i32), signal).is_ok(),
            None => false,
        }
    }

    /// Kills the process and waits until it has exited.
    pub async fn kill(&mut self) {
        // An error means that it has already exited.
        let _ = self.child.kill().await;
    }

    /// Waits until the process exits; returns whether it exited successfully.
    pub async fn wait(&mut self) -> bool {
        match self.child.wait().await {
            Ok(status) => status.success(),
            Err(_) => false,
        }
    }

    /// Whether the process has exited.
    pub fn has_ended(&mut self) -> bool {
        !matches!(self.child.try_wait(), Ok(None))
    }

    /// The last lines of the log, oldest first.
    pub fn log_lines(&self) -> Vec<String> {
        self.log_lines.lock().iter().cloned().collect()
    }

    /// The resource usage so far; zero once the process has exited.
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
    // The second field, the program name in parentheses, may contain spaces.
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
