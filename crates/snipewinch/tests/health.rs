//! A backend server is ejected after failures and readmitted by single probes.

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
fn a_few_failures_do_not_eject() {
    assert!(failed(2).admits(s(10)));
}

#[test]
fn consecutive_failures_eject() {
    let health = failed(3);
    assert!(health.is_ejected(s(10)) && !health.admits(s(10)));
}

#[test]
fn an_answer_resets_the_count_of_failures() {
    let mut health = failed(2);
    health.record_outcome(s(10), Outcome::Answered);
    health.record_outcome(s(10), Outcome::Failed);
    assert!(health.admits(s(10)));
}

#[test]
fn a_single_probe_decides_after_an_ejection() {
    let mut health = failed(3);
    assert!(health.admits(s(12)));
    health.record_sent(s(12));
    assert!(!health.admits(s(12)), "one probe at a time");
    let mut healthy = health;
    healthy.record_outcome(s(12), Outcome::Answered);
    assert!(healthy.admits(s(12)));
    health.record_outcome(s(12), Outcome::Failed);
    assert!(!health.admits(s(13)), "the next ejection is longer");
    assert!(health.admits(s(15)));
}

#[test]
fn a_probe_without_a_result_does_not_block_for_ever() {
    let mut health = failed(3);
    health.record_sent(s(12));
    assert!(health.admits(s(14)));
}

/// A host froze with the engine on it. A stream that had waited 1.74 s for a
/// slot was still at that host when its caller left after 3.2 s (ptcr mix, seed
/// 9508798725, GONE).
#[test]
fn a_stalled_stream_resumes_elsewhere_before_callers_leave() {
    let waited = Duration::from_millis(1_740);
    let max_gap = Duration::from_millis(400);
    let caller_leaves = max_gap * 8;
    assert!(waited + stall_timeout(max_gap) + max_gap <= caller_leaves);
    assert_eq!(stall_timeout(Duration::ZERO), Duration::from_millis(1_500));
    assert!(stall_timeout(Duration::from_millis(50)) >= Duration::from_millis(750));
}

#[test]
fn a_server_that_refuses_connections_gets_no_further_requests_at_once() {
    let mut health = Health::default();
    assert!(health.record_outcome(Duration::from_secs(1), Outcome::Refused));
    assert!(!health.admits(Duration::from_millis(1_500)));
    assert!(health.admits(Duration::from_millis(2_100)));
    health.record_outcome(Duration::from_millis(2_100), Outcome::Answered);
    assert!(health.admits(Duration::from_millis(2_200)));
}
