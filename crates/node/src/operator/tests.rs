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

/// The announcement of a version by a process that knows to the millisecond when
/// it was published.
fn published_ago(version: u64, age_ms: Option<u64>) -> grant::Published {
    let age = age_ms.map(|ms| cutover::Age {
        most: Duration::from_millis(ms),
        uncertainty: Duration::ZERO,
        relays: 0,
    });
    grant::Published::new(version, age)
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

/// Guards against requests that begin on the first of three versions after the bound of
/// the second, at a process that started after the third.
#[test]
fn a_process_that_starts_between_two_versions_counts_only_the_newer_one() {
    let mut state = OperatorState::default();
    state.apply(at(20), published(3));
    let begin_by = |state: &OperatorState, held| {
        cutover::begin_by(&state.publications("m"), held, VERSION_BOUND)
    };
    state.record_published(seconds(21), "m".into(), published_ago(3, Some(1_000)));
    assert_eq!(begin_by(&state, 1), Some(Duration::ZERO), "2 is unknown");
    let known = begin_by(&state, 2).expect("3 is newer");
    assert!(known > seconds(26) && known <= seconds(27), "{known:?}");
    let replacing = |replaces, published| grant::Published {
        replaces: Some(replaces),
        ..published
    };
    let third = replacing(2, published_ago(3, Some(2_000)));
    state.record_published(seconds(22), "m".into(), third);
    assert_eq!(begin_by(&state, 1), Some(Duration::ZERO), "2 is unknown");
    let second = replacing(1, published_ago(2, Some(4_000)));
    assert!(state.record_published(seconds(22), "m".into(), second));
    let known = begin_by(&state, 1).expect("2 is newer");
    assert!(known > seconds(24) && known <= seconds(25), "{known:?}");
    assert_eq!(state.newest("m").map(|one| one.version), Some(3));
    let announced = state.first_newer("m", 1).map(|one| one.version);
    assert_eq!(announced, Some(2), "others are told");
}

#[test]
fn a_version_that_was_missed_is_unknown_to_who_hears_of_it_later() {
    let mut state = OperatorState::default();
    state.apply(at(0), Change::Snapshot(Vec::new()));
    state.apply(at(10), published(2));
    let made = cutover::Interval {
        earliest: seconds(10),
        latest: seconds(20),
    };
    state.apply(made, published(4));
    let begin_by = |state: &OperatorState, held| {
        cutover::begin_by(&state.publications("m"), held, VERSION_BOUND)
    };
    assert_eq!(begin_by(&state, 2), Some(seconds(17)), "it read 2 at 10 s");
    let fourth = grant::Published {
        replaces: Some(3),
        ..published_ago(4, Some(0))
    };
    state.record_published(seconds(20), "m".into(), fourth);
    assert_eq!(begin_by(&state, 2), Some(Duration::ZERO), "3 is unknown");
    assert!(begin_by(&state, 3) > Some(seconds(26)));
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
    let announced = |version, age_ms: Option<u64>| published_ago(version, age_ms);
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
        let published = published_ago(2, age_ms);
        let is_new = state.record_published(seconds(now), "m".into(), published);
        let known = state.newest("m").unwrap().published;
        (is_new, known.map(cutover::Estimate::interval))
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
    let announced = published_ago(2, Some(1_000));
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

/// Guards against a process that has just started and takes a version for no
/// older than itself.
#[test]
fn an_announced_version_may_be_older_than_the_process() {
    let mut state = OperatorState::default();
    let announced = published_ago(2, Some(5_000));
    assert!(state.record_published(Duration::from_secs(1), "m".into(), announced));
    let bound = Duration::from_secs(8);
    let begin_by = cutover::begin_by(&state.publications("m"), 1, bound);
    assert!(begin_by <= Some(Duration::from_secs(4)), "{begin_by:?}");
}

/// Guards against entries that refuse requests at once although old weights may
/// still be used: cut off from the store, they hear of a version from agents that
/// read the store each 7 to 13 s, and went by the first of these for good.
#[test]
fn a_vague_age_does_not_outlast_a_more_precise_one() {
    let mut state = OperatorState::default();
    state.apply(at(0), Change::Snapshot(Vec::new()));
    let mut hear = |most_ms, uncertainty_ms| {
        let age = cutover::Age {
            most: Duration::from_millis(most_ms),
            uncertainty: Duration::from_millis(uncertainty_ms),
            relays: 0,
        };
        let published = grant::Published::new(2, Some(age));
        state.record_published(seconds(20), "m".into(), published)
    };
    assert!(hear(11_000, 10_900));
    assert!(hear(1_000, 800));
    assert!(!hear(9_000, 8_900), "it says no more");
    assert_eq!(min_version(&state, "m", seconds(25)), 0);
    assert_eq!(min_version(&state, "m", seconds(26)), 2);
}

/// Guards against a process that never learns how old a version is which an entry
/// announced without its age, although its own reads tell.
#[test]
fn the_first_read_of_a_version_tells_its_age() {
    let mut state = OperatorState::default();
    state.apply(at(0), Change::Snapshot(Vec::new()));
    assert!(state.record_published(seconds(20), "m".into(), published_ago(2, None)));
    let made = cutover::Interval {
        earliest: seconds(18),
        latest: seconds(21),
    };
    state.apply(made, published(2));
    assert!(state.publish_time_known("m"));
    assert_eq!(min_version(&state, "m", seconds(24)), 0);
    let later = cutover::Interval {
        earliest: seconds(21),
        latest: seconds(31),
    };
    state.apply(later, published(2));
    assert_eq!(min_version(&state, "m", seconds(25)), 2, "read once more");
}

/// Another agent had missed the third version and named the second as replaced.
#[test]
fn a_late_process_passes_over_the_third_of_four_versions_that_an_agent_read() {
    let mut polling = OperatorState::default();
    polling.apply(at(0), Change::Snapshot(Vec::new()));
    polling.apply(at(10), published(3));
    polling.confirm(seconds(10));
    polling.record_published(seconds(14), "m".into(), published_ago(4, None));
    let told = |state: &OperatorState, now| {
        let newest = state.newest("m").expect("it is published").to_cutover();
        grant::Published::of(&newest, now)
    };
    let mut missed = OperatorState::default();
    missed.apply(at(5), Change::Snapshot(Vec::new()));
    missed.apply(at(5), published(2));
    let made = cutover::Interval {
        earliest: seconds(5),
        latest: seconds(15),
    };
    missed.apply(made, published(4));
    let mut late = OperatorState::default();
    late.apply(at(15), published(4));
    for state in [&missed, &polling] {
        late.record_published(seconds(15), "m".into(), told(state, seconds(15)));
    }
    let begin_by = cutover::begin_by(&late.publications("m"), 2, VERSION_BOUND);
    assert_eq!(begin_by, Some(Duration::ZERO), "3 may be of any age");
}

/// A process that started after a store was restored reads a version as it is written again.
#[test]
fn a_version_that_is_written_again_after_a_restore_seems_new_to_a_late_process() {
    let mut late = OperatorState::default();
    late.apply(at(19), published(2));
    late.apply(at(20), published(3));
    let third = published_ago(3, Some(9_000));
    late.record_published(seconds(20), "m".into(), third);
    let begin_by = cutover::begin_by(&late.publications("m"), 2, VERSION_BOUND);
    assert!(begin_by <= Some(seconds(18)), "{begin_by:?}");
    let again = published_ago(3, Some(0));
    late.record_published(seconds(20), "m".into(), again);
    let later = cutover::begin_by(&late.publications("m"), 2, VERSION_BOUND);
    assert_eq!(later, begin_by, "it does not grow younger");
}
