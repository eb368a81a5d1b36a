use std::time::Duration;

use platform::follow::Change;
use platform::rows::Row;

use super::Listing;
use super::RECONNECT_GRACE;
use super::Update;

const NOW: Duration = Duration::from_secs(10);

fn row(key: &str, state: &str) -> Row {
    let value = format!(
        r#"{{"service":"s","address":"10.0.0.1:80","zone":"z","version":"v1","slots":4,"state":"{state}","coldLeftMs":0,"seq":1,"born":7}}"#
    );
    Row {
        key: key.into(),
        value: Some(value.into_bytes()),
        version: 1,
    }
}

fn removed(key: &str) -> Row {
    Row {
        key: key.into(),
        value: None,
        version: 2,
    }
}

fn listing() -> Listing {
    let mut listing = Listing::default();
    let rows = vec![row("a", "ready"), row("b", "ready")];
    assert_eq!(listing.apply(NOW, Change::Snapshot(rows)).len(), 2);
    listing
}

#[test]
fn a_deleted_entry_is_removed_at_once() {
    let mut listing = listing();
    let updates = listing.apply(NOW, Change::Rows(vec![removed("a")]));
    assert_eq!(updates, [Update::Removed("a".into())]);
}

#[test]
fn an_entry_missing_after_an_outage_may_reappear_within_the_grace_period() {
    let mut listing = listing();
    listing.apply(NOW, Change::Disconnected);
    let updates = listing.apply(NOW, Change::Snapshot(vec![row("b", "ready")]));
    assert_eq!(updates, [Update::Missing("a".into())]);
    assert!(listing.tick(NOW + RECONNECT_GRACE / 2).is_empty());
    listing.apply(NOW, Change::Rows(vec![row("a", "ready")]));
    assert!(
        listing.tick(NOW + RECONNECT_GRACE).is_empty(),
        "it reappeared"
    );
}

/// Guards against taking a server that registered after the backup for one that has
/// left, though it is about to write its entry again.
#[test]
fn an_entry_missing_after_the_store_was_restored_may_reappear_within_the_grace_period() {
    let mut listing = listing();
    listing.apply(NOW, Change::Restored);
    let updates = listing.apply(NOW, Change::Snapshot(vec![row("b", "ready")]));
    assert_eq!(updates, [Update::Missing("a".into())]);
    listing.apply(NOW, Change::Rows(vec![row("a", "ready")]));
    assert!(
        listing.tick(NOW + RECONNECT_GRACE).is_empty(),
        "it reappeared"
    );
}

/// Guards against requests to a server that had left: the backup still lists it.
#[test]
fn a_server_that_had_left_before_the_store_was_restored_is_not_listed_by_the_backup() {
    let mut listing = listing();
    listing.apply(NOW, Change::Rows(vec![removed("a")]));
    listing.apply(NOW, Change::Restored);
    let rows = vec![row("a", "ready"), row("b", "ready")];
    assert_eq!(listing.apply(NOW, Change::Snapshot(rows)), []);
    // A server that only lapsed writes its entry again.
    let updates = listing.apply(NOW, Change::Rows(vec![row("a", "ready")]));
    assert!(matches!(&updates[..], [Update::Listed(id, _)] if id == "a"));
}

/// Guards against the same by an older row of a server that has begun to leave.
#[test]
fn a_server_that_leaves_is_not_ready_again_by_an_older_row() {
    let mut listing = listing();
    listing.apply(NOW, Change::Rows(vec![row("a", "draining")]));
    listing.apply(NOW, Change::Restored);
    let rows = vec![row("a", "ready"), row("b", "ready")];
    assert_eq!(listing.apply(NOW, Change::Snapshot(rows)), []);
    let mut started_again = row("a", "ready");
    let value = started_again.value.take().expect("a value");
    let text = String::from_utf8(value).expect("JSON");
    started_again.value = Some(text.replace("\"born\":7", "\"born\":8").into_bytes());
    let updates = listing.apply(NOW, Change::Rows(vec![started_again]));
    assert_eq!(updates.len(), 1, "a new start takes requests");
}

#[test]
fn an_entry_that_does_not_reappear_after_an_outage_is_removed() {
    let mut listing = listing();
    listing.apply(NOW, Change::Disconnected);
    listing.apply(NOW, Change::Rows(vec![removed("a")]));
    let updates = listing.tick(NOW + RECONNECT_GRACE);
    assert_eq!(updates, [Update::Removed("a".into())]);
}

/// Guards against requests to a backend server that has left: it left a second
/// after the host reached the store again, was taken for an entry that expired
/// during the outage, and got requests for 2,047 ms. Seen on ptcr-logs,
/// day `scale-2`, seed 1090723487021 (rule DRAIN).
#[test]
fn a_server_that_leaves_after_an_outage_is_removed_at_once() {
    let mut listing = listing();
    listing.apply(NOW, Change::Disconnected);
    listing.apply(NOW, Change::Rows(Vec::new()));
    let updates = listing.apply(
        NOW + Duration::from_secs(1),
        Change::Rows(vec![removed("a")]),
    );
    assert_eq!(updates, [Update::Removed("a".into())]);
}

#[test]
fn an_outage_alone_removes_nothing() {
    let mut listing = listing();
    listing.apply(NOW, Change::Disconnected);
    assert!(listing.tick(NOW + Duration::from_secs(60)).is_empty());
}

#[test]
fn invalid_entries_are_ignored() {
    let mut listing = Listing::default();
    let bytes = [&b"no json"[..], b"{}", br#"{"service":1,"state":"ready"}"#];
    let mut rows: Vec<Row> = bytes
        .iter()
        .enumerate()
        .map(|(index, bytes)| Row {
            key: index.to_string().into(),
            value: Some(bytes.to_vec()),
            version: 1,
        })
        .collect();
    rows.push(row("odd", "resting"));
    rows.push(row("a", "ready"));
    let updates = listing.apply(NOW, Change::Snapshot(rows));
    assert!(matches!(&updates[..], [Update::Listed(id, _)] if id == "a"));
}
