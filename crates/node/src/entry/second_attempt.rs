//! Second attempts of requests that are slow.

use std::future::pending;
use std::time::Duration;

use snipewinch::attempt;
use snipewinch::attempt::Event;
use snipewinch::attempt::Step;
use snipewinch::dispatch;
use snipewinch::dispatch::Waiter;
use snipewinch::hedge::Facts;
use snipewinch::hedge::Withheld;
use snipewinch::quarantine::Verdict;
use tokio::time::sleep_until;

use super::Entry;
use super::attempt::Attempt;
use super::call::Call;
use super::call::Progress;
use super::dispatcher::SlotRequest;

/// How long a second attempt may wait for a slot: a few round trips between regions.
const SLOT_WAIT_MAX: Duration = Duration::from_millis(50);

/// Waits until the only attempt of a request takes longer than most.
pub(super) fn wait_slow(
    entry: &Entry,
    progress: &Progress,
    is_starting: bool,
) -> impl Future<Output = ()> + use<> {
    let is_alone = matches!(&progress.open[..], [only] if !only.has_begun());
    let due = progress.second_due.filter(|_| is_alone && !is_starting);
    let due = due.map(|at| entry.clock.at(at));
    async move {
        match due {
            Some(at) => sleep_until(at).await,
            None => pending().await,
        }
    }
}

/// Whether a slow request gets a second attempt, which is then to be started.
pub(super) fn may_start(entry: &Entry, call: &Call, progress: &mut Progress) -> bool {
    progress.second_due = None;
    let Some(first) = progress.open.first().map(|attempt| attempt.key) else {
        return false;
    };
    let now = entry.clock.now();
    let facts = Facts {
        is_suspected: entry.quarantine.verdict(now, &call.keys) != Verdict::Clear,
        others_wait: entry.dispatcher.is_service_waiting(&call.service),
    };
    // A copy, as the attempt may be withheld for another reason.
    let mut after = progress.attempts.clone();
    let taken = match after.handle(Event::Slow(first)) {
        Step::Retry => entry
            .hedge
            .borrow_mut()
            .try_take(now, &call.service, facts, || entry.try_retry(&call.service)),
        Step::Wait | Step::End => Err(Withheld::Attempts),
    };
    match taken {
        Ok(()) => {
            progress.attempts = after;
            progress.starts_second = true;
            true
        }
        Err(reason) => {
            record_withheld(entry, reason);
            let delay = delay(entry, call).filter(|_| reason.is_passing());
            progress.second_due = delay.map(|delay| now + delay);
            false
        }
    }
}

/// The request for the slot of a second attempt: all others go before it.
pub(super) fn slot_request(entry: &Entry, call: &Call, progress: &Progress) -> SlotRequest {
    let now = entry.clock.now();
    SlotRequest {
        service: call.service.clone(),
        regions: entry.regions(call),
        route: call.route.name.clone(),
        customer: call.customer.clone(),
        has_engine: call.has_engine,
        is_suspected: false,
        is_second: true,
        tried: progress.tried.clone(),
        waiter: Waiter {
            arrived: call.arrived,
            due: Duration::ZERO,
            tokens: call.prompt_tokens(),
            expires: now + SLOT_WAIT_MAX,
            priority: u32::MAX,
            customer: call
                .customer
                .as_ref()
                .map_or(0, |name| dispatch::customer_digest(name)),
            resumes: false,
        },
    }
}

pub(super) fn record_withheld(entry: &Entry, reason: Withheld) {
    entry
        .metrics
        .second_attempts_withheld
        .with_label_values(&[reason.name()])
        .inc();
}

/// After what time a request is slow.
fn delay(entry: &Entry, call: &Call) -> Option<Duration> {
    let hedge = entry.hedge.borrow();
    hedge.delay(&call.route.name, call.prompt_tokens())
}

/// Records that an attempt is sent. After the first, it is known when a second one is
/// due.
pub(super) fn record_sent(
    entry: &Entry,
    call: &Call,
    progress: &mut Progress,
    attempt: &Attempt,
    is_second: bool,
) {
    if is_second {
        progress.second = Some(attempt.key);
        entry
            .metrics
            .second_attempts
            .with_label_values(&["sent"])
            .inc();
        let first = progress.open.first();
        let since = first.map_or(attempt.sent, |first| first.sent);
        log::info!(
            "E7171 request {} on route {} also goes to backend server {}: the first has not begun it after {} ms",
            call.id,
            call.route.name,
            attempt.slot.id,
            attempt.sent.saturating_sub(since).as_millis()
        );
        return;
    }
    let is_first = progress.attempts.sends() == 1 && call.route.repeat.may_rerun();
    progress.second_due = delay(entry, call)
        .filter(|_| is_first && !progress.head_sent)
        .map(|delay| attempt.sent + delay);
}

/// Records that an attempt answers: how long it took, and the others so far.
pub(super) fn record_answer(
    entry: &Entry,
    call: &Call,
    progress: &Progress,
    key: attempt::Key,
    sent: Duration,
) {
    if !call.route.repeat.may_rerun() || progress.head_sent {
        return;
    }
    let now = entry.clock.now();
    let others = progress.open.iter().filter(|one| one.key != key);
    let mut hedge = entry.hedge.borrow_mut();
    for sent in others.map(|one| one.sent).chain([sent]) {
        let took = now.saturating_sub(sent);
        hedge.record_answer(&call.route.name, call.prompt_tokens(), took);
    }
    if progress.second == Some(key) {
        entry
            .metrics
            .second_attempts
            .with_label_values(&["won"])
            .inc();
        log::info!(
            "E7172 request {} on route {} is answered by its second attempt after {} ms",
            call.id,
            call.route.name,
            now.saturating_sub(call.arrived).as_millis()
        );
    }
}
