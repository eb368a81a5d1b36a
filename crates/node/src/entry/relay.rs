//! Relays the answers of attempts to the caller, and ends requests without one.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http1::head::Response;
use http1::write;
use platform::header;
use snipewinch::attempt::Event;
use snipewinch::attempt::Step;
use snipewinch::health::Outcome;
use tokio::io::AsyncWriteExt;
use tokio::net::tcp::WriteHalf;

use super::Entry;
use super::answer;
use super::answer::Reason;
use super::attempt::Attempt;
use super::call::Call;
use super::call::End;
use super::call::Progress;
use super::call::record_broken;
use super::cut;
use super::cut::Cause;
use super::old_weights;
use super::quarantine;
use super::second_attempt;

/// The media type of a stream of events.
const EVENT_STREAM: &str = "text/event-stream";
/// How long after its first event a request has come through: a prompt that ends
/// backend servers does so as they begin to write.
const COME_THROUGH_TIME: Duration = Duration::from_millis(300);

/// Makes an attempt the one that answers. Others end unless they are silent:
/// a silent one is what is left if this one breaks off.
fn select_attempt(entry: &Entry, call: &Call, progress: &mut Progress, index: usize) {
    progress.open.swap(0, index);
    let key = progress.open[0].key;
    let _ = progress.attempts.handle(Event::Progressed(key));
    progress
        .open
        .retain(|attempt| attempt.key == key || attempt.is_silent);
    let attempt = &mut progress.open[0];
    let was_silent = std::mem::take(&mut attempt.is_silent);
    if was_silent {
        log::info!(
            "E7117 backend server {} goes on with request {}",
            attempt.slot.id,
            call.id
        );
    }
    let is_new = progress.answering != Some(key);
    if is_new && progress.head_sent {
        entry.metrics.streams_resumed.inc();
    }
    if is_new || was_silent {
        entry
            .dispatcher
            .record_outcome(attempt.slot.key, Outcome::Answered, None);
    }
    progress.answering = Some(key);
}

/// Whether another attempt answers and is not silent.
pub(super) fn is_superseded(progress: &Progress, index: usize) -> bool {
    let key = progress.open[index].key;
    let mut others = progress.open.iter().filter(|one| one.key != key);
    others.any(|one| progress.answering == Some(one.key) && !one.is_silent)
}

/// Ends an attempt that goes on while another one answers.
pub(super) fn drop_superseded(entry: &Entry, progress: &mut Progress, index: usize) -> Step {
    let attempt = progress.open.remove(index);
    entry
        .dispatcher
        .record_outcome(attempt.slot.key, Outcome::Answered, None);
    progress.attempts.handle(Event::Dropped(attempt.key))
}

/// Whether the answer of an attempt may go on with the stream that the caller gets: it
/// is a stream of events, or of the same type.
pub(super) fn continues_stream(progress: &Progress, index: usize) -> bool {
    let attempt = &progress.open[index];
    match &progress.media_type {
        Some(begun) if progress.answering != Some(attempt.key) => {
            let found = attempt.media_type();
            found == EVENT_STREAM || found == *begun
        }
        Some(_) | None => true,
    }
}

/// Whether an attempt has sent or skipped all events that the caller has.
pub(super) fn has_all_events(progress: &Progress, index: usize) -> bool {
    let position = progress.open[index].position();
    progress.head_sent && position == progress.last_event_id.as_ref()
}

/// Relays complete events of an attempt. Returns what to do next, or the end of the
/// request if its caller has left.
pub(super) async fn relay_events(
    entry: &Entry,
    call: &Call,
    progress: &mut Progress,
    index: usize,
    events: Bytes,
    out: &mut WriteHalf<'_>,
) -> Result<Step, End> {
    if progress.open[index].first_event.is_none() {
        let (key, sent) = (progress.open[index].key, progress.open[index].sent);
        second_attempt::record_answer(entry, call, progress, key, sent);
    }
    select_attempt(entry, call, progress, index);
    let attempt = &mut progress.open[0];
    let now = entry.clock.now();
    if attempt.first_event.is_none() {
        record_begin(entry, call, attempt, now);
    }
    let first_event = *attempt.first_event.get_or_insert(now);
    if !attempt.has_come_through && first_event + COME_THROUGH_TIME <= now {
        attempt.has_come_through = true;
        entry.quarantine.record_progress(now, &call.keys);
    }
    let unsent = attempt.skip_sent(events, progress.last_event_id.as_ref());
    if unsent.is_empty() {
        return Ok(Step::Wait);
    }
    let mut bytes = Vec::new();
    match attempt.head() {
        Some(head) if !progress.head_sent => {
            progress.head_sent = true;
            progress.media_type = Some(attempt.media_type());
            bytes = answer::chunked(head, call.closes);
            progress.first_event_delay = now.saturating_sub(call.arrived);
            progress.last_event = now;
            entry
                .metrics
                .first_byte
                .observe(progress.first_event_delay.as_secs_f64());
        }
        Some(_) | None => {}
    }
    progress.last_event_id = attempt.position().cloned();
    if progress.last_event_id.is_none() {
        // Without ids, another attempt would repeat events.
        progress.attempts.commit(attempt.key);
        progress.open.truncate(1);
    }
    progress.event_gap_max = progress
        .event_gap_max
        .max(now.saturating_sub(progress.last_event));
    progress.last_event = now;
    write::chunk(&mut bytes, &unsent);
    let writing = out.write_all(&bytes);
    let (written, step) = old_weights::withdraw_beside(entry, call, progress, writing).await;
    written.map_err(|_| End::Aborted)?;
    Ok(step)
}

/// Records when, and on which weights, a backend server has begun a request.
fn record_begin(entry: &Entry, call: &Call, attempt: &Attempt, now: Duration) {
    let wait = now.saturating_sub(attempt.sent);
    let service = attempt.slot.service.as_str();
    entry
        .metrics
        .begin_wait
        .with_label_values(&[service])
        .observe(wait.as_secs_f64());
    old_weights::record_begin(entry, call, attempt, now);
}

/// Ends a stream after its last event.
pub(super) async fn end_stream(
    entry: &Entry,
    call: &Call,
    progress: &mut Progress,
    index: usize,
    out: &mut WriteHalf<'_>,
) -> End {
    select_attempt(entry, call, progress, index);
    entry.metrics.attempts.with_label_values(&["success"]).inc();
    let attempt = progress.open.swap_remove(0);
    progress.open.clear();
    if !attempt.has_come_through {
        entry
            .quarantine
            .record_progress(entry.clock.now(), &call.keys);
    }
    if let Some(head) = attempt.head() {
        entry.record_answer(call, head.status);
    }
    log::info!(
        "E7107 stream {} ended at backend server {}: waited {} ms for slots, first event after {} ms, longest gap {} ms, tokens {}, goal {} ms",
        call.id,
        attempt.slot.id,
        progress.queue_time.as_millis(),
        progress.first_event_delay.as_millis(),
        progress.event_gap_max.as_millis(),
        call.head.fields.get(header::TOKENS).unwrap_or("unknown"),
        call.route.latency_goal.as_millis()
    );
    attempt.finish(entry);
    let mut bytes = Vec::new();
    write::last_chunk(&mut bytes);
    match out.write_all(&bytes).await {
        Ok(()) => End::Complete,
        Err(_) => End::Aborted,
    }
}

/// Relays an answer in chunks that is too long to be buffered, and begins with
/// the bytes buffered so far.
pub(super) async fn relay_chunked(
    entry: &Rc<Entry>,
    call: &Call,
    progress: &mut Progress,
    index: usize,
    begin: Bytes,
    out: &mut WriteHalf<'_>,
) -> End {
    select_attempt(entry, call, progress, index);
    // No other attempt can go on inside this answer.
    progress.open.truncate(1);
    progress.head_sent = true;
    let attempt = &mut progress.open[0];
    let Some(head) = attempt.head() else {
        return cut::end(entry, call, Cause::BrokenOff, progress.last_event);
    };
    progress.last_event = entry.clock.now();
    let status = head.status;
    let mut bytes = answer::chunked(head, call.closes);
    write::chunk(&mut bytes, &begin);
    loop {
        if out.write_all(&bytes).await.is_err() {
            return End::Aborted;
        }
        bytes.clear();
        match attempt.next_part().await {
            Ok(Some(data)) => {
                progress.last_event = entry.clock.now();
                write::chunk(&mut bytes, &data);
            }
            Ok(None) => break,
            Err(error) => {
                quarantine::record_broken(entry, call, attempt, &error).await;
                // Part of the answer is sent, so no other attempt can follow.
                let attempt = progress.open.remove(0);
                let _ = record_broken(entry, call, progress, attempt, &error);
                return cut::end(entry, call, Cause::BrokenOff, progress.last_event);
            }
        }
    }
    write::last_chunk(&mut bytes);
    entry
        .quarantine
        .record_progress(entry.clock.now(), &call.keys);
    entry.metrics.attempts.with_label_values(&["success"]).inc();
    entry.record_answer(call, status);
    match out.write_all(&bytes).await {
        Ok(()) => End::Complete,
        Err(_) => End::Aborted,
    }
}

/// Ends a request for which nothing more can arrive: with the error that a
/// backend server has answered, if there is one, or with a refusal. `unknown`
/// is the reason if it may have been executed.
pub(super) async fn end_unanswered(
    entry: &Entry,
    call: &Call,
    progress: &mut Progress,
    out: &mut WriteHalf<'_>,
    unknown: Reason,
) -> End {
    progress.open.clear();
    let may_have_run = progress.attempts.runs() > 0;
    match progress.failure.take() {
        _ if progress.head_sent => cut::end(entry, call, progress.cut_cause, progress.last_event),
        Some(answer) => send_answer(entry, call, progress, &answer.0, answer.1, out).await,
        None if may_have_run => {
            let now = entry.clock.now();
            let reason = match entry.quarantine.will_refuse(now, &call.keys) {
                true => Reason::EndedServer,
                false => unknown,
            };
            refuse(entry, call, progress, out, reason).await
        }
        None if unknown == Reason::Stopped => {
            refuse(entry, call, progress, out, Reason::Leaving).await
        }
        None if unknown == Reason::AnswerTimeout => {
            refuse(entry, call, progress, out, Reason::DeadlinePassed).await
        }
        None => refuse(entry, call, progress, out, progress.shortage).await,
    }
}

/// Sends a complete answer of a backend server to the caller.
pub(super) async fn send_answer(
    entry: &Entry,
    call: &Call,
    progress: &mut Progress,
    head: &Response,
    body: Bytes,
    out: &mut WriteHalf<'_>,
) -> End {
    progress.head_sent = true;
    progress.last_event = entry.clock.now();
    entry.record_answer(call, head.status);
    let bytes = answer::buffered(head, &body, call.closes);
    match out.write_all(&bytes).await {
        Ok(()) => End::Complete,
        Err(_) => End::Aborted,
    }
}

/// Answers the request with an error of the entry itself.
pub(super) async fn refuse(
    entry: &Entry,
    call: &Call,
    progress: &mut Progress,
    out: &mut WriteHalf<'_>,
    reason: Reason,
) -> End {
    let now = entry.clock.now();
    progress.head_sent = true;
    progress.last_event = now;
    let elapsed = now.saturating_sub(call.arrived);
    log::info!(
        "E7106 request {} on route {} refused after {} ms: {}",
        call.id,
        call.route.name,
        elapsed.as_millis(),
        reason.text()
    );
    entry
        .metrics
        .refusals
        .with_label_values(&[reason.name()])
        .inc();
    entry.record_answer(call, reason.status());
    let bytes = answer::refusal(
        reason,
        entry.retry_after(reason, call.deadline.saturating_sub(now)),
        Some(&call.id),
        call.closes,
    );
    match out.write_all(&bytes).await {
        Ok(()) => End::Complete,
        Err(_) => End::Aborted,
    }
}
