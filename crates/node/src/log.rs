//! Structured logging to standard output, with a rate limit.
//!
//! A line is one JSON object. Its `event` is the event number at the start of
//! the message. The lines of each event are limited per second; the next line
//! of an event says how many were left out. Lines are written by a thread of their
//! own, as a request must not wait for whoever reads them; a line that finds too many
//! waiting is lost, and the next one that is written says how many were.

use std::collections::HashMap;
use std::sync::OnceLock;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use log::Level;
use log::LevelFilter;
use log::Log;
use log::Metadata;
use log::Record;
use output::Writer;
use parking_lot::Mutex;
use serde::Serialize;
use smol_str::SmolStr;
use snafu::ResultExt;

use crate::Config;
use crate::Error;
use crate::error::SystemSnafu;

/// The most lines of one event per second: enough to follow single requests at
/// low load, and cheap compared with the requests at high load.
const LINES_PER_S_MAX: u32 = 10;
/// The most lines of one event per second that report a failure.
const FAILURE_LINES_PER_S_MAX: u32 = 30;

/// One log line.
#[derive(Serialize)]
struct Line<'a> {
    /// Milliseconds since the Unix epoch.
    time_ms: u64,
    level: &'a str,
    host: &'a str,
    event: &'a str,
    message: &'a str,
    /// Lines of this event that were left out since the last one.
    #[serde(skip_serializing_if = "is_zero")]
    left_out: u64,
    /// Lines of any event that were lost since the last one, as they were not read.
    #[serde(skip_serializing_if = "is_zero")]
    lost: u64,
}

fn is_zero(count: &u64) -> bool {
    *count == 0
}

/// The writer of this process's lines, once it is installed.
static WRITER: OnceLock<Writer> = OnceLock::new();

/// The number of lines of this process that were lost.
pub(crate) fn lost_lines() -> u64 {
    WRITER.get().map_or(0, Writer::lost)
}

/// The lines of one event in the current window of one second.
#[derive(Debug)]
struct Quota {
    window_start: Instant,
    written: u32,
    left_out: u64,
}

struct Logger {
    host: SmolStr,
    level: LevelFilter,
    quotas: Mutex<HashMap<SmolStr, Quota>>,
    writer: Writer,
    /// The lost lines that a line has told of.
    told_lost: Mutex<u64>,
}

/// Installs the logger of this process, and returns the writer of its lines.
pub(crate) fn install(config: &Config) -> Result<Writer, Error> {
    let writer = Writer::spawn(std::io::stdout()).context(SystemSnafu)?;
    let _ = WRITER.set(writer.clone());
    let logger: Box<dyn Log> = Box::new(Logger {
        host: config.settings.identity.host.0.clone(),
        level: config.log_level,
        quotas: Mutex::default(),
        writer: writer.clone(),
        told_lost: Mutex::default(),
    });
    fern::Dispatch::new()
        .level(LevelFilter::Warn)
        .level_for("node", config.log_level)
        .level_for("platform", config.log_level)
        .level_for("peer", config.log_level)
        .chain(logger)
        .apply()
        .map_err(|_| Error::Log)?;
    Ok(writer)
}

impl Logger {
    /// Counts a line. Returns how many lines of its event were left out since
    /// the last one, or `None` if this one is left out too.
    fn admit(&self, event: &str, level: Level) -> Option<u64> {
        let max_lines = match level {
            Level::Error | Level::Warn => FAILURE_LINES_PER_S_MAX,
            Level::Info | Level::Debug | Level::Trace => LINES_PER_S_MAX,
        };
        let mut quotas = self.quotas.lock();
        let now = Instant::now();
        let quota = quotas.entry(event.into()).or_insert(Quota {
            window_start: now,
            written: 0,
            left_out: 0,
        });
        if now.duration_since(quota.window_start) >= Duration::from_secs(1) {
            quota.window_start = now;
            quota.written = 0;
        }
        if quota.written >= max_lines {
            quota.left_out += 1;
            return None;
        }
        quota.written += 1;
        Some(std::mem::take(&mut quota.left_out))
    }
}

impl Log for Logger {
    fn enabled(&self, metadata: &Metadata<'_>) -> bool {
        metadata.level() <= self.level
    }

    fn log(&self, record: &Record<'_>) {
        let text = record.args().to_string();
        let (event, message) = text.split_once(' ').unwrap_or(("", &text));
        let Some(left_out) = self.admit(event, record.level()) else {
            return;
        };
        let mut told_lost = self.told_lost.lock();
        let lost = self.writer.lost();
        let now = SystemTime::now().duration_since(UNIX_EPOCH);
        let line = Line {
            time_ms: now.map_or(0, |since| since.as_millis() as u64),
            level: record.level().as_str(),
            host: &self.host,
            event,
            message,
            left_out,
            lost: lost.saturating_sub(*told_lost),
        };
        let Ok(mut bytes) = serde_json::to_vec(&line) else {
            return;
        };
        bytes.push(b'\n');
        if self.writer.send(bytes) {
            *told_lost = lost;
        }
    }

    fn flush(&self) {}
}
