//! Checks each promise against the answers that callers received and the calls
//! that were executed.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use serde::Serialize;
use smol_str::SmolStr;
use snipewinch::Digest;
use snipewinch::host;
use standin::engine::ServedVersion;

use super::monitor::Monitor;
use crate::load::Kind;
use crate::load::Outcome;
use crate::load::Totals;

/// Time limit for an accepted configuration to be in force at every host.
const IN_FORCE_LIMIT: Duration = Duration::from_secs(14);

/// The result for one promise.
#[derive(Clone, Debug, Serialize)]
pub struct Promise {
    /// The name of the promise.
    pub promise: &'static str,
    /// The number of cases that tested it.
    pub tested: u64,
    /// The number of cases that broke it.
    pub broken: u64,
    /// Whether at least one case tested it and none broke it.
    pub shown: bool,
    /// The first case that broke it.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub evidence: Option<String>,
}

impl Promise {
    /// Counts cases: none where the promise held, else the evidence that it was
    /// broken.
    fn of(promise: &'static str, cases: impl IntoIterator<Item = Option<String>>) -> Promise {
        let mut judged = Promise {
            promise,
            tested: 0,
            broken: 0,
            shown: false,
            evidence: None,
        };
        for case in cases {
            judged.tested += 1;
            if let Some(seen) = case {
                judged.broken += 1;
                judged.evidence.get_or_insert(seen);
            }
        }
        judged.shown = judged.tested > 0 && judged.broken == 0;
        judged
    }

    pub(super) fn line(&self) -> String {
        let verdict = match (self.tested, self.broken) {
            (0, _) => "not shown",
            (_, 0) => "held",
            _ => "BROKEN",
        };
        let evidence = self.evidence.as_deref().unwrap_or("");
        format!(
            "{verdict:9} {}: tested {}, broken {} {evidence}",
            self.promise, self.tested, self.broken
        )
    }
}

/// No host serves partial or mixed weights.
pub(super) fn weights(served: &[ServedVersion], published: &BTreeSet<Digest>) -> Promise {
    let whole: BTreeSet<String> = published.iter().map(Digest::to_string).collect();
    let cases = served.iter().flat_map(|served| {
        let right = whole.contains(served.given_digest.as_str());
        let seen = (!right).then(|| format!("{served:?}"));
        std::iter::repeat_n(seen, served.calls as usize)
    });
    Promise::of("no partial or mixed weights", cases)
}

/// Every caller receives the complete answer to its own request.
pub(super) fn whole_answers(totals: &Totals) -> Promise {
    let claimed = totals.records.iter();
    let claimed = claimed.filter(|r| matches!(r.outcome, Outcome::Complete | Outcome::Wrong));
    let cases = claimed.map(|record| {
        let wrong = record.outcome == Outcome::Wrong;
        wrong.then(|| format!("{record:?}"))
    });
    Promise::of("whole answers to one's own request", cases)
}

/// A call that was refused as not run was not executed.
pub(super) fn true_refusals(totals: &Totals, effects: &BTreeMap<SmolStr, u32>) -> Promise {
    // A call sent twice under one idempotency key may have run for the other
    // attempt, so only calls count whose attempts were all refused.
    let mut refused_by_effect: HashMap<&SmolStr, bool> = HashMap::new();
    for record in &totals.records {
        let refused = record.outcome == Outcome::NotRun;
        let all = refused_by_effect.entry(&record.effect).or_insert(true);
        *all &= refused;
    }
    let refused = refused_by_effect.into_iter().filter(|(_, all)| *all);
    let cases = refused.map(|(effect, _)| {
        let times = effects.get(effect).copied().unwrap_or(0);
        (times > 0).then(|| format!("{effect} was refused as not run and ran {times} times"))
    });
    Promise::of("a refusal as not run is true", cases)
}

/// A call that may not be repeated is executed at most once.
pub(super) fn at_most_once(totals: &Totals, effects: &BTreeMap<SmolStr, u32>) -> Promise {
    let once = totals
        .records
        .iter()
        .filter(|r| r.kind == Kind::NonRepeatable);
    let once: BTreeSet<&SmolStr> = once.map(|record| &record.effect).collect();
    let cases = once.into_iter().map(|effect| {
        let times = effects.get(effect).copied().unwrap_or(0);
        (times > 1).then(|| format!("{effect} ran {times} times"))
    });
    Promise::of("at most once where it may not be repeated", cases)
}

/// A host that left, and the calls that its backend server received too late.
#[derive(Clone, Debug)]
pub(super) struct Departure {
    pub(super) host: host::Name,
    /// Whether only the membership list announced that it leaves.
    pub(super) listed: bool,
    pub(super) late_calls: u64,
}

impl Departure {
    fn evidence(&self) -> String {
        let by = match self.listed {
            true => "the membership list",
            false => "its own announcement",
        };
        let Departure {
            host, late_calls, ..
        } = self;
        format!("{host} got {late_calls} calls after it had left according to {by}")
    }
}

/// A backend server gets no new work a few seconds after its host announced
/// that it is leaving.
pub(super) fn no_work_after_leaving(departures: &[Departure]) -> Promise {
    let cases = departures
        .iter()
        .map(|departure| (departure.late_calls > 0).then(|| departure.evidence()));
    Promise::of("no new work after leaving", cases)
}

/// A host that was asked to stop gracefully.
#[derive(Clone, Debug)]
pub(super) struct Stop {
    pub(super) host: host::Name,
    /// The address at which it served callers, for entries.
    pub(super) http: SocketAddr,
    pub(super) asked: Duration,
    pub(super) ended: Duration,
    pub(super) in_time: bool,
    pub(super) log: Vec<String>,
}

/// A graceful shutdown interrupts no call.
pub(super) fn graceful_stops(stops: &[Stop], totals: &Totals) -> Promise {
    let cases = stops.iter().map(|stop| {
        let Stop { host, .. } = stop;
        if !stop.in_time {
            return Some(format!("{host} did not stop in time"));
        }
        if let Some(line) = stop.log.iter().find(|line| line.contains("E1003")) {
            return Some(format!("{host}: {line}"));
        }
        let cut = totals.records.iter().find(|record| {
            let during = record.sent <= stop.ended && record.sent + record.duration >= stop.asked;
            record.entry == stop.http && during && record.outcome == Outcome::Truncated
        });
        cut.map(|record| format!("{host} cut {record:?}"))
    });
    Promise::of("a graceful shutdown cuts nothing", cases)
}

/// An accepted configuration is in force at every host within
/// [`IN_FORCE_LIMIT`], and no host goes back to an older one.
pub(super) fn configuration(monitor: &Monitor) -> Promise {
    let late = monitor.accepted.iter().flat_map(|accepted| {
        monitor.observations().filter_map(move |(host, seen)| {
            let end = accepted.at + IN_FORCE_LIMIT;
            if monitor.was_disturbed(host, accepted.at, end) || monitor.elapsed() < end {
                return None;
            }
            let behind = seen
                .iter()
                .find(|s| s.at > end && s.version < accepted.version);
            Some(behind.map(|seen| format!("{host} {seen:?} long after {accepted:?}")))
        })
    });
    let reverts = monitor.observations().flat_map(|(host, seen)| {
        seen.windows(2).map(move |pair| {
            let same = pair[0].process_id == pair[1].process_id;
            let reverted = same && pair[1].version < pair[0].version;
            reverted.then(|| format!("{host} went from {:?} to {:?}", pair[0], pair[1]))
        })
    });
    Promise::of(
        "accepted is in force everywhere and never reverts",
        late.chain(reverts),
    )
}
