//! When a backend server whose agent is silent may be used without it.

use std::time::Duration;

use snipewinch::contact::Contact;
use snipewinch::contact::HEARD_AGE_MAX;
use snipewinch::contact::PROBE_INTERVAL;

const MS: Duration = Duration::from_millis(1);

/// Guards against requests that are held up at a frozen host: the last byte came
/// just before it froze, and so did the last answer of its agent.
#[test]
fn a_byte_from_before_the_silence_shows_that_a_backend_server_is_reached() {
    let mut contact = Contact::default();
    contact.record_heard(MS * 1_000);
    contact.record_silence(MS * 1_001);
    assert!(!contact.is_reached(MS * 1_010));
    contact.record_heard(MS * 1_100);
    assert!(contact.is_reached(MS * 1_100 + HEARD_AGE_MAX));
    assert!(!contact.is_reached(MS * 1_101 + HEARD_AGE_MAX));
}

/// Guards against a silence that seems to begin anew with each demand.
#[test]
fn a_silence_that_goes_on_hides_how_long_it_has_lasted() {
    let mut contact = Contact::default();
    contact.record_silence(MS * 1_000);
    contact.record_heard(MS * 1_200);
    contact.record_silence(MS * 1_300);
    assert!(contact.is_reached(MS * 1_400));
    assert!(contact.record_agent());
    assert!(!contact.record_agent());
}

/// Guards against an engine that stays unused because its agent has ended and no
/// request is under way there, and against one that is asked all the time.
#[test]
fn a_backend_server_is_asked_for_its_state_never_or_all_the_time() {
    let mut contact = Contact::default();
    assert_eq!(contact.probe_due(MS * 900), None, "the agent answers");
    contact.record_silence(MS * 1_000);
    assert_eq!(contact.probe_due(MS * 1_300), Some(None));
    contact.record_probe(MS * 1_300);
    assert_eq!(contact.probe_due(MS * 1_400), None);
    let next = MS * 1_300 + PROBE_INTERVAL;
    assert_eq!(contact.probe_due(next), Some(Some(MS * 1_300)));
    contact.record_heard(next);
    assert_eq!(contact.probe_due(next), None, "it has answered");
}
