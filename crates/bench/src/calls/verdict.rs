//! Judges what callers were told by what the back ends counted.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::Serialize;
use smol_str::SmolStr;

use super::faults::Seen;
use crate::load::Kind;
use crate::load::Outcome;
use crate::load::Record;
use crate::load::Totals;

/// The code of an error that tells a repeated key that it runs now.
const IN_PROGRESS: &str = "in_progress";

/// How the promises to callers were kept.
#[derive(Clone, Debug, Default, Serialize)]
pub(super) struct Verdict {
    /// Requests sent.
    calls: u64,
    /// Answered with the whole right answer.
    answered_whole: u64,
    /// Wrong answers, and answers that broke off or were passed off as whole.
    wrong_or_cut: u64,
    /// Refused with the word that the work did not run.
    refused_not_run: u64,
    /// Of those, calls that had run.
    refused_but_ran: u64,
    /// Told that nobody knows whether the work ran.
    outcome_unknown: u64,
    /// Told that the work ran, without its answer.
    told_ran: u64,
    /// Repeats under a key told that the first is running.
    in_progress: u64,
    /// Whose entry was killed under them.
    lost_with_entry: u64,
    /// No connection to the entry.
    unreachable: u64,
    /// No answer within the caller's patience.
    silent: u64,
    /// Non-repeatable calls that ran more than once.
    ran_twice: u64,
    /// Of the keys that callers sent twice, those whose work ran twice.
    keyed_twice: u64,
    /// Calls under way at a graceful stop that got no proper answer.
    cut_by_shutdown: u64,
    /// Of all calls, by the code of their error.
    errors: BTreeMap<SmolStr, u64>,
}

impl Verdict {
    pub(super) fn of(totals: &Totals, effects: &BTreeMap<SmolStr, u32>, seen: &Seen) -> Verdict {
        let mut verdict = Verdict {
            calls: totals.calls(),
            ..Verdict::default()
        };
        for record in &totals.records {
            verdict.count(record, seen);
        }
        verdict.judge(totals, effects);
        verdict
    }

    fn count(&mut self, record: &Record, seen: &Seen) {
        let during = |(from, to): &(Duration, Duration)| {
            record.sent <= *to && record.sent + record.duration >= *from
        };
        let killed = seen
            .killed_entries
            .iter()
            .any(|killed| killed.entry == record.entry && during(&(killed.from, killed.to)));
        let broken = match record.outcome {
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
                    "wrong or cut: {record:?}; killed: {:?}",
                    seen.killed_entries
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
        if broken && seen.stops.iter().any(during) {
            self.cut_by_shutdown += 1;
        }
        if !record.code.is_empty() {
            *self.errors.entry(record.code.clone()).or_default() += 1;
        }
    }

    fn judge(&mut self, totals: &Totals, effects: &BTreeMap<SmolStr, u32>) {
        let mut by_effect: BTreeMap<&SmolStr, Vec<&Record>> = BTreeMap::new();
        for record in &totals.records {
            by_effect.entry(&record.effect).or_default().push(record);
        }
        for (effect, records) in by_effect {
            let runs = effects.get(effect).copied().unwrap_or(0);
            let never =
                |record: &&Record| matches!(record.outcome, Outcome::NotRun | Outcome::Unreachable);
            if runs > 0 && records.iter().all(never) {
                self.refused_but_ran += 1;
            }
            let once = records
                .iter()
                .any(|record| record.kind == Kind::NonRepeatable);
            if once && runs > 1 {
                self.ran_twice += 1;
                self.keyed_twice += u64::from(records.len() > 1);
            }
            let answered = |record: &&Record| record.outcome == Outcome::Complete;
            if runs == 0 && records.iter().any(answered) {
                // Nothing ran, so the answer was made up.
                self.wrong_or_cut += 1;
            }
        }
    }

    /// The promises that were broken, if any.
    pub(super) fn broken(&self) -> Option<String> {
        let table = [
            ("wrong_or_cut", self.wrong_or_cut),
            ("refused_but_ran", self.refused_but_ran),
            ("ran_twice", self.ran_twice),
            ("keyed_twice", self.keyed_twice),
            ("cut_by_shutdown", self.cut_by_shutdown),
        ];
        let broken: Vec<String> = table
            .iter()
            .filter(|(_, count)| *count > 0)
            .map(|(name, count)| format!("{name} is {count}"))
            .collect();
        match broken.is_empty() {
            true => None,
            false => Some(broken.join(", ")),
        }
    }
}

/// A quantile of the time of whole answers of models, in milliseconds.
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
    let at = (last as f64 * quantile).round() as usize;
    times
        .get(at)
        .map_or(0.0, |time| time.as_secs_f64() * 1000.0)
}
