//! The `explain-request` command: gathers what the logs of a fleet say of a
//! request, and on which version of the weights it began.

use std::fs::File;
use std::io;
use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::path::Path;
use std::path::PathBuf;

use serde_json::Value;
use snafu::ResultExt;
use snafu::ensure;

use crate::error::Error;
use crate::error::ReadSnafu;
use crate::error::UnknownRequestSnafu;
use crate::explain;
use crate::weights_log::WeightsLog;

/// The path that stands for standard input.
const STANDARD_INPUT: &str = "-";
const MS_PER_DAY: u64 = 24 * 60 * 60 * 1_000;

/// A line of a log.
#[derive(Clone, Debug)]
pub(crate) struct Line {
    /// Milliseconds since the Unix epoch.
    pub(crate) time_ms: u64,
    pub(crate) host: String,
    pub(crate) event: String,
    pub(crate) message: String,
    /// Lines of the event that were not written since the last one.
    pub(crate) left_out: u64,
}

impl Line {
    fn parse(bytes: &[u8]) -> Option<Line> {
        let value: Value = serde_json::from_slice(bytes).ok()?;
        let text = |name: &str| Some(value.get(name)?.as_str()?.to_owned());
        Some(Line {
            time_ms: value.get("time_ms")?.as_u64()?,
            host: text("host")?,
            event: text("event")?,
            message: text("message")?,
            left_out: value.get("left_out").and_then(Value::as_u64).unwrap_or(0),
        })
    }

    /// Whether the message holds `word`, not as a part of a longer word.
    pub(crate) fn names(&self, word: &str) -> bool {
        let is_inner = |character: char| character.is_alphanumeric() || "-_".contains(character);
        self.message.match_indices(word).any(|(start, _)| {
            let before = self.message[..start].chars().next_back();
            let after = self.message[start + word.len()..].chars().next();
            !before.is_some_and(is_inner) && !after.is_some_and(is_inner)
        })
    }

    /// The time of day in UTC, the host, the event and the message.
    pub(crate) fn format(&self) -> String {
        let ms = self.time_ms % MS_PER_DAY;
        let (s, ms) = (ms / 1_000, ms % 1_000);
        let (hours, minutes, s) = (s / 3_600, s / 60 % 60, s % 60);
        format!(
            "{hours:02}:{minutes:02}:{s:02}.{ms:03} {} {} {}",
            self.host, self.event, self.message
        )
    }
}

/// What the logs say of a request.
#[derive(Debug, Default)]
struct Findings {
    /// The lines that name the request.
    lines: Vec<Line>,
    /// The lines about versions of the weights.
    weights: WeightsLog,
    read: u64,
    /// Lines that are not log lines.
    skipped: u64,
}

impl Findings {
    fn read(&mut self, path: &Path, id: &str) -> Result<(), Error> {
        if path == Path::new(STANDARD_INPUT) {
            return self.collect(path, io::stdin().lock(), id);
        }
        let file = File::open(path).context(ReadSnafu { path })?;
        self.collect(path, file, id)
    }

    fn collect(&mut self, path: &Path, source: impl Read, id: &str) -> Result<(), Error> {
        let mut source = BufReader::new(source);
        let mut bytes = Vec::new();
        loop {
            bytes.clear();
            let length = source
                .read_until(b'\n', &mut bytes)
                .context(ReadSnafu { path })?;
            if length == 0 {
                return Ok(());
            }
            self.read += 1;
            match Line::parse(&bytes) {
                Some(line) => self.add(line, id),
                None => self.skipped += 1,
            }
        }
    }

    fn add(&mut self, line: Line, id: &str) {
        self.weights.add(&line);
        if line.names(id) {
            self.lines.push(line);
        }
    }
}

/// Formats the lines that name the request, what their events mean, and on
/// which version it began.
pub(crate) fn run(id: &str, paths: &[PathBuf]) -> Result<String, Error> {
    let mut findings = Findings::default();
    match paths {
        [] => findings.read(Path::new(STANDARD_INPUT), id)?,
        paths => paths.iter().try_for_each(|path| findings.read(path, id))?,
    }
    let Findings {
        mut lines,
        weights,
        read,
        skipped,
    } = findings;
    ensure!(
        !id.is_empty() && !lines.is_empty(),
        UnknownRequestSnafu { id, read, skipped }
    );
    lines.sort_by_key(|line| line.time_ms);
    let mut text = format!("{} lines name request {id}:\n", lines.len());
    for line in &lines {
        text += &format!("\n{}\n", line.format());
        if let Some(meaning) = explain::meaning(&line.event) {
            text += &format!("    {meaning}\n");
        }
    }
    text += &format!("\n{}", weights.explain(id, &lines));
    if skipped > 0 {
        text += &format!("\n{skipped} of {read} lines are not log lines and were skipped");
    }
    Ok(text.trim_end().to_owned())
}
