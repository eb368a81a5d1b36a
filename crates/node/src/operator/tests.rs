use std::time::Duration;

use platform::follow::Change;
use platform::rows::Row;
use snipewinch::grant;

use super::OperatorState;

const BOUND: Duration = Duration::from_secs(7);

fn named(version: u64) -> Change {
    let value = format!(r#"{{"model":"m","version":{version}}}"#);
    Change::Rows(vec![Row {
        key: "version/m".into(),
        value: Some(value.into_bytes()),
        version,
    }])
}

fn configured(version: u64) -> Change {
    let value = format!(r#"{{"version":{version}}}"#);
    Change::Rows(vec![Row {
        key: "config".into(),
        value: Some(value.into_bytes()),
        version,
    }])
}

fn s(s: u64) -> Duration {
    Duration::from_secs(s)
}

/// A version was named 2 s after another; only the newest name counted, and
/// requests began on the first of three (ptcr scale-1, VERSION).
#[test]
fn every_name_counts_from_its_own_time() {
    let mut operator = OperatorState::default();
    operator.apply(s(0), Change::Snapshot(Vec::new()));
    operator.apply(s(18), named(2));
    operator.apply(s(20), named(3));
    let floor = |now| operator.newest_older_than("m", now, BOUND);
    assert_eq!(
        [floor(s(24)), floor(s(25)), floor(s(26)), floor(s(27))],
        [0, 2, 2, 3]
    );
    assert_eq!(operator.newest_older_than("other", s(99), BOUND), 0);
}

#[test]
fn a_version_found_at_the_start_may_be_old() {
    let mut operator = OperatorState::default();
    operator.apply(s(1), named(4));
    operator.apply(s(2), named(5));
    assert_eq!(operator.initial_version("m"), 4);
}

#[test]
fn names_and_configurations_do_not_go_back() {
    let mut operator = OperatorState::default();
    operator.apply(s(1), named(4));
    operator.apply(s(2), named(3));
    assert_eq!(operator.newest_older_than("m", s(99), BOUND), 4);
    assert!(operator.apply(s(3), configured(7)));
    assert!(!operator.apply(s(4), configured(6)));
    assert_eq!(operator.configuration_version(), 7);
}

/// Agents read what operators write only now and then, as they are many and a
/// configuration is long; entries tell them of versions.
#[test]
fn a_version_heard_from_an_entry_counts_from_when_it_was_named() {
    let mut operator = OperatorState::default();
    operator.apply(s(0), Change::Snapshot(Vec::new()));
    let word = |version, age_ms| grant::Published { version, age_ms };
    assert!(operator.record_published(s(20), "m".into(), word(2, Some(2_000))));
    assert!(!operator.record_published(s(21), "m".into(), word(2, Some(3_000))));
    assert_eq!(operator.newest_older_than("m", s(24), BOUND), 0);
    assert_eq!(operator.newest_older_than("m", s(25), BOUND), 2);
    assert!(operator.publish_time_known("m"));
    assert!(operator.record_published(s(26), "m".into(), word(3, None)));
    assert!(!operator.publish_time_known("m"));
    operator.apply(s(27), named(3));
    assert_eq!(
        operator.newest("m").map(|named| named.learned_at),
        Some(s(26))
    );
}
