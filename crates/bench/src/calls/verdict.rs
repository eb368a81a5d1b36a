//! Compares the outcomes that callers saw with the executions that the backend
//! servers counted.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::Serialize;
use smol_str::SmolStr;

use super::faults::FaultLog;
use crate::load::Kind;
use crate::load::Outcome;
use crate::load::Record;
use crate::load::Totals;

/// The error code for a repeated key whose first call is still running.
const IN_PROGRESS: &str = "in_progress";

/// Counts of outcomes and of violated guarantees.
#[derive(Clone, Debug, Default, Serialize)]
pub(super) struct Verdict {
    /// Calls sent.
    calls: u64,
    /// Calls with a complete, correct answer.
    answered_whole: u64,
    /// Wrong answers, truncated answers, and complete answers of calls that
    /// never ran.
    wrong_or_cut: u64,
    /// Calls refused with an error that says they did not run.
    refused_not_run: u64,
    /// Calls that ran although each caller was told they did not run, or found
    /// the entry unreachable.
    refused_but_ran: u64,
    /// Errors that leave open whether the call ran.
    outcome_unknown: u64,
    /// Errors that say the call ran, without its answer.
    told_ran: u64,
    /// Repeated keys whose first call was still running.
    in_progress: u64,
    /// Calls whose entry was killed while they were in progress.
    lost_with_entry: u64,
    /// Calls whose connection to the entry failed.
    unreachable: u64,
    /// Calls without a complete answer within the answer timeout.
    silent: u64,
    /// Non-repeatable calls that ran more than once.
    ran_twice: u64,
    /// Idempotency keys that a caller sent twice and whose call ran more than
    /// once.
    keyed_twice: u64,
    /// Calls in progress during a graceful stop that ended in a wrong,
    /// truncated or missing answer, or in an error that does not rule out
    /// execution.
    cut_by_shutdown: u64,
    /// Number of errors by error code.
    errors: BTreeMap<SmolStr, u64>,
}

impl Verdict {
    pub(super) fn of(
        totals: &Totals,
        effects: &BTreeMap<SmolStr, u32>,
        fault_log: &FaultLog,
    ) -> Verdict {
        let mut verdict = Verdict {
            calls: totals.calls(),
            ..Verdict::default()
        };
        for record in &totals.records {
            verdict.count_outcome(record, fault_log);
        }
        verdict.check_executions(totals, effects);
        verdict
    }

    fn count_outcome(&mut self, record: &Record, fault_log: &FaultLog) {
        let during = |(from, to): &(Duration, Duration)| {
            record.sent <= *to && record.sent + record.duration >= *from
        };
        let killed = fault_log
            .killed_entries
            .iter()
            .any(|killed| killed.entry == record.entry && during(&(killed.from, killed.to)));
        let disrupted = match record.outcome {
            Outcome::Complete => {
                self.answered_whole += 1;
                false
            }
            Outcome::Truncated | Outcome::TimedOut if killed => {
                self.lost_with_entry += 1;
                false
            }
            Outcome::Truncated | Outcome::Wrong => {
                eprintln!(
                    "answer wrong or truncated: {record:?}; killed entries: {:?}",
                    fault_log.killed_entries
                );
                self.wrong_or_cut += 1;
                true
            }
            Outcome::NotRun => {
                self.refused_not_run += 1;
                false
            }
            Outcome::Unknown if record.code == IN_PROGRESS => {
                self.in_progress += 1;
                false
            }
            Outcome::Unknown => {
                self.outcome_unknown += 1;
                true
            }
            Outcome::Ran => {
                self.told_ran += 1;
                true
            }
            Outcome::Unreachable => {
                self.unreachable += 1;
                false
            }
            Outcome::TimedOut => {
                self.silent += 1;
                true
            }
        };
        if disrupted && fault_log.stops.iter().any(during) {
            self.cut_by_shutdown += 1;
        }
        if !record.code.is_empty() {
            *self.errors.entry(record.code.clone()).or_default() += 1;
        }
    }

    /// Compares the outcomes of each effect id with its number of executions.
    fn check_executions(&mut self, totals: &Totals, effects: &BTreeMap<SmolStr, u32>) {
        let mut by_effect: BTreeMap<&SmolStr, Vec<&Record>> = BTreeMap::new();
        for record in &totals.records {
            by_effect.entry(&record.effect).or_default().push(record);
        }
        for (effect, records) in by_effect {
            let runs = effects.get(effect).copied().unwrap_or(0);
            let not_executed =
                |record: &&Record| matches!(record.outcome, Outcome::NotRun | Outcome::Unreachable);
            if runs > 0 && records.iter().all(not_executed) {
                self.refused_but_ran += 1;
            }
            let non_repeatable = records
                .iter()
                .any(|record| record.kind == Kind::NonRepeatable);
            if non_repeatable && runs > 1 {
                self.ran_twice += 1;
                self.keyed_twice += u64::from(records.len() > 1);
            }
            let complete = |record: &&Record| record.outcome == Outcome::Complete;
            if runs == 0 && records.iter().any(complete) {
                // Nothing ran, so the answer is fabricated.
                self.wrong_or_cut += 1;
            }
        }
    }

    /// Describes the violated guarantees, if any.
    pub(super) fn violations(&self) -> Option<String> {
        let counts = [
            ("wrong_or_cut", self.wrong_or_cut),
            ("refused_but_ran", self.refused_but_ran),
            ("ran_twice", self.ran_twice),
            ("keyed_twice", self.keyed_twice),
            ("cut_by_shutdown", self.cut_by_shutdown),
        ];
        let violations: Vec<String> = counts
            .iter()
            .filter(|(_, count)| *count > 0)
            .map(|(name, count)| format!("{name} is {count}"))
            .collect();
        match violations.is_empty() {
            true => None,
            false => Some(violations.join(", ")),
        }
    }
}

/// A quantile of the durations of complete answers from models, in
/// milliseconds.
pub(super) fn model_latency_ms(totals: &Totals, quantile: f64) -> f64 {
    let of_model = |record: &&Record| {
        record.outcome == Outcome::Complete && matches!(record.kind, Kind::Stream | Kind::Buffered)
    };
    let mut times: Vec<Duration> = totals
        .records
        .iter()
        .filter(of_model)
        .map(|record| record.duration)
        .collect();
    times.sort_unstable();
    let last = times.len().saturating_sub(1);
    let rank = (last as f64 * quantile).round() as usize;
    times
        .get(rank)
        .map_or(0.0, |time| time.as_secs_f64() * 1000.0)
}
