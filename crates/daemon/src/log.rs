//! The logger: writes lines of text, or one JSON object per line, to standard
//! error.

use std::io::Write;
use std::time::SystemTime;

use fern::Dispatch;
use log::Record;
use output::Writer;
use serde::Serialize;
use snafu::ResultExt;

use crate::Config;
use crate::Error;
use crate::LogFormat;
use crate::error::SystemSnafu;

#[derive(Serialize)]
struct Line<'a> {
    time: String,
    level: &'a str,
    host: &'a str,
    event: Option<&'a str>,
    message: &'a str,
    target: &'a str,
}

/// Installs the logger of this process. Its lines are written by the returned writer,
/// which never waits for their reader.
pub(crate) fn install(config: &Config) -> Result<Writer, Error> {
    let writer = Writer::spawn(std::io::stderr()).context(SystemSnafu)?;
    let output: Box<dyn Write + Send> = Box::new(writer.clone());
    let host = config.host.clone();
    let format = config.log;
    Dispatch::new()
        .level(log::LevelFilter::Warn)
        .level_for("snipewinch", config.log_level)
        .level_for("caller", config.log_level)
        .level_for("operator", config.log_level)
        .level_for("backend", config.log_level)
        .level_for("platform", config.log_level)
        .level_for("peer", config.log_level)
        .level_for("daemon", config.log_level)
        .level_for("snipewinch_caller", config.log_level)
        .level_for("snipewinch_operator", config.log_level)
        .level_for("snipewinch_backend", config.log_level)
        .level_for("snipewinch_platform", config.log_level)
        .level_for("snipewinch_peer", config.log_level)
        .level_for("snipewinch_daemon", config.log_level)
        .format(move |out, message, record| {
            let message = message.to_string();
            match format {
                LogFormat::Json => out.finish(format_args!("{}", json(&host.0, &message, record))),
                LogFormat::Text => out.finish(format_args!(
                    "{} {:5} {} {}",
                    humantime::format_rfc3339_millis(SystemTime::now()),
                    record.level(),
                    host,
                    message
                )),
            }
        })
        .chain(output)
        .apply()
        .map_err(|_| Error::Log)?;
    Ok(writer)
}

fn json(host: &str, message: &str, record: &Record<'_>) -> String {
    let (event, text) = split_event(message);
    let line = Line {
        time: humantime::format_rfc3339_millis(SystemTime::now()).to_string(),
        level: record.level().as_str(),
        host,
        event,
        message: text,
        target: record.target(),
    };
    serde_json::to_string(&line).unwrap_or_default()
}

/// Splits a message into the event number at its start, if there is one, and
/// the text.
fn split_event(message: &str) -> (Option<&str>, &str) {
    match message.split_once(' ') {
        Some((event, text)) if is_event_number(event) => (Some(event), text),
        _ => (None, message),
    }
}

fn is_event_number(word: &str) -> bool {
    let mut bytes = word.bytes();
    word.len() == 5 && bytes.next() == Some(b'E') && bytes.all(|byte| byte.is_ascii_digit())
}
