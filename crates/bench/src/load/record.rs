//! The recorded outcome and timing of each call.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use hdrhistogram::Histogram;
use serde::Serialize;
use smol_str::SmolStr;

/// The kind of a call.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// A call to a model, answered in one response body.
    #[serde(rename = "whole")]
    Buffered,
    /// A call to a model, answered as a stream of events.
    Stream,
    /// A call to a plain service that may be repeated.
    Plain,
    /// A call to a plain service that must run at most once.
    #[serde(rename = "once")]
    NonRepeatable,
}

/// The outcome of a call as the caller sees it.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// The complete, correct answer.
    #[serde(rename = "whole")]
    Complete,
    /// A wrong answer, or a truncated one that looked complete.
    Wrong,
    /// An answer that recognizably broke off.
    #[serde(rename = "cut")]
    Truncated,
    /// An error that says the call did not run.
    NotRun,
    /// An error that leaves open whether the call ran.
    Unknown,
    /// An error that says the call ran.
    Ran,
    /// The connection to the entry failed.
    Unreachable,
    /// No complete answer within the answer timeout.
    #[serde(rename = "silent")]
    TimedOut,
}

/// One finished call.
#[derive(Clone, Debug)]
pub struct Record {
    /// The kind of call.
    pub kind: Kind,
    /// The outcome as the caller sees it.
    pub outcome: Outcome,
    /// The effect id under which backend servers count its executions.
    pub effect: SmolStr,
    /// Index of the customer in [`Settings::customers`](super::Settings).
    pub customer: usize,
    /// The entry that got the call.
    pub entry: SocketAddr,
    /// When it was sent, since the start of the load.
    pub sent: Duration,
    /// Time from sending to the end of the answer.
    pub duration: Duration,
    /// The HTTP status, or 0 if none was received.
    pub status: u16,
    /// The error code of the answer, or empty.
    pub code: SmolStr,
    /// The version of the model that answered, or empty.
    pub version: SmolStr,
}

/// The finished calls of a load.
#[derive(Clone, Debug)]
pub struct Totals {
    /// The calls in the order in which they ended.
    pub records: Vec<Record>,
    /// The number of calls by outcome.
    pub outcomes: BTreeMap<Outcome, u64>,
    /// Durations of complete answers, in microseconds.
    pub latency_us: Histogram<u64>,
    /// Times to the first token of streams, in microseconds.
    pub first_token_us: Histogram<u64>,
    /// Times between tokens of streams, in microseconds.
    pub token_gaps_us: Histogram<u64>,
}

impl Default for Totals {
    fn default() -> Totals {
        // Three significant digits keep a percentile within 0.1 %; the range
        // resizes itself.
        let histogram = || Histogram::new(3).expect("3 digits are valid");
        Totals {
            records: Vec::new(),
            outcomes: BTreeMap::new(),
            latency_us: histogram(),
            first_token_us: histogram(),
            token_gaps_us: histogram(),
        }
    }
}

impl Totals {
    pub(super) fn add(&mut self, record: Record, first_token: Option<Duration>, gaps: &[Duration]) {
        *self.outcomes.entry(record.outcome).or_default() += 1;
        if record.outcome == Outcome::Complete {
            // Recording always succeeds, as the range resizes itself.
            let _ = self.latency_us.record(micros(record.duration));
        }
        if let Some(first_token) = first_token {
            let _ = self.first_token_us.record(micros(first_token));
        }
        for gap in gaps {
            let _ = self.token_gaps_us.record(micros(*gap));
        }
        self.records.push(record);
    }

    /// The number of all calls.
    pub fn calls(&self) -> u64 {
        self.records.len() as u64
    }

    /// The number of calls with this outcome.
    pub fn count(&self, outcome: Outcome) -> u64 {
        self.outcomes.get(&outcome).copied().unwrap_or(0)
    }

    /// The number of calls without a complete answer and without an error that
    /// says the call did not run.
    pub fn failed(&self) -> u64 {
        self.calls() - self.count(Outcome::Complete) - self.count(Outcome::NotRun)
    }

    /// A quantile of the durations of complete answers to calls sent in
    /// `[from, to)`, in milliseconds.
    pub fn latency_ms(&self, from: Duration, to: Duration, quantile: f64) -> f64 {
        let mut times: Vec<Duration> = self
            .records
            .iter()
            .filter(|record| record.outcome == Outcome::Complete)
            .filter(|record| record.sent >= from && record.sent < to)
            .map(|record| record.duration)
            .collect();
        times.sort_unstable();
        let last = times.len().saturating_sub(1);
        let rank = (last as f64 * quantile).round() as usize;
        times
            .get(rank)
            .map_or(0.0, |time| time.as_secs_f64() * 1000.0)
    }

    /// A quantile of the durations of complete answers, in milliseconds.
    pub fn quantile_ms(&self, quantile: f64) -> f64 {
        histogram_quantile_ms(&self.latency_us, quantile)
    }
}

/// A quantile of a histogram of microseconds, in milliseconds.
pub(super) fn histogram_quantile_ms(histogram_us: &Histogram<u64>, quantile: f64) -> f64 {
    histogram_us.value_at_quantile(quantile) as f64 / 1000.0
}

fn micros(time: Duration) -> u64 {
    time.as_micros() as u64
}
