//! When a backend server whose agent is silent may be used without it.

use std::time::Duration;

use snipewinch::contact::ANSWER_TIME_MAX;
use snipewinch::contact::Contact;
use snipewinch::contact::PROBE_INTERVAL;

const MS: Duration = Duration::from_millis(1);

/// Guards against requests that are held up at a frozen host: the last answer came
/// just before it froze, and so did that of its agent.
#[test]
fn an_answer_from_before_the_silence_shows_that_a_backend_server_is_reached() {
    let mut contact = Contact::default();
    contact.record_answered(MS * 990, MS * 1_000);
    contact.record_silence(MS * 1_001);
    assert!(!contact.is_reached(MS * 1_010));
    contact.record_answered(MS * 1_090, MS * 1_100);
    assert!(contact.is_reached(MS * 1_100 + ANSWER_TIME_MAX));
    assert!(!contact.is_reached(MS * 1_101 + ANSWER_TIME_MAX));
}

/// Guards against requests that are held up on a full link, from which answers
/// still come, late.
#[test]
fn a_late_answer_shows_that_a_backend_server_is_reached() {
    let mut contact = Contact::default();
    contact.record_silence(MS * 1_000);
    contact.record_answered(MS * 1_300, MS * 1_301 + ANSWER_TIME_MAX);
    assert!(!contact.is_reached(MS * 1_301 + ANSWER_TIME_MAX));
}

/// Guards against a silence that seems to begin anew with each demand.
#[test]
fn a_silence_that_goes_on_hides_how_long_it_has_lasted() {
    let mut contact = Contact::default();
    contact.record_silence(MS * 1_000);
    contact.record_answered(MS * 1_190, MS * 1_200);
    contact.record_silence(MS * 1_300);
    assert!(contact.is_reached(MS * 1_400));
    assert!(contact.record_agent());
    assert!(!contact.record_agent());
}

/// Guards against an engine that stays unused because its agent has ended, and
/// against one that is asked all the time.
#[test]
fn a_backend_server_is_asked_for_its_state_never_or_all_the_time() {
    let mut contact = Contact::default();
    assert!(!contact.may_ask(MS * 900), "the agent answers");
    contact.record_silence(MS * 1_000);
    assert!(contact.may_ask(MS * 1_300));
    contact.record_asked(MS * 1_300);
    assert!(!contact.may_ask(MS * 1_400));
    assert!(contact.may_ask(MS * 1_300 + PROBE_INTERVAL));
    assert_eq!(contact.asked(), Some(MS * 1_300));
}
