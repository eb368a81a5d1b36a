use std::time::Duration;

use platform::follow::Change;
use platform::rows::Row;
use snipewinch::cutover;
use snipewinch::grant;

use super::OperatorState;

const VERSION_BOUND: Duration = Duration::from_secs(7);

fn at(s: u64) -> cutover::Interval {
    let at = seconds(s);
    cutover::Interval {
        earliest: at,
        latest: at,
    }
}

/// The oldest version to which requests are sent `VERSION_BOUND` after a newer
/// one was published.
fn min_version(state: &OperatorState, model: &str, now: Duration) -> u64 {
    let bound = VERSION_BOUND + cutover::WITHDRAW_MARGIN;
    cutover::min_version(now, &state.publications(model), bound)
}

fn published(version: u64) -> Change {
    let value = format!(r#"{{"model":"m","version":{version}}}"#);
    Change::Rows(vec![Row {
        key: "version/m".into(),
        value: Some(value.into_bytes()),
        version,
    }])
}

fn configuration(version: u64) -> Change {
    let value = format!(r#"{{"version":{version}}}"#);
    Change::Rows(vec![Row {
        key: "config".into(),
        value: Some(value.into_bytes()),
        version,
    }])
}

fn seconds(s: u64) -> Duration {
    Duration::from_secs(s)
}

/// Guards against requests that start on a version that is too old: a third
/// version was published 2 s after the second, the age of the second was
/// ignored, and requests still started on the first. Seen on ptcr-logs, day
/// `scale-1` (rule VERSION).
#[test]
fn each_version_ages_from_its_own_publication() {
    let mut state = OperatorState::default();
    state.apply(at(0), Change::Snapshot(Vec::new()));
    state.apply(at(18), published(2));
    state.apply(at(20), published(3));
    let oldest = |now| min_version(&state, "m", now);
    assert_eq!(
        [
            oldest(seconds(24)),
            oldest(seconds(25)),
            oldest(seconds(26)),
            oldest(seconds(27))
        ],
        [0, 2, 2, 3]
    );
    assert_eq!(min_version(&state, "other", seconds(99)), 0);
}

#[test]
fn only_a_version_found_at_the_start_is_of_unknown_age() {
    let mut state = OperatorState::default();
    state.apply(at(1), published(4));
    state.apply(at(2), published(5));
    assert_eq!(state.newest_of_unknown_age("m"), 4);
}

#[test]
fn versions_of_weights_and_configurations_never_decrease() {
    let mut state = OperatorState::default();
    state.apply(at(1), published(4));
    state.apply(at(2), published(3));
    assert_eq!(min_version(&state, "m", seconds(99)), 4);
    assert!(state.apply(at(3), configuration(7)));
    assert!(!state.apply(at(4), configuration(6)));
    assert_eq!(state.configuration_version(), 7);
}

/// Agents read the operators' rows only at long intervals, as there are many
/// agents and a configuration is long. Entries announce versions to them with
/// their age.
#[test]
fn a_version_announced_by_an_entry_ages_from_its_publication() {
    let mut state = OperatorState::default();
    state.apply(at(0), Change::Snapshot(Vec::new()));
    let announced = |version, age_ms| grant::Published { version, age_ms };
    assert!(state.record_published(seconds(20), "m".into(), announced(2, Some(2_000))));
    assert!(!state.record_published(seconds(21), "m".into(), announced(2, Some(3_000))));
    assert_eq!(min_version(&state, "m", seconds(24)), 0);
    assert_eq!(min_version(&state, "m", seconds(25)), 2);
    assert!(state.publish_time_known("m"));
    assert!(state.record_published(seconds(26), "m".into(), announced(3, None)));
    assert!(!state.publish_time_known("m"));
    state.apply(at(27), published(3));
    assert_eq!(
        state.newest("m").map(|one| one.learned_at),
        Some(seconds(26))
    );
}

/// Guards against a restarted agent that never learns the age of a version: it
/// had read the version from the store before an entry announced it.
#[test]
fn an_announcement_tells_the_age_of_a_version_that_was_found_at_the_start() {
    let mut state = OperatorState::default();
    state.apply(at(1), published(2));
    assert!(!state.publish_time_known("m"));
    let mut announce = |now, age_ms| {
        let published = grant::Published { version: 2, age_ms };
        let is_new = state.record_published(seconds(now), "m".into(), published);
        (is_new, state.newest("m").unwrap().published)
    };
    assert_eq!(announce(5, None), (false, None));
    let age = Some(cutover::Interval {
        earliest: Duration::from_millis(1_300),
        latest: Duration::from_millis(1_500),
    });
    assert_eq!(announce(6, Some(4_500)), (true, age));
    assert_eq!(announce(7, Some(1_000)), (false, age));
    assert!(state.publish_time_known("m"));
}

/// A process that restarted within the bound took the version for just published.
#[test]
fn a_version_found_at_the_start_is_old_until_another_process_tells_its_age() {
    let mut state = OperatorState::default();
    state.apply(at(20), published(2));
    assert_eq!(min_version(&state, "m", seconds(20)), 2);
    let announced = grant::Published {
        version: 2,
        age_ms: Some(1_000),
    };
    assert!(state.record_published(seconds(20), "m".into(), announced));
    assert_eq!(min_version(&state, "m", seconds(20)), 0);
    assert_eq!(min_version(&state, "m", seconds(26)), 2);
}

/// Requests began on old weights as a version was taken for as young as its news.
#[test]
fn a_version_ages_from_the_earliest_time_at_which_it_may_have_been_published() {
    let mut state = OperatorState::default();
    state.apply(at(0), Change::Snapshot(Vec::new()));
    let made = cutover::Interval {
        earliest: seconds(9),
        latest: seconds(10),
    };
    state.apply(made, published(2));
    assert_eq!(min_version(&state, "m", seconds(15)), 0);
    assert_eq!(min_version(&state, "m", seconds(16)), 2);
}
