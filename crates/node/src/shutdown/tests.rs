use std::time::Duration;

use super::Schedule;

/// Guards against lost requests at a shutdown: a stream that arrived 3.1 s
/// after SIGTERM was accepted and was still in flight when the process had to
/// end. The platform only excuses the loss of requests that arrived within 3 s.
/// Seen on bluebonnet-hollow, day `entries-stop-in-turn-under-change`, seed
/// 824155258510 (rule LOST).
#[test]
fn a_stopping_entry_accepts_no_request_that_it_might_not_finish() {
    let schedule = Schedule::within(Duration::from_secs(8));
    assert!(schedule.close < Duration::from_secs(3), "{schedule:?}");
    let balancer_acts = Duration::from_millis(2_200);
    assert!(schedule.close > balancer_acts, "{schedule:?}");
    assert!(schedule.end < Duration::from_secs(8), "{schedule:?}");
    assert!(
        schedule.end > Duration::from_secs(8) * 5 / 6,
        "{schedule:?}"
    );
    let short = Schedule::within(Duration::from_secs(1));
    assert!(short.close <= short.end, "{short:?}");
}
