//! Structured log lines on standard output, bounded in number.
//!
//! A line is one JSON object. Its `event` is the number that stands first in
//! the message. Of each event only so many lines are written in a second; the
//! next line says how many were left out. A line that standard output does not
//! take at once is dropped, as a request must not wait for a log.

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

/// Lines of one event in a second: enough to follow single requests in a calm
/// second, and little beside what a request costs in a busy one.
const LINES_PER_S: u32 = 10;
/// Lines of one event in a second that tell of a failure.
const FAILURES_PER_S: u32 = 30;

#[derive(Serialize)]
struct Line<'a> {
    /// The time of day in milliseconds.
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

#[derive(Debug)]
struct Quota {
    second: Instant,
    written: u32,
    left_out: u32,
}

struct Sink {
    host: SmolStr,
    level: LevelFilter,
    quotas: Mutex<HashMap<SmolStr, Quota>>,
}

/// Installs the logger of this process.
pub(crate) fn install(config: &Config) -> Result<(), Error> {
    let sink: Box<dyn Log> = Box::new(Sink {
        host: config.settings.identity.host.0.clone(),
        level: config.log_level,
        quotas: Mutex::default(),
    });
    fern::Dispatch::new()
        .level(LevelFilter::Warn)
        .level_for("node", config.log_level)
        .level_for("platform", config.log_level)
        .level_for("peer", config.log_level)
        .chain(sink)
        .apply()
        .map_err(|_| Error::Log)
}

impl Sink {
    /// How many lines of an event were left out before this one; none if this
    /// one is left out too.
    fn admit(&self, event: &str, level: Level) -> Option<u32> {
        let most = match level {
            Level::Error | Level::Warn => FAILURES_PER_S,
            Level::Info | Level::Debug | Level::Trace => LINES_PER_S,
        };
        let mut quotas = self.quotas.lock();
        let now = Instant::now();
        let quota = quotas.entry(event.into()).or_insert(Quota {
            second: now,
            written: 0,
            left_out: 0,
        });
        if now.duration_since(quota.second) >= Duration::from_secs(1) {
            quota.second = now;
            quota.written = 0;
        }
        if quota.written >= most {
            quota.left_out += 1;
            return None;
        }
        quota.written += 1;
        Some(std::mem::take(&mut quota.left_out))
    }
}

impl Log for Sink {
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
        // A reader that is gone is no reason to stop.
        let _ = std::io::stdout().write_all(&bytes);
    }

    fn flush(&self) {
        let _ = std::io::stdout().flush();
    }
}
