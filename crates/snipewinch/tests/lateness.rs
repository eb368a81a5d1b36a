//! Tests of what a process knows of how late it acts.

use std::time::Duration;

use snipewinch::cutover::withdraw_at;
use snipewinch::lateness::Lateness;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Guards against a withdrawal that is planned for a time at which the processor's
/// quota is used up, and done after the bound.
#[test]
fn a_process_whose_timers_are_late_withdraws_a_request_after_the_bound() {
    let bound = ms(8_000);
    let period = ms(250);
    let mut lateness = Lateness::default();
    for tick in 0..28_u64 {
        lateness.record(ms(tick * 250), ms(7 * tick % 230));
    }
    let planned = withdraw_at(bound, ms(20) + lateness.longest());
    assert!(planned + period < bound, "{planned:?}");
}

#[test]
fn a_delay_is_forgotten_before_ten_seconds_or_kept_after_twenty() {
    let mut lateness = Lateness::default();
    lateness.record(ms(9_000), ms(400));
    lateness.record(ms(9_100), ms(3));
    assert_eq!(lateness.longest(), ms(400));
    lateness.record(ms(18_900), ms(2));
    assert_eq!(lateness.longest(), ms(400), "10 s are not over");
    lateness.record(ms(28_800), ms(2));
    lateness.record(ms(38_800), ms(1));
    assert!(lateness.longest() <= ms(2), "{:?}", lateness.longest());
}

/// Guards against an entry that refuses what old weights may serve, since its process was
/// stopped once.
#[test]
fn a_process_that_stood_still_for_seconds_plans_for_the_same_again() {
    let mut lateness = Lateness::default();
    lateness.record(ms(1_000), ms(7_000));
    assert_eq!(lateness.longest(), ms(500));
}

#[test]
fn a_process_that_was_idle_for_long_counts_an_old_delay() {
    let mut lateness = Lateness::default();
    lateness.record(ms(1_000), ms(400));
    lateness.record(ms(90_000), ms(1));
    assert_eq!(lateness.longest(), ms(1));
}
