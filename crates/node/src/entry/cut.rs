//! Records the answers that the entry ends before they are complete.

use std::time::Duration;

use super::Entry;
use super::call::Call;
use super::call::End;

/// Why an answer is ended before it is complete.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Cause {
    /// The backend server broke off an answer that no other can complete.
    BrokenOff,
    /// The deadline passed.
    Deadline,
    /// An attempt failed and no other may follow.
    NoRetry,
    /// The next attempt got no slot.
    NoSlot,
    /// The process ends.
    Stop,
}

impl Cause {
    /// The cause in log lines and its label in metrics.
    pub(crate) fn name(self) -> &'static str {
        match self {
            Cause::BrokenOff => "broken_off",
            Cause::Deadline => "deadline",
            Cause::NoRetry => "no_retry",
            Cause::NoSlot => "no_slot",
            Cause::Stop => "stop",
        }
    }
}

/// Ends an answer of which a part was sent, the last one at `last_event`.
pub(crate) fn end(entry: &Entry, call: &Call, cause: Cause, last_event: Duration) -> End {
    let now = entry.clock.now();
    log::info!(
        "E7118 answer to request {} on route {} cut: {}, {} ms after arrival, {} ms after the last event, deadline {} ms, configuration {} at arrival, {} now",
        call.id,
        call.route.name,
        cause.name(),
        now.saturating_sub(call.arrived).as_millis(),
        now.saturating_sub(last_event).as_millis(),
        call.deadline.saturating_sub(call.arrived).as_millis(),
        call.configuration_version,
        entry.configuration_version()
    );
    entry
        .metrics
        .answers_cut
        .with_label_values(&[cause.name()])
        .inc();
    End::Cut
}
