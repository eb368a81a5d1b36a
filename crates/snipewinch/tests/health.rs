//! A backend server rests after failures and comes back by single trials.

use std::time::Duration;

use snipewinch::health::Health;
use snipewinch::health::Outcome;
use snipewinch::health::stall_timeout;

fn s(s: u64) -> Duration {
    Duration::from_secs(s)
}

fn failed(times: u32) -> Health {
    let mut health = Health::default();
    for _ in 0..times {
        health.record_outcome(s(10), Outcome::Failed);
    }
    health
}

#[test]
fn a_few_failures_are_borne() {
    assert!(failed(2).admits(s(10)));
}

#[test]
fn more_in_a_row_make_it_rest() {
    let health = failed(3);
    assert!(health.is_ejected(s(10)) && !health.admits(s(10)));
}

#[test]
fn an_answer_in_between_forgives() {
    let mut health = failed(2);
    health.record_outcome(s(10), Outcome::Answered);
    health.record_outcome(s(10), Outcome::Failed);
    assert!(health.admits(s(10)));
}

#[test]
fn after_the_rest_a_single_trial_decides() {
    let mut health = failed(3);
    assert!(health.admits(s(12)));
    health.record_sent(s(12));
    assert!(!health.admits(s(12)), "only one at a time");
    let mut sound = health;
    sound.record_outcome(s(12), Outcome::Answered);
    assert!(sound.admits(s(12)));
    health.record_outcome(s(12), Outcome::Failed);
    assert!(!health.admits(s(13)), "the next rest is longer");
    assert!(health.admits(s(15)));
}

#[test]
fn a_trial_without_a_result_does_not_block_for_ever() {
    let mut health = failed(3);
    health.record_sent(s(12));
    assert!(health.admits(s(14)));
}

/// A host froze with the engine on it. A stream that had waited 1.74 s for a
/// place was still there when its caller left after 3.2 s (ptcr mix, seed
/// 9508798725, GONE).
#[test]
fn a_silent_server_is_left_before_callers_leave() {
    let waited = Duration::from_millis(1_740);
    let pause = Duration::from_millis(400);
    let caller_leaves = pause * 8;
    assert!(waited + stall_timeout(pause) + pause <= caller_leaves);
    assert_eq!(stall_timeout(Duration::ZERO), Duration::from_millis(1_500));
    assert!(stall_timeout(Duration::from_millis(50)) >= Duration::from_millis(750));
}
