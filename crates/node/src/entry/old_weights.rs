//! What becomes of requests at backend servers with older weights than the
//! newest.

use std::future::pending;
use std::pin::pin;
use std::time::Duration;

use platform::header;
use snipewinch::attempt::Event;
use snipewinch::attempt::Step;
use tokio::time::sleep_until;

use super::Entry;
use super::attempt::Attempt;
use super::call::Call;
use super::call::Progress;
use super::dispatcher::Slot;

/// The longest time since the last answer on a connection that is used again for
/// a backend server with older weights than the newest.
const OLD_WEIGHTS_IDLE_MAX: Duration = Duration::from_millis(400);
/// How long a connection may have been idle that is used again. What is sent to
/// a host that does not answer any more may arrive when the weights there are
/// too old, so the other end must have been heard of just before.
pub(super) fn idle_max(slot: &Slot) -> Duration {
    match slot.weights.replaced_by {
        Some(_) => OLD_WEIGHTS_IDLE_MAX,
        None => Duration::MAX,
    }
}

/// Logs that a request goes to a backend server with older weights than the
/// newest.
pub(super) fn log_sent(call: &Call, slot: &Slot, now: Duration, withdraw_at: Option<Duration>) {
    let weights = slot.weights;
    if let Some(newest) = weights.replaced_by {
        log::info!(
            "E7126 request {} is sent to backend server {} with version {} of the weights; version {} is known for {} ms, time left to begin {} ms",
            call.id,
            slot.id,
            weights.held,
            newest.version,
            now.saturating_sub(newest.learned_at).as_millis(),
            withdraw_at
                .unwrap_or_default()
                .saturating_sub(now)
                .as_millis()
        );
    }
}

/// Records on which version a request has begun, if a newer one is published.
pub(super) fn record_begin(entry: &Entry, call: &Call, attempt: &Attempt, now: Duration) {
    let weights = attempt.slot.weights;
    let head = attempt.head();
    let field = head.and_then(|head| head.fields.get(header::WEIGHTS_VERSION));
    let begun_on = field.and_then(|field| field.trim().parse().ok());
    let service = &attempt.slot.service;
    let named = begun_on.unwrap_or(weights.held);
    let replaced_by = entry.dispatcher.replacement(service, named);
    let Some(newest) = replaced_by.or(weights.replaced_by) else {
        return;
    };
    let service = service.as_str();
    let age = now.saturating_sub(newest.learned_at);
    entry
        .metrics
        .old_weights_age
        .with_label_values(&[service])
        .observe(age.as_secs_f64());
    log::info!(
        "E7127 request {} has begun at backend server {} on version {} of the weights {} ms after it was sent; version {} is known for {} ms, and version {} was expected there",
        call.id,
        attempt.slot.id,
        field.unwrap_or("unknown"),
        now.saturating_sub(attempt.sent).as_millis(),
        newest.version,
        age.as_millis(),
        weights.held
    );
    let Some(begin_by) = entry.dispatcher.begin_by(&attempt.slot.service, named) else {
        return;
    };
    if begin_by < now {
        entry
            .metrics
            .outdated_begins
            .with_label_values(&[service])
            .inc();
        log::warn!(
            "E7129 request {} has begun at backend server {} on version {named} of the weights, which could be used until {} ms ago",
            call.id,
            attempt.slot.id,
            (now - begin_by).as_millis()
        );
    }
}

/// Records that a request is not sent, as it may begin too late on the weights
/// of the backend server. Nothing has reached that.
pub(super) fn record_outdated(
    entry: &Entry,
    call: &Call,
    progress: &mut Progress,
    slot: &Slot,
) -> Step {
    log::info!(
        "E7103 request {} was not sent to backend server {}: it may begin too late on the weights there",
        call.id,
        slot.id
    );
    entry
        .metrics
        .attempts
        .with_label_values(&["outdated"])
        .inc();
    progress.tried.push(slot.key);
    progress.attempts.handle(Event::Unreached)
}

/// Ends the open attempts that have not begun while the weights of their backend
/// servers could be used.
pub(super) fn withdraw(entry: &Entry, call: &Call, progress: &mut Progress) -> Step {
    let now = entry.clock.now();
    let dispatcher = &entry.dispatcher;
    let is_due = |attempt: &mut Attempt| {
        let withdrawal = attempt.withdrawal(dispatcher);
        withdrawal.is_some_and(|at| at <= now)
    };
    let mut step = Step::Wait;
    for attempt in progress.open.extract_if(.., is_due) {
        let planned = attempt.withdrawal(dispatcher).unwrap_or(now);
        // What is due when it is sent has no earlier plan.
        let delay = now.saturating_sub(planned.max(attempt.sent));
        let next = progress.attempts.handle(Event::Withdrawn(attempt.key));
        log::info!(
            "E7128 request {} was withdrawn from backend server {}: it has not begun {} ms after it was sent, and the weights there are too old now; {} ms later than planned; retry {}",
            call.id,
            attempt.slot.id,
            now.saturating_sub(attempt.sent).as_millis(),
            delay.as_millis(),
            next == Step::Retry
        );
        entry.metrics.withdrawal_delay.observe(delay.as_secs_f64());
        entry
            .metrics
            .attempts
            .with_label_values(&["withdrawn"])
            .inc();
        if next != Step::Wait {
            step = next;
        }
    }
    step
}

/// Waits until an open attempt is to be withdrawn, or more is known of versions
/// by which that is decided.
pub(super) fn wait_withdrawal<'a>(
    entry: &'a Entry,
    open: &[Attempt],
) -> impl Future<Output = ()> + use<'a> {
    let dispatcher = &entry.dispatcher;
    let times = open.iter().filter_map(|one| one.withdrawal(dispatcher));
    let first = times.min();
    let has_unbegun = open.iter().any(|one| !one.has_begun());
    async move {
        let due = async {
            match first {
                Some(at) => sleep_until(entry.clock.at(at)).await,
                None => pending().await,
            }
        };
        tokio::select! {
            () = due => {}
            () = dispatcher.versions_changed(), if has_unbegun => {}
        }
    }
}

/// Waits for `work`, and withdraws open attempts that are due meanwhile. Returns also
/// what to do next because of these.
pub(super) async fn withdraw_beside<T>(
    entry: &Entry,
    call: &Call,
    progress: &mut Progress,
    work: impl Future<Output = T>,
) -> (T, Step) {
    let mut work = pin!(work);
    let mut step = Step::Wait;
    loop {
        let withdrawal = wait_withdrawal(entry, &progress.open);
        tokio::select! {
            biased;
            () = withdrawal => {}
            output = &mut work => return (output, step),
        }
        step = step.or(withdraw(entry, call, progress));
    }
}
