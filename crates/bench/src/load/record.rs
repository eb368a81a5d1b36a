//! What became of each call.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use hdrhistogram::Histogram;
use serde::Serialize;
use smol_str::SmolStr;

/// What kind of call.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// To a model, answered in one piece.
    #[serde(rename = "whole")]
    Buffered,
    /// To a model, streamed.
    Stream,
    /// To a plain service; may be repeated.
    Plain,
    /// To a plain service; must run at most once.
    #[serde(rename = "once")]
    NonRepeatable,
}

/// What the caller was told.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// The whole right answer.
    #[serde(rename = "whole")]
    Complete,
    /// An answer that is wrong, or cut and passed off as whole.
    Wrong,
    /// An answer that broke off visibly.
    #[serde(rename = "cut")]
    Truncated,
    /// A refusal that says the work did not run.
    NotRun,
    /// An error that says nobody knows whether the work ran.
    Unknown,
    /// An error that says the work ran.
    Ran,
    /// No connection to the entry.
    Unreachable,
    /// No answer within the caller's patience.
    #[serde(rename = "silent")]
    TimedOut,
}

/// One call and its end.
#[derive(Clone, Debug)]
pub struct Record {
    /// What kind of call.
    pub kind: Kind,
    /// What the caller was told.
    pub outcome: Outcome,
    /// The word by which back ends count it.
    pub effect: SmolStr,
    /// The index of the customer.
    pub customer: usize,
    /// Which entry was asked.
    pub entry: SocketAddr,
    /// When, since the load began.
    pub sent: Duration,
    /// How long it took to the end of the answer.
    pub duration: Duration,
    /// The HTTP status, 0 without one.
    pub status: u16,
    /// The code of an error.
    pub code: SmolStr,
    /// The version of the model that answered.
    pub version: SmolStr,
}

/// All calls of a load.
#[derive(Clone, Debug)]
pub struct Totals {
    /// Every call in the order of its end.
    pub records: Vec<Record>,
    /// How many had each outcome.
    pub outcomes: BTreeMap<Outcome, u64>,
    /// Time to the end of whole answers, in microseconds.
    pub latency: Histogram<u64>,
    /// Time to the first token of streams, in microseconds.
    pub first_token: Histogram<u64>,
    /// Time between tokens of streams, in microseconds.
    pub gaps: Histogram<u64>,
}

impl Default for Totals {
    fn default() -> Totals {
        // Three digits hold a percentile to a thousandth; the range grows.
        let histogram = || Histogram::new(3).expect("3 digits are valid");
        Totals {
            records: Vec::new(),
            outcomes: BTreeMap::new(),
            latency: histogram(),
            first_token: histogram(),
            gaps: histogram(),
        }
    }
}

impl Totals {
    pub(super) fn add(&mut self, record: Record, first: Option<Duration>, gaps: &[Duration]) {
        *self.outcomes.entry(record.outcome).or_default() += 1;
        if record.outcome == Outcome::Complete {
            // The range grows with what is recorded.
            let _ = self.latency.record(micros(record.duration));
        }
        if let Some(first) = first {
            let _ = self.first_token.record(micros(first));
        }
        for gap in gaps {
            let _ = self.gaps.record(micros(*gap));
        }
        self.records.push(record);
    }

    /// All calls.
    pub fn calls(&self) -> u64 {
        self.records.len() as u64
    }

    /// Calls with this outcome.
    pub fn count(&self, outcome: Outcome) -> u64 {
        self.outcomes.get(&outcome).copied().unwrap_or(0)
    }

    /// Calls that got neither a whole answer nor a refusal that names why.
    pub fn failed(&self) -> u64 {
        self.calls() - self.count(Outcome::Complete) - self.count(Outcome::NotRun)
    }

    /// Time to the end of whole answers sent in `[from, to)`, at a quantile,
    /// in milliseconds.
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
        let position = (last as f64 * quantile).round() as usize;
        times
            .get(position)
            .map_or(0.0, |time| time.as_secs_f64() * 1000.0)
    }

    /// A quantile of whole answers in milliseconds.
    pub fn quantile_ms(&self, quantile: f64) -> f64 {
        milliseconds(&self.latency, quantile)
    }
}

/// A quantile of a histogram of microseconds, in milliseconds.
pub(super) fn milliseconds(histogram: &Histogram<u64>, quantile: f64) -> f64 {
    histogram.value_at_quantile(quantile) as f64 / 1000.0
}

fn micros(time: Duration) -> u64 {
    time.as_micros() as u64
}
