//! Two versions named shortly after each other.

use std::time::Duration;

use snipewinch::weights::succession::Stage;
use snipewinch::weights::succession::finishes_first;

const SIZE: f64 = 2_359_296.0;
/// The rate of an origin's link of 7.3 Mbit/s: a copy takes 2.6 s.
const RATE: f64 = 7.3 * 125_000.0;

fn stage(held: f64) -> Stage {
    Stage { bytes: SIZE, held }
}

#[test]
fn a_version_that_is_nearly_here_is_finished_if_there_is_time_for_both() {
    let left = Duration::from_secs(6);
    assert!(finishes_first(stage(0.75), stage(0.0), RATE, left));
    assert!(!finishes_first(stage(0.2), stage(0.0), RATE, left));
    assert!(!finishes_first(stage(1.0), stage(0.0), RATE, left));
}

/// The origin was away for six seconds in the middle of the older version.
/// Finishing it would make the newest late, without which no engine may serve.
#[test]
fn a_version_that_would_make_the_newest_late_is_left() {
    let left = Duration::from_millis(500);
    assert!(!finishes_first(stage(0.75), stage(0.0), RATE, left));
    assert!(!finishes_first(
        stage(0.99),
        stage(0.1),
        RATE,
        Duration::ZERO
    ));
}
