use std::time::Duration;

use super::Schedule;

/// A stream that came 3.1 s after SIGTERM was taken and was still under way when
/// the process had to end (bluebonnet, entries-stop-in-turn-under-change, seed
/// 824155258510, LOST). The platform's pages excuse what came within 3 s.
#[test]
fn a_stopping_entry_takes_nothing_that_it_must_finish_and_may_not() {
    let stop = Schedule::within(Duration::from_secs(8));
    assert!(stop.close < Duration::from_secs(3), "{stop:?}");
    let balancer_acts = Duration::from_millis(2_200);
    assert!(stop.close > balancer_acts, "{stop:?}");
    assert!(stop.end < Duration::from_secs(8), "{stop:?}");
    assert!(stop.end > Duration::from_secs(8) * 5 / 6, "{stop:?}");
    let short = Schedule::within(Duration::from_secs(1));
    assert!(short.close <= short.end, "{short:?}");
}
