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

/// Guards against requests that all wait for a connection to the only server, which
/// cannot be reached, and against a server that stays unused when it is back.
#[test]
fn an_unreachable_server_is_tried_by_all_requests_or_by_none() {
    let ms = Duration::from_millis;
    let mut health = Health::default();
    for at in [0, 100, 200] {
        health.record_sent(ms(at));
        assert!(!health.is_unreachable(ms(at)));
        health.record_outcome(ms(400 + at), Outcome::Unreached);
    }
    assert!(!health.is_unreachable(ms(700)), "nobody tries");
    health.record_sent(ms(700));
    assert!(health.is_unreachable(ms(800)), "another one tries");
    health.record_outcome(ms(1_100), Outcome::Unreached);
    assert!(!health.is_unreachable(ms(1_200)));
    health.record_sent(ms(1_200));
    assert!(!health.is_unreachable(ms(2_300)), "its result is lost");
    health.record_sent(ms(2_300));
    health.record_outcome(ms(2_310), Outcome::Answered);
    health.record_sent(ms(2_320));
    assert!(!health.is_unreachable(ms(2_330)));
}

/// Guards against the only server of a service that gets nothing because it fails
/// some requests.
#[test]
fn a_server_that_fails_requests_counts_as_unreachable() {
    let mut health = Health::default();
    for at in 0..6 {
        health.record_sent(Duration::from_secs(at));
        health.record_outcome(Duration::from_secs(at), Outcome::Failed);
    }
    health.record_sent(Duration::from_secs(6));
    assert!(!health.is_unreachable(Duration::from_secs(6)));
}
