//! Structured logging to standard output, with a rate limit.
//!
//! A line is one JSON object. Its `event` is the event number at the start of
//! the message. The lines of each event are limited per second; the next line
//! of an event says how many were left out. A line that standard output does
//! not accept is dropped, as a request must not wait for a log line; this holds
//! only if standard output is non-blocking.

use std::collections::HashMap;
use std::io::Write;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use log::Level;
use log::LevelFilter;
use log::Log;
use log::Metadata;
use log::Record;
use parking_lot::Mutex;
use serde::Serialize;
use smol_str::SmolStr;

use crate::Config;
use crate::Error;

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
    left_out: u32,
}

fn is_zero(count: &u32) -> bool {
    *count == 0
}

/// The lines of one event in the current window of one second.
#[derive(Debug)]
struct Quota {
    window_start: Instant,
    written: u32,
    left_out: u32,
}

struct Logger {
    host: SmolStr,
    level: LevelFilter,
    quotas: Mutex<HashMap<SmolStr, Quota>>,
}

/// Installs the logger of this process.
pub(crate) fn install(config: &Config) -> Result<(), Error> {
    let logger: Box<dyn Log> = Box::new(Logger {
        host: config.settings.identity.host.0.clone(),
        level: config.log_level,
        quotas: Mutex::default(),
    });
    fern::Dispatch::new()
        .level(LevelFilter::Warn)
        .level_for("node", config.log_level)
        .level_for("platform", config.log_level)
        .level_for("peer", config.log_level)
        .chain(logger)
        .apply()
        .map_err(|_| Error::Log)
}

impl Logger {
    /// Counts a line. Returns how many lines of its event were left out since
    /// the last one, or `None` if this one is left out too.
    fn admit(&self, event: &str, level: Level) -> Option<u32> {
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
        let now = SystemTime::now().duration_since(UNIX_EPOCH);
        let line = Line {
            time_ms: now.map_or(0, |since| since.as_millis() as u64),
            level: record.level().as_str(),
            host: &self.host,
            event,
            message,
            left_out,
        };
        let Ok(mut bytes) = serde_json::to_vec(&line) else {
            return;
        };
        bytes.push(b'\n');
        // A closed standard output must not stop the process.
        let _ = std::io::stdout().write_all(&bytes);
    }

    fn flush(&self) {
        let _ = std::io::stdout().flush();
    }
}
